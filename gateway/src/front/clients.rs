//! The client side of the gateway: reads requests, writes answers, and drains connections at shutdown.

use crate::back::backends::{MAX_BODY, Message, UsedConnections};
use crate::clock::to_millis;
use crate::engine::{Engine, Reply};
use crate::faults;
use crate::front::acceptor::Acceptor;
use crate::front::client_connection::{ClientConnection, ClientStream, READ_BUFFER_SIZE};
use bytes::Bytes;
use doorcourse::{Arrival, Name, RequestId, RetrySafety, Settings};
use fennelscale_admission::client_origin;
use fennelscale_memory::ledger::MemoryLedger;
use fennelscale_memory::read::{ReadError, read_or_refuse};
use fennelscale_settings::admission::{Forged, Header};
use fennelscale_time::Later;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_TYPE, FORWARDED, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use life::inbound::{Event, OpenIds};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The last byte of an answer must be sent before the client times out, so the decision module gets this much
/// less time, but at most the given share less.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);
const MAX_MARGIN_SHARE: f64 = 0.25;
/// A request without an answer this long after the deadline of the decision module is answered anyway.
const REPLY_GRACE: Duration = Duration::from_millis(10);
/// Maximum client timeout in ms; longer ones are rejected as implausible.
const MAX_CLIENT_TIMEOUT_MS: u64 = 600_000;
/// New connections are accepted for this long after the signal to end. Idle ones are closed halfway through
/// ...
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// ... and the last ones have this long for their first request. Leases are returned to the quotas in this
/// time.
const RETURN_PERIOD: Duration = Duration::from_millis(200);
/// An evicted connection is closed after this time.
const EVICTION_GRACE: Duration = Duration::from_millis(50);
/// Connections have this long to finish after the last final answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The path is unknown.
    NoPath,
    /// Something is missing, malformed or implausible.
    Bad(&'static str),
    /// The body is too large.
    TooLarge,
    /// The client behind a proxy has too many open requests; it may retry after this many ms.
    TooMany(f64),
}

/// The idempotency key of a request that may be repeated.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The client of a request as some proxies give it.
const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// A parsed request.
struct ParsedRequest {
    class: Name,
    plan: Name,
    customer: Name,
    units: f64,
    gateway_count: u32,
    first_gateway: u32,
    is_retry: bool,
    client_timeout: Duration,
    message: Message,
}

/// The client side of a gateway.
pub struct Frontend {
    engine: Rc<Engine>,
    classes: Vec<(Name, RetrySafety)>,
    plans: Vec<Name>,
    /// The values of classes and of plans, relative to the highest.
    relative_values: [Vec<f64>; 2],
    max_request_units: f64,
    total_gateways: u32,
    /// The ids of all requests without an answer.
    open_ids: RefCell<OpenIds<HeaderValue>>,
    acceptor: Rc<Acceptor>,
    draining: Cell<bool>,
    /// Bodies are charged by what they cost; their number and size bound the sum.
    memory: Arc<MemoryLedger>,
}

impl Frontend {
    /// Creates the client side for the connections of an acceptor.
    pub fn new(engine: Rc<Engine>, settings: &Settings, acceptor: Rc<Acceptor>) -> Rc<Self> {
        let normalize = |values: Vec<f64>| {
            let max = values.iter().copied().fold(0.0, f64::max);
            values.into_iter().map(|value| if max > 0.0 { value / max } else { 1.0 }).collect()
        };
        let relative_values = [
            normalize(settings.classes.iter().map(|c| c.value).collect()),
            normalize(settings.plans.iter().map(|p| p.value_factor).collect()),
        ];
        Rc::new(Self {
            engine,
            classes: settings.classes.iter().map(|c| (c.name.clone(), c.retry_safety)).collect(),
            plans: settings.plans.iter().map(|p| p.name.clone()).collect(),
            max_request_units: settings.max_request_units,
            total_gateways: settings.gateways,
            open_ids: RefCell::default(),
            relative_values,
            acceptor,
            draining: Cell::new(false),
            memory: MemoryLedger::unbounded(),
        })
    }

