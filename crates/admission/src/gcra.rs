//! The generic cell rate algorithm (ITU-T I.371, annex A), as a virtual schedule.
//!
//! All that is kept for a flow is its theoretical arrival time `t`: when the next cell would be due if all had come evenly.
//! A cell at `now` conforms if `t - now <= tolerance`; then `t` becomes `max(t, now) + interval`. With `interval = 1 /
//! rate` and `tolerance = (burst - 1) * interval`, exactly `burst` cells conform at once to a flow with `t <= now`, and over
//! any span `s` no more than `burst + s * rate`: each one moves `t` on by `interval` from `now` at the least, and `t` is never
//! more than `tolerance + interval` ahead of `now`.

/// When the next one would be due, in ms of the host's clock. 0 is a flow of which nothing was seen.
pub type ArrivalTime = f64;

/// A rate with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    interval: f64,
    tolerance: f64,
}

impl Rate {
    /// So many a second in the mean, so many at once (1 at least). An infinite rate bounds nothing.
    pub fn new(per_second: f64, burst: f64) -> Self {
        if per_second.is_infinite() {
            return Self { interval: 0.0, tolerance: f64::INFINITY };
        }
        let interval = 1000.0 / per_second;
        Self { interval, tolerance: (burst - 1.0).max(0.0) * interval }
    }

    /// Whether one conforms at a time in ms.
    ///
    /// # Errors
    /// With the time in ms until one would.
    pub fn check(&self, due: ArrivalTime, now: f64) -> Result<(), f64> {
        let early = due - now - self.tolerance;
        // Rounding may leave a hair of a nanosecond.
        if early <= 1e-6 { Ok(()) } else { Err(early) }
    }

    /// When the next is due after one at a time in ms.
    pub fn next(&self, due: ArrivalTime, now: f64) -> ArrivalTime {
        due.max(now) + self.interval
    }

    /// Checks, and takes one if it conforms.
    ///
    /// # Errors
    /// With the time in ms until one would; nothing is taken then.
    pub fn try_acquire(&self, due: &mut ArrivalTime, now: f64) -> Result<(), f64> {
        self.check(*due, now)?;
        *due = self.next(*due, now);
        Ok(())
    }
}
