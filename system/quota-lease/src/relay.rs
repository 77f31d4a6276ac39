//! Between the proxies of a region and the holder of a tenant's count: blocks are leased for the region and handed on in
//! parts, so that a request never waits for a way between regions, and a small quota is not stranded at proxies that see a
//! request now and then.
//!
//! The relay hands on no more than it was granted, and with the same windows: the sum of the holder stands whatever relays there
//! are, also when two take themselves for a region's.

use crate::counts::AHEAD;
use crate::{Block, Millis, Quota};
use fennelscale_messages::Host;
use fennelscale_messages::session::Grant;
use std::collections::{BTreeMap, VecDeque};

/// A block holds the demand of this part of a window, as far as the window lasts.
const BLOCK: f64 = 0.5;
/// It is renewed when less than this part of that is left.
const RENEW: f64 = 0.6;
/// An ask without answer is sent again after this.
const AGAIN: Millis = 300.0;
/// Who waits longer is told nothing more: the proxy has gone on by itself.
const WAITS: Millis = 450.0;
/// After the holder said that all is spent it is asked again after this part of a window.
const SPENT: f64 = 0.1;
/// After it said that it grants nothing yet, after this.
const CLOSED: Millis = 150.0;
/// A proxy's demand counts for this long.
const DEMAND: Millis = 1500.0;
/// A proxy is handed at most so many times its part of what is there, one at least.
const PART: f64 = 1.5;
/// A tenant that nobody asks for is forgotten after so many windows.
const IDLE: f64 = 6.0;
/// The most asks of a tenant that wait.
const MOST: usize = 4096;

/// What follows.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayOutput {
    /// To a proxy.
    ToProxy(Host, Grant),
    /// To the holder: tenant, units, for the next window, demand a ms.
    ToHolder(String, f64, bool, f64),
}

#[derive(Clone, Debug)]
struct Wait {
    from: Host,
    units: f64,
    next: bool,
    since: Millis,
}

#[derive(Clone, Debug)]
struct Tenant {
    terms: Quota,
    block: Block,
    next: Option<Block>,
    demands: BTreeMap<Host, (f64, Millis)>,
    waiting: VecDeque<Wait>,
    asked: [Option<Millis>; 2],
    spent: [Millis; 2],
    closed: Millis,
    last: Millis,
}

/// The relay of one registry.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    tenants: BTreeMap<String, Tenant>,
}

impl Relay {
    /// A proxy asks for units.
    #[expect(clippy::too_many_arguments, reason = "the fields of one word")]
    pub fn request_units(
        &mut self, now: Millis, from: Host, tenant: &str, units: f64, next: bool, demand: f64, terms: Quota,
        out: &mut Vec<RelayOutput>,
    ) {
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.to_owned(), Tenant::new(now, terms));
        }
        let Some(known) = self.tenants.get_mut(tenant) else { return };
        (known.terms, known.last) = (terms, now);
        known.demands.insert(from, (if demand.is_finite() { demand.max(0.0) } else { 0.0 }, now));
        if known.waiting.len() < MOST {
            known.waiting.push_back(Wait { from, units: units.max(1.0), next, since: now });
        }
        known.step(now, tenant, out);
    }

    /// The holder answers.
    pub fn on_grant(&mut self, now: Millis, grant: Grant, out: &mut Vec<RelayOutput>) {
        let Some(known) = self.tenants.get_mut(&grant.tenant) else { return };
        known.roll(now);
        known.asked[usize::from(grant.next_window)] = None;
        if grant.closed {
            known.closed = now + CLOSED;
        } else if grant.begins_in > 0.0 {
            let (begins, ends) = (now + grant.begins_in, now + grant.ends_in);
            let next = known.next.get_or_insert_default();
            if next.window != grant.window || next.ends == 0.0 {
                *next = Block { units: 0.0, window: grant.window, begins, ends };
            }
            next.units += grant.units;
            if grant.units < 1.0 {
                known.spent[1] = begins;
            }
        } else {
            let ends = now + grant.ends_in;
            if known.block.window != grant.window || now >= known.block.ends {
                known.block = Block { units: 0.0, window: grant.window, begins: now, ends };
            }
            known.block.units += grant.units;
            if grant.units < 1.0 {
                known.spent[0] = (now + known.terms.window_length() * SPENT).min(ends);
            }
        }
        known.step(now, &grant.tenant, out);
    }

    /// Time passes; due every 50 ms or so.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<RelayOutput>) {
        for (name, tenant) in &mut self.tenants {
            tenant.step(now, name, out);
        }
        self.tenants.retain(|_, tenant| now - tenant.last < tenant.terms.window_length() * IDLE);
    }

    /// How many tenants are known.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }
}

