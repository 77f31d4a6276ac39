//! Maintenance hours: what this registry knows of contracts, orders and time, and the steps that it asks the store for.
//!
//! An order is a key like a tenant: the registry that holds the key's duty decides for it. That two may think so for a moment does
//! no harm: the store writes a step only while all that was looked at still stands.

use crate::feed::{EventKind, Feed};
use crate::{Millis, Output, RegistryState, duties};
use fennelscale_config::{ItemCopy, ParsedItem, parse_item};
use fennelscale_maintenance::clock::{Clock, TimeInterval};
use fennelscale_maintenance::contract::{Contract, format_time};
use fennelscale_maintenance::order::{Node, OrderState, WorkOrder};
use fennelscale_maintenance::plan::{self, PlannedStep, Reason, View};
use fennelscale_maintenance::record::{MaintenanceRecord, Phase};
use fennelscale_maintenance::{
    CONTRACT_PREFIX, DRAIN_PREFIX, ORDER_PREFIX, RECORD_PREFIX, is_maintenance_item,
};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Entry, NamedEntry};
use std::collections::{BTreeMap, BTreeSet};

/// A step that has no answer is decided anew after this: the store's own patience is less.
const UNANSWERED: Millis = 5000.0;
/// Orders are looked at this often; between two of them news of the last step have come.
const LOOK: Millis = 250.0;

/// Records that are to be written, or dropped, where all that was looked at still stands.
#[derive(Clone, Debug, PartialEq)]
pub struct StepWrite {
    /// The view that it was decided from, in one number.
    pub view_hash: u64,
    /// Names and texts.
    pub records: Vec<(String, Option<String>)>,
}

/// What one registry keeps of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct MaintenanceState {
    contracts: BTreeMap<String, Contract>,
    orders: BTreeMap<String, WorkOrder>,
    nights: BTreeMap<String, MaintenanceRecord>,
    /// Records as they were chosen; proxies need none of them.
    records: ItemCopy,
    /// Failure orders that may run: they need the time, too.
    failures: BTreeSet<String>,
    homes: Option<Vec<(String, Vec<String>)>>,
    clock: Clock,
    /// The own time of day less the own steady time.
    wall: Option<f64>,
    busy: Option<Millis>,
    look_at: Millis,
    zones: BTreeMap<String, String>,
    max_lost_zones: usize,
    max_lost_regions: usize,
    clocks_may_err: usize,
}

/// A node of an order, for people.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The node.
    pub node: String,
    /// Its phase, or `waiting`.
    pub phase: &'static str,
    /// Since when, in the contract's zone.
    pub since: String,
    /// Why it is so, or why it is not drained.
    pub reason: String,
    /// Proxies that have work there or have not heard of the drain.
    pub waiting_for: Vec<String>,
}

/// An order, for people.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderStatus {
    /// Its name.
    pub name: String,
    /// What is wanted of it.
    pub state: &'static str,
    /// Its contract.
    pub contract: String,
    /// Which registry holds it, if one is known.
    pub holder: String,
    /// When its hours begin next, or end where they hold.
    pub hours: String,
    /// Its nodes, in their order.
    pub nodes: Vec<NodeStatus>,
}

impl MaintenanceState {
    /// An item that has a say in it, or that says where requests may go.
    pub(crate) fn item(&mut self, name: &str, entry: &Entry) {
        if name.starts_with("r:") || name.starts_with("t:") {
            self.homes = None;
        }
        let what = || entry.body.as_deref().and_then(|body| parse_item(name, &entry.host, body).ok());
        if let Some(name) = name.strip_prefix(CONTRACT_PREFIX) {
            match what() {
                Some(ParsedItem::MaintenanceContract(contract)) => {
                    drop(self.contracts.insert(name.to_owned(), *contract))
                }
                _ => drop(self.contracts.remove(name)),
            }
        } else if let Some(name) = name.strip_prefix(ORDER_PREFIX) {
            match what() {
                Some(ParsedItem::WorkOrder(order)) => drop(self.orders.insert(name.to_owned(), *order)),
                _ => drop(self.orders.remove(name)),
            }
        } else if name.starts_with(fennelscale_fault_injection::FAILURE) {
            match what() {
                Some(ParsedItem::FailureOrder(order)) => self.failure(name, Some(&order)),
                _ => self.failure(name, None),
            }
        }
    }

