//! All decisions of a gateway. Its interface (settings, events, actions) is in `src/interface.rs`.
//!
//! Split by concern: `units` (which units), `backend` (which backend), `again` (which retry), `refusal`
//! (which refusal); here is what joins them. A request passes three gates: its customer's quota (`Customer`,
//! a lease cache on a shared window count), its open cap, and a backend with room (`Backend`). What cannot
//! pass yet waits a share of its aim.

mod again;
mod backend;
mod refusal;
mod units;
mod view;

use crate::check::check;
use crate::hash::{hash, mix, unit};
use crate::interface::*;
use crate::topology::{BackendParameters, FleetParameters, Mesh, RequestConstraints};
use fennelscale_quota::{Health, Heard, Ledger, Loss, Partition, Share, Slice};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use again::LAST_TICKS;
use backend::{Backend, NEWEST};
use units::{BLOCK_SHARE, Counter, Customer, DEMAND_SHARE, IDLE_TURNS, KEEP_MOST, NEAR_SHARE, TELL_SHARE};

/// Time between housekeeping rounds, in ms: short beside any aim.
const SWEEP: Millis = 25.0;
const SWEEP_TOKEN: u64 = 1;
/// Each round looks after so many customers, or after this part of all: few are looked after each time, many
/// in turn.
const SWEEP_LEAST: usize = 256;
const SWEEP_PARTS: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Stage {
    #[default]
    Block,
    Queue,
    Out,
    Left,
}

