//! A backend: runs one request at a time on each connection, and tells what it ran.

use crate::deployment::Record;
use crate::http::{self, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// How a backend answers a request that it has begun to work on.
pub type Answering = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A backend that listens at an address until the program ends.
pub struct Backend;

/// The answer of a backend to a request, whole.
pub fn answer(request: &Message, body: &[u8]) -> Vec<u8> {
    let id = request.header("fennelscale-request-id").unwrap_or_default();
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nFennelscale-Request-Id: {id}\r\nFennelscale-Response-Signature: 3e1b.07.5a2.{}.0.c9f2a4d1\r\n\
         Content-Length: {}\r\n\r\n",
        body.len(),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

impl Backend {
    /// Starts one.
    pub fn start(id: &str, at: SocketAddr, record: &Record, answering: Arc<Answering>) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let (id, record) = (id.to_owned(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record, answering) = (id.clone(), record.clone(), answering.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut output) = stream.try_clone() else { return };
                    let mut input = BufReader::new(stream);
                    while let Ok(request) = http::read(&mut input, false) {
                        let header = |name: &str| request.header(name).unwrap_or_default();
                        let (method, target) = request.method_and_target();
                        if target == "/health" {
                            let text = format!(
                                "HTTP/1.1 200 OK\r\nFennelscale-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                            );
                            if output.write_all(text.as_bytes()).is_err() {
                                return;
                            }
                            continue;
                        }
                        let expected = header("fennelscale-expected-instance");
                        if !expected.is_empty() && expected != id {
                            let text = format!(
                                "HTTP/1.1 421 Misdirected Request\r\nFennelscale-Instance-Id: {id}\r\n\
                                 Fennelscale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                            );
                            if output.write_all(text.as_bytes()).is_err() {
                                return;
                            }
                            continue;
                        }
                        record.note(format!(
                            "backend {id} runs {} ({method} {target}), Fennelscale-Tenant-Name: {}",
                            header("fennelscale-request-id"),
                            request.header("fennelscale-tenant-name").unwrap_or_else(|| "(none)".into())
                        ));
                        let answered = answering(&request, &mut output);
                        record.note(match &answered {
                            Ok(()) => format!(
                                "backend {id} has answered {} whole",
                                header("fennelscale-request-id")
                            ),
                            Err(error) => {
                                format!(
                                    "backend {id}: {} was broken off: {error}",
                                    header("fennelscale-request-id")
                                )
                            }
                        });
                        if answered.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Self)
    }
}
