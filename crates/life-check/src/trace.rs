//! A story as text, to be kept in a file and played again: its bounds, the deliberate fault if there is one, and its steps,
//! one a line. What follows a `#` is a remark.
//!
//! ```text
//! bounds requests=1 nodes=2 attempts=3 cancels=1 drains=0 faults=0 reuses=0 steps=4
//! arrives 0
//! counts
//! ```

use crate::explore::System;
use crate::mutants::ALL;
use crate::walk::at_once;
use crate::world::{Bounds, NODES, REQUESTS, Reply, Step, World};
use std::fmt::{self, Write as _};

/// Why a text is no story.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it, and what would be right.
    pub what: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for Unreadable {}

/// A kind of step by its name, for a number.
type Kind<N> = (&'static str, fn(N) -> Step);

/// Steps that concern an attempt by its place, a request or a node by its number, or nothing in particular.
const OF_ATTEMPT: [Kind<usize>; 14] = [
    ("places", Step::Places),
    ("connects", Step::Connects),
    ("is-refused", Step::IsRefused),
    ("writes", Step::Writes),
    ("starts", Step::Starts),
    ("flushes", Step::Flushes),
    ("hears", Step::Hears),
    ("reads", Step::Reads),
    ("reads-copy", Step::ReadsCopy),
    ("breaks", Step::Breaks),
    ("finds-broken", Step::FindsBroken),
    ("gives-up", Step::GivesUp),
    ("stops", Step::Stops),
    ("times-out", Step::TimesOut),
];
const OF_ONE: [Kind<u8>; 6] = [
    ("arrives", Step::Arrives),
    ("arrives-again", Step::ArrivesAgain),
    ("cancels", Step::Cancels),
    ("drains", Step::Drains),
    ("dies", Step::Dies),
    ("returns", Step::Returns),
];
const OF_ALL: [(&str, Step); 6] = [
    ("tick", Step::Tick),
    ("counts", Step::Counts),
    ("count-delays", Step::CountDelays),
    ("count-lost", Step::CountLost),
    ("count-unheard", Step::CountUnheard),
    ("terminates", Step::Terminates),
];
const REPLIES: [(&str, Reply); 5] = [
    ("whole", Reply::Whole),
    ("error", Reply::Error),
    ("declined", Reply::Declined),
    ("spoilt", Reply::Spoilt),
    ("overlong", Reply::Overlong),
];

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((word, _)) = OF_ALL.iter().find(|(_, step)| step == self) {
            return f.write_str(word);
        }
        if let Self::Replies(n, reply) = self {
            let word = REPLIES.iter().find(|(_, r)| r == reply).map_or("whole", |(word, _)| word);
            return write!(f, "replies {n} {word}");
        }
        let mut found = (0..u8::MAX).flat_map(|n| {
            let one = OF_ONE.iter().map(move |(word, of)| (*word, n, of(n)));
            one.chain(OF_ATTEMPT.iter().map(move |(word, of)| (*word, n, of(n.into()))))
        });
        match found.find(|(.., step)| step == self) {
            Some((word, n, _)) => write!(f, "{word} {n}"),
            None => Err(fmt::Error),
        }
    }
}

/// Reads a step.
fn step(words: &[&str]) -> Option<Step> {
    match words {
        ["replies", n, reply] => {
            let reply = REPLIES.iter().find(|(word, _)| word == reply)?.1;
            Some(Step::Replies(n.parse().ok()?, reply))
        }
        [word, n] => {
            let of_attempt = OF_ATTEMPT.iter().find(|(w, _)| w == word);
            if let Some((_, of)) = of_attempt {
                return Some(of(n.parse().ok()?));
            }
            Some(OF_ONE.iter().find(|(w, _)| w == word)?.1(n.parse().ok()?))
        }
        [word] => Some(OF_ALL.iter().find(|(w, _)| w == word)?.1),
        _ => None,
    }
}

fn bounds(words: &[&str]) -> Result<Bounds, String> {
    let mut bounds = Bounds::none();
    for word in words {
        let pair = word.split_once('=').and_then(|(key, value)| Some((key, value.parse::<u8>().ok()?)));
        let (key, value) = pair.ok_or_else(|| format!("{word} should be a bound, as requests=1"))?;
        bounds.set(key, value)?;
    }
    Ok(bounds)
}

