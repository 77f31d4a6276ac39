//! Retries: what the end of an attempt means, and whether another one follows.

use super::*;

/// An answer must leave this many ticks before the client gives up.
pub(super) const MARGIN_TICKS: f64 = 2.0;
/// Maximum attempts of a safe request that may have run: one that fails on two backends is expensive.
pub(super) const MAX_SAFE_ATTEMPTS: u32 = 2;

impl Gateway {
    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(actual_units) = end.actual_units.filter(|_| outcome == Outcome::Served) {
            customer.owed += actual_units - request.units;
            customer.balance -= actual_units - request.units;
        }
        customer.in_flight = customer.in_flight.saturating_sub(1);
        let abandoned = std::mem::replace(&mut request.stage, Stage::Queued) == Stage::Abandoned;
        request.misdirected |= outcome == Outcome::Misdirected;
        if !outcome.never_ran() && request.may_have_run.is_none() {
            let origin = self.backends.get(&end.backend).map(|b| (request.sent_at, b.zone.clone(), b.cell));
            request.may_have_run = origin.or(Some((request.sent_at, Name::default(), u64::MAX)));
        }
        if abandoned || end.finished || outcome == Outcome::Served {
            return self.remove_request(id);
        }
        if self.may_retry(id) { self.send_or_queue(id, actions) } else { self.give_up(id, actions) }
    }

    pub(super) fn may_retry(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (class, margin) = (&self.settings.classes[request.class], MARGIN_TICKS * self.settings.tick);
        let allowed = match (&request.may_have_run, class.retry_safety) {
            (None, _) => true,
            (_, RetrySafety::Safe) => request.attempts < MAX_SAFE_ATTEMPTS,
            (Some((sent, ..)), RetrySafety::Keyed) => self.now - sent < class.dedup_window - margin,
            (Some(_), RetrySafety::Unsafe) => false,
        };
        let limit = request.constraints.as_ref().map_or(0, |c| c.max_attempts);
        let limit = if limit > 0 { limit } else { self.settings.max_attempts };
        let in_budget = request.attempts == 0 || self.topology.may_retry(request.misdirected);
        allowed && in_budget && request.deadline - self.now > margin && request.attempts < limit
    }
}
