//! Each piece of the argument by itself.

use fennelscale_quota::{
    AccountQuota, Bound, CounterHealth, Ledger, LocalBucket, Loss, Partition, PartitionError, TotalChange,
    UsageShare,
};
use proptest::prelude::*;

fn terms(times: f64, gateways: f64) -> AccountQuota {
    AccountQuota {
        rate: 16.0,
        burst: 24.0,
        ceiling_rate: 16.0 * times,
        ceiling_burst: 24.0 * times,
        max_request_units: 1.0,
        gateways,
    }
}

#[test]
fn what_a_count_forgot_is_missing_once() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.record_total(5.0, 7.0, true), TotalChange::Grew { growth: 7.0, confirmed: 0.0 });
    assert_eq!(ledger.record_total(2.0, 2.0, true), TotalChange::Forgot { missing: 5.0 });
    // The five are told again with the next call, others have added one.
    assert_eq!(ledger.record_total(5.0, 8.0, true), TotalChange::Grew { growth: 6.0, confirmed: 0.0 });
    assert_eq!(ledger.added, 7.0);
}

#[test]
fn a_block_in_doubt_is_found_if_the_count_grew_by_it_and_never_under_a_ceiling() {
    for (total, lenient, expected) in [(9.0, true, 6.0), (8.0, true, 0.0), (9.0, false, 0.0)] {
        let mut ledger = Ledger::default();
        ledger.record_total(2.0, 2.0, lenient);
        ledger.record_unknown(6.0, 0.0);
        let heard = ledger.record_total(1.0, total, lenient);
        assert_eq!(
            heard,
            TotalChange::Grew { growth: total - 2.0, confirmed: expected },
            "{total} {lenient}"
        );
    }
}

#[test]
fn units_given_back_by_a_call_in_doubt_are_not_forgotten_ones() {
    let mut ledger = Ledger::default();
    ledger.record_total(10.0, 10.0, false);
    ledger.record_unknown(0.0, -4.0);
    assert_eq!(ledger.record_total(0.0, 6.0, false), TotalChange::Grew { growth: -4.0, confirmed: 0.0 });
    assert!(matches!(ledger.record_total(0.0, 5.0, false), TotalChange::Forgot { .. }));
}

#[test]
fn a_share_is_unknown_until_enough_was_heard_and_follows_the_newest() {
    let mut share = UsageShare::default();
    assert_eq!(share.fraction(), None);
    share.record(0.0, 1.0, 1.0, 1000.0);
    assert_eq!(share.fraction(), None, "one unit says nothing");
    share.record(0.0, 9.0, 39.0, 1000.0);
    assert_eq!(share.fraction(), Some(0.25));
    share.record(10_000.0, 30.0, 40.0, 1000.0);
    assert!((share.fraction().expect("known") - 0.75).abs() < 0.01);
    // Others gave back more than was added: the share is a share all the same.
    share.record(10_000.0, 5.0, -90.0, 1000.0);
    assert!(share.fraction().is_none_or(|part| part <= 1.0));
}

#[test]
fn a_slice_used_evenly_owes_no_more_than_it_lacks() {
    let mut slice = LocalBucket::new(0.0, 24.0, &terms(0.0, 4.0), 0.25, [0.0, 1e6], 1.0);
    let mut used = 0.0;
    for second in 1..=60 {
        for _ in 0..4 {
            used += if slice.try_spend(f64::from(second) * 1000.0, 1.0) { 1.0 } else { 0.0 };
        }
    }
    assert_eq!(used, 240.0, "four units a second come in and are used");
    assert!(slice.unreported(60_000.0, used) <= 6.0);
    assert_eq!(slice.unreported(90_000.0, used), 0.0);
}

#[test]
fn under_a_ceiling_a_slice_starts_with_what_surely_nobody_else_spent() {
    let slice =
        |running, lost| LocalBucket::new(0.0, 24.0, &terms(1.6, 4.0), 0.4, [lost, running], 1.0).units;
    assert!((slice(1e6, 0.0) - 0.6 * 24.0 / 4.0).abs() < 1e-9);
    assert_eq!(slice(0.0, 0.0), 0.0, "just started, in place of one that may have spent it");
    assert!(
        (slice(1e6, 60_000.0) - 0.4 * 24.0).abs() < 1e-9,
        "what came in since and was not spent, up to its most"
    );
    assert_eq!(LocalBucket::new(0.0, 0.0, &terms(0.0, 64.0), 1.0 / 64.0, [0.0; 2], 1.0).units, 1.0);
}

