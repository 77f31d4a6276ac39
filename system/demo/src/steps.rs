//! The steps, each a promise of the system seen from outside.

use crate::client::{Reply, send};
use crate::machines::{Machines, ZONES};
use crate::standins::{Listed, Outside, backend, platform};
use hyper::Method;
use miette::{Result, miette};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

pub const PATIENCE: Duration = Duration::from_secs(25);
pub const HOST: &str = "music.example";

pub struct Walk {
    pub machines: Machines,
    pub outside: Rc<Outside>,
    pub next: u32,
}

pub fn check(holds: bool, what: impl Into<String>) -> Result<()> {
    let what = what.into();
    if holds {
        println!("  held: {what}");
        Ok(())
    } else {
        Err(miette!("did not hold: {what}"))
    }
}

/// The first configuration, and routes as later calls send them.
pub fn route(name: &str, kind: &str, prefix: &str, service: &str, revision: &str, regions: &str) -> String {
    format!(
        r#"{{"hostname":"{HOST}","policy":[{{"name":"{name}","routeType":"{kind}","targetLatency":"800ms","priority":1,"public":false,"revision":"{revision}","matchCriteria":{{"pathPrefix":"{prefix}"}},"action":{{"service":"{service}","timeout":"4000ms","maxAttempts":2,"allowedRegions":[{regions}]}}}}]}}"#
    )
}

fn first_config() -> String {
    let tenant = |name: &str, key: &str, rate: u32| {
        format!(
            r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1,"ratePerS":{rate},"burst":{rate},"allowedRegions":[],"revision":"00000001"}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":50,"coldStart":"1s","coldPerS":5,"revision":"00000001"}}"#
        )
    };
    format!(
        r#"{{"upsert":{{"tenants":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3s","idleTimeout":"15s","revision":"00000001"}},"listeners":[{},{},{}],"backendPools":[{},{}]}},"remove":{{"routes":[]}}}}"#,
        tenant("archive", "key-archive", 0),
        tenant("small", "key-small", 5),
        route("listen", "idempotent", "/listen/", "play", "00000001", ""),
        route("deposit", "upload", "/deposit/", "intake", "00000001", ""),
        route("home", "idempotent", "/home/", "play", "00000001", "\"alder\""),
        service("play"),
        service("intake"),
    )
}

impl Walk {
    fn id(&mut self) -> String {
        self.next += 1;
        format!("walk{:06}", self.next)
    }

    async fn ask(
        &mut self, zone: usize, method: Method, path: &str, key: Option<&str>, body: &str,
    ) -> (String, Option<Reply>) {
        let id = self.id();
        let mut headers = vec![
            ("Host", HOST),
            ("Fennelscale-Request-Id", id.as_str()),
            ("Fennelscale-Deadline-Ms", "4000"),
        ];
        headers.extend(key.map(|key| ("X-Api-Key", key)));
        let reply = send(self.machines.clients(zone), method, path, &headers, body.to_owned()).await;
        (id, reply)
    }

    async fn status(&mut self, zone: usize, path: &str, key: Option<&str>) -> u16 {
        self.ask(zone, Method::GET, path, key, "").await.1.map_or(0, |reply| reply.status)
    }

