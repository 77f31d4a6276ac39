//! Long seeded streams of valid events in unusual orders, checked against the rules that a single gateway
//! must keep. Servers and fleets are not modelled: outcomes and totals are drawn at random.

mod helper;
use doorcourse::*;
use helper::*;
use std::collections::BTreeMap;

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// What the test records of a request.
struct RequestRecord {
    class: usize,
    deadline: Millis,
    attempts: u32,
    in_flight: Option<(Name, Millis)>,
    /// The backend and time of the first attempt that may have run.
    may_have_run: Option<(Name, Millis)>,
    answered: bool,
}

#[derive(Default)]
struct Checker {
    requests: BTreeMap<RequestId, RequestRecord>,
    calls: Vec<u64>,
    timers: BTreeMap<(u64, u64), u64>,
    draining: BTreeMap<Name, bool>,
    answers: usize,
}

impl Checker {
    fn check(&mut self, now: Millis, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => self.sent(now, id, backend),
                Action::Refuse { id, .. } => {
                    let record = self.answer(now, id);
                    let not_safe = record.class == 1 || record.class == 2;
                    assert!(record.may_have_run.is_none() || !not_safe, "refused though it may have run");
                }
                Action::Fail { id } => {
                    self.answer(now, id);
                }
                Action::CancelAttempt { id, .. } => {
                    assert!(self.requests[&id].class != 2, "an unsafe attempt was cancelled");
                }
                Action::SetTimer { after, token } => {
                    let order = self.timers.len() as u64;
                    self.timers.insert(((now + after).ceil() as u64, token << 8 | order & 0xff), token);
                }
                Action::AddToCounter { key, .. } => {
                    assert!(!self.calls.contains(&key), "two calls in flight for one key");
                    self.calls.push(key);
                    assert!(self.calls.len() <= 64, "calls are bounded");
                }
                Action::Probe { .. } | Action::Broadcast { .. } | Action::WatchBackends | Action::Log(_) => {}
            }
        }
    }

    fn sent(&mut self, now: Millis, id: RequestId, backend: Name) {
        assert!(!self.draining.get(&backend).copied().unwrap_or(true), "sent to {backend} while it drains");
        let record = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !record.answered && record.in_flight.is_none(),
            "a second attempt in flight, or one after the answer"
        );
        if let Some((first_backend, at)) = &record.may_have_run {
            assert!(record.class != 2, "an unsafe request was retried");
            let same_cell = first_backend.starts_with('a') == backend.starts_with('a');
            assert!(
                record.class == 0 || same_cell && now - at < 4000.0,
                "a keyed retry outside its dedup scope or window"
            );
        }
        record.attempts += 1;
        record.in_flight = Some((backend, now));
    }

    fn answer(&mut self, now: Millis, id: RequestId) -> &RequestRecord {
        let record = self.requests.get_mut(&id).expect("a known request");
        assert!(!record.answered, "two answers");
        assert!(now <= record.deadline + 16.0, "an answer after the client gave up");
        record.answered = true;
        self.answers += 1;
        record
    }

    fn overdue(&self, now: Millis) -> Option<RequestId> {
        let late = |k: &RequestRecord| !k.answered && k.in_flight.is_none() && now > k.deadline + 16.0;
        self.requests.iter().find(|(_, k)| late(k)).map(|(id, _)| *id)
    }
}

fn arrival(random: &mut Random, id: RequestId, client_timeout: Millis, class: usize) -> Event {
    let plan = ["plain", "ceiling", "capped"][random.below(3) as usize];
    let customer = if random.below(5) == 0 { 1000 + id } else { random.below(12) };
    Event::Request(Arrival {
        id,
        customer: format!("{plan}-{customer}").as_str().into(),
        plan: plan.into(),
        class: ["safe", "keyed", "unsafe"][class].into(),
        units: 1.0,
        is_retry: random.below(4) == 0,
        client_timeout,
        first_gateway: random.below(2) as u32,
        gateway_count: random.below(3) as u32,
        constraints: None,
    })
}

