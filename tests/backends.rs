//! Drains, cold backends, ejection and room.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn a_drained_or_gone_backend_gets_nothing_new() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut door = Door::new(settings(), &["a1", "a2"]);
        door.tell(Event::BackendChanges(vec![backend("a1", state, None)]));
        for id in 1..=4 {
            assert_eq!(&*door.served(id, "c", "plain", "safe"), "a2");
            door.end(id, 0, &"a2".into(), Outcome::Served);
        }
    }
    let mut door = Door::new(settings(), &["a1", "a2"]);
    door.tell(Event::BackendList(vec![backend("a2", BackendState::Ready, None)]));
    assert_eq!(&*door.served(1, "c", "plain", "safe"), "a2", "missing from a full list is gone");
}

#[test]
fn a_cold_backend_gets_less_than_its_present_share_of_what_a_warm_one_gets() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let born = Some(door.now);
    door.tell(Event::BackendChanges(vec![backend("a3", BackendState::Ready, born)]));
    let mut to_cold = 0;
    for id in 1..=100 {
        let at = door.served(id, &format!("c{id}"), "plain", "safe");
        to_cold += usize::from(&*at == "a3");
        door.now += 5.0;
        door.end(id, 0, &at, Outcome::Served);
    }
    // Two warm ones share the rest: a tenth of it is a fifth of what one of them gets.
    assert!((1..=10).contains(&to_cold), "{to_cold}");
}

#[test]
fn failures_in_a_row_eject_a_backend_and_an_answer_takes_it_back() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let (mut id, mut logs) = (0, Vec::new());
    let mut silent = 0;
    while silent < 2 {
        id += 1;
        let at = door.served(id, &format!("c{id}"), "plain", "unsafe");
        let outcome = if &*at == "a1" { Outcome::TimedOut } else { Outcome::Served };
        silent += usize::from(&*at == "a1");
        logs = door.end(id, 0, &at, outcome);
        if outcome == Outcome::TimedOut && silent == 1 {
            let next = door.served(1000, "other", "plain", "unsafe");
            assert_eq!(&*next, "a2", "after one failure it is left alone for as long as that took");
            door.end(1000, 0, &next, Outcome::Served);
        }
        door.now += 150.0;
        assert!(id < 50);
    }
    assert!(logs.iter().any(|a| matches!(a, Action::Log(line) if line.contains("a1 ejected"))));
    for id in 101..=105 {
        assert_eq!(&*door.served(id, &format!("c{id}"), "plain", "safe"), "a2");
        door.end(id, 0, &"a2".into(), Outcome::Served);
    }
    door.now += 1000.0;
    let tried = (201..=210).any(|id| {
        let at = door.served(id, &format!("c{id}"), "plain", "safe");
        door.end(id, 0, &at, Outcome::Served);
        &*at == "a1"
    });
    assert!(tried, "it is tried again after a while");
}

#[test]
fn connections_that_break_leave_a_backend_in_use_until_three_in_a_row() {
    let mut door = Door::new(settings(), &["a1"]);
    let a1: Name = "a1".into();
    for (round, outcomes) in [
        (0, [Outcome::ConnectionLost, Outcome::ConnectionLost, Outcome::Served]),
        (1, [Outcome::ConnectionLost; 3]),
    ] {
        for (n, outcome) in outcomes.into_iter().enumerate() {
            let id = round * 10 + n as u64 + 1;
            door.served(id, &format!("c{id}"), "plain", "unsafe");
            door.end_after(1.0, id, 0, &a1, outcome);
        }
    }
    let did = door.ask(50, "c50", "plain", "unsafe");
    let (name, amount) = count(&did).expect("a call");
    assert_eq!(sends(&door.total(name, amount)), 0, "the third in a row speaks of the backend");
}

#[test]
fn what_is_out_is_bounded_and_the_line_is_refused_early() {
    let mut door = Door::new(settings(), &["a1"]);
    let (mut out, mut turned_away) = (0, 0);
    for id in 1..=40 {
        let mut did = door.ask(id, &format!("c{id}"), "plain", "safe");
        let (name, amount) = count(&did).expect("call");
        did.extend(door.total(name, amount));
        out += sends(&did);
        turned_away += usize::from(refused(&did, id));
    }
    assert!((1..=3).contains(&out), "five for two gateways: {out}");
    assert!(turned_away > 30, "{turned_away}");
}

#[test]
fn an_open_cap_is_shared_by_the_customer_s_gateways() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let at = door.served(1, "c", "capped", "safe");
    assert_eq!(sends(&door.ask(2, "c", "capped", "safe")), 0, "two at once for two gateways: one each");
    assert_eq!(sent(&door.end(1, 0, &at, Outcome::Served)).map(|(id, _)| id), Some(2));
}

#[test]
fn gone_backends_are_forgotten_once_nothing_is_out_there() {
    let mut door = Door::new(settings(), &["a0"]);
    let at = door.served(1, "c", "plain", "safe");
    for number in 1..=500 {
        let (old, new) = (format!("a{}", number - 1), format!("a{number}"));
        let changes = vec![backend(&old, BackendState::Gone, None), backend(&new, BackendState::Ready, None)];
        // By changes and by whole lists alike.
        let whole = vec![backend(&new, BackendState::Ready, None)];
        door.tell(if number % 2 == 0 { Event::BackendChanges(changes) } else { Event::BackendList(whole) });
        door.now += 25.0;
        door.tell(Event::Timer { token: 1 });
    }
    assert_eq!(
        door.gateway.backend_count(),
        2,
        "the last one, and the first, from which an end is still to come"
    );
    door.end(1, 0, &at, Outcome::Served);
    door.tell(Event::Timer { token: 1 });
    assert_eq!(door.gateway.backend_count(), 1);
}

#[test]
fn a_keyed_repeat_stays_in_its_cell_when_its_first_backend_is_forgotten() {
    let mut door = Door::new(settings(), &["a1"]);
    let at = door.served(1, "c", "plain", "keyed");
    door.tell(Event::BackendList(vec![backend("b1", BackendState::Ready, None)]));
    assert_eq!(sends(&door.end(1, 0, &at, Outcome::ConnectionLost)), 0);
    door.now += 25.0;
    assert_eq!(sends(&door.tell(Event::Timer { token: 1 })), 0, "another cell does not know the key");
    assert_eq!(door.gateway.backend_count(), 1);
    let did = door.tell(Event::BackendChanges(vec![backend("a2", BackendState::Ready, None)]));
    assert_eq!(sent(&did), Some((1, "a2".into())));
}
