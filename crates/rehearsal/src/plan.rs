//! All that a rehearsal draws ahead from its seed: accounts, arrivals, how they are spread, and whom a trouble strikes.
//!
//! No I/O and no clock. What is drawn here does not depend on what the gateways do, so two builds get the same day.

use crate::scenario::{Scenario, TroubleKind};
use fennelscale_settings::units::{Range, Share, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Of which draw a stream of random numbers is, so that one more draw in one place moves nothing elsewhere.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Accounts and arrivals.
    Arrivals = 1,
    /// The fleet: machines.
    Fleet = 2,
    /// Whom troubles strike.
    Troubles = 3,
    /// Clients: waits, patience.
    Clients = 4,
    /// Nodes: work, errors.
    Nodes = 5,
    /// Lateness of news, of answers.
    Services = 6,
}

/// The random numbers of a stream.
pub fn random(seed: u64, stream: Stream) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream as u64);
    random
}

/// How an account uses its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Well under it.
    Calm,
    /// Nearly all of it.
    Full,
    /// More than it, for long spells.
    Heavy,
    /// Little, and now and then far more than it.
    Spiky,
    /// Only as part of a trouble.
    None,
}

/// One account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Its plan's place in the scenario.
    pub plan: usize,
    /// How it uses its quota.
    pub used: Use,
    /// The first gateway of its set; the others follow in a row.
    pub first: usize,
    /// Gateways in its set.
    pub spread: usize,
    /// Whether its clients honour `Retry-After`.
    pub honours: bool,
    /// The weights of its gateways, one row for each of `Day::moves`.
    pub weights: Vec<Vec<f64>>,
}

/// One request that will be wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, in ms.
    pub at: f64,
    /// Whose.
    pub account: u32,
    /// Its class's place in the scenario.
    pub class: usize,
}

/// One node of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodePlan {
    /// Its rack.
    pub rack: usize,
    /// Cores.
    pub cores: usize,
    /// Work that a core does in 1 ms.
    pub speed: f64,
}

/// The day as it was drawn.
#[derive(Clone, Debug)]
pub struct Day {
    /// All accounts; their numbers are their places.
    pub accounts: Vec<Account>,
    /// All arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// When the busiest gateways of accounts change, in ms, from 0.
    pub moves: Vec<f64>,
    /// The nodes.
    pub nodes: Vec<NodePlan>,
    /// For each trouble, the gateways, nodes or accounts that it strikes.
    pub struck: Vec<Vec<usize>>,
}

