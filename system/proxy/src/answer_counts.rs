//! Counts of answers, for metrics: those of backends by how they were taken, and those that clients received by who
//! made them.

use crate::rejection_claim::RejectionClaim;
use hyper::StatusCode;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Statuses that promise a client that its request has not run and never will.
pub const PROMISING_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Who made an answer that a client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Author {
    /// A backend.
    Backend,
    /// This proxy.
    Proxy,
}

impl Author {
    /// The name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Backend => "backend",
            Self::Proxy => "proxy",
        }
    }
}

/// The statuses of a group, as metrics show them: each promising status alone, the others by their first digit.
pub fn status_name(status: StatusCode) -> &'static str {
    match status.as_u16() {
        408 => "408",
        421 => "421",
        429 => "429",
        503 => "503",
        100..=199 => "1xx",
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        500..=599 => "5xx",
        _ => "other",
    }
}

/// Answers that claim that their requests were not executed, and are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimGroup {
    /// On whose word.
    pub claim: RejectionClaim,
    /// What their connections had carried before.
    pub connection: &'static str,
    /// How they were taken.
    pub taken: &'static str,
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct AnswerCounts {
    /// Answers of backends, by status and by how they were taken.
    received: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    /// Answers of backends that claim that a request was not executed.
    claims: RefCell<BTreeMap<ClaimGroup, u64>>,
    /// Answers given to clients, by status and author.
    given: RefCell<BTreeMap<(&'static str, Author), u64>>,
}

impl AnswerCounts {
    /// Counts an answer of a backend.
    pub fn record_received(&self, status: StatusCode, taken: &'static str) {
        *self.received.borrow_mut().entry((status_name(status), taken)).or_default() += 1;
    }

    /// Counts an answer of a backend that claims that its request was not executed.
    pub fn record_claim(&self, claim: RejectionClaim, connection: &'static str, taken: &'static str) {
        let group = ClaimGroup { claim, connection, taken };
        *self.claims.borrow_mut().entry(group).or_default() += 1;
    }

    /// Counts an answer that a client is given.
    pub fn record_given(&self, status: StatusCode, author: Author) {
        *self.given.borrow_mut().entry((status_name(status), author)).or_default() += 1;
    }

    /// Calls `visit` with the status, the way it was taken and the count of each group of backends' answers.
    pub fn for_each_received(&self, mut visit: impl FnMut(&'static str, &'static str, u64)) {
        for ((status, taken), count) in self.received.borrow().iter() {
            visit(status, taken, *count);
        }
    }

    /// Calls `visit` with each group of claims and its count.
    pub fn for_each_claim(&self, mut visit: impl FnMut(ClaimGroup, u64)) {
        self.claims.borrow().iter().for_each(|(group, count)| visit(*group, *count));
    }

    /// Calls `visit` with the status, the author and the count of each group of answers to clients.
    pub fn for_each_given(&self, mut visit: impl FnMut(&'static str, Author, u64)) {
        for ((status, author), count) in self.given.borrow().iter() {
            visit(status, *author, *count);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_promising_status_has_a_name_of_its_own() {
        for status in PROMISING_STATUSES {
            assert_eq!(status_name(status), status.as_str());
        }
        assert_eq!(status_name(StatusCode::BAD_GATEWAY), "5xx");
        assert_eq!(status_name(StatusCode::NOT_FOUND), "4xx");
    }

    #[test]
    fn answers_are_counted_by_status_and_by_how_they_were_taken_or_who_made_them() {
        let counts = AnswerCounts::default();
        counts.record_received(StatusCode::SERVICE_UNAVAILABLE, "full");
        counts.record_received(StatusCode::SERVICE_UNAVAILABLE, "served");
        counts.record_received(StatusCode::SERVICE_UNAVAILABLE, "served");
        counts.record_given(StatusCode::SERVICE_UNAVAILABLE, Author::Backend);
        let mut received = Vec::new();
        counts.for_each_received(|status, taken, count| received.push((status, taken, count)));
        assert_eq!(received, [("503", "full", 1), ("503", "served", 2)]);
        let mut given = Vec::new();
        counts.for_each_given(|status, author, count| given.push((status, author.name(), count)));
        assert_eq!(given, [("503", "backend", 1)]);
    }
}