#[test]
fn the_bound_is_the_ceiling_and_one_request_where_the_parts_fit() {
    for (loss, counters) in [(Loss::Whole, 1.0), (Loss::Partial, 1.0)] {
        let bound = Bound {
            quota: terms(1.6, 4.0),
            loss,
            split_counters: counters,
            detection_time: 300.0,
            clock_skew: 0.0,
        };
        for span in [0.0, 1000.0, 60_000.0] {
            assert!(
                (bound.max_units(span) - bound.ceiling_units(span) - 1.0).abs() < 1e-6,
                "{loss:?} {span}"
            );
        }
    }
    // Two counters that each hold the whole count grant one more quota for as long as nobody knows.
    let split = Bound {
        quota: terms(1.6, 4.0),
        loss: Loss::Whole,
        split_counters: 2.0,
        detection_time: 300.0,
        clock_skew: 0.0,
    };
    assert!(
        (split.max_units(60_000.0) - split.ceiling_units(60_000.0) - 1.0 - 24.0 - 16.0 * 0.3).abs() < 1e-6
    );
}

fn addresses(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("10.0.0.{n}:6400")).collect()
}

#[test]
fn a_change_of_counters_holds_from_its_time_on_and_moves_only_whom_it_must() {
    let mut partition = Partition::new(&addresses(4)).expect("usable");
    let before: Vec<usize> = (0..10_000).map(|account| partition.owner(account, 0.0)).collect();
    partition.replace_counters(&addresses(5), 1000.0).expect("usable");
    let place = |account: u64, at| partition.owner(account, at);
    assert!((0..10_000).all(|a| place(a, 999.9) == before[a as usize]), "windows of before stay");
    let moved: Vec<u64> = (0..10_000).filter(|a| place(*a, 1000.0) != before[*a as usize]).collect();
    assert!(moved.iter().all(|a| place(*a, 1000.0) == 4), "to the new one only");
    assert!((1800..2200).contains(&moved.len()), "a fifth: {}", moved.len());
    // Another gateway that names them in another order agrees.
    let mut order = addresses(5);
    order.reverse();
    let other = Partition::new(&order).expect("usable");
    let same = |a| partition.addresses()[place(a, 1000.0)] == other.addresses()[other.owner(a, 0.0)];
    assert!((0..10_000).all(same));
}

#[test]
fn unusable_counters_change_nothing() {
    let mut partition = Partition::new(&addresses(2)).expect("usable");
    let before = partition.clone();
    let twice = [addresses(1), addresses(1)].concat();
    assert_eq!(partition.replace_counters(&[], 0.0), Err(PartitionError::Empty));
    assert_eq!(partition.replace_counters(&twice, 0.0), Err(PartitionError::Duplicate(twice[0].clone())));
    assert_eq!(partition.replace_counters(&addresses(65), 0.0), Err(PartitionError::TooMany));
    assert_eq!(partition.replace_counters(&addresses(2), 5.0), Ok(()), "the same is no change");
    assert_eq!(partition, before);
}

#[test]
fn a_counter_is_silent_after_time_outs_sooner_than_after_spoilt_answers() {
    for (latency, calls) in [(50.0, 2), (1.0, 5)] {
        let mut health = CounterHealth::default();
        health.on_answer(1000.0, 1.0, 50.0);
        let fell: Vec<bool> = (0..6)
            .map(|n| health.on_missed(1200.0 + f64::from(n), latency, 50.0, true).fell_silent)
            .collect();
        assert_eq!(fell.iter().position(|fell| *fell), Some(calls - 1), "{latency} ms");
        assert!(health.on_answer(3000.0, 1.0, 50.0), "and back");
        assert_eq!(health.last_outage(9000.0), (3000.0 - 1200.0 - (calls - 1) as f64, 3000.0));
    }
}

proptest! {
    #[test]
    fn all_parts_together_stay_within_what_the_ceiling_bears(
        times in 1.0f64..4.0, shares in proptest::collection::vec(0.0f64..=1.0, 1..64),
    ) {
        let terms = terms(times, shares.len() as f64);
        for (loss, quotas) in [(Loss::Whole, times), (Loss::Partial, times - 1.0)] {
            let part = |own: f64| {
                let mut share = UsageShare::default();
                share.record(0.0, own * 100.0, 100.0, 1000.0);
                terms.local_share(&share, loss)
            };
            let sum: f64 = shares.iter().map(|own| part(*own)).sum();
            prop_assert!(sum <= quotas + 1e-9, "{loss:?}: {sum} quotas");
        }
    }

    #[test]
    fn a_slice_never_gives_more_than_it_held_and_what_came_in(
        gaps in proptest::collection::vec(0.0f64..500.0, 1..200), units in 0.1f64..3.0, part in 0.01f64..1.0,
    ) {
        let mut slice = LocalBucket::new(0.0, 24.0, &terms(1.6, 4.0), part, [0.0, 1e6], units);
        let (mut now, mut given, start) = (0.0, 0.0, slice.units);
        for gap in gaps {
            now += gap;
            given += if slice.try_spend(now, units) { units } else { 0.0 };
            prop_assert!(given <= start + 16.0 * part * now / 1000.0 + 1e-6);
        }
    }
}
