//! Failure orders: whom, what, how long, how many.

use crate::Millis;
use std::collections::BTreeSet;
use std::time::Duration;

/// Who asks for what, as the proxy has read it from the head of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The tenant that holds its key.
    pub tenant: &'a str,
    /// Its key.
    pub key: &'a str,
    /// Its route.
    pub route: &'a str,
    /// Its host, in small letters.
    pub host: &'a str,
    /// What repeating may do, as routes write it.
    pub route_kind: &'a str,
    /// The region of the proxy that it came to.
    pub region: &'a str,
}

/// Whom an order names: all that it says must hold; an empty list says nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSelector {
    /// Tenants by name.
    pub tenants: BTreeSet<String>,
    /// Keys by their fingerprints ([`fingerprint`]): an order shows no key.
    pub keys: BTreeSet<String>,
    /// Routes by name.
    pub routes: BTreeSet<String>,
    /// Hosts, in small letters.
    pub hosts: BTreeSet<String>,
    /// What repeating may do.
    pub route_kinds: BTreeSet<String>,
    /// Regions of entry.
    pub regions: BTreeSet<String>,
    /// So many of these, chosen by the requests' ids.
    pub share: f64,
}

/// A key as orders name it.
pub fn fingerprint(key: &str) -> String {
    format!("{:016x}", fennelscale_messages::hash(key.as_bytes()))
}

impl RequestSelector {
    /// Whether a request is named.
    pub fn matches(&self, order: &str, caller: &Caller<'_>) -> bool {
        let one_of = |set: &BTreeSet<String>, what: &str| set.is_empty() || set.contains(what);
        one_of(&self.tenants, caller.tenant)
            && one_of(&self.routes, caller.route)
            && one_of(&self.hosts, caller.host)
            && one_of(&self.route_kinds, caller.route_kind)
            && one_of(&self.regions, caller.region)
            && (self.keys.is_empty() || self.keys.contains(&fingerprint(caller.key)))
            && self.is_drawn(order, caller.id)
    }

    /// Whether everybody is named, or everybody of a region, a host or a kind: that asks for a second word.
    pub fn is_broad(&self) -> bool {
        self.tenants.is_empty() && self.keys.is_empty() && self.routes.is_empty()
    }

    /// The same requests at every proxy and in every build.
    fn is_drawn(&self, order: &str, id: &str) -> bool {
        let draw = fennelscale_messages::mix(
            fennelscale_messages::hash(order.as_bytes()) ^ fennelscale_messages::hash(id.as_bytes()),
        );
        self.share >= 1.0 || ((draw >> 11) as f64 / (1_u64 << 53) as f64) < self.share
    }
}

/// What happens to a request that is named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureKind {
    /// It is refused before it is sent on: it has not run and will not.
    Refuse,
    /// It is held for so long, then goes its way.
    Delay(Millis),
    /// Its connection is closed once so much of its body was read; it is not sent on.
    CutRequest(f64),
    /// It goes its way, and its answer is lost with the connection.
    LoseAnswer,
    /// Its answer ends after so much of its body.
    CutAnswer(f64),
    /// Its answer's body takes so long.
    SlowAnswer(Millis),
}

impl FailureKind {
    /// The kinds' names, as orders and settings write them.
    pub const NAMES: [&'static str; 6] =
        ["refuse", "delay", "cut-request", "lose-answer", "cut-answer", "slow-answer"];

    /// Its name.
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

    /// Whether it takes up room for as long as it lasts.
    pub fn holds(self) -> bool {
        matches!(self, Self::Delay(_) | Self::SlowAnswer(_))
    }
}

/// What is wanted of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Who would be met is counted; nobody is failed.
    Dry,
    /// In its time it fails whom it names.
    Running,
    /// It does nothing more.
    Stopped,
}

impl State {
    /// All, with their names.
    pub const ALL: [(&'static str, Self); 3] =
        [("dry", Self::Dry), ("running", Self::Running), ("stopped", Self::Stopped)];

    /// Its name.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, state)| *state == self).map_or("", |(name, _)| name)
    }
}

/// A failure order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Its name.
    pub name: String,
    /// Whom.
    pub selector: RequestSelector,
    /// What.
    pub kind: FailureKind,
    /// From when, in ms since 1970.
    pub from: Millis,
    /// Until when, in ms since 1970.
    pub until: Millis,
    /// How many at most, over all proxies.
    pub max_requests: u64,
    /// How many a second at most, over all proxies.
    pub max_per_s: f64,
    /// What is wanted of it.
    pub state: State,
    /// The lives of proxies that share `most` and `per_s`, as [`proxy_id`] names them. Said once, by the registry that took the order
    /// first; the same for all its versions.
    pub sharing_proxies: BTreeSet<String>,
}

/// A proxy's life as orders name it.
pub fn proxy_id(host: impl std::fmt::Display, life: u64) -> String {
    format!("{host}/{life:x}")
}

/// What the operators' settings allow any order to do. Without them none is heeded.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Requests that one order may fail.
    pub max_requests: u64,
    /// Requests a second that one order may fail.
    pub max_per_s: f64,
    /// How long one may last.
    pub max_duration: Duration,
    /// What one may do; the names of [`FailureKind`].
    pub kinds: BTreeSet<String>,
}

impl Limits {
    /// Why an order is more than is allowed.
    ///
    /// # Errors
    /// Which limit it is over.
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
