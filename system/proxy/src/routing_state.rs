//! What this proxy holds of the system's news: items and the table made of them, the list of backends, the members.
//! No I/O and no clock of its own: it is told the time.

use crate::cold_owners::ColdOwners;
use fennelscale_config::{ItemCopy, RoutingTable, parse_item};
use fennelscale_maintenance::clock::Span;
use fennelscale_maintenance::night::Drain;
use fennelscale_maintenance::order::Node;
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, BackendList, ProxyInfo};
use fennelscale_messages::store::NamedEntry;
use std::collections::{BTreeMap, BTreeSet};

/// Of a cold backend's rate so much is used: two proxies that both think it theirs stay within the rule.
const COLD_SHARE: f64 = 0.75;
/// A node that goes back counts as cold for at least this many ms beyond the platform's lag.
const BACK_COLD: f64 = 1500.0;
/// From a reading of the platform's list until proxies have it, in ms: between regions twice, and some.
const LIST_WAY: f64 = 400.0;
/// What runs out by itself is brought up to date this often, in ms.
pub const UPDATE_INTERVAL: f64 = 250.0;
/// What a way costs, as ms that an answer may come later: between zones, between regions.
const ZONE_PRICE: f64 = 12.0;
const REGION_PRICE: f64 = 220.0;
/// Ways there and back, as long as nothing is known of them, in ms.
const IN_ZONE: f64 = 1.0;
const IN_REGION: f64 = 3.0;
const FAR: f64 = 120.0;
/// The usual time of work, as long as nothing is known, in ms.
const USUAL: f64 = 100.0;
/// Ids of backends that are known to drain are remembered up to this many.
const MOST: usize = 20_000;

/// Where this proxy is, and the zones' regions.
#[derive(Clone, Debug)]
pub struct ProxyLocation {
    /// This machine.
    pub host: Host,
    /// Its zone and region.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
    /// How old the platform's list may be when it is read, in ms.
    pub max_list_age: f64,
}

/// One backend as the decisions are told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownBackend {
    /// As listed.
    pub backend: Backend,
    /// It may be sent something new.
    pub ready: bool,
    /// Its region's place among all, in the order of their names.
    pub cell: u64,
    /// The terms of the choice.
    pub terms: doorcourse::BackendParameters,
}

/// A node that went back.
#[derive(Clone, Copy, Debug)]
struct Returned {
    /// When that was heard.
    heard: f64,
    /// It was evacuated: its backends may have turned cold just before. Of a work order's node only the list says so.
    evacuated: bool,
}

/// All news.
#[derive(Debug)]
pub struct RoutingState {
    location: ProxyLocation,
    items: ItemCopy,
    /// What follows from the items.
    pub table: RoutingTable,
    /// The newest list.
    pub listing: BackendList,
    listed: f64,
    /// Backends that were seen to drain: they never take anything again.
    drained: BTreeSet<String>,
    /// Nodes that went back and whose backends may count as cold.
    back: BTreeMap<Node, Returned>,
    /// Nodes that work orders have drained and that are heeded now, ...
    out: BTreeSet<Node>,
    /// ... until the hours end by this: true time, and the own time when it was heard.
    time: Option<(f64, Span)>,
    /// All proxies, and how many there are for shares.
    pub members: Vec<ProxyInfo>,
    /// Who sends to cold backends.
    owners: ColdOwners,
    /// How many proxies there are for shares.
    pub proxy_count: f64,
    /// A quorum has vouched for the items in this life.
    pub up_to_date: bool,
}

impl RoutingState {
    /// Nothing yet.
    pub fn new(location: ProxyLocation) -> Self {
        Self {
            location,
            items: ItemCopy::default(),
            table: RoutingTable::default(),
            listing: BackendList::default(),
            listed: 0.0,
            drained: BTreeSet::new(),
            back: BTreeMap::new(),
            out: BTreeSet::new(),
            time: None,
            members: Vec::new(),
            owners: ColdOwners::default(),
            // Until somebody knows: no part of anything.
            proxy_count: f64::INFINITY,
            up_to_date: false,
        }
    }

