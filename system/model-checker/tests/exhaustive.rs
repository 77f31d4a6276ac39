//! Explores every order of events at the limits used by CI, and takes random walks that go deeper: no
//! property is violated, and each deliberate fault violates one. `INSPECTOR_WALKS` is the number of random
//! walks for each scenario, `INSPECTOR_SEED` their first seed.

use fennelscale_model_checker::explore::{Exploration, System, describe, explore, random_walks};
use fennelscale_model_checker::mutants::{self, Mutant};
use fennelscale_model_checker::scenarios;

const THREADS: usize = 2;
/// One of this many states in which steps remain is also checked after a fault-free period.
const RECOVERY_SAMPLE: u64 = 4096;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |n| n.parse().expect("a number"))
}

fn holds(system: System, found: &Exploration) {
    println!("{:?}: {found}", system.scenario);
    if let Some((steps, violation)) = &found.counterexample {
        panic!("{:?}: {}", system.scenario, describe(system, steps, violation));
    }
    // A cluster in which little can happen would pass any check.
    assert!(found.transitions > 500 && found.depth > 10, "{found:?}");
}

#[test]
fn every_order_of_events_keeps_every_property() {
    for scenario in scenarios::EXHAUSTIVE {
        let system = System { scenario, mutant: None, recovery_sample: RECOVERY_SAMPLE };
        holds(system, &explore(system, THREADS, None));
    }
    // Larger scenarios are explored breadth first up to a number of states.
    for scenario in scenarios::BREADTH_FIRST {
        let system = System { scenario, mutant: None, recovery_sample: RECOVERY_SAMPLE };
        holds(system, &explore(system, THREADS, Some(number("INSPECTOR_STATES", 30_000) as usize)));
    }
    for (scenario, states) in scenarios::BREADTH_FIRST_LARGE {
        let system = System { scenario, mutant: None, recovery_sample: RECOVERY_SAMPLE };
        holds(system, &explore(system, THREADS, Some(states)));
    }
}

#[test]
fn random_walks_with_higher_limits_keep_every_property() {
    for scenario in scenarios::RANDOM_WALKS {
        let system = System { scenario, mutant: None, recovery_sample: RECOVERY_SAMPLE };
        holds(system, &random_walks(system, number("INSPECTOR_WALKS", 1000), number("INSPECTOR_SEED", 1)));
    }
}

/// Describes how a fault was detected.
fn detect(mutant: Mutant) -> Option<String> {
    let (scenario, limit) = mutant.detected_by();
    let system = System { scenario, mutant: Some(mutant), recovery_sample: 64 };
    let found = match limit {
        Some(_) => explore(system, 1, limit),
        None => random_walks(system, number("INSPECTOR_MUTANT_WALKS", 20_000), 1),
    };
    let (steps, violation) = found.counterexample?;
    Some(format!(
        "{mutant:?}: {violation:?} in {scenario:?} after {} steps, {:?}",
        steps.len(),
        found.elapsed
    ))
}

#[test]
fn each_deliberate_fault_breaks_a_property() {
    let runs = mutants::ALL.map(|mutant| std::thread::spawn(move || (mutant, detect(mutant))));
    let found = runs.map(|run| run.join().expect("a run"));
    found.iter().for_each(|(mutant, counterexample)| {
        println!("{}", counterexample.clone().unwrap_or_else(|| format!("{mutant:?}: not caught")));
    });
    let missed =
        found.iter().filter(|(_, counterexample)| counterexample.is_none()).map(|(mutant, _)| *mutant);
    assert_eq!(missed.collect::<Vec<Mutant>>(), []);
}
