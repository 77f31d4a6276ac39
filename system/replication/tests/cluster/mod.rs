//! A cluster of replicas in virtual time: members in three regions, connections with delays and cuts but no
//! reordering, processes that crash with or without loss of their disks, and machines that are replaced. It
//! does not rely on what replicas report about themselves: it records and compares the responses to callers
//! and the published entries.

use fennelscale_messages::Host;
use fennelscale_messages::mix;
use fennelscale_messages::store::{Change, Member, StoreMessage, StoreRequest, StoreResponse};
use fennelscale_replication::{AcceptorState, Item, Origin, Output, PersistedState, Replica, ReplicaConfig};
use std::collections::{BTreeMap, BTreeSet};

const TICK: f64 = 50.0;

/// Random numbers, the same for the same seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(mix(seed ^ 0x5eed))
    }
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }
    pub fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

struct Node {
    member: Member,
    disk: PersistedState,
    replica: Option<Replica>,
    incarnation: u64,
    /// Versions published in this incarnation.
    published: BTreeMap<String, u64>,
    failed: bool,
}

struct Call {
    request: StoreRequest,
    response: Option<StoreResponse>,
    submitted_at: f64,
}

/// Deliberate faults that the cluster must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mutant {
    None,
    /// Messages are sent before their writes are persisted.
    NothingPersisted,
    /// A machine that lost its disk votes as if it had not.
    VotesAfterDiskLoss,
}

/// A message in flight: receiver, sender, the message, and the incarnations of sender and receiver when it
/// was sent.
type Sent = (usize, usize, StoreMessage, u64, u64);

pub struct Cluster {
    pub now: f64,
    pub random: Random,
    nodes: Vec<Node>,
    in_flight: BTreeMap<(u64, u64), Sent>,
    sent_count: u64,
    last_arrival: BTreeMap<(usize, usize), f64>,
    cuts: BTreeSet<(usize, usize)>,
    calls: BTreeMap<u64, Call>,
    /// Contents by name and version, as any replica published them.
    contents: BTreeMap<(String, u64), Option<String>>,
    /// Rejected changes: name, version and content, and the time.
    rejected: Vec<(String, u64, Option<String>, f64)>,
    pub violations: Vec<String>,
    pub acknowledged: usize,
    mutant: Mutant,
    seeds: Vec<Host>,
    longest_message: usize,
}

fn member(n: usize, zone: usize) -> Member {
    Member { host: Host(n as u32 + 1), zone: format!("z{zone}"), region: format!("r{}", zone % 3) }
}

fn node(n: usize, zone: usize) -> Node {
    let (disk, published) = (PersistedState::default(), BTreeMap::new());
    Node { member: member(n, zone), disk, replica: None, incarnation: 0, published, failed: false }
}

impl Cluster {
    pub fn new(seed: u64, members: usize, mutant: Mutant) -> Self {
        let mut cluster = Self::not_bootstrapped(seed, members, mutant);
        cluster.run(4000.0);
        cluster
    }