    /// All items in one number.
    pub fn checksum(&self) -> u64 {
        self.items.checksum()
    }

    /// All items by parts of their names.
    pub fn part_checksums(&self) -> Vec<u64> {
        self.items.part_checksums().to_vec()
    }

    /// Items of the parts in which another copy holds something else.
    pub fn entries_in_differing_parts(&self, theirs: &[u64]) -> Vec<NamedEntry> {
        self.items.entries_in_differing_parts(theirs)
    }

    /// All proxies, and how many there are for shares; 0 where nobody knows: what was known before holds.
    pub fn set_members(&mut self, now: f64, members: Vec<ProxyInfo>, proxies: u32) {
        self.owners.set_members(now, &members);
        self.members = members;
        if proxies > 0 {
            self.proxy_count = f64::from(proxies);
        }
    }

    /// How many proxies there are for shares; 0 where that is not known.
    pub fn known_proxy_count(&self) -> u32 {
        if self.proxy_count.is_finite() { self.proxy_count as u32 } else { 0 }
    }

    /// Whether enough is known to serve clients.
    pub fn is_ready(&self) -> bool {
        self.up_to_date && self.listing.stamp.0 > 0 && !self.table.services.is_empty()
    }

    /// Entries that came. Names of those that were news.
    pub fn merge(&mut self, now: f64, entries: Vec<NamedEntry>) -> Vec<String> {
        let mut news = Vec::new();
        for (name, entry) in entries {
            if !self.items.merge(&name, &entry) {
                continue;
            }
            let fact = entry.body.as_deref().and_then(|body| parse_item(&name, &entry.host, body).ok());
            // One that was ready and hears of an end only may have missed the beginning. What had ended before this life is old.
            if let Some(zone) = name.strip_prefix("e:")
                && fact.is_none()
                && (self.up_to_date || self.table.evacuated_zones.contains(zone))
            {
                self.back.insert(Node::Zone(zone.to_owned()), Returned { heard: now, evacuated: true });
            }
            self.table.set(&name, entry.stamp, fact);
            news.push(name);
        }
        self.update_drains(now);
        news
    }

    /// A list that came; false if it is not news.
    pub fn set_listing(&mut self, now: f64, listing: BackendList) -> bool {
        if listing.stamp <= self.listing.stamp {
            return false;
        }
        for backend in listing.backends.iter().filter(|b| b.draining) {
            self.drained.insert(backend.id.clone());
        }
        while self.drained.len() > MOST {
            self.drained.pop_first();
        }
        (self.listing, self.listed) = (listing, now);
        true
    }

    /// True time, as a registry vouches for it now.
    pub fn set_true_time(&mut self, now: f64, time: Span) {
        self.time = Some((now, time));
    }

    /// True time now, carried on from when it was told.
    pub fn true_time(&self, now: f64) -> Option<Span> {
        self.time.map(|(at, span)| span.later(now - at))
    }

    /// Which drains are heeded now: those of the work orders, until their hours have ended by whatever time there is. Whoever is cut
    /// off carries on the last time that it was told. Nodes that go back count as cold for a moment, until the list says how
    /// they are. Whether anything has changed.
    pub fn update_drains(&mut self, now: f64) -> bool {
        let over = |ends: f64| self.time.is_some_and(|(at, span)| span.later(now - at).latest >= ends);
        let drains = self.table.drains.values().filter(|drain| !over(drain.ends));
        let out: BTreeSet<Node> = drains.flat_map(Drain::nodes).collect();
        if out == self.out {
            return false;
        }
        for node in self.out.difference(&out) {
            self.back.insert(node.clone(), Returned { heard: now, evacuated: false });
        }
        self.out = out;
        true
    }

    /// Nodes that are drained.
    pub fn drained_nodes(&self) -> &BTreeSet<Node> {
        &self.out
    }

    /// Whether this proxy is to be left by its clients.
    pub fn is_drained(&self) -> bool {
        self.out.contains(&Node::Proxy(self.location.host))
            || self.out.contains(&Node::Zone(self.location.zone.clone()))
    }

