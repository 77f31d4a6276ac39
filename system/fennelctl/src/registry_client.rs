//! Client for the registries' API: tries one registry after the other until one gives a conclusive response.

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

/// Time limit for the response of one registry.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// A call is retried for this long.
const RETRY_PERIOD: Duration = Duration::from_secs(20);
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The largest response body, in bytes.
const MAX_RESPONSE: usize = 64 << 20;

/// The result of a call.
pub enum CallResult {
    /// Status and body.
    Response(u16, String),
    /// No registry gave a conclusive response.
    OutcomeUnknown,
}

/// Calls the configured registries.
pub struct RegistryClient {
    addresses: Vec<SocketAddr>,
    next: Cell<usize>,
    /// Whether to print responses unchanged, as JSON.
    pub json: bool,
}

impl RegistryClient {
    pub fn new(addresses: Vec<SocketAddr>, json: bool) -> Self {
        Self { addresses, next: Cell::new(0), json }
    }

    /// Retries until a registry responds conclusively: 5xx, 408, 429 and timeouts are retried.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> CallResult {
        let started = Instant::now();
        loop {
            let at = self.addresses[self.next.get() % self.addresses.len()];
            if let Some((status, body)) = send_request(at, method, path, body).await
                && status < 500
                && ![408, 429].contains(&status)
            {
                return CallResult::Response(status, body);
            }
            self.next.set(self.next.get() + 1);
            if started.elapsed() > RETRY_PERIOD {
                return CallResult::OutcomeUnknown;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Calls each registry once.
    pub async fn call_each(&self, path: &str) -> Vec<(SocketAddr, Option<String>)> {
        let mut answers = Vec::new();
        for at in &self.addresses {
            let answer = send_request(*at, "GET", path, "").await;
            answers.push((*at, answer.filter(|(status, _)| *status == 200).map(|(_, body)| body)));
        }
        answers
    }
}

async fn send_request(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Host", at.to_string())
        .header("Content-Type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .ok()?;
    timeout(RESPONSE_TIMEOUT, async {
        let stream = TcpStream::connect(at).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(async move { drop(connection.await) });
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = Limited::new(body, MAX_RESPONSE).collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
    })
    .await
    .ok()?
}
