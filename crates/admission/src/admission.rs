//! The decisions on connections: admit, queue, reject, or evict one.
//!
//! # Capacity
//! Of the capacity, `known_reserve` is reserved for known clients and `unknown_reserve` for unknown ones: an
//! unknown client is admitted while unknown clients hold less than `capacity - known_reserve`, a known client
//! while known clients hold less than `capacity - unknown_reserve`, and both while all together hold less
//! than `capacity`. Otherwise an idle connection is evicted ([`crate::eviction`]): an unknown client's for
//! anybody, a known client's for unknown clients only while known clients hold more than their reserve, and
//! never one of a client that holds less than the arriving client would. Meanwhile the new connection waits
//! in a bounded queue, and is rejected after a bounded time.
//!
//! # Duties of the host
//! The host reports each accepted connection by [`Admission::on_connect`], or by
//! [`Admission::on_descriptor_shortage`] if there was no descriptor for it, and each closed connection,
//! whoever closed it, once by [`Admission::on_close`]. It carries out the actions, and calls
//! [`Admission::on_timer`] no later than [`Admission::next_deadline`].

use crate::caps::{CapExceeded, ConnectionCaps, to_millis};
use crate::eviction::{self, EvictionOrder, IdleConnection, Load, Victim};
use crate::gcra::{ArrivalTime, Rate};
use crate::known_clients::KnownClients;
use crate::networks::{Networks, Proxy};
use crate::returning_clients::ReturningClients;
use crate::{Client, ClientClass, ConnectionId, Time};
use ahash::AHashMap;
use fennelscale_settings::admission::{Admission as Settings, Header};
use fennelscale_time::from_millis;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

/// After a descriptor shortage the capacity grows back by one per interval, so that the shortage does not
/// recur at once. What took the descriptors is outside the budget, so nothing reports when they are free
/// again.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(100);
/// On a descriptor shortage the capacity shrinks to the open connections less one part in this many.
const SHORTAGE_DIVISOR: usize = 8;
/// Unknown clients together may use one part in this many of the queue and of the lingering connections ...
const UNKNOWN_CLIENTS_PART: usize = 2;
/// ... and each of them one part in this many of the queue.
const CLIENT_QUEUE_PART: usize = 4;

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// Its client has too many open connections.
    ClientConnections,
    /// Its client connects too fast.
    ClientRate,
    /// Its site has too many open connections.
    SiteConnections,
    /// Its site connects too fast.
    SiteRate,
    /// All unknown clients together connect too fast.
    UnknownClients,
    /// Its proxy has too many open connections.
    ProxyConnections,
    /// There is no capacity and no place in the queue.
    NoCapacity,
    /// It waited in the queue for too long.
    QueueTimeout,
}

impl RejectReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::ClientConnections,
        Self::ClientRate,
        Self::SiteConnections,
        Self::SiteRate,
        Self::UnknownClients,
        Self::ProxyConnections,
        Self::NoCapacity,
        Self::QueueTimeout,
    ];

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClientConnections => "client-open",
            Self::ClientRate => "client-rate",
            Self::SiteConnections => "site-open",
            Self::SiteRate => "site-rate",
            Self::UnknownClients => "strangers",
            Self::ProxyConnections => "proxy",
            Self::NoCapacity => "full",
            Self::QueueTimeout => "waited",
        }
    }
}

/// How a rejection is sent. Known clients always get a response; unknown clients up to a configured rate of
/// rejections, and a reset beyond it. The connection lingers after the response if there is a place for that;
/// half of the places are reserved for known clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectResponse {
    /// 503 with this `Retry-After` in ms; the connection stays open, for a bounded time, until the response
    /// was read.
    RespondAndLinger(f64),
    /// The same, but closed at once: data that the client sends later meets a reset, but it can read the
    /// response.
    RespondAndClose(f64),
    /// A TCP reset.
    Reset,
}

