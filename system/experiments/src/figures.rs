//! Means with intervals, and two sets of runs seed by seed.

use crate::Fault;
use crate::play::{FIGURES, Set};
use fennelscale_simulation::Rng;
use std::collections::BTreeMap;

/// Samples that are drawn again for an interval.
const DRAWS: usize = 2000;
/// What lies outside of an interval on each side: 95 of 100 lie within.
const TAIL: f64 = 0.025;

/// A mean and where it may lie as well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub of: f64,
    /// 95 of 100 means of samples drawn again from these lie from here ...
    pub from: f64,
    /// ... to here.
    pub to: f64,
    /// How many there were.
    pub many: usize,
}

/// The mean of values; 0 of none.
pub fn mean_of(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl Mean {
    /// Of values; by drawing them again (bootstrap, percentiles), the same for the same values.
    pub fn new(values: &[f64]) -> Self {
        let (mut chance, many) = (Rng::new(values.len() as u64), values.len());
        let mut means: Vec<f64> = (0..DRAWS)
            .map(|_| (0..many).map(|_| values[chance.below(many)]).sum::<f64>() / many.max(1) as f64)
            .collect();
        means.sort_by(f64::total_cmp);
        let at = |part: f64| means[((DRAWS - 1) as f64 * part) as usize];
        Self { of: mean_of(values), from: at(TAIL), to: at(1.0 - TAIL), many }
    }

    /// Whether zero is outside.
    pub fn is_clear(&self) -> bool {
        self.from > 0.0 || self.to < 0.0
    }
}

/// One figure of one scenario in two sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// The scenario.
    pub scenario: String,
    /// The figure.
    pub figure: &'static str,
    /// In the first set.
    pub one: Mean,
    /// In the second.
    pub other: Mean,
    /// The second less the first, seed by seed.
    pub difference: Mean,
    /// Whether that is clear, and for the better.
    pub better: Option<bool>,
}

/// A figure of a scenario by seed.
pub fn by_seed(set: &Set, scenario: &str, figure: &str) -> BTreeMap<u64, f64> {
    let runs = set.scenarios.get(scenario).into_iter().flatten();
    runs.filter_map(|run| Some((run.seed, *run.figures.get(figure)?))).collect()
}

/// Compares two sets on the seeds that both have.
///
/// # Errors
/// When they share no scenario and seed.
pub fn compare(one: &Set, other: &Set) -> Result<Vec<Pair>, Fault> {
    let mut pairs = Vec::new();
    for scenario in one.scenarios.keys().filter(|name| other.scenarios.contains_key(*name)) {
        for (figure, _, more) in FIGURES {
            let (a, b) = (by_seed(one, scenario, figure), by_seed(other, scenario, figure));
            let both: Vec<(f64, f64)> = a.iter().filter_map(|(seed, a)| Some((*a, *b.get(seed)?))).collect();
            if both.is_empty() {
                continue;
            }
            let [ones, others, differences] = [
                both.iter().map(|(a, _)| *a).collect::<Vec<f64>>(),
                both.iter().map(|(_, b)| *b).collect(),
                both.iter().map(|(a, b)| b - a).collect(),
            ];
            let difference = Mean::new(&differences);
            let better = difference.is_clear().then_some((difference.of > 0.0) == more);
            let (one, other) = (Mean::new(&ones), Mean::new(&others));
            pairs.push(Pair { scenario: scenario.clone(), figure, one, other, difference, better });
        }
    }
    if pairs.is_empty() {
        return Err(Fault(
            "the two files share no scenario with the same seeds; run both with the same --first".into(),
        ));
    }
    Ok(pairs)
}
