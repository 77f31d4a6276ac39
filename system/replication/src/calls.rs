//! Callers: what their calls change, who decides on them, and what they are told.

use crate::leader::Role;
use crate::versions::{self, VersionStatus};
use crate::{MEMBERS_KEY, Millis, Output, Replica};
use fennelscale_config::Changes;
use fennelscale_messages::Host;
use fennelscale_messages::depot::{Ask, CallId, Change, Entry, Named, Stamp, Told, Word};
use std::collections::{BTreeMap, VecDeque};

/// A call that was passed on and not answered is taken up here after this: the way there and back, twice.
const FORWARD_TIMEOUT: Millis = 450.0;
/// A call that waits for the turn longer than this has no clear answer; its caller has gone on by then.
const QUEUE_TIMEOUT: Millis = 2500.0;
/// A reader waits this long for what its copy lacks.
const READ_TIMEOUT: Millis = 1500.0;
/// The most calls that wait at once; more are told that nothing is clear.
const MAX_QUEUED_CALLS: usize = 1024;

/// Who waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// This machine's registry; its number of the call.
    Registry(u64),
    /// Another store, which passed it on.
    Peer(Host, CallId),
}

/// A call whose answer is owed.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) origin: Origin,
    pub(crate) received_at: Millis,
}

/// What a caller is told once the write that its answer rests on is chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    /// Its call is in force, or has been.
    Done,
    /// The items.
    Read,
    /// It cannot be.
    Rejected(Told),
}

#[derive(Clone, Debug)]
struct ForwardedCall {
    ticket: Ticket,
    ask: Ask,
    /// The store that it was passed on to: nobody else answers it.
    target: Host,
    deadline: Millis,
}

#[derive(Clone, Debug)]
struct PendingRead {
    ticket: Ticket,
    /// The copy has to be complete up to here.
    required: Stamp,
    /// The store that is.
    source: Host,
    deadline: Millis,
}

#[derive(Clone, Debug)]
pub(crate) struct Calls {
    queued: VecDeque<(Ticket, Ask)>,
    forwarded: BTreeMap<CallId, ForwardedCall>,
    pending_reads: Vec<PendingRead>,
    last_id: CallId,
}

impl Calls {
    pub(crate) fn new(life: u64) -> Self {
        let last_id = CallId { life, number: 0 };
        Self { queued: VecDeque::new(), forwarded: BTreeMap::new(), pending_reads: Vec::new(), last_id }
    }
}

impl Replica {
    /// A call from outside, or one that another store passes on.
    pub fn submit(&mut self, now: Millis, origin: Origin, ask: Ask) {
        let ask = match ask {
            Ask::Evacuate(zone, on, None) => {
                let seen = self.latest_entry(&format!("e:{zone}")).map_or(0, |entry| entry.revision);
                Ask::Evacuate(zone, on, Some(seen))
            }
            ask => ask,
        };
        self.dispatch(now, Ticket { origin, received_at: now }, ask);
    }

    fn dispatch(&mut self, now: Millis, ticket: Ticket, ask: Ask) {
        match &self.role {
            Role::Leader(_) => return self.decide(now, ticket, ask),
            Role::Candidate(_) => return self.enqueue(now, ticket, ask),
            Role::Follower => {}
        }
        if !Self::is_local(&ticket.origin) {
            // Who passed it on takes it up itself.
            return self.answer_unknown(ticket);
        }
        let heard = |host: &&Host| {
            self.peers
                .get(host)
                .is_some_and(|p| p.voting && !p.leaving && now - p.last_heartbeat < crate::PEER_TIMEOUT)
        };
        let any = || self.other_members().iter().filter(heard).copied().next();
        let to = self.known_leader(now).or_else(|| if self.voting { None } else { any() });
        match to {
            Some(to) if self.calls.forwarded.len() < MAX_QUEUED_CALLS => {
                self.calls.last_id.number += 1;
                let id = self.calls.last_id;
                self.calls.forwarded.insert(
                    id,
                    ForwardedCall { ticket, ask: ask.clone(), target: to, deadline: now + FORWARD_TIMEOUT },
                );
                self.send(to, Word::Pass(id, ask));
            }
            _ if self.voting => {
                self.enqueue(now, ticket, ask);
                self.start_election(now);
            }
            _ => self.answer_unknown(ticket),
        }
    }

