//! What is admitted, held, refused and evicted, one rule at a time.

mod helper;

use fennelscale_admission::ClientClass;
use fennelscale_admission::admission::{Action, Capacity, RejectReason, RejectResponse};
use helper::{CAPACITY, Door, at, ip};

/// Caps far away, so that a test meets the rule it is about.
const WIDE: &str =
    "[admission]\nstrangers = \"10000/s\"\nstrangers-burst = 10000\n[admission.crowd]\nfrom = \"100%\"\n";

#[test]
fn a_client_may_have_so_many_open_and_another_is_none_the_worse() {
    let mut door = Door::new("[admission.caps]\nopen = 2", CAPACITY);
    let first = door.admit(at(0), "192.0.2.1");
    door.admit(at(0), "192.0.2.1");
    assert_eq!(door.refused(at(0), "192.0.2.1").2, RejectReason::ClientConnections);
    door.admit(at(0), "192.0.2.2");
    door.close(at(1), first);
    door.admit(at(1), "192.0.2.1");
}

#[test]
fn a_client_may_connect_so_fast_and_is_told_when_to_return() {
    let mut door = Door::new("[admission.caps]\nrate = \"10/s\"\nburst = 3", CAPACITY);
    for _ in 0..3 {
        let id = door.admit(at(1000), "192.0.2.1");
        door.close(at(1000), id);
    }
    let (_, tell, why) = door.refused(at(1000), "192.0.2.1");
    assert_eq!((tell, why), (RejectResponse::RespondAndLinger(100.0), RejectReason::ClientRate));
    door.admit(at(1100), "192.0.2.1");
    door.refused(at(1150), "192.0.2.1");
}

#[test]
fn one_who_rotates_through_a_site_meets_its_cap() {
    let mut door = Door::new("[admission.caps]\nopen = 1\nsite-times = 3", CAPACITY);
    for n in 0..3 {
        door.admit(at(0), &format!("2001:db8:7:{n}::1"));
    }
    assert_eq!(door.refused(at(0), "2001:db8:7:ff::1").2, RejectReason::SiteConnections);
    // Addresses of one /64 are one client, those of another /48 another site.
    assert_eq!(door.refused(at(0), "2001:db8:7:0:5::1").2, RejectReason::ClientConnections);
    door.admit(at(0), "2001:db8:8:0::1");
}

#[test]
fn strangers_together_come_no_faster_than_stated_and_known_clients_do_not_count() {
    let mut door = Door::new("[admission]\nstrangers = \"1/s\"\nstrangers-burst = 4", CAPACITY);
    door.make_known(at(0), "192.0.2.50");
    for n in 0..3 {
        door.admit(at(0), &format!("192.0.2.{n}"));
    }
    assert_eq!(door.refused(at(0), "192.0.2.9").2, RejectReason::UnknownClients);
    door.admit(at(0), "192.0.2.50");
}

#[test]
fn strangers_never_take_the_reserve_and_known_clients_never_the_way_in() {
    // Of 10: 4 for known clients, 2 for strangers.
    let mut door = Door::new(WIDE, CAPACITY);
    door.make_known(at(0), "192.0.2.50");
    let strangers: Vec<_> = (0..6).map(|n| door.admit(at(0), &format!("198.51.100.{n}"))).collect();
    let (_, out) = door.connect(at(0), "198.51.100.99");
    assert_eq!(out, [], "held, and nobody is idle for long enough to go");
    for _ in 0..4 {
        door.admit(at(0), "192.0.2.50");
    }
    assert_eq!(door.admission.admitted(), [6, 4]);
    for id in strangers {
        door.close(at(0), id);
    }
    // The one that was held came in; known clients may have 8 in all.
    for _ in 4..8 {
        door.admit(at(0), "192.0.2.50");
    }
    assert_eq!(
        door.connect(at(0), "192.0.2.50").1.iter().filter(|a| matches!(a, Action::Admit(_))).count(),
        0
    );
    door.admit(at(0), "203.0.113.1");
}

