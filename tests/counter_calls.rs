//! Order of the calls to the counter: waiting requests go before returned units, the earliest deadline first.

mod helper;
use doorcourse::*;
use helper::*;

/// Maximum calls in flight at once, each for a customer with a waiting request.
const MAX_CALLS: u64 = 12;

fn counts(actions: &[Action]) -> Vec<(u64, f64)> {
    let call = |action: &Action| match action {
        Action::AddToCounter { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

fn answer(harness: &mut Harness, call: (u64, f64)) -> Vec<Action> {
    // Immediately, so that the counter counts as fast.
    harness.handle(Event::CounterReply { key: call.0, outcome: CountOutcome::Total(call.1), latency: 0.0 })
}

#[test]
fn a_request_that_waits_for_a_call_gets_the_next_free_one() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4"]);
    let first: Vec<_> = (0..MAX_CALLS)
        .map(|n| counts(&harness.request(n + 1, &format!("m{n:02}"), "plain", "safe"))[0])
        .collect();
    // Their names sort in the reverse order of their arrival.
    for (id, name) in [(101, "z"), (102, "y"), (103, "a")] {
        assert!(
            counts(&harness.request(id, name, "plain", "safe")).is_empty(),
            "{name}: all calls are in flight"
        );
        harness.now += 1.0;
    }
    let mut next = Vec::new();
    for (n, call) in first.iter().take(3).enumerate() {
        next.extend(counts(&answer(&mut harness, *call)));
        assert_eq!(next.len(), n + 1, "one call ended, so one begins");
    }
    let sent_id = |action: &Action| match action {
        Action::Send { id, .. } => Some(*id),
        _ => None,
    };
    let served: Vec<_> =
        next.iter().flat_map(|call| answer(&mut harness, *call)).filter_map(|a| sent_id(&a)).collect();
    assert_eq!(served, [101, 102, 103]);
}

#[test]
fn a_call_that_ends_without_a_total_frees_its_slot() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let first: Vec<_> = (0..MAX_CALLS)
        .map(|n| counts(&harness.request(n + 1, &format!("m{n:02}"), "plain", "safe"))[0])
        .collect();
    assert!(counts(&harness.request(101, "late", "plain", "safe")).is_empty());
    let actions = harness.handle(Event::CounterReply {
        key: first[0].0,
        outcome: CountOutcome::NotAdded,
        latency: 1.0,
    });
    // The counter now counts as slower: fewer calls are allowed, and none for this customer until one is
    // free.
    assert!(counts(&actions).is_empty());
    let begun: usize = first[1..].iter().map(|call| counts(&answer(&mut harness, *call)).len()).sum();
    assert_eq!(begun, 1);
}

#[test]
fn units_are_returned_only_while_no_request_waits_and_half_of_the_calls_are_free() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4"]);
    // Eight customers of two gateways are idle with most of a lease left, of a quota that is scarce.
    for n in 0..8 {
        let call = counts(&harness.request(n + 1, &format!("idle{n}"), "plain", "safe"))[0];
        answer(&mut harness, (call.0, call.1 + 4.0));
        harness.end_attempt(n + 1, 0, &"a1".into(), Outcome::Served);
    }
    // Six calls are in flight: half of the maximum.
    let in_flight: Vec<_> =
        (0..6).map(|n| counts(&harness.request(n + 21, &format!("m{n}"), "plain", "safe"))[0]).collect();
    assert!(counts(&harness.advance(400.0, &[])).is_empty(), "nothing is returned now");
    // A customer whose window ended meanwhile calls again.
    let again: usize = in_flight[..3].iter().map(|call| counts(&answer(&mut harness, *call)).len()).sum();
    assert!(again < 3);
    let returned = counts(&harness.advance(25.0, &[]));
    assert_eq!(returned.len(), 3 - again, "{returned:?}");
    assert!(returned.iter().all(|(_, amount)| *amount < 0.0));
}

#[test]
fn a_lease_that_no_other_gateway_could_use_is_kept_until_its_window_ends() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let call = counts(&harness.request_via(1, "alone", "plain", "safe", false, 1))[0];
    harness.reply_total(call.0, call.1);
    harness.end_attempt(1, 0, &"a1".into(), Outcome::Served);
    for _ in 0..20 {
        assert!(counts(&harness.advance(25.0, &[])).is_empty());
    }
    assert_eq!(
        send_count(&harness.request_via(2, "alone", "plain", "safe", false, 1)),
        1,
        "paid from the lease"
    );
}

#[test]
fn thousands_of_customers_are_visited_in_turn_and_all_are_removed() {
    let mut harness = Harness::new(settings(), &["a1"]);
    for n in 0..2000 {
        let actions = harness.request(n + 1, &format!("once{n:04}"), "plain", "safe");
        for (key, amount) in counts(&actions) {
            harness.reply_total(key, amount);
        }
        harness.handle(Event::ClientDisconnected { id: n + 1 });
        harness.end_attempt(n + 1, 0, &"a1".into(), Outcome::Cancelled);
    }
    harness.now += 10_000.0;
    let mut rounds = 0;
    while harness.gateway.customer_count() > 0 {
        let before = harness.gateway.customer_count();
        for (key, amount) in counts(&harness.advance(25.0, &[])) {
            harness.reply_total(key, amount);
        }
        assert!(before - harness.gateway.customer_count() <= 256, "no round visits all");
        rounds += 1;
        assert!(rounds < 40, "{before} customers are left");
    }
}

#[test]
fn fast_malformed_answers_do_not_reduce_the_calls() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4"]);
    for id in 1..=20 {
        let call = counts(&harness.request(id, &format!("spoilt{id}"), "plain", "safe"))[0];
        let outcome = CountOutcome::Unknown;
        let again = harness.handle(Event::CounterReply { key: call.0, outcome, latency: 1.0 });
        // The call is repeated at once for the waiting request.
        answer(&mut harness, counts(&again)[0]);
    }
    let in_flight: usize = (0..MAX_CALLS)
        .map(|n| counts(&harness.request(100 + n, &format!("m{n}"), "plain", "safe")).len())
        .sum();
    assert_eq!(in_flight as u64, MAX_CALLS);
}