/// What the host must do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Read the proxy's header and report the client by [`Admission::on_client_identified`].
    Identify(ConnectionId),
    /// Serve the connection.
    Admit(ConnectionId),
    /// Reject the connection, and report when it is closed.
    Reject(ConnectionId, RejectResponse, RejectReason),
    /// Close the idle connection. A request that arrives meanwhile is still answered.
    Evict(ConnectionId),
}

/// The totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Connections reported.
    pub connected: u64,
    /// Connections admitted.
    pub admitted: u64,
    /// Admitted connections that were queued before.
    pub queued: u64,
    /// Connections rejected, by reason, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
    /// Connections rejected by a reset.
    pub reset: u64,
    /// Connections evicted.
    pub evicted: u64,
    /// Number of descriptor shortages.
    pub exhausted: u64,
}

impl AdmissionCounts {
    /// The number of rejections for any reason.
    pub fn rejections(&self) -> u64 {
        self.rejected.iter().sum()
    }
}

/// The maximum numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Admitted connections.
    pub clients: usize,
    /// Connections that wait for capacity or for their proxy's header.
    pub queued: usize,
    /// Rejected connections whose response is being read.
    pub lingering: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for its proxy's header.
    Unidentified,
    /// Waits for capacity.
    Queued { until: Time },
    /// Is served; `idle` is set while it may be evicted.
    Admitted { idle: Option<IdleConnection> },
    /// Was evicted and is not closed yet.
    Evicted,
    /// Was rejected; `lingers` while its response is being read.
    Rejected { lingers: bool },
}

struct Connection {
    state: State,
    /// The client, once it is known.
    client: Option<Client>,
    /// The proxy that the connection came from.
    proxy_client: Option<(Client, Proxy)>,
    /// The client of the open request on a connection that clients share.
    request_client: Option<Client>,
    /// Whether it counts towards its client's open connections.
    counted: bool,
    answered: bool,
}

/// The state of a client with admitted connections.
#[derive(Clone, Copy)]
struct ActiveClient {
    class: ClientClass,
    admitted: u32,
}

/// The admission control.
pub struct Admission {
    networks: Networks,
    capacity: Capacity,
    known_reserve: f64,
    unknown_reserve: f64,
    known_share: f64,
    retry_after: f64,
    queue_timeout: Time,
    crowded_from: f64,
    newcomer_time: Time,
    unknown_rate: Rate,
    unknown_arrival: ArrivalTime,
    returning: ReturningClients,
    response_rate: Rate,
    response_arrival: ArrivalTime,
    clients: ConnectionCaps,
    sites: ConnectionCaps,
    proxies: ConnectionCaps,
    known_clients: KnownClients,
    eviction_order: EvictionOrder,
    active_clients: AHashMap<Client, ActiveClient>,
    connections: AHashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Admitted connections by class, including evicted ones that are not closed yet.
    open: [usize; 2],
    evicted: usize,
    unidentified: usize,
    lingering: usize,
    /// Queued connections by class, oldest first.
    queues: [VecDeque<ConnectionId>; 2],
    /// The accumulated share of known clients in admissions from the queues; they are next at 1.
    known_turn: f64,
    reduced_capacity: Option<(usize, Time)>,
    counts: AdmissionCounts,
}

