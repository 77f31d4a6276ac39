//! The counter silent, slow or emptied; the ceiling through all of it.

mod helper;
use doorcourse::*;
use helper::*;

fn silence(door: &mut Door, name: u64) -> Vec<Action> {
    door.now += 50.0;
    door.tell(Event::CounterReply { key: name, outcome: CountOutcome::Unknown, latency: 50.0 })
}

/// Offers a request every 20 ms while the counter says nothing; gives how many went on.
fn spent_in_silence(door: &mut Door, plan: &str, span: Millis) -> usize {
    let (mut gone_on, mut id, end) = (0, 1_000_000, door.now + span);
    while door.now < end {
        id += 1;
        let mut did = door.ask(id, "c", plan, "safe");
        if let Some((name, _)) = count(&did) {
            did.extend(silence(door, name));
        }
        if let Some((id, at)) = sent(&did) {
            gone_on += 1;
            door.end(id, 0, &at, Outcome::Served);
        }
        door.now += 20.0;
    }
    gone_on
}

/// Offers a request under a ceiling while the counter answers with `total`, served at once; gives how many went on.
fn offer(door: &mut Door, id: RequestId, total: &mut f64) -> usize {
    offer_of(door, id, "c", 2, total)
}

fn offer_of(door: &mut Door, id: RequestId, customer: &str, spread: u32, total: &mut f64) -> usize {
    let mut gone_on = Vec::new();
    let mut did = door.ask_of(id, customer, "ceiling", "safe", false, spread);
    loop {
        gone_on.extend(did.iter().filter_map(|a| sent(std::slice::from_ref(a))));
        let Some((name, amount)) = count(&did) else { break };
        *total += amount;
        did = door.total(name, *total);
    }
    for (id, at) in &gone_on {
        door.end(*id, 0, at, Outcome::Served);
    }
    gone_on.len()
}

#[test]
fn in_silence_a_gateway_spends_its_even_slice_and_no_more() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    // Burst 10 and rate 5 for two gateways: at most 5 at once and 2.5 a second, 30 in ten seconds.
    let gone_on = spent_in_silence(&mut door, "plain", 10_000.0);
    assert!((26..=30).contains(&gone_on), "{gone_on}");
}

#[test]
fn the_ceiling_holds_through_a_spent_burst_an_emptied_count_a_restart_and_silence() {
    // The other gateway's view: the whole burst of 10 was just granted. This one comes back with nothing, finds
    // the count emptied, takes what it is given, and then the counter falls silent.
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let start = door.now;
    let (mut gone_on, mut total, mut id) = (0.0, 0.0, 0);
    while door.now < start + 2000.0 {
        id += 1;
        gone_on += offer(&mut door, id, &mut total) as f64;
        let ceiling = 16.0 + 8.0 * (door.now - start) / 1000.0 + 1.6;
        assert!(10.0 + gone_on <= ceiling, "10 + {gone_on} against {ceiling} on the way");
        door.now += 20.0;
    }
    // Two gateways in silence: what each may spend is the same slice.
    gone_on += 2.0 * spent_in_silence(&mut door, "ceiling", 4000.0) as f64;
    let ceiling = 16.0 + 8.0 * 6.0 + 1.6;
    assert!(10.0 + gone_on <= ceiling, "10 + {gone_on} against {ceiling}");
}

#[test]
fn an_emptied_count_is_told_again_what_is_held() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.total(name, amount);
    let mut asked = None;
    for id in 2..=12 {
        asked = count(&door.ask(id, "c", "plain", "safe"));
        if asked.is_some() {
            break;
        }
    }
    let (name, added) = asked.expect("a further block");
    door.total(name, added);
    let told = count(&door.pass(60.0, &[])).expect("the count hears what it forgot");
    assert!(told.1 >= amount, "{told:?}");
}

