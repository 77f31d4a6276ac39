//! A test bed for one proxy on loopback addresses: a fake registry, fake backends and clients, all in this
//! process.
#![allow(dead_code)]

pub mod process;
pub mod sized_backend;
pub mod two_backends;
pub mod upload_backend;

use bytes::Bytes;
use fennelscale_config::parse_call;
use fennelscale_host::link::{self, Writer, split};
use fennelscale_host::start::Signals;
use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, BackendList, ProxyInfo, ProxyToRegistry, RegistryToProxy};
use fennelscale_messages::store::{Change, Entry, NamedEntry, Stamp};
use fennelscale_node_settings::{Port, Settings};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::http::request::Builder;
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
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{AbortHandle, JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;
use upload_backend::UploadBackend;

/// Time limit of a condition, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long clients wait for an answer, unless a test says otherwise.
const DEADLINE: Duration = Duration::from_secs(100);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A narrow link carries so many segments a second.
const LINK_SEGMENTS_PER_S: usize = 20;
/// The only region, and the zone of the proxy under test.
const REGION: &str = "r";
const ZONE: &str = "a";
/// The last bytes of the addresses of machines.
const REGISTRY: u8 = 1;
const PROXY: u8 = 2;
const FIRST_BACKEND: u8 = 100;
/// Offsets of ports from the first one.
const BACKEND_PORT: u16 = 9;
const FRONTEND_PORT: u16 = 12;
pub const READINESS_PORT: u16 = 13;
pub const METRICS_PORT: u16 = 14;
/// The service of the routes under `/`, and that of those under `/other/`.
pub const SERVICE: &str = "s";
pub const OTHER_SERVICE: &str = "t";
const HOST: &str = "music.example";

/// The initial configuration: two services whose requests may be queued for a long time.
const CONFIG: &str = r#"{"upsert":{"tenants":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3s","idleTimeout":"15s","revision":"00000001"},"listeners":[{"hostname":"music.example","policy":[{"name":"all","routeType":"non_idempotent","targetLatency":"100s","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/"},"action":{"service":"s","timeout":"100s","maxAttempts":2,"allowedRegions":[]}},{"name":"uploads","routeType":"upload","targetLatency":"100s","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/upload/"},"action":{"service":"s","timeout":"100s","maxAttempts":2,"allowedRegions":[]}},{"name":"repeatable","routeType":"idempotent","targetLatency":"100s","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/repeatable/"},"action":{"service":"s","timeout":"100s","maxAttempts":2,"allowedRegions":[]}},{"name":"other","routeType":"non_idempotent","targetLatency":"100s","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/other/"},"action":{"service":"t","timeout":"100s","maxAttempts":2,"allowedRegions":[]}}]}],"backendPools":[{"name":"t","healthCheckPath":"/health","maxConnections":50,"coldStart":"60s","coldPerS":5,"revision":"00000001"},{"name":"s","healthCheckPath":"/health","maxConnections":50,"coldStart":"60s","coldPerS":5,"revision":"00000001"}]},"remove":{"routes":[]}}"#;

/// Runs a test on a single-threaded runtime, as the programs use.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < TIMEOUT, "timed out waiting until {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Addresses and ports of one test.
pub struct TestBed {
    net: u8,
    number: u8,
    base: u16,
    next_request: Cell<u64>,
    /// What the link from the registry to the proxy carries, if it is narrow.
    bytes_per_s: Cell<Option<usize>>,
    limits: Cell<ProcessLimits>,
}

/// The limits on memory and descriptors in the proxy's settings.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// `memoryMb`.
    pub memory_mb: u64,
    /// `maxFileDescriptors`.
    pub descriptors: usize,
}

impl TestBed {
    /// The test bed with this number; each test of a program has its own.
    pub fn new(number: u8) -> Self {
        let process = std::process::id();
        let net = 1 + (process / 600 % 250) as u8;
        let base = 20_000 + (process % 600) as u16 * 16;
        Self {
            net,
            number,
            base,
            next_request: Cell::new(0),
            bytes_per_s: Cell::new(None),
            limits: Cell::new(ProcessLimits { memory_mb: 256, descriptors: 2000 }),
        }
    }

    /// The same with these limits in the proxy's settings.
    pub fn with_limits(self, limits: ProcessLimits) -> Self {
        self.limits.set(limits);
        self
    }

