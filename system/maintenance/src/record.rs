//! The maintenance record of a work order: what was drained when and why, and what proxies are told of it.
//! Both are written in full by one step.

use crate::Millis;
use crate::order::Node;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// New work is sent elsewhere; work in progress finishes.
    Draining,
    /// No work is in progress there: the node may be serviced.
    Out,
    /// It was out for its full time and is back in service.
    Serviced,
    /// It is back in service without having been out for its full time.
    Unserviced,
}

impl Phase {
    /// Whether the node gets no new work.
    pub fn is_drained(self) -> bool {
        matches!(self, Self::Draining | Self::Out)
    }

    /// The name that records and operators see.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Out => "out",
            Self::Serviced => "serviced",
            Self::Unserviced => "unserviced",
        }
    }
}

/// The begin of a phase of one node, or a note within it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The phase.
    pub phase: Phase,
    /// The latest possible time of the step, in ms since the Unix epoch; 0 if no trusted time was available.
    pub at: Millis,
    /// The registry that decided it.
    pub by: String,
    /// The reason, and what was waited for.
    pub why: String,
}

/// The record of the maintenance of a work order so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceRecord {
    /// The steps of each node, by its name.
    pub nodes: BTreeMap<String, Vec<Step>>,
    /// When the current maintenance window ends, in ms since the Unix epoch.
    pub ends: Millis,
}

impl MaintenanceRecord {
    /// Parses a record; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        sonic_rs::from_str(text).ok()
    }

    /// The record as JSON.
    pub fn to_json(&self) -> String {
        sonic_rs::to_string(self).unwrap_or_default()
    }

    /// The current phase of a node; `None` if it has not begun.
    pub fn phase(&self, node: &Node) -> Option<Phase> {
        self.last_step(node).map(|step| step.phase)
    }

    /// The last step of a node.
    pub fn last_step(&self, node: &Node) -> Option<&Step> {
        self.nodes.get(&node.to_string())?.last()
    }

    /// Nodes that get no new work now.
    pub fn drained_nodes(&self) -> Vec<Node> {
        let drained =
            self.nodes.iter().filter(|(_, steps)| steps.last().is_some_and(|s| s.phase.is_drained()));
        drained.filter_map(|(node, _)| node.parse().ok()).collect()
    }

    /// What proxies are told; `None` while no node is drained.
    pub fn drain(&self) -> Option<Drain> {
        let nodes: Vec<String> = self.drained_nodes().iter().map(Node::to_string).collect();
        (!nodes.is_empty()).then_some(Drain { nodes, ends: self.ends })
    }
}

/// The nodes that a work order drains now, as proxies are told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Nodes that get no new work.
    pub nodes: Vec<String>,
    /// The drain ends at this time in any case, in ms since the Unix epoch.
    pub ends: Millis,
}

impl Drain {
    /// Parses a drain; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        sonic_rs::from_str(text).ok()
    }

    /// The drain as JSON.
    pub fn to_json(&self) -> String {
        sonic_rs::to_string(self).unwrap_or_default()
    }

    /// The nodes that can be parsed.
    pub fn nodes(&self) -> impl Iterator<Item = Node> {
        self.nodes.iter().filter_map(|node| node.parse().ok())
    }
}
