//! A silent, slow or emptied counter, and the ceiling in all of these cases.

mod helper;
use doorcourse::*;
use helper::*;

fn reply_timeout(harness: &mut Harness, key: u64) -> Vec<Action> {
    harness.now += 50.0;
    harness.handle(Event::CounterReply { key, outcome: CountOutcome::Unknown, latency: 50.0 })
}

/// Offers a request every 20 ms while the counter does not answer; returns how many were sent.
fn spent_in_silence(harness: &mut Harness, plan: &str, span: Millis) -> usize {
    let (mut admitted, mut id, end) = (0, 1_000_000, harness.now + span);
    while harness.now < end {
        id += 1;
        let mut actions = harness.request(id, "c", plan, "safe");
        if let Some((key, _)) = counter_call(&actions) {
            actions.extend(reply_timeout(harness, key));
        }
        if let Some((id, at)) = first_send(&actions) {
            admitted += 1;
            harness.end_attempt(id, 0, &at, Outcome::Served);
        }
        harness.now += 20.0;
    }
    admitted
}

/// Offers a request under a ceiling while the counter answers with `total` and backends serve at once; returns
/// how many were sent.
fn offer(harness: &mut Harness, id: RequestId, total: &mut f64) -> usize {
    offer_via(harness, id, "c", 2, total)
}

fn offer_via(
    harness: &mut Harness, id: RequestId, customer: &str, gateway_count: u32, total: &mut f64,
) -> usize {
    let mut admitted = Vec::new();
    let mut actions = harness.request_via(id, customer, "ceiling", "safe", false, gateway_count);
    loop {
        admitted.extend(actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))));
        let Some((key, amount)) = counter_call(&actions) else { break };
        *total += amount;
        actions = harness.reply_total(key, *total);
    }
    for (id, at) in &admitted {
        harness.end_attempt(*id, 0, at, Outcome::Served);
    }
    admitted.len()
}

#[test]
fn without_the_counter_a_gateway_spends_at_most_its_even_slice() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    // Burst 10 and rate 5 for two gateways: at most 5 at once and 2.5 per second, 30 in ten seconds.
    let admitted = spent_in_silence(&mut harness, "plain", 10_000.0);
    assert!((26..=30).contains(&admitted), "{admitted}");
}

#[test]
fn the_ceiling_holds_after_a_spent_burst_an_emptied_count_a_restart_and_silence() {
    // The other gateway was just granted the whole burst of 10. This one restarts without state, finds
    // the count emptied, uses what it is granted, and then the counter falls silent.
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let start = harness.now;
    let (mut admitted, mut total, mut id) = (0.0, 0.0, 0);
    while harness.now < start + 2000.0 {
        id += 1;
        admitted += offer(&mut harness, id, &mut total) as f64;
        let ceiling = 16.0 + 8.0 * (harness.now - start) / 1000.0 + 1.6;
        assert!(10.0 + admitted <= ceiling, "10 + {admitted} against {ceiling} before the silence");
        harness.now += 20.0;
    }
    // During the silence each of the two gateways may spend the same slice.
    admitted += 2.0 * spent_in_silence(&mut harness, "ceiling", 4000.0) as f64;
    let ceiling = 16.0 + 8.0 * 6.0 + 1.6;
    assert!(10.0 + admitted <= ceiling, "10 + {admitted} against {ceiling}");
}

#[test]
fn units_held_are_reported_again_to_an_emptied_count() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.reply_total(key, amount);
    let mut call = None;
    for id in 2..=12 {
        call = counter_call(&harness.request(id, "c", "plain", "safe"));
        if call.is_some() {
            break;
        }
    }
    let (key, added) = call.expect("a further lease");
    harness.reply_total(key, added);
    let reported = counter_call(&harness.advance(60.0, &[])).expect("the lost units are reported again");
    assert!(reported.1 >= amount, "{reported:?}");
}

