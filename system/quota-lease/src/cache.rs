//! The lease cache of a proxy: leases that end with their window, admission from them, and renewal before
//! they run out.

use crate::counter::AHEAD_SHARE;
use crate::{ISOLATED_SHARE, ISOLATION_TIMEOUT, Lease, Millis, Quota, shard_bit};
use fennelscale_messages::session::{Grant, ProxyToRegistry};
use std::collections::{BTreeMap, VecDeque};

/// Smoothing factor of the demand.
const DEMAND_SMOOTHING: f64 = 0.1;
/// The same for requests in time. It is higher so that no units are kept back for them once an overload
/// ends.
const TIMELY_SMOOTHING: f64 = 0.3;
/// Interval at which the demand is measured.
const DEMAND_INTERVAL: Millis = 100.0;
/// A lease covers the demand of this share of a window.
const LEASE_SHARE: f64 = 0.45;
/// A lease is renewed when less than this share of it is left.
const RENEW_BELOW: f64 = 0.5;
/// Units are requested before they are needed only for at least this many expected requests: the relay is
/// near, and units requested in vain are stranded at this proxy.
const MIN_AHEAD_DEMAND: f64 = 1.5;
/// An isolated proxy spends nothing for this share of a window after its start: its earlier incarnation may
/// just have spent its share, and a start takes a while.
const STARTUP_SHARE: f64 = 0.3;
/// A request without an answer is sent again after this: two round trips between regions and a margin.
const RETRY_AFTER: Millis = 300.0;
/// A request that was answered with a closed window is sent again after this.
const CLOSED_RETRY: Millis = 150.0;
/// How long the answer that nothing is granted yet remains valid; units are requested again more often.
const CLOSED_MEMORY: Millis = 600.0;
/// A tenant is removed after this many windows without a request.
const IDLE_WINDOWS: f64 = 6.0;
/// After the holder answered that a window is spent, it is asked again after this share of a window.
const SPENT_RETRY_SHARE: f64 = 0.12;
/// Units count as scarce for this many windows after the holder answered that a window is spent.
const SCARCE_WINDOWS: f64 = 2.0;
/// The most requests of a tenant that wait for a lease.
const MAX_QUEUED: usize = 256;

/// Identifies a request that waits for a lease.
pub type RequestId = u64;

/// A request that needs one unit.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest {
    /// Its id.
    pub id: RequestId,
    /// The latest time until which it waits for a lease.
    pub deadline: Millis,
    /// A response would come too late for its full value: its client was rejected before and has waited.
    pub is_late: bool,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It has its unit.
    Admitted,
    /// The lease and the count are spent; retry after this long.
    Rejected(Millis),
    /// It waits for a lease; [`LeaseCache::on_grant`] or [`LeaseCache::tick`] decides later.
    Queued,
}

#[derive(Clone, Debug)]
struct Tenant {
    quota: Quota,
    lease: Lease,
    next_lease: Option<Lease>,
    /// Smoothed requests a ms, and the requests since the last measurement.
    demand: f64,
    arrivals: f64,
    /// The same for requests that are not late.
    timely_demand: f64,
    timely_arrivals: f64,
    /// Units are scarce until then.
    scarce_until: Millis,
    measured_at: Millis,
    last_request: Millis,
    /// When the pending request for this and for the next window was sent.
    requested_at: [Option<Millis>; 2],
    /// When the last answer came, and since when requests have gone unanswered.
    last_answer: Millis,
    unanswered_since: Option<Millis>,
    /// The current window is spent until then.
    spent_until: Millis,
    next_spent_until: Millis,
    queue: VecDeque<(RequestId, Millis)>,
    /// What is left of the isolated share, and until when it is valid.
    isolated_units: f64,
    isolated_units_end: Millis,
    /// No isolated share is spent before.
    isolated_spending_from: Millis,
    /// When the last answer that nothing is granted yet came.
    closed_at: Millis,
}

/// The lease cache.
#[derive(Clone, Debug)]
pub struct LeaseCache {
    tenants: BTreeMap<String, Tenant>,
    proxy_count: f64,
    /// Start of this incarnation. What the earlier one spent is unknown, so an isolated proxy spends
    /// nothing at first.
    started_at: Millis,
    /// Differs between proxies, so that their shares of a small quota add up to whole units at different
    /// times.
    seed: u64,
}

impl LeaseCache {
    /// An empty cache; [`Self::set_proxy_count`] sets the number of proxies.
    pub fn new(now: Millis, seed: u64) -> Self {
        // An equal share is zero while the number of proxies is unknown.
        Self { tenants: BTreeMap::new(), proxy_count: f64::INFINITY, started_at: now, seed }
    }

