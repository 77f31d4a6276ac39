//! Stores with their disks, lines, clocks and callers, and all that may happen to them.
//!
//! Lines carry words in order; a word is on its way until it is delivered or its line breaks. What a process had sent may still
//! arrive after it died, also behind words of its next life: a line belongs to a life of its sender. Clocks are each store's own.
//! Beats are heard while a world is made and are lost while it is explored: what one hears of the others is then old, which is
//! the case that the store has to bear, and the bounds stay small.

use crate::mutants::Mutant;
use crate::properties::Violation;
use fennelscale_config::content_hash;
use fennelscale_messages::Host;
use fennelscale_messages::store::{Member, NamedEntry, Stamp, StoreMessage, StoreRequest, StoreResponse};
use fennelscale_replication::{Item, Millis, Origin, Output, PersistedState, Replica, ReplicaConfig};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::hash::{Hash, Hasher};

/// A store's clock goes on by this when its time passes: longer than any wait of a store but that for a machine that is gone.
pub const PASS: Millis = 1400.0;
/// One that learns goes on in smaller steps: it announces itself, and then asks.
const LEARNS: Millis = 450.0;
/// A world is made, and settles at its end, in steps of this.
const STEP: Millis = 100.0;
/// All stores found, take their seats and hear one another within this.
const FOUNDED: Millis = 4000.0;
/// Seats that are gone are given away, and whoever forgot has learned, within this.
const SETTLED: Millis = 12_000.0;

/// An empty machine has announced itself, fetched what there is and said so within this.
const LEARNED: Millis = 700.0;

/// A reader that is told that nothing is clear asks so often.
const READS: usize = 3;

/// What may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Steps of a store's clock, over all stores.
    pub passes: u8,
    /// Processes that die.
    pub crashes: u8,
    /// Disks that are lost with their processes.
    pub wipes: u8,
    /// Lines that break with all that is on its way on them.
    pub cuts: u8,
    /// Steps of the clocks of stores that learn.
    pub lessons: u8,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The first word on a line arrives: from which store's which life, to which store.
    Deliver(usize, u64, usize),
    /// A line breaks, and what was on it is lost.
    Cut(usize, u64, usize),
    /// The call of a number is made.
    Call(usize),
    /// Time passes at a store.
    Pass(usize),
    /// A process dies.
    Crash(usize),
    /// A process dies, and its disk is lost.
    Wipe(usize),
    /// A process starts.
    Start(usize),
}

#[derive(Clone, Debug)]
struct Node {
    seat: Member,
    disk: PersistedState,
    book: Option<Replica>,
    life: u64,
    clock: Millis,
    /// The versions that went out as news in this life.
    seen: BTreeMap<String, u64>,
}

impl Node {
    fn votes(&self) -> bool {
        self.book.as_ref().is_some_and(Replica::is_voting)
    }
}

/// A call that a scenario makes: where, and what for.
#[derive(Clone, Debug)]
pub struct Scripted {
    /// The store that is asked.
    pub at: usize,
    /// What for.
    pub ask: StoreRequest,
}

#[derive(Clone, Debug)]
struct Call {
    scripted: Scripted,
    made: bool,
    told: Option<StoreResponse>,
    /// For a reader: versions that were acknowledged before it came.
    owed: BTreeMap<String, u64>,
}

/// A contents' number: none where an item is dropped.
type Content = u64;

/// The world.
#[derive(Clone, Debug)]
pub struct World {
    nodes: Vec<Node>,
    lines: BTreeMap<(usize, u64, usize), VecDeque<StoreMessage>>,
    calls: Vec<Call>,
    contents: BTreeMap<(String, u64), Content>,
    left: Bounds,
    wiped: usize,
    /// Orders of evacuations in the order in which they came.
    orders: Vec<usize>,
    mutant: Option<Mutant>,
    hears_beats: bool,
    broken: Option<Violation>,
}

/// The text of a value goes into a hash without being kept.
struct Sink<'a, H>(&'a mut H);

