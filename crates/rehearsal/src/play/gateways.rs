//! Gateways as child processes: started, killed, asked to end, told of changes; none outlives the kit.
//!
//! Each is the rehearsed program called as `PROGRAM tethered PID`: the child asks the kernel to be killed with its
//! parent and then becomes the gateway, in the same process. So none is left behind, however the kit ends.

use super::Order;
use super::counter::Counter;
use super::discovery::Discovery;
use super::kit::Kit;
use super::wire::Connection;
use crate::log::{GatewayState, What};
use crate::scenario::{Effect, Scenario};
use fennelscale_settings::operators;
use fennelscale_time::from_millis;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::fs::OpenOptions;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Of a run's network, gateways have the addresses from here on.
const FIRST_HOST: u8 = 10;
/// How often a gateway is asked whether it is up, in ms.
const ASK: f64 = 20.0;
/// CPU time is looked at this often, in ms.
const LOOK: f64 = 500.0;
/// How long after it was asked to end a gateway is killed, beside the longest deadline, in ms.
const END: f64 = 700.0;
/// The tick of the decisions, in ms.
const TICK: f64 = 4.0;

/// One gateway.
pub(super) struct Gateway {
    kit: Rc<Kit>,
    number: usize,
    /// Where it listens, in every life.
    pub(super) at: SocketAddr,
    process: Cell<Option<Pid>>,
    /// Whether the front sends to it.
    pub(super) in_rotation: Cell<bool>,
    /// It answered `GET /up` in this life.
    ready: watch::Sender<bool>,
    /// The process runs.
    runs: watch::Sender<bool>,
    /// The kit has killed it or asked it to end.
    wanted_gone: Cell<bool>,
    /// The list that its next life begins with.
    known: RefCell<String>,
    cpu: Cell<f64>,
    cpu_before: Cell<f64>,
}

/// All gateways.
pub(super) struct Gateways {
    kit: Rc<Kit>,
    pub(super) all: Vec<Rc<Gateway>>,
    counter: Rc<Counter>,
    discovery: Rc<Discovery>,
    program: PathBuf,
    environment: Vec<(String, String)>,
}

impl Gateways {
    pub(super) async fn start(
        kit: &Rc<Kit>, order: &Order, counter: &Rc<Counter>, discovery: &Rc<Discovery>,
    ) -> io::Result<Rc<Self>> {
        let mut all = Vec::new();
        for number in 0..kit.scenario.fleet.gateways {
            // The address is this run's own, so nobody takes the port while the gateway is away.
            let at = TcpListener::bind(kit.address(FIRST_HOST + number as u8)).await?.local_addr()?;
            all.push(Rc::new(Gateway {
                kit: kit.clone(),
                number,
                at,
                process: Cell::new(None),
                in_rotation: Cell::new(false),
                ready: watch::channel(false).0,
                runs: watch::channel(false).0,
                wanted_gone: Cell::new(false),
                known: RefCell::new(discovery.agents[number].known()),
                cpu: Cell::new(0.0),
                cpu_before: Cell::new(0.0),
            }));
        }
        let this = Rc::new(Self {
            kit: kit.clone(),
            all,
            counter: counter.clone(),
            discovery: discovery.clone(),
            program: order.program.clone(),
            environment: order.environment.clone(),
        });
        // Once, before any gateway may read it.
        if let Some(text) = &kit.scenario.settings {
            std::fs::write(this.settings_path(), text)?;
        }
        for number in 0..this.all.len() {
            this.launch(number)?;
        }
        let looks = this.clone();
        spawn_local(async move {
            loop {
                looks.kit.pause(LOOK).await;
                looks.count_cpu();
            }
        });
        Ok(this)
    }

