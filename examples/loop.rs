//! The event loop of a host with one gateway: events in, actions out, timers, a counter, a backend, a restart.
//! Time is simulated here; a real host uses a clock that agrees with those of the other gateways.

use doorcourse::{
    Action, Arrival, AttemptEnd, BackendEntry, BackendState, Class, CountOutcome, DedupScope, Event, Gateway,
    Millis, Outcome, Plan, RetrySafety, Settings,
};
use std::collections::BTreeMap;

/// Scheduled events, by time (whole ms) and order.
type Schedule = BTreeMap<(u64, u64), Event>;

fn settings() -> Settings {
    let class = Class {
        name: "read".into(),
        target_latency: 500.0,
        retry_safety: RetrySafety::Safe,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        value: 1.0,
        late_value_share: 0.0,
    };
    let plan = Plan {
        name: "basic".into(),
        rate: 5.0,
        burst: 4.0,
        max_concurrent: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        value_factor: 1.0,
        over_quota_value_share: 0.0,
        over_quota_cost_share: 1.0,
    };
    Settings {
        gateways: 1,
        zone: "a".into(),
        tick: 1.0,
        classes: vec![class],
        plans: vec![plan],
        counter: true,
        counter_timeout: 50.0,
        max_attempts: 3,
        max_retry_after: 1000.0,
        cold_capacity_share: 0.2,
        warm_up_time: 10_000.0,
        ..Settings::default()
    }
}

fn main() -> Result<(), doorcourse::SettingsError> {
    let mut gateway = Gateway::new(settings(), 42)?;
    let (mut schedule, mut order) = (Schedule::new(), 0);
    let mut push = |schedule: &mut Schedule, at: Millis, event: Event| {
        order += 1;
        schedule.insert((at.ceil() as u64, order), event);
    };
    let backend = BackendEntry {
        name: "b1".into(),
        zone: "a".into(),
        cell: 0,
        state: BackendState::Ready,
        started: None,
    };
    push(&mut schedule, 0.0, Event::BackendList(vec![backend.clone()]));
    for id in 1..=8 {
        let (customer, plan, class) = ("customer".into(), "basic".into(), "read".into());
        let arrival = Arrival {
            id,
            customer,
            plan,
            class,
            units: 1.0,
            is_retry: false,
            client_timeout: 900.0,
            first_gateway: 0,
            gateway_count: 1,
            constraints: None,
        };
        push(&mut schedule, id as Millis * 10.0, Event::Request(arrival));
    }
    let (mut counts, mut attempts) = (BTreeMap::<u64, f64>::new(), BTreeMap::<u64, u32>::new());
    let mut restarted = false;
    while let Some(((at, _), event)) = schedule.pop_first() {
        let now = at as Millis;
        if now > 500.0 {
            break;
        }
        if now > 60.0 && !restarted {
            // A restart: a new gateway with a fresh seed and the latest list; clients retry its open requests.
            restarted = true;
            gateway = Gateway::new(settings(), 43)?;
            schedule.retain(|_, event| matches!(event, Event::Request(_)));
            push(&mut schedule, now, Event::BackendList(vec![backend.clone()]));
        }
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => push(&mut schedule, now + after, Event::Timer { token }),
                Action::AddToCounter { key, amount, .. } => {
                    let total = counts.entry(key).or_default();
                    *total += amount;
                    let outcome = CountOutcome::Total(*total);
                    push(&mut schedule, now + 2.0, Event::CounterReply { key, outcome, latency: 2.0 });
                }
                Action::Send { id, backend, .. } => {
                    println!("{now:>5} ms  {id} sent to {backend}");
                    let attempt = *attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let (outcome, latency, finished) = (Outcome::Served, 40.0, true);
                    let end = AttemptEnd {
                        id,
                        attempt,
                        backend,
                        outcome,
                        latency,
                        actual_units: None,
                        finished,
                        load: None,
                    };
                    push(&mut schedule, now + latency, Event::AttemptEnded(end));
                }
                Action::Refuse { id, retry_after } => {
                    println!("{now:>5} ms  {id} refused, retry after {retry_after:.0} ms");
                }
                Action::Fail { id } => println!("{now:>5} ms  {id} failed"),
                Action::Log(line) => println!("{now:>5} ms  log: {line}"),
                Action::CancelAttempt { .. }
                | Action::Probe { .. }
                | Action::Broadcast { .. }
                | Action::WatchBackends => {}
            }
        }
    }
    Ok(())
}
