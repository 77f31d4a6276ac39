//! Choice of a backend: the state of each backend, its concurrency limit and ejection.

use super::*;

/// Weight of the newest answer in the share of late ones, and of the newest first total in a plan's admission
/// probability.
pub(super) const NEWEST_WEIGHT: f64 = 0.1;
/// Weight of the newest latency in the typical latency of its class.
pub(super) const LATENCY_WEIGHT: f64 = 0.02;
/// A failure counts as a late answer if it took this many times the typical latency.
pub(super) const LATE_FAILURE_FACTOR: f64 = 4.0;
/// Initial concurrency limit of one backend over all gateways; later it follows the observed latencies.
pub(super) const INITIAL_LIMIT: f64 = 3.5;
/// Answers should arrive within this share of the target latency; the rest is for the network, queueing and
/// outliers.
pub(super) const LATENCY_TARGET_SHARE: f64 = 0.6;
/// The share of answers that may be later: with fewer late answers the limit grows, with more it shrinks.
pub(super) const LATE_TARGET: f64 = 0.1;
/// Relative change of the limit by one answer: a late one takes nine tenths of this, a timely one adds a
/// tenth.
pub(super) const LIMIT_STEP: f64 = 0.12;
/// The least limit of one gateway at one backend; the sum over all backends still applies.
pub(super) const MIN_LIMIT: f64 = 0.2;
/// Late answers beyond `LATE_TARGET` shed this many times their share of the fresh requests, but never all.
/// While other requests have a counter total, those admitted without one count as `NO_TOTAL_FACTOR` times
/// less valuable.
pub(super) const SHED_SLOPE: f64 = 2.0;
pub(super) const MIN_ADMITTED: f64 = 0.05;
pub(super) const NO_TOTAL_FACTOR: f64 = 40.0;
/// A failed backend is tried again after this share of the warm-up time per consecutive failure.
pub(super) const EJECT_TIME_SHARE: f64 = 0.02;
/// The ejection is logged at this number of consecutive failures.
pub(super) const EJECT_LOGGED_AT: u32 = 2;
/// Consecutive lost connections that do not yet count as failures of the backend.
pub(super) const TOLERATED_LOSSES: u32 = 2;
/// A backend in another zone is treated as slower by this factor per unit of cross-zone cost, which is small.
pub(super) const CROSS_ZONE_WEIGHT: f64 = 5.0;
/// Bounds the number of connections: in a large fleet each gateway prefers this many backends and treats
/// others as `OTHERS_FACTOR` times slower.
pub(super) const PREFERRED_BACKENDS: f64 = 5.0;
pub(super) const OTHERS_FACTOR: f64 = 100.0;
/// A cold backend gets an even part of all sends, times its share of capacity, times this. Warm backends are
/// not sent more than they can process, so all gateways together stay below the multiple that overloads a
/// cold one.
pub(super) const COLD_SHARE: f64 = 0.8;

#[derive(Clone, Debug, Default)]
pub(super) struct Backend {
    pub(super) zone: Name,
    pub(super) cell: u64,
    pub(super) ready: bool,
    pub(super) gone: bool,
    /// Its address has answered for another backend: it never returns, whatever the list says.
    pub(super) address_reused: bool,
    pub(super) started: Option<Millis>,
    pub(super) in_flight: u32,
    /// Maximum number of requests that this gateway has in flight here.
    pub(super) limit: f64,
    pub(super) failures: u32,
    pub(super) ejection_logged: bool,
    /// An answer has changed `limit`.
    pub(super) limit_adjusted: bool,
    pub(super) eject_until: Millis,
}

impl Backend {
    /// Whether it may be sent new requests.
    pub(super) fn usable(&self) -> bool {
        self.ready && !self.address_reused
    }

    /// Whether no answer has changed its limit yet.
    pub(super) fn is_untested(&self) -> bool {
        !self.limit_adjusted
    }

