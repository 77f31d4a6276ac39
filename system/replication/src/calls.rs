//! Calls: which changes they make, who decides on them, and how they are answered.

use crate::leader::Role;
use crate::versions::{self, VersionStatus};
use crate::{MEMBERS_KEY, Millis, Output, Replica};
use fennelscale_config::{CallItems, InvalidConfig, ParsedItem, parse_item};
use fennelscale_messages::Host;
use fennelscale_messages::store::{
    CallId, Change, Entry, NamedEntry, Stamp, StoreMessage, StoreRequest, StoreResponse,
};
use std::collections::{BTreeMap, VecDeque};

/// A forwarded call that is not answered is retried locally after this time: two round trips.
const FORWARD_TIMEOUT: Millis = 450.0;
/// A call that is queued for longer than this is answered with an unknown outcome; its caller has given up by
/// then.
const QUEUE_TIMEOUT: Millis = 2500.0;
/// Time that a reader waits for entries missing from the local copy.
const READ_TIMEOUT: Millis = 1500.0;
/// Maximum number of queued calls; further calls are answered with an unknown outcome.
const MAX_QUEUED_CALLS: usize = 1024;

/// Who waits for the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// The local registry, with its number for the call.
    Registry(u64),
    /// Another replica, which forwarded the call.
    Peer(Host, CallId),
}

/// A call that has to be answered.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) origin: Origin,
    pub(crate) received_at: Millis,
}

/// Response to a call, sent once the write that it depends on is chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    /// The change is in force, now or already before.
    Done,
    /// The entries.
    Read,
    /// The change is not possible.
    Rejected(StoreResponse),
}

#[derive(Clone, Debug)]
struct ForwardedCall {
    ticket: Ticket,
    request: StoreRequest,
    /// Replica that the call was forwarded to; a response from any other is ignored.
    target: Host,
    deadline: Millis,
}

#[derive(Clone, Debug)]
struct PendingRead {
    ticket: Ticket,
    /// Position that the local copy must reach.
    required: Stamp,
    /// Replica whose copy is complete up to there.
    source: Host,
    deadline: Millis,
}

#[derive(Clone, Debug)]
pub(crate) struct Calls {
    queued: VecDeque<(Ticket, StoreRequest)>,
    forwarded: BTreeMap<CallId, ForwardedCall>,
    pending_reads: Vec<PendingRead>,
    last_id: CallId,
}

impl Calls {
    pub(crate) fn new(incarnation: u64) -> Self {
        let last_id = CallId { incarnation, number: 0 };
        Self { queued: VecDeque::new(), forwarded: BTreeMap::new(), pending_reads: Vec::new(), last_id }
    }
}

impl Replica {
    /// Handles a call of the local registry or one forwarded by another replica.
    pub fn submit(&mut self, now: Millis, origin: Origin, request: StoreRequest) {
        let request = match request {
            StoreRequest::Evacuate(zone, on, None) => {
                let seen = self.latest_entry(&format!("e:{zone}")).map_or(0, |entry| entry.revision);
                StoreRequest::Evacuate(zone, on, Some(seen))
            }
            request => request,
        };
        self.dispatch(now, Ticket { origin, received_at: now }, request);
    }

    fn dispatch(&mut self, now: Millis, ticket: Ticket, request: StoreRequest) {
        match &self.role {
            Role::Leader(_) => return self.decide(now, ticket, request),
            Role::Candidate(_) => return self.enqueue(now, ticket, request),
            Role::Follower => {}
        }
        if !Self::is_local(&ticket.origin) {
            // The replica that forwarded the call retries it locally.
            return self.answer_unknown(ticket);
        }
        let heard = |host: &&Host| {
            self.peers
                .get(host)
                .is_some_and(|p| p.voting && !p.leaving && now - p.last_heartbeat < crate::PEER_TIMEOUT)
        };
        let any_voter = || self.other_members().iter().filter(heard).copied().next();
        let to = self.known_leader(now).or_else(|| if self.voting { None } else { any_voter() });
        match to {
            Some(to) if self.calls.forwarded.len() < MAX_QUEUED_CALLS => {
                self.calls.last_id.number += 1;
                let id = self.calls.last_id;
                self.calls.forwarded.insert(
                    id,
                    ForwardedCall {
                        ticket,
                        request: request.clone(),
                        target: to,
                        deadline: now + FORWARD_TIMEOUT,
                    },
                );
                self.send(to, StoreMessage::Forward(id, request));
            }
            _ if self.voting => {
                self.enqueue(now, ticket, request);
                self.start_election(now);
            }
            _ => self.answer_unknown(ticket),
        }
    }

