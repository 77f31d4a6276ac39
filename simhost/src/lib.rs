//! Hosts doorcourse gateways behind the simulator's line protocol: translation only, no decisions.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use doorcourse::{
    Action, Arrival, AttemptEnd, BackendEntry, BackendState, CountOutcome, Event, Gateway, LoadReport,
    Millis, Name, Outcome,
};
use fennelscale_settings::{decisions, load::set_load};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::io::{BufRead, Write};

/// A malformed line or an I/O error.
#[derive(Debug)]
pub enum HostError {
    /// A malformed line: its number and the reason.
    Line(u64, String),
    /// The input ended inside a batch, after this line.
    Ended(u64),
    /// Reading or writing failed.
    Io(std::io::Error),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line(number, reason) => write!(f, "line {number}: {reason}"),
            Self::Ended(number) => write!(f, "line {number}: input ended inside a batch"),
            Self::Io(error) => write!(f, "input or output: {error}"),
        }
    }
}

impl std::error::Error for HostError {}

impl From<std::io::Error> for HostError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// The tab-separated values of one line, read in order.
struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        self.0.next().ok_or_else(|| format!("{field} is missing"))
    }

    fn optional<T: std::str::FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        let text = self.text(field)?;
        if text == "-" || text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| format!("{field} is not a number: {text}"))
    }

    fn number<T: std::str::FromStr>(&mut self, field: &str) -> Result<T, String> {
        self.optional(field)?.ok_or_else(|| format!("{field} is missing"))
    }

    fn millis(&mut self, field: &str) -> Result<Millis, String> {
        let value: f64 = self.number(field)?;
        if value.is_finite() { Ok(value) } else { Err(format!("{field} is not finite")) }
    }

    fn flag(&mut self, field: &str) -> Result<bool, String> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(format!("{field} is not 0 or 1: {other}")),
        }
    }

    fn name(&mut self, field: &str) -> Result<Name, String> {
        let text = self.text(field)?;
        if text.is_empty() { Err(format!("{field} is missing")) } else { Ok(Name::from(text)) }
    }

    fn rest(&mut self) -> String {
        self.0.by_ref().collect::<Vec<_>>().join("\t")
    }
}

