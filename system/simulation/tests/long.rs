//! Long runs in virtual time: an hour in which no state may accumulate, and how soon changes are in force
//! everywhere. `WORLD_MINUTES` is the length of the soak test; `WORLD_MINUTES=60` runs the whole hour.

use fennelscale_replication::versions::HISTORY_LIMIT;
use fennelscale_simulation::{APPLY_TIMEOUT, Config, Fault, Rng, Simulation};

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).map_or(usual, |n| n.parse().unwrap())
}

/// A quarter of a minute in which an item changes, a tenant overloads its quota, and a proxy and a core
/// machine restart.
fn run_quarter_minute(simulation: &mut Simulation, rng: &mut Rng) {
    let (proxy, core, tenant) = (rng.below(6), rng.below(6), rng.below(2));
    simulation.change_route();
    simulation.fault(Fault::Overload(tenant, 5.0));
    simulation.fault(Fault::KillProxy(proxy));
    simulation.run(4000.0);
    simulation.fault(Fault::Overload(tenant, 1.0));
    simulation.fault(Fault::StartProxy(proxy));
    simulation.fault(Fault::KillCore(core));
    simulation.run(3000.0);
    simulation.change_route();
    simulation.fault(Fault::StartCore(core));
    simulation.run(8000.0);
}

#[test]
fn no_state_accumulates_over_a_long_time() {
    let config = Config { proxies: 6, tenants: 2, routes: 4, rate: 20.0, ..Config::default() };
    let (mut simulation, mut rng) = (Simulation::new(3, config), Rng::new(7));
    // The history of each item is bounded by a number of versions. It is filled first, so that later growth
    // is visible.
    for _ in 0..3 * HISTORY_LIMIT * 4 {
        simulation.change_route();
        simulation.run(700.0);
    }
    // Registries restart with empty feeds.
    for core in 0..6 {
        simulation.fault(Fault::KillCore(core));
        simulation.run(500.0);
        simulation.fault(Fault::StartCore(core));
        simulation.run(4000.0);
    }
    let rounds = number("WORLD_MINUTES", 8) * 4;
    let mut sizes = Vec::new();
    for at in 0..rounds {
        run_quarter_minute(&mut simulation, &mut rng);
        assert_eq!(simulation.violations, Vec::<String>::new(), "at {}", simulation.now);
        if (at + 1) % (rounds / 4).max(1) == 0 {
            println!(
                "after {:.0} s: store, registry, items, cache: {:?}",
                simulation.now / 1000.0,
                simulation.state_sizes()
            );
            sizes.push(simulation.state_sizes());
        }
    }
    // The first quarter fills bounded state; after it, only the number of digits may grow.
    for (from, to) in sizes[0].into_iter().zip(*sizes.last().unwrap()) {
        assert!(to * 10 <= from * 12 + 4000, "{sizes:?}");
    }
}

fn quantile(times: &[f64], part: f64) -> f64 {
    times[((times.len() - 1) as f64 * part) as usize]
}

/// The distribution of the times until a change is acknowledged and until every proxy holds it, compared with
/// `configApply`.
#[test]
fn changes_are_soon_acknowledged_and_in_force_everywhere() {
    let (mut agreed, mut held) = (Vec::new(), Vec::new());
    for seed in 0..number("WORLD_SEEDS", 4) {
        let mut simulation = Simulation::new(seed, Config::default());
        let mut rng = Rng::new(seed);
        for _ in 0..25 {
            simulation.change_route();
            let span = 300.0 + rng.fraction() * 1500.0;
            simulation.run(span);
        }
        simulation.run(APPLY_TIMEOUT);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        for (acknowledged, everywhere) in simulation.change_times() {
            agreed.push(acknowledged);
            held.push(everywhere.expect("an acknowledged change reaches every proxy"));
        }
    }
    agreed.sort_by(f64::total_cmp);
    held.sort_by(f64::total_cmp);
    for (what, times) in [("acknowledged", &agreed), ("everywhere after that", &held)] {
        let [half, most, all] = [0.5, 0.99, 1.0].map(|part| quantile(times, part));
        println!("{} changes {what}: half {half:.0}, 99 of 100 {most:.0}, all {all:.0} ms", times.len());
    }
    assert!(quantile(&agreed, 1.0) < 1000.0, "within the timeout of an operator");
    assert!(quantile(&held, 1.0) < APPLY_TIMEOUT / 4.0, "a quarter of the allowed time");
}

