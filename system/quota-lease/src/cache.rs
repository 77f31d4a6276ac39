//! The lease cache of a proxy: blocks that end with their window, admission out of them, renewal before they run dry.

use crate::counts::AHEAD;
use crate::{Block, ISOLATED_SHARE, ISOLATION_TIMEOUT, Millis, Quota, shard_bit};
use fennelscale_messages::session::{Grant, ProxyToRegistry};
use std::collections::{BTreeMap, VecDeque};

/// The weight of the newest demand.
const ALPHA: f64 = 0.1;
/// The same for those that come in time: once a flood ends, units must not be kept for it.
const ALPHA_TIMELY: f64 = 0.3;
/// Demand is looked at this often.
const LOOK: Millis = 100.0;
/// A block holds the demand of this part of a window.
const BLOCK: f64 = 0.45;
/// A block is renewed when less than this part of it is left.
const RENEW: f64 = 0.5;
/// A block is asked for ahead only if so many requests are likely to want it: the relay is near, and what is asked for in vain
/// is stranded here.
const AHEAD_LEAST: f64 = 1.5;
/// A proxy spends nothing alone for this part of a window after its start: the life before it may just have spent its part, and
/// it takes a while to start.
const ALONE_AFTER: f64 = 0.3;
/// An ask without answer is sent again after this: two ways between regions, and some.
const AGAIN: Millis = 300.0;
/// An ask that was answered with nothing at all is sent again after this.
const CLOSED: Millis = 150.0;
/// That nobody grants counts for so long: it is asked for more often.
const TOLD: Millis = 600.0;
/// A tenant is forgotten after so many windows without a request.
const IDLE: f64 = 6.0;
/// After the count said that all is spent it is asked again after this part of a window.
const SPENT: f64 = 0.12;
/// Units are scarce for so many windows after the count said that all is spent.
const SCARCE: f64 = 2.0;
/// The most requests of a tenant that wait for a block.
const WAITING: usize = 256;

/// A request that waits for a block.
pub type RequestId = u64;

/// A request that wants its unit.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest {
    /// Which.
    pub id: RequestId,
    /// It waits for a block until then at most.
    pub deadline: Millis,
    /// An answer would come too late for its full worth: its client has been refused before and has waited.
    pub is_late: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It has its unit.
    Admitted,
    /// Block and count are spent; come back after so long.
    Rejected(Millis),
    /// It waits for a block; it is told by [`LeaseCache::on_grant`] or [`LeaseCache::tick`].
    Queued,
}

#[derive(Clone, Debug)]
struct Tenant {
    terms: Quota,
    block: Block,
    next: Option<Block>,
    /// Smoothed requests a ms, and those since the last look.
    demand: f64,
    came: f64,
    /// The same of those that are not late.
    timely: f64,
    timely_came: f64,
    /// Units are scarce until then.
    scarce: Millis,
    looked: Millis,
    last: Millis,
    /// The ask that is out, since when, and for which window.
    asked: [Option<Millis>; 2],
    /// When the count was last heard, and since when it was asked in vain.
    heard: Millis,
    unheard: Option<Millis>,
    /// All of the window at hand is spent until then.
    spent: Millis,
    next_spent: Millis,
    waiting: VecDeque<(RequestId, Millis)>,
    /// The slice at hand: what is left of it, and until when.
    slice: f64,
    slice_ends: Millis,
    /// No slice is spent before.
    alone_from: Millis,
    /// When this proxy was last told that nobody grants.
    closed: Millis,
}

/// The lease cache.
#[derive(Clone, Debug)]
pub struct LeaseCache {
    tenants: BTreeMap<String, Tenant>,
    gateways: f64,
    /// When this life began. What the one before it spent is not known: nothing is spent alone at first.
    born: Millis,
    /// Tells proxies apart: their slices of a small quota come to whole units at different times.
    seed: u64,
}

impl LeaseCache {
    /// An empty cache; how many proxies there are is told by [`Self::set_proxy_count`].
    pub fn new(now: Millis, seed: u64) -> Self {
        // As long as nobody says how many there are, an even part is nothing.
        Self { tenants: BTreeMap::new(), gateways: f64::INFINITY, born: now, seed }
    }

