//! What an item says, read and checked by itself.

use crate::{InvalidConfig, failures, maintenance};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// At most once for each try of a client.
    NonIdempotent,
    /// The same, with large bodies.
    Upload,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its version, as it was sent.
    pub revision: String,
    /// Its host, in small letters.
    pub host: String,
    /// What a path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// What repeating may do.
    pub kind: RouteKind,
    /// An answer within this many ms has its full worth.
    pub target_latency: f64,
    /// The most ms that a request is held.
    pub timeout: f64,
    /// The most backends that a try is sent to.
    pub max_attempts: u32,
    /// 0 is highest.
    pub priority: u32,
    /// No key is needed.
    pub public: bool,
    /// Where requests go, with weights.
    pub services: Vec<(String, f64)>,
    /// The regions that may serve it; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub api_keys: Vec<String>,
    /// Goes before that of a route.
    pub priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests on top.
    pub burst: f64,
    /// The regions that may serve it; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Where its backends tell how they are.
    pub health_path: String,
    /// Connections that one of its backends takes from all together.
    pub max_connections: u32,
    /// How long a backend is cold after its start, in ms.
    pub cold_start: f64,
    /// Requests a second that a cold backend bears.
    pub cold_per_s: f64,
}

/// What clients may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a head.
    pub max_header_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Until a head is whole, in ms.
    pub header_timeout: f64,
    /// Without a request, in ms.
    pub idle_timeout: f64,
}

/// What an item says.
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
    /// A zone is to get nothing.
    Evacuation,
    /// Hours in which nodes may be drained.
    MaintenanceContract(Box<fennelscale_maintenance::contract::Contract>),
    /// Nodes that are to be drained in them.
    WorkOrder(Box<fennelscale_maintenance::order::WorkOrder>),
    /// Nodes that are drained now.
    Drain(fennelscale_maintenance::record::Drain),
    /// The record of an order's night.
    MaintenanceRecord,
    /// Requests that are to be failed on purpose.
    FailureOrder(Box<fennelscale_fault_injection::Order>),
}

/// The longest time-out, in ms.
const LONGEST_TIMEOUT: f64 = 600_000.0;
/// An aim is less than this beyond the time-out, in ms.
const AIM_BEYOND: f64 = 60_000.0;

pub(crate) struct Item<'a> {
    what: &'a str,
    value: Value,
}

impl Item<'_> {
    pub(crate) fn wrong(&self, field: &str, want: &str) -> InvalidConfig {
        InvalidConfig(format!("{}: {field}: {want}", self.what))
    }

    pub(crate) fn at(&self, path: &[&str]) -> Option<&Value> {
        self.value.pointer(path).filter(|value| !value.is_null())
    }

    pub(crate) fn text(&self, path: &[&str]) -> Result<String, InvalidConfig> {
        let text = self.at(path).and_then(|value| value.as_str());
        let text =
            text.filter(|t| !t.is_empty()).ok_or_else(|| self.wrong(&path.join("."), "a text is wanted"))?;
        Ok(text.to_owned())
    }

    pub(crate) fn number(&self, path: &[&str], fallback: Option<f64>) -> Result<f64, InvalidConfig> {
        let wrong = || self.wrong(&path.join("."), "a number of 0 or more is wanted");
        match self.at(path) {
            None => fallback.ok_or_else(wrong),
            Some(value) => value.as_f64().filter(|n| n.is_finite() && *n >= 0.0).ok_or_else(wrong),
        }
    }

    pub(crate) fn flag(&self, path: &[&str]) -> Result<bool, InvalidConfig> {
        match self.at(path) {
            None => Ok(false),
            Some(value) => {
                value.as_bool().ok_or_else(|| self.wrong(&path.join("."), "true or false is wanted"))
            }
        }
    }

    pub(crate) fn span(&self, path: &[&str], fallback: Option<f64>) -> Result<f64, InvalidConfig> {
        let wrong = || self.wrong(&path.join("."), "a time like 1500ms or 2.5s is wanted");
        match self.at(path) {
            None => fallback.ok_or_else(wrong),
            Some(value) => value.as_str().and_then(span).ok_or_else(wrong),
        }
    }

    pub(crate) fn texts(&self, path: &[&str]) -> Result<Vec<String>, InvalidConfig> {
        let wrong = || self.wrong(&path.join("."), "a list of texts is wanted");
        let Some(value) = self.at(path) else { return Ok(Vec::new()) };
        let list = value.as_array().ok_or_else(wrong)?;
        list.iter().map(|v| v.as_str().map(str::to_owned).ok_or_else(wrong)).collect()
    }
}

/// A time as a text, in ms.
fn span(text: &str) -> Option<f64> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1000.0),
    };
    let digits = number.starts_with(|c: char| c.is_ascii_digit());
    number.parse::<f64>().ok().filter(|n| digits && n.is_finite()).map(|n| n * unit)
}

