//! The types that pass between a host and a gateway: settings, events and actions. Nothing is decided here.

use crate::topology::{BackendParameters, FleetParameters, RequestConstraints};
use std::sync::Arc;

/// A name that the host hands in and gets back unchanged: a customer, backend, class, plan, zone.
pub type Name = Arc<str>;
/// Milliseconds: a point on the host's clock or a span of it.
pub type Millis = f64;
/// The host's number for one try of a client; never used twice.
pub type RequestId = u64;

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe to repeat at any time.
    Safe,
    /// Carries a key: backends of one group drop a repeat for a stated time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The backends that share the memory of a keyed request.
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
    /// An answer within this time has its full worth.
    pub target_latency: Millis,
    /// What repeating it may do.
    pub retry_safety: RetrySafety,
    /// Who drops a keyed repeat.
    pub dedup_scope: DedupScope,
    /// For how long a keyed repeat is dropped, from the first send that may have run.
    pub dedup_window: Millis,
    /// What an answer is worth.
    pub value: f64,
    /// The share of the worth that an answer after the aim still has.
    pub late_value_share: f64,
}

/// One plan: the quota each of its customers holds over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The plan's name.
    pub name: Name,
    /// Units a second; 0 means no such quota.
    pub rate: f64,
    /// The most units that may be used at once.
    pub burst: f64,
    /// The most attempts out at once; 0 means no such quota.
    pub max_concurrent: u32,
    /// Units a second that the hard ceiling fills by; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// The most units that the ceiling holds.
    pub ceiling_burst: f64,
    /// What the ceiling may be passed by.
    pub ceiling_slack: f64,
    /// A factor on the worth of a request.
    pub value_factor: f64,
    /// The share of its worth that a request beyond the quota earns.
    pub over_quota_value_share: f64,
    /// The share of its worth that a request beyond the quota costs.
    pub over_quota_cost_share: f64,
}

impl Plan {
    /// Quota and ceiling of an account of `gateways` gateways whose largest request is of `largest` units.
    pub fn terms(&self, gateways: f64, largest: f64) -> fennelscale_quota::Terms {
        let Self { rate, burst, ceiling_rate, ceiling_burst, .. } = *self;
        fennelscale_quota::Terms { rate, burst, ceiling_rate, ceiling_burst, largest, gateways }
    }
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// With the answers.
    Responses,
    /// With the answers to probes only.
    Probes,
}

/// All that a gateway is told at its start. The default is all zeros and no classes: a start to fill in.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u32,
    /// This gateway's number, from 0.
    pub gateway_index: u32,
    /// The zone this gateway is in.
    pub zone: Name,
    /// The shortest time between two calls of `handle`.
    pub tick: Millis,
    /// The time between two rounds of housekeeping; 0 for the usual.
    pub housekeeping_interval: Millis,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Whether there is a shared counter.
    pub counter: bool,
    /// A counter call without an answer for this long is given up.
    pub counter_timeout: Millis,
    /// The losses of the counter that slices are made for.
    pub loss: fennelscale_quota::Loss,
    /// Whether the true units come with the answer.
    pub actual_units_reported: bool,
    /// The most units of one request.
    pub max_request_units: f64,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether gateways may send each other messages.
    pub peer_messages: bool,
    /// Whether attempts may be called off.
    pub can_cancel: bool,
    /// Whether the list must be asked for.
    pub list_on_request: bool,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The longest advice that a client follows.
    pub max_retry_after: Millis,
    /// A backend starts with this share of its capacity or more.
    pub cold_capacity_share: f64,
    /// A backend is warm after this time at most.
    pub warm_up_time: Millis,
    /// A cold backend falls over when sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The time over which that is judged.
    pub overload_window: Millis,
    /// The points taken off for one crossing of zones a request.
    pub cross_zone_cost: f64,
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// A figure is negative, not finite, or zero where it may not be.
    InvalidValue(&'static str),
    /// The gateway's own number is not below the number of gateways.
    IndexOutOfRange,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no request class"),
            Self::InvalidValue(what) => write!(f, "settings hold an unusable figure: {what}"),
            Self::IndexOutOfRange => write!(f, "the gateway's number is not below the number of gateways"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// What the list of backends says of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It runs.
    Ready,
    /// It finishes its work and must be sent nothing new.
    Draining,
    /// It is gone.
    Gone,
}

/// One line of the list of backends.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// Which backend.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its cell.
    pub cell: u64,
    /// What is known of it.
    pub state: BackendState,
    /// When it last started, where that is known.
    pub started: Option<Millis>,
}

