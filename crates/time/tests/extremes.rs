//! Extreme times: conversion and addition neither panic nor turn "no limit" into "at once".

use fennelscale_time::{Later, MAX_DURATION, MAX_MILLIS, from_millis};
use std::time::{Duration, Instant};

const HUGE: [f64; 5] = [9.223_372_036_854_776e21, 1.8e22, 1e303, f64::MAX, f64::INFINITY];

/// Guards against the end of a process by a very long time: one conversion panicked, another returned zero.
#[test]
fn a_time_that_is_too_large_becomes_the_longest_one() {
    for millis in HUGE {
        assert_eq!(from_millis(millis), MAX_DURATION, "{millis}");
    }
    assert_eq!(from_millis(MAX_MILLIS), MAX_DURATION);
}

#[test]
fn ordinary_times_are_converted_exactly_and_others_become_zero() {
    assert_eq!(from_millis(2500.0), Duration::from_millis(2500));
    assert_eq!(from_millis(0.5), Duration::from_micros(500));
    for millis in [0.0, -0.0, -1.0, f64::MIN, f64::NEG_INFINITY, f64::NAN, f64::MIN_POSITIVE] {
        assert_eq!(from_millis(millis), Duration::ZERO, "{millis}");
    }
}

/// Guards against the end of a process by the sum of an instant and a very long time.
#[test]
fn an_instant_can_be_made_later_by_any_duration() {
    let now = Instant::now();
    assert_eq!(now.later_by(Duration::from_secs(3)), now + Duration::from_secs(3));
    let of_tokio = tokio::time::Instant::from_std(now);
    for duration in [MAX_DURATION, Duration::from_secs(i64::MAX as u64), Duration::MAX] {
        assert_eq!(now.later_by(duration), now + MAX_DURATION, "{duration:?}");
        assert_eq!(of_tokio.later_by(duration), of_tokio + MAX_DURATION, "{duration:?}");
        // A second time, as where a deadline is extended.
        assert!(now.later_by(duration).later_by(duration) > now.later_by(duration));
    }
}
