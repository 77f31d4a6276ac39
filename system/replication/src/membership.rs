//! Who has a seat: how an empty machine takes the place of one that is gone, and how a member leaves.
//!
//! # What holds
//!
//! - The list of seats is an item like others, written under a quorum of the old list; one seat changes at a time.
//! - *Learn first*: a machine is given a seat only once its copy is complete but for a last part ([`Candidate`]). Until then it is a
//!   learner: it votes on nothing, and no quorum is counted by it.
//! - *One at a time*: the list changes again only when all seats of it vote, but for those that are gone; never after a mere time.
//! - *Enough must stay*: no seat is given away unless those that remain and vote are a quorum of the new list. The new seat learns the
//!   promises of a quorum before it votes, so any old and new quorum share a seat that remembers.
//! - A member that leaves in order hands over first ([`Replica::leave_blocker`]).
//! - *Who is not on the list* finds that at the first word with anybody: it passes calls on and votes on nothing.

use crate::leader::Role;
use crate::{HEARTBEAT_INTERVAL, MEMBERS_KEY, Millis, PEER_TIMEOUT, Replica};
use fennelscale_messages::Host;
use fennelscale_messages::depot::{Entry, Epoch, Named, Seat, Seats, Stamp, Word};

/// A seat that was silent for this long may be given to a machine that waits for it in the same zone. Longer than a kill and
/// the start after it; an old machine that comes back later is a learner.
const MEMBER_FAILURE_TIMEOUT: Millis = 2500.0;
/// A change of the list that did not come about is tried again after this.
const MEMBER_CHANGE_INTERVAL: Millis = 500.0;
/// Who has no seat announces itself this often.
const ANNOUNCE_INTERVAL: Millis = 250.0;
/// A candidate that was heard within this is there.
const LEARNER_TIMEOUT: Millis = 1500.0;

/// A machine without a seat that would take one.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    pub(crate) seat: Seat,
    /// Its copy holds all that was chosen before this.
    pub(crate) position: Stamp,
    pub(crate) last_heard: Millis,
}

