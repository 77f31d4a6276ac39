//! Long seeded streams of legal events in odd orders, and the rules that one gateway alone can be held to. There is
//! no model of servers or fleets here: outcomes and totals are drawn at random.

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

/// What the test itself knows of a request.
struct Known {
    class: usize,
    deadline: Millis,
    attempts: u32,
    out: Option<(Name, Millis)>,
    /// The backend and time of the first attempt that may have run.
    may_have_run: Option<(Name, Millis)>,
    answered: bool,
}

#[derive(Default)]
struct Checker {
    requests: BTreeMap<RequestId, Known>,
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
                    let known = self.answer(now, id);
                    let keyed_alone = known.class == 1 || known.class == 2;
                    assert!(known.may_have_run.is_none() || !keyed_alone, "refused though it may have run");
                }
                Action::Fail { id } => {
                    self.answer(now, id);
                }
                Action::CancelAttempt { id, .. } => {
                    assert!(self.requests[&id].class != 2, "an unsafe attempt called off");
                }
                Action::SetTimer { after, token } => {
                    let order = self.timers.len() as u64;
                    self.timers.insert(((now + after).ceil() as u64, token << 8 | order & 0xff), token);
                }
                Action::AddToCounter { key: name, .. } => {
                    assert!(!self.calls.contains(&name), "two calls out for one name");
                    self.calls.push(name);
                    assert!(self.calls.len() <= 64, "calls are bounded");
                }
                Action::Probe { .. } | Action::Broadcast { .. } | Action::WatchBackends | Action::Log(_) => {}
            }
        }
    }

    fn sent(&mut self, now: Millis, id: RequestId, backend: Name) {
        assert!(!self.draining.get(&backend).copied().unwrap_or(true), "sent to {backend} after its drain");
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(!known.answered && known.out.is_none(), "a second attempt out, or after the answer");
        if let Some((home, at)) = &known.may_have_run {
            assert!(known.class != 2, "an unsafe request repeated");
            let same_cell = home.starts_with('a') == backend.starts_with('a');
            assert!(
                known.class == 0 || same_cell && now - at < 4000.0,
                "a keyed repeat outside group or time"
            );
        }
        known.attempts += 1;
        known.out = Some((backend, now));
    }

    fn answer(&mut self, now: Millis, id: RequestId) -> &Known {
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(!known.answered, "two answers");
        assert!(now <= known.deadline + 16.0, "an answer after the client's patience");
        known.answered = true;
        self.answers += 1;
        known
    }

    fn overdue(&self, now: Millis) -> Option<RequestId> {
        let late = |k: &Known| !k.answered && k.out.is_none() && now > k.deadline + 16.0;
        self.requests.iter().find(|(_, k)| late(k)).map(|(id, _)| *id)
    }
}

fn arrival(random: &mut Random, id: RequestId, patience: Millis, class: usize) -> Event {
    let plan = ["plain", "ceiling", "capped"][random.below(3) as usize];
    let customer = if random.below(5) == 0 { 1000 + id } else { random.below(12) };
    Event::Request(Arrival {
        id,
        customer: format!("{plan}-{customer}").as_str().into(),
        plan: plan.into(),
        class: ["safe", "keyed", "unsafe"][class].into(),
        units: 1.0,
        is_retry: random.below(4) == 0,
        client_timeout: patience,
        first_gateway: random.below(2) as u32,
        gateway_count: random.below(3) as u32,
        constraints: None,
    })
}

fn play(seed: u64) -> usize {
    let (mut random, mut checker) = (Random(seed), Checker::default());
    let names = ["a1", "a2", "a3", "b1", "b2", "b3"];
    let mut door = Door::new(settings(), &names);
    checker.draining.extend(names.iter().map(|n| (Name::from(*n), false)));
    let first = std::mem::take(&mut door.did);
    checker.check(door.now, first);
    for id in 1..=6000 {
        door.now += random.below(12) as f64;
        while let Some(((at, order), token)) = checker.timers.first_key_value().map(|(k, t)| (*k, *t)) {
            if at as f64 > door.now {
                break;
            }
            checker.timers.remove(&(at, order));
            let did = door.tell(Event::Timer { token });
            checker.check(door.now, did);
        }
        for (id, event) in outcomes(&mut random, &mut checker, door.now) {
            let finished = matches!(&event, Event::AttemptEnded(end) if end.finished);
            if finished && !checker.requests[&id].answered {
                checker.answer(door.now, id);
            }
            let did = door.tell(event);
            checker.check(door.now, did);
        }
        let event = match random.below(40) {
            0..20 => {
                let (class, patience) = (random.below(3) as usize, 300.0 + random.below(2500) as f64);
                let known = Known {
                    class,
                    deadline: door.now + patience,
                    attempts: 0,
                    out: None,
                    may_have_run: None,
                    answered: false,
                };
                checker.requests.insert(id, known);
                arrival(&mut random, id, patience, class)
            }
            20..34 if !checker.calls.is_empty() => {
                let at = random.below(checker.calls.len() as u64) as usize;
                let name = checker.calls.remove(at);
                let outcome = match random.below(6) {
                    0 => CountOutcome::Unknown,
                    1 => CountOutcome::NotAdded,
                    _ => CountOutcome::Total(random.below(25) as f64),
                };
                Event::CounterReply { key: name, outcome, latency: 5.0 }
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
                checker.requests.get_mut(&id).expect("known").answered = true;
                Event::ClientDisconnected { id }
            }
            _ => Event::ClientDisconnected { id: 900_000_000 },
        };
        let did = door.tell(event);
        checker.check(door.now, did);
        assert_eq!(checker.overdue(door.now), None, "a request without its answer");
    }
    checker.answers
}

/// Ends some of the attempts that are out: at random, and all whose client's time is up.
fn outcomes(random: &mut Random, checker: &mut Checker, now: Millis) -> Vec<(RequestId, Event)> {
    let mut events = Vec::new();
    for (id, known) in &mut checker.requests {
        let Some((backend, sent_at)) = known.out.clone() else { continue };
        let overdue = now >= known.deadline;
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
        known.out = None;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if !never_ran && known.may_have_run.is_none() {
            known.may_have_run = Some((backend.clone(), sent_at));
        }
        let finished = outcome == Outcome::Served || known.answered;
        let (attempt, latency) = (known.attempts - 1, now - sent_at);
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
fn rules_hold_through_long_streams_of_odd_events() {
    for seed in 1..=6 {
        let answers = play(seed);
        assert!(answers > 1000, "the stream must reach the answers it checks: {answers}");
    }
}
