//! Runs a `fennelscale_fleet::Node` in the gateway: does its network and disk I/O and its timers. No client
//! request waits for any of this.

mod clock;
pub mod control;
mod disk;
mod peers;
mod witness;

use crate::task::spawn;
use clock::SteadyClock;
use control::{Deed, Reply};
use fennelscale_fleet::disk::Disk;
use fennelscale_fleet::keeper::{first_disk, strange_disk};
use fennelscale_fleet::members::Change;
use fennelscale_fleet::rules::{Micros, Watch};
use fennelscale_fleet::state::{Command, Settled};
use fennelscale_fleet::{Action, Event, Fence, Identity, Node, Setup};
use fennelscale_log_writer::log_line;
use fennelscale_settings::fleet::Fleet as Rules;
use peers::Peers;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Number of system-assigned ports that are tried.
const MAX_PORT_TRIES: usize = 16;
/// An operator's proposal that is not settled within this time is reported as under way.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time at shutdown for the release of rights to take effect.
const LEAVE_PERIOD: Duration = Duration::from_millis(300);

/// The cluster id that all members of a fleet put into their messages and files.
pub fn cluster(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// This gateway as a member of a fleet.
pub struct Fleet {
    rules: Rules,
    node: RefCell<Node>,
    clock: SteadyClock,
    peers: Peers,
    datagrams: UdpSocket,
    disk: Option<disk::Writer>,
    wake: Notify,
    proposals: RefCell<BTreeMap<u64, oneshot::Sender<Option<Settled>>>>,
    name: String,
}

/// Reads a keeper's disk. If it is empty or has lost data, a new one is started that does not belong to the
/// log.
fn open_disk(
    rules: &Rules, name: &str, seed: u64,
) -> io::Result<Option<(disk::Writer, fennelscale_fleet::disk::Found)>> {
    let Some(folder) = &rules.disk else { return Ok(None) };
    let (writer, disk) = disk::Writer::open(folder)?;
    let found = match disk {
        Disk::Sound(found) if found.name == name => *found,
        Disk::Sound(found) => {
            let what = format!("{}: this is the disk of {}, not of {name}", folder.display(), found.name);
            return Err(io::Error::other(what));
        }
        Disk::Empty => {
            log_line!(
                "fleet: {} is empty: a stranger to the log until it is taken in as a keeper",
                folder.display()
            );
            strange_disk(seed, name)
        }
        Disk::Lost(what) => {
            log_line!(
                "fleet: {}: {what}. What others were told is safe may be gone: a stranger to the log from now on",
                folder.display()
            );
            writer.move_aside()?;
            strange_disk(seed, name)
        }
    };
    Ok(Some((writer, found)))
}

/// Writes the disk of an initial keeper. This is done once for each, before the fleet runs for the first
/// time.
///
/// # Errors
/// When the disk is not empty, or the rules have no folder or no keeper of this name.
pub fn init(rules: &Rules, name: &str) -> io::Result<()> {
    let folder = rules.disk.as_ref().ok_or_else(|| io::Error::other("fleet.disk names no folder"))?;
    if !rules.keepers.contains_key(name) {
        return Err(io::Error::other(format!("{name} is none of fleet.keepers")));
    }
    let (writer, disk) = disk::Writer::open(folder)?;
    if !matches!(disk, Disk::Empty) {
        return Err(io::Error::other(format!("{}: there is a log already", folder.display())));
    }
    let mut found = first_disk(cluster(&rules.name), name, &rules.keepers);
    let write = found.writer.whole(&found.store);
    writer.write(&write)
}

/// Listens for connections and datagrams on the same port. A system-assigned port may already be in use for
/// datagrams; then another one is tried.
async fn listen(at: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let tries = if at.port() == 0 { MAX_PORT_TRIES } else { 1 };
    let mut last_error = io::ErrorKind::AddrInUse.into();
    for _ in 0..tries {
        let listener = TcpListener::bind(at).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

impl Fleet {
    /// Joins the fleet.
    ///
    /// # Errors
    /// When an address or the disk cannot be used.
    pub async fn start(rules: Rules, name: &str, seed: u64) -> io::Result<Rc<Self>> {
        let (listener, datagrams) = listen(rules.listen).await?;
        let at = listener.local_addr()?;
        let clock = SteadyClock::new(&rules.clock);
        let cluster = cluster(&rules.name);
        let (disk, found) = open_disk(&rules, name, seed)?.unzip();
        // The system time only orders the incarnations of a name; nothing else depends on it.
        let started_at =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(started_at.as_micros()).unwrap_or(u64::MAX);
        let mut seeds = rules.keepers.clone();
        seeds.extend(rules.seeds.clone());
        let micros = |ms: f64| (ms * 1000.0) as Micros;
        let setup = Setup {
            cluster,
            me: Identity::new(name, incarnation, rules.advertise.unwrap_or(at)),
            seeds,
            keepers: rules.keepers.clone(),
            watch: Watch { period: micros(rules.watch.period.0), suspicion: micros(rules.watch.suspicion.0) },
            disk: found,
            seed,
        };
        let mut node = Node::start(setup, clock.now()).map_err(io::Error::other)?;
        for (right, rule) in &rules.rights {
            node.want(clock.now(), right, micros(rule.length.0));
        }
        let fleet = Rc::new(Self {
            peers: Peers::new(rules.reach.clone()),
            node: RefCell::new(node),
            clock,
            datagrams,
            disk,
            wake: Notify::new(),
            proposals: RefCell::default(),
            name: name.to_owned(),
            rules,
        });
        spawn(fleet.clone().accept(listener));
        spawn(fleet.clone().receive());
        spawn(fleet.clone().run_timers());
        if let Some(disk) = &fleet.disk {
            spawn(fleet.clone().report_flushed(disk.take_flushed()));
        }
        if let Some(control) = fleet.rules.control {
            let listener = TcpListener::bind(control).await?;
            log_line!("fleet: operators at {}", listener.local_addr()?);
            spawn(control::serve(listener, fleet.clone()));
        }
        for (right, rule) in &fleet.rules.rights {
            if let Some(witness) = rule.witness {
                spawn(witness::report(fleet.clone(), right.clone(), witness, rule.every.0));
            }
        }
        fleet.perform_actions();
        log_line!("fleet {}: {name} at {at}", fleet.rules.name);
        Ok(fleet)
    }

    /// The fencing number under which this gateway holds a right at this moment, if it does.
    pub fn fence(&self, right: &str) -> Option<Fence> {
        self.node.borrow().fence(self.clock.now(), right)
    }

    /// Releases the rights held and announces that this gateway leaves.
    pub async fn leave(&self) {
        self.node.borrow_mut().leave(self.clock.now());
        self.perform_actions();
        sleep(LEAVE_PERIOD).await;
    }

    /// Runs an operation on the node and performs the resulting actions.
    fn with<T>(&self, operation: impl FnOnce(&mut Node, Micros) -> T) -> T {
        let result = operation(&mut self.node.borrow_mut(), self.clock.now());
        self.perform_actions();
        result
    }

    fn perform_actions(&self) {
        let actions = self.node.borrow_mut().take_actions();
        for action in actions {
            match action {
                Action::Datagram(to, bytes) => {
                    let to = self.peers.resolve(&to.name, to.address);
                    // A datagram that does not fit into the socket buffer counts as lost.
                    let _ = self.datagrams.try_send_to(&bytes, to);
                }
                Action::Frame(name, address, bytes) => self.peers.send(&name, address, bytes),
                Action::Write(number, write) => {
                    if let Some(disk) = &self.disk {
                        disk.queue(number, write);
                    }
                }
                Action::Event(event) => self.on_event(event),
            }
        }
        self.wake.notify_one();
    }

    fn on_event(&self, event: Event) {
        match event {
            Event::Member(Change::Here(member)) => log_line!("fleet: {member} is here"),
            Event::Member(Change::Gone(member)) => log_line!("fleet: {member} is gone"),
            Event::Member(Change::Usurped(by)) => log_line!(
                "fleet: {by} has the name of this gateway: TWO PROCESSES CLAIM ONE NAME. This one takes part in nothing any more"
            ),
            Event::Member(Change::NameClaimed(by)) => {
                log_line!("fleet: {by} claims a name that belongs to a later run: it was notified");
            }
            Event::Settled(serial, settled) => {
                if let Some(sender) = self.proposals.borrow_mut().remove(&serial) {
                    let _ = sender.send(settled);
                }
            }
            Event::Agreed => {}
            Event::Diverged(keeper) => {
                log_line!("fleet: {keeper} holds another log than this gateway: a fault of the program");
            }
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let at = self.node.borrow().next_wake();
            let now = self.clock.now();
            if at <= now {
                self.with(Node::wake);
                // Lets other tasks run even if the node is always due.
                tokio::task::yield_now().await;
                continue;
            }
            let wait = Duration::from_micros((at - now).min(3_600_000_000));
            let _ = timeout(wait, self.wake.notified()).await;
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut bytes = [0; 2048];
        loop {
            match self.datagrams.recv_from(&mut bytes).await {
                Ok((length, from)) if self.allowed(from) => {
                    let datagram = bytes.get(..length).unwrap_or_default();
                    self.with(|node, now| node.datagram(now, datagram));
                }
                Ok(_) => {}
                // The kernel reports here that an earlier datagram was undeliverable, which can be ignored.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    fn allowed(&self, from: SocketAddr) -> bool {
        self.rules.hears(from.ip())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let filter = self.clone();
        peers::accept(
            listener,
            peers::MAX_INCOMING,
            move |from| filter.allowed(from),
            move |stream| {
                let fleet = self.clone();
                async move {
                    peers::read_frames(stream, |frame| fleet.with(|node, now| node.frame(now, frame))).await
                }
            },
        )
        .await;
    }

    async fn report_flushed(self: Rc<Self>, mut flushed: disk::FlushedWrites) {
        while let Some(number) = flushed.recv().await {
            self.with(|node, now| node.written(now, number));
        }
        log_line!(
            "fleet: the disk cannot be written: this gateway keeps the log no more until it is started again"
        );
    }

    /// Executes an operator's request.
    pub(crate) async fn execute(&self, deed: Deed) -> Reply {
        match deed {
            Deed::Status => Reply::Status(Box::new(self.node.borrow().status(self.clock.now()))),
            Deed::Topic { topic } => {
                let node = self.node.borrow();
                let topic = node.agreed().topics.get(&topic);
                let content = topic.map(|topic| String::from_utf8_lossy(&topic.content).into_owned());
                Reply::Topic { version: topic.map_or(0, |topic| topic.version), content }
            }
            Deed::Publish { topic, follows, content } => {
                let command = Command::Publish { topic, follows, content: content.into_bytes() };
                self.propose(command).await
            }
            Deed::ReplaceKeeper { old, new } => {
                match self.with(|node, now| node.replace_keeper(now, &old, &new)) {
                    Ok(()) => Reply::Done,
                    Err(error) => Reply::Refused(format!("{}: {error}", self.name)),
                }
            }
        }
    }

    async fn propose(&self, command: Command) -> Reply {
        let (sender, settled) = oneshot::channel();
        let serial = {
            let mut node = self.node.borrow_mut();
            node.wish(self.clock.now(), command)
        };
        let serial = match serial {
            Ok(serial) => serial,
            Err(error) => return Reply::Refused(error.to_string()),
        };
        self.proposals.borrow_mut().insert(serial, sender);
        self.perform_actions();
        let settled = timeout(PROPOSAL_TIMEOUT, settled).await;
        self.proposals.borrow_mut().remove(&serial);
        match settled {
            Ok(Ok(settled)) => Reply::Settled(settled),
            _ => Reply::UnderWay,
        }
    }
}