/// The times of a kind of recovery, and the allowed time as a fraction of `configApply`.
struct Recovery {
    what: &'static str,
    max_ratio: f64,
    times: Vec<f64>,
}

impl Recovery {
    fn new(what: &'static str, max_ratio: f64) -> Self {
        Self { what, max_ratio, times: Vec::new() }
    }

    fn measure(&mut self, simulation: &mut Simulation, met: impl Fn(&Simulation) -> bool) {
        let took = simulation.run_until(10.0 * APPLY_TIMEOUT, met);
        assert_eq!(simulation.violations, Vec::<String>::new(), "{} at {}", self.what, simulation.now);
        self.times.push(took.unwrap_or(f64::INFINITY));
    }

    fn report(mut self) {
        self.times.sort_by(f64::total_cmp);
        let [half, all] = [0.5, 1.0].map(|part| quantile(&self.times, part));
        let (what, ratio) = (self.what, all / APPLY_TIMEOUT);
        println!(
            "{what}: half {half:.0} ms, all {all:.0} ms, {ratio:.2} of configApply, {:.2} allowed",
            self.max_ratio
        );
        assert!(ratio <= self.max_ratio, "{what}");
    }
}

/// All duties, and the duty to read the backend list.
const ALL: u64 = (1 << (fennelscale_membership::duties::SHARDS + 1)) - 1;
const LIST: u64 = fennelscale_membership::duties::LIST_DUTY;

/// How soon duties have a new holder and service is restored after each failure that must be tolerated.
#[test]
fn duties_get_new_holders_and_failures_are_recovered_from_in_time() {
    let mut new_holders = Recovery::new("a holder dies: all duties have hands again", 0.75);
    let mut region = Recovery::new("a region dies: a change is everywhere", 0.5);
    let mut proxy = Recovery::new("a proxy starts: it serves", 0.1);
    let mut core = Recovery::new("the whole core starts: a change is everywhere", 0.5);
    let mut restored = Recovery::new("power is back, a disk lost: all proxies serve", 0.5);
    let mut restored_change = Recovery::new("and a change is everywhere", 0.25);
    for seed in 0..number("WORLD_SEEDS", 6) {
        let mut simulation = Simulation::new(seed, Config::default());
        simulation.run(seed as f64 * 70.0);
        let first = simulation.holder(LIST).expect("a registry reads the list");
        simulation.fault(Fault::KillCore(first));
        new_holders.measure(&mut simulation, |simulation| simulation.held_duties() == ALL);
        simulation.fault(Fault::StartCore(first));
        simulation.run(8000.0);

        let region_of = [first, (first + 3) % 6];
        region_of.into_iter().for_each(|n| simulation.fault(Fault::KillCore(n)));
        simulation.change_route();
        region.measure(&mut simulation, Simulation::all_in_force);
        region_of.into_iter().for_each(|n| simulation.fault(Fault::StartCore(n)));
        simulation.run(8000.0);

        simulation.fault(Fault::KillProxy(seed as usize % 10));
        simulation.run(3000.0);
        simulation.fault(Fault::StartProxy(seed as usize % 10));
        proxy.measure(&mut simulation, Simulation::all_serve);
        simulation.run(6000.0);

        (0..6).for_each(|n| simulation.fault(Fault::KillCore(n)));
        simulation.run(1000.0);
        (0..6).for_each(|n| simulation.fault(Fault::StartCore(n)));
        simulation.change_route();
        core.measure(&mut simulation, Simulation::all_in_force);
        simulation.run(8000.0);

        simulation.fault(Fault::PowerLoss(seed as usize % 6));
        simulation.run(1000.0);
        simulation.fault(Fault::RestorePower);
        simulation.change_route();
        restored.measure(&mut simulation, Simulation::all_serve);
        restored_change.measure(&mut simulation, Simulation::all_in_force);
    }
    for recovery in [new_holders, region, proxy, core, restored, restored_change] {
        recovery.report();
    }
}
