//! The content of an item, parsed and checked by itself.

use crate::{InvalidConfig, failure_order, maintenance};
use fennelscale_time::MAX_MILLIS;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each try of a client.
    NonIdempotent,
    /// As [`NonIdempotent`](Self::NonIdempotent), with large bodies.
    Upload,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its revision, as it was sent.
    pub revision: String,
    /// Its host name, in lower case.
    pub host: String,
    /// The prefix of its paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// A response within this many ms has its full value.
    pub target_latency: f64,
    /// The most ms that a request may take.
    pub timeout: f64,
    /// The most backends that a client's try is sent to.
    pub max_attempts: u32,
    /// The priority; 0 is highest.
    pub priority: u32,
    /// Requests need no API key.
    pub public: bool,
    /// The services that requests go to, with weights.
    pub services: Vec<(String, f64)>,
    /// The regions that may serve it; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub api_keys: Vec<String>,
    /// Overrides the priority of a route.
    pub priority: Option<u32>,
    /// Requests per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests allowed in a burst on top of the rate.
    pub burst: f64,
    /// The regions that may serve it; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its backends' health check.
    pub health_path: String,
    /// The connections that one of its backends accepts from all proxies together.
    pub max_connections: u32,
    /// How long a backend is cold after its start, in ms.
    pub cold_start: f64,
    /// Requests per second that a cold backend can serve.
    pub cold_per_s: f64,
}

/// Limits on what clients send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request head.
    pub max_header_bytes: usize,
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Time until a head is complete, in ms.
    pub header_timeout: f64,
    /// How long a connection may be without a request, in ms.
    pub idle_timeout: f64,
}

/// The content of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedItem {
    /// A route.
    Route(Box<Route>),
    /// A tenant.
    Tenant(Tenant),
    /// A service.
    Service(Service),
    /// The limits.
    Limits(Limits),
    /// The evacuation of a zone.
    Evacuation,
    /// The hours in which nodes may be drained.
    MaintenanceContract(Box<fennelscale_maintenance::contract::Contract>),
    /// Nodes to be drained within the hours of a contract.
    WorkOrder(Box<fennelscale_maintenance::order::WorkOrder>),
    /// The nodes that a work order drains now.
    Drain(fennelscale_maintenance::record::Drain),
    /// The record of a work order's progress.
    MaintenanceRecord,
    /// Requests that are to fail on purpose.
    FailureOrder(Box<fennelscale_fault_injection::Order>),
}

/// The longest timeout of a route.
const MAX_TIMEOUT_MS: f64 = 600_000.0;
/// A target latency may exceed the timeout, but by less than this.
const MAX_TARGET_BEYOND_TIMEOUT_MS: f64 = 60_000.0;

/// The JSON of an item, with its name for error messages.
pub(crate) struct ItemJson<'a> {
    name: &'a str,
    value: Value,
}

impl ItemJson<'_> {
    pub(crate) fn invalid(&self, field: &str, expected: &str) -> InvalidConfig {
        InvalidConfig(format!("{}: {field}: {expected}", self.name))
    }

    pub(crate) fn get(&self, path: &[&str]) -> Option<&Value> {
        self.value.pointer(path).filter(|value| !value.is_null())
    }

    pub(crate) fn string(&self, path: &[&str]) -> Result<String, InvalidConfig> {
        let text = self.get(path).and_then(|value| value.as_str());
        let text = text
            .filter(|t| !t.is_empty())
            .ok_or_else(|| self.invalid(&path.join("."), "a text is wanted"))?;
        Ok(text.to_owned())
    }

    pub(crate) fn number(&self, path: &[&str], fallback: Option<f64>) -> Result<f64, InvalidConfig> {
        let invalid = || self.invalid(&path.join("."), "a number of 0 or more is wanted");
        match self.get(path) {
            None => fallback.ok_or_else(invalid),
            Some(value) => value.as_f64().filter(|n| n.is_finite() && *n >= 0.0).ok_or_else(invalid),
        }
    }

    pub(crate) fn flag(&self, path: &[&str]) -> Result<bool, InvalidConfig> {
        match self.get(path) {
            None => Ok(false),
            Some(value) => {
                value.as_bool().ok_or_else(|| self.invalid(&path.join("."), "true or false is wanted"))
            }
        }
    }

    pub(crate) fn duration(&self, path: &[&str], fallback: Option<f64>) -> Result<f64, InvalidConfig> {
        let invalid = || self.invalid(&path.join("."), "a time like 1500ms or 2.5s is wanted");
        match self.get(path) {
            None => fallback.ok_or_else(invalid),
            Some(value) => value.as_str().and_then(parse_duration).ok_or_else(invalid),
        }
    }

    pub(crate) fn strings(&self, path: &[&str]) -> Result<Vec<String>, InvalidConfig> {
        let invalid = || self.invalid(&path.join("."), "a list of texts is wanted");
        let Some(value) = self.get(path) else { return Ok(Vec::new()) };
        let list = value.as_array().ok_or_else(invalid)?;
        list.iter().map(|v| v.as_str().map(str::to_owned).ok_or_else(invalid)).collect()
    }
}

