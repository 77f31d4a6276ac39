//! Framed messages over TCP. [`split`] gives the two halves of a bidirectional connection; [`Peers`] keeps
//! one outgoing connection to each of several hosts and drops messages for those that are down.
//!
//! Two timeouts guard against powered-off hosts and network partitions: [`CONNECT_TIMEOUT`] for connecting,
//! and [`USER_TIMEOUT`] for data that is written but not acknowledged.

use crate::spawn;
use crate::transport::{self, Output};
use fennelscale_messages::{Host, decode_frame, encode_frame, frame_length};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, BufReader, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Time limit for connecting: two round trips between the most distant regions, and a margin.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// A connection is closed when data stays unacknowledged for this long.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before reconnecting after a failed attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(120);
/// Frames queued for one connection; if more are waiting, the receiver is treated as gone.
const MAX_QUEUED_FRAMES: usize = 4096;
/// Queued frames are combined into writes of about this size.
const WRITE_SIZE: usize = 64 * 1024;

/// Connects and configures the socket for messages.
pub async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, transport::connect(to)).await??;
    configure(&stream)?;
    Ok(stream)
}

/// Configures a socket for messages.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // On systems without this option, missing heartbeats reveal a dead connection, only later.
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    Ok(())
}

/// When bytes were last received on a connection, or when it was opened.
#[derive(Clone, Debug)]
pub struct Activity(Rc<Cell<Instant>>);

impl Activity {
    fn started_now() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    /// The time since bytes were last received. A message that takes long to arrive counts with each of its
    /// bytes.
    pub fn idle_time(&self) -> Duration {
        self.0.get().elapsed()
    }
}

/// A stream that records when bytes were received.
struct ActiveStream {
    input: OwnedReadHalf,
    activity: Activity,
}

impl AsyncRead for ActiveStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.input).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.activity.0.set(Instant::now());
        }
        result
    }
}

/// The receiving half of a connection.
pub struct Reader(BufReader<ActiveStream>);

impl Reader {
    fn new(input: OwnedReadHalf) -> Self {
        Self(BufReader::new(ActiveStream { input, activity: Activity::started_now() }))
    }

    /// When bytes were last received.
    pub fn activity(&self) -> Activity {
        self.0.get_ref().activity.clone()
    }

    /// Receives the next message; an error if the connection is down or the data cannot be decoded.
    pub async fn next<T: for<'a> bitcode::Decode<'a>>(&mut self) -> io::Result<T> {
        let mut head = [0; 4];
        self.0.read_exact(&mut head).await?;
        let unreadable = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        let length = frame_length(head).map_err(unreadable)?;
        // The buffer grows with the received data, so that a length prefix alone allocates little.
        let mut body = Vec::with_capacity(length.min(WRITE_SIZE));
        (&mut self.0).take(length as u64).read_to_end(&mut body).await?;
        if body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        decode_frame(&body).map_err(unreadable)
    }
}

/// The sending half of a connection; it queues at most [`MAX_QUEUED_FRAMES`] frames.
#[derive(Clone)]
pub struct Writer(mpsc::Sender<Rc<Vec<u8>>>);

impl Writer {
    /// Queues a message; false if the connection is down or its queue is full.
    pub fn send<T: bitcode::Encode>(&self, message: &T) -> bool {
        self.0.try_send(Rc::new(encode_frame(message))).is_ok()
    }

    /// Queues an encoded frame, which can be shared between connections.
    pub fn send_frame(&self, frame: &Rc<Vec<u8>>) -> bool {
        self.0.try_send(frame.clone()).is_ok()
    }
}

/// Splits a connection into its halves. Queued frames are written until the writer is dropped or the
/// connection fails.
pub fn split(stream: TcpStream) -> (Reader, Writer) {
    let (reader, writer, write) = split_with_write_task(stream);
    spawn(write);
    (reader, writer)
}

/// As [`split`], but the caller polls the future that writes the queued frames, so that they do not wait behind
/// the other tasks of the thread. It completes when the connection fails or the writer is dropped.
pub fn split_with_write_task(stream: TcpStream) -> (Reader, Writer, impl Future<Output = ()>) {
    let (input, output) = stream.into_split();
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    (Reader::new(input), Writer(sender), write(Output::new(output), receiver))
}

