//! A time of day that can be trusted although single clocks jump.
//!
//! Each seat's clock is read by question and answer: a question sent at `s` and answered with time of day `w` at `r` (both by
//! the own steady clock) says that true time less steady time lies in `[w - r - E, w - s + E]`, where `E` ([`MAX_CLOCK_ERROR`]) is what a
//! clock in order may be wrong. With `n` seats of which `k` may be wrong at once, `h` of them heard: true time lies where at
//! least `h - k` of these spans overlap, as long as no more than `k` are wrong. That is asked for a majority: `h - k > n / 2`,
//! else nothing is said. (For six seats and one wrong clock: five heard, four agree.) Between readings the span grows by
//! [`MAX_DRIFT`] of the time since; a reading that contradicts it leaves nothing to trust until readings agree for
//! [`DISTRUST_PERIOD`].

use crate::Millis;
use fennelscale_messages::Host;
use std::collections::BTreeMap;

/// A clock in order is no more than this from true time, in ms.
pub const MAX_CLOCK_ERROR: Millis = 300.0;
/// Steady clocks run apart by no more than this part.
pub const MAX_DRIFT: f64 = 0.001;
/// A seat's answer counts for so long.
const MAX_READING_AGE: Millis = 4000.0;
/// Without a new reading the last one is carried on for so long: a proxy's minute without a registry, a core's without a majority.
pub const MAX_EXTRAPOLATION: Millis = 60_000.0;
/// After a contradiction nothing is trusted until readings agree for so long.
pub const DISTRUST_PERIOD: Millis = 10_000.0;
/// A span wider than this tells too little to drain by.
const MAX_INTERVAL: Millis = 5000.0;

/// A span that true time lies in, as ms since 1970.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeInterval {
    /// Not before.
    pub earliest: Millis,
    /// Not after.
    pub latest: Millis,
}

impl TimeInterval {
    /// The same span so many steady ms later.
    pub fn advanced_by(self, by: Millis) -> Self {
        let by = by.max(0.0);
        Self {
            earliest: self.earliest + by * (1.0 - MAX_DRIFT),
            latest: self.latest + by * (1.0 + MAX_DRIFT),
        }
    }

    fn meets(self, other: Self) -> Option<Self> {
        let met = Self { earliest: self.earliest.max(other.earliest), latest: self.latest.min(other.latest) };
        (met.earliest <= met.latest).then_some(met)
    }
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Millis,
    span: TimeInterval,
}

/// What one machine knows of true time.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    seats: BTreeMap<Host, Reading>,
    fix: Option<Reading>,
    against: Option<Millis>,
}

impl Clock {
    /// A seat's time of day `wall`, read after `sent` and before `now` by the own steady clock.
    pub fn record_reading(&mut self, seat: Host, sent: Millis, now: Millis, wall: Millis) {
        let span = TimeInterval {
            earliest: wall - MAX_CLOCK_ERROR,
            latest: wall + (now - sent).max(0.0) + MAX_CLOCK_ERROR,
        };
        self.seats.insert(seat, Reading { at: now, span });
    }

    /// Looks at all readings; to be called now and then. `seats` vote, `wrong` of them may be wrong at once.
    pub fn update(&mut self, now: Millis, seats: &[Host], wrong: usize) {
        self.seats.retain(|seat, reading| seats.contains(seat) && now - reading.at < MAX_READING_AGE);
        let Some(fresh) = self.agreed(now, seats.len(), wrong) else { return };
        let before = self.fix.filter(|fix| now - fix.at < MAX_EXTRAPOLATION);
        let met = before.map(|fix| fix.span.advanced_by(now - fix.at).meets(fresh));
        match met {
            Some(None) => {
                let since = *self.against.get_or_insert(now);
                if now - since >= DISTRUST_PERIOD {
                    (self.fix, self.against) = (Some(Reading { at: now, span: fresh }), None);
                }
            }
            Some(Some(met)) => {
                (self.fix, self.against) = (Some(Reading { at: now, span: met }), None);
            }
            None => (self.fix, self.against) = (Some(Reading { at: now, span: fresh }), None),
        }
    }

    /// The span in which enough seats agree.
    fn agreed(&self, now: Millis, seats: usize, wrong: usize) -> Option<TimeInterval> {
        // Of three seats one may be wrong, of one or two none: a majority must be left in any case.
        let wrong = wrong.max(1).min(seats.saturating_sub(1) / 2);
        let wanted = self.seats.len().checked_sub(wrong).filter(|agree| *agree > seats / 2)?;
        let spans: Vec<TimeInterval> = self.seats.values().map(|r| r.span.advanced_by(now - r.at)).collect();
        let covers = |at: Millis| spans.iter().filter(|s| s.earliest <= at && at <= s.latest).count();
        let edges = spans.iter().flat_map(|s| [s.earliest, s.latest]).filter(|at| covers(*at) >= wanted);
        let (mut earliest, mut latest) = (f64::MAX, f64::MIN);
        for at in edges {
            (earliest, latest) = (earliest.min(at), latest.max(at));
        }
        (earliest <= latest).then_some(TimeInterval { earliest, latest })
    }

