//! Quotas: leases on the shared count of a window, and what happens while the counter is silent. The refill
//! time is burst over rate, the time in which a quota refills completely; it is also the length of a window.

use super::*;

/// A lease covers the demand of this share of the refill time; one unused for as long is returned for others
/// to use. Owed units are reported without a lease once they reach this share of the burst.
pub(super) const LEASE_SHARE: f64 = 0.15;
/// A lease takes at most this share of the balance, split over the customer's gateways, or an even part of
/// the balance above this share of the burst: while there is plenty, leases are large.
pub(super) const SCARCE_SHARE: f64 = 0.5;
/// A lease is renewed when less than this share of it is left.
pub(super) const RENEW_SHARE: f64 = 0.4;
/// A gateway's share of the use is averaged over about this many refill times.
pub(super) const SHARE_REFILLS: f64 = 2.0;
/// Demand is smoothed over this share of the refill time.
pub(super) const DEMAND_SPAN: f64 = 0.5;
/// The refill time, in ms, that is assumed for a plan without a rate.
pub(super) const RATELESS_REFILL: Millis = 1000.0;
/// Maximum wait of a request for a lease, as a share of its target latency.
pub(super) const LEASE_WAIT_SHARE: f64 = 0.12;
/// Under a ceiling an unknown customer starts with this share of its burst (see `Customer::initial_balance`).
pub(super) const CEILING_INITIAL: f64 = 0.5;
/// Maximum calls in flight from one gateway to one counter that answers quickly.
pub(super) const MAX_CALLS: f64 = 12.0;
/// Returned and owed units are reported only while less than this share of the calls is in flight and no
/// request waits.
pub(super) const RETURN_SHARE: f64 = 0.5;
/// A customer is sampled, without leases, if its burst leaves each gateway less than this part of a unit.
pub(super) const SAMPLED_BELOW: f64 = 0.5;
/// Share of the burst that the window of a sampled customer grants at its start; the rest accrues with the
/// rate.
pub(super) const SAMPLED_INITIAL: f64 = 0.75;
/// The admission probability of a sampled customer over its quota follows from the rate and this share of the
/// burst ...
pub(super) const SAMPLED_ALLOWANCE: f64 = 0.25;
/// ... and decays over this many refill times.
pub(super) const SAMPLED_DECAY: f64 = 4.0;
/// Gateways with peer messages broadcast an admission probability below this, and again when it falls by this
/// factor.
pub(super) const SAMPLED_NEWS: f64 = 0.7;
/// A customer idle for this many refill times has its full balance again, so it and its count can be dropped.
pub(super) const IDLE_REFILLS: f64 = 2.0;
/// Maximum time, in ms, that a count or a peer message about a customer is kept.
pub(super) const MAX_TTL: Millis = 60_000.0;

/// This gateway's state of one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct Customer {
    pub(super) plan: usize,
    pub(super) gateway_count: f64,
    pub(super) position: u32,
    pub(super) salt: u64,
    pub(super) window: u64,
    /// The counter that holds its count in this window.
    pub(super) counter: usize,
    /// Units of the lease that are left; they expire with the window.
    pub(super) lease: f64,
    /// What this gateway added to the window's count and the totals it received, and its share of the use.
    pub(super) ledger: Ledger,
    pub(super) share: UsageShare,
    /// Units left of the quota by the totals received; between them it refills at the rate.
    pub(super) balance: f64,
    pub(super) balance_at: Millis,
    pub(super) has_total: bool,
    pub(super) last_total_at: Millis,
    /// Units used but not yet added to the count, or to be returned (negative).
    pub(super) owed: f64,
    /// The call in flight: its window, the requested lease, and the owed units.
    pub(super) call: Option<(u64, f64, f64)>,
    pub(super) waiting: VecDeque<RequestId>,
    pub(super) demand: f64,
    pub(super) demand_at: Millis,
    /// This gateway's own slice, spent while the counter is silent.
    pub(super) slice: Option<LocalBucket>,
    pub(super) in_flight: u32,
}

