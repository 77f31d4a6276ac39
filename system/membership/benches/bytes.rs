//! Bytes per second between processes without faults, in virtual time, for small and large deployments:
//! among registries, and from registries to proxies. `cargo bench -p fennelscale-membership`.

#[allow(dead_code, reason = "each user of the world uses its part")]
#[path = "../tests/world/mod.rs"]
mod world;

use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyInfo, ProxyToRegistry};
use world::World;

fn main() {
    println!(
        "{:>7} {:>10} {:>22} {:>20}",
        "proxies", "registries", "B/s to each registry", "B/s to each proxy"
    );
    for (proxies, registries) in [(10, 6), (50, 6), (290, 9)] {
        let mut world = World::new(1, registries);
        let registry_of = |n: usize| n % registries;
        for n in 0..proxies {
            let (zone, region) = (format!("z{}", registry_of(n)), format!("r{}", registry_of(n) % 3));
            let proxy = ProxyInfo {
                host: Host(1000 + n as u32),
                incarnation: 1,
                zone,
                region,
                port: 80,
                ready: true,
                idle_nodes: Vec::new(),
            };
            world.with(registry_of(n), move |registry, now| {
                registry.receive_from_proxy(now, proxy.host, ProxyToRegistry::Hello(proxy))
            });
        }
        world.run(4000.0);
        world.bytes = [0; 2];
        for _ in 0..25 {
            for n in 0..proxies {
                let list_stamp =
                    world.nodes[registry_of(n)].as_ref().map(|r| r.backend_list().stamp).unwrap_or_default();
                let heartbeat =
                    ProxyToRegistry::Heartbeat { ready: true, items_hash: 0, list_stamp, self_granted: 0 };
                world.with(registry_of(n), move |registry, now| {
                    registry.receive_from_proxy(now, Host(1000 + n as u32), heartbeat)
                });
            }
            world.run(400.0);
        }
        let [between_registries, to_proxies] = world.bytes.map(|bytes| bytes as f64 / 10.0);
        println!(
            "{proxies:>7} {registries:>10} {:>22.0} {:>20.0}",
            between_registries / registries as f64,
            to_proxies / proxies as f64
        );
    }
}
