//! Which worlds are drawn.

/// As many as usual, from 0; `WORLD_SEEDS` is how many instead, `WORLD_FIRST` the first of them.
pub fn seeds(usual: u64) -> std::ops::Range<u64> {
    let number = |name: &str, usual| std::env::var(name).map_or(usual, |n| n.parse().unwrap());
    let first = number("WORLD_FIRST", 0);
    first..first + number("WORLD_SEEDS", usual)
}
