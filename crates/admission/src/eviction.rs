//! The order in which idle connections are evicted: first the client that holds the most relative to its cap;
//! of its idle connections those that never sent a request before those that did; of each the one that is
//! idle longest.
//!
//! Connections become idle and busy with each request, and evictions are rare, so the cost per request is
//! kept minimal: ranks are not updated when a connection becomes busy or idle again, but when the highest is
//! looked up. That is correct because an outdated rank is never too low: what raises one (a higher load,
//! another class) updates it at once, and a client's oldest idle connection only gets younger. Each lookup of
//! an outdated rank updates it, and one change outdates at most one rank, so over all changes the cost of
//! lookups stays logarithmic in the number of clients.

use crate::{Client, ClientClass, ConnectionId, Time};
use ahash::AHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// Entries that are no longer idle are removed once they outnumber this and the idle ones.
const MAX_STALE: usize = 16;

/// A client's usage of its cap, in millionths.
pub type Load = u64;

/// The load of `open` connections under a cap.
pub fn load(open: u32, cap: u32) -> Load {
    u64::from(open) * 1_000_000 / u64::from(cap.max(1))
}

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleConnection {
    /// Its last response, its start, or the first byte of its next request.
    pub since: Time,
    /// Its identifier.
    pub id: ConnectionId,
    /// Whether a response was sent on it.
    pub answered: bool,
}

/// Ordered by load, then by the longest idle time.
type Rank = (Load, Reverse<Time>, Client);

/// Idle connections, longest idle first. Entries that are no longer idle stay until they reach the front or
/// are many.
#[derive(Default)]
struct Queue {
    items: VecDeque<(IdleConnection, bool)>,
    live: usize,
}

impl Queue {
    fn first(&self) -> Option<&IdleConnection> {
        self.items.front().map(|(idle, _)| idle)
    }

    /// Entries arrive in order, except those with the same time.
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
        if self.items.len() - self.live > self.live.max(MAX_STALE) {
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
    unused: Queue,
    answered: Queue,
    /// Its rank in the table, never below its true rank; none if it is not in the table.
    ranked: Option<Rank>,
}

impl Entry {
    fn queue(&mut self, idle: IdleConnection) -> &mut Queue {
        if idle.answered { &mut self.answered } else { &mut self.unused }
    }

    fn rank(&self, client: Client) -> Option<Rank> {
        let oldest =
            [self.unused.first(), self.answered.first()].into_iter().flatten().map(|i| i.since).min();
        oldest.map(|since| (self.load, Reverse(since), client))
    }

    /// Connections that never sent a request come first, new ones last.
    fn first(&self, now: Time, newcomer: Time) -> Option<(IdleConnection, bool)> {
        let is_new = |idle: &IdleConnection| now.saturating_sub(idle.since) < newcomer;
        let unused = self.unused.first();
        let chosen = unused.filter(|idle| !is_new(idle)).or(self.answered.first()).or(unused)?;
        Some((*chosen, is_new(chosen)))
    }
}

/// The connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Victim {
    /// Its client.
    pub client: Client,
    /// The connection.
    pub idle: IdleConnection,
    /// Its client's load.
    pub load: Load,
    /// Whether it was idle for less than the newcomer time.
    pub is_new: bool,
}

/// All idle connections that may be evicted.
#[derive(Default)]
pub struct EvictionOrder {
    clients: AHashMap<Client, Entry>,
    ranks: [BTreeSet<Rank>; 2],
}

impl EvictionOrder {
    /// Adds a connection that became idle.
    pub fn insert(&mut self, client: Client, class: ClientClass, load: Load, idle: IdleConnection) {
        let new_entry =
            || Entry { class, load, unused: Queue::default(), answered: Queue::default(), ranked: None };
        let entry = self.clients.entry(client).or_insert_with(new_entry);
        entry.queue(idle).insert(idle);
        if entry.ranked.is_none() || entry.class != class || entry.load < load {
            self.rerank(client, class, load);
        } else {
            entry.load = load;
        }
    }

    /// Removes a connection that is no longer idle or must not be evicted.
    pub fn remove(&mut self, client: Client, idle: IdleConnection) {
        if let Some(entry) = self.clients.get_mut(&client) {
            entry.queue(idle).remove(idle);
        }
    }

    /// Updates the load and class of a client.
    pub fn update(&mut self, client: Client, class: ClientClass, load: Load) {
        let Some(entry) = self.clients.get_mut(&client) else { return };
        if entry.class != class || entry.load < load {
            return self.rerank(client, class, load);
        }
        entry.load = load;
    }

    /// Removes a client without open connections.
    pub fn remove_client(&mut self, client: Client) {
        if let Some(Entry { class, ranked: Some(rank), .. }) = self.clients.remove(&client) {
            self.ranks[class as usize].remove(&rank);
        }
    }

    /// Sets a client's rank to its true value.
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

    /// The connection of a client that would be evicted first.
    pub fn next_of_client(&self, client: Client, now: Time, newcomer: Time) -> Option<Victim> {
        let entry = self.clients.get(&client)?;
        let (idle, is_new) = entry.first(now, newcomer)?;
        Some(Victim { client, idle, load: entry.load, is_new })
    }

    /// The connection of the given classes that would be evicted first.
    pub fn next_victim(&mut self, classes: &[ClientClass], now: Time, newcomer: Time) -> Option<Victim> {
        let top = classes.iter().filter_map(|class| self.top(*class)).max()?;
        self.next_of_client(top.2, now, newcomer)
    }
}
