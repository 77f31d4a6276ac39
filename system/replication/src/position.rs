//! Up to where a copy is complete: its *position*.
//!
//! # What holds
//!
//! A store at position `p` holds, of each name, an entry at least as new as any that was chosen with a stamp before `p`. Positions only go
//! up. Two ways lead there:
//!
//! - *By writes*: whoever joined a turn holds all that was chosen before it, and writes of a turn are chosen in their order. So who has
//!   taken all writes of its turn up to one that is chosen is complete up to that.
//! - *By a transfer* from a store at a position (`catch_up`).
//!
//! A position is agreed on by being a stamp: it means the same at every store, also while changes go on.

use crate::Replica;
use crate::bootstrap::BootstrapRole;
use fennelscale_messages::depot::{Epoch, Stamp};
use std::collections::BTreeSet;

/// What is kept on disk beside items and promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct Progress {
    /// The copy holds all that was chosen before this.
    pub position: Stamp,
    /// What this store is to do at the first start of all.
    pub bootstrap_role: BootstrapRole,
}

/// Writes beyond a gap that are remembered. More than this are never on their way: a writer has as many out as calls may wait.
const MAX_OUT_OF_ORDER: usize = 4096;

/// Which writes of the turn that was joined last came without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct AcceptedPrefix {
    /// All before this came.
    next: u64,
    /// Those that came after a gap.
    out_of_order: BTreeSet<u64>,
}

impl AcceptedPrefix {
    /// What a store knows of it after a start: what is complete up to its position, and the first write of the turn it joined.
    pub(crate) fn at_start(position: Stamp, joined: Epoch) -> Self {
        let known = if position.epoch == joined { position.turn } else { 0 };
        Self { next: known.max(1), out_of_order: BTreeSet::new() }
    }

    /// A write came.
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

    /// All writes before this one came.
    pub(crate) fn end(&self) -> u64 {
        self.next
    }
}

impl Replica {
    /// The stamp after the newest entry that is held as chosen.
    pub(crate) fn chosen_end(&self) -> Stamp {
        self.chosen_by_stamp.last().map_or_else(Stamp::default, |(stamp, _)| stamp.following())
    }

    /// Up to where this copy is complete.
    pub fn position(&self) -> Stamp {
        self.progress.position
    }

    /// What is kept on disk beside items and promises.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// The copy is complete up to there.
    pub(crate) fn advance_position(&mut self, position: Stamp) {
        if position > self.progress.position {
            self.progress.position = position;
            self.answer_ready_reads();
        }
    }
}
