//! Leader: runs for election, takes over what may have been chosen, and proposes writes.
//!
//! Any member may start an election; terms order candidates that compete. The leader decides calls by its own
//! latest entries. That is safe because no quorum accepts anything else until another candidate has collected
//! promises from a quorum.

use crate::calls::{Origin, Reply, Ticket};
use crate::{HEARTBEAT_INTERVAL, Millis, Output, Replica};
use fennelscale_messages::Host;
use fennelscale_messages::store::{
    Entry, NamedEntry, Stamp, StoreMessage, StoreRequest, StoreResponse, Term,
};
use std::collections::{BTreeMap, BTreeSet};

/// A candidate gives up after this time, for instance when no quorum is reachable.
const ELECTION_TIMEOUT: Millis = 700.0;
/// A write that some members have not accepted is sent again after this time.
const RESEND_INTERVAL: Millis = 500.0;
/// A leader that has heard nothing from a quorum for this long ends its term: four heartbeats and some slack.
pub const QUORUM_CONTACT_TIMEOUT: Millis = 2000.0;
/// A leader whose write is not accepted by a quorum for this long also ends its term, even if it hears from
/// the members: its own messages may not arrive.
pub const ACCEPT_TIMEOUT: Millis = 2500.0;

/// Role of this replica in the current term.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// Neither leads nor wants to.
    Follower,
    /// Has asked the members for their promises.
    Candidate(Campaign),
    /// Leads, and proposes writes.
    Leader(Leadership),
}

#[derive(Clone, Debug)]
pub(crate) struct Campaign {
    term: Term,
    started_at: Millis,
    joined: Term,
    promised_by: BTreeSet<Host>,
    pending: BTreeMap<String, Entry>,
}

#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    pub(crate) term: Term,
    /// First write of the term, kept for members that missed it.
    initial_entries: Vec<NamedEntry>,
    next_write: u64,
    /// Writes below this number are chosen.
    chosen_below: u64,
    in_flight: BTreeMap<u64, InFlightWrite>,
    /// Number of a write that changes the member list; nothing else is proposed until it is chosen.
    pub(crate) membership_change: Option<u64>,
}

#[derive(Clone, Debug)]
struct InFlightWrite {
    entries: Vec<NamedEntry>,
    accepted_by: BTreeSet<Host>,
    /// Replies to send once the write is chosen.
    replies: Vec<(Ticket, Reply)>,
    proposed_at: Millis,
    last_sent: Millis,
}

impl Replica {
    /// Starts an election: promises a new term to itself and asks the other members for theirs.
    pub(crate) fn start_election(&mut self, now: Millis) {
        if !self.voting || !matches!(self.role, Role::Follower) {
            return;
        }
        let local = self.config.local.host;
        let term =
            Term { number: self.highest_term_number.max(self.acceptor.promised.number) + 1, leader: local };
        self.promise(term);
        self.last_contact.clear();
        let pending = self.pending_entries().into_iter().collect();
        let (joined, promised_by) = (self.acceptor.joined, BTreeSet::from([local]));
        self.role = Role::Candidate(Campaign { term, started_at: now, joined, promised_by, pending });
        let position = self.progress.position;
        for host in self.other_members() {
            self.send(host, StoreMessage::Prepare(term, position));
        }
        self.check_promises(now);
    }

    /// Ends the election when a member holds more chosen entries than a promise can carry: this replica
    /// catches up first and then tries again.
    pub(crate) fn abandon_election(&mut self, now: Millis, from: Host, term: Term) {
        if matches!(&self.role, Role::Candidate(campaign) if campaign.term == term) {
            self.log("writer-behind", format!("round={} peer={from}", term.number));
            self.role = Role::Follower;
            self.start_transfer(now, from);
        }
    }

    pub(crate) fn on_promise(
        &mut self, now: Millis, from: Host, term: Term, joined: Term, chosen: Vec<NamedEntry>,
        pending: Vec<NamedEntry>,
    ) {
        if !self.is_member(from) || !matches!(&self.role, Role::Candidate(campaign) if campaign.term == term)
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
        let (term, initial_entries) = (campaign.term, self.recovered_entries(campaign));
        self.role = Role::Leader(Leadership {
            term,
            initial_entries: initial_entries.clone(),
            next_write: 0,
            chosen_below: 0,
            in_flight: BTreeMap::new(),
            membership_change: None,
        });
        self.log("writer", format!("round={} found={}", term.number, initial_entries.len()));
        self.propose(now, initial_entries, Vec::new());
        self.process_queue(now);
    }

