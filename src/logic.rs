//! All decisions of a gateway. Its interface (settings, events, actions) is in `src/interface.rs`.
//!
//! A request passes three gates: its customer's quota (`Customer`, a lease cache on a shared window count),
//! its open cap, and a backend with room (`Backend`). What cannot pass yet waits a share of its aim.

mod view;

use crate::check::check;
use crate::hash::{hash, mix, unit};
use crate::interface::*;
use crate::mesh::{Mesh, RequestBound};
use fennelscale_quota::{Health, Heard, Ledger, Loss, Partition, Share, Slice};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

// ---- Quotas (a turn is burst over rate: the time in which a quota turns over once) ----
/// A block holds the demand of this share of a turn; one unused for as long goes back, so that others can use
/// it, and what is owed is told without a block once it is this share of the burst.
const BLOCK_SHARE: f64 = 0.15;
/// A block takes at most this share of what is left, split over the customer's gateways, or an even part of
/// all that is left above this share of the burst: while there is plenty, blocks are large.
const NEAR_SHARE: f64 = 0.5;
/// A block is renewed when less than this share of it is left.
const RENEW_SHARE: f64 = 0.4;
/// A gateway's share of the use is told by about so many turns.
const SHARE_TURNS: f64 = 2.0;
/// Demand is smoothed over this share of a turn.
const DEMAND_SHARE: f64 = 0.5;
/// A plan without a rate is remembered as if its quota turned over in this many ms.
const RATELESS_TURN: Millis = 1000.0;
/// A request waits for its block at most this share of its aim.
const BLOCK_WAIT: f64 = 0.12;
/// Under a ceiling an unknown customer starts with this share of its burst (see `Customer::start_of`).
const CEILING_START: f64 = 0.5;
/// The most calls out at once to one counter from one gateway while the counter is at ease.
const CALLS_MOST: f64 = 12.0;
/// What goes back or is owed is told only while fewer than this share of them are out, and nobody waits.
const TELL_SHARE: f64 = 0.5;
/// A customer is thin where its burst leaves each gateway less than this part of a unit: no blocks then.
const THIN: f64 = 0.5;
/// What a thin customer's window grants at once, as a share of the burst; the rest comes with the rate.
const THIN_START: f64 = 0.75;
/// How far a thin customer is over its quota is told by what the rate and this share of the burst grant ...
const THIN_ODDS: f64 = 0.25;
/// ... and fades over this many turns.
const THIN_FADE: f64 = 4.0;
/// Gateways that may talk tell of customers of whom less than this share fits, and again when it falls so.
const THIN_NEWS: f64 = 0.7;
/// A customer idle for this many turns has a full store again: it and its count are forgotten at no loss.
const IDLE_TURNS: f64 = 2.0;
/// No count and no word of a customer is kept for more than this many ms.
const KEEP_MOST: Millis = 60_000.0;

// ---- Requests ----
/// A request is held (for its open cap, for a backend with room) at most this share of its aim.
const HOLD_SHARE: f64 = 0.3;
/// An answer must leave this many ticks before the client's patience ends.
const LAST_TICKS: f64 = 2.0;
/// A safe request that may have run is tried this often at most: what two backends cannot do is costly.
const REPEAT_MOST: u32 = 2;

// ---- Backends ----
/// Weight of the newest answer in the share of late ones, and of the newest first total in a plan's odds.
const NEWEST: f64 = 0.1;
/// Weight of the newest latency in the usual latency of its class.
const USUAL_WEIGHT: f64 = 0.02;
/// A failure is a late answer if it took this many times the usual latency.
const LATE_LATENCIES: f64 = 4.0;
/// What all gateways together keep out at one backend at first; it then follows the latencies seen.
const ROOM_FIRST: f64 = 3.5;
/// Answers should come within this share of the aim; the rest is for the way, for holding, for bad luck.
const ROOM_SHARE: f64 = 0.6;
/// The share of answers that may come later than that: fewer and room grows, more and it shrinks.
const ROOM_LATE: f64 = 0.1;
/// By how much one answer moves room: a late one by nine tenths of this, one in time by a tenth.
const ROOM_STEP: f64 = 0.12;
/// The least room at one backend for one gateway: the sum over all backends still binds.
const ROOM_LEAST: f64 = 0.2;
/// Late answers beyond `ROOM_LATE` turn away this many times their share of the fresh requests, never all;
/// those let in without a total as if they were worth `BLIND_RANK` times less, while others have one.
const TAKE_SLOPE: f64 = 2.0;
const TAKE_LEAST: f64 = 0.05;
const BLIND_RANK: f64 = 40.0;
/// A backend that failed is tried again after this share of the cold time for each failure in a row ...
const EJECT_SHARE: f64 = 0.02;
/// ... and the log tells of it at this many.
const EJECT_TOLD: u32 = 2;
/// So many connections in a row may break under a request before that says something of the backend.
const BREAKS_FREE: u32 = 2;
/// A backend in another zone looks this much slower for each point of price: prices are small, so is this.
const ZONE_BIAS: f64 = 5.0;
/// Guards connection tables: one of many gateways has so many backends, others are `STRANGE` times further.
const OWN_BACKENDS: f64 = 5.0;
const STRANGE: f64 = 100.0;
/// A cold backend gets this part of its capacity's share of an even part of all sends. Warm ones are not sent
/// more than they can do, so all gateways together stay under the multiple that fells it.
const COLD_MULTIPLE: f64 = 0.8;
/// Time between housekeeping rounds, in ms: short beside any aim.
const SWEEP: Millis = 25.0;
const SWEEP_TOKEN: u64 = 1;
/// Each round looks after so many customers, or after this part of all: few are looked after each time, many
/// in turn.
const SWEEP_LEAST: usize = 256;
const SWEEP_PARTS: usize = 8;

