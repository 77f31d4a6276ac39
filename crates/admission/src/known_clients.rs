//! Who is known: whose requests were served lately, weighed by worth and by age, with no list to maintain.
//!
//! A served request counts its worth as a share of the worthiest class's, if that share is large enough; what was counted halves
//! with each half-life. Who has `after` of it becomes known, and stays so until half of that is left: with `credit`, for
//! `half_life * log2(2 * credit / after)` without asking. Cheap, refused and failed requests count nothing, and what counts was
//! paid for out of an account's quota.
//!
//! Two tables, each of bounded size, least recently served first out: on the way there, and known. A crowd that gets one
//! request served each can push out only those on the way.

use crate::{Client, ClientClass, Time};
use lru::LruCache;
use std::num::NonZeroUsize;

/// Standing is counted up to this many times what makes known.
pub const MAX_CREDIT: f64 = 4.0;
/// Who is known stays so down to this share of what makes known. Guards against who has just as much as it takes, and would be
/// none a moment later.
pub const RETENTION_SHARE: f64 = 0.5;

#[derive(Clone, Copy)]
struct Credit {
    /// As it was `at`.
    credit: f64,
    at: Time,
}

/// The standing of all clients.
pub struct KnownClients {
    after: f64,
    half_life: Time,
    counts_from: f64,
    rising: LruCache<Client, Credit>,
    known: LruCache<Client, Credit>,
}

impl KnownClients {
    /// Known from a credit of `after` on, for as long as [`RETENTION_SHARE`] says; a request counts from `counts_from` of the greatest worth on.
    pub fn new(after: f64, half_life: Time, counts_from: f64, clients: usize) -> Self {
        let table = || {
            let mut table = LruCache::unbounded();
            table.resize(NonZeroUsize::new(clients).unwrap_or(NonZeroUsize::MIN));
            table
        };
        Self { after, half_life, counts_from, rising: table(), known: table() }
    }

    fn faded(&self, standing: Credit, now: Time) -> f64 {
        let ages = now.saturating_sub(standing.at).as_secs_f64() / self.half_life.as_secs_f64();
        standing.credit * (-ages).exp2()
    }

    /// What a client has, in requests of the worthiest class.
    pub fn credit(&self, client: Client, now: Time) -> f64 {
        let standing = self.known.peek(&client).or_else(|| self.rising.peek(&client));
        standing.map_or(0.0, |standing| self.faded(*standing, now))
    }

    /// Whether a client is known.
    pub fn class(&self, client: Client, now: Time) -> ClientClass {
        let known = self
            .known
            .peek(&client)
            .is_some_and(|standing| self.faded(*standing, now) >= self.after * RETENTION_SHARE);
        if known { ClientClass::Known } else { ClientClass::Unknown }
    }

    /// A request of a client was served; `share` is its worth as a share of the worthiest class's.
    pub fn served(&mut self, client: Client, share: f64, now: Time) {
        // What is no number counts nothing either.
        if share.is_nan() || share < self.counts_from || share <= 0.0 || self.after.is_infinite() {
            return;
        }
        let credit = (self.credit(client, now) + share.min(1.0)).min(MAX_CREDIT * self.after);
        let standing = Credit { credit, at: now };
        let stays = self.known.contains(&client) && credit >= self.after * RETENTION_SHARE;
        let (to, from) = if stays || credit >= self.after {
            (&mut self.known, &mut self.rising)
        } else {
            (&mut self.rising, &mut self.known)
        };
        from.pop(&client);
        to.put(client, standing);
    }

    /// How many are remembered: on the way, and as known.
    pub fn tracked_entries(&self) -> (usize, usize) {
        (self.rising.len(), self.known.len())
    }
}