impl Tenant {
    fn new(now: Millis, terms: Quota) -> Self {
        Self {
            terms,
            block: Block::default(),
            next: None,
            demands: BTreeMap::new(),
            waiting: VecDeque::new(),
            asked: [None; 2],
            spent: [0.0; 2],
            closed: 0.0,
            last: now,
        }
    }

    fn roll(&mut self, now: Millis) {
        if let Some(next) = self.next.take_if(|next| now >= next.begins) {
            if now < next.ends {
                self.block = next;
                self.spent = [0.0; 2];
            }
            self.asked = [None; 2];
        }
        if now >= self.block.ends {
            self.block.units = 0.0;
        }
        self.demands.retain(|_, (_, at)| now - *at < DEMAND);
    }

    fn demand(&self) -> f64 {
        self.demands.values().map(|(demand, _)| demand).sum()
    }

    /// Serves who waits, as far as there is something to say, and asks for more.
    fn step(&mut self, now: Millis, name: &str, out: &mut Vec<RelayOutput>) {
        self.roll(now);
        let all = self.demand();
        for wait in std::mem::take(&mut self.waiting) {
            if now - wait.since > WAITS {
                continue;
            }
            match self.serve(now, name, &wait, all) {
                Some(grant) => out.push(RelayOutput::ToProxy(wait.from, grant)),
                None => self.waiting.push_back(wait),
            }
        }
        self.renew(now, name, all, out);
    }

    fn serve(&mut self, now: Millis, name: &str, wait: &Wait, all: f64) -> Option<Grant> {
        let own = self.demands.get(&wait.from).map_or(0.0, |(demand, _)| *demand);
        let told = |units, block: &Block, closed| Grant {
            tenant: name.to_owned(),
            units,
            window: block.window,
            begins_in: (block.begins - now).max(0.0),
            ends_in: (block.ends - now).max(0.0),
            next_window: wait.next,
            closed,
        };
        if now < self.closed {
            let window = Block { ends: now + self.terms.window_length(), ..Block::default() };
            return Some(told(0.0, &window, true));
        }
        let spent = now < self.spent[usize::from(wait.next)];
        let block = if wait.next { self.next.as_mut() } else { Some(&mut self.block) };
        match block.filter(|block| now < block.ends) {
            Some(block) if block.units >= 1.0 => {
                let part = (block.units * PART * own / all.max(1e-12)).max(1.0);
                let units = wait.units.min(part).min(block.units).floor();
                block.units -= units;
                Some(told(units, block, false))
            }
            Some(block) if spent => Some(told(0.0, block, false)),
            _ => None,
        }
    }

    fn renew(&mut self, now: Millis, name: &str, all: f64, out: &mut Vec<RelayOutput>) {
        let window = self.terms.window_length();
        let left = (self.block.ends - now).max(0.0);
        let owed = |next| self.waiting.iter().filter(|w| w.next == next).map(|w| w.units).sum::<f64>();
        let (owed_now, owed_next) = (owed(false), owed(true));
        let span = if self.block.ends > now { left.min(window * BLOCK) } else { window * BLOCK };
        let target = (all * span).min(self.terms.units_per_window());
        let wants = owed_now + (target - self.block.units).max(0.0);
        if (owed_now > 0.0 || self.block.units < target * RENEW) && now >= self.spent[0] && wants >= 0.5 {
            self.up(now, name, wants, false, all, out);
        }
        // A little before the proxies ask for it.
        if left > 0.0 && left < window * AHEAD && now >= self.spent[1] {
            let have = self.next.as_ref().map_or(0.0, |next| next.units);
            let target = (all * window * BLOCK).min(self.terms.units_per_window());
            let wants = owed_next + (target - have).max(0.0);
            if (owed_next > 0.0 || have < target * RENEW) && wants >= 0.3 {
                self.up(now, name, wants, true, all, out);
            }
        }
    }

    fn up(
        &mut self, now: Millis, name: &str, units: f64, next: bool, demand: f64, out: &mut Vec<RelayOutput>,
    ) {
        let asked = &mut self.asked[usize::from(next)];
        if asked.is_some_and(|at| now - at < AGAIN) || now < self.closed {
            return;
        }
        *asked = Some(now);
        out.push(RelayOutput::ToHolder(name.to_owned(), units.max(1.0).ceil(), next, demand));
    }
}
