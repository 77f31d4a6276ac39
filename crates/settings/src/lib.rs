//! What a gateway is told, parsed once, validated and typed. The simulator's adapter and the gateway on sockets
//! both read it here, so that one text means the same to both.
//!
//! - [`decisions`]: the settings object that the decisions are made by.
//! - [`gateway`]: the environment and the configuration file of one gateway.
//! - [`list`]: the list of backends in discovery's form.
//! - [`load`]: the load reports of backends.

pub mod decisions;
pub mod gateway;
pub mod list;
pub mod load;