impl<H: Hasher> std::fmt::Write for Sink<'_, H> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Whatever can be told apart when it is printed is told apart here.
        let _ = write!(Sink(state), "{self:?}");
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for World {}

impl World {
    /// Stores of so many seats, each in a zone of its own, at the first start of all.
    pub fn unfounded(seats: usize) -> Self {
        let node = |n: usize| Node {
            seat: Member { host: Host(n as u32 + 1), zone: format!("z{n}"), region: format!("r{n}") },
            disk: PersistedState::default(),
            book: None,
            life: 0,
            clock: 0.0,
            seen: BTreeMap::new(),
        };
        let mut world = Self {
            nodes: (0..seats).map(node).collect(),
            lines: BTreeMap::new(),
            calls: Vec::new(),
            contents: BTreeMap::new(),
            left: Bounds::default(),
            wiped: 0,
            orders: Vec::new(),
            // A world that is broken from the start shows nothing.
            mutant: None,
            hears_beats: true,
            broken: None,
        };
        (0..seats).for_each(|n| world.start(n, true));
        world
    }

    /// Stores of so many seats, each in a zone of its own, which have founded, and have taken the first calls.
    pub fn founded(seats: usize, first: &[Scripted], mutant: Option<Mutant>) -> Self {
        let mut world = Self::unfounded(seats);
        world.rest(FOUNDED);
        for scripted in first {
            world.calls.push(Call::of(scripted));
            world.call(world.calls.len() - 1);
            world.rest(1000.0);
            assert_eq!(
                world.calls.last().and_then(|c| c.told.clone()),
                Some(StoreResponse::Done),
                "a first call is taken"
            );
        }
        world.mutant = mutant;
        world
    }

    /// Calls that may be made, and what else may happen from now on.
    #[must_use]
    pub fn with(mut self, calls: &[Scripted], left: Bounds) -> Self {
        self.calls.extend(calls.iter().map(Call::of));
        self.left = left;
        self.hears_beats = false;
        self
    }

    /// An empty machine in the zone of one that is gone for good, with all beats heard for so long.
    #[must_use]
    pub fn replaced(mut self, gone: usize, span: Millis) -> Self {
        let zone = self.nodes[gone].seat.zone.clone();
        let region = self.nodes[gone].seat.region.clone();
        let clock = self.nodes[gone].clock;
        self.crash(gone);
        let seat = Member { host: Host(self.nodes.len() as u32 + 1), zone, region };
        let disk = PersistedState::default();
        self.nodes.push(Node { seat, disk, book: None, life: 0, clock, seen: BTreeMap::new() });
        // The machine that is gone is not yet given up when the world begins, and the empty one has learned by then.
        self.rest(span - LEARNED);
        self.start(self.nodes.len() - 1, false);
        self.rest(LEARNED);
        self
    }

    /// What does not hold, if something does not.
    pub fn violation(&self) -> Option<&Violation> {
        self.broken.as_ref()
    }

    /// Whether nothing more can happen by itself and none of the bounds is left.
    pub fn is_over(&self) -> bool {
        self.left == Bounds::default() && self.lines.values().all(VecDeque::is_empty)
    }

    /// What was told to a call.
    pub fn told(&self, call: usize) -> Option<&StoreResponse> {
        self.calls.get(call).and_then(|call| call.told.as_ref())
    }

    fn start(&mut self, n: usize, bootstrap: bool) {
        let seeds: Vec<Host> = self.nodes.iter().map(|node| node.seat.host).take(3).collect();
        let mutant = self.mutant;
        let node = &mut self.nodes[n];
        node.life += 1;
        node.seen.clear();
        let place = ReplicaConfig {
            local: node.seat.clone(),
            seeds,
            bootstrap,
            fault_tolerance: (1, 0, 0),
            incarnation: node.life,
        };
        let memory = node.disk.clone();
        let memory = if let Some(mutant) = mutant { mutant.memory(memory) } else { memory };
        node.book = Some(Replica::new(place, memory, node.clock));
        self.input(n, Replica::tick);
    }

