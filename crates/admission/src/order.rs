//! Who goes first when room is short: of the clients the one that holds most beyond its share, of its idle connections those
//! that never asked before those that were answered, and of each the one that is idle longest.
//!
//! Finding it takes time logarithmic in clients and connections.

use crate::{Class, Client, Id, Time};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// How much a client holds of what it may: millionths of its cap.
pub type Load = u64;

/// The load of so many connections under a cap.
pub fn load(open: u32, cap: u32) -> Load {
    u64::from(open) * 1_000_000 / u64::from(cap.max(1))
}

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Idle {
    /// Since its last answer, its start, or the first byte of its next request.
    pub since: Time,
    /// Its number.
    pub id: Id,
    /// Whether an answer was given on it.
    pub answered: bool,
}

/// By load, then by who is idle longest.
type Rank = (Load, Reverse<Time>, Client);

struct Entry {
    class: Class,
    load: Load,
    silent: BTreeSet<Idle>,
    answered: BTreeSet<Idle>,
}

impl Entry {
    fn rank(&self, client: Client) -> Option<Rank> {
        let oldest =
            [self.silent.first(), self.answered.first()].into_iter().flatten().map(|i| i.since).min();
        oldest.map(|since| (self.load, Reverse(since), client))
    }

    /// Those first who said they would ask and didn't, last those who just came.
    fn first(&self, now: Time, newcomer: Time) -> Option<(Idle, bool)> {
        let fresh = |idle: &Idle| now.saturating_sub(idle.since) < newcomer;
        let silent = self.silent.first();
        let chosen = silent.filter(|idle| !fresh(idle)).or(self.answered.first()).or(silent)?;
        Some((*chosen, fresh(chosen)))
    }
}

/// Who would go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Victim {
    /// Whose it is.
    pub client: Client,
    /// Which.
    pub idle: Idle,
    /// What its client holds.
    pub load: Load,
    /// Whether it was idle for less than a newcomer's time.
    pub fresh: bool,
}

/// All idle connections that may be evicted.
#[derive(Default)]
pub struct Order {
    clients: HashMap<Client, Entry>,
    ranks: [BTreeSet<Rank>; 2],
}

impl Order {
    fn change(&mut self, client: Client, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.clients.get_mut(&client) else { return };
        if let Some(rank) = entry.rank(client) {
            self.ranks[entry.class as usize].remove(&rank);
        }
        change(entry);
        match entry.rank(client) {
            Some(rank) => {
                self.ranks[entry.class as usize].insert(rank);
            }
            None => {
                self.clients.remove(&client);
            }
        }
    }

    /// A connection is idle.
    pub fn insert(&mut self, client: Client, class: Class, load: Load, idle: Idle) {
        let fresh = || Entry { class, load, silent: BTreeSet::new(), answered: BTreeSet::new() };
        self.clients.entry(client).or_insert_with(fresh);
        self.change(client, |entry| {
            (entry.class, entry.load) = (class, load);
            if idle.answered { &mut entry.answered } else { &mut entry.silent }.insert(idle);
        });
    }

    /// It is not idle any more, or not to be evicted.
    pub fn remove(&mut self, client: Client, idle: Idle) {
        self.change(client, |entry| {
            if idle.answered { &mut entry.answered } else { &mut entry.silent }.remove(&idle);
        });
    }

    /// A client holds more or less than before, or became known.
    pub fn update(&mut self, client: Client, class: Class, load: Load) {
        self.change(client, |entry| (entry.class, entry.load) = (class, load));
    }

    /// Who of a client's own would go first.
    pub fn own(&self, client: Client, now: Time, newcomer: Time) -> Option<Victim> {
        let entry = self.clients.get(&client)?;
        let (idle, fresh) = entry.first(now, newcomer)?;
        Some(Victim { client, idle, load: entry.load, fresh })
    }

    /// Who of some classes would go first.
    pub fn first(&self, classes: &[Class], now: Time, newcomer: Time) -> Option<Victim> {
        let tops = classes.iter().filter_map(|class| self.ranks[*class as usize].last());
        self.own(tops.max()?.2, now, newcomer)
    }
}
