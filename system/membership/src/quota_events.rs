//! Events at the edges of quotas: spent, and back.

use crate::feed::EventKind;
use crate::{Millis, RegistryState};
use fennelscale_messages::session::Grant;
use std::collections::BTreeMap;

/// When a tenant last got nothing of a window at hand, and of which window that was.
pub(crate) type Exhausted = BTreeMap<String, (Millis, u64)>;

/// A quota of which nobody was refused a part for so long is back: longer than any window is between two asks of a flood.
const BACK: Millis = 3000.0;
/// So many tenants are looked at; more edges at once are not told.
const MOST: usize = 1024;

impl RegistryState {
    /// The count kept here was asked for units.
    pub(crate) fn quota_edge(&mut self, now: Millis, grant: &Grant) {
        if grant.closed || grant.next_window || grant.units >= 1.0 {
            return;
        }
        if let Some(spent) = self.spent.get_mut(&grant.tenant) {
            *spent = (now, grant.window);
        } else if self.spent.len() < MOST {
            self.spent.insert(grant.tenant.clone(), (now, grant.window));
            let cause = format!("window {} at registry {}, who holds its count", grant.window, self.me);
            self.feed.record_local(now, EventKind::QuotaSpent, &format!("t:{}", grant.tenant), cause);
        }
    }

    /// Tenants that are not refused any more.
    pub(crate) fn quotas_back(&mut self, now: Millis) {
        let over = |(_, (last, _)): &(&String, &(Millis, u64))| now - last >= BACK;
        let back: Vec<(String, u64)> =
            self.spent.iter().filter(over).map(|(name, (_, window))| (name.clone(), *window)).collect();
        for (tenant, window) in back {
            self.spent.remove(&tenant);
            let cause = format!("nothing refused since window {window} at registry {}", self.me);
            self.feed.record_local(now, EventKind::QuotaBack, &format!("t:{tenant}"), cause);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_messages::Host;
    use fennelscale_messages::feed::EventQuery;

    fn told(round: &RegistryState) -> Vec<(EventKind, String)> {
        let told =
            round.feed().read(0.0, &EventQuery { subject_prefix: "t:".into(), ..EventQuery::default() });
        told.events.into_iter().map(|event| (event.kind, event.subject)).collect()
    }

    #[test]
    fn a_quota_is_told_spent_once_and_back_once() {
        let mut round = RegistryState::new(Host(1), 7, "a", "r", true, 0.0);
        let grant = |units, next, closed| Grant {
            tenant: "x".into(),
            units,
            window: 3,
            begins_in: 0.0,
            ends_in: 100.0,
            next_window: next,
            closed,
        };
        // Something was granted; nothing was, but ahead, or by nobody.
        for grant in [grant(1.0, false, false), grant(0.0, true, false), grant(0.0, false, true)] {
            round.quota_edge(0.0, &grant);
        }
        assert_eq!(told(&round), []);
        for n in 0..50 {
            round.quota_edge(f64::from(n) * 100.0, &grant(0.0, false, false));
            round.quotas_back(f64::from(n) * 100.0);
        }
        assert_eq!(told(&round), [(EventKind::QuotaSpent, "t:x".to_owned())]);
        round.quotas_back(4900.0 + BACK);
        round.quotas_back(4900.0 + 2.0 * BACK);
        let both = [(EventKind::QuotaSpent, "t:x".to_owned()), (EventKind::QuotaBack, "t:x".to_owned())];
        assert_eq!(told(&round), both);
        assert!(round.spent.is_empty());
    }

    #[test]
    fn a_flood_of_tenants_takes_no_more_than_its_room() {
        let mut round = RegistryState::new(Host(1), 7, "a", "r", true, 0.0);
        for n in 0..3 * MOST {
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
            round.quota_edge(0.0, &grant);
        }
        assert_eq!(round.spent.len(), MOST);
    }
}
