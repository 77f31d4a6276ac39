//! Proxy sessions here and at other registries, and the membership that follows from them.
//!
//! A session that ended with a message or a closed connection is over. A session that ended in silence may
//! belong to a proxy that is partitioned and still serves, so the proxy counts for quota shares for
//! [`SILENT_PROXY_RETENTION`]. The sessions of a registry that is itself silent remain members for
//! [`SILENT_REGISTRY_RETENTION`]: a partition of the core does not empty the directory.
//!
//! An isolated proxy spends one share of the number of proxies that it was last told, however many have
//! joined since. That number is kept with the proxy and sent to the other registries, so that the holder of a
//! quota count reserves that much.

use crate::copies::{Comparison, ComparisonResult, CopyStatus};
use crate::{Millis, PEER_TIMEOUT};
use fennelscale_messages::Host;
use fennelscale_messages::session::{ProxyInfo, RegistryToProxy};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long the sessions of a silent registry remain members.
pub const SILENT_REGISTRY_RETENTION: Millis = 6000.0;
/// How long a proxy that went silent counts for quota shares.
pub const SILENT_PROXY_RETENTION: Millis = 20_000.0;
/// How long a number of proxies that was sent may be in transit and thus not in effect.
const MAX_DELIVERY_TIME: Millis = 3000.0;
/// Changes of the list of proxies are batched: minimum interval between two updates to proxies.
const UPDATE_INTERVAL: Millis = 100.0;
/// Maximum of remembered numbers of proxies.
const MAX_SENT_COUNTS: usize = 64;
/// Maximum of remembered sessions that went silent.
const MAX_ISOLATED: usize = 4096;

#[derive(Clone, Debug)]
struct Session {
    proxy: ProxyInfo,
    last_heard: Millis,
    copy: Comparison,
    /// Quota shards that the proxy spends without grants since their holders cannot reach it, one bit each.
    self_granted: u64,
}

/// A proxy and the number of proxies that it was last told.
type IsolatedProxy = (Host, u32);

/// Numbers of proxies, for dividing quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyCounts {
    /// Proxies that count for quota shares.
    pub total: f64,
    /// Those of them that may be isolated.
    pub isolated: f64,
    /// The fraction of a quota that the isolated ones spend.
    pub isolated_share: f64,
}

/// Version of the directory that was counted, until when the result is valid, and the result.
type CachedCounts = (u64, Millis, ProxyCounts);

#[derive(Clone, Debug, Default)]
struct SessionList {
    proxies: Vec<ProxyInfo>,
    /// Proxies whose sessions there went silent.
    isolated: Vec<IsolatedProxy>,
    /// Proxies that spend quota without grants despite a session there, with the shards.
    self_granted: Vec<(Host, u64)>,
    hash: u64,
    last_heard: Millis,
}

impl SessionList {
    /// All proxies of the list with the number of proxies that each was told; `count` for those with a
    /// session.
    fn proxies_with_counts(&self, count: u32) -> impl Iterator<Item = IsolatedProxy> {
        self.proxies.iter().map(move |proxy| (proxy.host, count)).chain(self.isolated.iter().copied())
    }
}

/// The sessions of all registries, as far as known.
#[derive(Clone, Debug, Default)]
pub struct ProxyDirectory {
    sessions: BTreeMap<Host, Session>,
    session_lists: BTreeMap<Host, SessionList>,
    /// Proxies that went silent here: since when, and the number of proxies that each was last told.
    isolated: BTreeMap<Host, (Millis, u32)>,
    /// The numbers of proxies that were sent to proxies, and when: the last one and those that may still be
    /// in effect.
    sent_counts: VecDeque<(Millis, u32)>,
    /// A proxy may be listed by two registries.
    has_duplicates: bool,
    /// Incremented with every change that may affect the membership. The proxies are only iterated after
    /// such a change or when time has made a difference: doing so for every quota request would cost the
    /// square of the number of proxies.
    version: u64,
    cached_counts: Cell<Option<CachedCounts>>,
    last_sent: Option<RegistryToProxy>,
    last_sent_at: Millis,
    /// The last check for changes to send: version, number of proxies, and until when it is valid.
    last_check: Option<(u64, u32, Millis)>,
}

