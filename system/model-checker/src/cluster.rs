//! Model of a cluster: replicas with their disks, connections, clocks and callers, and every step that may
//! happen to them.
//!
//! A connection carries messages in order; a message is in flight until it is delivered or its connection
//! breaks. What a process sent may still arrive after it was killed, even after messages of its next
//! incarnation, so a connection belongs to one incarnation of its sender. Each replica has its own clock.
//! Heartbeats are delivered while a cluster is set up and dropped during exploration: replicas then act on
//! outdated knowledge of each other, which they have to tolerate, and the state space stays small.

use crate::mutants::Mutant;
use crate::properties::Violation;
use fennelscale_config::content_hash;
use fennelscale_messages::Host;
use fennelscale_messages::store::{Member, NamedEntry, Stamp, StoreMessage, StoreRequest, StoreResponse};
use fennelscale_replication::{Item, Millis, Origin, Output, PersistedState, Replica, ReplicaConfig};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::hash::{Hash, Hasher};

/// Advance of a replica's clock in one step: longer than every timeout of a replica except the one for a
/// failed member.
pub const CLOCK_STEP: Millis = 1400.0;
/// A recovering or learning replica advances in smaller steps: it announces itself first and sends requests
/// later.
const LEARNER_CLOCK_STEP: Millis = 450.0;
/// Time step of the setup and of the recovery at the end.
const TICK: Millis = 100.0;
/// Time within which all replicas bootstrap, become members and hear from each other.
const BOOTSTRAP_TIME: Millis = 4000.0;
/// Time within which failed members are replaced and members that lost their disks have recovered.
const RECOVERY_TIME: Millis = 12_000.0;

/// Time within which an empty machine announces itself, fetches all entries and reports that.
const CATCH_UP_TIME: Millis = 700.0;

/// Number of attempts of a reader whose outcome is unknown.
const READ_ATTEMPTS: usize = 3;

/// How many steps of each kind may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Clock steps of voting replicas.
    pub clock_steps: u8,
    /// Process crashes.
    pub crashes: u8,
    /// Process crashes with loss of the disk.
    pub disk_losses: u8,
    /// Broken connections, whose messages in flight are lost.
    pub disconnects: u8,
    /// Clock steps of replicas that do not vote.
    pub learner_clock_steps: u8,
}

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Delivers the first message of a connection: the sender, its incarnation, and the receiver.
    Deliver(usize, u64, usize),
    /// Breaks a connection; its messages are lost.
    Disconnect(usize, u64, usize),
    /// Submits the call with this number.
    Call(usize),
    /// Advances the clock of a replica.
    AdvanceClock(usize),
    /// A process crashes.
    Crash(usize),
    /// A process crashes and its disk is lost.
    LoseDisk(usize),
    /// A process starts.
    Start(usize),
}

#[derive(Clone, Debug)]
struct Node {
    member: Member,
    disk: PersistedState,
    replica: Option<Replica>,
    incarnation: u64,
    clock: Millis,
    /// Versions published in this incarnation.
    published: BTreeMap<String, u64>,
}

impl Node {
    fn is_voting(&self) -> bool {
        self.replica.as_ref().is_some_and(Replica::is_voting)
    }
}

/// A call of a scenario.
#[derive(Clone, Debug)]
pub struct ScriptedCall {
    /// The replica that receives it.
    pub at: usize,
    /// The request.
    pub request: StoreRequest,
}

#[derive(Clone, Debug)]
struct Call {
    scripted: ScriptedCall,
    submitted: bool,
    response: Option<StoreResponse>,
    /// For a read: versions that were acknowledged before it was submitted.
    acknowledged_before: BTreeMap<String, u64>,
}

/// Hash of an entry's content or of its removal.
type Content = u64;

/// State of the modelled cluster.
#[derive(Clone, Debug)]
pub struct Cluster {
    nodes: Vec<Node>,
    connections: BTreeMap<(usize, u64, usize), VecDeque<StoreMessage>>,
    calls: Vec<Call>,
    contents: BTreeMap<(String, u64), Content>,
    remaining: Bounds,
    disks_lost: usize,
    /// Evacuation calls, in the order of their submission.
    evacuations: Vec<usize>,
    mutant: Option<Mutant>,
    delivers_heartbeats: bool,
    violated: Option<Violation>,
}

