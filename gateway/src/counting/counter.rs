//! Client of a shared counter: pipelined RESP2 calls on a few connections.

use crate::clock::to_millis;
use crate::engine::CounterReplyHandler;
use doorcourse::{CountOutcome, Millis};
use fennelscale_log_writer::log_line;
use fennelscale_time::Later;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Number of connections. Calls for a key always use the same one, so they keep their order.
pub const CONNECTIONS: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum and maximum delay before a reconnect; it doubles with each failure.
const BACKOFF: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(500)];
/// A connection with unanswered calls that received nothing for this long is closed: a machine that vanished
/// does not close its connections.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the rest of an answer once it has begun.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval of keep-alive pings on an idle connection.
const PING_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of unanswered calls on a connection, and of received bytes that are not decoded yet.
const MAX_CALLS: usize = 1024;
const MAX_INPUT: usize = 4096;

struct Call {
    /// None for a ping.
    key: Option<u64>,
    started_at: Instant,
    /// Position of its last byte in the bytes written on this connection.
    end: u64,
    reported: bool,
}

#[derive(Default)]
struct Pipeline {
    accepts_calls: bool,
    output: VecDeque<u8>,
    written: u64,
    calls: VecDeque<Call>,
}

struct CounterConnection {
    address: SocketAddr,
    call_timeout: Duration,
    report: Rc<CounterReplyHandler>,
    pipeline: RefCell<Pipeline>,
    wake: Notify,
    logged_invalid: Cell<bool>,
    /// The counter has moved: open calls finish, and no new ones are made.
    retired: Cell<bool>,
}

/// The client of one counter.
pub struct Counter {
    address: Cell<SocketAddr>,
    call_timeout: Duration,
    report: Rc<CounterReplyHandler>,
    connections: RefCell<Vec<Rc<CounterConnection>>>,
}

impl Counter {
    /// Connects and reconnects as needed. The outcome of a call without an answer within `call_timeout` is
    /// reported as unknown.
    pub fn start(address: SocketAddr, call_timeout: Duration, report: Rc<CounterReplyHandler>) -> Self {
        let connections = connections(address, call_timeout, &report).into();
        Self { address: Cell::new(address), call_timeout, report, connections }
    }

    /// Sends new calls to another address; open calls finish on their connections.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        for connection in self.connections.replace(connections(address, self.call_timeout, &self.report)) {
            connection.retired.set(true);
            connection.wake.notify_one();
        }
    }

    /// Adds an amount to a key. The result is reported later or, without a connection, at once.
    pub fn add(&self, key: u64, amount: f64, ttl: Millis) {
        let connection = self.connections.borrow()[key as usize % CONNECTIONS].clone();
        let key_text = key.to_string();
        let amount = format!("{}", (amount * 1e6).round() / 1e6);
        let ttl = (ttl.ceil().max(1.0) as u64).to_string();
        if !connection.push(Some(key), &["ADDGET", &key_text, &amount, &ttl]) {
            (connection.report)(key, CountOutcome::NotAdded, 0.0);
        }
    }
}

fn connections(
    address: SocketAddr, call_timeout: Duration, report: &Rc<CounterReplyHandler>,
) -> Vec<Rc<CounterConnection>> {
    let connection = |_| {
        let (pipeline, wake) =
            (Pipeline { accepts_calls: true, ..Pipeline::default() }.into(), Notify::new());
        let (logged_invalid, retired, report) = (Cell::new(false), Cell::new(false), report.clone());
        let connection = Rc::new(CounterConnection {
            address,
            call_timeout,
            report,
            pipeline,
            wake,
            logged_invalid,
            retired,
        });
        tokio::task::spawn_local(connection.clone().run());
        connection
    };
    (0..CONNECTIONS).map(connection).collect()
}

