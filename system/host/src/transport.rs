//! The sockets under framed connections. A test build with the feature `link-faults` has
//! links that can be faulty in their place; no release build can have them.

#[cfg(feature = "link-faults")]
#[path = "transport/faulty.rs"]
mod implementation;
#[cfg(not(feature = "link-faults"))]
#[path = "transport/plain.rs"]
mod implementation;

#[cfg(feature = "link-faults")]
pub use implementation::{LINK_ADDRESS_VARIABLE, LINK_FAULTS_VARIABLE};
pub(crate) use implementation::{Output, connect};
