//! Contact with a majority of the core. What a registry tells its proxies is only as recent as its last
//! contact, so it sends the age of that contact with each heartbeat, and a proxy changes to another registry
//! when the age is too high.

use crate::{Millis, RegistryState};
use fennelscale_messages::session::CONTACT_LEASE;

/// How long a registry that knows no core members is assumed to wait for the bootstrap of the cluster.
const BOOTSTRAP_WAIT: Millis = 4000.0;

impl RegistryState {
    /// Time since this registry was last in contact, that is, had heard from a majority of the core members
    /// and its store's copy was as new as a quorum's.
    pub fn contact_age(&self, now: Millis) -> Millis {
        // The store's confirmation ages like all contact, because a store that hangs cannot revoke it.
        (now - self.majority_heard_at(now).min(self.freshness.confirmed_at()).max(self.startup_grace_end()))
            .max(0.0)
    }

    /// Whether this registry's last contact is too old for others to rely on what it sends.
    pub(crate) fn has_lost_contact(&self, now: Millis) -> bool {
        self.contact_age(now) > CONTACT_LEASE
    }

    /// The latest time at which a majority of the core members, including this one, had been heard from.
    fn majority_heard_at(&self, now: Millis) -> Millis {
        let last_heard = |host| self.peers.get(&host).map_or(self.started_at, |peer| peer.last_heard);
        let mut heard: Vec<Millis> = self.other_core_members().into_iter().map(last_heard).collect();
        heard.sort_by(|a, b| b.total_cmp(a));
        match self.majority().checked_sub(2) {
            None => now,
            Some(last) => heard.get(last).copied().unwrap_or(self.started_at),
        }
    }

    /// A registry that has just started counts as in contact until this time; one that knows no core members
    /// may wait for the bootstrap.
    fn startup_grace_end(&self) -> Millis {
        self.started_at
            + if self.core_members.members.is_empty() { BOOTSTRAP_WAIT - CONTACT_LEASE } else { 0.0 }
    }
}
