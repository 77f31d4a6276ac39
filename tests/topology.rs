//! A gateway with parameters of its backends: which of them it may choose, and when.

mod helper;
use doorcourse::*;
use helper::*;

const PLAN: &str = "unlimited";
const SLOTS: f64 = 2.0;

fn topology_settings() -> Settings {
    let mut settings = Settings { gateways: 1, counter: false, ..settings() };
    settings.plans.push(Plan { name: PLAN.into(), rate: 0.0, burst: 0.0, ..settings.plans[0].clone() });
    settings
}

fn warm() -> BackendParameters {
    BackendParameters {
        slots: SLOTS,
        sharers: 1.0,
        is_owned: true,
        round_trip: 1.0,
        ..BackendParameters::default()
    }
}

/// Cold for longer than any test lasts; `cold_rate_per_s` is what this gateway may send it.
fn cold(cold_rate_per_s: f64) -> BackendParameters {
    BackendParameters { cold_until: 1e9, cold_rate_per_s, ..warm() }
}

fn fleet_parameters() -> FleetParameters {
    FleetParameters { gateways: 1.0, retry_ratio: 0.2, retry_slack: 60.0, typical_latency: 100.0 }
}

fn update_list(harness: &mut Harness, names: &[&str]) -> Vec<Action> {
    let list = names.iter().map(|name| backend(name, BackendState::Ready, None)).collect();
    harness.handle(Event::BackendList(list))
}

fn update_parameters(harness: &mut Harness, parameters: &[(&str, BackendParameters)]) -> Vec<Action> {
    let entry = |name| backend(name, BackendState::Ready, None);
    let backends = parameters.iter().map(|(name, parameters)| (entry(name), *parameters)).collect();
    harness.handle(Event::Topology(fleet_parameters(), backends))
}

fn sent_to(actions: &[Action], name: &str) -> usize {
    let to = |action: &&Action| matches!(action, Action::Send { backend, .. } if &**backend == name);
    actions.iter().filter(to).count()
}

/// The backend of the first send.
fn first_backend(actions: &[Action]) -> Option<Name> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(backend.clone()),
        _ => None,
    })
}

/// A gateway whose only backend `a1` is full, with queued requests.
fn overloaded() -> Harness {
    let mut harness = Harness::new(topology_settings(), &["a1"]);
    update_parameters(&mut harness, &[("a1", warm())]);
    for id in 1..=6 {
        harness.request(id, "c", PLAN, "safe");
    }
    assert!(harness.gateway.queued() > 0, "requests are queued");
    harness
}

#[test]
fn a_backend_gets_nothing_before_its_parameters_arrive() {
    let mut harness = overloaded();
    let actions = update_list(&mut harness, &["a1", "a2"]);
    assert_eq!(sent_to(&actions, "a2"), 0, "only its presence in the list is known");
    let actions = update_parameters(&mut harness, &[("a1", warm()), ("a2", cold(0.0))]);
    assert_eq!(sent_to(&actions, "a2"), 0, "it is cold and reserved for another gateway");
    let actions = update_parameters(&mut harness, &[("a1", warm()), ("a2", warm())]);
    assert!(sent_to(&actions, "a2") > 0, "queued requests go there once the parameters allow it");
    assert_eq!(harness.gateway.send_counts().without_parameters, 0);
}

/// Ends all requests sent to a backend as served and returns their number.
fn serve(harness: &mut Harness, actions: &[Action], name: &str) -> usize {
    let to = |action: &Action| match action {
        Action::Send { id, backend, .. } if &**backend == name => Some(*id),
        _ => None,
    };
    let ids: Vec<RequestId> = actions.iter().filter_map(to).collect();
    for id in &ids {
        let next = harness.end_attempt(*id, 0, &name.into(), Outcome::Served);
        assert_eq!(sent_to(&next, name), 0, "one at a time, however many are queued");
    }
    ids.len()
}

