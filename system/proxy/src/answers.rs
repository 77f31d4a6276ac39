//! Answers to clients: those that the proxy makes itself, and the headers of those that it forwards.

use bytes::Bytes;
use fennelscale_host::call::error_response;
use fennelscale_host::error::{Failure, Kind};
use http_body_util::Full;
use hyper::Response;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A request that the proxy answers itself: the reason, and when to retry if the request was not executed.
pub struct Refusal {
    /// The reason.
    pub failure: Failure,
    retry_after: Option<f64>,
}

impl Refusal {
    /// A refusal that promises nothing of a retry, unless its kind does.
    pub fn new(kind: Kind, text: &str) -> Self {
        Self { failure: Failure::new(kind, text), retry_after: None }
    }

    /// The request was not executed and will not be; it is best retried after this many ms.
    pub fn with_retry_after(kind: Kind, text: &str, retry_after: f64) -> Self {
        Self { failure: Failure::new(kind, text), retry_after: Some(retry_after) }
    }

    /// The answer to the client.
    pub fn to_response(&self) -> Response<Full<Bytes>> {
        let mut response = error_response(&self.failure);
        let seconds = self.retry_after.map(|ms| format!("{:.3}", ms.max(0.0) / 1000.0));
        if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

/// The headers of a backend's answer that are forwarded to the client.
pub fn response_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in [CONNECTION, KEEP_ALIVE, TRANSFER_ENCODING, CONTENT_LENGTH, TRAILER, UPGRADE] {
        headers.remove(name);
    }
    headers
}
