//! The next maintenance step: which node is drained, released or returned to service, and why not.
//!
//! Every decision is made from one [`View`]; a step is written only if no relevant item has changed since
//! ([`crate::view_hash`]). Returns to service are decided first and need no trusted time; a drain needs all
//! conditions.
//!
//! # How the window is kept
//!
//! True time lies in `[earliest, latest]`. A node begins to drain only if the whole interval lies in the
//! window and `latest` leaves room for the order's `out_duration`, for the return, and for a step that is
//! written late ([`MAX_STEP_DELAY`]). It returns once `latest` is within `return_time` of the end. Each proxy
//! by itself ends a drain when the window ends, even if it is isolated. A registry without a trusted time for
//! [`crate::clock::MAX_EXTRAPOLATION`] returns all drained nodes to service.
//!
//! # What a failure does
//!
//! Unreachable core members and proxies, evacuated zones and backends that the platform drains count as out.
//! While a core member outside the drained zones, or any proxy, is unreachable, nothing further is drained.

use crate::Millis;
use crate::clock::TimeInterval;
use crate::contract::{Contract, Window};
use crate::order::{Node, OrderState, WorkOrder};
use crate::record::{MaintenanceRecord, Phase, Step};
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, ProxyInfo};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A decided step is written within this, in ms, or not at all: the time of a call to the store, and the same
/// again.
pub const MAX_STEP_DELAY: Millis = 8000.0;

/// The state that one registry decides from.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// True time, if it is trusted.
    pub now: Option<TimeInterval>,
    /// Existing contracts.
    pub contracts: BTreeMap<String, Contract>,
    /// Existing orders.
    pub orders: BTreeMap<String, WorkOrder>,
    /// Maintenance records, including those of orders that have since been removed.
    pub records: BTreeMap<String, MaintenanceRecord>,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
    /// The platform's backend list.
    pub backends: Vec<Backend>,
    /// Proxies with a session; [`ProxyInfo::idle_nodes`] are the nodes where each has no work in progress.
    pub proxies: Vec<ProxyInfo>,
    /// The number of proxies that stopped responding and may still serve.
    pub isolated_proxies: usize,
    /// The zones of core members that cannot be reached.
    pub unreachable_zones: Vec<String>,
    /// Evacuated zones.
    pub evacuated_zones: BTreeSet<String>,
    /// How many zones may be lost at once.
    pub max_lost_zones: usize,
    /// How many regions may be lost at once.
    pub max_lost_regions: usize,
    /// Where requests may go: each service with the regions of a route that names it; empty for all regions.
    pub service_regions: Vec<(String, Vec<String>)>,
    /// The local copy is not confirmed by a quorum, or this registry is isolated.
    pub may_be_stale: bool,
}

/// Why a node is not drained now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// The reason as operators see it, with what is missing.
    pub text: String,
    /// Waiting does not help: the order cannot be carried out as it is.
    pub is_permanent: bool,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

fn temporary(text: impl Into<String>) -> Reason {
    Reason { text: text.into(), is_permanent: false }
}

fn permanent(text: impl Into<String>) -> Reason {
    Reason { text: text.into(), is_permanent: true }
}

/// A step to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedStep {
    /// The name of the order.
    pub order: String,
    /// The record with the step added.
    pub record: MaintenanceRecord,
    /// The node of the step.
    pub node: Node,
    /// The phase of the step.
    pub phase: Phase,
}

impl View {
    fn region(&self, zone: &str) -> &str {
        self.zone_regions.get(zone).map_or("", String::as_str)
    }

    /// All nodes that work orders drain now.
    fn drained_nodes(&self) -> Vec<Node> {
        self.records.values().flat_map(MaintenanceRecord::drained_nodes).collect()
    }

    fn zone_of(&self, node: &Node) -> Option<&str> {
        match node {
            Node::Zone(zone) => self.zone_regions.get_key_value(zone).map(|(zone, _)| zone.as_str()),
            Node::Backend(id) => self.backends.iter().find(|b| b.id == *id).map(|b| b.zone.as_str()),
            Node::Proxy(host) => {
                self.proxies.iter().find(|proxy| proxy.host == *host).map(|m| m.zone.as_str())
            }
        }
    }

    fn contains_backend(node: &Node, backend: &Backend) -> bool {
        match node {
            Node::Backend(id) => *id == backend.id,
            Node::Zone(zone) => *zone == backend.zone,
            Node::Proxy(_) => false,
        }
    }