impl CounterConnection {
    /// Queues a call if the connection accepts calls.
    fn push(&self, key: Option<u64>, words: &[&str]) -> bool {
        let mut pipeline = self.pipeline.borrow_mut();
        if !pipeline.accepts_calls || pipeline.calls.len() >= MAX_CALLS {
            return false;
        }
        pipeline.output.extend(format!("*{}\r\n", words.len()).bytes());
        for word in words {
            pipeline.output.extend(format!("${}\r\n{word}\r\n", word.len()).bytes());
        }
        let end = pipeline.written + pipeline.output.len() as u64;
        pipeline.calls.push_back(Call { key, started_at: Instant::now(), end, reported: key.is_none() });
        self.wake.notify_one();
        true
    }

    async fn run(self: Rc<Self>) {
        let mut backoff = BACKOFF[0];
        while !self.retired.get() {
            let mut answered = false;
            if let Some(stream) = self.connect().await {
                let end = self.session(&stream, &mut answered).await;
                drop(stream);
                if let Err(error) = end
                    && error.kind() == io::ErrorKind::InvalidData
                    && !self.logged_invalid.replace(true)
                {
                    log_line!("counter: {error} (logged once)");
                }
            }
            // Calls made while the results are reported go to the next connection, if it is opened at once.
            self.fail_all(answered);
            // A counter that has answered is available, even if an answer was invalid: reconnecting without
            // delay keeps it from counting as unavailable. The backoff applies only to one that has not
            // answered.
            if answered {
                backoff = BACKOFF[0];
                continue;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF[1]);
        }
    }

    /// Connects. Calls may be queued meanwhile, for at most the time limit of a call.
    async fn connect(&self) -> Option<TcpStream> {
        self.pipeline.borrow_mut().accepts_calls = true;
        let mut connecting = pin!(TcpStream::connect(self.address));
        let stream = match timeout(self.call_timeout, connecting.as_mut()).await {
            Ok(stream) => stream.ok()?,
            Err(_) => {
                self.fail_all(false);
                let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
                self.pipeline.borrow_mut().accepts_calls = true;
                stream
            }
        };
        stream.set_nodelay(true).ok().map(|()| stream)
    }

    /// Reports all calls without an answer: those that were not written completely were not added.
    fn fail_all(&self, accepts_calls: bool) {
        let Pipeline { calls, written, .. } =
            self.pipeline.replace(Pipeline { accepts_calls, ..Pipeline::default() });
        for call in calls {
            let outcome = if call.end <= written { CountOutcome::Unknown } else { CountOutcome::NotAdded };
            self.report(&call, outcome);
        }
    }

    fn report(&self, call: &Call, outcome: CountOutcome) {
        if let (Some(key), false) = (call.key, call.reported) {
            (self.report)(key, outcome, to_millis(call.started_at.elapsed()));
        }
    }