    pub(crate) fn enqueue(&mut self, _now: Millis, ticket: Ticket, ask: Ask) {
        if self.calls.queued.len() < MAX_QUEUED_CALLS {
            self.calls.queued.push_back((ticket, ask));
        } else {
            self.answer_unknown(ticket);
        }
    }

    /// The turn is here: calls that waited for it are decided.
    pub(crate) fn process_queue(&mut self, now: Millis) {
        for (ticket, ask) in std::mem::take(&mut self.calls.queued) {
            self.decide(now, ticket, ask);
        }
    }

    pub(crate) fn on_forward_answer(&mut self, now: Millis, from: Host, id: CallId, told: Told) {
        if self.calls.forwarded.get(&id).is_none_or(|passed| passed.target != from) {
            return;
        }
        let Some(passed) = self.calls.forwarded.remove(&id) else { return };
        match told {
            Told::Unclear => self.retry_locally(now, passed),
            Told::Fresh(needs) if self.progress.position >= needs => self.answer_items(passed.ticket),
            Told::Fresh(needs) => {
                self.start_transfer(now, from);
                self.calls.pending_reads.push(PendingRead {
                    ticket: passed.ticket,
                    required: needs,
                    source: from,
                    deadline: now + READ_TIMEOUT,
                });
            }
            told => self.answer(passed.ticket, told),
        }
    }

    fn retry_locally(&mut self, now: Millis, passed: ForwardedCall) {
        if !self.voting || now - passed.ticket.received_at > QUEUE_TIMEOUT {
            return self.answer_unknown(passed.ticket);
        }
        if matches!(self.role, Role::Leader(_)) {
            return self.decide(now, passed.ticket, passed.ask);
        }
        self.enqueue(now, passed.ticket, passed.ask);
        self.start_election(now);
    }

    /// The copy is complete up to a later place: readers that waited for it are answered.
    pub(crate) fn answer_ready_reads(&mut self) {
        let position = self.progress.position;
        let (ready, rest): (Vec<PendingRead>, Vec<PendingRead>) =
            std::mem::take(&mut self.calls.pending_reads).into_iter().partition(|r| r.required <= position);
        self.calls.pending_reads = rest;
        ready.into_iter().for_each(|reading| self.answer_items(reading.ticket));
    }

    /// Readers whose copy is not there yet: what came was older than what they need.
    fn expire_reads(&mut self, now: Millis) {
        let (over, rest): (Vec<PendingRead>, Vec<PendingRead>) =
            std::mem::take(&mut self.calls.pending_reads).into_iter().partition(|r| now >= r.deadline);
        self.calls.pending_reads = rest;
        over.into_iter().for_each(|reading| self.answer_unknown(reading.ticket));
        if let Some(from) = self.calls.pending_reads.first().map(|reading| reading.source) {
            self.start_transfer(now, from);
        }
    }

