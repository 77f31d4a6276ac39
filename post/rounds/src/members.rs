//! Sessions of proxies here and at other registries, and who is a member by them.
//!
//! A session that ended by a word or a closed line is over. One that was silent may be one that was cut off: its proxy serves
//! on, so it counts for shares for a while ([`CUT`]), and as long as its registry is silent it is still a member
//! ([`KEPT`]): a cut through the core does not empty the directory.

use crate::{Millis, SILENT};
use post_words::Host;
use post_words::news::{Down, Member};
use std::collections::BTreeMap;

/// Members of a registry that is silent are members for so long.
pub const KEPT: Millis = 6000.0;
/// A proxy that went silent counts for shares for so long.
pub const CUT: Millis = 20_000.0;
/// Changes of members are told together, this far apart.
const APART: Millis = 100.0;
/// The most sessions that are remembered after they went silent.
const MOST: usize = 4096;

#[derive(Clone, Debug)]
struct Session {
    member: Member,
    heard: Millis,
    differs: bool,
    lags: bool,
}

#[derive(Clone, Debug, Default)]
struct Roll {
    members: Vec<Member>,
    hash: u64,
    heard: Millis,
}

/// All that is known of proxies.
#[derive(Clone, Debug, Default)]
pub struct Members {
    sessions: BTreeMap<Host, Session>,
    rolls: BTreeMap<Host, Roll>,
    silent: BTreeMap<Host, Millis>,
    told: Option<Down>,
    told_at: Millis,
}

fn roll_hash<'a>(members: impl Iterator<Item = &'a Member>) -> u64 {
    members.fold(1, |hash, m| {
        let text = format!("{}{:x}{}{}", m.host, m.life, m.port, m.ready);
        let hash = post_words::mix(hash ^ post_words::hash(text.as_bytes()));
        m.quiet.iter().fold(hash, |hash, node| post_words::mix(hash ^ post_words::hash(node.as_bytes())))
    })
}

impl Members {
    pub(crate) fn hello(&mut self, member: Member, now: Millis) {
        self.silent.remove(&member.host);
        self.sessions.insert(member.host, Session { member, heard: now, differs: false, lags: false });
    }

