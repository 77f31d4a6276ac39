//! `fennelscale-experiments`: the experiment tool. Status: 0 done; 1 a promise did not hold in some run, or a figure is clearly worse; 2 the arguments
//! or a file can't be.

use fennelscale_experiments::play::Set;
use fennelscale_experiments::{Fault, capacity, figures, growth, page, play, scenario};
use gumdrop::Options;
use miette::{Result, miette};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Prints a line. Whoever reads may stop before the end: that is no fault.
macro_rules! say {
    ($($line:tt)*) => {{
        let _ = writeln!(std::io::stdout(), $($line)*);
    }};
}

/// Experiments on the whole system in virtual time.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this and end")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "play a file's scenarios with many seeds")]
    Run(Run),
    #[options(help = "compare two files of runs, seed by seed")]
    Compare(Compare),
    #[options(help = "play calm worlds of several sizes")]
    Growth(Growth),
    #[options(help = "write a page with plots")]
    Page(Page),
    #[options(help = "measure what each role holds, sends and spends at several sizes")]
    Capacity(Capacity),
}

#[derive(Debug, Options)]
struct Capacity {
    #[options(help = "show this and end")]
    help: bool,
    #[options(
        no_short,
        help = "only the memory of a store or a gateway with so many items",
        meta = "ROLE:ITEMS"
    )]
    memory: Option<String>,
}

#[derive(Debug, Options)]
struct Run {
    #[options(help = "show this and end")]
    help: bool,
    #[options(free, required, help = "the file of scenarios, TOML")]
    file: PathBuf,
    #[options(help = "how many seeds of each", meta = "N", default = "32")]
    seeds: u64,
    #[options(no_short, help = "the first seed", meta = "N", default = "0")]
    first: u64,
    #[options(help = "what these runs are of", meta = "TEXT")]
    label: Option<String>,
    #[options(required, help = "where the runs are written, JSON", meta = "FILE")]
    out: PathBuf,
}

#[derive(Debug, Options)]
struct Compare {
    #[options(help = "show this and end")]
    help: bool,
    #[options(free, required, help = "runs of the one")]
    one: PathBuf,
    #[options(free, required, help = "runs of the other")]
    other: PathBuf,
}

#[derive(Debug, Options)]
struct Growth {
    #[options(help = "show this and end")]
    help: bool,
    #[options(help = "numbers of proxies", meta = "N,N,...", default = "16,37,75,150,300,750")]
    sizes: String,
    #[options(required, help = "where the sizes are written, JSON", meta = "FILE")]
    out: PathBuf,
}

#[derive(Debug, Options)]
struct Page {
    #[options(help = "show this and end")]
    help: bool,
    #[options(free, required, help = "runs")]
    one: PathBuf,
    #[options(no_short, help = "runs to show beside them", meta = "FILE")]
    beside: Option<PathBuf>,
    #[options(no_short, help = "sizes that growth wrote", meta = "FILE")]
    growth: Option<PathBuf>,
    #[options(required, help = "where the page is written, HTML", meta = "FILE")]
    out: PathBuf,
}

fn text(at: &Path) -> Result<String> {
    let help = "name a file that is there and may be read";
    std::fs::read_to_string(at).map_err(|error| miette!(help = help, "{}: {error}", at.display()))
}

fn of_file<T: DeserializeOwned>(at: &Path) -> Result<T> {
    let help = "name a file that this tool wrote";
    serde_json::from_str(&text(at)?).map_err(|error| miette!(help = help, "{}: {error}", at.display()))
}

/// Written beside and put in place whole: a file that is there is never half of one.
fn put(at: &Path, body: &str) -> Result<()> {
    let beside = at.with_extension("part");
    let written = std::fs::write(&beside, body).and_then(|()| std::fs::rename(&beside, at));
    written.map_err(|error| miette!(help = "name a place that may be written", "{}: {error}", at.display()))
}

fn put_json<T: Serialize>(at: &Path, value: &T) -> Result<()> {
    put(at, &serde_json::to_string(value).map_err(|error| miette!("{}: {error}", at.display()))?)
}

fn at_file(at: &Path, fault: &Fault) -> miette::Report {
    miette!("{}: {fault}", at.display())
}

fn run(asked: &Run) -> Result<bool> {
    let scenarios = scenario::read(&text(&asked.file)?).map_err(|fault| at_file(&asked.file, &fault))?;
    if asked.seeds == 0 {
        return Err(miette!("--seeds: one at least is wanted"));
    }
    let label = asked.label.clone().unwrap_or_else(|| "runs".into());
    let set = play::all(&scenarios, asked.first, asked.seeds, &label);
    put_json(&asked.out, &set)?;
    let mut whole = true;
    for (name, runs) in &set.scenarios {
        say!("{name}: {} seeds", runs.len());
        for (figure, ..) in play::FIGURES {
            let values: Vec<f64> = figures::by_seed(&set, name, figure).into_values().collect();
            let mean = figures::Mean::new(&values);
            say!("  {figure:16} {:12.4}  {:.4} to {:.4}", mean.of, mean.from, mean.to);
        }
        let broken = runs.iter().find(|run| run.figures.get("broken").is_some_and(|broken| *broken > 0.0));
        if let Some(run) = broken {
            say!("  a promise did not hold with seed {}", run.seed);
            whole = false;
        }
    }
    Ok(whole)
}

