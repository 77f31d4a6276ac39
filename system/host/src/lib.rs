//! Plumbing of the system's programs: frames on sockets, links to others, calls from outside, logs, the start.
//!
//! Everything runs on one thread. Nothing is decided here: the machines say what to send, write and answer.

pub mod call;
pub mod error;
pub mod link;
pub mod log;
pub mod start;

use std::future::Future;

/// Runs a task for as long as the program runs.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
