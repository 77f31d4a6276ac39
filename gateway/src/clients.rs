//! The clients' side: takes requests in, reads their headers, writes their answers, drains at the end.

use crate::backends::{LARGEST_BODY, Message};
use crate::clock::millis;
use crate::engine::{Engine, Reply};
use crate::faults;
use crate::observe::Life;
use bytes::Bytes;
use doorcourse::{Arrival, Effect, Name, RequestId, Settings};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use life::inbound::{Event, Inbound, OpenIds};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::str::FromStr;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// The last byte of an answer must be out before the client's patience ends: the decisions are told of this
/// much less, and of no less than the given share.
const MARGIN: Duration = Duration::from_millis(25);
const MARGIN_SHARE: f64 = 0.25;
/// What has no answer this long after the decisions' time is over gets one all the same.
const BACKSTOP: Duration = Duration::from_millis(10);
/// No client waits longer than this; who claims so is not believed.
const LONGEST_PATIENCE: u64 = 600_000;
/// A connection on which no request is taken is closed after this: from its start, its last answer or the first
/// byte of its next request. Guards against clients that ask once and stay, that say nothing, and that bring
/// head or body in single bytes: more bytes don't renew it.
const UNASKED: Duration = Duration::from_millis(2500);
/// A failed accept is tried again after this: descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// After the signal to end new connections are taken for this long. Halfway idle ones are closed ...
const LINGER: Duration = Duration::from_millis(500);
/// ... and those that came last have this long for their first request, in which blocks go back to the quotas.
const HAND_BACK: Duration = Duration::from_millis(200);
/// Who is asked to leave is let go of after this.
const LAST_CALL: Duration = Duration::from_millis(50);
/// After the last final answer connections have this long to be done with.
const LAST_WORDS: Duration = Duration::from_millis(500);
/// From this part of the most clients on, those who are idle are asked to leave for each that comes. Guards
/// usual clients against a crowd that asks once and stays: clients, and whatever stands before the gateway, have
/// an end to their connections too, so a connection kept open for nobody is one that others miss long before
/// descriptors run out here. It could hurt usual clients that are many and ask seldom: they connect anew.
const CROWDED_PART: usize = 2;
/// Who came less than this ago may be about to ask.
const NEWCOMER: Duration = Duration::from_millis(100);
/// Read buffers hold one request's headers.
const BUFFER: usize = 16 * 1024;

/// A request that is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// There is no such path.
    NoPath,
    /// Something in it is missing, malformed or absurd.
    Bad(&'static str),
    /// The body is too large.
    TooLarge,
}

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
    classes: Vec<(Name, Effect)>,
    plans: Vec<Name>,
    most_units: f64,
    gateways: u32,
    /// The ids of all requests without an answer.
    ids: RefCell<OpenIds<HeaderValue>>,
    most_clients: usize,
    guests: RefCell<Vec<Rc<Guest>>>,
    left: Notify,
    draining: Cell<bool>,
}

/// One client's connection.
struct Guest {
    life: Life<Inbound>,
    /// When it came, was last answered or began to ask.
    since: Cell<Instant>,
    asked_to_leave: Cell<bool>,
    /// What came since, up to the end of a head.
    head: RefCell<Vec<u8>>,
    leave: Notify,
}

impl Guest {
    fn new() -> Self {
        Self {
            life: Life::new(Inbound::accepted()),
            since: Cell::new(Instant::now()),
            asked_to_leave: Cell::new(false),
            head: RefCell::default(),
            leave: Notify::new(),
        }
    }

    /// Whether a request that was taken whole has no answer yet.
    fn is_busy(&self) -> bool {
        self.life.now() == Inbound::Open
    }

    /// When its time to bring a request is over.
    fn due(&self) -> Instant {
        let since = if self.is_busy() { Instant::now() } else { self.since.get() };
        since + UNASKED
    }

