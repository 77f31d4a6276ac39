//! The simulation: links, load, operators, faults, and the checks of the invariants.

mod cold_backends;
mod metrics;

use crate::core::{Core, CoreOutput};
use crate::proxy::Proxy;
use crate::{APPLY_TIMEOUT, DRAIN_TIMEOUT, Millis, QUOTA_LIMITS, RECOVERY_TIME, Rng};
use fennelscale_membership::{Output, RegistryState};
use fennelscale_messages::Host;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::{Backend, ProxyToRegistry, RegistryToProxy};
use fennelscale_messages::store::{Change, StoreMessage, StoreRequest, StoreResponse};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The interval at which all machines advance their clocks, in ms.
const TICK: Millis = 60.0;
/// One-way delays within a region and between regions, in ms.
const LOCAL_DELAY: Millis = 1.0;
const REMOTE_DELAY: Millis = 55.0;
/// An operator tries the next core machine after this, in ms.
const CALL_TIMEOUT: Millis = 1000.0;
/// How old the platform's list is when it is read, in ms.
const LIST_AGE: Millis = 300.0;

/// The size and load of a simulation.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of core machines.
    pub cores: usize,
    /// The number of proxies.
    pub proxies: usize,
    /// The number of zones, spread over three regions.
    pub zones: usize,
    /// The number of tenants; each has a quota.
    pub tenants: usize,
    /// The number of routes.
    pub routes: usize,
    /// The number of backends.
    pub backends: usize,
    /// Requests per second of each tenant, as a fraction of its quota.
    pub load: f64,
    /// The quota of each tenant, per second.
    pub rate: f64,
    /// Requests per proxy and tick of 60 ms that are sent on to backends; 0 if backends are not simulated.
    pub pressure: usize,
    /// Whether the bytes of messages are counted, which takes time.
    pub measure: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            cores: 6,
            proxies: 10,
            zones: 6,
            tenants: 4,
            routes: 6,
            backends: 12,
            load: 0.6,
            rate: 40.0,
            pressure: 0,
            measure: false,
        }
    }
}

/// A fault, or the repair of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills the processes of a core machine.
    KillCore(usize),
    /// Kills a core machine and empties its disk.
    LoseDisk(usize),
    /// Restarts a core machine.
    StartCore(usize),
    /// Kills a proxy.
    KillProxy(usize),
    /// Restarts a proxy.
    StartProxy(usize),
    /// Disconnects a core machine from all others.
    DisconnectCore(usize),
    /// Drops messages from the first core machine to the second; the other direction works.
    DisconnectOneWay(usize, usize),
    /// Pauses a core machine for this many ms; messages to it arrive when it resumes.
    PauseCore(usize, u32),
    /// Removes a core machine permanently; an empty one at another address starts in its zone.
    ReplaceCore(usize),
    /// Stops all machines at once, and empties the disk of one core machine.
    PowerLoss(usize),
    /// Starts all machines.
    RestorePower,
    /// Disconnects a proxy from all core machines.
    DisconnectProxy(usize),
    /// Restores all links.
    RestoreLinks,
    /// A tenant sends this many times its usual load.
    Overload(usize, f64),
    /// Marks a backend as draining.
    DrainBackend(usize),
    /// Restarts all backends of a zone at the same addresses, each with a new id and cold.
    RestartBackends(usize),
}

enum Event {
    Store(usize, StoreMessage),
    Registry(usize, RegistryMessage),
    ToRegistry(usize, ProxyToRegistry),
    ToProxy(usize, Rc<RegistryToProxy>),
}

/// An event in transit. It is dropped if the incarnation of either end has changed.
struct InFlight {
    to: usize,
    event: Event,
    incarnations: (u64, u64),
}

#[derive(Clone, Debug)]
struct Call {
    name: String,
    revision: u64,
    request: StoreRequest,
    /// The core machine that was asked last, its number for the call, and when it was asked.
    asked: Option<(usize, u64, Millis)>,
    acknowledged: Option<Millis>,
    /// When every running proxy held this version or a newer one.
    in_force_at: Option<Millis>,
    sent: Millis,
}

/// An input to a registry.
type Input<'a> = Box<dyn FnOnce(&mut RegistryState, Millis) + 'a>;

