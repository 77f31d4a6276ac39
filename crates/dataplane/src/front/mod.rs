//! Clients: connections let in, and whose they are.

pub mod door;
pub mod guest;
