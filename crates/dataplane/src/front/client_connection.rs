//! A client's connection: its socket as the HTTP library uses it, the state of its current request, and its
//! deadlines.

use crate::faults;
use crate::lifecycle::Lifecycle;
use fennelscale_admission::admission::Admission;
use fennelscale_admission::slow_clients::{Activity, SlowClientLimits};
use fennelscale_admission::{ConnectionId, Time};
use fennelscale_memory::ledger::{FREE_SIZE, MemoryLedger, NoMemory, Reservation};
use fennelscale_time::Later;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use life::inbound::{Event, Inbound};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Size of a read buffer, which holds one request's headers.
pub const READ_BUFFER_SIZE: usize = 16 * 1024;
/// Memory of a connection that has received more than the free part of a request: the buffers of the HTTP library, and
/// the head.
const GROWN_BUFFERS_SIZE: usize = 48 * 1024;
/// The end of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// A connection whose activity has no deadline, such as an open request, is checked again after this time.
const OPEN_REQUEST_CHECK: Duration = Duration::from_secs(2);

/// The admission module with its clock.
pub struct AdmissionControl {
    admission: RefCell<Admission>,
    start: Instant,
    pace: Cell<SlowClientLimits>,
}

impl AdmissionControl {
    /// Creates the admission control with a clock that starts now.
    pub fn new(admission: Admission, pace: SlowClientLimits) -> Rc<Self> {
        Rc::new(Self { admission: RefCell::new(admission), start: Instant::now(), pace: Cell::new(pace) })
    }

    /// Changes how long connections may be idle.
    pub fn set_idle_timeout(&self, idle_timeout: Duration) {
        self.pace.update(|pace| pace.with_idle_timeout(idle_timeout));
    }

    /// The time since the start.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, at: Time) -> Instant {
        self.start.later_by(at)
    }

    /// Runs an operation on the admission module at the current time.
    pub fn with<T>(&self, operation: impl FnOnce(&mut Admission, Time) -> T) -> T {
        operation(&mut self.admission.borrow_mut(), self.now())
    }
}

/// A client's connection.
pub struct ClientConnection {
    /// The id of the connection in the admission module.
    pub id: ConnectionId,
    /// The protocol state.
    pub lifecycle: Lifecycle<Inbound>,
    /// Notified when the connection shall be closed.
    pub close_requested: Notify,
    admission: Rc<AdmissionControl>,
    /// When the connection was admitted, last answered, or began its current request.
    since: Cell<Time>,
    /// Bytes received since then, up to the end of a head.
    head: RefCell<Vec<u8>>,
    /// When the head was complete, and the number of bytes received after it.
    body: Cell<Option<(Time, u64)>>,
    /// When the answer that is being written was ready, and the number of its bytes written so far.
    answer: Cell<Option<(Time, u64)>>,
    /// The memory of buffers that have grown. The HTTP library keeps them until the connection ends.
    buffer_memory: RefCell<Option<Reservation>>,
    /// The deadline that the timer is set for.
    timer_deadline: Cell<Time>,
    deadline_changed: Notify,
}

impl ClientConnection {
    /// Creates the state of a connection that was just admitted.
    pub fn new(id: ConnectionId, admission: &Rc<AdmissionControl>) -> Rc<Self> {
        Rc::new(Self {
            id,
            lifecycle: Lifecycle::new(Inbound::accepted()),
            close_requested: Notify::new(),
            since: Cell::new(admission.now()),
            head: RefCell::default(),
            body: Cell::default(),
            answer: Cell::default(),
            buffer_memory: RefCell::default(),
            timer_deadline: Cell::new(Time::MAX),
            deadline_changed: Notify::new(),
            admission: admission.clone(),
        })
    }

    /// Whether a completely received request has no answer yet.
    pub fn has_open_request(&self) -> bool {
        self.lifecycle.state() == Inbound::Open
    }

    fn activity(&self) -> Activity {
        match (self.lifecycle.state(), self.answer.get(), self.body.get()) {
            (Inbound::Open, _, _) => Activity::Processing,
            (Inbound::Reading { .. }, _, Some((since, bytes))) => Activity::ReadingBody { since, bytes },
            (Inbound::Reading { .. }, _, None) => Activity::ReadingHead,
            (_, Some((since, bytes)), _) => Activity::WritingResponse { since, bytes },
            _ => Activity::Idle,
        }
    }

