//! Runs the checker, and tells what it found.

use crate::mutants::Mutant;
use crate::properties::Violation;
use crate::world::{Bounds, Step, World};
use life::tables::Transition;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Two requests of different effect, two nodes in two racks, three attempts, one drain, one cancel, one fault of any kind
/// anywhere, the second request under its own id or the first one's, and time-outs.
pub const ALL_AT_ONCE: Bounds = Bounds {
    requests: 2,
    nodes: 2,
    attempts: 3,
    cancels: 1,
    drains: 1,
    faults: 1,
    reuses: 1,
    early: 1,
    copies: 0,
    steps: 4,
};

/// The one property that the checker is given: all of those in `properties`.
const PROPERTY: &str = "all properties hold";

/// The composed system as the checker sees it.
#[derive(Clone, Copy, Debug)]
pub struct System {
    /// How much of what may happen.
    pub bounds: Bounds,
    /// The deliberate fault, if there is one.
    pub mutant: Option<Mutant>,
}

impl System {
    fn possible(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        if world.violation().is_none() {
            world.possible(&self.bounds, self.mutant, &mut steps);
        }
        steps
    }

    /// What does not hold in a state, if something does not. Every step spends of a bound, so all ways end; where no
    /// step is possible any more, everything must have had its end.
    pub fn violation(&self, world: &World) -> Option<Violation> {
        let at_the_end = || match (world.is_settled(), world.units_add_up()) {
            (false, _) => Some(Violation::Unsettled),
            (true, false) => Some(Violation::Units),
            (true, true) => None,
        };
        let over = || self.possible(world).is_empty();
        world.violation().or_else(|| if over() { at_the_end() } else { None })
    }
}

impl Model for System {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::start(&self.bounds, self.mutant)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend(self.possible(world));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        Some(world.after(step, self.mutant))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(PROPERTY, |system: &System, world: &World| system.violation(world).is_none())]
    }
}

/// What a run of the checker found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Distinct states.
    pub states: usize,
    /// Steps taken between them.
    pub transitions: usize,
    /// The longest way from the start.
    pub depth: usize,
    /// How long it took.
    pub took: Duration,
    /// The shortest way to something that does not hold, and what that is.
    pub story: Option<(Vec<Step>, Violation)>,
}

impl std::fmt::Display for Found {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (states, transitions, depth, took) = (self.states, self.transitions, self.depth, self.took);
        write!(f, "{states} states, {transitions} transitions, depth {depth}, {:.1} s", took.as_secs_f64())?;
        // Of the whole process, where the system tells it.
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.map_or(Ok(()), |peak| write!(f, ", peak memory {}", peak.trim()))
    }
}

/// Explores all that can be reached within the bounds, depth first: what waits to be looked at is then a few ways and not
/// a whole layer of states, each of some kilobytes. If something does not hold, [`shortest`] seeks its shortest story.
pub fn explore(system: System, threads: usize) -> Found {
    let begun = Instant::now();
    let checker = system.checker().threads(threads).finish_when(HasDiscoveries::Any).spawn_dfs().join();
    match checker.discovery(PROPERTY) {
        None => found(&checker, begun, None),
        Some(_) => shortest(system, threads),
    }
}

/// Explores breadth first, so that a story is a shortest one.
pub fn shortest(system: System, threads: usize) -> Found {
    let begun = Instant::now();
    let checker = system.checker().threads(threads).finish_when(HasDiscoveries::Any).spawn_bfs().join();
    let story = checker.discovery(PROPERTY).and_then(|path| {
        let last = path.last_state().clone();
        let violation = system.violation(&last)?;
        Some((path.into_actions(), violation))
    });
    found(&checker, begun, story)
}

fn found(checker: &impl Checker<System>, begun: Instant, story: Option<(Vec<Step>, Violation)>) -> Found {
    Found {
        states: checker.unique_state_count(),
        transitions: checker.state_count(),
        depth: checker.max_depth(),
        took: begun.elapsed(),
        story,
    }
}

