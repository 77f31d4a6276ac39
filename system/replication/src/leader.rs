//! The one who writes at the moment: asks for its turn, takes over what may have been chosen, and has writes taken.
//!
//! Any seat may ask for the turn; two who ask at once are told apart by their epochs. Who has it decides calls by its own
//! view, and may: nothing else can be taken by a quorum until another has asked a quorum.

use crate::calls::{Origin, Reply, Ticket};
use crate::{HEARTBEAT_INTERVAL, Millis, Output, Replica};
use fennelscale_messages::Host;
use fennelscale_messages::depot::{Ask, Entry, Epoch, Named, Stamp, Told, Word};
use std::collections::{BTreeMap, BTreeSet};

/// Asking for the turn is given up after this; guards against quorums that are not there.
const ELECTION_TIMEOUT: Millis = 700.0;
/// A write that is not taken by all is sent again after this.
const RESEND_INTERVAL: Millis = 500.0;
/// A writer that has heard no word of a quorum for this long ends its turn: four beats, and some.
pub const QUORUM_CONTACT_TIMEOUT: Millis = 2000.0;
/// One whose write is not taken for this long does so too, whatever it hears: its own words may not arrive.
pub const ACCEPT_TIMEOUT: Millis = 2500.0;

/// Whether this store writes.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// It does not.
    Follower,
    /// It asks to.
    Candidate(Campaign),
    /// It does.
    Leader(Leadership),
}

#[derive(Clone, Debug)]
pub(crate) struct Campaign {
    epoch: Epoch,
    started_at: Millis,
    joined: Epoch,
    promised_by: BTreeSet<Host>,
    pending: BTreeMap<String, Entry>,
}

#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    pub(crate) epoch: Epoch,
    /// The turn's first write, for seats that missed it.
    initial_entries: Vec<Named>,
    next_write: u64,
    /// DiskWrites below this are chosen.
    chosen_below: u64,
    in_flight: BTreeMap<u64, InFlightWrite>,
    /// The list of seats changes: until that is chosen nothing else is written.
    pub(crate) membership_change: Option<u64>,
}

#[derive(Clone, Debug)]
struct InFlightWrite {
    entries: Vec<Named>,
    accepted_by: BTreeSet<Host>,
    /// Who is told what when it is chosen.
    replies: Vec<(Ticket, Reply)>,
    proposed_at: Millis,
    last_sent: Millis,
}

impl Replica {
    /// Asks for the turn.
    pub(crate) fn start_election(&mut self, now: Millis) {
        if !self.voting || !matches!(self.role, Role::Follower) {
            return;
        }
        let local = self.config.local.host;
        let epoch = Epoch { round: self.highest_round.max(self.acceptor.promised.round) + 1, seat: local };
        self.promise(epoch);
        self.last_contact.clear();
        let pending = self.pending_entries().into_iter().collect();
        let (joined, promised_by) = (self.acceptor.joined, BTreeSet::from([local]));
        self.role = Role::Candidate(Campaign { epoch, started_at: now, joined, promised_by, pending });
        let position = self.progress.position;
        for host in self.other_members() {
            self.send(host, Word::Prepare(epoch, position));
        }
        self.check_promises(now);
    }

    /// A seat holds more than a promise can tell: who is so far behind catches up first and then asks again.
    pub(crate) fn abandon_election(&mut self, now: Millis, from: Host, epoch: Epoch) {
        if matches!(&self.role, Role::Candidate(campaign) if campaign.epoch == epoch) {
            self.log("writer-behind", format!("round={} peer={from}", epoch.round));
            self.role = Role::Follower;
            self.start_transfer(now, from);
        }
    }

    pub(crate) fn on_promise(
        &mut self, now: Millis, from: Host, epoch: Epoch, joined: Epoch, chosen: Vec<Named>,
        pending: Vec<Named>,
    ) {
        if !self.is_member(from)
            || !matches!(&self.role, Role::Candidate(campaign) if campaign.epoch == epoch)
        {
            return;
        }
        self.merge_chosen(chosen);
        let Role::Candidate(campaign) = &mut self.role else { return };
        campaign.joined = campaign.joined.max(joined);
        for (name, entry) in pending {
            if campaign.pending.get(&name).is_none_or(|known| known.stamp < entry.stamp) {
                campaign.pending.insert(name, entry);
            }
        }
        campaign.promised_by.insert(from);
        self.check_promises(now);
    }

