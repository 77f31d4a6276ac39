//! What a deployment's protocol with its backends consists of, on top of HTTP.

use crate::back::connection::Progress;
use crate::back::connection_history::{ConnectionHistory, UsedConnections};
use bytes::Bytes;
use doorcourse::Name;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// The parts of a client's request that are forwarded to a backend.
#[derive(Clone, Debug)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query as received.
    pub target: hyper::http::uri::PathAndQuery,
    /// The request id.
    pub id: HeaderValue,
    /// Whether the request may be sent again if its connection breaks.
    pub repeatable: bool,
    /// The forwarded headers; [`Protocol::build_request`] adds its own.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// The connections that its attempts were written to.
    pub used_connections: UsedConnections,
}

/// A backend's answer to be sent to the client.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

/// What an answer says about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is sent to the client.
    Served,
    /// The backend rejected the request without executing it.
    Rejected,
    /// Another backend has the address by now; the request was not executed.
    Misdirected,
    /// The answer is not usable; the request may have been executed.
    Error,
}

/// The exchange that brought an answer.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeContext<'a> {
    /// The backend that the request was meant for.
    pub backend: &'a Name,
    /// Whether the request may be sent again after it may have been executed.
    pub repeatable: bool,
    /// What the connection had carried before.
    pub connection: ConnectionHistory,
}

/// A deployment's protocol with its backends on top of HTTP.
pub trait Protocol {
    /// Builds the head of a request; `remaining` is the time until its client times out.
    fn build_request(
        &self, message: &Message, backend: &Name, address: SocketAddr, remaining: Duration,
    ) -> Builder;
    /// Classifies an answer. If the request is repeatable, an answer may be rejected in favour of a retry
    /// on another backend.
    fn verdict(&self, head: &response::Parts, exchange: &ExchangeContext<'_>) -> Verdict;
    /// Records that an attempt ended without an answer of its own, and how far its request got.
    fn record_break(&self, _id: &HeaderValue, _progress: Progress) {}
    /// The path probed for liveness, or for a load report where backends give them.
    fn probe_path(&self) -> &str;
}
