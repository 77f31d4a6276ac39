//! The `fennelscale` program: the gateway and its command-line tools.

#![forbid(unsafe_code)]
#![warn(clippy::arithmetic_side_effects)]

mod commands;

use clap::Parser;
use commands::cli::{Cli, Command};
use commands::{quota, rehearse, routes};
use fennelscale::back::backends::{Backends, ConnectionLimits};
use fennelscale::back::discovery;
use fennelscale::back::protocol::BackendProtocol;
use fennelscale::counting::counters::{self, Counters};
use fennelscale::engine::{CounterClient, Engine};
use fennelscale::faults;
use fennelscale::fleet::Fleet;
use fennelscale::front::acceptor::Acceptor;
use fennelscale::front::clients::Frontend;
use fennelscale::task::spawn;
use fennelscale_admission::budget::{Budget, DescriptorLimit};
use fennelscale_log_writer::log_line;
use fennelscale_quota::Partition;
use fennelscale_settings::admission::Admission;
use fennelscale_settings::gateway::Config;
use fennelscale_settings::operators::Operators;
use fennelscale_wire::reuse::ReusePolicy;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::cell::OnceCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    // Without arguments this is the gateway, which skips argument parsing.
    if std::env::args_os().len() <= 1 {
        return run_gateway();
    }
    match Cli::parse().command {
        Command::Rehearse(arguments) => rehearse::run(&arguments),
        Command::Routes(arguments) => routes::run(&arguments.command),
        Command::Quota(arguments) => quota::run(&arguments.command),
        Command::Fleet(arguments) => commands::fleet::run(&arguments.command),
        Command::Tethered { parent } => rehearse::tethered(parent),
    }
}

fn run_gateway() -> ExitCode {
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => return unusable(&error),
    };
    let operators = match Operators::from_environment() {
        Ok(operators) => operators,
        Err(error) => return unusable(&error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return unusable(&error),
    };
    fennelscale_log_writer::report_panics();
    let status = LocalSet::new().block_on(&runtime, run(config, operators));
    fennelscale_log_writer::flush();
    status
}

fn unusable(what: &dyn Display) -> ExitCode {
    log_line!("fennelscale: {what}");
    fennelscale_log_writer::flush();
    ExitCode::from(2)
}