    fn failure(&mut self, name: &str, order: Option<&fennelscale_fault_injection::Order>) {
        match order {
            Some(order) if order.state != fennelscale_fault_injection::State::Stopped => {
                self.failures.insert(name.to_owned());
            }
            _ => drop(self.failures.remove(name)),
        }
    }

    /// A record, if it is newer than what is known; its new steps go to the feed.
    pub(crate) fn record(&mut self, now: Millis, name: &str, entry: &Entry, feed: &mut Feed) {
        if !self.records.merge(name, entry) {
            return;
        }
        let order = &name[RECORD_PREFIX.len()..];
        let Some(night) = entry.body.as_deref().and_then(MaintenanceRecord::parse) else {
            self.nights.remove(order);
            return;
        };
        let before = self.nights.get(order);
        for (node, steps) in &night.nodes {
            let known = before.and_then(|night| night.nodes.get(node)).map_or(0, Vec::len);
            for (at, step) in steps.iter().enumerate().skip(known) {
                let kind = match step.phase {
                    Phase::Draining => EventKind::NodeDraining,
                    Phase::Out => EventKind::NodeOut,
                    Phase::Serviced => EventKind::NodeServiced,
                    Phase::Unserviced => EventKind::NodeUnserviced,
                };
                let mark = fennelscale_messages::hash(order.as_bytes()) ^ at as u64;
                let cause = format!("order {order}, decided by {}: {}", step.by, step.why);
                feed.record(now, kind, node, mark, cause);
            }
        }
        self.nights.insert(order.to_owned(), night);
    }

    /// Whether there is anything to keep time for.
    pub(crate) fn is_active(&self) -> bool {
        !self.orders.is_empty()
            || !self.failures.is_empty()
            || self.nights.values().any(|night| !night.drained_nodes().is_empty())
    }

    /// The own time of day, while there is anything to keep time for.
    pub(crate) fn wall(&self, now: Millis) -> Option<u64> {
        self.wall.filter(|_| self.is_active()).map(|off| (now + off).max(0.0) as u64)
    }

    pub(crate) fn heard_time(&mut self, seat: Host, sent: Millis, now: Millis, wall: u64) {
        self.clock.record_reading(seat, sent, now, wall as f64);
    }

    /// True time as proxies should know it, while anything is drained.
    pub(crate) fn time(&self, now: Millis) -> Option<TimeInterval> {
        let drains = self.nights.values().any(|night| !night.drained_nodes().is_empty());
        if drains || !self.failures.is_empty() { self.clock.now(now) } else { None }
    }
}

/// Where requests may go: each service with the regions of the routes that name it, and of the tenants beside.
fn homes(items: &ItemCopy) -> Vec<(String, Vec<String>)> {
    let mut routes: BTreeSet<(String, Vec<String>)> = BTreeSet::new();
    let mut tenants: BTreeSet<Vec<String>> = BTreeSet::new();
    for (name, entry) in items.entries() {
        let Some(body) = entry.body.as_deref() else { continue };
        if !name.starts_with("r:") && !name.starts_with("t:") {
            continue;
        }
        match parse_item(name, &entry.host, body) {
            Ok(ParsedItem::Route(route)) => {
                let services = route.services.into_iter().filter(|(_, weight)| *weight > 0.0);
                routes.extend(services.map(|(service, _)| (service, route.allowed_regions.clone())));
            }
            Ok(ParsedItem::Tenant(tenant)) => drop(tenants.insert(tenant.allowed_regions)),
            _ => {}
        }
    }
    tenants.insert(Vec::new());
    let mut homes = BTreeSet::new();
    for (service, route) in routes {
        for tenant in &tenants {
            let both: Vec<String> = match (route.is_empty(), tenant.is_empty()) {
                (true, _) => tenant.clone(),
                (false, true) => route.clone(),
                (false, false) => route.iter().filter(|region| tenant.contains(region)).cloned().collect(),
            };
            // Without a common region nobody serves them, with or without a node.
            if !both.is_empty() || route.is_empty() {
                homes.insert((service.clone(), both));
            }
        }
    }
    homes.into_iter().collect()
}

