//! What the backends of the deployments in service speak.

use crate::back::backends::{Message, Protocol, Verdict};
use crate::clock::to_millis;
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

impl Protocol for Metered {
    fn build_request(&self, message: &Message, _: &Name, dial: SocketAddr, left: Duration) -> Builder {
        let mut builder = Request::builder()
            .method(message.method.clone())
            .uri(message.target.clone())
            .header("Host", dial.to_string())
            .header("Req-Id", message.id.clone())
            .header("Req-Deadline-Ms", to_millis(left).floor().to_string());
        for (name, value) in &message.headers {
            builder = builder.header(name, value);
        }
        builder
    }

    fn verdict(&self, head: &response::Parts, _: bool) -> Verdict {
        let declined = head.headers.get(DECLINED).is_some_and(|v| v == "1");
        match head.status {
            StatusCode::OK => Verdict::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Verdict::Rejected,
            // Whatever else it says, it may have run.
            _ => Verdict::Error,
        }
    }

    fn probe_path(&self) -> &str {
        if self.reports == LoadReportSource::None { "/alive" } else { "/metrics/load" }
    }
}
