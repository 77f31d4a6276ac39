//! What one gateway has added to one count, and what a total heard of it says.

/// Totals are exact to seven digits: what differs by less is the same.
const EXACT: f64 = 1e-6;

/// One gateway's side of the count of one account in one window. It starts anew with each window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Units that this gateway surely added, less those given back.
    pub added: f64,
    /// The last total heard.
    pub last_total: f64,
    /// Units of calls that ended without an answer: they may have been added.
    pub uncertain: f64,
}

/// What a total says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TotalChange {
    /// The count holds at least all that this gateway added: `by` is what it grew since the last total.
    Grew {
        /// Units; below zero where others gave back.
        growth: f64,
        /// Units of calls without an answer that were added after all, as far as the growth leaves room for them.
        confirmed: f64,
    },
    /// The count has forgotten units of this gateway: it began anew, lost this name or went back to an older state. These are
    /// to be told again, once: the ledger counts on their being added from the next total on.
    Forgot {
        /// Units, above zero.
        missing: f64,
    },
}

impl Ledger {
    /// A call that added `units` was answered with `total`.
    ///
    /// The units in doubt are found only if the rest of the growth has room for all of them. That may be others' use: then
    /// the account is granted these units twice, once for each call without an answer. Whoever must not risk that (an
    /// account under a ceiling) passes `lenient` as false, and what is in doubt counts as used.
    pub fn record_total(&mut self, units: f64, total: f64, lenient: bool) -> TotalChange {
        let doubt = std::mem::take(&mut self.uncertain);
        self.added += units;
        let by = total - self.last_total;
        self.last_total = total;
        if total + EXACT < self.added {
            let missing = self.added - total;
            // Told again with the next call, which adds them to both sides.
            self.added = total;
            return TotalChange::Forgot { missing };
        }
        let found = if lenient && by - units + EXACT >= doubt { doubt } else { 0.0 };
        TotalChange::Grew { growth: by, confirmed: found }
    }

    /// A call that would have added `block` for use, and `owed` for what was used or is given back, ended, and nobody
    /// knows whether it did. Only the block is in doubt: what was used is told again. If it took more off than it added,
    /// the count may hold that much less, and must not look as if it had forgotten it.
    pub fn record_unknown(&mut self, block: f64, owed: f64) {
        self.uncertain += block.max(0.0);
        self.added += (block + owed).min(0.0);
    }
}
