//! The proxy process: connects the routing state, the lease cache, the service engines, the session and the
//! clients.

mod failure_orders;
mod quota;

use crate::frontend::Frontend;
use crate::memory_limits::MemoryLimits;
use crate::metrics::{self, Metrics};
use crate::peer_sync;
use crate::request_trace::RequestTrace;
use crate::routing_state::{ProxyLocation, RoutingState, UPDATE_INTERVAL};
use crate::service_engines::ServiceEngines;
use crate::session;
use crate::session_counts::{SessionCounts, TaskDelay};
use fennelscale_admission::budget::Budget;
use fennelscale_config::LIMITS_KEY;
use fennelscale_dataplane::front::acceptor::Acceptor;
use fennelscale_fault_injection::{FaultInjector, ORDER_PREFIX};
use fennelscale_host::link::Writer;
use fennelscale_host::start::{self, Signals};
use fennelscale_host::{call, spawn};
use fennelscale_maintenance::clock::TimeInterval;
use fennelscale_memory::ledger::MemoryLedger;
use fennelscale_messages::Host;
use fennelscale_messages::session::{
    ProxyInfo, ProxyMessage, ProxyToRegistry, RegistryInfo, RegistryToProxy,
};
use fennelscale_node_settings::{Port, Settings};
use fennelscale_quota_lease::{Admission, LatenessDetector, LeaseCache};
use fennelscale_time::from_millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Interval at which the lease cache advances its time.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which unusual sends are logged, while there are any.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// After the last client has left, the session has this long to end with a message.
const END_SESSION_TIME: Duration = Duration::from_millis(50);
/// File descriptors reserved for everything but clients and backends: sessions, readiness checks, logs.
const RESERVED_DESCRIPTORS: usize = 280;

/// Counts of the items that sessions have delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemCounts {
    /// Complete copies of all items.
    pub complete: u64,
    /// Entries received.
    pub entries: u64,
    /// Entries received that were newer than the known ones.
    pub changed: u64,
    /// Requests of the registry for the digest of the items.
    pub compared: u64,
}

/// The state of the proxy process.
pub struct Proxy {
    pub settings: Settings,
    pub host: Host,
    incarnation: u64,
    pub routing_state: RefCell<RoutingState>,
    pub services: ServiceEngines,
    /// What is held for callers.
    pub memory: Arc<MemoryLedger>,
    cache: RefCell<LeaseCache>,
    /// Decides which retries come too late for their target latency.
    pub timely: RefCell<LatenessDetector>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Admission>>>,
    next_request: Cell<u64>,
    session: RefCell<Option<Writer>>,
    registries: RefCell<Vec<RegistryInfo>>,
    /// When a majority of the core last confirmed the state of this proxy, by the local clock.
    last_contact: Cell<Option<f64>>,
    /// Counts of the items that sessions have delivered.
    copies: Cell<ItemCounts>,
    /// Counts of ended sessions.
    pub session_counts: SessionCounts,
    /// How long the periodic task waits for its turn behind the tasks of requests.
    pub task_delay: TaskDelay,
    /// Control addresses from the settings as read last.
    seeds: RefCell<Vec<SocketAddr>>,
    /// Idle drained nodes, as last sent to the registry.
    idle_nodes: RefCell<Vec<String>>,
    acceptor: RefCell<Option<Rc<Acceptor>>>,
    /// Failure orders and their counts.
    pub failure_orders: RefCell<FaultInjector>,
    next_count_at: Cell<f64>,
    leaving: Cell<bool>,
    ended: Cell<bool>,
    /// The trace of the most recent requests.
    pub trace: Rc<RefCell<RequestTrace>>,
    started_at: Instant,
}

