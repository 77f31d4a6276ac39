//! What each role holds, sends and spends by the size of a deployment: one measure at a time, at several sizes, on the state machines
//! that the programs run. Bytes are those of frames and records as they are sent and written; memory is the growth of this process.

use fennelscale_messages::session::{Backend, BackendList, ProxyInfo, RegistryToProxy};
use fennelscale_messages::store::{Change, Entry, Member, SnapshotChunk, Stamp, StoreMessage, StoreRequest};
use fennelscale_messages::{Host, encode_frame};
use fennelscale_proxy::routing_state::{ProxyLocation, RoutingState};
use fennelscale_replication::{Item, Origin, Output, PersistedState, Progress, Replica};
use std::hint::black_box;
use std::time::Instant;

/// Items of a configuration: the last is the operators' target (12,000 routes, 140,000 tenants).
pub const ITEMS: [usize; 4] = [2_000, 10_000, 40_000, 152_000];
/// Backends; the last is the target.
pub const BACKENDS: [usize; 4] = [300, 2_000, 8_000, 20_000];
/// Gateways; the last is the target.
pub const GATEWAYS: [usize; 4] = [75, 300, 1_200, 2_400];
/// Services at the target.
const SERVICES: usize = 340;
/// One item in so many is a route, as at the target.
const ROUTE_EACH: usize = 13;
/// Changes that are timed at each size.
const CHANGES: u64 = 200;

/// One measure at one size.
#[derive(Clone, Debug)]
pub struct Point {
    /// What was measured, with its unit.
    pub what: &'static str,
    /// Of what there were so many.
    pub of: &'static str,
    /// How many.
    pub size: usize,
    /// The value.
    pub value: f64,
}

/// A line through the points of one measure: `from + slope * size`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub from: f64,
    /// The growth for one more.
    pub slope: f64,
    /// The largest distance of a point from the line, in parts of the point.
    pub off: f64,
}

/// The line of least squares through points of size and value, each weighed by its size: the ends count alike.
pub fn line(points: &[(f64, f64)]) -> Line {
    let weight = |size: f64| 1.0 / (size * size);
    let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|(x, y)| weight(*x) * of(*x, *y)).sum::<f64>();
    let (w, x, y) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
    let (xx, xy) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
    let slope = (w * xy - x * y) / (w * xx - x * x);
    let from = (y - slope * x) / w;
    let off = points.iter().map(|(x, y)| ((from + slope * x) / y - 1.0).abs()).fold(0.0, f64::max);
    Line { from, slope, off }
}

/// What holds a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A store.
    Store,
    /// A gateway.
    Gateway,
}

/// How much this process grows by one copy of so many items, in bytes. Measured once in a process: what was freed before is used again.
pub fn memory(role: Role, items: usize) -> f64 {
    let entries = configuration(items);
    let before = resident();
    let (mut book, mut held) = (None, held());
    match role {
        Role::Store => book = Some(store(&entries)),
        Role::Gateway => drop(held.merge(0.0, entries.clone())),
    }
    let grown = resident() - before;
    black_box((book, held, entries));
    grown
}

