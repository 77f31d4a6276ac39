//! Deliberate faults, each a line in how a store is hosted or in what one says. Every one must be caught.

use crate::scenarios::Scenario;
use fennelscale_messages::Host;
use fennelscale_messages::store::{CallId, SnapshotChunk, StoreMessage, StoreRequest};
use fennelscale_replication::{AcceptorState, DiskWrites, MEMBERS_KEY, PersistedState};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Words go out, nothing is brought to the disk.
    NoSync,
    /// Promises are not brought to the disk, items are.
    NoVows,
    /// What is taken and not yet chosen is not brought to the disk.
    NoPending,
    /// A machine that lost its disk takes itself for one that did not.
    AmnesiacVotes,
    /// What one other seat tells counts as told by all.
    LearnsFromOne,
    /// A promise tells nothing of what was taken.
    PromiseWithoutTaken,
    /// A promise tells nothing of what is chosen.
    PromiseWithoutChosen,
    /// A refusal counts as a promise.
    RefusedIsPromise,
    /// One seat's word that it took a write counts for all.
    AcceptedCountsForAll,
    /// A refusal counts as a word that the write was taken.
    RefusedIsAccepted,
    /// A write is said to be chosen when it is sent.
    ChosenEarly,
    /// Writes come in part.
    HalfAWrite,
    /// The first write of a turn comes without what it takes over.
    EmptyBase,
    /// A seat joins a turn although it lacks what was chosen before it.
    JoinsBehind,
    /// A reader's own copy is as new as any.
    ReadsOwnCopy,
    /// An evacuation comes without the version that was known when it was ordered.
    BlindEvacuation,
    /// A store starts with a promise one lower than it gave.
    ForgetsLastPromise,
    /// After a start, the seats are those that one machine sees.
    SeatsByWhoIsAlive,
    /// A part of a snapshot comes without its entries, and counts as the whole.
    EmptyChunk,
    /// A learner is told nothing of what is chosen.
    LessonWithoutChosen,
    /// An answer to another call is taken for the one to this.
    AnswersMixedUp,
}

/// All of them.
pub const ALL: [Mutant; 21] = [
    Mutant::NoSync,
    Mutant::NoVows,
    Mutant::NoPending,
    Mutant::AmnesiacVotes,
    Mutant::LearnsFromOne,
    Mutant::PromiseWithoutTaken,
    Mutant::PromiseWithoutChosen,
    Mutant::RefusedIsPromise,
    Mutant::AcceptedCountsForAll,
    Mutant::RefusedIsAccepted,
    Mutant::ChosenEarly,
    Mutant::HalfAWrite,
    Mutant::EmptyBase,
    Mutant::JoinsBehind,
    Mutant::ReadsOwnCopy,
    Mutant::BlindEvacuation,
    Mutant::ForgetsLastPromise,
    Mutant::SeatsByWhoIsAlive,
    Mutant::EmptyChunk,
    Mutant::LessonWithoutChosen,
    Mutant::AnswersMixedUp,
];

impl Mutant {
    /// The world in which the fault shows, and for one that orders of events are explored of by breadth, so many states; none for
    /// ways by chance.
    pub fn shown_in(self) -> (Scenario, Option<usize>) {
        match self {
            Self::NoSync | Self::NoPending | Self::ForgetsLastPromise | Self::SeatsByWhoIsAlive => {
                (Scenario::Fence, None)
            }
            Self::AmnesiacVotes | Self::LearnsFromOne | Self::LessonWithoutChosen => {
                (Scenario::Amnesia, None)
            }
            Self::EmptyChunk => (Scenario::Reading, None),
            Self::AnswersMixedUp => (Scenario::Everything, None),
            Self::RefusedIsPromise => (Scenario::Turns, None),
            Self::NoVows | Self::PromiseWithoutTaken | Self::JoinsBehind => (Scenario::Everything, None),
            Self::AcceptedCountsForAll | Self::ChosenEarly => (Scenario::Forgetting, None),
            Self::ReadsOwnCopy => (Scenario::Reading, None),
            Self::PromiseWithoutChosen => (Scenario::Reader, Some(60_000)),
            Self::RefusedIsAccepted | Self::EmptyBase => (Scenario::Race, Some(60_000)),
            Self::HalfAWrite => (Scenario::Together, Some(60_000)),
            Self::BlindEvacuation => (Scenario::Overtaken, Some(60_000)),
        }
    }