impl Customer {
    /// The assumed balance of an unknown customer. Under a ceiling (at least 1.6 times rate and burst by its
    /// plan) it is half the burst: a gateway may restart to an emptied count while the others have just
    /// granted a full burst, and burst + half a burst + rate x time stays within the ceiling.
    pub(super) fn initial_balance(plan: &Plan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_INITIAL } else { plan.burst }
    }

    pub(super) fn refill_time(plan: &Plan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { RATELESS_REFILL }
    }

    /// Whether the quota is too small for a lease at each gateway, so that admission is random; never under a
    /// ceiling.
    pub(super) fn is_sampled(&self, plan: &Plan) -> bool {
        plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < SAMPLED_BELOW * self.gateway_count
    }

    /// The number of a window and its start, staggered by hash so that customers do not all renew at once.
    pub(super) fn window_at(&self, now: Millis, plan: &Plan) -> (u64, Millis) {
        let length = Self::refill_time(plan);
        let shift = (self.salt % 1024) as f64 / 1024.0 * length;
        let number = ((now + shift) / length).floor();
        (number as u64, number * length - shift)
    }

    /// Refills the balance and moves to the current window; an unused lease expires with its window.
    pub(super) fn advance(&mut self, now: Millis, plan: &Plan, partition: &Partition) {
        self.balance = (self.balance + plan.rate * (now - self.balance_at) / 1000.0).min(plan.burst);
        self.balance_at = now;
        let (window, begins) = self.window_at(now, plan);
        if window != self.window {
            self.counter = partition.owner(self.salt, begins);
            self.balance = (self.balance + self.lease).min(plan.burst);
            (self.window, self.lease, self.ledger) = (window, 0.0, Ledger::default());
            // Units returned from an ended window would make the new count look as if it had lost data.
            self.owed = if plan.ceiling_rate > 0.0 { self.owed.max(0.0) } else { self.owed };
        }
    }

    /// The lease for the smoothed demand of a short time, limited to an even part of the balance.
    pub(super) fn demand_lease(&self, plan: &Plan) -> f64 {
        let target = self.demand * Self::refill_time(plan) * LEASE_SHARE;
        target.min(self.balance * SCARCE_SHARE / self.gateway_count).floor()
    }

    /// The lease wanted now: an even part while there is plenty (so the first is burst over gateways), else
    /// the smoothed demand; near the quota it falls to what waiting requests need.
    pub(super) fn lease_size(&self, need: f64, plan: &Plan) -> f64 {
        let plenty = (self.balance - plan.burst * SCARCE_SHARE) / self.gateway_count;
        let want = if self.has_total {
            self.demand_lease(plan).max(plenty.ceil())
        } else {
            plan.burst / self.gateway_count
        };
        need.max(want.floor()).max(0.0)
    }

    /// A slice that this gateway may spend alone, starting now from the known balance.
    pub(super) fn new_slice(&self, units: f64, now: Millis, silence: &Silence, plan: &Plan) -> LocalBucket {
        let terms = plan.terms(self.gateway_count, units);
        let part = terms.local_share(&self.share, silence.loss);
        // A silence that ended before the last total is already accounted for.
        let lost = if self.last_total_at < silence.ended_at { silence.duration } else { 0.0 };
        LocalBucket::new(now, self.balance, &terms, part, [lost, silence.uptime], units)
    }

    /// Spends from the slice, which is the rule while the counter is silent.
    pub(super) fn spend_slice(&mut self, units: f64, now: Millis, silence: &Silence, plan: &Plan) -> bool {
        let mut slice = self.slice.unwrap_or_else(|| self.new_slice(units, now, silence, plan));
        let fits = slice.try_spend(now, units);
        let used = if fits { units } else { 0.0 };
        (self.owed, self.balance) = (self.owed + used, self.balance - used);
        self.slice = Some(slice);
        fits
    }
}

/// What limits a gateway without its counter: the losses to allow for, the duration and end of the silence,
/// and the uptime of the gateway.
pub(super) struct Silence {
    pub(super) loss: Loss,
    pub(super) duration: Millis,
    pub(super) ended_at: Millis,
    pub(super) uptime: Millis,
}

