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

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.check {
        return start::check("postmaster");
    }
    start::run("postmaster", arguments.verbose, registry::run)
}
