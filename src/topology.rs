//! Deployment knowledge that guides the decisions: distance and capacity of each backend, the regions a
//! request may go to, and the retry budget. A gateway that receives none of this decides without it.
//!
//! - *Choice*: the backend with the earliest expected answer wins. The expectation is the smoothed latency
//!   (round trip included), scaled by the requests in flight, plus the transfer cost in ms. Each backend is
//!   assigned to a gateway, which sends most of its traffic, so the requests that this gateway has in flight
//!   there are nearly all there are. Backends assigned to others are assumed to be busy.
//! - *Parameters first*: once parameters were received, a backend without them is sent nothing. It may be
//!   cold and reserved for another gateway.
//! - *Cold backends* get only the rate that was assigned to this gateway, one request at a time.
//! - *Retries*: a fraction of the requests, plus a part of the slack that all gateways share. Each gateway
//!   has its own budget; together they never exceed the total.

use crate::interface::{Millis, Name};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// The weight of the newest sample in a backend's smoothed latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Concurrency limit at a backend, as a multiple of this gateway's part of its slots: for its own backends
/// and for those of others. Further requests wait in the queue. Late answers reduce the limit to at least
/// `MIN_LIMIT_SHARE` of it.
const OWN_LIMIT_FACTOR: f64 = 1.5;
const OTHERS_LIMIT_FACTOR: f64 = 2.0;
const MIN_LIMIT_SHARE: f64 = 0.5;
/// Backends of other gateways are expected to be slower by this factor, plus a random part: a gateway without
/// a free backend of its own spreads its requests over all of them.
const OTHERS_LATENCY_FACTOR: f64 = 1.25;
const OTHERS_JITTER: f64 = 0.5;
/// The bytes of a typical request and its answer.
const TYPICAL_BYTES: f64 = 6000.0;
/// Among a gateway's own free backends, the weight by which the less loaded one is preferred.
const LOAD_WEIGHT: f64 = 0.2;
/// The used part of the allowed retry ratio: counts of one gateway reach the window of another with a delay.
const RETRY_RATIO_SHARE: f64 = 0.75;
/// The used part of the shared retry slack, and an extra part for requests that reached a reassigned address:
/// these never ran, but their arrival may be counted like any other.
const RETRY_SLACK_SHARE: f64 = 0.6;
const MISDIRECTED_SHARE: f64 = 0.3;

/// Parameters of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendParameters {
    /// Requests that it processes concurrently.
    pub slots: f64,
    /// How many gateways are likely to send to it; for an own backend, how many gateways it is assigned to.
    pub sharers: f64,
    /// Whether it is assigned to this gateway, alone or with a few others.
    pub is_owned: bool,
    /// Network round-trip time.
    pub round_trip: Millis,
    /// Transfer cost of a typical request, expressed as added latency.
    pub distance_cost: Millis,
    /// The end of its cold phase.
    pub cold_until: Millis,
    /// Requests per second that it accepts from this gateway while it is cold.
    pub cold_rate_per_s: f64,
}

/// Parameters that all gateways share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetParameters {
    /// The number of gateways.
    pub gateways: f64,
    /// Retries allowed per request, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed beyond the ratio, over all gateways.
    pub retry_slack: f64,
    /// Typical service time, used for backends that have not answered yet.
    pub typical_latency: Millis,
}

/// Limits on where and how often one request may be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestConstraints {
    /// The cells whose backends may receive it; empty for all.
    pub cells: Vec<u64>,
    /// Maximum number of backends that it may be sent to; 0 for the maximum of the settings.
    pub max_attempts: u32,
    /// Its size, which scales the transfer cost; 0 for a typical request.
    pub bytes: u32,
}

/// Requests sent, by the known state of the backend at the time of the choice. Used for metrics only, never
/// for decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// To backends that were warm by their parameters.
    pub warm: u64,
    /// To backends that were cold by their parameters.
    pub cold: u64,
    /// To backends without parameters, although parameters of others had been received.
    pub without_parameters: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownBackend {
    parameters: BackendParameters,
    latency: Millis,
    /// Requests that may still be sent while it is cold, as of `at`.
    cold_tokens: f64,
    at: Millis,
}

/// The topology state of one gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    /// Parameters were received: a backend without them is sent nothing.
    received: bool,
    parameters: FleetParameters,
    backends: BTreeMap<Name, KnownBackend>,
    retry_budget: f64,
    send_counts: SendCounts,
}

impl Topology {
    /// Requests sent so far.
    pub(crate) fn send_counts(&self) -> SendCounts {
        self.send_counts
    }

    pub(crate) fn update(
        &mut self, now: Millis, parameters: FleetParameters, backends: Vec<(Name, BackendParameters)>,
    ) {
        if self.parameters.retry_ratio == 0.0 {
            self.retry_budget = parameters.retry_slack * RETRY_SLACK_SHARE / parameters.gateways.max(1.0);
        }
        (self.received, self.parameters) = (true, parameters);
        let mut previous = std::mem::take(&mut self.backends);
        for (name, parameters) in backends {
            let fresh = KnownBackend {
                parameters,
                latency: parameters.round_trip + self.parameters.typical_latency,
                cold_tokens: 1.0,
                at: now,
            };
            let mut record = previous.remove(&name).unwrap_or(fresh);
            if parameters.cold_until > record.parameters.cold_until && record.parameters.cold_until <= now {
                // A cold phase begins: at most one request at once.
                (record.cold_tokens, record.at) = (1.0, now);
            }
            record.parameters = parameters;
            self.backends.insert(name, record);
        }
    }

