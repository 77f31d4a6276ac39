//! `fennelscale fleet`: shows and changes what the gateways agree on, through the gateway on this machine.

use crate::commands::cli::{ControlTarget, FleetCommand};
use crate::commands::rehearse::with_context;
use crate::unusable;
use fennelscale::fleet::control::Deed;
use fennelscale::fleet::init;
use fennelscale_log_writer::{print_line, print_message, print_text};
use fennelscale_settings::fleet::Fleet as Rules;
use fennelscale_settings::operators::Operators;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Time limit for a gateway's answer; a proposal takes at most 5 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Exit status of a proposal that is not settled yet but may still be.
const UNDER_WAY: u8 = 3;

/// Runs a subcommand of `fleet`.
pub fn run(command: &FleetCommand) -> ExitCode {
    match execute(command) {
        Ok(code) => code,
        Err(what) => unusable(&what),
    }
}

fn rules(target: &ControlTarget) -> Result<Rules, String> {
    let operators = match &target.settings {
        Some(file) => Operators::load(file.as_os_str()),
        None => Operators::from_environment(),
    };
    let rules = operators.map_err(|error| error.to_string())?.fleet;
    rules.ok_or_else(|| "the settings file has no table [fleet]: name one with --settings FILE".to_owned())
}

fn control(target: &ControlTarget) -> Result<SocketAddr, String> {
    match target.control {
        Some(address) => Ok(address),
        None => {
            rules(target)?.control.ok_or_else(|| "fleet.control names no address: nobody can ask".to_owned())
        }
    }
}

fn send_request(target: &ControlTarget, request: &Deed) -> Result<Value, String> {
    let address = control(target)?;
    let mut stream = TcpStream::connect(address).map_err(with_context(address))?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(with_context(address))?;
    let mut line = serde_json::to_string(request).map_err(with_context(address))?;
    line.push('\n');
    stream.write_all(line.as_bytes()).map_err(with_context(address))?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(with_context(address))?;
    serde_json::from_str(&answer).map_err(with_context(address))
}

fn execute(command: &FleetCommand) -> Result<ExitCode, String> {
    match command {
        FleetCommand::Init { name, target } => {
            init(&rules(target)?, name).map_err(|error| error.to_string())?;
            print_line!("{name}: ready to keep the log");
            Ok(ExitCode::SUCCESS)
        }
        FleetCommand::Status { json, target } => {
            let answer = send_request(target, &Deed::Status)?;
            if *json {
                print_line!("{answer}");
                return Ok(ExitCode::SUCCESS);
            }
            answer.get("status").map_or_else(
                || Ok(print_refusal(&answer)),
                |status| {
                    print_status(status);
                    Ok(ExitCode::SUCCESS)
                },
            )
        }
        FleetCommand::Topic { topic, target } => {
            let answer = send_request(target, &Deed::Topic { topic: topic.clone() })?;
            let Some(found) = answer.get("topic") else { return Ok(print_refusal(&answer)) };
            match found.get("content").and_then(Value::as_str) {
                Some(content) => {
                    print_message!("{topic}: version {}", found["version"]);
                    print_text!("{content}");
                    Ok(ExitCode::SUCCESS)
                }
                None => {
                    print_message!("{topic}: nothing is agreed");
                    Ok(ExitCode::from(1))
                }
            }
        }
        FleetCommand::Publish { topic, follows, file, target } => {
            let mut content = String::new();
            match file {
                Some(file) => {
                    content = std::fs::read_to_string(file).map_err(with_context(file.display()))?
                }
                None => drop(
                    std::io::stdin().read_to_string(&mut content).map_err(with_context("standard input"))?,
                ),
            }
            let answer =
                send_request(target, &Deed::Publish { topic: topic.clone(), follows: *follows, content })?;
            Ok(print_settled(topic, &answer))
        }
        FleetCommand::ReplaceKeeper { old, new, target } => {
            let answer = send_request(target, &Deed::ReplaceKeeper { old: old.clone(), new: new.clone() })?;
            if answer == "done" {
                print_line!("{new} takes the place of {old}: `fleet status` shows when it is done");
                return Ok(ExitCode::SUCCESS);
            }
            Ok(print_refusal(&answer))
        }
    }
}

fn print_refusal(answer: &Value) -> ExitCode {
    let what =
        answer.get("refused").and_then(Value::as_str).map_or_else(|| answer.to_string(), str::to_owned);
    print_message!("fennelscale: {what}");
    ExitCode::from(1)
}

fn print_settled(topic: &str, answer: &Value) -> ExitCode {
    if answer == "under-way" {
        print_message!(
            "{topic}: not settled within 5 s; it may still be: ask again with `fleet topic {topic}`"
        );
        return ExitCode::from(UNDER_WAY);
    }
    match answer.get("settled") {
        Some(Value::Object(how)) if how.contains_key("Done") => {
            print_line!("{topic}: version {}", how["Done"]);
            ExitCode::SUCCESS
        }
        Some(Value::Object(how)) if how.contains_key("Version") => {
            print_message!(
                "{topic}: the version agreed on is {}: look at it, then say --follows {0}",
                how["Version"]
            );
            ExitCode::from(1)
        }
        Some(Value::Null) => {
            print_message!("{topic}: settled while this gateway was behind: look with `fleet topic {topic}`");
            ExitCode::from(UNDER_WAY)
        }
        Some(how) => {
            print_message!("{topic}: {how}");
            ExitCode::from(1)
        }
        None => print_refusal(answer),
    }
}

fn print_status(status: &Value) {
    let text = |key: &str| status[key].as_str().unwrap_or("-").to_owned();
    print_line!("{} ({}), incarnation {}", text("name"), text("part"), status["incarnation"]);
    if let Some(by) = status["usurped_by"].as_str() {
        print_line!("USURPED: {by} has this name; this gateway takes part in nothing");
    }
    let empty = serde_json::Map::new();
    let map = |key: &str| status[key].as_object().unwrap_or(&empty);
    print_line!("log       entry {}, hash {}, leader {}", status["index"], text("hash"), text("leader"));
    if let Some(before) = status["heard_before"].as_f64() {
        print_line!("          a keeper was heard {:.1} s ago", before / 1e6);
    }
    print_line!("keepers   {}", status["keepers"]);
    print_line!("members   {}", map("members").len());
    for (name, address) in map("members") {
        print_line!("          {name} at {}", address.as_str().unwrap_or("-"));
    }
    for (name, lag) in map("followers").iter().filter(|(_, lag)| **lag != 0) {
        print_line!("behind    {name} by {lag} entries");
    }
    for (right, held) in map("leases") {
        print_line!("lease     {right}: {}, number {}", held[0].as_str().unwrap_or("-"), held[1]);
    }
    for (topic, version) in map("topics") {
        print_line!("topic     {topic}: version {version}");
    }
    for stranger in status["strangers"].as_array().into_iter().flatten() {
        print_line!(
            "stranger  {} could be taken in by `fleet replace-keeper OLD {0}`",
            stranger.as_str().unwrap_or("-")
        );
    }
    print_line!("dropped   {} (datagrams, frames, messages that could not be used)", status["dropped"]);
}