#[derive(Clone, Debug, Default)]
struct Backend {
    zone: Name,
    cell: u64,
    ready: bool,
    gone: bool,
    started: Option<Millis>,
    out: u32,
    /// How many this gateway keeps out here at most.
    room: f64,
    failures: u32,
    told: bool,
    /// An answer has moved its room.
    heard: bool,
    eject_until: Millis,
}

impl Backend {
    /// Whether no answer has told anything of it.
    fn fresh(&self) -> bool {
        !self.heard
    }

    /// Bounds what is out so that most answers keep to their aim: room follows the share of late answers.
    /// Guards against overload of any cause; it needs no figure of the backend's size.
    fn note_latency(&mut self, late: bool, least: f64) {
        self.heard = true;
        let used = f64::from(self.out) + 1.0 >= self.room.floor();
        if late || used {
            let step = ROOM_STEP * (ROOM_LATE - f64::from(u8::from(late)));
            self.room = (self.room * (1.0 + step)).max(ROOM_LEAST.max(least));
        }
    }

    /// The share of its capacity that a backend surely has by now: it rises at least evenly.
    fn warmth(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = ((now - started) / settings.cold_time.max(1.0)).clamp(0.0, 1.0);
        settings.cold_share + (1.0 - settings.cold_share) * age
    }

    /// Guards against dead and stalled backends, which show in outcomes long before the list does: nothing
    /// is sent for as long again as the failure took, where calling off stops no work what was given
    /// up still has to be worked through, and longer with each failure in a row. A connection that breaks
    /// speaks of itself: kept ones go stale, the way resets them. Who died refuses the next one, which costs
    /// no request; so this also covers middleboxes and restarts. It could hurt where a backend takes each
    /// request and breaks: that spoils `BREAKS_FREE` more.
    fn failed(&mut self, now: Millis, end: &AttemptEnd, settings: &Settings) -> bool {
        self.failures += 1;
        let broken = end.outcome == Outcome::Broken;
        let counts = self.failures.saturating_sub(if broken { BREAKS_FREE } else { 0 });
        if counts > 0 {
            let share = EJECT_SHARE * f64::from(counts);
            self.eject_until = now + end.latency.max(settings.cold_time * share);
        }
        let told = counts >= EJECT_TOLD;
        told && !std::mem::replace(&mut self.told, told)
    }
}

/// One customer as this gateway knows it.
#[derive(Clone, Debug, Default)]
struct Customer {
    plan: usize,
    spread: f64,
    place: u32,
    salt: u64,
    window: u64,
    /// The counter that counts it in this window.
    counter: usize,
    /// Units of the block in hand; they end with the window.
    lease: f64,
    /// What this gateway has added to the window's count and what it heard of it, and its share of the use.
    ledger: Ledger,
    share: Share,
    /// What the customer's store holds by all totals heard; between them it fills at the rate.
    store: f64,
    store_at: Millis,
    known: bool,
    heard: Millis,
    /// Used but not yet added, or to be given back (negative).
    owed: f64,
    /// The call out: its window, block, and what was owed.
    call: Option<(u64, f64, f64)>,
    waiting: VecDeque<RequestId>,
    demand: f64,
    demand_at: Millis,
    /// This gateway's own slice, spent while the counter is silent.
    slice: Option<Slice>,
    open: u32,
}

