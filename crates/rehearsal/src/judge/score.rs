//! Service, as the operators define it: the worth answered within its wanted time over the worth asked for inside the
//! quotas, from the first second on; a client's retries belong to its first try.

use super::store::Store;
use crate::log::{Answer, Event, TryId, What};
use crate::scenario::Scenario;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Weights of the score's three parts.
const WHOLE: f64 = 0.65;
const WINDOW: f64 = 0.20;
const PLAN: f64 = 0.15;
/// The worst window's length, in ms, and the steps in which it is moved.
const WINDOW_LENGTH: f64 = 10_000.0;
const WINDOW_STEP: f64 = 500.0;
/// A window or plan with less than this share of the mean worth says nothing.
const THIN: f64 = 0.2;
/// Points of the score, as a share of 1: for work wasted, as much as was asked for; for all failing only after the
/// wanted time; for one probe a request; for one call of the counter a request.
const WASTE: f64 = 0.05;
const LATE_FAILURE: f64 = 0.03;
const PROBE: f64 = 0.01;
const CALL: f64 = 0.005;

/// What the service was worth; all shares of 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// The score.
    pub total: f64,
    /// Of the whole run.
    pub whole: f64,
    /// Of the worst 10 s.
    pub worst_window: f64,
    /// Of the worst-served plan, inside its quotas.
    pub worst_plan: f64,
    /// Taken off for waste, late failures, probes and counter calls.
    pub penalties: f64,
}

/// Counts and figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// First tries.
    pub requests: u32,
    /// Those inside the quotas, as one gateway that saw all would count.
    pub inside: u32,
    /// Tries written to gateways.
    pub tries: u32,
    /// Requests by what became of them: served in the wanted time, served later, refused at last, failed at last.
    pub outcomes: [u32; 4],
    /// Attempts that came whole to nodes.
    pub attempts: u32,
    /// Attempts turned away unseen.
    pub declined: u32,
    /// Attempts for tries that their gateway had sent on before.
    pub resent: u32,
    /// Attempts that ran after their client had given up the try: they count as run, and not as served.
    pub ran_unheard: u32,
    /// Tries cut off by a gateway that the kit killed, with half of an answer, and with none of it.
    pub cut: [u32; 2],
    /// Calls of the counter, and how many of them were turned away.
    pub calls: u32,
    /// See `calls`.
    pub busy: u32,
    /// Probes.
    pub probes: u32,
    /// Tries sent on beyond their account's quota.
    pub beyond: u32,
    /// Milliseconds to the answer that served: the median and the 99th in 100.
    pub latency: [f64; 2],
    /// CPU time of the kit and of all gateways, in ms.
    pub cpu: [f64; 2],
    /// When the last request was offered, in ms.
    pub length: f64,
}

struct Wish {
    at: f64,
    plan: usize,
    class: usize,
    worth: f64,
    inside: bool,
    account: u32,
    served: Option<f64>,
    last: Option<Answer>,
    ended: f64,
}

/// Counts worth, one event at a time.
pub(super) struct Scorer<'a> {
    scenario: &'a Scenario,
    wishes: HashMap<u32, Wish>,
    /// What the quotas hold if first tries alone draw on them, in the order in which they were offered.
    offered: HashMap<u32, Store>,
    /// Tries by whether the quota held their units when they were sent on.
    sent_inside: HashMap<TryId, bool>,
    left: HashSet<TryId>,
    /// In order, as sums of their work must not depend on a table's.
    attempts: BTreeMap<u32, (TryId, f64)>,
    seen: HashSet<TryId>,
    credited: HashSet<u32>,
    beyond_cost: f64,
    figures: Figures,
}

impl<'a> Scorer<'a> {
    pub(super) fn new(scenario: &'a Scenario) -> Self {
        Self {
            scenario,
            wishes: HashMap::new(),
            offered: HashMap::new(),
            sent_inside: HashMap::new(),
            left: HashSet::new(),
            attempts: BTreeMap::new(),
            seen: HashSet::new(),
            credited: HashSet::new(),
            beyond_cost: 0.0,
            figures: Figures::default(),
        }
    }

