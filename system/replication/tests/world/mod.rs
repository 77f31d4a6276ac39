//! Stores in virtual time: seats of three regions, links that delay, cut and reorder nothing, processes that die with or
//! without their disks, machines that are replaced. It believes none of the stores: what callers were told and what went out
//! as news is noted and compared.

use fennelscale_messages::Host;
use fennelscale_messages::mix;
use fennelscale_messages::store::{Change, Member, StoreMessage, StoreRequest, StoreResponse};
use fennelscale_replication::{AcceptorState, Item, Origin, Output, PersistedState, Replica, ReplicaConfig};
use std::collections::{BTreeMap, BTreeSet};

const STEP: f64 = 50.0;

/// Numbers by chance, the same for the same seed.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(mix(seed ^ 0x5eed))
    }
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }
    pub fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

struct Node {
    seat: Member,
    disk: PersistedState,
    book: Option<Replica>,
    lives: u64,
    /// Versions that went out as news in this life.
    seen: BTreeMap<String, u64>,
    gone: bool,
}

struct Call {
    ask: StoreRequest,
    told: Option<StoreResponse>,
    began: f64,
}

/// What can be broken on purpose, to see that the world finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutant {
    None,
    /// Words go out before their writes are on the disk.
    NoSync,
    /// A machine that lost its disk takes itself for one that did not.
    AmnesiacVotes,
}

/// A word on its way: to, from, and the lives of both when it was sent.
type Sent = (usize, usize, StoreMessage, u64, u64);

pub struct World {
    pub now: f64,
    pub chance: Chance,
    nodes: Vec<Node>,
    wire: BTreeMap<(u64, u64), Sent>,
    order: u64,
    last: BTreeMap<(usize, usize), f64>,
    cut: BTreeSet<(usize, usize)>,
    calls: BTreeMap<u64, Call>,
    /// Contents by name and version, as anybody saw them.
    contents: BTreeMap<(String, u64), Option<String>>,
    /// Refused calls: name, version and content, and when.
    refused: Vec<(String, u64, Option<String>, f64)>,
    pub broken: Vec<String>,
    pub acknowledged: usize,
    mutant: Mutant,
    seeds: Vec<Host>,
    longest: usize,
}

fn seat(n: usize, zone: usize) -> Member {
    Member { host: Host(n as u32 + 1), zone: format!("z{zone}"), region: format!("r{}", zone % 3) }
}

fn node(n: usize, zone: usize) -> Node {
    let (disk, seen) = (PersistedState::default(), BTreeMap::new());
    Node { seat: seat(n, zone), disk, book: None, lives: 0, seen, gone: false }
}

impl World {
    pub fn new(seed: u64, seats: usize, mutant: Mutant) -> Self {
        let mut world = Self::unfounded(seed, seats, mutant);
        world.run(4000.0);
        world
    }

