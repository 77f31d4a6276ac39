//! Synchronisation with other proxies. A proxy without a session asks a few others, compares digests and
//! takes the entries that it lacks, so that it learns of drains and evacuations even when cut off from all
//! registries. A proxy with a session asks none, so this costs nothing in normal operation.
//!
//! The entries received this way are chosen by a quorum, as all are; but they do not make a proxy ready: only
//! a registry confirms that nothing is missing.

use crate::proxy::Proxy;
use fennelscale_host::link::{self, Reader, Writer, split};
use fennelscale_host::spawn;
use fennelscale_messages::session::{ProxyMessage, RegistryToProxy};
use fennelscale_node_settings::Port;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Interval of requests to other proxies while there is no session.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Number of proxies that are asked at a time.
const PEERS_AT_ONCE: usize = 2;
/// Time limit of one exchange.
const PEER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Answers other proxies and asks them, for as long as the program runs.
pub fn run(proxy: Rc<Proxy>, listener: TcpListener) {
    let answering = proxy.clone();
    link::accept(listener, move |stream| answer(answering.clone(), stream));
    spawn(async move {
        let mut round = 0;
        loop {
            sleep(REQUEST_INTERVAL).await;
            if proxy.has_session() || proxy.ended() {
                continue;
            }
            let others = proxy.others();
            for n in 0..PEERS_AT_ONCE.min(others.len()) {
                round += 1;
                let (proxy, to) = (proxy.clone(), others[(round + n) % others.len()]);
                spawn(async move {
                    let at = proxy.settings.address_of(to.ip(), Port::Proxies);
                    if let Ok(stream) = link::connect(at).await {
                        // Several proxies are asked, so one that does not answer is skipped.
                        let _ = timeout(PEER_TIMEOUT, ask(&proxy, stream)).await;
                    }
                });
            }
        }
    });
}

async fn ask(proxy: &Proxy, stream: TcpStream) {
    let (mut reader, writer): (Reader, Writer) = split(stream);
    writer.send(&proxy.digest());
    if let Ok(ProxyMessage::Update { entries, backend_list, proxies: (proxies, count) }) = reader.next().await
        && !proxy.has_session()
    {
        if !entries.is_empty() || backend_list.is_some() {
            tracing::info!(event = "news-beside", items = entries.len(), listing = backend_list.is_some());
        }
        // In the order of a session: the proxies first, the list of backends last.
        proxy.receive(RegistryToProxy::Proxies(proxies, count));
        proxy.receive(RegistryToProxy::Items { complete: false, up_to_date: false, entries });
        if let Some(backend_list) = backend_list {
            proxy.receive(RegistryToProxy::BackendList(backend_list));
        }
    }
}

async fn answer(proxy: Rc<Proxy>, stream: TcpStream) {
    let (mut reader, writer): (Reader, Writer) = split(stream);
    if let Ok(Ok(ProxyMessage::Digest { items, list_stamp })) = timeout(PEER_TIMEOUT, reader.next()).await {
        writer.send(&proxy.update_for(&items, list_stamp));
        // Keeps the connection open until the peer has read the answer, at most until the timeout.
        let _ = timeout(PEER_TIMEOUT, reader.next::<ProxyMessage>()).await;
    }
}
