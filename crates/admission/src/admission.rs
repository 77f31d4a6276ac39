//! The decisions on connections: admit, hold, refuse now, or evict whom.
//!
//! # Capacity
//! Of `room` connections, `reserve` are for known clients alone and `newcomers` for strangers alone:
//! a stranger is admitted while strangers hold less than `room - reserve`, a known client while known ones hold less than
//! `room - newcomers`, and both while all together hold less than `room`. Where that says no, an idle connection is asked to leave
//! ([`crate::eviction`]): a stranger's for anybody, a known client's for strangers only while known clients hold more than
//! their reserve, and never one of a client that holds less than the one that comes would. Who comes is held meanwhile, for a
//! bounded time in a bounded line, and refused when that is over.
//!
//! # What the host owes
//! Each connection that it accepts is told by [`Admission::on_connect`], or [`Admission::on_descriptor_shortage`] where there was no descriptor
//! for it; each end, whoever made it, once by [`Admission::on_close`]. It carries out the actions, and calls [`Admission::on_timer`]
//! no later than [`Admission::next_deadline`].

use crate::caps::{CapExceeded, ConnectionCaps, to_millis};
use crate::eviction::{self, EvictionOrder, IdleConnection, Load, Victim};
use crate::gcra::{ArrivalTime, Rate};
use crate::known_clients::KnownClients;
use crate::networks::{Networks, Proxy};
use crate::returning_clients::ReturningClients;
use crate::{Client, ClientClass, ConnectionId, Time};
use ahash::AHashMap;
use fennelscale_settings::admission::{Admission as Settings, Header};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

/// After descriptors ran out, the room comes back by one for each such span. Guards against running out again at once; what took
/// them is outside the budget, so nobody tells when they are back.
const RECOVERS: Duration = Duration::from_millis(100);
/// When they run out, the room shrinks to this much less than what is open.
const PINCH: usize = 8;
/// Strangers together have this part of the line of those who wait, and of the places of those who linger ...
const STRANGERS_PART: usize = 2;
/// ... and each of them this part of the line.
const LINE_PART: usize = 4;

/// RejectReason a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// Its client has as many open as it may.
    ClientConnections,
    /// Its client connects too fast.
    ClientRate,
    /// Its site has as many open as it may.
    SiteConnections,
    /// Its site connects too fast.
    SiteRate,
    /// Clients that are not known connect too fast, all together.
    UnknownClients,
    /// Its proxy has as many open as it may.
    ProxyConnections,
    /// There is no room, and nobody to make any.
    NoCapacity,
    /// It waited for room in vain.
    QueueTimeout,
}

impl RejectReason {
    /// All of them.
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

    /// Its name, in logs.
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

/// How a refusal is told. Known clients always get an answer; strangers while refusals are fewer a second than the settings
/// say, and a reset beyond that. An answer lingers while there is a place for that, of which known clients have half for
/// themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectResponse {
    /// 503, with this `Retry-After` in ms; the connection is kept until that was read, for a bounded time.
    RespondAndLinger(f64),
    /// The same, and a close at once: what the client sends behind it meets a reset, but it can read the answer.
    RespondAndClose(f64),
    /// A reset.
    Reset,
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Read the proxy's header, and tell what it says by [`Admission::on_client_identified`].
    Identify(ConnectionId),
    /// Serve it.
    Admit(ConnectionId),
    /// Refuse it, and tell when it is closed.
    Reject(ConnectionId, RejectResponse, RejectReason),
    /// Ask it to leave. A request that crosses that is answered still.
    Evict(ConnectionId),
}

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Connections told of.
    pub connected: u64,
    /// Connections admitted.
    pub admitted: u64,
    /// Of these, those that were held before.
    pub queued: u64,
    /// Connections refused, by reason, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
    /// Of these, by a reset.
    pub reset: u64,
    /// Connections asked to leave.
    pub evicted: u64,
    /// Times that descriptors ran out.
    pub exhausted: u64,
}

impl AdmissionCounts {
    /// All that were refused.
    pub fn rejections(&self) -> u64 {
        self.rejected.iter().sum()
    }
}

