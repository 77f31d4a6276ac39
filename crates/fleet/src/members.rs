//! Who is there: failure detection with suspicion, by the SWIM of `foca`, and the rule for a name claimed twice.
//!
//! The caller owes: every datagram handed out is tried once and may be lost; [`Members::wake`] is called at
//! [`Members::next_wake`] or later, never never.

use crate::identity::Identity;
use crate::rules::{MS, Micros, SECOND, Watch};
use crate::wire;
use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec,
    Timer,
};
use rand::SeedableRng;
use rand::rngs::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Bytes of a datagram of `foca`; the envelope around it takes some 150 more, so that one frame of Ethernet holds both.
const MOST_SWIM: usize = 1200;
/// Bytes of a datagram with its envelope.
pub const MOST_DATAGRAM: usize = 1400;
/// How often seeds that are not known to be there are asked.
const ASK_SEEDS: Micros = 2 * SECOND;

/// One datagram between members.
#[derive(Serialize, Deserialize)]
struct Datagram {
    cluster: u64,
    from: Identity,
    body: Body,
}

#[derive(Serialize, Deserialize)]
enum Body {
    Swim(Vec<u8>),
    /// The one it goes to has lost its name to this run.
    Usurped(Identity),
}

/// What became known of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is there.
    Here(Identity),
    /// A member is gone, as the fleet sees it.
    Gone(Identity),
    /// Another run has this one's name, by the rule of [`Identity`]. This one takes part in nothing any more.
    Usurped(Identity),
    /// A run that lost its name still sends.
    NameClaimed(Identity),
}

/// The members that one of them knows.
pub struct Members {
    me: Identity,
    cluster: u64,
    seeds: Vec<Identity>,
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    accumulated: AccumulatingRuntime<Identity>,
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    timer_count: u64,
    ask_seeds: Micros,
    asked_seeds: usize,
    usurped: Option<Identity>,
    changes: Vec<Change>,
    out: Vec<(Identity, Vec<u8>)>,
    known: BTreeMap<String, Identity>,
    /// Datagrams that could not be used.
    pub dropped: u64,
}

fn duration(time: Micros) -> Duration {
    Duration::from_micros(time)
}

fn config(watch: Watch) -> Config {
    // What the constants below need holds by their being written here.
    let few = NonZeroUsize::MIN.saturating_add(2);
    let one = NonZeroUsize::MIN;
    Config {
        probe_period: duration(watch.period),
        probe_rtt: duration(watch.period / 3),
        num_indirect_probes: few,
        max_transmissions: NonZeroU8::MIN.saturating_add(11),
        suspect_to_down_after: duration(watch.suspicion),
        remove_down_after: Some(Duration::from_secs(3600)),
        max_packet_size: one.saturating_add(MOST_SWIM - 1),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: Duration::from_secs(20), num_members: one }),
        // So that two halves of a split find each other again.
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: duration(2 * watch.period),
            num_members: one.saturating_add(1),
        }),
        periodic_gossip: Some(PeriodicParams { frequency: duration(watch.period / 2), num_members: few }),
    }
}

