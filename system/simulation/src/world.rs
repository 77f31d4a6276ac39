//! The world: links, load, operators, faults, and what is looked at.

mod cold;
mod figures;

use crate::core::{Core, Does};
use crate::proxy::Proxy;
use crate::{APPLY_TIMEOUT, DRAIN_TIMEOUT, Millis, QUOTA_LIMITS, RECOVERY_TIME, Rng};
use fennelscale_membership::{Output, RegistryState};
use fennelscale_messages::Host;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::{Backend, ProxyToRegistry, RegistryToProxy};
use fennelscale_messages::store::{Change, StoreMessage as StoreWord, StoreRequest, StoreResponse};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Time passes for all machines this often.
const TICK: Millis = 60.0;
/// Ways within a region and between two, in ms.
const NEAR: Millis = 1.0;
const FAR: Millis = 55.0;
/// An operator asks the next core machine after this.
const PATIENCE: Millis = 1000.0;
/// How old the platform's list is when it is read.
const LAG: Millis = 300.0;

/// How large a world is.
#[derive(Clone, Debug)]
pub struct Config {
    /// Core machines.
    pub cores: usize,
    /// Proxies.
    pub proxies: usize,
    /// Zones; three regions share them.
    pub zones: usize,
    /// Tenants; each has a quota.
    pub tenants: usize,
    /// Routes.
    pub routes: usize,
    /// Backends.
    pub backends: usize,
    /// Requests a second of each tenant, as a part of its quota.
    pub load: f64,
    /// Each tenant's quota, a second.
    pub rate: f64,
    /// Requests that come to each proxy with each tick of 60 ms and go on to backends; 0 where backends are not looked at.
    pub pressure: usize,
    /// Bytes of words are counted; that takes time.
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

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A core machine's processes die.
    KillCore(usize),
    /// Its disk is lost as well.
    LoseDisk(usize),
    /// It is there again.
    StartCore(usize),
    /// A proxy dies.
    KillProxy(usize),
    /// It is there again.
    StartProxy(usize),
    /// A core machine hears no other and is heard by none.
    DisconnectCore(usize),
    /// What the first core machine sends does not reach the second; the other way all is well.
    DisconnectOneWay(usize, usize),
    /// A core machine stands still for so many ms; what it is sent meanwhile arrives when it goes on.
    PauseCore(usize, u32),
    /// A core machine is gone for good; an empty one at another address starts in its zone.
    ReplaceCore(usize),
    /// All power is lost at once, and the disks of one core machine with it.
    PowerLoss(usize),
    /// Power is back: all machines start.
    RestorePower,
    /// A proxy hears no core machine.
    DisconnectProxy(usize),
    /// All links are whole again.
    RestoreLinks,
    /// A tenant sends so many times its usual.
    Overload(usize, f64),
    /// A backend drains.
    DrainBackend(usize),
    /// All backends of a zone come back, cold, each with another id at its address.
    RestartBackends(usize),
}

enum Event {
    Store(usize, StoreWord),
    Registry(usize, RegistryMessage),
    Up(usize, ProxyToRegistry),
    Down(usize, Rc<RegistryToProxy>),
}

/// An event on its way: to whom, by which lives of both ends it counts.
struct Sent {
    to: usize,
    event: Event,
    lives: (u64, u64),
}

#[derive(Clone, Debug)]
struct Call {
    name: String,
    revision: u64,
    ask: StoreRequest,
    /// The core machine that was asked last, its number of the call, and when.
    asked: Option<(usize, u64, Millis)>,
    acknowledged: Option<Millis>,
    /// When every proxy that was up held it, or a newer one.
    everywhere: Option<Millis>,
    sent: Millis,
}

/// What a registry is told.
type Input<'a> = Box<dyn FnOnce(&mut RegistryState, Millis) + 'a>;

