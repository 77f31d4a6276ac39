//! `fennelscale-config-store`: the replicated configuration store. Every core machine runs one. It holds a
//! copy of every item on its disk, accepts calls from the registry of its machine and reports chosen entries
//! to it.

#![warn(clippy::arithmetic_side_effects)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

mod disk;
mod event_log;
mod store;

use event_log::EventLog;
use fennelscale_host::link::{Peers, Writer, receive, split};
use fennelscale_host::{link, spawn, start};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Member, RegistryToStore, StoreMessage, StoreResponse, StoreToRegistry};
use fennelscale_node_settings::{Port, Settings};
use fennelscale_replication::{Origin, Output, Replica, ReplicaConfig};
use fennelscale_time::Later;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::Store;
use tokio::net::TcpStream;
use tokio::time::sleep;

fennelscale_host::program!(
    "fennelscale-config-store",
    " The store of configuration. FENNELSCALE_CONFIG names the settings file.",
    run
);

/// The interval at which the replica's clock advances.
const TICK: Duration = Duration::from_millis(100);
/// The time after SIGTERM in which the other members, having been notified, may take over from this one.
const HANDOVER_DELAY: Duration = Duration::from_millis(700);
/// The share of the grace period in which a member completes its handover; after that it leaves anyway.
const HANDOVER_SHARE: f64 = 0.8;
/// The interval of attempts to reopen a disk that failed a write.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

struct ConfigStore {
    store: RefCell<Store>,
    /// Events observed by the registry of this machine.
    event_log: RefCell<EventLog>,
    peers: Peers,
    /// The connection to the registry of this machine.
    registry: RefCell<Option<Writer>>,
    started: Instant,
}

async fn run(settings: Settings, mut signals: start::Signals) -> miette::Result<()> {
    let missing = |field: &str| {
        miette::miette!(help = "the config store requires this setting", "settings field {field} is missing")
    };
    let folder = settings.data_directory.as_ref().ok_or_else(|| missing("dataDirectory"))?;
    let host = Host::from_ip(settings.ip).ok_or_else(|| missing("ipAddress (IPv4)"))?;
    let incarnation = fennelscale_messages::mix(u64::from(std::process::id()) ^ start::random_incarnation());
    let config = ReplicaConfig {
        local: Member { host, zone: settings.zone.clone(), region: settings.region.clone() },
        seeds: settings.seeds.iter().filter_map(|seed| Host::from_ip(seed.ip())).collect(),
        bootstrap: settings.bootstrap,
        fault_tolerance: (
            settings.fault_tolerance.machines,
            settings.fault_tolerance.zones,
            settings.fault_tolerance.regions,
        ),
        incarnation: incarnation >> 24,
    };
    let store = Store::open(config, folder, settings.limits.disk, 0.0)?;
    let peer_listener = start::listen(settings.own_address(Port::Stores)).await?;
    let grace = settings.bounds.grace;
    let store = Rc::new(ConfigStore {
        store: RefCell::new(store),
        event_log: RefCell::new(EventLog::new(folder.join("events"))),
        peers: Peers::new(host, settings.own_address(Port::Stores).port()),
        registry: RefCell::default(),
        started: Instant::now(),
    });
    if store.store.borrow().replica().is_none() {
        spawn(store.clone().reopen());
    }
    let receiving = store.clone();
    receive(peer_listener, move |from, message: StoreMessage| {
        receiving.step(|replica, now| replica.receive(now, from, message))
    });
    // The registry of this machine is the only caller. The store connects to it, since it may start later or
    // restart.
    let registry_address = settings.own_address(Port::RegistryForStore);
    let serving = store.clone();
    spawn(async move {
        loop {
            if let Ok(stream) = link::connect(registry_address).await {
                serving.clone().serve_registry(stream).await;
            }
            sleep(TICK).await;
        }
    });
    let ticking = store.clone();
    spawn(async move {
        loop {
            sleep(TICK).await;
            ticking.step(|replica, now| replica.tick(now));
        }
    });
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => {
                // Changed settings (seeds, tolerance) apply at a start; a running store knows the list of
                // members.
                let _ = start::reload_settings();
            }
        }
    }
    store.leave(grace).await;
    Ok(())
}

