//! The types that pass between a host and a gateway: settings, events and actions. No decisions are made
//! here.

use crate::topology::{BackendParameters, FleetParameters, RequestConstraints};
use std::sync::Arc;

/// A name that the host hands in and gets back unchanged: a customer, backend, class, plan, zone.
pub type Name = Arc<str>;
/// Milliseconds: a point on the host's clock or a span of it.
pub type Millis = f64;
/// Identifies one request of a client; never reused by the host.
pub type RequestId = u64;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe to repeat at any time.
    Safe,
    /// Carries an idempotency key: the backends of one scope drop a duplicate for a limited time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The backends that deduplicate a keyed request together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The class's name.
    pub name: Name,
    /// An answer within this time has its full value.
    pub target_latency: Millis,
    /// Whether it may be repeated.
    pub retry_safety: RetrySafety,
    /// Which backends drop a keyed duplicate.
    pub dedup_scope: DedupScope,
    /// How long a keyed duplicate is dropped, counted from the first send that may have run.
    pub dedup_window: Millis,
    /// The value of an answer.
    pub value: f64,
    /// The share of the value that is left for an answer after the target latency.
    pub late_value_share: f64,
}

/// One plan: the quota that each of its customers has over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The plan's name.
    pub name: Name,
    /// Units per second; 0 means no such quota.
    pub rate: f64,
    /// Maximum number of units that may be used at once.
    pub burst: f64,
    /// Maximum number of attempts in flight; 0 means no such quota.
    pub max_concurrent: u32,
    /// Refill rate of the hard ceiling in units per second; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Burst size of the ceiling in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be exceeded.
    pub ceiling_slack: f64,
    /// A factor on the value of a request.
    pub value_factor: f64,
    /// The share of its value that a request beyond the quota earns.
    pub over_quota_value_share: f64,
    /// The share of its value that a request beyond the quota costs.
    pub over_quota_cost_share: f64,
}

impl Plan {
    /// Quota and ceiling of a customer served by `gateways` gateways whose largest request has `largest`
    /// units.
    pub fn terms(&self, gateways: f64, largest: f64) -> fennelscale_quota::AccountQuota {
        let Self { rate, burst, ceiling_rate, ceiling_burst, .. } = *self;
        fennelscale_quota::AccountQuota {
            rate,
            burst,
            ceiling_rate,
            ceiling_burst,
            max_request_units: largest,
            gateways,
        }
    }
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// Sent with the answers to requests.
    Responses,
    /// Sent with the answers to probes only.
    Probes,
}

/// The settings of a gateway. The default is all zeros without classes, as a base to fill in.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The number of gateways.
    pub gateways: u32,
    /// The index of this gateway, from 0.
    pub gateway_index: u32,
    /// The zone this gateway is in.
    pub zone: Name,
    /// The shortest time between two calls of `handle`.
    pub tick: Millis,
    /// The time between two rounds of housekeeping; 0 for the default.
    pub housekeeping_interval: Millis,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Whether there is a shared counter.
    pub counter: bool,
    /// A counter call without an answer for this long counts as failed.
    pub counter_timeout: Millis,
    /// The counter losses that slices allow for.
    pub loss: fennelscale_quota::Loss,
    /// Whether answers report the actual units used.
    pub actual_units_reported: bool,
    /// Maximum number of units of one request.
    pub max_request_units: f64,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether gateways may send each other messages.
    pub peer_messages: bool,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether the gateway must request the list of backends.
    pub list_on_request: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// The longest `retry_after` that clients honour.
    pub max_retry_after: Millis,
    /// The least share of its capacity that a backend has at its start.
    pub cold_capacity_share: f64,
    /// A backend is warm after at most this time.
    pub warm_up_time: Millis,
    /// A cold backend fails when it receives more than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// The time window over which that load is measured.
    pub overload_window: Millis,
    /// The cost of sending one request to another zone.
    pub cross_zone_cost: f64,
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// A value is negative, not finite, or zero where it must not be.
    InvalidValue(&'static str),
    /// The index of the gateway is not below the number of gateways.
    IndexOutOfRange,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no request class"),
            Self::InvalidValue(what) => write!(f, "invalid value in the settings: {what}"),
            Self::IndexOutOfRange => write!(f, "the gateway index is not below the number of gateways"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The state of a backend in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts requests.
    Ready,
    /// It finishes its work and must not receive new requests.
    Draining,
    /// It is gone.
    Gone,
}

/// One entry of the list of backends.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// The backend's name.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: BackendState,
    /// When it last started, if known.
    pub started: Option<Millis>,
}

