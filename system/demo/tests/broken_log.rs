//! Each program of the system as a real process whose standard error cannot be written: it starts, serves, and ends with
//! status 0 when it is told to.

use fennelscale_fault::broken_output::BrokenOutput;
use rustix::process::{Pid, Signal, kill_process};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Offsets of ports from the first one, by the settings and by the layout of ports between processes.
const REGISTRY_FOR_STORE_PORT: u16 = 3;
const CONTROL_PORT: u16 = 10;
const DIRECTORY_PORT: u16 = 11;
const FRONTEND_PORT: u16 = 12;
const READINESS_PORT: u16 = 13;
/// Time limit of a condition, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// `gracePeriod` of the settings.
const GRACE: Duration = Duration::from_secs(3);
/// Signals that each have a line written.
const HANGUPS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Program {
    Proxy,
    Registry,
    Store,
}

impl Program {
    fn name(self) -> &'static str {
        match self {
            Self::Proxy => "fennelscale-proxy",
            Self::Registry => "fennelscale-registry",
            Self::Store => "fennelscale-config-store",
        }
    }
}

/// A program with its settings on an address of its own.
struct Process {
    program: Program,
    child: Child,
    at: Ipv4Addr,
    base: u16,
    folder: PathBuf,
    /// The registry of a store's machine, which the store connects to.
    registry: Option<TcpListener>,
}

impl Process {
    fn start(program: Program, output: Stdio, number: u8) -> Self {
        let process = std::process::id();
        let at = Ipv4Addr::new(127, 1 + (process / 600 % 250) as u8, 150 + number, 1);
        let base = 20_000 + (process % 600) as u16 * 16;
        let folder = std::env::temp_dir().join(format!("fennelscale-broken-log-{process}-{number}"));
        fs::create_dir_all(&folder).expect("a folder");
        let registry = (program == Program::Store)
            .then(|| TcpListener::bind((at, base + REGISTRY_FOR_STORE_PORT)).expect("an address"));
        let settings = folder.join("settings.toml");
        fs::write(&settings, settings_text(program, at, base, &folder)).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_fennelscale-demo"))
            .arg(program.name())
            .env("FENNELSCALE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .expect("the program starts");
        Self { program, child, at, base, folder, registry }
    }

    fn signal(&self, signal: Signal) {
        let process = Pid::from_raw(self.child.id() as i32).expect("a process");
        kill_process(process, signal).expect("the process is there");
    }

    /// Whether the program does its work: a call of it is answered, or the store connects to its registry.
    fn serves(&self) -> bool {
        match (&self.registry, self.program) {
            (Some(registry), _) => {
                registry.set_nonblocking(true).expect("a listener");
                registry.accept().is_ok()
            }
            (None, Program::Proxy) => {
                self.call(READINESS_PORT, "/fennelscale/readiness").is_some_and(|text| text.contains("503"))
            }
            (None, _) => {
                self.call(CONTROL_PORT, "/fennelscale/status").is_some_and(|text| text.contains("200 OK"))
            }
        }
    }

    fn call(&self, port: u16, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(SocketAddr::from((self.at, self.base + port))).ok()?;
        stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        Some(answer)
    }

    fn wait_until_serving(&mut self, when: &str) {
        let started_at = Instant::now();
        while !self.serves() {
            let status = self.child.try_wait().expect("the state of the process");
            assert!(status.is_none(), "{} has ended {when}: {status:?}", self.program.name());
            assert!(started_at.elapsed() < TIMEOUT, "{} does not serve {when}", self.program.name());
            sleep(POLL_INTERVAL);
        }
    }

    /// Ends the program; its status, if it ends within its grace period.
    fn terminate(&mut self) -> Option<ExitStatus> {
        self.signal(Signal::TERM);
        let started_at = Instant::now();
        while started_at.elapsed() < GRACE {
            if let Some(status) = self.child.try_wait().expect("the state of the process") {
                return Some(status);
            }
            sleep(POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn settings_text(program: Program, ip: Ipv4Addr, base: u16, folder: &std::path::Path) -> String {
    let listen = |name: &str, port: u16| format!("{name} = \"{ip}:{}\"\n", base + port);
    let listen = match program {
        Program::Proxy => listen("frontend", FRONTEND_PORT) + &listen("readiness", READINESS_PORT),
        _ => listen("controlPlane", CONTROL_PORT) + &listen("directory", DIRECTORY_PORT),
    };
    format!(
        r#"nodeName = "under-test"
role = "{role}"
machineClass = "core"
serves = []
ipAddress = "{ip}"
zone = "a"
region = "r"
internalPortRange = [{base}, {last}]
seedNodes = ["{ip}:{control}"]
bootstrap = false
countsTowardQuorum = true
dataDirectory = "{data}"
heartbeatInterval = "1500ms"
bounds = ["gracePeriod={grace}ms"]
[zones]
a = "r"
[listenAddresses]
{listen}
[limits]
memoryMb = 256
maxFileDescriptors = 800
diskMb = 256
[faultTolerance]
machineLosses = 1
zones = 1
regionLosses = 1
[cloudApi]
address = "{ip}:9"
ratePerS = 50.0
maxLag = "100ms"
"#,
        role = program.name(),
        last = base + 8,
        control = base + CONTROL_PORT,
        data = folder.join("data").display(),
        grace = GRACE.as_millis(),
    )
}

fn plays(program: Program, first_number: u8) {
    for (number, kind) in (first_number..).zip(BrokenOutput::ALL) {
        let opened = kind.open().expect("an output");
        let mut process = Process::start(program, opened.output, number);
        process.wait_until_serving(&format!("with {kind:?}"));
        // Each has a line written: the settings cannot be used any more.
        fs::write(process.folder.join("settings.toml"), "").expect("a settings file");
        for _ in 0..HANGUPS {
            process.signal(Signal::HUP);
            sleep(POLL_INTERVAL);
        }
        process.wait_until_serving(&format!("after signals, with {kind:?}"));
        if program == Program::Registry && kind != BrokenOutput::ReaderStopped {
            let status = process.call(CONTROL_PORT, "/fennelscale/status").unwrap_or_default();
            assert!(status.contains("log_lines_dropped"), "{status}");
            assert!(!status.contains(r#""log_lines_dropped":"0""#), "{kind:?}: {status}");
        }
        let status = process.terminate();
        assert!(status.is_some_and(|status| status.success()), "{program:?} with {kind:?}: {status:?}");
    }
}

/// Guards against the end of a proxy by its log: each line that could not be written ended it, and a reader that had
/// stopped held it up for ever.
#[test]
fn a_proxy_serves_without_its_log() {
    plays(Program::Proxy, 0);
}

/// The same for a registry.
#[test]
fn a_registry_serves_without_its_log() {
    plays(Program::Registry, 10);
}

/// The same for a store.
#[test]
fn a_store_serves_without_its_log() {
    plays(Program::Store, 20);
}
