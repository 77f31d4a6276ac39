//! The sockets of the operating system, as they are.

use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

/// Connects to an address.
pub(crate) async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect(to).await
}

/// The sending half of a connection.
pub(crate) struct Output(OwnedWriteHalf);

impl Output {
    pub(crate) fn new(output: OwnedWriteHalf) -> Self {
        Self(output)
    }

    /// Writes all bytes.
    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes).await
    }

    /// Tells the peer that nothing more is sent.
    pub(crate) async fn shutdown(&mut self) {
        // A failed connection has nobody to tell.
        let _ = self.0.shutdown().await;
    }
}
