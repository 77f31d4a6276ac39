//! A fault-tolerant time of day, although single clocks jump.
//!
//! Each core member's clock is read by request and response: a request sent at `s` and answered with the time
//! of day `w` at `r` (both by the local monotonic clock) shows that true time minus monotonic time lies in
//! `[w - r - E, w - s + E]`, where `E` ([`MAX_CLOCK_ERROR`]) is the largest error of a correct clock. With `n`
//! members, of which `k` may be wrong at once and `h` have answered, true time lies where at least `h - k` of
//! these intervals overlap, as long as no more than `k` are wrong. A majority must agree: if `h - k` is not more
//! than `n / 2`, there is no result. (With six members and one wrong clock: five answer, four agree.) Between
//! readings the interval grows by [`MAX_DRIFT`] of the elapsed time. A reading that contradicts the interval
//! makes the time untrusted until readings agree for [`DISTRUST_PERIOD`].

use crate::Millis;
use fennelscale_messages::Host;
use std::collections::BTreeMap;

/// The largest error of a correct clock, in ms.
pub const MAX_CLOCK_ERROR: Millis = 300.0;
/// The largest relative drift between two monotonic clocks.
pub const MAX_DRIFT: f64 = 0.001;
/// How long the answer of a core member is used, in ms.
const MAX_READING_AGE: Millis = 4000.0;
/// How long the last interval is extrapolated without a new one, in ms: a proxy may be without a registry, or
/// the core without a majority, for a minute.
pub const MAX_EXTRAPOLATION: Millis = 60_000.0;
/// After a contradiction, no time is trusted until the readings have agreed for this long, in ms.
pub const DISTRUST_PERIOD: Millis = 10_000.0;
/// An interval wider than this is too uncertain to drain by, in ms.
const MAX_INTERVAL: Millis = 5000.0;

/// An interval that contains true time, in ms since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeInterval {
    /// The earliest possible time.
    pub earliest: Millis,
    /// The latest possible time.
    pub latest: Millis,
}

impl TimeInterval {
    /// The interval after `by` ms of a monotonic clock have passed.
    pub fn advanced_by(self, by: Millis) -> Self {
        let by = by.max(0.0);
        Self {
            earliest: self.earliest + by * (1.0 - MAX_DRIFT),
            latest: self.latest + by * (1.0 + MAX_DRIFT),
        }
    }

    fn intersection(self, other: Self) -> Option<Self> {
        let common =
            Self { earliest: self.earliest.max(other.earliest), latest: self.latest.min(other.latest) };
        (common.earliest <= common.latest).then_some(common)
    }
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Millis,
    interval: TimeInterval,
}

/// One machine's estimate of true time.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    readings: BTreeMap<Host, Reading>,
    estimate: Option<Reading>,
    /// Since when readings contradict the estimate.
    contradicted_since: Option<Millis>,
}

impl Clock {
    /// Records a core member's time of day `wall`, read between `sent` and `now` of the local monotonic
    /// clock.
    pub fn record_reading(&mut self, member: Host, sent: Millis, now: Millis, wall: Millis) {
        let interval = TimeInterval {
            earliest: wall - MAX_CLOCK_ERROR,
            latest: wall + (now - sent).max(0.0) + MAX_CLOCK_ERROR,
        };
        self.readings.insert(member, Reading { at: now, interval });
    }

    /// Updates the estimate from all readings; to be called regularly. `members` are the members of the core,
    /// of which `max_faulty` may have a wrong clock at once.
    pub fn update(&mut self, now: Millis, members: &[Host], max_faulty: usize) {
        self.readings
            .retain(|member, reading| members.contains(member) && now - reading.at < MAX_READING_AGE);
        let Some(fresh) = self.agreed(now, members.len(), max_faulty) else { return };
        let previous = self.estimate.filter(|estimate| now - estimate.at < MAX_EXTRAPOLATION);
        let combined =
            previous.map(|estimate| estimate.interval.advanced_by(now - estimate.at).intersection(fresh));
        match combined {
            Some(None) => {
                let since = *self.contradicted_since.get_or_insert(now);
                if now - since >= DISTRUST_PERIOD {
                    (self.estimate, self.contradicted_since) =
                        (Some(Reading { at: now, interval: fresh }), None);
                }
            }
            Some(Some(combined)) => {
                (self.estimate, self.contradicted_since) =
                    (Some(Reading { at: now, interval: combined }), None);
            }
            None => {
                (self.estimate, self.contradicted_since) = (Some(Reading { at: now, interval: fresh }), None)
            }
        }
    }

    /// The interval on which enough members agree.
    fn agreed(&self, now: Millis, members: usize, max_faulty: usize) -> Option<TimeInterval> {
        // Of three members one may be wrong, of one or two none: a majority must remain in any case.
        let max_faulty = max_faulty.max(1).min(members.saturating_sub(1) / 2);
        let required = self.readings.len().checked_sub(max_faulty).filter(|agree| *agree > members / 2)?;
        let intervals: Vec<TimeInterval> =
            self.readings.values().map(|r| r.interval.advanced_by(now - r.at)).collect();
        let covers = |at: Millis| intervals.iter().filter(|s| s.earliest <= at && at <= s.latest).count();
        let edges =
            intervals.iter().flat_map(|s| [s.earliest, s.latest]).filter(|at| covers(*at) >= required);
        let (mut earliest, mut latest) = (f64::MAX, f64::MIN);
        for at in edges {
            (earliest, latest) = (earliest.min(at), latest.max(at));
        }
        (earliest <= latest).then_some(TimeInterval { earliest, latest })
    }

