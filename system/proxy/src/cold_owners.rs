//! The assignment of cold backends to proxies: one proxy alone sends to a cold backend, even while proxies
//! know different lists of proxies.
//!
//! # Guarantees
//!
//! - Each cold backend has one owner: a proxy of its zone, else of its region, else any proxy, chosen by the
//!   highest hash. Proxies that know the same proxies choose the same owner.
//! - Lists of proxies and lists of backends arrive separately, and registries learn of each other's sessions
//!   one by one: after a restart of the whole core, the first lists of proxies are short. So a proxy that is
//!   missing from a list, or not ready in it, keeps its backends for another [`TAKEOVER_GRACE`]: no
//!   proxy takes over a backend that another may still send to.
//! - A proxy that has just started knows no earlier, longer list: it owns nothing until [`TAKEOVER_GRACE`]
//!   after its first list of proxies.
//!
//! Apart from this, two proxies may both be owners for the time that a list takes to reach the second one;
//! the share of the rate that an owner uses allows for that.

use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, ProxyInfo};
use std::collections::BTreeMap;

/// Time in ms for which a proxy that is no longer listed may still be an owner. Restarted registries know all
/// sessions within two of their heartbeats after proxies have found them, which takes at most the session
/// timeout of 1.5 s and a margin.
pub const TAKEOVER_GRACE: f64 = 3000.0;

#[derive(Clone, Debug)]
struct Candidate {
    proxy: ProxyInfo,
    /// Since when it is not listed, or not ready.
    missing_since: Option<f64>,
}

/// The proxies that may own cold backends.
#[derive(Clone, Debug, Default)]
pub struct ColdOwners {
    candidates: BTreeMap<Host, Candidate>,
    /// When this process received its first list of proxies.
    first_list_at: Option<f64>,
}

impl ColdOwners {
    /// Takes over a list of all proxies received now.
    pub fn set_proxies(&mut self, now: f64, proxies: &[ProxyInfo]) {
        self.first_list_at.get_or_insert(now);
        for candidate in self.candidates.values_mut() {
            candidate.missing_since.get_or_insert(now);
        }
        for proxy in proxies.iter().filter(|proxy| proxy.ready) {
            self.candidates.insert(proxy.host, Candidate { proxy: proxy.clone(), missing_since: None });
        }
        self.candidates
            .retain(|_, candidate| candidate.missing_since.is_none_or(|since| now - since < TAKEOVER_GRACE));
    }

    /// Whether a proxy owns a backend now. `region_of` returns the region of a zone.
    pub fn owns<'a>(
        &self, now: f64, host: Host, backend: &Backend, region_of: impl Fn(&str) -> &'a str,
    ) -> bool {
        let settled = self.first_list_at.is_some_and(|first| now - first >= TAKEOVER_GRACE);
        settled && self.owner(now, backend, region_of(&backend.zone)) == Some(host)
    }

    /// Whether ownership may change with time alone, or has done so within the last `slack` ms.
    pub fn may_change(&self, now: f64, slack: f64) -> bool {
        let recent = |since: f64| now - since < TAKEOVER_GRACE + slack;
        self.first_list_at.is_some_and(recent)
            || self.candidates.values().filter_map(|candidate| candidate.missing_since).any(recent)
    }

    fn owner(&self, now: f64, backend: &Backend, region: &str) -> Option<Host> {
        let is_candidate =
            |candidate: &&Candidate| candidate.missing_since.is_none_or(|since| now - since < TAKEOVER_GRACE);
        let proxies: Vec<&ProxyInfo> =
            self.candidates.values().filter(is_candidate).map(|candidate| &candidate.proxy).collect();
        let in_zone = proxies.iter().filter(|proxy| proxy.zone == backend.zone);
        let in_region = proxies.iter().filter(|proxy| proxy.region == region);
        let weight = |host: &Host| {
            fennelscale_messages::mix(fennelscale_messages::hash(backend.id.as_bytes()) ^ u64::from(host.0))
        };
        let heaviest = |hosts: Vec<Host>| hosts.into_iter().max_by_key(weight);
        heaviest(in_zone.map(|proxy| proxy.host).collect())
            .or_else(|| heaviest(in_region.map(|proxy| proxy.host).collect()))
            .or_else(|| heaviest(proxies.iter().map(|proxy| proxy.host).collect()))
    }
}