    /// Drained nodes where nothing of this proxy's is at work. `working`: backends that may have something of it; `clients`:
    /// whether any are connected here.
    pub fn idle_nodes(&self, working: &BTreeSet<String>, clients: bool) -> Vec<String> {
        let zone_of =
            |id: &String| self.listing.backends.iter().find(|b| b.id == *id).map(|b| b.zone.as_str());
        let busy = |node: &&Node| match node {
            Node::Backend(id) => working.contains(id),
            Node::Proxy(host) => *host == self.location.host && clients,
            // Of one that is no longer listed nobody knows where it is.
            Node::Zone(zone) => {
                working.iter().any(|id| zone_of(id).is_none_or(|z| z == zone))
                    || *zone == self.location.zone && clients
            }
        };
        self.out.iter().filter(|node| !busy(node)).map(Node::to_string).collect()
    }

    /// The number of a region among all, in the order of their names.
    pub fn cell(&self, region: &str) -> u64 {
        let regions: BTreeSet<&str> = self.location.zone_regions.values().map(String::as_str).collect();
        regions.iter().position(|r| *r == region).map_or(u64::MAX, |at| at as u64)
    }

    fn region<'a>(&'a self, zone: &str) -> &'a str {
        self.location.zone_regions.get(zone).map_or("", String::as_str)
    }

    /// Whether anything runs out by itself: nodes that went back are taken for cold only for a while, and whoever owns cold backends
    /// changes with time.
    pub fn needs_update(&self, now: f64) -> bool {
        !self.back.is_empty() || self.owners.may_change(now, UPDATE_INTERVAL) && self.has_cold(now)
    }

    /// Whether the list names a backend that is cold now.
    fn has_cold(&self, now: f64) -> bool {
        let mut spans = self.listing.backends.iter().map(|backend| backend.cold_ms);
        spans.any(|span| span > 0 && now < self.listed + f64::from(span))
    }

    /// The backends of a service, with the terms of the choice as of now.
    pub fn backends(&mut self, now: f64, service: &str) -> Vec<KnownBackend> {
        let longest = self.table.services.values().map(|service| service.cold_start).fold(0.0, f64::max);
        let kept = longest.max(BACK_COLD) + self.location.max_list_age;
        self.back.retain(|_, returned| now < returned.heard + kept);
        let of = self.listing.backends.iter().filter(|b| b.service == service);
        let own = self.own(of.clone());
        of.map(|backend| self.known(now, service, backend, own.get(backend.id.as_str()).copied())).collect()
    }

    /// The backends of this proxy's region are shared out among its proxies, so that each has some of its own: with how many
    /// others it shares each. Where there are more backends, each in turn goes to the proxy with the fewest slots so far; where
    /// there are more proxies, each in turn takes the backend with the fewest proxies to a slot. Those of one zone go together
    /// as far as that is even. All proxies that know the same share alike.
    fn own<'a>(&self, backends: impl Iterator<Item = &'a Backend>) -> BTreeMap<&'a str, f64> {
        let here = |zone: &str| self.region(zone) == self.location.region;
        let mut near: Vec<&Backend> = backends.filter(|b| here(&b.zone) && self.takes(b)).collect();
        let draw = |b: &Backend| fennelscale_messages::hash(b.id.as_bytes());
        near.sort_by_key(|b| (draw(b), &b.id));
        let proxies = self.members.iter().filter(|m| m.ready && m.region == self.location.region);
        let turn = |b: &Backend, m: &ProxyInfo| fennelscale_messages::mix(draw(b) ^ u64::from(m.host.0));
        let mut own = BTreeMap::new();
        if near.len() >= proxies.clone().count() {
            let mut parts: Vec<(u32, &ProxyInfo)> = proxies.map(|m| (0, m)).collect();
            for backend in near {
                let first =
                    |(slots, m): &&mut (u32, &ProxyInfo)| (*slots, m.zone != backend.zone, turn(backend, m));
                let Some((slots, member)) = parts.iter_mut().min_by_key(first) else { continue };
                *slots += backend.slots.max(1);
                if member.host == self.location.host {
                    own.insert(backend.id.as_str(), 1.0);
                }
            }
            return own;
        }
        let mut parts: Vec<(u32, &Backend)> = near.into_iter().map(|b| (0, b)).collect();
        let mut mine = None;
        for member in proxies {
            let first = |(at, (taken, b)): &(usize, &(u32, &Backend))| {
                // In whole numbers: all must share alike.
                (*taken * 1000 / b.slots.max(1), b.zone != member.zone, turn(b, member), *at)
            };
            let Some((at, _)) = parts.iter().enumerate().min_by_key(first) else { continue };
            parts[at].0 += 1;
            if member.host == self.location.host {
                mine = Some(at);
            }
        }
        own.extend(mine.map(|at| (parts[at].1.id.as_str(), f64::from(parts[at].0))));
        own
    }

    fn takes(&self, backend: &Backend) -> bool {
        !backend.draining
            && !self.drained.contains(&backend.id)
            && !self.table.evacuated_zones.contains(&backend.zone)
            && (self.out.is_empty()
                || !self.out.contains(&Node::Backend(backend.id.clone()))
                    && !self.out.contains(&Node::Zone(backend.zone.clone())))
    }

    /// Until when a backend counts as cold because its node went back. Guards backends that turned cold as an evacuation ended against
    /// a list that is older than that: they count as cold until a list came that was read later by the platform's lag, and where
    /// none comes for as long as any backend of the service is cold after its start.
    fn back_until(&self, backend: &Backend, cold_start: f64) -> f64 {
        if self.back.is_empty() {
            return 0.0;
        }
        let until = |returned: &Returned| match returned {
            Returned { heard, evacuated: false } => heard + BACK_COLD + self.location.max_list_age,
            Returned { heard, .. } if self.listed >= heard + self.location.max_list_age + LIST_WAY => 0.0,
            Returned { heard, .. } => heard + cold_start.max(BACK_COLD) + self.location.max_list_age,
        };
        let nodes = [Node::Backend(backend.id.clone()), Node::Zone(backend.zone.clone())];
        nodes.iter().filter_map(|node| self.back.get(node)).map(until).fold(0.0, f64::max)
    }

    fn known(&self, now: f64, service: &str, backend: &Backend, own: Option<f64>) -> KnownBackend {
        let region = self.region(&backend.zone);
        let ready = self.takes(backend);
        let (way, price) = if backend.zone == self.location.zone {
            (IN_ZONE, 0.0)
        } else if region == self.location.region {
            (IN_REGION, ZONE_PRICE)
        } else {
            (FAR, REGION_PRICE)
        };
        let sharers = self.members.iter().filter(|m| m.ready && m.region == region).count().max(1) as f64;
        let (own, sharers) = (own.is_some(), own.unwrap_or(sharers));
        let listed = if backend.cold_ms > 0 { self.listed + f64::from(backend.cold_ms) } else { 0.0 };
        let (cold, cold_start) =
            self.table.services.get(service).map_or((0.0, 0.0), |s| (s.cold_per_s, s.cold_start));
        let cold_until = listed.max(self.back_until(backend, cold_start));
        let owns = || self.owners.owns(now, self.location.host, backend, |zone| self.region(zone));
        let cold_per_s = if cold_until > now && owns() { cold * COLD_SHARE } else { 0.0 };
        let slots = f64::from(backend.slots.max(1));
        let terms = doorcourse::BackendParameters {
            slots,
            sharers,
            is_owned: own,
            round_trip: way,
            distance_cost: price,
            cold_until,
            cold_rate_per_s: cold_per_s,
        };
        KnownBackend { backend: backend.clone(), ready, cell: self.cell(region), terms }
    }

    /// The terms that hold for all backends of a service together.
    pub fn mesh_terms(&self, ratio: f64, slack: f64) -> doorcourse::FleetParameters {
        doorcourse::FleetParameters {
            gateways: self.proxy_count,
            retry_ratio: ratio,
            retry_slack: slack,
            typical_latency: USUAL,
        }
    }
}

#[cfg(test)]
mod tests;
