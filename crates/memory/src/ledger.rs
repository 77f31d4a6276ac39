//! The ledger: how much memory is charged, and how much may be.
//!
//! There are two pools, so that the long bodies of some callers cannot take what the short ones of others need: the
//! first [`SMALL_SIZE`] bytes of each reservation are charged to the small pool, the rest to the large one. The first
//! [`FREE_SIZE`] bytes are not charged: they belong to what a connection costs, and the number of connections is
//! bounded elsewhere.

use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;
use tokio::sync::Notify;

/// Bytes of each reservation that are not charged.
pub const FREE_SIZE: usize = 4 * 1024;
/// Bytes of each reservation that are charged to the small pool, including the free ones.
pub const SMALL_SIZE: usize = 64 * 1024;

/// Long reservations are multiples of this size, which is one of every usual page size.
pub const CHARGE_STEP: usize = SMALL_SIZE;

/// There is no memory for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoMemory {
    /// Others hold it now.
    #[error("the memory for callers is in use")]
    InUse,
    /// It is more than the whole pool has.
    #[error("more than the memory for callers")]
    TooLarge,
}

/// An amount of memory in both pools, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSizes {
    /// The pool for the first bytes of each reservation.
    pub small: usize,
    /// The pool for the rest of long bodies.
    pub large: usize,
}

impl PoolSizes {
    /// What a reservation of this size is charged.
    const fn charge(size: usize) -> Self {
        let small = if size < SMALL_SIZE { size } else { SMALL_SIZE };
        Self { small: small.saturating_sub(FREE_SIZE), large: size.saturating_sub(SMALL_SIZE) }
    }

    const fn exceeds(self, limits: Self) -> bool {
        self.small > limits.small || self.large > limits.large
    }
}

/// Bounds the sum of all reservations.
#[derive(Debug)]
pub struct MemoryLedger {
    limits: PoolSizes,
    used: Mutex<PoolSizes>,
    given_back: Notify,
}

impl MemoryLedger {
    /// A ledger with these limits.
    pub fn new(limits: PoolSizes) -> Arc<Self> {
        Arc::new(Self { limits, used: Mutex::default(), given_back: Notify::new() })
    }

    /// A ledger that bounds nothing, for callers whose number and size are bounded elsewhere.
    pub fn unbounded() -> Arc<Self> {
        Self::new(PoolSizes { small: usize::MAX, large: usize::MAX })
    }

    /// The limits of both pools.
    pub fn limits(&self) -> PoolSizes {
        self.limits
    }

    /// What is charged now.
    pub fn used(&self) -> PoolSizes {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether more than half of the small pool is charged.
    pub fn is_small_pool_scarce(&self) -> bool {
        self.used().small > self.limits.small / 2
    }

    /// The largest reservation that can be made while there is no other, in whole steps.
    pub fn largest_reservation(&self) -> usize {
        let steps = self.limits.large / CHARGE_STEP;
        (steps * CHARGE_STEP).saturating_add(SMALL_SIZE)
    }

    /// Whether a reservation of this size could be made now.
    ///
    /// # Errors
    /// If it could not.
    pub fn check(&self, size: usize) -> Result<(), NoMemory> {
        self.replace_in(&mut self.used(), PoolSizes::default(), PoolSizes::charge(size))
    }

    /// An empty reservation.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { ledger: self.clone(), size: 0 }
    }

    fn replace(&self, before: PoolSizes, after: PoolSizes) -> Result<(), NoMemory> {
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        self.replace_in(&mut used, before, after)
    }

    fn replace_in(&self, used: &mut PoolSizes, before: PoolSizes, after: PoolSizes) -> Result<(), NoMemory> {
        if after.exceeds(self.limits) {
            return Err(NoMemory::TooLarge);
        }
        let sum = PoolSizes {
            small: (used.small - before.small).saturating_add(after.small),
            large: (used.large - before.large).saturating_add(after.large),
        };
        // What shrinks is never refused.
        let grows = after.small > before.small || after.large > before.large;
        if grows && sum.exceeds(self.limits) {
            return Err(NoMemory::InUse);
        }
        *used = sum;
        Ok(())
    }
}

/// Memory charged to a caller until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    ledger: Arc<MemoryLedger>,
    size: usize,
}

impl Reservation {
    /// The size in bytes, including the part that is not charged.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Changes the size.
    ///
    /// # Errors
    /// If it would grow and there is no memory for it; the size stays as it was.
    pub fn resize(&mut self, size: usize) -> Result<(), NoMemory> {
        let (before, after) = (PoolSizes::charge(self.size), PoolSizes::charge(size));
        if before != after {
            self.ledger.replace(before, after)?;
        }
        if size < self.size && before != after {
            self.ledger.given_back.notify_waiters();
        }
        self.size = size;
        Ok(())
    }

    /// Changes the size as soon as there is memory for it. The caller bounds the wait.
    ///
    /// # Errors
    /// If there can never be.
    pub async fn resize_when_free(&mut self, size: usize) -> Result<(), NoMemory> {
        let ledger = self.ledger.clone();
        loop {
            let given_back = ledger.given_back.notified();
            match self.resize(size) {
                Err(NoMemory::InUse) => given_back.await,
                other => return other,
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Shrinking is never refused.
        let _ = self.resize(0);
    }
}
