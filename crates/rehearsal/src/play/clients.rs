//! Clients and the front before the gateways: open-loop arrivals that wait for nobody, tries, waits, patience.

use super::gateways::{Gateway, Gateways};
use super::kit::Kit;
use super::wire::{Connection, Idle, Message, NoMessage};
use crate::log::{Answer, TryId, What};
use crate::plan::{Arrival, Stream, random};
use crate::scenario::Effect;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Idle connections are looked at for stray bytes this often, in ms.
const LOOK: f64 = 50.0;
/// A connection to a gateway comes up within this.
const CONNECT: Duration = Duration::from_millis(500);
/// What a client sends as the body of a request that has one.
const BODY: &str = "{\"track\":\"a\"}";
/// A client that waits for its time to be over looks this much longer, so that an answer just after it is seen.
const BEYOND: f64 = 10.0;

struct Kept {
    connection: Connection,
    last: TryId,
}

/// All clients.
pub(super) struct Clients {
    kit: Rc<Kit>,
    gateways: Rc<Gateways>,
    kept: RefCell<Vec<Vec<Kept>>>,
    open: Cell<usize>,
    over: Notify,
}

/// How a try ended for its client.
enum End {
    Served,
    /// Trying again is harmless, best after so many ms.
    Refused(f64),
    /// It surely never came to the gateway.
    NeverTaken,
    Failed,
    /// The client has lost interest.
    Left,
}

impl Clients {
    pub(super) fn new(kit: &Rc<Kit>, gateways: &Rc<Gateways>) -> Rc<Self> {
        let kept = gateways.all.iter().map(|_| Vec::new()).collect();
        let this = Rc::new(Self {
            kit: kit.clone(),
            gateways: gateways.clone(),
            kept: RefCell::new(kept),
            open: Cell::new(0),
            over: Notify::new(),
        });
        let looks = this.clone();
        spawn_local(async move {
            loop {
                looks.kit.pause(LOOK).await;
                looks.sweep();
            }
        });
        this
    }

    /// Offers all arrivals at their times.
    pub(super) async fn offer(self: Rc<Self>) {
        let arrivals = self.kit.day.arrivals.clone();
        for (number, arrival) in arrivals.into_iter().enumerate() {
            self.kit.until(arrival.at).await;
            let plan = &self.kit.scenario.plan[self.kit.day.accounts[arrival.account as usize].plan];
            self.kit.note_at(
                arrival.at,
                What::Offered {
                    request: number as u32,
                    account: arrival.account,
                    plan: plan.name.clone(),
                    class: self.kit.scenario.class[arrival.class].name.clone(),
                    units: 1.0,
                },
            );
            self.open.set(self.open.get() + 1);
            let this = self.clone();
            spawn_local(async move {
                this.request(number as u32, arrival).await;
                this.open.set(this.open.get() - 1);
                this.over.notify_one();
            });
        }
        self.kit.until(self.kit.scenario.length.0).await;
    }

    /// Waits until all requests are over.
    pub(super) async fn all_over(&self) {
        while self.open.get() > 0 {
            self.over.notified().await;
        }
    }

    /// One request with all its tries.
    async fn request(&self, number: u32, arrival: Arrival) {
        let (kit, scenario) = (&self.kit, &self.kit.scenario);
        let class = &scenario.class[arrival.class];
        let account = &kit.day.accounts[arrival.account as usize];
        let mut random = random(kit.seed, Stream::Clients);
        random.set_word_pos(u128::from(number) * 256);
        let mut random = ChaCha8Rng::seed_from_u64(random.random());
        let deadline = arrival.at + class.deadline.0;
        for go in 0..scenario.clients.tries {
            let id = TryId { request: number, go };
            let patience = class.deadline.0 * scenario.clients.patience.at(random.random());
            let patience = patience.min(deadline - kit.now());
            let leaves = random.random::<f64>() < scenario.clients.impatient.0;
            let leaves = leaves.then(|| patience * random.random::<f64>());
            if patience < 20.0 {
                return;
            }
            let draw = random.random::<f64>();
            let gateway = self.choose(&arrival, draw);
            let end = self.attempt(id, &arrival, &gateway, patience, leaves).await;
            let wait = scenario.clients.wait.at(random.random());
            let wait = match end {
                End::Served | End::Left => return,
                End::Refused(advice) if account.honours => {
                    wait.max(advice.min(scenario.clients.longest_advice.0))
                }
                End::Refused(_) | End::NeverTaken => wait,
                // A failure promises nothing.
                End::Failed if class.effect == Effect::Unsafe => return,
                End::Failed => wait,
            };
            if kit.now() + wait >= deadline {
                return;
            }
            kit.pause(wait).await;
        }
    }

    /// The front deals a request out among the gateways of its account that it takes for alive.
    fn choose(&self, arrival: &Arrival, draw: f64) -> Rc<Gateway> {
        let all = &self.gateways.all;
        let account = &self.kit.day.accounts[arrival.account as usize];
        let weights = self.kit.day.weights(arrival.account as usize, self.kit.now());
        let set = (0..account.spread).map(|n| (account.first + n) % all.len());
        let mut set: Vec<(usize, f64)> = set.zip(weights.iter().copied()).collect();
        if set.iter().any(|(n, _)| all[*n].in_rotation.get()) {
            set.retain(|(n, _)| all[*n].in_rotation.get());
        }
        let sum: f64 = set.iter().map(|(_, w)| w).sum();
        let mut left = draw * sum;
        for (n, weight) in &set {
            left -= weight;
            if left <= 0.0 {
                return all[*n].clone();
            }
        }
        all[set.last().map_or(account.first, |(n, _)| *n)].clone()
    }

