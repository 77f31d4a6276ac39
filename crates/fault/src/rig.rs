//! The rig: processes of the program behind relays, a witness of their effects, and the record.

use crate::record::{Line, Shown, What};
use crate::relay::Relay;
use crate::script::{Fault, Link, Script};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Rights that all processes want.
pub const RIGHTS: [&str; 2] = ["sweep", "bill"];
/// A process that is asked answers within this, or is left alone for now.
const ANSWER: Duration = Duration::from_millis(6500);
/// Between two wishes.
const WISHES: Duration = Duration::from_millis(100);
/// All processes have to show the same within this from the end of all faults.
const RECOVERY: Duration = Duration::from_secs(60);
/// A process has to be there within this.
const START: Duration = Duration::from_secs(30);

struct Process {
    name: String,
    folder: PathBuf,
    pid: Cell<Option<Pid>>,
    stopped: Cell<bool>,
    /// Where its peers and its operators reach it, while it runs.
    at: watch::Sender<Option<(SocketAddr, SocketAddr)>>,
    runs: watch::Sender<bool>,
}

/// Processes, links and record.
pub struct Rig {
    program: PathBuf,
    folder: PathBuf,
    script: Script,
    began: Instant,
    processes: Vec<Process>,
    relays: BTreeMap<(usize, usize), Relay>,
    witness: SocketAddr,
    record: RefCell<Vec<Line>>,
    ending: Cell<bool>,
    seed: u64,
}

fn told<E: std::fmt::Display>(what: impl std::fmt::Display) -> impl FnOnce(E) -> io::Error {
    move |error| io::Error::other(format!("{what}: {error}"))
}

