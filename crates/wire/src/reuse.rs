//! Which connections to backends may carry a request, and whose an answer is.
//!
//! Guarantee: with [`ReusePolicy`] asked at the places its methods name, a request never has bytes for its answer that had
//! reached the gateway's machine when it last looked, just before the request's first byte was written, and none that
//! came before the request's last byte was. The machine of `life::connection` holds the second half.
//!
//! What remains can come only after that look, and only from a backend that writes what nobody asked for: a whole
//! answer, well formed, between the look and the true answer. [`ReusePolicy::needs_new_connection`] closes it for the requests that an
//! operator names, [`ReusePolicy::may_reuse`] for a while after any fault that was seen, [`ReusePolicy::is_for_other_request`] altogether
//! where backends name the request that they answer.

use fennelscale_settings::upstream::{IdentityRule, Upstream};
use std::time::Duration;

/// Why bytes are taken for nobody's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseFault {
    /// They came when no request was out, or before the first byte of one was written.
    Unsolicited,
    /// They began before the request's last byte was written.
    Early,
    /// They began sooner after that than any backend answers.
    TooFast,
    /// They name another request, or none where one must be named.
    WrongRequest,
}

/// The rules in force.
#[derive(Clone, Debug)]
pub struct ReusePolicy {
    rest: Duration,
    own_unsafe: bool,
    own_classes: Vec<String>,
    after_fault: Duration,
    fastest_answer: Duration,
    identity: Option<IdentityRule>,
}

fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

impl ReusePolicy {
    /// The rules that operators' settings give.
    pub fn new(settings: &Upstream) -> Self {
        Self {
            rest: span(settings.rest.0),
            own_unsafe: settings.own_connection.unsafe_requests,
            own_classes: settings.own_connection.classes.clone(),
            after_fault: span(settings.after_fault.0),
            fastest_answer: span(settings.fastest_answer.0),
            identity: settings.identity.clone(),
        }
    }

    /// Whether a request goes out only on a connection that has carried nothing yet. `path` is that of its target; its
    /// first part is the class.
    pub fn needs_new_connection(&self, repeatable: bool, path: &str) -> bool {
        if self.own_unsafe && !repeatable {
            return true;
        }
        // Most name none, and then no path is looked at.
        !self.own_classes.is_empty() && {
            let class = path.trim_start_matches('/').split('/').next().unwrap_or("");
            self.own_classes.iter().any(|own| own == class)
        }
    }

    /// Whether a connection that became free so long ago may carry the next request.
    pub fn is_idle_long_enough(&self, free_for: Duration) -> bool {
        free_for >= self.rest
    }

    /// Whether connections to a backend may be kept and used again; `since_fault` is how long ago bytes for nobody were
    /// last seen from it, none for never.
    pub fn may_reuse(&self, since_fault: Option<Duration>) -> bool {
        since_fault.is_none_or(|since| since >= self.after_fault)
    }

    /// Whether an answer whose first byte came so long after the request's last byte was written can't be one to it.
    pub fn is_too_fast(&self, after: Duration) -> bool {
        after < self.fastest_answer
    }

    /// Whether the time from a request's last byte to its answer's first is looked at.
    pub fn measures_response_time(&self) -> bool {
        !self.fastest_answer.is_zero()
    }

    /// The header that names the request in an answer, where there is one.
    pub fn identity_header(&self) -> Option<&str> {
        self.identity.as_ref().map(|rule| rule.header.as_str())
    }

    /// Whether a whole answer is another request's, by what it says: `named` is the value of [`Self::identity_header`],
    /// `asked` the id of the request that waits for it.
    pub fn is_for_other_request(&self, named: Option<&[u8]>, asked: &[u8]) -> bool {
        match (&self.identity, named) {
            (None, _) => false,
            (Some(_), Some(named)) => named != asked,
            (Some(rule), None) => rule.required,
        }
    }
}
