//! Quotas while the shared counter is lost, as operators say it. Package `quota` derives the bound from it.

use crate::file::Fault;
use crate::units::{Quantity, Time};
use fennelscale_quota::{Loss, Partition, PartitionError};
use jiff::Timestamp;
use serde::Deserialize;
use std::net::SocketAddr;

type Ms = Quantity<Time>;

/// More counters than this that nobody knows of are no fleet that a bound could be stated for.
const MOST_COUNTERS: u32 = 16;
/// Accounts over more counters than this are no gateway's.
const MOST_PARTS: usize = 16;
/// A split that stays unseen for longer is no accident.
const LONGEST: f64 = 86_400_000.0;

/// All that is said of quotas without the counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Quota {
    /// The losses that gateways are made for.
    pub losses: Loss,
    /// How many counters may each believe that they hold all counts while nobody knows: one more for each half of a split,
    /// and for each counter put in place of another without a silence. It changes the bound, not the gateways.
    pub counters: u32,
    /// For how long that may stay unseen. It changes the bound, not the gateways.
    pub detection: Ms,
    /// By how much the gateways' clocks differ at most. It changes the bound, not the gateways.
    pub skew: Ms,
    /// The counters that accounts are counted on; the one of the configuration where it is left out.
    pub partition: Option<PartitionRule>,
}

/// Accounts over several counters.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PartitionRule {
    /// The counters.
    pub counters: Vec<SocketAddr>,
    /// What they will be.
    pub next: Option<NextPartition>,
}

/// A change that all gateways make at the same time.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct NextPartition {
    /// The counters from then on.
    pub counters: Vec<SocketAddr>,
    /// When: windows of accounts that begin then or later are counted on them.
    pub from: Timestamp,
}

/// Addresses as a partition names them.
pub fn addresses(counters: &[SocketAddr]) -> Vec<String> {
    counters.iter().map(SocketAddr::to_string).collect()
}

impl NextPartition {
    /// When, as Unix time in milliseconds.
    pub fn begins(&self) -> f64 {
        self.from.as_millisecond() as f64
    }
}

impl PartitionRule {
    /// What the rule says of which counter counts an account.
    ///
    /// # Errors
    /// When a list is empty or names a counter twice.
    pub fn partition(&self) -> Result<Partition, PartitionError> {
        let mut partition = Partition::new(&addresses(&self.counters))?;
        if let Some(next) = &self.next {
            partition.replace_counters(&addresses(&next.counters), next.begins())?;
        }
        Ok(partition)
    }

    fn check(&self) -> Result<(), Fault> {
        let next = self.next.as_ref().map(|next| ("next.counters", &next.counters));
        for (key, counters) in [("counters", &self.counters)].into_iter().chain(next) {
            let fault = |what: String| (format!("quota.partition.{key}"), what);
            if !(1..=MOST_PARTS).contains(&counters.len()) {
                return Err(fault("must name 1 to 16 counters".to_owned()));
            }
            Partition::new(&addresses(counters)).map_err(|error| fault(error.to_string()))?;
        }
        Ok(())
    }
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            losses: Loss::Whole,
            counters: 1,
            detection: Ms::of(300.0),
            skew: Ms::of(0.0),
            partition: None,
        }
    }
}

impl Quota {
    pub(crate) fn check(&self) -> Result<(), Fault> {
        let fault = |key: &str, what: &str| Err((format!("quota.{key}"), what.to_owned()));
        if !(1..=MOST_COUNTERS).contains(&self.counters) {
            return fault(
                "counters",
                "must be 1 to 16: how many may each hold all counts while nobody knows",
            );
        }
        if self.detection.0 > LONGEST {
            return fault("detection", "must be 1440min at most");
        }
        if self.skew.0 > LONGEST {
            return fault("skew", "must be 1440min at most");
        }
        self.partition.as_ref().map_or(Ok(()), PartitionRule::check)
    }
}
