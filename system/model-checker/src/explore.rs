//! Runs the checker and reports its results.

use crate::cluster::{Cluster, Step};
use crate::mutants::Mutant;
use crate::properties::Violation;
use crate::scenarios::Scenario;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// The one property passed to the checker; it combines all of `properties`.
const PROPERTY: &str = "all properties hold";

/// Maximum length of a random walk; within the bounds none is as long.
const MAX_WALK_LENGTH: usize = 400;

/// The cluster as the checker sees it.
#[derive(Clone, Copy, Debug)]
pub struct System {
    /// Scenario to explore.
    pub scenario: Scenario,
    /// Deliberate fault, if there is one.
    pub mutant: Option<Mutant>,
    /// One of this many states in which steps remain is also checked after a fault-free period. States
    /// without further steps are always checked.
    pub recovery_sample: u64,
}

impl System {
    /// The property that is violated in a state, if there is one.
    pub fn violation(&self, cluster: &Cluster) -> Option<Violation> {
        let sampled = || {
            let mut hasher = DefaultHasher::new();
            cluster.hash(&mut hasher);
            hasher.finish().is_multiple_of(self.recovery_sample)
        };
        let after_recovery =
            || if cluster.is_quiescent() || sampled() { cluster.violation_after_recovery() } else { None };
        cluster.violation().cloned().or_else(after_recovery)
    }
}

impl Model for System {
    type State = Cluster;
    type Action = Step;

    fn init_states(&self) -> Vec<Cluster> {
        vec![self.scenario.initial_cluster(self.mutant)]
    }

    fn actions(&self, cluster: &Cluster, steps: &mut Vec<Step>) {
        if cluster.violation().is_none() {
            cluster.possible_steps(steps);
        }
    }

    fn next_state(&self, cluster: &Cluster, step: Step) -> Option<Cluster> {
        Some(cluster.after_step(step))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(PROPERTY, |system: &System, cluster: &Cluster| {
            system.violation(cluster).is_none()
        })]
    }
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// Distinct states.
    pub states: usize,
    /// Steps between states.
    pub transitions: usize,
    /// Longest path from the initial state.
    pub depth: usize,
    /// Duration.
    pub elapsed: Duration,
    /// Counterexample: the steps to a violation, and the violated property.
    pub counterexample: Option<(Vec<Step>, Violation)>,
}

impl std::fmt::Display for Exploration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (states, transitions, depth, elapsed) = (self.states, self.transitions, self.depth, self.elapsed);
        write!(f, "{states} states, {transitions} transitions, depth {depth}, {:.1} s", elapsed.as_secs_f64())
    }
}

/// Explores every reachable state depth first, or up to a number of states breadth first.
pub fn explore(system: System, threads: usize, limit: Option<usize>) -> Exploration {
    let started = Instant::now();
    let checker = system.checker().threads(threads).finish_when(HasDiscoveries::Any);
    let checker = match limit {
        Some(limit) => checker.target_state_count(limit).spawn_bfs().join(),
        None => return exploration(&system, &checker.spawn_dfs().join(), started),
    };
    exploration(&system, &checker, started)
}

/// Takes random walks, each to its end, to find violations that lie too deep for an exhaustive exploration. A
/// message in flight is four times as likely to be delivered next as any other step is to be taken.
pub fn random_walks(system: System, walks: u64, seed: u64) -> Exploration {
    let started = Instant::now();
    let first = system.scenario.initial_cluster(system.mutant);
    let (mut steps, mut transitions, mut depth) = (Vec::new(), 0, 0);
    let mut counterexample = None;
    for walk in 0..walks {
        let mut random = fennelscale_messages::mix(seed ^ walk.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut cluster = first.clone();
        let mut path = Vec::new();
        while cluster.violation().is_none() && path.len() < MAX_WALK_LENGTH {
            steps.clear();
            cluster.possible_steps(&mut steps);
            let likely = steps.iter().filter(|step| matches!(step, Step::Deliver(..)));
            let likely: Vec<Step> = likely.copied().collect();
            (0..3).for_each(|_| steps.extend(&likely));
            if steps.is_empty() {
                break;
            }
            random = fennelscale_messages::mix(random.wrapping_add(0x9e37_79b9_7f4a_7c15));
            let step = steps[(random % steps.len() as u64) as usize];
            path.push(step);
            cluster.step(step);
        }
        transitions += path.len();
        depth = depth.max(path.len());
        // Most faults are found during a walk, and checking the state after a fault-free period takes longer
        // than the walk.
        let check_recovery = system.mutant.is_none() || walk.is_multiple_of(8);
        let after_recovery = || if check_recovery { cluster.violation_after_recovery() } else { None };
        if let Some(violation) = cluster.violation().cloned().or_else(after_recovery) {
            counterexample = Some(minimize(&first, path, violation));
            break;
        }
    }
    Exploration { states: transitions, transitions, depth, elapsed: started.elapsed(), counterexample }
}

/// Violation at the end of a path; none if one of its steps is not possible.
fn replay(first: &Cluster, path: &[Step]) -> Option<Violation> {
    let mut cluster = first.clone();
    let mut possible = Vec::new();
    for step in path {
        if cluster.violation().is_some() {
            break;
        }
        possible.clear();
        cluster.possible_steps(&mut possible);
        if !possible.contains(step) {
            return None;
        }
        cluster.step(*step);
    }
    cluster.violation().cloned().or_else(|| cluster.violation_after_recovery())
}

/// Shortens a counterexample: drops each step, last to first, without which the same property is still
/// violated, until none is left.
fn minimize(first: &Cluster, mut path: Vec<Step>, violation: Violation) -> (Vec<Step>, Violation) {
    loop {
        let length = path.len();
        for at in (0..length).rev() {
            let mut without = path.clone();
            without.remove(at);
            if replay(first, &without).as_ref() == Some(&violation) {
                path = without;
            }
        }
        if path.len() == length {
            return (path, violation);
        }
    }
}

fn exploration(system: &System, checker: &impl Checker<System>, started: Instant) -> Exploration {
    let counterexample = checker.discovery(PROPERTY).and_then(|path| {
        let violation = system.violation(path.last_state())?;
        Some((path.into_actions(), violation))
    });
    Exploration {
        states: checker.unique_state_count(),
        transitions: checker.state_count(),
        depth: checker.max_depth(),
        elapsed: started.elapsed(),
        counterexample,
    }
}

/// Describes a counterexample: a line for each step, and the state of the replicas at its end and after a
/// fault-free period.
pub fn describe(system: System, steps: &[Step], violation: &Violation) -> String {
    let mut cluster = system.scenario.initial_cluster(system.mutant);
    let mut text = format!("{violation:?} after {} steps\n", steps.len());
    for step in steps {
        let _ = writeln!(text, "  {}", cluster.describe_step(*step));
        cluster.step(*step);
    }
    let _ = write!(text, "at the end\n{}", cluster.describe_nodes());
    if cluster.violation().is_none() {
        let _ = write!(text, "settled\n{}", cluster.recovered().describe_nodes());
    }
    text
}