    /// Sets the number of proxies.
    pub fn set_proxy_count(&mut self, proxy_count: f64) {
        self.proxy_count = proxy_count.max(1.0);
    }

    /// The number of known tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Decides on a request of a tenant. While units are scarce, late requests get only the units that
    /// others leave: a unit is worth less to them, and each one that they take makes another request late.
    pub fn admit(
        &mut self, now: Millis, name: &str, quota: Quota, request: QuotaRequest,
        out: &mut Vec<ProxyToRegistry>,
    ) -> Admission {
        if quota.rate <= 0.0 {
            return Admission::Admitted;
        }
        let proxy_count = self.proxy_count;
        if !self.tenants.contains_key(name) {
            let part = fennelscale_messages::mix(self.seed ^ fennelscale_messages::hash(name.as_bytes()));
            let part = (part >> 11) as f64 / (1_u64 << 53) as f64;
            self.tenants.insert(name.to_owned(), Tenant::new(now, quota, self.started_at, part));
        }
        let Some(tenant) = self.tenants.get_mut(name) else { return Admission::Admitted };
        tenant.quota = quota;
        tenant.advance_window(now);
        // Measured before this request counts: right after an arrival the next one is no nearer than at any
        // other time.
        tenant.measure_demand(now);
        tenant.arrivals += 1.0;
        tenant.timely_arrivals += f64::from(u8::from(!request.is_late));
        tenant.last_request = now;
        let yields = request.is_late && tenant.late_must_yield(now);
        let admission = if tenant.lease.units >= 1.0 && !yields {
            tenant.lease.units -= 1.0;
            Admission::Admitted
        } else if tenant.is_isolated(now) {
            tenant.spend_isolated_share(now, proxy_count)
        } else if yields || now < tenant.spent_until || tenant.queue.len() >= MAX_QUEUED {
            // Waits for the rest of the window or until the holder is asked again, and clients should not
            // all return at once.
            let wait = (tenant.lease.ends - now).max(tenant.spent_until - now).clamp(20.0, 2000.0);
            Admission::Rejected(wait)
        } else {
            tenant.queue.push_back((request.id, request.deadline));
            Admission::Queued
        };
        tenant.renew(now, name, proxy_count, out);
        admission
    }

    /// Handles an answer of the holder. `decided` receives waiting requests that are now admitted or
    /// rejected.
    pub fn on_grant(
        &mut self, now: Millis, grant: Grant, out: &mut Vec<ProxyToRegistry>,
        decided: &mut Vec<(RequestId, Admission)>,
    ) {
        let proxy_count = self.proxy_count;
        let name = grant.tenant;
        let Some(tenant) = self.tenants.get_mut(&name) else {
            if grant.units >= 1.0 {
                out.push(ProxyToRegistry::ReturnUnits {
                    tenant: name,
                    units: grant.units,
                    window: grant.window,
                });
            }
            return;
        };
        tenant.advance_window(now);
        (tenant.last_answer, tenant.unanswered_since, tenant.closed_at) = (now, None, f64::MIN);
        tenant.requested_at[usize::from(grant.next_window)] = None;
        if grant.begins_in <= 0.0
            && tenant.next_lease.as_ref().is_some_and(|next| next.window != grant.window + 1)
        {
            tenant.requested_at[1] = None;
        }
        let (begins, ends) = (now + grant.begins_in, now + grant.ends_in);
        if grant.closed {
            // A new holder grants nothing for some windows. This is treated like a silence of known length.
            tenant.unanswered_since = Some(now - ISOLATION_TIMEOUT);
            tenant.spent_until = 0.0;
            tenant.closed_at = now;
            // The next answer would come at once and be the same for a while.
            tenant.requested_at[usize::from(grant.next_window)] = Some(now - RETRY_AFTER + CLOSED_RETRY);
        } else if grant.begins_in > 0.0 {
            let next = tenant.next_lease.get_or_insert_default();
            if next.window != grant.window {
                *next = Lease { units: 0.0, window: grant.window, begins, ends };
            }
            next.units += grant.units;
            if grant.units < 1.0 {
                tenant.next_spent_until = begins;
            }
        } else {
            if tenant.lease.window != grant.window || now >= tenant.lease.ends {
                tenant.lease = Lease { units: 0.0, window: grant.window, begins: now, ends };
                // Units spent while isolated in this window count towards it; the isolated share ends here.
                (tenant.isolated_units, tenant.isolated_units_end) = (tenant.isolated_units.fract(), ends);
            }
            tenant.lease.units += grant.units;
            if grant.units < 1.0 {
                tenant.spent_until = (now + tenant.quota.window_length() * SPENT_RETRY_SHARE).min(ends);
                tenant.scarce_until = now + tenant.quota.window_length() * SCARCE_WINDOWS;
            }
        }
        tenant.serve_queue(now, decided);
        tenant.renew(now, &name, proxy_count, out);
    }

