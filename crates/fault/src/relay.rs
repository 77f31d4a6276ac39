//! One link between two processes, one way: connections and datagrams that one opens or sends to the other.

use crate::script::Link;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Datagrams that a stalled link holds; a real one does not hold more either.
const MOST_HELD: usize = 64;
/// Bytes carried at once.
const CHUNK: usize = 16 << 10;

/// A link, one way.
pub struct Relay {
    at: SocketAddr,
    target: Rc<Cell<Option<SocketAddr>>>,
    link: watch::Sender<Link>,
}

impl Relay {
    /// Listens at an address of the machine's choice, for connections and datagrams alike. It leads nowhere yet.
    ///
    /// # Errors
    /// When the machine has no address.
    pub async fn start() -> io::Result<Self> {
        let (listener, datagrams) = both().await?;
        let at = listener.local_addr()?;
        let target = Rc::new(Cell::new(None));
        let (link, watched) = watch::channel(Link::Pass);
        spawn_local(connections(listener, target.clone(), watched.clone()));
        spawn_local(carry_datagrams(datagrams, target.clone(), watched));
        Ok(Self { at, target, link })
    }

    /// Where it listens.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Where it leads from now on.
    pub fn lead_to(&self, target: Option<SocketAddr>) {
        self.target.set(target);
    }

    /// How it treats what goes over it from now on.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// How it treats what goes over it.
    pub fn link(&self) -> Link {
        *self.link.borrow()
    }
}

/// A listener and a socket for datagrams under one number.
async fn both() -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::other("no port is free for both");
    for _ in 0..16 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn connections(
    listener: TcpListener, target: Rc<Cell<Option<SocketAddr>>>, link: watch::Receiver<Link>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let (target, link) = (target.get(), link.clone());
        spawn_local(async move {
            if *link.borrow() == Link::Drop {
                return lead_nowhere(near, link).await;
            }
            let Some(target) = target else { return };
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let mut back = link.clone();
            tokio::select! {
                () = carry(near_read, far_write, link) => {}
                // What comes back carries no frames; it ends with the connection.
                () = carry_back(far_read, near_write) => {}
                // All that is on the way is lost with the connection.
                _ = back.wait_for(|link| *link == Link::Drop) => {}
            }
        });
    }
}

/// Takes what comes and loses it until the link is another one.
async fn lead_nowhere(mut near: TcpStream, mut link: watch::Receiver<Link>) {
    let mut bytes = [0; 1024];
    loop {
        tokio::select! {
            read = near.read(&mut bytes) => if !read.is_ok_and(|read| read > 0) { return },
            _ = link.wait_for(|link| *link != Link::Drop) => return,
        }
    }
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut link: watch::Receiver<Link>) {
    let mut bytes = vec![0; CHUNK];
    let mut passed = 0_u64;
    loop {
        let Ok(read) = from.read(&mut bytes).await else { return };
        if read == 0 {
            return;
        }
        let came = Instant::now();
        if link.wait_for(|link| *link != Link::Stall).await.is_err() {
            return;
        }
        let mut pass = read;
        let now = *link.borrow();
        match now {
            Link::Drop => return,
            Link::Slow(late) => sleep_until(came + Duration::from_millis(late)).await,
            Link::Cut(most) => {
                let left = usize::try_from(most.saturating_sub(passed)).unwrap_or(usize::MAX);
                pass = read.min(left);
            }
            Link::Pass | Link::Stall => {}
        }
        let Some(part) = bytes.get(..pass) else { return };
        if to.write_all(part).await.is_err() || pass < read {
            return;
        }
        passed = if matches!(now, Link::Cut(_)) { passed + pass as u64 } else { 0 };
    }
}

async fn carry_back(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut bytes = [0; 1024];
    while let Ok(read) = from.read(&mut bytes).await {
        let part = bytes.get(..read).unwrap_or_default();
        if part.is_empty() || to.write_all(part).await.is_err() {
            return;
        }
    }
}

async fn carry_datagrams(
    from: UdpSocket, target: Rc<Cell<Option<SocketAddr>>>, mut link: watch::Receiver<Link>,
) {
    let Ok(to) = UdpSocket::bind("127.0.0.1:0").await else { return };
    let to = Rc::new(to);
    let (mut bytes, mut held) = ([0; 2048], Vec::new());
    loop {
        tokio::select! {
            came = from.recv_from(&mut bytes) => {
                // That an earlier one met nobody is told here, and means nothing.
                let Ok((length, _)) = came else { continue };
                let datagram = bytes.get(..length).unwrap_or_default().to_vec();
                let now = *link.borrow();
                match now {
                    Link::Pass | Link::Cut(_) => pass_on(&to, &target, &datagram),
                    Link::Drop => {}
                    Link::Stall => if held.len() < MOST_HELD { held.push(datagram) },
                    Link::Slow(late) => {
                        let (to, target) = (to.clone(), target.clone());
                        let at = Instant::now() + Duration::from_millis(late);
                        spawn_local(async move {
                            sleep_until(at).await;
                            pass_on(&to, &target, &datagram);
                        });
                    }
                }
            }
            changed = link.changed() => {
                if changed.is_err() {
                    return;
                }
                if *link.borrow() != Link::Stall {
                    for datagram in held.drain(..) {
                        pass_on(&to, &target, &datagram);
                    }
                }
            }
        }
    }
}

fn pass_on(to: &UdpSocket, target: &Cell<Option<SocketAddr>>, datagram: &[u8]) {
    if let Some(target) = target.get() {
        let _ = to.try_send_to(datagram, target);
    }
}