    fn check_promises(&mut self, now: Millis) {
        let quorum = self.quorum();
        let Role::Candidate(campaign) = &self.role else { return };
        if campaign.promised_by.len() < quorum {
            return;
        }
        let (epoch, initial_entries) = (campaign.epoch, self.recovered_entries(campaign));
        self.role = Role::Leader(Leadership {
            epoch,
            initial_entries: initial_entries.clone(),
            next_write: 0,
            chosen_below: 0,
            in_flight: BTreeMap::new(),
            membership_change: None,
        });
        self.log("writer", format!("round={} found={}", epoch.round, initial_entries.len()));
        self.propose(now, initial_entries, Vec::new());
        self.process_queue(now);
    }

    /// What a new turn takes over. A value that was chosen is pending or chosen at one of the quorum that promised. What is
    /// older than the newest turn that any of these joined, and is neither chosen there nor in that turn's first write, cannot
    /// have been: who joins a turn holds all that was chosen before it ([`Replica::on_begin`]), by the quorum that its writer asked.
    fn recovered_entries(&self, campaign: &Campaign) -> Vec<Named> {
        let stamp = Stamp { epoch: campaign.epoch, turn: 0 };
        let newer = |name: &str, entry: &Entry| {
            let chosen = self.items.get(name).and_then(|item| item.chosen.as_ref());
            chosen.is_none_or(|c| c.stamp < entry.stamp)
        };
        let recovered = campaign.pending.iter().filter(|(_, entry)| entry.stamp.epoch >= campaign.joined);
        let recovered = recovered.filter(|(name, entry)| newer(name, entry));
        recovered.map(|(name, entry)| (name.clone(), Entry { stamp, ..entry.clone() })).collect()
    }

    /// Has entries taken by all seats; their stamps are set here. Callers are answered once they are chosen. A write of nothing is a
    /// round of contact: once it is chosen, no other store can have begun a turn before it was sent.
    pub(crate) fn propose(&mut self, now: Millis, mut entries: Vec<Named>, replies: Vec<(Ticket, Reply)>) {
        let local = self.config.local.host;
        let Role::Leader(leadership) = &mut self.role else { return };
        let stamp = Stamp { epoch: leadership.epoch, turn: leadership.next_write };
        leadership.next_write += 1;
        entries.iter_mut().for_each(|(_, entry)| entry.stamp = stamp);
        if entries.iter().any(|(name, _)| name == crate::MEMBERS_KEY) {
            leadership.membership_change = Some(stamp.turn);
        }
        let accepted_by = BTreeSet::from([local]);
        let write = InFlightWrite {
            entries: entries.clone(),
            accepted_by,
            replies,
            proposed_at: now,
            last_sent: now,
        };
        leadership.in_flight.insert(stamp.turn, write);
        let chosen = leadership.chosen_below;
        self.accept(stamp, entries.clone());
        let word = self.message_for_write(stamp, entries, chosen);
        for host in self.other_members() {
            self.send(host, word.clone());
        }
        self.advance_chosen(now);
    }

    /// A write as it is sent to seats.
    fn message_for_write(&self, stamp: Stamp, entries: Vec<Named>, chosen: u64) -> Word {
        match stamp.turn {
            0 => Word::Begin { epoch: stamp.epoch, entries, digest: self.digest, lacked: None },
            _ => Word::Accept { stamp, entries, chosen },
        }
    }

    /// Answers a call that needs nothing written, after a round of contact with a quorum under this turn. Nothing that a writer says
    /// rests on its own view alone: cut off, it would confirm or refuse by what is no longer so.
    fn confirm_leadership(&mut self, now: Millis, ticket: Ticket, reply: Reply) {
        self.propose(now, Vec::new(), vec![(ticket, reply)]);
    }

    pub(crate) fn on_accepted(&mut self, now: Millis, from: Host, stamp: Stamp) {
        if !self.is_member(from) {
            return;
        }
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.epoch == stamp.epoch
            && let Some(write) = leadership.in_flight.get_mut(&stamp.turn)
        {
            write.accepted_by.insert(from);
            self.advance_chosen(now);
        }
    }

