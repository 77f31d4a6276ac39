//! Which retry: what the end of an attempt means, and whether there is another.

use super::*;

/// An answer must leave this many ticks before the client's patience ends.
pub(super) const LAST_TICKS: f64 = 2.0;
/// A safe request that may have run is tried this often at most: what two backends cannot do is costly.
pub(super) const REPEAT_MOST: u32 = 2;

impl Gateway {
    pub(super) fn on_attempt(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.actual_units.filter(|_| outcome == Outcome::Served) {
            customer.owed += true_units - request.units;
            customer.store -= true_units - request.units;
        }
        customer.open = customer.open.saturating_sub(1);
        let left = std::mem::replace(&mut request.stage, Stage::Queue) == Stage::Left;
        request.misdirected |= outcome == Outcome::Misdirected;
        if !outcome.never_ran() && request.may_have_run.is_none() {
            let home = self.backends.get(&end.backend).map(|b| (request.sent_at, b.zone.clone(), b.cell));
            request.may_have_run = home.or(Some((request.sent_at, Name::default(), u64::MAX)));
        }
        if left || end.finished || outcome == Outcome::Served {
            return self.forget(id);
        }
        if self.may_try_again(id) { self.place(id, out) } else { self.give_up(id, out) }
    }

    pub(super) fn may_try_again(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (class, last) = (&self.settings.classes[request.class], LAST_TICKS * self.settings.tick);
        let allowed = match (&request.may_have_run, class.retry_safety) {
            (None, _) => true,
            (_, RetrySafety::Safe) => request.attempts < REPEAT_MOST,
            (Some((sent, ..)), RetrySafety::Keyed) => self.now - sent < class.dedup_window - last,
            (Some(_), RetrySafety::Unsafe) => false,
        };
        let most = request.bound.as_ref().map_or(0, |b| b.max_attempts);
        let most = if most > 0 { most } else { self.settings.max_attempts };
        let in_budget = request.attempts == 0 || self.mesh.may_repeat(request.misdirected);
        allowed && in_budget && request.deadline - self.now > last && request.attempts < most
    }
}
