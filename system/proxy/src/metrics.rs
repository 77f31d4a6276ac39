//! The metrics of the proxy in the OpenMetrics text format, at `/metrics` of the port given on the command
//! line.
//!
//! A scrape reads the counters from where they are kept; nothing is counted here.

use crate::answer_counts::{AnswerCounts, ClaimGroup};
use crate::backend_protocol::break_name;
use crate::proxy::Proxy;
use crate::service_engines::ServiceEngine;
use crate::session_counts::SessionEnd;
use bytes::Bytes;
use doorcourse::Outcome;
use fennelscale_dataplane::back::connection::Progress;
use fennelscale_host::call::ApiRequest;
use fennelscale_memory::ledger::MemoryLedger;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::Ordering;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The media type of OpenMetrics text.
const OPEN_METRICS: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct SendLabels {
    service: String,
    backend_state: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct EndLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct BreakLabels {
    service: String,
    progress: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct ReceivedLabels {
    status: &'static str,
    taken: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct ClaimLabels {
    claim: &'static str,
    connection: &'static str,
    taken: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct GivenLabels {
    status: &'static str,
    author: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct CopyLabel {
    what: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct SessionEndLabel {
    why: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Hash, PartialEq, Eq)]
struct PoolLabel {
    pool: &'static str,
}

/// All metrics of one proxy.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    sends: Family<SendLabels, Counter>,
    ends: Family<EndLabels, Counter>,
    breaks: Family<BreakLabels, Counter>,
    early_answers: Family<ServiceLabel, Counter>,
    received: Family<ReceivedLabels, Counter>,
    claims: Family<ClaimLabels, Counter>,
    given: Family<GivenLabels, Counter>,
    queued: Family<ServiceLabel, Gauge>,
    list_number: Gauge,
    ready_proxies: Gauge,
    /// Time since a majority of the core confirmed the state, in ms; -1 before the first heartbeat.
    contact_age: Gauge,
    contested: Gauge,
    dropped_log_lines: Counter,
    copies: Family<CopyLabel, Counter>,
    session_ends: Family<SessionEndLabel, Counter>,
    task_delay: Gauge,
    held_memory: Family<PoolLabel, Gauge>,
    memory_limit: Family<PoolLabel, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("fennelscale_proxy");
        let (sends, ends) =
            (Family::<SendLabels, Counter>::default(), Family::<EndLabels, Counter>::default());
        let (queued, list_number, ready_proxies) =
            (Family::<ServiceLabel, Gauge>::default(), Gauge::default(), Gauge::default());
        registry.register(
            "backend_sends",
            "Requests sent, by what was known of the backend when it was chosen",
            sends.clone(),
        );
        registry.register("attempt_ends", "Attempts that ended, by outcome", ends.clone());
        let breaks = Family::<BreakLabels, Counter>::default();
        let early_answers = Family::<ServiceLabel, Counter>::default();
        registry.register(
            "exchange_breaks",
            "Exchanges with backends that ended without an answer of their own, by how far the request was written",
            breaks.clone(),
        );
        registry.register(
            "early_answers",
            "Answers that began before the last byte of their request was written",
            early_answers.clone(),
        );
        let received = Family::<ReceivedLabels, Counter>::default();
        let given = Family::<GivenLabels, Counter>::default();
        registry.register(
            "backend_answers",
            "Answers of backends, by status and by how they were taken",
            received.clone(),
        );
        let claims = Family::<ClaimLabels, Counter>::default();
        registry.register(
            "rejection_claims",
            "Answers of backends by which a request was not executed, by whose word that is, by what the connection had \
             carried before, and by how they were taken",
            claims.clone(),
        );
        registry.register(
            "client_answers",
            "Answers given to clients, by status and by who made them",
            given.clone(),
        );
        registry.register(
            "held_requests",
            "Requests held because no backend may be sent one",
            queued.clone(),
        );
        registry.register(
            "listing_stamp",
            "Number of the list of backends that is in use",
            list_number.clone(),
        );
        registry.register("members_ready", "Proxies that are known and take clients", ready_proxies.clone());
        let (contact_age, contested) = (Gauge::default(), Gauge::default());
        let copies = Family::<CopyLabel, Counter>::default();
        registry.register(
            "contact_age_milliseconds",
            "How long ago a majority of the core stood behind what this proxy was told; -1 before the first word",
            contact_age.clone(),
        );
        let dropped_log_lines = Counter::default();
        registry.register(
            "log_lines_dropped",
            "Lines of the log that could not be written or had no room",
            dropped_log_lines.clone(),
        );
        registry.register(
            "contested_claims",
            "Places and keys that more than one item claims by what is known here",
            contested.clone(),
        );
        registry.register(
            "configuration_copies",
            "What sessions brought of items: whole copies, entries, entries that were news, comparisons",
            copies.clone(),
        );
        let (session_ends, task_delay) = (Family::<SessionEndLabel, Counter>::default(), Gauge::default());
        registry.register(
            "session_ends",
            "Sessions with registries that ended, by reason",
            session_ends.clone(),
        );
        registry.register(
            "task_delay_milliseconds",
            "The longest that a periodic task waited behind other tasks, in the last one to two seconds",
            task_delay.clone(),
        );
        let (held_memory, memory_limit) =
            (Family::<PoolLabel, Gauge>::default(), Family::<PoolLabel, Gauge>::default());
        registry.register(
            "held_memory_bytes",
            "Memory charged to callers for bodies, answers and grown buffers, by pool",
            held_memory.clone(),
        );
        registry.register(
            "memory_limit_bytes",
            "The most memory that may be charged to callers, by pool",
            memory_limit.clone(),
        );
        Self {
            registry,
            sends,
            ends,
            breaks,
            early_answers,
            received,
            claims,
            given,
            queued,
            list_number,
            ready_proxies,
            contact_age,
            contested,
            dropped_log_lines,
            copies,
            session_ends,
            task_delay,
            held_memory,
            memory_limit,
        }
    }
}

impl Metrics {
    /// All metrics as of now.
    pub fn render(&self, proxy: &Proxy) -> String {
        let state = proxy.routing_state.borrow();
        proxy.services.for_each(|name, service| self.read_service(name, service));
        self.read_answers(&proxy.services.answer_counts);
        self.contact_age.set(proxy.contact_age().map_or(-1, |age| age as i64));
        self.contested.set(state.table.contested_claims() as i64);
        self.dropped_log_lines.inner().store(fennelscale_log_writer::dropped_lines(), Ordering::Relaxed);
        let copies = proxy.copies();
        let counts = [
            ("whole", copies.complete),
            ("entries", copies.entries),
            ("news", copies.changed),
            ("compared", copies.compared),
        ];
        for (what, count) in counts {
            self.copies.get_or_create(&CopyLabel { what }).inner().store(count, Ordering::Relaxed);
        }
        for end in SessionEnd::ALL {
            let labels = SessionEndLabel { why: end.label() };
            let count = proxy.session_counts.count(end);
            self.session_ends.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        }
        self.read_memory(&proxy.memory);
        self.task_delay.set(proxy.task_delay.longest().as_millis() as i64);
        self.list_number.set(i64::try_from(state.backend_list.stamp.0).unwrap_or(i64::MAX));
        self.ready_proxies.set(state.proxies.iter().filter(|proxy| proxy.ready).count() as i64);
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => {
                tracing::warn!(event = "metrics-failed", error = %error);
                String::new()
            }
        }
    }

    fn read_memory(&self, memory: &MemoryLedger) {
        let (used, limits) = (memory.used(), memory.limits());
        for (pool, used, limit) in [("small", used.small, limits.small), ("large", used.large, limits.large)]
        {
            let labels = PoolLabel { pool };
            self.held_memory.get_or_create(&labels).set(i64::try_from(used).unwrap_or(i64::MAX));
            self.memory_limit.get_or_create(&labels).set(i64::try_from(limit).unwrap_or(i64::MAX));
        }
    }

    fn read_answers(&self, counts: &AnswerCounts) {
        counts.for_each_received(|status, taken, count| {
            let labels = ReceivedLabels { status, taken };
            self.received.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        });
        counts.for_each_claim(|group, count| {
            let ClaimGroup { claim, connection, taken } = group;
            let labels = ClaimLabels { claim: claim.name(), connection, taken };
            self.claims.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        });
        counts.for_each_given(|status, author, count| {
            let labels = GivenLabels { status, author: author.name() };
            self.given.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        });
    }

    fn read_service(&self, name: &str, service: &ServiceEngine) {
        let label = ServiceLabel { service: name.to_owned() };
        let sends = service.counts().sends;
        for (backend_state, count) in
            [("warm", sends.warm), ("cold", sends.cold), ("without_terms", sends.without_parameters)]
        {
            let labels = SendLabels { service: name.to_owned(), backend_state };
            self.sends.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        }
        for (outcome, count) in service.engine.outcome_counts() {
            let labels = EndLabels { service: name.to_owned(), outcome: outcome_name(outcome) };
            self.ends.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        }
        let exchanges = service.exchange_counts();
        let breaks = [
            (Progress::Unsent, exchanges.unsent),
            (Progress::Partly, exchanges.part_written),
            (Progress::Whole, exchanges.written),
            (Progress::Spoilt, exchanges.unusable_answer),
        ];
        for (progress, count) in breaks {
            let labels = BreakLabels { service: name.to_owned(), progress: break_name(progress) };
            self.breaks.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        }
        self.early_answers.get_or_create(&label).inner().store(exchanges.early_answers, Ordering::Relaxed);
        self.queued.get_or_create(&label).set(service.engine.queued() as i64);
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::ConnectionLost => "broken",
        Outcome::Cancelled => "called_off",
        Outcome::NeverSent => "never_sent",
        Outcome::Misdirected => "misdirected",
    }
}

/// The answer to a scrape; none for another path.
pub fn answer(request: &ApiRequest, text: impl FnOnce() -> String) -> Option<Response<Full<Bytes>>> {
    if request.path != METRICS_PATH {
        return None;
    }
    let mut response = Response::new(Full::from(text()));
    response.headers_mut().insert(CONTENT_TYPE, OPEN_METRICS);
    Some(response)
}
