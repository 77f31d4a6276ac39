//! Rights that surely end: the arithmetic, on both sides of a lease.
//!
//! Two clocks are never compared, only spans of each. Let `L` be a lease's length, `d` the stated drift, and all times true
//! times. The holder asks at `a` and acts until its own clock has gone on by `L (1 - d)` since: that lasts at most
//! `L (1 - d) / (1 - d) = L` for a clock that is slow by `d`, so it acts before `a + L` only. A leader applies the entry at
//! `b > a`, and says that the lease is over when its own clock has gone on by `L (1 + d)` since: that lasts at least `L` for a
//! clock that is fast by `d`, so not before `b + L > a + L`. A new leader counts from the moment in which it began to lead,
//! or applied the entry, whichever is later: both are after `a`. What a leader said, and an entry that renews the lease, can
//! meet in the log in either order: [`crate::state::Over`] names the entry up to which it had counted, and a renewal after
//! that makes it void; a renewal behind it is refused, and the holder's time still ends by the one before.
//!
//! A process that is stopped finds its time over when it wakes, as its steady clock has gone on meanwhile. Stopped between the
//! look at the clock and the effect it cannot know: there the fencing number has to be looked at by whoever carries the effect
//! out, and [`Fence`] is what the effect carries.

use crate::rules::{DRIFT_PPM, Micros};
use crate::state::{Lease, State};
use std::collections::BTreeMap;

/// A right's number: of two effects under one right, the one with the lower number is old.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fence(pub u64);

const MILLION: u64 = 1_000_000;

/// How long a holder acts, by its own clock from the moment in which it asked.
pub fn acts_for(length: Micros) -> Micros {
    length - length.div_ceil(MILLION / DRIFT_PPM)
}

/// How long a leader waits, by its own clock from the moment in which it knew.
pub fn waits_for(length: Micros) -> Micros {
    length + length.div_ceil(MILLION / DRIFT_PPM)
}

/// The longest time in which nobody holds a right whose holder is lost: the leader is lost right after the last renewal was
/// applied, the next one counts anew, and its word goes through the log.
pub fn longest_hand_over(length: Micros, without_leader: Micros, entry: Micros) -> Micros {
    // The leader's clock is slow by the drift.
    waits_for(waits_for(length)) + without_leader + 2 * entry
}

/// A right that this node has, or asks for.
#[derive(Clone, Debug)]
struct Wish {
    length: Micros,
    /// The wish under way: its number, when it was asked, and whether it gives the right back.
    asked: Option<(u64, Micros, bool)>,
    /// The number and until when this node acts, by its own clock.
    held: Option<(Fence, Micros)>,
    /// Not asked again before.
    rest: Micros,
    wanted: bool,
}

impl Wish {
    /// After this moment a right that is held until another one is renewed.
    fn renews_from(&self, until: Micros) -> Micros {
        until.saturating_sub(self.length - self.length / RENEW_AT)
    }
}

/// What a holder wants proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The right for so long.
    Take(String, Micros),
    /// It again.
    Renew(String, Fence),
    /// It back.
    Release(String, Fence),
}

impl Ask {
    fn right(&self) -> &str {
        match self {
            Self::Take(right, _) | Self::Renew(right, _) | Self::Release(right, _) => right,
        }
    }
}

/// The rights of one node.
#[derive(Debug, Default)]
pub struct Holder {
    wishes: BTreeMap<String, Wish>,
}

/// A right held by somebody else is asked for again after this part of its length.
const ASK_AGAIN: u64 = 8;
/// A holder renews when this part of its time is over.
const RENEW_AT: u64 = 3;

impl Holder {
    /// Wants a right from now on.
    pub fn want(&mut self, right: &str, length: Micros) {
        let wish = self.wishes.entry(right.to_owned()).or_insert_with(|| Wish {
            length,
            asked: None,
            held: None,
            rest: 0,
            wanted: true,
        });
        wish.wanted = true;
        if wish.held.is_none() && wish.asked.is_none() {
            wish.length = length;
        }
    }

    /// Wants a right no longer: from this call on it is not held, whatever the log says later.
    pub fn leave(&mut self, right: &str) {
        if let Some(wish) = self.wishes.get_mut(right) {
            wish.wanted = false;
        }
    }

    /// Under which number the right is held at this moment. To be asked right before each effect, with a clock read for that.
    pub fn fence(&self, now: Micros, right: &str) -> Option<Fence> {
        let wish = self.wishes.get(right).filter(|wish| wish.wanted)?;
        wish.held.filter(|(_, until)| now < *until).map(|(fence, _)| fence)
    }

