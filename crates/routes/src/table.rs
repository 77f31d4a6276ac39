//! The table of routes: operations by method and templated path, joined by the stricter figure, and matched.

use crate::path::{self, Unclear};
use crate::rule::{Place, Rule};
use matchit::Router;
use std::collections::BTreeMap;
use std::fmt;

/// Where something is said.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// The file, or the backend that published it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The JSON pointer.
    pub pointer: String,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{} {}", self.file, self.line, self.pointer)
    }
}

/// One operation as a source describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// The method, in capitals.
    pub method: String,
    /// The templated path, with the server's prefix.
    pub template: String,
    /// Its id, if it has one.
    pub id: Option<String>,
    /// What holds for it.
    pub rule: Rule,
    /// Where it is said.
    pub source: Source,
}

/// Two sources that say different things of one operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The method and path.
    pub operation: String,
    /// What was said first, and where.
    pub first: (Rule, Source),
    /// What was said then, and where.
    pub second: (Rule, Source),
    /// What holds.
    pub outcome: Rule,
}

/// An operation in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The template as its first source writes it.
    pub template: String,
    /// What holds.
    pub rule: Rule,
    /// All who describe it.
    pub sources: Vec<Source>,
}

/// A template without the names of its parameters: two of one shape match the same paths.
fn shape(template: &str) -> String {
    let mut out = String::with_capacity(template.len());
    let mut inside = false;
    for c in template.chars() {
        inside = (inside || c == '{') && c != '}';
        if !inside || c == '{' {
            out.push(c);
        }
    }
    out
}

/// The names of a template's parameters, in their order.
fn names(template: &str) -> Vec<&str> {
    template.split('{').skip(1).filter_map(|part| part.split_once('}')).map(|(name, _)| name).collect()
}

/// A rule whose path parameters bear the names of one template, by those of another of the same shape.
fn renamed(mut rule: Rule, from: &str, to: &str) -> Rule {
    let (old, new) = (names(from), names(to));
    if old != new {
        let by = std::mem::take(&mut rule.units.by);
        rule.units.by = by
            .into_iter()
            .map(|(mut parameter, bounds)| {
                let at = old.iter().position(|name| *name == parameter.name);
                if let (Place::Path, Some(name)) = (parameter.place, at.and_then(|at| new.get(at))) {
                    parameter.name = (*name).to_owned();
                }
                (parameter, bounds)
            })
            .collect();
    }
    rule
}

/// What cannot be used: a description, a table of classes, a template that cannot be matched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable {
    /// Where it stands.
    pub source: Source,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.source, self.what)
    }
}

impl std::error::Error for Unusable {}

/// All operations.
#[derive(Clone, Debug, Default)]
pub struct Table {
    router: Router<usize>,
    /// By path: the template as it was first written, which names the parameters, and the operations by method.
    paths: Vec<(String, BTreeMap<String, Entry>)>,
    shapes: BTreeMap<String, usize>,
}

/// What a path and a method are.
#[derive(Clone, Debug, PartialEq)]
pub enum Match<'t> {
    /// An operation; its parameters by name.
    Operation(&'t Entry, Vec<(String, String)>),
    /// The path is known, the method is not: these are.
    Method(Vec<&'t str>),
    /// No such path.
    Path,
}

impl Table {
    /// Joins operations; whoever says what in whichever order, the stricter figure holds.
    ///
    /// # Errors
    /// At the first template that cannot be matched.
    pub fn of(operations: impl IntoIterator<Item = Operation>) -> Result<(Self, Vec<Conflict>), Unusable> {
        let (mut table, mut conflicts) = (Self::default(), Vec::new());
        for operation in operations {
            table.add(operation, &mut conflicts)?;
        }
        Ok((table, conflicts))
    }

    fn add(&mut self, operation: Operation, conflicts: &mut Vec<Conflict>) -> Result<(), Unusable> {
        let Operation { method, template, rule, source, .. } = operation;
        let shape = shape(&template);
        let at = match self.shapes.get(&shape) {
            Some(at) => *at,
            None => {
                let at = self.paths.len();
                let unusable = |what: String| Unusable { source: source.clone(), what };
                let plain = shape.replace("{}", "x");
                if path::settle(&plain).as_deref() != Ok(plain.as_str()) {
                    return Err(unusable(format!("the path {template} is not written in its one way")));
                }
                self.router
                    .insert(template.clone(), at)
                    .map_err(|error| unusable(format!("the path {template}: {error}")))?;
                self.shapes.insert(shape, at);
                self.paths.push((template.clone(), BTreeMap::new()));
                at
            }
        };
        let operation = format!("{method} {template}");
        let (first, methods) = &mut self.paths[at];
        let rule = renamed(rule, &template, first);
        match methods.get_mut(&method) {
            None => {
                methods.insert(method, Entry { template: first.clone(), rule, sources: vec![source] });
            }
            Some(held) => {
                let outcome = held.rule.clone().strictest(rule.clone());
                if held.rule != rule {
                    let before = held.sources.first().cloned().unwrap_or_else(|| source.clone());
                    conflicts.push(Conflict {
                        operation,
                        first: (held.rule.clone(), before),
                        second: (rule, source.clone()),
                        outcome: outcome.clone(),
                    });
                }
                held.rule = outcome;
                if !held.sources.contains(&source) {
                    held.sources.push(source);
                }
            }
        }
        Ok(())
    }

    /// All operations with their methods, by path.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Entry)> {
        let by_path = self.shapes.values().filter_map(|at| self.paths.get(*at));
        by_path.flat_map(|(_, methods)| methods.iter().map(|(method, entry)| (method.as_str(), entry)))
    }

    /// Finds the operation of a request. Concrete segments go before templated ones.
    ///
    /// # Errors
    /// When the path could be read in more than one way.
    pub fn find(&self, method: &str, path: &str) -> Result<Match<'_>, Unclear> {
        let path = path::settle(path)?;
        let Ok(matched) = self.router.at(&path) else { return Ok(Match::Path) };
        let (_, methods) = &self.paths[*matched.value];
        let Some(entry) = methods.get(method) else {
            return Ok(Match::Method(methods.keys().map(String::as_str).collect()));
        };
        let parameters = matched.params.iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        Ok(Match::Operation(entry, parameters))
    }
}
