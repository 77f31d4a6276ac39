//! The eviction order, compared with a model that searches all connections each time.

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
    Remove(usize),
    Skip,
}

fn step() -> impl Strategy<Value = Step> {
    let client = 0..4_usize;
    prop_oneof![
        4 => (client.clone(), any::<bool>()).prop_map(|(c, answered)| Step::Idle(c, answered)),
        4 => (client.clone(), 0..8_usize).prop_map(|(c, n)| Step::Busy(c, n)),
        2 => (client.clone(), 0..5_u64).prop_map(|(c, load)| Step::Load(c, load)),
        1 => client.clone().prop_map(Step::Class),
        1 => client.prop_map(Step::Remove),
        3 => Just(Step::Skip),
    ]
}

#[derive(Clone)]
struct ModelClient {
    class: ClientClass,
    load: u64,
    idle: Vec<IdleConnection>,
}

/// The connection to evict: that of the client of the classes with the highest load, then with the longest idle
/// connection.
fn expected_victim(
    all: &BTreeMap<Client, ModelClient>, classes: &[ClientClass], now: Time,
) -> Option<(Client, IdleConnection)> {
    let rank = |(client, model_client): (&Client, &ModelClient)| {
        let oldest = model_client.idle.iter().map(|idle| idle.since).min()?;
        classes.contains(&model_client.class).then_some((model_client.load, Reverse(oldest), *client))
    };
    let client = all.iter().filter_map(rank).max()?.2;
    let of = |answered| all[&client].idle.iter().filter(move |idle| idle.answered == answered).min().copied();
    let is_new = |idle: &IdleConnection| now - idle.since < NEWCOMER;
    let idle = of(false).filter(|idle| !is_new(idle)).or(of(true)).or(of(false))?;
    Some((client, idle))
}

proptest! {
    #[test]
    fn the_eviction_order_agrees_with_a_full_search(steps in prop::collection::vec(step(), 1..400)) {
        let clients: Vec<Client> =
            (0..4).map(|n| format!("192.0.2.{n}/32").parse().expect("a network")).collect();
        let (mut order, mut all) = (EvictionOrder::default(), BTreeMap::<Client, ModelClient>::new());
        for (n, step) in steps.into_iter().enumerate() {
            // Two steps at the same time are as frequent as two at different times.
            let now = Duration::from_millis(n as u64 / 2);
            let model_client = |c: usize, all: &BTreeMap<Client, ModelClient>| {
                all.get(&clients[c]).cloned().unwrap_or(ModelClient {
                    class: ClientClass::Unknown,
                    load: 1,
                    idle: vec![],
                })
            };
            match step {
                Step::Idle(c, answered) => {
                    let mut client = model_client(c, &all);
                    // Identifiers are not in order: old connections become idle again.
                    let idle = IdleConnection { since: now, id: (n as u64 * 7) % 400, answered };
                    order.insert(clients[c], client.class, client.load, idle);
                    client.idle.push(idle);
                    all.insert(clients[c], client);
                }
                Step::Busy(c, which) => {
                    if let Some(client) = all.get_mut(&clients[c]).filter(|client| which < client.idle.len()) {
                        order.remove(clients[c], client.idle.remove(which));
                    }
                }
                Step::Load(c, load) => {
                    if let Some(client) = all.get_mut(&clients[c]) {
                        client.load = load;
                        order.update(clients[c], client.class, load);
                    }
                }
                Step::Class(c) => {
                    if let Some(client) = all.get_mut(&clients[c]) {
                        client.class = if client.class == ClientClass::Known {
                            ClientClass::Unknown
                        } else {
                            ClientClass::Known
                        };
                        order.update(clients[c], client.class, client.load);
                    }
                }
                Step::Remove(c) => {
                    all.remove(&clients[c]);
                    order.remove_client(clients[c]);
                }
                Step::Skip => {}
            }
            if n % 3 == 0 {
                for classes in [
                    &[ClientClass::Unknown][..],
                    &[ClientClass::Known],
                    &[ClientClass::Unknown, ClientClass::Known],
                ] {
                    let found =
                        order.next_victim(classes, now, NEWCOMER).map(|victim| (victim.client, victim.idle));
                    prop_assert_eq!(found, expected_victim(&all, classes, now));
                }
            }
        }
    }
}
