//! What an answer says about its request not having been executed, and on whose word. Performs no I/O.

use crate::backend_protocol::{INSTANCE_ID, NOT_EXECUTED};
use hyper::StatusCode;
use hyper::http::response;

/// Why an answer may mean that its request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionClaim {
    /// The backend says so in the header for it.
    Header,
    /// It says so in the header, but with a status that says the opposite.
    ContradictedHeader,
    /// Status 421 of a backend that names itself, and is not the one that the request was meant for.
    OtherInstance,
    /// Status 421 of the backend that the request was meant for.
    ExpectedInstance,
    /// Status 421 of a backend that does not name itself.
    UnknownInstance,
}

impl RejectionClaim {
    /// The claim of an answer to a request that was meant for the backend `expected`; none if it makes none.
    pub fn of(head: &response::Parts, expected: &str) -> Option<Self> {
        if head.headers.contains_key(NOT_EXECUTED) {
            let contradicts = head.status.is_success() || head.status.is_informational();
            return Some(if contradicts { Self::ContradictedHeader } else { Self::Header });
        }
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        let mut names = head.headers.get_all(INSTANCE_ID).iter();
        Some(match (names.next(), names.next()) {
            (Some(name), None) if name == expected => Self::ExpectedInstance,
            (Some(name), None) if !name.is_empty() => Self::OtherInstance,
            _ => Self::UnknownInstance,
        })
    }

    /// The name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Header => "header",
            Self::ContradictedHeader => "contradicted_header",
            Self::OtherInstance => "other_instance",
            Self::ExpectedInstance => "expected_instance",
            Self::UnknownInstance => "unknown_instance",
        }
    }
}