#[test]
fn a_cold_backend_gets_its_assigned_rate_however_many_requests_are_queued() {
    let mut harness = Harness::new(topology_settings(), &["a1", "a2"]);
    let both = [("a1", warm()), ("a2", cold(5.0))];
    update_parameters(&mut harness, &both);
    let (begun, mut id, mut sent) = (harness.now, 0, 0);
    while harness.now < begun + 1000.0 {
        id += 1;
        let asked = harness.request(id, "c", PLAN, "safe");
        sent += serve(&mut harness, &asked, "a2");
        let passed = harness.advance(10.0, &[]);
        sent += serve(&mut harness, &passed, "a2");
        // Repeated parameters do not restart the cold phase.
        let updated = update_parameters(&mut harness, &both);
        sent += serve(&mut harness, &updated, "a2");
    }
    assert!((4..=6).contains(&sent), "{sent} in a second at 5 per second");
    assert!(harness.gateway.queued() > 0, "requests were queued all the time");
}

#[test]
fn one_misdirected_request_removes_a_backend_whatever_the_list_says() {
    let mut harness = Harness::new(topology_settings(), &[]);
    // The distant backend is chosen only if the near one cannot be.
    let both = [
        ("a1", warm()),
        ("a2", BackendParameters { is_owned: false, round_trip: 120.0, distance_cost: 500.0, ..warm() }),
    ];
    update_parameters(&mut harness, &both);
    assert_eq!(sent_to(&harness.request(1, "c", PLAN, "unsafe"), "a1"), 1);
    let next = harness.end_attempt(1, 0, &"a1".into(), Outcome::Misdirected);
    assert_eq!(sent_to(&next, "a2"), 1, "it never ran: another backend is tried at once");
    harness.end_attempt(1, 1, &"a2".into(), Outcome::Served);
    for id in 2..=20 {
        update_parameters(&mut harness, &both);
        assert_eq!(sent_to(&harness.request(id, "c", PLAN, "unsafe"), "a2"), 1);
        harness.end_attempt(id, 0, &"a2".into(), Outcome::Served);
    }
}

#[test]
fn misdirected_requests_are_retried_beyond_the_budget_of_others_but_not_without_limit() {
    // Two dozen backends that are all gone, and a small budget: 0.6 of 10, and 0.3 of 10 more if misdirected.
    let names: Vec<String> = (0..24).map(|n| format!("a{n}")).collect();
    let parameters: Vec<(&str, BackendParameters)> =
        names.iter().map(|name| (name.as_str(), warm())).collect();
    let retries_after = |outcome| {
        let mut harness = Harness::new(topology_settings(), &[]);
        let fleet = FleetParameters { retry_ratio: 1e-6, retry_slack: 10.0, ..fleet_parameters() };
        let entry = |name| backend(name, BackendState::Ready, None);
        let backends = parameters.iter().map(|(name, parameters)| (entry(name), *parameters)).collect();
        harness.handle(Event::Topology(fleet, backends));
        let mut retries = 0;
        for id in 1..=20 {
            let actions = harness.request(id, "c", PLAN, "unsafe");
            let first = first_backend(&actions).expect("a first attempt uses no budget");
            let next = harness.end_attempt(id, 0, &first, outcome);
            let Some(second) = first_backend(&next) else { continue };
            retries += 1;
            harness.end_attempt(id, 1, &second, Outcome::Served);
        }
        retries
    };
    assert_eq!(retries_after(Outcome::Rejected), 6);
    assert_eq!(retries_after(Outcome::Misdirected), 9);
}

#[test]
fn a_misdirected_request_counts_even_if_its_client_has_disconnected() {
    let mut harness = Harness::new(topology_settings(), &[]);
    let both = [
        ("a1", warm()),
        ("a2", BackendParameters { is_owned: false, round_trip: 120.0, distance_cost: 500.0, ..warm() }),
    ];
    update_parameters(&mut harness, &both);
    assert_eq!(sent_to(&harness.request(1, "c", PLAN, "unsafe"), "a1"), 1);
    harness.handle(Event::ClientDisconnected { id: 1 });
    harness.end_attempt(1, 0, &"a1".into(), Outcome::Misdirected);
    assert_eq!(
        sent_to(&harness.request(2, "c", PLAN, "unsafe"), "a2"),
        1,
        "the first backend is known to be gone"
    );
}
