//! The state machine of a registry: proxy sessions, cluster membership, duties held by majority lease, and
//! the work of the holder of each duty.
//!
//! # Invariants
//!
//! - A proxy is a member while it has a session with at least one registry; registries exchange their session
//!   lists ([`proxies`]).
//! - A duty is held by one registry at a time ([`duties`]): a majority of the core members grants its claim,
//!   each for longer than the holder acts on the grant, measured by monotonic clocks. A registry that has
//!   just started grants no claim until every grant that it may have given before the restart has expired.
//! - Backend lists are ordered by their stamps; an older list is ignored ([`RegistryState::backend_list`]).
//!
//! # Requirements on the caller
//!
//! The caller executes [`RegistryState::take_outputs`] after each input and passes a `now` that never
//! decreases. Messages to one registry are delivered in order or not at all.

#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

mod contact;
mod copies;
pub mod duties;
mod failure_counts;
pub mod feed;
pub mod maintenance;
pub mod merge;
pub mod proxies;
mod proxy_updates;
mod quota_events;
mod quota_grants;
mod status;

use duties::DutyLeases;
use feed::{EventKind, Feed};
use fennelscale_config::ItemCopy;
use fennelscale_messages::Host;
use fennelscale_messages::feed::{Event, EventPage, EventQuery};
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::{
    Backend, BackendList, ProxyInfo, ProxyToRegistry, RegistryInfo, RegistryToProxy,
};
use fennelscale_messages::store::MemberList;
use fennelscale_quota_lease::{Quota, QuotaCounter, Relay, UnitRequest};
use maintenance::MaintenanceState;
use proxies::ProxyDirectory;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Milliseconds of a clock that never goes back.
pub type Millis = f64;

/// Interval between heartbeats of a registry.
pub const HEARTBEAT_INTERVAL: Millis = 300.0;
/// A registry or a proxy that has been silent for this long counts as unreachable: four heartbeats plus the
/// longest network delay.
pub const PEER_TIMEOUT: Millis = 1400.0;
/// Proxies report within this time that they no longer spend quota without grants.
const SELF_GRANT_REPORT_DELAY: Millis = 1000.0;
/// How often the holder of the list duty reads the backend list.
pub const LIST_INTERVAL: Millis = 700.0;
/// How often a registry that knows of no holder of the list duty reads it.
pub const FALLBACK_LIST_INTERVAL: Millis = 2000.0;

/// A list read this long after a zone's evacuation ended shows which of its backends are cold, so it is sent
/// even if it equals the previous one. Longer than the platform's usual lag plus the delay of its response.
pub const RETURNED_ZONE_DELAY: Millis = 1600.0;

/// A registry that has received no list this long after its start reads one itself.
pub const FIRST_LIST_DELAY: Millis = 250.0;

/// A registry relies on the stored number of proxies for this long after its start.
pub const STARTUP_PERIOD: Millis = 8000.0;
/// The stored number is updated when it differs from the current one by more than this fraction.
const PROXY_COUNT_TOLERANCE: f64 = 0.15;
/// The key under which the store keeps that number.
pub const PROXY_COUNT_NAME: &str = "fleet";

/// An action for the host process to execute.
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a message to a registry.
    SendToRegistry(Host, RegistryMessage),
    /// Sends a message to a proxy.
    SendToProxy(Host, Rc<RegistryToProxy>),
    /// Reads the platform's backend list and passes it to [`RegistryState::on_list_read`].
    ReadBackendList,
    /// Writes the number of proxies to the store, for registries that restart.
    StoreProxyCount(u32),
    /// Ends a proxy's session: a newer connection has replaced it, or it was silent.
    CloseSession(Host),
    /// Writes a step of a maintenance order to the store and calls [`RegistryState::on_maintenance_answer`].
    WriteMaintenanceStep(maintenance::StepWrite),
    /// Sends events to the store and calls [`RegistryState::on_events_stored`] if they were sent.
    StoreEvents(Vec<Event>),
    /// Reads the events that a reader at another registry asks for, including those stored by earlier
    /// incarnations, and sends them with this query number.
    ReadEvents(Host, u64, EventQuery),
    /// Another registry's answer to an event query of this registry.
    DeliverEvents(Host, u64, EventPage),
    /// Asks the proxies with a session here about a request and sends their answers to that registry, with
    /// this query number.
    LookUpRequest(Host, u64, u64),
    /// Answers of another registry's proxies to a request query of this registry.
    DeliverRequestRecords(Host, u64, Vec<(Host, String)>),
    /// The answer of a proxy with a session here to a request query.
    DeliverRequestRecord(Host, u64, String),
    /// A log line: event name and text.
    Log(&'static str, String),
}

