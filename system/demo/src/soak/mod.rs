//! A soak of real processes over loopback: the configuration changes without a pause while proxies and core machines are killed,
//! terminated, stopped and told to read their settings again, and clients keep their connections. Judged from outside alone
//! ([`judge`]): what was acknowledged is in force in time everywhere, nothing goes back, nothing invalid is taken, and what is read back is what was sent.

mod behavior;
mod clients;
mod faults;
mod judge;
mod links;
mod operator;
mod processor_share;
mod promises;
mod raw_backend;
mod storm;

use crate::machines::{Machines, REGISTRY, STORE, ZONES, numbered, proxy_machine, proxy_program};
use crate::standins::{Listed, Outside, backend, platform};
use crate::steps::until_ready;
use behavior::BEHAVIORS;
use clients::PACE;
use faults::{FaultPeriod, FaultTarget};
use judge::{APPLY, CONTACT, Observation, State, Subject, Violation, longest_lag, violations};
use miette::{Result, miette};
use operator::{Operator, SERVICES};
use promises::{CLIENTS, ONCE_SERVICE, Try, broken_promises, by_behavior};
use rand::SeedableRng;
use rand::rngs::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Backends of each service in each zone.
const BACKENDS: usize = 1;
/// Places of invalid routes.
const BAD_PLACES: usize = 4;
/// The most violations of one kind that are reported one by one.
const MAX_REPORTED: usize = 6;
/// Of a violation's subject so many versions are reported.
const VERSIONS_REPORTED: usize = 4;
/// Before the last reading all that is under way ends.
const SETTLE: Duration = Duration::from_secs(12);

/// After SIGTERM a process of a soak has so long, with one core machine in each zone and with more.
const GRACE: Duration = Duration::from_secs(4);
const LONG_GRACE: Duration = Duration::from_secs(6);

/// How a soak is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All that is drawn is drawn by it.
    pub seed: u64,
    /// How long changes and faults come, in s.
    pub seconds: u64,
    /// Proxies of each zone.
    pub proxies: usize,
    /// Core machines of each zone.
    pub cores: usize,
    /// Whether anything is faulty.
    pub faults: bool,
    /// The share of a core of each proxy, where processes get their shares as quotas of each tenth of a second.
    pub proxy_share: Option<f64>,
    /// Clients of each proxy that send without a pause.
    pub pressing: usize,
    /// Whether links are faulty, in place of processes.
    pub links: bool,
    /// What backends do with requests that can't be repeated, by name.
    pub behaviors: Vec<&'static str>,
    /// The executable whose programs are run, where it is not this one.
    pub programs: Option<PathBuf>,
}

/// The behaviors with these names, separated by commas; all that there are without names.
pub fn chosen_behaviors(names: Option<&str>) -> Result<Vec<&'static str>> {
    let Some(names) = names else { return Ok(BEHAVIORS.to_vec()) };
    let named = |name: &str| BEHAVIORS.into_iter().find(|behavior| *behavior == name);
    names.split(',').map(|name| named(name).ok_or_else(|| miette!("no such behavior: {name}"))).collect()
}

/// One proxy and its lives.
struct ProxyPlace {
    zone: usize,
    program: String,
    frontend: SocketAddr,
    readiness: SocketAddr,
    life: Cell<u32>,
    is_faulty: Cell<bool>,
}

impl ProxyPlace {
    fn name(&self) -> String {
        format!("{} in {}", self.program, ZONES[self.zone].0)
    }
}

/// A soak under way.
struct Soak {
    begun: Instant,
    seed: u64,
    behaviors: Vec<&'static str>,
    chance: RefCell<ChaCha8Rng>,
    machines: RefCell<Machines>,
    proxies: Vec<ProxyPlace>,
    controls: Vec<SocketAddr>,
    operator: RefCell<Operator>,
    subjects: RefCell<Vec<Subject>>,
    observations: RefCell<Vec<Observation>>,
    /// Subjects of places that were added with many others, and of those where nothing may ever be.
    added: RefCell<Vec<usize>>,
    bad: Vec<usize>,
    fault_periods: RefCell<Vec<FaultPeriod>>,
    core_is_faulty: Cell<bool>,
    /// Core machines of each zone, and those that are faulty now where there are several.
    cores: usize,
    faulty_cores: RefCell<storm::FaultyCores>,
    link_faults: RefCell<links::LinkFaults>,
    /// Processes that a fault has stopped.
    stopped: RefCell<BTreeSet<(usize, String)>>,
    grace: Duration,
    outside: Rc<Outside>,
    tries: RefCell<Vec<Try>>,
    answers: RefCell<BTreeMap<String, usize>>,
    requests: Cell<u64>,
    /// No more changes and faults; then no more requests.
    over: Cell<bool>,
    closed: Cell<bool>,
}

impl Soak {
    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    fn count(&self, answer: &str) {
        *self.answers.borrow_mut().entry(answer.to_owned()).or_default() += 1;
    }
}