    fn deadline(&self) -> Time {
        self.admission
            .pace
            .get()
            .deadline(self.activity(), self.since.get())
            .unwrap_or_else(|| self.admission.now() + OPEN_REQUEST_CHECK)
    }

    /// Resolves when the deadline of the connection's current activity has passed.
    pub async fn deadline_passed(&self) {
        loop {
            let deadline = self.deadline();
            if self.admission.now() >= deadline {
                return;
            }
            self.timer_deadline.set(deadline);
            tokio::select! {
                () = sleep_until(self.admission.instant(deadline)) => {}
                () = self.deadline_changed.notified() => {}
            }
        }
    }

    /// Wakes the timer because the limits have changed.
    pub fn limits_changed(&self) {
        self.deadline_changed.notify_one();
    }

    /// Wakes the timer if the current activity has an earlier deadline than the previous one.
    fn update_timer(&self) {
        if self.deadline() < self.timer_deadline.get() {
            self.deadline_changed.notify_one();
        }
    }

    /// Handles received bytes.
    fn on_bytes(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let began = matches!(self.lifecycle.state(), Inbound::Quiet { .. });
        if self.lifecycle.state() == (Inbound::Quiet { answered: true }) {
            self.admission.with(|admission, now| {
                self.since.set(now);
                admission.on_request_begin(now, self.id);
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
            self.update_timer();
        }
    }

    /// Whether the connection has had a large head or body.
    pub fn has_grown_buffers(&self) -> bool {
        self.buffer_memory.borrow().is_some()
    }

    /// Charges the buffers of a connection whose head or body has become large.
    fn charge_buffers(&self, memory: &Arc<MemoryLedger>) -> Result<(), NoMemory> {
        let body_length = self.body.get().map_or(0, |(_, length)| length);
        let is_small = self.head.borrow().len() <= FREE_SIZE && body_length <= FREE_SIZE as u64;
        if is_small || self.has_grown_buffers() {
            return Ok(());
        }
        let mut reservation = memory.reservation();
        reservation.resize(GROWN_BUFFERS_SIZE)?;
        *self.buffer_memory.borrow_mut() = Some(reservation);
        Ok(())
    }

    /// Records that a request was received completely.
    pub fn request_received(&self) {
        self.lifecycle.step(Event::Taken);
        self.admission.with(|admission, _| admission.on_request(self.id));
    }

    /// Records that an answer is ready. `value_share` is the value of a served request relative to the most
    /// valuable one.
    pub fn response_ready(&self, value_share: Option<f64>) {
        self.lifecycle.step(if self.has_open_request() { Event::Answered } else { Event::TurnedAway });
        self.head.take();
        self.body.take();
        self.admission.with(|admission, now| {
            self.since.set(now);
            self.answer.set(Some((now, 0)));
            admission.on_response(now, self.id, value_share);
        });
        self.update_timer();
    }

    /// Whether a head with a `Transfer-Encoding` has no `Content-Length`. The HTTP library drops a length
    /// that follows the encoding, so the received bytes are searched; they must be those of this head.
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

/// A client's socket as the HTTP library uses it.
pub struct ClientStream {
    stream: TcpStream,
    /// Bytes that were read already, after a PROXY protocol header.
    buffered: Vec<u8>,
    client: Rc<ClientConnection>,
    /// The memory that buffers are charged to.
    memory: Arc<MemoryLedger>,
}

impl ClientStream {
    /// Wraps a socket from which some bytes were read already.
    pub fn new(stream: TcpStream, buffered: Vec<u8>, client: Rc<ClientConnection>) -> Self {
        Self { stream, buffered, client, memory: MemoryLedger::unbounded() }
    }

    /// The same with buffers that grow charged to `memory`. Without memory for them the connection ends.
    #[must_use]
    pub fn with_memory(self, memory: Arc<MemoryLedger>) -> Self {
        Self { memory, ..self }
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
        Poll::Ready(self.client.charge_buffers(&self.memory).map_err(|_| io::ErrorKind::OutOfMemory.into()))
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

    /// The HTTP library flushes once all its buffered data is written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.client.answer.take();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
