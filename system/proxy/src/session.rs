//! The session with a registry: one at a time, the nearest that answers; news come by it, units are asked for by it.

use crate::proxy::Proxy;
use crate::registry_choice::RegistryChoice;
use fennelscale_host::link::{self, split};
use fennelscale_messages::Host;
use fennelscale_messages::news::{Down, Up};
use fennelscale_node_settings::Port;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Between two beats of the session.
const BEAT: Duration = Duration::from_millis(400);
/// A registry that says nothing for this long is not there.
const SILENT: Duration = Duration::from_millis(1500);
/// After a registry failed the next is tried after this.
const PAUSE: Duration = Duration::from_millis(60);

/// Keeps a session for as long as the program runs.
pub async fn keep(proxy: Rc<Proxy>) {
    let mut choice = RegistryChoice::default();
    loop {
        let Some(host) = choice.next(proxy.now(), &proxy.registries()) else {
            sleep(PAUSE).await;
            continue;
        };
        let begun = Instant::now();
        if let Err(why) = hold(&proxy, host, &mut choice).await
            && why != NEARER
        {
            choice.failed(proxy.now(), host);
            let held_ms = begun.elapsed().as_millis() as u64;
            tracing::info!(event = "session-ended", registry = %host, why, held_ms);
        }
        if proxy.ended() {
            return;
        }
        if begun.elapsed() < PAUSE {
            sleep(PAUSE).await;
        }
    }
}

/// Why a session ends that could be with a nearer registry.
const NEARER: &str = "a nearer registry is there";

/// Whether one of these registries can be reached; those that cannot have failed.
async fn any_reached(proxy: &Proxy, choice: &mut RegistryChoice, registries: &[Host]) -> bool {
    for registry in registries {
        if link::dial(proxy.settings.at(registry.ip(), Port::Sessions)).await.is_ok() {
            return true;
        }
        choice.failed(proxy.now(), *registry);
    }
    false
}

async fn hold(proxy: &Rc<Proxy>, host: Host, choice: &mut RegistryChoice) -> Result<(), &'static str> {
    let to = proxy.settings.at(host.ip(), Port::Sessions);
    let stream = link::dial(to).await.map_err(|_| "no connection")?;
    let (mut reader, writer) = split(stream);
    writer.send(&Up::Hello(proxy.member()));
    proxy.session(Some(writer.clone()));
    let mut beat = Instant::now() + BEAT;
    let mut heard = Instant::now();
    let end = loop {
        // Reading a word takes several steps, and a beat between two of them must not lose the first: it goes on.
        let next = reader.next::<Down>();
        tokio::pin!(next);
        let word = loop {
            match timeout_at(beat, &mut next).await {
                Ok(word) => break word,
                Err(_) => {
                    beat = Instant::now() + BEAT;
                    if heard.elapsed() > SILENT {
                        break Err(std::io::ErrorKind::TimedOut.into());
                    }
                    writer.send(&proxy.beat());
                    if proxy.nearer(host, |other| choice.has_failed(proxy.now(), other)) {
                        break Err(std::io::ErrorKind::Interrupted.into());
                    }
                }
            }
        };
        match word {
            Ok(word) => {
                heard = Instant::now();
                if let Down::Beat { contact_age } = word {
                    choice.heard_beat(proxy.now(), f64::from(contact_age));
                    // It serves until another takes this session: where all are cut off, an old word is better than none.
                    let others = choice.alternatives(proxy.now(), host, &proxy.registries());
                    if any_reached(proxy, choice, &others).await {
                        break "its registry is out of contact";
                    }
                }
                // At the first start only seeds are known; the nearest is heard of with the first news.
                let told = matches!(word, Down::Registries(_));
                proxy.news(word);
                if told && proxy.nearer(host, |other| choice.has_failed(proxy.now(), other)) {
                    break NEARER;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => break NEARER,
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => break "silent",
            Err(_) => break "closed",
        }
        if proxy.ended() {
            writer.send(&Up::Bye);
            sleep(PAUSE).await;
            break "ended";
        }
    };
    proxy.session(None);
    Err(end)
}
