//! What the decisions of a proxy are told: their settings, and the backends of a service with their terms. No I/O and no clock.

use crate::routing_state::KnownBackend;
use doorcourse::{
    BackendEntry, BackendState, BackendTerms, Class, Effect, Event, Group, MeshTerms, Name, Plan, Settings,
};
use fennelscale_settings::list::Host;

/// The plan that all requests are under: quotas are the lease cache's.
pub const PLAN: &str = "mesh";
/// The class of requests of which nothing else is known.
pub const DEFAULT_CLASS: &str = "usual";
/// The longest time that a refused client is told to stay away: it heeds a third of what is left.
const ADVICE: f64 = 500.0;
/// Between two rounds of housekeeping of one engine, in ms.
const SWEEP: f64 = 100.0;

/// The settings of the decisions of one service.
pub fn engine_settings(zone: &Name) -> Settings {
    let class = Class {
        name: DEFAULT_CLASS.into(),
        aim: 500.0,
        effect: Effect::Unsafe,
        group: Group::All,
        memory: 0.0,
        worth: 1.0,
        late_worth: 0.5,
    };
    let plan = Plan {
        name: PLAN.into(),
        rate: 0.0,
        burst: 0.0,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 0.0,
    };
    Settings {
        gateways: 1,
        number: 0,
        zone: zone.clone(),
        tick: 1.0,
        sweep: SWEEP,
        classes: vec![class],
        plans: vec![plan],
        cancel: true,
        most_attempts: 3,
        longest_advice: ADVICE,
        ..Settings::default()
    }
}

/// What is told of the backends of a service: where connections go, and what the decisions heed.
pub struct DecisionInput {
    /// The backends with their addresses. One whose address cannot be read is as good as not listed.
    pub hosts: Vec<Host>,
    /// The same backends with their terms, as one event: nothing is chosen between the two.
    pub event: Event,
}

/// All backends of a service, as they are told. The decisions' clock is ahead of the one that the terms are told by, by
/// `shift` ms.
pub fn build(known: &[KnownBackend], terms: MeshTerms, shift: f64) -> DecisionInput {
    let mut hosts = Vec::with_capacity(known.len());
    let mut backends = Vec::with_capacity(known.len());
    for known in known {
        let Ok(dial) = known.backend.address.parse() else { continue };
        let entry = entry_of(known);
        let cold_until = known.terms.cold_until + shift;
        backends.push((entry.clone(), BackendTerms { cold_until, ..known.terms }));
        hosts.push(Host { entry, dial });
    }
    DecisionInput { hosts, event: Event::Mesh(terms, backends) }
}

fn entry_of(known: &KnownBackend) -> BackendEntry {
    BackendEntry {
        name: known.backend.id.as_str().into(),
        zone: known.backend.zone.as_str().into(),
        cell: known.region_index,
        state: if known.ready { BackendState::Ready } else { BackendState::Draining },
        started: None,
    }
}
