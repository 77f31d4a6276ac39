//! How the file descriptors of a process are divided. Each part is a hard limit of its own, so that an
//! overload on one side cannot take what another needs: the backend connection of an accepted request has its
//! descriptor whatever clients do.

use std::fmt;

/// Descriptors for everything but clients, backends and rejections: standard streams, the event loop and its
/// waker, signals, the listener, the spare descriptor, a connection just accepted, discovery and the counter
/// (two each while they change), telemetry.
pub const OTHER_DESCRIPTORS: usize = 32;
/// The clients' share of the rest; backends get the remainder. A request in flight needs one of each; idle
/// client and backend connections are closed in favour of busy ones.
pub const CLIENT_SHARE: f64 = 0.55;
/// With fewer descriptors than this the parts are too small to work.
const MIN_USABLE: usize = 48;

/// The parts of the descriptor limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Admitted client connections.
    pub clients: usize,
    /// Connections that wait for capacity or for their proxy's header.
    pub queued: usize,
    /// Rejected connections whose response is still being read.
    pub lingering: usize,
    /// Connections to backends.
    pub backends: usize,
    /// Everything else.
    pub others: usize,
}

impl Budget {
    /// Divides a limit, of which `extra` descriptors are for other uses beyond the usual (counters beyond the
    /// first). If it is too small, fewer connections are queued and linger, so that clients and backends keep
    /// their parts; each has at least one.
    pub fn divide(limit: usize, queued: usize, lingering: usize, extra: usize) -> Self {
        let others = OTHER_DESCRIPTORS + extra;
        let rest = limit.saturating_sub(others).max(2);
        // Queued and lingering connections together take at most a quarter of the rest.
        let max_waiting = rest / 4;
        let lingering = lingering.min(max_waiting / 2);
        let queued = queued.min(max_waiting - lingering);
        let rest = rest - queued - lingering;
        let clients = ((rest as f64 * CLIENT_SHARE) as usize).max(1);
        let backends = rest.saturating_sub(clients).max(1);
        Self { clients, queued, lingering, backends, others }
    }

    /// The sum of all parts.
    pub fn total(&self) -> usize {
        self.clients + self.queued + self.lingering + self.backends + self.others
    }
}

/// The descriptors that the process may use, compared with its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimit {
    /// The number that is used.
    pub usable: usize,
    /// The configured number.
    pub configured: usize,
    /// The number that the machine allows.
    pub allowed: usize,
}

impl DescriptorLimit {
    /// Uses the smaller of the two.
    pub fn new(configured: usize, allowed: Option<u64>) -> Self {
        let allowed = allowed.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX);
        Self { usable: configured.min(allowed), configured, allowed }
    }

    /// Whether the limit deserves a warning.
    pub fn is_insufficient(&self) -> bool {
        self.allowed < self.configured || self.usable < MIN_USABLE
    }
}

impl fmt::Display for DescriptorLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { usable, configured, allowed } = self;
        if allowed < configured {
            write!(
                f,
                "descriptors: the machine allows {allowed}, the configuration says {configured}: {usable} are divided; raise \
                 RLIMIT_NOFILE to {configured} for all of them"
            )?;
        } else {
            write!(f, "descriptors: {usable} are divided")?;
        }
        if *usable < MIN_USABLE {
            write!(f, "; fewer than {MIN_USABLE} leave next to no room for clients")?;
        }
        Ok(())
    }
}
