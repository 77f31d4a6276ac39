//! Who a member is.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// One run of one gateway.
///
/// Two processes that claim one name are told apart by the incarnation. The rule: the higher incarnation is the member, and of
/// two alike the higher address; the other one is usurped, takes part in nothing from then on, and says so.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Grows each time that this run was named gone and came back.
    pub renewal: u32,
}

impl Identity {
    /// A run that starts now.
    pub fn new(name: &str, incarnation: u64, address: SocketAddr) -> Self {
        Self { name: name.to_owned(), incarnation, address, renewal: 0 }
    }

    /// Whether two are the same run of the same process.
    pub fn is_run_of(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation == other.incarnation && self.address == other.address
    }

    /// Whether this run takes the name from the other, by the rule above.
    pub fn usurps(&self, other: &Self) -> bool {
        self.name == other.name && (self.incarnation, self.address) > (other.incarnation, other.address)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{} at {}", self.name, self.incarnation, self.address)
    }
}

impl foca::Identity for Identity {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Self { renewal: self.renewal.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.incarnation, self.address, self.renewal)
            > (adversary.incarnation, adversary.address, adversary.renewal)
    }
}