async fn write(mut output: Output, mut frames: mpsc::Receiver<Rc<Vec<u8>>>) {
    while let Some(bytes) = next_batch(&mut frames).await {
        if output.write_all(&bytes).await.is_err() {
            return;
        }
    }
    output.shutdown().await;
}

/// Combines the next queued frames into one write.
async fn next_batch(frames: &mut mpsc::Receiver<Rc<Vec<u8>>>) -> Option<Vec<u8>> {
    let mut bytes = frames.recv().await?.to_vec();
    while bytes.len() < WRITE_SIZE {
        let Ok(more) = frames.try_recv() else { break };
        bytes.extend_from_slice(&more);
    }
    Some(bytes)
}

/// Outgoing connections to several hosts, each opened when there is something to send.
pub struct Peers {
    me: Host,
    port: u16,
    connections: RefCell<HashMap<Host, mpsc::Sender<Rc<Vec<u8>>>>>,
}

impl Peers {
    /// Prepares connections from this host to the given port of others.
    pub fn new(me: Host, port: u16) -> Self {
        Self { me, port, connections: RefCell::default() }
    }

    /// Sends a message. It is lost if the connection is down; callers that need delivery must retry.
    pub fn send<T: bitcode::Encode>(&self, to: Host, message: &T) {
        let mut connections = self.connections.borrow_mut();
        let connection = connections.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
            let (me, at) = (self.me, SocketAddr::new(to.ip(), self.port));
            spawn(run_connection(me, at, receiver));
            sender
        });
        let _ = connection.try_send(Rc::new(encode_frame(message)));
    }
}

/// Maintains a connection: connects when there is something to send, and drops queued frames if that fails.
async fn run_connection(me: Host, to: SocketAddr, mut frames: mpsc::Receiver<Rc<Vec<u8>>>) {
    while let Some(first) = next_batch(&mut frames).await {
        let Ok(stream) = connect(to).await else {
            while frames.try_recv().is_ok() {}
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        let (mut input, output) = stream.into_split();
        let mut output = Output::new(output);
        let mut bytes = encode_frame(&me);
        bytes.extend_from_slice(&first);
        let mut unused = [0; 1];
        loop {
            if output.write_all(&bytes).await.is_err() {
                break;
            }
            tokio::select! {
                more = next_batch(&mut frames) => match more {
                    Some(more) => bytes = more,
                    None => return,
                },
                // The peer sends nothing on this connection, so that a completed read means that it has
                // ended.
                _ = input.read(&mut unused) => break,
            }
        }
    }
}

/// Receives messages from the [`Peers`] of other hosts until the program ends. Only the newest connection of
/// each host counts: messages of an earlier incarnation of its process, or delayed on an abandoned
/// connection, are ignored.
pub fn receive<T: for<'a> bitcode::Decode<'a> + 'static>(
    listener: TcpListener, on_message: impl Fn(Host, T) + 'static,
) {
    let on_message = Rc::new(on_message);
    let newest: Rc<RefCell<HashMap<Host, u64>>> = Rc::default();
    accept(listener, move |stream| {
        let (on_message, newest) = (on_message.clone(), newest.clone());
        async move {
            let (input, _output) = stream.into_split();
            let mut reader = Reader::new(input);
            let Ok(from) = reader.next::<Host>().await else { return };
            let connection = {
                let mut newest = newest.borrow_mut();
                let connection = newest.entry(from).or_default();
                *connection += 1;
                *connection
            };
            loop {
                let message = reader.next::<T>().await;
                if newest.borrow().get(&from) != Some(&connection) {
                    return;
                }
                match message {
                    Ok(message) => on_message(from, message),
                    Err(error) => {
                        if error.kind() == io::ErrorKind::InvalidData {
                            tracing::warn!(event = "bad-word", from = %from, error = %error);
                        }
                        return;
                    }
                }
            }
        }
    });
}

/// Accepts connections until the program ends.
pub fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener, serve: impl Fn(TcpStream) -> F + 'static,
) {
    spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if configure(&stream).is_ok() {
                        spawn(serve(stream));
                    }
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    });
}
