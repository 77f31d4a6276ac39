//! Registries in virtual time: links that delay and are cut, processes that die. Who holds a duty is looked at after every
//! step, at all of them at once.

use super::*;
use post_words::depot::Seat;
use post_words::mix;

const STEP: f64 = 20.0;

/// What a registry is told, and when.
type Input<'a> = Box<dyn FnOnce(&mut Round, f64) + 'a>;

struct World {
    now: f64,
    seed: u64,
    nodes: Vec<Option<Round>>,
    lives: Vec<u64>,
    wire: Vec<(f64, usize, usize, Word, u64)>,
    cut: BTreeSet<(usize, usize)>,
    downs: Vec<(usize, Host, Rc<Down>)>,
    reads: usize,
}

fn host(n: usize) -> Host {
    Host(n as u32 + 1)
}

fn seats(n: usize) -> Seats {
    let seat = |n| Seat { host: host(n), zone: format!("z{n}"), region: format!("r{}", n % 3) };
    Seats { version: 1, seats: (0..n).map(seat).collect() }
}

impl World {
    fn new(seed: u64, n: usize) -> Self {
        let mut world = Self {
            now: 0.0,
            seed,
            nodes: (0..n).map(|_| None).collect(),
            lives: vec![0; n],
            wire: Vec::new(),
            cut: BTreeSet::new(),
            downs: Vec::new(),
            reads: 0,
        };
        (0..n).for_each(|n| world.start(n, true));
        world.run(3000.0);
        world
    }

    fn chance(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.seed) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, n: usize) -> usize {
        (self.chance() * n as f64) as usize
    }

    fn start(&mut self, n: usize, bootstrap: bool) {
        if self.nodes[n].is_some() {
            return;
        }
        self.lives[n] += 1;
        let life = mix((n as u64) << 32 ^ self.lives[n]);
        let mut round =
            Round::new(host(n), life, &format!("z{n}"), &format!("r{}", n % 3), bootstrap, self.now);
        round.seats(self.now, seats(self.nodes.len()));
        self.nodes[n] = Some(round);
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    fn with(&mut self, n: usize, input: impl FnOnce(&mut Round, f64)) {
        self.give(n, Box::new(input));
    }

    fn give(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(round) = self.nodes[n].as_mut() else { return };
        input(round, now);
        let outs = round.outs();
        let mut again = false;
        for out in outs {
            match out {
                Out::Send(to, word) => {
                    let to = to.0 as usize - 1;
                    let way = if to % 3 == n % 3 { 1.0 } else { 55.0 } * (1.0 + self.chance());
                    if !self.cut.contains(&(n, to)) {
                        self.wire.push((self.now + way, to, n, word, self.lives[to]));
                    }
                }
                Out::Down(to, word) => self.downs.push((n, to, word)),
                Out::ReadList => {
                    self.reads += 1;
                    let backend = Backend {
                        id: "i".into(),
                        service: "s".into(),
                        address: "10.0.0.1:1".into(),
                        zone: "z0".into(),
                        slots: 2,
                        draining: self.now > 20_000.0,
                        cold_ms: 0,
                    };
                    let (now, Some(round)) = (self.now, self.nodes[n].as_mut()) else { continue };
                    round.list_read(now, Some(vec![backend]));
                    again = true;
                }
                Out::Close(_) | Out::Note(_) | Out::Log(..) => {}
            }
        }
        if again {
            self.give(n, Box::new(Round::tick));
        }
    }

    fn run(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.wire).into_iter().partition(|(at, ..)| *at <= self.now);
            self.wire = later;
            for (_, to, from, word, life) in due {
                if self.lives[to] == life && !self.cut.contains(&(from, to)) {
                    self.with(to, |round, now| round.word(now, host(from), word));
                }
            }
            (0..self.nodes.len()).for_each(|n| self.with(n, |round, now| round.tick(now)));
            let mut seen = 0;
            for round in self.nodes.iter().flatten() {
                let held = round.held(self.now);
                assert_eq!(seen & held, 0, "two hold a duty at {}", self.now);
                seen |= held;
            }
        }
    }

    fn held(&self) -> u64 {
        self.nodes.iter().flatten().fold(0, |all, round| all | round.held(self.now))
    }
}

const ALL: u64 = (1 << (duties::SHARDS + 1)) - 1;

