//! Backends: their addresses, connection pools, and the execution of attempts and probes.

use crate::back::break_rates::BreakRates;
use crate::back::connection::{BodyDiscarded, HttpConnection, Progress, is_descriptor_shortage};
use crate::back::known_backend::{KnownBackend, stated_idle_timeout};
use crate::back::run_together::is_run_together;
use crate::back::workload::Workloads;
use crate::lifecycle::Lifecycle;
use bytes::Bytes;
use doorcourse::{BackendState, LoadReport, LoadReportSource, Name, Outcome};
use fennelscale_memory::ledger::MemoryLedger;
use fennelscale_settings::list::List;
use fennelscale_settings::load;
use fennelscale_wire::reuse::{ResponseFault, ReusePolicy};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Request, StatusCode};
use life::attempt::{Attempt, Event};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

pub use crate::back::connection_history::{ConnectionHistory, UsedConnections};
pub use crate::back::exchange_counts::ExchangeCounts;
pub use crate::back::protocol::{Answer, ExchangeContext, Message, Protocol, Verdict};

/// Maximum size of a request or answer body.
pub const MAX_BODY: usize = 64 * 1024;
/// Time limit for the rest of an answer once it has begun: it is small and complete when its first byte is
/// written.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which idle connections are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Connections are kept idle for this share of the time after which backends close them, so that the gateway
/// closes them first.
const IDLE_SHARE: f64 = 0.5;
/// Delay before a connection is retried when no file descriptor was available.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// The answer header that holds a load report.
const LOAD_HEADER: &str = "srv-load";

/// The result of an attempt or a probe.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome reported to the decision module.
    pub outcome: Outcome,
    /// The answer if the outcome is `Served`; none if there was no memory for it.
    pub answer: Option<Answer>,
    /// The load report in the answer, if any.
    pub load: Option<LoadReport>,
}

impl AttemptResult {
    /// The result of an attempt that was executed, for whose answer there was no memory: another attempt would need as
    /// much, and the backend did what it should. The client is told that its request failed.
    fn without_memory() -> Self {
        Outcome::Served.into()
    }
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: None }
    }
}

/// What a request requires of its connection.
#[derive(Clone, Copy)]
struct ConnectionRequirements<'a> {
    /// The request may be sent again if its connection breaks.
    repeatable: bool,
    /// The connection must be new.
    must_be_new: bool,
    /// The request id, which the answer may repeat.
    id: Option<&'a HeaderValue>,
    /// The request is abandoned unless its last byte is written by then.
    write_by: Option<Instant>,
    /// The connections that earlier attempts of the request were written to; none for a probe.
    used_connections: Option<&'a UsedConnections>,
}

impl ConnectionRequirements<'_> {
    /// Whether an earlier attempt of the request was written to this connection.
    fn has_used(&self, connection: &HttpConnection) -> bool {
        self.used_connections.is_some_and(|used| used.contains(connection.identity()))
    }
}

/// A complete answer, and what its connection had carried before.
struct ReceivedAnswer {
    head: response::Parts,
    body: Bytes,
    connection: ConnectionHistory,
}

/// Counts a busy connection until it is dropped.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Limits on connections to backends.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections to all backends together.
    pub max_connections: usize,
    /// Maximum size of an answer's body.
    pub max_body: usize,
    /// Time limit for the rest of an answer once it has begun.
    pub answer_timeout: Duration,
    /// The memory that answers are charged to until their clients have taken them.
    pub memory: Arc<MemoryLedger>,
}

impl ConnectionLimits {
    /// Limits for small answers, which are complete when their first byte is written.
    pub fn for_small_answers(max_connections: usize) -> Self {
        let memory = MemoryLedger::unbounded();
        Self { max_connections, max_body: MAX_BODY, answer_timeout: ANSWER_TIMEOUT, memory }
    }
}

/// All backends known to this gateway, with their connection pools.
pub struct Backends {
    known: RefCell<HashMap<Name, KnownBackend>>,
    connect_timeout: Duration,
    max_idle: Duration,
    reports: LoadReportSource,
    reuse: ReusePolicy,
    protocol: Rc<dyn Protocol>,
    limits: ConnectionLimits,
    busy_count: Rc<Cell<usize>>,
    break_rates: RefCell<BreakRates>,
    workloads: Workloads,
    exchange_counts: RefCell<ExchangeCounts>,
    /// Called when no file descriptor is available for a connection.
    shortage_handler: RefCell<Option<Rc<dyn Fn()>>>,
}

