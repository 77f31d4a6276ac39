//! What a gateway is told at its start: the environment and the file that `NODE_CONFIG` names.

use crate::decisions::{self, Object};
use crate::list::{List, ListError};
use doorcourse::Settings;
use fennelscale_time::from_millis;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Used where the settings name no such time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const BACKEND_IDLE: Duration = Duration::from_secs(15);
/// Used where the configuration names no limit.
const SOCKETS: usize = 1024;

/// The environment's variable that names the configuration.
pub const VARIABLE: &str = "NODE_CONFIG";

/// A configuration that cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// `NODE_CONFIG` is not set.
    NoFile,
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// It is not the JSON object that it should be.
    Malformed(serde_json::Error),
    /// An address is missing or is none.
    Address(&'static str),
    /// The seed is not a number of up to 16 hex digits.
    Seed,
    /// The list of backends in it cannot be used.
    Known(ListError),
    /// The settings cannot be used.
    Settings(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(
                f,
                "NODE_CONFIG is not set: it names the configuration of the gateway to start; `fennelscale --help` tells what else \
                 there is to do"
            ),
            Self::Unreadable(error) => write!(f, "NODE_CONFIG cannot be read: {error}"),
            Self::Malformed(error) => write!(f, "NODE_CONFIG is malformed: {error}"),
            Self::Address(which) => write!(f, "{which}: no address, or an unusable one"),
            Self::Seed => write!(f, "seed is not a number in hex digits"),
            Self::Known(error) => write!(f, "known: {error}"),
            Self::Settings(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    counter: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
}

/// All that a gateway is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is asked.
    pub discovery: SocketAddr,
    /// Where the counter is, if there is one.
    pub counter: Option<SocketAddr>,
    /// The seed of all chance.
    pub seed: u64,
    /// The most descriptors that the process may hold.
    pub sockets: usize,
    /// The list of backends as this gateway last had it.
    pub known: List,
    /// A connection that takes longer has failed.
    pub connect_timeout: Duration,
    /// Backends close connections that stood idle for this long.
    pub backend_idle: Duration,
    /// What the decisions are made by.
    pub settings: Settings,
}

impl Config {
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    /// When either cannot be used.
    pub fn from_environment() -> Result<Self, ConfigError> {
        Self::read(|variable, file| variable.or(file))
    }

    /// Reads the same again while the program runs. The environment is as old as the program, so what the file
    /// says goes first now.
    ///
    /// # Errors
    /// When either cannot be used.
    pub fn again() -> Result<Self, ConfigError> {
        Self::read(|variable, file| file.or(variable))
    }

    /// Reads both; of an address that both name, `choose` takes one.
    fn read(choose: impl Fn(Option<String>, Option<String>) -> Option<String>) -> Result<Self, ConfigError> {
        let path = std::env::var_os(VARIABLE).ok_or(ConfigError::NoFile)?;
        let text = std::fs::read_to_string(path).map_err(ConfigError::Unreadable)?;
        let choose = |key, file| choose(std::env::var(key).ok(), file);
        let file: File = serde_json::from_str(&text).map_err(ConfigError::Malformed)?;
        let address = |text: Option<String>, which| {
            text.and_then(|t| t.parse::<SocketAddr>().ok()).ok_or(ConfigError::Address(which))
        };
        let settings = decisions::read(&file.settings).map_err(ConfigError::Settings)?;
        let permissions = Object::of(&file.settings, "permissions").map_err(ConfigError::Settings)?;
        let time = |key, usual| match permissions.number(key).map_err(ConfigError::Settings)? {
            ms if ms > 0.0 => Ok(from_millis(ms)),
            _ => Ok(usual),
        };
        let known = match &file.known {
            Value::Null => List { seq: 0, whole: true, hosts: Vec::new() },
            value => List::from_value(value).map_err(ConfigError::Known)?,
        };
        let counter = settings.counter.then(|| address(file.counter, "counter")).transpose()?;
        Ok(Self {
            name: choose("NODE_NAME", Some(file.name)).unwrap_or_default(),
            listen: address(choose("NODE_LISTEN", file.listen), "NODE_LISTEN")?,
            discovery: address(choose("NODE_DISCOVERY", file.discovery), "NODE_DISCOVERY")?,
            counter,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed)?,
            sockets: file.limits.sockets.unwrap_or(SOCKETS),
            known,
            connect_timeout: time("dial-timeout-ms", CONNECT_TIMEOUT)?,
            backend_idle: time("keepalive-ms", BACKEND_IDLE)?,
            settings,
        })
    }
}
