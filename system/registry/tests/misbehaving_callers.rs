//! Tests the registry as a process of its own among callers of its control address that do not behave: it lives, its
//! memory and its open descriptors stay within its settings, and an ordinary call is answered.
//!
//! The limits, the crowds and the bounds are fixed: the bounds are those of the settings.

use fennelscale_fault::process::{descriptors, peak_memory};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The limits in the settings: those of core machines, and low ones.
const CORE_MEMORY_MB: u64 = 256;
const LOW_MEMORY_MB: u64 = 64;
const DESCRIPTORS: usize = 800;
/// Bytes of `memoryMb`.
const MEGABYTE: u64 = 1_000_000;
/// Descriptors that stay reserved for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// The largest call.
const MAX_CALL: usize = 8 << 20;
/// A call of nearly that size.
const LARGE: usize = 7_900_000;
const CHUNK: usize = 1 << 20;
const CROWD: usize = 16;
/// Offsets of ports from the first one.
const CONTROL_PORT: u16 = 10;
const DIRECTORY_PORT: u16 = 11;
/// Time limit of the start, long enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// A caller that can neither write nor read for so long stays as it is.
const STALLED: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The tests of this program run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A registry process, which is killed when this is dropped.
struct Registry {
    child: Child,
    control: SocketAddr,
    settings: PathBuf,
    memory_mb: u64,
}

impl Registry {
    fn start(number: u8, memory_mb: u64) -> Self {
        let process = std::process::id();
        let ip = Ipv4Addr::new(127, 1 + (process / 600 % 250) as u8, 180 + number, 1);
        let base = 20_000 + (process % 600) as u16 * 16;
        let control = SocketAddr::new(ip.into(), base + CONTROL_PORT);
        let directory = SocketAddr::new(ip.into(), base + DIRECTORY_PORT);
        let last = base + 8;
        let text = format!(
            r#"nodeName = "registry-under-test"
role = "registry"
machineClass = "core"
serves = ["control_plane", "directory"]
ipAddress = "{ip}"
zone = "a"
region = "r"
internalPortRange = [{base}, {last}]
seedNodes = ["{control}"]
bootstrap = false
countsTowardQuorum = true
heartbeatInterval = "1500ms"
bounds = ["drain=4000ms", "gracePeriod=3s"]
[zones]
a = "r"
[listenAddresses]
controlPlane = "{control}"
directory = "{directory}"
[limits]
memoryMb = {memory_mb}
maxFileDescriptors = {DESCRIPTORS}
diskMb = 64
[faultTolerance]
machineLosses = 1
zones = 1
regionLosses = 1
[cloudApi]
address = "{ip}:9"
ratePerS = 50.0
maxLag = "100ms"
"#
        );
        let settings = std::env::temp_dir().join(format!("fennelscale-registry-{process}-{number}.toml"));
        fs::write(&settings, text).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_fennelscale-registry"))
            .env("FENNELSCALE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the registry starts");
        let mut registry = Self { child, control, settings, memory_mb };
        let started_at = Instant::now();
        while registry.ordinary_call().is_none() {
            assert!(
                registry.is_alive() && started_at.elapsed() < START_TIMEOUT,
                "the registry did not start"
            );
            sleep(POLL_INTERVAL);
        }
        registry
    }

    fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("the state of the process").is_none()
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.control).ok()?;
        stream.set_write_timeout(Some(STALLED)).expect("a time limit");
        stream.set_read_timeout(Some(START_TIMEOUT)).expect("a time limit");
        Some(stream)
    }

    /// The status of the answer to an ordinary call, if there is one.
    fn ordinary_call(&self) -> Option<u16> {
        let mut stream = self.connect()?;
        stream
            .write_all(b"GET /fennelscale/status HTTP/1.1\r\nHost: registry\r\nConnection: close\r\n\r\n")
            .ok()?;
        status_of(&mut stream)
    }

    /// Sends a call with this body, whole; the status of the answer, if there is one.
    fn call(&self, body: &[u8]) -> Option<u16> {
        let mut stream = self.connect()?;
        let head = format!(
            "PATCH /fennelscale/config HTTP/1.1\r\nHost: registry\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(body).ok()?;
        status_of(&mut stream)
    }

    /// A caller with a chunked body of this size, a byte short of its end; stays open.
    fn chunked_a_byte_short(&self, size: usize) -> Option<TcpStream> {
        let mut stream = self.connect()?;
        let head =
            "PATCH /fennelscale/config HTTP/1.1\r\nHost: registry\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).ok()?;
        let mut rest = size - 1;
        while rest > 0 {
            let length = rest.min(CHUNK);
            let mut chunk = format!("{length:x}\r\n").into_bytes();
            chunk.resize(chunk.len() + length, b'x');
            chunk.extend_from_slice(b"\r\n");
            if stream.write_all(&chunk).is_err() {
                break;
            }
            rest -= length;
        }
        Some(stream)
    }

    fn check(&mut self) {
        assert!(self.is_alive(), "the process has ended");
        let peak = peak_memory(self.child.id()).expect("its memory");
        let open = descriptors(self.child.id()).expect("its descriptors");
        let most = self.memory_mb * MEGABYTE;
        eprintln!("peak memory {peak} of {most} bytes, {open} descriptors");
        assert!(peak <= most, "memory rose to {peak} of {most} bytes");
        assert!(open <= DESCRIPTORS - RESERVED_DESCRIPTORS, "{open} descriptors are open");
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn status_of(stream: &mut TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
}

/// Plays on a registry of its own, and checks it.
fn play(number: u8, memory_mb: u64, crowd: impl FnOnce(&Registry)) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut registry = Registry::start(number, memory_mb);
    crowd(&registry);
    registry.check();
    assert_eq!(registry.ordinary_call(), Some(200), "an ordinary call");
    registry.check();
}

/// Guards against running out of memory: each of 200 connections could hold a whole call.
#[test]
fn many_calls_a_byte_short_of_their_end() {
    play(1, LOW_MEMORY_MB, |registry| {
        let crowd: Vec<Option<TcpStream>> =
            (0..CROWD).map(|_| registry.chunked_a_byte_short(LARGE)).collect();
        assert_eq!(registry.ordinary_call(), Some(200), "beside the crowd");
        drop(crowd);
    });
}

/// A call of the largest size is served in calm: this one is read whole and found to be no configuration.
#[test]
fn one_call_of_the_largest_size_is_read_in_calm() {
    play(2, CORE_MEMORY_MB, |registry| {
        assert_eq!(registry.call(&vec![b' '; MAX_CALL]), Some(400));
    });
}

/// Guards against running out of memory: text of two bytes for each value, which cost far more once parsed.
#[test]
fn calls_of_very_many_values() {
    play(3, LOW_MEMORY_MB, |registry| {
        let body = format!("{{\"upsert\":{{\"tenants\":[1{}]}}}}", ",1".repeat(LARGE / 2));
        for _ in 0..CROWD {
            assert_eq!(registry.call(body.as_bytes()), Some(400));
        }
    });
}

/// Guards against the end of the process: values inside values, as deep as a call is long.
#[test]
fn a_call_of_very_deep_values() {
    play(4, CORE_MEMORY_MB, |registry| {
        for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
            let depth = LARGE / (open.len() + close.len());
            let body = format!("{{\"upsert\":{}1{}}}", open.repeat(depth), close.repeat(depth));
            assert_eq!(registry.call(body.as_bytes()), Some(400));
        }
    });
}
