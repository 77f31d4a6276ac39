//! Registries under random faults. After every step it is checked that no duty has two holders.

#[allow(dead_code, reason = "each user of the world uses its part")]
mod maintenance;
mod world;

use fennelscale_membership::{HEARTBEAT_INTERVAL, LIST_INTERVAL, PEER_TIMEOUT, RETURNED_ZONE_DELAY, duties};
use fennelscale_messages::Host;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::{
    BackendList, CONTACT_LEASE, ProxyInfo, ProxyToRegistry, RegistryToProxy,
};
use fennelscale_messages::store::{Entry, Stamp};
use std::collections::BTreeSet;
use world::{World, host};

const ALL: u64 = (1 << (duties::SHARDS + 1)) - 1;

#[test]
fn random_faults_never_give_a_duty_two_holders() {
    for seed in 0..60 {
        let mut world = World::new(seed, 6);
        assert_eq!(world.held_duties(), ALL, "every duty is held soon after the start");
        for _ in 0..30 {
            let (n, m) = (world.random_below(6), world.random_below(6));
            match world.random_below(5) {
                0 => world.kill(n),
                1 => world.start(n, false),
                2 => drop(world.cut_links.insert((n, m))),
                3 => {
                    let side = world.random_below(64);
                    for a in 0..6 {
                        for b in (0..6).filter(|b| (side >> a & 1) != (side >> b & 1)) {
                            world.cut_links.insert((a, b));
                        }
                    }
                }
                _ => world.cut_links.clear(),
            }
            let span = world.random() * 1500.0;
            world.run(span);
        }
        world.cut_links.clear();
        (0..6).for_each(|n| world.start(n, false));
        world.run(6000.0);
        assert_eq!(world.held_duties(), ALL, "seed {seed}: every duty is held again");
    }
}

#[test]
fn a_minority_holds_no_duty_and_the_majority_takes_over_in_time() {
    let mut world = World::new(3, 6);
    let held = world.nodes[0].as_ref().unwrap().held_duties(world.now);
    assert_ne!(held, 0);
    (1..6).for_each(|n| world.cut_links.extend([(0, n), (n, 0)]));
    world.run(duties::GRANT_DURATION + 100.0);
    assert_eq!(world.nodes[0].as_ref().unwrap().held_duties(world.now), 0);
    world.run(PEER_TIMEOUT + HEARTBEAT_INTERVAL + 300.0);
    assert_eq!(world.held_duties(), ALL);
}

fn proxy(n: u32, ready: bool) -> ProxyInfo {
    let (zone, region) = (format!("z{}", n % 6), format!("r{}", n % 3));
    ProxyInfo { host: Host(100 + n), incarnation: 1, zone, region, port: 80, ready, idle_nodes: Vec::new() }
}

#[test]
fn a_session_makes_a_proxy_known_everywhere_and_a_partitioned_core_still_answers() {
    let mut world = World::new(1, 6);
    for n in 0..6_u32 {
        world.with(n as usize, |registry, now| {
            registry.receive_from_proxy(now, Host(100 + n), ProxyToRegistry::Hello(proxy(n, true)))
        });
    }
    let send_heartbeats = |world: &mut World| {
        for n in 0..6_u32 {
            let heartbeat = ProxyToRegistry::Heartbeat {
                ready: true,
                items_hash: 0,
                list_stamp: (0, Host(0)),
                self_granted: 0,
            };
            world
                .with(n as usize, |registry, now| registry.receive_from_proxy(now, Host(100 + n), heartbeat));
        }
    };
    for _ in 0..5 {
        world.run(400.0);
        send_heartbeats(&mut world);
    }
    let registry = world.nodes[4].as_ref().unwrap();
    assert_eq!(registry.proxies(world.now).len(), 6);
    assert_eq!(registry.resolve(world.now, "r2").len(), 2, "the proxies of the region");
    // A registry that is cut off still lists all proxies for a while, and its own as long as they have
    // sessions.
    (0..6).for_each(|n| world.cut_links.extend([(4, n), (n, 4)]));
    for _ in 0..6 {
        world.run(400.0);
        send_heartbeats(&mut world);
    }
    assert_eq!(world.nodes[4].as_ref().unwrap().proxies(world.now).len(), 6);
    for _ in 0..20 {
        world.run(400.0);
        send_heartbeats(&mut world);
    }
    assert_eq!(world.nodes[4].as_ref().unwrap().resolve(world.now, "r1").len(), 1);
    // A proxy that ends its session is removed at once; one that is silent counts for quota shares for a
    // while.
    world.cut_links.clear();
    world.run(1000.0);
    world.with(0, |registry, now| registry.receive_from_proxy(now, Host(100), ProxyToRegistry::EndSession));
    world.run(2500.0);
    let registry = world.nodes[1].as_ref().unwrap();
    assert!(registry.proxies(world.now).iter().all(|proxy| proxy.host != Host(100)));
}

