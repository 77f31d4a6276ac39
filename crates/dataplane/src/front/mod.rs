//! Client side: accepting connections and tracking their state.

pub mod acceptor;
pub mod client_connection;
