//! Who was refused lately and told when to come again: the way in for a new client while a flood comes from ever new addresses.
//!
//! A flood and a new client look alike when they first come. They differ in that the client comes back when it was told to. Each
//! stranger that is refused for the rate of strangers, or for want of room, is remembered with that time; who comes back at
//! it or later has a rate of its own beside that of strangers, once for each refusal.
//!
//! Bound: while those who come back are fewer a second than that rate, each is past it at its first return. A refusal is
//! forgotten early only if four more fall on its set meanwhile: with `n` sets and `f` refusals a second between, after `t`
//! seconds with the chance that a Poisson count of mean `f * t / n` is 4 or more. With 16,384 sets, 7,500 a second and 1 s
//! that is 0.0013.
//!
//! Memory is fixed: 8 bytes for each refusal that can be remembered. Two clients may share an entry by chance, one in 2^32
//! pairs of a set; one of them then comes in as if it had been refused.

use crate::caps::ms;
use crate::gcra::{ArrivalTime, Rate};
use crate::{Client, Time};
use ahash::RandomState;
use std::time::Duration;

/// Refusals that share a set.
const WAYS: usize = 4;
/// Who comes this much of its wait early is not sent away again: clocks and timers of clients are not exact.
const EARLY: f64 = 0.1;

#[derive(Clone, Copy, Default)]
struct Entry {
    /// Who, by a hash; 0 is nobody.
    tag: u32,
    /// When it may come again, in ms of the host's clock, counted round.
    due: u32,
}

/// The refusals of late.
pub struct ReturningClients {
    sets: Vec<[Entry; WAYS]>,
    hash: RandomState,
    rate: Rate,
    due: ArrivalTime,
    forget: u32,
}

fn wrapped(ms: f64) -> u32 {
    // Counted round: 49 days are a round, and no wait is as long as half of one.
    (ms as u64 & u64::from(u32::MAX)) as u32
}

impl ReturningClients {
    /// Remembers so many refusals, each for `forget` after the time that was told; those who come back may be `per_second`.
    pub fn new(per_second: f64, most: usize, forget: Duration) -> Self {
        let sets = if per_second > 0.0 { (most / WAYS).max(1) } else { 0 };
        Self {
            sets: vec![[Entry::default(); WAYS]; sets],
            hash: RandomState::new(),
            rate: Rate::new(per_second.max(f64::MIN_POSITIVE), per_second.max(1.0)),
            due: 0.0,
            forget: wrapped(forget.as_secs_f64() * 1000.0),
        }
    }

    /// Whether anybody is remembered: then all are told one wait, whatever the rate of strangers says.
    pub fn is_on(&self) -> bool {
        !self.sets.is_empty()
    }

    /// The set and the tag of a client; none where nothing is remembered.
    fn place(&self, client: Client) -> Option<(usize, u32)> {
        let hash = self.hash.hash_one(client);
        let set = (hash >> 32).checked_rem(self.sets.len() as u64)?;
        Some((set as usize, (hash as u32).max(1)))
    }

    /// A client was told to come again after `wait` ms. One that is remembered already keeps its first time: who asks
    /// again too soon is not put off by that.
    pub fn record_rejection(&mut self, now: Time, client: Client, wait: f64) {
        let Some((set, tag)) = self.place(client) else { return };
        let (now, due) = (wrapped(ms(now)), wrapped(ms(now) + wait * (1.0 - EARLY)));
        let forget = self.forget;
        // Round the clock, what is past is at most half a round behind.
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

    /// Whether a client comes back as it was told to, and its refusal is not forgotten.
    pub fn is_due(&self, now: Time, client: Client) -> bool {
        let Some((set, tag)) = self.place(client) else { return false };
        let now = wrapped(ms(now));
        let due = |entry: &Entry| entry.tag == tag && now.wrapping_sub(entry.due) <= self.forget;
        self.sets[set].iter().any(due)
    }

    /// Lets one in that is due, if no more come back than may; its refusal is used up.
    pub fn admit(&mut self, now: Time, client: Client) -> bool {
        if !self.is_due(now, client) || self.rate.try_acquire(&mut self.due, ms(now)).is_err() {
            return false;
        }
        if let Some((set, tag)) = self.place(client) {
            self.sets[set].iter_mut().filter(|entry| entry.tag == tag).for_each(|e| *e = Entry::default());
        }
        true
    }
}