/// The simulation of the whole system.
pub struct Simulation {
    /// Virtual time.
    pub now: Millis,
    config: Config,
    rng: Rng,
    cores: Vec<Core>,
    proxies: Vec<Proxy>,
    in_flight: BTreeMap<(u64, u64), InFlight>,
    /// When the last message on each connection is due: connections keep the order of messages.
    last_due: BTreeMap<(usize, usize, u8), u64>,
    sequence: u64,
    disconnected_cores: BTreeSet<usize>,
    disconnected_proxies: BTreeSet<usize>,
    disconnected_one_way: BTreeSet<(usize, usize)>,
    /// Paused core machines, and until when.
    paused: BTreeMap<usize, Millis>,
    /// Core machines that were removed permanently.
    removed: BTreeSet<usize>,
    /// Calls that registries made themselves: machine and number.
    registry_calls: BTreeSet<(usize, u64)>,
    calls: Vec<Call>,
    revisions: BTreeMap<String, u64>,
    backends: Vec<Backend>,
    /// Past backend lists of the platform, for readers that see old ones.
    list_history: VecDeque<(Millis, Vec<Backend>)>,
    drained_at: BTreeMap<String, Millis>,
    cold: cold_backends::ColdBackends,
    overloads: BTreeMap<usize, f64>,
    admitted: BTreeMap<String, VecDeque<Millis>>,
    /// The time of the last fault.
    last_fault: Millis,
    /// Whether `run` returns at the next acknowledgement.
    stop_at_acknowledgement: bool,
    /// The number of admitted requests.
    pub served: usize,
    /// The number of refused requests.
    pub refused: usize,
    /// Bytes between stores, between registries, and between registries and proxies.
    pub bytes: [usize; 3],
    /// Violations of the invariants.
    pub violations: Vec<String>,
}

impl Simulation {
    /// Starts all machines on empty disks and waits until the first configuration is acknowledged.
    pub fn new(seed: u64, config: Config) -> Self {
        let zones: BTreeMap<String, String> =
            (0..config.zones).map(|z| (format!("z{z}"), format!("r{}", z % 3))).collect();
        let backends = (0..config.backends).map(|n| Backend {
            id: format!("b{n}"),
            service: "s".into(),
            address: format!("10.0.0.{n}:1"),
            zone: format!("z{}", n % config.zones),
            slots: 4,
            draining: false,
            cold_ms: 0,
        });
        let mut simulation = Self {
            now: 0.0,
            rng: Rng::new(seed),
            cores: (0..config.cores).map(|n| Core::new(n, config.zones, 3)).collect(),
            proxies: (0..config.proxies).map(|n| Proxy::new(n, &zones, config.pressure > 0)).collect(),
            in_flight: BTreeMap::new(),
            last_due: BTreeMap::new(),
            sequence: 0,
            disconnected_cores: BTreeSet::new(),
            disconnected_proxies: BTreeSet::new(),
            disconnected_one_way: BTreeSet::new(),
            paused: BTreeMap::new(),
            removed: BTreeSet::new(),
            registry_calls: BTreeSet::new(),
            calls: Vec::new(),
            revisions: BTreeMap::new(),
            backends: backends.collect(),
            list_history: VecDeque::new(),
            drained_at: BTreeMap::new(),
            cold: cold_backends::ColdBackends::default(),
            overloads: BTreeMap::new(),
            admitted: BTreeMap::new(),
            last_fault: 0.0,
            stop_at_acknowledgement: false,
            served: 0,
            refused: 0,
            bytes: [0; 3],
            violations: Vec::new(),
            config,
        };
        for n in 0..simulation.cores.len() {
            simulation.start_core(n, true);
        }
        for proxy in &mut simulation.proxies {
            proxy.start(0.0);
        }
        simulation.run(2500.0);
        simulation.send_first_config();
        simulation.run(6000.0);
        if simulation.calls[0].acknowledged.is_none() {
            simulation.violations.push("the first configuration was never acknowledged".into());
        }
        simulation
    }

    fn send_first_config(&mut self) {
        let mut changes = vec![change("s:s", cold_backends::service_body(), 1)];
        for n in 0..self.config.tenants {
            changes.push(change(&format!("t:t{n}"), tenant(n, self.config.rate, 1), 1));
        }
        for n in 0..self.config.routes {
            changes.push(route(n, 1));
        }
        for change in &changes {
            self.revisions.insert(change.name.clone(), 1);
        }
        let request = StoreRequest::Change(changes);
        self.calls.push(Call {
            name: "s:s".into(),
            revision: 1,
            request,
            asked: None,
            acknowledged: None,
            in_force_at: None,
            sent: self.now,
        });
    }