/// One counter: its health and the calls to it.
#[derive(Clone, Debug, Default)]
pub(super) struct Counter {
    pub(super) health: CounterHealth,
    pub(super) calls: BTreeMap<u64, Name>,
    /// Customers whose requests wait for a free call, by the deadline of the first request.
    pub(super) waiting: BTreeSet<(u64, Name)>,
}

impl Counter {
    pub(super) fn max_calls(&self) -> f64 {
        (MAX_CALLS * self.health.call_share.min(1.0)).max(1.0)
    }

    pub(super) fn is_full(&self) -> bool {
        self.calls.len() as f64 >= self.max_calls()
    }
}

impl Gateway {
    pub(super) fn set_counters(&mut self, partition: Partition) {
        let count = partition.addresses().len().max(self.counters.len());
        self.counters.resize_with(count, Counter::default);
        self.partition = partition;
    }

    pub(super) fn health(&self, counter: usize) -> CounterHealth {
        self.counters.get(counter).map(|c| c.health).unwrap_or_default()
    }

    pub(super) fn is_silent(&self, counter: usize) -> bool {
        !self.settings.counter || self.health(counter).is_silent(self.now, self.settings.counter_timeout)
    }

    /// The quota check: pay from the lease, else from the slice in a silence, else refuse. Returns true if
    /// the request waits for a total.
    pub(super) fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return false };
        let (name, units) = (request.customer.clone(), request.units);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        customer.advance(now, &self.settings.plans[customer.plan], &self.partition);
        let counter = customer.counter;
        let silent = self.is_silent(counter);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        let plan = &self.settings.plans[customer.plan];
        let left = customer.balance + customer.lease;
        if plan.rate <= 0.0 {
            self.send_or_queue(id, actions);
        } else if customer.is_sampled(plan) {
            return self.admit_sampled(id, actions);
        } else if customer.waiting.is_empty() && customer.lease >= units {
            customer.lease -= units;
            let target = customer.demand_lease(plan);
            if !silent && target >= 1.0 && customer.lease < target * RENEW_SHARE {
                self.call_counter(&name, actions);
            }
            self.send_or_queue(id, actions);
        } else if silent {
            self.admit_by_slice(id, actions);
            let idle = self.counters.get(counter).is_some_and(|c| c.calls.is_empty());
            if idle && self.random() < self.health(counter).call_share {
                self.call_counter(&name, actions);
            }
        } else if customer.has_total && left < units {
            self.refuse_over_quota(id, units - left, plan.rate, actions);
        } else {
            return self.wait_for_total(id, actions);
        }
        false
    }

    pub(super) fn wait_for_total(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.waiting.push_back(id);
        let until = request.arrived + self.settings.classes[request.class].target_latency * LEASE_WAIT_SHARE;
        self.wait(id, Stage::AwaitingLease, until, actions);
        true
    }

    /// The quota check of a sampled customer. Its count sums the requested units: a request is added at
    /// random, as often as the counter can bear, with a correspondingly larger weight; the others use the
    /// last known probability.
    pub(super) fn admit_sampled(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let draw = self.random();
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return false };
        let ease = self.health(customer.counter).call_share;
        let wanted = if request.is_retry { ease - 1.0 } else { ease };
        let calls = self.settings.counter && draw < wanted;
        if calls && customer.call.is_none() {
            return self.wait_for_total(id, actions);
        }
        self.admit_by_probability(id, actions);
        false
    }

    /// Decides without a total by the last known probability, which decays to that of the plan. All requests
    /// of an unknown customer are admitted while that gains more than it costs.
    pub(super) fn admit_by_probability(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let draw = self.random();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan];
        let typical = self.plan_probability[customer.plan][usize::from(request.is_retry)];
        let pays = typical > (1.0 - typical) * (plan.over_quota_cost_share - plan.over_quota_value_share);
        let typical = if pays { 1.0 } else { typical };
        let (probability, at) = self.probabilities.get(&customer.salt).copied().unwrap_or_default();
        let age = (self.now - at) / Customer::refill_time(plan);
        if draw < typical + (-age / SAMPLED_DECAY).exp() * (probability - typical) {
            self.requests.entry(id).and_modify(|r| r.without_total = true);
            return self.send_or_queue(id, actions);
        }
        self.refuse_over_quota(id, request.units, plan.rate, actions);
    }

    /// Handles the total of a sampled customer: requested units fit as far as the window has granted by now.
    pub(super) fn on_sampled_total(
        &mut self, name: &Name, mut offered: f64, requested: f64, actions: &mut Vec<Action>,
    ) {
        let (now, ease) = (self.now, self.ease_of(name));
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        let (rate, refill_time) = (plan.rate, Customer::refill_time(plan));
        let since = rate * (now - customer.window_at(now, plan).1) / 1000.0;
        // A request of larger weight stands for others that were not added: one such excess is allowed.
        let excess = (requested - requested * ease.min(1.0)).max(0.0);
        let granted = (plan.burst * SAMPLED_INITIAL + since).min(plan.burst) + excess;
        let even = (plan.burst * SAMPLED_ALLOWANCE + since + excess) / (offered + requested);
        let probability = if offered + requested > granted { even.min(1.0) } else { 1.0 };
        let (previous, at) =
            self.probabilities.insert(customer.salt, (probability, now)).unwrap_or((1.0, f64::NEG_INFINITY));
        if self.settings.peer_messages
            && probability < SAMPLED_NEWS
            && (probability < previous * SAMPLED_NEWS || now > at + refill_time)
        {
            let mut bytes = customer.salt.to_le_bytes();
            bytes[7] = (probability * 255.0) as u8;
            actions.push(Action::Broadcast { bytes: bytes.to_vec() });
        }
        let waiting = std::mem::take(&mut customer.waiting);
        if !std::mem::replace(&mut customer.has_total, true) {
            let is_retry = waiting.iter().any(|id| self.requests.get(id).is_some_and(|r| r.is_retry));
            let typical = &mut self.plan_probability[customer.plan][usize::from(is_retry)];
            *typical += NEWEST_WEIGHT * (f64::from(u8::from(offered < granted)) - *typical);
        }
        for id in waiting {
            offered += self.requests.get(&id).filter(|r| !r.is_retry).map_or(0.0, |r| r.units);
            let over = offered - granted;
            if over <= 0.0 {
                self.send_or_queue(id, actions)
            } else {
                self.refuse_over_quota(id, over, rate, actions)
            }
        }
    }

    pub(super) fn on_peer_message(&mut self, bytes: &[u8]) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let probability = f64::from(std::mem::take(&mut bytes[7])) / 255.0;
        self.probabilities.insert(u64::from_le_bytes(bytes), (probability, self.now));
    }

    pub(super) fn silence_of(&self, counter: usize) -> Silence {
        let (duration, ended_at) = self.health(counter).last_outage(self.now);
        Silence { loss: self.settings.loss, duration, ended_at, uptime: self.now - self.started_at }
    }

    /// The address of a counter for the log, if there are several counters.
    pub(super) fn address_suffix(&self, counter: usize) -> String {
        self.partition.addresses().get(counter).map_or(String::new(), |address| format!(" {address}"))
    }

    pub(super) fn ease_of(&self, name: &Name) -> f64 {
        self.customers.get(name).map_or(1.0, |c| self.health(c.counter).call_share)
    }

    /// Makes calls for waiting requests while calls are free, the earliest deadline first.
    pub(super) fn call_waiting(&mut self, counter: usize, actions: &mut Vec<Action>) {
        while let Some(calls) = self.counters.get_mut(counter).filter(|c| !c.is_full()) {
            let Some((_, name)) = calls.waiting.pop_first() else { return };
            if self.customers.get(&name).is_some_and(|c| !c.waiting.is_empty()) {
                self.call_counter(&name, actions);
            }
        }
    }

    /// Requests a lease from the customer's count: one call in flight per customer, and a bound on all calls.
    pub(super) fn call_counter(&mut self, name: &Name, actions: &mut Vec<Action>) {
        let (now, timeout) = (self.now, self.settings.counter_timeout);
        let Some(customer) = self.customers.get_mut(name) else { return };
        if customer.call.is_some() || !self.settings.counter {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        customer.advance(now, plan, &self.partition);
        let Some(counter) = self.counters.get_mut(customer.counter) else { return };
        if counter.is_full() {
            // A waiting request gets the next free call; a renewal is tried again with the next request.
            let first = customer.waiting.front().and_then(|id| self.requests.get(id));
            counter.waiting.extend(first.map(|r| (r.wait_until.max(0.0).to_bits(), name.clone())));
            return;
        }
        let silent = counter.health.is_silent(now, timeout);
        let waiting = customer.waiting.iter().filter_map(|id| self.requests.get(id));
        let requested = if silent {
            // A probe adds nothing: an amount that may have been added would be lost to all gateways.
            0.0
        } else if customer.is_sampled(plan) {
            let first: f64 = waiting.filter(|r| !r.is_retry).map(|r| r.units).sum();
            first / counter.health.call_share.min(1.0)
        } else {
            let need: f64 = waiting.map(|r| r.units).sum();
            let need = need.min(customer.balance.max(1.0));
            let requested = if self.shutting_down { need } else { customer.lease_size(need, plan) };
            (requested - customer.lease).max(0.0)
        };
        let owed = if silent { 0.0 } else { std::mem::take(&mut customer.owed) };
        // Units used during a silence are reported as far as they have not been refilled since.
        let aged = customer.slice.filter(|_| customer.last_total_at < counter.health.recovered_at);
        let owed = aged.map_or(owed, |slice| slice.unreported(now, owed));
        let key = mix(customer.salt ^ customer.window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1;
        customer.call = Some((customer.window, requested, owed));
        counter.calls.insert(key, name.clone());
        let ttl = (Customer::refill_time(plan) * IDLE_REFILLS).min(MAX_TTL);
        let (counter, amount) = (customer.counter, requested + owed);
        actions.push(Action::AddToCounter { counter, key, amount, ttl });
    }

    pub(super) fn on_counter_reply(
        &mut self, key: u64, outcome: CountOutcome, latency: Millis, actions: &mut Vec<Action>,
    ) {
        let (now, timeout) = (self.now, self.settings.counter_timeout);
        let called = |(at, c): (usize, &mut Counter)| c.calls.remove(&key).map(|name| (at, name));
        let Some((at, name)) = self.counters.iter_mut().enumerate().find_map(called) else { return };
        let health = &mut self.counters[at].health;
        if let CountOutcome::Total(total) = outcome {
            if health.on_answer(now, latency, timeout) {
                actions.push(Action::Log(format!("counter{} back", self.address_suffix(at))));
            }
            self.on_total(&name, at, total, actions);
        } else {
            let unknown = outcome == CountOutcome::Unknown;
            let missed = health.on_missed(now, latency, timeout, unknown);
            if missed.fell_silent {
                let which = self.address_suffix(at);
                actions.push(Action::Log(format!("counter{which} silent: spending leases and slices")));
            }
            self.on_call_failed(&name, unknown, missed.retry_now, actions);
        }
        self.call_waiting(at, actions);
    }

    /// Handles a total: updates the balance, keeps what fits, returns the rest, serves waiting requests.
    pub(super) fn on_total(&mut self, name: &Name, counter: usize, total: f64, actions: &mut Vec<Action>) {
        let (now, silence, health) = (self.now, self.silence_of(counter), self.health(counter));
        let Some(customer) = self.customers.get_mut(name) else { return };
        let Some((window, requested, owed)) = customer.call.take() else { return };
        let plan = &self.settings.plans[customer.plan];
        if customer.is_sampled(plan) {
            return self.on_sampled_total(name, total - requested - owed, requested, actions);
        }
        customer.advance(now, plan, &self.partition);
        let slice = customer.slice.take();
        let aged = slice.filter(|_| customer.last_total_at < health.recovered_at);
        customer.owed = aged.map_or(customer.owed, |slice| slice.unreported(now, customer.owed));
        if plan.ceiling_rate > 0.0 && customer.has_total && customer.last_total_at < health.recovered_at {
            // The counter may have come back empty, without what others spent during the silence. Only the
            // own slice is certain to be left, and others may continue to spend theirs for a while.
            let slice = slice.unwrap_or_else(|| customer.new_slice(0.0, now, &silence, plan));
            let others = (plan.rate - slice.rate_per_s).max(0.0) * health.recovery_remaining(now) / 1000.0;
            customer.balance = customer.balance.min(slice.units_at(now) - others);
        }
        customer.last_total_at = now;
        if window == customer.window {
            // Units that the slice admitted while the call was in flight are paid from the lease, which was
            // added.
            let paid = customer.owed.clamp(0.0, requested);
            (customer.owed, customer.balance) = (customer.owed - paid, customer.balance + paid);
            let span = Customer::refill_time(plan) * SHARE_REFILLS;
            match customer.ledger.record_total(requested + owed, total, plan.ceiling_rate <= 0.0) {
                _ if !customer.has_total => {
                    customer.share.record(now, requested + owed, total, span);
                    // The counter has just come back: its total may lack what others spent.
                    let recent = now - health.recovered_at < Customer::refill_time(plan) * IDLE_REFILLS;
                    let reset = plan.ceiling_rate > 0.0 && health.recovered_at > 0.0 && recent;
                    let most = if reset {
                        customer.new_slice(0.0, now, &silence, plan).capacity
                    } else {
                        f64::INFINITY
                    };
                    customer.balance = Customer::initial_balance(plan).min(most) - total;
                    customer.has_total = true;
                }
                TotalChange::Grew { growth: by, confirmed: found } => {
                    customer.share.record(now, requested + owed, by, span);
                    customer.balance = (customer.balance - (by - owed)).min(plan.burst);
                    customer.lease += found;
                }
                TotalChange::Forgot { missing } => {
                    // The count was emptied: the units held are reported again, or new leases would be
                    // granted on top of them, and what is known of the use by others may be just as outdated.
                    customer.owed += missing;
                    customer.balance -= requested;
                    if plan.ceiling_rate > 0.0 {
                        self.counters[counter].health.on_data_loss(now);
                    }
                }
            }
            customer.lease += requested - paid;
            if customer.balance < 0.0 {
                let back = customer.lease.min((-customer.balance).ceil()).min(requested);
                customer.lease -= back;
                customer.owed -= back;
                customer.balance += back;
            }
        }
        let waiting = std::mem::take(&mut customer.waiting);
        let returns = customer.owed <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit(*id, actions)).count();
        if wait > 0 || returns {
            self.call_counter(name, actions);
        }
    }

    /// Handles a failed call: waiting requests are decided by the slice, and a lease that may have been added
    /// is not used until a total shows it.
    pub(super) fn on_call_failed(
        &mut self, name: &Name, may_have_added: bool, soon: bool, actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (window, requested, owed) = customer.call.take().unwrap_or_default();
        customer.owed += if may_have_added { owed.max(0.0) } else { owed };
        if may_have_added && window == customer.window {
            customer.ledger.record_unknown(requested, owed);
        }
        if soon && !customer.waiting.is_empty() {
            // The answer was malformed or its connection was lost, and there is time left for another call.
            return self.call_counter(name, actions);
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.admit_by_slice(id, actions);
        }
    }

    /// The rule for one request while the counter is silent: pay from the even slice or refuse.
    pub(super) fn admit_by_slice(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(counter) = self.customers.get(&request.customer).map(|c| c.counter) else { return };
        let silence = self.silence_of(counter);
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[request.plan];
        customer.waiting.retain(|w| *w != id);
        if customer.is_sampled(plan) {
            return self.admit_by_probability(id, actions);
        }
        customer.advance(self.now, plan, &self.partition);
        if customer.spend_slice(request.units, self.now, &silence, plan) {
            return self.send_or_queue(id, actions);
        }
        let slice = customer.slice.unwrap_or_default();
        let (short, rate) = (request.units - slice.units, slice.rate_per_s);
        self.refuse_over_quota(id, short, rate, actions);
    }
}
