//! Quotas while the shared counter is lost, corrupt or replaced.
//!
//! The guarantee: however the counter fails, the units that all gateways together send on for an account
//! under a ceiling stay within [`Bound::max_units`] in every span of time. Each type is one step of that
//! argument:
//!
//! - [`Ledger`] distinguishes a total that grew from one that lost units of this gateway, so that no use is
//!   left out of the count.
//! - [`UsageShare`] knows this gateway's share of an account's use, as long as totals arrive.
//! - [`AccountQuota::local_share`] derives from it the share of the quota that the gateway may spend
//!   without the counter; the ceiling covers the sum over all gateways. [`LocalBucket`] spends that share
//!   and knows how much of it is still to be reported.
//! - [`CounterHealth`] distinguishes a silent counter from one that is slow, corrupt or loses counts, and
//!   knows how long it was silent.
//! - [`Partition`] assigns accounts to counters.
//! - [`Bound`] adds all that up.
//!
//! Units are those of requests; times are milliseconds of the caller's clock, which never goes back.
//! Nothing here does I/O, reads a clock or uses randomness. The caller passes events to each type in the
//! order in which they occurred.

mod bound;
mod counter_health;
mod ledger;
mod local_bucket;
mod partition;
mod usage_share;

pub use bound::{AccountQuota, Bound, Loss};
pub use counter_health::{CounterHealth, MissedCall};
pub use ledger::{Ledger, TotalChange};
pub use local_bucket::LocalBucket;
pub use partition::{Partition, PartitionError};
pub use usage_share::UsageShare;

/// A time or a duration in milliseconds.
pub type Millis = f64;
