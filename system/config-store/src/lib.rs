//! `fennelscale-config-store`: the store of configuration (the field's term: a replicated configuration store). Every core machine runs one. It
//! holds a copy of every item on its disk, takes calls from its machine's registry, and tells that what is chosen.

mod diary;
mod disk;
mod store;

use diary::Diary;
use fennelscale_host::link::{Peers, Writer, hear, split};
use fennelscale_host::{link, spawn, start};
use fennelscale_messages::Host;
use fennelscale_messages::store::{Member, RegistryToStore, StoreMessage, StoreResponse, StoreToRegistry};
use fennelscale_node_settings::{Port, Settings};
use fennelscale_replication::{Origin, Output, Replica, ReplicaConfig};
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

/// Time passes for the machine this often.
const TICK: Duration = Duration::from_millis(100);
/// After SIGTERM the others are told and may take over what this one does.
const FAREWELL: Duration = Duration::from_millis(700);
/// A member that has to hand over first does so within this part of the grace period, or goes as it is.
const HANDS_OVER: f64 = 0.8;

/// A disk that took no write is tried again this often.
const REOPEN: Duration = Duration::from_secs(1);

struct ConfigStore {
    store: RefCell<Store>,
    /// What the registry of this machine saw happen.
    diary: RefCell<Diary>,
    peers: Peers,
    /// The registry of this machine.
    registry: RefCell<Option<Writer>>,
    born: Instant,
}

async fn run(settings: Settings, mut signals: start::Signals) -> miette::Result<()> {
    let unusable = |field: &str| {
        miette::miette!(help = "the store runs on machines that have it", "settings field {field} is missing")
    };
    let folder = settings.data.as_ref().ok_or_else(|| unusable("dataDirectory"))?;
    let host = Host::from_ip(settings.ip).ok_or_else(|| unusable("ipAddress (IPv4)"))?;
    let life = fennelscale_messages::mix(u64::from(std::process::id()) ^ start::life());
    let place = ReplicaConfig {
        local: Member { host, zone: settings.zone.clone(), region: settings.region.clone() },
        seeds: settings.seeds.iter().filter_map(|seed| Host::from_ip(seed.ip())).collect(),
        bootstrap: settings.bootstrap,
        fault_tolerance: (settings.tolerance.machines, settings.tolerance.zones, settings.tolerance.regions),
        incarnation: life >> 24,
    };
    let store = Store::open(place, folder, settings.limits.disk, 0.0)?;
    let others = start::listen(settings.own(Port::Depot)).await?;
    let grace = settings.bounds.grace;
    let store = Rc::new(ConfigStore {
        store: RefCell::new(store),
        diary: RefCell::new(Diary::new(folder.join("events"))),
        peers: Peers::new(host, settings.own(Port::Depot).port()),
        registry: RefCell::default(),
        born: Instant::now(),
    });
    if store.store.borrow().book().is_none() {
        spawn(store.clone().reopen());
    }
    let heard = store.clone();
    hear(others, move |from, word: StoreMessage| heard.with(|book, now| book.receive(now, from, word)));
    // The registry of this machine is the one caller; it listens, as it may start later or again.
    let at = settings.own(Port::Shelf);
    let calls = store.clone();
    spawn(async move {
        loop {
            if let Ok(stream) = link::dial(at).await {
                calls.clone().serve(stream).await;
            }
            sleep(TICK).await;
        }
    });
    let ticking = store.clone();
    spawn(async move {
        loop {
            sleep(TICK).await;
            ticking.with(|book, now| book.tick(now));
        }
    });
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => {
                // What changes here (seeds, tolerance) is for machines that start; those that run know the list of seats.
                let _ = start::again();
            }
        }
    }
    store.leave(grace).await;
    Ok(())
}

impl ConfigStore {
    /// Gives the machine an input; what it writes is safe before anything of it is sent.
    fn with(self: &Rc<Self>, input: impl FnOnce(&mut Replica, f64)) {
        let now = self.now();
        let outs = self.store.borrow_mut().with(now, input);
        match outs {
            Ok(outs) => self.carry_out(outs),
            Err(error) => {
                tracing::error!(event = "disk-failed", error);
                self.report(&StoreToRegistry::UpToDate(false));
                spawn(self.clone().reopen());
            }
        }
    }

    fn carry_out(&self, outs: Vec<Output>) {
        for out in outs {
            match out {
                Output::Send(to, word) => self.peers.send(to, &word),
                Output::Answer(id, told) => self.report(&StoreToRegistry::Response(id, told)),
                Output::Chosen(entries) => self.report(&StoreToRegistry::Items { complete: false, entries }),
                Output::Members(seats) => self.report(&StoreToRegistry::Members(seats)),
                Output::UpToDate(fresh) => self.report(&StoreToRegistry::UpToDate(fresh)),
                Output::Log(event, about) => tracing::info!(event, about),
            }
        }
    }

    /// Until the disk takes writes again this store promises nothing and answers nothing; then it goes on from what is there.
    async fn reopen(self: Rc<Self>) {
        loop {
            sleep(REOPEN).await;
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

    /// Tells the registry all that this store holds.
    fn report_all(&self) {
        let reports = self.store.borrow().book().map(|book| {
            let items = StoreToRegistry::Items { complete: true, entries: book.published_entries() };
            [
                StoreToRegistry::Members(book.members().clone()),
                items,
                StoreToRegistry::UpToDate(book.is_up_to_date()),
            ]
        });
        reports.iter().flatten().for_each(|report| self.report(report));
    }

    /// Tells the others, and goes when nothing is left to hand over: until then this member votes.
    async fn leave(self: &Rc<Self>, grace: Duration) {
        let until = Instant::now() + grace.mul_f64(HANDS_OVER);
        self.with(|book, now| book.begin_leave(now));
        sleep(FAREWELL).await;
        let mut said = None;
        loop {
            let waits = self.store.borrow().book().and_then(|book| book.leave_blocker(self.now()));
            if waits.is_none() || Instant::now() >= until {
                tracing::info!(event = "leaves", unfinished = waits);
                return;
            }
            if waits != said {
                tracing::info!(event = "waits-to-leave", why = waits);
                said = waits;
            }
            sleep(TICK).await;
        }
    }

    fn now(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1000.0
    }

    fn report(&self, report: &StoreToRegistry) {
        if let Some(registry) = self.registry.borrow().as_ref() {
            registry.send(report);
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let (mut reader, writer) = split(stream);
        *self.registry.borrow_mut() = Some(writer);
        self.report_all();
        while let Ok(order) = reader.next::<RegistryToStore>().await {
            match order {
                RegistryToStore::Call(id, _) if self.store.borrow().book().is_none() => {
                    self.report(&StoreToRegistry::Response(id, StoreResponse::Unclear));
                }
                RegistryToStore::Call(id, ask) => {
                    self.with(|book, now| book.submit(now, Origin::Registry(id), ask))
                }
                // Nothing is promised of events: without them the store goes on.
                RegistryToStore::SaveEvents(events) => {
                    if let Err(error) = self.diary.borrow_mut().keep(&events) {
                        tracing::warn!(event = "events-not-kept", count = events.len(), error = %error);
                    }
                }
                RegistryToStore::ReadEvents(id, wanted) => {
                    let told = self.diary.borrow().read(&wanted).unwrap_or_else(|error| {
                        tracing::warn!(event = "events-unreadable", error = %error);
                        None
                    });
                    self.report(&StoreToRegistry::SavedEvents(id, told));
                }
            }
        }
        *self.registry.borrow_mut() = None;
    }
}
