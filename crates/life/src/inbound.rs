//! The life of a client's connection as its requests see it: from a request's first byte to its final answer, and the
//! ids of the requests that are open.
//!
//! One request is open on a connection at most, and a connection with an open request is not closed for being slow:
//! [`Event::TimeUp`] is illegal there.

use crate::{Illegal, Machine, Named};
use std::collections::HashSet;
use std::hash::Hash;

/// Where a client's connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Inbound {
    /// Nothing of a request has come: at the start, or since the last answer.
    Quiet {
        /// An answer was given on it.
        answered: bool,
    },
    /// A request has begun and is not whole.
    Reading {
        /// An answer was given on it before.
        answered: bool,
    },
    /// A request was taken whole: its final answer is owed.
    Open,
    /// It is closed.
    Closed,
}

/// What happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Bytes came.
    Bytes,
    /// A request is whole, fits, and is taken.
    Taken,
    /// What came was answered without being taken: it cannot be, or asks for no more than a sign of life.
    TurnedAway,
    /// The final answer of the open request is given.
    Answered,
    /// The time in which a request must have been taken is over.
    TimeUp,
    /// The connection closed, from either side.
    Closed,
}

impl Inbound {
    /// A connection that was just accepted.
    pub const fn accepted() -> Self {
        Self::Quiet { answered: false }
    }

    /// Whether an answer was given on it and none is owed.
    pub const fn was_answered(&self) -> bool {
        matches!(self, Self::Quiet { answered: true } | Self::Reading { answered: true })
    }
}

impl Named for Inbound {
    fn name(&self) -> &'static str {
        match self {
            Self::Quiet { answered: false } => "new",
            Self::Quiet { answered: true } => "idle",
            Self::Reading { answered: false } => "reading the first",
            Self::Reading { answered: true } => "reading another",
            Self::Open => "open",
            Self::Closed => "closed",
        }
    }
}

impl Machine for Inbound {
    const NAME: &'static str = "inbound";
    type Event = Event;

    fn step(self, event: Event) -> Result<Self, Illegal> {
        Ok(match (self, event) {
            (Self::Quiet { answered } | Self::Reading { answered }, Event::Bytes) => {
                Self::Reading { answered }
            }
            // The first bytes of what comes next, or the rest of what was turned away.
            (Self::Open, Event::Bytes) => Self::Open,
            // The whole of it may have come together with what was before it.
            (Self::Quiet { .. } | Self::Reading { .. }, Event::Taken) => Self::Open,
            (Self::Quiet { .. } | Self::Reading { .. }, Event::TurnedAway) => Self::Quiet { answered: true },
            (Self::Open, Event::Answered) => Self::Quiet { answered: true },
            (Self::Quiet { .. } | Self::Reading { .. }, Event::TimeUp) => Self::Closed,
            (_, Event::Closed) => Self::Closed,
            _ => return Err(self.illegal(event)),
        })
    }
}

impl Named for Event {
    fn name(&self) -> &'static str {
        match self {
            Self::Bytes => "bytes",
            Self::Taken => "taken",
            Self::TurnedAway => "turned away",
            Self::Answered => "answered",
            Self::TimeUp => "time up",
            Self::Closed => "closed",
        }
    }
}

/// The ids that clients gave to requests that are open.
#[derive(Clone, Debug)]
pub struct OpenIds<K>(HashSet<K>);

impl<K> Default for OpenIds<K> {
    fn default() -> Self {
        Self(HashSet::new())
    }
}

impl<K: Eq + Hash> OpenIds<K> {
    /// Notes that a request is open under an id; false, and nothing changes, if one is already.
    #[must_use]
    pub fn enter(&mut self, id: K) -> bool {
        self.0.insert(id)
    }

    /// The request has its final answer, or its client has left.
    pub fn leave(&mut self, id: &K) {
        self.0.remove(id);
    }
}
