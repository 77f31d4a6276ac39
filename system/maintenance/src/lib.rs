//! Maintenance windows: contracts that approve hours, work orders that name nodes, a fault-tolerant time of
//! day, and the decision which node to drain, to release or to return to service next.
//!
//! # Guarantees
//!
//! - A node is drained only within the hours of an approved contract, by a time that a majority of the core
//!   confirms and with its whole uncertainty inside them ([`clock`], [`contract`]). It is told to return
//!   before the hours end, and each proxy by itself stops applying the drain when they end.
//! - No more nodes are out at once than the order's limits and the deployment's fault tolerance allow,
//!   planned and unplanned together ([`plan`]). Each step is decided from one view and written only if that
//!   view is still current ([`view_hash`]), so two registries cannot both use the same capacity.
//! - A node is released only when every proxy reports that it has no work in progress there and no proxy is
//!   unreachable.
//!
//! # Obligations of the caller
//!
//! The crate does no I/O and reads no clock: times are passed in as milliseconds, and monotonic times never
//! go back. A step of [`plan::next_step`] is written together with the hash of the view that it was decided
//! from.

pub mod clock;
pub mod contract;
pub mod order;
pub mod plan;
pub mod record;

use fennelscale_messages::store::Entry;

/// Milliseconds: of a monotonic clock, or since the Unix epoch where the documentation says so.
pub type Millis = f64;

/// Prefix of the names of maintenance contracts.
pub const CONTRACT_PREFIX: &str = "c:";
/// Prefix of the names of work orders.
pub const ORDER_PREFIX: &str = "w:";
/// Prefix of the items that tell proxies what a work order drains now.
pub const DRAIN_PREFIX: &str = "d:";
/// Prefix of the maintenance records of work orders, which only the core reads.
pub const RECORD_PREFIX: &str = "n:";

/// Whether an item affects what may be drained.
pub fn is_maintenance_item(name: &str) -> bool {
    [CONTRACT_PREFIX, ORDER_PREFIX, DRAIN_PREFIX, RECORD_PREFIX].iter().any(|prefix| name.starts_with(prefix))
}

/// A hash of all items that affect what may be drained. A step that was decided from a view is written only
/// if the hash is still the same. Hashing revisions is enough, since one revision never has two contents.
pub fn view_hash<'a>(entries: impl Iterator<Item = (&'a str, &'a Entry)>) -> u64 {
    entries.filter(|(name, _)| is_maintenance_item(name)).fold(0, |hash, (name, entry)| {
        let exists = u64::from(entry.body.is_some());
        hash ^ fennelscale_messages::mix(
            fennelscale_messages::hash(name.as_bytes()) ^ (entry.revision << 1 | exists),
        )
    })
}