    /// Advances time: windows end, leases are requested, and requests that waited long enough are decided.
    /// Call every 20 ms or so while a request waits, otherwise every 50 ms.
    pub fn tick(
        &mut self, now: Millis, out: &mut Vec<ProxyToRegistry>, decided: &mut Vec<(RequestId, Admission)>,
    ) {
        let proxy_count = self.proxy_count;
        for (name, tenant) in &mut self.tenants {
            tenant.advance_window(now);
            tenant.measure_demand(now);
            tenant.serve_queue(now, decided);
            while let Some(&(request, deadline)) = tenant.queue.front()
                && (now >= deadline || tenant.is_isolated(now))
            {
                tenant.queue.pop_front();
                // The wait is over: this request is decided as if the proxy were isolated.
                decided.push((request, tenant.spend_isolated_share(now, proxy_count)));
            }
            tenant.renew(now, name, proxy_count, out);
        }
        self.tenants.retain(|_, tenant| {
            let idle = now - tenant.last_request > tenant.quota.window_length() * IDLE_WINDOWS;
            !(idle && tenant.queue.is_empty())
        });
    }

    /// The shards of tenants whose requests are admitted from the isolated share after an answer that
    /// nothing is granted yet. A tenant that waits for an answer is not included: its units may be in
    /// flight.
    pub fn self_granted_shards(&self, now: Millis) -> u64 {
        let recently_closed = |tenant: &Tenant| {
            now - tenant.closed_at < CLOSED_MEMORY && now - tenant.last_request < tenant.quota.window_length()
        };
        let isolated = self.tenants.iter().filter(|(_, tenant)| recently_closed(tenant));
        isolated.fold(0, |keys, (name, _)| keys | shard_bit(name))
    }

    /// Removes a tenant that was deleted or has no limit any more.
    pub fn remove_tenant(&mut self, name: &str, decided: &mut Vec<(RequestId, Admission)>) {
        if let Some(tenant) = self.tenants.remove(name) {
            decided
                .extend(tenant.queue.into_iter().map(|(request, _)| (request, Admission::Rejected(200.0))));
        }
    }

    /// Returns the unspent units when the proxy shuts down.
    pub fn return_units(&mut self, now: Millis, out: &mut Vec<ProxyToRegistry>) {
        for (name, tenant) in &mut self.tenants {
            tenant.advance_window(now);
            let units = std::mem::take(&mut tenant.lease.units);
            if units >= 1.0 {
                out.push(ProxyToRegistry::ReturnUnits {
                    tenant: name.clone(),
                    units,
                    window: tenant.lease.window,
                });
            }
        }
    }
}

impl Tenant {
    fn new(now: Millis, quota: Quota, started_at: Millis, part: f64) -> Self {
        let isolated_spending_from = started_at + STARTUP_SHARE * quota.window_length();
        Self {
            isolated_spending_from,
            quota,
            lease: Lease::default(),
            next_lease: None,
            demand: 0.0,
            arrivals: 0.0,
            timely_demand: 0.0,
            timely_arrivals: 0.0,
            scarce_until: 0.0,
            measured_at: now,
            last_request: now,
            requested_at: [None; 2],
            last_answer: now,
            unanswered_since: None,
            spent_until: 0.0,
            next_spent_until: 0.0,
            queue: VecDeque::new(),
            // Below one, so that over many proxies the shares add up to whole units evenly from the first
            // window on.
            isolated_units: part,
            isolated_units_end: 0.0,
            closed_at: f64::MIN,
        }
    }

    /// Moves on to the current window.
    fn advance_window(&mut self, now: Millis) {
        if let Some(next) = self.next_lease.take_if(|next| now >= next.begins) {
            if now < next.ends {
                self.lease = next;
                (self.isolated_units, self.isolated_units_end) =
                    (self.isolated_units.fract(), self.lease.ends);
                self.spent_until = 0.0;
            }
            self.requested_at[0] = None;
        }
        if now >= self.lease.ends {
            self.lease.units = 0.0;
        }
    }

    fn measure_demand(&mut self, now: Millis) {
        let span = now - self.measured_at;
        if span >= DEMAND_INTERVAL {
            // If several intervals have passed, the new value has correspondingly more weight.
            let weight = |newest: f64| 1.0 - (1.0 - newest).powf((span / DEMAND_INTERVAL).min(20.0));
            self.demand += weight(DEMAND_SMOOTHING) * (self.arrivals / span - self.demand);
            self.timely_demand +=
                weight(TIMELY_SMOOTHING) * (self.timely_arrivals / span - self.timely_demand);
            (self.arrivals, self.timely_arrivals, self.measured_at) = (0.0, 0.0, now);
        }
    }

