//! The fault rig: real processes of the program, every link between two of them through a relay of the rig's own, faults by
//! script and by seed, a record of all that was done and seen, and a judge.
//!
//! - [`script`]: what is done and when; drawn from a seed or read from a file, and printed so that it plays again.
//! - [`relay`]: one link, one way: passes, drops, stalls, slows or cuts what goes over it.
//! - [`rig`]: starts, stops, lets go, kills and restarts processes, and writes the record.
//! - [`record`]: what was done and seen, with the rig's own time.
//! - [`process`]: what the kernel tells of a process.
//! - [`broken_output`]: standard outputs that cannot be written.
//! - [`judge`]: the properties, replayed from the record alone. It believes no process: what was held is known by the effects
//!   that reached a witness, what was agreed by comparing what all of them show.

pub mod broken_output;
pub mod judge;
pub mod process;
pub mod record;
pub mod relay;
pub mod rig;
pub mod script;
