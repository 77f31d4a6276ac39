//! Copies of the configuration: how long the store's confirmation of this registry's copy is valid, and
//! whether a proxy's copy keeps up with it.
//!
//! # Invariants
//!
//! - A copy counts as fresh for [`CONTACT_LEASE`] after the store's last confirmation and no longer: a store
//!   that hangs cannot revoke its confirmation.
//! - A proxy whose checksum is one that this copy had within [`RECENT_CHECKSUM_AGE`] lacks only changes that
//!   are in transit. Only a proxy with another checksum in two consecutive heartbeats is compared with, part
//!   by part, and sent the parts that differ.
//! - Comparisons with one proxy are [`MIN_COMPARE_INTERVAL`] apart, with exponential backoff up to
//!   [`MAX_COMPARE_INTERVAL`]: resent data never fills a link so that it has to be sent again.

use crate::Millis;
use fennelscale_messages::session::CONTACT_LEASE;
use std::collections::VecDeque;

/// How long after the next change an earlier checksum counts as recent: twice the longest network delay, plus
/// a full link.
pub const RECENT_CHECKSUM_AGE: Millis = 1500.0;
/// Interval between the first two comparisons with a proxy.
const MIN_COMPARE_INTERVAL: Millis = 1000.0;
/// Maximum interval between comparisons with a proxy.
const MAX_COMPARE_INTERVAL: Millis = 8000.0;
/// Maximum of remembered checksums; with more changes than this at a time, a proxy may be compared with
/// needlessly.
const MAX_RECENT_CHECKSUMS: usize = 4096;

/// Whether the store confirmed that the copy is as new as a quorum's, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Freshness {
    fresh: bool,
    /// The last confirmation.
    confirmed_at: Millis,
}

impl Freshness {
    /// No confirmation since the start.
    pub(crate) fn unconfirmed(started_at: Millis) -> Self {
        Self { fresh: false, confirmed_at: started_at }
    }

    /// The store reports whether the copy is as new as a quorum's.
    pub(crate) fn update(&mut self, now: Millis, fresh: bool) {
        self.fresh = fresh;
        if fresh {
            self.confirmed_at = now;
        }
    }

    /// When the copy was last confirmed to be as new as a quorum's.
    pub(crate) fn confirmed_at(&self) -> Millis {
        self.confirmed_at
    }

    /// Whether the copy is confirmed and the confirmation has not expired.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        self.fresh && now - self.confirmed_at <= CONTACT_LEASE
    }
}

/// What a proxy's checksum says of its copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyStatus {
    /// The copies are equal.
    Current,
    /// The copy equals a recent state; the rest is in transit.
    Following,
    /// The copy equals no recent state.
    Differing,
}

/// The checksums that this copy had recently, with the time at which each was superseded.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChecksums(VecDeque<(Millis, u64)>);

impl RecentChecksums {
    /// A checksum of the copy is replaced by another one.
    pub(crate) fn supersede(&mut self, now: Millis, checksum: u64) {
        while self.0.len() >= MAX_RECENT_CHECKSUMS
            || self.0.front().is_some_and(|(at, _)| now - at > RECENT_CHECKSUM_AGE)
        {
            self.0.pop_front();
        }
        self.0.push_back((now, checksum));
    }

    /// Compares a copy with a checksum with this one, whose checksum is `local`.
    pub(crate) fn compare(&self, now: Millis, local: u64, checksum: u64) -> CopyStatus {
        let recent = |(at, known): &(Millis, u64)| *known == checksum && now - at <= RECENT_CHECKSUM_AGE;
        if local == checksum {
            CopyStatus::Current
        } else if self.0.iter().any(recent) {
            CopyStatus::Following
        } else {
            CopyStatus::Differing
        }
    }
}

/// The state of comparisons with one proxy's copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Comparison {
    /// The copy differed at the last heartbeat.
    differs: bool,
    /// The copy was compared with and has not caught up since.
    lags: bool,
    /// Earliest time of the next comparison.
    next_at: Millis,
    /// Interval between the last comparison and the next.
    interval: Millis,
}

/// What follows from a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ComparisonResult {
    /// The proxy is to be asked for its digest (the checksums of its parts).
    pub(crate) needs_digest: bool,
    /// The copy began to lag (`true`) or has caught up (`false`).
    pub(crate) lag_change: Option<bool>,
}

impl Comparison {
    /// Records the status of the proxy's copy as of a heartbeat.
    pub(crate) fn heartbeat(&mut self, now: Millis, status: CopyStatus) -> ComparisonResult {
        if status != CopyStatus::Differing {
            let lagged = self.lags;
            *self = Self::default();
            return ComparisonResult { needs_digest: false, lag_change: lagged.then_some(false) };
        }
        let differed_before = std::mem::replace(&mut self.differs, true);
        if !differed_before || now < self.next_at {
            return ComparisonResult::default();
        }
        self.interval = (2.0 * self.interval).clamp(MIN_COMPARE_INTERVAL, MAX_COMPARE_INTERVAL);
        self.next_at = now + self.interval;
        let began = !std::mem::replace(&mut self.lags, true);
        ComparisonResult { needs_digest: true, lag_change: began.then_some(true) }
    }

    /// Whether the copy differed at the last heartbeat.
    pub(crate) fn differs(&self) -> bool {
        self.differs
    }
}
