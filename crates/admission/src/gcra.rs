//! The generic cell rate algorithm (ITU-T I.371, annex A), as a virtual schedule.
//!
//! A flow's only state is its theoretical arrival time `t`: when the next cell would be due if all had
//! arrived evenly. A cell at `now` conforms if `t - now <= tolerance`; then `t` becomes `max(t, now) +
//! interval`. With `interval = 1 / rate` and `tolerance = (burst - 1) * interval`, exactly `burst` cells
//! conform at once to a flow with `t <= now`, and no more than `burst + s * rate` over any time span `s`:
//! each cell advances `t` by at least `interval` from `now`, and `t` is never more than `tolerance +
//! interval` ahead of `now`.

/// The theoretical arrival time of the next cell, in ms of the host's clock; 0 for a new flow.
pub type ArrivalTime = f64;

/// A rate limit with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    interval: f64,
    tolerance: f64,
}

impl Rate {
    /// Allows `per_second` on average and `burst` at once (at least 1). An infinite rate is no limit.
    pub fn new(per_second: f64, burst: f64) -> Self {
        if per_second.is_infinite() {
            return Self { interval: 0.0, tolerance: f64::INFINITY };
        }
        let interval = 1000.0 / per_second;
        Self { interval, tolerance: (burst - 1.0).max(0.0) * interval }
    }

    /// Checks whether a cell conforms at `now`, in ms.
    ///
    /// # Errors
    /// The time in ms until a cell would conform.
    pub fn check(&self, due: ArrivalTime, now: f64) -> Result<(), f64> {
        let early = due - now - self.tolerance;
        // Tolerates rounding errors below a nanosecond.
        if early <= 1e-6 { Ok(()) } else { Err(early) }
    }

    /// The arrival time after a cell at `now`, in ms.
    pub fn next(&self, due: ArrivalTime, now: f64) -> ArrivalTime {
        due.max(now) + self.interval
    }

    /// Counts a cell if it conforms.
    ///
    /// # Errors
    /// The time in ms until a cell would conform; nothing is counted then.
    pub fn try_acquire(&self, due: &mut ArrivalTime, now: f64) -> Result<(), f64> {
        self.check(*due, now)?;
        *due = self.next(*due, now);
        Ok(())
    }
}
