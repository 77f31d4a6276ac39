//! Deliberate faults of a replica's host or messages; the properties must catch each of them.

use crate::scenarios::Scenario;
use fennelscale_messages::Host;
use fennelscale_messages::store::{CallId, SnapshotChunk, StoreMessage, StoreRequest};
use fennelscale_replication::{AcceptorState, DiskWrites, MEMBERS_KEY, PersistedState};

/// A deliberate fault.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Messages are sent and nothing is persisted.
    NothingPersisted,
    /// Entries are persisted and promises are not.
    PromisesNotPersisted,
    /// Pending entries are not persisted.
    PendingNotPersisted,
    /// A machine that lost its disk votes as if it had not.
    VotesAfterDiskLoss,
    /// The recovery state of one other member counts as that of all.
    RecoversFromOneMember,
    /// A promise omits the pending entries.
    PromiseWithoutPending,
    /// A promise omits the chosen entries.
    PromiseWithoutChosen,
    /// A rejection counts as a promise.
    RejectionCountsAsPromise,
    /// One member's acceptance counts as that of all.
    AcceptedCountsForAll,
    /// A rejection counts as an acceptance.
    RejectionCountsAsAccepted,
    /// A write is reported as chosen when it is sent.
    ChosenEarly,
    /// Writes arrive in part.
    PartialWrite,
    /// The first write of a term omits the entries taken over from earlier terms.
    EmptyFirstWrite,
    /// A member joins a term although it lacks entries chosen before it.
    JoinsWhileBehind,
    /// A reader takes its own copy for up to date.
    ReadsLocalCopy,
    /// An evacuation omits the version known when it was ordered.
    EvacuationWithoutVersion,
    /// A replica restarts with an older promise than it gave.
    RestoresOlderPromise,
    /// After a restart the member list is what one machine sees.
    MembersFromLiveMachines,
    /// A snapshot chunk arrives without its entries and counts as complete.
    EmptyChunk,
    /// A recovering member receives no chosen entries.
    RecoveryWithoutChosen,
    /// The response to one call is taken for the response to another.
    ResponsesMixedUp,
}

/// All mutants.
pub const ALL: [Mutant; 21] = [
    Mutant::NothingPersisted,
    Mutant::PromisesNotPersisted,
    Mutant::PendingNotPersisted,
    Mutant::VotesAfterDiskLoss,
    Mutant::RecoversFromOneMember,
    Mutant::PromiseWithoutPending,
    Mutant::PromiseWithoutChosen,
    Mutant::RejectionCountsAsPromise,
    Mutant::AcceptedCountsForAll,
    Mutant::RejectionCountsAsAccepted,
    Mutant::ChosenEarly,
    Mutant::PartialWrite,
    Mutant::EmptyFirstWrite,
    Mutant::JoinsWhileBehind,
    Mutant::ReadsLocalCopy,
    Mutant::EvacuationWithoutVersion,
    Mutant::RestoresOlderPromise,
    Mutant::MembersFromLiveMachines,
    Mutant::EmptyChunk,
    Mutant::RecoveryWithoutChosen,
    Mutant::ResponsesMixedUp,
];

