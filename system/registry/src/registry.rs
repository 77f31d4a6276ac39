//! The registry process: executes the outputs of the state machine and feeds it with inputs.

use crate::api;
use crate::backend_list;
use fennelscale_host::link::{self, Peers, Reader, Writer, receive, split};
use fennelscale_host::start::Signals;
use fennelscale_host::{call, spawn, start};
use fennelscale_membership::{Output, RegistryState};
use fennelscale_messages::Host;
use fennelscale_messages::feed;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::ProxyToRegistry;
use fennelscale_messages::store::{RegistryToStore, StoreRequest, StoreResponse, StoreToRegistry};
use fennelscale_node_settings::{Port, Settings};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// A store that does not answer a call within this time leaves its outcome unknown.
const STORE_TIMEOUT: Duration = Duration::from_millis(3500);

/// The settings are read again after this many consecutive failures to read the backend list.
const MAX_FAILED_LIST_READS: u32 = 5;

/// The record of a request at each proxy, as JSON.
pub type RequestRecords = Vec<(Host, String)>;

/// The registry process.
pub struct Registry {
    pub settings: RefCell<Rc<Settings>>,
    /// Consecutive failures to read the backend list.
    failed_list_reads: Cell<u32>,
    pub state: RefCell<RegistryState>,
    pub(crate) peers: Peers,
    /// The connection of each proxy, with its number.
    pub(crate) sessions: RefCell<HashMap<Host, (u64, Writer)>>,
    /// The connection of the store on this host, with its number.
    store: RefCell<Option<(u64, Writer)>>,
    /// Calls that wait for the answer of the store.
    pending_calls: RefCell<HashMap<u64, oneshot::Sender<StoreResponse>>>,
    /// Event queries that wait for other registries.
    pub(crate) event_queries: RefCell<HashMap<u64, mpsc::Sender<(Host, feed::EventPage)>>>,
    /// Request queries that wait for proxies and other registries.
    pub(crate) record_queries: RefCell<HashMap<u64, mpsc::Sender<(Host, RequestRecords)>>>,
    /// Queries for saved events that wait for the store.
    pub(crate) saved_event_queries: RefCell<HashMap<u64, oneshot::Sender<Option<feed::EventPage>>>>,
    next_number: Cell<u64>,
    started_at: Instant,
}

/// Runs the registry until it is terminated.
pub async fn run(settings: Settings, mut signals: Signals) -> miette::Result<()> {
    let missing = |field: &str| {
        miette::miette!(
            help = "the registry runs only on hosts whose settings have this field",
            "settings field {field} is missing"
        )
    };
    let host = Host::from_ip(settings.ip).ok_or_else(|| missing("ipAddress (IPv4)"))?;
    let control = settings.listen.control.ok_or_else(|| missing("listenAddresses.controlPlane"))?;
    let directory = settings.listen.directory.ok_or_else(|| missing("listenAddresses.directory"))?;
    let incarnation = start::random_incarnation() >> 1;
    let mut state =
        RegistryState::new(host, incarnation, &settings.zone, &settings.region, settings.bootstrap, 0.0);
    let tolerance = settings.fault_tolerance;
    state.set_deployment(settings.zones.clone(), tolerance.machines, (tolerance.zones, tolerance.regions));
    let peers = Peers::new(host, settings.own_address(Port::Registries).port());
    let registry_listener = start::listen(settings.own_address(Port::Registries)).await?;
    let session_listener = start::listen(settings.own_address(Port::Sessions)).await?;
    let store_listener = start::listen(settings.own_address(Port::RegistryForStore)).await?;
    let (control, directory) = (start::listen(control).await?, start::listen(directory).await?);
    let registry = Rc::new(Registry {
        settings: RefCell::new(Rc::new(settings)),
        failed_list_reads: Cell::new(0),
        state: RefCell::new(state),
        peers,
        sessions: RefCell::default(),
        store: RefCell::default(),
        pending_calls: RefCell::default(),
        event_queries: RefCell::default(),
        record_queries: RefCell::default(),
        saved_event_queries: RefCell::default(),
        next_number: Cell::new(incarnation),
        started_at: Instant::now(),
    });
    let receiver = registry.clone();
    receive(registry_listener, move |from, message: RegistryMessage| {
        receiver.with(|state, now| state.receive_from_registry(now, from, message))
    });
    let server = registry.clone();
    link::accept(store_listener, move |stream| server.clone().serve_store(stream));
    let server = registry.clone();
    link::accept(session_listener, move |stream| server.clone().serve_proxy(stream));
    let server = registry.clone();
    let memory = call::memory_for_callers(registry.settings.borrow().limits.memory);
    call::listen(control, memory.clone(), move |asked| {
        let registry = server.clone();
        async move { api::control(&registry, asked).await }
    });
    let server = registry.clone();
    call::listen(directory, memory, move |asked| {
        let registry = server.clone();
        async move { api::directory(&registry, asked).await }
    });
    let ticking = registry.clone();
    spawn(async move {
        loop {
            sleep(TICK_INTERVAL).await;
            let time_of_day =
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64() * 1000.0);
            ticking.with(|state, now| {
                state.set_time_of_day(now, time_of_day);
                state.tick(now);
            });
        }
    });
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => registry.reload_settings(),
        }
    }
    // The sessions end with their connections; proxies change to another registry at once.
    Ok(())
}

