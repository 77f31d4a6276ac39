//! Backend side: connection pools, connections and attempts.

pub mod backends;
pub mod connection;
