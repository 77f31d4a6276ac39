//! The one place where the decisions are asked: events go in, effects come out and are carried out. The table of
//! requests and what is allowed to happen to them are the core's (package `life`); this holds what the core's effects
//! need to be carried out.

use crate::back::backends::{Answer, AttemptResult, Backends, Message};
use crate::clock::{Clock, to_duration, to_millis};
use crate::faults::{self, Fault};
use crate::lifecycle;
use crate::task::spawn;
use doorcourse::{
    Action, Arrival, Event, Gateway, Millis, Name, Outcome, RequestId, SendCounts, Settings, SettingsError,
};
use fennelscale_quota::Partition;
use life::core::{Answered, Core, Effect, Ended};
use life::request::Final;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A counter call is given up after so many of the settings' time-outs. Guards the quotas against a counter that is
/// merely slow: it answers all the same, and a block whose call was given up is spent by nobody. No request waits as
/// long: the decisions bound that by its aim.
const COUNTER_PATIENCE: u32 = 4;

/// How the end of a counter call is told: the count's name, how it ended, how long it took.
pub type CounterReplyHandler = dyn Fn(u64, doorcourse::CountOutcome, Millis);

/// The host's side of the shared counters. Whoever makes it reports how each of its calls outcome_counts.
pub trait CounterClient {
    /// What the decisions have to know of them.
    fn partition(&self) -> Partition;
    /// Makes a call; its end is reported later or, with nobody to call, at once.
    fn add(&self, counter: usize, name: u64, amount: f64, keep: Millis);
}

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

/// What is kept for a request until its final answer.
struct PendingRequest {
    message: Message,
    until: Instant,
    reply: oneshot::Sender<Reply>,
}

/// Runs the decisions.
pub struct Engine {
    clock: Clock,
    backends: Rc<Backends>,
    counters: Option<Rc<dyn CounterClient>>,
    core: RefCell<Core<PendingRequest>>,
    /// How to stop the attempts that are out.
    cancellations: RefCell<HashMap<RequestId, oneshot::Sender<()>>>,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    /// How many attempts ended in each way, for metrics.
    outcome_counts: RefCell<HashMap<Outcome, u64>>,
    me: Weak<Self>,
}