    /// What of a step's writes comes to the disk.
    pub(crate) fn writes(self, mut writes: DiskWrites) -> DiskWrites {
        match self {
            Self::NoSync => DiskWrites::default(),
            Self::NoVows => {
                DiskWrites { acceptor: writes.acceptor.map(|_| AcceptorState::default()), ..writes }
            }
            Self::NoPending => {
                let items = std::mem::take(&mut writes.items).into_iter().map(|(name, mut item)| {
                    item.pending = None;
                    (name, item)
                });
                DiskWrites { items: items.collect(), ..writes }
            }
            _ => writes,
        }
    }

    /// What a disk holds at a start.
    pub(crate) fn memory(self, mut memory: PersistedState) -> PersistedState {
        match self {
            Self::ForgetsLastPromise => {
                if let Some(acceptor) = &mut memory.acceptor {
                    acceptor.promised = acceptor.joined;
                }
            }
            Self::SeatsByWhoIsAlive => {
                let seats = memory.items.get_mut(MEMBERS_KEY).and_then(|item| item.chosen.as_mut());
                if let Some(body) = seats.and_then(|entry| entry.body.as_mut()) {
                    let lines: Vec<&str> = body.lines().collect();
                    *body = lines[..lines.len().min(1)].join("\n");
                }
            }
            _ => {}
        }
        memory
    }

    /// What a disk that was lost holds.
    pub(crate) fn wiped(self, memory: &PersistedState) -> PersistedState {
        if self != Self::AmnesiacVotes {
            return PersistedState::default();
        }
        let seats = memory.items.get(MEMBERS_KEY).map(|item| (MEMBERS_KEY.to_owned(), item.clone()));
        PersistedState {
            acceptor: Some(AcceptorState::default()),
            items: seats.into_iter().collect(),
            ..PersistedState::default()
        }
    }

    /// What becomes of a word that arrives, and from whom it seems to come.
    pub(crate) fn word(self, from: Host, all: &[Host], word: StoreMessage) -> Vec<(Host, StoreMessage)> {
        let by_all = |word: &StoreMessage| all.iter().map(|host| (*host, word.clone())).collect();
        let word = match (self, word) {
            (Self::LearnsFromOne, word @ StoreMessage::RecoveryState { .. })
            | (Self::AcceptedCountsForAll, word @ StoreMessage::Accepted(_)) => return by_all(&word),
            (Self::PromiseWithoutTaken, StoreMessage::Promise { term: epoch, joined, chosen, more, .. }) => {
                StoreMessage::Promise { term: epoch, joined, chosen, more, pending: Vec::new() }
            }
            (
                Self::PromiseWithoutChosen,
                StoreMessage::Promise { term: epoch, joined, more, pending, .. },
            ) => StoreMessage::Promise { term: epoch, joined, chosen: Vec::new(), more, pending },
            (Self::ChosenEarly, word @ StoreMessage::Accept { stamp, .. }) => {
                return vec![(from, word), (from, StoreMessage::Chosen(stamp))];
            }
            (Self::HalfAWrite, StoreMessage::Accept { stamp, mut entries, chosen }) => {
                entries.truncate(entries.len().div_ceil(2));
                StoreMessage::Accept { stamp, entries, chosen }
            }
            (Self::EmptyBase, StoreMessage::BeginTerm { term: epoch, digest, missing: lacked, .. }) => {
                StoreMessage::BeginTerm { term: epoch, entries: Vec::new(), digest, missing: lacked }
            }
            (Self::JoinsBehind, StoreMessage::BeginTerm { term: epoch, entries, digest, .. }) => {
                StoreMessage::BeginTerm { term: epoch, entries, digest, missing: Some(Vec::new()) }
            }
            (Self::EmptyChunk, StoreMessage::Chunk(chunk)) => {
                StoreMessage::Chunk(SnapshotChunk { entries: Vec::new(), next: None, ..chunk })
            }
            (
                Self::LessonWithoutChosen,
                StoreMessage::RecoveryState { promised, joined, more, pending, .. },
            ) => StoreMessage::RecoveryState { promised, joined, chosen: Vec::new(), more, pending },
            (Self::AnswersMixedUp, StoreMessage::ForwardResponse(id, told)) => {
                let other = |number| StoreMessage::ForwardResponse(CallId { number, ..id }, told.clone());
                return (1..=id.number).map(|number| (from, other(number))).collect();
            }
            (Self::BlindEvacuation, StoreMessage::Forward(id, StoreRequest::Evacuate(zone, on, _))) => {
                StoreMessage::Forward(id, StoreRequest::Evacuate(zone, on, None))
            }
            (_, word) => word,
        };
        vec![(from, word)]
    }
}
