//! Decides on one proxy which requests the active failure orders affect.

use crate::order::{Caller, FailureKind, Limits, Order, State};
use crate::{MAX_ORDERS, Millis};
use fennelscale_maintenance::clock::TimeInterval;
use std::collections::BTreeMap;

/// Limit on requests held at once by all orders together, so that they leave slots to other requests. Above
/// it requests pass unaffected.
const MAX_HELD_REQUESTS: usize = 64;
/// Capacity of an order's rate limiter in tokens.
const MAX_TOKENS: f64 = 1.0;

/// What one proxy counted for one order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Requests that it selects, within its time.
    pub matched: u64,
    /// Requests that it failed.
    pub failed: u64,
    /// Requests left unaffected because a limit was reached.
    pub limited: u64,
}

/// Outcomes of requests that no order selects, before the order's time or within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Successful responses.
    pub served: u64,
    /// Responses with status 429 or 503.
    pub refused: u64,
    /// All other responses.
    pub failed: u64,
}

impl OutcomeCounts {
    fn record(&mut self, status: u16) {
        match status {
            200..=299 => self.served += 1,
            429 | 503 => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}

/// A failure to inject into one request.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// Name of the order.
    pub order: String,
    /// Kind of failure.
    pub kind: FailureKind,
}

/// The decision on one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No order selects the request.
    Unmatched,
    /// An order selects the request and leaves it unaffected: it is a dry run, or a limit is reached.
    Unaffected,
    /// The request fails.
    Fail(InjectedFault),
}

impl Verdict {
    /// The failure to inject, if there is one.
    pub fn into_fault(self) -> Option<InjectedFault> {
        match self {
            Self::Fail(failure) => Some(failure),
            Self::Unmatched | Self::Unaffected => None,
        }
    }
}

#[derive(Clone, Debug)]
struct ActiveOrder {
    order: Order,
    counts: OrderCounts,
    other_outcomes: [OutcomeCounts; 2],
    tokens: f64,
    refilled_at: Millis,
}

/// All failure orders that a proxy knows.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector {
    limits: Option<Limits>,
    /// This proxy's incarnation as orders name it ([`crate::proxy_id`]).
    proxy_id: String,
    orders: BTreeMap<String, ActiveOrder>,
    held: usize,
}

impl FaultInjector {
    /// Starts without orders. Without limits no order ever applies.
    pub fn new(limits: Option<Limits>, proxy_id: String) -> Self {
        Self { limits, proxy_id, ..Self::default() }
    }

