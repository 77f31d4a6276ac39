//! A proxy: what it holds of the news, its lease cache, its session.

use crate::Millis;
use crate::decisions::{Decisions, Send};
use doorcourse::Outcome;
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyInfo, ProxyToRegistry, RegistryToProxy};
use fennelscale_proxy::registry_choice::RegistryChoice;
use fennelscale_proxy::routing_state::{ProxyLocation, RoutingState};
use fennelscale_quota_lease::{Admission, LeaseCache, Quota, QuotaRequest};
use std::collections::BTreeMap;

/// As the program has it: beats and silence.
const BEAT: Millis = 400.0;
const SILENT: Millis = 1500.0;
/// A request waits for a block at most so long.
const WAITS: Millis = 150.0;

/// One proxy.
pub(crate) struct Proxy {
    pub(crate) host: Host,
    pub(crate) zone: String,
    pub(crate) region: String,
    zones: BTreeMap<String, String>,
    pub(crate) up: bool,
    pub(crate) life: u64,
    pub(crate) held: RoutingState,
    /// Where clients press: which backends get their requests.
    decisions: Option<Decisions>,
    cache: LeaseCache,
    /// The core machine of the session, and its life.
    pub(crate) session: Option<(usize, u64)>,
    heard: Millis,
    beat_at: Millis,
    choice: RegistryChoice,
    /// The newest version of each item that this life has held.
    seen: BTreeMap<String, u64>,
    waiting: BTreeMap<u64, String>,
    next: u64,
    /// Whose requests were let in since it was last asked.
    pub(crate) admitted: Vec<String>,
    pub(crate) refused: usize,
    pub(crate) violations: Vec<String>,
}

