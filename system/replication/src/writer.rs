//! The one who writes at the moment: asks for its turn, takes over what may have been chosen, and has writes taken.
//!
//! Any seat may ask for the turn; two who ask at once are told apart by their epochs. Who has it decides calls by its own
//! view, and may: nothing else can be taken by a quorum until another has asked a quorum.

use crate::calls::{Origin, Reply, Ticket};
use crate::{HEARTBEAT_INTERVAL, Millis, Output, Replica};
use fennelscale_messages::Host;
use fennelscale_messages::store::{
    Entry, NamedEntry, Stamp, StoreMessage, StoreRequest, StoreResponse, Term,
};
use std::collections::{BTreeMap, BTreeSet};

/// Asking for the turn is given up after this; guards against quorums that are not there.
const ASKING: Millis = 700.0;
/// A write that is not taken by all is sent again after this.
const AGAIN: Millis = 500.0;
/// A writer that has heard no word of a quorum for this long ends its turn: four beats, and some.
pub const QUORUM_CONTACT_TIMEOUT: Millis = 2000.0;
/// One whose write is not taken for this long does so too, whatever it hears: its own words may not arrive.
pub const ACCEPT_TIMEOUT: Millis = 2500.0;

/// Whether this store writes.
#[derive(Clone, Debug)]
pub(crate) enum Turn {
    /// It does not.
    Idle,
    /// It asks to.
    Asking(Asking),
    /// It does.
    Holding(Holding),
}

#[derive(Clone, Debug)]
pub(crate) struct Asking {
    epoch: Term,
    since: Millis,
    joined: Term,
    promised: BTreeSet<Host>,
    found: BTreeMap<String, Entry>,
}

#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub(crate) epoch: Term,
    /// The turn's first write, for seats that missed it.
    base: Vec<NamedEntry>,
    next: u64,
    /// DiskWrites below this are chosen.
    chosen: u64,
    flights: BTreeMap<u64, Flight>,
    /// The list of seats changes: until that is chosen nothing else is written.
    pub(crate) reseating: Option<u64>,
}

#[derive(Clone, Debug)]
struct Flight {
    entries: Vec<NamedEntry>,
    taken: BTreeSet<Host>,
    /// Who is told what when it is chosen.
    owed: Vec<(Ticket, Reply)>,
    begun: Millis,
    sent: Millis,
}

impl Replica {
    /// Asks for the turn.
    pub(crate) fn ask_turn(&mut self, now: Millis) {
        if !self.votes || !matches!(self.turn, Turn::Idle) {
            return;
        }
        let me = self.place.local.host;
        let epoch = Term { number: self.round.max(self.acceptor.promised.number) + 1, leader: me };
        self.promise(epoch);
        self.contact.clear();
        let found = self.pending().into_iter().collect();
        let (joined, promised) = (self.acceptor.joined, BTreeSet::from([me]));
        self.turn = Turn::Asking(Asking { epoch, since: now, joined, promised, found });
        let position = self.progress.position;
        for host in self.others() {
            self.send(host, StoreMessage::Prepare(epoch, position));
        }
        self.look_asked(now);
    }

    /// A seat holds more than a promise can tell: who is so far behind catches up first and then asks again.
    pub(crate) fn give_up_asking(&mut self, now: Millis, from: Host, epoch: Term) {
        if matches!(&self.turn, Turn::Asking(asking) if asking.epoch == epoch) {
            self.log("writer-behind", format!("round={} peer={from}", epoch.number));
            self.turn = Turn::Idle;
            self.begin_transfer(now, from);
        }
    }

    pub(crate) fn on_promise(
        &mut self, now: Millis, from: Host, epoch: Term, joined: Term, chosen: Vec<NamedEntry>,
        pending: Vec<NamedEntry>,
    ) {
        if !self.is_seat(from) || !matches!(&self.turn, Turn::Asking(asking) if asking.epoch == epoch) {
            return;
        }
        self.merge(chosen);
        let Turn::Asking(asking) = &mut self.turn else { return };
        asking.joined = asking.joined.max(joined);
        for (name, entry) in pending {
            if asking.found.get(&name).is_none_or(|known| known.stamp < entry.stamp) {
                asking.found.insert(name, entry);
            }
        }
        asking.promised.insert(from);
        self.look_asked(now);
    }

