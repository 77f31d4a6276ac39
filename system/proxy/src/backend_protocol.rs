//! The protocol between proxy and backends on top of HTTP: headers, verdicts on answers, and the health
//! probe.

use crate::answer_counts::{AnswerCounts, PROMISING_STATUSES};
use crate::rejection_claim::RejectionClaim;
use crate::request_trace::RequestTrace;
use doorcourse::Name;
use fennelscale_dataplane::back::backends::{ConnectionHistory, ExchangeContext, Message, Protocol, Verdict};
use fennelscale_dataplane::back::connection::Progress;
use hyper::Request;
use hyper::header::{CONTENT_ENCODING, HOST, HeaderName, HeaderValue};
use hyper::http::request::Builder;
use hyper::http::response;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The id of a request, in the request and in its answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("fennelscale-request-id");
/// How long the client waits, in ms.
pub const DEADLINE: HeaderName = HeaderName::from_static("fennelscale-deadline-ms");
/// The backend that a request is meant for.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("fennelscale-expected-instance");
/// The backend that gave an answer.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("fennelscale-instance-id");
/// The tenant of a request's API key.
pub const TENANT: HeaderName = HeaderName::from_static("fennelscale-tenant-name");
/// The signature of a backend's answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("fennelscale-response-signature");
/// Set by a backend that did not execute a request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("fennelscale-not-executed");

/// The protocol of one service.
pub struct BackendProtocol {
    /// The path of the health check.
    pub health_path: String,
    /// The record of what happens to requests.
    pub trace: Rc<RefCell<RequestTrace>>,
    /// Zero of the clock of the trace.
    pub started_at: Instant,
    /// Counts of the answers of backends.
    pub answer_counts: Rc<AnswerCounts>,
}

impl Protocol for BackendProtocol {
    fn build_request(
        &self, message: &Message, backend: &Name, address: SocketAddr, remaining: Duration,
    ) -> Builder {
        let mut builder = Request::builder().method(message.method.clone()).uri(message.target.clone());
        if let Some(headers) = builder.headers_mut() {
            headers.clone_from(&message.headers);
        }
        let now = self.started_at.elapsed().as_secs_f64() * 1000.0;
        self.trace.borrow_mut().record_attempt(
            now,
            fennelscale_messages::hash(message.id.as_bytes()),
            backend,
        );
        if !message.headers.contains_key(HOST) {
            builder = builder.header(HOST, address.to_string());
        }
        builder
            .header(REQUEST_ID, message.id.clone())
            .header(DEADLINE, remaining.as_millis().to_string())
            .header(EXPECTED_INSTANCE, &**backend)
    }

    fn verdict(&self, head: &response::Parts, exchange: &ExchangeContext<'_>) -> Verdict {
        let claim = RejectionClaim::of(head, exchange.backend);
        let verdict = verdict(head, claim, exchange);
        let outcome = match verdict {
            Verdict::Misdirected => "not-it",
            Verdict::Rejected => "full",
            Verdict::Error => "unusable",
            Verdict::Served => "served",
        };
        self.answer_counts.record_received(head.status, outcome);
        let connection = connection_name(exchange.connection);
        if let Some(claim) = claim {
            self.answer_counts.record_claim(claim, connection, outcome);
        }
        if let Some(id) = head.headers.get(REQUEST_ID) {
            let status = head.status.as_u16();
            let id = fennelscale_messages::hash(id.as_bytes());
            self.trace.borrow_mut().record_answer(id, status, outcome, connection);
        }
        verdict
    }

    fn record_break(&self, id: &HeaderValue, progress: Progress) {
        let id = fennelscale_messages::hash(id.as_bytes());
        self.trace.borrow_mut().record_break(id, break_name(progress));
    }

    fn probe_path(&self) -> &str {
        &self.health_path
    }
}

/// How far a request got whose attempt ended without an answer, in metrics and traces.
pub fn break_name(progress: Progress) -> &'static str {
    match progress {
        Progress::Unsent => "unsent",
        Progress::Partly => "part_written",
        Progress::Whole => "written",
        Progress::Spoilt => "unusable_answer",
    }
}

/// What a connection had carried before a request, in metrics and traces.
const fn connection_name(history: ConnectionHistory) -> &'static str {
    match history {
        ConnectionHistory::New => "new",
        ConnectionHistory::Kept => "kept",
    }
}

fn verdict(head: &response::Parts, claim: Option<RejectionClaim>, exchange: &ExchangeContext<'_>) -> Verdict {
    claim
        .map_or_else(|| verdict_without_claim(head, exchange.repeatable), |claim| verdict_on(claim, exchange))
}

/// The verdict on an answer that claims that its request was not executed. It is believed only if nothing speaks against
/// it: whatever is not clearly a rejection leaves the request in doubt.
fn verdict_on(claim: RejectionClaim, exchange: &ExchangeContext<'_>) -> Verdict {
    match claim {
        RejectionClaim::Header => Verdict::Rejected,
        RejectionClaim::MisdirectedHeader => Verdict::Misdirected,
        // Every request names the backend that it is meant for, so the right one is at the other end of a connection
        // on which an earlier request was answered.
        RejectionClaim::OtherInstance if exchange.connection == ConnectionHistory::New => {
            Verdict::Misdirected
        }
        RejectionClaim::OtherInstance
        | RejectionClaim::ContradictedHeader
        | RejectionClaim::ExpectedInstance
        | RejectionClaim::UnknownInstance => Verdict::Error,
    }
}

