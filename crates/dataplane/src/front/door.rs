//! Where clients come in: accepts, asks package `admission`, and carries out what it says: serve, hold, refuse, evict.

use crate::back::link::is_descriptor_shortage;
use crate::front::guest::{Desk, Guest};
use crate::task::spawn;
use fennelscale_admission::ConnectionId;
use fennelscale_admission::admission::{Action, Admission, Capacity, RejectReason, RejectResponse};
use fennelscale_admission::budget::Budget;
use fennelscale_admission::client_origin::{self, ProxyHeader};
use fennelscale_admission::slow_clients::SlowClientLimits;
use fennelscale_settings::admission::Admission as Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::{IpAddr, Shutdown};
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A failed accept that is no one connection's fault is tried again after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Of what a refused client has sent, so much is read before its connection is closed: a close with bytes unread is a reset, which
/// takes the answer with it. A request's head fits.
const READ_AWAY: usize = 64 * 1024;
/// What was refused is told in the log this often at most.
const TELL: Duration = Duration::from_secs(10);
/// A descriptor kept to be let go of: guards against those outside the budget (another library, an inherited limit) that take
/// the last. With it a connection can be accepted and refused, where it would wait unheard, or one backend connection made.
#[derive(Default)]
struct Spare(RefCell<Option<OwnedFd>>);

impl Spare {
    fn keep(&self, listener: &TcpListener) {
        if self.0.borrow().is_none() {
            *self.0.borrow_mut() = listener.as_fd().try_clone_to_owned().ok();
        }
    }

    fn let_go(&self) -> bool {
        self.0.take().is_some()
    }
}

/// A connection that is not served yet, and what was read of it.
type Waiting = (TcpStream, Vec<u8>);
/// Serves a connection.
type Serve = dyn Fn(TcpStream, Vec<u8>, Rc<Guest>);

/// The door of one gateway.
pub struct Door {
    /// The decisions.
    pub desk: Rc<Desk>,
    /// Woken when a connection has gone.
    pub left: Notify,
    settings: Settings,
    serve: RefCell<Option<Rc<Serve>>>,
    waiting: RefCell<HashMap<ConnectionId, Waiting>>,
    guests: RefCell<HashMap<ConnectionId, Rc<Guest>>>,
    spare: Spare,
    rearm: Notify,
    told: Cell<u64>,
}

impl Door {
    /// A door by the operators' settings, with its part of the descriptors.
    pub fn new(settings: Settings, budget: Budget) -> Rc<Self> {
        let room = Capacity { clients: budget.clients, queued: budget.queued, lingering: budget.lingering };
        let desk = Desk::new(Admission::new(&settings, room), SlowClientLimits::new(&settings.pace));
        Rc::new(Self {
            desk,
            left: Notify::new(),
            settings,
            serve: RefCell::default(),
            waiting: RefCell::default(),
            guests: RefCell::default(),
            spare: Spare::default(),
            rearm: Notify::new(),
            told: Cell::new(0),
        })
    }

    /// What the settings say.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether nobody is served and nobody waits to be.
    pub fn is_empty(&self) -> bool {
        self.guests.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    /// Admitted connections are served by this from now on.
    pub fn open(self: &Rc<Self>, serve: Rc<Serve>) {
        *self.serve.borrow_mut() = Some(serve);
        spawn(self.clone().keep_time());
        spawn(self.clone().keep_log());
    }

    /// Takes the next connection; returns when it is decided on, or tried to.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        self.spare.keep(listener);
        // Without a line of our own who finds no room waits in the machine's.
        while !self.desk.ask(|admission, _| admission.has_queue())
            && !self.tell(|a, now, out| a.may_accept(now, out))
        {
            self.left.notified().await;
        }
        match listener.accept().await {
            Ok((stream, peer)) => self.take(stream, peer.ip()),
            Err(error) if is_descriptor_shortage(&error) => self.refuse_without_descriptor(listener).await,
            // The client has gone before it was accepted.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
                ) => {}
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }

