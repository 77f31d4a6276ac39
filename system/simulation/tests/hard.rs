//! Hard cases: faults that must be tolerated but are rarely drawn at random.

use fennelscale_membership::duties::shard_bit;
use fennelscale_simulation::{Config, Fault, Rng, Simulation};

fn regions(n: usize) -> [usize; 2] {
    [n % 3, n % 3 + 3]
}

fn check(simulation: &Simulation, what: &str) {
    assert_eq!(simulation.violations, Vec::<String>::new(), "{what} at {}", simulation.now);
}

/// The core machine that acknowledged a change loses power or its disk in the same moment, in some cases
/// while another region is down.
#[test]
fn an_acknowledged_change_survives_the_immediate_loss_of_its_core_machine() {
    for seed in 0..12 {
        for (wiped, region_down) in [(false, false), (true, false), (false, true), (true, true)] {
            let what = format!("seed {seed}, wiped {wiped}, another region down {region_down}");
            let mut simulation =
                Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() });
            let region = regions(seed as usize);
            if region_down {
                region.into_iter().for_each(|n| simulation.fault(Fault::KillCore(n)));
                simulation.run(4000.0);
            }
            simulation.change_route();
            let core = simulation.run_to_acknowledged(9000.0).expect("a quorum is running");
            simulation.fault(if wiped { Fault::LoseDisk(core) } else { Fault::KillCore(core) });
            simulation.run(3000.0);
            check(&simulation, &what);
            simulation.fault(Fault::StartCore(core));
            region.into_iter().filter(|_| region_down).for_each(|n| simulation.fault(Fault::StartCore(n)));
            simulation.recover();
            check(&simulation, &what);
            assert!(simulation.all_in_force(), "{what}");
        }
    }
}

/// Changes in quick succession at different core machines; all power is lost when the last one is
/// acknowledged.
#[test]
fn the_last_change_before_a_power_loss_is_in_force_after_the_restart() {
    for seed in 0..12 {
        let mut simulation = Simulation::new(seed, Config { proxies: 4, tenants: 1, ..Config::default() });
        for _ in 0..5 {
            simulation.change_route();
            simulation.run(120.0);
        }
        simulation.change_route();
        while simulation.run_to_acknowledged(3000.0).is_some() {}
        simulation.change_route();
        let core = simulation.run_to_acknowledged(3000.0).expect("an acknowledgement");
        // The machine that has just acknowledged also loses its disk.
        simulation.fault(Fault::PowerLoss(core));
        simulation.run(1500.0);
        simulation.fault(Fault::RestorePower);
        simulation.recover();
        check(&simulation, &format!("seed {seed}"));
        assert!(simulation.all_in_force(), "seed {seed}");
    }
}

#[test]
fn three_quarters_of_the_proxies_die_at_once_under_overload() {
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
        check(&simulation, &format!("seed {seed}"));
    }
}

#[test]
fn the_holder_of_an_overloaded_tenants_duty_dies_within_a_window() {
    for seed in 0..12 {
        let mut simulation = Simulation::new(seed, Config { proxies: 6, tenants: 2, ..Config::default() });
        simulation.fault(Fault::Overload(0, 8.0));
        simulation.run(2000.0 + 90.0 * seed as f64);
        let holder = simulation.holder(shard_bit("t0")).expect("a registry holds the duty");
        let before = simulation.served;
        simulation.fault(Fault::KillCore(holder));
        simulation.run(4000.0);
        check(&simulation, &format!("seed {seed}"));
        // Slices of nine tenths of the quota continue; the other tenant is not overloaded.
        assert!(
            simulation.served - before > 160,
            "seed {seed}: {} in four seconds",
            simulation.served - before
        );
        assert!(simulation.holder(shard_bit("t0")).is_some_and(|next| next != holder), "seed {seed}");
        simulation.fault(Fault::StartCore(holder));
        simulation.recover();
        check(&simulation, &format!("seed {seed}"));
    }
}

/// A machine and its replacement are both replaced within a minute, while operators send changes.
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
            check(&simulation, &format!("seed {seed}, {gone} gone"));
        }
        simulation.recover();
        check(&simulation, &format!("seed {seed}"));
        assert!(simulation.all_in_force(), "seed {seed}");
    }
}
