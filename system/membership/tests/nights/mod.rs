//! Registries in virtual time through the hours of a maintenance contract: the one that holds the order dies on the way, a clock
//! jumps, steps are held up. What the store wrote is compared with true time.

use crate::world::{TRUE, World, backend};
use fennelscale_maintenance::record::{MaintenanceRecord, Phase};
use fennelscale_membership::feed::{EventKind, EventQuery};
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyInfo, ProxyToRegistry, RegistryToProxy};

const CONTRACT: &str = r#"{"name":"n","revision":"00000001","timeZone":"UTC","hours":[{"days":["wed"],"from":"22:00:20","to":"22:02:00"}],"places":["r0","r1","r2"],"approvedBy":"a"}"#;
const ORDER: &str = r#"{"name":"o","revision":"00000001","contract":"n","nodes":["backend:s0","backend:s1","proxy:0.0.0.101"],"length":"3s","backBefore":"10s","state":"running","approvedBy":"a"}"#;
const FROM: f64 = 20_000.0;
const TO: f64 = 120_000.0;

fn night(world: &World) -> MaintenanceRecord {
    world
        .store
        .get("n:o")
        .and_then(|entry| MaintenanceRecord::parse(entry.body.as_deref()?))
        .unwrap_or_default()
}

/// Two proxies in each region, with sessions at the registries that are up.
fn proxies(world: &mut World, quiet: &[String]) {
    for n in 0..6_u32 {
        let up = world.nodes.iter().position(Option::is_some).unwrap();
        let at = if world.nodes[n as usize].is_some() { n as usize } else { up };
        let known =
            world.nodes[at].as_ref().unwrap().members(world.now).iter().any(|m| m.host == Host(100 + n));
        let (zone, region) = (format!("z{n}"), format!("r{}", n % 3));
        let quiet = quiet.to_vec();
        let member = ProxyInfo {
            host: Host(100 + n),
            incarnation: 1,
            zone,
            region,
            port: 80,
            ready: true,
            idle_nodes: quiet.clone(),
        };
        world.with(at, |round, now| {
            if !known {
                round.receive_from_proxy(now, member.host, ProxyToRegistry::Hello(member.clone()));
            }
            round.receive_from_proxy(
                now,
                member.host,
                ProxyToRegistry::Heartbeat {
                    ready: true,
                    items_hash: 0,
                    list_stamp: (0, Host(0)),
                    self_granted: 0,
                },
            );
            round.receive_from_proxy(now, member.host, ProxyToRegistry::IdleNodes(quiet));
        });
    }
}

fn go(world: &mut World, until: f64) {
    while world.now < until {
        let quiet: Vec<String> = night(world).drained_nodes().iter().map(ToString::to_string).collect();
        proxies(world, &quiet);
        world.run(200.0);
        let out = !night(world).drained_nodes().is_empty();
        assert!(!out || (FROM..TO).contains(&world.now), "something is out at {}", world.now);
    }
}

fn begin(seed: u64) -> World {
    let mut world = World::new(seed, 6);
    world.backends = (0..6).map(|n| backend(&format!("s{n}"), "s", n)).collect();
    (0..6).for_each(|n| world.vouch(n));
    world.put("c:n", Some(CONTRACT));
    world.put("w:o", Some(ORDER));
    world
}

