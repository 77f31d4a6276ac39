//! One tenant sends some seven times its usual: uploads in chunks, each within `maxBodyBytes`. The proxies must
//! stay within `memoryMb`: the platform kills a process beyond it, and every other request there is lost.

use review_standins::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The limit of a process, as the site has it for a front machine.
const MEMORY_MB: usize = 260;
/// The limit `maxBodyBytes` is 64 MiB.
const BODY: usize = 48 << 20;
const CHUNK: usize = 256 << 10;
/// The pace of one client's line. Seven of them are 840 Mbit/s; a machine's link carries 1,000.
const BYTES_PER_S: f64 = 15.0 * 1024.0 * 1024.0;
/// Uploads in progress at each proxy: the usual, and seven times that (the site's `hot_tenant` goes to 8).
const USUAL: usize = 1;
const HOT: usize = 7;
const HOT_SPAN: Duration = Duration::from_millis(6500);
const PAUSE: Duration = Duration::from_millis(5000);
const SPELLS: usize = 2;
/// Kept connections of another tenant at each proxy, each with one request after the other.
const OTHERS: usize = 4;
const UPLOAD_WORK: Duration = Duration::from_millis(110);
const OTHER_WORK: Duration = Duration::from_millis(120);

/// Sends one upload in chunks; the status, or why there is none.
fn upload(to: std::net::SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let head = format!(
        "POST /media/reel HTTP/1.1\r\nHost: shop.example\r\nFennelscale-Request-Id: {id}\r\nFennelscale-Deadline-Ms: 4000\r\nX-Api-Key: key-radio\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = [format!("{CHUNK:x}\r\n").as_bytes(), &vec![b'x'; CHUNK], b"\r\n"].concat();
    let begun = Instant::now();
    for sent in 0..BODY / CHUNK {
        let due = Duration::from_secs_f64((sent * CHUNK) as f64 / BYTES_PER_S);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
        stream.write_all(&piece)?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(read_answer(&mut stream, &mut Vec::new())?.status)
}

fn main() {
    let runs = Arc::new(Runs::default());
    let seen = runs.clone();
    let backends = move |deployment: &Arc<Deployment>| {
        for (zone, number) in (0..ZONES.len()).flat_map(|zone| [(zone, 1), (zone, 2)]) {
            for (service, port, work) in [("media", 0, UPLOAD_WORK), ("till", 10, OTHER_WORK)] {
                let runs = seen.clone();
                serve_backend(deployment, zone, number + port, service, move |id, head, stream, buffer| {
                    read_body(stream, buffer, head, |_| ())?;
                    runs.begin(id, head.header("fennelscale-request-id"), &head.line);
                    std::thread::sleep(work);
                    stream.write_all(backend_answer("200 OK", head, "done\n").as_bytes())?;
                    Ok(true)
                });
            }
        }
    };
    let case = move |deployment: &Arc<Deployment>| {
        let stop = Arc::new(AtomicBool::new(false));
        let hot = Arc::new(AtomicBool::new(false));
        let kills: Arc<Mutex<BTreeMap<usize, usize>>> = Arc::default();
        let lost: Arc<Mutex<Vec<String>>> = Arc::default();
        let (uploaded, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let mut threads = Vec::new();
        for zone in 0..ZONES.len() {
            // The platform: kills a process over its limit and starts it again.
            let (platform, done, counts) = (deployment.clone(), stop.clone(), kills.clone());
            threads.push(std::thread::spawn(move || {
                let mut peak = 0;
                while !done.load(Ordering::Relaxed) {
                    let used = resident_kib(platform.pid(zone, "proxy", 0)).unwrap_or_default();
                    peak = peak.max(used);
                    if used > MEMORY_MB * 1024 {
                        record(format!("platform: proxy-{zone}-0 uses {} MiB, over {MEMORY_MB}: killed", used / 1024));
                        platform.kill(zone, "proxy", 0);
                        *counts.lock().unwrap().entry(zone).or_default() += 1;
                        std::thread::sleep(Duration::from_millis(300));
                        platform.start(zone, "proxy", 0, false);
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
                record(format!("platform: proxy-{zone}-0 used {} MiB at most", peak / 1024));
            }));
            for client in 0..HOT {
                let (to, done, hot, uploaded) = (deployment.clients(zone, 0), stop.clone(), hot.clone(), uploaded.clone());
                threads.push(std::thread::spawn(move || {
                    let mut number = 0;
                    while !done.load(Ordering::Relaxed) {
                        if client >= USUAL && !hot.load(Ordering::Relaxed) {
                            std::thread::sleep(Duration::from_millis(20));
                            continue;
                        }
                        let id = format!("reel-{zone}-{client}-{number}");
                        number += 1;
                        match upload(to, &id) {
                            Ok(status) => {
                                uploaded.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                                record(format!("client gets {status} for {id}"));
                            }
                            Err(error) => record(format!("client gets no answer for {id}: {error}")),
                        }
                        std::thread::sleep(Duration::from_millis(100));
                    }
                }));
            }
            for client in 0..OTHERS {
                let (to, done, runs, lost, answered) = (deployment.clients(zone, 0), stop.clone(), runs.clone(), lost.clone(), answered.clone());
                threads.push(std::thread::spawn(move || {
                    let mut number = 0;
                    while !done.load(Ordering::Relaxed) {
                        let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                            std::thread::sleep(Duration::from_millis(100));
                            continue;
                        };
                        let _ = stream.set_nodelay(true);
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                        let (mut buffer, mut on_it) = (Vec::new(), 0);
                        while !done.load(Ordering::Relaxed) {
                            let id = format!("pay-{zone}-{client}-{number}");
                            number += 1;
                            let request = format!(
                                "POST /till/notice HTTP/1.1\r\nHost: shop.example\r\nFennelscale-Request-Id: {id}\r\nFennelscale-Deadline-Ms: 4000\r\nX-Api-Key: key-clerk\r\nContent-Length: 4\r\n\r\npay!"
                            );
                            let answer = stream.write_all(request.as_bytes()).and_then(|()| read_answer(&mut stream, &mut buffer));
                            match answer {
                                Ok(answer) => {
                                    answered.fetch_add(usize::from(answer.status == 200), Ordering::Relaxed);
                                    record(format!("client gets {} for {id}", answer.status));
                                    on_it += 1;
                                }
                                Err(error) => {
                                    std::thread::sleep(Duration::from_millis(500));
                                    let ran = runs.of(&id);
                                    record(format!("client gets no answer for {id} on a connection that carried {on_it} before: {error}; it ran {} times", ran.len()));
                                    if on_it > 0 && !ran.is_empty() {
                                        lost.lock().unwrap().push(id);
                                    }
                                    break;
                                }
                            }
                        }
                    }
                }));
            }
        }
        std::thread::sleep(Duration::from_secs(5));
        for spell in 0..SPELLS {
            record(format!("spell {spell}: the tenant sends {} times its usual", if trouble() { HOT / USUAL } else { 1 }));
            hot.store(trouble(), Ordering::Relaxed);
            std::thread::sleep(HOT_SPAN);
            hot.store(false, Ordering::Relaxed);
            record("the tenant sends its usual");
            std::thread::sleep(PAUSE);
        }
        stop.store(true, Ordering::Relaxed);
        threads.into_iter().for_each(|thread| drop(thread.join()));
        record(format!("uploads answered 200: {}; others answered 200: {}", uploaded.load(Ordering::Relaxed), answered.load(Ordering::Relaxed)));
        let kills = kills.lock().unwrap();
        let lost = lost.lock().unwrap();
        record(format!("proxies killed for their memory: {kills:?}; others' requests lost: {}", lost.len()));
        let mut broken = Vec::new();
        let often = kills.values().filter(|count| **count >= 3).count();
        // A tenth of the machines in use (six here), two at least.
        if often >= 2 {
            broken.push(format!("Fault: {often} machines of 6 ended three times or more, being over their memory: {kills:?}"));
        }
        if lost.len() > 3 {
            broken.push(format!("LOST: {} requests from kept connections had been passed on to sound backends and got no answer", lost.len()));
        }
        broken
    };
    let options = Options { proxies_per_zone: 1, proxy_memory_mb: MEMORY_MB };
    let tenants = [("radio", "key-radio"), ("clerk", "key-clerk")];
    run_case(options, &[("media", "upload"), ("till", "non_idempotent")], &tenants, case, backends);
}
