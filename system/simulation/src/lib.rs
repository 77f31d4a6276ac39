//! A simulation of the whole system: the state machines of stores, registries and proxies are those of the
//! programs; hosts, links, disks and clocks are replaced. Virtual time, one seed, no threads.
//!
//! # Invariants
//!
//! They are checked after every step and at the end, from what operators were told and what proxies hold,
//! never from what a machine reports about itself:
//!
//! - *Lost*: an acknowledged change is in force at every proxy once all faults are repaired, and is never
//!   followed by an older one.
//! - *Late*: a connected proxy holds a change no later than [`APPLY_TIMEOUT`] after its acknowledgement.
//! - *Back*: within one incarnation, no proxy replaces an item by an older version.
//! - *Quota*: over all proxies, whatever fails, no tenant is admitted more often than the bound allows.
//! - *Drain*: a connected proxy considers no backend ready that the list has shown as draining for
//!   [`DRAIN_TIMEOUT`].
//! - *Cold*: under load, a backend that has restarted cold gets no more than the bound allows, and nothing is
//!   sent to a backend without parameters.
//! - *Duties*: no two registries hold the same duty.

mod core;
mod decisions;
mod proxy;
mod simulation;

pub use simulation::{Config, Fault, Simulation};

/// Milliseconds of virtual time.
pub type Millis = f64;

/// A change must be in force at every connected proxy within this, in ms: the default `configApply`.
pub const APPLY_TIMEOUT: Millis = 4000.0;
/// A draining backend must get no more requests after this, in ms: the default `drain`.
pub const DRAIN_TIMEOUT: Millis = 4000.0;
/// Machines count as connected if no fault occurred for this long, in ms.
pub const RECOVERY_TIME: Millis = 5000.0;
/// The bound on quotas: window in ms, overage, slack.
pub const QUOTA_LIMITS: (Millis, f64, f64) = (5000.0, 0.1, 20.0);

/// A deterministic random number generator: the same seed gives the same numbers.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(fennelscale_messages::mix(seed ^ 0xd10_4a3a))
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (fennelscale_messages::mix(self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// An integer below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        (self.fraction() * n as f64) as usize
    }
}
