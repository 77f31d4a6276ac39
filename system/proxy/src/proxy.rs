//! The proxy's host: joins news, lease cache, services and clients.

use crate::frontend::Front;
use crate::metrics::{self, Metrics};
use crate::peer_sync;
use crate::request_trace::Trail;
use crate::routing_state::{ProxyLocation, RoutingState, UPDATE_INTERVAL};
use crate::service_engines::Services;
use crate::session;
use fennelscale_admission::budget::Budget;
use fennelscale_config::Tenant;
use fennelscale_dataplane::front::door::Door;
use fennelscale_fault_injection::{Caller, Desk, FAILURE, Sums, Verdict};
use fennelscale_host::link::Writer;
use fennelscale_host::start::{self, Signals};
use fennelscale_host::{call, spawn};
use fennelscale_maintenance::clock::TimeInterval;
use fennelscale_messages::Host;
use fennelscale_messages::session::{
    ProxyInfo, ProxyMessage, ProxyToRegistry, RegistryInfo, RegistryToProxy,
};
use fennelscale_node_settings::{Port, Settings};
use fennelscale_quota_lease::{Admission, Cache, Comer, Terms, Timely};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Time passes for the lease cache this often.
const TICK: Duration = Duration::from_millis(40);
/// Sends that are out of the ordinary are logged this often, while there are any.
const REPORT: Duration = Duration::from_secs(1);
/// What was counted of failure orders is told this often, in ms.
const TELL: f64 = 1000.0;
/// Descriptors for all but clients and backends: sessions, readiness, logs.
const OTHERS: usize = 280;

/// What was counted of one failure order, as it is told.
type Count = (String, [u64; 3], [[u64; 3]; 2]);

/// What sessions have brought of items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyFigures {
    /// Copies of all items.
    pub whole: u64,
    /// Entries that came, and those of them that were news.
    pub entries: u64,
    pub news: u64,
    /// Times that the registry asked for what is held, part by part.
    pub compared: u64,
}

/// The proxy.
pub struct Proxy {
    pub settings: Settings,
    pub host: Host,
    life: u64,
    pub held: RefCell<RoutingState>,
    pub services: Services,
    cache: RefCell<Cache>,
    /// Which tries come too late for their aim.
    pub timely: RefCell<Timely>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Admission>>>,
    next: Cell<u64>,
    session: RefCell<Option<Writer>>,
    registries: RefCell<Vec<RegistryInfo>>,
    /// When the core's majority last stood behind what this proxy was told, by its own clock.
    contact: Cell<Option<f64>>,
    /// What sessions have brought of items.
    copies: Cell<CopyFigures>,
    /// Control addresses by the settings as they were read last.
    seeds: RefCell<Vec<SocketAddr>>,
    /// Drained nodes where nothing is at work, as the registry was told.
    quiet: RefCell<Vec<String>>,
    door: RefCell<Option<Rc<Door>>>,
    /// Failure orders, and what was told of them.
    pub desk: RefCell<Desk>,
    tell_at: Cell<f64>,
    leaving: Cell<bool>,
    ended: Cell<bool>,
    /// What became of the last requests.
    pub trail: Rc<RefCell<Trail>>,
    born: Instant,
}

