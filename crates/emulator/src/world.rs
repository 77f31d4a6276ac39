//! Gateways, accounts and time.

use crate::Millis;
use crate::counter::{Counters, Fault};
use crate::measure::{Figures, Ideal, Sent};
use doorcourse::{
    Action, Arrival, AttemptEnd, BackendEntry, BackendState, Class, Event, Gateway, Outcome, Plan, RequestId,
    RetrySafety, Settings,
};
use fennelscale_quota::{Loss, Partition};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How long backends take.
const SERVICE: Millis = 5.0;
/// How long clients wait.
const PATIENCE: Millis = 2000.0;
/// A gateway that died is back after this.
const START_TIME: Millis = 300.0;
/// Units of every request here.
const UNITS: f64 = 1.0;
const COUNTER_PATIENCE: Millis = 50.0;

/// An account and what it offers.
#[derive(Clone, Debug)]
pub struct Account {
    /// Its plan, by number.
    pub plan: usize,
    /// Requests a second, until the next of these moments: begin and rate.
    pub demand: Vec<(Millis, f64)>,
    /// How its requests spread over the gateways: weights that move on by one gateway each `moves`; 0 is never.
    pub weights: Vec<f64>,
    /// How often the weights move.
    pub moves: Millis,
}

impl Account {
    fn rate(&self, now: Millis) -> f64 {
        self.demand.iter().rev().find(|(begin, _)| *begin <= now).map_or(0.0, |(_, rate)| *rate)
    }
}

/// What happens at a moment.
#[derive(Clone, Debug)]
pub enum Step {
    /// To the first counter.
    Counter(Fault),
    /// To another one, by its address.
    CounterAt(String, Fault),
    /// These gateways hear that accounts are over these counters, in windows that begin at that moment or later.
    Partition(Vec<usize>, Vec<String>, Millis),
    /// These gateways die, with all they hold, and come back knowing nothing.
    Restart(Vec<usize>),
}

#[derive(Debug)]
enum What {
    Script(Step),
    Offer(usize),
    Start(usize),
    Tell { gateway: usize, life: u64, event: Event },
}

struct Instance {
    gateway: Option<Gateway>,
    /// How often it was started: what was meant for an earlier one reaches nobody.
    life: u64,
    partition: Partition,
}

/// A fleet of gateways in virtual time.
pub struct World {
    settings: Settings,
    gateways: Vec<Instance>,
    /// By address.
    counters: BTreeMap<String, Counters>,
    accounts: Vec<Account>,
    random: ChaCha8Rng,
    now: Millis,
    /// Moments are kept in whole microseconds, so that order never hangs on rounding.
    agenda: BTreeSet<Moment>,
    events: HashMap<u64, What>,
    next: u64,
    /// Whose it is, when it came, and whether it was sent on.
    requests: BTreeMap<RequestId, (usize, Millis, bool)>,
    waits: Vec<Millis>,
    ideals: Vec<Ideal>,
    figures: Vec<(Millis, usize, bool, bool)>,
    sent: Vec<Vec<Sent>>,
}

/// A moment in microseconds and the number of what happens then.
type Moment = (u64, u64);

impl World {
    /// `gateways` gateways that are made for such losses, all of which serve each account, and accounts that begin to offer
    /// at once.
    ///
    /// # Panics
    /// When the plans cannot be used.
    pub fn new(seed: u64, gateways: usize, plans: Vec<Plan>, accounts: Vec<Account>, loss: Loss) -> Self {
        Self::over(&["c0"], seed, gateways, plans, accounts, loss)
    }

    /// The same with several counters, by their addresses.
    ///
    /// # Panics
    /// When the plans or the addresses cannot be used.
    pub fn over(
        addresses: &[&str], seed: u64, gateways: usize, plans: Vec<Plan>, accounts: Vec<Account>, loss: Loss,
    ) -> Self {
        let addresses: Vec<String> = addresses.iter().map(|address| (*address).to_owned()).collect();
        let partition = Partition::new(&addresses).expect("usable addresses");
        let counters = addresses.into_iter().map(|a| (a, Counters::new(gateways, COUNTER_PATIENCE)));
        let mut settings = settings(gateways, plans);
        settings.loss = loss;
        let ideals = accounts.iter().map(|a| &settings.plans[a.plan]).map(|p| Ideal::new(p.rate, p.burst));
        let mut world = Self {
            ideals: ideals.collect(),
            gateways: (0..gateways)
                .map(|_| Instance { gateway: None, life: 0, partition: partition.clone() })
                .collect(),
            counters: counters.collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            agenda: BTreeSet::new(),
            events: HashMap::new(),
            next: 0,
            requests: BTreeMap::new(),
            waits: Vec::new(),
            figures: Vec::new(),
            sent: vec![Vec::new(); accounts.len()],
            settings,
            accounts,
        };
        (0..gateways).for_each(|g| world.start(g));
        (0..world.accounts.len()).for_each(|a| world.offer_next(a));
        world
    }

