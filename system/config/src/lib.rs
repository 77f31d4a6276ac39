//! Items of the configuration: calls are read into changes, each item is kept as it was sent, what it says is checked and
//! compiled into a table of routes.
//!
//! An item's name bears its kind: `r:` routes, `t:` tenants, `s:` services, `l:` the limits, `e:` evacuations, `c:` contracts of
//! maintenance hours, `w:` work orders, `d:` what these have drained, `n:` the record of it, `f:` failure orders. JSON is read by pointers: fields that nobody here asks for are kept and passed over. No I/O, no clock.

mod call;
mod claims;
mod failures;
mod item;
mod maintenance;
mod standing;
mod table;

pub use call::{parse_call, render_items};
pub use item::{Limits, ParsedItem, Route, RouteKind, Service, Tenant, parse_item};
pub use standing::{ConfigIndex, ItemChanges};
pub use table::RoutingTable;

use fennelscale_maintenance::order::MAX_ORDERS;
use fennelscale_messages::store::{DIGEST_PARTS, Entry, NamedEntry};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The name of the item that is there once.
pub const LIMITS_KEY: &str = "l:limits";

/// Why a call can't be, for who sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig(pub String);

impl std::fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// An entry in one number: two copies that hold the same are of the same sum.
pub fn entry_hash((name, entry): (&str, &Entry)) -> u64 {
    let stamp = entry.stamp;
    let of = fennelscale_messages::hash(name.as_bytes());
    let at = fennelscale_messages::mix(stamp.term.number ^ u64::from(stamp.term.leader.0) << 32)
        ^ fennelscale_messages::mix(stamp.sequence.wrapping_add(0x9e37_79b9_7f4a_7c15));
    fennelscale_messages::mix(of ^ at)
}

/// The part of a digest that a name is in.
pub fn digest_part(name: &str) -> usize {
    (fennelscale_messages::hash(name.as_bytes()) >> 40) as usize % DIGEST_PARTS
}

/// All entries in one number for each part.
pub fn digest<'a>(entries: impl IntoIterator<Item = (&'a String, &'a Entry)>) -> Vec<u64> {
    let mut digest = vec![0; DIGEST_PARTS];
    for (name, entry) in entries {
        digest[digest_part(name)] ^= entry_hash((name, entry));
    }
    digest
}

/// A hash of what was sent, by which a call that arrives again is known.
pub fn content_hash(host: &str, body: Option<&str>) -> u64 {
    let body = body.map_or(1, |body| fennelscale_messages::hash(body.as_bytes()));
    fennelscale_messages::mix(fennelscale_messages::hash(host.as_bytes()) ^ body)
}

/// Whether items that are each in order are so together.
///
/// # Errors
/// When a route names a service that is not there, two routes share a place, two tenants a key, or an order names a contract
/// that is not there.
pub fn check_consistency<'a>(
    facts: impl Iterator<Item = (&'a str, &'a ParsedItem)> + Clone,
) -> Result<(), InvalidConfig> {
    let services: HashSet<&str> = facts
        .clone()
        .filter_map(|(_, fact)| match fact {
            ParsedItem::Service(service) => Some(service.name.as_str()),
            _ => None,
        })
        .collect();
    let mut places: HashMap<(&str, &str), &str> = HashMap::new();
    let mut keys: HashMap<&str, &str> = HashMap::new();
    let (mut orders, mut contracts, mut failures) = (Vec::new(), HashSet::new(), 0);
    for (name, fact) in facts {
        match fact {
            ParsedItem::Route(route) => {
                if let Some((service, _)) =
                    route.services.iter().find(|(s, _)| !services.contains(s.as_str()))
                {
                    return Err(standing::no_service(name, service));
                }
                if let Some(other) = places.insert((&route.host, &route.path_prefix), name) {
                    return Err(standing::shared_place(other, name, &route.host, &route.path_prefix));
                }
            }
            ParsedItem::Tenant(tenant) => {
                for key in &tenant.api_keys {
                    if let Some(other) = keys.insert(key, name).filter(|other| *other != name) {
                        return Err(standing::shared_key(other, name));
                    }
                }
            }
            ParsedItem::WorkOrder(order) => orders.push(order),
            ParsedItem::MaintenanceContract(contract) => drop(contracts.insert(contract.name.as_str())),
            ParsedItem::FailureOrder(_) => failures += 1,
            ParsedItem::Service(_)
            | ParsedItem::Limits(_)
            | ParsedItem::Evacuation
            | ParsedItem::Drain(_)
            | ParsedItem::MaintenanceRecord => {}
        }
    }
    if failures > fennelscale_fault_injection::MOST_ORDERS {
        return Err(standing::too_many_failures(failures));
    }
    if orders.len() > MAX_ORDERS {
        return Err(standing::too_many_orders(orders.len()));
    }
    match orders.iter().find(|order| !contracts.contains(order.contract.as_str())) {
        None => Ok(()),
        Some(order) => Err(standing::no_contract(&order.name, &order.contract)),
    }
}

/// A copy of items: of each name the newest entry, and all of them in one number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ItemCopy {
    entries: BTreeMap<String, Entry>,
    sum: u64,
    parts: [u64; DIGEST_PARTS],
}

impl ItemCopy {
    /// Takes an entry if it is newer than what is there. Whether it is.
    pub fn merge(&mut self, name: &str, entry: &Entry) -> bool {
        let known = self.entries.get(name);
        if known.is_some_and(|known| known.stamp >= entry.stamp) {
            return false;
        }
        let before = known.map_or(0, |known| entry_hash((name, known)));
        let change = before ^ entry_hash((name, entry));
        self.sum ^= change;
        self.parts[digest_part(name)] ^= change;
        self.entries.insert(name.to_owned(), entry.clone());
        true
    }

    /// All entries by their names.
    pub fn entries(&self) -> &BTreeMap<String, Entry> {
        &self.entries
    }

    /// All entries in one number: copies that hold the same have the same.
    pub fn checksum(&self) -> u64 {
        self.sum
    }

    /// All entries in one number for each part of their names.
    pub fn part_checksums(&self) -> &[u64; DIGEST_PARTS] {
        &self.parts
    }

    /// The entries of the parts in which another copy holds something else.
    pub fn entries_in_differing_parts(&self, theirs: &[u64]) -> Vec<NamedEntry> {
        let differs = |name: &str| theirs.get(digest_part(name)) != Some(&self.parts[digest_part(name)]);
        let entries = self.entries.iter().filter(|(name, _)| differs(name));
        entries.map(|(name, entry)| (name.clone(), entry.clone())).collect()
    }
}

#[cfg(test)]
mod tests;
