//! One client's connection: its socket as the HTTP library sees it, what came on it, and by when it must have moved on.

use crate::faults;
use crate::observe::Life;
use fennelscale_admission::admission::Admission;
use fennelscale_admission::slow_clients::{Activity, SlowClientLimits};
use fennelscale_admission::{ConnectionId, Time};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use life::inbound::{Event, Inbound};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Read buffers hold one request's headers.
pub const BUFFER: usize = 16 * 1024;
/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// An open request's connection is looked at again after this.
const LOOK: Duration = Duration::from_secs(2);

/// The decisions on connections, with the clock that they are told the time by.
pub struct Desk {
    admission: RefCell<Admission>,
    start: Instant,
    pace: SlowClientLimits,
}

impl Desk {
    /// A desk whose clock starts now.
    pub fn new(admission: Admission, pace: SlowClientLimits) -> Rc<Self> {
        Rc::new(Self { admission: RefCell::new(admission), start: Instant::now(), pace })
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// A point of this clock as one of the system's.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + at
    }

    /// Asks or tells the decisions something.
    pub fn ask<T>(&self, what: impl FnOnce(&mut Admission, Time) -> T) -> T {
        what(&mut self.admission.borrow_mut(), self.now())
    }
}

/// One client's connection.
pub struct Guest {
    /// Its number.
    pub id: ConnectionId,
    /// Where it is.
    pub life: Life<Inbound>,
    /// Woken when it is asked to leave.
    pub leave: Notify,
    desk: Rc<Desk>,
    /// When it came, was last answered or began to ask.
    since: Cell<Time>,
    /// What came since, up to the end of a head.
    head: RefCell<Vec<u8>>,
    /// When that was whole, and the bytes that came behind it.
    body: Cell<Option<(Time, u64)>>,
    /// When the answer was given that is being written, and the bytes of it that were.
    answer: Cell<Option<(Time, u64)>>,
    /// Until when its time is being waited for.
    armed: Cell<Time>,
    sooner: Notify,
}

impl Guest {
    /// One that was admitted now.
    pub fn new(id: ConnectionId, desk: &Rc<Desk>) -> Rc<Self> {
        Rc::new(Self {
            id,
            life: Life::new(Inbound::accepted()),
            leave: Notify::new(),
            since: Cell::new(desk.now()),
            head: RefCell::default(),
            body: Cell::default(),
            answer: Cell::default(),
            armed: Cell::new(Time::MAX),
            sooner: Notify::new(),
            desk: desk.clone(),
        })
    }

    /// Whether a request that was taken whole has no answer yet.
    pub fn is_busy(&self) -> bool {
        self.life.now() == Inbound::Open
    }

    fn doing(&self) -> Activity {
        match (self.life.now(), self.answer.get(), self.body.get()) {
            (Inbound::Open, _, _) => Activity::Processing,
            (Inbound::Reading { .. }, _, Some((since, bytes))) => Activity::ReadingBody { since, bytes },
            (Inbound::Reading { .. }, _, None) => Activity::ReadingHead,
            (_, Some((since, bytes)), _) => Activity::WritingResponse { since, bytes },
            _ => Activity::Idle,
        }
    }

    fn due(&self) -> Time {
        self.desk.pace.deadline(self.doing(), self.since.get()).unwrap_or_else(|| self.desk.now() + LOOK)
    }

    /// Resolves when its time to move on is over.
    pub async fn over(&self) {
        loop {
            let due = self.due();
            if self.desk.now() >= due {
                return;
            }
            self.armed.set(due);
            tokio::select! {
                () = sleep_until(self.desk.instant(due)) => {}
                () = self.sooner.notified() => {}
            }
        }
    }

    /// What it does now may be due earlier than what it did before.
    fn rearm(&self) {
        if self.due() < self.armed.get() {
            self.sooner.notify_one();
        }
    }

    /// Notes bytes that came.
    fn note(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let began = matches!(self.life.now(), Inbound::Quiet { .. });
        if self.life.now() == (Inbound::Quiet { answered: true }) {
            self.desk.ask(|admission, now| {
                self.since.set(now);
                admission.on_request_begin(now, self.id);
            });
        }
        self.life.step(Event::Bytes);
        if self.is_busy() {
            return;
        }
        if let Some((since, before)) = self.body.get() {
            return self.body.set(Some((since, before + bytes.len() as u64)));
        }
        let mut head = self.head.borrow_mut();
        let from = head.len().saturating_sub(HEAD_END.len());
        let room = BUFFER - head.len();
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        if let Some(at) = head[from..].windows(HEAD_END.len()).position(|w| w == HEAD_END) {
            let rest = head.len() - (from + at + HEAD_END.len());
            head.truncate(from + at + HEAD_END.len());
            self.body.set(Some((self.desk.now(), rest as u64)));
        }
        drop(head);
        if began || self.body.get().is_some() {
            self.rearm();
        }
    }

    /// A request was taken whole.
    pub fn taken(&self) {
        self.life.step(Event::Taken);
        self.desk.ask(|admission, _| admission.on_request(self.id));
    }

    /// Notes an answer. `share` is what a served request is worth, as a share of what the worthiest is.
    pub fn done(&self, share: Option<f64>) {
        self.life.step(if self.is_busy() { Event::Answered } else { Event::TurnedAway });
        self.head.take();
        self.body.take();
        self.desk.ask(|admission, now| {
            self.since.set(now);
            self.answer.set(Some((now, 0)));
            admission.on_response(now, self.id, share);
        });
        self.rearm();
    }

    /// Whether a head with a `Transfer-Encoding` has no length beside it. The HTTP library drops a length that
    /// stands behind, so the bytes themselves are asked: they must be those of this head.
    pub fn is_plainly_chunked(&self, request: &Request<Incoming>) -> bool {
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

/// A client's socket as the HTTP library sees it.
pub struct Tap {
    stream: TcpStream,
    /// What was read of it already, behind a proxy's header.
    ahead: Vec<u8>,
    guest: Rc<Guest>,
}

impl Tap {
    /// A socket of which some bytes were read already.
    pub fn new(stream: TcpStream, ahead: Vec<u8>, guest: Rc<Guest>) -> Self {
        Self { stream, ahead, guest }
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if self.ahead.is_empty() {
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        } else {
            let fits = self.ahead.len().min(buf.remaining());
            buf.put_slice(&self.ahead[..fits]);
            self.ahead.drain(..fits);
        }
        self.guest.note(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl Tap {
    fn wrote(&self, written: usize) {
        if let Some((since, before)) = self.guest.answer.get() {
            self.guest.answer.set(Some((since, before + written as u64)));
        }
    }
}

impl AsyncWrite for Tap {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.wrote(written);
        if faults::on(faults::Fault::AnswerTwice) && buf.starts_with(b"HTTP/1.1 200") {
            let _ = self.stream.try_write(buf);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.wrote(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        !faults::on(faults::Fault::AnswerTwice) && self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once all that it holds has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.guest.answer.take();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
