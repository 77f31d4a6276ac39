//! The clients' side: connections, their requests, and their answers.

use crate::backend_protocol::{REQUEST_ID, TENANT};
use crate::decision_input::PLAN;
use crate::failure_injection::{self, Cut, Fate, Told};
use crate::headers::{KEY, passed, patience, single};
use crate::proxy::Proxy;
use bytes::Bytes;
use doorcourse::{Arrival, RequestConstraints, RequestId};
use fennelscale_admission::budget::Budget;
use fennelscale_config::{Route, RouteKind, Tenant};
use fennelscale_dataplane::back::backends::Message;
use fennelscale_dataplane::engine::{Engine, Reply};
use fennelscale_dataplane::front::door::Door;
use fennelscale_dataplane::front::guest::{BUFFER, Guest, Tap};
use fennelscale_fault_injection::{Caller, Verdict, What};
use fennelscale_host::call::{Asked, failed};
use fennelscale_host::error::{Failure, Kind};
use fennelscale_settings::admission::Admission;
use fennelscale_settings::units::Quantity;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
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

/// The last byte of an answer must be out before the client's patience ends: decisions are told of this much less.
const MARGIN: Duration = Duration::from_millis(30);
/// What has no answer this long after the decisions' time is over gets one all the same.
const BACKSTOP: Duration = Duration::from_millis(15);
/// A request waits for a block at most this share of its aim.
const UNIT_WAIT: f64 = 0.3;
/// After SIGTERM new connections and requests are taken for this share of the grace period: directories' answers are as old.
const STILL_TAKES: f64 = 0.45;
/// What was taken has until this share of it.
const STILL_ANSWERS: f64 = 0.93;
/// A proxy that is not ready tells clients to come back after this many ms.
const NOT_READY: f64 = 300.0;
/// Bodies longer than this are refused whatever the configuration says: they are held in memory.
const LARGEST: usize = 64 << 20;
/// All bodies together take at most this share of the memory.
const BODIES: f64 = 0.4;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The front side.
pub struct Front {
    proxy: Rc<Proxy>,
    door: Rc<Door>,
    refusing: Cell<bool>,
    bodies: Cell<usize>,
}

