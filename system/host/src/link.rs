//! Frames on sockets. A [`Line`] carries words both ways; [`Peers`] keeps one connection to each of several others and says unused
//! on those that are down.
//!
//! Guards against machines without power and cuts: connections come up within [`CONNECT_TIMEOUT`] or not, and what is written and
//! not acknowledged within [`USER_TIMEOUT`] ends its connection.

use crate::spawn;
use fennelscale_messages::{Host, decode_frame, encode_frame, frame_length};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// A connection comes up within this: two ways there and back between the farthest regions, and some.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Bytes that are not acknowledged for this long end their connection.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// After a connection failed the next is tried after this.
const RECONNECT_DELAY: Duration = Duration::from_millis(120);
/// Frames that wait to be written on one connection; beyond that its reader is as good as gone.
const MAX_QUEUED_FRAMES: usize = 4096;
/// Frames are joined into writes of about this size.
const WRITE_SIZE: usize = 64 * 1024;

/// A connection ready for words.
pub async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await??;
    configure(&stream)?;
    Ok(stream)
}

/// Sets a connection up for words.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // Where the system does not know this, the beats that go over each connection show a dead one later.
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    Ok(())
}

/// The reading end of a connection.
pub struct Reader(BufReader<OwnedReadHalf>);

impl Reader {
    /// The next message; an error when the connection is down or brings what is no message.
    pub async fn next<T: for<'a> bitcode::Decode<'a>>(&mut self) -> io::Result<T> {
        let mut head = [0; 4];
        self.0.read_exact(&mut head).await?;
        let unreadable = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        let length = frame_length(head).map_err(unreadable)?;
        // Grows with what comes: a length alone takes no memory.
        let mut body = Vec::with_capacity(length.min(WRITE_SIZE));
        (&mut self.0).take(length as u64).read_to_end(&mut body).await?;
        if body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        decode_frame(&body).map_err(unreadable)
    }
}

/// The writing end of a connection; more than [`MAX_QUEUED_FRAMES`] frames are not kept.
#[derive(Clone)]
pub struct Writer(mpsc::Sender<Rc<Vec<u8>>>);

impl Writer {
    /// Sends a message; false if the connection is down or full.
    pub fn send<T: bitcode::Encode>(&self, message: &T) -> bool {
        self.0.try_send(Rc::new(encode_frame(message))).is_ok()
    }

    /// Sends a frame that goes to several.
    pub fn send_frame(&self, frame: &Rc<Vec<u8>>) -> bool {
        self.0.try_send(frame.clone()).is_ok()
    }
}

/// Both ends of a connection. Writing goes on until the writer is dropped or the connection fails.
pub fn split(stream: TcpStream) -> (Reader, Writer) {
    let (input, output) = stream.into_split();
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    spawn(write(output, receiver));
    (Reader(BufReader::new(input)), Writer(sender))
}

async fn write(mut output: OwnedWriteHalf, mut frames: mpsc::Receiver<Rc<Vec<u8>>>) {
    while let Some(bytes) = next_batch(&mut frames).await {
        if output.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _ = output.shutdown().await;
}

/// The next frames as one write.
async fn next_batch(frames: &mut mpsc::Receiver<Rc<Vec<u8>>>) -> Option<Vec<u8>> {
    let mut bytes = frames.recv().await?.to_vec();
    while bytes.len() < WRITE_SIZE {
        let Ok(more) = frames.try_recv() else { break };
        bytes.extend_from_slice(&more);
    }
    Some(bytes)
}

/// Lines to several others, each made when there is something to say.
pub struct Peers {
    me: Host,
    port: u16,
    connections: RefCell<HashMap<Host, mpsc::Sender<Rc<Vec<u8>>>>>,
}

impl Peers {
    /// Lines from this machine to that port of others.
    pub fn new(me: Host, port: u16) -> Self {
        Self { me, port, connections: RefCell::default() }
    }

    /// Sends a message. It is lost if the connection is down: whoever needs it sent for certain sends it again.
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

/// Keeps a connection: connects when there is something to say, and forgets what could not be said.
async fn run_connection(me: Host, to: SocketAddr, mut frames: mpsc::Receiver<Rc<Vec<u8>>>) {
    while let Some(first) = next_batch(&mut frames).await {
        let Ok(stream) = connect(to).await else {
            while frames.try_recv().is_ok() {}
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        let (mut input, mut output) = stream.into_split();
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
                // The other side says unused on this connection: what ends here is the connection.
                _ = input.read(&mut unused) => break,
            }
        }
    }
}

/// Hears what others say on connections of [`Peers`], for as long as the program runs. Of connections from one machine only the newest is on_message: what a
/// former life of its process said, or what was held up on a connection that it has given up, is not taken after it.
pub fn receive<T: for<'a> bitcode::Decode<'a> + 'static>(
    listener: TcpListener, on_message: impl Fn(Host, T) + 'static,
) {
    let on_message = Rc::new(on_message);
    let newest: Rc<RefCell<HashMap<Host, u64>>> = Rc::default();
    accept(listener, move |stream| {
        let (on_message, newest) = (on_message.clone(), newest.clone());
        async move {
            let (input, _output) = stream.into_split();
            let mut reader = Reader(BufReader::new(input));
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

/// Takes connections for as long as the program runs.
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
