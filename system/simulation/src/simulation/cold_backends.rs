//! Backends that restart cold under more requests than all of them can serve, and what each of them receives.

use super::{Call, Fault, Simulation};
use crate::Millis;
use doorcourse::Outcome;
use fennelscale_messages::session::Backend;
use fennelscale_messages::store::StoreRequest;
use std::collections::{BTreeMap, VecDeque};

/// The bound for cold backends: requests per second of one backend, overage, slack.
const COLD_LIMITS: (f64, f64, f64) = (6.7, 1.5, 5.0);
/// How long a backend is cold after its start, in ms.
const COLD_DURATION: Millis = 3000.0;
/// The window in which the bound counts arrivals, in ms.
const RATE_WINDOW: Millis = 1000.0;
/// How long a backend takes for a request, in ms: a minimum, and the largest random addition.
const SERVICE_TIME: (Millis, Millis) = (100.0, 300.0);

/// A request that arrived at a cold backend.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    proxy: usize,
}

/// The cold backends and the requests they received.
#[derive(Debug, Default)]
pub(super) struct ColdBackends {
    /// Until when each backend is cold, by its id.
    until: BTreeMap<String, Millis>,
    /// Arrivals at each cold backend within the last second.
    arrived: BTreeMap<String, VecDeque<Arrival>>,
    /// The number of backend starts so far.
    starts: usize,
    /// The number of requests that arrived at cold backends.
    count: usize,
    /// The most requests that one cold backend received within a second.
    peak: usize,
}

/// The configuration item of the service, as an operator sends it.
pub(super) fn service_body() -> String {
    let per_s = COLD_LIMITS.0;
    format!(r#"{{"name":"s","coldStart":"3s","coldPerS":{per_s},"revision":"00000001"}}"#)
}

impl Simulation {
    /// The number of requests that cold backends received.
    pub fn cold_arrivals(&self) -> usize {
        self.cold.count
    }

    /// The most requests that one cold backend received within a second.
    pub fn cold_peak(&self) -> usize {
        self.cold.peak
    }

    /// An operator evacuates a zone or ends the evacuation. Its backends become cold when the evacuation
    /// ends.
    pub fn evacuate(&mut self, zone: usize, on: bool) {
        let zone = format!("z{zone}");
        if !on {
            let ids = self.backends.iter().filter(|b| b.zone == zone).map(|b| b.id.clone());
            let until = self.now + COLD_DURATION;
            self.cold.until.extend(ids.map(|id| (id, until)));
        }
        self.calls.push(Call {
            name: format!("e:{zone}"),
            revision: 0,
            request: StoreRequest::Evacuate(zone, on, None),
            asked: None,
            acknowledged: None,
            in_force_at: None,
            sent: self.now,
        });
    }

    /// Restarts all backends of a zone at the same addresses, each with a new id and cold.
    pub(super) fn restart_backends(&mut self, zone: usize) {
        let (zone, until) = (format!("z{zone}"), self.now + COLD_DURATION);
        for backend in self.backends.iter_mut().filter(|backend| backend.zone == zone) {
            self.cold.starts += 1;
            backend.id = format!("{}-{}", backend.address, self.cold.starts);
            self.cold.until.insert(backend.id.clone(), until);
        }
    }

    /// A backend list as it is read now: the remaining cold times are as of the reading.
    pub(super) fn as_read(&self, mut list: Vec<Backend>) -> Vec<Backend> {
        for backend in &mut list {
            let until = self.cold.until.get(&backend.id).copied().unwrap_or_default();
            backend.cold_ms = (until - self.now).max(0.0) as u32;
        }
        list
    }

    /// Clients send requests to all proxies; the proxies send them to backends.
    pub(super) fn send_backend_requests(&mut self) {
        let (now, pressure) = (self.now, self.config.pressure);
        if pressure == 0 {
            return;
        }
        for p in 0..self.proxies.len() {
            // Clients leave an isolated proxy, since the directory no longer lists it.
            let left = self.disconnected_proxies.contains(&p) && self.proxies[p].session.is_none();
            for sent in self.proxies[p].send_backend_requests(now, if left { 0 } else { pressure }) {
                let stands = self.backends.iter().any(|backend| *backend.id == *sent.backend);
                let (outcome, after) = if stands {
                    self.record_cold_arrival(&sent.backend, p);
                    (Outcome::Served, SERVICE_TIME.0 + self.rng.fraction() * SERVICE_TIME.1)
                } else {
                    (Outcome::Misdirected, self.latency(false) * 2.0)
                };
                self.proxies[p].finish_request(now, sent, outcome, after);
            }
            let without_parameters = self.proxies[p].sent_without_parameters();
            if without_parameters > 0 {
                self.violations
                    .push(format!("{without_parameters} requests were sent to backends without parameters"));
            }
        }
    }

    fn record_cold_arrival(&mut self, id: &str, proxy: usize) {
        let now = self.now;
        if self.cold.until.get(id).is_none_or(|until| *until <= now) {
            return;
        }
        self.cold.count += 1;
        let arrived = self.cold.arrived.entry(id.to_owned()).or_default();
        arrived.push_back(Arrival { at: now, proxy });
        while arrived.front().is_some_and(|arrival| now - arrival.at >= RATE_WINDOW) {
            arrived.pop_front();
        }
        self.cold.peak = self.cold.peak.max(arrived.len());
        let (per_s, overage, slack) = COLD_LIMITS;
        let most = per_s * overage + slack;
        if arrived.len() as f64 > most {
            let mut by_proxy: BTreeMap<usize, usize> = BTreeMap::new();
            for arrival in arrived.iter() {
                *by_proxy.entry(arrival.proxy).or_default() += 1;
            }
            let count = arrived.len();
            self.violations.push(format!(
                "cold backend {id} got {count} requests in a second, at most {most} are allowed; from proxies {by_proxy:?}"
            ));
        }
    }

    /// Injects or repairs a random fault around cold backends.
    pub fn random_cold_fault(&mut self) {
        let (zones, proxies) = (self.config.zones, self.proxies.len());
        let zone = self.rng.below(zones);
        let proxy = self.rng.below(proxies);
        match self.rng.below(8) {
            0..=2 => self.fault(Fault::RestartBackends(zone)),
            3 => self.restart_core(),
            4 => self.restart_proxies(proxy),
            5 => self.fault(Fault::DisconnectProxy(proxy)),
            6 => self.fault(Fault::RestoreLinks),
            _ => {
                self.evacuate(zone, true);
                let span = 500.0 + self.rng.fraction() * 3000.0;
                self.run(span);
                self.evacuate(zone, false);
            }
        }
    }

    /// Kills all core machines at once, and restarts them.
    fn restart_core(&mut self) {
        (0..self.cores.len()).for_each(|n| self.fault(Fault::KillCore(n)));
        let span = 100.0 + self.rng.fraction() * 1500.0;
        self.run(span);
        (0..self.cores.len()).for_each(|n| self.fault(Fault::StartCore(n)));
    }

    /// Kills every second proxy at once, starting with `first`, and restarts them.
    fn restart_proxies(&mut self, first: usize) {
        let some: Vec<usize> = (0..self.proxies.len()).filter(|p| p % 2 == first % 2).collect();
        some.iter().for_each(|p| self.fault(Fault::KillProxy(*p)));
        let span = 50.0 + self.rng.fraction() * 500.0;
        self.run(span);
        some.iter().for_each(|p| self.fault(Fault::StartProxy(*p)));
    }
}