    /// Has something happen at a moment.
    pub fn at(&mut self, when: Millis, step: Step) {
        self.later(when, What::Script(step));
    }

    /// Lets time pass up to a moment.
    pub fn run_until(&mut self, end: Millis) {
        let last = micros(end);
        while let Some(&(at, number)) = self.agenda.first().filter(|(at, _)| *at <= last) {
            self.agenda.pop_first();
            self.now = at as f64 / 1000.0;
            let Some(what) = self.events.remove(&number) else { continue };
            match what {
                What::Script(Step::Counter(fault)) => {
                    let (now, random) = (self.now, &mut self.random);
                    self.counters.values_mut().take(1).for_each(|c| c.suffer(now, &fault, random));
                }
                What::Script(Step::CounterAt(address, fault)) => {
                    if let Some(counter) = self.counters.get_mut(&address) {
                        counter.suffer(self.now, &fault, &mut self.random);
                    }
                }
                What::Script(Step::Partition(which, addresses, from)) => {
                    which.into_iter().for_each(|g| self.partition(g, &addresses, from));
                }
                What::Script(Step::Restart(which)) => which.into_iter().for_each(|g| self.kill(g)),
                What::Offer(account) => self.offer(account),
                What::Start(gateway) => self.start(gateway),
                What::Tell { gateway, life, event } if self.gateways[gateway].life == life => {
                    self.tell(gateway, event);
                }
                What::Tell { .. } => {}
            }
        }
        self.now = end;
    }

    /// What was sent on for an account.
    pub fn sent(&self, account: usize) -> &[Sent] {
        &self.sent[account]
    }

    /// Figures of some accounts between two moments, by when requests came to their first answer or send.
    pub fn figures(&self, from: Millis, to: Millis, of: impl Fn(usize) -> bool) -> Figures {
        let mut sum = Figures::default();
        for (at, account, inside, sent) in &self.figures {
            if (from..to).contains(at) && of(*account) {
                let cell = match (inside, sent) {
                    (true, true) => &mut sum.inside,
                    (true, false) => &mut sum.denied,
                    (false, true) => &mut sum.beyond,
                    (false, false) => &mut sum.refused,
                };
                *cell += UNITS;
            }
        }
        sum
    }

    /// How long each request waited before it was sent on.
    pub fn waits(&self) -> &[Millis] {
        &self.waits
    }

    /// Calls that came to the counter, or were lost on the way, between two moments.
    pub fn calls(&self, from: Millis, to: Millis) -> usize {
        self.counters.values().flat_map(|c| &c.calls).filter(|at| (from..to).contains(*at)).count()
    }

    /// The terms of an account's plan with all gateways.
    pub fn terms(&self, account: usize) -> fennelscale_quota::AccountQuota {
        let plan = &self.settings.plans[self.accounts[account].plan];
        plan.terms(self.gateways.len() as f64, UNITS)
    }

    fn later(&mut self, at: Millis, what: What) {
        self.next += 1;
        self.agenda.insert((micros(at.max(self.now)), self.next));
        self.events.insert(self.next, what);
    }

    fn partition(&mut self, gateway: usize, addresses: &[String], from: Millis) {
        let gateways = self.gateways.len();
        for address in addresses {
            let counter = || Counters::new(gateways, COUNTER_PATIENCE);
            self.counters.entry(address.clone()).or_insert_with(counter);
        }
        let instance = &mut self.gateways[gateway];
        instance.partition.replace_counters(addresses, from).expect("usable addresses");
        let partition = instance.partition.clone();
        self.tell(gateway, Event::CounterPartition(partition));
    }

    fn kill(&mut self, gateway: usize) {
        let instance = &mut self.gateways[gateway];
        (instance.gateway, instance.life) = (None, instance.life + 1);
        self.later(self.now + START_TIME, What::Start(gateway));
    }

    fn start(&mut self, gateway: usize) {
        let mut settings = self.settings.clone();
        settings.gateway_index = gateway as u32;
        let seed = self.random.random();
        let instance = &mut self.gateways[gateway];
        let module = Gateway::new(settings, seed).expect("usable settings");
        instance.gateway = Some(module);
        let partition = instance.partition.clone();
        let list = (0..self.gateways.len() * 4).map(|n| BackendEntry {
            name: format!("b{n}").into(),
            zone: "z".into(),
            cell: 0,
            state: BackendState::Ready,
            started: None,
        });
        let list = list.collect();
        self.tell(gateway, Event::CounterPartition(partition));
        self.tell(gateway, Event::BackendList(list));
    }

