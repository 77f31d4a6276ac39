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

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
