//! A gateway as others may look at it: its counts, and the whole of it for a checker to compare (every
//! field, each map in its order, floats by their bits). Nothing is decided here.

use super::{Backend, Counter, Customer, Gateway, Request};
use crate::interface::Millis;
use crate::topology::SendCounts;
use fennelscale_quota::{Health, Slice};
use std::hash::{Hash, Hasher};

impl Gateway {
    /// How many backends are remembered.
    pub fn backend_count(&self) -> usize {
        self.backends.len()
    }

    /// How many customers are remembered.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// What is counted as out: attempts at all backends, and attempts of all customers.
    pub fn in_flight(&self) -> (u32, u32) {
        (self.backends.values().map(|b| b.out).sum(), self.customers.values().map(|c| c.open).sum())
    }

    /// How many requests were sent, by what was known of their backends.
    pub fn send_counts(&self) -> SendCounts {
        self.mesh.sends()
    }

    /// Requests that are held because no backend may be sent one.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether a counter was ever found silent.
    pub fn counter_was_silent(&self) -> bool {
        self.counters.iter().any(|counter| counter.health.silent_at > 0.0)
    }

    /// Units of all customers: in blocks in hand, and used but not yet added to the shared count (negative:
    /// to be given back).
    pub fn leased_and_owed(&self) -> (f64, f64) {
        let sum = |of: fn(&Customer) -> f64| self.customers.values().map(of).sum();
        (sum(|c| c.lease), sum(|c| c.owed))
    }
}

/// Feeds floats by their bits: two states are the same only if each figure is exactly the same.
fn floats<H: Hasher>(state: &mut H, values: &[f64]) {
    values.iter().for_each(|value| state.write_u64(value.to_bits()));
}

fn maybe<H: Hasher>(state: &mut H, value: Option<Millis>) {
    state.write_u8(value.is_some().into());
    floats(state, &[value.unwrap_or_default()]);
}

impl Hash for Gateway {
    /// All but the settings, which never change. Whoever compares gateways of different settings must add
    /// these.
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Taken apart whole, so that no field can be forgotten.
        let Self {
            settings: _,
            random,
            now,
            born,
            backends,
            mesh,
            customers,
            requests,
            queue,
            partition,
            counters,
            swept,
            plan_odds,
            told,
            class_latency,
            late,
            sweeping,
            ending,
        } = self;
        (random, backends, mesh, customers, requests, queue, counters).hash(state);
        // A partition changes only when operators say so; who compares gateways gives them the same.
        (partition.addresses(), swept, sweeping, ending).hash(state);
        floats(state, &[*now, *born, *late]);
        plan_odds.iter().for_each(|odds| floats(state, odds));
        floats(state, class_latency);
        state.write_usize(told.len());
        for (salt, (odds, at)) in told {
            state.write_u64(*salt);
            floats(state, &[*odds, *at]);
        }
    }
}

impl Hash for Counter {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self { health, calls, line } = self;
        let Health { ease, silences, heard, told, silent_at, back_at, probed } = health;
        (calls, line, silences, told).hash(state);
        floats(state, &[*ease, *heard, *silent_at, *back_at, *probed]);
    }
}

impl Hash for Backend {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self {
            zone,
            cell,
            ready,
            gone,
            departed,
            started,
            out,
            room,
            failures,
            told,
            heard,
            eject_until,
        } = self;
        (zone, cell, ready, gone, departed, out, failures, told, heard).hash(state);
        maybe(state, *started);
        floats(state, &[*room, *eject_until]);
    }
}

impl Hash for Customer {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self {
            plan,
            spread,
            place,
            salt,
            window,
            counter,
            lease,
            ledger,
            share,
            store,
            store_at,
            known,
            heard,
            owed,
            call,
            waiting,
            demand,
            demand_at,
            slice,
            open,
        } = self;
        (plan, place, salt, window, counter, known, waiting, open).hash(state);
        floats(state, &[*spread, *lease, *store, *store_at]);
        floats(state, &[ledger.added, ledger.seen, ledger.doubt, share.own, share.all, share.at]);
        floats(state, &[*heard, *owed, *demand, *demand_at]);
        (call.is_some(), slice.is_some()).hash(state);
        let (window, block, owed) = call.unwrap_or_default();
        let Slice { held, at, rate, most } = slice.unwrap_or_default();
        state.write_u64(window);
        floats(state, &[block, owed, held, at, rate, most]);
    }
}

impl Hash for Request {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self {
            customer,
            plan,
            class,
            units,
            blind,
            repeat,
            arrived,
            deadline,
            hold_until,
            stage,
            attempts,
            misdirected,
            may_have_run,
            bound,
            sent_at,
        } = self;
        (customer, plan, class, blind, repeat, *stage as u8, attempts, misdirected, bound).hash(state);
        floats(state, &[*units, *arrived, *deadline, *hold_until, *sent_at]);
        let run = may_have_run.as_ref();
        run.map(|(_, zone, cell)| (zone, cell)).hash(state);
        maybe(state, run.map(|(at, ..)| *at));
    }
}
