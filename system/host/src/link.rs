//! Frames on sockets. A [`Line`] carries words both ways; [`Peers`] keeps one line to each of several others and says nothing
//! on those that are down.
//!
//! Guards against machines without power and cuts: connections come up within [`CONNECT`] or not, and what is written and
//! not acknowledged within [`SILENCE`] ends its connection.

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
pub const CONNECT: Duration = Duration::from_millis(600);
/// Bytes that are not acknowledged for this long end their connection.
pub const SILENCE: Duration = Duration::from_millis(1500);
/// After a connection failed the next is tried after this.
const PAUSE: Duration = Duration::from_millis(120);
/// Frames that wait to be written on one line; beyond that its reader is as good as gone.
const MOST: usize = 4096;
/// Frames are joined into writes of about this size.
const JOINED: usize = 64 * 1024;

/// A connection ready for words.
pub async fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(to)).await??;
    ready(&stream)?;
    Ok(stream)
}

/// Sets a connection up for words.
pub fn ready(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // Where the system does not know this, the beats that go over each line show a dead one later.
    let _ = socket.set_tcp_user_timeout(Some(SILENCE));
    Ok(())
}

/// The reading end of a line.
pub struct Reader(BufReader<OwnedReadHalf>);

impl Reader {
    /// The next word; an error when the line is down or brings what is no word.
    pub async fn next<T: for<'a> bitcode::Decode<'a>>(&mut self) -> io::Result<T> {
        let mut head = [0; 4];
        self.0.read_exact(&mut head).await?;
        let unreadable = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        let length = frame_length(head).map_err(unreadable)?;
        // Grows with what comes: a length alone takes no memory.
        let mut body = Vec::with_capacity(length.min(JOINED));
        (&mut self.0).take(length as u64).read_to_end(&mut body).await?;
        if body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        decode_frame(&body).map_err(unreadable)
    }
}

/// The writing end of a line; more than [`MOST`] frames are not kept.
#[derive(Clone)]
pub struct Writer(mpsc::Sender<Rc<Vec<u8>>>);

impl Writer {
    /// Sends a word; false if the line is down or full.
    pub fn send<T: bitcode::Encode>(&self, word: &T) -> bool {
        self.0.try_send(Rc::new(encode_frame(word))).is_ok()
    }

    /// Sends a frame that goes to several.
    pub fn send_frame(&self, frame: &Rc<Vec<u8>>) -> bool {
        self.0.try_send(frame.clone()).is_ok()
    }
}

/// Both ends of a line. Writing goes on until the writer is dropped or the connection fails.
pub fn split(stream: TcpStream) -> (Reader, Writer) {
    let (input, output) = stream.into_split();
    let (sender, receiver) = mpsc::channel(MOST);
    spawn(write(output, receiver));
    (Reader(BufReader::new(input)), Writer(sender))
}

async fn write(mut output: OwnedWriteHalf, mut frames: mpsc::Receiver<Rc<Vec<u8>>>) {
    while let Some(bytes) = next_joined(&mut frames).await {
        if output.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _ = output.shutdown().await;
}

/// The next frames as one write.
async fn next_joined(frames: &mut mpsc::Receiver<Rc<Vec<u8>>>) -> Option<Vec<u8>> {
    let mut bytes = frames.recv().await?.to_vec();
    while bytes.len() < JOINED {
        let Ok(more) = frames.try_recv() else { break };
        bytes.extend_from_slice(&more);
    }
    Some(bytes)
}

/// Lines to several others, each made when there is something to say.
pub struct Peers {
    me: Host,
    port: u16,
    lines: RefCell<HashMap<Host, mpsc::Sender<Rc<Vec<u8>>>>>,
}

impl Peers {
    /// Lines from this machine to that port of others.
    pub fn new(me: Host, port: u16) -> Self {
        Self { me, port, lines: RefCell::default() }
    }

    /// Sends a word. It is lost if the line is down: whoever needs it sent for certain sends it again.
    pub fn send<T: bitcode::Encode>(&self, to: Host, word: &T) {
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MOST);
            let (me, at) = (self.me, SocketAddr::new(to.ip(), self.port));
            spawn(keep(me, at, receiver));
            sender
        });
        let _ = line.try_send(Rc::new(encode_frame(word)));
    }
}

/// Keeps a line: connects when there is something to say, and forgets what could not be said.
async fn keep(me: Host, to: SocketAddr, mut frames: mpsc::Receiver<Rc<Vec<u8>>>) {
    while let Some(first) = next_joined(&mut frames).await {
        let Ok(stream) = dial(to).await else {
            while frames.try_recv().is_ok() {}
            sleep(PAUSE).await;
            continue;
        };
        let (mut input, mut output) = stream.into_split();
        let mut bytes = encode_frame(&me);
        bytes.extend_from_slice(&first);
        let mut nothing = [0; 1];
        loop {
            if output.write_all(&bytes).await.is_err() {
                break;
            }
            tokio::select! {
                more = next_joined(&mut frames) => match more {
                    Some(more) => bytes = more,
                    None => return,
                },
                // The other side says nothing on this line: what ends here is the line.
                _ = input.read(&mut nothing) => break,
            }
        }
    }
}

/// Hears what others say on lines of [`Peers`], for as long as the program runs. Of lines from one machine only the newest is heard: what a
/// former life of its process said, or what was held up on a line that it has given up, is not taken after it.
pub fn hear<T: for<'a> bitcode::Decode<'a> + 'static>(
    listener: TcpListener, heard: impl Fn(Host, T) + 'static,
) {
    let heard = Rc::new(heard);
    let newest: Rc<RefCell<HashMap<Host, u64>>> = Rc::default();
    accept(listener, move |stream| {
        let (heard, newest) = (heard.clone(), newest.clone());
        async move {
            let (input, _output) = stream.into_split();
            let mut reader = Reader(BufReader::new(input));
            let Ok(from) = reader.next::<Host>().await else { return };
            let line = {
                let mut newest = newest.borrow_mut();
                let line = newest.entry(from).or_default();
                *line += 1;
                *line
            };
            loop {
                let word = reader.next::<T>().await;
                if newest.borrow().get(&from) != Some(&line) {
                    return;
                }
                match word {
                    Ok(word) => heard(from, word),
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
                    if ready(&stream).is_ok() {
                        spawn(serve(stream));
                    }
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    });
}
