//! The counters that accounts are over, and how a change of them comes about while the gateway runs.

use crate::counting::counter::{Counter, LANES};
use crate::engine::{CounterClient, CounterReplyHandler};
use doorcourse::{CountOutcome, Millis};
use fennelscale_quota::Partition;
use fennelscale_settings::quota::{PartitionRule, addresses};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The gateway's side of all its counters.
pub struct Counters {
    partition: RefCell<Partition>,
    /// Each in its place.
    parts: RefCell<Vec<Counter>>,
    patience: Duration,
    report: Rc<CounterReplyHandler>,
}

/// Descriptors that counters hold beyond those of one.
pub fn descriptors_more(partition: &Partition) -> usize {
    partition.addresses().len().saturating_sub(1) * LANES
}

/// Why a change of the counters was not made.
const NO_TIME: &str = "quota.partition.counters: other counters than those in use: name them under quota.partition.next with a \
                       time to come, so that all gateways change at once";
const PASSED: &str =
    "quota.partition.next.from: that time has passed: choose one at which all gateways will have heard of it";

impl Counters {
    /// Connects to the counters of a partition, and stays connected.
    pub fn start(partition: Partition, patience: Duration, report: Rc<CounterReplyHandler>) -> Self {
        let counters = Self { partition: partition.into(), parts: RefCell::default(), patience, report };
        counters.connect();
        counters
    }

    /// What the decisions have to know of them.
    pub fn partition(&self) -> Partition {
        self.partition.borrow().clone()
    }

    /// A rule was read again. Whether anything has changed.
    ///
    /// # Errors
    /// When it says something else without a time to come; nothing has changed then.
    pub fn change(&self, rule: &PartitionRule, now: Millis) -> Result<bool, String> {
        let mut partition = self.partition();
        let (named, next) = (addresses(&rule.counters), rule.next.as_ref());
        let wanted = next.map_or_else(|| named.clone(), |next| addresses(&next.counters));
        if partition.is_over(&wanted) {
            return Ok(false);
        }
        let next = next.ok_or(NO_TIME)?;
        if !partition.is_over(&named) {
            return Err(NO_TIME.into());
        }
        let from = next.begins();
        if from <= now {
            return Err(PASSED.into());
        }
        partition.change(&wanted, from).map_err(|error| error.to_string())?;
        self.partition.replace(partition);
        self.connect();
        Ok(true)
    }

    fn connect(&self) {
        let partition = self.partition.borrow();
        let mut parts = self.parts.borrow_mut();
        let known = parts.len();
        let fresh = partition.addresses().iter().skip(known).filter_map(|a| a.parse::<SocketAddr>().ok());
        parts.extend(fresh.map(|address| Counter::start(address, self.patience, self.report.clone())));
    }

    /// Makes a call; its end is reported later or, with nobody to call, at once.
    fn call(&self, counter: usize, name: u64, amount: f64, keep: Millis) {
        match self.parts.borrow().get(counter) {
            Some(counter) => counter.add(name, amount, keep),
            None => (self.report)(name, CountOutcome::NotAdded, 0.0),
        }
    }

    /// The only counter is elsewhere from now on; of several the operators' file says it.
    pub fn move_to(&self, address: SocketAddr) {
        if let [counter] = self.parts.borrow().as_slice() {
            counter.move_to(address);
        }
    }
}

impl CounterClient for Counters {
    fn partition(&self) -> Partition {
        Self::partition(self)
    }

    fn add(&self, counter: usize, name: u64, amount: f64, keep: Millis) {
        self.call(counter, name, amount, keep);
    }
}
