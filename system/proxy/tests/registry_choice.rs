//! Tests of the registry choice while registries fail and are cut off.

use fennelscale_messages::Host;
use fennelscale_messages::session::CONTACT_LEASE;
use fennelscale_proxy::registry_choice::{FAILURE_MEMORY, PROBE_INTERVAL, RegistryChoice};

const ALL: [Host; 4] = [Host(1), Host(2), Host(3), Host(4)];

#[test]
fn the_nearest_healthy_registry_comes_first_and_then_the_earliest_failure() {
    let mut choice = RegistryChoice::default();
    assert_eq!(choice.next_registry(0.0, &ALL), Some(Host(1)));
    for (at, host) in [(10.0, 1), (20.0, 3), (30.0, 2)] {
        choice.record_failure(at, Host(host));
    }
    assert_eq!(choice.next_registry(40.0, &ALL), Some(Host(4)));
    choice.record_failure(50.0, Host(4));
    assert_eq!(choice.next_registry(60.0, &ALL), Some(Host(1)));
    assert_eq!(choice.next_registry(20.0 + FAILURE_MEMORY, &ALL), Some(Host(1)), "considered again");
    assert!(
        choice.failed_recently(20.0 + FAILURE_MEMORY, Host(2))
            && !choice.failed_recently(20.0 + FAILURE_MEMORY, Host(3))
    );
}

/// Guards against a proxy that stays with a registry that is cut off. All other registries restart meanwhile,
/// so each of them has failed recently, and none was considered.
#[test]
fn failed_registries_are_probed_too_while_the_current_one_is_out_of_contact() {
    let mut choice = RegistryChoice::default();
    for (at, host) in [(100.0, 2), (200.0, 3), (300.0, 4)] {
        choice.record_failure(at, Host(host));
    }
    choice.record_heartbeat(400.0, 100.0);
    assert_eq!(choice.alternatives(500.0, Host(1), &ALL), [], "in contact");
    let late = 400.0 + CONTACT_LEASE;
    choice.record_heartbeat(late, CONTACT_LEASE + 200.0);
    assert_eq!(choice.alternatives(late, Host(1), &ALL), [Host(2), Host(3)]);
    assert_eq!(choice.alternatives(late + PROBE_INTERVAL - 1.0, Host(1), &ALL), [], "not at each heartbeat");
    choice.record_failure(late, Host(2));
    assert_eq!(choice.alternatives(late + PROBE_INTERVAL, Host(1), &ALL), [Host(3), Host(4)]);
}

/// The nearest two registries are gone for good: probes must not be limited to them.
#[test]
fn a_probe_moves_on_when_the_nearest_registries_cannot_be_reached() {
    let mut choice = RegistryChoice::default();
    choice.record_heartbeat(0.0, 0.0);
    let mut probed = Vec::new();
    for probe in 0..2 {
        let now = 2.0 * CONTACT_LEASE + f64::from(probe) * PROBE_INTERVAL;
        for host in choice.alternatives(now, Host(1), &ALL) {
            choice.record_failure(now, host);
            probed.push(host);
        }
    }
    assert_eq!(probed[..3], [Host(2), Host(3), Host(4)]);
}

#[test]
fn a_registry_without_contact_does_not_renew_the_lease() {
    let mut choice = RegistryChoice::default();
    assert_eq!(choice.contact_age(0.0), None);
    choice.record_heartbeat(0.0, 0.0);
    for heartbeat in 1..20 {
        let now = f64::from(heartbeat) * 400.0;
        choice.record_heartbeat(now, now);
        assert_eq!(choice.contact_age(now), Some(now));
        assert_eq!(choice.is_out_of_contact(now), now > CONTACT_LEASE);
    }
    // A registry with contact renews it, also by a delayed heartbeat; an older contact does not move it back.
    choice.record_heartbeat(8000.0, 300.0);
    choice.record_heartbeat(8010.0, 7000.0);
    assert_eq!(choice.contact_age(8010.0), Some(310.0));
}