fn run(seed: u64) -> usize {
    let (mut random, mut checker) = (Random(seed), Checker::default());
    let names = ["a1", "a2", "a3", "b1", "b2", "b3"];
    let mut harness = Harness::new(settings(), &names);
    checker.draining.extend(names.iter().map(|n| (Name::from(*n), false)));
    let first = std::mem::take(&mut harness.actions);
    checker.check(harness.now, first);
    for id in 1..=6000 {
        harness.now += random.below(12) as f64;
        while let Some(((at, order), token)) = checker.timers.first_key_value().map(|(k, t)| (*k, *t)) {
            if at as f64 > harness.now {
                break;
            }
            checker.timers.remove(&(at, order));
            let actions = harness.handle(Event::Timer { token });
            checker.check(harness.now, actions);
        }
        for (id, event) in outcomes(&mut random, &mut checker, harness.now) {
            let finished = matches!(&event, Event::AttemptEnded(end) if end.finished);
            if finished && !checker.requests[&id].answered {
                checker.answer(harness.now, id);
            }
            let actions = harness.handle(event);
            checker.check(harness.now, actions);
        }
        let event = match random.below(40) {
            0..20 => {
                let (class, client_timeout) = (random.below(3) as usize, 300.0 + random.below(2500) as f64);
                let record = RequestRecord {
                    class,
                    deadline: harness.now + client_timeout,
                    attempts: 0,
                    in_flight: None,
                    may_have_run: None,
                    answered: false,
                };
                checker.requests.insert(id, record);
                arrival(&mut random, id, client_timeout, class)
            }
            20..34 if !checker.calls.is_empty() => {
                let at = random.below(checker.calls.len() as u64) as usize;
                let key = checker.calls.remove(at);
                let outcome = match random.below(6) {
                    0 => CountOutcome::Unknown,
                    1 => CountOutcome::NotAdded,
                    _ => CountOutcome::Total(random.below(25) as f64),
                };
                Event::CounterReply { key, outcome, latency: 5.0 }
            }
            34 | 35 => {
                let name: Name = names[random.below(6) as usize].into();
                let drains = random.below(2) == 0;
                checker.draining.insert(name.clone(), drains);
                let state = if drains { BackendState::Draining } else { BackendState::Ready };
                Event::BackendChanges(vec![backend(&name, state, None)])
            }
            36 => {
                let Some(id) = checker.requests.iter().find(|(_, k)| !k.answered).map(|(id, _)| *id) else {
                    continue;
                };
                checker.requests.get_mut(&id).expect("a known request").answered = true;
                Event::ClientDisconnected { id }
            }
            _ => Event::ClientDisconnected { id: 900_000_000 },
        };
        let actions = harness.handle(event);
        checker.check(harness.now, actions);
        assert_eq!(checker.overdue(harness.now), None, "a request without an answer");
    }
    checker.answers
}

/// Ends some of the attempts in flight: some at random, and all whose client has given up.
fn outcomes(random: &mut Random, checker: &mut Checker, now: Millis) -> Vec<(RequestId, Event)> {
    let mut events = Vec::new();
    for (id, record) in &mut checker.requests {
        let Some((backend, sent_at)) = record.in_flight.clone() else { continue };
        let overdue = now >= record.deadline;
        if !overdue && random.below(12) != 0 {
            continue;
        }
        let outcome = if overdue {
            Outcome::TimedOut
        } else {
            let all = [
                Outcome::Served,
                Outcome::Error,
                Outcome::Rejected,
                Outcome::ConnectFailed,
                Outcome::ConnectionLost,
            ];
            all[random.below(5) as usize]
        };
        record.in_flight = None;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if !never_ran && record.may_have_run.is_none() {
            record.may_have_run = Some((backend.clone(), sent_at));
        }
        let finished = outcome == Outcome::Served || record.answered;
        let (attempt, latency) = (record.attempts - 1, now - sent_at);
        let end = AttemptEnd {
            id: *id,
            attempt,
            backend,
            outcome,
            latency,
            actual_units: None,
            finished,
            load: None,
        };
        events.push((*id, Event::AttemptEnded(end)));
    }
    events
}

#[test]
fn rules_hold_in_long_streams_of_unusual_events() {
    for seed in 1..=6 {
        let answers = run(seed);
        assert!(answers > 1000, "the stream must reach the answers it checks: {answers}");
    }
}
