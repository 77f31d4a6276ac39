//! The registry's host: carries out what the machine says.

use crate::api;
use crate::backend_list;
use fennelscale_host::link::{self, Peers, Reader, Writer, hear, split};
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

/// Time passes for the machine this often.
const TICK: Duration = Duration::from_millis(60);
/// A call is answered by the store within this, or nothing is clear.
const PATIENCE: Duration = Duration::from_millis(3500);

/// After so many readings of the list that failed in a row the settings are read again.
const UNREAD: u32 = 5;

/// What each proxy knows of a request, as JSON.
pub type Known = Vec<(Host, String)>;

/// The registry.
pub struct Registry {
    pub settings: RefCell<Rc<Settings>>,
    /// Times in a row that the list could not be read.
    unread: Cell<u32>,
    pub round: RefCell<RegistryState>,
    pub(crate) peers: Peers,
    pub(crate) sessions: RefCell<HashMap<Host, (u64, Writer)>>,
    depot: RefCell<Option<(u64, Writer)>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<StoreResponse>>>,
    /// Readers of events here that wait for other registries, and for the store.
    pub(crate) readers: RefCell<HashMap<u64, mpsc::Sender<(Host, feed::EventPage)>>>,
    /// Who waits for what proxies and other registries know of a request.
    pub(crate) seekers: RefCell<HashMap<u64, mpsc::Sender<(Host, Known)>>>,
    pub(crate) past: RefCell<HashMap<u64, oneshot::Sender<Option<feed::EventPage>>>>,
    next: Cell<u64>,
    born: Instant,
}

/// Runs the registry until it is told to end.
pub async fn run(settings: Settings, mut signals: Signals) -> miette::Result<()> {
    let missing = |field: &str| {
        miette::miette!(
            help = "the registry runs on machines that have it",
            "settings field {field} is missing"
        )
    };
    let host = Host::from_ip(settings.ip).ok_or_else(|| missing("ipAddress (IPv4)"))?;
    let control = settings.listen.control.ok_or_else(|| missing("listenAddresses.controlPlane"))?;
    let directory = settings.listen.directory.ok_or_else(|| missing("listenAddresses.directory"))?;
    let life = start::life() >> 1;
    let mut round = RegistryState::new(host, life, &settings.zone, &settings.region, settings.bootstrap, 0.0);
    let may_go = settings.tolerance;
    round.set_deployment(settings.zones.clone(), may_go.machines, (may_go.zones, may_go.regions));
    let peers = Peers::new(host, settings.own(Port::Postmaster).port());
    let others = start::listen(settings.own(Port::Postmaster)).await?;
    let sessions = start::listen(settings.own(Port::Sessions)).await?;
    let shelf = start::listen(settings.own(Port::Shelf)).await?;
    let (control, directory) = (start::listen(control).await?, start::listen(directory).await?);
    let registry = Rc::new(Registry {
        settings: RefCell::new(Rc::new(settings)),
        unread: Cell::new(0),
        round: RefCell::new(round),
        peers,
        sessions: RefCell::default(),
        depot: RefCell::default(),
        waiting: RefCell::default(),
        readers: RefCell::default(),
        seekers: RefCell::default(),
        past: RefCell::default(),
        next: Cell::new(life),
        born: Instant::now(),
    });
    let heard = registry.clone();
    hear(others, move |from, word: RegistryMessage| {
        heard.with(|round, now| round.receive_from_registry(now, from, word))
    });
    let of = registry.clone();
    link::accept(shelf, move |stream| of.clone().hear_depot(stream));
    let of = registry.clone();
    link::accept(sessions, move |stream| of.clone().hear_proxy(stream));
    let of = registry.clone();
    call::listen(control, move |asked| {
        let registry = of.clone();
        async move { api::control(&registry, asked).await }
    });
    let of = registry.clone();
    call::listen(directory, move |asked| {
        let registry = of.clone();
        async move { api::directory(&registry, asked).await }
    });
    let ticking = registry.clone();
    spawn(async move {
        loop {
            sleep(TICK).await;
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64() * 1000.0);
            ticking.with(|round, now| {
                round.set_time_of_day(now, wall);
                round.tick(now);
            });
        }
    });
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => registry.settings_again(),
        }
    }
    // Sessions end here by their lines; proxies go to another registry at once.
    Ok(())
}

