//! `fennelctl`: the operators' tool (the field's term: a control client). Asks registries how they are and what happened, checks,
//! compares, sends and shows configurations, empties zones and takes them back.
//!
//! Status: 0 done; 1 it was answered, and not with success (or a difference was found); 2 it could not be asked or the
//! arguments cannot be; 3 no gateway gave a clear answer.

/// Prints a line. Whoever reads may stop before the end (`| head`): that is no fault.
macro_rules! say {
    ($($line:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($line)*);
    }};
}

mod config;
mod events;
mod failure;
mod gateway;
mod maintenance;
mod order;

use gateway::{Asked, Gateways};
use gumdrop::Options;
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
    Status(Plain),
    #[options(help = "what happened, oldest first")]
    Events(events::Events),
    #[options(help = "what is known of an item, a backend, a proxy, a zone or a tenant, and why")]
    Explain(events::Explain),
    #[options(help = "all items that stand")]
    Show(Plain),
    #[options(help = "whether a call's file can be, without sending it")]
    Check(File),
    #[options(help = "what a call's file would change")]
    Diff(File),
    #[options(help = "send a call's file until it has a clear answer")]
    Apply(File),
    #[options(help = "empty a zone, or take it back")]
    Evacuate(Evacuate),
    #[options(help = "maintenance orders: list, explain, rehearse, approve, start, pause, end, withdraw")]
    Maintenance(maintenance::Maintenance),
    #[options(help = "failure orders: dry, start, stop, report, fingerprint")]
    Failure(failure::Failure),
}

#[derive(Debug, Options)]
struct Plain {
    #[options(help = "show this and end")]
    help: bool,
}

#[derive(Debug, Options)]
struct File {
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
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        say!("{}\n\n{}", Arguments::usage(), Arguments::command_list().unwrap_or_default());
        return ExitCode::from(2);
    };
    // What needs no gateway.
    if let Command::Check(file) = &command {
        return config::check(&file.file);
    }
    if arguments.at.is_empty() {
        eprintln!("fennelctl: name a registry with --at ADDRESS, like --at 10.1.0.35:8688");
        return ExitCode::from(2);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("fennelctl: {error}");
            return ExitCode::from(2);
        }
    };
    let gateways = Gateways::new(arguments.at, arguments.json);
    tokio::task::LocalSet::new().block_on(&runtime, run(&gateways, command))
}

async fn run(gateways: &Gateways, command: Command) -> ExitCode {
    match command {
        Command::Status(_) => status(gateways).await,
        Command::Events(events) => events::follow(gateways, events).await,
        Command::Explain(explain) => events::explain(gateways, explain).await,
        Command::Show(_) => print(gateways.clear("GET", "/fennelscale/config", "").await),
        Command::Check(file) => config::check(&file.file),
        Command::Diff(file) => config::diff(gateways, &file.file).await,
        Command::Apply(file) => match config::read(&file.file) {
            Ok(body) => print(gateways.clear("PATCH", "/fennelscale/config", &body).await),
            Err(status) => status,
        },
        Command::Failure(failure) => failure::run(gateways, failure).await,
        Command::Maintenance(maintenance) => maintenance::run(gateways, maintenance).await,
        Command::Evacuate(Evacuate { back, zone, .. }) => {
            let method = if back { "DELETE" } else { "POST" };
            print(gateways.clear(method, &format!("/fennelscale/evacuations/{zone}"), "").await)
        }
    }
}

/// Prints an answer; its status tells how it went.
fn print(asked: Asked) -> ExitCode {
    match asked {
        Asked::Answered(200, body) => {
            say!("{body}");
            ExitCode::SUCCESS
        }
        Asked::Answered(status, body) => {
            let value: Value = sonic_rs::from_str(&body).unwrap_or_default();
            let text = |name: &str| value.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned();
            eprintln!("fennelctl: {status} {}: {}; {}", text("error"), text("message"), text("help"));
            ExitCode::FAILURE
        }
        Asked::Unclear => {
            eprintln!("fennelctl: no gateway gave a clear answer: it may have happened or not; ask again");
            ExitCode::from(3)
        }
    }
}

async fn status(gateways: &Gateways) -> ExitCode {
    let mut heard = 0;
    for (at, answer) in gateways.each("/fennelscale/status").await {
        let Some(body) = answer else {
            eprintln!("{at}: no answer");
            continue;
        };
        heard += 1;
        if gateways.json {
            say!("{body}");
            continue;
        }
        let value: Value = sonic_rs::from_str(&body).unwrap_or_default();
        say!("{at}");
        for (name, value) in value.as_object().into_iter().flat_map(|object| object.iter()) {
            say!("  {:20} {}", name, value.as_str().unwrap_or_default());
        }
    }
    if heard > 0 { ExitCode::SUCCESS } else { ExitCode::from(3) }
}
