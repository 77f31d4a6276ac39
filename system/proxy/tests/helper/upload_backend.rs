//! A fake backend on raw sockets that begins to run an upload once it has read its head, and may answer or end the
//! connection before it has read the body.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Maximum size of a head.
const MAX_HEAD: usize = 16 * 1024;
/// How much of a body is read at a time.
const READ_SIZE: usize = 64 * 1024;

/// What a backend does before it has read the body of an upload.
#[derive(Clone, Debug)]
pub enum EarlyAction {
    /// Nothing: it reads the body and answers.
    None,
    /// It writes bytes, then goes on with what follows. `{id}` in them becomes the id of the request, `{instance}` that
    /// of the backend.
    Write(String, Box<EarlyAction>),
    /// It reads this much of the body, or all of it, then goes on with what follows.
    Read(usize, Box<EarlyAction>),
    /// It reads the rest of the body, writes bytes, and writes them once more when the next request has come on the
    /// connection.
    AnswerWithLateCopy(String),
    /// It does this on a connection that has carried a request before, and nothing early on a new one.
    OnKeptConnection(Box<EarlyAction>),
    /// It reads the rest of the body and writes nothing more.
    ReadRest,
    /// It stops reading and keeps the connection.
    Stall,
    /// It ends its sending, and reads on.
    HalfClose,
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
}

impl EarlyAction {
    /// Writes `text`, then reads the rest of the body.
    pub fn answer(text: &str) -> Self {
        Self::Write(text.to_owned(), Box::new(Self::ReadRest))
    }

    /// Writes `text`, then goes on with `next`.
    pub fn answer_then(text: &str, next: Self) -> Self {
        Self::Write(text.to_owned(), Box::new(next))
    }

    /// Reads `size` bytes of the body, then goes on with `next`.
    pub fn read_then(size: usize, next: Self) -> Self {
        Self::Read(size, Box::new(next))
    }
}

/// What a backend does with an upload, by its id.
type ActionChoice = Box<dyn FnMut(&str) -> EarlyAction>;

/// The head of a request.
struct Head {
    request_line: String,
    id: String,
    body_size: usize,
}

/// A fake backend for uploads.
pub struct UploadBackend {
    id: String,
    at: SocketAddr,
    choice: RefCell<ActionChoice>,
    arrivals: Cell<usize>,
    connections: Cell<usize>,
    complete_bodies: Cell<usize>,
}

impl UploadBackend {
    pub(super) fn start(id: &str, listener: TcpListener) -> Rc<Self> {
        let backend = Rc::new(Self {
            id: id.to_owned(),
            at: listener.local_addr().expect("an address"),
            choice: RefCell::new(Box::new(|_| EarlyAction::None)),
            arrivals: Cell::new(0),
            connections: Cell::new(0),
            complete_bodies: Cell::new(0),
        });
        spawn_local(accept(listener, backend.clone()));
        backend
    }

    /// The id of this backend.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The address of this backend.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Does this with every upload from now on.
    pub fn act(&self, action: EarlyAction) {
        self.choose(move |_| action.clone());
    }

    /// Does this with the next upload, and nothing early after it.
    pub fn act_once(&self, action: EarlyAction) {
        let mut next = Some(action);
        self.choose(move |_| next.take().unwrap_or(EarlyAction::None));
    }

    /// Chooses what to do with each upload by its id from now on.
    pub fn choose(&self, choice: impl FnMut(&str) -> EarlyAction + 'static) {
        *self.choice.borrow_mut() = Box::new(choice);
    }

    /// Number of requests whose head arrived.
    pub fn arrivals(&self) -> usize {
        self.arrivals.get()
    }

