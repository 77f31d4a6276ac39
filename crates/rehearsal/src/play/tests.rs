//! The stand-ins over loopback, one by one, with no gateway: what they say, and what they write down.

use super::counter::Counter;
use super::discovery::Discovery;
use super::kit::Kit;
use super::node::Nodes;
use super::wire::{Connection, Message, NoMessage};
use super::{Order, PlayError};
use crate::log::{Event, Header, NodeState, Reply, TryId, What};
use crate::plan::Day;
use crate::scenario::Scenario;
use crate::shipped::shipped;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

const LONG: Duration = Duration::from_secs(60);

struct Scene {
    kit: Rc<Kit>,
    nodes: Rc<Nodes>,
    folder: PathBuf,
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Plays a test among stand-ins of the drill, with texts of its scenario changed and other troubles.
fn among(changes: &[(&str, &str)], troubles: &str, test: impl AsyncFnOnce(&Scene)) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (head, _) = shipped("drill").expect("shipped").split_once("[[trouble]]").expect("troubles");
    let mut text = head.to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    text += troubles;
    let scenario = Scenario::parse("test", &text).expect("a scenario");
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("fennelscale-stand-ins-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let order = Order { scenario, text, seed: 1, program: PathBuf::new(), folder, environment: Vec::new() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let day = Day::draw(&order.scenario, order.seed);
        let kit = Kit::new(&order, &Header::new(1, &order.text), day).expect("a kit");
        let nodes = Nodes::start(&kit).await.expect("nodes");
        kit.begin();
        let scene = Scene { kit, nodes, folder: order.folder.clone() };
        tokio::time::timeout(LONG, test(&scene)).await.expect("an end");
    });
}

impl Scene {
    fn id(&self, request: u32) -> TryId {
        let id = TryId { request, go: 0 };
        self.kit.note(What::Asked { id, gateway: 0, patience: 1000.0, fresh: true });
        id
    }

    async fn connect(&self, node: usize) -> Connection {
        connect(self.nodes.all[node].at).await
    }

    fn events(&self) -> Vec<Event> {
        self.kit.take_events().expect("a log")
    }

    /// Waits until something was written down, and takes the log so far.
    async fn until(&self, seen: &mut Vec<Event>, met: impl Fn(&What) -> bool) {
        while !seen.iter().any(|e| met(&e.what)) {
            seen.extend(self.events());
            self.kit.pause(2.0).await;
        }
    }
}

async fn connect(at: SocketAddr) -> Connection {
    Connection::new(TcpStream::connect(at).await.expect("a connection"))
}

async fn ask(connection: &mut Connection, text: &str) -> Result<Message, NoMessage> {
    connection.write(text.as_bytes()).await.expect("written");
    connection.read(true).await
}

fn save(id: TryId, key: &str) -> String {
    format!(
        "POST /playlist-save/1 HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 50000\r\nIdempotency-Key: {key}\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

fn look(id: &str) -> String {
    format!("GET /preview/1 HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 50000\r\n\r\n")
}

fn ran(events: &[Event]) -> Vec<bool> {
    let repeats = events.iter().filter_map(|e| match e.what {
        What::Ran { repeat, .. } => Some(repeat),
        _ => None,
    });
    repeats.collect()
}

fn received(events: &[Event]) -> usize {
    events.iter().filter(|e| matches!(e.what, What::Received { .. })).count()
}

// ---- Nodes ----

#[test]
fn a_node_answers_what_it_ran_and_says_whose_it_is() {
    among(&[], "", async |scene| {
        let mut connection = scene.connect(0).await;
        let id = scene.id(1);
        let answer = ask(&mut connection, &look(&id.to_string())).await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_slice()), (200, &b"{\"try\":\"1.0\",\"attempt\":1}\n"[..]));
        let events = scene.events();
        assert_eq!((received(&events), ran(&events)), (1, vec![false]));
        assert!(events.iter().any(|e| e.what == What::Replied { attempt: 1, reply: Reply::Whole }));
    });
}