    pub(crate) fn enqueue(&mut self, _now: Millis, ticket: Ticket, request: StoreRequest) {
        if self.calls.queued.len() < MAX_QUEUED_CALLS {
            self.calls.queued.push_back((ticket, request));
        } else {
            self.answer_unknown(ticket);
        }
    }

    /// Decides the queued calls once this replica is the leader.
    pub(crate) fn process_queue(&mut self, now: Millis) {
        for (ticket, request) in std::mem::take(&mut self.calls.queued) {
            self.decide(now, ticket, request);
        }
    }

    pub(crate) fn on_forward_response(
        &mut self, now: Millis, from: Host, id: CallId, response: StoreResponse,
    ) {
        if self.calls.forwarded.get(&id).is_none_or(|forwarded| forwarded.target != from) {
            return;
        }
        let Some(forwarded) = self.calls.forwarded.remove(&id) else { return };
        match response {
            StoreResponse::Unclear => self.retry_locally(now, forwarded),
            StoreResponse::Fresh(required) if self.progress.position >= required => {
                self.answer_read(forwarded.ticket)
            }
            StoreResponse::Fresh(required) => {
                self.start_transfer(now, from);
                self.calls.pending_reads.push(PendingRead {
                    ticket: forwarded.ticket,
                    required,
                    source: from,
                    deadline: now + READ_TIMEOUT,
                });
            }
            response => self.answer(forwarded.ticket, response),
        }
    }

    fn retry_locally(&mut self, now: Millis, forwarded: ForwardedCall) {
        if !self.voting || now - forwarded.ticket.received_at > QUEUE_TIMEOUT {
            return self.answer_unknown(forwarded.ticket);
        }
        if matches!(self.role, Role::Leader(_)) {
            return self.decide(now, forwarded.ticket, forwarded.request);
        }
        self.enqueue(now, forwarded.ticket, forwarded.request);
        self.start_election(now);
    }

    /// Answers the readers whose required position the local copy has reached.
    pub(crate) fn answer_ready_reads(&mut self) {
        let position = self.progress.position;
        let (ready, rest): (Vec<PendingRead>, Vec<PendingRead>) =
            std::mem::take(&mut self.calls.pending_reads).into_iter().partition(|r| r.required <= position);
        self.calls.pending_reads = rest;
        ready.into_iter().for_each(|read| self.answer_read(read.ticket));
    }

    /// Expires readers past their deadline. For the others it asks again: the entries received so far were
    /// older than required.
    fn expire_reads(&mut self, now: Millis) {
        let (expired, rest): (Vec<PendingRead>, Vec<PendingRead>) =
            std::mem::take(&mut self.calls.pending_reads).into_iter().partition(|r| now >= r.deadline);
        self.calls.pending_reads = rest;
        expired.into_iter().for_each(|read| self.answer_unknown(read.ticket));
        if let Some(from) = self.calls.pending_reads.first().map(|read| read.source) {
            self.start_transfer(now, from);
        }
    }