    /// Number of connections that carried a request.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Number of bodies that were read whole.
    pub fn complete_bodies(&self) -> usize {
        self.complete_bodies.get()
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut is_counted = false;
        let mut late_copy: Option<String> = None;
        loop {
            let (head, received) = read_head(&mut stream).await?;
            if let Some(copy) = late_copy.take() {
                stream.write_all(copy.as_bytes()).await?;
            }
            if head.request_line.starts_with("GET /health ") {
                let id = &self.id;
                let answer =
                    format!("HTTP/1.1 200 OK\r\nFennelscale-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            self.arrivals.set(self.arrivals.get() + 1);
            self.connections.set(self.connections.get() + usize::from(!is_counted));
            let is_kept = std::mem::replace(&mut is_counted, true);
            let action = match (self.choice.borrow_mut())(&head.id) {
                EarlyAction::OnKeptConnection(action) if is_kept => *action,
                EarlyAction::OnKeptConnection(_) => EarlyAction::None,
                action => action,
            };
            if !self.act_early(&mut stream, &head, received, action, &mut late_copy).await? {
                return Ok(());
            }
        }
    }

    /// Handles one upload of which `received` bytes of the body were read. Returns whether the connection can carry
    /// another request.
    async fn act_early(
        &self, stream: &mut TcpStream, head: &Head, mut received: usize, mut action: EarlyAction,
        late_copy: &mut Option<String>,
    ) -> io::Result<bool> {
        loop {
            match action {
                EarlyAction::None => {
                    self.read_body(stream, head, received).await?;
                    stream
                        .write_all(signed_answer("200 OK", "kept\n").replace("{id}", &head.id).as_bytes())
                        .await?;
                    return Ok(true);
                }
                EarlyAction::Write(text, next) => {
                    stream.write_all(self.fill_in(&text, head).as_bytes()).await?;
                    action = *next;
                }
                EarlyAction::AnswerWithLateCopy(text) => {
                    self.read_body(stream, head, received).await?;
                    let text = self.fill_in(&text, head);
                    stream.write_all(text.as_bytes()).await?;
                    *late_copy = Some(text);
                    return Ok(true);
                }
                EarlyAction::Read(size, next) => {
                    received = read_until(stream, received, size.min(head.body_size)).await?;
                    action = *next;
                }
                EarlyAction::OnKeptConnection(next) => action = *next,
                EarlyAction::ReadRest => {
                    self.read_body(stream, head, received).await?;
                    return Ok(true);
                }
                EarlyAction::Stall => std::future::pending().await,
                EarlyAction::HalfClose => {
                    stream.shutdown().await?;
                    self.read_body(stream, head, received).await?;
                    return Ok(false);
                }
                EarlyAction::Close => return Ok(false),
                EarlyAction::Reset => {
                    stream.set_zero_linger()?;
                    return Ok(false);
                }
            }
        }
    }

    /// A text with the ids of a request and of this backend.
    fn fill_in(&self, text: &str, head: &Head) -> String {
        text.replace("{id}", &head.id).replace("{instance}", &self.id)
    }

    async fn read_body(&self, stream: &mut TcpStream, head: &Head, received: usize) -> io::Result<()> {
        read_until(stream, received, head.body_size).await?;
        self.complete_bodies.set(self.complete_bodies.get() + 1);
        Ok(())
    }
}

/// A whole answer to the request with the id `{id}`, as a backend that ran it gives it.
pub fn signed_answer(status: &str, body: &str) -> String {
    answer(status, "Fennelscale-Request-Id: {id}\r\nFennelscale-Response-Signature: signed\r\n", body)
}

/// A whole answer with these headers and a length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

async fn accept(listener: TcpListener, backend: Rc<UploadBackend>) {
    while let Ok((stream, _)) = listener.accept().await {
        let backend = backend.clone();
        spawn_local(async move { backend.serve(stream).await });
    }
}

/// Reads a head, and returns it with the number of bytes of the body that were read with it.
async fn read_head(stream: &mut TcpStream) -> io::Result<(Head, usize)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if bytes.len() > MAX_HEAD || stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let value = |name: &str| {
        let header = text.lines().filter_map(|line| line.split_once(": "));
        header.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned()).next()
    };
    let head = Head {
        request_line: text.lines().next().unwrap_or_default().to_owned(),
        id: value("fennelscale-request-id").unwrap_or_default(),
        body_size: value("content-length").and_then(|length| length.parse().ok()).unwrap_or(0),
    };
    Ok((head, bytes.len() - end - 4))
}

/// Reads until at least `size` bytes of a body were read; returns how many were.
async fn read_until(stream: &mut TcpStream, mut received: usize, size: usize) -> io::Result<usize> {
    let mut buffer = vec![0; READ_SIZE];
    while received < size {
        match stream.read(&mut buffer).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => received += read,
        }
    }
    Ok(received)
}