impl Admission {
    /// Creates the admission control from the settings, with the given capacity.
    pub fn new(settings: &Settings, capacity: Capacity) -> Self {
        let known_settings = &settings.known;
        Self {
            networks: Networks::new(settings),
            capacity,
            known_reserve: known_settings.reserve.0,
            unknown_reserve: known_settings.newcomers.0,
            known_share: known_settings.turns.0,
            retry_after: settings.retry_after.0,
            queue_timeout: from_millis(settings.hold.lasts.0),
            crowded_from: settings.crowd.from.0,
            newcomer_time: from_millis(settings.crowd.newcomer.0),
            unknown_rate: Rate::new(settings.strangers.0, settings.strangers_burst),
            unknown_arrival: 0.0,
            returning: ReturningClients::new(
                settings.returning.rate.0,
                settings.returning.remember,
                from_millis(settings.returning.forget.0),
            ),
            response_rate: Rate::new(settings.refusals.answered.0, settings.refusals.answered.0),
            response_arrival: 0.0,
            clients: ConnectionCaps::new(settings.addresses),
            sites: ConnectionCaps::new(settings.addresses),
            proxies: ConnectionCaps::new(1),
            known_clients: KnownClients::new(
                known_settings.after,
                from_millis(known_settings.half_life.0),
                known_settings.counts_from.0,
                known_settings.clients,
            ),
            eviction_order: EvictionOrder::default(),
            active_clients: AHashMap::new(),
            connections: AHashMap::new(),
            next_id: 0,
            open: [0, 0],
            evicted: 0,
            unidentified: 0,
            lingering: 0,
            queues: Default::default(),
            known_turn: 0.0,
            reduced_capacity: None,
            counts: AdmissionCounts::default(),
        }
    }

    /// The totals since the start.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// The admitted connections of unknown and known clients.
    pub fn admitted(&self) -> [usize; 2] {
        self.open
    }

    /// The number of connections that wait for capacity or their proxy's header, and of those that linger.
    pub fn waiting(&self) -> (usize, usize) {
        (self.unidentified + self.queue_length(), self.lingering)
    }

    /// The settings for networks.
    pub fn networks(&self) -> &Networks {
        &self.networks
    }

    /// The open connections, and requests behind proxies, of the client at an address.
    pub fn open_connections(&self, address: IpAddr) -> u32 {
        self.clients.open(self.networks.client(address))
    }

    /// The class of the client at an address.
    pub fn class_of(&self, now: Time, address: IpAddr) -> ClientClass {
        self.known_clients.class(self.networks.client(address), now)
    }

    /// The number of clients and sites with open connections, as the caps count them.
    pub fn active_entries(&self) -> usize {
        self.clients.tracked_entries().0
            + self.sites.tracked_entries().0
            + self.proxies.tracked_entries().0
            + self.active_clients.len()
    }

    /// The number of tracked clients, sites and credits, with open connections and without.
    pub fn tracked_entries(&self) -> usize {
        let (active, idle) = self.clients.tracked_entries();
        let (rising, known) = self.known_clients.tracked_entries();
        active + idle + self.sites.tracked_entries().1 + rising + known
    }

    /// The current capacity: reduced for a while after a descriptor shortage.
    pub fn current_capacity(&self, now: Time) -> usize {
        let reduced = self.reduced_capacity.map_or(usize::MAX, |(capacity, since)| {
            let regained = now.saturating_sub(since).as_millis() / RECOVERY_INTERVAL.as_millis();
            capacity.saturating_add(usize::try_from(regained).unwrap_or(usize::MAX))
        });
        self.capacity.clients.min(reduced)
    }

    /// The limits for unknown and known clients within a capacity.
    pub fn class_limits(&self, capacity: usize) -> [usize; 2] {
        let known_reserve = ((capacity as f64 * self.known_reserve) as usize).min(capacity.saturating_sub(1));
        let unknown_reserve =
            ((capacity as f64 * self.unknown_reserve).ceil() as usize).min(capacity.saturating_sub(1));
        [capacity - known_reserve, capacity - unknown_reserve]
    }