/// Whether the platform may send clients here.
pub fn readiness(asked: &Asked, ready: bool) -> Option<Response<Full<Bytes>>> {
    if asked.path != "/fennelscale/readiness" {
        return None;
    }
    let mut response = Response::new(Full::from(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(response)
}

/// A request that is answered here: why, and when to come back where that is a promise.
struct Refusal {
    failure: Failure,
    wait: Option<f64>,
}

impl Refusal {
    fn new(kind: Kind, text: &str) -> Self {
        Self { failure: Failure::new(kind, text), wait: None }
    }

    /// It has not run and will not; best tried again after so many ms.
    fn later(kind: Kind, text: &str, wait: f64) -> Self {
        Self { failure: Failure::new(kind, text), wait: Some(wait) }
    }

    fn answer(&self) -> Response<Full<Bytes>> {
        let mut response = failed(&self.failure);
        let wait = self.wait.map(|wait| format!("{:.3}", wait.max(0.0) / 1000.0));
        if let Some(wait) = wait.and_then(|wait| HeaderValue::from_str(&wait).ok()) {
            response.headers_mut().insert(RETRY_AFTER, wait);
        }
        response
    }
}

/// What is decided of a request before it goes on.
struct Ticket {
    route: Rc<Route>,
    tenant: Option<Rc<Tenant>>,
    message: Message,
    patience: Duration,
    /// Its client was refused before, and no answer can have its full worth any more.
    late: bool,
}

impl Front {
    /// A front side with its part of the descriptors.
    pub fn new(proxy: Rc<Proxy>, budget: Budget) -> Rc<Self> {
        let mut admission = Admission::neutral();
        let idle = fennelscale_config::Limits::default().idle_timeout;
        admission.pace.request = Quantity::of(idle);
        admission.pace.head = Quantity::of(idle);
        let door = Door::new(admission, budget);
        proxy.has_door(door.clone());
        Rc::new(Self { proxy, door, refusing: Cell::new(false), bodies: Cell::new(0) })
    }

    /// Serves clients until `end`, then lets those finish that are there, within `grace`.
    pub async fn serve(
        self: &Rc<Self>, listener: TcpListener, end: impl Future<Output = ()>, grace: Duration,
    ) {
        let (close, closing) = watch::channel(false);
        let front = self.clone();
        self.door.open(Rc::new(move |stream, ahead, guest| {
            front.clone().welcome(stream, ahead, guest, closing.clone());
        }));
        let mut end = pin!(end);
        loop {
            tokio::select! {
                () = end.as_mut() => break,
                () = self.door.accept(&listener) => {}
            }
        }
        // Out of the directory first; clients that were told before still come for a while.
        self.proxy.leave();
        tracing::info!(event = "leaving", waiting = self.proxy.services.waiting());
        let begun = Instant::now();
        let still = begun + grace.mul_f64(STILL_TAKES);
        while Instant::now() < still {
            tokio::select! {
                () = tokio::time::sleep_until(still) => {}
                () = self.door.accept(&listener) => {}
            }
        }
        self.refusing.set(true);
        self.door.accept_the_last(&listener, Instant::now() + Duration::from_millis(100)).await;
        drop(listener);
        close.send_replace(true);
        let last = begun + grace.mul_f64(STILL_ANSWERS);
        while !self.door.is_empty() && Instant::now() < last {
            let _ = timeout(Duration::from_millis(50), self.door.left.notified()).await;
        }
    }

    fn welcome(
        self: Rc<Self>, stream: TcpStream, ahead: Vec<u8>, guest: Rc<Guest>,
        mut closing: watch::Receiver<bool>,
    ) {
        fennelscale_dataplane::task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (front, guest) = (self.clone(), guest.clone());
                async move {
                    let response = front.answer(request, &guest).await;
                    let served = response.as_ref().is_ok_and(|response| response.status().is_success());
                    guest.done(served.then_some(1.0));
                    response
                }
            });
            let connection = http1::Builder::new()
                .header_read_timeout(None)
                .max_buf_size(BUFFER + 8 * 1024)
                .serve_connection(TokioIo::new(Tap::new(stream, ahead, guest.clone())), service);
            let mut connection = pin!(connection);
            let mut closing = pin!(async { drop(closing.wait_for(|closing| *closing).await) });
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = guest.over() => guest.life.step(Event::TimeUp),
                () = closing.as_mut() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
                () = guest.leave.notified() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
            guest.life.step(Event::Closed);
            self.door.gone(&guest);
        });
    }

    async fn answer(&self, request: Request<Incoming>, guest: &Guest) -> Result<Response<Told>, Cut> {
        let fate = match self.verdict(&request) {
            Verdict::Met(met) => Fate::new(&self.proxy, &met),
            verdict => {
                let response = self.true_answer(request, guest).await;
                if verdict == Verdict::Unnamed {
                    self.proxy.unnamed(response.status().as_u16());
                }
                return Ok(response.map(Told::Whole));
            }
        };
        let has_body = !request.body().is_end_stream();
        match fate.what {
            What::CutRequest(share) => {
                failure_injection::read_part(request.into_body(), share).await;
                return Err(Cut);
            }
            What::Refuse => {
                let refusal = Refusal::later(Kind::NoRoom, "this proxy takes no requests now", NOT_READY);
                let mut response = refusal.answer();
                if has_body {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                return Ok(response.map(Told::Whole));
            }
            What::Delay(ms) => tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await,
            What::LoseAnswer | What::CutAnswer(_) | What::SlowAnswer(_) => {}
        }
        let response = self.true_answer(request, guest).await;
        failure_injection::fail(fate, response).await
    }

    /// What failure orders do to a request, by what its head says.
    fn verdict(&self, request: &Request<Incoming>) -> Verdict {
        if self.proxy.desk.borrow().is_empty() {
            return Verdict::Unnamed;
        }
        let headers = request.headers();
        let text =
            |value: Option<&HeaderValue>| value.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let (id, key) = (text(single(headers, &REQUEST_ID)), text(single(headers, &KEY)));
        let host = text(single(headers, &HOST));
        let authority = request.uri().authority().map(|authority| authority.as_str());
        let host = authority.unwrap_or(&host).to_ascii_lowercase();
        let held = self.proxy.held.borrow();
        let Some(route) = held.table.route(&host, request.uri().path()).cloned() else {
            return Verdict::Unnamed;
        };
        let tenant = held.table.tenant(&key).cloned();
        drop(held);
        self.proxy.meet(&Caller {
            id: &id,
            tenant: tenant.as_ref().map_or("", |t| t.name.as_str()),
            key: &key,
            route: &route.name,
            host: &route.host,
            kind: match route.kind {
                RouteKind::Idempotent => "idempotent",
                RouteKind::NonIdempotent => "non_idempotent",
                RouteKind::Upload => "upload",
            },
            region: &self.proxy.settings.region,
        })
    }

    async fn true_answer(&self, request: Request<Incoming>, guest: &Guest) -> Response<Full<Bytes>> {
        let mut last = request.headers().contains_key(TRANSFER_ENCODING) && !request.body().is_end_stream();
        let has_body = !request.body().is_end_stream();
        let id = single(request.headers(), &REQUEST_ID).map(|id| fennelscale_messages::hash(id.as_bytes()));
        let mut response = match self.take(request, guest).await {
            Ok(ticket) => {
                guest.taken();
                last = false;
                // One without an id has been refused.
                let open = Open::new(&self.proxy, id.unwrap_or_default(), &ticket);
                match self.decide(ticket).await {
                    Ok(response) => open.end(response.status(), "served", response),
                    Err(refusal) => {
                        let response = refusal.answer();
                        open.end(response.status(), &refusal.failure.text, response)
                    }
                }
            }
            Err(refusal) => {
                if let Some(id) = id {
                    let (now, status) = (self.proxy.now(), refusal.failure.kind.status().as_u16());
                    self.proxy.trail.borrow_mut().refused(now, id, status, &refusal.failure.text);
                }
                // What follows on the connection may have been meant as something else.
                last |= has_body || refusal.failure.kind == Kind::Malformed;
                refusal.answer()
            }
        };
        if last || self.proxy.sends_away() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads a request whole and looks up what is to become of it.
    async fn take(&self, request: Request<Incoming>, guest: &Guest) -> Result<Ticket, Refusal> {
        let refuse = |kind, text: &str| Err(Refusal::new(kind, text));
        // Guards against requests hidden in the body of another.
        if request.headers().contains_key(TRANSFER_ENCODING) && !guest.is_plainly_chunked(&request) {
            return refuse(Kind::Malformed, "Transfer-Encoding");
        }
        let (head, body) = request.into_parts();
        let Some(target) = head.uri.path_and_query().cloned() else {
            return refuse(Kind::Malformed, "no path");
        };
        if head.method == Method::CONNECT {
            return refuse(Kind::Method, "GET, POST, PUT, PATCH, DELETE, HEAD, OPTIONS");
        }
        let Some(id) = single(&head.headers, &REQUEST_ID).cloned() else {
            return refuse(Kind::Malformed, "Fennelscale-Request-Id must be given once");
        };
        let host = match (head.uri.authority(), single(&head.headers, &HOST).and_then(|h| h.to_str().ok())) {
            (Some(authority), _) => authority.as_str().to_owned(),
            (None, Some(host)) => host.to_owned(),
            (None, None) => return refuse(Kind::Malformed, "Host must be given once"),
        };
        // A proxy without a table knows of nothing that it is not there.
        if !self.proxy.held.borrow().is_ready() || self.refusing.get() {
            return Err(Refusal::later(Kind::NoRoom, "this proxy takes no requests now", NOT_READY));
        }
        let most = self.proxy.held.borrow().table.limits.max_body_bytes.min(LARGEST);
        if body.size_hint().lower() > most as u64 {
            return refuse(Kind::TooLarge, "the body is too large");
        }
        let bytes = if body.is_end_stream() { Bytes::new() } else { self.read(body, most).await? };
        // By the table as it is now that the request is here whole.
        let held = self.proxy.held.borrow();
        let Some(route) = held.table.route(&host, target.path()).cloned() else {
            return refuse(Kind::NotFound, "no route");
        };
        let key = head.headers.get_all(&KEY).iter().count();
        let tenant =
            single(&head.headers, &KEY).and_then(|k| k.to_str().ok()).and_then(|k| held.table.tenant(k));
        if held.table.has_tenants() && !route.public && (key != 1 || tenant.is_none()) {
            return refuse(Kind::NoKey, "X-Api-Key");
        }
        let tenant = tenant.cloned();
        let mut headers = passed(&head.headers);
        if let Some(name) = tenant.as_ref().and_then(|t| HeaderValue::from_str(&t.name).ok()) {
            headers.insert(TENANT, name);
        }
        let timeout = Duration::from_secs_f64(route.timeout / 1000.0);
        let told = patience(&head.headers);
        let late = tenant.as_ref().filter(|tenant| tenant.rate_per_s > 0.0).and(told).is_some_and(|told| {
            let (now, told) = (self.proxy.now(), told.as_secs_f64() * 1000.0);
            self.proxy.timely.borrow_mut().is_late(now, &route.name, told, route.target_latency)
        });
        let patience = told.map_or(timeout, |told| told.min(timeout));
        let repeatable = route.kind == RouteKind::Idempotent;
        let message = Message { method: head.method, target, id, repeatable, headers, body: bytes };
        drop(held);
        Ok(Ticket { route, tenant, message, patience, late })
    }

    async fn read(&self, body: Incoming, most: usize) -> Result<Bytes, Refusal> {
        let expected = body.size_hint().exact().unwrap_or(0) as usize;
        let all = (self.proxy.settings.limits.memory as f64 * BODIES) as usize;
        if self.bodies.get() + expected > all {
            return Err(Refusal::later(Kind::NoRoom, "no memory for this body now", NOT_READY));
        }
        self.bodies.set(self.bodies.get() + expected);
        let read = Limited::new(body, most).collect().await;
        self.bodies.set(self.bodies.get() - expected);
        match read {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(Refusal::new(Kind::TooLarge, "the body is too large"))
            }
            Err(_) => Err(Refusal::new(Kind::Malformed, "the body ended early")),
        }
    }

    /// The final answer.
    async fn decide(&self, ticket: Ticket) -> Result<Response<Full<Bytes>>, Refusal> {
        let Ticket { route, tenant, message, patience, late } = ticket;
        let begun = Instant::now();
        let until = begun + patience.saturating_sub(MARGIN.min(patience / 4));
        if let Some(tenant) = &tenant {
            let wait = Duration::from_secs_f64(route.target_latency * UNIT_WAIT / 1000.0).min(patience / 4);
            if let Err(wait) = self.proxy.admit(tenant, wait, late).await {
                return Err(Refusal::later(Kind::OverQuota, "the quota is spent", wait));
            }
        }
        let bound = match self.bound(&route, tenant.as_deref(), message.body.len()) {
            Ok(bound) => bound,
            Err(()) => {
                let regions = (&route.allowed_regions, tenant.as_ref().map(|t| &t.allowed_regions));
                tracing::debug!(event = "no-region", route = route.name, regions = ?regions);
                return Err(Refusal::later(Kind::NoRoom, "no region may serve this", 1000.0));
            }
        };
        let service = pick(&route.services, &message.id);
        let Some(service) = self.proxy.services.get(service) else {
            return Err(Refusal::later(Kind::NoRoom, "the service has no backends yet", NOT_READY));
        };
        let priority = tenant.as_ref().and_then(|t| t.priority).unwrap_or(route.priority);
        let class = service.class(&route, priority);
        let left = until.saturating_duration_since(Instant::now());
        let patience = left.as_secs_f64() * 1000.0;
        let customer = tenant.as_ref().map_or("", |t| t.name.as_str()).into();
        let (id, reply) = service.engine.open(
            |id| Arrival {
                id,
                customer,
                plan: PLAN.into(),
                class,
                units: 1.0,
                is_retry: false,
                client_timeout: patience,
                first_gateway: 0,
                gateway_count: 1,
                constraints: Some(bound),
            },
            message,
            until,
        );
        let waiting = Waiting { engine: &service.engine, id };
        let reply = timeout_at(until + BACKSTOP, reply).await;
        drop(waiting);
        match reply {
            Ok(Ok(Reply::Served(answer))) => {
                let mut response = Response::new(Full::new(answer.body));
                *response.status_mut() = answer.status;
                *response.headers_mut() = kept(answer.headers);
                Ok(response)
            }
            Ok(Ok(Reply::Refused(wait))) => Err(Refusal::later(Kind::NoRoom, "no backend has room", wait)),
            Ok(Ok(Reply::Failed(false)) | Err(_)) => Err(Refusal::new(Kind::BadAnswer, "no usable answer")),
            Ok(Ok(Reply::Failed(true))) | Err(_) => Err(Refusal::new(Kind::NoAnswer, "no answer in time")),
        }
    }

    /// Where a request may go: the regions that its route and its tenant both allow.
    fn bound(
        &self, route: &Route, tenant: Option<&Tenant>, bytes: usize,
    ) -> Result<Arc<RequestConstraints>, ()> {
        let held = self.proxy.held.borrow();
        let of_tenant = tenant.map_or(&[][..], |t| &t.allowed_regions);
        let regions: Vec<&String> = match (route.allowed_regions.as_slice(), of_tenant) {
            ([], regions) | (regions, []) => regions.iter().collect(),
            (one, other) => {
                let both: Vec<_> = one.iter().filter(|r| other.contains(r)).collect();
                if both.is_empty() {
                    return Err(());
                }
                both
            }
        };
        let cells = regions.into_iter().map(|region| held.region_index(region)).collect();
        Ok(Arc::new(RequestConstraints {
            cells,
            max_attempts: route.max_attempts,
            bytes: bytes.min(u32::MAX as usize) as u32,
        }))
    }
}

