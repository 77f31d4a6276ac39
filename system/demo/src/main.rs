//! `fennelscale-demo`: the whole path on one machine in under a minute. Starts three core machines and three proxies as real processes on
//! addresses of the loopback range, stand-ins for the platform, the backends, the operator and clients, and walks through what
//! the system promises, with a core machine killed on the way. Ends with status 0 if every step held. `--nights` plays
//! maintenance nights instead.

mod client;
mod extremes;
mod failures;
mod machines;
mod night;
mod soak;
mod standins;
mod steps;

use gumdrop::Options;
use std::process::ExitCode;

/// Walks the whole path on this machine.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this and end")]
    help: bool,
    #[options(no_short, help = "show what the programs write")]
    logs: bool,
    #[options(
        no_short,
        help = "after the changes keep everything running for so many seconds, to try fennelctl on",
        meta = "SECONDS"
    )]
    stay: u64,
    #[options(no_short, help = "instead play so many maintenance nights", meta = "COUNT")]
    nights: u64,
    #[options(no_short, help = "instead rehearse failures of named callers so many times", meta = "COUNT")]
    failures: u64,
    #[options(
        no_short,
        help = "instead change the configuration under faults for so many seconds",
        meta = "SECONDS"
    )]
    soak: u64,
    #[options(no_short, help = "instead change the configuration to so many extreme values", meta = "COUNT")]
    extremes: u64,
    #[options(no_short, help = "proxies of each zone in a soak", meta = "COUNT", default = "3")]
    proxies: usize,
    #[options(no_short, help = "a soak without faults")]
    calm: bool,
    #[options(
        no_short,
        help = "core machines of each zone in a soak; with two or more, faults of one zone's overlap and all may restart at once",
        meta = "COUNT",
        default = "1"
    )]
    cores: usize,
    #[options(
        no_short,
        help = "in a soak, processes get their share of a core as a quota of each tenth of a second"
    )]
    shares: bool,
    #[options(
        no_short,
        help = "share of a core of each proxy with --shares",
        meta = "SHARE",
        default = "0.17"
    )]
    proxy_share: f64,
    #[options(no_short, help = "in a soak, clients of each proxy that send without a pause", meta = "COUNT")]
    pressing: usize,
    #[options(
        no_short,
        help = "in a soak, links are faulty instead of processes (needs a build with the feature link-faults)"
    )]
    links: bool,
    #[options(
        no_short,
        help = "in a soak, what backends do with requests that can't be repeated, in place of all that they can do",
        meta = "NAME,NAME"
    )]
    behaviors: Option<String>,
    #[options(
        no_short,
        help = "the executable whose programs a soak or extreme values run, in place of this one",
        meta = "FILE"
    )]
    programs: Option<std::path::PathBuf>,
    #[options(
        no_short,
        help = "the first night's number, or a soak's or that of extreme values: they are drawn by it",
        meta = "NUMBER"
    )]
    seed: u64,
    #[options(no_short, help = "play each night once more without orders, and compare the reads")]
    pairs: bool,
    #[options(
        free,
        help = "a program to be: fennelscale-proxy, fennelscale-registry or fennelscale-config-store (used by the demo itself)"
    )]
    program: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.program.as_deref() {
        None => {}
        Some("fennelscale-proxy") => return fennelscale_proxy::run_plain(),
        Some("fennelscale-registry") => return fennelscale_registry::run_plain(),
        Some("fennelscale-config-store") => return fennelscale_config_store::run_plain(),
        Some(other) => {
            eprintln!(
                "fennelscale-demo: {other}: there is no such program; fennelscale-proxy, fennelscale-registry and fennelscale-config-store are"
            );
            return ExitCode::from(2);
        }
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("walk: {error}");
            return ExitCode::from(2);
        }
    };
    let Arguments {
        logs,
        stay,
        nights,
        failures,
        seed,
        pairs,
        soak,
        extremes,
        proxies,
        calm,
        cores,
        shares,
        proxy_share,
        pressing,
        links,
        behaviors,
        programs,
        ..
    } = arguments;
    let walked = tokio::task::LocalSet::new().block_on(&runtime, async move {
        match nights {
            0 if soak > 0 => {
                let plan = soak::Plan {
                    seed,
                    seconds: soak,
                    proxies,
                    cores,
                    faults: !calm,
                    proxy_share: shares.then_some(proxy_share),
                    pressing,
                    links,
                    behaviors: soak::chosen_behaviors(behaviors.as_deref())?,
                    programs,
                };
                soak::soak(plan, logs).await
            }
            0 if extremes > 0 => extremes::play(seed, extremes, logs, programs).await,
            0 if failures > 0 => failures::rehearsals(seed, failures, pairs, logs).await,
            0 => steps::walk(logs, stay).await,
            count => night::nights(seed, count, pairs, logs).await,
        }
    });
    match walked {
        Ok(()) => {
            println!("every step held");
            ExitCode::SUCCESS
        }
        Err(report) => {
            println!("walk: {report}");
            ExitCode::FAILURE
        }
    }
}