#[test]
fn a_newer_list_reaches_all_registries_and_an_older_one_is_ignored() {
    let mut world = World::new(2, 6);
    world.run(18_500.0);
    let stamps: BTreeSet<_> = world.nodes.iter().flatten().map(|r| r.backend_list().clone().stamp).collect();
    assert_eq!(stamps.len(), 1);
    let reads = world.list_reads;
    world.run(7000.0);
    assert!(
        world.list_reads - reads <= 11,
        "only one registry reads the list: {} times in 7 s",
        world.list_reads - reads
    );
    for registry in world.nodes.iter().flatten() {
        assert!(registry.backend_list().backends[0].draining, "the change has not reached all registries");
    }
    let newest = world.nodes[0].as_ref().unwrap().backend_list().clone();
    let old = BackendList { stamp: (newest.stamp.0 - 1, Host(99)), backends: Vec::new() };
    world.with(0, |registry, now| {
        registry.receive_from_registry(now, host(1), RegistryMessage::BackendList(old))
    });
    assert_eq!(*world.nodes[0].as_ref().unwrap().backend_list(), newest);
}

/// Proxies consider the backends of a zone cold after its evacuation ended, until a list that was read later
/// shows their state.
#[test]
fn after_an_evacuation_ended_an_unchanged_list_is_sent_once_more() {
    let mut world = World::new(2, 6);
    world.run(3000.0);
    let stamp = |world: &World| world.nodes[0].as_ref().unwrap().backend_list().stamp.0;
    let before = stamp(&world);
    world.run(3000.0);
    assert_eq!(stamp(&world), before, "nothing has changed");
    let dropped = Entry { stamp: Stamp { sequence: 7, ..Stamp::default() }, revision: 2, ..Entry::default() };
    for n in 0..6 {
        world.with(n, |registry, now| registry.on_items(now, false, vec![("e:z1".into(), dropped.clone())]));
    }
    world.run(RETURNED_ZONE_DELAY);
    assert_eq!(stamp(&world), before, "a list read too early may be outdated");
    world.run(2.0 * LIST_INTERVAL + 500.0);
    assert_eq!(stamp(&world), before + 1);
    world.run(3.0 * LIST_INTERVAL);
    assert_eq!(stamp(&world), before + 1, "once is enough, at {}", world.now);
}

/// A reader was suspended during its read and another registry has read since: its list is outdated, though
/// it would get a higher number.
#[test]
fn a_list_read_overtaken_by_a_newer_list_is_discarded() {
    let mut world = World::new(2, 6);
    world.run(9000.0);
    let reader = (0..6)
        .find(|n| world.nodes[*n].as_ref().unwrap().held_duties(world.now) & duties::LIST_DUTY != 0)
        .unwrap();
    world.with(reader, |registry, now| {
        // A read begins; before it ends, a list of another registry arrives.
        registry.tick(now + 2000.0);
        assert!(
            registry
                .take_outputs()
                .iter()
                .any(|out| matches!(out, fennelscale_membership::Output::ReadBackendList))
        );
        let newer =
            BackendList { stamp: (registry.backend_list().stamp.0 + 1, Host(99)), backends: Vec::new() };
        registry.receive_from_registry(now + 2010.0, host(1), RegistryMessage::BackendList(newer.clone()));
        registry.on_list_read(now + 2020.0, Some(vec![]));
        registry.take_outputs();
        assert_eq!(*registry.backend_list(), newer);
        // The read is repeated at once.
        registry.tick(now + 2050.0);
        assert!(
            registry
                .take_outputs()
                .iter()
                .any(|out| matches!(out, fennelscale_membership::Output::ReadBackendList))
        );
    });
}

