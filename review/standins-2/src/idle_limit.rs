//! The configuration changes: its limits let clients stay idle for as long as a signed 64-bit number of seconds can say.

use crate::Verdict;
use crate::backend::{Backend, answer};
use crate::deployment::{Deployment, Listed, Record};
use crate::http;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Two of eight machines: over a tenth, and two at least.
const PROXIES: u8 = 2;
/// Ends of processes of a machine that make a fault.
const ENDS: usize = 3;
const CLIENTS_FOR: Duration = Duration::from_secs(30);
const REST: Duration = Duration::from_millis(2500);
const PAUSE: Duration = Duration::from_millis(500);
const LONGEST: &str = "9223372036854775807s";

fn config(revision: u32, idle_timeout: &str) -> String {
    format!(
        r#"{{"upsert":{{"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"{idle_timeout}","revision":"{revision:08x}"}},"backendPools":[{{"name":"predvajalnik","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":20,"revision":"00000001"}}],"listeners":[{{"hostname":"a.example","policy":[{{"name":"r","routeType":"idempotent","targetLatency":"500ms","priority":1,"public":true,"revision":"00000001","matchCriteria":{{"pathPrefix":"/x/"}},"action":{{"service":"predvajalnik","timeout":"3000ms","maxAttempts":2,"allowedRegions":[]}}}}]}}]}},"remove":{{}}}}"#
    )
}

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
    let mut cores = Vec::new();
    for core in 0..6 {
        cores.extend(deployment.start_core(core, usize::from(core), true)?);
    }
    let mut proxies = Vec::new();
    for proxy in 0..PROXIES {
        proxies.push(deployment.start_proxy(proxy, usize::from(proxy), true)?);
    }
    sleep(Duration::from_secs(8));
    let order = |text: &str| {
        let wait = Duration::from_secs(8);
        deployment.order(&[0, 1, 2], "PATCH", "/fennelscale/config", text.as_bytes(), wait).0
    };
    if order(&config(1, "15000ms")) != 200
        || !(0..PROXIES).all(|proxy| deployment.wait_ready(proxy, Duration::from_secs(10)))
    {
        return Ok(Verdict::NotRun("no configuration, or a proxy that is not ready".into()));
    }
    let status = order(&config(2, if trouble { LONGEST } else { "20000ms" }));
    if status != 200 {
        record.note("the change was refused, so nothing of it is in force");
        return Ok(Verdict::Held);
    }
    let started = Instant::now();
    let clients: Vec<_> = (0..PROXIES)
        .map(|number| {
            let (to, record) = (deployment.frontend(number), record.clone());
            thread::spawn(move || {
                let mut told = [0_u64; 2];
                while started.elapsed() < CLIENTS_FOR {
                    keep_connection(to, &record, number, &mut told);
                    sleep(PAUSE);
                }
                told
            })
        })
        .collect();
    let mut ends = [0; PROXIES as usize];
    while started.elapsed() < CLIENTS_FOR {
        for (number, process) in (0..PROXIES).zip(&mut proxies) {
            if let Some(how) = process.ended() {
                ends[usize::from(number)] += 1;
                record.note(format!("proxy-{number} has ended by itself: {how}"));
                sleep(PAUSE);
                *process = deployment.start_proxy(number, usize::from(number), false)?;
            }
        }
        sleep(Duration::from_millis(50));
    }
    let told: Vec<[u64; 2]> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let (sent, served) = told.iter().fold((0, 0), |sum, told| (sum.0 + told[0], sum.1 + told[1]));
    record.note(format!("ends by themselves: {ends:?}; {served} of {sent} requests were served"));
    Ok(if ends.iter().all(|ends| *ends >= ENDS) { Verdict::Broken } else { Verdict::Held })
}

/// A client opens a connection, sends a request, rests for far less than four fifths of `idleTimeout`, and sends another.
/// Counts requests sent and served.
fn keep_connection(to: SocketAddr, record: &Record, proxy: u8, told: &mut [u64; 2]) {
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return record.note(format!("client: proxy-{proxy} takes no connection"));
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    for _ in 0..2 {
        told[0] += 1;
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + u64::from(proxy) * 0x10000 + told[0]);
        let headers: [(&str, &[u8]); 3] = [
            ("Host", b"a.example"),
            ("Fennelscale-Request-Id", id.as_bytes()),
            ("Fennelscale-Deadline-Ms", b"3000"),
        ];
        let answer = http::write_request(&mut output, "GET", "/x/1", &headers, b"")
            .and_then(|()| http::read(&mut input, true));
        told[1] += u64::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
        let is_over = answer.is_err();
        let text = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
        record.note(format!("client sends {id} to proxy-{proxy}: {text}"));
        if is_over {
            return;
        }
        sleep(REST);
    }
}
