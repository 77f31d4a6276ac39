//! A model checker for the replicated store: it runs the state machine of `fennelscale-config-store`
//! unchanged, with hosts, disks, connections and clocks that may do anything at any time within given limits.
//! It explores every order of events, where the random schedules of `fennelscale-replication` and
//! `fennelscale-simulation` sample many.
//!
//! - [`cluster`]: replicas, connections, disks and callers, and all their possible steps.
//! - [`properties`]: the properties that must hold.
//! - [`mutants`]: deliberate faults that the properties must catch.
//! - [`scenarios`]: small clusters, each set up around one kind of failure.
//! - [`explore`]: runs the checker and describes counterexamples.

pub mod cluster;
pub mod explore;
pub mod mutants;
pub mod properties;
pub mod scenarios;