#[test]
fn drawn_faults_never_give_a_duty_to_two() {
    for seed in 0..60 {
        let mut world = World::new(seed, 6);
        assert_eq!(world.held(), ALL, "every duty is held soon after the start");
        for _ in 0..30 {
            let (n, m) = (world.below(6), world.below(6));
            match world.below(5) {
                0 => world.kill(n),
                1 => world.start(n, false),
                2 => drop(world.cut.insert((n, m))),
                3 => {
                    let side = world.below(64);
                    for a in 0..6 {
                        for b in (0..6).filter(|b| (side >> a & 1) != (side >> b & 1)) {
                            world.cut.insert((a, b));
                        }
                    }
                }
                _ => world.cut.clear(),
            }
            let span = world.chance() * 1500.0;
            world.run(span);
        }
        world.cut.clear();
        (0..6).for_each(|n| world.start(n, false));
        world.run(6000.0);
        assert_eq!(world.held(), ALL, "seed {seed}: every duty is held again");
    }
}

#[test]
fn a_minority_holds_nothing_and_the_rest_takes_over_in_time() {
    let mut world = World::new(3, 6);
    let mine = world.nodes[0].as_ref().unwrap().held(world.now);
    assert_ne!(mine, 0);
    (1..6).for_each(|n| world.cut.extend([(0, n), (n, 0)]));
    world.run(duties::LEASE + 100.0);
    assert_eq!(world.nodes[0].as_ref().unwrap().held(world.now), 0);
    world.run(SILENT + BEAT + 300.0);
    assert_eq!(world.held(), ALL);
}

fn member(n: u32, ready: bool) -> Member {
    let (zone, region) = (format!("z{}", n % 6), format!("r{}", n % 3));
    Member { host: Host(100 + n), life: 1, zone, region, port: 80, ready }
}

#[test]
fn a_session_makes_a_member_everywhere_and_a_cut_core_still_answers() {
    let mut world = World::new(1, 6);
    for n in 0..6_u32 {
        world.with(n as usize, |round, now| round.up(now, Host(100 + n), Up::Hello(member(n, true))));
    }
    let beat = |world: &mut World| {
        for n in 0..6_u32 {
            let up = Up::Beat { ready: true, items: 0, listing: (0, Host(0)) };
            world.with(n as usize, |round, now| round.up(now, Host(100 + n), up));
        }
    };
    for _ in 0..5 {
        world.run(400.0);
        beat(&mut world);
    }
    let round = world.nodes[4].as_ref().unwrap();
    assert_eq!(round.members(world.now).len(), 6);
    assert_eq!(round.resolve(world.now, "r2").len(), 2, "those of the region");
    // Cut off from all others it still names all for a while, and its own for ever.
    (0..6).for_each(|n| world.cut.extend([(4, n), (n, 4)]));
    for _ in 0..6 {
        world.run(400.0);
        beat(&mut world);
    }
    assert_eq!(world.nodes[4].as_ref().unwrap().members(world.now).len(), 6);
    for _ in 0..20 {
        world.run(400.0);
        beat(&mut world);
    }
    assert_eq!(world.nodes[4].as_ref().unwrap().resolve(world.now, "r1").len(), 1);
    // A proxy that says goodbye is gone at once; one that is silent counts for shares for a while.
    world.cut.clear();
    world.run(1000.0);
    world.with(0, |round, now| round.up(now, Host(100), Up::Bye));
    world.run(2500.0);
    let round = world.nodes[1].as_ref().unwrap();
    assert!(round.members(world.now).iter().all(|m| m.host != Host(100)));
}

#[test]
fn a_newer_list_reaches_all_and_an_older_one_changes_nothing() {
    let mut world = World::new(2, 6);
    world.run(18_500.0);
    let stamps: BTreeSet<_> = world.nodes.iter().flatten().map(|r| r.listing().clone().stamp).collect();
    assert_eq!(stamps.len(), 1);
    let reads = world.reads;
    world.run(7000.0);
    assert!(world.reads - reads <= 11, "one reads for all: {} times in 7 s", world.reads - reads);
    for round in world.nodes.iter().flatten() {
        assert!(round.listing().backends[0].draining, "the news has reached all");
    }
    let newest = world.nodes[0].as_ref().unwrap().listing().clone();
    let old = Listing { stamp: (newest.stamp.0 - 1, Host(99)), backends: Vec::new() };
    world.with(0, |round, now| round.word(now, host(1), Word::Listing(old)));
    assert_eq!(*world.nodes[0].as_ref().unwrap().listing(), newest);
}
