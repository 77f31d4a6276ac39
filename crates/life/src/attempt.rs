//! The life of an attempt, from the decision to certainty about whether it ran.

use crate::connection::Progress;
use crate::{Illegal, Machine, Named};
use doorcourse::Outcome;

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// It was decided; it has no connection.
    Decided,
    /// A new connection is coming up for it.
    Dialling,
    /// It has a connection, and nothing of it is written: the last moment to withdraw it.
    Placed {
        /// The connection was kept from an earlier exchange.
        kept: bool,
    },
    /// Its exchange is under way. How far is known to its connection.
    Exchanging {
        /// The connection was kept.
        kept: bool,
    },
    /// It ended.
    Over(Outcome),
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A kept connection is taken for it.
    Kept,
    /// A new connection is dialled.
    Dial,
    /// It came up.
    Connected,
    /// It did not.
    NotConnected,
    /// The backend may be sent nothing new, or there is no room for a connection.
    Withdrawn,
    /// Its exchange begins.
    Begin,
    /// A whole answer came, of this meaning.
    Answered(Outcome),
    /// The exchange ended without one.
    Broke(Progress),
    /// Its time is up.
    TimedOut,
    /// It was called off.
    CalledOff,
}

/// Whether an attempt ran, as far as this gateway can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Certainty {
    /// Surely not.
    Never,
    /// In doubt.
    Perhaps,
    /// It did.
    Ran,
}

impl Attempt {
    /// How it ended, once it has.
    pub const fn outcome(&self) -> Option<Outcome> {
        if let Self::Over(outcome) = self { Some(*outcome) } else { None }
    }

    /// What is certain of it now.
    pub const fn certainty(&self) -> Certainty {
        match self {
            Self::Decided | Self::Dialling | Self::Placed { .. } => Certainty::Never,
            Self::Over(outcome) if outcome.never_ran() => Certainty::Never,
            Self::Over(Outcome::Served) => Certainty::Ran,
            Self::Exchanging { .. } | Self::Over(_) => Certainty::Perhaps,
        }
    }
}

impl Named for Attempt {
    fn name(&self) -> &'static str {
        match self {
            Self::Decided => "decided",
            Self::Dialling => "dialling",
            Self::Placed { kept: false } => "placed on a new connection",
            Self::Placed { kept: true } => "placed on a kept connection",
            Self::Exchanging { kept: false } => "exchanging on a new connection",
            Self::Exchanging { kept: true } => "exchanging on a kept connection",
            Self::Over(_) => "over",
        }
    }
}

impl Machine for Attempt {
    const NAME: &'static str = "attempt";
    type Event = Event;

    fn step(self, event: Event) -> Result<Self, Illegal> {
        let illegal = Err(self.illegal(event));
        Ok(match (self, event) {
            (Self::Over(_), _) => return illegal,
            // Nothing of it is written: it is sure never to run.
            (Self::Decided | Self::Placed { .. }, Event::TimedOut | Event::CalledOff)
            | (Self::Dialling, Event::CalledOff) => Self::Over(Outcome::NeverSent),
            (Self::Dialling, Event::TimedOut) => Self::Over(Outcome::ConnectFailed),
            (Self::Exchanging { .. }, Event::TimedOut) => Self::Over(Outcome::TimedOut),
            (Self::Exchanging { .. }, Event::CalledOff) => Self::Over(Outcome::Cancelled),
            (Self::Decided, Event::Kept) => Self::Placed { kept: true },
            (Self::Decided, Event::Dial) => Self::Dialling,
            (Self::Dialling, Event::Connected) => Self::Placed { kept: false },
            (Self::Dialling, Event::NotConnected) => Self::Over(Outcome::ConnectFailed),
            (Self::Decided | Self::Placed { .. }, Event::Withdrawn) => Self::Over(Outcome::NeverSent),
            (Self::Placed { kept }, Event::Begin) => Self::Exchanging { kept },
            (Self::Exchanging { .. }, Event::Answered(outcome)) => Self::Over(outcome),
            // A kept connection that its backend closed just now: nothing was written, so this is no second send,
            // and the backend is not to blame.
            (Self::Exchanging { kept: true }, Event::Broke(Progress::Unsent)) => Self::Decided,
            (Self::Exchanging { .. }, Event::Broke(Progress::Unsent)) => Self::Over(Outcome::ConnectFailed),
            // A backend may begin to run a request before its last byte has come.
            (Self::Exchanging { .. }, Event::Broke(Progress::Partly | Progress::Whole)) => {
                Self::Over(Outcome::ConnectionLost)
            }
            // The backend lives and may have run it. Guards the fleet against being left alone for answers that come
            // spoilt from all alike: an error says no more than that.
            (Self::Exchanging { .. }, Event::Broke(Progress::Spoilt)) => Self::Over(Outcome::Error),
            _ => return illegal,
        })
    }
}

impl Named for Event {
    fn name(&self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Dial => "dial",
            Self::Connected => "connected",
            Self::NotConnected => "not connected",
            Self::Withdrawn => "withdrawn",
            Self::Begin => "begin",
            Self::Answered(_) => "answered",
            Self::Broke(Progress::Unsent) => "broke, nothing written",
            Self::Broke(Progress::Partly) => "broke, part written",
            Self::Broke(Progress::Whole) => "broke, all written",
            Self::Broke(Progress::Spoilt) => "broke, answer begun",
            Self::TimedOut => "timed out",
            Self::CalledOff => "called off",
        }
    }
}
