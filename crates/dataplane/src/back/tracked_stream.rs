//! The socket of a backend connection as the HTTP library uses it, and what is observed of the exchange on it: how far the
//! request is written, and what came back when.

use crate::lifecycle::Lifecycle;
use fennelscale_wire::reuse::ResponseFault;
use life::connection::{Connection, Event, Received, Written};
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The observed state of the current exchange.
pub(super) struct ExchangeState {
    pub(super) lifecycle: Lifecycle<Connection>,
    pub(super) answer_started: Notify,
    /// Bytes of requests written so far.
    pub(super) bytes_written: Cell<u64>,
    /// A write failed. Reading goes on, because the answer may have been received before.
    pub(super) write_failed: Cell<bool>,
    /// Why received bytes could not be an answer to the request in flight.
    pub(super) fault: Cell<Option<ResponseFault>>,
    /// When the request's last byte was written and how long after that the answer's first byte came, where
    /// answers are timed.
    pub(super) written_at: Cell<Option<Instant>>,
    pub(super) time_to_first_byte: Cell<Option<Duration>>,
}

impl ExchangeState {
    fn on_read(&self, bytes: &[u8]) {
        // Interim 1xx answers may come any time before the final one, but not before the request.
        let busy = matches!(
            self.lifecycle.state(),
            Connection::Busy { written: Written::Part | Written::Whole, .. }
        );
        let is_interim = busy && bytes.starts_with(b"HTTP/1.1 1") && bytes.ends_with(b"\r\n\r\n");
        if bytes.is_empty() {
            self.lifecycle.step(Event::Ended);
        } else if !is_interim {
            let before = self.lifecycle.state();
            self.lifecycle.step(Event::Heard);
            let may_be_answer = matches!(
                before,
                Connection::Busy { written: Written::Part | Written::Whole, .. }
                    | Connection::AnsweredEarly
                    | Connection::Ended
            );
            if !may_be_answer {
                self.record_fault(ResponseFault::Unsolicited);
            }
            if matches!(before, Connection::Busy { received: Received::Nothing, .. }) {
                self.time_to_first_byte.set(self.written_at.get().map(|written| written.elapsed()));
                self.answer_started.notify_one();
            }
        }
    }

    /// Records the first fault of this connection, which is not used after it.
    pub(super) fn record_fault(&self, fault: ResponseFault) {
        if self.fault.get().is_none() {
            self.fault.set(Some(fault));
        }
    }

    /// Whether bytes may be written now. The first bytes of a request may be written only while the socket
    /// has nothing to read and is not closed; this asks the kernel, since the state known to the event loop
    /// may be out of date. The rest of a request may be written behind the first bytes of its answer.
    fn may_write(&self, stream: &TcpStream) -> io::Result<()> {
        match self.lifecycle.state() {
            Connection::Busy { written: Written::Nothing, received: Received::Nothing } => match peek(stream)
            {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Ok(1..) => {
                    self.lifecycle.step(Event::Heard);
                    self.record_fault(ResponseFault::Unsolicited);
                }
                Ok(0) | Err(_) => self.lifecycle.step(Event::Ended),
            },
            Connection::Busy { written: Written::Part, .. } => return Ok(()),
            _ => {}
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

/// Asks the kernel whether a socket has a byte to read: 1 if so, 0 if the peer closed it.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// The socket as the HTTP library uses it; it tracks how much of the current request has been written.
pub(super) struct TrackedStream {
    pub(super) stream: Rc<TcpStream>,
    pub(super) exchange: Rc<ExchangeState>,
    /// Whether answers are timed.
    pub(super) timed: bool,
}

impl AsyncRead for TrackedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                // The failed write has taken the socket's error, so that an answer which was reset would seem to
                // end here.
                Ok(0) if self.exchange.write_failed.get() => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Ok(read) => {
                    buf.advance(read);
                    let filled = buf.filled();
                    self.exchange.on_read(&filled[filled.len() - read..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            self.exchange.may_write(&self.stream)?;
            match self.stream.try_write_vectored(bufs) {
                Ok(written) => {
                    if written > 0 {
                        self.exchange.lifecycle.step(Event::Wrote);
                        self.exchange.bytes_written.update(|before| before + written as u64);
                    }
                    return Poll::Ready(Ok(written));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // What was received before is read first; the end of the connection follows it and wakes the
                // reader.
                Err(_) if self.exchange.lifecycle.state().is_part_written() => {
                    self.exchange.write_failed.set(true);
                    return Poll::Pending;
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP library flushes once all its buffered data is written, and that includes the whole request,
    /// whose body is in memory.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ends_request = self.exchange.lifecycle.state().is_part_written();
        self.exchange.lifecycle.step(Event::Flushed);
        if ends_request && self.timed {
            self.exchange.written_at.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