    /// Entries that a new term takes over. A chosen value is chosen or pending at one of the members that
    /// promised. A value from before the newest term that any of them joined, which is neither chosen there
    /// nor in that term's first write, cannot have been chosen: by the quorum that its leader asked, a member
    /// that joins a term holds everything chosen before it ([`Replica::on_begin`]).
    fn recovered_entries(&self, campaign: &Campaign) -> Vec<NamedEntry> {
        let stamp = Stamp { term: campaign.term, sequence: 0 };
        let newer = |name: &str, entry: &Entry| {
            let chosen = self.items.get(name).and_then(|item| item.chosen.as_ref());
            chosen.is_none_or(|c| c.stamp < entry.stamp)
        };
        let recovered = campaign.pending.iter().filter(|(_, entry)| entry.stamp.term >= campaign.joined);
        let recovered = recovered.filter(|(name, entry)| newer(name, entry));
        recovered.map(|(name, entry)| (name.clone(), Entry { stamp, ..entry.clone() })).collect()
    }

    /// Proposes entries to all members and sets their stamps; callers are answered once the write is chosen.
    /// An empty write checks contact with a quorum: once it is chosen, no other replica can have started a
    /// term before it was sent.
    pub(crate) fn propose(
        &mut self, now: Millis, mut entries: Vec<NamedEntry>, replies: Vec<(Ticket, Reply)>,
    ) {
        let local = self.config.local.host;
        let Role::Leader(leadership) = &mut self.role else { return };
        let stamp = Stamp { term: leadership.term, sequence: leadership.next_write };
        leadership.next_write += 1;
        entries.iter_mut().for_each(|(_, entry)| entry.stamp = stamp);
        if entries.iter().any(|(name, _)| name == crate::MEMBERS_KEY) {
            leadership.membership_change = Some(stamp.sequence);
        }
        let accepted_by = BTreeSet::from([local]);
        let write = InFlightWrite {
            entries: entries.clone(),
            accepted_by,
            replies,
            proposed_at: now,
            last_sent: now,
        };
        leadership.in_flight.insert(stamp.sequence, write);
        let chosen = leadership.chosen_below;
        self.accept(stamp, entries.clone());
        let message = self.message_for_write(stamp, entries, chosen);
        for host in self.other_members() {
            self.send(host, message.clone());
        }
        self.advance_chosen(now);
    }

    /// The message that carries a write.
    fn message_for_write(&self, stamp: Stamp, entries: Vec<NamedEntry>, chosen: u64) -> StoreMessage {
        match stamp.sequence {
            0 => StoreMessage::BeginTerm { term: stamp.term, entries, digest: self.digest, missing: None },
            _ => StoreMessage::Accept { stamp, entries, chosen },
        }
    }

    /// Answers a call that writes nothing, after a round trip to a quorum in this term. A leader never
    /// answers from its local state alone: if it was cut off, that state may be outdated.
    fn confirm_leadership(&mut self, now: Millis, ticket: Ticket, reply: Reply) {
        self.propose(now, Vec::new(), vec![(ticket, reply)]);
    }

    pub(crate) fn on_accepted(&mut self, now: Millis, from: Host, stamp: Stamp) {
        if !self.is_member(from) {
            return;
        }
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.term == stamp.term
            && let Some(write) = leadership.in_flight.get_mut(&stamp.sequence)
        {
            write.accepted_by.insert(from);
            self.advance_chosen(now);
        }
    }

    /// Marks writes as chosen, in order: a later write was decided on the basis of the earlier ones.
    fn advance_chosen(&mut self, now: Millis) {
        loop {
            let quorum = self.quorum();
            let members: BTreeSet<Host> = self.members.members.iter().map(|member| member.host).collect();
            let Role::Leader(leadership) = &mut self.role else { return };
            let Some(first) = leadership.in_flight.first_entry() else { return };
            if first.get().accepted_by.intersection(&members).count() < quorum {
                return;
            }
            let (number, write) = first.remove_entry();
            leadership.chosen_below = number + 1;
            let stamp = Stamp { term: leadership.term, sequence: number };
            let members_changed = leadership.membership_change.take_if(|at| *at == number).is_some();
            let others = self.other_members();
            self.mark_chosen(stamp.term, number + 1);
            if !write.entries.is_empty() {
                for host in others {
                    self.send(host, StoreMessage::Chosen(stamp));
                }
            }
            for (ticket, reply) in write.replies {
                self.reply(ticket, reply);
            }
            if members_changed {
                let members = self.members.members.len();
                self.log("seats", format!("version={} seats={members}", self.members.version));
                if !self.is_member(self.config.local.host) {
                    self.step_down(Term { number: u64::MAX, leader: Host(0) });
                    return;
                }
            }
            self.process_queue(now);
        }
    }

