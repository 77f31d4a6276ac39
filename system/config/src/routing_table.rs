//! The table in which a proxy looks up requests.

use crate::claims::Claims;
use crate::{Limits, ParsedItem, Route, Service, Tenant};
use fennelscale_maintenance::record::Drain;
use fennelscale_messages::store::Stamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// The items by name, and what requests need of them.
#[derive(Debug, Default)]
pub struct RoutingTable {
    items: BTreeMap<String, TableItem>,
    /// The routes of each path prefix, by host.
    routes_by_host: HashMap<String, Claims<Route>>,
    tenants_by_key: Claims<Tenant>,
    /// The services by name.
    pub services: BTreeMap<String, Rc<Service>>,
    /// Limits on what clients send.
    pub limits: Limits,
    /// Evacuated zones.
    pub evacuated_zones: BTreeSet<String>,
    /// The nodes that each work order drains.
    pub drains: BTreeMap<String, Drain>,
    /// Failure orders by item name.
    pub failure_orders: BTreeMap<String, fennelscale_fault_injection::Order>,
}

#[derive(Clone, Debug)]
enum TableItem {
    Route(Rc<Route>),
    Tenant(Rc<Tenant>),
    Service,
    Limits,
    Evacuation,
    Drain,
    FailureOrder,
    /// An item that does not concern requests.
    Other,
}

impl RoutingTable {
    /// Sets the content of an item as of the write with this stamp; none if the item was removed.
    pub fn set(&mut self, name: &str, stamp: Stamp, parsed: Option<ParsedItem>) {
        self.remove_item(name);
        let item = match parsed {
            None => return,
            Some(ParsedItem::Route(route)) => {
                let route = Rc::<Route>::from(route);
                // The store rejects two routes with the same prefix. If a copy has both, the newest wins
                // until the other's removal arrives.
                self.routes_by_host.entry(route.host.clone()).or_default().add(
                    &route.path_prefix,
                    stamp,
                    &route,
                );
                TableItem::Route(route)
            }
            Some(ParsedItem::Tenant(tenant)) => {
                let tenant = Rc::new(tenant);
                for key in &tenant.api_keys {
                    self.tenants_by_key.add(key, stamp, &tenant);
                }
                TableItem::Tenant(tenant)
            }
            Some(ParsedItem::Service(service)) => {
                self.services.insert(service.name.clone(), Rc::new(service));
                TableItem::Service
            }
            Some(ParsedItem::Limits(limits)) => {
                self.limits = limits;
                TableItem::Limits
            }
            Some(ParsedItem::Evacuation) => {
                self.evacuated_zones.insert(name[2..].to_owned());
                TableItem::Evacuation
            }
            Some(ParsedItem::Drain(drain)) => {
                self.drains.insert(name.to_owned(), drain);
                TableItem::Drain
            }
            Some(ParsedItem::FailureOrder(order)) => {
                self.failure_orders.insert(name.to_owned(), *order);
                TableItem::FailureOrder
            }
            Some(
                ParsedItem::MaintenanceContract(_) | ParsedItem::WorkOrder(_) | ParsedItem::MaintenanceRecord,
            ) => TableItem::Other,
        };
        self.items.insert(name.to_owned(), item);
    }

    fn remove_item(&mut self, name: &str) {
        let Some(item) = self.items.remove(name) else { return };
        match item {
            TableItem::Route(route) => {
                let Some(host) = self.routes_by_host.get_mut(&route.host) else { return };
                host.remove(&route.path_prefix, &route);
                if host.is_empty() {
                    self.routes_by_host.remove(&route.host);
                }
            }
            TableItem::Tenant(tenant) => {
                tenant.api_keys.iter().for_each(|key| self.tenants_by_key.remove(key, &tenant))
            }
            TableItem::Service => drop(self.services.remove(&name[2..])),
            TableItem::Limits => self.limits = Limits::default(),
            TableItem::Evacuation => drop(self.evacuated_zones.remove(&name[2..])),
            TableItem::Drain => drop(self.drains.remove(name)),
            TableItem::FailureOrder => drop(self.failure_orders.remove(name)),
            TableItem::Other => {}
        }
    }

    /// The route of a request: the one of its host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host
            .rsplit_once(':')
            .filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |(h, _)| h);
        let routes =
            self.routes_by_host.get(host).or_else(|| self.routes_by_host.get(&host.to_ascii_lowercase()))?;
        let mut ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(at, _)| at + 1);
        ends.find_map(|end| routes.holder(&path[..end]))
    }

    /// Whether there are tenants: without any, no request needs an API key.
    pub fn has_tenants(&self) -> bool {
        self.items.range("t:".to_owned()..).next().is_some_and(|(name, _)| name.starts_with("t:"))
    }

    /// The tenant that holds an API key.
    pub fn tenant(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.tenants_by_key.holder(key)
    }

    /// The number of path prefixes and API keys that more than one item claims: positive while the copy is
    /// incomplete.
    pub fn contested_claims(&self) -> usize {
        self.routes_by_host.values().map(Claims::contested).sum::<usize>() + self.tenants_by_key.contested()
    }

    /// The tenant with a name.
    pub fn tenant_by_name(&self, name: &str) -> Option<&Rc<Tenant>> {
        match self.items.get(&format!("t:{name}")) {
            Some(TableItem::Tenant(tenant)) => Some(tenant),
            _ => None,
        }
    }
}