    /// The address of a machine.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 200 + self.number, machine)
    }

    fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine).into(), self.base + port)
    }

    /// Starts a fake backend.
    pub async fn backend(&self, number: u8, id: &str) -> Rc<FakeBackend> {
        let at = self.at(FIRST_BACKEND + number, BACKEND_PORT);
        let listener = TcpListener::bind(at).await.expect("an address for a backend");
        let backend = Rc::new(FakeBackend {
            id: RefCell::new(id.to_owned()),
            at,
            arrivals: Cell::new(0),
            misdirected: Cell::new(0),
            holds: Cell::new(false),
            connections: RefCell::default(),
        });
        spawn_local(accept(listener, backend.clone()));
        backend
    }

    /// Starts a fake backend for uploads.
    pub async fn upload_backend(&self, number: u8, id: &str) -> Rc<UploadBackend> {
        let at = self.at(FIRST_BACKEND + number, BACKEND_PORT);
        UploadBackend::start(id, TcpListener::bind(at).await.expect("an address for a backend"))
    }

    /// Sends a request with a body of this size on its own connection; the task returns the status and the body of
    /// the answer, if there was one.
    pub fn upload(&self, path: &str, size: usize) -> JoinHandle<Option<(u16, String)>> {
        self.upload_as(&self.next_id(), path, size, DEADLINE)
    }

    /// The same with this request id and deadline.
    pub fn upload_as(
        &self, id: &str, path: &str, size: usize, deadline: Duration,
    ) -> JoinHandle<Option<(u16, String)>> {
        let frontend = self.at(PROXY, FRONTEND_PORT);
        let request = request_head(id, path, deadline).body(Full::from(vec![b'x'; size]));
        spawn_local(exchange(frontend, request.expect("a request")))
    }

    /// A connection of a client to the proxy.
    pub async fn connect(&self) -> TcpStream {
        self.connect_to(FRONTEND_PORT).await
    }

    /// A connection to another port of the proxy.
    pub async fn connect_to(&self, port: u16) -> TcpStream {
        TcpStream::connect(self.at(PROXY, port)).await.expect("the proxy accepts")
    }

    /// The id of a new request.
    pub fn next_id(&self) -> String {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        format!("{number:016x}")
    }

    /// Sends a request on its own connection; the task returns the status of the answer, or 0 without one.
    pub fn request(&self, path: &str) -> JoinHandle<u16> {
        let frontend = self.at(PROXY, FRONTEND_PORT);
        let request = request_head(&self.next_id(), path, DEADLINE)
            .body(Full::new(Bytes::from_static(b"body")))
            .expect("a request");
        spawn_local(async move { exchange(frontend, request).await.map_or(0, |(status, _)| status) })
    }

    /// Sends `count` requests at once.
    pub fn request_many(&self, count: usize) -> Vec<JoinHandle<u16>> {
        (0..count).map(|_| self.request("/take")).collect()
    }

    fn settings(&self) -> Settings {
        Settings::parse(&self.settings_text()).expect("settings of a proxy")
    }

    fn settings_text(&self) -> String {
        let ProcessLimits { memory_mb, descriptors } = self.limits.get();
        let (ip, first) = (self.ip(PROXY), self.base);
        format!(
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
bounds = ["drain=4000ms", "gracePeriod=3s", "retryBudgetRatio=10", "budgetWindow=10s", "retryBudgetSlack=6400"]
[zones]
a = "{REGION}"
b = "{REGION}"
[listenAddresses]
frontend = "{frontend}"
readiness = "{readiness}"
[limits]
memoryMb = {memory_mb}
maxFileDescriptors = {descriptors}
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
        )
    }
}

/// A fake backend that counts the requests that arrive.
pub struct FakeBackend {
    id: RefCell<String>,
    at: SocketAddr,
    arrivals: Cell<usize>,
    misdirected: Cell<usize>,
    holds: Cell<bool>,
    connections: RefCell<Vec<AbortHandle>>,
}

impl FakeBackend {
    /// Leaves all requests unanswered from now on.
    pub fn hold_all(&self) {
        self.holds.set(true);
    }