    /// All replicas have just started for the first time.
    pub fn not_bootstrapped(seed: u64, members: usize, mutant: Mutant) -> Self {
        let mut cluster = Self {
            now: 0.0,
            random: Random::new(seed),
            nodes: (0..members).map(|n| node(n, n)).collect(),
            in_flight: BTreeMap::new(),
            sent_count: 0,
            last_arrival: BTreeMap::new(),
            cuts: BTreeSet::new(),
            calls: BTreeMap::new(),
            contents: BTreeMap::new(),
            rejected: Vec::new(),
            violations: Vec::new(),
            acknowledged: 0,
            mutant,
            seeds: (0..3.min(members)).map(|n| member(n, n).host).collect(),
            longest_message: 0,
        };
        (0..members).for_each(|n| cluster.start(n, true));
        cluster
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].replica.is_some()
    }

    pub fn start(&mut self, n: usize, bootstrap: bool) {
        let now = self.now;
        // The operator's list when the settings are written.
        let listed = self.nodes.iter().filter(|node| !node.failed).map(|node| node.member.host);
        let seeds = if bootstrap { self.seeds.clone() } else { listed.take(3).collect() };
        let node = &mut self.nodes[n];
        if node.replica.is_some() || node.failed {
            return;
        }
        node.incarnation += 1;
        node.published.clear();
        let config = ReplicaConfig {
            local: node.member.clone(),
            seeds,
            bootstrap,
            fault_tolerance: (1, 1, 1),
            incarnation: mix(n as u64 ^ node.incarnation << 32) >> 24,
        };
        node.replica = Some(Replica::new(config, node.disk.clone(), now));
    }

    pub fn crash(&mut self, n: usize) {
        self.nodes[n].replica = None;
    }

    pub fn lose_disk(&mut self, n: usize) {
        self.crash(n);
        let loses_state = self.mutant != Mutant::VotesAfterDiskLoss;
        let node = &mut self.nodes[n];
        let (acceptor, members) =
            (node.disk.acceptor, node.disk.items.remove(fennelscale_replication::MEMBERS_KEY));
        node.disk = PersistedState::default();
        if !loses_state {
            node.disk.acceptor = acceptor.map(|_| AcceptorState::default());
            node.disk
                .items
                .extend(members.map(|members| (fennelscale_replication::MEMBERS_KEY.to_owned(), members)));
        }
    }

    /// A machine fails for good, or leaves if `planned`; an empty one starts in its zone.
    pub fn replace(&mut self, n: usize, planned: bool) {
        if self.nodes[n].failed {
            return;
        }
        let new_machine = self.nodes.len();
        let zone = self.nodes[n].member.zone[1..].parse().unwrap();
        self.nodes.push(node(new_machine, zone));
        if planned {
            self.start(new_machine, false);
            self.run(500.0);
            self.apply_input(n, Replica::begin_leave);
            self.run(700.0);
        }
        self.crash(n);
        self.nodes[n].failed = true;
        self.start(new_machine, false);
    }

    pub fn cut(&mut self, a: usize, b: usize, one_way: bool) {
        self.cuts.insert((a, b));
        if !one_way {
            self.cuts.insert((b, a));
        }
    }

    /// Disconnects a replica from all others.
    pub fn isolate(&mut self, n: usize) {
        (0..self.len()).filter(|other| *other != n).for_each(|other| self.cut(n, other, false));
    }

    pub fn reconnect_all(&mut self) {
        self.cuts.clear();
    }

    fn at(&self, host: Host) -> Option<usize> {
        self.nodes.iter().position(|node| node.member.host == host)
    }

    fn apply_input(&mut self, n: usize, input: impl FnOnce(&mut Replica, f64)) {
        let now = self.now;
        let Some(replica) = self.nodes[n].replica.as_mut() else { return };
        input(replica, now);
        let writes = replica.take_writes();
        let outputs = replica.take_outputs();
        // A host that does not sync loses what the last steps wrote.
        if self.mutant != Mutant::NothingPersisted || self.random.fraction() < 0.3 {
            self.nodes[n].disk.apply(writes);
        }
        outputs.into_iter().for_each(|output| self.carry_out(n, output));
    }

    fn carry_out(&mut self, n: usize, output: Output) {
        match output {
            Output::Send(to, message) => {
                let Some(to) = self.at(to) else { return };
                if matches!(
                    message,
                    StoreMessage::Chunk(_)
                        | StoreMessage::RecoveryState { .. }
                        | StoreMessage::Promise { .. }
                        | StoreMessage::BeginTerm { .. }
                ) {
                    self.longest_message =
                        self.longest_message.max(fennelscale_messages::encode_frame(&message).len());
                }
                let near = self.nodes[n].member.region == self.nodes[to].member.region;
                let delay = if near { 1.0 } else { 55.0 } * (1.0 + 0.5 * self.random.fraction());
                // Messages on one connection arrive in order.
                let due = (self.now + delay).max(self.last_arrival.get(&(n, to)).copied().unwrap_or(0.0));
                self.last_arrival.insert((n, to), due);
                self.sent_count += 1;
                let incarnations = (self.nodes[n].incarnation, self.nodes[to].incarnation);
                self.in_flight.insert(
                    ((due * 1000.0) as u64, self.sent_count),
                    (to, n, message, incarnations.0, incarnations.1),
                );
            }
            Output::Chosen(entries) => entries.into_iter().for_each(|entry| self.on_published(n, entry)),
            Output::Answer(id, response) => self.on_response(id, response),
            Output::Members(_) | Output::UpToDate(_) | Output::Log(..) => {}
        }
    }

    fn on_published(&mut self, n: usize, (name, entry): fennelscale_messages::store::NamedEntry) {
        let content = entry.body.clone().map(|body| format!("{}{body}", entry.host));
        let known = self.contents.entry((name.clone(), entry.revision)).or_insert_with(|| content.clone());
        if *known != content {
            self.violations.push(format!("{name} {} has two contents", entry.revision));
        }
        let published = self.nodes[n].published.entry(name.clone()).or_default();
        if entry.revision < *published {
            self.violations.push(format!("{name} goes back from {published} to {}", entry.revision));
        }
        *published = entry.revision;
        let same = |(of, revision, body, _): &&(String, u64, Option<String>, f64)| {
            *of == name && *revision == entry.revision && *body == entry.body
        };
        // The same change may have been accepted in another call.
        let another = self.calls.values().any(|call| {
            let rejected =
                matches!(call.response, Some(StoreResponse::Conflict(_) | StoreResponse::Invalid(_)));
            let StoreRequest::Change(changes) = &call.request else { return false };
            let same = |c: &Change| c.name == name && c.revision == entry.revision && c.body == entry.body;
            !rejected && changes.iter().any(same)
        });
        if let Some((.., at)) = self.rejected.iter().find(same).filter(|_| !another) {
            self.violations.push(format!("{name} {} was rejected at {at} and is in force", entry.revision));
        }
    }

    fn on_response(&mut self, id: u64, response: StoreResponse) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.response.is_some() {
            self.violations.push(format!("call {id} was answered twice"));
        }
        if let (StoreResponse::Conflict(_) | StoreResponse::Invalid(_), StoreRequest::Change(changes)) =
            (&response, &call.request)
        {
            for c in changes {
                let current = self.contents.contains_key(&(c.name.clone(), c.revision));
                // What was in force before the rejection does not stem from this call.
                if !current {
                    self.rejected.push((c.name.clone(), c.revision, c.body.clone(), now));
                }
            }
        }
        self.acknowledged += usize::from(response == StoreResponse::Done);
        call.response = Some(response);
    }

    pub fn is_leader(&self, n: usize) -> bool {
        self.nodes[n].replica.as_ref().is_some_and(Replica::is_leader)
    }

    pub fn is_up_to_date(&self, n: usize) -> bool {
        self.nodes[n].replica.as_ref().is_some_and(Replica::is_up_to_date)
    }

    /// Members according to one replica's list.
    pub fn members(&self, n: usize) -> Vec<usize> {
        let members = self.nodes[n].replica.iter().flat_map(|replica| &replica.members().members);
        members.filter_map(|member| self.at(member.host)).collect()
    }

    /// Starts an empty machine in the zone of another, where it waits to become a member. Returns its number.
    pub fn add_machine(&mut self, zone_of: usize) -> usize {
        let new_machine = self.nodes.len();
        let zone = self.nodes[zone_of].member.zone[1..].parse().unwrap();
        self.nodes.push(node(new_machine, zone));
        self.start(new_machine, false);
        new_machine
    }

    /// A machine fails for good.
    pub fn remove(&mut self, n: usize) {
        self.crash(n);
        self.nodes[n].failed = true;
    }

    /// Tells a replica that its process is about to end.
    pub fn leave(&mut self, n: usize) {
        self.apply_input(n, Replica::begin_leave);
    }

    pub fn leave_blocker(&self, n: usize) -> Option<&'static str> {
        self.nodes[n].replica.as_ref().and_then(|replica| replica.leave_blocker(self.now))
    }

    /// Length of the longest message sent so far, in bytes.
    pub fn longest_message(&self) -> usize {
        self.longest_message
    }

    /// The leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        (0..self.len()).find(|n| self.nodes[*n].replica.as_ref().is_some_and(Replica::is_leader))
    }

    /// A process crashes and the messages that it sent are lost.
    pub fn crash_losing_messages(&mut self, n: usize) {
        self.crash(n);
        self.nodes[n].incarnation += 1;
    }

    /// Delivers a message to a replica and returns its replies to the sender.
    pub fn deliver(&mut self, to: usize, from: usize, message: StoreMessage) -> Vec<StoreMessage> {
        let (now, host) = (self.now, self.nodes[from].member.host);
        let Some(replica) = self.nodes[to].replica.as_mut() else { return Vec::new() };
        replica.receive(now, host, message);
        let replies = replica.take_outputs().into_iter();
        replies
            .filter_map(|output| {
                if let Output::Send(to, message) = output { (to == host).then_some(message) } else { None }
            })
            .collect()
    }

    pub fn acceptor(&self, n: usize) -> Option<AcceptorState> {
        self.nodes[n].replica.as_ref().map(Replica::acceptor)
    }

    /// Restarts a machine that was replaced.
    pub fn restart_replaced(&mut self, n: usize) {
        self.nodes[n].failed = false;
        self.start(n, false);
    }

    pub fn is_voting(&self, n: usize) -> Option<bool> {
        self.nodes[n].replica.as_ref().map(Replica::is_voting)
    }

    pub fn item(&self, n: usize, name: &str) -> Option<Item> {
        self.nodes[n].replica.as_ref().and_then(|replica| replica.item(name)).cloned()
    }

    /// Hash of all entries that a replica holds as chosen.
    pub fn digest(&self, n: usize) -> u64 {
        let chosen = self.nodes[n].replica.iter().flat_map(Replica::chosen_entries);
        chosen.fold(0, |digest, (name, entry)| digest ^ fennelscale_config::entry_hash((name, entry)))
    }

    pub fn position(&self, n: usize) -> fennelscale_messages::store::Stamp {
        self.nodes[n].replica.as_ref().map(Replica::position).unwrap_or_default()
    }

    pub fn call(&mut self, n: usize, request: StoreRequest) -> u64 {
        let id = self.calls.len() as u64 + 1;
        self.calls.insert(id, Call { request: request.clone(), response: None, submitted_at: self.now });
        self.apply_input(n, |replica, now| replica.submit(now, Origin::Registry(id), request));
        id
    }

    pub fn response(&self, id: u64) -> Option<StoreResponse> {
        self.calls.get(&id).and_then(|call| call.response.clone())
    }

    pub fn run(&mut self, duration: f64) {
        let end = self.now + duration;
        let mut next_tick = self.now;
        while self.now < end && self.violations.is_empty() {
            next_tick += TICK;
            while let Some(entry) = self.in_flight.first_entry() {
                let due = entry.key().0 as f64 / 1000.0;
                if due > next_tick {
                    break;
                }
                let (to, from, message, from_incarnation, to_incarnation) = entry.remove();
                self.now = self.now.max(due);
                // A connection ends with either process, and messages that meet a cut are lost.
                let connected = self.nodes[to].incarnation == to_incarnation
                    && self.nodes[from].incarnation == from_incarnation;
                if connected && !self.cuts.contains(&(from, to)) {
                    let host = self.nodes[from].member.host;
                    self.apply_input(to, |replica, now| replica.receive(now, host, message));
                }
            }
            self.now = next_tick;
            (0..self.nodes.len()).for_each(|n| self.apply_input(n, Replica::tick));
            let leaders = self.nodes.iter().filter_map(|n| n.replica.as_ref()).filter(|b| b.is_leader());
            let mut terms: Vec<_> = leaders.map(|b| b.acceptor().promised).collect();
            terms.sort_unstable();
            if terms.windows(2).any(|pair| pair[0] == pair[1]) {
                self.violations.push("two leaders in one term".into());
            }
        }
    }

    /// Restarts and reconnects everything; acknowledged entries must then be readable on every replica.
    pub fn recover_and_verify(&mut self) {
        self.reconnect_all();
        (0..self.len()).for_each(|n| self.start(n, false));
        self.run(9000.0);
        let live: Vec<usize> = (0..self.len()).filter(|n| !self.nodes[*n].failed).collect();
        for n in live {
            let read = (0..6).find_map(|_| {
                let id = self.call(n, StoreRequest::Read);
                self.run(1500.0);
                if let Some(StoreResponse::Items(items)) = self.response(id) { Some(items) } else { None }
            });
            match read {
                Some(items) => self.verify_reads(n, &items.into_iter().collect()),
                None => {
                    let state = |node: &Node| {
                        let replica = node.replica.as_ref()?;
                        let members: Vec<u32> = replica.members().members.iter().map(|s| s.host.0).collect();
                        Some((
                            node.member.host.0,
                            node.failed,
                            replica.is_voting(),
                            replica.is_leader(),
                            replica.acceptor(),
                            members,
                        ))
                    };
                    let states: Vec<_> = self.nodes.iter().map(state).collect();
                    self.violations.push(format!("nothing could be read at {n}: {states:?}"));
                }
            }
        }
    }

    fn verify_reads(&mut self, n: usize, items: &BTreeMap<String, fennelscale_messages::store::Entry>) {
        let changes = |call: &Call| {
            if let StoreRequest::Change(changes) = &call.request { changes.clone() } else { Vec::new() }
        };
        let mut wrong_reads = Vec::new();
        for call in self.calls.values().filter(|call| call.response == Some(StoreResponse::Done)) {
            for change in changes(call) {
                let current = items.get(&change.name);
                // A newer version that removed the entry may be in force.
                let mut all = self.calls.values().flat_map(changes);
                let removed =
                    all.any(|c| c.name == change.name && c.body.is_none() && c.revision >= change.revision);
                let present = current.is_some_and(|entry| entry.revision >= change.revision);
                let unchanged =
                    current.is_none_or(|e| e.revision != change.revision || e.body == change.body || removed);
                let wrong = match change.body {
                    Some(_) => !present && !removed || !unchanged,
                    None => current.is_some_and(|entry| entry.revision <= change.revision),
                };
                if wrong {
                    let read = current.map(|entry| entry.revision);
                    wrong_reads.push(format!(
                        "{} {} was acknowledged; {n} reads {read:?}",
                        change.name, change.revision
                    ));
                }
            }
            if let StoreRequest::Evacuate(zone, on, _) = &call.request {
                let later = |o: &Call| {
                    matches!(&o.request, StoreRequest::Evacuate(z, ..) if z == zone)
                        && o.submitted_at > call.submitted_at
                };
                if !self.calls.values().any(later) {
                    let in_force = self.nodes[n].replica.as_ref().and_then(|b| b.item(&format!("e:{zone}")));
                    let in_force = in_force.and_then(|i| i.chosen.as_ref()).is_some_and(|e| e.body.is_some());
                    if in_force != *on {
                        wrong_reads.push(format!("evacuation of {zone} ({on}) is lost at {n}"));
                    }
                }
            }
        }
        self.violations.extend(wrong_reads);
    }
}

/// A route as an operator sends it.
pub fn change(name: usize, revision: u64, prefix: usize, mark: u64) -> Change {
    let timeout = mark % 60_000 + 1;
    let body = format!(
        r#"{{"routeType":"upload","matchCriteria":{{"pathPrefix":"/{prefix}/"}},"action":{{"service":"s","timeout":"{timeout}ms"}}}}"#
    );
    Change { name: format!("r:{name}"), revision, host: "h".into(), body: Some(body) }
}

/// The service that all routes refer to.
pub fn service() -> Change {
    let body = Some(r#"{"healthCheckPath":"/health"}"#.into());
    Change { name: "s:s".into(), revision: 1, host: String::new(), body }
}

/// Has the cluster accept a first call.
pub fn accept_first_call(cluster: &mut Cluster) {
    let id = cluster.call(1, StoreRequest::Change(vec![service(), change(0, 1, 0, 0)]));
    cluster.run(1500.0);
    assert_eq!(cluster.response(id), Some(StoreResponse::Done), "the first call is accepted");
}
