//! Which connections are admitted, queued, rejected and evicted, one rule at a time.

mod helper;

use fennelscale_admission::ClientClass;
use fennelscale_admission::admission::{Action, Capacity, RejectReason, RejectResponse};
use helper::{CAPACITY, TestHost, at, ip};

/// Settings with wide limits, so that a test reaches only the rule that it checks.
const WIDE: &str =
    "[admission]\nstrangers = \"10000/s\"\nstrangers-burst = 10000\n[admission.crowd]\nfrom = \"100%\"\n";

#[test]
fn the_connection_cap_of_a_client_does_not_affect_others() {
    let mut host = TestHost::new("[admission.caps]\nopen = 2", CAPACITY);
    let first = host.admit(at(0), "192.0.2.1");
    host.admit(at(0), "192.0.2.1");
    assert_eq!(host.rejected(at(0), "192.0.2.1").2, RejectReason::ClientConnections);
    host.admit(at(0), "192.0.2.2");
    host.close(at(1), first);
    host.admit(at(1), "192.0.2.1");
}

#[test]
fn the_connection_rate_of_a_client_is_limited_with_a_retry_time() {
    let mut host = TestHost::new("[admission.caps]\nrate = \"10/s\"\nburst = 3", CAPACITY);
    for _ in 0..3 {
        let id = host.admit(at(1000), "192.0.2.1");
        host.close(at(1000), id);
    }
    let (_, response, reason) = host.rejected(at(1000), "192.0.2.1");
    assert_eq!((response, reason), (RejectResponse::RespondAndLinger(100.0), RejectReason::ClientRate));
    host.admit(at(1100), "192.0.2.1");
    host.rejected(at(1150), "192.0.2.1");
}

#[test]
fn a_client_that_rotates_its_addresses_reaches_the_site_cap() {
    let mut host = TestHost::new("[admission.caps]\nopen = 1\nsite-times = 3", CAPACITY);
    for n in 0..3 {
        host.admit(at(0), &format!("2001:db8:7:{n}::1"));
    }
    assert_eq!(host.rejected(at(0), "2001:db8:7:ff::1").2, RejectReason::SiteConnections);
    // Addresses of one /64 are one client; another /48 is another site.
    assert_eq!(host.rejected(at(0), "2001:db8:7:0:5::1").2, RejectReason::ClientConnections);
    host.admit(at(0), "2001:db8:8:0::1");
}

#[test]
fn the_rate_of_unknown_clients_is_limited_and_known_clients_do_not_count() {
    let mut host = TestHost::new("[admission]\nstrangers = \"1/s\"\nstrangers-burst = 4", CAPACITY);
    host.make_known(at(0), "192.0.2.50");
    for n in 0..3 {
        host.admit(at(0), &format!("192.0.2.{n}"));
    }
    assert_eq!(host.rejected(at(0), "192.0.2.9").2, RejectReason::UnknownClients);
    host.admit(at(0), "192.0.2.50");
}

#[test]
fn unknown_and_known_clients_never_take_each_others_reserve() {
    // Of 10, 4 are reserved for known clients and 2 for unknown ones.
    let mut host = TestHost::new(WIDE, CAPACITY);
    host.make_known(at(0), "192.0.2.50");
    let unknown: Vec<_> = (0..6).map(|n| host.admit(at(0), &format!("198.51.100.{n}"))).collect();
    let (_, out) = host.connect(at(0), "198.51.100.99");
    assert_eq!(out, [], "queued, and no connection is idle for long enough to be evicted");
    for _ in 0..4 {
        host.admit(at(0), "192.0.2.50");
    }
    assert_eq!(host.admission.admitted(), [6, 4]);
    for id in unknown {
        host.close(at(0), id);
    }
    // The queued connection was admitted; known clients may have 8 in total.
    for _ in 4..8 {
        host.admit(at(0), "192.0.2.50");
    }
    assert_eq!(
        host.connect(at(0), "192.0.2.50").1.iter().filter(|a| matches!(a, Action::Admit(_))).count(),
        0
    );
    host.admit(at(0), "203.0.113.1");
}

