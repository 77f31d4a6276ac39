//! A fleet that agrees: who is there, one order of decisions, and rights that surely end.
//!
//! The guarantees, of which `docs/fleet.md` speaks in plain words:
//!
//! - *One holder of a right at any true time*, where clocks run off by no more than [`rules::DRIFT_PPM`]: [`lease`] has the
//!   arithmetic. Each right comes with a number that only grows.
//! - *Nothing agreed is lost or reordered*, as long as a majority of the keepers' disks is not lost at once; a disk that has
//!   lost something is found out ([`disk`]) and its keeper takes no part.
//! - *No member is named gone while it answers* anybody who is asked about it for as long as the suspicion lasts ([`members`]).
//! - Nothing here makes a request wait: all that is agreed is read from memory, and what is not agreed is not there.
//!
//! Nothing here does I/O, reads a clock or draws by chance but from a seed. Bytes, events and time go into a [`Node`]; bytes,
//! writes, events and the next moment to be woken come out. The caller owes what each module says.

pub mod disk;
pub mod identity;
pub mod keeper;
pub mod lease;
pub mod members;
pub mod node;
pub mod rules;
pub mod state;
pub mod store;
pub mod wire;

pub use identity::Identity;
pub use lease::Fence;
pub use node::{Action, Event, Node, Setup};
