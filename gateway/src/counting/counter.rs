//! The shared counter: pipelined RESP2 calls on a few connections.

use crate::clock::to_millis;
use crate::engine::CounterReplyHandler;
use doorcourse::{CountOutcome, Millis};
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

/// Connections; a name always goes by the same one, so its calls keep their order.
pub const LANES: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The wait before a new connection, doubled up to the last with each that fails.
const BACK_OFF: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(500)];
/// A connection on which calls wait and nothing has come for this long leads nowhere: a machine that vanished
/// says nothing.
const SILENT: Duration = Duration::from_secs(1);
/// An answer that has begun is whole within this.
const WHOLE: Duration = Duration::from_millis(50);
/// An idle connection is kept up by a ping this often.
const PING: Duration = Duration::from_secs(3);
/// The most calls on one connection without an answer, and the most bytes of answers not understood yet.
const MOST_CALLS: usize = 1024;
const MOST_BYTES: usize = 4096;

struct Call {
    /// None for a ping.
    name: Option<u64>,
    made: Instant,
    /// Where its last byte stands in all that was ever written on this connection.
    end: u64,
    told: bool,
}

#[derive(Default)]
struct Pipeline {
    up: bool,
    out: VecDeque<u8>,
    written: u64,
    calls: VecDeque<Call>,
}

struct Lane {
    address: SocketAddr,
    patience: Duration,
    report: Rc<CounterReplyHandler>,
    pipeline: RefCell<Pipeline>,
    wake: Notify,
    told_bad: Cell<bool>,
    /// The counter is elsewhere now: what is out gets its end, and that is all.
    retired: Cell<bool>,
}

/// The gateway's side of the counter.
pub struct Counter {
    address: Cell<SocketAddr>,
    patience: Duration,
    report: Rc<CounterReplyHandler>,
    lanes: RefCell<Vec<Rc<Lane>>>,
}

impl Counter {
    /// Connects and stays connected from now on. A call without an answer for `patience` is reported unknown.
    pub fn start(address: SocketAddr, patience: Duration, report: Rc<CounterReplyHandler>) -> Self {
        let lanes = lanes(address, patience, &report).into();
        Self { address: Cell::new(address), patience, report, lanes }
    }

    /// Makes further calls to another address; those that are out end as they would have.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        for lane in self.lanes.replace(lanes(address, self.patience, &self.report)) {
            lane.retired.set(true);
            lane.wake.notify_one();
        }
    }

    /// Adds an amount to a name; the end is reported later or, with no connection, at once.
    pub fn add(&self, name: u64, amount: f64, keep: Millis) {
        let lane = self.lanes.borrow()[name as usize % LANES].clone();
        let name_text = name.to_string();
        let amount = format!("{}", (amount * 1e6).round() / 1e6);
        let keep = (keep.ceil().max(1.0) as u64).to_string();
        if !lane.push(Some(name), &["ADDGET", &name_text, &amount, &keep]) {
            (lane.report)(name, CountOutcome::NotAdded, 0.0);
        }
    }
}

fn lanes(address: SocketAddr, patience: Duration, report: &Rc<CounterReplyHandler>) -> Vec<Rc<Lane>> {
    let lane = |_| {
        let (pipeline, wake) = (Pipeline { up: true, ..Pipeline::default() }.into(), Notify::new());
        let (told_bad, retired, report) = (Cell::new(false), Cell::new(false), report.clone());
        let lane = Rc::new(Lane { address, patience, report, pipeline, wake, told_bad, retired });
        tokio::task::spawn_local(lane.clone().run());
        lane
    };
    (0..LANES).map(lane).collect()
}

impl Lane {
    /// Puts a call in line, if there is a line.
    fn push(&self, name: Option<u64>, words: &[&str]) -> bool {
        let mut pipeline = self.pipeline.borrow_mut();
        if !pipeline.up || pipeline.calls.len() >= MOST_CALLS {
            return false;
        }
        pipeline.out.extend(format!("*{}\r\n", words.len()).bytes());
        for word in words {
            pipeline.out.extend(format!("${}\r\n{word}\r\n", word.len()).bytes());
        }
        let end = pipeline.written + pipeline.out.len() as u64;
        pipeline.calls.push_back(Call { name, made: Instant::now(), end, told: name.is_none() });
        self.wake.notify_one();
        true
    }

    async fn run(self: Rc<Self>) {
        let mut back_off = BACK_OFF[0];
        while !self.retired.get() {
            let mut answered = false;
            if let Some(stream) = self.connect().await {
                let end = self.session(&stream, &mut answered).await;
                drop(stream);
                if let Err(error) = end
                    && error.kind() == io::ErrorKind::InvalidData
                    && !self.told_bad.replace(true)
                {
                    eprintln!("counter: {error} (told once)");
                }
            }
            // Calls made while the ends are told go on the next connection, if that comes at once.
            self.fail_all(answered);
            // Guards the quotas against spoilt answers: a counter that has answered is there, and each moment
            // without a connection to it is one of silence. Only one that has not is spared.
            if answered {
                back_off = BACK_OFF[0];
                continue;
            }
            sleep(back_off).await;
            back_off = (back_off * 2).min(BACK_OFF[1]);
        }
    }

