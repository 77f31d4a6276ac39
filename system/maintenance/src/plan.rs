//! What is done next: which node is drained, which is released, which goes back, and why not.
//!
//! Everything is decided from one [`View`]; a step is written only if nothing in it that counts has changed
//! ([`crate::view_hash`]). Going back is decided before all else and needs no time that can be trusted; draining needs everything.
//!
//! # How the hours are kept
//!
//! True time lies in `[earliest, latest]`. A node begins to drain only if the whole span lies in the hours and `latest` leaves
//! room for the order's length, for going back, and for a step that is chosen late ([`MAX_STEP_DELAY`]). It goes back once `latest` is
//! within `back_before` of the end. What is told to proxies ends with the hours at each proxy by itself, wherever it is cut off.
//! A gateway that has no time to trust for [`crate::clock::MAX_EXTRAPOLATION`] takes back all that is out.
//!
//! # What a loss does
//!
//! While a seat or a proxy is silent, a zone evacuated or a backend drained by the platform, these count as out; while a seat or
//! a proxy outside of what is serviced is silent nothing further is drained.

use crate::Millis;
use crate::clock::TimeInterval;
use crate::contract::{Contract, Window};
use crate::order::{Node, OrderState, WorkOrder};
use crate::record::{MaintenanceRecord, Phase, Step};
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, ProxyInfo};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A step that was decided is chosen within this, or not at all: the time of a call to the store, and as much again.
pub const MAX_STEP_DELAY: Millis = 8000.0;

/// What one gateway sees.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// True time.
    pub now: Option<TimeInterval>,
    /// Contracts that stand.
    pub contracts: BTreeMap<String, Contract>,
    /// Orders that stand.
    pub orders: BTreeMap<String, WorkOrder>,
    /// Records, also of orders that have been dropped since.
    pub records: BTreeMap<String, MaintenanceRecord>,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
    /// The platform's list.
    pub backends: Vec<Backend>,
    /// Proxies with a session; [`ProxyInfo::quiet`] says where each has nothing at work.
    pub proxies: Vec<ProxyInfo>,
    /// Proxies that went silent and may still serve: how many.
    pub isolated_proxies: usize,
    /// Zones of seats that are not heard.
    pub unreachable_zones: Vec<String>,
    /// Zones that are to get nothing.
    pub evacuated_zones: BTreeSet<String>,
    /// Zones that may be lost at once.
    pub max_lost_zones: usize,
    /// Regions that may be lost at once.
    pub max_lost_regions: usize,
    /// Where requests may go: a service, and the regions of a route that names it; empty for all.
    pub service_regions: Vec<(String, Vec<String>)>,
    /// The copy is not a quorum's, or this gateway is cut off.
    pub may_be_stale: bool,
}

/// Why a node is not drained now. `lasting`: it won't be, however long one waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// In words, with what is missing.
    pub text: String,
    /// The order can't be carried out as it stands.
    pub is_permanent: bool,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

fn later(text: impl Into<String>) -> Reason {
    Reason { text: text.into(), is_permanent: false }
}

fn never(text: impl Into<String>) -> Reason {
    Reason { text: text.into(), is_permanent: true }
}

/// A step that is to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedStep {
    /// Of which order.
    pub order: String,
    /// The record with the step.
    pub record: MaintenanceRecord,
    /// The node and what begins for it, for the log.
    pub node: Node,
    /// What begins.
    pub phase: Phase,
}

impl View {
    fn region(&self, zone: &str) -> &str {
        self.zone_regions.get(zone).map_or("", String::as_str)
    }

    /// All that is out by plan.
    fn planned(&self) -> Vec<Node> {
        self.records.values().flat_map(MaintenanceRecord::drained_nodes).collect()
    }

    fn zone_of(&self, node: &Node) -> Option<&str> {
        match node {
            Node::Zone(zone) => self.zone_regions.get_key_value(zone).map(|(zone, _)| zone.as_str()),
            Node::Backend(id) => self.backends.iter().find(|b| b.id == *id).map(|b| b.zone.as_str()),
            Node::Proxy(host) => self.proxies.iter().find(|m| m.host == *host).map(|m| m.zone.as_str()),
        }
    }

    fn holds(node: &Node, backend: &Backend) -> bool {
        match node {
            Node::Backend(id) => *id == backend.id,
            Node::Zone(zone) => *zone == backend.zone,
            Node::Proxy(_) => false,
        }
    }

    fn holds_proxy(node: &Node, member: &ProxyInfo) -> bool {
        match node {
            Node::Proxy(host) => *host == member.host,
            Node::Zone(zone) => *zone == member.zone,
            Node::Backend(_) => false,
        }
    }

