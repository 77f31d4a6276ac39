//! Replicated store of configuration entries. Every core machine runs one replica, which holds a copy of
//! every entry, and any replica accepts calls.
//!
//! The algorithm is a quorum-replicated register map with a stamp per entry. A leader, fenced by its term as
//! in Multi-Paxos, orders the writes.
//!
//! # Invariants
//!
//! - An acknowledged entry is on the disks of a quorum ([`quorum`]), so every later leader and every reader
//!   that asks a quorum finds it. Where there are enough members two quorums share two of them, so one member
//!   that lost its disk cannot hide an entry.
//! - An entry is published only after it is chosen, so nobody sees a value that might still be discarded.
//! - A call is atomic: its entries form one write, which each member persists in one step.
//! - A rejected call never takes effect: before it decides on any call, a new leader takes over from earlier
//!   terms only what may have been chosen ([`Replica::recovered_entries`]).
//! - Copies merge entry by entry and the higher stamp wins, so reordered, repeated or lost messages are
//!   harmless.
//!
//! # Duties of the host
//!
//! After each input, persist and sync [`Replica::take_writes`], and only then carry out
//! [`Replica::take_outputs`]. Messages to one member are delivered in order or not at all. `now` never goes
//! back.
//!
//! # Modules
//!
//! - `acceptor`: promises, and acceptance of writes.
//! - `leader`: elections, and proposal of writes.
//! - `position`: up to which stamp a copy is complete.
//! - `catch_up`: transfer of missing entries.
//! - `bootstrap`, `membership`: who is a member.
//! - `calls`: calls and their responses.
//! - `versions`: how a change relates to the earlier versions of its entry.

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

use fennelscale_config::ConfigIndex;
use fennelscale_messages::Host;
use fennelscale_messages::store::{
    Entry, Member, MemberList, NamedEntry, Stamp, StoreMessage, StoreResponse, Term,
};
use leader::Role;
pub use leader::{ACCEPT_TIMEOUT, QUORUM_CONTACT_TIMEOUT};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of a monotonic clock.
pub type Millis = f64;

/// Name of the entry that holds the member list.
pub const MEMBERS_KEY: &str = "m:seats";

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = 400.0;
/// A member that was not heard from for this long does not count as up: three heartbeats and the longest
/// one-way delay.
pub const PEER_TIMEOUT: Millis = 1300.0;
/// Time after which a member starts an election because a leader that is up has not reported a write as
/// chosen.
const STUCK_WRITE_TIMEOUT: Millis = 2600.0;
/// Delay between the elections of successive members, so that they do not compete.
const ELECTION_STAGGER: Millis = 250.0;

/// State of one entry: the chosen version, and one that was accepted but is not known to be chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct Item {
    /// Newest version known to be chosen.
    pub chosen: Option<Entry>,
    /// Accepted version that is not known to be chosen.
    pub pending: Option<Entry>,
}

/// Durable state of the acceptor besides its entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct AcceptorState {
    /// Highest promised term; writes of earlier terms are rejected.
    pub promised: Term,
    /// Latest term whose first write was accepted.
    pub joined: Term,
}

/// Contents of the disk at startup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Acceptor state; none on an empty disk.
    pub acceptor: Option<AcceptorState>,
    /// Up to where the copy is complete, and the role at the first start.
    pub progress: Progress,
    /// Entries by name.
    pub items: BTreeMap<String, Item>,
}

impl PersistedState {
    /// Applies a write, as the disk does.
    pub fn apply(&mut self, writes: DiskWrites) {
        let DiskWrites { acceptor, progress, items } = writes;
        self.acceptor = acceptor.or(self.acceptor);
        self.progress = progress.unwrap_or(self.progress);
        self.items.extend(items);
    }
}

/// Changes that must be persisted before any output is carried out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskWrites {
    /// Acceptor state, if it changed.
    pub acceptor: Option<AcceptorState>,
    /// Progress, stored with every other write.
    pub progress: Option<Progress>,
    /// Entries that changed.
    pub items: Vec<(String, Item)>,
}

