//! A gateway that is told terms of its backends: which of them it may choose, and when.

mod helper;
use doorcourse::*;
use helper::*;

const PLAN: &str = "unlimited";
const SLOTS: f64 = 2.0;

fn mesh_settings() -> Settings {
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

/// Cold for longer than any test lasts; `cold_per_s` is what this gateway may send it.
fn cold(cold_per_s: f64) -> BackendParameters {
    BackendParameters { cold_until: 1e9, cold_rate_per_s: cold_per_s, ..warm() }
}

fn mesh_terms() -> FleetParameters {
    FleetParameters { gateways: 1.0, retry_ratio: 0.2, retry_slack: 60.0, typical_latency: 100.0 }
}

fn tell_list(door: &mut Door, names: &[&str]) -> Vec<Action> {
    let list = names.iter().map(|name| backend(name, BackendState::Ready, None)).collect();
    door.tell(Event::BackendList(list))
}

fn tell_terms(door: &mut Door, terms: &[(&str, BackendParameters)]) -> Vec<Action> {
    let entry = |name| backend(name, BackendState::Ready, None);
    let backends = terms.iter().map(|(name, terms)| (entry(name), *terms)).collect();
    door.tell(Event::Topology(mesh_terms(), backends))
}

fn sent_to(actions: &[Action], name: &str) -> usize {
    let to = |action: &&Action| matches!(action, Action::Send { backend, .. } if &**backend == name);
    actions.iter().filter(to).count()
}

/// Where the first request of these was sent.
fn send_of(actions: &[Action]) -> Option<Name> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(backend.clone()),
        _ => None,
    })
}

/// A gateway whose only backend `a1` is full, with requests held.
fn overloaded() -> Door {
    let mut door = Door::new(mesh_settings(), &["a1"]);
    tell_terms(&mut door, &[("a1", warm())]);
    for id in 1..=6 {
        door.ask(id, "c", PLAN, "safe");
    }
    assert!(door.gateway.queued() > 0, "requests are held");
    door
}

#[test]
fn a_backend_gets_nothing_before_its_terms_are_told() {
    let mut door = overloaded();
    let did = tell_list(&mut door, &["a1", "a2"]);
    assert_eq!(sent_to(&did, "a2"), 0, "nothing is known of it but that it is there");
    let did = tell_terms(&mut door, &[("a1", warm()), ("a2", cold(0.0))]);
    assert_eq!(sent_to(&did, "a2"), 0, "it is cold, and another gateway's to send to");
    let did = tell_terms(&mut door, &[("a1", warm()), ("a2", warm())]);
    assert!(sent_to(&did, "a2") > 0, "what is held goes there once the terms allow it");
    assert_eq!(door.gateway.send_counts().without_parameters, 0);
}

/// Ends all that was sent to a backend as served; how many that were.
fn serve(door: &mut Door, actions: &[Action], name: &str) -> usize {
    let to = |action: &Action| match action {
        Action::Send { id, backend, .. } if &**backend == name => Some(*id),
        _ => None,
    };
    let ids: Vec<RequestId> = actions.iter().filter_map(to).collect();
    for id in &ids {
        let next = door.end(*id, 0, &name.into(), Outcome::Served);
        assert_eq!(sent_to(&next, name), 0, "one at a time, however many are held");
    }
    ids.len()
}

#[test]
fn a_cold_backend_gets_its_rate_from_its_owner_however_much_is_held() {
    let mut door = Door::new(mesh_settings(), &["a1", "a2"]);
    let both = [("a1", warm()), ("a2", cold(5.0))];
    tell_terms(&mut door, &both);
    let (begun, mut id, mut sent) = (door.now, 0, 0);
    while door.now < begun + 1000.0 {
        id += 1;
        let asked = door.ask(id, "c", PLAN, "safe");
        sent += serve(&mut door, &asked, "a2");
        let passed = door.pass(10.0, &[]);
        sent += serve(&mut door, &passed, "a2");
        // Whenever news comes, nothing begins anew.
        let told = tell_terms(&mut door, &both);
        sent += serve(&mut door, &told, "a2");
    }
    assert!((4..=6).contains(&sent), "{sent} in a second at 5 a second");
    assert!(door.gateway.queued() > 0, "requests were held all the time");
}

#[test]
fn one_answer_for_another_ends_a_backend_whatever_the_list_says() {
    let mut door = Door::new(mesh_settings(), &[]);
    // The far one is chosen only where the near one is not.
    let both = [
        ("a1", warm()),
        ("a2", BackendParameters { is_owned: false, round_trip: 120.0, distance_cost: 500.0, ..warm() }),
    ];
    tell_terms(&mut door, &both);
    assert_eq!(sent_to(&door.ask(1, "c", PLAN, "unsafe"), "a1"), 1);
    let next = door.end(1, 0, &"a1".into(), Outcome::Misdirected);
    assert_eq!(sent_to(&next, "a2"), 1, "it never ran: another is tried at once");
    door.end(1, 1, &"a2".into(), Outcome::Served);
    for id in 2..=20 {
        tell_terms(&mut door, &both);
        assert_eq!(sent_to(&door.ask(id, "c", PLAN, "unsafe"), "a2"), 1);
        door.end(id, 0, &"a2".into(), Outcome::Served);
    }
}

#[test]
fn misdirected_requests_go_on_when_other_repeats_are_used_up_but_not_without_bound() {
    // Two dozen backends that are all gone, and a small budget: 0.6 of 10, and 0.3 of it beyond.
    let names: Vec<String> = (0..24).map(|n| format!("a{n}")).collect();
    let terms: Vec<(&str, BackendParameters)> = names.iter().map(|name| (name.as_str(), warm())).collect();
    let repeats_after = |outcome| {
        let mut door = Door::new(mesh_settings(), &[]);
        let mesh = FleetParameters { retry_ratio: 1e-6, retry_slack: 10.0, ..mesh_terms() };
        let entry = |name| backend(name, BackendState::Ready, None);
        let backends = terms.iter().map(|(name, terms)| (entry(name), *terms)).collect();
        door.tell(Event::Topology(mesh, backends));
        let mut repeats = 0;
        for id in 1..=20 {
            let did = door.ask(id, "c", PLAN, "unsafe");
            let first = send_of(&did).expect("a first try costs no budget");
            let next = door.end(id, 0, &first, outcome);
            let Some(second) = send_of(&next) else { continue };
            repeats += 1;
            door.end(id, 1, &second, Outcome::Served);
        }
        repeats
    };
    assert_eq!(repeats_after(Outcome::Rejected), 6);
    assert_eq!(repeats_after(Outcome::Misdirected), 9);
}

#[test]
fn an_answer_for_another_counts_also_when_its_client_has_left() {
    let mut door = Door::new(mesh_settings(), &[]);
    let both = [
        ("a1", warm()),
        ("a2", BackendParameters { is_owned: false, round_trip: 120.0, distance_cost: 500.0, ..warm() }),
    ];
    tell_terms(&mut door, &both);
    assert_eq!(sent_to(&door.ask(1, "c", PLAN, "unsafe"), "a1"), 1);
    door.tell(Event::ClientDisconnected { id: 1 });
    door.end(1, 0, &"a1".into(), Outcome::Misdirected);
    assert_eq!(sent_to(&door.ask(2, "c", PLAN, "unsafe"), "a2"), 1, "the first one is known to be gone");
}
