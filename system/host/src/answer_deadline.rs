//! A socket that ends the connection of a peer that does not take its answer in time.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A socket with a time limit from the first write that has to wait until everything is written. However little a peer
/// takes each time, the limit stays.
pub struct AnswerDeadline {
    stream: TcpStream,
    limit: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl AnswerDeadline {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, limit: Duration) -> Self {
        Self { stream, limit, waiting: None }
    }

    /// Bounds a write that has to wait.
    fn bound<T>(&mut self, context: &mut Context<'_>, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if written.is_ready() {
            return written;
        }
        let limit = self.limit;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(limit)));
        waiting.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for AnswerDeadline {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for AnswerDeadline {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.bound(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.bound(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once everything is written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.waiting = None;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    const LIMIT: Duration = Duration::from_millis(200);
    /// More than the buffers of a connection hold.
    const LONG: usize = 32 << 20;

    #[test]
    fn a_peer_that_takes_a_byte_now_and_then_does_not_extend_the_limit() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
            let mut peer =
                TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connects");
            let (stream, _) = listener.accept().await.expect("accepts");
            let mut answering = AnswerDeadline::new(stream, LIMIT);
            let reading = async {
                while peer.read_u8().await.is_ok() {
                    sleep(LIMIT / 20).await;
                }
            };
            let answer = vec![b'x'; LONG];
            tokio::select! {
                written = answering.write_all(&answer) => {
                    assert_eq!(written.map_err(|error| error.kind()), Err(io::ErrorKind::TimedOut));
                }
                () = reading => panic!("the connection ended"),
            }
        });
    }
}
