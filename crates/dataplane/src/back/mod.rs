//! Backend side: connection pools, connections and attempts.

pub mod backends;
mod break_rates;
pub mod connection;
mod connection_history;
mod exchange_counts;
mod known_backend;
mod protocol;
mod run_together;
mod tracked_stream;
mod workload;
