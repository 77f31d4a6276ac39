//! The life of a request, from being taken to its one final answer, and on until its last attempt has ended.
//!
//! There is no state with two attempts out and none in which an answer could be given twice: [`Request::Closing`] has no
//! reply left to give, and a request that is over is no longer there.

use crate::{Illegal, Named};

/// Where a request is. A request that is over has no state: it is forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// It has no final answer and no attempt out.
    Waiting {
        /// Attempts made so far.
        attempts: u32,
        /// The last one got no answer in time.
        timed_out: bool,
    },
    /// It has no final answer; one attempt is out.
    Out {
        /// The attempt's number, from 0.
        number: u32,
    },
    /// Its client left; one attempt is out, has been stopped, and has not ended.
    Closing {
        /// The attempt's number.
        number: u32,
    },
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The decisions send an attempt.
    Send,
    /// The decisions refuse it.
    Refuse,
    /// The decisions give it up.
    Fail,
    /// An attempt ended.
    Ended {
        /// Its number.
        number: u32,
        /// How.
        end: End,
    },
    /// The client is gone: nothing is owed to it any more.
    Left,
}

/// How an attempt ended, as far as its request is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// With an answer for the client.
    Served,
    /// Without any answer in time.
    TimedOut,
    /// Otherwise.
    Unserved,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Nothing.
    None,
    /// Begin an attempt.
    Begin {
        /// Its number.
        number: u32,
    },
    /// Stop an attempt that is out.
    Stop {
        /// Its number.
        number: u32,
    },
    /// Give the one final answer.
    Answer(Final),
}

/// The final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Final {
    /// What the attempt that has just ended brought.
    Served,
    /// Harmless to try again.
    Refused,
    /// No promise.
    Failed {
        /// The last attempt got no answer in time.
        timed_out: bool,
    },
}

impl Request {
    /// A request that was taken whole.
    pub const fn taken() -> Self {
        Self::Waiting { attempts: 0, timed_out: false }
    }

    /// Whether its client is still owed an answer.
    pub const fn is_open(&self) -> bool {
        !matches!(self, Self::Closing { .. })
    }

    /// Takes an event: the next state, or none when it is over, and what is to be done.
    ///
    /// # Errors
    /// When the state does not allow it.
    pub fn step(self, event: Event) -> Result<(Option<Self>, Effect), Illegal> {
        let illegal = Err(Illegal { machine: "request", state: self.name(), event: event.name() });
        Ok(match (self, event) {
            (Self::Waiting { attempts, .. }, Event::Send) => {
                (Some(Self::Out { number: attempts }), Effect::Begin { number: attempts })
            }
            (Self::Waiting { .. }, Event::Refuse) => (None, Effect::Answer(Final::Refused)),
            (Self::Waiting { timed_out, .. }, Event::Fail) => {
                (None, Effect::Answer(Final::Failed { timed_out }))
            }
            (Self::Waiting { .. }, Event::Left) => (None, Effect::None),
            // No answer is given while an attempt is out: a refusal could be a lie, and a failure would be too early.
            (Self::Out { number }, Event::Left) => (Some(Self::Closing { number }), Effect::Stop { number }),
            (Self::Out { number }, Event::Ended { number: n, end }) if n == number => match end {
                End::Served => (None, Effect::Answer(Final::Served)),
                End::TimedOut | End::Unserved => {
                    let timed_out = matches!(end, End::TimedOut);
                    (Some(Self::Waiting { attempts: number + 1, timed_out }), Effect::None)
                }
            },
            (Self::Closing { number }, Event::Ended { number: n, .. }) if n == number => (None, Effect::None),
            _ => return illegal,
        })
    }
}

impl Named for Request {
    fn name(&self) -> &'static str {
        match self {
            Self::Waiting { .. } => "waiting",
            Self::Out { .. } => "out",
            Self::Closing { .. } => "closing",
        }
    }
}

impl Named for Event {
    fn name(&self) -> &'static str {
        match self {
            Self::Send => "send",
            Self::Refuse => "refuse",
            Self::Fail => "fail",
            Self::Ended { end: End::Served, .. } => "attempt served",
            Self::Ended { end: End::TimedOut, .. } => "attempt timed out",
            Self::Ended { end: End::Unserved, .. } => "attempt ended unserved",
            Self::Left => "client left",
        }
    }
}
