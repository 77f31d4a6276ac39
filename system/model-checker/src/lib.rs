//! A model checker of the store (the post's inspector): the machine that `fennelscale-config-store` runs, as it is, with hosts, disks, lines and
//! clocks that may do anything at any time within their bounds. Every order of events is explored, where the drawn schedules of
//! `fennelscale-replication` and `fennelscale-simulation` look at many.
//!
//! - [`world`]: stores, lines, disks, callers, and all that may happen to them.
//! - [`properties`]: what must hold, in one file.
//! - [`mutants`]: deliberate faults that the properties must catch.
//! - [`scenarios`]: small worlds, each around one thing that can go wrong.
//! - [`explore`]: runs the checker and tells what it found as a story.

pub mod explore;
pub mod mutants;
pub mod properties;
pub mod scenarios;
pub mod world;
