//! Maintenance: the contracts, orders and clock samples known to this registry, and the steps that it asks
//! the store to write.
//!
//! An order belongs to a duty like a tenant, and the registry that holds the duty decides for it. Two
//! registries that both believe to hold it for a moment do no harm: the store writes a step only if
//! everything that it was decided from is unchanged.

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

/// A step without an answer is decided again after this time, which is longer than the store's own timeout.
const STEP_TIMEOUT: Millis = 5000.0;
/// Interval between two evaluations of the orders; in between, the result of the last step arrives.
const EVALUATION_INTERVAL: Millis = 250.0;

/// Records to write or drop, provided that everything that the step was decided from is unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct StepWrite {
    /// The hash of everything that the step was decided from.
    pub view_hash: u64,
    /// Names and contents; `None` drops a record.
    pub records: Vec<(String, Option<String>)>,
}

/// The maintenance state of one registry.
#[derive(Clone, Debug, Default)]
pub(crate) struct MaintenanceState {
    contracts: BTreeMap<String, Contract>,
    orders: BTreeMap<String, WorkOrder>,
    /// The record of each order.
    records: BTreeMap<String, MaintenanceRecord>,
    /// The records as chosen entries; proxies do not need them.
    record_copy: ItemCopy,
    /// Failure orders that may run: these need the true time as well.
    failure_orders: BTreeSet<String>,
    /// The regions that requests for each service may be sent to; computed on demand.
    allowed_regions: Option<Vec<(String, Vec<String>)>>,
    clock: Clock,
    /// The local time of day minus the local monotonic time.
    wall_offset: Option<f64>,
    /// Since when a step waits for the store's answer.
    pending_since: Option<Millis>,
    next_evaluation: Millis,
    zones: BTreeMap<String, String>,
    tolerated_zones: usize,
    tolerated_regions: usize,
    tolerated_clocks: usize,
}

/// The status of a node of an order, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The node.
    pub node: String,
    /// Its phase, or `waiting`.
    pub phase: &'static str,
    /// Start of the phase, in the contract's time zone.
    pub since: String,
    /// Why the node is in this phase, or why it is not drained.
    pub reason: String,
    /// Proxies that have requests in progress there or have not received the drain.
    pub waiting_for: Vec<String>,
}

/// The status of an order, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderStatus {
    /// Its name.
    pub name: String,
    /// The state requested by the operator.
    pub state: &'static str,
    /// Its contract.
    pub contract: String,
    /// The registry that holds its duty; empty if unknown.
    pub holder: String,
    /// The end of the current maintenance window, or the start of the next.
    pub hours: String,
    /// Its nodes, in the order in which they are serviced.
    pub nodes: Vec<NodeStatus>,
}

impl MaintenanceState {
    /// Applies a configuration item, if it concerns maintenance or where requests may be sent.
    pub(crate) fn on_item(&mut self, name: &str, entry: &Entry) {
        if name.starts_with("r:") || name.starts_with("t:") {
            self.allowed_regions = None;
        }
        let parsed = || entry.body.as_deref().and_then(|body| parse_item(name, &entry.host, body).ok());
        if let Some(name) = name.strip_prefix(CONTRACT_PREFIX) {
            match parsed() {
                Some(ParsedItem::MaintenanceContract(contract)) => {
                    drop(self.contracts.insert(name.to_owned(), *contract))
                }
                _ => drop(self.contracts.remove(name)),
            }
        } else if let Some(name) = name.strip_prefix(ORDER_PREFIX) {
            match parsed() {
                Some(ParsedItem::WorkOrder(order)) => drop(self.orders.insert(name.to_owned(), *order)),
                _ => drop(self.orders.remove(name)),
            }
        } else if name.starts_with(fennelscale_fault_injection::ORDER_PREFIX) {
            match parsed() {
                Some(ParsedItem::FailureOrder(order)) => self.set_failure_order(name, Some(&order)),
                _ => self.set_failure_order(name, None),
            }
        }
    }

