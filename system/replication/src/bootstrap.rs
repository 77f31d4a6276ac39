//! The first start of all: who makes the list of seats.
//!
//! At the first start all are told the same seeds, and these are up. The first of them, and nobody else, makes the list of all who
//! announced themselves in time, brings it to its disk and tells them. What a store is to do then is on its disk before it says a word:
//! one that dies before the list is made comes back with settings that say nothing of a first start, and goes on where it was. A founder
//! that loses its *disk* before it has founded founds nothing: then nobody has promised anything, and all are started anew on empty
//! disks.

use crate::membership::encode_members;
use crate::{MEMBERS_KEY, Millis, Replica};
use fennelscale_messages::depot::{Entry, Epoch, Seat, Stamp};

/// The founder waits so long for the others: all machines start together, and nothing is asked of them for seconds.
const BOOTSTRAP_DELAY: Millis = 1800.0;
/// Before it has this many together, itself included, it waits on; at the latest until ...
const BOOTSTRAP_MIN_MEMBERS: usize = 3;
/// ... this.
const BOOTSTRAP_MAX_WAIT: Millis = 6000.0;

/// What a store is to do at the first start of all. Kept on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub enum BootstrapRole {
    /// Nothing: it came later, or its disk was lost.
    #[default]
    None,
    /// Takes its seat on the first list: it has forgotten nothing.
    Participant,
    /// Makes the first list.
    Initiator,
}

impl Replica {
    /// An empty disk: what the settings say of the first start is kept.
    pub(crate) fn record_bootstrap_role(&mut self) {
        if !self.config.bootstrap || self.progress.bootstrap_role != BootstrapRole::None {
            return;
        }
        let first = self.config.seeds.first() == Some(&self.config.local.host);
        self.progress.bootstrap_role =
            if first { BootstrapRole::Initiator } else { BootstrapRole::Participant };
        self.dirty_progress = true;
    }

    pub(crate) fn bootstrap_cluster(&mut self, now: Millis) {
        let me = self.config.local.clone();
        let (age, many) = (now - self.started_at, self.learners.len() + 1);
        let early = age < BOOTSTRAP_DELAY || many < BOOTSTRAP_MIN_MEMBERS && age < BOOTSTRAP_MAX_WAIT;
        if self.progress.bootstrap_role != BootstrapRole::Initiator || early {
            return;
        }
        let mut seats: Vec<Seat> = self.learners.values().map(|learner| learner.seat.clone()).collect();
        seats.push(me.clone());
        seats.sort();
        let stamp = Stamp { epoch: Epoch { round: 1, seat: me.host }, turn: 0 };
        let entry = Entry { stamp, revision: 1, body: Some(encode_members(&seats)), ..Entry::default() };
        self.log("founded", format!("seats={}", seats.len()));
        self.voting = true;
        self.acceptor.promised = self.acceptor.promised.max(stamp.epoch);
        self.dirty_acceptor = true;
        self.merge_chosen(vec![(MEMBERS_KEY.to_owned(), entry)]);
        self.advance_position(stamp.following());
        self.other_members().into_iter().for_each(|host| self.send_members(host));
    }

    /// A store that was there at the first start has forgotten nothing: it takes its seat on the first list at once. Whether it did.
    pub(crate) fn join_initial_members(&mut self) -> bool {
        if self.progress.bootstrap_role == BootstrapRole::None || self.members.version != 1 {
            return false;
        }
        self.voting = true;
        self.dirty_acceptor = true;
        self.log("seat-taken", "version=1".into());
        true
    }
}
