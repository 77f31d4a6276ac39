//! The operators' settings file: what the platform's configuration does not say. One TOML file with a table for each
//! subsystem; what is left out has its default, a subsystem without a table is neutral.

use crate::admission::Admission;
use crate::file::{self, Fault, FileError};
use crate::fleet::Fleet;
use crate::quota::Quota;
use crate::upstream::Upstream;
use serde::Deserialize;
use std::ffi::OsStr;

/// The environment's variable that names the file.
pub const VARIABLE: &str = "FENNELSCALE_SETTINGS";

/// All that the file may say.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Operators {
    /// How connections are admitted; neutral where it is left out.
    pub admission: Option<Admission>,
    /// How connections to backends are used again; as by default where it is left out.
    pub upstream: Option<Upstream>,
    /// How quotas hold while the counter is lost; as by default where it is left out.
    pub quota: Option<Quota>,
    /// The fleet that this gateway belongs to; none where it is left out.
    pub fleet: Option<Fleet>,
}

impl Operators {
    /// Reads and checks a file's text; `file` is its name, for errors.
    ///
    /// # Errors
    /// On the first fault, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, FileError> {
        file::read(file, text, Self::check)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// When it cannot be read, or on its first fault.
    pub fn load(path: &OsStr) -> Result<Self, FileError> {
        let file = path.to_string_lossy();
        let text = std::fs::read_to_string(path).map_err(|error| FileError {
            file: file.clone().into_owned(),
            line: 0,
            key: String::new(),
            what: format!("cannot be read: {error}"),
        })?;
        Self::parse(&file, &text)
    }

    /// The file that the environment names; neutral where it names none.
    ///
    /// # Errors
    /// When there is one that cannot be used.
    pub fn from_environment() -> Result<Self, FileError> {
        std::env::var_os(VARIABLE).map_or_else(|| Ok(Self::default()), |path| Self::load(&path))
    }

    fn check(&self) -> Result<(), Fault> {
        self.admission.as_ref().map_or(Ok(()), Admission::check)?;
        self.upstream.as_ref().map_or(Ok(()), Upstream::check)?;
        self.quota.as_ref().map_or(Ok(()), Quota::check)?;
        self.fleet.as_ref().map_or(Ok(()), Fleet::check)
    }
}