#[test]
fn a_proxy_that_outlived_all_registries_still_accepts_their_lists() {
    let mut world = World::new(4, 6);
    // Its list is from before the restart of all registries, with a higher number than any list read since.
    let old = (40, Host(3));
    world.with(2, |registry, now| {
        registry.receive_from_proxy(now, Host(102), ProxyToRegistry::Hello(proxy(2, true)))
    });
    for _ in 0..8 {
        world.with(2, |registry, now| {
            registry.receive_from_proxy(
                now,
                Host(102),
                ProxyToRegistry::Heartbeat { ready: true, items_hash: 0, list_stamp: old, self_granted: 0 },
            )
        });
        world.run(400.0);
    }
    let newer = world.proxy_messages.iter().any(|(_, to, message)| {
        *to == Host(102)
            && matches!(&**message, fennelscale_messages::session::RegistryToProxy::BackendList(list) if list.stamp > old)
    });
    assert!(newer, "the proxy got no list that it accepts");
    let stamps: BTreeSet<_> = world.nodes.iter().flatten().map(|r| r.backend_list().stamp).collect();
    assert!(stamps.len() == 1 && stamps.first() > Some(&old));
    let reads = world.list_reads;
    world.run(2000.0);
    assert!(world.list_reads - reads <= 4);
}

/// Whether a message is a heartbeat of a registry whose last contact is too old for proxies to rely on it.
fn is_out_of_contact(message: &RegistryToProxy) -> bool {
    matches!(message, RegistryToProxy::Heartbeat { contact_age } if f64::from(*contact_age) > CONTACT_LEASE)
}

#[test]
fn a_registry_that_is_cut_off_tells_its_proxies_to_change_registry() {
    let mut world = World::new(6, 6);
    world.with(0, |registry, now| {
        registry.receive_from_proxy(now, Host(100), ProxyToRegistry::Hello(proxy(0, true)))
    });
    let is_cut_off = |world: &mut World| {
        world.proxy_messages.clear();
        world.with(0, |registry, now| {
            registry.on_store_freshness(now, true);
            registry.receive_from_proxy(
                now,
                Host(100),
                ProxyToRegistry::Heartbeat {
                    ready: true,
                    items_hash: 0,
                    list_stamp: (0, Host(0)),
                    self_granted: 0,
                },
            );
        });
        world.proxy_messages.iter().any(|(.., message)| is_out_of_contact(message))
    };
    assert!(!is_cut_off(&mut world));
    (1..6).for_each(|n| world.cut_links.extend([(0, n), (n, 0)]));
    world.run(1300.0);
    assert!(!is_cut_off(&mut world), "a short silence is tolerated");
    world.run(400.0);
    assert!(is_cut_off(&mut world));
    world.cut_links.clear();
    world.run(700.0);
    assert!(!is_cut_off(&mut world));
}