fn parse_outcome(text: &str) -> Result<Outcome, String> {
    Ok(match text {
        "delivered" => Outcome::Served,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Rejected,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::ConnectFailed,
        "dropped" => Outcome::ConnectionLost,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NeverSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn parse_load(text: &str) -> Result<Option<LoadReport>, String> {
    if text == "-" || text.is_empty() {
        return Ok(None);
    }
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (key, value) =
            pair.split_once(':').ok_or_else(|| format!("load value without a colon: {pair}"))?;
        let value: f64 = value.parse().map_err(|_| format!("load value is not a number: {pair}"))?;
        set_load(&mut report, key, value);
    }
    Ok(Some(report))
}

fn parse_entry(line: &str) -> Result<BackendEntry, String> {
    let mut fields = Fields(line.split('\t'));
    if fields.text("message")? != "ENTRY" {
        return Err(format!("expected an ENTRY line: {line}"));
    }
    let name = fields.name("backend")?;
    let zone = Name::from(fields.text("az")?);
    fields.text("family-type")?;
    let cell = fields.number("block")?;
    let state = match fields.text("readiness")? {
        "IN" => BackendState::Ready,
        "LAME" => BackendState::Draining,
        "OUT" => BackendState::Gone,
        other => return Err(format!("unknown readiness {other}")),
    };
    fields.optional::<f64>("rating")?;
    let started = fields.optional::<f64>("born-ms")?.filter(|at| *at > 0.0);
    Ok(BackendEntry { name, zone, cell, state, started })
}

/// The gateways that one process hosts.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u64, Gateway>,
    lists: BTreeMap<u64, Vec<BackendEntry>>,
    /// The list that is being read: its number and the remaining entries.
    pending_list: Option<(u64, usize)>,
    now: Option<Millis>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Reads batches until the input ends and answers each.
    ///
    /// # Errors
    /// Returns an error on the first malformed line, and if the input ends inside a batch.
    pub fn run(&mut self, input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
        let (mut bytes, mut number) = (Vec::new(), 0);
        loop {
            bytes.clear();
            if input.read_until(b'\n', &mut bytes)? == 0 {
                return if self.now.is_some() { Err(HostError::Ended(number)) } else { Ok(()) };
            }
            number += 1;
            let error = |reason: String| HostError::Line(number, reason);
            let line = std::str::from_utf8(&bytes).map_err(|_| error("not UTF-8".into()))?;
            let line = line.trim_end_matches(['\n', '\r']);
            if self.process_line(line).map_err(error)? {
                self.reply.push_str("READY\n");
                output.write_all(self.reply.as_bytes())?;
                output.flush()?;
                self.reply.clear();
            }
        }
    }

    /// Processes one line; returns true if it ended a batch.
    fn process_line(&mut self, line: &str) -> Result<bool, String> {
        if let Some((list, remaining)) = self.pending_list {
            self.lists.entry(list).or_default().push(parse_entry(line)?);
            self.pending_list = (remaining > 1).then_some((list, remaining - 1));
            return Ok(false);
        }
        let mut fields = Fields(line.split('\t'));
        let message = fields.text("message")?;
        let Some(now) = self.now else {
            if message != "BATCH" {
                return Err(format!("expected a BATCH line: {line}"));
            }
            self.now = Some(fields.millis("clock")?);
            return Ok(false);
        };
        match message {
            "YOUR_TURN" => {
                self.now = None;
                return Ok(true);
            }
            "TABLE" => {
                let list = fields.number("roster-id")?;
                let rows: usize = fields.number("rows")?;
                self.lists.insert(list, Vec::new());
                self.pending_list = (rows > 0).then_some((list, rows));
            }
            "START" => {
                let instance = fields.number("i")?;
                let seed = fields.number("init-seed")?;
                let settings = decisions::parse(&fields.rest())?;
                let gateway = Gateway::new(settings, seed).map_err(|e| e.to_string())?;
                self.gateways.insert(instance, gateway);
            }
            "EXIT" => {
                let instance: u64 = fields.number("i")?;
                self.gateways
                    .remove(&instance)
                    .ok_or_else(|| format!("gateway {instance} was never started"))?;
            }
            _ => {
                let instance: u64 = fields.number("i")?;
                let event = self.parse_event(message, &mut fields)?;
                let gateway = self.gateways.get_mut(&instance);
                let gateway = gateway.ok_or_else(|| format!("gateway {instance} was never started"))?;
                gateway.handle(now, event, &mut self.actions);
                for action in self.actions.drain(..) {
                    write_action(&mut self.reply, instance, &action).map_err(|e| e.to_string())?;
                }
            }
        }
        Ok(false)
    }

    fn parse_event(&self, message: &str, fields: &mut Fields<'_>) -> Result<Event, String> {
        Ok(match message {
            "ANNOUNCE" => {
                let kind = fields.text("kind")?;
                fields.text("gen")?;
                let list = fields.optional::<u64>("roster-id")?;
                if kind == "refused" {
                    return Ok(Event::BackendListFailed);
                }
                let list = list.and_then(|n| self.lists.get(&n)).ok_or("no such list of backends")?.clone();
                match kind {
                    "changes" => Event::BackendChanges(list),
                    "all" | "remembered" => Event::BackendList(list),
                    other => return Err(format!("unknown kind of list {other}")),
                }
            }
            "ORDER" => {
                let id = fields.number("id")?;
                let customer = fields.name("account")?;
                fields.flag("write")?;
                let client_timeout = fields.millis("patience-left-ms")?;
                let class = fields.name("band")?;
                let is_retry = fields.flag("again-by-client")?;
                let first_gateway = fields.optional("base")?.unwrap_or(0);
                let gateway_count = fields.optional("spread")?.unwrap_or(0);
                let units = fields.optional("units")?.unwrap_or(1.0);
                let plan = fields.name("package")?;
                Event::Request(Arrival {
                    id,
                    customer,
                    plan,
                    class,
                    units,
                    is_retry,
                    client_timeout,
                    first_gateway,
                    gateway_count,
                    constraints: None,
                })
            }
            "UNDER_WAY" => Event::StreamStarted { id: fields.number("id")? },
            "ATTEMPT_END" => {
                let id = fields.number("id")?;
                let latency = fields.millis("latency-ms")?;
                let backend = fields.name("backend")?;
                let outcome = parse_outcome(fields.text("rc")?)?;
                fields.optional::<f64>("seen-use")?;
                let attempt = fields.number("go")?;
                let actual_units = fields.optional::<f64>("true-units")?.filter(|units| *units > 0.0);
                let finished = fields.flag("finished")?;
                let load = parse_load(fields.text("metrics")?)?;
                Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    backend,
                    outcome,
                    latency,
                    actual_units,
                    finished,
                    load,
                })
            }
            "GONE" => Event::ClientDisconnected { id: fields.number("id")? },
            "DUE" => Event::Timer { token: fields.number("tag")? },
            "SAMPLED" => {
                let latency = fields.millis("latency-ms")?;
                let backend = fields.name("backend")?;
                let outcome = parse_outcome(fields.text("rc")?)?;
                let load = parse_load(fields.text("metrics")?)?;
                Event::ProbeEnded { backend, outcome, latency, load }
            }
            "INBOX" => {
                let from = fields.number("neighbour")?;
                let bytes = decode_base64(fields.text("msg")?)?;
                Event::PeerMessage { from, bytes }
            }
            "TOTAL" => {
                let code = fields.text("rc")?;
                let key = fields.number("counter-key")?;
                let latency = fields.millis("latency-ms")?;
                let total = fields.optional::<f64>("result-value")?;
                let outcome = match (code, total) {
                    ("delivered", Some(total)) => CountOutcome::Total(total),
                    ("delivered", None) => return Err("result-value is missing".into()),
                    ("shed" | "dial_failed", _) => CountOutcome::NotAdded,
                    ("expired", _) => CountOutcome::Unknown,
                    (other, _) => return Err(format!("unknown outcome {other}")),
                };
                Event::CounterReply { key, outcome, latency }
            }
            other => return Err(format!("unknown message {other}")),
        })
    }
}

