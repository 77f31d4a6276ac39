//! A YAML or JSON text as a tree that knows its lines. JSON is read as the part of YAML that it is.
//!
//! Safe on hostile text: size, depth and number of nodes are bounded, an alias is a copy that counts against the bound, keys
//! are plain scalars and none comes twice.

use saphyr_parser::{Event, Parser, ScalarStyle};
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::fmt;

/// The longest text, in bytes.
pub const LONGEST: usize = 16 << 20;
/// The deepest nesting.
pub const DEEPEST: usize = 64;
/// The most nodes, those that aliases stand for included.
pub const MOST_NODES: usize = 1 << 20;

/// A value and where it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The line, from 1; of what stands under a key, that of the key.
    pub line: usize,
    /// What it holds.
    pub value: Value,
}

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Nothing.
    Null,
    /// True or false.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// Another number.
    Float(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A map, in the order of the text.
    Map(Vec<(String, Node)>),
}

/// Why a text cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for Unreadable {}

impl Node {
    /// The value under a key.
    pub fn get(&self, key: &str) -> Option<&Self> {
        self.map().iter().find(|(k, _)| k == key).map(|(_, node)| node)
    }

    /// The entries of a map; none of anything else.
    pub fn map(&self) -> &[(String, Self)] {
        if let Value::Map(entries) = &self.value { entries } else { &[] }
    }

    /// The items of a list; none of anything else.
    pub fn list(&self) -> &[Self] {
        if let Value::List(items) = &self.value { items } else { &[] }
    }

    /// A text.
    pub fn text(&self) -> Option<&str> {
        if let Value::Text(text) = &self.value { Some(text) } else { None }
    }

    fn size(&self) -> usize {
        1 + match &self.value {
            Value::List(items) => items.iter().map(Self::size).sum(),
            Value::Map(entries) => entries.iter().map(|(_, node)| node.size()).sum(),
            _ => 0,
        }
    }
}

/// A list or map that is not whole yet.
struct Frame {
    line: usize,
    anchor: usize,
    held: Held,
}

enum Held {
    List(Vec<Node>),
    Map { entries: Vec<(String, Node)>, key: Option<(String, usize)>, seen: HashSet<String> },
}

#[derive(Default)]
struct Builder {
    frames: Vec<Frame>,
    anchors: HashMap<usize, Node>,
    nodes: usize,
    root: Option<Node>,
}

/// Reads one document.
///
/// # Errors
/// When the text is none, or passes a bound.
pub fn parse(text: &[u8]) -> Result<Node, Unreadable> {
    let fail = |line, what: &str| Err(Unreadable { line, what: what.into() });
    if text.len() > LONGEST {
        return fail(1, &format!("{} bytes, at most {LONGEST} are read", text.len()));
    }
    let text = match std::str::from_utf8(text) {
        Ok(text) => text.strip_prefix('\u{feff}').unwrap_or(text),
        Err(error) => {
            let lines = text[..error.valid_up_to()].iter().filter(|b| **b == b'\n').count();
            return fail(lines + 1, "bytes that are not UTF-8");
        }
    };
    let text = whole_characters(text);
    let mut builder = Builder::default();
    for event in Parser::new_from_str(&text) {
        let (event, span) = event
            .map_err(|error| Unreadable { line: error.marker().line(), what: error.info().to_owned() })?;
        builder.take(event, span.start.line())?;
    }
    builder.root.ok_or(Unreadable { line: 1, what: "the text is empty".into() })
}

/// JSON writes characters beyond the first 65,536 as two escapes, YAML as one of eight digits. In a text that begins as JSON
/// does, such pairs are written YAML's way; lines stay where they are. One half alone stays, and is refused.
fn whole_characters(text: &str) -> Cow<'_, str> {
    if !text.trim_start().starts_with('{') || !text.contains("\\u") {
        return Cow::Borrowed(text);
    }
    let mut out = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(at) = rest.find('\\') {
        out.push_str(&rest[..at]);
        rest = &rest[at..];
        let half = |from: usize| {
            let digits = rest.get(from..from + 6)?.strip_prefix("\\u")?;
            u16::from_str_radix(digits, 16).ok().filter(|_| !digits.starts_with('+'))
        };
        let pair = half(0).zip(half(6)).and_then(|(high, low)| char::decode_utf16([high, low]).next()?.ok());
        let taken = match pair.filter(|c| *c > '\u{ffff}') {
            Some(c) => {
                out.push_str(&format!("\\U{:08X}", u32::from(c)));
                12
            }
            // The backslash and what it escapes, so that the second of two is not taken for a first.
            None => {
                let length = 1 + rest[1..].chars().next().map_or(0, char::len_utf8);
                out.push_str(&rest[..length]);
                length
            }
        };
        rest = &rest[taken..];
    }
    out.push_str(rest);
    Cow::Owned(out)
}