    /// All stores have just started for the first time.
    pub fn unfounded(seed: u64, seats: usize, mutant: Mutant) -> Self {
        let mut world = Self {
            now: 0.0,
            chance: Chance::new(seed),
            nodes: (0..seats).map(|n| node(n, n)).collect(),
            wire: BTreeMap::new(),
            order: 0,
            last: BTreeMap::new(),
            cut: BTreeSet::new(),
            calls: BTreeMap::new(),
            contents: BTreeMap::new(),
            refused: Vec::new(),
            broken: Vec::new(),
            acknowledged: 0,
            mutant,
            seeds: (0..3.min(seats)).map(|n| seat(n, n).host).collect(),
            longest: 0,
        };
        (0..seats).for_each(|n| world.start(n, true));
        world
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].book.is_some()
    }

    pub fn start(&mut self, n: usize, bootstrap: bool) {
        let now = self.now;
        // The operator's list as it stands when the settings are written.
        let listed = self.nodes.iter().filter(|node| !node.gone).map(|node| node.seat.host);
        let seeds = if bootstrap { self.seeds.clone() } else { listed.take(3).collect() };
        let node = &mut self.nodes[n];
        if node.book.is_some() || node.gone {
            return;
        }
        node.lives += 1;
        node.seen.clear();
        let place = ReplicaConfig {
            local: node.seat.clone(),
            seeds,
            bootstrap,
            fault_tolerance: (1, 1, 1),
            incarnation: mix(n as u64 ^ node.lives << 32) >> 24,
        };
        node.book = Some(Replica::new(place, node.disk.clone(), now));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].book = None;
    }

    pub fn wipe(&mut self, n: usize) {
        self.kill(n);
        let forgets = self.mutant != Mutant::AmnesiacVotes;
        let node = &mut self.nodes[n];
        let (acceptor, seats) =
            (node.disk.acceptor, node.disk.items.remove(fennelscale_replication::MEMBERS_KEY));
        node.disk = PersistedState::default();
        if !forgets {
            node.disk.acceptor = acceptor.map(|_| AcceptorState::default());
            node.disk
                .items
                .extend(seats.map(|seats| (fennelscale_replication::MEMBERS_KEY.to_owned(), seats)));
        }
    }

    /// A machine goes for good, an empty one comes in its zone.
    pub fn replace(&mut self, n: usize, planned: bool) {
        if self.nodes[n].gone {
            return;
        }
        let fresh = self.nodes.len();
        let zone = self.nodes[n].seat.zone[1..].parse().unwrap();
        self.nodes.push(node(fresh, zone));
        if planned {
            self.start(fresh, false);
            self.run(500.0);
            self.with(n, Replica::begin_leave);
            self.run(700.0);
        }
        self.kill(n);
        self.nodes[n].gone = true;
        self.start(fresh, false);
    }

    pub fn cut(&mut self, a: usize, b: usize, one_way: bool) {
        self.cut.insert((a, b));
        if !one_way {
            self.cut.insert((b, a));
        }
    }

    /// Cuts a store off from all the others.
    pub fn isolate(&mut self, n: usize) {
        (0..self.len()).filter(|other| *other != n).for_each(|other| self.cut(n, other, false));
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    fn at(&self, host: Host) -> Option<usize> {
        self.nodes.iter().position(|node| node.seat.host == host)
    }

    fn with(&mut self, n: usize, input: impl FnOnce(&mut Replica, f64)) {
        let now = self.now;
        let Some(book) = self.nodes[n].book.as_mut() else { return };
        input(book, now);
        let writes = book.take_writes();
        let outs = book.take_outputs();
        // A host that does not sync loses what the last steps wrote.
        if self.mutant != Mutant::NoSync || self.chance.share() < 0.3 {
            self.nodes[n].disk.apply(writes);
        }
        outs.into_iter().for_each(|out| self.carry_out(n, out));
    }

    fn carry_out(&mut self, n: usize, out: Output) {
        match out {
            Output::Send(to, word) => {
                let Some(to) = self.at(to) else { return };
                if matches!(
                    word,
                    StoreMessage::Chunk(_)
                        | StoreMessage::RecoveryState { .. }
                        | StoreMessage::Promise { .. }
                        | StoreMessage::BeginTerm { .. }
                ) {
                    self.longest = self.longest.max(fennelscale_messages::encode_frame(&word).len());
                }
                let near = self.nodes[n].seat.region == self.nodes[to].seat.region;
                let way = if near { 1.0 } else { 55.0 } * (1.0 + 0.5 * self.chance.share());
                // One line, in order.
                let due = (self.now + way).max(self.last.get(&(n, to)).copied().unwrap_or(0.0));
                self.last.insert((n, to), due);
                self.order += 1;
                let lives = (self.nodes[n].lives, self.nodes[to].lives);
                self.wire.insert(((due * 1000.0) as u64, self.order), (to, n, word, lives.0, lives.1));
            }
            Output::Chosen(entries) => entries.into_iter().for_each(|entry| self.news(n, entry)),
            Output::Answer(id, told) => self.answered(id, told),
            Output::Members(_) | Output::UpToDate(_) | Output::Log(..) => {}
        }
    }

    fn news(&mut self, n: usize, (name, entry): fennelscale_messages::store::NamedEntry) {
        let content = entry.body.clone().map(|body| format!("{}{body}", entry.host));
        let known = self.contents.entry((name.clone(), entry.revision)).or_insert_with(|| content.clone());
        if *known != content {
            self.broken.push(format!("{name} {} has two contents", entry.revision));
        }
        let seen = self.nodes[n].seen.entry(name.clone()).or_default();
        if entry.revision < *seen {
            self.broken.push(format!("{name} goes back from {seen} to {}", entry.revision));
        }
        *seen = entry.revision;
        let same = |(of, revision, body, _): &&(String, u64, Option<String>, f64)| {
            *of == name && *revision == entry.revision && *body == entry.body
        };
        // Another call with the very same change may have been taken where this one was refused.
        let another = self.calls.values().any(|call| {
            let refused = matches!(call.told, Some(StoreResponse::Conflict(_) | StoreResponse::Invalid(_)));
            let StoreRequest::Change(changes) = &call.ask else { return false };
            let same = |c: &Change| c.name == name && c.revision == entry.revision && c.body == entry.body;
            !refused && changes.iter().any(same)
        });
        if let Some((.., at)) = self.refused.iter().find(same).filter(|_| !another) {
            self.broken.push(format!("{name} {} was refused at {at} and is in force", entry.revision));
        }
    }

    fn answered(&mut self, id: u64, told: StoreResponse) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.told.is_some() {
            self.broken.push(format!("call {id} was answered twice"));
        }
        if let (StoreResponse::Conflict(_) | StoreResponse::Invalid(_), StoreRequest::Change(changes)) =
            (&told, &call.ask)
        {
            for c in changes {
                let standing = self.contents.contains_key(&(c.name.clone(), c.revision));
                // What stood before it was refused is not this call's doing.
                if !standing {
                    self.refused.push((c.name.clone(), c.revision, c.body.clone(), now));
                }
            }
        }
        self.acknowledged += usize::from(told == StoreResponse::Done);
        call.told = Some(told);
    }

    pub fn is_writer(&self, n: usize) -> bool {
        self.nodes[n].book.as_ref().is_some_and(Replica::is_leader)
    }

    pub fn is_fresh(&self, n: usize) -> bool {
        self.nodes[n].book.as_ref().is_some_and(Replica::is_up_to_date)
    }

    /// Machines with a seat, as a store knows the list.
    pub fn seats(&self, n: usize) -> Vec<usize> {
        let seats = self.nodes[n].book.iter().flat_map(|book| &book.members().members);
        seats.filter_map(|seat| self.at(seat.host)).collect()
    }

    /// An empty machine in the zone of another starts, and waits for a seat there. Its number.
    pub fn joins(&mut self, zone_of: usize) -> usize {
        let fresh = self.nodes.len();
        let zone = self.nodes[zone_of].seat.zone[1..].parse().unwrap();
        self.nodes.push(node(fresh, zone));
        self.start(fresh, false);
        fresh
    }

    /// A machine goes for good.
    pub fn is_lost(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].gone = true;
    }

    /// A store is told that its process is about to end.
    pub fn leave(&mut self, n: usize) {
        self.with(n, Replica::begin_leave);
    }

    pub fn waits_to_leave(&self, n: usize) -> Option<&'static str> {
        self.nodes[n].book.as_ref().and_then(|book| book.leave_blocker(self.now))
    }

    /// The most bytes that one message has had so far.
    pub fn longest_message(&self) -> usize {
        self.longest
    }

    /// The one who writes, if one does.
    pub fn writer(&self) -> Option<usize> {
        (0..self.len()).find(|n| self.nodes[*n].book.as_ref().is_some_and(Replica::is_leader))
    }

    /// A process dies, and what it had sent is lost with it.
    pub fn vanish(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].lives += 1;
    }

    /// Hands a store a word; what it answers its sender.
    pub fn hand(&mut self, to: usize, from: usize, word: StoreMessage) -> Vec<StoreMessage> {
        let (now, host) = (self.now, self.nodes[from].seat.host);
        let Some(book) = self.nodes[to].book.as_mut() else { return Vec::new() };
        book.receive(now, host, word);
        let answers = book.take_outputs().into_iter();
        answers
            .filter_map(
                |out| if let Output::Send(to, word) = out { (to == host).then_some(word) } else { None },
            )
            .collect()
    }

    pub fn acceptor(&self, n: usize) -> Option<AcceptorState> {
        self.nodes[n].book.as_ref().map(Replica::acceptor)
    }

    /// A machine whose place was taken starts again.
    pub fn comes_back(&mut self, n: usize) {
        self.nodes[n].gone = false;
        self.start(n, false);
    }

    pub fn is_voting(&self, n: usize) -> Option<bool> {
        self.nodes[n].book.as_ref().map(Replica::is_voting)
    }

    pub fn item(&self, n: usize, name: &str) -> Option<Item> {
        self.nodes[n].book.as_ref().and_then(|book| book.item(name)).cloned()
    }

    /// What a store holds as chosen, in one hash.
    pub fn digest(&self, n: usize) -> u64 {
        let chosen = self.nodes[n].book.iter().flat_map(Replica::chosen_entries);
        chosen.fold(0, |digest, (name, entry)| digest ^ fennelscale_config::entry_hash((name, entry)))
    }

    pub fn position(&self, n: usize) -> fennelscale_messages::store::Stamp {
        self.nodes[n].book.as_ref().map(Replica::position).unwrap_or_default()
    }

    pub fn call(&mut self, n: usize, ask: StoreRequest) -> u64 {
        let id = self.calls.len() as u64 + 1;
        self.calls.insert(id, Call { ask: ask.clone(), told: None, began: self.now });
        self.with(n, |book, now| book.submit(now, Origin::Registry(id), ask));
        id
    }

    pub fn told(&self, id: u64) -> Option<StoreResponse> {
        self.calls.get(&id).and_then(|call| call.told.clone())
    }

    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        let mut next_tick = self.now;
        while self.now < end && self.broken.is_empty() {
            next_tick += STEP;
            while let Some(entry) = self.wire.first_entry() {
                let due = entry.key().0 as f64 / 1000.0;
                if due > next_tick {
                    break;
                }
                let (to, from, word, from_life, to_life) = entry.remove();
                self.now = self.now.max(due);
                // A line ends with either process, and a cut holds nothing back for later.
                let stands = self.nodes[to].lives == to_life && self.nodes[from].lives == from_life;
                if stands && !self.cut.contains(&(from, to)) {
                    let host = self.nodes[from].seat.host;
                    self.with(to, |book, now| book.receive(now, host, word));
                }
            }
            self.now = next_tick;
            (0..self.nodes.len()).for_each(|n| self.with(n, Replica::tick));
            let writers = self.nodes.iter().filter_map(|n| n.book.as_ref()).filter(|b| b.is_leader());
            let mut turns: Vec<_> = writers.map(|b| b.acceptor().promised).collect();
            turns.sort_unstable();
            if turns.windows(2).any(|pair| pair[0] == pair[1]) {
                self.broken.push("two write in one turn".into());
            }
        }
    }

    /// Everything is up and connected again: what was acknowledged must be there, wherever it is read.
    pub fn settle(&mut self) {
        self.heal();
        (0..self.len()).for_each(|n| self.start(n, false));
        self.run(9000.0);
        let live: Vec<usize> = (0..self.len()).filter(|n| !self.nodes[*n].gone).collect();
        for n in live {
            let read = (0..6).find_map(|_| {
                let id = self.call(n, StoreRequest::Read);
                self.run(1500.0);
                if let Some(StoreResponse::Items(items)) = self.told(id) { Some(items) } else { None }
            });
            match read {
                Some(items) => self.compare(n, &items.into_iter().collect()),
                None => {
                    let state = |node: &Node| {
                        let book = node.book.as_ref()?;
                        let seats: Vec<u32> = book.members().members.iter().map(|s| s.host.0).collect();
                        Some((
                            node.seat.host.0,
                            node.gone,
                            book.is_voting(),
                            book.is_leader(),
                            book.acceptor(),
                            seats,
                        ))
                    };
                    let states: Vec<_> = self.nodes.iter().map(state).collect();
                    self.broken.push(format!("nothing could be read at {n}: {states:?}"));
                }
            }
        }
    }

    fn compare(&mut self, n: usize, items: &BTreeMap<String, fennelscale_messages::store::Entry>) {
        let changes = |call: &Call| {
            if let StoreRequest::Change(changes) = &call.ask { changes.clone() } else { Vec::new() }
        };
        let mut broken = Vec::new();
        for call in self.calls.values().filter(|call| call.told == Some(StoreResponse::Done)) {
            for change in changes(call) {
                let standing = items.get(&change.name);
                // A newer version that dropped it may be in force.
                let mut all = self.calls.values().flat_map(changes);
                let dropped =
                    all.any(|c| c.name == change.name && c.body.is_none() && c.revision >= change.revision);
                let there = standing.is_some_and(|entry| entry.revision >= change.revision);
                let as_sent = standing
                    .is_none_or(|e| e.revision != change.revision || e.body == change.body || dropped);
                let wrong = match change.body {
                    Some(_) => !there && !dropped || !as_sent,
                    None => standing.is_some_and(|entry| entry.revision <= change.revision),
                };
                if wrong {
                    let read = standing.map(|entry| entry.revision);
                    broken.push(format!(
                        "{} {} was acknowledged; {n} reads {read:?}",
                        change.name, change.revision
                    ));
                }
            }
            if let StoreRequest::Evacuate(zone, on, _) = &call.ask {
                let later = |o: &Call| {
                    matches!(&o.ask, StoreRequest::Evacuate(z, ..) if z == zone) && o.began > call.began
                };
                if !self.calls.values().any(later) {
                    let stands = self.nodes[n].book.as_ref().and_then(|b| b.item(&format!("e:{zone}")));
                    let stands = stands.and_then(|i| i.chosen.as_ref()).is_some_and(|e| e.body.is_some());
                    if stands != *on {
                        broken.push(format!("evacuation of {zone} ({on}) is lost at {n}"));
                    }
                }
            }
        }
        self.broken.extend(broken);
    }
}

/// A route as an operator sends it.
pub fn change(name: usize, revision: u64, prefix: usize, mark: u64) -> Change {
    let timeout = mark % 60_000 + 1;
    let body = format!(
        r#"{{"routeType":"upload","matchCriteria":{{"pathPrefix":"/{prefix}/"}},"action":{{"service":"s","timeout":"{timeout}ms"}}}}"#
    );
    Change { name: format!("r:{name}"), revision, host: "h".into(), body: Some(body) }
}

/// The service that all routes name.
pub fn service() -> Change {
    let body = Some(r#"{"healthCheckPath":"/health"}"#.into());
    Change { name: "s:s".into(), revision: 1, host: String::new(), body }
}

/// Has the stores take their first call.
pub fn ready(world: &mut World) {
    let id = world.call(1, StoreRequest::Change(vec![service(), change(0, 1, 0, 0)]));
    world.run(1500.0);
    assert_eq!(world.told(id), Some(StoreResponse::Done), "the first call is taken");
}
