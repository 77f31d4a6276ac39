//! The registry: sessions of proxies, who is a member, duties and who holds each, what the holder of a duty does.
//!
//! # What holds
//!
//! - A proxy is a member while its session with one registry stands; registries tell each other their sessions ([`members`]).
//! - A duty is held by one registry at a time ([`duties`]): a majority of the seats let its claim stand, each for longer than
//!   the holder acts on it, by steady clocks. A registry that has just started lets no claim stand until any it may have let
//!   stand before is over.
//! - Lists of backends are ordered by their stamps; an older one changes nothing ([`RegistryState::listing`]).
//!
//! # What the caller owes
//!
//! Carries out [`RegistryState::outs`] after each input. `now` never goes back. Words to one registry go out in order or not at all.

mod contact;
mod copies;
pub mod duties;
mod failure_counts;
pub mod feed;
pub mod maintenance;
pub mod members;
pub mod merge;
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
use fennelscale_quota_lease::{Ask, Counts, Relay, Terms};
use maintenance::MaintenanceState;
use members::Members;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Milliseconds of a clock that never goes back.
pub type Millis = f64;

/// Between two beats of registries.
pub const HEARTBEAT_INTERVAL: Millis = 300.0;
/// A registry or a proxy that was not heard for this long is not there: four beats, and the longest way.
pub const PEER_TIMEOUT: Millis = 1400.0;
/// Proxies say that they are no longer on their own within this.
const RECONNECT_DELAY: Millis = 1000.0;
/// The list of backends is read this often by who has the duty, ...
pub const LIST_INTERVAL: Millis = 700.0;
/// ... and this often by each who knows of nobody that has it.
pub const FALLBACK_LIST_INTERVAL: Millis = 2000.0;

/// A list that was read so long after a zone was taken back shows which of its backends are cold: it is told also where it says
/// the same as the one before. Longer than the platform's usual lag, and the way of its answer.
pub const RETURNED_ZONE_DELAY: Millis = 1600.0;

/// A registry that has heard of no list for so long after its start reads one itself.
pub const FIRST_LIST_DELAY: Millis = 250.0;

/// A registry goes by the number of proxies that the store kept for so long after its start.
pub const STARTUP_PERIOD: Millis = 8000.0;
/// That number is kept anew when it differs by more than this part.
const PROXY_COUNT_TOLERANCE: f64 = 0.15;
/// The name under which the store keeps it.
pub const PROXY_COUNT_NAME: &str = "fleet";

/// What the host does.
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a word to a registry.
    SendToRegistry(Host, RegistryMessage),
    /// Sends a word to a proxy.
    SendToProxy(Host, Rc<RegistryToProxy>),
    /// Reads the platform's list and tells [`RegistryState::list_read`].
    ReadBackendList,
    /// Has the store keep how many proxies there are, for registries that start anew.
    StoreProxyCount(u32),
    /// Ends a proxy's session: another line of it has taken its place, or it was silent.
    CloseSession(Host),
    /// Has the store write a step of a maintenance order, and tells [`RegistryState::stepped`].
    WriteMaintenanceStep(maintenance::StepWrite),
    /// Gives the store events to keep, and tells [`RegistryState::kept`] if it took them.
    StoreEvents(Vec<Event>),
    /// Looks up what a reader at another registry wants, also what the store has of earlier lives, and sends it with that number.
    ReadEvents(Host, u64, EventQuery),
    /// Another registry's part of what a reader here wants.
    DeliverEvents(Host, u64, EventPage),
    /// Asks the proxies here for a request and sends that registry what they know, with that number.
    ReadRequestTrace(Host, u64, u64),
    /// What proxies of another registry know of a request.
    DeliverRequestTrace(Host, u64, Vec<(Host, String)>),
    /// What a proxy here knows of it.
    DeliverProxyTrace(Host, u64, String),
    /// A line for the log.
    Log(&'static str, String),
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Millis,
    life: u64,
    claims: u64,
}

