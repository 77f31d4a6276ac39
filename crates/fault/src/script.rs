//! What is done to a fleet, and when.

use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// How a link, one way, treats what goes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// Passes all.
    #[default]
    Pass,
    /// Connections end, new ones lead nowhere, datagrams are lost.
    Drop,
    /// Bytes are held, connections stay open; what was held goes on when the link passes again.
    Stall,
    /// Everything comes so many ms later.
    Slow(u64),
    /// Each connection passes so many more bytes, then ends in the middle of whatever that was.
    Cut(u64),
}

/// One thing that is done. Processes are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// One link, one way.
    Link {
        /// From this process.
        from: usize,
        /// To this one.
        to: usize,
        /// How it is from now on.
        link: Link,
    },
    /// All links of a process, both ways.
    Links {
        /// The process.
        of: usize,
        /// How they are from now on.
        link: Link,
    },
    /// A process is stopped where it stands.
    Stop(usize),
    /// A stopped process goes on.
    Go(usize),
    /// A process dies at once.
    Kill(usize),
    /// A process is started again, with its disk.
    Start(usize),
    /// A process is started again, with an empty folder in the place of its disk.
    StartWithoutDisk(usize),
    /// All links pass, all processes run.
    Heal,
}

/// A fault and when, in ms from the beginning of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// When.
    pub at: u64,
    /// What.
    pub fault: Fault,
}

/// A fleet and what is done to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Script {
    /// Processes.
    pub processes: usize,
    /// How many of them, the first ones, keep the log.
    pub keepers: usize,
    /// How long a right holds without being renewed, in ms.
    pub lease: u64,
    /// For how long faults come, in ms.
    pub length: u64,
    /// What is done, in order of time.
    pub steps: Vec<Step>,
    /// Clocks: how far each is ahead at its start in ms, and its drift in parts of a million.
    pub clocks: Vec<(u64, i32)>,
}

/// Shortest and longest time between two faults, in ms.
const BETWEEN: std::ops::Range<u64> = 300..2500;

impl Script {
    /// Draws a script from a seed. The same seed draws the same one.
    pub fn draw(seed: u64, processes: usize, keepers: usize, length: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let clocks =
            (0..processes).map(|_| (random.random_range(0..500), random.random_range(-200..=200))).collect();
        let (mut steps, mut at, mut lost) = (Vec::new(), 500, false);
        let (mut down, mut stopped) = (vec![false; processes], vec![false; processes]);
        while at < length {
            let of = random.random_range(0..processes);
            let to = (of + random.random_range(1..processes.max(2))) % processes;
            let link = match random.random_range(0..4) {
                0 => Link::Drop,
                1 => Link::Stall,
                2 => Link::Slow(random.random_range(20..400)),
                _ => Link::Cut(random.random_range(1..2000)),
            };
            let fault = match random.random_range(0..10) {
                0 | 1 => Fault::Link { from: of, to, link },
                2 | 3 => Fault::Links { of, link },
                4 if stopped[of] => Fault::Go(of),
                4 | 5 if !down[of] => Fault::Stop(of),
                6 if !down[of] => Fault::Kill(of),
                7 if down[of] && of < keepers && !lost => Fault::StartWithoutDisk(of),
                6 | 7 if down[of] => Fault::Start(of),
                8 => Fault::Link { from: of, to, link: Link::Pass },
                _ => Fault::Heal,
            };
            match fault {
                Fault::Stop(n) => stopped[n] = true,
                Fault::Go(n) => stopped[n] = false,
                Fault::Kill(n) => (down[n], stopped[n]) = (true, false),
                Fault::Start(n) => down[n] = false,
                // Two disks lost would be a majority of three: what is agreed does not outlive that, nor is it said to.
                Fault::StartWithoutDisk(n) => (down[n], lost) = (false, true),
                Fault::Heal => (down, stopped) = (vec![false; processes], vec![false; processes]),
                Fault::Link { .. } | Fault::Links { .. } => {}
            }
            steps.push(Step { at, fault });
            at += random.random_range(BETWEEN);
        }
        Self { processes, keepers, lease: 1000, length, steps, clocks }
    }

    /// Whether it can be played.
    ///
    /// # Errors
    /// What is wrong, and where.
    pub fn check(&self) -> Result<(), String> {
        if !(2..=64).contains(&self.processes) {
            return Err(format!("processes: {} is not 2 to 64", self.processes));
        }
        if ![1, 3, 5].contains(&self.keepers) || self.keepers > self.processes {
            return Err(format!(
                "keepers: {} is not 1, 3 or 5, or more than there are processes",
                self.keepers
            ));
        }
        if !(500..=60_000).contains(&self.lease) || self.length > 3_600_000 {
            return Err("lease: 500 to 60000 ms; length: 3600000 ms at most".to_owned());
        }
        if self.clocks.len() != self.processes {
            return Err(format!("clocks: {} for {} processes", self.clocks.len(), self.processes));
        }
        let known = |n: usize| n < self.processes;
        let fits = |fault: &Fault| match *fault {
            Fault::Link { from, to, .. } => known(from) && known(to) && from != to,
            Fault::Links { of, .. } => known(of),
            Fault::Stop(n) | Fault::Go(n) | Fault::Kill(n) | Fault::Start(n) | Fault::StartWithoutDisk(n) => {
                known(n)
            }
            Fault::Heal => true,
        };
        match self.steps.iter().position(|step| !fits(&step.fault)) {
            Some(bad) => Err(format!("steps.{bad}: names a process that is not there")),
            None if self.steps.is_sorted_by_key(|step| step.at) => Ok(()),
            None => Err("steps: not in order of time".to_owned()),
        }
    }
}
