//! One answer, in time; retries only as the class allows; never two attempts in flight.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn a_request_that_certainly_never_ran_is_retried_elsewhere_at_once_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NeverSent] {
            let mut harness = Harness::new(settings(), &["a1", "a2"]);
            let at = harness.send_request(1, "c", "plain", class);
            let actions = harness.end_attempt(1, 0, &at, outcome);
            assert!(first_send(&actions).is_some_and(|(_, next)| next != at), "{class} {outcome:?}");
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        let at = harness.send_request(1, "c", "plain", "unsafe");
        let actions = harness.advance(900.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. })),
            "the wait timer does not cancel an attempt once the wait has ended"
        );
        let actions = harness.end_attempt(1, 0, &at, outcome);
        assert!(is_failed(&actions, 1) && send_count(&actions) == 0, "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_dedup_scope_and_window() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);
    let at = harness.send_request(1, "c", "plain", "keyed");
    let cell = if at.starts_with('a') { 'a' } else { 'b' };
    let (_, next) = first_send(&harness.end_attempt(1, 0, &at, Outcome::ConnectionLost)).expect("sent again");
    assert!(next.starts_with(cell));
    harness.now += 4000.0;
    let actions = harness.end_attempt(1, 1, &next, Outcome::ConnectionLost);
    assert!(send_count(&actions) == 0 && is_failed(&actions, 1), "no longer deduplicated: {actions:?}");
}

#[test]
fn a_keyed_request_that_waited_past_its_dedup_window_is_not_sent() {
    // Found by the model checker: the dedup window was checked when an attempt ended, and not again when a
    // backend became free.
    for (waits, sent_again) in [(50.0, true), (120.0, false)] {
        let mut settings = settings();
        settings.classes[1].dedup_window = 1000.0;
        let mut harness = Harness::new(settings, &["a1"]);
        let at = harness.send_request(1, "c", "plain", "keyed");
        harness.now += 900.0;
        harness.handle(Event::BackendChanges(vec![backend("a1", BackendState::Draining, None)]));
        let actions = harness.end_attempt(1, 0, &at, Outcome::Error);
        assert!(
            send_count(&actions) == 0 && !is_failed(&actions, 1),
            "it waits for a backend of its scope: {actions:?}"
        );
        harness.now += waits;
        let actions = harness.handle(Event::BackendChanges(vec![backend("a1", BackendState::Ready, None)]));
        assert_eq!(send_count(&actions) == 1, sent_again, "after {waits} ms: {actions:?}");
        // The host gets the time left for writing: until 8 ms before the end.
        let left =
            actions.iter().find_map(|a| if let Action::Send { write_by, .. } = a { *write_by } else { None });
        assert!(left.is_none_or(|left| (left - 42.0).abs() < 5.0), "{left:?}");
        assert_eq!(left.is_some(), sent_again);
    }
}

#[test]
fn an_attempt_is_not_cancelled_before_its_outcome() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let at = harness.send_request(1, "c", "plain", "safe");
    for _ in 0..4 {
        let actions = harness.advance(450.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. } | Action::Send { .. })),
            "{actions:?}"
        );
    }
    let actions = harness.end_attempt(1, 0, &at, Outcome::ConnectionLost);
    assert!(first_send(&actions).is_some_and(|(_, next)| next != at), "{actions:?}");
}

#[test]
fn the_last_answer_comes_at_the_deadline_whatever_the_outcome() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let at = harness.send_request(1, "c", "plain", "safe");
    harness.now += 2000.0;
    let actions = harness.end_attempt(1, 0, &at, Outcome::TimedOut);
    assert!(is_failed(&actions, 1) && send_count(&actions) == 0);
    assert!(
        harness.end_attempt(1, 0, &at, Outcome::TimedOut).iter().all(|a| !matches!(a, Action::Fail { .. }))
    );
}

#[test]
fn without_a_backend_a_request_waits_and_is_refused_once() {
    let mut harness = Harness::new(settings(), &[]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "unsafe")).expect("call");
    let actions = harness.reply_total(key, amount);
    assert!(!is_refused(&actions, 1));
    assert!(is_refused(&harness.advance(300.0, &[1]), 1));
    assert!(!is_refused(&harness.advance(300.0, &[1]), 1));
}

#[test]
fn a_disconnected_client_gets_no_answer() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.handle(Event::ClientDisconnected { id: 1 });
    let actions = harness.reply_total(key, amount);
    assert!(send_count(&actions) == 0 && !is_refused(&actions, 1) && !is_failed(&actions, 1));
    let at = harness.send_request(2, "c", "plain", "safe");
    harness.handle(Event::ClientDisconnected { id: 2 });
    assert_eq!(send_count(&harness.end_attempt(2, 0, &at, Outcome::ConnectionLost)), 0);
}

#[test]
fn events_with_unknown_ids_are_harmless() {
    let mut harness = Harness::new(settings(), &["a1"]);
    harness.end_attempt(9, 3, &"nowhere".into(), Outcome::Served);
    harness.reply_total(77, 5.0);
    harness.handle(Event::Timer { token: 999 });
    harness.handle(Event::ClientDisconnected { id: 8 });
    assert!(is_refused(&harness.request(5, "c", "no such plan", "safe"), 5));
    assert!(is_refused(&harness.request(6, "c", "plain", "no such class"), 6));
    let actions = harness.handle(Event::Request(Arrival {
        id: 7,
        customer: "c".into(),
        plan: "plain".into(),
        class: "safe".into(),
        units: f64::NAN,
        is_retry: false,
        client_timeout: -5.0,
        first_gateway: 99,
        gateway_count: 0,
        constraints: None,
    }));
    assert!(counter_call(&actions).is_some());
}

#[test]
fn a_safe_request_that_failed_on_two_backends_is_not_sent_a_third_time() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let at = harness.send_request(1, "c", "plain", "safe");
    let (_, next) = first_send(&harness.end_attempt(1, 0, &at, Outcome::Cancelled)).expect("one retry");
    let actions = harness.advance(900.0, &[1]);
    assert!(!actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. })), "the retry is not cancelled");
    let actions = harness.end_attempt(1, 1, &next, Outcome::ConnectionLost);
    assert!(send_count(&actions) == 0 && is_refused(&actions, 1), "{actions:?}");
}