/// The whole system.
pub struct Simulation {
    /// Virtual time.
    pub now: Millis,
    config: Config,
    chance: Rng,
    cores: Vec<Core>,
    proxies: Vec<Proxy>,
    wire: BTreeMap<(u64, u64), Sent>,
    /// One line carries its words in order.
    last: BTreeMap<(usize, usize, u8), u64>,
    order: u64,
    cut_cores: BTreeSet<usize>,
    cut_proxies: BTreeSet<usize>,
    one_way: BTreeSet<(usize, usize)>,
    /// Core machines that stand still, and until when.
    frozen: BTreeMap<usize, Millis>,
    /// Core machines that are gone for good.
    gone: BTreeSet<usize>,
    /// Calls of registries themselves: number by machine.
    steps: BTreeSet<(usize, u64)>,
    calls: Vec<Call>,
    revisions: BTreeMap<String, u64>,
    backends: Vec<Backend>,
    /// Lists as the platform had them, for readers that see old ones.
    listed: VecDeque<(Millis, Vec<Backend>)>,
    drained: BTreeMap<String, Millis>,
    cold: cold::ColdBackends,
    floods: BTreeMap<usize, f64>,
    admitted: BTreeMap<String, VecDeque<Millis>>,
    /// When something last went wrong.
    trouble: Millis,
    /// Time stops at an acknowledgement.
    stops: bool,
    /// Requests let in and refused, words and bytes by kind of line.
    pub served: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Bytes between stores, between registries, and between these and proxies.
    pub bytes: [usize; 3],
    /// What did not hold.
    pub violations: Vec<String>,
}

