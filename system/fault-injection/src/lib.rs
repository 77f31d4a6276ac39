//! Fault injection: failure orders, the requests that they select, and what one proxy does about a request.
//!
//! # Guarantees
//!
//! - A request that no running order selects is not affected; it only changes a count
//!   ([`FaultInjector::decide`]).
//! - No request fails outside of the order's time, which is checked against a time of day that a majority
//!   of the core confirms. A proxy that is cut off keeps its last confirmed time running, so each order
//!   ends everywhere without communication.
//! - All proxies together fail at most the order's `max_requests`. The order lists the proxy incarnations
//!   that share it, fixed for all its versions, and each has an equal share, rounded down. Other proxies
//!   have no share, and the share of an incarnation that ended is lost.
//! - No order exceeds the operators' settings ([`Limits`]); without these no order applies.
//!
//! # Requirements on the caller
//!
//! Calls [`FaultInjector::release`] when a held request is done. This package does no I/O and reads no
//! clock.

mod injector;
mod order;

pub use injector::{FaultInjector, InjectedFault, OrderCounts, OutcomeCounts, Verdict};
pub use order::{Caller, FailureKind, Limits, Order, RequestSelector, State, fingerprint, proxy_id};

/// A time or a duration in milliseconds.
pub type Millis = f64;

/// Prefix of the names of failure orders.
pub const ORDER_PREFIX: &str = "f:";
/// The highest number of failure orders that may exist.
pub const MAX_ORDERS: usize = 16;