    /// The span that true time lies in now; none where nothing can be trusted.
    pub fn now(&self, now: Millis) -> Option<TimeInterval> {
        let fix = self.fix.filter(|fix| self.against.is_none() && now - fix.at < MAX_EXTRAPOLATION)?;
        let span = fix.span.advanced_by(now - fix.at);
        (span.latest - span.earliest <= MAX_INTERVAL).then_some(span)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const TRUE: Millis = 1_800_000_000_000.0;

    /// A core of `n` clocks, of which some jump: `wall = true + error`, `steady = true - TRUE`.
    fn play(n: u32, wrong: usize, errors: &[f64], jumps: &[(usize, u32, f64)], delays: &[f64]) {
        let seats: Vec<Host> = (0..n).map(Host).collect();
        let mut clock = Clock::default();
        let mut off = vec![0.0; n as usize];
        for step in 0..400_usize {
            let now = step as f64 * 300.0;
            for (_, seat, by) in jumps.iter().filter(|(at, ..)| *at == step) {
                // No more than may be wrong at once.
                if off.iter().filter(|o| **o != 0.0).count() < wrong || off[*seat as usize] != 0.0 {
                    off[*seat as usize] = *by;
                }
            }
            for (at, seat) in seats.iter().enumerate() {
                let delay = delays[(step + at) % delays.len()];
                let back = delays[(step * 7 + at) % delays.len()];
                if delay > 900.0 {
                    continue;
                }
                let read_at = now - back;
                let wall = TRUE + read_at + errors[at % errors.len()] * MAX_CLOCK_ERROR + off[at];
                clock.record_reading(*seat, read_at - delay, now, wall);
            }
            clock.update(now, &seats, wrong);
            if let Some(span) = clock.now(now) {
                let truth = TRUE + now;
                assert!(span.earliest <= truth && truth <= span.latest, "{span:?} at {truth}");
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(300))]
        #[test]
        fn true_time_is_in_the_span_while_no_more_clocks_jump_than_may(
            n in 3_u32..8,
            errors in prop::collection::vec(-1.0..1.0_f64, 8),
            jumps in prop::collection::vec((0_usize..400, 0_u32..3, -9000.0..9000.0_f64), 0..8),
            delays in prop::collection::vec(0.5..1000.0_f64, 5..12),
        ) {
            play(n, 1, &errors, &jumps, &delays);
        }
    }

    #[test]
    fn without_enough_seats_nothing_is_said_and_a_fix_is_carried_on_for_a_while() {
        let seats: Vec<Host> = (0..6).map(Host).collect();
        let mut clock = Clock::default();
        for seat in &seats[..4] {
            clock.record_reading(*seat, 0.0, 10.0, TRUE);
        }
        clock.update(10.0, &seats, 1);
        assert_eq!(clock.now(10.0), None, "four of six, of which one may be wrong, are too few");
        clock.record_reading(seats[4], 0.0, 10.0, TRUE);
        clock.update(10.0, &seats, 1);
        assert!(clock.now(10.0).is_some());
        assert!(clock.now(MAX_EXTRAPOLATION).is_some() && clock.now(MAX_EXTRAPOLATION + 20.0).is_none());
    }

    #[test]
    fn a_core_that_contradicts_itself_is_not_trusted_until_it_agrees_for_a_while() {
        let seats: Vec<Host> = (0..3).map(Host).collect();
        let mut clock = Clock::default();
        let mut hear = |at: f64, jump: f64| {
            seats.iter().for_each(|seat| clock.record_reading(*seat, at - 1.0, at, TRUE + at + jump));
            clock.update(at, &seats, 1);
            clock.now(at)
        };
        assert!(hear(0.0, 0.0).is_some());
        assert_eq!(hear(300.0, 60_000.0), None, "all clocks jump at once");
        assert_eq!(hear(600.0, 60_000.0), None);
        assert!(hear(900.0 + DISTRUST_PERIOD, 60_000.0).is_some());
    }

    #[test]
    fn two_wrong_clocks_of_six_leave_nothing_to_trust_rather_than_a_wrong_time() {
        let seats: Vec<Host> = (0..6).map(Host).collect();
        let mut clock = Clock::default();
        for (n, seat) in seats.iter().enumerate() {
            clock.record_reading(*seat, 0.0, 1.0, TRUE + if n < 2 { 60_000.0 } else { 0.0 });
        }
        clock.update(1.0, &seats, 1);
        assert_eq!(clock.now(1.0), None);
    }
}
