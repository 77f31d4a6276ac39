//! What a program of the system is told: the settings file that `FENNELSCALE_CONFIG` names, read once, checked, typed.
//!
//! The file is TOML. It is turned into JSON once and read by pointers: fields that nobody here asks for may come and go.
//! Every error names the field, what stands there and what to do.

mod bounds;
mod read;

pub use bounds::Bounds;
pub use read::{Fault, Told};

use read::Sheet;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable that names the settings file.
pub const VARIABLE: &str = "FENNELSCALE_CONFIG";

/// The ports that processes listen on for each other, by their place in the machine's range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Stores, for each other.
    Depot = 0,
    /// Registries, for each other.
    Postmaster = 1,
    /// Registries, for the sessions of proxies.
    Sessions = 2,
    /// The registry, for its machine's store.
    Shelf = 3,
    /// Proxies, for news that others pass on.
    Courier = 4,
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
pub struct Cloud {
    /// Where it is asked for.
    pub address: SocketAddr,
    /// Calls a second that it takes from all gateways together.
    pub per_s: f64,
    /// How old its answers may be.
    pub lag: Duration,
}

/// All that a program is told.
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
    pub counts: bool,
    /// The folder for files that last.
    pub data: Option<PathBuf>,
    /// How often processes should show that they live.
    pub heartbeat: Duration,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where to listen.
    pub listen: Listen,
    /// What the machine has.
    pub limits: Limits,
    /// What may be lost.
    pub tolerance: Tolerance,
    /// The list of backends.
    pub cloud: Cloud,
    /// The figures of the rules.
    pub bounds: Bounds,
    /// What failure orders may do; without it none is taken or heeded.
    pub failures: Option<fennelscale_fault_injection::Limits>,
}

impl Settings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// When there is none or it cannot be used.
    pub fn from_environment() -> Result<Self, Fault> {
        Self::told_by_environment().map(|(settings, _)| settings)
    }

    /// The same, and what became of the file's fields.
    ///
    /// # Errors
    /// When there is none or it cannot be used.
    pub fn told_by_environment() -> Result<(Self, Told), Fault> {
        let Some(path) = std::env::var_os(VARIABLE) else { return Err(Fault::NotNamed) };
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path).map_err(|error| Fault::Unreadable {
            path: path.display().to_string(),
            error: error.to_string(),
        })?;
        Self::parse_told(&text)
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        Self::parse_told(text).map(|(settings, _)| settings)
    }

    /// The same, and what became of its fields.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn parse_told(text: &str) -> Result<(Self, Told), Fault> {
        let sheet = Sheet::parse(text)?;
        let settings = Self::read(&sheet)?;
        Ok((settings, sheet.told()))
    }

    fn read(sheet: &Sheet) -> Result<Self, Fault> {
        let ports: Vec<u16> = sheet.list("/internalPortRange")?;
        let &[first, last] = ports.as_slice() else {
            return Err(sheet.fault("/internalPortRange", "write two ports, the first and the last"));
        };
        if last < first || last - first < Port::Courier as u16 {
            return Err(sheet.fault("/internalPortRange", "leave at least five ports from first to last"));
        }
        let zones: BTreeMap<String, String> = sheet.value("/zones")?;
        let (zone, region): (String, String) = (sheet.value("/zone")?, sheet.value("/region")?);
        if zones.get(&zone) != Some(&region) {
            return Err(sheet.fault("/zone", "name a zone of [zones] whose region is `region`"));
        }
        let megabytes = |at: &str| sheet.number(at).map(|mb| (mb * 1e6) as u64);
        Ok(Self {
            node: sheet.value("/nodeName")?,
            ip: sheet.value("/ipAddress")?,
            ports: (first, last),
            seeds: sheet.list("/seedNodes")?,
            bootstrap: sheet.value("/bootstrap")?,
            counts: sheet.value("/countsTowardQuorum")?,
            data: sheet.maybe("/dataDirectory")?,
            heartbeat: sheet.span("/heartbeatInterval")?,
            listen: Listen {
                frontend: sheet.maybe("/listenAddresses/frontend")?,
                readiness: sheet.maybe("/listenAddresses/readiness")?,
                control: sheet.maybe("/listenAddresses/controlPlane")?,
                directory: sheet.maybe("/listenAddresses/directory")?,
            },
            limits: Limits {
                memory: megabytes("/limits/memoryMb")?,
                descriptors: sheet.value("/limits/maxFileDescriptors")?,
                disk: megabytes("/limits/diskMb")?,
            },
            tolerance: Tolerance {
                machines: sheet.value("/faultTolerance/machineLosses")?,
                zones: sheet.value("/faultTolerance/zones")?,
                regions: sheet.value("/faultTolerance/regionLosses")?,
            },
            cloud: Cloud {
                address: sheet.value("/cloudApi/address")?,
                per_s: sheet.number("/cloudApi/ratePerS")?,
                lag: sheet.span("/cloudApi/maxLag")?,
            },
            bounds: Bounds::read(sheet)?,
            failures: failures(sheet)?,
            zone,
            region,
            zones,
        })
    }

    /// Where a process of this machine listens for others.
    pub fn own(&self, port: Port) -> SocketAddr {
        self.at(self.ip, port)
    }

    /// Where the process of another machine listens: all machines use the same ports.
    pub fn at(&self, ip: IpAddr, port: Port) -> SocketAddr {
        SocketAddr::new(ip, self.ports.0 + port as u16)
    }

    /// Where the seeds' processes listen.
    pub fn seeds_at(&self, port: Port) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| self.at(seed.ip(), port)).collect()
    }
}

/// The table `failureOrders`, where there is one.
fn failures(sheet: &Sheet) -> Result<Option<fennelscale_fault_injection::Limits>, Fault> {
    const AT: &str = "/failureOrders";
    if !sheet.has(AT) {
        return Ok(None);
    }
    let kinds: Vec<String> = sheet.value("/failureOrders/kinds")?;
    let names = fennelscale_fault_injection::FailureKind::NAMES;
    if kinds.iter().any(|kind| !names.contains(&kind.as_str())) {
        return Err(sheet.fault("/failureOrders/kinds", format!("list some of {}", names.join(", "))));
    }
    Ok(Some(fennelscale_fault_injection::Limits {
        max_requests: sheet.value("/failureOrders/mostInAll")?,
        max_per_s: sheet.number("/failureOrders/mostPerS")?,
        max_duration: sheet.span("/failureOrders/longest")?,
        kinds: kinds.into_iter().collect(),
    }))
}

#[cfg(test)]
mod tests;
