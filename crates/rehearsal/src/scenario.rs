//! Scenario files: TOML with explicit units, read once, checked whole.

use crate::node::Cold;
use fennelscale_settings::file::{self, Fault, FileError};
use fennelscale_settings::operators::Operators;
use fennelscale_settings::units::{Quantity, Range, Rate, Share, Time};
use serde::{Deserialize, Serialize};

type Ms = Quantity<Time>;
type Percent = Quantity<Share>;
type PerSecond = Quantity<Rate>;
type MsRange = Range<Time>;
type PercentRange = Range<Share>;

/// Bounds on the size of a rehearsal, so that a mistyped figure does not take the machine down.
const MOST_GATEWAYS: usize = 16;
const MOST_NODES: usize = 64;
const MOST_ACCOUNTS_RATE: f64 = 2000.0;
const MOST_CONNECTIONS_RATE: f64 = 1000.0;
const LONGEST: f64 = 600_000.0;

/// A whole scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it rehearses, in a sentence.
    pub about: String,
    /// How long requests are offered.
    pub length: Ms,
    /// How many of what.
    pub fleet: Fleet,
    /// The preview nodes.
    pub node: NodeFigures,
    /// The machines that nodes run on.
    pub machine: Vec<Machine>,
    /// The shared quota counter.
    pub counter: CounterFigures,
    /// The list of nodes.
    pub discovery: DiscoveryFigures,
    /// The front that deals requests out to gateways.
    pub front: FrontFigures,
    /// What clients do.
    pub clients: ClientFigures,
    /// The request classes.
    pub class: Vec<ClassFigures>,
    /// The plans.
    pub plan: Vec<PlanFigures>,
    /// The figures of the five rules.
    #[serde(default)]
    pub rules: RuleFigures,
    /// What each gateway may use.
    #[serde(default)]
    pub limits: Limits,
    /// The text of the operators' settings file that the gateways are given; none without it.
    #[serde(default)]
    pub settings: Option<String>,
    /// What goes wrong and when.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
}

/// How many of what.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fleet {
    /// Gateways.
    pub gateways: usize,
    /// Preview nodes.
    pub nodes: usize,
    /// Racks that the nodes are dealt out to in turn; a rack's nodes share their memory of keys.
    pub racks: usize,
}

/// What all preview nodes have in common.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct NodeFigures {
    /// Requests worked on at once, for each core.
    pub slots_per_core: usize,
    /// Requests that wait, for each core; more are declined.
    pub waiting_per_core: usize,
    /// The share of its capacity that a node starts with.
    pub cold_from: Percent,
    /// The time in which its capacity rises evenly to the full.
    pub cold_for: Ms,
    /// The share of requests answered with an error although they ran.
    #[serde(default = "zero_percent")]
    pub errors: Percent,
    /// Core time that the first request on a new connection costs more.
    #[serde(default = "zero_time")]
    pub handshake: Ms,
    /// Connections that a node holds; further ones are reset.
    pub connections: usize,
    /// A connection that has stood idle for this long is closed.
    pub idle: Ms,
    /// How often the load report is made anew.
    pub report_every: Ms,
}

/// One kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// The share of the nodes that run on it.
    pub share: Percent,
    /// Cores.
    pub cores: usize,
    /// The speed of a core, against one that does 1 ms of work in 1 ms, in percent.
    pub speed: PercentRange,
}

/// The shared quota counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CounterFigures {
    /// Calls that it takes in all.
    pub capacity: PerSecond,
    /// Parts that names are split over; each takes its even part of the capacity.
    pub parts: usize,
    /// How long an answer takes beside the wait.
    pub latency: MsRange,
    /// A call that would wait longer is turned away as busy.
    pub longest_wait: Ms,
    /// Connections that it holds; further ones are reset.
    pub connections: usize,
    /// A call without an answer for this long is given up, by the gateways' settings.
    pub give_up: Ms,
}

/// The list of nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DiscoveryFigures {
    /// How late an agent hears of a change, drawn for each agent and change.
    pub late: MsRange,
    /// How late it hears that a node is there (again).
    pub late_for_new: MsRange,
}

