//! What a keeper's disk holds, and what it is worth after a fault. Bytes only: the host writes and flushes them.
//!
//! Two files. The *log* is a run of records, each with its length and a checksum that goes on from the record before, so that
//! no record can be lost or swapped unseen. The *mark* has two slots that are written in turn; a slot names the log, and how
//! many of its bytes were flushed, and is flushed itself before anybody is told that they are safe. So:
//!
//! - A log that ends in the middle of a record, at or after its mark, was being written when the process died. Nobody was told
//!   of that record: it is cut off.
//! - A log that is sound only up to a byte *before* its mark has lost what others were told is safe. So has a mark with no sound
//!   slot, or one that is too short. Such a keeper would be a liar; it becomes a stranger instead ([`Disk::Lost`]).
//!
//! A log is replaced whole by the next one: that is flushed first, then a mark that names it, then the old one is deleted.

use crc32fast::Hasher;
use raft::eraftpb::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

use crate::store::Store;
use crate::wire::{RaftEntry, RaftSnapshot};

/// Bytes of a record's head: length and checksum.
const HEAD: usize = 8;
/// Bytes of one slot of a mark.
pub const SLOT: usize = 32;
const MAGIC: u32 = 0x666e_6c31;
/// Longer records are none.
const MOST_RECORD: usize = 64 << 20;

/// One record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    /// The first of each log: whose disk this is, and the last snapshot if there is one.
    Start { id: u64, name: String, before: (u64, u64), snapshot: Option<RaftSnapshot> },
    /// Term, vote and commit.
    Hard(u64, u64, u64),
    /// Entries, over those that they replace.
    Entries(Vec<RaftEntry>),
    /// A snapshot that came from the leader.
    Snapshot(RaftSnapshot),
}

/// Writes records, each on top of the one before.
#[derive(Clone, Debug)]
pub struct Writer {
    epoch: u64,
    length: u64,
    chain: u32,
    /// Marks written; their parity names the slot.
    marks: u64,
    id: u64,
    name: String,
}

fn frame(chain: &mut u32, record: &Record) -> Vec<u8> {
    // Records are the program's own: they always can be written.
    let body = postcard::to_allocvec(record).unwrap_or_default();
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
    let mut hasher = Hasher::new_with_initial(*chain);
    hasher.update(&length);
    hasher.update(&body);
    *chain = hasher.finalize();
    [&length[..], &chain.to_le_bytes()[..], &body].concat()
}

fn slot(marks: u64, epoch: u64, length: u64) -> Vec<u8> {
    let mut slot =
        [&MAGIC.to_le_bytes()[..], &marks.to_le_bytes(), &epoch.to_le_bytes(), &length.to_le_bytes()]
            .concat();
    slot.extend(crc32fast::hash(&slot).to_le_bytes());
    slot
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Marks, epoch and length that a slot names.
fn read_slot(slot: &[u8]) -> Option<(u64, u64, u64)> {
    let sound = number(slot, 0).map(u32::from_le_bytes)? == MAGIC
        && number(slot, SLOT - 4).map(u32::from_le_bytes)? == crc32fast::hash(slot.get(..SLOT - 4)?);
    let field = |at| number(slot, at).map(u64::from_le_bytes);
    sound.then_some((field(4)?, field(12)?, field(20)?))
}

/// Bytes for the disk, in this order: the log's, flushed; then the mark's slot, flushed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Which log.
    pub epoch: u64,
    /// Whether it is a new one, which takes the place of all others once its mark is flushed.
    pub whole: bool,
    /// Where in the log the bytes go.
    pub at: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Where in the mark the slot goes.
    pub slot_at: u64,
    /// The slot.
    pub slot: Vec<u8>,
}

impl Writer {
    /// Writes a whole log for what is held now.
    pub fn whole(&mut self, store: &Store) -> Write {
        self.epoch += 1;
        self.chain = 0;
        self.length = 0;
        let snapshot = (!store.snapshot.is_empty()).then(|| RaftSnapshot::of(&store.snapshot));
        let start = Record::Start { id: self.id, name: self.name.clone(), before: store.before, snapshot };
        let mut bytes = frame(&mut self.chain, &start);
        let entries: Vec<RaftEntry> = store.entries.iter().map(RaftEntry::of).collect();
        bytes.extend(frame(&mut self.chain, &Record::Entries(entries)));
        let hard = &store.hard;
        bytes.extend(frame(&mut self.chain, &Record::Hard(hard.term, hard.vote, hard.commit)));
        self.put(bytes, true)
    }

    /// Writes what has changed.
    pub fn more(
        &mut self, snapshot: Option<&Snapshot>, entries: &[Entry], hard: Option<&HardState>,
    ) -> Write {
        let mut bytes = Vec::new();
        if let Some(snapshot) = snapshot {
            bytes.extend(frame(&mut self.chain, &Record::Snapshot(RaftSnapshot::of(snapshot))));
        }
        if !entries.is_empty() {
            let entries = entries.iter().map(RaftEntry::of).collect();
            bytes.extend(frame(&mut self.chain, &Record::Entries(entries)));
        }
        if let Some(hard) = hard {
            bytes.extend(frame(&mut self.chain, &Record::Hard(hard.term, hard.vote, hard.commit)));
        }
        self.put(bytes, false)
    }

