//! Which part of an account's use comes by this gateway.

use crate::Millis;

/// Less than this many units heard of say nothing of who uses them.
const LEAST: f64 = 2.0;

/// Use of one account as the totals told it: by this gateway and by all, both fading with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageShare {
    /// Units added by this gateway.
    pub own: f64,
    /// Units added by all.
    pub total: f64,
    /// When both were brought up to date.
    pub updated_at: Millis,
}

impl UsageShare {
    /// A total came: of `all` units that the count grew by, `own` are this gateway's. Older use fades to 1/e in `span`.
    pub fn record(&mut self, now: Millis, own: f64, all: f64, span: Millis) {
        let fade = (-(now - self.updated_at).max(0.0) / span.max(1.0)).exp();
        self.own = (self.own * fade + own).max(0.0);
        self.total = (self.total * fade + all).max(self.own);
        self.updated_at = now;
    }

    /// This gateway's part of the use, 0 to 1; none where too little is known.
    #[must_use]
    pub fn fraction(&self) -> Option<f64> {
        (self.total >= LEAST).then(|| self.own / self.total)
    }
}
