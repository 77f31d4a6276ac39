//! Every order of events at CI's bounds: nothing breaks a property, and every way comes to its end.

use life::tables::{self, Transition};
use life_check::explore::{ALL_AT_ONCE, System, coverage, explore, shortest, tell};
use life_check::mutants::{ALL, Mutant};
use life_check::properties::Violation;
use life_check::world::Bounds;

const THREADS: usize = 2;

fn holds(bounds: Bounds) {
    let system = System { bounds, mutant: None };
    let found = explore(system, THREADS);
    println!("{bounds:?}: {found}");
    if let Some((steps, violation)) = &found.story {
        panic!("{violation:?}\n{}", tell(system, steps));
    }
    // A world in which little can happen would hold anything.
    assert!(found.states > 1000 && found.depth > 10, "{found:?}");
}

#[test]
fn all_properties_hold_for_two_requests_with_a_drain_a_cancel_a_reused_id_and_any_single_fault() {
    holds(Bounds { early: 0, ..ALL_AT_ONCE });
}

#[test]
fn all_properties_hold_for_two_requests_that_begin_early_with_a_cancel_a_reused_id_and_any_single_fault() {
    holds(Bounds { drains: 0, ..ALL_AT_ONCE });
}

#[test]
fn all_properties_hold_for_one_request_with_a_drain_and_any_two_faults() {
    holds(Bounds { requests: 1, cancels: 0, faults: 2, ..ALL_AT_ONCE });
}

/// Guards against REFUSED: the id in an answer names the request and not the attempt.
#[test]
fn all_properties_hold_for_two_requests_with_a_late_copy_of_a_refusal_and_any_single_fault() {
    holds(Bounds { cancels: 0, drains: 0, reuses: 0, early: 0, copies: 1, ..ALL_AT_ONCE });
}

/// What the composed system does not take of the tables: what lies below its grain. `crates/life/tests/machines.rs` has the
/// machines take it alone.
const BELOW_THE_GRAIN: [(&str, &str, &str); 19] = [
    // An answer is read at once, and what happens to a free connection is seen when it is next wanted.
    ("connection", "answered", "ended"),
    ("connection", "busy, nothing written", "heard"),
    ("connection", "free", "ended"),
    ("connection", "free", "heard"),
    // Each request of the system comes on a connection of its own, in one piece.
    ("inbound", "idle", "bytes"),
    ("inbound", "idle", "closed"),
    ("inbound", "idle", "taken"),
    ("inbound", "idle", "time up"),
    ("inbound", "new", "closed"),
    ("inbound", "new", "taken"),
    ("inbound", "new", "time up"),
    ("inbound", "new", "turned away"),
    ("inbound", "reading another", "closed"),
    ("inbound", "reading another", "taken"),
    ("inbound", "reading another", "time up"),
    ("inbound", "reading another", "turned away"),
    ("inbound", "reading the first", "closed"),
    ("inbound", "reading the first", "time up"),
    ("inbound", "closed", "closed"),
];

/// Every step that the tables allow is taken somewhere: a table that allows more than can happen hides faults.
#[test]
fn every_transition_of_the_tables_is_reached() {
    let bounds = Bounds { drains: 0, ..ALL_AT_ONCE };
    let covered = coverage(System { bounds, mutant: None });
    for (machine, table) in [
        ("inbound", tables::inbound()),
        ("request", tables::request()),
        ("attempt", tables::attempt()),
        ("connection", tables::connection()),
    ] {
        let reached = covered.get(machine).cloned().unwrap_or_default();
        println!("{machine}: {} of {} transitions", reached.len(), table.len());
        let strange: Vec<_> = reached.difference(&table).collect();
        assert!(strange.is_empty(), "{machine}: not in the table: {strange:#?}");
        // Bytes that change nothing are below the grain as well.
        let below = |t: &Transition| t.from == t.to || BELOW_THE_GRAIN.contains(&(machine, t.from, t.event));
        let coarse = matches!(machine, "inbound" | "connection");
        let missing: Vec<_> = table.difference(&reached).filter(|t| !coarse || !below(t)).collect();
        assert!(missing.is_empty(), "{machine}: never taken: {missing:#?}");
        let named = BELOW_THE_GRAIN.iter().filter(|(m, ..)| *m == machine);
        for (_, from, event) in named {
            assert!(
                !reached.iter().any(|t| t.from == *from && t.event == *event),
                "{machine}: {from}, {event}"
            );
        }
    }
}

/// The properties that may be the first to show a mutant.
fn caught(mutant: Mutant, by: &[Violation]) {
    // Smaller bounds are tried first: a story from them is as good and found sooner.
    let copies = u8::from(mutant == Mutant::SameConnection);
    let small = Bounds { requests: 1, copies, ..ALL_AT_ONCE };
    let two = Bounds { cancels: 0, drains: 0, copies, ..ALL_AT_ONCE };
    for bounds in [small, two] {
        let system = System { bounds, mutant: Some(mutant) };
        let found = shortest(system, THREADS);
        if let Some((steps, violation)) = found.story {
            let story = tell(system, &steps);
            println!("{mutant:?}: {violation:?} in {} steps, {} states\n{story}", steps.len(), found.states);
            assert!(by.contains(&violation), "{mutant:?} shows as {violation:?}\n{story}");
            return;
        }
    }
    panic!("{mutant:?} is not caught");
}

#[test]
fn every_mutant_is_caught() {
    for mutant in ALL {
        let by: &[Violation] = match mutant {
            Mutant::ResendAfterCancel
            | Mutant::ForgetWhole
            | Mutant::ForgetWrite
            | Mutant::PartNeverRan
            | Mutant::EarlyNeverRan
            | Mutant::SameConnection
            | Mutant::SpoiltNeverSent
            | Mutant::ErrorIsDecline => &[Violation::FalseCertainty, Violation::UnsafeTwice],
            Mutant::KeptBreaksAreFree => &[Violation::UnsafeTwice, Violation::FalseCertainty],
            Mutant::NoLastLook => &[Violation::SentToDrained],
            Mutant::CallOffIsDoubt => &[Violation::FalseDoubt],
            Mutant::IdsNotAsked => &[Violation::TwoOfOneId],
            Mutant::KeepEarly => &[Violation::Illegal],
            Mutant::KeepOverlong => &[Violation::ForeignBytes],
            Mutant::CountTwice => &[Violation::Units],
            Mutant::AnswerTwice => &[Violation::SecondAnswer],
            Mutant::LoseStoppedEnd => &[Violation::Unsettled],
            Mutant::NoTimeoutWhileDialling => &[Violation::LateAnswer],
            Mutant::RefuseForFail => &[Violation::RefusedInDoubt],
            Mutant::OneRack | Mutant::LongMemory | Mutant::NoWriteBy => &[Violation::KeyedOutside],
            Mutant::BeginTwice => &[Violation::TwoOut],
        };
        caught(mutant, by);
    }
}
