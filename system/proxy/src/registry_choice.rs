//! The choice of the registry that a proxy has its session with. Performs no I/O and reads no clock; the
//! caller passes the time.
//!
//! # Guarantees
//!
//! - A proxy relies on one registry, and knows how current that one is: each heartbeat of the session carries
//!   the time since the registry was last in contact with a majority of the core. Once that exceeds
//!   [`CONTACT_LEASE`], the proxy probes other registries every [`PROBE_INTERVAL`] for as long as that lasts,
//!   and switches as soon as one can be reached.
//! - No registry is ruled out for good: one that failed is considered again after [`FAILURE_MEMORY`]. While
//!   the session's registry is out of contact, those that failed are probed too, the earliest failure first.
//! - A proxy that reaches no registry with contact continues to serve with its last state: its clients may
//!   reach no other proxy. Such a registry does not make a proxy ready.

use fennelscale_messages::Host;
use fennelscale_messages::session::CONTACT_LEASE;
use std::collections::BTreeMap;

/// Milliseconds of a monotonic clock.
pub type Millis = f64;

/// Time in ms for which a failed registry is not considered a nearer alternative.
pub const FAILURE_MEMORY: Millis = 6000.0;
/// Interval in ms between probes of other registries while the session's registry is out of contact.
pub const PROBE_INTERVAL: Millis = 900.0;
/// Number of registries in one probe.
pub const PROBES_AT_ONCE: usize = 2;

/// The registry choice of one proxy.
#[derive(Clone, Debug, Default)]
pub struct RegistryChoice {
    failed_at: BTreeMap<Host, Millis>,
    /// When the session's registry was last in contact with a majority, by this proxy's clock.
    last_contact: Option<Millis>,
    last_probe: Option<Millis>,
}

impl RegistryChoice {
    /// Records that a registry could not be reached, timed out, or is out of contact.
    pub fn record_failure(&mut self, now: Millis, registry: Host) {
        self.failed_at.insert(registry, now);
    }

    /// Whether a registry failed within [`FAILURE_MEMORY`].
    pub fn failed_recently(&self, now: Millis, registry: Host) -> bool {
        self.failed_at.get(&registry).is_some_and(|at| now - at < FAILURE_MEMORY)
    }

    /// Registries that have not failed recently in the given order, the nearest first; then the others, the
    /// earliest failure first.
    fn ranked(&self, now: Millis, registries: &[Host]) -> Vec<Host> {
        let (failed, mut ranked): (Vec<Host>, Vec<Host>) =
            registries.iter().partition(|host| self.failed_recently(now, **host));
        let mut failed: Vec<(Millis, Host)> =
            failed.into_iter().map(|host| (self.failed_at[&host], host)).collect();
        failed.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.extend(failed.into_iter().map(|(_, host)| host));
        ranked
    }

    /// The registry to try next; `registries` are all known ones, the nearest first.
    pub fn next_registry(&mut self, now: Millis, registries: &[Host]) -> Option<Host> {
        self.failed_at.retain(|_, at| now - *at < FAILURE_MEMORY);
        self.ranked(now, registries).first().copied()
    }

    /// Records a heartbeat of the session: its registry was in contact with a majority `contact_age` ms ago.
    pub fn record_heartbeat(&mut self, now: Millis, contact_age: Millis) {
        let at = now - contact_age;
        self.last_contact = Some(self.last_contact.map_or(at, |known| known.max(at)));
    }

    /// When the session's registry was last in contact; none before the first heartbeat.
    pub fn last_contact(&self) -> Option<Millis> {
        self.last_contact
    }

    /// Time since a majority of the core last confirmed the state of this proxy; none before the first
    /// heartbeat.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        self.last_contact.map(|at| now - at)
    }

    /// Whether the registry's last contact is too long ago.
    pub fn is_out_of_contact(&self, now: Millis) -> bool {
        self.contact_age(now).is_some_and(|age| age > CONTACT_LEASE)
    }

    /// Registries to probe now as replacements for the session's; empty while that one is in contact, or
    /// right after a probe. The caller records those that cannot be reached ([`Self::record_failure`]), so
    /// that the next probe goes to others.
    pub fn alternatives(&mut self, now: Millis, current: Host, registries: &[Host]) -> Vec<Host> {
        if !self.is_out_of_contact(now) || self.last_probe.is_some_and(|at| now - at < PROBE_INTERVAL) {
            return Vec::new();
        }
        self.last_probe = Some(now);
        self.ranked(now, registries)
            .into_iter()
            .filter(|host| *host != current)
            .take(PROBES_AT_ONCE)
            .collect()
    }
}
