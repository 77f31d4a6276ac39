//! The machine of the first seed is lost within the first second of the first start; later it is back with an empty disk.

use crate::Verdict;
use crate::backend::{Backend, answer};
use crate::deployment::{Deployment, Listed, Process, Record};
use crate::http;
use std::io::{self, Write as _};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const CONFIG: &str = r#"{"upsert":{"backendPools":[{"name":"predvajalnik","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":20,"revision":"00000001"}],"listeners":[{"hostname":"a.example","policy":[{"name":"r","routeType":"idempotent","targetLatency":"500ms","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/x/"},"action":{"service":"predvajalnik","timeout":"3000ms","maxAttempts":2,"allowedRegions":[]}}]}]},"remove":{}}"#;
/// `ackTimeout` is 8 s.
const ACK_TIMEOUT: Duration = Duration::from_secs(8);

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let deployment = Deployment::new(record.clone())?;
    let at = deployment.backend(0);
    let _backend = Backend::start(
        "i-0",
        at,
        record,
        Arc::new(|request, output| output.write_all(&answer(request, b"a listing"))),
    )?;
    if let Ok(mut listed) = deployment.listed.lock() {
        let (id, service) = ("i-0".to_owned(), "predvajalnik".to_owned());
        let (zone, state) = ("lj-bezigrad".to_owned(), "ready".to_owned());
        listed.push(Listed { id, service, address: at, zone, state });
    }
    let mut cores: Vec<Option<[Process; 2]>> = Vec::new();
    for core in 0..6 {
        cores.push(Some(deployment.start_core(core, usize::from(core), true)?));
    }
    let _proxy = deployment.start_proxy(0, 3, true)?;
    sleep(Duration::from_secs(1));
    if trouble {
        cores[0] = None;
        record.note("core-0 is lost: its two processes are killed, its disk is gone");
        std::fs::remove_dir_all(deployment.disk(0))?;
    }
    // Traffic starts 8 s after the machines do. The loss is longer ago than contactWindow by then.
    sleep(Duration::from_secs(7));
    let order = |up: &[u8]| {
        let (status, took) =
            deployment.order(up, "PATCH", "/fennelscale/config", CONFIG.as_bytes(), 3 * ACK_TIMEOUT);
        record
            .note(format!("the first configuration: last status {status} after {:.1} s", took.as_secs_f64()));
        (status, took)
    };
    let first = if trouble { 1 } else { 0 };
    let up: Vec<u8> = (first..6).collect();
    let (mut status, took) = order(&up);
    let in_time = status == 200 && took <= ACK_TIMEOUT;
    if trouble && status != 200 {
        cores[0] = Some(deployment.start_core(0, 0, false)?);
        record.note("core-0 is back at its old address, with an empty disk and bootstrap = false");
        sleep(Duration::from_secs(6));
        status = order(&[0, 1, 2, 3, 4, 5]).0;
    }
    let ready = deployment.wait_ready(0, Duration::from_secs(8));
    let headers: [(&str, &[u8]); 3] = [
        ("Host", b"a.example"),
        ("Fennelscale-Request-Id", b"9c41d07be2a35f68"),
        ("Fennelscale-Deadline-Ms", b"3000"),
    ];
    let to = deployment.frontend(0);
    let served = http::exchange(to, "GET", "/x/1", &headers, b"", Duration::from_secs(3));
    record.note(format!(
        "the proxy is {}; a client has {}",
        if ready { "ready" } else { "not ready" },
        served.map_or_else(|error| error.to_string(), |answer| answer.start)
    ));
    let ended: Vec<String> = cores
        .iter_mut()
        .flatten()
        .flatten()
        .filter_map(|process| process.ended().map(|how| format!("{} {how}", process.name)))
        .collect();
    if !ended.is_empty() {
        return Ok(Verdict::NotRun(format!("ended: {}", ended.join(", "))));
    }
    record.note(format!("last status of the first configuration: {status}"));
    Ok(if in_time { Verdict::Held } else { Verdict::Broken })
}
