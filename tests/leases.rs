//! Leases with a working counter: grants, refusals, returned units, windows.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn the_first_lease_is_burst_over_gateways_and_is_spent_locally() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let actions = harness.request(1, "c", "plain", "safe");
    let (key, amount) = counter_call(&actions).expect("a lease is requested");
    assert_eq!(amount, 5.0);
    assert_eq!(send_count(&actions), 0, "waits for its lease");
    assert_eq!(send_count(&harness.reply_total(key, 5.0)), 1);
    for id in 2..=5 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert_eq!(send_count(&actions), 1, "request {id} is paid from the lease");
    }
}

#[test]
fn beyond_the_quota_a_request_is_refused_with_retry_after_and_the_rest_is_returned() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    // Others hold the whole burst and more than the window has refilled by now.
    let actions = harness.reply_total(key, amount + 40.0);
    let advice = actions.iter().find_map(|a| match a {
        Action::Refuse { id: 1, retry_after } => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|ms| ms > 0.0), "{actions:?}");
    let (_, back) = counter_call(&actions).expect("units that do not fit are returned");
    assert_eq!(back, -amount);
}

#[test]
fn all_gateways_derive_the_same_key_and_it_changes_with_the_window() {
    let mut other = settings();
    other.gateway_index = 1;
    let mut one = Harness::new(settings(), &["a1"]);
    let mut two = Harness::new(other, &["a1"]);
    let first = counter_call(&one.request(1, "c", "plain", "safe")).expect("call").0;
    assert_eq!(first, counter_call(&two.request(1, "c", "plain", "safe")).expect("call").0);
    let mut later = Harness::new(settings(), &["a1"]);
    later.now += 20_000.0;
    assert_ne!(first, counter_call(&later.request(1, "c", "plain", "safe")).expect("call").0);
}

#[test]
fn a_lease_is_not_spent_past_its_window() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.reply_total(key, amount);
    harness.now += 4_001.0;
    let actions = harness.request(2, "c", "plain", "safe");
    assert_eq!(send_count(&actions), 0, "the old lease has expired");
    assert!(counter_call(&actions).is_some_and(|(next, _)| next != key));
}

#[test]
fn an_unsent_request_returns_its_units() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.handle(Event::BackendList(Vec::new()));
    let actions = harness.reply_total(key, amount);
    assert_eq!(send_count(&actions), 0);
    harness.advance(300.0, &[1]);
    harness.handle(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    for id in 2..=3 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert!(counter_call(&actions).is_none(), "the lease still holds all five units");
        harness.end_attempt(id, 0, &"a1".into(), Outcome::Served);
    }
}

#[test]
fn units_of_a_request_that_certainly_never_ran_are_returned_once() {
    for (outcome, held) in [
        (Outcome::ConnectFailed, 5.0),
        (Outcome::NeverSent, 5.0),
        (Outcome::Rejected, 5.0),
        (Outcome::ConnectionLost, 4.0),
        (Outcome::Error, 4.0),
        (Outcome::Cancelled, 4.0),
    ] {
        let mut harness = Harness::new(settings(), &["a1"]);
        let (key, amount) = counter_call(&harness.request(1, "c", "plain", "unsafe")).expect("call");
        assert_eq!(send_count(&harness.reply_total(key, amount)), 1);
        assert_eq!(harness.gateway.leased_and_owed(), (4.0, 0.0), "one unit of five is spent");
        harness.handle(Event::BackendList(Vec::new()));
        let actions = harness.end_attempt(1, 0, &"a1".into(), outcome);
        assert!(is_failed(&actions, 1) || is_refused(&harness.advance(300.0, &[1]), 1), "{outcome:?}");
        assert_eq!(harness.gateway.leased_and_owed(), (held, 0.0), "{outcome:?}");
    }
}