/// Writes the text of a value into a hash without storing it.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> std::fmt::Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Hash for Cluster {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // States that differ in their printed form are distinct.
        let _ = write!(HashWriter(state), "{self:?}");
    }
}

impl PartialEq for Cluster {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for Cluster {}

impl Cluster {
    /// A cluster of the given number of members, each in its own zone, at the first start.
    pub fn new(members: usize) -> Self {
        let node = |n: usize| Node {
            member: Member { host: Host(n as u32 + 1), zone: format!("z{n}"), region: format!("r{n}") },
            disk: PersistedState::default(),
            replica: None,
            incarnation: 0,
            clock: 0.0,
            published: BTreeMap::new(),
        };
        let mut cluster = Self {
            nodes: (0..members).map(node).collect(),
            connections: BTreeMap::new(),
            calls: Vec::new(),
            contents: BTreeMap::new(),
            remaining: Bounds::default(),
            disks_lost: 0,
            evacuations: Vec::new(),
            // The setup runs without faults: a cluster that is broken from the start shows nothing.
            mutant: None,
            delivers_heartbeats: true,
            violated: None,
        };
        (0..members).for_each(|n| cluster.start(n, true));
        cluster
    }

    /// A cluster of the given number of members, each in its own zone, after the bootstrap and the first
    /// calls.
    pub fn bootstrapped(members: usize, first: &[ScriptedCall], mutant: Option<Mutant>) -> Self {
        let mut cluster = Self::new(members);
        cluster.run(BOOTSTRAP_TIME);
        for scripted in first {
            cluster.calls.push(Call::new(scripted));
            cluster.call(cluster.calls.len() - 1);
            cluster.run(1000.0);
            assert_eq!(
                cluster.calls.last().and_then(|c| c.response.clone()),
                Some(StoreResponse::Done),
                "the first calls are accepted"
            );
        }
        cluster.mutant = mutant;
        cluster
    }

    /// Adds calls that may be submitted, and limits for all other steps from now on.
    #[must_use]
    pub fn with_calls(mut self, calls: &[ScriptedCall], remaining: Bounds) -> Self {
        self.calls.extend(calls.iter().map(Call::new));
        self.remaining = remaining;
        self.delivers_heartbeats = false;
        self
    }

    /// Replaces a member that failed for good by an empty machine in its zone, with all heartbeats delivered
    /// for the given time.
    #[must_use]
    pub fn with_replacement(mut self, failed: usize, duration: Millis) -> Self {
        let zone = self.nodes[failed].member.zone.clone();
        let region = self.nodes[failed].member.region.clone();
        let clock = self.nodes[failed].clock;
        self.crash(failed);
        let member = Member { host: Host(self.nodes.len() as u32 + 1), zone, region };
        let disk = PersistedState::default();
        self.nodes.push(Node {
            member,
            disk,
            replica: None,
            incarnation: 0,
            clock,
            published: BTreeMap::new(),
        });
        // When exploration begins, the failed member is not yet replaced and the empty machine has caught up.
        self.run(duration - CATCH_UP_TIME);
        self.start(self.nodes.len() - 1, false);
        self.run(CATCH_UP_TIME);
        self
    }

    /// The violated property, if there is one.
    pub fn violation(&self) -> Option<&Violation> {
        self.violated.as_ref()
    }

    /// Whether no message is in flight and no step is left.
    pub fn is_quiescent(&self) -> bool {
        self.remaining == Bounds::default() && self.connections.values().all(VecDeque::is_empty)
    }

    /// Response to a call.
    pub fn response(&self, call: usize) -> Option<&StoreResponse> {
        self.calls.get(call).and_then(|call| call.response.as_ref())
    }

    fn start(&mut self, n: usize, bootstrap: bool) {
        let seeds: Vec<Host> = self.nodes.iter().map(|node| node.member.host).take(3).collect();
        let mutant = self.mutant;
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        node.published.clear();
        let config = ReplicaConfig {
            local: node.member.clone(),
            seeds,
            bootstrap,
            fault_tolerance: (1, 0, 0),
            incarnation: node.incarnation,
        };
        let persisted = node.disk.clone();
        let persisted =
            if let Some(mutant) = mutant { mutant.mutate_disk_at_start(persisted) } else { persisted };
        node.replica = Some(Replica::new(config, persisted, node.clock));
        self.apply_input(n, Replica::tick);
    }

