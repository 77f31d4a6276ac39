//! What all parts of a run share: the clock, the log, the addresses, the random numbers, the kit's own lateness.

use super::Order;
use crate::log::{self, Answer, Event, Header, TryId, What};
use crate::plan::{Day, Stream, random};
use crate::scenario::{Scenario, Trouble, TroubleKind};
use fennelscale_time::from_millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Two rehearsals on one machine are kept apart by networks of their own; this port of a network's last address says
/// that it is taken.
const GUARD_PORT: u16 = 47_411;
/// Networks are looked for among 127.64.0.0 to 127.127.255.0.
const FIRST_NETWORK: u8 = 64;
const NETWORKS: u32 = 64 * 256;
/// The kit's own lateness is told this often.
const TELL: f64 = 500.0;

#[derive(Default)]
struct Late {
    deeds: u32,
    late: u32,
    latest: f64,
}

/// A loopback network of this run's own.
struct Network {
    prefix: [u8; 3],
    _guard: TcpListener,
}

impl Network {
    fn take(start: u32) -> io::Result<Self> {
        let mut error = io::Error::other("no loopback network is free");
        for n in 0..NETWORKS {
            let number = (start + n) % NETWORKS;
            let prefix = [127, FIRST_NETWORK + (number / 256) as u8, (number % 256) as u8];
            let [a, b, c] = prefix;
            match TcpListener::bind((Ipv4Addr::new(a, b, c, 254), GUARD_PORT)) {
                Ok(guard) => return Ok(Self { prefix, _guard: guard }),
                Err(e) => error = e,
            }
        }
        Err(error)
    }
}

/// What all parts of a run share.
pub(super) struct Kit {
    pub(super) scenario: Scenario,
    pub(super) day: Day,
    pub(super) seed: u64,
    pub(super) folder: PathBuf,
    /// The moment of time 0; moved to the moment when all gateways are ready.
    start: Cell<Instant>,
    unix: Cell<f64>,
    begun: Cell<bool>,
    network: Network,
    events: RefCell<Vec<Event>>,
    file: RefCell<BufWriter<File>>,
    failed: RefCell<Option<io::Error>>,
    late: RefCell<Late>,
    nodes_random: RefCell<ChaCha8Rng>,
    services_random: RefCell<ChaCha8Rng>,
    attempts: Cell<u32>,
    asked: RefCell<HashSet<TryId>>,
    requests: Cell<u32>,
    answers: Cell<[u32; 3]>,
}

impl Kit {
    pub(super) fn new(order: &Order, header: &Header, day: Day) -> io::Result<Rc<Self>> {
        let mut file = BufWriter::new(File::create(order.folder.join(super::LOG))?);
        log::write(&mut file, header)?;
        Ok(Rc::new(Self {
            scenario: order.scenario.clone(),
            day,
            seed: order.seed,
            folder: order.folder.clone(),
            start: Cell::new(Instant::now()),
            unix: Cell::new(unix()),
            begun: Cell::new(false),
            network: Network::take(std::process::id().wrapping_mul(2_654_435_761) >> 8)?,
            events: RefCell::default(),
            file: RefCell::new(file),
            failed: RefCell::default(),
            late: RefCell::default(),
            nodes_random: RefCell::new(random(order.seed, Stream::Nodes)),
            services_random: RefCell::new(random(order.seed, Stream::Services)),
            attempts: Cell::new(0),
            asked: RefCell::default(),
            requests: Cell::new(0),
            answers: Cell::new([0; 3]),
        }))
    }

    /// Time 0 is now: all is ready.
    pub(super) fn begin(self: &Rc<Self>) {
        self.start.set(Instant::now());
        self.unix.set(unix());
        self.begun.set(true);
        let kit = self.clone();
        tokio::task::spawn_local(async move {
            let mut next = 0.0;
            loop {
                next += 10.0;
                kit.until(next).await;
                if next % TELL == 0.0 {
                    kit.tell_lateness();
                }
                next = next.max((kit.now() / 10.0).floor() * 10.0);
            }
        });
    }

    /// Milliseconds since time 0; 0 before.
    pub(super) fn now(&self) -> f64 {
        if self.begun.get() { self.start.get().elapsed().as_secs_f64() * 1000.0 } else { 0.0 }
    }

