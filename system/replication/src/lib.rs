//! The store of configuration: one machine for each core, which holds a copy of every item (its *seat*) and lets any of them
//! take a write. In the literature's terms: a replicated register map under quorums with per-item stamps, whose writer of
//! the moment is fenced by a ballot.
//!
//! # What holds
//!
//! - An item that was acknowledged is on the disks of a quorum ([`quorum`]), and every later writer and every reader that
//!   asks a quorum finds it. Two quorums share two seats where the number of seats allows, so one that has forgotten
//!   everything cannot make it unseen.
//! - Nothing goes out as news before it is chosen; so nobody ever sees a value that might not come to be.
//! - A call is taken whole or not at all: its entries are one write, taken by each seat in one step of its disk.
//! - A call that was refused is never in force: who writes next takes from earlier turns only what may have been chosen
//!   ([`Replica::base`]), before it decides on anything.
//! - Copies merge name by name, the higher stamp stays: order, repetition and loss of words change nothing.
//!
//! # What the caller owes
//!
//! After each input: take [`Replica::take_writes`], bring them to the disk and sync, and only then carry out [`Replica::take_outputs`]. Words to
//! one seat go out in order or not at all. `now` never goes back.
//!
//! # Inside
//!
//! `seat` is what takes (promises, accepts), `writer` what proposes, `position` up to where a copy is complete, `catch_up` how one
//! that is not gets there, `founding` and `membership` who has a seat, `calls` what callers are told, `versions` what a change
//! comes to by the versions that its item has had.

mod calls;
mod catch_up;
mod founding;
mod membership;
mod position;
mod seat;
pub mod versions;
mod writer;

pub use catch_up::CHUNK_BYTES;
pub use founding::BootstrapRole;
pub use position::Progress;

pub use calls::Origin;

use fennelscale_config::ConfigIndex;
use fennelscale_messages::Host;
use fennelscale_messages::store::{
    Entry, Member, MemberList, NamedEntry, Stamp, StoreMessage, StoreResponse, Term,
};
use std::collections::{BTreeMap, BTreeSet};
use writer::Turn;
pub use writer::{ACCEPT_TIMEOUT, QUORUM_CONTACT_TIMEOUT};

/// Milliseconds of a clock that never goes back.
pub type Millis = f64;

/// The name of the list of seats.
pub const MEMBERS_KEY: &str = "m:seats";

/// Between two beats.
pub const HEARTBEAT_INTERVAL: Millis = 400.0;
/// A seat that was not heard for this long is not counted on: three beats, and the longest way.
pub const PEER_TIMEOUT: Millis = 1300.0;
/// A write that a living writer does not choose is asked for after this.
const STUCK: Millis = 2600.0;
/// Seats that ask by themselves do so one after the other, this far apart.
const APART: Millis = 250.0;

/// Of one name: what is chosen, and what was taken but is not known to be.
#[derive(Clone, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct Item {
    /// Chosen.
    pub chosen: Option<Entry>,
    /// Taken.
    pub pending: Option<Entry>,
}

/// What a seat must not forget beside its items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct AcceptorState {
    /// Nothing of earlier turns is taken any more.
    pub promised: Term,
    /// The turn whose first write was taken last.
    pub joined: Term,
}

/// What was on the disk at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// What was promised; none on an empty disk.
    pub acceptor: Option<AcceptorState>,
    /// How far the copy goes, and how this store was started first.
    pub progress: Progress,
    /// The items.
    pub items: BTreeMap<String, Item>,
}

impl PersistedState {
    /// What a disk holds after a write.
    pub fn apply(&mut self, writes: DiskWrites) {
        let DiskWrites { acceptor, progress, items } = writes;
        self.acceptor = acceptor.or(self.acceptor);
        self.progress = progress.unwrap_or(self.progress);
        self.items.extend(items);
    }
}

