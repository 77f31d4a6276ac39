//! The settings file as a document whose fields are read by JSON pointer.

use fennelscale_time::MAX_DURATION;
use miette::Diagnostic;
use serde::de::DeserializeOwned;
use sonic_rs::{JsonValueTrait, LazyValue, PointerNode};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;

/// Why settings cannot be used.
#[derive(Clone, Debug, Diagnostic, Error, PartialEq)]
pub enum SettingsError {
    /// No file is named.
    #[error("no settings file is named")]
    #[diagnostic(help("set FENNELSCALE_CONFIG to the path of the settings file"))]
    NotNamed,
    /// The file cannot be read.
    #[error("settings file {path}: {error}")]
    #[diagnostic(help("check that the file is there and may be read by this user"))]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The I/O error.
        error: String,
    },
    /// The file is not valid TOML.
    #[error("settings file: {error}")]
    #[diagnostic(help("the file must be TOML; the message above tells the place"))]
    Malformed {
        /// The parser's error.
        error: String,
    },
    /// A field is missing or invalid.
    #[error("settings field {field}{}: {found}", at_line(*line))]
    #[diagnostic(help("{help}"))]
    Field {
        /// The field's name.
        field: String,
        /// The line of the file that it stands in, counted from 1, if it is there.
        line: Option<usize>,
        /// The value found.
        found: String,
        /// The remedy.
        help: String,
    },
}

/// The place of a field for an error message.
fn at_line(line: Option<usize>) -> String {
    line.map(|line| format!(" in line {line}")).unwrap_or_default()
}

/// Which fields of a file were used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldReport {
    /// Fields that were used.
    pub used: Vec<String>,
    /// Fields that were ignored; they may belong to another version or be misspelt.
    pub ignored: Vec<String>,
}

pub(crate) struct Document {
    text: String,
    json: String,
    /// Every field of the file as a dotted path; then the paths that were looked up, and unknown bounds.
    fields: Vec<String>,
    looked_up: RefCell<BTreeSet<String>>,
    unused: RefCell<Vec<String>>,
}

/// Lists the fields of a table, including those of nested tables.
fn fields(table: &toml::Table, before: &str, all: &mut Vec<String>) {
    for (name, value) in table {
        let name = format!("{before}{name}");
        match value {
            toml::Value::Table(table) if !table.is_empty() => fields(table, &format!("{name}."), all),
            _ => all.push(name),
        }
    }
}

/// Parses `/a/b` into pointer nodes.
fn pointer(at: &str) -> Vec<PointerNode> {
    at.split('/')
        .filter(|part| !part.is_empty())
        .map(|part| PointerNode::Key(part.to_owned().into()))
        .collect()
}

impl Document {
    pub(crate) fn parse(text: &str) -> Result<Self, SettingsError> {
        let malformed = |error: &dyn std::fmt::Display| SettingsError::Malformed {
            error: error.to_string().trim().to_owned(),
        };
        let table: toml::Table = text.parse().map_err(|error| malformed(&error))?;
        let json = sonic_rs::to_string(&table).map_err(|error| malformed(&error))?;
        let mut all = Vec::new();
        fields(&table, "", &mut all);
        Ok(Self {
            text: text.to_owned(),
            json,
            fields: all,
            looked_up: RefCell::default(),
            unused: RefCell::default(),
        })
    }

    /// Reports which fields were used and which were ignored.
    pub(crate) fn report(&self) -> FieldReport {
        let looked_up = self.looked_up.borrow();
        let read = |field: &String| {
            looked_up.iter().any(|name| {
                field.strip_prefix(name.as_str()).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
            })
        };
        let (used, mut ignored): (Vec<_>, Vec<_>) = self.fields.iter().cloned().partition(read);
        ignored.extend(self.unused.borrow().iter().cloned());
        FieldReport { used, ignored }
    }

    /// Records an unknown bound as ignored.
    pub(crate) fn unused(&self, bound: &str) {
        self.unused.borrow_mut().push(format!("bounds.{bound}"));
    }

    fn at(&self, at: &str) -> Option<LazyValue<'_>> {
        self.looked_up.borrow_mut().insert(at.trim_start_matches('/').replace('/', "."));
        sonic_rs::get(self.json.as_str(), pointer(at)).ok()
    }

    pub(crate) fn has(&self, at: &str) -> bool {
        self.at(at).is_some()
    }

    pub(crate) fn error(&self, at: &str, help: impl Into<String>) -> SettingsError {
        let found = self.at(at).map_or("is missing".into(), |value| value.as_raw_str().to_owned());
        let field = at.trim_start_matches('/').replace('/', ".");
        SettingsError::Field { line: self.line_of(&field), field, found, help: help.into() }
    }

    /// The line that a field stands in, counted from 1.
    pub(crate) fn line_of(&self, field: &str) -> Option<usize> {
        let (table, key) = field.rsplit_once('.').unwrap_or(("", field));
        let mut current_table = "";
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
                current_table = name.trim();
            } else if current_table == table
                && line.split_once('=').is_some_and(|(name, _)| name.trim().trim_matches('"') == key)
            {
                return Some(index + 1);
            }
        }
        None
    }

    pub(crate) fn optional<T: DeserializeOwned>(&self, at: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.at(at) else { return Ok(None) };
        let read = sonic_rs::from_str(value.as_raw_str());
        read.map(Some).map_err(|_| {
            let kind = std::any::type_name::<T>().rsplit("::").next().unwrap_or_default();
            self.error(at, format!("write a value that can be read as {kind}"))
        })
    }

    pub(crate) fn value<T: DeserializeOwned>(&self, at: &str) -> Result<T, SettingsError> {
        self.optional(at)?.ok_or_else(|| self.error(at, "add the field: this program cannot do without it"))
    }

    pub(crate) fn list<T: DeserializeOwned>(&self, at: &str) -> Result<Vec<T>, SettingsError> {
        self.value(at)
    }

    /// Reads a finite number that is not negative.
    pub(crate) fn number(&self, at: &str) -> Result<f64, SettingsError> {
        let number: f64 = self.value(at)?;
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(self.error(at, "write a number of 0 or more"))
        }
    }

    pub(crate) fn duration(&self, at: &str) -> Result<Duration, SettingsError> {
        let text: String = self.value(at)?;
        duration(&text).ok_or_else(|| self.error(at, DURATION_HELP))
    }
}

/// The remedy for an invalid duration.
pub(crate) const DURATION_HELP: &str =
    "write a number and its unit, like 1500ms or 2.5s, 30 years (946080000s) at most";

/// Parses a duration: a number and its unit, `ms` or `s`; at most [`MAX_DURATION`].
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    if !number.starts_with(|c: char| c.is_ascii_digit()) {
        return None;
    }
    let parsed = Duration::try_from_secs_f64(number.parse::<f64>().ok()? * unit).ok()?;
    (parsed <= MAX_DURATION).then_some(parsed)
}

/// Reads the names and values in `bounds`, a list of `name=value` or one comma-separated string of them.
pub(crate) fn bounds(document: &Document) -> Result<Vec<(String, String)>, SettingsError> {
    const AT: &str = "/bounds";
    let lines: Vec<String> = match document.at(AT) {
        Some(value) if value.is_str() => {
            document.value::<String>(AT)?.split(',').map(str::to_owned).collect()
        }
        _ => document.list(AT)?,
    };
    let pair = |line: &String| {
        let (name, value) = line.split_once('=')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    let invalid = || document.error(AT, "write each bound as name=value");
    lines.iter().map(|line| pair(line).ok_or_else(invalid)).collect()
}
