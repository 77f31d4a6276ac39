//! `fennelscale-proxy`: the reverse proxy, which forms the data plane. Every machine that clients reach runs
//! one. It looks up the route, checks the API key, takes a unit of the tenant's quota lease, and has the
//! decision module choose a backend.

#![warn(clippy::arithmetic_side_effects)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

mod answer_counts;
mod answers;
mod backend_protocol;
pub mod cold_owners;
pub mod decision_input;
mod failure_injection;
mod frontend;
mod headers;
mod memory_limits;
mod metrics;
mod peer_sync;
mod proxy;
pub mod registry_choice;
mod rejection_claim;
mod request_classes;
mod request_trace;
pub mod routing_state;
mod service_engines;
mod session;
mod session_counts;

pub use proxy::run;

use fennelscale_host::{arguments, start};
use std::process::ExitCode;

/// The name of the program.
const NAME: &str = "fennelscale-proxy";

/// The proxy. FENNELSCALE_CONFIG names the settings file.
#[derive(Debug, gumdrop::Options)]
struct Arguments {
    #[options(help = "show this and end")]
    help: bool,
    #[options(no_short, help = "only check the settings file")]
    check: bool,
    #[options(no_short, help = "log single steps too")]
    verbose: bool,
    #[options(no_short, help = "tell own figures at this port of the machine, path /metrics", meta = "PORT")]
    metrics_port: Option<u16>,
}

/// Runs the program with the arguments of the command line.
pub fn main() -> ExitCode {
    let arguments = match arguments::parse::<Arguments>() {
        Ok(arguments) => arguments,
        Err(status) => return status,
    };
    let Arguments { check, verbose, metrics_port, .. } = arguments;
    start::run_or_check(NAME, check, verbose, |settings, signals| proxy::run(settings, signals, metrics_port))
}

/// Runs the program with a settings file and default arguments, for executables that contain several
/// programs.
pub fn run_plain() -> ExitCode {
    start::run(NAME, false, |settings, signals| proxy::run(settings, signals, None))
}
