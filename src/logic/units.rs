//! Which units: blocks, the shared window count, and what is done in its silence. A turn is burst over rate:
//! the time in which a quota turns over once.

use super::*;

/// A block holds the demand of this share of a turn; one unused for as long goes back, so that others can use
/// it, and what is owed is told without a block once it is this share of the burst.
pub(super) const BLOCK_SHARE: f64 = 0.15;
/// A block takes at most this share of what is left, split over the customer's gateways, or an even part of
/// all that is left above this share of the burst: while there is plenty, blocks are large.
pub(super) const NEAR_SHARE: f64 = 0.5;
/// A block is renewed when less than this share of it is left.
pub(super) const RENEW_SHARE: f64 = 0.4;
/// A gateway's share of the use is told by about so many turns.
pub(super) const SHARE_TURNS: f64 = 2.0;
/// Demand is smoothed over this share of a turn.
pub(super) const DEMAND_SHARE: f64 = 0.5;
/// A plan without a rate is remembered as if its quota turned over in this many ms.
pub(super) const RATELESS_TURN: Millis = 1000.0;
/// A request waits for its block at most this share of its aim.
pub(super) const BLOCK_WAIT: f64 = 0.12;
/// Under a ceiling an unknown customer starts with this share of its burst (see `Customer::start_of`).
pub(super) const CEILING_START: f64 = 0.5;
/// The most calls out at once to one counter from one gateway while the counter is at ease.
pub(super) const CALLS_MOST: f64 = 12.0;
/// What goes back or is owed is told only while fewer than this share of them are out, and nobody waits.
pub(super) const TELL_SHARE: f64 = 0.5;
/// A customer is thin where its burst leaves each gateway less than this part of a unit: no blocks then.
pub(super) const THIN: f64 = 0.5;
/// What a thin customer's window grants at once, as a share of the burst; the rest comes with the rate.
pub(super) const THIN_START: f64 = 0.75;
/// How far a thin customer is over its quota is told by what the rate and this share of the burst grant ...
pub(super) const THIN_ODDS: f64 = 0.25;
/// ... and fades over this many turns.
pub(super) const THIN_FADE: f64 = 4.0;
/// Gateways that may talk tell of customers of whom less than this share fits, and again when it falls so.
pub(super) const THIN_NEWS: f64 = 0.7;
/// A customer idle for this many turns has a full store again: it and its count are forgotten at no loss.
pub(super) const IDLE_TURNS: f64 = 2.0;
/// No count and no word of a customer is kept for more than this many ms.
pub(super) const KEEP_MOST: Millis = 60_000.0;

/// One customer as this gateway knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Customer {
    pub(super) plan: usize,
    pub(super) spread: f64,
    pub(super) place: u32,
    pub(super) salt: u64,
    pub(super) window: u64,
    /// The counter that counts it in this window.
    pub(super) counter: usize,
    /// Units of the block in hand; they end with the window.
    pub(super) lease: f64,
    /// What this gateway has added to the window's count and what it heard of it, and its share of the use.
    pub(super) ledger: Ledger,
    pub(super) share: Share,
    /// What the customer's store holds by all totals heard; between them it fills at the rate.
    pub(super) store: f64,
    pub(super) store_at: Millis,
    pub(super) known: bool,
    pub(super) heard: Millis,
    /// Used but not yet added, or to be given back (negative).
    pub(super) owed: f64,
    /// The call out: its window, block, and what was owed.
    pub(super) call: Option<(u64, f64, f64)>,
    pub(super) waiting: VecDeque<RequestId>,
    pub(super) demand: f64,
    pub(super) demand_at: Millis,
    /// This gateway's own slice, spent while the counter is silent.
    pub(super) slice: Option<Slice>,
    pub(super) open: u32,
}

