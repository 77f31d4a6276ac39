//! Which registry a proxy has its session with. No I/O and no clock: it is told the time.
//!
//! # What holds
//!
//! - A proxy goes by the word of one registry, and knows how old that is: each beat of the session bears the time since the registry
//!   was last in contact with a majority of the core. Once that is longer ago than [`CONTACT_LEASE`], the proxy looks for another
//!   registry every [`PROBE_INTERVAL`], for as long as that lasts, and leaves as soon as one can be reached.
//! - No registry is ruled out for ever: one that failed is thought of again after [`FAILURE_MEMORY`], and while the session's own registry is
//!   out of contact, those that failed are looked at too, the one that did so first before the others.
//! - A proxy that reaches no registry with contact serves on with what it has: its clients reach nobody else. It is not made ready by
//!   such a registry.

use fennelscale_messages::Host;
use fennelscale_messages::session::CONTACT_LEASE;
use std::collections::BTreeMap;

/// Milliseconds of a clock that never goes back.
pub type Millis = f64;

/// A registry that failed is not thought of as a nearer one for so long.
pub const FAILURE_MEMORY: Millis = 6000.0;
/// Out of contact, others are looked for this often, ...
pub const PROBE_INTERVAL: Millis = 900.0;
/// ... so many at a time.
pub const PROBES_AT_ONCE: usize = 2;

/// The choice of one proxy.
#[derive(Clone, Debug, Default)]
pub struct RegistryChoice {
    failed: BTreeMap<Host, Millis>,
    /// When the session's registry was last in contact, by this proxy's clock.
    contact: Option<Millis>,
    looked: Option<Millis>,
}

impl RegistryChoice {
    /// A registry could not be reached, fell silent, or is out of contact.
    pub fn record_failure(&mut self, now: Millis, registry: Host) {
        self.failed.insert(registry, now);
    }

    /// Whether a registry failed lately.
    pub fn failed_recently(&self, now: Millis, registry: Host) -> bool {
        self.failed.get(&registry).is_some_and(|at| now - at < FAILURE_MEMORY)
    }

    /// Those that have not failed lately in the order in which they are given, the nearest first; then the others, the one that failed
    /// first before those that did later.
    fn ranked(&self, now: Millis, registries: &[Host]) -> Vec<Host> {
        let (failed, mut ranked): (Vec<Host>, Vec<Host>) =
            registries.iter().partition(|host| self.failed_recently(now, **host));
        let mut failed: Vec<(Millis, Host)> =
            failed.into_iter().map(|host| (self.failed[&host], host)).collect();
        failed.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.extend(failed.into_iter().map(|(_, host)| host));
        ranked
    }

    /// The registry to try next; `registries` are all that are known, the nearest first.
    pub fn next_registry(&mut self, now: Millis, registries: &[Host]) -> Option<Host> {
        self.failed.retain(|_, at| now - *at < FAILURE_MEMORY);
        self.ranked(now, registries).first().copied()
    }

    /// A beat of the session: its registry was in contact with a majority so long ago.
    pub fn record_heartbeat(&mut self, now: Millis, contact_age: Millis) {
        let at = now - contact_age;
        self.contact = Some(self.contact.map_or(at, |known| known.max(at)));
    }

    /// When the session's registry was last in contact; none before the first beat.
    pub fn last_contact(&self) -> Option<Millis> {
        self.contact
    }

    /// How long ago the core's majority last stood behind what this proxy was told; none before the first beat.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        self.contact.map(|at| now - at)
    }

    /// Whether what this proxy is told rests on contact that is too old.
    pub fn is_out_of_contact(&self, now: Millis) -> bool {
        self.contact_age(now).is_some_and(|age| age > CONTACT_LEASE)
    }

    /// Registries to look at now in place of the session's; empty while that is in contact, or was looked at just before. Those that
    /// cannot be reached count as failed ([`Self::record_failure`]): the next look goes to others.
    pub fn alternatives(&mut self, now: Millis, current: Host, registries: &[Host]) -> Vec<Host> {
        if !self.is_out_of_contact(now) || self.looked.is_some_and(|at| now - at < PROBE_INTERVAL) {
            return Vec::new();
        }
        self.looked = Some(now);
        self.ranked(now, registries)
            .into_iter()
            .filter(|host| *host != current)
            .take(PROBES_AT_ONCE)
            .collect()
    }
}