    fn set_failure_order(&mut self, name: &str, order: Option<&fennelscale_fault_injection::Order>) {
        match order {
            Some(order) if order.state != fennelscale_fault_injection::State::Stopped => {
                self.failure_orders.insert(name.to_owned());
            }
            _ => drop(self.failure_orders.remove(name)),
        }
    }

    /// Applies a record if it is newer than the known one, and adds its new steps to the feed.
    pub(crate) fn on_record(&mut self, now: Millis, name: &str, entry: &Entry, feed: &mut Feed) {
        if !self.record_copy.merge(name, entry) {
            return;
        }
        let order = &name[RECORD_PREFIX.len()..];
        let Some(record) = entry.body.as_deref().and_then(MaintenanceRecord::parse) else {
            self.records.remove(order);
            return;
        };
        let before = self.records.get(order);
        for (node, steps) in &record.nodes {
            let known = before.and_then(|record| record.nodes.get(node)).map_or(0, Vec::len);
            for (index, step) in steps.iter().enumerate().skip(known) {
                let kind = match step.phase {
                    Phase::Draining => EventKind::NodeDraining,
                    Phase::Out => EventKind::NodeOut,
                    Phase::Serviced => EventKind::NodeServiced,
                    Phase::Unserviced => EventKind::NodeUnserviced,
                };
                let mark = fennelscale_messages::hash(order.as_bytes()) ^ index as u64;
                let cause = format!("order {order}, decided by {}: {}", step.by, step.why);
                feed.record(now, kind, node, mark, cause);
            }
        }
        self.records.insert(order.to_owned(), record);
    }

    /// Whether anything depends on the true time.
    pub(crate) fn is_active(&self) -> bool {
        !self.orders.is_empty()
            || !self.failure_orders.is_empty()
            || self.records.values().any(|record| !record.drained_nodes().is_empty())
    }

    /// The local time of day, while anything depends on the true time.
    pub(crate) fn wall_clock(&self, now: Millis) -> Option<u64> {
        self.wall_offset.filter(|_| self.is_active()).map(|offset| (now + offset).max(0.0) as u64)
    }

    pub(crate) fn add_clock_sample(&mut self, member: Host, sent: Millis, now: Millis, wall: u64) {
        self.clock.record_reading(member, sent, now, wall as f64);
    }

    /// The true time to send to proxies, while anything is drained or a failure order may run.
    pub(crate) fn true_time(&self, now: Millis) -> Option<TimeInterval> {
        let is_draining = self.records.values().any(|record| !record.drained_nodes().is_empty());
        if is_draining || !self.failure_orders.is_empty() { self.clock.now(now) } else { None }
    }
}

/// Where requests may be sent: each service with the regions allowed by a route that names it, combined with
/// those of each tenant.
fn allowed_regions(items: &ItemCopy) -> Vec<(String, Vec<String>)> {
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
            let common: Vec<String> = match (route.is_empty(), tenant.is_empty()) {
                (true, _) => tenant.clone(),
                (false, true) => route.clone(),
                (false, false) => route.iter().filter(|region| tenant.contains(region)).cloned().collect(),
            };
            // Without a common region such requests cannot be served, whether a node is drained or not.
            if !common.is_empty() || route.is_empty() {
                homes.insert((service.clone(), common));
            }
        }
    }
    homes.into_iter().collect()
}

impl RegistryState {
    /// Sets the deployment: the region of each zone, how many clocks of the core may be wrong at once
    /// (`machines`), and how many zones and regions may be lost at once.
    pub fn set_deployment(
        &mut self, zones: BTreeMap<String, String>, machines: usize, tolerated_losses: (usize, usize),
    ) {
        self.maintenance.zones = zones;
        self.maintenance.tolerated_clocks = machines;
        (self.maintenance.tolerated_zones, self.maintenance.tolerated_regions) = tolerated_losses;
    }