impl ConfigStore {
    /// Passes an input to the replica. Its writes are durable before any of its outputs is sent.
    fn step(self: &Rc<Self>, input: impl FnOnce(&mut Replica, f64)) {
        let now = self.now();
        let outputs = self.store.borrow_mut().step(now, input);
        match outputs {
            Ok(outputs) => self.apply_outputs(outputs),
            Err(error) => {
                tracing::error!(event = "disk-failed", error);
                self.report(&StoreToRegistry::UpToDate(false));
                spawn(self.clone().reopen());
            }
        }
    }

    fn apply_outputs(&self, outputs: Vec<Output>) {
        for out in outputs {
            match out {
                Output::Send(to, message) => self.peers.send(to, &message),
                Output::Answer(id, response) => self.report(&StoreToRegistry::Response(id, response)),
                Output::Chosen(entries) => self.report(&StoreToRegistry::Items { complete: false, entries }),
                Output::Members(members) => self.report(&StoreToRegistry::Members(members)),
                Output::UpToDate(up_to_date) => self.report(&StoreToRegistry::UpToDate(up_to_date)),
                Output::Log(event, about) => tracing::info!(event, about),
            }
        }
    }

    /// Reopens the disk. Until it accepts writes again, this store promises and answers nothing; then it
    /// continues from the state on the disk.
    async fn reopen(self: Rc<Self>) {
        loop {
            sleep(REOPEN_INTERVAL).await;
            let now = self.now();
            let opened = self.store.borrow_mut().reopen(now);
            match opened {
                Ok(()) => break,
                Err(error) => tracing::warn!(event = "disk-still-failing", error),
            }
        }
        tracing::info!(event = "disk-back");
        self.report_all();
    }

    /// Reports everything that this store holds to the registry.
    fn report_all(&self) {
        let reports = self.store.borrow().replica().map(|replica| {
            let items = StoreToRegistry::Items { complete: true, entries: replica.published_entries() };
            [
                StoreToRegistry::Members(replica.members().clone()),
                items,
                StoreToRegistry::UpToDate(replica.is_up_to_date()),
            ]
        });
        reports.iter().flatten().for_each(|report| self.report(report));
    }

    /// Notifies the other members and returns when nothing is left to hand over: until then this member
    /// votes.
    async fn leave(self: &Rc<Self>, grace: Duration) {
        let deadline = Instant::now().later_by(grace.mul_f64(HANDOVER_SHARE));
        self.step(|replica, now| replica.begin_leave(now));
        sleep(HANDOVER_DELAY).await;
        let mut logged = None;
        loop {
            let blocker = self.store.borrow().replica().and_then(|replica| replica.leave_blocker(self.now()));
            if blocker.is_none() || Instant::now() >= deadline {
                tracing::info!(event = "leaves", unfinished = blocker);
                return;
            }
            if blocker != logged {
                tracing::info!(event = "waits-to-leave", why = blocker);
                logged = blocker;
            }
            sleep(TICK).await;
        }
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn report(&self, report: &StoreToRegistry) {
        if let Some(registry) = self.registry.borrow().as_ref() {
            registry.send(report);
        }
    }

    async fn serve_registry(self: Rc<Self>, stream: TcpStream) {
        let (mut reader, writer) = split(stream);
        *self.registry.borrow_mut() = Some(writer);
        self.report_all();
        while let Ok(message) = reader.next::<RegistryToStore>().await {
            match message {
                RegistryToStore::Call(id, _) if self.store.borrow().replica().is_none() => {
                    self.report(&StoreToRegistry::Response(id, StoreResponse::Unclear));
                }
                RegistryToStore::Call(id, request) => {
                    self.step(|replica, now| replica.submit(now, Origin::Registry(id), request))
                }
                // Events are stored on a best-effort basis: a failure does not stop the store.
                RegistryToStore::SaveEvents(events) => {
                    if let Err(error) = self.event_log.borrow_mut().append(&events) {
                        tracing::warn!(event = "events-not-kept", count = events.len(), error = %error);
                    }
                }
                RegistryToStore::ReadEvents(id, query) => {
                    let page = self.event_log.borrow().read(&query).unwrap_or_else(|error| {
                        tracing::warn!(event = "events-unreadable", error = %error);
                        None
                    });
                    self.report(&StoreToRegistry::SavedEvents(id, page));
                }
            }
        }
        *self.registry.borrow_mut() = None;
    }
}