#[derive(Clone, Debug)]
struct Peer {
    last_heard: Millis,
    incarnation: u64,
    claims: u64,
}

/// The state of one registry.
#[derive(Clone, Debug)]
pub struct RegistryState {
    local_host: Host,
    incarnation: u64,
    started_at: Millis,
    /// Zone and region.
    location: (String, String),
    core_members: MemberList,
    peers: BTreeMap<Host, Peer>,
    proxies: ProxyDirectory,
    duties: DutyLeases,
    quota_counts: QuotaCounter,
    quota_relay: Relay,
    /// The registry through which each proxy without a session here reaches this relay.
    relay_routes: BTreeMap<Host, Host>,
    quota_terms: BTreeMap<String, Quota>,
    config: ItemCopy,
    /// Recent checksums of `config`.
    recent_checksums: copies::RecentChecksums,
    freshness: copies::Freshness,
    /// Whether proxies were last told that the copy is fresh.
    announced_fresh: bool,
    /// Comparisons requested and entries resent because the copies of proxies differed.
    resend_counts: (u64, u64),
    backend_list: BackendList,
    /// The highest list number known. After a restart of all registries, numbering continues above it: a
    /// proxy that kept running would reject lists with lower numbers.
    highest_list_number: u64,
    next_list_read: Millis,
    /// The reachable registries that proxies were last told of.
    announced_reachable: Vec<Host>,
    /// Stamp of the newest list when the current read began, and the time at which it began.
    list_before_read: (u64, Host),
    list_read_started: Millis,
    /// A list whose read starts at or after this time is sent even if unchanged: a zone's evacuation has
    /// ended.
    force_list_after: Option<Millis>,
    next_heartbeat: Millis,
    heartbeat_number: u64,
    /// The number of proxies in the store.
    stored_proxy_count: f64,
    /// The store's copy was as new as a quorum's at least once in this incarnation, so its number of proxies
    /// is authoritative, even if absent.
    store_was_fresh: bool,
    /// Since when the stored number of proxies has differed.
    count_differs_since: Option<Millis>,
    feed: Feed,
    /// Tenants with exhausted quota whose count is held here, with the time of the last refusal.
    exhausted_quotas: quota_events::Exhausted,
    maintenance: MaintenanceState,
    /// Failure order counts reported by proxies with a session here.
    failure_counts: failure_counts::ReportedCounts,
    outputs: Vec<Output>,
}

impl RegistryState {
    /// Creates a registry that knows only its own location. With `bootstrap` it grants claims at once, since
    /// no earlier incarnation can have granted any.
    pub fn new(
        local_host: Host, incarnation: u64, zone: &str, region: &str, bootstrap: bool, now: Millis,
    ) -> Self {
        Self {
            local_host,
            incarnation,
            started_at: now,
            location: (zone.to_owned(), region.to_owned()),
            core_members: MemberList::default(),
            peers: BTreeMap::new(),
            proxies: ProxyDirectory::default(),
            duties: DutyLeases::new(if bootstrap { f64::MIN } else { now }),
            quota_counts: QuotaCounter::default(),
            quota_relay: Relay::default(),
            relay_routes: BTreeMap::new(),
            quota_terms: BTreeMap::new(),
            config: ItemCopy::default(),
            recent_checksums: copies::RecentChecksums::default(),
            freshness: copies::Freshness::unconfirmed(now),
            announced_fresh: false,
            resend_counts: (0, 0),
            backend_list: BackendList::default(),
            highest_list_number: 0,
            next_list_read: now,
            announced_reachable: Vec::new(),
            list_before_read: (0, Host::default()),
            list_read_started: now,
            force_list_after: None,
            next_heartbeat: now,
            heartbeat_number: 0,
            stored_proxy_count: 0.0,
            store_was_fresh: false,
            count_differs_since: None,
            feed: Feed::new(incarnation),
            exhausted_quotas: quota_events::Exhausted::default(),
            maintenance: MaintenanceState::default(),
            failure_counts: failure_counts::ReportedCounts::default(),
            outputs: Vec::new(),
        }
    }