    fn contains_proxy(node: &Node, proxy: &ProxyInfo) -> bool {
        match node {
            Node::Proxy(host) => *host == proxy.host,
            Node::Zone(zone) => *zone == proxy.zone,
            Node::Backend(_) => false,
        }
    }

    /// The order's current maintenance window, if the whole interval of true time lies in it.
    fn current_window(&self, order: &WorkOrder, contract: &Contract) -> Result<Window, Reason> {
        let Some(now) = self.now else { return Err(temporary("no time of day can be trusted now")) };
        let hours = contract.window_at(now.earliest).filter(|window| now.latest < window.to);
        hours.ok_or_else(|| temporary(format!("outside the hours of {}", order.contract)))
    }

    /// When the next window of an order's contract begins, formatted for display; `None` if there is no next
    /// window or no trusted time.
    pub fn next_window_start(&self, order: &WorkOrder) -> Option<String> {
        let contract = self.contracts.get(&order.contract)?;
        let next = contract.next_window(self.now?.latest)?;
        Some(crate::contract::format_time(&contract.time_zone, next.from))
    }

    fn approved_contract(&self, order: &WorkOrder) -> Result<&Contract, Reason> {
        let contract = self
            .contracts
            .get(&order.contract)
            .ok_or_else(|| permanent(format!("there is no contract {}", order.contract)))?;
        match contract.approved_by {
            Some(_) => Ok(contract),
            None => Err(temporary(format!("contract {} is not approved", order.contract))),
        }
    }

    /// Whether drained nodes of an order may stay out, and until when.
    fn may_stay_out(&self, name: &str) -> Result<Millis, Reason> {
        let order = self.orders.get(name).ok_or_else(|| permanent("the order was dropped"))?;
        match order.state {
            OrderState::Running | OrderState::Paused => {}
            other => return Err(permanent(format!("the order is {}", other.name()))),
        }
        let contract = self.approved_contract(order)?;
        let window = self.current_window(order, contract)?;
        match self.now {
            Some(now) if window.to - now.latest > order.return_time => Ok(window.to),
            _ => Err(temporary("the hours end")),
        }
    }

    /// Whether a node exists and the contract covers it.
    fn check_node(&self, order: &WorkOrder, node: &Node) -> Result<(), Reason> {
        let zone = self.zone_of(node).ok_or_else(|| match node {
            Node::Zone(zone) => permanent(format!("there is no zone {zone}")),
            Node::Backend(id) => temporary(format!("backend {id} is not on the platform's list")),
            Node::Proxy(host) => temporary(format!("proxy {host} has no session")),
        })?;
        let contract = self.contracts.get(&order.contract);
        if contract.is_some_and(|contract| !contract.covers(zone, self.region(zone))) {
            return Err(permanent(format!("contract {} does not cover zone {zone}", order.contract)));
        }
        Ok(())
    }

    /// Whether each service keeps a backend, and clients a proxy, without a node and all drained nodes.
    fn leaves_enough_backends(&self, node: &Node) -> Result<(), Reason> {
        let out = self.drained_nodes();
        let is_out = |backend: &Backend, with: bool| {
            backend.draining
                || self.evacuated_zones.contains(&backend.zone)
                || out.iter().any(|n| Self::contains_backend(n, backend))
                || with && Self::contains_backend(node, backend)
        };
        // With nothing else out: a backend that is missing then is missing permanently.
        let alone = |backend: &Backend| backend.draining || Self::contains_backend(node, backend);
        let affected: BTreeSet<&str> = self
            .backends
            .iter()
            .filter(|b| Self::contains_backend(node, b))
            .map(|b| b.service.as_str())
            .collect();
        let all = affected.iter().map(|service| ((*service).to_owned(), Vec::new()));
        let restricted =
            self.service_regions.iter().filter(|(service, _)| affected.contains(service.as_str())).cloned();
        for (service, regions) in all.chain(restricted) {
            let in_regions = |b: &&Backend| {
                b.service == service
                    && (regions.is_empty() || regions.iter().any(|r| *r == self.region(&b.zone)))
            };
            let of = || self.backends.iter().filter(in_regions);
            if !of().any(|b| Self::contains_backend(node, b)) {
                continue;
            }
            let place = if regions.is_empty() {
                String::new()
            } else {
                format!(" in {}, its only homes", regions.join(", "))
            };
            if of().all(alone) {
                return Err(permanent(format!(
                    "{node} is the last of {service}{place}: another backend is missing there"
                )));
            }
            if of().all(|b| is_out(b, true)) {
                return Err(temporary(format!("{node} is the last of {service}{place} that is not out now")));
            }
        }
        self.leaves_enough_proxies(node, &out)
    }

