//! Figures over time, second by second, out of a log.

use crate::log::{Answer, Event, GatewayState, TryId, What};
use crate::scenario::Scenario;
use std::collections::HashMap;

/// The steps, in ms.
pub(super) const STEP: f64 = 1000.0;

/// A span of time in which something was so.
#[derive(Clone, Debug)]
pub(super) struct Span {
    pub(super) from: f64,
    pub(super) to: f64,
    pub(super) what: &'static str,
}

/// Figures over time.
pub(super) struct Series {
    /// Steps.
    pub(super) steps: usize,
    /// Final answers of each step: served in time, refused, failed or without answer, served late.
    pub(super) answers: [Vec<f64>; 4],
    /// Latency of what was served in a step, in ms: the median and the 99th in 100.
    pub(super) latency: [Vec<f64>; 2],
    /// For each plan, the share of its requests offered in a step that was served in time.
    pub(super) plans: Vec<Vec<f64>>,
    /// Counter calls, and those turned away.
    pub(super) calls: [Vec<f64>; 2],
    /// For each gateway, when it was not ready.
    pub(super) gateways: Vec<Vec<Span>>,
    /// For each node, when it was away, draining, stalled or cold.
    pub(super) nodes: Vec<Vec<Span>>,
    /// For each trouble, when it was on.
    pub(super) troubles: Vec<Span>,
    /// The end, in ms.
    pub(super) end: f64,
}

struct Wish {
    at: f64,
    plan: usize,
    aim: f64,
    served: bool,
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = (values.len() as f64 * part) as usize;
    values.get(place.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

impl Series {
    pub(super) fn of(scenario: &Scenario, events: &[Event]) -> Self {
        let end = events.iter().map(|e| e.t).fold(STEP, f64::max);
        let steps = (end / STEP).ceil() as usize;
        let zeros = || vec![0.0; steps];
        let step = |t: f64| ((t.max(0.0) / STEP) as usize).min(steps - 1);
        let mut this = Self {
            steps,
            answers: [zeros(), zeros(), zeros(), zeros()],
            latency: [zeros(), zeros()],
            plans: scenario.plan.iter().map(|_| zeros()).collect(),
            calls: [zeros(), zeros()],
            gateways: vec![Vec::new(); scenario.fleet.gateways],
            nodes: vec![Vec::new(); scenario.fleet.nodes],
            troubles: scenario
                .trouble
                .iter()
                .map(|t| Span { from: t.at.0, to: t.at.0, what: t.kind.name() })
                .collect(),
            end,
        };
        let mut wishes: HashMap<u32, Wish> = HashMap::new();
        let mut latencies: Vec<Vec<f64>> = vec![Vec::new(); steps];
        let mut open: HashMap<(bool, usize, &'static str), f64> = HashMap::new();
        for Event { t, what } in events {
            match what {
                What::Offered { request, plan, class, .. } => {
                    let places = scenario.plan_place(plan).zip(scenario.class_named(class));
                    if let Some((plan, class)) = places {
                        wishes.insert(*request, Wish { at: *t, plan, aim: class.aim.0, served: false });
                    }
                }
                What::Answered { id: TryId { request, .. }, answer, .. } => {
                    let Some(wish) = wishes.get_mut(request) else { continue };
                    let took = t - wish.at;
                    let place = match answer {
                        Answer::Served if took <= wish.aim => 0,
                        Answer::Served => 3,
                        Answer::Refused => 1,
                        Answer::Failed => 2,
                    };
                    if *answer == Answer::Served {
                        latencies[step(*t)].push(took);
                    }
                    wish.served |= place == 0;
                    this.answers[place][step(*t)] += 1.0;
                }
                What::Ended { .. } | What::Left { .. } | What::Unsent { .. } => {
                    this.answers[2][step(*t)] += 1.0
                }
                What::Counted { busy } => this.calls[usize::from(*busy)][step(*t)] += 1.0,
                What::Gateway { gateway, state } => {
                    let lane = (true, *gateway, "away");
                    match state {
                        GatewayState::Ready => this.close(&mut open, lane, *t),
                        GatewayState::Killed | GatewayState::Crashed | GatewayState::AskedToEnd => {
                            open.entry(lane).or_insert(*t);
                        }
                        GatewayState::Started | GatewayState::Ended => {}
                    }
                }
                What::NodeUp { node, cold, .. } => {
                    this.close(&mut open, (false, *node, "away"), *t);
                    this.close(&mut open, (false, *node, "drains"), *t);
                    if let Some(lane) = this.nodes.get_mut(*node).filter(|_| *cold) {
                        lane.push(Span { from: *t, to: t + scenario.node.cold_for.0, what: "cold" });
                    }
                }
                What::NodeDown { node } | What::NodeFell { node } => {
                    this.close(&mut open, (false, *node, "drains"), *t);
                    open.entry((false, *node, "away")).or_insert(*t);
                }
                What::NodeDrains { node } => {
                    open.insert((false, *node, "drains"), *t);
                }
                What::NodeStalled { node, on: true } => {
                    open.insert((false, *node, "stalled"), *t);
                }
                What::NodeStalled { node, on: false } => this.close(&mut open, (false, *node, "stalled"), *t),
                What::Trouble { trouble, on } => {
                    if let Some(span) = this.troubles.get_mut(*trouble) {
                        if *on { span.from = *t } else { span.to = *t }
                    }
                }
                _ => {}
            }
        }
        let still: Vec<_> = open.keys().copied().collect();
        still.into_iter().for_each(|lane| this.close(&mut open, lane, end));
        for (n, of) in latencies.iter_mut().enumerate() {
            this.latency[0][n] = quantile(of, 0.5);
            this.latency[1][n] = quantile(of, 0.99);
        }
        let mut asked = vec![zeros(); this.plans.len()];
        for wish in wishes.values() {
            asked[wish.plan][step(wish.at)] += 1.0;
            this.plans[wish.plan][step(wish.at)] += f64::from(u8::from(wish.served));
        }
        for (served, asked) in this.plans.iter_mut().zip(&asked) {
            served.iter_mut().zip(asked).for_each(|(s, a)| *s = if *a > 0.0 { *s / a } else { 1.0 });
        }
        this
    }

    fn close(
        &mut self, open: &mut HashMap<(bool, usize, &'static str), f64>, lane: (bool, usize, &'static str),
        t: f64,
    ) {
        let Some(from) = open.remove(&lane) else { return };
        let lanes = if lane.0 { &mut self.gateways } else { &mut self.nodes };
        if let Some(spans) = lanes.get_mut(lane.1) {
            spans.push(Span { from, to: t, what: lane.2 });
        }
    }
}
