//! Which backends may be executing requests of this gateway.

use doorcourse::Name;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::time::Instant;

/// Requests that a backend may be executing.
#[derive(Default)]
struct Workload {
    open: usize,
    /// Until when a request that ended without an answer may still be executing.
    uncertain_until: Option<Instant>,
}

impl Workload {
    fn is_finished(&self, now: Instant) -> bool {
        self.open == 0 && self.uncertain_until.is_none_or(|until| until <= now)
    }
}

/// The workloads of all backends.
#[derive(Default)]
pub(super) struct Workloads(RefCell<HashMap<Name, Workload>>);

impl Workloads {
    /// Counts a request at a backend until the guard is dropped, and until `until` if the guard is not told that the
    /// request is finished.
    pub(super) fn begin(&self, name: &Name, until: Instant) -> WorkloadGuard<'_> {
        self.0.borrow_mut().entry(name.clone()).or_default().open += 1;
        WorkloadGuard { workloads: self, name: name.clone(), until, finished: false }
    }

    /// Backends with a request in flight, or one that ended without an answer and whose deadline has not passed.
    pub(super) fn busy_backends(&self) -> Vec<Name> {
        let now = Instant::now();
        let mut workloads = self.0.borrow_mut();
        workloads.retain(|_, workload| !workload.is_finished(now));
        workloads.keys().cloned().collect()
    }
}

/// Counts a request at a backend until it is dropped.
pub(super) struct WorkloadGuard<'a> {
    workloads: &'a Workloads,
    name: Name,
    until: Instant,
    /// The backend is certainly not executing the request any more.
    pub(super) finished: bool,
}

impl Drop for WorkloadGuard<'_> {
    fn drop(&mut self) {
        let mut workloads = self.workloads.0.borrow_mut();
        let Some(workload) = workloads.get_mut(&self.name) else { return };
        workload.open -= 1;
        if !self.finished {
            workload.uncertain_until = workload.uncertain_until.max(Some(self.until));
        }
        if workload.is_finished(Instant::now()) {
            workloads.remove(&self.name);
        }
    }
}
