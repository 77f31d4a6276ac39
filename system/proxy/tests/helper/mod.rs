//! A stage for one proxy on loopback addresses: its registry, backends and clients, all stand-ins in this process.
#![allow(dead_code)]

use bytes::Bytes;
use fennelscale_config::parse_call;
use fennelscale_host::link::{self, Writer, split};
use fennelscale_host::start::Signals;
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, BackendList, ProxyInfo, ProxyToRegistry, RegistryToProxy};
use fennelscale_messages::store::{Entry, NamedEntry};
use fennelscale_node_settings::{Port, Settings};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, pending};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

/// What is waited for comes within this, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);
/// Between two looks whether it has come.
const LOOK: Duration = Duration::from_millis(5);
/// The one region, and the zone of the proxy under test.
const REGION: &str = "r";
const ZONE: &str = "a";
/// Places of machines on the stage.
const REGISTRY: u8 = 1;
const PROXY: u8 = 2;
const FIRST_BACKEND: u8 = 100;
/// Places of ports after the first one.
const BACKEND_PORT: u16 = 9;
const FRONTEND_PORT: u16 = 12;
const READINESS_PORT: u16 = 13;
const METRICS_PORT: u16 = 14;
/// The service of the routes under `/`, and that of those under `/other/`.
pub const SERVICE: &str = "s";
pub const OTHER_SERVICE: &str = "t";
const HOST: &str = "music.example";

/// The first configuration: two services whose requests may be held for long.
const CONFIG: &str = r#"{"upsert":{"tenants":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3s","idleTimeout":"15s","revision":"00000001"},"listeners":[{"hostname":"music.example","policy":[{"name":"all","routeType":"non_idempotent","targetLatency":"100s","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/"},"action":{"service":"s","timeout":"100s","maxAttempts":2,"allowedRegions":[]}},{"name":"other","routeType":"non_idempotent","targetLatency":"100s","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/other/"},"action":{"service":"t","timeout":"100s","maxAttempts":2,"allowedRegions":[]}}]}],"backendPools":[{"name":"t","healthCheckPath":"/health","maxConnections":50,"coldStart":"60s","coldPerS":5,"revision":"00000001"},{"name":"s","healthCheckPath":"/health","maxConnections":50,"coldStart":"60s","coldPerS":5,"revision":"00000001"}]},"remove":{"routes":[]}}"#;

/// Runs a test on one thread, as the programs run.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until something has happened.
pub async fn within(what: &str, happened: impl AsyncFn() -> bool) {
    let begun = Instant::now();
    while !happened().await {
        assert!(begun.elapsed() < PATIENCE, "never: {what}");
        sleep(LOOK).await;
    }
}

/// Addresses and ports of one test.
pub struct Stage {
    net: u8,
    number: u8,
    base: u16,
    next_request: Cell<u64>,
}

impl Stage {
    /// The stage of a number; each test of a program has its own.
    pub fn new(number: u8) -> Self {
        let process = std::process::id();
        let net = 1 + (process / 600 % 250) as u8;
        let base = 20_000 + (process % 600) as u16 * 16;
        Self { net, number, base, next_request: Cell::new(0) }
    }