impl Customer {
    /// What an unknown customer's store is taken to hold. Under a ceiling (at least 1.6 times rate and burst
    /// by its plan) only half the burst: a gateway may come back to an emptied count while the others have
    /// just granted a full burst, and burst + half a burst + rate x time stays within the ceiling.
    fn start_of(plan: &Plan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_START } else { plan.burst }
    }

    fn turn(plan: &Plan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { RATELESS_TURN }
    }

    /// Whether the quota is too small for blocks at each gateway; chance decides then, but under no ceiling.
    fn thin(&self, plan: &Plan) -> bool {
        plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < THIN * self.spread
    }

    /// The number of a window and when it began, staggered by hash: customers do not all renew at once.
    fn window_at(&self, now: Millis, plan: &Plan) -> (u64, Millis) {
        let length = Self::turn(plan);
        let shift = (self.salt % 1024) as f64 / 1024.0 * length;
        let number = ((now + shift) / length).floor();
        (number as u64, number * length - shift)
    }

    /// Fills the store and moves to the present window: blocks end with theirs, unused.
    fn roll(&mut self, now: Millis, plan: &Plan, partition: &Partition) {
        self.store = (self.store + plan.rate * (now - self.store_at) / 1000.0).min(plan.burst);
        self.store_at = now;
        let (window, begins) = self.window_at(now, plan);
        if window != self.window {
            self.counter = partition.owner(self.salt, begins);
            self.store = (self.store + self.lease).min(plan.burst);
            (self.window, self.lease, self.ledger) = (window, 0.0, Ledger::default());
            // What goes back of an ended window would make the new count look as if it had forgotten.
            self.owed = if plan.ceiling_rate > 0.0 { self.owed.max(0.0) } else { self.owed };
        }
    }

    /// The smoothed demand of a short while, as far as an even part of what is left allows.
    fn demand_block(&self, plan: &Plan) -> f64 {
        let target = self.demand * Self::turn(plan) * BLOCK_SHARE;
        target.min(self.store * NEAR_SHARE / self.spread).floor()
    }

    /// The block wanted now: an even part while there is plenty (so the first is burst over gateways), else
    /// smoothed demand; near the total it falls to what waits.
    fn block(&self, need: f64, plan: &Plan) -> f64 {
        let plenty = (self.store - plan.burst * NEAR_SHARE) / self.spread;
        let want =
            if self.known { self.demand_block(plan).max(plenty.ceil()) } else { plan.burst / self.spread };
        need.max(want.floor()).max(0.0)
    }

    /// The slice that this gateway may spend alone, begun now by what is known of the store.
    fn own_slice(&self, units: f64, now: Millis, alone: &Alone, plan: &Plan) -> Slice {
        let terms = plan.terms(self.spread, units);
        let part = terms.part(&self.share, alone.loss);
        // A silence that ended before the last total was heard has been settled.
        let lost = if self.heard < alone.until { alone.lost } else { 0.0 };
        Slice::new(now, self.store, &terms, part, [lost, alone.running], units)
    }

    /// Spends from the own slice: the silence rule.
    fn spend_slice(&mut self, units: f64, now: Millis, alone: &Alone, plan: &Plan) -> bool {
        let mut slice = self.slice.unwrap_or_else(|| self.own_slice(units, now, alone, plan));
        let fits = slice.spend(now, units);
        let used = if fits { units } else { 0.0 };
        (self.owed, self.store) = (self.owed + used, self.store - used);
        self.slice = Some(slice);
        fits
    }
}

/// How a gateway stands alone: the losses it is made for, how long the counter was silent and until when, and
/// how long it has run.
struct Alone {
    loss: Loss,
    lost: Millis,
    until: Millis,
    running: Millis,
}

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
    may_have_run: Option<(Millis, Name, u64)>, // since when, in which zone and cell
    bound: Option<Arc<RequestBound>>,
    sent_at: Millis,
}

/// One counter: how it is, and the calls to it.
#[derive(Clone, Debug, Default)]
struct Counter {
    health: Health,
    calls: BTreeMap<u64, Name>,
    /// Customers with requests that wait while all calls are out, by when the first has waited long enough.
    line: BTreeSet<(u64, Name)>,
}

impl Counter {
    fn calls_most(&self) -> f64 {
        (CALLS_MOST * self.health.ease.min(1.0)).max(1.0)
    }

    fn is_full(&self) -> bool {
        self.calls.len() as f64 >= self.calls_most()
    }
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
            Event::ClientLeft { id } => match self.requests.get_mut(&id) {
                // The end of what is out still tells whether its units were used.
                Some(request) if request.stage == Stage::Out => request.stage = Stage::Left,
                _ => self.forget(id),
            },
            Event::Timer { token: SWEEP_TOKEN } => self.on_sweep(out),
            Event::Timer { token } => self.on_hold_over(token / 2, out),
            Event::Mesh(terms, backends) => {
                self.mesh.told(self.now, terms, backends);
                // A backend without an answer yet has the room that its slots give.
                for (name, backend) in &mut self.backends {
                    let room = self.mesh.room(name).filter(|_| backend.fresh());
                    backend.room = room.unwrap_or(backend.room);
                }
                self.drain_queue(out);
            }
            Event::Class(class) => self.on_class(class),
            Event::Ending => self.ending = true,
            Event::Counters(partition) => self.set_counters(partition),
            Event::Counted { name, outcome, latency } => self.on_counted(name, outcome, latency, out),
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

    /// Whether each gateway sees too little of a backend: choice goes by chance and by all answers together.
    fn many(&self) -> bool {
        ROOM_FIRST < ROOM_LEAST * f64::from(self.settings.gateways)
    }

    /// Guards a large fleet against overload: the more answers are late, the fewer fresh requests are taken.
    fn take(&self) -> f64 {
        (1.0 - TAKE_SLOPE * (self.late - ROOM_LATE)).clamp(TAKE_LEAST, 1.0)
    }

