//! One gateway's part in the fleet: members, the log as keeper or follower, its own wishes and rights.

use crate::disk::{Found, Write};
use crate::identity::Identity;
use crate::keeper::{Keeper, ReplaceError};
use crate::lease::{Ask, Fence, Holder};
use crate::members::{Change, Members};
use crate::rules::{
    FOLLOW, FORGET_FOLLOWER, MOST_BATCH, MOST_CONTENT, MOST_FOLLOWERS, MOST_UNDER_WAY, Micros, RESEND, Watch,
    is_name,
};
use crate::state::{Author, Command, Keeper as KeeperAt, Outcome, Proposal, Settled, State};
use crate::wire::{Frame, Message};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Disks whose numbers are remembered with who wrote under them.
const MOST_WRITERS: usize = 64;

/// What a node begins with.
pub struct Setup {
    /// Whose fleet it is.
    pub cluster: u64,
    /// Who it is.
    pub me: Identity,
    /// Members to ask first, by name.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// Keepers of the first set, for those who know nothing else yet.
    pub keepers: BTreeMap<String, SocketAddr>,
    /// How members watch one another.
    pub watch: Watch,
    /// A keeper's disk, or a stranger's.
    pub disk: Option<Found>,
    /// For all that is drawn.
    pub seed: u64,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram, once.
    Datagram(Identity, Vec<u8>),
    /// Send a frame to a member, in order with the ones before as far as that goes.
    Frame(String, SocketAddr, Vec<u8>),
    /// Write, flush, and say [`Node::written`] with the number. In order.
    Write(u64, Write),
    /// Tell.
    Event(Event),
}

/// What became known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Of members.
    Member(Change),
    /// An own wish was settled: its number, and how unless a snapshot brought it.
    Settled(u64, Option<Settled>),
    /// More is agreed.
    Agreed,
    /// A follower's or this node's log is not the one that the keepers hold. That is a fault of the program.
    Diverged(String),
}

/// A wish that cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WishError {
    /// As many are under way as can be.
    #[error("{MOST_UNDER_WAY} wishes of this node are under way: wait for one to be settled")]
    Full,
    /// A name that cannot be one, or content that is too long.
    #[error("a name of 64 letters, digits and -_.:/ at most is needed, and content of 256 KiB at most")]
    Unfit,
    /// The name belongs to another run.
    #[error("another process has this one's name: this one takes part in nothing")]
    Usurped,
}

struct Seen {
    address: SocketAddr,
    at: u64,
    last: Micros,
    stranger: Option<u64>,
}

/// One node.
pub struct Node {
    cluster: u64,
    me: Identity,
    author: Author,
    members: Members,
    first_keepers: BTreeMap<String, SocketAddr>,
    keeper: Option<Keeper>,
    /// What this node knows as a follower.
    follower: State,
    follow_at: Micros,
    followed: usize,
    followers: BTreeMap<String, Seen>,
    /// Who wrote under which disk's number: a stranger is taken in by keepers that it does not know yet.
    writers: BTreeMap<u64, (String, SocketAddr)>,
    pushed: u64,
    /// The last entry of the own log by which own wishes were settled.
    advanced: u64,
    under_way: VecDeque<Proposal>,
    serial: u64,
    resend_at: Micros,
    tried: usize,
    holder: Holder,
    heard_keeper: Option<Micros>,
    actions: Vec<Action>,
    /// Frames that could not be used.
    pub dropped: u64,
}