    /// The hours of an order that hold with certainty now.
    fn window(&self, order: &WorkOrder, contract: &Contract) -> Result<Window, Reason> {
        let Some(now) = self.now else { return Err(later("no time of day can be trusted now")) };
        let hours = contract.window_at(now.earliest).filter(|window| now.latest < window.to);
        hours.ok_or_else(|| later(format!("outside the hours of {}", order.contract)))
    }

    /// When the hours of an order's contract begin next, as people read it; nothing where there are none, or no time.
    pub fn next_window_start(&self, order: &WorkOrder) -> Option<String> {
        let contract = self.contracts.get(&order.contract)?;
        let next = contract.next_window(self.now?.latest)?;
        Some(crate::contract::format_time(&contract.time_zone, next.from))
    }

    fn contract(&self, order: &WorkOrder) -> Result<&Contract, Reason> {
        let contract = self
            .contracts
            .get(&order.contract)
            .ok_or_else(|| never(format!("there is no contract {}", order.contract)))?;
        match contract.approved_by {
            Some(_) => Ok(contract),
            None => Err(later(format!("contract {} is not approved", order.contract))),
        }
    }

    /// Whether what is out may stay out; until when if so.
    fn stands(&self, name: &str) -> Result<Millis, Reason> {
        let order = self.orders.get(name).ok_or_else(|| never("the order was dropped"))?;
        match order.state {
            OrderState::Running | OrderState::Paused => {}
            other => return Err(never(format!("the order is {}", other.name()))),
        }
        let contract = self.contract(order)?;
        let window = self.window(order, contract)?;
        match self.now {
            Some(now) if window.to - now.latest > order.return_time => Ok(window.to),
            _ => Err(later("the hours end")),
        }
    }

    /// Whether a node is part of what is there, and covered.
    fn known(&self, order: &WorkOrder, node: &Node) -> Result<(), Reason> {
        let zone = self.zone_of(node).ok_or_else(|| match node {
            Node::Zone(zone) => never(format!("there is no zone {zone}")),
            Node::Backend(id) => later(format!("backend {id} is not on the platform's list")),
            Node::Proxy(host) => later(format!("proxy {host} has no session")),
        })?;
        let contract = self.contracts.get(&order.contract);
        if contract.is_some_and(|contract| !contract.covers(zone, self.region(zone))) {
            return Err(never(format!("contract {} does not cover zone {zone}", order.contract)));
        }
        Ok(())
    }

    /// Whether enough is left without a node and all that is out.
    fn leaves_enough(&self, node: &Node) -> Result<(), Reason> {
        let out = self.planned();
        let gone = |backend: &Backend, with: bool| {
            backend.draining
                || self.evacuated_zones.contains(&backend.zone)
                || out.iter().any(|n| Self::holds(n, backend))
                || with && Self::holds(node, backend)
        };
        // With nothing else out: what is missing then is missing for good.
        let alone = |backend: &Backend| backend.draining || Self::holds(node, backend);
        let hit: BTreeSet<&str> =
            self.backends.iter().filter(|b| Self::holds(node, b)).map(|b| b.service.as_str()).collect();
        let all = hit.iter().map(|service| ((*service).to_owned(), Vec::new()));
        let homes =
            self.service_regions.iter().filter(|(service, _)| hit.contains(service.as_str())).cloned();
        for (service, regions) in all.chain(homes) {
            let at_home = |b: &&Backend| {
                b.service == service
                    && (regions.is_empty() || regions.iter().any(|r| *r == self.region(&b.zone)))
            };
            let of = || self.backends.iter().filter(at_home);
            if !of().any(|b| Self::holds(node, b)) {
                continue;
            }
            let place = if regions.is_empty() {
                String::new()
            } else {
                format!(" in {}, its only homes", regions.join(", "))
            };
            if of().all(alone) {
                return Err(never(format!(
                    "{node} is the last of {service}{place}: another backend is missing there"
                )));
            }
            if of().all(|b| gone(b, true)) {
                return Err(later(format!("{node} is the last of {service}{place} that is not out now")));
            }
        }
        self.leaves_proxies(node, &out)
    }

