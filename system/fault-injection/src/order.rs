//! Failure orders: which requests they select, how these fail, when, and how many.

use crate::Millis;
use std::collections::BTreeSet;
use std::time::Duration;

/// The properties of a request that orders select by, as the proxy has read them from its head.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The tenant that holds its API key.
    pub tenant: &'a str,
    /// Its API key.
    pub key: &'a str,
    /// Its route.
    pub route: &'a str,
    /// Its host in lower case.
    pub host: &'a str,
    /// Whether it may be retried, as routes write it.
    pub route_kind: &'a str,
    /// The region of the proxy that received it.
    pub region: &'a str,
}

/// Selects requests: all criteria must match; an empty list matches every request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSelector {
    /// Tenants by name.
    pub tenants: BTreeSet<String>,
    /// API keys by their fingerprints ([`fingerprint`]), so that an order reveals no key.
    pub keys: BTreeSet<String>,
    /// Routes by name.
    pub routes: BTreeSet<String>,
    /// Hosts in lower case.
    pub hosts: BTreeSet<String>,
    /// Whether requests may be retried, as routes write it.
    pub route_kinds: BTreeSet<String>,
    /// Regions of the proxies that receive the requests.
    pub regions: BTreeSet<String>,
    /// Share of the matching requests, sampled by request id.
    pub share: f64,
}

/// The fingerprint of an API key, as orders name it.
pub fn fingerprint(key: &str) -> String {
    format!("{:016x}", fennelscale_messages::hash(key.as_bytes()))
}

impl RequestSelector {
    /// Whether a request is selected.
    pub fn matches(&self, order: &str, caller: &Caller<'_>) -> bool {
        let one_of = |set: &BTreeSet<String>, value: &str| set.is_empty() || set.contains(value);
        one_of(&self.tenants, caller.tenant)
            && one_of(&self.routes, caller.route)
            && one_of(&self.hosts, caller.host)
            && one_of(&self.route_kinds, caller.route_kind)
            && one_of(&self.regions, caller.region)
            && (self.keys.is_empty() || self.keys.contains(&fingerprint(caller.key)))
            && self.is_sampled(order, caller.id)
    }

    /// Whether the order selects no particular tenant, key or route; such an order needs an explicit
    /// confirmation.
    pub fn is_broad(&self) -> bool {
        self.tenants.is_empty() && self.keys.is_empty() && self.routes.is_empty()
    }

    /// Samples the same requests at every proxy and in every build.
    fn is_sampled(&self, order: &str, id: &str) -> bool {
        let draw = fennelscale_messages::mix(
            fennelscale_messages::hash(order.as_bytes()) ^ fennelscale_messages::hash(id.as_bytes()),
        );
        self.share >= 1.0 || ((draw >> 11) as f64 / (1_u64 << 53) as f64) < self.share
    }
}

/// How a selected request fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureKind {
    /// Rejected before it is forwarded: it has not run and will not.
    Refuse,
    /// Held for this long, then processed as usual.
    Delay(Millis),
    /// Its connection is closed once this share of its body was read; it is not forwarded.
    CutRequest(f64),
    /// Processed as usual, but the connection is closed instead of sending the response.
    LoseAnswer,
    /// The response ends after this share of its body.
    CutAnswer(f64),
    /// The response body is sent over this long.
    SlowAnswer(Millis),
}

impl FailureKind {
    /// The names of the kinds, as orders and settings write them.
    pub const NAMES: [&'static str; 6] =
        ["refuse", "delay", "cut-request", "lose-answer", "cut-answer", "slow-answer"];

    /// The name of this kind.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refuse => "refuse",
            Self::Delay(_) => "delay",
            Self::CutRequest(_) => "cut-request",
            Self::LoseAnswer => "lose-answer",
            Self::CutAnswer(_) => "cut-answer",
            Self::SlowAnswer(_) => "slow-answer",
        }
    }

    /// Whether it occupies a slot for as long as it lasts.
    pub fn holds(self) -> bool {
        matches!(self, Self::Delay(_) | Self::SlowAnswer(_))
    }
}

/// The requested state of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Selected requests are counted and none fails.
    Dry,
    /// Selected requests fail within the order's time.
    Running,
    /// The order has no effect.
    Stopped,
}

impl State {
    /// All states with their names.
    pub const ALL: [(&'static str, Self); 3] =
        [("dry", Self::Dry), ("running", Self::Running), ("stopped", Self::Stopped)];

    /// The name of this state.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, state)| *state == self).map_or("", |(name, _)| name)
    }
}

/// A failure order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Its name.
    pub name: String,
    /// Which requests fail.
    pub selector: RequestSelector,
    /// How they fail.
    pub kind: FailureKind,
    /// Start, in ms since 1970.
    pub from: Millis,
    /// End, in ms since 1970.
    pub until: Millis,
    /// The most requests to fail, over all proxies.
    pub max_requests: u64,
    /// The most requests to fail each second, over all proxies.
    pub max_per_s: f64,
    /// Its requested state.
    pub state: State,
    /// The proxy incarnations that share `max_requests` and `max_per_s`, as [`proxy_id`] names them. Set by
    /// the registry that first accepted the order and the same for all its versions.
    pub sharing_proxies: BTreeSet<String>,
}

/// The name of a proxy's incarnation in orders.
pub fn proxy_id(host: impl std::fmt::Display, life: u64) -> String {
    format!("{host}/{life:x}")
}

/// What the operators' settings allow any order to do. Without them no order applies.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most requests that one order may fail.
    pub max_requests: u64,
    /// The most requests that one order may fail each second.
    pub max_per_s: f64,
    /// The longest duration of an order.
    pub max_duration: Duration,
    /// Allowed kinds, by the names of [`FailureKind`].
    pub kinds: BTreeSet<String>,
}

impl Limits {
    /// Checks an order against these limits.
    ///
    /// # Errors
    /// Names the limit that it exceeds.
    pub fn check(&self, order: &Order) -> Result<(), String> {
        let longest = self.max_duration.as_secs_f64() * 1000.0;
        if !self.kinds.contains(order.kind.name()) {
            return Err(format!("what: the settings do not allow {}", order.kind.name()));
        }
        if order.until - order.from > longest {
            return Err(format!("until: {:.0} s after `from` at most are allowed", longest / 1000.0));
        }
        if order.max_requests > self.max_requests || order.max_per_s > self.max_per_s {
            return Err(format!(
                "most: {} in all and {} a second at most are allowed",
                self.max_requests, self.max_per_s
            ));
        }
        Ok(())
    }
}
