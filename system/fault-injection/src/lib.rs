//! Fault injection (the post's mislaid mail): failure orders, whom they name, and what one proxy does about a request.
//!
//! # What holds
//!
//! - A request that no running order names is told nothing here and changes nothing here but a count ([`FaultInjector::meet`]).
//! - Nothing is failed outside of the order's time, by a time of day that a majority of the core vouches for; a proxy that is cut off
//!   carries the last one on, so each order ends by itself everywhere.
//! - All proxies together fail no more than the order's `most` in all: the order names the proxies' lives that share it, once for all
//!   its versions, and each has an even part, rounded down. Any other has none, and a part that a life takes with it is gone.
//! - No order may do more than the operators' settings allow ([`Limits`]); without these none is heeded.
//!
//! # What the caller owes
//!
//! Tells [`FaultInjector::over`] when a request that is held is done. No I/O, no clock.

mod desk;
mod order;

pub use desk::{FaultInjector, InjectedFault, OrderCounts, OutcomeCounts, Verdict};
pub use order::{Caller, FailureKind, Limits, Order, RequestSelector, State, fingerprint, proxy_id};

/// Milliseconds.
pub type Millis = f64;

/// Names of failure orders begin so.
pub const ORDER_PREFIX: &str = "f:";
/// The most failure orders that stand.
pub const MAX_ORDERS: usize = 16;