    /// Waits until all gateways have answered `GET /up`.
    pub(super) async fn all_ready(&self) {
        for gateway in &self.all {
            let _ = gateway.ready.subscribe().wait_for(|ready| *ready).await;
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.kit.folder.join("settings.toml")
    }

    fn config_path(&self, number: usize) -> PathBuf {
        self.kit.folder.join(format!("gateway-{number}.json"))
    }

    fn write_config(&self, number: usize, seed: u64) -> io::Result<()> {
        let gateway = &self.all[number];
        let known: Value = serde_json::from_str(&gateway.known.borrow())?;
        let scenario = &self.kit.scenario;
        let config = json!({
            "name": format!("g{number}"),
            "listen": gateway.at.to_string(),
            "discovery": self.discovery.agents[number].at().to_string(),
            "counter": self.counter.at().to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": scenario.limits.memory_mb, "sockets": scenario.limits.sockets},
            "known": known,
            "settings": settings(scenario, number),
        });
        // Never half a file, for one who reads it meanwhile.
        let path = self.config_path(number);
        let new = path.with_extension("new");
        std::fs::write(&new, serde_json::to_vec_pretty(&config)?)?;
        std::fs::rename(new, path)
    }

    /// Starts a gateway's process.
    pub(super) fn launch(self: &Rc<Self>, number: usize) -> io::Result<()> {
        let gateway = &self.all[number];
        let life = self.kit.service_draw().to_bits();
        self.write_config(number, life ^ self.kit.seed)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.kit.folder.join(format!("gateway-{number}.log")))?;
        let mut command = Command::new(&self.program);
        if self.kit.scenario.settings.is_some() {
            command.env(operators::VARIABLE, self.settings_path());
        }
        let mut child = command
            .arg("tethered")
            .arg(std::process::id().to_string())
            .env("NODE_NAME", format!("g{number}"))
            .env("NODE_LISTEN", gateway.at.to_string())
            .env("NODE_DISCOVERY", self.discovery.agents[number].at().to_string())
            .env("NODE_CONFIG", self.config_path(number))
            .envs(self.environment.iter().map(|(key, value)| (key, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()?;
        let process = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        gateway.process.set(process);
        gateway.wanted_gone.set(false);
        gateway.runs.send_replace(true);
        self.kit.note(What::Gateway { gateway: number, state: GatewayState::Started });
        self.discovery.agents[number].note_all_told();
        let this = gateway.clone();
        spawn_local(async move {
            let _ = child.wait().await;
            this.gone();
        });
        spawn_local(gateway.clone().wait_until_up());
        Ok(())
    }

    /// Kills a gateway. The front notices later.
    pub(super) fn kill(&self, number: usize, notices: f64) {
        let gateway = &self.all[number];
        if !*gateway.runs.borrow() {
            return;
        }
        self.remember(number);
        gateway.wanted_gone.set(true);
        self.kit.note(What::Gateway { gateway: number, state: GatewayState::Killed });
        gateway.signal(Signal::KILL);
        gateway.leave_rotation(notices);
    }

    /// Its next life begins with what its agent has now: an old list by then.
    fn remember(&self, number: usize) {
        self.all[number].known.replace(self.discovery.agents[number].known());
    }

    /// Asks a gateway to end, kills it if it does not, and starts it again.
    pub(super) async fn restart(self: &Rc<Self>, number: usize, notices: f64, away: f64) -> io::Result<()> {
        let gateway = &self.all[number];
        if !*gateway.runs.borrow() {
            return Ok(());
        }
        self.remember(number);
        gateway.wanted_gone.set(true);
        self.kit.note(What::Gateway { gateway: number, state: GatewayState::AskedToEnd });
        gateway.signal(Signal::TERM);
        gateway.leave_rotation(notices);
        let longest = self.kit.scenario.class.iter().map(|c| c.deadline.0).fold(0.0, f64::max);
        let mut runs = gateway.runs.subscribe();
        let ended = runs.wait_for(|runs| !runs);
        if tokio::time::timeout(from_millis(longest + END), ended).await.is_err() {
            // What it holds by now is lost: the judge is not told that the kit ended it.
            gateway.signal(Signal::KILL);
            let _ = gateway.runs.subscribe().wait_for(|runs| !runs).await;
        }
        self.kit.pause(away).await;
        self.launch(number)
    }

    /// Starts a killed gateway again.
    pub(super) async fn revive(self: &Rc<Self>, number: usize) -> io::Result<()> {
        let _ = self.all[number].runs.subscribe().wait_for(|runs| !runs).await;
        self.launch(number)
    }

    /// Writes new addresses into all files and tells the gateways.
    pub(super) fn tell_moved(&self) -> io::Result<()> {
        for gateway in &self.all {
            self.write_config(gateway.number, self.kit.seed)?;
            if *gateway.ready.borrow() && *gateway.runs.borrow() {
                gateway.signal(Signal::HUP);
            }
        }
        Ok(())
    }

    /// Writes down the CPU time used so far.
    pub(super) fn count_cpu(&self) {
        for gateway in &self.all {
            if let Some(used) = gateway.process.get().and_then(|pid| cpu(&pid.as_raw_nonzero().to_string())) {
                gateway.cpu.set(used);
            }
        }
        let gateways = self.all.iter().map(|g| g.cpu.get() + g.cpu_before.get()).sum();
        self.kit.note(What::Cpu { kit: cpu("self").unwrap_or(0.0), gateways });
    }

    /// The run is over: no gateway is needed any more.
    pub(super) async fn end(&self) {
        for gateway in &self.all {
            gateway.wanted_gone.set(true);
            gateway.signal(Signal::KILL);
        }
        for gateway in &self.all {
            let _ = gateway.runs.subscribe().wait_for(|runs| !runs).await;
        }
    }
}

impl Gateway {
    fn signal(&self, signal: Signal) {
        if let Some(process) = self.process.get() {
            // The process is a child that has not been waited for: its number is its own still.
            let _ = kill_process(process, signal);
        }
    }

    fn gone(&self) {
        self.process.set(None);
        self.ready.send_replace(false);
        self.cpu_before.set(self.cpu_before.get() + self.cpu.take());
        let state = if self.wanted_gone.get() { GatewayState::Ended } else { GatewayState::Crashed };
        if state == GatewayState::Crashed {
            self.in_rotation.set(false);
        }
        self.kit.note(What::Gateway { gateway: self.number, state });
        self.runs.send_replace(false);
    }

    async fn wait_until_up(self: Rc<Self>) {
        while *self.runs.borrow() {
            self.kit.pause(ASK).await;
            if self.is_up().await && *self.runs.borrow() && !self.wanted_gone.get() {
                self.kit.note(What::Gateway { gateway: self.number, state: GatewayState::Ready });
                self.in_rotation.set(true);
                self.ready.send_replace(true);
                return;
            }
        }
    }

    async fn is_up(&self) -> bool {
        let ask = async {
            let mut connection = Connection::new(TcpStream::connect(self.at).await.ok()?);
            connection
                .write(b"GET /up HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            connection.read(true).await.ok()
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), ask).await;
        answer.ok().flatten().is_some_and(|message| message.status == 200)
    }

    /// The front goes on sending for a while.
    fn leave_rotation(self: &Rc<Self>, after: f64) {
        let this = self.clone();
        spawn_local(async move {
            this.kit.pause(after).await;
            if this.wanted_gone.get() {
                this.in_rotation.set(false);
            }
        });
    }
}

/// CPU time of a process so far, in ms, by the system's own count.
fn cpu(process: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name, in parentheses, may hold anything; user and system time are the 12th and 13th field behind it.
    let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
    Some(ticks * 1000.0 / rustix::param::clock_ticks_per_second() as f64)
}

/// The settings object of one gateway, by the scenario.
fn settings(scenario: &Scenario, number: usize) -> Value {
    let rules = &scenario.rules;
    let classes: Vec<Value> = scenario
        .class
        .iter()
        .map(|class| {
            json!({
                "name": class.name,
                "goal-time-ms": class.aim.0,
                "hard-limit-ms": class.deadline.0,
                "effect": match class.effect {
                    Effect::Safe => "idempotent",
                    Effect::Keyed => "deduplicated",
                    Effect::Unsafe => "at_most_once",
                },
                "dedup-scope": if class.effect == Effect::Keyed { "cell" } else { "all" },
                "window-ms": class.memory.map_or(0.0, |m| m.0),
                "worth": class.worth,
                "late-value": class.late.0,
                "stream": false,
            })
        })
        .collect();
    let plans: Vec<Value> = scenario
        .plan
        .iter()
        .map(|plan| {
            let times = plan.ceiling.unwrap_or(0.0);
            json!({
                "name": plan.name,
                "refill": plan.rate.0,
                "burst": plan.burst,
                "parallel": 0,
                "cap-rate": plan.rate.0 * times,
                "ceiling-burst": plan.burst * times,
                "ceiling-slack": if times > 0.0 { (rules.ceiling_slack.0 * plan.burst * times).max(1.0) } else { 0.0 },
                "worth-factor": plan.price,
                "over-worth": 0.0,
                "overrun-cost": plan.over_cost.0,
            })
        })
        .collect();
    json!({
        "fleet-size": scenario.fleet.gateways,
        "my-number": number,
        "locality": "rehearsal",
        "zones": ["rehearsal"],
        "period-ms": TICK,
        "discovery": "pushed",
        "classes": classes,
        "plans": plans,
        "clients": {"marks-retry": true},
        "extra": {
            "has-counter": true,
            "count-limit-ms": scenario.counter.give_up.0,
            "trued-up": false,
            "units-top": 1,
        },
        "load-info": {"fields": ["recent_ms", "backlog", "throughput"], "source": "on_probe"},
        "permissions": {
            "dial-timeout-ms": 250.0,
            "keepalive-ms": scenario.node.idle.0,
            "max-retry-after-ms": scenario.clients.longest_advice.0,
            "may-cancel": true,
            "most-tries": rules.attempts,
            "peers": false,
            "probes": true,
            "second-copies": false,
        },
        "rules": {
            "answer-slack-ms": rules.answer_slack.0,
            "cold-from": scenario.node.cold_from.0,
            "cold-ms": scenario.node.cold_for.0,
            "drain-grace-ms": rules.drain_grace.0,
            "overload-factor": rules.fall_multiple,
            "fall-ms": rules.fall_time.0,
        },
        "prices": {"cross-zone": 0.0},
    })
}
