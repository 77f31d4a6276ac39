//! A proxy: its routing state, its quota lease cache and its session.

use crate::Millis;
use crate::decisions::{Decisions, Send};
use doorcourse::Outcome;
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyInfo, ProxyToRegistry, RegistryToProxy};
use fennelscale_proxy::registry_choice::RegistryChoice;
use fennelscale_proxy::routing_state::{ProxyLocation, RoutingState};
use fennelscale_quota_lease::{Admission, LeaseCache, Quota, QuotaRequest};
use std::collections::BTreeMap;

/// The heartbeat interval and the session timeout, in ms, as in the program.
const HEARTBEAT_INTERVAL: Millis = 400.0;
const SESSION_TIMEOUT: Millis = 1500.0;
/// How long a request waits at most for a quota lease, in ms.
const MAX_LEASE_WAIT: Millis = 150.0;

/// One proxy.
pub(crate) struct Proxy {
    pub(crate) host: Host,
    pub(crate) zone: String,
    pub(crate) region: String,
    zones: BTreeMap<String, String>,
    pub(crate) up: bool,
    pub(crate) incarnation: u64,
    pub(crate) routing_state: RoutingState,
    /// Chooses backends for requests, in simulations with backend load.
    decisions: Option<Decisions>,
    cache: LeaseCache,
    /// The core machine of the session, and its incarnation.
    pub(crate) session: Option<(usize, u64)>,
    last_message_at: Millis,
    next_heartbeat: Millis,
    choice: RegistryChoice,
    /// The newest version of each item that this incarnation has held.
    seen: BTreeMap<String, u64>,
    waiting: BTreeMap<u64, String>,
    next: u64,
    /// The tenants of requests admitted since the last check.
    pub(crate) admitted: Vec<String>,
    pub(crate) refused: usize,
    pub(crate) violations: Vec<String>,
}