    fn crash(&mut self, n: usize) {
        self.nodes[n].replica = None;
        // Messages to this process are lost; those that it sent are not.
        self.connections.retain(|(_, _, to), _| *to != n);
    }

    fn lose_disk(&mut self, n: usize) {
        self.crash(n);
        let disk = &mut self.nodes[n].disk;
        *disk = self.mutant.map_or_else(PersistedState::default, |mutant| mutant.lost_disk(disk));
        self.disks_lost += 1;
    }

    fn at(&self, host: Host) -> Option<usize> {
        (host.0 as usize).checked_sub(1).filter(|n| *n < self.nodes.len())
    }

    /// Handles an input as the host of a replica does: writes are persisted before anything is sent.
    fn apply_input(&mut self, n: usize, input: impl FnOnce(&mut Replica, Millis)) {
        let node = &mut self.nodes[n];
        let Some(replica) = node.replica.as_mut() else { return };
        input(replica, node.clock);
        let (writes, outputs) = (replica.take_writes(), replica.take_outputs());
        let writes = if let Some(mutant) = self.mutant { mutant.mutate_writes(writes) } else { writes };
        node.disk.apply(writes);
        for out in outputs {
            match out {
                Output::Send(_, StoreMessage::Heartbeat { .. }) if !self.delivers_heartbeats => {}
                Output::Send(to, message) => {
                    let (incarnation, to) = (self.nodes[n].incarnation, self.at(to));
                    // A machine that is down receives nothing.
                    if let Some(to) = to.filter(|to| self.nodes[*to].replica.is_some()) {
                        self.connections.entry((n, incarnation, to)).or_default().push_back(message);
                    }
                }
                Output::Chosen(entries) => entries.into_iter().for_each(|entry| self.on_published(n, entry)),
                Output::Answer(id, response) => self.on_response(id as usize, response),
                Output::Members(_) | Output::UpToDate(_) | Output::Log(..) => {}
            }
        }
        self.check_invariants();
    }

    fn record_violation(&mut self, violation: Violation) {
        self.violated.get_or_insert(violation);
    }

    fn on_published(&mut self, n: usize, (name, entry): NamedEntry) {
        let hash = content_hash(&entry.host, entry.body.as_deref());
        let known = *self.contents.entry((name.clone(), entry.revision)).or_insert(hash);
        if known != hash {
            self.record_violation(Violation::TwoContents(name.clone(), entry.revision));
        }
        if let Some(disks) = self.too_few_disks(&name, entry.revision) {
            self.record_violation(Violation::EarlyNews(name.clone(), entry.revision, disks));
        }
        let published = self.nodes[n].published.entry(name.clone()).or_default();
        let before = *published;
        *published = entry.revision.max(before);
        if entry.revision < before {
            self.record_violation(Violation::GoesBack(name, before, entry.revision));
        }
    }

    fn on_response(&mut self, id: usize, response: StoreResponse) {
        let Some(call) = self.calls.get_mut(id) else { return };
        if call.response.is_some() {
            return self.record_violation(Violation::AnsweredTwice(id));
        }
        call.response = Some(response.clone());
        if let StoreResponse::Items(items) = response {
            let read: BTreeMap<&str, u64> = items.iter().map(|(n, e)| (n.as_str(), e.revision)).collect();
            let old = call.acknowledged_before.iter().find(|(name, acknowledged_before)| {
                read.get(name.as_str()).is_none_or(|r| r < *acknowledged_before)
            });
            if let Some((name, acknowledged_before)) = old {
                let old = Violation::OldRead(name.clone(), *acknowledged_before);
                self.record_violation(old);
            }
        }
    }

    /// The highest acknowledged version of each entry.
    fn acknowledged(&self) -> BTreeMap<String, u64> {
        let mut all: BTreeMap<String, u64> = BTreeMap::new();
        for call in self.calls.iter().filter(|call| call.response == Some(StoreResponse::Done)) {
            if let StoreRequest::Change(changes) = &call.scripted.request {
                for change in changes {
                    let known = all.entry(change.name.clone()).or_default();
                    *known = change.revision.max(*known);
                }
            }
        }
        all
    }

