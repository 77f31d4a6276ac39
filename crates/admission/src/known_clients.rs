//! Known clients: those whose requests were served recently, weighted by worth and age, without a list to
//! maintain.
//!
//! A served request counts its worth as a share of the worthiest class's, if that share is large enough;
//! credit halves with each half-life. A client becomes known with a credit of `threshold` and stays known
//! until half of that is left: with `credit`, for `half_life * log2(2 * credit / threshold)` without further
//! requests. Cheap, rejected and failed requests count nothing, and what counts was paid for out of an
//! account's quota.
//!
//! There are two tables of bounded size, evicted in least recently served order: rising and known clients. A
//! crowd of clients with one served request each can evict rising clients only.

use crate::{Client, ClientClass, Time};
use lru::LruCache;
use std::num::NonZeroUsize;

/// Credit is capped at this multiple of the threshold.
pub const MAX_CREDIT: f64 = 4.0;
/// A known client stays known down to this share of the threshold. Without it, a client that just reached the
/// threshold would be unknown again a moment later.
pub const RETENTION_SHARE: f64 = 0.5;

#[derive(Clone, Copy)]
struct Credit {
    /// The credit at the time `at`.
    credit: f64,
    at: Time,
}

/// The credit of all clients.
pub struct KnownClients {
    threshold: f64,
    half_life: Time,
    min_share: f64,
    rising: LruCache<Client, Credit>,
    known: LruCache<Client, Credit>,
}

impl KnownClients {
    /// Clients are known from a credit of `threshold` on, down to its [`RETENTION_SHARE`]; a request counts
    /// if its worth is at least the share `min_share` of the greatest.
    pub fn new(threshold: f64, half_life: Time, min_share: f64, clients: usize) -> Self {
        let table = || {
            let mut table = LruCache::unbounded();
            table.resize(NonZeroUsize::new(clients).unwrap_or(NonZeroUsize::MIN));
            table
        };
        Self { threshold, half_life, min_share, rising: table(), known: table() }
    }

    fn decayed(&self, entry: Credit, now: Time) -> f64 {
        let half_lives = now.saturating_sub(entry.at).as_secs_f64() / self.half_life.as_secs_f64();
        entry.credit * (-half_lives).exp2()
    }

    /// The credit of a client, in requests of the worthiest class.
    pub fn credit(&self, client: Client, now: Time) -> f64 {
        let entry = self.known.peek(&client).or_else(|| self.rising.peek(&client));
        entry.map_or(0.0, |entry| self.decayed(*entry, now))
    }

    /// The class of a client.
    pub fn class(&self, client: Client, now: Time) -> ClientClass {
        let known = self
            .known
            .peek(&client)
            .is_some_and(|entry| self.decayed(*entry, now) >= self.threshold * RETENTION_SHARE);
        if known { ClientClass::Known } else { ClientClass::Unknown }
    }

    /// Records a served request of a client; `share` is its worth as a share of the worthiest class's.
    pub fn served(&mut self, client: Client, share: f64, now: Time) {
        // NaN counts nothing either.
        if share.is_nan() || share < self.min_share || share <= 0.0 || self.threshold.is_infinite() {
            return;
        }
        let credit = (self.credit(client, now) + share.min(1.0)).min(MAX_CREDIT * self.threshold);
        let entry = Credit { credit, at: now };
        let stays_known = self.known.contains(&client) && credit >= self.threshold * RETENTION_SHARE;
        let (to, from) = if stays_known || credit >= self.threshold {
            (&mut self.known, &mut self.rising)
        } else {
            (&mut self.rising, &mut self.known)
        };
        from.pop(&client);
        to.put(client, entry);
    }

    /// The numbers of rising and known clients.
    pub fn tracked_entries(&self) -> (usize, usize) {
        (self.rising.len(), self.known.len())
    }
}
