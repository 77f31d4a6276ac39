//! Messages among registries.

use crate::Host;
use crate::feed::{EventPage, EventQuery};
use crate::session::{BackendList, Grant, ProxyInfo};
use bitcode::{Decode, Encode};

/// A message among registries.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum RegistryMessage {
    /// Sent periodically.
    Heartbeat {
        /// The sender's incarnation.
        incarnation: u64,
        /// The number of the heartbeat.
        number: u64,
        /// The duties that the sender holds or requests, one bit each.
        claims: u64,
        /// A hash of the sender's sessions.
        sessions_hash: u64,
        /// The newest backend list that the sender has.
        list_stamp: (u64, Host),
        /// The highest number of a backend list the sender ever heard of: proxies remember lists from before
        /// a restart of all registries.
        highest_list: u64,
    },
    /// The response to a heartbeat: the claims that the sender grants.
    HeartbeatAck {
        /// The number of the heartbeat.
        number: u64,
        /// The incarnation that sent it.
        incarnation: u64,
        /// The granted claims.
        granted: u64,
        /// The sender's time of day, in ms since 1970, as long as maintenance hours are configured.
        wall_clock: Option<u64>,
    },
    /// All sessions of the sender.
    Sessions {
        /// The proxies with a session.
        proxies: Vec<ProxyInfo>,
        /// Proxies that went silent, and the number of shares: each may be granting itself one share of so
        /// many.
        silent: Vec<(Host, u32)>,
        /// Proxies with a session that nevertheless grant themselves units, and of which keys: they cannot
        /// reach the holders of those.
        self_granted: Vec<(Host, u64)>,
    },
    /// Asks for all sessions of the receiver.
    RequestSessions,
    /// A newer backend list.
    BackendList(BackendList),
    /// Asks for the receiver's backend list.
    RequestBackendList,
    /// A proxy of the sender requests units from the relay of its region.
    RequestUnitsFromRelay {
        /// The proxy.
        from: Host,
        /// The tenant whose units are requested.
        tenant: String,
        /// How many.
        units: f64,
        /// They are for the next window.
        next_window: bool,
        /// Smoothed rate of requests arriving at the proxy, per ms.
        demand: f64,
    },
    /// A relay requests units from the holder.
    RequestUnits {
        /// The registry of the relay.
        from: Host,
        /// The tenant whose units are requested.
        tenant: String,
        /// How many.
        units: f64,
        /// They are for the next window.
        next_window: bool,
        /// Smoothed rate of requests arriving at its proxies, per ms.
        demand: f64,
    },
    /// Units for a proxy of the receiver, or for its relay.
    Grant(Host, Grant),
    /// Units that a proxy did not spend.
    ReturnUnits {
        /// The tenant whose units they are.
        tenant: String,
        /// How many.
        units: f64,
        /// Their window.
        window: u64,
    },
    /// A reader at the sender requests events observed by the receiver. The number is copied into the
    /// response.
    RequestEvents(u64, EventQuery),
    /// The response to [`RequestEvents`](Self::RequestEvents).
    Events(u64, EventPage),
    /// An operator at the sender looks up a request by the hash of its id. The first number is copied into
    /// the response.
    LookUpRequest(u64, u64),
    /// What each proxy with a session at the sender knows of the request, as JSON.
    RequestRecords(u64, Vec<(Host, String)>),
}
