//! Assignment of accounts to counters.

use crate::Millis;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most different counters that one gateway may use between its start and its end.
const MAX_COUNTERS: usize = 64;

/// Why a list of counters is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionError {
    /// The list is empty.
    Empty,
    /// An address is listed twice.
    Duplicate(String),
    /// More than 64 different counters were listed since the start.
    TooMany,
}

impl fmt::Display for PartitionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "no counter is named: name one at least"),
            Self::Duplicate(address) => write!(f, "{address} is named twice: name each counter once"),
            Self::TooMany => {
                write!(f, "more than {MAX_COUNTERS} counters since the start: restart the gateway")
            }
        }
    }
}

impl std::error::Error for PartitionError {}

/// Assigns each account to the counter whose address hashes highest together with the account (rendezvous
/// hashing by XXH3 with its specified output, so that all gateways agree). Adding or removing a counter
/// moves only the accounts that it gains or loses.
///
/// A change applies to windows that begin at a given time or later. A window's count is then always
/// complete on one counter, and no account is counted on two of them at once, as long as every gateway
/// learns of the change before that time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partition {
    /// Every counter listed so far; callers refer to them by their index here.
    addresses: Vec<String>,
    previous: Vec<usize>,
    latest: Vec<usize>,
    from: Millis,
}

impl Partition {
    /// Assigns accounts to these counters from the start.
    ///
    /// # Errors
    /// If the list is empty or has an address twice.
    pub fn new(addresses: &[String]) -> Result<Self, PartitionError> {
        let mut partition = Self::default();
        partition.replace_counters(addresses, f64::NEG_INFINITY)?;
        Ok(partition)
    }

    /// Assigns accounts to these counters in windows that begin at `from` or later. Earlier windows keep
    /// their counters, but a change that has not begun by then is dropped.
    ///
    /// # Errors
    /// If the list is empty, has an address twice, or too many counters were listed since the start.
    /// Nothing has changed then.
    pub fn replace_counters(&mut self, addresses: &[String], from: Millis) -> Result<(), PartitionError> {
        if addresses.is_empty() {
            return Err(PartitionError::Empty);
        }
        if self.uses_exactly(addresses) {
            return Ok(());
        }
        let duplicate = addresses.iter().enumerate().find(|(n, address)| addresses[..*n].contains(address));
        if let Some((_, address)) = duplicate {
            return Err(PartitionError::Duplicate(address.clone()));
        }
        let added = addresses.iter().filter(|address| !self.addresses.contains(address)).count();
        if self.addresses.len() + added > MAX_COUNTERS {
            return Err(PartitionError::TooMany);
        }
        let mut indexes = Vec::with_capacity(addresses.len());
        for address in addresses {
            let known = self.addresses.iter().position(|a| a == address);
            indexes.push(known.unwrap_or_else(|| {
                self.addresses.push(address.clone());
                self.addresses.len() - 1
            }));
        }
        if from >= self.from {
            self.previous = std::mem::take(&mut self.latest);
        }
        (self.latest, self.from) = (indexes, from);
        Ok(())
    }

    /// Whether the latest counters, in use or pending, are exactly these, so that there is nothing to change.
    #[must_use]
    pub fn uses_exactly(&self, addresses: &[String]) -> bool {
        let is_listed = |index: &usize| self.addresses.get(*index).is_some_and(|a| addresses.contains(a));
        self.latest.len() == addresses.len() && self.latest.iter().all(is_listed)
    }

    /// The addresses by index.
    #[must_use]
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// The index of the counter for an account, by its hash, in a window that begins at `begins`; 0 if no
    /// counter was ever listed.
    #[must_use]
    pub fn owner(&self, account: u64, begins: Millis) -> usize {
        let indexes =
            if begins >= self.from || self.previous.is_empty() { &self.latest } else { &self.previous };
        if let [] | [_] = indexes.as_slice() {
            return indexes.first().copied().unwrap_or(0);
        }
        let weight = |index: &usize| {
            let address = self.addresses.get(*index).map_or("", String::as_str);
            xxh3_64_with_seed(address.as_bytes(), account)
        };
        indexes.iter().copied().max_by_key(weight).unwrap_or(0)
    }
}
