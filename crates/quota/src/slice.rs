//! The part of a quota that one gateway spends alone while the counter is silent.

use crate::{AccountQuota, Loss, Millis};

/// Where no ceiling forbids it a slice holds this many requests at least: what comes by one gateway comes in clusters, and a
/// store of one request would refuse a quarter of an even use at nine tenths of its rate.
const LEAST_HELD: f64 = 4.0;

/// A store of its own: it fills at `rate`, holds `most` at most and is spent by this gateway only.
///
/// What was spent has to be told when the counter is back, but only as far as it is not refilled yet: a quota that was used
/// evenly through a long silence is full again, and a count that heard of all that use at once would refuse everybody for
/// as long as the silence took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalBucket {
    /// Units in store at `at`.
    pub units: f64,
    /// When that was.
    pub updated_at: Millis,
    /// Units a second.
    pub rate_per_s: f64,
    /// Units.
    pub capacity: f64,
}

impl LocalBucket {
    /// A slice of `part` of the quota in `terms` (see [`AccountQuota::local_share`]) of which `store` units are left as far as this gateway
    /// knows, begun `lost` after the counter fell silent by a gateway that has run for `running`, for a request of
    /// `units`. What came in since the counter fell silent is there: this gateway has not spent it.
    ///
    /// Under a ceiling it is bounded twice. What `store` says may be old, as others may have spent a whole burst since: only
    /// what the ceiling holds beyond the burst is sure to be left, and a gateway's even part of that is its own. And a
    /// gateway may come back in place of one that has just spent its slice: nothing is in store that would not have come
    /// in since it runs, however often it is started. Without a ceiling the first request of an account is let in.
    #[must_use]
    pub fn new(
        now: Millis, store: f64, terms: &AccountQuota, part: f64, [lost, running]: [Millis; 2], units: f64,
    ) -> Self {
        let least = if terms.ceiling_rate > 0.0 { 1.0 } else { LEAST_HELD };
        let (rate, most) = (terms.rate * part, (terms.burst * part).max(units * least));
        let (left, came) = (store.max(0.0) * part, |span: Millis| rate * span / 1000.0);
        let held = if terms.ceiling_rate > 0.0 {
            let own = terms.burst * terms.max_local_share(Loss::Partial);
            (left.min(own) + came(lost)).min(came(running))
        } else {
            left.max(units) + came(lost)
        };
        Self { units: held.min(most), updated_at: now, rate_per_s: rate, capacity: most }
    }

    /// What is in store by now.
    #[must_use]
    pub fn units_at(&self, now: Millis) -> f64 {
        (self.units + self.rate_per_s * (now - self.updated_at).max(0.0) / 1000.0).min(self.capacity)
    }

    /// Spends `units` if they are there.
    pub fn try_spend(&mut self, now: Millis, units: f64) -> bool {
        (self.units, self.updated_at) = (self.units_at(now), now);
        let fits = self.units >= units;
        self.units -= if fits { units } else { 0.0 };
        fits
    }

    /// What of `owed` units, spent here, is still to be told to the count: no more than the store lacks.
    #[must_use]
    pub fn unreported(&self, now: Millis, owed: f64) -> f64 {
        owed.min((self.capacity - self.units_at(now)).max(0.0))
    }
}