    /// Writes are chosen in their order: what a later one was decided by must be there first.
    fn advance_chosen(&mut self, now: Millis) {
        loop {
            let quorum = self.quorum();
            let seats: BTreeSet<Host> = self.members.seats.iter().map(|seat| seat.host).collect();
            let Role::Leader(leadership) = &mut self.role else { return };
            let Some(first) = leadership.in_flight.first_entry() else { return };
            if first.get().accepted_by.intersection(&seats).count() < quorum {
                return;
            }
            let (number, write) = first.remove_entry();
            leadership.chosen_below = number + 1;
            let stamp = Stamp { epoch: leadership.epoch, turn: number };
            let members_changed = leadership.membership_change.take_if(|at| *at == number).is_some();
            let others = self.other_members();
            self.mark_chosen(stamp.epoch, number + 1);
            if !write.entries.is_empty() {
                for host in others {
                    self.send(host, Word::Chosen(stamp));
                }
            }
            for (ticket, reply) in write.replies {
                self.reply(ticket, reply);
            }
            if members_changed {
                let seats = self.members.seats.len();
                self.log("seats", format!("version={} seats={seats}", self.members.version));
                if !self.is_member(self.config.local.host) {
                    self.step_down(Epoch { round: u64::MAX, seat: Host(0) });
                    return;
                }
            }
            self.process_queue(now);
        }
    }

    pub(crate) fn on_refused(&mut self, epoch: Epoch) {
        self.highest_round = self.highest_round.max(epoch.round);
        self.step_down(epoch);
    }

    /// Another has the turn. What is out may still be chosen, or not.
    pub(crate) fn step_down(&mut self, epoch: Epoch) {
        let mine = match &self.role {
            Role::Follower => return,
            Role::Candidate(campaign) => campaign.epoch,
            Role::Leader(leadership) => leadership.epoch,
        };
        if epoch <= mine {
            return;
        }
        self.end_term(&format!("by={}", epoch.seat));
    }

    /// Ends the turn, or gives up asking for one. What is out may still be chosen, or not: its callers have no clear answer.
    fn end_term(&mut self, why: &str) {
        self.last_contact.clear();
        if let Role::Leader(leadership) = std::mem::replace(&mut self.role, Role::Follower) {
            self.log("writer-ended", format!("round={} {why}", leadership.epoch.round));
            for (ticket, _) in leadership.in_flight.into_values().flat_map(|write| write.replies) {
                self.answer_unknown(ticket);
            }
        }
    }