    /// Sets the host's time of day, in ms since 1970; it may jump.
    pub fn set_time_of_day(&mut self, now: Millis, wall: f64) {
        self.maintenance.wall_offset = Some(wall - now);
        if self.maintenance.is_active() {
            let local_host = self.local_host;
            self.maintenance.clock.record_reading(local_host, now, now, wall);
        }
    }

    fn scene(&mut self, now: Millis) -> View {
        let doubtful =
            !self.freshness.is_fresh(now) || self.has_lost_contact(now) || self.backend_list.stamp.0 == 0;
        let isolated = self.proxy_counts(now).isolated;
        let unreachable = self
            .core_members
            .members
            .iter()
            .filter(|member| member.host != self.local_host && !self.is_reachable(member.host, now));
        let unreachable = unreachable.map(|member| member.zone.clone()).collect();
        let allowed_regions =
            self.maintenance.allowed_regions.get_or_insert_with(|| allowed_regions(&self.config)).clone();
        let evacuated = self.config.entries().iter().filter(|(_, entry)| entry.body.is_some());
        let evacuated = evacuated.filter_map(|(name, _)| name.strip_prefix("e:").map(str::to_owned));
        View {
            now: self.maintenance.clock.now(now),
            contracts: self.maintenance.contracts.clone(),
            orders: self.maintenance.orders.clone(),
            records: self.maintenance.records.clone(),
            zone_regions: self.maintenance.zones.clone(),
            backends: self.backend_list.backends.clone(),
            proxies: self.proxies.all(now),
            isolated_proxies: isolated as usize,
            unreachable_zones: unreachable,
            evacuated_zones: evacuated.collect(),
            max_lost_zones: self.maintenance.tolerated_zones,
            max_lost_regions: self.maintenance.tolerated_regions,
            service_regions: allowed_regions,
            may_be_stale: doubtful,
        }
    }

    pub(crate) fn advance_maintenance(&mut self, now: Millis) {
        let idle = self.maintenance.orders.is_empty() && self.maintenance.records.is_empty();
        if now < self.maintenance.next_evaluation || idle && self.maintenance.failure_orders.is_empty() {
            return;
        }
        self.maintenance.next_evaluation = now + EVALUATION_INTERVAL;
        let members: Vec<Host> = self.core_members.members.iter().map(|member| member.host).collect();
        let tolerated = self.maintenance.tolerated_clocks;
        self.maintenance.clock.update(now, &members, tolerated);
        if self.maintenance.pending_since.is_some_and(|since| now - since < STEP_TIMEOUT) {
            return;
        }
        let held = self.held_duties(now);
        let names = || self.maintenance.orders.keys().chain(self.maintenance.records.keys());
        if !names().any(|name| held & duties::shard_bit(name) != 0) {
            return;
        }
        let scene = self.scene(now);
        let local_host = self.local_host.to_string();
        let is_ours = |name: &str| held & duties::shard_bit(name) != 0;
        if let Some(PlannedStep { order, record, node, phase }) =
            plan::next_step(&scene, &local_host, is_ours)
        {
            let reason = record.last_step(&node).map(|step| step.why.clone()).unwrap_or_default();
            let about = format!("order={order} node={node} phase={} why={reason:?}", phase.name());
            self.outputs.push(Output::Log("maintenance-step", about));
            let drain = record.drain().map(|drain| drain.to_json());
            let records = vec![
                (format!("{RECORD_PREFIX}{order}"), Some(record.to_json())),
                (format!("{DRAIN_PREFIX}{order}"), drain),
            ];
            self.write_step(now, records);
        } else if let Some(name) = finished_records(&scene).find(|name| is_ours(name)) {
            // The record of a dropped order is dropped as well.
            self.write_step(
                now,
                vec![(format!("{RECORD_PREFIX}{name}"), None), (format!("{DRAIN_PREFIX}{name}"), None)],
            );
        }
    }

