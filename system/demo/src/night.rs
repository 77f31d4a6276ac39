//! A maintenance night over three regions with real processes: a backend, a proxy and a whole zone are serviced in the hours of
//! a contract, while listeners read, registrars accession, sellers pay and choirs deposit, and a core machine and a proxy are
//! killed on the way. Judged from what stand-ins and clients saw alone:
//!
//! - what was meant once was recorded at most once, and exactly once where it was acknowledged; no deposit was sent twice;
//! - a node that was out got nothing, and nothing was drained outside the hours;
//! - reads did not wait: their longest hundredth beside the same night without orders (told, not judged by one run).

use crate::client::send;
use crate::machines::{Machines, PROXY, SECOND, SECOND_PROXY, ZONES};
use crate::standins::{Listed, Outside, backend, platform};
use crate::steps::{HOST, PATIENCE, Walk, check, route, until_ready};
use hyper::Method;
use miette::{Result, miette};
use rustix::process::Signal;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long the hours are, and when they begin after the clients have come, in s.
const HOURS: u64 = 90;
const BEFORE: u64 = 2;
const LENGTH: u64 = 1500;
const SERVICES: [&str; 3] = ["reads", "register", "intake"];

/// What clients saw of one thing that they wanted.
#[derive(Clone, Debug)]
pub struct Wish {
    pub item: String,
    pub kind: &'static str,
    /// The last answer; none where there was none.
    pub status: Option<u16>,
    pub took: Duration,
    /// When it was wanted.
    pub at: Instant,
}

/// What was said of a node, by whoever asked.
#[derive(Clone, Debug)]
struct Said {
    node: String,
    phase: String,
    /// When the answer was asked for and when it was there.
    at: (Instant, Instant),
    wall: u64,
}

#[derive(Default)]
pub struct Seen {
    pub wishes: RefCell<Vec<Wish>>,
    said: RefCell<Vec<Said>>,
    pub over: Cell<bool>,
    numbers: Cell<u64>,
}

/// What a night came to.
pub struct Night {
    pub reads: usize,
    pub p99: Duration,
    pub worst: Duration,
}

pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_secs())
}

fn clock(s: u64) -> String {
    format!("{:02}:{:02}:{:02}", s / 3600 % 24, s / 60 % 60, s % 60)
}

pub fn mix(seed: u64) -> u64 {
    let z = (seed.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 16
}

fn config(hours: (u64, u64)) -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":50,"revision":"00000001"}}"#
        )
    };
    let services: Vec<String> = SERVICES.iter().map(|name| service(name)).collect();
    let contract = |name: &str, from: u64, to: u64| {
        format!(
            r#"{{"name":"{name}","revision":"00000001","timeZone":"UTC","hours":[{{"days":["mon","tue","wed","thu","fri","sat","sun"],"from":"{}","to":"{}"}}],"places":["alder","birch","cedar"],"approvedBy":"night shift"}}"#,
            clock(from),
            clock(to)
        )
    };
    let routes = [
        ("reads", "idempotent", "/reads/"),
        ("register", "non_idempotent", "/register/"),
        ("intake", "upload", "/intake/"),
    ]
    .map(|(service, kind, prefix)| route(service, kind, prefix, service, "00000001", ""));
    format!(
        r#"{{"upsert":{{"listeners":[{}],"backendPools":[{}],"maintenanceContracts":[{},{}]}}}}"#,
        routes.join(","),
        services.join(","),
        contract("tonight", hours.0, hours.1),
        contract("later", hours.1 + 3 * 3600, hours.1 + 4 * 3600),
    )
}

fn order(name: &str, contract: &str, nodes: &[String]) -> String {
    let nodes: Vec<String> = nodes.iter().map(|node| format!("\"{node}\"")).collect();
    format!(
        r#"{{"upsert":{{"workOrders":[{{"name":"{name}","revision":"00000001","contract":"{contract}","nodes":[{}],"length":"{LENGTH}ms","backBefore":"6s","mostOut":{{"zone":1,"region":1}},"state":"running","approvedBy":"night shift"}}]}}}}"#,
        nodes.join(",")
    )
}

/// A client of a zone.
pub struct Client {
    pub seen: Rc<Seen>,
    pub directory: Vec<SocketAddr>,
    pub zone: usize,
    pub key: Option<&'static str>,
}

impl Client {
    /// The proxies that the directory names now.
    async fn resolve(&self) -> Vec<SocketAddr> {
        let path = format!("/fennelscale/resolve?name={HOST}&zone={}", ZONES[self.zone].0);
        for n in 0..self.directory.len() {
            let at = self.directory[(self.zone + n) % self.directory.len()];
            let Some(reply) = send(at, Method::GET, &path, &[], "").await.filter(|r| r.status == 200) else {
                continue;
            };
            let told: Value = sonic_rs::from_str(&reply.text()).unwrap_or_default();
            let list =
                told.get("addresses").and_then(|a| a.as_array()).map(|a| a.to_vec()).unwrap_or_default();
            return list.iter().filter_map(|a| a.as_str()?.parse().ok()).collect();
        }
        Vec::new()
    }

