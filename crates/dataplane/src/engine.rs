//! Runs the decision module: passes events to it and performs the resulting effects. The core (package
//! `life`) owns the table of requests and the rules for their state changes; the engine holds what is needed
//! to perform its effects.

use crate::back::backends::{Answer, AttemptResult, Backends, Message};
use crate::clock::{Clock, to_millis};
use crate::faults::{self, Fault};
use crate::lifecycle;
use crate::task::spawn;
use doorcourse::{
    Action, Arrival, Event, Gateway, Millis, Name, Outcome, RequestId, SendCounts, Settings, SettingsError,
};
use fennelscale_log_writer::log_line;
use fennelscale_quota::Partition;
use fennelscale_time::{Later, from_millis};
use life::core::{Answered, Core, Effect, Ended};
use life::request::Final;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A counter call is abandoned after this multiple of the configured timeout. A counter that is merely slow
/// still adds the units, and nobody can spend a lease whose call was abandoned. Requests do not wait that
/// long: the decision module bounds their wait by the target latency.
const COUNTER_TIMEOUT_FACTOR: u32 = 4;

/// Receives the result of a counter call: the counter key, the outcome and the latency.
pub type CounterReplyHandler = dyn Fn(u64, doorcourse::CountOutcome, Millis);

/// Client of the shared counters. An implementation reports the result of each call to a
/// [`CounterReplyHandler`].
pub trait CounterClient {
    /// How keys are divided among the counters.
    fn partition(&self) -> Partition;
    /// Starts a call. Its result is reported later, or at once if there is no counter to call.
    fn add(&self, counter: usize, key: u64, amount: f64, ttl: Millis);
}

/// The final answer of a request.
#[derive(Debug)]
pub enum Reply {
    /// A backend's answer.
    Served(Answer),
    /// Not executed; a retry is harmless and best made after this many ms.
    Refused(Millis),
    /// The request may have been executed. True if the last attempt timed out.
    Failed(bool),
}

/// Data of a request until its final answer.
struct PendingRequest {
    message: Message,
    until: Instant,
    reply: oneshot::Sender<Reply>,
}

/// Runs the decision module with its timers, attempts and counter calls.
pub struct Engine {
    clock: Clock,
    backends: Rc<Backends>,
    counters: Option<Rc<dyn CounterClient>>,
    core: RefCell<Core<PendingRequest>>,
    /// Cancellation signals of the attempts in flight.
    cancellations: RefCell<HashMap<RequestId, oneshot::Sender<()>>>,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    /// Number of ended attempts by outcome, for metrics.
    outcome_counts: RefCell<HashMap<Outcome, u64>>,
    me: Weak<Self>,
}

