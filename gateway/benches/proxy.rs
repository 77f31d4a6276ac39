//! What a request costs through the system's proxy beside the gateway that is in service: processor time of each process, the
//! same traffic to both in turns, the same kind of stand-in behind both. Loopback only, under two minutes.
//!
//! `cargo bench -p fennelscale --bench proxy`. `FENNELSCALE_RATE` is requests a second (400), `FENNELSCALE_ROUNDS` how often each
//! has its turn (5). Ends with status 1 where the ratio's median is over the goal.

#[path = "../../system/demo/src/client.rs"]
#[allow(dead_code, reason = "the walk uses all of it")]
mod client;
#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../../system/demo/src/machines.rs"]
#[allow(dead_code, reason = "the walk uses all of it")]
mod machines;

use client::send;
use helper::{Client, Mood, Setup, World, connect_from, ok, request, row};
use hyper::Method;
use machines::{Machines, ZONES};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::time::{sleep, sleep_until, timeout};

/// The proxy may cost so many times what the gateway does.
const GOAL: f64 = 1.2;
const PHASE: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(2);
/// What a backend takes for its work.
const WORK: Duration = Duration::from_millis(2);
const BACKENDS: usize = 4;
/// One request of so many comes on a new connection.
const FRESH: u32 = 4;
const CLIENT: Ipv4Addr = Ipv4Addr::new(127, 0, 5, 1);

