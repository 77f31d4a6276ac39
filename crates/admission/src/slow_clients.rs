//! Bounds on slow clients: by when a connection must have moved on, from what it is doing and how many bytes went by.

use crate::Time;
use fennelscale_settings::admission::Pace as Settings;
use std::time::Duration;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Nothing has come of a request.
    Idle,
    /// A head has begun and is not whole.
    ReadingHead,
    /// A head is whole; this many bytes of a body have come since.
    ReadingBody {
        /// Since the head was whole.
        since: Time,
        /// Bytes of it.
        bytes: u64,
    },
    /// A request is open: its own time bounds it.
    Processing,
    /// Its answer is being written; its reader has taken this many bytes.
    WritingResponse {
        /// Since the answer was given.
        since: Time,
        /// Bytes of it.
        bytes: u64,
    },
}

/// The bounds.
#[derive(Clone, Copy, Debug)]
pub struct SlowClientLimits {
    request: Time,
    head: Time,
    body: f64,
    answer: f64,
    grace: Time,
}

fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX)
}

/// By when the next byte must have come at a rate; never, without one.
fn at_rate(since: Time, bytes: u64, rate: f64, grace: Time) -> Time {
    if rate <= 0.0 {
        return Time::MAX;
    }
    since.saturating_add(grace).saturating_add(span(bytes as f64 / rate * 1000.0))
}

impl SlowClientLimits {
    /// As the settings say.
    pub fn new(settings: &Settings) -> Self {
        Self {
            request: span(settings.request.0),
            head: span(settings.head.0),
            body: settings.body.0,
            answer: settings.answer.0,
            grace: span(settings.grace.0),
        }
    }

    /// By when it must have moved on; none while its request is open. `since` is its start, its last answer or the first
    /// byte of its next request: more bytes renew nothing, they only keep up a rate.
    pub fn deadline(&self, doing: Activity, since: Time) -> Option<Time> {
        let whole = since.saturating_add(self.request);
        match doing {
            Activity::Processing => None,
            Activity::Idle => Some(whole),
            Activity::ReadingHead => Some(whole.min(since.saturating_add(self.head))),
            Activity::ReadingBody { since, bytes } => {
                Some(whole.min(at_rate(since, bytes, self.body, self.grace)))
            }
            Activity::WritingResponse { since: given, bytes } => {
                Some(whole.min(at_rate(given, bytes, self.answer, self.grace)))
            }
        }
    }
}
