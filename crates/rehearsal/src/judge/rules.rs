//! The five rules, one event at a time.

use super::store::Store;
use super::{Break, Rule};
use crate::log::{Answer, Event, GatewayState, NodeState, Reply, TryId, What};
use crate::node::{Budget, Cold};
use crate::scenario::{Effect, Scenario};
use std::collections::{BTreeMap, HashMap};

/// A cold node that fell is the gateways' doing if this part of the work came from ones that knew of its start.
const INFORMED: f64 = 2.0 / 3.0;

struct Request {
    account: u32,
    effect: Effect,
    memory: f64,
    plan: usize,
    units: f64,
}

/// What is known of one try.
#[derive(Default)]
struct Try {
    /// Where it was asked last: the gateway, when, when the client's time is up, and the line.
    asked: Option<Asked>,
    /// Its final answer: when, and the line.
    answered: Option<(f64, usize)>,
    attempts: Vec<u32>,
    /// The client ended it, or its connection did: nothing is owed any more.
    left: bool,
}

#[derive(Clone, Copy)]
struct Asked {
    gateway: usize,
    at: f64,
    deadline: f64,
    fresh: bool,
    line: usize,
}

struct Attempt {
    id: TryId,
    node: usize,
    rack: usize,
    at: f64,
    line: usize,
    declined: bool,
    /// When it was answered or its connection ended.
    ended: Option<f64>,
    whole: bool,
    /// Attempts of the same try that were out when it came, to be settled when these end.
    beside: Vec<u32>,
}

#[derive(Default)]
struct Node {
    rack: usize,
    life: u32,
    lives: u32,
    budget: Option<Budget>,
    /// The work in the budget's window, by whether its gateway knew of the start.
    sent: Vec<(f64, f64, bool)>,
    fell: bool,
}

/// What a gateway knows of a node by what it was told.
#[derive(Clone, Copy, Default)]
struct Told {
    /// Since when it must send nothing new: told, or counted as told.
    away: Option<(f64, usize)>,
    /// What its agent has and it was not told yet: from when that counts as told.
    pending: Option<(f64, usize)>,
    /// The newest life that it knows of.
    life: u32,
}

/// A span in which a gateway's process was not there through no doing of its own.
#[derive(Default)]
struct Gateway {
    dead_since: Option<f64>,
    /// Spans of being dead, from the kill to the next start.
    dead: Vec<(f64, f64)>,
    ended_at: Option<f64>,
}

impl Gateway {
    /// Whether it was dead at some time of a span.
    fn was_dead(&self, from: f64, to: f64) -> bool {
        self.dead_since.is_some_and(|since| since <= to)
            || self.dead.iter().any(|(a, b)| *a <= to && *b >= from)
    }
}

/// The five rules.
pub(super) struct Rules<'a> {
    scenario: &'a Scenario,
    cold: Cold,
    requests: HashMap<u32, Request>,
    tries: HashMap<TryId, Try>,
    attempts: BTreeMap<u32, Attempt>,
    nodes: HashMap<usize, Node>,
    gateways: HashMap<usize, Gateway>,
    told: HashMap<(usize, usize), Told>,
    ceilings: HashMap<u32, Store>,
    quotas: HashMap<u32, Store>,
    breaks: Vec<Break>,
    now: f64,
}

impl<'a> Rules<'a> {
    pub(super) fn new(scenario: &'a Scenario) -> Self {
        Self {
            scenario,
            cold: scenario.cold(),
            requests: HashMap::new(),
            tries: HashMap::new(),
            attempts: BTreeMap::new(),
            nodes: HashMap::new(),
            gateways: HashMap::new(),
            told: HashMap::new(),
            ceilings: HashMap::new(),
            quotas: HashMap::new(),
            breaks: Vec::new(),
            now: 0.0,
        }
    }

    fn broke(&mut self, rule: Rule, id: Option<TryId>, node: Option<usize>, lines: Vec<usize>, what: String) {
        self.breaks.push(Break { rule, t: self.now, what, id, node, lines });
    }

    /// Whether a gateway was dead at some time of a span.
    fn was_dead(&self, gateway: usize, from: f64, to: f64) -> bool {
        self.gateways.get(&gateway).is_some_and(|g| g.was_dead(from, to))
    }

