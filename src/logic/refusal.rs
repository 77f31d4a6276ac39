//! Which refusal: who waits in line and for how long, and the final answers of those that get no further.

use super::*;

/// A request is held (for its open cap, for a backend with room) at most this share of its aim.
pub(super) const HOLD_SHARE: f64 = 0.3;

impl Gateway {
    pub(super) fn over_quota(&mut self, id: RequestId, short: f64, rate: f64, out: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.chance());
        self.refuse(id, wait, out);
    }

    pub(super) fn hold(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.hold_until = until.min(request.deadline - LAST_TICKS * self.settings.tick);
        let after = (request.hold_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Sends a request on, or has it wait in line, those worth more first; no line outgrows what is out.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queue;
        let (fresh, class, blind) = (request.attempts == 0, request.class, request.blind);
        // Nobody has a total while the counter is silent: to be without one says nothing then.
        let counter = blind.then(|| self.customers.get(&request.customer).map_or(0, |c| c.counter));
        let blind = counter.is_some_and(|counter| !self.silent(counter));
        if fresh && !self.taken(class, blind) {
            return self.give_up(id, out);
        }
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let hold = self.settings.classes[request.class].target_latency * HOLD_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.room().max(1.0) {
            return self.give_up(id, out);
        }
        let worth = |r: &Request| self.settings.classes[r.class].value;
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.hold(id, Stage::Queue, until, out);
    }

    pub(super) fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queue) && !self.dispatch(id, out) {
                self.queue.push_back(id);
            }
        }
    }

    pub(super) fn on_hold_over(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let over = self.now + 1e-6 >= request.hold_until;
        match request.stage {
            Stage::Queue if over => self.give_up(id, out),
            Stage::Block if over => self.by_slice(id, out),
            _ => {}
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is harmless.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let harmless = request.may_have_run.is_none()
            || class.retry_safety == RetrySafety::Safe
            || (class.retry_safety == RetrySafety::Keyed && class.dedup_scope == DedupScope::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.chance());
            self.refuse(id, wait, out);
        } else {
            self.forget(id);
            out.push(Action::Fail { id });
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        self.forget(id);
        out.push(Action::Refuse { id, retry_after: wait.clamp(0.0, self.settings.max_retry_after) });
    }

    /// Units of a request that surely never ran go back to its customer's block.
    pub(super) fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::Block => customer.waiting.retain(|w| *w != id),
            _ if request.may_have_run.is_none() => customer.lease += request.units,
            _ => {}
        }
    }
}
