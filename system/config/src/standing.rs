//! The items that stand, with indexes by what they may not share: a call is checked by what it changes, whatever the number of items.
//!
//! The same rules as [`check_together`](crate::check_together), which looks at all items and is what the tests hold this against.

use crate::{InvalidConfig, MAX_ORDERS, ParsedItem};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a call makes of items: their new facts, none where one is dropped.
pub type ItemChanges = BTreeMap<String, Option<ParsedItem>>;

/// Names of items by something that they hold.
#[derive(Clone, Debug)]
struct Index<K>(BTreeMap<K, BTreeSet<String>>);

impl<K> Default for Index<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord> Index<K> {
    fn add(&mut self, key: K, name: &str) {
        self.0.entry(key).or_default().insert(name.to_owned());
    }

    fn remove(&mut self, key: &K, name: &str) {
        let Some(names) = self.0.get_mut(key) else { return };
        names.remove(name);
        if names.is_empty() {
            self.0.remove(key);
        }
    }

    /// Somebody that holds it and is not among those that change.
    fn holder(&self, key: &K, changes: &ItemChanges) -> Option<&str> {
        self.0.get(key)?.iter().find(|name| !changes.contains_key(*name)).map(String::as_str)
    }
}

type Place = (String, String);

/// The items that stand.
#[derive(Clone, Default)]
pub struct ConfigIndex {
    facts: BTreeMap<String, ParsedItem>,
    places: Index<Place>,
    keys: Index<String>,
    /// Routes by the services that they name, orders by their contracts.
    routes_of: Index<String>,
    orders_of: Index<String>,
    orders: usize,
    failures: usize,
}

/// All of it follows from the items, whose texts are told where they are kept.
impl std::fmt::Debug for ConfigIndex {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Standing").field("items", &self.facts.len()).finish_non_exhaustive()
    }
}

/// The names of services and contracts as items.
fn service_item(service: &str) -> String {
    format!("s:{service}")
}

fn contract_item(contract: &str) -> String {
    format!("{}{contract}", fennelscale_maintenance::CONTRACT_PREFIX)
}

impl ConfigIndex {
    /// An item stands with this fact from now on, or no more.
    pub fn set(&mut self, name: &str, fact: Option<ParsedItem>) {
        if let Some(old) = self.facts.remove(name) {
            self.unindex(name, &old);
        }
        if let Some(fact) = fact {
            self.index(name, &fact);
            self.facts.insert(name.to_owned(), fact);
        }
    }

    fn index(&mut self, name: &str, fact: &ParsedItem) {
        match fact {
            ParsedItem::Route(route) => {
                self.places.add((route.host.clone(), route.path_prefix.clone()), name);
                route.services.iter().for_each(|(service, _)| self.routes_of.add(service.clone(), name));
            }
            ParsedItem::Tenant(tenant) => {
                tenant.api_keys.iter().for_each(|key| self.keys.add(key.clone(), name))
            }
            ParsedItem::WorkOrder(order) => {
                self.orders += 1;
                self.orders_of.add(order.contract.clone(), name);
            }
            ParsedItem::FailureOrder(_) => self.failures += 1,
            _ => {}
        }
    }

    fn unindex(&mut self, name: &str, fact: &ParsedItem) {
        match fact {
            ParsedItem::Route(route) => {
                self.places.remove(&(route.host.clone(), route.path_prefix.clone()), name);
                route.services.iter().for_each(|(service, _)| self.routes_of.remove(service, name));
            }
            ParsedItem::Tenant(tenant) => tenant.api_keys.iter().for_each(|key| self.keys.remove(key, name)),
            ParsedItem::WorkOrder(order) => {
                self.orders -= 1;
                self.orders_of.remove(&order.contract, name);
            }
            ParsedItem::FailureOrder(_) => self.failures -= 1,
            _ => {}
        }
    }

    fn stands_after(&self, name: &str, changes: &ItemChanges) -> bool {
        changes.get(name).map_or_else(|| self.facts.contains_key(name), Option::is_some)
    }

