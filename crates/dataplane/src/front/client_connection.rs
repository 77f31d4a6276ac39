//! One client's connection: its socket as the HTTP library sees it, what came on it, and by when it must have moved on.

use crate::faults;
use crate::lifecycle::Lifecycle;
use fennelscale_admission::admission::Admission;
use fennelscale_admission::pace::{Doing, Pace};
use fennelscale_admission::{Id, Time};
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
pub const READ_BUFFER_SIZE: usize = 16 * 1024;
/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// An open request's connection is looked at again after this.
const OPEN_REQUEST_CHECK: Duration = Duration::from_secs(2);

/// The decisions on connections, with the clock that they are told the time by.
pub struct AdmissionControl {
    admission: RefCell<Admission>,
    start: Instant,
    pace: Pace,
}

impl AdmissionControl {
    /// A admission whose clock starts now.
    pub fn new(admission: Admission, pace: Pace) -> Rc<Self> {
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
    pub fn with<T>(&self, what: impl FnOnce(&mut Admission, Time) -> T) -> T {
        what(&mut self.admission.borrow_mut(), self.now())
    }
}

/// One client's connection.
pub struct ClientConnection {
    /// Its number.
    pub id: Id,
    /// Where it is.
    pub lifecycle: Lifecycle<Inbound>,
    /// Woken when it is asked to leave.
    pub close_requested: Notify,
    admission: Rc<AdmissionControl>,
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
    deadline_changed: Notify,
}

impl ClientConnection {
    /// One that was admitted now.
    pub fn new(id: Id, admission: &Rc<AdmissionControl>) -> Rc<Self> {
        Rc::new(Self {
            id,
            lifecycle: Lifecycle::new(Inbound::accepted()),
            close_requested: Notify::new(),
            since: Cell::new(admission.now()),
            head: RefCell::default(),
            body: Cell::default(),
            answer: Cell::default(),
            armed: Cell::new(Time::MAX),
            deadline_changed: Notify::new(),
            admission: admission.clone(),
        })
    }

    /// Whether a request that was taken whole has no answer yet.
    pub fn has_open_request(&self) -> bool {
        self.lifecycle.state() == Inbound::Open
    }

    fn activity(&self) -> Doing {
        match (self.lifecycle.state(), self.answer.get(), self.body.get()) {
            (Inbound::Open, _, _) => Doing::Open,
            (Inbound::Reading { .. }, _, Some((since, bytes))) => Doing::Body { since, bytes },
            (Inbound::Reading { .. }, _, None) => Doing::Head,
            (_, Some((since, bytes)), _) => Doing::Answer { since, bytes },
            _ => Doing::Nothing,
        }
    }

    fn deadline(&self) -> Time {
        self.admission
            .pace
            .due(self.activity(), self.since.get())
            .unwrap_or_else(|| self.admission.now() + OPEN_REQUEST_CHECK)
    }

    /// Resolves when its time to move on is over.
    pub async fn deadline_passed(&self) {
        loop {
            let due = self.deadline();
            if self.admission.now() >= due {
                return;
            }
            self.armed.set(due);
            tokio::select! {
                () = sleep_until(self.admission.instant(due)) => {}
                () = self.deadline_changed.notified() => {}
            }
        }
    }

    /// What it does now may be due earlier than what it did before.
    fn rearm(&self) {
        if self.deadline() < self.armed.get() {
            self.deadline_changed.notify_one();
        }
    }

    /// Notes bytes that came.
    fn on_bytes(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let began = matches!(self.lifecycle.state(), Inbound::Quiet { .. });
        if self.lifecycle.state() == (Inbound::Quiet { answered: true }) {
            self.admission.with(|admission, now| {
                self.since.set(now);
                admission.began(now, self.id);
            });
        }
        self.lifecycle.step(Event::Bytes);
        if self.has_open_request() {
            return;
        }
        if let Some((since, before)) = self.body.get() {
            return self.body.set(Some((since, before + bytes.len() as u64)));
        }
        let mut head = self.head.borrow_mut();
        let from = head.len().saturating_sub(HEAD_END.len());
        let room = READ_BUFFER_SIZE - head.len();
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        if let Some(at) = head[from..].windows(HEAD_END.len()).position(|w| w == HEAD_END) {
            let rest = head.len() - (from + at + HEAD_END.len());
            head.truncate(from + at + HEAD_END.len());
            self.body.set(Some((self.admission.now(), rest as u64)));
        }
        drop(head);
        if began || self.body.get().is_some() {
            self.rearm();
        }
    }

    /// A request was taken whole.
    pub fn request_received(&self) {
        self.lifecycle.step(Event::Taken);
        self.admission.with(|admission, _| admission.taken(self.id));
    }

    /// Notes an answer. `share` is what a served request is worth, as a share of what the worthiest is.
    pub fn response_ready(&self, share: Option<f64>) {
        self.lifecycle.step(if self.has_open_request() { Event::Answered } else { Event::TurnedAway });
        self.head.take();
        self.body.take();
        self.admission.with(|admission, now| {
            self.since.set(now);
            self.answer.set(Some((now, 0)));
            admission.answered(now, self.id, share);
        });
        self.rearm();
    }

    /// Whether a head with a `Transfer-Encoding` has no length beside it. The HTTP library drops a length that
    /// stands behind, so the bytes themselves are asked: they must be those of this head.
    pub fn is_chunked_without_length(&self, request: &Request<Incoming>) -> bool {
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
pub struct ClientStream {
    stream: TcpStream,
    /// What was read of it already, behind a proxy's header.
    buffered: Vec<u8>,
    client: Rc<ClientConnection>,
}

impl ClientStream {
    /// A socket of which some bytes were read already.
    pub fn new(stream: TcpStream, buffered: Vec<u8>, client: Rc<ClientConnection>) -> Self {
        Self { stream, buffered, client }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if self.buffered.is_empty() {
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        } else {
            let fits = self.buffered.len().min(buf.remaining());
            buf.put_slice(&self.buffered[..fits]);
            self.buffered.drain(..fits);
        }
        self.client.on_bytes(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl ClientStream {
    fn on_written(&self, written: usize) {
        if let Some((since, before)) = self.client.answer.get() {
            self.client.answer.set(Some((since, before + written as u64)));
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.on_written(written);
        if faults::is_active(faults::Fault::AnswerTwice) && buf.starts_with(b"HTTP/1.1 200") {
            let _ = self.stream.try_write(buf);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.on_written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        !faults::is_active(faults::Fault::AnswerTwice) && self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once all that it holds has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.client.answer.take();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
