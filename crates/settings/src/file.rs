//! TOML files with explicit units, read once and checked whole. An error names the file, the line and the key.

use serde::de::DeserializeOwned;
use std::fmt;
use toml::de::{DeTable, DeValue};

/// A file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1; 0 where the fault is in no one line.
    pub line: usize,
    /// The key, as a path with dots.
    pub key: String,
    /// What is wrong and what would be right.
    pub what: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, key, what } = self;
        write!(f, "{file}:{line}: ")?;
        if key.is_empty() { f.write_str(what) } else { write!(f, "{key}: {what}") }
    }
}

impl std::error::Error for FileError {}

/// A fault found after reading: the key's path and what is wrong.
pub type Fault = (String, String);

/// Reads a text and checks what it says.
///
/// # Errors
/// On the first fault, with its place.
pub fn read<T: DeserializeOwned>(
    file: &str, text: &str, check: impl FnOnce(&T) -> Result<(), Fault>,
) -> Result<T, FileError> {
    let place = |key: &str, at: usize, what: String| FileError {
        file: file.to_owned(),
        line: text.get(..at).map_or(0, |before| before.matches('\n').count() + 1),
        key: key.to_owned(),
        what,
    };
    let value: T = toml::from_str(text).map_err(|error| {
        let at = error.span().map_or(0, |span| span.start);
        let key = text.get(..at).map(|before| key_before(before, text, at)).unwrap_or_default();
        place(&key, at, error.message().trim_end().replace('\n', " "))
    })?;
    check(&value).map_err(|(key, what)| place(&key, locate(text, &key), what))?;
    Ok(value)
}

/// The key on whose value a reader's error stands.
fn key_before(before: &str, text: &str, at: usize) -> String {
    let from = before.rfind('\n').map_or(0, |n| n + 1);
    let line = text.get(from..).and_then(|rest| rest.lines().next()).unwrap_or("");
    let table = before.lines().rev().map(str::trim).find(|l| l.starts_with('['));
    let table = table.map_or("", |t| t.trim_matches(['[', ']', ' '])).to_owned();
    let key = line
        .split_once('=')
        .filter(|_| at > from || !line.starts_with('['))
        .map_or("", |(key, _)| key.trim());
    if table.is_empty() || key.is_empty() { format!("{table}{key}") } else { format!("{table}.{key}") }
}

/// Where in the text a path of keys stands, or as much of it as there is.
fn locate(text: &str, path: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else { return 0 };
    let (mut at, mut inside) = (0, DeValue::Table(table.get_ref().clone()));
    for part in path.split('.') {
        let next = match &inside {
            DeValue::Table(table) => table
                .iter()
                .find(|(key, _)| key.get_ref() == part)
                .map(|(key, value)| (key.span().start, value.get_ref().clone())),
            DeValue::Array(list) => part.parse::<usize>().ok().and_then(|n| {
                let value = list.get(n)?;
                Some((value.span().start, value.get_ref().clone()))
            }),
            _ => None,
        };
        let Some((found, value)) = next else { break };
        (at, inside) = (found, value);
    }
    at
}
