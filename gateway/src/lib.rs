//! The gateway program: the data plane with the counters, service discovery and client protocol of production
//! deployments.

#![forbid(unsafe_code)]
#![warn(clippy::arithmetic_side_effects)]
#![warn(missing_docs)]

pub mod back;
pub mod counting;
pub mod fleet;
pub mod front;
pub use fennelscale_dataplane::{clock, engine, faults, lifecycle, task};
