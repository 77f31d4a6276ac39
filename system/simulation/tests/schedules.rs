//! Randomly drawn fault schedules for the whole system.

mod seeds;

use fennelscale_simulation::{Config, Fault, Rng, Simulation};
use rayon::prelude::*;
use seeds::seeds;

/// Most simulations are small, so that more of them can be run. Every eighth has the usual size.
fn size(seed: u64) -> Config {
    let mut rng = Rng::new(seed ^ 0x517e);
    if seed.is_multiple_of(8) {
        return Config::default();
    }
    let (proxies, tenants) = (2 + rng.below(4), 1 + rng.below(2));
    Config { proxies, tenants, routes: 3, backends: 6, ..Config::default() }
}

/// The results of a simulation: violations, requests served, changes acknowledged.
type Results = (Vec<String>, usize, usize);

/// Runs the seeds on all processors; returns the results of each, in order.
fn run_all(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> Simulation + Sync) -> Vec<Results> {
    let results = seeds.into_par_iter().map(|seed| {
        let simulation = run(seed);
        if !simulation.violations.is_empty() {
            println!("seed {seed} at {:.0}\n{}", simulation.now, simulation.states());
        }
        let broken =
            simulation.violations.iter().map(|what| format!("seed {seed} at {:.0}: {what}", simulation.now));
        (broken.collect(), simulation.served, simulation.acknowledged())
    });
    results.collect()
}

fn assert_no_violations(results: &[Results]) {
    let broken: Vec<&String> = results.iter().flat_map(|(broken, ..)| broken).collect();
    assert_eq!(broken, Vec::<&String>::new());
}

fn run(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, size(seed));
    let mut rng = Rng::new(!seed);
    for _ in 0..14 {
        if rng.fraction() < 0.7 {
            simulation.random_fault();
        }
        if rng.fraction() < 0.5 {
            simulation.change_route();
        }
        let span = 200.0 + rng.fraction() * 2200.0;
        simulation.run(span);
    }
    simulation.recover();
    simulation
}

#[test]
fn randomly_drawn_schedules_of_the_whole_system_violate_no_invariant() {
    let results = run_all(seeds(2400), run);
    assert_no_violations(&results);
    let (served, acknowledged) = results.iter().fold((0, 0), |all, one| (all.0 + one.1, all.1 + one.2));
    // A simulation in which nothing happens would violate nothing.
    assert!(served > 1000 * results.len() && acknowledged > 3 * results.len(), "{served} {acknowledged}");
}

fn run_hard(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, size(seed));
    let mut rng = Rng::new(!seed);
    for _ in 0..14 {
        match rng.below(6) {
            0..=2 => simulation.random_hard_fault(),
            3 => simulation.random_fault(),
            4 => simulation.fault(Fault::RestoreLinks),
            _ => {}
        }
        if rng.fraction() < 0.5 {
            simulation.change_route();
        }
        let span = 200.0 + rng.fraction() * 3500.0;
        simulation.run(span);
    }
    simulation.recover();
    simulation
}

/// Paused machines, links that fail in one direction, replaced machines, and the loss of all power with one
/// disk.
#[test]
fn randomly_drawn_schedules_with_hard_faults_violate_no_invariant() {
    assert_no_violations(&run_all(seeds(800), run_hard));
}

#[test]
fn a_system_without_faults_serves_nearly_all_requests_within_quotas() {
    let mut simulation = Simulation::new(1, Config::default());
    simulation.run(10_000.0);
    let (served, refused) = (simulation.served, simulation.refused);
    simulation.run(20_000.0);
    let (served, refused) = (simulation.served - served, simulation.refused - refused);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert!(refused * 50 < served, "{refused} refused beside {served}");
}

#[test]
fn a_region_dies_and_restarts_under_overload() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, Config::default());
        simulation.fault(Fault::Overload(0, 8.0));
        simulation.run(3000.0);
        for fault in [Fault::KillCore(0), Fault::KillCore(3), Fault::KillProxy(0), Fault::KillProxy(3)] {
            simulation.fault(fault);
        }
        simulation.change_route();
        simulation.run(6000.0);
        assert_eq!(simulation.acknowledged(), 2, "seed {seed}: four of six acknowledge");
        for fault in [Fault::StartCore(0), Fault::StartCore(3), Fault::StartProxy(0), Fault::StartProxy(3)] {
            simulation.fault(fault);
        }
        simulation.recover();
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// The whole core dies soon after one of its machines died, under overload: proxies grant themselves quota
/// units, are connected for a moment, and grant themselves units again. A random search found this failure.
#[test]
fn a_core_that_dies_twice_under_overload_admits_no_more_than_the_quota_allows() {
    for seed in 0..24 {
        let config = Config { rate: 190.0, proxies: 12, tenants: 2, ..Config::default() };
        let mut simulation = Simulation::new(seed, config);
        simulation.fault(Fault::Overload(0, 8.0));
        simulation.run(2500.0);
        let first = seed as usize % 6;
        simulation.fault(Fault::KillCore(first));
        simulation.run(500.0);
        simulation.fault(Fault::StartCore(first));
        simulation.run(2000.0 + 25.0 * seed as f64);
        (0..6).for_each(|n| simulation.fault(Fault::KillCore(n)));
        simulation.run(2500.0);
        (0..6).for_each(|n| simulation.fault(Fault::StartCore(n)));
        simulation.run(8000.0);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed} at {}", simulation.now);
    }
}
