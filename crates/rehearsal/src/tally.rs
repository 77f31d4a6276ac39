//! The shared quota counter with no I/O and no clock: parts of fixed capacity, a wait, names that live for a while.

use std::collections::HashMap;

/// What the counter can do.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Calls a second, all parts together.
    pub capacity: f64,
    /// Parts that names are split over.
    pub parts: usize,
    /// A call that would wait longer is turned away, in ms.
    pub longest_wait: f64,
}

/// The longest life of a name, in ms.
pub const LONGEST_LIFE: f64 = 60_000.0;
/// Names are looked through for expired ones when there are this many.
const MANY: usize = 4096;

/// What comes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The total, and how long the call waits for its turn, in ms.
    Total(f64, f64),
    /// Turned away, nothing added.
    Busy,
}

struct Name {
    total: f64,
    ends: f64,
}

/// The counter.
pub struct Tally {
    figures: Figures,
    busy_until: Vec<f64>,
    names: HashMap<String, Name>,
    /// When names are next looked through.
    sweep_at: usize,
}

/// A stable hash: which part a name belongs to must not change with the build.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Tally {
    /// A counter at zero.
    pub fn new(figures: Figures) -> Self {
        let busy_until = vec![f64::NEG_INFINITY; figures.parts.max(1)];
        Self { figures, busy_until, names: HashMap::new(), sweep_at: MANY }
    }

    /// Adds an amount to a name that lives for `life` ms if it is new.
    pub fn add(&mut self, now: f64, name: &str, amount: f64, life: f64) -> Answer {
        let parts = self.busy_until.len();
        let part = (hash(name) % parts as u64) as usize;
        let busy = &mut self.busy_until[part];
        let wait = (*busy - now).max(0.0);
        if wait > self.figures.longest_wait {
            return Answer::Busy;
        }
        *busy = now.max(*busy) + 1000.0 * parts as f64 / self.figures.capacity;
        if self.names.len() >= self.sweep_at {
            self.names.retain(|_, name| name.ends > now);
            self.sweep_at = (2 * self.names.len()).max(MANY);
        }
        let ends = now + life.clamp(1.0, LONGEST_LIFE);
        let entry = self.names.entry(name.to_owned()).or_insert(Name { total: 0.0, ends });
        if entry.ends <= now {
            *entry = Name { total: 0.0, ends };
        }
        entry.total += amount;
        Answer::Total(entry.total, wait)
    }

    /// It is replaced by one that starts at zero.
    pub fn replace(&mut self) {
        self.names.clear();
        self.sweep_at = MANY;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FIGURES: Figures = Figures { capacity: 100.0, parts: 1, longest_wait: 25.0 };

    #[test]
    fn calls_wait_their_turn_and_are_turned_away_when_that_is_long() {
        let mut tally = Tally::new(FIGURES);
        assert_eq!(tally.add(0.0, "a", 2.0, 1000.0), Answer::Total(2.0, 0.0));
        assert_eq!(tally.add(0.0, "b", 1.0, 1000.0), Answer::Total(1.0, 10.0));
        assert_eq!(tally.add(0.0, "a", -0.5, 1000.0), Answer::Total(1.5, 20.0));
        assert_eq!(tally.add(0.0, "a", 9.0, 1000.0), Answer::Busy);
        // Nothing was added by the call that was turned away.
        assert_eq!(tally.add(5.0, "a", 1.0, 1000.0), Answer::Total(2.5, 25.0));
    }

    #[test]
    fn a_second_takes_its_capacity_split_over_the_parts() {
        let mut tally = Tally::new(Figures { parts: 2, longest_wait: 0.0, ..FIGURES });
        let taken = (0..10_000).filter(|n| {
            let answer = tally.add(f64::from(*n) * 0.1, &format!("n{n}"), 1.0, 100.0);
            answer != Answer::Busy
        });
        assert!((98..=102).contains(&taken.count()));
    }

    #[test]
    fn names_are_forgotten_at_the_end_of_their_life_and_at_a_replacement() {
        let mut tally = Tally::new(FIGURES);
        tally.add(0.0, "a", 5.0, 1000.0);
        // A later call does not lengthen the life.
        assert_eq!(tally.add(999.0, "a", 1.0, 5000.0), Answer::Total(6.0, 0.0));
        assert_eq!(tally.add(1010.0, "a", 1.0, 90_000.0), Answer::Total(1.0, 0.0));
        assert_eq!(tally.add(60_999.0, "a", 1.0, 1.0), Answer::Total(2.0, 0.0));
        assert_eq!(tally.add(61_020.0, "a", 1.0, 1000.0), Answer::Total(1.0, 0.0));
        tally.replace();
        assert_eq!(tally.add(61_100.0, "a", 1.0, 1000.0), Answer::Total(1.0, 0.0));
    }
}