    fn look_asked(&mut self, now: Millis) {
        let quorum = self.quorum();
        let Turn::Asking(asking) = &self.turn else { return };
        if asking.promised.len() < quorum {
            return;
        }
        let (epoch, base) = (asking.epoch, self.base(asking));
        self.turn = Turn::Holding(Holding {
            epoch,
            base: base.clone(),
            next: 0,
            chosen: 0,
            flights: BTreeMap::new(),
            reseating: None,
        });
        self.log("writer", format!("round={} found={}", epoch.number, base.len()));
        self.write(now, base, Vec::new());
        self.work_off(now);
    }

    /// What a new turn takes over. A value that was chosen is pending or chosen at one of the quorum that promised. What is
    /// older than the newest turn that any of these joined, and is neither chosen there nor in that turn's first write, cannot
    /// have been: who joins a turn holds all that was chosen before it ([`Replica::on_begin`]), by the quorum that its writer asked.
    fn base(&self, asking: &Asking) -> Vec<NamedEntry> {
        let stamp = Stamp { term: asking.epoch, sequence: 0 };
        let newer = |name: &str, entry: &Entry| {
            let chosen = self.items.get(name).and_then(|item| item.chosen.as_ref());
            chosen.is_none_or(|c| c.stamp < entry.stamp)
        };
        let found = asking.found.iter().filter(|(_, entry)| entry.stamp.term >= asking.joined);
        let found = found.filter(|(name, entry)| newer(name, entry));
        found.map(|(name, entry)| (name.clone(), Entry { stamp, ..entry.clone() })).collect()
    }

    /// Has entries taken by all seats; their stamps are set here. Callers are answered once they are chosen. A write of nothing is a
    /// round of contact: once it is chosen, no other store can have begun a turn before it was sent.
    pub(crate) fn write(&mut self, now: Millis, mut entries: Vec<NamedEntry>, owed: Vec<(Ticket, Reply)>) {
        let me = self.place.local.host;
        let Turn::Holding(holding) = &mut self.turn else { return };
        let stamp = Stamp { term: holding.epoch, sequence: holding.next };
        holding.next += 1;
        entries.iter_mut().for_each(|(_, entry)| entry.stamp = stamp);
        if entries.iter().any(|(name, _)| name == crate::MEMBERS_KEY) {
            holding.reseating = Some(stamp.sequence);
        }
        let taken = BTreeSet::from([me]);
        let flight = Flight { entries: entries.clone(), taken, owed, begun: now, sent: now };
        holding.flights.insert(stamp.sequence, flight);
        let chosen = holding.chosen;
        self.take(stamp, entries.clone());
        let word = self.word_of(stamp, entries, chosen);
        for host in self.others() {
            self.send(host, word.clone());
        }
        self.look_taken(now);
    }

    /// A write as it is sent to seats.
    fn word_of(&self, stamp: Stamp, entries: Vec<NamedEntry>, chosen: u64) -> StoreMessage {
        match stamp.sequence {
            0 => StoreMessage::BeginTerm { term: stamp.term, entries, digest: self.digest, missing: None },
            _ => StoreMessage::Accept { stamp, entries, chosen },
        }
    }

    /// Answers a call that needs nothing written, after a round of contact with a quorum under this turn. Nothing that a writer says
    /// rests on its own view alone: cut off, it would confirm or refuse by what is no longer so.
    fn confirm(&mut self, now: Millis, ticket: Ticket, reply: Reply) {
        self.write(now, Vec::new(), vec![(ticket, reply)]);
    }

    pub(crate) fn on_accepted(&mut self, now: Millis, from: Host, stamp: Stamp) {
        if !self.is_seat(from) {
            return;
        }
        let Turn::Holding(holding) = &mut self.turn else { return };
        if holding.epoch == stamp.term
            && let Some(flight) = holding.flights.get_mut(&stamp.sequence)
        {
            flight.taken.insert(from);
            self.look_taken(now);
        }
    }