    /// The initial concurrency limit of this gateway at a backend; `None` without parameters of it.
    pub(crate) fn limit(&self, name: &Name) -> Option<f64> {
        let parameters = self.backends.get(name)?.parameters;
        let others = parameters.slots / parameters.sharers.max(1.0) * OTHERS_LIMIT_FACTOR;
        let own = parameters.slots / parameters.sharers.max(1.0) * OWN_LIMIT_FACTOR;
        Some(if parameters.is_owned { own.max(1.0) } else { others.max(1.0) })
    }

    /// The limit that late answers cannot reduce further.
    pub(crate) fn min_limit(&self, name: &Name) -> f64 {
        self.limit(name).map_or(0.0, |limit| limit * MIN_LIMIT_SHARE)
    }

    fn cold_tokens(record: &KnownBackend, now: Millis) -> f64 {
        (record.cold_tokens + (now - record.at).max(0.0) / 1000.0 * record.parameters.cold_rate_per_s)
            .min(1.0)
    }

    /// The expected time to an answer: `Some(None)` if the backend may not be sent anything, `None` if no
    /// parameters were ever received.
    pub(crate) fn score(
        &self, name: &Name, in_flight: u32, now: Millis, jitter: f64, bytes: u32,
    ) -> Option<Option<f64>> {
        let Some(record) = self.backends.get(name) else { return self.received.then_some(None) };
        let parameters = &record.parameters;
        if now < parameters.cold_until
            && (parameters.cold_rate_per_s <= 0.0 || Self::cold_tokens(record, now) < 1.0)
        {
            return Some(None);
        }
        let (in_flight, slots) = (f64::from(in_flight), parameters.slots.max(1.0));
        let load_factor = if parameters.is_owned {
            let slots = (slots / parameters.sharers.max(1.0)).max(1.0);
            let excess = (in_flight + 1.0 - slots).max(0.0) / slots;
            1.0 + LOAD_WEIGHT * (in_flight / slots).min(1.0) + excess + 0.1 * jitter
        } else {
            let share = (slots / parameters.sharers.max(1.0)).max(0.5);
            OTHERS_LATENCY_FACTOR + OTHERS_JITTER * jitter + in_flight / share
        };
        Some(Some(
            record.latency * load_factor
                + parameters.distance_cost * (1.0 + f64::from(bytes) / TYPICAL_BYTES),
        ))
    }

    /// Records a send; `is_retry` if the request has been sent before.
    pub(crate) fn record_send(&mut self, name: &Name, now: Millis, is_retry: bool) {
        if is_retry {
            self.retry_budget -= 1.0;
        }
        match self.backends.get_mut(name) {
            Some(record) if now < record.parameters.cold_until => {
                (record.cold_tokens, record.at) = (Self::cold_tokens(record, now) - 1.0, now);
                self.send_counts.cold += 1;
            }
            Some(_) => self.send_counts.warm += 1,
            None if self.received => self.send_counts.without_parameters += 1,
            None => {}
        }
    }

    pub(crate) fn record_latency(&mut self, name: &Name, latency: Millis) {
        if let Some(record) = self.backends.get_mut(name) {
            record.latency += LATENCY_WEIGHT * (latency - record.latency);
        }
    }

    /// Credits the retry budget with the fraction that one request earns.
    pub(crate) fn record_arrival(&mut self) {
        let maximum = self.parameters.retry_slack * RETRY_SLACK_SHARE / self.parameters.gateways.max(1.0);
        self.retry_budget =
            (self.retry_budget + self.parameters.retry_ratio * RETRY_RATIO_SHARE).min(maximum.max(1.0));
    }

    /// Whether a request may be retried. A `misdirected` one may use a reserve that is closed to others.
    pub(crate) fn may_retry(&self, misdirected: bool) -> bool {
        let misdirected_part =
            self.parameters.retry_slack * MISDIRECTED_SHARE / self.parameters.gateways.max(1.0);
        let reserve = if misdirected { misdirected_part } else { 0.0 };
        self.parameters.retry_ratio <= 0.0 || self.retry_budget + reserve >= 1.0
    }
}

impl Hash for Topology {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Metrics counters are not part of the decision state.
        let Self { received, parameters, backends, retry_budget, send_counts: _ } = self;
        received.hash(state);
        let FleetParameters { gateways, retry_ratio, retry_slack, typical_latency } = parameters;
        [*gateways, *retry_ratio, *retry_slack, *typical_latency, *retry_budget]
            .map(f64::to_bits)
            .hash(state);
        for (name, KnownBackend { parameters, latency, cold_tokens, at }) in backends {
            let BackendParameters {
                slots,
                sharers,
                is_owned,
                round_trip,
                distance_cost,
                cold_until,
                cold_rate_per_s,
            } = parameters;
            (name, is_owned).hash(state);
            [
                *slots,
                *sharers,
                *round_trip,
                *distance_cost,
                *cold_until,
                *cold_rate_per_s,
                *latency,
                *cold_tokens,
                *at,
            ]
            .map(f64::to_bits)
            .hash(state);
        }
    }
}
