//! The settings of a program: reads and validates the file that `FENNELSCALE_CONFIG` names.
//!
//! The file is TOML. It is converted to JSON once and read by JSON pointers, so that unknown fields may be
//! added or removed. Every error names the field, its value and the remedy.

mod bounds;
mod read;

pub use bounds::Bounds;
pub use read::{FieldReport, SettingsError};

use read::Document;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "FENNELSCALE_CONFIG";

/// The ports for connections between processes, as offsets in the host's port range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Stores, for other stores.
    Stores = 0,
    /// Registries, for other registries.
    Registries = 1,
    /// Registries, for proxy sessions.
    Sessions = 2,
    /// The registry, for the store on the same host.
    RegistryForStore = 3,
    /// Proxies, for updates relayed by other proxies.
    Proxies = 4,
}

/// Listen addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// For clients.
    pub frontend: Option<SocketAddr>,
    /// For the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// For the operators' API.
    pub control: Option<SocketAddr>,
    /// For clients that look up a proxy.
    pub directory: Option<SocketAddr>,
}

/// Resource limits of the host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Memory per process, in bytes.
    pub memory: u64,
    /// File descriptors per process.
    pub descriptors: usize,
    /// Disk space shared by the host's processes, in bytes; 0 without a disk.
    pub disk: u64,
}

/// Simultaneous losses that the system must tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Hosts that count toward a quorum.
    pub machines: usize,
    /// Whole zones.
    pub zones: usize,
    /// Whole regions.
    pub regions: usize,
}

/// The platform API that lists backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloudApi {
    /// Its address.
    pub address: SocketAddr,
    /// Calls per second that it accepts from all gateways together.
    pub rate_per_s: f64,
    /// How stale its answers may be.
    pub max_lag: Duration,
}

/// All settings of a program.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub node: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The first and last port for connections between processes.
    pub ports: (u16, u16),
    /// Control addresses of some hosts.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, on empty disks.
    pub bootstrap: bool,
    /// Whether the host counts toward a quorum.
    pub counts_toward_quorum: bool,
    /// The directory for persistent files.
    pub data_directory: Option<PathBuf>,
    /// The interval between heartbeats.
    pub heartbeat: Duration,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Listen addresses.
    pub listen: Listen,
    /// Resource limits of the host.
    pub limits: Limits,
    /// Losses that the system must tolerate.
    pub fault_tolerance: Tolerance,
    /// The platform API.
    pub cloud_api: CloudApi,
    /// Bounds of the system's guarantees.
    pub bounds: Bounds,
    /// Limits of failure orders; without them no order is accepted or applied.
    pub failure_limits: Option<fennelscale_fault_injection::Limits>,
}

impl Settings {
    /// Reads the settings file that the environment names.
    ///
    /// # Errors
    /// If no file is named, or the file cannot be read or is invalid.
    pub fn from_environment() -> Result<Self, SettingsError> {
        Self::from_environment_with_report().map(|(settings, _)| settings)
    }

