//! This gateway's share of an account's use.

use crate::Millis;

/// With fewer units recorded the share is unknown.
const MIN_UNITS: f64 = 2.0;

/// Use of one account according to the totals, by this gateway and by all, both decaying with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageShare {
    /// Units added by this gateway.
    pub own: f64,
    /// Units added by all gateways.
    pub total: f64,
    /// When both were last updated.
    pub updated_at: Millis,
}

impl UsageShare {
    /// Records a total: the count grew by `all` units, of which `own` are this gateway's. Older use decays
    /// to 1/e in `decay_time`.
    pub fn record(&mut self, now: Millis, own: f64, all: f64, decay_time: Millis) {
        let decay = (-(now - self.updated_at).max(0.0) / decay_time.max(1.0)).exp();
        self.own = (self.own * decay + own).max(0.0);
        self.total = (self.total * decay + all).max(self.own);
        self.updated_at = now;
    }

    /// This gateway's share of the use, 0 to 1; `None` while too little is known.
    #[must_use]
    pub fn fraction(&self) -> Option<f64> {
        (self.total >= MIN_UNITS).then(|| self.own / self.total)
    }
}
