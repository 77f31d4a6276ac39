//! Clients: connections let in, and whose they are.

pub mod acceptor;
pub mod client_connection;
