//! How one counter is: at ease or pressed, there or silent.

use crate::Millis;

/// A counter is silent when it was not heard for so many time-outs ...
const SILENT_AFTER: f64 = 3.0;
/// ... and more calls went without an answer than weigh as much as one time-out, which weighs as many as so many spoilt
/// answers: who spoils them is there, unless it does nothing else.
const SILENCE: u32 = 4;
/// What ends without an answer before this share of the time-out was spoilt or broken, not late.
const SOON_SHARE: f64 = 0.5;
/// Calls should be answered within this share of their time-out: slower, and fewer are made. 0.6 was played: better with 60
/// gateways, worse with 300, which press the counter to that same latency.
const EASE_SHARE: f64 = 0.3;
/// By how much an instant answer raises the share of calls made; a late one lowers it by up to twice that.
const EASE_STEP: f64 = 0.2;
/// The least share of calls still made: who never asks never learns that the counter is back.
const EASE_LEAST: f64 = 0.1;
/// The most: above 1 there are calls to spare.
const EASE_MOST: f64 = 2.0;
/// A silent counter is asked this often whether it is back ...
const PROBE: Millis = 200.0;
/// ... so all gateways have heard of it within this: a probe, its time-out, the way.
const RETURN: Millis = 300.0;

/// How a call went without a total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissedCall {
    /// It may be made again at once: the counter is there, and there is time.
    pub retry_now: bool,
    /// With it the counter has fallen silent.
    pub fell_silent: bool,
}

/// One counter as one gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterHealth {
    /// The share of the calls wanted that the counter can bear, by how fast it answers.
    pub call_share: f64,
    /// Calls without an answer since the last one with, by weight.
    pub missed_weight: u32,
    /// When it was last heard.
    pub last_answer: Millis,
    /// Whether it has been found silent and not been heard since.
    pub known_silent: bool,
    /// When the last silence, or loss of what was counted, was found, and when it was over.
    pub silent_since: Millis,
    /// See `silent_at`.
    pub recovered_at: Millis,
    /// When it was last asked whether it is back.
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
    /// Whether it is silent, where a call is given up after `timeout`.
    #[must_use]
    pub fn is_silent(&self, now: Millis, timeout: Millis) -> bool {
        self.missed_weight > SILENCE && now - self.last_answer > timeout * SILENT_AFTER
    }

    /// A total came after `latency`; whether that ended a silence.
    pub fn on_answer(&mut self, now: Millis, latency: Millis, timeout: Millis) -> bool {
        self.step((1.0 - latency / (timeout * EASE_SHARE)).max(-2.0));
        (self.missed_weight, self.last_answer) = (0, now);
        let back = std::mem::take(&mut self.known_silent);
        if back {
            self.recovered_at = now;
        }
        back
    }

    /// A call ended after `latency` without a total. `unknown`: it may have been added; else it was turned away or never got
    /// there, which is as good as late. A connection that broke in time says nothing of how much the counter can bear.
    pub fn on_missed(&mut self, now: Millis, latency: Millis, timeout: Millis, unknown: bool) -> MissedCall {
        let late = (1.0 - latency / (timeout * EASE_SHARE)).clamp(-2.0, 0.0);
        self.step(if unknown { late } else { -2.0 });
        let soon = unknown && latency < timeout * SOON_SHARE;
        self.missed_weight = self.missed_weight.saturating_add(if soon { 1 } else { SILENCE });
        let silent = self.is_silent(now, timeout);
        let fell = silent && !self.known_silent;
        self.known_silent |= silent;
        if fell {
            self.silent_since = now;
        }
        MissedCall { retry_now: soon && !silent, fell_silent: fell }
    }

    /// It was found to have forgotten what was added: what was known of its counts is as good as from before a silence.
    pub fn on_data_loss(&mut self, now: Millis) {
        (self.silent_since, self.recovered_at) = (now, now);
    }

    /// For how long it was silent until when: now, or the end of the last silence.
    #[must_use]
    pub fn last_outage(&self, now: Millis) -> (Millis, Millis) {
        let until = if self.known_silent { now } else { self.recovered_at };
        ((until - self.silent_since).max(0.0), until)
    }

    /// For how long from now other gateways may still stand alone that have not heard it again.
    #[must_use]
    pub fn recovery_remaining(&self, now: Millis) -> Millis {
        (self.recovered_at + RETURN - now).max(0.0)
    }

    /// Whether it is time to ask a silent one whether it is back.
    pub fn probe_due(&mut self, now: Millis) -> bool {
        let due = now >= self.last_probe + PROBE;
        if due {
            self.last_probe = now;
        }
        due
    }

    fn step(&mut self, by: f64) {
        self.call_share = (self.call_share * (1.0 + EASE_STEP * by)).clamp(EASE_LEAST, EASE_MOST);
    }
}
