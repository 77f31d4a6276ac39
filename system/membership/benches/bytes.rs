//! Bytes between processes a second while nothing fails, in virtual time, for small and large deployments: among registries, and from
//! registries to proxies. `cargo bench -p fennelscale-membership`.

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
        let of = |n: usize| n % registries;
        for n in 0..proxies {
            let (zone, region) = (format!("z{}", of(n)), format!("r{}", of(n) % 3));
            let member = ProxyInfo {
                host: Host(1000 + n as u32),
                incarnation: 1,
                zone,
                region,
                port: 80,
                ready: true,
                idle_nodes: Vec::new(),
            };
            world.with(of(n), move |round, now| {
                round.receive_from_proxy(now, member.host, ProxyToRegistry::Hello(member))
            });
        }
        world.run(4000.0);
        world.bytes = [0; 2];
        for _ in 0..25 {
            for n in 0..proxies {
                let listing = world.nodes[of(n)].as_ref().map(|r| r.backend_list().stamp).unwrap_or_default();
                let beat = ProxyToRegistry::Heartbeat {
                    ready: true,
                    items_hash: 0,
                    list_stamp: listing,
                    self_granted: 0,
                };
                world.with(of(n), move |round, now| {
                    round.receive_from_proxy(now, Host(1000 + n as u32), beat)
                });
            }
            world.run(400.0);
        }
        let [among, down] = world.bytes.map(|bytes| bytes as f64 / 10.0);
        println!(
            "{proxies:>7} {registries:>10} {:>22.0} {:>20.0}",
            among / registries as f64,
            down / proxies as f64
        );
    }
}
