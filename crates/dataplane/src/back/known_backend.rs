//! What is known of one backend, and its idle connections.

use crate::back::connection::HttpConnection;
use hyper::http::response;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Connections are kept idle for this share of the time after which their backend says that it closes them.
const STATED_IDLE_SHARE: f64 = 0.8;

/// A backend, and its idle connections.
pub(super) struct KnownBackend {
    pub(super) address: SocketAddr,
    pub(super) ready: bool,
    /// Another backend has answered at this address.
    pub(super) replaced: bool,
    /// When it last answered a request.
    pub(super) last_answer: Instant,
    /// Idle connections with the start of their idle time; the most recently used one is last.
    pub(super) idle: Vec<(HttpConnection, Instant)>,
    /// When it last sent bytes that belong to no request.
    pub(super) last_fault: Option<Instant>,
    /// Its idle timeout for connections, if it states one.
    pub(super) idle_timeout: Option<Duration>,
}

impl KnownBackend {
    /// Whether new requests may be sent to it.
    pub(super) fn is_open(&self) -> bool {
        self.ready && !self.replaced
    }

    /// How long an idle connection is trusted: a share of the backend's stated timeout, as the statement may
    /// arrive late, or the default.
    pub(super) fn max_idle(&self, default: Duration) -> Duration {
        self.idle_timeout.map_or(default, |timeout| timeout.mul_f64(STATED_IDLE_SHARE))
    }
}

/// The idle timeout that a backend states in its `Keep-Alive` header.
pub(super) fn stated_idle_timeout(head: &response::Parts) -> Option<Duration> {
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