/// Runs the proxy until it is told to end. Its own figures are told at `metrics_port`, if one is given.
///
/// # Errors
/// When a setting that proxies need is missing or an address cannot be listened at.
pub async fn run(settings: Settings, mut signals: Signals, metrics_port: Option<u16>) -> miette::Result<()> {
    let missing = |field: &str| {
        miette::miette!(help = "the proxy runs on machines that have it", "settings field {field} is missing")
    };
    let host = Host::from_ip(settings.ip).ok_or_else(|| missing("ipAddress (IPv4)"))?;
    let frontend = settings.listen.frontend.ok_or_else(|| missing("listenAddresses.frontend"))?;
    let readiness = settings.listen.readiness.ok_or_else(|| missing("listenAddresses.readiness"))?;
    let clients = start::listen(frontend).await?;
    let readiness = start::listen(readiness).await?;
    let besides = start::listen(settings.own(Port::Courier)).await?;
    let scrapes = match metrics_port {
        Some(port) => Some(start::listen(SocketAddr::new(settings.ip, port)).await?),
        None => None,
    };
    let budget = Budget::divide(settings.limits.descriptors.saturating_sub(OTHERS), 0, 0, 0);
    let place = ProxyLocation {
        host,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        zone_regions: settings.zones.clone(),
        max_list_age: settings.cloud.lag.as_secs_f64() * 1000.0,
    };
    let life = start::life();
    let retry = (settings.bounds.retry_ratio, settings.bounds.retry_slack);
    let (trail, born) = (Rc::<RefCell<Trail>>::default(), Instant::now());
    let services = Services::new(&settings.zone, budget.backends, retry, life, trail.clone(), born);
    let grace = settings.bounds.grace;
    let desk = Desk::new(settings.failures.clone(), fennelscale_fault_injection::proxy(host, life));
    let proxy = Rc::new(Proxy {
        seeds: RefCell::new(settings.seeds.clone()),
        settings,
        host,
        life,
        held: RefCell::new(RoutingState::new(place)),
        services,
        cache: RefCell::new(Cache::new(0.0, life)),
        timely: RefCell::default(),
        waiting: RefCell::default(),
        next: Cell::new(0),
        session: RefCell::default(),
        registries: RefCell::default(),
        contact: Cell::default(),
        copies: Cell::default(),
        quiet: RefCell::default(),
        door: RefCell::default(),
        desk: RefCell::new(desk),
        tell_at: Cell::new(0.0),
        leaving: Cell::new(false),
        ended: Cell::new(false),
        trail,
        born,
    });
    spawn(session::keep(proxy.clone()));
    peer_sync::run(proxy.clone(), besides);
    let of = proxy.clone();
    call::listen(readiness, move |asked| {
        let ready = of.is_ready();
        async move { crate::frontend::readiness(&asked, ready) }
    });
    if let Some(listener) = scrapes {
        let (of, metrics) = (proxy.clone(), Rc::new(Metrics::default()));
        call::listen(listener, move |asked| {
            let answer = metrics::answer(&asked, || metrics.render(&of));
            async move { answer }
        });
    }
    let ticking = proxy.clone();
    spawn(async move {
        let (mut updated, mut reported) = (Instant::now(), Instant::now());
        let update = Duration::from_secs_f64(UPDATE_INTERVAL / 1000.0);
        loop {
            sleep(TICK).await;
            ticking.tick();
            ticking.keep_hours();
            ticking.tell_met();
            if reported.elapsed() >= REPORT {
                reported = Instant::now();
                ticking.services.report_unusual_sends();
            }
            if updated.elapsed() >= update && ticking.held.borrow().needs_update(ticking.now()) {
                updated = Instant::now();
                ticking.update();
            }
        }
    });
    let of = proxy.clone();
    spawn(async move {
        while signals.hangup.recv().await.is_some() {
            if let Some(settings) = start::again() {
                tracing::info!(event = "settings-read", seeds = settings.seeds.len());
                *of.seeds.borrow_mut() = settings.seeds;
            }
        }
    });
    let front = Front::new(proxy.clone(), budget);
    let end = async move {
        signals.terminate.recv().await;
    };
    front.serve(clients, end, grace).await;
    proxy.hand_back();
    proxy.ended.set(true);
    sleep(Duration::from_millis(50)).await;
    Ok(())
}

impl Proxy {
    pub fn now(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1000.0
    }

    pub fn is_ready(&self) -> bool {
        let held = self.held.borrow();
        !self.leaving.get() && held.is_ready() && !held.is_drained()
    }

    /// Whether clients are to go elsewhere: it ends, or a work order has drained it.
    pub fn sends_away(&self) -> bool {
        self.leaving.get() || self.held.borrow().is_drained()
    }

    /// The front side's door, to see whether clients are connected.
    pub fn has_door(&self, door: Rc<Door>) {
        *self.door.borrow_mut() = Some(door);
    }

    /// What becomes of a request by failure orders: nearly all are not named.
    pub fn meet(&self, caller: &Caller<'_>) -> Verdict {
        let (now, held) = (self.now(), self.held.borrow());
        let verdict = self.desk.borrow_mut().meet(now, held.true_time(now), caller);
        if let Verdict::Met(met) = &verdict {
            let what = met.what.name();
            tracing::info!(event = "failure-injected", order = met.order, what, request = caller.id);
        }
        verdict
    }

