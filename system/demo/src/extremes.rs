//! Extreme values of every number and time that an operator can write into a configuration, one at a time: each call has a
//! clear answer, no process ends, and ordinary requests are served afterwards.

use crate::client::send;
use crate::machines::ZONES;
use crate::steps::{self, HOST, PATIENCE, Walk, check};
use hyper::Method;
use miette::{Result, miette};
use rand::seq::SliceRandom;
use rand::{SeedableRng, rngs::ChaCha8Rng};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Each as it would be written for a number.
const NUMBERS: [&str; 9] = [
    "0",
    "1e-300",
    "0.01",
    "1",
    "4294967296",
    "9007199254740993",
    "18446744073709551615",
    "1e300",
    "1.7976931348623157e308",
];
/// Times that mean "at once".
const SHORT_TIMES: [&str; 2] = ["0s", "1ms"];
/// Times that mean "no limit".
const LONG_TIMES: [&str; 7] = [
    "946080001s",
    "9223372036854775807ms",
    "9223372036854775807s",
    "18446744073709551615s",
    "18446744073709551615000s",
    "1e300s",
    "1e308s",
];
/// Rates and bursts that are extreme together.
const LIMIT_PAIRS: [(&str, &str); 5] =
    [("1e-300", "1e300"), ("1e300", "1e-300"), ("1e300", "1e300"), ("0.01", "1e300"), ("1e-300", "1e-300")];
/// How long an extreme value stays in force before requests are sent, and how long connections rest after them.
const IN_FORCE: Duration = Duration::from_millis(300);
/// The tenant without a limit, and one with a limit that is changed.
const UNLIMITED: &str = "key-archive";
const LIMITED: &str = "key-small";

/// A value that an item's field is changed to.
#[derive(Clone, Debug)]
struct Extreme {
    field: &'static str,
    value: String,
    /// The pages let a call with it be refused.
    may_be_refused: bool,
    /// With it in force, requests of the tenant without a limit are served.
    serves: bool,
}

/// The fields of the items that are changed, with their ordinary values as JSON.
const FIELDS: [(&str, &str); 15] = [
    ("maxHeaderBytes", "16384"),
    ("maxBodyBytes", "1000000"),
    ("headerTimeout", "\"3s\""),
    ("idleTimeout", "\"15s\""),
    ("tenantPriority", "1"),
    ("ratePerS", "5"),
    ("burst", "5"),
    ("targetLatency", "\"800ms\""),
    ("timeout", "\"4000ms\""),
    ("maxAttempts", "2"),
    ("routePriority", "1"),
    ("weight", "1"),
    ("maxConnections", "50"),
    ("coldStart", "\"1s\""),
    ("coldPerS", "5"),
];

/// All changes.
fn extremes() -> Vec<Extreme> {
    let mut all = Vec::new();
    for (field, ordinary) in FIELDS {
        let is_time = ordinary.starts_with('"');
        let by_pages = ["timeout", "targetLatency"].contains(&field);
        for value in NUMBERS.into_iter().filter(|_| !is_time) {
            let may_be_refused = field == "weight" && value == "0";
            all.push(Extreme { field, value: value.to_owned(), may_be_refused, serves: false });
        }
        for (values, serves) in [(&SHORT_TIMES[..], false), (&LONG_TIMES[..], !by_pages)] {
            for value in values.iter().filter(|_| is_time) {
                all.push(Extreme { field, value: format!("\"{value}\""), may_be_refused: by_pages, serves });
            }
        }
    }
    for (rate, burst) in LIMIT_PAIRS {
        let value = format!("{rate},{burst}");
        all.push(Extreme { field: "ratePerS,burst", value, may_be_refused: false, serves: true });
    }
    all
}

/// A call with all items that are changed, in which one extreme value stands, or none.
fn call(revision: u32, extreme: Option<&Extreme>) -> String {
    let value = |field: &str| {
        let ordinary = FIELDS.iter().find(|(name, _)| *name == field).map_or("", |(_, value)| value);
        let Some(extreme) = extreme else { return ordinary.to_owned() };
        let mut pairs = extreme.field.split(',').zip(extreme.value.split(','));
        pairs.find(|(name, _)| *name == field).map_or(ordinary, |(_, value)| value).to_owned()
    };
    let revision = format!("{revision:08x}");
    format!(
        r#"{{"upsert":{{"tenants":[{{"name":"small","apiKeys":["{LIMITED}"],"priority":{tenant_priority},"ratePerS":{rate},"burst":{burst},"allowedRegions":[],"revision":"{revision}"}}],"limits":{{"maxHeaderBytes":{header},"maxBodyBytes":{body},"headerTimeout":{header_timeout},"idleTimeout":{idle},"revision":"{revision}"}},"listeners":[{{"hostname":"{HOST}","policy":[{{"name":"listen","routeType":"idempotent","targetLatency":{latency},"priority":{route_priority},"public":false,"revision":"{revision}","matchCriteria":{{"pathPrefix":"/listen/"}},"action":{{"trafficSplit":[{{"service":"play","weight":{weight}}}],"timeout":{timeout},"maxAttempts":{attempts},"allowedRegions":[]}}}}]}}],"backendPools":[{{"name":"play","healthCheckPath":"/health","maxConnections":{connections},"coldStart":{cold_start},"coldPerS":{cold_per_s},"revision":"{revision}"}}]}}}}"#,
        tenant_priority = value("tenantPriority"),
        rate = value("ratePerS"),
        burst = value("burst"),
        header = value("maxHeaderBytes"),
        body = value("maxBodyBytes"),
        header_timeout = value("headerTimeout"),
        idle = value("idleTimeout"),
        latency = value("targetLatency"),
        route_priority = value("routePriority"),
        weight = value("weight"),
        timeout = value("timeout"),
        attempts = value("maxAttempts"),
        connections = value("maxConnections"),
        cold_start = value("coldStart"),
        cold_per_s = value("coldPerS"),
    )
}