    /// Replaces the orders.
    pub fn set_orders<'a>(&mut self, orders: impl Iterator<Item = &'a Order>) {
        let mut previous_orders = std::mem::take(&mut self.orders);
        for order in orders.take(MAX_ORDERS) {
            let previous = previous_orders.remove(&order.name);
            // Requests that an earlier version of the order failed still count against its limits.
            let active = previous.map(|previous| ActiveOrder { order: order.clone(), ..previous });
            let active = active.unwrap_or_else(|| ActiveOrder {
                order: order.clone(),
                counts: OrderCounts::default(),
                other_outcomes: [OutcomeCounts::default(); 2],
                tokens: MAX_TOKENS,
                refilled_at: f64::MIN,
            });
            self.orders.insert(order.name.clone(), active);
        }
    }

    /// Whether there are no orders.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Decides on one request. If several orders select it, the first by name applies.
    pub fn decide(&mut self, now: Millis, time: Option<TimeInterval>, caller: &Caller<'_>) -> Verdict {
        let (Some(limits), Some(time)) = (self.limits.as_ref(), time) else { return Verdict::Unmatched };
        let is_running = |s: &&mut ActiveOrder| {
            s.order.state != State::Stopped && s.order.from <= time.earliest && time.latest < s.order.until
        };
        let mut active = self.orders.values_mut().filter(is_running);
        let active = active.find(|s| s.order.selector.matches(&s.order.name, caller));
        let Some(ActiveOrder { order, counts, tokens, refilled_at, .. }) = active else {
            return Verdict::Unmatched;
        };
        counts.matched += 1;
        if order.state == State::Dry {
            return Verdict::Unaffected;
        }
        let sharer_count = order.sharing_proxies.len().max(1);
        let share = if order.sharing_proxies.contains(&self.proxy_id) {
            order.max_requests.min(limits.max_requests) / sharer_count as u64
        } else {
            0
        };
        let per_ms = order.max_per_s.min(limits.max_per_s) / sharer_count as f64 / 1000.0;
        *tokens = (*tokens + (now - *refilled_at).max(0.0) * per_ms).min(MAX_TOKENS);
        *refilled_at = now;
        let has_room = !order.kind.holds() || self.held < MAX_HELD_REQUESTS;
        let allowed = limits.check(order).is_ok();
        if !allowed || counts.failed >= share || *tokens < 1.0 || !has_room {
            counts.limited += 1;
            return Verdict::Unaffected;
        }
        *tokens -= 1.0;
        counts.failed += 1;
        self.held += usize::from(order.kind.holds());
        Verdict::Fail(InjectedFault { order: order.name.clone(), kind: order.kind })
    }

    /// Releases the slot of a held request that continues or has ended.
    pub fn release(&mut self, kind: FailureKind) {
        self.held -= usize::from(kind.holds() && self.held > 0);
    }

    /// Records the outcome of a request that no order selects.
    pub fn record_outcome(&mut self, time: Option<TimeInterval>, status: u16) {
        let Some(time) = time else { return };
        for active in self.orders.values_mut().filter(|s| s.order.state != State::Stopped) {
            if time.latest < active.order.from {
                active.other_outcomes[0].record(status);
            } else if active.order.from <= time.earliest && time.latest < active.order.until {
                active.other_outcomes[1].record(status);
            }
        }
    }

    /// For each order: its counts, and the outcomes of requests that it does not select, before its time
    /// and within it.
    pub fn counts(&self) -> Vec<(String, OrderCounts, [OutcomeCounts; 2])> {
        self.orders.iter().map(|(name, s)| (name.clone(), s.counts, s.other_outcomes)).collect()
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

    fn order(name: &str, tenant: &str, kind: FailureKind) -> Order {
        let selector =
            RequestSelector { tenants: [tenant.to_owned()].into(), share: 1.0, ..RequestSelector::default() };
        let (from, until) = (10_000.0, 20_000.0);
        Order {
            name: name.into(),
            selector,
            kind,
            from,
            until,
            max_requests: 100,
            max_per_s: 1e9,
            state: State::Running,
            sharing_proxies: sharing_proxies(1),
        }
    }

    /// So many incarnations, of which `0/0` is the first.
    fn sharing_proxies(incarnations: u64) -> BTreeSet<String> {
        (0..incarnations).map(|incarnation| proxy_id(0, incarnation)).collect()
    }

    fn injector(orders: &[Order]) -> FaultInjector {
        injector_for(0, orders)
    }

    fn injector_for(incarnation: u64, orders: &[Order]) -> FaultInjector {
        let mut injector = FaultInjector::new(Some(limits()), proxy_id(0, incarnation));
        injector.set_orders(orders.iter());
        injector
    }

    fn caller<'a>(id: &'a str, tenant: &'a str) -> Caller<'a> {
        Caller { id, tenant, key: "k", route: "r", host: "h", route_kind: "upload", region: "a" }
    }

    #[test]
    fn only_selected_requests_fail_and_only_within_the_orders_time() {
        let mut injector = injector(&[order("o", "choir", FailureKind::Refuse)]);
        assert_eq!(injector.decide(0.0, Some(AT), &caller("1", "seller")).into_fault(), None);
        assert!(injector.decide(1.0, Some(AT), &caller("2", "choir")).into_fault().is_some());
        let early = TimeInterval { earliest: 9_999.0, latest: 10_400.0 };
        let late = TimeInterval { earliest: 19_600.0, latest: 20_000.0 };
        for time in [None, Some(early), Some(late)] {
            assert_eq!(injector.decide(2.0, time, &caller("3", "choir")).into_fault(), None, "{time:?}");
        }
        assert_eq!(injector.counts()[0].1, OrderCounts { matched: 1, failed: 1, limited: 0 });
    }

    #[test]
    fn nothing_fails_without_limits_or_beyond_them() {
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
    fn a_dry_order_counts_and_a_stopped_order_does_not() {
        let dry = Order { state: State::Dry, ..order("o", "choir", FailureKind::Refuse) };
        let mut injector = injector(std::slice::from_ref(&dry));
        assert_eq!(injector.decide(0.0, Some(AT), &caller("1", "choir")).into_fault(), None);
        assert_eq!(injector.counts()[0].1.matched, 1);
        injector.set_orders([Order { state: State::Stopped, ..dry }].iter());
        assert_eq!(injector.decide(0.0, Some(AT), &caller("2", "choir")).into_fault(), None);
        assert_eq!(injector.counts()[0].1.matched, 1);
    }

    #[test]
    fn used_allowance_stays_used_and_only_listed_incarnations_have_a_share() {
        let one = Order {
            max_requests: 5,
            sharing_proxies: sharing_proxies(2),
            ..order("o", "choir", FailureKind::Refuse)
        };
        let mut injector = injector(std::slice::from_ref(&one));
        let run_calls = |injector: &mut FaultInjector| {
            let calls = (0..50).map(|n| (f64::from(n) * 1000.0, n.to_string()));
            let faults =
                calls.map(|(at, id)| injector.decide(at, Some(AT), &caller(&id, "choir")).into_fault());
            faults.flatten().count()
        };
        assert_eq!(run_calls(&mut injector), 2, "its share of five");
        injector.set_orders([Order { max_requests: 5, ..one.clone() }].iter());
        assert_eq!(run_calls(&mut injector), 0, "a new version renews no share");
        injector.set_orders([Order { max_requests: 8, ..one.clone() }].iter());
        assert_eq!(run_calls(&mut injector), 2, "what the new version adds");
        // After a restart of the machine the share of its earlier incarnation is lost.
        assert_eq!(run_calls(&mut injector_for(7, std::slice::from_ref(&one))), 0);
        assert_eq!(
            run_calls(&mut injector_for(0, &[Order { sharing_proxies: sharing_proxies(0), ..one }])),
            0,
            "no proxy shares it"
        );
    }

    #[test]
    fn the_number_of_held_requests_is_bounded() {
        let mut injector = injector(&[order("o", "choir", FailureKind::Delay(100.0))]);
        let mut failed_requests = 0;
        for n in 0..100 {
            let id = n.to_string();
            failed_requests += usize::from(
                injector
                    .decide(f64::from(n) * 1000.0, Some(AT), &caller(&id, "choir"))
                    .into_fault()
                    .is_some(),
            );
        }
        assert_eq!(failed_requests, MAX_HELD_REQUESTS);
        injector.release(FailureKind::Delay(100.0));
        assert!(injector.decide(1e6, Some(AT), &caller("more", "choir")).into_fault().is_some());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(500))]
        /// All proxies together stay within the order's limits under any load, and no other request fails.
        #[test]
        fn proxies_together_fail_no_more_than_the_order_allows(
            proxies in 1_usize..12,
            max_requests in 1_u64..200,
            max_per_s in 1.0..200.0_f64,
            calls in prop::collection::vec((0_usize..12, 0.0..200.0_f64, any::<bool>()), 1..400),
        ) {
            let sharing_proxies = sharing_proxies(proxies as u64);
            let order = Order {
                max_requests,
                max_per_s,
                sharing_proxies,
                ..order("o", "choir", FailureKind::LoseAnswer)
            };
            // Only the first `proxies` of twelve share the order; the others fail no request.
            let injector_of = |incarnation| injector_for(incarnation, std::slice::from_ref(&order));
            let mut injectors: Vec<FaultInjector> = (0..12).map(injector_of).collect();
            let (mut now, mut times) = (0.0, Vec::new());
            for (n, (proxy, gap, selected)) in calls.iter().enumerate() {
                now += gap;
                let id = n.to_string();
                let caller = caller(&id, if *selected { "choir" } else { "seller" });
                let fault = injectors[*proxy].decide(now, Some(AT), &caller).into_fault();
                prop_assert!(*selected && *proxy < proxies || fault.is_none());
                if fault.is_some() {
                    times.push(now);
                }
            }
            prop_assert!(times.len() as u64 <= max_requests);
            for (n, from) in times.iter().enumerate() {
                let within = times[n..].iter().filter(|at| **at < from + 1000.0).count();
                prop_assert!(within as f64 <= max_per_s + proxies as f64);
            }
        }

        #[test]
        fn the_sampled_share_is_the_same_everywhere_and_about_as_large_as_configured(share in 0.05..0.95_f64) {
            let tenants = BTreeSet::from(["choir".to_owned()]);
            let selector = RequestSelector { share, tenants, ..RequestSelector::default() };
            let ids: Vec<String> = (0..2000).map(|n| format!("id-{n}")).collect();
            let sampled = |order: &str| {
                ids.iter().filter(|id| selector.matches(order, &caller(id, "choir"))).count()
            };
            prop_assert!((sampled("o") as f64 / 2000.0 - share).abs() < 0.06);
            prop_assert_eq!(sampled("o"), sampled("o"));
        }
    }
}