    /// An operator sends a new version of a random route, and retries until the outcome is known.
    pub fn change_route(&mut self) {
        let n = self.rng.below(self.config.routes);
        let name = format!("r:r{n}");
        // Each item has one operator, who sends the next version after the outcome of the last is known.
        if self.calls.iter().any(|call| call.name == name && call.acknowledged.is_none()) {
            return;
        }
        let revision = self.revisions.get(&name).copied().unwrap_or(0) + 1;
        self.revisions.insert(name.clone(), revision);
        let request = StoreRequest::Change(vec![route(n, revision)]);
        self.calls.push(Call {
            name,
            revision,
            request,
            asked: None,
            acknowledged: None,
            in_force_at: None,
            sent: self.now,
        });
    }

    fn seeds(&self) -> Vec<Host> {
        let there = self.cores.iter().enumerate().filter(|(n, _)| !self.removed.contains(n));
        there.take(3).map(|(_, core)| core.member.host).collect()
    }

    fn start_core(&mut self, n: usize, bootstrap: bool) {
        if self.removed.contains(&n) {
            return;
        }
        let seeds = self.seeds();
        self.cores[n].start(self.now, &seeds, bootstrap);
        self.registry(n, Box::new(|_, _| {}));
    }

    /// Injects a fault or repairs one.
    pub fn fault(&mut self, fault: Fault) {
        self.last_fault = self.now;
        match fault {
            Fault::KillCore(n) => self.cores[n].kill(),
            Fault::LoseDisk(n) => self.cores[n].wipe(),
            Fault::StartCore(n) => self.start_core(n, false),
            Fault::KillProxy(n) => self.proxies[n].kill(),
            Fault::StartProxy(n) => self.proxies[n].start(self.now),
            Fault::DisconnectCore(n) => drop(self.disconnected_cores.insert(n)),
            Fault::DisconnectProxy(n) => drop(self.disconnected_proxies.insert(n)),
            Fault::DisconnectOneWay(from, to) => drop(self.disconnected_one_way.insert((from, to))),
            Fault::PauseCore(n, span) => drop(self.paused.insert(n, self.now + f64::from(span))),
            Fault::ReplaceCore(n) => self.replace(n),
            Fault::PowerLoss(n) => {
                self.cores[n].wipe();
                self.cores.iter_mut().for_each(Core::kill);
                self.proxies.iter_mut().for_each(Proxy::kill);
                self.paused.clear();
            }
            Fault::RestorePower => {
                (0..self.cores.len()).for_each(|n| self.start_core(n, false));
                let now = self.now;
                self.proxies.iter_mut().for_each(|proxy| proxy.start(now));
            }
            Fault::RestoreLinks => {
                self.disconnected_one_way.clear();
                self.disconnected_cores.clear();
                self.disconnected_proxies.clear();
            }
            Fault::Overload(n, x) => drop(self.overloads.insert(n, x)),
            Fault::RestartBackends(zone) => self.restart_backends(zone),
            Fault::DrainBackend(n) => {
                self.backends[n].draining = true;
                self.drained_at.entry(self.backends[n].id.clone()).or_insert(self.now);
            }
        }
        self.close_connections();
    }

    /// Removes a core machine permanently and starts an empty one in its zone.
    fn replace(&mut self, n: usize) {
        self.cores[n].kill();
        self.removed.insert(n);
        let fresh = self.cores.len();
        self.cores.push(Core::in_place_of(&self.cores[n], fresh));
        self.start_core(fresh, false);
    }

    /// Injects a random fault of the kinds that [`Self::random_fault`] leaves out: within the fault
    /// tolerance, one at a time.
    pub fn random_hard_fault(&mut self) {
        let here = |n: &usize| !self.removed.contains(n);
        let there: Vec<usize> = (0..self.cores.len()).filter(here).collect();
        let calm = self.now - self.last_fault > RECOVERY_TIME
            && self.disconnected_cores.is_empty()
            && self.disconnected_one_way.is_empty()
            && there.iter().all(|n| self.cores[*n].replica.is_some());
        let n = there[self.rng.below(there.len())];
        let to = there[self.rng.below(there.len())];
        match self.rng.below(5) {
            0 => {
                let span = 100 + (self.rng.fraction() * 2500.0) as u32;
                self.fault(Fault::PauseCore(n, span));
            }
            1 | 2 if calm && n != to => self.fault(Fault::DisconnectOneWay(n, to)),
            3 if calm && self.cores.len() < 10 => self.fault(Fault::ReplaceCore(n)),
            4 if calm => {
                self.fault(Fault::PowerLoss(n));
                let span = 100.0 + self.rng.fraction() * 2000.0;
                self.run(span);
                self.fault(Fault::RestorePower);
            }
            _ => {}
        }
    }

