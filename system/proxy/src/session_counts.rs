//! Why sessions ended, and how long tasks wait for their turn: with these, a proxy that is short of processor
//! time is told from one whose registry or link is down.

use std::cell::Cell;
use std::time::Duration;

/// Why a session with a registry ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The registry could not be connected to.
    NoConnection,
    /// The connection was closed or failed.
    Closed,
    /// Nothing was received for too long.
    Silent,
    /// The registry is out of contact with the core, and another one can be reached.
    OutOfContact,
    /// A nearer registry is there.
    NearerRegistry,
    /// This proxy has ended.
    ProxyEnded,
}

impl SessionEnd {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::NoConnection,
        Self::Closed,
        Self::Silent,
        Self::OutOfContact,
        Self::NearerRegistry,
        Self::ProxyEnded,
    ];

    /// The reason in logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoConnection => "no connection",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::OutOfContact => "its registry is out of contact",
            Self::NearerRegistry => "a nearer registry is there",
            Self::ProxyEnded => "ended",
        }
    }

    /// The reason as a label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConnection => "no_connection",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::OutOfContact => "out_of_contact",
            Self::NearerRegistry => "nearer_registry",
            Self::ProxyEnded => "proxy_ended",
        }
    }
}

/// Counts of ended sessions by reason.
#[derive(Debug, Default)]
pub struct SessionCounts([Cell<u64>; SessionEnd::ALL.len()]);

impl SessionCounts {
    /// Counts an ended session.
    pub fn record(&self, end: SessionEnd) {
        let count = &self.0[end as usize];
        count.set(count.get() + 1);
    }

    /// The number of sessions that ended for this reason.
    pub fn count(&self, end: SessionEnd) -> u64 {
        self.0[end as usize].get()
    }
}

/// How long a periodic task of the proxy waited for its turn beyond its interval. The longest delay of the
/// current period and of the one before it is kept.
#[derive(Debug, Default)]
pub struct TaskDelay {
    current: Cell<Duration>,
    previous: Cell<Duration>,
}

impl TaskDelay {
    /// Records that the task ran this long after its time.
    pub fn record(&self, delay: Duration) {
        self.current.set(self.current.get().max(delay));
    }

    /// Begins a new period.
    pub fn next_period(&self) {
        self.previous.set(self.current.take());
    }

    /// The longest delay of the current and the previous period.
    pub fn longest(&self) -> Duration {
        self.current.get().max(self.previous.get())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_delay_is_kept_for_two_periods() {
        let (delay, at) = (TaskDelay::default(), Duration::from_millis);
        delay.record(at(30));
        delay.record(at(20));
        delay.next_period();
        delay.record(at(10));
        assert_eq!(delay.longest(), at(30));
        delay.next_period();
        assert_eq!(delay.longest(), at(10));
    }

    #[test]
    fn ends_are_counted_by_their_reason() {
        let counts = SessionCounts::default();
        SessionEnd::ALL.into_iter().for_each(|end| counts.record(end));
        counts.record(SessionEnd::Silent);
        let found = SessionEnd::ALL.map(|end| counts.count(end));
        assert_eq!(found, [1, 1, 2, 1, 1, 1]);
    }
}
