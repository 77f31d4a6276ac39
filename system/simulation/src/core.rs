//! A core machine: a store and a registry that share a disk and an address.

use crate::Millis;
use fennelscale_membership::RegistryState;
use fennelscale_messages::Host;
use fennelscale_messages::store::{Member, StoreMessage, StoreRequest, StoreResponse};
use fennelscale_replication::{Origin, Output, PersistedState, Replica, ReplicaConfig};

/// How long a store takes to read its disk and to connect to its registry, in ms.
const JOIN_DELAY: Millis = 250.0;

/// Messages that a store sends, and responses to calls of its registry.
pub(crate) enum CoreOutput {
    Send(Host, StoreMessage),
    Answer(u64, StoreResponse),
}

/// One core machine.
pub(crate) struct Core {
    pub(crate) member: Member,
    disk: PersistedState,
    pub(crate) replica: Option<Replica>,
    pub(crate) registry: Option<RegistryState>,
    /// Counts starts and stops; connections of an earlier incarnation are closed.
    pub(crate) incarnations: u64,
    next: u64,
    /// When the store connects to its registry, which knows nothing of the store's contents until then.
    joins_at: Option<Millis>,
}

impl Core {
    pub(crate) fn new(n: usize, zones: usize, regions: usize) -> Self {
        let zone = n % zones;
        let member = Member {
            host: Host(n as u32 + 1),
            zone: format!("z{zone}"),
            region: format!("r{}", zone % regions),
        };
        Self::empty(member)
    }

    /// An empty machine at another address, in the zone of the removed machine.
    pub(crate) fn in_place_of(gone: &Self, n: usize) -> Self {
        Self::empty(Member { host: Host(n as u32 + 1), ..gone.member.clone() })
    }

    fn empty(member: Member) -> Self {
        Self {
            member,
            disk: PersistedState::default(),
            replica: None,
            registry: None,
            incarnations: 0,
            next: 0,
            joins_at: None,
        }
    }

    pub(crate) fn start(&mut self, now: Millis, seeds: &[Host], bootstrap: bool) {
        if self.replica.is_some() {
            return;
        }
        self.incarnations += 1;
        let incarnation =
            fennelscale_messages::mix(u64::from(self.member.host.0) << 32 ^ self.incarnations) >> 24;
        let config = ReplicaConfig {
            local: self.member.clone(),
            seeds: seeds.to_vec(),
            bootstrap,
            fault_tolerance: (1, 1, 1),
            incarnation,
        };
        let replica = Replica::new(config, self.disk.clone(), now);
        let registry = RegistryState::new(
            self.member.host,
            incarnation,
            &self.member.zone,
            &self.member.region,
            bootstrap,
            now,
        );
        self.joins_at = Some(now + JOIN_DELAY);
        (self.replica, self.registry) = (Some(replica), Some(registry));
    }

    pub(crate) fn kill(&mut self) {
        (self.replica, self.registry) = (None, None);
        self.incarnations += 1;
    }

    pub(crate) fn wipe(&mut self) {
        self.kill();
        self.disk = PersistedState::default();
    }

    /// Connects the store to its registry when it is time, and passes on all that the store holds.
    fn join(&mut self, now: Millis) {
        if self.joins_at.is_none_or(|at| now < at) {
            return;
        }
        let (Some(replica), Some(registry)) = (&self.replica, self.registry.as_mut()) else { return };
        self.joins_at = None;
        registry.on_core_members(now, replica.members().clone());
        registry.on_items(now, true, replica.published_entries());
        registry.on_store_freshness(now, replica.is_up_to_date());
    }

    /// Passes an input to the store. Its writes are on disk before its messages are sent.
    pub(crate) fn store(&mut self, now: Millis, input: impl FnOnce(&mut Replica, Millis)) -> Vec<CoreOutput> {
        self.join(now);
        let joined = self.joins_at.is_none();
        let Some(replica) = self.replica.as_mut() else { return Vec::new() };
        input(replica, now);
        self.disk.apply(replica.take_writes());
        let replica_outputs = replica.take_outputs();
        let mut outputs = Vec::new();
        for out in replica_outputs {
            let Some(registry) = self.registry.as_mut() else { break };
            match out {
                Output::Send(to, message) => outputs.push(CoreOutput::Send(to, message)),
                Output::Answer(id, response) => outputs.push(CoreOutput::Answer(id, response)),
                Output::Chosen(_) | Output::Members(_) | Output::UpToDate(_) if !joined => {}
                Output::Chosen(entries) => registry.on_items(now, false, entries),
                Output::Members(members) => registry.on_core_members(now, members),
                Output::UpToDate(up_to_date) => registry.on_store_freshness(now, up_to_date),
                Output::Log(..) => {}
            }
        }
        outputs
    }

    /// Submits a call to the store; returns the number of the call.
    pub(crate) fn submit(&mut self, now: Millis, request: StoreRequest) -> (u64, Vec<CoreOutput>) {
        self.next += 1;
        let id = self.incarnations << 32 | self.next;
        (id, self.store(now, |replica, now| replica.submit(now, Origin::Registry(id), request)))
    }
}
