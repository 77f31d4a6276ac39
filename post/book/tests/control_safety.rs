//! The operators' worst days of the control side, each brought about: see `docs/control-safety.md`.

#[allow(dead_code, reason = "each test uses its part of the world")]
mod world;

use post_book::versions::HISTORY;
use post_words::depot::{Ask, Change, Told};
use world::{Mutant, World, change, ready};

const STORES: usize = 6;

fn drop_of(name: usize, revision: u64) -> Change {
    Change { body: None, host: String::new(), ..change(name, revision, 0, 0) }
}

/// Sends a change and waits for its answer.
fn told(world: &mut World, at: usize, change: Change) -> Option<Told> {
    let id = world.call(at, Ask::Change(vec![change]));
    world.run(4000.0);
    world.told(id)
}

fn isolate(world: &mut World, n: usize) {
    (0..STORES).filter(|other| *other != n).for_each(|other| world.cut(n, other, false));
}

/// A writer that was cut off, and a majority that has moved on: route 1 has left its place to others.
fn cut_off_writer(seed: u64) -> (World, usize, usize) {
    let mut world = World::new(seed, STORES, Mutant::None);
    ready(&mut world);
    let writer = world.writer().unwrap();
    assert_eq!(told(&mut world, writer, change(1, 1, 1, 1)), Some(Told::Done));
    isolate(&mut world, writer);
    let other = (writer + 1) % STORES;
    world.run(1000.0);
    (world, writer, other)
}

