//! The queue of requests without a backend, and the final answers of requests that get no further attempt.

use super::*;

/// Maximum time in the queue (for the concurrency cap or a backend below its limit), as a share of the target
/// latency.
pub(super) const QUEUE_WAIT_SHARE: f64 = 0.3;

impl Gateway {
    pub(super) fn refuse_over_quota(
        &mut self, id: RequestId, short: f64, rate: f64, actions: &mut Vec<Action>,
    ) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.random());
        self.refuse(id, wait, actions);
    }

    pub(super) fn wait(&mut self, id: RequestId, stage: Stage, until: Millis, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.wait_until = until.min(request.deadline - MARGIN_TICKS * self.settings.tick);
        let after = (request.wait_until - self.now).max(0.0);
        actions.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Sends a request or queues it, the most valuable first. The queue is bounded by the total concurrency
    /// limit.
    pub(super) fn send_or_queue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        let (fresh, class, without_total) = (request.attempts == 0, request.class, request.without_total);
        // No request has a total while the counter is silent, so missing it is not held against this one.
        let counter = without_total.then(|| self.customers.get(&request.customer).map_or(0, |c| c.counter));
        let without_total = counter.is_some_and(|counter| !self.is_silent(counter));
        if fresh && !self.admits_fresh(class, without_total) {
            return self.give_up(id, actions);
        }
        if self.dispatch(id, actions) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let queue_time = self.settings.classes[request.class].target_latency * QUEUE_WAIT_SHARE;
        let until = if fresh { request.arrived } else { self.now } + queue_time;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.total_limit().max(1.0) {
            return self.give_up(id, actions);
        }
        let value = |r: &Request| self.settings.classes[r.class].value;
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| value(r) < value(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.wait(id, Stage::Queued, until, actions);
    }

    pub(super) fn drain_queue(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queued) && !self.dispatch(id, actions)
            {
                self.queue.push_back(id);
            }
        }
    }

    pub(super) fn on_wait_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let expired = self.now + 1e-6 >= request.wait_until;
        match request.stage {
            Stage::Queued if expired => self.give_up(id, actions),
            Stage::AwaitingLease if expired => self.admit_by_slice(id, actions),
            _ => {}
        }
    }

    /// The only final answer of a request that gets no further attempt: a refusal if a client retry is
    /// harmless.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let harmless = request.may_have_run.is_none()
            || class.retry_safety == RetrySafety::Safe
            || (class.retry_safety == RetrySafety::Keyed && class.dedup_scope == DedupScope::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.random());
            self.refuse(id, wait, actions);
        } else {
            self.remove_request(id);
            actions.push(Action::Fail { id });
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        self.remove_request(id);
        actions.push(Action::Refuse { id, retry_after: wait.clamp(0.0, self.settings.max_retry_after) });
    }

    /// Removes a request; units of one that certainly never ran return to the lease of its customer.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::AwaitingLease => customer.waiting.retain(|w| *w != id),
            _ if request.may_have_run.is_none() => customer.lease += request.units,
            _ => {}
        }
    }
}
