//! The clients' side: takes requests in, reads their headers, writes their answers, drains at the end.

use crate::back::backends::{LARGEST_BODY, Message};
use crate::clock::millis;
use crate::engine::{Engine, Reply};
use crate::faults;
use crate::front::door::Door;
use crate::front::guest::{BUFFER, Guest, Tap};
use bytes::Bytes;
use doorcourse::{Arrival, Name, RequestId, RetrySafety, Settings};
use fennelscale_admission::client_origin;
use fennelscale_settings::admission::{Forged, Header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
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
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The last byte of an answer must be out before the client's patience ends: the decisions are told of this
/// much less, and of no less than the given share.
const MARGIN: Duration = Duration::from_millis(25);
const MARGIN_SHARE: f64 = 0.25;
/// What has no answer this long after the decisions' time is over gets one all the same.
const BACKSTOP: Duration = Duration::from_millis(10);
/// No client waits longer than this; who claims so is not believed.
const LONGEST_PATIENCE: u64 = 600_000;
/// After the signal to end new connections are taken for this long. Halfway idle ones are closed ...
const LINGER: Duration = Duration::from_millis(500);
/// ... and those that came last have this long for their first request, in which blocks go back to the quotas.
const HAND_BACK: Duration = Duration::from_millis(200);
/// Who is asked to leave is let go of after this.
const LAST_CALL: Duration = Duration::from_millis(50);
/// After the last final answer connections have this long to be done with.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// A request that is not taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// There is no such path.
    NoPath,
    /// Something in it is missing, malformed or absurd.
    Bad(&'static str),
    /// The body is too large.
    TooLarge,
    /// Its client has too many open behind its proxy; to come again after so many ms.
    TooMany(f64),
}

/// Names a request that may be repeated.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Names the client of a request, as some proxies say it.
const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// What a request says of itself.
struct Ticket {
    class: Name,
    plan: Name,
    customer: Name,
    units: f64,
    spread: u32,
    first: u32,
    repeat: bool,
    patience: Duration,
    message: Message,
}

/// The front side of one gateway.
pub struct Front {
    engine: Rc<Engine>,
    classes: Vec<(Name, RetrySafety)>,
    plans: Vec<Name>,
    /// What a class's and a plan's request is worth, as a share of the worthiest.
    worths: [Vec<f64>; 2],
    most_units: f64,
    gateways: u32,
    /// The ids of all requests without an answer.
    ids: RefCell<OpenIds<HeaderValue>>,
    door: Rc<Door>,
    draining: Cell<bool>,
}

impl Front {
    /// A front side behind a door.
    pub fn new(engine: Rc<Engine>, settings: &Settings, door: Rc<Door>) -> Rc<Self> {
        let shares = |worths: Vec<f64>| {
            let most = worths.iter().copied().fold(0.0, f64::max);
            worths.into_iter().map(|w| if most > 0.0 { w / most } else { 1.0 }).collect()
        };
        let worths = [
            shares(settings.classes.iter().map(|c| c.value).collect()),
            shares(settings.plans.iter().map(|p| p.value_factor).collect()),
        ];
        Rc::new(Self {
            engine,
            classes: settings.classes.iter().map(|c| (c.name.clone(), c.retry_safety)).collect(),
            plans: settings.plans.iter().map(|p| p.name.clone()).collect(),
            most_units: settings.max_request_units,
            gateways: settings.gateways,
            ids: RefCell::default(),
            worths,
            door,
            draining: Cell::new(false),
        })
    }

    /// Serves clients until `end` resolves, then lets those finish that are there. Returns when the last one
    /// has gone.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, end: impl Future<Output = ()>) {
        let (close, closing) = watch::channel(0);
        let ended = async {
            end.await;
            self.draining.set(true);
            sleep(LINGER / 2).await;
            // Guards requests that cross the close of an idle connection: these are sent once more on a new
            // one, so new ones must still be taken.
            close.send_modify(|round| *round += 1);
            sleep(LINGER / 2).await;
        };
        let front = self.clone();
        self.door.open(Rc::new(move |stream, ahead, guest| {
            front.clone().welcome(stream, ahead, guest, closing.clone());
        }));
        let mut ended = pin!(ended);
        loop {
            tokio::select! {
                () = ended.as_mut() => break,
                () = self.door.accept(&listener) => {}
            }
        }
        // What the machine has accepted for us already is ours to answer.
        self.door.accept_the_last(&listener, Instant::now() + LINGER / 2).await;
        drop(listener);
        self.engine.hand_back(HAND_BACK).await;
        close.send_modify(|round| *round += 1);
        // Guards the end against clients that stop half-way: once nothing that was taken waits for its answer,
        // the last answers and the last bodies have this long.
        let mut quiet = Instant::now();
        while !self.door.is_empty() && quiet.elapsed() < LAST_WORDS {
            let _ = timeout(LAST_WORDS / 10, self.door.left.notified()).await;
            if self.engine.waiting() > 0 {
                quiet = Instant::now();
            }
        }
    }

    fn welcome(
        self: Rc<Self>, stream: TcpStream, ahead: Vec<u8>, guest: Rc<Guest>,
        mut closing: watch::Receiver<u32>,
    ) {
        let round = *closing.borrow();
        crate::task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (front, guest) = (self.clone(), guest.clone());
                async move {
                    let (response, share) = front.answer(request, &guest).await;
                    guest.done(share);
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .header_read_timeout(None)
                .max_buf_size(BUFFER)
                .serve_connection(TokioIo::new(Tap::new(stream, ahead, guest.clone())), service);
            let mut connection = pin!(connection);
            // Lets go of what `wait_for` hands out: it locks the channel, and the next round would wait for
            // it on this one thread for ever.
            let mut closing = pin!(async { drop(closing.wait_for(|now| *now > round).await) });
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
                    // A request that came just now is answered still.
                    let over = timeout(LAST_CALL, connection.as_mut()).await.is_ok();
                    if !over && guest.is_busy() {
                        let _ = connection.await;
                    }
                }
            }
            guest.life.step(Event::Closed);
            self.door.gone(&guest);
        });
    }

    /// The one answer to a request, and what it was worth if it was served.
    async fn answer(
        &self, request: Request<Incoming>, guest: &Guest,
    ) -> (Response<Full<Bytes>>, Option<f64>) {
        let mut last = request.headers().contains_key(TRANSFER_ENCODING);
        let has_body = !request.body().is_end_stream();
        let mut share = None;
        let mut response = if request.uri().path() == "/up" {
            self.up(request.method())
        } else {
            let taken = match self.place(request.headers(), guest) {
                Ok(()) => self.take(request, guest).await,
                Err(fault) => Err(fault),
            };
            match taken.and_then(|ticket| Ok((self.enter(ticket.message.id.clone())?, ticket))) {
                Ok((_entry, ticket)) => {
                    guest.taken();
                    let worth = self.worth(&ticket);
                    let (response, served) = self.decide(ticket).await;
                    share = served.then_some(worth);
                    response
                }
                Err(fault) => {
                    // Who asked wrongly may have meant something else with the bytes that follow.
                    last |= has_body || !matches!(fault, Fault::TooMany(_));
                    refuse(fault)
                }
            }
        };
        // So that clients find another gateway, or make room for others here.
        let full = || self.door.desk.ask(|admission, now| admission.is_full(now, guest.id));
        if last || self.draining.get() || full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        (response, share)
    }

    /// What a request is worth if it is served, as a share of what the worthiest is.
    fn worth(&self, ticket: &Ticket) -> f64 {
        let [classes, plans] = &self.worths;
        let class = self.classes.iter().position(|(name, _)| *name == ticket.class);
        let plan = self.plans.iter().position(|name| *name == ticket.plan);
        class.zip(plan).map_or(0.0, |(class, plan)| classes[class] * plans[plan])
    }

    /// Whose a request is, where its connection is a proxy's that many share; a proxy's header from who is none is a fault.
    fn place(&self, headers: &HeaderMap, guest: &Guest) -> Result<(), Fault> {
        let header = match self.door.desk.ask(|admission, _| admission.shared_header(guest.id)) {
            Some(header) => header,
            None if self.door.settings().forged == Forged::Ignore => return Ok(()),
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
        self.door.desk.ask(|admission, now| {
            let client = match header {
                Header::Forwarded => {
                    values(FORWARDED).and_then(|v| client_origin::from_forwarded(&v, admission.networks()))
                }
                _ => values(X_FORWARDED_FOR)
                    .and_then(|v| client_origin::from_x_forwarded_for(&v, admission.networks())),
            };
            match client
                .map_err(|client_origin::MalformedOrigin| Fault::Bad("Forwarded or X-Forwarded-For"))?
            {
                None => Ok(()),
                Some(client) => admission.assign_request(now, guest.id, client).map_err(Fault::TooMany),
            }
        })
    }

    /// Whether new clients should come here.
    fn up(&self, method: &Method) -> Response<Full<Bytes>> {
        match *method {
            Method::GET | Method::HEAD if self.draining.get() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "ending\n")
            }
            Method::GET | Method::HEAD => plain(StatusCode::OK, "up\n"),
            _ => refuse(Fault::Bad("method")),
        }
    }

    /// Notes that a request is open. Guards its answer against others that bear its id.
    fn enter(&self, id: HeaderValue) -> Result<Entry<'_>, Fault> {
        if self.ids.borrow_mut().enter(id.clone()) {
            Ok(Entry { ids: &self.ids, id })
        } else {
            Err(Fault::Bad("Req-Id, open already"))
        }
    }

    /// Reads a request whole.
    async fn take(&self, request: Request<Incoming>, guest: &Guest) -> Result<Ticket, Fault> {
        // Guards against requests hidden in the body of another.
        if request.headers().contains_key(TRANSFER_ENCODING) && !guest.is_plainly_chunked(&request) {
            return Err(Fault::Bad("Transfer-Encoding"));
        }
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().ok_or(Fault::NoPath)?.clone();
        let mut ticket = self.read(head.method, target, &head.headers)?;
        if body.is_end_stream() {
            return Ok(ticket);
        }
        if ticket.message.method == Method::GET {
            return Err(Fault::Bad("a body where none belongs"));
        }
        if body.size_hint().lower() > LARGEST_BODY as u64 {
            return Err(Fault::TooLarge);
        }
        // The connection's own time bounds this: it is closed when that is over.
        match Limited::new(body, LARGEST_BODY).collect().await {
            Ok(body) => ticket.message.body = body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => return Err(Fault::TooLarge),
            Err(_) => return Err(Fault::Bad("body")),
        }
        Ok(ticket)
    }

    fn read(
        &self, method: Method, target: hyper::http::uri::PathAndQuery, headers: &HeaderMap,
    ) -> Result<Ticket, Fault> {
        let first = target.path().strip_prefix('/').and_then(|p| p.split('/').next());
        let class = first.filter(|c| !c.is_empty()).ok_or(Fault::NoPath)?;
        let class = self.classes.iter().find(|(name, _)| **name == *class);
        let (class, effect) = class.cloned().ok_or(Fault::Bad("class"))?;
        let key = single(headers, "idempotency-key")?;
        let fits = match effect {
            RetrySafety::Safe => method == Method::GET && key.is_none(),
            RetrySafety::Keyed => method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            RetrySafety::Unsafe => method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err(Fault::Bad("method or Idempotency-Key, for this class"));
        }
        let id = single(headers, "req-id")?.filter(|id| is_id(id.as_bytes())).ok_or(Fault::Bad("Req-Id"))?;
        let plan = text(headers, "api-plan")?.ok_or(Fault::Bad("Api-Plan"))?;
        let plan = self.plans.iter().find(|p| ***p == *plan).ok_or(Fault::Bad("Api-Plan"))?.clone();
        let customer = text(headers, "api-customer")?
            .filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))
            .filter(|c| u64::from_str_radix(c, 16).is_ok_and(|n| n < 1 << 33))
            .ok_or(Fault::Bad("Api-Customer"))?;
        // One customer, one name: its quota does not double with the case of its digits.
        let customer = Name::from(customer.to_ascii_lowercase());
        let patience = text(headers, "req-deadline-ms")?
            .and_then(number)
            .filter(|ms| (1..=LONGEST_PATIENCE).contains(ms))
            .ok_or(Fault::Bad("Req-Deadline-Ms"))?;
        let patience = Duration::from_millis(patience);
        let repeat = match text(headers, "req-retry")? {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(Fault::Bad("Req-Retry")),
        };
        let terms = text(headers, "api-terms")?.ok_or(Fault::Bad("Api-Terms"))?;
        let (units, spread, first) = self.terms(terms).ok_or(Fault::Bad("Api-Terms"))?;
        let mut passed = HeaderMap::new();
        for (name, value) in [(IDEMPOTENCY_KEY, key), (CONTENT_TYPE, headers.get(CONTENT_TYPE))] {
            passed.extend(value.map(|value| (name, value.clone())));
        }
        let repeatable = method.is_safe() || key.is_some();
        let (id, body) = (id.clone(), Bytes::new());
        let message = Message { method, target, id, repeatable, headers: passed, body };
        Ok(Ticket { class, plan, customer, units, spread, first, repeat, patience, message })
    }

    /// Reads `units=2,spread=3,first=1`; a request of no said units is one unit.
    fn terms(&self, text: &str) -> Option<(f64, u32, u32)> {
        let (mut units, mut spread, mut first) = (1.0, None, None);
        for pair in text.split(',') {
            match pair.trim().split_once('=')? {
                ("units", value) => units = value.parse::<f64>().ok()?,
                ("spread", value) => spread = Some(number(value)?),
                ("first", value) => first = Some(number(value)?),
                _ => {}
            }
        }
        // Guards what is kept of usual customers against requests in their name that can't be theirs.
        let most = if self.most_units > 0.0 { self.most_units } else { f64::MAX };
        let spread = spread.filter(|s| (1..=self.gateways).contains(s))?;
        (units > 0.0 && units <= most).then_some((units, spread, first.filter(|f| *f < self.gateways)?))
    }

    /// The final answer, and whether it is a backend's.
    async fn decide(&self, ticket: Ticket) -> (Response<Full<Bytes>>, bool) {
        let Ticket { class, plan, customer, units, spread, first, repeat, patience, message } = ticket;
        let margin = MARGIN.min(patience.mul_f64(MARGIN_SHARE));
        let (patience, now) = (patience - margin, Instant::now());
        let patience_ms = millis(patience);
        let (id, reply) = self.engine.open(
            |id| Arrival {
                id,
                customer,
                plan,
                class,
                units,
                is_retry: repeat,
                client_timeout: patience_ms,
                first_gateway: first,
                gateway_count: spread,
                constraints: None,
            },
            message,
            now + patience,
        );
        let waiting = Waiting { engine: &self.engine, id };
        // Guards the one final answer: should the decisions forget a request, it still gets one in time.
        let reply = timeout_at(now + patience + BACKSTOP.min(margin / 2), reply).await;
        drop(waiting);
        if faults::strikes(faults::Fault::NeverAnswer, id) {
            std::future::pending::<()>().await;
        }
        match reply {
            Ok(Ok(Reply::Served(answer))) => {
                let mut response = Response::new(Full::new(answer.body));
                *response.headers_mut() = answer.headers;
                (response, true)
            }
            Ok(Ok(Reply::Refused(wait))) => {
                (later(StatusCode::TOO_MANY_REQUESTS, "refused, try again later\n", wait), false)
            }
            Ok(Ok(Reply::Failed(false)) | Err(_)) => (plain(StatusCode::BAD_GATEWAY, "failed\n"), false),
            Ok(Ok(Reply::Failed(true))) | Err(_) => {
                (plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"), false)
            }
        }
    }
}

