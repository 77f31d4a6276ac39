//! Real gateways and a stand-in counter that is cut, spoilt, replaced, restored, split and healed by script: what all of them
//! together send on for an account stays within the bound that was stated before.

mod helper;

use fennelscale_emulator::{Sent, fullest};
use fennelscale_quota::{AccountQuota, Bound, Loss};
use helper::{Backend, Counter, Discovery, Do, Gateway, Mood, Setup, ok, request, row};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(6);
const GATEWAYS: u32 = 2;
/// Requests of the account that are out at once at each gateway.
const FLOOD: usize = 4;
/// What a busy machine may do to the moments at which answers are noted, in ms.
const SLACK: f64 = 500.0;

/// What is done to the first counter, or between it and the gateways.
#[derive(Clone, Copy, Debug)]
enum Deed {
    Mood(Mood),
    /// It begins anew.
    Replace,
    /// What it holds is kept, to go back to.
    Keep,
    Restore,
    /// The second gateway has a counter of its own, with a copy of all counts; or the first one's again.
    Split,
    Heal,
}

struct Script {
    steps: &'static [(u64, Deed)],
    /// How many counters the bound has to know of, and for how long unseen.
    counters: f64,
    detection: f64,
}

async fn flood(at: SocketAddr, start: Instant, sent: Arc<Mutex<Vec<Sent>>>) {
    while start.elapsed() < LENGTH {
        let Ok(stream) = tokio::net::TcpStream::connect(at).await else { continue };
        let mut client = helper::Client(tokio::io::BufReader::new(stream));
        while start.elapsed() < LENGTH {
            let reply = client.ask(&request("look", 900, "", "").replace("spread=1", "spread=2")).await;
            if reply.status() == 200 {
                sent.lock().expect("lock").push((start.elapsed().as_secs_f64() * 1000.0, 1.0));
            } else {
                // The account does not wait as it was told, but leaves the processor to others.
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

/// Plays a script; the largest share of the bound that the account used up in any span, and how many requests were sent on.
async fn play(script: &Script) -> (f64, usize) {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let discovery = Discovery::start().await;
    let (first, second) = (Counter::start(Mood::Adds).await, Counter::start(Mood::Adds).await);
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        let setup = Setup {
            rate: 20.0,
            burst: 20.0,
            ceiling: 1.6,
            gateways: GATEWAYS,
            number,
            ..Setup::knowing(&[row("b", backend.at, "in_service")])
        };
        gateways.push(Gateway::start(discovery.at, first.at, &setup).await);
    }
    let (start, sent) = (Instant::now(), Arc::new(Mutex::new(Vec::new())));
    let floods: Vec<_> = gateways
        .iter()
        .flat_map(|gateway| (0..FLOOD).map(|_| tokio::spawn(flood(gateway.at, start, sent.clone()))))
        .collect();
    let mut kept = HashMap::new();
    for (at, deed) in script.steps {
        tokio::time::sleep_until((start + Duration::from_millis(*at)).into()).await;
        let totals = || first.totals.lock().expect("lock");
        match deed {
            Deed::Mood(mood) => *first.mood.lock().expect("lock") = *mood,
            Deed::Replace => totals().clear(),
            Deed::Keep => kept = totals().clone(),
            Deed::Restore => *totals() = kept.clone(),
            Deed::Split => {
                *second.totals.lock().expect("lock") = totals().clone();
                gateways[1].reconfigure(&[(first.at.to_string(), second.at.to_string())]).await;
            }
            Deed::Heal => gateways[1].reconfigure(&[]).await,
        }
    }
    for flood in floods {
        flood.await.expect("a flood that came to its end");
    }
    let terms = AccountQuota {
        rate: 20.0,
        burst: 20.0,
        ceiling_rate: 32.0,
        ceiling_burst: 32.0,
        max_request_units: 1.0,
        gateways: f64::from(GATEWAYS),
    };
    let Script { counters, detection, .. } = *script;
    let bound = Bound {
        quota: terms,
        loss: Loss::Whole,
        split_counters: counters,
        detection_time: detection,
        clock_skew: SLACK,
    };
    let mut sent = sent.lock().expect("lock").clone();
    sent.sort_by(|a, b| a.0.total_cmp(&b.0));
    (fullest(&sent, |span| bound.max_units(span)), sent.len())
}

async fn holds(script: Script) {
    let (fullest, sent) = play(&script).await;
    assert!(fullest <= 1.0, "{:?}: {fullest} of the bound", script.steps);
    assert!(sent >= 20, "{:?}: a flood that is sent on at all: {sent}", script.steps);
}

#[tokio::test(flavor = "multi_thread")]
async fn through_silence_spoilt_answers_and_a_replacement_after_it() {
    holds(Script {
        steps: &[
            (600, Deed::Mood(Mood::Silent)),
            (2400, Deed::Replace),
            (2400, Deed::Mood(Mood::Adds)),
            (3000, Deed::Mood(Mood::Spoils("#~\r\n"))),
            (3600, Deed::Mood(Mood::Adds)),
            (4200, Deed::Mood(Mood::Busy)),
            (4900, Deed::Mood(Mood::Adds)),
        ],
        counters: 1.0,
        detection: 300.0,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn through_flapping_every_300_ms() {
    const STEPS: [(u64, Deed); 16] = {
        let mut steps = [(0, Deed::Replace); 16];
        let mut n = 0;
        while n < 16 {
            let mood = if n % 2 == 0 { Mood::Silent } else { Mood::Adds };
            steps[n] = (500 + 300 * n as u64, Deed::Mood(mood));
            n += 1;
        }
        steps
    };
    holds(Script { steps: &STEPS, counters: 1.0, detection: 300.0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn through_a_counter_that_goes_back_in_time_and_two_replacements_in_one_window() {
    holds(Script {
        steps: &[(300, Deed::Keep), (1500, Deed::Restore), (3000, Deed::Replace), (3300, Deed::Replace)],
        counters: 4.0,
        detection: 300.0,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn through_a_split_and_its_healing() {
    holds(Script { steps: &[(800, Deed::Split), (3500, Deed::Heal)], counters: 2.0, detection: 3000.0 })
        .await;
}
