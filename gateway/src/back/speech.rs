//! What the backends of the deployments in service speak.

use crate::back::backends::{Message, Speech, Verdict};
use crate::clock::millis;
use doorcourse::{LoadReportSource, Name};
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// The word of a backend that never began with a request.
const DECLINED: &str = "srv-declined";

/// Requests named by `Req-Id`, refusals by `srv-declined`.
pub struct Metered {
    /// Where load reports come from.
    pub reports: LoadReportSource,
}

impl Speech for Metered {
    fn request(&self, message: &Message, _: &Name, dial: SocketAddr, left: Duration) -> Builder {
        let mut builder = Request::builder()
            .method(message.method.clone())
            .uri(message.target.clone())
            .header("Host", dial.to_string())
            .header("Req-Id", message.id.clone())
            .header("Req-Deadline-Ms", millis(left).floor().to_string());
        for (name, value) in &message.headers {
            builder = builder.header(name, value);
        }
        builder
    }

    fn verdict(&self, head: &response::Parts, _: bool) -> Verdict {
        let declined = head.headers.get(DECLINED).is_some_and(|v| v == "1");
        match head.status {
            StatusCode::OK => Verdict::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Verdict::Full,
            // Whatever else it says, it may have run.
            _ => Verdict::Error,
        }
    }

    fn probe(&self) -> &str {
        if self.reports == LoadReportSource::None { "/alive" } else { "/metrics/load" }
    }
}