    /// Serves clients until `end` resolves, then lets the connected ones finish. Returns when the last
    /// connection is closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, end: impl Future<Output = ()>) {
        let (close, closing) = watch::channel(0);
        let ended = async {
            end.await;
            self.draining.set(true);
            sleep(ACCEPT_PERIOD / 2).await;
            // A request that crosses the close of an idle connection is sent again on a new one, so new
            // connections must still be accepted.
            close.send_modify(|round| *round += 1);
            sleep(ACCEPT_PERIOD / 2).await;
        };
        let frontend = self.clone();
        self.acceptor.start(Rc::new(move |stream, buffered, client| {
            frontend.clone().serve_connection(stream, buffered, client, closing.clone());
        }));
        let mut ended = pin!(ended);
        loop {
            tokio::select! {
                () = ended.as_mut() => break,
                () = self.acceptor.accept(&listener) => {}
            }
        }
        // Connections in the kernel's backlog must be answered.
        self.acceptor.accept_backlog(&listener, Instant::now().later_by(ACCEPT_PERIOD / 2)).await;
        drop(listener);
        self.engine.return_units(RETURN_PERIOD).await;
        close.send_modify(|round| *round += 1);
        // Bounds the shutdown if clients stall: once no accepted request waits for its answer, the remaining
        // answers and request bodies have this long.
        let mut quiet = Instant::now();
        while !self.acceptor.is_empty() && quiet.elapsed() < CLOSE_TIMEOUT {
            let _ = timeout(CLOSE_TIMEOUT / 10, self.acceptor.connection_closed.notified()).await;
            if self.engine.pending_requests() > 0 {
                quiet = Instant::now();
            }
        }
    }

    fn serve_connection(
        self: Rc<Self>, stream: TcpStream, buffered: Vec<u8>, client: Rc<ClientConnection>,
        mut closing: watch::Receiver<u32>,
    ) {
        let round = *closing.borrow();
        crate::task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (frontend, client) = (self.clone(), client.clone());
                async move {
                    let (response, value_share) = frontend.answer(request, &client).await;
                    client.response_ready(value_share);
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .header_read_timeout(None)
                .max_buf_size(READ_BUFFER_SIZE)
                .serve_connection(TokioIo::new(ClientStream::new(stream, buffered, client.clone())), service);
            let mut connection = pin!(connection);
            // Drops the guard that `wait_for` returns: it locks the channel, and the next `send_modify` would
            // deadlock on this single thread.
            let mut closing = pin!(async { drop(closing.wait_for(|now| *now > round).await) });
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
                    // A request that has just arrived is still answered.
                    let finished = timeout(EVICTION_GRACE, connection.as_mut()).await.is_ok();
                    if !finished && client.has_open_request() {
                        let _ = connection.await;
                    }
                }
            }
            client.lifecycle.step(Event::Closed);
            self.acceptor.on_closed(&client);
        });
    }

    /// The only answer to a request, and its relative value if it was served.
    async fn answer(
        &self, request: Request<Incoming>, client: &ClientConnection,
    ) -> (Response<Full<Bytes>>, Option<f64>) {
        let mut must_close = request.headers().contains_key(TRANSFER_ENCODING);
        let has_body = !request.body().is_end_stream();
        let mut value_share = None;
        let mut response = if request.uri().path() == "/up" {
            self.readiness(request.method())
        } else {
            let parsed = match self.check_origin(request.headers(), client) {
                Ok(()) => self.receive(request, client).await,
                Err(fault) => Err(fault),
            };
            match parsed.and_then(|parsed| Ok((self.register_id(parsed.message.id.clone())?, parsed))) {
                Ok((_id_guard, parsed)) => {
                    client.request_received();
                    let value = self.relative_value(&parsed);
                    let (response, served) = self.dispatch(parsed).await;
                    value_share = served.then_some(value);
                    response
                }
                Err(fault) => {
                    // After an invalid request the following bytes may not be the start of a request.
                    must_close |= has_body || !matches!(fault, Fault::TooMany(_));
                    refuse(fault)
                }
            }
        };
        // Makes clients go to another gateway, or frees a connection for others.
        let is_full = || self.acceptor.admission.with(|admission, now| admission.is_full(now, client.id));
        if must_close || self.draining.get() || is_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        (response, value_share)
    }

    /// The value of a request relative to the most valuable one.
    fn relative_value(&self, request: &ParsedRequest) -> f64 {
        let [classes, plans] = &self.relative_values;
        let class = self.classes.iter().position(|(name, _)| *name == request.class);
        let plan = self.plans.iter().position(|name| *name == request.plan);
        class.zip(plan).map_or(0.0, |(class, plan)| classes[class] * plans[plan])
    }

    /// Counts a request against its client if the connection belongs to a proxy that several clients share. A
    /// proxy's header on any other connection is a fault.
    fn check_origin(&self, headers: &HeaderMap, client: &ClientConnection) -> Result<(), Fault> {
        let header = match self.acceptor.admission.with(|admission, _| admission.shared_header(client.id)) {
            Some(header) => header,
            None if self.acceptor.settings().forged == Forged::Ignore => return Ok(()),
            None if headers.contains_key(FORWARDED) => {
                return Err(Fault::Bad("Forwarded, from no proxy that is known"));
            }
            None if headers.contains_key(X_FORWARDED_FOR) => {
                return Err(Fault::Bad("X-Forwarded-For, from no proxy that is known"));
            }
            None => return Ok(()),
        };
        let values = |name| {
            let values = headers.get_all(name).iter().map(|v| v.to_str());
            values.collect::<Result<Vec<_>, _>>().map_err(|_| client_origin::MalformedOrigin)
        };
        self.acceptor.admission.with(|admission, now| {
            let address = match header {
                Header::Forwarded => {
                    values(FORWARDED).and_then(|v| client_origin::from_forwarded(&v, admission.networks()))
                }
                _ => values(X_FORWARDED_FOR)
                    .and_then(|v| client_origin::from_x_forwarded_for(&v, admission.networks())),
            };
            match address
                .map_err(|client_origin::MalformedOrigin| Fault::Bad("Forwarded or X-Forwarded-For"))?
            {
                None => Ok(()),
                Some(address) => admission.assign_request(now, client.id, address).map_err(Fault::TooMany),
            }
        })
    }

    /// The answer to a readiness check: whether new clients should be sent to this gateway.
    fn readiness(&self, method: &Method) -> Response<Full<Bytes>> {
        match *method {
            Method::GET | Method::HEAD if self.draining.get() => {
                plain_text(StatusCode::SERVICE_UNAVAILABLE, "ending\n")
            }
            Method::GET | Method::HEAD => plain_text(StatusCode::OK, "up\n"),
            _ => refuse(Fault::Bad("method")),
        }
    }

    /// Registers the id of an open request. Rejecting a second request with the same id keeps their answers
    /// apart.
    fn register_id(&self, id: HeaderValue) -> Result<OpenIdGuard<'_>, Fault> {
        if self.open_ids.borrow_mut().enter(id.clone()) {
            Ok(OpenIdGuard { ids: &self.open_ids, id })
        } else {
            Err(Fault::Bad("Req-Id, open already"))
        }
    }

    /// Receives a request completely.
    async fn receive(
        &self, request: Request<Incoming>, client: &ClientConnection,
    ) -> Result<ParsedRequest, Fault> {
        // Guards against request smuggling.
        if request.headers().contains_key(TRANSFER_ENCODING) && !client.is_chunked_without_length(&request) {
            return Err(Fault::Bad("Transfer-Encoding"));
        }
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().ok_or(Fault::NoPath)?.clone();
        let mut parsed = self.parse(head.method, target, &head.headers)?;
        if body.is_end_stream() {
            return Ok(parsed);
        }
        if parsed.message.method == Method::GET {
            return Err(Fault::Bad("a body where none belongs"));
        }
        if body.size_hint().lower() > MAX_BODY as u64 {
            return Err(Fault::TooLarge);
        }
        // The connection's deadline bounds this.
        match read_or_refuse(body, MAX_BODY, &self.memory).await {
            Ok(body) => parsed.message.body = body,
            Err(ReadError::TooLong) => return Err(Fault::TooLarge),
            Err(ReadError::Broken(_) | ReadError::NoMemory(_)) => return Err(Fault::Bad("body")),
        }
        Ok(parsed)
    }

    fn parse(
        &self, method: Method, target: hyper::http::uri::PathAndQuery, headers: &HeaderMap,
    ) -> Result<ParsedRequest, Fault> {
        let first = target.path().strip_prefix('/').and_then(|p| p.split('/').next());
        let class = first.filter(|c| !c.is_empty()).ok_or(Fault::NoPath)?;
        let class = self.classes.iter().find(|(name, _)| **name == *class);
        let (class, retry_safety) = class.cloned().ok_or(Fault::Bad("class"))?;
        let key = single_header(headers, "idempotency-key")?;
        let is_consistent = match retry_safety {
            RetrySafety::Safe => method == Method::GET && key.is_none(),
            RetrySafety::Keyed => method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            RetrySafety::Unsafe => method == Method::POST && key.is_none(),
        };
        if !is_consistent {
            return Err(Fault::Bad("method or Idempotency-Key, for this class"));
        }
        let id = single_header(headers, "req-id")?
            .filter(|id| is_valid_id(id.as_bytes()))
            .ok_or(Fault::Bad("Req-Id"))?;
        let plan = header_text(headers, "api-plan")?.ok_or(Fault::Bad("Api-Plan"))?;
        let plan = self.plans.iter().find(|p| ***p == *plan).ok_or(Fault::Bad("Api-Plan"))?.clone();
        let customer = header_text(headers, "api-customer")?
            .filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))
            .filter(|c| u64::from_str_radix(c, 16).is_ok_and(|n| n < 1 << 33))
            .ok_or(Fault::Bad("Api-Customer"))?;
        // A customer has one name: its quota must not multiply with the case of the hexadecimal digits.
        let customer = Name::from(customer.to_ascii_lowercase());
        let client_timeout = header_text(headers, "req-deadline-ms")?
            .and_then(parse_number)
            .filter(|ms| (1..=MAX_CLIENT_TIMEOUT_MS).contains(ms))
            .ok_or(Fault::Bad("Req-Deadline-Ms"))?;
        let client_timeout = Duration::from_millis(client_timeout);
        let is_retry = match header_text(headers, "req-retry")? {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(Fault::Bad("Req-Retry")),
        };
        let terms = header_text(headers, "api-terms")?.ok_or(Fault::Bad("Api-Terms"))?;
        let (units, gateway_count, first_gateway) = self.parse_terms(terms).ok_or(Fault::Bad("Api-Terms"))?;
        let mut forwarded = HeaderMap::new();
        for (name, value) in [(IDEMPOTENCY_KEY, key), (CONTENT_TYPE, headers.get(CONTENT_TYPE))] {
            forwarded.extend(value.map(|value| (name, value.clone())));
        }
        let repeatable = method.is_safe() || key.is_some();
        let (id, body) = (id.clone(), Bytes::new());
        let message = Message {
            method,
            target,
            id,
            repeatable,
            headers: forwarded,
            body,
            used_connections: UsedConnections::default(),
        };
        Ok(ParsedRequest {
            class,
            plan,
            customer,
            units,
            gateway_count,
            first_gateway,
            is_retry,
            client_timeout,
            message,
        })
    }

    /// Parses `units=2,spread=3,first=1`; the default is one unit.
    fn parse_terms(&self, text: &str) -> Option<(f64, u32, u32)> {
        let (mut units, mut spread, mut first) = (1.0, None, None);
        for pair in text.split(',') {
            match pair.trim().split_once('=')? {
                ("units", value) => units = value.parse::<f64>().ok()?,
                ("spread", value) => spread = Some(parse_number(value)?),
                ("first", value) => first = Some(parse_number(value)?),
                _ => {}
            }
        }
        // Rejects implausible requests in a customer's name, which would distort the records of regular
        // customers.
        let max_units = if self.max_request_units > 0.0 { self.max_request_units } else { f64::MAX };
        let spread = spread.filter(|s| (1..=self.total_gateways).contains(s))?;
        (units > 0.0 && units <= max_units).then_some((
            units,
            spread,
            first.filter(|f| *f < self.total_gateways)?,
        ))
    }

    /// Submits a request to the engine; returns the final answer and whether it is a backend's.
    async fn dispatch(&self, request: ParsedRequest) -> (Response<Full<Bytes>>, bool) {
        let ParsedRequest {
            class,
            plan,
            customer,
            units,
            gateway_count,
            first_gateway,
            is_retry,
            client_timeout,
            message,
        } = request;
        let margin = RESPONSE_MARGIN.min(client_timeout.mul_f64(MAX_MARGIN_SHARE));
        let (timeout, now) = (client_timeout - margin, Instant::now());
        let timeout_ms = to_millis(timeout);
        let (id, reply) = self.engine.submit(
            |id| Arrival {
                id,
                customer,
                plan,
                class,
                units,
                is_retry,
                client_timeout: timeout_ms,
                first_gateway,
                gateway_count,
                constraints: None,
            },
            message,
            now.later_by(timeout),
        );
        let reply_wait = ReplyWait { engine: &self.engine, id };
        // Guarantees a final answer in time even if the decision module loses the request.
        let reply = timeout_at(now.later_by(timeout + REPLY_GRACE.min(margin / 2)), reply).await;
        drop(reply_wait);
        if faults::affects(faults::Fault::NeverAnswer, id) {
            std::future::pending::<()>().await;
        }
        match reply {
            Ok(Ok(Reply::Served(answer))) => {
                let mut response = Response::new(Full::new(answer.body));
                *response.headers_mut() = answer.headers;
                (response, true)
            }
            Ok(Ok(Reply::Refused(wait))) => {
                (retry_later(StatusCode::TOO_MANY_REQUESTS, "refused, try again later\n", wait), false)
            }
            Ok(Ok(Reply::Failed(false)) | Err(_)) => (plain_text(StatusCode::BAD_GATEWAY, "failed\n"), false),
            Ok(Ok(Reply::Failed(true))) | Err(_) => {
                (plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"), false)
            }
        }
    }
}

