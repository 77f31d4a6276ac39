//! A core machine: a store and a registry that share a disk and an address.

use crate::Millis;
use fennelscale_membership::RegistryState;
use fennelscale_messages::Host;
use fennelscale_messages::store::{Member, StoreMessage, StoreRequest, StoreResponse};
use fennelscale_replication::{Origin, Output, PersistedState, Replica, ReplicaConfig};

/// A store reads its disk and has dialled its registry after this, in ms.
const JOINS: Millis = 250.0;

/// What a store sends, and what its registry's callers hear.
pub(crate) enum Does {
    Send(Host, StoreMessage),
    Answer(u64, StoreResponse),
}

/// One core machine.
pub(crate) struct Core {
    pub(crate) seat: Member,
    disk: PersistedState,
    pub(crate) book: Option<Replica>,
    pub(crate) round: Option<RegistryState>,
    /// Counts starts of either process: lines of an earlier life are closed.
    pub(crate) lives: u64,
    next: u64,
    /// When the store has dialled its registry: until then that knows nothing of what the store holds.
    joins: Option<Millis>,
}

impl Core {
    pub(crate) fn new(n: usize, zones: usize, regions: usize) -> Self {
        let zone = n % zones;
        let seat = Member {
            host: Host(n as u32 + 1),
            zone: format!("z{zone}"),
            region: format!("r{}", zone % regions),
        };
        Self::empty(seat)
    }

    /// An empty machine at another address in the zone of one that is gone.
    pub(crate) fn in_place_of(gone: &Self, n: usize) -> Self {
        Self::empty(Member { host: Host(n as u32 + 1), ..gone.seat.clone() })
    }

    fn empty(seat: Member) -> Self {
        Self {
            seat,
            disk: PersistedState::default(),
            book: None,
            round: None,
            lives: 0,
            next: 0,
            joins: None,
        }
    }

    pub(crate) fn start(&mut self, now: Millis, seeds: &[Host], bootstrap: bool) {
        if self.book.is_some() {
            return;
        }
        self.lives += 1;
        let life = fennelscale_messages::mix(u64::from(self.seat.host.0) << 32 ^ self.lives) >> 24;
        let place = ReplicaConfig {
            local: self.seat.clone(),
            seeds: seeds.to_vec(),
            bootstrap,
            fault_tolerance: (1, 1, 1),
            incarnation: life,
        };
        let book = Replica::new(place, self.disk.clone(), now);
        let round =
            RegistryState::new(self.seat.host, life, &self.seat.zone, &self.seat.region, bootstrap, now);
        self.joins = Some(now + JOINS);
        (self.book, self.round) = (Some(book), Some(round));
    }

    pub(crate) fn kill(&mut self) {
        (self.book, self.round) = (None, None);
        self.lives += 1;
    }

    pub(crate) fn wipe(&mut self) {
        self.kill();
        self.disk = PersistedState::default();
    }

    /// The store has dialled its registry and tells all that it holds.
    fn join(&mut self, now: Millis) {
        if self.joins.is_none_or(|at| now < at) {
            return;
        }
        let (Some(book), Some(round)) = (&self.book, self.round.as_mut()) else { return };
        self.joins = None;
        round.on_core_members(now, book.members().clone());
        round.on_items(now, true, book.published_entries());
        round.on_store_freshness(now, book.is_up_to_date());
    }

    /// Gives the store an input; what it writes is on the disk before anything of it is sent.
    pub(crate) fn store(&mut self, now: Millis, input: impl FnOnce(&mut Replica, Millis)) -> Vec<Does> {
        self.join(now);
        let joined = self.joins.is_none();
        let Some(book) = self.book.as_mut() else { return Vec::new() };
        input(book, now);
        self.disk.apply(book.take_writes());
        let outs = book.take_outputs();
        let mut does = Vec::new();
        for out in outs {
            let Some(round) = self.round.as_mut() else { break };
            match out {
                Output::Send(to, word) => does.push(Does::Send(to, word)),
                Output::Answer(id, told) => does.push(Does::Answer(id, told)),
                Output::Chosen(_) | Output::Members(_) | Output::UpToDate(_) if !joined => {}
                Output::Chosen(entries) => round.on_items(now, false, entries),
                Output::Members(seats) => round.on_core_members(now, seats),
                Output::UpToDate(fresh) => round.on_store_freshness(now, fresh),
                Output::Log(..) => {}
            }
        }
        does
    }

    /// Has the store decide on a call; its number.
    pub(crate) fn ask(&mut self, now: Millis, ask: StoreRequest) -> (u64, Vec<Does>) {
        self.next += 1;
        let id = self.lives << 32 | self.next;
        (id, self.store(now, |book, now| book.submit(now, Origin::Registry(id), ask)))
    }
}
