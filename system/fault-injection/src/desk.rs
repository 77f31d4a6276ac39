//! What one proxy does about requests while orders stand.

use crate::order::{Caller, FailureKind, Limits, Order, State};
use crate::{MAX_ORDERS, Millis};
use fennelscale_maintenance::clock::TimeInterval;
use std::collections::BTreeMap;

/// Requests that are held at once by all orders together; more go their way untouched: they would take room from others.
const MOST_HELD: usize = 64;
/// What a second's part may add up to at once.
const AT_ONCE: f64 = 1.0;

/// What one proxy counted of one order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Requests that it names, in its time.
    pub matched: u64,
    /// Those that were failed.
    pub failed: u64,
    /// Those that went untouched since a limit was reached.
    pub limited: u64,
}

/// How requests that no order named have ended, before the order's time or in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// With success.
    pub served: u64,
    /// With 429 or 503.
    pub refused: u64,
    /// Otherwise.
    pub failed: u64,
}

impl OutcomeCounts {
    fn note(&mut self, status: u16) {
        match status {
            200..=299 => self.served += 1,
            429 | 503 => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}

/// A request that is failed.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// By which order.
    pub order: String,
    /// How.
    pub kind: FailureKind,
}

/// What was decided of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No order names it.
    Unmatched,
    /// One names it and leaves it alone: it is dry, or a limit is reached.
    Unaffected,
    /// It is failed.
    Fail(InjectedFault),
}

impl Verdict {
    /// How it is failed, if it is.
    pub fn into_fault(self) -> Option<InjectedFault> {
        match self {
            Self::Fail(failure) => Some(failure),
            Self::Unmatched | Self::Unaffected => None,
        }
    }
}

#[derive(Clone, Debug)]
struct Standing {
    order: Order,
    counts: OrderCounts,
    others: [OutcomeCounts; 2],
    tokens: f64,
    at: Millis,
}

/// All orders that a proxy knows of.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector {
    limits: Option<Limits>,
    /// This proxy's life, as orders name it.
    me: String,
    orders: BTreeMap<String, Standing>,
    held: usize,
}

impl FaultInjector {
    /// None yet. Without limits none is ever heeded.
    pub fn new(limits: Option<Limits>, me: String) -> Self {
        Self { limits, me, ..Self::default() }
    }