/// Pages of this process in memory, in bytes.
fn resident() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.as_deref().and_then(|text| text.split(' ').nth(1)?.trim().parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

fn item(n: usize, revision: u64) -> Change {
    let (kind, host, body) = if n.is_multiple_of(ROUTE_EACH) {
        let service = n % SERVICES;
        let body = format!(
            r#"{{"name":"r{n}","routeType":"idempotent","targetLatency":"500ms","priority":2,"public":false,"revision":"{revision:08x}","matchCriteria":{{"pathPrefix":"/p{n}/"}},"action":{{"service":"s{service}","timeout":"3000ms","maxAttempts":2,"allowedRegions":[]}}}}"#
        );
        ("r", format!("h{}.example", n % 97), body)
    } else {
        let body = format!(
            r#"{{"name":"t{n}","apiKeys":["key-{n}-aaaaaaaaaaaa","key-{n}-bbbbbbbbbbbb"],"priority":1,"ratePerS":115,"burst":115,"allowedRegions":[],"revision":"{revision:08x}"}}"#
        );
        ("t", String::new(), body)
    };
    Change { name: format!("{kind}:{kind}{n}"), revision, host, body: Some(body) }
}

fn service(n: usize) -> Change {
    let body = format!(r#"{{"name":"s{n}","healthCheckPath":"/health","revision":"00000001"}}"#);
    Change { name: format!("s:s{n}"), revision: 1, host: String::new(), body: Some(body) }
}

/// A configuration of so many items and all services, as it is chosen.
fn configuration(items: usize) -> Vec<(String, Entry)> {
    let changes = (0..SERVICES).map(service).chain((0..items).map(|n| item(n, 1)));
    let entry = |(turn, change): (usize, Change)| {
        let Change { name, revision, host, body } = change;
        let stamp = Stamp { sequence: turn as u64 + 1, ..Stamp::default() };
        (name, Entry { stamp, revision, host, body, ..Entry::default() })
    };
    changes.enumerate().map(entry).collect()
}

/// A store of one seat with a configuration on its disk, which writes.
fn store(entries: &[(String, Entry)]) -> Replica {
    let me = Member { host: Host(1), zone: "z".into(), region: "r".into() };
    let place = fennelscale_replication::ReplicaConfig {
        local: me,
        seeds: vec![Host(1)],
        bootstrap: true,
        fault_tolerance: (0, 0, 0),
        incarnation: 1,
    };
    let item =
        |(name, entry): &(String, Entry)| (name.clone(), Item { chosen: Some(entry.clone()), pending: None });
    let items = entries.iter().map(item).collect();
    let mut book =
        Replica::new(place, PersistedState { acceptor: None, progress: Progress::default(), items }, 0.0);
    let mut now = 0.0;
    while !book.is_voting() {
        now += 100.0;
        book.tick(now);
        book.take_writes();
        book.take_outputs();
    }
    book
}

/// The store's measures with so many items.
pub fn of_items(items: usize) -> Vec<Point> {
    let entries = configuration(items);
    let mut points = Vec::new();
    let mut point = |what, value| points.push(Point { what, of: "items", size: items, value });
    let record = |(_, entry): &(String, Entry)| {
        bitcode::encode(&Item { chosen: Some(entry.clone()), pending: None }).len() as f64
    };
    point("store: bytes of all records", entries.iter().map(record).sum());
    let begun = Instant::now();
    let mut book = store(&entries);
    point("store: ms to start", begun.elapsed().as_secs_f64() * 1000.0);
    let begun = Instant::now();
    for revision in 2..2 + CHANGES {
        let ask = StoreRequest::Change(vec![item(revision as usize * 7 % items, revision)]);
        book.submit(10_000.0, Origin::Registry(revision), ask);
        black_box(book.take_writes());
        let outs = book.take_outputs();
        assert!(outs.iter().any(|out| matches!(out, Output::Answer(..))), "a change is acknowledged");
    }
    point("store: us a change", begun.elapsed().as_secs_f64() * 1e6 / CHANGES as f64);
    let (mut after, mut chunks, mut bytes) = (String::new(), 0.0, 0.0);
    let begun = Instant::now();
    loop {
        book.receive(10_000.0, Host(2), StoreMessage::Fetch { since: Stamp::default(), after });
        let sent = book.take_outputs().into_iter().find_map(|out| match out {
            Output::Send(_, StoreMessage::Chunk(chunk)) => Some(chunk),
            _ => None,
        });
        let Some(SnapshotChunk { since, after: of, entries, next, position }) = sent else { break };
        let chunk =
            StoreMessage::Chunk(SnapshotChunk { since, after: of, entries, next: next.clone(), position });
        chunks += 1.0;
        bytes += encode_frame(&chunk).len() as f64;
        let Some(next) = next else { break };
        after = next;
    }
    point("store: ms to tell a whole copy", begun.elapsed().as_secs_f64() * 1000.0);
    point("store: chunks of a whole copy", chunks);
    point("store: bytes of a whole copy on the wire", bytes);
    drop(book);
    let down = RegistryToProxy::Items { complete: true, up_to_date: true, entries: entries.clone() };
    point("gateway: bytes of all items on the wire", encode_frame(&down).len() as f64);
    let mut held = held();
    let begun = Instant::now();
    held.merge(0.0, entries);
    point("gateway: ms to take all items", begun.elapsed().as_secs_f64() * 1000.0);
    points
}

fn held() -> RoutingState {
    let zones = [("z0".to_owned(), "r0".to_owned())].into();
    RoutingState::new(ProxyLocation {
        host: Host(1),
        zone: "z0".into(),
        region: "r0".into(),
        zone_regions: zones,
        max_list_age: 800.0,
    })
}

fn backend(n: usize) -> Backend {
    Backend {
        id: format!("i-{n:010x}"),
        service: format!("s{}", n % SERVICES),
        address: format!("10.{}.{}.{}:8080", n >> 16, n >> 8 & 255, n & 255),
        zone: format!("zone-{}", n % 70),
        slots: 4,
        draining: false,
        cold_ms: 0,
    }
}

/// What a list of so many backends costs.
pub fn of_backends(backends: usize) -> Vec<Point> {
    let listing = BackendList { stamp: (1, Host(1)), backends: (0..backends).map(backend).collect() };
    let bytes = encode_frame(&RegistryToProxy::BackendList(listing.clone())).len() as f64;
    let mut held = held();
    held.set_backend_list(0.0, listing);
    let begun = Instant::now();
    for service in 0..SERVICES {
        black_box(held.backends(1.0, &format!("s{service}")));
    }
    let ms = begun.elapsed().as_secs_f64() * 1000.0;
    let point = |what, value| Point { what, of: "backends", size: backends, value };
    vec![
        point("gateway, registry: bytes of a list of backends", bytes),
        point("gateway: ms to look at all services' backends", ms),
    ]
}

/// What knowing so many gateways costs.
pub fn of_gateways(gateways: usize) -> Vec<Point> {
    let member = |n: usize| ProxyInfo {
        host: Host(n as u32),
        incarnation: fennelscale_messages::mix(n as u64),
        zone: format!("zone-{}", n % 70),
        region: format!("region-{}", n % 27),
        port: 8686,
        ready: true,
        idle_nodes: Vec::new(),
    };
    let members: Vec<ProxyInfo> = (0..gateways).map(member).collect();
    let bytes = encode_frame(&RegistryToProxy::Proxies(members, gateways as u32)).len() as f64;
    vec![Point {
        what: "gateway, registry: bytes of all members",
        of: "gateways",
        size: gateways,
        value: bytes,
    }]
}

/// All measures at all sizes; `grown` has [`memory`] measured in a process of its own.
pub fn all(grown: impl Fn(Role, usize) -> Option<f64>) -> Vec<Point> {
    let held = |size| {
        let point = |what, role| Some(Point { what, of: "items", size, value: grown(role, size)? });
        let store = point("store: bytes of memory", Role::Store);
        store.into_iter().chain(point("gateway: bytes of memory for items", Role::Gateway))
    };
    let items = ITEMS.into_iter().flat_map(|size| of_items(size).into_iter().chain(held(size)));
    let backends = BACKENDS.into_iter().flat_map(of_backends);
    items.chain(backends).chain(GATEWAYS.into_iter().flat_map(of_gateways)).collect()
}

/// A measure at all its sizes, and the line through them.
#[derive(Clone, Debug)]
pub struct Measure {
    /// What was measured, with its unit.
    pub what: &'static str,
    /// Of what there were so many.
    pub of: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// The line.
    pub line: Line,
}

/// Each measure, in the order in which they were made.
pub fn measures(points: &[Point]) -> Vec<Measure> {
    let mut measures: Vec<Measure> = Vec::new();
    for Point { what, of, size, value } in points {
        let at = (*size as f64, *value);
        match measures.iter_mut().find(|measure| measure.what == *what) {
            Some(measure) => measure.points.push(at),
            None => measures.push(Measure { what, of, points: vec![at], line: Line::default() }),
        }
    }
    measures.iter_mut().for_each(|measure| measure.line = line(&measure.points));
    measures
}
