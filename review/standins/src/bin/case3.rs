//! A front machine is stopped in order. A backend that works on one of its requests sends the first part of its
//! answer, is silent for two seconds, and sends the rest. The client must get the whole answer.

use review_standins::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;
const WORK: Duration = Duration::from_millis(120);
const SILENCE: Duration = Duration::from_millis(2000);
const GRACE: Duration = Duration::from_secs(6);

fn main() {
    let runs = Arc::new(Runs::default());
    let seen = runs.clone();
    let backends = move |deployment: &Arc<Deployment>| {
        for (zone, number) in (0..ZONES.len()).flat_map(|zone| [(zone, 1), (zone, 2)]) {
            let runs = seen.clone();
            serve_backend(deployment, zone, number, "till", move |id, head, stream, buffer| {
                read_body(stream, buffer, head, |_| ())?;
                let request = head.header("fennelscale-request-id").to_owned();
                runs.begin(id, &request, &head.line);
                std::thread::sleep(WORK);
                let answer = backend_answer("200 OK", head, &format!("receipt of {request}, first part; second part\n"));
                let (first, rest) = answer.split_at(answer.len() - 13);
                if request.starts_with("stop") {
                    stream.write_all(first.as_bytes())?;
                    record(format!("backend {id} has sent the first part of its answer to {request}"));
                    if trouble() {
                        std::thread::sleep(SILENCE);
                    }
                    let sent = stream.write_all(rest.as_bytes());
                    record(format!("backend {id} sends the rest of its answer to {request}: {sent:?}"));
                    sent?;
                } else {
                    stream.write_all(answer.as_bytes())?;
                }
                Ok(true)
            });
        }
    };
    let case = move |deployment: &Arc<Deployment>| {
        let to = deployment.clients(0, 0);
        let request = |id: &str| {
            format!(
                "POST /till/notice HTTP/1.1\r\nHost: shop.example\r\nFennelscale-Request-Id: {id}\r\nFennelscale-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\npay!"
            )
        };
        // Connections that are kept; each has carried a request.
        let mut kept = Vec::new();
        for client in 0..CLIENTS {
            let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { unable("no connection") };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
            let mut buffer = Vec::new();
            let answer = stream.write_all(request(&format!("calm-{client}")).as_bytes()).and_then(|()| read_answer(&mut stream, &mut buffer));
            let status = answer.map_or(0, |answer| answer.status);
            record(format!("client gets {status} for calm-{client}"));
            if status != 200 {
                unable("a request in calm times was not served");
            }
            kept.push((stream, buffer));
        }
        let pid = deployment.pid(0, "proxy", 0);
        record("platform: SIGTERM to proxy-0-0");
        signal(pid, SIGTERM);
        let stopped = Instant::now();
        let answers: Arc<Mutex<Vec<(String, String, Duration)>>> = Arc::default();
        let mut clients = Vec::new();
        for (client, (mut stream, mut buffer)) in kept.into_iter().enumerate() {
            let id = format!("stop-{client}");
            let (text, answers) = (request(&id), answers.clone());
            clients.push(std::thread::spawn(move || {
                // Within a second of the SIGTERM.
                std::thread::sleep(Duration::from_millis(100 + 150 * client as u64));
                record(format!("client sends {id}"));
                let begun = Instant::now();
                let answer = stream.write_all(text.as_bytes()).and_then(|()| read_answer(&mut stream, &mut buffer));
                let seen = match answer {
                    Ok(answer) if answer.status == 200 && answer.body.ends_with(b"second part\n") => "200, whole".to_owned(),
                    Ok(answer) => format!("{}, stamp '{}': {}", answer.status, answer.head.header("fennelscale-response-signature"), String::from_utf8_lossy(&answer.body).trim()),
                    Err(error) => format!("no answer: {error}"),
                };
                record(format!("client gets for {id} after {} ms: {seen}", begun.elapsed().as_millis()));
                answers.lock().unwrap().push((id, seen, begun.elapsed()));
            }));
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        std::thread::sleep(GRACE.saturating_sub(stopped.elapsed()));
        deployment.kill(0, "proxy", 0);
        let mut broken = Vec::new();
        for (id, seen, after) in answers.lock().unwrap().iter() {
            let ran = runs.of(id);
            // Not run and refused is no loss; neither is what lasted until the deadline.
            if !ran.is_empty() && seen != "200, whole" && *after < Duration::from_millis(3900) {
                broken.push(format!(
                    "LOST: {id} ran at {}, which was answering it; after {} ms its client got: {seen}",
                    ran.iter().map(|run| run.backend.as_str()).collect::<Vec<_>>().join(", "),
                    after.as_millis()
                ));
            }
        }
        broken.sort();
        broken
    };
    let options = Options { proxies_per_zone: 1, proxy_memory_mb: 260 };
    run_case(options, &[("till", "non_idempotent")], &[], case, backends);
}