    /// A proxy shows that it lives. Whether others should hear of a change.
    pub(crate) fn beat(&mut self, host: Host, ready: bool, now: Millis) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        session.heard = now;
        std::mem::replace(&mut session.member.ready, ready) != ready
    }

    pub(crate) fn heard(&mut self, host: Host, now: Millis) {
        if let Some(session) = self.sessions.get_mut(&host) {
            session.heard = now;
        }
    }

    /// Notes whether a proxy's items differ; true the second time in a row.
    pub(crate) fn differs(&mut self, host: Host, differs: bool) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        let again = session.differs && differs;
        session.differs = differs && !again;
        again
    }

    /// The life of a proxy with a session here.
    pub(crate) fn life(&self, host: Host) -> Option<u64> {
        self.sessions.get(&host).map(|session| session.member.life)
    }

    /// Where a proxy has nothing at work. Whether others should hear of a change.
    pub(crate) fn quiet(&mut self, host: Host, nodes: Vec<String>, now: Millis) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        session.heard = now;
        std::mem::replace(&mut session.member.quiet, nodes.clone()) != nodes
    }

    pub(crate) fn bye(&mut self, host: Host, _now: Millis) {
        self.sessions.remove(&host);
        self.silent.remove(&host);
    }

    pub(crate) fn closed(&mut self, host: Host, _now: Millis) -> bool {
        self.sessions.remove(&host).is_some()
    }

    /// Sessions that were silent too long end here.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<Host> {
        let over: Vec<Host> =
            self.sessions.iter().filter(|(_, s)| now - s.heard >= SILENT).map(|(host, _)| *host).collect();
        for host in &over {
            self.sessions.remove(host);
            self.silent.insert(*host, now);
        }
        for (_, roll) in self.rolls.iter().filter(|(_, roll)| now - roll.heard >= KEPT) {
            for member in &roll.members {
                self.silent.entry(member.host).or_insert(now);
            }
        }
        self.rolls.retain(|_, roll| now - roll.heard < KEPT);
        self.silent.retain(|_, since| now - *since < CUT);
        while self.silent.len() > MOST {
            self.silent.pop_first();
        }
        over
    }

    /// Whether a proxy began or ceased to lag: it differs, though what it lacked was sent again.
    pub(crate) fn lags(&mut self, host: Host, differs: bool, again: bool) -> Option<bool> {
        let session = self.sessions.get_mut(&host)?;
        let lags = again || session.lags && differs;
        (std::mem::replace(&mut session.lags, lags) != lags).then_some(lags)
    }

    /// Sessions here whose proxies held other items at their last beat.
    pub(crate) fn lagging(&self) -> usize {
        self.sessions.values().filter(|session| session.differs).count()
    }

    /// Proxies with a session here.
    pub(crate) fn sessions(&self) -> Vec<Host> {
        self.sessions.keys().copied().collect()
    }

    pub(crate) fn own_roll(&self) -> Vec<Member> {
        self.sessions.values().map(|session| session.member.clone()).collect()
    }

    pub(crate) fn roll_hash(&self) -> u64 {
        roll_hash(self.sessions.values().map(|session| &session.member))
    }

    /// What is known of another registry's sessions, in one number.
    pub(crate) fn knows(&self, registry: Host) -> Option<u64> {
        self.rolls.get(&registry).map(|roll| roll.hash)
    }

    pub(crate) fn roll(&mut self, registry: Host, members: Vec<Member>, now: Millis) {
        for member in &members {
            self.silent.remove(&member.host);
        }
        let hash = roll_hash(members.iter());
        self.rolls.insert(registry, Roll { members, hash, heard: now });
    }

    pub(crate) fn heard_registry(&mut self, registry: Host, now: Millis) {
        if let Some(roll) = self.rolls.get_mut(&registry) {
            roll.heard = now;
        }
    }

    /// All members, each once: a session here goes before what others say, a registry that is heard before one that is not.
    pub fn all(&self, now: Millis) -> Vec<Member> {
        let mut all: BTreeMap<Host, (Millis, &Member)> = BTreeMap::new();
        for roll in self.rolls.values() {
            for member in &roll.members {
                let known = all.entry(member.host).or_insert((roll.heard, member));
                if known.0 < roll.heard {
                    *known = (roll.heard, member);
                }
            }
        }
        all.retain(|_, (heard, _)| now - *heard < KEPT);
        for session in self.sessions.values() {
            all.insert(session.member.host, (now, &session.member));
        }
        all.into_values().map(|(_, member)| member.clone()).collect()
    }

    /// How many proxies there are for shares, and how many of them may be on their own.
    pub fn counted(&self, now: Millis) -> (f64, f64) {
        let members = self.all(now);
        let silent = self.silent.keys().filter(|host| !members.iter().any(|m| m.host == **host)).count();
        let unheard = self.rolls.values().filter(|roll| now - roll.heard >= SILENT);
        let unheard: usize = unheard.map(|roll| roll.members.len()).sum();
        ((members.len() + silent).max(1) as f64, (silent + unheard) as f64)
    }

    pub(crate) fn is_news(&mut self, word: &Down, now: Millis) -> bool {
        let news = self.told.as_ref() != Some(word) && now - self.told_at >= APART;
        if news {
            (self.told, self.told_at) = (Some(word.clone()), now);
        }
        news
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_proxy_lags_from_the_second_beat_that_differs_until_one_that_does_not() {
        let (mut members, host) = (Members::default(), Host(9));
        let member = Member {
            host,
            life: 1,
            zone: "a".into(),
            region: "r".into(),
            port: 1,
            ready: true,
            quiet: Vec::new(),
        };
        members.hello(member, 0.0);
        let mut beat = |differs| {
            let again = members.differs(host, differs);
            members.lags(host, differs, again)
        };
        let told: Vec<_> =
            [true, false, true, true, true, true, true, false, false].into_iter().map(&mut beat).collect();
        let (lags, current) = (Some(true), Some(false));
        assert_eq!(told, [None, None, None, lags, None, None, None, current, None]);
    }
}
