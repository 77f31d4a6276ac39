//! The table that a proxy looks requests up in.

use crate::claims::Claims;
use crate::{Limits, ParsedItem, Route, Service, Tenant};
use fennelscale_maintenance::record::Drain;
use fennelscale_messages::store::Stamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Facts by their names, and what follows from them for requests.
#[derive(Debug, Default)]
pub struct RoutingTable {
    facts: BTreeMap<String, Kept>,
    /// By host, the routes of each prefix.
    hosts: HashMap<String, Claims<Route>>,
    keys: Claims<Tenant>,
    /// The services.
    pub services: BTreeMap<String, Rc<Service>>,
    /// What clients may send.
    pub limits: Limits,
    /// Zones that get nothing.
    pub evacuated_zones: BTreeSet<String>,
    /// What each work order has drained.
    pub drains: BTreeMap<String, Drain>,
    /// Failure orders.
    pub failure_orders: BTreeMap<String, fennelscale_fault_injection::Order>,
}

#[derive(Clone, Debug)]
enum Kept {
    Route(Rc<Route>),
    Tenant(Rc<Tenant>),
    Service,
    Limits,
    Evacuation,
    Drain,
    Failure,
    /// It says nothing about requests.
    Other,
}

impl RoutingTable {
    /// An item says this since the write with that stamp; none if it was dropped.
    pub fn set(&mut self, name: &str, stamp: Stamp, fact: Option<ParsedItem>) {
        self.drop_item(name);
        let kept = match fact {
            None => return,
            Some(ParsedItem::Route(route)) => {
                let route = Rc::<Route>::from(route);
                // Of two in one place, which the store lets nobody have, the newest holds until the other is known to have gone.
                self.hosts.entry(route.host.clone()).or_default().add(&route.path_prefix, stamp, &route);
                Kept::Route(route)
            }
            Some(ParsedItem::Tenant(tenant)) => {
                let tenant = Rc::new(tenant);
                for key in &tenant.api_keys {
                    self.keys.add(key, stamp, &tenant);
                }
                Kept::Tenant(tenant)
            }
            Some(ParsedItem::Service(service)) => {
                self.services.insert(service.name.clone(), Rc::new(service));
                Kept::Service
            }
            Some(ParsedItem::Limits(limits)) => {
                self.limits = limits;
                Kept::Limits
            }
            Some(ParsedItem::Evacuation) => {
                self.evacuated_zones.insert(name[2..].to_owned());
                Kept::Evacuation
            }
            Some(ParsedItem::Drain(drain)) => {
                self.drains.insert(name.to_owned(), drain);
                Kept::Drain
            }
            Some(ParsedItem::FailureOrder(order)) => {
                self.failure_orders.insert(name.to_owned(), *order);
                Kept::Failure
            }
            Some(
                ParsedItem::MaintenanceContract(_) | ParsedItem::WorkOrder(_) | ParsedItem::MaintenanceRecord,
            ) => Kept::Other,
        };
        self.facts.insert(name.to_owned(), kept);
    }

    fn drop_item(&mut self, name: &str) {
        let Some(kept) = self.facts.remove(name) else { return };
        match kept {
            Kept::Route(route) => {
                let Some(host) = self.hosts.get_mut(&route.host) else { return };
                host.remove(&route.path_prefix, &route);
                if host.is_empty() {
                    self.hosts.remove(&route.host);
                }
            }
            Kept::Tenant(tenant) => tenant.api_keys.iter().for_each(|key| self.keys.remove(key, &tenant)),
            Kept::Service => drop(self.services.remove(&name[2..])),
            Kept::Limits => self.limits = Limits::default(),
            Kept::Evacuation => drop(self.evacuated_zones.remove(&name[2..])),
            Kept::Drain => drop(self.drains.remove(name)),
            Kept::Failure => drop(self.failure_orders.remove(name)),
            Kept::Other => {}
        }
    }

    /// The route of a request: that with the longest prefix which begins the path, among those of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host
            .rsplit_once(':')
            .filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |(h, _)| h);
        let routes = self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))?;
        let mut ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(at, _)| at + 1);
        ends.find_map(|end| routes.holder(&path[..end]))
    }

    /// Whether there are tenants: without them no request needs a key.
    pub fn has_tenants(&self) -> bool {
        self.facts.range("t:".to_owned()..).next().is_some_and(|(name, _)| name.starts_with("t:"))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.keys.holder(key)
    }

    /// Places and keys that more than one item claims by what is known here: a copy that has not heard all yet.
    pub fn contested_claims(&self) -> usize {
        self.hosts.values().map(Claims::contested).sum::<usize>() + self.keys.contested()
    }

    /// A tenant by its name.
    pub fn tenant_by_name(&self, name: &str) -> Option<&Rc<Tenant>> {
        match self.facts.get(&format!("t:{name}")) {
            Some(Kept::Tenant(tenant)) => Some(tenant),
            _ => None,
        }
    }
}