fn hash_session_list<'a>(
    proxies: impl Iterator<Item = &'a ProxyInfo>, isolated: &[IsolatedProxy], self_granted: &[(Host, u64)],
) -> u64 {
    let bits = |(host, count): &IsolatedProxy| u64::from(host.0) ^ u64::from(*count) << 32;
    let hash = isolated.iter().fold(1, |hash, proxy| fennelscale_messages::mix(hash ^ bits(proxy)));
    let hash = self_granted.iter().fold(hash, |hash, (host, shards)| {
        fennelscale_messages::mix(fennelscale_messages::mix(hash ^ u64::from(host.0)) ^ shards)
    });
    proxies.fold(hash, |hash, proxy| {
        let text = format!("{}{:x}{}{}", proxy.host, proxy.incarnation, proxy.port, proxy.ready);
        let hash = fennelscale_messages::mix(hash ^ fennelscale_messages::hash(text.as_bytes()));
        proxy.idle_nodes.iter().fold(hash, |hash, node| {
            fennelscale_messages::mix(hash ^ fennelscale_messages::hash(node.as_bytes()))
        })
    })
}

impl ProxyDirectory {
    pub(crate) fn start_session(&mut self, proxy: ProxyInfo, now: Millis) {
        self.version += 1;
        self.isolated.remove(&proxy.host);
        self.sessions.insert(
            proxy.host,
            Session { proxy, last_heard: now, copy: Comparison::default(), self_granted: 0 },
        );
    }