#[test]
fn the_nodes_of_one_rack_drop_a_repeat_and_those_of_another_do_not() {
    among(&[], "", async |scene| {
        // Racks 0, 1, 0.
        for (n, node) in [0, 1, 2, 0].into_iter().enumerate() {
            let id = scene.id(n as u32);
            let mut connection = scene.connect(node).await;
            assert_eq!(ask(&mut connection, &save(id, "k")).await.expect("an answer").status, 200);
        }
        assert_eq!(ran(&scene.events()), [false, false, true, true]);
    });
}

#[test]
fn a_rack_forgets_a_key_after_its_memory() {
    among(&[("memory = \"4s\"", "memory = \"200ms\"")], "", async |scene| {
        for n in 0..2 {
            let id = scene.id(n);
            let mut connection = scene.connect(0).await;
            assert_eq!(ask(&mut connection, &save(id, "k")).await.expect("an answer").status, 200);
            scene.kit.pause(250.0).await;
        }
        assert_eq!(ran(&scene.events()), [false, false]);
    });
}

#[test]
fn a_draining_node_declines_unseen_and_finishes_what_it_has() {
    among(&[], "", async |scene| {
        let (mut early, mut late) = (scene.connect(0).await, scene.connect(0).await);
        let mut seen = Vec::new();
        scene.nodes.all[0].stall(true);
        early.write(look(&scene.id(1).to_string()).as_bytes()).await.expect("written");
        scene.until(&mut seen, |w| matches!(w, What::Received { .. })).await;
        scene.nodes.all[0].stall(false);
        scene.until(&mut seen, |w| matches!(w, What::Ran { .. })).await;
        scene.nodes.drain(0);
        let answer = ask(&mut late, &look(&scene.id(2).to_string())).await.expect("an answer");
        assert_eq!((answer.status, answer.header("srv-declined")), (503, Some("1")));
        assert_eq!(early.read(true).await.expect("an answer").status, 200);
        seen.extend(scene.events());
        assert_eq!((ran(&seen), received(&seen)), (vec![false], 2));
        assert!(seen.iter().any(|e| e.what == What::Declined { attempt: 2 }));
    });
}

#[test]
fn work_goes_on_when_its_gateway_hangs_up() {
    among(&[], "", async |scene| {
        let mut connection = scene.connect(0).await;
        let mut seen = Vec::new();
        scene.nodes.all[0].stall(true);
        connection.write(look(&scene.id(1).to_string()).as_bytes()).await.expect("written");
        scene.until(&mut seen, |w| matches!(w, What::Received { .. })).await;
        drop(connection);
        scene.until(&mut seen, |w| matches!(w, What::HungUp { attempt: 1 })).await;
        assert!(ran(&seen).is_empty());
        scene.nodes.all[0].stall(false);
        scene.until(&mut seen, |w| matches!(w, What::Ran { attempt: 1, .. })).await;
        assert!(!seen.iter().any(|e| matches!(e.what, What::Replied { .. })));
    });
}

#[test]
fn half_a_request_was_never_received_and_what_nobody_asked_is_foreign() {
    among(&[], "", async |scene| {
        let text = save(scene.id(1), "k");
        let mut half = scene.connect(0).await;
        half.write(&text.as_bytes()[..text.len() - 1]).await.expect("written");
        scene.kit.pause(20.0).await;
        half.reset();
        let mut stranger = scene.connect(0).await;
        assert_eq!(ask(&mut stranger, &look("77.0")).await.expect("an answer").status, 400);
        // The right id in the wrong form.
        let mut wrong = scene.connect(0).await;
        let text = look(&scene.id(2).to_string()).replace("/preview/", "/licence-order/");
        assert_eq!(ask(&mut wrong, &text).await.expect("an answer").status, 400);
        let events = scene.events();
        assert_eq!((received(&events), ran(&events).len()), (0, 0));
        assert_eq!(events.iter().filter(|e| matches!(e.what, What::Foreign { .. })).count(), 2);
    });
}

