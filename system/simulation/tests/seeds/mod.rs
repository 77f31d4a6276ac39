//! The seeds of the simulations.

/// `usual` seeds from 0. `WORLD_SEEDS` overrides how many, `WORLD_FIRST` the first one.
pub fn seeds(usual: u64) -> std::ops::Range<u64> {
    let number = |name: &str, usual| std::env::var(name).map_or(usual, |n| n.parse().unwrap());
    let first = number("WORLD_FIRST", 0);
    first..first + number("WORLD_SEEDS", usual)
}
