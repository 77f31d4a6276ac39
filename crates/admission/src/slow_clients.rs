//! Limits on slow clients: the deadline of a connection, from its activity and the bytes transferred so far.

use crate::Time;
use fennelscale_settings::admission::Pace as Settings;
use fennelscale_time::from_millis;

/// The activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No byte of a request has arrived.
    Idle,
    /// A request head is incomplete.
    ReadingHead,
    /// The head is complete and the body is being received.
    ReadingBody {
        /// When the head was complete.
        since: Time,
        /// Bytes received of the body.
        bytes: u64,
    },
    /// A request is in progress, bounded by its own deadline.
    Processing,
    /// The response is being written.
    WritingResponse {
        /// When the response was ready.
        since: Time,
        /// Bytes that the client has read.
        bytes: u64,
    },
}

/// The time limits for slow clients.
#[derive(Clone, Copy, Debug)]
pub struct SlowClientLimits {
    request_timeout: Time,
    idle_timeout: Time,
    head_timeout: Time,
    min_body_rate: f64,
    min_response_rate: f64,
    grace: Time,
}

/// The deadline for the next byte at a minimum rate; never without one.
fn rate_deadline(since: Time, bytes: u64, rate: f64, grace: Time) -> Time {
    if rate <= 0.0 {
        return Time::MAX;
    }
    since.saturating_add(grace).saturating_add(from_millis(bytes as f64 / rate * 1000.0))
}

impl SlowClientLimits {
    /// Creates the limits from the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            request_timeout: from_millis(settings.request.0),
            idle_timeout: from_millis(settings.request.0),
            head_timeout: from_millis(settings.head.0),
            min_body_rate: settings.body.0,
            min_response_rate: settings.answer.0,
            grace: from_millis(settings.grace.0),
        }
    }

    /// The same limits, but connections may be idle for this time.
    #[must_use]
    pub fn with_idle_timeout(self, idle_timeout: Time) -> Self {
        Self { idle_timeout, ..self }
    }

    /// The deadline of a connection; none while its request is in progress. `since` is its start, its last
    /// response or the first byte of its next request: further bytes do not extend the deadline, they only
    /// sustain a rate.
    pub fn deadline(&self, activity: Activity, since: Time) -> Option<Time> {
        let request_deadline = since.saturating_add(self.request_timeout);
        match activity {
            Activity::Processing => None,
            Activity::Idle => Some(since.saturating_add(self.idle_timeout)),
            Activity::ReadingHead => Some(request_deadline.min(since.saturating_add(self.head_timeout))),
            Activity::ReadingBody { since, bytes } => {
                Some(request_deadline.min(rate_deadline(since, bytes, self.min_body_rate, self.grace)))
            }
            Activity::WritingResponse { since: ready_at, bytes } => {
                Some(request_deadline.min(rate_deadline(ready_at, bytes, self.min_response_rate, self.grace)))
            }
        }
    }
}
