//! All errors that an API caller or client can receive, and the table from error kind to response.

use hyper::StatusCode;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request cannot be parsed.
    Malformed,
    /// The request is well-formed but its content is invalid.
    Invalid,
    /// It conflicts with a newer version.
    Conflict,
    /// The resource does not exist.
    NotFound,
    /// The resource exists but does not support this method.
    MethodNotAllowed,
    /// The request is too large.
    TooLarge,
    /// The API key is missing or unknown.
    InvalidKey,
    /// A quota is exhausted.
    OverQuota,
    /// There is no capacity for it now; it has not been executed and will not be.
    Overloaded,
    /// Whether it was executed is unknown.
    OutcomeUnknown,
    /// A backend sent an unusable response.
    InvalidBackendResponse,
    /// A backend did not respond in time.
    BackendTimeout,
}

/// Every kind, for tests and documentation.
pub const ALL: [Kind; 12] = [
    Kind::Malformed,
    Kind::Invalid,
    Kind::Conflict,
    Kind::NotFound,
    Kind::MethodNotAllowed,
    Kind::TooLarge,
    Kind::InvalidKey,
    Kind::OverQuota,
    Kind::Overloaded,
    Kind::OutcomeUnknown,
    Kind::InvalidBackendResponse,
    Kind::BackendTimeout,
];

impl Kind {
    /// The response status, the name in logs and response bodies, and the help text.
    pub const fn description(self) -> (StatusCode, &'static str, &'static str) {
        match self {
            Self::Malformed => {
                (StatusCode::BAD_REQUEST, "malformed", "send a whole request in the form of the protocol")
            }
            Self::Invalid => (StatusCode::BAD_REQUEST, "invalid", "change what is named and send it again"),
            Self::Conflict => (StatusCode::CONFLICT, "conflict", "read the items and send a higher version"),
            Self::NotFound => (StatusCode::NOT_FOUND, "not-found", "check host and path"),
            Self::MethodNotAllowed => (StatusCode::METHOD_NOT_ALLOWED, "method", "check the method"),
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too-large", "send less at once"),
            Self::InvalidKey => {
                (StatusCode::UNAUTHORIZED, "no-key", "send a key of a tenant, alone, in X-Api-Key")
            }
            Self::OverQuota => (StatusCode::TOO_MANY_REQUESTS, "over-quota", "come back after Retry-After"),
            Self::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "no-room", "come back after Retry-After"),
            Self::OutcomeUnknown => {
                (StatusCode::SERVICE_UNAVAILABLE, "unclear", "send it again unchanged, to any gateway")
            }
            Self::InvalidBackendResponse => {
                (StatusCode::BAD_GATEWAY, "bad-answer", "repeat it only if it may run twice")
            }
            Self::BackendTimeout => {
                (StatusCode::GATEWAY_TIMEOUT, "no-answer", "repeat it only if it may run twice")
            }
        }
    }

    /// The response status.
    pub const fn status(self) -> StatusCode {
        self.description().0
    }

    /// Whether the response guarantees that the call has not been executed and never will be.
    pub const fn guarantees_not_executed(self) -> bool {
        matches!(self, Self::OverQuota | Self::Overloaded)
    }
}

/// Maximum length of the details of a failure, in bytes.
const MAX_TEXT: usize = 1000;

/// A failed call: the kind of error and the details for the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// The kind of error.
    pub kind: Kind,
    /// The details.
    pub text: String,
}

impl Failure {
    /// Creates a failure. Details that quote a caller may be as long as its call; only their beginning is kept.
    pub fn new(kind: Kind, text: impl Into<String>) -> Self {
        let mut text = text.into();
        if text.len() > MAX_TEXT {
            text = text[..text.floor_char_boundary(MAX_TEXT)].to_owned();
        }
        Self { kind, text }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn details_are_cut_between_characters() {
        assert_eq!(Failure::new(Kind::Invalid, "short").text, "short");
        let text = Failure::new(Kind::Invalid, format!("x{}", "é".repeat(MAX_TEXT))).text;
        assert_eq!(text.len(), MAX_TEXT - 1);
    }

    #[test]
    fn only_unexecuted_calls_get_a_status_that_says_so() {
        for kind in ALL {
            let (status, name, help) = kind.description();
            assert!(!name.is_empty() && !help.is_empty() && !status.is_success());
            // 429 and 503 say that nothing was executed. `OutcomeUnknown` also uses 503: the operator repeats
            // the same call.
            let retry_is_safe = [429, 503, 408, 421].contains(&status.as_u16());
            assert_eq!(
                retry_is_safe,
                kind.guarantees_not_executed() || kind == Kind::OutcomeUnknown,
                "{kind:?}"
            );
        }
    }
}
