//! The one place where the decisions are asked: events go in, actions come out and are carried out. It owns
//! the tables of requests that have no final answer yet and of attempts that are out.

use crate::backends::{Answer, Backends, End, Message};
use crate::clock::{Clock, millis, span};
use crate::counter::Counter;
use crate::faults::{self, Fault};
use crate::task::spawn;
use doorcourse::{
    Action, Arrival, AttemptEnd, Event, Gateway, Millis, Name, Outcome, RequestId, Settings, SettingsError,
};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A counter call is given up after so many of the settings' time-outs. Guards the quotas against a counter that is
/// merely slow: it answers all the same, and a block whose call was given up is spent by nobody. No request waits as
/// long: the decisions bound that by its aim.
const COUNTER_PATIENCE: u32 = 4;

/// The final answer of a request.
#[derive(Debug)]
pub enum Reply {
    /// What a backend answered.
    Served(Answer),
    /// Harmless to try again, best after this time.
    Refused(Millis),
    /// No promise; true when the last attempt got no answer in time.
    Failed(bool),
}

/// A request without a final answer.
struct Open {
    message: Message,
    until: Instant,
    reply: oneshot::Sender<Reply>,
    attempts: u32,
    timed_out: bool,
}

/// An attempt without an end.
struct Out {
    number: u32,
    call_off: Option<oneshot::Sender<()>>,
}

struct State {
    gateway: Gateway,
    open: HashMap<RequestId, Open>,
    out: HashMap<RequestId, Out>,
    last: RequestId,
}

/// Runs the decisions.
pub struct Engine {
    clock: Clock,
    backends: Rc<Backends>,
    counter: Option<Counter>,
    state: RefCell<State>,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    me: Weak<Self>,
}

