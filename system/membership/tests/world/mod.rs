//! Registries in virtual time with delayed and cut links and process crashes. After every step it is checked
//! that no duty has two holders.

use fennelscale_membership::maintenance::StepWrite;
use fennelscale_membership::{Output, RegistryState};
use fennelscale_messages::Host;
use fennelscale_messages::mix;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::{Backend, RegistryToProxy};
use fennelscale_messages::store::{Entry, Member, MemberList};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const STEP: f64 = 20.0;

/// An input to a registry at a time.
pub type Input<'a> = Box<dyn FnOnce(&mut RegistryState, f64) + 'a>;

pub struct World {
    pub now: f64,
    seed: u64,
    pub nodes: Vec<Option<RegistryState>>,
    incarnations: Vec<u64>,
    /// Messages in transit: arrival time, receiver, sender, message, incarnation of the receiver.
    in_transit: Vec<(f64, usize, usize, RegistryMessage, u64)>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub proxy_messages: Vec<(usize, Host, Rc<RegistryToProxy>)>,
    pub list_reads: usize,
    /// The difference of each host's time of day from the true time.
    pub clock_offsets: Vec<f64>,
    /// The maintenance items and records in the store.
    pub store: BTreeMap<String, Entry>,
    /// Steps in transit to the store.
    steps: Vec<(f64, usize, StepWrite)>,
    /// Hosts whose stores confirm that their copy is as new as a quorum's.
    fresh_stores: BTreeSet<usize>,
    /// Records that the store wrote, and the number of steps that it refused.
    pub written: Vec<(f64, String)>,
    pub refused: usize,
    pub backends: Vec<Backend>,
    /// Bytes of messages between registries, and from registries to proxies.
    pub bytes: [usize; 2],
}

/// The true time at the start of the simulation, in ms since 1970: 22:00:00 of a Wednesday, UTC.
pub const START_TIME: f64 = 1_796_248_800_000.0;

pub fn backend(id: &str, service: &str, zone: usize) -> Backend {
    Backend {
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:1".into(),
        zone: format!("z{zone}"),
        slots: 2,
        draining: false,
        cold_ms: 0,
    }
}

pub fn host(n: usize) -> Host {
    Host(n as u32 + 1)
}

pub fn core_members(n: usize) -> MemberList {
    let member = |n| Member { host: host(n), zone: format!("z{n}"), region: format!("r{}", n % 3) };
    MemberList { version: 1, members: (0..n).map(member).collect() }
}

impl World {
    pub fn new(seed: u64, n: usize) -> Self {
        let mut world = Self {
            now: 0.0,
            seed,
            nodes: (0..n).map(|_| None).collect(),
            incarnations: vec![0; n],
            in_transit: Vec::new(),
            cut_links: BTreeSet::new(),
            proxy_messages: Vec::new(),
            list_reads: 0,
            clock_offsets: vec![0.0; n],
            store: BTreeMap::new(),
            steps: Vec::new(),
            fresh_stores: BTreeSet::new(),
            written: Vec::new(),
            refused: 0,
            backends: vec![backend("i", "s", 0)],
            bytes: [0; 2],
        };
        (0..n).for_each(|n| world.start(n, true));
        world.run(3000.0);
        world
    }

