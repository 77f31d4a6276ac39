//! Runs of scenarios.

use crate::figures::mean_of;
use crate::scenario::{Happens, Scenario};
use fennelscale_simulation::Simulation;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Service is looked at in parts of this, in ms.
pub const PART: f64 = 500.0;
/// After the system has come up and before it is looked at, in ms: the counts are open by then.
const CALM: f64 = 6000.0;
/// What is acknowledged may still come everywhere for so long behind the end, in ms.
const BEHIND: f64 = 4000.0;

/// One run of one scenario.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// Its figures by name.
    pub figures: BTreeMap<String, f64>,
    /// The share of what was offered that was served, in each [`PART`] of its time; 1 where nothing was offered.
    pub served: Vec<f64>,
}

/// All runs of a file of scenarios.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Set {
    /// What these runs are of, as whoever made them has said.
    pub label: String,
    /// By scenario, in order of their seeds.
    pub scenarios: BTreeMap<String, Vec<Run>>,
}

/// Of each figure what is better: more or less.
pub const FIGURES: [(&str, &str, bool); 8] = [
    ("served", "share of the offered requests that were let in", true),
    ("worst", "the same in the worst half second", true),
    ("acknowledged_ms", "from a change's first try to its acknowledgement, mean", false),
    ("everywhere_ms", "from there until every proxy that is up holds it, mean", false),
    ("open", "changes that had no answer or were not everywhere at the end", false),
    ("core_bytes", "bytes a second of a core machine to others", false),
    ("proxy_bytes", "bytes a second between registries and a proxy", false),
    ("broken", "promises that did not hold", false),
];

fn happen(world: &mut Simulation, happens: Happens) {
    match happens {
        Happens::Fault(fault) => world.fault(fault),
        Happens::Change => world.change_route(),
    }
}

/// Plays a scenario once.
pub fn play(scenario: &Scenario, seed: u64) -> Run {
    let mut world = scenario.world(seed);
    world.run(CALM);
    let (begun, bytes, first) = (world.now, world.bytes, world.change_times().len());
    let (all_served, all_refused) = (world.served, world.refused);
    let mut events = scenario.events.iter().peekable();
    let mut served = Vec::new();
    while world.now - begun < scenario.lasts && world.violations.is_empty() {
        let at = world.now - begun;
        while let Some((_, happens)) = events.next_if(|(due, _)| *due <= at) {
            happen(&mut world, *happens);
        }
        let before = (world.served, world.refused);
        let next = events.peek().map_or(f64::INFINITY, |(due, _)| due - at);
        // Parts end where something happens only if that is within the part: the plot keeps even steps.
        let end = begun + (served.len() + 1) as f64 * PART;
        let span = (end - world.now).min(next.max(1.0));
        world.run(span);
        let (came, refused) = (world.served - before.0, world.refused - before.1);
        if world.now >= end - 1.0 {
            served.push(if came + refused == 0 { 1.0 } else { came as f64 / (came + refused) as f64 });
        }
    }
    let seconds = (world.now - begun).max(1.0) / 1000.0;
    let (came, refused) = ((world.served - all_served) as f64, (world.refused - all_refused) as f64);
    let sent = [0, 1, 2].map(|n| (world.bytes[n] - bytes[n]) as f64 / seconds);
    world.run(BEHIND);
    let times: Vec<(f64, Option<f64>)> = world.change_times().into_iter().skip(first).collect();
    let changes = scenario.events.iter().filter(|(_, happens)| *happens == Happens::Change).count();
    let whole = times.iter().filter(|(_, everywhere)| everywhere.is_some()).count();
    let figures = [
        ("served", if came + refused == 0.0 { 1.0 } else { came / (came + refused) }),
        ("worst", served.iter().copied().fold(1.0, f64::min)),
        (
            "acknowledged_ms",
            mean_of(&times.iter().map(|(acknowledged, _)| *acknowledged).collect::<Vec<f64>>()),
        ),
        (
            "everywhere_ms",
            mean_of(&times.iter().filter_map(|(_, everywhere)| *everywhere).collect::<Vec<f64>>()),
        ),
        ("open", changes.saturating_sub(whole) as f64),
        ("core_bytes", (sent[0] + sent[1]) / scenario.config.cores as f64),
        ("proxy_bytes", sent[2] / scenario.config.proxies as f64),
        ("broken", world.violations.len() as f64),
    ];
    Run { seed, figures: figures.map(|(name, value)| (name.to_owned(), value)).into(), served }
}

/// Plays scenarios with so many seeds each, on all processors. The same seeds give the same set.
pub fn all(scenarios: &[Scenario], first: u64, seeds: u64, label: &str) -> Set {
    let runs = |scenario: &Scenario| {
        (first..first + seeds).into_par_iter().map(|seed| play(scenario, seed)).collect()
    };
    let scenarios = scenarios.iter().map(|scenario| (scenario.name.clone(), runs(scenario)));
    Set { label: label.to_owned(), scenarios: scenarios.collect() }
}