    /// Adjusts the limit to the share of late answers, so that most answers meet their target. This protects
    /// against overload of any cause without knowledge of the backend's capacity.
    pub(super) fn adjust_limit(&mut self, late: bool, minimum: f64) {
        self.limit_adjusted = true;
        let used = f64::from(self.in_flight) + 1.0 >= self.limit.floor();
        if late || used {
            let step = LIMIT_STEP * (LATE_TARGET - f64::from(u8::from(late)));
            self.limit = (self.limit * (1.0 + step)).max(MIN_LIMIT.max(minimum));
        }
    }

    /// The share of its capacity that a backend has by now at least, assuming that it rises linearly or
    /// faster.
    pub(super) fn capacity_share(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = ((now - started) / settings.warm_up_time.max(1.0)).clamp(0.0, 1.0);
        settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) * age
    }

    /// Ejects dead and stalled backends, which show in outcomes long before the list reports them. Nothing is
    /// sent for as long as the failure took (without cancellation the abandoned work must still be
    /// processed), and longer with each consecutive failure. A lost connection says little about the backend:
    /// idle connections go stale and the network resets them, and a dead backend refuses the next connection,
    /// which costs no request. This also covers middleboxes and restarts; a backend that accepts and then
    /// breaks every request fails `TOLERATED_LOSSES` more. Returns whether the ejection is to be logged.
    pub(super) fn record_failure(&mut self, now: Millis, end: &AttemptEnd, settings: &Settings) -> bool {
        self.failures += 1;
        let lost = end.outcome == Outcome::ConnectionLost;
        let counted = self.failures.saturating_sub(if lost { TOLERATED_LOSSES } else { 0 });
        if counted > 0 {
            let share = EJECT_TIME_SHARE * f64::from(counted);
            self.eject_until = now + end.latency.max(settings.warm_up_time * share);
        }
        let due = counted >= EJECT_LOGGED_AT;
        due && !std::mem::replace(&mut self.ejection_logged, due)
    }
}

impl Gateway {
    /// Whether each gateway sees too few answers of one backend: it then chooses at random and judges by all
    /// answers.
    pub(super) fn large_fleet(&self) -> bool {
        INITIAL_LIMIT < MIN_LIMIT * f64::from(self.settings.gateways)
    }

    /// The share of fresh requests that a large fleet admits: it falls with the share of late answers,
    /// against overload.
    pub(super) fn admitted_share(&self) -> f64 {
        (1.0 - SHED_SLOPE * (self.late_share - LATE_TARGET)).clamp(MIN_ADMITTED, 1.0)
    }