/// A service by weight; the same for the same request, so that nothing depends on which proxy it came to.
fn pick<'a>(services: &'a [(String, f64)], id: &HeaderValue) -> &'a str {
    let sum: f64 = services.iter().map(|(_, weight)| weight).sum();
    let draw = (fennelscale_messages::hash(id.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    let mut left = draw * sum;
    for (service, weight) in services.iter().filter(|(_, weight)| *weight > 0.0) {
        left -= weight;
        if left < 0.0 {
            return service;
        }
    }
    services.last().map_or("", |(service, _)| service)
}

/// The headers of a backend's answer that are the client's.
fn kept(mut headers: HeaderMap) -> HeaderMap {
    for name in [CONNECTION, KEEP_ALIVE, TRANSFER_ENCODING, CONTENT_LENGTH, TRAILER, UPGRADE] {
        headers.remove(name);
    }
    headers
}

/// A request on its way, as the trail has it. Dropped before its answer, as when its connection closes, it tells that the client
/// has left.
struct Open<'a> {
    proxy: &'a Proxy,
    id: u64,
    ended: bool,
}

impl<'a> Open<'a> {
    fn new(proxy: &'a Proxy, id: u64, ticket: &Ticket) -> Self {
        proxy.trail.borrow_mut().begin(proxy.now(), id, ticket.route.clone(), ticket.tenant.clone());
        Self { proxy, id, ended: false }
    }

    fn end<T>(mut self, status: StatusCode, why: &str, answer: T) -> T {
        self.ended = true;
        self.proxy.trail.borrow_mut().end(self.proxy.now(), self.id, status.as_u16(), why);
        answer
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.proxy.trail.borrow_mut().end(self.proxy.now(), self.id, 0, "its client left");
        }
    }
}

/// A request whose client waits. Dropped without an answer, as when its connection closes, it tells that the client has
/// left; after an answer that finds nothing.
struct Waiting<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.engine.client_left(self.id);
    }
}