#[test]
fn cheap_refused_and_failed_requests_make_nobody_known() {
    let mut door = Door::new(WIDE, CAPACITY);
    let id = door.admit(at(0), "192.0.2.1");
    for _ in 0..10_000 {
        door.serve(at(0), id, Some(0.49));
        door.serve(at(0), id, None);
        door.serve(at(0), id, Some(f64::NAN));
        door.serve(at(0), id, Some(-1.0));
    }
    assert_eq!(door.admission.class_of(at(0), ip("192.0.2.1")), ClientClass::Unknown);
    (0..3).for_each(|_| door.serve(at(0), id, Some(1.0)));
    assert_eq!(door.admission.class_of(at(0), ip("192.0.2.1")), ClientClass::Known);
}

#[test]
fn standing_fades_and_what_is_saved_up_has_an_end() {
    let mut door = Door::new(WIDE, CAPACITY);
    let id = door.admit(at(0), "192.0.2.1");
    // Far more than counts: four times what makes known, so known for two half-lives more, and one.
    (0..1000).for_each(|_| door.serve(at(0), id, Some(1.0)));
    assert_eq!(door.admission.class_of(at(1_799_999), ip("192.0.2.1")), ClientClass::Known);
    assert_eq!(door.admission.class_of(at(1_800_001), ip("192.0.2.1")), ClientClass::Unknown);
}

#[test]
fn a_crowd_with_one_served_request_each_pushes_no_known_client_out() {
    let mut door = Door::new(
        &format!("{WIDE}[admission.known]\nclients = 8").replacen('\n', "\naddresses = 4\n", 1),
        CAPACITY,
    );
    door.make_known(at(0), "192.0.2.50");
    for n in 0..200 {
        let id = door.admit(at(0), &format!("198.51.100.{n}"));
        door.serve(at(0), id, Some(1.0));
        door.close(at(0), id);
    }
    assert_eq!(door.admission.class_of(at(0), ip("192.0.2.50")), ClientClass::Known);
    assert!(door.admission.tracked_entries() <= 8 + 8 + 4);
}

#[test]
fn who_holds_most_beyond_its_share_goes_first_and_of_its_own_the_one_idle_longest() {
    let text = format!(
        "{WIDE}[[admission.tier]]\nname = \"office\"\nnetworks = [\"192.0.2.0/24\"]\ncaps = {{ open = 64 }}\n"
    );
    let mut door = Door::new(&text, Capacity { clients: 10, queued: 4, lingering: 2 });
    // Three of 64 is less than two of 32.
    let office: Vec<_> = (0..3).map(|n| door.admit(at(n), "192.0.2.1")).collect();
    let home: Vec<_> = (0..3).map(|n| door.admit(at(10 + n), "198.51.100.1")).collect();
    let (held, out) = door.connect(at(500), "203.0.113.1");
    assert_eq!(out, [Action::Evict(home[0])]);
    let (_, out) = door.connect(at(501), "203.0.113.2");
    assert_eq!(out, [Action::Evict(home[1])], "one for each that waits");
    assert_eq!(door.close(at(502), home[0]), [Action::Admit(held)]);
    assert!(office.iter().all(|id| *id != held));
}

#[test]
fn a_client_that_holds_more_makes_nobody_else_leave() {
    let mut door = Door::new(WIDE, Capacity { queued: 8, ..CAPACITY });
    let honest = door.admit(at(0), "192.0.2.1");
    let flood: Vec<_> = (0..5).map(|n| door.admit(at(1 + n), "198.51.100.1")).collect();
    let (_, out) = door.connect(at(1000), "198.51.100.1");
    assert_eq!(out, [Action::Evict(flood[0])], "its own, not that of {honest}");
    for id in &flood[1..] {
        door.admission.on_request(*id);
    }
    assert_eq!(door.connect(at(1000), "198.51.100.1").1, [], "held: its own are all busy");
}

