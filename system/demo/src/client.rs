//! One request on a connection of its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

/// Sends a request; none when no whole answer came within ten seconds.
pub async fn send(
    to: SocketAddr, method: Method, path: &str, headers: &[(&str, &str)], body: impl Into<Bytes>,
) -> Option<Reply> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request = request.header("Host", to.to_string());
    }
    let request = request.body(Full::new(body.into())).ok()?;
    timeout(Duration::from_secs(10), exchange(to, request)).await.ok()?
}

async fn exchange(to: SocketAddr, request: Request<Full<Bytes>>) -> Option<Reply> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    let (head, body) = sender.send_request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Reply { status: head.status.as_u16(), headers: head.headers, body })
}
