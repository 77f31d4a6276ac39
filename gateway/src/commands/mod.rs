//! The subcommands of the program.

pub mod cli;
pub mod faults;
pub mod fleet;
pub mod quota;
pub mod rehearse;
pub mod routes;
