//! What the state machines call illegal. There should be nothing of it: the checked model allows all that happens here.

use life::{Illegal, Machine};
use std::cell::Cell;

/// The status with which a debug build ends at the first illegal transition, so that every test of the running program
/// is one of the model too.
const SOFTWARE_FAULT: i32 = 70;

/// Notes an illegal event. The state stays as it was and the gateway goes on; a debug build ends at once.
pub fn report_illegal_transition(what: Illegal) {
    eprintln!("illegal transition: {what}");
    if cfg!(debug_assertions) {
        std::process::exit(SOFTWARE_FAULT);
    }
}

/// A life that is shared by all that move it on.
pub struct Lifecycle<M>(Cell<M>);

impl<M: Machine> Lifecycle<M> {
    /// One that begins here.
    pub const fn new(start: M) -> Self {
        Self(Cell::new(start))
    }

    /// Where it is.
    pub fn state(&self) -> M {
        self.0.get()
    }

    /// Moves it on.
    pub fn step(&self, event: M::Event) {
        match self.state().step(event) {
            Ok(next) => self.0.set(next),
            Err(what) => report_illegal_transition(what),
        }
    }
}