fn verdict_without_claim(head: &response::Parts, repeatable: bool) -> Verdict {
    let is_valid = head.headers.contains_key(SIGNATURE) && !head.headers.contains_key(CONTENT_ENCODING);
    match head.status {
        // Only the header says that a request was not executed, but the client would read that from the status.
        status if PROMISING_STATUSES.contains(&status) => Verdict::Error,
        // An interim answer is not the answer to a request.
        status if status.is_informational() => Verdict::Error,
        status if status.is_success() && !is_valid => Verdict::Error,
        // The request was executed and failed. A repeatable one is retried on another backend.
        status if status.is_server_error() && repeatable => Verdict::Error,
        _ => Verdict::Served,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::Response;

    const EXPECTED: &str = "i-expected";

    fn verdict_of(status: u16, headers: &[(&str, &str)], repeatable: bool) -> Verdict {
        let answer = headers.iter().fold(Response::builder().status(status), |a, (k, v)| a.header(*k, *v));
        verdict_on_connection(ConnectionHistory::New, &answer.body(()).unwrap().into_parts().0, repeatable)
    }

    fn verdict_on_connection(
        connection: ConnectionHistory, head: &response::Parts, repeatable: bool,
    ) -> Verdict {
        let exchange = ExchangeContext { backend: &EXPECTED.into(), repeatable, connection };
        verdict(head, RejectionClaim::of(head, EXPECTED), &exchange)
    }

    #[test]
    fn a_success_must_be_signed_and_without_421_only_the_header_means_not_executed() {
        let signed = ("fennelscale-response-signature", "s");
        assert_eq!(verdict_of(200, &[signed], false), Verdict::Served);
        assert_eq!(verdict_of(200, &[], false), Verdict::Error);
        assert_eq!(verdict_of(200, &[signed, ("content-encoding", "gzip")], false), Verdict::Error);
        assert_eq!(verdict_of(503, &[("fennelscale-not-executed", "1")], true), Verdict::Rejected);
        assert_eq!(verdict_of(500, &[], false), Verdict::Served);
        assert_eq!(verdict_of(500, &[], true), Verdict::Error);
        assert_eq!(verdict_of(404, &[signed], true), Verdict::Served);
    }

    /// Guards against REFUSED and TWICE: any 421 was believed, also that of a backend that had run its request.
    #[test]
    fn a_421_without_the_header_is_believed_of_another_backend_on_a_new_connection_only() {
        let name = "fennelscale-instance-id";
        let forms: [(&[(&str, &str)], bool); 6] = [
            (&[], false),
            (&[(name, "")], false),
            (&[(name, EXPECTED)], false),
            (&[(name, "i-other"), (name, EXPECTED)], false),
            (&[(name, EXPECTED), ("fennelscale-response-signature", "s")], false),
            (&[(name, "i-other")], true),
        ];
        for repeatable in [false, true] {
            for (headers, is_other) in forms {
                let answer =
                    headers.iter().fold(Response::builder().status(421), |a, (k, v)| a.header(*k, *v));
                let head = answer.body(()).unwrap().into_parts().0;
                let on = |connection| verdict_on_connection(connection, &head, repeatable);
                let expected = if is_other { Verdict::Misdirected } else { Verdict::Error };
                assert_eq!(on(ConnectionHistory::New), expected, "{headers:?}");
                assert_eq!(on(ConnectionHistory::Kept), Verdict::Error, "{headers:?}");
            }
        }
    }

    #[test]
    fn a_421_with_the_header_leaves_the_backend_unless_it_is_the_right_one() {
        let not_executed = ("fennelscale-not-executed", "1");
        let verdict = |name| verdict_of(421, &[not_executed, ("fennelscale-instance-id", name)], false);
        assert_eq!(verdict("i-other"), Verdict::Misdirected);
        assert_eq!(verdict(EXPECTED), Verdict::Rejected);
    }

    /// Guards against REFUSED: a client was given the 503, 429 or 408 of a backend that had run its request.
    #[test]
    fn a_status_that_promises_is_never_served() {
        let signed = ("fennelscale-response-signature", "s");
        let not_executed = ("fennelscale-not-executed", "1");
        for repeatable in [false, true] {
            for status in 100..600 {
                let is_promise = [408, 421, 429, 503].contains(&status);
                for headers in [&[signed][..], &[]] {
                    let verdict = verdict_of(status, headers, repeatable);
                    assert!(!is_promise || verdict != Verdict::Served, "{status}, {headers:?}");
                    assert!(verdict != Verdict::Rejected, "{status}, {headers:?}: nobody said so");
                    assert!(status >= 200 || verdict == Verdict::Error, "{status} is interim");
                }
                let verdict = verdict_of(status, &[signed, not_executed], repeatable);
                let expected = match status {
                    421 => Verdict::Misdirected,
                    100..300 => Verdict::Error,
                    _ => Verdict::Rejected,
                };
                assert_eq!(verdict, expected, "{status}, not executed");
            }
        }
    }
}
