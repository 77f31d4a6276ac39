//! Tests a whole proxy on loopback: limits of the configuration that change while connections are open.

mod helper;

use helper::{Proxy, TestBed};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Well below the idle timeout of the first configuration, which is 15 s.
const SOON: Duration = Duration::from_secs(7);

/// Longer than the shortest idle timeout that these tests set.
const REST: Duration = Duration::from_millis(1500);

/// Guards against CONFIG (limits): the idle timeout of the first configuration stayed in force whatever came after it.
#[test]
fn a_changed_idle_timeout_holds_for_connections_that_are_open_and_for_new_ones() {
    helper::run(async {
        let test_bed = TestBed::new(1);
        let proxy = Proxy::start(&test_bed, &[]).await;
        // Before the first connection, whose idle time counts from its own start.
        let started_at = Instant::now();
        let mut open = test_bed.connect().await;
        proxy.send_idle_timeout(2, "500ms");
        let end = timeout(SOON, open.read_u8()).await;
        assert!(end.is_ok_and(|read| read.is_err()), "an open connection outlasts the new idle timeout");
        let mut new = test_bed.connect().await;
        let end = timeout(SOON, new.read_u8()).await;
        assert!(end.is_ok_and(|read| read.is_err()), "a new connection outlasts the new idle timeout");
        assert!(started_at.elapsed() >= Duration::from_millis(1000), "closed before the idle timeout");
    });
}

/// Changes the idle timeout and waits until the proxy holds the change.
async fn change_idle_timeout(proxy: &Proxy, revision: u64, idle_timeout: &str) {
    let before = proxy.items_hash();
    proxy.send_idle_timeout(revision, idle_timeout);
    helper::wait_until("the proxy holds the change", async || proxy.items_hash() != before).await;
}

/// Guards against the end of every proxy by a very long `idleTimeout`, and against one that is taken for none at all: the
/// former one, of half a second, stayed in force.
#[test]
fn connections_may_rest_under_the_longest_idle_timeouts() {
    helper::run(async {
        let test_bed = TestBed::new(2);
        let proxy = Proxy::start(&test_bed, &[]).await;
        let mut revision = 2;
        for longest in
            ["9223372036854775807s", "18000000000000000000s", "9223372036854775807ms", "1e300s", "1e308s"]
        {
            change_idle_timeout(&proxy, revision, "500ms").await;
            change_idle_timeout(&proxy, revision + 1, longest).await;
            revision += 2;
            let mut resting = test_bed.connect().await;
            let end = timeout(REST, resting.read_u8()).await;
            assert!(end.is_err(), "{longest}: a connection at rest was ended: {end:?}");
        }
    });
}
