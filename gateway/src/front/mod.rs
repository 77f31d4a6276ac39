//! Clients: requests and answers. The data plane has the connections.

pub mod clients;
pub use fennelscale_dataplane::front::{acceptor, client_connection};
