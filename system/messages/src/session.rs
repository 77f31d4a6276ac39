//! Messages between a proxy and the registry of its session, and among proxies.

use crate::Host;
use crate::store::NamedEntry;
use bitcode::{Decode, Encode};

/// The age, in ms, from which contact with the majority of the core counts as lost: five heartbeats of
/// registries, one of which may be late by the longest network delay. A registry reports the age of its
/// contact, and proxies leave it beyond this.
pub const CONTACT_LEASE: f64 = 1500.0;

/// A proxy.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyInfo {
    /// The machine.
    pub host: Host,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The port on which it serves clients.
    pub port: u16,
    /// Whether it accepts clients.
    pub ready: bool,
    /// Draining nodes at which it has no work left.
    pub idle_nodes: Vec<String>,
}

/// A backend as listed by the platform.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Backend {
    /// Identifies the instance; a restarted backend has another one.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// The address it listens on.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The number of requests it processes at once.
    pub slots: u32,
    /// It finishes its current work and must not be sent new requests.
    pub draining: bool,
    /// For how long it stays cold, in ms, counted from the reading of the list.
    pub cold_ms: u32,
}

/// The platform's list of backends as of one reading.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Default)]
pub struct BackendList {
    /// The number of the reading, increasing over all readers, and the reader, which distinguishes equal
    /// numbers.
    pub stamp: (u64, Host),
    /// All backends.
    pub backends: Vec<Backend>,
}

/// A message from a proxy to a registry.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum ProxyToRegistry {
    /// Opens a session.
    Hello(ProxyInfo),
    /// The periodic state of the proxy: what it holds of the items and of the backend list.
    Heartbeat {
        /// Whether it accepts clients.
        ready: bool,
        /// A hash of all its items.
        items_hash: u64,
        /// The stamp of its backend list.
        list_stamp: (u64, Host),
        /// The keys of quotas from which it grants itself units, since it was told that no holder grants
        /// them.
        self_granted: u64,
    },
    /// Requests units of a tenant, for the current window or the next one.
    RequestUnits {
        /// The tenant whose units are requested.
        tenant: String,
        /// How many.
        units: f64,
        /// They are for the next window.
        next_window: bool,
        /// Smoothed rate of requests arriving at the proxy, per ms. Scarce units are shared in proportion to
        /// it.
        demand: f64,
    },
    /// Returns units that were not spent.
    ReturnUnits {
        /// The tenant whose units they are.
        tenant: String,
        /// How many.
        units: f64,
        /// Their window.
        window: u64,
    },
    /// All draining nodes at which this proxy now has no work left.
    IdleNodes(Vec<String>),
    /// What this incarnation of the proxy has counted for each failure order: the requests it selects (named,
    /// failed, untouched), and how all other requests ended (served, refused, otherwise) before the order's
    /// time and during it.
    FailureCounts(Vec<(String, [u64; 3], [[u64; 3]; 2])>),
    /// The response to [`RegistryToProxy::LookUpRequest`]: what this proxy did with the request, as JSON;
    /// empty if it does not know it.
    RequestRecord(u64, String),
    /// Closes the session.
    EndSession,
    /// Opens a session for a proxy that already holds a copy, with the checksums of the copy's parts. It is
    /// sent the parts that differ.
    Resume(ProxyInfo, Vec<u64>),
    /// The response to [`RegistryToProxy::RequestDigest`]: the checksums of the parts of this proxy's copy.
    Digest(Vec<u64>),
}

/// A grant of quota units.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Grant {
    /// The tenant they are for.
    pub tenant: String,
    /// The number of units; 0 if all are spent.
    pub units: f64,
    /// The window they are for.
    pub window: u64,
    /// The time until the window begins, in ms; 0 if it is current.
    pub begins_in: f64,
    /// The time until the window ends, in ms.
    pub ends_in: f64,
    /// The request was for the next window.
    pub next_window: bool,
    /// No units are granted at the moment: the holder has just changed.
    pub closed: bool,
}

/// A registry and its location.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq)]
pub struct RegistryInfo {
    /// The machine.
    pub host: Host,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The sender is in contact with it. A proxy with a session at the sender does not leave it for a
    /// registry the sender cannot reach.
    pub reachable: bool,
}

/// A message from a registry to a proxy.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum RegistryToProxy {
    /// Items: all of them, or new ones.
    Items {
        /// These are all items.
        complete: bool,
        /// A quorum currently confirms that all of them are up to date.
        up_to_date: bool,
        /// The entries.
        entries: Vec<NamedEntry>,
    },
    /// The list of backends.
    BackendList(BackendList),
    /// All proxies, and how many share what is scarce: silent ones count for a while. 0 means that it is not
    /// known yet.
    Proxies(Vec<ProxyInfo>, u32),
    /// The registries.
    Registries(Vec<RegistryInfo>),
    /// Quota units.
    Grant(Grant),
    /// An operator looks up a request by the hash of its id. The first number is copied into the response.
    LookUpRequest(u64, u64),
    /// The earliest and latest possible true time, in ms since 1970: drains end at a point in time.
    Time(f64, f64),
    /// Sent periodically.
    Heartbeat {
        /// How long ago, in ms, the sender was last in contact with a majority of the core and held a copy as
        /// new as a quorum's.
        contact_age: u32,
    },
    /// The proxy's items differ from what they should be: asks for the checksums of their parts.
    RequestDigest,
}

/// A message among proxies: a proxy without a session asks a few others for what it lacks.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum ProxyMessage {
    /// What the sender holds.
    Digest {
        /// The checksums of the parts of its items.
        items: Vec<u64>,
        /// The stamp of its backend list.
        list_stamp: (u64, Host),
    },
    /// The items of the parts that differ, the backend list if it is newer, and the proxies.
    Update {
        /// Chosen entries.
        entries: Vec<NamedEntry>,
        /// A newer backend list.
        backend_list: Option<BackendList>,
        /// All proxies, and how many share what is scarce.
        proxies: (Vec<ProxyInfo>, u32),
    },
}
