//! Duties: exclusive tasks, each held by one registry at a time through a majority lease that is kept in
//! memory.
//!
//! A registry claims duties in its heartbeats. Each core member grants one claim of a duty at a time, for
//! [`GRANT_DURATION`] from the receipt of the heartbeat; the claimant acts for [`HOLDER_DURATION`] from when
//! it *sent* a heartbeat that a majority granted. Both are measured by monotonic clocks and sending precedes
//! receipt, so a claim has expired at its holder for `GRANT_DURATION - HOLDER_DURATION` before a core member
//! grants another; and two majorities share a core member. A core member that restarts may have granted a
//! claim that it no longer knows of, so it grants none for [`GRANT_DURATION`].

use crate::Millis;
use fennelscale_messages::Host;
pub use fennelscale_quota_lease::{SHARDS, shard_bit};
use std::collections::BTreeMap;

/// How long a core member's grant excludes other claimants.
pub const GRANT_DURATION: Millis = 1500.0;
/// How long the holder acts on a grant. The difference covers a pause between the check of the lease and the
/// effect.
pub const HOLDER_DURATION: Millis = 1100.0;
/// The duty of reading the platform's backend list.
pub const LIST_DUTY: u64 = 1 << SHARDS;
/// Maximum of heartbeats that may still be answered.
const MAX_PENDING_HEARTBEATS: usize = 16;

/// The duties that a registry is preferred for among the reachable ones, by rendezvous hashing.
pub fn preferred_duties(local_host: Host, others: &[Host]) -> u64 {
    let weight = |host: Host, key: u64| fennelscale_messages::mix(u64::from(host.0) << 8 ^ key);
    (0..=SHARDS)
        .filter(|key| others.iter().all(|other| weight(*other, *key) < weight(local_host, *key)))
        .fold(0, |all, key| all | 1 << key)
}

/// The duties as one registry sees them, as claimant and as core member.
#[derive(Clone, Debug)]
pub struct DutyLeases {
    claims: u64,
    /// When each heartbeat was sent, by its number.
    heartbeats: BTreeMap<u64, Millis>,
    /// For each core member, until when its grant of each duty may be acted on.
    grants: BTreeMap<Host, [Millis; SHARDS as usize + 1]>,
    held: u64,
    held_since: [Millis; SHARDS as usize + 1],
    /// As a core member: the claimant that each duty is granted to, and until when.
    votes: [(Host, Millis); SHARDS as usize + 1],
}

impl DutyLeases {
    /// No claims; as a core member it may have granted claims up to `now`.
    pub fn new(now: Millis) -> Self {
        let votes = [(Host::default(), now + GRANT_DURATION); SHARDS as usize + 1];
        Self {
            claims: 0,
            heartbeats: BTreeMap::new(),
            grants: BTreeMap::new(),
            held: 0,
            held_since: [f64::MAX; SHARDS as usize + 1],
            votes,
        }
    }

    /// The claimed duties, one bit each.
    pub fn claims(&self) -> u64 {
        self.claims
    }

    pub(crate) fn set_claims(&mut self, claims: u64) {
        self.claims = claims;
    }

    pub(crate) fn record_heartbeat(&mut self, number: u64, now: Millis) {
        self.heartbeats.insert(number, now);
        while self.heartbeats.len() > MAX_PENDING_HEARTBEATS {
            self.heartbeats.pop_first();
        }
    }

    /// When a heartbeat was sent, if it may still be answered.
    pub(crate) fn sent_at(&self, number: u64) -> Option<Millis> {
        self.heartbeats.get(&number).copied()
    }

    /// Records a core member's answer to a heartbeat.
    pub(crate) fn record_grant(&mut self, member: Host, number: u64, granted: u64) {
        let Some(&sent) = self.heartbeats.get(&number) else { return };
        let grants = self.grants.entry(member).or_insert([f64::MIN; SHARDS as usize + 1]);
        for (key, until) in grants.iter_mut().enumerate() {
            if granted & 1 << key != 0 {
                *until = until.max(sent + HOLDER_DURATION);
            }
        }
    }

    /// As a core member: grants those of a claimant's claims that no other claimant holds, and returns them.
    pub fn vote(&mut self, now: Millis, claimant: Host, claims: u64) -> u64 {
        let mut granted = 0;
        for (key, (host, until)) in self.votes.iter_mut().enumerate() {
            if claims & 1 << key != 0 && (*host == claimant || now >= *until) {
                (*host, *until) = (claimant, now + GRANT_DURATION);
                granted |= 1 << key;
            }
        }
        granted
    }

    /// The duties held now, one bit each.
    pub fn held(&self, now: Millis, majority: usize) -> u64 {
        let is_granted =
            |key: usize| self.grants.values().filter(|grants| now < grants[key]).count() >= majority;
        (0..=SHARDS as usize)
            .filter(|key| self.claims & 1 << key != 0 && is_granted(*key))
            .fold(0, |all, key| all | 1 << key)
    }

    /// Records the duties held now and returns those gained and those lost.
    pub(crate) fn update_held(&mut self, now: Millis, held: u64) -> (u64, u64) {
        let (gained, lost) = (held & !self.held, self.held & !held);
        for (key, since) in self.held_since.iter_mut().enumerate() {
            if gained & 1 << key != 0 {
                *since = now;
            }
        }
        self.held = held;
        (gained, lost)
    }

    /// Since when a duty is held; `f64::MAX` if it is not.
    pub(crate) fn held_since(&self, bit: u64) -> Millis {
        if self.held & bit == 0 { f64::MAX } else { self.held_since[bit.trailing_zeros() as usize] }
    }
}
