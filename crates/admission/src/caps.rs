//! How much each client, or site, has open and how fast it connects; bounded memory.
//!
//! Who has something open is always remembered: there are no more of these than descriptors. Of the others the last `max` are
//! remembered, if their rate has anything to say still. The error of forgetting: one who is pushed out by `max` others may
//! connect a whole burst anew, so of any client no more than `burst` a round of `max` other clients is let in beyond its rate.

use crate::gcra::{ArrivalTime, Rate};
use crate::{Client, Time};
use ahash::AHashMap;
use lru::LruCache;
use std::num::NonZeroUsize;

/// RejectReason a cap refuses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CapExceeded {
    /// So many are open already.
    Open,
    /// They come too fast; one would be taken after so many ms.
    Rate(f64),
}

#[derive(Clone, Copy, Default)]
struct Account {
    open: u32,
    due: ArrivalTime,
}

/// The accounts of all clients, or of all sites.
pub struct ConnectionCaps {
    live: AHashMap<Client, Account>,
    past: LruCache<Client, ArrivalTime>,
}

pub(crate) fn ms(now: Time) -> f64 {
    now.as_secs_f64() * 1000.0
}

impl ConnectionCaps {
    /// Remembers this many with nothing open.
    pub fn new(max: usize) -> Self {
        // The table grows as it is needed.
        let mut past = LruCache::unbounded();
        past.resize(NonZeroUsize::new(max).unwrap_or(NonZeroUsize::MIN));
        Self { live: AHashMap::new(), past }
    }

    /// What a client has open.
    pub fn open(&self, client: Client) -> u32 {
        self.live.get(&client).map_or(0, |account| account.open)
    }

    /// How many are remembered, with something open and without.
    pub fn tracked_entries(&self) -> (usize, usize) {
        (self.live.len(), self.past.len())
    }

    fn due(&self, client: Client) -> ArrivalTime {
        self.live
            .get(&client)
            .map(|account| account.due)
            .or_else(|| self.past.peek(&client).copied())
            .unwrap_or(0.0)
    }

    /// Whether a client may have one more open.
    ///
    /// # Errors
    /// With the cap that says no.
    pub fn check(&self, client: Client, now: Time, rate: Option<&Rate>, max: u32) -> Result<(), CapExceeded> {
        if self.open(client) >= max {
            return Err(CapExceeded::Open);
        }
        rate.map_or(Ok(()), |rate| rate.check(self.due(client), ms(now)).map_err(CapExceeded::Rate))
    }

    /// It has one more open; a rate, where one is given, counts it.
    pub fn on_open(&mut self, client: Client, now: Time, rate: Option<&Rate>) {
        let before = self.past.pop(&client).unwrap_or(0.0);
        let account = self.live.entry(client).or_insert(Account { open: 0, due: before });
        account.open += 1;
        if let Some(rate) = rate {
            account.due = rate.next(account.due, ms(now));
        }
    }

    /// It has one less open.
    pub fn on_close(&mut self, client: Client, now: Time) {
        let Some(account) = self.live.get_mut(&client) else { return };
        account.open -= 1;
        if account.open > 0 {
            return;
        }
        let due = account.due;
        self.live.remove(&client);
        if due > ms(now) {
            self.past.put(client, due);
        }
    }
}
