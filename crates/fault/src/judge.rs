//! The properties, from the record alone.

use crate::record::{Line, Shown, What};
use crate::script::{Fault, Link, Script};
use std::collections::{BTreeMap, BTreeSet};

/// Two effects that reach the rig within this may be read in the wrong order: it reads many sockets with one thread.
const READING: f64 = 100.0;
/// A process that is stopped between its look at the clock and its write has one write left for each right; it comes this soon
/// after the process was let go.
const LET_GO: f64 = 250.0;
/// A member is watched for this long before its being named gone is held against anybody: the suspicion, the probes before it
/// and the news of it, with the machine's own lateness.
const QUIET: f64 = 15_000.0;

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Properties that do not hold, as sentences.
    pub broken: Vec<String>,
    /// Effects seen.
    pub effects: usize,
    /// Effects under an old number that a process had begun when it was stopped, one at most for each right and stop: whoever
    /// compares numbers refuses them.
    pub fenced: usize,
    /// Times that a right went from one holder to another.
    pub hand_overs: usize,
    /// The longest time in ms without an effect under a right, while faults came and after.
    pub longest_idle: f64,
    /// Wishes that were agreed on, and asked for.
    pub agreed: (usize, usize),
    /// From the end of all faults until an effect under each right, and until all showed the same: in ms.
    pub recovery: Option<f64>,
}

/// Since when each process and each link was left alone.
struct Disturbed {
    /// When each process was last let go, and the rights under which it has acted on an old number since.
    let_go: Vec<(f64, BTreeSet<String>)>,
    stopped: Vec<bool>,
    processes: Vec<f64>,
    links: Vec<f64>,
    down: Vec<bool>,
    bad_links: BTreeSet<(usize, usize)>,
}

impl Disturbed {
    fn go(&mut self, at: f64, n: usize) {
        if std::mem::take(&mut self.stopped[n]) {
            self.let_go[n] = (at, BTreeSet::new());
        }
    }

    /// Whether an effect under an old number was begun before its process was stopped.
    fn begun_before(&mut self, at: f64, name: &str, right: &str) -> bool {
        let process = name.strip_prefix('g').and_then(|n| n.parse::<usize>().ok());
        let Some((since, rights)) = process.and_then(|n| self.let_go.get_mut(n)) else { return false };
        at - *since < LET_GO && rights.insert(right.to_owned())
    }

    fn note(&mut self, at: f64, fault: &Fault) {
        match *fault {
            Fault::Stop(n) => self.stopped[n] = true,
            Fault::Go(n) => self.go(at, n),
            Fault::Heal => (0..self.stopped.len()).for_each(|n| self.go(at, n)),
            Fault::Kill(n) | Fault::StartWithoutDisk(n) => self.stopped[n] = false,
            Fault::Start(_) | Fault::Link { .. } | Fault::Links { .. } => {}
        }
        let count = self.processes.len();
        match *fault {
            Fault::Link { from, to, link } => {
                (self.links[from], self.links[to]) = (at, at);
                self.set(from, to, link);
            }
            Fault::Links { of, link } => {
                self.links[of] = at;
                for other in (0..count).filter(|other| *other != of) {
                    self.links[other] = at;
                    self.set(of, other, link);
                    self.set(other, of, link);
                }
            }
            Fault::Stop(n) | Fault::Kill(n) => (self.processes[n], self.down[n]) = (at, true),
            Fault::Go(n) | Fault::Start(n) | Fault::StartWithoutDisk(n) => {
                (self.processes[n], self.down[n]) = (at, false);
            }
            Fault::Heal => {
                for n in 0..count {
                    if std::mem::take(&mut self.down[n]) {
                        self.processes[n] = at;
                    }
                }
                for (from, to) in std::mem::take(&mut self.bad_links) {
                    (self.links[from], self.links[to]) = (at, at);
                }
            }
        }
    }

    fn set(&mut self, from: usize, to: usize, link: Link) {
        if link == Link::Pass {
            self.bad_links.remove(&(from, to));
        } else {
            self.bad_links.insert((from, to));
        }
    }

    /// Whether a process, and all links of the fleet, were left alone for long enough.
    fn quiet(&self, at: f64, n: usize) -> bool {
        let long = |since: f64| at - since > QUIET;
        !self.down[n]
            && long(self.processes[n])
            && self.bad_links.is_empty()
            && self.links.iter().all(|since| long(*since))
    }
}

/// A right as its effects show it.
struct Acted<'a> {
    /// The highest number seen, and when it was first seen.
    fence: u64,
    since: f64,
    /// Who acted under it, by name and incarnation.
    holder: (&'a str, u64),
    /// The last effect.
    last: f64,
}