    /// Writes are chosen in their order: what a later one was decided by must be there first.
    fn look_taken(&mut self, now: Millis) {
        loop {
            let quorum = self.quorum();
            let seats: BTreeSet<Host> = self.seats.members.iter().map(|seat| seat.host).collect();
            let Turn::Holding(holding) = &mut self.turn else { return };
            let Some(first) = holding.flights.first_entry() else { return };
            if first.get().taken.intersection(&seats).count() < quorum {
                return;
            }
            let (turn, flight) = first.remove_entry();
            holding.chosen = turn + 1;
            let stamp = Stamp { term: holding.epoch, sequence: turn };
            let reseated = holding.reseating.take_if(|at| *at == turn).is_some();
            let others = self.others();
            self.choose(stamp.term, turn + 1);
            if !flight.entries.is_empty() {
                for host in others {
                    self.send(host, StoreMessage::Chosen(stamp));
                }
            }
            for (ticket, reply) in flight.owed {
                self.reply(ticket, reply);
            }
            if reseated {
                let seats = self.seats.members.len();
                self.log("seats", format!("version={} seats={seats}", self.seats.version));
                if !self.is_seat(self.place.local.host) {
                    self.step_down(Term { number: u64::MAX, leader: Host(0) });
                    return;
                }
            }
            self.work_off(now);
        }
    }

    pub(crate) fn on_refused(&mut self, epoch: Term) {
        self.round = self.round.max(epoch.number);
        self.step_down(epoch);
    }

    /// Another has the turn. What is out may still be chosen, or not.
    pub(crate) fn step_down(&mut self, epoch: Term) {
        let mine = match &self.turn {
            Turn::Idle => return,
            Turn::Asking(asking) => asking.epoch,
            Turn::Holding(holding) => holding.epoch,
        };
        if epoch <= mine {
            return;
        }
        self.end_turn(&format!("by={}", epoch.leader));
    }

    /// Ends the turn, or gives up asking for one. What is out may still be chosen, or not: its callers have no clear answer.
    fn end_turn(&mut self, why: &str) {
        self.contact.clear();
        if let Turn::Holding(holding) = std::mem::replace(&mut self.turn, Turn::Idle) {
            self.log("writer-ended", format!("round={} {why}", holding.epoch.number));
            for (ticket, _) in holding.flights.into_values().flat_map(|flight| flight.owed) {
                self.answer_unclear(ticket);
            }
        }
    }

