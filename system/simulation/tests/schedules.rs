//! Drawn schedules of the whole system.

mod seeds;

use fennelscale_simulation::{Config, Fault, Rng, Simulation};
use rayon::prelude::*;
use seeds::seeds;

/// Most worlds are small: more of them can be played. Each eighth has the usual size.
fn size(seed: u64) -> Config {
    let mut chance = Rng::new(seed ^ 0x517e);
    if seed.is_multiple_of(8) {
        return Config::default();
    }
    let (proxies, tenants) = (2 + chance.below(4), 1 + chance.below(2));
    Config { proxies, tenants, routes: 3, backends: 6, ..Config::default() }
}

/// What is left of a world when it has been played: what did not hold, requests served, changes acknowledged.
type Left = (Vec<String>, usize, usize);

/// Plays seeds on all processors; what is left of each, in order.
fn all(seeds: std::ops::Range<u64>, play: impl Fn(u64) -> Simulation + Sync) -> Vec<Left> {
    let left = seeds.into_par_iter().map(|seed| {
        let world = play(seed);
        if !world.violations.is_empty() {
            println!("seed {seed} at {:.0}\n{}", world.now, world.states());
        }
        let broken = world.violations.iter().map(|what| format!("seed {seed} at {:.0}: {what}", world.now));
        (broken.collect(), world.served, world.acknowledged())
    });
    left.collect()
}

fn keep_every_promise(left: &[Left]) {
    let broken: Vec<&String> = left.iter().flat_map(|(broken, ..)| broken).collect();
    assert_eq!(broken, Vec::<&String>::new());
}

fn play(seed: u64) -> Simulation {
    let mut world = Simulation::new(seed, size(seed));
    let mut chance = Rng::new(!seed);
    for _ in 0..14 {
        if chance.fraction() < 0.7 {
            world.random_fault();
        }
        if chance.fraction() < 0.5 {
            world.change_route();
        }
        let span = 200.0 + chance.fraction() * 2200.0;
        world.run(span);
    }
    world.settle();
    world
}

#[test]
fn drawn_schedules_of_the_whole_system_keep_every_promise() {
    let left = all(seeds(2400), play);
    keep_every_promise(&left);
    let (served, acknowledged) = left.iter().fold((0, 0), |all, one| (all.0 + one.1, all.1 + one.2));
    // A world in which nothing happens would keep any promise.
    assert!(served > 1000 * left.len() && acknowledged > 3 * left.len(), "{served} {acknowledged}");
}

fn play_hard(seed: u64) -> Simulation {
    let mut world = Simulation::new(seed, size(seed));
    let mut chance = Rng::new(!seed);
    for _ in 0..14 {
        match chance.below(6) {
            0..=2 => world.random_hard_fault(),
            3 => world.random_fault(),
            4 => world.fault(Fault::RestoreLinks),
            _ => {}
        }
        if chance.fraction() < 0.5 {
            world.change_route();
        }
        let span = 200.0 + chance.fraction() * 3500.0;
        world.run(span);
    }
    world.settle();
    world
}

/// Machines that stand still, cuts in one direction, replaced machines, all power lost with a disk.
#[test]
fn drawn_schedules_with_the_hard_troubles_keep_every_promise() {
    keep_every_promise(&all(seeds(800), play_hard));
}

#[test]
fn a_calm_world_serves_all_that_is_owed() {
    let mut world = Simulation::new(1, Config::default());
    world.run(10_000.0);
    let (served, refused) = (world.served, world.refused);
    world.run(20_000.0);
    let (served, refused) = (world.served - served, world.refused - refused);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(refused * 50 < served, "{refused} refused beside {served}");
}

#[test]
fn a_region_dies_and_comes_back_under_a_flood() {
    for seed in 0..10 {
        let mut world = Simulation::new(seed, Config::default());
        world.fault(Fault::Overload(0, 8.0));
        world.run(3000.0);
        for fault in [Fault::KillCore(0), Fault::KillCore(3), Fault::KillProxy(0), Fault::KillProxy(3)] {
            world.fault(fault);
        }
        world.change_route();
        world.run(6000.0);
        assert_eq!(world.acknowledged(), 2, "seed {seed}: four of six acknowledge");
        for fault in [Fault::StartCore(0), Fault::StartCore(3), Fault::StartProxy(0), Fault::StartProxy(3)] {
            world.fault(fault);
        }
        world.settle();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// The whole core dies, again, soon after one of it did, under a flood: proxies spend alone, hear the count for a moment, and
/// spend alone once more. From a hunted day.
#[test]
fn a_core_that_dies_twice_under_a_flood_lets_no_more_in_than_the_quota_bears() {
    for seed in 0..24 {
        let config = Config { rate: 190.0, proxies: 12, tenants: 2, ..Config::default() };
        let mut world = Simulation::new(seed, config);
        world.fault(Fault::Overload(0, 8.0));
        world.run(2500.0);
        let first = seed as usize % 6;
        world.fault(Fault::KillCore(first));
        world.run(500.0);
        world.fault(Fault::StartCore(first));
        world.run(2000.0 + 25.0 * seed as f64);
        (0..6).for_each(|n| world.fault(Fault::KillCore(n)));
        world.run(2500.0);
        (0..6).for_each(|n| world.fault(Fault::StartCore(n)));
        world.run(8000.0);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} at {}", world.now);
    }
}