/// A backend's report of its own load; each value is present only where the deployment provides it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Requests in its queue.
    pub queue: Option<f64>,
    /// Its recent service time, without queueing.
    pub service_time: Option<Millis>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The backend answered with an error; it may have run.
    Error,
    /// The backend rejected it unprocessed.
    Rejected,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection was lost; it may have run.
    ConnectionLost,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NeverSent,
    /// Another backend answered at this address because the intended one is gone. It never ran.
    Misdirected,
}

impl Outcome {
    /// Whether it is certain that the request has not run and will not run.
    pub const fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NeverSent | Self::Misdirected)
    }
}

/// How a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CountOutcome {
    /// The total after the addition.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No answer in time; the amount may have been added.
    Unknown,
}

/// A request that came in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: RequestId,
    /// The customer that it belongs to.
    pub customer: Name,
    /// The customer's plan.
    pub plan: Name,
    /// Its class.
    pub class: Name,
    /// The units that it uses, or an estimate of them.
    pub units: f64,
    /// Whether the client marks it as a retry of an earlier request.
    pub is_retry: bool,
    /// The time until the client gives up.
    pub client_timeout: Millis,
    /// The index of the first gateway that serves the customer; the others follow consecutively, wrapping
    /// around.
    pub first_gateway: u32,
    /// The number of gateways that serve the customer.
    pub gateway_count: u32,
    /// Limits on where it may be sent, if any.
    pub constraints: Option<Arc<RequestConstraints>>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    /// Where it was sent.
    pub backend: Name,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: Millis,
    /// The actual units, if the answer reports them.
    pub actual_units: Option<f64>,
    /// Whether the request has had its final answer.
    pub finished: bool,
    /// A load report, if the answer carried one.
    pub load: Option<LoadReport>,
}

/// An input of a gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// The full list of backends; one that is missing is gone.
    BackendList(Vec<BackendEntry>),
    /// Changes to the list.
    BackendChanges(Vec<BackendEntry>),
    /// A request for the list failed.
    BackendListFailed,
    /// A request arrived.
    Request(Arrival),
    /// An attempt began to stream its answer; the client controls it from now on.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend: Name,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        latency: Millis,
        /// A load report, if the answer carried one.
        load: Option<LoadReport>,
    },
    /// The client disconnected; the request has ended.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token with which it was set.
        token: u64,
    },
    /// A counter call ended.
    CounterReply {
        /// The key of the count.
        key: u64,
        /// How it ended.
        outcome: CountOutcome,
        /// How long it took.
        latency: Millis,
    },
    /// The counters that hold the counts of customers from now on; the health of those known before is kept.
    CounterPartition(fennelscale_quota::Partition),
    /// The full list of backends with their parameters, and the parameters of the fleet. It is one event so
    /// that no backend is chosen between the list and the parameters: from the first such event on, a backend
    /// without parameters is sent nothing.
    Topology(FleetParameters, Vec<(BackendEntry, BackendParameters)>),
    /// Adds a class to those of the settings, or replaces the one of the same name.
    Class(Class),
    /// The gateway is shutting down: no more requests arrive.
    ShuttingDown,
    /// A message from another gateway.
    PeerMessage {
        /// The index of the sender.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// An instruction that the host carries out at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a backend.
    Send {
        /// The request.
        id: RequestId,
        /// The destination.
        backend: Name,
        /// The timeout of the attempt; `None` if it runs until the client gives up.
        timeout: Option<Millis>,
        /// The last byte must be written within this time, or the request must not be sent: once its dedup
        /// scope has forgotten the first attempt, a duplicate would run again. `None` without such a limit.
        write_by: Option<Millis>,
    },
    /// Final answer: refused; a retry by the client is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait.
        retry_after: Millis,
    },
    /// Final answer: failed; the request may or may not have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// The time until it expires.
        after: Millis,
        /// The token to return with the timer event.
        token: u64,
    },
    /// Probe a backend.
    Probe {
        /// The backend.
        backend: Name,
    },
    /// Add to a shared count and report its total.
    AddToCounter {
        /// The index of the counter in the partition; 0 without a partition.
        counter: usize,
        /// The key of the count, below 2^63.
        key: u64,
        /// The amount to add.
        amount: f64,
        /// The time to live of a newly created count.
        ttl: Millis,
    },
    /// Send a message to all other gateways.
    Broadcast {
        /// The message.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the list of backends.
    WatchBackends,
    /// Write a line to the log.
    Log(String),
}