    /// Rights that are wanted, with their number where they are held.
    pub fn rights(&self, now: Micros) -> impl Iterator<Item = (&str, Option<Fence>)> {
        self.wishes.keys().map(move |right| (right.as_str(), self.fence(now, right)))
    }

    /// What to propose now, by what is agreed.
    pub fn ask(&mut self, now: Micros, agreed: &State) -> Vec<Ask> {
        let mut asks = Vec::new();
        self.wishes.retain(|right, wish| {
            if wish.held.is_some_and(|(_, until)| until <= now) {
                wish.held = None;
            }
            if wish.asked.is_some() || wish.rest > now {
                return true;
            }
            match wish.held {
                Some((fence, _)) if !wish.wanted => asks.push(Ask::Release(right.clone(), fence)),
                Some((fence, until)) if wish.renews_from(until) < now => {
                    asks.push(Ask::Renew(right.clone(), fence));
                }
                Some(_) => {}
                None if !wish.wanted => return false,
                None if agreed.leases.contains_key(right) => wish.rest = now + wish.length / ASK_AGAIN,
                None => asks.push(Ask::Take(right.clone(), wish.length)),
            }
            true
        });
        asks
    }

    /// The proposal of this number was sent for the first time at this moment.
    pub fn asked(&mut self, ask: &Ask, serial: u64, at: Micros) {
        if let Some(wish) = self.wishes.get_mut(ask.right()) {
            wish.asked = Some((serial, at, matches!(ask, Ask::Release(..))));
        }
    }

    /// All own proposals up to this number are settled, and this is what is agreed now. Whether this node holds a right is read
    /// from the agreed lease, not from the outcome, which a node that catches up by a snapshot never sees.
    pub fn settled(&mut self, now: Micros, serial: u64, me: &crate::state::Author, agreed: &State) {
        for (right, wish) in &mut self.wishes {
            let Some((_, at, release)) = wish.asked.filter(|(asked, _, _)| *asked <= serial) else {
                continue;
            };
            wish.asked = None;
            let lease: Option<&Lease> = agreed.leases.get(right).filter(|lease| lease.holder == *me);
            match lease {
                Some(lease) if !release => {
                    wish.held = Some((Fence(lease.fence), at + acts_for(lease.length)));
                }
                _ => {
                    wish.held = None;
                    wish.rest = now + wish.length / ASK_AGAIN;
                }
            }
        }
    }

    /// The next moment at which [`Holder::ask`] may have something to say.
    pub fn next_wake(&self) -> Micros {
        let due = |wish: &Wish| match (wish.asked, wish.held) {
            (Some(_), _) => Micros::MAX,
            (None, Some(_)) if !wish.wanted => 0,
            (None, Some((_, until))) => wish.renews_from(until) + 1,
            (None, None) => wish.rest,
        };
        self.wishes.values().map(due).min().unwrap_or(Micros::MAX)
    }
}

/// A leader's watch over all leases.
#[derive(Debug, Default)]
pub struct Expiry {
    /// Since when each lease is counted: the entry that last renewed it, and when that was applied here.
    since: BTreeMap<String, (u64, Micros)>,
}

impl Expiry {
    /// Counts all leases from now: this node begins to lead, or was not awake for a while.
    pub fn restart(&mut self, now: Micros, agreed: &State) {
        self.since.clear();
        self.note(now, agreed);
    }

    /// Notes what was applied by now.
    pub fn note(&mut self, now: Micros, agreed: &State) {
        self.since.retain(|right, _| agreed.leases.contains_key(right));
        for (right, lease) in &agreed.leases {
            match self.since.get_mut(right) {
                Some(since) if since.0 == lease.renewed => {}
                Some(since) => *since = (lease.renewed, now),
                None => {
                    self.since.insert(right.clone(), (lease.renewed, now));
                }
            }
        }
    }

    /// Leases that are over by this leader's clock. They are said again until an entry has them.
    pub fn over(&self, now: Micros, agreed: &State) -> Vec<crate::state::Over> {
        let over = |right: &String, lease: &Lease| {
            let (renewed, since) = self.since.get(right)?;
            (*renewed == lease.renewed && now >= since + waits_for(lease.length))
                .then(|| crate::state::Over { right: right.clone(), fence: lease.fence, renewed: *renewed })
        };
        agreed.leases.iter().filter_map(|(right, lease)| over(right, lease)).collect()
    }
}