impl Registry {
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Reads the settings file again; the address of the platform may have changed. An invalid file is
    /// ignored.
    fn reload_settings(&self) {
        if let Some(settings) = start::reload_settings() {
            let platform_moved = settings.cloud_api != self.settings.borrow().cloud_api;
            tracing::info!(event = "settings-read", platform_moved);
            *self.settings.borrow_mut() = Rc::new(settings);
        }
    }

    /// Counts failed list reads. The settings file may change without notice, so it is read again when the
    /// platform cannot be reached at the known address.
    fn count_list_read(&self, succeeded: bool) {
        let failures = if succeeded { 0 } else { self.failed_list_reads.get() + 1 };
        self.failed_list_reads.set(failures);
        if failures > 0 && failures % MAX_FAILED_LIST_READS == 0 {
            self.reload_settings();
        }
    }

    /// Passes an input to the state machine and executes the outputs.
    pub fn with(self: &Rc<Self>, input: impl FnOnce(&mut RegistryState, f64)) {
        let outputs = {
            let mut state = self.state.borrow_mut();
            input(&mut state, self.now());
            state.take_outputs()
        };
        self.execute(outputs);
    }

    fn execute(self: &Rc<Self>, outputs: Vec<Output>) {
        // A message sent to several proxies is encoded once.
        let mut last_encoded: Option<(*const fennelscale_messages::session::RegistryToProxy, Rc<Vec<u8>>)> =
            None;
        for output in outputs {
            match output {
                Output::SendToRegistry(to, message) => self.peers.send(to, &message),
                Output::SendToProxy(to, message) => {
                    let address = Rc::as_ptr(&message);
                    let frame = match &last_encoded {
                        Some((known, frame))
                            if std::ptr::eq(*known, address) && Rc::strong_count(&message) > 1 =>
                        {
                            frame.clone()
                        }
                        _ => Rc::new(fennelscale_messages::encode_frame(&*message)),
                    };
                    if let Some((_, writer)) = self.sessions.borrow().get(&to) {
                        writer.send_frame(&frame);
                    }
                    last_encoded = Some((address, frame));
                }
                Output::ReadBackendList => {
                    let registry = self.clone();
                    spawn(async move {
                        let settings = registry.settings.borrow().clone();
                        let backends = backend_list::read(&settings).await;
                        registry.count_list_read(backends.is_some());
                        registry.with(|state, now| state.on_list_read(now, backends));
                    });
                }
                Output::StoreProxyCount(proxies) => {
                    let registry = self.clone();
                    spawn(async move {
                        let request = StoreRequest::Note(
                            fennelscale_membership::PROXY_COUNT_NAME.to_owned(),
                            proxies.to_string(),
                        );
                        let response = registry.call_store(request).await;
                        tracing::info!(
                            event = "fleet-noted",
                            proxies,
                            done = response == StoreResponse::Done
                        );
                    });
                }
                Output::WriteMaintenanceStep(write) => {
                    let registry = self.clone();
                    spawn(async move {
                        let response = registry
                            .call_store(StoreRequest::MaintenanceStep(write.view_hash, write.records))
                            .await;
                        if response != StoreResponse::Done {
                            tracing::info!(event = "maintenance-step-refused", told = ?response);
                        }
                        registry.with(RegistryState::on_maintenance_answer);
                    });
                }
                Output::StoreEvents(events) => {
                    let last = events.last().map_or(0, |event| event.position.number);
                    if self.send_to_store(&RegistryToStore::SaveEvents(events)) {
                        self.state.borrow_mut().on_events_stored(last);
                    }
                }
                Output::ReadEvents(from, query_id, query) => {
                    let registry = self.clone();
                    spawn(async move {
                        let page = registry.local_events(query).await;
                        registry.peers.send(from, &RegistryMessage::Events(query_id, page));
                    });
                }
                Output::DeliverEvents(from, query_id, page) => {
                    if let Some(reader) = self.event_queries.borrow().get(&query_id) {
                        let _ = reader.try_send((from, page));
                    }
                }
                Output::LookUpRequest(from, query_id, id) => {
                    let registry = self.clone();
                    spawn(async move {
                        let records = registry.local_request_records(id).await;
                        registry.peers.send(from, &RegistryMessage::RequestRecords(query_id, records));
                    });
                }
                Output::DeliverRequestRecords(from, query_id, records) => {
                    self.deliver_records(query_id, from, records)
                }
                Output::DeliverRequestRecord(from, query_id, record) => {
                    self.deliver_records(query_id, from, vec![(from, record)])
                }
                Output::CloseSession(host) => drop(self.sessions.borrow_mut().remove(&host)),
                Output::Log(event, about) => tracing::info!(event, about),
            }
        }
    }

