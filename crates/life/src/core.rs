//! The decision module and the table of requests around it: events go in, effects come out.
//!
//! This is all of the gateway's engine but its sockets and clock. The host carries out the effects and owes one
//! [`Core::attempt_ended`] for each [`Effect::Begin`].

use crate::request::{self, End, Final, Request};
use crate::{Illegal, Named};
use doorcourse::{Action, Arrival, AttemptEnd, Event, Gateway, LoadReport, Millis, Name, Outcome, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Begin an attempt.
    Begin {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        number: u32,
        /// Where to.
        backend: Name,
        /// Its time-out; none until the client gives up.
        timeout: Option<Millis>,
        /// Its last byte must be written within this, or it must not be sent.
        write_by: Option<Millis>,
    },
    /// Stop an attempt. Its end is still owed.
    Stop {
        /// The request.
        id: RequestId,
    },
    /// Whatever else the decisions want, which concerns no request.
    Other(Action),
}

/// A request's one final answer and what the host kept for it.
#[derive(Debug)]
pub struct Answered<P> {
    /// The request.
    pub id: RequestId,
    /// The answer.
    pub answer: Final,
    /// How long the client should wait, where it was refused.
    pub retry_after: Millis,
    /// What the host kept for it.
    pub kept: P,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub number: u32,
    /// Where it was sent.
    pub backend: Name,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was out.
    pub latency: Millis,
    /// A load report that came along.
    pub load: Option<LoadReport>,
}

#[derive(Clone, Debug, Hash)]
struct Entry<P> {
    life: Request,
    /// Gone once the final answer is given or the client has left.
    kept: Option<P>,
}

/// Hears of each step of a request's life.
pub trait Observer {
    /// A step was taken; `next` is none when the request is over.
    fn stepped(&mut self, state: Request, event: request::Event, next: Option<Request>);
}

/// Hears nothing.
impl Observer for () {
    fn stepped(&mut self, _: Request, _: request::Event, _: Option<Request>) {}
}

/// The decisions and the requests that they have not done with.
#[derive(Clone, Debug)]
pub struct Core<P, O = ()> {
    gateway: Gateway,
    requests: BTreeMap<RequestId, Entry<P>>,
    last: RequestId,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    illegal: Vec<Illegal>,
    observer: O,
}

impl<P: Hash, O> Hash for Core<P, O> {
    /// The state between two calls; what is under way within one is empty then. The observer is no part of it.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Self { gateway, requests, last, events: _, actions: _, illegal, observer: _ } = self;
        (gateway, requests, last, illegal).hash(state);
    }
}

impl<P> Core<P> {
    /// A core around decisions that have heard nothing yet.
    pub fn new(gateway: Gateway) -> Self {
        Self::observed(gateway, ())
    }
}

impl<P, O: Observer> Core<P, O> {
    /// The same with somebody who hears of each step.
    pub fn observed(gateway: Gateway, observer: O) -> Self {
        Self {
            gateway,
            requests: BTreeMap::new(),
            last: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            illegal: Vec::new(),
            observer,
        }
    }

    /// Who hears of each step.
    pub fn observer(&mut self) -> &mut O {
        &mut self.observer
    }

    /// The decisions.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// What the host keeps for a request that is owed an answer.
    pub fn kept(&self, id: RequestId) -> Option<&P> {
        self.requests.get(&id)?.kept.as_ref()
    }

    /// Requests that are owed an answer. Looks at all: for the end of a run, not for each request.
    pub fn open_requests(&self) -> usize {
        self.requests.values().filter(|entry| entry.kept.is_some()).count()
    }

    /// Requests in the table, with those that only wait for the end of an attempt.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Illegal events since the last call. There should be none.
    pub fn take_illegal(&mut self) -> Vec<Illegal> {
        std::mem::take(&mut self.illegal)
    }

    /// Takes in a request.
    pub fn open(
        &mut self, now: Millis, arrival: impl FnOnce(RequestId) -> Arrival, kept: P, out: &mut Vec<Effect>,
        answers: &mut Vec<Answered<P>>,
    ) -> RequestId {
        self.last += 1;
        let id = self.last;
        self.requests.insert(id, Entry { life: Request::taken(), kept: Some(kept) });
        self.handle(now, Event::Request(arrival(id)), out, answers);
        id
    }