#[test]
fn a_connection_with_an_open_request_is_never_asked_to_leave() {
    let mut door = Door::new(WIDE, CAPACITY);
    let ids: Vec<_> = (0..6).map(|n| door.admit(at(0), &format!("198.51.100.{n}"))).collect();
    for id in &ids {
        door.admission.on_request(*id);
    }
    let (_, out) = door.connect(at(9000), "203.0.113.1");
    assert_eq!(out, []);
    let mut out = Vec::new();
    door.admission.on_descriptor_shortage(at(9000), &mut out);
    assert_eq!(out, []);
    door.admission.on_response(at(9001), ids[3], None);
    door.admission.on_descriptor_shortage(at(9002), &mut out);
    assert_eq!(out, [Action::Evict(ids[3])]);
}

#[test]
fn known_clients_within_their_reserve_stay_whoever_comes() {
    let mut door = Door::new(WIDE, CAPACITY);
    door.make_known(at(0), "192.0.2.50");
    let known: Vec<_> = (0..4).map(|_| door.admit(at(0), "192.0.2.50")).collect();
    let mut asked = Vec::new();
    for n in 0..60 {
        asked.extend(door.connect(at(1 + 1000 * n), &format!("198.51.100.{n}")).1);
        door.admission.on_timer(at(900 + 1000 * n), &mut asked);
    }
    assert!(asked.iter().any(|a| matches!(a, Action::Evict(_))), "{asked:?}");
    assert!(!asked.iter().any(|a| matches!(a, Action::Evict(id) if known.contains(id))), "{asked:?}");
}

#[test]
fn who_waits_is_admitted_when_one_leaves_or_refused_when_the_wait_is_over() {
    let mut door = Door::new(WIDE, CAPACITY);
    let ids: Vec<_> = (0..6).map(|n| door.admit(at(0), &format!("198.51.100.{n}"))).collect();
    ids.iter().for_each(|id| door.admission.on_request(*id));
    let (first, _) = door.connect(at(10), "203.0.113.1");
    let (second, _) = door.connect(at(20), "203.0.113.2");
    assert_eq!(door.close(at(30), ids[0]), [Action::Admit(first)]);
    assert_eq!(door.admission.next_deadline(), Some(at(270)));
    let mut out = Vec::new();
    door.admission.on_timer(at(269), &mut out);
    assert_eq!(out, []);
    door.admission.on_timer(at(270), &mut out);
    assert_eq!(
        out,
        [Action::Reject(second, RejectResponse::RespondAndLinger(1000.0), RejectReason::QueueTimeout)]
    );
}

#[test]
fn no_client_fills_the_line_and_a_full_line_refuses_at_once() {
    let mut door = Door::new(WIDE, CAPACITY);
    let ids: Vec<_> = (0..6).map(|n| door.admit(at(0), &format!("198.51.100.{n}"))).collect();
    ids.iter().for_each(|id| door.admission.on_request(*id));
    assert_eq!(door.connect(at(1), "203.0.113.1").1, []);
    assert_eq!(
        door.refused(at(1), "203.0.113.1").2,
        RejectReason::NoCapacity,
        "one of four is all for one client"
    );
    assert_eq!(door.connect(at(1), "203.0.113.2").1, []);
    assert_eq!(
        door.refused(at(1), "203.0.113.9").2,
        RejectReason::NoCapacity,
        "two of four are all for strangers"
    );
}

