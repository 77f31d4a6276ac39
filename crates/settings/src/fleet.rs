//! The fleet that gateways make among themselves: who keeps its log, where they talk, which rights they take. Package `fleet`
//! acts by it. Without this table a gateway talks to no other.

use crate::file::Fault;
use crate::units::{Quantity, Time};
use ipnet::IpNet;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

type Ms = Quantity<Time>;

/// Keepers that a log may have: a majority of more is slower and no safer than one of five.
const KEEPERS: [usize; 3] = [1, 3, 5];
/// Shortest and longest lease, in ms; package `fleet` takes no others.
const LEASES: std::ops::RangeInclusive<f64> = 500.0..=600_000.0;
/// Rights that one gateway may want.
const MOST_RIGHTS: usize = 64;
/// Networks that may be named.
const MOST_NETWORKS: usize = 64;
/// A clock that runs off faster than this breaks what leases rest on.
const MOST_DRIFT: i32 = 1000;

/// All that is said of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name: gateways of others are not heard.
    pub name: String,
    /// Where peers reach this gateway, by TCP and UDP on one port.
    pub listen: SocketAddr,
    /// Under which address peers know it, if not the one above.
    pub advertise: Option<SocketAddr>,
    /// Where the commands of this machine's operators come in; loopback only. None: nobody can ask.
    pub control: Option<SocketAddr>,
    /// The gateways that keep the log, by name.
    pub keepers: BTreeMap<String, SocketAddr>,
    /// Members to ask first, besides the keepers.
    #[serde(default)]
    pub seeds: BTreeMap<String, SocketAddr>,
    /// Where a member is reached from here, if not where it says: behind a translated address, or a relay.
    #[serde(default)]
    pub reach: BTreeMap<String, SocketAddr>,
    /// Peers are heard from these networks only.
    pub networks: Vec<IpNet>,
    /// A keeper's folder, on a disk that outlives it.
    pub disk: Option<PathBuf>,
    /// How members watch one another.
    #[serde(default)]
    pub watch: WatchRule,
    /// Rights that this gateway wants.
    #[serde(default)]
    pub rights: BTreeMap<String, RightRule>,
    /// A clock that is wrong on purpose, for rehearsals.
    #[serde(default)]
    pub clock: ClockRule,
}

/// How members watch one another.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct WatchRule {
    /// How often each probes one other.
    pub period: Ms,
    /// How long a suspected one has to answer.
    pub suspicion: Ms,
}

impl Default for WatchRule {
    fn default() -> Self {
        Self { period: Ms::of(1000.0), suspicion: Ms::of(4000.0) }
    }
}

/// A right that a gateway wants.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RightRule {
    /// How long it holds without being renewed.
    pub length: Ms,
    /// Who is told, again and again, while it is held: a line of JSON with the right, the holder and the fencing number.
    pub witness: Option<SocketAddr>,
    /// How often.
    #[serde(default = "often")]
    pub every: Ms,
}

fn often() -> Ms {
    Ms::of(1000.0)
}

/// A clock that is wrong on purpose.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ClockRule {
    /// How far it is ahead at the start.
    pub offset: Option<Ms>,
    /// By how many parts in a million it is fast; slow if negative.
    pub drift_ppm: i32,
}

fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 64
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b))
}

impl Fleet {
    /// Whether a peer at this address is heard.
    pub fn hears(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.networks.iter().any(|network| network.contains(&address))
    }

    pub(crate) fn check(&self) -> Result<(), Fault> {
        let fault = |key: &str, what: &str| Err((format!("fleet.{key}"), what.to_owned()));
        if !is_name(&self.name) {
            return fault("name", "must be 64 letters, digits and -_.:/ at most");
        }
        if !KEEPERS.contains(&self.keepers.len()) {
            return fault("keepers", "must be one, three or five gateways: a majority has to be possible");
        }
        if let Some(name) = self.keepers.keys().chain(self.seeds.keys()).find(|name| !is_name(name)) {
            return fault(&format!("keepers.{name}"), "must be a gateway's name");
        }
        if self.networks.is_empty() || self.networks.len() > MOST_NETWORKS {
            return fault(
                "networks",
                "must be 1 to 64 networks: without TLS nobody else may reach this address",
            );
        }
        if self.control.is_some_and(|address| !address.ip().is_loopback()) {
            return fault("control", "must be a loopback address: whoever reaches it is obeyed");
        }
        let period = self.watch.period.0;
        if !(50.0..=60_000.0).contains(&period) {
            return fault("watch.period", "must be 50ms to 1min");
        }
        if self.watch.suspicion.0 < 2.0 * period {
            return fault("watch.suspicion", "must be two periods at least: else nobody has time to answer");
        }
        if self.rights.len() > MOST_RIGHTS {
            return fault("rights", "must be 64 at most");
        }
        for (name, right) in &self.rights {
            if !is_name(name) {
                return fault(
                    &format!("rights.{name}"),
                    "must be named by 64 letters, digits and -_.:/ at most",
                );
            }
            if !LEASES.contains(&right.length.0) {
                return fault(&format!("rights.{name}.length"), "must be 500ms to 10min");
            }
            if right.every.0 < 1.0 {
                return fault(&format!("rights.{name}.every"), "must be 1ms at least");
            }
        }
        if self.clock.drift_ppm.abs() > MOST_DRIFT {
            return fault("clock.drift-ppm", "must be -1000 to 1000: leases allow for no more");
        }
        Ok(())
    }
}