    /// There are so many proxies.
    pub fn set_proxy_count(&mut self, gateways: f64) {
        self.gateways = gateways.max(1.0);
    }

    /// How many tenants are known.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// A request of a tenant wants its unit. While units are scarce those that are late have what the others leave: a unit of
    /// theirs is worth less, and each that they take makes another request late.
    pub fn admit(
        &mut self, now: Millis, name: &str, terms: Quota, comer: QuotaRequest, out: &mut Vec<ProxyToRegistry>,
    ) -> Admission {
        if terms.rate <= 0.0 {
            return Admission::Admitted;
        }
        let gateways = self.gateways;
        if !self.tenants.contains_key(name) {
            let part = fennelscale_messages::mix(self.seed ^ fennelscale_messages::hash(name.as_bytes()));
            let part = (part >> 11) as f64 / (1_u64 << 53) as f64;
            self.tenants.insert(name.to_owned(), Tenant::new(now, terms, self.born, part));
        }
        let Some(tenant) = self.tenants.get_mut(name) else { return Admission::Admitted };
        tenant.terms = terms;
        tenant.roll(now);
        // Before this request counts: seen from the moment of one, the next is no nearer than from any other.
        tenant.look(now);
        tenant.came += 1.0;
        tenant.timely_came += f64::from(u8::from(!comer.is_late));
        tenant.last = now;
        let yields = comer.is_late && tenant.late_yields(now);
        let admission = if tenant.block.units >= 1.0 && !yields {
            tenant.block.units -= 1.0;
            Admission::Admitted
        } else if tenant.silent(now) {
            tenant.spend_slice(now, gateways)
        } else if yields || now < tenant.spent || tenant.waiting.len() >= WAITING {
            // The rest of the window, or until it is asked again, and a little apart from others.
            let wait = (tenant.block.ends - now).max(tenant.spent - now).clamp(20.0, 2000.0);
            Admission::Rejected(wait)
        } else {
            tenant.waiting.push_back((comer.id, comer.deadline));
            Admission::Queued
        };
        tenant.renew(now, name, gateways, out);
        admission
    }

    /// An answer of the count. Requests that waited and have their unit or are refused now are told.
    pub fn on_grant(
        &mut self, now: Millis, grant: Grant, out: &mut Vec<ProxyToRegistry>,
        told: &mut Vec<(RequestId, Admission)>,
    ) {
        let gateways = self.gateways;
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
        tenant.roll(now);
        (tenant.heard, tenant.unheard, tenant.closed) = (now, None, f64::MIN);
        tenant.asked[usize::from(grant.next_window)] = None;
        if grant.begins_in <= 0.0 && tenant.next.as_ref().is_some_and(|next| next.window != grant.window + 1)
        {
            tenant.asked[1] = None;
        }
        let (begins, ends) = (now + grant.begins_in, now + grant.ends_in);
        if grant.closed {
            // A new holder lets the window go by. It is a silence of known length, and treated as one.
            tenant.unheard = Some(now - ISOLATION_TIMEOUT);
            tenant.spent = 0.0;
            tenant.closed = now;
            // The answer to the next ask would be the same for a while, and there at once.
            tenant.asked[usize::from(grant.next_window)] = Some(now - AGAIN + CLOSED);
        } else if grant.begins_in > 0.0 {
            let next = tenant.next.get_or_insert_default();
            if next.window != grant.window {
                *next = Block { units: 0.0, window: grant.window, begins, ends };
            }
            next.units += grant.units;
            if grant.units < 1.0 {
                tenant.next_spent = begins;
            }
        } else {
            if tenant.block.window != grant.window || now >= tenant.block.ends {
                tenant.block = Block { units: 0.0, window: grant.window, begins: now, ends };
                // What was let in alone in this window has been spent of it; the slice ends here.
                (tenant.slice, tenant.slice_ends) = (tenant.slice.fract(), ends);
            }
            tenant.block.units += grant.units;
            if grant.units < 1.0 {
                tenant.spent = (now + tenant.terms.window_length() * SPENT).min(ends);
                tenant.scarce = now + tenant.terms.window_length() * SCARCE;
            }
        }
        tenant.serve(now, told);
        tenant.renew(now, &name, gateways, out);
    }