/// A request whose client waits. Dropped without an answer, as when the connection closes, it tells that the
/// client has left; after an answer that finds nothing.
struct Waiting<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.engine.client_left(self.id);
    }
}

/// Keeps an id among those of open requests.
struct Entry<'a> {
    ids: &'a RefCell<OpenIds<HeaderValue>>,
    id: HeaderValue,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().leave(&self.id);
    }
}

/// A number in digits alone: no sign, no space.
fn number<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The only value of a header; a header given twice may be read differently by others.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a HeaderValue>, Fault> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(Fault::Bad(name)) } else { Ok(value) }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Fault> {
    single(headers, name)?.map(|value| value.to_str().map_err(|_| Fault::Bad(name))).transpose()
}

fn is_id(text: &[u8]) -> bool {
    (1..=64).contains(&text.len()) && text.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}

fn refuse(fault: Fault) -> Response<Full<Bytes>> {
    match fault {
        Fault::NoPath => plain(StatusCode::NOT_FOUND, "no such path\n"),
        Fault::TooMany(wait) => {
            later(StatusCode::SERVICE_UNAVAILABLE, "too many open for this client, try again later\n", wait)
        }
        Fault::TooLarge => plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        Fault::Bad(what) => {
            let mut response = plain(StatusCode::BAD_REQUEST, "");
            *response.body_mut() = Full::from(format!("unusable: {what}\n"));
            response
        }
    }
}

/// An answer that says when to come again, in ms.
fn later(status: StatusCode, text: &'static str, wait: f64) -> Response<Full<Bytes>> {
    let mut response = plain(status, text);
    if let Ok(wait) = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0)) {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
