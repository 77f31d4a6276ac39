//! A simulation of the whole system (the post's diorama): the machines of stores, registries and proxies as the programs run them,
//! with hosts, links, disks and clocks replaced. Virtual time, one seed, no threads.
//!
//! # What is looked at
//!
//! After every step and at the end, from what operators were told and what proxies hold, never from what a machine says of itself:
//!
//! - *Lost*: a change that was acknowledged is in force at every proxy once all is well, and is never followed by an older one.
//! - *Late*: a proxy in touch holds a change no later than [`APPLY_TIMEOUT`] after its acknowledgement.
//! - *Back*: in one life no proxy takes an older version of an item than it had.
//! - *Quota*: over all proxies, whatever fails, no tenant is let in more often than the rule bears.
//! - *Drain*: a proxy in touch thinks no backend ready that the list has shown to drain for [`DRAIN_TIMEOUT`].
//! - *Cold*: where clients press, a backend that has come back cold gets no more than the rule bears, and nothing is sent to a
//!   backend without terms.
//! - *Hands*: no two registries hold one duty.

mod core;
mod decisions;
mod proxy;
mod world;

pub use world::{Config, Fault, Simulation};

/// Milliseconds of virtual time.
pub type Millis = f64;

/// A change is in force everywhere in touch after this: the usual `configApply`.
pub const APPLY_TIMEOUT: Millis = 4000.0;
/// A backend gets nothing after this: the usual `drain`.
pub const DRAIN_TIMEOUT: Millis = 4000.0;
/// Calm for so long makes a machine one in touch.
pub const RECOVERY_TIME: Millis = 5000.0;
/// The rule's figures for quotas: window in ms, overage, slack.
pub const QUOTA_LIMITS: (Millis, f64, f64) = (5000.0, 0.1, 20.0);

/// Numbers by chance, the same for the same seed.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Of a seed.
    pub fn new(seed: u64) -> Self {
        Self(fennelscale_messages::mix(seed ^ 0xd10_4a3a))
    }

    /// From 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (fennelscale_messages::mix(self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Below a number.
    pub fn below(&mut self, n: usize) -> usize {
        (self.fraction() * n as f64) as usize
    }
}