    /// Notes bytes that came.
    fn note(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.life.now() == (Inbound::Quiet { answered: true }) {
            self.since.set(Instant::now());
        }
        self.life.step(Event::Bytes);
        let mut head = self.head.borrow_mut();
        if self.is_busy() || head.ends_with(HEAD_END) {
            return;
        }
        let from = head.len().saturating_sub(HEAD_END.len());
        let room = BUFFER - head.len();
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        if let Some(at) = head[from..].windows(HEAD_END.len()).position(|w| w == HEAD_END) {
            head.truncate(from + at + HEAD_END.len());
        }
    }

    /// Notes an answer.
    fn done(&self) {
        self.life.step(if self.is_busy() { Event::Answered } else { Event::TurnedAway });
        self.since.set(Instant::now());
        self.head.take();
    }

    /// Whether a head with a `Transfer-Encoding` has no length beside it. The HTTP library drops a length that
    /// stands behind, so the bytes themselves are asked: they must be those of this head.
    fn is_plainly_chunked(&self, request: &Request<Incoming>) -> bool {
        let start = format!("{} {} HTTP/1.1\r\n", request.method(), request.uri());
        let head = self.head.borrow().to_ascii_lowercase();
        let mut encodings = request.headers().get_all(TRANSFER_ENCODING).iter();
        head.starts_with(start.to_ascii_lowercase().as_bytes())
            && head.ends_with(HEAD_END)
            && !head.split(|b| *b == b'\n').any(|line| line.starts_with(CONTENT_LENGTH.as_str().as_bytes()))
            && encodings.next().is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"chunked"))
            && encodings.next().is_none()
    }
}