#[test]
fn silence_is_logged_once_and_few_requests_call_the_counter() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let (mut calls, mut lines, mut id) = (0, 0, 0);
    let end = harness.now + 5000.0;
    while harness.now < end {
        id += 1;
        let mut actions = harness.request(id, &format!("c{id}"), "plain", "safe");
        if let Some((key, _)) = counter_call(&actions) {
            calls += 1;
            actions.extend(reply_timeout(&mut harness, key));
        }
        lines += actions.iter().filter(|a| matches!(a, Action::Log(line) if line.contains("silent"))).count();
        if let Some((id, at)) = first_send(&actions) {
            harness.end_attempt(id, 0, &at, Outcome::Served);
        }
        harness.now += 10.0;
    }
    assert_eq!(lines, 1);
    assert!(calls >= 3, "without calls a gateway never learns that the counter is back: {calls}");
    assert!(f64::from(calls) <= 0.15 * id as f64, "{calls} calls for {id} requests");
}

#[test]
fn a_late_total_of_an_ended_window_grants_nothing() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (key, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.advance(100.0, &[1]);
    harness.now += 5000.0;
    let actions = harness.reply_total(key, amount);
    assert_eq!(send_count(&actions), 0);
    assert_eq!(send_count(&harness.request(2, "c", "plain", "safe")), 0, "no lease is left");
}

#[test]
fn after_a_silence_an_idle_gateway_does_not_assume_a_full_balance_under_a_ceiling() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let at = harness.send_request(1, "c", "ceiling", "safe");
    harness.end_attempt(1, 0, &at, Outcome::Served);
    harness.now += 100.0;
    for id in 2..=3 {
        let (key, _) =
            counter_call(&harness.request(id, &format!("other{id}"), "plain", "safe")).expect("call");
        reply_timeout(&mut harness, key);
    }
    // Three seconds in which the other gateway may spend all; then the counter is back, empty.
    harness.now += 3000.0;
    let (mut admitted, mut total, mut id) = (0, 0.0, 100);
    for _ in 0..40 {
        id += 1;
        admitted += offer(&mut harness, id, &mut total);
    }
    // Its part is what the ceiling allows over two gateways: 1.6 / 2 of the burst of 10.
    assert!(admitted <= 8 && total <= 8.0, "only the gateway's own slice: {admitted} sent, {total} added");
}

#[test]
fn a_silent_counter_is_probed_periodically_without_adding_units() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    for id in 1..=2 {
        let (key, _) = counter_call(&harness.request(id, &format!("c{id}"), "plain", "safe")).expect("call");
        reply_timeout(&mut harness, key);
    }
    harness.now += 500.0;
    let mut probes = Vec::new();
    // No request arrives; housekeeping continues.
    for _ in 0..40 {
        let actions = harness.advance(25.0, &[]);
        if let Some((key, amount)) = counter_call(&actions) {
            probes.push(amount);
            reply_timeout(&mut harness, key);
        }
    }
    assert!((5..=8).contains(&probes.len()), "every 200 ms plus a timeout: {probes:?}");
    assert!(probes.iter().all(|amount| *amount == 0.0), "{probes:?}");
}

#[test]
fn right_after_a_silence_units_that_other_gateways_may_still_spend_alone_are_not_granted() {
    // An even part of eight is 1.25 units and 0.625 per second. Gateways that still spend alone for 300 ms
    // may use the 1.3 units that accrue beyond it: a known customer has nothing left for now, a new one has
    // the even part.
    for (customer, most) in [("known", 0.0), ("new", 1.0)] {
        let mut harness = Harness::new(Settings { gateways: 8, ..settings() }, &["a1", "a2", "a3"]);
        let mut total = 0.0;
        assert_eq!(offer_via(&mut harness, 1, "known", 8, &mut total), 1);
        harness.now += 100.0;
        for id in 2..=3 {
            let (key, _) =
                counter_call(&harness.request(id, &format!("other{id}"), "plain", "safe")).expect("call");
            reply_timeout(&mut harness, key);
        }
        harness.now += 2500.0;
        let probe = counter_call(&harness.advance(25.0, &[])).expect("the counter is probed");
        harness.reply_total(probe.0, 0.0);
        total = 0.0;
        for id in 10..20 {
            offer_via(&mut harness, id, customer, 8, &mut total);
        }
        assert!(total <= most, "{customer}: {total} units taken");
    }
}
