//! Which registry a proxy goes by, while registries fail and are cut off.

use fennelscale_messages::Host;
use fennelscale_messages::session::CONTACT_LEASE;
use fennelscale_proxy::registry_choice::{FAILURE_MEMORY, PROBE_INTERVAL, RegistryChoice};

const ALL: [Host; 4] = [Host(1), Host(2), Host(3), Host(4)];

#[test]
fn the_nearest_that_has_not_failed_goes_first_and_then_the_one_that_failed_first() {
    let mut choice = RegistryChoice::default();
    assert_eq!(choice.next_registry(0.0, &ALL), Some(Host(1)));
    for (at, host) in [(10.0, 1), (20.0, 3), (30.0, 2)] {
        choice.record_failure(at, Host(host));
    }
    assert_eq!(choice.next_registry(40.0, &ALL), Some(Host(4)));
    choice.record_failure(50.0, Host(4));
    assert_eq!(choice.next_registry(60.0, &ALL), Some(Host(1)));
    assert_eq!(choice.next_registry(20.0 + FAILURE_MEMORY, &ALL), Some(Host(1)), "thought of again");
    assert!(
        choice.failed_recently(20.0 + FAILURE_MEMORY, Host(2))
            && !choice.failed_recently(20.0 + FAILURE_MEMORY, Host(3))
    );
}

/// The operators' day: all others start again while one is cut off, so each of them has failed; the proxy has its session with the
/// one that is cut off, and must not stay with it because nobody else is thought of.
#[test]
fn a_proxy_whose_registry_is_out_of_contact_looks_at_those_that_failed_too() {
    let mut choice = RegistryChoice::default();
    for (at, host) in [(100.0, 2), (200.0, 3), (300.0, 4)] {
        choice.record_failure(at, Host(host));
    }
    choice.record_heartbeat(400.0, 100.0);
    assert_eq!(choice.alternatives(500.0, Host(1), &ALL), [], "in contact");
    let late = 400.0 + CONTACT_LEASE;
    choice.record_heartbeat(late, CONTACT_LEASE + 200.0);
    assert_eq!(choice.alternatives(late, Host(1), &ALL), [Host(2), Host(3)]);
    assert_eq!(choice.alternatives(late + PROBE_INTERVAL - 1.0, Host(1), &ALL), [], "not at each beat");
    choice.record_failure(late, Host(2));
    assert_eq!(choice.alternatives(late + PROBE_INTERVAL, Host(1), &ALL), [Host(3), Host(4)]);
}

/// The nearest two are gone for good: what cannot be reached is not all that is ever looked at.
#[test]
fn a_look_goes_on_to_others_when_the_nearest_cannot_be_reached() {
    let mut choice = RegistryChoice::default();
    choice.record_heartbeat(0.0, 0.0);
    let mut seen = Vec::new();
    for look in 0..2 {
        let now = 2.0 * CONTACT_LEASE + f64::from(look) * PROBE_INTERVAL;
        for host in choice.alternatives(now, Host(1), &ALL) {
            choice.record_failure(now, host);
            seen.push(host);
        }
    }
    assert_eq!(seen[..3], [Host(2), Host(3), Host(4)]);
}

#[test]
fn a_registry_without_contact_does_not_renew_the_lease() {
    let mut choice = RegistryChoice::default();
    assert_eq!(choice.contact_age(0.0), None);
    choice.record_heartbeat(0.0, 0.0);
    for beat in 1..20 {
        let now = f64::from(beat) * 400.0;
        choice.record_heartbeat(now, now);
        assert_eq!(choice.contact_age(now), Some(now));
        assert_eq!(choice.is_out_of_contact(now), now > CONTACT_LEASE);
    }
    // One that has contact does, also by a beat that was on its way for a while; an older word takes nothing back.
    choice.record_heartbeat(8000.0, 300.0);
    choice.record_heartbeat(8010.0, 7000.0);
    assert_eq!(choice.contact_age(8010.0), Some(310.0));
}
