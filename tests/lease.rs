//! The ordinary path: blocks, refusal, give-back, windows.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn first_block_is_burst_over_gateways_and_is_spent_locally() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let did = door.ask(1, "c", "plain", "safe");
    let (name, amount) = count(&did).expect("a block is asked for");
    assert_eq!(amount, 5.0);
    assert_eq!(sends(&did), 0, "waits for its block");
    assert_eq!(sends(&door.total(name, 5.0)), 1);
    for id in 2..=5 {
        let did = door.ask(id, "c", "plain", "safe");
        assert_eq!(sends(&did), 1, "request {id} is paid from the block in hand");
    }
}

#[test]
fn beyond_block_and_count_a_request_is_refused_with_advice_and_the_rest_goes_back() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    // Others hold the whole burst and more than the window has refilled by now.
    let did = door.total(name, amount + 40.0);
    let advice = did.iter().find_map(|a| match a {
        Action::Refuse { id: 1, retry_after } => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|ms| ms > 0.0), "{did:?}");
    let (_, back) = count(&did).expect("what does not fit goes back");
    assert_eq!(back, -amount);
}

#[test]
fn all_gateways_derive_the_same_name_and_it_changes_with_the_window() {
    let mut other = settings();
    other.gateway_index = 1;
    let mut one = Door::new(settings(), &["a1"]);
    let mut two = Door::new(other, &["a1"]);
    let first = count(&one.ask(1, "c", "plain", "safe")).expect("call").0;
    assert_eq!(first, count(&two.ask(1, "c", "plain", "safe")).expect("call").0);
    let mut later = Door::new(settings(), &["a1"]);
    later.now += 20_000.0;
    assert_ne!(first, count(&later.ask(1, "c", "plain", "safe")).expect("call").0);
}

#[test]
fn a_block_is_not_spent_past_its_window() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.total(name, amount);
    door.now += 4_001.0;
    let did = door.ask(2, "c", "plain", "safe");
    assert_eq!(sends(&did), 0, "the old block has ended");
    assert!(count(&did).is_some_and(|(next, _)| next != name));
}

#[test]
fn an_unsent_request_puts_its_units_back() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.tell(Event::BackendList(Vec::new()));
    let did = door.total(name, amount);
    assert_eq!(sends(&did), 0);
    door.pass(300.0, &[1]);
    door.tell(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    for id in 2..=3 {
        let did = door.ask(id, "c", "plain", "safe");
        assert!(count(&did).is_none(), "the block still holds all five units");
        door.end(id, 0, &"a1".into(), Outcome::Served);
    }
}

#[test]
fn units_of_a_request_whose_attempts_surely_never_ran_go_back_once() {
    for (outcome, held) in [
        (Outcome::ConnectFailed, 5.0),
        (Outcome::NeverSent, 5.0),
        (Outcome::Rejected, 5.0),
        (Outcome::ConnectionLost, 4.0),
        (Outcome::Error, 4.0),
        (Outcome::Cancelled, 4.0),
    ] {
        let mut door = Door::new(settings(), &["a1"]);
        let (name, amount) = count(&door.ask(1, "c", "plain", "unsafe")).expect("call");
        assert_eq!(sends(&door.total(name, amount)), 1);
        assert_eq!(door.gateway.leased_and_owed(), (4.0, 0.0), "one unit of five is spent");
        door.tell(Event::BackendList(Vec::new()));
        let did = door.end(1, 0, &"a1".into(), outcome);
        assert!(failed(&did, 1) || refused(&door.pass(300.0, &[1]), 1), "{outcome:?}");
        assert_eq!(door.gateway.leased_and_owed(), (held, 0.0), "{outcome:?}");
    }
}

#[test]
fn units_of_a_client_that_left_wait_for_the_end_of_its_attempt() {
    for (outcome, held) in [
        (Outcome::NeverSent, 5.0),
        (Outcome::ConnectFailed, 5.0),
        (Outcome::Cancelled, 4.0),
        (Outcome::Served, 4.0),
    ] {
        let mut door = Door::new(settings(), &["a1", "a2"]);
        let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
        let (_, backend) = sent(&door.total(name, amount)).expect("sent on");
        door.tell(Event::ClientDisconnected { id: 1 });
        assert_eq!(
            (door.gateway.leased_and_owed(), door.gateway.in_flight()),
            ((4.0, 0.0), (1, 1)),
            "still out"
        );
        let did = door.end(1, 0, &backend, outcome);
        assert!(sends(&did) == 0 && !refused(&did, 1) && !failed(&did, 1), "nothing is owed: {did:?}");
        assert_eq!(
            (door.gateway.leased_and_owed(), door.gateway.in_flight()),
            ((held, 0.0), (0, 0)),
            "{outcome:?}"
        );
        door.tell(Event::ClientDisconnected { id: 1 });
        assert_eq!(door.gateway.leased_and_owed(), (held, 0.0), "not twice");
    }
}

#[test]
fn settled_units_are_added_later() {
    let mut set = settings();
    (set.actual_units_reported, set.max_request_units) = (true, 4.0);
    let mut door = Door::new(set, &["a1", "a2"]);
    let backend = door.served(1, "c", "plain", "safe");
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
    door.tell(Event::AttemptEnded(end));
    let did = door.pass(30.0, &[]);
    assert!(count(&did).is_some_and(|(_, amount)| amount >= 3.0), "{did:?}");
}

#[test]
fn idle_customers_are_forgotten() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    door.end(1, 0, &at, Outcome::Served);
    door.pass(60_000.0, &[]);
    let did = door.ask(2, "c", "plain", "safe");
    assert_eq!(count(&did).expect("call").1, 5.0, "a forgotten customer starts with a first block again");
}

#[test]
fn a_long_wait_for_a_block_falls_to_the_silence_rule() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    assert_eq!(sends(&door.ask(1, "c", "plain", "safe")), 0);
    assert_eq!(sends(&door.pass(100.0, &[1])), 1);
}

#[test]
fn at_the_end_blocks_in_hand_go_back_and_no_new_ones_are_taken() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.total(name, amount);
    door.tell(Event::ShuttingDown);
    door.now += 25.0;
    let did = door.tell(Event::Timer { token: 1 });
    assert_eq!(count(&did), Some((name, 1.0 - amount)), "all but what was spent");
    door.total(name, 1.0);
    assert_eq!(count(&door.tell(Event::Timer { token: 1 })), None);
    // A late one takes what it needs and no more.
    assert_eq!(count(&door.ask(2, "c", "plain", "safe")), Some((name, 1.0)));
}

#[test]
fn what_the_slice_let_in_while_a_call_was_out_is_paid_from_its_block() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3", "a4"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    // The call is late: its request is let in from the slice, once it has waited its share.
    door.now += 100.0;
    assert_eq!(sends(&door.tell(Event::Timer { token: 2 })), 1);
    let did = door.total(name, amount);
    assert_eq!(count(&did), None, "nothing more to tell of");
    let sent: usize = (2..=6).map(|id| sends(&door.ask(id, "c", "plain", "safe"))).sum();
    assert_eq!(sent, 4, "the block of five has paid for the first");
}
