//! Units of tenants' quotas: asked for by way of a relay in each region, granted by whoever holds the tenant's count.

use crate::{Millis, Output, PEER_TIMEOUT, Peer, RECONNECT_DELAY, RegistryState, duties};
use fennelscale_config::ParsedItem;
use fennelscale_messages::Host;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::{Grant, RegistryToProxy};
use fennelscale_messages::store::Entry;
use fennelscale_quota_lease::{Ask, Counts, Sent, Terms};
use std::rc::Rc;

impl RegistryState {
    /// The relay of this region for a tenant: the registry with the highest draw among those of the region that are heard.
    pub(crate) fn near(&self, now: Millis, tenant: &str) -> Host {
        let draw = |host: &Host| {
            fennelscale_messages::mix(fennelscale_messages::hash(tenant.as_bytes()) ^ u64::from(host.0))
        };
        let here = self.seats.members.iter().filter(|seat| seat.region == self.zones.1).map(|seat| seat.host);
        let alive = here.filter(|host| *host == self.me || self.alive(*host, now));
        alive.max_by_key(draw).unwrap_or(self.me)
    }

    /// A proxy asks this relay, by way of another registry where its session is there.
    #[expect(clippy::too_many_arguments, reason = "the fields of one word")]
    pub(crate) fn relay_ask(
        &mut self, now: Millis, proxy: Host, by: Option<Host>, tenant: &str, units: f64, next: bool,
        demand: f64,
    ) {
        let terms = self.terms.get(tenant).copied().unwrap_or_default();
        if terms.rate <= 0.0 {
            return;
        }
        match by {
            Some(by) => drop(self.ways.insert(proxy, by)),
            None => drop(self.ways.remove(&proxy)),
        }
        let mut sent = Vec::new();
        self.relay.ask(now, proxy, tenant, units, next, demand, terms, &mut sent);
        self.relay_sent(now, sent);
    }

    pub(crate) fn relay_grant(&mut self, now: Millis, grant: Grant) {
        let mut sent = Vec::new();
        self.relay.grant(now, grant, &mut sent);
        self.relay_sent(now, sent);
    }

    pub(crate) fn relay_sent(&mut self, now: Millis, sent: Vec<Sent>) {
        for sent in sent {
            match sent {
                Sent::Down(proxy, grant) => match self.ways.get(&proxy) {
                    Some(by) => {
                        self.out.push(Output::SendToRegistry(*by, RegistryMessage::Grant(proxy, grant)))
                    }
                    None => self.out.push(Output::SendToProxy(proxy, Rc::new(RegistryToProxy::Grant(grant)))),
                },
                Sent::Up(tenant, units, next, demand) => self.ask_holder(now, tenant, units, next, demand),
            }
        }
    }

    fn ask_holder(&mut self, now: Millis, tenant: String, units: f64, next: bool, demand: f64) {
        let from = self.me;
        match self.holder(now, duties::bit_of(&tenant)) {
            Some(host) if host == self.me => {
                let grant = self.count(now, Ask { tenant: &tenant, proxy: from, units, next, demand });
                self.relay_grant(now, grant);
            }
            Some(host) => self.out.push(Output::SendToRegistry(
                host,
                RegistryMessage::RequestUnits { from, tenant, units, next_window: next, demand },
            )),
            None => {
                let terms = self.terms.get(&tenant).copied().unwrap_or_default();
                self.relay_grant(now, closed(&tenant, next, terms));
            }
        }
    }

    /// Who is thought to hold a duty.
    pub(crate) fn holder(&self, now: Millis, bit: u64) -> Option<Host> {
        if self.held_duties(now) & bit != 0 {
            return Some(self.me);
        }
        let claims = |(_, peer): &(&Host, &Peer)| now - peer.heard < PEER_TIMEOUT && peer.claims & bit != 0;
        self.peers.iter().filter(claims).map(|(host, _)| *host).next()
    }

    /// Grants units of a tenant, if the duty is held here: the fence is looked at here, where units are granted.
    pub(crate) fn count(&mut self, now: Millis, ask: Ask<'_>) -> Grant {
        let (tenant, next) = (ask.tenant, ask.next);
        let bit = duties::bit_of(tenant);
        let terms = self.terms.get(tenant).copied().unwrap_or_default();
        if self.held_duties(now) & bit == 0 || terms.rate <= 0.0 {
            return closed(tenant, next, terms);
        }
        let since = self.duties.since(bit);
        if since > now {
            // Held, but not looked at since: the rest has not begun.
            return closed(tenant, next, terms);
        }
        let counts = self.counted(now);
        // While a new holder rested all were on their own, and it is a while until they say that they no longer are.
        let rested = now > since + Counts::REST as f64 * terms.window() + RECONNECT_DELAY;
        let alone = if rested { self.members.alone_count(bit) } else { 0.0 };
        let grant = self.counts.ask(now, ask, terms, since, counts.parts + alone / counts.all);
        self.quota_edge(now, &grant);
        grant
    }

    /// What a tenant may use follows from its item; nothing when it is dropped or has no limit.
    pub(crate) fn set_terms(&mut self, name: &str, entry: &Entry) {
        let Some(tenant) = name.strip_prefix("t:") else { return };
        let fact = entry.body.as_deref().map(|body| fennelscale_config::parse_item(name, &entry.host, body));
        match fact {
            Some(Ok(ParsedItem::Tenant(t))) if t.rate_per_s > 0.0 => {
                self.terms.insert(tenant.to_owned(), Terms { rate: t.rate_per_s, burst: t.burst });
            }
            _ => drop(self.terms.remove(tenant)),
        }
    }
}

/// Nobody grants now: the proxy is on its own until the window after next.
fn closed(tenant: &str, next: bool, terms: Terms) -> Grant {
    let (tenant, ends) = (tenant.to_owned(), terms.window());
    Grant { tenant, units: 0.0, window: 0, begins_in: 0.0, ends_in: ends, next_window: next, closed: true }
}