    /// Whether clients still have somewhere to go. A region whose last proxy is drained is lost to its clients, who go to another:
    /// so many regions at once as the deployment bears.
    fn leaves_proxies(&self, node: &Node, out: &[Node]) -> Result<(), Reason> {
        let takes = |m: &&ProxyInfo, with: bool| {
            m.ready && !out.iter().any(|n| Self::holds_proxy(n, m)) && !(with && Self::holds_proxy(node, m))
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
        if self.proxies.iter().all(|m| Self::holds_proxy(node, m)) {
            return Err(never(format!("{node} holds the last proxy there is: another is missing")));
        }
        if self.max_lost_regions == 0 {
            return Err(never(format!(
                "{node} holds the last proxy of its region, and no region may be lost"
            )));
        }
        if after > self.max_lost_regions || after == regions.len() {
            return Err(later(format!(
                "{node} holds the last proxy of its region; {before} regions have none already"
            )));
        }
        Ok(())
    }

    /// What is lost without a plan, outside of what is out by plan, as zones; proxies that went silent have none.
    fn losses(&self) -> Result<(), Reason> {
        let out = self.planned();
        let serviced = |zone: &String| out.contains(&Node::Zone(zone.clone()));
        if let Some(zone) = self.unreachable_zones.iter().find(|zone| !serviced(zone)) {
            return Err(later(format!("the core machine of zone {zone} is silent")));
        }
        if self.isolated_proxies > 0 {
            return Err(later(format!("{} proxies went silent and may still serve", self.isolated_proxies)));
        }
        Ok(())
    }

    /// Whether one more node fits beside all that is out, by plan or not.
    fn fits(&self, order: &WorkOrder, node: &Node) -> Result<(), Reason> {
        let out = self.planned();
        let full =
            |what: String, most: usize| later(format!("{what}: {most} at once at most are out already"));
        let own = self.records.get(&order.name).map_or(0, |night| night.drained_nodes().len());
        if own >= order.limits.order {
            return Err(full(format!("order {}", order.name), order.limits.order));
        }
        let zone = self.zone_of(node).unwrap_or_default();
        let region = self.region(zone);
        let lost: BTreeSet<&str> =
            self.unreachable_zones.iter().chain(&self.evacuated_zones).map(String::as_str).collect();
        // A zone that is out by plan and lost as well is out once.
        let zones: Vec<&str> = out.iter().filter_map(|n| self.zone_of(n)).collect();
        let lost_only = lost.iter().filter(|z| !out.contains(&Node::Zone((**z).to_owned())));
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
            let whole = out.iter().filter(|n| matches!(n, Node::Zone(_))).count() + lost_only.count();
            if whole >= self.max_lost_zones {
                return Err(later(format!("{whole} zones are out or lost, as many as may be at once")));
            }
        }
        if let Node::Backend(id) = node
            && let Some(service) = self.backends.iter().find(|b| b.id == *id).map(|b| &b.service)
        {
            let of = self.backends.iter().filter(|b| b.service == *service);
            let gone = of.filter(|b| {
                b.draining || self.evacuated_zones.contains(&b.zone) || out.iter().any(|n| Self::holds(n, b))
            });
            if gone.count() >= order.limits.service {
                return Err(full(format!("service {service}"), order.limits.service));
            }
        }
        Ok(())
    }

    /// Whether a node may begin to drain now; the end of the hours if so.
    ///
    /// # Errors
    /// Why not.
    pub fn may_drain(&self, order: &WorkOrder, node: &Node) -> Result<Millis, Reason> {
        match self.records.get(&order.name).and_then(|night| night.last_step(node)) {
            None => {}
            Some(step) if step.phase.is_drained() => {
                return Err(later(format!("it is {}: {}", step.phase.name(), step.why)));
            }
            Some(step) => return Err(never(format!("it was {}: {}", step.phase.name(), step.why))),
        }
        if order.state != OrderState::Running {
            return Err(later(format!("the order is {}", order.state.name())));
        }
        let contract = self.contract(order)?;
        self.known(order, node)?;
        let window = self.window(order, contract)?;
        let room = order.out_duration + order.return_time + MAX_STEP_DELAY;
        match self.now {
            Some(now) if window.to - now.latest >= room => {}
            _ => {
                let told = crate::contract::format_time(&contract.time_zone, window.to);
                return Err(later(format!("the hours end {told}: {:.0} s are wanted before", room / 1000.0)));
            }
        }
        if self.may_be_stale {
            return Err(later("this gateway's copy is not known to be the newest"));
        }
        self.losses()?;
        self.fits(order, node)?;
        self.leaves_enough(node)?;
        if self.planned().iter().any(|out| self.overlaps(out, node)) {
            return Err(later(format!("{node} or a part of it is out by another order")));
        }
        Ok(window.to)
    }

