//! Events, as registries tell them to each other and have them kept by their machines' stores.

use bitcode::{Decode, Encode};

/// What can happen. The list is closed; names and meanings stay, new ones may be added with a higher [`VERSION`].
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventKind {
    /// An item has a new version in force.
    ItemChosen,
    /// An item was dropped.
    ItemDropped,
    /// A zone is to get nothing.
    ZoneEvacuated,
    /// A zone was taken back.
    ZoneBack,
    /// A proxy has a session.
    MemberJoined,
    /// A proxy's session ended by its line or its word.
    MemberLeft,
    /// A proxy's session ended in silence.
    MemberSilent,
    /// A proxy holds other items than its registry, also after they were on their way to it.
    MemberLagging,
    /// A proxy that lagged holds what its registry holds.
    MemberCurrent,
    /// This registry holds a duty.
    DutyTaken,
    /// This registry no longer holds a duty.
    DutyLost,
    /// A backend is on the list that was not.
    BackendListed,
    /// A backend is to get nothing new.
    BackendDraining,
    /// A backend is no longer on the list.
    BackendGone,
    /// The list of seats has changed.
    SeatsChanged,
    /// The store's copy is as new as a quorum's again.
    CopyFresh,
    /// The store hears no quorum that holds what it holds.
    CopyDoubtful,
    /// A node is drained by a work order: new work goes elsewhere.
    NodeDraining,
    /// Nothing is at work at a node that is drained.
    NodeOut,
    /// A node is back and was out for its time.
    NodeServiced,
    /// A node is back and was not out for its time.
    NodeUnserviced,
    /// A failure order has met requests at a proxy.
    FailureMet,
    /// An operator's call was refused.
    CallRefused,
    /// All of a tenant's units of a window were granted, and more were asked for.
    QuotaSpent,
    /// A tenant whose quota was spent gets units again.
    QuotaBack,
}

/// The version of the list of kinds.
pub const VERSION: u32 = 3;

impl EventKind {
    /// All kinds.
    pub const ALL: [Self; 25] = [
        Self::ItemChosen,
        Self::ItemDropped,
        Self::ZoneEvacuated,
        Self::ZoneBack,
        Self::MemberJoined,
        Self::MemberLeft,
        Self::MemberSilent,
        Self::MemberLagging,
        Self::MemberCurrent,
        Self::DutyTaken,
        Self::DutyLost,
        Self::BackendListed,
        Self::BackendDraining,
        Self::BackendGone,
        Self::SeatsChanged,
        Self::CopyFresh,
        Self::CopyDoubtful,
        Self::NodeDraining,
        Self::NodeOut,
        Self::NodeServiced,
        Self::NodeUnserviced,
        Self::FailureMet,
        Self::CallRefused,
        Self::QuotaSpent,
        Self::QuotaBack,
    ];

    /// Its name outside.
    pub const fn name(self) -> &'static str {
        match self {
            Self::ItemChosen => "item-chosen",
            Self::ItemDropped => "item-dropped",
            Self::ZoneEvacuated => "zone-evacuated",
            Self::ZoneBack => "zone-back",
            Self::MemberJoined => "member-joined",
            Self::MemberLeft => "member-left",
            Self::MemberSilent => "member-silent",
            Self::MemberLagging => "member-lagging",
            Self::MemberCurrent => "member-current",
            Self::DutyTaken => "duty-taken",
            Self::DutyLost => "duty-lost",
            Self::BackendListed => "backend-listed",
            Self::BackendDraining => "backend-draining",
            Self::BackendGone => "backend-gone",
            Self::SeatsChanged => "seats-changed",
            Self::CopyFresh => "copy-fresh",
            Self::CopyDoubtful => "copy-doubtful",
            Self::NodeDraining => "node-draining",
            Self::NodeOut => "node-out",
            Self::NodeServiced => "node-serviced",
            Self::NodeUnserviced => "node-unserviced",
            Self::FailureMet => "failure-met",
            Self::CallRefused => "call-refused",
            Self::QuotaSpent => "quota-spent",
            Self::QuotaBack => "quota-back",
        }
    }
}

/// A place in the feed of one registry: a life of it, and the last event of that life that was told.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FeedPosition {
    /// The registry's life; 0 is before all that is kept.
    pub incarnation: u64,
    /// Counts up within it, from 1.
    pub number: u64,
}

/// One event.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Event {
    /// Its place in the feed of the registry that saw it.
    pub position: FeedPosition,
    /// The same wherever it was seen.
    pub id: String,
    /// What happened.
    pub kind: EventKind,
    /// To what: an item, a proxy, a backend, a duty, a zone. Events of one of these are told in their order.
    pub subject: String,
    /// Where, and what led to it.
    pub cause: String,
    /// When the registry saw it, in ms since its start.
    pub at: f64,
}

/// What a reader wants of one registry.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Default)]
pub struct EventQuery {
    /// Only what comes after; none for all that this life has in memory.
    pub after: Option<FeedPosition>,
    /// Only this kind.
    pub kind: Option<EventKind>,
    /// Only what begins so.
    pub subject_prefix: String,
    /// No more than this; 0 for as many as an answer has at most.
    pub limit: usize,
}

impl EventQuery {
    /// Whether an event is one of those.
    pub fn matches(&self, event: &Event) -> bool {
        self.kind.is_none_or(|kind| kind == event.kind) && event.subject.starts_with(&self.subject_prefix)
    }
}

/// What one registry has of it.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Default)]
pub struct EventPage {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// How far this goes, for the next question.
    pub position: FeedPosition,
    /// Events may have been missed since the place that was asked for.
    pub missed: bool,
    /// The registry's clock, by which events of this life are so old; none where they are of an earlier one.
    pub now: Option<f64>,
}
