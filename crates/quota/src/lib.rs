//! Quotas while the shared counter is lost, spoilt or replaced.
//!
//! The guarantee: however the counter fails, what all gateways together send on for an account under a ceiling stays
//! within [`Bound::max_units`] in every span. Each piece here is one step of that argument:
//!
//! - [`Ledger`] tells a total that grew from one that forgot what this gateway added, so that nothing is counted away;
//! - [`UsageShare`] knows which part of an account's use came by this gateway, as long as totals were heard;
//! - [`AccountQuota::local_share`] makes of it the part of the quota that the gateway may spend alone, whose sum over all gateways
//!   the ceiling bears; [`LocalBucket`] spends it and says what of it is still to be told;
//! - [`CounterHealth`] tells a counter that is silent from one that is slow, spoilt or forgetful, and says what a silence leaves;
//! - [`Partition`] says which of several counters counts an account;
//! - [`Bound`] adds all that up.
//!
//! Units are those of requests, times are milliseconds of the caller's clock and never go back. Nothing here does I/O,
//! reads a clock or draws by chance. The caller owes each piece the events in the order in which they came.

mod bound;
mod health;
mod ledger;
mod partition;
mod share;
mod slice;

pub use bound::{AccountQuota, Bound, Loss};
pub use health::{CounterHealth, MissedCall};
pub use ledger::{Ledger, TotalChange};
pub use partition::{Partition, PartitionError};
pub use share::UsageShare;
pub use slice::LocalBucket;

/// A time or a span in milliseconds.
pub type Millis = f64;
