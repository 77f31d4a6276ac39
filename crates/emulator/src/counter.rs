//! The shared counter as gateways reach it, whole or not.

use crate::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};

/// What an answer takes when nothing is wrong.
const LATENCY: Millis = 1.0;
/// What an answer takes that is spoilt: it comes as quickly.
const SPOILT: Millis = 1.0;
/// Counts as they were are kept this often ...
const COPY_EVERY: Millis = 50.0;
/// ... and so many of them.
const COPIES: usize = 64;

/// What is done to the counter.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// These gateways get no answer; calls may be added or not, by chance.
    Cut(Vec<usize>),
    /// These gateways are turned away at once.
    Refuse(Vec<usize>),
    /// All gateways have the first counter again, as it stands, quick and unspoilt.
    Heal,
    /// These gateways have a second counter from now on, that begins as a copy of the first.
    Split(Vec<usize>),
    /// The first counter begins anew with nothing.
    Replace,
    /// The first counter goes back to what it was so long ago, as far as that is kept.
    Restore(Millis),
    /// The first counter forgets this share of its names.
    Forget(f64),
    /// Answers take so long.
    Slow(Millis),
    /// This share of the answers is spoilt: added, but nobody can read the total.
    Spoil(f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    To(usize),
    Silent,
    Refused,
}

/// How a call fares: when its end is told, and what of; whether its amount was added is the counter's alone to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Reply {
    pub after: Millis,
    pub outcome: doorcourse::CountOutcome,
}

type Counts = HashMap<u64, (f64, Millis)>;

/// Counters and the ways to them.
#[derive(Debug)]
pub struct Counters {
    counts: Vec<Counts>,
    ways: Vec<Way>,
    copies: VecDeque<(Millis, Counts)>,
    latency: Millis,
    spoilt: f64,
    patience: Millis,
    /// When each call came, to see how many come at once.
    pub(crate) calls: Vec<Millis>,
}

impl Counters {
    pub(crate) fn new(gateways: usize, patience: Millis) -> Self {
        Self {
            counts: vec![Counts::new()],
            ways: vec![Way::To(0); gateways],
            copies: VecDeque::new(),
            latency: LATENCY,
            spoilt: 0.0,
            patience,
            calls: Vec::new(),
        }
    }

    pub(crate) fn suffer(&mut self, now: Millis, fault: &Fault, random: &mut ChaCha8Rng) {
        let mut lead = |gateways: &[usize], way: Way| {
            gateways.iter().filter_map(|g| self.ways.get_mut(*g).map(|w| *w = way)).count()
        };
        match fault {
            Fault::Cut(gateways) => drop(lead(gateways, Way::Silent)),
            Fault::Refuse(gateways) => drop(lead(gateways, Way::Refused)),
            Fault::Heal => {
                self.ways.fill(Way::To(0));
                (self.latency, self.spoilt) = (LATENCY, 0.0);
                self.counts.truncate(1);
            }
            Fault::Split(gateways) => {
                let copy = self.counts[0].clone();
                self.counts.truncate(1);
                self.counts.push(copy);
                lead(gateways, Way::To(1));
            }
            Fault::Replace => self.counts[0].clear(),
            Fault::Restore(age) => {
                let old = self.copies.iter().rev().find(|(at, _)| *at <= now - age);
                if let Some((_, counts)) = old.or(self.copies.front()) {
                    self.counts[0] = counts.clone();
                }
            }
            Fault::Forget(share) => {
                let mut names: Vec<u64> = self.counts[0].keys().copied().collect();
                names.sort_unstable();
                for name in names {
                    if random.random_bool(share.clamp(0.0, 1.0)) {
                        self.counts[0].remove(&name);
                    }
                }
            }
            Fault::Slow(latency) => self.latency = *latency,
            Fault::Spoil(share) => self.spoilt = *share,
        }
    }

    fn add(&mut self, which: usize, now: Millis, name: u64, amount: f64, keep: Millis) -> f64 {
        let count = self.counts[which].entry(name).or_insert((0.0, now + keep));
        if count.1 <= now {
            *count = (0.0, now + keep);
        }
        count.0 += amount;
        count.0
    }

    pub(crate) fn call(
        &mut self, gateway: usize, now: Millis, name: u64, amount: f64, keep: Millis, random: &mut ChaCha8Rng,
    ) -> Reply {
        use doorcourse::CountOutcome::{NotAdded, Total, Unknown};
        self.calls.push(now);
        if self.copies.back().is_none_or(|(at, _)| now >= at + COPY_EVERY) {
            self.copies.push_back((now, self.counts[0].clone()));
            let over = self.copies.len().saturating_sub(COPIES);
            self.copies.drain(..over);
        }
        let unknown = Reply { after: self.patience, outcome: Unknown };
        let which = match self.ways[gateway] {
            Way::Refused => return Reply { after: 0.0, outcome: NotAdded },
            Way::Silent => {
                if random.random_bool(0.5) {
                    self.add(0, now, name, amount, keep);
                }
                return unknown;
            }
            Way::To(which) => which.min(self.counts.len() - 1),
        };
        let total = self.add(which, now, name, amount, keep);
        if self.spoilt > 0.0 && random.random_bool(self.spoilt.min(1.0)) {
            return Reply { after: SPOILT, outcome: Unknown };
        }
        if self.latency > self.patience {
            return unknown;
        }
        Reply { after: self.latency, outcome: Total(total) }
    }
}
