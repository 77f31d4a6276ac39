//! The client side of the proxy: connections, requests and answers.

mod accept;
mod guards;
mod split;

use accept::AcceptedRequest;
use guards::{ReplyWait, TraceGuard};
use split::pick_service;

use crate::answer_counts::Author;
use crate::answers::{Refusal, response_headers};
use crate::backend_protocol::REQUEST_ID;
use crate::decision_input::PLAN;
use crate::failure_injection::{self, ConnectionCut, InjectedFailure, ResponseBody};
use crate::headers::{API_KEY, single};
use crate::proxy::Proxy;
use bytes::Bytes;
use doorcourse::{Arrival, RequestConstraints};
use fennelscale_admission::budget::Budget;
use fennelscale_config::{Route, RouteKind, Tenant};
use fennelscale_dataplane::engine::Reply;
use fennelscale_dataplane::front::acceptor::Acceptor;
use fennelscale_dataplane::front::client_connection::{ClientConnection, ClientStream, READ_BUFFER_SIZE};
use fennelscale_fault_injection::{Caller, FailureKind, Verdict};
use fennelscale_host::call::ApiRequest;
use fennelscale_host::error::Kind;
use fennelscale_settings::admission::Admission;
use fennelscale_settings::units::Quantity;
use fennelscale_time::{Later, from_millis};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use life::inbound::Event;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};

/// The last byte of an answer must be sent before the client times out, so the decision module gets this much
/// less time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// A request without an answer this long after the deadline of the decision module is answered anyway.
const REPLY_GRACE: Duration = Duration::from_millis(15);
/// A request waits for quota units at most this share of its target latency.
const MAX_UNIT_WAIT: f64 = 0.3;
/// After SIGTERM, new connections and requests are accepted for this share of the grace period: clients may
/// hold discovery answers of that age.
const ACCEPT_SHARE: f64 = 0.45;
/// Accepted requests must be answered within this share of the grace period.
const ANSWER_SHARE: f64 = 0.93;
/// How long connections that wait at the listener are still accepted when it closes.
const BACKLOG_TIME: Duration = Duration::from_millis(100);
/// A proxy that is not ready tells clients to retry after this many ms.
const NOT_READY_RETRY_AFTER: f64 = 300.0;
/// Longer bodies are refused whatever the configuration allows, since bodies are held in memory.
const MAX_BODY: usize = 64 << 20;

/// The client side of the proxy.
pub struct Frontend {
    proxy: Rc<Proxy>,
    acceptor: Rc<Acceptor>,
    refusing: Cell<bool>,
}

