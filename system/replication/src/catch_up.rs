//! Catch-up: a copy that is behind fetches the missing entries in chunks of bounded size from any voting
//! replica.
//!
//! The requester says up to which stamp it is complete (`since`) and receives the entries from that stamp on,
//! ordered by name. It may continue with another replica after each chunk or after a restart: each chunk
//! comes from a replica that was complete up to some position, so after the last one the requester is
//! complete up to the lowest of these. Entries chosen in the meantime are left to the next transfer.

use crate::{MEMBERS_KEY, Millis, Replica};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Entry, NamedEntry, SnapshotChunk, Stamp, StoreMessage};
use std::ops::Bound;

/// Approximate size of a chunk; a longer entry is sent alone. Small compared to what any link carries in a
/// heartbeat interval and to the memory limit of a replica.
pub const CHUNK_BYTES: usize = 128 << 10;
/// Maximum number of names that one chunk examines: entries that it skips take time too.
const MAX_CHUNK_SCAN: usize = 4096;
/// A chunk that does not arrive is requested from another replica after this time: two of the longest round
/// trips and some slack.
const CHUNK_TIMEOUT: Millis = 700.0;
/// After this many consecutive heartbeats with the same position and another digest, all entries are fetched
/// from the peer.
const MAX_DIGEST_MISMATCHES: u8 = 4;

/// A transfer in progress.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    since: Stamp,
    after: String,
    /// Lowest position of the replicas that sent a chunk.
    complete_to: Option<Stamp>,
    source: Host,
    requested_at: Millis,
}

/// Approximate encoded size of an entry.
fn entry_size(name: &str, entry: &Entry) -> usize {
    let body = entry.body.as_ref().map_or(0, String::len);
    64 + name.len() + entry.host.len() + body + 16 * entry.history.len()
}

impl Replica {
    /// Chosen entries with this stamp or a later one; none if they exceed one chunk.
    pub(crate) fn entries_since(&self, since: Stamp) -> Option<Vec<NamedEntry>> {
        let (mut tail, mut bytes) = (Vec::new(), 0);
        for (_, name) in self.chosen_by_stamp.range((since, String::new())..) {
            let Some(entry) = self.items[name].chosen.as_ref() else { continue };
            bytes += entry_size(name, entry);
            if bytes > CHUNK_BYTES && !tail.is_empty() {
                return None;
            }
            tail.push((name.clone(), entry.clone()));
        }
        Some(tail)
    }

    /// The next chunk of entries after a name, and the name to continue after if there are more.
    fn next_chunk(&self, since: Stamp, after: &str) -> (Vec<NamedEntry>, Option<String>) {
        let names = self.items.range::<str, _>((Bound::Excluded(after), Bound::Unbounded));
        let (mut entries, mut bytes) = (Vec::new(), 0);
        let mut last: Option<&String> = None;
        for (scanned, (name, item)) in names.enumerate() {
            let entry = item.chosen.as_ref().filter(|entry| entry.stamp >= since);
            let more = entry.map_or(0, |entry| entry_size(name, entry));
            let full = bytes + more > CHUNK_BYTES && !entries.is_empty();
            if let Some(last) = last.filter(|_| full || scanned >= MAX_CHUNK_SCAN) {
                return (entries, Some(last.clone()));
            }
            bytes += more;
            entries.extend(entry.map(|entry| (name.clone(), entry.clone())));
            last = Some(name);
        }
        (entries, None)
    }

    pub(crate) fn on_fetch(&mut self, from: Host, since: Stamp, after: String) {
        if !self.voting {
            return;
        }
        let all = if after.is_empty() { self.entries_since(since) } else { None };
        let (entries, next) = match all {
            Some(tail) => (tail, None),
            None => self.next_chunk(since, &after),
        };
        let position = self.progress.position;
        self.send(from, StoreMessage::Chunk(SnapshotChunk { since, after, entries, next, position }));
    }