    /// The address of a machine.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 200 + self.number, machine)
    }

    fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine).into(), self.base + port)
    }

    /// Starts a backend.
    pub async fn backend(&self, number: u8, id: &str) -> Rc<StandIn> {
        let at = self.at(FIRST_BACKEND + number, BACKEND_PORT);
        let listener = TcpListener::bind(at).await.expect("an address for a backend");
        let stand_in = Rc::new(StandIn {
            id: RefCell::new(id.to_owned()),
            at,
            arrivals: Cell::new(0),
            misdirected: Cell::new(0),
            holds: Cell::new(false),
        });
        spawn_local(accept(listener, stand_in.clone()));
        stand_in
    }

    /// Sends a request on a connection of its own; its task ends with the status that came.
    pub fn ask(&self, path: &str) -> JoinHandle<u16> {
        let frontend = self.at(PROXY, FRONTEND_PORT);
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        let request = Request::post(path)
            .header("Host", HOST)
            .header("Fennelscale-Request-Id", format!("{number:016x}"))
            .header("Fennelscale-Deadline-Ms", "100000");
        let request = request.body(Full::new(Bytes::from_static(b"body"))).expect("a request");
        spawn_local(async move { exchange(frontend, request).await.map_or(0, |(status, _)| status) })
    }

    /// Sends so many requests at once.
    pub fn ask_many(&self, count: usize) -> Vec<JoinHandle<u16>> {
        (0..count).map(|_| self.ask("/take")).collect()
    }

    fn settings(&self) -> Settings {
        let (ip, first) = (self.ip(PROXY), self.base);
        let text = format!(
            r#"nodeName = "proxy-under-test"
role = "proxy"
machineClass = "frontend"
serves = ["frontend"]
ipAddress = "{ip}"
zone = "{ZONE}"
region = "{REGION}"
internalPortRange = [{first}, {last}]
seedNodes = ["{seed}"]
bootstrap = false
countsTowardQuorum = false
heartbeatInterval = "1500ms"
bounds = ["drain=4000ms", "gracePeriod=3s"]
[zones]
a = "{REGION}"
b = "{REGION}"
[listenAddresses]
frontend = "{frontend}"
readiness = "{readiness}"
[limits]
memoryMb = 256
maxFileDescriptors = 2000
diskMb = 0
[faultTolerance]
machineLosses = 1
zones = 1
regionLosses = 1
[cloudApi]
address = "{platform}"
ratePerS = 50.0
maxLag = "100ms"
"#,
            last = first + 8,
            seed = self.at(REGISTRY, 10),
            frontend = self.at(PROXY, FRONTEND_PORT),
            readiness = self.at(PROXY, READINESS_PORT),
            platform = self.at(REGISTRY, 11),
        );
        Settings::parse(&text).expect("settings of a proxy")
    }
}

/// A backend that counts what arrives.
pub struct StandIn {
    id: RefCell<String>,
    at: SocketAddr,
    arrivals: Cell<usize>,
    misdirected: Cell<usize>,
    holds: Cell<bool>,
}

impl StandIn {
    /// It answers nothing from now on.
    pub fn hold_all(&self) {
        self.holds.set(true);
    }

    /// Another backend has its address from now on.
    pub fn becomes(&self, id: &str) {
        id.clone_into(&mut self.id.borrow_mut());
    }

    /// Requests that it had and that were meant for it.
    pub fn arrivals(&self) -> usize {
        self.arrivals.get()
    }

    /// Requests that were meant for another and got 421.
    pub fn misdirected(&self) -> usize {
        self.misdirected.get()
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = header("fennelscale-request-id");
        let expected = header("fennelscale-expected-instance");
        let answer = Response::builder().header("fennelscale-request-id", id);
        if expected != *self.id.borrow() {
            self.misdirected.set(self.misdirected.get() + 1);
            let answer = answer.status(StatusCode::MISDIRECTED_REQUEST);
            return answer.body(Full::default()).expect("an answer");
        }
        self.arrivals.set(self.arrivals.get() + 1);
        if self.holds.get() {
            pending::<()>().await;
        }
        answer
            .header("fennelscale-response-signature", "signed")
            .body(Full::from("done\n"))
            .expect("an answer")
    }
}

async fn accept(listener: TcpListener, stand_in: Rc<StandIn>) {
    while let Ok((stream, _)) = listener.accept().await {
        let stand_in = stand_in.clone();
        spawn_local(async move {
            let service = service_fn(move |request| {
                let stand_in = stand_in.clone();
                async move { Ok::<_, Infallible>(stand_in.serve(request).await) }
            });
            drop(server::Builder::new().serve_connection(TokioIo::new(stream), service).await);
        });
    }
}

