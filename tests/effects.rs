//! One answer, in time; repeats only as the class allows; never two attempts out.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn proof_that_nothing_ran_leads_elsewhere_at_once_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NeverSent] {
            let mut door = Door::new(settings(), &["a1", "a2"]);
            let at = door.served(1, "c", "plain", class);
            let did = door.end(1, 0, &at, outcome);
            assert!(sent(&did).is_some_and(|(_, next)| next != at), "{class} {outcome:?}");
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Cancelled] {
        let mut door = Door::new(settings(), &["a1", "a2"]);
        let at = door.served(1, "c", "plain", "unsafe");
        let did = door.pass(900.0, &[1]);
        assert!(
            !did.iter().any(|a| matches!(a, Action::CancelAttempt { .. })),
            "its hold's timer has outlived the hold"
        );
        let did = door.end(1, 0, &at, outcome);
        assert!(failed(&did, 1) && sends(&did) == 0, "{outcome:?}: {did:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_its_time() {
    let mut door = Door::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);
    let at = door.served(1, "c", "plain", "keyed");
    let mates = if at.starts_with('a') { 'a' } else { 'b' };
    let (_, next) = sent(&door.end(1, 0, &at, Outcome::ConnectionLost)).expect("sent again");
    assert!(next.starts_with(mates));
    door.now += 4000.0;
    let did = door.end(1, 1, &next, Outcome::ConnectionLost);
    assert!(sends(&did) == 0 && failed(&did, 1), "no longer dropped as a repeat: {did:?}");
}

#[test]
fn a_keyed_request_that_waited_until_its_group_forgot_it_is_not_sent() {
    // Found by the exhaustive check of all orders: the time was looked at when an attempt ended, and not again when a
    // backend was free at last.
    for (waits, sent_again) in [(50.0, true), (120.0, false)] {
        let mut settings = settings();
        settings.classes[1].dedup_window = 1000.0;
        let mut door = Door::new(settings, &["a1"]);
        let at = door.served(1, "c", "plain", "keyed");
        door.now += 900.0;
        door.tell(Event::BackendChanges(vec![backend("a1", BackendState::Draining, None)]));
        let did = door.end(1, 0, &at, Outcome::Error);
        assert!(sends(&did) == 0 && !failed(&did, 1), "it waits for a backend of its group: {did:?}");
        door.now += waits;
        let did = door.tell(Event::BackendChanges(vec![backend("a1", BackendState::Ready, None)]));
        assert_eq!(sends(&did) == 1, sent_again, "after {waits} ms: {did:?}");
        // The host is told how long it has for the writing: to 8 ms before the end.
        let left =
            did.iter().find_map(|a| if let Action::Send { write_by, .. } = a { *write_by } else { None });
        assert!(left.is_none_or(|left| (left - 42.0).abs() < 5.0), "{left:?}");
        assert_eq!(left.is_some(), sent_again);
    }
}

#[test]
fn an_attempt_is_left_to_run_until_its_outcome() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    for _ in 0..4 {
        let did = door.pass(450.0, &[1]);
        assert!(
            !did.iter().any(|a| matches!(a, Action::CancelAttempt { .. } | Action::Send { .. })),
            "{did:?}"
        );
    }
    let did = door.end(1, 0, &at, Outcome::ConnectionLost);
    assert!(sent(&did).is_some_and(|(_, next)| next != at), "{did:?}");
}

#[test]
fn the_last_answer_comes_at_the_deadline_whatever_the_outcome() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    door.now += 2000.0;
    let did = door.end(1, 0, &at, Outcome::TimedOut);
    assert!(failed(&did, 1) && sends(&did) == 0);
    assert!(door.end(1, 0, &at, Outcome::TimedOut).iter().all(|a| !matches!(a, Action::Fail { .. })));
}

#[test]
fn with_no_backend_a_request_waits_its_hold_and_is_refused_once() {
    let mut door = Door::new(settings(), &[]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "unsafe")).expect("call");
    let did = door.total(name, amount);
    assert!(!refused(&did, 1));
    assert!(refused(&door.pass(300.0, &[1]), 1));
    assert!(!refused(&door.pass(300.0, &[1]), 1));
}

#[test]
fn a_client_that_leaves_gets_no_answer() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.tell(Event::ClientDisconnected { id: 1 });
    let did = door.total(name, amount);
    assert!(sends(&did) == 0 && !refused(&did, 1) && !failed(&did, 1));
    let at = door.served(2, "c", "plain", "safe");
    door.tell(Event::ClientDisconnected { id: 2 });
    assert_eq!(sends(&door.end(2, 0, &at, Outcome::ConnectionLost)), 0);
}

#[test]
fn events_about_unknown_things_are_harmless() {
    let mut door = Door::new(settings(), &["a1"]);
    door.end(9, 3, &"nowhere".into(), Outcome::Served);
    door.total(77, 5.0);
    door.tell(Event::Timer { token: 999 });
    door.tell(Event::ClientDisconnected { id: 8 });
    assert!(refused(&door.ask(5, "c", "no such plan", "safe"), 5));
    assert!(refused(&door.ask(6, "c", "plain", "no such class"), 6));
    let did = door.tell(Event::Request(Arrival {
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
    assert!(count(&did).is_some());
}

#[test]
fn a_safe_request_that_two_backends_left_unanswered_is_not_sent_a_third_time() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let at = door.served(1, "c", "plain", "safe");
    let (_, next) = sent(&door.end(1, 0, &at, Outcome::Cancelled)).expect("one repeat");
    let did = door.pass(900.0, &[1]);
    assert!(!did.iter().any(|a| matches!(a, Action::CancelAttempt { .. })), "the repeat is left to finish");
    let did = door.end(1, 1, &next, Outcome::ConnectionLost);
    assert!(sends(&did) == 0 && refused(&did, 1), "{did:?}");
}
