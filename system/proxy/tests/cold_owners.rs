//! Tests of the ownership of cold backends while proxies join and leave.

use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, ProxyInfo};
use fennelscale_proxy::cold_owners::{ColdOwners, TAKEOVER_GRACE};

const SECOND: f64 = 1000.0;

fn proxy(host: u32, zone: &str, ready: bool) -> ProxyInfo {
    let (zone, region) = (zone.to_owned(), "r".to_owned());
    ProxyInfo { host: Host(host), incarnation: 1, zone, region, port: 1, ready, idle_nodes: Vec::new() }
}

fn backend(id: &str) -> Backend {
    Backend {
        id: id.to_owned(),
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        zone: "a".into(),
        slots: 2,
        draining: false,
        cold_ms: 1,
    }
}

fn owned_count(owners: &ColdOwners, now: f64, proxy: u32) -> usize {
    let ids = (0..100).map(|n| format!("i-{n}"));
    ids.filter(|id| owners.owns(now, Host(proxy), &backend(id), |_| "r")).count()
}

#[test]
fn proxies_of_the_zone_share_its_backends_and_others_own_none() {
    let mut owners = ColdOwners::default();
    owners.set_proxies(0.0, &[proxy(1, "a", true), proxy(2, "a", true), proxy(3, "b", true)]);
    let all = [1, 2, 3].map(|proxy| owned_count(&owners, TAKEOVER_GRACE, proxy));
    assert!(all[0] > 30 && all[1] > 30 && all[0] + all[1] == 100 && all[2] == 0, "{all:?}");
}

#[test]
fn a_proxy_that_has_just_started_owns_nothing_yet() {
    let mut owners = ColdOwners::default();
    assert_eq!(owned_count(&owners, 0.0, 1), 0);
    owners.set_proxies(0.0, &[proxy(1, "a", true)]);
    owners.set_proxies(TAKEOVER_GRACE - 1.0, &[proxy(1, "a", true)]);
    assert_eq!([TAKEOVER_GRACE - 1.0, TAKEOVER_GRACE].map(|now| owned_count(&owners, now, 1)), [0, 100]);
}

#[test]
fn no_proxy_takes_over_while_the_former_owner_may_still_send() {
    let mut owners = ColdOwners::default();
    let both = |ready| [proxy(1, "a", true), proxy(2, "a", ready)];
    owners.set_proxies(0.0, &both(true));
    let (now, before) = (2.0 * TAKEOVER_GRACE, owned_count(&owners, 2.0 * TAKEOVER_GRACE, 1));
    // The other proxy is missing, or not ready; a later list without it does not restart the grace period.
    for list in [vec![proxy(1, "a", true)], both(false).to_vec()] {
        let mut owners = owners.clone();
        owners.set_proxies(now, &list);
        assert!(owners.may_change(now + SECOND, SECOND));
        owners.set_proxies(now + SECOND, &list);
        let [early, late] =
            [now + TAKEOVER_GRACE - 1.0, now + TAKEOVER_GRACE].map(|now| owned_count(&owners, now, 1));
        assert_eq!((early, late), (before, 100));
        assert!(!owners.may_change(now + TAKEOVER_GRACE + SECOND, SECOND));
    }
    owners.set_proxies(now, &[proxy(1, "a", true)]);
    owners.set_proxies(now + SECOND, &both(true));
    assert_eq!(owned_count(&owners, now + TAKEOVER_GRACE, 1), before, "the other proxy is listed again");
}
