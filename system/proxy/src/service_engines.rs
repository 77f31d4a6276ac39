//! One engine for each service: the decision module with its backends, told what is known of them.

use crate::backend_protocol::{Mesh, REQUEST_ID};
use crate::decision_input::{self, DEFAULT_CLASS, DecisionInput};
use crate::request_trace::Trail;
use crate::routing_state::RoutingState;
use doorcourse::{Class, DedupScope, Event, LoadReportSource, Name, Outcome, RetrySafety, SendCounts};
use fennelscale_config::{Route, RouteKind};
use fennelscale_dataplane::back::backends::{Backends, Bounds};
use fennelscale_dataplane::engine::{Counting, Engine, Report};
use fennelscale_dataplane::task::spawn;
use fennelscale_settings::list::List;
use fennelscale_settings::upstream::{IdentityRule, Upstream};
use fennelscale_wire::reuse::Reuse;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection to a backend comes up within this: there and back between regions, and a lost packet's time.
const CONNECT: Duration = Duration::from_millis(700);
/// An answer that has begun is whole within this.
const ANSWER: Duration = Duration::from_millis(1500);
/// The largest answer.
const LARGEST: usize = 16 << 20;
/// Classes of one engine. Routes differ in few aims; more than this share the last.
const CLASSES: usize = 256;
/// The idle time after which backends close, as long as none says otherwise; half of it is used.
const IDLE: Duration = Duration::from_secs(8);

/// One service.
pub struct Service {
    /// Its decisions.
    pub engine: Rc<Engine>,
    backends: Rc<Backends>,
    classes: RefCell<HashSet<String>>,
    seq: Cell<u64>,
    reported: Cell<BackendFigures>,
}

/// What a service's backends were sent, as far as it is out of the ordinary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendFigures {
    /// Requests sent, by what was known of the backend.
    pub sends: SendCounts,
    /// Answers that said that another backend listens at the address (421).
    pub misdirected: u64,
}

/// All services.
pub struct Services {
    all: RefCell<BTreeMap<String, Rc<Service>>>,
    zone: Name,
    connections: usize,
    retry: (f64, f64),
    seed: Cell<u64>,
    trail: Rc<RefCell<Trail>>,
    born: Instant,
}

impl Services {
    /// None yet; `connections` to backends may be open at once, over all services.
    /// What becomes of requests is noted in `trail`, whose clock began at `born`.
    pub fn new(
        zone: &str, connections: usize, retry: (f64, f64), seed: u64, trail: Rc<RefCell<Trail>>,
        born: Instant,
    ) -> Self {
        let seed = Cell::new(seed);
        Self { all: RefCell::default(), zone: zone.into(), connections, retry, seed, trail, born }
    }

    /// A service, if it is known.
    pub fn get(&self, name: &str) -> Option<Rc<Service>> {
        self.all.borrow().get(name).cloned()
    }

    /// Requests that wait for their answers.
    pub fn waiting(&self) -> usize {
        self.all.borrow().values().map(|service| service.engine.waiting()).sum()
    }

    /// Backends that may have something of this proxy's at work.
    pub fn working(&self) -> BTreeSet<String> {
        let all = self.all.borrow();
        all.values().flat_map(|service| service.backends.working()).map(|name| name.to_string()).collect()
    }

    /// Tells all decisions what is known now, by the proxy's clock.
    pub fn tell(&self, now: f64, held: &mut RoutingState) {
        let names: Vec<String> = held.table.services.keys().cloned().collect();
        let parts = names.len().max(1);
        for name in names {
            let known = self.get(&name);
            let service = match known {
                Some(service) => service,
                None => {
                    let health =
                        held.table.services.get(&name).map_or("/health".into(), |s| s.health_path.clone());
                    let Some(service) = self.start(health, parts) else { continue };
                    self.all.borrow_mut().insert(name.clone(), service.clone());
                    service
                }
            };
            service.tell(now, held, &name, self.retry);
        }
        // A service that was dropped has no routes any more; its last requests end with what is known.
        self.all
            .borrow_mut()
            .retain(|name, service| held.table.services.contains_key(name) || service.engine.waiting() > 0);
    }

