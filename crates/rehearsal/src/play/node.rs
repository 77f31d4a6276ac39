//! Preview nodes on sockets. What they do is decided by [`crate::node`]; this moves bytes and writes the log.

use super::kit::Kit;
use super::wire::{Connection, NoMessage, answer, ok};
use crate::log::{NodeState, Reply, TryId, What};
use crate::node::{Figures, Job, Node, Step};
use crate::plan::exponential;
use crate::scenario::{Effect, TroubleKind};
use fennelscale_time::from_millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;

/// Of a run's network, nodes have the addresses from here on.
const FIRST_HOST: u8 = 100;
/// What a dropped repeat costs its node, in ms of core time.
const REPEAT_WORK: f64 = 1.0;
/// The least work of a request, and the most in times the mean of its class.
const LARGEST_WORK: f64 = 6.0;
const SMALLEST_WORK: f64 = 0.5;
/// How soon after it began an attempt is cut off, at most, in ms.
const CUT_WITHIN: f64 = 60.0;
/// A spoilt answer: a head that ends in noise.
const SPOILT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 9x\r\n\x01\x02\x03\r\n\r\n";
/// Load reports speak of this long at least, in ms.
const REPORT_OVER: f64 = 1000.0;
/// How often a node that comes back tries for its address, 2 ms apart.
const LISTEN_TRIES: u32 = 250;
/// Keys are looked through for forgotten ones when a rack has this many.
const MANY_KEYS: usize = 4096;

/// What became of an attempt.
enum Fate {
    Done,
    Declined,
}

/// What one rack knows: keys, when each was first begun with.
#[derive(Default)]
struct Rack {
    keys: HashMap<String, f64>,
}

struct Life {
    model: Node,
    waiting: HashMap<u32, oneshot::Sender<Fate>>,
    /// Keys of attempts that have not begun.
    keys: HashMap<u32, (String, f64)>,
    /// When attempts began, and of those done lately when and after how long.
    begun: HashMap<u32, f64>,
    done: Vec<(f64, f64)>,
}

/// One preview node.
pub(super) struct Stand {
    kit: Rc<Kit>,
    pub(super) number: usize,
    pub(super) rack: usize,
    pub(super) at: SocketAddr,
    figures: Figures,
    life: RefCell<Option<Life>>,
    /// Counts lives; a change ends all that belongs to an earlier one.
    lives: watch::Sender<u32>,
    changed: Notify,
    stalled: watch::Sender<bool>,
    fell: Cell<bool>,
    open: Cell<usize>,
    racks: Rc<RefCell<Vec<Rack>>>,
}

/// Who hears of a node: its number, its state, its life, and when that began.
pub(super) type Listener = Rc<dyn Fn(usize, NodeState, u32, f64)>;

/// All preview nodes.
pub(super) struct Nodes {
    pub(super) all: Vec<Rc<Stand>>,
    /// Who hears of changes.
    pub(super) news: RefCell<Vec<Listener>>,
}

impl Nodes {
    pub(super) async fn start(kit: &Rc<Kit>) -> io::Result<Rc<Self>> {
        let racks: Rc<RefCell<Vec<Rack>>> = Rc::default();
        racks.borrow_mut().resize_with(kit.scenario.fleet.racks, Rack::default);
        let mut all = Vec::new();
        for (number, plan) in kit.day.nodes.iter().enumerate() {
            let listener = TcpListener::bind(kit.address(FIRST_HOST + number as u8)).await?;
            let node = &kit.scenario.node;
            let figures = Figures {
                cores: plan.cores as f64,
                speed: plan.speed,
                slots: node.slots_per_core * plan.cores,
                waiting: node.waiting_per_core * plan.cores,
                cold: kit.scenario.cold(),
            };
            let stand = Rc::new(Stand {
                kit: kit.clone(),
                number,
                rack: plan.rack,
                at: listener.local_addr()?,
                figures,
                life: RefCell::default(),
                lives: watch::channel(0).0,
                changed: Notify::new(),
                stalled: watch::channel(false).0,
                fell: Cell::new(false),
                open: Cell::new(0),
                racks: racks.clone(),
            });
            stand.clone().live(listener, false);
            all.push(stand);
        }
        Ok(Rc::new(Self { all, news: RefCell::default() }))
    }

