//! Scenarios: how large a world is, what is offered, what happens when.

use crate::Fault;
use fennelscale_simulation::{Config, Simulation};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The longest world, in ms: an hour.
const LONGEST: f64 = 3_600_000.0;
/// The most machines of a kind, and things that happen.
const MOST: usize = 10_000;

/// A file of scenarios.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sheet {
    scenario: BTreeMap<String, Raw>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    lasts_ms: f64,
    #[serde(default = "six")]
    cores: usize,
    #[serde(default = "six")]
    zones: usize,
    #[serde(default = "twelve")]
    proxies: usize,
    #[serde(default = "four")]
    tenants: usize,
    #[serde(default = "six")]
    routes: usize,
    #[serde(default = "twelve")]
    backends: usize,
    #[serde(default = "forty")]
    rate: f64,
    #[serde(default = "load")]
    load: f64,
    #[serde(default)]
    event: Vec<RawEvent>,
}

fn four() -> usize {
    4
}
fn six() -> usize {
    6
}
fn twelve() -> usize {
    12
}
fn forty() -> f64 {
    40.0
}
fn load() -> f64 {
    0.6
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEvent {
    at_ms: f64,
    r#do: String,
    #[serde(default)]
    of: Vec<usize>,
    times: Option<f64>,
    for_ms: Option<u32>,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happens {
    /// Something goes wrong, or right again.
    Fault(fennelscale_simulation::Fault),
    /// An operator changes a route.
    Change,
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long it is looked at, in ms, after the system has come up.
    pub lasts: f64,
    /// How large its world is.
    pub config: Config,
    /// What happens when, in ms from when it is looked at, in order.
    pub events: Vec<(f64, Happens)>,
}

/// The kinds of what happens, as files write them.
pub const KINDS: [&str; 16] = [
    "kill-core",
    "wipe-core",
    "start-core",
    "cut-core",
    "freeze-core",
    "one-way",
    "replace-core",
    "kill-proxy",
    "start-proxy",
    "cut-proxy",
    "flood",
    "drain",
    "heal",
    "dark",
    "light",
    "change",
];

fn event(config: &Config, raw: &RawEvent) -> Result<Vec<Happens>, String> {
    use fennelscale_simulation::Fault as F;
    let Config { cores, proxies, tenants, backends, .. } = *config;
    let each = |many: usize, what: &str, fault: &dyn Fn(usize) -> F| -> Result<Vec<Happens>, String> {
        if raw.of.is_empty() {
            return Err(format!("of: the numbers of {what} are wanted, like [0, 3]"));
        }
        match raw.of.iter().find(|n| **n >= many) {
            Some(n) => Err(format!("of: there is no number {n} of {many} {what}")),
            None => Ok(raw.of.iter().map(|n| Happens::Fault(fault(*n))).collect()),
        }
    };
    match raw.r#do.as_str() {
        "kill-core" => each(cores, "core machines", &F::KillCore),
        "wipe-core" => each(cores, "core machines", &F::LoseDisk),
        "start-core" => each(cores, "core machines", &F::StartCore),
        "cut-core" => each(cores, "core machines", &F::DisconnectCore),
        "replace-core" => each(cores, "core machines", &F::ReplaceCore),
        "dark" => each(cores, "core machines", &F::PowerLoss),
        "freeze-core" => {
            let span = raw.for_ms.ok_or("for_ms: how long it stands still is wanted")?;
            each(cores, "core machines", &|n| F::PauseCore(n, span))
        }
        "one-way" => match raw.of[..] {
            [from, to] if from < cores && to < cores && from != to => {
                Ok(vec![Happens::Fault(F::DisconnectOneWay(from, to))])
            }
            _ => {
                Err("of: two core machines are wanted: what the first sends does not reach the second".into())
            }
        },
        "kill-proxy" => each(proxies, "proxies", &F::KillProxy),
        "start-proxy" => each(proxies, "proxies", &F::StartProxy),
        "cut-proxy" => each(proxies, "proxies", &F::DisconnectProxy),
        "drain" => each(backends, "backends", &F::DrainBackend),
        "flood" => {
            let times = raw.times.filter(|t| *t > 0.0).ok_or("times: how many times its usual is wanted")?;
            each(tenants, "tenants", &|n| F::Overload(n, times))
        }
        "heal" => Ok(vec![Happens::Fault(F::RestoreLinks)]),
        "light" => Ok(vec![Happens::Fault(F::RestorePower)]),
        "change" => Ok(vec![Happens::Change]),
        other => Err(format!("do: {other}: one of {} is wanted", KINDS.join(", "))),
    }
}

fn checked(name: String, raw: &Raw) -> Result<Scenario, Fault> {
    let wrong = |what: String| Fault(format!("scenario {name}: {what}"));
    let sizes = [
        ("cores", raw.cores),
        ("zones", raw.zones),
        ("proxies", raw.proxies),
        ("tenants", raw.tenants),
        ("routes", raw.routes),
        ("backends", raw.backends),
    ];
    if let Some((field, size)) = sizes.iter().find(|(_, size)| *size == 0 || *size > MOST) {
        return Err(wrong(format!("{field}: {size}: from 1 to {MOST} is wanted")));
    }
    if raw.cores < 3 {
        return Err(wrong(format!(
            "cores: {}: three at least are wanted, or no loss can be borne",
            raw.cores
        )));
    }
    for (field, number) in [("lasts_ms", raw.lasts_ms), ("rate", raw.rate), ("load", raw.load)] {
        if !(number > 0.0 && number <= LONGEST) {
            return Err(wrong(format!("{field}: {number}: a number over 0, up to {LONGEST} is wanted")));
        }
    }
    let config = Config {
        cores: raw.cores,
        proxies: raw.proxies,
        zones: raw.zones,
        tenants: raw.tenants,
        routes: raw.routes,
        backends: raw.backends,
        load: raw.load,
        rate: raw.rate,
        // Scenarios are of units and news; whom backends serve is not looked at.
        pressure: 0,
        measure: true,
    };
    let mut events = Vec::new();
    for (n, one) in raw.event.iter().enumerate() {
        if !(one.at_ms >= 0.0 && one.at_ms <= raw.lasts_ms) {
            return Err(wrong(format!(
                "event {}: at_ms: within the scenario's {} ms is wanted",
                n + 1,
                raw.lasts_ms
            )));
        }
        let all = event(&config, one).map_err(|what| wrong(format!("event {}: {what}", n + 1)))?;
        events.extend(all.into_iter().map(|happens| (one.at_ms, happens)));
    }
    if events.len() > MOST {
        return Err(wrong(format!("{} things happen, at most {MOST} may", events.len())));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(Scenario { name, lasts: raw.lasts_ms, config, events })
}

/// Reads a file's text.
///
/// # Errors
/// Which scenario, event and field is wrong, and what is wanted there.
pub fn read(text: &str) -> Result<Vec<Scenario>, Fault> {
    let sheet: Sheet = toml::from_str(text).map_err(|error| Fault(error.to_string()))?;
    if sheet.scenario.is_empty() {
        return Err(Fault("no scenario: [scenario.NAME] is wanted".into()));
    }
    sheet.scenario.into_iter().map(|(name, raw)| checked(name, &raw)).collect()
}

impl Scenario {
    /// Its world, with all that runs up.
    pub fn world(&self, seed: u64) -> Simulation {
        Simulation::new(seed, self.config.clone())
    }
}