/// The front.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FrontFigures {
    /// How long it goes on sending to a dead gateway.
    pub notices: MsRange,
    /// How unevenly an account's requests are spread over its gateways; 0 is evenly.
    pub skew: f64,
    /// How often the busiest ones change.
    pub moves: MsRange,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClientFigures {
    /// First tries offered inside the quotas.
    pub offered: PerSecond,
    /// Tries of one request, the first included.
    pub tries: u8,
    /// A try is given up after this share of its class's time.
    pub patience: PercentRange,
    /// The wait before a further try.
    pub wait: MsRange,
    /// The share of clients that honour `Retry-After`.
    pub honour: Percent,
    /// The longest `Retry-After` that they honour.
    pub longest_advice: Ms,
    /// The share of tries that the client leaves early.
    #[serde(default = "zero_percent")]
    pub impatient: Percent,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Carries a key; the nodes of one rack drop a repeat for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// One class.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClassFigures {
    /// Its name, the first part of its path.
    pub name: String,
    /// Its share of the requests.
    pub share: Percent,
    /// Mean work, in core time at a speed of 100%; drawn exponentially.
    pub work: Ms,
    /// An answer within this time has its full worth.
    pub aim: Ms,
    /// The client gives up after this.
    pub deadline: Ms,
    /// What an answer is worth.
    pub worth: f64,
    /// The share of the worth that a later answer has.
    #[serde(default = "zero_percent")]
    pub late: Percent,
    /// What repeating it may do.
    pub effect: Effect,
    /// For a keyed class: how long a rack drops a repeat.
    pub memory: Option<Ms>,
}

/// One plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlanFigures {
    /// Its name.
    pub name: String,
    /// Its share of the load inside the quotas.
    pub share: Percent,
    /// Units a second for each account.
    pub rate: PerSecond,
    /// Units that may be used at once.
    pub burst: f64,
    /// What worth counts.
    pub price: f64,
    /// What a request sent on beyond the quota costs, as a share of its worth.
    pub over_cost: Percent,
    /// The hard ceiling, in times rate and burst; none where it is left out.
    pub ceiling: Option<f64>,
    /// Gateways that an account's requests come in through.
    pub spread: usize,
    /// The share of the accounts that use nearly all of their quota.
    pub full: Percent,
    /// The share that asks for more for long, and how many times the rate.
    pub heavy: Percent,
    /// How many times its rate a heavy account asks for.
    pub heavy_times: f64,
    /// The share that asks for much more now and then.
    pub spiky: Percent,
    /// How many times its rate a spiky account asks for in a spike.
    pub spike_times: f64,
}

/// The figures of the five rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct RuleFigures {
    /// A final answer counts until this long after the client's deadline.
    pub answer_slack: Ms,
    /// Nothing new to a node later than this after the word that it drains or is gone.
    pub drain_grace: Ms,
    /// What is told to nobody counts as told after this.
    pub told_after: Ms,
    /// A cold node falls when sent more than this many times what it can do.
    pub fall_multiple: f64,
    /// The time over which that is judged.
    pub fall_time: Ms,
    /// The ceiling's slack, as a share of its burst; one request at the least.
    pub ceiling_slack: Percent,
    /// The slack is wider by what the ceiling's rate gives in this time.
    pub ceiling_time: Ms,
    /// The most attempts of one try.
    pub attempts: usize,
    /// Allowance for the way between stand-ins, on each time limit.
    pub time_slack: Ms,
    /// Two tries at this much of the kit's own lateness: a run with more of its deeds later than this is void.
    pub kit_late: Ms,
    /// The share of deeds that may be later.
    pub kit_late_share: Percent,
    /// One deed later than this makes it void.
    pub kit_latest: Ms,
}

impl Default for RuleFigures {
    fn default() -> Self {
        Self {
            answer_slack: Ms::of(50.0),
            drain_grace: Ms::of(250.0),
            told_after: Ms::of(6000.0),
            fall_multiple: 2.0,
            fall_time: Ms::of(3000.0),
            ceiling_slack: Percent::of(0.1),
            ceiling_time: Ms::of(150.0),
            attempts: 6,
            time_slack: Ms::of(50.0),
            kit_late: Ms::of(25.0),
            kit_late_share: Percent::of(0.02),
            kit_latest: Ms::of(400.0),
        }
    }
}

