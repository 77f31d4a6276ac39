//! What a gateway is told, parsed once, validated and typed. The simulator's adapter and the gateway on sockets
//! both read it here, so that one text means the same to both.
//!
//! - [`decisions`]: the settings object that the decisions are made by.
//! - [`gateway`]: the environment and the configuration file of one gateway.
//! - [`list`]: the list of backends in discovery's form.
//! - [`load`]: the load reports of backends.
//! - [`operators`]: the operators' settings file, [`admission`] what it says of clients' connections [`upstream`] of those to
//!   backends and [`quota`] of quotas without the counter.
//! - [`file`] and [`units`]: TOML files with units, and errors with their place.

pub mod admission;
pub mod decisions;
pub mod file;
pub mod fleet;
pub mod gateway;
pub mod list;
pub mod load;
pub mod operators;
pub mod quota;
pub mod units;
pub mod upstream;
