//! Properties of the ledger: it is never over its limits, and everything that was reserved is given back.

use bytes::Bytes;
use fennelscale_memory::buffer::BodyBuffer;
use fennelscale_memory::ledger::{FREE_SIZE, MemoryLedger, NoMemory, PoolSizes, Reservation, SMALL_SIZE};
use proptest::prelude::*;
use std::time::Duration;
use tokio::time::timeout;

const LIMITS: PoolSizes = PoolSizes { small: 200_000, large: 1_000_000 };
const WHOLE: usize = LIMITS.large + SMALL_SIZE;

fn is_within(used: PoolSizes) -> bool {
    used.small <= LIMITS.small && used.large <= LIMITS.large
}

proptest! {
    #[test]
    fn the_sum_is_exact_never_over_the_limits_and_zero_at_the_end(
        steps in prop::collection::vec((0_usize..12, 0_usize..WHOLE + 100), 1..200),
    ) {
        let ledger = MemoryLedger::new(LIMITS);
        let mut held: Vec<Reservation> = (0..12).map(|_| ledger.reservation()).collect();
        for (which, size) in steps {
            let (before, used) = (held[which].size(), ledger.used());
            match held[which].resize(size) {
                Ok(()) => prop_assert_eq!(held[which].size(), size),
                Err(error) => {
                    prop_assert!(size > before, "what shrinks is not refused");
                    prop_assert_eq!((held[which].size(), ledger.used()), (before, used));
                    prop_assert_eq!(error == NoMemory::TooLarge, size > WHOLE);
                }
            }
            let small = |r: &Reservation| r.size().min(SMALL_SIZE).saturating_sub(FREE_SIZE);
            let large = |r: &Reservation| r.size().saturating_sub(SMALL_SIZE);
            let sum = PoolSizes {
                small: held.iter().map(small).sum(),
                large: held.iter().map(large).sum(),
            };
            prop_assert_eq!(ledger.used(), sum);
            prop_assert!(is_within(sum));
        }
        held.clear();
        prop_assert_eq!(ledger.used(), PoolSizes::default());
    }

    #[test]
    fn a_body_is_what_was_appended_and_charged_for_as_long_as_it_is_held(
        lengths in prop::collection::vec(0_usize..40_000, 0..30),
    ) {
        let ledger = MemoryLedger::new(LIMITS);
        let mut buffer = BodyBuffer::new(&ledger, WHOLE);
        let mut expected = Vec::new();
        for (number, piece_length) in lengths.into_iter().enumerate() {
            let piece = vec![number as u8; piece_length];
            let length = buffer.len();
            if buffer.append(&piece).is_ok() {
                expected.extend_from_slice(&piece);
            } else {
                prop_assert_eq!(buffer.len(), length);
            }
            prop_assert!(is_within(ledger.used()));
        }
        let bytes = buffer.into_bytes();
        prop_assert!(bytes == expected);
        let used = ledger.used();
        prop_assert!(used.small + used.large + FREE_SIZE >= expected.len());
        let copy: Bytes = bytes.clone();
        drop(bytes);
        prop_assert_eq!(ledger.used(), used);
        drop(copy);
        prop_assert_eq!(ledger.used(), PoolSizes::default());
    }
}

#[test]
fn long_bodies_leave_room_for_short_ones() {
    let ledger = MemoryLedger::new(LIMITS);
    let mut long = ledger.reservation();
    long.resize(WHOLE).expect("the whole pool");
    let mut other = ledger.reservation();
    assert_eq!(other.resize(SMALL_SIZE + 1), Err(NoMemory::InUse));
    assert_eq!(other.resize(SMALL_SIZE), Ok(()));
}

#[test]
fn bytes_in_small_pieces_cost_no_more_than_in_one() {
    let ledger = MemoryLedger::new(LIMITS);
    let mut buffer = BodyBuffer::new(&ledger, WHOLE);
    for _ in 0..3 * SMALL_SIZE {
        buffer.append(b"x").expect("memory");
    }
    let used = ledger.used();
    assert!(used.small + used.large <= 3 * SMALL_SIZE);
}

#[tokio::test(flavor = "current_thread")]
async fn who_waits_gets_what_is_given_back_and_a_cancelled_wait_keeps_nothing() {
    let ledger = MemoryLedger::new(LIMITS);
    let mut first = ledger.reservation();
    first.resize(WHOLE).expect("the whole pool");
    let mut second = ledger.reservation();
    assert!(timeout(Duration::from_millis(20), second.resize_when_free(WHOLE)).await.is_err());
    let used = ledger.used();
    let waiting = async { second.resize_when_free(WHOLE).await };
    let ending = async {
        tokio::task::yield_now().await;
        assert_eq!(ledger.used(), used);
        drop(first);
    };
    let (waited, ()) = tokio::join!(waiting, ending);
    assert_eq!(waited, Ok(()));
    assert_eq!(second.resize_when_free(WHOLE + 1).await, Err(NoMemory::TooLarge));
    drop(second);
    assert_eq!(ledger.used(), PoolSizes::default());
}
