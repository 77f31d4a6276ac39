//! What a run came to.

use crate::Millis;
use fennelscale_quota::LocalBucket;

/// Units sent on for one account at one moment.
pub type Sent = (Millis, f64);

/// The worst of all spans that begin and end with a send: `measure` is given the units sent on within it and its length.
fn worst(sent: &[Sent], measure: impl Fn(f64, Millis) -> f64) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    for (first, (begun, _)) in sent.iter().enumerate() {
        let mut units = 0.0;
        for (at, more) in &sent[first..] {
            units += more;
            worst = worst.max(measure(units, at - begun));
        }
    }
    worst
}

/// By how many units what was sent on passes `allowed` at the worst, which tells for a span how many units may be sent on
/// within it. Below zero where it never does.
pub fn overshoot(sent: &[Sent], allowed: impl Fn(Millis) -> f64) -> f64 {
    worst(sent, |units, span| units - allowed(span))
}

/// The largest share that was used up of what is allowed; 1 is all of it.
pub fn fullest(sent: &[Sent], allowed: impl Fn(Millis) -> f64) -> f64 {
    worst(sent, |units, span| units / allowed(span))
}

/// A quota as it is meant: one store for all gateways, that knows everything at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ideal {
    store: LocalBucket,
}

impl Ideal {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self { store: LocalBucket { units: burst, updated_at: 0.0, rate_per_s: rate, capacity: burst } }
    }

    fn fill(&mut self, now: Millis) {
        (self.store.units, self.store.updated_at) = (self.store.units_at(now), now);
    }

    pub(crate) fn holds(&mut self, now: Millis, units: f64) -> bool {
        self.fill(now);
        self.store.units + 1e-9 >= units
    }

    pub(crate) fn draw(&mut self, now: Millis, units: f64) {
        self.fill(now);
        // What is sent on beyond the quota is not owed by those inside it for longer than one burst.
        self.store.units = (self.store.units - units).max(-self.store.capacity);
    }
}

/// Figures of one run, or of a part of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Units sent on that the quota held at that moment.
    pub inside: f64,
    /// Units refused though the quota held them.
    pub denied: f64,
    /// Units sent on beyond the quota.
    pub beyond: f64,
    /// Units refused beyond the quota.
    pub refused: f64,
}

impl Figures {
    /// The share of the units that the quota held which were sent on, 0 to 1; 1 where there were none.
    pub fn service(&self) -> f64 {
        let all = self.inside + self.denied;
        if all > 0.0 { self.inside / all } else { 1.0 }
    }
}
