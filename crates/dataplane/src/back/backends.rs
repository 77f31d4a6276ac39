//! The backends' side: where they listen, the connections to them, attempts and probes and how they end.

use crate::back::link::{Link, Progress, is_descriptor_shortage};
use crate::observe::Life;
use bytes::Bytes;
use doorcourse::{BackendState, LoadReport, LoadReportSource, Name, Outcome};
use fennelscale_settings::list::List;
use fennelscale_settings::load;
use fennelscale_wire::reuse::{ResponseFault, ReusePolicy};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Method, Request, StatusCode};
use life::attempt::{Attempt, Event};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

/// The largest body that is taken, either way.
pub const LARGEST_BODY: usize = 64 * 1024;
/// An answer that has begun must be whole after this: it is small and ready when its first byte is written.
const ANSWER: Duration = Duration::from_millis(250);
/// Idle connections are looked after this often.
const ROUND: Duration = Duration::from_secs(1);
/// A connection is kept idle for this share of the time after which backends close it: well before.
const IDLE_SHARE: f64 = 0.5;
/// Of the time that a backend says so much is used.
const KEEPS_SHARE: f64 = 0.8;
/// How old kept connections are is told apart in so many steps, each this many times the one before; the first
/// ends here.
const AGES: usize = 6;
const AGE_STEP: u128 = 4;
const YOUNGEST: Duration = Duration::from_millis(25);
/// Without a descriptor a connection is tried again after this.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// Weight of the newest outcome in the share of connections of an age that broke.
const NEWEST: f64 = 0.1;
/// Kept connections may break more often than new ones by this share of their requests; for requests that
/// must not be repeated by less.
const BREAKS_MOST: f64 = 0.05;
const BREAKS_UNSAFE: f64 = 0.02;
/// By this share an age that is passed over is trusted more, so that it is tried again.
const FORGETS: f64 = 0.02;
/// The load report that comes with answers.
const LOAD: &str = "srv-load";

/// What a client asked, as far as it goes on to a backend.
#[derive(Clone, Debug)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: hyper::http::uri::PathAndQuery,
    /// What names the request.
    pub id: HeaderValue,
    /// Whether it may be sent again if its connection breaks.
    pub repeatable: bool,
    /// The headers that go on; [`Speech::request`] adds those that it needs.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A backend's answer, for the client.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that belong to the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// What was served.
    pub answer: Option<Answer>,
    /// The load report that came along.
    pub load: Option<LoadReport>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: None }
    }
}

/// What a request asks of its connection.
#[derive(Clone, Copy)]
struct Wants<'a> {
    /// It may be sent again if its connection breaks.
    repeatable: bool,
    /// One that has carried nothing yet.
    own: bool,
    /// What answers may name it by.
    id: Option<&'a HeaderValue>,
    /// Its last byte is written by then or not at all.
    write_by: Option<Instant>,
}

/// What an answer says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the client's answer.
    Served,
    /// The request was turned away and has not run.
    Full,
    /// Another backend has its address by now; the request has not run.
    Elsewhere,
    /// It is none for the client; the request may have run.
    Error,
}

/// What a deployment's backends speak, beyond HTTP.
pub trait Speech {
    /// The head of a request; `left` is the time until its client gives up.
    fn request(&self, message: &Message, backend: &Name, dial: SocketAddr, left: Duration) -> Builder;
    /// What an answer says; of a request that is `repeatable`, another backend's answer may be the better one.
    fn verdict(&self, head: &response::Parts, repeatable: bool) -> Verdict;
    /// The path that is asked for a sign of life, or for a load report where there are any.
    fn probe(&self) -> &str;
}

struct Backend {
    dial: SocketAddr,
    ready: bool,
    /// Another backend has answered at its address.
    departed: bool,
    /// When it last answered anything.
    heard: Instant,
    /// Free connections, the one used last at the end, and since when.
    idle: Vec<(Link, Instant)>,
    /// When bytes for nobody last came from it.
    fault: Option<Instant>,
    /// How long it keeps idle connections, where it says so.
    keeps: Option<Duration>,
}

impl Backend {
    /// Whether anything new may be sent to it.
    fn is_open(&self) -> bool {
        self.ready && !self.departed
    }

    /// How long a free connection to it is trusted: what it says, less the time that its word may be late, or what is usual.
    fn longest_idle(&self, usual: Duration) -> Duration {
        self.keeps.map_or(usual, |keeps| keeps.mul_f64(KEEPS_SHARE))
    }
}

