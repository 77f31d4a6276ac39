//! The most units that all gateways together may send on for one account, however the counter fails.

use crate::{Millis, UsageShare};
use serde::Deserialize;

/// The losses of the counter that local shares are computed for.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// The counter is lost for all gateways or for none, so the local shares divide the whole ceiling.
    #[default]
    Whole,
    /// Some gateways may lose it while others still use it, so the local shares divide only what the
    /// ceiling holds beyond the quota.
    Partial,
}

/// An account's quota and ceiling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountQuota {
    /// Units a second within the quota.
    pub rate: f64,
    /// Units at once within the quota.
    pub burst: f64,
    /// Units a second at which the ceiling refills; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Units that the ceiling holds.
    pub ceiling_burst: f64,
    /// Units of the largest request.
    pub max_request_units: f64,
    /// Gateways that serve the account, 1 or more.
    pub gateways: f64,
}

impl AccountQuota {
    /// The ceiling as a multiple of the quota, the smaller of rate and burst; infinite without a ceiling.
    #[must_use]
    pub fn ceiling_multiple(&self) -> f64 {
        let times = |ceiling: f64, quota: f64| if quota > 0.0 { ceiling / quota } else { f64::INFINITY };
        if self.ceiling_rate <= 0.0 {
            return f64::INFINITY;
        }
        times(self.ceiling_rate, self.rate).min(times(self.ceiling_burst, self.burst))
    }

    /// The largest local share of one gateway, as a fraction of the quota. Let c be
    /// [`AccountQuota::ceiling_multiple`] and S the number of gateways.
    ///
    /// *Whole*: c / S. All shares together are c quotas, which is the ceiling.
    /// *Partial*: (c - 1) / S. The gateways that still have the counter share one quota through it, the
    /// shares of all others together are less than c - 1 quotas, and the sum of both is below c, the
    /// ceiling.
    #[must_use]
    pub fn max_local_share(&self, loss: Loss) -> f64 {
        let spare = if loss == Loss::Whole { 0.0 } else { 1.0 };
        ((self.ceiling_multiple() - spare) / self.gateways.max(1.0)).max(0.0)
    }

    /// The fraction of the quota that a gateway spends without the counter: its share of the recorded use,
    /// but at least an equal part, as use moves between gateways. Never more than the ceiling allows.
    #[must_use]
    pub fn local_share(&self, share: &UsageShare, loss: Loss) -> f64 {
        let even = 1.0 / self.gateways.max(1.0);
        share.fraction().unwrap_or(even).max(even).min(self.max_local_share(loss))
    }
}

/// The bound of one account, from its quota and the deployment of the gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Quota and ceiling.
    pub quota: AccountQuota,
    /// The losses that local shares are computed for.
    pub loss: Loss,
    /// How many counters may each hold the whole count without anybody noticing; 1 where that is
    /// impossible.
    pub split_counters: f64,
    /// How long a gateway may use a counter that the others no longer use.
    pub detection_time: Millis,
    /// Largest difference between the gateways' clocks: their windows and buckets start this far apart.
    pub clock_skew: Millis,
}

impl Bound {
    /// The most units sent on in any span of this many milliseconds.
    ///
    /// Let the quota be r a second and b at once, the ceiling c times as much, S the number of gateways and
    /// p the largest local share ([`AccountQuota::max_local_share`], at most 1). Let f be (c - 1) / S, at
    /// most 1.
    ///
    /// 1. *Counter*: all gateways together are granted b + r t; units in their leases are granted already.
    /// 2. *Local buckets*: each starts with at most f b and refills at p r up to p b.
    ///    - Partial loss: p is f, and buckets may be spent beside the counter: b + r t + S f (b + r t).
    ///    - Whole loss: before it b + r t by the counter, S f b at its start, S p r t while it lasts, and
    ///      no grants. In a span within it S p (b + r t). After it a gateway takes from the count at most
    ///      what its own bucket holds, p b, which it then no longer spends locally. So the bound is the
    ///      larger of b + S f b and S p b, plus the larger of r t and S p r t. Others may spend their
    ///      buckets for a while after it; the first store is reduced by that in advance.
    /// 3. *Split*: k counters that each hold the whole count grant k (b + r t) until that is noticed.
    /// 4. *Clocks*: windows and buckets start `clock_skew` apart.
    /// 5. A share too small for the largest request is raised to hold one, and one such request may be in
    ///    flight.
    ///
    /// Restarts add nothing: the bucket of a gateway that has just started is empty.
    #[must_use]
    pub fn max_units(&self, span: Millis) -> f64 {
        let AccountQuota { rate, burst, max_request_units: largest, gateways, .. } = self.quota;
        let span = span.max(0.0) + self.clock_skew;
        let refill = |span: Millis| rate * span / 1000.0;
        let share = self.quota.max_local_share(self.loss).min(1.0);
        let initial = self.quota.max_local_share(Loss::Partial).min(1.0) * burst * gateways;
        let bucket_units = gateways * (share * burst).max(largest);
        let without_split = match self.loss {
            Loss::Whole => {
                let at_once = bucket_units.max(burst + initial);
                at_once + refill(span) * (gateways * share).max(1.0)
            }
            Loss::Partial => burst + refill(span) + bucket_units + gateways * share * refill(span),
        };
        let split = (self.split_counters - 1.0).max(0.0)
            * (burst + refill(span.min(self.detection_time + self.clock_skew)));
        without_split + split + largest
    }

    /// What the ceiling allows in such a span.
    #[must_use]
    pub fn ceiling_units(&self, span: Millis) -> f64 {
        self.quota.ceiling_burst + self.quota.ceiling_rate * span / 1000.0
    }
}
