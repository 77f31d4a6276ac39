//! The decisions of one proxy under more requests than its backends can serve: the production engine, given
//! the proxy's routing state as the program gives it.

use crate::Millis;
use doorcourse::{Action, Arrival, AttemptEnd, Event, Gateway, Name, Outcome, RequestId};
use fennelscale_messages::Host;
use fennelscale_proxy::decision_input::{self, DEFAULT_CLASS, PLAN};
use fennelscale_proxy::routing_state::{RoutingState, UPDATE_INTERVAL};
use std::collections::BTreeMap;

/// The only service.
pub(crate) const SERVICE: &str = "s";
/// The retry budget of the default settings.
const RETRY_BUDGET: (f64, f64) = (0.2, 60.0);
/// How long the client of a request waits, in ms.
const CLIENT_TIMEOUT: Millis = 3000.0;

/// A request that is sent to a backend.
pub(crate) struct Send {
    pub(crate) backend: Name,
    request: RequestId,
    attempt: u32,
}

enum Due {
    Timer(u64),
    End(Send, Outcome, Millis),
}

/// The decision engine of one incarnation of a proxy.
pub(crate) struct Decisions {
    gateway: Gateway,
    next: RequestId,
    attempts: BTreeMap<RequestId, u32>,
    /// Scheduled events, by time in microseconds and the sequence in which they were scheduled.
    due: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    updated_at: Millis,
    sends: Vec<Send>,
}

impl Decisions {
    pub(crate) fn new(zone: &str, host: Host, incarnation: u64) -> Self {
        let seed = fennelscale_messages::mix(u64::from(host.0) ^ incarnation << 32);
        let settings = decision_input::engine_settings(&zone.into());
        Self {
            gateway: Gateway::new(settings, seed).expect("the settings of the program"),
            next: 0,
            attempts: BTreeMap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            updated_at: 0.0,
            sends: Vec::new(),
        }
    }

    /// Passes the current routing state to the engine, after an update or when part of it has expired.
    pub(crate) fn update(&mut self, now: Millis, routing_state: &mut RoutingState) {
        self.updated_at = now;
        let known = routing_state.backends(now, SERVICE);
        let input = decision_input::build(
            &known,
            routing_state.fleet_parameters(RETRY_BUDGET.0, RETRY_BUDGET.1),
            0.0,
        );
        self.handle(now, input.event);
    }

    /// Advances time and submits new requests; returns what is sent to backends.
    pub(crate) fn tick(
        &mut self, now: Millis, arrivals: usize, routing_state: &mut RoutingState,
    ) -> Vec<Send> {
        self.run_due(now);
        if routing_state.needs_update(now) && now - self.updated_at >= UPDATE_INTERVAL {
            self.update(now, routing_state);
        }
        for _ in 0..arrivals {
            self.next += 1;
            let arrival = Arrival {
                id: self.next,
                customer: Name::from(""),
                plan: PLAN.into(),
                class: DEFAULT_CLASS.into(),
                units: 1.0,
                is_retry: false,
                client_timeout: CLIENT_TIMEOUT,
                first_gateway: 0,
                gateway_count: 1,
                constraints: None,
            };
            self.handle(now, Event::Request(arrival));
        }
        std::mem::take(&mut self.sends)
    }

    /// Schedules the end of a request that was sent to a backend, `after` ms from now.
    pub(crate) fn finish_request(&mut self, now: Millis, sent: Send, outcome: Outcome, after: Millis) {
        self.set(now + after, Due::End(sent, outcome, after));
    }

    /// The number of requests that were sent to backends without parameters.
    pub(crate) fn sent_without_parameters(&self) -> u64 {
        self.gateway.send_counts().without_parameters
    }

    fn set(&mut self, at: Millis, due: Due) {
        self.sequence += 1;
        self.due.insert(((at * 1000.0) as u64, self.sequence), due);
    }

    fn run_due(&mut self, now: Millis) {
        while let Some(entry) = self.due.first_entry() {
            let at = entry.key().0 as f64 / 1000.0;
            if at > now {
                return;
            }
            match entry.remove() {
                Due::Timer(token) => self.handle(at, Event::Timer { token }),
                Due::End(sent, outcome, latency) => self.end(at, sent, outcome, latency),
            }
        }
    }

    fn end(&mut self, at: Millis, sent: Send, outcome: Outcome, latency: Millis) {
        let finished = outcome == Outcome::Served;
        if finished {
            self.attempts.remove(&sent.request);
        }
        let end = AttemptEnd {
            id: sent.request,
            attempt: sent.attempt,
            backend: sent.backend,
            outcome,
            latency,
            actual_units: None,
            finished,
            load: None,
        };
        self.handle(at, Event::AttemptEnded(end));
    }

    fn handle(&mut self, now: Millis, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => {
                    let attempts = self.attempts.entry(id).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    self.sends.push(Send { backend, request: id, attempt });
                }
                Action::SetTimer { after, token } => self.set(now + after, Due::Timer(token)),
                Action::Refuse { id, .. } | Action::Fail { id } => drop(self.attempts.remove(&id)),
                _ => {}
            }
        }
    }
}