/// Runs the proxy until it is terminated. Serves its metrics at `metrics_port`, if one is given.
///
/// # Errors
/// If a required setting is missing, or if an address cannot be bound.
pub async fn run(settings: Settings, mut signals: Signals, metrics_port: Option<u16>) -> miette::Result<()> {
    let missing = |field: &str| {
        miette::miette!(help = "the proxy runs on machines that have it", "settings field {field} is missing")
    };
    let host = Host::from_ip(settings.ip).ok_or_else(|| missing("ipAddress (IPv4)"))?;
    let frontend = settings.listen.frontend.ok_or_else(|| missing("listenAddresses.frontend"))?;
    let readiness = settings.listen.readiness.ok_or_else(|| missing("listenAddresses.readiness"))?;
    let clients = start::listen(frontend).await?;
    let readiness = start::listen(readiness).await?;
    let peers = start::listen(settings.own_address(Port::Proxies)).await?;
    let metrics_listener = match metrics_port {
        Some(port) => Some(start::listen(SocketAddr::new(settings.ip, port)).await?),
        None => None,
    };
    let memory_limits = MemoryLimits::divide(settings.limits.memory);
    let memory = MemoryLedger::new(memory_limits.pools);
    let budget = Budget::divide(settings.limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS), 0, 0, 0);
    let budget = memory_limits.restrict(budget);
    let location = ProxyLocation {
        host,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        zone_regions: settings.zones.clone(),
        max_list_age: settings.cloud_api.max_lag.as_secs_f64() * 1000.0,
    };
    let incarnation = start::random_incarnation();
    let retry = (settings.bounds.retry_ratio, settings.bounds.retry_slack);
    let (trace, started_at) = (Rc::<RefCell<RequestTrace>>::default(), Instant::now());
    let services = ServiceEngines::new(
        &settings.zone,
        budget.backends,
        retry,
        incarnation,
        trace.clone(),
        started_at,
        memory.clone(),
    );
    let grace = settings.bounds.grace;
    let failure_orders = FaultInjector::new(
        settings.failure_limits.clone(),
        fennelscale_fault_injection::proxy_id(host, incarnation),
    );
    let proxy = Rc::new(Proxy {
        seeds: RefCell::new(settings.seeds.clone()),
        settings,
        host,
        incarnation,
        routing_state: RefCell::new(RoutingState::new(location)),
        services,
        memory,
        cache: RefCell::new(LeaseCache::new(0.0, incarnation)),
        timely: RefCell::default(),
        waiting: RefCell::default(),
        next_request: Cell::new(0),
        session: RefCell::default(),
        registries: RefCell::default(),
        last_contact: Cell::default(),
        copies: Cell::default(),
        session_counts: SessionCounts::default(),
        task_delay: TaskDelay::default(),
        idle_nodes: RefCell::default(),
        acceptor: RefCell::default(),
        failure_orders: RefCell::new(failure_orders),
        next_count_at: Cell::new(0.0),
        leaving: Cell::new(false),
        ended: Cell::new(false),
        trace,
        started_at,
    });
    peer_sync::run(proxy.clone(), peers);
    let answering = proxy.clone();
    call::listen(readiness, proxy.memory.clone(), move |request| {
        let ready = answering.is_ready();
        async move { crate::frontend::readiness_response(&request, ready) }
    });
    if let Some(listener) = metrics_listener {
        let (scraped, metrics) = (proxy.clone(), Rc::new(Metrics::default()));
        call::listen(listener, proxy.memory.clone(), move |request| {
            let answer = metrics::answer(&request, || metrics.render(&scraped));
            async move { answer }
        });
    }
    let ticking = proxy.clone();
    spawn(async move {
        let (mut updated_at, mut reported_at) = (Instant::now(), Instant::now());
        let update_interval = from_millis(UPDATE_INTERVAL);
        loop {
            let slept_at = Instant::now();
            sleep(TICK_INTERVAL).await;
            ticking.task_delay.record(slept_at.elapsed().saturating_sub(TICK_INTERVAL));
            ticking.tick();
            ticking.update_drains();
            ticking.send_failure_counts();
            if reported_at.elapsed() >= REPORT_INTERVAL {
                reported_at = Instant::now();
                ticking.task_delay.next_period();
                ticking.services.report_unusual_sends();
            }
            if updated_at.elapsed() >= update_interval
                && ticking.routing_state.borrow().needs_update(ticking.now())
            {
                updated_at = Instant::now();
                ticking.update();
            }
        }
    });
    let reloading = proxy.clone();
    spawn(async move {
        while signals.hangup.recv().await.is_some() {
            if let Some(settings) = start::reload_settings() {
                tracing::info!(event = "settings-read", seeds = settings.seeds.len());
                *reloading.seeds.borrow_mut() = settings.seeds;
            }
        }
    });
    let frontend = Frontend::new(proxy.clone(), budget);
    let end = async move {
        signals.terminate.recv().await;
    };
    let serve = async {
        frontend.serve(clients, end, grace).await;
        proxy.return_units();
        proxy.ended.set(true);
        sleep(END_SESSION_TIME).await;
    };
    // Part of the main future, which is polled between batches of spawned tasks.
    tokio::select! {
        biased;
        () = session::run(proxy.clone()) => {}
        () = serve => {}
    }
    Ok(())
}

