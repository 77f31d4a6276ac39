//! Quotas over all proxies: the lease cache of each ([`LeaseCache`]), the window count that is leased from ([`QuotaCounter`]), and between
//! them a relay for each region ([`Relay`]).
//!
//! # The sum
//!
//! A tenant's window is burst over rate long, at least [`MIN_WINDOW`]. In each window the count grants `rate x window` units at
//! most, whoever asks; a block ends with its window. A span of time T touches at most `T / window + 1` windows, so all proxies
//! together send on at most `rate x T + rate x window` in it, which is `rate x T + burst`, or less than the rule's overage more
//! where the window was lengthened. Beside that:
//!
//! - *Ways*: a proxy's window begins and ends later than the holder's by the way of the grant. That shifts a proxy's windows, and
//!   makes none longer.
//! - *Silence*: while a proxy hears nothing from the count for more than [`ISOLATION_TIMEOUT`], it spends `ISOLATED_SHARE` of an even part each
//!   window, and only in windows of which it has no block. The holder keeps that much back for each proxy that is silent.
//! - *Another holder*: it takes the window at hand as spent whole, and what the one before may have granted of the next: nothing
//!   is granted for [`QuotaCounter::TAKEOVER_WINDOWS`] windows.
//!
//! Times are milliseconds of the caller's steady clock. No I/O, no clock, no chance.

mod cache;
mod counts;
mod relay;
mod timely;

pub use cache::{Admission, LeaseCache, QuotaRequest, RequestId};
pub use counts::{QuotaCounter, UnitRequest};
pub use relay::{Relay, RelayOutput};
pub use timely::LatenessDetector;

/// The keys that tenants are cut into.
pub const SHARDS: u64 = 32;

/// The key that a tenant's count is under.
pub fn shard_bit(tenant: &str) -> u64 {
    1 << (fennelscale_messages::hash(tenant.as_bytes()) % SHARDS)
}

/// A time or a span in milliseconds.
pub type Millis = f64;

/// No window is shorter: it would be over before a block has come from another region.
pub const MIN_WINDOW: Millis = 500.0;
/// A proxy that heard nothing for this long, though it asked, is on its own.
pub const ISOLATION_TIMEOUT: Millis = 700.0;
/// Of an even part a proxy on its own spends so much: how many there are may just have changed.
pub const ISOLATED_SHARE: f64 = 0.9;

/// Units of one window that are at hand, at a proxy or a relay.
#[derive(Clone, Debug, Default)]
struct Block {
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
    /// Requests on top.
    pub burst: f64,
}

impl Quota {
    /// How long a window is.
    pub fn window_length(&self) -> Millis {
        (self.burst / self.rate.max(1e-9) * 1000.0).max(MIN_WINDOW)
    }

    /// What one window grants.
    pub fn units_per_window(&self) -> f64 {
        // A tenant without a burst of its own may still send one by one.
        (self.rate * self.window_length() / 1000.0).max(1.0)
    }
}

#[cfg(test)]
mod tests;
