//! Connections that keep others out: from ever new addresses, silent, half-way through a head, or with nothing of worth to ask.

use super::kit::Kit;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Addresses of floods are apart from those of runs: 127.128.0.0 and up.
const FIRST: u8 = 128;
/// A connection of a flood is kept for this long, in ms, if it is not closed before ...
const KEPT: f64 = 3000.0;
/// ... and of each flood no more than so many.
const MOST: usize = 1000;
/// One that does not come up within this is given up: the gateway's machine has no place for it.
const CONNECT: Duration = Duration::from_millis(200);

async fn open(from: Ipv4Addr, to: SocketAddr, said: &[u8]) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((from, 0)))?;
    let mut stream = tokio::time::timeout(CONNECT, socket.connect(to)).await??;
    stream.write_all(said).await?;
    Ok(stream)
}

/// Opens connections at a rate until a time of the run.
pub(super) async fn flood(kit: Rc<Kit>, number: u8, to: SocketAddr, rate: f64, end: f64) {
    let (mut kept, begin) = (VecDeque::new(), kit.now());
    for n in 0_u32.. {
        let due = begin + f64::from(n) * 1000.0 / rate;
        if due >= end {
            break;
        }
        kit.pause(due - kit.now()).await;
        let from = Ipv4Addr::new(127, FIRST + number, (n / 250) as u8, (n % 250) as u8 + 1);
        let said: &[u8] = match n % 3 {
            0 => b"",
            1 => b"GET /preview HTTP/1.1\r\nX-Slow: y",
            _ => b"GET /up HTTP/1.1\r\nHost: rehearsal\r\n\r\n",
        };
        // Refused, reset or without a place: as floods are.
        if let Ok(stream) = open(from, to, said).await {
            kept.push_back((kit.now(), stream));
        }
        while kept.front().is_some_and(|(since, _)| kit.now() - since >= KEPT) || kept.len() > MOST {
            kept.pop_front();
        }
    }
}
