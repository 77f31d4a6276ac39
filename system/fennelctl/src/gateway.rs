//! Registries, asked as operators ask: one after the other, until one answers clearly.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// One gateway has so long for a clear answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// A call is tried for so long.
const TRIES: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(150);
/// The largest answer.
const LARGEST: usize = 64 << 20;

/// How a call went.
pub enum Asked {
    /// Status and body.
    Answered(u16, String),
    /// Nobody answered clearly.
    Unclear,
}

/// The registries that may be asked.
pub struct Gateways {
    at: Vec<SocketAddr>,
    next: Cell<usize>,
    /// Print answers as they came.
    pub json: bool,
}

impl Gateways {
    pub fn new(at: Vec<SocketAddr>, json: bool) -> Self {
        Self { at, next: Cell::new(0), json }
    }

    /// Asks until one answers clearly: a 5xx, a 408, a 429 or silence is none.
    pub async fn clear(&self, method: &str, path: &str, body: &str) -> Asked {
        let begun = Instant::now();
        loop {
            let at = self.at[self.next.get() % self.at.len()];
            if let Some((status, body)) = ask(at, method, path, body).await
                && status < 500
                && ![408, 429].contains(&status)
            {
                return Asked::Answered(status, body);
            }
            self.next.set(self.next.get() + 1);
            if begun.elapsed() > TRIES {
                return Asked::Unclear;
            }
            sleep(PAUSE).await;
        }
    }

    /// Asks each once.
    pub async fn each(&self, path: &str) -> Vec<(SocketAddr, Option<String>)> {
        let mut answers = Vec::new();
        for at in &self.at {
            let answer = ask(*at, "GET", path, "").await;
            answers.push((*at, answer.filter(|(status, _)| *status == 200).map(|(_, body)| body)));
        }
        answers
    }
}

async fn ask(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Host", at.to_string())
        .header("Content-Type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .ok()?;
    timeout(PATIENCE, async {
        let stream = TcpStream::connect(at).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(async move { drop(connection.await) });
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = Limited::new(body, LARGEST).collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
    })
    .await
    .ok()?
}