    fn crash(&mut self, n: usize) {
        self.nodes[n].book = None;
        // What had not arrived is lost; what it had sent is not.
        self.lines.retain(|(_, _, to), _| *to != n);
    }

    fn wipe(&mut self, n: usize) {
        self.crash(n);
        let disk = &mut self.nodes[n].disk;
        *disk = self.mutant.map_or_else(PersistedState::default, |mutant| mutant.wiped(disk));
        self.wiped += 1;
    }

    fn at(&self, host: Host) -> Option<usize> {
        (host.0 as usize).checked_sub(1).filter(|n| *n < self.nodes.len())
    }

    /// Gives a store an input as its host does: what it writes is on the disk before anything is sent.
    fn input(&mut self, n: usize, input: impl FnOnce(&mut Replica, Millis)) {
        let node = &mut self.nodes[n];
        let Some(book) = node.book.as_mut() else { return };
        input(book, node.clock);
        let (writes, outs) = (book.take_writes(), book.take_outputs());
        let writes = if let Some(mutant) = self.mutant { mutant.writes(writes) } else { writes };
        node.disk.apply(writes);
        for out in outs {
            match out {
                Output::Send(_, StoreMessage::Heartbeat { .. }) if !self.hears_beats => {}
                Output::Send(to, word) => {
                    let (life, to) = (self.nodes[n].life, self.at(to));
                    // Nobody listens at a machine that is down.
                    if let Some(to) = to.filter(|to| self.nodes[*to].book.is_some()) {
                        self.lines.entry((n, life, to)).or_default().push_back(word);
                    }
                }
                Output::Chosen(entries) => entries.into_iter().for_each(|entry| self.news(n, entry)),
                Output::Answer(id, told) => self.answered(id as usize, told),
                Output::Members(_) | Output::UpToDate(_) | Output::Log(..) => {}
            }
        }
        self.look();
    }

    fn breaks(&mut self, violation: Violation) {
        self.broken.get_or_insert(violation);
    }

    fn news(&mut self, n: usize, (name, entry): NamedEntry) {
        let here = content_hash(&entry.host, entry.body.as_deref());
        let known = *self.contents.entry((name.clone(), entry.revision)).or_insert(here);
        if known != here {
            self.breaks(Violation::TwoContents(name.clone(), entry.revision));
        }
        if let Some(disks) = self.too_few_disks(&name, entry.revision) {
            self.breaks(Violation::EarlyNews(name.clone(), entry.revision, disks));
        }
        let seen = self.nodes[n].seen.entry(name.clone()).or_default();
        let before = *seen;
        *seen = entry.revision.max(before);
        if entry.revision < before {
            self.breaks(Violation::GoesBack(name, before, entry.revision));
        }
    }

    fn answered(&mut self, id: usize, told: StoreResponse) {
        let Some(call) = self.calls.get_mut(id) else { return };
        if call.told.is_some() {
            return self.breaks(Violation::AnsweredTwice(id));
        }
        call.told = Some(told.clone());
        if let StoreResponse::Items(items) = told {
            let read: BTreeMap<&str, u64> = items.iter().map(|(n, e)| (n.as_str(), e.revision)).collect();
            let old = call.owed.iter().find(|(name, owed)| read.get(name.as_str()).is_none_or(|r| r < *owed));
            if let Some((name, owed)) = old {
                let old = Violation::OldRead(name.clone(), *owed);
                self.breaks(old);
            }
        }
    }

    /// Versions that were acknowledged, the highest of each name.
    fn acknowledged(&self) -> BTreeMap<String, u64> {
        let mut all: BTreeMap<String, u64> = BTreeMap::new();
        for call in self.calls.iter().filter(|call| call.told == Some(StoreResponse::Done)) {
            if let StoreRequest::Change(changes) = &call.scripted.ask {
                for change in changes {
                    let known = all.entry(change.name.clone()).or_default();
                    *known = change.revision.max(*known);
                }
            }
        }
        all
    }

