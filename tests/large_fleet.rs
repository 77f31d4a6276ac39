//! Hundreds of gateways, driven directly: checks the sum of what they admit.

mod helper;
use doorcourse::*;
use helper::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 500;

/// All gateways of a fleet with these backends; with `cold`, the last backend starts cold now.
fn fleet(gateways: u32, backends: &[String], cold: bool, peer_messages: bool) -> Vec<Harness> {
    let names: Vec<&str> = backends.iter().map(String::as_str).collect();
    (0..gateways)
        .map(|index| {
            let settings = Settings { gateways, gateway_index: index, peer_messages, ..settings() };
            let mut harness = Harness::seeded(settings, 1000 + u64::from(index), &names);
            if cold {
                let started = Some(harness.now);
                let last = backends.last().expect("a backend");
                harness.handle(Event::BackendChanges(vec![backend(last, BackendState::Ready, started)]));
            }
            harness
        })
        .collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("a{n}")).collect()
}

/// A request of a customer spread over all gateways.
fn request(harness: &mut Harness, id: RequestId, customer: &str, is_retry: bool) -> Vec<Action> {
    harness.request_via(id, customer, "plain", "safe", is_retry, GATEWAYS)
}

#[test]
fn the_quota_of_a_sampled_customer_holds_over_all_gateways() {
    // Burst 10, rate 5: in 1.5 s, less than the refill time, at most the bursts of two windows can be
    // granted.
    let mut harnesses = fleet(GATEWAYS, &names(20), false, false);
    let (mut admitted, mut totals) = (0, BTreeMap::<u64, f64>::new());
    let start = harnesses[0].now;
    for (id, harness) in (1..).zip(&mut harnesses) {
        harness.now = start + 3.0 * id as f64;
        let mut actions = request(harness, id, "c", false);
        if let Some((key, amount)) = counter_call(&actions) {
            let total = totals.entry(key).or_default();
            *total += amount;
            actions.extend(harness.reply_total(key, *total));
        }
        admitted += send_count(&actions);
    }
    assert!((5..=20).contains(&admitted), "{admitted} of {GATEWAYS} requests were sent");
}

#[test]
fn each_gateway_of_a_large_fleet_uses_few_backends_and_all_are_used_evenly() {
    let mut harnesses = fleet(GATEWAYS, &names(50), false, false);
    let (mut per_backend, mut most) = (BTreeMap::<Name, u32>::new(), 0);
    for harness in &mut harnesses {
        let mut own = BTreeSet::new();
        for id in 1..=20 {
            let at = harness.send_request(id, &format!("c{id}"), "plain", "unsafe");
            harness.end_attempt(id, 0, &at, Outcome::Served);
            *per_backend.entry(at.clone()).or_default() += 1;
            own.insert(at);
        }
        most = most.max(own.len());
    }
    assert!(most <= 15, "a gateway used {most} backends");
    let busiest = per_backend.values().max().copied().unwrap_or_default();
    assert_eq!(per_backend.len(), 50);
    assert!(f64::from(busiest) < 1.6 * f64::from(GATEWAYS * 20 / 50), "{busiest}");
}

#[test]
fn two_or_five_hundred_gateways_send_a_cold_backend_only_its_share_from_the_first_ms() {
    for gateways in [2, GATEWAYS] {
        let backends = names(10);
        let mut harnesses = fleet(gateways, &backends, true, false);
        let (mut to_cold, rounds) = (0, 5000 / gateways as u64);
        for id in 1..=rounds {
            for harness in &mut harnesses {
                let at = harness.send_request(id, &format!("c{id}"), "plain", "safe");
                to_cold += u32::from(&*at == "a9");
                harness.end_attempt(id, 0, &at, Outcome::Served);
            }
        }
        // An even part is 500 of 5000; at 0.2 of its capacity a fifth of that, less the safety margin.
        assert!((40..=120).contains(&to_cold), "{gateways} gateways: {to_cold}");
    }
}

#[test]
fn without_warm_backends_cold_ones_get_their_share() {
    let mut harnesses = fleet(GATEWAYS, &names(1), true, false);
    let mut admitted = 0;
    for harness in &mut harnesses {
        let mut actions = request(harness, 1, "c", false);
        if let Some((key, _)) = counter_call(&actions) {
            actions.extend(harness.reply_total(key, 1.0));
        }
        admitted += send_count(&actions);
    }
    assert!((40..=130).contains(&admitted), "about a sixth of {GATEWAYS}: {admitted}");
}

