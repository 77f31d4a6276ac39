//! One HTTP/1.1 connection to a server. Whoever uses it drives it: it does nothing by itself, sends nothing
//! twice, and is closed for certain the moment it is dropped.

use crate::observe::Life;
use bytes::Bytes;
use fennelscale_wire::reuse::ResponseFault;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use life::connection::{Connection, Event, Written};
use std::cell::Cell;
use std::future::{Future, pending, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

pub use life::connection::Progress;

/// The longest head of an answer. Guards the memory against heads that don't end.
const LONGEST_HEAD: usize = 16 * 1024;

/// `EMFILE` and `ENFILE`, of every Unix.
const NO_DESCRIPTOR: [i32; 2] = [24, 23];

/// Whether a call failed because no descriptor was to be had.
pub fn is_descriptor_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| NO_DESCRIPTOR.contains(&code))
}

/// What the socket has seen of the present exchange.
struct Trace {
    life: Life<Connection>,
    begins: Notify,
    /// Bytes came that were no answer to what was out then, and why so.
    fault: Cell<Option<ResponseFault>>,
    /// When the request's last byte was written and how long after it the first of an answer came, where answers are timed.
    written: Cell<Option<Instant>>,
    heard: Cell<Option<Duration>>,
}

impl Trace {
    fn note_read(&self, bytes: &[u8]) {
        // Answers 1xx go ahead of the real one, by as long as they like, but not ahead of the request.
        let busy =
            matches!(self.life.now(), Connection::Busy { written: Written::Part | Written::Whole, .. });
        let ahead = busy && bytes.starts_with(b"HTTP/1.1 1") && bytes.ends_with(b"\r\n\r\n");
        if bytes.is_empty() {
            self.life.step(Event::Ended);
        } else if !ahead {
            let before = self.life.now();
            self.life.step(Event::Heard);
            let fault = match before {
                Connection::Busy { written: Written::Whole, .. } | Connection::Ended => None,
                Connection::Busy { written: Written::Part, .. } => Some(ResponseFault::Early),
                _ => Some(ResponseFault::Unsolicited),
            };
            if let Some(fault) = fault {
                self.blame(fault);
            }
            if matches!(before, Connection::Busy { heard: false, .. }) {
                self.heard.set(self.written.get().map(|written| written.elapsed()));
                self.begins.notify_one();
            }
        }
    }

    /// Notes the first fault of this connection; it carries nothing more.
    fn blame(&self, fault: ResponseFault) {
        if self.fault.get().is_none() {
            self.fault.set(Some(fault));
        }
    }

