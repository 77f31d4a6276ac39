//! Health of one counter as seen by one gateway: its latency and whether it is silent.

use crate::Millis;

/// A counter is silent when it has not answered for this many timeouts ...
const SILENT_AFTER: f64 = 3.0;
/// ... and the weight of calls without an answer exceeds that of one timeout. A timeout weighs as much as
/// this many corrupt responses: a counter that sends those is reachable, unless it sends nothing else.
const TIMEOUT_WEIGHT: u32 = 4;
/// A call that fails before this share of its timeout got a corrupt response or a broken connection, and
/// was not late.
const EARLY_FAILURE_SHARE: f64 = 0.5;
/// Calls should be answered within this share of their timeout; when they are slower, fewer calls are made.
/// 0.6 was tried: better with 60 gateways, worse with 300, which load the counter up to that same latency.
const TARGET_LATENCY_SHARE: f64 = 0.3;
/// How much an instant answer raises the share of calls made; a late answer lowers it by up to twice that.
const CALL_SHARE_STEP: f64 = 0.2;
/// Lower limit of the share of calls made: a gateway that never calls would not learn that the counter has
/// recovered.
const MIN_CALL_SHARE: f64 = 0.1;
/// Upper limit; above 1 there are calls to spare.
const MAX_CALL_SHARE: f64 = 2.0;
/// Interval of probes to a silent counter ...
const PROBE_INTERVAL: Millis = 200.0;
/// ... so all gateways notice its recovery within this time: one probe, its timeout and the network
/// latency.
const RECOVERY_PROPAGATION: Millis = 300.0;

/// How a call ended without a total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissedCall {
    /// The call may be retried at once: the counter is reachable, and there is time.
    pub retry_now: bool,
    /// With this call the counter has become silent.
    pub fell_silent: bool,
}

/// One counter as one gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterHealth {
    /// The share of the wanted calls that the counter can bear, by its latency.
    pub call_share: f64,
    /// Weight of the calls without an answer since the last answer.
    pub missed_weight: u32,
    /// Time of the last answer.
    pub last_answer: Millis,
    /// Whether it was found silent and has not answered since.
    pub known_silent: bool,
    /// When the last silence or loss of counts was detected; `recovered_at` is when it ended.
    pub silent_since: Millis,
    /// See `silent_since`.
    pub recovered_at: Millis,
    /// Time of the last probe.
    pub last_probe: Millis,
}

impl Default for CounterHealth {
    fn default() -> Self {
        Self {
            call_share: 1.0,
            missed_weight: 0,
            last_answer: 0.0,
            known_silent: false,
            silent_since: 0.0,
            recovered_at: 0.0,
            last_probe: 0.0,
        }
    }
}

impl CounterHealth {
    /// Whether it is silent, with calls given up after `timeout`.
    #[must_use]
    pub fn is_silent(&self, now: Millis, timeout: Millis) -> bool {
        self.missed_weight > TIMEOUT_WEIGHT && now - self.last_answer > timeout * SILENT_AFTER
    }

    /// Records a total received after `latency`; returns whether that ended a silence.
    pub fn on_answer(&mut self, now: Millis, latency: Millis, timeout: Millis) -> bool {
        self.adjust_call_share((1.0 - latency / (timeout * TARGET_LATENCY_SHARE)).max(-2.0));
        (self.missed_weight, self.last_answer) = (0, now);
        let back = std::mem::take(&mut self.known_silent);
        if back {
            self.recovered_at = now;
        }
        back
    }

    /// Records a call that ended after `latency` without a total. `unknown`: it may have been added;
    /// otherwise it was rejected or never arrived, which counts as late. A connection that broke in time
    /// says nothing about the counter's load.
    pub fn on_missed(&mut self, now: Millis, latency: Millis, timeout: Millis, unknown: bool) -> MissedCall {
        let late = (1.0 - latency / (timeout * TARGET_LATENCY_SHARE)).clamp(-2.0, 0.0);
        self.adjust_call_share(if unknown { late } else { -2.0 });
        let early = unknown && latency < timeout * EARLY_FAILURE_SHARE;
        self.missed_weight = self.missed_weight.saturating_add(if early { 1 } else { TIMEOUT_WEIGHT });
        let silent = self.is_silent(now, timeout);
        let fell_silent = silent && !self.known_silent;
        self.known_silent |= silent;
        if fell_silent {
            self.silent_since = now;
        }
        MissedCall { retry_now: early && !silent, fell_silent }
    }

    /// Records that the counter lost units: what was known of its counts is as uncertain as after a
    /// silence.
    pub fn on_data_loss(&mut self, now: Millis) {
        (self.silent_since, self.recovered_at) = (now, now);
    }

    /// Length of the current or last silence, and when it ended; that is now while it lasts.
    #[must_use]
    pub fn last_outage(&self, now: Millis) -> (Millis, Millis) {
        let until = if self.known_silent { now } else { self.recovered_at };
        ((until - self.silent_since).max(0.0), until)
    }

    /// How long from now other gateways may still rely on their local buckets, not having noticed the
    /// recovery.
    #[must_use]
    pub fn recovery_remaining(&self, now: Millis) -> Millis {
        (self.recovered_at + RECOVERY_PROPAGATION - now).max(0.0)
    }

    /// Whether a probe of a silent counter is due; if so, it counts as sent.
    pub fn probe_due(&mut self, now: Millis) -> bool {
        let due = now >= self.last_probe + PROBE_INTERVAL;
        if due {
            self.last_probe = now;
        }
        due
    }

    fn adjust_call_share(&mut self, by: f64) {
        self.call_share =
            (self.call_share * (1.0 + CALL_SHARE_STEP * by)).clamp(MIN_CALL_SHARE, MAX_CALL_SHARE);
    }
}