    /// A node's process ends without a word.
    pub(super) fn kill(&self, number: usize) {
        let stand = &self.all[number];
        if stand.is_up() {
            stand.die(What::NodeDown { node: number });
        }
        self.tell(number, NodeState::Terminated);
    }

    /// A node's process starts again, cold, at its old address.
    pub(super) async fn revive(&self, number: usize) -> io::Result<()> {
        let stand = &self.all[number];
        if !stand.is_up() {
            let listener = stand.listen_again().await?;
            stand.clone().live(listener, true);
        }
        self.tell(number, NodeState::InService);
        Ok(())
    }

    /// A node finishes what it has and takes nothing new; the list tells so first.
    pub(super) fn drain(&self, number: usize) {
        let stand = &self.all[number];
        stand.kit.note(What::NodeDrains { node: number });
        if let Some(life) = stand.life.borrow_mut().as_mut() {
            life.model.drain();
        }
        self.tell(number, NodeState::Terminating);
    }

    /// Tells of processes that ended by themselves.
    pub(super) fn tell_fallen(&self) {
        for stand in self.all.iter().filter(|s| s.fell.take()) {
            self.tell(stand.number, NodeState::Terminated);
        }
    }

    fn tell(&self, number: usize, state: NodeState) {
        let stand = &self.all[number];
        let life = stand.lives.borrow().saturating_sub(1) / 2;
        let born = stand.kit.now();
        self.news.borrow().iter().for_each(|told| told(number, state, life, born));
    }
}

impl Stand {
    pub(super) fn is_up(&self) -> bool {
        self.life.borrow().is_some()
    }