async fn run(config: Config, operators: Operators) -> ExitCode {
    let signals = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
    let (mut terminate, mut interrupt, hangup) = match signals {
        [Ok(terminate), Ok(interrupt), Ok(hangup)] => (terminate, interrupt, hangup),
        [Err(error), ..] | [_, Err(error), _] | [.., Err(error)] => return unusable(&error),
    };
    let listener = match TcpListener::bind(config.listen).await {
        Ok(listener) => listener,
        Err(error) => return unusable(&format!("cannot listen at {}: {error}", config.listen)),
    };
    let limit = DescriptorLimit::new(config.sockets, descriptors_allowed(config.sockets));
    if limit.is_insufficient() {
        log_line!("{limit}");
    }
    let admission = operators.admission.unwrap_or_else(Admission::neutral);
    let quota = operators.quota.unwrap_or_default();
    // An operators' rule overrides the configuration's counter.
    let partition = config.counter.map(|counter| {
        quota.partition.map_or_else(|| Partition::new(&[counter.to_string()]), |rule| rule.partition())
    });
    let partition = match partition.transpose() {
        Ok(partition) => partition,
        Err(error) => return unusable(&error),
    };
    let extra_descriptors = partition.as_ref().map_or(0, counters::extra_descriptors);
    let budget =
        Budget::divide(limit.usable, admission.hold.most, admission.refusals.lingering, extra_descriptors);
    let mut settings = faults::alter_settings(config.settings);
    settings.loss = quota.losses;
    let reuse = ReusePolicy::new(&operators.upstream.unwrap_or_default());
    let reports = settings.load_reports;
    let (protocol, limits) =
        (Rc::new(BackendProtocol { reports }), ConnectionLimits::for_small_answers(budget.backends));
    let backends =
        Backends::new(config.connect_timeout, config.backend_idle, reports, reuse, protocol, limits);
    let counters: Rc<OnceCell<Rc<Counters>>> = Rc::default();
    let counting = partition.map(|partition| {
        let counters = counters.clone();
        move |call_timeout, report| -> Rc<dyn CounterClient> {
            counters.get_or_init(|| Rc::new(Counters::start(partition, call_timeout, report))).clone()
        }
    });
    let engine = match Engine::start(settings.clone(), config.seed, backends.clone(), counting) {
        Ok(engine) => engine,
        Err(error) => return unusable(&error),
    };
    let counters = counters.get().cloned();
    let acceptor = Acceptor::new(admission, budget);
    backends.on_descriptor_shortage({
        let acceptor = acceptor.clone();
        Rc::new(move || acceptor.on_descriptor_shortage())
    });
    let frontend = Frontend::new(engine.clone(), &settings, acceptor);
    let seq = config.known.seq;
    discovery::apply(config.known, &backends, &engine);
    spawn(backends.clone().close_stale_connections());
    let fleet = match operators.fleet {
        // Each process has its own seed, which determines the number of a new member and the order of its
        // probes.
        Some(rules) => match Fleet::start(rules, &config.name, config.seed).await {
            Ok(fleet) => Some(fleet),
            Err(error) => return unusable(&format!("fleet: {error}")),
        },
        None => None,
    };
    let (discovery_address, discovery) = watch::channel(config.discovery);
    spawn(discovery::watch(discovery, seq, backends, engine.clone()));
    spawn(reload(hangup, discovery_address, engine, counters));
    if let Ok(address) = listener.local_addr() {
        log_line!("fennelscale {}: listening at {address}", config.name);
    }
    let end = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    frontend.serve(listener, end).await;
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    ExitCode::SUCCESS
}

/// The number of file descriptors that this process may have; None means no limit. The soft limit is raised
/// to the number wanted as far as the hard limit allows.
fn descriptors_allowed(wanted: usize) -> Option<u64> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let target = maximum.map_or(wanted as u64, |maximum| maximum.min(wanted as u64));
    if current.is_some_and(|current| current < target) {
        // If this fails, the old limit stays in force.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(target), maximum });
    }
    getrlimit(Resource::Nofile).current
}

/// Reads the operators' file again and applies its counters; the rest takes effect at the next start.
fn repartition(engine: &Engine, counters: &Counters) {
    let rule = match Operators::from_environment() {
        Ok(operators) => operators.quota.and_then(|quota| quota.partition),
        Err(error) => {
            log_line!("settings not read again, the old ones stay: {error}");
            return;
        }
    };
    match rule.map(|rule| counters.change(&rule, engine.now())) {
        Some(Ok(true)) => {
            engine.update_counter_partition();
            log_line!("counters change at the time that the settings name");
        }
        Some(Err(what)) => log_line!("counters not changed: {what}"),
        None | Some(Ok(false)) => {}
    }
}

/// Reads the configuration again at each SIGHUP and applies its addresses; the rest takes effect at the next
/// start. An unusable configuration changes nothing.
async fn reload(
    mut hangup: Signal, discovery: watch::Sender<SocketAddr>, engine: Rc<Engine>,
    counters: Option<Rc<Counters>>,
) {
    while hangup.recv().await.is_some() {
        match Config::again() {
            Ok(config) => {
                discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
                if let Some(counters) = &counters {
                    if let Some(counter) = config.counter {
                        counters.move_to(counter);
                    }
                    repartition(&engine, counters);
                }
                log_line!("configuration read again: discovery at {}", config.discovery);
            }
            Err(error) => log_line!("configuration not read again, the old one stays: {error}"),
        }
    }
}