    async fn session(&self, stream: &TcpStream, answered: &mut bool) -> io::Result<()> {
        let (mut last_input, mut input, mut answer_start) = (Instant::now(), Vec::new(), None::<Instant>);
        loop {
            let (has_output, deadline) = {
                let pipeline = self.pipeline.borrow();
                let deadline = pipeline
                    .calls
                    .iter()
                    .find(|c| !c.reported)
                    .map(|c| c.started_at.later_by(self.call_timeout));
                (!pipeline.output.is_empty(), deadline)
            };
            if self.retired.get() && deadline.is_none() {
                return Ok(());
            }
            let max_silence = if self.is_idle() { PING_INTERVAL } else { SILENCE_TIMEOUT };
            let next_check = last_input.later_by(max_silence);
            // An answer that never ends would block all calls behind it.
            let next_check = answer_start.map_or(next_check, |start| start.later_by(ANSWER_TIMEOUT));
            tokio::select! {
                () = self.wake.notified() => {}
                ready = stream.readable() => ready?,
                ready = stream.writable(), if has_output => ready?,
                () = sleep_until(deadline.map_or(next_check, |deadline| deadline.min(next_check))) => {}
            }
            self.write(stream)?;
            // Reads before checking time limits, so that an answer already received counts.
            if self.read(stream, &mut input, answered)? {
                last_input = Instant::now();
            }
            answer_start = (!input.is_empty()).then(|| answer_start.unwrap_or(last_input));
            if answer_start.is_some_and(|start| start.elapsed() >= ANSWER_TIMEOUT) {
                return Err(invalid("an answer that does not end".into()));
            }
            self.expire_calls();
            if last_input.elapsed() >= PING_INTERVAL && self.is_idle() {
                last_input = Instant::now();
                self.push(None, &["PING"]);
            }
            let oldest = self.pipeline.borrow().calls.front().map(|c| c.started_at.max(last_input));
            if oldest.is_some_and(|at| at.elapsed() >= SILENCE_TIMEOUT) {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.pipeline.borrow().calls.is_empty()
    }

    fn write(&self, stream: &TcpStream) -> io::Result<()> {
        let mut pipeline = self.pipeline.borrow_mut();
        while !pipeline.output.is_empty() {
            match stream.try_write(pipeline.output.as_slices().0) {
                Ok(written) => {
                    pipeline.output.drain(..written);
                    pipeline.written += written as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads available input and reports the answers in it; true if there was any input.
    fn read(&self, stream: &TcpStream, input: &mut Vec<u8>, answered: &mut bool) -> io::Result<bool> {
        let (mut has_input, mut bytes) = (false, [0; 4096]);
        loop {
            match stream.try_read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => input.extend_from_slice(&bytes[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(has_input),
                Err(error) => return Err(error),
            }
            has_input = true;
            while let Some((frame, length)) = decode(input).map_err(|e| invalid(e.to_string()))? {
                input.drain(..length);
                self.on_answer(frame)?;
                *answered = true;
            }
            if input.len() > MAX_INPUT {
                return Err(invalid("an answer that does not end".into()));
            }
        }
    }

    /// Assigns an answer to the oldest call, as answers arrive in call order. An answer to an expired call is
    /// dropped.
    fn on_answer(&self, frame: OwnedFrame) -> io::Result<()> {
        let key = self.pipeline.borrow().calls.front().map(|call| call.key);
        let Some(key) = key else { return Err(invalid("an answer without a call".into())) };
        let outcome = match frame {
            OwnedFrame::BulkString(text) => {
                let total = std::str::from_utf8(&text).ok().and_then(|t| t.parse::<f64>().ok());
                total.filter(|t| t.is_finite()).map(CountOutcome::Total)
            }
            // Any other error is an invalid answer, and the amount was added.
            OwnedFrame::Error(text) if text.starts_with("BUSY") || text.starts_with("ERR") => {
                Some(CountOutcome::NotAdded)
            }
            OwnedFrame::SimpleString(_) if key.is_none() => Some(CountOutcome::NotAdded),
            _ => None,
        };
        // A call with an invalid answer stays queued, to be reported as unknown together with those behind
        // it.
        let outcome = outcome.ok_or_else(|| invalid("an answer that is not a total".into()))?;
        let call = self.pipeline.borrow_mut().calls.pop_front();
        call.into_iter().for_each(|call| self.report(&call, outcome));
        Ok(())
    }

    /// Reports expired calls as unknown. They stay queued, as their answers may still arrive. An incompletely
    /// written call is reported as unknown too, since it may be written later.
    fn expire_calls(&self) {
        loop {
            let expired = {
                let mut pipeline = self.pipeline.borrow_mut();
                let next = pipeline.calls.iter_mut().find(|c| !c.reported);
                let Some(call) = next.filter(|c| c.started_at.elapsed() >= self.call_timeout) else { return };
                call.reported = true;
                Call { reported: false, ..*call }
            };
            self.report(&expired, CountOutcome::Unknown);
        }
    }
}

fn invalid(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
