//! A rehearsal of failures on one machine: stand-ins for all that a gateway talks to, gateways as child processes, a
//! timeline of troubles, and a judge that scores service and checks the five rules.
//!
//! - No I/O and no clock: [`scenario`], [`plan`], [`node`], [`tally`], [`log`], [`judge`].

pub mod judge;
pub mod log;
pub mod node;
pub mod plan;
pub mod play;
pub mod report;
pub mod scenario;
pub mod shipped;
pub mod tally;
