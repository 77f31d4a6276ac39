//! Tests a whole proxy on loopback with a cold backend: a fake registry sends it lists, and fake backends
//! count requests.

mod helper;

use fennelscale_messages::Host;
use helper::{Proxy, TestBed, listed, wait_until};

/// The zone of the cold backend and of another proxy, which owns the backend while it is cold.
const OTHER_ZONE: &str = "b";
/// Longer than the test.
const COLD_MS: u32 = 600_000;

#[test]
fn queued_requests_do_not_flood_a_cold_backend_when_a_list_arrives() {
    helper::run(async {
        let test_bed = TestBed::new(1);
        let (busy, cold) = (test_bed.backend(1, "busy").await, test_bed.backend(2, "cold").await);
        busy.hold_all();
        let other = Host::from_ip(test_bed.ip(50).into()).expect("IPv4");
        let proxy = Proxy::start(&test_bed, &[(other, OTHER_ZONE)]).await;
        proxy.send_list(1, vec![listed("busy", &busy, "a", 0)]).await;
        let _clients = test_bed.request_many(6);
        wait_until("requests are queued", async || proxy.metric("held_requests", "").await > 0.0).await;

        let both = |cold_ms| vec![listed("busy", &busy, "a", 0), listed("cold", &cold, OTHER_ZONE, cold_ms)];
        proxy.send_list(2, both(COLD_MS)).await;
        assert_eq!(cold.arrivals(), 0, "the backend is cold, and another proxy owns it");

        proxy.send_list(3, both(0)).await;
        wait_until("queued requests are sent to the warm backend", async || cold.arrivals() > 0).await;
        assert_eq!(proxy.sent_without_parameters().await, 0.0);
    });
}
