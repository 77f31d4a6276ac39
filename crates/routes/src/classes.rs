//! The operator's table of classes: what holds for every operation of a class, whatever its description says laxer.
//!
//! ```yaml
//! licence-order: {effect: unsafe, units: 5, deadline: 10s}
//! playlist-save: {effect: keyed, group: cell, key-memory: 4s, aim: 800ms}
//! ```

use crate::node::Node;
use crate::openapi::{figures, parsed};
use crate::rule::Rule;
use crate::table::{Conflict, Operation, Source, Unusable};
use std::collections::BTreeMap;

/// Classes by name: what holds for each, and where it is said.
pub type Classes = BTreeMap<String, (Rule, Source)>;

/// Reads a table of classes.
///
/// # Errors
/// At the first thing in it that cannot be used.
pub fn read(file: &str, text: &[u8]) -> Result<Classes, Unusable> {
    let root = parsed(file, text)?;
    let entry = |(name, node): &(String, Node)| {
        let pointer = format!("/{name}");
        let rule = figures(file, node, &pointer, "")?;
        let source = Source { file: file.into(), line: node.line, pointer };
        Ok((name.clone(), (Rule { class: Some(name.clone()), ..rule }, source)))
    };
    root.map().iter().map(entry).collect()
}

/// Holds an operation to its class; tells of a figure of its own that gives way.
pub fn hold(operation: &mut Operation, classes: &Classes) -> Option<Conflict> {
    let (rule, source) = classes.get(operation.rule.class.as_deref()?)?;
    let said = operation.rule.clone();
    let outcome = said.clone().strictest(rule.clone());
    operation.rule = outcome.clone();
    let gives_way = said.effect < outcome.effect
        || said.key_memory.is_some() && said.key_memory != outcome.key_memory
        || said.aim.is_some() && said.aim != outcome.aim
        || said.deadline.is_some() && said.deadline != outcome.deadline
        || said.units.least > 0 && said.units != outcome.units;
    gives_way.then(|| Conflict {
        operation: format!("{} {}", operation.method, operation.template),
        first: (said, operation.source.clone()),
        second: (rule.clone(), source.clone()),
        outcome,
    })
}