/// Writes a story down.
pub fn write(system: System, steps: &[Step]) -> String {
    let mut out = format!("bounds {}\n", system.bounds);
    if let Some(mutant) = system.mutant {
        let _ = writeln!(out, "mutant {mutant:?}");
    }
    for step in steps {
        let _ = writeln!(out, "{step}");
    }
    out
}

/// Reads a story, and checks that each of its steps is possible where it stands.
///
/// # Errors
/// At the first line that is none of its kind, or at the first step that cannot happen there.
pub fn read(text: &str) -> Result<(System, Vec<Step>), Unreadable> {
    read_with(text, |_| None)
}

/// Reads a story of which only some steps are written down: what the gateway does by itself stands in between, as far as the
/// next step needs it, and at the end.
///
/// # Errors
/// As for [`read`].
pub fn read_filled(text: &str) -> Result<(System, Vec<Step>), Unreadable> {
    read_with(text, at_once)
}

fn read_with(text: &str, fill: fn(&World) -> Option<Step>) -> Result<(System, Vec<Step>), Unreadable> {
    let mut system = System { bounds: Bounds::none(), mutant: None };
    let mut world: Option<World> = None;
    let mut steps = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let fail = |what: String| Unreadable { line: n + 1, what };
        let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
        match (words.as_slice(), &mut world) {
            ([], _) => {}
            (["bounds", rest @ ..], None) => system.bounds = bounds(rest).map_err(fail)?,
            (["mutant", name], None) => {
                let named = ALL.iter().find(|m| format!("{m:?}") == *name);
                system.mutant = Some(
                    *named.ok_or_else(|| fail(format!("no mutant is called {name}; there are {ALL:?}")))?,
                );
            }
            (words, world) => {
                let step = step(words).ok_or_else(|| fail(format!("{} is no step", words.join(" "))))?;
                let now = world.get_or_insert_with(|| World::start(&system.bounds, system.mutant));
                let mut possible = Vec::new();
                loop {
                    possible.clear();
                    now.possible(&system.bounds, system.mutant, &mut possible);
                    if possible.contains(&step) {
                        break;
                    }
                    let Some(between) = fill(now) else { break };
                    *now = now.after(between, system.mutant);
                    steps.push(between);
                }
                if !possible.contains(&step) {
                    let possible: Vec<String> = possible.iter().map(Step::to_string).collect();
                    return Err(fail(format!(
                        "{step} cannot happen here; possible: {}",
                        possible.join(", ")
                    )));
                }
                *now = now.after(step, system.mutant);
                steps.push(step);
            }
        }
    }
    if let Some(now) = &mut world {
        while let Some(step) = fill(now) {
            *now = now.after(step, system.mutant);
            steps.push(step);
        }
    }
    Ok((system, steps))
}

impl Bounds {
    /// One request to one node, and nothing happens to it.
    pub const fn none() -> Self {
        Self {
            requests: 1,
            nodes: 1,
            attempts: 3,
            cancels: 0,
            drains: 0,
            faults: 0,
            reuses: 0,
            early: 0,
            copies: 0,
            steps: 4,
        }
    }

    /// Sets a bound by its name.
    ///
    /// # Errors
    /// When there is no such bound, or the world does not hold as much.
    pub fn set(&mut self, name: &str, value: u8) -> Result<(), String> {
        let (field, least, most) = match name {
            "requests" => (&mut self.requests, 1, REQUESTS as u8),
            "nodes" => (&mut self.nodes, 1, NODES as u8),
            "cancels" => (&mut self.cancels, 0, u8::MAX),
            "drains" => (&mut self.drains, 0, u8::MAX),
            "faults" => (&mut self.faults, 0, u8::MAX),
            "reuses" => (&mut self.reuses, 0, u8::MAX),
            "early" => (&mut self.early, 0, u8::MAX),
            "copies" => (&mut self.copies, 0, u8::MAX),
            "steps" => (&mut self.steps, 1, 100),
            "attempts" => {
                self.attempts = value.into();
                return Ok(());
            }
            _ => return Err(format!("{name} is no bound; there are {self}")),
        };
        if !(least..=most).contains(&value) {
            return Err(format!("{name}={value} should be {least} to {most}"));
        }
        *field = value;
        Ok(())
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, nodes, attempts, cancels, drains, faults, reuses, early, copies, steps } = self;
        write!(f, "requests={requests} nodes={nodes} attempts={attempts} cancels={cancels} ")?;
        write!(
            f,
            "drains={drains} faults={faults} reuses={reuses} early={early} copies={copies} steps={steps}"
        )
    }
}