impl Engine {
    /// An engine with nothing to do yet. Counters, if there are any, are made by `counters` of the longest time that a call
    /// may take and of whom to report its end to.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn start(
        settings: Settings, seed: u64, backends: Rc<Backends>,
        counters: Option<impl FnOnce(Duration, Rc<CounterReplyHandler>) -> Rc<dyn CounterClient>>,
    ) -> Result<Rc<Self>, SettingsError> {
        let patience = to_duration(settings.counter_timeout) * COUNTER_PATIENCE;
        let gateway = Gateway::new(settings, seed)?;
        let core = Core::new(gateway);
        let engine = Rc::new_cyclic(|me: &Weak<Self>| {
            let to = me.clone();
            let counters = counters.map(|counters| {
                let report = move |name, outcome, latency| {
                    if let Some(engine) = to.upgrade() {
                        engine.post(Event::CounterReply { key: name, outcome, latency });
                    }
                };
                counters(patience, Rc::new(report))
            });
            Self {
                clock: Clock::from_system_time(),
                backends,
                counters,
                core: RefCell::new(core),
                cancellations: RefCell::default(),
                events: RefCell::default(),
                running: Cell::new(false),
                outcome_counts: RefCell::default(),
                me: me.clone(),
            }
        });
        engine.update_counter_partition();
        Ok(engine)
    }

    /// Has the decisions know which counters there are, where there can be more than one.
    pub fn update_counter_partition(&self) {
        // Where there is only ever one, nothing is to be told.
        let partition = self.counters.as_ref().map(|counters| counters.partition());
        if let Some(partition) = partition.filter(|p| p.addresses().len() > 1) {
            self.post(Event::CounterPartition(partition));
        }
    }

    /// The time by the clock of the decisions.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Takes in a request; the reply comes once, unless the client leaves first.
    pub fn submit(
        &self, arrival: impl FnOnce(RequestId) -> Arrival, message: Message, until: Instant,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, receiver) = oneshot::channel();
        let pending = PendingRequest { message, until, reply };
        let id = self.run(None, |core, now, out, answers| core.open(now, arrival, pending, out, answers));
        (id, receiver)
    }

    /// The client is gone: nothing is owed to it any more, and what is out for it is given up.
    pub fn client_disconnected(&self, id: RequestId) {
        self.run(None, |core, now, out, answers| core.client_left(now, id, out, answers));
    }

    /// No more requests come: what is pending of the quotas goes back. Takes effect within the time given.
    pub async fn return_units(&self, time: Duration) {
        self.post(Event::ShuttingDown);
        tokio::time::sleep(time).await;
    }

    /// How many requests wait for their final answer.
    pub fn pending_requests(&self) -> usize {
        self.core.borrow().open_requests()
    }

    /// How many requests were sent, by what was known of their backends.
    pub fn send_counts(&self) -> SendCounts {
        self.core.borrow().gateway().send_counts()
    }

    /// How many attempts ended in each way.
    pub fn outcome_counts(&self) -> HashMap<Outcome, u64> {
        self.outcome_counts.borrow().clone()
    }

    /// How many attempts ended in this way.
    pub fn outcome_count(&self, outcome: Outcome) -> u64 {
        self.outcome_counts.borrow().get(&outcome).copied().unwrap_or_default()
    }

    /// Requests that are pending because no backend may be sent one.
    pub fn queued(&self) -> usize {
        self.core.borrow().gateway().queued()
    }

    /// Takes in an event. What it leads to may bring further events at once; these wait in line, so the
    /// decisions are never asked while they are being carried out.
    pub fn post(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if !self.running.get() {
            self.run(None, |_, _, _, _| ());
        }
    }

    /// Has the core take something in, and carries out what that and the events in line lead to.
    fn run<T>(
        &self, served: Option<Answer>,
        deed: impl FnOnce(
            &mut Core<PendingRequest>,
            Millis,
            &mut Vec<Effect>,
            &mut Vec<Answered<PendingRequest>>,
        ) -> T,
    ) -> T {
        let (mut effects, mut answers) = (Vec::new(), Vec::new());
        let done = deed(&mut self.core.borrow_mut(), self.clock.now(), &mut effects, &mut answers);
        self.running.set(true);
        self.carry_out(&mut effects, &mut answers, served);
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            self.core.borrow_mut().handle(self.clock.now(), event, &mut effects, &mut answers);
            self.carry_out(&mut effects, &mut answers, None);
        }
        self.running.set(false);
        done
    }

    fn carry_out(
        &self, effects: &mut Vec<Effect>, answers: &mut Vec<Answered<PendingRequest>>,
        mut served: Option<Answer>,
    ) {
        for Answered { answer, retry_after, kept, .. } in answers.drain(..) {
            let reply = match answer {
                Final::Served => served.take().map_or(Reply::Failed(false), Reply::Served),
                Final::Refused => Reply::Refused(retry_after),
                Final::Failed { .. } if faults::is_active(Fault::RefuseInDoubt) => Reply::Refused(0.0),
                Final::Failed { timed_out } => Reply::Failed(timed_out),
            };
            let _ = kept.reply.send(reply);
        }
        for effect in effects.drain(..) {
            match effect {
                Effect::Begin { id, number, backend, timeout, write_by } => {
                    self.begin(id, number, backend, timeout, write_by);
                }
                Effect::Stop { id } => {
                    if let Some(stop) = self.cancellations.borrow_mut().remove(&id) {
                        let _ = stop.send(());
                    }
                }
                Effect::Other(action) => self.perform(action),
            }
        }
        self.core.borrow_mut().take_illegal().into_iter().for_each(lifecycle::report_illegal_transition);
    }

    fn perform(&self, action: Action) {
        match action {
            Action::SetTimer { after, token } => {
                let (due, me) = (Instant::now() + to_duration(after), self.me.clone());
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
                    let AttemptResult { outcome, load, .. } = backends.probe(&backend).await;
                    if let Some(engine) = me.upgrade() {
                        let latency = to_millis(begun.elapsed());
                        engine.post(Event::ProbeEnded { backend, outcome, latency, load });
                    }
                });
            }
            Action::AddToCounter { counter, key: name, amount, ttl: keep } => match &self.counters {
                Some(counters) => counters.add(counter, name, amount, keep),
                None => self.post(Event::CounterReply {
                    key: name,
                    outcome: doorcourse::CountOutcome::NotAdded,
                    latency: 0.0,
                }),
            },
            Action::Log(text) => eprintln!("{text}"),
            // No peers to tell here, and the list is watched all the time. What concerns requests is the core's.
            Action::Broadcast { .. }
            | Action::WatchBackends
            | Action::Send { .. }
            | Action::Refuse { .. }
            | Action::Fail { .. }
            | Action::CancelAttempt { .. } => {}
        }
    }

    fn begin(
        &self, id: RequestId, number: u32, backend: Name, timeout: Option<Millis>, write_by: Option<Millis>,
    ) {
        let begun = Instant::now();
        let (message, until) = {
            let core = self.core.borrow();
            let Some(pending) = core.kept(id) else {
                // Its client left in the moment of the decision: it is not sent, and its end is told as ever.
                drop(core);
                return self.ended(id, number, backend, Outcome::NeverSent.into(), 0.0);
            };
            (
                pending.message.clone(),
                timeout.map_or(pending.until, |t| pending.until.min(begun + to_duration(t))),
            )
        };
        let write_by = write_by.map(|left| begun + to_duration(left));
        let (stop, stopped) = oneshot::channel();
        self.cancellations.borrow_mut().insert(id, stop);
        let (backends, me) = (self.backends.clone(), self.me.clone());
        if faults::affects(Fault::SecondCopy, id) {
            let (message, backends, backend) = (message.clone(), backends.clone(), backend.clone());
            spawn(async move {
                let (_never, stopped) = oneshot::channel();
                backends.attempt(&backend, message, until, None, stopped).await;
            });
        }
        spawn(async move {
            let to = faults::alter_backend(&backend, &message.method);
            let end = backends.attempt(&to, message, until, write_by, stopped).await;
            if let Some(engine) = me.upgrade() {
                engine.ended(id, number, backend, end, to_millis(begun.elapsed()));
            }
        });
    }

    fn ended(&self, id: RequestId, number: u32, backend: Name, end: AttemptResult, latency: Millis) {
        let AttemptResult { outcome, answer, load } = end;
        let outcome = faults::alter_outcome(outcome);
        self.cancellations.borrow_mut().remove(&id);
        *self.outcome_counts.borrow_mut().entry(outcome).or_default() += 1;
        let ended = Ended { id, number, backend, outcome, latency, load };
        self.run(answer, |core, now, out, answers| core.attempt_ended(now, ended, out, answers));
    }
}
