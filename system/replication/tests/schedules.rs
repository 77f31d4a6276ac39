//! The store under drawn schedules of load and faults, and single cases that earn their keep. A seed that fails prints itself;
//! `BOOK_SEED=n cargo test -p fennelscale-replication drawn` plays it alone.

#[allow(dead_code, reason = "each test uses its part of the world")]
mod world;

use fennelscale_messages::store::{
    Change, Member, MemberList, Stamp, StoreMessage, StoreRequest, StoreResponse, Term,
};
use proptest::prelude::*;
use world::{Mutant, World, change, ready};

/// A minute of calls and faults, then everything comes back and is read everywhere.
fn play(seed: u64, mutant: Mutant) -> World {
    let mut world = World::new(seed, 6, mutant);
    ready(&mut world);
    let mut revision = 1;
    let mut lost: Vec<usize> = Vec::new();
    for _ in 0..40 {
        let n = world.chance.below(world.len());
        let other = world.chance.below(world.len());
        match world.chance.below(12) {
            0..=5 if world.is_up(n) => {
                revision += world.chance.next() % 3;
                let (name, prefix) = (world.chance.below(4), world.chance.below(6));
                let mark = world.chance.next();
                let mut changes = vec![change(name, revision, prefix, mark)];
                if world.chance.share() < 0.2 {
                    changes.push(change(5, revision, 7 + name, mark));
                }
                if world.chance.share() < 0.15 {
                    let drop = Change { body: None, host: String::new(), ..change(name, revision, 0, 0) };
                    changes = vec![drop];
                }
                world.call(n, StoreRequest::Change(changes.clone()));
                if world.chance.share() < 0.3 && world.is_up(other) {
                    // Another operator at the same moment, with the same version or the very same call.
                    let mark = if world.chance.share() < 0.5 { mark } else { mark + 1 };
                    world.call(other, StoreRequest::Change(vec![change(name, revision, prefix, mark)]));
                }
            }
            6 if world.is_up(n) => {
                let on = world.chance.share() < 0.5;
                world.call(n, StoreRequest::Evacuate("z1".into(), on, None));
                world.run(1500.0);
            }
            7 => {
                world.kill(n);
                lost.push(n);
            }
            8 if lost.is_empty() => {
                // One machine loses its disk while all others are there, or both of a region.
                world.wipe(n);
                lost.push(n);
                let pair = (n + 3) % 6;
                if n < 6 && world.len() == 6 && world.chance.share() < 0.5 {
                    world.wipe(pair);
                    lost.push(pair);
                }
            }
            9 => {
                let one_way = world.chance.share() < 0.4;
                for to in 0..world.len() {
                    if to != n && world.chance.share() < 0.8 {
                        world.cut(n, to, one_way);
                    }
                }
            }
            10 => {
                world.heal();
                for n in std::mem::take(&mut lost) {
                    world.start(n, false);
                }
                // A machine that was lost counts as lost until it has caught up.
                world.run(4000.0);
            }
            11 if lost.is_empty() && world.chance.share() < 0.3 && world.len() < 9 => {
                let planned = world.chance.share() < 0.5;
                world.heal();
                world.replace(n, planned);
                world.run(5000.0);
            }
            _ => {}
        }
        let span = world.chance.share() * 400.0;
        world.run(span);
    }
    world.settle();
    world
}

#[test]
fn drawn_schedules_lose_nothing_and_never_go_back() {
    let seeds: Vec<u64> = match std::env::var("BOOK_SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (0..std::env::var("BOOK_SEEDS").map_or(400, |n| n.parse().unwrap())).collect(),
    };
    let mut acknowledged = 0;
    for seed in seeds {
        let world = play(seed, Mutant::None);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        acknowledged += world.acknowledged;
    }
    assert!(acknowledged > 0);
}