async fn outside(machines: &Machines) -> Result<Rc<Outside>> {
    let outside = Rc::new(Outside::default());
    let io = |error: std::io::Error| miette!("stand-ins: {error}");
    platform(&outside, machines.platform()).await.map_err(io)?;
    for (zone, (name, _)) in ZONES.iter().enumerate() {
        for number in 0..SERVICES.len() * BACKENDS {
            let service = SERVICES[number % SERVICES.len()];
            let address = machines.backend(zone, number as u8);
            let id = format!("i-{service}-{zone}-{number}");
            let listed =
                Listed { id, service: service.into(), address, zone: (*name).to_owned(), state: "ready" };
            backend(&outside, listed).await.map_err(io)?;
        }
        let address = machines.backend(zone, (SERVICES.len() * BACKENDS) as u8);
        let id = format!("i-{ONCE_SERVICE}-{zone}-0");
        let service = ONCE_SERVICE.to_owned();
        let listed = Listed { id, service, address, zone: (*name).to_owned(), state: "ready" };
        raw_backend::raw_backend(&outside, listed, zone).await.map_err(io)?;
    }
    Ok(outside)
}

fn proxy_places(machines: &Machines, each: usize) -> Vec<ProxyPlace> {
    let place = |zone: usize, number: usize| ProxyPlace {
        zone,
        program: proxy_program(number),
        frontend: machines.clients_of(zone, proxy_machine(number)),
        readiness: machines.readiness_of(zone, proxy_machine(number)),
        life: Cell::new(0),
        is_faulty: Cell::new(false),
    };
    (0..ZONES.len()).flat_map(|zone| (0..each).map(move |number| place(zone, number))).collect()
}

/// One soak; what did not hold is told, and an error.
pub async fn soak(plan: Plan, logs: bool) -> Result<()> {
    let folder = tempfile::tempdir().map_err(|error| miette!("no folder for disks: {error}"))?;
    let mut machines = Machines::new(folder.path(), logs, plan.seed);
    let outside = outside(&machines).await?;
    machines.programs.clone_from(&plan.programs);
    if plan.links {
        let variables = links::variables();
        machines.link_fault_variables =
            Some(variables.ok_or_else(|| {
                miette!("this build has no faulty links: it needs the feature link-faults")
            })?);
    }
    let grace = if plan.cores > 1 { LONG_GRACE } else { GRACE };
    if plan.cores > 1 {
        machines.grace = grace;
    }
    let proxies = proxy_places(&machines, plan.proxies);
    let cores: Vec<(usize, usize)> =
        (0..ZONES.len()).flat_map(|zone| (0..plan.cores).map(move |core| (zone, core))).collect();
    for (zone, core) in &cores {
        machines.start(*zone, &numbered(STORE, *core), true)?;
        machines.start(*zone, &numbered(REGISTRY, *core), true)?;
    }
    for proxy in &proxies {
        machines.start(proxy.zone, &proxy.program, true)?;
    }
    let mut soak = Soak {
        begun: Instant::now(),
        seed: plan.seed,
        behaviors: plan.behaviors.clone(),
        chance: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed)),
        controls: cores.iter().map(|(zone, core)| machines.control_of(*zone, *core)).collect(),
        machines: RefCell::new(machines),
        proxies,
        operator: RefCell::default(),
        subjects: RefCell::default(),
        observations: RefCell::default(),
        added: RefCell::default(),
        bad: Vec::new(),
        fault_periods: RefCell::default(),
        core_is_faulty: Cell::new(false),
        cores: plan.cores,
        faulty_cores: RefCell::default(),
        link_faults: RefCell::default(),
        stopped: RefCell::default(),
        grace,
        outside,
        tries: RefCell::default(),
        answers: RefCell::default(),
        requests: Cell::new(0),
        over: Cell::new(false),
        closed: Cell::new(false),
    };
    let mut operator = Operator::default();
    let (first, brings) = operator.first(&soak);
    soak.operator = RefCell::new(operator);
    soak.bad = (0..BAD_PLACES).map(|place| soak.subject(format!("/bad{place}/"), State::Absent)).collect();
    let soak = Rc::new(soak);
    if !soak.until_taken("the first configuration", &first).await {
        return Err(miette!("the first configuration was not taken"));
    }
    soak.acknowledge(&brings);
    for proxy in &soak.proxies {
        until_ready(proxy.readiness).await?;
    }
    play(&soak, &plan).await;
    judge_all(&soak, &plan)
}