    /// Listens at its old address. The last life's listener may need a moment to be gone.
    async fn listen_again(&self) -> io::Result<TcpListener> {
        for _ in 0..LISTEN_TRIES {
            match TcpListener::bind(self.at).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => self.kit.pause(2.0).await,
                done => return done,
            }
        }
        TcpListener::bind(self.at).await
    }

    /// Begins a life: lives are odd numbers, being gone even ones.
    fn live(self: Rc<Self>, listener: TcpListener, cold: bool) {
        let now = self.kit.now();
        let figures = self.figures;
        self.life.replace(Some(Life {
            model: Node::new(figures, now, cold),
            waiting: HashMap::new(),
            keys: HashMap::new(),
            begun: HashMap::new(),
            done: Vec::new(),
        }));
        self.lives.send_modify(|life| *life += 1);
        let power = figures.cores * figures.speed;
        self.kit.note(What::NodeUp { node: self.number, rack: self.rack, power, cold });
        let life = self.lives.subscribe();
        let this = self.clone();
        spawn_local(async move { this.listen(listener, life).await });
        let life = self.lives.subscribe();
        spawn_local(async move { self.work(life).await });
    }

    fn die(&self, what: What) {
        self.kit.note(what);
        self.life.replace(None);
        self.lives.send_modify(|life| *life += 1);
    }

    pub(super) fn stall(&self, on: bool) {
        self.with(|life, now, steps| life.model.stall(now, on, steps));
        self.stalled.send_replace(on);
        if self.is_up() {
            self.kit.note(What::NodeStalled { node: self.number, on });
        }
        self.changed.notify_one();
    }

    /// Does something with the living node and carries out what follows.
    fn with(&self, deed: impl FnOnce(&mut Life, f64, &mut Vec<Step>)) {
        let (now, mut steps) = (self.kit.now(), Vec::new());
        if let Some(life) = self.life.borrow_mut().as_mut() {
            deed(life, now, &mut steps);
        }
        for step in steps {
            self.carry_out(step, now);
        }
    }

    fn carry_out(&self, step: Step, now: f64) {
        if step == Step::Fell {
            self.fell.set(true);
            return self.die(What::NodeFell { node: self.number });
        }
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else { return };
        match step {
            Step::Began(attempt) => {
                // The effect takes place here; a key that its rack has heard meanwhile was dropped.
                let mut repeat = false;
                if let Some((key, memory)) = life.keys.remove(&attempt) {
                    let mut racks = self.racks.borrow_mut();
                    let keys = &mut racks[self.rack].keys;
                    if keys.len() > MANY_KEYS {
                        keys.retain(|_, at| now - *at < memory);
                    }
                    repeat = keys.get(&key).is_some_and(|at| now - at < memory);
                    if !repeat {
                        keys.insert(key, now);
                    }
                }
                life.begun.insert(attempt, now);
                self.kit.note(What::Ran { attempt, repeat });
            }
            Step::Done(attempt) => {
                let begun = life.begun.remove(&attempt).unwrap_or(now);
                life.done.push((now, now - begun));
                if let Some(waits) = life.waiting.remove(&attempt) {
                    let _ = waits.send(Fate::Done);
                }
            }
            Step::Declined(attempt) => {
                life.keys.remove(&attempt);
                if let Some(waits) = life.waiting.remove(&attempt) {
                    let _ = waits.send(Fate::Declined);
                }
            }
            Step::Fell => {}
        }
    }

    /// Moves the node's work on.
    async fn work(self: Rc<Self>, mut life: watch::Receiver<u32>) {
        loop {
            let wakes = self.life.borrow().as_ref().and_then(|l| l.model.wakes());
            let due = async {
                match wakes {
                    Some(at) => self.kit.until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                _ = life.changed() => return,
                () = self.changed.notified() => {}
                () = due => {}
            }
            self.with(|life, now, steps| life.model.advance(now, steps));
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, mut life: watch::Receiver<u32>) {
        loop {
            let stream = tokio::select! {
                biased;
                _ = life.changed() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = stream else {
                self.kit.pause(5.0).await;
                continue;
            };
            let mut connection = Connection::new(stream);
            if self.open.get() >= self.kit.scenario.node.connections {
                connection.reset();
                continue;
            }
            let (this, mut life) = (self.clone(), life.clone());
            this.open.set(this.open.get() + 1);
            spawn_local(async move {
                tokio::select! {
                    biased;
                    _ = life.changed() => {}
                    () = this.serve(&mut connection) => {}
                }
                this.open.set(this.open.get() - 1);
                connection.reset();
            });
        }
    }

    /// One connection. When this returns it is reset.
    async fn serve(&self, connection: &mut Connection) {
        let kit = &self.kit;
        let idle = from_millis(kit.scenario.node.idle.0);
        let mut kept = false;
        loop {
            match tokio::time::timeout(idle, connection.begins()).await {
                Ok(Ok(())) => {}
                _ => return,
            }
            let begun = kit.now();
            // Forgotten by the node, or cut off in the middle of the writing.
            let forgotten = kept && kit.node_draw() < kit.part_now(TroubleKind::StaleConnections);
            let cut = kit.part_now(TroubleKind::ResetConnections);
            if forgotten || cut > 0.0 && kit.node_draw() < cut / 2.0 {
                return;
            }
            let message = match connection.read(false).await {
                Ok(message) => message,
                Err(NoMessage::Ended(_)) => return,
                Err(NoMessage::Malformed) => {
                    return kit.note(What::Foreign { node: self.number, id: "unreadable".into() });
                }
            };
            if message.target == "/alive" || message.target == "/metrics/load" {
                let _ = self.stalled.subscribe().wait_for(|on| !on).await;
                kit.note(What::Probed { node: self.number });
                if connection.write(ok(&self.report()).as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let id = message.header("req-id").unwrap_or("").to_owned();
            let known = id.parse::<TryId>().ok().filter(|id| kit.was_asked(*id));
            let class =
                message.target.split(['/', '?']).nth(1).and_then(|name| kit.scenario.class_named(name));
            let fits = |effect| (message.method == "GET") == (effect == Effect::Safe);
            let Some((id, class)) = known.zip(class.filter(|c| fits(c.effect))) else {
                kit.note(What::Foreign { node: self.number, id });
                let _ = connection.write(answer("400 Bad Request", "", "").as_bytes()).await;
                return;
            };
            let left = message.header("req-deadline-ms").and_then(|d| d.parse::<f64>().ok()).unwrap_or(0.0);
            let key = message.header("idempotency-key").filter(|_| class.effect == Effect::Keyed);
            let memory = class.memory.map_or(0.0, |m| m.0);
            let repeat = key.is_some_and(|key| self.knows(key, memory));
            let fresh = if kept { 0.0 } else { kit.scenario.node.handshake.0 };
            let work = if repeat { REPEAT_WORK } else { self.work_of(id, class.work.0) } + fresh;
            let attempt = kit.new_attempt();
            kit.note(What::Received { attempt, id, node: self.number, begun, work });
            let (waits, fate) = oneshot::channel();
            let job = Job { attempt, work, deadline: kit.now() + left };
            let key = key.map(|key| (key.to_owned(), memory));
            self.with(|life, now, steps| {
                life.waiting.insert(attempt, waits);
                life.keys.extend(key.map(|key| (attempt, key)));
                life.model.take(now, job, steps);
            });
            self.changed.notify_one();
            let cut_off = async {
                if cut > 0.0 && kit.node_draw() < cut / 2.0 {
                    kit.pause(CUT_WITHIN * kit.node_draw()).await;
                } else {
                    std::future::pending::<()>().await;
                }
            };
            let fate = tokio::select! {
                biased;
                fate = fate => fate,
                () = cut_off => return kit.note(What::Replied { attempt, reply: Reply::Cut }),
                // The gateway has given up; the work goes on all the same.
                () = connection.ends() => return kit.note(What::HungUp { attempt }),
            };
            let Ok(fate) = fate else { return };
            kept = true;
            if !self.reply(connection, attempt, id, &fate).await || message.closes() {
                return;
            }
        }
    }

    /// Writes an answer; whether the connection is of further use.
    async fn reply(&self, connection: &mut Connection, attempt: u32, id: TryId, fate: &Fate) -> bool {
        let kit = &self.kit;
        let (text, what) = match fate {
            Fate::Declined => {
                let text = answer("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
                (text.into_bytes(), What::Declined { attempt })
            }
            Fate::Done if kit.node_draw() < kit.part_now(TroubleKind::SpoilAnswers) => {
                (SPOILT.to_vec(), What::Replied { attempt, reply: Reply::Spoilt })
            }
            Fate::Done if kit.node_draw() < kit.scenario.node.errors.0 => {
                let text = answer("500 Internal Server Error", "", "");
                (text.into_bytes(), What::Replied { attempt, reply: Reply::Error })
            }
            Fate::Done => {
                let text = ok(&format!("{{\"try\":\"{id}\",\"attempt\":{attempt}}}\n"));
                (text.into_bytes(), What::Replied { attempt, reply: Reply::Whole })
            }
        };
        if connection.write(&text).await.is_err() {
            kit.note(What::HungUp { attempt });
            return false;
        }
        // No wait between the last byte and this line: whoever reads the answer writes later lines.
        kit.note(what);
        true
    }

    fn knows(&self, key: &str, memory: f64) -> bool {
        let now = self.kit.now();
        self.racks.borrow()[self.rack].keys.get(key).is_some_and(|at| now - at < memory)
    }

    /// The work of a request: the same for all its attempts, whoever asks.
    pub(super) fn work_of(&self, id: TryId, mean: f64) -> f64 {
        use rand::SeedableRng;
        let seed = self.kit.seed ^ u64::from(id.request).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        (exponential(&mut random) * mean).clamp(SMALLEST_WORK, LARGEST_WORK * mean)
    }

    fn report(&self) -> String {
        let now = self.kit.now();
        let every = self.kit.scenario.node.report_every.0;
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else { return String::new() };
        life.done.retain(|(at, _)| now - at < every.max(REPORT_OVER));
        let count = life.done.len();
        // A sum of nothing would be told as -0.0.
        let took = life.done.iter().fold(0.0, |sum, (_, took)| sum + took);
        let (service, queue) = (took / count.max(1) as f64, life.model.queue());
        format!("TEXT recent_ms={service:.1}, backlog={queue}, throughput={count}")
    }
}