/// Action for the host to carry out once the writes are persisted.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a message to another replica.
    Send(Host, StoreMessage),
    /// Answers a call of the local registry.
    Answer(u64, StoreResponse),
    /// Reports newly chosen entries to the registry.
    Chosen(Vec<NamedEntry>),
    /// Reports the member list to the registry.
    Members(MemberList),
    /// Reports with each heartbeat whether this copy is as new as a quorum's.
    UpToDate(bool),
    /// Writes a log line: the event and its details.
    Log(&'static str, String),
}

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This machine.
    pub local: Member,
    /// Configured addresses of machines to contact first, in order.
    pub seeds: Vec<Host>,
    /// Whether the whole cluster starts for the first time.
    pub bootstrap: bool,
    /// Numbers of machines, zones and regions whose simultaneous loss is tolerated.
    pub fault_tolerance: (usize, usize, usize),
    /// Number of this incarnation of the process; also seeds random choices.
    pub incarnation: u64,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    last_heartbeat: Millis,
    voting: bool,
    leaving: bool,
    unconfirmed: bool,
    /// Stamp after the newest entry that the peer holds as chosen.
    chosen_end: Stamp,
    /// Consecutive heartbeats with the same position as this copy and a different digest.
    digest_mismatches: u8,
}

/// State machine of one replica.
#[derive(Clone, Debug)]
pub struct Replica {
    config: ReplicaConfig,
    acceptor: AcceptorState,
    items: BTreeMap<String, Item>,
    /// Configuration view of the latest version of each entry.
    latest_config: ConfigIndex,
    /// Hash of all chosen entries.
    digest: u64,
    /// Chosen entries by stamp.
    chosen_by_stamp: BTreeSet<(Stamp, String)>,
    /// Names of entries with an accepted version that is not known to be chosen.
    pending_names: BTreeSet<String>,
    progress: Progress,
    accepted_prefix: position::AcceptedPrefix,
    transfer: Option<catch_up::Transfer>,
    members: MemberList,
    /// Whether this member votes: it remembers every promise that it gave.
    voting: bool,
    leaving: bool,
    role: Role,
    peers: BTreeMap<Host, Peer>,
    /// When the last message of any kind came from each member.
    last_contact: BTreeMap<Host, Millis>,
    /// Machines that are not members and would like to be.
    learners: BTreeMap<Host, membership::Learner>,
    calls: calls::Calls,
    /// Highest term number seen.
    highest_term_number: u64,
    /// When the next heartbeat, announcement and membership change are due.
    next_heartbeat: Millis,
    next_announcement: Millis,
    next_membership_change: Millis,
    /// When this incarnation started, when the member list last changed, and the time of the last tick.
    started_at: Millis,
    members_changed_at: Millis,
    last_tick: Millis,
    up_to_date: bool,
    /// Oldest accepted write that is not known to be chosen, and since when it is pending.
    oldest_pending: Option<(Stamp, Millis)>,
    /// Whether such a write was on the disk at startup; it may have been acknowledged.
    unconfirmed: bool,
    /// Members whose state was received during recovery, and the pending entries that they reported.
    recovery_sources: BTreeSet<Host>,
    recovered_pending: BTreeMap<String, Item>,
    dirty_items: BTreeSet<String>,
    dirty_acceptor: bool,
    dirty_progress: bool,
    newly_chosen: Vec<NamedEntry>,
    outputs: Vec<Output>,
}

/// Number of members that a write needs. Two quorums share two members if that many remain after the
/// tolerated losses; otherwise a bare majority is enough, since no more would be left.
pub fn quorum(members: &MemberList, (machines, zones, regions): (usize, usize, usize)) -> usize {
    let n = members.members.len();
    let largest = |of: fn(&Member) -> &str, count: usize| {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        members.members.iter().for_each(|member| *sizes.entry(of(member)).or_default() += 1);
        let mut sizes: Vec<usize> = sizes.into_values().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        sizes.into_iter().take(count).sum::<usize>()
    };
    let lost = machines.max(largest(|s| &s.zone, zones)).max(largest(|s| &s.region, regions));
    let majority = n / 2 + 1;
    let two_shared = (n + 3) / 2;
    two_shared.min(n.saturating_sub(lost)).max(majority).min(n.max(1))
}

