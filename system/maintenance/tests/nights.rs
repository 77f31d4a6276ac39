//! Drawn maintenance nights in virtual time: two gateways that may both think an order theirs, copies that lag, clocks that jump,
//! steps that are held up or lost, operators that change their minds, proxies with work in hand. Invariants are looked at after
//! every tick, by true time.

use fennelscale_maintenance::clock::Clock;
use fennelscale_maintenance::contract::{Contract, Rule, TimeRange, parse_day, parse_time, parse_zone};
use fennelscale_maintenance::order::{Node, OrderState, OutLimits, WorkOrder};
use fennelscale_maintenance::plan::{View, next_step};
use fennelscale_maintenance::record::{MaintenanceRecord, Phase};
use fennelscale_maintenance::view_hash;
use fennelscale_messages::session::{Backend, ProxyInfo};
use fennelscale_messages::store::Entry;
use fennelscale_messages::{Host, mix};
use jiff::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

const TICK: f64 = 200.0;
const SEATS: usize = 6;
const PROXIES: usize = 6;
const SERVICES: [&str; 2] = ["read", "pay"];
/// What an operator wants binds within this: beats, a step to the store, news.
const BINDS: f64 = 12_000.0;

fn zone_name(n: usize) -> String {
    format!("z{}", n % SEATS)
}

fn region_of(zone: &str) -> String {
    let n: usize = zone[1..].parse().unwrap();
    format!("r{}", n % 3)
}

/// What the store holds: chosen in one order, each with a version.
#[derive(Clone, Default)]
struct Store {
    entries: BTreeMap<String, Entry>,
    contracts: BTreeMap<String, Contract>,
    orders: BTreeMap<String, WorkOrder>,
    nights: BTreeMap<String, MaintenanceRecord>,
}

impl Store {
    fn touch(&mut self, name: &str, stands: bool) {
        let entry = self.entries.entry(name.to_owned()).or_default();
        entry.revision += 1;
        entry.body = stands.then(String::new);
    }

    fn number(&self) -> u64 {
        view_hash(self.entries.iter().map(|(name, entry)| (name.as_str(), entry)))
    }
}

struct Gateway {
    clock: Clock,
    born: f64,
    /// A step is on its way until then.
    busy: f64,
    holds: bool,
    since: f64,
}

struct Proxy {
    /// What it has at work: node of the backend and until when.
    work: Vec<(String, f64)>,
    cut: bool,
    copy: BTreeMap<String, MaintenanceRecord>,
    quiet: Vec<String>,
    time: Option<(f64, fennelscale_maintenance::clock::TimeInterval)>,
}

struct World {
    number: u64,
    seed: u64,
    now: f64,
    start: f64,
    walls: [f64; SEATS],
    seat_cut: [bool; SEATS],
    gateways: Vec<Gateway>,
    proxies: Vec<Proxy>,
    store: Store,
    history: Vec<(f64, Store)>,
    flights: Vec<(f64, u64, String, MaintenanceRecord, Node, Phase)>,
    backends: Vec<Backend>,
    evacuated: BTreeSet<String>,
    changed: BTreeMap<String, f64>,
    reached: BTreeMap<Phase, usize>,
}

