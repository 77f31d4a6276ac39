//! Callers: what their calls change, who decides on them, and what they are told.

use crate::versions::{self, VersionStatus};
use crate::writer::Turn;
use crate::{MEMBERS_KEY, Millis, Output, Replica};
use fennelscale_config::ItemChanges;
use fennelscale_messages::Host;
use fennelscale_messages::store::{
    CallId, Change, Entry, NamedEntry, Stamp, StoreMessage, StoreRequest, StoreResponse,
};
use std::collections::{BTreeMap, VecDeque};

/// A call that was passed on and not answered is taken up here after this: the way there and back, twice.
const PASSED: Millis = 450.0;
/// A call that waits for the turn longer than this has no clear answer; its caller has gone on by then.
const WAITS: Millis = 2500.0;
/// A reader waits this long for what its copy lacks.
const READS: Millis = 1500.0;
/// The most calls that wait at once; more are told that nothing is clear.
const MOST: usize = 1024;

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
    pub(crate) since: Millis,
}

/// What a caller is told once the write that its answer rests on is chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    /// Its call is in force, or has been.
    Done,
    /// The items.
    Read,
    /// It cannot be.
    Refusal(StoreResponse),
}

#[derive(Clone, Debug)]
struct Passed {
    ticket: Ticket,
    ask: StoreRequest,
    /// The store that it was passed on to: nobody else answers it.
    to: Host,
    until: Millis,
}

#[derive(Clone, Debug)]
struct Reading {
    ticket: Ticket,
    /// The copy has to be complete up to here.
    needs: Stamp,
    /// The store that is.
    from: Host,
    until: Millis,
}

#[derive(Clone, Debug)]
pub(crate) struct Calls {
    waiting: VecDeque<(Ticket, StoreRequest)>,
    passed: BTreeMap<CallId, Passed>,
    reading: Vec<Reading>,
    last: CallId,
}

impl Calls {
    pub(crate) fn new(life: u64) -> Self {
        let last = CallId { incarnation: life, number: 0 };
        Self { waiting: VecDeque::new(), passed: BTreeMap::new(), reading: Vec::new(), last }
    }
}

impl Replica {
    /// A call from outside, or one that another store passes on.
    pub fn submit(&mut self, now: Millis, origin: Origin, ask: StoreRequest) {
        let ask = match ask {
            StoreRequest::Evacuate(zone, on, None) => {
                let seen = self.view(&format!("e:{zone}")).map_or(0, |entry| entry.revision);
                StoreRequest::Evacuate(zone, on, Some(seen))
            }
            ask => ask,
        };
        self.dispatch(now, Ticket { origin, since: now }, ask);
    }

    fn dispatch(&mut self, now: Millis, ticket: Ticket, ask: StoreRequest) {
        match &self.turn {
            Turn::Holding(_) => return self.decide(now, ticket, ask),
            Turn::Asking(_) => return self.wait(now, ticket, ask),
            Turn::Idle => {}
        }
        if !Self::is_local(&ticket.origin) {
            // Who passed it on takes it up itself.
            return self.answer_unclear(ticket);
        }
        let heard = |host: &&Host| {
            self.peers.get(host).is_some_and(|p| p.votes && !p.leaving && now - p.heard < crate::PEER_TIMEOUT)
        };
        let any = || self.others().iter().filter(heard).copied().next();
        let to = self.writer(now).or_else(|| if self.votes { None } else { any() });
        match to {
            Some(to) if self.calls.passed.len() < MOST => {
                self.calls.last.number += 1;
                let id = self.calls.last;
                self.calls.passed.insert(id, Passed { ticket, ask: ask.clone(), to, until: now + PASSED });
                self.send(to, StoreMessage::Forward(id, ask));
            }
            _ if self.votes => {
                self.wait(now, ticket, ask);
                self.ask_turn(now);
            }
            _ => self.answer_unclear(ticket),
        }
    }

    pub(crate) fn wait(&mut self, _now: Millis, ticket: Ticket, ask: StoreRequest) {
        if self.calls.waiting.len() < MOST {
            self.calls.waiting.push_back((ticket, ask));
        } else {
            self.answer_unclear(ticket);
        }
    }

    /// The turn is here: calls that waited for it are decided.
    pub(crate) fn work_off(&mut self, now: Millis) {
        for (ticket, ask) in std::mem::take(&mut self.calls.waiting) {
            self.decide(now, ticket, ask);
        }
    }

    pub(crate) fn on_passed(&mut self, now: Millis, from: Host, id: CallId, told: StoreResponse) {
        if self.calls.passed.get(&id).is_none_or(|passed| passed.to != from) {
            return;
        }
        let Some(passed) = self.calls.passed.remove(&id) else { return };
        match told {
            StoreResponse::Unclear => self.take_up(now, passed),
            StoreResponse::Fresh(needs) if self.progress.position >= needs => {
                self.answer_items(passed.ticket)
            }
            StoreResponse::Fresh(needs) => {
                self.begin_transfer(now, from);
                self.calls.reading.push(Reading { ticket: passed.ticket, needs, from, until: now + READS });
            }
            told => self.answer(passed.ticket, told),
        }
    }

    fn take_up(&mut self, now: Millis, passed: Passed) {
        if !self.votes || now - passed.ticket.since > WAITS {
            return self.answer_unclear(passed.ticket);
        }
        if matches!(self.turn, Turn::Holding(_)) {
            return self.decide(now, passed.ticket, passed.ask);
        }
        self.wait(now, passed.ticket, passed.ask);
        self.ask_turn(now);
    }