    /// Takes one event. For the first attempt of a try: whether the quota held its units.
    pub(super) fn take(&mut self, line: usize, event: &Event) -> Option<bool> {
        let t = event.t;
        self.now = t;
        match &event.what {
            What::Offered { request, account, plan, class, units } => {
                self.offered(*request, *account, plan, class, *units);
            }
            What::Asked { id, gateway, patience, fresh } => {
                let asked = Asked { gateway: *gateway, at: t, deadline: t + patience, fresh: *fresh, line };
                let state = self.tries.entry(*id).or_default();
                (state.asked, state.left) = (Some(asked), false);
            }
            What::Answered { id, answer, status, body } => self.answered(line, *id, *answer, *status, *body),
            What::Ended { id, bytes } => self.ended(line, *id, *bytes),
            What::Left { id, patience_over } => self.left(line, *id, *patience_over),
            What::Stray { gateway, after } if !self.was_dead(*gateway, t, t) => {
                let what = format!("gateway {gateway} sent bytes after its final answer");
                self.broke(Rule::OneAnswer, *after, None, vec![line], what);
            }
            What::Received { attempt, id, node, begun, work } => {
                return self.received(line, *attempt, *id, *node, *begun, *work);
            }
            What::Declined { attempt } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.declined = true;
                }
                self.attempt_over(*attempt);
            }
            What::Replied { attempt, reply } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.whole = *reply == Reply::Whole;
                }
                self.attempt_over(*attempt);
            }
            What::HungUp { attempt } => self.attempt_over(*attempt),
            What::Foreign { node, id } => {
                let what = format!("node {node} was sent what no client asked ({id:?})");
                self.broke(Rule::NoRepeat, None, Some(*node), vec![line], what);
            }
            What::NodeUp { node, rack, power, cold } => {
                let budget = cold.then(|| Budget::new(self.cold, t, *power));
                let state = self.nodes.entry(*node).or_default();
                let life = state.lives;
                *state = Node { rack: *rack, life, lives: life + 1, budget, sent: Vec::new(), fell: false };
            }
            What::NodeDown { node } | What::NodeFell { node } => {
                let out: Vec<u32> = self
                    .attempts
                    .iter()
                    .filter(|(_, a)| a.node == *node && a.ended.is_none())
                    .map(|(number, _)| *number)
                    .collect();
                out.into_iter().for_each(|number| self.attempt_over(number));
            }
            What::News { gateway, node, state, life, told } => {
                self.news(line, (*gateway, *node), *state, *life, *told);
            }
            What::Gateway { gateway, state } => self.gateway(*gateway, *state),
            _ => {}
        }
        None
    }

    fn offered(&mut self, request: u32, account: u32, plan: &str, class: &str, units: f64) {
        let found = self.scenario.plan_place(plan).zip(self.scenario.class_named(class));
        let Some((plan, class)) = found else { return };
        let memory = class.memory.map_or(0.0, |m| m.0);
        self.requests.insert(request, Request { account, effect: class.effect, memory, plan, units });
    }

    // ---- One final answer ----

    fn answered(&mut self, line: usize, id: TryId, answer: Answer, status: u16, body: Option<u32>) {
        let (now, slack) = (self.now, self.scenario.rules.answer_slack.0);
        let state = self.tries.entry(id).or_default();
        let Some(asked) = state.asked else {
            let what = format!("try {id} was answered and never asked");
            return self.broke(Rule::OneAnswer, Some(id), None, vec![line], what);
        };
        if let Some((_, first)) = state.answered.replace((now, line)) {
            let what = format!("try {id} got a second answer, {status}");
            return self.broke(Rule::OneAnswer, Some(id), None, vec![first, line], what);
        }
        if now > asked.deadline + slack {
            let what =
                format!("try {id} was answered {:.1} ms after its client's time", now - asked.deadline);
            self.broke(Rule::OneAnswer, Some(id), None, vec![asked.line, line], what);
        }
        if answer == Answer::Served {
            let own = body.and_then(|n| self.attempts.get(&n)).is_some_and(|a| a.id == id && a.whole);
            if !own {
                let what = format!("try {id} was served what no node answered for it");
                self.broke(Rule::OneAnswer, Some(id), None, vec![asked.line, line], what);
            }
        }
        if answer == Answer::Refused {
            self.refused(line, id);
        }
    }

    fn ended(&mut self, line: usize, id: TryId, bytes: usize) {
        let now = self.now;
        let Some(state) = self.tries.get_mut(&id) else { return };
        let was_left = std::mem::replace(&mut state.left, true);
        let Some(asked) = state.asked else { return };
        let gateway = self.gateways.get(&asked.gateway);
        let gone =
            gateway.is_some_and(|g| g.was_dead(asked.at, now) || g.ended_at.is_some_and(|at| at <= asked.at));
        // A close between requests may cross a request that was not read: then nothing was sent on for it.
        let crossed = !asked.fresh && bytes == 0 && state.attempts.is_empty();
        if gone || crossed || was_left || state.answered.is_some() {
            return;
        }
        let what = format!(
            "gateway {} ended the connection of try {id} after {bytes} bytes of an answer",
            asked.gateway
        );
        self.broke(Rule::OneAnswer, Some(id), None, vec![asked.line, line], what);
    }

    fn left(&mut self, line: usize, id: TryId, patience_over: bool) {
        let now = self.now;
        let Some(state) = self.tries.get_mut(&id) else { return };
        state.left = true;
        let Some(asked) = state.asked.filter(|_| patience_over && state.answered.is_none()) else { return };
        if !self.was_dead(asked.gateway, asked.at, now) {
            let what = format!("try {id} got no answer before its client's time was up");
            self.broke(Rule::OneAnswer, Some(id), None, vec![asked.line, line], what);
        }
    }

    // ---- No effect twice ----

    /// A refusal tells the client that trying again is harmless. That holds for an unsafe try if no attempt may have
    /// run, and for a keyed one too: its next try may come to another rack.
    fn refused(&mut self, line: usize, id: TryId) {
        let bound = self.requests.get(&id.request).is_some_and(|r| r.effect != Effect::Safe);
        let Some(state) = self.tries.get(&id).filter(|_| bound) else { return };
        let ran = state.attempts.iter().filter_map(|n| self.attempts.get(n)).find(|a| !a.declined);
        if let Some(attempt) = ran {
            let (lines, node) = (vec![attempt.line, line], attempt.node);
            let what = format!("try {id} was refused although its attempt at node {node} may have run");
            self.broke(Rule::NoRepeat, Some(id), Some(node), lines, what);
        }
    }

    fn received(
        &mut self, line: usize, number: u32, id: TryId, node: usize, begun: f64, work: f64,
    ) -> Option<bool> {
        let now = self.now;
        let asked = self.tries.get(&id).and_then(|t| t.asked);
        let (Some(asked), true) = (asked, self.requests.contains_key(&id.request)) else {
            let what = format!("node {node} was sent try {id}, which no client had asked");
            self.broke(Rule::NoRepeat, Some(id), Some(node), vec![line], what);
            return None;
        };
        let rack = self.nodes.get(&node).map_or(0, |n| n.rack);
        let earlier = self.tries.get(&id).map(|t| t.attempts.clone()).unwrap_or_default();
        let beside = earlier
            .iter()
            .copied()
            .filter(|n| self.attempts.get(n).is_some_and(|a| a.ended.is_none()))
            .collect();
        let attempt =
            Attempt { id, node, rack, at: now, line, declined: false, ended: None, whole: false, beside };
        self.after_the_answer(&attempt);
        self.resent(&attempt, &earlier);
        self.drained(&attempt, asked.gateway, begun);
        self.pushed(&attempt, asked.gateway, work);
        self.attempts.insert(number, attempt);
        if let Some(state) = self.tries.get_mut(&id) {
            state.attempts.push(number);
        }
        earlier.is_empty().then(|| self.takes_units(line, id))
    }

    fn after_the_answer(&mut self, attempt: &Attempt) {
        let slack = self.scenario.rules.time_slack.0;
        let answered = self.tries.get(&attempt.id).and_then(|t| t.answered);
        if let Some((at, line)) = answered.filter(|(at, _)| attempt.at > at + slack) {
            let what =
                format!("try {} was sent on {:.0} ms after its final answer", attempt.id, attempt.at - at);
            self.broke(Rule::OneAnswer, Some(attempt.id), Some(attempt.node), vec![line, attempt.line], what);
        }
    }

    fn resent(&mut self, attempt: &Attempt, earlier: &[u32]) {
        let (id, node) = (attempt.id, attempt.node);
        let rules = &self.scenario.rules;
        if earlier.len() >= rules.attempts {
            let what = format!("try {id} had more than {} attempts", rules.attempts);
            self.broke(Rule::NoRepeat, Some(id), Some(node), vec![attempt.line], what);
        }
        let Some(request) = self.requests.get(&id.request) else { return };
        let (effect, memory) = (request.effect, request.memory + rules.time_slack.0);
        let doubtful = earlier.iter().filter_map(|n| self.attempts.get(n)).find(|a| !a.declined);
        let Some(first) = doubtful else { return };
        let lines = vec![first.line, attempt.line];
        let what = match effect {
            Effect::Safe => return,
            Effect::Unsafe => {
                format!(
                    "try {id} must never run twice and was sent to node {node} although node {} may have run it",
                    first.node
                )
            }
            Effect::Keyed if first.rack != attempt.rack => {
                format!(
                    "try {id} was sent to rack {} although rack {} may have run it",
                    attempt.rack, first.rack
                )
            }
            Effect::Keyed if attempt.at - first.at > memory => {
                format!(
                    "try {id} was sent again after {:.0} ms, when its rack had forgotten it",
                    attempt.at - first.at
                )
            }
            Effect::Keyed => return,
        };
        self.broke(Rule::NoRepeat, Some(id), Some(node), lines, what);
    }

    /// An attempt is out no more; those of its try that came meanwhile were out beside it.
    fn attempt_over(&mut self, number: u32) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&number).filter(|a| a.ended.is_none()) else { return };
        attempt.ended = Some(now);
        let (id, line) = (attempt.id, attempt.line);
        let slack = self.scenario.rules.time_slack.0;
        let others = self.tries.get(&id).map(|t| t.attempts.clone()).unwrap_or_default();
        for other in others {
            let Some(other) = self.attempts.get(&other) else { continue };
            if other.beside.contains(&number) && now > other.at + slack {
                let (lines, node) = (vec![line, other.line], other.node);
                let what = format!("try {id} had two attempts out at once for {:.0} ms", now - other.at);
                self.broke(Rule::NoRepeat, Some(id), Some(node), lines, what);
            }
        }
    }

    // ---- Drains ----

    fn news(&mut self, line: usize, who: (usize, usize), state: NodeState, life: u32, told: bool) {
        let (now, after) = (self.now, self.scenario.rules.told_after.0);
        let entry = self.told.entry(who).or_default();
        if !told {
            if state != NodeState::InService && entry.away.is_none() && entry.pending.is_none() {
                entry.pending = Some((now + after, line));
            } else if state == NodeState::InService {
                entry.pending = None;
            }
            return;
        }
        entry.pending = None;
        entry.life = entry.life.max(life);
        entry.away = match state {
            NodeState::InService => None,
            // The first word of it counts.
            _ => entry.away.or(Some((now, line))),
        };
    }

    fn drained(&mut self, attempt: &Attempt, gateway: usize, begun: f64) {
        let rules = &self.scenario.rules;
        let grace = rules.drain_grace.0 + rules.time_slack.0;
        let Some(told) = self.told.get(&(gateway, attempt.node)) else { return };
        let since = [told.away, told.pending].into_iter().flatten().min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((at, line)) = since.filter(|(at, _)| begun > at + grace) {
            let node = attempt.node;
            let what = format!(
                "gateway {gateway} sent try {} to node {node} {:.0} ms after the word that it drains or is gone",
                attempt.id,
                begun - at
            );
            self.broke(Rule::Drains, Some(attempt.id), Some(node), vec![line, attempt.line], what);
        }
    }

    // ---- Cold nodes ----

    fn pushed(&mut self, attempt: &Attempt, gateway: usize, work: f64) {
        let (now, number) = (attempt.at, attempt.node);
        let known = self.told.get(&(gateway, number)).copied().unwrap_or_default();
        let (window, life) = (self.cold.window, self.nodes.get(&number).map_or(0, |n| n.life));
        let Some(node) = self.nodes.get_mut(&number) else { return };
        let Some(budget) = node.budget.as_mut().filter(|b| b.is_cold(now)) else { return };
        let spent = budget.send(now, work);
        node.sent.push((now, work, known.life >= life));
        node.sent.retain(|(at, ..)| *at > now - window);
        if spent <= 1.0 || std::mem::replace(&mut node.fell, true) {
            return;
        }
        let all: f64 = node.sent.iter().map(|(_, work, _)| work).sum();
        let informed: f64 =
            node.sent.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        if informed >= INFORMED * all {
            let what = format!("cold node {number} was sent {:.0}% of what fells it", spent * 100.0);
            self.broke(Rule::Cold, Some(attempt.id), Some(number), vec![attempt.line], what);
        }
    }

    // ---- Ceilings ----

    /// A try takes its units when its first attempt has come whole to a node. Whether the quota held them.
    fn takes_units(&mut self, line: usize, id: TryId) -> bool {
        let now = self.now;
        let Some(Request { account, plan, units, .. }) = self.requests.get(&id.request) else { return false };
        let (account, units, plan) = (*account, *units, &self.scenario.plan[*plan]);
        if let Some(times) = plan.ceiling {
            let (rate, burst) = (plan.rate.0 * times, plan.burst * times);
            let rules = &self.scenario.rules;
            let slack = (rules.ceiling_slack.0 * burst).max(1.0) + rate * rules.ceiling_time.0 / 1000.0;
            let left =
                self.ceilings.entry(account).or_insert_with(|| Store::full(rate, burst)).draw(now, units);
            if left < -slack {
                let what = format!(
                    "account {account} ({}) is {:.1} units past its ceiling, {slack:.1} are allowed",
                    plan.name, -left
                );
                self.broke(Rule::Ceiling, Some(id), None, vec![line], what);
            }
        }
        let quota = self.quotas.entry(account).or_insert_with(|| Store::full(plan.rate.0, plan.burst));
        quota.take(now, units)
    }

    // ---- Gateways ----

    fn gateway(&mut self, number: usize, state: GatewayState) {
        let now = self.now;
        let gateway = self.gateways.entry(number).or_default();
        match state {
            GatewayState::Killed | GatewayState::Crashed => {
                gateway.dead_since.get_or_insert(now);
            }
            GatewayState::Ended => gateway.ended_at = Some(now),
            GatewayState::Started => {
                if let Some(since) = gateway.dead_since.take() {
                    gateway.dead.push((since, now));
                }
                gateway.ended_at = None;
                // A new process knows nothing but what its file tells, which is told as news.
                self.told.retain(|(g, _), _| *g != number);
            }
            GatewayState::Ready | GatewayState::AskedToEnd => {}
        }
    }

    /// All is over: what still has no end never gets one.
    pub(super) fn finish(mut self) -> Vec<Break> {
        let slack = self.scenario.rules.answer_slack.0;
        let out: Vec<u32> =
            self.attempts.iter().filter(|(_, a)| a.ended.is_none()).map(|(n, _)| *n).collect();
        out.into_iter().for_each(|number| self.attempt_over(number));
        let overdue: Vec<(TryId, Asked)> = self
            .tries
            .iter()
            .filter(|(_, t)| t.answered.is_none() && !t.left)
            .filter_map(|(id, t)| t.asked.map(|asked| (*id, asked)))
            .filter(|(_, asked)| self.now > asked.deadline + slack)
            .collect();
        for (id, asked) in overdue {
            if !self.was_dead(asked.gateway, asked.at, asked.deadline) {
                self.now = asked.deadline + slack;
                self.broke(
                    Rule::OneAnswer,
                    Some(id),
                    None,
                    vec![asked.line],
                    format!("try {id} was never answered"),
                );
            }
        }
        self.breaks
    }
}