    /// Gives its address to another backend from now on. The connections end with the life that they were made to.
    pub fn becomes(&self, id: &str) {
        self.connections.borrow_mut().drain(..).for_each(|connection| connection.abort());
        id.clone_into(&mut self.id.borrow_mut());
    }

    /// Number of requests received that were meant for this backend.
    pub fn arrivals(&self) -> usize {
        self.arrivals.get()
    }

    /// Number of requests that were meant for another backend and got 421.
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
            let answer = answer
                .status(StatusCode::MISDIRECTED_REQUEST)
                .header("fennelscale-instance-id", self.id.borrow().as_str());
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

async fn accept(listener: TcpListener, backend: Rc<FakeBackend>) {
    while let Ok((stream, _)) = listener.accept().await {
        let serving = backend.clone();
        let connection = spawn_local(async move {
            let service = service_fn(move |request| {
                let backend = serving.clone();
                async move { Ok::<_, Infallible>(backend.serve(request).await) }
            });
            drop(server::Builder::new().serve_connection(TokioIo::new(stream), service).await);
        });
        backend.connections.borrow_mut().push(connection.abort_handle());
    }
}

fn request_head(id: &str, path: &str, deadline: Duration) -> Builder {
    Request::post(path)
        .header("Host", HOST)
        .header("Fennelscale-Request-Id", id)
        .header("Fennelscale-Deadline-Ms", deadline.as_millis().to_string())
}

async fn exchange(to: SocketAddr, request: Request<Full<Bytes>>) -> Option<(u16, String)> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    let (head, body) = sender.send_request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some((head.status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// A backend as an entry of the list.
pub fn listed(id: &str, backend: &FakeBackend, zone: &str, cold_ms: u32) -> Backend {
    listed_for(SERVICE, id, backend, zone, cold_ms)
}

/// The same for a named service.
pub fn listed_for(service: &str, id: &str, backend: &FakeBackend, zone: &str, cold_ms: u32) -> Backend {
    listed_at(service, id, backend.at, zone, cold_ms)
}

/// The same for a backend at this address.
pub fn listed_at(service: &str, id: &str, address: SocketAddr, zone: &str, cold_ms: u32) -> Backend {
    Backend {
        id: id.to_owned(),
        service: service.to_owned(),
        address: address.to_string(),
        zone: zone.to_owned(),
        slots: 2,
        draining: false,
        cold_ms,
    }
}

fn signals() -> Signals {
    Signals {
        terminate: signal(SignalKind::user_defined1()).expect("a signal"),
        hangup: signal(SignalKind::user_defined2()).expect("a signal"),
    }
}

/// The session of the fake registry: what it has received, and the writer for messages to the proxy.
#[derive(Default)]
struct RegistrySession {
    writer: RefCell<Option<Writer>>,
    proxy_info: RefCell<Option<ProxyInfo>>,
    /// How many sessions the proxy has opened.
    sessions: Cell<u64>,
    heartbeats: Cell<u64>,
    items_hash: Cell<u64>,
    list_number: Cell<u64>,
}

/// The proxy under test and its fake registry.
pub struct Proxy {
    session: Rc<RegistrySession>,
    author: Host,
    metrics: SocketAddr,
}

impl Proxy {
    /// Starts the proxy and waits for its session. `others` are the other proxies that it is sent, with their
    /// zones.
    pub async fn start(test_bed: &TestBed, others: &[(Host, &str)]) -> Self {
        let launch = |settings, port| {
            let signals = signals();
            spawn_local(async move {
                fennelscale_proxy::run(settings, signals, Some(port)).await.expect("the proxy runs");
            });
        };
        Self::start_with(test_bed, others, launch).await
    }

    /// The same behind a link that carries so many bytes a second from the registry to the proxy.
    pub async fn start_behind_link(test_bed: &TestBed, bytes_per_s: usize) -> Self {
        test_bed.bytes_per_s.set(Some(bytes_per_s));
        Self::start(test_bed, &[]).await
    }

    /// The same with the proxy on a thread of its own, beside these tasks.
    pub async fn start_beside<F: Future<Output = ()> + 'static>(
        test_bed: &TestBed, tasks: usize, task: impl Fn() -> F + Send + 'static,
    ) -> Self {
        let launch = move |settings, port| {
            drop(std::thread::spawn(move || {
                run(async move {
                    (0..tasks).for_each(|_| drop(spawn_local(task())));
                    let signals = signals();
                    fennelscale_proxy::run(settings, signals, Some(port)).await.expect("the proxy runs");
                });
            }));
        };
        Self::start_with(test_bed, &[], launch).await
    }

    /// The same with the proxy as a process of its own.
    pub async fn start_process(test_bed: &TestBed) -> (Self, process::ProxyProcess) {
        let started = Rc::<RefCell<Option<process::ProxyProcess>>>::default();
        let launched = started.clone();
        let text = test_bed.settings_text();
        let launch = move |_, port| *launched.borrow_mut() = Some(process::ProxyProcess::start(&text, port));
        let proxy = Self::start_with(test_bed, &[], launch).await;
        let process = started.take().expect("the proxy was started");
        (proxy, process)
    }

    async fn start_with(
        test_bed: &TestBed, others: &[(Host, &str)], launch: impl FnOnce(Settings, u16),
    ) -> Self {
        let settings = test_bed.settings();
        let session = Rc::<RegistrySession>::default();
        let listener =
            TcpListener::bind(settings.address_of(test_bed.ip(REGISTRY).into(), Port::Sessions)).await;
        let mut listener = listener.expect("an address for the registry");
        if let Some(bytes_per_s) = test_bed.bytes_per_s.get() {
            listener = behind_link(listener, bytes_per_s).await;
        }
        let accepting = session.clone();
        link::accept(listener, move |stream| receive(accepting.clone(), stream));
        launch(settings, test_bed.base + METRICS_PORT);
        let author = Host::from_ip(test_bed.ip(REGISTRY).into()).expect("IPv4");
        let proxy = Self { session, author, metrics: test_bed.at(PROXY, METRICS_PORT) };
        wait_until("the proxy has a session", async || proxy.session.proxy_info.borrow().is_some()).await;
        proxy.send(&RegistryToProxy::Items { complete: true, up_to_date: true, entries: configuration() });
        proxy.send_proxies(others);
        proxy
    }

    fn send(&self, message: &RegistryToProxy) {
        assert!(self.session.writer.borrow().as_ref().is_some_and(|writer| writer.send(message)));
    }

    /// Sends limits with this `idleTimeout`.
    pub fn send_idle_timeout(&self, revision: u64, idle_timeout: &str) {
        let call = format!(
            r#"{{"upsert":{{"limits":{{"idleTimeout":"{idle_timeout}","revision":"{revision:08x}"}}}}}}"#
        );
        let changes = parse_call(call.as_bytes()).expect("limits");
        self.send_changes(revision, changes);
    }

    /// Sends limits by which a body may have this many bytes.
    pub fn send_max_body(&self, revision: u64, bytes: usize) {
        let call =
            format!(r#"{{"upsert":{{"limits":{{"maxBodyBytes":{bytes},"revision":"{revision:08x}"}}}}}}"#);
        let changes = parse_call(call.as_bytes()).expect("limits");
        self.send_changes(revision, changes);
    }

    /// Sends so many new routes in one message.
    pub fn send_routes(&self, revision: u64, count: usize) {
        let rule = |number: usize| {
            format!(
                r#"{{"name":"added{number}","routeType":"idempotent","targetLatency":"1s","priority":1,"public":true,"revision":"{revision:08x}","matchCriteria":{{"pathPrefix":"/added/{number}/"}},"action":{{"service":"{SERVICE}","timeout":"1s"}}}}"#
            )
        };
        let rules: Vec<String> = (0..count).map(rule).collect();
        let call = format!(
            r#"{{"upsert":{{"listeners":[{{"hostname":"{HOST}","policy":[{}]}}]}}}}"#,
            rules.join(",")
        );
        self.send_changes(revision, parse_call(call.as_bytes()).expect("routes"));
    }

    fn send_changes(&self, revision: u64, changes: Vec<Change>) {
        let entry = |change: Change| {
            let stamp = Stamp { sequence: revision, ..Stamp::default() };
            let Change { name, revision, host, body } = change;
            (name, Entry { stamp, revision, host, body, ..Entry::default() })
        };
        let entries = changes.into_iter().map(entry).collect();
        self.send(&RegistryToProxy::Items { complete: false, up_to_date: false, entries });
    }

    /// How many sessions the proxy has opened.
    pub fn sessions(&self) -> u64 {
        self.session.sessions.get()
    }

    /// The number of heartbeats received.
    pub fn heartbeats(&self) -> u64 {
        self.session.heartbeats.get()
    }

    /// The checksum of the proxy's items by its last heartbeat.
    pub fn items_hash(&self) -> u64 {
        self.session.items_hash.get()
    }

    /// Sends the list of proxies: these others, and the proxy itself.
    pub fn send_proxies(&self, others: &[(Host, &str)]) {
        let me = self.session.proxy_info.borrow().clone().expect("the proxy has sent its description");
        let of = |(host, zone): &(Host, &str)| ProxyInfo {
            host: *host,
            zone: (*zone).to_owned(),
            ready: true,
            ..me.clone()
        };
        let mut proxies: Vec<ProxyInfo> = others.iter().map(of).collect();
        proxies.push(ProxyInfo { ready: true, ..me });
        let count = proxies.len() as u32;
        self.send(&RegistryToProxy::Proxies(proxies, count));
    }

    /// Sends a list of backends, and waits for two heartbeats with its number: requests sent because of it
    /// have left by then.
    pub async fn send_list(&self, number: u64, backends: Vec<Backend>) {
        self.send(&RegistryToProxy::BackendList(BackendList { stamp: (number, self.author), backends }));
        wait_until("the proxy has the list", async || self.session.list_number.get() >= number).await;
        let heartbeats = self.session.heartbeats.get();
        wait_until("another heartbeat arrives", async || self.session.heartbeats.get() > heartbeats).await;
    }

    /// The sum of the samples of a metric with this text in their labels.
    pub async fn metric(&self, name: &str, labels: &str) -> f64 {
        let request = Request::get("/metrics").header("Host", "metrics").body(Full::default());
        let Some((_, text)) = exchange(self.metrics, request.expect("a request")).await else { return 0.0 };
        let name = format!("fennelscale_proxy_{name}");
        let samples = text.lines().filter(|line| line.starts_with(&name) && line.contains(labels));
        samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Number of requests sent to backends without parameters.
    pub async fn sent_without_parameters(&self) -> f64 {
        self.metric("backend_sends_total", "without_terms").await
    }
}

/// A listener behind a link: what connects to `outer` is relayed to it, with so many bytes a second back.
async fn behind_link(outer: TcpListener, bytes_per_s: usize) -> TcpListener {
    let inner = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("an address");
    let at = inner.local_addr().expect("an address");
    link::accept(outer, move |stream| async move {
        let Ok(registry) = TcpStream::connect(at).await else { return };
        let (mut from_proxy, mut to_proxy) = stream.into_split();
        let (mut from_registry, mut to_registry) = registry.into_split();
        spawn_local(async move { drop(copy(&mut from_proxy, &mut to_registry).await) });
        // The link has room for all that the registry sends.
        let (sender, mut waiting) = unbounded_channel();
        spawn_local(async move {
            let mut segment = vec![0; bytes_per_s / LINK_SEGMENTS_PER_S];
            while let Ok(length @ 1..) = from_registry.read(&mut segment).await {
                let _ = sender.send(segment[..length].to_vec());
            }
        });
        while let Some(segment) = waiting.recv().await {
            sleep(Duration::from_secs(1).mul_f64(segment.len() as f64 / bytes_per_s as f64)).await;
            if to_proxy.write_all(&segment).await.is_err() {
                return;
            }
        }
    });
    inner
}

async fn receive(session: Rc<RegistrySession>, stream: TcpStream) {
    let (mut reader, writer) = split(stream);
    *session.writer.borrow_mut() = Some(writer.clone());
    while let Ok(message) = reader.next::<ProxyToRegistry>().await {
        match message {
            ProxyToRegistry::Hello(info) | ProxyToRegistry::Resume(info, _) => {
                *session.proxy_info.borrow_mut() = Some(info);
                session.sessions.set(session.sessions.get() + 1);
            }
            ProxyToRegistry::Heartbeat { list_stamp, items_hash, .. } => {
                session.items_hash.set(items_hash);
                session.list_number.set(list_stamp.0);
                session.heartbeats.set(session.heartbeats.get() + 1);
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
