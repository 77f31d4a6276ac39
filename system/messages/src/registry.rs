//! Words among registries.

use crate::Host;
use crate::feed::{EventPage, EventQuery};
use crate::session::{BackendList, Grant, ProxyInfo};
use bitcode::{Decode, Encode};

/// Words among registries.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum RegistryMessage {
    /// Every so often.
    Heartbeat {
        /// The sender's life.
        incarnation: u64,
        /// Numbers the beat.
        number: u64,
        /// The duties that it holds or wants, a bit each.
        claims: u64,
        /// The sessions that it has, in one hash.
        sessions_hash: u64,
        /// The newest list that it has.
        list_stamp: (u64, Host),
        /// The highest number of a list that it ever heard of: proxies remember lists of before a start of all registries.
        highest_list: u64,
    },
    /// To a beat: the claims that the sender lets stand.
    HeartbeatAck {
        /// Which beat.
        number: u64,
        /// Of which life.
        incarnation: u64,
        /// Claims that stand.
        granted: u64,
        /// The sender's time of day, in ms since 1970, while there are maintenance hours to be kept.
        wall_clock: Option<u64>,
    },
    /// All sessions of the sender.
    Sessions {
        /// Who has one.
        proxies: Vec<ProxyInfo>,
        /// Who had one and went silent: they may be on their own, each with the part of one of so many.
        silent: Vec<(Host, u32)>,
        /// Who has one and spends by itself all the same, and of which keys: their holders do not reach it.
        self_granted: Vec<(Host, u64)>,
    },
    /// Tell me all your sessions.
    RequestSessions,
    /// A newer list.
    BackendList(BackendList),
    /// Tell me your list.
    RequestBackendList,
    /// A proxy of the sender's asks its region's relay for units.
    RequestUnitsFromRelay {
        /// The proxy.
        from: Host,
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// For the next window.
        next_window: bool,
        /// Requests a ms that come to the proxy, smoothed.
        demand: f64,
    },
    /// A relay asks the holder for units.
    RequestUnits {
        /// The relay's registry.
        from: Host,
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// For the next window.
        next_window: bool,
        /// Requests a ms that come to its proxies, smoothed.
        demand: f64,
    },
    /// Units for a proxy of the receiver's, or for its relay.
    Grant(Host, Grant),
    /// Units that a proxy did not spend.
    ReturnUnits {
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// Of which window.
        window: u64,
    },
    /// A reader at the sender's wants to know what the receiver saw happen. The number comes back with the answer.
    RequestEvents(u64, EventQuery),
    /// That.
    Events(u64, EventPage),
    /// An operator at the sender's asks for a request, by the hash of its id.
    LookUpRequest(u64, u64),
    /// What each proxy with a session at the sender knows of it, as JSON.
    RequestRecords(u64, Vec<(Host, String)>),
}
