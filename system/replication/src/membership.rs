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

use crate::writer::Turn;
use crate::{HEARTBEAT_INTERVAL, MEMBERS_KEY, Millis, PEER_TIMEOUT, Replica};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Entry, Member, MemberList, NamedEntry, Stamp, StoreMessage, Term};

/// A seat that was silent for this long may be given to a machine that waits for it in the same zone. Longer than a kill and
/// the start after it; an old machine that comes back later is a learner.
const GONE: Millis = 2500.0;
/// A change of the list that did not come about is tried again after this.
const RESEAT: Millis = 500.0;
/// Who has no seat announces itself this often.
const ANNOUNCE: Millis = 250.0;
/// A candidate that was heard within this is there.
const THERE: Millis = 1500.0;

/// A machine without a seat that would take one.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) seat: Member,
    /// Its copy holds all that was chosen before this.
    pub(crate) position: Stamp,
    pub(crate) heard: Millis,
}

/// The list as an item's text. Names of zones are the operator's: they are kept apart by line ends, which none has.
pub(crate) fn to_text(seats: &[Member]) -> String {
    let line = |seat: &Member| format!("{}\t{}\t{}", seat.host.0, seat.zone, seat.region);
    seats.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn from_text(text: &str) -> Option<Vec<Member>> {
    let line = |line: &str| {
        let mut parts = line.split('\t');
        let host = Host(parts.next()?.parse().ok()?);
        Some(Member { host, zone: parts.next()?.to_owned(), region: parts.next()?.to_owned() })
    };
    text.lines().map(line).collect()
}

impl Replica {
    /// Takes the chosen list of seats into use.
    pub(crate) fn take_seats(&mut self) {
        let entry = self.items.get(MEMBERS_KEY).and_then(|item| item.chosen.as_ref());
        let Some(entry) = entry else { return };
        let seats = entry.body.as_deref().and_then(from_text).unwrap_or_default();
        self.seats = MemberList { version: entry.revision, members: seats };
        self.seated = self.told;
        let me = self.place.local.host;
        if self.votes && !self.is_seat(me) {
            self.votes = false;
            self.log("seat-lost", format!("version={}", self.seats.version));
        }
        let listed: Vec<Host> = self.seats.members.iter().map(|seat| seat.host).collect();
        self.candidates.retain(|host, _| !listed.contains(host));
        self.peers.retain(|host, _| listed.contains(host));
    }

    pub(crate) fn on_announce(&mut self, now: Millis, from: Host, seat: Member, position: Stamp) {
        let candidate = Candidate { seat: seat.clone(), position, heard: now };
        if self.seats.members.is_empty() {
            self.candidates.insert(from, candidate);
            return;
        }
        self.tell_seats(from);
        if !self.is_seat(seat.host) {
            // It may have come by way of another seat: who writes has to hear of it.
            let direct = seat.host == from;
            self.candidates.insert(seat.host, candidate);
            if direct && let Some(writer) = self.writer(now) {
                self.send(writer, StoreMessage::Announce { member: seat, position });
            }
        }
    }

    pub(crate) fn announce_to(&mut self, host: Host) {
        let (seat, position) = (self.place.local.clone(), self.progress.position);
        self.send(host, StoreMessage::Announce { member: seat, position });
    }

    pub(crate) fn membership_tick(&mut self, now: Millis) {
        self.told = now;
        if self.seats.members.is_empty() || !self.is_seat(self.place.local.host) {
            self.announce(now);
        } else if !self.votes && !self.takes_first_seat() {
            self.learn(now);
        }
        if self.seats.members.is_empty() {
            self.found(now);
        } else if self.votes {
            self.reseat(now);
        }
    }

    /// Who has no seat tells those who may give it one, and sees that its copy is one that may have it.
    fn announce(&mut self, now: Millis) {
        // Who is about to go wants no seat.
        if now < self.announce_at || self.leaving {
            return;
        }
        self.announce_at = now + ANNOUNCE;
        let others = self.others();
        let mut hosts = self.place.seeds.clone();
        hosts.extend(&others);
        hosts.retain(|host| *host != self.place.local.host);
        hosts.sort_unstable();
        hosts.dedup();
        hosts.into_iter().for_each(|host| self.announce_to(host));
        if !others.is_empty() {
            let at = fennelscale_messages::mix(self.place.incarnation ^ now.to_bits()) % others.len() as u64;
            self.begin_transfer(now, others[at as usize]);
        }
    }

    /// This machine is on the list and does not vote yet: it may have forgotten what it promised. It asks all the others.
    fn learn(&mut self, now: Millis) {
        if now < self.announce_at {
            return;
        }
        self.announce_at = now + HEARTBEAT_INTERVAL;
        let position = self.progress.position;
        for host in self.others() {
            self.send(host, StoreMessage::Recover(position));
            // The list may have changed again before this one could learn: then it is a candidate once more.
            self.announce_to(host);
        }
    }

    pub(crate) fn on_learn(&mut self, from: Host, since: Stamp) {
        if !self.votes || !self.is_seat(from) {
            return;
        }
        let (tail, pending) = (self.tail(since), self.pending());
        let (promised, joined, more) = (self.acceptor.promised, self.acceptor.joined, tail.is_none());
        self.send(
            from,
            StoreMessage::RecoveryState { promised, joined, chosen: tail.unwrap_or_default(), more, pending },
        );
    }

    /// A seat that has forgotten what it promised learns from a quorum of the others before it votes again.
    pub(crate) fn on_learned(
        &mut self, from: Host, promised: Term, joined: Term, chosen: Vec<NamedEntry>,
        pending: Vec<NamedEntry>,
    ) {
        if self.votes || !self.is_seat(from) || !self.is_seat(self.place.local.host) {
            return;
        }
        self.merge(chosen);
        self.round = self.round.max(promised.number);
        self.acceptor.promised = self.acceptor.promised.max(promised);
        self.acceptor.joined = self.acceptor.joined.max(joined);
        for (name, entry) in pending {
            let item = self.lesson.entry(name).or_default();
            if item.pending.as_ref().is_none_or(|p| p.stamp < entry.stamp) {
                item.pending = Some(entry);
            }
        }
        self.learned.insert(from);
        if self.learned.len() >= self.quorum() {
            self.take_seat();
        }
    }

    /// All that a quorum promised and took is known: this seat votes from now on.
    fn take_seat(&mut self) {
        // What was taken in turns before the newest that anybody joined, and is not in that one's first write, is void.
        for (name, lesson) in std::mem::take(&mut self.lesson) {
            let Some(entry) = lesson.pending.filter(|p| p.stamp.term >= self.acceptor.joined) else {
                continue;
            };
            let chosen = self.items.get(&name).and_then(|item| item.chosen.as_ref());
            if chosen.is_none_or(|c| c.stamp < entry.stamp) {
                self.set_pending(&name, Some(entry));
            }
        }
        self.dirty_acceptor = true;
        self.votes = true;
        self.turn = Turn::Idle;
        self.contiguous = crate::position::Contiguous::at_start(self.progress.position, self.acceptor.joined);
        let from = self.learned.len();
        self.learned.clear();
        self.log("seat-learned", format!("from={from} items={}", self.items.len()));
    }

    /// Whether a seat is to be given away: its machine was silent for long, or is about to go.
    fn is_gone(&self, now: Millis, seat: &Member) -> bool {
        if seat.host == self.place.local.host {
            return self.leaving;
        }
        // One that was never heard may have its seat since a moment ago.
        let new = || now - self.born.max(self.seated) > 2.0 * GONE;
        self.peers.get(&seat.host).map_or_else(new, |p| p.leaving || now - p.heard > GONE)
    }

    /// Whether a seat is there and counts.
    fn counts(&self, now: Millis, host: Host) -> bool {
        if host == self.place.local.host {
            return self.votes;
        }
        self.peers.get(&host).is_some_and(|peer| peer.votes && now - peer.heard < PEER_TIMEOUT)
    }

    /// Whether a machine's copy is complete but for what fits in one message.
    fn has_learned(&self, candidate: &Candidate) -> bool {
        candidate.position > Stamp::default() && self.tail(candidate.position).is_some()
    }

    /// The list after the next change; none if there is none to make, or it has to wait.
    fn next_list(&self, now: Millis) -> Option<Vec<Member>> {
        let seats = &self.seats.members;
        let ready = || self.candidates.values().filter(|c| self.has_learned(c)).map(|c| &c.seat);
        let place = |new: &Member| seats.iter().position(|s| s.zone == new.zone && self.is_gone(now, s));
        let lonely = |new: &&Member| !seats.iter().any(|s| s.zone == new.zone);
        let swap = ready().find_map(|new| Some((new, Some(place(new)?))));
        let (new, place) = swap.or_else(|| ready().find(lonely).map(|new| (new, None)))?;
        let mut list = seats.clone();
        match place {
            Some(place) => list[place] = new.clone(),
            None => list.push(new.clone()),
        }
        list.sort();
        let learns = |seat: &&Member| !self.counts(now, seat.host) && !self.is_gone(now, seat);
        if seats.iter().any(|seat| learns(&seat)) {
            return None;
        }
        let stay = list.iter().filter(|seat| self.counts(now, seat.host)).count();
        let needed =
            crate::quorum(&MemberList { version: 0, members: list.clone() }, self.place.fault_tolerance);
        (stay >= needed).then_some(list)
    }

    /// Gives the seat of a machine that is gone or about to go to one that has learned and waits in its zone.
    fn reseat(&mut self, now: Millis) {
        if now < self.reseat_at || now - self.born < GONE {
            return;
        }
        self.candidates.retain(|_, candidate| now - candidate.heard < THERE);
        if self.candidates.is_empty() {
            return;
        }
        let Some(list) = self.next_list(now) else { return };
        match &self.turn {
            Turn::Holding(holding) if holding.reseating.is_none() => {
                self.reseat_at = now + RESEAT;
                let revision = self.seats.version + 1;
                let entry = Entry { revision, body: Some(to_text(&list)), ..Entry::default() };
                self.write(now, vec![(MEMBERS_KEY.to_owned(), entry)], Vec::new());
            }
            Turn::Idle if self.writer(now).is_none() => {
                self.reseat_at = now + PEER_TIMEOUT * (1.0 + self.place_in_list() * 0.3);
                self.ask_turn(now);
            }
            _ => {}
        }
    }

    /// The process is about to end in order: others may take its place and what it does.
    pub fn begin_leave(&mut self, now: Millis) {
        self.leaving = true;
        self.beat_at = now;
        self.tick(now);
    }

    /// Why a member that leaves in order should wait, if it should: it goes on voting until then.
    pub fn leave_blocker(&self, now: Millis) -> Option<&'static str> {
        let me = &self.place.local;
        let others = self.others().into_iter().filter(|host| self.counts(now, *host)).count();
        if !self.is_seat(me.host) {
            return None;
        }
        let successor =
            |candidate: &Candidate| candidate.seat.zone == me.zone && now - candidate.heard < THERE;
        if self.candidates.values().any(successor) {
            return Some("its seat is not handed over");
        }
        (self.votes && others < self.quorum()).then_some("the others are no quorum without it")
    }
}