/// One registry.
#[derive(Clone, Debug)]
pub struct RegistryState {
    me: Host,
    life: u64,
    born: Millis,
    zones: (String, String),
    seats: MemberList,
    peers: BTreeMap<Host, Peer>,
    members: Members,
    duties: DutyLeases,
    counts: Counts,
    relay: Relay,
    /// The registries that proxies of other registries ask this relay by.
    ways: BTreeMap<Host, Host>,
    terms: BTreeMap<String, Terms>,
    items: ItemCopy,
    /// Sums that the copy had lately.
    sums: copies::RecentSums,
    vouched: copies::Vouched,
    /// Whether proxies were told last that the copy is vouched for.
    told_fresh: bool,
    /// What was sent to proxies because their copies differed: comparisons asked for, and entries.
    resent: (u64, u64),
    listing: BackendList,
    /// The highest number of a list that was heard of. Guards against lists that begin to count anew when all registries have
    /// started again: a proxy that lived on would take none of them.
    highest: u64,
    read_at: Millis,
    /// The registries that were heard when proxies were told last.
    told_heard: Vec<Host>,
    /// The newest list that was here when the reading under way began, and when it began.
    read_from: (u64, Host),
    read_began: Millis,
    /// A list that is read from then on is told in any case: a zone was taken back.
    tell_list_from: Option<Millis>,
    beat_at: Millis,
    number: u64,
    /// How many proxies there were, by the store, and since when that has not been so.
    noted: f64,
    /// The store's copy was as new as a quorum's once in this life: what it says of the number of proxies counts, also if that
    /// is nothing.
    informed: bool,
    differs: Option<Millis>,
    feed: Feed,
    /// Tenants whose quota is spent, by the holder of their count: since when none had to be told so.
    spent: quota_events::Exhausted,
    hours: MaintenanceState,
    /// What proxies with a session here have counted of failure orders.
    met: failure_counts::ReportedCounts,
    out: Vec<Output>,
}

impl RegistryState {
    /// A registry that knows its place (zone and region) and nothing else.
    pub fn new(me: Host, life: u64, zone: &str, region: &str, bootstrap: bool, now: Millis) -> Self {
        Self {
            me,
            life,
            born: now,
            zones: (zone.to_owned(), region.to_owned()),
            seats: MemberList::default(),
            peers: BTreeMap::new(),
            members: Members::default(),
            duties: DutyLeases::new(if bootstrap { f64::MIN } else { now }),
            counts: Counts::default(),
            relay: Relay::default(),
            ways: BTreeMap::new(),
            terms: BTreeMap::new(),
            items: ItemCopy::default(),
            sums: copies::RecentSums::default(),
            vouched: copies::Vouched::never(now),
            told_fresh: false,
            resent: (0, 0),
            listing: BackendList::default(),
            highest: 0,
            read_at: now,
            told_heard: Vec::new(),
            read_from: (0, Host::default()),
            read_began: now,
            tell_list_from: None,
            beat_at: now,
            number: 0,
            noted: 0.0,
            informed: false,
            differs: None,
            feed: Feed::new(life),
            spent: quota_events::Exhausted::default(),
            hours: MaintenanceState::default(),
            met: failure_counts::ReportedCounts::default(),
            out: Vec::new(),
        }
    }

    /// What is to be done, in this order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// All proxies that are thought to be there.
    pub fn members(&self, now: Millis) -> Vec<ProxyInfo> {
        self.members.all(now)
    }

    /// The newest list of backends.
    pub fn backend_list(&self) -> &BackendList {
        &self.listing
    }

    /// What this registry saw happen.
    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    /// DutyLeases that are held here.
    pub fn held_duties(&self, now: Millis) -> u64 {
        self.duties.held(now, self.majority())
    }

    /// Where a client of a place should go: the proxies of its region that take clients, or all if there are none.
    pub fn resolve(&self, now: Millis, region: &str) -> Vec<ProxyInfo> {
        let ready: Vec<ProxyInfo> = self.members.all(now).into_iter().filter(|m| m.ready).collect();
        let near: Vec<ProxyInfo> = ready.iter().filter(|m| m.region == region).cloned().collect();
        if near.is_empty() { ready } else { near }
    }

    fn majority(&self) -> usize {
        self.seats.members.len() / 2 + 1
    }

    fn others(&self) -> BTreeSet<Host> {
        let mut others: BTreeSet<Host> = self.seats.members.iter().map(|seat| seat.host).collect();
        others.remove(&self.me);
        others
    }

