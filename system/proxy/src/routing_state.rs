//! The routing state of a proxy: configuration items and the routing table built from them, the list of
//! backends, and the proxies. Performs no I/O and reads no clock; the caller passes the time.

use crate::cold_owners::ColdOwners;
use fennelscale_config::{ItemCopy, RoutingTable, parse_item};
use fennelscale_maintenance::clock::TimeInterval;
use fennelscale_maintenance::order::Node;
use fennelscale_maintenance::record::Drain;
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, BackendList, ProxyInfo};
use fennelscale_messages::store::NamedEntry;
use std::collections::{BTreeMap, BTreeSet};

/// Share of a cold backend's rate that its owner uses, so that two proxies that both consider themselves its
/// owner stay within the limit.
const COLD_RATE_SHARE: f64 = 0.75;
/// A node that returns to service counts as cold for at least this many ms beyond the maximum age of the
/// platform's list.
const MIN_COLD_AFTER_RETURN: f64 = 1500.0;
/// Time in ms from a read of the platform's list until proxies have it: two trips between regions, and a
/// margin.
const LIST_PROPAGATION: f64 = 400.0;
/// Interval, in ms, at which parameters that change with time alone are brought up to date.
pub const UPDATE_INTERVAL: f64 = 250.0;
/// Cost of sending a request to another zone, as the equivalent added latency in ms.
const CROSS_ZONE_COST: f64 = 12.0;
/// The same for another region.
const CROSS_REGION_COST: f64 = 220.0;
/// Assumed round trips in ms until they are measured: within the zone, within the region, and to another
/// region.
const ZONE_ROUND_TRIP: f64 = 1.0;
const REGION_ROUND_TRIP: f64 = 3.0;
const REMOTE_ROUND_TRIP: f64 = 120.0;
/// Assumed processing time of a request in ms until it is measured.
const DEFAULT_LATENCY: f64 = 100.0;
/// Maximum number of remembered ids of draining backends.
const MAX_DRAINED_IDS: usize = 20_000;

/// The location of this proxy, and the topology of the deployment.
#[derive(Clone, Debug)]
pub struct ProxyLocation {
    /// The address of this machine.
    pub host: Host,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
    /// Maximum age, in ms, of the platform's list at the moment of a read.
    pub max_list_age: f64,
}

/// A listed backend with the parameters that the decision module uses.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownBackend {
    /// The entry of the list.
    pub backend: Backend,
    /// Whether it may be sent new requests.
    pub ready: bool,
    /// The index of its region among all regions, sorted by name.
    pub region_index: u64,
    /// The parameters for the choice of a backend.
    pub parameters: doorcourse::BackendParameters,
}

/// A node that returned to service.
#[derive(Clone, Copy, Debug)]
struct Returned {
    /// When this proxy learned of it.
    learned_at: f64,
    /// Whether it was evacuated: its backends may have turned cold shortly before. For a work order's node
    /// only the list tells.
    evacuated: bool,
}

/// Everything that a proxy knows for routing requests.
#[derive(Debug)]
pub struct RoutingState {
    location: ProxyLocation,
    items: ItemCopy,
    /// The routing table built from the items.
    pub table: RoutingTable,
    /// The newest list of backends.
    pub backend_list: BackendList,
    /// When the newest list arrived.
    listed_at: f64,
    /// Backends that were listed as draining: a draining backend never accepts requests again.
    drained_backends: BTreeSet<String>,
    /// Nodes that returned to service and whose backends may count as cold.
    returned_nodes: BTreeMap<Node, Returned>,
    /// Nodes that are drained now by work orders.
    drained_nodes: BTreeSet<Node>,
    /// True time and the local time at which it was received; drains end by it.
    true_time: Option<(f64, TimeInterval)>,
    /// All proxies.
    pub proxies: Vec<ProxyInfo>,
    /// Which proxy sends to each cold backend.
    cold_owners: ColdOwners,
    /// The number of proxies by which shares are divided.
    pub proxy_count: f64,
    /// Whether a quorum has confirmed the items since this process started.
    pub up_to_date: bool,
}

impl RoutingState {
    /// An empty state.
    pub fn new(location: ProxyLocation) -> Self {
        Self {
            location,
            items: ItemCopy::default(),
            table: RoutingTable::default(),
            backend_list: BackendList::default(),
            listed_at: 0.0,
            drained_backends: BTreeSet::new(),
            returned_nodes: BTreeMap::new(),
            drained_nodes: BTreeSet::new(),
            true_time: None,
            proxies: Vec::new(),
            cold_owners: ColdOwners::default(),
            // Until the number is known, the share of this proxy is zero.
            proxy_count: f64::INFINITY,
            up_to_date: false,
        }
    }

