//! What was done and seen, each with the rig's own time in ms.

use crate::script::{Fault, Script};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When, in ms from the start of the rig.
    pub at: f64,
    /// What.
    pub what: What,
}

/// What a process showed when it was asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// Its name.
    pub name: String,
    /// The last entry that it has applied.
    pub index: u64,
    /// The hash over all of them.
    pub hash: String,
    /// Its part: leader, keeper, stranger, follower.
    pub part: String,
    /// Members that it sees.
    pub members: BTreeMap<String, String>,
    /// Topics and their versions.
    pub topics: BTreeMap<String, u64>,
}

/// What was done or seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// What is played.
    Script(Script),
    /// The rig did this.
    Done(Fault),
    /// Faults are over: all links pass, all processes run.
    Healed,
    /// A process was started.
    Started(usize),
    /// A process ended, and whether the rig had it end.
    Ended {
        /// Which one.
        process: usize,
        /// Whether the rig did it.
        wanted: bool,
    },
    /// An effect reached the witness.
    Effect {
        /// The right.
        right: String,
        /// Who acted.
        name: String,
        /// Which run of it.
        incarnation: u64,
        /// Under which number.
        fence: u64,
    },
    /// The rig asked a process to agree on a topic's next content.
    Asked {
        /// Which wish.
        wish: u64,
        /// The version that it follows.
        follows: u64,
    },
    /// It was told that this is agreed, under this version.
    Agreed {
        /// Which wish.
        wish: u64,
        /// The version.
        version: u64,
    },
    /// A process wrote of a member that it is gone.
    Gone {
        /// Who wrote it.
        by: usize,
        /// Of whom.
        of: usize,
    },
    /// A process showed what it has.
    Shown {
        /// Which one.
        process: usize,
        /// What.
        shown: Shown,
    },
}

impl Line {
    /// As one line of JSON.
    pub fn write(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// From one line of JSON.
    ///
    /// # Errors
    /// When it is none.
    pub fn read(line: &str) -> Result<Self, String> {
        serde_json::from_str(line).map_err(|error| error.to_string())
    }
}
