//! The session with a registry: one at a time, the nearest that answers; news come by it, units are asked for by it.

use crate::proxy::Proxy;
use crate::registry_choice::RegistryChoice;
use fennelscale_host::link::{self, split};
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyToRegistry, RegistryToProxy};
use fennelscale_node_settings::Port;
use std::future::pending;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

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
        let Some(host) = choice.next_registry(proxy.now(), &proxy.registries()) else {
            sleep(PAUSE).await;
            continue;
        };
        let begun = Instant::now();
        if let Err(why) = hold(&proxy, host, &mut choice).await
            && why != NEARER
        {
            choice.record_failure(proxy.now(), host);
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

/// What came of a look at other registries.
struct Look {
    /// Those that could not be reached, before one could.
    failed: Vec<Host>,
    reached: bool,
}

/// Looks whether one of these registries can be reached.
async fn look(proxy: Rc<Proxy>, registries: Vec<Host>) -> Look {
    let mut failed = Vec::new();
    for registry in registries {
        if link::dial(proxy.settings.at(registry.ip(), Port::Sessions)).await.is_ok() {
            return Look { failed, reached: true };
        }
        failed.push(registry);
    }
    Look { failed, reached: false }
}

/// A look that is under way; none is at most times.
type Looking = Option<Pin<Box<dyn Future<Output = Look>>>>;

/// The end of a look that is under way.
async fn looked(looking: &mut Looking) -> Look {
    match looking {
        Some(look) => {
            let seen = look.await;
            *looking = None;
            seen
        }
        None => pending().await,
    }
}

/// What a session waits for.
enum Next {
    Word(io::Result<RegistryToProxy>),
    BeatDue,
    Looked(Look),
}

async fn hold(proxy: &Rc<Proxy>, host: Host, choice: &mut RegistryChoice) -> Result<(), &'static str> {
    let to = proxy.settings.at(host.ip(), Port::Sessions);
    let stream = link::dial(to).await.map_err(|_| "no connection")?;
    let (mut reader, writer) = split(stream);
    writer.send(&proxy.greeting());
    proxy.session(Some(writer.clone()));
    let mut beat = Instant::now() + BEAT;
    let mut heard = Instant::now();
    let mut looking: Looking = None;
    let end = 'session: loop {
        // Reading a word takes several steps, and a beat between two of them must not lose the first: it goes on.
        let next = reader.next::<RegistryToProxy>();
        tokio::pin!(next);
        let word = loop {
            let event = tokio::select! {
                word = &mut next => Next::Word(word),
                () = sleep_until(beat) => Next::BeatDue,
                // Beside the words, not between them: news come and beats go while a registry that is not there is dialled.
                look = looked(&mut looking) => Next::Looked(look),
            };
            match event {
                Next::Word(Ok(word)) => break word,
                Next::Word(Err(_)) => break 'session "closed",
                Next::Looked(look) => {
                    look.failed.into_iter().for_each(|registry| choice.record_failure(proxy.now(), registry));
                    if look.reached {
                        break 'session "its registry is out of contact";
                    }
                }
                Next::BeatDue => {
                    beat = Instant::now() + BEAT;
                    if heard.elapsed() > SILENT {
                        break 'session "silent";
                    }
                    writer.send(&proxy.beat());
                    if proxy.nearer(host, |other| choice.failed_recently(proxy.now(), other)) {
                        break 'session NEARER;
                    }
                }
            }
        };
        heard = Instant::now();
        if let RegistryToProxy::Heartbeat { contact_age } = word {
            choice.record_heartbeat(proxy.now(), f64::from(contact_age));
            proxy.contact(choice.last_contact());
            // It serves until another takes this session: where all are cut off, an old word is better than none.
            let others = choice.alternatives(proxy.now(), host, &proxy.registries());
            if !others.is_empty() && looking.is_none() {
                looking = Some(Box::pin(look(proxy.clone(), others)));
            }
        }
        // At the first start only seeds are known; the nearest is heard of with the first news.
        let told = matches!(word, RegistryToProxy::Registries(_));
        proxy.news(word);
        if told && proxy.nearer(host, |other| choice.failed_recently(proxy.now(), other)) {
            break NEARER;
        }
        if proxy.ended() {
            writer.send(&ProxyToRegistry::EndSession);
            sleep(PAUSE).await;
            break "ended";
        }
    };
    proxy.session(None);
    Err(end)
}