    /// The copy is complete up to a later place: readers that waited for it are answered.
    pub(crate) fn answer_readers(&mut self) {
        let position = self.progress.position;
        let (ready, rest): (Vec<Reading>, Vec<Reading>) =
            std::mem::take(&mut self.calls.reading).into_iter().partition(|r| r.needs <= position);
        self.calls.reading = rest;
        ready.into_iter().for_each(|reading| self.answer_items(reading.ticket));
    }

    /// Readers whose copy is not there yet: what came was older than what they need.
    fn readers_tick(&mut self, now: Millis) {
        let (over, rest): (Vec<Reading>, Vec<Reading>) =
            std::mem::take(&mut self.calls.reading).into_iter().partition(|r| now >= r.until);
        self.calls.reading = rest;
        over.into_iter().for_each(|reading| self.answer_unclear(reading.ticket));
        if let Some(from) = self.calls.reading.first().map(|reading| reading.from) {
            self.begin_transfer(now, from);
        }
    }

    pub(crate) fn calls_tick(&mut self, now: Millis) {
        let late: Vec<CallId> =
            self.calls.passed.iter().filter(|(_, p)| now >= p.until).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(passed) = self.calls.passed.remove(&id) {
                self.take_up(now, passed);
            }
        }
        if !matches!(self.turn, Turn::Holding(_)) {
            while self.calls.waiting.front().is_some_and(|(ticket, _)| now - ticket.since > WAITS) {
                if let Some((ticket, _)) = self.calls.waiting.pop_front() {
                    self.answer_unclear(ticket);
                }
            }
            if !self.calls.waiting.is_empty() && matches!(self.turn, Turn::Idle) {
                if self.writer(now).is_none() {
                    self.ask_turn(now);
                } else {
                    // Another got the turn that these waited for.
                    for (ticket, ask) in std::mem::take(&mut self.calls.waiting) {
                        self.dispatch(now, ticket, ask);
                    }
                }
            }
        }
        self.readers_tick(now);
    }

    /// What a call writes: of each item the new version, nothing where it is there already. A call is whole: where one of its items
    /// cannot be, none of them is.
    pub(crate) fn entries_of(&self, changes: Vec<Change>) -> Result<Vec<NamedEntry>, StoreResponse> {
        let mut entries = Vec::new();
        let mut facts = ItemChanges::new();
        for change in changes {
            let known = self.view(&change.name);
            match known.map_or(VersionStatus::Newer, |known| versions::status(known, &change)) {
                VersionStatus::Known => continue,
                VersionStatus::Taken => return Err(conflict(&change)),
                VersionStatus::Forgotten => return Err(StoreResponse::Forgotten),
                VersionStatus::PassedOver => {
                    entries.extend(
                        known.map(|known| (change.name.clone(), versions::with_record(known, &change))),
                    );
                    continue;
                }
                VersionStatus::Newer => {}
            }
            let history = known.map_or_else(Vec::new, |known| versions::history_after(&change.name, known));
            let host = self.host_of(&change);
            let Change { name, revision, body, .. } = change;
            let fact = body.as_deref().map(|body| fennelscale_config::parse_item(&name, &host, body));
            let fact = fact.transpose().map_err(|invalid| StoreResponse::Invalid(invalid.0))?;
            facts.insert(name.clone(), fact);
            entries.push((name, Entry { revision, host, body, history, ..Entry::default() }));
        }
        self.standing.check(&facts).map_err(|invalid| StoreResponse::Invalid(invalid.0))?;
        Ok(entries)
    }

    /// The host that a change writes. Who shares a failure order is said with its first version: with others later, its parts would
    /// add up to more.
    fn host_of(&self, change: &Change) -> String {
        let stands = self.view(&change.name).filter(|known| known.body.is_some() && change.body.is_some());
        match stands.filter(|_| change.name.starts_with(fennelscale_fault_injection::FAILURE)) {
            Some(known) => known.host.clone(),
            None => change.host.clone(),
        }
    }

    /// Tells a caller what its call came to, now that what it rests on is chosen.
    pub(crate) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        match (reply, &ticket.origin) {
            (Reply::Done, _) => self.answer(ticket, StoreResponse::Done),
            (Reply::Refusal(told), _) => self.answer(ticket, told),
            (Reply::Read, Origin::Registry(_)) => self.answer_items(ticket),
            (Reply::Read, Origin::Peer(..)) => {
                let newest = self.newest();
                self.answer(ticket, StoreResponse::Fresh(newest));
            }
        }
    }

    fn answer_items(&mut self, ticket: Ticket) {
        let standing =
            self.chosen_entries().filter(|(name, entry)| *name != MEMBERS_KEY && entry.body.is_some());
        let standing = standing.map(|(name, entry)| (name.clone(), versions::published(entry))).collect();
        self.answer(ticket, StoreResponse::Items(standing));
    }

    pub(crate) fn answer_unclear(&mut self, ticket: Ticket) {
        self.answer(ticket, StoreResponse::Unclear);
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, told: StoreResponse) {
        match ticket.origin {
            Origin::Registry(id) => self.out.push(Output::Answer(id, told)),
            Origin::Peer(host, id) => self.send(host, StoreMessage::ForwardResponse(id, told)),
        }
    }
}

fn conflict(change: &Change) -> StoreResponse {
    let Change { name, revision, .. } = change;
    StoreResponse::Conflict(format!("{name}: version {revision:08x} was given to another content"))
}
