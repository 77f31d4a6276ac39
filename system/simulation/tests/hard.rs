//! Hard cases by name: what is to be borne and is rarely drawn.

use fennelscale_membership::duties::bit_of;
use fennelscale_simulation::{Config, Fault, Rng, Simulation};

fn regions(n: usize) -> [usize; 2] {
    [n % 3, n % 3 + 3]
}

fn holds(simulation: &Simulation, what: &str) {
    assert_eq!(simulation.violations, Vec::<String>::new(), "{what} at {}", simulation.now);
}

/// The gateway that gave an acknowledgement loses power in the same moment, or its disk, or that while another region is dark.
#[test]
fn what_is_acknowledged_stays_whatever_becomes_of_its_gateway_at_once() {
    for seed in 0..12 {
        for (wiped, dark) in [(false, false), (true, false), (false, true), (true, true)] {
            let what = format!("seed {seed}, wiped {wiped}, another region dark {dark}");
            let mut simulation =
                Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() });
            let region = regions(seed as usize);
            if dark {
                region.into_iter().for_each(|n| simulation.fault(Fault::KillCore(n)));
                simulation.run(4000.0);
            }
            simulation.change_route();
            let gateway = simulation.run_to_acknowledged(9000.0).expect("a quorum is there");
            simulation.fault(if wiped { Fault::LoseDisk(gateway) } else { Fault::KillCore(gateway) });
            simulation.run(3000.0);
            holds(&simulation, &what);
            simulation.fault(Fault::StartCore(gateway));
            region.into_iter().filter(|_| dark).for_each(|n| simulation.fault(Fault::StartCore(n)));
            simulation.recover();
            holds(&simulation, &what);
            assert!(simulation.all_in_force(), "{what}");
        }
    }
}

/// Changes in quick succession at different gateways; all power goes in the moment in which the last is acknowledged.
#[test]
fn the_last_change_before_all_power_goes_is_there_when_it_is_back() {
    for seed in 0..12 {
        let mut simulation = Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() });
        for _ in 0..5 {
            simulation.change_route();
            simulation.run(120.0);
        }
        simulation.change_route();
        while simulation.run_to_acknowledged(3000.0).is_some() {}
        simulation.change_route();
        let gateway = simulation.run_to_acknowledged(3000.0).expect("an acknowledgement");
        // The disk that is lost is the one of the gateway that has just acknowledged.
        simulation.fault(Fault::PowerLoss(gateway));
        simulation.run(1500.0);
        simulation.fault(Fault::RestorePower);
        simulation.recover();
        holds(&simulation, &format!("seed {seed}"));
        assert!(simulation.all_in_force(), "seed {seed}");
    }
}

#[test]
fn three_quarters_of_the_proxies_die_at_once_under_a_flood() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed, Config { proxies: 16, ..Config::default() });
        simulation.fault(Fault::Overload(0, 8.0));
        simulation.run(2000.0);
        (0..12).for_each(|n| simulation.fault(Fault::KillProxy(n)));
        simulation.run(1500.0);
        (0..12).for_each(|n| simulation.fault(Fault::StartProxy(n)));
        let took = simulation.run_until(4000.0, Simulation::all_serve);
        assert!(took.is_some(), "seed {seed}: they serve again");
        simulation.run(6000.0);
        holds(&simulation, &format!("seed {seed}"));
    }
}

#[test]
fn the_holder_of_a_hot_tenants_count_dies_in_the_middle_of_a_window() {
    for seed in 0..12 {
        let mut simulation = Simulation::new(seed, Config { proxies: 6, tenants: 2, ..Config::default() });
        simulation.fault(Fault::Overload(0, 8.0));
        simulation.run(2000.0 + 90.0 * seed as f64);
        let holder = simulation.holder(bit_of("t0")).expect("somebody holds the count");
        let before = simulation.served;
        simulation.fault(Fault::KillCore(holder));
        simulation.run(4000.0);
        holds(&simulation, &format!("seed {seed}"));
        // Slices of nine tenths go on; the other tenant has no flood.
        assert!(
            simulation.served - before > 160,
            "seed {seed}: {} in four seconds",
            simulation.served - before
        );
        assert!(simulation.holder(bit_of("t0")).is_some_and(|next| next != holder), "seed {seed}");
        simulation.fault(Fault::StartCore(holder));
        simulation.recover();
        holds(&simulation, &format!("seed {seed}"));
    }
}

/// A machine is replaced, and its replacement as well, within a minute, while operators go on.
#[test]
fn a_machine_is_replaced_twice_within_a_minute() {
    for seed in 0..8 {
        let (mut simulation, mut rng) =
            (Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() }), Rng::new(seed));
        let first = rng.below(6);
        for gone in [first, 6] {
            simulation.change_route();
            simulation.run(500.0 * rng.fraction());
            simulation.fault(Fault::ReplaceCore(gone));
            simulation.change_route();
            simulation.run(20_000.0);
            holds(&simulation, &format!("seed {seed}, {gone} gone"));
        }
        simulation.recover();
        holds(&simulation, &format!("seed {seed}"));
        assert!(simulation.all_in_force(), "seed {seed}");
    }
}