async fn play(soak: &Rc<Soak>, plan: &Plan) {
    let begins = soak.now();
    for proxy in 0..soak.proxies.len() {
        spawn_local(soak.clone().keep_asking(proxy, PACE));
        for _ in 0..plan.pressing {
            spawn_local(soak.clone().keep_asking(proxy, Duration::ZERO));
        }
        for client in 0..CLIENTS {
            spawn_local(soak.clone().keep_sending_once(proxy, client));
        }
    }
    spawn_local(soak.clone().operate());
    spawn_local(soak.clone().keep_reading());
    if let Some(share) = plan.proxy_share {
        soak.limit_processor_shares(share);
    }
    if plan.links {
        spawn_local(soak.clone().break_proxy_links());
        spawn_local(soak.clone().break_core_links());
    } else if plan.faults && plan.cores > 1 {
        spawn_local(soak.clone().storm());
    } else if plan.faults {
        spawn_local(soak.clone().inject_faults());
    }
    sleep(Duration::from_secs(plan.seconds)).await;
    soak.over.set(true);
    sleep(SETTLE + CONTACT + APPLY).await;
    for control in soak.controls.clone() {
        if let Err(why) = soak.clone().read_at_end(control).await {
            soak.operator.borrow_mut().wrong.push(format!("{control} answers no reader at the end: {why}"));
        }
    }
    soak.closed.set(true);
    let ended = soak.now() - begins;
    println!("  played {:.0} s", ended.as_secs_f64());
}

fn seconds(at: Duration) -> String {
    format!("{:.3}", at.as_secs_f64())
}

/// Reports what an observation was, what should have been there, and what was faulty around it.
fn report(soak: &Soak, violation: Violation, observation: &Observation) {
    let subject = &soak.subjects.borrow()[observation.subject];
    println!(
        "  {violation:?}: {} by {} (life {:?}) showed {:?}; asked at {}, answered at {}",
        subject.name,
        observation.by,
        observation.life,
        observation.state,
        seconds(observation.sent),
        seconds(observation.answered)
    );
    let there = subject.versions.partition_point(|version| version.sent < observation.answered);
    for version in &subject.versions[there.saturating_sub(VERSIONS_REPORTED)..there] {
        let acknowledged = version.acknowledged.map_or("not acknowledged".into(), seconds);
        println!("    sent {}, acknowledged {acknowledged}: {:?}", seconds(version.sent), version.state);
    }
    let near = |period: &&FaultPeriod| {
        period.from < observation.answered && period.to.is_none_or(|to| to + 2 * CONTACT > observation.sent)
    };
    let here = |period: &&FaultPeriod| match period.target {
        FaultTarget::Core | FaultTarget::WholeCore => true,
        FaultTarget::Proxy(proxy) => soak.proxies[proxy].name() == observation.by,
    };
    for period in soak.fault_periods.borrow().iter().filter(near).filter(here) {
        println!(
            "    {} from {} to {}",
            period.what,
            seconds(period.from),
            period.to.map_or("the end".into(), seconds)
        );
    }
}

/// Reports which promises to clients were broken; how many.
fn judge_promises(soak: &Soak) -> usize {
    let (tries, all_runs) = (soak.tries.borrow(), soak.outside.runs.borrow());
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for run in all_runs.iter() {
        *runs.entry(&run.id).or_default() += 1;
    }
    let found = broken_promises(&tries, &runs);
    for (how, one, ran) in found.iter().take(MAX_REPORTED) {
        println!(
            "  {how:?}: {} ({}) was answered {:?} and ran {ran} times",
            one.id, one.behavior, one.status
        );
    }
    for ((how, behavior), count) in by_behavior(&found) {
        println!("  {how:?} with {behavior}: {count}");
    }
    println!("  {} requests that can't be repeated, {} promises broken", tries.len(), found.len());
    found.len()
}

fn judge_all(soak: &Soak, plan: &Plan) -> Result<()> {
    let (subjects, observations) = (soak.subjects.borrow(), soak.observations.borrow());
    let found = violations(&subjects, &observations);
    let operator = soak.operator.borrow();
    let in_touch = observations.iter().filter(|observation| observation.in_touch).count();
    println!(
        "  seed {}: {} proxies, {} changes acknowledged, {} faults, {} observations ({in_touch} in touch), answers {:?}",
        plan.seed,
        soak.proxies.len(),
        operator.acknowledged,
        soak.fault_periods.borrow().len(),
        observations.len(),
        soak.answers.borrow()
    );
    let lag = longest_lag(&subjects, &observations);
    println!("  the longest that an acknowledged change was not in force: {} ms", lag.as_millis());
    for kind in [Violation::Late, Violation::Back] {
        let of_kind = found.iter().filter(|(violation, _)| *violation == kind);
        of_kind.take(MAX_REPORTED).for_each(|(violation, observation)| report(soak, *violation, observation));
    }
    operator.wrong.iter().take(MAX_REPORTED).for_each(|wrong| println!("  {wrong}"));
    let broken = judge_promises(soak);
    if found.is_empty() && operator.wrong.is_empty() && broken == 0 {
        return Ok(());
    }
    let count = |kind| found.iter().filter(|(violation, _)| *violation == kind).count();
    let (late, back) = (count(Violation::Late), count(Violation::Back));
    Err(miette!(
        "seed {}: {late} late, {back} gone back, {broken} promises broken, {} otherwise wrong",
        plan.seed,
        operator.wrong.len()
    ))
}