    /// Takes the pending actions; they are to be executed in this order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// All proxies that are members.
    pub fn proxies(&self, now: Millis) -> Vec<ProxyInfo> {
        self.proxies.all(now)
    }

    /// The newest backend list.
    pub fn backend_list(&self) -> &BackendList {
        &self.backend_list
    }

    /// The events recorded by this registry.
    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    /// The duties held here, one bit each.
    pub fn held_duties(&self, now: Millis) -> u64 {
        self.duties.held(now, self.majority())
    }

    /// The proxies that a client in a region should use: the ready ones of its region, or all ready ones if
    /// there are none.
    pub fn resolve(&self, now: Millis, region: &str) -> Vec<ProxyInfo> {
        let ready: Vec<ProxyInfo> = self.proxies.all(now).into_iter().filter(|member| member.ready).collect();
        let near: Vec<ProxyInfo> = ready.iter().filter(|member| member.region == region).cloned().collect();
        if near.is_empty() { ready } else { near }
    }

    fn majority(&self) -> usize {
        self.core_members.members.len() / 2 + 1
    }

    fn other_core_members(&self) -> BTreeSet<Host> {
        let mut others: BTreeSet<Host> = self.core_members.members.iter().map(|member| member.host).collect();
        others.remove(&self.local_host);
        others
    }

    fn registry_label(&self) -> String {
        format!("registry {}", self.local_host)
    }

    fn is_reachable(&self, host: Host, now: Millis) -> bool {
        self.peers.get(&host).is_some_and(|peer| now - peer.last_heard < PEER_TIMEOUT)
    }

    /// The store reports the chosen list of core members.
    pub fn on_core_members(&mut self, now: Millis, members: MemberList) {
        if members.version != self.core_members.version {
            let hosts: Vec<String> = members.members.iter().map(|member| member.host.to_string()).collect();
            self.feed.record(now, EventKind::SeatsChanged, "seats", members.version, hosts.join(" "));
        }
        self.core_members = members;
        self.announce_registries(now);
        self.next_heartbeat = now;
    }

    fn announce_registries(&mut self, now: Millis) {
        self.announced_reachable = self.reachable_registries(now);
        self.send_to_all_proxies(&Rc::new(self.registries_message(now)));
    }

    fn registries_message(&self, now: Millis) -> RegistryToProxy {
        let info = |host: Host, zone: &str, region: &str| RegistryInfo {
            host,
            zone: zone.to_owned(),
            region: region.to_owned(),
            reachable: host == self.local_host || self.is_reachable(host, now),
        };
        let members =
            self.core_members.members.iter().map(|member| info(member.host, &member.zone, &member.region));
        let mut all: Vec<RegistryInfo> = members.collect();
        if !all.iter().any(|known| known.host == self.local_host) {
            all.push(info(self.local_host, &self.location.0, &self.location.1));
        }
        RegistryToProxy::Registries(all)
    }

