//! Messages among config stores, and between a config store and the registry of its host.

use crate::Host;
use crate::feed;
use bitcode::{Decode, Encode};

/// A leader's term. Higher terms take precedence; no two members ever lead the same term.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Term {
    /// Increases with each new term.
    pub number: u64,
    /// The member that leads.
    pub leader: Host,
}

/// When an entry was written. Orders all entries of one name.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// The term in which it was written.
    pub term: Term,
    /// The number of the write within the term.
    pub sequence: u64,
}

impl Stamp {
    /// The first stamp after this one. A copy that holds everything written before it also holds this write.
    #[must_use]
    pub fn next(self) -> Self {
        Self { sequence: self.sequence + 1, ..self }
    }
}

/// The stored state of one name.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash, Default)]
pub struct Entry {
    /// When it was written.
    pub stamp: Stamp,
    /// The revision that the operator assigned.
    pub revision: u64,
    /// The host name of a route; empty for other items. For a failure order, the proxies that share it.
    pub host: String,
    /// The item as it was sent; none if it was removed.
    pub body: Option<String>,
    /// Earlier revisions and their contents, in ascending order. A repeated call is recognised by them.
    pub history: Vec<RevisionRecord>,
}

/// A revision number and the content it was assigned to.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, Hash)]
pub struct RevisionRecord {
    /// The operator's revision number.
    pub revision: u64,
    /// The hash of the content sent under it.
    pub content_hash: u64,
}

/// Identifies a call that one store forwards to another. It includes the sender's incarnation, so that a
/// response to an earlier incarnation is never taken for one to the current process.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The number of the call within that incarnation.
    pub number: u64,
}

/// A name and its entry.
pub type NamedEntry = (String, Entry);

/// A change requested by an operator.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash)]
pub struct Change {
    /// The item's name, prefixed with its kind.
    pub name: String,
    /// Its revision.
    pub revision: u64,
    /// The host name of a route; empty for other items.
    pub host: String,
    /// The item; none to remove it.
    pub body: Option<String>,
}

/// A request to the store.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq)]
pub enum StoreRequest {
    /// Changes items, all or none.
    Change(Vec<Change>),
    /// Evacuates a zone (true) or ends its evacuation (false). The number is the revision known to the store
    /// that accepted the call: operators assign no revisions to evacuations, and a delayed call must not undo
    /// a later one.
    Evacuate(String, bool, Option<u64>),
    /// Reads all current items.
    Read,
    /// A step of a maintenance order: writes or removes records, provided that everything the decision
    /// depended on is unchanged (its versions combined into one number).
    MaintenanceStep(u64, Vec<(String, Option<String>)>),
    /// Records something that the system itself needs to know after its next start.
    Note(String, String),
}

/// The result of a [`StoreRequest`]. Its `Debug` text is logged.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq)]
pub enum StoreResponse {
    /// The request is durably complete.
    Done,
    /// The request is complete: a copy that holds everything chosen before this stamp is up to date.
    Fresh(Stamp),
    /// The current items.
    Items(Vec<NamedEntry>),
    /// The request is invalid, with the reason.
    Invalid(String),
    /// It conflicts with another revision.
    Conflict(String),
    /// The revision is older than the remembered history of its item, so it is unknown whether it was ever
    /// applied. The request has no effect.
    Forgotten,
    /// The outcome is unknown.
    Unclear,
}

/// The number of parts in the digest of a proxy's items.
pub const DIGEST_PARTS: usize = 32;

/// A config store and its location.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// The machine.
    pub host: Host,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// The list of voting members.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Default, Hash)]
pub struct MemberList {
    /// Increases with each change.
    pub version: u64,
    /// The members that vote.
    pub members: Vec<Member>,
}

/// A part of a snapshot: entries in the order of their names.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct SnapshotChunk {
    /// Copied from the request.
    pub since: Stamp,
    /// Copied from the request.
    pub after: String,
    /// Chosen entries held by the sender.
    pub entries: Vec<NamedEntry>,
    /// The name to continue after; none if this is the last chunk.
    pub next: Option<String>,
    /// The sender holds everything chosen before this stamp.
    pub position: Stamp,
}