    /// Number of disks that hold a version or a newer one, if that is too few for it to be durable.
    fn too_few_disks(&self, name: &str, revision: u64) -> Option<usize> {
        // The newest member list of any replica determines how many are needed.
        let members = self.nodes.iter().filter_map(|n| n.replica.as_ref()).map(Replica::members);
        let members = members.max_by_key(|members| members.version)?;
        let listed = |node: &&Node| members.members.iter().any(|member| member.host == node.member.host);
        let holds = |node: &&Node| {
            let item: Option<&Item> = node.disk.items.get(name);
            let mut entries = item.into_iter().flat_map(|item| item.pending.iter().chain(&item.chosen));
            entries.any(|entry| entry.revision >= revision)
        };
        let disks = self.nodes.iter().filter(listed).filter(holds).count();
        (disks + self.disks_lost < fennelscale_replication::quorum(members, (1, 0, 0))).then_some(disks)
    }

    /// Checks the properties that hold in every state.
    fn check_invariants(&mut self) {
        let mut terms: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|n| n.replica.as_ref())
            .filter(|b| b.is_leader())
            .map(|b| b.acceptor().promised)
            .collect();
        terms.sort_unstable();
        if terms.windows(2).any(|pair| pair[0] == pair[1]) {
            self.record_violation(Violation::TwoWriters);
        }
        let mut lists: BTreeMap<u64, &[Member]> = BTreeMap::new();
        let replicas = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        let conflicting =
            replicas.map(Replica::members).filter(|members| !members.members.is_empty()).find(|members| {
                *lists.entry(members.version).or_insert(&members.members) != members.members.as_slice()
            });
        if let Some(version) = conflicting.map(|members| members.version) {
            self.record_violation(Violation::TwoLists(version));
        }
        for (name, revision) in self.acknowledged() {
            if let Some(disks) = self.too_few_disks(&name, revision) {
                self.record_violation(Violation::TooFewDisks(name, revision, disks));
            }
        }
        for (id, call) in self.calls.iter().enumerate() {
            let (Some(StoreResponse::Conflict(_) | StoreResponse::Invalid(_)), StoreRequest::Change(changes)) =
                (&call.response, &call.scripted.request)
            else {
                continue;
            };
            for change in changes {
                let hash = content_hash(&change.host, change.body.as_deref());
                let same = |other: &Call| match &other.scripted.request {
                    StoreRequest::Change(all) => all.contains(change),
                    _ => false,
                };
                // The same change may have been accepted in another call.
                let another = self.calls.iter().enumerate().any(|(at, other)| at != id && same(other));
                let in_force = self.contents.get(&(change.name.clone(), change.revision)) == Some(&hash);
                if in_force && !another {
                    let found = Violation::RefusedInForce(change.name.clone(), change.revision);
                    return self.record_violation(found);
                }
            }
        }
    }

    fn call(&mut self, id: usize) {
        let acknowledged_before = self.acknowledged();
        let call = &mut self.calls[id];
        let ScriptedCall { at, request } = call.scripted.clone();
        call.submitted = true;
        if request == StoreRequest::Read {
            call.acknowledged_before = acknowledged_before;
        }
        if matches!(request, StoreRequest::Evacuate(..)) {
            self.evacuations.push(id);
        }
        self.apply_input(at, |replica, now| replica.submit(now, Origin::Registry(id as u64), request));
    }

    fn deliver(&mut self, from: usize, incarnation: u64, to: usize) {
        let Some(connection) = self.connections.get_mut(&(from, incarnation, to)) else { return };
        let message = connection.pop_front();
        if connection.is_empty() {
            self.connections.remove(&(from, incarnation, to));
        }
        let Some(message) = message else { return };
        let host = self.nodes[from].member.host;
        if self.mutant == Some(Mutant::RejectionCountsAsAccepted)
            && let Some(stamp) = write_stamp(&message)
            && self.nodes[to].replica.as_ref().is_some_and(|replica| replica.acceptor().promised > stamp.term)
        {
            let back = (to, self.nodes[to].incarnation, from);
            return self.connections.entry(back).or_default().push_back(StoreMessage::Accepted(stamp));
        }
        if self.mutant == Some(Mutant::RejectionCountsAsPromise)
            && let StoreMessage::Rejected(_) = message
            && let Some(term) = self.nodes[to].replica.as_ref().map(|replica| replica.acceptor().promised)
        {
            let (chosen, pending) = (Vec::new(), Vec::new());
            let promise = StoreMessage::Promise { term, joined: term, chosen, more: false, pending };
            return self.apply_input(to, |replica, now| replica.receive(now, host, promise));
        }
        if self.mutant == Some(Mutant::ReadsLocalCopy)
            && let StoreMessage::ForwardResponse(id, StoreResponse::Fresh(_)) = message
        {
            // Any copy is new enough for this position.
            return self.apply_input(to, |replica, now| {
                replica.receive(
                    now,
                    host,
                    StoreMessage::ForwardResponse(id, StoreResponse::Fresh(Stamp::default())),
                );
            });
        }
        let messages = match self.mutant {
            Some(mutant) => {
                let all: Vec<Host> = self.nodes.iter().map(|node| node.member.host).collect();
                mutant.mutate_message(host, &all, message)
            }
            None => vec![(host, message)],
        };
        for (host, message) in messages {
            self.apply_input(to, |replica, now| replica.receive(now, host, message));
        }
    }

