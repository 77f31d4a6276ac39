//! The protocol of the backends in production deployments.

use crate::back::backends::{ExchangeContext, Message, Protocol, Verdict};
use crate::clock::to_millis;
use doorcourse::{LoadReportSource, Name};
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Set by a backend that rejected a request without executing it.
const DECLINED_HEADER: &str = "srv-declined";

/// The backend protocol: requests carry `Req-Id`, and rejections carry `srv-declined`.
pub struct BackendProtocol {
    /// The source of load reports.
    pub reports: LoadReportSource,
}

impl Protocol for BackendProtocol {
    fn build_request(
        &self, message: &Message, _: &Name, address: SocketAddr, remaining: Duration,
    ) -> Builder {
        let mut builder = Request::builder()
            .method(message.method.clone())
            .uri(message.target.clone())
            .header("Host", address.to_string())
            .header("Req-Id", message.id.clone())
            .header("Req-Deadline-Ms", to_millis(remaining).floor().to_string());
        for (name, value) in &message.headers {
            builder = builder.header(name, value);
        }
        builder
    }

    fn verdict(&self, head: &response::Parts, _: &ExchangeContext<'_>) -> Verdict {
        let declined = head.headers.get(DECLINED_HEADER).is_some_and(|v| v == "1");
        match head.status {
            StatusCode::OK => Verdict::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Verdict::Rejected,
            // With any other answer the request may have been executed.
            _ => Verdict::Error,
        }
    }

    fn probe_path(&self) -> &str {
        if self.reports == LoadReportSource::None { "/alive" } else { "/metrics/load" }
    }
}
