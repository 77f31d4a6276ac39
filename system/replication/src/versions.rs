//! Decides how a change relates to the versions that its entry has had.
//!
//! # Invariants
//!
//! - Of two contents under one version of an entry at most one is ever confirmed, also after the entry has
//!   changed further or was removed. A version that was skipped and arrives late belongs to the first content
//!   confirmed under it.
//! - A change that was confirmed is confirmed again when it is repeated, or its outcome is unknown; it is
//!   never rejected.
//! - Both hold for the last [`HISTORY_LIMIT`] versions of each entry. An older version cannot be told apart
//!   from another content: its outcome is unknown and it has no effect.

use fennelscale_messages::store::{Change, Entry, RevisionRecord};

/// Number of earlier versions remembered for each entry. An operator gives up on a call within seconds, and
/// no entry has so many versions in that time. Costs 16 bytes for each version of an entry.
pub const HISTORY_LIMIT: usize = 64;

/// Relation of a change to the current entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionStatus {
    /// Its version is higher than any that the entry has had.
    Newer,
    /// The same change was applied before.
    AlreadyApplied,
    /// Its version belongs to another content.
    Conflicting,
    /// Its version was skipped: the change has no effect, but the version belongs to this content from now
    /// on.
    Skipped,
    /// Its version is older than the remembered history.
    Expired,
}

/// Hash that identifies a repeated change. For a fault-injection order it leaves out the proxies that share
/// it, which are chosen by the registry and not by the sender.
pub fn content_hash(name: &str, host: &str, body: Option<&str>) -> u64 {
    let host = if name.starts_with(fennelscale_fault_injection::ORDER_PREFIX) { "" } else { host };
    fennelscale_config::content_hash(host, body)
}

fn current_record(name: &str, entry: &Entry) -> RevisionRecord {
    let content = content_hash(name, &entry.host, entry.body.as_deref());
    RevisionRecord { revision: entry.revision, content_hash: content }
}

/// Determines how a change relates to the current entry.
pub fn status(known: &Entry, change: &Change) -> VersionStatus {
    let content = content_hash(&change.name, &change.host, change.body.as_deref());
    let own = current_record(&change.name, known);
    if change.revision > known.revision {
        return VersionStatus::Newer;
    }
    let records = || known.history.iter().chain(std::iter::once(&own));
    if let Some(record) = records().find(|record| record.revision == change.revision) {
        return if record.content_hash == content {
            VersionStatus::AlreadyApplied
        } else {
            VersionStatus::Conflicting
        };
    }
    let complete = known.history.len() < HISTORY_LIMIT;
    let oldest = known.history.first().map_or(known.revision, |record| record.revision);
    if complete || change.revision > oldest { VersionStatus::Skipped } else { VersionStatus::Expired }
}

/// History of the entry that replaces this one.
pub fn history_after(name: &str, known: &Entry) -> Vec<RevisionRecord> {
    let mut history = known.history.clone();
    history.push(current_record(name, known));
    truncate_history(&mut history);
    history
}

/// The same entry with a skipped version recorded for a content.
pub fn with_skipped_version(known: &Entry, change: &Change) -> Entry {
    let content = content_hash(&change.name, &change.host, change.body.as_deref());
    let record = RevisionRecord { revision: change.revision, content_hash: content };
    let mut entry = known.clone();
    let at = entry.history.partition_point(|other| other.revision < record.revision);
    entry.history.insert(at, record);
    truncate_history(&mut entry.history);
    entry
}

/// The entry as published to registries and proxies; only replicas need the history.
pub fn without_history(entry: &Entry) -> Entry {
    let Entry { stamp, revision, host, body, .. } = entry;
    Entry { stamp: *stamp, revision: *revision, host: host.clone(), body: body.clone(), history: Vec::new() }
}

fn truncate_history(history: &mut Vec<RevisionRecord>) {
    history.drain(..history.len().saturating_sub(HISTORY_LIMIT));
}