    /// Why a writer has to end its turn by itself, if it has to.
    fn out_of_contact(&self, now: Millis) -> Option<&'static str> {
        let Turn::Holding(holding) = &self.turn else { return None };
        let heard = |host: &Host| self.contact.get(host).is_some_and(|at| now - at < QUORUM_CONTACT_TIMEOUT);
        // Itself included; its turn began with words of a quorum.
        let contact = 1 + self.others().iter().filter(|host| heard(host)).count();
        if contact < self.quorum() {
            return Some("out-of-contact");
        }
        let oldest = holding.flights.values().next()?;
        (now - oldest.begun >= ACCEPT_TIMEOUT).then_some("not-taken")
    }

    /// A seat lacks the first write of the turn, or what is chosen since before it: it gets both, and all that is out. One that lacks
    /// more than a message bears gets the first chunk of it, and says once more that it is behind when it has caught up.
    pub(crate) fn on_behind(&mut self, from: Host, epoch: Term, since: Stamp) {
        let Turn::Holding(holding) = &self.turn else { return };
        if holding.epoch != epoch {
            return;
        }
        let Some(lacked) = self.tail(since) else {
            return self.send(from, StoreMessage::CatchUp);
        };
        let (entries, chosen) = (holding.base.clone(), holding.chosen);
        let begin =
            StoreMessage::BeginTerm { term: epoch, entries, digest: self.digest, missing: Some(lacked) };
        let rest = holding.flights.iter().filter(|(turn, _)| **turn > 0);
        let rest = rest.map(|(turn, flight)| {
            self.word_of(Stamp { term: epoch, sequence: *turn }, flight.entries.clone(), chosen)
        });
        let words: Vec<StoreMessage> = std::iter::once(begin).chain(rest).collect();
        self.out.extend(words.into_iter().map(|word| Output::Send(from, word)));
    }

    pub(crate) fn writer_tick(&mut self, now: Millis) {
        if let Some(why) = self.out_of_contact(now) {
            self.end_turn(why);
        }
        let others = self.others();
        match &mut self.turn {
            Turn::Idle => {}
            Turn::Asking(asking) => {
                if now - asking.since > ASKING {
                    self.turn = Turn::Idle;
                }
            }
            Turn::Holding(holding) => {
                let (epoch, chosen) = (holding.epoch, holding.chosen);
                let mut again = Vec::new();
                for (turn, flight) in holding.flights.iter_mut().filter(|(_, f)| now - f.sent > AGAIN) {
                    flight.sent = now;
                    let missing = others.iter().filter(|host| !flight.taken.contains(host)).copied();
                    again.push((
                        Stamp { term: epoch, sequence: *turn },
                        flight.entries.clone(),
                        missing.collect(),
                    ));
                }
                for (stamp, entries, missing) in again {
                    let (word, missing): (StoreMessage, Vec<Host>) =
                        (self.word_of(stamp, entries, chosen), missing);
                    missing.into_iter().for_each(|host| self.send(host, word.clone()));
                }
            }
        }
    }

    /// Who is thought to write, if that was heard lately and is not about to leave.
    pub(crate) fn writer(&self, now: Millis) -> Option<Host> {
        let seat = self.acceptor.promised.leader;
        let peer = self.peers.get(&seat)?;
        let counts = self.acceptor.promised.number > 0 && self.is_seat(seat) && !peer.leaving;
        (counts && now - peer.heard < 2.5 * HEARTBEAT_INTERVAL).then_some(seat)
    }

    /// Decides what a call writes, by the view of who writes.
    pub(crate) fn decide(&mut self, now: Millis, ticket: Ticket, ask: StoreRequest) {
        let reseating = matches!(&self.turn, Turn::Holding(h) if h.reseating.is_some());
        if reseating || self.is_under_way(&ask) {
            return self.wait(now, ticket, ask);
        }
        match ask {
            StoreRequest::Read => self.confirm(now, ticket, Reply::Read),
            StoreRequest::Note(name, text) => {
                let name = format!("m:{name}");
                let revision = self.view(&name).map_or(0, |entry| entry.revision) + 1;
                let entry = Entry { revision, body: Some(text), ..Entry::default() };
                self.write(now, vec![(name, entry)], vec![(ticket, Reply::Done)]);
            }
            StoreRequest::MaintenanceStep(seen, records) => {
                let all = self.items.keys().filter_map(|name| Some((name.as_str(), self.view(name)?)));
                if fennelscale_maintenance::view_hash(all) != seen {
                    // Something that had a say in it has changed since it was decided: this is the fence.
                    let told = StoreResponse::Conflict("decided from an older view".into());
                    return self.confirm(now, ticket, Reply::Refusal(told));
                }
                let entry = |(name, body): (String, Option<String>)| {
                    let revision = self.view(&name).map_or(0, |entry| entry.revision) + 1;
                    (name, Entry { revision, body, ..Entry::default() })
                };
                let entries = records.into_iter().map(entry).collect();
                self.write(now, entries, vec![(ticket, Reply::Done)]);
            }
            StoreRequest::Evacuate(zone, on, seen) => {
                let name = format!("e:{zone}");
                let known = self.view(&name);
                let (stands, revision) = known.map_or((false, 0), |e| (e.body.is_some(), e.revision));
                if stands != on && seen.is_some_and(|seen| seen != revision) {
                    // Another order came between, or the copy that took this one was old: who sends it again is heard.
                    return self.answer_unclear(ticket);
                }
                // Also where it stands already: an order that was held up and came before this one must find another version.
                let body = on.then(|| "{}".to_owned());
                let entry = Entry { revision: revision + 1, body, ..Entry::default() };
                self.write(now, vec![(name, entry)], vec![(ticket, Reply::Done)]);
            }
            StoreRequest::Change(changes) => match self.entries_of(changes) {
                Ok(entries) if entries.is_empty() => self.confirm(now, ticket, Reply::Done),
                Ok(entries) => self.write(now, entries, vec![(ticket, Reply::Done)]),
                Err(told) => self.confirm(now, ticket, Reply::Refusal(told)),
            },
        }
    }

    /// Whether a call writes a name whose last write is out and not chosen. Each name has one place for what is taken: a second
    /// write in it would hide the first, which may have been acknowledged in an earlier turn, from whoever reads in between.
    fn is_under_way(&self, ask: &StoreRequest) -> bool {
        let out = |name: &str| self.items.get(name).is_some_and(|item| item.pending.is_some());
        match ask {
            StoreRequest::Read => false,
            StoreRequest::Note(name, _) => out(&format!("m:{name}")),
            StoreRequest::MaintenanceStep(_, records) => records.iter().any(|(name, _)| out(name)),
            StoreRequest::Evacuate(zone, ..) => out(&format!("e:{zone}")),
            StoreRequest::Change(changes) => changes.iter().any(|change| out(&change.name)),
        }
    }

    /// Whether the origin of a call is this machine's registry.
    pub(crate) fn is_local(origin: &Origin) -> bool {
        matches!(origin, Origin::Registry(_))
    }
}