/// What must be on the disk before anything is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskWrites {
    /// The promises, where they have changed.
    pub acceptor: Option<AcceptorState>,
    /// How far the copy goes, with all else that is written.
    pub progress: Option<Progress>,
    /// The items that have changed.
    pub items: Vec<(String, Item)>,
}

/// What the host does, once the writes are safe.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a word to a seat.
    Send(Host, StoreMessage),
    /// Answers a call of this machine's registry.
    Answer(u64, StoreResponse),
    /// Tells the registry of entries that are chosen now.
    Chosen(Vec<NamedEntry>),
    /// Tells the registry of the seats.
    Members(MemberList),
    /// Tells the registry whether this copy is as new as a quorum's, with each beat.
    UpToDate(bool),
    /// A line for the log: the event and what it is about.
    Log(&'static str, String),
}

/// What the machine is told of its place.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This machine.
    pub local: Member,
    /// Machines that are told to be there, in the order of the settings.
    pub seeds: Vec<Host>,
    /// The whole system starts for the first time.
    pub bootstrap: bool,
    /// The machines, zones and regions that may be lost at once.
    pub fault_tolerance: (usize, usize, usize),
    /// A number of this life, for what is drawn by chance.
    pub incarnation: u64,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard: Millis,
    votes: bool,
    leaving: bool,
    unconfirmed: bool,
    /// The stamp after the newest entry that it holds as chosen.
    newest: Stamp,
    /// Beats in a row in which it held the same up to the same place, by its word, and something else by its digest.
    differs: u8,
}

/// One store.
#[derive(Clone, Debug)]
pub struct Replica {
    place: ReplicaConfig,
    acceptor: AcceptorState,
    items: BTreeMap<String, Item>,
    /// What the items say, by the newest word on each.
    standing: ConfigIndex,
    /// Of the chosen entries.
    digest: u64,
    /// The chosen entries by their stamps.
    by_stamp: BTreeSet<(Stamp, String)>,
    /// Names with something that was taken and is not known to be chosen.
    pending: BTreeSet<String>,
    progress: Progress,
    contiguous: position::Contiguous,
    transfer: Option<catch_up::Transfer>,
    seats: MemberList,
    /// This seat has forgotten nothing.
    votes: bool,
    leaving: bool,
    turn: Turn,
    peers: BTreeMap<Host, Peer>,
    /// When the last word of any kind came from each seat.
    contact: BTreeMap<Host, Millis>,
    /// Machines without a seat that would take one.
    candidates: BTreeMap<Host, membership::Candidate>,
    calls: calls::Calls,
    /// The highest turn that was heard of.
    round: u64,
    /// When the next beat, announcement and change of seats are due.
    beat_at: Millis,
    announce_at: Millis,
    reseat_at: Millis,
    /// When this life began, when the list of seats last changed, and the time as it was told last.
    born: Millis,
    seated: Millis,
    told: Millis,
    fresh: bool,
    /// The oldest write that was taken here and is not known to be chosen, and since when it is.
    stuck: Option<(Stamp, Millis)>,
    /// There was such a write on the disk at the start: it may have been acknowledged.
    inherited: bool,
    /// What learned from whom, while everything is forgotten.
    learned: BTreeSet<Host>,
    lesson: BTreeMap<String, Item>,
    dirty: BTreeSet<String>,
    dirty_acceptor: bool,
    dirty_progress: bool,
    news: Vec<NamedEntry>,
    out: Vec<Output>,
}

/// How many of these seats a write needs: so many that two quorums share two seats, where that many are still there after
/// the losses that are to be borne; else a bare majority, which is what is left then.
pub fn quorum(seats: &MemberList, (machines, zones, regions): (usize, usize, usize)) -> usize {
    let n = seats.members.len();
    let largest = |of: fn(&Member) -> &str, count: usize| {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        seats.members.iter().for_each(|seat| *sizes.entry(of(seat)).or_default() += 1);
        let mut sizes: Vec<usize> = sizes.into_values().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        sizes.into_iter().take(count).sum::<usize>()
    };
    let lost = machines.max(largest(|s| &s.zone, zones)).max(largest(|s| &s.region, regions));
    let majority = n / 2 + 1;
    let twice = (n + 3) / 2;
    twice.min(n.saturating_sub(lost)).max(majority).min(n.max(1))
}