    /// Connects. Calls may be put in line meanwhile, for as long as one may take.
    async fn connect(&self) -> Option<TcpStream> {
        self.pipeline.borrow_mut().up = true;
        let mut connecting = pin!(TcpStream::connect(self.address));
        let stream = match timeout(self.patience, connecting.as_mut()).await {
            Ok(stream) => stream.ok()?,
            Err(_) => {
                self.fail_all(false);
                let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
                self.pipeline.borrow_mut().up = true;
                stream
            }
        };
        stream.set_nodelay(true).ok().map(|()| stream)
    }

    /// Tells of all that got no answer: what was not written whole was not added.
    fn fail_all(&self, up: bool) {
        let Pipeline { calls, written, .. } = self.pipeline.replace(Pipeline { up, ..Pipeline::default() });
        for call in calls {
            let added = if call.end <= written { CountOutcome::Unknown } else { CountOutcome::NotAdded };
            self.tell(&call, added);
        }
    }

    fn tell(&self, call: &Call, outcome: CountOutcome) {
        if let (Some(name), false) = (call.name, call.told) {
            (self.report)(name, outcome, to_millis(call.made.elapsed()));
        }
    }

    async fn session(&self, stream: &TcpStream, answered: &mut bool) -> io::Result<()> {
        let (mut heard, mut input, mut begun) = (Instant::now(), Vec::new(), None);
        loop {
            let (waiting, due) = {
                let pipeline = self.pipeline.borrow();
                let due = pipeline.calls.iter().find(|c| !c.told).map(|c| c.made + self.patience);
                (!pipeline.out.is_empty(), due)
            };
            if self.retired.get() && due.is_none() {
                return Ok(());
            }
            let silence = heard + if self.is_idle() { PING } else { SILENT };
            // Guards against an answer that never ends: all calls behind it would wait for nothing.
            let silence = begun.map_or(silence, |begun| begun + WHOLE);
            tokio::select! {
                () = self.wake.notified() => {}
                ready = stream.readable() => ready?,
                ready = stream.writable(), if waiting => ready?,
                () = sleep_until(due.map_or(silence, |d| d.min(silence))) => {}
            }
            self.write(stream)?;
            // Before the time-outs: an answer that is there counts.
            if self.read(stream, &mut input, answered)? {
                heard = Instant::now();
            }
            begun = (!input.is_empty()).then(|| begun.unwrap_or(heard));
            if begun.is_some_and(|begun| begun.elapsed() >= WHOLE) {
                return Err(bad("an answer without end".into()));
            }
            self.give_up_late();
            if heard.elapsed() >= PING && self.is_idle() {
                heard = Instant::now();
                self.push(None, &["PING"]);
            }
            let oldest = self.pipeline.borrow().calls.front().map(|c| c.made.max(heard));
            if oldest.is_some_and(|at| at.elapsed() >= SILENT) {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.pipeline.borrow().calls.is_empty()
    }

    fn write(&self, stream: &TcpStream) -> io::Result<()> {
        let mut pipeline = self.pipeline.borrow_mut();
        while !pipeline.out.is_empty() {
            match stream.try_write(pipeline.out.as_slices().0) {
                Ok(written) => {
                    pipeline.out.drain(..written);
                    pipeline.written += written as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads what is there and tells of the answers; true if anything came.
    fn read(&self, stream: &TcpStream, input: &mut Vec<u8>, answered: &mut bool) -> io::Result<bool> {
        let (mut came, mut bytes) = (false, [0; 4096]);
        loop {
            match stream.try_read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => input.extend_from_slice(&bytes[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(came),
                Err(error) => return Err(error),
            }
            came = true;
            while let Some((frame, length)) = decode(input).map_err(|e| bad(e.to_string()))? {
                input.drain(..length);
                self.answer(frame)?;
                *answered = true;
            }
            if input.len() > MOST_BYTES {
                return Err(bad("an answer without end".into()));
            }
        }
    }

    /// Answers come in the order of the calls; one that comes late is taken off the line and told to nobody.
    fn answer(&self, frame: OwnedFrame) -> io::Result<()> {
        let name = self.pipeline.borrow().calls.front().map(|call| call.name);
        let Some(name) = name else { return Err(bad("an answer to no call".into())) };
        let outcome = match frame {
            OwnedFrame::BulkString(text) => {
                let total = std::str::from_utf8(&text).ok().and_then(|t| t.parse::<f64>().ok());
                total.filter(|t| t.is_finite()).map(CountOutcome::Total)
            }
            // Any other word is a spoilt answer, and the amount was added.
            OwnedFrame::Error(word) if word.starts_with("BUSY") || word.starts_with("ERR") => {
                Some(CountOutcome::NotAdded)
            }
            OwnedFrame::SimpleString(_) if name.is_none() => Some(CountOutcome::NotAdded),
            _ => None,
        };
        // A call with a spoilt answer stays in line, to be told of as unknown with those behind it.
        let outcome = outcome.ok_or_else(|| bad("an answer that is no total".into()))?;
        let call = self.pipeline.borrow_mut().calls.pop_front();
        call.into_iter().for_each(|call| self.tell(&call, outcome));
        Ok(())
    }

    /// Tells of calls whose time is over. They stay in line, as their answers are still to come; one that
    /// is not written whole yet is told as unknown too, as it may be from now on.
    fn give_up_late(&self) {
        loop {
            let late = {
                let mut pipeline = self.pipeline.borrow_mut();
                let next = pipeline.calls.iter_mut().find(|c| !c.told);
                let Some(call) = next.filter(|c| c.made.elapsed() >= self.patience) else { return };
                call.told = true;
                Call { told: false, ..*call }
            };
            self.tell(&late, CountOutcome::Unknown);
        }
    }
}

fn bad(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
