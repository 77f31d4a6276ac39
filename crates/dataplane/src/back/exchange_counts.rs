//! Counts of exchanges with backends, for metrics.

use crate::back::connection::Progress;

/// Counts of exchanges with backends that did not go as they should.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounts {
    /// Exchanges without an answer of their own of which no byte was written.
    pub unsent: u64,
    /// Exchanges without an answer of their own whose request was written in part.
    pub part_written: u64,
    /// Exchanges whose request was written whole and that brought nothing.
    pub written: u64,
    /// Exchanges that brought bytes, but no answer that can be used.
    pub unusable_answer: u64,
    /// Answers that began before the last byte of their request was written.
    pub early_answers: u64,
}

impl ExchangeCounts {
    /// Counts an exchange that ended without an answer of its own.
    pub(super) fn record_break(&mut self, progress: Progress) {
        let count = match progress {
            Progress::Unsent => &mut self.unsent,
            Progress::Partly => &mut self.part_written,
            Progress::Whole => &mut self.written,
            Progress::Spoilt => &mut self.unusable_answer,
        };
        *count += 1;
    }
}