    /// A request that no failure order names has ended.
    pub fn unnamed(&self, status: u16) {
        if !self.desk.borrow().is_empty() {
            self.desk.borrow_mut().ended(self.held.borrow().true_time(self.now()), status);
        }
    }

    /// Registries hear what was counted of failure orders, now and then.
    fn tell_met(&self) {
        if self.desk.borrow().is_empty() || self.now() < self.tell_at.get() {
            return;
        }
        self.tell_at.set(self.now() + TELL);
        let sums = |s: Sums| [s.served, s.refused, s.failed];
        let counts = self.desk.borrow().counts().into_iter();
        let counts: Vec<Count> =
            counts.map(|(order, c, o)| (order, [c.named, c.failed, c.over], o.map(sums))).collect();
        // Also unchanged: another registry may have the session by now.
        self.send(&ProxyToRegistry::FailureCounts(counts));
    }

    /// Drained nodes where this proxy has nothing at work.
    fn quiet(&self) -> Vec<String> {
        let held = self.held.borrow();
        if held.drained_nodes().is_empty() {
            return Vec::new();
        }
        let clients = self.door.borrow().as_ref().is_some_and(|door| !door.is_empty());
        held.idle_nodes(&self.services.working(), clients)
    }

    /// Drains begin and end; registries hear where nothing is at work any more.
    fn keep_hours(&self) {
        let (was, settled) = {
            let mut held = self.held.borrow_mut();
            if held.table.drains.is_empty()
                && held.drained_nodes().is_empty()
                && self.quiet.borrow().is_empty()
            {
                return;
            }
            (held.is_drained(), held.update_drains(self.now()))
        };
        if settled {
            tracing::info!(event = "drains", out = ?self.held.borrow().drained_nodes());
            self.update();
        }
        let quiet = self.quiet();
        if *self.quiet.borrow() != quiet {
            self.quiet.borrow_mut().clone_from(&quiet);
            self.send(&ProxyToRegistry::IdleNodes(quiet));
        }
        if was != self.held.borrow().is_drained() {
            self.send(&self.beat());
        }
    }

