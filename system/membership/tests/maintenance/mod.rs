//! Registries in virtual time during the window of a maintenance contract: the registry that holds the order
//! crashes, a clock jumps, steps are delayed. What the store wrote is compared with the true time.

use crate::world::{START_TIME, World, backend};
use fennelscale_maintenance::record::{MaintenanceRecord, Phase};
use fennelscale_membership::feed::{EventKind, EventQuery};
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyInfo, ProxyToRegistry, RegistryToProxy};

const CONTRACT: &str = r#"{"name":"n","revision":"00000001","timeZone":"UTC","hours":[{"days":["wed"],"from":"22:00:20","to":"22:02:00"}],"places":["r0","r1","r2"],"approvedBy":"a"}"#;
const ORDER: &str = r#"{"name":"o","revision":"00000001","contract":"n","nodes":["backend:s0","backend:s1","proxy:0.0.0.101"],"length":"3s","backBefore":"10s","state":"running","approvedBy":"a"}"#;
const FROM: f64 = 20_000.0;
const TO: f64 = 120_000.0;

fn record(world: &World) -> MaintenanceRecord {
    world
        .store
        .get("n:o")
        .and_then(|entry| MaintenanceRecord::parse(entry.body.as_deref()?))
        .unwrap_or_default()
}

/// Sends the messages of two proxies in each region, which have sessions at the registries that are running.
fn send_proxy_messages(world: &mut World, idle_nodes: &[String]) {
    for n in 0..6_u32 {
        let up = world.nodes.iter().position(Option::is_some).unwrap();
        let at = if world.nodes[n as usize].is_some() { n as usize } else { up };
        let known = world.nodes[at]
            .as_ref()
            .unwrap()
            .proxies(world.now)
            .iter()
            .any(|proxy| proxy.host == Host(100 + n));
        let (zone, region) = (format!("z{n}"), format!("r{}", n % 3));
        let idle_nodes = idle_nodes.to_vec();
        let proxy = ProxyInfo {
            host: Host(100 + n),
            incarnation: 1,
            zone,
            region,
            port: 80,
            ready: true,
            idle_nodes: idle_nodes.clone(),
        };
        world.with(at, |registry, now| {
            if !known {
                registry.receive_from_proxy(now, proxy.host, ProxyToRegistry::Hello(proxy.clone()));
            }
            registry.receive_from_proxy(
                now,
                proxy.host,
                ProxyToRegistry::Heartbeat {
                    ready: true,
                    items_hash: 0,
                    list_stamp: (0, Host(0)),
                    self_granted: 0,
                },
            );
            registry.receive_from_proxy(now, proxy.host, ProxyToRegistry::IdleNodes(idle_nodes));
        });
    }
}

fn run_until(world: &mut World, until: f64) {
    while world.now < until {
        let idle_nodes: Vec<String> = record(world).drained_nodes().iter().map(ToString::to_string).collect();
        send_proxy_messages(world, &idle_nodes);
        world.run(200.0);
        let out = !record(world).drained_nodes().is_empty();
        assert!(!out || (FROM..TO).contains(&world.now), "a node is out at {}", world.now);
    }
}

fn start(seed: u64) -> World {
    let mut world = World::new(seed, 6);
    world.backends = (0..6).map(|n| backend(&format!("s{n}"), "s", n)).collect();
    (0..6).for_each(|n| world.set_store_fresh(n));
    world.write_item("c:n", Some(CONTRACT));
    world.write_item("w:o", Some(ORDER));
    world
}