/// Parses a duration with its unit, in ms; one that is too large becomes [`MAX_MILLIS`].
fn parse_duration(text: &str) -> Option<f64> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1000.0),
    };
    let digits = number.starts_with(|c: char| c.is_ascii_digit());
    number.parse::<f64>().ok().filter(|_| digits).map(|n| (n * unit).min(MAX_MILLIS))
}

/// Parses an item and checks it by itself.
///
/// # Errors
/// When the item is invalid.
pub fn parse_item(name: &str, host: &str, body: &str) -> Result<ParsedItem, InvalidConfig> {
    let malformed = |error: sonic_rs::Error| InvalidConfig(format!("{name}: {error}"));
    let value: Value = sonic_rs::from_str(body).map_err(malformed)?;
    let item = ItemJson { name, value };
    match name.split_at_checked(2) {
        Some(("r:", name)) => route(name, host, &item).map(|route| ParsedItem::Route(Box::new(route))),
        Some(("t:", name)) => tenant(name, &item).map(ParsedItem::Tenant),
        Some(("s:", name)) => service(name, &item).map(ParsedItem::Service),
        Some(("l:", _)) => limits(&item).map(ParsedItem::Limits),
        Some(("e:", _)) => Ok(ParsedItem::Evacuation),
        Some(("c:", name)) => maintenance::contract(name, &item)
            .map(|contract| ParsedItem::MaintenanceContract(Box::new(contract))),
        Some(("w:", name)) => {
            maintenance::order(name, &item).map(|order| ParsedItem::WorkOrder(Box::new(order)))
        }
        Some(("d:", _)) => {
            let drain = fennelscale_maintenance::record::Drain::parse(body);
            drain.map(ParsedItem::Drain).ok_or_else(|| InvalidConfig(format!("{name}: no drain")))
        }
        Some(("n:", _)) => Ok(ParsedItem::MaintenanceRecord),
        Some(("f:", name)) => {
            failure_order::order(name, host, &item).map(|order| ParsedItem::FailureOrder(Box::new(order)))
        }
        _ => Err(InvalidConfig(format!("{name}: no such kind of item"))),
    }
}