impl Builder {
    fn take(&mut self, event: Event<'_>, line: usize) -> Result<(), Unreadable> {
        let held = match event {
            Event::Scalar(text, style, anchor, _) => {
                return self.scalar(&text, style, anchor, line);
            }
            Event::Alias(anchor) => {
                let whole = self.anchors.get(&anchor).cloned();
                let node = whole.ok_or_else(|| Self::fail(line, "an alias inside of what it stands for"))?;
                return self.add(node, line);
            }
            Event::SequenceStart(anchor, _) => (anchor, Held::List(Vec::new())),
            Event::MappingStart(anchor, _) => {
                (anchor, Held::Map { entries: Vec::new(), key: None, seen: HashSet::new() })
            }
            Event::SequenceEnd | Event::MappingEnd => {
                let Some(frame) = self.frames.pop() else { return Ok(()) };
                let value = match frame.held {
                    Held::List(items) => Value::List(items),
                    Held::Map { entries, .. } => Value::Map(entries),
                };
                let node = Node { line: frame.line, value };
                if frame.anchor > 0 {
                    // What is kept for aliases counts as well: anchors within anchors keep the same values again.
                    self.nodes += node.size();
                    if self.nodes <= MOST_NODES {
                        self.anchors.insert(frame.anchor, node.clone());
                    }
                }
                return self.put(node, line);
            }
            Event::DocumentStart(_) if self.root.is_some() => {
                return Err(Self::fail(line, "a second document; a description is one"));
            }
            _ => return Ok(()),
        };
        if self.frames.len() >= DEEPEST {
            return Err(Self::fail(line, &format!("nested deeper than {DEEPEST}")));
        }
        if let Some(Frame { held: Held::Map { key: None, .. }, .. }) = self.frames.last() {
            return Err(Self::fail(line, "a key that is no text"));
        }
        self.frames.push(Frame { line, anchor: held.0, held: held.1 });
        Ok(())
    }

    fn fail(line: usize, what: &str) -> Unreadable {
        Unreadable { line, what: what.into() }
    }

    fn scalar(
        &mut self, text: &str, style: ScalarStyle, anchor: usize, line: usize,
    ) -> Result<(), Unreadable> {
        if let Some(Frame { held: Held::Map { key: key @ None, seen, .. }, .. }) = self.frames.last_mut() {
            if !seen.insert(text.to_owned()) {
                return Err(Self::fail(line, &format!("the key {text} for the second time")));
            }
            *key = Some((text.to_owned(), line));
            return Ok(());
        }
        let value = if style == ScalarStyle::Plain { plain(text) } else { Value::Text(text.to_owned()) };
        let node = Node { line, value };
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        self.add(node, line)
    }

    /// Adds a node that is whole and has not been counted.
    fn add(&mut self, node: Node, line: usize) -> Result<(), Unreadable> {
        self.nodes += node.size() - 1;
        self.put(node, line)
    }

    fn put(&mut self, node: Node, line: usize) -> Result<(), Unreadable> {
        self.nodes += 1;
        if self.nodes > MOST_NODES {
            return Err(Self::fail(
                line,
                &format!("more than {MOST_NODES} values, with what aliases stand for"),
            ));
        }
        match self.frames.last_mut().map(|frame| &mut frame.held) {
            None => self.root = Some(node),
            Some(Held::List(items)) => items.push(node),
            Some(Held::Map { entries, key, .. }) => match key.take() {
                Some((key, line)) => entries.push((key, Node { line, ..node })),
                None => return Err(Self::fail(line, "a key that is no text")),
            },
        }
        Ok(())
    }
}

/// A plain scalar by YAML's core schema.
fn plain(text: &str) -> Value {
    match text {
        "" | "~" | "null" | "Null" | "NULL" => Value::Null,
        "true" | "True" | "TRUE" => Value::Bool(true),
        "false" | "False" | "FALSE" => Value::Bool(false),
        _ => match (text.parse::<i64>(), text.parse::<f64>()) {
            (Ok(n), _) => Value::Int(n),
            (_, Ok(x)) if x.is_finite() => Value::Float(x),
            _ => Value::Text(text.to_owned()),
        },
    }
}
