//! The shared counter: pipelined RESP2 calls on a few connections.

use crate::clock::millis;
use doorcourse::{CountOutcome, Millis};
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
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
/// An idle connection is kept up by a ping this often.
const PING: Duration = Duration::from_secs(3);
/// The most calls on one connection without an answer, and the most bytes of answers not understood yet.
const MOST_CALLS: usize = 1024;
const MOST_BYTES: usize = 4096;

/// What is told of each call, once: its name, how it ended, how long it took.
pub type Report = dyn Fn(u64, CountOutcome, Millis);

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
    report: Rc<Report>,
    pipeline: RefCell<Pipeline>,
    wake: Notify,
    told_bad: Cell<bool>,
}

/// The gateway's side of the counter.
pub struct Counter {
    lanes: Vec<Rc<Lane>>,
}

impl Counter {
    /// Connects and stays connected from now on. A call without an answer for `patience` is reported unknown.
    pub fn start(address: SocketAddr, patience: Duration, report: Rc<Report>) -> Self {
        let lane = |_| {
            let (pipeline, wake, told_bad) = (RefCell::default(), Notify::new(), Cell::new(false));
            let lane = Rc::new(Lane { address, patience, report: report.clone(), pipeline, wake, told_bad });
            tokio::task::spawn_local(lane.clone().run());
            lane
        };
        Self { lanes: (0..LANES).map(lane).collect() }
    }

    /// Adds an amount to a name; the end is reported later or, with no connection, at once.
    pub fn add(&self, name: u64, amount: f64, keep: Millis) {
        let lane = &self.lanes[name as usize % self.lanes.len()];
        let name_text = name.to_string();
        let amount = format!("{}", (amount * 1e6).round() / 1e6);
        let keep = (keep.ceil().max(1.0) as u64).to_string();
        if !lane.push(Some(name), &["ADDGET", &name_text, &amount, &keep]) {
            (lane.report)(name, CountOutcome::NotAdded, 0.0);
        }
    }
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
        loop {
            let begun = Instant::now();
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await
                && stream.set_nodelay(true).is_ok()
            {
                *self.pipeline.borrow_mut() = Pipeline { up: true, ..Pipeline::default() };
                let end = self.session(&stream).await;
                drop(stream);
                self.fail_all();
                if let Err(error) = end
                    && error.kind() == io::ErrorKind::InvalidData
                    && !self.told_bad.replace(true)
                {
                    eprintln!("counter: {error} (told once)");
                }
                // One that stood for a while was closed as idle or with its machine: no reason to wait.
                if begun.elapsed() > SILENT {
                    back_off = BACK_OFF[0];
                }
            }
            sleep(back_off).await;
            back_off = (back_off * 2).min(BACK_OFF[1]);
        }
    }

    /// Tells of all that got no answer: what was not written whole was not added.
    fn fail_all(&self) {
        let Pipeline { calls, written, .. } = self.pipeline.take();
        for call in calls {
            let added = if call.end <= written { CountOutcome::Unknown } else { CountOutcome::NotAdded };
            self.tell(&call, added);
        }
    }

    fn tell(&self, call: &Call, outcome: CountOutcome) {
        if let (Some(name), false) = (call.name, call.told) {
            (self.report)(name, outcome, millis(call.made.elapsed()));
        }
    }

    async fn session(&self, stream: &TcpStream) -> io::Result<()> {
        let (mut heard, mut input) = (Instant::now(), Vec::new());
        loop {
            let (waiting, due) = {
                let pipeline = self.pipeline.borrow();
                let due = pipeline.calls.iter().find(|c| !c.told).map(|c| c.made + self.patience);
                (!pipeline.out.is_empty(), due)
            };
            let silence = heard + if self.is_idle() { PING } else { SILENT };
            tokio::select! {
                () = self.wake.notified() => {}
                ready = stream.readable() => ready?,
                ready = stream.writable(), if waiting => ready?,
                () = sleep_until(due.map_or(silence, |d| d.min(silence))) => {}
            }
            self.write(stream)?;
            // Before the time-outs: an answer that is there counts.
            if self.read(stream, &mut input)? {
                heard = Instant::now();
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
    fn read(&self, stream: &TcpStream, input: &mut Vec<u8>) -> io::Result<bool> {
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
            }
            if input.len() > MOST_BYTES {
                return Err(bad("an answer without end".into()));
            }
        }
    }

    /// Answers come in the order of the calls; one that comes late is taken off the line and told to nobody.
    fn answer(&self, frame: OwnedFrame) -> io::Result<()> {
        let call = self.pipeline.borrow_mut().calls.pop_front();
        let Some(call) = call else { return Err(bad("an answer to no call".into())) };
        let outcome = match frame {
            OwnedFrame::BulkString(text) => {
                let total = std::str::from_utf8(&text).ok().and_then(|t| t.parse::<f64>().ok());
                total.filter(|t| t.is_finite()).map(CountOutcome::Total)
            }
            OwnedFrame::Error(_) => Some(CountOutcome::NotAdded),
            OwnedFrame::SimpleString(_) if call.name.is_none() => return Ok(()),
            _ => None,
        };
        self.tell(&call, outcome.unwrap_or(CountOutcome::Unknown));
        outcome.map(|_| ()).ok_or_else(|| bad("an answer that is no total".into()))
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