impl Replica {
    /// Creates a replica from the contents of its disk.
    pub fn new(config: ReplicaConfig, persisted: PersistedState, now: Millis) -> Self {
        let PersistedState { acceptor, progress, items } = persisted;
        let blank = acceptor.is_none();
        let mut replica = Self {
            acceptor: acceptor.unwrap_or_default(),
            items,
            latest_config: ConfigIndex::default(),
            digest: 0,
            chosen_by_stamp: BTreeSet::new(),
            pending_names: BTreeSet::new(),
            progress,
            accepted_prefix: position::AcceptedPrefix::default(),
            transfer: None,
            members: MemberList::default(),
            voting: false,
            leaving: false,
            role: Role::Follower,
            peers: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            learners: BTreeMap::new(),
            calls: calls::Calls::new(config.incarnation),
            highest_term_number: 0,
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
        replica.highest_term_number = replica.acceptor.promised.number;
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

    /// Rebuilds everything that is derived from the entries.
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

    /// Takes the changes that must be persisted before [`Self::take_outputs`] is carried out.
    pub fn take_writes(&mut self) -> DiskWrites {
        let acceptor = std::mem::take(&mut self.dirty_acceptor).then_some(self.acceptor);
        let dirty = std::mem::take(&mut self.dirty_items);
        // Progress is persisted with other changes; on its own it is not worth a sync.
        let write = std::mem::take(&mut self.dirty_progress) || acceptor.is_some() || !dirty.is_empty();
        let progress = write.then_some(self.progress);
        let item = |name: String| {
            let item = self.items.get(&name).cloned().unwrap_or_default();
            (name, item)
        };
        DiskWrites { acceptor, progress, items: dirty.into_iter().map(item).collect() }
    }

    /// Takes the pending actions, in the order in which they are to be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let chosen = std::mem::take(&mut self.newly_chosen);
        if !chosen.is_empty() {
            self.outputs.push(Output::Chosen(chosen));
        }
        std::mem::take(&mut self.outputs)
    }

    /// All chosen entries except the member list, for a registry that connects.
    pub fn published_entries(&self) -> Vec<NamedEntry> {
        let chosen = self.chosen_entries().filter(|(name, _)| *name != MEMBERS_KEY);
        chosen.map(|(name, entry)| (name.clone(), versions::without_history(entry))).collect()
    }

    /// All chosen entries, including the member list.
    pub fn chosen_entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.items.iter().filter_map(|(name, item)| Some((name, item.chosen.as_ref()?)))
    }

    /// Current member list.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Whether this copy is as new as a quorum's.
    pub fn is_up_to_date(&self) -> bool {
        self.up_to_date
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica votes and counts towards a quorum.
    pub fn is_voting(&self) -> bool {
        self.voting
    }

    /// Durable state of the acceptor.
    pub fn acceptor(&self) -> AcceptorState {
        self.acceptor
    }

    /// State of one entry, including its pending version.
    pub fn item(&self, name: &str) -> Option<&Item> {
        self.items.get(name)
    }

    fn is_member(&self, host: Host) -> bool {
        self.members.members.iter().any(|member| member.host == host)
    }

    fn quorum(&self) -> usize {
        quorum(&self.members, self.config.fault_tolerance)
    }

    fn other_members(&self) -> Vec<Host> {
        let local = self.config.local.host;
        self.members.members.iter().map(|member| member.host).filter(|host| *host != local).collect()
    }

    fn send(&mut self, to: Host, message: StoreMessage) {
        self.outputs.push(Output::Send(to, message));
    }

    fn log(&mut self, event: &'static str, details: String) {
        self.outputs.push(Output::Log(event, details));
    }

    /// Latest version of an entry: the pending one if there is one, otherwise the chosen one.
    fn latest_entry(&self, name: &str) -> Option<&Entry> {
        let item = self.items.get(name)?;
        item.pending.as_ref().or(item.chosen.as_ref())
    }

    fn update_config(&mut self, name: &str) {
        let entry = self.latest_entry(name).and_then(|e| Some((e.host.clone(), e.body.clone()?)));
        let fact = entry.and_then(|(host, body)| fennelscale_config::parse_item(name, &host, &body).ok());
        self.latest_config.set(name, fact);
    }

    /// Handles timeouts; must be called at least every quarter of a [`HEARTBEAT_INTERVAL`].
    pub fn tick(&mut self, now: Millis) {
        self.membership_tick(now);
        self.transfer_tick(now);
        self.leader_tick(now);
        self.calls_tick(now);
        if now < self.next_heartbeat {
            return;
        }
        // Until this copy is up to date, heartbeats are more frequent, so that both sides soon learn who is
        // behind.
        self.next_heartbeat =
            now + if self.up_to_date { HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL / 3.0 };
        self.resolve_stuck_write(now);
        if self.voting {
            let heartbeat = StoreMessage::Heartbeat {
                members_version: self.members.version,
                promised: self.acceptor.promised,
                voting: true,
                leaving: self.leaving,
                unconfirmed: self.unconfirmed,
                newest: self.chosen_end(),
                digest: self.digest,
            };
            for host in self.other_members() {
                self.send(host, heartbeat.clone());
            }
        }
        self.update_freshness(now);
    }

    /// A copy is as new as a quorum's if it is complete up to the positions that a quorum reported in its
    /// last heartbeats. Positions are compared rather than contents, so that a copy stays up to date during
    /// rapid changes.
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
        self.up_to_date = !self.members.members.is_empty() && enough && !self.unconfirmed;
        // Repeated with each heartbeat: the registry relies on it only for a short time, since a hung replica
        // cannot withdraw it.
        self.outputs.push(Output::UpToDate(self.up_to_date));
    }

