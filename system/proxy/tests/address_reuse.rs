//! Tests a whole proxy on loopback: a backend dies and another one gets its address, while the list still
//! contains the first.

mod helper;

use helper::{OTHER_SERVICE, Proxy, SERVICE, TestBed, listed, listed_for};

const OK: u16 = 200;
/// Number of sequential requests.
const REQUESTS: usize = 20;

/// `service` is the service of the backend that gets the address; `path` is a route of that service.
async fn one_misdirected_answer_is_enough(test_bed: TestBed, service: &str, path: &str) {
    let (reused, spare) = (test_bed.backend(1, "first").await, test_bed.backend(2, "spare").await);
    let proxy = Proxy::start(&test_bed, &[]).await;
    let first = || listed("first", &reused, "a", 0);
    proxy.send_list(1, vec![first()]).await;
    assert_eq!(test_bed.request("/take").await.expect("an answer"), OK);
    assert_eq!(reused.arrivals(), 1, "the backend served the request, and a connection to it is kept");

    reused.becomes("second");
    // The spare backend is in another zone, so the first would be preferred if it still existed.
    proxy.send_list(2, vec![first(), listed("spare", &spare, "b", 0)]).await;
    for _ in 0..REQUESTS {
        assert_eq!(test_bed.request("/take").await.expect("an answer"), OK);
    }
    assert_eq!(
        (reused.misdirected(), spare.arrivals()),
        (1, REQUESTS),
        "one answer shows that the first backend is gone"
    );
    // A list that still contains the first backend does not bring it back. For the same service, the spare
    // backend is left out, so that only the backend at the reused address remains.
    let mut backends = vec![first(), listed_for(service, "second", &reused, "a", 0)];
    if service != SERVICE {
        backends.push(listed("spare", &spare, "b", 0));
    }
    proxy.send_list(3, backends).await;
    assert_eq!(test_bed.request(path).await.expect("an answer"), OK);
    assert_eq!(reused.arrivals(), 2, "the backend that has the address now serves");
    assert_eq!(test_bed.request("/take").await.expect("an answer"), OK);
    assert_eq!(reused.misdirected(), 1);
    assert_eq!(proxy.metric("attempt_ends_total", "misdirected").await, 1.0);
}

#[test]
fn an_address_reused_by_the_same_service_misdirects_one_request() {
    helper::run(one_misdirected_answer_is_enough(TestBed::new(1), SERVICE, "/take"));
}

#[test]
fn an_address_reused_by_another_service_misdirects_one_request() {
    helper::run(one_misdirected_answer_is_enough(TestBed::new(2), OTHER_SERVICE, "/other/take"));
}