    /// On how many disks a version or a newer one is, if that is too few for it to stay.
    fn too_few_disks(&self, name: &str, revision: u64) -> Option<usize> {
        // The newest list of seats that anybody holds says how many are needed.
        let seats = self.nodes.iter().filter_map(|n| n.book.as_ref()).map(Replica::members);
        let seats = seats.max_by_key(|seats| seats.version)?;
        let listed = |node: &&Node| seats.members.iter().any(|seat| seat.host == node.seat.host);
        let holds = |node: &&Node| {
            let item: Option<&Item> = node.disk.items.get(name);
            let mut entries = item.into_iter().flat_map(|item| item.pending.iter().chain(&item.chosen));
            entries.any(|entry| entry.revision >= revision)
        };
        let disks = self.nodes.iter().filter(listed).filter(holds).count();
        (disks + self.wiped < fennelscale_replication::quorum(seats, (1, 0, 0))).then_some(disks)
    }

    /// What holds at every moment.
    fn look(&mut self) {
        let mut turns: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|n| n.book.as_ref())
            .filter(|b| b.is_leader())
            .map(|b| b.acceptor().promised)
            .collect();
        turns.sort_unstable();
        if turns.windows(2).any(|pair| pair[0] == pair[1]) {
            self.breaks(Violation::TwoWriters);
        }
        let mut lists: BTreeMap<u64, &[Member]> = BTreeMap::new();
        let books = self.nodes.iter().filter_map(|node| node.book.as_ref());
        let two = books
            .map(Replica::members)
            .filter(|seats| !seats.members.is_empty())
            .find(|seats| *lists.entry(seats.version).or_insert(&seats.members) != seats.members.as_slice());
        if let Some(version) = two.map(|seats| seats.version) {
            self.breaks(Violation::TwoLists(version));
        }
        for (name, revision) in self.acknowledged() {
            if let Some(disks) = self.too_few_disks(&name, revision) {
                self.breaks(Violation::TooFewDisks(name, revision, disks));
            }
        }
        for (id, call) in self.calls.iter().enumerate() {
            let (Some(StoreResponse::Conflict(_) | StoreResponse::Invalid(_)), StoreRequest::Change(changes)) =
                (&call.told, &call.scripted.ask)
            else {
                continue;
            };
            for change in changes {
                let here = content_hash(&change.host, change.body.as_deref());
                let same = |other: &Call| match &other.scripted.ask {
                    StoreRequest::Change(all) => all.contains(change),
                    _ => false,
                };
                // The very same change in another call may have been taken.
                let another = self.calls.iter().enumerate().any(|(at, other)| at != id && same(other));
                let in_force = self.contents.get(&(change.name.clone(), change.revision)) == Some(&here);
                if in_force && !another {
                    let found = Violation::RefusedInForce(change.name.clone(), change.revision);
                    return self.breaks(found);
                }
            }
        }
    }

    fn call(&mut self, id: usize) {
        let owed = self.acknowledged();
        let call = &mut self.calls[id];
        let Scripted { at, ask } = call.scripted.clone();
        call.made = true;
        if ask == StoreRequest::Read {
            call.owed = owed;
        }
        if matches!(ask, StoreRequest::Evacuate(..)) {
            self.orders.push(id);
        }
        self.input(at, |book, now| book.submit(now, Origin::Registry(id as u64), ask));
    }

    fn deliver(&mut self, from: usize, life: u64, to: usize) {
        let Some(line) = self.lines.get_mut(&(from, life, to)) else { return };
        let word = line.pop_front();
        if line.is_empty() {
            self.lines.remove(&(from, life, to));
        }
        let Some(word) = word else { return };
        let host = self.nodes[from].seat.host;
        if self.mutant == Some(Mutant::RefusedIsAccepted)
            && let Some(stamp) = written(&word)
            && self.nodes[to].book.as_ref().is_some_and(|book| book.acceptor().promised > stamp.term)
        {
            let back = (to, self.nodes[to].life, from);
            return self.lines.entry(back).or_default().push_back(StoreMessage::Accepted(stamp));
        }
        if self.mutant == Some(Mutant::RefusedIsPromise)
            && let StoreMessage::Rejected(_) = word
            && let Some(epoch) = self.nodes[to].book.as_ref().map(|book| book.acceptor().promised)
        {
            let (chosen, pending) = (Vec::new(), Vec::new());
            let promise = StoreMessage::Promise { term: epoch, joined: epoch, chosen, more: false, pending };
            return self.input(to, |book, now| book.receive(now, host, promise));
        }
        if self.mutant == Some(Mutant::ReadsOwnCopy)
            && let StoreMessage::ForwardResponse(id, StoreResponse::Fresh(_)) = word
        {
            // Any copy is as new as that.
            return self.input(to, |book, now| {
                book.receive(
                    now,
                    host,
                    StoreMessage::ForwardResponse(id, StoreResponse::Fresh(Stamp::default())),
                );
            });
        }
        let words = match self.mutant {
            Some(mutant) => {
                let all: Vec<Host> = self.nodes.iter().map(|node| node.seat.host).collect();
                mutant.word(host, &all, word)
            }
            None => vec![(host, word)],
        };
        for (host, word) in words {
            self.input(to, |book, now| book.receive(now, host, word));
        }
    }

    /// What may happen now.
    pub fn possible(&self, steps: &mut Vec<Step>) {
        steps.extend(self.lines.keys().map(|(from, life, to)| Step::Deliver(*from, *life, *to)));
        if self.left.cuts > 0 {
            steps.extend(self.lines.keys().map(|(from, life, to)| Step::Cut(*from, *life, *to)));
        }
        let up = |n: usize| self.nodes[n].book.is_some();
        let calls = self.calls.iter().enumerate().filter(|(_, call)| !call.made && up(call.scripted.at));
        steps.extend(calls.map(|(id, _)| Step::Call(id)));
        for (n, node) in self.nodes.iter().enumerate() {
            match &node.book {
                Some(book) => {
                    let left = if book.is_voting() { self.left.passes } else { self.left.lessons };
                    if left > 0 {
                        steps.push(Step::Pass(n));
                    }
                    if self.left.crashes > 0 {
                        steps.push(Step::Crash(n));
                    }
                    if self.left.wipes > 0 && book.is_voting() {
                        steps.push(Step::Wipe(n));
                    }
                }
                None => steps.push(Step::Start(n)),
            }
        }
    }

    /// The world after a step.
    #[must_use]
    pub fn after(&self, step: Step) -> Self {
        let mut world = self.clone();
        world.step(step);
        world
    }

    /// Takes a step that is possible.
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(from, life, to) => self.deliver(from, life, to),
            Step::Cut(from, life, to) => {
                self.left.cuts -= 1;
                self.lines.remove(&(from, life, to));
            }
            Step::Call(id) => self.call(id),
            Step::Pass(n) => {
                let votes = self.nodes[n].votes();
                let (left, span) =
                    if votes { (&mut self.left.passes, PASS) } else { (&mut self.left.lessons, LEARNS) };
                *left -= 1;
                self.nodes[n].clock += span;
                self.input(n, Replica::tick);
            }
            Step::Crash(n) => {
                self.left.crashes -= 1;
                self.crash(n);
            }
            Step::Wipe(n) => {
                self.left.wipes -= 1;
                self.wipe(n);
            }
            Step::Start(n) => self.start(n, false),
        }
    }

    /// Time passes for all, and every word arrives at once.
    fn rest(&mut self, span: Millis) {
        let mut passed = 0.0;
        while passed < span && self.broken.is_none() {
            passed += STEP;
            for n in 0..self.nodes.len() {
                self.nodes[n].clock += STEP;
                self.input(n, Replica::tick);
            }
            // Bounded: stores answer words, they do not begin talks of their own but when time passes.
            for _ in 0..10_000 {
                let Some((from, life, to)) = self.lines.keys().next().copied() else { break };
                self.deliver(from, life, to);
            }
        }
    }

    /// All is well again for a while: what does not hold then.
    pub fn settles(&self) -> Option<Violation> {
        self.settled().broken
    }

    /// The world after all has been well for a while.
    #[must_use]
    pub fn settled(&self) -> Self {
        let mut world = self.clone();
        world.hears_beats = true;
        // Clocks go on from the latest, so that nobody's time goes back.
        let latest = world.nodes.iter().map(|node| node.clock).fold(0.0, Millis::max);
        for n in 0..world.nodes.len() {
            world.nodes[n].clock = latest;
            if world.nodes[n].book.is_none() {
                world.start(n, false);
            }
        }
        world.rest(SETTLED);
        for at in 0..world.nodes.len() {
            // A machine whose place was taken has nothing to tell.
            let node = &world.nodes[at];
            let took_it = |other: &Node| other.votes() && other.seat.zone == node.seat.zone;
            if !node.votes() && world.nodes.iter().any(took_it) {
                continue;
            }
            // Who is told that nothing is clear asks again.
            let read = (0..READS).any(|_| {
                let id = world.calls.len();
                world.calls.push(Call::of(&Scripted { at, ask: StoreRequest::Read }));
                world.call(id);
                world.rest(1500.0);
                matches!(world.told(id), Some(StoreResponse::Items(_)))
            });
            if !read {
                world.breaks(Violation::NeverSettles(at));
            }
        }
        world.last_order();
        world
    }

    /// A step as text, with what it delivers or asks.
    pub fn named(&self, step: Step) -> String {
        match step {
            Step::Deliver(from, life, to) => {
                let word = self.lines.get(&(from, life, to)).and_then(VecDeque::front);
                format!("{from} to {to}: {word:?}")
            }
            Step::Call(id) => format!("call {id}: {:?}", self.calls[id].scripted),
            other => format!("{other:?}"),
        }
    }

    /// What each store is at, a line for each, for whoever reads a story.
    pub fn states(&self) -> String {
        let line = |(n, node): (usize, &Node)| match &node.book {
            None => {
                format!("  {n}: down, disk {}\n", if node.disk.acceptor.is_some() { "kept" } else { "empty" })
            }
            Some(book) => {
                let seats: Vec<u32> = book.members().members.iter().map(|seat| seat.host.0).collect();
                let role = match (book.is_leader(), book.is_voting()) {
                    (true, _) => "writes",
                    (false, true) => "votes",
                    (false, false) => "does not vote",
                };
                let (acceptor, version) = (book.acceptor(), book.members().version);
                let (round, joined) = (acceptor.promised.number, acceptor.joined.number);
                format!(
                    "  {n}: {role}, promised {round} by {}, joined {joined}, seats {version} {seats:?}\n",
                    acceptor.promised.leader.0
                )
            }
        };
        self.nodes.iter().enumerate().map(line).collect()
    }

    /// Of two orders on one zone the later one stands, if it was acknowledged.
    fn last_order(&mut self) {
        let Some(last) = self.orders.last().map(|id| &self.calls[*id]) else { return };
        let (StoreRequest::Evacuate(zone, on, _), Some(StoreResponse::Done)) =
            (&last.scripted.ask, &last.told)
        else {
            return;
        };
        let name = format!("e:{zone}");
        let stands = |node: &Node| {
            let item = node.disk.items.get(&name).and_then(|item| item.chosen.as_ref());
            item.is_some_and(|entry| entry.body.is_some())
        };
        if self.nodes.iter().any(|node| node.votes() && stands(node) != *on) {
            self.breaks(Violation::OvertakenOrder(name));
        }
    }
}

/// The write that a word brings.
fn written(word: &StoreMessage) -> Option<Stamp> {
    match word {
        StoreMessage::BeginTerm { term: epoch, .. } => Some(Stamp { term: *epoch, sequence: 0 }),
        StoreMessage::Accept { stamp, .. } => Some(*stamp),
        _ => None,
    }
}

impl Call {
    fn of(scripted: &Scripted) -> Self {
        Self { scripted: scripted.clone(), made: false, told: None, owed: BTreeMap::new() }
    }
}