    /// Whether clients keep a proxy to connect to. A region whose last proxy is drained is lost to its
    /// clients, who go to another region; the deployment tolerates only so many lost regions at once.
    fn leaves_enough_proxies(&self, node: &Node, out: &[Node]) -> Result<(), Reason> {
        let takes = |m: &&ProxyInfo, with: bool| {
            m.ready
                && !out.iter().any(|n| Self::contains_proxy(n, m))
                && !(with && Self::contains_proxy(node, m))
        };
        let regions: BTreeSet<&str> = self.zone_regions.values().map(String::as_str).collect();
        let without = |region: &&&str, with: bool| {
            !self.proxies.iter().any(|m| m.region == **region && takes(&m, with))
        };
        let before = regions.iter().filter(|region| without(region, false)).count();
        let after = regions.iter().filter(|region| without(region, true)).count();
        if after == before {
            return Ok(());
        }
        if self.proxies.iter().all(|m| Self::contains_proxy(node, m)) {
            return Err(permanent(format!("{node} holds the last proxy there is: another is missing")));
        }
        if self.max_lost_regions == 0 {
            return Err(permanent(format!(
                "{node} holds the last proxy of its region, and no region may be lost"
            )));
        }
        if after > self.max_lost_regions || after == regions.len() {
            return Err(temporary(format!(
                "{node} holds the last proxy of its region; {before} regions have none already"
            )));
        }
        Ok(())
    }

    /// Fails if a core member outside the drained zones is unreachable, or any proxy has stopped responding.
    fn check_no_failures(&self) -> Result<(), Reason> {
        let out = self.drained_nodes();
        let is_drained = |zone: &String| out.contains(&Node::Zone(zone.clone()));
        if let Some(zone) = self.unreachable_zones.iter().find(|zone| !is_drained(zone)) {
            return Err(temporary(format!("the core machine of zone {zone} is silent")));
        }
        if self.isolated_proxies > 0 {
            return Err(temporary(format!(
                "{} proxies went silent and may still serve",
                self.isolated_proxies
            )));
        }
        Ok(())
    }

    /// Whether one more drained node stays within the limits, together with all that is out, planned or not.
    fn check_limits(&self, order: &WorkOrder, node: &Node) -> Result<(), Reason> {
        let out = self.drained_nodes();
        let full =
            |what: String, most: usize| temporary(format!("{what}: {most} at once at most are out already"));
        let drained_by_order = self.records.get(&order.name).map_or(0, |record| record.drained_nodes().len());
        if drained_by_order >= order.limits.order {
            return Err(full(format!("order {}", order.name), order.limits.order));
        }
        let zone = self.zone_of(node).unwrap_or_default();
        let region = self.region(zone);
        let lost_zones: BTreeSet<&str> =
            self.unreachable_zones.iter().chain(&self.evacuated_zones).map(String::as_str).collect();
        // A zone that is both drained by an order and lost counts once.
        let zones: Vec<&str> = out.iter().filter_map(|n| self.zone_of(n)).collect();
        let lost_only = lost_zones.iter().filter(|z| !out.contains(&Node::Zone((**z).to_owned())));
        let in_zone =
            zones.iter().filter(|z| **z == zone).count() + lost_only.clone().filter(|z| **z == zone).count();
        if in_zone >= order.limits.zone {
            return Err(full(format!("zone {zone}"), order.limits.zone));
        }
        let in_region = zones.iter().filter(|z| self.region(z) == region).count()
            + lost_only.clone().filter(|z| self.region(z) == region).count();
        if in_region >= order.limits.region {
            return Err(full(format!("region {region}"), order.limits.region));
        }
        if let Node::Zone(_) = node {
            let zones_out = out.iter().filter(|n| matches!(n, Node::Zone(_))).count() + lost_only.count();
            if zones_out >= self.max_lost_zones {
                return Err(temporary(format!(
                    "{zones_out} zones are out or lost, as many as may be at once"
                )));
            }
        }
        if let Node::Backend(id) = node
            && let Some(service) = self.backends.iter().find(|b| b.id == *id).map(|b| &b.service)
        {
            let of = self.backends.iter().filter(|b| b.service == *service);
            let backends_out = of.filter(|b| {
                b.draining
                    || self.evacuated_zones.contains(&b.zone)
                    || out.iter().any(|n| Self::contains_backend(n, b))
            });
            if backends_out.count() >= order.limits.service {
                return Err(full(format!("service {service}"), order.limits.service));
            }
        }
        Ok(())
    }