#[test]
fn a_killed_node_resets_what_it_has_refuses_what_comes_and_is_back_cold_at_its_address() {
    among(&[], "", async |scene| {
        let mut connection = scene.connect(3).await;
        let mut seen = Vec::new();
        scene.nodes.all[3].stall(true);
        connection.write(look(&scene.id(1).to_string()).as_bytes()).await.expect("written");
        scene.until(&mut seen, |w| matches!(w, What::Received { .. })).await;
        scene.nodes.kill(3);
        assert_eq!(connection.read(true).await.expect_err("a reset"), NoMessage::Ended(0));
        while TcpStream::connect(scene.nodes.all[3].at).await.is_ok() {
            scene.kit.pause(2.0).await;
        }
        scene.nodes.revive(3).await.expect("its address");
        scene.nodes.all[3].stall(false);
        let mut again = scene.connect(3).await;
        assert_eq!(ask(&mut again, &look(&scene.id(2).to_string())).await.expect("an answer").status, 200);
        seen.extend(scene.events());
        assert!(seen.iter().any(|e| matches!(e.what, What::NodeUp { node: 3, cold: true, .. })));
        // What waited when it died never ran.
        assert_eq!(ran(&seen), [false]);
    });
}

/// How long a node worked on a try, by the log.
async fn work_time(scene: &Scene, id: TryId) -> f64 {
    scene.kit.note(What::Asked { id, gateway: 0, patience: 1000.0, fresh: true });
    let mut connection = scene.connect(0).await;
    assert_eq!(ask(&mut connection, &look(&id.to_string())).await.expect("an answer").status, 200);
    let events = scene.events();
    let at = |met: &dyn Fn(&What) -> bool| events.iter().find(|e| met(&e.what)).map_or(0.0, |e| e.t);
    at(&|w| matches!(w, What::Replied { .. })) - at(&|w| matches!(w, What::Ran { .. }))
}

#[test]
fn a_node_that_is_back_works_slowly_at_first_and_as_before_when_it_is_warm() {
    // All tries of a request ask for the same work, of some 100 ms here and so too little to fell the node.
    let changes = [("work = \"60ms\"", "work = \"100ms\""), ("cold-for = \"20s\"", "cold-for = \"3s\"")];
    among(&changes, "", async |scene| {
        let request =
            (0..).find(|n| (50.0..150.0).contains(&scene.nodes.all[0].work_of(scene.id(*n), 100.0)));
        let of = |go| TryId { request: request.unwrap_or(0), go };
        let before = work_time(scene, of(1)).await;
        scene.nodes.kill(0);
        scene.nodes.revive(0).await.expect("its address");
        let cold = work_time(scene, of(2)).await;
        scene.kit.pause(3000.0).await;
        let after = work_time(scene, of(3)).await;
        // From 4% of its capacity in 3 s: several times as long. Ratios within one run, far from their bounds.
        assert!(cold > 2.0 * before && cold > 2.0 * after, "{before} {cold} {after}");
    });
}

#[test]
fn a_cold_node_that_is_sent_too_much_falls_and_takes_all_with_it() {
    among(&[("work = \"60ms\"", "work = \"900ms\"")], "", async |scene| {
        scene.nodes.kill(0);
        scene.nodes.revive(0).await.expect("its address");
        let (mut seen, mut open) = (Vec::new(), Vec::new());
        for n in 0..40 {
            let Ok(stream) = TcpStream::connect(scene.nodes.all[0].at).await else { break };
            let mut connection = Connection::new(stream);
            let _ = connection.write(look(&scene.id(n).to_string()).as_bytes()).await;
            open.push(connection);
            scene.kit.pause(1.0).await;
        }
        scene.until(&mut seen, |w| matches!(w, What::NodeFell { node: 0 })).await;
        for connection in &mut open {
            assert!(matches!(connection.read(true).await, Err(NoMessage::Ended(_))));
        }
        assert!(!scene.nodes.all[0].is_up());
    });
}