    fn text(&self, id: TryId, arrival: &Arrival, patience: f64) -> String {
        let scenario = &self.kit.scenario;
        let class = &scenario.class[arrival.class];
        let account = &self.kit.day.accounts[arrival.account as usize];
        let (spread, first) = (account.spread, account.first);
        let plan = &scenario.plan[account.plan].name;
        let (method, body) = if class.effect == Effect::Safe { ("GET", "") } else { ("POST", BODY) };
        let mut text = format!(
            "{method} /{}/{} HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: {id}\r\nApi-Plan: {plan}\r\nApi-Customer: {:016x}\r\n\
             Req-Deadline-Ms: {}\r\nApi-Terms: units=1,spread={spread},first={first}\r\n",
            class.name,
            id.request,
            arrival.account,
            patience.floor().max(1.0),
        );
        if class.effect == Effect::Keyed {
            // The same for all tries: to its client they are one deed.
            text += &format!("Idempotency-Key: {:016x}{:016x}\r\n", self.kit.seed, id.request);
        }
        if id.go > 0 {
            text += "Req-Retry: 1\r\n";
        }
        if !body.is_empty() {
            text += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
        }
        text + "\r\n" + body
    }

    /// One try: once more on a new connection if a kept one was closed as it was written to.
    async fn attempt(
        &self, id: TryId, arrival: &Arrival, gateway: &Rc<Gateway>, patience: f64, leaves: Option<f64>,
    ) -> End {
        let number = self.gateways.all.iter().position(|g| Rc::ptr_eq(g, gateway)).unwrap_or(0);
        let until = self.kit.now() + patience;
        loop {
            let kept = self.take_kept(number);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => match tokio::time::timeout(CONNECT, TcpStream::connect(gateway.at)).await {
                    Ok(Ok(stream)) => Connection::new(stream),
                    _ => {
                        self.kit.note(What::Unsent { id, gateway: number });
                        return End::NeverTaken;
                    }
                },
            };
            let left = until - self.kit.now();
            if left < 5.0 {
                self.kit.note(What::Unsent { id, gateway: number });
                return End::NeverTaken;
            }
            let text = self.text(id, arrival, left);
            if connection.write(text.as_bytes()).await.is_err() {
                if fresh {
                    self.kit.note(What::Unsent { id, gateway: number });
                    return End::NeverTaken;
                }
                continue;
            }
            self.kit.note(What::Asked { id, gateway: number, patience: left, fresh });
            let slack = self.kit.scenario.rules.answer_slack.0 + BEYOND;
            let (wait, over) = match leaves {
                Some(leaves) if leaves < left => (leaves, false),
                _ => (left + slack, true),
            };
            let read = tokio::select! {
                biased;
                read = connection.read(true) => read,
                () = self.kit.pause(wait) => {
                    self.kit.note(What::Left { id, patience_over: over });
                    return if over { End::Failed } else { End::Left };
                }
            };
            match read {
                Ok(message) => return self.answered(id, number, connection, &message),
                Err(NoMessage::Ended(bytes)) => {
                    self.kit.note(What::Ended { id, bytes });
                    if fresh || bytes > 0 {
                        return End::Failed;
                    }
                }
                Err(NoMessage::Malformed) => {
                    self.kit.note(What::Ended { id, bytes: 1 });
                    return End::Failed;
                }
            }
        }
    }

    fn answered(&self, id: TryId, gateway: usize, connection: Connection, message: &Message) -> End {
        let (answer, end) = match message.status {
            200 => (Answer::Served, End::Served),
            429 | 503 => {
                let advice = message.header("retry-after").and_then(|s| s.parse::<f64>().ok());
                (Answer::Refused, End::Refused(advice.unwrap_or(0.0) * 1000.0))
            }
            _ => (Answer::Failed, End::Failed),
        };
        let body = (answer == Answer::Served).then(|| attempt_in(&message.body, id)).flatten();
        self.kit.note(What::Answered { id, answer, status: message.status, body });
        if connection.has_input() {
            self.kit.note(What::Stray { gateway, after: Some(id) });
        } else if !message.closes() {
            self.kept.borrow_mut()[gateway].push(Kept { connection, last: id });
        }
        end
    }

    /// The connection used last that still stands.
    fn take_kept(&self, gateway: usize) -> Option<Connection> {
        let mut kept = self.kept.borrow_mut();
        while let Some(mut last) = kept[gateway].pop() {
            match last.connection.idle_state() {
                Idle::Stands => return Some(last.connection),
                Idle::Ended => {}
                Idle::Stray => self.kit.note(What::Stray { gateway, after: Some(last.last) }),
            }
        }
        None
    }

    /// Looks at all idle connections: whatever comes on one belongs to nothing.
    pub(super) fn sweep(&self) {
        for (gateway, kept) in self.kept.borrow_mut().iter_mut().enumerate() {
            kept.retain_mut(|k| match k.connection.idle_state() {
                Idle::Stands => true,
                Idle::Ended => false,
                Idle::Stray => {
                    self.kit.note(What::Stray { gateway, after: Some(k.last) });
                    false
                }
            });
        }
    }
}

/// The attempt that an answer's body names, if it is one made for this try.
fn attempt_in(body: &[u8], id: TryId) -> Option<u32> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let own = value.get("try")?.as_str()? == id.to_string();
    value.get("attempt")?.as_u64().filter(|_| own).and_then(|n| u32::try_from(n).ok())
}
