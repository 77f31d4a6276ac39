//! The counters that accounts are divided among, and changes of this set while the gateway runs.

use crate::counting::counter::{CONNECTIONS, Counter};
use crate::engine::{CounterClient, CounterReplyHandler};
use doorcourse::{CountOutcome, Millis};
use fennelscale_quota::Partition;
use fennelscale_settings::quota::{PartitionRule, addresses};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The clients of all counters.
pub struct Counters {
    partition: RefCell<Partition>,
    /// In the order of the partition's addresses.
    clients: RefCell<Vec<Counter>>,
    call_timeout: Duration,
    report: Rc<CounterReplyHandler>,
}

/// File descriptors that the counters need beyond those of a single one.
pub fn extra_descriptors(partition: &Partition) -> usize {
    partition.addresses().len().saturating_sub(1) * CONNECTIONS
}

/// Reasons to reject a change of the counters.
const MISSING_TIME: &str = "quota.partition.counters: other counters than those in use: name them under quota.partition.next with a \
                       time to come, so that all gateways change at once";
const TIME_PASSED: &str =
    "quota.partition.next.from: that time has passed: choose one at which all gateways will have heard of it";

impl Counters {
    /// Connects to the counters of a partition and reconnects as needed.
    pub fn start(partition: Partition, call_timeout: Duration, report: Rc<CounterReplyHandler>) -> Self {
        let counters =
            Self { partition: partition.into(), clients: RefCell::default(), call_timeout, report };
        counters.connect();
        counters
    }

    /// How accounts are divided among the counters.
    pub fn partition(&self) -> Partition {
        self.partition.borrow().clone()
    }

    /// Applies a rule that was read again; true if it changes anything.
    ///
    /// # Errors
    /// When the rule names other counters without a future time; nothing has changed then.
    pub fn change(&self, rule: &PartitionRule, now: Millis) -> Result<bool, String> {
        let mut partition = self.partition();
        let (current, next) = (addresses(&rule.counters), rule.next.as_ref());
        let wanted = next.map_or_else(|| current.clone(), |next| addresses(&next.counters));
        if partition.uses_exactly(&wanted) {
            return Ok(false);
        }
        let next = next.ok_or(MISSING_TIME)?;
        if !partition.uses_exactly(&current) {
            return Err(MISSING_TIME.into());
        }
        let from = next.begins();
        if from <= now {
            return Err(TIME_PASSED.into());
        }
        partition.replace_counters(&wanted, from).map_err(|error| error.to_string())?;
        self.partition.replace(partition);
        self.connect();
        Ok(true)
    }

    fn connect(&self) {
        let partition = self.partition.borrow();
        let mut clients = self.clients.borrow_mut();
        let known = clients.len();
        let added = partition.addresses().iter().skip(known).filter_map(|a| a.parse::<SocketAddr>().ok());
        clients.extend(added.map(|address| Counter::start(address, self.call_timeout, self.report.clone())));
    }

    /// Starts a call. Its result is reported later, or at once if there is no such counter.
    fn call(&self, counter: usize, key: u64, amount: f64, ttl: Millis) {
        match self.clients.borrow().get(counter) {
            Some(counter) => counter.add(key, amount, ttl),
            None => (self.report)(key, CountOutcome::NotAdded, 0.0),
        }
    }

    /// Moves the only counter to another address. Of several counters the operators' file gives the
    /// addresses.
    pub fn move_to(&self, address: SocketAddr) {
        if let [counter] = self.clients.borrow().as_slice() {
            counter.move_to(address);
        }
    }
}

impl CounterClient for Counters {
    fn partition(&self) -> Partition {
        Self::partition(self)
    }

    fn add(&self, counter: usize, key: u64, amount: f64, ttl: Millis) {
        self.call(counter, key, amount, ttl);
    }
}
