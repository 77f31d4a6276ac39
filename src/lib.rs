//! doorcourse makes the decisions of a front door: a set of gateways that meter many customers' use of one
//! shared service. It does no input or output and reads no clock: the host tells a [`Gateway`] what happened
//! and when, and carries out the actions it gives back.
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
//! - One gateway object in a process of its own; after a restart a new one, with a fresh seed and the last list.
//!   No two share a seed: chance would choose alike.
//! - Clocks that agree among gateways to well within the shortest window of any plan: count names are made of the
//!   window's number. Gateways whose clocks differ by a window count apart, and each grants the quota again.
//! - A counter that adds an amount to a number by name and answers the total. A call without an answer in time is
//!   reported as [`CountOutcome::Unknown`]. One answer for each call, in the order of the calls of a name.
//! - Every timer asked for, once, at or after its time.
//! - For every [`Action::Send`] exactly one [`Event::AttemptEnded`], by the client's patience at the latest.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod hash;
mod interface;
mod logic;
mod topology;

pub use interface::*;
pub use logic::Gateway;
pub use topology::{BackendParameters, FleetParameters, RequestConstraints, SendCounts};
