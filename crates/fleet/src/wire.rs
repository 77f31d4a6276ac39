//! What nodes write to one another, and the consensus library's messages in a form of this package.
//!
//! The library's own messages are read by a parser that trusts its input; nothing that came from a peer gets there. Frames are
//! `postcard` with a checksum; the host puts a length before each.

use crate::identity::Identity;
use crate::rules::MOST_FRAME;
use crate::state::Proposal;
use raft::eraftpb::{ConfState, Entry, EntryType, Message as RaftProto, MessageType, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Bytes of a checksum.
const CHECK: usize = 4;

/// A value with a checksum behind it.
pub(crate) fn seal<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_allocvec(value).ok()?;
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    Some(bytes)
}

/// The value, if the checksum is right.
pub(crate) fn open<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (body, check) = bytes.split_at_checked(bytes.len().checked_sub(CHECK)?)?;
    let sound = check == crc32fast::hash(body).to_le_bytes();
    sound.then(|| postcard::from_bytes(body).ok()).flatten()
}

/// One frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Whose fleet this is: frames of another one are dropped.
    pub cluster: u64,
    /// Who wrote it.
    pub from: Identity,
    /// The message.
    pub message: Message,
}

/// What a frame holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Among keepers: the consensus library's.
    Raft(Box<RaftMessage>),
    /// To a keeper: wishes of one author, in order. `hops` counts keepers that passed it on.
    Propose {
        /// The wishes.
        proposals: Vec<Proposal>,
        /// Keepers that passed it on.
        hops: u8,
    },
    /// To a keeper: entries behind this one, please.
    Follow {
        /// The last one held.
        at: u64,
        /// The hash up to it.
        hash: u64,
        /// The number of the disk of one that would keep the log.
        stranger: Option<u64>,
    },
    /// From a keeper: entries.
    Entries {
        /// In order, without gaps.
        entries: Vec<Agreed>,
        /// The last one that the keeper holds.
        last: u64,
    },
    /// From a keeper: all that is agreed, for one that is too far behind.
    Whole(Vec<u8>),
}

/// One entry that is agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    /// Its index.
    pub index: u64,
    /// Whether it changes the keepers.
    pub keepers: bool,
    /// Its content.
    pub data: Vec<u8>,
}

impl Frame {
    /// As bytes; nothing if it would be too long.
    pub fn write(&self) -> Option<Vec<u8>> {
        seal(self).filter(|bytes| bytes.len() <= MOST_FRAME)
    }

    /// From bytes; nothing if they are not a frame.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        open(Some(bytes).filter(|bytes| bytes.len() <= MOST_FRAME)?)
    }
}

/// An entry of the log, agreed or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftEntry {
    kind: u8,
    term: u64,
    index: u64,
    data: Vec<u8>,
    context: Vec<u8>,
}

impl RaftEntry {
    pub(crate) fn of(entry: &Entry) -> Self {
        Self {
            kind: match entry.get_entry_type() {
                EntryType::EntryNormal => 0,
                EntryType::EntryConfChange => 1,
                EntryType::EntryConfChangeV2 => 2,
            },
            term: entry.term,
            index: entry.index,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }

    pub(crate) fn into_entry(self) -> Entry {
        let mut entry = Entry::default();
        entry.set_entry_type(match self.kind {
            2 => EntryType::EntryConfChangeV2,
            1 => EntryType::EntryConfChange,
            _ => EntryType::EntryNormal,
        });
        entry.term = self.term;
        entry.index = self.index;
        entry.data = self.data.into();
        entry.context = self.context.into();
        entry
    }
}

/// A snapshot with the configuration at its index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftSnapshot {
    index: u64,
    term: u64,
    voters: Vec<u64>,
    outgoing: Vec<u64>,
    learners: Vec<u64>,
    learners_next: Vec<u64>,
    auto_leave: bool,
    data: Vec<u8>,
}

impl RaftSnapshot {
    pub(crate) fn of(snapshot: &Snapshot) -> Self {
        let meta = snapshot.get_metadata();
        let conf = meta.get_conf_state();
        Self {
            index: meta.index,
            term: meta.term,
            voters: conf.voters.clone(),
            outgoing: conf.voters_outgoing.clone(),
            learners: conf.learners.clone(),
            learners_next: conf.learners_next.clone(),
            auto_leave: conf.auto_leave,
            data: snapshot.data.to_vec(),
        }
    }

    pub(crate) fn into_snapshot(self) -> Snapshot {
        let conf = ConfState {
            voters: self.voters,
            voters_outgoing: self.outgoing,
            learners: self.learners,
            learners_next: self.learners_next,
            auto_leave: self.auto_leave,
            ..ConfState::default()
        };
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = self.index;
        meta.term = self.term;
        meta.set_conf_state(conf);
        snapshot.data = self.data.into();
        snapshot
    }
}

/// A message of the consensus library.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    kind: u8,
    /// The number of the disk that it goes to.
    pub to: u64,
    /// The number of the disk that it comes from.
    pub from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<RaftEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<RaftSnapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// The kinds that keepers send to one another, each by its place here. All others are a process's own.
const KINDS: [MessageType; 11] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgTransferLeader,
];

impl RaftMessage {
    pub(crate) fn of(message: &RaftProto) -> Option<Self> {
        let kind = KINDS.iter().position(|kind| *kind == message.get_msg_type())?;
        let snapshot = message.get_snapshot();
        Some(Self {
            kind: u8::try_from(kind).ok()?,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(RaftEntry::of).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: (!snapshot.is_empty()).then(|| RaftSnapshot::of(snapshot)),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    /// As the library has it; nothing if it is none of the kinds, or if its entries do not follow one another.
    pub(crate) fn into_proto(self) -> Option<RaftProto> {
        let mut message = RaftProto::default();
        message.set_msg_type(*KINDS.get(usize::from(self.kind))?);
        let in_order = self.entries.iter().try_fold(self.index, |before, entry| {
            (Some(entry.index) == before.checked_add(1)).then_some(entry.index)
        });
        if !self.entries.is_empty() && in_order.is_none() {
            return None;
        }
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.entries = self.entries.into_iter().map(RaftEntry::into_entry).collect::<Vec<_>>().into();
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.into_snapshot());
        }
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.context = self.context.into();
        message.priority = self.priority;
        Some(message)
    }
}