/// How long a backend keeps idle connections, by its `Keep-Alive`.
fn keeps(head: &response::Parts) -> Option<Duration> {
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// How often connections break under a request before anything comes back: new ones, and kept ones by how long
/// they have stood idle. Guards requests against peers, or anything on the way, that forget idle connections
/// sooner than is said and let the next request show it: there is nothing to see on the socket before. It also
/// covers the end of a connection right behind its answer. Resets that strike at random are no reason to
/// connect anew, so new ones are the measure. It could hurt where a few of many backends forget early: then
/// all pay with handshakes.
#[derive(Default)]
struct Breaks {
    new: f64,
    kept: [f64; AGES],
}

impl Breaks {
    fn age(idle: Duration) -> usize {
        let steps = idle.as_millis() / YOUNGEST.as_millis();
        steps.checked_ilog(AGE_STEP).map_or(0, |step| (step as usize + 1).min(AGES - 1))
    }

    fn note(&mut self, idle: Option<Duration>, broke: bool) {
        let share = idle.map_or(&mut self.new, |idle| &mut self.kept[Self::age(idle)]);
        *share += NEWEST * (f64::from(u8::from(broke)) - *share);
    }

    /// Whether a connection that has been idle for so long is as good as a new one.
    fn trusts(&mut self, idle: Duration, repeatable: bool) -> bool {
        let share = &mut self.kept[Self::age(idle)];
        let trusted = *share <= self.new + if repeatable { BREAKS_MOST } else { BREAKS_UNSAFE };
        if !trusted {
            *share *= 1.0 - FORGETS;
        }
        trusted
    }
}

/// Counts an open connection for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What connections to backends may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most connections to all backends together.
    pub most_open: usize,
    /// The largest body of an answer.
    pub largest_body: usize,
    /// An answer that has begun must be whole after this.
    pub answer: Duration,
}

impl Bounds {
    /// Those of small answers, which are ready when their first byte is written.
    pub fn small(most_open: usize) -> Self {
        Self { most_open, largest_body: LARGEST_BODY, answer: ANSWER }
    }
}

/// What may be at work at a backend.
#[derive(Default)]
struct Working {
    open: usize,
    /// Until when a request that ended without an answer may still run.
    unclear: Option<Instant>,
}

/// A request at a backend, counted for as long as this lives.
struct AtWork<'a> {
    working: &'a RefCell<HashMap<Name, Working>>,
    name: Name,
    until: Instant,
    over: bool,
}

impl<'a> AtWork<'a> {
    fn new(working: &'a RefCell<HashMap<Name, Working>>, name: &Name, until: Instant) -> Self {
        working.borrow_mut().entry(name.clone()).or_default().open += 1;
        Self { working, name: name.clone(), until, over: false }
    }
}

impl Drop for AtWork<'_> {
    fn drop(&mut self) {
        let mut working = self.working.borrow_mut();
        let Some(at) = working.get_mut(&self.name) else { return };
        at.open -= 1;
        if !self.over {
            at.unclear = at.unclear.max(Some(self.until));
        }
        if at.open == 0 && at.unclear.is_none_or(|until| until <= Instant::now()) {
            working.remove(&self.name);
        }
    }
}

/// All backends that this gateway knows.
pub struct Backends {
    known: RefCell<HashMap<Name, Backend>>,
    connect_timeout: Duration,
    longest_idle: Duration,
    reports: LoadReportSource,
    reuse: ReusePolicy,
    speech: Rc<dyn Speech>,
    bounds: Bounds,
    busy: Rc<Cell<usize>>,
    breaks: RefCell<Breaks>,
    working: RefCell<HashMap<Name, Working>>,
    /// Told when there is no descriptor for a connection.
    shortage: RefCell<Option<Rc<dyn Fn()>>>,
}

impl Backends {
    /// No backends yet; connections to them are used again by the rules of `reuse`.
    pub fn new(
        connect_timeout: Duration, backend_idle: Duration, reports: LoadReportSource, reuse: ReusePolicy,
        speech: Rc<dyn Speech>, bounds: Bounds,
    ) -> Rc<Self> {
        Rc::new(Self {
            known: RefCell::default(),
            connect_timeout,
            longest_idle: backend_idle.mul_f64(IDLE_SHARE),
            reports,
            reuse,
            speech,
            bounds,
            busy: Rc::default(),
            breaks: RefCell::default(),
            working: RefCell::default(),
            shortage: RefCell::default(),
        })
    }

    /// Calls this when there is no descriptor for a connection, before it is tried again.
    pub fn on_shortage(&self, call: Rc<dyn Fn()>) {
        *self.shortage.borrow_mut() = Some(call);
    }

