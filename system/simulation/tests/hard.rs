//! Hard cases by name: what is to be borne and is rarely drawn.

use fennelscale_membership::duties::shard_bit;
use fennelscale_simulation::{Config, Fault, Rng, Simulation};

fn regions(n: usize) -> [usize; 2] {
    [n % 3, n % 3 + 3]
}

fn holds(world: &Simulation, what: &str) {
    assert_eq!(world.violations, Vec::<String>::new(), "{what} at {}", world.now);
}

/// The gateway that gave an acknowledgement loses power in the same moment, or its disk, or that while another region is dark.
#[test]
fn what_is_acknowledged_stays_whatever_becomes_of_its_gateway_at_once() {
    for seed in 0..12 {
        for (wiped, dark) in [(false, false), (true, false), (false, true), (true, true)] {
            let what = format!("seed {seed}, wiped {wiped}, another region dark {dark}");
            let mut world = Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() });
            let region = regions(seed as usize);
            if dark {
                region.into_iter().for_each(|n| world.fault(Fault::KillCore(n)));
                world.run(4000.0);
            }
            world.change_route();
            let gateway = world.run_to_acknowledged(9000.0).expect("a quorum is there");
            world.fault(if wiped { Fault::LoseDisk(gateway) } else { Fault::KillCore(gateway) });
            world.run(3000.0);
            holds(&world, &what);
            world.fault(Fault::StartCore(gateway));
            region.into_iter().filter(|_| dark).for_each(|n| world.fault(Fault::StartCore(n)));
            world.settle();
            holds(&world, &what);
            assert!(world.all_in_force(), "{what}");
        }
    }
}

/// Changes in quick succession at different gateways; all power goes in the moment in which the last is acknowledged.
#[test]
fn the_last_change_before_all_power_goes_is_there_when_it_is_back() {
    for seed in 0..12 {
        let mut world = Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() });
        for _ in 0..5 {
            world.change_route();
            world.run(120.0);
        }
        world.change_route();
        while world.run_to_acknowledged(3000.0).is_some() {}
        world.change_route();
        let gateway = world.run_to_acknowledged(3000.0).expect("an acknowledgement");
        // The disk that is lost is the one of the gateway that has just acknowledged.
        world.fault(Fault::PowerLoss(gateway));
        world.run(1500.0);
        world.fault(Fault::RestorePower);
        world.settle();
        holds(&world, &format!("seed {seed}"));
        assert!(world.all_in_force(), "seed {seed}");
    }
}

#[test]
fn three_quarters_of_the_proxies_die_at_once_under_a_flood() {
    for seed in 0..8 {
        let mut world = Simulation::new(seed, Config { proxies: 16, ..Config::default() });
        world.fault(Fault::Overload(0, 8.0));
        world.run(2000.0);
        (0..12).for_each(|n| world.fault(Fault::KillProxy(n)));
        world.run(1500.0);
        (0..12).for_each(|n| world.fault(Fault::StartProxy(n)));
        let took = world.run_until(4000.0, Simulation::all_serve);
        assert!(took.is_some(), "seed {seed}: they serve again");
        world.run(6000.0);
        holds(&world, &format!("seed {seed}"));
    }
}

#[test]
fn the_holder_of_a_hot_tenants_count_dies_in_the_middle_of_a_window() {
    for seed in 0..12 {
        let mut world = Simulation::new(seed, Config { proxies: 6, tenants: 2, ..Config::default() });
        world.fault(Fault::Overload(0, 8.0));
        world.run(2000.0 + 90.0 * seed as f64);
        let holder = world.holder(shard_bit("t0")).expect("somebody holds the count");
        let before = world.served;
        world.fault(Fault::KillCore(holder));
        world.run(4000.0);
        holds(&world, &format!("seed {seed}"));
        // Slices of nine tenths go on; the other tenant has no flood.
        assert!(world.served - before > 160, "seed {seed}: {} in four seconds", world.served - before);
        assert!(world.holder(shard_bit("t0")).is_some_and(|next| next != holder), "seed {seed}");
        world.fault(Fault::StartCore(holder));
        world.settle();
        holds(&world, &format!("seed {seed}"));
    }
}

/// A machine is replaced, and its replacement as well, within a minute, while operators go on.
#[test]
fn a_machine_is_replaced_twice_within_a_minute() {
    for seed in 0..8 {
        let (mut world, mut chance) =
            (Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() }), Rng::new(seed));
        let first = chance.below(6);
        for gone in [first, 6] {
            world.change_route();
            world.run(500.0 * chance.fraction());
            world.fault(Fault::ReplaceCore(gone));
            world.change_route();
            world.run(20_000.0);
            holds(&world, &format!("seed {seed}, {gone} gone"));
        }
        world.settle();
        holds(&world, &format!("seed {seed}"));
        assert!(world.all_in_force(), "seed {seed}");
    }
}
