//! Named callers fail and nobody else: a choir's deposits are cut at three quarters, answers to a seller's payments are lost,
//! over three regions with real processes, while clerks, listeners and scholars go on. Judged from what stand-ins and clients saw:
//!
//! - what was named failed, no more often than the order allows, and only in its time; it ran at most once;
//! - an answer that was lost was of a payment that ran once; a deposit that was cut did not run;
//! - everybody else was served, and reads took as long as in the same minute without orders (told, not judged by one run).

use crate::machines::{Machines, PROXY, ZONES};
use crate::night::{Client, Seen, Wish, mix, tell_ratios, wall};
use crate::standins::{Listed, Outside, backend, platform};
use crate::steps::{Walk, check, route, until_ready};
use hyper::Method;
use miette::{Result, miette};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

const SERVICES: [&str; 3] = ["reads", "register", "intake"];
/// When the orders begin after they are sent, how long they last, and how long it goes on behind them, in s.
const BEFORE: u64 = 5;
const LASTS: u64 = 8;
const BEHIND: u64 = 4;
/// How many each order may fail.
const MOST: usize = 30;
/// True time is known within this.
const SLACK: Duration = Duration::from_millis(2500);

/// Who asks for what: kind of wish, tenant's key, pace in ms, bytes.
const CALLERS: [(&str, &str, u64, usize); 4] = [
    ("reads", "key-listener", 25, 0),
    ("records", "key-clerk", 80, 100),
    ("register", "key-seller", 80, 200),
    ("intake", "key-choir", 150, 60_000),
];

fn config() -> String {
    let service = |name: &&str| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":50,"revision":"00000001"}}"#
        )
    };
    let tenant = |(_, key, ..): &(&str, &str, u64, usize)| {
        let name = key.trim_start_matches("key-");
        format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1,"ratePerS":0,"revision":"00000001"}}"#)
    };
    let kinds = ["idempotent", "non_idempotent", "upload"];
    let routes =
        SERVICES.iter().zip(kinds).map(|(s, kind)| route(s, kind, &format!("/{s}/"), s, "00000001", ""));
    format!(
        r#"{{"upsert":{{"listeners":[{}],"backendPools":[{}],"tenants":[{}]}}}}"#,
        routes.collect::<Vec<_>>().join(","),
        SERVICES.iter().map(service).collect::<Vec<_>>().join(","),
        CALLERS.iter().map(tenant).collect::<Vec<_>>().join(",")
    )
}

fn moment(s: u64) -> String {
    jiff::Timestamp::from_second(s as i64).unwrap_or_default().to_string()
}

fn order(name: &str, revision: u32, tenant: &str, what: &str, times: (u64, u64), state: &str) -> String {
    let (from, until) = (moment(times.0), moment(times.1));
    format!(
        r#"{{"upsert":{{"failureOrders":[{{"name":"{name}","revision":"{revision:08x}","whom":{{"tenants":["{tenant}"]}},"what":{what},"from":"{from}","until":"{until}","most":{{"inAll":{MOST},"perS":40}},"state":"{state}"}}]}}}}"#
    )
}

/// What a rehearsal came to.
pub struct Course {
    reads: usize,
    p99: Duration,
}

async fn send(walk: &Walk, body: &str) -> Result<u16> {
    Ok(walk.until_clear(1, Method::PATCH, "/fennelscale/config", body).await?.status)
}