impl Proxy {
    pub(crate) fn new(n: usize, zones: &BTreeMap<String, String>, pressed: bool) -> Self {
        let zone = format!("z{}", n % zones.len());
        let (host, region) = (Host(1000 + n as u32), zones[&zone].clone());
        let place = place(host, &zone, &region, zones);
        let decisions = pressed.then(|| Decisions::new(&zone, host, 0));
        Self {
            host,
            zone,
            region,
            zones: zones.clone(),
            up: false,
            life: 0,
            held: RoutingState::new(place),
            decisions,
            cache: LeaseCache::new(0.0, 0),
            session: None,
            heard: 0.0,
            beat_at: 0.0,
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
        self.life += 1;
        self.up = true;
        self.held = RoutingState::new(place(self.host, &self.zone, &self.region, &self.zones));
        let pressed = self.decisions.is_some();
        self.decisions = pressed.then(|| Decisions::new(&self.zone, self.host, self.life));
        self.cache =
            LeaseCache::new(now, fennelscale_messages::mix(u64::from(self.host.0) ^ self.life << 32));
        (self.session, self.beat_at) = (None, now);
        self.choice = RegistryChoice::default();
        self.seen.clear();
        self.waiting.clear();
    }

    pub(crate) fn kill(&mut self) {
        (self.up, self.session) = (false, None);
    }

    pub(crate) fn member(&self) -> ProxyInfo {
        ProxyInfo {
            host: self.host,
            incarnation: self.life,
            zone: self.zone.clone(),
            region: self.region.clone(),
            port: 80,
            ready: self.held.is_ready(),
            idle_nodes: Vec::new(),
        }
    }

    /// The session is over, and its registry not thought of for a while.
    pub(crate) fn lost(&mut self, now: Millis) {
        if let Some((core, _)) = self.session.take() {
            self.choice.record_failure(now, core_host(core));
        }
    }

    /// The core machine to dial; `cores` are all that are known, the nearest first.
    pub(crate) fn next_core(&mut self, now: Millis, cores: &[usize]) -> Option<usize> {
        let hosts: Vec<Host> = cores.iter().map(|core| core_host(*core)).collect();
        let next = self.choice.next_registry(now, &hosts)?;
        cores.iter().copied().find(|core| core_host(*core) == next)
    }

    /// Core machines to look at in place of the session's, which is out of contact.
    pub(crate) fn alternatives(&mut self, now: Millis, cores: &[usize]) -> Vec<usize> {
        let Some((current, _)) = self.session else { return Vec::new() };
        let hosts: Vec<Host> = cores.iter().map(|core| core_host(*core)).collect();
        let chosen = self.choice.alternatives(now, core_host(current), &hosts);
        cores.iter().copied().filter(|core| chosen.contains(&core_host(*core))).collect()
    }

    pub(crate) fn dialled(&mut self, now: Millis, core: usize, life: u64) -> ProxyToRegistry {
        (self.session, self.heard, self.beat_at) = (Some((core, life)), now, now + BEAT);
        if self.held.items_hash() == 0 {
            ProxyToRegistry::Hello(self.member())
        } else {
            ProxyToRegistry::Resume(self.member(), self.held.digest())
        }
    }

    pub(crate) fn dial_failed(&mut self, now: Millis, core: usize) {
        self.choice.record_failure(now, core_host(core));
    }

    /// A word of the session's registry.
    pub(crate) fn word(&mut self, now: Millis, word: &RegistryToProxy, out: &mut Vec<ProxyToRegistry>) {
        self.heard = now;
        let was = self.held.is_ready();
        match word {
            RegistryToProxy::Items { up_to_date: fresh, entries, .. } => {
                for (name, entry) in entries {
                    let seen = self.seen.entry(name.clone()).or_default();
                    let known = self.held.merge(now, vec![(name.clone(), entry.clone())]);
                    if known.is_empty() {
                        continue;
                    }
                    if entry.revision < *seen {
                        self.violations.push(format!("{name} goes back from {seen} to {}", entry.revision));
                    }
                    *seen = entry.revision;
                }
                self.held.up_to_date |= fresh;
            }
            RegistryToProxy::BackendList(listing) => drop(self.held.set_backend_list(now, listing.clone())),
            RegistryToProxy::Proxies(members, gateways) => {
                self.held.set_proxies(now, members.clone(), *gateways);
                self.cache.set_proxy_count(self.held.proxy_count);
            }
            RegistryToProxy::Grant(grant) => {
                let mut told = Vec::new();
                self.cache.on_grant(now, grant.clone(), out, &mut told);
                self.told(told);
            }
            RegistryToProxy::Heartbeat { contact_age } => {
                self.choice.record_heartbeat(now, f64::from(*contact_age))
            }
            RegistryToProxy::RequestDigest => out.push(ProxyToRegistry::Digest(self.held.digest())),
            RegistryToProxy::Registries(_)
            | RegistryToProxy::Time(..)
            | RegistryToProxy::LookUpRequest(..) => {}
        }
        // As in the program: whatever may bear on the choice of a backend is told to the decisions with the word that brought it.
        if matches!(
            word,
            RegistryToProxy::Items { .. } | RegistryToProxy::BackendList(_) | RegistryToProxy::Proxies(..)
        ) && let Some(decisions) = &mut self.decisions
        {
            decisions.tell(now, &mut self.held);
        }
        if !was && self.held.is_ready() {
            out.push(self.beat(now));
        }
    }

    /// So many requests come that go on to backends. Those that do.
    pub(crate) fn press(&mut self, now: Millis, arrivals: usize) -> Vec<Send> {
        let Some(decisions) = self.decisions.as_mut().filter(|_| self.up) else { return Vec::new() };
        let arrivals = if self.held.is_ready() { arrivals } else { 0 };
        decisions.tick(now, arrivals, &mut self.held)
    }

    /// How a request that went to a backend ends.
    pub(crate) fn ends(&mut self, now: Millis, sent: Send, outcome: Outcome, after: Millis) {
        if let Some(decisions) = &mut self.decisions {
            decisions.ends(now, sent, outcome, after);
        }
    }

    pub(crate) fn sent_without_terms(&self) -> u64 {
        self.decisions.as_ref().map_or(0, Decisions::sent_without_terms)
    }

    fn beat(&self, now: Millis) -> ProxyToRegistry {
        let (ready, items, listing) =
            (self.held.is_ready(), self.held.items_hash(), self.held.backend_list.stamp);
        ProxyToRegistry::Heartbeat {
            ready,
            items_hash: items,
            list_stamp: listing,
            self_granted: self.cache.self_granted_shards(now),
        }
    }

    fn told(&mut self, told: Vec<(u64, Admission)>) {
        for (request, admission) in told {
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

    /// A request of a tenant.
    pub(crate) fn request(&mut self, now: Millis, tenant: &str, out: &mut Vec<ProxyToRegistry>) {
        if !self.up || !self.held.is_ready() {
            return;
        }
        let Some(terms) =
            self.held.table.tenant_by_name(tenant).map(|t| Quota { rate: t.rate_per_s, burst: t.burst })
        else {
            return;
        };
        self.next += 1;
        let admission = self.cache.admit(
            now,
            tenant,
            terms,
            QuotaRequest { id: self.next, deadline: now + WAITS, is_late: false },
            out,
        );
        if admission == Admission::Queued {
            self.waiting.insert(self.next, tenant.to_owned());
        } else {
            self.count(tenant.to_owned(), admission);
        }
    }

    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<ProxyToRegistry>) {
        let mut told = Vec::new();
        self.cache.tick(now, out, &mut told);
        self.told(told);
        if self.session.is_some() && now - self.heard >= SILENT {
            self.lost(now);
        }
        if self.session.is_some() && now >= self.beat_at {
            self.beat_at = now + BEAT;
            out.push(self.beat(now));
        }
    }

    pub(crate) fn held_size(&self) -> usize {
        format!("{:?}", self.held).len()
    }

    pub(crate) fn cache_size(&self) -> usize {
        format!("{:?}", self.cache).len()
    }

    /// The version of an item that is in force here, and whether it stands.
    pub(crate) fn version(&self, name: &str) -> u64 {
        self.seen.get(name).copied().unwrap_or(0)
    }
}

/// The address of a core machine.
fn core_host(core: usize) -> Host {
    Host(core as u32 + 1)
}

fn place(host: Host, zone: &str, region: &str, zones: &BTreeMap<String, String>) -> ProxyLocation {
    ProxyLocation {
        host,
        zone: zone.to_owned(),
        region: region.to_owned(),
        zone_regions: zones.clone(),
        max_list_age: 500.0,
    }
}
