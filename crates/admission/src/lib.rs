//! Admission control: which connections are admitted, queued, rejected or evicted, and which client they
//! belong to.
//!
//! This package does no I/O and has no clock: the host reports connections, requests and responses with their
//! time and carries out the returned actions. The operators' settings are in
//! `fennelscale_settings::admission`.
//!
//! - [`admission`]: the decisions on connections, based on [`caps`] (limits per client), [`known_clients`]
//!   (recently served clients), [`returning_clients`] (rejected clients that retry) and [`eviction`] (the
//!   eviction order).
//! - [`budget`]: the division of the process's file descriptors.
//! - [`networks`]: which addresses form a client, and its tier and proxy.
//! - [`client_origin`]: the client address that a proxy reports for a connection or a request.
//! - [`slow_clients`]: limits on slow clients.
//! - [`gcra`][]: rate limits.

#![warn(clippy::arithmetic_side_effects)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod budget;
pub mod caps;
pub mod client_origin;
pub mod eviction;
pub mod gcra;
pub mod known_clients;
pub mod networks;
pub mod returning_clients;
pub mod slow_clients;

use std::time::Duration;

/// A point on the host's monotonic clock, as the time since an arbitrary start.
pub type Time = Duration;
/// Identifies a connection; never reused.
pub type ConnectionId = u64;
/// A client or a site: the network of all addresses that share a prefix.
pub type Client = ipnet::IpNet;

/// Whether a client is known, that is, had requests served recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClientClass {
    /// Had no or too few requests served recently.
    Unknown = 0,
    /// Had requests served recently.
    Known = 1,
}
