//! How reliable backend connections are, by how long they were idle.

use std::time::Duration;

/// Reused connections are grouped by idle time into this many groups; the first ends at `FIRST_GROUP_END`,
/// each other at `GROUP_FACTOR` times the end of the one before.
const IDLE_GROUPS: usize = 6;
const GROUP_FACTOR: u128 = 4;
const FIRST_GROUP_END: Duration = Duration::from_millis(25);
/// Weight of the newest outcome in the moving average of a group's break rate.
const BREAK_RATE_WEIGHT: f64 = 0.1;
/// Reused connections are trusted while their break rate exceeds that of new ones by at most this much; for
/// requests that must not be repeated the limit is lower.
const MAX_EXCESS_BREAK_RATE: f64 = 0.05;
const MAX_EXCESS_BREAK_RATE_UNSAFE: f64 = 0.02;
/// The break rate of an untrusted group decays by this share with each connection rejected, so that the group
/// is tried again.
const BREAK_RATE_DECAY: f64 = 0.02;

/// How often connections break before any answer: new ones, and reused ones by their idle time.
///
/// This guards against peers or middleboxes that drop idle connections earlier than stated, which shows only
/// when the next request is sent. It also covers connections that are closed right after an answer. New
/// connections are the baseline, because random resets are no reason to reconnect. Drawback: if a few of many
/// backends drop connections early, all pay with handshakes.
#[derive(Default)]
pub(super) struct BreakRates {
    new: f64,
    reused: [f64; IDLE_GROUPS],
}

impl BreakRates {
    fn group(idle: Duration) -> usize {
        let steps = idle.as_millis() / FIRST_GROUP_END.as_millis();
        steps.checked_ilog(GROUP_FACTOR).map_or(0, |step| (step as usize + 1).min(IDLE_GROUPS - 1))
    }

    /// Records whether a connection broke; `idle` is how long it had been idle, none if it was new.
    pub(super) fn record(&mut self, idle: Option<Duration>, broke: bool) {
        let rate = idle.map_or(&mut self.new, |idle| &mut self.reused[Self::group(idle)]);
        *rate += BREAK_RATE_WEIGHT * (f64::from(u8::from(broke)) - *rate);
    }

    /// Whether a connection with this idle time is about as reliable as a new one.
    pub(super) fn trusts(&mut self, idle: Duration, repeatable: bool) -> bool {
        let rate = &mut self.reused[Self::group(idle)];
        let trusted =
            *rate <= self.new + if repeatable { MAX_EXCESS_BREAK_RATE } else { MAX_EXCESS_BREAK_RATE_UNSAFE };
        if !trusted {
            *rate *= 1.0 - BREAK_RATE_DECAY;
        }
        trusted
    }
}
