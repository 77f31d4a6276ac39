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

mod acceptor;
mod bootstrap;
mod calls;
mod catch_up;
mod leader;
mod membership;
mod position;
pub mod versions;

pub use bootstrap::BootstrapRole;
pub use catch_up::CHUNK_BYTES;
pub use position::Progress;

pub use calls::Origin;

use fennelscale_config::Standing;
use fennelscale_messages::Host;
use fennelscale_messages::depot::{Entry, Epoch, Named, Seat, Seats, Stamp, Told, Word};
use leader::Role;
pub use leader::{ACCEPT_TIMEOUT, QUORUM_CONTACT_TIMEOUT};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of a clock that never goes back.
pub type Millis = f64;

/// The name of the list of seats.
pub const MEMBERS_KEY: &str = "m:seats";

/// Between two beats.
pub const HEARTBEAT_INTERVAL: Millis = 400.0;
/// A seat that was not heard for this long is not counted on: three beats, and the longest way.
pub const PEER_TIMEOUT: Millis = 1300.0;
/// A write that a living writer does not choose is asked for after this.
const STUCK_WRITE_TIMEOUT: Millis = 2600.0;
/// Seats that ask by themselves do so one after the other, this far apart.
const ELECTION_STAGGER: Millis = 250.0;

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
    pub promised: Epoch,
    /// The turn whose first write was taken last.
    pub joined: Epoch,
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
    Send(Host, Word),
    /// Answers a call of this machine's registry.
    Answer(u64, Told),
    /// Tells the registry of entries that are chosen now.
    Chosen(Vec<Named>),
    /// Tells the registry of the seats.
    Members(Seats),
    /// Tells the registry whether this copy is as new as a quorum's, with each beat.
    UpToDate(bool),
    /// A line for the log: the event and what it is about.
    Log(&'static str, String),
}

/// What the machine is told of its place.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This machine.
    pub local: Seat,
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
    last_heartbeat: Millis,
    voting: bool,
    leaving: bool,
    unconfirmed: bool,
    /// The stamp after the newest entry that it holds as chosen.
    chosen_end: Stamp,
    /// Beats in a row in which it held the same up to the same place, by its word, and something else by its digest.
    digest_mismatches: u8,
}

/// One store.
#[derive(Clone, Debug)]
pub struct Replica {
    config: ReplicaConfig,
    acceptor: AcceptorState,
    items: BTreeMap<String, Item>,
    /// What the items say, by the newest word on each.
    latest_config: Standing,
    /// Of the chosen entries.
    digest: u64,
    /// The chosen entries by their stamps.
    chosen_by_stamp: BTreeSet<(Stamp, String)>,
    /// Names with something that was taken and is not known to be chosen.
    pending_names: BTreeSet<String>,
    progress: Progress,
    accepted_prefix: position::AcceptedPrefix,
    transfer: Option<catch_up::Transfer>,
    members: Seats,
    /// This seat has forgotten nothing.
    voting: bool,
    leaving: bool,
    role: Role,
    peers: BTreeMap<Host, Peer>,
    /// When the last word of any kind came from each seat.
    last_contact: BTreeMap<Host, Millis>,
    /// Machines without a seat that would take one.
    learners: BTreeMap<Host, membership::Learner>,
    calls: calls::Calls,
    /// The highest turn that was heard of.
    highest_round: u64,
    /// When the next beat, announcement and change of seats are due.
    next_heartbeat: Millis,
    next_announcement: Millis,
    next_membership_change: Millis,
    /// When this life began, when the list of seats last changed, and the time as it was told last.
    started_at: Millis,
    members_changed_at: Millis,
    last_tick: Millis,
    up_to_date: bool,
    /// The oldest write that was taken here and is not known to be chosen, and since when it is.
    oldest_pending: Option<(Stamp, Millis)>,
    /// There was such a write on the disk at the start: it may have been acknowledged.
    unconfirmed: bool,
    /// What learned from whom, while everything is forgotten.
    recovery_sources: BTreeSet<Host>,
    recovered_pending: BTreeMap<String, Item>,
    dirty_items: BTreeSet<String>,
    dirty_acceptor: bool,
    dirty_progress: bool,
    newly_chosen: Vec<Named>,
    outputs: Vec<Output>,
}