impl std::fmt::Debug for Mutant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl Mutant {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::NothingPersisted => "NoSync",
            Self::PromisesNotPersisted => "NoVows",
            Self::PendingNotPersisted => "NoPending",
            Self::VotesAfterDiskLoss => "AmnesiacVotes",
            Self::RecoversFromOneMember => "LearnsFromOne",
            Self::PromiseWithoutPending => "PromiseWithoutTaken",
            Self::PromiseWithoutChosen => "PromiseWithoutChosen",
            Self::RejectionCountsAsPromise => "RefusedIsPromise",
            Self::AcceptedCountsForAll => "AcceptedCountsForAll",
            Self::RejectionCountsAsAccepted => "RefusedIsAccepted",
            Self::ChosenEarly => "ChosenEarly",
            Self::PartialWrite => "HalfAWrite",
            Self::EmptyFirstWrite => "EmptyBase",
            Self::JoinsWhileBehind => "JoinsBehind",
            Self::ReadsLocalCopy => "ReadsOwnCopy",
            Self::EvacuationWithoutVersion => "BlindEvacuation",
            Self::RestoresOlderPromise => "ForgetsLastPromise",
            Self::MembersFromLiveMachines => "SeatsByWhoIsAlive",
            Self::EmptyChunk => "EmptyChunk",
            Self::RecoveryWithoutChosen => "LessonWithoutChosen",
            Self::ResponsesMixedUp => "AnswersMixedUp",
        }
    }

    /// The scenario in which the fault shows, and the limit of states for a breadth-first exploration; none
    /// for random walks.
    pub fn detected_by(self) -> (Scenario, Option<usize>) {
        match self {
            Self::NothingPersisted
            | Self::PendingNotPersisted
            | Self::RestoresOlderPromise
            | Self::MembersFromLiveMachines => (Scenario::CrashAfterPromise, None),
            Self::VotesAfterDiskLoss | Self::RecoversFromOneMember | Self::RecoveryWithoutChosen => {
                (Scenario::DiskLossAndConflict, None)
            }
            Self::EmptyChunk => (Scenario::ReadAndDisconnect, None),
            Self::ResponsesMixedUp => (Scenario::Everything, None),
            Self::RejectionCountsAsPromise => (Scenario::TermChanges, None),
            Self::PromisesNotPersisted | Self::PromiseWithoutPending | Self::JoinsWhileBehind => {
                (Scenario::Everything, None)
            }
            Self::AcceptedCountsForAll | Self::ChosenEarly => (Scenario::EverythingWithDiskLoss, None),
            Self::ReadsLocalCopy => (Scenario::ReadAndDisconnect, None),
            Self::PromiseWithoutChosen => (Scenario::ChangeAndRead, Some(60_000)),
            Self::RejectionCountsAsAccepted | Self::EmptyFirstWrite => {
                (Scenario::ConflictingChanges, Some(60_000))
            }
            Self::PartialWrite => (Scenario::InvalidTogether, Some(60_000)),
            Self::EvacuationWithoutVersion => (Scenario::OvertakenEvacuation, Some(60_000)),
        }
    }

    /// What of a write reaches the disk.
    pub(crate) fn mutate_writes(self, mut writes: DiskWrites) -> DiskWrites {
        match self {
            Self::NothingPersisted => DiskWrites::default(),
            Self::PromisesNotPersisted => {
                DiskWrites { acceptor: writes.acceptor.map(|_| AcceptorState::default()), ..writes }
            }
            Self::PendingNotPersisted => {
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
    pub(crate) fn mutate_disk_at_start(self, mut persisted: PersistedState) -> PersistedState {
        match self {
            Self::RestoresOlderPromise => {
                if let Some(acceptor) = &mut persisted.acceptor {
                    acceptor.promised = acceptor.joined;
                }
            }
            Self::MembersFromLiveMachines => {
                let members = persisted.items.get_mut(MEMBERS_KEY).and_then(|item| item.chosen.as_mut());
                if let Some(body) = members.and_then(|entry| entry.body.as_mut()) {
                    let lines: Vec<&str> = body.lines().collect();
                    *body = lines[..lines.len().min(1)].join("\n");
                }
            }
            _ => {}
        }
        persisted
    }

    /// What a lost disk holds.
    pub(crate) fn lost_disk(self, persisted: &PersistedState) -> PersistedState {
        if self != Self::VotesAfterDiskLoss {
            return PersistedState::default();
        }
        let members = persisted.items.get(MEMBERS_KEY).map(|item| (MEMBERS_KEY.to_owned(), item.clone()));
        PersistedState {
            acceptor: Some(AcceptorState::default()),
            items: members.into_iter().collect(),
            ..PersistedState::default()
        }
    }

    /// What becomes of a message on arrival, and which members it seems to come from.
    pub(crate) fn mutate_message(
        self, from: Host, all: &[Host], message: StoreMessage,
    ) -> Vec<(Host, StoreMessage)> {
        let from_all = |message: &StoreMessage| all.iter().map(|host| (*host, message.clone())).collect();
        let message = match (self, message) {
            (Self::RecoversFromOneMember, message @ StoreMessage::RecoveryState { .. })
            | (Self::AcceptedCountsForAll, message @ StoreMessage::Accepted(_)) => return from_all(&message),
            (Self::PromiseWithoutPending, StoreMessage::Promise { term, joined, chosen, more, .. }) => {
                StoreMessage::Promise { term, joined, chosen, more, pending: Vec::new() }
            }
            (Self::PromiseWithoutChosen, StoreMessage::Promise { term, joined, more, pending, .. }) => {
                StoreMessage::Promise { term, joined, chosen: Vec::new(), more, pending }
            }
            (Self::ChosenEarly, message @ StoreMessage::Accept { stamp, .. }) => {
                return vec![(from, message), (from, StoreMessage::Chosen(stamp))];
            }
            (Self::PartialWrite, StoreMessage::Accept { stamp, mut entries, chosen }) => {
                entries.truncate(entries.len().div_ceil(2));
                StoreMessage::Accept { stamp, entries, chosen }
            }
            (Self::EmptyFirstWrite, StoreMessage::BeginTerm { term, digest, missing, .. }) => {
                StoreMessage::BeginTerm { term, entries: Vec::new(), digest, missing }
            }
            (Self::JoinsWhileBehind, StoreMessage::BeginTerm { term, entries, digest, .. }) => {
                StoreMessage::BeginTerm { term, entries, digest, missing: Some(Vec::new()) }
            }
            (Self::EmptyChunk, StoreMessage::Chunk(chunk)) => {
                StoreMessage::Chunk(SnapshotChunk { entries: Vec::new(), next: None, ..chunk })
            }
            (
                Self::RecoveryWithoutChosen,
                StoreMessage::RecoveryState { promised, joined, more, pending, .. },
            ) => StoreMessage::RecoveryState { promised, joined, chosen: Vec::new(), more, pending },
            (Self::ResponsesMixedUp, StoreMessage::ForwardResponse(id, response)) => {
                let other = |number| StoreMessage::ForwardResponse(CallId { number, ..id }, response.clone());
                return (1..=id.number).map(|number| (from, other(number))).collect();
            }
            (
                Self::EvacuationWithoutVersion,
                StoreMessage::Forward(id, StoreRequest::Evacuate(zone, on, _)),
            ) => StoreMessage::Forward(id, StoreRequest::Evacuate(zone, on, None)),
            (_, message) => message,
        };
        vec![(from, message)]
    }
}
