//! DutyLeases: each is a key that one registry holds at a time. In the literature's terms: leases by majority, kept in memory.
//!
//! A registry claims keys in its beats. Each seat lets one claim of a key stand at a time, for [`GRANT_DURATION`] from the beat; the
//! claimant acts for [`HOLDER_DURATION`] from when it *sent* a beat that a majority let stand. Both run by steady clocks from events in
//! that order, so a claim has been over at its holder for `GRANT_DURATION - HOLDER_DURATION` before a seat lets another stand; two majorities
//! share a seat. A seat that starts anew may have let a claim stand that it does not know of: it lets none stand for [`GRANT_DURATION`].

use crate::Millis;
use fennelscale_messages::Host;
pub use fennelscale_quota_lease::{SHARDS, bit_of};
use std::collections::BTreeMap;

/// A claim that was let stand stays so long.
pub const GRANT_DURATION: Millis = 1500.0;
/// Its holder acts on it for so long. The difference covers a pause between the look at the fence and the effect.
pub const HOLDER_DURATION: Millis = 1100.0;
/// The key of reading the platform's list.
pub const LIST_DUTY: u64 = 1 << SHARDS;
/// Beats whose answers may still come.
const MAX_PENDING_HEARTBEATS: usize = 16;

/// Keys that a registry is the first for, among those that are there: each key goes to the highest draw.
pub fn preferred_duties(me: Host, others: &[Host]) -> u64 {
    let draw = |host: Host, key: u64| fennelscale_messages::mix(u64::from(host.0) << 8 ^ key);
    (0..=SHARDS)
        .filter(|key| others.iter().all(|o| draw(*o, *key) < draw(me, *key)))
        .fold(0, |all, key| all | 1 << key)
}

/// The keys as one registry sees them, as claimant and as seat.
#[derive(Clone, Debug)]
pub struct DutyLeases {
    claims: u64,
    /// When beats were sent.
    sent: BTreeMap<u64, Millis>,
    /// Until when which seat lets which of the claims stand.
    stand: BTreeMap<Host, [Millis; SHARDS as usize + 1]>,
    held: u64,
    since: [Millis; SHARDS as usize + 1],
    /// As a seat: whose claim stands, and until when.
    voted: [(Host, Millis); SHARDS as usize + 1],
}

impl DutyLeases {
    /// Nothing claimed; as a seat it may have let claims stand until now.
    pub fn new(now: Millis) -> Self {
        let voted = [(Host::default(), now + GRANT_DURATION); SHARDS as usize + 1];
        Self {
            claims: 0,
            sent: BTreeMap::new(),
            stand: BTreeMap::new(),
            held: 0,
            since: [f64::MAX; SHARDS as usize + 1],
            voted,
        }
    }

    /// What is claimed.
    pub fn claims(&self) -> u64 {
        self.claims
    }

    pub(crate) fn claim(&mut self, claims: u64) {
        self.claims = claims;
    }

    pub(crate) fn sent(&mut self, number: u64, now: Millis) {
        self.sent.insert(number, now);
        while self.sent.len() > MAX_PENDING_HEARTBEATS {
            self.sent.pop_first();
        }
    }

    /// When a beat was sent that may still be answered.
    pub(crate) fn sent_at(&self, number: u64) -> Option<Millis> {
        self.sent.get(&number).copied()
    }

    /// A seat's word on a beat.
    pub(crate) fn heard(&mut self, seat: Host, number: u64, granted: u64) {
        let Some(&sent) = self.sent.get(&number) else { return };
        let stand = self.stand.entry(seat).or_insert([f64::MIN; SHARDS as usize + 1]);
        for (key, until) in stand.iter_mut().enumerate() {
            if granted & 1 << key != 0 {
                *until = until.max(sent + HOLDER_DURATION);
            }
        }
    }

    /// As a seat: which of a claimant's claims stand.
    pub fn vote(&mut self, now: Millis, claimant: Host, claims: u64) -> u64 {
        let mut granted = 0;
        for (key, (host, until)) in self.voted.iter_mut().enumerate() {
            if claims & 1 << key != 0 && (*host == claimant || now >= *until) {
                (*host, *until) = (claimant, now + GRANT_DURATION);
                granted |= 1 << key;
            }
        }
        granted
    }

    /// What is held now.
    pub fn held(&self, now: Millis, majority: usize) -> u64 {
        let stands = |key: usize| self.stand.values().filter(|stand| now < stand[key]).count() >= majority;
        (0..=SHARDS as usize)
            .filter(|key| self.claims & 1 << key != 0 && stands(*key))
            .fold(0, |all, key| all | 1 << key)
    }

    /// Notes what is held now; tells what has come and gone.
    pub(crate) fn changed(&mut self, now: Millis, held: u64) -> (u64, u64) {
        let (gained, lost) = (held & !self.held, self.held & !held);
        for (key, since) in self.since.iter_mut().enumerate() {
            if gained & 1 << key != 0 {
                *since = now;
            }
        }
        self.held = held;
        (gained, lost)
    }

    /// Since when a key is held.
    pub(crate) fn since(&self, bit: u64) -> Millis {
        if self.held & bit == 0 { f64::MAX } else { self.since[bit.trailing_zeros() as usize] }
    }
}
