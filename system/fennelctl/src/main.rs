//! `fennelctl`: the operators' command-line client. Shows the registries' status and events; validates,
//! compares, applies and shows configurations; evacuates zones and restores them.
//!
//! Exit status: 0 success; 1 an error response, or a difference was found; 2 the call could not be made or
//! the arguments are invalid; 3 no registry gave a conclusive response.

mod config;
mod events;
mod failure;
mod maintenance;
mod order;
mod registry_client;

use fennelscale_log_writer::{print_line, print_message};
use gumdrop::Options;
use registry_client::{CallResult, RegistryClient};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this and end")]
    help: bool,
    #[options(
        help = "control address of a registry; may be given several times, tried in turn",
        meta = "ADDRESS"
    )]
    at: Vec<SocketAddr>,
    #[options(no_short, help = "print answers as they came, as JSON")]
    json: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "how each registry is")]
    Status(NoArguments),
    #[options(help = "what happened, oldest first")]
    Events(events::Events),
    #[options(help = "what is known of an item, a backend, a proxy, a zone or a tenant, and why")]
    Explain(events::Explain),
    #[options(help = "all items that stand")]
    Show(NoArguments),
    #[options(help = "whether a call's file can be, without sending it")]
    Check(FileArgument),
    #[options(help = "what a call's file would change")]
    Diff(FileArgument),
    #[options(help = "send a call's file until it has a clear answer")]
    Apply(FileArgument),
    #[options(help = "empty a zone, or take it back")]
    Evacuate(Evacuate),
    #[options(help = "maintenance orders: list, explain, rehearse, approve, start, pause, end, withdraw")]
    Maintenance(maintenance::Maintenance),
    #[options(help = "failure orders: dry, start, stop, report, fingerprint")]
    Failure(failure::Failure),
}

#[derive(Debug, Options)]
struct NoArguments {
    #[options(help = "show this and end")]
    help: bool,
}

#[derive(Debug, Options)]
struct FileArgument {
    #[options(help = "show this and end")]
    help: bool,
    #[options(free, required, help = "the body of a PATCH, as a file")]
    file: String,
}

#[derive(Debug, Options)]
struct Evacuate {
    #[options(help = "show this and end")]
    help: bool,
    #[options(help = "take it back")]
    back: bool,
    #[options(free, required, help = "the zone")]
    zone: String,
}

fn main() -> ExitCode {
    let arguments = match fennelscale_host::arguments::parse::<Arguments>() {
        Ok(arguments) => arguments,
        Err(status) => return status,
    };
    let Some(command) = arguments.command else {
        print_line!("{}\n\n{}", Arguments::usage(), Arguments::command_list().unwrap_or_default());
        return ExitCode::from(2);
    };
    // This command needs no registry.
    if let Command::Check(file) = &command {
        return config::check(&file.file);
    }
    if arguments.at.is_empty() {
        print_message!("fennelctl: name a registry with --at ADDRESS, like --at 10.1.0.35:8688");
        return ExitCode::from(2);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            print_message!("fennelctl: {error}");
            return ExitCode::from(2);
        }
    };
    let registries = RegistryClient::new(arguments.at, arguments.json);
    tokio::task::LocalSet::new().block_on(&runtime, run(&registries, command))
}

async fn run(registries: &RegistryClient, command: Command) -> ExitCode {
    match command {
        Command::Status(_) => status(registries).await,
        Command::Events(events) => events::follow(registries, events).await,
        Command::Explain(explain) => events::explain(registries, explain).await,
        Command::Show(_) => print_result(registries.call("GET", "/fennelscale/config", "").await),
        Command::Check(file) => config::check(&file.file),
        Command::Diff(file) => config::diff(registries, &file.file).await,
        Command::Apply(file) => match config::read(&file.file) {
            Ok(body) => print_result(registries.call("PATCH", "/fennelscale/config", &body).await),
            Err(status) => status,
        },
        Command::Failure(failure) => failure::run(registries, failure).await,
        Command::Maintenance(maintenance) => maintenance::run(registries, maintenance).await,
        Command::Evacuate(Evacuate { back, zone, .. }) => {
            let method = if back { "DELETE" } else { "POST" };
            print_result(registries.call(method, &format!("/fennelscale/evacuations/{zone}"), "").await)
        }
    }
}

/// Prints a response and returns the exit status for it.
fn print_result(result: CallResult) -> ExitCode {
    match result {
        CallResult::Response(200, body) => {
            print_line!("{body}");
            ExitCode::SUCCESS
        }
        CallResult::Response(status, body) => {
            let value: Value = sonic_rs::from_str(&body).unwrap_or_default();
            let text = |name: &str| value.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned();
            print_message!("fennelctl: {status} {}: {}; {}", text("error"), text("message"), text("help"));
            ExitCode::FAILURE
        }
        CallResult::OutcomeUnknown => {
            print_message!(
                "fennelctl: no gateway gave a clear answer: it may have happened or not; ask again"
            );
            ExitCode::from(3)
        }
    }
}

async fn status(registries: &RegistryClient) -> ExitCode {
    let mut responses = 0;
    for (at, answer) in registries.call_each("/fennelscale/status").await {
        let Some(body) = answer else {
            print_message!("{at}: no answer");
            continue;
        };
        responses += 1;
        if registries.json {
            print_line!("{body}");
            continue;
        }
        let value: Value = sonic_rs::from_str(&body).unwrap_or_default();
        print_line!("{at}");
        for (name, value) in value.as_object().into_iter().flat_map(|object| object.iter()) {
            print_line!("  {:20} {}", name, value.as_str().unwrap_or_default());
        }
    }
    if responses > 0 { ExitCode::SUCCESS } else { ExitCode::from(3) }
}