    /// Position in the member list; staggers elections that members start by themselves.
    pub(crate) fn member_index(&self) -> f64 {
        self.members.members.iter().position(|member| member.host == self.config.local.host).unwrap_or(0)
            as f64
    }

    /// A leader may fail after it acknowledged a write and before it reported the write as chosen. The next
    /// leader finds out; without a call that triggers an election, a member starts one itself.
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
        // A leader that is up reports the write as chosen, unless it has forgotten it.
        let wait = if self.known_leader(now).is_some() { STUCK_WRITE_TIMEOUT } else { PEER_TIMEOUT };
        if now - since >= wait + self.member_index() * ELECTION_STAGGER {
            self.oldest_pending = None;
            self.start_election(now);
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Millis, from: Host, message: StoreMessage) {
        // Only the leader and candidates use the time of last contact.
        if !matches!(self.role, Role::Follower) && self.is_member(from) {
            self.last_contact.insert(from, now);
        }
        match message {
            StoreMessage::Announce { member, position } => self.on_announce(now, from, member, position),
            StoreMessage::Heartbeat {
                members_version: members,
                promised,
                voting,
                leaving,
                unconfirmed,
                newest,
                digest,
            } => {
                self.highest_term_number = self.highest_term_number.max(promised.number);
                let peer = self.peers.entry(from).or_default();
                (peer.last_heartbeat, peer.voting, peer.leaving) = (now, voting, leaving);
                (peer.unconfirmed, peer.chosen_end) = (unconfirmed, newest);
                if members > self.members.version {
                    self.announce_to(from);
                } else if members < self.members.version {
                    // It may have been replaced while it was away, in which case no other replica sends it
                    // anything.
                    self.send_members(from);
                }
                if voting {
                    self.compare_with_peer(now, from, newest, digest);
                }
            }
            StoreMessage::Prepare(term, since) => self.on_prepare(from, term, since),
            StoreMessage::Promise { term, joined, chosen, more, pending } => {
                if more {
                    self.abandon_election(now, from, term);
                } else {
                    self.on_promise(now, from, term, joined, chosen, pending);
                }
            }
            StoreMessage::BeginTerm { term, entries, digest, missing } => {
                self.on_begin(from, term, entries, digest, missing);
            }
            StoreMessage::Accept { stamp, entries, chosen } => self.on_accept(from, stamp, entries, chosen),
            StoreMessage::Accepted(stamp) => self.on_accepted(now, from, stamp),
            StoreMessage::Rejected(term) => self.on_rejected(term),
            StoreMessage::Behind(term, since) => self.on_behind(from, term, since),
            StoreMessage::Chosen(stamp) => self.mark_chosen(stamp.term, stamp.sequence + 1),
            StoreMessage::MemberList(entry) => self.merge_chosen(vec![(MEMBERS_KEY.to_owned(), entry)]),
            StoreMessage::CatchUp => self.start_transfer(now, from),
            StoreMessage::Fetch { since, after } => self.on_fetch(from, since, after),
            StoreMessage::Chunk(chunk) => self.on_chunk(now, from, chunk),
            StoreMessage::Recover(since) => self.on_recovery_request(from, since),
            StoreMessage::RecoveryState { more: true, .. } => self.start_transfer(now, from),
            StoreMessage::RecoveryState { promised, joined, chosen, more: false, pending } => {
                self.on_recovery_response(from, promised, joined, chosen, pending);
            }
            StoreMessage::Forward(id, request) => self.submit(now, Origin::Peer(from, id), request),
            StoreMessage::ForwardResponse(id, response) => self.on_forward_response(now, from, id, response),
        }
    }
}