    /// Why a writer has to end its turn by itself, if it has to.
    fn step_down_reason(&self, now: Millis) -> Option<&'static str> {
        let Role::Leader(leadership) = &self.role else { return None };
        let heard =
            |host: &Host| self.last_contact.get(host).is_some_and(|at| now - at < QUORUM_CONTACT_TIMEOUT);
        // Itself included; its turn began with words of a quorum.
        let heard_from = 1 + self.other_members().iter().filter(|host| heard(host)).count();
        if heard_from < self.quorum() {
            return Some("out-of-contact");
        }
        let oldest = leadership.in_flight.values().next()?;
        (now - oldest.proposed_at >= ACCEPT_TIMEOUT).then_some("not-taken")
    }

    /// A seat lacks the first write of the turn, or what is chosen since before it: it gets both, and all that is out. One that lacks
    /// more than a message bears gets the first chunk of it, and says once more that it is behind when it has caught up.
    pub(crate) fn on_behind(&mut self, from: Host, epoch: Epoch, since: Stamp) {
        let Role::Leader(leadership) = &self.role else { return };
        if leadership.epoch != epoch {
            return;
        }
        let Some(lacked) = self.entries_since(since) else {
            return self.send(from, Word::CatchUp);
        };
        let (entries, chosen) = (leadership.initial_entries.clone(), leadership.chosen_below);
        let begin = Word::Begin { epoch, entries, digest: self.digest, lacked: Some(lacked) };
        let rest = leadership.in_flight.iter().filter(|(number, _)| **number > 0);
        let rest = rest.map(|(number, write)| {
            self.message_for_write(Stamp { epoch, turn: *number }, write.entries.clone(), chosen)
        });
        let words: Vec<Word> = std::iter::once(begin).chain(rest).collect();
        self.outputs.extend(words.into_iter().map(|word| Output::Send(from, word)));
    }

    pub(crate) fn leader_tick(&mut self, now: Millis) {
        if let Some(why) = self.step_down_reason(now) {
            self.end_term(why);
        }
        let others = self.other_members();
        match &mut self.role {
            Role::Follower => {}
            Role::Candidate(campaign) => {
                if now - campaign.started_at > ELECTION_TIMEOUT {
                    self.role = Role::Follower;
                }
            }
            Role::Leader(leadership) => {
                let (epoch, chosen) = (leadership.epoch, leadership.chosen_below);
                let mut resend = Vec::new();
                for (number, write) in
                    leadership.in_flight.iter_mut().filter(|(_, f)| now - f.last_sent > RESEND_INTERVAL)
                {
                    write.last_sent = now;
                    let missing = others.iter().filter(|host| !write.accepted_by.contains(host)).copied();
                    resend.push((Stamp { epoch, turn: *number }, write.entries.clone(), missing.collect()));
                }
                for (stamp, entries, missing) in resend {
                    let (word, missing): (Word, Vec<Host>) =
                        (self.message_for_write(stamp, entries, chosen), missing);
                    missing.into_iter().for_each(|host| self.send(host, word.clone()));
                }
            }
        }
    }

    /// Who is thought to write, if that was heard lately and is not about to leave.
    pub(crate) fn known_leader(&self, now: Millis) -> Option<Host> {
        let seat = self.acceptor.promised.seat;
        let peer = self.peers.get(&seat)?;
        let counts = self.acceptor.promised.round > 0 && self.is_member(seat) && !peer.leaving;
        (counts && now - peer.last_heartbeat < 2.5 * HEARTBEAT_INTERVAL).then_some(seat)
    }

    /// Decides what a call writes, by the view of who writes.
    pub(crate) fn decide(&mut self, now: Millis, ticket: Ticket, ask: Ask) {
        let changing_members = matches!(&self.role, Role::Leader(h) if h.membership_change.is_some());
        if changing_members || self.has_write_in_flight(&ask) {
            return self.enqueue(now, ticket, ask);
        }
        match ask {
            Ask::Read => self.confirm_leadership(now, ticket, Reply::Read),
            Ask::Note(name, text) => {
                let name = format!("m:{name}");
                let revision = self.latest_entry(&name).map_or(0, |entry| entry.revision) + 1;
                let entry = Entry { revision, body: Some(text), ..Entry::default() };
                self.propose(now, vec![(name, entry)], vec![(ticket, Reply::Done)]);
            }
            Ask::Step(seen, records) => {
                let all =
                    self.items.keys().filter_map(|name| Some((name.as_str(), self.latest_entry(name)?)));
                if fennelscale_maintenance::seen(all) != seen {
                    // Something that had a say in it has changed since it was decided: this is the fence.
                    let told = Told::Conflict("decided from an older view".into());
                    return self.confirm_leadership(now, ticket, Reply::Rejected(told));
                }
                let entry = |(name, body): (String, Option<String>)| {
                    let revision = self.latest_entry(&name).map_or(0, |entry| entry.revision) + 1;
                    (name, Entry { revision, body, ..Entry::default() })
                };
                let entries = records.into_iter().map(entry).collect();
                self.propose(now, entries, vec![(ticket, Reply::Done)]);
            }
            Ask::Evacuate(zone, on, seen) => {
                let name = format!("e:{zone}");
                let known = self.latest_entry(&name);
                let (stands, revision) = known.map_or((false, 0), |e| (e.body.is_some(), e.revision));
                if stands != on && seen.is_some_and(|seen| seen != revision) {
                    // Another order came between, or the copy that took this one was old: who sends it again is heard.
                    return self.answer_unknown(ticket);
                }
                // Also where it stands already: an order that was held up and came before this one must find another version.
                let body = on.then(|| "{}".to_owned());
                let entry = Entry { revision: revision + 1, body, ..Entry::default() };
                self.propose(now, vec![(name, entry)], vec![(ticket, Reply::Done)]);
            }
            Ask::Change(changes) => match self.entries_for(changes) {
                Ok(entries) if entries.is_empty() => self.confirm_leadership(now, ticket, Reply::Done),
                Ok(entries) => self.propose(now, entries, vec![(ticket, Reply::Done)]),
                Err(told) => self.confirm_leadership(now, ticket, Reply::Rejected(told)),
            },
        }
    }

    /// Whether a call writes a name whose last write is out and not chosen. Each name has one place for what is taken: a second
    /// write in it would hide the first, which may have been acknowledged in an earlier turn, from whoever reads in between.
    fn has_write_in_flight(&self, ask: &Ask) -> bool {
        let in_flight = |name: &str| self.items.get(name).is_some_and(|item| item.pending.is_some());
        match ask {
            Ask::Read => false,
            Ask::Note(name, _) => in_flight(&format!("m:{name}")),
            Ask::Step(_, records) => records.iter().any(|(name, _)| in_flight(name)),
            Ask::Evacuate(zone, ..) => in_flight(&format!("e:{zone}")),
            Ask::Change(changes) => changes.iter().any(|change| in_flight(&change.name)),
        }
    }

    /// Whether the origin of a call is this machine's registry.
    pub(crate) fn is_local(origin: &Origin) -> bool {
        matches!(origin, Origin::Registry(_))
    }
}
