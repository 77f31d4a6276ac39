//! The bound: what all gateways together may send on for one account, whatever the counter does.

use crate::{Millis, UsageShare};
use serde::Deserialize;

/// Which losses of the counter the parts are made for.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// It is lost for all gateways or for none: then the parts share the whole ceiling.
    #[default]
    Whole,
    /// Some may lose it while others go on with it: then the parts share only what the ceiling holds beyond the quota.
    Partial,
}

/// An account's quota and ceiling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountQuota {
    /// Units a second inside the quota.
    pub rate: f64,
    /// Units at once inside the quota.
    pub burst: f64,
    /// Units a second that the ceiling fills by; 0 is no ceiling.
    pub ceiling_rate: f64,
    /// Units that the ceiling holds.
    pub ceiling_burst: f64,
    /// The largest request, in units.
    pub max_request_units: f64,
    /// Gateways that serve the account, 1 or more.
    pub gateways: f64,
}

impl AccountQuota {
    /// How many times the quota the ceiling bears, in rate and at once; endless where there is none.
    #[must_use]
    pub fn ceiling_multiple(&self) -> f64 {
        let times = |ceiling: f64, quota: f64| if quota > 0.0 { ceiling / quota } else { f64::INFINITY };
        if self.ceiling_rate <= 0.0 {
            return f64::INFINITY;
        }
        times(self.ceiling_rate, self.rate).min(times(self.ceiling_burst, self.burst))
    }

    /// The most that one gateway's part may be, as a share of the quota. Let c be [`AccountQuota::ceiling_multiple`] and S the gateways.
    ///
    /// *Whole*: c / S. All parts together are c quotas, and the ceiling is that.
    /// *Partial*: (c - 1) / S. Those who still have the counter share one quota by it, all others' parts together are less
    /// than c - 1 quotas, and c is the ceiling.
    #[must_use]
    pub fn max_local_share(&self, loss: Loss) -> f64 {
        let spare = if loss == Loss::Whole { 0.0 } else { 1.0 };
        ((self.ceiling_multiple() - spare) / self.gateways.max(1.0)).max(0.0)
    }

    /// The part of the quota that a gateway spends alone, by what it knows of the use: its share of it, and the even part at
    /// least, as use moves from gateway to gateway. Never more than the ceiling bears.
    #[must_use]
    pub fn local_share(&self, share: &UsageShare, loss: Loss) -> f64 {
        let even = 1.0 / self.gateways.max(1.0);
        share.fraction().unwrap_or(even).max(even).min(self.max_local_share(loss))
    }
}

/// The bound of one account, by its terms and by how the gateways run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Quota and ceiling.
    pub quota: AccountQuota,
    /// The losses that the parts are made for.
    pub loss: Loss,
    /// How many counters may each believe that they hold the whole count, while nobody knows: 1 where that cannot be.
    pub split_counters: f64,
    /// How long a gateway may go on by a counter that is not the others' any more.
    pub detection_time: Millis,
    /// By how much the gateways' clocks differ: their windows and stores begin so far apart.
    pub clock_skew: Millis,
}

impl Bound {
    /// The most units sent on in any span of so many milliseconds.
    ///
    /// Let the quota be r a second and b at once, the ceiling c times as much, S the gateways and p the most that one's part
    /// is ([`AccountQuota::max_local_share`], 1 at most). Let f be (c - 1) / S, or 1 if that is more.
    ///
    /// 1. *By the counter* all gateways together are granted b + r t; what is in their blocks is granted already.
    /// 2. *By slices*. Each starts with f b at most and fills at p r up to p b.
    ///    - Partial loss: p is f, and slices may be spent beside the counter: b + r t + S f (b + r t).
    ///    - Whole loss: before it b + r t by the counter, S f b at its start, S p r t while it lasts, and no grants. In
    ///      a span within it S p (b + r t). After it a gateway takes of the count what its own slice holds at most,
    ///      p b, which it then no longer spends alone. So the larger of b + S f b and S p b, and r t or S p r t.
    ///      Others may spend their slices for a while after it; that is taken off the first store beforehand.
    /// 3. *Split*: k counters that each hold the whole count grant k (b + r t) for as long as nobody knows.
    /// 4. *Clocks*: windows and stores begin `skew` apart.
    /// 5. A part too small for the largest request grows to hold one; and one such is on its way.
    ///
    /// Restarts add nothing: a slice begun by a gateway that has just come starts empty.
    #[must_use]
    pub fn max_units(&self, span: Millis) -> f64 {
        let AccountQuota { rate, burst, max_request_units: largest, gateways, .. } = self.quota;
        let span = span.max(0.0) + self.clock_skew;
        let came = |span: Millis| rate * span / 1000.0;
        let part = self.quota.max_local_share(self.loss).min(1.0);
        let first = self.quota.max_local_share(Loss::Partial).min(1.0) * burst * gateways;
        let held = gateways * (part * burst).max(largest);
        let alone = match self.loss {
            Loss::Whole => {
                let at_once = held.max(burst + first);
                at_once + came(span) * (gateways * part).max(1.0)
            }
            Loss::Partial => burst + came(span) + held + gateways * part * came(span),
        };
        let split = (self.split_counters - 1.0).max(0.0)
            * (burst + came(span.min(self.detection_time + self.clock_skew)));
        alone + split + largest
    }

    /// What the ceiling allows in such a span.
    #[must_use]
    pub fn ceiling_units(&self, span: Millis) -> f64 {
        self.quota.ceiling_burst + self.quota.ceiling_rate * span / 1000.0
    }
}