#[test]
fn known_clients_get_their_share_of_what_becomes_free_and_no_more() {
    let mut door = Door::new(WIDE, Capacity { clients: 40, queued: 32, lingering: 2 });
    for n in 0..16 {
        door.make_known(at(0), &format!("192.0.2.{n}"));
    }
    let busy: Vec<_> = (0..16).map(|n| door.admit(at(0), &format!("192.0.2.{n}"))).collect();
    let strangers: Vec<_> = (0..24).map(|n| door.admit(at(0), &format!("198.51.100.{n}"))).collect();
    busy.iter().chain(&strangers).for_each(|id| door.admission.on_request(*id));
    for n in 0..16 {
        door.connect(at(1), &format!("203.0.113.{n}"));
        door.connect(at(1), &format!("192.0.2.{n}"));
    }
    for id in &strangers[..16] {
        let out = door.close(at(2), *id);
        assert!(matches!(out[..], [Action::Admit(_), ..]), "{out:?}");
    }
    let known = door.admission.admitted()[1] - 16;
    assert_eq!(known, 12, "three of four");
}

#[test]
fn refusals_linger_while_there_is_a_place_and_get_an_answer_up_to_a_rate() {
    let mut door =
        Door::new("[admission.caps]\nopen = 1\n[admission.refusals]\nanswered = \"3/s\"", CAPACITY);
    door.admit(at(0), "192.0.2.1");
    let (first, tell, _) = door.refused(at(0), "192.0.2.1");
    assert_eq!(tell, RejectResponse::RespondAndLinger(1000.0));
    assert_eq!(
        door.refused(at(0), "192.0.2.1").1,
        RejectResponse::RespondAndClose(1000.0),
        "half of the places are for known clients"
    );
    door.close(at(0), first);
    assert_eq!(door.refused(at(0), "192.0.2.1").1, RejectResponse::RespondAndLinger(1000.0));
    assert_eq!(door.refused(at(0), "192.0.2.1").1, RejectResponse::Reset);
    assert_eq!(door.refused(at(334), "192.0.2.1").1, RejectResponse::RespondAndClose(1000.0));
    let counts = door.admission.counts();
    assert_eq!((counts.rejections(), counts.reset), (5, 1));
}

#[test]
fn a_known_client_is_never_reset() {
    let mut door =
        Door::new("[admission.caps]\nopen = 1\n[admission.refusals]\nanswered = \"1/s\"", CAPACITY);
    door.make_known(at(0), "192.0.2.50");
    door.admit(at(0), "192.0.2.50");
    let tells: Vec<_> = (0..20).map(|_| door.refused(at(0), "192.0.2.50").1).collect();
    assert_eq!(tells[..2], [RejectResponse::RespondAndLinger(1000.0); 2]);
    assert!(tells[2..].iter().all(|tell| *tell == RejectResponse::RespondAndClose(1000.0)), "{tells:?}");
}

#[test]
fn when_descriptors_run_out_the_room_shrinks_and_comes_back() {
    let mut door = Door::new(WIDE, Capacity { clients: 100, queued: 4, lingering: 2 });
    let ids: Vec<_> = (0..32).map(|n| door.admit(at(n), &format!("198.51.100.{n}"))).collect();
    let mut out = Vec::new();
    door.admission.on_descriptor_shortage(at(1000), &mut out);
    assert_eq!(out, [Action::Evict(ids[0])]);
    assert_eq!(door.admission.current_capacity(at(1000)), 28);
    assert_eq!(door.admission.current_capacity(at(1400)), 32);
    assert_eq!(door.admission.current_capacity(at(60_000)), 100);
}

#[test]
fn behind_a_proxy_that_is_believed_caps_go_by_the_true_client() {
    let text = "[admission.caps]\nopen = 2\n[[admission.proxy]]\nnetworks = [\"10.0.0.0/8\"]\nheader = \"proxy-protocol\"\nopen = 5\n";
    let mut door = Door::new(text, Capacity { clients: 20, queued: 8, lingering: 2 });
    let mut ids = Vec::new();
    for (client, fits) in
        [("192.0.2.1", true), ("192.0.2.1", true), ("192.0.2.1", false), ("192.0.2.2", true)]
    {
        let (id, out) = door.connect(at(0), "10.0.0.1");
        assert_eq!(out, [Action::Identify(id)]);
        let mut out = Vec::new();
        door.admission.on_client_identified(at(0), id, ip(client), &mut out);
        assert_eq!(out[0] == Action::Admit(id), fits, "{client}: {out:?}");
        ids.push(id);
    }
    // The proxy has a cap of its own.
    door.connect(at(0), "10.0.0.1");
    assert_eq!(door.refused(at(0), "10.0.0.1").2, RejectReason::ProxyConnections);
    assert_eq!(door.connect(at(0), "10.0.0.2").1.len(), 1, "another proxy has another");
    for id in ids {
        door.close(at(1), id);
    }
    assert_eq!(
        (door.admission.open_connections(ip("192.0.2.1")), door.admission.open_connections(ip("192.0.2.2"))),
        (0, 0)
    );
}