/// Plays `count` extreme values in an order drawn by `seed`.
pub async fn play(seed: u64, count: u64, logs: bool, programs: Option<PathBuf>) -> Result<()> {
    let folder = tempfile::tempdir().map_err(|error| miette!("no folder for disks: {error}"))?;
    let mut walk = steps::start(folder.path(), logs, programs).await?;
    let mut all = extremes();
    all.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    all.truncate(usize::try_from(count).unwrap_or(usize::MAX));
    let (mut revision, mut refused) = (1, 0);
    for extreme in &all {
        // Connections that rest while the change comes, and a tenant that is counted.
        let resting = rest(&walk).await?;
        send_all(&mut walk, LIMITED).await;
        revision += 1;
        let status = change(&walk, revision, Some(extreme)).await?;
        refused += usize::from(status == 400);
        if status != 200 && !(status == 400 && extreme.may_be_refused) {
            return Err(miette!("{} {}: answered with {status}", extreme.field, extreme.value));
        }
        sleep(IN_FORCE).await;
        let statuses = send_all(&mut walk, UNLIMITED).await;
        send_all(&mut walk, LIMITED).await;
        sleep(IN_FORCE).await;
        drop(resting);
        no_process_has_ended(&mut walk, extreme)?;
        if extreme.serves && statuses.iter().any(|status| *status != 200) {
            return Err(miette!("{} {}: answered with {statuses:?}", extreme.field, extreme.value));
        }
        revision += 1;
        let status = change(&walk, revision, None).await?;
        if status != 200 {
            return Err(miette!("after {} {}: ordinary values got {status}", extreme.field, extreme.value));
        }
        all_serve(&mut walk, extreme).await?;
        no_process_has_ended(&mut walk, extreme)?;
    }
    check(
        true,
        format!("{} extreme values, {refused} of them refused as the pages say; no process ended", all.len()),
    )
}

async fn rest(walk: &Walk) -> Result<Vec<TcpStream>> {
    let mut resting = Vec::new();
    for zone in 0..ZONES.len() {
        let at = walk.machines.clients(zone);
        resting.push(TcpStream::connect(at).await.map_err(|error| miette!("{at}: {error}"))?);
    }
    Ok(resting)
}

async fn change(walk: &Walk, revision: u32, extreme: Option<&Extreme>) -> Result<u16> {
    let first = revision as usize % ZONES.len();
    let body = call(revision, extreme);
    Ok(walk.until_clear(first, Method::PATCH, "/fennelscale/config", &body).await?.status)
}

/// Sends a request through each proxy; the statuses, 0 without an answer.
async fn send_all(walk: &mut Walk, key: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for zone in 0..ZONES.len() {
        walk.next += 1;
        let id = format!("extreme{:08}", walk.next);
        let headers = [
            ("Host", HOST),
            ("Fennelscale-Request-Id", id.as_str()),
            ("Fennelscale-Deadline-Ms", "4000"),
            ("X-Api-Key", key),
        ];
        let reply = send(walk.machines.clients(zone), Method::GET, "/listen/x", &headers, "").await;
        statuses.push(reply.map_or(0, |reply| reply.status));
    }
    statuses
}

/// Waits until each proxy serves again.
async fn all_serve(walk: &mut Walk, extreme: &Extreme) -> Result<()> {
    let started_at = Instant::now();
    loop {
        let statuses = send_all(walk, UNLIMITED).await;
        if statuses.iter().all(|status| *status == 200) {
            return Ok(());
        }
        if started_at.elapsed() > PATIENCE {
            return Err(miette!("after {} {}: {statuses:?}", extreme.field, extreme.value));
        }
        sleep(Duration::from_millis(20)).await;
    }
}

fn no_process_has_ended(walk: &mut Walk, extreme: &Extreme) -> Result<()> {
    match walk.machines.first_ended() {
        None => Ok(()),
        Some(ended) => Err(miette!("{} {}: {ended}", extreme.field, extreme.value)),
    }
}