/// What a node can say of itself and of what it sees.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whom it lost its name to.
    pub usurped_by: Option<String>,
    /// Members that are there, with their addresses.
    pub members: BTreeMap<String, SocketAddr>,
    /// Keepers of the log.
    pub keepers: Vec<String>,
    /// Whether this node keeps the log, is a stranger, or follows.
    pub part: &'static str,
    /// Who leads the log, as far as it knows.
    pub leader: Option<String>,
    /// The last entry applied.
    pub index: u64,
    /// The hash up to it.
    pub hash: String,
    /// Microseconds since a keeper was last heard, where this node follows.
    pub heard_before: Option<Micros>,
    /// Followers, and by how many entries each lags.
    pub followers: BTreeMap<String, u64>,
    /// Strangers that could be taken in as keepers.
    pub strangers: Vec<String>,
    /// Who holds what, under which number.
    pub leases: BTreeMap<String, (String, u64)>,
    /// Rights that this node wants, with the number where it holds them.
    pub rights: BTreeMap<String, Option<u64>>,
    /// Topics and their versions.
    pub topics: BTreeMap<String, u64>,
    /// Wishes under way.
    pub under_way: usize,
    /// Datagrams, frames and messages that could not be used.
    pub dropped: [u64; 3],
}

/// What is agreed as far as a node knows: by its own log, or by what it followed.
fn agreed_of<'a>(keeper: Option<&'a Keeper>, follower: &'a State) -> &'a State {
    keeper.map(Keeper::state).filter(|state| state.index >= follower.index).unwrap_or(follower)
}

impl Node {
    /// A node that starts now.
    ///
    /// # Errors
    /// When a keeper's disk holds what cannot be a log.
    pub fn start(setup: Setup, now: Micros) -> Result<Self, String> {
        let Setup { cluster, me, seeds, keepers, watch, disk, seed } = setup;
        let seeds = seeds.into_iter().map(|(name, address)| Identity::new(&name, 0, address)).collect();
        let keeper = disk.map(|found| Keeper::start(found, seed, now)).transpose()?;
        let mut node = Self {
            cluster,
            author: Author { name: me.name.clone(), incarnation: me.incarnation },
            members: Members::new(me.clone(), cluster, seeds, watch, seed, now),
            me,
            first_keepers: keepers,
            keeper,
            follower: State::default(),
            follow_at: now,
            followed: usize::try_from(seed % 1024).unwrap_or(0),
            followers: BTreeMap::new(),
            writers: BTreeMap::new(),
            pushed: 0,
            advanced: 0,
            under_way: VecDeque::new(),
            serial: 0,
            resend_at: Micros::MAX,
            tried: usize::try_from(seed % 1024).unwrap_or(0),
            holder: Holder::default(),
            heard_keeper: None,
            actions: Vec::new(),
            dropped: 0,
        };
        node.collect(now);
        Ok(node)
    }

    /// Who it is.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// All that this node knows to be agreed.
    pub fn agreed(&self) -> &State {
        agreed_of(self.keeper.as_ref(), &self.follower)
    }

    /// Members that are there.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The keeper's part, if it has one.
    pub fn keeper(&self) -> Option<&Keeper> {
        self.keeper.as_ref()
    }

    /// Under which number this node holds a right at this moment. To be asked with a clock read for that, right before each
    /// effect.
    pub fn fence(&self, now: Micros, right: &str) -> Option<Fence> {
        self.members.usurped_by().map_or_else(|| self.holder.fence(now, right), |_| None)
    }

    /// Wants a right from now on.
    pub fn want(&mut self, now: Micros, right: &str, length: Micros) {
        self.holder.want(right, length);
        self.collect(now);
    }

    /// Wants a right no longer.
    pub fn leave_right(&mut self, now: Micros, right: &str) {
        self.holder.leave(right);
        self.collect(now);
    }

    /// Wishes something; [`Event::Settled`] comes with this number once it is settled.
    ///
    /// # Errors
    /// When it cannot be taken.
    pub fn wish(&mut self, now: Micros, command: Command) -> Result<u64, WishError> {
        let fits = match &command {
            Command::Take { right, .. } | Command::Renew { right, .. } | Command::Release { right, .. } => {
                is_name(right)
            }
            Command::Publish { topic, content, .. } => is_name(topic) && content.len() <= MOST_CONTENT,
        };
        if self.members.usurped_by().is_some() {
            return Err(WishError::Usurped);
        }
        if !fits {
            return Err(WishError::Unfit);
        }
        if self.under_way.len() >= MOST_UNDER_WAY {
            return Err(WishError::Full);
        }
        let serial = self.push(command);
        self.resend_at = now;
        self.collect(now);
        Ok(serial)
    }

