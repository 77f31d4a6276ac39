//! The machines alone: their tables, and what no order of events can bring about.

use life::attempt::{Attempt, Certainty, Event as AttemptEvent};
use life::connection::{Connection, Event, Progress, Received, Written};
use life::request::{Effect, End, Event as RequestEvent, Final, Request};
use life::tables::{self, CONNECTION_EVENTS, Transition};
use life::{Machine, Named};
use std::collections::{BTreeSet, HashSet, VecDeque};

/// The diagrams in the documentation are those of the machines.
#[test]
fn the_documented_diagrams_are_generated_from_the_tables() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/life.md"))
        .expect("the page");
    for (name, table) in [
        ("client's connection", tables::inbound()),
        ("request", tables::request()),
        ("attempt", tables::attempt()),
        ("connection", tables::connection()),
    ] {
        let diagram = tables::diagram(&table);
        assert!(
            page.contains(&format!("```mermaid\n{diagram}```")),
            "docs/life.md, {name}, should hold:\n{diagram}"
        );
    }
}

/// Whatever happens to a connection, in any order: it begins an exchange only when it is free, and it is free again only
/// after a whole answer with nothing behind it.
#[test]
fn no_connection_with_unread_or_foreign_bytes_is_used_again() {
    // The connection, and whether bytes have come on it that no whole answer has taken since.
    let start = (Connection::Dialling, false);
    let (mut seen, mut next) = (HashSet::from([start]), VecDeque::from([start]));
    while let Some((state, unread)) = next.pop_front() {
        for event in CONNECTION_EVENTS {
            let Ok(to) = state.step(event) else { continue };
            assert!(event != Event::Begin || state == Connection::Free && !unread, "{state:?} {event:?}");
            let unread = match event {
                Event::Heard => true,
                Event::Whole => false,
                _ => unread,
            };
            assert!(to != Connection::Free || !unread, "{state:?} {event:?}");
            if seen.insert((to, unread)) {
                next.push_back((to, unread));
            }
        }
    }
    let from_reached = |t: &&Transition| seen.iter().any(|(state, _)| state.name() == t.from);
    assert_eq!(tables::connection().iter().filter(from_reached).count(), tables::connection().len());
    let reached: BTreeSet<&str> = seen.iter().map(|(state, _)| state.name()).collect();
    let all: BTreeSet<&str> = tables::connection_states().iter().map(|state| state.name()).collect();
    assert_eq!(reached, all, "a state that cannot be reached");
    // Bytes ahead of the request's first byte: no answer is taken from them, and nothing is written.
    let ahead = Connection::Busy { written: Written::Nothing, received: Received::Early };
    assert!(ahead.step(Event::Whole).is_err() && ahead.step(Event::Wrote).is_err());
    assert_eq!(ahead.step(Event::Flushed), Ok(ahead));
    for state in [Connection::Poisoned, Connection::Ended, Connection::AnsweredEarly] {
        assert!(state.step(Event::Begin).is_err());
    }
}

/// Guards against a request behind the rest of another one: whatever follows an answer that began early, its connection
/// carries no second exchange.
#[test]
fn no_connection_is_used_again_after_an_early_answer() {
    let early = Connection::Busy { written: Written::Part, received: Received::Early };
    let (mut seen, mut next) = (HashSet::from([early]), VecDeque::from([early]));
    while let Some(state) = next.pop_front() {
        assert!(state.is_answered_early() && state != Connection::Free, "{state:?}");
        assert_eq!(state.progress(), Progress::Spoilt, "{state:?}");
        for to in CONNECTION_EVENTS.into_iter().filter_map(|event| state.step(event).ok()) {
            if seen.insert(to) {
                next.push_back(to);
            }
        }
    }
    assert_eq!(seen.len(), 3, "written in part, written whole, answered: {seen:?}");
}

