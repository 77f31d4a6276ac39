//! The session with a registry: one at a time, with the nearest that answers. It brings updates, and quota
//! units are requested over it.

use crate::proxy::Proxy;
use crate::registry_choice::RegistryChoice;
use crate::session_counts::SessionEnd;
use fennelscale_host::link::{self, split};
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyToRegistry, RegistryToProxy};
use fennelscale_node_settings::Port;
use std::future::pending;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval of the heartbeats of the session.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A registry that sends nothing for this long counts as failed.
const SESSION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before the next registry is tried after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maintains a session for as long as the program runs.
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
    Message(io::Result<RegistryToProxy>),
    HeartbeatDue,
    ProbeDone(ProbeResult),
}

async fn run_session(proxy: &Rc<Proxy>, host: Host, choice: &mut RegistryChoice) -> SessionEnd {
    let to = proxy.settings.address_of(host.ip(), Port::Sessions);
    let Ok(stream) = link::connect(to).await else { return SessionEnd::NoConnection };
    let (mut reader, writer) = split(stream);
    writer.send(&proxy.first_message());
    proxy.set_session(Some(writer.clone()));
    let mut next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
    let mut last_received = Instant::now();
    let mut running_probe: RunningProbe = None;
    let end = 'session: loop {
        // Reading a message takes several steps. The same future is polled on after a heartbeat, so that no
        // partial read is lost.
        let next = reader.next::<RegistryToProxy>();
        tokio::pin!(next);
        let message = loop {
            let event = tokio::select! {
                message = &mut next => SessionEvent::Message(message),
                () = sleep_until(next_heartbeat) => SessionEvent::HeartbeatDue,
                // Concurrent with messages and heartbeats, so that they go on while an unreachable registry
                // is dialled.
                result = probe_result(&mut running_probe) => SessionEvent::ProbeDone(result),
            };
            match event {
                SessionEvent::Message(Ok(message)) => break message,
                SessionEvent::Message(Err(_)) => break 'session SessionEnd::Closed,
                SessionEvent::ProbeDone(result) => {
                    result
                        .failed
                        .into_iter()
                        .for_each(|registry| choice.record_failure(proxy.now(), registry));
                    if result.reached {
                        break 'session SessionEnd::OutOfContact;
                    }
                }
                SessionEvent::HeartbeatDue => {
                    next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
                    if last_received.elapsed() > SESSION_TIMEOUT {
                        break 'session SessionEnd::Silent;
                    }
                    writer.send(&proxy.heartbeat());
                    if proxy.has_nearer_registry(host, |other| choice.failed_recently(proxy.now(), other)) {
                        break 'session SessionEnd::NearerRegistry;
                    }
                }
            }
        };
        last_received = Instant::now();
        if let RegistryToProxy::Heartbeat { contact_age } = message {
            choice.record_heartbeat(proxy.now(), f64::from(contact_age));
            proxy.set_last_contact(choice.last_contact());
            // The session goes on until another registry is reached: if all are cut off, an old state is
            // better than none.
            let others = choice.alternatives(proxy.now(), host, &proxy.registries());
            if !others.is_empty() && running_probe.is_none() {
                running_probe = Some(Box::pin(probe(proxy.clone(), others)));
            }
        }
        // At the first start only the seeds are known; the nearest registry is learned in the session.
        let registries_changed = matches!(message, RegistryToProxy::Registries(_));
        proxy.receive(message);
        if registries_changed
            && proxy.has_nearer_registry(host, |other| choice.failed_recently(proxy.now(), other))
        {
            break SessionEnd::NearerRegistry;
        }
        if proxy.ended() {
            writer.send(&ProxyToRegistry::EndSession);
            sleep(RETRY_DELAY).await;
            break SessionEnd::ProxyEnded;
        }
    };
    proxy.set_session(None);
    end
}
