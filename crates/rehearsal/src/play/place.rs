//! Where a service listens, and how it moves: the old place takes nothing new and soon closes what it has.

use super::kit::Kit;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// An old place goes on for this long after a move, in ms.
const OLD_PLACE: f64 = 1500.0;
/// A failed accept is tried again after this, in ms.
const ACCEPT_PAUSE: f64 = 5.0;

/// Where a service listens.
pub(super) struct Place {
    kit: Rc<Kit>,
    host: u8,
    at: Cell<SocketAddr>,
    moves: watch::Sender<u32>,
}

/// Tells a connection when its place is closed for good.
pub(super) struct Moved {
    kit: Rc<Kit>,
    moves: watch::Receiver<u32>,
}

impl Moved {
    /// Waits until the service has moved and the old place's time is over.
    pub(super) async fn over(mut self) {
        let _ = self.moves.changed().await;
        self.kit.pause(OLD_PLACE).await;
    }
}

impl Place {
    /// A place at an address of the run's network, where nobody listens yet.
    pub(super) fn new(kit: &Rc<Kit>, host: u8) -> Self {
        Self { kit: kit.clone(), host, at: Cell::new(kit.address(host)), moves: watch::channel(0).0 }
    }

    /// Where it is now.
    pub(super) fn at(&self) -> SocketAddr {
        self.at.get()
    }

    /// Listens at a new port from now on, and nowhere else.
    pub(super) async fn move_on(&self, take: impl Fn(TcpStream, Moved) + 'static) -> io::Result<()> {
        let listener = TcpListener::bind(self.kit.address(self.host)).await?;
        self.at.set(listener.local_addr()?);
        self.moves.send_modify(|n| *n += 1);
        let (kit, mut moves) = (self.kit.clone(), self.moves.subscribe());
        spawn_local(async move {
            loop {
                tokio::select! {
                    biased;
                    _ = moves.changed() => return,
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => take(stream, Moved { kit: kit.clone(), moves: moves.clone() }),
                        Err(_) => kit.pause(ACCEPT_PAUSE).await,
                    },
                }
            }
        });
        Ok(())
    }
}
