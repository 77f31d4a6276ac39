//! The cases of the second review: each starts the project's own programs on loopback, does what its `claim.txt` says, and
//! ends with 1 if the rule was broken, 0 if it held, 2 if it could not run. `TROUBLE=0` leaves out the disruption.
//!
//! Usage: `review-standins-2 CASE RECORD`, at the root of the repository.

mod backend;
mod deployment;
mod first_seed;
mod growth;
mod http;
mod idle_limit;
mod slow_platform;
mod successors;

use deployment::{Record, end_after};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let run = match case.as_str() {
        "first-seed" => first_seed::run,
        "growth" => growth::run,
        "idle-limit" => idle_limit::run,
        "slow-platform" => slow_platform::run,
        "successors" => successors::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    end_after(Duration::from_secs(116));
    let verdict = run(&record, trouble).unwrap_or_else(|error| Verdict::NotRun(error.to_string()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    record.note(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