    /// Starts to fetch missing entries from a replica, unless a transfer is in progress.
    pub(crate) fn start_transfer(&mut self, now: Millis, from: Host) {
        let since = self.progress.position;
        self.start_transfer_since(now, from, since);
    }

    fn start_transfer_since(&mut self, now: Millis, from: Host, since: Stamp) {
        if self.transfer.is_some() || from == self.config.local.host {
            return;
        }
        self.transfer = Some(Transfer {
            since,
            after: String::new(),
            complete_to: None,
            source: from,
            requested_at: now,
        });
        self.send(from, StoreMessage::Fetch { since, after: String::new() });
    }

    pub(crate) fn on_chunk(&mut self, now: Millis, from: Host, chunk: SnapshotChunk) {
        let SnapshotChunk { since, after, entries, next, position } = chunk;
        let Some(transfer) = &mut self.transfer else { return };
        if (transfer.source, transfer.since, &transfer.after) != (from, since, &after) {
            return;
        }
        let complete_to = transfer.complete_to.map_or(position, |known| known.min(position));
        transfer.complete_to = Some(complete_to);
        match next {
            Some(next) => {
                (transfer.after, transfer.requested_at) = (next.clone(), now);
                self.send(from, StoreMessage::Fetch { since, after: next });
                self.merge_chosen(entries);
            }
            None => {
                self.transfer = None;
                self.merge_chosen(entries);
                self.advance_position(complete_to);
            }
        }
    }

    /// Continues a stalled transfer with another replica, where it stopped.
    pub(crate) fn transfer_tick(&mut self, now: Millis) {
        let others = self.other_members();
        let Some(transfer) = &mut self.transfer else { return };
        if now - transfer.requested_at < CHUNK_TIMEOUT {
            return;
        }
        let at = others.iter().position(|host| *host == transfer.source);
        let Some(next) = others.get(at.map_or(0, |at| at + 1) % others.len().max(1)).copied() else {
            self.transfer = None;
            return;
        };
        (transfer.source, transfer.requested_at) = (next, now);
        let (since, after) = (transfer.since, transfer.after.clone());
        self.send(next, StoreMessage::Fetch { since, after });
    }

    /// Handles the position and digest in a voting peer's heartbeat: marks as chosen what the peer knows to
    /// be chosen, and fetches what is missing. Two copies with the same position and different contents are
    /// compared from the start; no known fault leads there.
    pub(crate) fn compare_with_peer(&mut self, now: Millis, from: Host, newest: Stamp, digest: u64) {
        self.mark_chosen(newest.term, newest.sequence);
        let (position, own_newest, own_digest) = (self.progress.position, self.chosen_end(), self.digest);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let same_position = newest == own_newest && position >= newest;
        peer.digest_mismatches =
            if same_position && digest != own_digest { peer.digest_mismatches + 1 } else { 0 };
        if peer.digest_mismatches >= MAX_DIGEST_MISMATCHES {
            peer.digest_mismatches = 0;
            self.log("copies-differ", format!("peer={from}"));
            self.start_transfer_since(now, from, Stamp::default());
        } else if position < newest {
            self.start_transfer(now, from);
        }
    }

    /// Merges entries that another replica holds as chosen.
    pub(crate) fn merge_chosen(&mut self, entries: Vec<NamedEntry>) {
        for (name, entry) in entries {
            let known = self.items.get(&name).and_then(|item| item.chosen.as_ref()).map(|c| c.stamp);
            if known.is_none_or(|known| known < entry.stamp) {
                self.highest_term_number = self.highest_term_number.max(entry.stamp.term.number);
                self.apply_chosen(name, entry);
            }
        }
    }

    /// Sends the member list to another replica.
    pub(crate) fn send_members(&mut self, to: Host) {
        if let Some(entry) = self.items.get(MEMBERS_KEY).and_then(|item| item.chosen.clone()) {
            self.send(to, StoreMessage::MemberList(entry));
        }
    }
}
