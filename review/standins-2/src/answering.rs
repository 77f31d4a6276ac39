//! A proxy gets SIGTERM while a backend writes its answer piece by piece.

use crate::Verdict;
use crate::backend::{Backend, answer};
use crate::deployment::{Deployment, Listed, Record};
use crate::http;
use std::io::{self, Write as _};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"upsert":{"backendPools":[{"name":"inventar","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":20,"revision":"00000001"}],"listeners":[{"hostname":"a.example","policy":[{"name":"r","routeType":"non_idempotent","targetLatency":"600ms","priority":1,"public":true,"revision":"00000001","matchCriteria":{"pathPrefix":"/x/"},"action":{"service":"inventar","timeout":"4000ms","maxAttempts":2,"allowedRegions":[]}}]}]},"remove":{}}"#;
/// The pieces of an answer and the time between them: 2.4 s from the first byte to the last.
const PIECES: usize = 13;
const PAUSE: Duration = Duration::from_millis(200);
const REQUESTS: usize = 5;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let deployment = Deployment::new(record.clone())?;
    let at = deployment.backend(0);
    let _backend = Backend::start(
        "i-0",
        at,
        record,
        Arc::new(|request, output| {
            let bytes = answer(request, &vec![b'x'; 2600]);
            for (number, piece) in bytes.chunks(bytes.len().div_ceil(PIECES)).enumerate() {
                if number > 0 {
                    sleep(PAUSE);
                }
                output.write_all(piece)?;
            }
            Ok(())
        }),
    )?;
    if let Ok(mut listed) = deployment.listed.lock() {
        let (id, service) = ("i-0".to_owned(), "inventar".to_owned());
        let (zone, state) = ("lj-trubarjeva".to_owned(), "ready".to_owned());
        listed.push(Listed { id, service, address: at, zone, state });
    }
    let mut processes = Vec::new();
    for core in 0..6 {
        processes.extend(deployment.start_core(core, usize::from(core), true)?);
    }
    let proxy = deployment.start_proxy(0, 0, true)?;
    sleep(Duration::from_secs(4));
    let (status, _) = deployment.order(
        &[0, 1, 2],
        "PATCH",
        "/fennelscale/config",
        CONFIG.as_bytes(),
        Duration::from_secs(20),
    );
    if status != 200 || !deployment.wait_ready(0, Duration::from_secs(20)) {
        return Ok(Verdict::NotRun(format!(
            "the configuration was answered with {status}, or no proxy is ready"
        )));
    }
    // No unplanned trouble from contactWindow before the requests on.
    sleep(Duration::from_secs(6));
    let started = Instant::now();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (to, record) = (deployment.frontend(0), record.clone());
            thread::spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number as u64);
                let headers: [(&str, &[u8]); 3] = [
                    ("Host", b"a.example"),
                    ("Fennelscale-Request-Id", id.as_bytes()),
                    ("Fennelscale-Deadline-Ms", b"4000"),
                ];
                record.note(format!("client sends {id} with a deadline of 4000 ms"));
                let answer =
                    http::exchange(to, "POST", "/x/1", &headers, b"a notice", Duration::from_secs(4));
                let took = started.elapsed();
                let status = answer.as_ref().map_or(0, http::Message::status);
                let told = answer.map_or_else(
                    |error| format!("no complete answer: {error}"),
                    |answer| format!("{status}, {} bytes", answer.body.len()),
                );
                record.note(format!("client has for {id}: {told}, after {:.2} s", took.as_secs_f64()));
                (status, took)
            })
        })
        .collect();
    sleep(Duration::from_millis(300));
    if trouble {
        proxy.signal("TERM");
        record.note("SIGTERM to proxy-0");
    }
    let answers: Vec<(u16, Duration)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let lost =
        answers.iter().filter(|(status, took)| *status != 200 && *took < Duration::from_millis(3900)).count();
    record.note(format!("{lost} of {REQUESTS} requests were broken off while their backend was at work"));
    // Without a SIGTERM, LOST says nothing of an answer that takes another's place.
    Ok(if trouble && lost > 0 { Verdict::Broken } else { Verdict::Held })
}
