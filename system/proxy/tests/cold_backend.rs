//! A whole proxy on loopback, with a stand-in registry that tells it lists of backends, and backends that count arrivals.

mod helper;

use fennelscale_messages::Host;
use helper::{Proxy, Stage, listed, within};

/// A cold backend of another proxy's zone: that one owns it while it is cold.
const OTHERS_ZONE: &str = "b";
/// Longer than the test.
const COLD_MS: u32 = 600_000;

#[test]
fn requests_held_when_a_list_comes_do_not_flood_a_cold_backend() {
    helper::run(async {
        let stage = Stage::new(1);
        let (busy, cold) = (stage.backend(1, "busy").await, stage.backend(2, "cold").await);
        busy.hold_all();
        let other = Host::from_ip(stage.ip(50).into()).expect("IPv4");
        let proxy = Proxy::start(&stage, &[(other, OTHERS_ZONE)]).await;
        proxy.tell_list(1, vec![listed("busy", &busy, "a", 0)]).await;
        let _clients = stage.ask_many(6);
        within("requests are held", async || proxy.metric("held_requests", "").await > 0.0).await;

        let both = |cold_ms| vec![listed("busy", &busy, "a", 0), listed("cold", &cold, OTHERS_ZONE, cold_ms)];
        proxy.tell_list(2, both(COLD_MS)).await;
        assert_eq!(cold.arrivals(), 0, "it is cold, and another proxy's to send to");

        proxy.tell_list(3, both(0)).await;
        within("what is held goes there once it is warm", async || cold.arrivals() > 0).await;
        assert_eq!(proxy.sent_without_terms().await, 0.0);
    });
}