    /// Time passes: windows end, blocks are asked for, who has waited long enough is told. Due every 20 ms or so while anybody
    /// waits, every 50 ms else.
    pub fn tick(
        &mut self, now: Millis, out: &mut Vec<ProxyToRegistry>, told: &mut Vec<(RequestId, Admission)>,
    ) {
        let gateways = self.gateways;
        for (name, tenant) in &mut self.tenants {
            tenant.roll(now);
            tenant.look(now);
            tenant.serve(now, told);
            while let Some(&(request, until)) = tenant.waiting.front()
                && (now >= until || tenant.silent(now))
            {
                tenant.waiting.pop_front();
                // The wait is over: the silence rule decides, for this one request.
                told.push((request, tenant.spend_slice(now, gateways)));
            }
            tenant.renew(now, name, gateways, out);
        }
        self.tenants.retain(|_, tenant| {
            let idle = now - tenant.last > tenant.terms.window_length() * IDLE;
            !(idle && tenant.waiting.is_empty())
        });
    }

    /// The keys of tenants whose requests are let in from slices since this proxy was told that nobody grants. One that waits for an
    /// answer is none of them: its units may be on their way.
    pub fn self_granted_shards(&self, now: Millis) -> u64 {
        let told =
            |tenant: &Tenant| now - tenant.closed < TOLD && now - tenant.last < tenant.terms.window_length();
        let alone = self.tenants.iter().filter(|(_, tenant)| told(tenant));
        alone.fold(0, |keys, (name, _)| keys | shard_bit(name))
    }

    /// A limit is no more, or a tenant: nothing of it is kept.
    pub fn remove_tenant(&mut self, name: &str, told: &mut Vec<(RequestId, Admission)>) {
        if let Some(tenant) = self.tenants.remove(name) {
            told.extend(tenant.waiting.into_iter().map(|(request, _)| (request, Admission::Rejected(200.0))));
        }
    }

    /// The proxy ends: what was not spent goes back.
    pub fn return_units(&mut self, now: Millis, out: &mut Vec<ProxyToRegistry>) {
        for (name, tenant) in &mut self.tenants {
            tenant.roll(now);
            let units = std::mem::take(&mut tenant.block.units);
            if units >= 1.0 {
                out.push(ProxyToRegistry::ReturnUnits {
                    tenant: name.clone(),
                    units,
                    window: tenant.block.window,
                });
            }
        }
    }
}

impl Tenant {
    fn new(now: Millis, terms: Quota, born: Millis, part: f64) -> Self {
        let alone_from = born + ALONE_AFTER * terms.window_length();
        Self {
            alone_from,
            terms,
            block: Block::default(),
            next: None,
            demand: 0.0,
            came: 0.0,
            timely: 0.0,
            timely_came: 0.0,
            scarce: 0.0,
            looked: now,
            last: now,
            asked: [None; 2],
            heard: now,
            unheard: None,
            spent: 0.0,
            next_spent: 0.0,
            waiting: VecDeque::new(),
            // Below one: over many proxies as much as an even part of each window is, from the first on.
            slice: part,
            slice_ends: 0.0,
            closed: f64::MIN,
        }
    }

    /// Moves to the window at hand.
    fn roll(&mut self, now: Millis) {
        if let Some(next) = self.next.take_if(|next| now >= next.begins) {
            if now < next.ends {
                self.block = next;
                (self.slice, self.slice_ends) = (self.slice.fract(), self.block.ends);
                self.spent = 0.0;
            }
            self.asked[0] = None;
        }
        if now >= self.block.ends {
            self.block.units = 0.0;
        }
    }

    fn look(&mut self, now: Millis) {
        let span = now - self.looked;
        if span >= LOOK {
            // Several looks' worth of time passed: so much more weight has what came.
            let weight = |newest: f64| 1.0 - (1.0 - newest).powf((span / LOOK).min(20.0));
            self.demand += weight(ALPHA) * (self.came / span - self.demand);
            self.timely += weight(ALPHA_TIMELY) * (self.timely_came / span - self.timely);
            (self.came, self.timely_came, self.looked) = (0.0, 0.0, now);
        }
    }

