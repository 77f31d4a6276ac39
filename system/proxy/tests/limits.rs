//! Tests a whole proxy on loopback: limits of the configuration that change while connections are open.

mod helper;

use helper::{Proxy, TestBed};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Well below the idle timeout of the first configuration, which is 15 s.
const SOON: Duration = Duration::from_secs(7);

/// Guards against CONFIG (limits): the idle timeout of the first configuration stayed in force whatever came after it.
#[test]
fn a_changed_idle_timeout_holds_for_connections_that_are_open_and_for_new_ones() {
    helper::run(async {
        let test_bed = TestBed::new(1);
        let proxy = Proxy::start(&test_bed, &[]).await;
        // Before the first connection, whose idle time counts from its own start.
        let started_at = Instant::now();
        let mut open = test_bed.connect().await;
        proxy.send_idle_timeout(2, 500);
        let end = timeout(SOON, open.read_u8()).await;
        assert!(end.is_ok_and(|read| read.is_err()), "an open connection outlasts the new idle timeout");
        let mut new = test_bed.connect().await;
        let end = timeout(SOON, new.read_u8()).await;
        assert!(end.is_ok_and(|read| read.is_err()), "a new connection outlasts the new idle timeout");
        assert!(started_at.elapsed() >= Duration::from_millis(1000), "closed before the idle timeout");
    });
}