    /// Whether a late request gets nothing now, as requests in time will probably need the remaining units.
    fn late_must_yield(&self, now: Millis) -> bool {
        let left = (self.lease.ends - now).max(0.0);
        now < self.scarce_until
            && !self.is_isolated(now)
            && self.lease.units - self.timely_demand * left < 1.0
    }

    fn is_isolated(&self, now: Millis) -> bool {
        self.unanswered_since.is_some_and(|since| now - since >= ISOLATION_TIMEOUT)
    }

    /// Spends a unit of the isolated share; a window that had a lease has no such share.
    fn spend_isolated_share(&mut self, now: Millis, proxy_count: f64) -> Admission {
        if now >= self.isolated_units_end && now >= self.isolated_spending_from {
            let window = self.quota.window_length();
            self.isolated_units =
                self.isolated_units.fract() + self.quota.units_per_window() * ISOLATED_SHARE / proxy_count;
            self.isolated_units_end = now + window;
        }
        if self.isolated_units >= 1.0 {
            self.isolated_units -= 1.0;
            Admission::Admitted
        } else {
            Admission::Rejected(
                (self.isolated_units_end.max(self.isolated_spending_from) - now).clamp(20.0, 2000.0),
            )
        }
    }

    fn serve_queue(&mut self, now: Millis, decided: &mut Vec<(RequestId, Admission)>) {
        while self.lease.units >= 1.0
            && let Some((request, _)) = self.queue.pop_front()
        {
            self.lease.units -= 1.0;
            decided.push((request, Admission::Admitted));
        }
        if now < self.spent_until && !self.is_isolated(now) {
            let wait = (self.lease.ends - now).clamp(20.0, 2000.0);
            decided.extend(self.queue.drain(..).map(|(request, _)| (request, Admission::Rejected(wait))));
        }
    }

    /// Requests more units before the lease runs out, and units of the next window before this one ends.
    fn renew(&mut self, now: Millis, name: &str, proxy_count: f64, out: &mut Vec<ProxyToRegistry>) {
        let window = self.quota.window_length();
        let first = self.last_answer <= 0.0 || self.lease.ends <= 0.0;
        let wanted = |span: Millis| self.demand * span;
        let target = wanted(window * LEASE_SHARE).min(self.quota.units_per_window());
        let left = (self.lease.ends - now).max(0.0);
        // No more than the expected requests until the window ends; without a current window, for the whole
        // target.
        let span = if left > 0.0 { wanted(left) + 1.0 } else { f64::INFINITY };
        let now_target = if first { self.quota.units_per_window() / proxy_count } else { target.min(span) };
        let queued = self.queue.len() as f64;
        let dry = self.lease.units < now_target * RENEW_BELOW || queued > 0.0;
        let used = now - self.last_request < window;
        let now_target = if now_target < MIN_AHEAD_DEMAND { 0.0 } else { now_target };
        // An isolated proxy has no waiting requests. It still asks, or it would never learn that it is
        // connected again.
        let wants = now_target > 0.0 || queued > 0.0 || self.unanswered_since.is_some();
        if dry && used && now >= self.spent_until && wants {
            // No more than is likely to be used: units requested in vain are stranded at this proxy.
            let units = ((now_target - self.lease.units).max(0.0).round() + queued).max(1.0);
            self.send_request(now, name, units, false, out);
        }
        let due = self.lease.ends > now && left < window * AHEAD_SHARE * 0.9;
        let have = self.next_lease.as_ref().map_or(0.0, |next| next.units);
        if due
            && used
            && have < target * RENEW_BELOW
            && target >= MIN_AHEAD_DEMAND
            && now >= self.next_spent_until
        {
            self.send_request(now, name, (target - have).max(1.0).ceil(), true, out);
        }
    }

    fn send_request(
        &mut self, now: Millis, name: &str, units: f64, next: bool, out: &mut Vec<ProxyToRegistry>,
    ) {
        let requested_at = &mut self.requested_at[usize::from(next)];
        if requested_at.is_some_and(|at| now - at < RETRY_AFTER) {
            return;
        }
        *requested_at = Some(now);
        self.unanswered_since = self.unanswered_since.or(Some(now));
        out.push(ProxyToRegistry::RequestUnits {
            tenant: name.to_owned(),
            units,
            next_window: next,
            demand: self.demand,
        });
    }
}
