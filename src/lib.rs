//! doorcourse makes the decisions of a set of gateways that limit many customers' use of one shared service:
//! admission, choice of backends, retries and refusals. It performs no I/O and reads no clock: the host feeds
//! timed events to a [`Gateway`] and carries out the actions that it returns.
//!
//! ```
//! use doorcourse::{
//!     Action, Arrival, BackendEntry, BackendState, Class, DedupScope, Event, Gateway, Plan, RetrySafety,
//! };
//!
//! let settings = doorcourse::Settings {
//!     gateways: 1, gateway_index: 0, zone: "a".into(), tick: 1.0,
//!     classes: vec![Class { name: "read".into(), target_latency: 500.0, retry_safety: RetrySafety::Safe,
//!         dedup_scope: DedupScope::All, dedup_window: 0.0, value: 1.0, late_value_share: 0.0 }],
//!     plans: vec![Plan { name: "basic".into(), rate: 5.0, burst: 10.0, max_concurrent: 0, ceiling_rate: 0.0,
//!         ceiling_burst: 0.0, ceiling_slack: 0.0, value_factor: 1.0, over_quota_value_share: 0.0,
//!         over_quota_cost_share: 1.0 }],
//!     max_attempts: 3, max_retry_after: 1000.0, ..Default::default()
//! };
//! let mut gateway = Gateway::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let backend = BackendEntry { name: "b1".into(), zone: "a".into(), cell: 0, state: BackendState::Ready,
//!     started: None };
//! gateway.handle(0.0, Event::BackendList(vec![backend]), &mut actions);
//! gateway.handle(1.0, Event::Request(Arrival { id: 1, customer: "c".into(), plan: "basic".into(),
//!     class: "read".into(), units: 1.0, is_retry: false, client_timeout: 900.0, first_gateway: 0,
//!     gateway_count: 1, constraints: None }), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//! # Ok::<(), doorcourse::SettingsError>(())
//! ```
//!
//! # What the host must provide
//!
//! - One gateway object in a process of its own. After a restart, a new object with a fresh seed and the
//!   latest list of backends. No two gateways may share a seed, or their random choices coincide.
//! - Clocks that agree among gateways to well within the shortest window of any plan, because keys of counts
//!   contain the number of the window. Gateways whose clocks differ by a window count separately, and each
//!   grants the whole quota again.
//! - A counter that adds an amount to the count under a key and returns the total. A call without an answer
//!   in time is reported as [`CountOutcome::Unknown`]. Each call is answered once, in the order of the calls
//!   of its key.
//! - Every requested timer fires once, at or after its time.
//! - For every [`Action::Send`] exactly one [`Event::AttemptEnded`], at the latest when the client gives up.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod hash;
mod interface;
mod logic;
mod topology;
mod validate;

pub use interface::*;
pub use logic::Gateway;
pub use topology::{BackendParameters, FleetParameters, RequestConstraints, SendCounts};