    /// Records a proxy's heartbeat. Returns whether other registries should be told of a change.
    pub(crate) fn heartbeat(&mut self, host: Host, ready: bool, now: Millis) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        session.last_heard = now;
        let changed = std::mem::replace(&mut session.proxy.ready, ready) != ready;
        self.version += u64::from(changed);
        changed
    }

    /// Sets the shards that a proxy spends without grants. Returns whether other registries should be told.
    pub(crate) fn set_self_granted(&mut self, host: Host, self_granted: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        std::mem::replace(&mut session.self_granted, self_granted) != self_granted
    }

    /// The number of proxies that spend quotas of a shard without grants.
    pub(crate) fn self_granted_count(&self, shard: u64) -> f64 {
        let remote = self.session_lists.values().flat_map(|list| &list.self_granted);
        let remote = remote.filter(|(host, _)| !self.sessions.contains_key(host)).copied();
        let self_granted = remote.chain(self.local_self_granted()).filter(|(_, shards)| shards & shard != 0);
        self_granted.map(|(host, _)| host).collect::<BTreeSet<Host>>().len() as f64
    }

    pub(crate) fn session_heard(&mut self, host: Host, now: Millis) {
        if let Some(session) = self.sessions.get_mut(&host) {
            session.last_heard = now;
        }
    }

    /// Records how the proxy's copy of the configuration compares with the one here, as of a heartbeat.
    pub(crate) fn compare_copy(&mut self, host: Host, now: Millis, status: CopyStatus) -> ComparisonResult {
        let session = self.sessions.get_mut(&host);
        session.map_or_else(ComparisonResult::default, |session| session.copy.heartbeat(now, status))
    }

    /// The incarnation of a proxy with a session here.
    pub(crate) fn incarnation(&self, host: Host) -> Option<u64> {
        self.sessions.get(&host).map(|session| session.proxy.incarnation)
    }

    /// Sets the nodes at which a proxy has no requests in progress. Returns whether other registries should
    /// be told.
    pub(crate) fn set_idle_nodes(&mut self, host: Host, nodes: Vec<String>, now: Millis) -> bool {
        let Some(session) = self.sessions.get_mut(&host) else { return false };
        session.last_heard = now;
        std::mem::replace(&mut session.proxy.idle_nodes, nodes.clone()) != nodes
    }

    pub(crate) fn leave(&mut self, host: Host, _now: Millis) {
        self.version += 1;
        self.sessions.remove(&host);
        self.isolated.remove(&host);
    }

    pub(crate) fn disconnect(&mut self, host: Host, _now: Millis) -> bool {
        self.version += 1;
        self.sessions.remove(&host).is_some()
    }

    /// Ends sessions that were silent too long and returns their proxies.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<Host> {
        let expired: Vec<Host> = self
            .sessions
            .iter()
            .filter(|(_, session)| now - session.last_heard >= PEER_TIMEOUT)
            .map(|(host, _)| *host)
            .collect();
        let count = self.lowest_sent_count(now);
        for host in &expired {
            self.sessions.remove(host);
            self.isolated.insert(*host, (now, count));
        }
        let before = (self.session_lists.len(), self.isolated.len());
        let silent =
            self.session_lists.iter().filter(|(_, list)| now - list.last_heard >= SILENT_REGISTRY_RETENTION);
        let silent: Vec<Host> = silent.map(|(registry, _)| *registry).collect();
        silent.into_iter().for_each(|registry| self.isolate_sessions(registry, count, now));
        self.isolated.retain(|_, (since, _)| now - *since < SILENT_PROXY_RETENTION);
        while self.isolated.len() > MAX_ISOLATED {
            self.isolated.pop_first();
        }
        if !expired.is_empty() || before != (self.session_lists.len(), self.isolated.len()) {
            self.version += 1;
        }
        expired
    }

    /// The number of sessions here whose proxies had a differing configuration at their last heartbeat.
    pub(crate) fn lagging(&self) -> usize {
        self.sessions.values().filter(|session| session.copy.differs()).count()
    }

    /// The proxies with a session here.
    pub(crate) fn sessions(&self) -> Vec<Host> {
        self.sessions.keys().copied().collect()
    }

    /// The session list of this registry: proxies with a session, isolated proxies, and proxies that spend
    /// quota without grants.
    pub(crate) fn local_sessions(&self) -> (Vec<ProxyInfo>, Vec<IsolatedProxy>, Vec<(Host, u64)>) {
        let proxies = self.sessions.values().map(|session| session.proxy.clone());
        (proxies.collect(), self.local_isolated(), self.local_self_granted())
    }

    fn local_isolated(&self) -> Vec<IsolatedProxy> {
        self.isolated.iter().map(|(host, (_, count))| (*host, *count)).collect()
    }

    fn local_self_granted(&self) -> Vec<(Host, u64)> {
        let self_granted = self.sessions.iter().filter(|(_, session)| session.self_granted != 0);
        self_granted.map(|(host, session)| (*host, session.self_granted)).collect()
    }

    pub(crate) fn session_list_hash(&self) -> u64 {
        let proxies = self.sessions.values().map(|session| &session.proxy);
        hash_session_list(proxies, &self.local_isolated(), &self.local_self_granted())
    }

    /// The hash of another registry's session list as known here.
    pub(crate) fn known_hash(&self, registry: Host) -> Option<u64> {
        self.session_lists.get(&registry).map(|list| list.hash)
    }

    pub(crate) fn set_session_list(
        &mut self, registry: Host, proxies: Vec<ProxyInfo>, mut isolated: Vec<IsolatedProxy>,
        mut self_granted: Vec<(Host, u64)>, now: Millis,
    ) {
        self.version += 1;
        isolated.truncate(MAX_ISOLATED);
        self_granted.truncate(MAX_ISOLATED);
        for proxy in &proxies {
            self.isolated.remove(&proxy.host);
        }
        let hash = hash_session_list(proxies.iter(), &isolated, &self_granted);
        self.session_lists
            .insert(registry, SessionList { proxies, isolated, self_granted, hash, last_heard: now });
        let mut listed = BTreeSet::new();
        let mut all = self.session_lists.values().flat_map(|list| &list.proxies);
        self.has_duplicates = !all.all(|proxy| listed.insert(proxy.host));
    }

    /// A registry has restarted: its proxies reconnect, or are isolated and unknown to all others.
    pub(crate) fn registry_restarted(&mut self, registry: Host, now: Millis) {
        let count = self.lowest_sent_count(now);
        self.isolate_sessions(registry, count, now);
    }

    /// Drops a registry's session list; its proxies may be isolated.
    fn isolate_sessions(&mut self, registry: Host, count: u32, now: Millis) {
        let Some(list) = self.session_lists.remove(&registry) else { return };
        self.version += 1;
        for (host, told) in list.proxies_with_counts(count) {
            self.isolated.entry(host).or_insert((now, told));
        }
    }

    pub(crate) fn registry_heard(&mut self, registry: Host, now: Millis) {
        if let Some(list) = self.session_lists.get_mut(&registry) {
            // Of several registries that list a proxy, the one heard last takes precedence.
            if self.has_duplicates || now - list.last_heard >= PEER_TIMEOUT {
                self.version += 1;
            }
            list.last_heard = now;
        }
    }

    /// All proxies, each once: a session here takes precedence over the lists of other registries, and a list
    /// heard more recently over an older one.
    pub fn all(&self, now: Millis) -> Vec<ProxyInfo> {
        self.by_host(now).into_values().map(|(_, proxy)| proxy.clone()).collect()
    }

    fn by_host(&self, now: Millis) -> BTreeMap<Host, (Millis, &ProxyInfo)> {
        let mut all: BTreeMap<Host, (Millis, &ProxyInfo)> = BTreeMap::new();
        for list in self.session_lists.values() {
            for proxy in &list.proxies {
                let known = all.entry(proxy.host).or_insert((list.last_heard, proxy));
                if known.0 < list.last_heard {
                    *known = (list.last_heard, proxy);
                }
            }
        }
        all.retain(|_, (heard, _)| now - *heard < SILENT_REGISTRY_RETENTION);
        for session in self.sessions.values() {
            all.insert(session.proxy.host, (now, &session.proxy));
        }
        all
    }

    /// Until when the passage of time alone changes neither the membership nor the counts.
    fn unchanged_until(&self, now: Millis) -> Millis {
        let ends = self
            .session_lists
            .values()
            .flat_map(|list| [list.last_heard + PEER_TIMEOUT, list.last_heard + SILENT_REGISTRY_RETENTION]);
        let ends = ends.chain(self.sent_counts.iter().map(|(at, _)| at + MAX_DELIVERY_TIME));
        ends.filter(|end| *end > now).fold(f64::INFINITY, f64::min)
    }

    /// The numbers of proxies, cached until something changes.
    pub fn counts(&self, now: Millis) -> ProxyCounts {
        if let Some((version, until, counts)) = self.cached_counts.get()
            && version == self.version
            && now < until
        {
            return counts;
        }
        let counts = self.count(now);
        self.cached_counts.set(Some((self.version, self.unchanged_until(now), counts)));
        counts
    }

    fn count(&self, now: Millis) -> ProxyCounts {
        let proxies = self.by_host(now);
        let remote = self.session_lists.values().flat_map(|list| list.isolated.iter().copied());
        let mut isolated: BTreeMap<Host, u32> = BTreeMap::new();
        for (host, told) in
            remote.chain(self.local_isolated()).filter(|(host, _)| !proxies.contains_key(host))
        {
            let known = isolated.entry(host).or_insert(told);
            *known = told.min(*known);
        }
        let share: f64 = isolated.values().map(|told| 1.0 / f64::from((*told).max(1))).sum();
        let unreachable = self.session_lists.values().filter(|list| now - list.last_heard >= PEER_TIMEOUT);
        let unreachable: usize = unreachable.map(|list| list.proxies.len()).sum();
        ProxyCounts {
            total: (proxies.len() + isolated.len()).max(1) as f64,
            isolated: (isolated.len() + unreachable) as f64,
            isolated_share: share + unreachable as f64 / f64::from(self.lowest_sent_count(now)),
        }
    }

    /// Records that proxies are sent this number of proxies.
    pub(crate) fn record_sent_count(&mut self, now: Millis, count: u32) {
        if count == 0 || self.sent_counts.back().is_some_and(|(_, last)| *last == count) {
            return;
        }
        self.version += 1;
        self.sent_counts.push_back((now, count));
        while self.sent_counts.get(1).is_some_and(|(at, _)| now - at >= MAX_DELIVERY_TIME)
            || self.sent_counts.len() > MAX_SENT_COUNTS
        {
            self.sent_counts.pop_front();
        }
    }

    /// The lowest number of proxies that any of them may use now.
    fn lowest_sent_count(&self, now: Millis) -> u32 {
        let superseded =
            self.sent_counts.iter().skip(1).take_while(|(at, _)| now - at >= MAX_DELIVERY_TIME).count();
        let lowest = self.sent_counts.iter().skip(superseded).map(|(_, count)| *count).min();
        lowest.unwrap_or_else(|| self.by_host(now).len() as u32).max(1)
    }

    /// Whether the list of proxies or the number of proxies may have changed since it was last sent. False
    /// until the update interval has passed.
    pub(crate) fn may_have_changed(&mut self, now: Millis, count: u32) -> bool {
        let current = |(version, counted, until)| version == self.version && counted == count && now < until;
        if self.last_check.is_some_and(current) || now - self.last_sent_at < UPDATE_INTERVAL {
            return false;
        }
        self.last_check = Some((self.version, count, self.unchanged_until(now)));
        true
    }

    pub(crate) fn take_change(&mut self, message: &RegistryToProxy, now: Millis) -> bool {
        let changed = self.last_sent.as_ref() != Some(message) && now - self.last_sent_at >= UPDATE_INTERVAL;
        if changed {
            (self.last_sent, self.last_sent_at) = (Some(message.clone()), now);
            if let RegistryToProxy::Proxies(_, count) = message {
                self.record_sent_count(now, *count);
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn proxy(host: u32, incarnation: u64, ready: bool) -> ProxyInfo {
        let (zone, region) = ("a".to_owned(), "r".to_owned());
        ProxyInfo { host: Host(host), incarnation, zone, region, port: 1, ready, idle_nodes: Vec::new() }
    }

    #[derive(Clone, Debug)]
    enum Input {
        Start(u32, u64),
        Heartbeat(u32, bool),
        Leave(u32),
        Disconnect(u32),
        SessionList(u32, Vec<(u32, u64)>, Vec<u32>),
        RegistryRestarted(u32),
        RegistryHeard(u32),
        TimePasses(u32),
    }

    fn input() -> impl Strategy<Value = Input> {
        use Input::{
            Disconnect, Heartbeat, Leave, RegistryHeard, RegistryRestarted, SessionList, Start, TimePasses,
        };
        prop_oneof![
            (0..6_u32, 0..3_u64).prop_map(|(host, incarnation)| Start(host, incarnation)),
            (0..6_u32, any::<bool>()).prop_map(|(host, ready)| Heartbeat(host, ready)),
            (0..6_u32).prop_map(Leave),
            (0..6_u32).prop_map(Disconnect),
            (
                10..13_u32,
                prop::collection::vec((0..8_u32, 0..3_u64), 0..5),
                prop::collection::vec(0..8_u32, 0..2)
            )
                .prop_map(|(registry, sessions, isolated)| SessionList(registry, sessions, isolated)),
            (10..13_u32).prop_map(RegistryRestarted),
            (10..13_u32).prop_map(RegistryHeard),
            (10..13_u32).prop_map(RegistryHeard),
            (1..900_u32).prop_map(TimePasses),
            (900..9000_u32).prop_map(TimePasses),
        ]
    }

    fn apply(directory: &mut ProxyDirectory, now: Millis, input: Input) {
        match input {
            Input::Start(host, incarnation) => directory.start_session(proxy(host, incarnation, false), now),
            Input::Heartbeat(host, ready) => drop(directory.heartbeat(Host(host), ready, now)),
            Input::Leave(host) => directory.leave(Host(host), now),
            Input::Disconnect(host) => drop(directory.disconnect(Host(host), now)),
            Input::RegistryRestarted(registry) => directory.registry_restarted(Host(registry), now),
            Input::SessionList(registry, sessions, isolated) => {
                let sessions: BTreeMap<u32, u64> = sessions.into_iter().collect();
                let sessions =
                    sessions.into_iter().map(|(host, incarnation)| proxy(host, incarnation, true)).collect();
                directory.set_session_list(
                    Host(registry),
                    sessions,
                    isolated.into_iter().map(|host| (Host(host), 1 + host)).collect(),
                    Vec::new(),
                    now,
                );
            }
            Input::RegistryHeard(registry) => directory.registry_heard(Host(registry), now),
            Input::TimePasses(_) => drop(directory.expire(now)),
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, cases: 400, ..ProptestConfig::default() })]
        /// Cached counts equal freshly computed ones, and no change is sent later than without the cached
        /// check.
        #[test]
        fn cached_counts_equal_computed_counts(inputs in prop::collection::vec(input(), 1..120)) {
            let (mut cached, mut now) = (ProxyDirectory::default(), 0.0);
            let mut uncached = ProxyDirectory::default();
            for input in inputs {
                if let Input::TimePasses(span) = input {
                    now += f64::from(span);
                }
                apply(&mut cached, now, input.clone());
                apply(&mut uncached, now, input);
                prop_assert_eq!(cached.counts(now), uncached.count(now));
                let count = cached.counts(now).total as u32;
                let message = RegistryToProxy::Proxies(cached.all(now), count);
                let sent = cached.may_have_changed(now, count) && cached.take_change(&message, now);
                prop_assert_eq!(sent, uncached.take_change(&message, now));
            }
        }
    }

    /// A proxy that was told that it is the only one spends the whole quota, however many have joined since;
    /// also while the higher number was in transit.
    #[test]
    fn an_isolated_proxy_counts_with_the_share_of_the_number_it_was_told() {
        for (second_count_at, share) in
            [(None, 1.0), (Some(PEER_TIMEOUT - 500.0), 1.0), (Some(-2.0 * MAX_DELIVERY_TIME), 0.5)]
        {
            let mut directory = ProxyDirectory::default();
            directory.start_session(proxy(1, 1, true), -20_000.0);
            directory.record_sent_count(-20_000.0, 1);
            if let Some(at) = second_count_at {
                directory.record_sent_count(at, 2);
            }
            directory.heartbeat(Host(1), true, 0.0);
            assert_eq!(directory.expire(PEER_TIMEOUT), [Host(1)]);
            directory.start_session(proxy(2, 1, true), PEER_TIMEOUT);
            let counts = directory.counts(PEER_TIMEOUT);
            assert_eq!(
                (counts.total, counts.isolated, counts.isolated_share),
                (2.0, 1.0, share),
                "{second_count_at:?}"
            );
        }
    }

    #[test]
    fn a_proxy_lags_from_the_second_differing_heartbeat_until_a_matching_one() {
        let (mut directory, host) = (ProxyDirectory::default(), Host(9));
        directory.start_session(proxy(host.0, 1, true), 0.0);
        let mut now = 0.0;
        let mut heartbeat = |differs| {
            now += 400.0;
            directory
                .compare_copy(host, now, if differs { CopyStatus::Differing } else { CopyStatus::Current })
                .lag_change
        };
        let changes: Vec<_> = [true, false, true, true, true, true, true, false, false]
            .into_iter()
            .map(&mut heartbeat)
            .collect();
        let (lags, current) = (Some(true), Some(false));
        assert_eq!(changes, [None, None, None, lags, None, None, None, current, None]);
    }
}
