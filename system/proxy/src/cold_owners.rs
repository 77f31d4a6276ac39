//! Which proxy sends to a cold backend: one alone, also while proxies know different lists of each other.
//!
//! # What holds
//!
//! - Each cold backend has one owner: a proxy of its zone, else of its region, else any, by the highest draw. Proxies that know the
//!   same members name the same one.
//! - A list of members is told apart from the list of backends, and the registries learn of each other's sessions one by one: after
//!   the whole core has started again the first lists are short. So a proxy that is missing from a list, or not ready by it, is the
//!   owner of its backends for another [`TAKEOVER_GRACE`]: nobody takes over what another may still send to.
//! - A proxy that has just started has no longer list to go by: it owns nothing until [`TAKEOVER_GRACE`] after its first list of members.
//!
//! Beside it two proxies may be owners for the time that a list takes to reach the second one; the rate that an owner uses bears
//! that.

use fennelscale_messages::Host;
use fennelscale_messages::session::{Backend, ProxyInfo};
use std::collections::BTreeMap;

/// For so long a proxy that is no longer named may still be an owner, in ms: registries that start again hear of all sessions within
/// two beats of theirs, after proxies found them: silence of 1.5 s at the longest, and a moment.
pub const TAKEOVER_GRACE: f64 = 3000.0;

#[derive(Clone, Debug)]
struct Candidate {
    member: ProxyInfo,
    /// Since when it is not named, or not ready.
    missing: Option<f64>,
}

/// The proxies that may own cold backends.
#[derive(Clone, Debug, Default)]
pub struct ColdOwners {
    candidates: BTreeMap<Host, Candidate>,
    /// When this life was told members first.
    told_first: Option<f64>,
}

impl ColdOwners {
    /// All members, as they are told at this moment.
    pub fn set_members(&mut self, now: f64, members: &[ProxyInfo]) {
        self.told_first.get_or_insert(now);
        for candidate in self.candidates.values_mut() {
            candidate.missing.get_or_insert(now);
        }
        for member in members.iter().filter(|member| member.ready) {
            self.candidates.insert(member.host, Candidate { member: member.clone(), missing: None });
        }
        self.candidates
            .retain(|_, candidate| candidate.missing.is_none_or(|since| now - since < TAKEOVER_GRACE));
    }

    /// Whether a proxy owns a backend now. `region_of` is the region of a zone.
    pub fn owns<'a>(
        &self, now: f64, proxy: Host, backend: &Backend, region_of: impl Fn(&str) -> &'a str,
    ) -> bool {
        let settled = self.told_first.is_some_and(|first| now - first >= TAKEOVER_GRACE);
        settled && self.owner(now, backend, region_of(&backend.zone)) == Some(proxy)
    }

    /// Whether time alone may make another proxy an owner, or has done so within `slack` ms.
    pub fn may_change(&self, now: f64, slack: f64) -> bool {
        let recent = |since: f64| now - since < TAKEOVER_GRACE + slack;
        self.told_first.is_some_and(recent)
            || self.candidates.values().filter_map(|candidate| candidate.missing).any(recent)
    }

    fn owner(&self, now: f64, backend: &Backend, region: &str) -> Option<Host> {
        let may_own =
            |candidate: &&Candidate| candidate.missing.is_none_or(|since| now - since < TAKEOVER_GRACE);
        let members: Vec<&ProxyInfo> =
            self.candidates.values().filter(may_own).map(|candidate| &candidate.member).collect();
        let in_zone = members.iter().filter(|member| member.zone == backend.zone);
        let in_region = members.iter().filter(|member| member.region == region);
        let draw = |host: &Host| {
            fennelscale_messages::mix(fennelscale_messages::hash(backend.id.as_bytes()) ^ u64::from(host.0))
        };
        let of = |hosts: Vec<Host>| hosts.into_iter().max_by_key(draw);
        of(in_zone.map(|member| member.host).collect())
            .or_else(|| of(in_region.map(|member| member.host).collect()))
            .or_else(|| of(members.iter().map(|member| member.host).collect()))
    }
}
