//! The event feed: what the mesh did, for other tools. Each registry keeps the events that it saw, newest last, so many at most.
//!
//! - An event's `id` is made of what happened, not of who saw it: two registries that saw one change tell one event, and a
//!   reader that changes registries knows repeats by it. Delivery is at least once.
//! - A cursor is of one life of one registry. One of another life, or older than what is kept, begins at the oldest that is
//!   there and says that events may be missed.
//! - Readers ask; nobody waits for them. A slow one costs nothing and is told what it missed.

use crate::Millis;
use std::collections::VecDeque;

/// Events that are kept.
pub const KEPT: usize = 4096;
/// Events in one answer at most.
pub const MOST: usize = 500;

/// What can happen. The list is closed; names and meanings stay, new ones may be added with a higher [`VERSION`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
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
}

/// The version of the list of kinds.
pub const VERSION: u32 = 1;

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 15] = [
        Self::ItemChosen,
        Self::ItemDropped,
        Self::ZoneEvacuated,
        Self::ZoneBack,
        Self::MemberJoined,
        Self::MemberLeft,
        Self::MemberSilent,
        Self::DutyTaken,
        Self::DutyLost,
        Self::BackendListed,
        Self::BackendDraining,
        Self::BackendGone,
        Self::SeatsChanged,
        Self::CopyFresh,
        Self::CopyDoubtful,
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
            Self::DutyTaken => "duty-taken",
            Self::DutyLost => "duty-lost",
            Self::BackendListed => "backend-listed",
            Self::BackendDraining => "backend-draining",
            Self::BackendGone => "backend-gone",
            Self::SeatsChanged => "seats-changed",
            Self::CopyFresh => "copy-fresh",
            Self::CopyDoubtful => "copy-doubtful",
        }
    }
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Its place in this registry's feed.
    pub number: u64,
    /// The same wherever it was seen.
    pub id: String,
    /// What happened.
    pub kind: Kind,
    /// To what: an item, a proxy, a backend, a duty, a zone.
    pub what: String,
    /// Where, and what led to it.
    pub cause: String,
    /// When this registry saw it, in ms since its start.
    pub at: Millis,
}

/// What a reader wants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wanted {
    /// The cursor of the last answer; none for all that is kept.
    pub after: Option<(u64, u64)>,
    /// Only this kind.
    pub kind: Option<Kind>,
    /// Only what begins so.
    pub what: String,
    /// No more than this.
    pub most: usize,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// For the next question.
    pub cursor: (u64, u64),
    /// Events may have been missed since the cursor that was given.
    pub missed: bool,
}

/// The feed of one registry's life.
#[derive(Clone, Debug)]
pub struct Feed {
    life: u64,
    next: u64,
    events: VecDeque<Event>,
}

impl Feed {
    /// An empty feed of a life.
    pub fn new(life: u64) -> Self {
        Self { life, next: 1, events: VecDeque::new() }
    }

    /// Something happened. `mark` tells it from the same thing at another time, wherever it was seen.
    pub fn note(&mut self, at: Millis, kind: Kind, what: &str, mark: u64, cause: String) {
        let id = format!("{}/{what}/{mark:x}", kind.name());
        self.events.push_back(Event { number: self.next, id, kind, what: what.to_owned(), cause, at });
        self.next += 1;
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// Events after a cursor.
    pub fn read(&self, wanted: &Wanted) -> Told {
        let oldest = self.events.front().map_or(self.next, |event| event.number);
        let (from, missed) = match wanted.after {
            None => (oldest, oldest > 1),
            // The future of this life has not been told by it: somebody else's cursor.
            Some((life, number)) if life == self.life && number < self.next => {
                (number + 1, number + 1 < oldest)
            }
            Some(_) => (oldest, true),
        };
        let most = if wanted.most == 0 { MOST } else { wanted.most.min(MOST) };
        let (mut events, mut last) = (Vec::new(), from.saturating_sub(1));
        for event in self.events.iter().filter(|event| event.number >= from) {
            let kind = wanted.kind.is_none_or(|kind| kind == event.kind);
            if kind && event.what.starts_with(&wanted.what) {
                if events.len() == most {
                    break;
                }
                events.push(event.clone());
            }
            last = event.number;
        }
        Told { events, cursor: (self.life, last), missed }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn feed(events: u64) -> Feed {
        let mut feed = Feed::new(7);
        for n in 0..events {
            let kind = if n % 2 == 0 { Kind::ItemChosen } else { Kind::MemberJoined };
            feed.note(n as f64, kind, &format!("r:{n}"), n, String::new());
        }
        feed
    }

    #[test]
    fn a_reader_gets_each_event_once_in_order_whatever_its_pace() {
        for most in [1, 3, 100] {
            let (feed, mut after, mut seen) = (feed(50), None, Vec::new());
            loop {
                let told = feed.read(&Wanted { after, most, ..Wanted::default() });
                assert!(!told.missed);
                if told.events.is_empty() {
                    break;
                }
                seen.extend(told.events.iter().map(|event| event.number));
                after = Some(told.cursor);
            }
            assert_eq!(seen, (1..=50).collect::<Vec<_>>());
        }
    }

    #[test]
    fn who_was_too_slow_or_comes_from_elsewhere_is_told_so() {
        let feed = feed(KEPT as u64 + 10);
        let read = |after| feed.read(&Wanted { after, ..Wanted::default() });
        assert!(read(Some((7, 2))).missed && read(None).missed);
        assert!(!read(Some((7, 100))).missed);
        assert!(read(Some((8, 100))).missed, "another life");
        let future = read(Some((7, 1 << 40)));
        assert!(future.missed && future.events.len() == MOST, "a cursor from the future begins anew");
    }

    #[test]
    fn filters_pass_over_the_rest_and_the_cursor_goes_on() {
        let feed = feed(20);
        let told = feed.read(&Wanted { kind: Some(Kind::MemberJoined), ..Wanted::default() });
        assert_eq!((told.events.len(), told.cursor), (10, (7, 20)));
        let told = feed.read(&Wanted { what: "r:1".into(), ..Wanted::default() });
        assert_eq!(told.events.len(), 11);
        let ids: std::collections::BTreeSet<_> = told.events.iter().map(|event| event.id.clone()).collect();
        assert_eq!(ids.len(), 11);
    }
}