    fn here(&self) -> String {
        format!("registry {}", self.me)
    }

    fn alive(&self, host: Host, now: Millis) -> bool {
        self.peers.get(&host).is_some_and(|peer| now - peer.heard < PEER_TIMEOUT)
    }

    /// The seats, as the store has them chosen.
    pub fn on_seats(&mut self, now: Millis, seats: MemberList) {
        if seats.version != self.seats.version {
            let hosts: Vec<String> = seats.members.iter().map(|seat| seat.host.to_string()).collect();
            self.feed.record(now, EventKind::SeatsChanged, "seats", seats.version, hosts.join(" "));
        }
        self.seats = seats;
        self.tell_registries(now);
        self.beat_at = now;
    }

    fn tell_registries(&mut self, now: Millis) {
        self.told_heard = self.reachable_registries(now);
        self.tell(&Rc::new(self.registries(now)));
    }

    fn registries(&self, now: Millis) -> RegistryToProxy {
        let place = |host: Host, zone: &str, region: &str| RegistryInfo {
            host,
            zone: zone.to_owned(),
            region: region.to_owned(),
            reachable: host == self.me || self.alive(host, now),
        };
        let seats = self.seats.members.iter().map(|seat| place(seat.host, &seat.zone, &seat.region));
        let mut all: Vec<RegistryInfo> = seats.collect();
        if !all.iter().any(|known| known.host == self.me) {
            all.push(place(self.me, &self.zones.0, &self.zones.1));
        }
        RegistryToProxy::Registries(all)
    }

    /// Time passes; to be told every 50 ms or so.
    pub fn tick(&mut self, now: Millis) {
        for host in self.members.expire(now) {
            self.out.push(Output::CloseSession(host));
            self.feed.record_local(now, EventKind::MemberSilent, &host.to_string(), self.here());
            self.out.push(Output::Log("session-silent", format!("proxy={host}")));
        }
        self.look_vouched(now);
        self.claim(now);
        if now >= self.beat_at {
            self.beat_at = now + HEARTBEAT_INTERVAL;
            self.beat(now);
            if self.reachable_registries(now) != self.told_heard {
                self.tell_registries(now);
            }
            self.counts.sweep(now);
            let known: BTreeSet<Host> = self.members.all(now).iter().map(|m| m.host).collect();
            self.ways.retain(|proxy, _| known.contains(proxy));
            self.met.retain(|proxy, _| known.contains(proxy));
        }
        let mut sent = Vec::new();
        self.relay.tick(now, &mut sent);
        self.relay_sent(now, sent);
        self.read_list(now);
        self.tell_members(now);
        self.note(now);
        self.keep_hours(now);
        self.quotas_back(now);
        let events = self.feed.events_to_store(now);
        if !events.is_empty() {
            self.out.push(Output::StoreEvents(events));
        }
    }

    /// The store has taken events up to this one.
    pub fn on_events_stored(&mut self, number: u64) {
        self.feed.mark_stored(number);
    }

    /// An operator's call was refused here.
    pub fn on_call_refused(&mut self, now: Millis, what: &str, cause: &str) {
        self.feed.record_refused_call(now, what, cause);
    }

    /// This registry's machine.
    pub fn local_host(&self) -> Host {
        self.me
    }

    /// Whether a machine has a registry, by the seats that are known; without any, nobody can say.
    pub fn is_registry(&self, host: Host) -> bool {
        host == self.me
            || self.seats.members.is_empty()
            || self.seats.members.iter().any(|seat| seat.host == host)
    }

    /// Proxies with a session here.
    pub fn sessions(&self) -> Vec<Host> {
        self.members.sessions()
    }

    /// Other registries that are heard.
    pub fn reachable_registries(&self, now: Millis) -> Vec<Host> {
        self.others().into_iter().filter(|host| self.alive(*host, now)).collect()
    }

    /// How many proxies there are for shares, and how many may be on their own. A registry that has just started knows few: it
    /// goes by what the store kept. Too many is a smaller share for each, too few would add up to more than there is.
    fn counted(&self, now: Millis) -> members::ProxyCounts {
        let counts = self.members.counted(now);
        let young = now - self.born < STARTUP_PERIOD;
        let all = if young || self.is_cut(now) { counts.all.max(self.noted) } else { counts.all };
        members::ProxyCounts { all, ..counts }
    }

