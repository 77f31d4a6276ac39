//! Relays between the proxies of a region and the holder of a tenant's count. Units are leased for the
//! region and passed on in parts, so that no request waits for a round trip between regions, and a small
//! quota is not stranded at proxies that rarely see a request.
//!
//! A relay passes on no more than it was granted, for the same windows. The holder's limit therefore holds
//! for any set of relays, also when two act for one region.

use crate::counter::AHEAD_SHARE;
use crate::{Lease, Millis, Quota};
use fennelscale_messages::Host;
use fennelscale_messages::session::Grant;
use std::collections::{BTreeMap, VecDeque};

/// A lease covers the demand of this share of a window, as far as the window lasts.
const LEASE_SHARE: f64 = 0.5;
/// A lease is renewed when less than this share of that is left.
const RENEW_BELOW: f64 = 0.6;
/// A request without an answer is sent again after this.
const RETRY_AFTER: Millis = 300.0;
/// A request that waits longer gets no answer: the proxy has decided without it.
const MAX_WAIT: Millis = 450.0;
/// After the holder answered that a window is spent, it is asked again after this share of a window.
const SPENT_RETRY_SHARE: f64 = 0.1;
/// ... but after this at least.
const MIN_SPENT_RETRY: Millis = 1.0;
/// After the holder answered that it grants nothing yet, it is asked again after this.
const CLOSED_RETRY: Millis = 150.0;
/// How long the demand that a proxy reported counts.
const DEMAND_LIFETIME: Millis = 1500.0;
/// A proxy gets at most this multiple of its share of the available units, but at least one unit.
const MAX_SHARE_FACTOR: f64 = 1.5;
/// A tenant is removed after this many windows without a request.
const IDLE_WINDOWS: f64 = 6.0;
/// The most requests of a tenant that request.
const MAX_WAITING: usize = 4096;

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayOutput {
    /// To a proxy.
    ToProxy(Host, Grant),
    /// To the holder: tenant, units, whether for the next window, demand a ms.
    ToHolder(String, f64, bool, f64),
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    from: Host,
    units: f64,
    next: bool,
    since: Millis,
}

#[derive(Clone, Debug)]
struct Tenant {
    quota: Quota,
    lease: Lease,
    next_lease: Option<Lease>,
    demands: BTreeMap<Host, (f64, Millis)>,
    waiting: VecDeque<WaitingRequest>,
    requested_at: [Option<Millis>; 2],
    spent_until: [Millis; 2],
    closed_until: Millis,
    last_request: Millis,
}

/// The relay of one registry.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    tenants: BTreeMap<String, Tenant>,
}

impl Relay {
    /// Handles a proxy's request for units.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub fn request_units(
        &mut self, now: Millis, from: Host, tenant: &str, units: f64, next: bool, demand: f64, quota: Quota,
        out: &mut Vec<RelayOutput>,
    ) {
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.to_owned(), Tenant::new(now, quota));
        }
        let Some(known) = self.tenants.get_mut(tenant) else { return };
        (known.quota, known.last_request) = (quota, now);
        known.demands.insert(from, (if demand.is_finite() { demand.max(0.0) } else { 0.0 }, now));
        if known.waiting.len() < MAX_WAITING {
            known.waiting.push_back(WaitingRequest { from, units: units.max(1.0), next, since: now });
        }
        known.step(now, tenant, out);
    }

    /// Handles an answer of the holder.
    pub fn on_grant(&mut self, now: Millis, grant: Grant, out: &mut Vec<RelayOutput>) {
        let Some(known) = self.tenants.get_mut(&grant.tenant) else { return };
        known.advance_window(now);
        known.requested_at[usize::from(grant.next_window)] = None;
        if grant.closed {
            known.closed_until = now + CLOSED_RETRY;
        } else if grant.begins_in > 0.0 {
            let (begins, ends) = (now + grant.begins_in, now + grant.ends_in);
            let next = known.next_lease.get_or_insert_default();
            if next.window != grant.window || next.ends == 0.0 {
                *next = Lease { units: 0.0, window: grant.window, begins, ends };
            }
            next.units += grant.units;
            if grant.units < 1.0 {
                known.spent_until[1] = begins;
            }
        } else {
            let ends = now + grant.ends_in;
            if known.lease.window != grant.window || now >= known.lease.ends {
                known.lease = Lease { units: 0.0, window: grant.window, begins: now, ends };
            }
            known.lease.units += grant.units;
            if grant.units < 1.0 {
                // Never at once, however soon the window ends: the holder may be in this process and answer at once, too.
                let retry_at = (now + known.quota.window_length() * SPENT_RETRY_SHARE).min(ends);
                known.spent_until[0] = retry_at.max(now + MIN_SPENT_RETRY);
            }
        }
        known.step(now, &grant.tenant, out);
    }

    /// Advances time; call every 50 ms or so.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<RelayOutput>) {
        for (name, tenant) in &mut self.tenants {
            tenant.step(now, name, out);
        }
        self.tenants
            .retain(|_, tenant| now - tenant.last_request < tenant.quota.window_length() * IDLE_WINDOWS);
    }

    /// The number of known tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }
}

