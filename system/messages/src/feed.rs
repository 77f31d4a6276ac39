//! Events as registries exchange them and have them stored by the config stores of their hosts.

use bitcode::{Decode, Encode};

/// The kinds of events. Names and meanings are stable; adding a kind requires a higher [`VERSION`].
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventKind {
    /// A new revision of an item is in force.
    ItemChosen,
    /// An item was removed.
    ItemDropped,
    /// A zone is evacuated.
    ZoneEvacuated,
    /// The evacuation of a zone ended.
    ZoneBack,
    /// A proxy opened a session.
    MemberJoined,
    /// A proxy's session ended: it closed the session or its connection was lost.
    MemberLeft,
    /// A proxy's session timed out.
    MemberSilent,
    /// A proxy's items differ from those of its registry even after the time that updates take to arrive.
    MemberLagging,
    /// A lagging proxy holds the items of its registry again.
    MemberCurrent,
    /// This registry acquired a duty.
    DutyTaken,
    /// This registry lost a duty.
    DutyLost,
    /// A backend was added to the list.
    BackendListed,
    /// A backend is draining.
    BackendDraining,
    /// A backend was removed from the list.
    BackendGone,
    /// The list of voting members changed.
    SeatsChanged,
    /// The store's copy is up to date with a quorum again.
    CopyFresh,
    /// The store has no contact with a quorum that holds what it holds.
    CopyDoubtful,
    /// A work order drains a node: new work goes elsewhere.
    NodeDraining,
    /// A drained node has no work left.
    NodeOut,
    /// A node is back after having been out for the required time.
    NodeServiced,
    /// A node is back without having been out for the required time.
    NodeUnserviced,
    /// A failure order affected requests at a proxy.
    FailureMet,
    /// An operator's call was rejected.
    CallRefused,
    /// All units of a tenant for a window are granted, and more were requested.
    QuotaSpent,
    /// A tenant whose quota was exhausted gets units again.
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

    /// The stable name of the kind.
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

/// A position in the feed of one registry: an incarnation, and the last event of it that was delivered.
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FeedPosition {
    /// The registry's incarnation; 0 is before all stored events.
    pub incarnation: u64,
    /// The number of the event within the incarnation, from 1.
    pub number: u64,
}

/// An event.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct Event {
    /// Its position in the feed of the registry that observed it.
    pub position: FeedPosition,
    /// The same at every registry that observed it.
    pub id: String,
    /// Its kind.
    pub kind: EventKind,
    /// The item, proxy, backend, duty or zone it is about. Events of one subject are delivered in order.
    pub subject: String,
    /// Where it happened and what caused it.
    pub cause: String,
    /// When the registry observed it, in ms since its start.
    pub at: f64,
}

/// A query for the events of one registry.
#[derive(Clone, Debug, Decode, Encode, PartialEq, Default)]
pub struct EventQuery {
    /// Only events after this position; none for all events of this incarnation in memory.
    pub after: Option<FeedPosition>,
    /// Only events of this kind.
    pub kind: Option<EventKind>,
    /// Only events whose subject has this prefix.
    pub subject_prefix: String,
    /// The most events to return; 0 for the limit of a page.
    pub limit: usize,
}

impl EventQuery {
    /// Whether an event matches the kind and the subject prefix.
    pub fn matches(&self, event: &Event) -> bool {
        self.kind.is_none_or(|kind| kind == event.kind) && event.subject.starts_with(&self.subject_prefix)
    }
}

/// The response of one registry to an [`EventQuery`].
#[derive(Clone, Debug, Decode, Encode, PartialEq, Default)]
pub struct EventPage {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// The position to continue after.
    pub position: FeedPosition,
    /// Events may have been missed since the requested position.
    pub missed: bool,
    /// The registry's clock, which gives the age of events of this incarnation; none for earlier
    /// incarnations.
    pub now: Option<f64>,
}