    /// A new connection. Where descriptors have run out, something outside the budget took them: free connections and whoever can
    /// spare one give theirs, for a request that was taken goes before all these. With none to be had nothing speaks against
    /// the backend.
    async fn connect(&self, dial: SocketAddr) -> std::io::Result<Option<Link>> {
        let begun = Instant::now();
        loop {
            match Link::connect(dial, self.connect_timeout, self.reuse.measures_response_time()).await {
                Err(error) if is_descriptor_shortage(&error) => {
                    self.known.borrow_mut().values_mut().for_each(|backend| backend.idle.clear());
                    if let Some(call) = self.shortage.borrow().as_ref() {
                        call();
                    }
                    if begun.elapsed() >= self.connect_timeout {
                        return Ok(None);
                    }
                }
                other => return other.map(Some),
            }
            sleep(SHORTAGE_PAUSE).await;
        }
    }

    /// Backends that may have a request of this gateway's at work: one that is out, or one that ended without an answer and
    /// whose time is not over.
    pub fn working(&self) -> Vec<Name> {
        let now = Instant::now();
        let mut working = self.working.borrow_mut();
        working.retain(|_, at| at.open > 0 || at.unclear.is_some_and(|until| now < until));
        working.keys().cloned().collect()
    }

    /// Takes in a list. Free connections to what drains, is gone or listens elsewhere now are dropped.
    pub fn update(&self, list: &List) {
        let mut known = self.known.borrow_mut();
        if list.whole {
            known.retain(|name, _| list.hosts.iter().any(|h| h.entry.name == *name));
        }
        for host in &list.hosts {
            if host.entry.state == BackendState::Gone {
                known.remove(&host.entry.name);
                continue;
            }
            let ready = host.entry.state == BackendState::Ready;
            let backend = known.entry(host.entry.name.clone()).or_insert_with(|| Backend {
                dial: host.dial,
                ready,
                departed: false,
                heard: Instant::now(),
                idle: Vec::new(),
                fault: None,
                keeps: None,
            });
            if !ready || backend.dial != host.dial {
                backend.idle.clear();
            }
            (backend.ready, backend.dial) = (ready, host.dial);
        }
    }

    /// Drops free connections that have stood too long or have been closed, for ever.
    pub async fn keep_tidy(self: Rc<Self>) {
        loop {
            sleep(ROUND).await;
            for backend in self.known.borrow_mut().values_mut() {
                let longest = backend.longest_idle(self.longest_idle);
                let Backend { idle, fault, .. } = backend;
                idle.retain(|(link, since)| {
                    let stands = link.stands();
                    if link.fault().is_some() {
                        *fault = Some(Instant::now());
                    }
                    stands && since.elapsed() < longest
                });
            }
        }
    }

    /// Sends a request to a backend and tells how that ended, once its connection is closed or free again.
    /// It ends at `until` at the latest, or when `called_off` resolves; if its last byte is not written by `write_by`, it
    /// is not sent.
    pub async fn attempt(
        &self, name: &Name, message: Message, until: Instant, write_by: Option<Instant>,
        called_off: oneshot::Receiver<()>,
    ) -> End {
        let build = |dial: SocketAddr| {
            let left = until.saturating_duration_since(Instant::now());
            (self.speech.request(&message, name, dial, left), message.body.clone())
        };
        let repeatable = message.repeatable;
        let own = self.reuse.needs_new_connection(repeatable, message.target.path());
        let wants = Wants { repeatable, own, id: Some(&message.id), write_by };
        let begun = Instant::now();
        let mut at_work = AtWork::new(&self.working, name, until);
        // Each arm ends the exchange, which closes its connection, before the end is told.
        let life = Life::new(Attempt::Decided);
        let answer = tokio::select! {
            biased;
            answer = self.exchange(&life, name, wants, build) => answer,
            _ = called_off => {
                life.step(Event::CalledOff);
                None
            }
            () = sleep_until(until) => {
                life.step(Event::TimedOut);
                None
            }
        };
        let end = self.end(&life, answer, repeatable);
        match end.outcome {
            Outcome::TimedOut => self.doubt(name, begun),
            Outcome::Misdirected => self.departed(name),
            _ => {}
        }
        // These say for certain that nothing is at work there any more.
        at_work.over = end.outcome.never_ran() || matches!(end.outcome, Outcome::Served | Outcome::Error);
        end
    }