async fn exchange(to: SocketAddr, request: Request<Full<Bytes>>) -> Option<(u16, String)> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    let (head, body) = sender.send_request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some((head.status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// A backend as the list names it.
pub fn listed(id: &str, stand_in: &StandIn, zone: &str, cold_ms: u32) -> Backend {
    listed_for(SERVICE, id, stand_in, zone, cold_ms)
}

/// The same of a service by name.
pub fn listed_for(service: &str, id: &str, stand_in: &StandIn, zone: &str, cold_ms: u32) -> Backend {
    Backend {
        id: id.to_owned(),
        service: service.to_owned(),
        address: stand_in.at.to_string(),
        zone: zone.to_owned(),
        slots: 2,
        draining: false,
        cold_ms,
    }
}

/// What the stand-in registry has heard on its session, and the way back.
#[derive(Default)]
struct Session {
    writer: RefCell<Option<Writer>>,
    member: RefCell<Option<ProxyInfo>>,
    beats: Cell<u64>,
    listing: Cell<u64>,
}

/// The proxy under test and its registry.
pub struct Proxy {
    session: Rc<Session>,
    author: Host,
    metrics: SocketAddr,
}

impl Proxy {
    /// Starts the proxy and waits for its session. `others` are the other proxies that it is told of, with their zones.
    pub async fn start(stage: &Stage, others: &[(Host, &str)]) -> Self {
        let settings = stage.settings();
        let session = Rc::<Session>::default();
        let listener = TcpListener::bind(settings.at(stage.ip(REGISTRY).into(), Port::Sessions)).await;
        let of = session.clone();
        link::accept(listener.expect("an address for the registry"), move |stream| hear(of.clone(), stream));
        let signals = Signals {
            terminate: signal(SignalKind::user_defined1()).expect("a signal"),
            hangup: signal(SignalKind::user_defined2()).expect("a signal"),
        };
        let port = stage.base + METRICS_PORT;
        spawn_local(async move {
            fennelscale_proxy::run(settings, signals, Some(port)).await.expect("the proxy runs");
        });
        let author = Host::from_ip(stage.ip(REGISTRY).into()).expect("IPv4");
        let proxy = Self { session, author, metrics: stage.at(PROXY, METRICS_PORT) };
        within("a session", async || proxy.session.member.borrow().is_some()).await;
        proxy.send(&RegistryToProxy::Items { complete: true, up_to_date: true, entries: configuration() });
        proxy.tell_members(others);
        proxy
    }

    fn send(&self, word: &RegistryToProxy) {
        assert!(self.session.writer.borrow().as_ref().is_some_and(|writer| writer.send(word)));
    }

    /// Tells it of these other proxies; it is one itself.
    pub fn tell_members(&self, others: &[(Host, &str)]) {
        let me = self.session.member.borrow().clone().expect("it has said who it is");
        let of = |(host, zone): &(Host, &str)| ProxyInfo {
            host: *host,
            zone: (*zone).to_owned(),
            ready: true,
            ..me.clone()
        };
        let mut members: Vec<ProxyInfo> = others.iter().map(of).collect();
        members.push(ProxyInfo { ready: true, ..me });
        let count = members.len() as u32;
        self.send(&RegistryToProxy::Proxies(members, count));
    }

    /// Tells it a list, and waits until it has said twice that it has it: what it sends by it is on its way by then.
    pub async fn tell_list(&self, number: u64, backends: Vec<Backend>) {
        self.send(&RegistryToProxy::BackendList(BackendList { stamp: (number, self.author), backends }));
        within("it has the list", async || self.session.listing.get() >= number).await;
        let beats = self.session.beats.get();
        within("another beat", async || self.session.beats.get() > beats).await;
    }

    /// The sum of a metric's samples, over those with this text in their labels.
    pub async fn metric(&self, name: &str, labels: &str) -> f64 {
        let request = Request::get("/metrics").header("Host", "metrics").body(Full::default());
        let Some((_, text)) = exchange(self.metrics, request.expect("a request")).await else { return 0.0 };
        let name = format!("fennelscale_proxy_{name}");
        let samples = text.lines().filter(|line| line.starts_with(&name) && line.contains(labels));
        samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Requests that were sent to backends without terms.
    pub async fn sent_without_terms(&self) -> f64 {
        self.metric("backend_sends_total", "without_terms").await
    }
}

async fn hear(session: Rc<Session>, stream: TcpStream) {
    let (mut reader, writer) = split(stream);
    *session.writer.borrow_mut() = Some(writer.clone());
    while let Ok(word) = reader.next::<ProxyToRegistry>().await {
        match word {
            ProxyToRegistry::Hello(member) | ProxyToRegistry::Resume(member, _) => {
                *session.member.borrow_mut() = Some(member)
            }
            ProxyToRegistry::Heartbeat { list_stamp: listing, .. } => {
                session.listing.set(listing.0);
                session.beats.set(session.beats.get() + 1);
                writer.send(&RegistryToProxy::Heartbeat { contact_age: 0 });
            }
            _ => {}
        }
    }
}

fn configuration() -> Vec<NamedEntry> {
    let changes = parse_call(CONFIG.as_bytes()).expect("a configuration");
    let mut entries = Vec::new();
    for change in changes {
        let entry =
            Entry { revision: change.revision, host: change.host, body: change.body, ..Entry::default() };
        entries.push((change.name, entry));
    }
    entries
}
