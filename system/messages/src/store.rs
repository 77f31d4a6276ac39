//! Words among stores, and between a store and its machine's registry.

use crate::Host;
use crate::feed;
use bitcode::{Decode, Encode};

/// Whose turn it is to write. Higher ones go before; two seats never have the same.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Term {
    /// Counts up.
    pub number: u64,
    /// The seat that writes.
    pub leader: Host,
}

/// When an entry was written: the order of all entries of one name.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// By whose turn.
    pub term: Term,
    /// Which write of that turn.
    pub sequence: u64,
}

impl Stamp {
    /// The first stamp after this one. Who holds all that was written before it holds this write too.
    #[must_use]
    pub fn next(self) -> Self {
        Self { sequence: self.sequence + 1, ..self }
    }
}

/// What is known of one name.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash, Default)]
pub struct Entry {
    /// When it was written.
    pub stamp: Stamp,
    /// The version that the operator gave.
    pub revision: u64,
    /// The host of a route; empty for all else.
    pub host: String,
    /// The item as it was sent; none when it was dropped.
    pub body: Option<String>,
    /// Versions before this one that were given to a content, in rising order: a call that arrives again is known by it.
    pub history: Vec<RevisionRecord>,
}

/// A version number and the content that it was given to.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, Hash)]
pub struct RevisionRecord {
    /// The operator's number.
    pub revision: u64,
    /// The hash of what was sent under it.
    pub content_hash: u64,
}

/// A call that one store passes on to another. The life of the sender is part of it: an answer to a former life of a process is
/// never taken for one to this life.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The sender's life.
    pub incarnation: u64,
    /// The number of the call in that life.
    pub number: u64,
}

/// An entry and its name.
pub type NamedEntry = (String, Entry);

/// A change that an operator asks for.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash)]
pub struct Change {
    /// The item's name, with its kind before it.
    pub name: String,
    /// Its version.
    pub revision: u64,
    /// The host of a route; empty for all else.
    pub host: String,
    /// The item; none to drop it.
    pub body: Option<String>,
}

/// What a caller wants of the store.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq)]
pub enum StoreRequest {
    /// Items are to change, all or none.
    Change(Vec<Change>),
    /// A zone is to be emptied, or taken back. The number is the version that the store which took the call knew then: evacuations
    /// have no version of the operator's, and a call that was held up must not undo the one after it.
    Evacuate(String, bool, Option<u64>),
    /// All items that stand.
    Read,
    /// A step of a maintenance order: records to be written or dropped, if all that has a say in it is still as it was when the step
    /// was decided (its versions in one number).
    MaintenanceStep(u64, Vec<(String, Option<String>)>),
    /// Something that the system itself wants to know after its next start.
    Note(String, String),
}

/// How that went.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq)]
pub enum StoreResponse {
    /// It is done and stays done.
    Done,
    /// It is done: a copy that holds all that was chosen before this is new enough.
    Fresh(Stamp),
    /// The items that stand.
    Items(Vec<NamedEntry>),
    /// It can't be: why.
    Invalid(String),
    /// Another version stands in its way.
    Conflict(String),
    /// An older version than is remembered of its item: whether it was ever taken is not known. It has no effect.
    Forgotten,
    /// Nothing is known of how it went or will go.
    Unclear,
}

/// How many parts the digest of a proxy's items has.
pub const DIGEST_PARTS: usize = 32;

/// A seat and where it is.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// The machine.
    pub host: Host,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// The list of seats.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Eq, Default, Hash)]
pub struct MemberList {
    /// Counts up with each change.
    pub version: u64,
    /// Those who vote.
    pub members: Vec<Member>,
}

/// A part of a snapshot: entries in the order of their names.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct SnapshotChunk {
    /// As it was asked.
    pub since: Stamp,
    /// As it was asked.
    pub after: String,
    /// What the sender holds as chosen.
    pub entries: Vec<NamedEntry>,
    /// Where to go on; none if this was the last.
    pub next: Option<String>,
    /// The sender held all that was chosen before this.
    pub position: Stamp,
}

