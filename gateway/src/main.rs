//! `fennelscale`: one real gateway, and the rehearsal of many.

#![forbid(unsafe_code)]

mod cli;
mod rehearse;
mod routes;

use clap::Parser;
use cli::{Cli, Command};
use fennelscale::backends::Backends;
use fennelscale::clients::Front;
use fennelscale::discovery;
use fennelscale::engine::Engine;
use fennelscale::faults;
use fennelscale::task::spawn;
use fennelscale_settings::gateway::Config;
use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Descriptors for all but clients and backends: standard streams, the event loop, listener, counter, discovery.
const OTHER_SOCKETS: usize = 32;
/// Of the rest, the share for clients; backends get what is left.
const CLIENT_SHARE: f64 = 0.55;

fn main() -> ExitCode {
    // With no argument this is the gateway, at no cost of reading any.
    if std::env::args_os().len() <= 1 {
        return gateway();
    }
    match Cli::parse().command {
        Command::Rehearse(arguments) => rehearse::run(&arguments),
        Command::Routes(arguments) => routes::run(&arguments.deed),
        Command::Tethered { parent } => rehearse::tethered(parent),
    }
}

fn gateway() -> ExitCode {
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => return unusable(&error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return unusable(&error),
    };
    LocalSet::new().block_on(&runtime, run(config))
}

fn unusable(what: &dyn Display) -> ExitCode {
    eprintln!("fennelscale: {what}");
    ExitCode::from(2)
}

async fn run(config: Config) -> ExitCode {
    let signals = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
    let (mut terminate, mut interrupt, hangup) = match signals {
        [Ok(terminate), Ok(interrupt), Ok(hangup)] => (terminate, interrupt, hangup),
        [Err(error), ..] | [_, Err(error), _] | [.., Err(error)] => return unusable(&error),
    };
    let listener = match TcpListener::bind(config.listen).await {
        Ok(listener) => listener,
        Err(error) => return unusable(&format!("cannot listen at {}: {error}", config.listen)),
    };
    let sockets = config.sockets.saturating_sub(OTHER_SOCKETS).max(2);
    let most_clients = ((sockets as f64 * CLIENT_SHARE) as usize).max(1);
    let settings = faults::settings(config.settings);
    let backends = Backends::new(
        config.connect_timeout,
        config.backend_idle,
        settings.reports,
        sockets.saturating_sub(most_clients).max(1),
    );
    let engine = match Engine::start(settings.clone(), config.seed, backends.clone(), config.counter) {
        Ok(engine) => engine,
        Err(error) => return unusable(&error),
    };
    let front = Front::new(engine.clone(), &settings, most_clients);
    let seq = config.known.seq;
    discovery::tell(config.known, &backends, &engine);
    spawn(backends.clone().keep_tidy());
    let (moved, discovery) = watch::channel(config.discovery);
    spawn(discovery::watch(discovery, seq, backends, engine.clone()));
    spawn(reload(hangup, moved, engine));
    if let Ok(address) = listener.local_addr() {
        eprintln!("fennelscale {}: listening at {address}", config.name);
    }
    let end = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    front.serve(listener, end).await;
    ExitCode::SUCCESS
}

/// Reads the configuration again at each SIGHUP and moves to the addresses in it; the rest of it is for the next
/// start. One that cannot be used changes nothing.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, engine: Rc<Engine>) {
    while hangup.recv().await.is_some() {
        match Config::again() {
            Ok(config) => {
                discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
                if let Some(counter) = config.counter {
                    engine.move_counter(counter);
                }
                eprintln!("configuration read again: discovery at {}", config.discovery);
            }
            Err(error) => eprintln!("configuration not read again, the old one stays: {error}"),
        }
    }
}
