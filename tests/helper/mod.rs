//! Base settings for tests, and a gateway driven by scripted events.
#![allow(dead_code)]

use doorcourse::*;

/// One safe, one keyed and one unsafe class; a small plan, one under a ceiling and one with a concurrency
/// cap.
pub fn settings() -> Settings {
    let class = |name: &str, retry_safety, dedup_scope| Class {
        name: name.into(),
        target_latency: 800.0,
        retry_safety,
        dedup_scope,
        dedup_window: 4000.0,
        value: 1.0,
        late_value_share: 0.0,
    };
    let plan = |name: &str, max_concurrent, ceiling: f64| Plan {
        name: name.into(),
        rate: 5.0,
        burst: 10.0,
        max_concurrent,
        ceiling_rate: 5.0 * ceiling,
        ceiling_burst: 10.0 * ceiling,
        ceiling_slack: ceiling,
        value_factor: 1.0,
        over_quota_value_share: 0.0,
        over_quota_cost_share: 1.0,
    };
    Settings {
        gateways: 2,
        zone: "z1".into(),
        tick: 4.0,
        classes: vec![
            class("safe", RetrySafety::Safe, DedupScope::All),
            class("keyed", RetrySafety::Keyed, DedupScope::Cell),
            class("unsafe", RetrySafety::Unsafe, DedupScope::All),
        ],
        plans: vec![plan("plain", 0, 0.0), plan("ceiling", 0, 1.6), plan("capped", 2, 0.0)],
        counter: true,
        counter_timeout: 50.0,
        max_request_units: 1.0,
        probes: true,
        can_cancel: true,
        max_attempts: 4,
        max_retry_after: 2000.0,
        cold_capacity_share: 0.2,
        warm_up_time: 18_000.0,
        overload_multiple: 2.0,
        overload_window: 3000.0,
        ..Settings::default()
    }
}

/// A list entry; backends named `a…` are in cell 0, all others in cell 1.
pub fn backend(name: &str, state: BackendState, started: Option<Millis>) -> BackendEntry {
    let cell = u64::from(!name.starts_with('a'));
    BackendEntry { name: name.into(), zone: "z1".into(), cell, state, started }
}

/// A gateway, its clock and the actions of the last event.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Millis,
    pub actions: Vec<Action>,
}

impl Harness {
    pub fn new(settings: Settings, backends: &[&str]) -> Self {
        Self::seeded(settings, 1, backends)
    }

    pub fn seeded(settings: Settings, seed: u64, backends: &[&str]) -> Self {
        let gateway = Gateway::new(settings, seed).expect("valid settings");
        let mut harness = Self { gateway, now: 1000.0, actions: Vec::new() };
        let list = backends.iter().map(|name| backend(name, BackendState::Ready, None)).collect();
        harness.handle(Event::BackendList(list));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
        self.actions.clone()
    }

    /// Advances the clock and fires the housekeeping timer and the wait timers of the given requests.
    pub fn advance(&mut self, span: Millis, requests: &[RequestId]) -> Vec<Action> {
        self.now += span;
        let mut all = self.handle(Event::Timer { token: 1 });
        for id in requests {
            all.extend(self.handle(Event::Timer { token: id * 2 }));
        }
        all
    }

    pub fn request(&mut self, id: RequestId, customer: &str, plan: &str, class: &str) -> Vec<Action> {
        self.request_via(id, customer, plan, class, false, 2)
    }

    /// Sends a request of a customer with `gateway_count` gateways, as a first request or as a client retry.
    pub fn request_via(
        &mut self, id: RequestId, customer: &str, plan: &str, class: &str, is_retry: bool, gateway_count: u32,
    ) -> Vec<Action> {
        self.handle(Event::Request(Arrival {
            id,
            customer: customer.into(),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            is_retry,
            client_timeout: 2000.0,
            first_gateway: 0,
            gateway_count,
            constraints: None,
        }))
    }

    pub fn end_attempt(
        &mut self, id: RequestId, attempt: u32, backend: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(100.0, id, attempt, backend, outcome)
    }

    pub fn end_attempt_after(
        &mut self, latency: Millis, id: RequestId, attempt: u32, backend: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            backend: backend.clone(),
            outcome,
            latency,
            actual_units: None,
            finished: outcome == Outcome::Served,
            load: None,
        }))
    }

    /// Answers a counter call with a total.
    pub fn reply_total(&mut self, key: u64, total: f64) -> Vec<Action> {
        self.handle(Event::CounterReply { key, outcome: CountOutcome::Total(total), latency: 2.0 })
    }

    /// Sends a request, with the counter granting what this gateway adds; returns the backend that it was
    /// sent to.
    pub fn send_request(&mut self, id: RequestId, customer: &str, plan: &str, class: &str) -> Name {
        let mut actions = self.request(id, customer, plan, class);
        if let Some((key, amount)) = counter_call(&actions) {
            actions = self.reply_total(key, amount);
        }
        first_send(&actions).expect("a send").1
    }
}

/// The first counter call among actions: its key and amount.
pub fn counter_call(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|a| match a {
        Action::AddToCounter { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    })
}

/// The first send among actions.
pub fn first_send(actions: &[Action]) -> Option<(RequestId, Name)> {
    actions.iter().find_map(|a| match a {
        Action::Send { id, backend, .. } => Some((*id, backend.clone())),
        _ => None,
    })
}

/// The number of requests sent.
pub fn send_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

/// Whether a request was refused.
pub fn is_refused(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id, .. } if *id == which))
}

/// Whether a request failed.
pub fn is_failed(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id } if *id == which))
}
