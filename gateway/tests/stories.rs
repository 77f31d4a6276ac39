//! Stories of the checked model, played over sockets: the same steps are brought about by clients, nodes and a counter that
//! do as they are told, and the running gateway must give the answers and make the attempts that the model says.
//!
//! A time-out, a break before the request is whole and whatever else the sockets cannot be made to do in one order is left
//! to the model.

mod helper;

use helper::{Discovery, Gateway, Heard, Setup, added, called, hear, row_in, soon};
use life::request::Final;
use life_check::explore::{System, tell};
use life_check::trace;
use life_check::walk::{BOUNDS, walk};
use life_check::world::{Reply, Step, World};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// The gateway's classes for the model's requests, in their order.
const CLASSES: [&str; 2] = ["order", "save"];
const PATIENCE_MS: u32 = 60_000;

/// What a node sees.
enum Seen {
    /// A whole request on a connection.
    Request(usize, usize, Heard),
    /// The gateway closed a connection.
    Closed(usize),
}

/// Nodes that say nothing by themselves.
struct Nodes {
    at: Vec<SocketAddr>,
    seen: mpsc::UnboundedReceiver<Seen>,
    writers: Arc<Mutex<HashMap<usize, OwnedWriteHalf>>>,
    /// Requests that came and are not yet asked for, by class: node and connection.
    early: Vec<(String, usize, usize)>,
    closed: Vec<usize>,
}

impl Nodes {
    async fn start(count: usize) -> Self {
        let (say, seen) = mpsc::unbounded_channel();
        let writers: Arc<Mutex<HashMap<usize, OwnedWriteHalf>>> = Arc::default();
        let (mut at, connections) = (Vec::new(), Arc::new(AtomicUsize::new(0)));
        for node in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            at.push(listener.local_addr().expect("an address"));
            let (say, writers, connections) = (say.clone(), writers.clone(), connections.clone());
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let connection = connections.fetch_add(1, Ordering::SeqCst);
                    let (reader, writer) = stream.into_split();
                    writers.lock().expect("lock").insert(connection, writer);
                    let say = say.clone();
                    tokio::spawn(async move {
                        let mut reader = BufReader::new(reader);
                        while let Some(heard) = hear(&mut reader).await {
                            let _ = say.send(Seen::Request(node, connection, heard));
                        }
                        let _ = say.send(Seen::Closed(connection));
                    });
                }
            });
        }
        Self { at, seen, writers, early: Vec::new(), closed: Vec::new() }
    }

    async fn see(&mut self) {
        match soon("something at a node", self.seen.recv()).await.expect("nodes") {
            Seen::Request(node, connection, heard) => {
                let class = heard.line.split('/').nth(1).unwrap_or_default().to_owned();
                self.early.push((class, node, connection));
            }
            Seen::Closed(connection) => self.closed.push(connection),
        }
    }

    /// The next request of a class: its node and connection.
    async fn request(&mut self, class: &str) -> (usize, usize) {
        loop {
            if let Some(at) = self.early.iter().position(|(c, ..)| c == class) {
                let (_, node, connection) = self.early.remove(at);
                return (node, connection);
            }
            self.see().await;
        }
    }

    async fn close(&mut self, connection: usize) {
        while !self.closed.contains(&connection) {
            self.see().await;
        }
    }

    fn writer(&self, connection: usize) -> Option<OwnedWriteHalf> {
        self.writers.lock().expect("lock").remove(&connection)
    }

    async fn write(&self, connection: usize, text: &str) {
        let Some(mut writer) = self.writer(connection) else { return };
        // The gateway may have closed it.
        let _ = writer.write_all(text.as_bytes()).await;
        self.writers.lock().expect("lock").insert(connection, writer);
    }

    async fn hang_up(&self, connection: usize) {
        let Some(mut writer) = self.writer(connection) else { return };
        let _ = writer.shutdown().await;
    }
}

/// What becomes of a call that the counter holds.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    Lost,
    Unheard,
}

/// A counter that holds as many calls as it is told to, and answers all others at once.
struct Counter {
    at: SocketAddr,
    to_hold: Arc<AtomicUsize>,
    held: mpsc::UnboundedReceiver<oneshot::Sender<Fate>>,
    /// Calls that have come and are not decided.
    calls: VecDeque<oneshot::Sender<Fate>>,
}

