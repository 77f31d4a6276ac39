//! The shared quota counter on sockets: RESP2, answers in the order of the calls. What it can do is in [`crate::tally`].

use super::kit::Kit;
use super::place::{Moved, Place};
use crate::log::What;
use crate::scenario::TroubleKind;
use crate::tally::{Answer, Figures, Tally};
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Of a run's network, the counter has this address.
const HOST: u8 = 250;
/// Calls of one connection that wait for their answers; one with more is closed.
const MOST_WAITING: usize = 4096;
/// The longest input that is not a call yet.
const LONGEST_CALL: usize = 4096;
const LONGEST_NAME: usize = 64;
const LARGEST_AMOUNT: f64 = 1e9;

/// The counter.
pub(super) struct Counter {
    kit: Rc<Kit>,
    tally: RefCell<Tally>,
    place: Place,
    open: Cell<usize>,
    /// Which counter stands there.
    replaced: watch::Sender<u32>,
}

impl Counter {
    pub(super) async fn start(kit: &Rc<Kit>) -> io::Result<Rc<Self>> {
        let figures = &kit.scenario.counter;
        let tally = Tally::new(Figures {
            capacity: figures.capacity.0,
            parts: figures.parts,
            longest_wait: figures.longest_wait.0,
        });
        let this = Rc::new(Self {
            kit: kit.clone(),
            tally: RefCell::new(tally),
            place: Place::new(kit, HOST),
            open: Cell::new(0),
            replaced: watch::channel(0).0,
        });
        this.clone().move_on().await?;
        Ok(this)
    }

    /// Where it listens now.
    pub(super) fn at(&self) -> SocketAddr {
        self.place.at()
    }

    /// Listens elsewhere from now on; the old place takes nothing new and soon closes what it has.
    pub(super) async fn move_on(self: Rc<Self>) -> io::Result<()> {
        let this = self.clone();
        self.place.move_on(move |stream, moved| this.clone().take(stream, moved)).await
    }

    /// Another counter stands there, at zero; connections end.
    pub(super) fn replace(&self) {
        self.tally.borrow_mut().replace();
        self.replaced.send_modify(|n| *n += 1);
    }

    fn take(self: Rc<Self>, stream: TcpStream, moved: Moved) {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
        if self.open.get() >= self.kit.scenario.counter.connections {
            return;
        }
        let _ = stream.set_nodelay(true);
        self.open.set(self.open.get() + 1);
        let mut replaced = self.replaced.subscribe();
        spawn_local(async move {
            tokio::select! {
                biased;
                _ = replaced.changed() => {}
                () = moved.over() => {}
                () = self.serve(stream) => {}
            }
            self.open.set(self.open.get() - 1);
        });
    }

    async fn serve(&self, stream: TcpStream) {
        let (mut read, write) = stream.into_split();
        let (answers, waiting) = mpsc::channel(MOST_WAITING);
        let writer = self.write(write, waiting);
        let reader = async {
            let mut input = Vec::new();
            let mut swallowed = false;
            loop {
                // What was taken in silence is never answered; answers behind it would be taken for its own.
                if swallowed && !self.kit.is_on(TroubleKind::CounterSilent) {
                    return;
                }
                let read =
                    tokio::time::timeout(std::time::Duration::from_millis(100), read.read_buf(&mut input));
                match read.await {
                    Ok(Ok(read)) if read > 0 => {}
                    Err(_) => continue,
                    _ => return,
                }
                while let Ok(Some((frame, length))) = decode(&input) {
                    input.drain(..length);
                    if self.kit.is_on(TroubleKind::CounterSilent) {
                        swallowed = true;
                    } else if answers.try_send(self.answer(frame)).is_err() {
                        return;
                    }
                }
                if input.len() > LONGEST_CALL {
                    return;
                }
            }
        };
        tokio::select! {
            () = reader => {}
            () = writer => {}
        }
    }

    /// Writes answers when they are due, in their order.
    async fn write(&self, mut write: OwnedWriteHalf, mut waiting: mpsc::Receiver<(f64, String)>) {
        while let Some((due, text)) = waiting.recv().await {
            if due > self.kit.now() {
                self.kit.until(due).await;
            }
            if write.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// The answer to a call, and when it is due.
    fn answer(&self, frame: OwnedFrame) -> (f64, String) {
        let now = self.kit.now();
        let words = words(frame).unwrap_or_default();
        let word = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        let text = match (word.as_str(), words.len()) {
            ("PING", 1) => "+PONG\r\n",
            ("CLIENT" | "SELECT", _) => "+OK\r\n",
            ("ADDGET", 4) => return self.add(&words[1], &words[2], &words[3]),
            _ => "-ERR no such call\r\n",
        };
        (now, text.into())
    }

    fn add(&self, name: &str, amount: &str, life: &str) -> (f64, String) {
        let now = self.kit.now();
        let amount = amount.parse::<f64>().ok().filter(|a| a.is_finite() && a.abs() <= LARGEST_AMOUNT);
        let life = life.parse::<u64>().ok().filter(|l| *l >= 1);
        let (Some(amount), Some(life)) = (amount, life) else {
            return (now, "-ERR amount or life\r\n".into());
        };
        if name.is_empty() || name.len() > LONGEST_NAME {
            return (now, "-ERR name\r\n".into());
        }
        let figures = &self.kit.scenario.counter;
        let slow = self.kit.troubles_now(TroubleKind::CounterSlow);
        let slow: f64 = slow.filter_map(|t| t.by.map(|by| by.0)).sum();
        let answer = self.tally.borrow_mut().add(now, name, amount, life as f64);
        self.kit.note(What::Counted { busy: answer == Answer::Busy });
        match answer {
            Answer::Busy => (now, "-BUSY try again later\r\n".into()),
            Answer::Total(total, wait) => {
                let latency = figures.latency.at(self.kit.service_draw()) + slow;
                let text = format!("{}", (total * 1e6).round() / 1e6);
                (now + wait + latency, format!("${}\r\n{text}\r\n", text.len()))
            }
        }
    }
}

fn words(frame: OwnedFrame) -> Option<Vec<String>> {
    let OwnedFrame::Array(parts) = frame else { return None };
    let word = |part| match part {
        OwnedFrame::BulkString(bytes) => String::from_utf8(bytes).ok(),
        _ => None,
    };
    parts.into_iter().map(word).collect()
}
