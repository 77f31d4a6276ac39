//! All decisions of a gateway. Its interface (settings, events, actions) is in `src/interface.rs`.
//!
//! The submodules cover quotas (`quota`), the choice of a backend (`backend`), retries (`retry`), and the
//! queue and final answers (`refusal`); this module connects them. A request passes three checks: the quota
//! of its customer (`Customer`, which caches leases on a shared count per window), the concurrency cap, and a
//! backend below its limit (`Backend`). A request that cannot pass yet waits for a share of its target
//! latency.

mod backend;
mod quota;
mod refusal;
mod retry;
mod view;

use crate::hash::{hash, mix, unit};
use crate::interface::*;
use crate::topology::{BackendParameters, FleetParameters, RequestConstraints, Topology};
use crate::validate::validate;
use fennelscale_quota::{CounterHealth, Ledger, LocalBucket, Loss, Partition, TotalChange, UsageShare};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use backend::{Backend, NEWEST_WEIGHT};
use quota::{Counter, Customer, DEMAND_SPAN, IDLE_REFILLS, LEASE_SHARE, MAX_TTL, RETURN_SHARE, SCARCE_SHARE};
use retry::MARGIN_TICKS;

/// Default time between housekeeping rounds, in ms: short compared to any target latency.
const HOUSEKEEPING_INTERVAL: Millis = 25.0;
const HOUSEKEEPING_TOKEN: u64 = 1;
/// Each housekeeping round visits `MIN_VISITS` customers or one in `VISIT_ROUNDS` of all, whichever is more:
/// a few are all visited each time, many in turn.
const MIN_VISITS: usize = 256;
const VISIT_ROUNDS: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Stage {
    #[default]
    AwaitingLease,
    Queued,
    InFlight,
    Abandoned,
}

#[derive(Clone, Debug, Default)]
struct Request {
    customer: Name,
    plan: usize,
    class: usize,
    units: f64,
    /// Admitted without a counter total of its customer.
    without_total: bool,
    is_retry: bool,
    arrived: Millis,
    deadline: Millis,
    wait_until: Millis,
    stage: Stage,
    attempts: u32,
    /// It was sent to a backend whose address now belongs to another.
    misdirected: bool,
    may_have_run: Option<(Millis, Name, u64)>, // send time, zone and cell of the first such attempt
    constraints: Option<Arc<RequestConstraints>>,
    sent_at: Millis,
}

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Clone, Debug, Default)]
pub struct Gateway {
    settings: Arc<Settings>,
    random: u64,
    now: Millis,
    /// The time of the first event.
    started_at: Millis,
    backends: BTreeMap<Name, Backend>,
    topology: Topology,
    customers: BTreeMap<Name, Customer>,
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    partition: Partition,
    counters: Vec<Counter>,
    /// The customer visited last, if a housekeeping round does not visit all.
    last_visited: Option<Name>,
    /// Per plan, the share of first totals below the quota: for first requests and for client retries.
    plan_probability: Vec<[f64; 2]>,
    /// Per sampled customer, the admission probability and when it was learned, here or from another gateway.
    probabilities: BTreeMap<u64, (f64, Millis)>,
    class_latency: Vec<f64>,
    late_share: f64,
    started: bool,
    /// No more requests arrive: leases are returned so that other gateways can use them.
    shutting_down: bool,
}

