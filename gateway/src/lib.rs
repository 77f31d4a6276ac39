//! The real gateway: the data plane's engine with the counters, the discovery and the clients' protocol of the deployments
//! in service.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod back;
pub mod counting;
pub mod fleet;
pub mod front;
pub use fennelscale_dataplane::{clock, engine, faults, lifecycle, task};
