//! The judge, by generated logs: no legal run breaks a rule, and each single change that breaks one is found.

mod helper;

use fennelscale_rehearsal::judge::Rule;
use fennelscale_rehearsal::log::{Answer, Event, NodeState, Reply, TryId, What};
use helper::{KEYED, Run, SAFE, UNSAFE, id};
use proptest::prelude::*;

/// What becomes of a request; all of it is legal for its class.
#[derive(Clone, Copy, Debug)]
enum Course {
    Served,
    Refused,
    Failed,
    DeclinedThenServed,
    DeclinedThenRefused,
    /// An attempt is cut off and the try fails.
    Doubt,
    /// An attempt is cut off and sent again, where that is allowed; else it fails.
    DoubtThenServed,
    /// The client leaves; the node runs it later.
    Left,
    /// A close crosses the request, which is sent once more.
    Crossed,
    /// Its gateway is killed; nobody owes it anything.
    Killed,
}

const COURSES: [Course; 10] = [
    Course::Served,
    Course::Refused,
    Course::Failed,
    Course::DeclinedThenServed,
    Course::DeclinedThenRefused,
    Course::Doubt,
    Course::DoubtThenServed,
    Course::Left,
    Course::Crossed,
    Course::Killed,
];

#[derive(Clone, Copy, Debug)]
struct Wish {
    class: &'static str,
    course: Course,
    /// Milliseconds after the last one.
    gap: u32,
    node: usize,
    gateway: usize,
    /// How long its attempt takes.
    takes: u32,
}

fn wish() -> impl Strategy<Value = Wish> {
    let class = prop_oneof![Just(SAFE), Just(KEYED), Just(UNSAFE)];
    let course = proptest::sample::select(&COURSES[..]);
    (class, course, 0u32..60, 0usize..6, 0usize..2, 5u32..400).prop_map(
        |(class, course, gap, node, gateway, takes)| Wish { class, course, gap, node, gateway, takes },
    )
}

/// The deadline of all tries here, in ms.
const PATIENCE: f64 = 1000.0;

/// A legal run. Gateway 2 is killed with what it holds; 0 and 1 live on.
fn run(wishes: &[Wish]) -> Run {
    let mut run = Run::usual();
    let mut t = 1000.0;
    let mut attempt = 0;
    for (n, wish) in wishes.iter().enumerate() {
        let number = n as u32;
        t += f64::from(wish.gap);
        let (id, done) = (id(number), t + f64::from(wish.takes));
        let gateway = if matches!(wish.course, Course::Killed) { 2 } else { wish.gateway };
        run.offered(t, number, wish.class, "studio", number).asked(t, id, gateway, PATIENCE);
        attempt += 2;
        let (a, b) = (attempt, attempt + 1);
        let (node, same_rack) = (wish.node, (wish.node + 2) % 6);
        match wish.course {
            Course::Served => {
                run.received(t + 1.0, a, id, node).runs(done, a).served(done, id, a);
            }
            Course::Refused => {
                run.refused(t + 1.0, id);
            }
            Course::Failed => {
                run.failed(t + 1.0, id);
            }
            Course::DeclinedThenServed => {
                run.received(t + 1.0, a, id, node).declined(t + 2.0, a);
                run.received(t + 3.0, b, id, (node + 1) % 6).runs(done, b).served(done, id, b);
            }
            Course::DeclinedThenRefused => {
                run.received(t + 1.0, a, id, node).declined(t + 2.0, a).refused(done, id);
            }
            Course::DoubtThenServed if wish.class != UNSAFE => {
                run.received(t + 1.0, a, id, node).replied(t + 2.0, a, Reply::Cut);
                run.received(t + 3.0, b, id, same_rack).runs(done, b).served(done, id, b);
            }
            Course::Doubt | Course::DoubtThenServed => {
                run.received(t + 1.0, a, id, node).replied(t + 2.0, a, Reply::Cut).failed(done, id);
            }
            Course::Left => {
                run.received(t + 1.0, a, id, node).left(t + 2.0, id, false).hung_up(t + 3.0, a);
                run.push(done, What::Ran { attempt: a, repeat: false });
            }
            Course::Crossed => {
                run.ended(t + 1.0, id, 0).asked(t + 2.0, id, gateway, PATIENCE - 2.0);
                run.received(t + 3.0, a, id, node).runs(done, a).served(done, id, a);
            }
            Course::Killed => {
                run.received(t + 1.0, a, id, node);
                run.gateway(t + 2.0, 2, fennelscale_rehearsal::log::GatewayState::Killed);
                run.hung_up(t + 2.0, a).ended(t + 2.0, id, 0);
                run.gateway(t + 3.0, 2, fennelscale_rehearsal::log::GatewayState::Started);
            }
        }
        attempt += 1;
    }
    run.events.sort_by(|a, b| a.t.total_cmp(&b.t));
    run
}