impl Engine {
    /// Creates an engine. If there are counters, `counters` creates their client from the time limit of a
    /// call and the handler of its result.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn start(
        settings: Settings, seed: u64, backends: Rc<Backends>,
        counters: Option<impl FnOnce(Duration, Rc<CounterReplyHandler>) -> Rc<dyn CounterClient>>,
    ) -> Result<Rc<Self>, SettingsError> {
        let call_timeout = from_millis(settings.counter_timeout) * COUNTER_TIMEOUT_FACTOR;
        let gateway = Gateway::new(settings, seed)?;
        let core = Core::new(gateway);
        let engine = Rc::new_cyclic(|me: &Weak<Self>| {
            let weak = me.clone();
            let counters = counters.map(|counters| {
                let report = move |key, outcome, latency| {
                    if let Some(engine) = weak.upgrade() {
                        engine.post(Event::CounterReply { key, outcome, latency });
                    }
                };
                counters(call_timeout, Rc::new(report))
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

    /// Reports the partition of the counters to the decision module if there is more than one counter.
    pub fn update_counter_partition(&self) {
        // A single counter needs no partition.
        let partition = self.counters.as_ref().map(|counters| counters.partition());
        if let Some(partition) = partition.filter(|p| p.addresses().len() > 1) {
            self.post(Event::CounterPartition(partition));
        }
    }

    /// The time on the decision module's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Submits a request. One reply is sent, unless the client disconnects first.
    pub fn submit(
        &self, arrival: impl FnOnce(RequestId) -> Arrival, message: Message, until: Instant,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, receiver) = oneshot::channel();
        let pending = PendingRequest { message, until, reply };
        let id = self.run(None, |core, now, out, answers| core.open(now, arrival, pending, out, answers));
        (id, receiver)
    }

    /// Reports that the client disconnected: its request gets no answer and its attempts are cancelled.
    pub fn client_disconnected(&self, id: RequestId) {
        self.run(None, |core, now, out, answers| core.client_left(now, id, out, answers));
    }

    /// Returns the leased quota units, as no more requests will come; waits `time` for that to take effect.
    pub async fn return_units(&self, time: Duration) {
        self.post(Event::ShuttingDown);
        tokio::time::sleep(time).await;
    }

    /// Number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.core.borrow().open_requests()
    }

    /// Number of requests sent, by what was known of their backends.
    pub fn send_counts(&self) -> SendCounts {
        self.core.borrow().gateway().send_counts()
    }

    /// Number of ended attempts by outcome.
    pub fn outcome_counts(&self) -> HashMap<Outcome, u64> {
        self.outcome_counts.borrow().clone()
    }

    /// Number of attempts that ended with this outcome.
    pub fn outcome_count(&self, outcome: Outcome) -> u64 {
        self.outcome_counts.borrow().get(&outcome).copied().unwrap_or_default()
    }

    /// Number of requests queued because no backend may receive them now.
    pub fn queued(&self) -> usize {
        self.core.borrow().gateway().queued()
    }

    /// Handles an event. Events that arise while its effects are performed are queued, so the decision module
    /// is never re-entered.
    pub fn post(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if !self.running.get() {
            self.run(None, |_, _, _, _| ());
        }
    }

    /// Applies `operation` to the core, then performs the effects of it and of the queued events.
    fn run<T>(
        &self, served: Option<Answer>,
        operation: impl FnOnce(
            &mut Core<PendingRequest>,
            Millis,
            &mut Vec<Effect>,
            &mut Vec<Answered<PendingRequest>>,
        ) -> T,
    ) -> T {
        let (mut effects, mut answers) = (Vec::new(), Vec::new());
        let result = operation(&mut self.core.borrow_mut(), self.clock.now(), &mut effects, &mut answers);
        self.running.set(true);
        self.perform_effects(&mut effects, &mut answers, served);
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            self.core.borrow_mut().handle(self.clock.now(), event, &mut effects, &mut answers);
            self.perform_effects(&mut effects, &mut answers, None);
        }
        self.running.set(false);
        result
    }

    fn perform_effects(
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
                    self.start_attempt(id, number, backend, timeout, write_by);
                }
                Effect::Stop { id } => {
                    if let Some(cancel) = self.cancellations.borrow_mut().remove(&id) {
                        let _ = cancel.send(());
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
                let (deadline, me) = (Instant::now().later_by(from_millis(after)), self.me.clone());
                spawn(async move {
                    tokio::time::sleep_until(deadline).await;
                    if let Some(engine) = me.upgrade() {
                        engine.post(Event::Timer { token });
                    }
                });
            }
            Action::Probe { backend } => {
                let (backends, me, started_at) = (self.backends.clone(), self.me.clone(), Instant::now());
                spawn(async move {
                    let AttemptResult { outcome, load, .. } = backends.probe(&backend).await;
                    if let Some(engine) = me.upgrade() {
                        let latency = to_millis(started_at.elapsed());
                        engine.post(Event::ProbeEnded { backend, outcome, latency, load });
                    }
                });
            }
            Action::AddToCounter { counter, key, amount, ttl } => match &self.counters {
                Some(counters) => counters.add(counter, key, amount, ttl),
                None => self.post(Event::CounterReply {
                    key,
                    outcome: doorcourse::CountOutcome::NotAdded,
                    latency: 0.0,
                }),
            },
            Action::Log(text) => log_line!("{text}"),
            // There are no peers, the backend list is always watched, and the core handles the effects on
            // requests.
            Action::Broadcast { .. }
            | Action::WatchBackends
            | Action::Send { .. }
            | Action::Refuse { .. }
            | Action::Fail { .. }
            | Action::CancelAttempt { .. } => {}
        }
    }

    fn start_attempt(
        &self, id: RequestId, number: u32, backend: Name, timeout: Option<Millis>, write_by: Option<Millis>,
    ) {
        let started_at = Instant::now();
        let (message, until) = {
            let core = self.core.borrow();
            let Some(pending) = core.kept(id) else {
                // The client disconnected while the decision was made: nothing is sent, and the end is
                // reported.
                drop(core);
                return self.attempt_ended(id, number, backend, Outcome::NeverSent.into(), 0.0);
            };
            (
                pending.message.clone(),
                timeout.map_or(pending.until, |t| pending.until.min(started_at.later_by(from_millis(t)))),
            )
        };
        let write_by = write_by.map(|remaining| started_at.later_by(from_millis(remaining)));
        let (cancel, cancelled) = oneshot::channel();
        self.cancellations.borrow_mut().insert(id, cancel);
        let (backends, me) = (self.backends.clone(), self.me.clone());
        if faults::affects(Fault::SecondCopy, id) {
            let (message, backends, backend) = (message.clone(), backends.clone(), backend.clone());
            spawn(async move {
                let (_never_sent, cancelled) = oneshot::channel();
                backends.attempt(&backend, message, until, None, cancelled).await;
            });
        }
        spawn(async move {
            let target = faults::alter_backend(&backend, &message.method);
            let end = backends.attempt(&target, message, until, write_by, cancelled).await;
            if let Some(engine) = me.upgrade() {
                engine.attempt_ended(id, number, backend, end, to_millis(started_at.elapsed()));
            }
        });
    }

    fn attempt_ended(&self, id: RequestId, number: u32, backend: Name, end: AttemptResult, latency: Millis) {
        let AttemptResult { outcome, answer, load } = end;
        let outcome = faults::alter_outcome(outcome);
        self.cancellations.borrow_mut().remove(&id);
        *self.outcome_counts.borrow_mut().entry(outcome).or_default() += 1;
        let ended = Ended { id, number, backend, outcome, latency, load };
        self.run(answer, |core, now, out, answers| core.attempt_ended(now, ended, out, answers));
    }
}