impl Replica {
    /// A store with what its disk held.
    pub fn new(place: ReplicaConfig, memory: PersistedState, now: Millis) -> Self {
        let PersistedState { acceptor, progress, items } = memory;
        let blank = acceptor.is_none();
        let mut book = Self {
            acceptor: acceptor.unwrap_or_default(),
            items,
            standing: ConfigIndex::default(),
            digest: 0,
            by_stamp: BTreeSet::new(),
            pending: BTreeSet::new(),
            progress,
            contiguous: position::Contiguous::default(),
            transfer: None,
            seats: MemberList::default(),
            votes: false,
            leaving: false,
            turn: Turn::Idle,
            peers: BTreeMap::new(),
            contact: BTreeMap::new(),
            candidates: BTreeMap::new(),
            calls: calls::Calls::new(place.incarnation),
            round: 0,
            beat_at: now,
            announce_at: now,
            reseat_at: now,
            born: now,
            seated: now,
            told: now,
            fresh: false,
            stuck: None,
            inherited: false,
            learned: BTreeSet::new(),
            lesson: BTreeMap::new(),
            dirty: BTreeSet::new(),
            dirty_acceptor: false,
            dirty_progress: false,
            news: Vec::new(),
            out: Vec::new(),
            place,
        };
        book.round = book.acceptor.promised.number;
        book.index();
        book.contiguous = position::Contiguous::at_start(book.progress.position, book.acceptor.joined);
        book.take_seats();
        book.votes = !blank && book.is_seat(book.place.local.host);
        book.inherited = !book.pending.is_empty();
        if blank {
            book.note_first_start();
        }
        book
    }

    /// Makes all that is derived from the items.
    fn index(&mut self) {
        let names: Vec<String> = self.items.keys().cloned().collect();
        for name in &names {
            self.refact(name);
            let item = &self.items[name];
            if let Some(entry) = &item.chosen {
                self.digest ^= fennelscale_config::entry_hash((name, entry));
                self.by_stamp.insert((entry.stamp, name.clone()));
            }
            if item.pending.is_some() {
                self.pending.insert(name.clone());
            }
        }
    }

    /// What must be on the disk before [`Self::take_outputs`] are carried out.
    pub fn take_writes(&mut self) -> DiskWrites {
        let acceptor = std::mem::take(&mut self.dirty_acceptor).then_some(self.acceptor);
        let dirty = std::mem::take(&mut self.dirty);
        // How far the copy goes is told with what it goes by; alone it is not worth a sync.
        let write = std::mem::take(&mut self.dirty_progress) || acceptor.is_some() || !dirty.is_empty();
        let progress = write.then_some(self.progress);
        let item = |name: String| {
            let item = self.items.get(&name).cloned().unwrap_or_default();
            (name, item)
        };
        DiskWrites { acceptor, progress, items: dirty.into_iter().map(item).collect() }
    }

