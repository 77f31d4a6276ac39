//! The machines' tables, read off the machines themselves: every state with every event.

use crate::attempt::{self, Attempt};
use crate::connection::{self, Connection, Progress, Received, Written};
use crate::inbound::{self, Inbound};
use crate::request::{self, End, Request};
use crate::{Machine, Named};
use doorcourse::Outcome;
use std::collections::BTreeSet;
use std::fmt::Write as _;

/// One legal transition, by the names of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transition {
    /// The state that it leaves.
    pub from: &'static str,
    /// The event.
    pub event: &'static str,
    /// The state that it leads to.
    pub to: &'static str,
}

/// Every state with every event, as far as it is legal: `to` names the next state.
fn legal<S: Copy + Named, E: Copy + Named>(
    states: &[S], events: &[E], to: impl Fn(S, E) -> Option<&'static str>,
) -> BTreeSet<Transition> {
    let pairs = states.iter().flat_map(|state| events.iter().map(move |event| (*state, *event)));
    pairs
        .filter_map(|(state, event)| {
            Some(Transition { from: state.name(), event: event.name(), to: to(state, event)? })
        })
        .collect()
}

fn of_machine<M: Machine>(states: &[M], events: &[M::Event]) -> BTreeSet<Transition> {
    legal(states, events, |state, event| Some(state.step(event).ok()?.name()))
}

/// All of a request. A request that is over has no state.
pub fn request() -> BTreeSet<Transition> {
    let number = 0;
    let states = [Request::taken(), Request::Out { number }, Request::Closing { number }];
    let ends = [End::Served, End::TimedOut, End::Unserved].map(|end| request::Event::Ended { number, end });
    let mut events =
        vec![request::Event::Send, request::Event::Refuse, request::Event::Fail, request::Event::Left];
    events.extend(ends);
    legal(&states, &events, |state, event| {
        let (next, _) = state.step(event).ok()?;
        Some(next.map_or("over", |next| next.name()))
    })
}

/// All of an attempt.
pub fn attempt() -> BTreeSet<Transition> {
    let states = [
        Attempt::Decided,
        Attempt::Dialling,
        Attempt::Placed { kept: false },
        Attempt::Placed { kept: true },
        Attempt::Exchanging { kept: false },
        Attempt::Exchanging { kept: true },
        Attempt::Over(Outcome::Served),
    ];
    let mut events = vec![
        attempt::Event::Kept,
        attempt::Event::Dial,
        attempt::Event::Connected,
        attempt::Event::NotConnected,
        attempt::Event::Withdrawn,
        attempt::Event::Begin,
        attempt::Event::Answered(Outcome::Served),
        attempt::Event::TimedOut,
        attempt::Event::CalledOff,
    ];
    events.extend(
        [Progress::Unsent, Progress::Partly, Progress::Whole, Progress::Spoilt].map(attempt::Event::Broke),
    );
    of_machine(&states, &events)
}

/// All states of a connection.
pub fn connection_states() -> Vec<Connection> {
    let mut states = vec![
        Connection::Dialling,
        Connection::Free,
        Connection::Answered,
        Connection::AnsweredEarly,
        Connection::Poisoned,
        Connection::Ended,
    ];
    for written in [Written::Nothing, Written::Part, Written::Whole] {
        states.extend(
            [Received::Nothing, Received::Early].map(|received| Connection::Busy { written, received }),
        );
    }
    states.push(Connection::Busy { written: Written::Whole, received: Received::Answer });
    states
}

/// All events of a connection.
pub const CONNECTION_EVENTS: [connection::Event; 8] = [
    connection::Event::Connected,
    connection::Event::Begin,
    connection::Event::Wrote,
    connection::Event::Flushed,
    connection::Event::Heard,
    connection::Event::Whole,
    connection::Event::Quiet,
    connection::Event::Ended,
];

/// All of a connection.
pub fn connection() -> BTreeSet<Transition> {
    of_machine(&connection_states(), &CONNECTION_EVENTS)
}

/// All of a client's connection.
pub fn inbound() -> BTreeSet<Transition> {
    let states = [
        Inbound::Quiet { answered: false },
        Inbound::Quiet { answered: true },
        Inbound::Reading { answered: false },
        Inbound::Reading { answered: true },
        Inbound::Open,
        Inbound::Closed,
    ];
    let events = [
        inbound::Event::Bytes,
        inbound::Event::Taken,
        inbound::Event::TurnedAway,
        inbound::Event::Answered,
        inbound::Event::TimeUp,
        inbound::Event::Closed,
    ];
    of_machine(&states, &events)
}

/// A table as a Mermaid state diagram. Transitions that lead nowhere else are left out.
pub fn diagram(table: &BTreeSet<Transition>) -> String {
    let id = |name: &str| name.replace([' ', ','], "_");
    let mut out = String::from("stateDiagram-v2\n");
    let names: BTreeSet<&str> = table.iter().flat_map(|t| [t.from, t.to]).collect();
    for name in names.iter().filter(|n| id(n) != **n) {
        let _ = writeln!(out, "    state \"{name}\" as {}", id(name));
    }
    for t in table.iter().filter(|t| t.from != t.to) {
        let _ = writeln!(out, "    {} --> {}: {}", id(t.from), id(t.to), t.event);
    }
    out
}