#[test]
fn cheap_rejected_and_failed_requests_make_no_client_known() {
    let mut host = TestHost::new(WIDE, CAPACITY);
    let id = host.admit(at(0), "192.0.2.1");
    for _ in 0..10_000 {
        host.serve(at(0), id, Some(0.49));
        host.serve(at(0), id, None);
        host.serve(at(0), id, Some(f64::NAN));
        host.serve(at(0), id, Some(-1.0));
    }
    assert_eq!(host.admission.class_of(at(0), ip("192.0.2.1")), ClientClass::Unknown);
    (0..3).for_each(|_| host.serve(at(0), id, Some(1.0)));
    assert_eq!(host.admission.class_of(at(0), ip("192.0.2.1")), ClientClass::Known);
}

#[test]
fn credit_decays_and_is_capped() {
    let mut host = TestHost::new(WIDE, CAPACITY);
    let id = host.admit(at(0), "192.0.2.1");
    // Credit is capped at four times the threshold, so the client stays known for two half-lives down to the
    // threshold and one more down to half of it.
    (0..1000).for_each(|_| host.serve(at(0), id, Some(1.0)));
    assert_eq!(host.admission.class_of(at(1_799_999), ip("192.0.2.1")), ClientClass::Known);
    assert_eq!(host.admission.class_of(at(1_800_001), ip("192.0.2.1")), ClientClass::Unknown);
}

#[test]
fn many_clients_with_one_served_request_each_evict_no_known_client() {
    let mut host = TestHost::new(
        &format!("{WIDE}[admission.known]\nclients = 8").replacen('\n', "\naddresses = 4\n", 1),
        CAPACITY,
    );
    host.make_known(at(0), "192.0.2.50");
    for n in 0..200 {
        let id = host.admit(at(0), &format!("198.51.100.{n}"));
        host.serve(at(0), id, Some(1.0));
        host.close(at(0), id);
    }
    assert_eq!(host.admission.class_of(at(0), ip("192.0.2.50")), ClientClass::Known);
    assert!(host.admission.tracked_entries() <= 8 + 8 + 4);
}

#[test]
fn the_client_with_the_highest_load_loses_its_longest_idle_connection_first() {
    let text = format!(
        "{WIDE}[[admission.tier]]\nname = \"office\"\nnetworks = [\"192.0.2.0/24\"]\ncaps = {{ open = 64 }}\n"
    );
    let mut host = TestHost::new(&text, Capacity { clients: 10, queued: 4, lingering: 2 });
    // Three of 64 is a lower load than two of 32.
    let office: Vec<_> = (0..3).map(|n| host.admit(at(n), "192.0.2.1")).collect();
    let home: Vec<_> = (0..3).map(|n| host.admit(at(10 + n), "198.51.100.1")).collect();
    let (queued, out) = host.connect(at(500), "203.0.113.1");
    assert_eq!(out, [Action::Evict(home[0])]);
    let (_, out) = host.connect(at(501), "203.0.113.2");
    assert_eq!(out, [Action::Evict(home[1])], "one for each queued connection");
    assert_eq!(host.close(at(502), home[0]), [Action::Admit(queued)]);
    assert!(office.iter().all(|id| *id != queued));
}

#[test]
fn a_client_with_a_higher_load_evicts_only_its_own_connections() {
    let mut host = TestHost::new(WIDE, Capacity { queued: 8, ..CAPACITY });
    let honest = host.admit(at(0), "192.0.2.1");
    let flood: Vec<_> = (0..5).map(|n| host.admit(at(1 + n), "198.51.100.1")).collect();
    let (_, out) = host.connect(at(1000), "198.51.100.1");
    assert_eq!(out, [Action::Evict(flood[0])], "its own, not connection {honest}");
    for id in &flood[1..] {
        host.admission.on_request(*id);
    }
    assert_eq!(host.connect(at(1000), "198.51.100.1").1, [], "queued: its own connections are all busy");
}