    fn queue_length(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Whether the queue has no place for the connection that just arrived and is counted already.
    fn queue_is_full(&self) -> bool {
        self.unidentified + self.queue_length() > self.capacity.queued
    }

    fn total(&self) -> usize {
        self.open[0] + self.open[1]
    }

    fn has_capacity(&self, class: ClientClass, now: Time) -> bool {
        let capacity = self.current_capacity(now);
        self.total() < capacity && self.open[class as usize] < self.class_limits(capacity)[class as usize]
    }

    /// Without a queue, connections wait in the kernel's backlog: whether one may be accepted now. If the
    /// capacity is nearly used up, one idle connection is evicted.
    pub fn may_accept(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.is_crowded(now) {
            self.evict_one(None, None, now, out);
        }
        self.total() < self.current_capacity(now)
    }

    fn is_crowded(&self, now: Time) -> bool {
        self.total() as f64 >= (self.current_capacity(now) as f64 * self.crowded_from).floor()
    }

    /// Whether connections are queued here rather than in the kernel's backlog.
    pub fn has_queue(&self) -> bool {
        self.capacity.queued > 0
    }

    /// A connection arrived from an address.
    pub fn on_connect(&mut self, now: Time, peer: IpAddr, out: &mut Vec<Action>) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        self.counts.connected += 1;
        let state = State::Unidentified;
        let connection = Connection {
            state,
            client: None,
            proxy_client: None,
            request_client: None,
            counted: false,
            answered: false,
        };
        self.connections.insert(id, connection);
        self.unidentified += 1;
        match self.networks.proxy(peer) {
            Some(proxy) => self.on_proxy_connect(now, id, peer, proxy, out),
            None => self.on_client_identified(now, id, peer, out),
        }
        id
    }