impl Customer {
    /// What an unknown customer's store is taken to hold. Under a ceiling (at least 1.6 times rate and burst
    /// by its plan) only half the burst: a gateway may come back to an emptied count while the others have
    /// just granted a full burst, and burst + half a burst + rate x time stays within the ceiling.
    pub(super) fn start_of(plan: &Plan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_START } else { plan.burst }
    }

    pub(super) fn turn(plan: &Plan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { RATELESS_TURN }
    }

    /// Whether the quota is too small for blocks at each gateway; chance decides then, but under no ceiling.
    pub(super) fn thin(&self, plan: &Plan) -> bool {
        plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < THIN * self.spread
    }

    /// The number of a window and when it began, staggered by hash: customers do not all renew at once.
    pub(super) fn window_at(&self, now: Millis, plan: &Plan) -> (u64, Millis) {
        let length = Self::turn(plan);
        let shift = (self.salt % 1024) as f64 / 1024.0 * length;
        let number = ((now + shift) / length).floor();
        (number as u64, number * length - shift)
    }

    /// Fills the store and moves to the present window: blocks end with theirs, unused.
    pub(super) fn roll(&mut self, now: Millis, plan: &Plan, partition: &Partition) {
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
    pub(super) fn demand_block(&self, plan: &Plan) -> f64 {
        let target = self.demand * Self::turn(plan) * BLOCK_SHARE;
        target.min(self.store * NEAR_SHARE / self.spread).floor()
    }

    /// The block wanted now: an even part while there is plenty (so the first is burst over gateways), else
    /// smoothed demand; near the total it falls to what waits.
    pub(super) fn block(&self, need: f64, plan: &Plan) -> f64 {
        let plenty = (self.store - plan.burst * NEAR_SHARE) / self.spread;
        let want =
            if self.known { self.demand_block(plan).max(plenty.ceil()) } else { plan.burst / self.spread };
        need.max(want.floor()).max(0.0)
    }

    /// The slice that this gateway may spend alone, begun now by what is known of the store.
    pub(super) fn own_slice(&self, units: f64, now: Millis, alone: &Alone, plan: &Plan) -> Slice {
        let terms = plan.terms(self.spread, units);
        let part = terms.part(&self.share, alone.loss);
        // A silence that ended before the last total was heard has been settled.
        let lost = if self.heard < alone.until { alone.lost } else { 0.0 };
        Slice::new(now, self.store, &terms, part, [lost, alone.running], units)
    }

    /// Spends from the own slice: the silence rule.
    pub(super) fn spend_slice(&mut self, units: f64, now: Millis, alone: &Alone, plan: &Plan) -> bool {
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
pub(super) struct Alone {
    pub(super) loss: Loss,
    pub(super) lost: Millis,
    pub(super) until: Millis,
    pub(super) running: Millis,
}

/// One counter: how it is, and the calls to it.
#[derive(Clone, Debug, Default)]
pub(super) struct Counter {
    pub(super) health: Health,
    pub(super) calls: BTreeMap<u64, Name>,
    /// Customers with requests that wait while all calls are out, by when the first has waited long enough.
    pub(super) line: BTreeSet<(u64, Name)>,
}

impl Counter {
    pub(super) fn calls_most(&self) -> f64 {
        (CALLS_MOST * self.health.ease.min(1.0)).max(1.0)
    }

    pub(super) fn is_full(&self) -> bool {
        self.calls.len() as f64 >= self.calls_most()
    }
}

impl Gateway {
    pub(super) fn set_counters(&mut self, partition: Partition) {
        let least = partition.addresses().len().max(self.counters.len());
        self.counters.resize_with(least, Counter::default);
        self.partition = partition;
    }

    pub(super) fn health(&self, counter: usize) -> Health {
        self.counters.get(counter).map(|c| c.health).unwrap_or_default()
    }

    pub(super) fn silent(&self, counter: usize) -> bool {
        !self.settings.counter || self.health(counter).silent(self.now, self.settings.counter_timeout)
    }

    /// The quota's gate: block in hand, else silence rule, else refusal once both are spent. True: it waits.
    pub(super) fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
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

    pub(super) fn wait_for_total(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.waiting.push_back(id);
        let until = request.arrived + self.settings.classes[request.class].target_latency * BLOCK_WAIT;
        self.hold(id, Stage::Block, until, out);
        true
    }

    /// The gate of a thin customer. Its count sums what is asked: a try is added by chance, as far as the
    /// counter bears, and weighs the more; without an add the odds last heard decide.
    pub(super) fn admit_thin(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
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
    pub(super) fn by_odds(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let chance = self.chance();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan];
        let usual = self.plan_odds[customer.plan][usize::from(request.repeat)];
        let pays = usual > (1.0 - usual) * (plan.over_quota_cost_share - plan.over_quota_value_share);
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
    pub(super) fn granted_thin(&mut self, name: &Name, mut asked: f64, block: f64, out: &mut Vec<Action>) {
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
        if self.settings.peer_messages && odds < THIN_NEWS && (odds < told * THIN_NEWS || now > at + turn) {
            let mut bytes = customer.salt.to_le_bytes();
            bytes[7] = (odds * 255.0) as u8;
            out.push(Action::Broadcast { bytes: bytes.to_vec() });
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

    pub(super) fn on_told(&mut self, bytes: &[u8]) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let odds = f64::from(std::mem::take(&mut bytes[7])) / 255.0;
        self.told.insert(u64::from_le_bytes(bytes), (odds, self.now));
    }

    pub(super) fn alone(&self, counter: usize) -> Alone {
        let (lost, until) = self.health(counter).lost(self.now);
        Alone { loss: self.settings.loss, lost, until, running: self.now - self.born }
    }

    /// A counter's address for the log, where there are several.
    pub(super) fn named(&self, counter: usize) -> String {
        self.partition.addresses().get(counter).map_or(String::new(), |address| format!(" {address}"))
    }

    pub(super) fn ease_of(&self, name: &Name) -> f64 {
        self.customers.get(name).map_or(1.0, |c| self.health(c.counter).ease)
    }

    /// Asks for those who wait, as far as calls are free: whose time is over first goes first.
    pub(super) fn ask_next(&mut self, counter: usize, out: &mut Vec<Action>) {
        while let Some(calls) = self.counters.get_mut(counter).filter(|c| !c.is_full()) {
            let Some((_, name)) = calls.line.pop_first() else { return };
            if self.customers.get(&name).is_some_and(|c| !c.waiting.is_empty()) {
                self.ask(&name, out);
            }
        }
    }

    /// Adds a block to the customer's count: one call out for each name, and a bound on all.
    pub(super) fn ask(&mut self, name: &Name, out: &mut Vec<Action>) {
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
        out.push(Action::AddToCounter { counter, key: count, amount, ttl: keep });
    }

    pub(super) fn on_counted(
        &mut self, count: u64, outcome: CountOutcome, latency: Millis, out: &mut Vec<Action>,
    ) {
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
    pub(super) fn granted(&mut self, name: &Name, counter: usize, total: f64, out: &mut Vec<Action>) {
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
    pub(super) fn missed(&mut self, name: &Name, may_have_counted: bool, soon: bool, out: &mut Vec<Action>) {
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
    pub(super) fn by_slice(&mut self, id: RequestId, out: &mut Vec<Action>) {
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
}