/// A backend's report of its own load; each value only where the site has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub inflight: Option<f64>,
    /// Requests that wait there.
    pub queue: Option<f64>,
    /// Its recent service time, without waiting.
    pub service_time: Option<Millis>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The backend answered with an error; it may have run.
    Error,
    /// The backend turned it away unseen.
    Rejected,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// It was called off; it may have run.
    Cancelled,
    /// It was never sent.
    NeverSent,
    /// Another backend answers at its address: the one that it was for is gone. It never ran.
    Misdirected,
}

impl Outcome {
    /// Whether it is certain that the request has not run and will not.
    pub const fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NeverSent | Self::Misdirected)
    }
}

/// How a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CountOutcome {
    /// The total after the add.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No answer in time; the amount may have been added.
    Unknown,
}

/// A request that came in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its number.
    pub id: RequestId,
    /// Whose it is.
    pub customer: Name,
    /// The customer's plan.
    pub plan: Name,
    /// Its class.
    pub class: Name,
    /// The units it draws, or a guess of them.
    pub units: f64,
    /// Whether the client marks it as a repeat of an earlier try.
    pub is_retry: bool,
    /// How long until the client gives up.
    pub client_timeout: Millis,
    /// The number of the first gateway of the customer's set; the others follow in a row, counted round.
    pub first_gateway: u32,
    /// How many gateways the customer's requests come in through.
    pub gateway_count: u32,
    /// Where it may go, where not everywhere.
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
    /// How long it was out.
    pub latency: Millis,
    /// The true units, where they come with the answer.
    pub actual_units: Option<f64>,
    /// Whether the request has had its final answer.
    pub finished: bool,
    /// A load report, where one came along.
    pub load: Option<LoadReport>,
}

/// Something that a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list of backends; one that is missing is gone.
    BackendList(Vec<BackendEntry>),
    /// Changes to the list.
    BackendChanges(Vec<BackendEntry>),
    /// A call for the list failed.
    BackendListFailed,
    /// A request came in.
    Request(Arrival),
    /// A stream began on an attempt; it belongs to the client from now on.
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
        /// A load report, where one came along.
        load: Option<LoadReport>,
    },
    /// The client left; the request is over.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer ran out.
    Timer {
        /// The token given when it was set.
        token: u64,
    },
    /// A counter call ended.
    CounterReply {
        /// The count's name.
        key: u64,
        /// How it ended.
        outcome: CountOutcome,
        /// How long it took.
        latency: Millis,
    },
    /// Accounts are counted on these counters; how each that was there is stays known.
    CounterPartition(fennelscale_quota::Partition),
    /// The whole list of backends, each with its terms, and what is known of the gateways. It is one event, so that nothing is
    /// chosen between the list and the terms: from the first one on, a backend without terms is sent nothing.
    Topology(FleetParameters, Vec<(BackendEntry, BackendParameters)>),
    /// A class beyond those of the settings; one of a name that is there takes its place.
    Class(Class),
    /// The gateway is about to end: no more requests come.
    ShuttingDown,
    /// A message from another gateway.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// What it says.
        bytes: Vec<u8>,
    },
}

/// Something that the host is to do at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a backend.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: Name,
        /// The attempt's time-out; `None` until the client gives up.
        timeout: Option<Millis>,
        /// Its last byte must be written within this, or it must not be sent: a repeat that comes when its rack has
        /// forgotten the first is none. `None` where it may be written at any time.
        write_by: Option<Millis>,
    },
    /// Final answer: refused, harmless to try again.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client ought to wait.
        retry_after: Millis,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// How long from now.
        after: Millis,
        /// What the timer brings back.
        token: u64,
    },
    /// Probe a backend.
    Probe {
        /// Which one.
        backend: Name,
    },
    /// Add to a shared count and hear its total.
    AddToCounter {
        /// Which counter, by its place in the partition; 0 where none was set.
        counter: usize,
        /// The count's name, below 2^63.
        key: u64,
        /// What to add.
        amount: f64,
        /// How long a new name is kept.
        ttl: Millis,
    },
    /// Send a message to all other gateways.
    Broadcast {
        /// What it says.
        bytes: Vec<u8>,
    },
    /// Ask for changes to the list of backends from now on.
    WatchBackends,
    /// Write a line to the log.
    Log(String),
}