    /// Wants one thing until it is served, or until it may have happened: what can't be repeated is tried again only after an
    /// answer that promises that it has not run.
    async fn want(&self, kind: &'static str, path: String, body: usize) {
        let item = path.rsplit('/').next().unwrap_or_default().to_owned();
        let (begun, repeatable) = (Instant::now(), kind == "reads");
        let mut status = None;
        while begun.elapsed() < Duration::from_secs(8) {
            let proxies = self.resolve().await;
            let number = self.seen.numbers.replace(self.seen.numbers.get() + 1);
            let id = format!("night{number:07}");
            let Some(at) = proxies.get(number as usize % proxies.len().max(1)) else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let mut headers = vec![
                ("Host", HOST),
                ("Fennelscale-Request-Id", id.as_str()),
                ("Fennelscale-Deadline-Ms", "8000"),
            ];
            headers.extend(self.key.map(|key| ("X-Api-Key", key)));
            let method = if repeatable { Method::GET } else { Method::POST };
            // Nothing was sent where no connection comes up.
            if tokio::net::TcpStream::connect(at).await.is_err() {
                sleep(Duration::from_millis(50)).await;
                continue;
            }
            let reply = send(*at, method, &path, &headers, "x".repeat(body)).await;
            status = reply.as_ref().map(|r| r.status);
            match status {
                Some(200) => break,
                Some(429 | 503) => {}
                _ if repeatable => {}
                _ => break,
            }
            sleep(Duration::from_millis(60)).await;
        }
        self.seen.wishes.borrow_mut().push(Wish { item, kind, status, took: begun.elapsed(), at: begun });
    }

    /// Things are wanted at a pace, whatever becomes of those before.
    pub async fn keep_wanting(self: Rc<Self>, kind: &'static str, pace: Duration, body: usize, seed: u64) {
        let mut n = 0;
        while !self.seen.over.get() {
            n += 1;
            let draw = mix(seed ^ n << 8 ^ self.zone as u64);
            // A deposit now and then takes longer than a node is out.
            let work = if kind == "intake" { 300 + draw % 2500 } else { 5 + draw % 15 };
            let prefix = if kind == "records" { "register" } else { kind };
            let path = format!("/{prefix}/sleep-{work}/{kind}-{}-{n}", self.zone);
            let client = self.clone();
            spawn_local(async move { client.want(kind, path, body).await });
            sleep(pace).await;
        }
    }
}

