//! Reads an OpenAPI 3.0 or 3.1 description. Of all that it holds only what routing needs is looked at; references are
//! followed within the document, a bounded number of times.

use crate::node::{self, Node, Value};
use crate::rule::{Effect, Group, Parameter, Place, Rule, Units};
use crate::table::{Operation, Source, Unusable};

/// References that lead to references are followed so far.
const DEEPEST_REFERENCE: usize = 16;
const METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "trace"];
const PREFIX: &str = "x-fennelscale-";

struct Reader<'d> {
    file: &'d str,
    root: &'d Node,
}

/// Reads a description: its operations, in the order of the text.
///
/// # Errors
/// At the first thing in it that cannot be used.
pub fn read(file: &str, text: &[u8]) -> Result<Vec<Operation>, Unusable> {
    let root = parsed(file, text)?;
    Reader { file, root: &root }.operations()
}

/// A file's text as a tree.
pub(crate) fn parsed(file: &str, text: &[u8]) -> Result<Node, Unusable> {
    node::parse(text).map_err(|error| Unusable {
        source: Source { file: file.into(), line: error.line, pointer: String::new() },
        what: error.what,
    })
}

/// A time with its unit, in ms: `250ms`, `4s`, `2m`.
pub fn time(text: &str) -> Option<u64> {
    let at = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(at);
    let factor = match unit {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(factor)
}

/// One step of a JSON pointer.
fn escaped(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

impl<'d> Reader<'d> {
    fn source(&self, node: &Node, pointer: &str) -> Source {
        Source { file: self.file.into(), line: node.line, pointer: pointer.into() }
    }

    fn fail<T>(&self, node: &Node, pointer: &str, what: impl Into<String>) -> Result<T, Unusable> {
        Err(Unusable { source: self.source(node, pointer), what: what.into() })
    }

    /// What a node stands for: itself, or what its `$ref` names.
    fn resolve(&self, node: &'d Node, pointer: &str) -> Result<&'d Node, Unusable> {
        let mut now = node;
        for _ in 0..DEEPEST_REFERENCE {
            let Some(reference) = now.get("$ref") else { return Ok(now) };
            let Some(path) = reference.text().and_then(|text| text.strip_prefix("#/")) else {
                return self.fail(reference, pointer, "a $ref that does not begin with #/ is not followed");
            };
            let mut target = Some(self.root);
            for step in path.split('/') {
                let step = step.replace("~1", "/").replace("~0", "~");
                target = target.and_then(|node| node.get(&step));
            }
            match target {
                Some(target) => now = target,
                None => return self.fail(reference, pointer, format!("the $ref #/{path} leads nowhere")),
            }
        }
        self.fail(
            node,
            pointer,
            format!("more than {DEEPEST_REFERENCE} references in a row; is it a circle?"),
        )
    }

    fn operations(&self) -> Result<Vec<Operation>, Unusable> {
        let version = self.root.get("openapi").and_then(Node::text).unwrap_or_default();
        if !(version.starts_with("3.0") || version.starts_with("3.1")) {
            let what = "no OpenAPI description of version 3.0 or 3.1 (the key openapi, a text such as 3.1.0)";
            return self.fail(self.root, "/openapi", what);
        }
        let prefix = self.prefix()?;
        let Some(paths) = self.root.get("paths") else {
            return self.fail(self.root, "/paths", "no paths: a description without operations is not taken");
        };
        let (mut operations, mut ids) = (Vec::new(), std::collections::HashMap::new());
        for (path, item) in paths.map() {
            let pointer = format!("/paths/{}", escaped(path));
            if !path.starts_with('/') {
                if path.starts_with("x-") {
                    continue;
                }
                return self.fail(item, &pointer, "a path begins with a slash");
            }
            let item = self.resolve(item, &pointer)?;
            let shared = self.rule(item, &pointer)?;
            for method in METHODS {
                let Some(node) = item.get(method) else { continue };
                let pointer = format!("{pointer}/{method}");
                let id = node.get("operationId").and_then(Node::text).map(str::to_owned);
                if let Some(id) = &id
                    && let Some(line) = ids.insert(id.clone(), node.line)
                {
                    let what = format!("the operationId {id} stands at line {line} already");
                    return self.fail(node, &pointer, what);
                }
                let rule = self.operation(item, &shared, node, method, &pointer)?;
                operations.push(Operation {
                    method: method.to_ascii_uppercase(),
                    template: format!("{prefix}{path}"),
                    id,
                    rule,
                    source: self.source(node, &pointer),
                });
            }
        }
        if operations.is_empty() {
            return self.fail(paths, "/paths", "no operations: an empty description is not taken");
        }
        Ok(operations)
    }

    /// The path of the first server.
    fn prefix(&self) -> Result<String, Unusable> {
        let url = self.root.get("servers").and_then(|s| s.list().first()).and_then(|s| s.get("url"));
        let Some(text) = url.and_then(Node::text) else { return Ok(String::new()) };
        let path = match text.split_once("://") {
            Some((_, rest)) => rest.find('/').map_or("", |at| &rest[at..]),
            None => text,
        };
        let path = path.trim_end_matches('/');
        if path.contains(['{', '?', '#']) || !(path.is_empty() || path.starts_with('/')) {
            let node = url.unwrap_or(self.root);
            return self.fail(
                node,
                "/servers/0/url",
                "the path of a server holds no variable, query or fragment",
            );
        }
        Ok(path.to_owned())
    }

    /// The rule of an operation: what it says itself, and where it says nothing of its effect, its method and key; joined with
    /// the rule that its path has for all.
    fn operation(
        &self, item: &'d Node, shared: &Rule, node: &'d Node, method: &str, pointer: &str,
    ) -> Result<Rule, Unusable> {
        let mut rule = self.rule(node, pointer)?;
        if rule.class.is_none() {
            let tags = node.get("tags").map_or(&[][..], Node::list);
            rule.class = tags.first().and_then(Node::text).map(str::to_owned);
        }
        let known = self.parameters(item, node, pointer)?;
        let key = known.iter().any(|(parameter, required)| {
            *required && parameter.place == Place::Header && parameter.name == "idempotency-key"
        });
        // PUT and DELETE may be repeated by HTTP's word, but nobody has said so of this one's cost.
        let by_method = match method {
            "get" | "head" | "options" => Effect::Safe,
            _ if key => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        if node.get(&format!("{PREFIX}effect")).is_none() && item.get(&format!("{PREFIX}effect")).is_none() {
            rule.effect = by_method;
        }
        if let Some(parameter) = rule.units.by.keys().find(|p| !known.iter().any(|(k, _)| k == *p)) {
            let what = format!("units by {}, which is no parameter of it", parameter.name);
            return self.fail(node, pointer, what);
        }
        let rule = rule.strictest(shared.clone());
        if rule.effect == Effect::Keyed && !key {
            let what =
                "keyed, without a required header parameter Idempotency-Key: nobody could drop a repeat";
            return self.fail(node, pointer, what);
        }
        Ok(rule)
    }

    /// The parameters of an operation and its path, and whether they are required.
    fn parameters(
        &self, item: &'d Node, node: &'d Node, pointer: &str,
    ) -> Result<Vec<(Parameter, bool)>, Unusable> {
        let mut found = Vec::new();
        for list in [item, node].into_iter().filter_map(|n| n.get("parameters")) {
            for parameter in list.list() {
                let parameter = self.resolve(parameter, pointer)?;
                let Some(place) = place(parameter) else { continue };
                let name = parameter.get("name").and_then(Node::text).unwrap_or_default();
                let required = parameter.get("required").is_some_and(|r| r.value == Value::Bool(true));
                found.push((Parameter::new(place, name), required));
            }
        }
        Ok(found)
    }

    /// What the extensions of a node say.
    fn rule(&self, node: &Node, pointer: &str) -> Result<Rule, Unusable> {
        figures(self.file, node, pointer, PREFIX)
    }
}

/// What the keys of a map that begin so say of a rule.
pub(crate) fn figures(file: &str, node: &Node, pointer: &str, prefix: &str) -> Result<Rule, Unusable> {
    let mut rule = Rule::default();
    for (key, value) in node.map() {
        let Some(name) = key.strip_prefix(prefix) else { continue };
        figure(&mut rule, name, value).map_err(|what| {
            let pointer = format!("{pointer}/{key}");
            Unusable { source: Source { file: file.into(), line: value.line, pointer }, what }
        })?;
    }
    Ok(rule)
}

fn figure(rule: &mut Rule, name: &str, value: &Node) -> Result<(), String> {
    let text = value.text();
    let ms = || {
        let ms = text.and_then(time).filter(|ms| *ms > 0);
        ms.ok_or_else(|| String::from("a time with its unit: 250ms, 4s, 2m"))
    };
    match name {
        "class" => rule.class = Some(text.filter(|c| !c.is_empty()).ok_or("a class is a text")?.to_owned()),
        "effect" => {
            rule.effect = text.and_then(Effect::named).ok_or("an effect is safe, keyed or unsafe")?;
        }
        "group" => rule.group = text.and_then(Group::named).ok_or("a group is all, zone or cell")?,
        "aim" => rule.aim = Some(ms()?),
        "deadline" => rule.deadline = Some(ms()?),
        "key-memory" => rule.key_memory = Some(ms()?),
        "units" => rule.units = units(value)?,
        _ => {
            let known = "class, effect, group, aim, deadline, key-memory, units";
            return Err(format!("no such figure; there are {known}"));
        }
    }
    Ok(())
}

/// Where a parameter is said to stand.
fn place(node: &Node) -> Option<Place> {
    node.get("in").and_then(Node::text).and_then(Place::named)
}

/// A number, or `{in, name, least, most}`: the value of a parameter.
fn units(node: &Node) -> Result<Units, String> {
    let number = |node: &Node| match node.value {
        Value::Int(n) => u32::try_from(n).ok().filter(|n| *n > 0),
        _ => None,
    };
    if let Some(least) = number(node) {
        return Ok(Units { least, ..Units::default() });
    }
    let bound = |key: &str| node.get(key).and_then(number);
    match (place(node), node.get("name").and_then(Node::text), bound("least"), bound("most")) {
        (Some(place), Some(name), Some(least), Some(most)) if least <= most => {
            Ok(Units { least, by: [(Parameter::new(place, name), (least, most))].into() })
        }
        _ => Err("units are a whole number above 0, or in, name, least and most of a parameter".into()),
    }
}
