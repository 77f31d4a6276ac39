//! The tool behind a pipe whose reader is gone, as with `| head`: it ends quietly.

use fennelscale_fault::broken_output::BrokenOutput;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, ExitStatus, Stdio};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time limit of a command, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn gone() -> Stdio {
    BrokenOutput::ReaderGone.open().expect("a pipe").output
}

/// Runs a command whose outputs have no reader; its status.
fn run(arguments: &[&str]) -> ExitStatus {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fennelctl"))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(gone())
        .stderr(gone())
        .spawn()
        .expect("the tool starts");
    let started_at = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("the state of the process") {
            return status;
        }
        if started_at.elapsed() >= TIMEOUT {
            let _ = child.kill();
            panic!("{arguments:?} does not end");
        }
        sleep(POLL_INTERVAL);
    }
}

/// Guards against a panic where a message cannot be written.
#[test]
fn messages_that_nobody_reads_change_no_status() {
    for (arguments, status) in [
        (&["--help"][..], 0),
        (&["events", "--help"], 0),
        (&["--no-such-option"], 2),
        (&[], 2),
        (&["status"], 2),
        (&["check", "/no/such/file"], 2),
    ] {
        assert_eq!(run(arguments).code(), Some(status), "{arguments:?}");
    }
}

/// A registry that has another event for each call.
fn registry_with_events() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let at = listener.local_addr().expect("an address");
    spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(mut stream) = stream else { continue };
            let mut lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let body = format!(
                r#"{{"events":[{{"id":"{number}","at":"1","by":"r","kind":"k","what":"w","cause":"c"}}],"cursor":"{number}"}}"#
            );
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
    });
    at
}

/// Guards against a tool that goes on for ever, asking registries for what nobody reads.
#[test]
fn a_command_that_follows_events_ends_with_its_reader() {
    let at = registry_with_events().to_string();
    assert_eq!(run(&["--at", &at, "events", "--follow"]).code(), Some(0));
}