#[test]
fn a_proxy_that_speaks_for_itself_leaves_nothing_behind() {
    let text = "[[admission.proxy]]\nnetworks = [\"10.0.0.0/8\"]\nheader = \"proxy-protocol\"\nopen = 5\n";
    let mut door = Door::new(&format!("[admission]\n{text}"), CAPACITY);
    for _ in 0..20 {
        let (id, _) = door.connect(at(0), "10.0.0.1");
        let mut out = Vec::new();
        door.admission.on_client_identified(at(0), id, ip("10.0.0.1"), &mut out);
        assert_eq!(out, [Action::Admit(id)]);
        door.close(at(0), id);
    }
    assert_eq!(door.admission.active_entries(), 0);
}

#[test]
fn requests_on_a_shared_connection_count_for_their_clients_until_their_answers() {
    let text = "[admission.caps]\nopen = 1\n[[admission.proxy]]\nnetworks = [\"10.0.0.0/8\"]\nheader = \"forwarded\"\nopen = 5\n";
    let mut door = Door::new(text, CAPACITY);
    let (one, other) = (door.admit(at(0), "10.0.0.1"), door.admit(at(0), "10.0.0.1"));
    assert_eq!(door.admission.assign_request(at(0), one, ip("192.0.2.1")), Ok(()));
    assert_eq!(door.admission.assign_request(at(0), other, ip("192.0.2.1")), Err(1000.0));
    assert_eq!(door.admission.assign_request(at(0), other, ip("192.0.2.2")), Ok(()));
    door.admission.on_request(one);
    door.admission.on_response(at(1), one, Some(1.0));
    assert_eq!(door.admission.assign_request(at(1), one, ip("192.0.2.1")), Ok(()));
    // It is the client that becomes known, and a close counts as well as an answer.
    (0..2).for_each(|_| {
        door.admission.on_response(at(1), one, Some(1.0));
        assert_eq!(door.admission.assign_request(at(1), one, ip("192.0.2.1")), Ok(()));
    });
    door.close(at(1), one);
    door.close(at(1), other);
    assert_eq!(door.admission.class_of(at(1), ip("192.0.2.1")), ClientClass::Known);
    assert_eq!(door.admission.class_of(at(1), ip("10.0.0.1")), ClientClass::Unknown);
    assert_eq!(door.admission.active_entries(), 0);
}

#[test]
fn a_million_addresses_seen_once_cost_no_more_than_stated() {
    let text = "[admission]\nstrangers = \"1000000/s\"\nstrangers-burst = 1000000\naddresses = 1000\n";
    let mut door = Door::new(text, CAPACITY);
    for n in 0..1_000_000_u32 {
        let from = std::net::Ipv4Addr::from(0x0a00_0000 + n).to_string();
        let id = door.admit(at(u64::from(n) / 1000), &from);
        door.close(at(u64::from(n) / 1000), id);
    }
    // Clients and sites are remembered alike, and nobody became known.
    assert!(door.admission.tracked_entries() <= 2000, "{}", door.admission.tracked_entries());
    assert_eq!(door.admission.active_entries(), 0);
}