fn route(name: &str, host: &str, item: &ItemJson<'_>) -> Result<Route, InvalidConfig> {
    if host.is_empty() {
        return Err(item.invalid("hostname", "a text is wanted"));
    }
    let kind = match item.string(&["routeType"])?.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "non_idempotent" => RouteKind::NonIdempotent,
        "upload" => RouteKind::Upload,
        _ => return Err(item.invalid("routeType", "one of idempotent, non_idempotent, upload is wanted")),
    };
    let path_prefix = item.string(&["matchCriteria", "pathPrefix"])?;
    if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
        return Err(item.invalid("matchCriteria.pathPrefix", "must begin and end with a slash"));
    }
    let timeout = item.duration(&["action", "timeout"], None)?;
    if timeout <= 0.0 || timeout > MAX_TIMEOUT_MS {
        return Err(item.invalid("action.timeout", "must be over 0 and ten minutes at most"));
    }
    let target_latency = item.duration(&["targetLatency"], Some(timeout))?;
    if target_latency >= timeout + MAX_TARGET_BEYOND_TIMEOUT_MS {
        return Err(item.invalid("targetLatency", "must be less than a minute over the time-out"));
    }
    let services = match item.get(&["action", "trafficSplit"]).and_then(|split| split.as_array()) {
        Some(split) if !split.is_empty() => {
            let invalid =
                || item.invalid("action.trafficSplit", "services with weights of 0 or more are wanted");
            let part = |part: &Value| {
                let service = part.get("service").and_then(|s| s.as_str())?;
                let weight = part.get("weight").and_then(|w| w.as_f64())?;
                (weight.is_finite() && weight >= 0.0).then(|| (service.to_owned(), weight))
            };
            let parts: Vec<_> =
                split.iter().map(|p| part(p).ok_or_else(invalid)).collect::<Result<_, _>>()?;
            if parts.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
                return Err(item.invalid("action.trafficSplit", "one weight at least must be over 0"));
            }
            with_finite_sum(parts)
        }
        _ => vec![(item.string(&["action", "service"])?, 1.0)],
    };
    Ok(Route {
        name: name.to_owned(),
        revision: item.string(&["revision"]).unwrap_or_default(),
        host: host.to_ascii_lowercase(),
        path_prefix,
        kind,
        target_latency,
        timeout,
        max_attempts: item.number(&["action", "maxAttempts"], Some(1.0))?.max(1.0) as u32,
        priority: item.number(&["priority"], Some(0.0))? as u32,
        public: item.flag(&["public"])?,
        services,
        allowed_regions: item.strings(&["action", "allowedRegions"])?,
    })
}

/// The same shares with weights whose sum is a finite number.
fn with_finite_sum(mut parts: Vec<(String, f64)>) -> Vec<(String, f64)> {
    let sum: f64 = parts.iter().map(|(_, weight)| weight).sum();
    if sum.is_infinite() {
        let count = parts.len() as f64;
        parts.iter_mut().for_each(|(_, weight)| *weight /= count);
    }
    parts
}

fn tenant(name: &str, item: &ItemJson<'_>) -> Result<Tenant, InvalidConfig> {
    let rate = item.number(&["ratePerS"], Some(0.0))?;
    Ok(Tenant {
        name: name.to_owned(),
        api_keys: item.strings(&["apiKeys"])?,
        priority: item
            .get(&["priority"])
            .and_then(|p| p.as_u64())
            .map(|p| u32::try_from(p).unwrap_or(u32::MAX)),
        rate_per_s: rate,
        burst: item.number(&["burst"], Some(rate))?,
        allowed_regions: item.strings(&["allowedRegions"])?,
    })
}

fn service(name: &str, item: &ItemJson<'_>) -> Result<Service, InvalidConfig> {
    Ok(Service {
        name: name.to_owned(),
        health_path: item.string(&["healthCheckPath"]).unwrap_or_else(|_| "/health".into()),
        max_connections: item.number(&["maxConnections"], Some(100.0))? as u32,
        cold_start: item.duration(&["coldStart"], Some(0.0))?,
        cold_per_s: item.number(&["coldPerS"], Some(0.0))?,
    })
}

fn limits(item: &ItemJson<'_>) -> Result<Limits, InvalidConfig> {
    let defaults = Limits::default();
    Ok(Limits {
        max_header_bytes: item.number(&["maxHeaderBytes"], Some(defaults.max_header_bytes as f64))? as usize,
        max_body_bytes: item.number(&["maxBodyBytes"], Some(defaults.max_body_bytes as f64))? as usize,
        header_timeout: item.duration(&["headerTimeout"], Some(defaults.header_timeout))?,
        idle_timeout: item.duration(&["idleTimeout"], Some(defaults.idle_timeout))?,
    })
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16384,
            max_body_bytes: 64 << 20,
            header_timeout: 3000.0,
            idle_timeout: 15_000.0,
        }
    }
}