/// One change that breaks a rule; the index is of the event that it touches.
#[derive(Clone, Copy, Debug)]
enum Change {
    AnswerTwice,
    AnswerNever,
    AnswerLate,
    ServeAnothers,
    SendOnAfter,
    Stray,
    ResendUnsafe,
    ForgetDecline,
    OtherRack,
    TooLate,
    RefuseInDoubt,
    BothOut,
    SendToDrained,
    Foreign,
}

const CHANGES: [(Change, Rule); 14] = [
    (Change::AnswerTwice, Rule::OneAnswer),
    (Change::AnswerNever, Rule::OneAnswer),
    (Change::AnswerLate, Rule::OneAnswer),
    (Change::ServeAnothers, Rule::OneAnswer),
    (Change::SendOnAfter, Rule::OneAnswer),
    (Change::Stray, Rule::OneAnswer),
    (Change::ResendUnsafe, Rule::NoRepeat),
    (Change::ForgetDecline, Rule::NoRepeat),
    (Change::OtherRack, Rule::NoRepeat),
    (Change::TooLate, Rule::NoRepeat),
    (Change::RefuseInDoubt, Rule::NoRepeat),
    (Change::BothOut, Rule::NoRepeat),
    (Change::SendToDrained, Rule::Drains),
    (Change::Foreign, Rule::NoRepeat),
];