    /// Whether a node may begin to drain now; returns the end of the window.
    ///
    /// # Errors
    /// Returns the reason if it may not.
    pub fn may_drain(&self, order: &WorkOrder, node: &Node) -> Result<Millis, Reason> {
        match self.records.get(&order.name).and_then(|record| record.last_step(node)) {
            None => {}
            Some(step) if step.phase.is_drained() => {
                return Err(temporary(format!("it is {}: {}", step.phase.name(), step.why)));
            }
            Some(step) => return Err(permanent(format!("it was {}: {}", step.phase.name(), step.why))),
        }
        if order.state != OrderState::Running {
            return Err(temporary(format!("the order is {}", order.state.name())));
        }
        let contract = self.approved_contract(order)?;
        self.check_node(order, node)?;
        let window = self.current_window(order, contract)?;
        let required = order.out_duration + order.return_time + MAX_STEP_DELAY;
        match self.now {
            Some(now) if window.to - now.latest >= required => {}
            _ => {
                let end = crate::contract::format_time(&contract.time_zone, window.to);
                return Err(temporary(format!(
                    "the hours end {end}: {:.0} s are wanted before",
                    required / 1000.0
                )));
            }
        }
        if self.may_be_stale {
            return Err(temporary("this gateway's copy is not known to be the newest"));
        }
        self.check_no_failures()?;
        self.check_limits(order, node)?;
        self.leaves_enough_backends(node)?;
        if self.drained_nodes().iter().any(|out| self.overlaps(out, node)) {
            return Err(temporary(format!("{node} or a part of it is out by another order")));
        }
        Ok(window.to)
    }

    fn overlaps(&self, one: &Node, other: &Node) -> bool {
        one == other
            || self
                .backends
                .iter()
                .any(|b| Self::contains_backend(one, b) && Self::contains_backend(other, b))
            || self.proxies.iter().any(|m| Self::contains_proxy(one, m) && Self::contains_proxy(other, m))
    }

    /// The obstacles to an order, by node; changes nothing. Callers look at the permanent ones.
    pub fn check_order(&self, order: &WorkOrder) -> Vec<(Node, Reason)> {
        let check = |node: &Node| -> Result<(), Reason> {
            let contract = self
                .contracts
                .get(&order.contract)
                .ok_or_else(|| permanent(format!("there is no contract {}", order.contract)))?;
            self.check_node(order, node)?;
            let long = |window: Window| {
                window.to - window.from >= order.out_duration + order.return_time + MAX_STEP_DELAY
            };
            if let Some(now) = self.now
                && contract.window_at(now.earliest).is_none()
                && !contract.next_window(now.latest).is_some_and(long)
            {
                return Err(permanent(
                    "the next hours are too short for the order's length, or there are none",
                ));
            }
            if matches!(node, Node::Zone(_)) && self.max_lost_zones == 0 {
                return Err(permanent("the deployment bears the loss of no zone"));
            }
            self.leaves_enough_backends(node)
        };
        order.nodes.iter().filter_map(|node| Some((node.clone(), check(node).err()?))).collect()
    }

    /// Proxies that still have work in progress at a node, or do not know of the drain yet.
    pub fn busy_proxies(&self, node: &Node) -> Vec<Host> {
        let name = node.to_string();
        let busy = self.proxies.iter().filter(|m| !m.idle_nodes.contains(&name));
        busy.map(|proxy| proxy.host).collect()
    }
}

fn new_step(view: &View, by: &str, phase: Phase, why: String) -> Step {
    Step { phase, at: view.now.map_or(0.0, |now| now.latest), by: by.to_owned(), why }
}

/// When the current phase of a node began. Notes within the phase do not count.
fn phase_start(record: &MaintenanceRecord, node: &Node) -> Millis {
    let steps = record.nodes.get(&node.to_string()).map_or(&[][..], Vec::as_slice);
    let phase = steps.last().map(|step| step.phase);
    steps.iter().rev().take_while(|step| Some(step.phase) == phase).last().map_or(0.0, |step| step.at)
}

