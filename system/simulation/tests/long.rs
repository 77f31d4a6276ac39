//! What takes long in virtual time: an hour in which nothing may pile up, and how soon changes are everywhere.
//! `WORLD_MINUTES` is how long the soak is; the whole hour is played by `WORLD_MINUTES=60`.

use fennelscale_replication::versions::HISTORY_LIMIT;
use fennelscale_simulation::{APPLY_TIMEOUT, Config, Fault, Rng, Simulation};

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).map_or(usual, |n| n.parse().unwrap())
}

/// A quarter of a minute in which an item changes, a tenant floods, a proxy and a core machine die and come back.
fn stretch(world: &mut Simulation, chance: &mut Rng) {
    let (proxy, core, tenant) = (chance.below(6), chance.below(6), chance.below(2));
    world.change_route();
    world.fault(Fault::Overload(tenant, 5.0));
    world.fault(Fault::KillProxy(proxy));
    world.run(4000.0);
    world.fault(Fault::Overload(tenant, 1.0));
    world.fault(Fault::StartProxy(proxy));
    world.fault(Fault::KillCore(core));
    world.run(3000.0);
    world.change_route();
    world.fault(Fault::StartCore(core));
    world.run(8000.0);
}

#[test]
fn nothing_piles_up_over_a_long_time() {
    let config = Config { proxies: 6, tenants: 2, routes: 4, rate: 20.0, ..Config::default() };
    let (mut world, mut chance) = (Simulation::new(3, config), Rng::new(7));
    // What is remembered of each item is bounded by a number of versions: filled first, so that any growth after it shows.
    for _ in 0..3 * HISTORY_LIMIT * 4 {
        world.change_route();
        world.run(700.0);
    }
    // Registries begin anew, with empty feeds.
    for core in 0..6 {
        world.fault(Fault::KillCore(core));
        world.run(500.0);
        world.fault(Fault::StartCore(core));
        world.run(4000.0);
    }
    let stretches = number("WORLD_MINUTES", 8) * 4;
    let mut sizes = Vec::new();
    for at in 0..stretches {
        stretch(&mut world, &mut chance);
        assert_eq!(world.violations, Vec::<String>::new(), "at {}", world.now);
        if (at + 1) % (stretches / 4).max(1) == 0 {
            println!(
                "after {:.0} s: store, registry, items, cache: {:?}",
                world.now / 1000.0,
                world.state_sizes()
            );
            sizes.push(world.state_sizes());
        }
    }
    // The first quarter fills what is bounded; from then on nothing grows but digits.
    for (from, to) in sizes[0].into_iter().zip(*sizes.last().unwrap()) {
        assert!(to * 10 <= from * 12 + 4000, "{sizes:?}");
    }
}

fn quantile(times: &[f64], part: f64) -> f64 {
    times[((times.len() - 1) as f64 * part) as usize]
}

/// The distribution of how soon a change is acknowledged, and of how soon every proxy holds it, beside `configApply`.
#[test]
fn changes_are_acknowledged_and_everywhere_soon() {
    let (mut agreed, mut held) = (Vec::new(), Vec::new());
    for seed in 0..number("WORLD_SEEDS", 4) {
        let mut world = Simulation::new(seed, Config::default());
        let mut chance = Rng::new(seed);
        for _ in 0..25 {
            world.change_route();
            let span = 300.0 + chance.fraction() * 1500.0;
            world.run(span);
        }
        world.run(APPLY_TIMEOUT);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        for (acknowledged, everywhere) in world.change_times() {
            agreed.push(acknowledged);
            held.push(everywhere.expect("a change that is acknowledged is everywhere in the end"));
        }
    }
    agreed.sort_by(f64::total_cmp);
    held.sort_by(f64::total_cmp);
    for (what, times) in [("acknowledged", &agreed), ("everywhere after that", &held)] {
        let [half, most, all] = [0.5, 0.99, 1.0].map(|part| quantile(times, part));
        println!("{} changes {what}: half {half:.0}, 99 of 100 {most:.0}, all {all:.0} ms", times.len());
    }
    assert!(quantile(&agreed, 1.0) < 1000.0, "an operator's patience");
    assert!(quantile(&held, 1.0) < APPLY_TIMEOUT / 4.0, "a quarter of what is allowed");
}

