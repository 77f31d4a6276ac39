//! An HTTP/1.1 client connection. It makes progress only while its caller polls it, sends nothing twice, and
//! is closed when it is dropped.

use crate::back::connection_history::ConnectionIdentity;
use crate::back::tracked_stream::{ExchangeState, TrackedStream, peek};
use crate::lifecycle::Lifecycle;
use bytes::Bytes;
use fennelscale_memory::ledger::MemoryLedger;
use fennelscale_memory::read::{ReadError, read_when_free};
use fennelscale_wire::reuse::ResponseFault;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use life::connection::{Connection, Event, Received, Written};
use std::cell::Cell;
use std::future::{Future, pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

pub use life::connection::Progress;

/// Maximum size of an answer's head. Bounds the memory that an endless head can take.
const MAX_HEAD: usize = 16 * 1024;

/// An answer waits for memory at most so long in all, in which other clients may take theirs. It has that much longer to
/// end: the backend is not to blame for the wait.
const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Marks the head of an answer for whose body there was no memory. Its request was executed, and its backend is not
/// to blame.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyDiscarded;

/// `EMFILE` and `ENFILE`, which have the same values on every Unix.
const DESCRIPTOR_SHORTAGE: [i32; 2] = [24, 23];

/// Whether a call failed because no file descriptor was available.
pub fn is_descriptor_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| DESCRIPTOR_SHORTAGE.contains(&code))
}

/// An HTTP/1.1 connection to a server.
pub struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// None once the connection has ended.
    driver: Driver,
    stream: Rc<TcpStream>,
    exchange: Rc<ExchangeState>,
    identity: ConnectionIdentity,
    /// The memory that answers are charged to.
    memory: Arc<MemoryLedger>,
}

