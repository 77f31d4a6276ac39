//! Position: the stamp up to which a copy is complete.
//!
//! # Invariants
//!
//! A replica at position `p` holds, for each name, an entry at least as new as any that was chosen with a
//! stamp before `p`. Positions never decrease. There are two ways to reach a position:
//!
//! - *Writes*: a member that joined a term holds everything chosen before it, and the writes of a term are
//!   chosen in order. So a member that accepted all writes of its term up to a chosen one is complete up to
//!   that write.
//! - *Transfer* from a replica at a position (`catch_up`).
//!
//! Since a position is a stamp, it means the same on every replica, also while entries change.

use crate::Replica;
use crate::bootstrap::BootstrapRole;
use fennelscale_messages::store::{Stamp, Term};
use std::collections::BTreeSet;

/// State that is persisted besides entries and promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct Progress {
    /// The copy holds everything that was chosen before this stamp.
    pub position: Stamp,
    /// Role of this replica in the bootstrap.
    pub bootstrap_role: BootstrapRole,
}

/// Maximum number of writes remembered after a gap. There are never more in flight, since a leader has at
/// most as many as calls may queue.
const MAX_OUT_OF_ORDER: usize = 4096;

/// Writes of the latest joined term that arrived without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct AcceptedPrefix {
    /// All writes before this number arrived.
    next: u64,
    /// Writes that arrived after a gap.
    out_of_order: BTreeSet<u64>,
}

impl AcceptedPrefix {
    /// State after a restart: complete up to the replica's position, and past the first write of the joined
    /// term.
    pub(crate) fn at_start(position: Stamp, joined: Term) -> Self {
        let known = if position.term == joined { position.sequence } else { 0 };
        Self { next: known.max(1), out_of_order: BTreeSet::new() }
    }

    /// Records a write that arrived.
    pub(crate) fn record(&mut self, write: u64) {
        if write > self.next && self.out_of_order.len() < MAX_OUT_OF_ORDER {
            self.out_of_order.insert(write);
        }
        if write == self.next {
            self.next += 1;
            while self.out_of_order.remove(&self.next) {
                self.next += 1;
            }
        }
    }

    /// All writes before this number arrived.
    pub(crate) fn end(&self) -> u64 {
        self.next
    }
}

impl Replica {
    /// Stamp after the newest entry that is held as chosen.
    pub(crate) fn chosen_end(&self) -> Stamp {
        self.chosen_by_stamp.last().map_or_else(Stamp::default, |(stamp, _)| stamp.next())
    }

    /// The stamp up to which this copy is complete.
    pub fn position(&self) -> Stamp {
        self.progress.position
    }

    /// State that is persisted besides entries and promises.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Advances the position, and answers the readers that waited for it.
    pub(crate) fn advance_position(&mut self, position: Stamp) {
        if position > self.progress.position {
            self.progress.position = position;
            self.answer_ready_reads();
        }
    }
}