    /// Lists the steps that are possible now.
    pub fn possible_steps(&self, steps: &mut Vec<Step>) {
        steps.extend(
            self.connections.keys().map(|(from, incarnation, to)| Step::Deliver(*from, *incarnation, *to)),
        );
        if self.remaining.disconnects > 0 {
            steps.extend(
                self.connections
                    .keys()
                    .map(|(from, incarnation, to)| Step::Disconnect(*from, *incarnation, *to)),
            );
        }
        let up = |n: usize| self.nodes[n].replica.is_some();
        let calls = self.calls.iter().enumerate().filter(|(_, call)| !call.submitted && up(call.scripted.at));
        steps.extend(calls.map(|(id, _)| Step::Call(id)));
        for (n, node) in self.nodes.iter().enumerate() {
            match &node.replica {
                Some(replica) => {
                    let remaining = if replica.is_voting() {
                        self.remaining.clock_steps
                    } else {
                        self.remaining.learner_clock_steps
                    };
                    if remaining > 0 {
                        steps.push(Step::AdvanceClock(n));
                    }
                    if self.remaining.crashes > 0 {
                        steps.push(Step::Crash(n));
                    }
                    if self.remaining.disk_losses > 0 && replica.is_voting() {
                        steps.push(Step::LoseDisk(n));
                    }
                }
                None => steps.push(Step::Start(n)),
            }
        }
    }

    /// The state after a step.
    #[must_use]
    pub fn after_step(&self, step: Step) -> Self {
        let mut cluster = self.clone();
        cluster.step(step);
        cluster
    }