    /// Whether bytes may be written now. The first ones of a request only while the socket has nothing to read and has not
    /// been ended, by the kernel's newest word: what the event loop has heard may be old. Nothing behind bytes that
    /// came ahead of the request's last one.
    fn may_write(&self, stream: &TcpStream) -> io::Result<()> {
        match self.life.now() {
            Connection::Busy { written: Written::Nothing, heard: false } => match peek(stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Ok(1..) => {
                    self.life.step(Event::Heard);
                    self.blame(ResponseFault::Unsolicited);
                }
                Ok(0) | Err(_) => self.life.step(Event::Ended),
            },
            Connection::Busy { heard: false, .. } => return Ok(()),
            _ => {}
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

/// Whether a socket has something to read, by the kernel's newest word: how many bytes, of one; 0 where it has been ended.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// The socket as the HTTP library sees it; it notes how far the present request has been written.
struct Wire {
    stream: Rc<TcpStream>,
    trace: Rc<Trace>,
    /// Whether the writing of last bytes is timed.
    timed: bool,
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    let filled = buf.filled();
                    self.trace.note_read(&filled[filled.len() - read..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            self.trace.may_write(&self.stream)?;
            match self.stream.try_write_vectored(bufs) {
                Ok(written) => {
                    if written > 0 {
                        self.trace.life.step(Event::Wrote);
                    }
                    return Poll::Ready(Ok(written));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP library flushes once all that it holds has been written, and it holds whole requests: their
    /// bodies are in memory.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let begun =
            matches!(self.trace.life.now(), Connection::Busy { written: Written::Part, heard: false });
        self.trace.life.step(Event::Flushed);
        if begun && self.timed {
            self.trace.written.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// One connection.
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Gone once it has ended.
    driver: Driver,
    stream: Rc<TcpStream>,
    trace: Rc<Trace>,
}

impl Link {
    /// Connects. Where answers are `timed`, [`Self::first_byte_after`] tells how long each took.
    ///
    /// # Errors
    /// When no connection comes up in time.
    pub async fn connect(to: SocketAddr, timeout: Duration, timed: bool) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        let trace = Rc::new(Trace {
            life: Life::new(Connection::Dialling),
            begins: Notify::new(),
            fault: Cell::default(),
            written: Cell::default(),
            heard: Cell::default(),
        });
        let stream = Rc::new(stream);
        let wire = TokioIo::new(Wire { stream: stream.clone(), trace: trace.clone(), timed });
        let handshake = http1::Builder::new().max_buf_size(LONGEST_HEAD).handshake(wire);
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        trace.life.step(Event::Connected);
        Ok(Self { sender, driver: Some(Box::pin(driver)), stream, trace })
    }

    /// Whether the idle connection is free, by what was heard of it so far. The socket is asked once more before the first
    /// byte of a request is written to it.
    pub fn is_up(&self) -> bool {
        self.trace.life.now() == Connection::Free && self.driver.is_some()
    }

    /// Whether the idle connection still stands, by the kernel's newest word: asks the socket itself, since
    /// what the event loop has heard so far may be old. Data that nobody asked for is a fault too.
    pub fn stands(&self) -> bool {
        let peeked = peek(&self.stream);
        if matches!(peeked, Ok(1..)) {
            self.trace.blame(ResponseFault::Unsolicited);
        }
        self.is_up() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Why bytes that came on it were nobody's, if any were.
    pub fn fault(&self) -> Option<ResponseFault> {
        self.trace.fault.get()
    }

    /// How long after the last request's last byte the first byte of its answer came, where answers are timed.
    pub fn first_byte_after(&self) -> Option<Duration> {
        self.trace.heard.get()
    }

    /// Sends a request and waits for the whole answer, its body no larger than `most`, its end no later than
    /// `rest` after its first byte. Guards against answers that are said to be longer than they are: nothing
    /// else would end the wait. A request whose last byte is not written at `write_by` is given up: dropping the link then
    /// is sure to keep it from running.
    ///
    /// # Errors
    /// When the connection fails first or the answer cannot be read; says how far the request got.
    pub async fn exchange(
        &mut self, request: Request<Full<Bytes>>, most: usize, rest: Duration, write_by: Option<Instant>,
    ) -> Result<(response::Parts, Bytes), Progress> {
        // Guards against connections on which something came or ended meanwhile.
        if self.trace.life.now() != Connection::Free {
            return Err(Progress::Unsent);
        }
        self.trace.life.step(Event::Begin);
        self.trace.written.set(None);
        self.trace.heard.set(None);
        // A word from before is of an answer from before.
        let _ = pin!(self.trace.begins.notified()).as_mut().enable();
        let (driver, trace) = (&mut self.driver, &self.trace);
        let sent = self.sender.send_request(request);
        let answer = drive(driver, async {
            let (head, body) = sent.await.map_err(|_| ())?.into_parts();
            let body = Limited::new(body, most).collect().await.map_err(|_| ())?;
            Ok((head, body.to_bytes()))
        });
        let late = async {
            trace.begins.notified().await;
            // Bytes ahead of the request's last one are no answer that could be waited for.
            if matches!(trace.life.now(), Connection::Busy { written: Written::Whole, .. }) {
                sleep(rest).await;
            }
        };
        let unwritten = async {
            let Some(by) = write_by else { return pending().await };
            sleep_until(by).await;
            if !matches!(
                trace.life.now(),
                Connection::Busy { written: Written::Nothing | Written::Part, heard: false }
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
        let life = &trace.life;
        if end.is_ok() && matches!(life.now(), Connection::Busy { heard: false, .. }) {
            // It came together with what goes ahead of it.
            life.step(Event::Heard);
        }
        match (end, life.now()) {
            (Ok(answer), Connection::Busy { written: Written::Whole, .. }) => {
                life.step(Event::Whole);
                Ok(answer)
            }
            // An answer to what was not written whole is none to this request.
            (_, now) => Err(now.progress()),
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
        if ready && self.trace.life.now() == Connection::Answered {
            self.trace.life.step(Event::Quiet);
        }
        ready && self.trace.life.now() == Connection::Free
    }
}

type Driver = Option<Pin<Box<http1::Connection<TokioIo<Wire>, Full<Bytes>>>>>;

fn poll_driver(driver: &mut Driver, cx: &mut Context<'_>) {
    if driver.as_mut().is_some_and(|d| d.as_mut().poll(cx).is_ready()) {
        *driver = None;
    }
}

/// Waits for what the connection brings, and moves the connection's bytes meanwhile.
async fn drive<T>(driver: &mut Driver, wanted: impl Future<Output = T>) -> T {
    let mut wanted = pin!(wanted);
    poll_fn(|cx| {
        poll_driver(driver, cx);
        wanted.as_mut().poll(cx)
    })
    .await
}