    pub fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.seed) >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn random_below(&mut self, n: usize) -> usize {
        (self.random() * n as f64) as usize
    }

    pub fn start(&mut self, n: usize, bootstrap: bool) {
        if self.nodes[n].is_some() {
            return;
        }
        self.incarnations[n] += 1;
        let incarnation = mix((n as u64) << 32 ^ self.incarnations[n]);
        let mut registry = RegistryState::new(
            host(n),
            incarnation,
            &format!("z{n}"),
            &format!("r{}", n % 3),
            bootstrap,
            self.now,
        );
        registry.on_core_members(self.now, core_members(self.nodes.len()));
        let zones = (0..self.nodes.len()).map(|n| (format!("z{n}"), format!("r{}", n % 3)));
        registry.set_deployment(zones.collect(), 1, (1, 1));
        self.nodes[n] = Some(registry);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.fresh_stores.remove(&n);
    }

    pub fn with(&mut self, n: usize, input: impl FnOnce(&mut RegistryState, f64)) {
        self.input(n, Box::new(input));
    }

    pub fn input(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(registry) = self.nodes[n].as_mut() else { return };
        input(registry, now);
        let outputs = registry.take_outputs();
        let mut list_read = false;
        for output in outputs {
            match output {
                Output::SendToRegistry(to, message) => {
                    self.bytes[0] += fennelscale_messages::encode_frame(&message).len();
                    let to = to.0 as usize - 1;
                    let delay = if to % 3 == n % 3 { 1.0 } else { 55.0 } * (1.0 + self.random());
                    if !self.cut_links.contains(&(n, to)) {
                        self.in_transit.push((self.now + delay, to, n, message, self.incarnations[to]));
                    }
                }
                Output::SendToProxy(to, message) => {
                    self.bytes[1] += fennelscale_messages::encode_frame(&*message).len();
                    self.proxy_messages.push((n, to, message));
                }
                Output::ReadBackendList => {
                    self.list_reads += 1;
                    let mut backends = self.backends.clone();
                    for backend in backends.iter_mut().filter(|backend| backend.id == "i") {
                        backend.draining = self.now > 20_000.0;
                    }
                    let (now, Some(registry)) = (self.now, self.nodes[n].as_mut()) else { continue };
                    registry.on_list_read(now, Some(backends));
                    list_read = true;
                }
                Output::WriteMaintenanceStep(write) => {
                    // Some steps are delayed for long.
                    let delay = if self.random() < 0.1 { 2500.0 } else { 250.0 };
                    self.steps.push((self.now + delay, n, write));
                }
                Output::CloseSession(_) | Output::StoreProxyCount(_) | Output::Log(..) => {}
                // Event and request queries are handled by the host process.
                Output::StoreEvents(_) | Output::ReadEvents(..) | Output::DeliverEvents(..) => {}
                Output::LookUpRequest(..)
                | Output::DeliverRequestRecords(..)
                | Output::DeliverRequestRecord(..) => {}
            }
        }
        if list_read {
            self.input(n, Box::new(RegistryState::tick));
        }
    }

    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_transit).into_iter().partition(|(at, ..)| *at <= self.now);
            self.in_transit = later;
            for (_, to, from, message, incarnation) in due {
                if self.incarnations[to] == incarnation && !self.cut_links.contains(&(from, to)) {
                    self.with(to, |registry, now| registry.receive_from_registry(now, host(from), message));
                }
            }
            self.write_steps();
            for n in self.fresh_stores.clone() {
                // Stores report this with each heartbeat.
                self.with(n, |registry, now| registry.on_store_freshness(now, true));
            }
            for n in 0..self.nodes.len() {
                let time_of_day = START_TIME + self.now + self.clock_offsets[n];
                self.with(n, |registry, now| {
                    registry.set_time_of_day(now, time_of_day);
                    registry.tick(now);
                });
            }
            let mut all_held = 0;
            for registry in self.nodes.iter().flatten() {
                let held = registry.held_duties(self.now);
                assert_eq!(all_held & held, 0, "two registries hold a duty at {}", self.now);
                all_held |= held;
            }
        }
    }

    /// Writes an item to the store; all registries are informed at once.
    pub fn write_item(&mut self, name: &str, body: Option<&str>) {
        let entry = self.store.entry(name.to_owned()).or_default();
        entry.revision += 1;
        entry.stamp.sequence += 1;
        entry.body = body.map(str::to_owned);
        let named = vec![(name.to_owned(), entry.clone())];
        (0..self.nodes.len())
            .for_each(|n| self.with(n, |registry, now| registry.on_items(now, false, named.clone())));
    }

    /// The store of a host confirms that its copy is as new as a quorum's and sends all its entries to the
    /// registry.
    pub fn set_store_fresh(&mut self, n: usize) {
        let all: Vec<_> = self.store.iter().map(|(name, entry)| (name.clone(), entry.clone())).collect();
        self.fresh_stores.insert(n);
        self.with(n, |registry, now| {
            registry.on_items(now, true, all);
            registry.on_store_freshness(now, true);
        });
    }

    fn write_steps(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.steps).into_iter().partition(|(at, ..)| *at <= self.now);
        self.steps = later;
        for (_, from, write) in due {
            let all = self.store.iter().map(|(name, entry)| (name.as_str(), entry));
            if fennelscale_maintenance::view_hash(all) == write.view_hash {
                for (name, body) in write.records {
                    self.write_item(&name, body.as_deref());
                    self.written.push((self.now, name));
                }
            } else {
                self.refused += 1;
            }
            self.with(from, RegistryState::on_maintenance_answer);
        }
    }

    pub fn held_duties(&self) -> u64 {
        self.nodes.iter().flatten().fold(0, |all, registry| all | registry.held_duties(self.now))
    }
}