    /// Takes what the machine has accepted for us already, for a while: a flood would go on for ever.
    pub async fn accept_the_last(self: &Rc<Self>, listener: &TcpListener, until: Instant) {
        while Instant::now() < until
            && let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, listener.accept()).await
        {
            self.take(stream, peer.ip());
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream, peer: IpAddr) {
        // The decisions may ask for it before they have told its number.
        let mut out = Vec::new();
        let id = self.desk.ask(|admission, now| admission.on_connect(now, peer, &mut out));
        self.waiting.borrow_mut().insert(id, (stream, Vec::new()));
        self.carry_out(out);
    }

    /// Lets go of the spare descriptor, so that one connection can be accepted and refused.
    async fn refuse_without_descriptor(self: &Rc<Self>, listener: &TcpListener) {
        self.tell(|admission, now, out| admission.on_descriptor_shortage(now, out));
        let had = self.spare.let_go();
        if let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            say_no(&stream, self.settings.retry_after.0);
        }
        self.spare.keep(listener);
        if !had || self.spare.0.borrow().is_none() {
            // Guards the processor: the listener stays ready, and nothing can be done about it.
            sleep(ACCEPT_PAUSE).await;
        }
    }

    /// There was no descriptor for a connection to a backend. Lets go of the spare one, which that connection may have; it is
    /// kept again with the next accept.
    pub fn short_of_descriptors(self: &Rc<Self>) {
        self.spare.let_go();
        self.tell(|admission, now, out| admission.on_descriptor_shortage(now, out));
    }

    /// Tells the decisions something, and carries out what they say.
    fn tell<T>(
        self: &Rc<Self>,
        what: impl FnOnce(&mut Admission, fennelscale_admission::Time, &mut Vec<Action>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let told = self.desk.ask(|admission, now| what(admission, now, &mut out));
        self.carry_out(out);
        told
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Identify(id) => spawn(self.clone().identify(id)),
                Action::Admit(id) => self.admit(id),
                Action::Reject(id, RejectResponse::RespondAndLinger(wait), _) => {
                    spawn(self.clone().refuse(id, wait))
                }
                Action::Reject(id, RejectResponse::RespondAndClose(wait), _) => self.refuse_briefly(id, wait),
                Action::Reject(id, RejectResponse::Reset, _) => self.reset(id),
                Action::Evict(id) => self.evict(id),
            }
        }
        if self.desk.ask(|admission, _| admission.next_deadline().is_some()) {
            self.rearm.notify_one();
        }
    }

    fn admit(&self, id: ConnectionId) {
        let Some((stream, ahead)) = self.waiting.borrow_mut().remove(&id) else { return };
        let guest = Guest::new(id, &self.desk);
        self.guests.borrow_mut().insert(id, guest.clone());
        if let Some(serve) = self.serve.borrow().as_ref() {
            serve(stream, ahead, guest);
        }
    }

    /// A connection that was served is closed.
    pub fn gone(self: &Rc<Self>, guest: &Guest) {
        self.guests.borrow_mut().remove(&guest.id);
        self.closed(guest.id);
    }

    fn closed(self: &Rc<Self>, id: ConnectionId) {
        self.tell(|admission, now, out| admission.on_close(now, id, out));
        self.left.notify_one();
    }

    fn evict(&self, id: ConnectionId) {
        if let Some(guest) = self.guests.borrow().get(&id) {
            guest.leave.notify_one();
        }
    }

    /// Closes so that the client hears of it at once, and nothing is kept for it.
    fn reset(self: &Rc<Self>, id: ConnectionId) {
        if let Some((stream, _)) = self.waiting.borrow_mut().remove(&id) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        self.closed(id);
    }

    /// Answers 503 and closes at once.
    fn refuse_briefly(self: &Rc<Self>, id: ConnectionId, wait: f64) {
        if let Some((stream, _)) = self.waiting.borrow_mut().remove(&id) {
            // Of a connection that was accepted just now the event loop has heard nothing yet: the socket itself is asked.
            say_no(&stream, wait);
        }
        self.closed(id);
    }

    /// Answers 503 and closes once that was read, or its time is over.
    async fn refuse(self: Rc<Self>, id: ConnectionId, wait: f64) {
        let waiting = self.waiting.borrow_mut().remove(&id);
        if let Some((mut stream, _)) = waiting {
            let linger =
                Duration::try_from_secs_f64(self.settings.refusals.linger.0 / 1000.0).unwrap_or_default();
            let farewell = async {
                if stream.write_all(refusal(wait).as_bytes()).await.is_err() {
                    return;
                }
                let _ = socket2::SockRef::from(&stream).shutdown(Shutdown::Write);
                let (mut away, mut room) = ([0; 2048], READ_AWAY);
                while let Ok(read) = stream.read(&mut away).await {
                    room = room.saturating_sub(read);
                    if read == 0 || room == 0 {
                        return;
                    }
                }
            };
            let _ = timeout(linger, farewell).await;
        }
        self.closed(id);
    }

    /// Reads a proxy's header.
    async fn identify(self: Rc<Self>, id: ConnectionId) {
        let waiting = self.waiting.borrow_mut().remove(&id);
        let Some((mut stream, mut ahead)) = waiting else { return };
        let limit = Duration::try_from_secs_f64(self.settings.pace.head.0 / 1000.0).unwrap_or_default();
        let read = async {
            loop {
                match client_origin::parse_proxy_header(&ahead) {
                    ProxyHeader::Complete { length, client } => return Some((length, client)),
                    ProxyHeader::Invalid => return None,
                    ProxyHeader::Partial => {}
                }
                stream.read_buf(&mut ahead).await.ok().filter(|read| *read > 0)?;
            }
        };
        let header = timeout(limit, read).await.ok().flatten();
        let peer = stream.peer_addr().map(|peer| peer.ip());
        let (Some((length, client)), Ok(peer)) = (header, peer) else {
            // Not what was agreed on, or nothing at all: nobody knows whose it is.
            self.waiting.borrow_mut().insert(id, (stream, ahead));
            return self.reset(id);
        };
        ahead.drain(..length);
        self.waiting.borrow_mut().insert(id, (stream, ahead));
        self.tell(|admission, now, out| admission.on_client_identified(now, id, client.unwrap_or(peer), out));
    }

    /// Refuses those who have waited long enough, in time.
    async fn keep_time(self: Rc<Self>) {
        loop {
            match self.desk.ask(|admission, _| admission.next_deadline()) {
                None => self.rearm.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.desk.instant(at)) => self.tell(|a, now, out| a.on_timer(now, out)),
                        () = self.rearm.notified() => {}
                    }
                }
            }
        }
    }

    /// Tells of refusals now and then.
    async fn keep_log(self: Rc<Self>) {
        loop {
            sleep(TELL).await;
            let counts = self.desk.ask(|admission, _| admission.counts());
            let all = counts.rejections() + counts.exhausted;
            if self.told.replace(all) == all {
                continue;
            }
            let mut reasons = String::new();
            for (why, count) in RejectReason::ALL.iter().zip(counts.rejected).filter(|(_, count)| *count > 0)
            {
                let _ = write!(reasons, ", {} {count}", why.name());
            }
            eprintln!(
                "connections since the start: {} came, {} admitted ({} after a wait), {} refused{reasons}; {} of these by a \
                 reset; {} asked to leave; descriptors ran out {} times",
                counts.connected,
                counts.admitted,
                counts.queued,
                counts.rejections(),
                counts.reset,
                counts.evicted,
                counts.exhausted
            );
        }
    }
}

/// Reads away what is there and answers 503, as far as that goes without waiting.
fn say_no(stream: &TcpStream, wait: f64) {
    let socket = socket2::SockRef::from(stream);
    let mut away = [MaybeUninit::uninit(); 4096];
    let mut room = READ_AWAY;
    while let Ok(read) = socket.recv(&mut away) {
        room = room.saturating_sub(read);
        if read == 0 || room == 0 {
            break;
        }
    }
    let _ = socket.send(refusal(wait).as_bytes());
}

/// A whole answer that says when to come again.
fn refusal(wait: f64) -> String {
    const TEXT: &str = "no room for this connection, try again later\n";
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {:.3}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{TEXT}",
        wait / 1000.0,
        TEXT.len()
    )
}
