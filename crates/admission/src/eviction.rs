//! Who goes first when room is short: of the clients the one that holds most beyond its share, of its idle connections those
//! that never asked before those that were answered, and of each the one that is idle longest.
//!
//! A connection goes idle and busy again with each request, and somebody goes only when room is short: so what a request
//! costs is kept least. Ranks are not mended when a connection is busy or idle again, but when the highest is looked at. That is
//! right because a rank that is out of date is never too low: what makes one rise (more held, another class) mends it at once,
//! and a client's oldest idle connection only grows younger. Each look at a rank that is out of date mends it, and one
//! change puts one rank out of date at most, so the cost of looking stays logarithmic in clients over all changes.

use crate::{Client, ClientClass, ConnectionId, Time};
use ahash::AHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// Those that are not idle any more are taken out once they are more than this and more than those that are.
const STALE_MOST: usize = 16;

/// How much a client holds of what it may: millionths of its cap.
pub type Load = u64;

/// The load of so many connections under a cap.
pub fn load(open: u32, cap: u32) -> Load {
    u64::from(open) * 1_000_000 / u64::from(cap.max(1))
}

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleConnection {
    /// Since its last answer, its start, or the first byte of its next request.
    pub since: Time,
    /// Its number.
    pub id: ConnectionId,
    /// Whether an answer was given on it.
    pub answered: bool,
}

/// By load, then by who is idle longest.
type Rank = (Load, Reverse<Time>, Client);

/// Idle connections, idle longest in front. Those that are not idle any more stay until they come to the front, or are many.
#[derive(Default)]
struct Queue {
    items: VecDeque<(IdleConnection, bool)>,
    live: usize,
}

impl Queue {
    fn first(&self) -> Option<&IdleConnection> {
        self.items.front().map(|(idle, _)| idle)
    }

    /// They come in order but for those of one moment.
    fn insert(&mut self, idle: IdleConnection) {
        self.live += 1;
        if self.items.back().is_none_or(|(last, _)| *last < idle) {
            return self.items.push_back((idle, true));
        }
        match self.items.binary_search_by(|(other, _)| other.cmp(&idle)) {
            Ok(at) => self.items[at].1 = true,
            Err(at) => self.items.insert(at, (idle, true)),
        }
    }

    fn remove(&mut self, idle: IdleConnection) {
        let Ok(at) = self.items.binary_search_by(|(other, _)| other.cmp(&idle)) else { return };
        if !std::mem::take(&mut self.items[at].1) {
            return;
        }
        self.live -= 1;
        if self.items.len() - self.live > self.live.max(STALE_MOST) {
            self.items.retain(|(_, live)| *live);
        }
        while self.items.front().is_some_and(|(_, live)| !live) {
            self.items.pop_front();
        }
    }
}

struct Entry {
    class: ClientClass,
    load: Load,
    silent: Queue,
    answered: Queue,
    /// Its rank as it stands in the table, never below its true one; none while it has none there.
    ranked: Option<Rank>,
}

impl Entry {
    fn queue(&mut self, idle: IdleConnection) -> &mut Queue {
        if idle.answered { &mut self.answered } else { &mut self.silent }
    }

    fn rank(&self, client: Client) -> Option<Rank> {
        let oldest =
            [self.silent.first(), self.answered.first()].into_iter().flatten().map(|i| i.since).min();
        oldest.map(|since| (self.load, Reverse(since), client))
    }

    /// Those first who said they would ask and didn't, last those who just came.
    fn first(&self, now: Time, newcomer: Time) -> Option<(IdleConnection, bool)> {
        let fresh = |idle: &IdleConnection| now.saturating_sub(idle.since) < newcomer;
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
    pub idle: IdleConnection,
    /// What its client holds.
    pub load: Load,
    /// Whether it was idle for less than a newcomer's time.
    pub fresh: bool,
}

/// All idle connections that may be evicted.
#[derive(Default)]
pub struct EvictionOrder {
    clients: AHashMap<Client, Entry>,
    ranks: [BTreeSet<Rank>; 2],
}

impl EvictionOrder {
    /// A connection is idle.
    pub fn insert(&mut self, client: Client, class: ClientClass, load: Load, idle: IdleConnection) {
        let fresh =
            || Entry { class, load, silent: Queue::default(), answered: Queue::default(), ranked: None };
        let entry = self.clients.entry(client).or_insert_with(fresh);
        entry.queue(idle).insert(idle);
        if entry.ranked.is_none() || entry.class != class || entry.load < load {
            self.rerank(client, class, load);
        } else {
            entry.load = load;
        }
    }

    /// It is not idle any more, or not to be evicted.
    pub fn remove(&mut self, client: Client, idle: IdleConnection) {
        if let Some(entry) = self.clients.get_mut(&client) {
            entry.queue(idle).remove(idle);
        }
    }

    /// A client holds more or less than before, or became known.
    pub fn update(&mut self, client: Client, class: ClientClass, load: Load) {
        let Some(entry) = self.clients.get_mut(&client) else { return };
        if entry.class != class || entry.load < load {
            return self.rerank(client, class, load);
        }
        entry.load = load;
    }

    /// A client has nothing open any more.
    pub fn remove_client(&mut self, client: Client) {
        if let Some(Entry { class, ranked: Some(rank), .. }) = self.clients.remove(&client) {
            self.ranks[class as usize].remove(&rank);
        }
    }

    /// Gives a client its true rank.
    fn rerank(&mut self, client: Client, class: ClientClass, load: Load) {
        let Some(entry) = self.clients.get_mut(&client) else { return };
        if let Some(old) = entry.ranked.take() {
            self.ranks[entry.class as usize].remove(&old);
        }
        (entry.class, entry.load) = (class, load);
        entry.ranked = entry.rank(client);
        if let Some(rank) = entry.ranked {
            self.ranks[class as usize].insert(rank);
        }
    }

    /// The highest true rank of a class.
    fn top(&mut self, class: ClientClass) -> Option<Rank> {
        loop {
            let top = *self.ranks[class as usize].last()?;
            let client = top.2;
            let Some(entry) = self.clients.get(&client) else {
                self.ranks[class as usize].remove(&top);
                continue;
            };
            if entry.rank(client) == Some(top) {
                return Some(top);
            }
            let load = entry.load;
            self.rerank(client, class, load);
        }
    }

    /// Who of a client's own would go first.
    pub fn next_of_client(&self, client: Client, now: Time, newcomer: Time) -> Option<Victim> {
        let entry = self.clients.get(&client)?;
        let (idle, fresh) = entry.first(now, newcomer)?;
        Some(Victim { client, idle, load: entry.load, fresh })
    }

    /// Who of some classes would go first.
    pub fn next_victim(&mut self, classes: &[ClientClass], now: Time, newcomer: Time) -> Option<Victim> {
        let top = classes.iter().filter_map(|class| self.top(*class)).max()?;
        self.next_of_client(top.2, now, newcomer)
    }
}