/// A stand-in that speaks as both kinds of backends do: answers after a while, with the request's id, its own and a stamp.
async fn backend(listener: TcpListener, id: String) {
    while let Ok((stream, _)) = listener.accept().await {
        let id = id.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let mut stream = BufReader::new(stream);
            while let Some(heard) = helper::hear(&mut stream).await {
                sleep(WORK).await;
                let asked = heard.headers.get("fennelscale-request-id").map_or("", String::as_str);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nFennelscale-Request-Id: {asked}\r\nFennelscale-Instance-Id: {id}\r\nFennelscale-Response-Signature: s\r\n\r\nx"
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// The platform's list: all on one page.
async fn platform(listener: TcpListener, listed: Vec<(String, SocketAddr)>) {
    let entry = |(id, at): &(String, SocketAddr)| {
        let zone = ZONES[0].0;
        format!(
            r#"{{"id":"{id}","service":"play","address":"{at}","zone":"{zone}","revision":"v1","capacitySlots":64,"state":"ready","coldRemaining":"0ms"}}"#
        )
    };
    let page = listed.iter().map(entry).collect::<Vec<_>>().join(",");
    let page = ok(&format!(r#"{{"instances":[{page}],"nextPageToken":null}}"#));
    while let Ok((stream, _)) = listener.accept().await {
        let page = page.clone();
        tokio::spawn(async move {
            let mut stream = BufReader::new(stream);
            while helper::hear(&mut stream).await.is_some() {
                if stream.write_all(page.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// What is sent to either: as many bytes of body, as many headers.
#[derive(Clone, Copy)]
enum Kind {
    Gateway,
    Proxy,
}

static IDS: AtomicU64 = AtomicU64::new(1);

fn text(kind: Kind) -> String {
    match kind {
        Kind::Gateway => request("order", 1900, "", "b"),
        Kind::Proxy => {
            let id = IDS.fetch_add(1, Ordering::SeqCst);
            format!(
                "POST /listen/a%20b?c=d HTTP/1.1\r\nHost: music.example\r\nFennelscale-Request-Id: id-{id:012}\r\n\
                 X-Api-Key: 00000000b4d65521\r\nFennelscale-Deadline-Ms: 1900\r\nAccept: */*\r\nX-Terms: units=1,spread=1,first=0\r\n\
                 Content-Length: 1\r\n\r\nb"
            )
        }
    }
}

async fn one(at: SocketAddr, kind: Kind, pool: &Mutex<Vec<Client>>, fresh: bool) -> Option<()> {
    let kept = if fresh { None } else { pool.lock().ok()?.pop() };
    let mut client = match kept {
        Some(client) => client,
        None => Client(BufReader::new(connect_from(CLIENT, at).await.ok()?)),
    };
    client.0.get_mut().write_all(text(kind).as_bytes()).await.ok()?;
    let heard = helper::hear(&mut client.0).await?;
    if heard.status() != 200 {
        return None;
    }
    // A new one is closed again: the pool keeps its size.
    if !fresh && heard.headers.get("connection").is_none_or(|c| c != "close") {
        pool.lock().ok()?.push(client);
    }
    Some(())
}

/// Offers requests at a steady rate; how many there were and how many were served.
async fn offer(at: SocketAddr, kind: Kind, rate: u32, phase: Duration) -> (u64, u64) {
    let pool = Arc::new(Mutex::new(Vec::new()));
    let (start, mut tasks) = (tokio::time::Instant::now(), Vec::new());
    for n in 0..(phase.as_secs_f64() * f64::from(rate)) as u32 {
        sleep_until(start + Duration::from_secs(1) * n / rate).await;
        let pool = pool.clone();
        tasks.push(tokio::spawn(async move {
            // A kept connection may be closed as it is written to: once more.
            for fresh in [n % FRESH == 0, true] {
                if timeout(PATIENCE, one(at, kind, &pool, fresh)).await.ok().flatten().is_some() {
                    return true;
                }
            }
            false
        }));
    }
    let (mut offered, mut served) = (0, 0);
    for task in tasks {
        offered += 1;
        served += u64::from(task.await.unwrap_or(false));
    }
    (offered, served)
}

/// Time on a processor of all threads of a process (`/proc/PID/task/*/schedstat`, proc(5)).
fn cpu(process: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let ns = tasks.filter_map(|task| {
        let stat = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(ns.sum())
}

/// One turn: processor time of a request, in us, with all that the process does beside.
async fn turn(at: SocketAddr, kind: Kind, rate: u32, process: u32) -> f64 {
    offer(at, kind, rate, Duration::from_millis(500)).await;
    let start = cpu(process);
    let (offered, served) = offer(at, kind, rate, PHASE).await;
    let used = cpu(process) - start;
    assert_eq!(offered, served, "a calm turn serves all");
    used.as_secs_f64() * 1e6 / offered as f64
}

fn config() -> String {
    let tenant = r#"{"name":"archive","apiKeys":["00000000b4d65521"],"priority":1,"ratePerS":5000,"burst":50000,"allowedRegions":[],"revision":"00000001"}"#;
    let route = r#"{"name":"listen","routeType":"non_idempotent","targetLatency":"800ms","priority":1,"public":false,"revision":"00000001","matchCriteria":{"pathPrefix":"/listen/"},"action":{"service":"play","timeout":"4000ms","maxAttempts":2,"allowedRegions":[]}}"#;
    let service = r#"{"name":"play","healthCheckPath":"/health","maxConnections":500,"revision":"00000001"}"#;
    format!(
        r#"{{"upsert":{{"tenants":[{tenant}],"listeners":[{{"hostname":"music.example","policy":[{route}]}}],"backendPools":[{service}]}}}}"#
    )
}

/// The system with one proxy under load: all its programs, and the proxy's process.
async fn system(folder: &std::path::Path) -> (Machines, u32) {
    let mut machines = Machines::new(folder, std::env::var_os("FENNELSCALE_LOGS").is_some(), 0);
    let mut listed = Vec::new();
    for n in 0..BACKENDS {
        let (id, at) = (format!("i-play-{n}"), machines.backend(0, n as u8));
        tokio::spawn(backend(
            TcpListener::bind(at).await.expect("an address of the loopback range"),
            id.clone(),
        ));
        listed.push((id, at));
    }
    tokio::spawn(platform(TcpListener::bind(machines.platform()).await.expect("an address"), listed));
    for zone in 0..ZONES.len() {
        for program in ["fennelscale-proxy", "fennelscale-config-store", "fennelscale-registry"] {
            machines.start(zone, program, true).expect("a program of the system");
        }
    }
    helper::soon("the first configuration", async {
        let headers = [("Content-Type", "application/json")];
        let path = "/fennelscale/config";
        for zone in (0..ZONES.len()).cycle() {
            let reply = send(machines.control(zone), Method::PATCH, path, &headers, config()).await;
            if reply.is_some_and(|reply| reply.status == 200) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    helper::soon("a ready proxy", async {
        let path = "/fennelscale/readiness";
        while send(machines.readiness(0), Method::GET, path, &[], "").await.is_none_or(|r| r.status != 200) {
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    let process = machines.process(0, "fennelscale-proxy").expect("the proxy runs");
    (machines, process)
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

async fn compare() -> ExitCode {
    let number =
        |name: &str, usual: u32| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(usual);
    let (rate, rounds) = (number("FENNELSCALE_RATE", 400), number("FENNELSCALE_ROUNDS", 5));
    let mut rows = Vec::new();
    for n in 0..BACKENDS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        rows.push(row(&format!("b{n}"), listener.local_addr().expect("an address"), "in_service"));
        tokio::spawn(backend(listener, format!("b{n}")));
    }
    let setup = Setup { rate: 5000.0, burst: 50_000.0, ..Setup::knowing(&rows) };
    let world = World::set(&setup, Mood::Adds).await;
    let folder = tempfile::tempdir().expect("a folder for disks");
    let (machines, process) = system(folder.path()).await;
    println!("processor time of a request, {rate} a second, one of {FRESH} on a new connection, in turns:");
    let begun = Instant::now();
    let (mut gateways, mut proxies, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..rounds.max(1) {
        let gateway = turn(world.gateway.at, Kind::Gateway, rate, world.gateway.id()).await;
        let proxy = turn(machines.clients(0), Kind::Proxy, rate, process).await;
        println!(
            "  round {round}: gateway {gateway:.0} us, proxy {proxy:.0} us, ratio {:.2}",
            proxy / gateway
        );
        gateways.push(gateway);
        proxies.push(proxy);
        ratios.push(proxy / gateway);
    }
    // What the proxy does when nobody asks it for anything is in the turns above.
    let idle = cpu(process);
    sleep(PHASE).await;
    let idle = (cpu(process) - idle).as_secs_f64() * 1e3 / PHASE.as_secs_f64();
    let ratio = median(ratios);
    println!(
        "  medians: gateway {:.0} us, proxy {:.0} us, ratio {ratio:.2} (goal {GOAL}); the idle proxy uses {idle:.2} ms a second; {:.0} s",
        median(gateways),
        median(proxies),
        begun.elapsed().as_secs_f64()
    );
    if ratio <= GOAL { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn main() -> ExitCode {
    // Machines start this same program as one of the system's.
    match std::env::args().nth(1).as_deref() {
        Some("fennelscale-proxy") => return fennelscale_proxy::run_plain(),
        Some("fennelscale-registry") => return fennelscale_registry::run_plain(),
        Some("fennelscale-config-store") => return fennelscale_config_store::run_plain(),
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, compare())
}
