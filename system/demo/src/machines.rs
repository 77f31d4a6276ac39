//! Machines of the walk: each an address of the loopback range, its processes children of this one.

use rustix::process::{Pid, Signal, kill_process};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};

/// Zones and their regions.
pub const ZONES: [(&str, &str); 3] = [("alder-a", "alder"), ("birch-a", "birch"), ("cedar-a", "cedar")];

/// A core machine's or a proxy's number in its zone.
pub const CORE: u8 = 1;
pub const PROXY: u8 = 2;
/// A second proxy of a zone, where a deployment has one, and the name that it is started by.
pub const SECOND: u8 = 3;
pub const SECOND_PROXY: &str = "fennelscale-proxy-2";
const PROXY_PROGRAM: &str = "fennelscale-proxy";
/// The programs of core machines.
pub const STORE: &str = "fennelscale-config-store";
pub const REGISTRY: &str = "fennelscale-registry";
/// The further core machines of a zone have numbers from here on, behind those of all proxies.
const FURTHER_CORE: u8 = 90;
/// How long a program may take to end after SIGTERM, as its settings say, unless a run needs another time.
const GRACE: Duration = Duration::from_secs(3);

/// The name by which a zone's proxy of this number is started, the first being 0.
pub fn proxy_program(number: usize) -> String {
    numbered(PROXY_PROGRAM, number)
}

/// The name by which a program is started on the zone's machine of this number, the first being 0.
pub fn numbered(program: &str, number: usize) -> String {
    if number == 0 { program.to_owned() } else { format!("{program}-{}", number + 1) }
}

fn core_machine(number: usize) -> u8 {
    if number == 0 { CORE } else { FURTHER_CORE + number as u8 }
}

/// Its machine.
pub fn proxy_machine(number: usize) -> u8 {
    PROXY + number as u8
}

/// The program that a name starts, and the number of the zone's machine.
fn program_of(name: &str) -> (&str, usize) {
    let number_behind = |program: &&str| name.strip_prefix(program)?.strip_prefix('-')?.parse::<usize>().ok();
    let known = [PROXY_PROGRAM, STORE, REGISTRY];
    let numbered = known.iter().find_map(|program| Some((*program, number_behind(program)?)));
    numbered.map_or((name, 0), |(program, number)| (program, number.saturating_sub(1)))
}

/// The environment variables of programs with faulty links: the file of faulty directions, and the machine's address.
#[derive(Clone, Copy, Debug)]
pub struct LinkFaultVariables {
    pub file: &'static str,
    pub address: &'static str,
}

/// All machines.
pub struct Machines {
    folder: PathBuf,
    base: u16,
    net: u8,
    platform: SocketAddr,
    logs: bool,
    running: Vec<(usize, String, Child)>,
    /// How long a program may take to end after SIGTERM.
    pub grace: Duration,
    /// The executable whose programs are run, where it is not this one.
    pub programs: Option<PathBuf>,
    /// The environment variables of programs whose links may be faulty.
    pub link_fault_variables: Option<LinkFaultVariables>,
}

impl Machines {
    /// None running yet; addresses and ports are drawn by this process's number, so that two walks go side by side, and by
    /// `turn`: what stood in for others at an earlier turn of this process listens on.
    pub fn new(folder: &Path, logs: bool, turn: u64) -> Self {
        let number = std::process::id();
        let net = 1 + ((u64::from(number / 600) + turn) % 250) as u8;
        let base = 20_000 + (number % 600) as u16 * 16;
        let platform = SocketAddr::new(Ipv4Addr::new(127, net, 9, 9).into(), base);
        Self {
            folder: folder.to_owned(),
            base,
            net,
            platform,
            logs,
            running: Vec::new(),
            grace: GRACE,
            programs: None,
            link_fault_variables: None,
        }
    }

    pub fn platform(&self) -> SocketAddr {
        self.platform
    }