    /// The interval that contains true time now; `None` if no time can be trusted.
    pub fn now(&self, now: Millis) -> Option<TimeInterval> {
        let estimate = self
            .estimate
            .filter(|estimate| self.contradicted_since.is_none() && now - estimate.at < MAX_EXTRAPOLATION)?;
        let interval = estimate.interval.advanced_by(now - estimate.at);
        (interval.latest - interval.earliest <= MAX_INTERVAL).then_some(interval)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const TRUE_TIME: Millis = 1_800_000_000_000.0;

    /// Checks a core of `n` clocks, of which some jump: `wall = true + error`, `monotonic = true -
    /// TRUE_TIME`.
    fn check_clocks(n: u32, wrong: usize, errors: &[f64], jumps: &[(usize, u32, f64)], delays: &[f64]) {
        let members: Vec<Host> = (0..n).map(Host).collect();
        let mut clock = Clock::default();
        let mut offsets = vec![0.0; n as usize];
        for step in 0..400_usize {
            let now = step as f64 * 300.0;
            for (_, seat, by) in jumps.iter().filter(|(at, ..)| *at == step) {
                // No more clocks are wrong at once than tolerated.
                if offsets.iter().filter(|o| **o != 0.0).count() < wrong || offsets[*seat as usize] != 0.0 {
                    offsets[*seat as usize] = *by;
                }
            }
            for (at, member) in members.iter().enumerate() {
                let delay = delays[(step + at) % delays.len()];
                let back = delays[(step * 7 + at) % delays.len()];
                if delay > 900.0 {
                    continue;
                }
                let read_at = now - back;
                let wall = TRUE_TIME + read_at + errors[at % errors.len()] * MAX_CLOCK_ERROR + offsets[at];
                clock.record_reading(*member, read_at - delay, now, wall);
            }
            clock.update(now, &members, wrong);
            if let Some(interval) = clock.now(now) {
                let truth = TRUE_TIME + now;
                assert!(interval.earliest <= truth && truth <= interval.latest, "{interval:?} at {truth}");
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(300))]
        #[test]
        fn the_interval_contains_true_time_while_few_enough_clocks_jump(
            n in 3_u32..8,
            errors in prop::collection::vec(-1.0..1.0_f64, 8),
            jumps in prop::collection::vec((0_usize..400, 0_u32..3, -9000.0..9000.0_f64), 0..8),
            delays in prop::collection::vec(0.5..1000.0_f64, 5..12),
        ) {
            check_clocks(n, 1, &errors, &jumps, &delays);
        }
    }

    #[test]
    fn too_few_members_give_no_time_and_an_estimate_is_extrapolated_for_a_while() {
        let members: Vec<Host> = (0..6).map(Host).collect();
        let mut clock = Clock::default();
        for member in &members[..4] {
            clock.record_reading(*member, 0.0, 10.0, TRUE_TIME);
        }
        clock.update(10.0, &members, 1);
        assert_eq!(clock.now(10.0), None, "four of six members are too few if one may be wrong");
        clock.record_reading(members[4], 0.0, 10.0, TRUE_TIME);
        clock.update(10.0, &members, 1);
        assert!(clock.now(10.0).is_some());
        assert!(clock.now(MAX_EXTRAPOLATION).is_some() && clock.now(MAX_EXTRAPOLATION + 20.0).is_none());
    }

    #[test]
    fn a_contradiction_is_not_trusted_until_the_readings_agree_for_a_while() {
        let members: Vec<Host> = (0..3).map(Host).collect();
        let mut clock = Clock::default();
        let mut read_all = |at: f64, jump: f64| {
            members
                .iter()
                .for_each(|member| clock.record_reading(*member, at - 1.0, at, TRUE_TIME + at + jump));
            clock.update(at, &members, 1);
            clock.now(at)
        };
        assert!(read_all(0.0, 0.0).is_some());
        assert_eq!(read_all(300.0, 60_000.0), None, "all clocks jump at once");
        assert_eq!(read_all(600.0, 60_000.0), None);
        assert!(read_all(900.0 + DISTRUST_PERIOD, 60_000.0).is_some());
    }

    #[test]
    fn two_wrong_clocks_of_six_give_no_time_rather_than_a_wrong_one() {
        let members: Vec<Host> = (0..6).map(Host).collect();
        let mut clock = Clock::default();
        for (n, member) in members.iter().enumerate() {
            clock.record_reading(*member, 0.0, 1.0, TRUE_TIME + if n < 2 { 60_000.0 } else { 0.0 });
        }
        clock.update(1.0, &members, 1);
        assert_eq!(clock.now(1.0), None);
    }
}
