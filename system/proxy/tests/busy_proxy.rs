//! Tests a whole proxy on loopback whose thread is busy with other tasks, as with the requests of many clients.

mod helper;

use helper::{Proxy, TestBed};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Tasks that always have work, and how long each works at a time: a round of all of them takes 2 s.
const TASKS: usize = 4000;
const WORK: Duration = Duration::from_micros(500);
/// A registry gives up a proxy that is silent for this long.
const REGISTRY_PATIENCE: Duration = Duration::from_millis(fennelscale_membership::PEER_TIMEOUT as u64);
/// Heartbeats that are waited for while the proxy is busy.
const HEARTBEATS: u64 = 8;

async fn work_while(busy: Arc<AtomicBool>) {
    loop {
        if busy.load(Ordering::Relaxed) {
            let started_at = Instant::now();
            while started_at.elapsed() < WORK {
                std::hint::spin_loop();
            }
            yield_now().await;
        } else {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against CONFIG (a change was not in force in time): the session of a proxy waited behind the requests of its
/// clients, so the registry gave it up again and again, and changes did not arrive.
#[test]
fn a_busy_proxy_keeps_its_session_and_takes_changes() {
    helper::run(async {
        let test_bed = TestBed::new(1);
        let busy = Arc::new(AtomicBool::new(false));
        let flag = busy.clone();
        let proxy = Proxy::start_beside(&test_bed, TASKS, move || work_while(flag.clone())).await;
        let heartbeats = proxy.heartbeats();
        helper::wait_until("the proxy sends heartbeats", async || proxy.heartbeats() > heartbeats + 1).await;
        let (sessions, before) = (proxy.sessions(), proxy.items_hash());

        busy.store(true, Ordering::Relaxed);
        proxy.send_idle_timeout(2, "500ms");
        let (mut longest_silence, first) = (Duration::ZERO, proxy.heartbeats());
        while proxy.heartbeats() < first + HEARTBEATS {
            let (started_at, known) = (Instant::now(), proxy.heartbeats());
            helper::wait_until("a heartbeat arrives", async || proxy.heartbeats() > known).await;
            longest_silence = longest_silence.max(started_at.elapsed());
        }
        busy.store(false, Ordering::Relaxed);

        assert!(longest_silence < REGISTRY_PATIENCE, "the proxy was silent for {longest_silence:?}");
        assert_ne!(proxy.items_hash(), before, "the change did not arrive");
        assert_eq!(proxy.sessions(), sessions, "the session ended");
    });
}
