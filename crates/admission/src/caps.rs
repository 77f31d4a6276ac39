//! Caps on the open connections and the connection rate of each client or site, in bounded memory.
//!
//! Clients with open connections are always tracked: there are no more of them than descriptors. Of the
//! others the last `max_idle` are remembered while their rate state still matters. Cost of the bound: a
//! client that is evicted by `max_idle` others regains its full burst, so each round of `max_idle` other
//! clients lets any client exceed its rate by at most `burst`.

use crate::gcra::{ArrivalTime, Rate};
use crate::{Client, Time};
use ahash::AHashMap;
use lru::LruCache;
use std::num::NonZeroUsize;

/// Why a cap rejects a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CapExceeded {
    /// Too many connections are open.
    Open,
    /// Connections arrive too fast; the next would be accepted after this many ms.
    Rate(f64),
}

#[derive(Clone, Copy, Default)]
struct ClientUsage {
    open: u32,
    next_arrival: ArrivalTime,
}

/// Open connections and rates of all clients, or of all sites.
pub struct ConnectionCaps {
    active: AHashMap<Client, ClientUsage>,
    idle: LruCache<Client, ArrivalTime>,
}

pub(crate) fn to_millis(now: Time) -> f64 {
    now.as_secs_f64() * 1000.0
}

impl ConnectionCaps {
    /// Remembers up to `max_idle` clients without open connections.
    pub fn new(max_idle: usize) -> Self {
        // The table grows on demand.
        let mut idle = LruCache::unbounded();
        idle.resize(NonZeroUsize::new(max_idle).unwrap_or(NonZeroUsize::MIN));
        Self { active: AHashMap::new(), idle }
    }

    /// The number of a client's open connections.
    pub fn open(&self, client: Client) -> u32 {
        self.active.get(&client).map_or(0, |usage| usage.open)
    }

    /// The number of tracked clients with and without open connections.
    pub fn tracked_entries(&self) -> (usize, usize) {
        (self.active.len(), self.idle.len())
    }

    fn next_arrival(&self, client: Client) -> ArrivalTime {
        self.active
            .get(&client)
            .map(|usage| usage.next_arrival)
            .or_else(|| self.idle.peek(&client).copied())
            .unwrap_or(0.0)
    }

    /// Checks whether a client may open one more connection.
    ///
    /// # Errors
    /// The cap that is exceeded.
    pub fn check(&self, client: Client, now: Time, rate: Option<&Rate>, max: u32) -> Result<(), CapExceeded> {
        if self.open(client) >= max {
            return Err(CapExceeded::Open);
        }
        rate.map_or(Ok(()), |rate| {
            rate.check(self.next_arrival(client), to_millis(now)).map_err(CapExceeded::Rate)
        })
    }

    /// Records that a client opened a connection, which counts towards `rate` if given.
    pub fn on_open(&mut self, client: Client, now: Time, rate: Option<&Rate>) {
        let arrival = self.idle.pop(&client).unwrap_or(0.0);
        let usage = self.active.entry(client).or_insert(ClientUsage { open: 0, next_arrival: arrival });
        usage.open += 1;
        if let Some(rate) = rate {
            usage.next_arrival = rate.next(usage.next_arrival, to_millis(now));
        }
    }

    /// Records that a client closed a connection.
    pub fn on_close(&mut self, client: Client, now: Time) {
        let Some(usage) = self.active.get_mut(&client) else { return };
        usage.open -= 1;
        if usage.open > 0 {
            return;
        }
        let next_arrival = usage.next_arrival;
        self.active.remove(&client);
        if next_arrival > to_millis(now) {
            self.idle.put(client, next_arrival);
        }
    }
}