/// A message among config stores.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum StoreMessage {
    /// Sent by a store that is not (yet) a voting member.
    Announce {
        /// The sender and its location.
        member: Member,
        /// It holds everything chosen before this stamp.
        position: Stamp,
    },
    /// The periodic state of a member: what it holds, which leader it knows and whether it is about to leave.
    Heartbeat {
        /// The version of the member list known to the sender.
        members_version: u64,
        /// The term that the sender last promised.
        promised: Term,
        /// Whether it votes: it has not lost any state.
        voting: bool,
        /// It is about to leave.
        leaving: bool,
        /// It does not know yet whether something it had accepted before its start was chosen.
        unconfirmed: bool,
        /// The stamp after the newest chosen entry it holds: all writes before it are chosen.
        newest: Stamp,
        /// A hash of all its chosen entries.
        digest: u64,
    },
    /// Asks to lead a term. The sender holds everything chosen before the stamp.
    Prepare(Term, Stamp),
    /// Grants a [`Prepare`](Self::Prepare): the sender accepts nothing from earlier terms any more.
    Promise {
        /// The promised term.
        term: Term,
        /// The term whose first write the sender accepted last.
        joined: Term,
        /// Chosen entries held by the sender, from the stamp of the request on.
        chosen: Vec<NamedEntry>,
        /// The chosen entries exceed one message: the receiver has to catch up before it can write.
        more: bool,
        /// Accepted entries not known to be chosen.
        pending: Vec<NamedEntry>,
    },
    /// The first write of a term. A member that accepts it holds everything chosen before.
    BeginTerm {
        /// The term that begins.
        term: Term,
        /// Entries that may have been chosen in earlier terms, written again.
        entries: Vec<NamedEntry>,
        /// A hash of the chosen entries held by the sender.
        digest: u64,
        /// Those that the receiver lacked according to its last message; none until it has sent one.
        missing: Option<Vec<NamedEntry>>,
    },
    /// A write of a term after its first.
    Accept {
        /// The term and the number of the write.
        stamp: Stamp,
        /// The written entries.
        entries: Vec<NamedEntry>,
        /// The term's writes below this number are chosen.
        chosen: u64,
    },
    /// The write is accepted and durable.
    Accepted(Stamp),
    /// The write is rejected: a higher term was promised.
    Rejected(Term),
    /// The write is rejected: the sender lacks the first write of this term, or something chosen before it.
    /// It holds everything chosen before the stamp.
    Behind(Term, Stamp),
    /// The term's writes up to and including this one are chosen.
    Chosen(Stamp),
    /// The member list as last chosen.
    MemberList(Entry),
    /// The receiver lacks more than fits into one message and has to fetch it from the sender.
    CatchUp,
    /// Asks for the chosen entries with this stamp or a later one and names after the given one.
    Fetch {
        /// The sender holds everything chosen before this stamp.
        since: Stamp,
        /// The last name it received; empty at the beginning.
        after: String,
    },
    /// The response to [`Fetch`](Self::Fetch), as far as it fits into one message.
    Chunk(SnapshotChunk),
    /// Sent by a member that has lost its state: asks what the receiver promised and holds. The sender holds
    /// everything chosen before the stamp.
    Recover(Stamp),
    /// The response to [`Recover`](Self::Recover).
    RecoveryState {
        /// The term that the sender last promised.
        promised: Term,
        /// The term whose first write it accepted last.
        joined: Term,
        /// Chosen entries it holds, from the stamp of the request on.
        chosen: Vec<NamedEntry>,
        /// The chosen entries exceed one message: the receiver has to catch up first.
        more: bool,
        /// Accepted entries not known to be chosen.
        pending: Vec<NamedEntry>,
    },
    /// A call that the sender received, for the leader.
    Forward(CallId, StoreRequest),
    /// The result of a forwarded call.
    ForwardResponse(CallId, StoreResponse),
}

/// A message from a registry to the store of its host.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum RegistryToStore {
    /// A call from outside.
    Call(u64, StoreRequest),
    /// Events that the registry observed, to be stored for readers after the end of its process.
    SaveEvents(Vec<feed::Event>),
    /// A reader asks for events of earlier incarnations.
    ReadEvents(u64, feed::EventQuery),
}

/// A message from a store to the registry of its host.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum StoreToRegistry {
    /// The result of a call.
    Response(u64, StoreResponse),
    /// Stored events; none if the position after which they were requested is unknown here.
    SavedEvents(u64, Option<feed::EventPage>),
    /// Chosen entries: all of them, or new ones.
    Items {
        /// These are all entries.
        complete: bool,
        /// The entries.
        entries: Vec<NamedEntry>,
    },
    /// Whether this copy is as new as a quorum's: a quorum was heard recently, and none of it held more.
    UpToDate(bool),
    /// The voting members.
    Members(MemberList),
}
