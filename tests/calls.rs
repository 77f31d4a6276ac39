//! Calls to the counter by need: who waits goes before what goes back, whose time is over first goes first.

mod helper;
use doorcourse::*;
use helper::*;

/// As many calls as may be out at once, each for a customer with a request that waits.
const MOST: u64 = 12;

fn counts(did: &[Action]) -> Vec<(u64, f64)> {
    let call = |action: &Action| match action {
        Action::AddToCounter { key: name, amount, .. } => Some((*name, *amount)),
        _ => None,
    };
    did.iter().filter_map(call).collect()
}

fn answer(door: &mut Door, call: (u64, f64)) -> Vec<Action> {
    // At once, so that the counter stays at ease.
    door.tell(Event::CounterReply { key: call.0, outcome: CountOutcome::Total(call.1), latency: 0.0 })
}

#[test]
fn who_waits_while_all_calls_are_out_has_the_next_one_that_is_free() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3", "a4"]);
    let first: Vec<_> =
        (0..MOST).map(|n| counts(&door.ask(n + 1, &format!("m{n:02}"), "plain", "safe"))[0]).collect();
    // Their names stand in the reverse of the order in which they come.
    for (id, name) in [(101, "z"), (102, "y"), (103, "a")] {
        assert!(counts(&door.ask(id, name, "plain", "safe")).is_empty(), "{name}: all calls are out");
        door.now += 1.0;
    }
    let mut next = Vec::new();
    for (n, call) in first.iter().take(3).enumerate() {
        next.extend(counts(&answer(&mut door, *call)));
        assert_eq!(next.len(), n + 1, "one call ended, so one begins");
    }
    let sent = |action: &Action| match action {
        Action::Send { id, .. } => Some(*id),
        _ => None,
    };
    let served: Vec<_> =
        next.iter().flat_map(|call| answer(&mut door, *call)).filter_map(|a| sent(&a)).collect();
    assert_eq!(served, [101, 102, 103]);
}

#[test]
fn a_call_that_ends_without_a_total_frees_its_place_too() {
    let mut door = Door::new(settings(), &["a1"]);
    let first: Vec<_> =
        (0..MOST).map(|n| counts(&door.ask(n + 1, &format!("m{n:02}"), "plain", "safe"))[0]).collect();
    assert!(counts(&door.ask(101, "late", "plain", "safe")).is_empty());
    let did =
        door.tell(Event::CounterReply { key: first[0].0, outcome: CountOutcome::NotAdded, latency: 1.0 });
    // The counter is taken for less at ease: fewer calls, and none for this one until there is room.
    assert!(counts(&did).is_empty());
    let begun: usize = first[1..].iter().map(|call| counts(&answer(&mut door, *call)).len()).sum();
    assert_eq!(begun, 1);
}

#[test]
fn what_goes_back_is_told_only_while_nobody_waits_and_half_of_the_calls_are_free() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3", "a4"]);
    // Eight customers of two gateways are idle with most of a block in hand, of a quota that is scarce.
    for n in 0..8 {
        let call = counts(&door.ask(n + 1, &format!("idle{n}"), "plain", "safe"))[0];
        answer(&mut door, (call.0, call.1 + 4.0));
        door.end(n + 1, 0, &"a1".into(), Outcome::Served);
    }
    // Six calls are out: half of what may be.
    let out: Vec<_> =
        (0..6).map(|n| counts(&door.ask(n + 21, &format!("m{n}"), "plain", "safe"))[0]).collect();
    assert!(counts(&door.pass(400.0, &[])).is_empty(), "nothing goes back now");
    // One whose window ended meanwhile asks again.
    let again: usize = out[..3].iter().map(|call| counts(&answer(&mut door, *call)).len()).sum();
    assert!(again < 3);
    let back = counts(&door.pass(25.0, &[]));
    assert_eq!(back.len(), 3 - again, "{back:?}");
    assert!(back.iter().all(|(_, amount)| *amount < 0.0));
}

#[test]
fn a_block_that_no_other_gateway_could_use_is_kept_until_its_window_ends() {
    let mut door = Door::new(settings(), &["a1"]);
    let call = counts(&door.ask_of(1, "alone", "plain", "safe", false, 1))[0];
    door.total(call.0, call.1);
    door.end(1, 0, &"a1".into(), Outcome::Served);
    for _ in 0..20 {
        assert!(counts(&door.pass(25.0, &[])).is_empty());
    }
    assert_eq!(sends(&door.ask_of(2, "alone", "plain", "safe", false, 1)), 1, "paid from the block in hand");
}

#[test]
fn customers_by_the_thousand_are_looked_after_in_turn_and_all_forgotten() {
    let mut door = Door::new(settings(), &["a1"]);
    for n in 0..2000 {
        let did = door.ask(n + 1, &format!("once{n:04}"), "plain", "safe");
        for (name, amount) in counts(&did) {
            door.total(name, amount);
        }
        door.tell(Event::ClientDisconnected { id: n + 1 });
        door.end(n + 1, 0, &"a1".into(), Outcome::Cancelled);
    }
    door.now += 10_000.0;
    let mut rounds = 0;
    while door.gateway.customer_count() > 0 {
        let before = door.gateway.customer_count();
        for (name, amount) in counts(&door.pass(25.0, &[])) {
            door.total(name, amount);
        }
        assert!(before - door.gateway.customer_count() <= 256, "no round looks after all");
        rounds += 1;
        assert!(rounds < 40, "{before} customers are left");
    }
}

#[test]
fn answers_that_were_spoilt_at_once_are_no_reason_to_call_less() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3", "a4"]);
    for id in 1..=20 {
        let call = counts(&door.ask(id, &format!("spoilt{id}"), "plain", "safe"))[0];
        let outcome = CountOutcome::Unknown;
        let again = door.tell(Event::CounterReply { key: call.0, outcome, latency: 1.0 });
        // It is asked again at once for who waits.
        answer(&mut door, counts(&again)[0]);
    }
    let out: usize =
        (0..MOST).map(|n| counts(&door.ask(100 + n, &format!("m{n}"), "plain", "safe")).len()).sum();
    assert_eq!(out as u64, MOST);
}