    /// The same for proxies; 0 as long as nobody can know. A registry that has started with the whole core has one session at first:
    /// told that it is the only one, that proxy would spend a whole quota alone.
    pub(crate) fn told_count(&self, now: Millis) -> u32 {
        if self.informed || self.noted > 0.0 { self.counted(now).all as u32 } else { 0 }
    }

    /// Who reads the list also keeps how many proxies there are, where that has changed for good.
    fn note(&mut self, now: Millis) {
        let gateways = self.members.counted(now).all;
        let same = (gateways - self.noted).abs() <= self.noted * PROXY_COUNT_TOLERANCE;
        if same || self.held_duties(now) & duties::LIST_DUTY == 0 || now - self.born < STARTUP_PERIOD / 2.0 {
            self.differs = None;
            return;
        }
        let since = *self.differs.get_or_insert(now);
        // More is kept at once, fewer only when they stay away.
        let patience =
            if gateways > self.noted { HEARTBEAT_INTERVAL } else { members::SILENT_PROXY_RETENTION };
        if now - since > patience {
            self.differs = Some(now);
            self.out.push(Output::StoreProxyCount(gateways as u32));
        }
    }

    fn beat(&mut self, now: Millis) {
        self.number += 1;
        let claims = self.duties.claims();
        self.duties.sent(self.number, now);
        let (roll, listing) = (self.members.roll_hash(), self.listing.stamp);
        let highest = self.highest.max(listing.0);
        let beat = RegistryMessage::Heartbeat {
            incarnation: self.life,
            number: self.number,
            claims,
            sessions_hash: roll,
            list_stamp: listing,
            highest_list: highest,
        };
        for host in self.others() {
            self.out.push(Output::SendToRegistry(host, beat.clone()));
        }
        if self.seats.members.iter().any(|seat| seat.host == self.me) {
            let granted = self.duties.vote(now, self.me, claims);
            self.duties.heard(self.me, self.number, granted);
        }
    }

    /// Claims what nobody who is there claims and this registry is the first for.
    fn claim(&mut self, now: Millis) {
        let held = self.held_duties(now);
        let live = self.reachable_registries(now);
        let taken = live.iter().fold(0, |taken, host| taken | self.peers[host].claims);
        let first = duties::preferred_duties(self.me, &live);
        let before = self.duties.claims();
        // Who holds goes on; who claimed in vain gives way to one that holds by now.
        let claims = held | (first & !taken);
        if claims != before {
            self.duties.claim(claims);
            self.beat_at = now;
        }
        let (gained, lost) = self.duties.changed(now, held);
        if gained != 0 || lost != 0 {
            self.out.push(Output::Log("duties", format!("held={held:x} gained={gained:x} lost={lost:x}")));
            for key in 0..=duties::SHARDS {
                let what =
                    if 1 << key == duties::LIST_DUTY { "list".to_owned() } else { format!("tenants-{key}") };
                if gained & 1 << key != 0 {
                    self.feed.record_local(now, EventKind::DutyTaken, &what, self.here());
                } else if lost & 1 << key != 0 {
                    self.feed.record_local(now, EventKind::DutyLost, &what, self.here());
                }
            }
        }
        if lost != 0 {
            self.counts.drop_where(|tenant| lost & duties::bit_of(tenant) != 0);
        }
    }

    fn read_list(&mut self, now: Millis) {
        if now < self.read_at {
            return;
        }
        let holds = self.held_duties(now) & duties::LIST_DUTY != 0;
        let others =
            self.peers.values().any(|p| now - p.heard < PEER_TIMEOUT && p.claims & duties::LIST_DUTY != 0);
        let alone = !others && now - self.born > 2.0 * PEER_TIMEOUT;
        // After a start of all nobody has a list, and nobody can hold the duty yet: no proxy is ready before there is one.
        let none = self.listing.stamp.0 == 0 && now - self.born > FIRST_LIST_DELAY;
        if holds || alone || none {
            self.read_at = now + if holds { LIST_INTERVAL } else { FALLBACK_LIST_INTERVAL };
            (self.read_from, self.read_began) = (self.listing.stamp, now);
            self.out.push(Output::ReadBackendList);
        }
    }

