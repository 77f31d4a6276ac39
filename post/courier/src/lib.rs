//! `courier`: the proxy (the field's term: reverse proxy, the data plane). Every machine that clients reach runs one. It looks up
//! the route, checks the key, takes a unit of the tenant's lease, and has the decision module choose a backend.

mod beside;
mod front;
mod heads;
mod held;
mod proxy;
mod services;
mod session;
mod speech;

use gumdrop::Options;
use post_host::start;
use std::process::ExitCode;

/// The proxy. FENNELSCALE_CONFIG names the settings file.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this and end")]
    help: bool,
    #[options(no_short, help = "only check the settings file")]
    check: bool,
    #[options(no_short, help = "log single steps too")]
    verbose: bool,
}

/// Runs the program by its arguments.
pub fn main() -> ExitCode {
    run_with(&Arguments::parse_args_default_or_exit())
}

/// Runs the program with a settings file and usual arguments, for programs that are several in one.
pub fn run_plain() -> ExitCode {
    run_with(&Arguments { help: false, check: false, verbose: false })
}

fn run_with(arguments: &Arguments) -> ExitCode {
    if arguments.check {
        return start::check("courier");
    }
    start::run("courier", arguments.verbose, proxy::run)
}