    async fn serve_proxy(self: Rc<Self>, stream: TcpStream) {
        let (mut reader, writer) = split(stream);
        let Ok(first) = reader.next::<ProxyToRegistry>().await else { return };
        let (ProxyToRegistry::Hello(proxy) | ProxyToRegistry::Resume(proxy, _)) = &first else { return };
        let (host, connection) = (proxy.host, self.next_id());
        self.sessions.borrow_mut().insert(host, (connection, writer));
        self.with(|state, now| state.receive_from_proxy(now, host, first));
        while self.is_current_session(host, connection)
            && let Ok(message) = reader.next::<ProxyToRegistry>().await
        {
            if self.is_current_session(host, connection) {
                self.with(|state, now| state.receive_from_proxy(now, host, message));
            }
        }
        // Only the newest connection of a proxy determines its session.
        if self.is_current_session(host, connection) {
            self.sessions.borrow_mut().remove(&host);
            self.with(|state, now| state.on_session_closed(now, host));
        }
    }

    fn is_current_session(&self, host: Host, connection: u64) -> bool {
        self.sessions.borrow().get(&host).is_some_and(|(known, _)| *known == connection)
    }

    async fn serve_store(self: Rc<Self>, stream: TcpStream) {
        let (mut reader, writer): (Reader, Writer) = split(stream);
        let connection = self.next_id();
        *self.store.borrow_mut() = Some((connection, writer));
        while let Ok(message) = reader.next::<StoreToRegistry>().await {
            match message {
                StoreToRegistry::Response(id, response) => {
                    if let Some(caller) = self.pending_calls.borrow_mut().remove(&id) {
                        let _ = caller.send(response);
                    }
                }
                StoreToRegistry::SavedEvents(id, page) => {
                    if let Some(reader) = self.saved_event_queries.borrow_mut().remove(&id) {
                        let _ = reader.send(page);
                    }
                }
                StoreToRegistry::Items { complete, entries } => {
                    self.with(|state, now| state.on_items(now, complete, entries));
                }
                StoreToRegistry::UpToDate(up_to_date) => {
                    self.with(|state, now| state.on_store_freshness(now, up_to_date))
                }
                StoreToRegistry::Members(members) => {
                    self.with(|state, now| state.on_core_members(now, members))
                }
            }
        }
        // A restarted store may have connected before the end of its previous connection was noticed here.
        if self.store.borrow().as_ref().is_some_and(|(newest, _)| *newest != connection) {
            return;
        }
        *self.store.borrow_mut() = None;
        self.with(|state, now| state.on_store_freshness(now, false));
        // The outcome of pending calls is unknown.
        self.pending_calls.borrow_mut().clear();
        self.saved_event_queries.borrow_mut().clear();
    }

    fn deliver_records(&self, query_id: u64, from: Host, records: RequestRecords) {
        if let Some(query) = self.record_queries.borrow().get(&query_id) {
            // A query that has ended or whose channel is full gets no more answers.
            let _ = query.try_send((from, records));
        }
    }

    pub(crate) fn send_to_store(&self, message: &RegistryToStore) -> bool {
        self.store.borrow().as_ref().is_some_and(|(_, store)| store.send(message))
    }

    pub(crate) fn next_id(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Sends a request to the store on this host and waits for its response.
    pub async fn call_store(&self, request: StoreRequest) -> StoreResponse {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(id, sender);
        let _pending = PendingCall { registry: self, id };
        let response = if self.send_to_store(&RegistryToStore::Call(id, request)) {
            tokio::time::timeout(STORE_TIMEOUT, receiver).await.ok().and_then(Result::ok)
        } else {
            None
        };
        response.unwrap_or(StoreResponse::Unclear)
    }
}

/// A call to the store that somebody waits for. It is forgotten when the wait ends, also when its caller has left.
struct PendingCall<'a> {
    registry: &'a Registry,
    id: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.registry.pending_calls.borrow_mut().remove(&self.id);
    }
}
