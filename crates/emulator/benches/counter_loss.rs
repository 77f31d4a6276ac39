//! How quotas fare when the counter is lost for all gateways, in virtual time: the tables of docs/quota-without-counter.md.
//!
//! `cargo bench -p fennelscale-emulator` prints them. FENNELSCALE_SEEDS says how many runs a row stands for (20).

use fennelscale_emulator::scene::{even, plan, uneven};
use fennelscale_emulator::{Account, Fault, Step, World, fullest, overshoot};
use fennelscale_quota::{Bound, Loss};

const BEGIN: f64 = 10_000.0;
const AFTER: f64 = 10_000.0;
/// Accounts that offer 20% to 90% of their quota, of each kind: with a ceiling and without, evenly and unevenly.
const HONEST: usize = 6;
/// Accounts that flood from the loss on, over all gateways or over few that change; these come first.
const FLOODS: usize = 2;

fn accounts(gateways: usize, size: f64) -> Vec<Account> {
    let mut accounts = vec![even(0, BEGIN, 90.0 * size), uneven(0, BEGIN, 90.0 * size, gateways, 900.0)];
    for n in 0..HONEST {
        let share = size * (0.2 + 0.7 * n as f64 / (HONEST - 1) as f64);
        accounts.push(even(0, 0.0, 16.0 * share));
        accounts.push(uneven(0, 0.0, 16.0 * share, gateways, 0.0));
        accounts.push(even(1, 0.0, 8.0 * share));
        accounts.push(uneven(1, 0.0, 8.0 * share, gateways, 5000.0));
    }
    accounts
}

fn main() {
    let seeds = std::env::var("FENNELSCALE_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(20);
    for grows in [false, true] {
        let quota = if grows { "4 units a second for each gateway" } else { "16 units a second" };
        println!("\nAccounts under a ceiling of 1.6 times a quota of {quota}, others half of that:\n");
        println!(
            "| loss | gateways | nearest to the bound | units past the ceiling | the bound past it | \
             in-quota service before | lost | after | calls in the busiest second before | after |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for seconds in [1.0, 5.0, 20.0, 60.0] {
            for gateways in [2, 4, 16, 64] {
                let size = if grows { gateways as f64 / 4.0 } else { 1.0 };
                row(seconds * 1000.0, gateways, size, seeds);
            }
        }
    }
}

fn row(length: f64, gateways: usize, size: f64, seeds: u64) {
    let (mut nearest, mut past, mut past_bound) = (0.0f64, f64::NEG_INFINITY, f64::NEG_INFINITY);
    let (mut services, mut calls) = ([0.0; 3], [0usize; 2]);
    let all: Vec<usize> = (0..gateways).collect();
    for seed in 0..seeds {
        let plans =
            vec![plan("ceiling", 16.0 * size, 25.0 * size, 1.6), plan("plain", 8.0 * size, 12.0 * size, 0.0)];
        let mut world = World::new(seed, gateways, plans, accounts(gateways, size), Loss::Whole);
        let back = BEGIN + length;
        world.at(BEGIN, Step::Counter(Fault::Cut(all.clone())));
        world.at(back, Step::Counter(Fault::Replace));
        world.at(back, Step::Counter(Fault::Heal));
        world.run_until(back + AFTER);
        for account in 0..FLOODS {
            let terms = world.terms(account);
            let bound = Bound {
                quota: terms,
                loss: Loss::Whole,
                split_counters: 1.0,
                detection_time: 300.0,
                clock_skew: 0.0,
            };
            nearest = nearest.max(fullest(world.sent(account), |span| bound.max_units(span)));
            past = past.max(overshoot(world.sent(account), |span| bound.ceiling_units(span)));
            past_bound = past_bound.max(bound.max_units(back) - bound.ceiling_units(back));
        }
        let spans = [(2000.0, BEGIN), (BEGIN, back), (back, back + AFTER)];
        for (sum, (from, to)) in services.iter_mut().zip(spans) {
            *sum += world.figures(from, to, |account| account >= FLOODS).service() / seeds as f64;
        }
        let busiest = |from: f64, to: f64| {
            let starts = (0..((to - from) / 100.0) as usize).map(|n| from + n as f64 * 100.0);
            starts.map(|at| world.calls(at, at + 1000.0)).max().unwrap_or(0)
        };
        calls[0] = calls[0].max(busiest(5000.0, BEGIN - 1000.0));
        calls[1] = calls[1].max(busiest(back, back + 2000.0));
    }
    let [before, lost, after] = services;
    println!(
        "| {} s | {gateways} | {nearest:.2} | {past:.1} | {past_bound:.1} | {before:.3} | {lost:.3} | {after:.3} | {} | {} |",
        length / 1000.0,
        calls[0],
        calls[1]
    );
}
