//! The first start of all: who makes the list of seats.
//!
//! At the first start all are told the same seeds, and these are up. The first of them, and nobody else, makes the list of all who
//! announced themselves in time, brings it to its disk and tells them. What a store is to do then is on its disk before it says a word:
//! one that dies before the list is made comes back with settings that say nothing of a first start, and goes on where it was. A founder
//! that loses its *disk* before it has founded founds nothing: then nobody has promised anything, and all are started anew on empty
//! disks.

use crate::membership::to_text;
use crate::{MEMBERS_KEY, Millis, Replica};
use fennelscale_messages::store::{Entry, Member, Stamp, Term};

/// The founder waits so long for the others: all machines start together, and nothing is asked of them for seconds.
const FOUND: Millis = 1800.0;
/// Before it has this many together, itself included, it waits on; at the latest until ...
const FOUND_LEAST: usize = 3;
/// ... this.
const FOUND_LATEST: Millis = 6000.0;

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
    pub(crate) fn note_first_start(&mut self) {
        if !self.place.bootstrap || self.progress.bootstrap_role != BootstrapRole::None {
            return;
        }
        let first = self.place.seeds.first() == Some(&self.place.local.host);
        self.progress.bootstrap_role =
            if first { BootstrapRole::Initiator } else { BootstrapRole::Participant };
        self.dirty_progress = true;
    }

    pub(crate) fn found(&mut self, now: Millis) {
        let me = self.place.local.clone();
        let (age, many) = (now - self.born, self.candidates.len() + 1);
        let early = age < FOUND || many < FOUND_LEAST && age < FOUND_LATEST;
        if self.progress.bootstrap_role != BootstrapRole::Initiator || early {
            return;
        }
        let mut seats: Vec<Member> =
            self.candidates.values().map(|candidate| candidate.seat.clone()).collect();
        seats.push(me.clone());
        seats.sort();
        let stamp = Stamp { term: Term { number: 1, leader: me.host }, sequence: 0 };
        let entry = Entry { stamp, revision: 1, body: Some(to_text(&seats)), ..Entry::default() };
        self.log("founded", format!("seats={}", seats.len()));
        self.votes = true;
        self.acceptor.promised = self.acceptor.promised.max(stamp.term);
        self.dirty_acceptor = true;
        self.merge(vec![(MEMBERS_KEY.to_owned(), entry)]);
        self.reach(stamp.next());
        self.others().into_iter().for_each(|host| self.tell_seats(host));
    }

    /// A store that was there at the first start has forgotten nothing: it takes its seat on the first list at once. Whether it did.
    pub(crate) fn takes_first_seat(&mut self) -> bool {
        if self.progress.bootstrap_role == BootstrapRole::None || self.seats.version != 1 {
            return false;
        }
        self.votes = true;
        self.dirty_acceptor = true;
        self.log("seat-taken", "version=1".into());
        true
    }
}
