//! The operators' control interface of a gateway: one line of JSON each way on a loopback connection.

use super::{Fleet, peers};
use fennelscale_fleet::state::Settled;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Maximum length of a line in bytes: content of 256 KiB, each byte of which takes at most six in JSON.
const MAX_LINE: u64 = 2 << 20;
/// Time limit for receiving a complete line.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of simultaneous connections.
const MAX_CONNECTIONS: usize = 16;

/// A request of an operator.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, tag = "deed")]
pub enum Deed {
    /// The state as this gateway sees it.
    Status,
    /// The current version of a topic.
    Topic {
        /// The topic's name.
        topic: String,
    },
    /// Proposes the next version of a topic.
    Publish {
        /// The topic's name.
        topic: String,
        /// The preceding version; 0 for a new topic.
        follows: u64,
        /// The content.
        content: String,
    },
    /// Replaces a keeper by a gateway that is not one.
    ReplaceKeeper {
        /// The keeper's name.
        old: String,
        /// The name of the gateway that replaces it.
        new: String,
    },
}

/// The reply to a request.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The state as this gateway sees it.
    Status(Box<fennelscale_fleet::node::Status>),
    /// A topic's version, 0 for none, and its content.
    Topic {
        /// The version.
        version: u64,
        /// The content.
        content: Option<String>,
    },
    /// The outcome of a proposal; None if it is settled but the outcome is not known here.
    Settled(Option<Settled>),
    /// Not settled yet; this may still happen.
    UnderWay,
    /// The request was carried out.
    Done,
    /// The request was rejected, with the reason.
    Refused(String),
}

/// Serves operators' requests.
pub async fn serve(listener: TcpListener, fleet: Rc<Fleet>) {
    // The listener is on loopback, so every client is on this machine.
    let admit_all = |_| true;
    peers::accept(listener, MAX_CONNECTIONS, admit_all, move |stream| {
        let fleet = fleet.clone();
        async move { drop(answer(stream, &fleet).await) }
    })
    .await;
}

async fn answer(stream: TcpStream, fleet: &Fleet) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    let read = timeout(LINE_TIMEOUT, (&mut stream).take(MAX_LINE).read_line(&mut line)).await;
    let reply = match read {
        Ok(Ok(_)) if line.ends_with('\n') => match serde_json::from_str(&line) {
            Ok(deed) => fleet.execute(deed).await,
            Err(error) => Reply::Refused(format!("not a deed: {error}")),
        },
        _ => Reply::Refused(format!("one line of JSON is needed, within 5 s and {MAX_LINE} bytes")),
    };
    let mut text = serde_json::to_string(&reply)?;
    text.push('\n');
    stream.get_mut().write_all(text.as_bytes()).await
}
