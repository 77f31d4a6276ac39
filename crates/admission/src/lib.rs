//! Which connections are admitted, held, refused or evicted, and whose they are.
//!
//! Nothing here does I/O or has a clock: the host tells of connections, requests and answers with the time, and carries
//! out the actions that come back. What is said of it by operators is `fennelscale_settings::admission`.
//!
//! - [`admission`]: the decisions on connections, over [`caps`] (caps), [`known_clients`] (who is known),
//!   [`returning_clients`] (who was told to come again) and [`eviction`] (who goes first).
//! - [`budget`]: how the process's descriptors are divided.
//! - [`networks`]: which addresses are one client, its tier, its proxy.
//! - [`client_origin`]: what proxies say of a connection or a request.
//! - [`slow_clients`]: bounds on slow clients.
//! - [`gcra`][]: rates.

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

/// A point on the host's steady clock, as the time since a start of its choice.
pub type Time = Duration;
/// A connection's number; never used twice.
pub type ConnectionId = u64;
/// A client, or a site: the addresses that share some first bits, written as that network.
pub type Client = ipnet::IpNet;

/// Whether a client is known: its requests were served lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClientClass {
    /// Not known.
    Unknown = 0,
    /// Known.
    Known = 1,
}
