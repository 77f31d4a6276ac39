//! `telegraph`: the operators' tool (the field's term: a control client). Asks registries how they are and what happened, checks,
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
mod gateway;

use gateway::{Asked, Gateways};
use gumdrop::Options;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

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
    Events(Events),
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
struct Events {
    #[options(help = "show this and end")]
    help: bool,
    #[options(help = "go on as events come")]
    follow: bool,
    #[options(help = "only this kind", meta = "KIND")]
    kind: Option<String>,
    #[options(help = "only what begins so", meta = "TEXT")]
    what: Option<String>,
    #[options(help = "from this cursor on", meta = "CURSOR")]
    after: Option<String>,
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

/// While nothing comes events are asked for this often.
const FOLLOW: Duration = Duration::from_millis(500);

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
        eprintln!("telegraph: name a registry with --at ADDRESS, like --at 10.1.0.35:8688");
        return ExitCode::from(2);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("telegraph: {error}");
            return ExitCode::from(2);
        }
    };
    let gateways = Gateways::new(arguments.at, arguments.json);
    tokio::task::LocalSet::new().block_on(&runtime, run(&gateways, command))
}

async fn run(gateways: &Gateways, command: Command) -> ExitCode {
    match command {
        Command::Status(_) => status(gateways).await,
        Command::Events(events) => follow(gateways, events).await,
        Command::Show(_) => print(gateways.clear("GET", "/fennelscale/config", "").await),
        Command::Check(file) => config::check(&file.file),
        Command::Diff(file) => config::diff(gateways, &file.file).await,
        Command::Apply(file) => match config::read(&file.file) {
            Ok(body) => print(gateways.clear("PATCH", "/fennelscale/config", &body).await),
            Err(status) => status,
        },
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
            eprintln!("telegraph: {status} {}: {}; {}", text("error"), text("message"), text("help"));
            ExitCode::FAILURE
        }
        Asked::Unclear => {
            eprintln!("telegraph: no gateway gave a clear answer: it may have happened or not; ask again");
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

async fn follow(gateways: &Gateways, events: Events) -> ExitCode {
    let mut after = events.after.unwrap_or_default();
    let plain = |text: &str| text.replace(['&', '%', '+', ' ', '#'], "");
    loop {
        let mut path = format!("/fennelscale/events?after={}", plain(&after));
        if let Some(kind) = &events.kind {
            path.push_str(&format!("&kind={}", plain(kind)));
        }
        if let Some(what) = &events.what {
            path.push_str(&format!("&what={}", plain(what)));
        }
        let body = match gateways.clear("GET", &path, "").await {
            Asked::Answered(200, body) => body,
            // Who follows waits for a gateway to come back.
            Asked::Unclear if events.follow => continue,
            other => return print(other),
        };
        let told: Value = sonic_rs::from_str(&body).unwrap_or_default();
        if told.get("missed").and_then(|m| m.as_bool()) == Some(true) && !after.is_empty() {
            eprintln!("telegraph: events may be missing here: another gateway, or too long ago");
        }
        let list = told.get("events").and_then(|e| e.as_array()).map(|e| e.to_vec()).unwrap_or_default();
        for event in &list {
            if gateways.json {
                say!("{}", sonic_rs::to_string(event).unwrap_or_default());
            } else {
                let text =
                    |name: &str| event.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned();
                say!("{:>10} {:17} {} ({})", text("at"), text("kind"), text("what"), text("cause"));
            }
        }
        after = told.get("cursor").and_then(|c| c.as_str()).unwrap_or_default().to_owned();
        if !list.is_empty() {
            continue;
        }
        if !events.follow {
            return ExitCode::SUCCESS;
        }
        tokio::time::sleep(FOLLOW).await;
    }
}
