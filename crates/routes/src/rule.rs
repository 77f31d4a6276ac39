//! What holds for an operation, and which of two figures is the stricter one.
//!
//! [`Rule::strictest`] takes the stricter figure of each kind. It is commutative, associative and idempotent, and its
//! result is never laxer than either side.

use std::collections::BTreeMap;
use std::fmt;

/// What repeating an operation may do; the stricter the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// Safe to repeat at any time.
    Safe,
    /// Carries a key: backends of one group drop a repeat while they remember it.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// Reads its name.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "safe" => Self::Safe,
            "keyed" => Self::Keyed,
            "unsafe" => Self::Unsafe,
            _ => return None,
        })
    }
}

/// The backends that share the memory of a key; the stricter (the smaller) the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Group {
    /// All backends.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl Group {
    /// Reads its name.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "all" => Self::All,
            "zone" => Self::Zone,
            "cell" => Self::Cell,
            _ => return None,
        })
    }
}

/// Where a parameter stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    /// In the path.
    Path,
    /// In the query.
    Query,
    /// In a header.
    Header,
}

impl Place {
    /// Reads its name.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "path" => Self::Path,
            "query" => Self::Query,
            "header" => Self::Header,
            _ => return None,
        })
    }
}

/// A parameter whose value is a number of units.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Parameter {
    /// Where it stands.
    pub place: Place,
    /// Its name; of a header in lower case.
    pub name: String,
}

impl Parameter {
    /// A parameter by its place and its name as it is written there.
    pub fn new(place: Place, name: &str) -> Self {
        let name = if place == Place::Header { name.to_ascii_lowercase() } else { name.to_owned() };
        Self { place, name }
    }
}

/// The units that an operation costs: the greatest of a constant and of the values of its parameters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Units {
    /// At least so many.
    pub least: u32,
    /// Parameters, each with the least and the greatest value that is taken.
    pub by: BTreeMap<Parameter, (u32, u32)>,
}

/// What holds for an operation. Times are in ms; none means that nobody has said.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rule {
    /// Its class.
    pub class: Option<String>,
    /// What repeating it may do.
    pub effect: Effect,
    /// Who drops a keyed repeat.
    pub group: Group,
    /// For how long a keyed repeat is dropped.
    pub key_memory: Option<u64>,
    /// An answer within this time has its full worth.
    pub aim: Option<u64>,
    /// How long a client waits at most.
    pub deadline: Option<u64>,
    /// What it costs.
    pub units: Units,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.effect {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        write!(f, "class={} effect={effect}", self.class.as_deref().unwrap_or("-"))?;
        match self.group {
            Group::All => {}
            Group::Zone => f.write_str(" group=zone")?,
            Group::Cell => f.write_str(" group=cell")?,
        }
        for (name, ms) in [("key-memory", self.key_memory), ("aim", self.aim), ("deadline", self.deadline)] {
            if let Some(ms) = ms {
                write!(f, " {name}={ms}ms")?;
            }
        }
        write!(f, " units={}", self.units.least.max(1))?;
        for (parameter, (least, most)) in &self.units.by {
            write!(f, " units-by={}:{least}..={most}", parameter.name)?;
        }
        Ok(())
    }
}

impl Default for Rule {
    /// The laxest rule: whatever is joined to it wins.
    fn default() -> Self {
        Self {
            class: None,
            effect: Effect::Safe,
            group: Group::All,
            key_memory: None,
            aim: None,
            deadline: None,
            units: Units::default(),
        }
    }
}

/// The lesser of what is said.
fn least<T: Ord>(one: Option<T>, other: Option<T>) -> Option<T> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

impl Rule {
    /// The stricter figure of each kind. Of two classes the first by name is taken: neither is stricter than the other, and
    /// the result must not depend on the order.
    #[must_use]
    pub fn strictest(self, other: Self) -> Self {
        let mut units = self.units;
        units.least = units.least.max(other.units.least);
        for (parameter, (low, high)) in other.units.by {
            let held = units.by.entry(parameter).or_insert((low, high));
            *held = (held.0.min(low), held.1.max(high));
        }
        Self {
            class: least(self.class, other.class),
            effect: self.effect.max(other.effect),
            group: self.group.max(other.group),
            key_memory: least(self.key_memory, other.key_memory),
            aim: least(self.aim, other.aim),
            deadline: least(self.deadline, other.deadline),
            units,
        }
    }

    /// Whether this rule is at least as strict as another in all that binds the gateway.
    pub fn is_as_strict_as(&self, other: &Self) -> bool {
        let shorter = |mine: Option<u64>, theirs: Option<u64>| match (mine, theirs) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(mine), Some(theirs)) => mine <= theirs,
        };
        let costs = self.units.least >= other.units.least
            && other.units.by.iter().all(|(parameter, (low, high))| {
                self.units.by.get(parameter).is_some_and(|(l, h)| l <= low && h >= high)
            });
        self.effect >= other.effect
            && self.group >= other.group
            && shorter(self.key_memory, other.key_memory)
            && shorter(self.aim, other.aim)
            && shorter(self.deadline, other.deadline)
            && costs
    }
}
