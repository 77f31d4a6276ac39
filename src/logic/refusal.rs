//! Which refusal: who waits in line and for how long, and the final answers of those that get no further.

use super::*;

/// A request is held (for its open cap, for a backend with room) at most this share of its aim.
pub(super) const QUEUE_WAIT_SHARE: f64 = 0.3;

impl Gateway {
    pub(super) fn over_quota(&mut self, id: RequestId, short: f64, rate: f64, actions: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.chance());
        self.refuse(id, wait, actions);
    }

    pub(super) fn wait_until(
        &mut self, id: RequestId, stage: Stage, until: Millis, actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.hold_until = until.min(request.deadline - DEADLINE_MARGIN_TICKS * self.settings.tick);
        let after = (request.hold_until - self.now).max(0.0);
        actions.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Sends a request on, or has it wait in line, those worth more first; no line outgrows what is out.
    pub(super) fn send_or_queue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        let (fresh, class, without_total) = (request.attempts == 0, request.class, request.without_total);
        // Nobody has a total while the counter is silent: to be without one says nothing then.
        let counter = without_total.then(|| self.customers.get(&request.customer).map_or(0, |c| c.counter));
        let without_total = counter.is_some_and(|counter| !self.silent(counter));
        if fresh && !self.admits_fresh(class, without_total) {
            return self.answer_finally(id, actions);
        }
        if self.dispatch(id, actions) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let wait_until = self.settings.classes[request.class].target_latency * QUEUE_WAIT_SHARE;
        let until = if fresh { request.arrived } else { self.now } + wait_until;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.total_limit().max(1.0) {
            return self.answer_finally(id, actions);
        }
        let worth = |r: &Request| self.settings.classes[r.class].value;
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.wait_until(id, Stage::Queued, until, actions);
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
        let over = self.now + 1e-6 >= request.hold_until;
        match request.stage {
            Stage::Queued if over => self.answer_finally(id, actions),
            Stage::AwaitingLease if over => self.by_slice(id, actions),
            _ => {}
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is harmless.
    pub(super) fn answer_finally(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let harmless = request.may_have_run.is_none()
            || class.retry_safety == RetrySafety::Safe
            || (class.retry_safety == RetrySafety::Keyed && class.dedup_scope == DedupScope::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.chance());
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

    /// Units of a request that surely never ran go back to its customer's block.
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
