//! The life of a connection to a backend, from the dial to the close, and of the exchange that it carries.
//!
//! Only a [`Connection::Free`] one can begin an exchange, and none becomes free but by a whole answer with nothing behind
//! it. A connection on which bytes came that belong to nothing is [`Connection::Poisoned`] for good.

use crate::{Illegal, Machine, Named};

/// How far the request of an exchange has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Written {
    /// Not one byte.
    Nothing,
    /// Not its last byte.
    Part,
    /// Its last byte.
    Whole,
}

/// What has come back during an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Received {
    /// Not one byte.
    Nothing,
    /// Bytes that began before the request's last byte was written. They are an answer to it only if they name it: they
    /// may as well be the late answer to an earlier request.
    Early,
    /// Bytes that began after it.
    Answer,
}

/// Where a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Connection {
    /// It is coming up.
    Dialling,
    /// It can carry an exchange.
    Free,
    /// It carries one.
    Busy {
        /// How far the request is written.
        written: Written,
        /// What has come back.
        received: Received,
    },
    /// The answer is whole; whether more is behind it is not known yet.
    Answered,
    /// The answer is whole and began before the request's last byte was written: of no further use, as its backend may
    /// still be reading the request.
    AnsweredEarly,
    /// Bytes came that belong to nothing: of no further use.
    Poisoned,
    /// The other side has ended its sending, or all of it.
    Ended,
}

/// What happens to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It came up.
    Connected,
    /// An exchange begins on it.
    Begin,
    /// Some bytes of the request were written.
    Wrote,
    /// All that there is to write was written.
    Flushed,
    /// Bytes of an answer came.
    Heard,
    /// The answer is whole.
    Whole,
    /// Nothing is behind the answer.
    Quiet,
    /// The other side ended it.
    Ended,
}

/// How far an exchange got that brought no answer. A backend may begin to run a request at its first byte, so only
/// [`Progress::Unsent`] says that it has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Not one byte of it was written.
    Unsent,
    /// Its last byte was not written, and nothing came back.
    Partly,
    /// It was written whole, and nothing came back.
    Whole,
    /// Something came back, but no answer that can be used, or none that is whole in time.
    Spoilt,
}

impl Connection {
    /// How far the exchange got, if it ends now without an answer.
    pub const fn progress(&self) -> Progress {
        match self {
            Self::Dialling | Self::Free | Self::Ended => Progress::Unsent,
            // Nothing is written behind bytes that came ahead of the first one.
            Self::Busy { written: Written::Nothing, .. } => Progress::Unsent,
            Self::Busy { written: Written::Part, received: Received::Nothing } => Progress::Partly,
            Self::Busy { written: Written::Whole, received: Received::Nothing } => Progress::Whole,
            Self::Busy { .. } | Self::Answered | Self::AnsweredEarly | Self::Poisoned => Progress::Spoilt,
        }
    }

    /// Whether the answer of the exchange, whole or in part, began before the request's last byte was written.
    pub const fn is_answered_early(&self) -> bool {
        matches!(self, Self::Busy { received: Received::Early, .. } | Self::AnsweredEarly)
    }

    /// Whether a request is written in part.
    pub const fn is_part_written(&self) -> bool {
        matches!(self, Self::Busy { written: Written::Part, .. })
    }
}

impl Named for Connection {
    fn name(&self) -> &'static str {
        match self {
            Self::Dialling => "dialling",
            Self::Free => "free",
            Self::Busy { written: Written::Nothing, received: Received::Nothing } => "busy, nothing written",
            Self::Busy { written: Written::Nothing, .. } => "busy, bytes ahead",
            Self::Busy { written: Written::Part, received: Received::Nothing } => "busy, part written",
            Self::Busy { written: Written::Part, .. } => "busy, part written, answer begun",
            Self::Busy { written: Written::Whole, received: Received::Nothing } => "busy, all written",
            Self::Busy { written: Written::Whole, received: Received::Early } => "busy, early answer begun",
            Self::Busy { written: Written::Whole, received: Received::Answer } => "busy, answer begun",
            Self::Answered => "answered",
            Self::AnsweredEarly => "answered early",
            Self::Poisoned => "poisoned",
            Self::Ended => "ended",
        }
    }
}

impl Machine for Connection {
    const NAME: &'static str = "connection";
    type Event = Event;

    fn step(self, event: Event) -> Result<Self, Illegal> {
        let illegal = Err(self.illegal(event));
        Ok(match (self, event) {
            (Self::Dialling, Event::Connected) => Self::Free,
            (Self::Free, Event::Begin) => {
                Self::Busy { written: Written::Nothing, received: Received::Nothing }
            }
            // Bytes for nobody, before or between exchanges.
            (Self::Free | Self::Answered, Event::Heard) => Self::Poisoned,
            (Self::Busy { written: Written::Nothing, received: Received::Nothing }, Event::Wrote) => {
                Self::Busy { written: Written::Part, received: Received::Nothing }
            }
            (Self::Busy { written: Written::Part, .. }, Event::Wrote) => self,
            (Self::Busy { written: Written::Part, received }, Event::Flushed) => {
                Self::Busy { written: Written::Whole, received }
            }
            (Self::Dialling, Event::Flushed) => return illegal,
            // Nothing was there to be written.
            (_, Event::Flushed) => self,
            (Self::Busy { written, received: Received::Nothing }, Event::Heard) => {
                let received =
                    if matches!(written, Written::Whole) { Received::Answer } else { Received::Early };
                Self::Busy { written, received }
            }
            (Self::Busy { .. } | Self::AnsweredEarly, Event::Heard) => self,
            (Self::Busy { written: Written::Whole, received: Received::Answer }, Event::Whole) => {
                Self::Answered
            }
            (
                Self::Busy { written: Written::Part | Written::Whole, received: Received::Early },
                Event::Whole,
            ) => Self::AnsweredEarly,
            (Self::Answered, Event::Quiet) => Self::Free,
            (Self::Poisoned, Event::Wrote | Event::Heard | Event::Ended) => Self::Poisoned,
            // What it says of an exchange must outlast the connection.
            (Self::Busy { .. } | Self::AnsweredEarly, Event::Ended) => self,
            (Self::Free | Self::Answered | Self::Ended, Event::Ended) => Self::Ended,
            _ => return illegal,
        })
    }
}

impl Named for Event {
    fn name(&self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Begin => "begin",
            Self::Wrote => "wrote",
            Self::Flushed => "flushed",
            Self::Heard => "heard",
            Self::Whole => "answer whole",
            Self::Quiet => "quiet",
            Self::Ended => "ended",
        }
    }
}
