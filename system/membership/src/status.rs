//! The status page of a registry.

use crate::{Millis, RegistryState, proxies};

impl RegistryState {
    /// The status of this registry for operators: pairs of names and values, in a fixed order.
    pub fn status(&self, now: Millis) -> Vec<(&'static str, String)> {
        let proxies::ProxyCounts { total, isolated, .. } = self.proxy_counts(now);
        let reachable = self.reachable_registries(now).len();
        let lagging = self.proxies.lagging();
        vec![
            ("registry", self.local_host.to_string()),
            ("zone", self.location.0.clone()),
            ("seats", self.core_members.members.len().to_string()),
            ("seats_version", self.core_members.version.to_string()),
            ("registries_heard", reachable.to_string()),
            ("copy_fresh", self.freshness.is_fresh(now).to_string()),
            ("copy_vouched_ms_ago", format!("{:.0}", now - self.freshness.confirmed_at())),
            ("cut_off", self.has_lost_contact(now).to_string()),
            ("contact_age_ms", format!("{:.0}", self.contact_age(now))),
            ("items", self.config.entries().len().to_string()),
            ("listing", self.backend_list.stamp.0.to_string()),
            ("backends", self.backend_list.backends.len().to_string()),
            ("proxies", self.proxies.all(now).len().to_string()),
            ("proxies_for_shares", total.to_string()),
            ("proxies_silent", isolated.to_string()),
            ("sessions_here", self.proxies.sessions().len().to_string()),
            ("sessions_lagging", lagging.to_string()),
            ("copies_compared", self.resend_counts.0.to_string()),
            ("entries_resent", self.resend_counts.1.to_string()),
            ("duties_held", self.held_duties(now).count_ones().to_string()),
            ("tenants_counted", self.quota_counts.tenant_count().to_string()),
            ("tenants_relayed", self.quota_relay.tenant_count().to_string()),
        ]
    }
}
