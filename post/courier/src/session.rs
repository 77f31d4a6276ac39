//! The session with a registry: one at a time, the nearest that answers; news come by it, units are asked for by it.

use crate::proxy::Proxy;
use post_host::link::{self, split};
use post_settings::Port;
use post_words::Host;
use post_words::news::{Down, Up};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Between two beats of the session.
const BEAT: Duration = Duration::from_millis(400);
/// A registry that says nothing for this long is not there.
const SILENT: Duration = Duration::from_millis(1500);
/// After a registry failed the next is tried after this.
const PAUSE: Duration = Duration::from_millis(60);

/// A registry that failed is not thought of as a nearer one for so long.
const FAILED: Duration = Duration::from_secs(6);

/// Keeps a session for as long as the program runs.
pub async fn keep(proxy: Rc<Proxy>) {
    let mut failed: HashMap<Host, Instant> = HashMap::new();
    loop {
        failed.retain(|_, when| when.elapsed() < FAILED);
        // The nearest that has not failed lately; if all have, the one that did so first.
        let registries = proxy.registries();
        let next = registries.iter().find(|host| !failed.contains_key(host));
        let next = next.or_else(|| registries.iter().min_by_key(|host| failed.get(host)));
        let Some(host) = next.copied() else {
            sleep(PAUSE).await;
            continue;
        };
        let begun = Instant::now();
        if let Err(why) = hold(&proxy, host, &failed).await
            && why != NEARER
        {
            failed.insert(host, Instant::now());
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

/// A registry that is cut off is left as soon as one of so many others can be reached; they are looked for this often.
const FEW: usize = 2;
const AGAIN: Duration = Duration::from_millis(900);

/// Why a session ends that could be with a nearer registry.
const NEARER: &str = "a nearer registry is there";

async fn hold(proxy: &Rc<Proxy>, host: Host, failed: &HashMap<Host, Instant>) -> Result<(), &'static str> {
    let to = proxy.settings.at(host.ip(), Port::Sessions);
    let stream = link::dial(to).await.map_err(|_| "no connection")?;
    let (mut reader, writer) = split(stream);
    writer.send(&Up::Hello(proxy.member()));
    proxy.session(Some(writer.clone()));
    let mut beat = Instant::now() + BEAT;
    let (mut heard, mut looked) = (Instant::now(), None::<Instant>);
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
                    if proxy.nearer(host, |other| failed.get(&other).is_some_and(|at| at.elapsed() < FAILED))
                    {
                        break Err(std::io::ErrorKind::Interrupted.into());
                    }
                }
            }
        };
        match word {
            Ok(word) => {
                heard = Instant::now();
                if word == Down::Beat(true) && looked.is_none_or(|at| at.elapsed() > AGAIN) {
                    looked = Some(Instant::now());
                    // It serves until another takes this session: cut off on both sides, an old word is better than none.
                    let others = proxy.registries().into_iter().filter(|other| *other != host);
                    let others: Vec<Host> =
                        others.filter(|other| !failed.contains_key(other)).take(FEW).collect();
                    let mut there = false;
                    for other in others {
                        there |= link::dial(proxy.settings.at(other.ip(), Port::Sessions)).await.is_ok();
                        if there {
                            break;
                        }
                    }
                    if there {
                        break "its registry is cut off";
                    }
                }
                // At the first start only seeds are known; the nearest is heard of with the first news.
                let told = matches!(word, Down::Registries(_));
                proxy.news(word);
                if told && proxy.nearer(host, |other| failed.contains_key(&other)) {
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
