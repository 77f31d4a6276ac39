//! A gateway as a process whose standard error cannot be written: it starts, serves, and ends with status 0 when it is told
//! to.

#[path = "helper/plain_gateway.rs"]
mod plain_gateway;

use fennelscale_fault::broken_output::BrokenOutput;
use plain_gateway::{COUNT_LIMIT, Gateway, POLL_INTERVAL, TIMEOUT};
use rustix::process::Signal;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::Instant;

/// Signals that each have a line written.
const HANGUPS: usize = 5;

/// Guards against the end of a gateway by its log: each line that could not be written ended it, and a reader that had
/// stopped held it up for ever.
#[test]
fn a_gateway_serves_without_its_log() {
    for kind in BrokenOutput::ALL {
        let opened = kind.open().expect("an output");
        let mut gateway = Gateway::start(opened.output, COUNT_LIMIT);
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