/// One rehearsal; without orders for comparison.
pub async fn rehearse(seed: u64, with_orders: bool, logs: bool) -> Result<Course> {
    let folder = tempfile::tempdir().map_err(|error| miette!("no folder for disks: {error}"))?;
    let outside = Rc::new(Outside::default());
    let turn = 2 * seed + u64::from(with_orders);
    let mut walk = Walk { machines: Machines::new(folder.path(), logs, turn), outside, next: 0 };
    let io = |error: std::io::Error| miette!("stand-ins: {error}");
    platform(&walk.outside, walk.machines.platform()).await.map_err(io)?;
    for (zone, (name, _)) in ZONES.iter().enumerate() {
        for (number, service) in SERVICES.iter().enumerate() {
            let address = walk.machines.backend(zone, number as u8);
            let (id, zone) = (format!("i-{service}-{zone}"), (*name).to_owned());
            let listed = Listed { id, service: (*service).into(), address, zone, state: "ready" };
            backend(&walk.outside, listed).await.map_err(io)?;
        }
        for program in ["fennelscale-proxy", "fennelscale-config-store", "fennelscale-registry"] {
            walk.machines.start(zone, program, true)?;
        }
    }
    check(send(&walk, &config()).await? == 200, "the configuration is acknowledged")?;
    for zone in 0..ZONES.len() {
        until_ready(walk.machines.readiness_of(zone, PROXY)).await?;
    }
    let seen = Rc::new(Seen::default());
    let directory: Vec<SocketAddr> = (0..ZONES.len()).map(|zone| walk.machines.directory(zone)).collect();
    for zone in 0..ZONES.len() {
        for (kind, key, pace, body) in CALLERS {
            let client = Client { seen: seen.clone(), directory: directory.clone(), zone, key: Some(key) };
            spawn_local(Rc::new(client).keep_wanting(kind, Duration::from_millis(pace), body, seed));
        }
    }
    let now = wall();
    let times = (now + BEFORE, now + BEFORE + LASTS);
    let begins = Instant::now() + Duration::from_secs(BEFORE);
    if with_orders {
        orders(&walk, times).await?;
    }
    let stop = LASTS / 2;
    sleep(Duration::from_secs(BEFORE + stop)).await;
    let stopped = Instant::now();
    if with_orders {
        let body = order("payments", 2, "seller", r#"{"kind":"lose-answer"}"#, times, "stopped");
        check(send(&walk, &body).await? == 200, "the seller's order is stopped half way")?;
    }
    // A proxy dies under the other order, and comes back into it.
    let killed = (seed % 2 == 1).then(|| mix(seed) as usize % ZONES.len());
    if let Some(zone) = killed {
        walk.machines.signal(zone, "fennelscale-proxy", Signal::KILL);
        walk.machines.ended(zone, "fennelscale-proxy").await;
        walk.machines.start(zone, "fennelscale-proxy", false)?;
    }
    sleep(Duration::from_secs(LASTS - stop + BEHIND)).await;
    seen.over.set(true);
    sleep(Duration::from_secs(5)).await;
    let ends = begins + Duration::from_secs(LASTS);
    judge(&walk, &seen, (begins, stopped, ends), with_orders, killed.is_some())
}

async fn orders(walk: &Walk, times: (u64, u64)) -> Result<()> {
    let cut = r#"{"kind":"cut-request","share":0.75}"#;
    for body in [
        order("deposits", 1, "choir", cut, times, "running"),
        order("payments", 1, "seller", r#"{"kind":"lose-answer"}"#, times, "running"),
        order("browsing", 1, "listener", r#"{"kind":"refuse"}"#, times, "dry"),
    ] {
        let reply = walk.until_clear(1, Method::PATCH, "/fennelscale/config", &body).await?;
        check(reply.status == 200, format!("an order is acknowledged {}", reply.text()))?;
    }
    let everybody =
        order("all", 1, "x", r#"{"kind":"refuse"}"#, times, "running").replace(r#""tenants":["x"]"#, "");
    check(send(walk, &everybody).await? == 400, "one that names everybody is refused without a second word")?;
    let long = order("long", 1, "choir", cut, (times.0, times.0 + 3600), "running");
    check(send(walk, &long).await? == 400, "one that lasts longer than the settings allow is refused")
}

/// Of what failed: how many had which answer, and the longest of them.
fn answers(failed: &[&Wish]) -> String {
    let mut answers: BTreeMap<Option<u16>, (usize, Duration)> = BTreeMap::new();
    for wish in failed {
        let (many, longest) = answers.entry(wish.status).or_default();
        (*many, *longest) = (*many + 1, wish.took.max(*longest));
    }
    let tell = |(status, (many, longest)): (Option<u16>, (usize, Duration))| match status {
        Some(status) => format!(", {many} with {status} after {longest:.1?} at most"),
        None => format!(", {many} without an answer after {longest:.1?} at most"),
    };
    answers.into_iter().map(tell).collect()
}

fn judge(
    walk: &Walk, seen: &Seen, (begins, stopped, ends): (Instant, Instant, Instant), with_orders: bool,
    killed: bool,
) -> Result<Course> {
    let wishes = seen.wishes.borrow();
    let runs = walk.outside.runs.borrow();
    let ran = |wish: &Wish| runs.iter().filter(|run| run.item == wish.item).count();
    let of = |kind: &'static str| wishes.iter().filter(move |wish| wish.kind == kind);
    for wish in wishes.iter().filter(|wish| wish.kind != "reads") {
        let times = ran(wish);
        if times > 1 || wish.status == Some(200) && times != 1 {
            return Err(miette!("{} was answered {:?} and ran {times} times", wish.item, wish.status));
        }
    }
    check(
        true,
        format!(
            "of {} things that can't be repeated none ran twice, each that was acknowledged once",
            wishes.len()
        ),
    )?;
    // What a killed proxy had in hand, of anybody: the same without orders.
    let in_hand = if killed { 30 } else { 0 };
    let lost = |kind| of(kind).filter(|wish| wish.status != Some(200)).count();
    let (reads, records) = (lost("reads"), lost("records"));
    check(
        reads == 0 && records <= in_hand,
        format!(
            "{} reads and {} record checks of others were served; {records} were in hand of a killed proxy",
            of("reads").count(),
            of("records").count()
        ),
    )?;
    if with_orders {
        for (kind, until) in [("intake", ends), ("register", stopped + Duration::from_secs(4))] {
            let failed: Vec<&Wish> = of(kind).filter(|wish| wish.status != Some(200)).collect();
            check(
                (1..=MOST + in_hand).contains(&failed.len()),
                format!(
                    "{kind}: {} of {} failed, {MOST} at most{}",
                    failed.len(),
                    of(kind).count(),
                    answers(&failed)
                ),
            )?;
            let out_of_time =
                failed.iter().filter(|w| w.at + w.took + SLACK < begins || w.at > until + SLACK).count();
            check(out_of_time == 0, "none before its time and none behind it")?;
            let run = failed.iter().filter(|wish| ran(wish) == 1).count();
            match kind {
                "intake" => check(run <= in_hand, "a deposit that was cut did not run"),
                _ => check(run + in_hand >= failed.len(), "a payment whose answer was lost ran once"),
            }?;
        }
    }
    let mut took: Vec<Duration> = of("reads").map(|wish| wish.took).collect();
    took.sort();
    check(took.len() > 500, format!("{} reads", took.len()))?;
    Ok(Course { reads: took.len(), p99: took[(took.len() - 1) * 99 / 100] })
}

/// So many rehearsals, each beside the same one without orders.
pub async fn rehearsals(first: u64, count: u64, pairs: bool, logs: bool) -> Result<()> {
    let mut ratios = Vec::new();
    for seed in first..first + count {
        println!("rehearsal {seed}");
        let with = rehearse(seed, true, logs).await?;
        println!("  unnamed reads: {}, p99 {:?}", with.reads, with.p99);
        if pairs {
            let without = rehearse(seed, false, logs).await?;
            let ratio = with.p99.as_secs_f64() / without.p99.as_secs_f64();
            println!("  without orders: p99 {:?}; ratio {ratio:.2}", without.p99);
            ratios.push(ratio);
        }
    }
    tell_ratios("p99 of unnamed reads beside the rehearsal without orders", ratios);
    Ok(())
}