    /// A checksum over all items.
    pub fn items_hash(&self) -> u64 {
        self.items.checksum()
    }

    /// Checksums of the items, one for each part of the key space.
    pub fn digest(&self) -> Vec<u64> {
        self.items.part_checksums().to_vec()
    }

    /// The entries of the parts whose checksums differ from those of another copy.
    pub fn entries_in_differing_parts(&self, theirs: &[u64]) -> Vec<NamedEntry> {
        self.items.entries_in_differing_parts(theirs)
    }

    /// Sets all proxies and the number by which shares are divided; 0 means unknown and keeps the previous
    /// number.
    pub fn set_proxies(&mut self, now: f64, proxies: Vec<ProxyInfo>, count: u32) {
        self.cold_owners.set_proxies(now, &proxies);
        self.proxies = proxies;
        if count > 0 {
            self.proxy_count = f64::from(count);
        }
    }

    /// The number of proxies by which shares are divided; 0 if it is unknown.
    pub fn known_proxy_count(&self) -> u32 {
        if self.proxy_count.is_finite() { self.proxy_count as u32 } else { 0 }
    }

    /// Whether the state suffices to serve clients.
    pub fn is_ready(&self) -> bool {
        self.up_to_date && self.backend_list.stamp.0 > 0 && !self.table.services.is_empty()
    }

    /// Merges received entries and returns the names of those that were newer than the known ones.
    pub fn merge(&mut self, now: f64, entries: Vec<NamedEntry>) -> Vec<String> {
        let mut changed = Vec::new();
        for (name, entry) in entries {
            if !self.items.merge(&name, &entry) {
                continue;
            }
            let item = entry.body.as_deref().and_then(|body| parse_item(&name, &entry.host, body).ok());
            // A proxy that was ready may learn only of an evacuation's end, having missed its start. One that
            // ended before this process started is of no interest.
            if let Some(zone) = name.strip_prefix("e:")
                && item.is_none()
                && (self.up_to_date || self.table.evacuated_zones.contains(zone))
            {
                self.returned_nodes
                    .insert(Node::Zone(zone.to_owned()), Returned { learned_at: now, evacuated: true });
            }
            self.table.set(&name, entry.stamp, item);
            changed.push(name);
        }
        self.update_drains(now);
        changed
    }

    /// Takes over a received list; returns false if it is not newer than the known one.
    pub fn set_backend_list(&mut self, now: f64, backend_list: BackendList) -> bool {
        if backend_list.stamp <= self.backend_list.stamp {
            return false;
        }
        for backend in backend_list.backends.iter().filter(|b| b.draining) {
            self.drained_backends.insert(backend.id.clone());
        }
        while self.drained_backends.len() > MAX_DRAINED_IDS {
            self.drained_backends.pop_first();
        }
        (self.backend_list, self.listed_at) = (backend_list, now);
        true
    }

    /// Sets the true time that a registry confirms as of now.
    pub fn set_true_time(&mut self, now: f64, time: TimeInterval) {
        self.true_time = Some((now, time));
    }

    /// The true time now, extrapolated from when it was received.
    pub fn true_time(&self, now: f64) -> Option<TimeInterval> {
        self.true_time.map(|(at, span)| span.advanced_by(now - at))
    }

    /// Updates which nodes are drained now: those of the work orders whose maintenance window has not ended.
    /// A proxy that is cut off extrapolates the last true time that it received. Nodes that return to service
    /// count as cold for a short time, until the list shows their state. Returns whether anything has
    /// changed.
    pub fn update_drains(&mut self, now: f64) -> bool {
        let has_ended =
            |ends: f64| self.true_time.is_some_and(|(at, span)| span.advanced_by(now - at).latest >= ends);
        let drains = self.table.drains.values().filter(|drain| !has_ended(drain.ends));
        let drained_nodes: BTreeSet<Node> = drains.flat_map(Drain::nodes).collect();
        if drained_nodes == self.drained_nodes {
            return false;
        }
        for node in self.drained_nodes.difference(&drained_nodes) {
            self.returned_nodes.insert(node.clone(), Returned { learned_at: now, evacuated: false });
        }
        self.drained_nodes = drained_nodes;
        true
    }

    /// Nodes that are drained now.
    pub fn drained_nodes(&self) -> &BTreeSet<Node> {
        &self.drained_nodes
    }

    /// Whether this proxy is drained: its clients are to go to other proxies.
    pub fn is_drained(&self) -> bool {
        self.drained_nodes.contains(&Node::Proxy(self.location.host))
            || self.drained_nodes.contains(&Node::Zone(self.location.zone.clone()))
    }

