//! `explain`: explores, and tells the shortest way to whatever does not hold.
//!
//!     cargo run --release -p life-check --bin explain -- [MUTANT] [requests=2] [nodes=2] [attempts=3] [cancels=1]
//!         [drains=1] [faults=1] [steps=4] [threads=4]

use life_check::explore::{ALL_AT_ONCE, System, explore, tell};
use life_check::mutants::ALL;
use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut bounds, mut mutant, mut threads) = (ALL_AT_ONCE, None, 4);
    for argument in std::env::args().skip(1) {
        let named = ALL.iter().find(|m| format!("{m:?}") == argument);
        let pair = argument.split_once('=').and_then(|(key, value)| Some((key, value.parse::<u8>().ok()?)));
        match (named, pair) {
            (Some(named), _) => mutant = Some(*named),
            (None, Some(("requests", n))) => bounds.requests = n.clamp(1, 3),
            (None, Some(("nodes", n))) => bounds.nodes = n.clamp(1, 4),
            (None, Some(("attempts", n))) => bounds.attempts = n.into(),
            (None, Some(("cancels", n))) => bounds.cancels = n,
            (None, Some(("drains", n))) => bounds.drains = n,
            (None, Some(("faults", n))) => bounds.faults = n,
            (None, Some(("steps", n))) => bounds.steps = n,
            (None, Some(("threads", n))) => threads = n.max(1).into(),
            _ => {
                eprintln!(
                    "explain: {argument} is no bound (requests=2, faults=1, ...) and no mutant; mutants: {ALL:?}"
                );
                return ExitCode::from(2);
            }
        }
    }
    let system = System { bounds, mutant };
    let found = explore(system, threads);
    println!(
        "{bounds:?}: {} states, {} transitions, depth {}, {:.1} s",
        found.states,
        found.transitions,
        found.depth,
        found.took.as_secs_f64()
    );
    match found.story {
        None => {
            println!("all properties hold in every state");
            ExitCode::SUCCESS
        }
        Some((steps, _)) => {
            print!("{}", tell(system, &steps));
            ExitCode::FAILURE
        }
    }
}
