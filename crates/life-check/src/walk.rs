//! Stories that can be played over sockets, where the gateway does at once what it can do: it seeks a connection, writes, reads
//! and notices a stop without waiting for anybody else. So each of these steps follows right behind what makes it possible.

use crate::explore::System;
use crate::world::{AtNode, Bounds, Reply, Step, World};
use life::attempt::Attempt;
use life::connection::{Connection, Written};

/// The bounds of all walks: as many attempts as the tests' gateway makes.
pub const BOUNDS: Bounds = Bounds {
    requests: 2,
    nodes: 2,
    attempts: 6,
    cancels: 1,
    drains: 0,
    faults: 2,
    reuses: 1,
    early: 0,
    copies: 0,
    steps: 4,
};

/// What the gateway does next by itself, if there is something.
pub fn at_once(world: &World) -> Option<Step> {
    for (n, sent) in world.sent.iter().enumerate() {
        if sent.stopped {
            return Some(Step::Stops(n));
        }
        let step = match (sent.life, sent.link, sent.at) {
            (Attempt::Decided, ..) => Step::Places(n),
            (Attempt::Dialling, ..) => Step::Connects(n),
            (Attempt::Placed { .. }, ..) => Step::Writes(n),
            (_, Some(Connection::Busy { written: Written::Part, .. }), AtNode::Nothing) => Step::Flushes(n),
            (.., AtNode::Answering(_)) => Step::Reads(n),
            _ => continue,
        };
        return Some(step);
    }
    None
}

/// Whether a step that is not the gateway's own can be brought about by a client, a node or the counter at will.
fn is_at_will(world: &World, step: Step) -> bool {
    match step {
        Step::Arrives(_) | Step::ArrivesAgain(_) => true,
        // Only then can it be seen from outside that the gateway has the request, and later that it has heard of the cancel.
        Step::Cancels(n) => world.sent.iter().any(|sent| sent.id == u64::from(n) + 1),
        Step::Counts | Step::Breaks(_) => true,
        // A second loss in a row is silence, which is told by the clock; and what is asked for after one depends on the
        // quota, of which the model has less than the tests' gateway.
        Step::CountLost | Step::CountUnheard => !world.has_lost_a_call() && world.has_all_requests(&BOUNDS),
        Step::Replies(_, reply) => reply != Reply::Overlong,
        _ => false,
    }
}

/// A story drawn by chance that comes to an end without any time passing; none if this draw has no such end.
pub fn walk(mut seed: u64) -> Option<Vec<Step>> {
    let system = System { bounds: BOUNDS, mutant: None };
    let mut world = World::start(&system.bounds, None);
    let mut steps = Vec::new();
    loop {
        let mut possible = Vec::new();
        world.possible(&system.bounds, None, &mut possible);
        let step = match at_once(&world) {
            Some(step) => step,
            None => {
                possible.retain(|step| is_at_will(&world, *step));
                if possible.is_empty() {
                    return world.is_settled().then_some(steps);
                }
                // Knuth's linear congruential generator: its upper bits will do to pick a story.
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                possible[(seed >> 33) as usize % possible.len()]
            }
        };
        world = world.after(step, None);
        steps.push(step);
    }
}
