//! State machines of package `life` as shared cells, and the report of illegal transitions. None is expected:
//! the checked model allows everything that happens here.

use fennelscale_log_writer::log_line;
use life::{Illegal, Machine};
use std::cell::Cell;

/// Exit status of a debug build at the first illegal transition, so that every test of the running program
/// also tests the model.
const SOFTWARE_FAULT: i32 = 70;

/// Logs an illegal event. The state is unchanged and the gateway continues; a debug build exits at once.
pub fn report_illegal_transition(what: Illegal) {
    log_line!("illegal transition: {what}");
    if cfg!(debug_assertions) {
        fennelscale_log_writer::flush();
        std::process::exit(SOFTWARE_FAULT);
    }
}

/// A state machine that several owners advance.
pub struct Lifecycle<M>(Cell<M>);

impl<M: Machine> Lifecycle<M> {
    /// A state machine in the given state.
    pub const fn new(start: M) -> Self {
        Self(Cell::new(start))
    }

    /// The current state.
    pub fn state(&self) -> M {
        self.0.get()
    }

    /// Applies an event; an illegal one is reported and changes nothing.
    pub fn step(&self, event: M::Event) {
        match self.state().step(event) {
            Ok(next) => self.0.set(next),
            Err(what) => report_illegal_transition(what),
        }
    }
}
