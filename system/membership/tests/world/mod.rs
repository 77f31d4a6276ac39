//! Registries in virtual time: links that delay and are cut, processes that die. Who holds a duty is looked at after every
//! step, at all of them at once.

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

/// What a registry is told, and when.
pub type Input<'a> = Box<dyn FnOnce(&mut RegistryState, f64) + 'a>;

pub struct World {
    pub now: f64,
    seed: u64,
    pub nodes: Vec<Option<RegistryState>>,
    lives: Vec<u64>,
    wire: Vec<(f64, usize, usize, RegistryMessage, u64)>,
    pub cut: BTreeSet<(usize, usize)>,
    pub downs: Vec<(usize, Host, Rc<RegistryToProxy>)>,
    pub reads: usize,
    /// How far each machine's time of day is from true time.
    pub walls: Vec<f64>,
    /// What the store holds of maintenance, and steps on their way to it.
    pub store: BTreeMap<String, Entry>,
    steps: Vec<(f64, usize, StepWrite)>,
    /// Machines whose stores hold a copy as new as a quorum's, and say so.
    vouched: BTreeSet<usize>,
    /// Steps that the store wrote, and that it refused.
    pub written: Vec<(f64, String)>,
    pub refused: usize,
    pub backends: Vec<Backend>,
    /// Bytes of words between registries, and from registries to proxies.
    pub bytes: [usize; 2],
}

/// True time when the world begins, in ms since 1970: 22:00:00 of a Wednesday, UTC.
pub const TRUE: f64 = 1_796_248_800_000.0;

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

pub fn seats(n: usize) -> MemberList {
    let seat = |n| Member { host: host(n), zone: format!("z{n}"), region: format!("r{}", n % 3) };
    MemberList { version: 1, members: (0..n).map(seat).collect() }
}

impl World {
    pub fn new(seed: u64, n: usize) -> Self {
        let mut world = Self {
            now: 0.0,
            seed,
            nodes: (0..n).map(|_| None).collect(),
            lives: vec![0; n],
            wire: Vec::new(),
            cut: BTreeSet::new(),
            downs: Vec::new(),
            reads: 0,
            walls: vec![0.0; n],
            store: BTreeMap::new(),
            steps: Vec::new(),
            vouched: BTreeSet::new(),
            written: Vec::new(),
            refused: 0,
            backends: vec![backend("i", "s", 0)],
            bytes: [0; 2],
        };
        (0..n).for_each(|n| world.start(n, true));
        world.run(3000.0);
        world
    }

    pub fn chance(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.seed) >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.chance() * n as f64) as usize
    }

    pub fn start(&mut self, n: usize, bootstrap: bool) {
        if self.nodes[n].is_some() {
            return;
        }
        self.lives[n] += 1;
        let life = mix((n as u64) << 32 ^ self.lives[n]);
        let mut round =
            RegistryState::new(host(n), life, &format!("z{n}"), &format!("r{}", n % 3), bootstrap, self.now);
        round.on_seats(self.now, seats(self.nodes.len()));
        let zones = (0..self.nodes.len()).map(|n| (format!("z{n}"), format!("r{}", n % 3)));
        round.set_deployment(zones.collect(), 1, (1, 1));
        self.nodes[n] = Some(round);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.vouched.remove(&n);
    }

    pub fn with(&mut self, n: usize, input: impl FnOnce(&mut RegistryState, f64)) {
        self.give(n, Box::new(input));
    }

    pub fn give(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(round) = self.nodes[n].as_mut() else { return };
        input(round, now);
        let outs = round.take_outputs();
        let mut again = false;
        for out in outs {
            match out {
                Output::SendToRegistry(to, word) => {
                    self.bytes[0] += fennelscale_messages::encode_frame(&word).len();
                    let to = to.0 as usize - 1;
                    let way = if to % 3 == n % 3 { 1.0 } else { 55.0 } * (1.0 + self.chance());
                    if !self.cut.contains(&(n, to)) {
                        self.wire.push((self.now + way, to, n, word, self.lives[to]));
                    }
                }
                Output::SendToProxy(to, word) => {
                    self.bytes[1] += fennelscale_messages::encode_frame(&*word).len();
                    self.downs.push((n, to, word));
                }
                Output::ReadBackendList => {
                    self.reads += 1;
                    let mut backends = self.backends.clone();
                    for backend in backends.iter_mut().filter(|backend| backend.id == "i") {
                        backend.draining = self.now > 20_000.0;
                    }
                    let (now, Some(round)) = (self.now, self.nodes[n].as_mut()) else { continue };
                    round.on_list_read(now, Some(backends));
                    again = true;
                }
                Output::WriteMaintenanceStep(write) => {
                    // Now and then one is held up for long.
                    let way = if self.chance() < 0.1 { 2500.0 } else { 250.0 };
                    self.steps.push((self.now + way, n, write));
                }
                Output::CloseSession(_) | Output::StoreProxyCount(_) | Output::Log(..) => {}
                // Readers, and what is kept for them, are the host's matter.
                Output::StoreEvents(_) | Output::ReadEvents(..) | Output::DeliverEvents(..) => {}
                Output::ReadRequestTrace(..)
                | Output::DeliverRequestTrace(..)
                | Output::DeliverProxyTrace(..) => {}
            }
        }
        if again {
            self.give(n, Box::new(RegistryState::tick));
        }
    }

    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.wire).into_iter().partition(|(at, ..)| *at <= self.now);
            self.wire = later;
            for (_, to, from, word, life) in due {
                if self.lives[to] == life && !self.cut.contains(&(from, to)) {
                    self.with(to, |round, now| round.receive_from_registry(now, host(from), word));
                }
            }
            self.write_steps();
            for n in self.vouched.clone() {
                // Stores say so with each beat.
                self.with(n, |round, now| round.on_store_freshness(now, true));
            }
            for n in 0..self.nodes.len() {
                let wall = TRUE + self.now + self.walls[n];
                self.with(n, |round, now| {
                    round.set_time_of_day(now, wall);
                    round.tick(now);
                });
            }
            let mut seen = 0;
            for round in self.nodes.iter().flatten() {
                let held = round.held_duties(self.now);
                assert_eq!(seen & held, 0, "two hold a duty at {}", self.now);
                seen |= held;
            }
        }
    }

    /// What a call or a step has the store hold; the news of it come to all at once.
    pub fn put(&mut self, name: &str, body: Option<&str>) {
        let entry = self.store.entry(name.to_owned()).or_default();
        entry.revision += 1;
        entry.stamp.sequence += 1;
        entry.body = body.map(str::to_owned);
        let named = vec![(name.to_owned(), entry.clone())];
        (0..self.nodes.len())
            .for_each(|n| self.with(n, |round, now| round.on_items(now, false, named.clone())));
    }

    /// The store is as new as a quorum's at all registries, and a machine that started hears all that it holds.
    pub fn vouch(&mut self, n: usize) {
        let all: Vec<_> = self.store.iter().map(|(name, entry)| (name.clone(), entry.clone())).collect();
        self.vouched.insert(n);
        self.with(n, |round, now| {
            round.on_items(now, true, all);
            round.on_store_freshness(now, true);
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
                    self.put(&name, body.as_deref());
                    self.written.push((self.now, name));
                }
            } else {
                self.refused += 1;
            }
            self.with(from, RegistryState::on_maintenance_answer);
        }
    }

    pub fn held(&self) -> u64 {
        self.nodes.iter().flatten().fold(0, |all, round| all | round.held_duties(self.now))
    }
}
