//! A backend of a soak on raw sockets: it does with each request what the request's path says ([`Behavior`]).

use super::behavior::{Behavior, IncomingRequest, When, WriteMode};
use crate::standins::{Listed, Outside, Run};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Maximum size of a head.
const MAX_HEAD: usize = 16 * 1024;
/// How much of a body is read at a time.
const READ_SIZE: usize = 64 * 1024;
/// Pieces of an answer that trickles, and the pause between two.
const PIECE: usize = 16;
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// So many bytes of an answer that is cut are missing.
const MISSING: usize = 3;

/// The head of a request.
struct Head {
    path: String,
    id: String,
    expected_instance: String,
    is_chunked: bool,
    body_size: usize,
}

/// A backend: what it is listed as, and what it has seen.
struct RawBackend {
    outside: Rc<Outside>,
    listed: Listed,
    zone: usize,
    /// How often requests of each id came.
    arrivals: RefCell<HashMap<String, usize>>,
}

/// Starts a backend in the zone with this number.
pub async fn raw_backend(outside: &Rc<Outside>, listed: Listed, zone: usize) -> io::Result<()> {
    let listener = TcpListener::bind(listed.address).await?;
    outside.listed.borrow_mut().push(listed.clone());
    let backend =
        Rc::new(RawBackend { outside: outside.clone(), listed, zone, arrivals: RefCell::default() });
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let backend = backend.clone();
            spawn_local(async move { backend.serve(stream).await });
        }
    });
    Ok(())
}

impl RawBackend {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut late_copy, mut kept, mut bytes) = (None::<String>, false, Vec::new());
        loop {
            let head = read_head(&mut stream, &mut bytes).await?;
            if let Some(copy) = late_copy.take() {
                stream.write_all(copy.as_bytes()).await?;
            }
            if head.path == "/health" {
                let id = &self.listed.id;
                let answer =
                    format!("HTTP/1.1 200 OK\r\nFennelscale-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let behavior = self.behavior(&head, kept);
            if behavior.when == When::Read {
                read_body(&mut stream, &head, &mut bytes).await?;
            }
            self.record(&head, &behavior);
            sleep(Duration::from_millis(behavior.work_ms)).await;
            late_copy = (behavior.write_mode == WriteMode::LateCopy).then(|| behavior.answer.clone());
            if !write_answer(&mut stream, &behavior).await? {
                return Ok(());
            }
            if behavior.when == When::Early {
                read_body(&mut stream, &head, &mut bytes).await?;
            }
            kept = true;
        }
    }

    /// What to do with a request.
    fn behavior(&self, head: &Head, kept: bool) -> Behavior {
        let arrivals = {
            let mut arrivals = self.arrivals.borrow_mut();
            let count = arrivals.entry(head.id.clone()).or_default();
            *count += 1;
            *count
        };
        let incoming =
            IncomingRequest { id: &head.id, instance: &self.listed.id, zone: self.zone, arrivals, kept };
        if head.expected_instance != self.listed.id {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nFennelscale-Request-Id: {}\r\nFennelscale-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                head.id, self.listed.id
            );
            return Behavior {
                when: When::Read,
                runs: false,
                work_ms: 0,
                write_mode: WriteMode::Whole,
                answer,
            };
        }
        // `/PREFIX/DEED/ID`
        Behavior::of(head.path.split('/').nth(2).unwrap_or_default(), &incoming)
    }

    fn record(&self, head: &Head, behavior: &Behavior) {
        if behavior.runs {
            self.outside.runs.borrow_mut().push(Run {
                backend: self.listed.id.clone(),
                zone: self.listed.zone.clone(),
                id: head.id.clone(),
                tenant: String::new(),
                key: false,
                bytes: head.body_size,
                item: head.id.clone(),
                at: Instant::now(),
            });
        }
    }
}

/// Writes an answer. Returns whether the connection can carry another request.
async fn write_answer(stream: &mut TcpStream, behavior: &Behavior) -> io::Result<bool> {
    let answer = behavior.answer.as_bytes();
    match behavior.write_mode {
        WriteMode::Whole | WriteMode::LateCopy => stream.write_all(answer).await?,
        WriteMode::Twice => stream.write_all(&[answer, answer].concat()).await?,
        WriteMode::Trickle => {
            for piece in answer.chunks(PIECE) {
                stream.write_all(piece).await?;
                sleep(PIECE_PAUSE).await;
            }
        }
        WriteMode::Cut => {
            stream.write_all(&answer[..answer.len() - MISSING]).await?;
            return Ok(false);
        }
        WriteMode::ThenClose => {
            stream.write_all(answer).await?;
            return Ok(false);
        }
        WriteMode::Close => return Ok(false),
        WriteMode::Reset => {
            stream.set_zero_linger()?;
            return Ok(false);
        }
    }
    Ok(true)
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    bytes.reserve(READ_SIZE);
    match stream.read_buf(bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Where `end` begins in `bytes`.
fn find(bytes: &[u8], end: &[u8]) -> Option<usize> {
    bytes.windows(end.len()).position(|window| window == end)
}

/// Reads a head; `bytes` holds what was read behind it.
async fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Head> {
    let end = loop {
        if let Some(end) = find(bytes, b"\r\n\r\n") {
            break end;
        }
        if bytes.len() > MAX_HEAD {
            return Err(io::ErrorKind::InvalidData.into());
        }
        read_more(stream, bytes).await?;
    };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    bytes.drain(..end + 4);
    let value = |name: &str| {
        let mut headers = text.lines().filter_map(|line| line.split_once(": "));
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
    };
    Ok(Head {
        path: text.split(' ').nth(1).unwrap_or_default().to_owned(),
        id: value("fennelscale-request-id").unwrap_or_default(),
        expected_instance: value("fennelscale-expected-instance").unwrap_or_default(),
        is_chunked: value("transfer-encoding").is_some(),
        body_size: value("content-length").and_then(|length| length.parse().ok()).unwrap_or(0),
    })
}

/// Reads the body of a request, of which `bytes` holds the beginning, and maybe what follows it.
async fn read_body(stream: &mut TcpStream, head: &Head, bytes: &mut Vec<u8>) -> io::Result<()> {
    if head.is_chunked {
        return Err(io::ErrorKind::Unsupported.into());
    }
    while bytes.len() < head.body_size {
        read_more(stream, bytes).await?;
    }
    bytes.drain(..head.body_size);
    Ok(())
}