#[test]
fn an_exchange_that_breaks_says_how_far_its_request_got() {
    let busy = |written, received| Connection::Busy { written, received }.progress();
    assert_eq!(busy(Written::Nothing, Received::Nothing), Progress::Unsent);
    assert_eq!(busy(Written::Part, Received::Nothing), Progress::Partly);
    assert_eq!(busy(Written::Whole, Received::Nothing), Progress::Whole);
    // A backend that answered anything from the request's first byte on may have run it.
    assert_eq!(busy(Written::Whole, Received::Answer), Progress::Spoilt);
    assert_eq!(busy(Written::Whole, Received::Early), Progress::Spoilt);
    assert_eq!(busy(Written::Part, Received::Early), Progress::Spoilt);
    assert_eq!(busy(Written::Nothing, Received::Early), Progress::Unsent);
    // The break itself does not make it forget.
    let whole = Connection::Busy { written: Written::Whole, received: Received::Nothing };
    assert_eq!(whole.step(Event::Ended).map(|c| c.progress()), Ok(Progress::Whole));
}

/// Whatever happens to a client's connection: one request is open at most, its answer comes after it was taken, and no
/// lateness closes the connection meanwhile.
#[test]
fn a_client_s_connection_answers_what_it_took_once() {
    use life::inbound::{Event as InboundEvent, Inbound, OpenIds};
    let events = [
        InboundEvent::Bytes,
        InboundEvent::Taken,
        InboundEvent::TurnedAway,
        InboundEvent::Answered,
        InboundEvent::TimeUp,
        InboundEvent::Closed,
    ];
    let start = (Inbound::accepted(), false);
    let (mut seen, mut next) = (HashSet::from([start]), VecDeque::from([start]));
    while let Some((state, owed)) = next.pop_front() {
        for event in events {
            let Ok(to) = state.step(event) else { continue };
            assert!(!owed || !matches!(event, InboundEvent::Taken | InboundEvent::TurnedAway), "{state:?}");
            assert!(!owed || event != InboundEvent::TimeUp, "closed with a request open");
            assert!(owed || event != InboundEvent::Answered, "an answer to nothing: {state:?}");
            let owed = match event {
                InboundEvent::Taken => true,
                InboundEvent::Answered | InboundEvent::Closed => false,
                _ => owed,
            };
            assert_eq!(owed, to == Inbound::Open, "{state:?} {event:?}");
            if seen.insert((to, owed)) {
                next.push_back((to, owed));
            }
        }
    }
    let from_reached = |t: &&Transition| seen.iter().any(|(state, _)| state.name() == t.from);
    assert_eq!(tables::inbound().iter().filter(from_reached).count(), tables::inbound().len());
    assert_eq!(seen.len(), 6, "every state is reached, each in one way: {seen:?}");
    let mut ids = OpenIds::default();
    assert!(ids.enter("a") && !ids.enter("a") && ids.enter("b"));
    ids.leave(&"a");
    assert!(ids.enter("a") && !ids.enter("b"));
}