/// A request whose client waits for the reply. When dropped, it reports to the engine that the client
/// disconnected, as when the connection closes; after a reply, this has no effect.
struct ReplyWait<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl Drop for ReplyWait<'_> {
    fn drop(&mut self) {
        self.engine.client_disconnected(self.id);
    }
}

/// Keeps an id registered as open until dropped.
struct OpenIdGuard<'a> {
    ids: &'a RefCell<OpenIds<HeaderValue>>,
    id: HeaderValue,
}

impl Drop for OpenIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().leave(&self.id);
    }
}

/// Parses a number that consists of digits only, without sign or spaces.
fn parse_number<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The only value of a header. A header given twice is rejected, as others may interpret it differently.
fn single_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a HeaderValue>, Fault> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(Fault::Bad(name)) } else { Ok(value) }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Fault> {
    single_header(headers, name)?.map(|value| value.to_str().map_err(|_| Fault::Bad(name))).transpose()
}

fn is_valid_id(text: &[u8]) -> bool {
    (1..=64).contains(&text.len()) && text.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}

fn refuse(fault: Fault) -> Response<Full<Bytes>> {
    match fault {
        Fault::NoPath => plain_text(StatusCode::NOT_FOUND, "no such path\n"),
        Fault::TooMany(wait) => retry_later(
            StatusCode::SERVICE_UNAVAILABLE,
            "too many open for this client, try again later\n",
            wait,
        ),
        Fault::TooLarge => plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        Fault::Bad(what) => {
            let mut response = plain_text(StatusCode::BAD_REQUEST, "");
            *response.body_mut() = Full::from(format!("unusable: {what}\n"));
            response
        }
    }
}

/// An answer with a `Retry-After` header; `wait` is in ms.
fn retry_later(status: StatusCode, text: &'static str, wait: f64) -> Response<Full<Bytes>> {
    let mut response = plain_text(status, text);
    if let Ok(wait) = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0)) {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}

fn plain_text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