    /// Injects or repairs a random fault. At most as many core machines as in one region are down at once,
    /// and at most one disk is lost.
    pub fn random_fault(&mut self) {
        let (cores, proxies) = (self.cores.len(), self.proxies.len());
        let here = |n: &usize| !self.removed.contains(n);
        let down: Vec<usize> = (0..cores).filter(here).filter(|n| self.cores[*n].replica.is_none()).collect();
        let n = self.rng.below(cores);
        if self.removed.contains(&n) {
            return;
        }
        let p = self.rng.below(proxies);
        let fault = match self.rng.below(10) {
            0 | 1 if down.len() + self.disconnected_cores.len() < 2 => Fault::KillCore(n),
            2 if down.is_empty()
                && self.disconnected_cores.is_empty()
                && self.now - self.last_fault > RECOVERY_TIME =>
            {
                Fault::LoseDisk(n)
            }
            3 if down.len() + self.disconnected_cores.len() < 2 => Fault::DisconnectCore(n),
            4 => Fault::DisconnectProxy(p),
            5 => Fault::KillProxy(p),
            6 => Fault::RestoreLinks,
            7 => Fault::Overload(
                self.rng.below(self.config.tenants),
                if self.rng.fraction() < 0.5 { 6.0 } else { 1.0 },
            ),
            8 if self.drained_at.len() < 3 => Fault::DrainBackend(self.rng.below(self.backends.len())),
            _ => match down.first() {
                Some(n) => Fault::StartCore(*n),
                None => match (0..proxies).find(|p| !self.proxies[*p].up) {
                    Some(p) => Fault::StartProxy(p),
                    None => return,
                },
            },
        };
        self.fault(fault);
    }

    /// Closes connections to machines that died. Disconnected ones stay silent.
    fn close_connections(&mut self) {
        let now = self.now;
        for p in 0..self.proxies.len() {
            let Some((n, incarnation)) = self.proxies[p].session else { continue };
            if self.cores[n].incarnations != incarnation {
                self.proxies[p].on_session_lost(now);
            }
        }
        // A registry notices that the connection of a dead proxy was closed.
        let dead: Vec<Host> = self.proxies.iter().filter(|p| !p.up).map(|p| p.host).collect();
        for n in 0..self.cores.len() {
            for host in &dead {
                let host = *host;
                self.registry(n, Box::new(|registry, now| registry.on_session_closed(now, host)));
            }
        }
    }

    fn message_size<T: bitcode::Encode>(&self, message: &T) -> usize {
        if self.config.measure { fennelscale_messages::encode_frame(message).len() } else { 0 }
    }

    fn latency(&mut self, local: bool) -> Millis {
        (if local { LOCAL_DELAY } else { REMOTE_DELAY }) * (1.0 + 0.3 * self.rng.fraction())
    }

    fn send(&mut self, line: (usize, usize, u8), local: bool, sent: InFlight) {
        let latency = self.latency(local);
        let due =
            (((self.now + latency) * 1000.0) as u64).max(self.last_due.get(&line).copied().unwrap_or(0));
        self.last_due.insert(line, due);
        self.sequence += 1;
        self.in_flight.insert((due, self.sequence), sent);
    }

    fn core_at(&self, host: Host) -> Option<usize> {
        (host.0 as usize).checked_sub(1).filter(|n| *n < self.cores.len())
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.disconnected_cores.contains(&a) || self.disconnected_cores.contains(&b)
    }

    fn send_between_cores(&mut self, from: usize, to: Host, event: Event, line: u8, bytes: usize) {
        let Some(to) = self.core_at(to) else { return };
        self.bytes[usize::from(line)] += bytes;
        if self.is_cut(from, to) || self.disconnected_one_way.contains(&(from, to)) {
            return;
        }
        let local = self.cores[from].member.region == self.cores[to].member.region;
        let incarnations = (self.cores[from].incarnations, self.cores[to].incarnations);
        self.send((from, to, line), local, InFlight { to, event, incarnations });
    }

