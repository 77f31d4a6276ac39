//! `postmaster`: the registry (the field's term: service registry with membership and leases). Every core machine runs one. It
//! holds the sessions of proxies, reads the platform's list where that duty is its own, counts tenants' windows, answers
//! where clients should go, and takes the outside calls for itself and for the store beside it.

mod calls;
mod list;
mod registry;

use gumdrop::Options;
use post_host::start;
use std::process::ExitCode;

/// The registry. FENNELSCALE_CONFIG names the settings file.
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
        return start::check("postmaster");
    }
    start::run("postmaster", arguments.verbose, registry::run)
}
