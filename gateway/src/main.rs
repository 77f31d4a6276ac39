//! `fennelscale`: one real gateway, and the rehearsal of many.

#![forbid(unsafe_code)]

mod commands;

use clap::Parser;
use commands::cli::{Cli, Command};
use commands::{quota, rehearse, routes};
use fennelscale::back::backends::{Backends, Bounds};
use fennelscale::back::discovery;
use fennelscale::back::speech::Metered;
use fennelscale::counting::counters::{self, Counters};
use fennelscale::engine::{Counting, Engine};
use fennelscale::faults;
use fennelscale::fleet::Fleet;
use fennelscale::front::clients::Front;
use fennelscale::front::door::Door;
use fennelscale::task::spawn;
use fennelscale_admission::budget::{Budget, DescriptorLimit};
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
    // With no argument this is the gateway, at no cost of reading any.
    if std::env::args_os().len() <= 1 {
        return gateway();
    }
    match Cli::parse().command {
        Command::Rehearse(arguments) => rehearse::run(&arguments),
        Command::Routes(arguments) => routes::run(&arguments.deed),
        Command::Quota(arguments) => quota::run(&arguments.deed),
        Command::Fleet(arguments) => commands::fleet::run(&arguments.deed),
        Command::Tethered { parent } => rehearse::tethered(parent),
    }
}

fn gateway() -> ExitCode {
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
    LocalSet::new().block_on(&runtime, run(config, operators))
}

fn unusable(what: &dyn Display) -> ExitCode {
    eprintln!("fennelscale: {what}");
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
        eprintln!("{limit}");
    }
    let admission = operators.admission.unwrap_or_else(Admission::neutral);
    let quota = operators.quota.unwrap_or_default();
    // The rule takes the place of the configuration's counter, where there is one.
    let partition = config.counter.map(|counter| {
        quota.partition.map_or_else(|| Partition::new(&[counter.to_string()]), |rule| rule.partition())
    });
    let partition = match partition.transpose() {
        Ok(partition) => partition,
        Err(error) => return unusable(&error),
    };
    let more = partition.as_ref().map_or(0, counters::descriptors_more);
    let budget = Budget::divide(limit.usable, admission.hold.most, admission.refusals.lingering, more);
    let mut settings = faults::settings(config.settings);
    settings.loss = quota.losses;
    let reuse = ReusePolicy::new(&operators.upstream.unwrap_or_default());
    let reports = settings.load_reports;
    let (speech, bounds) = (Rc::new(Metered { reports }), Bounds::small(budget.backends));
    let backends = Backends::new(config.connect_timeout, config.backend_idle, reports, reuse, speech, bounds);
    let counters: Rc<OnceCell<Rc<Counters>>> = Rc::default();
    let counting = partition.map(|partition| {
        let counters = counters.clone();
        move |patience, report| -> Rc<dyn Counting> {
            counters.get_or_init(|| Rc::new(Counters::start(partition, patience, report))).clone()
        }
    });
    let engine = match Engine::start(settings.clone(), config.seed, backends.clone(), counting) {
        Ok(engine) => engine,
        Err(error) => return unusable(&error),
    };
    let counters = counters.get().cloned();
    let door = Door::new(admission, budget);
    backends.on_shortage({
        let door = door.clone();
        Rc::new(move || door.short_of_descriptors())
    });
    let front = Front::new(engine.clone(), &settings, door);
    let seq = config.known.seq;
    discovery::tell(config.known, &backends, &engine);
    spawn(backends.clone().keep_tidy());
    let fleet = match operators.fleet {
        // The seed of a process is its own: with it go a stranger's number and the order of its probes.
        Some(rules) => match Fleet::start(rules, &config.name, config.seed).await {
            Ok(fleet) => Some(fleet),
            Err(error) => return unusable(&format!("fleet: {error}")),
        },
        None => None,
    };
    let (moved, discovery) = watch::channel(config.discovery);
    spawn(discovery::watch(discovery, seq, backends, engine.clone()));
    spawn(reload(hangup, moved, engine, counters));
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
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    ExitCode::SUCCESS
}

/// How many descriptors the machine lets this process have, at most what it wants: the soft limit is raised as far as that takes
/// and the hard one allows. None is no limit.
fn descriptors_allowed(wanted: usize) -> Option<u64> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let reach = maximum.map_or(wanted as u64, |most| most.min(wanted as u64));
    if current.is_some_and(|now| now < reach) {
        // Refused, the old limit stands, and is what there is.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(reach), maximum });
    }
    getrlimit(Resource::Nofile).current
}

/// Reads the operators' file again for the counters; the rest of it is for the next start.
fn repartition(engine: &Engine, counters: &Counters) {
    let rule = match Operators::from_environment() {
        Ok(operators) => operators.quota.and_then(|quota| quota.partition),
        Err(error) => return eprintln!("settings not read again, the old ones stay: {error}"),
    };
    match rule.map(|rule| counters.change(&rule, engine.now())) {
        Some(Ok(true)) => {
            engine.tell_counters();
            eprintln!("counters change at the time that the settings name");
        }
        Some(Err(what)) => eprintln!("counters not changed: {what}"),
        None | Some(Ok(false)) => {}
    }
}

/// Reads the configuration again at each SIGHUP and moves to the addresses in it; the rest of it is for the next
/// start. One that cannot be used changes nothing.
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
                eprintln!("configuration read again: discovery at {}", config.discovery);
            }
            Err(error) => eprintln!("configuration not read again, the old one stays: {error}"),
        }
    }
}
