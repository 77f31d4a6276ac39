//! The one clock of a gateway.

use doorcourse::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds. Count names are made of window numbers, so all gateways must agree on it; it is
/// read once from the system and then advanced by the steady clock, so that it never jumps or runs back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Anchors the clock to the system's time now.
    pub fn from_system_time() -> Self {
        // A system time before 1970 is no time at all: count from zero rather than fail.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix, start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        (self.unix + self.start.elapsed()).as_secs_f64() * 1000.0
    }
}

/// A span of milliseconds as a duration; what is negative or no number is zero.
pub fn to_duration(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

/// A duration in milliseconds.
pub fn to_millis(span: Duration) -> Millis {
    span.as_secs_f64() * 1000.0
}
