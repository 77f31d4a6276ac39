//! What the fleet has agreed: the same at every node that has applied the same entries, byte for byte.

use crate::rules::{
    LEASE_LENGTHS, MOST_AUTHORS, MOST_CONTENT, MOST_LEASES, MOST_NAME, MOST_TOPICS, Micros, is_name,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// One run of one member, as far as the log has to tell runs apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Author {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A wish that the log is to settle. Each author numbers its own from 1 in each run, and they are settled in this order, each
/// once, however often they are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Whose it is.
    pub author: Author,
    /// Its number.
    pub serial: u64,
    /// What is wished.
    pub command: Command,
}

impl Proposal {
    /// Bytes that it takes in an entry, or a few more.
    pub fn bytes(&self) -> usize {
        let content = match &self.command {
            Command::Publish { content, .. } => content.len(),
            Command::Take { .. } | Command::Renew { .. } | Command::Release { .. } => 0,
        };
        content + 2 * MOST_NAME + 64
    }
}

/// What can be wished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The right, until it is renewed, given back, or over.
    Take {
        /// Its name.
        right: String,
        /// How long it holds, in microseconds of the holder's own clock from the moment in which it asked.
        length: Micros,
    },
    /// The right again for its length.
    Renew {
        /// Its name.
        right: String,
        /// Under which number it was given.
        fence: u64,
    },
    /// The right is given back: its holder has stopped already.
    Release {
        /// Its name.
        right: String,
        /// Under which number it was given.
        fence: u64,
    },
    /// A topic's content, if its version is still this one; 0 where it has none.
    Publish {
        /// The topic.
        topic: String,
        /// The version that this one follows.
        follows: u64,
        /// The content; empty takes the topic away.
        content: Vec<u8>,
    },
}

/// What one entry of the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Wishes, in order.
    pub proposals: Vec<Proposal>,
    /// Leases that are over by a leader's own clock.
    pub over: Vec<Over>,
}

/// A lease that is over, unless it was renewed after the entry up to which this was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Over {
    /// The right.
    pub right: String,
    /// Its number.
    pub fence: u64,
    /// The entry that gave or last renewed it, as the leader knew.
    pub renewed: u64,
}

/// A right that somebody holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: Author,
    /// The number under which it was given: the index of the entry, so that it only grows.
    pub fence: u64,
    /// Its length in microseconds.
    pub length: Micros,
    /// The entry that gave or last renewed it.
    pub renewed: u64,
}

/// A topic's last content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topic {
    /// The index of the entry that brought it.
    pub version: u64,
    /// Whose it is.
    pub author: Author,
    /// The content.
    pub content: Vec<u8>,
}

/// A keeper of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    /// The member's name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// How a wish was settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// Done, by the entry of this index.
    Done(u64),
    /// Somebody else holds the right.
    Held(Lease),
    /// Not the author's, not under this number, or over.
    NotHeld,
    /// The topic is at another version.
    Version(u64),
    /// No room, a bad name or a bad length.
    Refused,
}

/// An author's proposal and how it was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whose it was.
    pub author: Author,
    /// Its number.
    pub serial: u64,
    /// How it was settled.
    pub settled: Settled,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    incarnation: u64,
    serial: u64,
    settled: Settled,
    at: u64,
}

/// All that is agreed, up to an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The last entry.
    pub index: u64,
    /// A hash over all entries up to it, each on top of the one before.
    pub hash: u64,
    /// Who keeps the log, by the number of its disk.
    pub keepers: BTreeMap<u64, Keeper>,
    /// Who holds what, by the right's name.
    pub leases: BTreeMap<String, Lease>,
    /// Topics by name.
    pub topics: BTreeMap<String, Topic>,
    authors: BTreeMap<String, Last>,
    topic_bytes: usize,
}

impl State {
    /// What a fleet begins with.
    pub fn of(keepers: BTreeMap<u64, Keeper>) -> Self {
        Self { keepers, ..Self::default() }
    }

    /// The number of the last proposal of an author that was settled, and how.
    pub fn last_of(&self, author: &Author) -> Option<(u64, &Settled)> {
        let last = self.authors.get(&author.name)?;
        (last.incarnation == author.incarnation).then_some((last.serial, &last.settled))
    }