    /// Clients are to go elsewhere from now on.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.send(&self.beat());
    }

    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// This proxy, as others know it.
    pub fn member(&self) -> ProxyInfo {
        ProxyInfo {
            host: self.host,
            incarnation: self.life,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            port: self.settings.listen.frontend.map_or(0, |at| at.port()),
            ready: self.is_ready(),
            idle_nodes: self.quiet.borrow().clone(),
        }
    }

    /// When the core's majority last stood behind what this proxy was told.
    pub fn contact(&self, contact: Option<f64>) {
        self.contact.set(contact);
    }

    /// How long ago that was, in ms; none before a session's first beat.
    pub fn contact_age(&self) -> Option<f64> {
        self.contact.get().map(|at| self.now() - at)
    }

    /// What sessions have brought of items.
    pub fn copies(&self) -> CopyFigures {
        self.copies.get()
    }

    fn count_items(&self, whole: bool, entries: usize, news: usize) {
        let known = self.copies.get();
        self.copies.set(CopyFigures {
            whole: known.whole + u64::from(whole),
            entries: known.entries + entries as u64,
            news: known.news + news as u64,
            ..known
        });
    }

    /// Tells what is held, part by part: the registry found a difference.
    fn tell_parts(&self) {
        let known = self.copies.get();
        self.copies.set(CopyFigures { compared: known.compared + 1, ..known });
        self.send(&ProxyToRegistry::Digest(self.held.borrow().digest()));
    }

    /// The first word of a session: one that holds a copy is sent only what it lacks.
    pub fn greeting(&self) -> ProxyToRegistry {
        let held = self.held.borrow();
        if held.items_hash() == 0 {
            drop(held);
            return ProxyToRegistry::Hello(self.member());
        }
        let parts = held.digest();
        drop(held);
        ProxyToRegistry::Resume(self.member(), parts)
    }

    pub fn beat(&self) -> ProxyToRegistry {
        let held = self.held.borrow();
        let (items, listing) = (held.items_hash(), held.backend_list.stamp);
        ProxyToRegistry::Heartbeat {
            ready: self.is_ready(),
            items_hash: items,
            list_stamp: listing,
            self_granted: self.cache.borrow().alone(self.now()),
        }
    }

    fn far(&self, zone: &str, region: &str) -> u8 {
        if zone == self.settings.zone {
            0
        } else if region == self.settings.region {
            1
        } else {
            2
        }
    }

    /// Whether a registry nearer than this one is known, besides those that are not thought of now. One that this one does not hear
    /// is cut off, or gone: it has nothing newer to tell.
    pub fn nearer(&self, than: Host, besides: impl Fn(Host) -> bool) -> bool {
        let known = self.registries.borrow();
        let far = |place: &RegistryInfo| self.far(&place.zone, &place.region);
        // One that is not on the list may be anywhere.
        let own = known.iter().find(|place| place.host == than).map_or(3, far);
        known.iter().any(|place| place.reachable && far(place) < own && !besides(place.host))
    }

    /// Registries to have a session with, the nearest first.
    pub fn registries(&self) -> Vec<Host> {
        let known = self.registries.borrow();
        let mut all: Vec<(u8, u64, Host)> = known
            .iter()
            .map(|place| {
                let far = self.far(&place.zone, &place.region);
                // Proxies of a region do not all go to the same one.
                (far, fennelscale_messages::mix(u64::from(place.host.0) ^ self.life), place.host)
            })
            .collect();
        all.sort_unstable();
        let mut hosts: Vec<Host> = all.into_iter().map(|(.., host)| host).collect();
        for seed in self.seeds.borrow().iter().filter_map(|seed| Host::from_ip(seed.ip())) {
            if !hosts.contains(&seed) {
                hosts.push(seed);
            }
        }
        hosts
    }

    pub fn has_session(&self) -> bool {
        self.session.borrow().is_some()
    }

    /// Other proxies, those of this region first.
    pub fn others(&self) -> Vec<Host> {
        let held = self.held.borrow();
        let mut others: Vec<(bool, Host)> = held
            .proxies
            .iter()
            .filter(|m| m.host != self.host)
            .map(|m| (m.region != self.settings.region, m.host))
            .collect();
        others.sort_unstable();
        others.into_iter().map(|(_, host)| host).collect()
    }

    pub fn have(&self) -> ProxyMessage {
        let held = self.held.borrow();
        ProxyMessage::Digest { items: held.digest(), list_stamp: held.backend_list.stamp }
    }

    pub fn news_for(&self, items: &[u64], listing: (u64, Host)) -> ProxyMessage {
        let held = self.held.borrow();
        let newer = (held.backend_list.stamp > listing).then(|| held.backend_list.clone());
        let members = (held.proxies.clone(), held.known_proxy_count());
        ProxyMessage::Update {
            entries: held.entries_in_differing_parts(items),
            backend_list: newer,
            proxies: members,
        }
    }

    pub fn session(&self, writer: Option<Writer>) {
        *self.session.borrow_mut() = writer;
    }

    fn send(&self, up: &ProxyToRegistry) {
        if let Some(session) = self.session.borrow().as_ref() {
            session.send(up);
        }
    }

    /// News from the registry.
    pub fn news(&self, word: RegistryToProxy) {
        match word {
            RegistryToProxy::Items { complete: whole, up_to_date: fresh, entries } => {
                let (now, count) = (self.now(), entries.len());
                let (news, was) = {
                    let mut held = self.held.borrow_mut();
                    let was = held.is_ready();
                    let news = held.merge(now, entries);
                    held.up_to_date |= fresh;
                    (news, was)
                };
                self.count_items(whole, count, news.len());
                if news.iter().any(|name| name.starts_with(FAILURE)) {
                    self.desk.borrow_mut().set(self.held.borrow().table.failure_orders.values());
                }
                self.drop_limits(&news);
                if !news.is_empty() {
                    tracing::debug!(event = "items", whole, news = news.len());
                    self.update();
                }
                self.tell_ready(was);
            }
            RegistryToProxy::BackendList(listing) => {
                let was = self.held.borrow().is_ready();
                let now = self.now();
                if self.held.borrow_mut().set_backend_list(now, listing) {
                    self.update();
                }
                self.tell_ready(was);
            }
            RegistryToProxy::Proxies(members, gateways) => {
                {
                    let mut held = self.held.borrow_mut();
                    held.set_proxies(self.now(), members, gateways);
                    self.cache.borrow_mut().gateways(held.proxy_count);
                }
                self.update();
            }
            RegistryToProxy::Registries(registries) => *self.registries.borrow_mut() = registries,
            RegistryToProxy::Grant(grant) => {
                let (mut out, mut told) = (Vec::new(), Vec::new());
                self.cache.borrow_mut().grant(self.now(), grant, &mut out, &mut told);
                self.carry_out(out, told);
            }
            RegistryToProxy::Time(earliest, latest) => {
                self.held.borrow_mut().set_true_time(self.now(), TimeInterval { earliest, latest });
            }
            RegistryToProxy::LookUpRequest(question, id) => {
                let known = self.trail.borrow().recall(self.now(), id);
                self.send(&ProxyToRegistry::RequestRecord(question, known));
            }
            RegistryToProxy::RequestDigest => self.tell_parts(),
            RegistryToProxy::Heartbeat { .. } => {}
        }
    }

    /// Limits that were dropped or changed to none.
    fn drop_limits(&self, news: &[String]) {
        let mut told = Vec::new();
        for tenant in news.iter().filter_map(|name| name.strip_prefix("t:")) {
            let limited = self.held.borrow().table.tenant_by_name(tenant).is_some_and(|t| t.rate_per_s > 0.0);
            if !limited {
                self.cache.borrow_mut().forget(tenant, &mut told);
            }
        }
        self.carry_out(Vec::new(), told);
    }

    fn tell_ready(&self, was: bool) {
        if !was && self.is_ready() {
            tracing::info!(event = "ready");
            self.send(&self.beat());
        }
    }

    fn update(&self) {
        self.services.tell(self.now(), &mut self.held.borrow_mut());
    }

    fn tick(&self) {
        let (mut out, mut told) = (Vec::new(), Vec::new());
        self.cache.borrow_mut().tick(self.now(), &mut out, &mut told);
        self.carry_out(out, told);
    }

    fn carry_out(&self, out: Vec<ProxyToRegistry>, told: Vec<(u64, Admission)>) {
        out.iter().for_each(|up| self.send(up));
        for (request, admission) in told {
            if let Some(answer) = self.waiting.borrow_mut().remove(&request) {
                let _ = answer.send(admission);
            }
        }
    }

    /// Takes a unit of a tenant's lease, waiting for a block no longer than `wait`. How long the client should stay away
    /// where there is none. One that is `late` for its aim goes last while units are scarce.
    pub async fn admit(&self, tenant: &Tenant, wait: Duration, late: bool) -> Result<(), f64> {
        let terms = Terms { rate: tenant.rate_per_s, burst: tenant.burst };
        if terms.rate <= 0.0 {
            return Ok(());
        }
        let (now, request) = (self.now(), self.next.get());
        self.next.set(request + 1);
        let mut out = Vec::new();
        let until = now + wait.as_secs_f64() * 1000.0;
        let comer = Comer { request, until, late };
        let admission = self.cache.borrow_mut().admit(now, &tenant.name, terms, comer, &mut out);
        let receiver = (admission == Admission::Waits).then(|| {
            let (sender, receiver) = oneshot::channel();
            self.waiting.borrow_mut().insert(request, sender);
            receiver
        });
        self.carry_out(out, Vec::new());
        let admission = match receiver {
            // Dropped with its request when the client leaves; the unit is then lost to this window.
            Some(receiver) => receiver.await.unwrap_or(Admission::Refused(0.0)),
            None => admission,
        };
        match admission {
            Admission::Taken => Ok(()),
            Admission::Refused(wait) => Err(wait),
            Admission::Waits => Err(0.0),
        }
    }

    fn hand_back(&self) {
        let mut out = Vec::new();
        self.cache.borrow_mut().hand_back(self.now(), &mut out);
        self.carry_out(out, Vec::new());
    }
}
