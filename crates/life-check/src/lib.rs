//! Explores every order of events at small bounds: the gateway's own state machines and its own decision module, with an
//! environment that may do anything at any time within its bounds.
//!
//! - [`world`]: the composed system and all that may happen to it.
//! - [`properties`]: what must hold, in one file.
//! - [`mutants`]: deliberate faults that the properties must catch.
//! - [`trace`]: a story as text.
//! - [`fennelscale-demo`]: stories that can be played over sockets.
//! - [`explore`]: runs the checker and tells what it found as a story.

pub mod explore;
pub mod mutants;
pub mod properties;
pub mod trace;
pub mod walk;
pub mod world;