    pub(crate) fn calls_tick(&mut self, now: Millis) {
        let late: Vec<CallId> =
            self.calls.forwarded.iter().filter(|(_, p)| now >= p.deadline).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(passed) = self.calls.forwarded.remove(&id) {
                self.retry_locally(now, passed);
            }
        }
        if !matches!(self.role, Role::Leader(_)) {
            while self
                .calls
                .queued
                .front()
                .is_some_and(|(ticket, _)| now - ticket.received_at > QUEUE_TIMEOUT)
            {
                if let Some((ticket, _)) = self.calls.queued.pop_front() {
                    self.answer_unknown(ticket);
                }
            }
            if !self.calls.queued.is_empty() && matches!(self.role, Role::Follower) {
                if self.known_leader(now).is_none() {
                    self.start_election(now);
                } else {
                    // Another got the turn that these waited for.
                    for (ticket, ask) in std::mem::take(&mut self.calls.queued) {
                        self.dispatch(now, ticket, ask);
                    }
                }
            }
        }
        self.expire_reads(now);
    }

    /// What a call writes: of each item the new version, nothing where it is there already. A call is whole: where one of its items
    /// cannot be, none of them is.
    pub(crate) fn entries_for(&self, changes: Vec<Change>) -> Result<Vec<Named>, Told> {
        let mut entries = Vec::new();
        let mut facts = Changes::new();
        for change in changes {
            let known = self.latest_entry(&change.name);
            match known.map_or(VersionStatus::Newer, |known| versions::status(known, &change)) {
                VersionStatus::AlreadyApplied => continue,
                VersionStatus::Conflicting => return Err(conflict(&change)),
                VersionStatus::Expired => return Err(Told::Forgotten),
                VersionStatus::Skipped => {
                    entries.extend(
                        known.map(|known| {
                            (change.name.clone(), versions::with_skipped_version(known, &change))
                        }),
                    );
                    continue;
                }
                VersionStatus::Newer => {}
            }
            let history = known.map_or_else(Vec::new, |known| versions::history_after(&change.name, known));
            let host = self.host_for(&change);
            let Change { name, revision, body, .. } = change;
            let fact = body.as_deref().map(|body| fennelscale_config::fact(&name, &host, body));
            let fact = fact.transpose().map_err(|invalid| Told::Invalid(invalid.0))?;
            facts.insert(name.clone(), fact);
            entries.push((name, Entry { revision, host, body, history, ..Entry::default() }));
        }
        self.latest_config.check(&facts).map_err(|invalid| Told::Invalid(invalid.0))?;
        Ok(entries)
    }

    /// The host that a change writes. Who shares a failure order is said with its first version: with others later, its parts would
    /// add up to more.
    fn host_for(&self, change: &Change) -> String {
        let stands =
            self.latest_entry(&change.name).filter(|known| known.body.is_some() && change.body.is_some());
        match stands.filter(|_| change.name.starts_with(fennelscale_fault_injection::FAILURE)) {
            Some(known) => known.host.clone(),
            None => change.host.clone(),
        }
    }

    /// Tells a caller what its call came to, now that what it rests on is chosen.
    pub(crate) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        match (reply, &ticket.origin) {
            (Reply::Done, _) => self.answer(ticket, Told::Done),
            (Reply::Rejected(told), _) => self.answer(ticket, told),
            (Reply::Read, Origin::Registry(_)) => self.answer_items(ticket),
            (Reply::Read, Origin::Peer(..)) => {
                let newest = self.chosen_end();
                self.answer(ticket, Told::Fresh(newest));
            }
        }
    }

    fn answer_items(&mut self, ticket: Ticket) {
        let standing =
            self.chosen_entries().filter(|(name, entry)| *name != MEMBERS_KEY && entry.body.is_some());
        let standing =
            standing.map(|(name, entry)| (name.clone(), versions::without_history(entry))).collect();
        self.answer(ticket, Told::Items(standing));
    }

    pub(crate) fn answer_unknown(&mut self, ticket: Ticket) {
        self.answer(ticket, Told::Unclear);
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, told: Told) {
        match ticket.origin {
            Origin::Registry(id) => self.outputs.push(Output::Answer(id, told)),
            Origin::Peer(host, id) => self.send(host, Word::Passed(id, told)),
        }
    }
}

fn conflict(change: &Change) -> Told {
    let Change { name, revision, .. } = change;
    Told::Conflict(format!("{name}: version {revision:08x} was given to another content"))
}