impl RegistryState {
    /// The deployment: zones and their regions; how many clocks of the core may be wrong at once, and how many zones and regions
    /// may be lost.
    pub fn set_deployment(
        &mut self, zones: BTreeMap<String, String>, machines: usize, may_go: (usize, usize),
    ) {
        self.hours.zones = zones;
        self.hours.clocks_may_err = machines;
        (self.hours.max_lost_zones, self.hours.max_lost_regions) = may_go;
    }

    /// The machine's time of day, in ms since 1970: it may jump.
    pub fn set_time_of_day(&mut self, now: Millis, wall: f64) {
        self.hours.wall = Some(wall - now);
        if self.hours.is_active() {
            let me = self.me;
            self.hours.clock.record_reading(me, now, now, wall);
        }
    }

    fn scene(&mut self, now: Millis) -> View {
        let doubtful = !self.vouched.holds(now) || self.is_cut(now) || self.listing.stamp.0 == 0;
        let silent = self.counted(now).silent;
        let unheard =
            self.seats.members.iter().filter(|seat| seat.host != self.me && !self.alive(seat.host, now));
        let unheard = unheard.map(|seat| seat.zone.clone()).collect();
        let homes = self.hours.homes.get_or_insert_with(|| homes(&self.items)).clone();
        let evacuated = self.items.entries().iter().filter(|(_, entry)| entry.body.is_some());
        let evacuated = evacuated.filter_map(|(name, _)| name.strip_prefix("e:").map(str::to_owned));
        View {
            now: self.hours.clock.now(now),
            contracts: self.hours.contracts.clone(),
            orders: self.hours.orders.clone(),
            records: self.hours.nights.clone(),
            zone_regions: self.hours.zones.clone(),
            backends: self.listing.backends.clone(),
            proxies: self.members.all(now),
            isolated_proxies: silent as usize,
            unreachable_zones: unheard,
            evacuated_zones: evacuated.collect(),
            max_lost_zones: self.hours.max_lost_zones,
            max_lost_regions: self.hours.max_lost_regions,
            service_regions: homes,
            may_be_stale: doubtful,
        }
    }

    pub(crate) fn keep_hours(&mut self, now: Millis) {
        let idle = self.hours.orders.is_empty() && self.hours.nights.is_empty();
        if now < self.hours.look_at || idle && self.hours.failures.is_empty() {
            return;
        }
        self.hours.look_at = now + LOOK;
        let seats: Vec<Host> = self.seats.members.iter().map(|seat| seat.host).collect();
        let wrong = self.hours.clocks_may_err;
        self.hours.clock.update(now, &seats, wrong);
        if self.hours.busy.is_some_and(|since| now - since < UNANSWERED) {
            return;
        }
        let held = self.held_duties(now);
        let names = || self.hours.orders.keys().chain(self.hours.nights.keys());
        if !names().any(|name| held & duties::bit_of(name) != 0) {
            return;
        }
        let scene = self.scene(now);
        let me = self.me.to_string();
        let mine = |name: &str| held & duties::bit_of(name) != 0;
        if let Some(PlannedStep { order, record, node, phase }) = plan::next_step(&scene, &me, mine) {
            let why = record.last_step(&node).map(|step| step.why.clone()).unwrap_or_default();
            let about = format!("order={order} node={node} phase={} why={why:?}", phase.name());
            self.out.push(Output::Log("maintenance-step", about));
            let drain = record.drain().map(|drain| drain.to_json());
            let records = vec![
                (format!("{RECORD_PREFIX}{order}"), Some(record.to_json())),
                (format!("{DRAIN_PREFIX}{order}"), drain),
            ];
            self.step(now, records);
        } else if let Some(name) = over(&scene).find(|name| mine(name)) {
            // An order that was dropped takes its record with it.
            self.step(
                now,
                vec![(format!("{RECORD_PREFIX}{name}"), None), (format!("{DRAIN_PREFIX}{name}"), None)],
            );
        }
    }