impl Gateway {
    /// Creates a gateway that knows only its settings.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let class_latency = vec![0.0; settings.classes.len()];
        let plan_probability = vec![[1.0, 0.0]; settings.plans.len()];
        let settings = Arc::new(settings);
        Ok(Self {
            settings,
            random: mix(seed | 1),
            counters: vec![Counter::default()],
            plan_probability,
            class_latency,
            ..Self::default()
        })
    }

    /// Handles one event and appends the actions that the host is to carry out.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.started, true) {
            self.started_at = self.now;
            actions.push(Action::SetTimer { after: HOUSEKEEPING_INTERVAL, token: HOUSEKEEPING_TOKEN });
            if self.settings.list_on_request {
                actions.push(Action::WatchBackends);
            }
        }
        match event {
            Event::BackendList(list) => self.on_backend_list(list, true, actions),
            Event::BackendChanges(list) => self.on_backend_list(list, false, actions),
            Event::BackendListFailed => actions.push(Action::WatchBackends),
            Event::Request(arrival) => self.on_request(arrival, actions),
            Event::AttemptEnded(end) => {
                self.on_backend_result(&end, actions);
                self.on_attempt_ended(end, actions);
                self.drain_queue(actions);
            }
            Event::ClientDisconnected { id } => match self.requests.get_mut(&id) {
                // The end of the attempt in flight still shows whether its units were used.
                Some(request) if request.stage == Stage::InFlight => request.stage = Stage::Abandoned,
                _ => self.remove_request(id),
            },
            Event::Timer { token: HOUSEKEEPING_TOKEN } => self.on_housekeeping(actions),
            Event::Timer { token } => self.on_wait_timer(token / 2, actions),
            Event::Topology(fleet, backends) => self.on_topology(fleet, backends, actions),
            Event::Class(class) => self.on_class(class),
            Event::ShuttingDown => self.shutting_down = true,
            Event::CounterPartition(partition) => self.set_counters(partition),
            Event::CounterReply { key, outcome, latency } => {
                self.on_counter_reply(key, outcome, latency, actions)
            }
            Event::PeerMessage { bytes, .. } => self.on_peer_message(&bytes),
            Event::StreamStarted { .. } | Event::ProbeEnded { .. } => {}
        }
    }

    fn on_class(&mut self, class: Class) {
        let settings = Arc::make_mut(&mut self.settings);
        match settings.classes.iter_mut().find(|c| c.name == class.name) {
            Some(known) => *known = class,
            None => {
                settings.classes.push(class);
                self.class_latency.push(0.0);
            }
        }
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }

    fn on_request(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        let Arrival { id, customer: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return actions.push(Action::Refuse { id, retry_after: 0.0 });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let (arrived, deadline) = (now, now + arrival.client_timeout);
        let (customer, is_retry, constraints) = (name.clone(), arrival.is_retry, arrival.constraints);
        let rest = Request { constraints, ..Request::default() };
        self.requests
            .insert(id, Request { customer, plan, class, units, is_retry, arrived, deadline, ..rest });
        self.topology.record_arrival();
        let customer = self.customers.entry(name.clone()).or_insert_with(|| {
            let (salt, balance) = (hash(&name) >> 8, Customer::initial_balance(&self.settings.plans[plan]));
            Customer { plan, salt, balance, balance_at: now, demand_at: now, ..Customer::default() }
        });
        let gateways = self.settings.gateways;
        customer.gateway_count = f64::from(arrival.gateway_count.clamp(1, gateways));
        customer.position =
            (self.settings.gateway_index + gateways - arrival.first_gateway % gateways) % gateways;
        let span = Customer::refill_time(&self.settings.plans[plan]) * DEMAND_SPAN;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit(id, actions) {
            self.call_counter(&name, actions);
        }
    }

    fn on_housekeeping(&mut self, actions: &mut Vec<Action>) {
        let after = if self.settings.housekeeping_interval > 0.0 {
            self.settings.housekeeping_interval
        } else {
            HOUSEKEEPING_INTERVAL
        };
        actions.push(Action::SetTimer { after, token: HOUSEKEEPING_TOKEN });
        let now = self.now;
        let (mut calling, mut idle) = (Vec::new(), Vec::new());
        let (plans, shutting_down) = (&self.settings.plans, self.shutting_down);
        self.probabilities.retain(|_, (_, at)| now - *at < MAX_TTL);
        // Bounds memory and the cost of each choice while backends are constantly replaced.
        self.backends.retain(|_, backend| !backend.gone || backend.in_flight > 0);
        // Bounds the CPU time per round with hundreds of thousands of customers that are seen once.
        let all = self.customers.len();
        let batch = if shutting_down { all } else { MIN_VISITS.max(all / VISIT_ROUNDS) };
        let after =
            self.last_visited.take().filter(|_| batch < all).map_or(Bound::Unbounded, Bound::Excluded);
        let mut last = None;
        for (name, customer) in self.customers.range_mut((after, Bound::Unbounded)).take(batch) {
            let plan = &plans[customer.plan];
            let (idle_time, refill_time) = (now - customer.demand_at, Customer::refill_time(plan));
            customer.advance(now, plan, &self.partition);
            // With a single gateway, no other could use what is returned.
            let scarce = customer.balance < plan.burst * SCARCE_SHARE && customer.gateway_count > 1.0;
            if (scarce && idle_time > refill_time * LEASE_SHARE || shutting_down) && customer.lease >= 1.0 {
                let lease = std::mem::take(&mut customer.lease);
                (customer.owed, customer.balance) = (customer.owed - lease, customer.balance + lease);
            }
            let minimum = if shutting_down { 1.0 } else { (plan.burst * LEASE_SHARE).max(1.0) };
            let owes = !customer.is_sampled(plan) && customer.owed.abs() >= minimum;
            let waits = !customer.waiting.is_empty();
            if customer.call.is_none() && (owes || waits) {
                calling.push((!waits, name.clone()));
            }
            if customer.call.is_none()
                && customer.in_flight == 0
                && !waits
                && idle_time >= refill_time * IDLE_REFILLS
            {
                idle.push(name.clone());
            }
            last = Some(name.clone());
        }
        self.last_visited = last.filter(|_| batch < all);
        idle.iter().for_each(|name| drop(self.customers.remove(name)));
        // Waiting requests go before returned units.
        calling.sort();
        for (returns, name) in calling {
            let Some(counter) = self.customers.get(&name).map(|c| c.counter) else { continue };
            let Some(state) = self.counters.get(counter).filter(|_| !self.is_silent(counter)) else {
                continue;
            };
            let has_capacity =
                (state.calls.len() as f64) < state.max_calls() * RETURN_SHARE && state.waiting.is_empty();
            if !returns || has_capacity || shutting_down {
                self.call_counter(&name, actions);
            }
        }
        self.probe_counters(actions);
        self.drain_queue(actions);
    }

    /// Probes each silent counter with a call for any of its customers.
    fn probe_counters(&mut self, actions: &mut Vec<Action>) {
        let (now, timeout) = (self.now, self.settings.counter_timeout);
        for at in 0..self.counters.len() {
            let counter = &mut self.counters[at];
            let asks = self.settings.counter && counter.calls.is_empty();
            if asks && counter.health.is_silent(now, timeout) && counter.health.probe_due(now) {
                let name = self.customers.iter().find(|(_, c)| c.counter == at && c.call.is_none());
                let name = name.map(|(name, _)| name.clone());
                name.iter().for_each(|name| self.call_counter(name, actions));
            }
        }
    }
}