/// All steps of the machines that are taken anywhere within the bounds, by the machine's name. Depth first and on one
/// thread: for small bounds.
pub fn coverage(system: System) -> BTreeMap<&'static str, BTreeSet<Transition>> {
    let mut covered: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    let mut start = World::start(&system.bounds, system.mutant);
    start.note();
    let (mut seen, mut next) = (HashSet::new(), vec![start]);
    while let Some(world) = next.pop() {
        for step in system.possible(&world) {
            let mut then = world.after(step, system.mutant);
            for (machine, transition) in then.noted() {
                covered.entry(machine).or_default().insert(transition);
            }
            let mut state = DefaultHasher::new();
            then.hash(&mut state);
            if seen.insert(state.finish()) {
                next.push(then);
            }
        }
    }
    covered
}

/// A counterexample as a numbered story.
pub fn tell(system: System, steps: &[Step]) -> String {
    let mut world = World::start(&system.bounds, system.mutant);
    let mut out = String::new();
    for (n, step) in steps.iter().enumerate() {
        let _ = writeln!(out, "{:>3}. at {} ms: {}", n + 1, world.ms(), words(&world, *step));
        world = world.after(*step, system.mutant);
    }
    if let Some(violation) = system.violation(&world) {
        let _ = writeln!(out, "     broken: {violation:?}");
    }
    out
}

fn words(world: &World, step: Step) -> String {
    let attempt = |n: usize| match world.sent.get(n) {
        Some(sent) => format!("attempt {} of request {} at node {}", sent.number, sent.id, sent.node),
        None => "no attempt".into(),
    };
    match step {
        Step::Arrives(n) => {
            let effect = crate::world::effect(u64::from(n) + 1);
            format!("request {} ({effect:?}) is taken", n + 1)
        }
        Step::ArrivesAgain(n) => {
            let effect = crate::world::effect(u64::from(n) + 1);
            format!("request {} ({effect:?}) comes under the id of request {n}", n + 1)
        }
        Step::Cancels(n) => format!("the client of request {} cancels", n + 1),
        Step::Tick => "time goes on".into(),
        Step::Places(n) => format!("{} seeks a connection", attempt(n)),
        Step::Connects(n) => format!("{}: its connection comes up", attempt(n)),
        Step::IsRefused(n) => format!("{}: its connection is refused", attempt(n)),
        Step::Writes(n) => format!("{}: its first bytes are due", attempt(n)),
        Step::Flushes(n) => format!("{}: its last byte is written", attempt(n)),
        Step::Replies(n, reply) => format!("{}: the node writes {reply:?}", attempt(n)),
        Step::Starts(n) => format!("{}: the node begins to run it before its last byte", attempt(n)),
        Step::Hears(n) => format!("{}: the gateway hears that before its last byte", attempt(n)),
        Step::Reads(n) => format!("{}: the gateway reads that", attempt(n)),
        Step::ReadsCopy(n) => {
            format!("{}: the gateway reads a late copy of the refusal of an earlier attempt", attempt(n))
        }
        Step::Breaks(n) => format!("{}: its connection breaks", attempt(n)),
        Step::FindsBroken(n) => format!("{}: its connection turns out to be broken", attempt(n)),
        Step::GivesUp(n) => format!("{}: writing it is given up", attempt(n)),
        Step::Stops(n) => format!("{} notices that it was stopped", attempt(n)),
        Step::TimesOut(n) => format!("{}: its time is up", attempt(n)),
        Step::Drains(n) => format!("the list says that node {n} drains"),
        Step::Dies(n) => format!("node {n} dies, and the list says so"),
        Step::Returns(n) => format!("node {n} is there again, and the list says so"),
        Step::CountDelays => "the counter takes its time".into(),
        Step::CountUnheard => "the counter's answer is lost".into(),
        Step::Counts => "the counter answers".into(),
        Step::CountLost => "a call of the counter is lost".into(),
        Step::Terminates => "the gateway is told to end".into(),
    }
}