/// What each gateway may use, by its configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Memory, told to the gateway and not enforced here.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: 512, memory_mb: 128 }
    }
}

/// One kind of trouble.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// A share of the gateways is killed and comes back under the same name and address with an old list.
    KillGateways,
    /// A share of the gateways is asked to end, killed if it does not, and comes back.
    RestartGateways,
    /// Discovery and counter move; the gateways' files change and they are told by signal.
    MoveServices,
    /// A share of the nodes dies and comes back cold.
    KillNodes,
    /// A share of the nodes stands still, again and again.
    StallNodes,
    /// A share of the nodes drains, then goes and comes back cold.
    DrainNodes,
    /// Some accounts ask for far more than their quota: `share` of the load offered in all.
    Flood,
    /// Accounts seen once: `share` of the load offered on top.
    SeenOnce,
    /// Each gateway gets `rate` connections from ever new addresses that say nothing, half of something or little of worth.
    FloodConnections,
    /// A share of the attempts is cut off: half before, half after the node has begun with it.
    ResetConnections,
    /// A share of the kept connections is forgotten by their node, which the next request shows.
    StaleConnections,
    /// A share of the answers comes spoilt.
    SpoilAnswers,
    /// The counter needs `by` longer for each answer.
    CounterSlow,
    /// The counter takes calls and answers none.
    CounterSilent,
    /// The counter is replaced by one that starts at zero.
    CounterReplaced,
    /// Discovery answers nothing.
    DiscoverySilent,
}

impl TroubleKind {
    /// Whether it needs a `share`.
    fn takes_share(self) -> bool {
        !matches!(
            self,
            Self::MoveServices
                | Self::CounterSlow
                | Self::CounterSilent
                | Self::CounterReplaced
                | Self::DiscoverySilent
                | Self::FloodConnections
        )
    }

    /// Whether it is over at once, so that `for` says nothing.
    fn is_instant(self) -> bool {
        matches!(self, Self::MoveServices | Self::CounterReplaced)
    }

    /// Its name in files and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::KillGateways => "kill-gateways",
            Self::RestartGateways => "restart-gateways",
            Self::MoveServices => "move-services",
            Self::KillNodes => "kill-nodes",
            Self::StallNodes => "stall-nodes",
            Self::DrainNodes => "drain-nodes",
            Self::Flood => "flood",
            Self::SeenOnce => "seen-once",
            Self::FloodConnections => "flood-connections",
            Self::ResetConnections => "reset-connections",
            Self::StaleConnections => "stale-connections",
            Self::SpoilAnswers => "spoil-answers",
            Self::CounterSlow => "counter-slow",
            Self::CounterSilent => "counter-silent",
            Self::CounterReplaced => "counter-replaced",
            Self::DiscoverySilent => "discovery-silent",
        }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub kind: TroubleKind,
    /// When it begins.
    pub at: Ms,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Option<Ms>,
    /// How much of what its kind says.
    pub share: Option<Percent>,
    /// `stall-nodes`: how often and for how long. `counter-slow`: by how much.
    pub every: Option<Ms>,
    /// See `every`.
    pub by: Option<Ms>,
    /// `flood`: how many accounts, and of which plan.
    pub accounts: Option<usize>,
    /// See `accounts`.
    pub plan: Option<String>,
    /// `flood-connections`: how many.
    pub rate: Option<PerSecond>,
}

impl Trouble {
    /// When it is over, in ms.
    pub fn end(&self) -> f64 {
        self.at.0 + self.lasts.map_or(0.0, |l| l.0)
    }

    /// Its share, 0 where it has none.
    pub fn part(&self) -> f64 {
        self.share.map_or(0.0, |s| s.0)
    }

    /// Whether it is on at a time.
    pub fn is_on(&self, at: f64) -> bool {
        (self.at.0..self.end()).contains(&at)
    }
}

fn zero_percent() -> Percent {
    Percent::of(0.0)
}

