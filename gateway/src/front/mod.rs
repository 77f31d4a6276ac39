//! Clients: the requests on their connections; the connections are the data plane's.

pub mod clients;
pub use fennelscale_dataplane::front::{acceptor, client_connection};
