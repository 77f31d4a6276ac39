//! Accounts over several counters.

use crate::Millis;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most counters that were ever named to one gateway.
const MOST: usize = 64;

/// A change that cannot be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionError {
    /// No counter is named.
    Empty,
    /// One is named twice.
    Duplicate(String),
    /// More than 64 have been named since the start.
    TooMany,
}

impl fmt::Display for PartitionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "no counter is named: name one at least"),
            Self::Duplicate(address) => write!(f, "{address} is named twice: name each counter once"),
            Self::TooMany => write!(f, "more than {MOST} counters since the start: restart the gateway"),
        }
    }
}

impl std::error::Error for PartitionError {}

/// Which counter counts an account: the one whose address and the account hash highest (rendezvous hashing, by XXH3 with
/// its stated output, so that all gateways agree). One counter more or less moves only the accounts that it wins or held.
///
/// A change takes effect for windows that begin at a stated time or later. A window's count is then always whole on one counter,
/// and no account is counted on two of them at once, as long as every gateway hears of the change before that time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partition {
    /// Every counter named so far; others speak of them by their place here.
    addresses: Vec<String>,
    old: Vec<usize>,
    new: Vec<usize>,
    from: Millis,
}

impl Partition {
    /// Accounts over these counters from the start.
    ///
    /// # Errors
    /// When there is none, or one is named twice.
    pub fn new(addresses: &[String]) -> Result<Self, PartitionError> {
        let mut partition = Self::default();
        partition.replace_counters(addresses, f64::NEG_INFINITY)?;
        Ok(partition)
    }

    /// Accounts over these counters in windows that begin at `from` or later; what was said of earlier ones stays, but a change
    /// that has not begun by then is forgotten.
    ///
    /// # Errors
    /// When there is none, one is named twice, or too many were named since the start. Nothing has changed then.
    pub fn replace_counters(&mut self, addresses: &[String], from: Millis) -> Result<(), PartitionError> {
        if addresses.is_empty() {
            return Err(PartitionError::Empty);
        }
        if self.uses_exactly(addresses) {
            return Ok(());
        }
        let twice = addresses.iter().enumerate().find(|(n, address)| addresses[..*n].contains(address));
        if let Some((_, address)) = twice {
            return Err(PartitionError::Duplicate(address.clone()));
        }
        let fresh = addresses.iter().filter(|address| !self.addresses.contains(address)).count();
        if self.addresses.len() + fresh > MOST {
            return Err(PartitionError::TooMany);
        }
        let mut places = Vec::with_capacity(addresses.len());
        for address in addresses {
            let known = self.addresses.iter().position(|a| a == address);
            places.push(known.unwrap_or_else(|| {
                self.addresses.push(address.clone());
                self.addresses.len() - 1
            }));
        }
        if from >= self.from {
            self.old = std::mem::take(&mut self.new);
        }
        (self.new, self.from) = (places, from);
        Ok(())
    }

    /// Whether accounts are, or are about to be, over just these counters: then there is nothing to change.
    #[must_use]
    pub fn uses_exactly(&self, addresses: &[String]) -> bool {
        let named = |place: &usize| self.addresses.get(*place).is_some_and(|a| addresses.contains(a));
        self.new.len() == addresses.len() && self.new.iter().all(named)
    }

    /// The addresses, each in its place.
    #[must_use]
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// The place of the counter for an account, by its hash, in a window that begins at `begins`. 0 where none was ever named.
    #[must_use]
    pub fn owner(&self, account: u64, begins: Millis) -> usize {
        let places = if begins >= self.from || self.old.is_empty() { &self.new } else { &self.old };
        if let [] | [_] = places.as_slice() {
            return places.first().copied().unwrap_or(0);
        }
        let weight = |place: &usize| {
            let address = self.addresses.get(*place).map_or("", String::as_str);
            xxh3_64_with_seed(address.as_bytes(), account)
        };
        places.iter().copied().max_by_key(weight).unwrap_or(0)
    }
}
