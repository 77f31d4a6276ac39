//! The memory that a process holds for its callers: request bodies, answers, and buffers that have grown.
//!
//! A [`ledger::MemoryLedger`] bounds the sum. What is held is charged by a [`ledger::Reservation`], which gives it back
//! when it is dropped, so that a cancelled wait, a closed connection or a lost race cannot keep it. A
//! [`buffer::BodyBuffer`] keeps a body in one piece together with its reservation, and [`read`] fills it from the
//! HTTP library.

#![warn(clippy::arithmetic_side_effects)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

pub mod buffer;
pub mod ledger;
pub mod read;
