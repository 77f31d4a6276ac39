//! Words between a proxy and the registry that it has its session with, and what proxies pass on to each other.

use crate::Host;
use crate::store::NamedEntry;
use bitcode::{Decode, Encode};

/// Contact with the majority of the core that is older than this, in ms, counts as lost: five beats of registries, of which one may be
/// late by the longest way. A registry says how old its own is, and a proxy goes elsewhere.
pub const CONTACT_LEASE: f64 = 1500.0;

/// A proxy.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyInfo {
    /// The machine.
    pub host: Host,
    /// Its life.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The port that clients are sent to.
    pub port: u16,
    /// Whether it takes clients.
    pub ready: bool,
    /// Nodes that are being drained and where it has nothing at work.
    pub idle_nodes: Vec<String>,
}

/// One backend as the platform lists it.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Backend {
    /// Its life.
    pub id: String,
    /// What it serves.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It finishes its work and must be sent nothing new.
    pub draining: bool,
    /// For how long it stays cold, in ms, as of when the list was read.
    pub cold_ms: u32,
}

/// The platform's list, as it was read once.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Default)]
pub struct BackendList {
    /// Counts up with each reading, over all readers; the reader tells two of the same apart.
    pub stamp: (u64, Host),
    /// All backends.
    pub backends: Vec<Backend>,
}

/// From a proxy to a registry.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum ProxyToRegistry {
    /// A session begins.
    Hello(ProxyInfo),
    /// Still here. What this proxy holds of the items and of the list.
    Heartbeat {
        /// Whether it takes clients.
        ready: bool,
        /// All its items in one hash.
        items_hash: u64,
        /// The list that it has.
        list_stamp: (u64, Host),
        /// The keys of quotas that it spends by itself, since it is told that nobody grants them.
        self_granted: u64,
    },
    /// Units of a tenant, for the window at hand or the one after.
    RequestUnits {
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// For the next window.
        next_window: bool,
        /// Requests a ms that come here, smoothed: shares of what is scarce follow it.
        demand: f64,
    },
    /// Units that were not spent.
    ReturnUnits {
        /// Whose.
        tenant: String,
        /// How many.
        units: f64,
        /// Of which window.
        window: u64,
    },
    /// All nodes that are being drained and where this proxy has nothing at work now.
    IdleNodes(Vec<String>),
    /// What this life of the proxy has counted of failure orders: of whom each names (named, failed, untouched), and how all other
    /// requests ended (served, refused, otherwise) before its time and in it.
    FailureCounts(Vec<(String, [u64; 3], [[u64; 3]; 2])>),
    /// What this proxy did with a request that was asked for, as JSON; empty if it knows nothing of it.
    RequestRecord(u64, String),
    /// The session ends in order.
    EndSession,
    /// A session begins, of a proxy that holds a copy already: its items by parts. It is sent what differs.
    Resume(ProxyInfo, Vec<u64>),
    /// What this proxy holds, by parts: the answer to [`RegistryToProxy::RequestDigest`].
    Digest(Vec<u64>),
}

/// What was leased.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Grant {
    /// Whose.
    pub tenant: String,
    /// How many units; 0 when all are spent.
    pub units: f64,
    /// Which window.
    pub window: u64,
    /// How long until it begins, in ms; 0 when it is at hand.
    pub begins_in: f64,
    /// How long until it ends, in ms.
    pub ends_in: f64,
    /// What was asked for was for the next window.
    pub next_window: bool,
    /// Nobody grants at the moment: the holder has just changed.
    pub closed: bool,
}

/// A registry and where it is.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq)]
pub struct RegistryInfo {
    /// The machine.
    pub host: Host,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The sender hears it: a proxy that has a session with the sender does not leave it for one that it does not hear.
    pub reachable: bool,
}

/// From a registry to a proxy.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum RegistryToProxy {
    /// Items: all that there are, or those that are new.
    Items {
        /// All.
        complete: bool,
        /// A quorum vouches for all of them as of now.
        up_to_date: bool,
        /// The entries.
        entries: Vec<NamedEntry>,
    },
    /// The list of backends.
    BackendList(BackendList),
    /// All proxies, and how many there are for shares: those that are silent count for a while. 0: nobody knows yet.
    Proxies(Vec<ProxyInfo>, u32),
    /// The registries.
    Registries(Vec<RegistryInfo>),
    /// Units.
    Grant(Grant),
    /// An operator asks for a request, by the hash of its id. The first number comes back with the answer.
    LookUpRequest(u64, u64),
    /// True time lies between these, in ms since 1970: what is drained is drained until a moment.
    Time(f64, f64),
    /// Still here.
    Heartbeat {
        /// How long ago, in ms, the sender was last in contact with a majority of the core and held a copy as new as a quorum's.
        contact_age: u32,
    },
    /// The proxy's items are not what they should be: what it holds is asked for, by parts.
    RequestDigest,
}

/// From proxy to proxy: one whose session is down asks a few others for what it lacks.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum ProxyMessage {
    /// What the sender holds: its items by parts, and its list.
    Digest {
        /// Hashes of the items, by part of their names.
        items: Vec<u64>,
        /// The list.
        list_stamp: (u64, Host),
    },
    /// Items of the parts that differ, the list if it is newer, and the members.
    Update {
        /// Chosen entries.
        entries: Vec<NamedEntry>,
        /// A newer list.
        backend_list: Option<BackendList>,
        /// All proxies, and how many there are for shares.
        proxies: (Vec<ProxyInfo>, u32),
    },
}
