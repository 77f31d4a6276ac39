//! Membership: how an empty machine replaces a failed member, and how a member leaves.
//!
//! # Invariants
//!
//! - The member list is an entry like any other, written under a quorum of the old list; one member changes
//!   at a time.
//! - A machine becomes a member only once its copy is complete up to what fits in one message ([`Learner`]).
//!   Until then it is a learner, which does not vote and counts towards no quorum.
//! - The list changes again only when all its members vote, apart from the failed ones; never merely because
//!   time has passed.
//! - A member is replaced only if the remaining voters form a quorum of the new list. The new member recovers
//!   the promises of a quorum before it votes, so any old and any new quorum share a member that remembers.
//! - A member that leaves in an orderly way hands over first ([`Replica::leave_blocker`]).
//! - A machine that is no longer on the list learns that from the first message it exchanges: it forwards
//!   calls and does not vote.

use crate::leader::Role;
use crate::{HEARTBEAT_INTERVAL, MEMBERS_KEY, Millis, PEER_TIMEOUT, Replica};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Entry, Member, MemberList, NamedEntry, Stamp, StoreMessage, Term};

/// A member that was silent for this long may be replaced by a learner in its zone. Longer than a kill and a
/// restart; an old machine that comes back later is a learner.
const MEMBER_FAILURE_TIMEOUT: Millis = 2500.0;
/// A membership change that did not succeed is tried again after this time.
const MEMBER_CHANGE_INTERVAL: Millis = 500.0;
/// Interval at which a machine that is not a member announces itself.
const ANNOUNCE_INTERVAL: Millis = 250.0;
/// A learner that was not heard from for this long does not count as up.
const LEARNER_TIMEOUT: Millis = 1500.0;

/// A machine that is not a member and would like to be.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    pub(crate) member: Member,
    /// Its copy is complete up to this stamp.
    pub(crate) position: Stamp,
    pub(crate) last_heard: Millis,
}