#[test]
fn an_order_is_carried_out_in_its_hours_though_its_holder_dies_and_a_clock_jumps() {
    for seed in 0..12 {
        let mut world = begin(seed);
        go(&mut world, 15_000.0);
        assert!(world.written.is_empty(), "before the hours nothing begins");
        // One clock says that it is time, or that it is over.
        world.walls[seed as usize % 6] = if seed % 2 == 0 { 9000.0 } else { -3_600_000.0 };
        go(&mut world, 24_000.0 + 400.0 * seed as f64);
        let bit = fennelscale_membership::duties::bit_of("o");
        let now = world.now;
        let holder =
            world.nodes.iter().position(|r| r.as_ref().is_some_and(|r| r.held_duties(now) & bit != 0));
        let killed = holder.unwrap_or(0);
        world.kill(killed);
        go(&mut world, 29_000.0 + 400.0 * seed as f64);
        world.start(killed, false);
        world.vouch(killed);
        go(&mut world, TO + 5000.0);
        let night = night(&world);
        assert_eq!(night.nodes.len(), 3, "seed {seed}: {night:?}");
        for (node, steps) in &night.nodes {
            let phases: Vec<Phase> = steps.iter().map(|step| step.phase).collect();
            assert_eq!(
                phases,
                [Phase::Draining, Phase::Out, Phase::Serviced],
                "seed {seed}: {node}: {steps:?}"
            );
            assert!(
                steps.iter().all(|step| (TRUE + FROM..TRUE + TO).contains(&step.at)),
                "seed {seed}: {steps:?}"
            );
            assert!(steps[2].at - steps[1].at >= 3000.0, "seed {seed}: out for its length");
        }
        // The feed of any registry tells each step once.
        let feed = world.nodes[(killed + 1) % 6].as_ref().unwrap().feed();
        for kind in [EventKind::NodeDraining, EventKind::NodeOut, EventKind::NodeServiced] {
            let told = feed.read(0.0, &EventQuery { kind: Some(kind), ..EventQuery::default() });
            assert_eq!(told.events.len(), 3, "seed {seed}");
        }
    }
}

#[test]
fn without_a_majority_of_clocks_nothing_begins_and_proxies_are_told_the_time_while_something_is_out() {
    let mut world = begin(3);
    // Three of six clocks are hours ahead, so that it would be time by them.
    (0..3).for_each(|n| world.walls[n] = 30_000.0);
    go(&mut world, 26_000.0);
    assert!(world.written.is_empty(), "in the hours, and nobody can tell");
    world.walls = vec![0.0; 6];
    go(&mut world, 45_000.0);
    assert!(!world.written.is_empty());
    let told = world.downs.iter().filter_map(|(.., word)| match **word {
        RegistryToProxy::Time(earliest, latest) => Some((earliest, latest)),
        _ => None,
    });
    let told: Vec<_> = told.collect();
    let sound = |(earliest, latest): &(f64, f64)| {
        earliest < latest
            && (TRUE + FROM - 1000.0..TRUE + 46_000.0).contains(latest)
            && latest - earliest < 2500.0
    };
    assert!(!told.is_empty() && told.iter().all(sound), "{told:?}");
}

#[test]
fn an_order_that_is_dropped_gives_its_nodes_back_and_takes_its_record_with_it() {
    let mut world = begin(5);
    let begun = |world: &World| !night(world).drained_nodes().is_empty();
    while !begun(&world) && world.now < TO {
        let until = world.now + 200.0;
        go(&mut world, until);
    }
    assert!(begun(&world));
    world.put("w:o", None);
    let until = world.now + 8000.0;
    go(&mut world, until);
    assert!(world.store["n:o"].body.is_none() && world.store["d:o"].body.is_none());
}

#[test]
fn steps_of_two_holders_from_one_view_are_written_once() {
    // Whoever decides late finds another view: steps are held up for 2.5 s now and then, longer than a duty changes hands.
    let mut refused = 0;
    for seed in 20..30 {
        let mut world = begin(seed);
        for n in 0..30 {
            let until = 21_000.0 + 1500.0 * f64::from(n);
            go(&mut world, until);
            let cut = n as usize % 6;
            if n % 2 == 0 {
                (0..6).filter(|m| *m != cut).for_each(|m| world.cut.extend([(cut, m), (m, cut)]));
            } else {
                world.cut.clear();
            }
        }
        world.cut.clear();
        go(&mut world, TO + 3000.0);
        let night = night(&world);
        for (node, steps) in &night.nodes {
            let distinct = steps.windows(2).all(|pair| pair[0].phase != pair[1].phase);
            assert!(distinct && steps.len() <= 3, "seed {seed}: {node}: {steps:?}");
        }
        refused += world.refused;
    }
    assert!(refused > 0, "the fence was put to the test");
}