impl World {
    fn chance(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.seed) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, n: usize) -> usize {
        (self.chance() * n as f64) as usize
    }

    fn new(number: u64) -> Self {
        let seed = mix(number);
        let start = "2026-12-02T22:00:00Z".parse::<Timestamp>().unwrap().as_millisecond() as f64;
        let backends = (0..12).map(|n| Backend {
            id: format!("b{n}"),
            service: SERVICES[n % 2].into(),
            address: "10.0.0.1:1".into(),
            zone: zone_name(n / 2),
            slots: 2,
            draining: false,
            cold_ms: 0,
        });
        let mut world = Self {
            number,
            seed,
            now: 0.0,
            start,
            walls: [0.0; SEATS],
            seat_cut: [false; SEATS],
            gateways: (0..2)
                .map(|_| Gateway { clock: Clock::default(), born: 0.0, busy: 0.0, holds: true, since: 0.0 })
                .collect(),
            proxies: (0..PROXIES)
                .map(|_| Proxy {
                    work: Vec::new(),
                    cut: false,
                    copy: BTreeMap::new(),
                    quiet: Vec::new(),
                    time: None,
                })
                .collect(),
            store: Store::default(),
            history: Vec::new(),
            flights: Vec::new(),
            backends: backends.collect(),
            evacuated: BTreeSet::new(),
            changed: BTreeMap::new(),
            reached: BTreeMap::new(),
        };
        for at in 0..SEATS {
            world.walls[at] = (world.chance() * 2.0 - 1.0) * 250.0;
        }
        world.contract(30.0, 40.0 + 200.0 * 0.999);
        for name in ["one", "two"] {
            let nodes = world.draw_nodes();
            let most = OutLimits {
                order: 1 + world.below(3),
                zone: 1 + world.below(2),
                region: 1 + world.below(3),
                service: 1 + world.below(3),
            };
            let length = 2000.0 + world.chance() * 15_000.0;
            let order = WorkOrder {
                name: name.into(),
                contract: "nights".into(),
                nodes,
                out_duration: length,
                return_time: 10_000.0,
                limits: most,
                state: OrderState::Running,
                approved_by: Some("x".into()),
            };
            world.store.orders.insert(name.into(), order);
            world.store.touch(&format!("w:{name}"), true);
        }
        world
    }

    fn draw_nodes(&mut self) -> Vec<Node> {
        let mut nodes = BTreeSet::new();
        for _ in 0..1 + self.below(5) {
            let n = self.below(12);
            nodes.insert(match self.below(4) {
                0 => Node::Zone(zone_name(n)),
                1 => Node::Proxy(Host(100 + (n % PROXIES) as u32)),
                _ => Node::Backend(format!("b{n}")),
            });
        }
        nodes.into_iter().collect()
    }

    /// Hours from so many seconds after the start to so many.
    fn contract(&mut self, from: f64, to: f64) {
        let clock = |s: f64| {
            let s = s as i64;
            parse_time(&format!("22:{:02}:{:02}", s / 60, s % 60)).unwrap()
        };
        let between = TimeRange { from: clock(from), to: clock(to) };
        let contract = Contract {
            name: "nights".into(),
            time_zone: parse_zone("UTC").unwrap(),
            rules: vec![Rule { days: vec![parse_day("wed").unwrap()], between }],
            exceptions: BTreeMap::new(),
            places: ["r0", "r1", "r2"].map(str::to_owned).into(),
            approved_by: Some("director".into()),
        };
        self.store.contracts.insert("nights".into(), contract);
        self.store.touch("c:nights", true);
        self.changed.insert("nights".into(), self.now);
    }

    fn truth(&self) -> f64 {
        self.start + self.now
    }

    /// The store as it was so long ago, for copies that lag.
    fn as_of(&self, lag: f64) -> &Store {
        let then = self.now - lag;
        self.history.iter().rev().find(|(at, _)| *at <= then).map_or(&self.store, |(_, store)| store)
    }

    fn members(&self) -> Vec<ProxyInfo> {
        let there = self.proxies.iter().enumerate().filter(|(_, p)| !p.cut);
        there
            .map(|(n, p)| ProxyInfo {
                host: Host(100 + n as u32),
                incarnation: 1,
                zone: zone_name(n),
                region: region_of(&zone_name(n)),
                port: 1,
                ready: true,
                idle_nodes: p.quiet.clone(),
            })
            .collect()
    }

    fn scene(&self, gateway: usize, lag: f64) -> View {
        let store = self.as_of(lag);
        View {
            now: self.gateways[gateway].clock.now(self.now),
            contracts: store.contracts.clone(),
            orders: store.orders.clone(),
            records: store.nights.clone(),
            zone_regions: (0..SEATS).map(|n| (zone_name(n), region_of(&zone_name(n)))).collect(),
            backends: self.backends.clone(),
            proxies: self.members(),
            isolated_proxies: self.proxies.iter().filter(|p| p.cut).count(),
            unreachable_zones: (0..SEATS).filter(|n| self.seat_cut[*n]).map(zone_name).collect(),
            evacuated_zones: self.evacuated.clone(),
            max_lost_zones: 1,
            max_lost_regions: 1,
            service_regions: vec![("pay".into(), vec!["r0".into(), "r1".into()])],
            may_be_stale: false,
        }
    }

    fn trouble(&mut self) {
        match self.below(11) {
            0 => {
                let cut = self.below(SEATS);
                self.seat_cut[cut] = !self.seat_cut[cut];
            }
            1 => {
                // One clock jumps, and comes back before another does.
                let at = self.below(SEATS);
                if self.walls.iter().all(|wall| wall.abs() <= 250.0) {
                    self.walls[at] += if self.chance() < 0.5 { -40_000.0 } else { 40_000.0 };
                } else {
                    self.walls.iter_mut().filter(|wall| wall.abs() > 250.0).for_each(|wall| *wall = 0.0);
                }
            }
            2 => {
                let n = self.below(PROXIES);
                self.proxies[n].cut = !self.proxies[n].cut;
            }
            3 => {
                // A gateway dies and is back: it knows no time.
                let (n, now) = (self.below(2), self.now);
                self.gateways[n] =
                    Gateway { clock: Clock::default(), born: now, busy: now, holds: true, since: now };
            }
            4 => {
                let n = self.below(2);
                self.gateways[n].holds = !self.gateways[n].holds;
                self.gateways[n].since = self.now;
            }
            5 => {
                let name = if self.chance() < 0.5 { "one" } else { "two" };
                let wanted = [
                    OrderState::Running,
                    OrderState::Running,
                    OrderState::Paused,
                    OrderState::Ended,
                    OrderState::Withdrawn,
                ][self.below(5)];
                if let Some(order) = self.store.orders.get_mut(name) {
                    order.state = wanted;
                    self.store.touch(&format!("w:{name}"), true);
                    self.changed.insert(name.into(), self.now);
                }
            }
            6 => {
                let from = 20.0 + self.chance() * 60.0;
                let to = from + 20.0 + self.chance() * 150.0;
                self.contract(from, to);
            }
            7 => {
                let approved = self.chance() < 0.6;
                if let Some(contract) = self.store.contracts.get_mut("nights") {
                    contract.approved_by = approved.then(|| "director".into());
                }
                self.store.touch("c:nights", true);
                self.changed.insert("nights".into(), self.now);
            }
            8 => {
                let zone = zone_name(self.below(SEATS));
                if !self.evacuated.remove(&zone) {
                    self.evacuated.insert(zone);
                }
            }
            9 => {
                let name = "two";
                if self.chance() < 0.2 && self.store.orders.remove(name).is_some() {
                    self.store.touch("w:two", false);
                    self.changed.insert(name.into(), self.now);
                }
            }
            _ => {
                let n = self.below(12);
                self.backends[n].draining = !self.backends[n].draining;
            }
        }
    }

    fn heeds(&self, proxy: usize) -> BTreeSet<String> {
        let proxy = &self.proxies[proxy];
        let over =
            |ends: f64| proxy.time.is_some_and(|(at, span)| span.advanced_by(self.now - at).latest >= ends);
        let nights = proxy.copy.values().filter(|night| !over(night.ends));
        nights.flat_map(|night| night.drained_nodes().into_iter().map(|node| node.to_string())).collect()
    }

    fn holds(node: &str, backend: &Backend) -> bool {
        node == format!("backend:{}", backend.id) || node == format!("zone:{}", backend.zone)
    }

    fn proxies_work(&mut self) {
        for n in 0..PROXIES {
            if !self.proxies[n].cut {
                let lag = self.chance() * 600.0;
                let copy = self.as_of(lag).nights.clone();
                let newest = |night: &MaintenanceRecord| night.nodes.values().map(Vec::len).sum::<usize>();
                for (name, night) in copy {
                    let known = self.proxies[n].copy.get(&name);
                    if known.is_none_or(|known| newest(known) < newest(&night)) {
                        self.proxies[n].copy.insert(name, night);
                    }
                }
                let gateway = usize::from(n % 2 == 1);
                if let Some(span) = self.gateways[gateway].clock.now(self.now) {
                    self.proxies[n].time = Some((self.now, span));
                }
            }
            let heeds = self.heeds(n);
            let now = self.now;
            self.proxies[n].work.retain(|(_, until)| now < *until);
            let free: Vec<String> = self
                .backends
                .iter()
                .filter(|b| !heeds.iter().any(|node| Self::holds(node, b)))
                .map(|b| b.id.clone())
                .collect();
            for _ in 0..2 {
                if free.is_empty() {
                    break;
                }
                let at = self.below(free.len());
                // Now and then an upload that is slower than all.
                let long = if self.chance() < 0.01 { 60_000.0 } else { 800.0 };
                let until = self.now + self.chance() * long;
                self.proxies[n].work.push((free[at].clone(), until));
            }
            let quiet = heeds.iter().filter(|node| {
                let busy = |(id, _): &(String, f64)| {
                    self.backends.iter().any(|b| b.id == *id && Self::holds(node, b))
                };
                !self.proxies[n].work.iter().any(busy)
            });
            let quiet = quiet.cloned().collect();
            if !self.proxies[n].cut {
                self.proxies[n].quiet = quiet;
            }
        }
    }

    fn gateways_decide(&mut self) {
        let seats: Vec<Host> = (0..SEATS as u32).map(Host).collect();
        for n in 0..2 {
            for (at, seat) in seats.iter().enumerate() {
                if !self.seat_cut[at] && self.now > self.gateways[n].born {
                    let (way, back) = (self.chance() * 150.0, self.chance() * 80.0);
                    let wall = self.truth() - back + self.walls[at];
                    let now = self.now;
                    self.gateways[n].clock.record_reading(*seat, now - back - way, now, wall);
                }
            }
            let now = self.now;
            self.gateways[n].clock.update(now, &seats, 1);
            if !self.gateways[n].holds || now < self.gateways[n].busy {
                continue;
            }
            let lag = self.chance() * 500.0;
            let scene = self.scene(n, lag);
            let number = self.as_of(lag).number();
            if let Some(step) = next_step(&scene, &format!("g{n}"), |_| true) {
                let delay = if self.chance() < 0.1 { 3000.0 } else { 100.0 + self.chance() * 300.0 };
                self.gateways[n].busy = now + delay + 700.0;
                if self.chance() > 0.05 {
                    self.flights.push((now + delay, number, step.order, step.record, step.node, step.phase));
                }
            }
        }
    }

    fn steps_arrive(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flights).into_iter().partition(|f| f.0 <= now);
        self.flights = rest;
        for (_, number, name, night, node, phase) in due {
            if number != self.store.number() {
                continue;
            }
            let seed = self.number;
            let began = self.store.nights.get(&name).and_then(|night| night.phase(&node)) != Some(phase);
            if phase == Phase::Draining && began {
                let order = &self.store.orders[&name];
                let contract = &self.store.contracts[&order.contract];
                let truth = self.truth();
                assert!(order.state == OrderState::Running && contract.approved_by.is_some(), "seed {seed}");
                let window = contract
                    .window_at(truth)
                    .unwrap_or_else(|| panic!("seed {seed}: {node} drained outside the hours"));
                assert!(window.to - truth >= order.out_duration, "seed {seed}: too late to begin");
                assert!(night.drained_nodes().len() <= order.limits.order, "seed {seed}");
            }
            if phase == Phase::Out && began {
                self.assert_quiet(&node.to_string(), "released");
            }
            *self.reached.entry(phase).or_default() += 1;
            self.store.nights.insert(name.clone(), night);
            self.store.touch(&format!("n:{name}"), true);
            self.store.touch(&format!("d:{name}"), true);
            let zones = self
                .store
                .nights
                .values()
                .flat_map(MaintenanceRecord::drained_nodes)
                .filter(|n| matches!(n, Node::Zone(_)))
                .count();
            assert!(zones <= 1, "seed {seed}: more zones out than may be lost");
            for service in SERVICES {
                let out: Vec<Node> =
                    self.store.nights.values().flat_map(MaintenanceRecord::drained_nodes).collect();
                let left = self.backends.iter().filter(|b| b.service == service);
                let mut left = left.filter(|b| !out.iter().any(|n| Self::holds(&n.to_string(), b)));
                assert!(left.next().is_some(), "seed {seed}: nothing is left of {service}");
            }
        }
    }

    fn assert_quiet(&self, node: &str, when: &str) {
        for (n, proxy) in self.proxies.iter().enumerate() {
            let busy = proxy
                .work
                .iter()
                .find(|(id, _)| self.backends.iter().any(|b| b.id == *id && Self::holds(node, b)));
            assert!(
                busy.is_none(),
                "seed {}: {when} {node} while proxy {n} has {busy:?} there at {}",
                self.number,
                self.now
            );
        }
    }

    fn check(&self) {
        let (truth, seed) = (self.truth(), self.number);
        // Whoever is cut off: nobody heeds a drain beyond the hours that it was begun in.
        for n in 0..PROXIES {
            for night in self.proxies[n].copy.values().filter(|night| !night.drained_nodes().is_empty()) {
                let heeds = self.heeds(n);
                let still = night.drained_nodes().iter().any(|node| heeds.contains(&node.to_string()));
                assert!(!still || truth < night.ends, "seed {seed}: proxy {n} drains beyond the hours");
            }
        }
        // What operators want binds while a gateway holds the order.
        for (name, night) in &self.store.nights {
            let Some(node) = night.drained_nodes().first().cloned() else { continue };
            let order = self.store.orders.get(name);
            let contract = order.and_then(|order| self.store.contracts.get(&order.contract));
            let runs = order.is_some_and(|o| matches!(o.state, OrderState::Running | OrderState::Paused));
            let holds =
                runs && contract.is_some_and(|c| c.approved_by.is_some() && c.window_at(truth).is_some());
            let since = [name.as_str(), "nights"]
                .iter()
                .filter_map(|n| self.changed.get(*n))
                .fold(0.0, |a: f64, b| a.max(*b));
            let idle = self.gateways.iter().all(|g| !g.holds);
            let born = self.gateways.iter().filter(|g| g.holds).map(|g| g.since).fold(0.0, f64::max);
            assert!(
                holds || idle || self.now - since.max(born) < BINDS,
                "seed {seed}: {node} of {name} stays out at {}",
                self.now
            );
        }
    }

    fn run(&mut self, seconds: f64, calm: bool) {
        let end = self.now + seconds * 1000.0;
        while self.now < end {
            self.now += TICK;
            if !calm && self.chance() < 0.012 {
                self.trouble();
            }
            self.proxies_work();
            self.steps_arrive();
            self.history.push((self.now, self.store.clone()));
            if self.history.len() > 8 {
                self.history.remove(0);
            }
            self.gateways_decide();
            self.check();
        }
    }
}

