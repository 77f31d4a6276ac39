//! The replica under randomly drawn schedules of load and faults, and regression tests for single cases. A
//! failing seed is printed; `BOOK_SEED=n cargo test -p fennelscale-replication drawn` runs it alone.

#[allow(dead_code, reason = "each test uses its part of the cluster")]
mod cluster;

use cluster::{Cluster, Mutant, accept_first_call, change};
use fennelscale_messages::store::{
    Change, Member, MemberList, Stamp, StoreMessage, StoreRequest, StoreResponse, Term,
};
use proptest::prelude::*;

/// Runs a minute of calls and faults, then restores everything and reads on all replicas.
fn run_schedule(seed: u64, mutant: Mutant) -> Cluster {
    let mut cluster = Cluster::new(seed, 6, mutant);
    accept_first_call(&mut cluster);
    let mut revision = 1;
    let mut failed: Vec<usize> = Vec::new();
    for _ in 0..40 {
        let n = cluster.random.below(cluster.len());
        let other = cluster.random.below(cluster.len());
        match cluster.random.below(12) {
            0..=5 if cluster.is_up(n) => {
                revision += cluster.random.next() % 3;
                let (name, prefix) = (cluster.random.below(4), cluster.random.below(6));
                let mark = cluster.random.next();
                let mut changes = vec![change(name, revision, prefix, mark)];
                if cluster.random.fraction() < 0.2 {
                    changes.push(change(5, revision, 7 + name, mark));
                }
                if cluster.random.fraction() < 0.15 {
                    let drop = Change { body: None, host: String::new(), ..change(name, revision, 0, 0) };
                    changes = vec![drop];
                }
                cluster.call(n, StoreRequest::Change(changes.clone()));
                if cluster.random.fraction() < 0.3 && cluster.is_up(other) {
                    // Another operator at the same moment, with the same version and another content, or with
                    // the same change.
                    let mark = if cluster.random.fraction() < 0.5 { mark } else { mark + 1 };
                    cluster.call(other, StoreRequest::Change(vec![change(name, revision, prefix, mark)]));
                }
            }
            6 if cluster.is_up(n) => {
                let on = cluster.random.fraction() < 0.5;
                cluster.call(n, StoreRequest::Evacuate("z1".into(), on, None));
                cluster.run(1500.0);
            }
            7 => {
                cluster.crash(n);
                failed.push(n);
            }
            8 if failed.is_empty() => {
                // One machine loses its disk while all others are up, or both machines of a region do.
                cluster.lose_disk(n);
                failed.push(n);
                let pair = (n + 3) % 6;
                if n < 6 && cluster.len() == 6 && cluster.random.fraction() < 0.5 {
                    cluster.lose_disk(pair);
                    failed.push(pair);
                }
            }
            9 => {
                let one_way = cluster.random.fraction() < 0.4;
                for to in 0..cluster.len() {
                    if to != n && cluster.random.fraction() < 0.8 {
                        cluster.cut(n, to, one_way);
                    }
                }
            }
            10 => {
                cluster.reconnect_all();
                for n in std::mem::take(&mut failed) {
                    cluster.start(n, false);
                }
                // A machine that failed counts as failed until it has caught up.
                cluster.run(4000.0);
            }
            11 if failed.is_empty() && cluster.random.fraction() < 0.3 && cluster.len() < 9 => {
                let planned = cluster.random.fraction() < 0.5;
                cluster.reconnect_all();
                cluster.replace(n, planned);
                cluster.run(5000.0);
            }
            _ => {}
        }
        let duration = cluster.random.fraction() * 400.0;
        cluster.run(duration);
    }
    cluster.recover_and_verify();
    cluster
}

#[test]
fn randomly_drawn_schedules_lose_nothing_and_never_go_back() {
    let seeds: Vec<u64> = match std::env::var("BOOK_SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (0..std::env::var("BOOK_SEEDS").map_or(400, |n| n.parse().unwrap())).collect(),
    };
    let mut acknowledged = 0;
    for seed in seeds {
        let cluster = run_schedule(seed, Mutant::None);
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
        acknowledged += cluster.acknowledged;
    }
    assert!(acknowledged > 0);
}

