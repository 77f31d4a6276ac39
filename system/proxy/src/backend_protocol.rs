//! What backends speak beyond HTTP.

use crate::request_trace::Trail;
use doorcourse::Name;
use fennelscale_dataplane::back::backends::{Message, Speech, Verdict};
use hyper::header::{CONTENT_ENCODING, HOST, HeaderName};
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Request, StatusCode};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Names a request, in it and in its answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("fennelscale-request-id");
/// How long the client waits.
pub const DEADLINE: HeaderName = HeaderName::from_static("fennelscale-deadline-ms");
/// The backend that a request is for.
pub const EXPECTED: HeaderName = HeaderName::from_static("fennelscale-expected-instance");
/// The tenant whose key came with a request.
pub const TENANT: HeaderName = HeaderName::from_static("fennelscale-tenant-name");
/// The stamp of a backend's answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("fennelscale-response-signature");
/// The word of a backend that did not run a request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("fennelscale-not-executed");

/// What backends of the system speak.
pub struct Mesh {
    /// Where they tell how they are.
    pub health: String,
    /// What becomes of requests is noted there.
    pub trail: Rc<RefCell<Trail>>,
    /// The trail's clock began then.
    pub born: Instant,
}

impl Speech for Mesh {
    fn request(&self, message: &Message, backend: &Name, dial: SocketAddr, left: Duration) -> Builder {
        let mut builder = Request::builder().method(message.method.clone()).uri(message.target.clone());
        if let Some(headers) = builder.headers_mut() {
            headers.clone_from(&message.headers);
        }
        let now = self.born.elapsed().as_secs_f64() * 1000.0;
        self.trail.borrow_mut().attempt(now, fennelscale_messages::hash(message.id.as_bytes()), backend);
        if !message.headers.contains_key(HOST) {
            builder = builder.header(HOST, dial.to_string());
        }
        builder
            .header(REQUEST_ID, message.id.clone())
            .header(DEADLINE, left.as_millis().to_string())
            .header(EXPECTED, &**backend)
    }

    fn verdict(&self, head: &response::Parts, repeatable: bool) -> Verdict {
        let verdict = verdict(head, repeatable);
        if let Some(id) = head.headers.get(REQUEST_ID) {
            let what = match verdict {
                Verdict::Elsewhere => "not-it",
                Verdict::Full => "full",
                Verdict::Error => "unusable",
                _ => "served",
            };
            let status = head.status.as_u16();
            self.trail.borrow_mut().answered(fennelscale_messages::hash(id.as_bytes()), status, what);
        }
        verdict
    }

    fn probe(&self) -> &str {
        &self.health
    }
}

fn verdict(head: &response::Parts, repeatable: bool) -> Verdict {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Elsewhere;
    }
    if head.headers.contains_key(NOT_EXECUTED) {
        return Verdict::Full;
    }
    let whole = head.headers.contains_key(SIGNATURE) && !head.headers.contains_key(CONTENT_ENCODING);
    match head.status {
        status if status.is_success() && !whole => Verdict::Error,
        // It has run and failed: what may run again is better tried elsewhere.
        status if status.is_server_error() && repeatable => Verdict::Error,
        _ => Verdict::Served,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::Response;

    fn said(status: u16, headers: &[(&str, &str)], repeatable: bool) -> Verdict {
        let answer = headers.iter().fold(Response::builder().status(status), |a, (k, v)| a.header(*k, *v));
        verdict(&answer.body(()).unwrap().into_parts().0, repeatable)
    }

    #[test]
    fn only_a_stamped_answer_is_a_success_and_only_a_word_or_421_means_not_run() {
        let signed = ("fennelscale-response-signature", "s");
        assert_eq!(said(200, &[signed], false), Verdict::Served);
        assert_eq!(said(200, &[], false), Verdict::Error);
        assert_eq!(said(200, &[signed, ("content-encoding", "gzip")], false), Verdict::Error);
        assert_eq!(said(503, &[("fennelscale-not-executed", "1")], true), Verdict::Full);
        assert_eq!(said(421, &[], false), Verdict::Elsewhere);
        assert_eq!(said(500, &[], false), Verdict::Served);
        assert_eq!(said(500, &[], true), Verdict::Error);
        assert_eq!(said(404, &[signed], true), Verdict::Served);
    }
}
