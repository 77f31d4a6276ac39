//! Failure orders in the proxy: which requests they select, and their counts.

use super::Proxy;
use fennelscale_fault_injection::{Caller, OutcomeCounts, Verdict};
use fennelscale_messages::session::ProxyToRegistry;

/// Interval at which the counts of failure orders are sent to the registry, in ms.
const COUNT_INTERVAL: f64 = 1000.0;

/// The counts of one failure order, as they are sent.
type OrderCount = (String, [u64; 3], [[u64; 3]; 2]);

impl Proxy {
    /// What failure orders do to a request. Logs the request if an order selects it.
    pub fn select_failure(&self, caller: &Caller<'_>) -> Verdict {
        let (now, state) = (self.now(), self.routing_state.borrow());
        let verdict = self.failure_orders.borrow_mut().decide(now, state.true_time(now), caller);
        if let Verdict::Fail(met) = &verdict {
            let what = met.kind.name();
            tracing::info!(event = "failure-injected", order = met.order, what, request = caller.id);
        }
        verdict
    }

    /// Counts a finished request that no failure order selected.
    pub fn record_unaffected(&self, status: u16) {
        if !self.failure_orders.borrow().is_empty() {
            self.failure_orders
                .borrow_mut()
                .record_outcome(self.routing_state.borrow().true_time(self.now()), status);
        }
    }

    /// Sends the counts of failure orders to the registry at intervals.
    pub(super) fn send_failure_counts(&self) {
        if self.failure_orders.borrow().is_empty() || self.now() < self.next_count_at.get() {
            return;
        }
        self.next_count_at.set(self.now() + COUNT_INTERVAL);
        let outcomes = |sums: OutcomeCounts| [sums.served, sums.refused, sums.failed];
        let counts = self.failure_orders.borrow().counts().into_iter();
        let counts: Vec<OrderCount> = counts
            .map(|(order, count, others)| {
                (order, [count.matched, count.failed, count.limited], others.map(outcomes))
            })
            .collect();
        // Sent even if unchanged: the session may be with another registry by now.
        self.send(&ProxyToRegistry::FailureCounts(counts));
    }
}
