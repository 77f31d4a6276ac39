//! Just enough HTTP/1.1 for clients, backends, the platform and the operator: one message at a time, bodies with a
//! stated length, in chunks, or (of answers) up to the end of the connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Names in lower case, with their values as bytes.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header as text.
    pub fn header(&self, name: &str) -> Option<String> {
        let value = self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value);
        value.map(|value| String::from_utf8_lossy(value).into_owned())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn method_and_target(&self) -> (String, String) {
        let mut words = self.start.split(' ').map(str::to_owned);
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

fn line(input: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    input.read_until(b'\n', &mut bytes)?;
    if bytes.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    Ok(bytes)
}

/// Reads a message; an error if the connection ends before it does.
pub fn read(input: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Message> {
    let start = String::from_utf8_lossy(&line(input)?).into_owned();
    let mut message = Message { start, ..Message::default() };
    loop {
        let bytes = line(input)?;
        if bytes.is_empty() {
            break;
        }
        let at = bytes.iter().position(|byte| *byte == b':').ok_or(io::ErrorKind::InvalidData)?;
        let name = String::from_utf8_lossy(&bytes[..at]).to_ascii_lowercase();
        let value = bytes[at + 1..].trim_ascii().to_vec();
        message.headers.push((name, value));
    }
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = String::from_utf8_lossy(&line(input)?).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let from = message.body.len();
            message.body.resize(from + size, 0);
            input.read_exact(&mut message.body[from..])?;
            line(input)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    match message.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            message.body.resize(length, 0);
            input.read_exact(&mut message.body)?;
        }
        None if is_answer && message.status() != 204 => {
            input.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(message)
}

/// Writes a request with its body.
pub fn write_request(
    output: &mut impl Write, method: &str, target: &str, headers: &[(&str, &[u8])], body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    if !body.is_empty() || method != "GET" {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}

/// Sends one request on a new connection and waits for its answer.
pub fn exchange(
    to: SocketAddr, method: &str, target: &str, headers: &[(&str, &[u8])], body: &[u8], wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    write_request(&mut stream, method, target, headers, body)?;
    read(&mut BufReader::new(stream), true)
}
