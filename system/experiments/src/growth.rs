//! What grows with a deployment: bytes, time of the machines, what they hold.

use fennelscale_simulation::{Config, Simulation};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Virtual time that is looked at, in ms.
const SPAN: f64 = 10_000.0;

/// One size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Size {
    /// Proxies; four backends and a tenant for each, a route for two.
    pub proxies: usize,
    /// Bytes a second of a core machine's store while nothing changes: what finds old copies.
    pub sweep: f64,
    /// Bytes a second of a core machine to all others.
    pub core: f64,
    /// Bytes a second between registries and a proxy.
    pub proxy: f64,
    /// Microseconds of this machine for each proxy and second of virtual time: the whole world, so only ratios count.
    pub time: f64,
    /// Characters of text of the largest store, registry, items of a proxy and its cache.
    pub held: [f64; 4],
}

/// A calm world of so many proxies.
pub fn look(proxies: usize) -> Size {
    let (backends, tenants, routes) = (proxies * 4, proxies, (proxies / 2).max(1));
    let config =
        Config { proxies, backends, tenants, routes, rate: 20.0, measure: true, ..Config::default() };
    let cores = config.cores as f64;
    let mut world = Simulation::new(1, config);
    world.run(3000.0);
    let (before, begun) = (world.bytes, Instant::now());
    world.run(SPAN);
    let (seconds, took, many) = (SPAN / 1000.0, begun.elapsed().as_secs_f64(), proxies as f64);
    let sent = [0, 1, 2].map(|n| (world.bytes[n] - before[n]) as f64 / seconds);
    Size {
        proxies,
        sweep: sent[0] / cores,
        core: (sent[0] + sent[1]) / cores,
        proxy: sent[2] / many,
        time: took * 1e6 / seconds / many,
        held: world.state_sizes().map(|held| held as f64),
    }
}

/// Reads a figure.
pub type Reads = fn(&Size) -> f64;

/// What is told of each size: its name, how to read it.
pub const TOLD: [(&str, Reads); 8] = [
    ("bytes a second of the sweep, a core machine", |s| s.sweep),
    ("bytes a second of a core machine", |s| s.core),
    ("bytes a second of a proxy", |s| s.proxy),
    ("time for each proxy", |s| s.time),
    ("text of a store", |s| s.held[0]),
    ("text of a registry", |s| s.held[1]),
    ("text of a proxy's items", |s| s.held[2]),
    ("text of a proxy's cache", |s| s.held[3]),
];

/// By which power of the number of proxies something grows: the slope of the straight line through the logarithms.
pub fn exponent(sizes: &[Size], of: fn(&Size) -> f64) -> f64 {
    let points: Vec<(f64, f64)> =
        sizes.iter().map(|s| ((s.proxies as f64).ln(), of(s).max(1e-9).ln())).collect();
    let many = points.len().max(1) as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0 / many, sum.1 + p.1 / many));
    let over: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    if under == 0.0 { 0.0 } else { over / under }
}
