//! What operators are told of a registry.

use crate::{Millis, RegistryState, members};

impl RegistryState {
    /// What operators are told of this registry: pairs of names and values, in a fixed order.
    pub fn status(&self, now: Millis) -> Vec<(&'static str, String)> {
        let members::ProxyCounts { all: gateways, silent, .. } = self.counted(now);
        let alive = self.reachable_registries(now).len();
        let lagging = self.members.lagging();
        vec![
            ("registry", self.me.to_string()),
            ("zone", self.zones.0.clone()),
            ("seats", self.seats.members.len().to_string()),
            ("seats_version", self.seats.version.to_string()),
            ("registries_heard", alive.to_string()),
            ("copy_fresh", self.vouched.holds(now).to_string()),
            ("copy_vouched_ms_ago", format!("{:.0}", now - self.vouched.last())),
            ("cut_off", self.is_cut(now).to_string()),
            ("contact_age_ms", format!("{:.0}", self.contact_age(now))),
            ("items", self.items.entries().len().to_string()),
            ("listing", self.listing.stamp.0.to_string()),
            ("backends", self.listing.backends.len().to_string()),
            ("proxies", self.members.all(now).len().to_string()),
            ("proxies_for_shares", gateways.to_string()),
            ("proxies_silent", silent.to_string()),
            ("sessions_here", self.members.sessions().len().to_string()),
            ("sessions_lagging", lagging.to_string()),
            ("copies_compared", self.resent.0.to_string()),
            ("entries_resent", self.resent.1.to_string()),
            ("duties_held", self.held_duties(now).count_ones().to_string()),
            ("tenants_counted", self.counts.tenants().to_string()),
            ("tenants_relayed", self.relay.tenants().to_string()),
        ]
    }
}
