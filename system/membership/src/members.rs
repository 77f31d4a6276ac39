//! Sessions of proxies here and at other registries, and who is a member by them.
//!
//! A session that ended by a word or a closed line is over. One that was silent may be one that was cut off: its proxy serves
//! on, so it counts for shares for a while ([`SILENT_PROXY_RETENTION`]), and as long as its registry is silent it is still a member
//! ([`SILENT_REGISTRY_RETENTION`]): a cut through the core does not empty the directory.
//!
//! A proxy on its own spends the part of one of as many as it was told of last, however many have come since. That number is kept with
//! its silence, and told to the other registries: whoever holds a count keeps as much back.

use crate::copies::{Compared, Comparison, Standing};
use crate::{Millis, PEER_TIMEOUT};
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyInfo, RegistryToProxy};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Members of a registry that is silent are members for so long.
pub const SILENT_REGISTRY_RETENTION: Millis = 6000.0;
/// A proxy that went silent counts for shares for so long.
pub const SILENT_PROXY_RETENTION: Millis = 20_000.0;
/// What proxies were told of their number may still be on its way, and so not in force, for so long.
const DELIVERY_TIMEOUT: Millis = 3000.0;
/// Changes of members are told together, this far apart.
const UPDATE_INTERVAL: Millis = 100.0;
/// The most numbers that are remembered.
const MAX_COUNTS_SENT: usize = 64;
/// The most sessions that are remembered after they went silent.
const MAX_SILENT: usize = 4096;

#[derive(Clone, Debug)]
struct Session {
    member: ProxyInfo,
    heard: Millis,
    copy: Comparison,
    /// The keys of quotas that it spends by itself: their holders do not reach it.
    alone: u64,
}

/// A proxy and how many it thinks there are.
type Parted = (Host, u32);

/// What was counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyCounts {
    /// How many proxies there are for shares.
    pub all: f64,
    /// How many of them may be on their own, ...
    pub silent: f64,
    /// ... and what these spend of a quota, as a part of it.
    pub parts: f64,
}

/// Of which version of members, until when it holds, and what was counted.
type Counted = (u64, Millis, ProxyCounts);

#[derive(Clone, Debug, Default)]
struct Roll {
    members: Vec<ProxyInfo>,
    /// Whose sessions went silent there, and of how many each spends the part of one.
    silent: Vec<Parted>,
    /// Who spends by itself though it has a session there.
    alone: Vec<(Host, u64)>,
    hash: u64,
    heard: Millis,
}

impl Roll {
    /// All proxies that it is of, and how many each thinks that there are; of its members one of so many.
    fn parted(&self, of: u32) -> impl Iterator<Item = Parted> {
        self.members.iter().map(move |member| (member.host, of)).chain(self.silent.iter().copied())
    }
}

/// All that is known of proxies.
#[derive(Clone, Debug, Default)]
pub struct Members {
    sessions: BTreeMap<Host, Session>,
    rolls: BTreeMap<Host, Roll>,
    silent: BTreeMap<Host, (Millis, u32)>,
    /// What proxies were told of their number, and when; beside the last, what may still be in force.
    numbers: VecDeque<(Millis, u32)>,
    /// Some proxy may be named by two registries.
    twice: bool,
    /// Moves with whatever may change who is a member. All of them are only gone through when it has, or when time has made a
    /// difference: with every request for a block they would be a square of the proxies.
    version: u64,
    /// What was counted: at which version, until when it holds.
    counts: Cell<Option<Counted>>,
    told: Option<RegistryToProxy>,
    told_at: Millis,
    /// Of what was looked at last, to tell: the version, the count, until when there is nothing new.
    looked: Option<(u64, u32, Millis)>,
}

fn roll_hash<'a>(
    members: impl Iterator<Item = &'a ProxyInfo>, silent: &[Parted], alone: &[(Host, u64)],
) -> u64 {
    let part = |(host, of): &Parted| u64::from(host.0) ^ u64::from(*of) << 32;
    let hash = silent.iter().fold(1, |hash, silent| fennelscale_messages::mix(hash ^ part(silent)));
    let hash = alone.iter().fold(hash, |hash, (host, keys)| {
        fennelscale_messages::mix(fennelscale_messages::mix(hash ^ u64::from(host.0)) ^ keys)
    });
    members.fold(hash, |hash, m| {
        let text = format!("{}{:x}{}{}", m.host, m.incarnation, m.port, m.ready);
        let hash = fennelscale_messages::mix(hash ^ fennelscale_messages::hash(text.as_bytes()));
        m.idle_nodes.iter().fold(hash, |hash, node| {
            fennelscale_messages::mix(hash ^ fennelscale_messages::hash(node.as_bytes()))
        })
    })
}