    /// The orders as they stand now.
    pub fn set_orders<'a>(&mut self, orders: impl Iterator<Item = &'a Order>) {
        let mut before = std::mem::take(&mut self.orders);
        for order in orders.take(MAX_ORDERS) {
            let known = before.remove(&order.name);
            // What was spent under an earlier version stays spent.
            let standing = known.map(|known| Standing { order: order.clone(), ..known });
            let standing = standing.unwrap_or_else(|| Standing {
                order: order.clone(),
                counts: OrderCounts::default(),
                others: [OutcomeCounts::default(); 2],
                tokens: AT_ONCE,
                at: f64::MIN,
            });
            self.orders.insert(order.name.clone(), standing);
        }
    }

    /// Whether there is anything to look at.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// What becomes of a request. Of several orders the first by name that names it counts.
    pub fn decide(&mut self, now: Millis, time: Option<TimeInterval>, caller: &Caller<'_>) -> Verdict {
        let (Some(limits), Some(time)) = (self.limits.as_ref(), time) else { return Verdict::Unmatched };
        let runs = |s: &&mut Standing| {
            s.order.state != State::Stopped && s.order.from <= time.earliest && time.latest < s.order.until
        };
        let mut standing = self.orders.values_mut().filter(runs);
        let standing = standing.find(|s| s.order.selector.matches(&s.order.name, caller));
        let Some(Standing { order, counts, tokens, at, .. }) = standing else {
            return Verdict::Unmatched;
        };
        counts.matched += 1;
        if order.state == State::Dry {
            return Verdict::Unaffected;
        }
        let sharers = order.sharing_proxies.len().max(1);
        let part = if order.sharing_proxies.contains(&self.me) {
            order.max_requests.min(limits.max_requests) / sharers as u64
        } else {
            0
        };
        let per_ms = order.max_per_s.min(limits.max_per_s) / sharers as f64 / 1000.0;
        *tokens = (*tokens + (now - *at).max(0.0) * per_ms).min(AT_ONCE);
        *at = now;
        let room = !order.kind.holds() || self.held < MOST_HELD;
        let allowed = limits.check(order).is_ok();
        if !allowed || counts.failed >= part || *tokens < 1.0 || !room {
            counts.limited += 1;
            return Verdict::Unaffected;
        }
        *tokens -= 1.0;
        counts.failed += 1;
        self.held += usize::from(order.kind.holds());
        Verdict::Fail(InjectedFault { order: order.name.clone(), kind: order.kind })
    }

    /// A request that was held goes on, or is gone.
    pub fn release(&mut self, what: FailureKind) {
        self.held -= usize::from(what.holds() && self.held > 0);
    }

    /// A request that no order names has ended.
    pub fn record_outcome(&mut self, time: Option<TimeInterval>, status: u16) {
        let Some(time) = time else { return };
        for standing in self.orders.values_mut().filter(|s| s.order.state != State::Stopped) {
            if time.latest < standing.order.from {
                standing.others[0].note(status);
            } else if standing.order.from <= time.earliest && time.latest < standing.order.until {
                standing.others[1].note(status);
            }
        }
    }

    /// What was counted: of each order, of whom it names and of all others, before its time and in it.
    pub fn counts(&self) -> Vec<(String, OrderCounts, [OutcomeCounts; 2])> {
        self.orders.iter().map(|(name, s)| (name.clone(), s.counts, s.others)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::order::{RequestSelector, proxy_id};
    use proptest::prelude::*;
    use std::collections::BTreeSet;
    use std::time::Duration;

    const AT: TimeInterval = TimeInterval { earliest: 10_000.0, latest: 10_500.0 };

    fn limits() -> Limits {
        let kinds = FailureKind::NAMES.map(str::to_owned).into();
        Limits { max_requests: 1000, max_per_s: 1e9, max_duration: Duration::from_secs(60), kinds }
    }

    fn order(name: &str, tenant: &str, what: FailureKind) -> Order {
        let whom =
            RequestSelector { tenants: [tenant.to_owned()].into(), share: 1.0, ..RequestSelector::default() };
        let (from, until) = (10_000.0, 20_000.0);
        Order {
            name: name.into(),
            selector: whom,
            kind: what,
            from,
            until,
            max_requests: 100,
            max_per_s: 1e9,
            state: State::Running,
            sharing_proxies: among(1),
        }
    }

    /// So many lives, of which `0/0` is the first.
    fn among(lives: u64) -> BTreeSet<String> {
        (0..lives).map(|life| proxy_id(0, life)).collect()
    }

    fn desk(orders: &[Order]) -> FaultInjector {
        desk_of(0, orders)
    }

    fn desk_of(life: u64, orders: &[Order]) -> FaultInjector {
        let mut desk = FaultInjector::new(Some(limits()), proxy_id(0, life));
        desk.set_orders(orders.iter());
        desk
    }

    fn caller<'a>(id: &'a str, tenant: &'a str) -> Caller<'a> {
        Caller { id, tenant, key: "k", route: "r", host: "h", route_kind: "upload", region: "a" }
    }

    #[test]
    fn only_who_is_named_is_met_and_only_in_the_orders_time() {
        let mut desk = desk(&[order("o", "choir", FailureKind::Refuse)]);
        assert_eq!(desk.decide(0.0, Some(AT), &caller("1", "seller")).into_fault(), None);
        assert!(desk.decide(1.0, Some(AT), &caller("2", "choir")).into_fault().is_some());
        let early = TimeInterval { earliest: 9_999.0, latest: 10_400.0 };
        let late = TimeInterval { earliest: 19_600.0, latest: 20_000.0 };
        for time in [None, Some(early), Some(late)] {
            assert_eq!(desk.decide(2.0, time, &caller("3", "choir")).into_fault(), None, "{time:?}");
        }
        assert_eq!(desk.counts()[0].1, OrderCounts { matched: 1, failed: 1, limited: 0 });
    }

    #[test]
    fn without_limits_or_beyond_them_nothing_is_done() {
        let orders = [order("o", "choir", FailureKind::Refuse)];
        let mut off = FaultInjector::new(None, proxy_id(0, 0));
        off.set_orders(orders.iter());
        assert_eq!(off.decide(0.0, Some(AT), &caller("1", "choir")).into_fault(), None);
        let mut strict = FaultInjector::new(
            Some(Limits { kinds: ["delay".to_owned()].into(), ..limits() }),
            proxy_id(0, 0),
        );
        strict.set_orders(orders.iter());
        assert_eq!(strict.decide(0.0, Some(AT), &caller("1", "choir")).into_fault(), None);
        let mut short = FaultInjector::new(
            Some(Limits { max_duration: Duration::from_secs(9), ..limits() }),
            proxy_id(0, 0),
        );
        short.set_orders(orders.iter());
        assert_eq!(short.decide(0.0, Some(AT), &caller("1", "choir")).into_fault(), None);
    }

    #[test]
    fn a_dry_order_counts_and_a_stopped_one_does_not() {
        let dry = Order { state: State::Dry, ..order("o", "choir", FailureKind::Refuse) };
        let mut desk = desk(std::slice::from_ref(&dry));
        assert_eq!(desk.decide(0.0, Some(AT), &caller("1", "choir")).into_fault(), None);
        assert_eq!(desk.counts()[0].1.matched, 1);
        desk.set_orders([Order { state: State::Stopped, ..dry }].iter());
        assert_eq!(desk.decide(0.0, Some(AT), &caller("2", "choir")).into_fault(), None);
        assert_eq!(desk.counts()[0].1.matched, 1);
    }

    #[test]
    fn what_was_spent_stays_spent_and_only_the_lives_that_an_order_names_have_a_part() {
        let one =
            Order { max_requests: 5, sharing_proxies: among(2), ..order("o", "choir", FailureKind::Refuse) };
        let mut desk = desk(std::slice::from_ref(&one));
        let spread = |desk: &mut FaultInjector| {
            let calls = (0..50).map(|n| (f64::from(n) * 1000.0, n.to_string()));
            let met = calls.map(|(at, id)| desk.decide(at, Some(AT), &caller(&id, "choir")).into_fault());
            met.flatten().count()
        };
        assert_eq!(spread(&mut desk), 2, "its part of five");
        desk.set_orders([Order { max_requests: 5, ..one.clone() }].iter());
        assert_eq!(spread(&mut desk), 0, "a new version gives no new part");
        desk.set_orders([Order { max_requests: 8, ..one.clone() }].iter());
        assert_eq!(spread(&mut desk), 2, "what a new version has more");
        // The same machine, started again: what its life before has spent is gone.
        assert_eq!(spread(&mut desk_of(7, std::slice::from_ref(&one))), 0);
        assert_eq!(
            spread(&mut desk_of(0, &[Order { sharing_proxies: among(0), ..one }])),
            0,
            "nobody shares it"
        );
    }

    #[test]
    fn no_more_is_held_at_once_than_there_is_room_for() {
        let mut desk = desk(&[order("o", "choir", FailureKind::Delay(100.0))]);
        let mut met = 0;
        for n in 0..100 {
            let id = n.to_string();
            met += usize::from(
                desk.decide(f64::from(n) * 1000.0, Some(AT), &caller(&id, "choir")).into_fault().is_some(),
            );
        }
        assert_eq!(met, MOST_HELD);
        desk.release(FailureKind::Delay(100.0));
        assert!(desk.decide(1e6, Some(AT), &caller("more", "choir")).into_fault().is_some());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(500))]
        /// All proxies together stay within an order's limits whatever comes, and nobody else is met.
        #[test]
        fn proxies_together_fail_no_more_than_the_order_allows(
            proxies in 1_usize..12,
            most in 1_u64..200,
            per_s in 1.0..200.0_f64,
            calls in prop::collection::vec((0_usize..12, 0.0..200.0_f64, any::<bool>()), 1..400),
        ) {
            let among = among(proxies as u64);
            let order = Order { max_requests: most, max_per_s: per_s, sharing_proxies: among, ..order("o", "choir", FailureKind::LoseAnswer) };
            // Of twelve that serve so many share the order; all others leave everybody alone.
            let mut desks: Vec<FaultInjector> = (0..12).map(|life| desk_of(life, std::slice::from_ref(&order))).collect();
            let (mut now, mut times) = (0.0, Vec::new());
            for (n, (at, gap, named)) in calls.iter().enumerate() {
                now += gap;
                let id = n.to_string();
                let caller = caller(&id, if *named { "choir" } else { "seller" });
                let met = desks[*at].decide(now, Some(AT), &caller).into_fault();
                prop_assert!(*named && *at < proxies || met.is_none());
                if met.is_some() {
                    times.push(now);
                }
            }
            prop_assert!(times.len() as u64 <= most);
            for (n, from) in times.iter().enumerate() {
                let within = times[n..].iter().filter(|at| **at < from + 1000.0).count();
                prop_assert!(within as f64 <= per_s + proxies as f64);
            }
        }

        #[test]
        fn the_drawn_share_is_the_same_everywhere_and_about_as_large_as_said(share in 0.05..0.95_f64) {
            let whom = RequestSelector { share, tenants: BTreeSet::from(["choir".to_owned()]), ..RequestSelector::default() };
            let ids: Vec<String> = (0..2000).map(|n| format!("id-{n}")).collect();
            let drawn = |order: &str| ids.iter().filter(|id| whom.matches(order, &caller(id, "choir"))).count();
            prop_assert!((drawn("o") as f64 / 2000.0 - share).abs() < 0.06);
            prop_assert_eq!(drawn("o"), drawn("o"));
        }
    }
}