    fn offer_next(&mut self, account: usize) {
        let rate = self.accounts[account].rate(self.now);
        // An account that offers nothing is looked at again soon.
        let gap = if rate > 0.0 { -(1.0 - self.random.random::<f64>()).ln() / rate * 1000.0 } else { 20.0 };
        let what = What::Offer(account);
        self.later(self.now + gap, what);
    }

    fn offer(&mut self, account: usize) {
        self.offer_next(account);
        let (Account { plan, weights, moves, .. }, count) = (&self.accounts[account], self.gateways.len());
        if self.accounts[account].rate(self.now) <= 0.0 {
            return;
        }
        let moved = if *moves > 0.0 { (self.now / moves) as usize } else { 0 };
        let weight = |g: usize| weights.get((g + moved) % count).copied().unwrap_or(1.0);
        let mut draw = self.random.random::<f64>() * (0..count).map(weight).sum::<f64>();
        let gateway = (0..count).find(|g| {
            draw -= weight(*g);
            draw < 0.0
        });
        let gateway = gateway.unwrap_or(0);
        if self.gateways[gateway].gateway.is_none() {
            return;
        }
        self.next += 1;
        let id = self.next;
        self.requests.insert(id, (account, self.now, false));
        let arrival = Arrival {
            id,
            customer: format!("a{account}").into(),
            plan: self.settings.plans[*plan].name.clone(),
            class: "look".into(),
            units: UNITS,
            is_retry: false,
            client_timeout: PATIENCE,
            first_gateway: 0,
            gateway_count: count as u32,
            constraints: None,
        };
        self.tell(gateway, Event::Request(arrival));
    }

    fn note(&mut self, account: usize, sent: bool) {
        let ideal = &mut self.ideals[account];
        let inside = ideal.holds(self.now, UNITS);
        if sent {
            ideal.draw(self.now, UNITS);
            self.sent[account].push((self.now, UNITS));
        }
        self.figures.push((self.now, account, inside, sent));
    }

    fn tell(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(module) = &mut self.gateways[gateway].gateway else { return };
        module.handle(self.now, event, &mut actions);
        let life = self.gateways[gateway].life;
        for action in actions {
            let (after, event) = match action {
                Action::Send { id, backend, .. } => {
                    if let Some((account, came, false)) = self.requests.get(&id).copied() {
                        self.note(account, true);
                        self.waits.push(self.now - came);
                        self.requests.insert(id, (account, came, true));
                    }
                    let end = AttemptEnd {
                        id,
                        attempt: 0,
                        backend,
                        outcome: Outcome::Served,
                        latency: SERVICE,
                        actual_units: None,
                        finished: true,
                        load: None,
                    };
                    (SERVICE, Event::AttemptEnded(end))
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    if let Some((account, _, false)) = self.requests.remove(&id) {
                        self.note(account, false);
                    }
                    continue;
                }
                Action::SetTimer { after, token } => (after, Event::Timer { token }),
                Action::AddToCounter { counter, key: name, amount, ttl: keep } => {
                    let address = &self.gateways[gateway].partition.addresses()[counter];
                    let Some(counter) = self.counters.get_mut(address) else { continue };
                    let reply = counter.call(gateway, self.now, name, amount, keep, &mut self.random);
                    (
                        reply.after,
                        Event::CounterReply { key: name, outcome: reply.outcome, latency: reply.after },
                    )
                }
                _ => continue,
            };
            self.later(self.now + after, What::Tell { gateway, life, event });
        }
    }
}

fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0).round() as u64
}

fn settings(gateways: usize, plans: Vec<Plan>) -> Settings {
    let look = Class {
        name: "look".into(),
        target_latency: 800.0,
        retry_safety: RetrySafety::Safe,
        dedup_scope: doorcourse::DedupScope::All,
        dedup_window: 4000.0,
        value: 1.0,
        late_value_share: 0.0,
    };
    Settings {
        gateways: gateways as u32,
        zone: "z".into(),
        tick: 1.0,
        classes: vec![look],
        plans,
        counter: true,
        counter_timeout: COUNTER_PATIENCE,
        max_request_units: UNITS,
        max_attempts: 3,
        max_retry_after: 2000.0,
        cold_capacity_share: 1.0,
        warm_up_time: 1000.0,
        overload_multiple: 2.0,
        overload_window: 1000.0,
        ..Settings::default()
    }
}
