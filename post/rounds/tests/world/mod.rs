//! Registries in virtual time: links that delay and are cut, processes that die. Who holds a duty is looked at after every
//! step, at all of them at once.

use post_rounds::{Out, Round};
use post_words::Host;
use post_words::depot::Seat;
use post_words::depot::Seats;
use post_words::mix;
use post_words::news::{Backend, Down};
use post_words::round::Word;
use std::collections::BTreeSet;
use std::rc::Rc;

const STEP: f64 = 20.0;

/// What a registry is told, and when.
pub type Input<'a> = Box<dyn FnOnce(&mut Round, f64) + 'a>;

pub struct World {
    pub now: f64,
    seed: u64,
    pub nodes: Vec<Option<Round>>,
    lives: Vec<u64>,
    wire: Vec<(f64, usize, usize, Word, u64)>,
    pub cut: BTreeSet<(usize, usize)>,
    pub downs: Vec<(usize, Host, Rc<Down>)>,
    pub reads: usize,
    /// Bytes of words between registries, and from registries to proxies.
    pub bytes: [usize; 2],
}

pub fn host(n: usize) -> Host {
    Host(n as u32 + 1)
}

pub fn seats(n: usize) -> Seats {
    let seat = |n| Seat { host: host(n), zone: format!("z{n}"), region: format!("r{}", n % 3) };
    Seats { version: 1, seats: (0..n).map(seat).collect() }
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
            Round::new(host(n), life, &format!("z{n}"), &format!("r{}", n % 3), bootstrap, self.now);
        round.seats(self.now, seats(self.nodes.len()));
        self.nodes[n] = Some(round);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    pub fn with(&mut self, n: usize, input: impl FnOnce(&mut Round, f64)) {
        self.give(n, Box::new(input));
    }

    pub fn give(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(round) = self.nodes[n].as_mut() else { return };
        input(round, now);
        let outs = round.outs();
        let mut again = false;
        for out in outs {
            match out {
                Out::Send(to, word) => {
                    self.bytes[0] += post_words::frame(&word).len();
                    let to = to.0 as usize - 1;
                    let way = if to % 3 == n % 3 { 1.0 } else { 55.0 } * (1.0 + self.chance());
                    if !self.cut.contains(&(n, to)) {
                        self.wire.push((self.now + way, to, n, word, self.lives[to]));
                    }
                }
                Out::Down(to, word) => {
                    self.bytes[1] += post_words::frame(&*word).len();
                    self.downs.push((n, to, word));
                }
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

    pub fn run(&mut self, span: f64) {
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

    pub fn held(&self) -> u64 {
        self.nodes.iter().flatten().fold(0, |all, round| all | round.held(self.now))
    }
}
