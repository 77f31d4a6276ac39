//! Which backend connections may carry a request, and which request a response belongs to.
//!
//! Guarantee: with [`ReusePolicy`] consulted where its methods say, a request never receives as its response
//! bytes that had reached the gateway's machine at the last check, just before the request's first byte was
//! written, nor bytes that arrived before the request's last byte was written, unless they name the request. The
//! state machine of `life::connection` tells such an early response from others.
//!
//! What remains can only arrive after that check, and only from a backend that writes unrequested bytes: a
//! complete, well-formed response between the check and the true response.
//! [`ReusePolicy::needs_new_connection`] excludes this for the requests that an operator names,
//! [`ReusePolicy::may_reuse`] for a while after any detected fault, and [`ReusePolicy::is_for_other_request`]
//! altogether where backends name the request that they answer.

use fennelscale_settings::upstream::{IdentityRule, Upstream};
use fennelscale_time::from_millis;
use std::time::Duration;

/// Why bytes are treated as belonging to no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseFault {
    /// They arrived without an outstanding request, or before the first byte of one was written.
    Unsolicited,
    /// They began before the request's last byte was written, and do not name the request.
    Early,
    /// They began sooner after the request's last byte than any backend responds.
    TooFast,
    /// They are parts of more than one response.
    RunTogether,
    /// They name another request, or none although naming one is required.
    WrongRequest,
}

/// The rules for reusing backend connections.
#[derive(Clone, Debug)]
pub struct ReusePolicy {
    min_idle: Duration,
    isolate_unsafe: bool,
    isolated_classes: Vec<String>,
    after_fault: Duration,
    fastest_answer: Duration,
    identity: Option<IdentityRule>,
}

impl ReusePolicy {
    /// Creates the policy from the operators' settings.
    pub fn new(settings: &Upstream) -> Self {
        Self {
            min_idle: from_millis(settings.rest.0),
            isolate_unsafe: settings.own_connection.unsafe_requests,
            isolated_classes: settings.own_connection.classes.clone(),
            after_fault: from_millis(settings.after_fault.0),
            fastest_answer: from_millis(settings.fastest_answer.0),
            identity: settings.identity.clone(),
        }
    }

    /// Whether a request may only use a connection that has carried nothing yet. `path` is the path of the
    /// request target; its first segment is the class.
    pub fn needs_new_connection(&self, repeatable: bool, path: &str) -> bool {
        if self.isolate_unsafe && !repeatable {
            return true;
        }
        // Most settings name no class; the path is not parsed then.
        !self.isolated_classes.is_empty() && {
            let class = path.trim_start_matches('/').split('/').next().unwrap_or("");
            self.isolated_classes.iter().any(|isolated| isolated == class)
        }
    }

    /// Whether a connection that has been idle for `idle_for` may carry the next request.
    pub fn is_idle_long_enough(&self, idle_for: Duration) -> bool {
        idle_for >= self.min_idle
    }

    /// Whether connections to a backend may be reused. `since_fault` is the time since bytes that belong to
    /// no request were last received from it; none if that never happened.
    pub fn may_reuse(&self, since_fault: Option<Duration>) -> bool {
        since_fault.is_none_or(|since| since >= self.after_fault)
    }

    /// Whether a response whose first byte came `after` the request's last byte was written is too fast to be
    /// its own.
    pub fn is_too_fast(&self, after: Duration) -> bool {
        after < self.fastest_answer
    }

    /// Whether the time from a request's last byte to its response's first byte is checked.
    pub fn measures_response_time(&self) -> bool {
        !self.fastest_answer.is_zero()
    }

    /// The response header that names the request, if one is configured.
    pub fn identity_header(&self) -> Option<&str> {
        self.identity.as_ref().map(|rule| rule.header.as_str())
    }

    /// Whether a complete response names the request with the id `expected`. Only such a response may begin
    /// before the request's last byte is written.
    pub fn names_request(&self, named: Option<&[u8]>, expected: &[u8]) -> bool {
        self.identity.is_some() && named == Some(expected)
    }

    /// Whether a complete response names another request: `named` is the value of [`Self::identity_header`],
    /// `expected` the id of the request that waits for it.
    pub fn is_for_other_request(&self, named: Option<&[u8]>, expected: &[u8]) -> bool {
        match (&self.identity, named) {
            (None, _) => false,
            (Some(_), Some(named)) => named != expected,
            (Some(rule), None) => rule.required,
        }
    }
}
