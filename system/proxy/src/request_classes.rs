//! The request classes of one engine: a class for each combination of retry safety, target latency and priority
//! that requests have. Performs no I/O.
//!
//! # Invariants
//!
//! - A request gets the class of its own combination, however many other combinations there were before. The
//!   number of classes is bounded: a new combination takes over the class that was unused for longest.
//! - A class never changes its retry safety: requests in progress may still refer to it.

use doorcourse::{Class, DedupScope, Name, RetrySafety};
use std::collections::HashMap;

/// Maximum number of classes of one retry safety.
const MAX_CLASSES: usize = 128;
/// Priorities beyond this one count as equal.
const LOWEST_PRIORITY: u32 = 16;

/// What distinguishes the classes of one retry safety: the bits of the target latency in ms, and the priority.
type Combination = (u64, u32);

#[derive(Debug)]
struct Slot {
    name: Name,
    combination: Combination,
    last_used: u64,
}

/// The classes of one retry safety.
#[derive(Debug, Default)]
struct Slots {
    slots: Vec<Slot>,
    by_combination: HashMap<Combination, usize>,
}

impl Slots {
    /// The index of the slot of a combination, and whether it is newly assigned.
    fn assign(&mut self, combination: Combination, prefix: char) -> (usize, bool) {
        if let Some(index) = self.by_combination.get(&combination) {
            return (*index, false);
        }
        let index = self.slots.len();
        if index < MAX_CLASSES {
            let name = format!("{prefix}{index}").as_str().into();
            self.slots.push(Slot { name, combination, last_used: 0 });
            self.by_combination.insert(combination, index);
            return (index, true);
        }
        let least_recently_used = self.slots.iter().enumerate().min_by_key(|(_, slot)| slot.last_used);
        let index = least_recently_used.map_or(0, |(index, _)| index);
        self.by_combination.remove(&self.slots[index].combination);
        self.slots[index].combination = combination;
        self.by_combination.insert(combination, index);
        (index, true)
    }
}

/// The classes of one engine.
#[derive(Debug, Default)]
pub struct RequestClasses {
    repeatable: Slots,
    unrepeatable: Slots,
    uses: u64,
}

impl RequestClasses {
    /// The name of the class of a request, and its definition if the decision module does not have it yet.
    pub fn class(
        &mut self, is_repeatable: bool, target_latency: f64, priority: u32,
    ) -> (Name, Option<Class>) {
        let priority = priority.min(LOWEST_PRIORITY);
        let (slots, prefix, retry_safety) = if is_repeatable {
            (&mut self.repeatable, 's', RetrySafety::Safe)
        } else {
            (&mut self.unrepeatable, 'u', RetrySafety::Unsafe)
        };
        let (index, is_new) = slots.assign((target_latency.to_bits(), priority), prefix);
        self.uses += 1;
        let slot = &mut slots.slots[index];
        slot.last_used = self.uses;
        let class = is_new.then(|| Class {
            name: slot.name.clone(),
            target_latency,
            retry_safety,
            dedup_scope: DedupScope::All,
            dedup_window: 0.0,
            // The configuration gives only a rank; each step halves the value of a request in the queue.
            value: 0.5_f64.powi(priority as i32),
            late_value_share: 0.5,
        });
        (slot.name.clone(), class)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against fields of routes that are not in force: after 256 target latencies and priorities, requests of
    /// later ones were treated by the default class, as not repeatable and with another target latency.
    #[test]
    fn a_request_has_a_class_of_its_own_after_many_other_combinations() {
        let mut classes = RequestClasses::default();
        let mut current: HashMap<Name, Class> = HashMap::new();
        for number in 0..10 * MAX_CLASSES {
            let (is_repeatable, target_latency, priority) = (number % 3 != 0, number as f64, 2);
            let (name, class) = classes.class(is_repeatable, target_latency, priority);
            if let Some(class) = class {
                let before = current.insert(name.clone(), class);
                let safety = current[&name].retry_safety;
                assert!(
                    before.is_none_or(|before| before.retry_safety == safety),
                    "{name} changed its safety"
                );
            }
            let class = &current[&name];
            assert_eq!((class.target_latency, class.value), (target_latency, 0.25));
            assert_eq!(class.retry_safety == RetrySafety::Safe, is_repeatable);
        }
        assert_eq!(current.len(), 2 * MAX_CLASSES);
    }

    #[test]
    fn the_class_that_was_unused_for_longest_is_taken_over() {
        let mut classes = RequestClasses::default();
        let (kept, _) = classes.class(true, 500.0, 1);
        for number in 0..5 * MAX_CLASSES {
            classes.class(true, 1000.0 + number as f64, 1);
            let (name, new) = classes.class(true, 500.0, 1);
            assert!(name == kept && new.is_none());
        }
    }
}