/// A write is accepted by one region and half of the other members. That region's disks are lost and the
/// others that accepted it go down. The remaining members must not answer as if there had been no such write.
fn region_loses_disks(mutant: Mutant) -> Cluster {
    let mut cluster = Cluster::new(5, 6, mutant);
    accept_first_call(&mut cluster);
    [2, 5].into_iter().for_each(|n| cluster.crash(n));
    let id = cluster.call(1, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
    cluster.run(2000.0);
    assert_eq!(cluster.response(id), Some(StoreResponse::Done));
    [0, 3].into_iter().for_each(|n| cluster.lose_disk(n));
    [1, 4].into_iter().for_each(|n| cluster.crash(n));
    [0, 2, 3, 5].into_iter().for_each(|n| cluster.start(n, false));
    cluster.run(4000.0);
    for n in [0, 2, 3, 5] {
        let id = cluster.call(n, StoreRequest::Read);
        cluster.run(3000.0);
        if let Some(StoreResponse::Items(items)) = cluster.response(id)
            && !items.iter().any(|(name, _)| name == "r:1")
        {
            cluster.violations.push(format!("{n} reads outdated entries"));
        }
    }
    cluster
}

#[test]
fn machines_that_lost_their_disks_do_not_answer_from_nothing() {
    let mut cluster = region_loses_disks(Mutant::None);
    assert_eq!(cluster.violations, Vec::<String>::new());
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn the_test_cluster_detects_deliberate_faults() {
    let found = (0..200).any(|seed| !run_schedule(seed, Mutant::NothingPersisted).violations.is_empty());
    assert!(found, "a replica that does not sync was not detected in 200 schedules");
    assert_ne!(region_loses_disks(Mutant::VotesAfterDiskLoss).violations, Vec::<String>::new());
}

#[test]
fn of_two_contents_of_one_version_one_is_acknowledged() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 6, Mutant::None);
        accept_first_call(&mut cluster);
        let one = cluster.call(2, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
        let other = cluster.call(4, StoreRequest::Change(vec![change(1, 5, 1, 2)]));
        cluster.run(3000.0);
        let response = [cluster.response(one), cluster.response(other)];
        let done = response.iter().filter(|response| **response == Some(StoreResponse::Done)).count();
        let conflicting =
            response.iter().filter(|response| matches!(response, Some(StoreResponse::Conflict(_)))).count();
        assert_eq!((done, conflicting), (1, 1), "{response:?}");
        // A late change with a skipped version is acknowledged and has no effect.
        let again = cluster.call(0, StoreRequest::Change(vec![change(1, 3, 1, 9)]));
        cluster.run(1000.0);
        assert_eq!(cluster.response(again), Some(StoreResponse::Done));
        cluster.recover_and_verify();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn the_proxies_that_share_a_failure_order_are_fixed_by_its_first_version() {
    let order = |revision: u64, among: &str| {
        let body = format!(
            r#"{{"name":"o","revision":"{revision:08x}","whom":{{"tenants":["choir"]}},"what":{{"kind":"refuse"}},"from":"2026-12-02T22:00:00Z","until":"2026-12-02T22:10:00Z","most":{{"inAll":40,"perS":2}},"state":"running"}}"#
        );
        Change { name: "f:o".into(), revision, host: among.into(), body: Some(body) }
    };
    let mut cluster = Cluster::new(1, 6, Mutant::None);
    accept_first_call(&mut cluster);
    let mut submit = |at: usize, change: Change| {
        let id = cluster.call(at, StoreRequest::Change(vec![change]));
        cluster.run(3000.0);
        assert_eq!(cluster.response(id), Some(StoreResponse::Done));
        cluster.item(at, "f:o").and_then(|item| item.chosen).map(|entry| (entry.revision, entry.host))
    };
    assert_eq!(submit(1, order(1, "a/1 b/2")), Some((1, "a/1 b/2".into())));
    // Sent again to another registry, which knows fewer proxies, and changed there.
    assert_eq!(submit(4, order(1, "a/1")), Some((1, "a/1 b/2".into())));
    assert_eq!(submit(4, order(2, "a/1 c/3")), Some((2, "a/1 b/2".into())));
    // A removed order has ended: the next one of the same name is a new order.
    submit(2, Change { name: "f:o".into(), revision: 3, host: String::new(), body: None });
    assert_eq!(submit(4, order(4, "a/1 c/3")), Some((4, "a/1 c/3".into())));
}

#[test]
fn calls_that_are_invalid_only_in_combination_are_not_both_in_force() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 6, Mutant::None);
        accept_first_call(&mut cluster);
        let one = cluster.call(1, StoreRequest::Change(vec![change(1, 5, 3, 1)]));
        let other = cluster.call(5, StoreRequest::Change(vec![change(2, 5, 3, 1), change(3, 5, 4, 1)]));
        cluster.run(3000.0);
        let response = [cluster.response(one), cluster.response(other)];
        assert_eq!(
            response.iter().filter(|response| **response == Some(StoreResponse::Done)).count(),
            1,
            "{response:?}"
        );
        assert!(response.iter().any(|response| matches!(response, Some(StoreResponse::Invalid(_)))));
        cluster.recover_and_verify();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn a_write_acknowledged_just_before_its_leader_crashes_is_taken_over() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, 6, Mutant::None);
        accept_first_call(&mut cluster);
        let leader = cluster.leader().unwrap();
        // The other member of the region would hear of it within a moment; all others are one inter-region
        // delay away.
        cluster.crash((leader + 3) % 6);
        let id = cluster.call(leader, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
        while cluster.response(id).is_none() {
            cluster.run(1.0);
        }
        assert_eq!(cluster.response(id), Some(StoreResponse::Done));
        // No other member has heard that the write is chosen.
        cluster.crash_losing_messages(leader);
        cluster.run(3000.0);
        let reader = (leader + 1) % 6;
        let read = cluster.call(reader, StoreRequest::Read);
        cluster.run(3000.0);
        assert!(
            matches!(cluster.response(read), Some(StoreResponse::Items(items)) if items.iter().any(|(name, _)| name == "r:1")),
            "seed {seed}"
        );
    }
}

