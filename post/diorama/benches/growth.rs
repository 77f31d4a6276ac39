//! What grows with the number of proxies, backends, tenants and routes: bytes between processes, time of the machines, and what they
//! hold. `cargo bench -p post-diorama --bench growth`; times are of the world and its machines together, so only their ratios count.

use post_diorama::{Config, World};
use std::time::Instant;

/// The sizes: small deployment, the grown one, four times that.
const PROXIES: [usize; 5] = [16, 37, 75, 150, 300];
/// Virtual time that is looked at.
const SPAN: f64 = 10_000.0;

type Of = fn(&Seen) -> f64;

struct Seen {
    proxies: f64,
    /// Bytes a second of each core machine: what stores say to find old copies, nothing else being under way, and all.
    sweep: f64,
    core: f64,
    /// Bytes a second between core machines and each proxy.
    proxy: f64,
    /// Real microseconds a proxy and second of virtual time.
    time: f64,
    /// Text of the largest store, registry, items and cache.
    held: [usize; 4],
}

/// Everything grows alike: four backends and a tenant a proxy, a route for two.
fn look(proxies: usize) -> Seen {
    let config = Config {
        proxies,
        backends: proxies * 4,
        tenants: proxies,
        routes: proxies / 2,
        rate: 20.0,
        measure: true,
        ..Config::default()
    };
    let mut world = World::new(1, config);
    world.run(3000.0);
    let (before, begun) = (world.bytes, Instant::now());
    world.run(SPAN);
    assert_eq!(world.broken, Vec::<String>::new());
    let (seconds, took) = (SPAN / 1000.0, begun.elapsed().as_secs_f64());
    let many = proxies as f64;
    let sent = [0, 1, 2].map(|at| (world.bytes[at] - before[at]) as f64 / seconds);
    Seen {
        proxies: many,
        sweep: sent[0] / 6.0,
        core: (sent[0] + sent[1]) / 6.0,
        proxy: sent[2] / many,
        time: took * 1e6 / seconds / many,
        held: world.held(),
    }
}

/// The exponent between the first and the last: 1 is in step with the number of proxies.
fn exponent(seen: &[Seen], of: Of) -> f64 {
    let (first, last) = (&seen[0], &seen[seen.len() - 1]);
    (of(last) / of(first)).ln() / (last.proxies / first.proxies).ln()
}

fn main() {
    let seen: Vec<Seen> = PROXIES.into_iter().map(look).collect();
    println!(
        "proxies  bytes/s a core machine  of these the sweep  bytes/s a proxy  us a proxy and second  store  registry  items  cache"
    );
    for s in &seen {
        let [store, registry, items, cache] = s.held;
        println!(
            "{:7} {:23.0} {:19.0} {:16.0} {:22.0} {store:6} {registry:9} {items:6} {cache:6}",
            s.proxies, s.core, s.sweep, s.proxy, s.time
        );
    }
    let all: [(&str, Of); 8] = [
        ("bytes of the sweep", |s| s.sweep),
        ("bytes of a core machine", |s| s.core),
        ("bytes of a proxy", |s| s.proxy),
        ("time a proxy", |s| s.time),
        ("store", |s| s.held[0] as f64),
        ("registry", |s| s.held[1] as f64),
        ("items of a proxy", |s| s.held[2] as f64),
        ("cache of a proxy", |s| s.held[3] as f64),
    ];
    for (what, of) in all {
        println!("{what}: exponent {:.2}", exponent(&seen, of));
    }
}