/// Plays a script with a program and returns the record. `folder` takes disks and logs.
///
/// # Errors
/// When the machine does not let it: no address, no process, no file.
pub async fn play(program: &Path, folder: &Path, script: Script, seed: u64) -> io::Result<Vec<Line>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let witness = listener.local_addr()?;
    let processes = (0..script.processes)
        .map(|n| Process {
            name: format!("g{n}"),
            folder: folder.join(format!("g{n}")),
            pid: Cell::new(None),
            stopped: Cell::new(false),
            at: watch::Sender::new(None),
            runs: watch::Sender::new(false),
        })
        .collect();
    let mut relays = BTreeMap::new();
    for from in 0..script.processes {
        for to in (0..script.processes).filter(|to| *to != from) {
            relays.insert((from, to), Relay::start().await?);
        }
    }
    let rig = Rc::new(Rig {
        program: program.to_owned(),
        folder: folder.to_owned(),
        began: Instant::now(),
        processes,
        relays,
        witness,
        record: RefCell::default(),
        ending: Cell::new(false),
        seed,
        script,
    });
    rig.note(What::Script(rig.script.clone()));
    spawn_local(rig.clone().watch_effects(listener));
    let played = rig.clone().run().await;
    rig.ending.set(true);
    for process in &rig.processes {
        process.signal(Signal::KILL);
        let _ = timeout(START, process.runs.subscribe().wait_for(|runs| !runs)).await;
    }
    played?;
    Ok(rig.record.take())
}

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.get() {
            // One that has ended meanwhile needs none.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Rig {
    fn note(&self, what: What) {
        let at = self.began.elapsed().as_secs_f64() * 1000.0;
        self.record.borrow_mut().push(Line { at, what });
    }

    async fn run(self: Rc<Self>) -> io::Result<()> {
        for n in 0..self.script.processes {
            std::fs::create_dir_all(&self.processes[n].folder)?;
            self.write_files(n)?;
            if n < self.script.keepers {
                self.init(n).await?;
            }
        }
        for n in 0..self.script.processes {
            self.start(n).await?;
        }
        self.until_all_see_all().await?;
        let wishing = spawn_local(self.clone().wish());
        let begin = Instant::now();
        for step in &self.script.steps {
            sleep_until(begin + Duration::from_millis(step.at)).await;
            self.do_fault(&step.fault).await?;
        }
        sleep_until(begin + Duration::from_millis(self.script.length)).await;
        self.do_fault(&Fault::Heal).await?;
        self.note(What::Healed);
        sleep(Duration::from_secs(2)).await;
        wishing.abort();
        self.until_all_show_the_same().await;
        Ok(())
    }

    /// The process's files. Ports are of the machine's choice; links lead over the relays.
    fn write_files(&self, n: usize) -> io::Result<()> {
        let process = &self.processes[n];
        let config = json!({
            "name": process.name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "counter": "127.0.0.1:9",
            "seed": format!("{:x}", self.seed * 64 + n as u64 + 1),
            "settings": {
                "fleet-size": self.script.processes, "my-number": n,
                "classes": [{"name": "look", "effect": "idempotent", "goal-time-ms": 500}],
                "plans": [{"name": "p", "refill": 5, "burst": 10}],
                "extra": {"has-counter": true, "count-limit-ms": 50},
            },
        });
        std::fs::write(process.folder.join("config.json"), config.to_string())?;
        let relay = |to: usize| self.relays.get(&(n, to)).map(Relay::at);
        let mut text =
            String::from("[fleet]\nname = \"rig\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n");
        let _ = writeln!(text, "networks = [\"127.0.0.0/8\"]");
        if n < self.script.keepers {
            let _ = writeln!(text, "disk = {:?}", process.folder.join("disk"));
        }
        let _ = writeln!(text, "[fleet.watch]\nperiod = \"500ms\"\nsuspicion = \"4s\"");
        let (offset, drift) = self.script.clocks[n];
        let _ = writeln!(text, "[fleet.clock]\noffset = \"{offset}ms\"\ndrift-ppm = {drift}");
        // Peers are told apart by name; where they listen is known only once they run. The address here is never used.
        let _ = writeln!(text, "[fleet.keepers]");
        for keeper in 0..self.script.keepers {
            let _ = writeln!(text, "g{keeper} = \"127.0.0.1:{}\"", keeper + 1);
        }
        let _ = writeln!(text, "[fleet.reach]");
        for to in 0..self.script.processes {
            if let Some(at) = relay(to) {
                let _ = writeln!(text, "g{to} = \"{at}\"");
            }
        }
        for right in RIGHTS {
            let _ = writeln!(
                text,
                "[fleet.rights.{right}]\nlength = \"{}ms\"\nwitness = \"{}\"\nevery = \"20ms\"",
                self.script.lease, self.witness
            );
        }
        std::fs::write(process.folder.join("settings.toml"), text)
    }

    async fn init(&self, n: usize) -> io::Result<()> {
        let process = &self.processes[n];
        let done = Command::new(&self.program)
            .args(["fleet", "init", &process.name, "--settings"])
            .arg(process.folder.join("settings.toml"))
            .stdin(Stdio::null())
            .output()
            .await?;
        if !done.status.success() {
            return Err(io::Error::other(format!("fleet init: {}", String::from_utf8_lossy(&done.stderr))));
        }
        Ok(())
    }

    async fn start(self: &Rc<Self>, n: usize) -> io::Result<()> {
        let process = &self.processes[n];
        if *process.runs.borrow() {
            return Ok(());
        }
        let mut child = Command::new(&self.program)
            .arg("tethered")
            .arg(std::process::id().to_string())
            .env("NODE_CONFIG", process.folder.join("config.json"))
            .env("FENNELSCALE_SETTINGS", process.folder.join("settings.toml"))
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        process.pid.set(child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw));
        process.stopped.set(false);
        process.runs.send_replace(true);
        self.note(What::Started(n));
        if let Some(errors) = child.stderr.take() {
            spawn_local(self.clone().read_log(n, errors));
        }
        let rig = self.clone();
        spawn_local(async move {
            let status = child.wait().await;
            let process = &rig.processes[n];
            let killed = status.is_ok_and(|status| status.code().is_none());
            process.pid.set(None);
            process.at.send_replace(None);
            process.runs.send_replace(false);
            for from in (0..rig.script.processes).filter(|from| *from != n) {
                if let Some(relay) = rig.relays.get(&(from, n)) {
                    relay.lead_to(None);
                }
            }
            if !rig.ending.get() {
                // The rig ends processes by a signal only, and nobody else does.
                rig.note(What::Ended { process: n, wanted: killed });
            }
        });
        let mut at = process.at.subscribe();
        let there = timeout(START, at.wait_for(Option::is_some)).await;
        there
            .map_err(told(format!("{} did not start, see its log", process.name)))?
            .map_err(told("start"))?;
        Ok(())
    }

    /// Reads what a process writes: its addresses, and whom it names gone.
    async fn read_log(self: Rc<Self>, n: usize, errors: impl AsyncRead + Unpin) {
        let process = &self.processes[n];
        let path = self.folder.join(format!("g{n}.log"));
        let mut log = std::fs::OpenOptions::new().create(true).append(true).open(path).ok();
        let mut lines = BufReader::new(errors).lines();
        let mut control = None;
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(log) = &mut log {
                let _ = io::Write::write_all(log, format!("{line}\n").as_bytes());
            }
            if let Some(at) = line.strip_prefix("fleet: operators at ") {
                control = at.parse().ok();
            }
            let here =
                line.strip_prefix(&format!("fleet rig: {} at ", process.name)).and_then(|at| at.parse().ok());
            if let (Some(at), Some(control)) = (here, control) {
                for from in (0..self.script.processes).filter(|from| *from != n) {
                    if let Some(relay) = self.relays.get(&(from, n)) {
                        relay.lead_to(Some(at));
                    }
                }
                process.at.send_replace(Some((at, control)));
            }
            let gone = line.strip_prefix("fleet: g").and_then(|rest| rest.strip_suffix(" is gone"));
            let of = gone.and_then(|rest| rest.split('#').next()).and_then(|of| of.parse().ok());
            if let Some(of) = of {
                self.note(What::Gone { by: n, of });
            }
        }
    }

    async fn do_fault(self: &Rc<Self>, fault: &Fault) -> io::Result<()> {
        self.note(What::Done(*fault));
        match *fault {
            Fault::Link { from, to, link } => self.set(from, to, link),
            Fault::Links { of, link } => {
                for other in 0..self.script.processes {
                    self.set(of, other, link);
                    self.set(other, of, link);
                }
            }
            Fault::Stop(n) => {
                self.processes[n].stopped.set(true);
                self.processes[n].signal(Signal::STOP);
            }
            Fault::Go(n) => self.go(n),
            Fault::Kill(n) => self.kill(n).await,
            Fault::Start(n) => self.start(n).await?,
            Fault::StartWithoutDisk(n) => {
                self.kill(n).await;
                match std::fs::remove_dir_all(self.processes[n].folder.join("disk")) {
                    Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                    _ => self.start(n).await?,
                }
            }
            Fault::Heal => {
                for relay in self.relays.values() {
                    relay.set(Link::Pass);
                }
                for n in 0..self.script.processes {
                    self.go(n);
                    self.start(n).await?;
                }
            }
        }
        Ok(())
    }

    fn set(&self, from: usize, to: usize, link: Link) {
        if let Some(relay) = self.relays.get(&(from, to)) {
            relay.set(link);
        }
    }

    fn go(&self, n: usize) {
        if self.processes[n].stopped.replace(false) {
            self.processes[n].signal(Signal::CONT);
        }
    }

    async fn kill(&self, n: usize) {
        let process = &self.processes[n];
        process.signal(Signal::KILL);
        let _ = timeout(START, process.runs.subscribe().wait_for(|runs| !runs)).await;
    }

    /// Asks a process for something; nothing if it does not answer.
    async fn ask(&self, n: usize, deed: &Value) -> Option<Value> {
        let (_, control) = (*self.processes[n].at.borrow())?;
        let answer = async {
            let mut stream = TcpStream::connect(control).await.ok()?;
            stream.write_all(format!("{deed}\n").as_bytes()).await.ok()?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line).await.ok()?;
            serde_json::from_str(&line).ok()
        };
        timeout(ANSWER, answer).await.ok()?
    }

    async fn show(&self, n: usize) -> Option<Shown> {
        let answer = self.ask(n, &json!({"deed": "status"})).await?;
        serde_json::from_value(answer.get("status")?.clone()).ok()
    }

    async fn until_all_see_all(&self) -> io::Result<()> {
        let all = async {
            for n in 0..self.script.processes {
                loop {
                    let shown = self.show(n).await;
                    let sees =
                        |shown: &Shown| shown.members.len() == self.script.processes && shown.index > 1;
                    if shown.as_ref().is_some_and(sees) {
                        break;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            }
        };
        timeout(RECOVERY, all).await.map_err(told("the fleet did not come together before any fault"))
    }

    /// Counts up a topic, by any process, each version on the one before.
    async fn wish(self: Rc<Self>) {
        let mut version = 0;
        for wish in 0_u64.. {
            sleep(WISHES).await;
            let n = usize::try_from(wish).unwrap_or(0) % self.script.processes;
            self.note(What::Asked { wish, follows: version });
            let content = format!("{wish}");
            let deed = json!({"deed": "publish", "topic": "count", "follows": version, "content": content});
            let answer = self.ask(n, &deed).await;
            let how = answer.as_ref().and_then(|answer| answer.get("settled"));
            let number = |key: &str| how.and_then(|how| how.get(key)).and_then(Value::as_u64);
            if let Some(agreed) = number("Done") {
                self.note(What::Agreed { wish, version: agreed });
                version = agreed;
            } else if let Some(other) = number("Version") {
                version = other;
            }
        }
    }

    /// Whether somebody has acted under each right since the faults ended.
    fn all_rights_act(&self) -> bool {
        let record = self.record.borrow();
        let after = record.iter().rev().take_while(|line| line.what != What::Healed);
        let acted: BTreeSet<&str> = after
            .filter_map(|line| match &line.what {
                What::Effect { right, .. } => Some(right.as_str()),
                _ => None,
            })
            .collect();
        acted.len() == RIGHTS.len()
    }

    async fn until_all_show_the_same(&self) {
        let same = async {
            while !self.all_rights_act() {
                sleep(Duration::from_millis(50)).await;
            }
            loop {
                let mut shown = Vec::new();
                for n in 0..self.script.processes {
                    shown.extend(self.show(n).await.map(|shown| (n, shown)));
                }
                let all = shown.len() == self.script.processes;
                let first = shown.first().map(|(_, shown)| (shown.index, shown.hash.clone()));
                let same = shown.iter().all(|(_, s)| Some((s.index, s.hash.clone())) == first);
                let see = shown.iter().all(|(_, s)| s.members.len() == self.script.processes);
                let one = shown.iter().filter(|(_, s)| s.part == "leader").count() == 1;
                for (process, shown) in shown {
                    self.note(What::Shown { process, shown });
                }
                if all && same && see && one {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        let _ = timeout(RECOVERY, same).await;
    }

    async fn watch_effects(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let rig = self.clone();
            spawn_local(async move {
                let mut lines = BufReader::new(stream).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let Ok(effect) = serde_json::from_str::<Value>(&line) else { continue };
                    let text = |key: &str| effect[key].as_str().unwrap_or_default().to_owned();
                    rig.note(What::Effect {
                        right: text("right"),
                        name: text("name"),
                        incarnation: effect["incarnation"].as_u64().unwrap_or(0),
                        fence: effect["fence"].as_u64().unwrap_or(0),
                    });
                }
            });
        }
    }
}
