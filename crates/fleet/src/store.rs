//! The log in memory, as the consensus library reads it.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError, util};
use std::collections::VecDeque;

/// Hard state, the last snapshot and the entries behind its tail.
#[derive(Clone, Default)]
pub struct Store {
    /// Term, vote and commit.
    pub hard: HardState,
    /// The last snapshot; its metadata's configuration is the one at its index.
    pub snapshot: Snapshot,
    /// The configuration that is applied.
    pub conf: ConfState,
    /// Index and term of the entry right before the first one held.
    pub before: (u64, u64),
    /// Entries in order, without gaps.
    pub entries: VecDeque<Entry>,
    /// Bytes of the entries' contents.
    pub bytes: usize,
}

impl Store {
    fn last(&self) -> u64 {
        self.before.0 + self.entries.len() as u64
    }

    fn at(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.before.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Puts entries in, over those that they replace. False, with nothing changed, if they would leave a gap or replace what a
    /// snapshot holds.
    pub fn append(&mut self, entries: &[Entry]) -> bool {
        let Some(first) = entries.first().map(|entry| entry.index) else { return true };
        if first <= self.before.0 || first > self.last() + 1 {
            return false;
        }
        let keep = usize::try_from(first - self.before.0 - 1).unwrap_or(usize::MAX);
        for gone in self.entries.drain(keep..) {
            self.bytes -= gone.data.len();
        }
        self.bytes += entries.iter().map(|entry| entry.data.len()).sum::<usize>();
        self.entries.extend(entries.iter().cloned());
        true
    }

    /// Starts anew from a snapshot.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.before = (meta.index, meta.term);
        self.conf = meta.get_conf_state().clone();
        self.hard.commit = self.hard.commit.max(meta.index);
        self.hard.term = self.hard.term.max(meta.term);
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot;
    }

    /// Takes a snapshot of this content at an entry that is applied, and lets go entries up to some before it.
    pub fn compact(&mut self, index: u64, data: Vec<u8>, kept: u64) {
        let Ok(term) = self.term(index) else { return };
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = index;
        meta.term = term;
        meta.set_conf_state(self.conf.clone());
        snapshot.data = data.into();
        self.snapshot = snapshot;
        let until = index.saturating_sub(kept);
        while self.entries.front().is_some_and(|entry| entry.index <= until) {
            if let Some(entry) = self.entries.pop_front() {
                self.before = (entry.index, entry.term);
                self.bytes -= entry.data.len();
            }
        }
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.0 {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let mut entries: Vec<Entry> = (low..high).filter_map(|index| self.at(index).cloned()).collect();
        util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        if index < self.before.0 {
            return Err(StorageError::Compacted.into());
        }
        self.at(index).map(|entry| entry.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index || self.snapshot.is_empty() {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
