//! Matching the bytes of a backend connection to the requests that they answer.
//!
//! HTTP/1.1 responses do not name their request: a response belongs to a request by its position alone. A
//! backend that writes one byte too many shifts every later response of that connection. [`reuse`] detects
//! what can be detected, and restricts the reuse of connections where the remaining risk is not acceptable.

#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

pub mod reuse;