#[test]
fn a_connection_with_an_open_request_is_never_evicted() {
    let mut host = TestHost::new(WIDE, CAPACITY);
    let ids: Vec<_> = (0..6).map(|n| host.admit(at(0), &format!("198.51.100.{n}"))).collect();
    for id in &ids {
        host.admission.on_request(*id);
    }
    let (_, out) = host.connect(at(9000), "203.0.113.1");
    assert_eq!(out, []);
    let mut out = Vec::new();
    host.admission.on_descriptor_shortage(at(9000), &mut out);
    assert_eq!(out, []);
    host.admission.on_response(at(9001), ids[3], None);
    host.admission.on_descriptor_shortage(at(9002), &mut out);
    assert_eq!(out, [Action::Evict(ids[3])]);
}

#[test]
fn known_clients_within_their_reserve_are_never_evicted() {
    let mut host = TestHost::new(WIDE, CAPACITY);
    host.make_known(at(0), "192.0.2.50");
    let known: Vec<_> = (0..4).map(|_| host.admit(at(0), "192.0.2.50")).collect();
    let mut evicted = Vec::new();
    for n in 0..60 {
        evicted.extend(host.connect(at(1 + 1000 * n), &format!("198.51.100.{n}")).1);
        host.admission.on_timer(at(900 + 1000 * n), &mut evicted);
    }
    assert!(evicted.iter().any(|a| matches!(a, Action::Evict(_))), "{evicted:?}");
    assert!(!evicted.iter().any(|a| matches!(a, Action::Evict(id) if known.contains(id))), "{evicted:?}");
}

#[test]
fn a_queued_connection_is_admitted_when_capacity_is_free_or_rejected_after_its_timeout() {
    let mut host = TestHost::new(WIDE, CAPACITY);
    let ids: Vec<_> = (0..6).map(|n| host.admit(at(0), &format!("198.51.100.{n}"))).collect();
    ids.iter().for_each(|id| host.admission.on_request(*id));
    let (first, _) = host.connect(at(10), "203.0.113.1");
    let (second, _) = host.connect(at(20), "203.0.113.2");
    assert_eq!(host.close(at(30), ids[0]), [Action::Admit(first)]);
    assert_eq!(host.admission.next_deadline(), Some(at(270)));
    let mut out = Vec::new();
    host.admission.on_timer(at(269), &mut out);
    assert_eq!(out, []);
    host.admission.on_timer(at(270), &mut out);
    assert_eq!(
        out,
        [Action::Reject(second, RejectResponse::RespondAndLinger(1000.0), RejectReason::QueueTimeout)]
    );
}

#[test]
fn no_client_fills_the_queue_and_a_full_queue_rejects_at_once() {
    let mut host = TestHost::new(WIDE, CAPACITY);
    let ids: Vec<_> = (0..6).map(|n| host.admit(at(0), &format!("198.51.100.{n}"))).collect();
    ids.iter().for_each(|id| host.admission.on_request(*id));
    assert_eq!(host.connect(at(1), "203.0.113.1").1, []);
    assert_eq!(
        host.rejected(at(1), "203.0.113.1").2,
        RejectReason::NoCapacity,
        "one client may use one of four places"
    );
    assert_eq!(host.connect(at(1), "203.0.113.2").1, []);
    assert_eq!(
        host.rejected(at(1), "203.0.113.9").2,
        RejectReason::NoCapacity,
        "unknown clients may use two of four places"
    );
}

