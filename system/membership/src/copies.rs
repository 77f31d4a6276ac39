//! Copies of the items: for how long the store's word on this registry's copy holds, and whether a proxy's copy follows it.
//!
//! # What holds
//!
//! - A copy is vouched for by the store's last word for [`CONTACT_LEASE`] and no longer: a store that hangs cannot take its word back.
//! - A proxy whose sum is one that this copy had a moment ago ([`FOLLOWS`]) lacks nothing but what is on its way to it. Only one with
//!   another sum, in two beats running, is compared with, part by part, and sent the parts that differ.
//! - Comparisons with one proxy are [`FIRST_PAUSE`] apart and each time twice as far, up to [`LONGEST_PAUSE`]: what is sent again never keeps a link so
//!   full that it has to be sent again.

use crate::Millis;
use fennelscale_messages::session::CONTACT_LEASE;
use std::collections::VecDeque;

/// A sum that this copy had is followed for so long after the next change: the longest way twice, and a full link.
pub const FOLLOWS: Millis = 1500.0;
/// Between the first two comparisons with a proxy, ...
const FIRST_PAUSE: Millis = 1000.0;
/// ... and at the most.
const LONGEST_PAUSE: Millis = 8000.0;
/// The most sums that are remembered; with more changes than that in a moment a proxy may be compared with in vain.
const MOST_SUMS: usize = 4096;

/// What the store says of its copy, and when it said so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Vouched {
    fresh: bool,
    /// When it was last said to be as new as a quorum's.
    at: Millis,
}

impl Vouched {
    /// Nothing has been said since then.
    pub(crate) fn never(born: Millis) -> Self {
        Self { fresh: false, at: born }
    }

    /// The store says whether the copy is as new as a quorum's.
    pub(crate) fn told(&mut self, now: Millis, fresh: bool) {
        self.fresh = fresh;
        if fresh {
            self.at = now;
        }
    }

    /// When the copy was last known to be as new as a quorum's.
    pub(crate) fn last(&self) -> Millis {
        self.at
    }

    /// Whether the word still holds.
    pub(crate) fn holds(&self, now: Millis) -> bool {
        self.fresh && now - self.at <= CONTACT_LEASE
    }
}

/// What a proxy's sum says of its copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It is the same.
    Current,
    /// It was the same a moment ago; the rest is on its way.
    Following,
    /// It never was the same, or too long ago.
    Differing,
}

/// The sums that this copy had lately, and until when.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentSums(VecDeque<(Millis, u64)>);

impl RecentSums {
    /// The copy has another sum from now on.
    pub(crate) fn superseded(&mut self, now: Millis, sum: u64) {
        while self.0.len() >= MOST_SUMS || self.0.front().is_some_and(|(at, _)| now - at > FOLLOWS) {
            self.0.pop_front();
        }
        self.0.push_back((now, sum));
    }

    /// How a copy with a sum stands to this one, whose sum is `own`.
    pub(crate) fn standing(&self, now: Millis, own: u64, sum: u64) -> Standing {
        let recent = |(at, known): &(Millis, u64)| *known == sum && now - at <= FOLLOWS;
        if own == sum {
            Standing::Current
        } else if self.0.iter().any(recent) {
            Standing::Following
        } else {
            Standing::Differing
        }
    }
}

/// What is known of one proxy's copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Comparison {
    /// It differed at its last beat.
    differs: bool,
    /// It was compared with and has not followed since.
    lags: bool,
    /// The next comparison is not before this, and the one after it this much later.
    next_at: Millis,
    pause: Millis,
}

/// What follows from a beat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Compared {
    /// The proxy is asked for its copy, part by part.
    pub(crate) asks: bool,
    /// It began to lag, or it does so no longer.
    pub(crate) lags: Option<bool>,
}

impl Comparison {
    /// A beat says how the proxy's copy stands.
    pub(crate) fn beat(&mut self, now: Millis, standing: Standing) -> Compared {
        if standing != Standing::Differing {
            let lagged = self.lags;
            *self = Self::default();
            return Compared { asks: false, lags: lagged.then_some(false) };
        }
        let again = std::mem::replace(&mut self.differs, true);
        if !again || now < self.next_at {
            return Compared::default();
        }
        self.pause = (2.0 * self.pause).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.next_at = now + self.pause;
        let began = !std::mem::replace(&mut self.lags, true);
        Compared { asks: true, lags: began.then_some(true) }
    }

    /// Whether it differed at its last beat.
    pub(crate) fn differs(&self) -> bool {
        self.differs
    }
}
