//! The lives of a request, an attempt and a connection, as state machines with no I/O and no clock.
//!
//! Events go in, effects come out. What a state does not allow is an [`Illegal`] event: an error that the caller counts,
//! never a panic. The gateway runs on these machines, and the checker in `tests/` explores the same ones together with the
//! real decision module, so that what is proved of them is proved of the gateway's own tables.
//!
//! - [`request`]: from being taken to its final answer, and on until its last attempt has ended.
//! - [`attempt`]: from the decision to certainty about whether it ran.
//! - [`connection`]: from the dial to the close, with each exchange on it.
//! - [`inbound`]: a client's connection, from a request's first byte to its final answer.
//! - [`tables`]: all transitions, read off the machines.
//! - [`core`]: the decision module and the table of requests around it.

pub mod attempt;
pub mod connection;
pub mod core;
pub mod inbound;
pub mod request;
pub mod tables;

use std::fmt;

/// An event that a state does not allow. The state stays as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Illegal {
    /// Which machine.
    pub machine: &'static str,
    /// The state's name.
    pub state: &'static str,
    /// The event's name.
    pub event: &'static str,
}

impl fmt::Display for Illegal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is illegal in state {}", self.machine, self.event, self.state)
    }
}

impl std::error::Error for Illegal {}

/// What has a name that stands in tables, diagrams and complaints.
pub trait Named {
    /// The name.
    fn name(&self) -> &'static str;
}

/// A machine whose steps have no effect but its next state.
pub trait Machine: Copy + Named {
    /// Its own name.
    const NAME: &'static str;
    /// What happens to it.
    type Event: Copy + Named;

    /// Takes an event.
    ///
    /// # Errors
    /// When the state does not allow it.
    fn step(self, event: Self::Event) -> Result<Self, Illegal>;

    /// The complaint that the state does not allow an event.
    fn illegal(&self, event: Self::Event) -> Illegal {
        Illegal { machine: Self::NAME, state: self.name(), event: event.name() }
    }
}