    /// Like [`Settings::from_environment`], and reports which fields were used.
    ///
    /// # Errors
    /// If no file is named, or the file cannot be read or is invalid.
    pub fn from_environment_with_report() -> Result<(Self, FieldReport), SettingsError> {
        let Some(path) = std::env::var_os(SETTINGS_VARIABLE) else { return Err(SettingsError::NotNamed) };
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path).map_err(|error| SettingsError::Unreadable {
            path: path.display().to_string(),
            error: error.to_string(),
        })?;
        Self::parse_with_report(&text)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Self::parse_with_report(text).map(|(settings, _)| settings)
    }

    /// The same, and what became of its fields.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn parse_with_report(text: &str) -> Result<(Self, FieldReport), SettingsError> {
        let document = Document::parse(text)?;
        let settings = Self::read(&document)?;
        Ok((settings, document.report()))
    }

    fn read(document: &Document) -> Result<Self, SettingsError> {
        let ports: Vec<u16> = document.list("/internalPortRange")?;
        let &[first, last] = ports.as_slice() else {
            return Err(document.error("/internalPortRange", "write two ports, the first and the last"));
        };
        if last < first || last - first < Port::Proxies as u16 {
            return Err(document.error("/internalPortRange", "leave at least five ports from first to last"));
        }
        let zones: BTreeMap<String, String> = document.value("/zones")?;
        let (zone, region): (String, String) = (document.value("/zone")?, document.value("/region")?);
        if zones.get(&zone) != Some(&region) {
            return Err(document.error("/zone", "name a zone of [zones] whose region is `region`"));
        }
        let megabytes = |at: &str| document.number(at).map(|mb| (mb * 1e6) as u64);
        let memory = megabytes("/limits/memoryMb")?;
        let descriptors = document.value("/limits/maxFileDescriptors")?;
        if memory == 0 {
            return Err(document.error("/limits/memoryMb", "write the memory that a process may use, over 0"));
        }
        if descriptors == 0 {
            return Err(document.error("/limits/maxFileDescriptors", "write a number over 0"));
        }
        Ok(Self {
            node: document.value("/nodeName")?,
            ip: document.value("/ipAddress")?,
            ports: (first, last),
            seeds: document.list("/seedNodes")?,
            bootstrap: document.value("/bootstrap")?,
            counts_toward_quorum: document.value("/countsTowardQuorum")?,
            data_directory: document.optional("/dataDirectory")?,
            heartbeat: document.duration("/heartbeatInterval")?,
            listen: Listen {
                frontend: document.optional("/listenAddresses/frontend")?,
                readiness: document.optional("/listenAddresses/readiness")?,
                control: document.optional("/listenAddresses/controlPlane")?,
                directory: document.optional("/listenAddresses/directory")?,
            },
            limits: Limits { memory, descriptors, disk: megabytes("/limits/diskMb")? },
            fault_tolerance: Tolerance {
                machines: document.value("/faultTolerance/machineLosses")?,
                zones: document.value("/faultTolerance/zones")?,
                regions: document.value("/faultTolerance/regionLosses")?,
            },
            cloud_api: CloudApi {
                address: document.value("/cloudApi/address")?,
                rate_per_s: document.number("/cloudApi/ratePerS")?,
                max_lag: document.duration("/cloudApi/maxLag")?,
            },
            bounds: Bounds::read(document)?,
            failure_limits: failure_limits(document)?,
            zone,
            region,
            zones,
        })
    }

    /// The address where a process of this host listens.
    pub fn own_address(&self, port: Port) -> SocketAddr {
        self.address_of(self.ip, port)
    }

    /// The address where a process of another host listens; all hosts use the same ports.
    pub fn address_of(&self, ip: IpAddr, port: Port) -> SocketAddr {
        SocketAddr::new(ip, self.ports.0 + port as u16)
    }

    /// The addresses where the seed hosts' processes listen.
    pub fn seed_addresses(&self, port: Port) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| self.address_of(seed.ip(), port)).collect()
    }
}

/// Reads the table `failureOrders`, if present.
fn failure_limits(document: &Document) -> Result<Option<fennelscale_fault_injection::Limits>, SettingsError> {
    const AT: &str = "/failureOrders";
    if !document.has(AT) {
        return Ok(None);
    }
    let kinds: Vec<String> = document.value("/failureOrders/kinds")?;
    let names = fennelscale_fault_injection::FailureKind::NAMES;
    if kinds.iter().any(|kind| !names.contains(&kind.as_str())) {
        return Err(document.error("/failureOrders/kinds", format!("list some of {}", names.join(", "))));
    }
    Ok(Some(fennelscale_fault_injection::Limits {
        max_requests: document.value("/failureOrders/mostInAll")?,
        max_per_s: document.number("/failureOrders/mostPerS")?,
        max_duration: document.duration("/failureOrders/longest")?,
        kinds: kinds.into_iter().collect(),
    }))
}

#[cfg(test)]
mod tests;