fn record_step(view: &View, by: &str, name: &str, node: &Node, phase: Phase, why: String) -> PlannedStep {
    let mut record = view.records.get(name).cloned().unwrap_or_default();
    record.nodes.entry(node.to_string()).or_default().push(new_step(view, by, phase, why));
    PlannedStep { order: name.to_owned(), record, node: node.clone(), phase }
}

/// The next return to service, or change of the window's end, of an order.
fn next_return(view: &View, by: &str, name: &str, record: &MaintenanceRecord) -> Option<PlannedStep> {
    let order = view.orders.get(name);
    for node in record.drained_nodes() {
        let last = record.last_step(&node)?;
        let return_node = |phase, why: String| Some(record_step(view, by, name, &node, phase, why));
        let ends = match view.may_stay_out(name) {
            Ok(ends) => ends,
            Err(why) => return return_node(Phase::Unserviced, why.text),
        };
        let (Some(order), Some(now)) = (order, view.now) else { continue };
        if ends < record.ends {
            // Isolated proxies go by the end that they were told.
            let mut next = record_step(view, by, name, &node, last.phase, "the hours were moved".into());
            next.record.ends = ends;
            return Some(next);
        }
        match last.phase {
            Phase::Out if now.earliest - phase_start(record, &node) >= order.out_duration => {
                return return_node(Phase::Serviced, format!("out for {:.0} s", order.out_duration / 1000.0));
            }
            Phase::Draining if order.state == OrderState::Paused => {
                return return_node(Phase::Unserviced, "the order was paused while it drained".into());
            }
            Phase::Draining if ends - now.latest < order.out_duration + order.return_time => {
                let busy: Vec<String> = view.busy_proxies(&node).iter().map(Host::to_string).collect();
                let why = format!("the hours end before its work is done; waited for {}", busy.join(" "));
                return return_node(Phase::Unserviced, why);
            }
            _ => {}
        }
    }
    None
}

/// The next release of a drained node of an order.
fn next_release(view: &View, by: &str, name: &str, record: &MaintenanceRecord) -> Option<PlannedStep> {
    if view.may_be_stale || view.check_no_failures().is_err() {
        return None;
    }
    let draining =
        record.drained_nodes().into_iter().filter(|node| record.phase(node) == Some(Phase::Draining));
    let idle = draining.filter(|node| view.busy_proxies(node).is_empty()).collect::<Vec<_>>();
    let node = idle.first()?;
    let took = view.now.map_or(0.0, |now| (now.latest - phase_start(record, node)).max(0.0) / 1000.0);
    let why = format!("all {} proxies have nothing at work there, after {took:.1} s", view.proxies.len());
    Some(record_step(view, by, name, node, Phase::Out, why))
}

