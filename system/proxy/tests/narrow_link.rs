//! Tests a whole proxy on loopback whose link to the registry is narrow.

mod helper;

use helper::{Proxy, TestBed};

/// What the link carries, and routes that take twice as long on it as a session may be silent.
const BYTES_PER_S: usize = 60_000;
const ROUTES: usize = 1500;

/// Guards against CONFIG (an added route was not served): a message that took longer than 1.5 s to arrive was taken for
/// silence; the session ended, and the next one began the same transfer again.
#[test]
fn a_message_that_takes_long_to_arrive_does_not_end_the_session() {
    helper::run(async {
        let test_bed = TestBed::new(1);
        let proxy = Proxy::start_behind_link(&test_bed, BYTES_PER_S).await;
        let heartbeats = proxy.heartbeats();
        helper::wait_until("the proxy sends heartbeats", async || proxy.heartbeats() > heartbeats + 1).await;
        let (sessions, before) = (proxy.sessions(), proxy.items_hash());
        proxy.send_routes(2, ROUTES);
        helper::wait_until("the routes have arrived, or the session has ended", async || {
            proxy.items_hash() != before || proxy.sessions() != sessions
        })
        .await;
        assert_eq!(proxy.sessions(), sessions, "the session ended");
    });
}
