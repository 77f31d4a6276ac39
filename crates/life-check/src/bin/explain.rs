//! `explain`: explores, and tells the shortest way to whatever does not hold; or plays a story from a file again.
//!
//!     cargo run --release -p life-check --bin explain -- [MUTANT] [requests=2] [nodes=2] [attempts=3] [cancels=1]
//!         [drains=1] [faults=1] [reuses=1] [early=1] [copies=1] [steps=4] [threads=4] [save=FILE]
//!     cargo run --release -p life-check --bin explain -- FILE
//!
//! Status 0: all holds. 1: something does not, and its story is told. 2: the arguments or the file cannot be used.

use life_check::explore::{ALL_AT_ONCE, System, explore, tell};
use life_check::mutants::ALL;
use life_check::trace;
use std::path::Path;
use std::process::ExitCode;

struct Order {
    system: System,
    threads: usize,
    save: Option<String>,
}

fn read(arguments: &[String]) -> Result<Order, String> {
    let system = System { bounds: ALL_AT_ONCE, mutant: None };
    let mut order = Order { system, threads: 4, save: None };
    for argument in arguments {
        let named = ALL.iter().find(|m| format!("{m:?}") == *argument);
        match (named, argument.split_once('=')) {
            (Some(named), _) => order.system.mutant = Some(*named),
            (None, Some(("save", file))) => order.save = Some(file.into()),
            (None, Some((name, value))) => {
                let value =
                    value.parse::<u8>().map_err(|_| format!("{argument}: no whole number below 256"))?;
                if name == "threads" {
                    order.threads = value.max(1).into();
                } else {
                    order.system.bounds.set(name, value)?;
                }
            }
            (None, None) => {
                return Err(format!(
                    "{argument} is no file, no bound (requests=2, ...) and no mutant ({ALL:?})"
                ));
            }
        }
    }
    Ok(order)
}

fn replay(file: &str) -> Result<ExitCode, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let (system, steps) = trace::read(&text).map_err(|e| format!("{file}, {e}"))?;
    let story = tell(system, &steps);
    print!("{story}");
    Ok(if story.contains("broken:") { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn search(arguments: &[String]) -> Result<ExitCode, String> {
    let Order { system, threads, save } = read(arguments)?;
    let found = explore(system, threads);
    println!("{}: {found}", system.bounds);
    let Some((steps, _)) = found.story else {
        println!("all properties hold in every state");
        return Ok(ExitCode::SUCCESS);
    };
    print!("{}", tell(system, &steps));
    if let Some(file) = save {
        std::fs::write(&file, trace::write(system, &steps)).map_err(|e| format!("{file}: {e}"))?;
    }
    Ok(ExitCode::FAILURE)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let done = match arguments.as_slice() {
        [file] if Path::new(file).is_file() => replay(file),
        _ => search(&arguments),
    };
    done.unwrap_or_else(|what| {
        eprintln!("explain: {what}");
        ExitCode::from(2)
    })
}
