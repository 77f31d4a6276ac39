//! Whole rehearsals of this program: it keeps the rules, says so in every form, and leaves nothing behind.

use fennelscale_rehearsal::judge::{Ending, judge};
use fennelscale_rehearsal::log;
use fennelscale_rehearsal::play::{LOG, Order, play, play_until_it_counts};
use fennelscale_rehearsal::scenario::Scenario;
use fennelscale_rehearsal::shipped::shipped;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_fennelscale");
/// A machine that does other things as well may be too slow once or twice.
const TRIES: u32 = 4;
/// Waits that only a hang reaches.
const LONG: Duration = Duration::from_secs(60);

/// A folder of a test's own, gone with it.
struct Place(PathBuf);

impl Place {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let path =
            std::env::temp_dir().join(format!("fennelscale-rehearse-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn scenario(&self, name: &str, text: &str) -> String {
        let path = self.file(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fennelscale(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).stdin(Stdio::null());
    command
}

fn output(arguments: &[&str]) -> Output {
    fennelscale(arguments).output().expect("a process")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The drill, shorter and with other troubles.
fn short(length: &str, troubles: &str) -> String {
    let drill = shipped("drill").expect("shipped");
    let (head, _) = drill.split_once("[[trouble]]").expect("troubles");
    head.replace("length = \"9s\"", &format!("length = \"{length}\"")) + troubles
}

fn until(what: &str, met: impl Fn() -> bool) {
    let begun = Instant::now();
    while !met() {
        assert!(begun.elapsed() < LONG, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn signal(signal: &str, child: &Child) {
    let sent = Command::new("kill").args([signal, &child.id().to_string()]).status().expect("kill");
    assert!(sent.success());
}

#[test]
fn the_drill_is_kept_on_five_seeds_and_judged_the_same_again() {
    let runs: Vec<_> = (1..=5u64)
        .map(|seed| {
            std::thread::spawn(move || {
                let place = Place::new();
                let text = shipped("drill").expect("shipped").to_owned();
                let scenario = Scenario::parse("drill", &text).expect("a scenario");
                let (program, folder) = (PathBuf::from(PROGRAM), place.0.clone());
                let order = Order { scenario, text, seed, program, folder, environment: Vec::new() };
                let (header, events, verdict) = play_until_it_counts(&order, TRIES).expect("a run");
                assert_eq!(
                    verdict.ending(),
                    Ending::Kept,
                    "seed {seed}: {:?} {:?}",
                    verdict.breaks,
                    verdict.void
                );
                // The day was one worth the name: attempts were sent again, tries were cut off, much was served.
                let figures = &verdict.figures;
                assert!(figures.resent > 0 && figures.outcomes[0] > 100, "seed {seed}: {figures:?}");
                let mut file = BufReader::new(File::open(place.file(LOG)).expect("a log"));
                let (again, read) = log::read(&mut file).expect("a log");
                assert_eq!((again, read.len()), (header, events.len()));
                assert_eq!(
                    format!("{:?}", judge(&order.scenario, &read)),
                    format!("{verdict:?}"),
                    "seed {seed}"
                );
            })
        })
        .collect();
    runs.into_iter().for_each(|run| run.join().expect("a verdict"));
}

#[test]
fn a_rehearsal_reports_in_every_form_and_judges_its_log_again() {
    let place = Place::new();
    let scenario = place.scenario("mine.toml", &short("2s", ""));
    let (folder, json) = (place.file("report"), place.file("found.json"));
    let (folder, json) = (folder.display().to_string(), json.display().to_string());
    let mut run = output(&["rehearse", &scenario, "--seed", "3", "--report", &folder, "--json", &json]);
    for _ in 1..TRIES {
        // Status 4: a machine that was too slow gives no verdict; once more.
        if run.status.code() != Some(4) {
            break;
        }
        std::fs::remove_dir_all(&folder).expect("a folder to be gone");
        run = output(&["rehearse", &scenario, "--seed", "3", "--report", &folder, "--json", &json]);
    }
    let said = text(&run.stdout);
    assert_eq!(run.status.code(), Some(0), "{said}{}", text(&run.stderr));
    assert!(said.contains("kept: all five rules") && said.contains("drill, seed 3"), "{said}");
    let page = std::fs::read_to_string(place.file("report/report.html")).expect("a page");
    assert!(page.starts_with("<!doctype html>") && page.contains("<svg") && page.ends_with("</html>\n"));
    assert!(!page.contains("http://") && !page.contains("https://") && !page.contains("<script"));
    let found: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("a file")).expect("JSON");
    assert_eq!((&found["ending"], &found["exit_status"]), (&"kept".into(), &0.into()));
    // Judged again: the same words and figures.
    let log = place.file("report").join(LOG).display().to_string();
    let again = output(&["rehearse", "judge", &log, "--json", "-"]);
    assert_eq!(again.status.code(), Some(0));
    assert_eq!(serde_json::from_slice::<serde_json::Value>(&again.stdout).expect("JSON"), found);
    // With a line on bytes after an answer in it, the same run has broken a rule.
    let log_text = std::fs::read_to_string(&log).expect("a log");
    let spoilt = log_text.replace(
        "{\"t\":0.0,\"e\":\"node-up\"",
        "{\"t\":0.0,\"e\":\"stray\",\"gateway\":0,\"after\":null}\n{\"t\":0.0,\"e\":\"node-up\"",
    );
    let bad = place.scenario("bad.jsonl", &spoilt);
    let judged = output(&["rehearse", "judge", &bad]);
    assert_eq!(judged.status.code(), Some(1), "{}", text(&judged.stdout));
    assert!(text(&judged.stdout).contains("BROKEN: one final answer"));
    // Cut short, it has no verdict; torn, it cannot be read.
    let (whole, _) = log_text.trim_end().rsplit_once('\n').expect("lines");
    assert_eq!(output(&["rehearse", "judge", &place.scenario("cut.jsonl", whole)]).status.code(), Some(2));
    let torn = output(&["rehearse", "judge", &place.scenario("torn.jsonl", &whole[..whole.len() - 9])]);
    assert_eq!(torn.status.code(), Some(2));
    assert!(text(&torn.stderr).contains("line "), "{}", text(&torn.stderr));
}

#[test]
fn an_unusable_scenario_is_one_line_with_its_place_and_status_2() {
    let place = Place::new();
    let wrong = place.scenario("wrong.toml", &short("2s", "").replace("memory = \"4s\"", "memory = \"4\""));
    let run = output(&["rehearse", &wrong]);
    let said = text(&run.stderr);
    assert_eq!((run.status.code(), said.lines().count()), (Some(2), 1), "{said}");
    assert!(said.contains("wrong.toml:") && said.contains("class.memory"), "{said}");
    for arguments in [
        &["rehearse", "no-such-day"][..],
        &["rehearse", "show", "no-such-day"],
        &["rehearse", "--sed", "1"],
        &["unheard-of"],
    ] {
        assert_eq!(output(arguments).status.code(), Some(2), "{arguments:?}");
    }
}

#[test]
fn what_is_shipped_is_listed_and_shown_and_help_tells_the_statuses() {
    let listed = text(&output(&["rehearse", "list"]).stdout);
    assert!(
        listed.lines().count() >= 8 && listed.contains("batch-day") && listed.contains("(default)"),
        "{listed}"
    );
    let shown = output(&["rehearse", "show", "drill"]);
    assert_eq!(text(&shown.stdout), shipped("drill").expect("shipped"));
    let help = text(&output(&["rehearse", "--help"]).stdout);
    assert!(help.contains("Exit status") && help.contains("--seed") && help.contains("judge"), "{help}");
    assert!(text(&output(&["--help"]).stdout).contains("NODE_CONFIG"));
}

/// A rehearsal in the background, and the addresses of its gateways once they are ready.
fn background(place: &Place, seed: &str) -> (Child, Vec<SocketAddr>) {
    let scenario = place.scenario("long.toml", &short("60s", ""));
    let folder = place.file("report").display().to_string();
    let run = fennelscale(&["rehearse", &scenario, "--seed", seed, "--report", &folder])
        .stderr(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    let addresses = || -> Option<Vec<SocketAddr>> {
        (0..3).map(|n| listening(&place.file("report").join(format!("gateway-{n}.log")))).collect()
    };
    until("the gateways", || addresses().is_some());
    (run, addresses().expect("addresses"))
}

fn listening(log: &Path) -> Option<SocketAddr> {
    let lines = BufReader::new(File::open(log).ok()?).lines();
    lines.map_while(Result::ok).find_map(|line| line.split_once("listening at ")?.1.trim().parse().ok())
}

#[test]
fn no_gateway_outlives_a_kit_that_is_killed_and_its_addresses_are_free_at_once() {
    let place = Place::new();
    let (mut run, addresses) = background(&place, "1");
    assert!(addresses.iter().all(|at| TcpStream::connect(at).is_ok()));
    run.kill().expect("killed");
    run.wait().expect("an end");
    until("the gateways' end", || addresses.iter().all(|at| TcpStream::connect(at).is_err()));
    for at in addresses {
        std::net::TcpListener::bind(at).expect("a free address");
    }
}

#[test]
fn no_gateway_outlives_a_kit_that_panics() {
    let place = Place::new();
    let folder = place.0.clone();
    let run = std::thread::spawn(move || {
        let text = short("60s", "");
        let scenario = Scenario::parse("short", &text).expect("a scenario");
        let program = PathBuf::from(PROGRAM);
        let order = Order { scenario, text, seed: 1, program, folder, environment: Vec::new() };
        let _ = play(&order, &mut |_| panic!("as this test wants it"));
    });
    run.join().expect_err("a panic");
    for n in 0..3 {
        let at = listening(&place.file(&format!("gateway-{n}.log"))).expect("an address");
        until("the gateway's end", || TcpStream::connect(at).is_err());
        std::net::TcpListener::bind(at).expect("a free address");
    }
}

#[test]
fn rehearsals_side_by_side_have_networks_of_their_own() {
    let (here, there) = (Place::new(), Place::new());
    let ((mut one, at_one), (mut two, at_two)) = (background(&here, "1"), background(&there, "1"));
    let network = |at: &SocketAddr| match at {
        SocketAddr::V4(at) => [at.ip().octets()[1], at.ip().octets()[2]],
        SocketAddr::V6(_) => panic!("an address of another kind"),
    };
    assert_ne!(network(&at_one[0]), network(&at_two[0]));
    for run in [&mut one, &mut two] {
        run.kill().expect("killed");
        run.wait().expect("an end");
    }
}

/// A rehearsal in the background through which requests flow: its log has grown far beyond its header.
fn under_load(place: &Place) -> Child {
    let scenario = place.scenario("short.toml", &short("4s", ""));
    let folder = place.file("report").display().to_string();
    let run = fennelscale(&["rehearse", &scenario, "--report", &folder])
        .stderr(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    let log = place.file("report").join(LOG);
    until("the run's beginning", || std::fs::metadata(&log).is_ok_and(|m| m.len() > 20_000));
    run
}

#[test]
fn a_kit_that_stood_still_gives_no_verdict_and_says_by_how_much() {
    let place = Place::new();
    let run = under_load(&place);
    signal("-STOP", &run);
    std::thread::sleep(Duration::from_millis(900));
    signal("-CONT", &run);
    let done = run.wait_with_output().expect("an end");
    let said = text(&done.stdout);
    assert_eq!(done.status.code(), Some(4), "{said}");
    assert!(said.contains("NO VERDICT, the machine was too slow") && said.contains(" ms"), "{said}");
}

#[test]
fn a_gateway_that_ends_by_itself_is_told_with_status_3() {
    let place = Place::new();
    let run = under_load(&place);
    // A gateway is ended by somebody else than the kit: to the kit it has ended by itself.
    let children =
        std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", run.id())).expect("children");
    let gateway = children.split_whitespace().next().expect("a gateway").to_owned();
    assert!(Command::new("kill").args(["-KILL", &gateway]).status().expect("kill").success());
    let done = run.wait_with_output().expect("an end");
    assert_eq!(done.status.code(), Some(3), "{}", text(&done.stdout));
    assert!(text(&done.stdout).contains("CRASHED"));
}

#[test]
fn a_gateway_whose_parent_is_another_does_not_start() {
    let run = output(&["tethered", "1"]);
    assert_eq!(run.status.code(), Some(2));
    assert!(text(&run.stderr).contains("the parent has ended"));
}