#[derive(Clone, Debug, Default)]
struct Request {
    customer: Name,
    plan: usize,
    class: usize,
    units: f64,
    /// Let in without a total of its customer; the client has asked for the same before.
    blind: bool,
    repeat: bool,
    arrived: Millis,
    deadline: Millis,
    hold_until: Millis,
    stage: Stage,
    attempts: u32,
    /// A backend that it was sent to had gone, and another had its address.
    misdirected: bool,
    may_have_run: Option<(Millis, Name, u64)>, // since when, in which zone and cell
    bound: Option<Arc<RequestConstraints>>,
    sent_at: Millis,
}

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Clone, Debug, Default)]
pub struct Gateway {
    settings: Arc<Settings>,
    random: u64,
    now: Millis,
    /// When the first event came.
    born: Millis,
    backends: BTreeMap<Name, Backend>,
    mesh: Mesh,
    customers: BTreeMap<Name, Customer>,
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    partition: Partition,
    counters: Vec<Counter>,
    /// The customer looked after last, if not all are in each round.
    swept: Option<Name>,
    /// The share of first totals with room left, for each plan: of first tries, and of clients' repeats.
    plan_odds: Vec<[f64; 2]>,
    /// Of thin customers: the share of tries that fits and when that was heard, here or by another gateway.
    told: BTreeMap<u64, (f64, Millis)>,
    class_latency: Vec<f64>,
    late: f64,
    sweeping: bool,
    /// No requests come any more: blocks in hand go back, as others can use them.
    ending: bool,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let class_latency = vec![0.0; settings.classes.len()];
        let plan_odds = vec![[1.0, 0.0]; settings.plans.len()];
        let settings = Arc::new(settings);
        Ok(Self {
            settings,
            random: mix(seed | 1),
            counters: vec![Counter::default()],
            plan_odds,
            class_latency,
            ..Self::default()
        })
    }

    /// Takes one event at a time and appends what the host is to do.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.sweeping, true) {
            self.born = self.now;
            out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
            if self.settings.list_on_request {
                out.push(Action::WatchBackends);
            }
        }
        match event {
            Event::BackendList(list) => self.on_list(list, true, out),
            Event::BackendChanges(list) => self.on_list(list, false, out),
            Event::BackendListFailed => out.push(Action::WatchBackends),
            Event::Request(arrival) => self.on_request(arrival, out),
            Event::AttemptEnded(end) => {
                self.on_backend(&end, out);
                self.on_attempt(end, out);
                self.drain_queue(out);
            }
            Event::ClientDisconnected { id } => match self.requests.get_mut(&id) {
                // The end of what is out still tells whether its units were used.
                Some(request) if request.stage == Stage::Out => request.stage = Stage::Left,
                _ => self.forget(id),
            },
            Event::Timer { token: SWEEP_TOKEN } => self.on_sweep(out),
            Event::Timer { token } => self.on_hold_over(token / 2, out),
            Event::Topology(terms, backends) => self.on_mesh(terms, backends, out),
            Event::Class(class) => self.on_class(class),
            Event::ShuttingDown => self.ending = true,
            Event::CounterPartition(partition) => self.set_counters(partition),
            Event::CounterReply { key: name, outcome, latency } => {
                self.on_counted(name, outcome, latency, out)
            }
            Event::PeerMessage { bytes, .. } => self.on_told(&bytes),
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

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }

    fn on_request(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival { id, customer: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(Action::Refuse { id, retry_after: 0.0 });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let (arrived, deadline) = (now, now + arrival.client_timeout);
        let (customer, repeat, bound) = (name.clone(), arrival.is_retry, arrival.constraints);
        let rest = Request { bound, ..Request::default() };
        self.requests.insert(id, Request { customer, plan, class, units, repeat, arrived, deadline, ..rest });
        self.mesh.came();
        let customer = self.customers.entry(name.clone()).or_insert_with(|| {
            let (salt, store) = (hash(&name) >> 8, Customer::start_of(&self.settings.plans[plan]));
            Customer { plan, salt, store, store_at: now, demand_at: now, ..Customer::default() }
        });
        let gateways = self.settings.gateways;
        customer.spread = f64::from(arrival.gateway_count.clamp(1, gateways));
        customer.place =
            (self.settings.gateway_index + gateways - arrival.first_gateway % gateways) % gateways;
        let span = Customer::turn(&self.settings.plans[plan]) * DEMAND_SHARE;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit(id, out) {
            self.ask(&name, out);
        }
    }

    fn on_sweep(&mut self, out: &mut Vec<Action>) {
        let after = if self.settings.housekeeping_interval > 0.0 {
            self.settings.housekeeping_interval
        } else {
            SWEEP
        };
        out.push(Action::SetTimer { after, token: SWEEP_TOKEN });
        let now = self.now;
        let (mut asking, mut idle) = (Vec::new(), Vec::new());
        let (plans, ending) = (&self.settings.plans, self.ending);
        self.told.retain(|_, (_, at)| now - *at < KEEP_MOST);
        // Guards the memory, and each choice, against a fleet that is replaced all day.
        self.backends.retain(|_, backend| !backend.gone || backend.out > 0);
        // Guards the processor against customers seen once by the hundred thousand.
        let all = self.customers.len();
        let part = if ending { all } else { SWEEP_LEAST.max(all / SWEEP_PARTS) };
        let after = self.swept.take().filter(|_| part < all).map_or(Bound::Unbounded, Bound::Excluded);
        let mut last = None;
        for (name, customer) in self.customers.range_mut((after, Bound::Unbounded)).take(part) {
            let plan = &plans[customer.plan];
            let (rests, turn) = (now - customer.demand_at, Customer::turn(plan));
            customer.roll(now, plan, &self.partition);
            // One that only this gateway serves has no other who could use what goes back.
            let scarce = customer.store < plan.burst * NEAR_SHARE && customer.spread > 1.0;
            if (scarce && rests > turn * BLOCK_SHARE || ending) && customer.lease >= 1.0 {
                let lease = std::mem::take(&mut customer.lease);
                (customer.owed, customer.store) = (customer.owed - lease, customer.store + lease);
            }
            let least = if ending { 1.0 } else { (plan.burst * BLOCK_SHARE).max(1.0) };
            let owes = !customer.thin(plan) && customer.owed.abs() >= least;
            let waits = !customer.waiting.is_empty();
            if customer.call.is_none() && (owes || waits) {
                asking.push((!waits, name.clone()));
            }
            if customer.call.is_none() && customer.open == 0 && !waits && rests >= turn * IDLE_TURNS {
                idle.push(name.clone());
            }
            last = Some(name.clone());
        }
        self.swept = last.filter(|_| part < all);
        idle.iter().for_each(|name| drop(self.customers.remove(name)));
        // Those who wait go before what goes back.
        asking.sort();
        for (tells, name) in asking {
            let Some(counter) = self.customers.get(&name).map(|c| c.counter) else { continue };
            let Some(calls) = self.counters.get(counter).filter(|_| !self.silent(counter)) else { continue };
            let room = (calls.calls.len() as f64) < calls.calls_most() * TELL_SHARE && calls.line.is_empty();
            if !tells || room || ending {
                self.ask(&name, out);
            }
        }
        self.probe(out);
        self.drain_queue(out);
    }

    /// Asks each silent counter whether it is back, for any customer of it.
    fn probe(&mut self, out: &mut Vec<Action>) {
        let (now, timeout) = (self.now, self.settings.counter_timeout);
        for at in 0..self.counters.len() {
            let counter = &mut self.counters[at];
            let asks = self.settings.counter && counter.calls.is_empty();
            if asks && counter.health.silent(now, timeout) && counter.health.probe(now) {
                let name = self.customers.iter().find(|(_, c)| c.counter == at && c.call.is_none());
                let name = name.map(|(name, _)| name.clone());
                name.iter().for_each(|name| self.ask(name, out));
            }
        }
    }
}
