//! What an answer says about its request not having been executed, and on whose word. Performs no I/O.

use crate::backend_protocol::{INSTANCE_ID, NOT_EXECUTED};
use hyper::StatusCode;
use hyper::http::response;

/// Which backend an answer says that it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    /// The one that the request was meant for.
    Expected,
    /// Another one.
    Other,
    /// It names none, or more than one.
    Unknown,
}

impl Sender {
    fn of(head: &response::Parts, expected: &str) -> Self {
        let mut names = head.headers.get_all(INSTANCE_ID).iter();
        match (names.next(), names.next()) {
            (Some(name), None) if name == expected => Self::Expected,
            (Some(name), None) if !name.is_empty() => Self::Other,
            _ => Self::Unknown,
        }
    }
}

/// Why an answer may mean that its request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionClaim {
    /// The backend says so in the header for it.
    Header,
    /// It says so in the header, with status 421, and is not the one that the request was meant for.
    MisdirectedHeader,
    /// It says so in the header, but with a status that says the opposite.
    ContradictedHeader,
    /// Status 421 alone, of a backend that names itself, and is not the one that the request was meant for.
    OtherInstance,
    /// Status 421 alone, of the backend that the request was meant for.
    ExpectedInstance,
    /// Status 421 alone, of a backend that does not name itself.
    UnknownInstance,
}

impl RejectionClaim {
    /// The claim of an answer to a request that was meant for the backend `expected`; none if it makes none.
    pub fn of(head: &response::Parts, expected: &str) -> Option<Self> {
        let has_header = head.headers.contains_key(NOT_EXECUTED);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        match (has_header, is_misdirected) {
            (false, false) => None,
            (true, false) if head.status.is_success() || head.status.is_informational() => {
                Some(Self::ContradictedHeader)
            }
            (true, false) => Some(Self::Header),
            (true, true) => Some(match Sender::of(head, expected) {
                Sender::Expected => Self::Header,
                Sender::Other | Sender::Unknown => Self::MisdirectedHeader,
            }),
            (false, true) => Some(match Sender::of(head, expected) {
                Sender::Expected => Self::ExpectedInstance,
                Sender::Other => Self::OtherInstance,
                Sender::Unknown => Self::UnknownInstance,
            }),
        }
    }

    /// The name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Header => "header",
            Self::MisdirectedHeader => "misdirected_header",
            Self::ContradictedHeader => "contradicted_header",
            Self::OtherInstance => "other_instance",
            Self::ExpectedInstance => "expected_instance",
            Self::UnknownInstance => "unknown_instance",
        }
    }
}