#[test]
fn gateways_with_peer_messages_broadcast_and_apply_that_a_customer_is_over_its_quota() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false, true);
    let (key, amount) = counter_call(&request(&mut harnesses[0], 1, "c", false)).expect("a call");
    let actions = harnesses[0].reply_total(key, 1000.0 + amount);
    let message = actions
        .iter()
        .find_map(|a| if let Action::Broadcast { bytes } = a { Some(bytes.clone()) } else { None });
    assert!(is_refused(&actions, 1));
    harnesses[1].handle(Event::PeerMessage { from: 0, bytes: message.expect("a broadcast") });
    for junk in [vec![], vec![1; 7], vec![255; 300]] {
        harnesses[1].handle(Event::PeerMessage { from: 0, bytes: junk });
    }
    // The counter rejects all calls: only the message of the other gateway is left.
    let mut admitted = 0;
    for id in 1..=40 {
        let mut actions = request(&mut harnesses[1], id, "c", false);
        if let Some((key, _)) = counter_call(&actions) {
            let (outcome, latency) = (CountOutcome::NotAdded, 1.0);
            actions.extend(harnesses[1].handle(Event::CounterReply { key, outcome, latency }));
        }
        admitted += send_count(&actions);
    }
    assert!(admitted <= 4, "{admitted} of 40 were sent for a customer a hundred times over its quota");
}

#[test]
fn a_client_retry_reads_the_count_and_adds_nothing() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false, false);
    let mut seen = Vec::new();
    for id in 1..=60 {
        // After fast answers the counter has capacity for calls for retries.
        let actions = request(&mut harnesses[0], id, &format!("c{id}"), id > 30);
        if let Some((key, amount)) = counter_call(&actions) {
            harnesses[0].reply_total(key, 1.0);
            seen.push((id > 30, amount));
        }
    }
    assert!(seen.iter().any(|(is_retry, _)| *is_retry), "some retries call the counter");
    assert!(seen.iter().all(|(is_retry, amount)| *amount == if *is_retry { 0.0 } else { 1.0 }), "{seen:?}");
}

#[test]
fn late_answers_shed_fresh_requests_and_the_fleet_recovers() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false, false);
    let mut id = 0;
    let mut round = |harness: &mut Harness, latency: Millis, requests: u64| {
        let mut admitted = 0;
        for _ in 0..requests {
            id += 1;
            let mut actions = request(harness, id, &format!("c{id}"), false);
            if let Some((key, amount)) = counter_call(&actions) {
                actions.extend(harness.reply_total(key, amount));
            }
            for (id, backend) in actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))) {
                admitted += 1;
                harness.end_attempt_after(latency, id, 0, &backend, Outcome::Served);
            }
        }
        admitted
    };
    assert_eq!(round(&mut harnesses[0], 100.0, 40), 40, "all are admitted while answers are in time");
    round(&mut harnesses[0], 790.0, 40);
    assert!(round(&mut harnesses[0], 790.0, 40) < 30, "late answers shed requests");
    round(&mut harnesses[0], 100.0, 300);
    assert!(round(&mut harnesses[0], 100.0, 40) > 36, "and it recovers");
}

#[test]
fn during_a_silence_a_few_late_answers_do_not_shed_all_requests_without_a_total() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false, false);
    let (harness, mut id) = (&mut harnesses[0], 0);
    // No probability was ever learned: an unknown one counts as learned at time zero of the clock.
    harness.now += 60_000.0;
    let mut offer = |harness: &mut Harness, latency: Millis, requests: u64| {
        let mut admitted = 0;
        for _ in 0..requests {
            id += 1;
            harness.now += 60.0;
            let mut actions = request(harness, id, &format!("c{id}"), false);
            if let Some((key, _)) = counter_call(&actions) {
                actions.extend(harness.handle(Event::CounterReply {
                    key,
                    outcome: CountOutcome::NotAdded,
                    latency: 1.0,
                }));
            }
            for (id, backend) in actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))) {
                admitted += 1;
                harness.end_attempt_after(latency, id, 0, &backend, Outcome::Served);
            }
        }
        admitted
    };
    assert_eq!(offer(harness, 100.0, 20), 20, "without totals no customer is over its quota");
    assert_eq!(offer(harness, 790.0, 2), 2);
    let admitted = offer(harness, 100.0, 8);
    assert!(admitted >= 4, "{admitted} of 8 were sent after two late answers during the silence");
}