    fn write_step(&mut self, now: Millis, records: Vec<(String, Option<String>)>) {
        let items = self.config.entries().iter().filter(|(name, _)| is_maintenance_item(name));
        let all = items.chain(self.maintenance.record_copy.entries());
        let view_hash = fennelscale_maintenance::view_hash(all.map(|(name, entry)| (name.as_str(), entry)));
        self.maintenance.pending_since = Some(now);
        self.outputs.push(Output::WriteMaintenanceStep(StepWrite { view_hash, records }));
    }

    /// The store has answered a step. Whether it was written is learned from the chosen entries.
    pub fn on_maintenance_answer(&mut self, now: Millis) {
        self.maintenance.pending_since = None;
        // Wait for the chosen entries: a step decided without them would only be refused.
        self.maintenance.next_evaluation = now + EVALUATION_INTERVAL;
    }

    /// Why orders in a call could never be carried out, however long they wait. `changed` are the items of
    /// the call.
    pub fn check_orders(&mut self, now: Millis, changed: &[NamedEntry]) -> Vec<(String, Node, Reason)> {
        let mut scene = self.scene(now);
        let mut changed_state = MaintenanceState {
            contracts: std::mem::take(&mut scene.contracts),
            ..MaintenanceState::default()
        };
        changed.iter().for_each(|(name, entry)| changed_state.on_item(name, entry));
        scene.contracts = changed_state.contracts;
        let is_active =
            |order: &&WorkOrder| matches!(order.state, OrderState::Approved | OrderState::Running);
        let orders: Vec<WorkOrder> =
            changed_state.orders.into_values().filter(|order| is_active(&order)).collect();
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

    /// The status of all orders, for operators: the phase of each node, and why it is or is not drained now.
    /// Also returns the true time, if known.
    pub fn maintenance_status(&mut self, now: Millis) -> (Option<TimeInterval>, Vec<OrderStatus>) {
        let scene = self.scene(now);
        let orders = scene.orders.values().map(|order| {
            let zone = scene.contracts.get(&order.contract).map(|contract| contract.time_zone.clone());
            let format_time = |at: Millis| match &zone {
                Some(zone) if at > 0.0 => format_time(zone, at),
                _ => String::new(),
            };
            let current = scene
                .contracts
                .get(&order.contract)
                .and_then(|contract| contract.window_at(scene.now?.latest));
            let hours = match current {
                Some(window) => format!("until {}", format_time(window.to)),
                None => {
                    scene.next_window_start(order).map_or_else(String::new, |from| format!("from {from}"))
                }
            };
            let node = |node: &Node| {
                let last = scene.records.get(&order.name).and_then(|record| record.last_step(node));
                let status = |phase, since, reason, waiting_for| NodeStatus {
                    node: node.to_string(),
                    phase,
                    since,
                    reason,
                    waiting_for,
                };
                match last {
                    Some(step) => {
                        let is_draining = step.phase == Phase::Draining;
                        let waits_for = if is_draining { scene.busy_proxies(node) } else { Vec::new() };
                        let waits_for = waits_for.iter().map(Host::to_string).collect();
                        status(step.phase.name(), format_time(step.at), step.why.clone(), waits_for)
                    }
                    None => {
                        let reason =
                            scene.may_drain(order, node).err().map_or("it is next".into(), |why| why.text);
                        status("waiting", String::new(), reason, Vec::new())
                    }
                }
            };
            let holder = self.duty_holder(now, duties::shard_bit(&order.name));
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

/// The records of orders that no longer exist and have no node drained.
fn finished_records(scene: &View) -> impl Iterator<Item = &str> {
    let is_finished = |(name, record): &(&String, &MaintenanceRecord)| {
        !scene.orders.contains_key(*name) && record.drained_nodes().is_empty()
    };
    scene.records.iter().filter(is_finished).map(|(name, _)| name.as_str())
}