impl Backends {
    /// An empty set of backends. `reuse` has the rules for reusing connections.
    pub fn new(
        connect_timeout: Duration, backend_idle: Duration, reports: LoadReportSource, reuse: ReusePolicy,
        protocol: Rc<dyn Protocol>, limits: ConnectionLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            known: RefCell::default(),
            connect_timeout,
            max_idle: backend_idle.mul_f64(IDLE_SHARE),
            reports,
            reuse,
            protocol,
            limits,
            busy_count: Rc::default(),
            break_rates: RefCell::default(),
            workloads: Workloads::default(),
            exchange_counts: RefCell::default(),
            shortage_handler: RefCell::default(),
        })
    }

    /// Sets the handler that is called when no file descriptor is available for a connection, before the
    /// retry.
    pub fn on_descriptor_shortage(&self, handler: Rc<dyn Fn()>) {
        *self.shortage_handler.borrow_mut() = Some(handler);
    }

    /// Opens a connection. If file descriptors have run out, something outside the budget took them: idle
    /// connections are closed and the shortage handler is called, since an accepted request has priority over
    /// these. None if no descriptor became available, which is no failure of the backend.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<Option<HttpConnection>> {
        let started_at = Instant::now();
        loop {
            match HttpConnection::connect(address, self.connect_timeout, self.reuse.measures_response_time())
                .await
            {
                Err(error) if is_descriptor_shortage(&error) => {
                    self.known.borrow_mut().values_mut().for_each(|backend| backend.idle.clear());
                    if let Some(handler) = self.shortage_handler.borrow().as_ref() {
                        handler();
                    }
                    if started_at.elapsed() >= self.connect_timeout {
                        return Ok(None);
                    }
                }
                other => {
                    return other.map(|connection| Some(connection.with_memory(self.limits.memory.clone())));
                }
            }
            sleep(SHORTAGE_PAUSE).await;
        }
    }

    /// Counts of exchanges that did not go as they should, since the start.
    pub fn exchange_counts(&self) -> ExchangeCounts {
        *self.exchange_counts.borrow()
    }

    /// Records that an exchange ended without an answer of its own.
    fn record_break(&self, id: Option<&HeaderValue>, progress: Progress) {
        self.exchange_counts.borrow_mut().record_break(progress);
        if let Some(id) = id {
            self.protocol.record_break(id, progress);
        }
    }

    /// Backends that may be executing a request of this gateway: one in flight, or one that ended without an
    /// answer and whose deadline has not passed.
    pub fn busy_backends(&self) -> Vec<Name> {
        self.workloads.busy_backends()
    }

    /// Applies a backend list. Idle connections to backends that drain, are gone or have a new address are
    /// closed.
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
            let backend = known.entry(host.entry.name.clone()).or_insert_with(|| KnownBackend {
                address: host.dial,
                ready,
                replaced: false,
                last_answer: Instant::now(),
                idle: Vec::new(),
                last_fault: None,
                idle_timeout: None,
            });
            if !ready || backend.address != host.dial {
                backend.idle.clear();
            }
            (backend.ready, backend.address) = (ready, host.dial);
        }
    }

    /// Closes idle connections that are too old or were closed by the backend; runs forever.
    pub async fn close_stale_connections(self: Rc<Self>) {
        loop {
            sleep(IDLE_CHECK_INTERVAL).await;
            for backend in self.known.borrow_mut().values_mut() {
                let max_idle = backend.max_idle(self.max_idle);
                let KnownBackend { idle, last_fault, .. } = backend;
                idle.retain(|(connection, since)| {
                    let is_alive = connection.is_alive();
                    if connection.fault().is_some() {
                        *last_fault = Some(Instant::now());
                    }
                    is_alive && since.elapsed() < max_idle
                });
            }
        }
    }

    /// Sends a request to a backend and returns the result once its connection is closed or free again. The
    /// attempt ends at `until` at the latest, or when `cancelled` resolves. If its last byte is not written
    /// by `write_by`, it is abandoned.
    pub async fn attempt(
        &self, name: &Name, message: Message, until: Instant, write_by: Option<Instant>,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let build = |address: SocketAddr| {
            let remaining = until.saturating_duration_since(Instant::now());
            (self.protocol.build_request(&message, name, address, remaining), message.body.clone())
        };
        let repeatable = message.repeatable;
        let must_be_new = self.reuse.needs_new_connection(repeatable, message.target.path());
        let requirements = ConnectionRequirements {
            repeatable,
            must_be_new,
            id: Some(&message.id),
            write_by,
            used_connections: Some(&message.used_connections),
        };
        let started_at = Instant::now();
        let mut workload_guard = self.workloads.begin(name, until);
        // Each branch ends the exchange, which closes its connection, before the result is returned.
        let lifecycle = Lifecycle::new(Attempt::Decided);
        let answer = tokio::select! {
            biased;
            answer = self.exchange(&lifecycle, name, requirements, build) => answer,
            _ = cancelled => {
                lifecycle.step(Event::CalledOff);
                None
            }
            () = sleep_until(until) => {
                lifecycle.step(Event::TimedOut);
                None
            }
        };
        let is_answered = answer.is_some();
        let end = self.result(&lifecycle, answer, name, repeatable);
        match end.outcome {
            Outcome::TimedOut => self.on_timeout(name, started_at),
            Outcome::Misdirected => self.on_misdirected(name),
            _ => {}
        }
        // The backend is certainly not executing the request any more.
        workload_guard.finished = end.outcome.never_ran() || is_answered;
        end
    }

    /// Closes idle connections to a backend that has not answered anything since `since`. Connections to a
    /// vanished machine stay open and silent, and each would cost a request that times out with an uncertain
    /// outcome; a new connection fails soon and definitely. A backend that has answered since is merely slow.
    fn on_timeout(&self, name: &Name, since: Instant) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.last_answer < since) {
            backend.idle.clear();
        }
    }

    /// Another backend has the address: withdraws attempts that are not sent yet, and closes the connections,
    /// which do not belong to this backend.
    fn on_misdirected(&self, name: &Name) {
        if let Some(backend) = self.known.borrow_mut().get_mut(name) {
            backend.replaced = true;
            backend.idle.clear();
        }
    }

    /// Probes a backend for its load, or for liveness where there are no load reports.
    pub async fn probe(&self, name: &Name) -> AttemptResult {
        let build = |address: SocketAddr| {
            (Request::get(self.protocol.probe_path()).header("Host", address.to_string()), Bytes::new())
        };
        let lifecycle = Lifecycle::new(Attempt::Decided);
        let requirements = ConnectionRequirements {
            repeatable: true,
            must_be_new: false,
            id: None,
            write_by: None,
            used_connections: None,
        };
        match tokio::time::timeout(self.connect_timeout, self.exchange(&lifecycle, name, requirements, build))
            .await
        {
            Ok(Some(ReceivedAnswer { head, body, .. })) if head.status == StatusCode::OK => {
                let load = std::str::from_utf8(&body).ok().and_then(load::read);
                AttemptResult { outcome: Outcome::Served, answer: None, load }
            }
            Ok(Some(_)) => Outcome::Error.into(),
            Ok(None) => self.result(&lifecycle, None, name, true),
            Err(_) => Outcome::TimedOut.into(),
        }
    }

    /// The result of an attempt, from its answer or else from its state.
    fn result(
        &self, lifecycle: &Lifecycle<Attempt>, answer: Option<ReceivedAnswer>, backend: &Name,
        repeatable: bool,
    ) -> AttemptResult {
        if let Some(answer) = answer {
            let end = self.classify(answer, backend, repeatable);
            lifecycle.step(Event::Answered(end.outcome));
            return end;
        }
        // Without an answer the attempt is over in any case; if unclear, it may have been executed.
        lifecycle.state().outcome().unwrap_or(Outcome::ConnectionLost).into()
    }

    /// Finds or opens a connection and exchanges the request on it. Without an answer the lifecycle holds the
    /// outcome.
    async fn exchange(
        &self, lifecycle: &Lifecycle<Attempt>, name: &Name, requirements: ConnectionRequirements<'_>,
        build: impl Fn(SocketAddr) -> (Builder, Bytes),
    ) -> Option<ReceivedAnswer> {
        let withdrawn = || {
            lifecycle.step(Event::Withdrawn);
            None
        };
        while lifecycle.state().outcome().is_none() {
            let Some((address, pooled)) = self.take_idle(name, requirements) else { return withdrawn() };
            let idle = pooled.as_ref().map(|(_, idle)| *idle);
            let Some(_slot) = self.reserve_slot() else { return withdrawn() };
            let mut connection = match pooled {
                Some((connection, _)) => {
                    lifecycle.step(Event::Kept);
                    connection
                }
                None => {
                    lifecycle.step(Event::Dial);
                    let connection = match self.connect(address).await {
                        Ok(Some(connection)) => connection,
                        Ok(None) => {
                            // Given up here, before anything was sent: nothing that its backend did.
                            lifecycle.step(Event::CalledOff);
                            return None;
                        }
                        Err(_) => {
                            lifecycle.step(Event::NotConnected);
                            return None;
                        }
                    };
                    lifecycle.step(Event::Connected);
                    connection
                }
            };
            // The backend list may have changed while the connection was opened. Also, the deduplication
            // window of a keyed request may have ended.
            if self.open_address(name) != Some(address)
                || requirements.write_by.is_some_and(|by| Instant::now() >= by)
            {
                return withdrawn();
            }
            let (builder, body) = build(address);
            let Ok(request) = builder.body(Full::new(body)) else { return withdrawn() };
            lifecycle.step(Event::Begin);
            let history = if idle.is_some() { ConnectionHistory::Kept } else { ConnectionHistory::New };
            if let Some(used) = requirements.used_connections {
                used.record(connection.identity());
            }
            let end = connection
                .exchange(request, self.limits.max_body, self.limits.answer_timeout, requirements.write_by)
                .await;
            // A connection that ended or received bytes before the first byte was written is no evidence
            // about its idle time.
            if !matches!(end, Err(Progress::Unsent)) {
                let broke = matches!(end, Err(Progress::Whole | Progress::Partly));
                self.break_rates.borrow_mut().record(idle, broke);
            }
            let mut fault = connection.fault();
            let is_early = connection.is_answered_early();
            if is_early {
                self.exchange_counts.borrow_mut().early_answers += 1;
            }
            match end {
                Ok((head, body)) => {
                    fault = fault.or_else(|| self.mismatch(&connection, &head, requirements.id));
                    if fault.is_none() {
                        let free = connection.is_free().await;
                        let has_trailing_bytes = connection.fault().is_some();
                        self.on_answer(
                            name,
                            address,
                            free.then_some(connection),
                            has_trailing_bytes,
                            stated_idle_timeout(&head),
                        );
                        return Some(ReceivedAnswer { head, body, connection: history });
                    }
                    self.record_break(requirements.id, Progress::Spoilt);
                    lifecycle.step(Event::Broke(Progress::Spoilt));
                }
                // If the backend just closed a reused connection, nothing was written: another one is tried.
                Err(progress) => {
                    fault = fault.or(is_early.then_some(ResponseFault::Early));
                    self.record_break(requirements.id, progress);
                    lifecycle.step(Event::Broke(progress));
                }
            }
            if fault.is_some() {
                self.on_fault(name, address);
            }
        }
        None
    }

    /// The address of a backend if new requests may be sent to it.
    fn open_address(&self, name: &Name) -> Option<SocketAddr> {
        self.known.borrow().get(name).filter(|b| b.is_open()).map(|b| b.address)
    }

    /// The address of a backend that may receive requests, with a trusted idle connection and its idle time
    /// if there is one.
    fn take_idle(
        &self, name: &Name, requirements: ConnectionRequirements<'_>,
    ) -> Option<(SocketAddr, Option<(HttpConnection, Duration)>)> {
        let mut known = self.known.borrow_mut();
        let backend = known.get_mut(name).filter(|b| b.is_open())?;
        if requirements.must_be_new {
            return Some((backend.address, None));
        }
        // Connections that are too recently used for reuse are at the end.
        while let Some(at) = backend.idle.iter().rposition(|(connection, since)| {
            self.reuse.is_idle_long_enough(since.elapsed()) && !requirements.has_used(connection)
        }) {
            let (connection, since) = backend.idle.remove(at);
            // An unsafe request written to a connection that is closed or about to be has an uncertain
            // outcome.
            let idle = since.elapsed();
            let trusted = idle < backend.max_idle(self.max_idle) && connection.appears_idle();
            if trusted && self.break_rates.borrow_mut().trusts(idle, requirements.repeatable) {
                return Some((backend.address, Some((connection, idle))));
            }
        }
        Some((backend.address, None))
    }

    /// Reserves a slot for one more busy connection, closing idle ones if needed.
    fn reserve_slot(&self) -> Option<Slot> {
        let busy_count = self.busy_count.get();
        if busy_count >= self.limits.max_connections {
            return None;
        }
        self.busy_count.set(busy_count + 1);
        let mut known = self.known.borrow_mut();
        let idle: usize = known.values().map(|b| b.idle.len()).sum();
        for _ in self.limits.max_connections..busy_count + 1 + idle {
            let fullest = known.values_mut().max_by_key(|b| b.idle.len());
            if let Some(fullest) = fullest.filter(|b| !b.idle.is_empty()) {
                fullest.idle.remove(0);
            }
        }
        Some(Slot(self.busy_count.clone()))
    }

    /// Records that a backend answered, and pools the connection if it is free and may be kept.
    /// `has_trailing_bytes` means that bytes followed the answer.
    fn on_answer(
        &self, name: &Name, address: SocketAddr, connection: Option<HttpConnection>,
        has_trailing_bytes: bool, idle_timeout: Option<Duration>,
    ) {
        if has_trailing_bytes {
            self.on_fault(name, address);
        }
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.address == address) {
            backend.last_answer = Instant::now();
            backend.idle_timeout = idle_timeout.or(backend.idle_timeout);
            let keep = backend.is_open() && self.reuse.may_reuse(backend.last_fault.map(|at| at.elapsed()));
            backend
                .idle
                .extend(connection.filter(|_| keep).map(|connection| (connection, backend.last_answer)));
        }
    }

    /// Why a complete answer does not belong to this request, if that can be seen.
    fn mismatch(
        &self, connection: &HttpConnection, head: &response::Parts, id: Option<&HeaderValue>,
    ) -> Option<ResponseFault> {
        if is_run_together(head) {
            return Some(ResponseFault::RunTogether);
        }
        if connection.time_to_first_byte().is_some_and(|after| self.reuse.is_too_fast(after)) {
            return Some(ResponseFault::TooFast);
        }
        let id = id?;
        let header = self.reuse.identity_header();
        let answer_id = header.and_then(|header| head.headers.get(header)).map(HeaderValue::as_bytes);
        if self.reuse.is_for_other_request(answer_id, id.as_bytes()) {
            return Some(ResponseFault::WrongRequest);
        }
        let is_unproven =
            connection.is_answered_early() && !self.reuse.names_request(answer_id, id.as_bytes());
        is_unproven.then_some(ResponseFault::Early)
    }

    /// Records that a backend sent bytes that belong to no request; closes its idle connections if they may
    /// not be kept after that.
    fn on_fault(&self, name: &Name, address: SocketAddr) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.address == address) {
            backend.last_fault = Some(Instant::now());
            if !self.reuse.may_reuse(Some(Duration::ZERO)) {
                backend.idle.clear();
            }
        }
    }

    fn classify(&self, answer: ReceivedAnswer, backend: &Name, repeatable: bool) -> AttemptResult {
        let ReceivedAnswer { mut head, body, connection } = answer;
        if head.extensions.get::<BodyDiscarded>().is_some() {
            return AttemptResult::without_memory();
        }
        let exchange = ExchangeContext { backend, repeatable, connection };
        let outcome = match self.protocol.verdict(&head, &exchange) {
            Verdict::Served => Outcome::Served,
            Verdict::Rejected => Outcome::Rejected,
            Verdict::Misdirected => Outcome::Misdirected,
            Verdict::Error => Outcome::Error,
        };
        let report = head.headers.remove(LOAD_HEADER).filter(|_| self.reports == LoadReportSource::Responses);
        let load = report.as_ref().and_then(|r| r.to_str().ok()).and_then(load::read);
        let answer = (outcome == Outcome::Served).then(|| {
            for name in
                ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer"]
            {
                head.headers.remove(name);
            }
            Answer { status: head.status, headers: head.headers, body }
        });
        AttemptResult { outcome, answer, load }
    }
}
