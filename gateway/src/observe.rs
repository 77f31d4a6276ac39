//! What the state machines call illegal. There should be nothing of it: the checked model allows all that happens here.

use life::Illegal;
use life::attempt::{self, Attempt};
use life::connection::{self, Connection};
use std::cell::Cell;

/// The status with which a debug build ends at the first illegal transition, so that every test of the running program
/// is one of the model too.
const SOFTWARE_FAULT: i32 = 70;

/// Notes an illegal event. The state stays as it was and the gateway goes on; a debug build ends at once.
pub fn illegal(what: Illegal) {
    eprintln!("illegal transition: {what}");
    if cfg!(debug_assertions) {
        std::process::exit(SOFTWARE_FAULT);
    }
}

/// The life of an attempt or a probe, shared by what moves it on.
pub struct AttemptLife(Cell<Attempt>);

impl AttemptLife {
    /// One that was just decided.
    pub const fn decided() -> Self {
        Self(Cell::new(Attempt::Decided))
    }

    /// Where it is.
    pub fn now(&self) -> Attempt {
        self.0.get()
    }

    /// Moves it on.
    pub fn step(&self, event: attempt::Event) {
        match self.now().step(event) {
            Ok(next) => self.0.set(next),
            Err(what) => illegal(what),
        }
    }
}

/// The life of a connection, shared by its socket and whoever drives it.
pub struct ConnectionLife(Cell<Connection>);

impl ConnectionLife {
    /// One that is coming up.
    pub const fn dialling() -> Self {
        Self(Cell::new(Connection::Dialling))
    }

    /// Where it is.
    pub fn now(&self) -> Connection {
        self.0.get()
    }

    /// Moves it on.
    pub fn step(&self, event: connection::Event) {
        match self.now().step(event) {
            Ok(next) => self.0.set(next),
            Err(what) => illegal(what),
        }
    }
}
