//! Who goes first, against a host that looks at all of them each time.

use fennelscale_admission::eviction::{EvictionOrder, IdleConnection};
use fennelscale_admission::{Client, ClientClass, Time};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

const NEWCOMER: Time = Duration::from_millis(3);

#[derive(Clone, Debug)]
enum Step {
    Idle(usize, bool),
    Busy(usize, usize),
    Load(usize, u64),
    Class(usize),
    Forget(usize),
    Look,
}

fn step() -> impl Strategy<Value = Step> {
    let client = 0..4_usize;
    prop_oneof![
        4 => (client.clone(), any::<bool>()).prop_map(|(c, answered)| Step::Idle(c, answered)),
        4 => (client.clone(), 0..8_usize).prop_map(|(c, n)| Step::Busy(c, n)),
        2 => (client.clone(), 0..5_u64).prop_map(|(c, load)| Step::Load(c, load)),
        1 => client.clone().prop_map(Step::Class),
        1 => client.prop_map(Step::Forget),
        3 => Just(Step::Look),
    ]
}

#[derive(Clone)]
struct Plain {
    class: ClientClass,
    load: u64,
    idle: Vec<IdleConnection>,
}

/// The client of a class that holds most, then the one whose oldest has been idle longest, and of it the one to go.
fn first(
    all: &BTreeMap<Client, Plain>, classes: &[ClientClass], now: Time,
) -> Option<(Client, IdleConnection)> {
    let rank = |(client, plain): (&Client, &Plain)| {
        let oldest = plain.idle.iter().map(|idle| idle.since).min()?;
        classes.contains(&plain.class).then_some((plain.load, Reverse(oldest), *client))
    };
    let client = all.iter().filter_map(rank).max()?.2;
    let of = |answered| all[&client].idle.iter().filter(move |idle| idle.answered == answered).min().copied();
    let fresh = |idle: &IdleConnection| now - idle.since < NEWCOMER;
    let idle = of(false).filter(|idle| !fresh(idle)).or(of(true)).or(of(false))?;
    Some((client, idle))
}

proptest! {
    #[test]
    fn the_first_to_go_is_that_of_a_look_at_all(steps in prop::collection::vec(step(), 1..400)) {
        let clients: Vec<Client> = (0..4).map(|n| format!("192.0.2.{n}/32").parse().expect("a network")).collect();
        let (mut order, mut all) = (EvictionOrder::default(), BTreeMap::<Client, Plain>::new());
        for (n, step) in steps.into_iter().enumerate() {
            // Two steps in one moment are as usual as two in different ones.
            let now = Duration::from_millis(n as u64 / 2);
            let plain = |c: usize, all: &BTreeMap<Client, Plain>| {
                all.get(&clients[c]).cloned().unwrap_or(Plain { class: ClientClass::Unknown, load: 1, idle: vec![] })
            };
            match step {
                Step::Idle(c, answered) => {
                    let mut one = plain(c, &all);
                    // Numbers do not come in order: old connections go idle again.
                    let idle = IdleConnection { since: now, id: (n as u64 * 7) % 400, answered };
                    order.insert(clients[c], one.class, one.load, idle);
                    one.idle.push(idle);
                    all.insert(clients[c], one);
                }
                Step::Busy(c, which) => {
                    if let Some(one) = all.get_mut(&clients[c]).filter(|one| which < one.idle.len()) {
                        order.remove(clients[c], one.idle.remove(which));
                    }
                }
                Step::Load(c, load) => {
                    if let Some(one) = all.get_mut(&clients[c]) {
                        one.load = load;
                        order.update(clients[c], one.class, load);
                    }
                }
                Step::Class(c) => {
                    if let Some(one) = all.get_mut(&clients[c]) {
                        one.class = if one.class == ClientClass::Known { ClientClass::Unknown } else { ClientClass::Known };
                        order.update(clients[c], one.class, one.load);
                    }
                }
                Step::Forget(c) => {
                    all.remove(&clients[c]);
                    order.remove_client(clients[c]);
                }
                Step::Look => {}
            }
            if n % 3 == 0 {
                for classes in [&[ClientClass::Unknown][..], &[ClientClass::Known], &[ClientClass::Unknown, ClientClass::Known]] {
                    let found = order.next_victim(classes, now, NEWCOMER).map(|victim| (victim.client, victim.idle));
                    prop_assert_eq!(found, first(&all, classes, now));
                }
            }
        }
    }
}