    /// Advances time; to be called about every 50 ms.
    pub fn tick(&mut self, now: Millis) {
        for host in self.proxies.expire(now) {
            self.outputs.push(Output::CloseSession(host));
            self.feed.record_local(now, EventKind::MemberSilent, &host.to_string(), self.registry_label());
            self.outputs.push(Output::Log("session-silent", format!("proxy={host}")));
        }
        self.update_freshness(now);
        self.claim_duties(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now);
            if self.reachable_registries(now) != self.announced_reachable {
                self.announce_registries(now);
            }
            self.quota_counts.remove_idle(now);
            let known: BTreeSet<Host> = self.proxies.all(now).iter().map(|member| member.host).collect();
            self.relay_routes.retain(|proxy, _| known.contains(proxy));
            self.failure_counts.retain(|proxy, _| known.contains(proxy));
        }
        let mut sent = Vec::new();
        self.quota_relay.tick(now, &mut sent);
        self.send_relay_outputs(now, sent);
        self.request_list_read(now);
        self.announce_proxies(now);
        self.update_stored_proxy_count(now);
        self.advance_maintenance(now);
        self.record_recovered_quotas(now);
        let events = self.feed.events_to_store(now);
        if !events.is_empty() {
            self.outputs.push(Output::StoreEvents(events));
        }
    }

    /// The store has received the events up to this number.
    pub fn on_events_stored(&mut self, number: u64) {
        self.feed.mark_stored(number);
    }

    /// An operator's call was rejected by this registry.
    pub fn on_call_refused(&mut self, now: Millis, call: &str, cause: &str) {
        self.feed.record_refused_call(now, call, cause);
    }

    /// The host that this registry runs on.
    pub fn local_host(&self) -> Host {
        self.local_host
    }

    /// Whether a host runs a registry according to the known core members. True for every host while no core
    /// members are known.
    pub fn is_registry(&self, host: Host) -> bool {
        host == self.local_host
            || self.core_members.members.is_empty()
            || self.core_members.members.iter().any(|member| member.host == host)
    }

    /// The proxies with a session here.
    pub fn sessions(&self) -> Vec<Host> {
        self.proxies.sessions()
    }

    /// The other registries that are reachable.
    pub fn reachable_registries(&self, now: Millis) -> Vec<Host> {
        self.other_core_members().into_iter().filter(|host| self.is_reachable(*host, now)).collect()
    }

    /// Counts the proxies that share quotas and those that may be isolated. A registry that has just started
    /// knows few proxies and uses the stored number if that is higher: a number too high makes each share
    /// smaller, one too low would let the shares exceed the quota.
    fn proxy_counts(&self, now: Millis) -> proxies::ProxyCounts {
        let counts = self.proxies.counts(now);
        let starting = now - self.started_at < STARTUP_PERIOD;
        let total = if starting || self.has_lost_contact(now) {
            counts.total.max(self.stored_proxy_count)
        } else {
            counts.total
        };
        proxies::ProxyCounts { total, ..counts }
    }

    /// The number of proxies as proxies are told it; 0 while it is unknown. When all registries start
    /// together, each has one session at first; a proxy told that it is the only one would spend a whole
    /// quota alone.
    pub(crate) fn announced_proxy_count(&self, now: Millis) -> u32 {
        if self.store_was_fresh || self.stored_proxy_count > 0.0 {
            self.proxy_counts(now).total as u32
        } else {
            0
        }
    }

    /// The holder of the list duty also stores the number of proxies once a change has lasted.
    fn update_stored_proxy_count(&mut self, now: Millis) {
        let proxies = self.proxies.counts(now).total;
        let unchanged =
            (proxies - self.stored_proxy_count).abs() <= self.stored_proxy_count * PROXY_COUNT_TOLERANCE;
        if unchanged
            || self.held_duties(now) & duties::LIST_DUTY == 0
            || now - self.started_at < STARTUP_PERIOD / 2.0
        {
            self.count_differs_since = None;
            return;
        }
        let since = *self.count_differs_since.get_or_insert(now);
        // An increase is stored at once, a decrease only after the proxies have stayed away.
        let delay = if proxies > self.stored_proxy_count {
            HEARTBEAT_INTERVAL
        } else {
            proxies::SILENT_PROXY_RETENTION
        };
        if now - since > delay {
            self.count_differs_since = Some(now);
            self.outputs.push(Output::StoreProxyCount(proxies as u32));
        }
    }

    fn send_heartbeats(&mut self, now: Millis) {
        self.heartbeat_number += 1;
        let claims = self.duties.claims();
        self.duties.record_heartbeat(self.heartbeat_number, now);
        let (sessions_hash, list_stamp) = (self.proxies.session_list_hash(), self.backend_list.stamp);
        let highest_list = self.highest_list_number.max(list_stamp.0);
        let heartbeat = RegistryMessage::Heartbeat {
            incarnation: self.incarnation,
            number: self.heartbeat_number,
            claims,
            sessions_hash,
            list_stamp,
            highest_list,
        };
        for host in self.other_core_members() {
            self.outputs.push(Output::SendToRegistry(host, heartbeat.clone()));
        }
        if self.core_members.members.iter().any(|member| member.host == self.local_host) {
            let granted = self.duties.vote(now, self.local_host, claims);
            self.duties.record_grant(self.local_host, self.heartbeat_number, granted);
        }
    }

    /// Claims the duties that no reachable registry claims and that this registry is preferred for.
    fn claim_duties(&mut self, now: Millis) {
        let held = self.held_duties(now);
        let reachable = self.reachable_registries(now);
        let claimed = reachable.iter().fold(0, |claimed, host| claimed | self.peers[host].claims);
        let preferred = duties::preferred_duties(self.local_host, &reachable);
        let before = self.duties.claims();
        // A holder keeps its claims; an unsuccessful claimant gives way to the current holder.
        let claims = held | (preferred & !claimed);
        if claims != before {
            self.duties.set_claims(claims);
            self.next_heartbeat = now;
        }
        let (gained, lost) = self.duties.update_held(now, held);
        if gained != 0 || lost != 0 {
            self.outputs
                .push(Output::Log("duties", format!("held={held:x} gained={gained:x} lost={lost:x}")));
            for key in 0..=duties::SHARDS {
                let name =
                    if 1 << key == duties::LIST_DUTY { "list".to_owned() } else { format!("tenants-{key}") };
                if gained & 1 << key != 0 {
                    self.feed.record_local(now, EventKind::DutyTaken, &name, self.registry_label());
                } else if lost & 1 << key != 0 {
                    self.feed.record_local(now, EventKind::DutyLost, &name, self.registry_label());
                }
            }
        }
        if lost != 0 {
            self.quota_counts.remove_where(|tenant| lost & duties::shard_bit(tenant) != 0);
        }
    }

    fn request_list_read(&mut self, now: Millis) {
        if now < self.next_list_read {
            return;
        }
        let holds = self.held_duties(now) & duties::LIST_DUTY != 0;
        let other_holder = self
            .peers
            .values()
            .any(|peer| now - peer.last_heard < PEER_TIMEOUT && peer.claims & duties::LIST_DUTY != 0);
        let no_holder = !other_holder && now - self.started_at > 2.0 * PEER_TIMEOUT;
        // After all registries have restarted there is no list, and no registry can hold the duty yet;
        // proxies are not ready without a list.
        let no_list = self.backend_list.stamp.0 == 0 && now - self.started_at > FIRST_LIST_DELAY;
        if holds || no_holder || no_list {
            self.next_list_read = now + if holds { LIST_INTERVAL } else { FALLBACK_LIST_INTERVAL };
            (self.list_before_read, self.list_read_started) = (self.backend_list.stamp, now);
            self.outputs.push(Output::ReadBackendList);
        }
    }

    /// The platform's list was read; `None` if that failed. If another registry's list arrived during the
    /// read, that list is newer whatever number this one would get, so the read is repeated.
    pub fn on_list_read(&mut self, now: Millis, backends: Option<Vec<Backend>>) {
        if self.backend_list.stamp != self.list_before_read {
            self.next_list_read = now;
            return;
        }
        let Some(backends) = backends else {
            self.next_list_read = now + LIST_INTERVAL / 2.0;
            return;
        };
        let forced = self.force_list_after.is_some_and(|from| self.list_read_started >= from);
        let unchanged = proxy_updates::same_backends(&self.backend_list.backends, &backends)
            && self.highest_list_number <= self.backend_list.stamp.0;
        if unchanged && !forced {
            return;
        }
        let stamp = (self.backend_list.stamp.0.max(self.highest_list_number) + 1, self.local_host);
        let list = BackendList { stamp, backends };
        self.accept_backend_list(now, list);
        let list = self.backend_list.clone();
        for host in self.other_core_members() {
            self.outputs.push(Output::SendToRegistry(host, RegistryMessage::BackendList(list.clone())));
        }
    }

    fn accept_backend_list(&mut self, now: Millis, list: BackendList) {
        if list.stamp <= self.backend_list.stamp {
            return;
        }
        self.outputs
            .push(Output::Log("listing", format!("stamp={} backends={}", list.stamp.0, list.backends.len())));
        self.record_list_events(now, &list);
        // The registry that read this list forces one for the same reason, so a due request is met.
        self.force_list_after = self.force_list_after.filter(|from| now < *from);
        self.backend_list = list;
        self.send_to_all_proxies(&Rc::new(RegistryToProxy::BackendList(self.backend_list.clone())));
    }

    /// Handles a message from another registry.
    pub fn receive_from_registry(&mut self, now: Millis, from: Host, message: RegistryMessage) {
        match message {
            RegistryMessage::Heartbeat {
                incarnation,
                number,
                claims,
                sessions_hash,
                list_stamp,
                highest_list,
            } => {
                self.highest_list_number = self.highest_list_number.max(highest_list);
                let known = self.peers.get(&from);
                let needs_session_list = known.is_none_or(|peer| peer.incarnation != incarnation)
                    || self.proxies.known_hash(from) != Some(sessions_hash);
                if known.is_some_and(|peer| peer.incarnation != incarnation) {
                    self.proxies.registry_restarted(from, now);
                }
                self.peers.insert(from, Peer { last_heard: now, incarnation, claims });
                self.proxies.registry_heard(from, now);
                if needs_session_list {
                    self.outputs.push(Output::SendToRegistry(from, RegistryMessage::RequestSessions));
                }
                if list_stamp > self.backend_list.stamp {
                    self.outputs.push(Output::SendToRegistry(from, RegistryMessage::RequestBackendList));
                }
                let granted = self.duties.vote(now, from, claims);
                let wall_clock = self.maintenance.wall_clock(now);
                self.outputs.push(Output::SendToRegistry(
                    from,
                    RegistryMessage::HeartbeatAck { number, incarnation, granted, wall_clock },
                ));
            }
            RegistryMessage::HeartbeatAck { number, incarnation, granted, wall_clock } => {
                if incarnation == self.incarnation
                    && self.core_members.members.iter().any(|member| member.host == from)
                {
                    if let (Some(wall_clock), Some(sent)) = (wall_clock, self.duties.sent_at(number)) {
                        self.maintenance.add_clock_sample(from, sent, now, wall_clock);
                    }
                    self.duties.record_grant(from, number, granted);
                }
            }
            RegistryMessage::Sessions { proxies, silent, self_granted } => {
                self.proxies.set_session_list(from, proxies, silent, self_granted, now)
            }
            RegistryMessage::RequestSessions => {
                let (proxies, silent, self_granted) = self.proxies.local_sessions();
                self.outputs.push(Output::SendToRegistry(
                    from,
                    RegistryMessage::Sessions { proxies, silent, self_granted },
                ));
            }
            RegistryMessage::BackendList(list) => self.accept_backend_list(now, list),
            RegistryMessage::RequestBackendList => {
                let list = self.backend_list.clone();
                self.outputs.push(Output::SendToRegistry(from, RegistryMessage::BackendList(list)));
            }
            RegistryMessage::RequestUnits { from: proxy, tenant, units, next_window, demand } => {
                let grant =
                    self.grant_quota(now, UnitRequest { tenant: &tenant, proxy, units, next_window, demand });
                self.outputs.push(Output::SendToRegistry(from, RegistryMessage::Grant(proxy, grant)));
            }
            RegistryMessage::RequestUnitsFromRelay { from: proxy, tenant, units, next_window, demand } => {
                self.relay_quota_request(now, proxy, Some(from), &tenant, units, next_window, demand);
            }
            RegistryMessage::Grant(to, grant) if to == self.local_host => self.on_relay_grant(now, grant),
            RegistryMessage::Grant(proxy, grant) => {
                self.outputs.push(Output::SendToProxy(proxy, Rc::new(RegistryToProxy::Grant(grant))))
            }
            RegistryMessage::ReturnUnits { tenant, units, window } => {
                if self.held_duties(now) & duties::shard_bit(&tenant) != 0 {
                    self.quota_counts.return_units(now, &tenant, units, window);
                }
            }
            RegistryMessage::RequestEvents(query_id, query) => {
                self.outputs.push(Output::ReadEvents(from, query_id, query))
            }
            RegistryMessage::Events(query_id, page) => {
                self.outputs.push(Output::DeliverEvents(from, query_id, page))
            }
            RegistryMessage::LookUpRequest(query_id, id) => {
                self.outputs.push(Output::LookUpRequest(from, query_id, id))
            }
            RegistryMessage::RequestRecords(query_id, records) => {
                self.outputs.push(Output::DeliverRequestRecords(from, query_id, records))
            }
        }
    }

    /// Handles a message from a proxy with a session here.
    pub fn receive_from_proxy(&mut self, now: Millis, from: Host, message: ProxyToRegistry) {
        match message {
            ProxyToRegistry::Hello(proxy) => self.start_session(now, proxy, None),
            ProxyToRegistry::Resume(proxy, checksums) => self.start_session(now, proxy, Some(&checksums)),
            ProxyToRegistry::Digest(checksums) => self.on_digest(now, from, &checksums),
            ProxyToRegistry::Heartbeat { ready, items_hash, list_stamp, self_granted } => {
                if self.proxies.set_self_granted(from, self_granted) {
                    self.next_heartbeat = now;
                }
                self.on_proxy_heartbeat(now, from, ready, items_hash, list_stamp);
            }
            ProxyToRegistry::RequestUnits { tenant, units, next_window, demand } => {
                self.proxies.session_heard(from, now);
                let relay = self.relay_for(now, &tenant);
                if relay == self.local_host {
                    self.relay_quota_request(now, from, None, &tenant, units, next_window, demand);
                } else {
                    self.outputs.push(Output::SendToRegistry(
                        relay,
                        RegistryMessage::RequestUnitsFromRelay { from, tenant, units, next_window, demand },
                    ));
                }
            }
            ProxyToRegistry::ReturnUnits { tenant, units, window } => {
                match self.duty_holder(now, duties::shard_bit(&tenant)) {
                    Some(host) if host == self.local_host => {
                        self.quota_counts.return_units(now, &tenant, units, window)
                    }
                    Some(host) => self.outputs.push(Output::SendToRegistry(
                        host,
                        RegistryMessage::ReturnUnits { tenant, units, window },
                    )),
                    None => {}
                }
            }
            ProxyToRegistry::IdleNodes(nodes) => {
                if self.proxies.set_idle_nodes(from, nodes, now) {
                    self.next_heartbeat = now;
                }
            }
            ProxyToRegistry::FailureCounts(counts) => self.on_failure_counts(now, from, counts),
            ProxyToRegistry::RequestRecord(query_id, record) => {
                self.outputs.push(Output::DeliverRequestRecord(from, query_id, record))
            }
            ProxyToRegistry::EndSession => {
                self.proxies.leave(from, now);
                self.feed.record_local(now, EventKind::MemberLeft, &from.to_string(), "it said so".into());
                self.next_heartbeat = now;
            }
        }
    }

    /// The connection of a proxy was closed.
    pub fn on_session_closed(&mut self, now: Millis, proxy: Host) {
        if self.proxies.disconnect(proxy, now) {
            self.feed.record_local(now, EventKind::MemberLeft, &proxy.to_string(), "its line is down".into());
            self.outputs.push(Output::Log("session-closed", format!("proxy={proxy}")));
            self.next_heartbeat = now;
        }
    }
}