fn zero_time() -> Ms {
    Ms::of(0.0)
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// On the first fault, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, FileError> {
        file::read(file, text, Self::check)
    }

    fn check(&self) -> Result<(), Fault> {
        let fault = |key: &str, what: &str| Err((key.to_owned(), what.to_owned()));
        let within = |key: &str, value: usize, most: usize| {
            if (1..=most).contains(&value) {
                Ok(())
            } else {
                Err((key.to_owned(), format!("is {value}; from 1 to {most} is possible")))
            }
        };
        if !(1000.0..=LONGEST).contains(&self.length.0) {
            return fault("length", "must be from 1s to 10min");
        }
        within("fleet.gateways", self.fleet.gateways, MOST_GATEWAYS)?;
        within("fleet.nodes", self.fleet.nodes, MOST_NODES)?;
        within("fleet.racks", self.fleet.racks, self.fleet.nodes)?;
        within("node.slots-per-core", self.node.slots_per_core, 64)?;
        within("node.waiting-per-core", self.node.waiting_per_core, 1000)?;
        within("node.connections", self.node.connections, 4096)?;
        within("counter.parts", self.counter.parts, 8)?;
        within("counter.connections", self.counter.connections, 1024)?;
        within("limits.sockets", self.limits.sockets, 65_536)?;
        if !(0.01..=1.0).contains(&self.node.cold_from.0) {
            return fault("node.cold-from", "must be from 1% to 100%");
        }
        if self.counter.capacity.0 < 1.0 {
            return fault("counter.capacity", "must be at least 1/s");
        }
        if !(1.0..=MOST_ACCOUNTS_RATE).contains(&self.clients.offered.0) {
            return fault("clients.offered", "must be from 1/s to 2000/s");
        }
        if !(1..=4).contains(&self.clients.tries) {
            return fault("clients.tries", "must be from 1 to 4");
        }
        if self.clients.patience.low <= 0.0 || self.clients.patience.high > 1.0 {
            return fault("clients.patience", "must lie above 0% and not above 100%");
        }
        if !(0.0..=5.0).contains(&self.front.skew) {
            return fault("front.skew", "must be from 0 to 5");
        }
        if self.front.moves.low < 100.0 {
            return fault("front.moves", "must be at least 100ms");
        }
        self.check_parts()?;
        if let Some(settings) = &self.settings {
            Operators::parse("settings", settings)
                .map_err(|error| ("settings".to_owned(), error.to_string()))?;
        }
        for (n, trouble) in self.trouble.iter().enumerate() {
            self.check_trouble(trouble).map_err(|(key, what)| {
                (
                    format!("trouble.{n}.{key}"),
                    format!("{what} (in a trouble of kind {})", trouble.kind.name()),
                )
            })?;
        }
        Ok(())
    }

    fn check_parts(&self) -> Result<(), Fault> {
        let total = |key: &str, shares: Vec<f64>| {
            let sum: f64 = shares.iter().sum();
            if (sum - 1.0).abs() < 1e-6 {
                return Ok(());
            }
            Err((
                format!("{key}.0.share"),
                format!("the shares of all [[{key}]] add up to {:.1}%, not to 100%", sum * 100.0),
            ))
        };
        total("machine", self.machine.iter().map(|m| m.share.0).collect())?;
        total("class", self.class.iter().map(|c| c.share.0).collect())?;
        total("plan", self.plan.iter().map(|p| p.share.0).collect())?;
        for (n, machine) in self.machine.iter().enumerate() {
            if machine.cores == 0 || machine.cores > 64 {
                return Err((format!("machine.{n}.cores"), "must be from 1 to 64".into()));
            }
            if machine.speed.low < 0.01 {
                return Err((format!("machine.{n}.speed"), "must be at least 1%".into()));
            }
        }
        for (n, class) in self.class.iter().enumerate() {
            let plain =
                !class.name.is_empty() && class.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if !plain {
                return Err((format!("class.{n}.name"), "must be letters, digits and hyphens".into()));
            }
            if class.work.0 <= 0.0 || class.deadline.0 < class.aim.0 || class.aim.0 <= 0.0 {
                return Err((
                    format!("class.{n}.deadline"),
                    "work and aim must be above 0, the deadline not under the aim".into(),
                ));
            }
            if (class.effect == Effect::Keyed) != class.memory.is_some() {
                return Err((
                    format!("class.{n}.effect"),
                    "a keyed class needs a memory, such as \"4s\", and no other has one".into(),
                ));
            }
            if !(class.worth > 0.0 && class.worth.is_finite()) {
                return Err((format!("class.{n}.worth"), "must be a number above 0".into()));
            }
        }
        for (n, plan) in self.plan.iter().enumerate() {
            if plan.rate.0 <= 0.0 || !(plan.burst >= 1.0 && plan.burst.is_finite()) {
                return Err((
                    format!("plan.{n}.burst"),
                    "the rate must be above 0 and the burst at least 1".into(),
                ));
            }
            if plan.spread == 0 || plan.spread > self.fleet.gateways {
                return Err((format!("plan.{n}.spread"), "must be from 1 to the number of gateways".into()));
            }
            if plan.ceiling.is_some_and(|c| !(c >= 1.0 && c.is_finite())) {
                return Err((format!("plan.{n}.ceiling"), "must be 1 or more, in times the quota".into()));
            }
            if plan.full.0 + plan.heavy.0 + plan.spiky.0 > 1.0 {
                return Err((
                    format!("plan.{n}.full"),
                    "full, heavy and spiky add up to more than 100%".into(),
                ));
            }
        }
        Ok(())
    }

    fn check_trouble(&self, trouble: &Trouble) -> Result<(), Fault> {
        let kind = trouble.kind;
        let fault = |key: &str, what: &str| Err((key.to_owned(), what.to_owned()));
        if trouble.at.0 >= self.length.0 {
            return fault("at", "lies at or behind the end of the scenario");
        }
        if kind.takes_share() != trouble.share.is_some() {
            return fault(
                "kind",
                if kind.takes_share() { "needs a share, such as \"20%\"" } else { "takes no share" },
            );
        }
        if kind.is_instant() == trouble.lasts.is_some() {
            return fault(
                "kind",
                if kind.is_instant() {
                    "is over at once and takes no `for`"
                } else {
                    "needs a `for`, such as \"8s\""
                },
            );
        }
        let shares_fleet = !matches!(kind, TroubleKind::Flood | TroubleKind::SeenOnce);
        if shares_fleet && trouble.part() > 1.0 || trouble.part() > 5.0 {
            return fault("share", "is too large");
        }
        if (kind == TroubleKind::StallNodes) != trouble.every.is_some() {
            return fault("kind", "`every` belongs to stall-nodes, which needs it");
        }
        let needs_by = matches!(kind, TroubleKind::StallNodes | TroubleKind::CounterSlow);
        if needs_by != trouble.by.is_some() {
            return fault("kind", "`by` belongs to stall-nodes and counter-slow, which need it");
        }
        if trouble.every.zip(trouble.by).is_some_and(|(every, by)| every.0 <= by.0) {
            return fault("every", "must be longer than `by`");
        }
        if kind != TroubleKind::Flood && (trouble.accounts.is_some() || trouble.plan.is_some()) {
            return fault("kind", "`accounts` and `plan` belong to flood");
        }
        if kind == TroubleKind::Flood && !(1..=10).contains(&trouble.accounts.unwrap_or(1)) {
            return fault("accounts", "must be from 1 to 10");
        }
        if (kind == TroubleKind::FloodConnections) != trouble.rate.is_some() {
            return fault("kind", "`rate` belongs to flood-connections, which needs it");
        }
        if trouble.rate.is_some_and(|rate| !(1.0..=MOST_CONNECTIONS_RATE).contains(&rate.0)) {
            return fault("rate", "must be from 1/s to 1000/s");
        }
        if trouble.plan.as_ref().is_some_and(|name| self.plan_place(name).is_none()) {
            return fault("plan", "there is no such plan");
        }
        Ok(())
    }

    /// The class of a name.
    pub fn class_named(&self, name: &str) -> Option<&ClassFigures> {
        self.class.iter().find(|c| c.name == name)
    }

    /// The place of the plan of a name.
    pub fn plan_place(&self, name: &str) -> Option<usize> {
        self.plan.iter().position(|p| p.name == name)
    }

    /// How nodes start and when they fall: one reading of it for nodes and judge.
    pub fn cold(&self) -> Cold {
        Cold {
            from: self.node.cold_from.0,
            time: self.node.cold_for.0,
            multiple: self.rules.fall_multiple,
            window: self.rules.fall_time.0,
        }
    }
}