    fn overlaps(&self, one: &Node, other: &Node) -> bool {
        one == other
            || self.backends.iter().any(|b| Self::holds(one, b) && Self::holds(other, b))
            || self.proxies.iter().any(|m| Self::holds_proxy(one, m) && Self::holds_proxy(other, m))
    }

    /// What would stand in an order's way however long one waits, for each node; nothing is changed.
    pub fn check_order(&self, order: &WorkOrder) -> Vec<(Node, Reason)> {
        let check = |node: &Node| -> Result<(), Reason> {
            let contract = self
                .contracts
                .get(&order.contract)
                .ok_or_else(|| never(format!("there is no contract {}", order.contract)))?;
            self.known(order, node)?;
            let long = |window: Window| {
                window.to - window.from >= order.out_duration + order.return_time + MAX_STEP_DELAY
            };
            if let Some(now) = self.now
                && contract.window_at(now.earliest).is_none()
                && !contract.next_window(now.latest).is_some_and(long)
            {
                return Err(never("the next hours are too short for the order's length, or there are none"));
            }
            if matches!(node, Node::Zone(_)) && self.max_lost_zones == 0 {
                return Err(never("the deployment bears the loss of no zone"));
            }
            self.leaves_enough(node)
        };
        order.nodes.iter().filter_map(|node| Some((node.clone(), check(node).err()?))).collect()
    }

    /// Which proxies still have something at work at a node, or do not know of the drain yet.
    pub fn busy_proxies(&self, node: &Node) -> Vec<Host> {
        let name = node.to_string();
        let busy = self.proxies.iter().filter(|m| !m.idle_nodes.contains(&name));
        busy.map(|m| m.host).collect()
    }
}

fn step(scene: &View, by: &str, phase: Phase, why: String) -> Step {
    Step { phase, at: scene.now.map_or(0.0, |now| now.latest), by: by.to_owned(), why }
}

/// When a node's phase began, whatever was noted within it since.
fn began(night: &MaintenanceRecord, node: &Node) -> Millis {
    let steps = night.nodes.get(&node.to_string()).map_or(&[][..], Vec::as_slice);
    let phase = steps.last().map(|step| step.phase);
    steps.iter().rev().take_while(|step| Some(step.phase) == phase).last().map_or(0.0, |step| step.at)
}

fn write(scene: &View, by: &str, name: &str, node: &Node, phase: Phase, why: String) -> PlannedStep {
    let mut night = scene.records.get(name).cloned().unwrap_or_default();
    night.nodes.entry(node.to_string()).or_default().push(step(scene, by, phase, why));
    PlannedStep { order: name.to_owned(), record: night, node: node.clone(), phase }
}

/// What goes back now, if anything does.
fn goes_back(scene: &View, by: &str, name: &str, night: &MaintenanceRecord) -> Option<PlannedStep> {
    let order = scene.orders.get(name);
    for node in night.drained_nodes() {
        let last = night.last_step(&node)?;
        let back = |phase, why: String| Some(write(scene, by, name, &node, phase, why));
        let ends = match scene.stands(name) {
            Ok(ends) => ends,
            Err(why) => return back(Phase::Unserviced, why.text),
        };
        let (Some(order), Some(now)) = (order, scene.now) else { continue };
        if ends < night.ends {
            // Proxies that are cut off go by the moment that they were told.
            let mut next = write(scene, by, name, &node, last.phase, "the hours were moved".into());
            next.record.ends = ends;
            return Some(next);
        }
        match last.phase {
            Phase::Out if now.earliest - began(night, &node) >= order.out_duration => {
                return back(Phase::Serviced, format!("out for {:.0} s", order.out_duration / 1000.0));
            }
            Phase::Draining if order.state == OrderState::Paused => {
                return back(Phase::Unserviced, "the order was paused while it drained".into());
            }
            Phase::Draining if ends - now.latest < order.out_duration + order.return_time => {
                let busy: Vec<String> = scene.busy_proxies(&node).iter().map(Host::to_string).collect();
                let why = format!("the hours end before its work is done; waited for {}", busy.join(" "));
                return back(Phase::Unserviced, why);
            }
            _ => {}
        }
    }
    None
}

/// What is released now, if anything is.
fn is_released(scene: &View, by: &str, name: &str, night: &MaintenanceRecord) -> Option<PlannedStep> {
    if scene.may_be_stale || scene.losses().is_err() {
        return None;
    }
    let draining =
        night.drained_nodes().into_iter().filter(|node| night.phase(node) == Some(Phase::Draining));
    let quiet = draining.filter(|node| scene.busy_proxies(node).is_empty()).collect::<Vec<_>>();
    let node = quiet.first()?;
    let took = scene.now.map_or(0.0, |now| (now.latest - began(night, node)).max(0.0) / 1000.0);
    let why = format!("all {} proxies have nothing at work there, after {took:.1} s", scene.proxies.len());
    Some(write(scene, by, name, node, Phase::Out, why))
}