    pub(crate) fn on_rejected(&mut self, term: Term) {
        self.highest_term_number = self.highest_term_number.max(term.number);
        self.step_down(term);
    }

    /// Steps down for a leader or candidate of a higher term. Writes in flight may or may not be chosen.
    pub(crate) fn step_down(&mut self, term: Term) {
        let own_term = match &self.role {
            Role::Follower => return,
            Role::Candidate(campaign) => campaign.term,
            Role::Leader(leadership) => leadership.term,
        };
        if term <= own_term {
            return;
        }
        self.end_term(&format!("by={}", term.leader));
    }

    /// Ends the term or the candidacy. Writes in flight may or may not be chosen, so their callers are told
    /// that the outcome is unknown.
    fn end_term(&mut self, reason: &str) {
        self.last_contact.clear();
        if let Role::Leader(leadership) = std::mem::replace(&mut self.role, Role::Follower) {
            self.log("writer-ended", format!("round={} {reason}", leadership.term.number));
            for (ticket, _) in leadership.in_flight.into_values().flat_map(|write| write.replies) {
                self.answer_unknown(ticket);
            }
        }
    }

    /// The reason why the leader must end its term by itself, if there is one.
    fn step_down_reason(&self, now: Millis) -> Option<&'static str> {
        let Role::Leader(leadership) = &self.role else { return None };
        let heard =
            |host: &Host| self.last_contact.get(host).is_some_and(|at| now - at < QUORUM_CONTACT_TIMEOUT);
        // Counts the leader itself. Its term began with messages from a quorum.
        let heard_from = 1 + self.other_members().iter().filter(|host| heard(host)).count();
        if heard_from < self.quorum() {
            return Some("out-of-contact");
        }
        let oldest = leadership.in_flight.values().next()?;
        (now - oldest.proposed_at >= ACCEPT_TIMEOUT).then_some("not-taken")
    }

    /// A member lacks the first write of the term or earlier chosen entries: it gets both and all writes in
    /// flight. If it lacks more than one message can carry, it is told to fetch the entries in chunks; it
    /// reports that it is behind once more when it has caught up.
    pub(crate) fn on_behind(&mut self, from: Host, term: Term, since: Stamp) {
        let Role::Leader(leadership) = &self.role else { return };
        if leadership.term != term {
            return;
        }
        let Some(missing) = self.entries_since(since) else {
            return self.send(from, StoreMessage::CatchUp);
        };
        let (entries, chosen) = (leadership.initial_entries.clone(), leadership.chosen_below);
        let begin = StoreMessage::BeginTerm { term, entries, digest: self.digest, missing: Some(missing) };
        let rest = leadership.in_flight.iter().filter(|(number, _)| **number > 0);
        let rest = rest.map(|(number, write)| {
            self.message_for_write(Stamp { term, sequence: *number }, write.entries.clone(), chosen)
        });
        let messages: Vec<StoreMessage> = std::iter::once(begin).chain(rest).collect();
        self.outputs.extend(messages.into_iter().map(|message| Output::Send(from, message)));
    }

    pub(crate) fn leader_tick(&mut self, now: Millis) {
        if let Some(reason) = self.step_down_reason(now) {
            self.end_term(reason);
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
                let (term, chosen) = (leadership.term, leadership.chosen_below);
                let mut resend = Vec::new();
                for (number, write) in leadership
                    .in_flight
                    .iter_mut()
                    .filter(|(_, write)| now - write.last_sent > RESEND_INTERVAL)
                {
                    write.last_sent = now;
                    let missing = others.iter().filter(|host| !write.accepted_by.contains(host)).copied();
                    resend.push((
                        Stamp { term, sequence: *number },
                        write.entries.clone(),
                        missing.collect(),
                    ));
                }
                for (stamp, entries, missing) in resend {
                    let (message, missing): (StoreMessage, Vec<Host>) =
                        (self.message_for_write(stamp, entries, chosen), missing);
                    missing.into_iter().for_each(|host| self.send(host, message.clone()));
                }
            }
        }
    }

    /// The presumed leader, if it was heard from recently and is not about to leave.
    pub(crate) fn known_leader(&self, now: Millis) -> Option<Host> {
        let member = self.acceptor.promised.leader;
        let peer = self.peers.get(&member)?;
        let is_available = self.acceptor.promised.number > 0 && self.is_member(member) && !peer.leaving;
        (is_available && now - peer.last_heartbeat < 2.5 * HEARTBEAT_INTERVAL).then_some(member)
    }

    /// Decides what a call writes, based on the latest entries of the leader.
    pub(crate) fn decide(&mut self, now: Millis, ticket: Ticket, request: StoreRequest) {
        let changing_members =
            matches!(&self.role, Role::Leader(leadership) if leadership.membership_change.is_some());
        if changing_members || self.has_write_in_flight(&request) {
            return self.enqueue(now, ticket, request);
        }
        match request {
            StoreRequest::Read => self.confirm_leadership(now, ticket, Reply::Read),
            StoreRequest::Note(name, text) => {
                let name = format!("m:{name}");
                let revision = self.latest_entry(&name).map_or(0, |entry| entry.revision) + 1;
                let entry = Entry { revision, body: Some(text), ..Entry::default() };
                self.propose(now, vec![(name, entry)], vec![(ticket, Reply::Done)]);
            }
            StoreRequest::MaintenanceStep(seen, records) => {
                let all =
                    self.items.keys().filter_map(|name| Some((name.as_str(), self.latest_entry(name)?)));
                if fennelscale_maintenance::view_hash(all) != seen {
                    // An entry that the decision depended on has changed since: this check is the fence
                    // against outdated decisions.
                    let response = StoreResponse::Conflict("decided from an older view".into());
                    return self.confirm_leadership(now, ticket, Reply::Rejected(response));
                }
                let entry = |(name, body): (String, Option<String>)| {
                    let revision = self.latest_entry(&name).map_or(0, |entry| entry.revision) + 1;
                    (name, Entry { revision, body, ..Entry::default() })
                };
                let entries = records.into_iter().map(entry).collect();
                self.propose(now, entries, vec![(ticket, Reply::Done)]);
            }
            StoreRequest::Evacuate(zone, on, seen) => {
                let name = format!("e:{zone}");
                let known = self.latest_entry(&name);
                let (in_force, revision) = known.map_or((false, 0), |e| (e.body.is_some(), e.revision));
                if in_force != on && seen.is_some_and(|seen| seen != revision) {
                    // Another order came in between, or the replica that received this one was behind; the
                    // caller may send it again.
                    return self.answer_unknown(ticket);
                }
                // The version advances even if the state is the same, so that a delayed earlier order finds
                // another version.
                let body = on.then(|| "{}".to_owned());
                let entry = Entry { revision: revision + 1, body, ..Entry::default() };
                self.propose(now, vec![(name, entry)], vec![(ticket, Reply::Done)]);
            }
            StoreRequest::Change(changes) => match self.entries_for(changes) {
                Ok(entries) if entries.is_empty() => self.confirm_leadership(now, ticket, Reply::Done),
                Ok(entries) => self.propose(now, entries, vec![(ticket, Reply::Done)]),
                Err(response) => self.confirm_leadership(now, ticket, Reply::Rejected(response)),
            },
        }
    }

    /// Whether a call writes an entry whose last write is in flight. Each entry has room for one pending
    /// version: a second one would hide the first, which may have been acknowledged in an earlier term, from
    /// a reader in between.
    fn has_write_in_flight(&self, request: &StoreRequest) -> bool {
        let in_flight = |name: &str| self.items.get(name).is_some_and(|item| item.pending.is_some());
        match request {
            StoreRequest::Read => false,
            StoreRequest::Note(name, _) => in_flight(&format!("m:{name}")),
            StoreRequest::MaintenanceStep(_, records) => records.iter().any(|(name, _)| in_flight(name)),
            StoreRequest::Evacuate(zone, ..) => in_flight(&format!("e:{zone}")),
            StoreRequest::Change(changes) => changes.iter().any(|change| in_flight(&change.name)),
        }
    }

    /// Whether a call came from the local registry.
    pub(crate) fn is_local(origin: &Origin) -> bool {
        matches!(origin, Origin::Registry(_))
    }
}