#[test]
fn drawn_nights_keep_hours_budget_and_what_is_in_hand_and_they_end() {
    let nights = std::env::var("NIGHTS").ok().and_then(|n| n.parse().ok()).unwrap_or(1000);
    let mut reached: BTreeMap<Phase, usize> = BTreeMap::new();
    let first = std::env::var("NIGHT").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    for seed in first..first + nights {
        let mut world = World::new(seed);
        world.run(320.0, false);
        // All is well again: whatever is out goes back, since the hours are over.
        let now = world.now;
        world.gateways.iter_mut().filter(|g| !g.holds).for_each(|g| (g.holds, g.since) = (true, now));
        world.walls = [0.0; SEATS];
        world.run(30.0, true);
        let out: Vec<Node> = world.store.nights.values().flat_map(MaintenanceRecord::drained_nodes).collect();
        assert!(out.is_empty(), "seed {seed}: {out:?} is still out");
        world.reached.into_iter().for_each(|(phase, n)| *reached.entry(phase).or_default() += n);
    }
    // The worlds are not empty: each phase was reached often.
    for phase in [Phase::Draining, Phase::Out, Phase::Serviced, Phase::Unserviced] {
        assert!(reached.get(&phase).is_some_and(|n| *n > nights as usize / 4), "{reached:?}");
    }
}
