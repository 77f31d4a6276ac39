//! HTTP/1.1 on one connection, as little as stand-ins need: whole messages with `Content-Length`, and the moment of the
//! first byte of each. The HTTP library below parses heads; it is used bare because stand-ins cut and spoil messages
//! at given bytes, which a whole client or server would hide.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest head and body that are read.
const LONGEST_HEAD: usize = 16 * 1024;
const LONGEST_BODY: usize = 1 << 20;
const MOST_HEADERS: usize = 64;

/// One message.
#[derive(Debug)]
pub(super) struct Message {
    /// The method, or nothing.
    pub(super) method: String,
    /// The target, or nothing.
    pub(super) target: String,
    /// The status, or 0.
    pub(super) status: u16,
    headers: Vec<(String, String)>,
    /// The body.
    pub(super) body: Vec<u8>,
}

impl Message {
    /// The first header of a name, in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Whether the sender closes after it.
    pub(super) fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Why there is no message.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum NoMessage {
    /// The connection ended; so many bytes of a message had come.
    Ended(usize),
    /// It can't be read.
    Malformed,
}

/// A connection and what has come on it.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    /// Whether bytes wait that no message has taken.
    pub(super) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Waits for the first byte of the next message. Nothing is lost if the wait is given up.
    pub(super) async fn begins(&mut self) -> Result<(), NoMessage> {
        while self.input.is_empty() {
            self.fill().await?;
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), NoMessage> {
        match self.stream.read_buf(&mut self.input).await {
            Ok(read) if read > 0 => Ok(()),
            _ => Err(NoMessage::Ended(self.input.len())),
        }
    }

    /// Reads a message. Nothing is lost if the wait is given up.
    pub(super) async fn read(&mut self, response: bool) -> Result<Message, NoMessage> {
        loop {
            if let Some((head, mut message, body)) = parse(&self.input, response)? {
                if self.input.len() >= head + body {
                    message.body = self.input[head..head + body].to_vec();
                    self.input.drain(..head + body);
                    return Ok(message);
                }
            } else if self.input.len() > LONGEST_HEAD {
                return Err(NoMessage::Malformed);
            }
            self.fill().await?;
        }
    }

    pub(super) async fn write(&mut self, text: &[u8]) -> io::Result<()> {
        self.stream.write_all(text).await
    }

    /// Waits until the other side ends the connection or sends something that nobody asked for.
    pub(super) async fn ends(&mut self) {
        let _ = self.fill().await;
    }

    /// What an idle connection says: still there, ended, or bytes that belong to nothing.
    pub(super) fn idle_state(&mut self) -> Idle {
        if self.has_input() {
            return Idle::Stray;
        }
        match self.stream.try_read(&mut [0; 256]) {
            Ok(0) => Idle::Ended,
            Ok(_) => Idle::Stray,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Idle::Stands,
            Err(_) => Idle::Ended,
        }
    }

    /// Ends the connection with a reset.
    pub(super) fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// What an idle connection says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Idle {
    Stands,
    Ended,
    Stray,
}

/// Head length, message and body length, once the head is whole.
fn parse(input: &[u8], response: bool) -> Result<Option<(usize, Message, usize)>, NoMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let (mut method, mut target, mut status) = (String::new(), String::new(), 0);
    let (parsed, headers) = if response {
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(input).map_err(|_| NoMessage::Malformed)?;
        status = head.code.unwrap_or(0);
        (parsed, head.headers)
    } else {
        let mut head = httparse::Request::new(&mut headers);
        let parsed = head.parse(input).map_err(|_| NoMessage::Malformed)?;
        (method, target) = (head.method.unwrap_or("").to_owned(), head.path.unwrap_or("").to_owned());
        (parsed, head.headers)
    };
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let headers: Vec<_> =
        headers.iter().map(|h| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned())).collect();
    let message = Message { method, target, status, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        return Err(NoMessage::Malformed);
    }
    let body = match message.header("content-length").map(str::parse) {
        None => 0,
        Some(Ok(length)) if length <= LONGEST_BODY => length,
        Some(_) => return Err(NoMessage::Malformed),
    };
    Ok(Some((length, message, body)))
}

/// A 200 answer.
pub(super) fn ok(body: &str) -> String {
    answer("200 OK", "", body)
}

/// An answer with further header lines, each with its end.
pub(super) fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
