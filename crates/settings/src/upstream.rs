//! Connections to backends, as operators say it: which are used again, and how answers are known to be a request's own.
//! Package `wire` acts by it.

use crate::file::Fault;
use crate::units::{Quantity, Time};
use serde::Deserialize;

type Ms = Quantity<Time>;

/// Classes that can be named: each request of an operator who names any is compared with all.
const MOST_CLASSES: usize = 64;
/// Longer rests would leave no connection to be used again.
const LONGEST_REST: f64 = 10_000.0;
/// A backend that takes longer for its first byte is no measure of what is too fast.
const LONGEST_FASTEST: f64 = 1000.0;
/// Later than that a fault says nothing of today.
const LONGEST_AFTER: f64 = 86_400_000.0;

/// All that is said of connections to backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Upstream {
    /// A connection that carried an answer is not used again for this long. What a backend writes right behind an answer
    /// is seen in this time; what comes later is seen too if it comes before the next request is written.
    pub rest: Ms,
    /// After bytes for nobody came from a backend, connections to it carry one request each for this long; 0 is off.
    pub after_fault: Ms,
    /// No backend answers sooner than this after a request's last byte; 0 is not known.
    pub fastest_answer: Ms,
    /// Requests that go out on new connections only.
    pub own_connection: OwnConnection,
    /// How answers name their request; none where they don't.
    pub identity: Option<IdentityRule>,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            rest: Ms::of(5.0),
            after_fault: Ms::of(0.0),
            fastest_answer: Ms::of(0.0),
            own_connection: OwnConnection::default(),
            identity: None,
        }
    }
}

/// Whose requests never go out on a connection that has carried another's.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct OwnConnection {
    /// Those that must not be repeated.
    #[serde(rename = "unsafe")]
    pub unsafe_requests: bool,
    /// Those of these classes.
    pub classes: Vec<String>,
}

/// A header of answers that repeats the request's `Req-Id`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct IdentityRule {
    /// Its name, held in lower case.
    #[serde(deserialize_with = "lower_case")]
    pub header: String,
    /// Whether an answer without it is nobody's.
    #[serde(default)]
    pub required: bool,
}

fn lower_case<'de, D: serde::Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    String::deserialize(from).map(|name| name.to_ascii_lowercase())
}

/// Headers that belong to the connection or to the body's framing: they name no request.
const FRAMING: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer", "te"];

/// Whether a name may be a header's, by RFC 9110, section 5.6.2.
fn is_token(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

impl Upstream {
    pub(crate) fn check(&self) -> Result<(), Fault> {
        let fault = |key: &str, what: &str| Err((format!("upstream.{key}"), what.to_owned()));
        if self.rest.0 > LONGEST_REST {
            return fault("rest", "must be 10s at most: free connections are closed after that");
        }
        if self.after_fault.0 > LONGEST_AFTER {
            return fault("after-fault", "must be 1440min at most");
        }
        if self.fastest_answer.0 > LONGEST_FASTEST {
            return fault(
                "fastest-answer",
                "must be 1s at most: slower answers would all be taken for foreign",
            );
        }
        let classes = &self.own_connection.classes;
        if classes.len() > MOST_CLASSES || classes.iter().any(|class| class.is_empty() || class.contains('/'))
        {
            return fault(
                "own-connection.classes",
                "must be 64 classes at most, each the first part of a path",
            );
        }
        match &self.identity {
            Some(rule) if !is_token(&rule.header) || FRAMING.contains(&rule.header.as_str()) => {
                fault("identity.header", "must be the name of a header that backends repeat the Req-Id in")
            }
            _ => Ok(()),
        }
    }
}