/// A proxy returns to its nearest registry only if that one is reachable from the registry of its session:
/// with a registry that is cut off it would get no updates for a while, again and again.
#[test]
fn proxies_are_told_which_registries_are_reachable() {
    let mut world = World::new(6, 6);
    world.with(1, |registry, now| {
        registry.receive_from_proxy(now, Host(100), ProxyToRegistry::Hello(proxy(0, true)))
    });
    let reachable = |world: &World| {
        world.proxy_messages.iter().rev().find_map(|(.., message)| match &**message {
            RegistryToProxy::Registries(registries) => {
                Some(registries.iter().filter(|registry| registry.reachable).count())
            }
            _ => None,
        })
    };
    // The session lasts as long as its proxy sends heartbeats.
    let run = |world: &mut World| {
        world.proxy_messages.clear();
        for _ in 0..6 {
            world.run(400.0);
            let heartbeat = ProxyToRegistry::Heartbeat {
                ready: true,
                items_hash: 0,
                list_stamp: (0, Host(0)),
                self_granted: 0,
            };
            world.with(1, |registry, now| registry.receive_from_proxy(now, Host(100), heartbeat));
        }
    };
    (0..6).for_each(|n| world.cut_links.extend([(4, n), (n, 4)]));
    run(&mut world);
    assert_eq!(reachable(&world), Some(5));
    world.cut_links.clear();
    run(&mut world);
    assert_eq!(reachable(&world), Some(6));
}

#[test]
fn a_restarted_core_member_grants_no_claim_that_may_be_granted_already() {
    let mut duties = duties::DutyLeases::new(1000.0);
    assert_eq!(duties.vote(1010.0, Host(2), 1), 0);
    assert_eq!(duties.vote(1000.0 + duties::GRANT_DURATION, Host(2), 1), 1);
    assert_eq!(duties.vote(1010.0 + duties::GRANT_DURATION, Host(3), 1), 0, "granted to another claimant");
    assert_eq!(
        duties.vote(1020.0 + 2.0 * duties::GRANT_DURATION, Host(3), 1),
        1,
        "the earlier grant has expired"
    );
}

#[test]
fn a_registry_whose_store_lost_its_state_tells_its_proxies_to_change_registry() {
    let mut registry = fennelscale_membership::RegistryState::new(host(5), 9, "z5", "r2", false, 0.0);
    registry.receive_from_proxy(10.0, Host(100), ProxyToRegistry::Hello(proxy(0, true)));
    let mut is_out = |now: f64| {
        registry.tick(now);
        registry.receive_from_proxy(
            now,
            Host(100),
            ProxyToRegistry::Heartbeat {
                ready: true,
                items_hash: 0,
                list_stamp: (0, Host(0)),
                self_granted: 0,
            },
        );
        registry
            .take_outputs()
            .iter()
            .any(|out| matches!(out, fennelscale_membership::Output::SendToProxy(_, message) if is_out_of_contact(message)))
    };
    assert!(
        !is_out(1000.0) && !is_out(2000.0) && !is_out(3000.0),
        "it may wait for the bootstrap or for recovery"
    );
    assert!(is_out(4100.0));
}

/// A store that hangs, for instance on its disk, while the registry on the same machine keeps running: the
/// registry must not rely on the store's last confirmation for ever. Otherwise its proxies had no reason to
/// change registry, and all proxies of that zone served a dropped route and accepted a removed key for up to
/// 6 s after the change had been acknowledged, while the other zones applied it at once. A soak test of real
/// processes reproduced this with one stopped store: only the proxies of its registry were late, for as long
/// as it was stopped.
#[test]
fn a_registry_whose_store_is_silent_is_out_of_contact() {
    let mut world = World::new(6, 6);
    world.with(0, |registry, now| {
        registry.on_store_freshness(now, true);
        registry.receive_from_proxy(now, Host(100), ProxyToRegistry::Hello(proxy(0, true)));
    });
    let mut out_of_contact = Vec::new();
    for _ in 0..6 {
        world.run(400.0);
        world.proxy_messages.clear();
        let heartbeat = ProxyToRegistry::Heartbeat {
            ready: true,
            items_hash: 0,
            list_stamp: (0, Host(0)),
            self_granted: 0,
        };
        world.with(0, |registry, now| registry.receive_from_proxy(now, Host(100), heartbeat));
        out_of_contact.push(world.proxy_messages.iter().any(|(.., message)| is_out_of_contact(message)));
    }
    assert_eq!(out_of_contact[..3], [false; 3], "a short silence is tolerated");
    assert_eq!(
        out_of_contact[4..],
        [true; 2],
        "the other registries are reachable, but the local store is silent"
    );
    // Such a registry does not make a starting proxy ready.
    world.proxy_messages.clear();
    world.with(0, |registry, now| {
        registry.receive_from_proxy(now, Host(101), ProxyToRegistry::Hello(proxy(1, false)))
    });
    let confirms =
        |message: &RegistryToProxy| matches!(message, RegistryToProxy::Items { up_to_date: true, .. });
    assert!(!world.proxy_messages.iter().any(|(.., message)| confirms(message)));
}

