//! The current items, indexed by what they must not share: checking a call costs as much as what it changes,
//! whatever the number of items.
//!
//! The rules are those of [`check_consistency`](crate::check_consistency), which looks at all items; the
//! tests compare the two.

use crate::{InvalidConfig, MAX_ORDERS, ParsedItem};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The items that a call changes: their new content, none where an item is removed.
pub type ItemChanges = BTreeMap<String, Option<ParsedItem>>;

/// Names of items by a key that they hold.
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

    /// An item that holds the key and is not changed by the call.
    fn holder(&self, key: &K, changes: &ItemChanges) -> Option<&str> {
        self.0.get(key)?.iter().find(|name| !changes.contains_key(*name)).map(String::as_str)
    }
}

/// The host and the path prefix of a route.
type RouteKey = (String, String);

/// The path prefixes and API keys of items that are to be there together, each with the item that has it.
#[derive(Debug, Default)]
pub(crate) struct ExclusiveKeys<'a> {
    routes: HashMap<(&'a str, &'a str), &'a str>,
    api_keys: HashMap<&'a str, &'a str>,
}

impl<'a> ExclusiveKeys<'a> {
    /// Adds the keys of an item.
    ///
    /// # Errors
    /// When another item has one of them.
    pub(crate) fn add(&mut self, name: &'a str, item: &'a ParsedItem) -> Result<(), InvalidConfig> {
        match item {
            ParsedItem::Route(route) => {
                let other = self.routes.insert((&route.host, &route.path_prefix), name);
                match other.filter(|other| *other != name) {
                    Some(other) => Err(duplicate_route(other, name, &route.host, &route.path_prefix)),
                    None => Ok(()),
                }
            }
            ParsedItem::Tenant(tenant) => {
                for key in &tenant.api_keys {
                    if let Some(other) = self.api_keys.insert(key, name).filter(|other| *other != name) {
                        return Err(duplicate_key(other, name));
                    }
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

/// The current items and their indexes.
#[derive(Clone, Default)]
pub struct ConfigIndex {
    items: BTreeMap<String, ParsedItem>,
    routes: Index<RouteKey>,
    api_keys: Index<String>,
    routes_by_service: Index<String>,
    orders_by_contract: Index<String>,
    work_orders: usize,
    failure_orders: usize,
}

/// Shows only the number of items: all else follows from them, and the store shows their texts.
impl std::fmt::Debug for ConfigIndex {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConfigIndex").field("items", &self.items.len()).finish_non_exhaustive()
    }
}

/// The item name of a service.
fn service_item(service: &str) -> String {
    format!("s:{service}")
}

/// The item name of a maintenance contract.
fn contract_item(contract: &str) -> String {
    format!("{}{contract}", fennelscale_maintenance::CONTRACT_PREFIX)
}

/// The items of a call by what became of them.
#[derive(Debug, Default)]
pub struct CallItems {
    /// They have an effect.
    pub changed: ItemChanges,
    /// They were applied before; the call repeats them.
    pub repeated: ItemChanges,
    /// Later versions have overtaken them, so they have no effect.
    pub overtaken: ItemChanges,
}

impl CallItems {
    /// The items that the call would bring if none had been overtaken.
    fn without_repeated(&self) -> ItemChanges {
        self.changed.iter().chain(&self.overtaken).map(|(name, item)| (name.clone(), item.clone())).collect()
    }

    /// Checks that no two items of the call share a path prefix or an API key, whatever became of them.
    fn check_exclusive_keys(&self) -> Result<(), InvalidConfig> {
        let mut keys = ExclusiveKeys::default();
        for (name, item) in [&self.changed, &self.repeated, &self.overtaken].into_iter().flatten() {
            item.as_ref().map_or(Ok(()), |item| keys.add(name, item))?;
        }
        Ok(())
    }
}

impl ConfigIndex {
    /// Sets the content of an item, or removes the item.
    pub fn set(&mut self, name: &str, item: Option<ParsedItem>) {
        if let Some(old) = self.items.remove(name) {
            self.unindex(name, &old);
        }
        if let Some(item) = item {
            self.index(name, &item);
            self.items.insert(name.to_owned(), item);
        }
    }

    fn index(&mut self, name: &str, item: &ParsedItem) {
        match item {
            ParsedItem::Route(route) => {
                self.routes.add((route.host.clone(), route.path_prefix.clone()), name);
                route
                    .services
                    .iter()
                    .for_each(|(service, _)| self.routes_by_service.add(service.clone(), name));
            }
            ParsedItem::Tenant(tenant) => {
                tenant.api_keys.iter().for_each(|key| self.api_keys.add(key.clone(), name))
            }
            ParsedItem::WorkOrder(order) => {
                self.work_orders += 1;
                self.orders_by_contract.add(order.contract.clone(), name);
            }
            ParsedItem::FailureOrder(_) => self.failure_orders += 1,
            _ => {}
        }
    }

    fn unindex(&mut self, name: &str, item: &ParsedItem) {
        match item {
            ParsedItem::Route(route) => {
                self.routes.remove(&(route.host.clone(), route.path_prefix.clone()), name);
                route.services.iter().for_each(|(service, _)| self.routes_by_service.remove(service, name));
            }
            ParsedItem::Tenant(tenant) => {
                tenant.api_keys.iter().for_each(|key| self.api_keys.remove(key, name))
            }
            ParsedItem::WorkOrder(order) => {
                self.work_orders -= 1;
                self.orders_by_contract.remove(&order.contract, name);
            }
            ParsedItem::FailureOrder(_) => self.failure_orders -= 1,
            _ => {}
        }
    }

    fn exists_after(&self, name: &str, changes: &ItemChanges) -> bool {
        changes.get(name).map_or_else(|| self.items.contains_key(name), Option::is_some)
    }

    /// Checks a call whose items are each valid by themselves. What it changes must be consistent with the
    /// current items. So must what later versions have overtaken: such an item has no effect, but nobody knows
    /// whether it was valid when it was sent, and a confirmation says that it was. A call that only repeats
    /// what was confirmed before is confirmed again, whatever has changed since.
    ///
    /// # Errors
    /// As [`check`](Self::check), and when two items of the call exclude each other.
    pub fn check_call(&self, call: &CallItems) -> Result<(), InvalidConfig> {
        if call.changed.is_empty() && call.overtaken.is_empty() {
            return Ok(());
        }
        call.check_exclusive_keys()?;
        self.check(&call.changed)?;
        if call.overtaken.is_empty() { Ok(()) } else { self.check(&call.without_repeated()) }
    }

    /// Checks whether the items are consistent after a call has changed some of them. Each item of the call
    /// is valid by itself.
    ///
    /// # Errors
    /// When a route names a service that does not exist, two routes share a host and path prefix, two tenants
    /// share a key, an order names a contract that does not exist, or there are too many orders.
    pub fn check(&self, changes: &ItemChanges) -> Result<(), InvalidConfig> {
        let mut new_keys = ExclusiveKeys::default();
        for (name, item) in changes.iter().filter_map(|(name, item)| Some((name, item.as_ref()?))) {
            match item {
                ParsedItem::Route(route) => {
                    let missing =
                        |(service, _): &&(String, f64)| !self.exists_after(&service_item(service), changes);
                    if let Some((service, _)) = route.services.iter().find(missing) {
                        return Err(missing_service(name, service));
                    }
                    let route_key = (route.host.clone(), route.path_prefix.clone());
                    if let Some(other) = self.routes.holder(&route_key, changes) {
                        return Err(duplicate_route(other, name, &route.host, &route.path_prefix));
                    }
                }
                ParsedItem::Tenant(tenant) => {
                    for key in &tenant.api_keys {
                        if let Some(other) = self.api_keys.holder(key, changes) {
                            return Err(duplicate_key(other, name));
                        }
                    }
                }
                ParsedItem::WorkOrder(order)
                    if !self.exists_after(&contract_item(&order.contract), changes) =>
                {
                    return Err(missing_contract(&order.name, &order.contract));
                }
                _ => {}
            }
            new_keys.add(name, item)?;
        }
        self.check_removed(changes)?;
        self.check_counts(changes)
    }

    /// Checks that no remaining item needs one that the call removes.
    fn check_removed(&self, changes: &ItemChanges) -> Result<(), InvalidConfig> {
        for (name, _) in changes.iter().filter(|(_, item)| item.is_none()) {
            if let Some(service) = name.strip_prefix("s:")
                && let Some(route) = self.routes_by_service.holder(&service.to_owned(), changes)
            {
                return Err(missing_service(route, service));
            }
            if let Some(contract) = name.strip_prefix(fennelscale_maintenance::CONTRACT_PREFIX)
                && let Some(order) = self.orders_by_contract.holder(&contract.to_owned(), changes)
            {
                return Err(missing_contract(
                    order.strip_prefix(fennelscale_maintenance::ORDER_PREFIX).unwrap_or(order),
                    contract,
                ));
            }
        }
        Ok(())
    }

    fn check_counts(&self, changes: &ItemChanges) -> Result<(), InvalidConfig> {
        let after = |now: usize, is: fn(&ParsedItem) -> bool| {
            let added = changes.values().flatten().filter(|item| is(item)).count();
            let replaced =
                changes.keys().filter_map(|name| self.items.get(name)).filter(|item| is(item)).count();
            now + added - replaced
        };
        let failure_orders = after(self.failure_orders, |item| matches!(item, ParsedItem::FailureOrder(_)));
        if failure_orders > fennelscale_fault_injection::MAX_ORDERS {
            return Err(too_many_failure_orders(failure_orders));
        }
        let work_orders = after(self.work_orders, |item| matches!(item, ParsedItem::WorkOrder(_)));
        if work_orders > MAX_ORDERS {
            return Err(too_many_work_orders(work_orders));
        }
        Ok(())
    }
}

pub(crate) fn missing_service(route: &str, service: &str) -> InvalidConfig {
    InvalidConfig(format!("route {route}: there is no service {service}; add it in the same call"))
}

pub(crate) fn duplicate_route(other: &str, name: &str, host: &str, prefix: &str) -> InvalidConfig {
    InvalidConfig(format!("routes {other} and {name} share {host} and {prefix}; change one of them"))
}

pub(crate) fn duplicate_key(other: &str, name: &str) -> InvalidConfig {
    InvalidConfig(format!("tenants {other} and {name} share a key; take it away from one"))
}

pub(crate) fn missing_contract(order: &str, contract: &str) -> InvalidConfig {
    InvalidConfig(format!(
        "order w:{order}: there is no contract {contract}; add it in the same call, or drop the order first"
    ))
}

pub(crate) fn too_many_failure_orders(failure_orders: usize) -> InvalidConfig {
    let most = fennelscale_fault_injection::MAX_ORDERS;
    InvalidConfig(format!("{failure_orders} failure orders would stand, at most {most}: drop old ones"))
}

pub(crate) fn too_many_work_orders(work_orders: usize) -> InvalidConfig {
    InvalidConfig(format!("{work_orders} work orders would stand, at most {MAX_ORDERS}: drop old ones"))
}
