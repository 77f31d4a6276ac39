//! The window count of tenants, at whoever holds the duty.

use crate::{ISOLATED_SHARE, Millis, Quota};
use fennelscale_messages::Host;
use fennelscale_messages::session::Grant;
use std::collections::BTreeMap;

/// A block takes at most this part of what is left, ...
const NEAR: f64 = 0.5;
/// ... and when less than this part of the window's grant is left, of that no more than an even part, one request at least.
const LATE: f64 = 0.2;
/// A tenant not asked for in so many windows is forgotten.
const IDLE: u64 = 8;
/// A window may be asked for when less than this part of the one before is left.
pub(crate) const AHEAD: f64 = 0.4;

/// When proxies together want more than this part of what a window grants, each has a share by its demand ...
const SCARCE: f64 = 0.85;
/// ... until this part of the window is left; then what nobody took is there for all.
const OPEN: f64 = 0.2;

/// A proxy asks for units of a tenant.
#[derive(Clone, Copy, Debug)]
pub struct UnitRequest<'a> {
    /// Whose.
    pub tenant: &'a str,
    /// Who asks.
    pub proxy: Host,
    /// How many.
    pub units: f64,
    /// For the next window.
    pub next_window: bool,
    /// Requests a ms that come to the proxy.
    pub demand: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Asker {
    demand: f64,
    asked: u64,
    granted: [f64; 2],
}

#[derive(Clone, Debug)]
struct Count {
    terms: Quota,
    /// When windows begin; the first grants nothing.
    start: Millis,
    /// The window at hand and what was granted of it and of the next.
    window: u64,
    granted: [f64; 2],
    /// Windows before this grant nothing.
    opens: u64,
    asked: u64,
    askers: BTreeMap<Host, Asker>,
}

impl Count {
    fn roll(&mut self, now: Millis) {
        let window = ((now - self.start) / self.terms.window_length()).floor().max(0.0) as u64;
        if window == self.window {
            return;
        }
        let on = |granted: &mut [f64; 2]| {
            *granted = [if window == self.window + 1 { granted[1] } else { 0.0 }, 0.0];
        };
        on(&mut self.granted);
        self.askers.values_mut().for_each(|asker| on(&mut asker.granted));
        self.askers.retain(|_, asker| window <= asker.asked + 2);
        self.window = window;
    }
}

/// The counts of all tenants whose duty is held here.
#[derive(Clone, Debug, Default)]
pub struct QuotaCounter {
    tenants: BTreeMap<String, Count>,
}

impl QuotaCounter {
    /// A new holder grants nothing for so many windows: what is left of the one at hand, and the next, of which the holder
    /// before may have granted ahead.
    pub const TAKEOVER_WINDOWS: u64 = 2;

    /// Asks for units of a tenant. `since` is when the duty came here, `parts` the part of the quota of which those on their own spend
    /// [`ISOLATED_SHARE`].
    pub fn request_units(
        &mut self, now: Millis, ask: UnitRequest<'_>, terms: Quota, since: Millis, parts: f64,
    ) -> Grant {
        let UnitRequest { tenant, proxy, units, next_window: next, demand } = ask;
        let count = self.tenants.entry(tenant.to_owned()).or_insert_with(|| {
            let rests = since + Self::TAKEOVER_WINDOWS as f64 * terms.window_length();
            // The windows are laid so that one begins when the rest is over, or now.
            let start =
                if now < rests { rests - Self::TAKEOVER_WINDOWS as f64 * terms.window_length() } else { now };
            let opens = if now < rests { Self::TAKEOVER_WINDOWS } else { 0 };
            Count { terms, start, window: 0, granted: [0.0; 2], opens, asked: 0, askers: BTreeMap::new() }
        });
        if count.terms != terms {
            // Another limit holds from the next window on; what was granted of this one stays granted.
            let share = count.granted[0] / count.terms.units_per_window();
            *count = Count {
                terms,
                start: now,
                window: 0,
                granted: [share.min(1.0) * terms.units_per_window(), 0.0],
                opens: 0,
                asked: 0,
                askers: BTreeMap::new(),
            };
        }
        count.roll(now);
        count.asked = count.window;
        let length = terms.window_length();
        let begun = count.start + count.window as f64 * length;
        let left = (begun + length - now).max(0.0);
        let next = next && left <= length * AHEAD;
        let (window, at) = (count.window + u64::from(next), usize::from(next));
        let asker = count.askers.entry(proxy).or_default();
        (asker.demand, asker.asked) = (if demand.is_finite() { demand.max(0.0) } else { 0.0 }, count.window);
        let own = *asker;
        let wanted: f64 = count.askers.values().map(|asker| asker.demand).sum();
        let askers = count.askers.len().max(1) as f64;
        let scarce = wanted * length > terms.units_per_window() * SCARCE;
        let closed = window < count.opens;
        let kept = terms.units_per_window() * ISOLATED_SHARE * parts.min(1.0);
        let free = (terms.units_per_window() - kept - count.granted[at]).max(0.0);
        let units = if closed {
            0.0
        } else {
            // One request at least, while there is one.
            let most = if scarce && (next || left > length * OPEN) {
                // First come would be nearest come: each has its share, whole and at once.
                let share = (terms.units_per_window() - kept) * own.demand / wanted.max(1e-12);
                // Parts of a unit go to who comes first: a small quota has few to lose.
                (share.ceil().max(1.0) - own.granted[at]).max(0.0)
            } else if free > terms.units_per_window() * LATE {
                (free * NEAR).max(1.0)
            } else {
                (free * NEAR / askers).max(1.0)
            };
            units.max(1.0).min(most).min(free).floor()
        };
        count.granted[at] += units;
        if let Some(asker) = count.askers.get_mut(&proxy) {
            asker.granted[at] += units;
        }
        debug_assert!(count.granted[at] <= terms.units_per_window() + 1e-6, "more was granted than there is");
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

    /// Units of a window come back unspent.
    pub fn return_units(&mut self, now: Millis, tenant: &str, units: f64, window: u64) {
        if let Some(count) = self.tenants.get_mut(tenant) {
            count.roll(now);
            if count.window == window && units.is_finite() && units > 0.0 {
                count.granted[0] = (count.granted[0] - units).max(0.0);
            }
        }
    }

    /// Forgets tenants that nobody asks for. One that is asked for again begins with a whole window at no harm: the last was
    /// over long before.
    pub fn remove_idle(&mut self, now: Millis) {
        self.tenants.retain(|_, count| {
            count.roll(now);
            count.window < count.asked + IDLE
        });
    }

    /// Forgets a tenant whose duty is no longer held here.
    pub fn remove_where(&mut self, gone: impl Fn(&str) -> bool) {
        self.tenants.retain(|tenant, _| !gone(tenant));
    }

    /// How many tenants are counted.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }
}