#[test]
fn known_clients_get_exactly_their_share_of_freed_capacity() {
    let mut host = TestHost::new(WIDE, Capacity { clients: 40, queued: 32, lingering: 2 });
    for n in 0..16 {
        host.make_known(at(0), &format!("192.0.2.{n}"));
    }
    let busy: Vec<_> = (0..16).map(|n| host.admit(at(0), &format!("192.0.2.{n}"))).collect();
    let unknown: Vec<_> = (0..24).map(|n| host.admit(at(0), &format!("198.51.100.{n}"))).collect();
    busy.iter().chain(&unknown).for_each(|id| host.admission.on_request(*id));
    for n in 0..16 {
        host.connect(at(1), &format!("203.0.113.{n}"));
        host.connect(at(1), &format!("192.0.2.{n}"));
    }
    for id in &unknown[..16] {
        let out = host.close(at(2), *id);
        assert!(matches!(out[..], [Action::Admit(_), ..]), "{out:?}");
    }
    let known = host.admission.admitted()[1] - 16;
    assert_eq!(known, 12, "three of four admissions");
}

#[test]
fn rejections_linger_within_limits_and_get_a_response_up_to_a_rate() {
    let mut host =
        TestHost::new("[admission.caps]\nopen = 1\n[admission.refusals]\nanswered = \"3/s\"", CAPACITY);
    host.admit(at(0), "192.0.2.1");
    let (first, response, _) = host.rejected(at(0), "192.0.2.1");
    assert_eq!(response, RejectResponse::RespondAndLinger(1000.0));
    assert_eq!(
        host.rejected(at(0), "192.0.2.1").1,
        RejectResponse::RespondAndClose(1000.0),
        "half of the places are reserved for known clients"
    );
    host.close(at(0), first);
    assert_eq!(host.rejected(at(0), "192.0.2.1").1, RejectResponse::RespondAndLinger(1000.0));
    assert_eq!(host.rejected(at(0), "192.0.2.1").1, RejectResponse::Reset);
    assert_eq!(host.rejected(at(334), "192.0.2.1").1, RejectResponse::RespondAndClose(1000.0));
    let counts = host.admission.counts();
    assert_eq!((counts.rejections(), counts.reset), (5, 1));
}

#[test]
fn a_known_client_is_never_reset() {
    let mut host =
        TestHost::new("[admission.caps]\nopen = 1\n[admission.refusals]\nanswered = \"1/s\"", CAPACITY);
    host.make_known(at(0), "192.0.2.50");
    host.admit(at(0), "192.0.2.50");
    let responses: Vec<_> = (0..20).map(|_| host.rejected(at(0), "192.0.2.50").1).collect();
    assert_eq!(responses[..2], [RejectResponse::RespondAndLinger(1000.0); 2]);
    assert!(
        responses[2..].iter().all(|response| *response == RejectResponse::RespondAndClose(1000.0)),
        "{responses:?}"
    );
}

#[test]
fn a_descriptor_shortage_reduces_the_capacity_temporarily() {
    let mut host = TestHost::new(WIDE, Capacity { clients: 100, queued: 4, lingering: 2 });
    let ids: Vec<_> = (0..32).map(|n| host.admit(at(n), &format!("198.51.100.{n}"))).collect();
    let mut out = Vec::new();
    host.admission.on_descriptor_shortage(at(1000), &mut out);
    assert_eq!(out, [Action::Evict(ids[0])]);
    assert_eq!(host.admission.current_capacity(at(1000)), 28);
    assert_eq!(host.admission.current_capacity(at(1400)), 32);
    assert_eq!(host.admission.current_capacity(at(60_000)), 100);
}

