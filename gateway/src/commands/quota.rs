//! `fennelscale quota`: shows the effect of quotas while the shared counter is unavailable.

use crate::commands::cli::{BoundArguments, QuotaCommand};
use crate::commands::rehearse::with_context;
use crate::unusable;
use doorcourse::{Plan, Settings};
use fennelscale_log_writer::{print_line, print_text};
use fennelscale_quota::{Bound, Loss};
use fennelscale_settings::operators::Operators;
use fennelscale_settings::quota::Quota;
use fennelscale_settings::{decisions, gateway};
use std::process::ExitCode;

/// Outage durations that the bound is printed for, in seconds.
const DURATIONS_S: [f64; 5] = [0.0, 1.0, 5.0, 20.0, 60.0];
/// A ceiling may be exceeded by this share of it, or by one request of the maximum size.
const TOLERANCE: f64 = 0.05;
/// Maximum number of gateways that a bound is printed for.
const MAX_GATEWAYS: u32 = 100_000;

/// Runs a subcommand of `quota`.
pub fn run(command: &QuotaCommand) -> ExitCode {
    let QuotaCommand::Bound(arguments) = command;
    match print_bounds(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(what) => unusable(&what),
    }
}

/// Reads the plans of a gateway's configuration.
fn read_settings(arguments: &BoundArguments) -> Result<Settings, String> {
    let path = arguments.config.clone().or_else(|| std::env::var_os(gateway::VARIABLE).map(Into::into));
    let path = path
        .ok_or("quota bound: the plans stand in the gateway's configuration: name it with --config FILE")?;
    let text = std::fs::read_to_string(&path).map_err(with_context(path.display()))?;
    let root: serde_json::Value = serde_json::from_str(&text).map_err(with_context(path.display()))?;
    let settings = root.get("settings").ok_or_else(|| format!("{}: it has no settings", path.display()))?;
    decisions::read(settings).map_err(with_context(path.display()))
}

fn print_bounds(arguments: &BoundArguments) -> Result<bool, String> {
    let operators = match &arguments.settings {
        Some(file) => Operators::load(file.as_os_str()).map_err(|error| error.to_string())?,
        None => Operators::from_environment().map_err(|error| error.to_string())?,
    };
    let quota = operators.quota.unwrap_or_default();
    let settings = read_settings(arguments)?;
    let counts = if arguments.gateways.is_empty() {
        (1..=settings.gateways.clamp(1, MAX_GATEWAYS)).collect()
    } else {
        arguments.gateways.clone()
    };
    if let Some(count) = counts.iter().find(|count| !(1..=MAX_GATEWAYS).contains(*count)) {
        return Err(format!("quota bound: --gateways {count}: must be 1 to {MAX_GATEWAYS}"));
    }
    let mut fits = true;
    let mut ceilings = settings.plans.iter().filter(|plan| plan.ceiling_rate > 0.0).peekable();
    if ceilings.peek().is_none() {
        print_line!(
            "no plan has a ceiling: nothing bounds what is sent on while the counter is lost but the slices"
        );
    }
    for plan in ceilings {
        fits &= print_plan(plan, &settings, &quota, &counts);
    }
    Ok(fits)
}

/// Prints the table of a plan; true if its bound is within the tolerance.
fn print_plan(plan: &Plan, settings: &Settings, quota: &Quota, counts: &[u32]) -> bool {
    let Plan { name, rate, burst, ceiling_rate, ceiling_burst, .. } = plan;
    print_line!(
        "plan {name}: quota {rate}/s and {burst} at once, ceiling {ceiling_rate}/s and {ceiling_burst} at once"
    );
    print_line!(
        "units that all gateways of an account send on at most in any span, {} losses, {} counter(s), unseen for {} ms, \
         clocks {} ms apart:",
        if quota.losses == Loss::Whole { "whole" } else { "partial" },
        quota.counters,
        quota.detection.0,
        quota.skew.0
    );
    print_text!("{:>9} {:>8}", "gateways", "alone");
    DURATIONS_S.iter().for_each(|span| print_text!(" {:>8}", format!("{span} s")));
    print_line!("  past the ceiling by");
    let mut fits = true;
    for count in counts {
        let terms = plan.terms(f64::from(*count), settings.max_request_units);
        let bound = Bound {
            quota: terms,
            loss: quota.losses,
            split_counters: f64::from(quota.counters),
            detection_time: quota.detection.0,
            clock_skew: quota.skew.0,
        };
        let spans = DURATIONS_S.map(|span| span * 1000.0);
        let over = spans.map(|span| bound.max_units(span) - bound.ceiling_units(span));
        let most = over.into_iter().fold(0.0, f64::max);
        let tolerated = |(over, span): (f64, f64)| {
            over <= (bound.ceiling_units(span) * TOLERANCE).max(terms.max_request_units) + 1e-6
        };
        let holds = over.into_iter().zip(spans).all(tolerated);
        fits &= holds;
        print_text!("{count:>9} {:>7.1}%", terms.max_local_share(bound.loss).min(1.0) * 100.0);
        spans.iter().for_each(|span| print_text!(" {:>8.1}", bound.max_units(*span)));
        print_line!("  {most:.1}{}", if holds { "" } else { ": more than 5% and than one request" });
    }
    fits
}