    pub(crate) fn calls_tick(&mut self, now: Millis) {
        let overdue: Vec<CallId> =
            self.calls.forwarded.iter().filter(|(_, p)| now >= p.deadline).map(|(id, _)| *id).collect();
        for id in overdue {
            if let Some(forwarded) = self.calls.forwarded.remove(&id) {
                self.retry_locally(now, forwarded);
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
                    // Another replica became leader in the meantime.
                    for (ticket, request) in std::mem::take(&mut self.calls.queued) {
                        self.dispatch(now, ticket, request);
                    }
                }
            }
        }
        self.expire_reads(now);
    }

    /// Entries that a call writes: the new version of each, or none if it is already in force. If one change
    /// is not possible, none of them is made.
    pub(crate) fn entries_for(&self, changes: Vec<Change>) -> Result<Vec<NamedEntry>, StoreResponse> {
        let mut entries = Vec::new();
        let mut call = CallItems::default();
        for change in changes {
            let known = self.latest_entry(&change.name);
            match known.map_or(VersionStatus::Newer, |known| versions::status(known, &change)) {
                VersionStatus::AlreadyApplied => {
                    call.repeated.insert(change.name.clone(), parse_change(&change, &change.host)?);
                }
                VersionStatus::Conflicting => return Err(conflict(&change)),
                VersionStatus::Expired => return Err(StoreResponse::Forgotten),
                VersionStatus::Skipped => {
                    call.overtaken.insert(change.name.clone(), parse_change(&change, &change.host)?);
                    let record = known.map(|known| versions::with_skipped_version(known, &change));
                    entries.extend(record.map(|entry| (change.name.clone(), entry)));
                }
                VersionStatus::Newer => {
                    let history =
                        known.map_or_else(Vec::new, |known| versions::history_after(&change.name, known));
                    let host = self.host_for(&change);
                    call.changed.insert(change.name.clone(), parse_change(&change, &host)?);
                    let Change { name, revision, body, .. } = change;
                    entries.push((name, Entry { revision, host, body, history, ..Entry::default() }));
                }
            }
        }
        self.latest_config.check_call(&call).map_err(invalid)?;
        Ok(entries)
    }

    /// Host value that a change writes. The proxies that share a fault-injection order are fixed by its first
    /// version: with other proxies in a later one, their shares would add up to more than the total.
    fn host_for(&self, change: &Change) -> String {
        let in_force =
            self.latest_entry(&change.name).filter(|known| known.body.is_some() && change.body.is_some());
        match in_force.filter(|_| change.name.starts_with(fennelscale_fault_injection::ORDER_PREFIX)) {
            Some(known) => known.host.clone(),
            None => change.host.clone(),
        }
    }

    /// Answers a caller once the write that the response depends on is chosen.
    pub(crate) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        match (reply, &ticket.origin) {
            (Reply::Done, _) => self.answer(ticket, StoreResponse::Done),
            (Reply::Rejected(response), _) => self.answer(ticket, response),
            (Reply::Read, Origin::Registry(_)) => self.answer_read(ticket),
            (Reply::Read, Origin::Peer(..)) => {
                let newest = self.chosen_end();
                self.answer(ticket, StoreResponse::Fresh(newest));
            }
        }
    }

    fn answer_read(&mut self, ticket: Ticket) {
        let current =
            self.chosen_entries().filter(|(name, entry)| *name != MEMBERS_KEY && entry.body.is_some());
        let current = current.map(|(name, entry)| (name.clone(), versions::without_history(entry))).collect();
        self.answer(ticket, StoreResponse::Items(current));
    }

    pub(crate) fn answer_unknown(&mut self, ticket: Ticket) {
        self.answer(ticket, StoreResponse::Unclear);
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, response: StoreResponse) {
        match ticket.origin {
            Origin::Registry(id) => self.outputs.push(Output::Answer(id, response)),
            Origin::Peer(host, id) => self.send(host, StoreMessage::ForwardResponse(id, response)),
        }
    }
}

/// The content that a change gives its item; none if it removes the item.
fn parse_change(change: &Change, host: &str) -> Result<Option<ParsedItem>, StoreResponse> {
    let parsed = change.body.as_deref().map(|body| parse_item(&change.name, host, body));
    parsed.transpose().map_err(invalid)
}

fn invalid(cause: InvalidConfig) -> StoreResponse {
    StoreResponse::Invalid(cause.0)
}

fn conflict(change: &Change) -> StoreResponse {
    let Change { name, revision, .. } = change;
    StoreResponse::Conflict(format!("{name}: version {revision:08x} was given to another content"))
}