#[test]
fn behind_a_trusted_proxy_caps_apply_to_the_real_client() {
    let text = "[admission.caps]\nopen = 2\n[[admission.proxy]]\nnetworks = [\"10.0.0.0/8\"]\nheader = \"proxy-protocol\"\nopen = 5\n";
    let mut host = TestHost::new(text, Capacity { clients: 20, queued: 8, lingering: 2 });
    let mut ids = Vec::new();
    for (client, fits) in
        [("192.0.2.1", true), ("192.0.2.1", true), ("192.0.2.1", false), ("192.0.2.2", true)]
    {
        let (id, out) = host.connect(at(0), "10.0.0.1");
        assert_eq!(out, [Action::Identify(id)]);
        let mut out = Vec::new();
        host.admission.on_client_identified(at(0), id, ip(client), &mut out);
        assert_eq!(out[0] == Action::Admit(id), fits, "{client}: {out:?}");
        ids.push(id);
    }
    // The proxy has its own cap.
    host.connect(at(0), "10.0.0.1");
    assert_eq!(host.rejected(at(0), "10.0.0.1").2, RejectReason::ProxyConnections);
    assert_eq!(host.connect(at(0), "10.0.0.2").1.len(), 1, "another proxy has its own cap");
    for id in ids {
        host.close(at(1), id);
    }
    assert_eq!(
        (host.admission.open_connections(ip("192.0.2.1")), host.admission.open_connections(ip("192.0.2.2"))),
        (0, 0)
    );
}

#[test]
fn a_proxy_that_connects_for_itself_leaves_no_entries() {
    let text = "[[admission.proxy]]\nnetworks = [\"10.0.0.0/8\"]\nheader = \"proxy-protocol\"\nopen = 5\n";
    let mut host = TestHost::new(&format!("[admission]\n{text}"), CAPACITY);
    for _ in 0..20 {
        let (id, _) = host.connect(at(0), "10.0.0.1");
        let mut out = Vec::new();
        host.admission.on_client_identified(at(0), id, ip("10.0.0.1"), &mut out);
        assert_eq!(out, [Action::Admit(id)]);
        host.close(at(0), id);
    }
    assert_eq!(host.admission.active_entries(), 0);
}

#[test]
fn requests_on_a_shared_connection_count_for_their_clients_until_the_response() {
    let text = "[admission.caps]\nopen = 1\n[[admission.proxy]]\nnetworks = [\"10.0.0.0/8\"]\nheader = \"forwarded\"\nopen = 5\n";
    let mut host = TestHost::new(text, CAPACITY);
    let (one, other) = (host.admit(at(0), "10.0.0.1"), host.admit(at(0), "10.0.0.1"));
    assert_eq!(host.admission.assign_request(at(0), one, ip("192.0.2.1")), Ok(()));
    assert_eq!(host.admission.assign_request(at(0), other, ip("192.0.2.1")), Err(1000.0));
    assert_eq!(host.admission.assign_request(at(0), other, ip("192.0.2.2")), Ok(()));
    host.admission.on_request(one);
    host.admission.on_response(at(1), one, Some(1.0));
    assert_eq!(host.admission.assign_request(at(1), one, ip("192.0.2.1")), Ok(()));
    // The client becomes known, not the proxy; a close ends a request as a response does.
    (0..2).for_each(|_| {
        host.admission.on_response(at(1), one, Some(1.0));
        assert_eq!(host.admission.assign_request(at(1), one, ip("192.0.2.1")), Ok(()));
    });
    host.close(at(1), one);
    host.close(at(1), other);
    assert_eq!(host.admission.class_of(at(1), ip("192.0.2.1")), ClientClass::Known);
    assert_eq!(host.admission.class_of(at(1), ip("10.0.0.1")), ClientClass::Unknown);
    assert_eq!(host.admission.active_entries(), 0);
}

#[test]
fn a_million_addresses_stay_within_the_memory_bound() {
    let text = "[admission]\nstrangers = \"1000000/s\"\nstrangers-burst = 1000000\naddresses = 1000\n";
    let mut host = TestHost::new(text, CAPACITY);
    for n in 0..1_000_000_u32 {
        let from = std::net::Ipv4Addr::from(0x0a00_0000 + n).to_string();
        let id = host.admit(at(u64::from(n) / 1000), &from);
        host.close(at(u64::from(n) / 1000), id);
    }
    // Clients and sites have the same bound, and no client became known.
    assert!(host.admission.tracked_entries() <= 2000, "{}", host.admission.tracked_entries());
    assert_eq!(host.admission.active_entries(), 0);
}

