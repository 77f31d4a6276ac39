//! The list of backends in discovery's form, as an answer of discovery or inside a configuration.

use doorcourse::{BackendEntry, BackendState};
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// A list that cannot be used.
#[derive(Debug)]
pub enum ListError {
    /// It is not JSON of the right form.
    Malformed(serde_json::Error),
    /// An entry has no usable address.
    Address(String),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed list of backends: {error}"),
            Self::Address(host) => write!(f, "backend {host} has no usable address"),
        }
    }
}

impl std::error::Error for ListError {}

#[derive(Deserialize)]
struct Sheet {
    seq: u64,
    whole: bool,
    hosts: Vec<Row>,
}

#[derive(Deserialize)]
struct Row {
    host: String,
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    block: u64,
    health: Health,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Health {
    InService,
    Terminating,
    Terminated,
}

/// One backend and where it listens.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the decisions need to know.
    pub entry: BackendEntry,
    /// Where it listens.
    pub dial: SocketAddr,
}

/// The list of backends or changes to it.
#[derive(Clone, Debug)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// Whether backends that are missing are gone.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

impl List {
    /// Reads a list from JSON text.
    ///
    /// # Errors
    /// When it is malformed.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        serde_json::from_slice(text).map_err(ListError::Malformed).and_then(Self::from_sheet)
    }

    /// Reads a list from a JSON value.
    ///
    /// # Errors
    /// When it is malformed.
    pub fn from_value(value: &Value) -> Result<Self, ListError> {
        Sheet::deserialize(value).map_err(ListError::Malformed).and_then(Self::from_sheet)
    }

    fn from_sheet(sheet: Sheet) -> Result<Self, ListError> {
        let hosts = sheet.hosts.into_iter().map(|row| {
            let dial = row.dial.parse().map_err(|_| ListError::Address(row.host.clone()))?;
            let state = match row.health {
                Health::InService => BackendState::Ready,
                Health::Terminating => BackendState::Draining,
                Health::Terminated => BackendState::Gone,
            };
            // 0 stands for a start long ago, of which nothing is known.
            let started = (row.born_ms > 0.0).then_some(row.born_ms);
            let (name, zone) = (row.host.into(), row.site.into());
            Ok(Host { entry: BackendEntry { name, zone, cell: row.block, state, started }, dial })
        });
        Ok(Self { seq: sheet.seq, whole: sheet.whole, hosts: hosts.collect::<Result<_, _>>()? })
    }
}
