//! Quota units of tenants: requested through a relay in each region and granted by the holder of the tenant's
//! count.

use crate::{Millis, Output, PEER_TIMEOUT, Peer, RegistryState, SELF_GRANT_REPORT_DELAY, duties};
use fennelscale_config::ParsedItem;
use fennelscale_messages::Host;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::{Grant, RegistryToProxy};
use fennelscale_messages::store::Entry;
use fennelscale_quota_lease::{Quota, QuotaCounter, RelayOutput, UnitRequest};
use std::rc::Rc;

impl RegistryState {
    /// The relay of this region for a tenant, by rendezvous hashing among the reachable registries of the
    /// region.
    pub(crate) fn relay_for(&self, now: Millis, tenant: &str) -> Host {
        let weight = |host: &Host| {
            fennelscale_messages::mix(fennelscale_messages::hash(tenant.as_bytes()) ^ u64::from(host.0))
        };
        let local = self
            .core_members
            .members
            .iter()
            .filter(|member| member.region == self.location.1)
            .map(|member| member.host);
        let reachable = local.filter(|host| *host == self.local_host || self.is_reachable(*host, now));
        reachable.max_by_key(weight).unwrap_or(self.local_host)
    }

    /// A proxy requests units from this relay, through the registry `via` if its session is there.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn relay_quota_request(
        &mut self, now: Millis, proxy: Host, via: Option<Host>, tenant: &str, units: f64, next: bool,
        demand: f64,
    ) {
        let terms = self.quota_terms.get(tenant).copied().unwrap_or_default();
        if terms.rate <= 0.0 {
            return;
        }
        match via {
            Some(via) => drop(self.relay_routes.insert(proxy, via)),
            None => drop(self.relay_routes.remove(&proxy)),
        }
        let mut sent = Vec::new();
        self.quota_relay.request_units(now, proxy, tenant, units, next, demand, terms, &mut sent);
        self.send_relay_outputs(now, sent);
    }

    pub(crate) fn on_relay_grant(&mut self, now: Millis, grant: Grant) {
        let mut sent = Vec::new();
        self.quota_relay.on_grant(now, grant, &mut sent);
        self.send_relay_outputs(now, sent);
    }

    pub(crate) fn send_relay_outputs(&mut self, now: Millis, sent: Vec<RelayOutput>) {
        for sent in sent {
            match sent {
                RelayOutput::ToProxy(proxy, grant) => match self.relay_routes.get(&proxy) {
                    Some(via) => {
                        self.outputs.push(Output::SendToRegistry(*via, RegistryMessage::Grant(proxy, grant)))
                    }
                    None => {
                        self.outputs.push(Output::SendToProxy(proxy, Rc::new(RegistryToProxy::Grant(grant))))
                    }
                },
                RelayOutput::ToHolder(tenant, units, next, demand) => {
                    self.request_from_holder(now, tenant, units, next, demand)
                }
            }
        }
    }

    fn request_from_holder(&mut self, now: Millis, tenant: String, units: f64, next: bool, demand: f64) {
        let from = self.local_host;
        match self.duty_holder(now, duties::shard_bit(&tenant)) {
            Some(host) if host == self.local_host => {
                let grant = self.grant_quota(
                    now,
                    UnitRequest { tenant: &tenant, proxy: from, units, next_window: next, demand },
                );
                self.on_relay_grant(now, grant);
            }
            Some(host) => self.outputs.push(Output::SendToRegistry(
                host,
                RegistryMessage::RequestUnits { from, tenant, units, next_window: next, demand },
            )),
            None => {
                let terms = self.quota_terms.get(&tenant).copied().unwrap_or_default();
                self.on_relay_grant(now, unavailable_grant(&tenant, next, terms));
            }
        }
    }

    /// The presumed holder of a duty.
    pub(crate) fn duty_holder(&self, now: Millis, bit: u64) -> Option<Host> {
        if self.held_duties(now) & bit != 0 {
            return Some(self.local_host);
        }
        let claims =
            |(_, peer): &(&Host, &Peer)| now - peer.last_heard < PEER_TIMEOUT && peer.claims & bit != 0;
        self.peers.iter().filter(claims).map(|(host, _)| *host).next()
    }

    /// Grants units of a tenant if the duty is held here. The lease is checked here, where the units are
    /// granted.
    pub(crate) fn grant_quota(&mut self, now: Millis, ask: UnitRequest<'_>) -> Grant {
        let (tenant, next) = (ask.tenant, ask.next_window);
        let bit = duties::shard_bit(tenant);
        let terms = self.quota_terms.get(tenant).copied().unwrap_or_default();
        if self.held_duties(now) & bit == 0 || terms.rate <= 0.0 {
            return unavailable_grant(tenant, next, terms);
        }
        let since = self.duties.held_since(bit);
        if since > now {
            // The duty is held, but this has not been recorded yet: the waiting period of a new holder has
            // not begun.
            return unavailable_grant(tenant, next, terms);
        }
        let counts = self.proxy_counts(now);
        // During the waiting period of a new holder all proxies spent without grants, and it takes a while
        // until they report that they no longer do.
        let settled = now
            > since + QuotaCounter::TAKEOVER_WINDOWS as f64 * terms.window_length() + SELF_GRANT_REPORT_DELAY;
        let self_granted = if settled { self.proxies.self_granted_count(bit) } else { 0.0 };
        let grant = self.quota_counts.request_units(
            now,
            ask,
            terms,
            since,
            counts.isolated_share + self_granted / counts.total,
        );
        self.record_exhausted_quota(now, &grant);
        grant
    }

    /// Updates a tenant's quota from its configuration item; there is none if the item was dropped or has no
    /// limit.
    pub(crate) fn update_quota_terms(&mut self, name: &str, entry: &Entry) {
        let Some(tenant) = name.strip_prefix("t:") else { return };
        let fact = entry.body.as_deref().map(|body| fennelscale_config::parse_item(name, &entry.host, body));
        match fact {
            Some(Ok(ParsedItem::Tenant(limits))) if limits.rate_per_s > 0.0 => {
                self.quota_terms
                    .insert(tenant.to_owned(), Quota { rate: limits.rate_per_s, burst: limits.burst });
            }
            _ => drop(self.quota_terms.remove(tenant)),
        }
    }
}

/// The answer while no registry grants: the proxy spends without grants until the window after next.
fn unavailable_grant(tenant: &str, next: bool, terms: Quota) -> Grant {
    let (tenant, ends) = (tenant.to_owned(), terms.window_length());
    Grant { tenant, units: 0.0, window: 0, begins_in: 0.0, ends_in: ends, next_window: next, closed: true }
}
