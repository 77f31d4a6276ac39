//! One engine for each service: the decision module with its backends, kept up to date with the routing
//! state.

use crate::answer_counts::AnswerCounts;
use crate::backend_protocol::{BackendProtocol, REQUEST_ID};
use crate::decision_input::{self, DecisionInput};
use crate::request_classes::RequestClasses;
use crate::request_trace::RequestTrace;
use crate::routing_state::RoutingState;
use doorcourse::{Event, LoadReportSource, Name, Outcome, SendCounts};
use fennelscale_config::{Route, RouteKind};
use fennelscale_dataplane::back::backends::{Backends, ConnectionLimits, ExchangeCounts};
use fennelscale_dataplane::engine::{CounterClient, CounterReplyHandler, Engine};
use fennelscale_dataplane::task::spawn;
use fennelscale_memory::ledger::MemoryLedger;
use fennelscale_settings::list::List;
use fennelscale_settings::upstream::{IdentityRule, Upstream};
use fennelscale_wire::reuse::ReusePolicy;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit for a connection to a backend: a round trip between regions, and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the rest of an answer once it has begun.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of an answer.
const MAX_ANSWER: usize = 16 << 20;
/// Assumed idle time after which backends close connections, unless they state another; half of it is used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// The engine of one service.
pub struct ServiceEngine {
    /// The decision module with its timers and connections.
    pub engine: Rc<Engine>,
    backends: Rc<Backends>,
    classes: RefCell<RequestClasses>,
    sequence: Cell<u64>,
    reported_counts: Cell<BackendCounts>,
}

/// Counts of sends to the backends of a service that are of diagnostic interest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// Requests sent, by what was known of the backend at that time.
    pub sends: SendCounts,
    /// Answers that say that another backend listens at the address (421).
    pub misdirected: u64,
}

/// The engines of all services.
pub struct ServiceEngines {
    all: RefCell<BTreeMap<String, Rc<ServiceEngine>>>,
    zone: Name,
    connections: usize,
    retry: (f64, f64),
    seed: Cell<u64>,
    trace: Rc<RefCell<RequestTrace>>,
    started_at: Instant,
    /// The memory that answers are charged to.
    memory: Arc<MemoryLedger>,
    /// Counts of the answers of all backends and to all clients.
    pub answer_counts: Rc<AnswerCounts>,
}

impl ServiceEngines {
    /// No engines yet. At most `connections` to backends may be open at once over all services. Requests are
    /// recorded in `trace`, whose clock started at `started_at`; answers are charged to `memory`.
    pub fn new(
        zone: &str, connections: usize, retry: (f64, f64), seed: u64, trace: Rc<RefCell<RequestTrace>>,
        started_at: Instant, memory: Arc<MemoryLedger>,
    ) -> Self {
        let seed = Cell::new(seed);
        Self {
            all: RefCell::default(),
            zone: zone.into(),
            connections,
            retry,
            seed,
            trace,
            started_at,
            memory,
            answer_counts: Rc::default(),
        }
    }

    /// The engine of a service, if it is known.
    pub fn get(&self, name: &str) -> Option<Rc<ServiceEngine>> {
        self.all.borrow().get(name).cloned()
    }

    /// Number of requests that wait for their answers.
    pub fn waiting(&self) -> usize {
        self.all.borrow().values().map(|service| service.engine.pending_requests()).sum()
    }

    /// Backends that may be working on requests of this proxy.
    pub fn busy_backends(&self) -> BTreeSet<String> {
        let all = self.all.borrow();
        all.values()
            .flat_map(|service| service.backends.busy_backends())
            .map(|name| name.to_string())
            .collect()
    }

    /// Brings all engines up to date with the routing state. `now` is the proxy's clock.
    pub fn update(&self, now: f64, state: &mut RoutingState) {
        let names: Vec<String> = state.table.services.keys().cloned().collect();
        let service_count = names.len().max(1);
        for name in names {
            let known = self.get(&name);
            let service = match known {
                Some(service) => service,
                None => {
                    let health_path =
                        state.table.services.get(&name).map_or("/health".into(), |s| s.health_path.clone());
                    let Some(service) = self.start(health_path, service_count) else { continue };
                    self.all.borrow_mut().insert(name.clone(), service.clone());
                    service
                }
            };
            service.update(now, state, &name, self.retry);
        }
        // A removed service has no routes left; its last requests finish with the last known backends.
        self.all.borrow_mut().retain(|name, service| {
            state.table.services.contains_key(name) || service.engine.pending_requests() > 0
        });
    }

