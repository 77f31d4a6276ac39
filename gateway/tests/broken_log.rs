//! A gateway as a process whose standard error cannot be written: it starts, serves, and ends with status 0 when it is told
//! to.

use fennelscale_fault::broken_output::BrokenOutput;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time limit of a condition, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Signals that each have a line written.
const HANGUPS: usize = 5;

/// A gateway with neither discovery nor counter, which is killed when this is dropped.
struct Gateway {
    child: Child,
    at: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Gateway {
    fn start(log: Stdio) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("an address");
        let at = free.local_addr().expect("an address");
        drop(free);
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        let text = format!(
            r#"{{"name":"g","listen":"{at}","discovery":"127.0.0.1:9","counter":"127.0.0.1:9","seed":"1",
             "settings":{{"fleet-size":1,"my-number":0,"classes":[{{"name":"look","effect":"idempotent","goal-time-ms":500}}],
             "plans":[{{"name":"p","refill":5,"burst":10}}],"extra":{{"has-counter":true,"count-limit-ms":50}}}}}}"#
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

    fn signal(&self, signal: Signal) {
        let process = Pid::from_raw(self.child.id() as i32).expect("a process");
        kill_process(process, signal).expect("the process is there");
    }

    fn is_up(&self) -> bool {
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

    fn wait_until_up(&mut self, when: &str) {
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

/// Guards against the end of a gateway by its log: each line that could not be written ended it, and a reader that had
/// stopped held it up for ever.
#[test]
fn a_gateway_serves_without_its_log() {
    for kind in BrokenOutput::ALL {
        let opened = kind.open().expect("an output");
        let mut gateway = Gateway::start(opened.output);
        gateway.wait_until_up(&format!("with {kind:?}"));
        for _ in 0..HANGUPS {
            gateway.signal(Signal::HUP);
            sleep(POLL_INTERVAL);
        }
        gateway.wait_until_up(&format!("after signals, with {kind:?}"));
        gateway.signal(Signal::TERM);
        let started_at = Instant::now();
        let status = loop {
            match gateway.child.try_wait().expect("the state of the process") {
                Some(status) => break status,
                None => assert!(started_at.elapsed() < TIMEOUT, "{kind:?}: it does not end"),
            }
            sleep(POLL_INTERVAL);
        };
        assert!(status.success(), "{kind:?}: {status}");
    }
}

/// Guards against a panic of the command-line tools where their result cannot be written.
#[test]
fn a_tool_ends_quietly_when_nobody_reads_its_result() {
    for kind in [BrokenOutput::ReaderGone, BrokenOutput::DiskFull] {
        let output = || kind.open().expect("an output").output;
        for (arguments, status) in
            [(&["rehearse", "list"][..], 0), (&["fleet", "status", "--control", "127.0.0.1:9"], 2)]
        {
            let ended = Command::new(env!("CARGO_BIN_EXE_fennelscale"))
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(output())
                .stderr(output())
                .status()
                .expect("the tool starts");
            assert_eq!(ended.code(), Some(status), "{arguments:?}, {kind:?}");
        }
    }
}
