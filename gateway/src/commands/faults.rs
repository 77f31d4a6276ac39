//! `fennelscale rehearse fleet`: generates or reads a script, runs it, and shows the verdict.

use crate::commands::cli::FleetFaultArguments;
use crate::commands::rehearse::{CommandResult, with_context};
use fennelscale_fault::judge::judge;
use fennelscale_fault::record::Line;
use fennelscale_fault::rig::play;
use fennelscale_fault::script::Script;
use fennelscale_log_writer::print_line;
use fennelscale_rehearsal::judge::Ending;
use std::path::Path;
use tokio::task::LocalSet;

fn script(arguments: &FleetFaultArguments) -> Result<Script, String> {
    let script = match &arguments.script {
        None => {
            let FleetFaultArguments { processes, keepers, seconds, seed, .. } = *arguments;
            Script::draw(seed, processes, keepers, seconds.saturating_mul(1000))
        }
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(with_context(file.display()))?;
            serde_json::from_str(&text).map_err(with_context(file.display()))?
        }
    };
    script.check().map(|()| script)
}

fn write(folder: &Path, script: &Script, record: &[Line]) -> Result<(), String> {
    let text = serde_json::to_string_pretty(script).map_err(with_context("script"))?;
    std::fs::write(folder.join("script.json"), text).map_err(with_context(folder.display()))?;
    let lines: String = record.iter().map(|line| line.write() + "\n").collect();
    std::fs::write(folder.join("record.jsonl"), lines).map_err(with_context(folder.display()))
}

/// Runs the command.
pub fn run(arguments: &FleetFaultArguments) -> CommandResult {
    let script = script(arguments)?;
    let has_report = arguments.report.is_some();
    let scratch = tempfile::tempdir().map_err(with_context("a folder for the processes"))?;
    let folder = arguments.report.as_deref().unwrap_or_else(|| scratch.path());
    std::fs::create_dir_all(folder).map_err(with_context(folder.display()))?;
    let folder = folder.canonicalize().map_err(with_context(folder.display()))?;
    let program = std::env::current_exe().map_err(with_context("this program"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(with_context("runtime"))?;
    let played = LocalSet::new().block_on(&runtime, play(&program, &folder, script.clone(), arguments.seed));
    let record = played.map_err(|error| error.to_string())?;
    if has_report {
        write(&folder, &script, &record)?;
    }
    let verdict = judge(&record)?;
    print_line!(
        "{} processes, {} of them keepers, {} faults in {} s: {} effects ({} under an old number, begun before a stop), {} hand-overs, longest time without an effect {:.1} s,\n\
         {} of {} wishes agreed; all showed the same {:.1} s after the faults",
        script.processes,
        script.keepers,
        script.steps.len(),
        script.length / 1000,
        verdict.effects,
        verdict.fenced,
        verdict.hand_overs,
        verdict.longest_idle / 1000.0,
        verdict.agreed.0,
        verdict.agreed.1,
        verdict.recovery.unwrap_or(f64::NAN) / 1000.0,
    );
    if verdict.broken.is_empty() {
        print_line!("every property held");
        return Ok(Ending::Kept);
    }
    for what in &verdict.broken {
        print_line!("BROKEN: {what}");
    }
    if !has_report {
        let text = serde_json::to_string(&script).map_err(with_context("script"))?;
        print_line!("the script, to be played again with --script FILE:\n{text}");
    }
    Ok(Ending::Broken)
}