/// A number drawn with a mean of 1, exponentially.
pub fn exponential(random: &mut impl Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// A number drawn from the normal distribution.
fn normal(random: &mut impl Rng) -> f64 {
    (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt()
        * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// The place of a draw among shares that add up to 1.
fn place(shares: impl Iterator<Item = f64>, draw: f64) -> usize {
    let mut sum = 0.0;
    let mut last = 0;
    for (n, share) in shares.enumerate() {
        sum += share;
        last = n;
        if draw < sum {
            return n;
        }
    }
    last
}

/// What a calm and a spiky account use of their rate, and a full one.
const CALM: Range<Share> = Range::of(0.17, 0.5);
const FULL: f64 = 0.93;
/// A spike's length and the time between two, in ms.
const SPIKE: Range<Time> = Range::of(1200.0, 4700.0);
const SPIKE_EVERY: Range<Time> = Range::of(10_000.0, 25_000.0);

impl Day {
    /// Draws the day of a scenario.
    pub fn draw(scenario: &Scenario, seed: u64) -> Self {
        let (nodes, mut random) = (fleet(scenario, seed), random(seed, Stream::Arrivals));
        let mut moves = vec![0.0];
        while moves[moves.len() - 1] < scenario.length.0 {
            moves.push(moves[moves.len() - 1] + scenario.front.moves.at(random.random()));
        }
        let mut day = Self { accounts: Vec::new(), arrivals: Vec::new(), moves, nodes, struck: Vec::new() };
        for (plan, terms) in scenario.plan.iter().enumerate() {
            let wanted = scenario.clients.offered.0 * terms.share.0;
            let mut offered = 0.0;
            while offered < wanted {
                let (used, of_rate) = usage(terms.full.0, terms.heavy.0, terms.spiky.0, &mut random);
                // The last one may bring no more than is missing, so that small plans keep to their share.
                let of_rate = of_rate.min((wanted - offered) / terms.rate.0).max(0.01);
                offered += terms.rate.0 * of_rate;
                day.add_account(scenario, plan, used, of_rate, &mut random);
            }
        }
        day.strike(scenario, seed);
        day.arrivals.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.account.cmp(&b.account)));
        day
    }

    /// One account, with nothing that it wants yet; its number.
    fn new_account(&mut self, scenario: &Scenario, plan: usize, used: Use, random: &mut impl Rng) -> u32 {
        let spread = scenario.plan[plan].spread;
        let weights = self.moves.iter().map(|_| {
            let draw = |_| (scenario.front.skew * normal(random)).exp();
            let row: Vec<f64> = (0..spread).map(draw).collect();
            let sum: f64 = row.iter().sum();
            row.into_iter().map(|w| w / sum).collect()
        });
        let weights = weights.collect();
        let first = random.random_range(0..scenario.fleet.gateways);
        let honours = random.random::<f64>() < scenario.clients.honour.0;
        self.accounts.push(Account { plan, used, first, spread, honours, weights });
        (self.accounts.len() - 1) as u32
    }

    fn add_account(
        &mut self, scenario: &Scenario, plan: usize, used: Use, of_rate: f64, random: &mut impl Rng,
    ) {
        let account = self.new_account(scenario, plan, used, random);
        let (terms, length) = (&scenario.plan[plan], scenario.length.0);
        let base = terms.rate.0 * of_rate;
        match used {
            Use::Heavy => {
                self.ask(scenario, account, base * terms.heavy_times.max(1.0), (0.0, length), random)
            }
            _ => self.ask(scenario, account, base, (0.0, length), random),
        }
        if used == Use::Spiky {
            let mut at = SPIKE_EVERY.at(random.random()) * random.random::<f64>();
            while at < length {
                let end = at + SPIKE.at(random.random());
                self.ask(scenario, account, terms.rate.0 * terms.spike_times, (at, end.min(length)), random);
                at = end + SPIKE_EVERY.at(random.random());
            }
        }
    }

    /// Requests at a rate over a span, at random times.
    fn ask(
        &mut self, scenario: &Scenario, account: u32, rate: f64, (from, to): (f64, f64),
        random: &mut impl Rng,
    ) {
        let mut at = from;
        if rate <= 0.0 {
            return;
        }
        loop {
            at += exponential(random) * 1000.0 / rate;
            if at >= to {
                return;
            }
            let class = place(scenario.class.iter().map(|c| c.share.0), random.random());
            self.arrivals.push(Arrival { at, account, class });
        }
    }

    fn strike(&mut self, scenario: &Scenario, seed: u64) {
        let mut random = random(seed, Stream::Troubles);
        for trouble in &scenario.trouble {
            let (from, to) = (trouble.at.0, trouble.end().min(scenario.length.0));
            let load = scenario.clients.offered.0 * trouble.part();
            let struck = match trouble.kind {
                TroubleKind::KillGateways | TroubleKind::RestartGateways => {
                    some_of(scenario.fleet.gateways, trouble.part(), &mut random)
                }
                TroubleKind::KillNodes | TroubleKind::StallNodes | TroubleKind::DrainNodes => {
                    some_of(scenario.fleet.nodes, trouble.part(), &mut random)
                }
                TroubleKind::Flood => {
                    let count = trouble.accounts.unwrap_or(1);
                    let plan = trouble.plan.as_ref().and_then(|name| scenario.plan_place(name));
                    (0..count)
                        .map(|_| {
                            let plan = plan.unwrap_or_else(|| random.random_range(0..scenario.plan.len()));
                            let account = self.new_account(scenario, plan, Use::None, &mut random);
                            self.ask(scenario, account, load / count as f64, (from, to), &mut random);
                            account as usize
                        })
                        .collect()
                }
                TroubleKind::SeenOnce => {
                    let mut at = from;
                    loop {
                        // With no load the first wait never ends.
                        at += exponential(&mut random) * 1000.0 / load;
                        if at.is_nan() || at >= to {
                            break;
                        }
                        let plan = place(scenario.plan.iter().map(|p| p.share.0), random.random());
                        let account = self.new_account(scenario, plan, Use::None, &mut random);
                        let class = place(scenario.class.iter().map(|c| c.share.0), random.random());
                        self.arrivals.push(Arrival { at, account, class });
                    }
                    Vec::new()
                }
                _ => Vec::new(),
            };
            self.struck.push(struck);
        }
    }

    /// The weights of an account's gateways at a time, in the order of its set.
    pub fn weights(&self, account: usize, at: f64) -> &[f64] {
        let row = self.moves.partition_point(|m| *m <= at).saturating_sub(1);
        self.accounts.get(account).and_then(|a| a.weights.get(row)).map_or(&[], Vec::as_slice)
    }
}

fn usage(full: f64, heavy: f64, spiky: f64, random: &mut impl Rng) -> (Use, f64) {
    let calm = CALM.at(random.random());
    match place([full, heavy, spiky, 1.0].into_iter(), random.random()) {
        0 => (Use::Full, FULL),
        1 => (Use::Heavy, 1.0),
        2 => (Use::Spiky, calm),
        _ => (Use::Calm, calm),
    }
}

/// A share of so many, at least one where the share is not nothing.
fn some_of(count: usize, share: f64, random: &mut impl Rng) -> Vec<usize> {
    let wanted = ((count as f64 * share).round() as usize).clamp(usize::from(share > 0.0), count);
    let mut all: Vec<usize> = (0..count).collect();
    for n in 0..wanted {
        let other = random.random_range(n..count);
        all.swap(n, other);
    }
    all.truncate(wanted);
    all.sort_unstable();
    all
}

fn fleet(scenario: &Scenario, seed: u64) -> Vec<NodePlan> {
    let mut random = random(seed, Stream::Fleet);
    let count = scenario.fleet.nodes;
    (0..count)
        .map(|n| {
            // Shares are kept as well as whole nodes allow, whatever the seed.
            let machine = place(scenario.machine.iter().map(|m| m.share.0), (n as f64 + 0.5) / count as f64);
            let machine = &scenario.machine[machine];
            let speed = machine.speed.at(random.random());
            NodePlan { rack: n % scenario.fleet.racks, cores: machine.cores, speed }
        })
        .collect()
}