    fn start(&self, health: String, parts: usize) -> Option<Rc<Service>> {
        let identity = IdentityRule { header: REQUEST_ID.as_str().to_owned(), required: true };
        let reuse = Reuse::new(&Upstream { identity: Some(identity), ..Upstream::default() });
        let most_open = (self.connections / parts).max(16);
        let mesh = Mesh { health, trail: self.trail.clone(), born: self.born };
        let bounds = Bounds { most_open, largest_body: LARGEST, answer: ANSWER };
        let backends = Backends::new(CONNECT, IDLE, LoadReportSource::None, reuse, Rc::new(mesh), bounds);
        let seed = self.seed.get();
        self.seed.set(fennelscale_messages::mix(seed.wrapping_add(1)));
        let counters = None::<fn(Duration, Rc<Report>) -> Rc<dyn Counting>>;
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
        spawn(backends.clone().keep_tidy());
        Some(Rc::new(Service {
            engine,
            backends,
            classes: RefCell::default(),
            seq: Cell::new(0),
            reported: Cell::default(),
        }))
    }

    /// Calls `visit` with each service and its name.
    pub fn each(&self, mut visit: impl FnMut(&str, &Service)) {
        for (name, service) in self.all.borrow().iter() {
            visit(name, service);
        }
    }

    /// Logs what was sent to cold backends, to backends without terms, and to addresses that have changed hands since this was
    /// called last; nothing where there was none of it.
    pub fn report_unusual_sends(&self) {
        self.each(|name, service| {
            let figures = service.figures();
            let before = service.reported.replace(figures);
            let cold = figures.sends.cold - before.sends.cold;
            let without_terms = figures.sends.without_parameters - before.sends.without_parameters;
            let misdirected = figures.misdirected - before.misdirected;
            if cold + without_terms + misdirected > 0 {
                let held = service.engine.held();
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

impl Service {
    /// What its backends were sent so far.
    pub fn figures(&self) -> BackendFigures {
        BackendFigures { sends: self.engine.sends(), misdirected: self.engine.ended_as(Outcome::Misdirected) }
    }

    fn tell(&self, now: f64, held: &mut RoutingState, name: &str, (ratio, slack): (f64, f64)) {
        // Each engine has a clock of its own: it began at another moment, and the time of day may have jumped between.
        let shift = self.engine.now() - now;
        let known = held.backends(now, name);
        let DecisionInput { hosts, event } =
            decision_input::build(&known, held.fleet_parameters(ratio, slack), shift);
        self.seq.set(self.seq.get() + 1);
        // Connections first, so that nothing is sent by an older list: what was chosen by one that names others is withdrawn.
        self.backends.update(&List { seq: self.seq.get(), whole: true, hosts });
        self.engine.post(event);
    }

    /// The class of a route's requests under a priority, made known to the decisions.
    pub fn class(&self, route: &Route, priority: u32) -> Name {
        let kind = match route.kind {
            RouteKind::Idempotent => 's',
            RouteKind::NonIdempotent | RouteKind::Upload => 'u',
        };
        let name = format!("{kind}{}-{priority}", route.target_latency);
        let mut classes = self.classes.borrow_mut();
        if classes.contains(&name) {
            return name.as_str().into();
        }
        if classes.len() >= CLASSES {
            return DEFAULT_CLASS.into();
        }
        let effect = if kind == 's' { RetrySafety::Safe } else { RetrySafety::Unsafe };
        // A rank is all that is told; each step halves what a request counts in line.
        let worth = 0.5_f64.powi(priority.min(16) as i32);
        let class = Class {
            name: name.as_str().into(),
            target_latency: route.target_latency,
            retry_safety: effect,
            dedup_scope: DedupScope::All,
            dedup_window: 0.0,
            value: worth,
            late_value_share: 0.5,
        };
        classes.insert(name.clone());
        self.engine.post(Event::Class(class));
        name.as_str().into()
    }
}
