//! Limits at the edge of what numbers can say: all that is computed with them stays a finite number, and a relay beside
//! the holder does not ask it without end.

use fennelscale_messages::Host;
use fennelscale_messages::session::{Grant, ProxyToRegistry};
use fennelscale_quota_lease::{
    Admission, LeaseCache, Quota, QuotaCounter, QuotaRequest, Relay, RelayOutput, UnitRequest,
};
use proptest::prelude::*;

const TENANT: &str = "choir";
const PROXY: Host = Host(1);
const REGISTRY: Host = Host(2);
/// Every value that a limit may be changed to.
const EXTREMES: [f64; 8] =
    [f64::MIN_POSITIVE, 1e-300, 0.01, 1.0, 60.0, 9_007_199_254_740_993.0, 1e300, f64::MAX];
/// The most questions to the holder that one question of a proxy may cause.
const MAX_QUESTIONS: usize = 100;

/// Relay and holder in one process, where the answer comes before the question has returned.
#[derive(Default)]
struct Registry {
    relay: Relay,
    counter: QuotaCounter,
    /// Since when the duty is held.
    since: f64,
}

impl Registry {
    /// Handles a proxy's question; the answers to the proxy.
    fn ask(&mut self, now: f64, quota: Quota, units: f64, next: bool, demand: f64) -> Vec<Grant> {
        let mut outputs = Vec::new();
        self.relay.request_units(now, PROXY, TENANT, units, next, demand, quota, &mut outputs);
        let (mut grants, mut questions) = (Vec::new(), 0);
        while let Some(output) = outputs.pop() {
            match output {
                RelayOutput::ToProxy(_, grant) => grants.push(grant),
                RelayOutput::ToHolder(tenant, units, next_window, demand) => {
                    questions += 1;
                    assert!(questions <= MAX_QUESTIONS, "{quota:?}: the relay asks without end at {now}");
                    let request =
                        UnitRequest { tenant: &tenant, proxy: REGISTRY, units, next_window, demand };
                    let grant = self.counter.request_units(now, request, quota, self.since, 0.0);
                    check(&grant, quota);
                    self.relay.on_grant(now, grant, &mut outputs);
                }
            }
        }
        grants
    }
}

fn check(grant: &Grant, quota: Quota) {
    for number in [grant.units, grant.begins_in, grant.ends_in] {
        assert!(number.is_finite() && number >= 0.0, "{quota:?}: {grant:?}");
    }
    assert!(grant.ends_in > 0.0, "{quota:?}: a lease that has ended: {grant:?}");
}

fn quotas() -> Vec<Quota> {
    let with_rate = |rate| EXTREMES.map(|burst| Quota { rate, burst });
    let mut all: Vec<Quota> = EXTREMES.into_iter().flat_map(with_rate).collect();
    all.extend(EXTREMES.map(|rate| Quota { rate, burst: 0.0 }));
    all
}

/// Guards against the end of a registry by a tenant's limits: with a window without end the relay and the holder in one
/// process asked each other until the stack was full, as each lease ended when it was granted.
#[test]
fn a_registry_answers_for_all_limits() {
    for quota in quotas() {
        assert!(quota.window_length().is_finite() && quota.units_per_window().is_finite(), "{quota:?}");
        let mut registry = Registry::default();
        for now in [10.0, 600.0, 1e6, 1e9, 2e12] {
            for (units, next, demand) in [(1.0, false, 0.0), (f64::MAX, true, f64::MAX), (3.0, false, 0.01)] {
                registry.ask(now, quota, units, next, demand).iter().for_each(|grant| check(grant, quota));
            }
        }
        registry.counter.return_units(2e12, TENANT, f64::MAX, 0);
        registry.counter.remove_idle(2e12);
    }
}

/// Guards against the same where a tenant that is counted has its limits changed: this is how it came about.
#[test]
fn a_registry_answers_when_limits_change_to_any_others() {
    const ORDINARY: Quota = Quota { rate: 5.0, burst: 5.0 };
    for quota in quotas() {
        let mut registry = Registry::default();
        for (now, quota) in
            [(5000.0, ORDINARY), (5100.0, quota), (5200.0, quota), (9000.0, quota), (9100.0, ORDINARY)]
        {
            registry.ask(now, quota, 1.0, false, 0.01).iter().for_each(|grant| check(grant, quota));
        }
    }
}

/// Guards against `Retry-After` that is no number, and against a tenant that is refused though nothing of its limit is
/// spent.
#[test]
fn a_proxy_serves_a_tenant_with_any_burst() {
    for quota in quotas().into_iter().filter(|quota| quota.burst >= 1.0) {
        let (mut registry, mut cache) = (Registry::default(), LeaseCache::new(0.0, 1));
        cache.set_proxy_count(1.0);
        // Long after the duty was taken over and the proxy was started.
        let now = 1e15;
        let (mut messages, mut decided) = (Vec::new(), Vec::new());
        let request = QuotaRequest { id: 1, deadline: now + 150.0, is_late: false };
        let mut admission = cache.admit(now, TENANT, quota, request, &mut messages);
        while let Some(ProxyToRegistry::RequestUnits { units, next_window, demand, .. }) = messages.pop() {
            for grant in registry.ask(now, quota, units, next_window, demand) {
                cache.on_grant(now, grant, &mut messages, &mut decided);
            }
        }
        if let Some((_, decision)) = decided.pop() {
            admission = decision;
        }
        assert_eq!(admission, Admission::Admitted, "{quota:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// Guards against a lease that ends the moment it is granted, at the end of a window where numbers are rounded.
    #[test]
    fn no_lease_ends_as_it_is_granted(
        rate in 0.01..100_000.0_f64, burst_s in 0.5..3600.0_f64, since in 0.0..1e7_f64, window in 2..10_000_u32,
    ) {
        let quota = Quota { rate, burst: rate * burst_s };
        let mut registry = Registry { since, ..Registry::default() };
        let length = quota.window_length();
        registry.ask(since + 1.0, quota, 1.0, false, 0.0);
        let end = since + f64::from(window) * length;
        for now in [end.next_down(), end, end.next_up()] {
            registry.ask(now, quota, 1.0, false, 0.0).iter().for_each(|grant| check(grant, quota));
        }
    }
}
