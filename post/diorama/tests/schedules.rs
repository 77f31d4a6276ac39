//! Drawn schedules of the whole system. `WORLD_SEEDS` is how many, `WORLD_FIRST` the first of them.

use post_diorama::{Chance, Config, Fault, World};

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let number = |name: &str, usual| std::env::var(name).map_or(usual, |n| n.parse().unwrap());
    let first = number("WORLD_FIRST", 0);
    first..first + number("WORLD_SEEDS", usual)
}

fn play(seed: u64) -> World {
    let mut world = World::new(seed, Config::default());
    let mut chance = Chance::new(!seed);
    for _ in 0..14 {
        if chance.share() < 0.7 {
            world.some_fault();
        }
        if chance.share() < 0.5 {
            world.operate();
        }
        let span = 200.0 + chance.share() * 2200.0;
        world.run(span);
    }
    world.settle();
    world
}

#[test]
fn drawn_schedules_of_the_whole_system_keep_every_promise() {
    let seeds = seeds(150);
    let (mut served, mut acknowledged) = (0, 0);
    for seed in seeds {
        let world = play(seed);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} at {}", world.now);
        served += world.served;
        acknowledged += world.acknowledged();
    }
    assert!(served > 100 && acknowledged > 1);
}

fn play_hard(seed: u64) -> World {
    let mut world = World::new(seed, Config::default());
    let mut chance = Chance::new(!seed);
    for _ in 0..14 {
        match chance.below(6) {
            0..=2 => world.some_hard_fault(),
            3 => world.some_fault(),
            4 => world.fault(Fault::Heal),
            _ => {}
        }
        if chance.share() < 0.5 {
            world.operate();
        }
        let span = 200.0 + chance.share() * 3500.0;
        world.run(span);
    }
    world.settle();
    world
}

/// Machines that stand still, cuts in one direction, replaced machines, all power lost with a disk.
#[test]
fn drawn_schedules_with_the_hard_troubles_keep_every_promise() {
    for seed in seeds(60) {
        let world = play_hard(seed);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} at {}", world.now);
    }
}

#[test]
fn a_calm_world_serves_all_that_is_owed() {
    let mut world = World::new(1, Config::default());
    world.run(10_000.0);
    let (served, refused) = (world.served, world.refused);
    world.run(20_000.0);
    let (served, refused) = (world.served - served, world.refused - refused);
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(refused * 50 < served, "{refused} refused beside {served}");
}

#[test]
fn a_region_dies_and_comes_back_under_a_flood() {
    for seed in 0..10 {
        let mut world = World::new(seed, Config::default());
        world.fault(Fault::Flood(0, 8.0));
        world.run(3000.0);
        for fault in [Fault::KillCore(0), Fault::KillCore(3), Fault::KillProxy(0), Fault::KillProxy(3)] {
            world.fault(fault);
        }
        world.operate();
        world.run(6000.0);
        assert_eq!(world.acknowledged(), 2, "seed {seed}: four of six acknowledge");
        for fault in [Fault::StartCore(0), Fault::StartCore(3), Fault::StartProxy(0), Fault::StartProxy(3)] {
            world.fault(fault);
        }
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// The whole core dies, again, soon after one of it did, under a flood: proxies spend alone, hear the count for a moment, and
/// spend alone once more. From a hunted day.
#[test]
fn a_core_that_dies_twice_under_a_flood_lets_no_more_in_than_the_quota_bears() {
    for seed in 0..24 {
        let config = Config { rate: 190.0, proxies: 12, tenants: 2, ..Config::default() };
        let mut world = World::new(seed, config);
        world.fault(Fault::Flood(0, 8.0));
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
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} at {}", world.now);
    }
}