/// The entry of a route; each change has a number.
fn route_entry(number: u64) -> (String, Entry) {
    let name = format!("r:r{}", number % 500);
    let body = format!(r#"{{"name":"r{}","padding":"{}"}}"#, number % 500, "x".repeat(300));
    let stamp = Stamp { sequence: number, ..Stamp::default() };
    (name, Entry { stamp, revision: number, body: Some(body), ..Entry::default() })
}

/// Changes that arrive faster than the heartbeats of proxies: a proxy's checksum is nearly always a few
/// changes old, which must not count as a loss. The registry used to resend the whole configuration to every
/// proxy with every second heartbeat; the copies filled narrow links and delayed the changes behind them.
/// With thousands of routes under constant change, added routes were refused with 404 and dropped ones served
/// at some proxies for up to 6 s after the acknowledgement, and registries held 40 MB of unsent messages in a
/// day with growth, quick changes and restarts.
#[test]
fn a_proxy_that_follows_with_a_lag_is_not_resent_everything() {
    const LAG: f64 = 600.0;
    const CHANGES: u64 = 100;
    let mut registry = fennelscale_membership::RegistryState::new(host(0), 9, "z0", "r0", false, 0.0);
    registry.on_items(0.0, true, (0..500).map(route_entry).collect());
    registry.on_store_freshness(0.0, true);
    registry.receive_from_proxy(0.0, Host(100), ProxyToRegistry::Hello(proxy(0, true)));
    let mut copy = fennelscale_config::ItemCopy::default();
    let (mut in_transit, mut entry_counts) = (std::collections::VecDeque::new(), Vec::new());
    for step in 0..200_u64 {
        let now = step as f64 * 50.0;
        if step % 2 == 0 && step / 2 < CHANGES {
            registry.on_items(now, false, vec![route_entry(500 + step / 2)]);
        }
        if step % 8 == 0 {
            let items_hash = copy.checksum();
            registry.receive_from_proxy(
                now,
                Host(100),
                ProxyToRegistry::Heartbeat {
                    ready: true,
                    items_hash,
                    list_stamp: (0, Host(0)),
                    self_granted: 0,
                },
            );
        }
        for out in registry.take_outputs() {
            if let fennelscale_membership::Output::SendToProxy(_, message) = out
                && let RegistryToProxy::Items { entries, .. } = &*message
            {
                entry_counts.push(entries.len());
                in_transit.push_back((now + LAG, entries.clone()));
            }
        }
        while in_transit.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, entries)) = in_transit.pop_front() else { break };
            for (name, entry) in entries {
                copy.merge(&name, &entry);
            }
        }
    }
    let sent: usize = entry_counts.iter().sum();
    assert_eq!(
        entry_counts.iter().filter(|count| **count == 500).count(),
        1,
        "the whole configuration is sent once, at the start of the session"
    );
    assert!(sent <= 500 + CHANGES as usize, "{sent} entries for {CHANGES} changes");
}

