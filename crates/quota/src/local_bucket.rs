//! The share of a quota that one gateway spends while the counter is silent.

use crate::{AccountQuota, Loss, Millis};

/// Without a ceiling a bucket holds at least this many requests: requests arrive at a gateway in clusters,
/// and a bucket of one request would reject a quarter of an even load at nine tenths of its rate.
const MIN_REQUESTS_HELD: f64 = 4.0;

/// A token bucket that only this gateway spends: it refills at `rate_per_s` up to `capacity`.
///
/// Units spent here are reported when the counter is back, but only as far as the bucket has not refilled:
/// a quota that was used evenly through a long silence is full again, and a count that received all that
/// use at once would reject every request for as long as the silence lasted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalBucket {
    /// Units in the bucket at `updated_at`.
    pub units: f64,
    /// When `units` was computed.
    pub updated_at: Millis,
    /// Refill in units a second.
    pub rate_per_s: f64,
    /// The most units that it holds.
    pub capacity: f64,
}

impl LocalBucket {
    /// A bucket for `share` of `quota` (see [`AccountQuota::local_share`]), of which `stored` units are
    /// left as far as this gateway knows. It starts `lost` after the counter became silent, at a gateway
    /// that has run for `running`, for a request of `units`. The refill since the counter became silent is
    /// included: this gateway has not spent it.
    ///
    /// Under a ceiling two limits apply. `stored` may be out of date, as others may have spent a whole
    /// burst since: only what the ceiling holds beyond the burst is certainly left, and a gateway may use
    /// an equal share of that. And a gateway may have replaced one that has just spent its bucket: the
    /// bucket holds no more than its refill since this gateway started, however often it restarts. Without
    /// a ceiling the first request of an account is admitted.
    #[must_use]
    pub fn new(
        now: Millis, stored: f64, quota: &AccountQuota, share: f64, [lost, running]: [Millis; 2], units: f64,
    ) -> Self {
        let min_requests = if quota.ceiling_rate > 0.0 { 1.0 } else { MIN_REQUESTS_HELD };
        let (rate, capacity) = (quota.rate * share, (quota.burst * share).max(units * min_requests));
        let (left, refill) = (stored.max(0.0) * share, |span: Millis| rate * span / 1000.0);
        let initial = if quota.ceiling_rate > 0.0 {
            let own_share = quota.burst * quota.max_local_share(Loss::Partial);
            (left.min(own_share) + refill(lost)).min(refill(running))
        } else {
            left.max(units) + refill(lost)
        };
        Self { units: initial.min(capacity), updated_at: now, rate_per_s: rate, capacity }
    }

    /// The units in the bucket at `now`.
    #[must_use]
    pub fn units_at(&self, now: Millis) -> f64 {
        (self.units + self.rate_per_s * (now - self.updated_at).max(0.0) / 1000.0).min(self.capacity)
    }

    /// Spends `units` if the bucket holds them; returns whether it did.
    pub fn try_spend(&mut self, now: Millis, units: f64) -> bool {
        (self.units, self.updated_at) = (self.units_at(now), now);
        let fits = self.units >= units;
        self.units -= if fits { units } else { 0.0 };
        fits
    }

    /// How many of the `owed` units spent here are still to be reported to the count: no more than the
    /// bucket lacks.
    #[must_use]
    pub fn unreported(&self, now: Millis, owed: f64) -> f64 {
        owed.min((self.capacity - self.units_at(now)).max(0.0))
    }
}
