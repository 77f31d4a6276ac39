//! The one closed list of what a caller can be told besides success, and the table from kind to answer.

use hyper::StatusCode;

/// Why a call has no success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It cannot be read.
    Malformed,
    /// It is read, and can't be.
    Invalid,
    /// It stands against a newer version.
    Conflict,
    /// There is no such thing.
    NotFound,
    /// The thing is there and does not take this method.
    MethodNotAllowed,
    /// It is too long.
    TooLarge,
    /// A key is missing or not known.
    InvalidKey,
    /// A quota is spent.
    OverQuota,
    /// Nobody can take it now; it has not run and will not.
    Overloaded,
    /// Nothing is known of how it went.
    OutcomeUnknown,
    /// A backend gave no usable answer.
    InvalidBackendResponse,
    /// A backend gave no answer in time.
    BackendTimeout,
}

/// Every kind, for tests and documents.
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
    /// The status that answers it, its name in logs, and what to do.
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

    /// The status that answers it.
    pub const fn status(self) -> StatusCode {
        self.description().0
    }

    /// Whether the answer is a promise that the call has not run and never will.
    pub const fn guarantees_not_executed(self) -> bool {
        matches!(self, Self::OverQuota | Self::Overloaded)
    }
}

/// A call without success: its kind, and what exactly, for who sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// The kind.
    pub kind: Kind,
    /// What exactly.
    pub text: String,
}

impl Failure {
    /// A failure of a kind.
    pub fn new(kind: Kind, text: impl Into<String>) -> Self {
        Self { kind, text: text.into() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_promises_have_the_status_of_one() {
        for kind in ALL {
            let (status, name, help) = kind.description();
            assert!(!name.is_empty() && !help.is_empty() && !status.is_success());
            // 429 and 503 say that nothing has run. To an operator a 503 says so too: it sends the same again.
            let promise = [429, 503, 408, 421].contains(&status.as_u16());
            assert_eq!(promise, kind.guarantees_not_executed() || kind == Kind::OutcomeUnknown, "{kind:?}");
        }
    }
}