impl Proxy {
    /// Milliseconds since the start of the process.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Whether clients may be sent to this proxy.
    pub fn is_ready(&self) -> bool {
        let state = self.routing_state.borrow();
        !self.leaving.get() && state.is_ready() && !state.is_drained()
    }

    /// Whether answers must close their connections so that clients go elsewhere: this proxy is shutting down
    /// or drained.
    pub fn must_close_connections(&self) -> bool {
        self.leaving.get() || self.routing_state.borrow().is_drained()
    }

    /// Sets the acceptor of client connections, which tells whether clients are connected.
    pub fn set_acceptor(&self, acceptor: Rc<Acceptor>) {
        *self.acceptor.borrow_mut() = Some(acceptor);
    }

    /// Drained nodes on which this proxy has no work in progress.
    fn idle_nodes(&self) -> Vec<String> {
        let state = self.routing_state.borrow();
        if state.drained_nodes().is_empty() {
            return Vec::new();
        }
        let has_clients = self.acceptor.borrow().as_ref().is_some_and(|acceptor| !acceptor.is_empty());
        state.idle_nodes(&self.services.busy_backends(), has_clients)
    }

    /// Updates the drains to the current time, and sends changes of the idle nodes and the readiness to the
    /// registry.
    fn update_drains(&self) {
        let (was_drained, changed) = {
            let mut state = self.routing_state.borrow_mut();
            if state.table.drains.is_empty()
                && state.drained_nodes().is_empty()
                && self.idle_nodes.borrow().is_empty()
            {
                return;
            }
            (state.is_drained(), state.update_drains(self.now()))
        };
        if changed {
            tracing::info!(event = "drains", out = ?self.routing_state.borrow().drained_nodes());
            self.update();
        }
        let idle_nodes = self.idle_nodes();
        if *self.idle_nodes.borrow() != idle_nodes {
            self.idle_nodes.borrow_mut().clone_from(&idle_nodes);
            self.send(&ProxyToRegistry::IdleNodes(idle_nodes));
        }
        if was_drained != self.routing_state.borrow().is_drained() {
            self.send(&self.heartbeat());
        }
    }

