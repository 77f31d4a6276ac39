//! Read access to the state of a gateway: its counts, and a hash of the complete state for a model checker
//! (every field, each map in its order, floats by their bits). No decisions are made here.

use super::{Backend, Counter, Customer, Gateway, Request};
use crate::interface::Millis;
use crate::topology::SendCounts;
use fennelscale_quota::{CounterHealth, LocalBucket};
use std::hash::{Hash, Hasher};

impl Gateway {
    /// The number of known backends.
    pub fn backend_count(&self) -> usize {
        self.backends.len()
    }

    /// The number of known customers.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Attempts counted as in flight: those of all backends, and those of all customers.
    pub fn in_flight(&self) -> (u32, u32) {
        (
            self.backends.values().map(|b| b.in_flight).sum(),
            self.customers.values().map(|c| c.in_flight).sum(),
        )
    }

    /// Requests sent, by the known state of their backends.
    pub fn send_counts(&self) -> SendCounts {
        self.topology.send_counts()
    }

    /// Requests in the queue because no backend may be sent one.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether a counter was ever found silent.
    pub fn counter_was_silent(&self) -> bool {
        self.counters.iter().any(|counter| counter.health.silent_since > 0.0)
    }

    /// Units of all customers: those left in leases, and those used but not yet added to the shared count
    /// (negative: to be returned).
    pub fn leased_and_owed(&self) -> (f64, f64) {
        let sum = |of: fn(&Customer) -> f64| self.customers.values().map(of).sum();
        (sum(|c| c.lease), sum(|c| c.owed))
    }
}

/// Hashes floats by their bits: two states are equal only if each value is exactly equal.
fn floats<H: Hasher>(state: &mut H, values: &[f64]) {
    values.iter().for_each(|value| state.write_u64(value.to_bits()));
}

fn optional<H: Hasher>(state: &mut H, value: Option<Millis>) {
    state.write_u8(value.is_some().into());
    floats(state, &[value.unwrap_or_default()]);
}

impl Hash for Gateway {
    /// Hashes everything but the settings, which never change. To compare gateways of different settings,
    /// hash those as well.
    fn hash<H: Hasher>(&self, state: &mut H) {
        // A full destructuring, so that no field can be forgotten.
        let Self {
            settings: _,
            random,
            now,
            started_at,
            backends,
            topology,
            customers,
            requests,
            queue,
            partition,
            counters,
            last_visited,
            plan_probability,
            probabilities,
            class_latency,
            late_share,
            started,
            shutting_down,
        } = self;
        (random, backends, topology, customers, requests, queue, counters).hash(state);
        // A partition changes only by the operators' configuration; compared gateways have the same one.
        (partition.addresses(), last_visited, started, shutting_down).hash(state);
        floats(state, &[*now, *started_at, *late_share]);
        plan_probability.iter().for_each(|probability| floats(state, probability));
        floats(state, class_latency);
        state.write_usize(probabilities.len());
        for (salt, (probability, at)) in probabilities {
            state.write_u64(*salt);
            floats(state, &[*probability, *at]);
        }
    }
}

impl Hash for Counter {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self { health, calls, waiting } = self;
        let CounterHealth {
            call_share: ease,
            missed_weight: silences,
            last_answer: heard,
            known_silent: told,
            silent_since: silent_at,
            recovered_at: back_at,
            last_probe: probed,
        } = health;
        (calls, waiting, silences, told).hash(state);
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
            address_reused,
            started,
            in_flight,
            limit,
            failures,
            ejection_logged,
            limit_adjusted,
            eject_until,
        } = self;
        (zone, cell, ready, gone, address_reused, in_flight, failures, ejection_logged, limit_adjusted)
            .hash(state);
        optional(state, *started);
        floats(state, &[*limit, *eject_until]);
    }
}

impl Hash for Customer {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self {
            plan,
            gateway_count,
            position,
            salt,
            window,
            counter,
            lease,
            ledger,
            share,
            balance,
            balance_at,
            has_total,
            last_total_at,
            owed,
            call,
            waiting,
            demand,
            demand_at,
            slice,
            in_flight,
        } = self;
        (plan, position, salt, window, counter, has_total, waiting, in_flight).hash(state);
        floats(state, &[*gateway_count, *lease, *balance, *balance_at]);
        floats(
            state,
            &[ledger.added, ledger.last_total, ledger.uncertain, share.own, share.total, share.updated_at],
        );
        floats(state, &[*last_total_at, *owed, *demand, *demand_at]);
        (call.is_some(), slice.is_some()).hash(state);
        let (window, requested, owed) = call.unwrap_or_default();
        let LocalBucket { units: held, updated_at: at, rate_per_s: rate, capacity: most } =
            slice.unwrap_or_default();
        state.write_u64(window);
        floats(state, &[requested, owed, held, at, rate, most]);
    }
}

impl Hash for Request {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self {
            customer,
            plan,
            class,
            units,
            without_total,
            is_retry,
            arrived,
            deadline,
            wait_until,
            stage,
            attempts,
            misdirected,
            may_have_run,
            constraints,
            sent_at,
        } = self;
        (customer, plan, class, without_total, is_retry, *stage as u8, attempts, misdirected, constraints)
            .hash(state);
        floats(state, &[*units, *arrived, *deadline, *wait_until, *sent_at]);
        let run = may_have_run.as_ref();
        run.map(|(_, zone, cell)| (zone, cell)).hash(state);
        optional(state, run.map(|(at, ..)| *at));
    }
}