impl Counter {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let (hold, held) = mpsc::unbounded_channel();
        let to_hold = Arc::new(AtomicUsize::new(0));
        let quota = to_hold.clone();
        let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Self::serve(stream, hold.clone(), quota.clone(), totals.clone()));
            }
        });
        Self { at, to_hold, held, calls: VecDeque::new() }
    }

    async fn serve(
        stream: TcpStream, hold: mpsc::UnboundedSender<oneshot::Sender<Fate>>, quota: Arc<AtomicUsize>,
        totals: Arc<Mutex<HashMap<String, f64>>>,
    ) {
        let mut stream = BufReader::new(stream);
        while let Some((name, amount)) = called(&mut stream).await {
            let less = |n: usize| n.checked_sub(1);
            let fate = if quota.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok() {
                let (say, told) = oneshot::channel();
                let _ = hold.send(say);
                told.await.unwrap_or(Fate::Lost)
            } else {
                Fate::Answered
            };
            if fate == Fate::Lost {
                return;
            }
            let reply = added(&totals, name, amount);
            if fate == Fate::Unheard {
                return;
            }
            stream.write_all(reply.as_bytes()).await.unwrap_or(());
        }
    }

    async fn is_called(&mut self, story: &str) {
        let call =
            soon(&format!("a call of the counter\n{story}"), self.held.recv()).await.expect("the counter");
        self.calls.push_back(call);
    }

    fn decide(&mut self, fate: Fate) {
        let _ = self.calls.pop_front().expect("a call that is held").send(fate);
    }
}

/// What a node writes for the model's replies.
fn text(reply: Reply) -> &'static str {
    match reply {
        Reply::Whole => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        Reply::Error => "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        Reply::Declined => "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
        Reply::Spoilt => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        Reply::Overlong => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
    }
}

/// Plays a story. The final answers and the attempts must be the model's.
async fn play(system: System, steps: Vec<Step>) {
    let story = tell(system, &steps);
    let mut world = World::start(&system.bounds, None);
    world.note();
    let mut nodes = Nodes::start(system.bounds.nodes.into()).await;
    let mut counter = Counter::start().await;
    let discovery = Discovery::start().await;
    let row = |(n, at): (usize, &SocketAddr)| row_in(n, &format!("n{n}"), *at, "in_service");
    let rows: Vec<String> = nodes.at.iter().enumerate().map(row).collect();
    let setup = Setup { ease: 50, ..Setup::knowing(&rows) };
    let mut gateway = Gateway::start(discovery.at, counter.at, &setup).await;
    let mut clients: HashMap<u8, TcpStream> = HashMap::new();
    // Where attempts are, by request and number, and which nodes have had a request in doubt.
    let mut places: HashMap<(u64, u32), (usize, usize)> = HashMap::new();
    let mut doubtful: HashMap<u64, usize> = HashMap::new();
    let mut replied = Vec::new();
    let mut given = 0;
    for step in steps {
        let (before, calls) = (world.clone(), world.calls_out());
        let sent = |n: usize| {
            let sent = &before.sent[n];
            (sent.id, sent.number)
        };
        world = world.after(step, None);
        // The real calls come as soon as the step is taken: they must find the counter ready to hold them.
        let ended = matches!(step, Step::Counts | Step::CountLost | Step::CountUnheard);
        let new = world.calls_out() + usize::from(ended) - calls;
        counter.to_hold.fetch_add(new, Ordering::SeqCst);
        match step {
            Step::Counts => counter.decide(Fate::Answered),
            Step::CountLost => counter.decide(Fate::Lost),
            Step::CountUnheard => counter.decide(Fate::Unheard),
            Step::Arrives(n) | Step::ArrivesAgain(n) => {
                let id = if matches!(step, Step::ArrivesAgain(_)) { n - 1 } else { n };
                let class = CLASSES[usize::from(n)];
                let key = if class == "save" { "Idempotency-Key: k\r\n" } else { "" };
                let mut client = TcpStream::connect(gateway.at).await.expect("a connection");
                let request = format!(
                    "POST /{class}/x HTTP/1.1\r\nHost: h\r\nReq-Id: id-{id}\r\nApi-Plan: p\r\n\
                     Api-Customer: 00000000b4d65521\r\nReq-Deadline-Ms: {PATIENCE_MS}\r\n\
                     Api-Terms: units=1,spread=1,first=0\r\n{key}Content-Length: 1\r\n\r\nb"
                );
                client.write_all(request.as_bytes()).await.expect("written");
                if world.was_turned_away(n) {
                    assert_eq!(status(client).await, (400, false), "{story}");
                } else {
                    clients.insert(n, client);
                }
            }
            Step::Cancels(n) => {
                clients.remove(&n);
                let out = before.sent.iter().any(|s| s.id == u64::from(n) + 1);
                if !out {
                    // Whoever has heard a signal that came later has heard of the client's end.
                    gateway.reconfigure(&[]).await;
                }
            }
            Step::Flushes(n) => {
                let (id, number) = sent(n);
                let place = nodes.request(CLASSES[id as usize - 1]).await;
                let first = doubtful.get(&id).copied().unwrap_or(place.0);
                assert!(id != 2 || first == place.0, "the keyed request left its rack\n{story}");
                places.insert((id, number), place);
            }
            Step::Replies(n, reply) => {
                let (node, connection) = places[&sent(n)];
                if reply != Reply::Declined {
                    doubtful.entry(sent(n).0).or_insert(node);
                }
                replied.push(sent(n));
                nodes.write(connection, text(reply)).await;
            }
            Step::Breaks(n) => {
                let (node, connection) = places[&sent(n)];
                doubtful.entry(sent(n).0).or_insert(node);
                nodes.hang_up(connection).await;
            }
            Step::Stops(n) => {
                let place = places.get(&sent(n));
                // With an answer on its way the gateway may have read that first, and keeps the connection.
                if let Some((_, connection)) = place.filter(|_| !replied.contains(&sent(n))) {
                    nodes.close(*connection).await;
                }
            }
            Step::Terminates => gateway.terminate(),
            // What the gateway does by itself; the next step waits for what shows of it.
            Step::Places(_) | Step::Connects(_) | Step::Writes(_) | Step::Reads(_) => {}
            other => panic!("{other} cannot be played over sockets\n{story}"),
        }
        for _ in 0..new {
            counter.is_called(&story).await;
        }
        let answers = world.answers().to_vec();
        for (id, answer) in &answers[given..] {
            let client = clients.remove(&(*id as u8 - 1)).expect("a client that waits");
            let expected = match answer {
                Final::Served => (200, false),
                Final::Refused => (429, true),
                Final::Failed { timed_out } => (if *timed_out { 504 } else { 502 }, false),
            };
            assert_eq!(status(client).await, expected, "request {id}\n{story}");
        }
        given = answers.len();
    }
    assert!(world.is_settled() && clients.is_empty(), "the story does not come to its end\n{story}");
    while let Ok(seen) = nodes.seen.try_recv() {
        if let Seen::Request(node, _, heard) = seen {
            panic!("node {node} heard {} besides\n{story}", heard.line);
        }
    }
    assert!(nodes.early.is_empty(), "attempts that the model does not make: {:?}\n{story}", nodes.early);
}