    fn put(&mut self, bytes: Vec<u8>, whole: bool) -> Write {
        let at = self.length;
        self.length += bytes.len() as u64;
        self.marks += 1;
        let slot_at = (self.marks % 2) * SLOT as u64;
        Write {
            epoch: self.epoch,
            whole,
            at,
            bytes,
            slot_at,
            slot: slot(self.marks, self.epoch, self.length),
        }
    }

    /// The length of the log, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }
}

/// A keeper's disk as it was found.
pub enum Disk {
    /// There is nothing: this node has never kept the log.
    Empty,
    /// All that anybody was told is safe.
    Sound(Box<Found>),
    /// Something is missing, and what.
    Lost(String),
}

/// A sound disk.
pub struct Found {
    /// The number of this disk.
    pub id: u64,
    /// Whose it is.
    pub name: String,
    /// The log.
    pub store: Store,
    /// Goes on behind it.
    pub writer: Writer,
    /// The length up to which the log is sound; what lies behind is to be cut off before the first write.
    pub sound: u64,
}

impl Writer {
    /// For a disk that holds nothing yet.
    pub fn new(id: u64, name: &str) -> Self {
        Self { epoch: 0, length: 0, chain: 0, marks: 0, id, name: name.to_owned() }
    }
}

/// The log that a mark names; nothing if there is no mark, an error if it is not sound.
///
/// # Errors
/// What is wrong with the mark.
pub fn epoch(mark: Option<&[u8]>) -> Result<Option<u64>, String> {
    Ok(read_mark(mark)?.map(|(_, epoch, _)| epoch))
}

fn read_mark(mark: Option<&[u8]>) -> Result<Option<(u64, u64, u64)>, String> {
    let Some(mark) = mark else { return Ok(None) };
    // The first mark of a disk is written with both slots in place, so that a shorter one has lost something.
    if mark.len() != 2 * SLOT {
        return Err(format!("the mark has {} bytes, not {}", mark.len(), 2 * SLOT));
    }
    let slots = mark.chunks(SLOT).filter_map(read_slot);
    slots.max().map(Some).ok_or_else(|| "the mark has no sound slot".to_owned())
}

/// Reads a disk: its mark, and the log that it names.
pub fn read(mark: Option<&[u8]>, log: Option<&[u8]>) -> Disk {
    let (marks, epoch, flushed) = match read_mark(mark) {
        Ok(Some(mark)) => mark,
        Ok(None) if log.is_none() => return Disk::Empty,
        Ok(None) => return Disk::Lost("there is a log and no mark".to_owned()),
        Err(what) => return Disk::Lost(what),
    };
    let Some(log) = log else { return Disk::Lost(format!("log {epoch} is missing")) };
    let (mut at, mut chain) = (0, 0);
    let mut held: Option<(u64, String, Store)> = None;
    while let Some((record, next)) = next_record(log, at, &mut chain) {
        if !take(&mut held, record) {
            break;
        }
        at = next;
    }
    if (at as u64) < flushed {
        return Disk::Lost(format!("log {epoch} is sound up to byte {at}, and {flushed} were safe"));
    }
    match held {
        Some((id, name, store)) => {
            let writer = Writer { epoch, length: at as u64, chain, marks, id, name: name.clone() };
            Disk::Sound(Box::new(Found { id, name, store, writer, sound: at as u64 }))
        }
        None => Disk::Lost(format!("log {epoch} does not begin as a log")),
    }
}

/// The record at a byte, if it is whole, and the byte behind it.
fn next_record(log: &[u8], at: usize, chain: &mut u32) -> Option<(Record, usize)> {
    let length = usize::try_from(number(log, at).map(u32::from_le_bytes)?).ok()?;
    let check = number(log, at + 4).map(u32::from_le_bytes)?;
    let end = at.checked_add(HEAD)?.checked_add(length).filter(|_| length <= MOST_RECORD)?;
    let body = log.get(at + HEAD..end)?;
    let mut hasher = Hasher::new_with_initial(*chain);
    hasher.update(log.get(at..at + 4)?);
    hasher.update(body);
    if hasher.finalize() != check {
        return None;
    }
    *chain = check;
    Some((postcard::from_bytes(body).ok()?, end))
}

/// Whether a record fits behind those before it.
fn take(held: &mut Option<(u64, String, Store)>, record: Record) -> bool {
    match (held, record) {
        (held @ None, Record::Start { id, name, before, snapshot }) => {
            let mut store = Store::default();
            if let Some(snapshot) = snapshot {
                store.restore(snapshot.into_snapshot());
                // Entries may be kept from before the snapshot on.
                store.before = before;
            }
            *held = Some((id, name, store));
            true
        }
        (Some((_, _, store)), Record::Hard(term, vote, commit)) => {
            store.hard.term = term;
            store.hard.vote = vote;
            store.hard.commit = commit;
            true
        }
        (Some((_, _, store)), Record::Entries(entries)) => {
            let entries: Vec<_> = entries.into_iter().map(RaftEntry::into_entry).collect();
            store.append(&entries)
        }
        (Some((_, _, store)), Record::Snapshot(snapshot)) => {
            store.restore(snapshot.into_snapshot());
            true
        }
        _ => false,
    }
}
