//! What proxies have counted of failure orders.

use crate::feed::EventKind;
use crate::{Millis, RegistryState};
use fennelscale_messages::Host;
use std::collections::BTreeMap;

/// One order: of whom it names, of all others before its time and in it.
pub type OrderCount = (String, [u64; 3], [[u64; 3]; 2]);

/// By proxy: the life that counted, and its counts.
pub(crate) type ReportedCounts = BTreeMap<Host, (u64, Vec<OrderCount>)>;

/// The most orders that one proxy may tell of.
const MOST: usize = fennelscale_fault_injection::MOST_ORDERS;

impl RegistryState {
    /// A proxy with a session here tells what it has counted in its life.
    pub(crate) fn met(&mut self, now: Millis, from: Host, mut counts: Vec<OrderCount>) {
        counts.truncate(MOST);
        self.members.heard(from, now);
        let Some(life) = self.members.life(from) else { return };
        let before = self.met.insert(from, (life, counts.clone()));
        let before = before.filter(|(known, _)| *known == life).map(|(_, counts)| counts).unwrap_or_default();
        for (order, [named, failed, over], _) in counts {
            let known =
                before.iter().find(|(name, ..)| *name == order).map_or(0, |(_, [_, failed, _], _)| *failed);
            if failed > known {
                let mark = fennelscale_messages::mix(life ^ u64::from(from.0)) ^ failed;
                let cause =
                    format!("proxy {from}: {failed} failed of {named} that it names, {over} left untouched");
                self.feed.record(now, EventKind::FailureMet, &order, mark, cause);
            }
        }
    }

    /// What each proxy with a session here has counted: the proxy, its life, its counts.
    pub fn failure_counts(&self) -> Vec<(Host, u64, Vec<OrderCount>)> {
        self.met.iter().map(|(host, (life, counts))| (*host, *life, counts.clone())).collect()
    }
}