    fn store(&mut self, n: usize, outputs: Vec<CoreOutput>) {
        for act in outputs {
            match act {
                CoreOutput::Send(to, message) => {
                    let bytes = self.message_size(&message);
                    self.send_between_cores(n, to, Event::Store(n, message), 0, bytes);
                }
                CoreOutput::Answer(id, response) => self.handle_response(n, id, &response),
            }
        }
        // The registry may act on what its store has reported.
        self.registry(n, Box::new(|_, _| {}));
    }

    fn handle_response(&mut self, n: usize, id: u64, response: &StoreResponse) {
        if self.registry_calls.remove(&(n, id)) {
            self.registry(n, Box::new(RegistryState::on_maintenance_answer));
            return;
        }
        let now = self.now;
        let call = self
            .calls
            .iter_mut()
            .find(|call| call.asked.is_some_and(|(at, number, _)| (at, number) == (n, id)));
        if let Some(call) = call.filter(|call| call.acknowledged.is_none()) {
            match response {
                StoreResponse::Done => call.acknowledged = Some(now),
                StoreResponse::Unclear => call.asked = None,
                other => {
                    self.violations.push(format!("{} {} was answered {other:?}", call.name, call.revision))
                }
            }
        }
    }

    /// Passes an input to a registry and carries out its outputs.
    fn registry(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(registry) = self.cores[n].registry.as_mut() else { return };
        input(registry, now);
        for out in registry.take_outputs() {
            match out {
                Output::SendToRegistry(to, message) => {
                    let bytes = self.message_size(&message);
                    self.send_between_cores(n, to, Event::Registry(n, message), 1, bytes);
                }
                Output::SendToProxy(host, message) => self.send_to_proxy(n, host, message),
                Output::ReadBackendList => {
                    let seen = self.list_history.iter().rev().find(|(at, _)| *at <= now - LIST_AGE);
                    let backends = seen.map_or_else(|| self.backends.clone(), |(_, list)| list.clone());
                    let backends = self.as_read(backends);
                    self.registry(n, Box::new(|registry, now| registry.on_list_read(now, Some(backends))));
                }
                Output::StoreProxyCount(proxies) => {
                    let (id, outputs) = self.cores[n].submit(
                        now,
                        StoreRequest::Note(
                            fennelscale_membership::PROXY_COUNT_NAME.to_owned(),
                            proxies.to_string(),
                        ),
                    );
                    self.registry_calls.insert((n, id));
                    self.store(n, outputs);
                }
                Output::CloseSession(host) => {
                    let proxy = self.proxies.iter_mut().find(|p| p.host == host);
                    if let Some(proxy) = proxy.filter(|p| p.session.is_some_and(|(core, _)| core == n)) {
                        proxy.on_session_lost(now);
                    }
                }
                // The host program handles stored events and their readers.
                Output::WriteMaintenanceStep(_)
                | Output::StoreEvents(_)
                | Output::ReadEvents(..)
                | Output::DeliverEvents(..) => {}
                Output::LookUpRequest(..)
                | Output::DeliverRequestRecords(..)
                | Output::DeliverRequestRecord(..)
                | Output::Log(..) => {}
            }
        }
    }

    fn send_to_proxy(&mut self, n: usize, host: Host, message: Rc<RegistryToProxy>) {
        let Some(p) = self.proxies.iter().position(|p| p.host == host) else { return };
        self.bytes[2] += self.message_size(&*message);
        if self.disconnected_proxies.contains(&p) || self.proxies[p].session.is_none_or(|(core, _)| core != n)
        {
            return;
        }
        let local = self.cores[n].member.region == self.proxies[p].region;
        let incarnations = (self.cores[n].incarnations, self.proxies[p].incarnation);
        self.send((n, p, 2), local, InFlight { to: p, event: Event::ToProxy(n, message), incarnations });
    }

    fn send_to_registry(&mut self, p: usize, messages: Vec<ProxyToRegistry>) {
        for message in messages {
            let Some((n, incarnation)) = self.proxies[p].session else { return };
            self.bytes[2] += self.message_size(&message);
            if self.disconnected_proxies.contains(&p) {
                continue;
            }
            let local = self.cores[n].member.region == self.proxies[p].region;
            let incarnations = (self.proxies[p].incarnation, incarnation);
            self.send(
                (p, n, 3),
                local,
                InFlight { to: n, event: Event::ToRegistry(p, message), incarnations },
            );
        }
    }

    /// All core machines, sorted by distance to a proxy.
    fn nearest_cores(&self, p: usize) -> Vec<usize> {
        let proxy = &self.proxies[p];
        let far = |core: &Core| (core.member.zone != proxy.zone, core.member.region != proxy.region);
        let mut cores: Vec<usize> = (0..self.cores.len()).collect();
        cores.sort_by_key(|n| (far(&self.cores[*n]), *n));
        cores
    }

