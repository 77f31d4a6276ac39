//! Accepts client connections and performs the actions that the package `admission` decides on: serve, hold,
//! refuse, evict.

use crate::back::connection::is_descriptor_shortage;
use crate::front::client_connection::{AdmissionControl, ClientConnection};
use crate::task::spawn;
use fennelscale_admission::ConnectionId;
use fennelscale_admission::admission::{Action, Admission, Capacity, RejectReason, RejectResponse};
use fennelscale_admission::budget::Budget;
use fennelscale_admission::client_origin::{self, ProxyHeader};
use fennelscale_admission::slow_clients::SlowClientLimits;
use fennelscale_log_writer::log_line;
use fennelscale_settings::admission::Admission as Settings;
use fennelscale_time::from_millis;
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

/// Delay after a failed accept that was not caused by the connection itself.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of bytes read from a refused client before its connection is closed: closing with unread
/// bytes causes a reset, which discards the answer. A request's head fits.
const MAX_DISCARDED: usize = 64 * 1024;
/// Minimum interval between log lines about refusals.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A spare file descriptor, for the case that something outside the budget (another library, an inherited
/// limit) takes the last one. Releasing it allows one connection to be accepted and refused instead of
/// waiting unanswered, or one backend connection to be opened.
#[derive(Default)]
struct SpareDescriptor(RefCell<Option<OwnedFd>>);

impl SpareDescriptor {
    fn reserve(&self, listener: &TcpListener) {
        if self.0.borrow().is_none() {
            *self.0.borrow_mut() = listener.as_fd().try_clone_to_owned().ok();
        }
    }

    fn release(&self) -> bool {
        self.0.take().is_some()
    }
}

/// A connection that is not served yet, and the bytes read from it.
type PendingClient = (TcpStream, Vec<u8>);
/// Serves an admitted connection.
type Serve = dyn Fn(TcpStream, Vec<u8>, Rc<ClientConnection>);

/// Accepts the client connections of a gateway.
pub struct Acceptor {
    /// The admission control.
    pub admission: Rc<AdmissionControl>,
    /// Notified when a connection was closed.
    pub connection_closed: Notify,
    settings: Settings,
    serve: RefCell<Option<Rc<Serve>>>,
    pending: RefCell<HashMap<ConnectionId, PendingClient>>,
    clients: RefCell<HashMap<ConnectionId, Rc<ClientConnection>>>,
    spare: SpareDescriptor,
    timer_changed: Notify,
    reported: Cell<u64>,
}

impl Acceptor {
    /// Creates an acceptor with the operators' settings and its share of the file descriptors.
    pub fn new(settings: Settings, budget: Budget) -> Rc<Self> {
        let room = Capacity { clients: budget.clients, queued: budget.queued, lingering: budget.lingering };
        let admission =
            AdmissionControl::new(Admission::new(&settings, room), SlowClientLimits::new(&settings.pace));
        Rc::new(Self {
            admission,
            connection_closed: Notify::new(),
            settings,
            serve: RefCell::default(),
            pending: RefCell::default(),
            clients: RefCell::default(),
            spare: SpareDescriptor::default(),
            timer_changed: Notify::new(),
            reported: Cell::new(0),
        })
    }

    /// The operators' settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Changes how long connections may be idle, also those that are open.
    pub fn set_idle_timeout(&self, idle_timeout: Duration) {
        self.admission.set_idle_timeout(idle_timeout);
        self.clients.borrow().values().for_each(|client| client.limits_changed());
    }

    /// Whether no connection is being served or waits to be.
    pub fn is_empty(&self) -> bool {
        self.clients.borrow().is_empty() && self.pending.borrow().is_empty()
    }

    /// Starts serving admitted connections with `serve`.
    pub fn start(self: &Rc<Self>, serve: Rc<Serve>) {
        *self.serve.borrow_mut() = Some(serve);
        spawn(self.clone().run_timers());
        spawn(self.clone().report_refusals());
    }

