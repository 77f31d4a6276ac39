//! Recently rejected clients that were told when to retry: the way in for a new client during a flood from
//! ever new addresses.
//!
//! A flood and a new client look alike at first; they differ in that the client retries when it was told to.
//! Each unknown client that is rejected because of the rate of unknown clients or for lack of capacity is
//! remembered with its retry time. A client that returns at that time or later uses a separate rate, once for
//! each rejection.
//!
//! Bound: while fewer clients return per second than that rate, each is admitted at its first return. A
//! rejection is forgotten early only if four more fall into its set meanwhile: with `n` sets and `f`
//! rejections per second, after `t` seconds with the probability that a Poisson variable of mean `f * t / n`
//! is 4 or more. With 16,384 sets, 7,500 per second and 1 s that is 0.0013.
//!
//! Memory is fixed: 8 bytes for each remembered rejection. Two clients of a set share an entry with a
//! probability of 1 in 2^32; one of them is then admitted as if it had been rejected.

use crate::caps::to_millis;
use crate::gcra::{ArrivalTime, Rate};
use crate::{Client, Time};
use ahash::RandomState;
use std::time::Duration;

/// Rejections per set.
const WAYS: usize = 4;
/// A client may return early by this share of its wait: client clocks and timers are not exact.
const EARLY_SHARE: f64 = 0.1;

#[derive(Clone, Copy, Default)]
struct Entry {
    /// A hash of the client; 0 if the entry is empty.
    tag: u32,
    /// When it may return, in ms of the host's clock, wrapping around.
    due: u32,
}

/// The recent rejections.
pub struct ReturningClients {
    sets: Vec<[Entry; WAYS]>,
    hash: RandomState,
    rate: Rate,
    due: ArrivalTime,
    forget: u32,
}

fn wrapping_millis(ms: f64) -> u32 {
    // Wraps around after 49 days; no wait is as long as half of that.
    (ms as u64 & u64::from(u32::MAX)) as u32
}

impl ReturningClients {
    /// Remembers `max_rejections`, each for `forget` after its retry time; `per_second` clients may return.
    pub fn new(per_second: f64, max_rejections: usize, forget: Duration) -> Self {
        let sets = if per_second > 0.0 { (max_rejections / WAYS).max(1) } else { 0 };
        Self {
            sets: vec![[Entry::default(); WAYS]; sets],
            hash: RandomState::new(),
            rate: Rate::new(per_second.max(f64::MIN_POSITIVE), per_second.max(1.0)),
            due: 0.0,
            forget: wrapping_millis(forget.as_secs_f64() * 1000.0),
        }
    }

    /// Whether rejections are remembered. All clients are then given the same wait, whatever the rate of
    /// unknown clients yields.
    pub fn is_on(&self) -> bool {
        !self.sets.is_empty()
    }

    /// The set and tag of a client; none if nothing is remembered.
    fn set_and_tag(&self, client: Client) -> Option<(usize, u32)> {
        let hash = self.hash.hash_one(client);
        let set = (hash >> 32).checked_rem(self.sets.len() as u64)?;
        Some((set as usize, (hash as u32).max(1)))
    }

    /// Records that a client was told to retry after `wait` ms. A client that is remembered already keeps its
    /// first retry time, so retrying too early does not delay it further.
    pub fn record_rejection(&mut self, now: Time, client: Client, wait: f64) {
        let Some((set, tag)) = self.set_and_tag(client) else { return };
        let (now, due) =
            (wrapping_millis(to_millis(now)), wrapping_millis(to_millis(now) + wait * (1.0 - EARLY_SHARE)));
        let forget = self.forget;
        // With wrap-around, times in the past are less than half the range behind.
        let age = |entry: &Entry| {
            if entry.tag == 0 { i64::MAX } else { i64::from(now.wrapping_sub(entry.due) as i32) }
        };
        let set = &mut self.sets[set];
        if let Some(entry) = set.iter_mut().find(|entry| entry.tag == tag) {
            if age(entry) > i64::from(forget) {
                entry.due = due;
            }
            return;
        }
        if let Some(oldest) = set.iter_mut().max_by_key(|entry| age(entry)) {
            *oldest = Entry { tag, due };
        }
    }

    /// Whether a client returns as it was told to and its rejection is still remembered.
    pub fn is_due(&self, now: Time, client: Client) -> bool {
        let Some((set, tag)) = self.set_and_tag(client) else { return false };
        let now = wrapping_millis(to_millis(now));
        let due = |entry: &Entry| entry.tag == tag && now.wrapping_sub(entry.due) <= self.forget;
        self.sets[set].iter().any(due)
    }

    /// Admits a client that is due, within the rate of returning clients; its rejection is used up.
    pub fn admit(&mut self, now: Time, client: Client) -> bool {
        if !self.is_due(now, client) || self.rate.try_acquire(&mut self.due, to_millis(now)).is_err() {
            return false;
        }
        if let Some((set, tag)) = self.set_and_tag(client) {
            self.sets[set].iter_mut().filter(|entry| entry.tag == tag).for_each(|e| *e = Entry::default());
        }
        true
    }
}