    /// Takes a possible step.
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(from, incarnation, to) => self.deliver(from, incarnation, to),
            Step::Disconnect(from, incarnation, to) => {
                self.remaining.disconnects -= 1;
                self.connections.remove(&(from, incarnation, to));
            }
            Step::Call(id) => self.call(id),
            Step::AdvanceClock(n) => {
                let votes = self.nodes[n].is_voting();
                let (remaining, duration) = if votes {
                    (&mut self.remaining.clock_steps, CLOCK_STEP)
                } else {
                    (&mut self.remaining.learner_clock_steps, LEARNER_CLOCK_STEP)
                };
                *remaining -= 1;
                self.nodes[n].clock += duration;
                self.apply_input(n, Replica::tick);
            }
            Step::Crash(n) => {
                self.remaining.crashes -= 1;
                self.crash(n);
            }
            Step::LoseDisk(n) => {
                self.remaining.disk_losses -= 1;
                self.lose_disk(n);
            }
            Step::Start(n) => self.start(n, false),
        }
    }

    /// Runs for a time during which every message is delivered immediately.
    fn run(&mut self, duration: Millis) {
        let mut passed = 0.0;
        while passed < duration && self.violated.is_none() {
            passed += TICK;
            for n in 0..self.nodes.len() {
                self.nodes[n].clock += TICK;
                self.apply_input(n, Replica::tick);
            }
            // The bound is never reached: replicas answer messages, and start exchanges of their own only
            // when time passes.
            for _ in 0..10_000 {
                let Some((from, incarnation, to)) = self.connections.keys().next().copied() else { break };
                self.deliver(from, incarnation, to);
            }
        }
    }

    /// The property that is violated after a fault-free period, if there is one.
    pub fn violation_after_recovery(&self) -> Option<Violation> {
        self.recovered().violated
    }

    /// The state after a fault-free period.
    #[must_use]
    pub fn recovered(&self) -> Self {
        let mut cluster = self.clone();
        cluster.delivers_heartbeats = true;
        // All clocks continue from the latest, so that none goes back.
        let latest = cluster.nodes.iter().map(|node| node.clock).fold(0.0, Millis::max);
        for n in 0..cluster.nodes.len() {
            cluster.nodes[n].clock = latest;
            if cluster.nodes[n].replica.is_none() {
                cluster.start(n, false);
            }
        }
        cluster.run(RECOVERY_TIME);
        for at in 0..cluster.nodes.len() {
            // A machine that was replaced cannot answer.
            let node = &cluster.nodes[at];
            let replaced_it = |other: &Node| other.is_voting() && other.member.zone == node.member.zone;
            if !node.is_voting() && cluster.nodes.iter().any(replaced_it) {
                continue;
            }
            // A reader whose outcome is unknown tries again.
            let read = (0..READ_ATTEMPTS).any(|_| {
                let id = cluster.calls.len();
                cluster.calls.push(Call::new(&ScriptedCall { at, request: StoreRequest::Read }));
                cluster.call(id);
                cluster.run(1500.0);
                matches!(cluster.response(id), Some(StoreResponse::Items(_)))
            });
            if !read {
                cluster.record_violation(Violation::NeverSettles(at));
            }
        }
        cluster.check_last_evacuation();
        cluster
    }

    /// Describes a step, with the message that it delivers or the call that it submits.
    pub fn describe_step(&self, step: Step) -> String {
        match step {
            Step::Deliver(from, incarnation, to) => {
                let message = self.connections.get(&(from, incarnation, to)).and_then(VecDeque::front);
                format!("{from} to {to}: {message:?}")
            }
            Step::Call(id) => format!("call {id}: {:?}", self.calls[id].scripted),
            other => format!("{other:?}"),
        }
    }

    /// Describes the state of each replica on a line of its own, for traces.
    pub fn describe_nodes(&self) -> String {
        let line = |(n, node): (usize, &Node)| match &node.replica {
            None => {
                format!("  {n}: down, disk {}\n", if node.disk.acceptor.is_some() { "kept" } else { "empty" })
            }
            Some(replica) => {
                let members: Vec<u32> =
                    replica.members().members.iter().map(|member| member.host.0).collect();
                let role = match (replica.is_leader(), replica.is_voting()) {
                    (true, _) => "writes",
                    (false, true) => "votes",
                    (false, false) => "does not vote",
                };
                let (acceptor, version) = (replica.acceptor(), replica.members().version);
                let (round, joined) = (acceptor.promised.number, acceptor.joined.number);
                format!(
                    "  {n}: {role}, promised {round} by {}, joined {joined}, members {version} {members:?}\n",
                    acceptor.promised.leader.0
                )
            }
        };
        self.nodes.iter().enumerate().map(line).collect()
    }

    /// Checks that the last of several evacuation orders of a zone is in force, if it was acknowledged.
    fn check_last_evacuation(&mut self) {
        let Some(last) = self.evacuations.last().map(|id| &self.calls[*id]) else { return };
        let (StoreRequest::Evacuate(zone, on, _), Some(StoreResponse::Done)) =
            (&last.scripted.request, &last.response)
        else {
            return;
        };
        let name = format!("e:{zone}");
        let stands = |node: &Node| {
            let item = node.disk.items.get(&name).and_then(|item| item.chosen.as_ref());
            item.is_some_and(|entry| entry.body.is_some())
        };
        if self.nodes.iter().any(|node| node.is_voting() && stands(node) != *on) {
            self.record_violation(Violation::OvertakenOrder(name));
        }
    }
}

/// Stamp of the write that a message carries.
fn write_stamp(message: &StoreMessage) -> Option<Stamp> {
    match message {
        StoreMessage::BeginTerm { term, .. } => Some(Stamp { term: *term, sequence: 0 }),
        StoreMessage::Accept { stamp, .. } => Some(*stamp),
        _ => None,
    }
}

impl Call {
    fn new(scripted: &ScriptedCall) -> Self {
        Self {
            scripted: scripted.clone(),
            submitted: false,
            response: None,
            acknowledged_before: BTreeMap::new(),
        }
    }
}