/// A write that only one region and half of the others took; that region's disks are lost, and the others that took it are
/// cut off. Who is left must not answer as if there had been no such write.
fn region_forgets(mutant: Mutant) -> World {
    let mut world = World::new(5, 6, mutant);
    ready(&mut world);
    [2, 5].into_iter().for_each(|n| world.kill(n));
    let id = world.call(1, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
    world.run(2000.0);
    assert_eq!(world.told(id), Some(StoreResponse::Done));
    [0, 3].into_iter().for_each(|n| world.wipe(n));
    [1, 4].into_iter().for_each(|n| world.kill(n));
    [0, 2, 3, 5].into_iter().for_each(|n| world.start(n, false));
    world.run(4000.0);
    for n in [0, 2, 3, 5] {
        let id = world.call(n, StoreRequest::Read);
        world.run(3000.0);
        if let Some(StoreResponse::Items(items)) = world.told(id)
            && !items.iter().any(|(name, _)| name == "r:1")
        {
            world.broken.push(format!("{n} reads what is old"));
        }
    }
    world
}

#[test]
fn machines_that_forgot_do_not_answer_for_what_they_knew() {
    let mut world = region_forgets(Mutant::None);
    assert_eq!(world.broken, Vec::<String>::new());
    world.settle();
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn the_world_finds_stores_that_are_broken_on_purpose() {
    let found = (0..200).any(|seed| !play(seed, Mutant::NoSync).broken.is_empty());
    assert!(found, "a store that does not sync was not found in 200 schedules");
    assert_ne!(region_forgets(Mutant::AmnesiacVotes).broken, Vec::<String>::new());
}

#[test]
fn of_two_contents_of_one_version_one_is_acknowledged() {
    for seed in 0..30 {
        let mut world = World::new(seed, 6, Mutant::None);
        ready(&mut world);
        let one = world.call(2, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
        let other = world.call(4, StoreRequest::Change(vec![change(1, 5, 1, 2)]));
        world.run(3000.0);
        let told = [world.told(one), world.told(other)];
        let done = told.iter().filter(|told| **told == Some(StoreResponse::Done)).count();
        let lost = told.iter().filter(|told| matches!(told, Some(StoreResponse::Conflict(_)))).count();
        assert_eq!((done, lost), (1, 1), "{told:?}");
        // What is sent again, and what was overtaken, is acknowledged and changes nothing.
        let again = world.call(0, StoreRequest::Change(vec![change(1, 3, 1, 9)]));
        world.run(1000.0);
        assert_eq!(world.told(again), Some(StoreResponse::Done));
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

#[test]
fn who_shares_a_failure_order_is_said_once() {
    let order = |revision: u64, among: &str| {
        let body = format!(
            r#"{{"name":"o","revision":"{revision:08x}","whom":{{"tenants":["choir"]}},"what":{{"kind":"refuse"}},"from":"2026-12-02T22:00:00Z","until":"2026-12-02T22:10:00Z","most":{{"inAll":40,"perS":2}},"state":"running"}}"#
        );
        Change { name: "f:o".into(), revision, host: among.into(), body: Some(body) }
    };
    let mut world = World::new(1, 6, Mutant::None);
    ready(&mut world);
    let mut tell = |at: usize, change: Change| {
        let id = world.call(at, StoreRequest::Change(vec![change]));
        world.run(3000.0);
        assert_eq!(world.told(id), Some(StoreResponse::Done));
        world.item(at, "f:o").and_then(|item| item.chosen).map(|entry| (entry.revision, entry.host))
    };
    assert_eq!(tell(1, order(1, "a/1 b/2")), Some((1, "a/1 b/2".into())));
    // Sent once more to another registry, which knows of fewer proxies, and changed there.
    assert_eq!(tell(4, order(1, "a/1")), Some((1, "a/1 b/2".into())));
    assert_eq!(tell(4, order(2, "a/1 c/3")), Some((2, "a/1 b/2".into())));
    // A dropped order is over: the next of its name is another.
    tell(2, Change { name: "f:o".into(), revision: 3, host: String::new(), body: None });
    assert_eq!(tell(4, order(4, "a/1 c/3")), Some((4, "a/1 c/3".into())));
}

#[test]
fn calls_that_are_only_invalid_together_are_not_both_in_force() {
    for seed in 0..30 {
        let mut world = World::new(seed, 6, Mutant::None);
        ready(&mut world);
        let one = world.call(1, StoreRequest::Change(vec![change(1, 5, 3, 1)]));
        let other = world.call(5, StoreRequest::Change(vec![change(2, 5, 3, 1), change(3, 5, 4, 1)]));
        world.run(3000.0);
        let told = [world.told(one), world.told(other)];
        assert_eq!(told.iter().filter(|told| **told == Some(StoreResponse::Done)).count(), 1, "{told:?}");
        assert!(told.iter().any(|told| matches!(told, Some(StoreResponse::Invalid(_)))));
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

#[test]
fn what_was_acknowledged_in_its_writers_last_moment_is_taken_over() {
    for seed in 0..10 {
        let mut world = World::new(seed, 6, Mutant::None);
        ready(&mut world);
        let writer = world.writer().unwrap();
        // Its neighbour would hear in a moment; the others are a way between regions off.
        world.kill((writer + 3) % 6);
        let id = world.call(writer, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
        while world.told(id).is_none() {
            world.run(1.0);
        }
        assert_eq!(world.told(id), Some(StoreResponse::Done));
        // Nobody else has heard that it is chosen.
        world.vanish(writer);
        world.run(3000.0);
        let reader = (writer + 1) % 6;
        let read = world.call(reader, StoreRequest::Read);
        world.run(3000.0);
        assert!(
            matches!(world.told(read), Some(StoreResponse::Items(items)) if items.iter().any(|(name, _)| name == "r:1")),
            "seed {seed}"
        );
    }
}

/// Found by the model checker (`fennelscale-model-checker`): the writer alone knows that its last write is chosen, starts anew, begins another
/// turn with that in its copy and so not in the turn's first write; who joins without it must not be taken for a witness that
/// there was nothing.
#[test]
fn what_a_writer_holds_as_chosen_is_not_lost_with_those_who_joined_its_next_turn() {
    for seed in 0..20 {
        let mut world = World::new(seed, 6, Mutant::None);
        ready(&mut world);
        let writer = world.writer().unwrap();
        // Its neighbour hears that it is chosen, and stays away to the end.
        let neighbour = (writer + 3) % 6;
        let far = (0..6).filter(|n| ![writer, neighbour].contains(n));
        let others: Vec<usize> = far.chain([neighbour]).collect();
        // Two hear nothing of it: the write is on the disks of the writer and three others.
        others[..2].iter().for_each(|n| world.kill(*n));
        let id = world.call(writer, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
        while world.told(id).is_none() {
            world.run(1.0);
        }
        assert_eq!(world.told(id), Some(StoreResponse::Done));
        let before = world.acceptor(writer).map(|acceptor| acceptor.joined);
        // It loses power at once, what it had sent with it, and is back beside the two and one that took the write.
        world.vanish(writer);
        others[3..].iter().for_each(|n| world.kill(*n));
        others[..2].iter().for_each(|n| world.start(*n, false));
        world.start(writer, false);
        world.call(writer, StoreRequest::Change(vec![change(2, 5, 2, 1)]));
        // Its next turn begins, all who are there join it, and then it is gone for longer; one that took the write is back.
        let here = &others[..3];
        for _ in 0..2000 {
            world.run(1.0);
            let turn = world.acceptor(writer).map(|acceptor| acceptor.joined);
            let joined = |n: &usize| world.acceptor(*n).map(|acceptor| acceptor.joined) == turn;
            if turn > before && here.iter().all(joined) {
                break;
            }
        }
        world.vanish(writer);
        world.start(others[3], false);
        world.run(3000.0);
        let newer = world.call(others[0], StoreRequest::Change(vec![change(3, 5, 3, 1)]));
        world.run(3000.0);
        assert_eq!(world.told(newer), Some(StoreResponse::Done), "seed {seed}");
        let read = world.call(others[1], StoreRequest::Read);
        world.run(3000.0);
        let Some(StoreResponse::Items(items)) = world.told(read) else { panic!("seed {seed}: nothing read") };
        assert!(items.iter().any(|(name, _)| name == "r:1"), "seed {seed}: an acknowledged change is lost");
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// Found by the model checker: of a name that is written twice in one turn before the first write was chosen, a seat kept the second
/// alone; whoever read between the two found neither.
#[test]
fn a_name_is_written_again_only_when_its_last_write_is_chosen() {
    let mut world = World::new(4, 6, Mutant::None);
    ready(&mut world);
    let writer = world.writer().unwrap();
    let calls = [(5, 1), (6, 2)].map(|(revision, mark)| {
        let read = world.call(writer, StoreRequest::Read);
        (world.call(writer, StoreRequest::Change(vec![change(1, revision, 1, mark)])), read)
    });
    // While the first is out the second waits: what is taken of the name is the first.
    let taken = world.item(writer, "r:1").and_then(|item| item.pending).map(|entry| entry.revision);
    assert_eq!(taken, Some(5));
    world.run(1000.0);
    assert_eq!(
        calls.map(|(change, _)| world.told(change)),
        [Some(StoreResponse::Done), Some(StoreResponse::Done)]
    );
    assert_eq!(world.item(writer, "r:1").and_then(|item| item.chosen).map(|entry| entry.revision), Some(6));
    world.settle();
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Found by the model checker: nobody says a word to a machine whose seat was given away while it was down, and so it took itself for
/// a seat for ever.
#[test]
fn a_machine_that_comes_back_after_its_place_was_taken_finds_that_out() {
    let mut world = World::new(11, 6, Mutant::None);
    ready(&mut world);
    world.replace(4, false);
    world.run(8000.0);
    world.comes_back(4);
    world.run(1500.0);
    assert_eq!(world.is_voting(4), Some(false));
    // Nobody tells it who writes: it answers nothing, and says so at once.
    let id = world.call(4, StoreRequest::Read);
    assert_eq!(world.told(id), Some(StoreResponse::Unclear));
}

#[test]
fn an_order_that_was_held_up_does_not_undo_the_one_after_it() {
    let mut world = World::new(2, 6, Mutant::None);
    ready(&mut world);
    let evacuate = |on| StoreRequest::Evacuate("z1".into(), on, None);
    let first = world.call(1, evacuate(true));
    world.run(1000.0);
    (0..5).for_each(|n| world.cut(5, n, false));
    // Taken by a store that reaches nobody for now; its operator goes on to another.
    world.call(5, evacuate(false));
    world.run(900.0);
    let again = world.call(1, evacuate(true));
    world.run(600.0);
    assert_eq!(
        [world.told(first), world.told(again)],
        [Some(StoreResponse::Done), Some(StoreResponse::Done)]
    );
    world.heal();
    world.run(3000.0);
    world.settle();
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_seat_that_missed_the_first_write_of_a_turn_takes_no_other_of_it() {
    let mut world = World::new(2, 6, Mutant::None);
    ready(&mut world);
    let acceptor = world.acceptor(2).unwrap();
    let epoch = Term { number: acceptor.promised.number + 5, leader: fennelscale_messages::Host(5) };
    let accept =
        StoreMessage::Accept { stamp: Stamp { term: epoch, sequence: 1 }, entries: Vec::new(), chosen: 0 };
    let (own, position) = (world.digest(2), world.position(2));
    assert_eq!(world.hand(2, 4, accept.clone()), [StoreMessage::Behind(epoch, position)]);
    // Nor does it join while it may lack something that its writer holds as chosen.
    let begin = |digest: u64, lacked| StoreMessage::BeginTerm {
        term: epoch,
        entries: Vec::new(),
        digest,
        missing: lacked,
    };
    assert_eq!(world.hand(2, 4, begin(own ^ 1, None)), [StoreMessage::Behind(epoch, position)]);
    assert_eq!(world.acceptor(2).unwrap().joined, acceptor.joined);
    assert_eq!(
        world.hand(2, 4, begin(own ^ 1, Some(Vec::new()))),
        [StoreMessage::Accepted(Stamp { term: epoch, sequence: 0 })]
    );
    assert_eq!(world.hand(2, 4, accept), [StoreMessage::Accepted(Stamp { term: epoch, sequence: 1 })]);
}

#[test]
fn a_lost_region_stops_no_write_and_a_minority_takes_none() {
    let mut world = World::new(7, 6, Mutant::None);
    ready(&mut world);
    [0, 3].into_iter().for_each(|n| world.kill(n));
    world.run(2000.0);
    let id = world.call(1, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
    world.run(2500.0);
    assert_eq!(world.told(id), Some(StoreResponse::Done), "four of six are a quorum");
    world.kill(1);
    world.run(2000.0);
    let id = world.call(2, StoreRequest::Change(vec![change(1, 6, 1, 1)]));
    world.run(4000.0);
    assert!(!matches!(world.told(id), Some(StoreResponse::Done)), "three of six are none");
}

#[test]
fn a_machine_that_lost_its_disk_learns_before_it_votes() {
    let mut world = World::new(3, 6, Mutant::None);
    ready(&mut world);
    world.wipe(2);
    // Cut off from all, it may not vote; heard by a quorum it learns.
    (0..6).filter(|n| *n != 2).for_each(|n| world.cut(2, n, false));
    world.start(2, false);
    world.run(3000.0);
    let id = world.call(2, StoreRequest::Read);
    world.run(2500.0);
    assert!(!matches!(world.told(id), Some(StoreResponse::Items(_))));
    world.heal();
    world.run(3000.0);
    let id = world.call(2, StoreRequest::Read);
    world.run(2500.0);
    assert!(matches!(world.told(id), Some(StoreResponse::Items(items)) if items.len() == 2));
}

#[test]
fn an_empty_machine_takes_the_seat_of_one_that_is_gone() {
    let mut world = World::new(11, 6, Mutant::None);
    ready(&mut world);
    for (n, planned) in [(4, false), (1, true)] {
        world.replace(n, planned);
        world.run(8000.0);
    }
    // Both new ones count: with a region of the others dark a write still ends.
    [2, 5].into_iter().for_each(|n| world.kill(n));
    world.run(2000.0);
    let id = world.call(6, StoreRequest::Change(vec![change(1, 5, 1, 1)]));
    world.run(3000.0);
    assert_eq!(world.told(id), Some(StoreResponse::Done));
    world.settle();
    assert_eq!(world.broken, Vec::<String>::new());
}

fn seats(zones: &[(&str, &str)]) -> MemberList {
    let seat = |(at, (zone, region)): (usize, &(&str, &str))| Member {
        host: fennelscale_messages::Host(at as u32),
        zone: (*zone).into(),
        region: (*region).into(),
    };
    MemberList { version: 1, members: zones.iter().enumerate().map(seat).collect() }
}

#[test]
fn quorums_share_two_seats_where_the_losses_leave_that_many() {
    let six = [("a", "x"), ("b", "y"), ("c", "z"), ("d", "x"), ("e", "y"), ("f", "z")];
    assert_eq!(fennelscale_replication::quorum(&seats(&six), (1, 1, 1)), 4);
    assert_eq!(fennelscale_replication::quorum(&seats(&six[..3]), (1, 1, 1)), 2);
    assert_eq!(fennelscale_replication::quorum(&seats(&six[..5]), (1, 1, 0)), 4);
    assert_eq!(fennelscale_replication::quorum(&seats(&six[..1]), (1, 1, 1)), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn two_quorums_always_share_a_seat(zones in proptest::collection::vec(0..5usize, 1..12), losses in 0..3usize) {
        let names = ["a", "b", "c", "d", "e"];
        let list: Vec<_> = zones.iter().map(|z| (names[*z], names[*z % 3])).collect();
        let q = fennelscale_replication::quorum(&seats(&list), (losses, losses, losses));
        prop_assert!(2 * q > list.len() && q <= list.len());
    }
}

/// All that has a say in maintenance, as a reader sees it, in one number.
fn seen(world: &mut World, reader: usize) -> (u64, Vec<(String, Option<String>)>) {
    let id = world.call(reader, StoreRequest::Read);
    world.run(3000.0);
    let Some(StoreResponse::Items(items)) = world.told(id) else { panic!("no answer to a reader") };
    let seen = fennelscale_maintenance::view_hash(items.iter().map(|(name, entry)| (name.as_str(), entry)));
    let records = items.into_iter().filter(|(name, _)| name.starts_with("n:"));
    (seen, records.map(|(name, entry)| (name, entry.body)).collect())
}

#[test]
fn of_two_steps_that_were_decided_from_one_view_one_is_written_and_it_stays() {
    let record = |text: &str| vec![("n:tonight".to_owned(), Some(format!("{{\"by\":\"{text}\"}}")))];
    for seed in 0..20 {
        let mut world = World::new(seed, 6, Mutant::None);
        ready(&mut world);
        let (view, none) = seen(&mut world, 3);
        assert!(none.is_empty());
        let steps = [(2, "two"), (4, "four")]
            .map(|(n, by)| (world.call(n, StoreRequest::MaintenanceStep(view, record(by))), by));
        world.run(3000.0);
        let told = steps.map(|(id, by)| (world.told(id), by));
        let done: Vec<&str> =
            told.iter().filter(|(told, _)| *told == Some(StoreResponse::Done)).map(|(_, by)| *by).collect();
        let refused =
            told.iter().filter(|(told, _)| matches!(told, Some(StoreResponse::Conflict(_)))).count();
        assert_eq!((done.len(), refused), (1, 1), "seed {seed}: {told:?}");
        // It stands after all have died, and a step that was held up until then finds another view.
        (0..6).for_each(|n| world.kill(n));
        (0..6).for_each(|n| world.start(n, false));
        world.run(4000.0);
        let late = world.call(1, StoreRequest::MaintenanceStep(view, record("late")));
        world.run(2000.0);
        assert!(matches!(world.told(late), Some(StoreResponse::Conflict(_))), "seed {seed}");
        let (_, records) = seen(&mut world, 5);
        assert_eq!(records, record(done[0]), "seed {seed}");
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new());
    }
}