#[test]
fn without_an_operators_file_nobody_is_refused_and_a_crowd_makes_room_as_ever() {
    let settings = fennelscale_settings::admission::Admission::neutral();
    let room = Capacity { clients: 10, queued: 0, lingering: 0 };
    let mut door = Door {
        admission: fennelscale_admission::admission::Admission::new(&settings, room),
        out: Vec::new(),
    };
    let mut ids = Vec::new();
    for n in 0..10_u64 {
        let mut out = Vec::new();
        assert!(door.admission.may_accept(at(n), &mut out));
        let asked: Vec<_> = if n >= 5 { vec![Action::Evict(ids[n as usize - 5])] } else { Vec::new() };
        assert_eq!(out, asked);
        ids.push(door.admit(at(n), if n % 2 == 0 { "192.0.2.1" } else { "2001:db8::1" }));
    }
    let mut out = Vec::new();
    assert!(!door.admission.may_accept(at(10), &mut out));
    assert_eq!(out, [Action::Evict(ids[5])]);
    door.close(at(11), ids[0]);
    assert!(door.admission.may_accept(at(12), &mut out));
}

/// Of a flood from ever new addresses each is refused once and does not return; a new client does.
#[test]
fn a_new_client_that_comes_back_as_told_is_past_the_rate_of_strangers_whatever_the_flood() {
    let text = "[admission]\nstrangers = \"10/s\"\nstrangers-burst = 1\n[admission.crowd]\nfrom = \"100%\"\n";
    let mut door = Door::new(text, CAPACITY);
    let mut flood = (0..).map(|n: u32| std::net::Ipv4Addr::from(0x0a00_0000 + n).to_string());
    let flood_until = |door: &mut Door, from: u64, to: u64, flood: &mut dyn Iterator<Item = String>| {
        for now in from..to {
            for _ in 0..4 {
                let (id, _) = door.connect(at(now), &flood.next().unwrap_or_default());
                door.close(at(now), id);
            }
        }
    };
    flood_until(&mut door, 0, 101, &mut flood);
    let (_, _, why) = door.refused(at(100), "192.0.2.1");
    assert_eq!(why, RejectReason::UnknownClients);
    // Too early it is refused again, and not put off by that.
    flood_until(&mut door, 101, 501, &mut flood);
    assert_eq!(door.refused(at(500), "192.0.2.1").2, RejectReason::UnknownClients);
    flood_until(&mut door, 501, 1101, &mut flood);
    let id = door.admit(at(1100), "192.0.2.1");
    door.close(at(1100), id);
    // Once for each refusal.
    assert_eq!(door.refused(at(1101), "192.0.2.1").2, RejectReason::UnknownClients);
}

#[test]
fn those_who_come_back_have_a_rate_too_and_are_new_again_after_a_while() {
    let text = "[admission]\nstrangers = \"0.001/s\"\nstrangers-burst = 1\n[admission.returning]\nrate = \"2/s\"\nforget = \"5s\"\n[admission.crowd]\nfrom = \"100%\"\n";
    let mut door = Door::new(text, CAPACITY);
    door.admit(at(0), "203.0.113.1");
    let names: Vec<String> = (0..5).map(|n| format!("198.51.100.{n}")).collect();
    for name in &names {
        assert_eq!(door.refused(at(0), name).2, RejectReason::UnknownClients);
    }
    for name in &names[..2] {
        door.admit(at(1000), name);
    }
    assert_eq!(door.refused(at(1000), &names[2]).2, RejectReason::UnknownClients, "two a second");
    door.admit(at(1500), &names[2]);
    assert_eq!(door.refused(at(6000), &names[3]).2, RejectReason::UnknownClients, "forgotten");
    let mut off = Door::new(&text.replace("\"2/s\"", "\"0/s\""), CAPACITY);
    off.admit(at(0), "203.0.113.1");
    off.refused(at(0), &names[0]);
    assert_eq!(off.refused(at(2000), &names[0]).2, RejectReason::UnknownClients);
}