#[test]
fn a_node_holds_only_so_many_connections_and_closes_idle_ones() {
    let changes = [("connections = 800", "connections = 2"), ("idle = \"30s\"", "idle = \"300ms\"")];
    among(&changes, "", async |scene| {
        let (mut one, _two) = (scene.connect(0).await, scene.connect(0).await);
        assert_eq!(ask(&mut one, &look(&scene.id(1).to_string())).await.expect("an answer").status, 200);
        let mut three = scene.connect(0).await;
        assert_eq!(three.read(true).await.expect_err("a reset"), NoMessage::Ended(0));
        // Idle by now, the first is closed; there is room again.
        assert_eq!(one.read(true).await.expect_err("a close"), NoMessage::Ended(0));
        let mut four = scene.connect(0).await;
        assert_eq!(ask(&mut four, &look(&scene.id(2).to_string())).await.expect("an answer").status, 200);
    });
}

#[test]
fn a_probe_brings_the_load_report_and_waits_while_the_node_stands_still() {
    among(&[], "", async |scene| {
        let mut connection = scene.connect(0).await;
        scene.nodes.all[0].stall(true);
        connection.write(b"GET /metrics/load HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("written");
        let early = tokio::time::timeout(Duration::from_millis(100), connection.read(true)).await;
        assert!(early.is_err(), "a node that stands still answered");
        scene.nodes.all[0].stall(false);
        let answer = connection.read(true).await.expect("an answer");
        let report = String::from_utf8(answer.body).expect("a text");
        assert!(report.starts_with("TEXT recent_ms=0.0, backlog=0, throughput=0"), "{report}");
        assert!(scene.events().iter().any(|e| e.what == What::Probed { node: 0 }));
    });
}

#[test]
fn troubles_reset_connections_and_spoil_answers() {
    let reset = "[[trouble]]\nkind = \"reset-connections\"\nat = \"0s\"\nfor = \"9s\"\nshare = \"100%\"\n";
    among(&[], reset, async |scene| {
        let mut ended = 0;
        for n in 0..20 {
            let mut connection = scene.connect(n as usize % 6).await;
            ended += usize::from(ask(&mut connection, &look(&scene.id(n).to_string())).await.is_err());
        }
        let events = scene.events();
        let cut = events.iter().filter(|e| matches!(e.what, What::Replied { reply: Reply::Cut, .. })).count();
        // Half before they came whole, half after: only the latter were received.
        assert!(
            ended > 5 && (1..=received(&events)).contains(&cut) && received(&events) < 20,
            "{ended} {cut}"
        );
    });
    let spoil = "[[trouble]]\nkind = \"spoil-answers\"\nat = \"0s\"\nfor = \"9s\"\nshare = \"100%\"\n";
    among(&[], spoil, async |scene| {
        let mut connection = scene.connect(0).await;
        let answer = ask(&mut connection, &look(&scene.id(1).to_string())).await;
        assert_eq!(answer.expect_err("a spoilt answer"), NoMessage::Malformed);
        let events = scene.events();
        assert_eq!(ran(&events), [false]);
        assert!(events.iter().any(|e| e.what == What::Replied { attempt: 1, reply: Reply::Spoilt }));
    });
}

// ---- The counter ----

fn call(words: &[&str]) -> String {
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{words}", words.matches('$').count())
}

async fn line(connection: &mut Connection) -> Option<String> {
    use tokio::io::AsyncReadExt;
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(connection.stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

#[test]
fn the_counter_answers_pipelined_calls_in_their_order() {
    among(&[], "", async |scene| {
        let counter = Counter::start(&scene.kit).await.expect("a counter");
        let mut connection = connect(counter.at()).await;
        let text = call(&["ADDGET", "a", "2", "4000"])
            + &call(&["PING"])
            + &call(&["ADDGET", "a", "-0.5", "4000"])
            + &call(&["ADDGET", "a", "x", "4000"])
            + &call(&["ADDGET", "a", "1", "0"])
            + &call(&["INCR", "a"]);
        connection.write(text.as_bytes()).await.expect("written");
        let mut said = Vec::new();
        for _ in 0..8 {
            said.extend(line(&mut connection).await);
        }
        let expected = [
            "$1",
            "2",
            "+PONG",
            "$3",
            "1.5",
            "-ERR amount or life",
            "-ERR amount or life",
            "-ERR no such call",
        ];
        assert_eq!(said, expected);
        let calls = scene.events().iter().filter(|e| e.what == What::Counted { busy: false }).count();
        assert_eq!(calls, 2);
    });
}

#[test]
fn the_counter_turns_calls_away_beyond_its_capacity() {
    among(
        &[("capacity = \"950/s\"", "capacity = \"20/s\""), ("parts = 2", "parts = 1")],
        "",
        async |scene| {
            let counter = Counter::start(&scene.kit).await.expect("a counter");
            let mut connection = connect(counter.at()).await;
            let text = call(&["ADDGET", "a", "1", "4000"]).repeat(3);
            connection.write(text.as_bytes()).await.expect("written");
            // 50 ms for each; the second would wait longer than is allowed. Answers keep their order.
            assert_eq!(line(&mut connection).await.as_deref(), Some("$1"));
            assert_eq!(line(&mut connection).await.as_deref(), Some("1"));
            assert_eq!(line(&mut connection).await.as_deref(), Some("-BUSY try again later"));
            let busy = scene.events().iter().filter(|e| e.what == What::Counted { busy: true }).count();
            assert_eq!(busy, 2);
        },
    );
}

#[test]
fn a_replaced_counter_is_at_zero_on_new_connections_and_a_full_one_resets_them() {
    among(&[("connections = 32", "connections = 1")], "", async |scene| {
        let counter = Counter::start(&scene.kit).await.expect("a counter");
        let mut connection = connect(counter.at()).await;
        let add = call(&["ADDGET", "a", "5", "4000"]);
        connection.write(add.as_bytes()).await.expect("written");
        assert_eq!(
            [line(&mut connection).await, line(&mut connection).await].map(Option::unwrap),
            ["$1", "5"]
        );
        let mut further = connect(counter.at()).await;
        assert_eq!(line(&mut further).await, None);
        counter.replace();
        assert_eq!(line(&mut connection).await, None);
        let mut again = connect(counter.at()).await;
        again.write(add.as_bytes()).await.expect("written");
        assert_eq!([line(&mut again).await, line(&mut again).await].map(Option::unwrap), ["$1", "5"]);
    });
}

#[test]
fn a_silent_counter_takes_calls_answers_none_and_ends_those_connections_when_it_is_back() {
    let silent = "[[trouble]]\nkind = \"counter-silent\"\nat = \"0s\"\nfor = \"600ms\"\n";
    among(&[], silent, async |scene| {
        let counter = Counter::start(&scene.kit).await.expect("a counter");
        let mut connection = connect(counter.at()).await;
        connection.write(call(&["ADDGET", "a", "5", "4000"]).as_bytes()).await.expect("written");
        assert_eq!(line(&mut connection).await, None);
        assert!(scene.kit.now() >= 600.0);
        let mut again = connect(counter.at()).await;
        again.write(call(&["ADDGET", "a", "1", "4000"]).as_bytes()).await.expect("written");
        assert_eq!([line(&mut again).await, line(&mut again).await].map(Option::unwrap), ["$1", "1"]);
    });
}

// ---- Discovery ----

fn list(message: &Message) -> serde_json::Value {
    serde_json::from_slice(&message.body).expect("JSON")
}

async fn agents(scene: &Scene) -> Rc<Discovery> {
    Discovery::start(&scene.kit, &scene.nodes).await.expect("agents")
}

#[test]
fn an_agent_gives_the_whole_list_and_then_only_what_changed() {
    among(&[], "", async |scene| {
        let discovery = agents(scene).await;
        let mut connection = connect(discovery.agents[0].at()).await;
        let get = |target: &str| format!("GET /discovery/hosts{target} HTTP/1.1\r\nHost: x\r\n\r\n");
        let whole = list(&ask(&mut connection, &get("")).await.expect("a list"));
        assert_eq!(
            (whole["whole"].as_bool(), whole["hosts"].as_array().map(Vec::len)),
            (Some(true), Some(6))
        );
        assert_eq!(whole["hosts"][2]["dial"], scene.nodes.all[2].at.to_string());
        // With no news the wait is over without any.
        let seq = whole["seq"].as_u64().expect("a version");
        let none =
            list(&ask(&mut connection, &get(&format!("?after={seq}&wait_ms=30"))).await.expect("an answer"));
        assert_eq!((none["seq"].as_u64(), none["hosts"].as_array().map(Vec::len)), (Some(seq), Some(0)));
        // A death shows as such, a return with its birth; each is written down when it is told.
        scene.nodes.kill(2);
        let watch = get(&format!("?after={seq}&wait_ms=20000"));
        let news = list(&ask(&mut connection, &watch).await.expect("news"));
        assert_eq!(
            (&news["hosts"][0]["host"], &news["hosts"][0]["health"]),
            (&"node-2".into(), &"terminated".into())
        );
        assert_eq!(news["whole"], false);
        scene.nodes.revive(2).await.expect("its address");
        let watch = get(&format!("?after={}&wait_ms=20000", news["seq"]));
        let news = list(&ask(&mut connection, &watch).await.expect("news"));
        assert_eq!(news["hosts"][0]["health"], "in_service");
        assert!(news["hosts"][0]["born_ms"].as_f64().is_some_and(|at| at > 1e12));
        // As to a gateway that starts now, the dead one is not on the list.
        let told = |state, life| What::News { gateway: 0, node: 2, state, life, told: true };
        let events = scene.events();
        for what in
            [told(NodeState::InService, 0), told(NodeState::Terminated, 0), told(NodeState::InService, 1)]
        {
            assert!(events.iter().any(|e| e.what == what), "{what:?}");
        }
    });
}

#[test]
fn agents_hear_late_of_deaths_and_at_once_of_nothing() {
    among(&[("late = [\"100ms\", \"300ms\"]", "late = \"400ms\"")], "", async |scene| {
        let discovery = agents(scene).await;
        scene.nodes.kill(1);
        let at = scene.kit.now();
        let (mut seen, of_it) = (Vec::new(), |w: &What| matches!(w, What::News { node: 1, told: false, .. }));
        scene.until(&mut seen, of_it).await;
        let heard: Vec<f64> = seen.iter().filter(|e| of_it(&e.what)).map(|e| e.t - at).collect();
        assert!(heard.iter().all(|late| *late >= 399.0), "{heard:?}");
        assert_eq!(discovery.agents.len(), 3);
    });
}

#[test]
fn a_silent_agent_answers_and_hears_nothing_until_it_is_back() {
    let silent = "[[trouble]]\nkind = \"discovery-silent\"\nat = \"0s\"\nfor = \"700ms\"\n";
    among(&[], silent, async |scene| {
        let discovery = agents(scene).await;
        scene.nodes.kill(1);
        let mut connection = connect(discovery.agents[0].at()).await;
        let answer = ask(&mut connection, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(answer.expect("a list").status, 200);
        assert!(scene.kit.now() >= 700.0);
        let mut seen = Vec::new();
        scene.until(&mut seen, |w| matches!(w, What::News { node: 1, told: false, .. })).await;
        assert!(seen.iter().all(|e| !matches!(e.what, What::News { .. }) || e.t >= 700.0));
    });
}

#[test]
fn what_cannot_be_written_is_an_error() {
    let order = Order {
        scenario: Scenario::parse("drill", shipped("drill").expect("shipped")).expect("a scenario"),
        text: String::new(),
        seed: 1,
        program: PathBuf::from("/nowhere/fennelscale"),
        folder: PathBuf::from("/nowhere"),
        environment: Vec::new(),
    };
    assert!(matches!(super::play(&order, &mut |_| {}), Err(PlayError::Io("the log cannot be written", _))));
}
