//! The units that one gateway has added to one count, and what a new total says about them.

/// Totals are exact to seven digits, so smaller differences are ignored.
const TOLERANCE: f64 = 1e-6;

/// One gateway's record of the count of one account in one window. It starts anew with each window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Units that this gateway has certainly added, less those returned.
    pub added: f64,
    /// The last total received.
    pub last_total: f64,
    /// Units of calls that ended without an answer: they may have been added.
    pub uncertain: f64,
}

/// What a total says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TotalChange {
    /// The count holds at least all units that this gateway added; `growth` is the change since the last
    /// total.
    Grew {
        /// Units; negative if other gateways returned some.
        growth: f64,
        /// Units of unanswered calls that were added after all, as far as the growth allows for them.
        confirmed: f64,
    },
    /// The count has lost units of this gateway: it was reset, lost this key or returned to an older state.
    /// They are to be added again, once: the ledger assumes that the next total includes them.
    Forgot {
        /// Units, above zero.
        missing: f64,
    },
}

impl Ledger {
    /// Records the answer `total` to a call that added `units`.
    ///
    /// Uncertain units are confirmed only if the rest of the growth has room for all of them. That growth
    /// may be use by others: then the account is granted these units twice, once for each unanswered call.
    /// A caller that must not risk this (an account under a ceiling) passes `lenient` as false, and
    /// uncertain units count as used.
    pub fn record_total(&mut self, units: f64, total: f64, lenient: bool) -> TotalChange {
        let uncertain = std::mem::take(&mut self.uncertain);
        self.added += units;
        let growth = total - self.last_total;
        self.last_total = total;
        if total + TOLERANCE < self.added {
            let missing = self.added - total;
            // Added again with the next call, which counts them on both sides.
            self.added = total;
            return TotalChange::Forgot { missing };
        }
        let confirmed = if lenient && growth - units + TOLERANCE >= uncertain { uncertain } else { 0.0 };
        TotalChange::Grew { growth, confirmed }
    }

    /// Records a call with an unknown outcome that would have added `lease` for use and `owed` for units
    /// already used or returned. Only the lease is uncertain: the owed units are sent again. If the call
    /// took off more than it added, the count may hold that much less, which must not look like lost units.
    pub fn record_unknown(&mut self, lease: f64, owed: f64) {
        self.uncertain += lease.max(0.0);
        self.added += (lease + owed).min(0.0);
    }
}
