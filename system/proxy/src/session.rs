//! The session with a registry: one at a time, with the nearest that answers. It brings updates, and quota
//! units are requested over it.
//!
//! # Invariants
//!
//! - A session does not wait behind the requests of clients: the caller polls [`run`] between batches of other
//!   tasks, and the session polls its reader and its writer itself. Otherwise many connections would delay
//!   heartbeats until the registry gives the session up, and updates with them.
//! - A registry counts as silent only if no byte has arrived for [`SESSION_TIMEOUT`] and none is waiting to be
//!   read. A message that takes longer to arrive than that is not silence.

use crate::proxy::Proxy;
use crate::registry_choice::RegistryChoice;
use crate::session_counts::SessionEnd;
use fennelscale_host::link::{self, Reader, Writer, split_with_write_task};
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyToRegistry, RegistryToProxy};
use fennelscale_node_settings::Port;
use fennelscale_time::Later;
use std::future::pending;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Interval of the heartbeats of the session.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A registry that sends nothing for this long counts as failed.
const SESSION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before the next registry is tried after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maintains a session until the proxy has ended. To be polled as part of the program's main future, which comes
/// before all spawned tasks.
pub async fn run(proxy: Rc<Proxy>) {
    let mut choice = RegistryChoice::default();
    loop {
        let Some(host) = choice.next_registry(proxy.now(), &proxy.registries()) else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let started_at = Instant::now();
        let end = run_session(&proxy, host, &mut choice).await;
        proxy.session_counts.record(end);
        if end != SessionEnd::NearerRegistry {
            choice.record_failure(proxy.now(), host);
            let held_ms = started_at.elapsed().as_millis() as u64;
            tracing::info!(event = "session-ended", registry = %host, why = end.text(), held_ms);
        }
        if proxy.ended() {
            return;
        }
        if started_at.elapsed() < RETRY_DELAY {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// The result of a probe of other registries.
struct ProbeResult {
    /// The registries that could not be reached, up to the first that could.
    failed: Vec<Host>,
    reached: bool,
}

/// Probes registries in order until one can be reached.
async fn probe(proxy: Rc<Proxy>, registries: Vec<Host>) -> ProbeResult {
    let mut failed = Vec::new();
    for registry in registries {
        if link::connect(proxy.settings.address_of(registry.ip(), Port::Sessions)).await.is_ok() {
            return ProbeResult { failed, reached: true };
        }
        failed.push(registry);
    }
    ProbeResult { failed, reached: false }
}

/// The probe in progress, if any.
type RunningProbe = Option<Pin<Box<dyn Future<Output = ProbeResult>>>>;

/// Waits for the result of the probe in progress.
async fn probe_result(running_probe: &mut RunningProbe) -> ProbeResult {
    match running_probe {
        Some(probe) => {
            let result = probe.await;
            *running_probe = None;
            result
        }
        None => pending().await,
    }
}

/// The events that a session waits for.
enum SessionEvent {
    WriteFailed,
    Message(io::Result<RegistryToProxy>),
    ProbeDone(ProbeResult),
    HeartbeatDue,
}

/// A session that is open.
struct Session<'a> {
    proxy: &'a Rc<Proxy>,
    choice: &'a mut RegistryChoice,
    /// The registry.
    host: Host,
    writer: Writer,
    next_heartbeat: Instant,
    running_probe: RunningProbe,
}

async fn run_session(proxy: &Rc<Proxy>, host: Host, choice: &mut RegistryChoice) -> SessionEnd {
    let to = proxy.settings.address_of(host.ip(), Port::Sessions);
    let Ok(stream) = link::connect(to).await else { return SessionEnd::NoConnection };
    let (reader, writer, write) = split_with_write_task(stream);
    writer.send(&proxy.first_message());
    proxy.set_session(Some(writer.clone()));
    let next_heartbeat = Instant::now().later_by(HEARTBEAT_INTERVAL);
    let mut session = Session { proxy, choice, host, writer, next_heartbeat, running_probe: None };
    let end = session.run(reader, pin!(write)).await;
    proxy.set_session(None);
    end
}

impl Session<'_> {
    async fn run(&mut self, mut reader: Reader, mut write: Pin<&mut impl Future<Output = ()>>) -> SessionEnd {
        let activity = reader.activity();
        loop {
            // Reading a message takes several steps. The same future is polled on after other events, so that
            // no partial read is lost.
            let mut next = pin!(reader.next::<RegistryToProxy>());
            let message = loop {
                let event = tokio::select! {
                    // What has arrived is read before the time without a message is looked at.
                    biased;
                    () = write.as_mut() => SessionEvent::WriteFailed,
                    message = next.as_mut() => SessionEvent::Message(message),
                    // Concurrent with messages and heartbeats, so that they go on while an unreachable
                    // registry is dialled.
                    result = probe_result(&mut self.running_probe) => SessionEvent::ProbeDone(result),
                    () = sleep_until(self.next_heartbeat) => SessionEvent::HeartbeatDue,
                };
                match event {
                    SessionEvent::Message(Ok(message)) => break message,
                    SessionEvent::Message(Err(_)) | SessionEvent::WriteFailed => return SessionEnd::Closed,
                    SessionEvent::ProbeDone(result) => {
                        if self.on_probe_done(result) {
                            return SessionEnd::OutOfContact;
                        }
                    }
                    SessionEvent::HeartbeatDue => {
                        if activity.idle_time() > SESSION_TIMEOUT {
                            return SessionEnd::Silent;
                        }
                        self.send_heartbeat();
                        if self.has_nearer_registry() {
                            return SessionEnd::NearerRegistry;
                        }
                    }
                }
            };
            if let Some(end) = self.receive(message) {
                if end == SessionEnd::ProxyEnded {
                    self.writer.send(&ProxyToRegistry::EndSession);
                    let _ = timeout(RETRY_DELAY, write.as_mut()).await;
                }
                return end;
            }
            // Messages that follow each other without a pause must not keep heartbeats back.
            if Instant::now() >= self.next_heartbeat {
                self.send_heartbeat();
            }
        }
    }

    fn send_heartbeat(&mut self) {
        self.next_heartbeat = Instant::now().later_by(HEARTBEAT_INTERVAL);
        self.writer.send(&self.proxy.heartbeat());
    }

    /// Whether there is a nearer registry that did not fail recently.
    fn has_nearer_registry(&self) -> bool {
        let failed = |other| self.choice.failed_recently(self.proxy.now(), other);
        self.proxy.has_nearer_registry(self.host, failed)
    }

    /// Records the result of a probe. Returns whether another registry can be reached.
    fn on_probe_done(&mut self, result: ProbeResult) -> bool {
        for registry in result.failed {
            self.choice.record_failure(self.proxy.now(), registry);
        }
        result.reached
    }

    /// Handles a message. Returns why the session ends, if it does.
    fn receive(&mut self, message: RegistryToProxy) -> Option<SessionEnd> {
        if let RegistryToProxy::Heartbeat { contact_age } = message {
            self.on_heartbeat(f64::from(contact_age));
        }
        // At the first start only the seeds are known; the nearest registry is learned in the session.
        let registries_changed = matches!(message, RegistryToProxy::Registries(_));
        self.proxy.receive(message);
        if registries_changed && self.has_nearer_registry() {
            return Some(SessionEnd::NearerRegistry);
        }
        self.proxy.ended().then_some(SessionEnd::ProxyEnded)
    }

    /// The session goes on until another registry is reached: if all are cut off, an old state is better than
    /// none.
    fn on_heartbeat(&mut self, contact_age: f64) {
        let now = self.proxy.now();
        self.choice.record_heartbeat(now, contact_age);
        self.proxy.set_last_contact(self.choice.last_contact());
        let others = self.choice.alternatives(now, self.host, &self.proxy.registries());
        if !others.is_empty() && self.running_probe.is_none() {
            self.running_probe = Some(Box::pin(probe(self.proxy.clone(), others)));
        }
    }
}