    /// The platform's list was read; none if that failed. A reading that took so long that another registry's list came meanwhile is
    /// older than that one, whatever number it would get: it is made again.
    pub fn on_list_read(&mut self, now: Millis, backends: Option<Vec<Backend>>) {
        if self.listing.stamp != self.read_from {
            self.read_at = now;
            return;
        }
        let Some(backends) = backends else {
            self.read_at = now + LIST_INTERVAL / 2.0;
            return;
        };
        let awaited = self.tell_list_from.is_some_and(|from| self.read_began >= from);
        let alike = proxy_updates::same_backends(&self.listing.backends, &backends)
            && self.highest <= self.listing.stamp.0;
        if alike && !awaited {
            return;
        }
        let stamp = (self.listing.stamp.0.max(self.highest) + 1, self.me);
        let listing = BackendList { stamp, backends };
        self.take_listing(now, listing);
        let listing = self.listing.clone();
        for host in self.others() {
            self.out.push(Output::SendToRegistry(host, RegistryMessage::BackendList(listing.clone())));
        }
    }

    fn take_listing(&mut self, now: Millis, listing: BackendList) {
        if listing.stamp <= self.listing.stamp {
            return;
        }
        self.out.push(Output::Log(
            "listing",
            format!("stamp={} backends={}", listing.stamp.0, listing.backends.len()),
        ));
        self.note_listing(now, &listing);
        // Whoever read it waits for the same.
        self.tell_list_from = self.tell_list_from.filter(|from| now < *from);
        self.listing = listing;
        self.tell(&Rc::new(RegistryToProxy::BackendList(self.listing.clone())));
    }

    /// A word from another registry.
    pub fn receive_from_registry(&mut self, now: Millis, from: Host, word: RegistryMessage) {
        match word {
            RegistryMessage::Heartbeat {
                incarnation: life,
                number,
                claims,
                sessions_hash: roll,
                list_stamp: listing,
                highest_list: highest,
            } => {
                self.highest = self.highest.max(highest);
                let known = self.peers.get(&from);
                let wants_roll =
                    known.is_none_or(|p| p.life != life) || self.members.knows(from) != Some(roll);
                if known.is_some_and(|p| p.life != life) {
                    self.members.began(from, now);
                }
                self.peers.insert(from, Peer { heard: now, life, claims });
                self.members.heard_registry(from, now);
                if wants_roll {
                    self.out.push(Output::SendToRegistry(from, RegistryMessage::RequestSessions));
                }
                if listing > self.listing.stamp {
                    self.out.push(Output::SendToRegistry(from, RegistryMessage::RequestBackendList));
                }
                let granted = self.duties.vote(now, from, claims);
                let wall = self.hours.wall(now);
                self.out.push(Output::SendToRegistry(
                    from,
                    RegistryMessage::HeartbeatAck { number, incarnation: life, granted, wall_clock: wall },
                ));
            }
            RegistryMessage::HeartbeatAck { number, incarnation: life, granted, wall_clock: wall } => {
                if life == self.life && self.seats.members.iter().any(|seat| seat.host == from) {
                    if let (Some(wall), Some(sent)) = (wall, self.duties.sent_at(number)) {
                        self.hours.heard_time(from, sent, now, wall);
                    }
                    self.duties.heard(from, number, granted);
                }
            }
            RegistryMessage::Sessions { proxies: members, silent, self_granted: alone } => {
                self.members.roll(from, members, silent, alone, now)
            }
            RegistryMessage::RequestSessions => {
                let (members, silent, alone) = self.members.own_roll();
                self.out.push(Output::SendToRegistry(
                    from,
                    RegistryMessage::Sessions { proxies: members, silent, self_granted: alone },
                ));
            }
            RegistryMessage::BackendList(listing) => self.take_listing(now, listing),
            RegistryMessage::RequestBackendList => {
                let listing = self.listing.clone();
                self.out.push(Output::SendToRegistry(from, RegistryMessage::BackendList(listing)));
            }
            RegistryMessage::RequestUnits { from: proxy, tenant, units, next_window: next, demand } => {
                let grant = self.count(now, Ask { tenant: &tenant, proxy, units, next, demand });
                self.out.push(Output::SendToRegistry(from, RegistryMessage::Grant(proxy, grant)));
            }
            RegistryMessage::RequestUnitsFromRelay {
                from: proxy,
                tenant,
                units,
                next_window: next,
                demand,
            } => {
                self.relay_ask(now, proxy, Some(from), &tenant, units, next, demand);
            }
            RegistryMessage::Grant(to, grant) if to == self.me => self.relay_grant(now, grant),
            RegistryMessage::Grant(proxy, grant) => {
                self.out.push(Output::SendToProxy(proxy, Rc::new(RegistryToProxy::Grant(grant))))
            }
            RegistryMessage::ReturnUnits { tenant, units, window } => {
                if self.held_duties(now) & duties::bit_of(&tenant) != 0 {
                    self.counts.back(now, &tenant, units, window);
                }
            }
            RegistryMessage::RequestEvents(question, wanted) => {
                self.out.push(Output::ReadEvents(from, question, wanted))
            }
            RegistryMessage::Events(question, told) => {
                self.out.push(Output::DeliverEvents(from, question, told))
            }
            RegistryMessage::LookUpRequest(question, id) => {
                self.out.push(Output::ReadRequestTrace(from, question, id))
            }
            RegistryMessage::RequestRecords(question, known) => {
                self.out.push(Output::DeliverRequestTrace(from, question, known))
            }
        }
    }