async fn ask_on(seen: Rc<Seen>, controls: Vec<SocketAddr>) {
    for n in 0.. {
        if seen.over.get() {
            return;
        }
        let begun = Instant::now();
        let asked = wall();
        if let Some(reply) =
            send(controls[n % controls.len()], Method::GET, "/fennelscale/maintenance", &[], "").await
        {
            let told: Value = sonic_rs::from_str(&reply.text()).unwrap_or_default();
            let list = |value: &Value, name: &str| {
                value.get(name).and_then(|v| v.as_array()).map(|a| a.to_vec()).unwrap_or_default()
            };
            let text = |value: &Value, name: &str| {
                value.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned()
            };
            for order in list(&told, "orders") {
                for node in list(&order, "nodes") {
                    let (node, phase) = (text(&node, "node"), text(&node, "phase"));
                    seen.said.borrow_mut().push(Said {
                        node,
                        phase,
                        at: (begun, Instant::now()),
                        wall: asked,
                    });
                }
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn start_all(walk: &mut Walk, zone: usize, bootstrap: bool) -> Result<()> {
    for program in ["fennelscale-proxy", SECOND_PROXY, "fennelscale-config-store", "fennelscale-registry"] {
        walk.machines.start(zone, program, bootstrap)?;
    }
    Ok(())
}

/// One night; without orders for comparison.
pub async fn night(seed: u64, with_orders: bool, logs: bool) -> Result<Night> {
    let folder = tempfile::tempdir().map_err(|error| miette!("no folder for disks: {error}"))?;
    let outside = Rc::new(Outside::default());
    let mut walk = Walk {
        machines: Machines::new(folder.path(), logs, 2 * seed + u64::from(with_orders)),
        outside,
        next: 0,
    };
    let io = |error: std::io::Error| miette!("stand-ins: {error}");
    platform(&walk.outside, walk.machines.platform()).await.map_err(io)?;
    for (zone, (name, _)) in ZONES.iter().enumerate() {
        for number in 0..6 {
            let service = SERVICES[number % 3];
            let address = walk.machines.backend(zone, number as u8);
            let (id, zone) = (format!("i-{service}-{zone}-{}", number / 3), (*name).to_owned());
            backend(&walk.outside, Listed { id, service: service.into(), address, zone, state: "ready" })
                .await
                .map_err(io)?;
        }
    }
    for zone in 0..ZONES.len() {
        start_all(&mut walk, zone, true)?;
    }
    let begins = wall() + BEFORE + 4;
    let hours = (begins, begins + HOURS);
    let reply = walk.until_clear(0, Method::PATCH, "/fennelscale/config", &config(hours)).await?;
    check(reply.status == 200, "contracts and routes are acknowledged")?;
    for zone in 0..ZONES.len() {
        for machine in [PROXY, SECOND] {
            until_ready(walk.machines.readiness_of(zone, machine)).await?;
        }
    }
    let seen = Rc::new(Seen::default());
    let directory: Vec<SocketAddr> = (0..ZONES.len()).map(|zone| walk.machines.directory(zone)).collect();
    for zone in 0..ZONES.len() {
        let client = Rc::new(Client { seen: seen.clone(), directory: directory.clone(), zone, key: None });
        let paces = [("reads", 25, 0), ("register", 60, 200), ("intake", 300, 60_000)];
        for (kind, pace, body) in paces {
            spawn_local(client.clone().keep_wanting(kind, Duration::from_millis(pace), body, seed));
        }
    }
    let controls: Vec<SocketAddr> = (0..ZONES.len()).map(|zone| walk.machines.control(zone)).collect();
    spawn_local(ask_on(seen.clone(), controls));
    let begun = Instant::now();
    let proxy = walk.machines.ip(1, SECOND);
    let nodes = [
        format!("backend:i-register-0-{}", seed % 2),
        format!("proxy:{proxy}"),
        format!("zone:{}", ZONES[2].0),
    ];
    if with_orders {
        orders(&walk, &nodes).await?;
    }
    faults(&mut walk, seed, begun).await?;
    let end = Duration::from_secs(BEFORE + 4 + HOURS);
    let mut done = false;
    while begun.elapsed() < end && !done {
        sleep(Duration::from_millis(100)).await;
        let said = seen.said.borrow();
        let last = |node: &String| said.iter().rev().find(|s| s.node == *node).map(|s| s.phase.clone());
        let over = |phase: Option<String>| matches!(phase.as_deref(), Some("serviced" | "unserviced"));
        done = if with_orders {
            nodes.iter().all(|n| over(last(n)))
        } else {
            begun.elapsed() > Duration::from_secs(25)
        };
    }
    // What is in hand ends.
    seen.over.set(true);
    sleep(Duration::from_secs(6)).await;
    judge(&walk, &seen, &nodes, hours, with_orders)
}

async fn orders(walk: &Walk, nodes: &[String]) -> Result<()> {
    let patch = "/fennelscale/config";
    let reply = walk.until_clear(1, Method::PATCH, patch, &order("tonight", "tonight", nodes)).await?;
    check(reply.status == 200, format!("the night's order is acknowledged {}", reply.text()))?;
    let reply = walk
        .until_clear(2, Method::PATCH, patch, &order("early", "later", &["backend:i-reads-0-0".into()]))
        .await?;
    check(reply.status == 200, "and one whose hours are not tonight")?;
    let reply = walk.until_clear(0, Method::PATCH, patch, &order("none", "nowhere", &nodes[..1])).await?;
    check(reply.status == 400, "one without a contract is refused")?;
    let strange = order("strange", "tonight", &["zone:nowhere".into()]);
    let reply = walk.until_clear(0, Method::PATCH, patch, &strange).await?;
    check(
        reply.status == 400 && reply.text().contains("there is no zone"),
        "one for a zone that there is not, too",
    )
}

/// A core machine and a proxy are killed and come back, when and which is drawn.
async fn faults(walk: &mut Walk, seed: u64, begun: Instant) -> Result<()> {
    let draw = |n: u64, most: u64| mix(seed ^ n << 40) % most;
    let mut events = vec![
        (7000 + draw(1, 9000), draw(2, 3) as usize, vec!["fennelscale-config-store", "fennelscale-registry"]),
        (7000 + draw(3, 9000), draw(4, 3) as usize, vec!["fennelscale-proxy"]),
    ];
    events.sort();
    for (at, zone, programs) in events {
        sleep(Duration::from_millis(at).saturating_sub(begun.elapsed())).await;
        for program in &programs {
            walk.machines.signal(zone, program, Signal::KILL);
            walk.machines.ended(zone, program).await;
        }
        println!(
            "  {:.1} s: killed in {}: {}",
            begun.elapsed().as_secs_f64(),
            ZONES[zone].0,
            programs.join(" and ")
        );
        sleep(Duration::from_millis(600)).await;
        for program in programs {
            walk.machines.start(zone, program, false)?;
        }
    }
    Ok(())
}

fn judge(walk: &Walk, seen: &Seen, nodes: &[String], hours: (u64, u64), with_orders: bool) -> Result<Night> {
    let runs = walk.outside.runs.borrow();
    let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
    runs.iter().for_each(|run| *ran.entry(run.item.as_str()).or_default() += 1);
    let wishes = seen.wishes.borrow();
    let (mut acknowledged, mut unclear) = (0, 0);
    for wish in wishes.iter().filter(|wish| wish.kind != "reads") {
        let times = ran.get(wish.item.as_str()).copied().unwrap_or(0);
        acknowledged += usize::from(wish.status == Some(200));
        unclear += usize::from(wish.status != Some(200));
        let once = if wish.status == Some(200) { times == 1 } else { times <= 1 };
        if !once {
            return Err(miette!("{} was answered {:?} and ran {times} times", wish.item, wish.status));
        }
    }
    check(
        acknowledged > 100,
        format!(
            "{acknowledged} accessions, payments and deposits, each recorded once; {unclear} without success, none twice"
        ),
    )?;
    let open: Vec<&str> = ran
        .iter()
        .filter(|(item, times)| **times > 1 && !item.starts_with("reads"))
        .map(|(item, _)| *item)
        .collect();
    check(open.is_empty(), format!("nothing was recorded twice {open:?}"))?;
    let said = seen.said.borrow();
    if with_orders {
        for node in nodes {
            let out: Vec<&Said> = said.iter().filter(|s| s.node == *node && s.phase == "out").collect();
            let (Some(first), Some(last)) = (out.first(), out.last()) else {
                let phases: BTreeSet<&str> =
                    said.iter().filter(|s| s.node == *node).map(|s| s.phase.as_str()).collect();
                return Err(miette!("{node} was never seen out: {phases:?}"));
            };
            // From when it was surely out until it was last surely so: an answer tells of the time at which it was asked for.
            let span = first.at.1..last.at.0;
            let there = |run: &&crate::standins::Run| {
                *node == format!("backend:{}", run.backend) || *node == format!("zone:{}", run.zone)
            };
            let late = runs.iter().filter(there).filter(|run| span.contains(&run.at)).count();
            let ms = last.at.0.saturating_duration_since(first.at.1).as_millis();
            check(late == 0, format!("{node} was out for {ms} ms at least and got nothing"))?;
        }
        let drained = |s: &&Said| s.phase == "draining" || s.phase == "out";
        let outside =
            said.iter().filter(drained).filter(|s| s.wall + 1 < hours.0 || s.wall >= hours.1).count();
        check(outside == 0, "nothing was drained outside the hours")?;
        let early = said.iter().filter(|s| s.node == "backend:i-reads-0-0" && s.phase != "waiting").count();
        check(early == 0, "what is approved for another night was left alone")?;
    }
    let mut reads: Vec<Duration> = wishes.iter().filter(|w| w.kind == "reads").map(|w| w.took).collect();
    reads.sort();
    let failed = wishes.iter().filter(|w| w.kind == "reads" && w.status != Some(200)).count();
    check(reads.len() > 1000 && failed == 0, format!("{} reads, {failed} without success", reads.len()))?;
    let at = |share: f64| reads[((reads.len() - 1) as f64 * share) as usize];
    Ok(Night { reads: reads.len(), p99: at(0.99), worst: at(1.0) })
}

/// Tells how far ratios spread; nothing where there are none.
pub fn tell_ratios(what: &str, mut ratios: Vec<f64>) {
    ratios.sort_by(f64::total_cmp);
    if let (Some(least), Some(most)) = (ratios.first(), ratios.last()) {
        println!("{what}: median {:.2}, {least:.2} to {most:.2}", ratios[ratios.len() / 2]);
    }
}

/// So many nights, each beside the same one without orders.
pub async fn nights(first: u64, count: u64, pairs: bool, logs: bool) -> Result<()> {
    let mut ratios = Vec::new();
    for seed in first..first + count {
        println!("night {seed}");
        let begun = Instant::now();
        let with = night(seed, true, logs).await?;
        println!(
            "  reads: {}, p99 {:?}, longest {:?}; {:.0} s",
            with.reads,
            with.p99,
            with.worst,
            begun.elapsed().as_secs_f64()
        );
        if pairs {
            let without = night(seed, false, logs).await?;
            let ratio = with.p99.as_secs_f64() / without.p99.as_secs_f64();
            println!(
                "  without orders: p99 {:?}, longest {:?}; p99 ratio {ratio:.2}",
                without.p99, without.worst
            );
            ratios.push(ratio);
        }
        if begun.elapsed() > PATIENCE * 8 {
            println!("  this machine is slow");
        }
    }
    tell_ratios("p99 of reads beside the night without orders", ratios);
    Ok(())
}