impl Simulation {
    /// All machines start at once on empty disks; the first configuration is acknowledged.
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
        let mut world = Self {
            now: 0.0,
            chance: Rng::new(seed),
            cores: (0..config.cores).map(|n| Core::new(n, config.zones, 3)).collect(),
            proxies: (0..config.proxies).map(|n| Proxy::new(n, &zones, config.pressure > 0)).collect(),
            wire: BTreeMap::new(),
            last: BTreeMap::new(),
            order: 0,
            cut_cores: BTreeSet::new(),
            cut_proxies: BTreeSet::new(),
            one_way: BTreeSet::new(),
            frozen: BTreeMap::new(),
            gone: BTreeSet::new(),
            steps: BTreeSet::new(),
            calls: Vec::new(),
            revisions: BTreeMap::new(),
            backends: backends.collect(),
            listed: VecDeque::new(),
            drained: BTreeMap::new(),
            cold: cold::ColdBackends::default(),
            floods: BTreeMap::new(),
            admitted: BTreeMap::new(),
            trouble: 0.0,
            stops: false,
            served: 0,
            refused: 0,
            bytes: [0; 3],
            violations: Vec::new(),
            config,
        };
        for n in 0..world.cores.len() {
            world.start_core(n, true);
        }
        for proxy in &mut world.proxies {
            proxy.start(0.0);
        }
        world.run(2500.0);
        world.first_config();
        world.run(6000.0);
        if world.calls[0].acknowledged.is_none() {
            world.violations.push("the first configuration was never acknowledged".into());
        }
        world
    }

    fn first_config(&mut self) {
        let mut changes = vec![change("s:s", cold::service_body(), 1)];
        for n in 0..self.config.tenants {
            changes.push(change(&format!("t:t{n}"), tenant(n, self.config.rate, 1), 1));
        }
        for n in 0..self.config.routes {
            changes.push(route(n, 1));
        }
        for change in &changes {
            self.revisions.insert(change.name.clone(), 1);
        }
        let ask = StoreRequest::Change(changes);
        self.calls.push(Call {
            name: "s:s".into(),
            revision: 1,
            ask,
            asked: None,
            acknowledged: None,
            everywhere: None,
            sent: self.now,
        });
    }

    /// An operator sends a new version of some route, and again until it has a clear answer.
    pub fn change_route(&mut self) {
        let n = self.chance.below(self.config.routes);
        let name = format!("r:r{n}");
        // One operator for each item: the next version after the last has a clear answer.
        if self.calls.iter().any(|call| call.name == name && call.acknowledged.is_none()) {
            return;
        }
        let revision = self.revisions.get(&name).copied().unwrap_or(0) + 1;
        self.revisions.insert(name.clone(), revision);
        let ask = StoreRequest::Change(vec![route(n, revision)]);
        self.calls.push(Call {
            name,
            revision,
            ask,
            asked: None,
            acknowledged: None,
            everywhere: None,
            sent: self.now,
        });
    }

    fn seeds(&self) -> Vec<Host> {
        let there = self.cores.iter().enumerate().filter(|(n, _)| !self.gone.contains(n));
        there.take(3).map(|(_, core)| core.seat.host).collect()
    }

    fn start_core(&mut self, n: usize, bootstrap: bool) {
        if self.gone.contains(&n) {
            return;
        }
        let seeds = self.seeds();
        self.cores[n].start(self.now, &seeds, bootstrap);
        self.registry(n, Box::new(|_, _| {}));
    }

    /// Something goes wrong, or right again.
    pub fn fault(&mut self, fault: Fault) {
        self.trouble = self.now;
        match fault {
            Fault::KillCore(n) => self.cores[n].kill(),
            Fault::LoseDisk(n) => self.cores[n].wipe(),
            Fault::StartCore(n) => self.start_core(n, false),
            Fault::KillProxy(n) => self.proxies[n].kill(),
            Fault::StartProxy(n) => self.proxies[n].start(self.now),
            Fault::DisconnectCore(n) => drop(self.cut_cores.insert(n)),
            Fault::DisconnectProxy(n) => drop(self.cut_proxies.insert(n)),
            Fault::DisconnectOneWay(from, to) => drop(self.one_way.insert((from, to))),
            Fault::PauseCore(n, span) => drop(self.frozen.insert(n, self.now + f64::from(span))),
            Fault::ReplaceCore(n) => self.replace(n),
            Fault::PowerLoss(n) => {
                self.cores[n].wipe();
                self.cores.iter_mut().for_each(Core::kill);
                self.proxies.iter_mut().for_each(Proxy::kill);
                self.frozen.clear();
            }
            Fault::RestorePower => {
                (0..self.cores.len()).for_each(|n| self.start_core(n, false));
                let now = self.now;
                self.proxies.iter_mut().for_each(|proxy| proxy.start(now));
            }
            Fault::RestoreLinks => {
                self.one_way.clear();
                self.cut_cores.clear();
                self.cut_proxies.clear();
            }
            Fault::Overload(n, x) => drop(self.floods.insert(n, x)),
            Fault::RestartBackends(zone) => self.restart_backends(zone),
            Fault::DrainBackend(n) => {
                self.backends[n].draining = true;
                self.drained.entry(self.backends[n].id.clone()).or_insert(self.now);
            }
        }
        self.close_lines();
    }

    /// A core machine goes for good, an empty one comes in its zone.
    fn replace(&mut self, n: usize) {
        self.cores[n].kill();
        self.gone.insert(n);
        let fresh = self.cores.len();
        self.cores.push(Core::in_place_of(&self.cores[n], fresh));
        self.start_core(fresh, false);
    }

    /// A fault by chance out of those that [`Self::random_fault`] leaves out: within what is to be borne, one at a time.
    pub fn random_hard_fault(&mut self) {
        let here = |n: &usize| !self.gone.contains(n);
        let there: Vec<usize> = (0..self.cores.len()).filter(here).collect();
        let calm = self.now - self.trouble > RECOVERY_TIME
            && self.cut_cores.is_empty()
            && self.one_way.is_empty()
            && there.iter().all(|n| self.cores[*n].book.is_some());
        let n = there[self.chance.below(there.len())];
        let to = there[self.chance.below(there.len())];
        match self.chance.below(5) {
            0 => {
                let span = 100 + (self.chance.fraction() * 2500.0) as u32;
                self.fault(Fault::PauseCore(n, span));
            }
            1 | 2 if calm && n != to => self.fault(Fault::DisconnectOneWay(n, to)),
            3 if calm && self.cores.len() < 10 => self.fault(Fault::ReplaceCore(n)),
            4 if calm => {
                self.fault(Fault::PowerLoss(n));
                let span = 100.0 + self.chance.fraction() * 2000.0;
                self.run(span);
                self.fault(Fault::RestorePower);
            }
            _ => {}
        }
    }

    /// A fault by chance. A region's worth of core machines at the most is down at once, and one disk lost.
    pub fn random_fault(&mut self) {
        let (cores, proxies) = (self.cores.len(), self.proxies.len());
        let here = |n: &usize| !self.gone.contains(n);
        let down: Vec<usize> = (0..cores).filter(here).filter(|n| self.cores[*n].book.is_none()).collect();
        let n = self.chance.below(cores);
        if self.gone.contains(&n) {
            return;
        }
        let p = self.chance.below(proxies);
        let fault = match self.chance.below(10) {
            0 | 1 if down.len() + self.cut_cores.len() < 2 => Fault::KillCore(n),
            2 if down.is_empty() && self.cut_cores.is_empty() && self.now - self.trouble > RECOVERY_TIME => {
                Fault::LoseDisk(n)
            }
            3 if down.len() + self.cut_cores.len() < 2 => Fault::DisconnectCore(n),
            4 => Fault::DisconnectProxy(p),
            5 => Fault::KillProxy(p),
            6 => Fault::RestoreLinks,
            7 => Fault::Overload(
                self.chance.below(self.config.tenants),
                if self.chance.fraction() < 0.5 { 6.0 } else { 1.0 },
            ),
            8 if self.drained.len() < 3 => Fault::DrainBackend(self.chance.below(self.backends.len())),
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

    /// Lines to machines that died are closed; those that are cut say nothing.
    fn close_lines(&mut self) {
        let now = self.now;
        for p in 0..self.proxies.len() {
            let Some((n, life)) = self.proxies[p].session else { continue };
            if self.cores[n].lives != life {
                self.proxies[p].lost(now);
            }
        }
        // A registry whose proxy died hears its line close.
        let dead: Vec<Host> = self.proxies.iter().filter(|p| !p.up).map(|p| p.host).collect();
        for n in 0..self.cores.len() {
            for host in &dead {
                let host = *host;
                self.registry(n, Box::new(|round, now| round.on_session_closed(now, host)));
            }
        }
    }

    fn size<T: bitcode::Encode>(&self, word: &T) -> usize {
        if self.config.measure { fennelscale_messages::encode_frame(word).len() } else { 0 }
    }

    fn way(&mut self, near: bool) -> Millis {
        (if near { NEAR } else { FAR }) * (1.0 + 0.3 * self.chance.fraction())
    }

    fn send(&mut self, line: (usize, usize, u8), near: bool, sent: Sent) {
        let way = self.way(near);
        let due = (((self.now + way) * 1000.0) as u64).max(self.last.get(&line).copied().unwrap_or(0));
        self.last.insert(line, due);
        self.order += 1;
        self.wire.insert((due, self.order), sent);
    }

    fn core_at(&self, host: Host) -> Option<usize> {
        (host.0 as usize).checked_sub(1).filter(|n| *n < self.cores.len())
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut_cores.contains(&a) || self.cut_cores.contains(&b)
    }

    fn between(&mut self, from: usize, to: Host, event: Event, line: u8, bytes: usize) {
        let Some(to) = self.core_at(to) else { return };
        self.bytes[usize::from(line)] += bytes;
        if self.is_cut(from, to) || self.one_way.contains(&(from, to)) {
            return;
        }
        let near = self.cores[from].seat.region == self.cores[to].seat.region;
        let lives = (self.cores[from].lives, self.cores[to].lives);
        self.send((from, to, line), near, Sent { to, event, lives });
    }

    fn store(&mut self, n: usize, does: Vec<Does>) {
        for act in does {
            match act {
                Does::Send(to, word) => {
                    let bytes = self.size(&word);
                    self.between(n, to, Event::Store(n, word), 0, bytes);
                }
                Does::Answer(id, told) => self.answered(n, id, &told),
            }
        }
        // What the store has told its registry may have it act.
        self.registry(n, Box::new(|_, _| {}));
    }

    fn answered(&mut self, n: usize, id: u64, told: &StoreResponse) {
        if self.steps.remove(&(n, id)) {
            self.registry(n, Box::new(RegistryState::on_maintenance_answer));
            return;
        }
        let now = self.now;
        let call = self
            .calls
            .iter_mut()
            .find(|call| call.asked.is_some_and(|(at, number, _)| (at, number) == (n, id)));
        if let Some(call) = call.filter(|call| call.acknowledged.is_none()) {
            match told {
                StoreResponse::Done => call.acknowledged = Some(now),
                StoreResponse::Unclear => call.asked = None,
                other => {
                    self.violations.push(format!("{} {} was answered {other:?}", call.name, call.revision))
                }
            }
        }
    }

    /// Gives a registry an input and carries out what follows.
    fn registry(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(round) = self.cores[n].round.as_mut() else { return };
        input(round, now);
        for out in round.take_outputs() {
            match out {
                Output::SendToRegistry(to, word) => {
                    let bytes = self.size(&word);
                    self.between(n, to, Event::Registry(n, word), 1, bytes);
                }
                Output::SendToProxy(host, word) => self.down(n, host, word),
                Output::ReadBackendList => {
                    let seen = self.listed.iter().rev().find(|(at, _)| *at <= now - LAG);
                    let backends = seen.map_or_else(|| self.backends.clone(), |(_, list)| list.clone());
                    let backends = self.as_read(backends);
                    self.registry(n, Box::new(|round, now| round.on_list_read(now, Some(backends))));
                }
                Output::StoreProxyCount(proxies) => {
                    let (id, does) = self.cores[n].ask(
                        now,
                        StoreRequest::Note(
                            fennelscale_membership::PROXY_COUNT_NAME.to_owned(),
                            proxies.to_string(),
                        ),
                    );
                    self.steps.insert((n, id));
                    self.store(n, does);
                }
                Output::CloseSession(host) => {
                    let proxy = self.proxies.iter_mut().find(|p| p.host == host);
                    if let Some(proxy) = proxy.filter(|p| p.session.is_some_and(|(core, _)| core == n)) {
                        proxy.lost(now);
                    }
                }
                // Readers, and what is kept for them, are the host's matter.
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

    fn down(&mut self, n: usize, host: Host, word: Rc<RegistryToProxy>) {
        let Some(p) = self.proxies.iter().position(|p| p.host == host) else { return };
        self.bytes[2] += self.size(&*word);
        if self.cut_proxies.contains(&p) || self.proxies[p].session.is_none_or(|(core, _)| core != n) {
            return;
        }
        let near = self.cores[n].seat.region == self.proxies[p].region;
        let lives = (self.cores[n].lives, self.proxies[p].life);
        self.send((n, p, 2), near, Sent { to: p, event: Event::Down(n, word), lives });
    }

    fn up(&mut self, p: usize, ups: Vec<ProxyToRegistry>) {
        for up in ups {
            let Some((n, life)) = self.proxies[p].session else { return };
            self.bytes[2] += self.size(&up);
            if self.cut_proxies.contains(&p) {
                continue;
            }
            let near = self.cores[n].seat.region == self.proxies[p].region;
            let lives = (self.proxies[p].life, life);
            self.send((p, n, 3), near, Sent { to: n, event: Event::Up(p, up), lives });
        }
    }

    /// Core machines, the nearest to a proxy first.
    fn nearest_cores(&self, p: usize) -> Vec<usize> {
        let proxy = &self.proxies[p];
        let far = |core: &Core| (core.seat.zone != proxy.zone, core.seat.region != proxy.region);
        let mut cores: Vec<usize> = (0..self.cores.len()).collect();
        cores.sort_by_key(|n| (far(&self.cores[*n]), *n));
        cores
    }

    /// A proxy without a session dials a core machine.
    fn dial(&mut self, p: usize) {
        let (now, cores) = (self.now, self.nearest_cores(p));
        let Some(n) = self.proxies[p].next_core(now, &cores) else { return };
        if self.cores[n].round.is_none() || self.cut_proxies.contains(&p) {
            self.proxies[p].dial_failed(now, n);
            return;
        }
        let hello = self.proxies[p].dialled(now, n, self.cores[n].lives);
        self.up(p, vec![hello]);
    }

    /// A proxy whose registry is out of contact leaves it for another that it reaches.
    fn look_elsewhere(&mut self, p: usize) {
        let (now, cores) = (self.now, self.nearest_cores(p));
        if self.cut_proxies.contains(&p) {
            return;
        }
        for n in self.proxies[p].alternatives(now, &cores) {
            if self.cores[n].round.is_some() {
                return self.proxies[p].lost(now);
            }
            self.proxies[p].dial_failed(now, n);
        }
    }

    fn arrives(&mut self, sent: Sent) {
        let to_core = !matches!(sent.event, Event::Down(..));
        if let Some(until) = self.frozen.get(&sent.to).filter(|until| to_core && **until > self.now) {
            // It arrives when its machine goes on, in the order in which it came.
            self.order += 1;
            self.wire.insert(((until * 1000.0).ceil() as u64, self.order), sent);
            return;
        }
        let Sent { to, event, lives } = sent;
        match event {
            Event::Store(from, word) => {
                if (self.cores[from].lives, self.cores[to].lives) == lives && !self.is_cut(from, to) {
                    let (now, host) = (self.now, self.cores[from].seat.host);
                    let does = self.cores[to].store(now, |book, now| book.receive(now, host, word));
                    self.store(to, does);
                }
            }
            Event::Registry(from, word) => {
                if (self.cores[from].lives, self.cores[to].lives) == lives && !self.is_cut(from, to) {
                    let host = self.cores[from].seat.host;
                    self.registry(to, Box::new(|round, now| round.receive_from_registry(now, host, word)));
                }
            }
            Event::Up(p, up) => {
                let stands = (self.proxies[p].life, self.cores[to].lives) == lives && self.proxies[p].up;
                if stands
                    && !self.cut_proxies.contains(&p)
                    && self.proxies[p].session.is_some_and(|(n, _)| n == to)
                {
                    let host = self.proxies[p].host;
                    self.registry(to, Box::new(|round, now| round.receive_from_proxy(now, host, up)));
                }
            }
            Event::Down(n, word) => {
                let proxy = &self.proxies[to];
                let stands = (self.cores[n].lives, proxy.life) == lives && proxy.up;
                if stands
                    && !self.cut_proxies.contains(&to)
                    && proxy.session.is_some_and(|(core, _)| core == n)
                {
                    let mut ups = Vec::new();
                    self.proxies[to].word(self.now, &word, &mut ups);
                    self.up(to, ups);
                    if matches!(*word, RegistryToProxy::Heartbeat { .. }) {
                        self.look_elsewhere(to);
                    }
                }
            }
        }
    }

    fn operators_ask(&mut self) {
        let now = self.now;
        for at in 0..self.calls.len() {
            let call = &self.calls[at];
            let waits = call.asked.is_some_and(|(.., since)| now - since < PATIENCE);
            if call.acknowledged.is_some() || waits {
                continue;
            }
            let n = self.chance.below(self.cores.len());
            if self.cores[n].book.is_none() || self.frozen.contains_key(&n) {
                continue;
            }
            let ask = self.calls[at].ask.clone();
            let (id, does) = self.cores[n].ask(now, ask);
            self.calls[at].asked = Some((n, id, now));
            self.store(n, does);
        }
    }

    fn clients_ask(&mut self) {
        let (rate, load) = (self.config.rate, self.config.load);
        for t in 0..self.config.tenants {
            let x = self.floods.get(&t).copied().unwrap_or(1.0);
            let mut expected = rate * load * x * TICK / 1000.0;
            while expected > 0.0 {
                if self.chance.fraction() < expected {
                    let p = self.chance.below(self.proxies.len());
                    let mut ups = Vec::new();
                    self.proxies[p].request(self.now, &format!("t{t}"), &mut ups);
                    self.up(p, ups);
                }
                expected -= 1.0;
            }
        }
    }

    fn look(&mut self) {
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
                    "{} of {tenant} were let in within {window} ms, {most} are borne",
                    times.len()
                ));
            }
        }
        let mut held = 0;
        for round in self.cores.iter().filter_map(|core| core.round.as_ref()) {
            if held & round.held_duties(now) != 0 {
                self.violations.push("two hold a duty".into());
            }
            held |= round.held_duties(now);
        }
        self.look_everywhere();
        if now - self.trouble > RECOVERY_TIME {
            self.look_in_touch();
        }
    }

    fn look_everywhere(&mut self) {
        let (now, proxies) = (self.now, &self.proxies);
        let open = self.calls.iter_mut().filter(|c| c.acknowledged.is_some() && c.everywhere.is_none());
        for call in open {
            let holds = |proxy: &Proxy| proxy.version(&call.name) >= call.revision;
            if proxies.iter().filter(|proxy| proxy.up).all(holds) {
                call.everywhere = Some(now);
            }
        }
    }

    fn look_in_touch(&mut self) {
        let now = self.now;
        let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
        let due =
            self.calls.iter().filter(|call| call.acknowledged.is_some_and(|at| now - at > APPLY_TIMEOUT));
        for call in due.filter(|call| call.name != "s:s") {
            let known = newest.entry(&call.name).or_default();
            *known = call.revision.max(*known);
        }
        let drained =
            self.drained.iter().filter(|(_, at)| now - **at > DRAIN_TIMEOUT + LAG).map(|(id, _)| id.clone());
        let drained: Vec<String> = drained.collect();
        let mut broken = Vec::new();
        let cut = &self.cut_proxies;
        let in_touch = self.proxies.iter_mut().enumerate().filter(|(n, p)| p.up && !cut.contains(n));
        for (_, proxy) in in_touch.filter(|(_, p)| p.held.is_ready()) {
            for (name, revision) in &newest {
                let version = proxy.version(name);
                if version < *revision {
                    broken
                        .push(format!("{} holds {name} {version}, {revision} was acknowledged", proxy.host));
                }
            }
            if drained.is_empty() {
                continue;
            }
            let ready = proxy.held.backends(now, "s").into_iter().filter(|known| known.ready);
            let late: Vec<String> =
                ready.map(|known| known.backend.id).filter(|id| drained.contains(id)).collect();
            if !late.is_empty() {
                broken.push(format!("{} still sends to {late:?}", proxy.host));
            }
        }
        self.violations.append(&mut broken);
    }

    /// Time passes.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end && self.violations.is_empty() {
            let tick = self.now + TICK;
            while let Some(entry) = self.wire.first_entry() {
                let due = entry.key().0 as f64 / 1000.0;
                if due > tick {
                    break;
                }
                let sent = entry.remove();
                self.now = self.now.max(due);
                let before = if self.stops { self.acknowledged() } else { 0 };
                self.arrives(sent);
                if self.stops && self.acknowledged() > before {
                    return;
                }
            }
            self.now = tick;
            self.listed.push_back((self.now, self.backends.clone()));
            while self.listed.len() > 12 {
                self.listed.pop_front();
            }
            let now = self.now;
            self.frozen.retain(|_, until| *until > now);
            for n in (0..self.cores.len()).filter(|n| !self.frozen.contains_key(n)).collect::<Vec<_>>() {
                let does = self.cores[n].store(now, |book, now| book.tick(now));
                self.store(n, does);
                self.registry(n, Box::new(RegistryState::tick));
            }
            for p in (0..self.proxies.len()).filter(|p| self.proxies[*p].up).collect::<Vec<_>>() {
                if self.proxies[p].session.is_none() {
                    self.dial(p);
                }
                let mut ups = Vec::new();
                self.proxies[p].tick(self.now, &mut ups);
                self.up(p, ups);
            }
            self.operators_ask();
            self.clients_ask();
            self.press();
            self.look();
        }
    }

    /// Time passes until a change is acknowledged, and no moment longer; the machine that did so.
    pub fn run_to_acknowledged(&mut self, most: Millis) -> Option<usize> {
        let (begun, before) = (self.now, self.acknowledged());
        self.stops = true;
        while self.acknowledged() == before && self.now - begun < most && self.violations.is_empty() {
            self.run(TICK);
        }
        self.stops = false;
        let last = self.calls.iter().rfind(|call| call.acknowledged == Some(self.now))?;
        last.asked.map(|(machine, ..)| machine)
    }

    /// Time passes until something is so, or for so long; after how long it was.
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

    /// All duties that are held by a machine that is there.
    pub fn held_duties(&self) -> u64 {
        let rounds = self.cores.iter().filter_map(|core| core.round.as_ref());
        rounds.fold(0, |all, round| all | round.held_duties(self.now))
    }

    /// The machine that holds a duty.
    pub fn holder(&self, duty: u64) -> Option<usize> {
        let holds =
            |core: &Core| core.round.as_ref().is_some_and(|round| round.held_duties(self.now) & duty != 0);
        self.cores.iter().position(holds)
    }

    /// Whether every proxy that is up serves.
    pub fn all_serve(&self) -> bool {
        self.proxies.iter().filter(|proxy| proxy.up).all(|proxy| proxy.held.is_ready())
    }

    /// Whether all that was asked is acknowledged and held by every proxy that is up.
    pub fn all_in_force(&self) -> bool {
        self.calls.iter().all(|call| call.everywhere.is_some())
    }

    /// All is well again: everything that was acknowledged must be in force everywhere, and all calls have their answers.
    pub fn settle(&mut self) {
        self.fault(Fault::RestoreLinks);
        self.floods.clear();
        for n in 0..self.cores.len() {
            self.start_core(n, false);
        }
        for p in 0..self.proxies.len() {
            self.proxies[p].start(self.now);
        }
        self.run(RECOVERY_TIME + APPLY_TIMEOUT + 6000.0);
        let open = self.calls.iter().filter(|call| call.acknowledged.is_none()).count();
        if open > 0 {
            self.violations.push(format!("{open} calls never had a clear answer"));
        }
        let unready = self.proxies.iter().filter(|p| !p.held.is_ready()).count();
        if unready > 0 {
            self.violations.push(format!("{unready} proxies never were ready again"));
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
