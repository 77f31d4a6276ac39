//! Clients of the shared counters.

pub mod counter;
pub mod counters;
