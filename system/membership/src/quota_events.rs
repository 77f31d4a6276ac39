//! Events for quotas that become exhausted or available again.

use crate::feed::EventKind;
use crate::{Millis, RegistryState};
use fennelscale_messages::session::Grant;
use std::collections::BTreeMap;

/// For each tenant, when a request for the current window was last refused, and which window that was.
pub(crate) type Exhausted = BTreeMap<String, (Millis, u64)>;

/// A quota is available again once no request was refused for this long, which is longer than the time
/// between two requests of a flood in any window.
const RECOVERY_TIME: Millis = 3000.0;
/// Maximum of tenants that are tracked; further ones that become exhausted at the same time cause no event.
const MAX_TENANTS: usize = 1024;

impl RegistryState {
    /// Records an answer to a request for units whose count is held here.
    pub(crate) fn record_exhausted_quota(&mut self, now: Millis, grant: &Grant) {
        if grant.closed || grant.next_window || grant.units >= 1.0 {
            return;
        }
        if let Some(refusal) = self.exhausted_quotas.get_mut(&grant.tenant) {
            *refusal = (now, grant.window);
        } else if self.exhausted_quotas.len() < MAX_TENANTS {
            self.exhausted_quotas.insert(grant.tenant.clone(), (now, grant.window));
            let cause =
                format!("window {} at registry {}, who holds its count", grant.window, self.local_host);
            self.feed.record_local(now, EventKind::QuotaSpent, &format!("t:{}", grant.tenant), cause);
        }
    }

    /// Records the tenants that are no longer refused.
    pub(crate) fn record_recovered_quotas(&mut self, now: Millis) {
        let is_recovered = |(_, (last, _)): &(&String, &(Millis, u64))| now - last >= RECOVERY_TIME;
        let recovered: Vec<(String, u64)> = self
            .exhausted_quotas
            .iter()
            .filter(is_recovered)
            .map(|(name, (_, window))| (name.clone(), *window))
            .collect();
        for (tenant, window) in recovered {
            self.exhausted_quotas.remove(&tenant);
            let cause = format!("nothing refused since window {window} at registry {}", self.local_host);
            self.feed.record_local(now, EventKind::QuotaBack, &format!("t:{tenant}"), cause);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_messages::Host;
    use fennelscale_messages::feed::EventQuery;

    fn events(registry: &RegistryState) -> Vec<(EventKind, String)> {
        let read =
            registry.feed().read(0.0, &EventQuery { subject_prefix: "t:".into(), ..EventQuery::default() });
        read.events.into_iter().map(|event| (event.kind, event.subject)).collect()
    }

    #[test]
    fn an_exhausted_quota_causes_one_event_when_spent_and_one_when_back() {
        let mut registry = RegistryState::new(Host(1), 7, "a", "r", true, 0.0);
        let grant = |units, next, closed| Grant {
            tenant: "x".into(),
            units,
            window: 3,
            begins_in: 0.0,
            ends_in: 100.0,
            next_window: next,
            closed,
        };
        // Units were granted; none were, but for the next window; none were, since no registry grants.
        for grant in [grant(1.0, false, false), grant(0.0, true, false), grant(0.0, false, true)] {
            registry.record_exhausted_quota(0.0, &grant);
        }
        assert_eq!(events(&registry), []);
        for n in 0..50 {
            registry.record_exhausted_quota(f64::from(n) * 100.0, &grant(0.0, false, false));
            registry.record_recovered_quotas(f64::from(n) * 100.0);
        }
        assert_eq!(events(&registry), [(EventKind::QuotaSpent, "t:x".to_owned())]);
        registry.record_recovered_quotas(4900.0 + RECOVERY_TIME);
        registry.record_recovered_quotas(4900.0 + 2.0 * RECOVERY_TIME);
        let both = [(EventKind::QuotaSpent, "t:x".to_owned()), (EventKind::QuotaBack, "t:x".to_owned())];
        assert_eq!(events(&registry), both);
        assert!(registry.exhausted_quotas.is_empty());
    }

    #[test]
    fn the_number_of_tracked_tenants_is_bounded() {
        let mut registry = RegistryState::new(Host(1), 7, "a", "r", true, 0.0);
        for n in 0..3 * MAX_TENANTS {
            let (tenant, units) = (n.to_string(), 0.0);
            let ends = 100.0;
            let grant = Grant {
                tenant,
                units,
                window: 0,
                begins_in: 0.0,
                ends_in: ends,
                next_window: false,
                closed: false,
            };
            registry.record_exhausted_quota(0.0, &grant);
        }
        assert_eq!(registry.exhausted_quotas.len(), MAX_TENANTS);
    }
}
