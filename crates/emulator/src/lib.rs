//! Gateways in virtual time: the decision module as it runs in the daemon, a shared counter that fails by script, and
//! accounts that offer requests. Backends are always there and quick, so that only quotas are at stake.
//!
//! The same seed and script give the same run, to the last bit. Nothing here reads a clock or does I/O.

mod counter;
mod measure;
pub mod scene;
mod world;

pub use counter::{Counters, Fault};
pub use measure::{Figures, Sent, fullest, overshoot};
pub use world::{Account, Step, World};

/// A time or a span in milliseconds of virtual time.
pub type Millis = f64;