impl Members {
    /// A member that knows its seeds and nobody else.
    pub fn new(
        me: Identity, cluster: u64, seeds: Vec<Identity>, watch: Watch, seed: u64, now: Micros,
    ) -> Self {
        let foca = Foca::new(me.clone(), config(watch), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        Self {
            seeds: seeds.into_iter().filter(|seed| seed.name != me.name).collect(),
            me,
            cluster,
            foca,
            accumulated: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_count: 0,
            ask_seeds: now,
            asked_seeds: 0,
            usurped: None,
            changes: Vec::new(),
            out: Vec::new(),
            known: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// All that are there, this one too, by name.
    pub fn here(&self) -> impl Iterator<Item = &Identity> {
        self.known.values().chain(std::iter::once(&self.me))
    }

    /// Whether a member of this name is there.
    pub fn is_here(&self, name: &str) -> bool {
        name == self.me.name || self.known.contains_key(name)
    }

    /// Whom this one lost its name to.
    pub fn usurped_by(&self) -> Option<&Identity> {
        self.usurped.as_ref()
    }

    /// When to call [`Members::wake`].
    pub fn next_wake(&self) -> Micros {
        let timer = self.timers.keys().next().map_or(Micros::MAX, |(at, _)| *at);
        if self.usurped.is_some() { Micros::MAX } else { timer.min(self.ask_seeds) }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros) {
        if self.usurped.is_some() {
            return;
        }
        // Only what was due before: a timer that asks for another at once must not keep this loop.
        let due: Vec<_> = self.timers.range(..=(now, u64::MAX)).map(|(key, _)| *key).collect();
        for key in due {
            if let Some(timer) = self.timers.remove(&key) {
                // Errors here are of timers that came too late to matter.
                let _ = self.foca.handle_timer(timer, &mut self.accumulated);
                self.settle(now);
            }
        }
        if self.ask_seeds <= now {
            self.ask_seeds = now + ASK_SEEDS;
            // All of them while nobody is known; one in turn where others are: fleets that began apart, each with some of the
            // seeds, would never hear of one another.
            let missing: Vec<_> =
                self.seeds.iter().filter(|seed| !self.known.contains_key(&seed.name)).cloned().collect();
            self.asked_seeds += 1;
            let one = self.asked_seeds % missing.len().max(1);
            let alone = self.foca.num_members() == 0;
            for (_, seed) in missing.into_iter().enumerate().filter(|(n, _)| alone || *n == one) {
                let _ = self.foca.announce(seed, &mut self.accumulated);
            }
            self.settle(now);
        }
    }

    /// A datagram that came in.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        if self.usurped.is_some() {
            return;
        }
        let Some(Datagram { from, body, .. }) = Some(bytes)
            .filter(|bytes| bytes.len() <= MOST_DATAGRAM)
            .and_then(wire::open)
            .filter(|datagram: &Datagram| datagram.cluster == self.cluster)
        else {
            self.dropped += 1;
            return;
        };
        match body {
            Body::Usurped(by) => {
                if by.usurps(&self.me) {
                    self.lose_name(by);
                }
            }
            Body::Swim(bytes) => {
                if from.name == self.me.name {
                    if from.usurps(&self.me) {
                        self.lose_name(from);
                    } else if !from.is_run_of(&self.me) {
                        self.refuse_name(from, self.me.clone());
                    }
                    return;
                }
                if let Some(known) = self.known.get(&from.name)
                    && known.usurps(&from)
                {
                    let known = known.clone();
                    return self.refuse_name(from, known);
                }
                if self.foca.handle_data(&bytes, &mut self.accumulated).is_err() {
                    self.dropped += 1;
                }
                self.settle(now);
            }
        }
    }

    /// Says to the fleet that this member goes.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.accumulated);
        self.settle(now);
    }

    /// Datagrams to send, each with whom it goes to.
    pub fn take_datagrams(&mut self) -> Vec<(Identity, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// What became known since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn lose_name(&mut self, by: Identity) {
        self.timers.clear();
        self.changes.push(Change::Usurped(by.clone()));
        self.usurped = Some(by);
    }

    fn refuse_name(&mut self, from: Identity, by: Identity) {
        self.send(from.clone(), Body::Usurped(by));
        self.changes.push(Change::NameClaimed(from));
    }

    fn send(&mut self, to: Identity, body: Body) {
        let datagram = Datagram { cluster: self.cluster, from: self.me.clone(), body };
        if let Some(bytes) = wire::seal(&datagram) {
            self.out.push((to, bytes));
        }
    }

    /// Takes over what `foca` wants done.
    fn settle(&mut self, now: Micros) {
        while let Some((after, timer)) = self.accumulated.to_schedule() {
            let after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX).max(MS);
            self.timer_count += 1;
            self.timers.insert((now.saturating_add(after), self.timer_count), timer);
        }
        while let Some((to, bytes)) = self.accumulated.to_send() {
            self.send(to, Body::Swim(bytes.to_vec()));
        }
        while let Some(notification) = self.accumulated.to_notify() {
            self.notified(notification);
        }
    }

    fn notified(&mut self, notification: OwnedNotification<Identity>) {
        match notification {
            OwnedNotification::MemberUp(member) => {
                self.known.insert(member.name.clone(), member.clone());
                self.changes.push(Change::Here(member));
            }
            OwnedNotification::MemberDown(member) => {
                self.known.remove(&member.name);
                self.changes.push(Change::Gone(member));
            }
            OwnedNotification::Rename(old, new) => {
                if self.known.contains_key(&old.name) {
                    self.known.insert(new.name.clone(), new.clone());
                    if !old.is_run_of(&new) {
                        self.changes.push(Change::Gone(old));
                        self.changes.push(Change::Here(new));
                    }
                }
            }
            OwnedNotification::Rejoin(me) => self.me = me,
            OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
        }
    }
}