/// The next step of the orders that this registry holds. Returns to service come before releases, and these
/// before drains.
pub fn next_step(view: &View, by: &str, mine: impl Fn(&str) -> bool) -> Option<PlannedStep> {
    let records = || view.records.iter().filter(|(name, _)| mine(name));
    if let Some(next) = records().find_map(|(name, record)| next_return(view, by, name, record)) {
        return Some(next);
    }
    if let Some(next) = records().find_map(|(name, record)| next_release(view, by, name, record)) {
        return Some(next);
    }
    for (name, order) in view.orders.iter().filter(|(name, _)| mine(name)) {
        let record = view.records.get(name);
        let has_begun = |node: &&Node| record.is_some_and(|record| record.phase(node).is_some());
        // Strictly in the given sequence: a node that cannot be drained now blocks those after it.
        let Some(node) = order.nodes.iter().find(|node| !has_begun(node)) else { continue };
        if let Ok(ends) = view.may_drain(order, node) {
            let why = format!("by contract {}", order.contract);
            let mut next = record_step(view, by, name, node, Phase::Draining, why);
            next.record.ends = ends;
            return Some(next);
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::contract::{Rule, TimeRange, parse_day, parse_time, parse_zone};
    use crate::order::OutLimits;

    /// 22:00:00 UTC on a Wednesday.
    const AT: Millis = 1_796_248_800_000.0;

    fn view() -> View {
        let between = TimeRange { from: parse_time("21:00").unwrap(), to: parse_time("22:01").unwrap() };
        let contract = Contract {
            name: "n".into(),
            time_zone: parse_zone("UTC").unwrap(),
            rules: vec![Rule { days: vec![parse_day("wed").unwrap()], between }],
            exceptions: BTreeMap::new(),
            places: ["r".to_owned()].into(),
            approved_by: Some("a".into()),
        };
        let order = WorkOrder {
            name: "o".into(),
            contract: "n".into(),
            nodes: vec![Node::Backend("x".into())],
            out_duration: 10_000.0,
            return_time: 6000.0,
            limits: OutLimits { order: 9, zone: 9, region: 9, service: 9 },
            state: OrderState::Running,
            approved_by: Some("a".into()),
        };
        let backend = |id: &str, service: &str| Backend {
            id: id.into(),
            service: service.into(),
            address: "10.0.0.1:1".into(),
            zone: "z".into(),
            slots: 1,
            draining: false,
            cold_ms: 0,
        };
        View {
            now: Some(TimeInterval { earliest: AT, latest: AT + 500.0 }),
            contracts: [("n".to_owned(), contract)].into(),
            orders: [("o".to_owned(), order)].into(),
            zone_regions: [("z".to_owned(), "r".to_owned())].into(),
            backends: vec![backend("x", "s"), backend("y", "s"), backend("w", "s")],
            max_lost_zones: 1,
            max_lost_regions: 1,
            ..View::default()
        }
    }

    fn out(view: &mut View, order: &str, node: &str, phase: Phase, ends: Millis) {
        let step = Step { phase, at: AT, by: "g".into(), why: String::new() };
        let record = view.records.entry(order.to_owned()).or_default();
        record.nodes.insert(node.to_owned(), vec![step]);
        record.ends = ends;
    }

    #[test]
    fn a_node_returns_to_service_its_return_time_before_the_window_ends() {
        let mut view = view();
        let ends = AT + 60_000.0;
        out(&mut view, "o", "backend:x", Phase::Out, ends);
        let at = |view: &mut View, latest: Millis| {
            view.now = Some(TimeInterval { earliest: AT + 5000.0, latest });
            next_step(view, "g", |_| true).map(|next| next.phase)
        };
        assert_eq!(at(&mut view, ends - 6100.0), None);
        assert_eq!(at(&mut view, ends - 6000.0), Some(Phase::Unserviced), "by the latest possible time");
    }

    #[test]
    fn an_earlier_end_of_the_window_is_recorded_for_drained_nodes() {
        let mut view = view();
        out(&mut view, "o", "backend:x", Phase::Out, AT + 90_000.0);
        let told = next_step(&view, "g", |_| true).unwrap();
        assert_eq!((told.phase, told.record.ends), (Phase::Out, AT + 60_000.0));
        // The time that it has been out is counted from the begin of the phase.
        view.records.insert("o".into(), told.record);
        view.now = Some(TimeInterval { earliest: AT + 10_600.0, latest: AT + 11_000.0 });
        assert_eq!(next_step(&view, "g", |_| true).map(|next| next.phase), Some(Phase::Serviced));
    }

    #[test]
    fn the_last_backend_of_a_service_or_of_its_allowed_regions_is_not_drained() {
        let mut view = view();
        let order = view.orders["o"].clone();
        let node = Node::Backend("x".into());
        assert!(view.may_drain(&order, &node).is_ok());
        // The others are drained by another order: the node waits.
        out(&mut view, "p", "backend:y", Phase::Draining, AT + 60_000.0);
        assert!(view.may_drain(&order, &node).is_ok());
        out(&mut view, "p", "backend:w", Phase::Out, AT + 60_000.0);
        assert!(!view.may_drain(&order, &node).unwrap_err().is_permanent);
        // No other backend exists in the regions where a route must be served: the obstacle is permanent.
        view.records.clear();
        view.backends[1].zone = "far".into();
        view.backends[2].zone = "far".into();
        view.zone_regions.insert("far".into(), "q".into());
        assert!(view.may_drain(&order, &node).is_ok());
        view.service_regions = vec![("s".into(), vec!["r".into()])];
        let why = view.may_drain(&order, &node).unwrap_err();
        assert!(why.is_permanent && why.text.contains("its only homes"), "{why}");
        assert_eq!(view.check_order(&order).len(), 1);
    }
}
