//! Backends: pools, connections and attempts.

pub mod backends;
pub mod connection;
