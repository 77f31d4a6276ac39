//! Frames to and from peers: a connection for each direction, a bounded queue for each peer, and
//! length-delimited frames.

use crate::task::spawn;
use bytes::Bytes;
use fennelscale_fleet::rules::MOST_FRAME;
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum number of frames queued for a peer. More are dropped, as on a failed connection.
const MAX_QUEUED: usize = 256;
/// Maximum number of simultaneous outgoing connections.
const MAX_PEERS: usize = 1200;
/// Maximum number of simultaneous incoming connections.
pub const MAX_INCOMING: usize = 1200;
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for writing a frame to the socket, after which the connection is considered failed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a reconnect after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// An outgoing connection without frames to send is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// An incoming connection without frames is closed after this time.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

type Queues = Rc<RefCell<BTreeMap<String, (SocketAddr, mpsc::Sender<Bytes>)>>>;

/// Connections to peers.
pub struct Peers {
    address_overrides: BTreeMap<String, SocketAddr>,
    queues: Queues,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME).new_codec()
}

impl Peers {
    pub fn new(address_overrides: BTreeMap<String, SocketAddr>) -> Self {
        Self { address_overrides, queues: Queues::default() }
    }

    /// The address at which this gateway reaches a member.
    pub fn resolve(&self, name: &str, address: SocketAddr) -> SocketAddr {
        self.address_overrides.get(name).copied().unwrap_or(address)
    }

    /// Queues a frame to a peer; drops it if the queue is full or there are too many peers.
    pub fn send(&self, name: &str, address: SocketAddr, frame: Vec<u8>) {
        let address = self.resolve(name, address);
        let mut queues = self.queues.borrow_mut();
        if queues.get(name).is_some_and(|(at, _)| *at != address) {
            queues.remove(name);
        }
        if !queues.contains_key(name) {
            if queues.len() >= MAX_PEERS {
                return;
            }
            let (sender, frames) = mpsc::channel(MAX_QUEUED);
            queues.insert(name.to_owned(), (address, sender));
            spawn(write_frames(self.queues.clone(), name.to_owned(), address, frames));
        }
        if let Some((_, queue)) = queues.get(name) {
            let _ = queue.try_send(frame.into());
        }
    }
}

/// Writes the queued frames of a peer until there are none for a while.
async fn write_frames(queues: Queues, name: String, address: SocketAddr, mut frames: mpsc::Receiver<Bytes>) {
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, frames.recv()).await {
        if write_on_connection(address, first, &mut frames).await.is_none() {
            sleep(RECONNECT_DELAY).await;
            // The queued frames are outdated by now; their senders repeat them if needed.
            while frames.try_recv().is_ok() {}
        }
    }
    let mut queues = queues.borrow_mut();
    if queues.get(&name).is_some_and(|(at, _)| *at == address) {
        queues.remove(&name);
    }
}

async fn write_on_connection(
    address: SocketAddr, first: Bytes, frames: &mut mpsc::Receiver<Bytes>,
) -> Option<()> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut framed = Framed::new(stream, codec());
    timeout(WRITE_TIMEOUT, framed.send(first)).await.ok()?.ok()?;
    loop {
        tokio::select! {
            // Peers send nothing on this connection, so this resolves only when it is closed or fails.
            _ = framed.next() => return None,
            frame = timeout(IDLE_TIMEOUT, frames.recv()) => match frame {
                Ok(Some(frame)) => timeout(WRITE_TIMEOUT, framed.send(frame)).await.ok()?.ok()?,
                _ => return Some(()),
            },
        }
    }
}

/// Accepts connections forever: at most `max_open` at once, and only from admitted addresses.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener, max_open: usize, admits: impl Fn(SocketAddr) -> bool,
    serve: impl Fn(TcpStream) -> F,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if !admits(from) || open.get() >= max_open {
            continue;
        }
        open.set(open.get() + 1);
        let (served, open) = (serve(stream), open.clone());
        spawn(async move {
            served.await;
            open.set(open.get() - 1);
        });
    }
}

/// Reads frames until the connection ends, times out, or receives invalid data.
pub async fn read_frames(stream: TcpStream, mut handle: impl FnMut(&[u8])) {
    let mut framed = Framed::new(stream, codec());
    while let Ok(Some(Ok(frame))) = timeout(READ_TIMEOUT, framed.next()).await {
        handle(&frame);
        tokio::task::yield_now().await;
    }
}
