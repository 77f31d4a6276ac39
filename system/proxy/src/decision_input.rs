//! The input of the decision module: the settings of an engine, and the backends of a service with their
//! parameters. Performs no I/O and reads no clock.

use crate::routing_state::KnownBackend;
use doorcourse::{
    BackendEntry, BackendParameters, BackendState, Class, DedupScope, Event, FleetParameters, Name, Plan,
    RetrySafety, Settings,
};
use fennelscale_settings::list::Host;

/// The plan of all requests; the lease cache enforces quotas.
pub const PLAN: &str = "mesh";
/// The class of requests for which no other class is known.
pub const DEFAULT_CLASS: &str = "usual";
/// The longest delay in ms after which a refused client is told to retry: it heeds at most a third of its
/// remaining time.
const MAX_RETRY_AFTER: f64 = 500.0;
/// Interval of the housekeeping of one engine, in ms.
const SWEEP_INTERVAL: f64 = 100.0;

/// The settings of the decision engine of one service.
pub fn engine_settings(zone: &Name) -> Settings {
    let class = Class {
        name: DEFAULT_CLASS.into(),
        target_latency: 500.0,
        retry_safety: RetrySafety::Unsafe,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        value: 1.0,
        late_value_share: 0.5,
    };
    let plan = Plan {
        name: PLAN.into(),
        rate: 0.0,
        burst: 0.0,
        max_concurrent: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        value_factor: 1.0,
        over_quota_value_share: 0.0,
        over_quota_cost_share: 0.0,
    };
    Settings {
        gateways: 1,
        gateway_index: 0,
        zone: zone.clone(),
        tick: 1.0,
        housekeeping_interval: SWEEP_INTERVAL,
        classes: vec![class],
        plans: vec![plan],
        can_cancel: true,
        max_attempts: 3,
        max_retry_after: MAX_RETRY_AFTER,
        ..Settings::default()
    }
}

/// The backends of a service, for the connections and for the decision module.
pub struct DecisionInput {
    /// The backends with their addresses. A backend whose address cannot be parsed is left out.
    pub hosts: Vec<Host>,
    /// The same backends with their parameters, as one event: no backend is chosen before its parameters are
    /// known.
    pub event: Event,
}

/// Builds the input from all backends of a service. The clock of the decision module is `clock_shift` ms
/// ahead of the clock of the parameters.
pub fn build(known: &[KnownBackend], parameters: FleetParameters, clock_shift: f64) -> DecisionInput {
    let mut hosts = Vec::with_capacity(known.len());
    let mut backends = Vec::with_capacity(known.len());
    for known in known {
        let Ok(dial) = known.backend.address.parse() else { continue };
        let entry = backend_entry(known);
        let cold_until = known.parameters.cold_until + clock_shift;
        backends.push((entry.clone(), BackendParameters { cold_until, ..known.parameters }));
        hosts.push(Host { entry, dial });
    }
    DecisionInput { hosts, event: Event::Topology(parameters, backends) }
}

fn backend_entry(known: &KnownBackend) -> BackendEntry {
    BackendEntry {
        name: known.backend.id.as_str().into(),
        zone: known.backend.zone.as_str().into(),
        cell: known.region_index,
        state: if known.ready { BackendState::Ready } else { BackendState::Draining },
        started: None,
    }
}