#[test]
fn a_cut_off_writer_neither_refuses_nor_confirms() {
    for seed in 0..10 {
        let (mut world, writer, other) = cut_off_writer(seed);
        let at_cut = [
            // Refused by an old view: the place is free by now.
            world.call(writer, Ask::Change(vec![change(2, 1, 1, 2)])),
            // Confirmed by an old view: the version may have been given elsewhere.
            world.call(writer, Ask::Change(vec![change(1, 1, 1, 1)])),
            world.call(writer, Ask::Read),
            world.call(writer, Ask::Change(vec![change(1, 1, 1, 9)])),
        ];
        assert_eq!(told(&mut world, other, drop_of(1, 2)), Some(Told::Done), "seed {seed}");
        assert_eq!(told(&mut world, other, change(2, 1, 1, 2)), Some(Told::Done), "seed {seed}");
        let answers = at_cut.map(|id| world.told(id));
        assert_eq!(answers, [const { Some(Told::Unclear) }; 4], "seed {seed}");
        assert!(!world.is_writer(writer), "seed {seed}: without contact its turn has ended");
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

#[test]
fn a_writer_whose_words_do_not_arrive_ends_its_turn() {
    let mut world = World::new(4, STORES, Mutant::None);
    ready(&mut world);
    let writer = world.writer().unwrap();
    // It hears all the others, and nobody hears it.
    (0..STORES).filter(|n| *n != writer).for_each(|n| world.cut(writer, n, true));
    let id = world.call(writer, Ask::Change(vec![change(1, 5, 1, 1)]));
    world.run(post_book::UNTAKEN + 300.0);
    assert!(!world.is_writer(writer));
    world.run(3000.0);
    assert_eq!(world.told(id), Some(Told::Unclear));
    world.heal();
    world.settle();
    assert_eq!(world.broken, Vec::<String>::new());
}

/// What a refusal rests on may never come to be: it goes out only once that is chosen.
#[test]
fn a_change_is_not_refused_for_one_that_was_void() {
    for seed in 0..10 {
        let mut world = World::new(seed, STORES, Mutant::None);
        ready(&mut world);
        let writer = world.writer().unwrap();
        isolate(&mut world, writer);
        let void = world.call(writer, Ask::Change(vec![change(1, 5, 1, 1)]));
        let refused = world.call(writer, Ask::Change(vec![change(2, 5, 1, 1)]));
        world.run(200.0);
        assert_eq!([world.told(void), world.told(refused)], [None, None], "seed {seed}");
        world.run(8000.0);
        assert_eq!(world.told(refused), Some(Told::Unclear), "seed {seed}");
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

#[test]
fn of_two_contents_under_one_number_one_is_confirmed_however_late_the_other_comes() {
    let mut world = World::new(7, STORES, Mutant::None);
    ready(&mut world);
    for revision in [5, 6] {
        assert_eq!(told(&mut world, 0, change(1, revision, 1, revision)), Some(Told::Done));
    }
    assert!(matches!(told(&mut world, 2, change(1, 5, 3, 3)), Some(Told::Conflict(_))));
    assert_eq!(told(&mut world, 3, change(1, 5, 1, 5)), Some(Told::Done), "the same again is confirmed");
    // Also once it is dropped, and after more versions.
    assert_eq!(told(&mut world, 1, drop_of(1, 9)), Some(Told::Done));
    assert!(matches!(told(&mut world, 4, change(1, 6, 1, 7)), Some(Told::Conflict(_))));
    assert_eq!(told(&mut world, 5, change(1, 6, 1, 6)), Some(Told::Done));
    assert_eq!(told(&mut world, 5, drop_of(1, 9)), Some(Told::Done));
    // A number that was passed over belongs to whom it is confirmed to first, and changes nothing.
    assert_eq!(told(&mut world, 2, change(1, 7, 1, 1)), Some(Told::Done));
    assert!(matches!(told(&mut world, 3, change(1, 7, 1, 2)), Some(Told::Conflict(_))));
    assert_eq!(told(&mut world, 4, change(1, 7, 1, 1)), Some(Told::Done));
    let entry = world.item(0, "r:1").and_then(|item| item.chosen).unwrap();
    assert_eq!((entry.revision, entry.body), (9, None));
    world.settle();
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_call_of_which_one_item_cannot_be_changes_none() {
    let mut world = World::new(3, STORES, Mutant::None);
    ready(&mut world);
    for revision in [5, 6] {
        assert_eq!(told(&mut world, 0, change(1, revision, 1, revision)), Some(Told::Done));
    }
    // One is overtaken by another content, the other would be new.
    let id = world.call(2, Ask::Change(vec![change(1, 5, 1, 9), change(2, 1, 2, 1)]));
    world.run(2000.0);
    assert!(matches!(world.told(id), Some(Told::Conflict(_))));
    assert_eq!(world.item(0, "r:2"), None);
    // One is known, the other new: that one comes into force.
    let id = world.call(2, Ask::Change(vec![change(1, 5, 1, 5), change(2, 1, 2, 1)]));
    world.run(2000.0);
    assert_eq!(world.told(id), Some(Told::Done));
    assert!(world.item(0, "r:2").is_some());
}

/// The same order ten times at random stores, over kills of all and three versions after it.
#[test]
fn an_order_sent_again_is_confirmed_or_unclear_and_never_refused() {
    for seed in 0..20 {
        let mut world = World::new(seed, STORES, Mutant::None);
        ready(&mut world);
        let order = change(1, 5, 1, 5);
        let mut ids = Vec::new();
        for n in 0..10 {
            let at = world.chance.below(STORES);
            ids.push(world.call(at, Ask::Change(vec![order.clone()])));
            let span = world.chance.share() * 300.0;
            world.run(span);
            if n == 3 {
                (0..STORES).for_each(|n| world.kill(n));
                (0..STORES).for_each(|n| world.start(n, false));
                world.run(3000.0);
            }
            if n > 5 {
                let at = world.chance.below(STORES);
                world.call(at, Ask::Change(vec![change(1, 10 + n, 1, n)]));
            }
        }
        world.run(4000.0);
        let refused =
            ids.iter().filter(|id| !matches!(world.told(**id), None | Some(Told::Done | Told::Unclear)));
        assert_eq!(refused.count(), 0, "seed {seed}");
        assert_eq!(told(&mut world, 3, order), Some(Told::Done), "seed {seed}");
        world.settle();
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

#[test]
fn what_is_older_than_the_history_has_no_clear_answer_and_no_effect() {
    let mut world = World::new(5, STORES, Mutant::None);
    ready(&mut world);
    let last = 2 + HISTORY as u64;
    for revision in 1..=last + 1 {
        let id = world.call(0, Ask::Change(vec![change(1, revision, 1, revision)]));
        world.run(400.0);
        assert_eq!(world.told(id), Some(Told::Done), "version {revision}");
    }
    assert_eq!(told(&mut world, 2, change(1, 2, 1, 2)), Some(Told::Forgotten));
    assert_eq!(told(&mut world, 2, change(1, 3, 1, 3)), Some(Told::Done));
    assert!(matches!(told(&mut world, 2, change(1, 3, 1, 4)), Some(Told::Conflict(_))));
    let entry = world.item(0, "r:1").and_then(|item| item.chosen).unwrap();
    assert_eq!((entry.revision, entry.history.len()), (last + 1, HISTORY));
}