#[test]
fn without_settings_nothing_is_rejected_and_idle_connections_are_evicted() {
    let settings = fennelscale_settings::admission::Admission::neutral();
    let room = Capacity { clients: 10, queued: 0, lingering: 0 };
    let mut host = TestHost {
        admission: fennelscale_admission::admission::Admission::new(&settings, room),
        out: Vec::new(),
    };
    let mut ids = Vec::new();
    for n in 0..10_u64 {
        let mut out = Vec::new();
        assert!(host.admission.may_accept(at(n), &mut out));
        let evicted: Vec<_> = if n >= 5 { vec![Action::Evict(ids[n as usize - 5])] } else { Vec::new() };
        assert_eq!(out, evicted);
        ids.push(host.admit(at(n), if n % 2 == 0 { "192.0.2.1" } else { "2001:db8::1" }));
    }
    let mut out = Vec::new();
    assert!(!host.admission.may_accept(at(10), &mut out));
    assert_eq!(out, [Action::Evict(ids[5])]);
    host.close(at(11), ids[0]);
    assert!(host.admission.may_accept(at(12), &mut out));
}

/// Each address of a flood is rejected once and does not return; a new client does.
#[test]
fn a_client_that_returns_on_time_is_admitted_during_a_flood() {
    let text = "[admission]\nstrangers = \"10/s\"\nstrangers-burst = 1\n[admission.crowd]\nfrom = \"100%\"\n";
    let mut host = TestHost::new(text, CAPACITY);
    let mut flood = (0..).map(|n: u32| std::net::Ipv4Addr::from(0x0a00_0000 + n).to_string());
    let flood_until = |host: &mut TestHost, from: u64, to: u64, flood: &mut dyn Iterator<Item = String>| {
        for now in from..to {
            for _ in 0..4 {
                let (id, _) = host.connect(at(now), &flood.next().unwrap_or_default());
                host.close(at(now), id);
            }
        }
    };
    flood_until(&mut host, 0, 101, &mut flood);
    let (_, _, reason) = host.rejected(at(100), "192.0.2.1");
    assert_eq!(reason, RejectReason::UnknownClients);
    // Too early it is rejected again, which does not delay it further.
    flood_until(&mut host, 101, 501, &mut flood);
    assert_eq!(host.rejected(at(500), "192.0.2.1").2, RejectReason::UnknownClients);
    flood_until(&mut host, 501, 1101, &mut flood);
    let id = host.admit(at(1100), "192.0.2.1");
    host.close(at(1100), id);
    // Once for each rejection.
    assert_eq!(host.rejected(at(1101), "192.0.2.1").2, RejectReason::UnknownClients);
}

#[test]
fn returning_clients_are_rate_limited_and_forgotten_after_a_while() {
    let text = "[admission]\nstrangers = \"0.001/s\"\nstrangers-burst = 1\n[admission.returning]\nrate = \"2/s\"\nforget = \"5s\"\n[admission.crowd]\nfrom = \"100%\"\n";
    let mut host = TestHost::new(text, CAPACITY);
    host.admit(at(0), "203.0.113.1");
    let names: Vec<String> = (0..5).map(|n| format!("198.51.100.{n}")).collect();
    for name in &names {
        assert_eq!(host.rejected(at(0), name).2, RejectReason::UnknownClients);
    }
    for name in &names[..2] {
        host.admit(at(1000), name);
    }
    assert_eq!(host.rejected(at(1000), &names[2]).2, RejectReason::UnknownClients, "two a second");
    host.admit(at(1500), &names[2]);
    assert_eq!(host.rejected(at(6000), &names[3]).2, RejectReason::UnknownClients, "forgotten");
    let mut off = TestHost::new(&text.replace("\"2/s\"", "\"0/s\""), CAPACITY);
    off.admit(at(0), "203.0.113.1");
    off.rejected(at(0), &names[0]);
    assert_eq!(off.rejected(at(2000), &names[0]).2, RejectReason::UnknownClients);
}