/// How much there is of what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Admitted connections.
    pub clients: usize,
    /// Those that wait for room or for their proxy's header.
    pub queued: usize,
    /// Refused ones whose answer is being read.
    pub lingering: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its proxy's header is awaited.
    Unnamed,
    /// It waits for room.
    Held { until: Time },
    /// It is served. IdleConnection, if it may be evicted.
    Admitted { idle: Option<IdleConnection> },
    /// It was asked to leave.
    Leaving,
    /// It was refused; true if it lingers.
    Refused { lingers: bool },
}

struct Connection {
    state: State,
    /// The client, once that is clear.
    client: Option<Client>,
    /// The proxy through which it came.
    carrier: Option<(Client, Proxy)>,
    /// The client whose request is open on a connection that many share.
    rider: Option<Client>,
    /// Whether it is among what its client has open.
    counted: bool,
    answered: bool,
}

/// What is kept of a client that has something admitted.
#[derive(Clone, Copy)]
struct Person {
    class: ClientClass,
    admitted: u32,
}

/// The decisions.
pub struct Admission {
    networks: Networks,
    room: Capacity,
    reserve: f64,
    newcomers: f64,
    turns: f64,
    retry_after: f64,
    hold: Time,
    crowd: f64,
    newcomer: Time,
    strangers: Rate,
    strangers_due: ArrivalTime,
    returning: ReturningClients,
    answers: Rate,
    answers_due: ArrivalTime,
    clients: ConnectionCaps,
    sites: ConnectionCaps,
    carriers: ConnectionCaps,
    standings: KnownClients,
    order: EvictionOrder,
    people: AHashMap<Client, Person>,
    connections: AHashMap<ConnectionId, Connection>,
    next: ConnectionId,
    /// Admitted ones by class, those that leave included.
    open: [usize; 2],
    leaving: usize,
    unnamed: usize,
    lingering: usize,
    /// Those that wait, by class, who came first in front.
    lines: [VecDeque<ConnectionId>; 2],
    /// How much of a turn known clients have saved up.
    turn: f64,
    pinched: Option<(usize, Time)>,
    counts: AdmissionCounts,
}

fn span(ms: f64) -> Time {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX)
}

impl Admission {
    /// As the settings say, in so much room.
    pub fn new(settings: &Settings, room: Capacity) -> Self {
        let known = &settings.known;
        Self {
            networks: Networks::new(settings),
            room,
            reserve: known.reserve.0,
            newcomers: known.newcomers.0,
            turns: known.turns.0,
            retry_after: settings.retry_after.0,
            hold: span(settings.hold.lasts.0),
            crowd: settings.crowd.from.0,
            newcomer: span(settings.crowd.newcomer.0),
            strangers: Rate::new(settings.strangers.0, settings.strangers_burst),
            strangers_due: 0.0,
            returning: ReturningClients::new(
                settings.returning.rate.0,
                settings.returning.remember,
                span(settings.returning.forget.0),
            ),
            answers: Rate::new(settings.refusals.answered.0, settings.refusals.answered.0),
            answers_due: 0.0,
            clients: ConnectionCaps::new(settings.addresses),
            sites: ConnectionCaps::new(settings.addresses),
            carriers: ConnectionCaps::new(1),
            standings: KnownClients::new(
                known.after,
                span(known.half_life.0),
                known.counts_from.0,
                known.clients,
            ),
            order: EvictionOrder::default(),
            people: AHashMap::new(),
            connections: AHashMap::new(),
            next: 0,
            open: [0, 0],
            leaving: 0,
            unnamed: 0,
            lingering: 0,
            lines: Default::default(),
            turn: 0.0,
            pinched: None,
            counts: AdmissionCounts::default(),
        }
    }

    /// What happened so far.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// How many are admitted: strangers' and known clients'.
    pub fn admitted(&self) -> [usize; 2] {
        self.open
    }

    /// How many wait for room or their proxy's header, and how many linger.
    pub fn waiting(&self) -> (usize, usize) {
        (self.unnamed + self.held(), self.lingering)
    }

    /// What is said of networks.
    pub fn networks(&self) -> &Networks {
        &self.networks
    }

