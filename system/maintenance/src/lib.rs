//! Maintenance windows (the post's shutter): contracts that approve hours, work orders that name nodes, a time that can be
//! trusted, and what is done next: which node is drained, which is released, which goes back.
//!
//! # What holds
//!
//! - A node is drained only while the hours of an approved contract hold by a time that a majority of the core vouches for,
//!   with its whole uncertainty inside them ([`clock`], [`contract`]); it is told to go back before they end, and each proxy by
//!   itself stops heeding the drain when they end.
//! - Never more is out at once than the order and the deployment's tolerance leave, planned and unplanned together
//!   ([`plan`]). Each step is decided from one view of everything and written only if that view still stands ([`view_hash`]): two
//!   gateways can't both spend the same room.
//! - A node is released only when each proxy says that it has nothing at work there, and no proxy is silent.
//!
//! # What the caller owes
//!
//! No I/O, no clock: times come in as milliseconds, steady ones never go back. A step of [`plan::next`] is written with the
//! number of the view that it was decided from.

pub mod clock;
pub mod contract;
pub mod order;
pub mod plan;
pub mod record;

use fennelscale_messages::store::Entry;

/// Milliseconds; of a steady clock or since 1970, as said where it stands.
pub type Millis = f64;

/// Names of contracts begin so, ...
pub const CONTRACT_PREFIX: &str = "c:";
/// ... those of work orders so, ...
pub const ORDER_PREFIX: &str = "w:";
/// ... what an order has drained now, for proxies, so, ...
pub const DRAIN_PREFIX: &str = "d:";
/// ... and the record of its night, for the core alone, so.
pub const RECORD_PREFIX: &str = "n:";

/// Whether an item has a say in what may be drained.
pub fn is_maintenance_item(name: &str) -> bool {
    [CONTRACT_PREFIX, ORDER_PREFIX, DRAIN_PREFIX, RECORD_PREFIX].iter().any(|kind| name.starts_with(kind))
}

/// All items that have a say in what may be drained, in one number: a step that was decided from one view is written only
/// where the number is still the same. Versions say enough, since one version never has two contents.
pub fn view_hash<'a>(entries: impl Iterator<Item = (&'a str, &'a Entry)>) -> u64 {
    entries.filter(|(name, _)| is_maintenance_item(name)).fold(0, |all, (name, entry)| {
        let stands = u64::from(entry.body.is_some());
        all ^ fennelscale_messages::mix(
            fennelscale_messages::hash(name.as_bytes()) ^ (entry.revision << 1 | stands),
        )
    })
}