    /// Whether one that is late gets nothing now: what is left is likely to be wanted in time.
    fn late_yields(&self, now: Millis) -> bool {
        let left = (self.block.ends - now).max(0.0);
        now < self.scarce && !self.silent(now) && self.block.units - self.timely * left < 1.0
    }

    fn silent(&self, now: Millis) -> bool {
        self.unheard.is_some_and(|since| now - since >= ISOLATION_TIMEOUT)
    }

    /// The slice of a proxy on its own; none in a window of which it had a block.
    fn spend_slice(&mut self, now: Millis, gateways: f64) -> Admission {
        if now >= self.slice_ends && now >= self.alone_from {
            let window = self.terms.window_length();
            self.slice = self.slice.fract() + self.terms.units_per_window() * ISOLATED_SHARE / gateways;
            self.slice_ends = now + window;
        }
        if self.slice >= 1.0 {
            self.slice -= 1.0;
            Admission::Admitted
        } else {
            Admission::Rejected((self.slice_ends.max(self.alone_from) - now).clamp(20.0, 2000.0))
        }
    }

    fn serve(&mut self, now: Millis, told: &mut Vec<(RequestId, Admission)>) {
        while self.block.units >= 1.0
            && let Some((request, _)) = self.waiting.pop_front()
        {
            self.block.units -= 1.0;
            told.push((request, Admission::Admitted));
        }
        if now < self.spent && !self.silent(now) {
            let wait = (self.block.ends - now).clamp(20.0, 2000.0);
            told.extend(self.waiting.drain(..).map(|(request, _)| (request, Admission::Rejected(wait))));
        }
    }

    /// Asks for more before the block runs dry, and for the next window before this one ends.
    fn renew(&mut self, now: Millis, name: &str, gateways: f64, out: &mut Vec<ProxyToRegistry>) {
        let window = self.terms.window_length();
        let first = self.heard <= 0.0 || self.block.ends <= 0.0;
        let wanted = |span: Millis| self.demand * span;
        let target = wanted(window * BLOCK).min(self.terms.units_per_window());
        let left = (self.block.ends - now).max(0.0);
        // No more than what comes until the window ends; where none is at hand, for the one that will be.
        let span = if left > 0.0 { wanted(left) + 1.0 } else { f64::INFINITY };
        let now_target = if first { self.terms.units_per_window() / gateways } else { target.min(span) };
        let waiting = self.waiting.len() as f64;
        let dry = self.block.units < now_target * RENEW || waiting > 0.0;
        let used = now - self.last < window;
        let now_target = if now_target < AHEAD_LEAST { 0.0 } else { now_target };
        // One on its own has nobody who waits: it asks on, or would never hear that it is not.
        let wants = now_target > 0.0 || waiting > 0.0 || self.unheard.is_some();
        if dry && used && now >= self.spent && wants {
            // No more than is likely to be used: what is asked in vain is stranded here.
            let units = ((now_target - self.block.units).max(0.0).round() + waiting).max(1.0);
            self.ask(now, name, units, false, out);
        }
        let due = self.block.ends > now && left < window * AHEAD * 0.9;
        let have = self.next.as_ref().map_or(0.0, |next| next.units);
        if due && used && have < target * RENEW && target >= AHEAD_LEAST && now >= self.next_spent {
            self.ask(now, name, (target - have).max(1.0).ceil(), true, out);
        }
    }

    fn ask(&mut self, now: Millis, name: &str, units: f64, next: bool, out: &mut Vec<ProxyToRegistry>) {
        let asked = &mut self.asked[usize::from(next)];
        if asked.is_some_and(|at| now - at < AGAIN) {
            return;
        }
        *asked = Some(now);
        self.unheard = self.unheard.or(Some(now));
        out.push(ProxyToRegistry::RequestUnits {
            tenant: name.to_owned(),
            units,
            next_window: next,
            demand: self.demand,
        });
    }
}
