//! How the memory of the process is divided between itself, its connections and what it holds for its callers.

use fennelscale_admission::budget::Budget;
use fennelscale_memory::ledger::PoolSizes;

/// Shares of `memoryMb`; the rest is for the process itself: routes, backends, sessions, connections to backends.
const CONNECTIONS_SHARE: f64 = 0.25;
const SMALL_POOL_SHARE: f64 = 0.125;
/// With 160 MB this holds one body of the largest size.
const LARGE_POOL_SHARE: f64 = 0.425;
/// Memory of a client connection in bytes: buffers of the HTTP library, state, and what its request and its answer
/// need that is not charged to the ledger.
const CLIENT_CONNECTION_SIZE: usize = 18 * 1024;

/// The division of the memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// What may be charged for bodies, answers and grown buffers.
    pub pools: PoolSizes,
    /// Maximum number of client connections.
    pub clients: usize,
}

impl MemoryLimits {
    /// Divides a limit in bytes.
    pub fn divide(memory: u64) -> Self {
        let share = |share: f64| (memory as f64 * share) as usize;
        Self {
            pools: PoolSizes { small: share(SMALL_POOL_SHARE), large: share(LARGE_POOL_SHARE) },
            clients: (share(CONNECTIONS_SHARE) / CLIENT_CONNECTION_SIZE).max(1),
        }
    }

    /// A division of descriptors that does not admit more clients than there is memory for.
    pub fn restrict(&self, budget: Budget) -> Budget {
        Budget { clients: budget.clients.min(self.clients), ..budget }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_memory::ledger::SMALL_SIZE;

    const MEGABYTE: u64 = 1_000_000;
    /// The largest body of the configuration's pages.
    const LARGEST_BODY: usize = 64 << 20;
    const DESCRIPTORS: usize = 4100;

    #[test]
    fn the_largest_body_and_as_many_clients_as_descriptors_fit_in_160_mb_and_more() {
        for memory_mb in [160, 256, 260] {
            let limits = MemoryLimits::divide(memory_mb * MEGABYTE);
            assert!(limits.pools.large + SMALL_SIZE >= LARGEST_BODY, "{memory_mb} MB");
            let budget = Budget::divide(DESCRIPTORS - 280, 0, 0, 0);
            assert_eq!(limits.restrict(budget), budget, "{memory_mb} MB");
            let sum = limits.pools.small + limits.pools.large + limits.clients * CLIENT_CONNECTION_SIZE;
            assert!(sum as u64 <= memory_mb * MEGABYTE * 4 / 5, "{memory_mb} MB");
        }
    }
}
