//! Work orders: which nodes are serviced, by which contract, for how long, how many at once, and the state
//! that operators set.

use crate::Millis;
use std::fmt;
use std::str::FromStr;

/// The most nodes of one order; limits the size of its record.
pub const MAX_NODES: usize = 64;
/// The most orders at once; removing an order also removes its record.
pub const MAX_ORDERS: usize = 64;

/// A unit that can be drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A backend, by its id.
    Backend(String),
    /// A proxy, by its address.
    Proxy(fennelscale_messages::Host),
    /// A zone, with its backends and its proxies.
    Zone(String),
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Backend(id) => write!(f, "backend:{id}"),
            Self::Proxy(host) => write!(f, "proxy:{host}"),
            Self::Zone(zone) => write!(f, "zone:{zone}"),
        }
    }
}

impl FromStr for Node {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("{text}: backend:ID, proxy:ADDRESS or zone:NAME is wanted");
        match text.split_once(':').filter(|(_, name)| !name.is_empty()).ok_or_else(invalid)? {
            ("backend", id) => Ok(Self::Backend(id.to_owned())),
            ("zone", zone) => Ok(Self::Zone(zone.to_owned())),
            ("proxy", address) => {
                let ip = address.parse().ok().and_then(fennelscale_messages::Host::from_ip);
                ip.map(Self::Proxy).ok_or_else(invalid)
            }
            _ => Err(invalid()),
        }
    }
}

/// The state that operators set for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// Not yet approved; it can be checked.
    Planned,
    /// Approved but not started.
    Approved,
    /// Its nodes are serviced within the contract's hours.
    Running,
    /// No further node is drained; nodes that are out finish.
    Paused,
    /// All nodes return to service; the order does not continue.
    Ended,
    /// Like `Ended`; its approval was withdrawn.
    Withdrawn,
}

impl OrderState {
    /// All states with their names.
    pub const ALL: [(&'static str, Self); 6] = [
        ("planned", Self::Planned),
        ("approved", Self::Approved),
        ("running", Self::Running),
        ("paused", Self::Paused),
        ("ended", Self::Ended),
        ("withdrawn", Self::Withdrawn),
    ];

    /// The name that operators see.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, state)| *state == self).map_or("", |(name, _)| name)
    }
}

/// How many nodes may be out at once, planned or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutLimits {
    /// Nodes of this order.
    pub order: usize,
    /// Nodes in one zone.
    pub zone: usize,
    /// Nodes in one region.
    pub region: usize,
    /// Backends of one service.
    pub service: usize,
}

impl Default for OutLimits {
    fn default() -> Self {
        Self { order: 1, zone: 1, region: 1, service: 1 }
    }
}

/// A work order.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkOrder {
    /// Its name.
    pub name: String,
    /// The contract whose hours apply.
    pub contract: String,
    /// The nodes to service, in this sequence.
    pub nodes: Vec<Node>,
    /// How long each node is out, in ms.
    pub out_duration: Millis,
    /// How long before the end of the hours all nodes are told to return to service, in ms.
    pub return_time: Millis,
    /// How many nodes may be out at once.
    pub limits: OutLimits,
    /// The state that operators set.
    pub state: OrderState,
    /// Who has approved it.
    pub approved_by: Option<String>,
}