fn compared(asked: &Compare) -> Result<bool> {
    let (one, other): (Set, Set) = (of_file(&asked.one)?, of_file(&asked.other)?);
    let pairs = figures::compare(&one, &other).map_err(|fault| miette!("{fault}"))?;
    say!("{} and {}: the second less the first, seed by seed", one.label, other.label);
    for pair in &pairs {
        let mark = match pair.better {
            Some(true) => "better",
            Some(false) => "worse",
            None => "",
        };
        let figures::Mean { of, from, to, many } = pair.difference;
        say!("  {:20} {:16} {of:12.4}  {from:.4} to {to:.4} ({many})  {mark}", pair.scenario, pair.figure);
    }
    Ok(pairs.iter().all(|pair| pair.better != Some(false)))
}

fn grow(asked: &Growth) -> Result<bool> {
    let help = "like 16,75,300; from 1 to 2000";
    let sizes =
        asked.sizes.split(',').map(|size| size.trim().parse().ok().filter(|n| (1..=2000).contains(n)));
    let sizes: Option<Vec<usize>> = sizes.collect();
    let sizes = sizes.ok_or_else(|| miette!(help = help, "--sizes: {}", asked.sizes))?;
    let mut seen = Vec::new();
    for proxies in sizes {
        let size = growth::look(proxies);
        say!("{proxies} proxies: {:.0} us each and second", size.time);
        seen.push(size);
        put_json(&asked.out, &seen)?;
    }
    for (what, of) in growth::TOLD {
        say!("{what}: exponent {:.2}", growth::exponent(&seen, of));
    }
    Ok(true)
}

/// A role and a number of items, as they are given to a process that measures its own memory.
fn role_of(text: &str) -> Option<(capacity::Role, usize)> {
    let (role, items) = text.split_once(':')?;
    let role = match role {
        "store" => capacity::Role::Store,
        "gateway" => capacity::Role::Gateway,
        _ => return None,
    };
    Some((role, items.parse().ok()?))
}

/// Memory is measured in a process of its own.
fn grown(role: capacity::Role, items: usize) -> Option<f64> {
    let name = if role == capacity::Role::Store { "store" } else { "gateway" };
    let of = format!("{name}:{items}");
    let mut command = std::process::Command::new(std::env::current_exe().ok()?);
    let output = command.args(["capacity", "--memory", &of]).output().ok()?;
    String::from_utf8(output.stdout).ok()?.trim().parse().ok()
}

fn measure(asked: &Capacity) -> Result<bool> {
    if let Some(of) = &asked.memory {
        let help = "like store:2000 or gateway:2000";
        let (role, items) = role_of(of).ok_or_else(|| miette!(help = help, "--memory: {of}"))?;
        say!("{}", capacity::memory(role, items));
        return Ok(true);
    }
    for capacity::Measure { what, of, points, line } in capacity::measures(&capacity::all(grown)) {
        say!("{what}");
        for (size, value) in points {
            say!("  {size:8.0} {of}: {value:16.1}");
        }
        say!(
            "  {:.1} + {:.4} for each, off by {:.0} in 100 at most",
            line.from,
            line.slope,
            line.off * 100.0
        );
    }
    Ok(true)
}

fn write(asked: &Page) -> Result<bool> {
    let one: Set = of_file(&asked.one)?;
    let beside: Option<Set> = asked.beside.as_deref().map(of_file).transpose()?;
    let sizes: Vec<growth::Size> = asked.growth.as_deref().map(of_file).transpose()?.unwrap_or_default();
    let page = page::page(&one, beside.as_ref(), &sizes).map_err(|fault| miette!("{fault}"))?;
    put(&asked.out, &page)?;
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let done = match &arguments.command {
        Some(Command::Run(asked)) => run(asked),
        Some(Command::Compare(asked)) => compared(asked),
        Some(Command::Growth(asked)) => grow(asked),
        Some(Command::Page(asked)) => write(asked),
        Some(Command::Capacity(asked)) => measure(asked),
        None => Err(miette!(
            help = "fennelscale-experiments --help",
            "one of run, compare, growth, page is wanted"
        )),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("fennelscale-experiments: {report:?}");
            ExitCode::from(2)
        }
    }
}