/// Words among stores.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum StoreMessage {
    /// I am here, and not (yet) a seat.
    Announce {
        /// Who and where.
        member: Member,
        /// It holds all that was chosen before this.
        position: Stamp,
    },
    /// Every so often: I am here. What I hold, of whom I know that it writes, and whether I am about to leave.
    Heartbeat {
        /// The list of seats that the sender knows.
        members_version: u64,
        /// The turn that the sender last promised.
        promised: Term,
        /// Whether it votes: it has not forgotten anything.
        voting: bool,
        /// It goes soon.
        leaving: bool,
        /// It does not know yet what became of something that it had taken when it started.
        unconfirmed: bool,
        /// The stamp after the newest entry that it holds as chosen: all writes before it are chosen.
        newest: Stamp,
        /// All its chosen entries in one hash.
        digest: u64,
    },
    /// May I write from now on? I hold all that was chosen before this stamp.
    Prepare(Term, Stamp),
    /// Yes; I take nothing of earlier turns any more.
    Promise {
        /// Whose turn.
        term: Term,
        /// The turn whose first write the sender took last.
        joined: Term,
        /// What the sender holds as chosen, from the stamp on that the receiver said.
        chosen: Vec<NamedEntry>,
        /// There is more of that than one message bears: the receiver has to catch up before it can write.
        more: bool,
        /// What it took and does not know to be chosen.
        pending: Vec<NamedEntry>,
    },
    /// My turn begins. Who takes this holds all that was chosen before it.
    BeginTerm {
        /// Whose turn.
        term: Term,
        /// What may have been chosen in earlier turns, written again.
        entries: Vec<NamedEntry>,
        /// What the sender holds as chosen, in one hash.
        digest: u64,
        /// Of that, what the receiver lacked by its last word; none before it has told.
        missing: Option<Vec<NamedEntry>>,
    },
    /// Take this: a write of a turn after its first.
    Accept {
        /// Whose turn and which write.
        stamp: Stamp,
        /// What is written.
        entries: Vec<NamedEntry>,
        /// Below this one the turn's writes are chosen.
        chosen: u64,
    },
    /// Taken and safe.
    Accepted(Stamp),
    /// Not taken: a higher turn was promised.
    Rejected(Term),
    /// Not taken: the first write of this turn is missing here, or something that was chosen before it. I hold all that was chosen
    /// before this stamp.
    Behind(Term, Stamp),
    /// The turn's writes up to this one are chosen.
    Chosen(Stamp),
    /// The list of seats, as it was chosen last.
    MemberList(Entry),
    /// You lack more than one message bears: fetch it from me.
    CatchUp,
    /// What do you hold as chosen with this stamp or a later one, of the names after this one?
    Fetch {
        /// The asker holds all that was chosen before this.
        since: Stamp,
        /// The last name that it was told of; empty at the begin.
        after: String,
    },
    /// That, as far as one message bears it.
    Chunk(SnapshotChunk),
    /// I have a seat and no memory: what did you promise, and what do you hold? I have all that was chosen before this.
    Recover(Stamp),
    /// That.
    RecoveryState {
        /// The turn that the sender last promised.
        promised: Term,
        /// The turn whose first write it took last.
        joined: Term,
        /// What it holds as chosen, from the stamp on that the receiver said.
        chosen: Vec<NamedEntry>,
        /// There is more of that than one message bears: the receiver has to catch up first.
        more: bool,
        /// What it took and does not know to be chosen.
        pending: Vec<NamedEntry>,
    },
    /// A call that I took, for who writes.
    Forward(CallId, StoreRequest),
    /// How that went.
    ForwardResponse(CallId, StoreResponse),
}

/// From a registry to its machine's store.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum RegistryToStore {
    /// A call from outside.
    Call(u64, StoreRequest),
    /// What the registry saw happen, to be kept for readers that come after its life.
    SaveEvents(Vec<feed::Event>),
    /// A reader wants events of earlier lives.
    ReadEvents(u64, feed::EventQuery),
}

/// From a store to its machine's registry.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub enum StoreToRegistry {
    /// How a call went.
    Response(u64, StoreResponse),
    /// Events that were kept; none if the place after which they were wanted is not known here.
    SavedEvents(u64, Option<feed::EventPage>),
    /// Chosen entries: all of them, or those that are new. `fresh` if a quorum was heard lately and none held more.
    Items {
        /// All that there are.
        complete: bool,
        /// The entries.
        entries: Vec<NamedEntry>,
    },
    /// Whether this copy is as new as a quorum's.
    UpToDate(bool),
    /// The seats.
    Members(MemberList),
}
