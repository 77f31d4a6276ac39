//! Counts of failure orders (injected failures), as reported by proxies.

use crate::feed::EventKind;
use crate::{Millis, RegistryState};
use fennelscale_messages::Host;
use std::collections::BTreeMap;

/// The counts of one order: its name; requests that it names, failed, and left untouched; and how all other
/// requests ended before its time and during it.
pub type OrderCount = (String, [u64; 3], [[u64; 3]; 2]);

/// By proxy: the incarnation that counted, and its counts.
pub(crate) type ReportedCounts = BTreeMap<Host, (u64, Vec<OrderCount>)>;

/// Maximum of orders that one proxy may report.
const MAX_ORDERS_PER_PROXY: usize = fennelscale_fault_injection::MAX_ORDERS;

impl RegistryState {
    /// A proxy with a session here reports the counts of its current incarnation.
    pub(crate) fn on_failure_counts(&mut self, now: Millis, from: Host, mut counts: Vec<OrderCount>) {
        counts.truncate(MAX_ORDERS_PER_PROXY);
        self.proxies.session_heard(from, now);
        let Some(incarnation) = self.proxies.incarnation(from) else { return };
        let before = self.failure_counts.insert(from, (incarnation, counts.clone()));
        let before =
            before.filter(|(known, _)| *known == incarnation).map(|(_, counts)| counts).unwrap_or_default();
        for (order, [named, failed, untouched], _) in counts {
            let known =
                before.iter().find(|(name, ..)| *name == order).map_or(0, |(_, [_, failed, _], _)| *failed);
            if failed > known {
                let mark = fennelscale_messages::mix(incarnation ^ u64::from(from.0)) ^ failed;
                let cause = format!(
                    "proxy {from}: {failed} failed of {named} that it names, {untouched} left untouched"
                );
                self.feed.record(now, EventKind::FailureMet, &order, mark, cause);
            }
        }
    }

    /// The counts of each proxy with a session here: the proxy, its incarnation, its counts.
    pub fn failure_counts(&self) -> Vec<(Host, u64, Vec<OrderCount>)> {
        self.failure_counts
            .iter()
            .map(|(host, (incarnation, counts))| (*host, *incarnation, counts.clone()))
            .collect()
    }
}
