//! News from other proxies. One whose session is down asks a few others, compares by digests, and takes what it lacks: cut off
//! from all registries it still hears of drains and evacuations. Who has a session asks nobody: that costs nothing in calm.
//!
//! What comes so is chosen, as all news is; but it does not make a proxy ready: only a registry vouches that nothing is
//! missing.

use crate::proxy::Proxy;
use fennelscale_host::link::{self, Reader, Writer, split};
use fennelscale_host::spawn;
use fennelscale_messages::session::{ProxyMessage, RegistryToProxy};
use fennelscale_node_settings::Port;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Without a session others are asked this often, ...
const ASK: Duration = Duration::from_millis(500);
/// ... so many at a time.
const FEW: usize = 2;
/// They have so long to answer.
const PATIENCE: Duration = Duration::from_millis(1200);

/// Answers others and asks them, for as long as the program runs.
pub fn run(proxy: Rc<Proxy>, listener: TcpListener) {
    let of = proxy.clone();
    link::accept(listener, move |stream| answer(of.clone(), stream));
    spawn(async move {
        let mut turn = 0;
        loop {
            sleep(ASK).await;
            if proxy.has_session() || proxy.ended() {
                continue;
            }
            let others = proxy.others();
            for n in 0..FEW.min(others.len()) {
                turn += 1;
                let (proxy, to) = (proxy.clone(), others[(turn + n) % others.len()]);
                spawn(async move {
                    let at = proxy.settings.at(to.ip(), Port::Courier);
                    if let Ok(stream) = link::dial(at).await {
                        // A few others are asked: one that says nothing is passed over.
                        let _ = timeout(PATIENCE, ask(&proxy, stream)).await;
                    }
                });
            }
        }
    });
}

async fn ask(proxy: &Proxy, stream: TcpStream) {
    let (mut reader, writer): (Reader, Writer) = split(stream);
    writer.send(&proxy.have());
    if let Ok(ProxyMessage::Update { entries, backend_list: listing, proxies: (members, gateways) }) =
        reader.next().await
        && !proxy.has_session()
    {
        if !entries.is_empty() || listing.is_some() {
            tracing::info!(event = "news-beside", items = entries.len(), listing = listing.is_some());
        }
        // As in a session: the members first, the list last.
        proxy.news(RegistryToProxy::Proxies(members, gateways));
        proxy.news(RegistryToProxy::Items { complete: false, up_to_date: false, entries });
        if let Some(listing) = listing {
            proxy.news(RegistryToProxy::BackendList(listing));
        }
    }
}

async fn answer(proxy: Rc<Proxy>, stream: TcpStream) {
    let (mut reader, writer): (Reader, Writer) = split(stream);
    if let Ok(Ok(ProxyMessage::Digest { items, list_stamp: listing })) =
        timeout(PATIENCE, reader.next()).await
    {
        writer.send(&proxy.news_for(&items, listing));
        // Until it has been read, or nobody reads it.
        let _ = timeout(PATIENCE, reader.next::<ProxyMessage>()).await;
    }
}
