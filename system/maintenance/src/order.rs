//! Work orders: which nodes, by which contract, for how long, in which order, how many at once, and what is wanted of it now.

use crate::Millis;
use std::fmt;
use std::str::FromStr;

/// The most nodes of one order; guards the record's size.
pub const MAX_NODES: usize = 64;
/// The most orders that stand; an order that has been dropped takes its record with it.
pub const MAX_ORDERS: usize = 64;

/// What can be drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A backend, by its id.
    Backend(String),
    /// A proxy, by its address.
    Proxy(fennelscale_messages::Host),
    /// A zone: its backends and its proxies.
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
        let wrong = || format!("{text}: backend:ID, proxy:ADDRESS or zone:NAME is wanted");
        match text.split_once(':').filter(|(_, name)| !name.is_empty()).ok_or_else(wrong)? {
            ("backend", id) => Ok(Self::Backend(id.to_owned())),
            ("zone", zone) => Ok(Self::Zone(zone.to_owned())),
            ("proxy", at) => {
                let ip = at.parse().ok().and_then(fennelscale_messages::Host::from_ip);
                ip.map(Self::Proxy).ok_or_else(wrong)
            }
            _ => Err(wrong()),
        }
    }
}

/// What is wanted of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// Nothing yet: it can be rehearsed.
    Planned,
    /// Nothing yet, but somebody has approved it.
    Approved,
    /// Its nodes are serviced in the contract's hours.
    Running,
    /// No further node is drained; those that are out finish.
    Paused,
    /// All nodes go back; it does not go on.
    Ended,
    /// As ended; its approval was taken back.
    Withdrawn,
}

impl OrderState {
    /// All, with their names.
    pub const ALL: [(&'static str, Self); 6] = [
        ("planned", Self::Planned),
        ("approved", Self::Approved),
        ("running", Self::Running),
        ("paused", Self::Paused),
        ("ended", Self::Ended),
        ("withdrawn", Self::Withdrawn),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, wanted)| *wanted == self).map_or("", |(name, _)| name)
    }
}

/// How many nodes may be out at once, by plan or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutLimits {
    /// Of this order.
    pub order: usize,
    /// In one zone.
    pub zone: usize,
    /// In one region.
    pub region: usize,
    /// Of one service.
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
    /// The contract whose hours it keeps.
    pub contract: String,
    /// What is serviced, in this order.
    pub nodes: Vec<Node>,
    /// How long a node is out, in ms.
    pub out_duration: Millis,
    /// So long before the hours end all nodes are told to go back, in ms.
    pub return_time: Millis,
    /// How many at once.
    pub limits: OutLimits,
    /// What is wanted of it.
    pub state: OrderState,
    /// Who has approved it.
    pub approved_by: Option<String>,
}