/// The list as an item's text. Names of zones are the operator's: they are kept apart by line ends, which none has.
pub(crate) fn encode_members(seats: &[Seat]) -> String {
    let line = |seat: &Seat| format!("{}\t{}\t{}", seat.host.0, seat.zone, seat.region);
    seats.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn decode_members(text: &str) -> Option<Vec<Seat>> {
    let line = |line: &str| {
        let mut parts = line.split('\t');
        let host = Host(parts.next()?.parse().ok()?);
        Some(Seat { host, zone: parts.next()?.to_owned(), region: parts.next()?.to_owned() })
    };
    text.lines().map(line).collect()
}

impl Replica {
    /// Takes the chosen list of seats into use.
    pub(crate) fn load_members(&mut self) {
        let entry = self.items.get(MEMBERS_KEY).and_then(|item| item.chosen.as_ref());
        let Some(entry) = entry else { return };
        let seats = entry.body.as_deref().and_then(decode_members).unwrap_or_default();
        self.members = Seats { version: entry.revision, seats };
        self.members_changed_at = self.last_tick;
        let me = self.config.local.host;
        if self.voting && !self.is_member(me) {
            self.voting = false;
            self.log("seat-lost", format!("version={}", self.members.version));
        }
        let listed: Vec<Host> = self.members.seats.iter().map(|seat| seat.host).collect();
        self.learners.retain(|host, _| !listed.contains(host));
        self.peers.retain(|host, _| listed.contains(host));
    }

    pub(crate) fn on_announce(&mut self, now: Millis, from: Host, seat: Seat, position: Stamp) {
        let learner = Learner { seat: seat.clone(), position, last_heard: now };
        if self.members.seats.is_empty() {
            self.learners.insert(from, learner);
            return;
        }
        self.send_members(from);
        if !self.is_member(seat.host) {
            // It may have come by way of another seat: who writes has to hear of it.
            let direct = seat.host == from;
            self.learners.insert(seat.host, learner);
            if direct && let Some(writer) = self.known_leader(now) {
                self.send(writer, Word::Announce { seat, position });
            }
        }
    }

    pub(crate) fn announce_to(&mut self, host: Host) {
        let (seat, position) = (self.config.local.clone(), self.progress.position);
        self.send(host, Word::Announce { seat, position });
    }

    pub(crate) fn membership_tick(&mut self, now: Millis) {
        self.last_tick = now;
        if self.members.seats.is_empty() || !self.is_member(self.config.local.host) {
            self.announce(now);
        } else if !self.voting && !self.join_initial_members() {
            self.request_recovery(now);
        }
        if self.members.seats.is_empty() {
            self.bootstrap_cluster(now);
        } else if self.voting {
            self.change_members(now);
        }
    }

    /// Who has no seat tells those who may give it one, and sees that its copy is one that may have it.
    fn announce(&mut self, now: Millis) {
        // Who is about to go wants no seat.
        if now < self.next_announcement || self.leaving {
            return;
        }
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        let others = self.other_members();
        let mut hosts = self.config.seeds.clone();
        hosts.extend(&others);
        hosts.retain(|host| *host != self.config.local.host);
        hosts.sort_unstable();
        hosts.dedup();
        hosts.into_iter().for_each(|host| self.announce_to(host));
        if !others.is_empty() {
            let at = fennelscale_messages::mix(self.config.incarnation ^ now.to_bits()) % others.len() as u64;
            self.start_transfer(now, others[at as usize]);
        }
    }

    /// This machine is on the list and does not vote yet: it may have forgotten what it promised. It asks all the others.
    fn request_recovery(&mut self, now: Millis) {
        if now < self.next_announcement {
            return;
        }
        self.next_announcement = now + HEARTBEAT_INTERVAL;
        let position = self.progress.position;
        for host in self.other_members() {
            self.send(host, Word::Learn(position));
            // The list may have changed again before this one could learn: then it is a candidate once more.
            self.announce_to(host);
        }
    }

    pub(crate) fn on_recovery_request(&mut self, from: Host, since: Stamp) {
        if !self.voting || !self.is_member(from) {
            return;
        }
        let (tail, pending) = (self.entries_since(since), self.pending_entries());
        let (promised, joined, more) = (self.acceptor.promised, self.acceptor.joined, tail.is_none());
        self.send(from, Word::Learned { promised, joined, chosen: tail.unwrap_or_default(), more, pending });
    }

    /// A seat that has forgotten what it promised learns from a quorum of the others before it votes again.
    pub(crate) fn on_recovery_response(
        &mut self, from: Host, promised: Epoch, joined: Epoch, chosen: Vec<Named>, pending: Vec<Named>,
    ) {
        if self.voting || !self.is_member(from) || !self.is_member(self.config.local.host) {
            return;
        }
        self.merge_chosen(chosen);
        self.highest_round = self.highest_round.max(promised.round);
        self.acceptor.promised = self.acceptor.promised.max(promised);
        self.acceptor.joined = self.acceptor.joined.max(joined);
        for (name, entry) in pending {
            let item = self.recovered_pending.entry(name).or_default();
            if item.pending.as_ref().is_none_or(|p| p.stamp < entry.stamp) {
                item.pending = Some(entry);
            }
        }
        self.recovery_sources.insert(from);
        if self.recovery_sources.len() >= self.quorum() {
            self.finish_recovery();
        }
    }

    /// All that a quorum promised and took is known: this seat votes from now on.
    fn finish_recovery(&mut self) {
        // What was taken in turns before the newest that anybody joined, and is not in that one's first write, is void.
        for (name, lesson) in std::mem::take(&mut self.recovered_pending) {
            let Some(entry) = lesson.pending.filter(|p| p.stamp.epoch >= self.acceptor.joined) else {
                continue;
            };
            let chosen = self.items.get(&name).and_then(|item| item.chosen.as_ref());
            if chosen.is_none_or(|c| c.stamp < entry.stamp) {
                self.set_pending(&name, Some(entry));
            }
        }
        self.dirty_acceptor = true;
        self.voting = true;
        self.role = Role::Follower;
        self.accepted_prefix =
            crate::position::AcceptedPrefix::at_start(self.progress.position, self.acceptor.joined);
        let from = self.recovery_sources.len();
        self.recovery_sources.clear();
        self.log("seat-learned", format!("from={from} items={}", self.items.len()));
    }

    /// Whether a seat is to be given away: its machine was silent for long, or is about to go.
    fn is_replaceable(&self, now: Millis, seat: &Seat) -> bool {
        if seat.host == self.config.local.host {
            return self.leaving;
        }
        // One that was never heard may have its seat since a moment ago.
        let new = || now - self.started_at.max(self.members_changed_at) > 2.0 * MEMBER_FAILURE_TIMEOUT;
        self.peers
            .get(&seat.host)
            .map_or_else(new, |p| p.leaving || now - p.last_heartbeat > MEMBER_FAILURE_TIMEOUT)
    }

    /// Whether a seat is there and counts.
    fn is_active_voter(&self, now: Millis, host: Host) -> bool {
        if host == self.config.local.host {
            return self.voting;
        }
        self.peers.get(&host).is_some_and(|peer| peer.voting && now - peer.last_heartbeat < PEER_TIMEOUT)
    }

    /// Whether a machine's copy is complete but for what fits in one message.
    fn has_caught_up(&self, learner: &Learner) -> bool {
        learner.position > Stamp::default() && self.entries_since(learner.position).is_some()
    }

    /// The list after the next change; none if there is none to make, or it has to wait.
    fn next_members(&self, now: Millis) -> Option<Vec<Seat>> {
        let seats = &self.members.seats;
        let ready = || self.learners.values().filter(|c| self.has_caught_up(c)).map(|c| &c.seat);
        let place = |new: &Seat| seats.iter().position(|s| s.zone == new.zone && self.is_replaceable(now, s));
        let lonely = |new: &&Seat| !seats.iter().any(|s| s.zone == new.zone);
        let swap = ready().find_map(|new| Some((new, Some(place(new)?))));
        let (new, place) = swap.or_else(|| ready().find(lonely).map(|new| (new, None)))?;
        let mut list = seats.clone();
        match place {
            Some(place) => list[place] = new.clone(),
            None => list.push(new.clone()),
        }
        list.sort();
        let learns = |seat: &&Seat| !self.is_active_voter(now, seat.host) && !self.is_replaceable(now, seat);
        if seats.iter().any(|seat| learns(&seat)) {
            return None;
        }
        let stay = list.iter().filter(|seat| self.is_active_voter(now, seat.host)).count();
        let needed = crate::quorum(&Seats { version: 0, seats: list.clone() }, self.config.fault_tolerance);
        (stay >= needed).then_some(list)
    }

    /// Gives the seat of a machine that is gone or about to go to one that has learned and waits in its zone.
    fn change_members(&mut self, now: Millis) {
        if now < self.next_membership_change || now - self.started_at < MEMBER_FAILURE_TIMEOUT {
            return;
        }
        self.learners.retain(|_, learner| now - learner.last_heard < LEARNER_TIMEOUT);
        if self.learners.is_empty() {
            return;
        }
        let Some(list) = self.next_members(now) else { return };
        match &self.role {
            Role::Leader(leadership) if leadership.membership_change.is_none() => {
                self.next_membership_change = now + MEMBER_CHANGE_INTERVAL;
                let revision = self.members.version + 1;
                let entry = Entry { revision, body: Some(encode_members(&list)), ..Entry::default() };
                self.propose(now, vec![(MEMBERS_KEY.to_owned(), entry)], Vec::new());
            }
            Role::Follower if self.known_leader(now).is_none() => {
                self.next_membership_change = now + PEER_TIMEOUT * (1.0 + self.member_index() * 0.3);
                self.start_election(now);
            }
            _ => {}
        }
    }

    /// The process is about to end in order: others may take its place and what it does.
    pub fn begin_leave(&mut self, now: Millis) {
        self.leaving = true;
        self.next_heartbeat = now;
        self.tick(now);
    }

    /// Why a member that leaves in order should wait, if it should: it goes on voting until then.
    pub fn leave_blocker(&self, now: Millis) -> Option<&'static str> {
        let me = &self.config.local;
        let others = self.other_members().into_iter().filter(|host| self.is_active_voter(now, *host)).count();
        if !self.is_member(me.host) {
            return None;
        }
        let successor =
            |learner: &Learner| learner.seat.zone == me.zone && now - learner.last_heard < LEARNER_TIMEOUT;
        if self.learners.values().any(successor) {
            return Some("its seat is not handed over");
        }
        (self.voting && others < self.quorum()).then_some("the others are no quorum without it")
    }
}
