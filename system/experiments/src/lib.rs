//! The experiment tool: scenarios from a file are played in virtual time with many
//! seeds on all processors, figures get intervals and not single runs, two sets of runs are compared seed by seed, and a page
//! shows them.
//!
//! A set of runs is a file, so two builds are compared by letting each write its own.

pub mod capacity;
pub mod figures;
pub mod growth;
pub mod page;
pub mod play;
pub mod scenario;

/// Why something can't be done: the file, the place in it, and what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Fault(pub String);
