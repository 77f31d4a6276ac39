//! How the descriptors of one process are divided. Each part is a hard bound on its own, so that no flood on one side takes what
//! another needs: a backend connection for a request that was taken has its descriptor whatever clients do.

use std::fmt;

/// For all but clients, backends and refusals: standard streams, the event loop and its waker, signals, the listener, the spare,
/// one that was just accepted, discovery and the counter (twice while they move), telemetry.
pub const OTHER_DESCRIPTORS: usize = 32;
/// Of the rest, the share for clients; backends get what is left. A request in flight needs one of each, idle clients
/// and idle backend connections make room for busy ones.
pub const CLIENT_SHARE: f64 = 0.55;
/// With less than this the parts would have no room to work in.
const LEAST: usize = 48;

/// The parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Clients' connections that are admitted.
    pub clients: usize,
    /// Connections that wait for room, or for their proxy's header.
    pub queued: usize,
    /// Refused ones whose answer is still being read.
    pub lingering: usize,
    /// Connections to backends.
    pub backends: usize,
    /// All else.
    pub others: usize,
}

impl Budget {
    /// Divides a limit, `more` of which are for what others hold beyond the usual (counters beyond the first). Where it is too
    /// small for all that is wanted, less is held and fewer linger, so that clients and backends keep their parts; at the
    /// least each has one.
    pub fn divide(limit: usize, queued: usize, lingering: usize, more: usize) -> Self {
        let others = OTHER_DESCRIPTORS + more;
        let rest = limit.saturating_sub(others).max(2);
        // Together no more than a quarter of what clients and backends share.
        let most = rest / 4;
        let lingering = lingering.min(most / 2);
        let queued = queued.min(most - lingering);
        let rest = rest - queued - lingering;
        let clients = ((rest as f64 * CLIENT_SHARE) as usize).max(1);
        let backends = rest.saturating_sub(clients).max(1);
        Self { clients, queued, lingering, backends, others }
    }

    /// All parts together.
    pub fn total(&self) -> usize {
        self.clients + self.queued + self.lingering + self.backends + self.others
    }
}

/// What the process may really have, against what its configuration says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimit {
    /// What it will use.
    pub usable: usize,
    /// What the configuration says.
    pub configured: usize,
    /// What the machine allows.
    pub allowed: usize,
}

impl DescriptorLimit {
    /// The smaller of the two.
    pub fn new(configured: usize, allowed: Option<u64>) -> Self {
        let allowed = allowed.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX);
        Self { usable: configured.min(allowed), configured, allowed }
    }

    /// Whether there is anything to say of it.
    pub fn is_insufficient(&self) -> bool {
        self.allowed < self.configured || self.usable < LEAST
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
        if *usable < LEAST {
            write!(f, "; fewer than {LEAST} leave next to no room for clients")?;
        }
        Ok(())
    }
}
