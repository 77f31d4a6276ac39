//! `fennelscale rehearse`: reads a scenario, runs it, and shows the verdict.

use crate::commands::cli::{RehearseArguments, RehearseCommand};
use fennelscale_log_writer::{print_line, print_message, print_text};
use fennelscale_rehearsal::judge::{Ending, judge};
use fennelscale_rehearsal::log::{self, Event, Header};
use fennelscale_rehearsal::play::{Order, Progress, play};
use fennelscale_rehearsal::report;
use fennelscale_rehearsal::scenario::Scenario;
use fennelscale_rehearsal::shipped::{DEFAULT, SHIPPED, shipped};
use indicatif::{ProgressBar, ProgressStyle};
use std::fmt::Display;
use std::fs::File;
use std::io::{BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Interval of progress lines where stderr is not a terminal, in ms of the run.
const PROGRESS_INTERVAL: f64 = 5000.0;

/// Runs the command.
pub fn run(arguments: &RehearseArguments) -> ExitCode {
    let result = match &arguments.command {
        None => rehearse(arguments),
        Some(RehearseCommand::Fleet(faults)) => super::faults::run(faults),
        Some(RehearseCommand::List) => list(),
        Some(RehearseCommand::Show { name }) => show(name),
        Some(RehearseCommand::Judge { log, report, json }) => {
            judge_again(log, report.as_deref(), json.as_deref())
        }
    };
    match result {
        Ok(ending) => ExitCode::from(ending as u8),
        Err(what) => {
            print_message!("fennelscale rehearse: {what}");
            ExitCode::from(Ending::Unusable as u8)
        }
    }
}

pub(crate) type CommandResult = Result<Ending, String>;

pub(crate) fn with_context<E: Display>(what: impl Display) -> impl FnOnce(E) -> String {
    move |error| format!("{what}: {error}")
}

fn list() -> CommandResult {
    for (name, text) in SHIPPED {
        let scenario = Scenario::parse(name, text).map_err(|e| e.to_string())?;
        let mark = if name == DEFAULT { " (default)" } else { "" };
        print_line!("{name:<16}{:>4.0} s  {}{mark}", scenario.length.0 / 1000.0, scenario.about);
    }
    Ok(Ending::Kept)
}

fn show(name: &str) -> CommandResult {
    let text =
        shipped(name).ok_or_else(|| format!("no shipped scenario is called {name}; see `rehearse list`"))?;
    std::io::stdout().write_all(text.as_bytes()).map_err(with_context("standard output"))?;
    Ok(Ending::Kept)
}

fn rehearse(arguments: &RehearseArguments) -> CommandResult {
    let scenario_name = &arguments.scenario;
    let (file, text) = match shipped(scenario_name) {
        Some(text) => (scenario_name.clone(), text.to_owned()),
        None => {
            let hint = "no shipped scenario has this name, and as a file it cannot be read";
            (
                scenario_name.clone(),
                std::fs::read_to_string(scenario_name)
                    .map_err(with_context(format!("{scenario_name}: {hint}")))?,
            )
        }
    };
    let scenario = Scenario::parse(&file, &text).map_err(|e| e.to_string())?;
    let folder = Folder::make(arguments)?;
    let program = std::env::current_exe().map_err(with_context("this program's own file"))?;
    let (seed, environment) = (arguments.seed, Vec::new());
    let order = Order { scenario, text, seed, program, folder: folder.path.clone(), environment };
    let mut show = progress_display(&order.scenario.name);
    let (header, events) = play(&order, &mut *show)
        .map_err(|e| format!("{e} (what the gateways printed is in {})", folder.keep().display()))?;
    drop(show);
    let ending = report_verdict(
        &order.scenario,
        &header,
        &events,
        arguments.report.as_deref(),
        arguments.json.as_deref(),
    )?;
    if arguments.keep_logs || arguments.report.is_some() {
        print_line!("  logs                     {}", folder.keep().display());
    }
    Ok(ending)
}

fn judge_again(path: &Path, report: Option<&Path>, json: Option<&Path>) -> CommandResult {
    let file = File::open(path).map_err(with_context(path.display()))?;
    let (header, events) = log::read(&mut BufReader::new(file)).map_err(with_context(path.display()))?;
    let scenario = Scenario::parse(&format!("{} (its scenario)", path.display()), &header.scenario)
        .map_err(|e| e.to_string())?;
    if let Some(folder) = report {
        std::fs::create_dir_all(folder).map_err(with_context(folder.display()))?;
    }
    report_verdict(&scenario, &header, &events, report, json)
}

/// Judges a run and writes the result in each requested format.
fn report_verdict(
    scenario: &Scenario, header: &Header, events: &[Event], report: Option<&Path>, json: Option<&Path>,
) -> CommandResult {
    let verdict = judge(scenario, events);
    let found = format!("{:#}\n", report::json(scenario, header, &verdict));
    let to_output = json == Some(Path::new("-"));
    if to_output {
        std::io::stdout().write_all(found.as_bytes()).map_err(with_context("standard output"))?;
    } else {
        print_text!("{}", report::summary(scenario, header.seed, &verdict));
    }
    if let Some(path) = json.filter(|_| !to_output) {
        std::fs::write(path, found).map_err(with_context(path.display()))?;
    }
    if let Some(folder) = report {
        let page = folder.join("report.html");
        std::fs::write(&page, report::page(scenario, header, events, &verdict))
            .map_err(with_context(page.display()))?;
        print_line!("  report                   {}", page.display());
    }
    Ok(verdict.ending())
}

/// The folder of a run: the report's, or a temporary one that is removed unless it is kept.
struct Folder {
    path: PathBuf,
    is_temporary: std::cell::Cell<bool>,
}

impl Folder {
    fn make(arguments: &RehearseArguments) -> Result<Self, String> {
        let is_temporary = arguments.report.is_none();
        let path = match &arguments.report {
            Some(path) => path.clone(),
            None => std::env::temp_dir().join(format!("fennelscale-rehearsal-{}", std::process::id())),
        };
        std::fs::create_dir_all(&path).map_err(with_context(path.display()))?;
        Ok(Self { path, is_temporary: is_temporary.into() })
    }

    fn keep(&self) -> &Path {
        self.is_temporary.set(false);
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if self.is_temporary.get() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Displays progress: a bar on a terminal, lines of text elsewhere.
fn progress_display(name: &str) -> Box<dyn FnMut(Progress)> {
    let state = |p: &Progress| {
        let [served, refused, failed] = p.answers;
        format!("{} requests, {served} served, {refused} refused, {failed} failed", p.requests)
    };
    if std::io::stderr().is_terminal() {
        let bar = ProgressBar::new(1000);
        if let Ok(style) = ProgressStyle::with_template("{prefix} [{bar:30}] {elapsed} {msg}") {
            bar.set_style(style.progress_chars("=> "));
        }
        bar.set_prefix(name.to_owned());
        return Box::new(move |p| {
            bar.set_position((p.at / p.of * 1000.0) as u64);
            bar.set_message(state(&p));
            if p.at >= p.of {
                bar.finish();
            }
        });
    }
    let (name, mut next) = (name.to_owned(), PROGRESS_INTERVAL);
    Box::new(move |p| {
        if p.at >= next {
            next += PROGRESS_INTERVAL;
            print_message!("{name}: {:.0} of {:.0} s, {}", p.at / 1000.0, p.of / 1000.0, state(&p));
        }
    })
}

/// Becomes the gateway: asks the kernel to kill this process when its parent ends, then replaces it by this
/// program without arguments. So a rehearsal that is killed leaves no gateways behind.
pub fn tethered(parent: i32) -> ExitCode {
    use std::os::unix::process::CommandExt;
    let fail = |what: &dyn Display| {
        print_message!("fennelscale tethered: {what}");
        ExitCode::from(2)
    };
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL))
    {
        return fail(&error);
    }
    // The parent may have ended before this took effect; this process then has a different parent.
    if rustix::process::getppid().is_none_or(|now| now.as_raw_nonzero().get() != parent) {
        return fail(&"the parent has ended");
    }
    match std::env::current_exe() {
        Ok(program) => fail(&std::process::Command::new(program).exec()),
        Err(error) => fail(&error),
    }
}