    /// How many connections, and requests behind proxies, the client at an address has open.
    pub fn open_connections(&self, address: IpAddr) -> u32 {
        self.clients.open(self.networks.client(address))
    }

    /// The class of the client at an address.
    pub fn class_of(&self, now: Time, address: IpAddr) -> ClientClass {
        self.standings.class(self.networks.client(address), now)
    }

    /// How many clients and sites have something open, as the caps count it.
    pub fn active_entries(&self) -> usize {
        self.clients.tracked_entries().0
            + self.sites.tracked_entries().0
            + self.carriers.tracked_entries().0
            + self.people.len()
    }

    /// What is remembered of clients, sites and standings, with something open and without.
    pub fn tracked_entries(&self) -> usize {
        let (live, past) = self.clients.tracked_entries();
        let (rising, known) = self.standings.tracked_entries();
        live + past + self.sites.tracked_entries().1 + rising + known
    }

    /// The room that there is now: less for a while after descriptors ran out.
    pub fn current_capacity(&self, now: Time) -> usize {
        let pinched = self.pinched.map_or(usize::MAX, |(room, since)| {
            let back = now.saturating_sub(since).as_millis() / RECOVERS.as_millis();
            room.saturating_add(usize::try_from(back).unwrap_or(usize::MAX))
        });
        self.room.clients.min(pinched)
    }

    /// What strangers and known clients may hold, in so much room.
    pub fn class_limits(&self, room: usize) -> [usize; 2] {
        let reserve = ((room as f64 * self.reserve) as usize).min(room.saturating_sub(1));
        let newcomers = ((room as f64 * self.newcomers).ceil() as usize).min(room.saturating_sub(1));
        [room - reserve, room - newcomers]
    }

    fn held(&self) -> usize {
        self.lines.iter().map(VecDeque::len).sum()
    }

    /// Whether there is no place in the line for the one that came just now and is counted already.
    fn line_is_full(&self) -> bool {
        self.unnamed + self.held() > self.room.queued
    }

    fn total(&self) -> usize {
        self.open[0] + self.open[1]
    }

    fn has_room(&self, class: ClientClass, now: Time) -> bool {
        let room = self.current_capacity(now);
        self.total() < room && self.open[class as usize] < self.class_limits(room)[class as usize]
    }

    /// Where those who find no room wait in the machine's line: whether one may be accepted now. If it is crowded, one idle
    /// connection is asked to leave.
    pub fn may_accept(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.is_crowded(now) {
            self.make_room(None, None, now, out);
        }
        self.total() < self.current_capacity(now)
    }

    fn is_crowded(&self, now: Time) -> bool {
        self.total() as f64 >= (self.current_capacity(now) as f64 * self.crowd).floor()
    }

    /// Whether those who find no room wait here, and not in the machine's line.
    pub fn has_queue(&self) -> bool {
        self.room.queued > 0
    }

    /// A connection came from an address.
    pub fn on_connect(&mut self, now: Time, peer: IpAddr, out: &mut Vec<Action>) -> ConnectionId {
        let id = self.next;
        self.next += 1;
        self.counts.connected += 1;
        let state = State::Unnamed;
        let connection =
            Connection { state, client: None, carrier: None, rider: None, counted: false, answered: false };
        self.connections.insert(id, connection);
        self.unnamed += 1;
        match self.networks.proxy(peer) {
            Some(proxy) => self.carried(now, id, peer, proxy, out),
            None => self.on_client_identified(now, id, peer, out),
        }
        id
    }