fn write_action(reply: &mut String, i: u64, action: &Action) -> fmt::Result {
    match action {
        Action::Send { id, backend, timeout, .. } => {
            writeln!(reply, "HAND_OFF\t{i}\t{id}\t{backend}\t{:.3}", timeout.unwrap_or(0.0))
        }
        Action::Refuse { id, retry_after } => writeln!(reply, "SHED\t{i}\t{id}\t{retry_after:.3}"),
        Action::Fail { id } => writeln!(reply, "DROP_REQUEST\t{i}\t{id}"),
        Action::CancelAttempt { id, attempt } => writeln!(reply, "CALL_OFF\t{i}\t{id}\t{attempt}"),
        Action::SetTimer { after, token } => writeln!(reply, "NOTIFY_ME\t{i}\t{after:.3}\t{token}"),
        Action::Probe { backend } => writeln!(reply, "TEST\t{i}\t{backend}"),
        Action::AddToCounter { key, amount, ttl, .. } => {
            writeln!(reply, "CHARGE_COUNTER\t{i}\t{key}\t{amount:.6}\t{ttl:.3}")
        }
        Action::Broadcast { bytes } => writeln!(reply, "SHARE\t{i}\tall\t{}", STANDARD.encode(bytes)),
        Action::WatchBackends => writeln!(reply, "WATCH\t{i}\t1"),
        Action::Log(text) => writeln!(reply, "SAY_LOG\t{i}\t{}", text.replace(['\n', '\t'], " ")),
    }
}

fn decode_base64(text: &str) -> Result<Vec<u8>, String> {
    if text == "-" {
        return Ok(Vec::new());
    }
    STANDARD.decode(text).map_err(|_| "msg is not base64".into())
}
