//! Reads and checks requests before they are dispatched.

use super::{Frontend, MAX_BODY, NOT_READY_RETRY_AFTER};
use crate::answers::Refusal;
use crate::backend_protocol::{REQUEST_ID, TENANT};
use crate::headers::{API_KEY, client_timeout, forwarded_headers, single};
use bytes::Bytes;
use fennelscale_config::{Route, RouteKind, Tenant};
use fennelscale_dataplane::back::backends::{Message, UsedConnections};
use fennelscale_dataplane::front::client_connection::ClientConnection;
use fennelscale_host::error::Kind;
use fennelscale_memory::read::{ReadError, read_or_refuse};
use fennelscale_time::from_millis;
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;

/// A request that was read and routed, before a backend is chosen.
pub(super) struct AcceptedRequest {
    pub(super) route: Rc<Route>,
    pub(super) tenant: Option<Rc<Tenant>>,
    pub(super) message: Message,
    pub(super) client_timeout: Duration,
    /// The request was refused before, and an answer can no longer meet its target latency.
    pub(super) late: bool,
}

impl Frontend {
    /// Reads a request completely, checks it, and looks up its route and tenant.
    pub(super) async fn accept(
        &self, request: Request<Incoming>, client: &ClientConnection,
    ) -> Result<AcceptedRequest, Refusal> {
        let refuse = |kind, text: &str| Err(Refusal::new(kind, text));
        // Guards against request smuggling.
        if request.headers().contains_key(TRANSFER_ENCODING) && !client.is_chunked_without_length(&request) {
            return refuse(Kind::Malformed, "Transfer-Encoding");
        }
        let (head, body) = request.into_parts();
        let Some(target) = head.uri.path_and_query().cloned() else {
            return refuse(Kind::Malformed, "no path");
        };
        if head.method == Method::CONNECT {
            return refuse(Kind::MethodNotAllowed, "GET, POST, PUT, PATCH, DELETE, HEAD, OPTIONS");
        }
        let Some(id) = single(&head.headers, &REQUEST_ID).cloned() else {
            return refuse(Kind::Malformed, "Fennelscale-Request-Id must be given once");
        };
        let host = match (head.uri.authority(), single(&head.headers, &HOST).and_then(|h| h.to_str().ok())) {
            (Some(authority), _) => authority.as_str().to_owned(),
            (None, Some(host)) => host.to_owned(),
            (None, None) => return refuse(Kind::Malformed, "Host must be given once"),
        };
        // A proxy without a routing table cannot tell that a route does not exist.
        if !self.proxy.routing_state.borrow().is_ready() || self.refusing.get() {
            return Err(Refusal::with_retry_after(
                Kind::Overloaded,
                "this proxy takes no requests now",
                NOT_READY_RETRY_AFTER,
            ));
        }
        let max_body = self.proxy.routing_state.borrow().table.limits.max_body_bytes.min(MAX_BODY);
        if body.size_hint().lower() > max_body as u64 {
            return refuse(Kind::TooLarge, "the body is too large");
        }
        let bytes = if body.is_end_stream() { Bytes::new() } else { self.read_body(body, max_body).await? };
        // Uses the routing table as of now, after the request was read completely.
        let state = self.proxy.routing_state.borrow();
        let Some(route) = state.table.route(&host, target.path()).cloned() else {
            return refuse(Kind::NotFound, "no route");
        };
        let key_count = head.headers.get_all(&API_KEY).iter().count();
        let tenant =
            single(&head.headers, &API_KEY).and_then(|k| k.to_str().ok()).and_then(|k| state.table.tenant(k));
        if state.table.has_tenants() && !route.public && (key_count != 1 || tenant.is_none()) {
            return refuse(Kind::InvalidKey, "X-Api-Key");
        }
        let tenant = tenant.cloned();
        let mut headers = forwarded_headers(&head.headers);
        if let Some(name) = tenant.as_ref().and_then(|t| HeaderValue::from_str(&t.name).ok()) {
            headers.insert(TENANT, name);
        }
        let timeout = from_millis(route.timeout);
        let stated = client_timeout(&head.headers);
        let late =
            tenant.as_ref().filter(|tenant| tenant.rate_per_s > 0.0).and(stated).is_some_and(|stated| {
                let (now, stated) = (self.proxy.now(), stated.as_secs_f64() * 1000.0);
                self.proxy.timely.borrow_mut().is_late(now, &route.name, stated, route.target_latency)
            });
        let client_timeout = stated.map_or(timeout, |stated| stated.min(timeout));
        let repeatable = route.kind == RouteKind::Idempotent;
        let message = Message {
            method: head.method,
            target,
            id,
            repeatable,
            headers,
            body: bytes,
            used_connections: UsedConnections::default(),
        };
        drop(state);
        Ok(AcceptedRequest { route, tenant, message, client_timeout, late })
    }

    async fn read_body(&self, body: Incoming, max_body: usize) -> Result<Bytes, Refusal> {
        match read_or_refuse(body, max_body, &self.proxy.memory).await {
            Ok(body) => Ok(body),
            Err(ReadError::TooLong) => Err(Refusal::new(Kind::TooLarge, "the body is too large")),
            Err(ReadError::Broken(_)) => Err(Refusal::new(Kind::Malformed, "the body ended early")),
            Err(ReadError::NoMemory(_)) => Err(Refusal::with_retry_after(
                Kind::Overloaded,
                "no memory for this body now",
                NOT_READY_RETRY_AFTER,
            )),
        }
    }
}
