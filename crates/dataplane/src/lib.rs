//! The data plane: runs the decision module `doorcourse` on sockets. Everything runs on one thread.
//! [`engine`] asks the decision module; the other modules do the I/O.
//!
//! Both the quota gateway in service and the proxy of the system are built on it, independently of each
//! other.

#![warn(clippy::arithmetic_side_effects)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

pub mod back;
pub mod clock;
pub mod engine;
pub mod faults;
pub mod front;
pub mod lifecycle;
pub mod task;