impl Members {
    pub(crate) fn hello(&mut self, member: ProxyInfo, now: Millis) {
        self.version += 1;
        self.silent.remove(&member.host);
        self.sessions
            .insert(member.host, Session { member, heard: now, copy: Comparison::default(), alone: 0 });
    }

    /// A proxy shows that it lives. Whether others should hear of a change.
    pub(crate) fn beat(&mut self, host: Host, ready: bool, now: Millis) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        session.heard = now;
        let changed = std::mem::replace(&mut session.member.ready, ready) != ready;
        self.version += u64::from(changed);
        changed
    }

    /// A proxy spends by itself, or no longer. Whether others should hear of it.
    pub(crate) fn alone(&mut self, host: Host, alone: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        std::mem::replace(&mut session.alone, alone) != alone
    }

    /// Members that spend quotas of a key by themselves.
    pub(crate) fn alone_count(&self, key: u64) -> f64 {
        let told = self.rolls.values().flat_map(|roll| &roll.alone);
        let told = told.filter(|(host, _)| !self.sessions.contains_key(host)).copied();
        let alone = told.chain(self.own_alone()).filter(|(_, keys)| keys & key != 0);
        alone.map(|(host, _)| host).collect::<BTreeSet<Host>>().len() as f64
    }

    pub(crate) fn heard(&mut self, host: Host, now: Millis) {
        if let Some(session) = self.sessions.get_mut(&host) {
            session.heard = now;
        }
    }

    /// A beat says how a proxy's items stand to those here.
    pub(crate) fn compare(&mut self, host: Host, now: Millis, standing: Standing) -> Compared {
        let session = self.sessions.get_mut(&host);
        session.map_or_else(Compared::default, |session| session.copy.beat(now, standing))
    }

    /// The life of a proxy with a session here.
    pub(crate) fn life(&self, host: Host) -> Option<u64> {
        self.sessions.get(&host).map(|session| session.member.incarnation)
    }

    /// Where a proxy has nothing at work. Whether others should hear of a change.
    pub(crate) fn quiet(&mut self, host: Host, nodes: Vec<String>, now: Millis) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        session.heard = now;
        std::mem::replace(&mut session.member.idle_nodes, nodes.clone()) != nodes
    }

    pub(crate) fn bye(&mut self, host: Host, _now: Millis) {
        self.version += 1;
        self.sessions.remove(&host);
        self.silent.remove(&host);
    }

    pub(crate) fn closed(&mut self, host: Host, _now: Millis) -> bool {
        self.version += 1;
        self.sessions.remove(&host).is_some()
    }

    /// Sessions that were silent too long end here.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<Host> {
        let over: Vec<Host> = self
            .sessions
            .iter()
            .filter(|(_, s)| now - s.heard >= PEER_TIMEOUT)
            .map(|(host, _)| *host)
            .collect();
        let least = self.least(now);
        for host in &over {
            self.sessions.remove(host);
            self.silent.insert(*host, (now, least));
        }
        let before = (self.rolls.len(), self.silent.len());
        let gone = self.rolls.iter().filter(|(_, roll)| now - roll.heard >= SILENT_REGISTRY_RETENTION);
        let gone: Vec<Host> = gone.map(|(registry, _)| *registry).collect();
        gone.into_iter().for_each(|registry| self.outlive(registry, least, now));
        self.silent.retain(|_, (since, _)| now - *since < SILENT_PROXY_RETENTION);
        while self.silent.len() > MAX_SILENT {
            self.silent.pop_first();
        }
        if !over.is_empty() || before != (self.rolls.len(), self.silent.len()) {
            self.version += 1;
        }
        over
    }

    /// Sessions here whose proxies held other items at their last beat.
    pub(crate) fn lagging(&self) -> usize {
        self.sessions.values().filter(|session| session.copy.differs()).count()
    }

    /// Proxies with a session here.
    pub(crate) fn sessions(&self) -> Vec<Host> {
        self.sessions.keys().copied().collect()
    }

    /// Sessions here; who went silent, and who spends by itself.
    pub(crate) fn own_roll(&self) -> (Vec<ProxyInfo>, Vec<Parted>, Vec<(Host, u64)>) {
        let members = self.sessions.values().map(|session| session.member.clone());
        (members.collect(), self.own_silent(), self.own_alone())
    }

    fn own_silent(&self) -> Vec<Parted> {
        self.silent.iter().map(|(host, (_, of))| (*host, *of)).collect()
    }

    fn own_alone(&self) -> Vec<(Host, u64)> {
        let alone = self.sessions.iter().filter(|(_, session)| session.alone != 0);
        alone.map(|(host, session)| (*host, session.alone)).collect()
    }

    pub(crate) fn roll_hash(&self) -> u64 {
        let members = self.sessions.values().map(|session| &session.member);
        roll_hash(members, &self.own_silent(), &self.own_alone())
    }

    /// What is known of another registry's sessions, in one number.
    pub(crate) fn knows(&self, registry: Host) -> Option<u64> {
        self.rolls.get(&registry).map(|roll| roll.hash)
    }

    pub(crate) fn roll(
        &mut self, registry: Host, members: Vec<ProxyInfo>, mut silent: Vec<Parted>,
        mut alone: Vec<(Host, u64)>, now: Millis,
    ) {
        self.version += 1;
        silent.truncate(MAX_SILENT);
        alone.truncate(MAX_SILENT);
        for member in &members {
            self.silent.remove(&member.host);
        }
        let hash = roll_hash(members.iter(), &silent, &alone);
        self.rolls.insert(registry, Roll { members, silent, alone, hash, heard: now });
        let mut named = BTreeSet::new();
        let mut all = self.rolls.values().flat_map(|roll| &roll.members);
        self.twice = !all.all(|member| named.insert(member.host));
    }

    /// A registry has started anew: its proxies come back, or are on their own and nobody else knows of them.
    pub(crate) fn began(&mut self, registry: Host, now: Millis) {
        let least = self.least(now);
        self.outlive(registry, least, now);
    }

    /// What a registry told is over; its proxies may be on their own.
    fn outlive(&mut self, registry: Host, least: u32, now: Millis) {
        let Some(roll) = self.rolls.remove(&registry) else { return };
        self.version += 1;
        for (host, of) in roll.parted(least) {
            self.silent.entry(host).or_insert((now, of));
        }
    }

    pub(crate) fn heard_registry(&mut self, registry: Host, now: Millis) {
        if let Some(roll) = self.rolls.get_mut(&registry) {
            // Who is heard last goes before others that name the same proxy.
            if self.twice || now - roll.heard >= PEER_TIMEOUT {
                self.version += 1;
            }
            roll.heard = now;
        }
    }

    /// All members, each once: a session here goes before what others say, a registry that is heard before one that is not.
    pub fn all(&self, now: Millis) -> Vec<ProxyInfo> {
        self.each(now).into_values().map(|(_, member)| member.clone()).collect()
    }

    fn each(&self, now: Millis) -> BTreeMap<Host, (Millis, &ProxyInfo)> {
        let mut all: BTreeMap<Host, (Millis, &ProxyInfo)> = BTreeMap::new();
        for roll in self.rolls.values() {
            for member in &roll.members {
                let known = all.entry(member.host).or_insert((roll.heard, member));
                if known.0 < roll.heard {
                    *known = (roll.heard, member);
                }
            }
        }
        all.retain(|_, (heard, _)| now - *heard < SILENT_REGISTRY_RETENTION);
        for session in self.sessions.values() {
            all.insert(session.member.host, (now, &session.member));
        }
        all
    }

    /// Until when time alone changes nothing of who is a member or counts.
    fn until(&self, now: Millis) -> Millis {
        let ends = self
            .rolls
            .values()
            .flat_map(|roll| [roll.heard + PEER_TIMEOUT, roll.heard + SILENT_REGISTRY_RETENTION]);
        let ends = ends.chain(self.numbers.iter().map(|(at, _)| at + DELIVERY_TIMEOUT));
        ends.filter(|end| *end > now).fold(f64::INFINITY, f64::min)
    }

    /// How many proxies there are for shares, and how many of them may be on their own.
    pub fn counted(&self, now: Millis) -> ProxyCounts {
        if let Some((version, until, counts)) = self.counts.get()
            && version == self.version
            && now < until
        {
            return counts;
        }
        let counts = self.count(now);
        self.counts.set(Some((self.version, self.until(now), counts)));
        counts
    }

    fn count(&self, now: Millis) -> ProxyCounts {
        let members = self.each(now);
        let told = self.rolls.values().flat_map(|roll| roll.silent.iter().copied());
        let mut silent: BTreeMap<Host, u32> = BTreeMap::new();
        for (host, of) in told.chain(self.own_silent()).filter(|(host, _)| !members.contains_key(host)) {
            let known = silent.entry(host).or_insert(of);
            *known = of.min(*known);
        }
        let parts: f64 = silent.values().map(|of| 1.0 / f64::from((*of).max(1))).sum();
        let unheard = self.rolls.values().filter(|roll| now - roll.heard >= PEER_TIMEOUT);
        let unheard: usize = unheard.map(|roll| roll.members.len()).sum();
        ProxyCounts {
            all: (members.len() + silent.len()).max(1) as f64,
            silent: (silent.len() + unheard) as f64,
            parts: parts + unheard as f64 / f64::from(self.least(now)),
        }
    }

    /// Proxies are told that there are so many.
    pub(crate) fn tells(&mut self, now: Millis, count: u32) {
        if count == 0 || self.numbers.back().is_some_and(|(_, last)| *last == count) {
            return;
        }
        self.version += 1;
        self.numbers.push_back((now, count));
        while self.numbers.get(1).is_some_and(|(at, _)| now - at >= DELIVERY_TIMEOUT)
            || self.numbers.len() > MAX_COUNTS_SENT
        {
            self.numbers.pop_front();
        }
    }

    /// The lowest number of proxies that one of them may think of now.
    fn least(&self, now: Millis) -> u32 {
        let over = self.numbers.iter().skip(1).take_while(|(at, _)| now - at >= DELIVERY_TIMEOUT).count();
        let least = self.numbers.iter().skip(over).map(|(_, count)| *count).min();
        least.unwrap_or_else(|| self.each(now).len() as u32).max(1)
    }

    /// Whether there may be something to tell, with so many proxies for shares.
    pub(crate) fn may_have_news(&mut self, now: Millis, count: u32) -> bool {
        let same = |(version, of, until)| version == self.version && of == count && now < until;
        if self.looked.is_some_and(same) || now - self.told_at < UPDATE_INTERVAL {
            return false;
        }
        self.looked = Some((self.version, count, self.until(now)));
        true
    }

    pub(crate) fn is_news(&mut self, word: &RegistryToProxy, now: Millis) -> bool {
        let news = self.told.as_ref() != Some(word) && now - self.told_at >= UPDATE_INTERVAL;
        if news {
            (self.told, self.told_at) = (Some(word.clone()), now);
            if let RegistryToProxy::Proxies(_, count) = word {
                self.tells(now, *count);
            }
        }
        news
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn member(host: u32, life: u64, ready: bool) -> ProxyInfo {
        let (zone, region) = ("a".to_owned(), "r".to_owned());
        ProxyInfo {
            host: Host(host),
            incarnation: life,
            zone,
            region,
            port: 1,
            ready,
            idle_nodes: Vec::new(),
        }
    }

    #[derive(Clone, Debug)]
    enum Happens {
        Hello(u32, u64),
        Beat(u32, bool),
        Bye(u32),
        Closed(u32),
        Roll(u32, Vec<(u32, u64)>, Vec<u32>),
        Began(u32),
        Heard(u32),
        Passes(u32),
    }

    fn happens() -> impl Strategy<Value = Happens> {
        use Happens::{Beat, Began, Bye, Closed, Heard, Hello, Passes, Roll};
        prop_oneof![
            (0..6_u32, 0..3_u64).prop_map(|(host, life)| Hello(host, life)),
            (0..6_u32, any::<bool>()).prop_map(|(host, ready)| Beat(host, ready)),
            (0..6_u32).prop_map(Bye),
            (0..6_u32).prop_map(Closed),
            (
                10..13_u32,
                prop::collection::vec((0..8_u32, 0..3_u64), 0..5),
                prop::collection::vec(0..8_u32, 0..2)
            )
                .prop_map(|(r, m, s)| Roll(r, m, s)),
            (10..13_u32).prop_map(Began),
            (10..13_u32).prop_map(Heard),
            (10..13_u32).prop_map(Heard),
            (1..900_u32).prop_map(Passes),
            (900..9000_u32).prop_map(Passes),
        ]
    }

    fn apply(members: &mut Members, now: Millis, happens: Happens) {
        match happens {
            Happens::Hello(host, life) => members.hello(member(host, life, false), now),
            Happens::Beat(host, ready) => drop(members.beat(Host(host), ready, now)),
            Happens::Bye(host) => members.bye(Host(host), now),
            Happens::Closed(host) => drop(members.closed(Host(host), now)),
            Happens::Began(registry) => members.began(Host(registry), now),
            Happens::Roll(registry, of, silent) => {
                let of: BTreeMap<u32, u64> = of.into_iter().collect();
                let of = of.into_iter().map(|(host, life)| member(host, life, true)).collect();
                members.roll(
                    Host(registry),
                    of,
                    silent.into_iter().map(|host| (Host(host), 1 + host)).collect(),
                    Vec::new(),
                    now,
                );
            }
            Happens::Heard(registry) => members.heard_registry(Host(registry), now),
            Happens::Passes(_) => drop(members.expire(now)),
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, cases: 400, ..ProptestConfig::default() })]
        /// What is kept of a count is what a count would find, and nothing is told later than by looking each time.
        #[test]
        fn what_is_kept_of_members_is_what_they_are(all in prop::collection::vec(happens(), 1..120)) {
            let (mut kept, mut now) = (Members::default(), 0.0);
            let mut looks = Members::default();
            for happens in all {
                if let Happens::Passes(span) = happens {
                    now += f64::from(span);
                }
                apply(&mut kept, now, happens.clone());
                apply(&mut looks, now, happens);
                prop_assert_eq!(kept.counted(now), looks.count(now));
                let count = kept.counted(now).all as u32;
                let word = RegistryToProxy::Proxies(kept.all(now), count);
                let told = kept.may_have_news(now, count) && kept.is_news(&word, now);
                prop_assert_eq!(told, looks.is_news(&word, now));
            }
        }
    }

    /// One that was told that it is alone spends a whole part, however many have come; also where the higher number was on its way.
    #[test]
    fn a_silent_proxy_counts_with_the_part_that_it_thinks_it_has() {
        for (told_again, parts) in
            [(None, 1.0), (Some(PEER_TIMEOUT - 500.0), 1.0), (Some(-2.0 * DELIVERY_TIMEOUT), 0.5)]
        {
            let mut members = Members::default();
            members.hello(member(1, 1, true), -20_000.0);
            members.tells(-20_000.0, 1);
            if let Some(at) = told_again {
                members.tells(at, 2);
            }
            members.beat(Host(1), true, 0.0);
            assert_eq!(members.expire(PEER_TIMEOUT), [Host(1)]);
            members.hello(member(2, 1, true), PEER_TIMEOUT);
            let counted = members.counted(PEER_TIMEOUT);
            assert_eq!((counted.all, counted.silent, counted.parts), (2.0, 1.0, parts), "{told_again:?}");
        }
    }

    #[test]
    fn a_proxy_lags_from_the_second_beat_that_differs_until_one_that_does_not() {
        let (mut members, host) = (Members::default(), Host(9));
        members.hello(member(host.0, 1, true), 0.0);
        let mut now = 0.0;
        let mut beat = |differs| {
            now += 400.0;
            members.compare(host, now, if differs { Standing::Differing } else { Standing::Current }).lags
        };
        let told: Vec<_> =
            [true, false, true, true, true, true, true, false, false].into_iter().map(&mut beat).collect();
        let (lags, current) = (Some(true), Some(false));
        assert_eq!(told, [None, None, None, lags, None, None, None, current, None]);
    }
}