/// Found by the model checker (`fennelscale-model-checker`): only the leader knows that its last write is
/// chosen. It restarts and begins another term, whose first write omits the entry since the leader holds it
/// as chosen. A member that joins the term without the entry must not count as evidence that there was none.
#[test]
fn a_chosen_entry_known_only_to_the_leader_survives_its_next_term() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 6, Mutant::None);
        accept_first_call(&mut cluster);
        let leader = cluster.leader().unwrap();
        // The other member of the region hears that the write is chosen, and stays down to the end.
        let neighbour = (leader + 3) % 6;
        let far = (0..6).filter(|n| ![leader, neighbour].contains(n));
        let others: Vec<usize> = far.chain([neighbour]).collect();
        // Two members are down: the write is on the disks of the leader and three others.
        others[..2].iter().for_each(|n| cluster.crash(*n));
        let id = cluster.call(leader, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
        while cluster.response(id).is_none() {
            cluster.run(1.0);
        }
        assert_eq!(cluster.response(id), Some(StoreResponse::Done));
        let before = cluster.acceptor(leader).map(|acceptor| acceptor.joined);
        // The leader loses power at once together with the messages that it sent, and restarts along with the
        // two and one that accepted the write.
        cluster.crash_losing_messages(leader);
        others[3..].iter().for_each(|n| cluster.crash(*n));
        others[..2].iter().for_each(|n| cluster.start(*n, false));
        cluster.start(leader, false);
        cluster.call(leader, StoreRequest::Change(vec![change(2, 5, 2, 1)]));
        // Its next term begins, all members that are up join it, and then the leader is down for longer; one
        // that accepted the write is back.
        let running = &others[..3];
        for _ in 0..2000 {
            cluster.run(1.0);
            let term = cluster.acceptor(leader).map(|acceptor| acceptor.joined);
            let joined = |n: &usize| cluster.acceptor(*n).map(|acceptor| acceptor.joined) == term;
            if term > before && running.iter().all(joined) {
                break;
            }
        }
        cluster.crash_losing_messages(leader);
        cluster.start(others[3], false);
        cluster.run(3000.0);
        let newer = cluster.call(others[0], StoreRequest::Change(vec![change(3, 5, 3, 1)]));
        cluster.run(3000.0);
        assert_eq!(cluster.response(newer), Some(StoreResponse::Done), "seed {seed}");
        let read = cluster.call(others[1], StoreRequest::Read);
        cluster.run(3000.0);
        let Some(StoreResponse::Items(items)) = cluster.response(read) else {
            panic!("seed {seed}: nothing read")
        };
        assert!(items.iter().any(|(name, _)| name == "r:1"), "seed {seed}: an acknowledged change is lost");
        cluster.recover_and_verify();
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Found by the model checker: when an entry was written twice in one term before the first write was chosen,
/// a member kept only the second, and a reader between the two found neither.
#[test]
fn an_entry_is_written_again_only_when_its_last_write_is_chosen() {
    let mut cluster = Cluster::new(4, 6, Mutant::None);
    accept_first_call(&mut cluster);
    let leader = cluster.leader().unwrap();
    let calls = [(5, 1), (6, 2)].map(|(revision, mark)| {
        let read = cluster.call(leader, StoreRequest::Read);
        (cluster.call(leader, StoreRequest::Change(vec![change(1, revision, 1, mark)])), read)
    });
    // While the first write is in flight the second one waits, so the pending version is the first.
    let pending = cluster.item(leader, "r:1").and_then(|item| item.pending).map(|entry| entry.revision);
    assert_eq!(pending, Some(5));
    cluster.run(1000.0);
    assert_eq!(
        calls.map(|(change, _)| cluster.response(change)),
        [Some(StoreResponse::Done), Some(StoreResponse::Done)]
    );
    assert_eq!(cluster.item(leader, "r:1").and_then(|item| item.chosen).map(|entry| entry.revision), Some(6));
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Found by the model checker: no replica sent anything to a machine that had been replaced while it was
/// down, so it took itself for a member forever.
#[test]
fn a_machine_that_was_replaced_learns_that_after_its_restart() {
    let mut cluster = Cluster::new(11, 6, Mutant::None);
    accept_first_call(&mut cluster);
    cluster.replace(4, false);
    cluster.run(8000.0);
    cluster.restart_replaced(4);
    cluster.run(1500.0);
    assert_eq!(cluster.is_voting(4), Some(false));
    // It does not know the leader, so it answers at once that the outcome is unknown.
    let id = cluster.call(4, StoreRequest::Read);
    assert_eq!(cluster.response(id), Some(StoreResponse::Unclear));
}

#[test]
fn a_delayed_order_does_not_undo_the_next_one() {
    let mut cluster = Cluster::new(2, 6, Mutant::None);
    accept_first_call(&mut cluster);
    let evacuate = |on| StoreRequest::Evacuate("z1".into(), on, None);
    let first = cluster.call(1, evacuate(true));
    cluster.run(1000.0);
    (0..5).for_each(|n| cluster.cut(5, n, false));
    // Accepted by a replica that is disconnected for now; its operator moves on to another.
    cluster.call(5, evacuate(false));
    cluster.run(900.0);
    let again = cluster.call(1, evacuate(true));
    cluster.run(600.0);
    assert_eq!(
        [cluster.response(first), cluster.response(again)],
        [Some(StoreResponse::Done), Some(StoreResponse::Done)]
    );
    cluster.reconnect_all();
    cluster.run(3000.0);
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn a_member_that_missed_the_first_write_of_a_term_accepts_no_other_write_of_it() {
    let mut cluster = Cluster::new(2, 6, Mutant::None);
    accept_first_call(&mut cluster);
    let acceptor = cluster.acceptor(2).unwrap();
    let term = Term { number: acceptor.promised.number + 5, leader: fennelscale_messages::Host(5) };
    let accept = StoreMessage::Accept { stamp: Stamp { term, sequence: 1 }, entries: Vec::new(), chosen: 0 };
    let (own, position) = (cluster.digest(2), cluster.position(2));
    assert_eq!(cluster.deliver(2, 4, accept.clone()), [StoreMessage::Behind(term, position)]);
    // Nor does it join the term while it may lack an entry that the leader holds as chosen.
    let begin = |digest: u64, missing| StoreMessage::BeginTerm { term, entries: Vec::new(), digest, missing };
    assert_eq!(cluster.deliver(2, 4, begin(own ^ 1, None)), [StoreMessage::Behind(term, position)]);
    assert_eq!(cluster.acceptor(2).unwrap().joined, acceptor.joined);
    assert_eq!(
        cluster.deliver(2, 4, begin(own ^ 1, Some(Vec::new()))),
        [StoreMessage::Accepted(Stamp { term, sequence: 0 })]
    );
    assert_eq!(cluster.deliver(2, 4, accept), [StoreMessage::Accepted(Stamp { term, sequence: 1 })]);
}

#[test]
fn a_lost_region_stops_no_write_and_a_minority_accepts_none() {
    let mut cluster = Cluster::new(7, 6, Mutant::None);
    accept_first_call(&mut cluster);
    [0, 3].into_iter().for_each(|n| cluster.crash(n));
    cluster.run(2000.0);
    let id = cluster.call(1, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
    cluster.run(2500.0);
    assert_eq!(cluster.response(id), Some(StoreResponse::Done), "four of six are a quorum");
    cluster.crash(1);
    cluster.run(2000.0);
    let id = cluster.call(2, StoreRequest::Change(vec![change(1, 6, 1, 1)]));
    cluster.run(4000.0);
    assert!(!matches!(cluster.response(id), Some(StoreResponse::Done)), "three of six are none");
}

#[test]
fn a_machine_that_lost_its_disk_recovers_before_it_votes() {
    let mut cluster = Cluster::new(3, 6, Mutant::None);
    accept_first_call(&mut cluster);
    cluster.lose_disk(2);
    // While cut off from all others it must not vote; once it hears from a quorum it recovers.
    (0..6).filter(|n| *n != 2).for_each(|n| cluster.cut(2, n, false));
    cluster.start(2, false);
    cluster.run(3000.0);
    let id = cluster.call(2, StoreRequest::Read);
    cluster.run(2500.0);
    assert!(!matches!(cluster.response(id), Some(StoreResponse::Items(_))));
    cluster.reconnect_all();
    cluster.run(3000.0);
    let id = cluster.call(2, StoreRequest::Read);
    cluster.run(2500.0);
    assert!(matches!(cluster.response(id), Some(StoreResponse::Items(items)) if items.len() == 2));
}

#[test]
fn an_empty_machine_replaces_one_that_failed() {
    let mut cluster = Cluster::new(11, 6, Mutant::None);
    accept_first_call(&mut cluster);
    for (n, planned) in [(4, false), (1, true)] {
        cluster.replace(n, planned);
        cluster.run(8000.0);
    }
    // Both new members vote: with another region down, a write still succeeds.
    [2, 5].into_iter().for_each(|n| cluster.crash(n));
    cluster.run(2000.0);
    let id = cluster.call(6, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
    cluster.run(3000.0);
    assert_eq!(cluster.response(id), Some(StoreResponse::Done));
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

fn members(zones: &[(&str, &str)]) -> MemberList {
    let member = |(at, (zone, region)): (usize, &(&str, &str))| Member {
        host: fennelscale_messages::Host(at as u32),
        zone: (*zone).into(),
        region: (*region).into(),
    };
    MemberList { version: 1, members: zones.iter().enumerate().map(member).collect() }
}

#[test]
fn quorums_share_two_members_where_the_losses_leave_that_many() {
    let six = [("a", "x"), ("b", "y"), ("c", "z"), ("d", "x"), ("e", "y"), ("f", "z")];
    assert_eq!(fennelscale_replication::quorum(&members(&six), (1, 1, 1)), 4);
    assert_eq!(fennelscale_replication::quorum(&members(&six[..3]), (1, 1, 1)), 2);
    assert_eq!(fennelscale_replication::quorum(&members(&six[..5]), (1, 1, 0)), 4);
    assert_eq!(fennelscale_replication::quorum(&members(&six[..1]), (1, 1, 1)), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn two_quorums_always_share_a_member(zones in proptest::collection::vec(0..5usize, 1..12), losses in 0..3usize) {
        let names = ["a", "b", "c", "d", "e"];
        let list: Vec<_> = zones.iter().map(|z| (names[*z], names[*z % 3])).collect();
        let q = fennelscale_replication::quorum(&members(&list), (losses, losses, losses));
        prop_assert!(2 * q > list.len() && q <= list.len());
    }
}

/// Hash of everything that maintenance decisions depend on, as a reader sees it, and the maintenance records.
fn maintenance_state(cluster: &mut Cluster, reader: usize) -> (u64, Vec<(String, Option<String>)>) {
    let id = cluster.call(reader, StoreRequest::Read);
    cluster.run(3000.0);
    let Some(StoreResponse::Items(items)) = cluster.response(id) else { panic!("no answer to a reader") };
    let maintenance_state =
        fennelscale_maintenance::view_hash(items.iter().map(|(name, entry)| (name.as_str(), entry)));
    let records = items.into_iter().filter(|(name, _)| name.starts_with("n:"));
    (maintenance_state, records.map(|(name, entry)| (name, entry.body)).collect())
}

#[test]
fn of_two_steps_decided_from_the_same_state_one_is_written_and_it_stays() {
    let record = |text: &str| vec![("n:tonight".to_owned(), Some(format!("{{\"by\":\"{text}\"}}")))];
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 6, Mutant::None);
        accept_first_call(&mut cluster);
        let (state, none) = maintenance_state(&mut cluster, 3);
        assert!(none.is_empty());
        let steps = [(2, "two"), (4, "four")]
            .map(|(n, by)| (cluster.call(n, StoreRequest::MaintenanceStep(state, record(by))), by));
        cluster.run(3000.0);
        let response = steps.map(|(id, by)| (cluster.response(id), by));
        let done: Vec<&str> = response
            .iter()
            .filter(|(response, _)| *response == Some(StoreResponse::Done))
            .map(|(_, by)| *by)
            .collect();
        let rejected = response
            .iter()
            .filter(|(response, _)| matches!(response, Some(StoreResponse::Conflict(_))))
            .count();
        assert_eq!((done.len(), rejected), (1, 1), "seed {seed}: {response:?}");
        // The record stays after all members have crashed, and a step that was delayed until then finds
        // another state.
        (0..6).for_each(|n| cluster.crash(n));
        (0..6).for_each(|n| cluster.start(n, false));
        cluster.run(4000.0);
        let late = cluster.call(1, StoreRequest::MaintenanceStep(state, record("late")));
        cluster.run(2000.0);
        assert!(matches!(cluster.response(late), Some(StoreResponse::Conflict(_))), "seed {seed}");
        let (_, records) = maintenance_state(&mut cluster, 5);
        assert_eq!(records, record(done[0]), "seed {seed}");
        cluster.recover_and_verify();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}