/// The one answer on a connection, and whether it says when to come back. Nothing follows it.
async fn status(mut client: TcpStream) -> (u16, bool) {
    // Nothing more is asked, so the gateway closes after its answer.
    let mut text = String::new();
    soon("a final answer", async {
        let mut byte = [0];
        // The end of asking must not be taken for the client's leaving: first the answer begins.
        client.read_exact(&mut byte).await.expect("an answer");
        text.push(char::from(byte[0]));
        client.shutdown().await.expect("the end of asking");
        client.read_to_string(&mut text).await.expect("the rest");
    })
    .await;
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "more than one answer: {text}");
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    (status, text.to_ascii_lowercase().contains("\r\nretry-after:"))
}

/// The hard cases. Each file has the steps of clients, nodes and the counter; what the gateway does between is filled in.
#[tokio::test(flavor = "multi_thread")]
async fn the_hard_cases_go_over_sockets_as_in_the_model() {
    let files = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/stories")).expect("stories");
    let mut played = 0;
    for file in files {
        let path = file.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("a story");
        let (system, steps) = trace::read_filled(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        play(system, steps).await;
        played += 1;
    }
    assert!(played >= 6, "{played} stories");
}

/// Stories drawn by chance.
#[tokio::test(flavor = "multi_thread")]
async fn stories_drawn_by_chance_go_over_sockets_as_in_the_model() {
    let system = System { bounds: BOUNDS, mutant: None };
    let stories: Vec<_> = (0..400).filter_map(walk).take(48).collect();
    assert_eq!(stories.len(), 48, "too few draws come to an end without time passing");
    for some in stories.chunks(6) {
        let playing: Vec<_> = some.iter().map(|steps| tokio::spawn(play(system, steps.clone()))).collect();
        for story in playing {
            story.await.expect("as in the model");
        }
    }
}