    /// Connects a proxy without a session to a core machine.
    fn connect(&mut self, p: usize) {
        let (now, cores) = (self.now, self.nearest_cores(p));
        let Some(n) = self.proxies[p].next_core(now, &cores) else { return };
        if self.cores[n].registry.is_none() || self.disconnected_proxies.contains(&p) {
            self.proxies[p].on_connect_failed(now, n);
            return;
        }
        let hello = self.proxies[p].on_connected(now, n, self.cores[n].incarnations);
        self.send_to_registry(p, vec![hello]);
    }

    /// Moves a proxy whose registry is out of contact to another registry that it can reach.
    fn switch_registry(&mut self, p: usize) {
        let (now, cores) = (self.now, self.nearest_cores(p));
        if self.disconnected_proxies.contains(&p) {
            return;
        }
        for n in self.proxies[p].alternatives(now, &cores) {
            if self.cores[n].registry.is_some() {
                return self.proxies[p].on_session_lost(now);
            }
            self.proxies[p].on_connect_failed(now, n);
        }
    }

    fn deliver(&mut self, sent: InFlight) {
        let to_core = !matches!(sent.event, Event::ToProxy(..));
        if let Some(until) = self.paused.get(&sent.to).filter(|until| to_core && **until > self.now) {
            // Delivered when the machine resumes, in the order of arrival.
            self.sequence += 1;
            self.in_flight.insert(((until * 1000.0).ceil() as u64, self.sequence), sent);
            return;
        }
        let InFlight { to, event, incarnations } = sent;
        match event {
            Event::Store(from, message) => {
                if (self.cores[from].incarnations, self.cores[to].incarnations) == incarnations
                    && !self.is_cut(from, to)
                {
                    let (now, host) = (self.now, self.cores[from].member.host);
                    let outputs =
                        self.cores[to].store(now, |replica, now| replica.receive(now, host, message));
                    self.store(to, outputs);
                }
            }
            Event::Registry(from, message) => {
                if (self.cores[from].incarnations, self.cores[to].incarnations) == incarnations
                    && !self.is_cut(from, to)
                {
                    let host = self.cores[from].member.host;
                    self.registry(
                        to,
                        Box::new(|registry, now| registry.receive_from_registry(now, host, message)),
                    );
                }
            }
            Event::ToRegistry(p, message) => {
                let stands = (self.proxies[p].incarnation, self.cores[to].incarnations) == incarnations
                    && self.proxies[p].up;
                if stands
                    && !self.disconnected_proxies.contains(&p)
                    && self.proxies[p].session.is_some_and(|(n, _)| n == to)
                {
                    let host = self.proxies[p].host;
                    self.registry(
                        to,
                        Box::new(|registry, now| registry.receive_from_proxy(now, host, message)),
                    );
                }
            }
            Event::ToProxy(n, message) => {
                let proxy = &self.proxies[to];
                let stands = (self.cores[n].incarnations, proxy.incarnation) == incarnations && proxy.up;
                if stands
                    && !self.disconnected_proxies.contains(&to)
                    && proxy.session.is_some_and(|(core, _)| core == n)
                {
                    let mut messages = Vec::new();
                    self.proxies[to].receive(self.now, &message, &mut messages);
                    self.send_to_registry(to, messages);
                    if matches!(*message, RegistryToProxy::Heartbeat { .. }) {
                        self.switch_registry(to);
                    }
                }
            }
        }
    }

    fn send_operator_calls(&mut self) {
        let now = self.now;
        for at in 0..self.calls.len() {
            let call = &self.calls[at];
            let waits = call.asked.is_some_and(|(.., since)| now - since < CALL_TIMEOUT);
            if call.acknowledged.is_some() || waits {
                continue;
            }
            let n = self.rng.below(self.cores.len());
            if self.cores[n].replica.is_none() || self.paused.contains_key(&n) {
                continue;
            }
            let request = self.calls[at].request.clone();
            let (id, outputs) = self.cores[n].submit(now, request);
            self.calls[at].asked = Some((n, id, now));
            self.store(n, outputs);
        }
    }

