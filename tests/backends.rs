//! Draining, cold backends, ejection and concurrency limits.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn a_draining_or_gone_backend_gets_no_new_requests() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        harness.handle(Event::BackendChanges(vec![backend("a1", state, None)]));
        for id in 1..=4 {
            assert_eq!(&*harness.send_request(id, "c", "plain", "safe"), "a2");
            harness.end_attempt(id, 0, &"a2".into(), Outcome::Served);
        }
    }
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    harness.handle(Event::BackendList(vec![backend("a2", BackendState::Ready, None)]));
    assert_eq!(&*harness.send_request(1, "c", "plain", "safe"), "a2", "missing from a full list is gone");
}

#[test]
fn a_cold_backend_gets_less_than_its_current_share_of_a_warm_one() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let started = Some(harness.now);
    harness.handle(Event::BackendChanges(vec![backend("a3", BackendState::Ready, started)]));
    let mut to_cold = 0;
    for id in 1..=100 {
        let at = harness.send_request(id, &format!("c{id}"), "plain", "safe");
        to_cold += usize::from(&*at == "a3");
        harness.now += 5.0;
        harness.end_attempt(id, 0, &at, Outcome::Served);
    }
    // Two warm backends share the rest: a tenth of it is a fifth of what one of them gets.
    assert!((1..=10).contains(&to_cold), "{to_cold}");
}

#[test]
fn consecutive_failures_eject_a_backend_and_an_answer_restores_it() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (mut id, mut logs) = (0, Vec::new());
    let mut failures = 0;
    while failures < 2 {
        id += 1;
        let at = harness.send_request(id, &format!("c{id}"), "plain", "unsafe");
        let outcome = if &*at == "a1" { Outcome::TimedOut } else { Outcome::Served };
        failures += usize::from(&*at == "a1");
        logs = harness.end_attempt(id, 0, &at, outcome);
        if outcome == Outcome::TimedOut && failures == 1 {
            let next = harness.send_request(1000, "other", "plain", "unsafe");
            assert_eq!(&*next, "a2", "after one failure it gets nothing for as long as the failure took");
            harness.end_attempt(1000, 0, &next, Outcome::Served);
        }
        harness.now += 150.0;
        assert!(id < 50);
    }
    assert!(logs.iter().any(|a| matches!(a, Action::Log(line) if line.contains("a1 ejected"))));
    for id in 101..=105 {
        assert_eq!(&*harness.send_request(id, &format!("c{id}"), "plain", "safe"), "a2");
        harness.end_attempt(id, 0, &"a2".into(), Outcome::Served);
    }
    harness.now += 1000.0;
    let tried = (201..=210).any(|id| {
        let at = harness.send_request(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &at, Outcome::Served);
        &*at == "a1"
    });
    assert!(tried, "it is tried again later");
}

#[test]
fn lost_connections_eject_a_backend_only_after_three_in_a_row() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let a1: Name = "a1".into();
    for (round, outcomes) in [
        (0, [Outcome::ConnectionLost, Outcome::ConnectionLost, Outcome::Served]),
        (1, [Outcome::ConnectionLost; 3]),
    ] {
        for (n, outcome) in outcomes.into_iter().enumerate() {
            let id = round * 10 + n as u64 + 1;
            harness.send_request(id, &format!("c{id}"), "plain", "unsafe");
            harness.end_attempt_after(1.0, id, 0, &a1, outcome);
        }
    }
    let actions = harness.request(50, "c50", "plain", "unsafe");
    let (key, amount) = counter_call(&actions).expect("a call");
    assert_eq!(
        send_count(&harness.reply_total(key, amount)),
        0,
        "the third in a row counts as a failure of the backend"
    );
}

#[test]
fn requests_in_flight_are_bounded_and_excess_is_refused_early() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (mut sent, mut refused) = (0, 0);
    for id in 1..=40 {
        let mut actions = harness.request(id, &format!("c{id}"), "plain", "safe");
        let (key, amount) = counter_call(&actions).expect("call");
        actions.extend(harness.reply_total(key, amount));
        sent += send_count(&actions);
        refused += usize::from(is_refused(&actions, id));
    }
    assert!((1..=3).contains(&sent), "five for two gateways: {sent}");
    assert!(refused > 30, "{refused}");
}

#[test]
fn a_concurrency_cap_is_shared_by_the_gateways_of_a_customer() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let at = harness.send_request(1, "c", "capped", "safe");
    assert_eq!(
        send_count(&harness.request(2, "c", "capped", "safe")),
        0,
        "a cap of two for two gateways: one each"
    );
    assert_eq!(first_send(&harness.end_attempt(1, 0, &at, Outcome::Served)).map(|(id, _)| id), Some(2));
}

#[test]
fn gone_backends_are_removed_once_nothing_is_in_flight() {
    let mut harness = Harness::new(settings(), &["a0"]);
    let at = harness.send_request(1, "c", "plain", "safe");
    for number in 1..=500 {
        let (old, new) = (format!("a{}", number - 1), format!("a{number}"));
        let changes = vec![backend(&old, BackendState::Gone, None), backend(&new, BackendState::Ready, None)];
        // Changes and full lists alternate.
        let whole = vec![backend(&new, BackendState::Ready, None)];
        harness.handle(if number % 2 == 0 {
            Event::BackendChanges(changes)
        } else {
            Event::BackendList(whole)
        });
        harness.now += 25.0;
        harness.handle(Event::Timer { token: 1 });
    }
    assert_eq!(
        harness.gateway.backend_count(),
        2,
        "the last one, and the first, which still has an attempt in flight"
    );
    harness.end_attempt(1, 0, &at, Outcome::Served);
    harness.handle(Event::Timer { token: 1 });
    assert_eq!(harness.gateway.backend_count(), 1);
}

#[test]
fn a_keyed_retry_stays_in_its_cell_after_its_first_backend_is_removed() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let at = harness.send_request(1, "c", "plain", "keyed");
    harness.handle(Event::BackendList(vec![backend("b1", BackendState::Ready, None)]));
    assert_eq!(send_count(&harness.end_attempt(1, 0, &at, Outcome::ConnectionLost)), 0);
    harness.now += 25.0;
    assert_eq!(
        send_count(&harness.handle(Event::Timer { token: 1 })),
        0,
        "another cell cannot deduplicate the key"
    );
    assert_eq!(harness.gateway.backend_count(), 1);
    let actions = harness.handle(Event::BackendChanges(vec![backend("a2", BackendState::Ready, None)]));
    assert_eq!(first_send(&actions), Some((1, "a2".into())));
}