    pub(super) fn admits_fresh(&mut self, class: usize, without_total: bool) -> bool {
        self.late_share *= 1.0 - NEWEST_WEIGHT * NEWEST_WEIGHT;
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|c| c.value).sum::<f64>() / classes.len() as f64;
        let rank = mean / classes[class].value.max(1e-9) * if without_total { NO_TOTAL_FACTOR } else { 1.0 };
        let share = self.admitted_share().powf(rank);
        !self.large_fleet() || self.random() < share
    }

    pub(super) fn on_backend_list(&mut self, list: Vec<BackendEntry>, full: bool, actions: &mut Vec<Action>) {
        self.apply_list(list, full);
        self.drain_queue(actions);
    }

    /// Applies list and parameters completely before any choice, because by the list alone cold backends look
    /// ready.
    pub(super) fn on_topology(
        &mut self, fleet: FleetParameters, backends: Vec<(BackendEntry, BackendParameters)>,
        actions: &mut Vec<Action>,
    ) {
        let named = backends.iter().map(|(entry, parameters)| (entry.name.clone(), *parameters)).collect();
        self.topology.update(self.now, fleet, named);
        self.apply_list(backends.into_iter().map(|(entry, _)| entry).collect(), true);
        // A backend without an answer yet has the limit that its slots allow.
        for (name, backend) in &mut self.backends {
            let limit = self.topology.limit(name).filter(|_| backend.is_untested());
            backend.limit = limit.unwrap_or(backend.limit);
        }
        self.drain_queue(actions);
    }

    fn apply_list(&mut self, list: Vec<BackendEntry>, full: bool) {
        if full {
            self.backends.values_mut().for_each(|b| (b.ready, b.gone) = (false, true));
        }
        for entry in list {
            let (ready, gone) = (entry.state == BackendState::Ready, entry.state == BackendState::Gone);
            let known = self.backends.get_mut(&entry.name);
            let in_flight = known.as_ref().map_or(0, |b| b.in_flight);
            if let Some(known) = known.filter(|b| b.started == entry.started) {
                (known.ready, known.gone) = (ready, gone);
                continue;
            }
            let limit = INITIAL_LIMIT / f64::from(self.settings.gateways);
            let BackendEntry { name, zone, cell, started, .. } = entry;
            self.backends.insert(
                name,
                Backend { zone, cell, ready, gone, started, in_flight, limit, ..Default::default() },
            );
        }
    }

    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let chosen = if self.within_concurrency_cap(id) { self.choose_backend(id) } else { None };
        let Some(name) = chosen else { return false };
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return false };
        let class = &self.settings.classes[request.class];
        let keyed = request.may_have_run.as_ref().filter(|_| class.retry_safety == RetrySafety::Keyed);
        let write_by =
            keyed.map(|(at, ..)| at + class.dedup_window - MARGIN_TICKS * self.settings.tick - self.now);
        // Covers keyed requests that waited in the queue; the host applies it to those whose connection is
        // late.
        if write_by.is_some_and(|left| left <= 0.0) {
            return false;
        }
        backend.in_flight += 1;
        self.topology.record_send(&name, self.now, request.attempts > 0);
        self.customers.get_mut(&request.customer).into_iter().for_each(|c| c.in_flight += 1);
        (request.stage, request.sent_at, request.attempts) =
            (Stage::InFlight, self.now, request.attempts + 1);
        actions.push(Action::Send { id, backend: name, timeout: None, write_by });
        true
    }

    /// The concurrency cap, split evenly: the first gateways of the customer's set take the remainder.
    pub(super) fn within_concurrency_cap(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let cap = self.settings.plans[request.plan].max_concurrent;
        let (gateway_count, position) = (customer.gateway_count as u32, customer.position);
        cap == 0
            || customer.in_flight < (cap / gateway_count + u32::from(position < cap % gateway_count)).max(1)
    }

    pub(super) fn total_limit(&self) -> f64 {
        self.backends.values().filter(|b| b.usable()).map(|b| b.limit).sum()
    }

    /// The backend expected to answer first: the one with the fewest requests of this gateway, the nearer if
    /// equal.
    pub(super) fn choose_backend(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let pinned = request.may_have_run.as_ref().filter(|_| class.retry_safety == RetrySafety::Keyed);
        let constraints = request.constraints.as_deref();
        let bytes = constraints.map_or(0, |b| b.bytes);
        let in_flight: f64 = self.backends.values().map(|b| f64::from(b.in_flight)).sum();
        if in_flight >= self.total_limit().max(1.0) {
            return None;
        }
        let ready = self.backends.values().filter(|b| b.usable()).count().max(1) as f64;
        let (salt, own) = (self.random, mix(u64::from(self.settings.gateway_index) + 1));
        let distance = 1.0 + self.settings.cross_zone_cost * CROSS_ZONE_WEIGHT;
        let (large_fleet, cold_share) = (self.large_fleet(), COLD_SHARE * self.admitted_share());
        let mut best: Option<(f64, &Name)> = None;
        for (name, backend) in &self.backends {
            let (scope, zone, cell) = (class.dedup_scope, &backend.zone, backend.cell);
            let same = |home: &(_, Name, u64)| {
                if scope == DedupScope::Zone { home.1 == *zone } else { home.2 == cell }
            };
            let in_scope = scope == DedupScope::All || pinned.is_none_or(same);
            let full = f64::from(backend.in_flight) >= backend.limit.ceil();
            let jitter = unit(salt ^ hash(name));
            let capacity_share = backend.capacity_share(self.now, &self.settings);
            // Without coordination, each gateway limits its sends to a cold backend to its share by random
            // choice.
            let cold = capacity_share < 1.0 && jitter * ready >= capacity_share * cold_share;
            let excluded = constraints.is_some_and(|b| !b.cells.is_empty() && !b.cells.contains(&cell));
            if !backend.usable() || !in_scope || full || cold || excluded || self.now < backend.eject_until {
                continue;
            }
            let expected = self.topology.score(name, backend.in_flight, self.now, jitter, bytes);
            if expected == Some(None) {
                continue;
            }
            // In a large fleet, a weighted random draw, so that gateways do not all follow the same order.
            let draw = if large_fleet { -jitter.max(1e-12).ln() } else { 1.0 + 0.1 * jitter };
            let distance = if *zone == self.settings.zone { 1.0 } else { distance };
            let own = unit(hash(name) ^ own) * ready < PREFERRED_BACKENDS;
            let distance = if own || !large_fleet { distance } else { distance * OTHERS_FACTOR };
            let unguided = if capacity_share < 1.0 {
                0.0
            } else {
                (1.0 + f64::from(backend.in_flight)) * distance * draw
            };
            let score = expected.flatten().unwrap_or(unguided);
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, name));
            }
        }
        let chosen = best.map(|(_, name)| name.clone());
        self.random();
        chosen
    }

    /// Stops sends to a backend whose address was reassigned: the list still names it for seconds, and every
    /// request of every gateway would fail there. Each incarnation of a backend has its own name, so this
    /// loses nothing.
    fn mark_address_reused(&mut self, name: &Name, actions: &mut Vec<Action>) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        if !std::mem::replace(&mut backend.address_reused, true) {
            actions.push(Action::Log(format!(
                "backend {name} removed: its address answers for another backend"
            )));
        }
    }

    pub(super) fn on_backend_result(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        // This says something about the backend even if the client has disconnected.
        if end.outcome == Outcome::Misdirected {
            return self.mark_address_reused(name, actions);
        }
        // The class and target of a removed request are unknown; a disconnected client proves nothing.
        let request = self.requests.get(&end.id).filter(|r| r.stage != Stage::Abandoned);
        let Some(class) = request.map(|r| r.class) else { return };
        let mean = &mut self.class_latency[class];
        let late = match end.outcome {
            Outcome::Served => {
                if std::mem::take(&mut backend.ejection_logged) {
                    actions.push(Action::Log(format!("backend {name} answers again")));
                }
                backend.failures = 0;
                self.topology.record_latency(name, latency);
                *mean = if *mean == 0.0 { latency } else { *mean + LATENCY_WEIGHT * (latency - *mean) };
                latency > self.settings.classes[class].target_latency * LATENCY_TARGET_SHARE
            }
            Outcome::Error | Outcome::NeverSent | Outcome::Cancelled | Outcome::Misdirected => return,
            Outcome::Rejected => true,
            // A timeout of a client with little time left says nothing about the fleet.
            _ => latency > *mean * LATE_FAILURE_FACTOR,
        };
        backend.adjust_limit(late, self.topology.min_limit(name));
        self.late_share += NEWEST_WEIGHT * (f64::from(u8::from(late)) - self.late_share);
        let failed = end.outcome != Outcome::Served;
        if failed && backend.record_failure(now, end, &self.settings) {
            actions.push(Action::Log(format!("backend {name} ejected: {EJECT_LOGGED_AT} failures in a row")));
        }
    }
}