/// The run with the change made at the `nth` place where it can be; none where it can be nowhere.
fn changed(wishes: &[Wish], change: Change, nth: usize) -> Option<Run> {
    let mut run = run(wishes);
    let class = |id: &TryId| wishes[id.request as usize].class;
    let course = |id: &TryId| wishes[id.request as usize].course;
    let asked = |run: &Run, of: TryId| {
        run.events.iter().filter(|e| matches!(e.what, What::Asked { id, .. } if id == of)).map(|e| e.t).next()
    };
    let resent = |id: &TryId| matches!(course(id), Course::DoubtThenServed) && class(id) != UNSAFE;
    let second = |what: &What| matches!(what, What::Received { attempt, .. } if attempt % 3 == 0);
    let fits = |what: &What| match (change, what) {
        (Change::AnswerTwice | Change::AnswerNever | Change::AnswerLate, What::Answered { .. }) => true,
        (Change::SendOnAfter, What::Answered { .. }) => true,
        (Change::ServeAnothers, What::Answered { answer, .. }) => *answer == Answer::Served,
        (Change::Stray | Change::Foreign, What::Asked { .. }) => true,
        (Change::ResendUnsafe, What::Received { id, .. }) => {
            class(id) == UNSAFE && matches!(course(id), Course::Served)
        }
        (Change::ForgetDecline, What::Received { id, .. }) => {
            class(id) == UNSAFE && matches!(course(id), Course::DeclinedThenServed) && !second(what)
        }
        (Change::OtherRack | Change::TooLate, What::Received { id, .. }) => {
            class(id) == KEYED && resent(id) && second(what)
        }
        (Change::BothOut, What::Replied { reply: Reply::Cut, attempt }) => run
            .events
            .iter()
            .any(|e| matches!(&e.what, What::Received { attempt: a, id, .. } if a == attempt && resent(id))),
        (Change::RefuseInDoubt, What::Answered { id, answer: Answer::Failed, .. }) => {
            class(id) != SAFE && matches!(course(id), Course::Doubt)
        }
        (Change::SendToDrained, What::Received { id, .. }) => !matches!(course(id), Course::Killed),
        _ => false,
    };
    let places: Vec<usize> = (0..run.events.len()).filter(|n| fits(&run.events[*n].what)).collect();
    let place = *places.get(nth % places.len().max(1))?;
    let Event { t, what } = run.events[place].clone();
    match (change, what) {
        (Change::AnswerTwice, _) => {
            let again = run.events[place].clone();
            run.events.push(again);
        }
        (Change::AnswerNever, _) => {
            run.events.remove(place);
        }
        (Change::AnswerLate, What::Answered { id, .. }) => {
            run.events[place].t = asked(&run, id)? + PATIENCE + 60.0
        }
        (Change::ServeAnothers, What::Answered { body: Some(body), .. }) => {
            if let What::Answered { body: of, .. } = &mut run.events[place].what {
                *of = Some(body + 100_000);
            }
        }
        (Change::SendOnAfter, What::Answered { id, .. }) => {
            run.received(t + 51.0, 900_000, id, 0).declined(t + 51.0, 900_000);
        }
        (Change::Stray, What::Asked { .. }) => {
            run.push(t, What::Stray { gateway: 0, after: None });
        }
        (Change::Foreign, _) => {
            run.received(t, 900_000, TryId { request: 900_000, go: 0 }, 0).declined(t, 900_000);
        }
        (Change::ResendUnsafe, What::Received { id, attempt, .. }) => {
            // Right behind the end of the first, so that they are not out at once.
            let end = run
                .events
                .iter()
                .find(|e| matches!(e.what, What::Replied { attempt: a, .. } if a == attempt));
            let at = end.map(|e| e.t)?;
            run.received(at, 900_000, id, 0).runs(at, 900_000);
        }
        (Change::ForgetDecline, What::Received { attempt, .. }) => {
            let declined = |e: &&mut Event| matches!(e.what, What::Declined { attempt: a } if a == attempt);
            run.events.iter_mut().find(declined)?.what = What::HungUp { attempt };
        }
        (Change::OtherRack, What::Received { .. }) => {
            if let What::Received { node, .. } = &mut run.events[place].what {
                *node = (*node + 1) % 6;
            }
        }
        (Change::TooLate, What::Received { id, attempt, .. }) => {
            // All that follows of this try is later by what its rack remembers.
            let first = attempt - 1;
            for event in &mut run.events {
                let own = match &event.what {
                    What::Received { attempt: a, .. }
                    | What::Ran { attempt: a, .. }
                    | What::Replied { attempt: a, .. } => *a == attempt,
                    What::Answered { id: i, .. } => *i == id,
                    _ => false,
                };
                if own && !matches!(event.what, What::Replied { attempt: a, .. } if a == first) {
                    event.t += 4100.0;
                }
            }
            for event in &mut run.events {
                if let What::Asked { id: i, patience, .. } = &mut event.what
                    && *i == id
                {
                    *patience += 5000.0;
                }
            }
        }
        (Change::BothOut, _) => {
            run.events.remove(place);
        }
        (Change::RefuseInDoubt, What::Answered { id, .. }) => {
            run.events[place].what = What::Answered { id, answer: Answer::Refused, status: 429, body: None };
        }
        (Change::SendToDrained, What::Received { id, node, .. }) => {
            let gateway = wishes[id.request as usize].gateway;
            let told = t - 301.0;
            run.news(told, gateway, node, NodeState::Terminating, true);
        }
        _ => return None,
    }
    run.events.sort_by(|a, b| a.t.total_cmp(&b.t));
    Some(run)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_legal_run_breaks_a_rule(wishes in proptest::collection::vec(wish(), 0..60)) {
        let verdict = run(&wishes).verdict();
        prop_assert!(verdict.breaks.is_empty(), "{:?}", verdict.breaks);
        prop_assert!((0.0..=1.0).contains(&verdict.score.total));
    }

    #[test]
    fn each_single_change_that_breaks_a_rule_is_found(
        wishes in proptest::collection::vec(wish(), 20..60), nth in 0usize..1000,
    ) {
        for (change, rule) in CHANGES {
            let Some(run) = changed(&wishes, change, nth) else { continue };
            let broken = run.broken();
            prop_assert!(broken.contains(&rule), "{change:?} found as {broken:?}");
        }
    }
}

#[test]
fn every_change_is_possible_somewhere() {
    let all = |class| COURSES.map(|course| Wish { class, course, gap: 10, node: 1, gateway: 0, takes: 50 });
    let wishes: Vec<Wish> = [SAFE, KEYED, UNSAFE].into_iter().flat_map(all).collect();
    for (change, rule) in CHANGES {
        let run = changed(&wishes, change, 0).unwrap_or_else(|| panic!("{change:?} can be made nowhere"));
        assert!(run.broken().contains(&rule), "{change:?}: {:?}", run.broken());
    }
}