    /// Drained nodes on which this proxy has no work in progress. `working` are the backends that may have
    /// requests of this proxy; `has_clients` tells whether any clients are connected to it.
    pub fn idle_nodes(&self, working: &BTreeSet<String>, has_clients: bool) -> Vec<String> {
        let zone_of =
            |id: &String| self.backend_list.backends.iter().find(|b| b.id == *id).map(|b| b.zone.as_str());
        let busy = |node: &&Node| match node {
            Node::Backend(id) => working.contains(id),
            Node::Proxy(host) => *host == self.location.host && has_clients,
            // The zone of a backend that is no longer listed is unknown.
            Node::Zone(zone) => {
                working.iter().any(|id| zone_of(id).is_none_or(|z| z == zone))
                    || *zone == self.location.zone && has_clients
            }
        };
        self.drained_nodes.iter().filter(|node| !busy(node)).map(Node::to_string).collect()
    }

    /// The index of a region among all regions, sorted by name.
    pub fn region_index(&self, region: &str) -> u64 {
        let regions: BTreeSet<&str> = self.location.zone_regions.values().map(String::as_str).collect();
        regions.iter().position(|r| *r == region).map_or(u64::MAX, |at| at as u64)
    }

    fn region_of<'a>(&'a self, zone: &str) -> &'a str {
        self.location.zone_regions.get(zone).map_or("", String::as_str)
    }

    /// Whether the parameters may change with time alone: returned nodes count as cold only for a while, and
    /// the owners of cold backends change with time.
    pub fn needs_update(&self, now: f64) -> bool {
        !self.returned_nodes.is_empty()
            || self.cold_owners.may_change(now, UPDATE_INTERVAL) && self.has_cold(now)
    }

    /// Whether the list contains a backend that is cold now.
    fn has_cold(&self, now: f64) -> bool {
        let mut spans = self.backend_list.backends.iter().map(|backend| backend.cold_ms);
        spans.any(|span| span > 0 && now < self.listed_at + f64::from(span))
    }

    /// The backends of a service, with the current parameters for the choice between them.
    pub fn backends(&mut self, now: f64, service: &str) -> Vec<KnownBackend> {
        let longest = self.table.services.values().map(|service| service.cold_start).fold(0.0, f64::max);
        let retention = longest.max(MIN_COLD_AFTER_RETURN) + self.location.max_list_age;
        self.returned_nodes.retain(|_, returned| now < returned.learned_at + retention);
        let listed = self.backend_list.backends.iter().filter(|b| b.service == service);
        let own = self.own_backends(listed.clone());
        listed
            .map(|backend| self.known_backend(now, service, backend, own.get(backend.id.as_str()).copied()))
            .collect()
    }

    /// Assigns the backends of this proxy's region to the region's proxies, so that each proxy has some of
    /// its own. Returns this proxy's backends and how many proxies share each. If there are at least as many
    /// backends as proxies, each backend goes to the proxy with the fewest slots so far; otherwise each proxy
    /// takes the backend with the fewest proxies per slot. Ties prefer the same zone. Proxies with the same
    /// state compute the same assignment.
    fn own_backends<'a>(&self, backends: impl Iterator<Item = &'a Backend>) -> BTreeMap<&'a str, f64> {
        let is_local = |zone: &str| self.region_of(zone) == self.location.region;
        let mut local: Vec<&Backend> =
            backends.filter(|b| is_local(&b.zone) && self.accepts_requests(b)).collect();
        let hash_of = |b: &Backend| fennelscale_messages::hash(b.id.as_bytes());
        local.sort_by_key(|b| (hash_of(b), &b.id));
        let proxies = self.proxies.iter().filter(|proxy| proxy.ready && proxy.region == self.location.region);
        let tie_break = |backend: &Backend, proxy: &ProxyInfo| {
            fennelscale_messages::mix(hash_of(backend) ^ u64::from(proxy.host.0))
        };
        let mut own = BTreeMap::new();
        if local.len() >= proxies.clone().count() {
            let mut assigned_slots: Vec<(u64, &ProxyInfo)> = proxies.map(|m| (0, m)).collect();
            for backend in local {
                let rank = |(slots, m): &&mut (u64, &ProxyInfo)| {
                    (*slots, m.zone != backend.zone, tie_break(backend, m))
                };
                let Some((slots, proxy)) = assigned_slots.iter_mut().min_by_key(rank) else { continue };
                *slots += u64::from(backend.slots.max(1));
                if proxy.host == self.location.host {
                    own.insert(backend.id.as_str(), 1.0);
                }
            }
            return own;
        }
        let mut sharers: Vec<(u32, &Backend)> = local.into_iter().map(|b| (0, b)).collect();
        let mut own_index = None;
        for proxy in proxies {
            let rank = |(index, (count, b)): &(usize, &(u32, &Backend))| {
                // Integer arithmetic: all proxies must compute the same assignment.
                (*count * 1000 / b.slots.max(1), b.zone != proxy.zone, tie_break(b, proxy), *index)
            };
            let Some((index, _)) = sharers.iter().enumerate().min_by_key(rank) else { continue };
            sharers[index].0 += 1;
            if proxy.host == self.location.host {
                own_index = Some(index);
            }
        }
        own.extend(own_index.map(|index| (sharers[index].1.id.as_str(), f64::from(sharers[index].0))));
        own
    }

    fn accepts_requests(&self, backend: &Backend) -> bool {
        !backend.draining
            && !self.drained_backends.contains(&backend.id)
            && !self.table.evacuated_zones.contains(&backend.zone)
            && (self.drained_nodes.is_empty()
                || !self.drained_nodes.contains(&Node::Backend(backend.id.clone()))
                    && !self.drained_nodes.contains(&Node::Zone(backend.zone.clone())))
    }

    /// Until when a backend counts as cold because its node returned to service. Backends may have turned
    /// cold as an evacuation ended, and a list read before that does not show it. So they count as cold until
    /// a list arrives that was read later than that by the platform's maximum list age; if none arrives, for
    /// as long as a backend of the service is cold after its start.
    fn cold_until_after_return(&self, backend: &Backend, cold_start: f64) -> f64 {
        if self.returned_nodes.is_empty() {
            return 0.0;
        }
        let until = |returned: &Returned| match returned {
            Returned { learned_at, evacuated: false } => {
                learned_at + MIN_COLD_AFTER_RETURN + self.location.max_list_age
            }
            Returned { learned_at, .. }
                if self.listed_at >= learned_at + self.location.max_list_age + LIST_PROPAGATION =>
            {
                0.0
            }
            Returned { learned_at, .. } => {
                learned_at + cold_start.max(MIN_COLD_AFTER_RETURN) + self.location.max_list_age
            }
        };
        let nodes = [Node::Backend(backend.id.clone()), Node::Zone(backend.zone.clone())];
        nodes.iter().filter_map(|node| self.returned_nodes.get(node)).map(until).fold(0.0, f64::max)
    }

    fn known_backend(&self, now: f64, service: &str, backend: &Backend, own: Option<f64>) -> KnownBackend {
        let region = self.region_of(&backend.zone);
        let ready = self.accepts_requests(backend);
        let (round_trip, distance_cost) = if backend.zone == self.location.zone {
            (ZONE_ROUND_TRIP, 0.0)
        } else if region == self.location.region {
            (REGION_ROUND_TRIP, CROSS_ZONE_COST)
        } else {
            (REMOTE_ROUND_TRIP, CROSS_REGION_COST)
        };
        let sharers = self.proxies.iter().filter(|m| m.ready && m.region == region).count().max(1) as f64;
        let (is_owned, sharers) = (own.is_some(), own.unwrap_or(sharers));
        let listed_until =
            if backend.cold_ms > 0 { self.listed_at + f64::from(backend.cold_ms) } else { 0.0 };
        let (cold_rate, cold_start) =
            self.table.services.get(service).map_or((0.0, 0.0), |s| (s.cold_per_s, s.cold_start));
        let cold_until = listed_until.max(self.cold_until_after_return(backend, cold_start));
        let owns = || self.cold_owners.owns(now, self.location.host, backend, |zone| self.region_of(zone));
        let cold_rate_per_s = if cold_until > now && owns() { cold_rate * COLD_RATE_SHARE } else { 0.0 };
        let slots = f64::from(backend.slots.max(1));
        let parameters = doorcourse::BackendParameters {
            slots,
            sharers,
            is_owned,
            round_trip,
            distance_cost,
            cold_until,
            cold_rate_per_s,
        };
        KnownBackend { backend: backend.clone(), ready, region_index: self.region_index(region), parameters }
    }

    /// The parameters that apply to all backends of a service together; retries are bounded by `retry_ratio`
    /// and `retry_slack`.
    pub fn fleet_parameters(&self, retry_ratio: f64, retry_slack: f64) -> doorcourse::FleetParameters {
        doorcourse::FleetParameters {
            gateways: self.proxy_count,
            retry_ratio,
            retry_slack,
            typical_latency: DEFAULT_LATENCY,
        }
    }
}

#[cfg(test)]
mod tests;