    /// Takes the next entry. An entry that is empty or cannot be read changes nothing but the index and the hash, at every node
    /// alike.
    pub fn apply(&mut self, index: u64, data: &[u8]) -> Vec<Outcome> {
        self.step(index, data);
        let Ok(batch) = postcard::from_bytes::<Batch>(data) else { return Vec::new() };
        for over in &batch.over {
            let same = |lease: &Lease| (lease.fence, lease.renewed) == (over.fence, over.renewed);
            if self.leases.get(&over.right).is_some_and(same) {
                self.leases.remove(&over.right);
            }
        }
        batch.proposals.into_iter().filter_map(|proposal| self.settle(proposal)).collect()
    }

    /// Takes the next entry, which names the keepers from now on; an empty one is a step on the way there.
    pub fn apply_keepers(&mut self, index: u64, data: &[u8]) {
        self.step(index, data);
        if let Ok(keepers) = postcard::from_bytes::<BTreeMap<u64, Keeper>>(data) {
            self.keepers = keepers;
        }
    }

    fn step(&mut self, index: u64, data: &[u8]) {
        let mut hash = Xxh3::new();
        hash.update(&self.hash.to_le_bytes());
        hash.update(&index.to_le_bytes());
        hash.update(data);
        self.hash = hash.digest();
        self.index = index;
    }

    /// As bytes, for a snapshot.
    pub fn write(&self) -> Vec<u8> {
        // Maps and numbers of the program's own: they always can be written.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// From the bytes of a snapshot.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Settles a wish, unless it has been already or is not yet to be.
    fn settle(&mut self, proposal: Proposal) -> Option<Outcome> {
        let Proposal { author, serial, command } = proposal;
        if !is_name(&author.name) {
            return None;
        }
        // A run begins with 1; an older run than the last one seen is not heard any more.
        let expected = match self.authors.get(&author.name) {
            Some(last) if last.incarnation > author.incarnation => return None,
            Some(last) if last.incarnation == author.incarnation => last.serial + 1,
            _ => 1,
        };
        if serial != expected {
            return None;
        }
        let settled = self.obey(&author, command);
        let last = Last { incarnation: author.incarnation, serial, settled: settled.clone(), at: self.index };
        self.authors.insert(author.name.clone(), last);
        if self.authors.len() > MOST_AUTHORS {
            let oldest = self.authors.iter().min_by_key(|(_, last)| last.at).map(|(name, _)| name.clone());
            oldest.and_then(|name| self.authors.remove(&name));
        }
        Some(Outcome { author, serial, settled })
    }

    fn obey(&mut self, author: &Author, command: Command) -> Settled {
        let index = self.index;
        match command {
            Command::Take { right, length } => {
                let room = self.leases.len() < MOST_LEASES;
                match self.leases.get(&right) {
                    Some(lease) => Settled::Held(lease.clone()),
                    None if !room || !is_name(&right) || !LEASE_LENGTHS.contains(&length) => Settled::Refused,
                    None => {
                        // Two rights given by one entry have one number each of their own right: it is compared only there.
                        let lease = Lease { holder: author.clone(), fence: index, length, renewed: index };
                        self.leases.insert(right, lease);
                        Settled::Done(index)
                    }
                }
            }
            Command::Renew { right, fence } => match self.leases.get_mut(&right) {
                Some(lease) if lease.holder == *author && lease.fence == fence => {
                    lease.renewed = index;
                    Settled::Done(index)
                }
                _ => Settled::NotHeld,
            },
            Command::Release { right, fence } => match self.leases.get(&right) {
                Some(lease) if lease.holder == *author && lease.fence == fence => {
                    self.leases.remove(&right);
                    Settled::Done(index)
                }
                _ => Settled::NotHeld,
            },
            Command::Publish { topic, follows, content } => {
                let (version, bytes) =
                    self.topics.get(&topic).map_or((0, 0), |topic| (topic.version, topic.content.len()));
                let bytes_after = self.topic_bytes - bytes + content.len();
                if version != follows {
                    Settled::Version(version)
                } else if !is_name(&topic) || content.len() > MOST_CONTENT || bytes_after > MOST_TOPICS {
                    Settled::Refused
                } else {
                    self.topic_bytes = bytes_after;
                    if content.is_empty() {
                        self.topics.remove(&topic);
                    } else {
                        self.topics.insert(topic, Topic { version: index, author: author.clone(), content });
                    }
                    Settled::Done(index)
                }
            }
        }
    }
}