    /// A time of the run as Unix time in ms.
    pub(super) fn unix_ms(&self, t: f64) -> f64 {
        self.unix.get() + t
    }

    /// Waits until a time of the run, and notes how late that was noticed.
    pub(super) async fn until(&self, t: f64) {
        let due = self.start.get() + from_millis(t);
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        self.deed(self.now() - t);
    }

    /// Waits for a span without a word on lateness.
    pub(super) async fn pause(&self, ms: f64) {
        tokio::time::sleep(from_millis(ms)).await;
    }

    /// Notes that something due was done so many ms late. Timers have a grain of 1 ms.
    pub(super) fn deed(&self, late: f64) {
        let mut state = self.late.borrow_mut();
        state.deeds += 1;
        state.late += u32::from(late > self.scenario.rules.kit_late.0);
        state.latest = state.latest.max(late);
    }

    pub(super) fn tell_lateness(&self) {
        let late = self.late.take();
        self.note(What::Lateness { deeds: late.deeds, late: late.late, latest: late.latest });
    }

    /// Writes an event of now.
    pub(super) fn note(&self, what: What) {
        self.note_at(self.now(), what);
    }

    /// Writes an event of another time, as one that was due.
    pub(super) fn note_at(&self, t: f64, what: What) {
        // Figures beyond a thousandth of a millisecond are noise.
        let event = Event { t: (t * 1000.0).round() / 1000.0, what };
        let mut answers = self.answers.get();
        match &event.what {
            What::Offered { .. } => self.requests.set(self.requests.get() + 1),
            What::Asked { id, .. } => {
                self.asked.borrow_mut().insert(*id);
            }
            What::Answered { answer, .. } => {
                answers[match answer {
                    Answer::Served => 0,
                    Answer::Refused => 1,
                    Answer::Failed => 2,
                }] += 1;
            }
            _ => {}
        }
        self.answers.set(answers);
        if let Err(error) = log::write(&mut *self.file.borrow_mut(), &event) {
            self.failed.borrow_mut().get_or_insert(error);
        }
        self.events.borrow_mut().push(event);
    }

    /// Whether a client has asked this.
    pub(super) fn was_asked(&self, id: TryId) -> bool {
        self.asked.borrow().contains(&id)
    }

    /// The number of a new attempt.
    pub(super) fn new_attempt(&self) -> u32 {
        self.attempts.set(self.attempts.get() + 1);
        self.attempts.get()
    }

    /// An address of this run's own network; the system chooses the port.
    pub(super) fn address(&self, host: u8) -> SocketAddr {
        let [a, b, c] = self.network.prefix;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, host)), 0)
    }

    /// A number from 0 to 1 for a node.
    pub(super) fn node_draw(&self) -> f64 {
        self.nodes_random.borrow_mut().random()
    }

    /// A number from 0 to 1 for a service.
    pub(super) fn service_draw(&self) -> f64 {
        self.services_random.borrow_mut().random()
    }

    /// The troubles of a kind that are on now.
    pub(super) fn troubles_now(&self, kind: TroubleKind) -> impl Iterator<Item = &Trouble> {
        let now = self.now();
        self.scenario.trouble.iter().filter(move |t| t.kind == kind && t.is_on(now))
    }

    /// The share of a kind of trouble that is on now; 0 where none is.
    pub(super) fn part_now(&self, kind: TroubleKind) -> f64 {
        self.troubles_now(kind).map(Trouble::part).fold(0.0, f64::max)
    }

    /// Whether a kind of trouble is on now.
    pub(super) fn is_on(&self, kind: TroubleKind) -> bool {
        self.troubles_now(kind).next().is_some()
    }

    /// Requests offered and answers so far.
    pub(super) fn counts(&self) -> (u32, [u32; 3]) {
        (self.requests.get(), self.answers.get())
    }

    /// The log so far, written whole to its file.
    pub(super) fn take_events(&self) -> io::Result<Vec<Event>> {
        if let Some(error) = self.failed.borrow_mut().take() {
            return Err(error);
        }
        self.file.borrow_mut().flush()?;
        Ok(self.events.take())
    }
}

fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}