    pub fn ip(&self, zone: usize, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, zone as u8 + 1, machine)
    }

    /// The address of the zone's core machine of this number, the first being 0.
    pub fn core_ip(&self, zone: usize, number: usize) -> Ipv4Addr {
        self.ip(zone, core_machine(number))
    }

    /// The address of the machine of a proxy.
    pub fn proxy_ip(&self, zone: usize, program: &str) -> Ipv4Addr {
        self.ip(zone, proxy_machine(program_of(program).1))
    }

    fn link_faults_file(&self) -> PathBuf {
        self.folder.join("link-faults")
    }

    /// Sets which directions of links are faulty, one in each line.
    pub fn write_link_faults(&self, lines: &str) -> std::io::Result<()> {
        let new = self.folder.join("link-faults-new");
        std::fs::write(&new, lines)?;
        std::fs::rename(new, self.link_faults_file())
    }

    /// An address of a zone that no process of the system uses.
    pub fn backend(&self, zone: usize, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(zone, 100 + number).into(), self.base + 9)
    }

    pub fn control(&self, zone: usize) -> SocketAddr {
        self.control_of(zone, 0)
    }

    /// The control address of the zone's core machine of this number, the first being 0.
    pub fn control_of(&self, zone: usize, number: usize) -> SocketAddr {
        SocketAddr::new(self.ip(zone, core_machine(number)).into(), self.base + 10)
    }

    pub fn directory(&self, zone: usize) -> SocketAddr {
        SocketAddr::new(self.ip(zone, CORE).into(), self.base + 11)
    }

    pub fn clients(&self, zone: usize) -> SocketAddr {
        self.clients_of(zone, PROXY)
    }

    pub fn clients_of(&self, zone: usize, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(zone, machine).into(), self.base + 12)
    }

    pub fn readiness(&self, zone: usize) -> SocketAddr {
        self.readiness_of(zone, PROXY)
    }

    pub fn readiness_of(&self, zone: usize, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(zone, machine).into(), self.base + 13)
    }

    fn machine_ip(&self, zone: usize, program: &str) -> Ipv4Addr {
        match program_of(program) {
            (PROXY_PROGRAM, _) => self.proxy_ip(zone, program),
            (_, number) => self.core_ip(zone, number),
        }
    }

    fn settings(&self, zone: usize, program: &str, bootstrap: bool) -> String {
        let (name, region) = ZONES[zone];
        let (kind, number) = program_of(program);
        let core = kind != PROXY_PROGRAM;
        let ip = self.machine_ip(zone, program);
        let at = |port: u16| SocketAddr::new(ip.into(), self.base + port);
        let seeds: Vec<String> = (0..ZONES.len()).map(|z| format!("\"{}\"", self.control(z))).collect();
        let zones: Vec<String> =
            ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let listen = if core {
            format!("controlPlane = \"{}\"\ndirectory = \"{}\"", at(10), at(11))
        } else {
            format!("frontend = \"{}\"\nreadiness = \"{}\"", at(12), at(13))
        };
        let data = self.folder.join(format!("disk-{zone}-{number}"));
        format!(
            r#"nodeName = "{program}-{name}"
role = "{program}"
machineClass = "{class}"
serves = []
ipAddress = "{ip}"
zone = "{name}"
region = "{region}"
internalPortRange = [{first}, {last}]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
countsTowardQuorum = {core}
dataDirectory = "{data}"
heartbeatInterval = "1500ms"
bounds = ["drain=4000ms", "gracePeriod={grace}ms"]
[zones]
{zones}
[listenAddresses]
{listen}
[limits]
memoryMb = 256
maxFileDescriptors = 4100
diskMb = 256
[faultTolerance]
machineLosses = 1
zones = 1
regionLosses = 1
[failureOrders]
mostInAll = 500
mostPerS = 100.0
longest = "60s"
kinds = ["refuse", "delay", "cut-request", "lose-answer", "cut-answer", "slow-answer"]
[cloudApi]
address = "{platform}"
ratePerS = 50.0
maxLag = "100ms"
"#,
            class = if core { "core" } else { "frontend" },
            first = self.base,
            last = self.base + 8,
            seeds = seeds.join(", "),
            data = data.display(),
            grace = self.grace.as_millis(),
            zones = zones.concat(),
            platform = self.platform,
        )
    }

    /// The platform is elsewhere from now on: the settings of a machine's program say so.
    pub fn move_platform(&mut self, to: SocketAddr) -> miette::Result<()> {
        self.platform = to;
        for (zone, program, _) in &self.running {
            let file = self.folder.join(format!("{program}-{zone}.toml"));
            let failed = |error: std::io::Error| miette::miette!("{}: {error}", file.display());
            std::fs::write(&file, self.settings(*zone, program, false)).map_err(failed)?;
        }
        Ok(())
    }

    /// Starts a program of a machine.
    pub fn start(&mut self, zone: usize, program: &str, bootstrap: bool) -> miette::Result<()> {
        let file = self.folder.join(format!("{program}-{zone}.toml"));
        let failed = |error: std::io::Error| miette::miette!("{program} in {}: {error}", ZONES[zone].0);
        std::fs::write(&file, self.settings(zone, program, bootstrap)).map_err(failed)?;
        let executable = match &self.programs {
            Some(programs) => programs.clone(),
            None => std::env::current_exe().map_err(failed)?,
        };
        let mut command = Command::new(executable);
        command.arg(program_of(program).0).env("FENNELSCALE_CONFIG", &file).kill_on_drop(true);
        if let Some(variables) = self.link_fault_variables {
            command.env(variables.file, self.link_faults_file());
            command.env(variables.address, self.machine_ip(zone, program).to_string());
        }
        if !self.logs {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().map_err(failed)?;
        self.running.push((zone, program.to_owned(), child));
        Ok(())
    }

    /// Sends a signal to a program of a machine.
    pub fn signal(&self, zone: usize, program: &str, signal: Signal) {
        if let Some(pid) = self.process(zone, program).and_then(|id| Pid::from_raw(id as i32)) {
            // It may have ended by itself just now; then there is nobody to tell.
            let _ = kill_process(pid, signal);
        }
    }

    /// The process of a machine's program.
    pub fn process(&self, zone: usize, program: &str) -> Option<u32> {
        self.running.iter().find(|(z, p, _)| *z == zone && *p == program)?.2.id()
    }

    /// Waits for a program to end; its status.
    pub async fn ended(&mut self, zone: usize, program: &str) -> Option<i32> {
        self.take(zone, program)?.wait().await.ok()?.code()
    }

    /// A program that has ended by itself, and how, if there is one.
    pub fn first_ended(&mut self) -> Option<String> {
        self.running.iter_mut().find_map(|(zone, program, child)| {
            let status = child.try_wait().ok()??;
            Some(format!("{program} in {} has ended: {status}", ZONES[*zone].0))
        })
    }

    /// Gives the process of a program away, to be waited for.
    pub fn take(&mut self, zone: usize, program: &str) -> Option<Child> {
        let at = self.running.iter().position(|(z, p, _)| *z == zone && *p == program)?;
        Some(self.running.remove(at).2)
    }
}
