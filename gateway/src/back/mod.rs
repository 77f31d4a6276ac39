//! Backends: service discovery and protocol. The data plane has the pools, connections and attempts.

pub mod discovery;
pub mod protocol;
pub use fennelscale_dataplane::back::{backends, connection};
