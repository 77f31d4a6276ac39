//! Plays a scenario on loopback sockets: stand-ins, clients, gateways as child processes, troubles. All on one thread.

mod clients;
mod counter;
mod discovery;
mod flood;
mod gateways;
mod kit;
mod node;
mod place;
#[cfg(test)]
mod tests;
mod troubles;
mod wire;

use crate::judge::{Ending, Verdict, judge};
use crate::log::{Event, Header, What};
use crate::plan::Day;
use crate::scenario::Scenario;
use kit::Kit;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// What to play.
#[derive(Clone, Debug)]
pub struct Order {
    /// The scenario.
    pub scenario: Scenario,
    /// Its text, which goes into the log.
    pub text: String,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// The program whose gateways are rehearsed. Called as `PROGRAM tethered PID`, it must become a gateway that dies
    /// with the process PID.
    pub program: PathBuf,
    /// A folder for the event log, the gateways' configurations and what they print. It must exist.
    pub folder: PathBuf,
    /// More of the gateways' environment.
    pub environment: Vec<(String, String)>,
}

/// How far a run is, for whoever shows it.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Milliseconds since the start, of how many.
    pub at: f64,
    /// See `at`.
    pub of: f64,
    /// Requests offered so far.
    pub requests: u32,
    /// Final answers so far: served, refused, failed.
    pub answers: [u32; 3],
}

/// A rehearsal that could not be played.
#[derive(Debug)]
pub enum PlayError {
    /// The machine gave no socket, file or process.
    Io(&'static str, io::Error),
    /// The gateways were not all ready in time.
    NotReady(String),
}

impl fmt::Display for PlayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::NotReady(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for PlayError {}

/// Gateways must be ready within this.
const READY: Duration = Duration::from_secs(30);
/// All requests must have ended this long after the last one's deadline.
const PATIENCE: Duration = Duration::from_secs(10);
/// The event log's name in the order's folder.
pub const LOG: &str = "events.jsonl";

/// Plays a scenario to its end and gives back the log. Blocks the calling thread; whatever happens, no child outlives
/// this call, nor the thread.
///
/// # Errors
/// When sockets, files or processes are not to be had, or the gateways do not start.
pub fn play(order: &Order, show: &mut dyn FnMut(Progress)) -> Result<(Header, Vec<Event>), PlayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| PlayError::Io("no event loop", error))?;
    let header = Header::new(order.seed, &order.text);
    let events = LocalSet::new().block_on(&runtime, run(order, &header, show))?;
    Ok((header, events))
}

/// Plays a scenario and judges it; again, up to `tries` times in all, while the machine was too slow for the verdict to
/// count. For tests on machines that do other things as well.
///
/// # Errors
/// As [`play`].
pub fn play_until_it_counts(order: &Order, tries: u32) -> Result<(Header, Vec<Event>, Verdict), PlayError> {
    let mut left = tries;
    loop {
        let (header, events) = play(order, &mut |_| {})?;
        let verdict = judge(&order.scenario, &events);
        left = left.saturating_sub(1);
        if verdict.ending() != Ending::TooSlow || left == 0 {
            return Ok((header, events, verdict));
        }
    }
}

async fn run(
    order: &Order, header: &Header, show: &mut dyn FnMut(Progress),
) -> Result<Vec<Event>, PlayError> {
    let day = Day::draw(&order.scenario, order.seed);
    let kit =
        Kit::new(order, header, day).map_err(|error| PlayError::Io("the log cannot be written", error))?;
    let io = |what| move |error| PlayError::Io(what, error);
    let nodes = node::Nodes::start(&kit).await.map_err(io("a node cannot listen"))?;
    let counter = counter::Counter::start(&kit).await.map_err(io("the counter cannot listen"))?;
    let discovery = discovery::Discovery::start(&kit, &nodes).await.map_err(io("discovery cannot listen"))?;
    let gateways = gateways::Gateways::start(&kit, order, &counter, &discovery)
        .await
        .map_err(io("a gateway cannot start"))?;
    tokio::time::timeout(READY, gateways.all_ready()).await.map_err(|_| {
        PlayError::NotReady(format!(
            "not all gateways were ready within {} s; see their logs",
            READY.as_secs()
        ))
    })?;
    kit.begin();
    let clients = clients::Clients::new(&kit, &gateways);
    troubles::start(&kit, &nodes, &counter, &discovery, &gateways);
    let of = order.scenario.length.0;
    let offered = clients.clone().offer();
    tokio::pin!(offered);
    loop {
        tokio::select! {
            () = offered.as_mut() => break,
            () = tokio::time::sleep(Duration::from_millis(200)) => show(progress(&kit, of)),
        }
    }
    let _ = tokio::time::timeout(PATIENCE, clients.all_over()).await;
    clients.sweep();
    gateways.count_cpu();
    kit.tell_lateness();
    gateways.end().await;
    kit.note(What::Over);
    show(progress(&kit, of));
    kit.take_events().map_err(io("the log cannot be written"))
}

fn progress(kit: &Rc<Kit>, of: f64) -> Progress {
    let (requests, answers) = kit.counts();
    Progress { at: kit.now().min(of), of, requests, answers }
}
