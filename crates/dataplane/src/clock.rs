//! The clock of a gateway.

use doorcourse::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds. Counter keys contain window numbers, so all gateways must agree on it. It is
/// read once from the system and then advanced by the monotonic clock, so it never jumps or runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub fn from_system_time() -> Self {
        // A system time before 1970 is invalid: start from zero rather than fail.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix, start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        (self.unix + self.start.elapsed()).as_secs_f64() * 1000.0
    }
}

/// Converts a duration to milliseconds.
pub fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}