    /// A connection came from a proxy that is believed.
    fn carried(&mut self, now: Time, id: ConnectionId, peer: IpAddr, proxy: Proxy, out: &mut Vec<Action>) {
        let carrier = Client::from(peer.to_canonical());
        if self.carriers.check(carrier, now, None, proxy.open).is_err() {
            return self.refuse(now, id, RejectReason::ProxyConnections, self.retry_after, out);
        }
        self.carriers.on_open(carrier, now, None);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.carrier = Some((carrier, proxy));
        }
        if proxy.header != Header::ProxyProtocol {
            // Whose requests it carries is told by each: of the connection itself the operators have said enough.
            return self.seek_room(now, id, carrier, ClientClass::Known, false, out);
        }
        if self.line_is_full() {
            return self.refuse(now, id, RejectReason::NoCapacity, self.retry_after, out);
        }
        out.push(Action::Identify(id));
    }

    /// Whose a connection is: its peer's, or by its proxy's header.
    pub fn on_client_identified(
        &mut self, now: Time, id: ConnectionId, address: IpAddr, out: &mut Vec<Action>,
    ) {
        let client = self.networks.client(address);
        let class = self.standings.class(client, now);
        let verdict = self.within_caps(now, client, true);
        // Who comes back as it was told to passes beside the rate of all strangers; within its own caps like anybody.
        let returns = verdict.is_ok() && class == ClientClass::Unknown && self.returning.admit(now, client);
        let verdict = verdict.and_then(|()| match class {
            ClientClass::Unknown if !returns => {
                self.strangers.check(self.strangers_due, to_millis(now)).map_err(|wait| {
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
        if let Err((why, wait)) = verdict {
            return self.refuse(now, id, why, wait, out);
        }
        if class == ClientClass::Unknown && !returns {
            self.strangers_due = self.strangers.next(self.strangers_due, to_millis(now));
        }
        self.entered(now, client, true);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.counted = true;
        }
        self.seek_room(now, id, client, class, returns, out);
    }

    /// Whether a client, and its site, may have one more open; `rated` if it connects for that.
    fn within_caps(&self, now: Time, client: Client, rated: bool) -> Result<(), (RejectReason, f64)> {
        let tier = self.networks.tier(client);
        let told = |open, rate| {
            move |over| match over {
                CapExceeded::Open => (open, self.retry_after),
                CapExceeded::Rate(wait) => (rate, wait),
            }
        };
        let rate = rated.then_some(&tier.rate);
        self.clients
            .check(client, now, rate, tier.open)
            .map_err(told(RejectReason::ClientConnections, RejectReason::ClientRate))?;
        let Some(site) = self.networks.site(client) else { return Ok(()) };
        let rate = rated.then_some(&tier.site_rate);
        self.sites
            .check(site, now, rate, tier.site_open)
            .map_err(told(RejectReason::SiteConnections, RejectReason::SiteRate))
    }

    /// A client has one more open; `rated` if it connected for that.
    fn entered(&mut self, now: Time, client: Client, rated: bool) {
        let tier = self.networks.tier(client);
        self.clients.on_open(client, now, rated.then_some(&tier.rate));
        if let Some(site) = self.networks.site(client) {
            self.sites.on_open(site, now, rated.then_some(&tier.site_rate));
        }
    }

    /// Admits it, holds it, or refuses it for want of room.
    /// One that `returns` may wait in all of the line.
    fn seek_room(
        &mut self, now: Time, id: ConnectionId, client: Client, class: ClientClass, returns: bool,
        out: &mut Vec<Action>,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.client = Some(client);
        }
        // All connections of a client are of one class: that of the newest.
        self.reclass(client, class);
        if self.has_room(class, now) {
            return self.admit(now, id, class, out);
        }
        let line = &self.lines[class as usize];
        let waits = |id: &&ConnectionId| self.connections.get(id).is_some_and(|c| c.client == Some(client));
        let crowds = class == ClientClass::Unknown
            && !returns
            && (line.len() >= (self.room.queued / STRANGERS_PART).max(1)
                || line.iter().filter(waits).count() >= (self.room.queued / LINE_PART).max(1));
        if self.line_is_full() || crowds {
            return self.refuse(now, id, RejectReason::NoCapacity, self.retry_after, out);
        }
        let until = now + self.hold;
        self.set(id, State::Held { until });
        self.lines[class as usize].push_back(id);
        // One leaves for each that waits.
        if self.leaving < self.held() {
            self.make_room(Some(class), Some(client), now, out);
        }
    }

    /// How many are in a state, where that is counted.
    fn tally(&mut self, state: State) -> Option<&mut usize> {
        match state {
            State::Unnamed => Some(&mut self.unnamed),
            State::Leaving => Some(&mut self.leaving),
            State::Refused { lingers: true } => Some(&mut self.lingering),
            _ => None,
        }
    }

    fn set(&mut self, id: ConnectionId, state: State) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let old = std::mem::replace(&mut connection.state, state);
        self.tally(old).into_iter().for_each(|count| *count -= 1);
        self.tally(state).into_iter().for_each(|count| *count += 1);
    }

    /// What a client holds of what it may.
    fn load(&self, client: Client) -> Load {
        if let Some(proxy) =
            self.carriers.open(client).checked_sub(1).and_then(|_| self.networks.proxy(client.addr()))
        {
            return eviction::load(self.carriers.open(client), proxy.open);
        }
        eviction::load(self.clients.open(client), self.networks.tier(client).open)
    }

    /// Serves a connection.
    fn admit(&mut self, now: Time, id: ConnectionId, class: ClientClass, out: &mut Vec<Action>) {
        let Some(client) = self.connections.get(&id).and_then(|c| c.client) else { return };
        self.open[class as usize] += 1;
        self.people.entry(client).or_insert(Person { class, admitted: 0 }).admitted += 1;
        self.counts.admitted += 1;
        out.push(Action::Admit(id));
        // Where they wait in the machine's line, room is made before the next is accepted. The one that came is not idle yet, so
        // that it does not make room for itself.
        if self.has_queue() && self.is_crowded(now) && self.leaving == 0 {
            self.make_room(Some(class), Some(client), now, out);
        }
        let idle = IdleConnection { since: now, id, answered: false };
        self.set(id, State::Admitted { idle: Some(idle) });
        let load = self.load(client);
        self.order.insert(client, class, load, idle);
    }

    /// A client is known now, or not any more.
    fn reclass(&mut self, client: Client, class: ClientClass) {
        let Some(person) = self.people.get_mut(&client).filter(|p| p.class != class) else { return };
        self.open[person.class as usize] -= person.admitted as usize;
        self.open[class as usize] += person.admitted as usize;
        person.class = class;
        self.order.update(client, class, self.load(client));
    }

    /// Asks one idle connection to leave, for one of a class that comes or, without one, for anybody.
    fn make_room(
        &mut self, class: Option<ClientClass>, client: Option<Client>, now: Time, out: &mut Vec<Action>,
    ) {
        let room = self.current_capacity(now);
        let [strangers, known] = self.class_limits(room);
        let beyond_reserve = self.open[1] > room - strangers;
        let beyond_newcomers = self.open[0] > room - known;
        let both = [ClientClass::Unknown, ClientClass::Known];
        let classes: &[ClientClass] = match class {
            Some(ClientClass::Unknown) if self.open[0] >= strangers => &both[..1],
            Some(ClientClass::Known) if self.open[1] >= known => &both[1..],
            Some(ClientClass::Known) if !beyond_newcomers => &both[1..],
            _ if beyond_reserve => &both,
            _ => &both[..1],
        };
        let first = self.order.next_victim(classes, now, self.newcomer);
        let victim = match client {
            None => first,
            Some(client) => {
                // What the one that comes holds is counted with it already.
                let holds = self.load(client);
                first
                    .filter(|v| v.load > holds || v.load == holds && !v.is_new || v.client == client)
                    .or_else(|| self.order.next_of_client(client, now, self.newcomer))
            }
        };
        if let Some(victim) = victim {
            self.evict(victim, out);
        }
    }

    fn evict(&mut self, Victim { client, idle, .. }: Victim, out: &mut Vec<Action>) {
        self.order.remove(client, idle);
        self.set(idle.id, State::Leaving);
        self.counts.evicted += 1;
        out.push(Action::Evict(idle.id));
    }

    fn refuse(&mut self, now: Time, id: ConnectionId, why: RejectReason, wait: f64, out: &mut Vec<Action>) {
        let place = RejectReason::ALL.iter().position(|w| *w == why).unwrap_or(0);
        self.counts.rejected[place] += 1;
        let known = self.connections.get(&id).is_some_and(|c| {
            c.carrier.is_some()
                || c.client.is_some_and(|c| self.standings.class(c, now) == ClientClass::Known)
        });
        if let Some(client) = self.connections.get(&id).and_then(|c| c.client)
            && !known
            && matches!(
                why,
                RejectReason::UnknownClients | RejectReason::NoCapacity | RejectReason::QueueTimeout
            )
        {
            self.returning.record_rejection(now, client, wait);
        }
        let answered = known || self.answers.try_acquire(&mut self.answers_due, to_millis(now)).is_ok();
        let places = if known { self.room.lingering } else { self.room.lingering / STRANGERS_PART };
        let lingers = answered && self.lingering < places;
        self.counts.reset += u64::from(!answered);
        self.set(id, State::Refused { lingers });
        let tell = match (answered, lingers) {
            (true, true) => RejectResponse::RespondAndLinger(wait),
            (true, false) => RejectResponse::RespondAndClose(wait),
            (false, _) => RejectResponse::Reset,
        };
        out.push(Action::Reject(id, tell, why));
    }

    /// The first byte of a request came.
    pub fn on_request_begin(&mut self, now: Time, id: ConnectionId) {
        self.idle(now, id, false);
    }

    /// A request was taken whole: the connection stays until its answer is given.
    pub fn on_request(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let (State::Admitted { idle: Some(idle) }, Some(client)) = (connection.state, connection.client) {
            connection.state = State::Admitted { idle: None };
            self.order.remove(client, idle);
        }
    }

    /// Whether there would be no room for one more of a connection's class.
    pub fn is_full(&self, now: Time, id: ConnectionId) -> bool {
        let client = self.connections.get(&id).and_then(|c| c.client);
        let class =
            client.and_then(|c| self.people.get(&c)).map_or(ClientClass::Unknown, |person| person.class);
        !self.has_room(class, now)
    }

    /// Whether requests on a connection are those of many clients, and how they say whose.
    pub fn shared_header(&self, id: ConnectionId) -> Option<Header> {
        let carrier = self.connections.get(&id)?.carrier?;
        Some(carrier.1.header).filter(|header| *header != Header::ProxyProtocol)
    }

    /// A request on a connection that many share is a client's: it counts as one that this has open, until its answer.
    ///
    /// # Errors
    /// When the client, or its site, has as many open as it may; with the time to wait in ms.
    pub fn assign_request(&mut self, now: Time, id: ConnectionId, address: IpAddr) -> Result<(), f64> {
        let client = self.networks.client(address);
        self.within_caps(now, client, false).map_err(|(_, wait)| wait)?;
        self.alight(now, id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.rider = Some(client);
            self.entered(now, client, false);
        }
        Ok(())
    }

    fn alight(&mut self, now: Time, id: ConnectionId) {
        if let Some(client) = self.connections.get_mut(&id).and_then(|c| c.rider.take()) {
            self.left(now, client);
        }
    }

    /// A client has one less open.
    fn left(&mut self, now: Time, client: Client) {
        self.clients.on_close(client, now);
        if let Some(site) = self.networks.site(client) {
            self.sites.on_close(site, now);
        }
        self.holds_less(client);
    }

    /// Its rank among those who would make room follows what it holds.
    fn holds_less(&mut self, client: Client) {
        if let Some(person) = self.people.get(&client) {
            self.order.update(client, person.class, self.load(client));
        }
    }

    /// An answer was given. `share` is what a served request is worth, as a share of the worthiest class's; none for all
    /// that was not served.
    pub fn on_response(&mut self, now: Time, id: ConnectionId, share: Option<f64>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.answered = true;
        let whose = connection.rider.or(connection
            .client
            .filter(|_| connection.carrier.is_none_or(|(_, proxy)| proxy.header == Header::ProxyProtocol)));
        if let (Some(client), Some(share)) = (whose, share) {
            self.standings.served(client, share, now);
            self.reclass(client, self.standings.class(client, now));
        }
        self.alight(now, id);
        self.idle(now, id, true);
    }

    /// It is idle from now on; if only a request began, one that was never answered has been so all the time.
    fn idle(&mut self, now: Time, id: ConnectionId, after_answer: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (State::Admitted { idle }, Some(client)) = (connection.state, connection.client) else { return };
        if !after_answer && !connection.answered {
            return;
        }
        let new = IdleConnection { since: now, id, answered: true };
        connection.state = State::Admitted { idle: Some(new) };
        if let Some(old) = idle {
            self.order.remove(client, old);
        }
        let class = self.people.get(&client).map_or(ClientClass::Unknown, |p| p.class);
        let load = self.load(client);
        self.order.insert(client, class, load, new);
    }

    /// A connection is closed, whoever closed it.
    pub fn on_close(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Action>) {
        self.alight(now, id);
        let Some(connection) = self.connections.remove(&id) else { return };
        let Connection { state, client, carrier, counted, .. } = connection;
        self.tally(state).into_iter().for_each(|count| *count -= 1);
        match state {
            State::Unnamed | State::Refused { .. } => {}
            State::Held { .. } => self.lines.iter_mut().for_each(|line| line.retain(|held| *held != id)),
            State::Admitted { .. } | State::Leaving => {
                if let (State::Admitted { idle: Some(idle) }, Some(client)) = (state, client) {
                    self.order.remove(client, idle);
                }
                if let Some(person) = client.and_then(|c| self.people.get_mut(&c)) {
                    self.open[person.class as usize] -= 1;
                    person.admitted -= 1;
                    if person.admitted == 0
                        && let Some(client) = client
                    {
                        self.people.remove(&client);
                        self.order.remove_client(client);
                    }
                }
            }
        }
        if let Some((carrier, _)) = carrier {
            self.carriers.on_close(carrier, now);
            self.holds_less(carrier);
        }
        if let Some(client) = client.filter(|_| counted) {
            self.left(now, client);
        }
        self.fill(now, out);
    }

    /// Admits those who wait, as far as there is room: known clients and others by turns.
    fn fill(&mut self, now: Time, out: &mut Vec<Action>) {
        loop {
            let fronts = [ClientClass::Unknown, ClientClass::Known].map(|line| {
                let id = *self.lines[line as usize].front()?;
                // Its client may have become known, or not any more, while it waited.
                let client = self.connections.get(&id).and_then(|c| c.client);
                let class = client.and_then(|c| self.people.get(&c)).map_or(line, |person| person.class);
                self.has_room(class, now).then_some((line, id, class))
            });
            let next = match fronts {
                [None, None] => return,
                [Some(stranger), None] => stranger,
                [None, Some(known)] => known,
                [Some(stranger), Some(known)] => {
                    self.turn += self.turns;
                    if self.turn >= 1.0 {
                        self.turn -= 1.0;
                        known
                    } else {
                        stranger
                    }
                }
            };
            let (line, id, class) = next;
            self.lines[line as usize].pop_front();
            self.counts.queued += 1;
            self.admit(now, id, class, out);
        }
    }

    /// When [`Self::on_timer`] is to be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.lines.iter().filter_map(|line| self.until(*line.front()?)).min()
    }

    fn until(&self, id: ConnectionId) -> Option<Time> {
        match self.connections.get(&id)?.state {
            State::Held { until } => Some(until),
            _ => None,
        }
    }

    /// Time has passed: those who waited long enough are refused.
    pub fn on_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        // Capacity may have come back by itself.
        self.fill(now, out);
        for class in [ClientClass::Unknown, ClientClass::Known] {
            while let Some(id) = self.lines[class as usize].front().copied() {
                if self.until(id).is_some_and(|until| until > now) {
                    break;
                }
                self.lines[class as usize].pop_front();
                self.refuse(now, id, RejectReason::QueueTimeout, self.retry_after, out);
            }
        }
    }

    /// There was no descriptor for a connection, of a client's or to a backend: something outside the budget took them. The
    /// room shrinks for a while, and one idle connection is asked to leave.
    pub fn on_descriptor_shortage(&mut self, now: Time, out: &mut Vec<Action>) {
        self.counts.exhausted += 1;
        let room = self.total() - self.total() / PINCH;
        self.pinched = Some((room.clamp(1, self.room.clients), now));
        let victim = [ClientClass::Unknown, ClientClass::Known]
            .iter()
            .find_map(|c| self.order.next_victim(&[*c], now, self.newcomer));
        if let Some(victim) = victim {
            self.evict(victim, out);
        }
    }
}