impl Tenant {
    fn new(now: Millis, quota: Quota) -> Self {
        Self {
            quota,
            lease: Lease::default(),
            next_lease: None,
            demands: BTreeMap::new(),
            waiting: VecDeque::new(),
            requested_at: [None; 2],
            spent_until: [0.0; 2],
            closed_until: 0.0,
            last_request: now,
        }
    }

    fn advance_window(&mut self, now: Millis) {
        if let Some(next) = self.next_lease.take_if(|next| now >= next.begins) {
            if now < next.ends {
                self.lease = next;
                self.spent_until = [0.0; 2];
            }
            self.requested_at = [None; 2];
        }
        if now >= self.lease.ends {
            self.lease.units = 0.0;
        }
        self.demands.retain(|_, (_, at)| now - *at < DEMAND_LIFETIME);
    }

    fn demand(&self) -> f64 {
        self.demands.values().map(|(demand, _)| demand).sum()
    }

    /// Answers the waiting requests that can be answered, and requests more units.
    fn step(&mut self, now: Millis, name: &str, out: &mut Vec<RelayOutput>) {
        self.advance_window(now);
        let total_demand = self.demand();
        for request in std::mem::take(&mut self.waiting) {
            if now - request.since > MAX_WAIT {
                continue;
            }
            match self.serve(now, name, &request, total_demand) {
                Some(grant) => out.push(RelayOutput::ToProxy(request.from, grant)),
                None => self.waiting.push_back(request),
            }
        }
        self.renew(now, name, total_demand, out);
    }

    fn serve(
        &mut self, now: Millis, name: &str, request: &WaitingRequest, total_demand: f64,
    ) -> Option<Grant> {
        let own_demand = self.demands.get(&request.from).map_or(0.0, |(demand, _)| *demand);
        let answer = |units, lease: &Lease, closed| Grant {
            tenant: name.to_owned(),
            units,
            window: lease.window,
            begins_in: (lease.begins - now).max(0.0),
            ends_in: (lease.ends - now).max(0.0),
            next_window: request.next,
            closed,
        };
        if now < self.closed_until {
            let window = Lease { ends: now + self.quota.window_length(), ..Lease::default() };
            return Some(answer(0.0, &window, true));
        }
        let is_spent = now < self.spent_until[usize::from(request.next)];
        let lease = if request.next { self.next_lease.as_mut() } else { Some(&mut self.lease) };
        match lease.filter(|lease| now < lease.ends) {
            Some(lease) if lease.units >= 1.0 => {
                let share = (lease.units * MAX_SHARE_FACTOR * own_demand / total_demand.max(1e-12)).max(1.0);
                let units = request.units.min(share).min(lease.units).floor();
                lease.units -= units;
                Some(answer(units, lease, false))
            }
            Some(lease) if is_spent => Some(answer(0.0, lease, false)),
            _ => None,
        }
    }

    fn renew(&mut self, now: Millis, name: &str, total_demand: f64, out: &mut Vec<RelayOutput>) {
        let window = self.quota.window_length();
        let left = (self.lease.ends - now).max(0.0);
        let owed = |next| self.waiting.iter().filter(|w| w.next == next).map(|w| w.units).sum::<f64>();
        let (owed_now, owed_next) = (owed(false), owed(true));
        let span = if self.lease.ends > now { left.min(window * LEASE_SHARE) } else { window * LEASE_SHARE };
        let target = (total_demand * span).min(self.quota.units_per_window());
        let wants = owed_now + (target - self.lease.units).max(0.0);
        if (owed_now > 0.0 || self.lease.units < target * RENEW_BELOW)
            && now >= self.spent_until[0]
            && wants >= 0.5
        {
            self.request_from_holder(now, name, wants, false, total_demand, out);
        }
        // A little before the proxies request units of that window.
        if left > 0.0 && left < window * AHEAD_SHARE && now >= self.spent_until[1] {
            let have = self.next_lease.as_ref().map_or(0.0, |next| next.units);
            let target = (total_demand * window * LEASE_SHARE).min(self.quota.units_per_window());
            let wants = owed_next + (target - have).max(0.0);
            if (owed_next > 0.0 || have < target * RENEW_BELOW) && wants >= 0.3 {
                self.request_from_holder(now, name, wants, true, total_demand, out);
            }
        }
    }

    fn request_from_holder(
        &mut self, now: Millis, name: &str, units: f64, next: bool, demand: f64, out: &mut Vec<RelayOutput>,
    ) {
        let requested_at = &mut self.requested_at[usize::from(next)];
        if requested_at.is_some_and(|at| now - at < RETRY_AFTER) || now < self.closed_until {
            return;
        }
        *requested_at = Some(now);
        out.push(RelayOutput::ToHolder(name.to_owned(), units.max(1.0).ceil(), next, demand));
    }
}
