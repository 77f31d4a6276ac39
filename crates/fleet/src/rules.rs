//! The figures by which a fleet works, each once, and what follows from them.

use serde::Serialize;

/// Time on a node's own steady clock, in microseconds from a moment of its own. Times of two nodes are never compared.
pub type Micros = u64;

/// One millisecond.
pub const MS: Micros = 1000;
/// One second.
pub const SECOND: Micros = 1000 * MS;

/// How often the log's clock ticks. Shorter ticks find a lost leader sooner and cost each keeper a wake-up.
pub const TICK: Micros = 50 * MS;
/// Ticks between a leader's heartbeats.
pub const HEARTBEAT_TICKS: usize = 2;
/// Ticks without a leader before a keeper asks to lead; each draws from this to twice this.
pub const ELECTION_TICKS: usize = 16;
/// Ticks made up for at once after a late wake-up. With more, a process that was stopped would ask to lead before it had
/// read what came meanwhile.
pub const CATCH_UP_TICKS: u64 = 2;
/// A leader collects proposals for this long and writes them as one entry.
pub const BATCH: Micros = 10 * MS;
/// A proposal that is not seen agreed is sent again after this, to the next keeper.
pub const RESEND: Micros = 400 * MS;
/// A follower asks again after this, also when nothing is new: keepers push only to those who have asked lately.
pub const FOLLOW: Micros = 500 * MS;
/// A follower that has not asked for this long is pushed nothing more.
pub const FORGET_FOLLOWER: Micros = 5 * SECOND;

/// Clocks may run off by this part of the time, either way: 1,000 in a million, five times what the hardest case names.
pub const DRIFT_PPM: u64 = 1000;
/// Shortest and longest length of a lease.
pub const LEASE_LENGTHS: std::ops::RangeInclusive<Micros> = 500 * MS..=600 * SECOND;

/// Bytes of one frame, with all that it holds.
pub const MOST_FRAME: usize = 4 << 20;
/// Bytes of one proposal's content.
pub const MOST_CONTENT: usize = 256 << 10;
/// Bytes of all topics together. A snapshot has to fit a frame: leases add 0.6 MiB at most, authors 1.2 MiB.
pub const MOST_TOPICS: usize = 2 << 20;
/// Bytes of proposals that a leader holds for its next entry.
pub const MOST_BATCH: usize = 512 << 10;
/// Proposals that one node has under way.
pub const MOST_UNDER_WAY: usize = 32;
/// Leases that are held at once over the whole fleet.
pub const MOST_LEASES: usize = 4096;
/// Authors whose last proposal is remembered; the one who has proposed nothing for longest is forgotten first.
pub const MOST_AUTHORS: usize = 4096;
/// Followers that one keeper serves.
pub const MOST_FOLLOWERS: usize = 1024;
/// Bytes of a name: of a member, a right or a topic.
pub const MOST_NAME: usize = 64;
/// Entries after which a keeper takes a snapshot, and those kept before it for followers that are a little behind.
pub const SNAPSHOT_AFTER: u64 = 512;
/// See [`SNAPSHOT_AFTER`].
pub const KEPT_BEFORE_SNAPSHOT: u64 = 256;
/// Bytes of entries since the last snapshot after which the next one is taken, however few they are.
pub const SNAPSHOT_AFTER_BYTES: usize = 8 << 20;

/// How members watch one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Watch {
    /// How often each member probes one other.
    pub period: Micros,
    /// How long a suspected member has to answer, directly or by others, before it is named gone.
    pub suspicion: Micros,
}

impl Default for Watch {
    fn default() -> Self {
        Self { period: SECOND, suspicion: 4 * SECOND }
    }
}

impl Watch {
    /// The longest time from a member's loss until somebody names it gone, in a fleet of `members` where nothing else is wrong:
    /// each period each of the others probes one member, by turns over a shuffled list, so that the lost one is probed after
    /// `2 x members` periods at the latest and by chance after about one; then comes the rest of that period and the suspicion.
    pub fn longest_to_name_gone(&self, members: u64) -> Micros {
        self.period * (2 * members + 1) + self.suspicion
    }
}

/// The longest time without a leader after the old one's loss, where a majority of keepers hears one another within a tick and
/// no two of them draw the same wait: a heartbeat just sent, the longest wait, and a round trip each for the vote before the
/// vote and for the vote itself. Two that draw the same wait cost one wait more.
pub fn longest_without_leader(round_trip: Micros) -> Micros {
    2 * ELECTION_TICKS as Micros * TICK + HEARTBEAT_TICKS as Micros * TICK + 2 * round_trip
}

/// Whether a name can be a member's, a right's or a topic's.
pub fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MOST_NAME
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b))
}