impl Proxy {
    pub(crate) fn new(n: usize, zones: &BTreeMap<String, String>, with_decisions: bool) -> Self {
        let zone = format!("z{}", n % zones.len());
        let (host, region) = (Host(1000 + n as u32), zones[&zone].clone());
        let location = location(host, &zone, &region, zones);
        let decisions = with_decisions.then(|| Decisions::new(&zone, host, 0));
        Self {
            host,
            zone,
            region,
            zones: zones.clone(),
            up: false,
            incarnation: 0,
            routing_state: RoutingState::new(location),
            decisions,
            cache: LeaseCache::new(0.0, 0),
            session: None,
            last_message_at: 0.0,
            next_heartbeat: 0.0,
            choice: RegistryChoice::default(),
            seen: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next: 0,
            admitted: Vec::new(),
            refused: 0,
            violations: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, now: Millis) {
        if self.up {
            return;
        }
        self.incarnation += 1;
        self.up = true;
        self.routing_state = RoutingState::new(location(self.host, &self.zone, &self.region, &self.zones));
        let with_decisions = self.decisions.is_some();
        self.decisions = with_decisions.then(|| Decisions::new(&self.zone, self.host, self.incarnation));
        self.cache =
            LeaseCache::new(now, fennelscale_messages::mix(u64::from(self.host.0) ^ self.incarnation << 32));
        (self.session, self.next_heartbeat) = (None, now);
        self.choice = RegistryChoice::default();
        self.seen.clear();
        self.waiting.clear();
    }

    pub(crate) fn kill(&mut self) {
        (self.up, self.session) = (false, None);
    }

    pub(crate) fn info(&self) -> ProxyInfo {
        ProxyInfo {
            host: self.host,
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            region: self.region.clone(),
            port: 80,
            ready: self.routing_state.is_ready(),
            idle_nodes: Vec::new(),
        }
    }

    /// Ends the session; its registry is not tried again for a while.
    pub(crate) fn on_session_lost(&mut self, now: Millis) {
        if let Some((core, _)) = self.session.take() {
            self.choice.record_failure(now, core_host(core));
        }
    }

    /// The core machine to connect to; `cores` are all known ones, nearest first.
    pub(crate) fn next_core(&mut self, now: Millis, cores: &[usize]) -> Option<usize> {
        let hosts: Vec<Host> = cores.iter().map(|core| core_host(*core)).collect();
        let next = self.choice.next_registry(now, &hosts)?;
        cores.iter().copied().find(|core| core_host(*core) == next)
    }

    /// Core machines to try instead of the session's, which is out of contact.
    pub(crate) fn alternatives(&mut self, now: Millis, cores: &[usize]) -> Vec<usize> {
        let Some((current, _)) = self.session else { return Vec::new() };
        let hosts: Vec<Host> = cores.iter().map(|core| core_host(*core)).collect();
        let chosen = self.choice.alternatives(now, core_host(current), &hosts);
        cores.iter().copied().filter(|core| chosen.contains(&core_host(*core))).collect()
    }

    pub(crate) fn on_connected(&mut self, now: Millis, core: usize, incarnation: u64) -> ProxyToRegistry {
        (self.session, self.last_message_at, self.next_heartbeat) =
            (Some((core, incarnation)), now, now + HEARTBEAT_INTERVAL);
        if self.routing_state.items_hash() == 0 {
            ProxyToRegistry::Hello(self.info())
        } else {
            ProxyToRegistry::Resume(self.info(), self.routing_state.digest())
        }
    }

    pub(crate) fn on_connect_failed(&mut self, now: Millis, core: usize) {
        self.choice.record_failure(now, core_host(core));
    }

    /// Handles a message of the session's registry.
    pub(crate) fn receive(&mut self, now: Millis, message: &RegistryToProxy, out: &mut Vec<ProxyToRegistry>) {
        self.last_message_at = now;
        let was_ready = self.routing_state.is_ready();
        match message {
            RegistryToProxy::Items { up_to_date: fresh, entries, .. } => {
                for (name, entry) in entries {
                    let seen = self.seen.entry(name.clone()).or_default();
                    let known = self.routing_state.merge(now, vec![(name.clone(), entry.clone())]);
                    if known.is_empty() {
                        continue;
                    }
                    if entry.revision < *seen {
                        self.violations.push(format!("{name} goes back from {seen} to {}", entry.revision));
                    }
                    *seen = entry.revision;
                }
                self.routing_state.up_to_date |= fresh;
            }
            RegistryToProxy::BackendList(backend_list) => {
                self.routing_state.set_backend_list(now, backend_list.clone());
            }
            RegistryToProxy::Proxies(members, gateways) => {
                self.routing_state.set_proxies(now, members.clone(), *gateways);
                self.cache.set_proxy_count(self.routing_state.proxy_count);
            }
            RegistryToProxy::Grant(grant) => {
                let mut admissions = Vec::new();
                self.cache.on_grant(now, grant.clone(), out, &mut admissions);
                self.on_admissions(admissions);
            }
            RegistryToProxy::Heartbeat { contact_age } => {
                self.choice.record_heartbeat(now, f64::from(*contact_age))
            }
            RegistryToProxy::RequestDigest => out.push(ProxyToRegistry::Digest(self.routing_state.digest())),
            RegistryToProxy::Registries(_)
            | RegistryToProxy::Time(..)
            | RegistryToProxy::LookUpRequest(..) => {}
        }
        // As in the program, anything that may affect the choice of a backend reaches the decision engine
        // with the message that brought it.
        if matches!(
            message,
            RegistryToProxy::Items { .. } | RegistryToProxy::BackendList(_) | RegistryToProxy::Proxies(..)
        ) && let Some(decisions) = &mut self.decisions
        {
            decisions.update(now, &mut self.routing_state);
        }
        if !was_ready && self.routing_state.is_ready() {
            out.push(self.heartbeat(now));
        }
    }

    /// Submits new requests to the decision engine; returns those that are sent to backends.
    pub(crate) fn send_backend_requests(&mut self, now: Millis, arrivals: usize) -> Vec<Send> {
        let Some(decisions) = self.decisions.as_mut().filter(|_| self.up) else { return Vec::new() };
        let arrivals = if self.routing_state.is_ready() { arrivals } else { 0 };
        decisions.tick(now, arrivals, &mut self.routing_state)
    }

    /// Schedules the end of a request that was sent to a backend.
    pub(crate) fn finish_request(&mut self, now: Millis, sent: Send, outcome: Outcome, after: Millis) {
        if let Some(decisions) = &mut self.decisions {
            decisions.finish_request(now, sent, outcome, after);
        }
    }

    pub(crate) fn sent_without_parameters(&self) -> u64 {
        self.decisions.as_ref().map_or(0, Decisions::sent_without_parameters)
    }

    fn heartbeat(&self, now: Millis) -> ProxyToRegistry {
        let (ready, items, backend_list) = (
            self.routing_state.is_ready(),
            self.routing_state.items_hash(),
            self.routing_state.backend_list.stamp,
        );
        ProxyToRegistry::Heartbeat {
            ready,
            items_hash: items,
            list_stamp: backend_list,
            self_granted: self.cache.self_granted_shards(now),
        }
    }

    fn on_admissions(&mut self, admissions: Vec<(u64, Admission)>) {
        for (request, admission) in admissions {
            let Some(tenant) = self.waiting.remove(&request) else { continue };
            self.count(tenant, admission);
        }
    }

    fn count(&mut self, tenant: String, admission: Admission) {
        match admission {
            Admission::Admitted => self.admitted.push(tenant),
            Admission::Rejected(_) | Admission::Queued => self.refused += 1,
        }
    }

    /// Handles a request of a tenant.
    pub(crate) fn request(&mut self, now: Millis, tenant: &str, out: &mut Vec<ProxyToRegistry>) {
        if !self.up || !self.routing_state.is_ready() {
            return;
        }
        let Some(terms) = self
            .routing_state
            .table
            .tenant_by_name(tenant)
            .map(|t| Quota { rate: t.rate_per_s, burst: t.burst })
        else {
            return;
        };
        self.next += 1;
        let admission = self.cache.admit(
            now,
            tenant,
            terms,
            QuotaRequest { id: self.next, deadline: now + MAX_LEASE_WAIT, is_late: false },
            out,
        );
        if admission == Admission::Queued {
            self.waiting.insert(self.next, tenant.to_owned());
        } else {
            self.count(tenant.to_owned(), admission);
        }
    }

    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<ProxyToRegistry>) {
        let mut admissions = Vec::new();
        self.cache.tick(now, out, &mut admissions);
        self.on_admissions(admissions);
        if self.session.is_some() && now - self.last_message_at >= SESSION_TIMEOUT {
            self.on_session_lost(now);
        }
        if self.session.is_some() && now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            out.push(self.heartbeat(now));
        }
    }

    pub(crate) fn routing_state_size(&self) -> usize {
        format!("{:?}", self.routing_state).len()
    }

    pub(crate) fn cache_size(&self) -> usize {
        format!("{:?}", self.cache).len()
    }

    /// The version of an item that is in force here; 0 if there is none.
    pub(crate) fn version(&self, name: &str) -> u64 {
        self.seen.get(name).copied().unwrap_or(0)
    }
}

/// The address of a core machine.
fn core_host(core: usize) -> Host {
    Host(core as u32 + 1)
}

fn location(host: Host, zone: &str, region: &str, zones: &BTreeMap<String, String>) -> ProxyLocation {
    ProxyLocation {
        host,
        zone: zone.to_owned(),
        region: region.to_owned(),
        zone_regions: zones.clone(),
        max_list_age: 500.0,
    }
}