/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A client's socket as the HTTP library sees it.
struct Tap {
    stream: TcpStream,
    guest: Rc<Guest>,
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.guest.note(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tap {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        if faults::on(faults::Fault::AnswerTwice) && buf.starts_with(b"HTTP/1.1 200") {
            let _ = self.stream.try_write(buf);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        !faults::on(faults::Fault::AnswerTwice) && self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Front {
    /// A front side that takes at most `most_clients` connections at once.
    pub fn new(engine: Rc<Engine>, settings: &Settings, most_clients: usize) -> Rc<Self> {
        Rc::new(Self {
            engine,
            classes: settings.classes.iter().map(|c| (c.name.clone(), c.effect)).collect(),
            plans: settings.plans.iter().map(|p| p.name.clone()).collect(),
            most_units: settings.most_units,
            gateways: settings.gateways,
            ids: RefCell::default(),
            most_clients,
            guests: RefCell::default(),
            left: Notify::new(),
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
        let mut ended = pin!(ended);
        loop {
            tokio::select! {
                () = ended.as_mut() => break,
                stream = self.accept(&listener) => self.clone().welcome(stream, closing.clone()),
            }
        }
        // What the machine has accepted for us already is ours to answer.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.clone().welcome(stream, closing.clone());
        }
        drop(listener);
        self.engine.hand_back(HAND_BACK).await;
        close.send_modify(|round| *round += 1);
        // Guards the end against clients that stop half-way: once nothing that was taken waits for its answer,
        // the last answers and the last bodies have this long.
        let mut quiet = Instant::now();
        while !self.guests.borrow().is_empty() && quiet.elapsed() < LAST_WORDS {
            let _ = timeout(LAST_WORDS / 10, self.left.notified()).await;
            if self.engine.waiting() > 0 {
                quiet = Instant::now();
            }
        }
    }

    fn is_full(&self) -> bool {
        self.guests.borrow().len() >= self.most_clients
    }

    fn ask_idle_to_leave(&self) {
        let (guests, now) = (self.guests.borrow(), Instant::now());
        // Those first who said they would ask and didn't, last those who just came.
        let rank =
            |g: &Rc<Guest>| match (g.life.now().was_answered(), now.duration_since(g.since.get()) < NEWCOMER)
            {
                (false, false) => 0,
                (true, _) => 1,
                (false, true) => 2,
            };
        let asleep = guests.iter().filter(|g| !g.is_busy() && !g.asked_to_leave.get());
        if let Some(guest) = asleep.min_by_key(|g| (rank(g), g.since.get())) {
            guest.asked_to_leave.set(true);
            guest.leave.notify_one();
        }
    }

    async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            // Guards the descriptors: who finds no room waits in the machine's line, and guards those who wait
            // there against clients that keep a connection and say nothing.
            if self.guests.borrow().len() >= self.most_clients / CROWDED_PART {
                self.ask_idle_to_leave();
            }
            while self.is_full() {
                self.left.notified().await;
                self.ask_idle_to_leave();
            }
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn welcome(self: Rc<Self>, stream: TcpStream, mut closing: watch::Receiver<u32>) {
        let guest = Rc::new(Guest::new());
        self.guests.borrow_mut().push(guest.clone());
        let round = *closing.borrow();
        crate::task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (front, guest) = (self.clone(), guest.clone());
                async move {
                    let response = front.answer(request, &guest).await;
                    guest.done();
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .header_read_timeout(None)
                .max_buf_size(BUFFER)
                .serve_connection(TokioIo::new(Tap { stream, guest: guest.clone() }), service);
            let mut connection = pin!(connection);
            // Lets go of what `wait_for` hands out: it locks the channel, and the next round would wait for
            // it on this one thread for ever.
            let mut closing = pin!(async { drop(closing.wait_for(|now| *now > round).await) });
            let over = async {
                while Instant::now() < guest.due() {
                    sleep_until(guest.due()).await;
                }
            };
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = over => guest.life.step(Event::TimeUp),
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
            self.guests.borrow_mut().retain(|g| !Rc::ptr_eq(g, &guest));
            self.left.notify_one();
        });
    }

    /// The one answer to a request.
    async fn answer(&self, request: Request<Incoming>, guest: &Guest) -> Response<Full<Bytes>> {
        let mut last = request.headers().contains_key(TRANSFER_ENCODING);
        let mut response = if request.uri().path() == "/up" {
            self.up(request.method())
        } else {
            let taken = self.take(request, guest).await;
            match taken.and_then(|ticket| Ok((self.enter(ticket.message.id.clone())?, ticket))) {
                Ok((_entry, ticket)) => {
                    guest.life.step(Event::Taken);
                    self.decide(ticket).await
                }
                Err(fault) => {
                    // Who asked wrongly may have meant something else with the bytes that follow.
                    last = true;
                    refuse(fault)
                }
            }
        };
        // So that clients find another gateway, or make room for others here.
        if last || self.draining.get() || self.is_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
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
            Effect::Safe => method == Method::GET && key.is_none(),
            Effect::Keyed => method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            Effect::Unsafe => method == Method::POST && key.is_none(),
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
        let (kind, key) = (headers.get(CONTENT_TYPE).cloned(), key.cloned());
        let message = Message { method, target, id: id.clone(), key, kind, body: Bytes::new() };
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

    async fn decide(&self, ticket: Ticket) -> Response<Full<Bytes>> {
        let Ticket { class, plan, customer, units, spread, first, repeat, patience, message } = ticket;
        let margin = MARGIN.min(patience.mul_f64(MARGIN_SHARE));
        let (patience, now) = (patience - margin, Instant::now());
        let patience_ms = millis(patience);
        let (id, reply) = self.engine.open(
            |id| Arrival { id, customer, plan, class, units, repeat, patience: patience_ms, first, spread },
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
                response
            }
            Ok(Ok(Reply::Refused(wait))) => {
                let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused, try again later\n");
                if let Ok(wait) = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0)) {
                    response.headers_mut().insert(RETRY_AFTER, wait);
                }
                response
            }
            Ok(Ok(Reply::Failed(false)) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
            Ok(Ok(Reply::Failed(true))) | Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
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
        Fault::TooLarge => plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        Fault::Bad(what) => {
            let mut response = plain(StatusCode::BAD_REQUEST, "");
            *response.body_mut() = Full::from(format!("unusable: {what}\n"));
            response
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