    /// What is to be done, in this order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let news = std::mem::take(&mut self.news);
        if !news.is_empty() {
            self.out.push(Output::Chosen(news));
        }
        std::mem::take(&mut self.out)
    }

    /// All that is chosen, for a registry that begins to listen.
    pub fn published_entries(&self) -> Vec<NamedEntry> {
        let chosen = self.chosen_entries().filter(|(name, _)| *name != MEMBERS_KEY);
        chosen.map(|(name, entry)| (name.clone(), versions::published(entry))).collect()
    }

    /// The entries that are chosen, the list of seats among them.
    pub fn chosen_entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.items.iter().filter_map(|(name, item)| Some((name, item.chosen.as_ref()?)))
    }

    /// The list of seats.
    pub fn members(&self) -> &MemberList {
        &self.seats
    }

    /// Whether this copy is as new as a quorum's.
    pub fn is_up_to_date(&self) -> bool {
        self.fresh
    }

    /// Whether this store is the one that writes.
    pub fn is_leader(&self) -> bool {
        matches!(self.turn, Turn::Holding(_))
    }

    /// Whether this store counts towards a quorum.
    pub fn is_voting(&self) -> bool {
        self.votes
    }

    /// What was promised.
    pub fn acceptor(&self) -> AcceptorState {
        self.acceptor
    }

    /// An item, with what is pending of it.
    pub fn item(&self, name: &str) -> Option<&Item> {
        self.items.get(name)
    }

    fn is_seat(&self, host: Host) -> bool {
        self.seats.members.iter().any(|seat| seat.host == host)
    }

    fn quorum(&self) -> usize {
        quorum(&self.seats, self.place.fault_tolerance)
    }

    fn others(&self) -> Vec<Host> {
        let me = self.place.local.host;
        self.seats.members.iter().map(|seat| seat.host).filter(|host| *host != me).collect()
    }

    fn send(&mut self, to: Host, word: StoreMessage) {
        self.out.push(Output::Send(to, word));
    }

    fn log(&mut self, event: &'static str, what: String) {
        self.out.push(Output::Log(event, what));
    }

    /// The newest word on a name: what is taken in this turn goes before what is chosen.
    fn view(&self, name: &str) -> Option<&Entry> {
        let item = self.items.get(name)?;
        item.pending.as_ref().or(item.chosen.as_ref())
    }

    fn refact(&mut self, name: &str) {
        let entry = self.view(name).and_then(|e| Some((e.host.clone(), e.body.clone()?)));
        let fact = entry.and_then(|(host, body)| fennelscale_config::parse_item(name, &host, &body).ok());
        self.standing.set(name, fact);
    }

    /// Time passes; to be told every so often, at least each quarter of a [`HEARTBEAT_INTERVAL`].
    pub fn tick(&mut self, now: Millis) {
        self.membership_tick(now);
        self.transfer_tick(now);
        self.writer_tick(now);
        self.calls_tick(now);
        if now < self.beat_at {
            return;
        }
        // After a start others are to find soon that this copy is as new as theirs, or not.
        self.beat_at = now + if self.fresh { HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL / 3.0 };
        self.look_stuck(now);
        if self.votes {
            let beat = StoreMessage::Heartbeat {
                members_version: self.seats.version,
                promised: self.acceptor.promised,
                voting: true,
                leaving: self.leaving,
                unconfirmed: self.inherited,
                newest: self.newest(),
                digest: self.digest,
            };
            for host in self.others() {
                self.send(host, beat.clone());
            }
        }
        self.look_fresh(now);
    }

    /// A copy is as new as a quorum's if it holds all that each of them held at its last beat. Changes in quick succession do not
    /// make it doubtful: places are compared, not contents at a moment.
    fn look_fresh(&mut self, now: Millis) {
        let position = self.progress.position;
        let covered = |peer: &Peer| {
            peer.votes && !peer.unconfirmed && now - peer.heard < PEER_TIMEOUT && peer.newest <= position
        };
        let heard = self.others().iter().filter(|host| self.peers.get(host).is_some_and(covered)).count();
        let enough = heard + usize::from(self.votes) >= self.quorum();
        self.fresh = !self.seats.members.is_empty() && enough && !self.inherited;
        // Said with each beat: the registry goes by it for a while only, since a store that hangs cannot take it back.
        self.out.push(Output::UpToDate(self.fresh));
    }

    /// Seats that ask by themselves take their turns, by their place in the list.
    pub(crate) fn place_in_list(&self) -> f64 {
        self.seats.members.iter().position(|seat| seat.host == self.place.local.host).unwrap_or(0) as f64
    }

    /// A write that was taken here stays unknown where its writer died before it could say that it is chosen, though it may have
    /// acknowledged it. Who takes the next turn finds out; with no caller, a seat does so by itself.
    fn look_stuck(&mut self, now: Millis) {
        let stamp = |name: &String| self.items[name].pending.as_ref().map(|entry| entry.stamp);
        let oldest = self.pending.iter().filter_map(stamp).min();
        let Some(oldest) = oldest else {
            (self.stuck, self.inherited) = (None, false);
            return;
        };
        if !self.votes || !matches!(self.turn, Turn::Idle) {
            return;
        }
        let since = self.stuck.filter(|(stamp, _)| *stamp == oldest).map_or(now, |(_, since)| since);
        self.stuck = Some((oldest, since));
        // A writer that lives will say so, unless it has forgotten.
        let wait = if self.writer(now).is_some() { STUCK } else { PEER_TIMEOUT };
        if now - since >= wait + self.place_in_list() * APART {
            self.stuck = None;
            self.ask_turn(now);
        }
    }

    /// A word from another store.
    pub fn receive(&mut self, now: Millis, from: Host, word: StoreMessage) {
        // Only who writes, or asks to, goes by it.
        if !matches!(self.turn, Turn::Idle) && self.is_seat(from) {
            self.contact.insert(from, now);
        }
        match word {
            StoreMessage::Announce { member: seat, position } => self.on_announce(now, from, seat, position),
            StoreMessage::Heartbeat {
                members_version: seats,
                promised,
                voting: votes,
                leaving,
                unconfirmed,
                newest,
                digest,
            } => {
                self.round = self.round.max(promised.number);
                let peer = self.peers.entry(from).or_default();
                (peer.heard, peer.votes, peer.leaving) = (now, votes, leaving);
                (peer.unconfirmed, peer.newest) = (unconfirmed, newest);
                if seats > self.seats.version {
                    self.announce_to(from);
                } else if seats < self.seats.version {
                    // Its place may have been taken while it was away: then nobody else says a word to it.
                    self.tell_seats(from);
                }
                if votes {
                    self.compare(now, from, newest, digest);
                }
            }
            StoreMessage::Prepare(epoch, since) => self.on_prepare(from, epoch, since),
            StoreMessage::Promise { term: epoch, joined, chosen, more, pending } => {
                if more {
                    self.give_up_asking(now, from, epoch);
                } else {
                    self.on_promise(now, from, epoch, joined, chosen, pending);
                }
            }
            StoreMessage::BeginTerm { term: epoch, entries, digest, missing: lacked } => {
                self.on_begin(from, epoch, entries, digest, lacked);
            }
            StoreMessage::Accept { stamp, entries, chosen } => self.on_accept(from, stamp, entries, chosen),
            StoreMessage::Accepted(stamp) => self.on_accepted(now, from, stamp),
            StoreMessage::Rejected(epoch) => self.on_refused(epoch),
            StoreMessage::Behind(epoch, since) => self.on_behind(from, epoch, since),
            StoreMessage::Chosen(stamp) => self.choose(stamp.term, stamp.sequence + 1),
            StoreMessage::MemberList(entry) => self.merge(vec![(MEMBERS_KEY.to_owned(), entry)]),
            StoreMessage::CatchUp => self.begin_transfer(now, from),
            StoreMessage::Fetch { since, after } => self.on_fetch(from, since, after),
            StoreMessage::Chunk(chunk) => self.on_chunk(now, from, chunk),
            StoreMessage::Recover(since) => self.on_learn(from, since),
            StoreMessage::RecoveryState { more: true, .. } => self.begin_transfer(now, from),
            StoreMessage::RecoveryState { promised, joined, chosen, more: false, pending } => {
                self.on_learned(from, promised, joined, chosen, pending);
            }
            StoreMessage::Forward(id, ask) => self.submit(now, Origin::Peer(from, id), ask),
            StoreMessage::ForwardResponse(id, told) => self.on_passed(now, from, id, told),
        }
    }
}
