//! The timeline of troubles. Those that only change how a stand-in answers are looked up there, by the time.

use super::counter::Counter;
use super::discovery::Discovery;
use super::flood;
use super::gateways::Gateways;
use super::kit::Kit;
use super::node::Nodes;
use crate::log::What;
use crate::scenario::{Trouble, TroubleKind};
use fennelscale_settings::units::{Range, Time};
use std::io;
use std::rc::Rc;
use tokio::task::spawn_local;

/// A node that drains has this long to finish what it holds, in ms, before its process ends.
const DRAIN: f64 = 3000.0;
/// How long the front goes on sending to a gateway that was asked to end, in ms.
const RESTART_NOTICE: Range<Time> = Range::of(200.0, 400.0);
/// Fallen nodes are looked for this often, in ms.
const LOOK: f64 = 50.0;

struct Scene {
    kit: Rc<Kit>,
    nodes: Rc<Nodes>,
    counter: Rc<Counter>,
    discovery: Rc<Discovery>,
    gateways: Rc<Gateways>,
}

/// Starts the timeline.
pub(super) fn start(
    kit: &Rc<Kit>, nodes: &Rc<Nodes>, counter: &Rc<Counter>, discovery: &Rc<Discovery>,
    gateways: &Rc<Gateways>,
) {
    let scene = Rc::new(Scene {
        kit: kit.clone(),
        nodes: nodes.clone(),
        counter: counter.clone(),
        discovery: discovery.clone(),
        gateways: gateways.clone(),
    });
    for number in 0..kit.scenario.trouble.len() {
        let scene = scene.clone();
        spawn_local(async move {
            let trouble = scene.kit.scenario.trouble[number].clone();
            scene.kit.until(trouble.at.0).await;
            scene.kit.note(What::Trouble { trouble: number, on: true });
            if let Err(error) = scene.play(number, &trouble).await {
                // Seen in the log as nodes or gateways that do not come back.
                eprintln!("trouble {}: {error}", trouble.kind.name());
            }
            scene.kit.note(What::Trouble { trouble: number, on: false });
        });
    }
    spawn_local(async move {
        loop {
            scene.kit.pause(LOOK).await;
            scene.nodes.tell_fallen();
        }
    });
}

impl Scene {
    async fn play(self: &Rc<Self>, number: usize, trouble: &Trouble) -> io::Result<()> {
        let struck = &self.kit.day.struck[number];
        let lasts = trouble.lasts.map_or(0.0, |l| l.0);
        match trouble.kind {
            TroubleKind::KillGateways => {
                for gateway in struck {
                    let notices = self.kit.scenario.front.notices.at(self.kit.service_draw());
                    self.gateways.kill(*gateway, notices);
                }
                self.kit.until(trouble.end()).await;
                for gateway in struck {
                    self.gateways.revive(*gateway).await?;
                }
            }
            TroubleKind::RestartGateways => {
                // One after the other, as a planned restart goes.
                for gateway in struck {
                    let notices = RESTART_NOTICE.at(self.kit.service_draw());
                    self.gateways.restart(*gateway, notices, lasts / struck.len() as f64).await?;
                }
            }
            TroubleKind::MoveServices => {
                self.counter.clone().move_on().await?;
                for agent in &self.discovery.agents {
                    agent.clone().move_on().await?;
                }
                self.gateways.tell_moved()?;
            }
            TroubleKind::KillNodes => {
                struck.iter().for_each(|node| self.nodes.kill(*node));
                self.kit.until(trouble.end()).await;
                for node in struck {
                    self.nodes.revive(*node).await?;
                }
            }
            TroubleKind::DrainNodes => {
                struck.iter().for_each(|node| self.nodes.drain(*node));
                self.kit.pause(DRAIN.min(lasts)).await;
                struck.iter().for_each(|node| self.nodes.kill(*node));
                self.kit.until(trouble.end()).await;
                for node in struck {
                    self.nodes.revive(*node).await?;
                }
            }
            TroubleKind::StallNodes => {
                let (every, by) = (trouble.every.map_or(0.0, |e| e.0), trouble.by.map_or(0.0, |b| b.0));
                let stalls = struck.iter().map(|node| {
                    let (this, node, end) = (self.clone(), *node, trouble.end());
                    // Not all at once.
                    let first = every * this.kit.service_draw();
                    spawn_local(async move {
                        this.kit.pause(first).await;
                        while this.kit.now() < end {
                            this.nodes.all[node].stall(true);
                            this.kit.pause(by).await;
                            this.nodes.all[node].stall(false);
                            this.kit.pause(every - by).await;
                        }
                    })
                });
                for stall in stalls.collect::<Vec<_>>() {
                    let _ = stall.await;
                }
            }
            TroubleKind::FloodConnections => {
                let rate = trouble.rate.map_or(1.0, |rate| rate.0);
                let floods: Vec<_> = self
                    .gateways
                    .all
                    .iter()
                    .enumerate()
                    .map(|(n, gateway)| {
                        spawn_local(flood::flood(self.kit.clone(), n as u8, gateway.at, rate, trouble.end()))
                    })
                    .collect();
                for flood in floods {
                    let _ = flood.await;
                }
            }
            TroubleKind::CounterReplaced => self.counter.replace(),
            _ => self.kit.until(trouble.end()).await,
        }
        Ok(())
    }
}