    /// Guards against machines that vanish: connections to one stay open and silent, and each would take a
    /// request into doubt until its time is over. A new one fails soon and for certain. A backend that has
    /// answered anything since is merely slow.
    fn doubt(&self, name: &Name, since: Instant) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.heard < since) {
            backend.idle.clear();
        }
    }

    /// Another backend has its address: what is on its way there is withdrawn, and connections there are not its own.
    fn departed(&self, name: &Name) {
        if let Some(backend) = self.known.borrow_mut().get_mut(name) {
            backend.departed = true;
            backend.idle.clear();
        }
    }

    /// Asks a backend for its load, or where there are no reports for a sign of life.
    pub async fn probe(&self, name: &Name) -> End {
        let build = |dial: SocketAddr| {
            (Request::get(self.speech.probe()).header("Host", dial.to_string()), Bytes::new())
        };
        let life = Life::new(Attempt::Decided);
        let wants = Wants { repeatable: true, own: false, id: None, write_by: None };
        match tokio::time::timeout(self.connect_timeout, self.exchange(&life, name, wants, build)).await {
            Ok(Some((head, body))) if head.status == StatusCode::OK => {
                let load = std::str::from_utf8(&body).ok().and_then(load::read);
                End { outcome: Outcome::Served, answer: None, load }
            }
            Ok(Some(_)) => Outcome::Error.into(),
            Ok(None) => self.end(&life, None, true),
            Err(_) => Outcome::TimedOut.into(),
        }
    }

    /// How an attempt ended, by its life: with an answer, or as it broke.
    fn end(&self, life: &Life<Attempt>, answer: Option<(response::Parts, Bytes)>, repeatable: bool) -> End {
        if let Some(answer) = answer {
            let end = self.judge(answer, repeatable);
            life.step(Event::Answered(end.outcome));
            return end;
        }
        // Without an answer it is over in every case; in doubt it may have run.
        life.now().outcome().unwrap_or(Outcome::ConnectionLost).into()
    }

    /// Finds a connection and has the request answered on it. With no answer the life says how it ended.
    async fn exchange(
        &self, life: &Life<Attempt>, name: &Name, wants: Wants<'_>,
        build: impl Fn(SocketAddr) -> (Builder, Bytes),
    ) -> Option<(response::Parts, Bytes)> {
        let withdrawn = || {
            life.step(Event::Withdrawn);
            None
        };
        while life.now().outcome().is_none() {
            let Some((dial, pooled)) = self.free_link(name, wants) else { return withdrawn() };
            let idle = pooled.as_ref().map(|(_, idle)| *idle);
            let Some(_slot) = self.slot() else { return withdrawn() };
            let mut link = match pooled {
                Some((link, _)) => {
                    life.step(Event::Kept);
                    link
                }
                None => {
                    life.step(Event::Dial);
                    let link = match self.connect(dial).await {
                        Ok(Some(link)) => link,
                        Ok(None) => {
                            // Given up here, before anything was sent: nothing that its backend did.
                            life.step(Event::CalledOff);
                            return None;
                        }
                        Err(_) => {
                            life.step(Event::NotConnected);
                            return None;
                        }
                    };
                    life.step(Event::Connected);
                    link
                }
            };
            // Guards drains: while the connection came up the list may have changed. Guards keyed requests: meanwhile
            // those who know the key may have forgotten it.
            if self.dial(name) != Some(dial) || wants.write_by.is_some_and(|by| Instant::now() >= by) {
                return withdrawn();
            }
            let (builder, body) = build(dial);
            let Ok(request) = builder.body(Full::new(body)) else { return withdrawn() };
            life.step(Event::Begin);
            let end =
                link.exchange(request, self.bounds.largest_body, self.bounds.answer, wants.write_by).await;
            // A connection that ended, or brought something, before the first byte was written says nothing of its age.
            if !matches!(end, Err(Progress::Unsent)) {
                let broke = matches!(end, Err(Progress::Whole | Progress::Partly));
                self.breaks.borrow_mut().note(idle, broke);
            }
            let mut fault = link.fault();
            match end {
                Ok((head, body)) => {
                    fault = fault.or_else(|| self.foreign(&link, &head, wants.id));
                    if fault.is_none() {
                        let free = link.is_free().await;
                        let behind = link.fault().is_some();
                        self.answered(name, dial, free.then_some(link), behind, keeps(&head));
                        return Some((head, body));
                    }
                    life.step(Event::Broke(Progress::Spoilt));
                }
                // Of a kept connection that its backend closed just now nothing was written: another is sought.
                Err(progress) => life.step(Event::Broke(progress)),
            }
            if fault.is_some() {
                self.suspect(name, dial);
            }
        }
        None
    }

    /// Where a backend listens that may be sent something new.
    fn dial(&self, name: &Name) -> Option<SocketAddr> {
        self.known.borrow().get(name).filter(|b| b.is_open()).map(|b| b.dial)
    }

    /// A backend that may be sent something new, with a free connection that stands and may be trusted if there
    /// is one, and for how long that was idle.
    fn free_link(&self, name: &Name, wants: Wants<'_>) -> Option<(SocketAddr, Option<(Link, Duration)>)> {
        let mut known = self.known.borrow_mut();
        let backend = known.get_mut(name).filter(|b| b.is_open())?;
        if wants.own {
            return Some((backend.dial, None));
        }
        // Those that still rest are at the end.
        while let Some(at) =
            backend.idle.iter().rposition(|(_, since)| self.reuse.is_idle_long_enough(since.elapsed()))
        {
            let (link, since) = backend.idle.remove(at);
            // Guards unsafe requests: one written to a connection that is closed or about to be is lost in
            // doubt.
            let idle = since.elapsed();
            let trusted = idle < backend.longest_idle(self.longest_idle) && link.is_up();
            if trusted && self.breaks.borrow_mut().trusts(idle, wants.repeatable) {
                return Some((backend.dial, Some((link, idle))));
            }
        }
        Some((backend.dial, None))
    }

    /// Room for one more busy connection; free ones give way.
    fn slot(&self) -> Option<Slot> {
        let busy = self.busy.get();
        if busy >= self.bounds.most_open {
            return None;
        }
        self.busy.set(busy + 1);
        let mut known = self.known.borrow_mut();
        let idle: usize = known.values().map(|b| b.idle.len()).sum();
        for _ in self.bounds.most_open..busy + 1 + idle {
            let fullest = known.values_mut().max_by_key(|b| b.idle.len());
            if let Some(fullest) = fullest.filter(|b| !b.idle.is_empty()) {
                fullest.idle.remove(0);
            }
        }
        Some(Slot(self.busy.clone()))
    }

    /// Notes that a backend answered, and keeps the connection if it is free again and may be kept. `behind` tells that
    /// more came than the answer.
    fn answered(
        &self, name: &Name, dial: SocketAddr, link: Option<Link>, behind: bool, keeps: Option<Duration>,
    ) {
        if behind {
            self.suspect(name, dial);
        }
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.dial == dial) {
            backend.heard = Instant::now();
            backend.keeps = keeps.or(backend.keeps);
            let keep = backend.is_open() && self.reuse.may_reuse(backend.fault.map(|at| at.elapsed()));
            backend.idle.extend(link.filter(|_| keep).map(|link| (link, backend.heard)));
        }
    }

    /// Why a whole answer is not this request's, if that shows.
    fn foreign(
        &self, link: &Link, head: &response::Parts, id: Option<&HeaderValue>,
    ) -> Option<ResponseFault> {
        if link.first_byte_after().is_some_and(|after| self.reuse.is_too_fast(after)) {
            return Some(ResponseFault::TooFast);
        }
        let (id, header) = (id?, self.reuse.identity_header()?);
        let named = head.headers.get(header).map(HeaderValue::as_bytes);
        self.reuse.is_for_other_request(named, id.as_bytes()).then_some(ResponseFault::WrongRequest)
    }

    /// Notes that bytes for nobody came from a backend. Where connections to it may not be kept then, none is.
    fn suspect(&self, name: &Name, dial: SocketAddr) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.dial == dial) {
            backend.fault = Some(Instant::now());
            if !self.reuse.may_reuse(Some(Duration::ZERO)) {
                backend.idle.clear();
            }
        }
    }

    fn judge(&self, (mut head, body): (response::Parts, Bytes), repeatable: bool) -> End {
        let outcome = match self.speech.verdict(&head, repeatable) {
            Verdict::Served => Outcome::Served,
            Verdict::Full => Outcome::Rejected,
            Verdict::Elsewhere => Outcome::Misdirected,
            Verdict::Error => Outcome::Error,
        };
        let report = head.headers.remove(LOAD).filter(|_| self.reports == LoadReportSource::Responses);
        let load = report.as_ref().and_then(|r| r.to_str().ok()).and_then(load::read);
        let answer = (outcome == Outcome::Served).then(|| {
            for name in
                ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer"]
            {
                head.headers.remove(name);
            }
            Answer { status: head.status, headers: head.headers, body }
        });
        End { outcome, answer, load }
    }
}
