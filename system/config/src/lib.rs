//! Configuration items: calls are parsed into changes, each item is stored as it was sent, and its content is
//! checked and compiled into a routing table.
//!
//! The name of an item is prefixed with its kind: `r:` routes, `t:` tenants, `s:` services, `l:` the limits,
//! `e:` evacuations, `c:` maintenance contracts, `w:` work orders, `d:` nodes drained by these, `n:` their
//! records, `f:` failure orders. JSON is read by pointers: unknown fields are stored and ignored. There is no
//! I/O and no clock.

#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

mod call;
mod claims;
mod config_index;
mod failure_order;
mod item;
mod json_bounds;
mod maintenance;
mod routing_table;

pub use call::{parse_call, render_items};
pub use config_index::{CallItems, ConfigIndex, ItemChanges};
pub use item::{Limits, ParsedItem, Route, RouteKind, Service, Tenant, parse_item};
pub use routing_table::RoutingTable;

use config_index::ExclusiveKeys;
use fennelscale_maintenance::order::MAX_ORDERS;
use fennelscale_messages::store::{DIGEST_PARTS, Entry, NamedEntry};
use std::collections::{BTreeMap, HashSet};

/// The name of the limits, of which there is one item.
pub const LIMITS_KEY: &str = "l:limits";

/// Why a call is invalid, as told to its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig(pub String);

impl std::fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// A hash of the name and the stamp of an entry.
pub fn entry_hash((name, entry): (&str, &Entry)) -> u64 {
    let stamp = entry.stamp;
    let name_hash = fennelscale_messages::hash(name.as_bytes());
    let stamp_hash = fennelscale_messages::mix(stamp.term.number ^ u64::from(stamp.term.leader.0) << 32)
        ^ fennelscale_messages::mix(stamp.sequence.wrapping_add(0x9e37_79b9_7f4a_7c15));
    fennelscale_messages::mix(name_hash ^ stamp_hash)
}

/// The part of a digest to which a name belongs.
pub fn digest_part(name: &str) -> usize {
    (fennelscale_messages::hash(name.as_bytes()) >> 40) as usize % DIGEST_PARTS
}

/// The combined hash of the entries in each part.
pub fn digest<'a>(entries: impl IntoIterator<Item = (&'a String, &'a Entry)>) -> Vec<u64> {
    let mut digest = vec![0; DIGEST_PARTS];
    for (name, entry) in entries {
        digest[digest_part(name)] ^= entry_hash((name, entry));
    }
    digest
}

/// A hash of what was sent, by which a repeated call is recognised.
pub fn content_hash(host: &str, body: Option<&str>) -> u64 {
    let body = body.map_or(1, |body| fennelscale_messages::hash(body.as_bytes()));
    fennelscale_messages::mix(fennelscale_messages::hash(host.as_bytes()) ^ body)
}

/// Checks items, each of which is valid by itself, for consistency with each other.
///
/// # Errors
/// When a route names a service that does not exist, two routes share a host and path prefix, two tenants
/// share a key, an order names a contract that does not exist, or there are too many orders.
pub fn check_consistency<'a>(
    items: impl Iterator<Item = (&'a str, &'a ParsedItem)> + Clone,
) -> Result<(), InvalidConfig> {
    let services: HashSet<&str> = items
        .clone()
        .filter_map(|(_, item)| match item {
            ParsedItem::Service(service) => Some(service.name.as_str()),
            _ => None,
        })
        .collect();
    let mut keys = ExclusiveKeys::default();
    let (mut work_orders, mut contracts, mut failure_orders) = (Vec::new(), HashSet::new(), 0);
    for (name, item) in items {
        match item {
            ParsedItem::Route(route) => {
                if let Some((service, _)) =
                    route.services.iter().find(|(s, _)| !services.contains(s.as_str()))
                {
                    return Err(config_index::missing_service(name, service));
                }
            }
            ParsedItem::Tenant(_) => {}
            ParsedItem::WorkOrder(order) => work_orders.push(order),
            ParsedItem::MaintenanceContract(contract) => drop(contracts.insert(contract.name.as_str())),
            ParsedItem::FailureOrder(_) => failure_orders += 1,
            ParsedItem::Service(_)
            | ParsedItem::Limits(_)
            | ParsedItem::Evacuation
            | ParsedItem::Drain(_)
            | ParsedItem::MaintenanceRecord => {}
        }
        keys.add(name, item)?;
    }
    if failure_orders > fennelscale_fault_injection::MAX_ORDERS {
        return Err(config_index::too_many_failure_orders(failure_orders));
    }
    if work_orders.len() > MAX_ORDERS {
        return Err(config_index::too_many_work_orders(work_orders.len()));
    }
    match work_orders.iter().find(|order| !contracts.contains(order.contract.as_str())) {
        None => Ok(()),
        Some(order) => Err(config_index::missing_contract(&order.name, &order.contract)),
    }
}

/// A copy of the items: the newest entry of each name, and checksums of the entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ItemCopy {
    entries: BTreeMap<String, Entry>,
    checksum: u64,
    part_checksums: [u64; DIGEST_PARTS],
}

impl ItemCopy {
    /// Stores an entry if it is newer than the known one. Returns whether it was stored.
    pub fn merge(&mut self, name: &str, entry: &Entry) -> bool {
        let known = self.entries.get(name);
        if known.is_some_and(|known| known.stamp >= entry.stamp) {
            return false;
        }
        let before = known.map_or(0, |known| entry_hash((name, known)));
        let change = before ^ entry_hash((name, entry));
        self.checksum ^= change;
        self.part_checksums[digest_part(name)] ^= change;
        self.entries.insert(name.to_owned(), entry.clone());
        true
    }

    /// All entries by name.
    pub fn entries(&self) -> &BTreeMap<String, Entry> {
        &self.entries
    }

    /// The checksum of all entries: copies that hold the same entries have the same checksum.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// The checksum of the entries in each part of the digest.
    pub fn part_checksums(&self) -> &[u64; DIGEST_PARTS] {
        &self.part_checksums
    }

    /// The entries of the parts whose checksums differ from those of another copy.
    pub fn entries_in_differing_parts(&self, theirs: &[u64]) -> Vec<NamedEntry> {
        let differs =
            |name: &str| theirs.get(digest_part(name)) != Some(&self.part_checksums[digest_part(name)]);
        let entries = self.entries.iter().filter(|(name, _)| differs(name));
        entries.map(|(name, entry)| (name.clone(), entry.clone())).collect()
    }
}

#[cfg(test)]
mod tests;
