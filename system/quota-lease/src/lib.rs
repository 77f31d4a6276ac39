//! Quotas over all proxies: the lease cache of each proxy ([`LeaseCache`]), the window count that it leases
//! from ([`QuotaCounter`]), and a relay for each region between them ([`Relay`]).
//!
//! # Bound
//!
//! A tenant's window lasts burst / rate, but at least [`MIN_WINDOW`]. In each window the count grants at
//! most `rate x window` units in all; a lease ends with its window. A span of time T touches at most `T /
//! window + 1` windows, so all proxies together send on at most `rate x T + rate x window` in it. That is
//! `rate x T + burst`, or, where the window was lengthened, more by less than the overage that the rule
//! allows. In addition:
//!
//! - *Extreme limits*: windows and their units are bounded, so that all numbers stay finite whatever rate and burst are.
//! - *Latency*: a proxy's window begins and ends later than the holder's by the latency of the grant. That
//!   shifts a proxy's windows and makes none longer.
//! - *Isolation*: a proxy that hears nothing from the count for more than [`ISOLATION_TIMEOUT`] spends
//!   [`ISOLATED_SHARE`] of an equal part each window, and only in windows of which it has no lease. The
//!   holder reserves that much for each isolated proxy.
//! - *Takeover*: a new holder treats the current window as spent, and also what the former holder may have
//!   granted of the next: it grants nothing for [`QuotaCounter::TAKEOVER_WINDOWS`] windows.
//!
//! Times are milliseconds of the caller's monotonic clock. This package does no I/O, reads no clock and
//! uses no randomness.

mod cache;
mod counter;
mod lateness;
mod relay;

pub use cache::{Admission, LeaseCache, QuotaRequest, RequestId};
pub use counter::{QuotaCounter, UnitRequest};
pub use lateness::LatenessDetector;
pub use relay::{Relay, RelayOutput};

/// The number of shards that tenants are divided into.
pub const SHARDS: u64 = 32;

/// The shard of a tenant's count, as a bit mask.
pub fn shard_bit(tenant: &str) -> u64 {
    1 << (fennelscale_messages::hash(tenant.as_bytes()) % SHARDS)
}

/// A time or a duration in milliseconds.
pub type Millis = f64;

/// The shortest window: a shorter one would end before a lease arrives from another region.
pub const MIN_WINDOW: Millis = 500.0;
/// The longest window. A burst that would last longer at its rate is granted once in it.
pub const MAX_WINDOW: Millis = fennelscale_time::MAX_MILLIS;
/// The most units of a window: more cannot be counted one by one in a floating-point number.
const MAX_UNITS: f64 = (1_u64 << 53) as f64;
/// A proxy whose requests go unanswered for this long is isolated.
pub const ISOLATION_TIMEOUT: Millis = 700.0;
/// The share of an equal part that an isolated proxy spends: the number of proxies may just have changed.
pub const ISOLATED_SHARE: f64 = 0.9;

/// Units of one window that a proxy or a relay holds.
#[derive(Clone, Debug, Default)]
struct Lease {
    units: f64,
    window: u64,
    begins: Millis,
    ends: Millis,
}

/// What a tenant may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Additional requests at once.
    pub burst: f64,
}

impl Quota {
    /// The length of a window, between [`MIN_WINDOW`] and [`MAX_WINDOW`].
    pub fn window_length(&self) -> Millis {
        (self.burst / self.rate.max(f64::MIN_POSITIVE) * 1000.0).clamp(MIN_WINDOW, MAX_WINDOW)
    }

    /// The units that one window grants.
    pub fn units_per_window(&self) -> f64 {
        let units = self.rate * (self.window_length() / 1000.0);
        // A window that was shortened still has its burst; a tenant without a burst may still send one request at a time.
        units.max(self.burst).clamp(1.0, MAX_UNITS)
    }
}

#[cfg(test)]
mod tests;