    /// A word from a proxy of this registry's.
    pub fn receive_from_proxy(&mut self, now: Millis, from: Host, up: ProxyToRegistry) {
        match up {
            ProxyToRegistry::Hello(member) => self.hello(now, member, None),
            ProxyToRegistry::Resume(member, parts) => self.hello(now, member, Some(&parts)),
            ProxyToRegistry::Digest(parts) => self.on_have(now, from, &parts),
            ProxyToRegistry::Heartbeat {
                ready,
                items_hash: items,
                list_stamp: listing,
                self_granted: alone,
            } => {
                if self.members.alone(from, alone) {
                    self.beat_at = now;
                }
                self.on_up_beat(now, from, ready, items, listing);
            }
            ProxyToRegistry::RequestUnits { tenant, units, next_window: next, demand } => {
                self.members.heard(from, now);
                let near = self.near(now, &tenant);
                if near == self.me {
                    self.relay_ask(now, from, None, &tenant, units, next, demand);
                } else {
                    self.out.push(Output::SendToRegistry(
                        near,
                        RegistryMessage::RequestUnitsFromRelay {
                            from,
                            tenant,
                            units,
                            next_window: next,
                            demand,
                        },
                    ));
                }
            }
            ProxyToRegistry::ReturnUnits { tenant, units, window } => {
                match self.holder(now, duties::bit_of(&tenant)) {
                    Some(host) if host == self.me => self.counts.back(now, &tenant, units, window),
                    Some(host) => self.out.push(Output::SendToRegistry(
                        host,
                        RegistryMessage::ReturnUnits { tenant, units, window },
                    )),
                    None => {}
                }
            }
            ProxyToRegistry::IdleNodes(nodes) => {
                if self.members.quiet(from, nodes, now) {
                    self.beat_at = now;
                }
            }
            ProxyToRegistry::FailureCounts(counts) => self.met(now, from, counts),
            ProxyToRegistry::RequestRecord(question, known) => {
                self.out.push(Output::DeliverProxyTrace(from, question, known))
            }
            ProxyToRegistry::EndSession => {
                self.members.bye(from, now);
                self.feed.record_local(now, EventKind::MemberLeft, &from.to_string(), "it said so".into());
                self.beat_at = now;
            }
        }
    }

    /// A proxy's line is down.
    pub fn on_session_closed(&mut self, now: Millis, proxy: Host) {
        if self.members.closed(proxy, now) {
            self.feed.record_local(now, EventKind::MemberLeft, &proxy.to_string(), "its line is down".into());
            self.out.push(Output::Log("session-closed", format!("proxy={proxy}")));
            self.beat_at = now;
        }
    }
}