#[test]
fn units_of_a_disconnected_client_are_settled_at_the_end_of_its_attempt() {
    for (outcome, held) in [
        (Outcome::NeverSent, 5.0),
        (Outcome::ConnectFailed, 5.0),
        (Outcome::Cancelled, 4.0),
        (Outcome::Served, 4.0),
    ] {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
        let (_, backend) = first_send(&harness.reply_total(key, amount)).expect("a send");
        harness.handle(Event::ClientDisconnected { id: 1 });
        assert_eq!(
            (harness.gateway.leased_and_owed(), harness.gateway.in_flight()),
            ((4.0, 0.0), (1, 1)),
            "still in flight"
        );
        let actions = harness.end_attempt(1, 0, &backend, outcome);
        assert!(
            send_count(&actions) == 0 && !is_refused(&actions, 1) && !is_failed(&actions, 1),
            "no answer is sent: {actions:?}"
        );
        assert_eq!(
            (harness.gateway.leased_and_owed(), harness.gateway.in_flight()),
            ((held, 0.0), (0, 0)),
            "{outcome:?}"
        );
        harness.handle(Event::ClientDisconnected { id: 1 });
        assert_eq!(harness.gateway.leased_and_owed(), (held, 0.0), "not returned twice");
    }
}

#[test]
fn actual_units_are_added_later() {
    let mut settings = settings();
    (settings.actual_units_reported, settings.max_request_units) = (true, 4.0);
    let mut harness = Harness::new(settings, &["a1", "a2"]);
    let backend = harness.send_request(1, "c", "plain", "safe");
    let end = AttemptEnd {
        id: 1,
        attempt: 0,
        backend,
        outcome: Outcome::Served,
        latency: 90.0,
        actual_units: Some(4.0),
        finished: true,
        load: None,
    };
    harness.handle(Event::AttemptEnded(end));
    let actions = harness.advance(30.0, &[]);
    assert!(counter_call(&actions).is_some_and(|(_, amount)| amount >= 3.0), "{actions:?}");
}

#[test]
fn idle_customers_are_removed() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let at = harness.send_request(1, "c", "plain", "safe");
    harness.end_attempt(1, 0, &at, Outcome::Served);
    harness.advance(60_000.0, &[]);
    let actions = harness.request(2, "c", "plain", "safe");
    assert_eq!(
        counter_call(&actions).expect("call").1,
        5.0,
        "a removed customer starts with a first lease again"
    );
}

#[test]
fn a_long_wait_for_a_lease_is_decided_by_the_slice() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    assert_eq!(send_count(&harness.request(1, "c", "plain", "safe")), 0);
    assert_eq!(send_count(&harness.advance(100.0, &[1])), 1);
}

#[test]
fn on_shutdown_leases_are_returned_and_no_new_ones_are_taken() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.reply_total(key, amount);
    harness.handle(Event::ShuttingDown);
    harness.now += 25.0;
    let actions = harness.handle(Event::Timer { token: 1 });
    assert_eq!(counter_call(&actions), Some((key, 1.0 - amount)), "all but the spent unit");
    harness.reply_total(key, 1.0);
    assert_eq!(counter_call(&harness.handle(Event::Timer { token: 1 })), None);
    // A late request takes only what it needs.
    assert_eq!(counter_call(&harness.request(2, "c", "plain", "safe")), Some((key, 1.0)));
}

#[test]
fn units_that_the_slice_admitted_during_a_call_are_paid_from_its_lease() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    // The call is late: its request is admitted from the slice after its maximum wait.
    harness.now += 100.0;
    assert_eq!(send_count(&harness.handle(Event::Timer { token: 2 })), 1);
    let actions = harness.reply_total(key, amount);
    assert_eq!(counter_call(&actions), None, "nothing more to report");
    let sent: usize = (2..=6).map(|id| send_count(&harness.request(id, "c", "plain", "safe"))).sum();
    assert_eq!(sent, 4, "the lease of five has paid for the first");
}