    /// Asks again until a status comes: the events that are waited for have no other sign outside.
    async fn until(&mut self, zone: usize, path: &str, key: Option<&str>, status: u16) -> Result<Duration> {
        let begun = Instant::now();
        while self.status(zone, path, key).await != status {
            if begun.elapsed() > PATIENCE {
                return Err(miette!("{path} in {} never answered {status}", ZONES[zone].0));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(begun.elapsed())
    }

    async fn operator(&self, zone: usize, method: Method, path: &str, body: &str) -> Option<Reply> {
        send(
            self.machines.control(zone),
            method,
            path,
            &[("Content-Type", "application/json")],
            body.to_owned(),
        )
        .await
    }

    /// As an operator does: the same call again, at the next gateway, until one answers clearly.
    pub async fn until_clear(&self, first: usize, method: Method, path: &str, body: &str) -> Result<Reply> {
        let begun = Instant::now();
        for zone in (0..ZONES.len()).cycle().skip(first) {
            if let Some(reply) =
                self.operator(zone, method.clone(), path, body).await.filter(|r| r.status < 500)
            {
                return Ok(reply);
            }
            if begun.elapsed() > PATIENCE {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(miette!("{method} {path} never had a clear answer"))
    }
}

pub async fn until_ready(at: SocketAddr) -> Result<()> {
    let begun = Instant::now();
    while send(at, Method::GET, "/fennelscale/readiness", &[], "").await.is_none_or(|r| r.status != 200) {
        if begun.elapsed() > PATIENCE {
            return Err(miette!("{at} never was ready"));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Starts stand-ins, three core machines and three proxies, and has the first configuration acknowledged.
/// The programs are those of this executable, or of `programs`.
pub async fn start(folder: &Path, logs: bool, programs: Option<PathBuf>) -> Result<Walk> {
    let outside = Rc::new(Outside::default());
    let mut walk = Walk { machines: Machines::new(folder, logs, 0), outside, next: 0 };
    walk.machines.programs = programs;
    let io = |error: std::io::Error| miette!("stand-ins: {error}");
    platform(&walk.outside, walk.machines.platform()).await.map_err(io)?;
    for (zone, (name, _)) in ZONES.iter().enumerate() {
        for (number, service) in ["play", "intake"].into_iter().enumerate() {
            let address = walk.machines.backend(zone, number as u8);
            let (id, zone) = (format!("i-{service}-{zone}"), (*name).to_owned());
            let listed = Listed { id, service: service.into(), address, zone, state: "ready" };
            backend(&walk.outside, listed).await.map_err(io)?;
        }
    }
    println!("three core machines and three proxies start, in no order");
    for zone in 0..ZONES.len() {
        walk.machines.start(zone, "fennelscale-proxy", true)?;
        walk.machines.start(zone, "fennelscale-config-store", true)?;
        walk.machines.start(zone, "fennelscale-registry", true)?;
    }
    configuration(&mut walk).await?;
    Ok(walk)
}

/// All steps.
pub async fn walk(logs: bool, stay: u64) -> Result<()> {
    let folder = tempfile::tempdir().map_err(|error| miette!("no folder for disks: {error}"))?;
    let mut walk = start(folder.path(), logs, None).await?;
    requests(&mut walk).await?;
    changes(&mut walk).await?;
    if stay > 0 {
        let at: Vec<String> =
            (0..ZONES.len()).map(|zone| format!("--at {}", walk.machines.control(zone))).collect();
        println!("for {stay} s: fennelctl {} status", at.join(" "));
        sleep(Duration::from_secs(stay)).await;
    }
    losses(&mut walk).await?;
    feed(&mut walk).await?;
    moves(&mut walk).await?;
    leaving(&mut walk).await
}

async fn configuration(walk: &mut Walk) -> Result<()> {
    println!("the operator sends the first configuration");
    let reply = walk.until_clear(1, Method::PATCH, "/fennelscale/config", &first_config()).await?;
    check(reply.status == 200, format!("acknowledged: {}", reply.status))?;
    let cut = &first_config()[..400];
    let reply = walk.until_clear(0, Method::PATCH, "/fennelscale/config", cut).await?;
    check(reply.status == 400, "a call cut short is refused with 400")?;
    for zone in 0..ZONES.len() {
        until_ready(walk.machines.readiness(zone)).await?;
    }
    check(true, "all proxies are ready")?;
    // Registries tell each other within a beat.
    let path = format!("/fennelscale/resolve?name={HOST}&region=birch&zone=birch-a");
    let (begun, near) = (Instant::now(), format!("[\"{}\"]", walk.machines.clients(1)));
    loop {
        let reply = send(walk.machines.directory(0), Method::GET, &path, &[], "").await;
        if reply.is_some_and(|r| r.status == 200 && r.text().contains(&near)) {
            break;
        }
        if begun.elapsed() > PATIENCE {
            return Err(miette!("the directory never names the proxy of the client's region"));
        }
        sleep(Duration::from_millis(20)).await;
    }
    check(true, "the directory names the proxy of the client's region")?;
    let read = walk.until_clear(2, Method::GET, "/fennelscale/config", "").await?;
    check(read.text().contains(r#""apiKeys":["key-small"]"#), "items are read back as they were sent")
}

async fn requests(walk: &mut Walk) -> Result<()> {
    println!("clients come");
    let (id, reply) = walk.ask(0, Method::GET, "/listen/tape", Some("key-archive"), "").await;
    let reply = reply.ok_or_else(|| miette!("no answer"))?;
    let runs = walk.outside.runs_of(&id);
    check(
        reply.status == 200 && reply.header("fennelscale-response-signature") == Some("sig"),
        "served, with its stamp",
    )?;
    let run = runs.first().ok_or_else(|| miette!("no backend saw it"))?;
    check(
        run.tenant == "archive" && !run.key && runs.len() == 1,
        "the tenant's name goes on, its key does not",
    )?;
    check(run.zone == ZONES[0].0, "by a backend of the proxy's zone")?;
    check(walk.status(1, "/listen/x", Some("nobody")).await == 401, "401 for a key that nobody holds")?;
    check(walk.status(1, "/listen/x", None).await == 401, "401 without a key")?;
    check(walk.status(1, "/nowhere/x", Some("key-archive")).await == 404, "404 without a route")?;
    let body = "x".repeat(200_000);
    let (id, reply) = walk.ask(2, Method::POST, "/deposit/reel", Some("key-archive"), &body).await;
    let runs = walk.outside.runs_of(&id);
    check(
        reply.is_some_and(|r| r.status == 200) && runs.len() == 1 && runs[0].bytes == body.len(),
        "an upload goes on whole, once",
    )?;
    let (id, reply) = walk.ask(2, Method::POST, "/deposit/fail", Some("key-archive"), "x").await;
    check(
        reply.is_some_and(|r| r.status == 500) && walk.outside.ran(&id) == 1,
        "a backend's failure is not repeated where that may do harm",
    )?;
    let (id, reply) = walk.ask(2, Method::GET, "/home/x", Some("key-archive"), "").await;
    let home = walk.outside.runs_of(&id).iter().all(|run| run.zone == ZONES[0].0);
    check(reply.is_some_and(|r| r.status == 200) && home, "a route with a home is served there")?;
    let (mut served, mut over, mut told) = (0, 0, true);
    let begun = Instant::now();
    for n in (0..3).cycle() {
        if begun.elapsed() > Duration::from_secs(3) {
            break;
        }
        let (_, reply) = walk.ask(n, Method::GET, "/listen/x", Some("key-small"), "").await;
        let Some(reply) = reply else { continue };
        served += usize::from(reply.status == 200);
        over += usize::from(reply.status == 429);
        told &= reply.status != 429 || reply.header("retry-after").is_some_and(|w| w.parse::<f64>().is_ok());
    }
    check(
        over > 20 && (9..=25).contains(&served) && told,
        format!("a tenant of 5 a second, for 3 s: {served} served, {over} told when to come back"),
    )
}

async fn changes(walk: &mut Walk) -> Result<()> {
    println!("the configuration changes");
    let change = |revision: &str, prefix: &str| {
        let route = route("fresh", "idempotent", prefix, "play", revision, "");
        format!(r#"{{"upsert":{{"listeners":[{route}]}}}}"#)
    };
    let (a, b) = (change("00000005", "/one/"), change("00000005", "/other/"));
    let (one, other) = tokio::join!(
        walk.operator(0, Method::PATCH, "/fennelscale/config", &a),
        walk.operator(2, Method::PATCH, "/fennelscale/config", &b)
    );
    let mut told: Vec<u16> = [one, other].into_iter().flatten().map(|reply| reply.status).collect();
    told.sort_unstable();
    check(
        told.iter().filter(|s| **s == 200).count() <= 1,
        format!("of two contents of one version one is taken: {told:?}"),
    )?;
    let reply =
        walk.until_clear(1, Method::PATCH, "/fennelscale/config", &change("00000009", "/fresh/")).await?;
    check(reply.status == 200, "a higher version is taken")?;
    for zone in 0..ZONES.len() {
        walk.until(zone, "/fresh/x", Some("key-archive"), 200).await?;
    }
    check(
        walk.status(0, "/one/x", Some("key-archive")).await == 404,
        "in force at every proxy, the older one nowhere",
    )?;
    let drop = r#"{"remove":{"routes":[{"name":"fresh","revision":"0000000a"}]}}"#;
    let reply = walk.until_clear(0, Method::PATCH, "/fennelscale/config", drop).await?;
    walk.until(1, "/fresh/x", Some("key-archive"), 404).await?;
    check(reply.status == 200, "dropped, and gone")?;
    let reply =
        walk.until_clear(1, Method::PATCH, "/fennelscale/config", &change("00000007", "/late/")).await?;
    let gone = walk.status(2, "/late/x", Some("key-archive")).await == 404;
    check(reply.status == 200 && gone, "an older change that comes again has no effect")?;
    let reply = walk.until_clear(0, Method::POST, "/fennelscale/evacuations/alder-a", "").await?;
    check(reply.status == 200, "a zone is to be emptied")?;
    let begun = Instant::now();
    loop {
        let (id, _) = walk.ask(0, Method::GET, "/listen/x", Some("key-archive"), "").await;
        if walk.outside.runs_of(&id).iter().all(|run| run.zone != ZONES[0].0) {
            break;
        }
        if begun.elapsed() > Duration::from_secs(5) {
            return Err(miette!("the zone still gets requests"));
        }
    }
    check(true, "its backends get nothing more")?;
    let reply = walk.until_clear(0, Method::DELETE, "/fennelscale/evacuations/alder-a", "").await?;
    check(reply.status == 200, "and is taken back")
}

async fn losses(walk: &mut Walk) -> Result<()> {
    println!("a core machine is killed; the platform drains a backend");
    walk.machines.signal(0, "fennelscale-config-store", Signal::KILL);
    walk.machines.signal(0, "fennelscale-registry", Signal::KILL);
    for program in ["fennelscale-config-store", "fennelscale-registry"] {
        walk.machines.ended(0, program).await;
    }
    let (mut served, mut asked) = (0, 0);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(2) {
        asked += 1;
        served += usize::from(walk.status(0, "/listen/x", Some("key-archive")).await == 200);
    }
    check(served == asked, format!("clients of its zone are served on: {served} of {asked}"))?;
    let route = route("after", "idempotent", "/after/", "play", "00000002", "");
    let change = format!(r#"{{"upsert":{{"listeners":[{route}]}}}}"#);
    let reply = walk.until_clear(1, Method::PATCH, "/fennelscale/config", &change).await?;
    check(reply.status == 200, "two of three acknowledge a change")?;
    walk.until(0, "/after/x", Some("key-archive"), 200).await?;
    walk.machines.start(0, "fennelscale-config-store", false)?;
    walk.machines.start(0, "fennelscale-registry", false)?;
    let begun = Instant::now();
    let read = loop {
        match walk.operator(0, Method::GET, "/fennelscale/config", "").await {
            Some(reply) if reply.status == 200 => break reply,
            _ if begun.elapsed() > PATIENCE => return Err(miette!("the core machine never answered again")),
            _ => sleep(Duration::from_millis(30)).await,
        }
    };
    check(read.text().contains("/after/"), "back from its disk it reads what was changed meanwhile")?;
    let begun = Instant::now();
    walk.outside.listed.borrow_mut()[0].state = "draining";
    let drained = walk.outside.listed.borrow()[0].id.clone();
    sleep(Duration::from_millis(100)).await;
    loop {
        let (id, _) = walk.ask(0, Method::GET, "/listen/x", Some("key-archive"), "").await;
        if walk.outside.runs_of(&id).iter().all(|run| run.backend != drained) {
            break;
        }
        if begun.elapsed() > Duration::from_secs(4) {
            return Err(miette!("a backend that drains still gets requests after 4 s"));
        }
    }
    check(
        true,
        format!("the backend gets nothing more {:.1} s after it drains", begun.elapsed().as_secs_f64()),
    )
}

/// The platform moves: who is told so by SIGHUP asks there at once.
async fn moves(walk: &mut Walk) -> Result<()> {
    println!("the platform's list is elsewhere");
    let to = SocketAddr::new(walk.machines.platform().ip(), walk.machines.platform().port() + 1);
    platform(&walk.outside, to).await.map_err(|error| miette!("stand-ins: {error}"))?;
    walk.machines.move_platform(to)?;
    (0..ZONES.len()).for_each(|zone| walk.machines.signal(zone, "fennelscale-registry", Signal::HUP));
    let begun = Instant::now();
    while walk.outside.list_calls.borrow().get(&to).is_none_or(|calls| *calls < 2) {
        if begun.elapsed() > PATIENCE {
            return Err(miette!("nobody asks where the list is now"));
        }
        sleep(Duration::from_millis(20)).await;
    }
    check(true, format!("it is asked for there {:.1} s after SIGHUP", begun.elapsed().as_secs_f64()))
}

/// The feed of a registry tells what was done, once each, and goes on at its cursor.
async fn feed(walk: &mut Walk) -> Result<()> {
    let read = walk.until_clear(1, Method::GET, "/fennelscale/events?after=", "").await?;
    let text = read.text();
    let tells =
        ["zone-evacuated", "zone-back", "item-chosen", "item-dropped", "backend-draining", "member-joined"];
    let missing: Vec<&str> =
        tells.into_iter().filter(|kind| !text.contains(&format!("\"kind\":\"{kind}\""))).collect();
    check(missing.is_empty(), format!("the feed tells of all that was done {missing:?}"))?;
    let only = walk.until_clear(1, Method::GET, "/fennelscale/events?kind=zone-back&what=alder", "").await?;
    check(only.text().matches("\"id\"").count() == 1, "and by kind and place of one")?;
    let wrong = walk.until_clear(1, Method::GET, "/fennelscale/events?kind=nothing", "").await?;
    check(wrong.status == 400, "a kind that there is not is refused with what there is")?;
    let (id, reply) = walk.ask(0, Method::GET, "/listen/x", Some("key-archive"), "").await;
    let told = walk.until_clear(2, Method::GET, &format!("/fennelscale/requests/{id}"), "").await?.text();
    let runs = walk.outside.runs_of(&id);
    let backend = runs.last().map(|run| format!("\"backend\":\"{}\"", run.backend)).unwrap_or_default();
    check(
        reply.is_some_and(|r| r.status == 200)
            && told.contains(&backend)
            && told.contains("\"route\":\"listen\"")
            && told.contains("\"status\":200,\"why\":\"served\""),
        "a gateway of another region tells which proxy had a request, by which route, and which backend ran it",
    )?;
    let (id, _) = walk.ask(1, Method::GET, "/listen/x", Some("key-unknown"), "").await;
    let told = walk.until_clear(0, Method::GET, &format!("/fennelscale/requests/{id}"), "").await?.text();
    check(told.contains("\"status\":401"), "and why one was refused")?;
    println!("all registries are killed and start again, between two questions of a reader");
    let refused = walk.until_clear(1, Method::PATCH, "/fennelscale/config", "{").await?;
    check(refused.status == 400, "a call that was cut short is refused")?;
    let cursor =
        text.split("\"cursor\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or_default();
    // Events go to the disk once a second.
    sleep(Duration::from_millis(1300)).await;
    for zone in 0..ZONES.len() {
        walk.machines.signal(zone, "fennelscale-registry", Signal::KILL);
        walk.machines.ended(zone, "fennelscale-registry").await;
    }
    for zone in 0..ZONES.len() {
        walk.machines.start(zone, "fennelscale-registry", false)?;
    }
    let begun = Instant::now();
    let path = format!("/fennelscale/events?after={cursor}&kind=call-refused");
    // Until the registries hear each other, one has only its own.
    loop {
        let read = walk.until_clear(2, Method::GET, &path, "").await?.text();
        if read.contains("\"what\":\"config\"") && read.contains("\"missed\":true") {
            break;
        }
        if begun.elapsed() > PATIENCE {
            return Err(miette!("a cursor did not go on over the end of all registries: {read}"));
        }
        sleep(Duration::from_millis(50)).await;
    }
    check(
        true,
        "its cursor goes on at another gateway, from what the disks kept, and says that lives ended",
    )?;
    let past = "/fennelscale/events?after=oldest&kind=zone-back&what=alder";
    let past = walk.until_clear(0, Method::GET, past, "").await?.text();
    check(past.matches("\"id\"").count() == 1, "what happened before is told once, whoever saw it")
}

async fn leaving(walk: &mut Walk) -> Result<()> {
    println!("a proxy is told to end while it has a request");
    let (at, id) = (walk.machines.clients(1), walk.id());
    let open = spawn_local(async move {
        let headers = [
            ("Host", HOST),
            ("Fennelscale-Request-Id", id.as_str()),
            ("Fennelscale-Deadline-Ms", "4000"),
            ("X-Api-Key", "key-archive"),
        ];
        send(at, Method::POST, "/deposit/sleep-1200", &headers, "x".repeat(50_000)).await
    });
    sleep(Duration::from_millis(300)).await;
    walk.machines.signal(1, "fennelscale-proxy", Signal::TERM);
    let begun = Instant::now();
    let path = format!("/fennelscale/resolve?name={HOST}&region=birch&zone=birch-a");
    loop {
        let reply = send(walk.machines.directory(0), Method::GET, &path, &[], "").await;
        if reply.is_some_and(|r| r.status == 200 && !r.text().contains(&at.to_string())) {
            break;
        }
        if begun.elapsed() > Duration::from_secs(3) {
            return Err(miette!("the directory still names a proxy that leaves"));
        }
        sleep(Duration::from_millis(20)).await;
    }
    check(true, format!("the directory leaves it out after {:.2} s", begun.elapsed().as_secs_f64()))?;
    let reply = open.await.ok().flatten();
    check(reply.is_some_and(|r| r.status == 200), "its request is answered")?;
    let status = walk.machines.ended(1, "fennelscale-proxy").await;
    check(
        status == Some(0) && begun.elapsed() < Duration::from_secs(3),
        "it ends with status 0 within its grace period",
    )
}
