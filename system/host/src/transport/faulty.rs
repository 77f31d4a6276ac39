//! Links between machines that can be cut, narrow, slow or lossy, in one direction or both, for tests of real
//! processes on loopback addresses.
//!
//! A file that the test rewrites names the faulty directions, one in each line: the sender's address, the
//! receiver's, and `cut`, `narrow BYTES_PER_S`, `slow MS` or `lossy PERCENT`. What a sender may not send waits
//! here. As on a link without a reset, a connection across a cut just gets no bytes: nobody is told that it has
//! ended, and a sender without acknowledgements gives up after [`USER_TIMEOUT`].

use crate::link::USER_TIMEOUT;
use fennelscale_time::from_millis;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

#[cfg(not(debug_assertions))]
compile_error!("the feature link-faults breaks links on purpose and cannot be built for release");

/// Names the file of faulty directions.
pub const LINK_FAULTS_VARIABLE: &str = "FENNELSCALE_LINK_FAULTS";
/// The address of this machine, from which it connects.
pub const LINK_ADDRESS_VARIABLE: &str = "FENNELSCALE_LINK_ADDRESS";

/// The file is read again after this.
const REREAD_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that are sent at a time.
const SEGMENT: usize = 4096;
/// A lost segment is sent again after this.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(250);

/// What is wrong with one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Direction {
    is_cut: bool,
    bytes_per_s: Option<f64>,
    delay: Duration,
    loss_percent: u64,
}

/// The faulty directions by sender and receiver.
type Faults = HashMap<(IpAddr, IpAddr), Direction>;

fn parse(text: &str) -> Faults {
    let mut faults = Faults::new();
    for line in text.lines() {
        let mut words = line.split_whitespace();
        let address = |word: Option<&str>| word.and_then(|word| word.parse::<IpAddr>().ok());
        let (Some(from), Some(to)) = (address(words.next()), address(words.next())) else { continue };
        let direction = faults.entry((from, to)).or_default();
        let (kind, figure) = (words.next(), words.next().and_then(|word| word.parse::<u64>().ok()));
        match (kind, figure) {
            (Some("cut"), _) => direction.is_cut = true,
            (Some("narrow"), Some(bytes)) => direction.bytes_per_s = Some(bytes.max(1) as f64),
            (Some("slow"), Some(ms)) => direction.delay = Duration::from_millis(ms),
            (Some("lossy"), Some(percent)) => direction.loss_percent = percent,
            _ => {}
        }
    }
    faults
}

thread_local! {
    static FAULTS: RefCell<(Option<Instant>, Faults)> = RefCell::default();
}

/// The state of a direction now.
fn direction(from: IpAddr, to: IpAddr) -> Direction {
    FAULTS.with_borrow_mut(|(read_at, faults)| {
        if read_at.is_none_or(|at| at.elapsed() > REREAD_INTERVAL) {
            let text =
                std::env::var_os(LINK_FAULTS_VARIABLE).and_then(|file| std::fs::read_to_string(file).ok());
            *faults = parse(&text.unwrap_or_default());
            *read_at = Some(Instant::now());
        }
        faults.get(&(from, to)).copied().unwrap_or_default()
    })
}

fn local_address() -> Option<IpAddr> {
    std::env::var(LINK_ADDRESS_VARIABLE).ok()?.parse().ok()
}

/// Connects from the address of this machine, once packets pass in both directions.
pub(crate) async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let Some(from) = local_address() else { return TcpStream::connect(to).await };
    while direction(from, to.ip()).is_cut || direction(to.ip(), from).is_cut {
        sleep(REREAD_INTERVAL).await;
    }
    sleep(direction(from, to.ip()).delay + direction(to.ip(), from).delay).await;
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

/// The sending half of a connection.
pub(crate) struct Output {
    /// None once the connection was given up across a cut.
    output: Option<OwnedWriteHalf>,
    from: IpAddr,
    to: IpAddr,
    /// Since when acknowledgements do not arrive.
    unacknowledged_since: Option<Instant>,
    segments: u64,
}

impl Output {
    pub(crate) fn new(output: OwnedWriteHalf) -> Self {
        let unknown = IpAddr::from([0, 0, 0, 0]);
        let from = output.local_addr().map_or(unknown, |address| address.ip());
        let to = output.peer_addr().map_or(unknown, |address| address.ip());
        Self { output: Some(output), from, to, unacknowledged_since: None, segments: 0 }
    }

    /// Writes all bytes as the link lets them through.
    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        sleep(direction(self.from, self.to).delay).await;
        for segment in bytes.chunks(SEGMENT) {
            self.wait_for_link(segment.len()).await?;
            let Some(output) = &mut self.output else { return Err(io::ErrorKind::TimedOut.into()) };
            output.write_all(segment).await?;
        }
        Ok(())
    }

    async fn wait_for_link(&mut self, bytes: usize) -> io::Result<()> {
        loop {
            let (forth, back) = (direction(self.from, self.to), direction(self.to, self.from));
            if !forth.is_cut && !back.is_cut {
                self.unacknowledged_since = None;
            } else if self.unacknowledged_since.get_or_insert_with(Instant::now).elapsed() > USER_TIMEOUT {
                self.abandon();
                return Err(io::ErrorKind::TimedOut.into());
            }
            if forth.is_cut {
                sleep(REREAD_INTERVAL).await;
                continue;
            }
            self.segments += 1;
            let is_lost = fennelscale_messages::mix(self.segments) % 100 < forth.loss_percent;
            let lost = if is_lost { RETRANSMIT_DELAY } else { Duration::ZERO };
            let narrow = forth.bytes_per_s.map_or(0.0, |rate| bytes as f64 / rate * 1000.0);
            sleep(lost + from_millis(narrow)).await;
            return Ok(());
        }
    }

    /// Gives the connection up without a word to the peer: its socket stays open.
    fn abandon(&mut self) {
        if let Some(output) = self.output.take() {
            std::mem::forget(output);
        }
    }

    /// Tells the peer that nothing more is sent, if it can be reached.
    pub(crate) async fn shutdown(&mut self) {
        if direction(self.from, self.to).is_cut {
            return self.abandon();
        }
        if let Some(output) = &mut self.output {
            let _ = output.shutdown().await;
        }
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        if direction(self.from, self.to).is_cut {
            self.abandon();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_direction_has_all_faults_of_its_lines() {
        let faults = parse(
            "127.0.0.1 127.0.0.2 cut\n127.0.0.1 127.0.0.2 slow 40\n127.0.0.2 127.0.0.1 narrow 5000\nnothing",
        );
        let address = |last: u8| IpAddr::from([127, 0, 0, last]);
        let forth = faults[&(address(1), address(2))];
        assert!(forth.is_cut && forth.delay == Duration::from_millis(40));
        let back = faults[&(address(2), address(1))];
        assert_eq!(back, Direction { bytes_per_s: Some(5000.0), ..Direction::default() });
        assert_eq!(faults.len(), 2);
    }
}
