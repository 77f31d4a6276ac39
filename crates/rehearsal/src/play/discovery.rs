//! One discovery agent for each gateway: the whole list, and a watch. Agents hear of changes late, each in its own time,
//! and know of processes only.

use super::kit::Kit;
use super::node::Nodes;
use super::place::{Moved, Place};
use super::wire::{Connection, answer, ok};
use crate::log::{NodeState, What};
use crate::scenario::TroubleKind;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Of a run's network, agents have this address.
const HOST: u8 = 251;
/// The longest wait of a watch, in ms.
const LONGEST_WAIT: f64 = 60_000.0;
/// How often a silence is looked at for its end, in ms.
const SILENCE: f64 = 20.0;

/// What an agent knows of one node.
#[derive(Clone)]
struct Row {
    state: NodeState,
    life: u32,
    /// Unix time of the start in ms, 0 for long ago.
    born: f64,
    /// The version with which this came.
    seq: u64,
    /// The number of the change, so that no earlier one overtakes it.
    change: u64,
}

/// One gateway's agent.
pub(super) struct Agent {
    kit: Rc<Kit>,
    nodes: Rc<Nodes>,
    gateway: usize,
    place: Place,
    rows: RefCell<Vec<Row>>,
    seq: watch::Sender<u64>,
}

/// All agents.
pub(super) struct Discovery {
    pub(super) agents: Vec<Rc<Agent>>,
}

impl Discovery {
    pub(super) async fn start(kit: &Rc<Kit>, nodes: &Rc<Nodes>) -> io::Result<Rc<Self>> {
        let row = Row { state: NodeState::InService, life: 0, born: 0.0, seq: 1, change: 0 };
        let mut agents = Vec::new();
        for gateway in 0..kit.scenario.fleet.gateways {
            let agent = Rc::new(Agent {
                kit: kit.clone(),
                nodes: nodes.clone(),
                gateway,
                place: Place::new(kit, HOST),
                rows: RefCell::new(vec![row.clone(); nodes.all.len()]),
                seq: watch::channel(1).0,
            });
            agent.clone().move_on().await?;
            agents.push(agent);
        }
        let this = Rc::new(Self { agents });
        let (told, changes) = (this.clone(), Cell::new(0));
        nodes.news.borrow_mut().push(Rc::new(move |node, state, life, born| {
            changes.set(changes.get() + 1);
            told.agents.iter().for_each(|agent| agent.clone().hear(changes.get(), node, state, life, born));
        }));
        Ok(this)
    }
}

impl Agent {
    /// Where it listens now.
    pub(super) fn at(&self) -> SocketAddr {
        self.place.at()
    }

    /// Listens elsewhere from now on.
    pub(super) async fn move_on(self: Rc<Self>) -> io::Result<()> {
        let this = self.clone();
        let take = move |stream, moved: Moved| {
            let this = this.clone();
            spawn_local(async move {
                tokio::select! {
                    () = moved.over() => {}
                    () = this.serve(Connection::new(stream)) => {}
                }
            });
        };
        self.place.move_on(take).await
    }

    /// A change happened; this agent hears of it late.
    fn hear(self: Rc<Self>, change: u64, node: usize, state: NodeState, life: u32, born: f64) {
        let figures = &self.kit.scenario.discovery;
        let late = if state == NodeState::InService { figures.late_for_new } else { figures.late };
        let late = late.at(self.kit.service_draw());
        spawn_local(async move {
            self.kit.pause(late).await;
            while self.kit.is_on(TroubleKind::DiscoverySilent) {
                self.kit.pause(SILENCE).await;
            }
            let seq = *self.seq.borrow() + 1;
            {
                let mut rows = self.rows.borrow_mut();
                let row = &mut rows[node];
                if row.change > change {
                    return;
                }
                let born = if state == NodeState::InService { self.kit.unix_ms(born) } else { row.born };
                *row = Row { state, life, born, seq, change };
            }
            self.kit.note(What::News { gateway: self.gateway, node, state, life, told: false });
            self.seq.send_replace(seq);
        });
    }

    async fn serve(&self, mut connection: Connection) {
        while let Ok(message) = connection.read(false).await {
            while self.kit.is_on(TroubleKind::DiscoverySilent) {
                self.kit.pause(SILENCE).await;
            }
            let (path, query) = message.target.split_once('?').unwrap_or((&message.target, ""));
            if path != "/discovery/hosts" {
                let _ = connection.write(answer("404 Not Found", "", "").as_bytes()).await;
                return;
            }
            let number = |key: &str| {
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let after = number("after").filter(|after| *after <= *self.seq.borrow());
            if let Some(after) = after {
                let wait = (number("wait_ms").unwrap_or(0) as f64).min(LONGEST_WAIT);
                let mut seq = self.seq.subscribe();
                tokio::select! {
                    _ = seq.wait_for(|seq| *seq > after) => {}
                    () = self.kit.pause(wait) => {}
                    // Given up: nothing is told.
                    () = connection.ends() => return,
                }
                while self.kit.is_on(TroubleKind::DiscoverySilent) {
                    self.kit.pause(SILENCE).await;
                }
            }
            let (text, told) = self.list(after);
            if connection.write(ok(&text).as_bytes()).await.is_err() {
                return;
            }
            self.note_told(&told);
        }
    }

    /// What has changed since a version, or the whole list; and the nodes that it speaks of.
    fn list(&self, after: Option<u64>) -> (String, Vec<usize>) {
        let rows = self.rows.borrow();
        let told: Vec<usize> =
            (0..rows.len()).filter(|n| after.is_none_or(|after| rows[*n].seq > after)).collect();
        let listed = told.iter().filter(|n| after.is_some() || rows[**n].state != NodeState::Terminated);
        let hosts: Vec<String> = listed.map(|n| self.row(*n, &rows[*n])).collect();
        let (seq, whole) = (*self.seq.borrow(), after.is_none());
        (format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(",")), told)
    }

    fn row(&self, number: usize, row: &Row) -> String {
        let stand = &self.nodes.all[number];
        let health = match row.state {
            NodeState::InService => "in_service",
            NodeState::Terminating => "terminating",
            NodeState::Terminated => "terminated",
        };
        let (dial, rack, born) = (stand.at, stand.rack, row.born.round());
        format!(
            r#"{{"host":"node-{number}","dial":"{dial}","site":"rehearsal","class":"node","block":{rack},"health":"{health}","share":1.0,"born_ms":{born}}}"#
        )
    }

    /// The whole list as a configuration knows it; the gateway that is started with it has been told so.
    pub(super) fn known(&self) -> String {
        self.list(None).0
    }

    /// Writes down that the gateway was told of nodes.
    pub(super) fn note_told(&self, nodes: &[usize]) {
        let rows = self.rows.borrow();
        for node in nodes {
            let Row { state, life, .. } = rows[*node];
            self.kit.note(What::News { gateway: self.gateway, node: *node, state, life, told: true });
        }
    }

    /// Writes down that the gateway was told of all nodes.
    pub(super) fn note_all_told(&self) {
        self.note_told(&(0..self.nodes.all.len()).collect::<Vec<_>>());
    }
}