/// Judges a record.
///
/// # Errors
/// When it is no record of a run.
pub fn judge(lines: &[Line]) -> Result<Verdict, String> {
    let Some(What::Script(script)) = lines.first().map(|line| &line.what) else {
        return Err("a record begins with its script".to_owned());
    };
    let script: &Script = script;
    let mut verdict = Verdict::default();
    let mut disturbed = Disturbed {
        let_go: vec![(f64::NEG_INFINITY, BTreeSet::new()); script.processes],
        stopped: vec![false; script.processes],
        processes: vec![0.0; script.processes],
        links: vec![0.0; script.processes],
        down: vec![false; script.processes],
        bad_links: BTreeSet::new(),
    };
    let mut rights: BTreeMap<&str, Acted<'_>> = BTreeMap::new();
    let mut histories: BTreeMap<u64, (&str, usize)> = BTreeMap::new();
    let mut asked: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut versions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut highest = 0;
    let (mut healed, mut after, mut last_shown) =
        (None, BTreeSet::new(), BTreeMap::<usize, (f64, &Shown)>::new());
    let mut broken = |what: String| verdict.broken.push(what);
    for Line { at, what } in lines {
        let at = *at;
        match what {
            What::Script(_) => {}
            What::Done(fault) => disturbed.note(at, fault),
            What::Healed => {
                disturbed.note(at, &Fault::Heal);
                healed = Some(at);
            }
            What::Started(_) => {}
            What::Ended { process, wanted } => {
                if !wanted {
                    broken(format!("{at:.0} ms: process {process} ended by itself"));
                }
            }
            What::Effect { right, name, incarnation, fence } => {
                verdict.effects += 1;
                let who = (name.as_str(), *incarnation);
                if healed.is_some() {
                    after.insert(right.as_str());
                }
                let first = Acted { fence: *fence, since: at, holder: who, last: at };
                let acted = rights.entry(right.as_str()).or_insert(first);
                if *fence < acted.fence && at > acted.since + READING {
                    if disturbed.begun_before(at, name, right) {
                        verdict.fenced += 1;
                        continue;
                    }
                    broken(format!(
                        "{at:.0} ms: {name} acted under {right} number {fence}, when {} had acted under {}",
                        acted.holder.0, acted.fence
                    ));
                } else if *fence == acted.fence && who != acted.holder {
                    let other = acted.holder.0;
                    broken(format!("{at:.0} ms: {name} and {other} both acted under {right} number {fence}"));
                } else if *fence > acted.fence {
                    (acted.fence, acted.since, acted.holder) = (*fence, at, who);
                    verdict.hand_overs += 1;
                }
                verdict.longest_idle = verdict.longest_idle.max(at - acted.last);
                acted.last = at;
            }
            What::Asked { wish, follows } => {
                asked.insert(*wish, (highest, *follows));
                verdict.agreed.1 += 1;
            }
            What::Agreed { wish, version } => {
                verdict.agreed.0 += 1;
                let late =
                    asked.get(wish).is_some_and(|(floor, follows)| version <= floor || version <= follows);
                if late {
                    broken(format!(
                        "wish {wish} was agreed as version {version}, behind one agreed before it was asked"
                    ));
                }
                if let Some(other) = versions.insert(*version, *wish) {
                    broken(format!("wishes {other} and {wish} were both agreed as version {version}"));
                }
                highest = highest.max(*version);
            }
            What::Gone { by, of } => {
                if disturbed.quiet(at, *by) && disturbed.quiet(at, *of) {
                    broken(format!("{at:.0} ms: process {by} named {of} gone, which answers"));
                }
            }
            What::Shown { process, shown } => {
                let (hash, first) = *histories.entry(shown.index).or_insert((&shown.hash, *process));
                if hash != shown.hash {
                    broken(format!(
                        "{first} and {process} show different histories up to entry {}",
                        shown.index
                    ));
                }
                last_shown.insert(*process, (at, shown));
            }
        }
    }
    let Some(healed) = healed else { return Err("the record ends before the faults did".to_owned()) };
    let ends: BTreeSet<_> =
        last_shown.values().map(|(_, shown)| (shown.index, shown.hash.as_str())).collect();
    if last_shown.len() < script.processes
        || last_shown.values().any(|(at, _)| *at < healed)
        || ends.len() != 1
    {
        broken(format!("at the end not all show the same: {ends:?} of {} processes", last_shown.len()));
    }
    for (process, (_, shown)) in &last_shown {
        if shown.topics.get("count").copied().unwrap_or(0) < highest {
            broken(format!("version {highest} was agreed and process {process} does not have it"));
        }
        if shown.members.len() != script.processes {
            broken(format!("at the end process {process} sees {} members", shown.members.len()));
        }
    }
    let leaders = last_shown.values().filter(|(_, shown)| shown.part == "leader").count();
    if leaders != 1 {
        broken(format!("at the end {leaders} lead"));
    }
    if after.len() < rights.len().max(1) {
        broken(format!("after the faults only {after:?} of {} rights were held", rights.len()));
    }
    verdict.recovery = last_shown.values().map(|(at, _)| at - healed).reduce(f64::max);
    Ok(verdict)
}
