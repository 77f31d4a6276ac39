//! Contact with the majority of the core. What a registry tells its proxies is as good as its last contact: its age goes down each
//! session with the beats, and a proxy goes elsewhere when it is too old.

use crate::{Millis, RegistryState};
use fennelscale_messages::session::CONTACT_LEASE;

/// A registry without seats is taken for one that waits to be founded for so long.
const BOOTSTRAP_WAIT: Millis = 4000.0;

impl RegistryState {
    /// How long ago this registry was last in contact: had heard a majority of the seats, and its store's copy was as new as a
    /// quorum's.
    pub fn contact_age(&self, now: Millis) -> Millis {
        // The store's word ages as all contact does: one that hangs cannot take it back.
        (now - self.majority_heard(now).min(self.vouched.last()).max(self.grace())).max(0.0)
    }

    /// Whether this registry's contact is too old for others to go by what it says.
    pub(crate) fn is_cut(&self, now: Millis) -> bool {
        self.contact_age(now) > CONTACT_LEASE
    }

    /// The moment up to which a majority of the seats, this one included, was heard.
    fn majority_heard(&self, now: Millis) -> Millis {
        let heard = |host| self.peers.get(&host).map_or(self.born, |peer| peer.heard);
        let mut heard: Vec<Millis> = self.others().into_iter().map(heard).collect();
        heard.sort_by(|a, b| b.total_cmp(a));
        match self.majority().checked_sub(2) {
            None => now,
            Some(last) => heard.get(last).copied().unwrap_or(self.born),
        }
    }

    /// Until then nothing is expected of a registry that has just started: one that knows no seats may wait to be founded.
    fn grace(&self) -> Millis {
        self.born + if self.seats.members.is_empty() { BOOTSTRAP_WAIT - CONTACT_LEASE } else { 0.0 }
    }
}