    fn start(&self, health_path: String, service_count: usize) -> Option<Rc<ServiceEngine>> {
        let identity = IdentityRule { header: REQUEST_ID.as_str().to_owned(), required: true };
        let reuse = ReusePolicy::new(&Upstream { identity: Some(identity), ..Upstream::default() });
        let max_connections = (self.connections / service_count).max(16);
        let protocol = BackendProtocol {
            health_path,
            trace: self.trace.clone(),
            started_at: self.started_at,
            answer_counts: self.answer_counts.clone(),
        };
        let bounds = ConnectionLimits {
            max_connections,
            max_body: MAX_ANSWER,
            answer_timeout: ANSWER_TIMEOUT,
            memory: self.memory.clone(),
        };
        let backends = Backends::new(
            CONNECT_TIMEOUT,
            IDLE_TIMEOUT,
            LoadReportSource::None,
            reuse,
            Rc::new(protocol),
            bounds,
        );
        let seed = self.seed.get();
        self.seed.set(fennelscale_messages::mix(seed.wrapping_add(1)));
        let counters = None::<fn(Duration, Rc<CounterReplyHandler>) -> Rc<dyn CounterClient>>;
        let engine = match Engine::start(
            decision_input::engine_settings(&self.zone),
            seed,
            backends.clone(),
            counters,
        ) {
            Ok(engine) => engine,
            Err(error) => {
                tracing::error!(event = "engine", error = %error);
                return None;
            }
        };
        spawn(backends.clone().close_stale_connections());
        Some(Rc::new(ServiceEngine {
            engine,
            backends,
            classes: RefCell::default(),
            sequence: Cell::new(0),
            reported_counts: Cell::default(),
        }))
    }

    /// Calls `visit` with the name and the engine of each service.
    pub fn for_each(&self, mut visit: impl FnMut(&str, &ServiceEngine)) {
        for (name, service) in self.all.borrow().iter() {
            visit(name, service);
        }
    }

    /// Logs how many requests went to cold backends, to backends without parameters, and to reassigned
    /// addresses since the last call; logs nothing if there were none.
    pub fn report_unusual_sends(&self) {
        self.for_each(|name, service| {
            let counts = service.counts();
            let before = service.reported_counts.replace(counts);
            let cold = counts.sends.cold - before.sends.cold;
            let without_terms = counts.sends.without_parameters - before.sends.without_parameters;
            let misdirected = counts.misdirected - before.misdirected;
            if cold + without_terms + misdirected > 0 {
                let held = service.engine.queued();
                tracing::info!(
                    event = "unusual-sends",
                    service = name,
                    cold,
                    without_terms,
                    misdirected,
                    held
                );
            }
        });
    }
}

impl ServiceEngine {
    /// Counts of exchanges with backends that did not go as they should, since the start.
    pub fn exchange_counts(&self) -> ExchangeCounts {
        self.backends.exchange_counts()
    }

    /// The counts since the start.
    pub fn counts(&self) -> BackendCounts {
        BackendCounts {
            sends: self.engine.send_counts(),
            misdirected: self.engine.outcome_count(Outcome::Misdirected),
        }
    }

    fn update(&self, now: f64, state: &mut RoutingState, name: &str, (retry_ratio, retry_slack): (f64, f64)) {
        // Each engine has its own clock: it started at another moment, and the time of day may have jumped in
        // between.
        let clock_shift = self.engine.now() - now;
        let known = state.backends(now, name);
        let DecisionInput { hosts, event } =
            decision_input::build(&known, state.fleet_parameters(retry_ratio, retry_slack), clock_shift);
        self.sequence.set(self.sequence.get() + 1);
        // Connections are updated first, so that nothing is sent by an older list: choices of backends that
        // are gone are withdrawn.
        self.backends.update(&List { seq: self.sequence.get(), whole: true, hosts });
        self.engine.post(event);
    }

    /// The class of a route's requests of a priority; registers it with the decision module if it is new.
    pub fn class(&self, route: &Route, priority: u32) -> Name {
        let is_repeatable = route.kind == RouteKind::Idempotent;
        let (name, new) = self.classes.borrow_mut().class(is_repeatable, route.target_latency, priority);
        if let Some(class) = new {
            self.engine.post(Event::Class(class));
        }
        name
    }
}
