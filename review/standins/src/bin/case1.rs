//! A backend begins to work on an upload, fails, and answers before it has read the long body; it keeps the
//! connection and reads on. The upload must not run a second time.
//!
//! Small uploads keep the service busy, so that the early answers stay a small share of all answers of their
//! backends. Without the trouble the same backends give the same answer after they have read the body.

use review_standins::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The limit `maxBodyBytes` is 64 MiB.
const LONG_BODY: usize = 32 << 20;
const SMALL_BODY: usize = 2048;
/// Small uploads a second at each proxy.
const RATE: u64 = 25;
/// The trouble lasts 5.5 s at most.
const TROUBLE_SPAN: Duration = Duration::from_millis(5500);
/// A backend fails one request in this many at most.
const ANSWERS_FOR_A_FAILURE: usize = 34;
/// Of six backends, at most this many fail.
const MOST_FAILING: usize = 3;

#[derive(Default)]
struct Failures {
    backends: BTreeSet<String>,
    uploads: BTreeSet<String>,
    answers: BTreeMap<String, usize>,
}

fn main() {
    let runs = Arc::new(Runs::default());
    let failures = Arc::new(Mutex::new(Failures::default()));
    let (seen, failing) = (runs.clone(), failures.clone());
    let backends = move |deployment: &Arc<Deployment>| {
        for (zone, number) in (0..ZONES.len()).flat_map(|zone| [(zone, 1), (zone, 2)]) {
            let (runs, failures) = (seen.clone(), failing.clone());
            serve_backend(deployment, zone, number, "media", move |id, head, stream, buffer| {
                let request = head.header("fennelscale-request-id").to_owned();
                let long = request.starts_with("long");
                runs.begin(id, &request, if long { &head.line } else { "small" });
                let fails = long && {
                    let mut failures = failures.lock().unwrap();
                    let answers = failures.answers.get(id).copied().unwrap_or_default();
                    let fails = answers >= ANSWERS_FOR_A_FAILURE
                        && !failures.uploads.contains(&request)
                        && !failures.backends.contains(id)
                        && failures.backends.len() < MOST_FAILING;
                    if fails {
                        failures.backends.insert(id.to_owned());
                        failures.uploads.insert(request.clone());
                    }
                    fails
                };
                *failures.lock().unwrap().answers.entry(id.to_owned()).or_default() += 1;
                let (status, text) = if fails { ("500 Internal Server Error", "the archive is broken\n") } else { ("200 OK", "kept\n") };
                let answer = backend_answer(status, head, text);
                let early = fails && trouble();
                if early {
                    std::thread::sleep(Duration::from_millis(50));
                    record(format!("backend {id} answers {request}: {status}, before it has read the body; it keeps the connection and reads on"));
                    stream.write_all(answer.as_bytes())?;
                }
                let read = read_body(stream, buffer, head, |_| ());
                if long {
                    record(format!("backend {id} has read the body of {request}: {read:?}"));
                }
                read?;
                if !early {
                    std::thread::sleep(Duration::from_millis(50));
                    if long {
                        record(format!("backend {id} answers {request}: {status}, after the body"));
                    }
                    stream.write_all(answer.as_bytes())?;
                }
                Ok(true)
            });
        }
    };
    let case = move |deployment: &Arc<Deployment>| {
        let stop = Arc::new(AtomicBool::new(false));
        let statuses: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
        let start = Instant::now();
        let mut clients = Vec::new();
        for zone in 0..ZONES.len() {
            // Two clients take turns on each proxy.
            for half in 0..2 {
                let (to, stop, statuses) = (deployment.clients(zone, 0), stop.clone(), statuses.clone());
                clients.push(std::thread::spawn(move || {
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("small-{zone}-{half}-{number}");
                        number += 1;
                        let head = format!(
                            "POST /media/thumb HTTP/1.1\r\nHost: shop.example\r\nFennelscale-Request-Id: {id}\r\nFennelscale-Deadline-Ms: 4000\r\nContent-Length: {SMALL_BODY}\r\nConnection: close\r\n\r\n"
                        );
                        let begun = Instant::now();
                        let answer = call(to, &[head.as_bytes(), &vec![b'x'; SMALL_BODY]].concat(), Duration::from_secs(6));
                        let status = answer.map_or(0, |answer| answer.status);
                        record(format!("client gets {status} for {id}, small"));
                        statuses.lock().unwrap().insert(id, status);
                        std::thread::sleep(Duration::from_millis(2000 / RATE).saturating_sub(begun.elapsed()));
                    }
                }));
            }
        }
        std::thread::sleep(Duration::from_millis(2500));
        for upload in 0..MOST_FAILING {
            let to = deployment.clients(upload % ZONES.len(), 0);
            let id = format!("long-{upload}");
            let head = format!(
                "POST /media/scan-{upload} HTTP/1.1\r\nHost: shop.example\r\nFennelscale-Request-Id: {id}\r\nFennelscale-Deadline-Ms: 4000\r\nContent-Length: {LONG_BODY}\r\nConnection: close\r\n\r\n"
            );
            record(format!("client sends {id} to {to}, {LONG_BODY} bytes"));
            let answer = call(to, &[head.as_bytes(), &vec![b'x'; LONG_BODY]].concat(), Duration::from_secs(6));
            match &answer {
                Ok(answer) => record(format!(
                    "client gets {} for {id}, stamp '{}', retry-after '{}': {}",
                    answer.status,
                    answer.head.header("fennelscale-response-signature"),
                    answer.head.header("retry-after"),
                    String::from_utf8_lossy(&answer.body).trim()
                )),
                Err(error) => record(format!("client gets no answer for {id}: {error}")),
            }
            statuses.lock().unwrap().insert(id, answer.map_or(0, |answer| answer.status));
            std::thread::sleep(Duration::from_millis(900));
        }
        std::thread::sleep((TROUBLE_SPAN + Duration::from_millis(1500)).saturating_sub(start.elapsed()));
        stop.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|client| drop(client.join()));
        std::thread::sleep(Duration::from_secs(1));
        for (backend, answers) in &failures.lock().unwrap().answers {
            record(format!("backend {backend} was at work on {answers} requests"));
        }
        let mut broken = Vec::new();
        let by_id = runs.by_id();
        record(format!("requests sent: {}, run: {}", statuses.lock().unwrap().len(), by_id.len()));
        for (id, status) in statuses.lock().unwrap().iter() {
            let ran: Vec<&str> = by_id.get(id).map_or_else(Vec::new, |runs| runs.iter().map(|run| run.backend.as_str()).collect());
            if ran.len() > 1 {
                broken.push(format!("TWICE: {id}, which is not repeatable, ran {} times: {}; its client got {status}", ran.len(), ran.join(", ")));
            }
            if [408, 421, 429, 503].contains(status) && !ran.is_empty() {
                broken.push(format!("REFUSED: the client of {id} got {status}, yet it ran at {}", ran.join(", ")));
            }
        }
        broken
    };
    let options = Options { proxies_per_zone: 1, proxy_memory_mb: 260 };
    run_case(options, &[("media", "upload")], &[], case, backends);
}
