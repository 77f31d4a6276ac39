//! A store of units that starts full, fills at a rate and holds its burst at most: a quota or a ceiling.

/// A store of units.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Units a second.
    rate: f64,
    /// The most that it holds.
    burst: f64,
    level: f64,
    at: f64,
}

/// Guards sums of many small amounts against the last bit.
const EXACT: f64 = 1e-9;

impl Store {
    /// A full store.
    pub fn full(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, at: 0.0 }
    }

    fn fill(&mut self, t: f64) {
        self.level = (self.level + self.rate * (t - self.at).max(0.0) / 1000.0).min(self.burst);
        self.at = self.at.max(t);
    }

    /// Takes units if all are there; whether they were.
    pub fn take(&mut self, t: f64, units: f64) -> bool {
        self.fill(t);
        let fits = self.level + EXACT >= units;
        if fits {
            self.level -= units;
        }
        fits
    }

    /// Takes units whether or not they are there; what is then left, below nothing perhaps.
    pub fn draw(&mut self, t: f64, units: f64) -> f64 {
        self.fill(t);
        self.level -= units;
        self.level
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_store_starts_full_fills_at_its_rate_and_holds_its_burst() {
        let mut store = Store::full(2.0, 3.0);
        assert_eq!([(); 4].map(|()| store.take(0.0, 1.0)), [true, true, true, false]);
        assert!(!store.take(499.0, 1.0));
        assert!(store.take(500.0, 1.0));
        assert_eq!([(); 4].map(|()| store.take(60_000.0, 1.0)), [true, true, true, false]);
        assert_eq!(store.draw(60_000.0, 2.0), -2.0);
        assert_eq!(store.draw(60_500.0, 0.0), -1.0);
    }
}
