//! Backends: the list of them; pools, connections and attempts are the data plane's.

pub mod discovery;
pub mod speech;
pub use fennelscale_dataplane::back::{backends, connection};
