//! The clock of the fleet: monotonic, and running while the machine is suspended.

use fennelscale_fleet::rules::Micros;
use fennelscale_settings::fleet::ClockRule;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock. The settings can give it an offset and a drift for tests.
pub struct SteadyClock {
    started_at: Micros,
    offset: Micros,
    drift: i64,
}

fn boot_time() -> Micros {
    // Unlike the monotonic clock, this one runs while the machine is suspended: leases end then too.
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}

impl SteadyClock {
    pub fn new(rule: &ClockRule) -> Self {
        let offset = rule.offset.map_or(0, |offset| (offset.0 * 1000.0) as Micros);
        Self { started_at: boot_time(), offset, drift: i64::from(rule.drift_ppm) }
    }

    /// Microseconds on this clock.
    pub fn now(&self) -> Micros {
        let now = boot_time();
        let drift = i128::from(now - self.started_at) * i128::from(self.drift) / 1_000_000;
        u64::try_from(i128::from(now + self.offset) + drift).unwrap_or(now)
    }
}