/// The next step of the orders that are this gateway's. What goes back goes before what is released, and that before what is
/// drained.
pub fn next_step(scene: &View, by: &str, mine: impl Fn(&str) -> bool) -> Option<PlannedStep> {
    let nights = || scene.records.iter().filter(|(name, _)| mine(name));
    if let Some(next) = nights().find_map(|(name, night)| goes_back(scene, by, name, night)) {
        return Some(next);
    }
    if let Some(next) = nights().find_map(|(name, night)| is_released(scene, by, name, night)) {
        return Some(next);
    }
    for (name, order) in scene.orders.iter().filter(|(name, _)| mine(name)) {
        let night = scene.records.get(name);
        let begun = |node: &&Node| night.is_some_and(|night| night.phase(node).is_some());
        // Strictly in the order that was given: a node that can't be drained now holds up those behind it.
        let Some(node) = order.nodes.iter().find(|node| !begun(node)) else { continue };
        if let Ok(ends) = scene.may_drain(order, node) {
            let why = format!("by contract {}", order.contract);
            let mut next = write(scene, by, name, node, Phase::Draining, why);
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

    /// 22:00:00 of a Wednesday, UTC.
    const AT: Millis = 1_796_248_800_000.0;

    fn scene() -> View {
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

    fn out(scene: &mut View, order: &str, node: &str, phase: Phase, ends: Millis) {
        let step = Step { phase, at: AT, by: "g".into(), why: String::new() };
        let night = scene.records.entry(order.to_owned()).or_default();
        night.nodes.insert(node.to_owned(), vec![step]);
        night.ends = ends;
    }

    #[test]
    fn a_node_that_is_out_goes_back_as_long_before_the_end_as_the_order_says() {
        let mut scene = scene();
        let ends = AT + 60_000.0;
        out(&mut scene, "o", "backend:x", Phase::Out, ends);
        let at = |scene: &mut View, latest: Millis| {
            scene.now = Some(TimeInterval { earliest: AT + 5000.0, latest });
            next_step(scene, "g", |_| true).map(|next| next.phase)
        };
        assert_eq!(at(&mut scene, ends - 6100.0), None);
        assert_eq!(at(&mut scene, ends - 6000.0), Some(Phase::Unserviced), "by the latest that it may be");
    }

    #[test]
    fn hours_that_end_earlier_are_told_to_who_is_out() {
        let mut scene = scene();
        out(&mut scene, "o", "backend:x", Phase::Out, AT + 90_000.0);
        let told = next_step(&scene, "g", |_| true).unwrap();
        assert_eq!((told.phase, told.record.ends), (Phase::Out, AT + 60_000.0));
        // The time that it has been out goes on.
        scene.records.insert("o".into(), told.record);
        scene.now = Some(TimeInterval { earliest: AT + 10_600.0, latest: AT + 11_000.0 });
        assert_eq!(next_step(&scene, "g", |_| true).map(|next| next.phase), Some(Phase::Serviced));
    }

    #[test]
    fn the_last_of_a_service_and_of_a_home_is_not_drained() {
        let mut scene = scene();
        let order = scene.orders["o"].clone();
        let node = Node::Backend("x".into());
        assert!(scene.may_drain(&order, &node).is_ok());
        // The others are out by another order: it waits.
        out(&mut scene, "p", "backend:y", Phase::Draining, AT + 60_000.0);
        assert!(scene.may_drain(&order, &node).is_ok());
        out(&mut scene, "p", "backend:w", Phase::Out, AT + 60_000.0);
        assert!(!scene.may_drain(&order, &node).unwrap_err().is_permanent);
        // There are no others, or none where a route must be served: it never can be.
        scene.records.clear();
        scene.backends[1].zone = "far".into();
        scene.backends[2].zone = "far".into();
        scene.zone_regions.insert("far".into(), "q".into());
        assert!(scene.may_drain(&order, &node).is_ok());
        scene.service_regions = vec![("s".into(), vec!["r".into()])];
        let why = scene.may_drain(&order, &node).unwrap_err();
        assert!(why.is_permanent && why.text.contains("its only homes"), "{why}");
        assert_eq!(scene.check_order(&order).len(), 1);
    }
}
