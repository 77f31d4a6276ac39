//! Logs written by hand, one line a call, for the judge to read.

#![allow(dead_code)]

use fennelscale_rehearsal::judge::{Rule, Verdict, judge};
use fennelscale_rehearsal::log::{Answer, Event, GatewayState, NodeState, Reply, TryId, What};
use fennelscale_rehearsal::scenario::Scenario;
use fennelscale_rehearsal::shipped::shipped;

pub const SAFE: &str = "preview";
pub const KEYED: &str = "playlist-save";
pub const UNSAFE: &str = "licence-order";
pub const CAPPED: &str = "izdajatelj";

pub fn drill() -> Scenario {
    Scenario::parse("drill", shipped("drill").expect("shipped")).expect("a scenario")
}

pub fn id(request: u32) -> TryId {
    TryId { request, go: 0 }
}

/// A log in the making.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub events: Vec<Event>,
}

impl Run {
    /// A fleet in order: three gateways, six warm nodes in two racks.
    pub fn usual() -> Self {
        let mut run = Self::default();
        for node in 0..6 {
            run.push(0.0, What::NodeUp { node, rack: node % 2, power: 2.0, cold: false });
        }
        for gateway in 0..3 {
            run.gateway(0.0, gateway, GatewayState::Started);
            run.gateway(0.0, gateway, GatewayState::Ready);
        }
        run
    }

    pub fn push(&mut self, t: f64, what: What) -> &mut Self {
        self.events.push(Event { t, what });
        self
    }

    pub fn gateway(&mut self, t: f64, gateway: usize, state: GatewayState) -> &mut Self {
        self.push(t, What::Gateway { gateway, state })
    }

    pub fn offered(&mut self, t: f64, request: u32, class: &str, plan: &str, account: u32) -> &mut Self {
        let (class, plan) = (class.into(), plan.into());
        self.push(t, What::Offered { request, account, plan, class, units: 1.0 })
    }

    /// A request of an account of its own, asked of gateway 0 at once, with a time of 1 s.
    pub fn asks(&mut self, t: f64, request: u32, class: &str) -> &mut Self {
        self.offered(t, request, class, "studio", request).asked(t, id(request), 0, 1000.0)
    }

    pub fn asked(&mut self, t: f64, id: TryId, gateway: usize, patience: f64) -> &mut Self {
        self.push(t, What::Asked { id, gateway, patience, fresh: false })
    }

    pub fn received(&mut self, t: f64, attempt: u32, id: TryId, node: usize) -> &mut Self {
        self.push(t, What::Received { attempt, id, node, begun: t, work: 50.0 })
    }

    pub fn declined(&mut self, t: f64, attempt: u32) -> &mut Self {
        self.push(t, What::Declined { attempt })
    }

    pub fn replied(&mut self, t: f64, attempt: u32, reply: Reply) -> &mut Self {
        self.push(t, What::Replied { attempt, reply })
    }

    /// The node runs it and answers whole.
    pub fn runs(&mut self, t: f64, attempt: u32) -> &mut Self {
        self.push(t, What::Ran { attempt, repeat: false }).replied(t, attempt, Reply::Whole)
    }

    pub fn hung_up(&mut self, t: f64, attempt: u32) -> &mut Self {
        self.push(t, What::HungUp { attempt })
    }

    pub fn served(&mut self, t: f64, id: TryId, attempt: u32) -> &mut Self {
        self.push(t, What::Answered { id, answer: Answer::Served, status: 200, body: Some(attempt) })
    }

    pub fn refused(&mut self, t: f64, id: TryId) -> &mut Self {
        self.push(t, What::Answered { id, answer: Answer::Refused, status: 429, body: None })
    }

    pub fn failed(&mut self, t: f64, id: TryId) -> &mut Self {
        self.push(t, What::Answered { id, answer: Answer::Failed, status: 502, body: None })
    }

    pub fn ended(&mut self, t: f64, id: TryId, bytes: usize) -> &mut Self {
        self.push(t, What::Ended { id, bytes })
    }

    pub fn left(&mut self, t: f64, id: TryId, patience_over: bool) -> &mut Self {
        self.push(t, What::Left { id, patience_over })
    }

    pub fn news(&mut self, t: f64, gateway: usize, node: usize, state: NodeState, told: bool) -> &mut Self {
        self.news_of(t, gateway, node, state, 0, told)
    }

    pub fn news_of(
        &mut self, t: f64, gateway: usize, node: usize, state: NodeState, life: u32, told: bool,
    ) -> &mut Self {
        self.push(t, What::News { gateway, node, state, life, told })
    }

    /// The verdict on the whole run, which ends a good while after its last line.
    pub fn verdict(&self) -> Verdict {
        let mut events = self.events.clone();
        let end = events.iter().map(|e| e.t).fold(0.0, f64::max) + 5000.0;
        events.push(Event { t: end, what: What::Over });
        judge(&drill(), &events)
    }

    /// The rules broken, each as often as it was.
    pub fn broken(&self) -> Vec<Rule> {
        self.verdict().breaks.iter().map(|b| b.rule).collect()
    }

    pub fn keeps_all(&self) {
        assert_eq!(self.verdict().breaks, []);
    }

    pub fn breaks(&self, rule: Rule) {
        assert_eq!(self.broken(), [rule], "{:?}", self.verdict().breaks);
    }
}