/// What an item says.
///
/// # Errors
/// When it can't be.
pub fn parse_item(name: &str, host: &str, body: &str) -> Result<ParsedItem, InvalidConfig> {
    let malformed = |error: sonic_rs::Error| InvalidConfig(format!("{name}: {error}"));
    let value: Value = sonic_rs::from_str(body).map_err(malformed)?;
    let item = Item { what: name, value };
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
            failures::order(name, host, &item).map(|order| ParsedItem::FailureOrder(Box::new(order)))
        }
        _ => Err(InvalidConfig(format!("{name}: no such kind of item"))),
    }
}

fn route(name: &str, host: &str, item: &Item<'_>) -> Result<Route, InvalidConfig> {
    if host.is_empty() {
        return Err(item.wrong("hostname", "a text is wanted"));
    }
    let kind = match item.text(&["routeType"])?.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "non_idempotent" => RouteKind::NonIdempotent,
        "upload" => RouteKind::Upload,
        _ => return Err(item.wrong("routeType", "one of idempotent, non_idempotent, upload is wanted")),
    };
    let prefix = item.text(&["matchCriteria", "pathPrefix"])?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(item.wrong("matchCriteria.pathPrefix", "must begin and end with a slash"));
    }
    let timeout = item.span(&["action", "timeout"], None)?;
    if timeout <= 0.0 || timeout > LONGEST_TIMEOUT {
        return Err(item.wrong("action.timeout", "must be over 0 and ten minutes at most"));
    }
    let aim = item.span(&["targetLatency"], Some(timeout))?;
    if aim >= timeout + AIM_BEYOND {
        return Err(item.wrong("targetLatency", "must be less than a minute over the time-out"));
    }
    let services = match item.at(&["action", "trafficSplit"]).and_then(|split| split.as_array()) {
        Some(split) if !split.is_empty() => {
            let wrong = || item.wrong("action.trafficSplit", "services with weights of 0 or more are wanted");
            let part = |part: &Value| {
                let service = part.get("service").and_then(|s| s.as_str())?;
                let weight = part.get("weight").and_then(|w| w.as_f64())?;
                (weight.is_finite() && weight >= 0.0).then(|| (service.to_owned(), weight))
            };
            let parts: Vec<_> = split.iter().map(|p| part(p).ok_or_else(wrong)).collect::<Result<_, _>>()?;
            if parts.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
                return Err(item.wrong("action.trafficSplit", "one weight at least must be over 0"));
            }
            parts
        }
        _ => vec![(item.text(&["action", "service"])?, 1.0)],
    };
    Ok(Route {
        name: name.to_owned(),
        revision: item.text(&["revision"]).unwrap_or_default(),
        host: host.to_ascii_lowercase(),
        path_prefix: prefix,
        kind,
        target_latency: aim,
        timeout,
        max_attempts: item.number(&["action", "maxAttempts"], Some(1.0))?.max(1.0) as u32,
        priority: item.number(&["priority"], Some(0.0))? as u32,
        public: item.flag(&["public"])?,
        services,
        allowed_regions: item.texts(&["action", "allowedRegions"])?,
    })
}

fn tenant(name: &str, item: &Item<'_>) -> Result<Tenant, InvalidConfig> {
    let rate = item.number(&["ratePerS"], Some(0.0))?;
    Ok(Tenant {
        name: name.to_owned(),
        api_keys: item.texts(&["apiKeys"])?,
        priority: item.at(&["priority"]).and_then(|p| p.as_u64()).map(|p| p as u32),
        rate_per_s: rate,
        burst: item.number(&["burst"], Some(rate))?,
        allowed_regions: item.texts(&["allowedRegions"])?,
    })
}

fn service(name: &str, item: &Item<'_>) -> Result<Service, InvalidConfig> {
    Ok(Service {
        name: name.to_owned(),
        health_path: item.text(&["healthCheckPath"]).unwrap_or_else(|_| "/health".into()),
        max_connections: item.number(&["maxConnections"], Some(100.0))? as u32,
        cold_start: item.span(&["coldStart"], Some(0.0))?,
        cold_per_s: item.number(&["coldPerS"], Some(0.0))?,
    })
}

fn limits(item: &Item<'_>) -> Result<Limits, InvalidConfig> {
    let usual = Limits::default();
    Ok(Limits {
        max_header_bytes: item.number(&["maxHeaderBytes"], Some(usual.max_header_bytes as f64))? as usize,
        max_body_bytes: item.number(&["maxBodyBytes"], Some(usual.max_body_bytes as f64))? as usize,
        header_timeout: item.span(&["headerTimeout"], Some(usual.header_timeout))?,
        idle_timeout: item.span(&["idleTimeout"], Some(usual.idle_timeout))?,
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
