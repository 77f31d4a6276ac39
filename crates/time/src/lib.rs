//! Times that come from outside: conversion and arithmetic that cannot overflow.
//!
//! Configurations, settings files, clients, backends and the platform may write any number as a time, often the largest
//! one they know to say "no limit". `Instant + Duration` and `Duration::from_secs_f64` panic for such numbers, and a panic
//! ends the process.
//!
//! Guarantee: a time that is too large becomes [`MAX_DURATION`], never zero, and nothing here panics.

#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

use std::time::{Duration, Instant};

/// The longest duration, 30 years: no process lives that long, and every clock can represent an instant so far ahead.
pub const MAX_DURATION: Duration = Duration::from_secs(30 * 365 * 24 * 60 * 60);

/// The same in milliseconds.
pub const MAX_MILLIS: f64 = MAX_DURATION.as_secs() as f64 * 1000.0;

/// Converts milliseconds to a duration of at most [`MAX_DURATION`]; a negative value or NaN becomes zero.
pub fn from_millis(millis: f64) -> Duration {
    let millis = if millis > 0.0 { millis.min(MAX_MILLIS) } else { 0.0 };
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(MAX_DURATION)
}

/// An instant that durations can be added to without overflow.
pub trait Later {
    /// The instant that is later by `duration`, or by [`MAX_DURATION`] if that is shorter.
    #[must_use]
    fn later_by(self, duration: Duration) -> Self;
}

impl Later for Instant {
    fn later_by(self, duration: Duration) -> Self {
        // Only an instant of the far future overflows; it stays what it is.
        self.checked_add(duration.min(MAX_DURATION)).unwrap_or(self)
    }
}

impl Later for tokio::time::Instant {
    fn later_by(self, duration: Duration) -> Self {
        self.checked_add(duration.min(MAX_DURATION)).unwrap_or(self)
    }
}