/// The answer to a readiness check: whether the platform may send clients to this proxy. None for another
/// path.
pub fn readiness_response(request: &ApiRequest, ready: bool) -> Option<Response<Full<Bytes>>> {
    if request.path != "/fennelscale/readiness" {
        return None;
    }
    let mut response = Response::new(Full::from(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(response)
}

impl Frontend {
    /// A client side with its share of the file descriptors.
    pub fn new(proxy: Rc<Proxy>, budget: Budget) -> Rc<Self> {
        let mut admission = Admission::neutral();
        let idle = fennelscale_config::Limits::default().idle_timeout;
        admission.pace.request = Quantity::of(idle);
        admission.pace.head = Quantity::of(idle);
        let acceptor = Acceptor::new(admission, budget);
        proxy.set_acceptor(acceptor.clone());
        Rc::new(Self { proxy, acceptor, refusing: Cell::new(false) })
    }

    /// Serves clients until `end`, then lets connected clients finish within `grace`.
    pub async fn serve(
        self: &Rc<Self>, listener: TcpListener, end: impl Future<Output = ()>, grace: Duration,
    ) {
        let (close, closing) = watch::channel(false);
        let frontend = self.clone();
        self.acceptor.start(Rc::new(move |stream, buffered, client| {
            frontend.clone().serve_connection(stream, buffered, client, closing.clone());
        }));
        let mut end = pin!(end);
        loop {
            tokio::select! {
                () = end.as_mut() => break,
                () = self.acceptor.accept(&listener) => {}
            }
        }
        // Leaves service discovery first; clients that looked the proxy up before still arrive for a while.
        self.proxy.leave();
        tracing::info!(event = "leaving", waiting = self.proxy.services.waiting());
        let shutdown_start = Instant::now();
        let accept_until = shutdown_start.later_by(grace.mul_f64(ACCEPT_SHARE));
        while Instant::now() < accept_until {
            tokio::select! {
                () = tokio::time::sleep_until(accept_until) => {}
                () = self.acceptor.accept(&listener) => {}
            }
        }
        self.refusing.set(true);
        self.acceptor.accept_backlog(&listener, Instant::now().later_by(BACKLOG_TIME)).await;
        drop(listener);
        close.send_replace(true);
        let answer_until = shutdown_start.later_by(grace.mul_f64(ANSWER_SHARE));
        while !self.acceptor.is_empty() && Instant::now() < answer_until {
            let _ = timeout(Duration::from_millis(50), self.acceptor.connection_closed.notified()).await;
        }
    }

    fn serve_connection(
        self: Rc<Self>, stream: TcpStream, buffered: Vec<u8>, client: Rc<ClientConnection>,
        mut closing: watch::Receiver<bool>,
    ) {
        fennelscale_dataplane::task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (frontend, client) = (self.clone(), client.clone());
                async move {
                    let response = frontend.handle(request, &client).await;
                    let served = response.as_ref().is_ok_and(|response| response.status().is_success());
                    client.response_ready(served.then_some(1.0));
                    response
                }
            });
            let stream =
                ClientStream::new(stream, buffered, client.clone()).with_memory(self.proxy.memory.clone());
            let connection = http1::Builder::new()
                .header_read_timeout(None)
                .max_buf_size(READ_BUFFER_SIZE + 8 * 1024)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            let mut closing = pin!(async { drop(closing.wait_for(|closing| *closing).await) });
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = client.deadline_passed() => client.lifecycle.step(Event::TimeUp),
                () = closing.as_mut() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
                () = client.close_requested.notified() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
            client.lifecycle.step(Event::Closed);
            self.acceptor.on_closed(&client);
        });
    }

    /// Answers a request, with the failure that a failure order injects.
    async fn handle(
        &self, request: Request<Incoming>, client: &ClientConnection,
    ) -> Result<Response<ResponseBody>, ConnectionCut> {
        let injected = match self.failure_verdict(&request) {
            Verdict::Fail(met) => InjectedFailure::new(&self.proxy, &met),
            verdict => {
                let response = self.process(request, client).await;
                if verdict == Verdict::Unmatched {
                    self.proxy.record_unaffected(response.status().as_u16());
                }
                return Ok(response.map(ResponseBody::Complete));
            }
        };
        let has_body = !request.body().is_end_stream();
        match injected.what {
            FailureKind::CutRequest(share) => {
                failure_injection::read_part(request.into_body(), share).await;
                return Err(ConnectionCut);
            }
            FailureKind::Refuse => {
                let refusal = Refusal::with_retry_after(
                    Kind::Overloaded,
                    "this proxy takes no requests now",
                    NOT_READY_RETRY_AFTER,
                );
                let mut response = refusal.to_response();
                if has_body {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                return Ok(response.map(ResponseBody::Complete));
            }
            FailureKind::Delay(ms) => tokio::time::sleep(from_millis(ms)).await,
            FailureKind::LoseAnswer | FailureKind::CutAnswer(_) | FailureKind::SlowAnswer(_) => {}
        }
        let response = self.process(request, client).await;
        failure_injection::apply(injected, response).await
    }

    /// What failure orders do to a request, by its head.
    fn failure_verdict(&self, request: &Request<Incoming>) -> Verdict {
        if self.proxy.failure_orders.borrow().is_empty() {
            return Verdict::Unmatched;
        }
        let headers = request.headers();
        let text =
            |value: Option<&HeaderValue>| value.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let (id, key) = (text(single(headers, &REQUEST_ID)), text(single(headers, &API_KEY)));
        let host = text(single(headers, &HOST));
        let authority = request.uri().authority().map(|authority| authority.as_str());
        let host = authority.unwrap_or(&host).to_ascii_lowercase();
        let state = self.proxy.routing_state.borrow();
        let Some(route) = state.table.route(&host, request.uri().path()).cloned() else {
            return Verdict::Unmatched;
        };
        let tenant = state.table.tenant(&key).cloned();
        drop(state);
        self.proxy.select_failure(&Caller {
            id: &id,
            tenant: tenant.as_ref().map_or("", |t| t.name.as_str()),
            key: &key,
            route: &route.name,
            host: &route.host,
            route_kind: match route.kind {
                RouteKind::Idempotent => "idempotent",
                RouteKind::NonIdempotent => "non_idempotent",
                RouteKind::Upload => "upload",
            },
            region: &self.proxy.settings.region,
        })
    }

    /// Answers a request without injected failures.
    async fn process(&self, request: Request<Incoming>, client: &ClientConnection) -> Response<Full<Bytes>> {
        let mut must_close =
            request.headers().contains_key(TRANSFER_ENCODING) && !request.body().is_end_stream();
        let has_body = !request.body().is_end_stream();
        let id = single(request.headers(), &REQUEST_ID).map(|id| fennelscale_messages::hash(id.as_bytes()));
        let mut author = Author::Proxy;
        let mut response = match self.accept(request, client).await {
            Ok(accepted) => {
                client.request_received();
                must_close = false;
                // A request without an id has been refused.
                let trace = TraceGuard::new(&self.proxy, id.unwrap_or_default(), &accepted);
                match self.dispatch(accepted).await {
                    Ok(response) => {
                        author = Author::Backend;
                        trace.finish(response.status(), "served", response)
                    }
                    Err(refusal) => {
                        let response = refusal.to_response();
                        trace.finish(response.status(), &refusal.failure.text, response)
                    }
                }
            }
            Err(refusal) => {
                if let Some(id) = id {
                    let (now, status) = (self.proxy.now(), refusal.failure.kind.status().as_u16());
                    self.proxy.trace.borrow_mut().record_refusal(now, id, status, &refusal.failure.text);
                }
                // The following bytes on the connection may not be the start of a request.
                must_close |= has_body || refusal.failure.kind == Kind::Malformed;
                refusal.to_response()
            }
        };
        self.proxy.services.answer_counts.record_given(response.status(), author);
        // Its buffers are free again once it is closed.
        must_close |= client.has_grown_buffers() && self.proxy.memory.is_small_pool_scarce();
        if must_close || self.proxy.must_close_connections() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Admits a request by its quota, has a backend chosen, and returns the final answer.
    async fn dispatch(&self, accepted: AcceptedRequest) -> Result<Response<Full<Bytes>>, Refusal> {
        let AcceptedRequest { route, tenant, message, client_timeout, late } = accepted;
        let started_at = Instant::now();
        let until =
            started_at.later_by(client_timeout.saturating_sub(RESPONSE_MARGIN.min(client_timeout / 4)));
        if let Some(tenant) = &tenant {
            let wait = from_millis(route.target_latency * MAX_UNIT_WAIT).min(client_timeout / 4);
            if let Err(wait) = self.proxy.admit(tenant, wait, late).await {
                return Err(Refusal::with_retry_after(Kind::OverQuota, "the quota is spent", wait));
            }
        }
        let constraints = match self.constraints(&route, tenant.as_deref(), message.body.len()) {
            Ok(constraints) => constraints,
            Err(()) => {
                let regions = (&route.allowed_regions, tenant.as_ref().map(|t| &t.allowed_regions));
                tracing::debug!(event = "no-region", route = route.name, regions = ?regions);
                return Err(Refusal::with_retry_after(Kind::Overloaded, "no region may serve this", 1000.0));
            }
        };
        let service = pick_service(&route.services, &message.id);
        let Some(service) = self.proxy.services.get(service) else {
            return Err(Refusal::with_retry_after(
                Kind::Overloaded,
                "the service has no backends yet",
                NOT_READY_RETRY_AFTER,
            ));
        };
        let priority = tenant.as_ref().and_then(|t| t.priority).unwrap_or(route.priority);
        let class = service.class(&route, priority);
        let remaining = until.saturating_duration_since(Instant::now());
        let client_timeout = remaining.as_secs_f64() * 1000.0;
        let customer = tenant.as_ref().map_or("", |t| t.name.as_str()).into();
        let (id, reply) = service.engine.submit(
            |id| Arrival {
                id,
                customer,
                plan: PLAN.into(),
                class,
                units: 1.0,
                is_retry: false,
                client_timeout,
                first_gateway: 0,
                gateway_count: 1,
                constraints: Some(constraints),
            },
            message,
            until,
        );
        let reply_wait = ReplyWait::new(&service.engine, id);
        let reply = timeout_at(until.later_by(REPLY_GRACE), reply).await;
        drop(reply_wait);
        match reply {
            Ok(Ok(Reply::Served(answer))) => {
                let mut response = Response::new(Full::new(answer.body));
                *response.status_mut() = answer.status;
                *response.headers_mut() = response_headers(answer.headers);
                Ok(response)
            }
            Ok(Ok(Reply::Refused(wait))) => {
                Err(Refusal::with_retry_after(Kind::Overloaded, "no backend has room", wait))
            }
            Ok(Ok(Reply::Failed(false)) | Err(_)) => {
                Err(Refusal::new(Kind::InvalidBackendResponse, "no usable answer"))
            }
            Ok(Ok(Reply::Failed(true))) | Err(_) => {
                Err(Refusal::new(Kind::BackendTimeout, "no answer in time"))
            }
        }
    }

    /// The limits of a request's attempts: their number, and the regions that both its route and its tenant
    /// allow.
    fn constraints(
        &self, route: &Route, tenant: Option<&Tenant>, bytes: usize,
    ) -> Result<Arc<RequestConstraints>, ()> {
        let state = self.proxy.routing_state.borrow();
        let tenant_regions = tenant.map_or(&[][..], |t| &t.allowed_regions);
        let regions: Vec<&String> = match (route.allowed_regions.as_slice(), tenant_regions) {
            ([], regions) | (regions, []) => regions.iter().collect(),
            (by_route, by_tenant) => {
                let both: Vec<_> = by_route.iter().filter(|r| by_tenant.contains(r)).collect();
                if both.is_empty() {
                    return Err(());
                }
                both
            }
        };
        let cells = regions.into_iter().map(|region| state.region_index(region)).collect();
        Ok(Arc::new(RequestConstraints {
            cells,
            max_attempts: route.max_attempts,
            bytes: bytes.min(u32::MAX as usize) as u32,
        }))
    }
}