    /// Puts a stranger's disk in the place of a keeper. Only the leader can.
    ///
    /// # Errors
    /// When it cannot be done now.
    pub fn replace_keeper(&mut self, now: Micros, old: &str, stranger: &str) -> Result<(), ReplaceError> {
        let seen = self.followers.get(stranger).and_then(|seen| Some((seen.stranger?, seen.address)));
        let keeper = self.keeper.as_mut().ok_or(ReplaceError::NotLeader)?;
        let (id, address) = seen.ok_or(ReplaceError::NoStranger)?;
        keeper.replace(now, old, id, KeeperAt { name: stranger.to_owned(), address })?;
        self.collect(now);
        Ok(())
    }

    /// A datagram that came in.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.members.datagram(now, bytes);
        self.collect(now);
    }

    /// A frame that came in.
    pub fn frame(&mut self, now: Micros, bytes: &[u8]) {
        match Frame::read(bytes).filter(|frame| frame.cluster == self.cluster && is_name(&frame.from.name)) {
            Some(frame) if self.members.usurped_by().is_none() => self.take(now, frame),
            Some(_) => {}
            None => self.dropped += 1,
        }
        self.collect(now);
    }

    /// The write of this number is flushed.
    pub fn written(&mut self, now: Micros, write: u64) {
        if let Some(keeper) = &mut self.keeper {
            keeper.written(now, write);
        }
        self.collect(now);
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros) {
        self.members.wake(now);
        if let Some(keeper) = &mut self.keeper
            && keeper.next_wake() <= now
        {
            keeper.wake(now);
        }
        self.followers.retain(|_, seen| now < seen.last + FORGET_FOLLOWER);
        self.collect(now);
    }

    /// When to call [`Node::wake`].
    pub fn next_wake(&self) -> Micros {
        if self.members.usurped_by().is_some() {
            return Micros::MAX;
        }
        let keeper = self.keeper.as_ref().map_or(Micros::MAX, Keeper::next_wake);
        let resend = if self.under_way.is_empty() { Micros::MAX } else { self.resend_at };
        let follow = if self.follows() { self.follow_at } else { Micros::MAX };
        // Before anything is agreed, and with no room for a wish, there is nothing to ask for.
        let holder = if self.may_ask() { self.holder.next_wake() } else { Micros::MAX };
        [self.members.next_wake(), keeper, resend, follow, holder].into_iter().min().unwrap_or(Micros::MAX)
    }

    /// Says to the fleet that this node goes, and gives back what it holds.
    pub fn leave(&mut self, now: Micros) {
        let rights: Vec<String> = self.holder.rights(now).map(|(right, _)| right.to_owned()).collect();
        rights.iter().for_each(|right| self.holder.leave(right));
        self.members.leave(now);
        self.collect(now);
    }

    /// What the host is to do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What this node can say.
    pub fn status(&self, now: Micros) -> Status {
        let agreed = self.agreed();
        let keeper = self.keeper.as_ref();
        Status {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            usurped_by: self.members.usurped_by().map(ToString::to_string),
            members: self.members.here().map(|member| (member.name.clone(), member.address)).collect(),
            keepers: agreed.keepers.values().map(|keeper| keeper.name.clone()).collect(),
            part: match keeper {
                Some(keeper) if keeper.leads() => "leader",
                Some(keeper) if keeper.is_keeper() => "keeper",
                Some(_) => "stranger",
                None => "follower",
            },
            leader: keeper.and_then(Keeper::leader).map(|leader| leader.name.clone()),
            index: agreed.index,
            hash: format!("{:016x}", agreed.hash),
            heard_before: self.heard_keeper.map(|at| now.saturating_sub(at)),
            followers: self
                .followers
                .iter()
                .map(|(name, seen)| (name.clone(), agreed.index.saturating_sub(seen.at)))
                .collect(),
            strangers: self
                .followers
                .iter()
                .filter(|(_, seen)| seen.stranger.is_some_and(|id| !agreed.keepers.contains_key(&id)))
                .map(|(name, _)| name.clone())
                .collect(),
            leases: agreed
                .leases
                .iter()
                .map(|(right, lease)| (right.clone(), (lease.holder.name.clone(), lease.fence)))
                .collect(),
            rights: self
                .holder
                .rights(now)
                .map(|(right, fence)| (right.to_owned(), fence.map(|fence| fence.0)))
                .collect(),
            topics: agreed.topics.iter().map(|(name, topic)| (name.clone(), topic.version)).collect(),
            under_way: self.under_way.len(),
            dropped: [self.members.dropped, self.dropped, keeper.map_or(0, |keeper| keeper.dropped)],
        }
    }

    fn follows(&self) -> bool {
        self.keeper.as_ref().is_none_or(|keeper| !keeper.is_keeper())
    }

    fn push(&mut self, command: Command) -> u64 {
        self.serial += 1;
        self.under_way.push_back(Proposal { author: self.author.clone(), serial: self.serial, command });
        self.serial
    }

    /// Keepers to write to: the ones agreed on, else those of the first set.
    fn keepers(&self) -> Vec<(String, SocketAddr)> {
        let agreed: Vec<_> =
            self.agreed().keepers.values().map(|keeper| (keeper.name.clone(), keeper.address)).collect();
        let first = || self.first_keepers.iter().map(|(name, address)| (name.clone(), *address)).collect();
        let mut keepers = if agreed.is_empty() { first() } else { agreed };
        keepers.retain(|(name, _)| *name != self.me.name);
        keepers
    }

    fn send(&mut self, name: String, address: SocketAddr, message: Message) {
        let frame = Frame { cluster: self.cluster, from: self.me.clone(), message };
        if let Some(bytes) = frame.write() {
            self.actions.push(Action::Frame(name, address, bytes));
        }
    }

    fn take(&mut self, now: Micros, frame: Frame) {
        let Frame { from, message, .. } = frame;
        match message {
            Message::Raft(message) => match &mut self.keeper {
                Some(keeper) => {
                    if self.writers.len() >= MOST_WRITERS {
                        self.writers.clear();
                    }
                    self.writers.insert(message.from, (from.name, from.address));
                    keeper.message(now, *message);
                }
                None => self.dropped += 1,
            },
            Message::Propose { proposals, hops } => self.offered(now, proposals, hops),
            Message::Follow { at, hash, stranger } => self.serve(now, from, at, hash, stranger),
            Message::Entries { entries, last } => {
                self.heard_keeper = Some(now);
                let mut outcomes = Vec::new();
                self.follow_from_own();
                for entry in entries {
                    if entry.index != self.follower.index + 1 {
                        continue;
                    }
                    if entry.keepers {
                        self.follower.apply_keepers(entry.index, &entry.data);
                    } else {
                        outcomes.extend(self.follower.apply(entry.index, &entry.data));
                    }
                }
                if self.follower.index < last {
                    self.follow_at = now;
                }
                self.advanced(now, &outcomes);
            }
            Message::Whole(bytes) => {
                self.heard_keeper = Some(now);
                self.follow_from_own();
                match State::read(&bytes) {
                    Some(state) if state.index > self.follower.index => {
                        self.follower = state;
                        self.advanced(now, &[]);
                    }
                    Some(state) if state.index == self.follower.index && state.hash != self.follower.hash => {
                        self.actions.push(Action::Event(Event::Diverged(from.name)));
                    }
                    Some(_) => {}
                    None => self.dropped += 1,
                }
            }
        }
    }

    /// One that kept the log and does no more follows from where it was.
    fn follow_from_own(&mut self) {
        if let Some(keeper) = self.keeper.as_ref().filter(|keeper| keeper.state().index > self.follower.index)
        {
            self.follower = keeper.state().clone();
        }
    }

    /// Wishes that came to this node: for its own next entry, or on to the leader, by one more keeper at most.
    fn offered(&mut self, now: Micros, proposals: Vec<Proposal>, hops: u8) {
        let Some(keeper) = &mut self.keeper else { return };
        if keeper.offer(now, &proposals) || hops > 0 {
            return;
        }
        if let Some(KeeperAt { name, address }) = keeper.leader().cloned() {
            self.send(name, address, Message::Propose { proposals, hops: hops + 1 });
        }
    }

    fn serve(&mut self, now: Micros, from: Identity, at: u64, hash: u64, stranger: Option<u64>) {
        let Some(keeper) = self.keeper.as_ref().filter(|keeper| keeper.is_keeper()) else { return };
        if self.followers.len() >= MOST_FOLLOWERS && !self.followers.contains_key(&from.name) {
            return;
        }
        let index = keeper.state().index;
        let (message, held) = match keeper.entries_after(at, hash) {
            Some(entries) => {
                let held = entries.last().map_or(at, |entry| entry.index);
                (Message::Entries { entries, last: index }, held)
            }
            // It knows more than this keeper: another one has that.
            None if at > index => return,
            None => (Message::Whole(keeper.state().write()), index),
        };
        let seen = Seen { address: from.address, at: held, last: now, stranger };
        self.followers.insert(from.name.clone(), seen);
        self.send(from.name, from.address, message);
    }

    /// Pushes what is new to followers that have asked lately and hold all before it.
    fn push_new(&mut self) {
        let Some(keeper) = self.keeper.as_ref().filter(|keeper| keeper.is_keeper()) else { return };
        let index = keeper.state().index;
        let Some((_, hash)) = keeper.hash_at(self.pushed) else {
            self.pushed = index;
            return;
        };
        let Some(entries) = keeper.entries_after(self.pushed, hash) else { return };
        let Some(held) = entries.last().map(|entry| entry.index) else { return };
        let to: Vec<_> = self
            .followers
            .iter_mut()
            .filter(|(_, seen)| seen.at == self.pushed)
            .map(|(name, seen)| {
                seen.at = held;
                (name.clone(), seen.address)
            })
            .collect();
        self.pushed = held;
        for (name, address) in to {
            self.send(name, address, Message::Entries { entries: entries.clone(), last: index });
        }
    }

    /// More is agreed: settle own wishes by it.
    fn advanced(&mut self, now: Micros, outcomes: &[Outcome]) {
        self.actions.push(Action::Event(Event::Agreed));
        let last = self.agreed().last_of(&self.author).map_or(0, |(serial, _)| serial);
        while let Some(proposal) = self.under_way.pop_front_if(|proposal| proposal.serial <= last) {
            let of_mine =
                |outcome: &&Outcome| outcome.author == self.author && outcome.serial == proposal.serial;
            let settled = outcomes.iter().find(of_mine).map(|outcome| outcome.settled.clone());
            self.actions.push(Action::Event(Event::Settled(proposal.serial, settled)));
        }
        let agreed = agreed_of(self.keeper.as_ref(), &self.follower);
        self.holder.settled(now, last, &self.author, agreed);
    }

    /// Does all that follows from an event.
    fn collect(&mut self, now: Micros) {
        self.members.take_changes().into_iter().for_each(|change| {
            self.actions.push(Action::Event(Event::Member(change)));
        });
        for (to, bytes) in self.members.take_datagrams() {
            self.actions.push(Action::Datagram(to, bytes));
        }
        if self.members.usurped_by().is_some() {
            return;
        }
        self.ask(now);
        self.collect_keeper(now);
        if !self.under_way.is_empty() && self.resend_at <= now {
            self.resend_at = now + RESEND;
            // As many as one entry takes, the first ones first: those behind them are settled after them anyway.
            let mut room = MOST_BATCH;
            let fits = |proposal: &&Proposal| {
                let left = room.checked_sub(proposal.bytes());
                room = left.unwrap_or(0);
                left.is_some()
            };
            let proposals: Vec<_> = self.under_way.iter().take_while(fits).cloned().collect();
            let own = self.keeper.as_mut().is_some_and(|keeper| keeper.offer(now, &proposals));
            let leader = self.keeper.as_ref().filter(|keeper| keeper.is_keeper()).and_then(Keeper::leader);
            let to = match leader {
                Some(leader) => Some((leader.name.clone(), leader.address)),
                None => {
                    self.tried += 1;
                    let keepers = self.keepers();
                    keepers.get(self.tried % keepers.len().max(1)).cloned()
                }
            };
            if let Some((name, address)) = to.filter(|_| !own) {
                self.send(name, address, Message::Propose { proposals, hops: 0 });
            }
            self.collect_keeper(now);
        }
        if self.follows() && self.follow_at <= now {
            self.follow_at = now + FOLLOW;
            let stale = self.heard_keeper.is_none_or(|at| now > at + FOLLOW);
            // A stranger shows itself to all of them: the leader takes it in.
            self.followed += usize::from(stale || self.keeper.is_some());
            let keepers = self.keepers();
            if let Some((name, address)) = keepers.get(self.followed % keepers.len().max(1)).cloned() {
                let stranger = self.keeper.as_ref().map(Keeper::id);
                let (at, hash) = (self.agreed().index, self.agreed().hash);
                self.send(name, address, Message::Follow { at, hash, stranger });
            }
        }
    }

    fn may_ask(&self) -> bool {
        self.under_way.len() < MOST_UNDER_WAY && self.agreed().index > 0
    }

    fn ask(&mut self, now: Micros) {
        if !self.may_ask() {
            return;
        }
        let agreed = agreed_of(self.keeper.as_ref(), &self.follower);
        for ask in self.holder.ask(now, agreed) {
            let command = match &ask {
                Ask::Take(right, length) => Command::Take { right: right.clone(), length: *length },
                Ask::Renew(right, fence) => Command::Renew { right: right.clone(), fence: fence.0 },
                Ask::Release(right, fence) => Command::Release { right: right.clone(), fence: fence.0 },
            };
            let serial = self.push(command);
            self.holder.asked(&ask, serial, now);
            self.resend_at = now;
        }
    }

    fn collect_keeper(&mut self, now: Micros) {
        let Some(keeper) = &mut self.keeper else { return };
        let (writes, messages, outcomes) =
            (keeper.take_writes(), keeper.take_messages(), keeper.take_outcomes());
        self.actions.extend(writes.into_iter().map(|(number, write)| Action::Write(number, write)));
        for message in messages {
            let to = self.keeper.as_ref().and_then(|keeper| keeper.state().keepers.get(&message.to).cloned());
            // One that is on its way in or out is known by its wish to follow.
            let to = to.map(|keeper| (keeper.name, keeper.address)).or_else(|| {
                let seen = |(name, seen): (&String, &Seen)| (name.clone(), seen.address);
                let stranger =
                    self.followers.iter().find(|(_, seen)| seen.stranger == Some(message.to)).map(seen);
                stranger.or_else(|| self.writers.get(&message.to).cloned())
            });
            if let Some((name, address)) = to {
                self.send(name, address, Message::Raft(Box::new(message)));
            }
        }
        let index = self.keeper.as_ref().map_or(0, |keeper| keeper.state().index);
        if index > self.pushed {
            self.push_new();
        }
        if index > self.advanced {
            self.advanced = index;
            self.advanced(now, &outcomes);
            self.ask(now);
        }
    }
}