    /// Nothing is owed to a request's client any more.
    pub fn client_left(
        &mut self, now: Millis, id: RequestId, out: &mut Vec<Effect>, answers: &mut Vec<Answered<P>>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let was_open = entry.kept.take().is_some();
        self.step(id, request::Event::Left, 0.0, out, answers);
        if was_open {
            self.handle(now, Event::ClientDisconnected { id }, out, answers);
        }
    }

    /// An attempt that was begun has ended. If it was served, the answer is given before anything else.
    pub fn attempt_ended(
        &mut self, now: Millis, ended: Ended, out: &mut Vec<Effect>, answers: &mut Vec<Answered<P>>,
    ) {
        let Ended { id, number, backend, outcome, latency, load } = ended;
        let end = match outcome {
            Outcome::Served => End::Served,
            Outcome::TimedOut => End::TimedOut,
            _ => End::Unserved,
        };
        self.step(id, request::Event::Ended { number, end }, 0.0, out, answers);
        let finished = self.kept(id).is_none();
        let (attempt, true_units) = (number, None);
        let end =
            AttemptEnd { id, attempt, backend, outcome, latency, actual_units: true_units, finished, load };
        self.handle(now, Event::AttemptEnded(end), out, answers);
    }

    /// Takes in an event, and all that it leads to at once.
    pub fn handle(
        &mut self, now: Millis, event: Event, out: &mut Vec<Effect>, answers: &mut Vec<Answered<P>>,
    ) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action, out, answers);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Effect>, answers: &mut Vec<Answered<P>>) {
        match action {
            Action::Send { id, backend, timeout, write_by } => {
                let sent = self.step(id, request::Event::Send, 0.0, out, answers);
                if let Some(request::Effect::Begin { number }) = sent {
                    out.push(Effect::Begin { id, number, backend, timeout, write_by });
                } else {
                    // A request that is over, or still has an attempt out, is not sent; an end is owed all the same.
                    let finished = self.kept(id).is_none();
                    self.events.push_back(Event::AttemptEnded(AttemptEnd {
                        id,
                        attempt: 0,
                        backend,
                        outcome: Outcome::NeverSent,
                        latency: 0.0,
                        actual_units: None,
                        finished,
                        load: None,
                    }));
                }
            }
            Action::Refuse { id, retry_after } => {
                self.step(id, request::Event::Refuse, retry_after, out, answers);
            }
            Action::Fail { id } => {
                self.step(id, request::Event::Fail, 0.0, out, answers);
            }
            other => out.push(Effect::Other(other)),
        }
    }

    /// Moves a request on and does what follows, but for the beginning of an attempt, which is the caller's: only it knows
    /// where to. None if the step was illegal.
    fn step(
        &mut self, id: RequestId, event: request::Event, retry_after: Millis, out: &mut Vec<Effect>,
        answers: &mut Vec<Answered<P>>,
    ) -> Option<request::Effect> {
        let Some(entry) = self.requests.get_mut(&id) else {
            self.illegal.push(Illegal { machine: "request", state: "over", event: event.name() });
            return None;
        };
        let (next, effect) = match entry.life.step(event) {
            Ok(step) => step,
            Err(illegal) => {
                self.illegal.push(illegal);
                return None;
            }
        };
        self.observer.stepped(entry.life, event, next);
        match effect {
            request::Effect::None | request::Effect::Begin { .. } => {}
            request::Effect::Stop { .. } => out.push(Effect::Stop { id }),
            // Whoever takes out what was kept owns the reply: there is no other.
            request::Effect::Answer(answer) => {
                if let Some(kept) = entry.kept.take() {
                    answers.push(Answered { id, answer, retry_after, kept });
                }
            }
        }
        match next {
            Some(life) => entry.life = life,
            None => {
                self.requests.remove(&id);
            }
        }
        Some(effect)
    }
}