    /// Takes one event; `inside` is what the rules found of a first attempt's quota.
    pub(super) fn take(&mut self, event: &Event, inside: Option<bool>) {
        let t = event.t;
        match &event.what {
            What::Offered { request, account, plan, class, units } => {
                self.offer(t, *request, *account, plan, class, *units);
            }
            What::Asked { .. } => self.figures.tries += 1,
            What::Answered { id, answer, body, .. } => self.answer(t, *id, *answer, *body),
            What::Ended { id, bytes } => {
                self.figures.cut[usize::from(*bytes == 0)] += 1;
                self.fail(t, *id);
            }
            What::Unsent { id, .. } => self.fail(t, *id),
            What::Left { id, .. } => {
                self.left.insert(*id);
                self.fail(t, *id);
            }
            What::Received { attempt, id, work, .. } => {
                self.figures.attempts += 1;
                self.figures.resent += u32::from(!self.seen.insert(*id));
                self.attempts.insert(*attempt, (*id, *work));
                if let Some(inside) = inside {
                    self.sent(*id, inside);
                }
            }
            What::Declined { .. } => self.figures.declined += 1,
            What::Ran { attempt, .. } => {
                let unheard = self.attempts.get(attempt).is_some_and(|(id, _)| self.left.contains(id));
                self.figures.ran_unheard += u32::from(unheard);
            }
            What::Probed { .. } => self.figures.probes += 1,
            What::Counted { busy } => {
                self.figures.calls += 1;
                self.figures.busy += u32::from(*busy);
            }
            What::Cpu { kit, gateways } => {
                self.figures.cpu = [*kit, gateways.max(self.figures.cpu[1])];
            }
            _ => {}
        }
    }

    fn offer(&mut self, t: f64, request: u32, account: u32, plan: &str, class: &str, units: f64) {
        let scenario = self.scenario;
        let Some((plan, class)) =
            scenario.plan_place(plan).zip(scenario.class.iter().position(|c| c.name == class))
        else {
            return;
        };
        let terms = &scenario.plan[plan];
        let store = self.offered.entry(account).or_insert_with(|| Store::full(terms.rate.0, terms.burst));
        let inside = store.take(t, units);
        let worth = scenario.class[class].worth * terms.price * units;
        self.figures.requests += 1;
        self.figures.inside += u32::from(inside);
        self.figures.length = self.figures.length.max(t);
        let wish = Wish { at: t, plan, class, worth, inside, account, served: None, last: None, ended: t };
        self.wishes.insert(request, wish);
    }

    fn sent(&mut self, id: TryId, inside: bool) {
        self.sent_inside.insert(id, inside);
        let Some(wish) = self.wishes.get(&id.request).filter(|_| !inside) else { return };
        self.figures.beyond += 1;
        self.beyond_cost += wish.worth * self.scenario.plan[wish.plan].over_cost.0;
    }

    fn answer(&mut self, t: f64, id: TryId, answer: Answer, body: Option<u32>) {
        let within = self.sent_inside.get(&id).copied().unwrap_or(false);
        let Some(wish) = self.wishes.get_mut(&id.request) else { return };
        (wish.last, wish.ended) = (Some(answer), t);
        if answer == Answer::Served {
            self.credited.extend(body);
            // What is served beyond the quota earns nothing.
            if within && wish.served.is_none() {
                wish.served = Some(t - wish.at);
            }
        }
    }

    fn fail(&mut self, t: f64, id: TryId) {
        if let Some(wish) = self.wishes.get_mut(&id.request).filter(|w| w.last != Some(Answer::Served)) {
            (wish.last, wish.ended) = (Some(Answer::Failed), t);
        }
    }