/// Whatever happens to a request, in any order: one answer, no two attempts out, nothing begun after the answer.
#[test]
fn a_request_has_one_answer_and_one_attempt_out_at_most() {
    #[derive(Clone, Copy, PartialEq, Eq, Hash)]
    struct Seen {
        life: Option<Request>,
        answered: bool,
        left: bool,
        out: bool,
        /// Events that were taken.
        taken: u8,
    }
    let start = Seen { life: Some(Request::taken()), answered: false, left: false, out: false, taken: 0 };
    let (mut seen, mut next, mut answers) = (HashSet::from([start]), VecDeque::from([start]), HashSet::new());
    while let Some(now) = next.pop_front() {
        let Some(life) = now.life.filter(|_| now.taken < 12) else { continue };
        let number = match life {
            Request::Waiting { attempts, .. } => attempts,
            Request::Out { number } | Request::Closing { number } => number,
        };
        for n in [number, number + 1] {
            let ends =
                [End::Served, End::TimedOut, End::Unserved].map(|end| RequestEvent::Ended { number: n, end });
            let others = [RequestEvent::Send, RequestEvent::Refuse, RequestEvent::Fail, RequestEvent::Left];
            for event in ends.into_iter().chain(others) {
                let Ok((to, effect)) = life.step(event) else { continue };
                let mut then = Seen { life: to, taken: now.taken + 1, ..now };
                match effect {
                    Effect::Answer(answer) => {
                        assert!(!now.answered && !now.left, "{life:?} {event:?}");
                        assert!(answer != Final::Refused || !now.out, "a refusal with an attempt out");
                        answers.insert(format!("{answer:?}"));
                        then.answered = true;
                    }
                    Effect::Begin { .. } => {
                        assert!(!now.out && !now.answered && !now.left, "{life:?} {event:?}");
                        then.out = true;
                    }
                    Effect::Stop { .. } => assert!(now.out),
                    Effect::None => {}
                }
                match event {
                    RequestEvent::Ended { .. } => {
                        assert!(now.out, "an end of an attempt that is not out: {life:?}");
                        then.out = false;
                    }
                    RequestEvent::Left => then.left = true,
                    _ => {}
                }
                assert!(to.is_some() || !then.out, "forgotten with an attempt out: {life:?} {event:?}");
                if seen.insert(then) {
                    next.push_back(then);
                }
            }
        }
    }
    assert_eq!(answers.len(), 4, "{answers:?}");
}

#[test]
fn an_attempt_is_certain_never_to_have_run_only_before_its_exchange_or_by_word_of_how_it_broke() {
    let exchanging = Attempt::Exchanging { kept: false };
    let certainty = |event| exchanging.step(event).map(|a| a.certainty());
    // Whatever ends it before its first byte is written leaves no doubt.
    let early = [
        Attempt::Decided,
        Attempt::Dialling,
        Attempt::Placed { kept: false },
        Attempt::Placed { kept: true },
    ];
    for (state, event) in
        early.iter().flat_map(|s| [AttemptEvent::TimedOut, AttemptEvent::CalledOff].map(|e| (s, e)))
    {
        assert_eq!(state.step(event).map(|a| a.certainty()), Ok(Certainty::Never), "{state:?} {event:?}");
    }
    assert_eq!(certainty(AttemptEvent::Broke(Progress::Unsent)), Ok(Certainty::Never));
    for event in [
        AttemptEvent::Broke(Progress::Partly),
        AttemptEvent::Broke(Progress::Whole),
        AttemptEvent::Broke(Progress::Spoilt),
        AttemptEvent::TimedOut,
        AttemptEvent::CalledOff,
    ] {
        assert_eq!(certainty(event), Ok(Certainty::Perhaps), "{event:?}");
    }
    // Only a kept connection on which nothing was written lets an attempt seek another.
    let kept = Attempt::Exchanging { kept: true };
    assert_eq!(kept.step(AttemptEvent::Broke(Progress::Unsent)), Ok(Attempt::Decided));
    assert!(kept.step(AttemptEvent::Broke(Progress::Partly)).is_ok_and(|a| a.outcome().is_some()));
}

#[test]
fn what_is_over_takes_no_event_and_an_illegal_one_names_itself() {
    let over = Attempt::Decided.step(AttemptEvent::CalledOff).expect("legal");
    let illegal = over.step(AttemptEvent::TimedOut).expect_err("over is over");
    assert_eq!(illegal.to_string(), "attempt: timed out is illegal in state over");
    let taken = Request::taken();
    assert!(taken.step(RequestEvent::Ended { number: 0, end: End::Unserved }).is_err());
    let out = Request::Out { number: 1 };
    assert!(out.step(RequestEvent::Fail).is_err());
    assert!(out.step(RequestEvent::Send).is_err());
    assert!(out.step(RequestEvent::Refuse).is_err());
    assert!(out.step(RequestEvent::Ended { number: 0, end: End::Served }).is_err());
}
