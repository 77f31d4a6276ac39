//! What a program of the system is report: the settings file that `FENNELSCALE_CONFIG` names, read once, checked, typed.
//!
//! The file is TOML. It is turned into JSON once and read by pointers: fields that nobody here asks for may come and go.
//! Every error names the field, what stands there and what to do.

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

/// The ports that processes listen on for each other, by their place in the machine's range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Stores, for each other.
    Stores = 0,
    /// Registries, for each other.
    Registries = 1,
    /// Registries, for the sessions of proxies.
    Sessions = 2,
    /// The registry, for its machine's store.
    RegistryForStore = 3,
    /// Proxies, for news that others pass on.
    Proxies = 4,
}

/// Where to listen for whom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// Clients.
    pub frontend: Option<SocketAddr>,
    /// The platform's question whether clients may come.
    pub readiness: Option<SocketAddr>,
    /// Operators.
    pub control: Option<SocketAddr>,
    /// Clients that ask where to go.
    pub directory: Option<SocketAddr>,
}

/// What the machine has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of memory of one process.
    pub memory: u64,
    /// Descriptors of one process.
    pub descriptors: usize,
    /// Bytes of the disk, shared by the machine's processes; 0 without one.
    pub disk: u64,
}

/// What may be lost at once while everything still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Machines that count towards a quorum.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

/// The platform's list of backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloudApi {
    /// Where it is asked for.
    pub address: SocketAddr,
    /// Calls a second that it takes from all gateways together.
    pub rate_per_s: f64,
    /// How old its answers may be.
    pub max_lag: Duration,
}

/// All that a program is report.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The first and last port of processes for each other.
    pub ports: (u16, u16),
    /// Control addresses of a few machines.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time, on empty disks.
    pub bootstrap: bool,
    /// The machine counts towards a quorum.
    pub counts_toward_quorum: bool,
    /// The folder for files that last.
    pub data_directory: Option<PathBuf>,
    /// How often processes should show that they live.
    pub heartbeat: Duration,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where to listen.
    pub listen: Listen,
    /// What the machine has.
    pub limits: Limits,
    /// What may be lost.
    pub fault_tolerance: Tolerance,
    /// The list of backends.
    pub cloud_api: CloudApi,
    /// The figures of the rules.
    pub bounds: Bounds,
    /// What failure orders may do; without it none is taken or heeded.
    pub failure_limits: Option<fennelscale_fault_injection::Limits>,
}

impl Settings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// When there is none or it cannot be used.
    pub fn from_environment() -> Result<Self, SettingsError> {
        Self::from_environment_with_report().map(|(settings, _)| settings)
    }

    /// The same, and what became of the file's fields.
    ///
    /// # Errors
    /// When there is none or it cannot be used.
    pub fn from_environment_with_report() -> Result<(Self, FieldReport), SettingsError> {
        let Some(path) = std::env::var_os(SETTINGS_VARIABLE) else { return Err(SettingsError::NotNamed) };
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path).map_err(|error| SettingsError::Unreadable {
            path: path.display().to_string(),
            error: error.to_string(),
        })?;
        Self::parse_with_report(&text)
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Self::parse_with_report(text).map(|(settings, _)| settings)
    }

    /// The same, and what became of its fields.
    ///
    /// # Errors
    /// When it cannot be used.
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
            limits: Limits {
                memory: megabytes("/limits/memoryMb")?,
                descriptors: document.value("/limits/maxFileDescriptors")?,
                disk: megabytes("/limits/diskMb")?,
            },
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

    /// Where a process of this machine listens for others.
    pub fn own_address(&self, port: Port) -> SocketAddr {
        self.address_of(self.ip, port)
    }

    /// Where the process of another machine listens: all machines use the same ports.
    pub fn address_of(&self, ip: IpAddr, port: Port) -> SocketAddr {
        SocketAddr::new(ip, self.ports.0 + port as u16)
    }

    /// Where the seeds' processes listen.
    pub fn seed_addresses(&self, port: Port) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| self.address_of(seed.ip(), port)).collect()
    }
}

/// The table `failureOrders`, where there is one.
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
