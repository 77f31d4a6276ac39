//! The platform answers each call for the list whole and right, but late.

use crate::Verdict;
use crate::backend::{Backend, answer};
use crate::deployment::{Deployment, Listed, Record};
use crate::http;
use std::io::{self, Write as _};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"upsert":{"backendPools":[{"name":"predvajalnik","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":20,"revision":"00000001"}],"listeners":[{"hostname":"a.example","policy":[{"name":"r","routeType":"idempotent","targetLatency":"500ms","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/x/"},"action":{"service":"predvajalnik","timeout":"3000ms","maxAttempts":2,"allowedRegions":[]}}]}]},"remove":{}}"#;
const LATE_MS: u64 = 1_200;
const CLIENTS_FOR: Duration = Duration::from_secs(24);

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
        let (zone, state) = ("lj-trubarjeva".to_owned(), "ready".to_owned());
        listed.push(Listed { id, service, address: at, zone, state });
    }
    if trouble {
        deployment.platform_delay.store(LATE_MS, Ordering::Relaxed);
        record.note(format!("the platform answers {LATE_MS} ms after each call"));
    }
    let mut processes = Vec::new();
    for core in 0..6 {
        processes.extend(deployment.start_core(core, usize::from(core), true)?);
    }
    processes.push(deployment.start_proxy(0, 0, true)?);
    sleep(Duration::from_secs(8));
    let wait = Duration::from_secs(8);
    let (status, _) = deployment.order(&[0, 1, 2], "PATCH", "/fennelscale/config", CONFIG.as_bytes(), wait);
    if status != 200 {
        return Ok(Verdict::NotRun("no configuration was acknowledged".into()));
    }
    // Past configApply.
    sleep(Duration::from_secs(4));
    let (started, mut sent, mut served) = (Instant::now(), 0_u64, 0);
    while started.elapsed() < CLIENTS_FOR {
        sent += 1;
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + sent);
        let headers: [(&str, &[u8]); 3] = [
            ("Host", b"a.example"),
            ("Fennelscale-Request-Id", id.as_bytes()),
            ("Fennelscale-Deadline-Ms", b"3000"),
        ];
        let to = deployment.frontend(0);
        let answer = http::exchange(to, "GET", "/x/1", &headers, b"", Duration::from_secs(3));
        served += usize::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
        let told = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
        record.note(format!("client sends {id}: {told}"));
        sleep(Duration::from_millis(500));
    }
    let calls = deployment.platform_calls.load(Ordering::Relaxed);
    record.note(format!("{served} of {sent} requests were served; the platform answered {calls} calls"));
    Ok(if served == 0 { Verdict::Broken } else { Verdict::Held })
}
