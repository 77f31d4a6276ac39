//! The proxy as a process of its own, and what the kernel tells of it.

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of processes started so far; names their settings files.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// A proxy process, which is killed when this is dropped.
pub struct ProxyProcess {
    child: Child,
    settings: PathBuf,
}

impl ProxyProcess {
    /// Starts the program with this settings file; it serves its metrics at this port.
    pub fn start(settings: &str, metrics_port: u16) -> Self {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("fennelscale-proxy-{}-{number}.toml", std::process::id()));
        fs::write(&path, settings).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_fennelscale-proxy"))
            .env("FENNELSCALE_CONFIG", &path)
            .arg("--metrics-port")
            .arg(metrics_port.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the proxy starts");
        Self { child, settings: path }
    }

    /// Whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("the state of the process").is_none()
    }

    /// The largest resident memory so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kilobytes = line.trim().trim_end_matches("kB").trim();
        kilobytes.parse::<u64>().expect("a number") * 1024
    }

    /// Processor time used so far, in ticks of the kernel.
    pub fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a status");
        // The name of the program may hold spaces; behind it come the state and ten more fields.
        let (_, fields) = stat.rsplit_once(')').expect("fields");
        fields.split_whitespace().skip(11).take(2).map(|ticks| ticks.parse::<u64>().expect("a number")).sum()
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("descriptors").count()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
