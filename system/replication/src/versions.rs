//! What becomes of a change, by the versions that its item has had.
//!
//! # What holds
//!
//! - *One number, one content*: of two contents under one version of an item at most one is ever confirmed, also where the item has
//!   moved on or was dropped since. A version that was never given and arrives late is given to its content when it is confirmed.
//! - *Sent again, told again*: a change that was confirmed is confirmed again or has no clear answer; it is never refused.
//! - Both hold for the last [`HISTORY_LIMIT`] versions of each item. What is older cannot be told from another content any more: it has no
//!   clear answer, and no effect.

use fennelscale_messages::depot::{Change, Entry, VersionRecord};

/// Versions of one item that are remembered, besides the one that it has. An operator gives up on a call within seconds; in these no
/// item has so many versions. Costs 16 bytes a version and item.
pub const HISTORY_LIMIT: usize = 64;

/// How a change stands to the item that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionStatus {
    /// Its version is higher than any that the item has had.
    Newer,
    /// The very same was taken before.
    AlreadyApplied,
    /// Its version was given to another content.
    Conflicting,
    /// Its version was passed over: it has no effect, and is this content's from now on.
    Skipped,
    /// Its version is older than what is remembered.
    Expired,
}

/// The hash by which a change that arrives again is known. Who shares a failure order is the registry's to say, not the sender's.
pub fn content_hash(name: &str, host: &str, body: Option<&str>) -> u64 {
    let host = if name.starts_with(fennelscale_fault_injection::FAILURE) { "" } else { host };
    fennelscale_config::content(host, body)
}

fn current_record(name: &str, entry: &Entry) -> VersionRecord {
    let content = content_hash(name, &entry.host, entry.body.as_deref());
    VersionRecord { revision: entry.revision, content }
}

/// How a change stands to the entry that is in force.
pub fn status(known: &Entry, change: &Change) -> VersionStatus {
    let content = content_hash(&change.name, &change.host, change.body.as_deref());
    let own = current_record(&change.name, known);
    if change.revision > known.revision {
        return VersionStatus::Newer;
    }
    let records = || known.history.iter().chain(std::iter::once(&own));
    if let Some(record) = records().find(|record| record.revision == change.revision) {
        return if record.content == content {
            VersionStatus::AlreadyApplied
        } else {
            VersionStatus::Conflicting
        };
    }
    let complete = known.history.len() < HISTORY_LIMIT;
    let oldest = known.history.first().map_or(known.revision, |record| record.revision);
    if complete || change.revision > oldest { VersionStatus::Skipped } else { VersionStatus::Expired }
}

/// The history of the entry that takes the place of this one.
pub fn history_after(name: &str, known: &Entry) -> Vec<VersionRecord> {
    let mut history = known.history.clone();
    history.push(current_record(name, known));
    truncate_history(&mut history);
    history
}

/// The same entry, with a version that was passed over given to a content.
pub fn with_skipped_version(known: &Entry, change: &Change) -> Entry {
    let content = content_hash(&change.name, &change.host, change.body.as_deref());
    let record = VersionRecord { revision: change.revision, content };
    let mut entry = known.clone();
    let at = entry.history.partition_point(|other| other.revision < record.revision);
    entry.history.insert(at, record);
    truncate_history(&mut entry.history);
    entry
}

/// An entry as registries and proxies hear of it: its history is the stores' matter.
pub fn without_history(entry: &Entry) -> Entry {
    let Entry { stamp, revision, host, body, .. } = entry;
    Entry { stamp: *stamp, revision: *revision, host: host.clone(), body: body.clone(), history: Vec::new() }
}

fn truncate_history(history: &mut Vec<VersionRecord>) {
    history.drain(..history.len().saturating_sub(HISTORY_LIMIT));
}