impl Registry {
    pub fn now(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1000.0
    }

    /// The settings file may have changed: where the platform is follows it. One that cannot be used changes nothing.
    fn settings_again(&self) {
        if let Some(settings) = start::again() {
            let moved = settings.cloud != self.settings.borrow().cloud;
            tracing::info!(event = "settings-read", platform_moved = moved);
            *self.settings.borrow_mut() = Rc::new(settings);
        }
    }

    /// The file may change without a word: it is read again when the platform is not where it was said to be.
    fn note_read(&self, read: bool) {
        let unread = if read { 0 } else { self.unread.get() + 1 };
        self.unread.set(unread);
        if unread > 0 && unread % UNREAD == 0 {
            self.settings_again();
        }
    }

    /// Gives the machine an input and carries out what follows.
    pub fn with(self: &Rc<Self>, input: impl FnOnce(&mut RegistryState, f64)) {
        let outs = {
            let mut round = self.round.borrow_mut();
            input(&mut round, self.now());
            round.take_outputs()
        };
        self.carry_out(outs);
    }

    fn carry_out(self: &Rc<Self>, outs: Vec<Output>) {
        // One word goes to many proxies: its frame is made once.
        let mut framed: Option<(*const fennelscale_messages::session::RegistryToProxy, Rc<Vec<u8>>)> = None;
        for out in outs {
            match out {
                Output::SendToRegistry(to, word) => self.peers.send(to, &word),
                Output::SendToProxy(to, word) => {
                    let at = Rc::as_ptr(&word);
                    let frame = match &framed {
                        Some((known, frame)) if std::ptr::eq(*known, at) && Rc::strong_count(&word) > 1 => {
                            frame.clone()
                        }
                        _ => Rc::new(fennelscale_messages::encode_frame(&*word)),
                    };
                    if let Some((_, writer)) = self.sessions.borrow().get(&to) {
                        writer.send_frame(&frame);
                    }
                    framed = Some((at, frame));
                }
                Output::ReadBackendList => {
                    let registry = self.clone();
                    spawn(async move {
                        let settings = registry.settings.borrow().clone();
                        let backends = backend_list::read(&settings).await;
                        registry.note_read(backends.is_some());
                        registry.with(|round, now| round.on_list_read(now, backends));
                    });
                }
                Output::StoreProxyCount(proxies) => {
                    let registry = self.clone();
                    spawn(async move {
                        let ask = StoreRequest::Note(
                            fennelscale_membership::PROXY_COUNT_NAME.to_owned(),
                            proxies.to_string(),
                        );
                        let told = registry.ask(ask).await;
                        tracing::info!(event = "fleet-noted", proxies, done = told == StoreResponse::Done);
                    });
                }
                Output::WriteMaintenanceStep(write) => {
                    let registry = self.clone();
                    spawn(async move {
                        let told =
                            registry.ask(StoreRequest::MaintenanceStep(write.view_hash, write.records)).await;
                        if told != StoreResponse::Done {
                            tracing::info!(event = "maintenance-step-refused", told = ?told);
                        }
                        registry.with(RegistryState::on_maintenance_answer);
                    });
                }
                Output::StoreEvents(events) => {
                    let last = events.last().map_or(0, |event| event.position.number);
                    if self.tell_depot(&RegistryToStore::SaveEvents(events)) {
                        self.round.borrow_mut().on_events_stored(last);
                    }
                }
                Output::ReadEvents(from, question, wanted) => {
                    let registry = self.clone();
                    spawn(async move {
                        let told = registry.own_events(wanted).await;
                        registry.peers.send(from, &RegistryMessage::Events(question, told));
                    });
                }
                Output::DeliverEvents(from, question, told) => {
                    if let Some(reader) = self.readers.borrow().get(&question) {
                        let _ = reader.try_send((from, told));
                    }
                }
                Output::ReadRequestTrace(from, question, id) => {
                    let registry = self.clone();
                    spawn(async move {
                        let known = registry.own_request(id).await;
                        registry.peers.send(from, &RegistryMessage::RequestRecords(question, known));
                    });
                }
                Output::DeliverRequestTrace(from, question, known) => self.tell_seeker(question, from, known),
                Output::DeliverProxyTrace(from, question, known) => {
                    self.tell_seeker(question, from, vec![(from, known)])
                }
                Output::CloseSession(host) => drop(self.sessions.borrow_mut().remove(&host)),
                Output::Log(event, about) => tracing::info!(event, about),
            }
        }
    }