#[test]
fn an_order_is_carried_out_within_its_window_despite_a_crashed_holder_and_a_clock_jump() {
    for seed in 0..12 {
        let mut world = start(seed);
        run_until(&mut world, 15_000.0);
        assert!(world.written.is_empty(), "nothing begins before the window");
        // According to one clock the window has begun, or is over.
        world.clock_offsets[seed as usize % 6] = if seed % 2 == 0 { 9000.0 } else { -3_600_000.0 };
        run_until(&mut world, 24_000.0 + 400.0 * seed as f64);
        let bit = fennelscale_membership::duties::shard_bit("o");
        let now = world.now;
        let holder =
            world.nodes.iter().position(|r| r.as_ref().is_some_and(|r| r.held_duties(now) & bit != 0));
        let killed = holder.unwrap_or(0);
        world.kill(killed);
        run_until(&mut world, 29_000.0 + 400.0 * seed as f64);
        world.start(killed, false);
        world.set_store_fresh(killed);
        run_until(&mut world, TO + 5000.0);
        let record = record(&world);
        assert_eq!(record.nodes.len(), 3, "seed {seed}: {record:?}");
        for (node, steps) in &record.nodes {
            let phases: Vec<Phase> = steps.iter().map(|step| step.phase).collect();
            assert_eq!(
                phases,
                [Phase::Draining, Phase::Out, Phase::Serviced],
                "seed {seed}: {node}: {steps:?}"
            );
            assert!(
                steps.iter().all(|step| (START_TIME + FROM..START_TIME + TO).contains(&step.at)),
                "seed {seed}: {steps:?}"
            );
            assert!(steps[2].at - steps[1].at >= 3000.0, "seed {seed}: out for its length");
        }
        // The feed of each registry contains each step once.
        let feed = world.nodes[(killed + 1) % 6].as_ref().unwrap().feed();
        for kind in [EventKind::NodeDraining, EventKind::NodeOut, EventKind::NodeServiced] {
            let page = feed.read(0.0, &EventQuery { kind: Some(kind), ..EventQuery::default() });
            assert_eq!(page.events.len(), 3, "seed {seed}");
        }
    }
}

#[test]
fn nothing_begins_without_a_majority_of_clocks_and_proxies_get_the_time_while_a_node_is_out() {
    let mut world = start(3);
    // Three of six clocks are ahead, so that the window has begun according to them.
    (0..3).for_each(|n| world.clock_offsets[n] = 30_000.0);
    run_until(&mut world, 26_000.0);
    assert!(world.written.is_empty(), "within the window, but no clock majority");
    world.clock_offsets = vec![0.0; 6];
    run_until(&mut world, 45_000.0);
    assert!(!world.written.is_empty());
    let times = world.proxy_messages.iter().filter_map(|(.., message)| match **message {
        RegistryToProxy::Time(earliest, latest) => Some((earliest, latest)),
        _ => None,
    });
    let times: Vec<_> = times.collect();
    let is_plausible = |(earliest, latest): &(f64, f64)| {
        earliest < latest
            && (START_TIME + FROM - 1000.0..START_TIME + 46_000.0).contains(latest)
            && latest - earliest < 2500.0
    };
    assert!(!times.is_empty() && times.iter().all(is_plausible), "{times:?}");
}

#[test]
fn a_dropped_order_releases_its_nodes_and_drops_its_record() {
    let mut world = start(5);
    let begun = |world: &World| !record(world).drained_nodes().is_empty();
    while !begun(&world) && world.now < TO {
        let until = world.now + 200.0;
        run_until(&mut world, until);
    }
    assert!(begun(&world));
    world.write_item("w:o", None);
    let until = world.now + 8000.0;
    run_until(&mut world, until);
    assert!(world.store["n:o"].body.is_none() && world.store["d:o"].body.is_none());
}

#[test]
fn steps_of_two_holders_from_one_view_are_written_once() {
    // A late step was decided from an outdated view: some steps are delayed for 2.5 s, longer than a duty
    // takes to change hands.
    let mut refused = 0;
    for seed in 20..30 {
        let mut world = start(seed);
        for n in 0..30 {
            let until = 21_000.0 + 1500.0 * f64::from(n);
            run_until(&mut world, until);
            let cut = n as usize % 6;
            if n % 2 == 0 {
                (0..6).filter(|m| *m != cut).for_each(|m| world.cut_links.extend([(cut, m), (m, cut)]));
            } else {
                world.cut_links.clear();
            }
        }
        world.cut_links.clear();
        run_until(&mut world, TO + 3000.0);
        let record = record(&world);
        for (node, steps) in &record.nodes {
            let distinct = steps.windows(2).all(|pair| pair[0].phase != pair[1].phase);
            assert!(distinct && steps.len() <= 3, "seed {seed}: {node}: {steps:?}");
        }
        refused += world.refused;
    }
    assert!(refused > 0, "no step was refused, so the check of the view was not exercised");
}