#[test]
fn silence_is_told_once_and_the_counter_is_asked_for_few_requests_only() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let (mut calls, mut lines, mut id) = (0, 0, 0);
    let end = door.now + 5000.0;
    while door.now < end {
        id += 1;
        let mut did = door.ask(id, &format!("c{id}"), "plain", "safe");
        if let Some((name, _)) = count(&did) {
            calls += 1;
            did.extend(silence(&mut door, name));
        }
        lines += did.iter().filter(|a| matches!(a, Action::Log(line) if line.contains("silent"))).count();
        if let Some((id, at)) = sent(&did) {
            door.end(id, 0, &at, Outcome::Served);
        }
        door.now += 10.0;
    }
    assert_eq!(lines, 1);
    assert!(calls >= 3, "who never asks never learns that the counter is back: {calls}");
    assert!(f64::from(calls) <= 0.15 * id as f64, "{calls} calls for {id} requests");
}

#[test]
fn a_late_total_of_an_ended_window_grants_nothing() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.pass(100.0, &[1]);
    door.now += 5000.0;
    let did = door.total(name, amount);
    assert_eq!(sends(&did), 0);
    assert_eq!(sends(&door.ask(2, "c", "plain", "safe")), 0, "no block in hand");
}

#[test]
fn after_a_silence_an_idle_gateway_does_not_take_a_ceiling_s_store_for_full() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let at = door.served(1, "c", "ceiling", "safe");
    door.end(1, 0, &at, Outcome::Served);
    door.now += 100.0;
    for id in 2..=3 {
        let (name, _) = count(&door.ask(id, &format!("other{id}"), "plain", "safe")).expect("call");
        silence(&mut door, name);
    }
    // Three seconds in which the other gateway may spend all; then the counter is back, empty.
    door.now += 3000.0;
    let (mut gone_on, mut total, mut id) = (0, 0.0, 100);
    for _ in 0..40 {
        id += 1;
        gone_on += offer(&mut door, id, &mut total);
    }
    // Its part is what the ceiling bears over two gateways: 1.6 / 2 of the burst of 10.
    assert!(gone_on <= 8 && total <= 8.0, "only the own slice of the silence: {gone_on} sent, {total} added");
}

#[test]
fn a_silent_counter_is_asked_by_time_whether_it_is_back_and_nothing_is_added_for_that() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    for id in 1..=2 {
        let (name, _) = count(&door.ask(id, &format!("c{id}"), "plain", "safe")).expect("call");
        silence(&mut door, name);
    }
    door.now += 500.0;
    let mut asked = Vec::new();
    // No request comes; housekeeping runs on.
    for _ in 0..40 {
        let did = door.pass(25.0, &[]);
        if let Some((name, amount)) = count(&did) {
            asked.push(amount);
            silence(&mut door, name);
        }
    }
    assert!((5..=8).contains(&asked.len()), "every 200 ms and a time-out: {asked:?}");
    assert!(asked.iter().all(|amount| *amount == 0.0), "{asked:?}");
}

#[test]
fn right_after_a_silence_what_eight_gateways_may_still_spend_alone_is_not_granted_to_one() {
    // An even part is 1.25 units and 0.625 a second. Those who still spend alone for 300 ms may use what comes in beyond that,
    // 1.3 units: for a customer of before nothing is left for now, for one never seen the part.
    for (customer, most) in [("known", 0.0), ("new", 1.0)] {
        let mut door = Door::new(Settings { gateways: 8, ..settings() }, &["a1", "a2", "a3"]);
        let mut total = 0.0;
        assert_eq!(offer_of(&mut door, 1, "known", 8, &mut total), 1);
        door.now += 100.0;
        for id in 2..=3 {
            let (name, _) = count(&door.ask(id, &format!("other{id}"), "plain", "safe")).expect("call");
            silence(&mut door, name);
        }
        door.now += 2500.0;
        let back = count(&door.pass(25.0, &[])).expect("the counter is asked again");
        door.total(back.0, 0.0);
        total = 0.0;
        for id in 10..20 {
            offer_of(&mut door, id, customer, 8, &mut total);
        }
        assert!(total <= most, "{customer}: {total} units taken");
    }
}