    /// Whether the items are in order together once a call has changed some of them. Each fact of the call is in order by itself.
    ///
    /// # Errors
    /// When a route names a service that is not there, two routes share a place, two tenants a key, an order names a contract that is
    /// not there, or there are too many orders.
    pub fn check(&self, changes: &ItemChanges) -> Result<(), InvalidConfig> {
        let (mut places, mut keys): (HashMap<Place, &str>, HashMap<&str, &str>) = Default::default();
        for (name, fact) in changes.iter().filter_map(|(name, fact)| Some((name, fact.as_ref()?))) {
            match fact {
                ParsedItem::Route(route) => {
                    let missing =
                        |(service, _): &&(String, f64)| !self.stands_after(&service_item(service), changes);
                    if let Some((service, _)) = route.services.iter().find(missing) {
                        return Err(no_service(name, service));
                    }
                    let place = (route.host.clone(), route.path_prefix.clone());
                    let other = self.places.holder(&place, changes).or_else(|| places.get(&place).copied());
                    if let Some(other) = other {
                        return Err(shared_place(other, name, &route.host, &route.path_prefix));
                    }
                    places.insert(place, name);
                }
                ParsedItem::Tenant(tenant) => {
                    for key in &tenant.api_keys {
                        let known = keys.get(key.as_str()).copied().filter(|other| other != name);
                        if let Some(other) = self.keys.holder(key, changes).or(known) {
                            return Err(shared_key(other, name));
                        }
                        keys.insert(key, name);
                    }
                }
                ParsedItem::WorkOrder(order)
                    if !self.stands_after(&contract_item(&order.contract), changes) =>
                {
                    return Err(no_contract(&order.name, &order.contract));
                }
                _ => {}
            }
        }
        self.check_dropped(changes)?;
        self.check_numbers(changes)
    }

    /// Whether anything that stands needs what a call drops.
    fn check_dropped(&self, changes: &ItemChanges) -> Result<(), InvalidConfig> {
        for (name, _) in changes.iter().filter(|(_, fact)| fact.is_none()) {
            if let Some(service) = name.strip_prefix("s:")
                && let Some(route) = self.routes_of.holder(&service.to_owned(), changes)
            {
                return Err(no_service(route, service));
            }
            if let Some(contract) = name.strip_prefix(fennelscale_maintenance::CONTRACT_PREFIX)
                && let Some(order) = self.orders_of.holder(&contract.to_owned(), changes)
            {
                return Err(no_contract(
                    order.strip_prefix(fennelscale_maintenance::ORDER_PREFIX).unwrap_or(order),
                    contract,
                ));
            }
        }
        Ok(())
    }

    fn check_numbers(&self, changes: &ItemChanges) -> Result<(), InvalidConfig> {
        let after = |now: usize, is: fn(&ParsedItem) -> bool| {
            let added = changes.values().flatten().filter(|fact| is(fact)).count();
            let replaced =
                changes.keys().filter_map(|name| self.facts.get(name)).filter(|fact| is(fact)).count();
            now + added - replaced
        };
        let failures = after(self.failures, |fact| matches!(fact, ParsedItem::FailureOrder(_)));
        if failures > fennelscale_fault_injection::MOST_ORDERS {
            return Err(too_many_failures(failures));
        }
        let orders = after(self.orders, |fact| matches!(fact, ParsedItem::WorkOrder(_)));
        if orders > MAX_ORDERS {
            return Err(too_many_orders(orders));
        }
        Ok(())
    }
}

pub(crate) fn no_service(route: &str, service: &str) -> InvalidConfig {
    InvalidConfig(format!("route {route}: there is no service {service}; add it in the same call"))
}

pub(crate) fn shared_place(other: &str, name: &str, host: &str, prefix: &str) -> InvalidConfig {
    InvalidConfig(format!("routes {other} and {name} share {host} and {prefix}; change one of them"))
}

pub(crate) fn shared_key(other: &str, name: &str) -> InvalidConfig {
    InvalidConfig(format!("tenants {other} and {name} share a key; take it away from one"))
}

pub(crate) fn no_contract(order: &str, contract: &str) -> InvalidConfig {
    InvalidConfig(format!(
        "order w:{order}: there is no contract {contract}; add it in the same call, or drop the order first"
    ))
}

pub(crate) fn too_many_failures(failures: usize) -> InvalidConfig {
    let most = fennelscale_fault_injection::MOST_ORDERS;
    InvalidConfig(format!("{failures} failure orders would stand, at most {most}: drop old ones"))
}

pub(crate) fn too_many_orders(orders: usize) -> InvalidConfig {
    InvalidConfig(format!("{orders} work orders would stand, at most {MAX_ORDERS}: drop old ones"))
}