    fn earned(&self, wish: &Wish) -> f64 {
        let class = &self.scenario.class[wish.class];
        match wish.served {
            Some(after) if after <= class.aim.0 => wish.worth,
            Some(after) if after <= class.deadline.0 => wish.worth * class.late.0,
            _ => 0.0,
        }
    }

    pub(super) fn finish(mut self) -> (Score, Figures) {
        let mut wishes: Vec<&Wish> = self.wishes.values().collect();
        wishes.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.account.cmp(&b.account)));
        let offered = |wish: &&&Wish| if wish.inside { wish.worth } else { 0.0 };
        let ratio = |some: &[&Wish]| {
            let asked: f64 = some.iter().map(|w| offered(&w)).sum();
            let earned: f64 = some.iter().map(|w| self.earned(w)).sum();
            (asked, if asked > 0.0 { (earned / asked).min(1.0) } else { 1.0 })
        };
        let (asked, whole) = ratio(&wishes);
        let whole = if asked > 0.0 { (whole - self.beyond_cost / asked).max(0.0) } else { 1.0 };
        let mut worst_window = whole;
        let (mut from, last) = (0.0, self.figures.length - WINDOW_LENGTH);
        while from <= last {
            let a = wishes.partition_point(|w| w.at < from);
            let b = wishes.partition_point(|w| w.at < from + WINDOW_LENGTH);
            let (part, ratio) = ratio(&wishes[a..b]);
            if part >= THIN * asked * WINDOW_LENGTH / self.figures.length.max(1.0) {
                worst_window = worst_window.min(ratio);
            }
            from += WINDOW_STEP;
        }
        let mut worst_plan = 1.0f64;
        for plan in 0..self.scenario.plan.len() {
            let of: Vec<&Wish> = wishes.iter().filter(|w| w.plan == plan).copied().collect();
            let (part, ratio) = ratio(&of);
            if part >= THIN * asked / self.scenario.plan.len() as f64 {
                worst_plan = worst_plan.min(ratio);
            }
        }
        let penalties = self.penalties(&wishes, asked);
        let total = WHOLE * whole + WINDOW * worst_window + PLAN * worst_plan - penalties;
        self.figures.outcomes = self.outcomes();
        self.figures.latency = self.latency();
        (Score { total: total.max(0.0), whole, worst_window, worst_plan, penalties }, self.figures)
    }

    fn penalties(&self, wishes: &[&Wish], asked: f64) -> f64 {
        let first = f64::from(self.figures.requests).max(1.0);
        let wanted: f64 = wishes.iter().map(|w| self.scenario.class[w.class].work.0).sum();
        let wasted =
            self.attempts.iter().filter(|(n, _)| !self.credited.contains(n)).map(|(_, (_, work))| work);
        let late_failed = wishes.iter().filter(|w| {
            w.inside && w.last != Some(Answer::Served) && w.ended - w.at > self.scenario.class[w.class].aim.0
        });
        let late_failed: f64 = late_failed.map(|w| w.worth).sum();
        WASTE * wasted.sum::<f64>() / wanted.max(1.0)
            + LATE_FAILURE * late_failed / asked.max(1e-9)
            + PROBE * f64::from(self.figures.probes) / first
            + CALL * f64::from(self.figures.calls) / first
    }

    fn outcomes(&self) -> [u32; 4] {
        let mut counts = [0; 4];
        for wish in self.wishes.values() {
            let aim = self.scenario.class[wish.class].aim.0;
            let place = match wish.last {
                Some(Answer::Served) if wish.served.is_some_and(|after| after <= aim) => 0,
                Some(Answer::Served) => 1,
                Some(Answer::Refused) => 2,
                _ => 3,
            };
            counts[place] += 1;
        }
        counts
    }

    fn latency(&self) -> [f64; 2] {
        let mut served: Vec<f64> = self.wishes.values().filter_map(|w| w.served).collect();
        served.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (served.len() as f64 * part) as usize;
            served.get(place.min(served.len().saturating_sub(1))).copied().unwrap_or(0.0)
        };
        [at(0.5), at(0.99)]
    }
}