    fn step(&mut self, now: Millis, records: Vec<(String, Option<String>)>) {
        let items = self.items.entries().iter().filter(|(name, _)| is_maintenance_item(name));
        let all = items.chain(self.hours.records.entries());
        let seen = fennelscale_maintenance::view_hash(all.map(|(name, entry)| (name.as_str(), entry)));
        self.hours.busy = Some(now);
        self.out.push(Output::WriteMaintenanceStep(StepWrite { view_hash: seen, records }));
    }

    /// The store has answered to a step; that it was written is heard with the news.
    pub fn on_maintenance_answer(&mut self, now: Millis) {
        self.hours.busy = None;
        // Not before the news of it are here: a step that was decided without them would only be refused.
        self.hours.look_at = now + LOOK;
    }

    /// What would stand in the way of orders that a call brings, however long one waits. `changed`: items of the call.
    pub fn check_orders(&mut self, now: Millis, changed: &[NamedEntry]) -> Vec<(String, Node, Reason)> {
        let mut scene = self.scene(now);
        let mut hours = MaintenanceState {
            contracts: std::mem::take(&mut scene.contracts),
            ..MaintenanceState::default()
        };
        changed.iter().for_each(|(name, entry)| hours.item(name, entry));
        scene.contracts = hours.contracts;
        let asks = |order: &&WorkOrder| matches!(order.state, OrderState::Approved | OrderState::Running);
        let orders: Vec<WorkOrder> = hours.orders.into_values().filter(|order| asks(&order)).collect();
        let check = |order: &WorkOrder| {
            let name = order.name.clone();
            scene
                .check_order(order)
                .into_iter()
                .map(move |(node, why)| (name.clone(), node, why))
                .collect::<Vec<_>>()
        };
        orders.iter().flat_map(check).filter(|(.., why)| why.is_permanent).collect()
    }

    /// All orders, for people: how far each node is, and why it is or is not drained now.
    pub fn maintenance_status(&mut self, now: Millis) -> (Option<TimeInterval>, Vec<OrderStatus>) {
        let scene = self.scene(now);
        let orders = scene.orders.values().map(|order| {
            let zone = scene.contracts.get(&order.contract).map(|contract| contract.time_zone.clone());
            let moment = |at: Millis| match &zone {
                Some(zone) if at > 0.0 => format_time(zone, at),
                _ => String::new(),
            };
            let holds = scene
                .contracts
                .get(&order.contract)
                .and_then(|contract| contract.window_at(scene.now?.latest));
            let hours = match holds {
                Some(window) => format!("until {}", moment(window.to)),
                None => {
                    scene.next_window_start(order).map_or_else(String::new, |from| format!("from {from}"))
                }
            };
            let node = |node: &Node| {
                let last = scene.records.get(&order.name).and_then(|night| night.last_step(node));
                let state = |phase, since, why, waits_for| NodeStatus {
                    node: node.to_string(),
                    phase,
                    since,
                    reason: why,
                    waiting_for: waits_for,
                };
                match last {
                    Some(step) => {
                        let waits = step.phase == Phase::Draining;
                        let waits = if waits { scene.busy_proxies(node) } else { Vec::new() };
                        let waits = waits.iter().map(Host::to_string).collect();
                        state(step.phase.name(), moment(step.at), step.why.clone(), waits)
                    }
                    None => {
                        let why =
                            scene.may_drain(order, node).err().map_or("it is next".into(), |why| why.text);
                        state("waiting", String::new(), why, Vec::new())
                    }
                }
            };
            let holder = self.holder(now, duties::bit_of(&order.name));
            OrderStatus {
                name: order.name.clone(),
                state: order.state.name(),
                contract: order.contract.clone(),
                holder: holder.map_or_else(String::new, |host| host.to_string()),
                hours,
                nodes: order.nodes.iter().map(node).collect(),
            }
        });
        let orders = orders.collect();
        (scene.now, orders)
    }
}

/// Records of orders that are there no more, with nothing out.
fn over(scene: &View) -> impl Iterator<Item = &str> {
    let gone = |(name, night): &(&String, &MaintenanceRecord)| {
        !scene.orders.contains_key(*name) && night.drained_nodes().is_empty()
    };
    scene.records.iter().filter(gone).map(|(name, _)| name.as_str())
}