    /// A connection arrived from a trusted proxy.
    fn on_proxy_connect(
        &mut self, now: Time, id: ConnectionId, peer: IpAddr, proxy: Proxy, out: &mut Vec<Action>,
    ) {
        let proxy_client = Client::from(peer.to_canonical());
        if self.proxies.check(proxy_client, now, None, proxy.open).is_err() {
            return self.reject(now, id, RejectReason::ProxyConnections, self.retry_after, out);
        }
        self.proxies.on_open(proxy_client, now, None);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.proxy_client = Some((proxy_client, proxy));
        }
        if proxy.header != Header::ProxyProtocol {
            // Each request names its client; the connection itself is covered by the operators' settings.
            return self.admit_or_queue(now, id, proxy_client, ClientClass::Known, false, out);
        }
        if self.queue_is_full() {
            return self.reject(now, id, RejectReason::NoCapacity, self.retry_after, out);
        }
        out.push(Action::Identify(id));
    }

    /// The client of a connection is known: its peer, or the one in its proxy's header.
    pub fn on_client_identified(
        &mut self, now: Time, id: ConnectionId, address: IpAddr, out: &mut Vec<Action>,
    ) {
        let client = self.networks.client(address);
        let class = self.known_clients.class(client, now);
        let decision = self.within_caps(now, client, true);
        // A client that returns as it was told to bypasses the rate of unknown clients, but not its own caps.
        let returns = decision.is_ok() && class == ClientClass::Unknown && self.returning.admit(now, client);
        let decision = decision.and_then(|()| match class {
            ClientClass::Unknown if !returns => {
                self.unknown_rate.check(self.unknown_arrival, to_millis(now)).map_err(|wait| {
                    (
                        RejectReason::UnknownClients,
                        if self.returning.is_on() { self.retry_after } else { wait },
                    )
                })
            }
            _ => Ok(()),
        });
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.client = Some(client);
        }
        if let Err((reason, wait)) = decision {
            return self.reject(now, id, reason, wait, out);
        }
        if class == ClientClass::Unknown && !returns {
            self.unknown_arrival = self.unknown_rate.next(self.unknown_arrival, to_millis(now));
        }
        self.record_open(now, client, true);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.counted = true;
        }
        self.admit_or_queue(now, id, client, class, returns, out);
    }

    /// Checks the caps of a client and its site; `rated` if it opens a connection.
    fn within_caps(&self, now: Time, client: Client, rated: bool) -> Result<(), (RejectReason, f64)> {
        let tier = self.networks.tier(client);
        let reject_with = |open, rate| {
            move |over| match over {
                CapExceeded::Open => (open, self.retry_after),
                CapExceeded::Rate(wait) => (rate, wait),
            }
        };
        let rate = rated.then_some(&tier.rate);
        self.clients
            .check(client, now, rate, tier.open)
            .map_err(reject_with(RejectReason::ClientConnections, RejectReason::ClientRate))?;
        let Some(site) = self.networks.site(client) else { return Ok(()) };
        let rate = rated.then_some(&tier.site_rate);
        self.sites
            .check(site, now, rate, tier.site_open)
            .map_err(reject_with(RejectReason::SiteConnections, RejectReason::SiteRate))
    }

    /// Records one more open connection or request of a client; `rated` if it opened a connection.
    fn record_open(&mut self, now: Time, client: Client, rated: bool) {
        let tier = self.networks.tier(client);
        self.clients.on_open(client, now, rated.then_some(&tier.rate));
        if let Some(site) = self.networks.site(client) {
            self.sites.on_open(site, now, rated.then_some(&tier.site_rate));
        }
    }

    /// Admits, queues or rejects a connection by the capacity. A client that `returns` may use the whole
    /// queue.
    fn admit_or_queue(
        &mut self, now: Time, id: ConnectionId, client: Client, class: ClientClass, returns: bool,
        out: &mut Vec<Action>,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.client = Some(client);
        }
        // All connections of a client have the class of the newest.
        self.set_class(client, class);
        if self.has_capacity(class, now) {
            return self.admit(now, id, class, out);
        }
        let queue = &self.queues[class as usize];
        let is_own = |id: &&ConnectionId| self.connections.get(id).is_some_and(|c| c.client == Some(client));
        let exceeds_queue_share = class == ClientClass::Unknown
            && !returns
            && (queue.len() >= (self.capacity.queued / UNKNOWN_CLIENTS_PART).max(1)
                || queue.iter().filter(is_own).count() >= (self.capacity.queued / CLIENT_QUEUE_PART).max(1));
        if self.queue_is_full() || exceeds_queue_share {
            return self.reject(now, id, RejectReason::NoCapacity, self.retry_after, out);
        }
        let until = now + self.queue_timeout;
        self.set_state(id, State::Queued { until });
        self.queues[class as usize].push_back(id);
        // One connection is evicted for each that waits.
        if self.evicted < self.queue_length() {
            self.evict_one(Some(class), Some(client), now, out);
        }
    }

    /// The counter of a state, if it has one.
    fn state_count(&mut self, state: State) -> Option<&mut usize> {
        match state {
            State::Unidentified => Some(&mut self.unidentified),
            State::Evicted => Some(&mut self.evicted),
            State::Rejected { lingers: true } => Some(&mut self.lingering),
            _ => None,
        }
    }

    fn set_state(&mut self, id: ConnectionId, state: State) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let old = std::mem::replace(&mut connection.state, state);
        self.state_count(old).into_iter().for_each(|count| *count -= 1);
        self.state_count(state).into_iter().for_each(|count| *count += 1);
    }

    /// The usage of a client's or proxy's cap.
    fn load(&self, client: Client) -> Load {
        if let Some(proxy) =
            self.proxies.open(client).checked_sub(1).and_then(|_| self.networks.proxy(client.addr()))
        {
            return eviction::load(self.proxies.open(client), proxy.open);
        }
        eviction::load(self.clients.open(client), self.networks.tier(client).open)
    }

    /// Admits a connection.
    fn admit(&mut self, now: Time, id: ConnectionId, class: ClientClass, out: &mut Vec<Action>) {
        let Some(client) = self.connections.get(&id).and_then(|c| c.client) else { return };
        self.open[class as usize] += 1;
        self.active_clients.entry(client).or_insert(ActiveClient { class, admitted: 0 }).admitted += 1;
        self.counts.admitted += 1;
        out.push(Action::Admit(id));
        // Without a queue, capacity is freed before the next connection is accepted instead. The new
        // connection is not idle yet, so that it is not evicted for itself.
        if self.has_queue() && self.is_crowded(now) && self.evicted == 0 {
            self.evict_one(Some(class), Some(client), now, out);
        }
        let idle = IdleConnection { since: now, id, answered: false };
        self.set_state(id, State::Admitted { idle: Some(idle) });
        let load = self.load(client);
        self.eviction_order.insert(client, class, load, idle);
    }

    /// Changes the class of a client.
    fn set_class(&mut self, client: Client, class: ClientClass) {
        let Some(active) = self.active_clients.get_mut(&client).filter(|active| active.class != class) else {
            return;
        };
        self.open[active.class as usize] -= active.admitted as usize;
        self.open[class as usize] += active.admitted as usize;
        active.class = class;
        self.eviction_order.update(client, class, self.load(client));
    }

    /// Evicts one idle connection in favour of an arriving class and client, or of any if none are given.
    fn evict_one(
        &mut self, class: Option<ClientClass>, client: Option<Client>, now: Time, out: &mut Vec<Action>,
    ) {
        let capacity = self.current_capacity(now);
        let [unknown_limit, known_limit] = self.class_limits(capacity);
        let known_above_reserve = self.open[1] > capacity - unknown_limit;
        let unknown_above_reserve = self.open[0] > capacity - known_limit;
        let both = [ClientClass::Unknown, ClientClass::Known];
        let classes: &[ClientClass] = match class {
            Some(ClientClass::Unknown) if self.open[0] >= unknown_limit => &both[..1],
            Some(ClientClass::Known) if self.open[1] >= known_limit => &both[1..],
            Some(ClientClass::Known) if !unknown_above_reserve => &both[1..],
            _ if known_above_reserve => &both,
            _ => &both[..1],
        };
        let first = self.eviction_order.next_victim(classes, now, self.newcomer_time);
        let victim = match client {
            None => first,
            Some(client) => {
                // The load already includes the arriving connection.
                let load = self.load(client);
                first
                    .filter(|v| v.load > load || v.load == load && !v.is_new || v.client == client)
                    .or_else(|| self.eviction_order.next_of_client(client, now, self.newcomer_time))
            }
        };
        if let Some(victim) = victim {
            self.evict(victim, out);
        }
    }

    fn evict(&mut self, Victim { client, idle, .. }: Victim, out: &mut Vec<Action>) {
        self.eviction_order.remove(client, idle);
        self.set_state(idle.id, State::Evicted);
        self.counts.evicted += 1;
        out.push(Action::Evict(idle.id));
    }

    fn reject(
        &mut self, now: Time, id: ConnectionId, reason: RejectReason, wait: f64, out: &mut Vec<Action>,
    ) {
        let index = RejectReason::ALL.iter().position(|other| *other == reason).unwrap_or(0);
        self.counts.rejected[index] += 1;
        let known = self.connections.get(&id).is_some_and(|c| {
            c.proxy_client.is_some()
                || c.client.is_some_and(|c| self.known_clients.class(c, now) == ClientClass::Known)
        });
        if let Some(client) = self.connections.get(&id).and_then(|c| c.client)
            && !known
            && matches!(
                reason,
                RejectReason::UnknownClients | RejectReason::NoCapacity | RejectReason::QueueTimeout
            )
        {
            self.returning.record_rejection(now, client, wait);
        }
        let answered =
            known || self.response_rate.try_acquire(&mut self.response_arrival, to_millis(now)).is_ok();
        let places =
            if known { self.capacity.lingering } else { self.capacity.lingering / UNKNOWN_CLIENTS_PART };
        let lingers = answered && self.lingering < places;
        self.counts.reset += u64::from(!answered);
        self.set_state(id, State::Rejected { lingers });
        let response = match (answered, lingers) {
            (true, true) => RejectResponse::RespondAndLinger(wait),
            (true, false) => RejectResponse::RespondAndClose(wait),
            (false, _) => RejectResponse::Reset,
        };
        out.push(Action::Reject(id, response, reason));
    }

    /// The first byte of a request arrived.
    pub fn on_request_begin(&mut self, now: Time, id: ConnectionId) {
        self.mark_idle(now, id, false);
    }

    /// A request was received completely: its connection is not evicted until the response is sent.
    pub fn on_request(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let (State::Admitted { idle: Some(idle) }, Some(client)) = (connection.state, connection.client) {
            connection.state = State::Admitted { idle: None };
            self.eviction_order.remove(client, idle);
        }
    }

    /// Whether the capacity for a connection's class is used up.
    pub fn is_full(&self, now: Time, id: ConnectionId) -> bool {
        let client = self.connections.get(&id).and_then(|c| c.client);
        let class = client
            .and_then(|c| self.active_clients.get(&c))
            .map_or(ClientClass::Unknown, |active| active.class);
        !self.has_capacity(class, now)
    }

    /// The header that names the client of each request, if clients share the connection.
    pub fn shared_header(&self, id: ConnectionId) -> Option<Header> {
        let proxy_client = self.connections.get(&id)?.proxy_client?;
        Some(proxy_client.1.header).filter(|header| *header != Header::ProxyProtocol)
    }

    /// Assigns a request on a shared connection to a client; it counts as an open connection until its
    /// response.
    ///
    /// # Errors
    /// The time to wait in ms, if the client or its site has too many open connections.
    pub fn assign_request(&mut self, now: Time, id: ConnectionId, address: IpAddr) -> Result<(), f64> {
        let client = self.networks.client(address);
        self.within_caps(now, client, false).map_err(|(_, wait)| wait)?;
        self.end_request(now, id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.request_client = Some(client);
            self.record_open(now, client, false);
        }
        Ok(())
    }

    fn end_request(&mut self, now: Time, id: ConnectionId) {
        if let Some(client) = self.connections.get_mut(&id).and_then(|c| c.request_client.take()) {
            self.record_close(now, client);
        }
    }

    /// Records one less open connection or request of a client.
    fn record_close(&mut self, now: Time, client: Client) {
        self.clients.on_close(client, now);
        if let Some(site) = self.networks.site(client) {
            self.sites.on_close(site, now);
        }
        self.update_load(client);
    }

    /// Updates a client's eviction rank after its load decreased.
    fn update_load(&mut self, client: Client) {
        if let Some(active) = self.active_clients.get(&client) {
            self.eviction_order.update(client, active.class, self.load(client));
        }
    }

    /// A response was sent. `share` is the worth of a served request, as a share of the worthiest class's;
    /// none if the request was not served.
    pub fn on_response(&mut self, now: Time, id: ConnectionId, share: Option<f64>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.answered = true;
        let client = connection.request_client.or(connection.client.filter(|_| {
            connection.proxy_client.is_none_or(|(_, proxy)| proxy.header == Header::ProxyProtocol)
        }));
        if let (Some(client), Some(share)) = (client, share) {
            self.known_clients.served(client, share, now);
            self.set_class(client, self.known_clients.class(client, now));
        }
        self.end_request(now, id);
        self.mark_idle(now, id, true);
    }

    /// Marks a connection as idle from now on. The first byte of a request does not restart the idle time of
    /// a connection without any response so far.
    fn mark_idle(&mut self, now: Time, id: ConnectionId, after_response: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (State::Admitted { idle }, Some(client)) = (connection.state, connection.client) else { return };
        if !after_response && !connection.answered {
            return;
        }
        let new = IdleConnection { since: now, id, answered: true };
        connection.state = State::Admitted { idle: Some(new) };
        if let Some(old) = idle {
            self.eviction_order.remove(client, old);
        }
        let class = self.active_clients.get(&client).map_or(ClientClass::Unknown, |active| active.class);
        let load = self.load(client);
        self.eviction_order.insert(client, class, load, new);
    }

    /// A connection is closed, whoever closed it.
    pub fn on_close(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Action>) {
        self.end_request(now, id);
        let Some(connection) = self.connections.remove(&id) else { return };
        let Connection { state, client, proxy_client, counted, .. } = connection;
        self.state_count(state).into_iter().for_each(|count| *count -= 1);
        match state {
            State::Unidentified | State::Rejected { .. } => {}
            State::Queued { .. } => {
                self.queues.iter_mut().for_each(|queue| queue.retain(|queued| *queued != id))
            }
            State::Admitted { .. } | State::Evicted => {
                if let (State::Admitted { idle: Some(idle) }, Some(client)) = (state, client) {
                    self.eviction_order.remove(client, idle);
                }
                if let Some(active) = client.and_then(|c| self.active_clients.get_mut(&c)) {
                    self.open[active.class as usize] -= 1;
                    active.admitted -= 1;
                    if active.admitted == 0
                        && let Some(client) = client
                    {
                        self.active_clients.remove(&client);
                        self.eviction_order.remove_client(client);
                    }
                }
            }
        }
        if let Some((proxy_client, _)) = proxy_client {
            self.proxies.on_close(proxy_client, now);
            self.update_load(proxy_client);
        }
        if let Some(client) = client.filter(|_| counted) {
            self.record_close(now, client);
        }
        self.admit_queued(now, out);
    }

    /// Admits queued connections while there is capacity, known and unknown clients in turn.
    fn admit_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        loop {
            let candidates = [ClientClass::Unknown, ClientClass::Known].map(|queue_class| {
                let id = *self.queues[queue_class as usize].front()?;
                // Its client's class may have changed while it waited.
                let client = self.connections.get(&id).and_then(|c| c.client);
                let class = client
                    .and_then(|c| self.active_clients.get(&c))
                    .map_or(queue_class, |active| active.class);
                self.has_capacity(class, now).then_some((queue_class, id, class))
            });
            let next = match candidates {
                [None, None] => return,
                [Some(unknown), None] => unknown,
                [None, Some(known)] => known,
                [Some(unknown), Some(known)] => {
                    self.known_turn += self.known_share;
                    if self.known_turn >= 1.0 {
                        self.known_turn -= 1.0;
                        known
                    } else {
                        unknown
                    }
                }
            };
            let (queue_class, id, class) = next;
            self.queues[queue_class as usize].pop_front();
            self.counts.queued += 1;
            self.admit(now, id, class, out);
        }
    }

    /// When [`Self::on_timer`] must be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.queues.iter().filter_map(|queue| self.queued_until(*queue.front()?)).min()
    }

    fn queued_until(&self, id: ConnectionId) -> Option<Time> {
        match self.connections.get(&id)?.state {
            State::Queued { until } => Some(until),
            _ => None,
        }
    }

    /// Time has passed: rejects connections that waited for too long.
    pub fn on_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        // The capacity may have grown back.
        self.admit_queued(now, out);
        for class in [ClientClass::Unknown, ClientClass::Known] {
            while let Some(id) = self.queues[class as usize].front().copied() {
                if self.queued_until(id).is_some_and(|until| until > now) {
                    break;
                }
                self.queues[class as usize].pop_front();
                self.reject(now, id, RejectReason::QueueTimeout, self.retry_after, out);
            }
        }
    }

    /// There was no descriptor for a client or backend connection: something outside the budget took them.
    /// The capacity shrinks for a while, and one idle connection is evicted.
    pub fn on_descriptor_shortage(&mut self, now: Time, out: &mut Vec<Action>) {
        self.counts.exhausted += 1;
        let capacity = self.total() - self.total() / SHORTAGE_DIVISOR;
        self.reduced_capacity = Some((capacity.clamp(1, self.capacity.clients), now));
        let victim = [ClientClass::Unknown, ClientClass::Known]
            .iter()
            .find_map(|c| self.eviction_order.next_victim(&[*c], now, self.newcomer_time));
        if let Some(victim) = victim {
            self.evict(victim, out);
        }
    }
}
