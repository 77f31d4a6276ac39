//! Watches service discovery and applies its backend lists.

use crate::back::backends::Backends;
use crate::back::connection::HttpConnection;
use crate::engine::Engine;
use crate::faults;
use bytes::Bytes;
use doorcourse::Event;
use fennelscale_log_writer::log_line;
use fennelscale_settings::list::List;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a long-poll call waits for changes. A lost call looks like one without changes until its wait is
/// over, while draining backends count as announced some seconds after the change. Short waits bound
/// that delay, at the cost of a small call for each wait without changes.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// A call without an answer this long after its wait is considered lost.
const POLL_GRACE: Duration = Duration::from_millis(500);
/// Time limit for the rest of an answer once it has begun.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before a call after a failure. The watch stays valid if the next call comes within 200 ms.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum size of a list in bytes.
const MAX_LIST: usize = 1 << 20;

/// Applies a backend list to the connections first, so that nothing is sent by an older list, then reports it
/// to the decision module.
pub fn apply(list: List, backends: &Backends, engine: &Engine) {
    let list = faults::alter_list(list);
    backends.update(&list);
    let entries = list.hosts.into_iter().map(|h| h.entry).collect();
    engine.post(if list.whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) });
}

/// Watches service discovery at its current address, forever. The last list stays in force while discovery is
/// unavailable.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>, seq: u64, backends: Rc<Backends>, engine: Rc<Engine>,
) {
    let mut seq = Some(seq);
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            () = watch_address(current, seq, &backends, &engine) => {}
            Ok(()) = address.changed() => {}
        }
        // The new address may number its versions differently, so the full list is requested.
        seq = None;
    }
}

/// Watches service discovery at one address, forever.
async fn watch_address(address: SocketAddr, mut seq: Option<u64>, backends: &Backends, engine: &Engine) {
    let mut logged = false;
    loop {
        let fault = match HttpConnection::connect(address, CONNECT_TIMEOUT, false).await {
            Ok(mut connection) => poll(&mut connection, address, &mut seq, backends, engine).await,
            Err(error) => format!("no connection: {error}"),
        };
        if !std::mem::replace(&mut logged, true) {
            log_line!("discovery: {fault} (logged once)");
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Polls on one connection until it fails; returns the reason.
async fn poll(
    connection: &mut HttpConnection, address: SocketAddr, seq: &mut Option<u64>, backends: &Backends,
    engine: &Engine,
) -> String {
    loop {
        let uri = match seq {
            Some(seq) => format!("/discovery/hosts?after={seq}&wait_ms={}", POLL_WAIT.as_millis()),
            None => "/discovery/hosts".into(),
        };
        let request = Request::get(uri).header("Host", address.to_string()).body(Full::<Bytes>::default());
        let Ok(request) = request else { return "the request cannot be built".into() };
        let answer = tokio::time::timeout(
            POLL_WAIT + POLL_GRACE,
            connection.exchange(request, MAX_LIST, ANSWER_TIMEOUT, None),
        )
        .await;
        let list = match answer {
            Ok(Ok((head, body))) if head.status == StatusCode::OK => List::parse(&body),
            Ok(Ok((head, _))) => return format!("answered {}", head.status),
            Ok(Err(_)) => return "the connection failed".into(),
            Err(_) => return "no answer in time".into(),
        };
        match list {
            Ok(list) => {
                *seq = Some(list.seq);
                apply(list, backends, engine);
            }
            Err(error) => return error.to_string(),
        }
        if !connection.is_free().await {
            return "the connection was closed".into();
        }
    }
}
