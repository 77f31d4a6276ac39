//! A backend dies and another one has its address, while the list still names the first: a whole proxy on loopback.

mod helper;

use helper::{OTHER_SERVICE, Proxy, SERVICE, Stage, listed, listed_for};

const OK: u16 = 200;
/// Requests, one after the other.
const MANY: usize = 20;

/// `service`: whose backend gets the address; `path`: a route of that service.
async fn one_answer_for_another_is_enough(stage: Stage, service: &str, path: &str) {
    let (reused, spare) = (stage.backend(1, "first").await, stage.backend(2, "spare").await);
    let proxy = Proxy::start(&stage, &[]).await;
    let first = || listed("first", &reused, "a", 0);
    proxy.tell_list(1, vec![first()]).await;
    assert_eq!(stage.ask("/take").await.expect("an answer"), OK);
    assert_eq!(reused.arrivals(), 1, "it served, and a connection to it is kept");

    reused.becomes("second");
    // The spare one is in another zone: the first would go first, if it were there.
    proxy.tell_list(2, vec![first(), listed("spare", &spare, "b", 0)]).await;
    for _ in 0..MANY {
        assert_eq!(stage.ask("/take").await.expect("an answer"), OK);
    }
    assert_eq!((reused.misdirected(), spare.arrivals()), (1, MANY), "by one answer it is known to be gone");
    // A list that still names it does not bring it back. Without the spare one its own service has only the one at its address.
    let mut backends = vec![first(), listed_for(service, "second", &reused, "a", 0)];
    if service != SERVICE {
        backends.push(listed("spare", &spare, "b", 0));
    }
    proxy.tell_list(3, backends).await;
    assert_eq!(stage.ask(path).await.expect("an answer"), OK);
    assert_eq!(reused.arrivals(), 2, "the one that is there now serves");
    assert_eq!(stage.ask("/take").await.expect("an answer"), OK);
    assert_eq!(reused.misdirected(), 1);
    assert_eq!(proxy.metric("attempt_ends_total", "misdirected").await, 1.0);
}

#[test]
fn an_address_that_went_to_the_same_service_misdirects_one_request() {
    helper::run(one_answer_for_another_is_enough(Stage::new(1), SERVICE, "/take"));
}

#[test]
fn an_address_that_went_to_another_service_misdirects_one_request() {
    helper::run(one_answer_for_another_is_enough(Stage::new(2), OTHER_SERVICE, "/other/take"));
}