    fn send_client_requests(&mut self) {
        let (rate, load) = (self.config.rate, self.config.load);
        for t in 0..self.config.tenants {
            let x = self.overloads.get(&t).copied().unwrap_or(1.0);
            let mut expected = rate * load * x * TICK / 1000.0;
            while expected > 0.0 {
                if self.rng.fraction() < expected {
                    let p = self.rng.below(self.proxies.len());
                    let mut messages = Vec::new();
                    self.proxies[p].request(self.now, &format!("t{t}"), &mut messages);
                    self.send_to_registry(p, messages);
                }
                expected -= 1.0;
            }
        }
    }

    fn check_invariants(&mut self) {
        let now = self.now;
        for proxy in &mut self.proxies {
            self.violations.append(&mut proxy.violations);
            self.refused += std::mem::take(&mut proxy.refused);
            for tenant in std::mem::take(&mut proxy.admitted) {
                self.served += 1;
                self.admitted.entry(tenant).or_default().push_back(now);
            }
        }
        let (window, over, slack) = QUOTA_LIMITS;
        let most = (self.config.rate * window / 1000.0 + self.config.rate) * (1.0 + over) + slack;
        for (tenant, times) in &mut self.admitted {
            while times.front().is_some_and(|at| now - at >= window) {
                times.pop_front();
            }
            if times.len() as f64 > most {
                self.violations.push(format!(
                    "{} requests of {tenant} were admitted within {window} ms, at most {most} are allowed",
                    times.len()
                ));
            }
        }
        let mut held = 0;
        for registry in self.cores.iter().filter_map(|core| core.registry.as_ref()) {
            if held & registry.held_duties(now) != 0 {
                self.violations.push("two registries hold the same duty".into());
            }
            held |= registry.held_duties(now);
        }
        self.record_propagation();
        if now - self.last_fault > RECOVERY_TIME {
            self.check_connected_proxies();
        }
    }

    fn record_propagation(&mut self) {
        let (now, proxies) = (self.now, &self.proxies);
        let open = self.calls.iter_mut().filter(|c| c.acknowledged.is_some() && c.in_force_at.is_none());
        for call in open {
            let holds = |proxy: &Proxy| proxy.version(&call.name) >= call.revision;
            if proxies.iter().filter(|proxy| proxy.up).all(holds) {
                call.in_force_at = Some(now);
            }
        }
    }

    fn check_connected_proxies(&mut self) {
        let now = self.now;
        let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
        let due =
            self.calls.iter().filter(|call| call.acknowledged.is_some_and(|at| now - at > APPLY_TIMEOUT));
        for call in due.filter(|call| call.name != "s:s") {
            let known = newest.entry(&call.name).or_default();
            *known = call.revision.max(*known);
        }
        let drained = self
            .drained_at
            .iter()
            .filter(|(_, at)| now - **at > DRAIN_TIMEOUT + LIST_AGE)
            .map(|(id, _)| id.clone());
        let drained: Vec<String> = drained.collect();
        let mut violations = Vec::new();
        let cut = &self.disconnected_proxies;
        let in_touch = self.proxies.iter_mut().enumerate().filter(|(n, p)| p.up && !cut.contains(n));
        for (_, proxy) in in_touch.filter(|(_, p)| p.routing_state.is_ready()) {
            for (name, revision) in &newest {
                let version = proxy.version(name);
                if version < *revision {
                    violations
                        .push(format!("{} holds {name} {version}, {revision} was acknowledged", proxy.host));
                }
            }
            if drained.is_empty() {
                continue;
            }
            let ready = proxy.routing_state.backends(now, "s").into_iter().filter(|known| known.ready);
            let late: Vec<String> =
                ready.map(|known| known.backend.id).filter(|id| drained.contains(id)).collect();
            if !late.is_empty() {
                violations.push(format!("{} still sends to {late:?}", proxy.host));
            }
        }
        self.violations.append(&mut violations);
    }