    async fn hear_proxy(self: Rc<Self>, stream: TcpStream) {
        let (mut reader, writer) = split(stream);
        let Ok(first) = reader.next::<ProxyToRegistry>().await else { return };
        let (ProxyToRegistry::Hello(member) | ProxyToRegistry::Resume(member, _)) = &first else { return };
        let (host, life) = (member.host, self.number());
        self.sessions.borrow_mut().insert(host, (life, writer));
        self.with(|round, now| round.receive_from_proxy(now, host, first));
        while self.stands(host, life)
            && let Ok(up) = reader.next::<ProxyToRegistry>().await
        {
            if self.stands(host, life) {
                self.with(|round, now| round.receive_from_proxy(now, host, up));
            }
        }
        // Only the newest line of a proxy speaks for it.
        if self.stands(host, life) {
            self.sessions.borrow_mut().remove(&host);
            self.with(|round, now| round.on_session_closed(now, host));
        }
    }

    fn stands(&self, host: Host, life: u64) -> bool {
        self.sessions.borrow().get(&host).is_some_and(|(known, _)| *known == life)
    }

    async fn hear_depot(self: Rc<Self>, stream: TcpStream) {
        let (mut reader, writer): (Reader, Writer) = split(stream);
        let line = self.number();
        *self.depot.borrow_mut() = Some((line, writer));
        while let Ok(report) = reader.next::<StoreToRegistry>().await {
            match report {
                StoreToRegistry::Response(id, told) => {
                    if let Some(answer) = self.waiting.borrow_mut().remove(&id) {
                        let _ = answer.send(told);
                    }
                }
                StoreToRegistry::SavedEvents(id, told) => {
                    if let Some(reader) = self.past.borrow_mut().remove(&id) {
                        let _ = reader.send(told);
                    }
                }
                StoreToRegistry::Items { complete: whole, entries } => {
                    self.with(|round, now| round.on_items(now, whole, entries));
                }
                StoreToRegistry::UpToDate(fresh) => {
                    self.with(|round, now| round.on_store_freshness(now, fresh))
                }
                StoreToRegistry::Members(seats) => self.with(|round, now| round.on_seats(now, seats)),
            }
        }
        // A store that has started anew may have dialled before the end of its former life was seen here.
        if self.depot.borrow().as_ref().is_some_and(|(newest, _)| *newest != line) {
            return;
        }
        *self.depot.borrow_mut() = None;
        self.with(|round, now| round.on_store_freshness(now, false));
        // Nobody knows how these went.
        self.waiting.borrow_mut().clear();
        self.past.borrow_mut().clear();
    }

    fn tell_seeker(&self, question: u64, from: Host, known: Known) {
        if let Some(seeker) = self.seekers.borrow().get(&question) {
            // One that has left, or was told too much, hears no more.
            let _ = seeker.try_send((from, known));
        }
    }

    pub(crate) fn tell_depot(&self, order: &RegistryToStore) -> bool {
        self.depot.borrow().as_ref().is_some_and(|(_, depot)| depot.send(order))
    }

    pub(crate) fn number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        number
    }

    /// Has the store beside this registry decide on a call.
    pub async fn ask(&self, ask: StoreRequest) -> StoreResponse {
        let id = self.number();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        let told = if self.tell_depot(&RegistryToStore::Call(id, ask)) {
            tokio::time::timeout(PATIENCE, receiver).await.ok().and_then(Result::ok)
        } else {
            None
        };
        self.waiting.borrow_mut().remove(&id);
        told.unwrap_or(StoreResponse::Unclear)
    }
}