    fn taken(&mut self, class: usize, blind: bool) -> bool {
        self.late *= 1.0 - NEWEST * NEWEST;
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|c| c.worth).sum::<f64>() / classes.len() as f64;
        let rank = mean / classes[class].worth.max(1e-9) * if blind { BLIND_RANK } else { 1.0 };
        let share = self.take().powf(rank);
        !self.many() || self.chance() < share
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }

    // ---- The list of backends ----

    fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            self.backends.values_mut().for_each(|b| (b.ready, b.gone) = (false, true));
        }
        for entry in list {
            let (ready, gone) = (entry.state == BackendState::Ready, entry.state == BackendState::Gone);
            let known = self.backends.get_mut(&entry.name);
            let out = known.as_ref().map_or(0, |b| b.out);
            if let Some(known) = known.filter(|b| b.started == entry.started) {
                (known.ready, known.gone) = (ready, gone);
                continue;
            }
            let room = ROOM_FIRST / f64::from(self.settings.gateways);
            let BackendEntry { name, zone, cell, started, .. } = entry;
            self.backends
                .insert(name, Backend { zone, cell, ready, gone, started, out, room, ..Default::default() });
        }
        self.drain_queue(out);
    }

    // ---- Requests ----

    fn on_request(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival { id, customer: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(Action::Refuse { id, retry_after: 0.0 });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let (arrived, deadline) = (now, now + arrival.patience);
        let (customer, repeat, bound) = (name.clone(), arrival.repeat, arrival.bound);
        let rest = Request { bound, ..Request::default() };
        self.requests.insert(id, Request { customer, plan, class, units, repeat, arrived, deadline, ..rest });
        self.mesh.came();
        let customer = self.customers.entry(name.clone()).or_insert_with(|| {
            let (salt, store) = (hash(&name) >> 8, Customer::start_of(&self.settings.plans[plan]));
            Customer { plan, salt, store, store_at: now, demand_at: now, ..Customer::default() }
        });
        let gateways = self.settings.gateways;
        customer.spread = f64::from(arrival.spread.clamp(1, gateways));
        customer.place = (self.settings.number + gateways - arrival.first % gateways) % gateways;
        let span = Customer::turn(&self.settings.plans[plan]) * DEMAND_SHARE;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit(id, out) {
            self.ask(&name, out);
        }
    }

    fn set_counters(&mut self, partition: Partition) {
        let least = partition.addresses().len().max(self.counters.len());
        self.counters.resize_with(least, Counter::default);
        self.partition = partition;
    }

    fn health(&self, counter: usize) -> Health {
        self.counters.get(counter).map(|c| c.health).unwrap_or_default()
    }

    fn silent(&self, counter: usize) -> bool {
        !self.settings.counter || self.health(counter).silent(self.now, self.settings.counter_timeout)
    }

    /// The quota's gate: block in hand, else silence rule, else refusal once both are spent. True: it waits.
    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return false };
        let (name, units) = (request.customer.clone(), request.units);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        customer.roll(now, &self.settings.plans[customer.plan], &self.partition);
        let counter = customer.counter;
        let silent = self.silent(counter);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        let plan = &self.settings.plans[customer.plan];
        let left = customer.store + customer.lease;
        if plan.rate <= 0.0 {
            self.place(id, out);
        } else if customer.thin(plan) {
            return self.admit_thin(id, out);
        } else if customer.waiting.is_empty() && customer.lease >= units {
            customer.lease -= units;
            let target = customer.demand_block(plan);
            if !silent && target >= 1.0 && customer.lease < target * RENEW_SHARE {
                self.ask(&name, out);
            }
            self.place(id, out);
        } else if silent {
            self.by_slice(id, out);
            let idle = self.counters.get(counter).is_some_and(|c| c.calls.is_empty());
            if idle && self.chance() < self.health(counter).ease {
                self.ask(&name, out);
            }
        } else if customer.known && left < units {
            self.over_quota(id, units - left, plan.rate, out);
        } else {
            return self.wait_for_total(id, out);
        }
        false
    }

    fn wait_for_total(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.waiting.push_back(id);
        let until = request.arrived + self.settings.classes[request.class].aim * BLOCK_WAIT;
        self.hold(id, Stage::Block, until, out);
        true
    }

    /// The gate of a thin customer. Its count sums what is asked: a try is added by chance, as far as the
    /// counter bears, and weighs the more; without an add the odds last heard decide.
    fn admit_thin(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chance = self.chance();
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return false };
        let ease = self.health(customer.counter).ease;
        let wanted = if request.repeat { ease - 1.0 } else { ease };
        let calls = self.settings.counter && chance < wanted;
        if calls && customer.call.is_none() {
            return self.wait_for_total(id, out);
        }
        self.by_odds(id, out);
        false
    }

    /// Decides for a thin customer's try without a total: by the odds last heard, fading to its plan's. Of
    /// an unknown customer all is let in while that gains more than it costs.
    fn by_odds(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let chance = self.chance();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan];
        let usual = self.plan_odds[customer.plan][usize::from(request.repeat)];
        let pays = usual > (1.0 - usual) * (plan.over_cost - plan.over_worth);
        let usual = if pays { 1.0 } else { usual };
        let (odds, at) = self.told.get(&customer.salt).copied().unwrap_or_default();
        let age = (self.now - at) / Customer::turn(plan);
        if chance < usual + (-age / THIN_FADE).exp() * (odds - usual) {
            self.requests.entry(id).and_modify(|r| r.blind = true);
            return self.place(id, out);
        }
        self.over_quota(id, request.units, plan.rate, out);
    }

    /// A thin customer's total came: what is asked fits as far as the window has granted by now.
    fn granted_thin(&mut self, name: &Name, mut asked: f64, block: f64, out: &mut Vec<Action>) {
        let (now, ease) = (self.now, self.ease_of(name));
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        let (rate, turn) = (plan.rate, Customer::turn(plan));
        let since = rate * (now - customer.window_at(now, plan).1) / 1000.0;
        // A try that weighs more than itself stands for others by chance: one such is let by.
        let luck = (block - block * ease.min(1.0)).max(0.0);
        let granted = (plan.burst * THIN_START + since).min(plan.burst) + luck;
        let even = (plan.burst * THIN_ODDS + since + luck) / (asked + block);
        let odds = if asked + block > granted { even.min(1.0) } else { 1.0 };
        let (told, at) = self.told.insert(customer.salt, (odds, now)).unwrap_or((1.0, f64::NEG_INFINITY));
        if self.settings.peers && odds < THIN_NEWS && (odds < told * THIN_NEWS || now > at + turn) {
            let mut bytes = customer.salt.to_le_bytes();
            bytes[7] = (odds * 255.0) as u8;
            out.push(Action::Tell { bytes: bytes.to_vec() });
        }
        let waiting = std::mem::take(&mut customer.waiting);
        if !std::mem::replace(&mut customer.known, true) {
            let repeat = waiting.iter().any(|id| self.requests.get(id).is_some_and(|r| r.repeat));
            let usual = &mut self.plan_odds[customer.plan][usize::from(repeat)];
            *usual += NEWEST * (f64::from(u8::from(asked < granted)) - *usual);
        }
        for id in waiting {
            asked += self.requests.get(&id).filter(|r| !r.repeat).map_or(0.0, |r| r.units);
            let over = asked - granted;
            if over <= 0.0 { self.place(id, out) } else { self.over_quota(id, over, rate, out) }
        }
    }

    fn on_told(&mut self, bytes: &[u8]) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let odds = f64::from(std::mem::take(&mut bytes[7])) / 255.0;
        self.told.insert(u64::from_le_bytes(bytes), (odds, self.now));
    }

    fn over_quota(&mut self, id: RequestId, short: f64, rate: f64, out: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.chance());
        self.refuse(id, wait, out);
    }

    fn hold(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.hold_until = until.min(request.deadline - LAST_TICKS * self.settings.tick);
        let after = (request.hold_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Sends a request on, or has it wait in line, those worth more first; no line outgrows what is out.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queue;
        let (fresh, class, blind) = (request.attempts == 0, request.class, request.blind);
        // Nobody has a total while the counter is silent: to be without one says nothing then.
        let counter = blind.then(|| self.customers.get(&request.customer).map_or(0, |c| c.counter));
        let blind = counter.is_some_and(|counter| !self.silent(counter));
        if fresh && !self.taken(class, blind) {
            return self.give_up(id, out);
        }
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let hold = self.settings.classes[request.class].aim * HOLD_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.room().max(1.0) {
            return self.give_up(id, out);
        }
        let worth = |r: &Request| self.settings.classes[r.class].worth;
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.hold(id, Stage::Queue, until, out);
    }

    fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queue) && !self.dispatch(id, out) {
                self.queue.push_back(id);
            }
        }
    }

    fn on_hold_over(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let over = self.now + 1e-6 >= request.hold_until;
        match request.stage {
            Stage::Queue if over => self.give_up(id, out),
            Stage::Block if over => self.by_slice(id, out),
            _ => {}
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is harmless.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let harmless = request.may_have_run.is_none()
            || class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.group == Group::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.longest_advice * (0.3 + 0.4 * self.chance());
            self.refuse(id, wait, out);
        } else {
            self.forget(id);
            out.push(Action::Fail { id });
        }
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        self.forget(id);
        out.push(Action::Refuse { id, retry_after: wait.clamp(0.0, self.settings.longest_advice) });
    }

    /// Units of a request that surely never ran go back to its customer's block.
    fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::Block => customer.waiting.retain(|w| *w != id),
            _ if request.may_have_run.is_none() => customer.lease += request.units,
            _ => {}
        }
    }

    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chosen = if self.open_allowed(id) { self.pick(id) } else { None };
        let Some(name) = chosen else { return false };
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return false };
        let class = &self.settings.classes[request.class];
        let keyed = request.may_have_run.as_ref().filter(|_| class.effect == Effect::Keyed);
        let write_by = keyed.map(|(at, ..)| at + class.memory - LAST_TICKS * self.settings.tick - self.now);
        // Guards keyed requests that waited in line, and through the host those whose connection is late.
        if write_by.is_some_and(|left| left <= 0.0) {
            return false;
        }
        backend.out += 1;
        self.mesh.sent(&name, self.now, request.attempts > 0);
        self.customers.get_mut(&request.customer).into_iter().for_each(|c| c.open += 1);
        (request.stage, request.sent_at, request.attempts) = (Stage::Out, self.now, request.attempts + 1);
        out.push(Action::Send { id, backend: name, timeout: None, write_by });
        true
    }

    /// The open cap, shared evenly: the gateways first in the customer's set take what does not divide.
    fn open_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let cap = self.settings.plans[request.plan].open;
        let (spread, place) = (customer.spread as u32, customer.place);
        cap == 0 || customer.open < (cap / spread + u32::from(place < cap % spread)).max(1)
    }

    fn room(&self) -> f64 {
        self.backends.values().filter(|b| b.ready).map(|b| b.room).sum()
    }

    /// The backend that should answer first: the one with the fewest requests of this gateway, near if equal.
    fn pick(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let tied = request.may_have_run.as_ref().filter(|_| class.effect == Effect::Keyed);
        let bound = request.bound.as_deref();
        let bytes = bound.map_or(0, |b| b.bytes);
        let out: f64 = self.backends.values().map(|b| f64::from(b.out)).sum();
        if out >= self.room().max(1.0) {
            return None;
        }
        let ready = self.backends.values().filter(|b| b.ready).count().max(1) as f64;
        let (salt, own) = (self.random, mix(u64::from(self.settings.number) + 1));
        let far = 1.0 + self.settings.price_cross_zone * ZONE_BIAS;
        let (many, cold_share) = (self.many(), COLD_MULTIPLE * self.take());
        let mut best: Option<(f64, &Name)> = None;
        for (name, backend) in &self.backends {
            let (group, zone, cell) = (class.group, &backend.zone, backend.cell);
            let same =
                |home: &(_, Name, u64)| if group == Group::Zone { home.1 == *zone } else { home.2 == cell };
            let in_group = group == Group::All || tied.is_none_or(same);
            let full = f64::from(backend.out) >= backend.room.ceil();
            let luck = unit(salt ^ hash(name));
            let warmth = backend.warmth(self.now, &self.settings);
            // Guards cold backends with no agreement: by chance their share of an even part, from the start.
            let cold = warmth < 1.0 && luck * ready >= warmth * cold_share;
            let barred = bound.is_some_and(|b| !b.cells.is_empty() && !b.cells.contains(&cell));
            if !backend.ready || !in_group || full || cold || barred || self.now < backend.eject_until {
                continue;
            }
            let expected = self.mesh.score(name, backend.out, self.now, luck, bytes);
            if expected == Some(None) {
                continue;
            }
            // Among many, a draw by weight: no two gateways follow the same order.
            let draw = if many { -luck.max(1e-12).ln() } else { 1.0 + 0.1 * luck };
            let far = if *zone == self.settings.zone { 1.0 } else { far };
            let own = unit(hash(name) ^ own) * ready < OWN_BACKENDS;
            let far = if own || !many { far } else { far * STRANGE };
            let alike = if warmth < 1.0 { 0.0 } else { (1.0 + f64::from(backend.out)) * far * draw };
            let score = expected.flatten().unwrap_or(alike);
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, name));
            }
        }
        let chosen = best.map(|(_, name)| name.clone());
        self.chance();
        chosen
    }

    fn on_backend(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.out = backend.out.saturating_sub(1);
        // Of a request that is forgotten neither class nor aim is known; who left proves nothing.
        let request = self.requests.get(&end.id).filter(|r| r.stage != Stage::Left);
        let Some(class) = request.map(|r| r.class) else { return };
        let usual = &mut self.class_latency[class];
        let late = match end.outcome {
            Outcome::Served => {
                if std::mem::take(&mut backend.told) {
                    out.push(Action::Log(format!("backend {name} back: it answers again")));
                }
                backend.failures = 0;
                self.mesh.served(name, latency);
                *usual = if *usual == 0.0 { latency } else { *usual + USUAL_WEIGHT * (latency - *usual) };
                latency > self.settings.classes[class].aim * ROOM_SHARE
            }
            Outcome::Error | Outcome::NeverSent | Outcome::CalledOff => return,
            Outcome::Full => true,
            // A client with little time left proves nothing of the fleet.
            _ => latency > *usual * LATE_LATENCIES,
        };
        backend.note_latency(late, self.mesh.least_room(name));
        self.late += NEWEST * (f64::from(u8::from(late)) - self.late);
        let lost = end.outcome != Outcome::Served;
        if lost && backend.failed(now, end, &self.settings) {
            out.push(Action::Log(format!("backend {name} ejected: {EJECT_TOLD} failures in a row")));
        }
    }

    fn on_attempt(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.true_units.filter(|_| outcome == Outcome::Served) {
            customer.owed += true_units - request.units;
            customer.store -= true_units - request.units;
        }
        customer.open = customer.open.saturating_sub(1);
        let left = std::mem::replace(&mut request.stage, Stage::Queue) == Stage::Left;
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        if !never_ran && request.may_have_run.is_none() {
            let home = self.backends.get(&end.backend).map(|b| (request.sent_at, b.zone.clone(), b.cell));
            request.may_have_run = home.or(Some((request.sent_at, Name::default(), u64::MAX)));
        }
        if left || end.finished || outcome == Outcome::Served {
            return self.forget(id);
        }
        if self.may_try_again(id) { self.place(id, out) } else { self.give_up(id, out) }
    }

    fn may_try_again(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (class, last) = (&self.settings.classes[request.class], LAST_TICKS * self.settings.tick);
        let allowed = match (&request.may_have_run, class.effect) {
            (None, _) => true,
            (_, Effect::Safe) => request.attempts < REPEAT_MOST,
            (Some((sent, ..)), Effect::Keyed) => self.now - sent < class.memory - last,
            (Some(_), Effect::Unsafe) => false,
        };
        let most = request.bound.as_ref().map_or(0, |b| b.most_attempts);
        let most = if most > 0 { most } else { self.settings.most_attempts };
        let in_budget = request.attempts == 0 || self.mesh.may_repeat();
        allowed && in_budget && request.deadline - self.now > last && request.attempts < most
    }

    // ---- The counter ----

    fn alone(&self, counter: usize) -> Alone {
        let (lost, until) = self.health(counter).lost(self.now);
        Alone { loss: self.settings.loss, lost, until, running: self.now - self.born }
    }

    /// A counter's address for the log, where there are several.
    fn named(&self, counter: usize) -> String {
        self.partition.addresses().get(counter).map_or(String::new(), |address| format!(" {address}"))
    }

    fn ease_of(&self, name: &Name) -> f64 {
        self.customers.get(name).map_or(1.0, |c| self.health(c.counter).ease)
    }

    /// Asks for those who wait, as far as calls are free: whose time is over first goes first.
    fn ask_next(&mut self, counter: usize, out: &mut Vec<Action>) {
        while let Some(calls) = self.counters.get_mut(counter).filter(|c| !c.is_full()) {
            let Some((_, name)) = calls.line.pop_first() else { return };
            if self.customers.get(&name).is_some_and(|c| !c.waiting.is_empty()) {
                self.ask(&name, out);
            }
        }
    }

    /// Adds a block to the customer's count: one call out for each name, and a bound on all.
    fn ask(&mut self, name: &Name, out: &mut Vec<Action>) {
        let (now, timeout) = (self.now, self.settings.counter_timeout);
        let Some(customer) = self.customers.get_mut(name) else { return };
        if customer.call.is_some() || !self.settings.counter {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        customer.roll(now, plan, &self.partition);
        let Some(counter) = self.counters.get_mut(customer.counter) else { return };
        if counter.is_full() {
            // Who waits has the next call that is free; a renewal is asked for again with the next request.
            let first = customer.waiting.front().and_then(|id| self.requests.get(id));
            counter.line.extend(first.map(|r| (r.hold_until.max(0.0).to_bits(), name.clone())));
            return;
        }
        let silent = counter.health.silent(now, timeout);
        let waiting = customer.waiting.iter().filter_map(|id| self.requests.get(id));
        let block = if silent {
            // Whether it is back is asked with nothing: what may have been added would be lost to all.
            0.0
        } else if customer.thin(plan) {
            let first: f64 = waiting.filter(|r| !r.repeat).map(|r| r.units).sum();
            first / counter.health.ease.min(1.0)
        } else {
            let need: f64 = waiting.map(|r| r.units).sum();
            let need = need.min(customer.store.max(1.0));
            let block = if self.ending { need } else { customer.block(need, plan) };
            (block - customer.lease).max(0.0)
        };
        let owed = if silent { 0.0 } else { std::mem::take(&mut customer.owed) };
        // What was used in a silence is told as far as it has not come in again since.
        let aged = customer.slice.filter(|_| customer.heard < counter.health.back_at);
        let owed = aged.map_or(owed, |slice| slice.still_owed(now, owed));
        let count = mix(customer.salt ^ customer.window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1;
        customer.call = Some((customer.window, block, owed));
        counter.calls.insert(count, name.clone());
        let keep = (Customer::turn(plan) * IDLE_TURNS).min(KEEP_MOST);
        let (counter, amount) = (customer.counter, block + owed);
        out.push(Action::Count { counter, name: count, amount, keep });
    }

    fn on_counted(&mut self, count: u64, outcome: CountOutcome, latency: Millis, out: &mut Vec<Action>) {
        let (now, timeout) = (self.now, self.settings.counter_timeout);
        let called = |(at, c): (usize, &mut Counter)| c.calls.remove(&count).map(|name| (at, name));
        let Some((at, name)) = self.counters.iter_mut().enumerate().find_map(called) else { return };
        let health = &mut self.counters[at].health;
        if let CountOutcome::Total(total) = outcome {
            if health.answered(now, latency, timeout) {
                out.push(Action::Log(format!("counter{} back", self.named(at))));
            }
            self.granted(&name, at, total, out);
        } else {
            let unknown = outcome == CountOutcome::Unknown;
            let missed = health.missed(now, latency, timeout, unknown);
            if missed.silent {
                let which = self.named(at);
                out.push(Action::Log(format!("counter{which} silent: spending blocks and slices")));
            }
            self.missed(&name, unknown, missed.soon, out);
        }
        self.ask_next(at, out);
    }

    /// A total came: learn the store from it, keep what fits, give the rest back, serve who waits.
    fn granted(&mut self, name: &Name, counter: usize, total: f64, out: &mut Vec<Action>) {
        let (now, alone, health) = (self.now, self.alone(counter), self.health(counter));
        let Some(customer) = self.customers.get_mut(name) else { return };
        let Some((window, block, owed)) = customer.call.take() else { return };
        let plan = &self.settings.plans[customer.plan];
        if customer.thin(plan) {
            return self.granted_thin(name, total - block - owed, block, out);
        }
        customer.roll(now, plan, &self.partition);
        let slice = customer.slice.take();
        let aged = slice.filter(|_| customer.heard < health.back_at);
        customer.owed = aged.map_or(customer.owed, |slice| slice.still_owed(now, customer.owed));
        if plan.ceiling_rate > 0.0 && customer.known && customer.heard < health.back_at {
            // Guards against a counter that comes back empty: what others spent in the silence is told
            // nowhere. Only the own slice is sure to be left, and others may go on with theirs for a while.
            let slice = slice.unwrap_or_else(|| customer.own_slice(0.0, now, &alone, plan));
            let others = (plan.rate - slice.rate).max(0.0) * health.returning(now) / 1000.0;
            customer.store = customer.store.min(slice.held_at(now) - others);
        }
        customer.heard = now;
        if window == customer.window {
            // What the slice let in while the call was out is paid from the block: it was added.
            let paid = customer.owed.clamp(0.0, block);
            (customer.owed, customer.store) = (customer.owed - paid, customer.store + paid);
            let span = Customer::turn(plan) * SHARE_TURNS;
            match customer.ledger.heard(block + owed, total, plan.ceiling_rate <= 0.0) {
                _ if !customer.known => {
                    customer.share.note(now, block + owed, total, span);
                    // The counter is just back: its total may not know of what others spent.
                    let fresh = now - health.back_at < Customer::turn(plan) * IDLE_TURNS;
                    let young = plan.ceiling_rate > 0.0 && health.back_at > 0.0 && fresh;
                    let most =
                        if young { customer.own_slice(0.0, now, &alone, plan).most } else { f64::INFINITY };
                    customer.store = Customer::start_of(plan).min(most) - total;
                    customer.known = true;
                }
                Heard::Grew { by, found } => {
                    customer.share.note(now, block + owed, by, span);
                    customer.store = (customer.store - (by - owed)).min(plan.burst);
                    customer.lease += found;
                }
                Heard::Forgot { missing } => {
                    // Guards against an emptied count: what is held is told again, lest new blocks stack
                    // on it, and what else is known of others' use may be as old.
                    customer.owed += missing;
                    customer.store -= block;
                    if plan.ceiling_rate > 0.0 {
                        self.counters[counter].health.forgot(now);
                    }
                }
            }
            customer.lease += block - paid;
            if customer.store < 0.0 {
                let back = customer.lease.min((-customer.store).ceil()).min(block);
                customer.lease -= back;
                customer.owed -= back;
                customer.store += back;
            }
        }
        let waiting = std::mem::take(&mut customer.waiting);
        let give_back = customer.owed <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit(*id, out)).count();
        if wait > 0 || give_back {
            self.ask(name, out);
        }
    }

    /// No answer: the silence rule decides for who waits, and a block that may have counted is let go until a
    /// total shows it.
    fn missed(&mut self, name: &Name, may_have_counted: bool, soon: bool, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (window, block, owed) = customer.call.take().unwrap_or_default();
        customer.owed += if may_have_counted { owed.max(0.0) } else { owed };
        if may_have_counted && window == customer.window {
            customer.ledger.lost(block, owed);
        }
        if soon && !customer.waiting.is_empty() {
            // The answer was spoilt or its connection broke, and there is time left to ask again.
            return self.ask(name, out);
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.by_slice(id, out);
        }
    }

    /// The silence rule for one request: the even slice or refusal.
    fn by_slice(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(counter) = self.customers.get(&request.customer).map(|c| c.counter) else { return };
        let alone = self.alone(counter);
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[request.plan];
        customer.waiting.retain(|w| *w != id);
        if customer.thin(plan) {
            return self.by_odds(id, out);
        }
        customer.roll(self.now, plan, &self.partition);
        if customer.spend_slice(request.units, self.now, &alone, plan) {
            return self.place(id, out);
        }
        let slice = customer.slice.unwrap_or_default();
        let (short, rate) = (request.units - slice.held, slice.rate);
        self.over_quota(id, short, rate, out);
    }

    // ---- Housekeeping ----

    fn on_sweep(&mut self, out: &mut Vec<Action>) {
        let after = if self.settings.sweep > 0.0 { self.settings.sweep } else { SWEEP };
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