/// The same proxy with one change lost on its connection: the loss is detected, and only the parts that
/// differ are resent.
#[test]
fn a_lost_change_is_resent_in_time_with_little_else() {
    const LOST: u64 = 505;
    let mut registry = fennelscale_membership::RegistryState::new(host(0), 9, "z0", "r0", false, 0.0);
    registry.on_items(0.0, true, (0..500).map(route_entry).collect());
    registry.on_store_freshness(0.0, true);
    registry.receive_from_proxy(0.0, Host(100), ProxyToRegistry::Hello(proxy(0, true)));
    let mut copy = fennelscale_config::ItemCopy::default();
    let (mut sent, mut complete_since) = (0, None);
    for step in 0..120_u64 {
        let now = step as f64 * 50.0;
        if step == 10 {
            registry.on_items(now, false, vec![route_entry(LOST)]);
        }
        if step % 8 == 0 {
            let items_hash = copy.checksum();
            registry.receive_from_proxy(
                now,
                Host(100),
                ProxyToRegistry::Heartbeat {
                    ready: true,
                    items_hash,
                    list_stamp: (0, Host(0)),
                    self_granted: 0,
                },
            );
        }
        for out in registry.take_outputs() {
            let fennelscale_membership::Output::SendToProxy(_, message) = out else { continue };
            match &*message {
                // The send buffer of the connection is full.
                RegistryToProxy::Items { entries, .. } if step == 10 && entries.len() == 1 => {}
                RegistryToProxy::Items { entries, .. } => {
                    sent += entries.len();
                    entries.iter().for_each(|(name, entry)| {
                        copy.merge(name, entry);
                    });
                }
                RegistryToProxy::RequestDigest => registry.receive_from_proxy(
                    now,
                    Host(100),
                    ProxyToRegistry::Digest(copy.part_checksums().to_vec()),
                ),
                _ => {}
            }
        }
        if copy.entries()["r:r5"].revision == LOST {
            complete_since = complete_since.or(Some(now));
        }
    }
    let late = complete_since.map(|at| at - 500.0);
    assert!(late.is_some_and(|late| late < 3500.0), "repaired after {late:?} ms");
    assert!(sent < 500 + 500 / 8, "{sent} entries for one lost entry");
}

/// A proxy that changes to another registry with its copy is sent what it lacks, and its copy is confirmed.
#[test]
fn a_resumed_session_sends_only_missing_entries() {
    let mut registry = fennelscale_membership::RegistryState::new(host(0), 9, "z0", "r0", false, 0.0);
    registry.on_items(0.0, true, (0..500).map(route_entry).collect());
    registry.on_store_freshness(0.0, true);
    let mut copy = fennelscale_config::ItemCopy::default();
    (0..500).map(route_entry).for_each(|(name, entry)| {
        copy.merge(&name, &entry);
    });
    registry.on_items(10.0, false, vec![route_entry(507)]);
    registry.receive_from_proxy(
        20.0,
        Host(100),
        ProxyToRegistry::Resume(proxy(0, true), copy.part_checksums().to_vec()),
    );
    let items = registry.take_outputs().into_iter().find_map(|out| match out {
        fennelscale_membership::Output::SendToProxy(_, message) => match &*message {
            RegistryToProxy::Items { up_to_date, entries, .. } => Some((*up_to_date, entries.clone())),
            _ => None,
        },
        _ => None,
    });
    let (up_to_date, entries) = items.expect("items");
    assert!(up_to_date && entries.iter().any(|(_, entry)| entry.revision == 507));
    assert!(entries.len() < 500 / 8, "{} entries for one missing entry", entries.len());
}

/// A store that was silent for a while responds again: the copies of proxies that connected meanwhile are
/// confirmed.
#[test]
fn a_store_that_responds_again_confirms_copies_again() {
    let mut registry = fennelscale_membership::RegistryState::new(host(0), 9, "z0", "r0", false, 0.0);
    registry.on_store_freshness(0.0, true);
    registry.tick(3000.0);
    registry.receive_from_proxy(3010.0, Host(100), ProxyToRegistry::Hello(proxy(0, false)));
    let confirms = |registry: &mut fennelscale_membership::RegistryState| {
        registry.take_outputs().into_iter().any(|out| {
            matches!(out, fennelscale_membership::Output::SendToProxy(_, message) if matches!(&*message, RegistryToProxy::Items { up_to_date: true, .. }))
        })
    };
    assert!(!confirms(&mut registry));
    registry.on_store_freshness(3100.0, true);
    assert!(confirms(&mut registry));
}