    /// Starts the shutdown: clients are sent elsewhere from now on.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.send(&self.heartbeat());
    }

    /// Whether the shutdown is complete.
    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// The description of this proxy that others receive.
    pub fn info(&self) -> ProxyInfo {
        ProxyInfo {
            host: self.host,
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            port: self.settings.listen.frontend.map_or(0, |at| at.port()),
            ready: self.is_ready(),
            idle_nodes: self.idle_nodes.borrow().clone(),
        }
    }

    /// Sets when a majority of the core last confirmed the state of this proxy.
    pub fn set_last_contact(&self, contact: Option<f64>) {
        self.last_contact.set(contact);
    }

    /// Time in ms since a majority last confirmed the state; none before the first heartbeat of a session.
    pub fn contact_age(&self) -> Option<f64> {
        self.last_contact.get().map(|at| self.now() - at)
    }

    /// Counts of the items that sessions have delivered.
    pub fn copies(&self) -> ItemCounts {
        self.copies.get()
    }

    fn count_items(&self, complete: bool, entries: usize, changed: usize) {
        let known = self.copies.get();
        self.copies.set(ItemCounts {
            complete: known.complete + u64::from(complete),
            entries: known.entries + entries as u64,
            changed: known.changed + changed as u64,
            ..known
        });
    }

    /// Sends the digest of the items, for which the registry asked because it found a difference.
    fn send_digest(&self) {
        let known = self.copies.get();
        self.copies.set(ItemCounts { compared: known.compared + 1, ..known });
        self.send(&ProxyToRegistry::Digest(self.routing_state.borrow().digest()));
    }

    /// The first message of a session: a proxy that has a copy of the items is sent only what it lacks.
    pub fn first_message(&self) -> ProxyToRegistry {
        let state = self.routing_state.borrow();
        if state.items_hash() == 0 {
            drop(state);
            return ProxyToRegistry::Hello(self.info());
        }
        let digest = state.digest();
        drop(state);
        ProxyToRegistry::Resume(self.info(), digest)
    }

    /// The heartbeat of a session.
    pub fn heartbeat(&self) -> ProxyToRegistry {
        let state = self.routing_state.borrow();
        let (items_hash, list_stamp) = (state.items_hash(), state.backend_list.stamp);
        ProxyToRegistry::Heartbeat {
            ready: self.is_ready(),
            items_hash,
            list_stamp,
            self_granted: self.cache.borrow().self_granted_shards(self.now()),
        }
    }

    fn distance(&self, zone: &str, region: &str) -> u8 {
        if zone == self.settings.zone {
            0
        } else if region == self.settings.region {
            1
        } else {
            2
        }
    }

    /// Whether a registry nearer than `current` is known and not `excluded`. A registry that the current one
    /// cannot reach is cut off or gone, and has nothing newer.
    pub fn has_nearer_registry(&self, current: Host, excluded: impl Fn(Host) -> bool) -> bool {
        let known = self.registries.borrow();
        let distance = |registry: &RegistryInfo| self.distance(&registry.zone, &registry.region);
        // A registry that is not on the list may be anywhere.
        let current_distance = known.iter().find(|registry| registry.host == current).map_or(3, distance);
        known.iter().any(|registry| {
            registry.reachable && distance(registry) < current_distance && !excluded(registry.host)
        })
    }

    /// Candidate registries for a session, the nearest first.
    pub fn registries(&self) -> Vec<Host> {
        let known = self.registries.borrow();
        let mut all: Vec<(u8, u64, Host)> = known
            .iter()
            .map(|registry| {
                let distance = self.distance(&registry.zone, &registry.region);
                // Spreads the proxies of a region over its registries.
                (
                    distance,
                    fennelscale_messages::mix(u64::from(registry.host.0) ^ self.incarnation),
                    registry.host,
                )
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

    /// Whether there is a session with a registry.
    pub fn has_session(&self) -> bool {
        self.session.borrow().is_some()
    }

    /// The other proxies, those of this region first.
    pub fn others(&self) -> Vec<Host> {
        let state = self.routing_state.borrow();
        let mut others: Vec<(bool, Host)> = state
            .proxies
            .iter()
            .filter(|m| m.host != self.host)
            .map(|m| (m.region != self.settings.region, m.host))
            .collect();
        others.sort_unstable();
        others.into_iter().map(|(_, host)| host).collect()
    }

    /// The digest that another proxy compares with its own.
    pub fn digest(&self) -> ProxyMessage {
        let state = self.routing_state.borrow();
        ProxyMessage::Digest { items: state.digest(), list_stamp: state.backend_list.stamp }
    }

    /// What another proxy lacks, by its digest and the stamp of its backend list.
    pub fn update_for(&self, items: &[u64], list_stamp: (u64, Host)) -> ProxyMessage {
        let state = self.routing_state.borrow();
        let backend_list = (state.backend_list.stamp > list_stamp).then(|| state.backend_list.clone());
        let proxies = (state.proxies.clone(), state.known_proxy_count());
        ProxyMessage::Update { entries: state.entries_in_differing_parts(items), backend_list, proxies }
    }

    /// Sets or clears the session.
    pub fn set_session(&self, writer: Option<Writer>) {
        *self.session.borrow_mut() = writer;
    }

    fn send(&self, message: &ProxyToRegistry) {
        if let Some(session) = self.session.borrow().as_ref() {
            session.send(message);
        }
    }

    /// Handles a message of the registry.
    pub fn receive(&self, message: RegistryToProxy) {
        match message {
            RegistryToProxy::Items { complete, up_to_date, entries } => {
                let (now, count) = (self.now(), entries.len());
                let (changed, was_ready) = {
                    let mut state = self.routing_state.borrow_mut();
                    let was_ready = state.is_ready();
                    let changed = state.merge(now, entries);
                    state.up_to_date |= up_to_date;
                    (changed, was_ready)
                };
                self.count_items(complete, count, changed.len());
                if changed.iter().any(|name| name.starts_with(ORDER_PREFIX)) {
                    self.failure_orders
                        .borrow_mut()
                        .set_orders(self.routing_state.borrow().table.failure_orders.values());
                }
                if changed.iter().any(|name| name == LIMITS_KEY) {
                    self.apply_limits();
                }
                self.forget_removed_limits(&changed);
                if !changed.is_empty() {
                    tracing::debug!(event = "items", whole = complete, news = changed.len());
                    self.update();
                }
                self.announce_if_ready(was_ready);
            }
            RegistryToProxy::BackendList(backend_list) => {
                let was_ready = self.routing_state.borrow().is_ready();
                let now = self.now();
                if self.routing_state.borrow_mut().set_backend_list(now, backend_list) {
                    self.update();
                }
                self.announce_if_ready(was_ready);
            }
            RegistryToProxy::Proxies(proxies, count) => {
                {
                    let mut state = self.routing_state.borrow_mut();
                    state.set_proxies(self.now(), proxies, count);
                    self.cache.borrow_mut().set_proxy_count(state.proxy_count);
                }
                self.update();
            }
            RegistryToProxy::Registries(registries) => *self.registries.borrow_mut() = registries,
            RegistryToProxy::Grant(grant) => {
                let (mut messages, mut admissions) = (Vec::new(), Vec::new());
                self.cache.borrow_mut().on_grant(self.now(), grant, &mut messages, &mut admissions);
                self.apply_cache_output(messages, admissions);
            }
            RegistryToProxy::Time(earliest, latest) => {
                self.routing_state.borrow_mut().set_true_time(self.now(), TimeInterval { earliest, latest });
            }
            RegistryToProxy::LookUpRequest(query, id) => {
                let record = self.trace.borrow().to_json(self.now(), id);
                self.send(&ProxyToRegistry::RequestRecord(query, record));
            }
            RegistryToProxy::RequestDigest => self.send_digest(),
            RegistryToProxy::Heartbeat { .. } => {}
        }
    }

    /// Applies the limits of the configuration to open connections. Sizes are looked up for each request.
    fn apply_limits(&self) {
        let idle_timeout = from_millis(self.routing_state.borrow().table.limits.idle_timeout);
        if let Some(acceptor) = self.acceptor.borrow().as_ref() {
            acceptor.set_idle_timeout(idle_timeout);
        }
    }

    /// Logs and sends that this proxy has become ready, if it has.
    fn announce_if_ready(&self, was_ready: bool) {
        if !was_ready && self.is_ready() {
            tracing::info!(event = "ready");
            self.send(&self.heartbeat());
        }
    }

    fn update(&self) {
        self.services.update(self.now(), &mut self.routing_state.borrow_mut());
    }
}
