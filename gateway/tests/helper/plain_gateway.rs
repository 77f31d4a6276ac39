//! A gateway as a process with no other processes beside it.
#![allow(dead_code)]

use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time limit of a condition, long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The counter's time limit in ms, in an ordinary configuration.
pub const COUNT_LIMIT: &str = "50";

/// A gateway with neither discovery nor counter, which is killed when this is dropped.
pub struct Gateway {
    pub child: Child,
    at: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Gateway {
    /// Starts a gateway with this standard error and this time limit of the counter.
    pub fn start(log: Stdio, count_limit: &str) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("an address");
        let at = free.local_addr().expect("an address");
        drop(free);
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        let text = format!(
            r#"{{"name":"g","listen":"{at}","discovery":"127.0.0.1:9","counter":"127.0.0.1:9","seed":"1",
             "settings":{{"fleet-size":1,"my-number":0,"classes":[{{"name":"look","effect":"idempotent","goal-time-ms":500}}],
             "plans":[{{"name":"p","refill":5,"burst":10}}],"extra":{{"has-counter":true,"count-limit-ms":{count_limit}}}}}}}"#
        );
        std::fs::write(&file, text).expect("a configuration");
        let child = Command::new(env!("CARGO_BIN_EXE_fennelscale"))
            .env("NODE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        Self { child, at, _folder: folder }
    }

    pub fn signal(&self, signal: Signal) {
        let process = Pid::from_raw(self.child.id() as i32).expect("a process");
        kill_process(process, signal).expect("the process is there");
    }

    pub fn is_up(&self) -> bool {
        let call = || {
            let mut stream = TcpStream::connect(self.at).ok()?;
            stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer);
            Some(answer)
        };
        call().is_some_and(|answer| answer.starts_with("HTTP/1.1 200 OK"))
    }

    /// Waits until it answers; fails if it has ended.
    pub fn wait_until_up(&mut self, when: &str) {
        let started_at = Instant::now();
        while !self.is_up() {
            let status = self.child.try_wait().expect("the state of the process");
            assert!(status.is_none(), "the gateway has ended {when}: {status:?}");
            assert!(started_at.elapsed() < TIMEOUT, "the gateway does not serve {when}");
            sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
