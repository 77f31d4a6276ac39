//! The window counts of tenants at the registry that holds their duty.

use crate::{ISOLATED_SHARE, Millis, Quota};
use fennelscale_messages::Host;
use fennelscale_messages::session::Grant;
use std::collections::BTreeMap;

/// A lease takes at most this share of the units that are left, ...
const MAX_LEASE_SHARE: f64 = 0.5;
/// ... and when less than this share of the window's units is left, at most an equal part of that, but at
/// least one unit.
const LOW_REMAINDER: f64 = 0.2;
/// A tenant is removed after this many windows without a request.
const IDLE_WINDOWS: u64 = 8;
/// Units of the next window may be requested when less than this share of the current one is left.
pub(crate) const AHEAD_SHARE: f64 = 0.4;

/// When all demand exceeds this share of a window's units, each requester gets a part in proportion to its
/// demand ...
const SCARCE_DEMAND: f64 = 0.85;
/// ... until this share of the window is left; from then on the remaining units are open to all.
const OPEN_SHARE: f64 = 0.2;

/// A request for units of a tenant.
#[derive(Clone, Copy, Debug)]
pub struct UnitRequest<'a> {
    /// The tenant.
    pub tenant: &'a str,
    /// The requester.
    pub proxy: Host,
    /// The number of units.
    pub units: f64,
    /// Whether the units are for the next window.
    pub next_window: bool,
    /// Requests a ms that arrive at the requester.
    pub demand: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Requester {
    demand: f64,
    last_request: u64,
    granted: [f64; 2],
}

#[derive(Clone, Debug)]
struct WindowCount {
    quota: Quota,
    /// Start of the first window.
    start: Millis,
    /// The current window, and the units granted of it and of the next.
    window: u64,
    granted: [f64; 2],
    /// Earlier windows grant nothing.
    first_open_window: u64,
    last_request: u64,
    requesters: BTreeMap<Host, Requester>,
}

impl WindowCount {
    /// When a window ends.
    fn window_end(&self, window: u64) -> Millis {
        let length = self.quota.window_length();
        self.start + window as f64 * length + length
    }

    fn advance_window(&mut self, now: Millis) {
        let length = self.quota.window_length();
        let mut window = ((now - self.start) / length).floor().max(0.0) as u64;
        // At the end of a window the quotient may be rounded down: a lease of it would have ended when it is granted.
        if self.window_end(window) <= now {
            window += 1;
        }
        if window == self.window {
            return;
        }
        let shift = |granted: &mut [f64; 2]| {
            *granted = [if window == self.window + 1 { granted[1] } else { 0.0 }, 0.0];
        };
        shift(&mut self.granted);
        self.requesters.values_mut().for_each(|requester| shift(&mut requester.granted));
        self.requesters.retain(|_, requester| window <= requester.last_request + 2);
        self.window = window;
    }
}

/// The counts of all tenants whose duty is held here.
#[derive(Clone, Debug, Default)]
pub struct QuotaCounter {
    tenants: BTreeMap<String, WindowCount>,
}

impl QuotaCounter {
    /// The windows for which a new holder grants nothing: the rest of the current one, and the next, of
    /// which the former holder may have granted units ahead.
    pub const TAKEOVER_WINDOWS: u64 = 2;