    /// Accepts the next connection; returns when it was passed to the admission module or the accept failed.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        self.spare.reserve(listener);
        // Without a queue of its own the gateway leaves connections it has no room for in the kernel's
        // backlog.
        while !self.admission.with(|admission, _| admission.has_queue())
            && !self.update(|a, now, out| a.may_accept(now, out))
        {
            self.connection_closed.notified().await;
        }
        match listener.accept().await {
            Ok((stream, peer)) => self.on_accepted(stream, peer.ip()),
            Err(error) if is_descriptor_shortage(&error) => self.refuse_without_descriptor(listener).await,
            // The client disconnected before it was accepted.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
                ) => {}
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }

    /// Accepts the connections in the kernel's backlog. The time limit ends this in a flood of connections.
    pub async fn accept_backlog(self: &Rc<Self>, listener: &TcpListener, until: Instant) {
        while Instant::now() < until
            && let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, listener.accept()).await
        {
            self.on_accepted(stream, peer.ip());
        }
    }

    fn on_accepted(self: &Rc<Self>, stream: TcpStream, peer: IpAddr) {
        // The admission module may request an action on the connection before its id is known here.
        let mut out = Vec::new();
        let id = self.admission.with(|admission, now| admission.on_connect(now, peer, &mut out));
        self.pending.borrow_mut().insert(id, (stream, Vec::new()));
        self.perform(out);
    }

    /// Releases the spare descriptor, so that one connection can be accepted and refused.
    async fn refuse_without_descriptor(self: &Rc<Self>, listener: &TcpListener) {
        self.update(|admission, now, out| admission.on_descriptor_shortage(now, out));
        let had = self.spare.release();
        if let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            try_refuse(&stream, self.settings.retry_after.0);
        }
        self.spare.reserve(listener);
        if !had || self.spare.0.borrow().is_none() {
            // Avoids a busy loop: the listener stays ready, and no connection can be accepted.
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }

    /// Handles a lack of file descriptors for a backend connection: releases the spare one for it, which is
    /// reserved again with the next accept.
    pub fn on_descriptor_shortage(self: &Rc<Self>) {
        self.spare.release();
        self.update(|admission, now, out| admission.on_descriptor_shortage(now, out));
    }

    /// Runs an operation on the admission module and performs the resulting actions.
    fn update<T>(
        self: &Rc<Self>,
        operation: impl FnOnce(&mut Admission, fennelscale_admission::Time, &mut Vec<Action>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = self.admission.with(|admission, now| operation(admission, now, &mut out));
        self.perform(out);
        result
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
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
        if self.admission.with(|admission, _| admission.next_deadline().is_some()) {
            self.timer_changed.notify_one();
        }
    }

    fn admit(&self, id: ConnectionId) {
        let Some((stream, buffered)) = self.pending.borrow_mut().remove(&id) else { return };
        let client = ClientConnection::new(id, &self.admission);
        self.clients.borrow_mut().insert(id, client.clone());
        if let Some(serve) = self.serve.borrow().as_ref() {
            serve(stream, buffered, client);
        }
    }

    /// Handles the end of a connection that was served.
    pub fn on_closed(self: &Rc<Self>, client: &ClientConnection) {
        self.clients.borrow_mut().remove(&client.id);
        self.closed(client.id);
    }

    fn closed(self: &Rc<Self>, id: ConnectionId) {
        self.update(|admission, now, out| admission.on_close(now, id, out));
        self.connection_closed.notify_one();
    }

    fn evict(&self, id: ConnectionId) {
        if let Some(client) = self.clients.borrow().get(&id) {
            client.close_requested.notify_one();
        }
    }

    /// Resets a connection, so that the client learns of it at once and the kernel keeps no state.
    fn reset(self: &Rc<Self>, id: ConnectionId) {
        if let Some((stream, _)) = self.pending.borrow_mut().remove(&id) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        self.closed(id);
    }

    /// Answers 503 and closes at once.
    fn refuse_briefly(self: &Rc<Self>, id: ConnectionId, wait: f64) {
        if let Some((stream, _)) = self.pending.borrow_mut().remove(&id) {
            // The event loop knows nothing yet about a connection that was just accepted, so the socket is
            // used directly.
            try_refuse(&stream, wait);
        }
        self.closed(id);
    }

    /// Answers 503 and closes the connection once the client has read it or the time limit has passed.
    async fn refuse(self: Rc<Self>, id: ConnectionId, wait: f64) {
        let pending = self.pending.borrow_mut().remove(&id);
        if let Some((mut stream, _)) = pending {
            let linger = from_millis(self.settings.refusals.linger.0);
            let respond = async {
                if stream.write_all(refusal(wait).as_bytes()).await.is_err() {
                    return;
                }
                let _ = socket2::SockRef::from(&stream).shutdown(Shutdown::Write);
                let (mut discarded, mut room) = ([0; 2048], MAX_DISCARDED);
                while let Ok(read) = stream.read(&mut discarded).await {
                    room = room.saturating_sub(read);
                    if read == 0 || room == 0 {
                        return;
                    }
                }
            };
            let _ = timeout(linger, respond).await;
        }
        self.closed(id);
    }

    /// Reads a PROXY protocol header.
    async fn identify(self: Rc<Self>, id: ConnectionId) {
        let pending = self.pending.borrow_mut().remove(&id);
        let Some((mut stream, mut buffered)) = pending else { return };
        let limit = from_millis(self.settings.pace.head.0);
        let read = async {
            loop {
                match client_origin::parse_proxy_header(&buffered) {
                    ProxyHeader::Complete { length, client } => return Some((length, client)),
                    ProxyHeader::Invalid => return None,
                    ProxyHeader::Partial => {}
                }
                stream.read_buf(&mut buffered).await.ok().filter(|read| *read > 0)?;
            }
        };
        let header = timeout(limit, read).await.ok().flatten();
        let peer = stream.peer_addr().map(|peer| peer.ip());
        let (Some((length, client)), Ok(peer)) = (header, peer) else {
            // No valid header: the client is unknown.
            self.pending.borrow_mut().insert(id, (stream, buffered));
            return self.reset(id);
        };
        buffered.drain(..length);
        self.pending.borrow_mut().insert(id, (stream, buffered));
        self.update(|admission, now, out| {
            admission.on_client_identified(now, id, client.unwrap_or(peer), out)
        });
    }

    /// Runs the timers of the admission module, which refuse connections that waited too long.
    async fn run_timers(self: Rc<Self>) {
        loop {
            match self.admission.with(|admission, _| admission.next_deadline()) {
                None => self.timer_changed.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.admission.instant(at)) => {
                            self.update(|a, now, out| a.on_timer(now, out));
                        }
                        () = self.timer_changed.notified() => {}
                    }
                }
            }
        }
    }

    /// Logs the number of refusals from time to time.
    async fn report_refusals(self: Rc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let counts = self.admission.with(|admission, _| admission.counts());
            let all = counts.rejections() + counts.exhausted;
            if self.reported.replace(all) == all {
                continue;
            }
            let mut reasons = String::new();
            for (why, count) in RejectReason::ALL.iter().zip(counts.rejected).filter(|(_, count)| *count > 0)
            {
                let _ = write!(reasons, ", {} {count}", why.name());
            }
            log_line!(
                "connections since the start: {} received, {} admitted ({} after waiting), {} refused{reasons}; {} of these \
                 by a reset; {} evicted; out of descriptors {} times",
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

/// Discards received bytes and answers 503, as far as possible without blocking.
fn try_refuse(stream: &TcpStream, wait: f64) {
    let socket = socket2::SockRef::from(stream);
    let mut discarded = [MaybeUninit::uninit(); 4096];
    let mut room = MAX_DISCARDED;
    while let Ok(read) = socket.recv(&mut discarded) {
        room = room.saturating_sub(read);
        if read == 0 || room == 0 {
            break;
        }
    }
    let _ = socket.send(refusal(wait).as_bytes());
}

/// A complete answer with a `Retry-After` header.
fn refusal(wait: f64) -> String {
    const TEXT: &str = "no room for this connection, try again later\n";
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {:.3}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{TEXT}",
        wait / 1000.0,
        TEXT.len()
    )
}
