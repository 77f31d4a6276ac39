//! The record of an order's night: what was drained when and why, and what proxies are told of it. Both are written by one
//! step, whole.

use crate::Millis;
use crate::order::Node;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a node has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// New work goes elsewhere; what is at work ends.
    Draining,
    /// Nothing is at work there: it may be serviced.
    Out,
    /// It was out for its time and is back.
    Serviced,
    /// It is back and was not out for its time.
    Unserviced,
}

impl Phase {
    /// Whether the node gets nothing.
    pub fn is_drained(self) -> bool {
        matches!(self, Self::Draining | Self::Out)
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Out => "out",
            Self::Serviced => "serviced",
            Self::Unserviced => "unserviced",
        }
    }
}

/// One step of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// What began.
    pub phase: Phase,
    /// Not after this moment, in ms since 1970; 0 where no time could be trusted.
    pub at: Millis,
    /// Which gateway decided it.
    pub by: String,
    /// Why, and what was waited for.
    pub why: String,
}

/// A night so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceRecord {
    /// The steps of each node, by its name.
    pub nodes: BTreeMap<String, Vec<Step>>,
    /// When the hours end that the nodes are out in, in ms since 1970.
    pub ends: Millis,
}

impl MaintenanceRecord {
    /// Reads a record; none if it can't be.
    pub fn parse(text: &str) -> Option<Self> {
        sonic_rs::from_str(text).ok()
    }

    /// The record as a text.
    pub fn to_json(&self) -> String {
        sonic_rs::to_string(self).unwrap_or_default()
    }

    /// How far a node has come; none if it has not begun.
    pub fn phase(&self, node: &Node) -> Option<Phase> {
        self.last_step(node).map(|step| step.phase)
    }

    /// A node's last step.
    pub fn last_step(&self, node: &Node) -> Option<&Step> {
        self.nodes.get(&node.to_string())?.last()
    }

    /// Nodes that get nothing.
    pub fn drained_nodes(&self) -> Vec<Node> {
        let out = self.nodes.iter().filter(|(_, steps)| steps.last().is_some_and(|s| s.phase.is_drained()));
        out.filter_map(|(node, _)| node.parse().ok()).collect()
    }

    /// What proxies are told; none while nothing is out.
    pub fn drain(&self) -> Option<Drain> {
        let nodes: Vec<String> = self.drained_nodes().iter().map(Node::to_string).collect();
        (!nodes.is_empty()).then_some(Drain { nodes, ends: self.ends })
    }
}

/// What an order has drained now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Nodes that get nothing.
    pub nodes: Vec<String>,
    /// Whatever else is heard, not beyond this moment, in ms since 1970.
    pub ends: Millis,
}

impl Drain {
    /// Reads what an order has drained; none if it can't be.
    pub fn parse(text: &str) -> Option<Self> {
        sonic_rs::from_str(text).ok()
    }

    /// As a text.
    pub fn to_json(&self) -> String {
        sonic_rs::to_string(self).unwrap_or_default()
    }

    /// The nodes.
    pub fn nodes(&self) -> impl Iterator<Item = Node> {
        self.nodes.iter().filter_map(|node| node.parse().ok())
    }
}