/// How many of these seats a write needs: so many that two quorums share two seats, where that many are still there after
/// the losses that are to be borne; else a bare majority, which is what is left then.
pub fn quorum(seats: &Seats, (machines, zones, regions): (usize, usize, usize)) -> usize {
    let n = seats.seats.len();
    let largest = |of: fn(&Seat) -> &str, count: usize| {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        seats.seats.iter().for_each(|seat| *sizes.entry(of(seat)).or_default() += 1);
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
    pub fn new(config: ReplicaConfig, persisted: PersistedState, now: Millis) -> Self {
        let PersistedState { acceptor, progress, items } = persisted;
        let blank = acceptor.is_none();
        let mut replica = Self {
            acceptor: acceptor.unwrap_or_default(),
            items,
            latest_config: Standing::default(),
            digest: 0,
            chosen_by_stamp: BTreeSet::new(),
            pending_names: BTreeSet::new(),
            progress,
            accepted_prefix: position::AcceptedPrefix::default(),
            transfer: None,
            members: Seats::default(),
            voting: false,
            leaving: false,
            role: Role::Follower,
            peers: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            learners: BTreeMap::new(),
            calls: calls::Calls::new(config.incarnation),
            highest_round: 0,
            next_heartbeat: now,
            next_announcement: now,
            next_membership_change: now,
            started_at: now,
            members_changed_at: now,
            last_tick: now,
            up_to_date: false,
            oldest_pending: None,
            unconfirmed: false,
            recovery_sources: BTreeSet::new(),
            recovered_pending: BTreeMap::new(),
            dirty_items: BTreeSet::new(),
            dirty_acceptor: false,
            dirty_progress: false,
            newly_chosen: Vec::new(),
            outputs: Vec::new(),
            config,
        };
        replica.highest_round = replica.acceptor.promised.round;
        replica.rebuild_indexes();
        replica.accepted_prefix =
            position::AcceptedPrefix::at_start(replica.progress.position, replica.acceptor.joined);
        replica.load_members();
        replica.voting = !blank && replica.is_member(replica.config.local.host);
        replica.unconfirmed = !replica.pending_names.is_empty();
        if blank {
            replica.record_bootstrap_role();
        }
        replica
    }

    /// Makes all that is derived from the items.
    fn rebuild_indexes(&mut self) {
        let names: Vec<String> = self.items.keys().cloned().collect();
        for name in &names {
            self.update_config(name);
            let item = &self.items[name];
            if let Some(entry) = &item.chosen {
                self.digest ^= fennelscale_config::entry_hash((name, entry));
                self.chosen_by_stamp.insert((entry.stamp, name.clone()));
            }
            if item.pending.is_some() {
                self.pending_names.insert(name.clone());
            }
        }
    }

    /// What must be on the disk before [`Self::take_outputs`] are carried out.
    pub fn take_writes(&mut self) -> DiskWrites {
        let acceptor = std::mem::take(&mut self.dirty_acceptor).then_some(self.acceptor);
        let dirty = std::mem::take(&mut self.dirty_items);
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
        let news = std::mem::take(&mut self.newly_chosen);
        if !news.is_empty() {
            self.outputs.push(Output::Chosen(news));
        }
        std::mem::take(&mut self.outputs)
    }

    /// All that is chosen, for a registry that begins to listen.
    pub fn published_entries(&self) -> Vec<Named> {
        let chosen = self.chosen_entries().filter(|(name, _)| *name != MEMBERS_KEY);
        chosen.map(|(name, entry)| (name.clone(), versions::without_history(entry))).collect()
    }

    /// The entries that are chosen, the list of seats among them.
    pub fn chosen_entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.items.iter().filter_map(|(name, item)| Some((name, item.chosen.as_ref()?)))
    }

    /// The list of seats.
    pub fn members(&self) -> &Seats {
        &self.members
    }

    /// Whether this copy is as new as a quorum's.
    pub fn is_up_to_date(&self) -> bool {
        self.up_to_date
    }

    /// Whether this store is the one that writes.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this store counts towards a quorum.
    pub fn is_voting(&self) -> bool {
        self.voting
    }

    /// What was promised.
    pub fn acceptor(&self) -> AcceptorState {
        self.acceptor
    }

    /// An item, with what is pending of it.
    pub fn item(&self, name: &str) -> Option<&Item> {
        self.items.get(name)
    }

    fn is_member(&self, host: Host) -> bool {
        self.members.seats.iter().any(|seat| seat.host == host)
    }

    fn quorum(&self) -> usize {
        quorum(&self.members, self.config.fault_tolerance)
    }

    fn other_members(&self) -> Vec<Host> {
        let me = self.config.local.host;
        self.members.seats.iter().map(|seat| seat.host).filter(|host| *host != me).collect()
    }

    fn send(&mut self, to: Host, word: Word) {
        self.outputs.push(Output::Send(to, word));
    }

    fn log(&mut self, event: &'static str, what: String) {
        self.outputs.push(Output::Log(event, what));
    }

    /// The newest word on a name: what is taken in this turn goes before what is chosen.
    fn latest_entry(&self, name: &str) -> Option<&Entry> {
        let item = self.items.get(name)?;
        item.pending.as_ref().or(item.chosen.as_ref())
    }

    fn update_config(&mut self, name: &str) {
        let entry = self.latest_entry(name).and_then(|e| Some((e.host.clone(), e.body.clone()?)));
        let fact = entry.and_then(|(host, body)| fennelscale_config::fact(name, &host, &body).ok());
        self.latest_config.set(name, fact);
    }

    /// Time passes; to be told every so often, at least each quarter of a [`HEARTBEAT_INTERVAL`].
    pub fn tick(&mut self, now: Millis) {
        self.membership_tick(now);
        self.transfer_tick(now);
        self.leader_tick(now);
        self.calls_tick(now);
        if now < self.next_heartbeat {
            return;
        }
        // After a start others are to find soon that this copy is as new as theirs, or not.
        self.next_heartbeat =
            now + if self.up_to_date { HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL / 3.0 };
        self.resolve_stuck_write(now);
        if self.voting {
            let beat = Word::Beat {
                seats: self.members.version,
                promised: self.acceptor.promised,
                votes: true,
                leaving: self.leaving,
                unconfirmed: self.unconfirmed,
                newest: self.chosen_end(),
                digest: self.digest,
            };
            for host in self.other_members() {
                self.send(host, beat.clone());
            }
        }
        self.update_freshness(now);
    }

    /// A copy is as new as a quorum's if it holds all that each of them held at its last beat. Changes in quick succession do not
    /// make it doubtful: places are compared, not contents at a moment.
    fn update_freshness(&mut self, now: Millis) {
        let position = self.progress.position;
        let covered = |peer: &Peer| {
            peer.voting
                && !peer.unconfirmed
                && now - peer.last_heartbeat < PEER_TIMEOUT
                && peer.chosen_end <= position
        };
        let heard =
            self.other_members().iter().filter(|host| self.peers.get(host).is_some_and(covered)).count();
        let enough = heard + usize::from(self.voting) >= self.quorum();
        self.up_to_date = !self.members.seats.is_empty() && enough && !self.unconfirmed;
        // Said with each beat: the registry goes by it for a while only, since a store that hangs cannot take it back.
        self.outputs.push(Output::UpToDate(self.up_to_date));
    }

    /// Seats that ask by themselves take their turns, by their place in the list.
    pub(crate) fn member_index(&self) -> f64 {
        self.members.seats.iter().position(|seat| seat.host == self.config.local.host).unwrap_or(0) as f64
    }

    /// A write that was taken here stays unknown where its writer died before it could say that it is chosen, though it may have
    /// acknowledged it. Who takes the next turn finds out; with no caller, a seat does so by itself.
    fn resolve_stuck_write(&mut self, now: Millis) {
        let stamp = |name: &String| self.items[name].pending.as_ref().map(|entry| entry.stamp);
        let oldest = self.pending_names.iter().filter_map(stamp).min();
        let Some(oldest) = oldest else {
            (self.oldest_pending, self.unconfirmed) = (None, false);
            return;
        };
        if !self.voting || !matches!(self.role, Role::Follower) {
            return;
        }
        let since = self.oldest_pending.filter(|(stamp, _)| *stamp == oldest).map_or(now, |(_, since)| since);
        self.oldest_pending = Some((oldest, since));
        // A writer that lives will say so, unless it has forgotten.
        let wait = if self.known_leader(now).is_some() { STUCK_WRITE_TIMEOUT } else { PEER_TIMEOUT };
        if now - since >= wait + self.member_index() * ELECTION_STAGGER {
            self.oldest_pending = None;
            self.start_election(now);
        }
    }

    /// A word from another store.
    pub fn receive(&mut self, now: Millis, from: Host, word: Word) {
        // Only who writes, or asks to, goes by it.
        if !matches!(self.role, Role::Follower) && self.is_member(from) {
            self.last_contact.insert(from, now);
        }
        match word {
            Word::Announce { seat, position } => self.on_announce(now, from, seat, position),
            Word::Beat { seats, promised, votes, leaving, unconfirmed, newest, digest } => {
                self.highest_round = self.highest_round.max(promised.round);
                let peer = self.peers.entry(from).or_default();
                (peer.last_heartbeat, peer.voting, peer.leaving) = (now, votes, leaving);
                (peer.unconfirmed, peer.chosen_end) = (unconfirmed, newest);
                if seats > self.members.version {
                    self.announce_to(from);
                } else if seats < self.members.version {
                    // Its place may have been taken while it was away: then nobody else says a word to it.
                    self.send_members(from);
                }
                if votes {
                    self.compare_with_peer(now, from, newest, digest);
                }
            }
            Word::Prepare(epoch, since) => self.on_prepare(from, epoch, since),
            Word::Promise { epoch, joined, chosen, more, pending } => {
                if more {
                    self.abandon_election(now, from, epoch);
                } else {
                    self.on_promise(now, from, epoch, joined, chosen, pending);
                }
            }
            Word::Begin { epoch, entries, digest, lacked } => {
                self.on_begin(from, epoch, entries, digest, lacked);
            }
            Word::Accept { stamp, entries, chosen } => self.on_accept(from, stamp, entries, chosen),
            Word::Accepted(stamp) => self.on_accepted(now, from, stamp),
            Word::Refused(epoch) => self.on_refused(epoch),
            Word::Behind(epoch, since) => self.on_behind(from, epoch, since),
            Word::Chosen(stamp) => self.mark_chosen(stamp.epoch, stamp.turn + 1),
            Word::SeatList(entry) => self.merge_chosen(vec![(MEMBERS_KEY.to_owned(), entry)]),
            Word::CatchUp => self.start_transfer(now, from),
            Word::Fetch { since, after } => self.on_fetch(from, since, after),
            Word::Chunk(chunk) => self.on_chunk(now, from, chunk),
            Word::Learn(since) => self.on_recovery_request(from, since),
            Word::Learned { more: true, .. } => self.start_transfer(now, from),
            Word::Learned { promised, joined, chosen, more: false, pending } => {
                self.on_recovery_response(from, promised, joined, chosen, pending);
            }
            Word::Pass(id, ask) => self.submit(now, Origin::Peer(from, id), ask),
            Word::Passed(id, told) => self.on_forward_answer(now, from, id, told),
        }
    }
}