impl HttpConnection {
    /// Connects. If answers are `timed`, [`Self::time_to_first_byte`] returns the time of each.
    ///
    /// # Errors
    /// When the connection is not established in time.
    pub async fn connect(to: SocketAddr, timeout: Duration, timed: bool) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        let exchange = Rc::new(ExchangeState {
            lifecycle: Lifecycle::new(Connection::Dialling),
            answer_started: Notify::new(),
            bytes_written: Cell::default(),
            write_failed: Cell::default(),
            fault: Cell::default(),
            written_at: Cell::default(),
            time_to_first_byte: Cell::default(),
        });
        let stream = Rc::new(stream);
        let tracked =
            TokioIo::new(TrackedStream { stream: stream.clone(), exchange: exchange.clone(), timed });
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(tracked);
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        exchange.lifecycle.step(Event::Connected);
        Ok(Self {
            sender,
            driver: Some(Box::pin(driver)),
            stream,
            exchange,
            identity: ConnectionIdentity::default(),
            memory: MemoryLedger::unbounded(),
        })
    }

    /// The same connection with its answers charged to `memory`.
    #[must_use]
    pub fn with_memory(self, memory: Arc<MemoryLedger>) -> Self {
        Self { memory, ..self }
    }

    /// What tells this connection from others.
    pub(super) fn identity(&self) -> &ConnectionIdentity {
        &self.identity
    }

    /// Whether the idle connection is free as far as the event loop knows. The socket is checked again before
    /// the first byte of a request is written.
    pub fn appears_idle(&self) -> bool {
        self.exchange.lifecycle.state() == Connection::Free && self.driver.is_some()
    }

    /// Whether the idle connection is still open. Asks the socket, since the state known to the event loop
    /// may be out of date. Received bytes that belong to no request are recorded as a fault.
    pub fn is_alive(&self) -> bool {
        let peeked = peek(&self.stream);
        if matches!(peeked, Ok(1..)) {
            self.exchange.record_fault(ResponseFault::Unsolicited);
        }
        self.appears_idle() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Why received bytes belong to no request, if there were any.
    pub fn fault(&self) -> Option<ResponseFault> {
        self.exchange.fault.get()
    }

    /// The time from the last byte of the last request to the first byte of its answer, if answers are timed.
    pub fn time_to_first_byte(&self) -> Option<Duration> {
        self.exchange.time_to_first_byte.get()
    }

    /// Whether the last answer, whole or in part, began before the last byte of its request was written. The
    /// caller decides by what the answer names whether it belongs to the request. The connection is never
    /// free again.
    pub fn is_answered_early(&self) -> bool {
        self.exchange.lifecycle.state().is_answered_early()
    }

    /// Sends a request and waits for the complete answer. Its body may have at most `max_body` bytes; while there
    /// is no memory for it, the backend is not read from, and if there is none in time, the head is marked with
    /// [`BodyDiscarded`] and the connection cannot be used again. An
    /// answer that begins after the request's last byte must end within `rest` after its own first byte:
    /// nothing else would end the wait for an answer shorter than its stated length. A request whose last byte
    /// is not written at `write_by` is abandoned.
    ///
    /// A backend may answer before it has read the request. The rest of the request is written behind a
    /// success, for as long as the backend takes some of it within each `rest`; behind any other answer it is
    /// not, as RFC 9112, section 9.5 allows, and the connection is to be dropped.
    ///
    /// # Errors
    /// When the connection fails first or the answer cannot be read; the error tells how far the
    /// request got.
    pub async fn exchange(
        &mut self, request: Request<Full<Bytes>>, max_body: usize, rest: Duration, write_by: Option<Instant>,
    ) -> Result<(response::Parts, Bytes), Progress> {
        // Bytes may have been received, or the connection closed, since it was chosen.
        if self.exchange.lifecycle.state() != Connection::Free {
            return Err(Progress::Unsent);
        }
        self.exchange.lifecycle.step(Event::Begin);
        self.exchange.written_at.set(None);
        self.exchange.time_to_first_byte.set(None);
        // Discards a notification about an earlier answer.
        let _ = pin!(self.exchange.answer_started.notified()).as_mut().enable();
        let (driver, exchange, memory) = (&mut self.driver, &self.exchange, &self.memory);
        let sent = self.sender.send_request(request);
        let waits_for_memory = Cell::new(false);
        let answer = drive(driver, async {
            let (mut head, body) = sent.await.map_err(|_| ())?.into_parts();
            let body = match read_when_free(body, max_body, memory, MEMORY_WAIT, &waits_for_memory).await {
                Ok(body) => body,
                Err(ReadError::NoMemory(_)) => {
                    head.extensions.insert(BodyDiscarded);
                    Bytes::new()
                }
                Err(ReadError::TooLong | ReadError::Broken(_)) => return Err(()),
            };
            Ok((head, body))
        });
        let late = async {
            exchange.answer_started.notified().await;
            if exchange.lifecycle.state().is_answered_early() {
                // Its end may have to wait for the rest of the request.
                return pending().await;
            }
            // Bytes received before the request's first byte are no answer to wait for.
            if matches!(exchange.lifecycle.state(), Connection::Busy { written: Written::Whole, .. }) {
                sleep(rest).await;
                if waits_for_memory.get() {
                    sleep(MEMORY_WAIT).await;
                }
            }
        };
        let unwritten = async {
            let Some(by) = write_by else { return pending().await };
            sleep_until(by).await;
            if !matches!(
                exchange.lifecycle.state(),
                Connection::Busy { written: Written::Nothing | Written::Part, received: Received::Nothing }
            ) {
                pending::<()>().await;
            }
        };
        let end = tokio::select! {
            biased;
            answer = answer => answer,
            () = late => Err(()),
            () = unwritten => Err(()),
        };
        self.complete(end, rest).await
    }

    /// Ends an exchange with its answer, if there is one.
    async fn complete(
        &mut self, end: Result<(response::Parts, Bytes), ()>, rest: Duration,
    ) -> Result<(response::Parts, Bytes), Progress> {
        let Ok(answer) = end else { return Err(self.exchange.lifecycle.state().progress()) };
        if matches!(
            self.exchange.lifecycle.state(),
            Connection::Busy { written: Written::Part | Written::Whole, received: Received::Nothing }
        ) {
            // The final answer came together with an interim one.
            self.exchange.lifecycle.step(Event::Heard);
        }
        if answer.0.status.is_success() {
            self.write_rest(rest).await;
        }
        match self.exchange.lifecycle.state() {
            Connection::Busy { written: Written::Part | Written::Whole, .. } => {
                self.exchange.lifecycle.step(Event::Whole);
                Ok(answer)
            }
            // An answer to a request of which nothing was written is not an answer to this request.
            now => Err(now.progress()),
        }
    }

    /// Writes the rest of a request whose answer is complete, until it is written, the connection ends, or
    /// the backend has taken nothing of it for `stall`.
    async fn write_rest(&mut self, stall: Duration) {
        let (driver, exchange) = (&mut self.driver, &self.exchange);
        loop {
            let before = exchange.bytes_written.get();
            let written = poll_fn(|cx| {
                poll_driver(driver, cx);
                let pending = driver.is_some()
                    && exchange.lifecycle.state().is_part_written()
                    && !exchange.write_failed.get();
                if pending { Poll::Pending } else { Poll::Ready(()) }
            });
            let ended = tokio::time::timeout(stall, written).await.is_ok();
            if ended || exchange.bytes_written.get() == before {
                return;
            }
        }
    }

    /// Whether the connection can carry another request now.
    pub async fn is_free(&mut self) -> bool {
        let (driver, sender) = (&mut self.driver, &mut self.sender);
        let ready = poll_fn(|cx| {
            poll_driver(driver, cx);
            Poll::Ready(matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))
        })
        .await
            && self.driver.is_some();
        if ready && self.exchange.lifecycle.state() == Connection::Answered {
            self.exchange.lifecycle.step(Event::Quiet);
        }
        ready && self.exchange.lifecycle.state() == Connection::Free
    }
}

type Driver = Option<Pin<Box<http1::Connection<TokioIo<TrackedStream>, Full<Bytes>>>>>;

fn poll_driver(driver: &mut Driver, cx: &mut Context<'_>) {
    if driver.as_mut().is_some_and(|d| d.as_mut().poll(cx).is_ready()) {
        *driver = None;
    }
}

/// Waits for a future that depends on the connection, and drives the connection meanwhile.
async fn drive<T>(driver: &mut Driver, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    poll_fn(|cx| {
        poll_driver(driver, cx);
        future.as_mut().poll(cx)
    })
    .await
}