    /// Advances virtual time by `span` ms, or until an invariant is violated.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end && self.violations.is_empty() {
            let tick = self.now + TICK;
            while let Some(entry) = self.in_flight.first_entry() {
                let due = entry.key().0 as f64 / 1000.0;
                if due > tick {
                    break;
                }
                let sent = entry.remove();
                self.now = self.now.max(due);
                let before = if self.stop_at_acknowledgement { self.acknowledged() } else { 0 };
                self.deliver(sent);
                if self.stop_at_acknowledgement && self.acknowledged() > before {
                    return;
                }
            }
            self.now = tick;
            self.list_history.push_back((self.now, self.backends.clone()));
            while self.list_history.len() > 12 {
                self.list_history.pop_front();
            }
            let now = self.now;
            self.paused.retain(|_, until| *until > now);
            for n in (0..self.cores.len()).filter(|n| !self.paused.contains_key(n)).collect::<Vec<_>>() {
                let outputs = self.cores[n].store(now, |replica, now| replica.tick(now));
                self.store(n, outputs);
                self.registry(n, Box::new(RegistryState::tick));
            }
            for p in (0..self.proxies.len()).filter(|p| self.proxies[*p].up).collect::<Vec<_>>() {
                if self.proxies[p].session.is_none() {
                    self.connect(p);
                }
                let mut messages = Vec::new();
                self.proxies[p].tick(self.now, &mut messages);
                self.send_to_registry(p, messages);
            }
            self.send_operator_calls();
            self.send_client_requests();
            self.send_backend_requests();
            self.check_invariants();
        }
    }

    /// Runs exactly until a change is acknowledged, at most `most` ms; returns the machine that acknowledged
    /// it.
    pub fn run_to_acknowledged(&mut self, most: Millis) -> Option<usize> {
        let (begun, before) = (self.now, self.acknowledged());
        self.stop_at_acknowledgement = true;
        while self.acknowledged() == before && self.now - begun < most && self.violations.is_empty() {
            self.run(TICK);
        }
        self.stop_at_acknowledgement = false;
        let last = self.calls.iter().rfind(|call| call.acknowledged == Some(self.now))?;
        last.asked.map(|(machine, ..)| machine)
    }

    /// Runs until a condition is met, at most `most` ms; returns how long it took.
    pub fn run_until(&mut self, most: Millis, met: impl Fn(&Self) -> bool) -> Option<Millis> {
        let begun = self.now;
        while !met(self) {
            if self.now - begun > most || !self.violations.is_empty() {
                return None;
            }
            self.run(TICK / 2.0);
        }
        Some(self.now - begun)
    }

    /// All duties that are held by any running machine.
    pub fn held_duties(&self) -> u64 {
        let registries = self.cores.iter().filter_map(|core| core.registry.as_ref());
        registries.fold(0, |all, registry| all | registry.held_duties(self.now))
    }

    /// The machine that holds a duty.
    pub fn holder(&self, duty: u64) -> Option<usize> {
        let holds = |core: &Core| {
            core.registry.as_ref().is_some_and(|registry| registry.held_duties(self.now) & duty != 0)
        };
        self.cores.iter().position(holds)
    }

    /// Whether every running proxy serves.
    pub fn all_serve(&self) -> bool {
        self.proxies.iter().filter(|proxy| proxy.up).all(|proxy| proxy.routing_state.is_ready())
    }

    /// Whether every change is acknowledged and held by every running proxy.
    pub fn all_in_force(&self) -> bool {
        self.calls.iter().all(|call| call.in_force_at.is_some())
    }

    /// Repairs all faults. Then every acknowledged change must be in force everywhere, and the outcome of
    /// every call must be known.
    pub fn recover(&mut self) {
        self.fault(Fault::RestoreLinks);
        self.overloads.clear();
        for n in 0..self.cores.len() {
            self.start_core(n, false);
        }
        for p in 0..self.proxies.len() {
            self.proxies[p].start(self.now);
        }
        self.run(RECOVERY_TIME + APPLY_TIMEOUT + 6000.0);
        let open = self.calls.iter().filter(|call| call.acknowledged.is_none()).count();
        if open > 0 {
            self.violations.push(format!("{open} calls never had a known outcome"));
        }
        let unready = self.proxies.iter().filter(|p| !p.routing_state.is_ready()).count();
        if unready > 0 {
            self.violations.push(format!("{unready} proxies never became ready again"));
        }
    }
}

fn change(name: &str, body: String, revision: u64) -> Change {
    Change { name: name.to_owned(), revision, host: String::new(), body: Some(body) }
}

fn tenant(n: usize, rate: f64, revision: u64) -> String {
    format!(
        r#"{{"name":"t{n}","apiKeys":["k{n}"],"ratePerS":{rate},"burst":{rate},"revision":"{revision:08x}"}}"#
    )
}

fn route(n: usize, revision: u64) -> Change {
    let body = format!(
        r#"{{"name":"r{n}","routeType":"idempotent","targetLatency":"500ms","revision":"{revision:08x}","matchCriteria":{{"pathPrefix":"/r{n}/"}},"action":{{"service":"s","timeout":"3000ms"}}}}"#
    );
    Change { name: format!("r:r{n}"), revision, host: "h".into(), body: Some(body) }
}