    /// Requests units of a tenant. `since` is when the duty was taken over, `isolated_share` the share of
    /// the quota of which isolated proxies spend [`ISOLATED_SHARE`].
    pub fn request_units(
        &mut self, now: Millis, request: UnitRequest<'_>, quota: Quota, since: Millis, isolated_share: f64,
    ) -> Grant {
        let UnitRequest { tenant, proxy, units, next_window: next, demand } = request;
        let count = self.tenants.entry(tenant.to_owned()).or_insert_with(|| {
            let takeover_end = since + Self::TAKEOVER_WINDOWS as f64 * quota.window_length();
            // Windows are aligned so that one begins when the takeover period ends, or now.
            let start = if now < takeover_end {
                takeover_end - Self::TAKEOVER_WINDOWS as f64 * quota.window_length()
            } else {
                now
            };
            let first_open_window = if now < takeover_end { Self::TAKEOVER_WINDOWS } else { 0 };
            WindowCount {
                quota,
                start,
                window: 0,
                granted: [0.0; 2],
                first_open_window,
                last_request: 0,
                requesters: BTreeMap::new(),
            }
        });
        if count.quota != quota {
            // A changed limit starts a new window now; the granted share of the current one carries over.
            let share = count.granted[0] / count.quota.units_per_window();
            *count = WindowCount {
                quota,
                start: now,
                window: 0,
                granted: [share.min(1.0) * quota.units_per_window(), 0.0],
                first_open_window: 0,
                last_request: 0,
                requesters: BTreeMap::new(),
            };
        }
        count.advance_window(now);
        count.last_request = count.window;
        let length = quota.window_length();
        let left = (count.window_end(count.window) - now).max(0.0);
        let next = next && left <= length * AHEAD_SHARE;
        let (window, slot) = (count.window + u64::from(next), usize::from(next));
        let requester = count.requesters.entry(proxy).or_default();
        (requester.demand, requester.last_request) =
            (if demand.is_finite() { demand.max(0.0) } else { 0.0 }, count.window);
        let own = *requester;
        let total_demand: f64 = count.requesters.values().map(|requester| requester.demand).sum();
        let requesters = count.requesters.len().max(1) as f64;
        let scarce = total_demand * length > quota.units_per_window() * SCARCE_DEMAND;
        let closed = window < count.first_open_window;
        let reserved = quota.units_per_window() * ISOLATED_SHARE * isolated_share.min(1.0);
        let free = (quota.units_per_window() - reserved - count.granted[slot]).max(0.0);
        let units = if closed {
            0.0
        } else {
            // At least one unit, while there is one.
            let limit = if scarce && (next || left > length * OPEN_SHARE) {
                // Otherwise the nearest requesters would come first. Each may take its whole part at once.
                let share = (quota.units_per_window() - reserved) * own.demand / total_demand.max(1e-12);
                // Rounded up, so fractions go to whoever comes first; a small quota has few units to lose.
                (share.ceil().max(1.0) - own.granted[slot]).max(0.0)
            } else if free > quota.units_per_window() * LOW_REMAINDER {
                (free * MAX_LEASE_SHARE).max(1.0)
            } else {
                (free * MAX_LEASE_SHARE / requesters).max(1.0)
            };
            units.max(1.0).min(limit).min(free).floor()
        };
        count.granted[slot] += units;
        if let Some(requester) = count.requesters.get_mut(&proxy) {
            requester.granted[slot] += units;
        }
        debug_assert!(
            count.granted[slot] <= quota.units_per_window() + 1e-6,
            "more was granted than there is"
        );
        let (begins, ends) = if next { (left, left + length) } else { (0.0, left) };
        Grant {
            tenant: tenant.to_owned(),
            units,
            window,
            begins_in: begins,
            ends_in: ends,
            next_window: next,
            closed,
        }
    }

    /// Returns unspent units of a window.
    pub fn return_units(&mut self, now: Millis, tenant: &str, units: f64, window: u64) {
        if let Some(count) = self.tenants.get_mut(tenant) {
            count.advance_window(now);
            if count.window == window && units.is_finite() && units > 0.0 {
                count.granted[0] = (count.granted[0] - units).max(0.0);
            }
        }
    }

    /// Removes tenants without recent requests. One that returns starts with a whole window, which does no
    /// harm: its last one was over long before.
    pub fn remove_idle(&mut self, now: Millis) {
        self.tenants.retain(|_, count| {
            count.advance_window(now);
            count.window < count.last_request + IDLE_WINDOWS
        });
    }

    /// Removes tenants whose duty is no longer held here.
    pub fn remove_where(&mut self, predicate: impl Fn(&str) -> bool) {
        self.tenants.retain(|tenant, _| !predicate(tenant));
    }

    /// The number of counted tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }
}
