//! Attempts whose backend answers, or ends the connection, before it has read the request: what they are reported as,
//! with backends that name the request which they answer and with backends that do not.

use bytes::Bytes;
use doorcourse::{BackendEntry, BackendState, LoadReportSource, Name, Outcome};
use fennelscale_dataplane::back::backends::{
    Backends, ConnectionLimits, ExchangeContext, Message, Protocol, UsedConnections, Verdict,
};
use fennelscale_memory::ledger::MemoryLedger;
use fennelscale_settings::list::{Host, List};
use fennelscale_settings::upstream::{IdentityRule, Upstream};
use fennelscale_wire::reuse::ReusePolicy;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Larger than the buffers of a connection, so that the last byte is not written when the backend acts.
const LONG_BODY: usize = 32 << 20;
/// Long enough for a busy machine.
const LONG: Duration = Duration::from_secs(60);
const BACKEND: &str = "backend";
const REQUEST_ID: &str = "request-1";

/// Backends name the request that they answer in `req-id`; `declined` says that it was not executed.
struct TestProtocol;

impl Protocol for TestProtocol {
    fn build_request(&self, message: &Message, _: &Name, address: SocketAddr, _: Duration) -> Builder {
        Request::post(message.target.clone())
            .header("Host", address.to_string())
            .header("Req-Id", message.id.clone())
    }

    fn verdict(&self, head: &response::Parts, _: &ExchangeContext<'_>) -> Verdict {
        if head.headers.contains_key("declined") { Verdict::Rejected } else { Verdict::Served }
    }

    fn probe_path(&self) -> &str {
        "/health"
    }
}

/// Sends a long request to a backend that writes `early` once it has read a part of it, then closes the connection
/// or reads on. Returns the outcome, and whether the backend may still be at work.
async fn outcome(identity: Option<IdentityRule>, early: &str, reads_on: bool) -> (Outcome, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let reuse = ReusePolicy::new(&Upstream { identity, ..Upstream::default() });
    let limits = ConnectionLimits {
        max_connections: 4,
        max_body: 100,
        answer_timeout: LONG,
        memory: MemoryLedger::unbounded(),
    };
    let backends = Backends::new(LONG, LONG, LoadReportSource::None, reuse, Rc::new(TestProtocol), limits);
    let state = BackendState::Ready;
    let entry = BackendEntry { name: BACKEND.into(), zone: "z".into(), cell: 0, state, started: None };
    backends.update(&List { seq: 1, whole: true, hosts: vec![Host { entry, dial: address }] });
    let message = Message {
        method: Method::POST,
        target: "/x".parse().expect("a path"),
        id: HeaderValue::from_static(REQUEST_ID),
        repeatable: false,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; LONG_BODY]),
        used_connections: UsedConnections::default(),
    };
    let backend = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut part = vec![0; 1 << 16];
        stream.read_exact(&mut part).await.expect("a part of the request");
        stream.write_all(early.as_bytes()).await.expect("written");
        while reads_on && matches!(stream.read(&mut part).await, Ok(1..)) {}
    };
    let (_cancel, cancelled) = oneshot::channel();
    let name = Name::from(BACKEND);
    let attempt = backends.attempt(&name, message, Instant::now() + LONG, None, cancelled);
    let (end, ()) = tokio::join!(attempt, backend);
    (end.outcome, !backends.busy_backends().is_empty())
}

fn identity(required: bool) -> Option<IdentityRule> {
    Some(IdentityRule { header: "req-id".to_owned(), required })
}

fn answer(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 1\r\n\r\nx")
}

/// Guards against a second execution: an early answer was discarded and its request taken for one that never ran.
#[tokio::test]
async fn an_early_answer_counts_only_if_it_names_its_request() {
    let own = format!("Req-Id: {REQUEST_ID}\r\n");
    let declined = format!("{own}Declined: 1\r\n");
    let foreign = "Req-Id: request-2\r\n";
    for (rule, headers, expected) in [
        (identity(true), own.as_str(), Outcome::Served),
        (identity(false), &own, Outcome::Served),
        (identity(true), &declined, Outcome::Rejected),
        (identity(true), foreign, Outcome::Error),
        (identity(false), foreign, Outcome::Error),
        (identity(false), "", Outcome::Error),
        (identity(false), "Declined: 1\r\n", Outcome::Error),
        // Nothing tells it from the late answer to an earlier request.
        (None, &own, Outcome::Error),
        (None, &declined, Outcome::Error),
    ] {
        for status in ["200 OK", "500 Internal Server Error"] {
            let required = rule.as_ref().map(|rule| rule.required);
            let (outcome, _) = outcome(rule.clone(), &answer(status, headers), true).await;
            assert_eq!(outcome, expected, "{status}, {headers:?}, named: {required:?}");
        }
    }
}

/// Guards against a second execution: a request written in part was taken for one that never ran.
#[tokio::test]
async fn a_request_whose_connection_ends_before_its_last_byte_may_have_run() {
    for rule in [identity(true), None] {
        let (ended, _) = outcome(rule.clone(), "", false).await;
        assert_eq!(ended, Outcome::ConnectionLost);
        assert!(!ended.never_ran());
        let (cut, _) = outcome(rule, "HTTP/1.1 200 OK\r\nContent-Le", false).await;
        assert_eq!(cut, Outcome::Error);
    }
}

/// Guards against a backend that is taken for idle while it runs a request which it has not answered.
#[tokio::test]
async fn a_backend_may_be_at_work_after_an_answer_that_is_not_its_own() {
    let own = format!("Req-Id: {REQUEST_ID}\r\n");
    assert_eq!(outcome(identity(true), &answer("200 OK", &own), true).await, (Outcome::Served, false));
    assert_eq!(
        outcome(identity(true), &answer("200 OK", "Req-Id: request-2\r\n"), true).await,
        (Outcome::Error, true)
    );
    assert_eq!(outcome(identity(true), "", false).await, (Outcome::ConnectionLost, true));
}