impl Engine {
    /// An engine with nothing to do yet.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn start(
        settings: Settings, seed: u64, backends: Rc<Backends>, counter: Option<SocketAddr>,
    ) -> Result<Rc<Self>, SettingsError> {
        let patience = span(settings.counter_timeout) * COUNTER_PATIENCE;
        let gateway = Gateway::new(settings, seed)?;
        let state = State { gateway, open: HashMap::new(), out: HashMap::new(), last: 0 };
        Ok(Rc::new_cyclic(|me: &Weak<Self>| {
            let to = me.clone();
            let counter = counter.map(|address| {
                let report = move |name, outcome, latency| {
                    if let Some(engine) = to.upgrade() {
                        engine.post(Event::Counted { name, outcome, latency });
                    }
                };
                Counter::start(address, patience, Rc::new(report))
            });
            Self {
                clock: Clock::anchored(),
                backends,
                counter,
                state: RefCell::new(state),
                events: RefCell::default(),
                running: Cell::new(false),
                me: me.clone(),
            }
        }))
    }

    /// The counter is elsewhere from now on.
    pub fn move_counter(&self, address: SocketAddr) {
        if let Some(counter) = &self.counter {
            counter.move_to(address);
        }
    }

    /// Takes in a request; the reply comes once, unless the client leaves first.
    pub fn open(
        &self, arrival: impl FnOnce(RequestId) -> Arrival, message: Message, until: Instant,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            state.last += 1;
            let id = state.last;
            state.open.insert(id, Open { message, until, reply, attempts: 0, timed_out: false });
            id
        };
        self.post(Event::Request(arrival(id)));
        (id, receiver)
    }

    /// The client is gone: nothing is owed to it any more, and what is out for it is given up.
    pub fn client_left(&self, id: RequestId) {
        let left = {
            let mut state = self.state.borrow_mut();
            if let Some(call_off) = state.out.get_mut(&id).and_then(|out| out.call_off.take()) {
                let _ = call_off.send(());
            }
            state.open.remove(&id).is_some()
        };
        if left {
            self.post(Event::ClientLeft { id });
        }
    }

    /// No more requests come: what is held of the quotas goes back. Takes effect within the time given.
    pub async fn hand_back(&self, time: Duration) {
        self.post(Event::Ending);
        tokio::time::sleep(time).await;
    }

    /// How many requests wait for their final answer.
    pub fn waiting(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Takes in an event. What it leads to may bring further events at once; these wait in line, so the
    /// decisions are never asked while they are being carried out.
    pub fn post(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.running.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            self.state.borrow_mut().gateway.handle(self.clock.now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.perform(action));
        }
        self.running.set(false);
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { id, backend, timeout } => self.send(id, backend, timeout),
            Action::Refuse { id, retry_after } => self.finish(id, |_| Reply::Refused(retry_after)),
            Action::Fail { id } if faults::on(Fault::RefuseInDoubt) => {
                self.finish(id, |_| Reply::Refused(0.0))
            }
            Action::Fail { id } => self.finish(id, |open| Reply::Failed(open.timed_out)),
            Action::CallOff { id, attempt } => {
                let mut state = self.state.borrow_mut();
                let out = state.out.get_mut(&id).filter(|out| out.number == attempt);
                if let Some(call_off) = out.and_then(|out| out.call_off.take()) {
                    let _ = call_off.send(());
                }
            }
            Action::SetTimer { after, token } => {
                let (due, me) = (Instant::now() + span(after), self.me.clone());
                spawn(async move {
                    tokio::time::sleep_until(due).await;
                    if let Some(engine) = me.upgrade() {
                        engine.post(Event::Timer { token });
                    }
                });
            }
            Action::Probe { backend } => {
                let (backends, me, begun) = (self.backends.clone(), self.me.clone(), Instant::now());
                spawn(async move {
                    let End { outcome, load, .. } = backends.probe(&backend).await;
                    if let Some(engine) = me.upgrade() {
                        let latency = millis(begun.elapsed());
                        engine.post(Event::ProbeEnded { backend, outcome, latency, load });
                    }
                });
            }
            Action::Count { name, amount, keep } => match &self.counter {
                Some(counter) => counter.add(name, amount, keep),
                None => self.post(Event::Counted {
                    name,
                    outcome: doorcourse::CountOutcome::NotAdded,
                    latency: 0.0,
                }),
            },
            Action::Log(text) => eprintln!("{text}"),
            // No peers to tell here, and the list is watched all the time.
            Action::Tell { .. } | Action::WatchBackends => {}
        }
    }

    /// The final answer. Whoever takes the request out of the table owns its reply: there is no other.
    fn finish(&self, id: RequestId, reply: impl FnOnce(&Open) -> Reply) {
        let Some(open) = self.state.borrow_mut().open.remove(&id) else { return };
        let reply = reply(&open);
        let _ = open.reply.send(reply);
    }

    fn send(&self, id: RequestId, backend: Name, timeout: Option<Millis>) {
        let mut state = self.state.borrow_mut();
        let State { open, out, .. } = &mut *state;
        // A request that is over, or still has an attempt out, is not sent; an end is owed all the same.
        let free = open.get_mut(&id).filter(|_| !out.contains_key(&id));
        let Some(request) = free else {
            let finished = !open.contains_key(&id);
            return self.post(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 0,
                backend,
                outcome: Outcome::NeverSent,
                latency: 0.0,
                true_units: None,
                finished,
                load: None,
            }));
        };
        let (number, begun) = (request.attempts, Instant::now());
        request.attempts += 1;
        let until = timeout.map_or(request.until, |t| request.until.min(begun + span(t)));
        let (call_off, called_off) = oneshot::channel();
        out.insert(id, Out { number, call_off: Some(call_off) });
        let (message, backends, me) = (request.message.clone(), self.backends.clone(), self.me.clone());
        if faults::strikes(Fault::SecondCopy, id) {
            let (message, backends, backend) = (message.clone(), backends.clone(), backend.clone());
            spawn(async move {
                let (_never, called_off) = oneshot::channel();
                backends.attempt(&backend, message, until, called_off).await;
            });
        }
        spawn(async move {
            let to = faults::backend(&backend, &message.method);
            let end = backends.attempt(&to, message, until, called_off).await;
            if let Some(engine) = me.upgrade() {
                engine.ended(id, number, backend, end, millis(begun.elapsed()));
            }
        });
    }

    fn ended(&self, id: RequestId, attempt: u32, backend: Name, end: End, latency: Millis) {
        let End { outcome, answer, load } = end;
        let outcome = faults::outcome(outcome);
        self.state.borrow_mut().out.remove(&id);
        if let Some(answer) = answer {
            self.finish(id, |_| Reply::Served(answer));
        }
        let finished = {
            let mut state = self.state.borrow_mut();
            let open = state.open.get_mut(&id);
            open.map(|open| open.timed_out = outcome == Outcome::TimedOut).is_none()
        };
        let true_units = None;
        self.post(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            backend,
            outcome,
            latency,
            true_units,
            finished,
            load,
        }));
    }
}