/// What is waited for after a loss, each with what it is allowed, in parts of `configApply`.
struct Recovery {
    what: &'static str,
    most: f64,
    times: Vec<f64>,
}

impl Recovery {
    fn new(what: &'static str, most: f64) -> Self {
        Self { what, most, times: Vec::new() }
    }

    fn took(&mut self, world: &mut Simulation, met: impl Fn(&Simulation) -> bool) {
        let took = world.run_until(10.0 * APPLY_TIMEOUT, met);
        assert_eq!(world.violations, Vec::<String>::new(), "{} at {}", self.what, world.now);
        self.times.push(took.unwrap_or(f64::INFINITY));
    }

    fn told(mut self) {
        self.times.sort_by(f64::total_cmp);
        let [half, all] = [0.5, 1.0].map(|part| quantile(&self.times, part));
        let (what, ratio) = (self.what, all / APPLY_TIMEOUT);
        println!(
            "{what}: half {half:.0} ms, all {all:.0} ms, {ratio:.2} of configApply, {:.2} allowed",
            self.most
        );
        assert!(ratio <= self.most, "{what}");
    }
}

/// All duties, and that of reading the list.
const ALL: u64 = (1 << (fennelscale_membership::duties::SHARDS + 1)) - 1;
const LIST: u64 = fennelscale_membership::duties::LIST_DUTY;

/// How soon duties have other hands, and how soon all is as before, after each loss that is to be borne.
#[test]
fn duties_change_hands_and_losses_are_over_within_their_times() {
    let mut hands = Recovery::new("a holder dies: all duties have hands again", 0.75);
    let mut region = Recovery::new("a region dies: a change is everywhere", 0.5);
    let mut proxy = Recovery::new("a proxy starts: it serves", 0.1);
    let mut core = Recovery::new("the whole core starts: a change is everywhere", 0.5);
    let mut light = Recovery::new("power is back, a disk lost: all proxies serve", 0.5);
    let mut dark = Recovery::new("and a change is everywhere", 0.25);
    for seed in 0..number("WORLD_SEEDS", 6) {
        let mut world = Simulation::new(seed, Config::default());
        world.run(seed as f64 * 70.0);
        let first = world.holder(LIST).expect("somebody reads the list");
        world.fault(Fault::KillCore(first));
        hands.took(&mut world, |world| world.held_duties() == ALL);
        world.fault(Fault::StartCore(first));
        world.run(8000.0);

        let region_of = [first, (first + 3) % 6];
        region_of.into_iter().for_each(|n| world.fault(Fault::KillCore(n)));
        world.change_route();
        region.took(&mut world, Simulation::all_in_force);
        region_of.into_iter().for_each(|n| world.fault(Fault::StartCore(n)));
        world.run(8000.0);

        world.fault(Fault::KillProxy(seed as usize % 10));
        world.run(3000.0);
        world.fault(Fault::StartProxy(seed as usize % 10));
        proxy.took(&mut world, Simulation::all_serve);
        world.run(6000.0);

        (0..6).for_each(|n| world.fault(Fault::KillCore(n)));
        world.run(1000.0);
        (0..6).for_each(|n| world.fault(Fault::StartCore(n)));
        world.change_route();
        core.took(&mut world, Simulation::all_in_force);
        world.run(8000.0);

        world.fault(Fault::PowerLoss(seed as usize % 6));
        world.run(1000.0);
        world.fault(Fault::RestorePower);
        world.change_route();
        light.took(&mut world, Simulation::all_serve);
        dark.took(&mut world, Simulation::all_in_force);
    }
    for recovery in [hands, region, proxy, core, light, dark] {
        recovery.told();
    }
}
