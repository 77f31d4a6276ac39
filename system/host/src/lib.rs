//! Runtime support for the system's programs: framed connections, the HTTP API, logging and startup.
//!
//! Everything runs on one thread. Decisions are left to the state machines, which say what to send, write and
//! answer.

#![warn(clippy::arithmetic_side_effects)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

mod answer_deadline;
pub mod arguments;
pub mod call;
pub mod error;
pub mod link;
pub mod log;
pub mod start;
mod transport;

#[cfg(feature = "link-faults")]
pub use transport::{LINK_ADDRESS_VARIABLE, LINK_FAULTS_VARIABLE};

use std::future::Future;

/// Spawns a task on the local thread; it may run until the program ends.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