/// Encodes the member list as the body of an entry. Zone names are chosen by the operator; newlines separate
/// the members, since no zone name contains one.
pub(crate) fn encode_members(members: &[Member]) -> String {
    let line = |member: &Member| format!("{}\t{}\t{}", member.host.0, member.zone, member.region);
    members.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn decode_members(text: &str) -> Option<Vec<Member>> {
    let line = |line: &str| {
        let mut parts = line.split('\t');
        let host = Host(parts.next()?.parse().ok()?);
        Some(Member { host, zone: parts.next()?.to_owned(), region: parts.next()?.to_owned() })
    };
    text.lines().map(line).collect()
}

impl Replica {
    /// Puts the chosen member list into use.
    pub(crate) fn load_members(&mut self) {
        let entry = self.items.get(MEMBERS_KEY).and_then(|item| item.chosen.as_ref());
        let Some(entry) = entry else { return };
        let members = entry.body.as_deref().and_then(decode_members).unwrap_or_default();
        self.members = MemberList { version: entry.revision, members };
        self.members_changed_at = self.last_tick;
        let local = self.config.local.host;
        if self.voting && !self.is_member(local) {
            self.voting = false;
            self.log("seat-lost", format!("version={}", self.members.version));
        }
        let listed: Vec<Host> = self.members.members.iter().map(|member| member.host).collect();
        self.learners.retain(|host, _| !listed.contains(host));
        self.peers.retain(|host, _| listed.contains(host));
    }

    pub(crate) fn on_announce(&mut self, now: Millis, from: Host, member: Member, position: Stamp) {
        let learner = Learner { member: member.clone(), position, last_heard: now };
        if self.members.members.is_empty() {
            self.learners.insert(from, learner);
            return;
        }
        self.send_members(from);
        if !self.is_member(member.host) {
            // The announcement may have been relayed by another member; the leader has to receive it.
            let direct = member.host == from;
            self.learners.insert(member.host, learner);
            if direct && let Some(leader) = self.known_leader(now) {
                self.send(leader, StoreMessage::Announce { member, position });
            }
        }
    }

    pub(crate) fn announce_to(&mut self, host: Host) {
        let (member, position) = (self.config.local.clone(), self.progress.position);
        self.send(host, StoreMessage::Announce { member, position });
    }

    pub(crate) fn membership_tick(&mut self, now: Millis) {
        self.last_tick = now;
        if self.members.members.is_empty() || !self.is_member(self.config.local.host) {
            self.announce(now);
        } else if !self.voting && !self.join_initial_members() {
            self.request_recovery(now);
        }
        if self.members.members.is_empty() {
            self.bootstrap_cluster(now);
        } else if self.voting {
            self.change_members(now);
        }
    }

    /// Announces this machine to those that may make it a member, and keeps its copy complete enough to
    /// become one.
    fn announce(&mut self, now: Millis) {
        // A machine that is about to leave does not become a member.
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
            let index =
                fennelscale_messages::mix(self.config.incarnation ^ now.to_bits()) % others.len() as u64;
            self.start_transfer(now, others[index as usize]);
        }
    }

    /// Asks all other members for their state. This member does not vote yet: it may have lost its promises.
    fn request_recovery(&mut self, now: Millis) {
        if now < self.next_announcement {
            return;
        }
        self.next_announcement = now + HEARTBEAT_INTERVAL;
        let position = self.progress.position;
        for host in self.other_members() {
            self.send(host, StoreMessage::Recover(position));
            // The list may have changed again before recovery finished; then this machine is a learner once
            // more.
            self.announce_to(host);
        }
    }

    pub(crate) fn on_recovery_request(&mut self, from: Host, since: Stamp) {
        if !self.voting || !self.is_member(from) {
            return;
        }
        let (tail, pending) = (self.entries_since(since), self.pending_entries());
        let (promised, joined, more) = (self.acceptor.promised, self.acceptor.joined, tail.is_none());
        self.send(
            from,
            StoreMessage::RecoveryState { promised, joined, chosen: tail.unwrap_or_default(), more, pending },
        );
    }

    /// Handles a response to a recovery request: a member that lost its promises recovers the state of a
    /// quorum of the others before it votes again.
    pub(crate) fn on_recovery_response(
        &mut self, from: Host, promised: Term, joined: Term, chosen: Vec<NamedEntry>,
        pending: Vec<NamedEntry>,
    ) {
        if self.voting || !self.is_member(from) || !self.is_member(self.config.local.host) {
            return;
        }
        self.merge_chosen(chosen);
        self.highest_term_number = self.highest_term_number.max(promised.number);
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

    /// Everything that a quorum promised and accepted is known: this member votes from now on.
    fn finish_recovery(&mut self) {
        // Writes of terms before the newest one that any member joined, which are not in that term's first
        // write, are void.
        for (name, recovered) in std::mem::take(&mut self.recovered_pending) {
            let Some(entry) = recovered.pending.filter(|p| p.stamp.term >= self.acceptor.joined) else {
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

    /// Whether a member may be replaced: it was silent for long, or is about to leave.
    fn is_replaceable(&self, now: Millis, member: &Member) -> bool {
        if member.host == self.config.local.host {
            return self.leaving;
        }
        // A member that was never heard from may have joined only a moment ago.
        let new = || now - self.started_at.max(self.members_changed_at) > 2.0 * MEMBER_FAILURE_TIMEOUT;
        self.peers
            .get(&member.host)
            .map_or_else(new, |p| p.leaving || now - p.last_heartbeat > MEMBER_FAILURE_TIMEOUT)
    }

    /// Whether a member is up and votes.
    fn is_active_voter(&self, now: Millis, host: Host) -> bool {
        if host == self.config.local.host {
            return self.voting;
        }
        self.peers.get(&host).is_some_and(|peer| peer.voting && now - peer.last_heartbeat < PEER_TIMEOUT)
    }

    /// Whether the copy of a learner is complete up to what fits in one message.
    fn has_caught_up(&self, learner: &Learner) -> bool {
        learner.position > Stamp::default() && self.entries_since(learner.position).is_some()
    }

    /// The member list after the next change; none if no change is needed or possible now.
    fn next_members(&self, now: Millis) -> Option<Vec<Member>> {
        let members = &self.members.members;
        let ready = || self.learners.values().filter(|c| self.has_caught_up(c)).map(|c| &c.member);
        let replaced =
            |new: &Member| members.iter().position(|s| s.zone == new.zone && self.is_replaceable(now, s));
        let in_new_zone = |new: &&Member| !members.iter().any(|s| s.zone == new.zone);
        let replacement = ready().find_map(|new| Some((new, Some(replaced(new)?))));
        let (new, replaced) = replacement.or_else(|| ready().find(in_new_zone).map(|new| (new, None)))?;
        let mut list = members.clone();
        match replaced {
            Some(replaced) => list[replaced] = new.clone(),
            None => list.push(new.clone()),
        }
        list.sort();
        let is_recovering =
            |member: &&Member| !self.is_active_voter(now, member.host) && !self.is_replaceable(now, member);
        if members.iter().any(|member| is_recovering(&member)) {
            return None;
        }
        let remaining = list.iter().filter(|member| self.is_active_voter(now, member.host)).count();
        let needed =
            crate::quorum(&MemberList { version: 0, members: list.clone() }, self.config.fault_tolerance);
        (remaining >= needed).then_some(list)
    }

    /// Replaces a failed or leaving member by a learner of its zone that has caught up.
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

    /// Prepares for an orderly shutdown: others may take over this member's place and duties.
    pub fn begin_leave(&mut self, now: Millis) {
        self.leaving = true;
        self.next_heartbeat = now;
        self.tick(now);
    }

    /// The reason why a leaving member should wait, if there is one; it continues to vote until then.
    pub fn leave_blocker(&self, now: Millis) -> Option<&'static str> {
        let local = &self.config.local;
        let others = self.other_members().into_iter().filter(|host| self.is_active_voter(now, *host)).count();
        if !self.is_member(local.host) {
            return None;
        }
        let successor = |learner: &Learner| {
            learner.member.zone == local.zone && now - learner.last_heard < LEARNER_TIMEOUT
        };
        if self.learners.values().any(successor) {
            return Some("its seat is not handed over");
        }
        (self.voting && others < self.quorum()).then_some("the others are no quorum without it")
    }
}
