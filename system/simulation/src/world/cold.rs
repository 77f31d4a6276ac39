//! Backends that come back cold under more requests than all of them bear, and what each of them gets.

use super::{Call, Fault, Simulation};
use crate::Millis;
use doorcourse::Outcome;
use fennelscale_messages::session::Backend;
use fennelscale_messages::store::StoreRequest;
use std::collections::{BTreeMap, VecDeque};

/// The rule's figures for cold backends: requests a second that one bears, overage, slack.
const COLD: (f64, f64, f64) = (6.7, 1.5, 5.0);
/// A backend is cold for so long after its start.
const COLD_TIME: Millis = 3000.0;
/// The rule counts what arrives within this.
const SECOND: Millis = 1000.0;
/// How long a backend works on a request: at least, and so much longer by chance.
const WORK: (Millis, Millis) = (100.0, 300.0);

/// A request that arrived at a cold backend: when, and which proxy sent it.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    proxy: usize,
}

/// What is known of the backends' lives, and what they got.
#[derive(Debug, Default)]
pub(super) struct ColdBackends {
    /// Until when each is cold, by its id.
    until: BTreeMap<String, Millis>,
    /// What arrived at each cold one within the last second.
    arrived: BTreeMap<String, VecDeque<Arrival>>,
    /// Starts so far.
    starts: usize,
    /// Requests that arrived at cold ones.
    count: usize,
    /// The most that one got within a second.
    peak: usize,
}

/// The item of the service, as an operator sends it.
pub(super) fn service_body() -> String {
    let per_s = COLD.0;
    format!(r#"{{"name":"s","coldStart":"3s","coldPerS":{per_s},"revision":"00000001"}}"#)
}

impl Simulation {
    /// Requests that cold backends got.
    pub fn cold_arrivals(&self) -> usize {
        self.cold.count
    }

    /// The most requests that one cold backend got within a second.
    pub fn cold_peak(&self) -> usize {
        self.cold.peak
    }

    /// An operator empties a zone, or takes it back. Its backends turn cold as it is taken back.
    pub fn evacuate(&mut self, zone: usize, on: bool) {
        let zone = format!("z{zone}");
        if !on {
            let ids = self.backends.iter().filter(|b| b.zone == zone).map(|b| b.id.clone());
            let until = self.now + COLD_TIME;
            self.cold.until.extend(ids.map(|id| (id, until)));
        }
        self.calls.push(Call {
            name: format!("e:{zone}"),
            revision: 0,
            ask: StoreRequest::Evacuate(zone, on, None),
            asked: None,
            acknowledged: None,
            everywhere: None,
            sent: self.now,
        });
    }

    /// All backends of a zone die and come back at their addresses, each with another id and cold.
    pub(super) fn restart_backends(&mut self, zone: usize) {
        let (zone, until) = (format!("z{zone}"), self.now + COLD_TIME);
        for backend in self.backends.iter_mut().filter(|backend| backend.zone == zone) {
            self.cold.starts += 1;
            backend.id = format!("{}-{}", backend.address, self.cold.starts);
            self.cold.until.insert(backend.id.clone(), until);
        }
    }

    /// A list as it is told now: how long each is cold is as of the reading.
    pub(super) fn as_read(&self, mut list: Vec<Backend>) -> Vec<Backend> {
        for backend in &mut list {
            let until = self.cold.until.get(&backend.id).copied().unwrap_or_default();
            backend.cold_ms = (until - self.now).max(0.0) as u32;
        }
        list
    }

    /// Clients press on all proxies: what these send, and how it ends.
    pub(super) fn press(&mut self) {
        let (now, pressure) = (self.now, self.config.pressure);
        if pressure == 0 {
            return;
        }
        for p in 0..self.proxies.len() {
            // Clients leave a proxy that is cut off: the directory no longer names it.
            let left = self.cut_proxies.contains(&p) && self.proxies[p].session.is_none();
            for sent in self.proxies[p].press(now, if left { 0 } else { pressure }) {
                let stands = self.backends.iter().any(|backend| *backend.id == *sent.backend);
                let (outcome, after) = if stands {
                    self.arrives_at(&sent.backend, p);
                    (Outcome::Served, WORK.0 + self.chance.fraction() * WORK.1)
                } else {
                    (Outcome::Misdirected, self.way(false) * 2.0)
                };
                self.proxies[p].ends(now, sent, outcome, after);
            }
            let without_terms = self.proxies[p].sent_without_terms();
            if without_terms > 0 {
                self.violations.push(format!("{without_terms} requests were sent to backends without terms"));
            }
        }
    }

    fn arrives_at(&mut self, id: &str, proxy: usize) {
        let now = self.now;
        if self.cold.until.get(id).is_none_or(|until| *until <= now) {
            return;
        }
        self.cold.count += 1;
        let arrived = self.cold.arrived.entry(id.to_owned()).or_default();
        arrived.push_back(Arrival { at: now, proxy });
        while arrived.front().is_some_and(|arrival| now - arrival.at >= SECOND) {
            arrived.pop_front();
        }
        self.cold.peak = self.cold.peak.max(arrived.len());
        let (per_s, overage, slack) = COLD;
        let most = per_s * overage + slack;
        if arrived.len() as f64 > most {
            let mut by_proxy: BTreeMap<usize, usize> = BTreeMap::new();
            for arrival in arrived.iter() {
                *by_proxy.entry(arrival.proxy).or_default() += 1;
            }
            let count = arrived.len();
            self.violations.push(format!(
                "cold backend {id} got {count} requests in a second, {most} are borne; from proxies {by_proxy:?}"
            ));
        }
    }

    /// Something goes wrong, or right again, where backends come back cold: by chance.
    pub fn random_cold_fault(&mut self) {
        let (zones, proxies) = (self.config.zones, self.proxies.len());
        let zone = self.chance.below(zones);
        let proxy = self.chance.below(proxies);
        match self.chance.below(8) {
            0..=2 => self.fault(Fault::RestartBackends(zone)),
            3 => self.restart_core(),
            4 => self.restart_proxies(proxy),
            5 => self.fault(Fault::DisconnectProxy(proxy)),
            6 => self.fault(Fault::RestoreLinks),
            _ => {
                self.evacuate(zone, true);
                let span = 500.0 + self.chance.fraction() * 3000.0;
                self.run(span);
                self.evacuate(zone, false);
            }
        }
    }

    /// All core machines die at once, and come back.
    fn restart_core(&mut self) {
        (0..self.cores.len()).for_each(|n| self.fault(Fault::KillCore(n)));
        let span = 100.0 + self.chance.fraction() * 1500.0;
        self.run(span);
        (0..self.cores.len()).for_each(|n| self.fault(Fault::StartCore(n)));
    }

    /// Every second proxy dies at once, from one on, and comes back.
    fn restart_proxies(&mut self, first: usize) {
        let some: Vec<usize> = (0..self.proxies.len()).filter(|p| p % 2 == first % 2).collect();
        some.iter().for_each(|p| self.fault(Fault::KillProxy(*p)));
        let span = 50.0 + self.chance.fraction() * 500.0;
        self.run(span);
        some.iter().for_each(|p| self.fault(Fault::StartProxy(*p)));
    }
}
