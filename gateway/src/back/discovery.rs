//! The watch that keeps the list of backends fresh.

use crate::back::backends::Backends;
use crate::back::connection::HttpConnection;
use crate::engine::Engine;
use crate::faults;
use bytes::Bytes;
use doorcourse::Event;
use fennelscale_settings::list::List;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long one call of the watch may wait for news. Guards drains against answers that never come: a call that is
/// lost looks like one without news until its wait is over, and what it should have told counts as told some
/// seconds later. So waits are short; it costs a small call each time one is over without news.
const WAIT: Duration = Duration::from_secs(1);
/// A call that is silent for this much longer has been lost.
const PATIENCE: Duration = Duration::from_millis(500);
/// An answer that has begun is whole within this.
const WHOLE: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Between calls after a fault: the watch lasts as long as the next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest list that is read.
const LONGEST: usize = 1 << 20;

/// Brings a list to the connections first, so that nothing is sent by an older word, then to the decisions.
pub fn tell(list: List, backends: &Backends, engine: &Engine) {
    let list = faults::alter_list(list);
    backends.update(&list);
    let entries = list.hosts.into_iter().map(|h| h.entry).collect();
    engine.post(if list.whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) });
}

/// Keeps a watch going for ever, wherever discovery is by now; while it is silent the last list stays.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>, seq: u64, backends: Rc<Backends>, engine: Rc<Engine>,
) {
    let mut seq = Some(seq);
    loop {
        let at = *address.borrow_and_update();
        tokio::select! {
            () = stay(at, seq, &backends, &engine) => {}
            Ok(()) = address.changed() => {}
        }
        // Guards against lists that count their versions differently: the new place is asked for all it has.
        seq = None;
    }
}

/// Keeps a watch going at one address, for ever.
async fn stay(address: SocketAddr, mut seq: Option<u64>, backends: &Backends, engine: &Engine) {
    let mut told = false;
    loop {
        let fault = match HttpConnection::connect(address, CONNECT_TIMEOUT, false).await {
            Ok(mut link) => calls(&mut link, address, &mut seq, backends, engine).await,
            Err(error) => format!("no connection: {error}"),
        };
        if !std::mem::replace(&mut told, true) {
            eprintln!("discovery: {fault} (told once)");
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// One call after another on one connection, until something is wrong with it.
async fn calls(
    link: &mut HttpConnection, address: SocketAddr, seq: &mut Option<u64>, backends: &Backends,
    engine: &Engine,
) -> String {
    loop {
        let uri = match seq {
            Some(seq) => format!("/discovery/hosts?after={seq}&wait_ms={}", WAIT.as_millis()),
            None => "/discovery/hosts".into(),
        };
        let request = Request::get(uri).header("Host", address.to_string()).body(Full::<Bytes>::default());
        let Ok(request) = request else { return "the call cannot be written".into() };
        let answer =
            tokio::time::timeout(WAIT + PATIENCE, link.exchange(request, LONGEST, WHOLE, None)).await;
        let list = match answer {
            Ok(Ok((head, body))) if head.status == StatusCode::OK => List::parse(&body),
            Ok(Ok((head, _))) => return format!("answered {}", head.status),
            Ok(Err(_)) => return "the connection broke".into(),
            Err(_) => return "silent".into(),
        };
        match list {
            Ok(list) => {
                *seq = Some(list.seq);
                tell(list, backends, engine);
            }
            Err(error) => return error.to_string(),
        }
        if !link.is_free().await {
            return "the connection was closed".into();
        }
    }
}
