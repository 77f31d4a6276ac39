//! Which backend: what is known of each, how much it bears, who is chosen.

use super::*;

/// Weight of the newest answer in the share of late ones, and of the newest first total in a plan's odds.
pub(super) const NEWEST: f64 = 0.1;
/// Weight of the newest latency in the usual latency of its class.
pub(super) const USUAL_WEIGHT: f64 = 0.02;
/// A failure is a late answer if it took this many times the usual latency.
pub(super) const LATE_LATENCIES: f64 = 4.0;
/// What all gateways together keep out at one backend at first; it then follows the latencies seen.
pub(super) const ROOM_FIRST: f64 = 3.5;
/// Answers should come within this share of the aim; the rest is for the way, for holding, for bad luck.
pub(super) const ROOM_SHARE: f64 = 0.6;
/// The share of answers that may come later than that: fewer and room grows, more and it shrinks.
pub(super) const ROOM_LATE: f64 = 0.1;
/// By how much one answer moves room: a late one by nine tenths of this, one in time by a tenth.
pub(super) const ROOM_STEP: f64 = 0.12;
/// The least room at one backend for one gateway: the sum over all backends still binds.
pub(super) const ROOM_LEAST: f64 = 0.2;
/// Late answers beyond `ROOM_LATE` turn away this many times their share of the fresh requests, never all;
/// those let in without a total as if they were worth `BLIND_RANK` times less, while others have one.
pub(super) const TAKE_SLOPE: f64 = 2.0;
pub(super) const TAKE_LEAST: f64 = 0.05;
pub(super) const BLIND_RANK: f64 = 40.0;
/// A backend that failed is tried again after this share of the cold time for each failure in a row ...
pub(super) const EJECT_SHARE: f64 = 0.02;
/// ... and the log tells of it at this many.
pub(super) const EJECT_TOLD: u32 = 2;
/// So many connections in a row may break under a request before that says something of the backend.
pub(super) const BREAKS_FREE: u32 = 2;
/// A backend in another zone looks this much slower for each point of price: prices are small, so is this.
pub(super) const ZONE_BIAS: f64 = 5.0;
/// Guards connection tables: one of many gateways has so many backends, others are `STRANGE` times further.
pub(super) const OWN_BACKENDS: f64 = 5.0;
pub(super) const STRANGE: f64 = 100.0;
/// A cold backend gets this part of its capacity's share of an even part of all sends. Warm ones are not sent
/// more than they can do, so all gateways together stay under the multiple that fells it.
pub(super) const COLD_MULTIPLE: f64 = 0.8;

#[derive(Clone, Debug, Default)]
pub(super) struct Backend {
    pub(super) zone: Name,
    pub(super) cell: u64,
    pub(super) ready: bool,
    pub(super) gone: bool,
    /// Its address has answered for another backend: it never comes back, whatever the list says.
    pub(super) departed: bool,
    pub(super) started: Option<Millis>,
    pub(super) out: u32,
    /// How many this gateway keeps out here at most.
    pub(super) room: f64,
    pub(super) failures: u32,
    pub(super) told: bool,
    /// An answer has moved its room.
    pub(super) heard: bool,
    pub(super) eject_until: Millis,
}

impl Backend {
    /// Whether it may be sent anything new.
    pub(super) fn usable(&self) -> bool {
        self.ready && !self.departed
    }

    /// Whether no answer has told anything of it.
    pub(super) fn fresh(&self) -> bool {
        !self.heard
    }

    /// Bounds what is out so that most answers keep to their aim: room follows the share of late answers.
    /// Guards against overload of any cause; it needs no figure of the backend's size.
    pub(super) fn note_latency(&mut self, late: bool, least: f64) {
        self.heard = true;
        let used = f64::from(self.out) + 1.0 >= self.room.floor();
        if late || used {
            let step = ROOM_STEP * (ROOM_LATE - f64::from(u8::from(late)));
            self.room = (self.room * (1.0 + step)).max(ROOM_LEAST.max(least));
        }
    }

    /// The share of its capacity that a backend surely has by now: it rises at least evenly.
    pub(super) fn warmth(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = ((now - started) / settings.warm_up_time.max(1.0)).clamp(0.0, 1.0);
        settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) * age
    }

    /// Guards against dead and stalled backends, which show in outcomes long before the list does: nothing
    /// is sent for as long again as the failure took, where calling off stops no work what was given
    /// up still has to be worked through, and longer with each failure in a row. A connection that breaks
    /// speaks of itself: kept ones go stale, the way resets them. Who died refuses the next one, which costs
    /// no request; so this also covers middleboxes and restarts. It could hurt where a backend takes each
    /// request and breaks: that spoils `BREAKS_FREE` more.
    pub(super) fn failed(&mut self, now: Millis, end: &AttemptEnd, settings: &Settings) -> bool {
        self.failures += 1;
        let broken = end.outcome == Outcome::ConnectionLost;
        let counts = self.failures.saturating_sub(if broken { BREAKS_FREE } else { 0 });
        if counts > 0 {
            let share = EJECT_SHARE * f64::from(counts);
            self.eject_until = now + end.latency.max(settings.warm_up_time * share);
        }
        let told = counts >= EJECT_TOLD;
        told && !std::mem::replace(&mut self.told, told)
    }
}

impl Gateway {
    /// Whether each gateway sees too little of a backend: choice goes by chance and by all answers together.
    pub(super) fn many(&self) -> bool {
        ROOM_FIRST < ROOM_LEAST * f64::from(self.settings.gateways)
    }

    /// Guards a large fleet against overload: the more answers are late, the fewer fresh requests are taken.
    pub(super) fn take(&self) -> f64 {
        (1.0 - TAKE_SLOPE * (self.late - ROOM_LATE)).clamp(TAKE_LEAST, 1.0)
    }

    pub(super) fn taken(&mut self, class: usize, blind: bool) -> bool {
        self.late *= 1.0 - NEWEST * NEWEST;
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|c| c.value).sum::<f64>() / classes.len() as f64;
        let rank = mean / classes[class].value.max(1e-9) * if blind { BLIND_RANK } else { 1.0 };
        let share = self.take().powf(rank);
        !self.many() || self.chance() < share
    }

    pub(super) fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        self.take_list(list, full);
        self.drain_queue(out);
    }

    /// Takes list and terms whole before anything is chosen. Guards cold backends: by the list alone they
    /// look ready.
    pub(super) fn on_mesh(
        &mut self, terms: FleetParameters, backends: Vec<(BackendEntry, BackendParameters)>,
        out: &mut Vec<Action>,
    ) {
        let named = backends.iter().map(|(entry, terms)| (entry.name.clone(), *terms)).collect();
        self.mesh.told(self.now, terms, named);
        self.take_list(backends.into_iter().map(|(entry, _)| entry).collect(), true);
        // A backend without an answer yet has the room that its slots give.
        for (name, backend) in &mut self.backends {
            let room = self.mesh.room(name).filter(|_| backend.fresh());
            backend.room = room.unwrap_or(backend.room);
        }
        self.drain_queue(out);
    }

    fn take_list(&mut self, list: Vec<BackendEntry>, full: bool) {
        if full {
            self.backends.values_mut().for_each(|b| (b.ready, b.gone) = (false, true));
        }
        for entry in list {
            let (ready, gone) = (entry.state == BackendState::Ready, entry.state == BackendState::Gone);
            let known = self.backends.get_mut(&entry.name);
            let out = known.as_ref().map_or(0, |b| b.out);
            if let Some(known) = known.filter(|b| b.started == entry.started) {
                (known.ready, known.gone) = (ready, gone);
                continue;
            }
            let room = ROOM_FIRST / f64::from(self.settings.gateways);
            let BackendEntry { name, zone, cell, started, .. } = entry;
            self.backends
                .insert(name, Backend { zone, cell, ready, gone, started, out, room, ..Default::default() });
        }
    }

    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chosen = if self.open_allowed(id) { self.pick(id) } else { None };
        let Some(name) = chosen else { return false };
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return false };
        let class = &self.settings.classes[request.class];
        let keyed = request.may_have_run.as_ref().filter(|_| class.retry_safety == RetrySafety::Keyed);
        let write_by =
            keyed.map(|(at, ..)| at + class.dedup_window - LAST_TICKS * self.settings.tick - self.now);
        // Guards keyed requests that waited in line, and through the host those whose connection is late.
        if write_by.is_some_and(|left| left <= 0.0) {
            return false;
        }
        backend.out += 1;
        self.mesh.sent(&name, self.now, request.attempts > 0);
        self.customers.get_mut(&request.customer).into_iter().for_each(|c| c.open += 1);
        (request.stage, request.sent_at, request.attempts) = (Stage::Out, self.now, request.attempts + 1);
        out.push(Action::Send { id, backend: name, timeout: None, write_by });
        true
    }

    /// The open cap, shared evenly: the gateways first in the customer's set take what does not divide.
    pub(super) fn open_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let cap = self.settings.plans[request.plan].max_concurrent;
        let (spread, place) = (customer.spread as u32, customer.place);
        cap == 0 || customer.open < (cap / spread + u32::from(place < cap % spread)).max(1)
    }

    pub(super) fn room(&self) -> f64 {
        self.backends.values().filter(|b| b.usable()).map(|b| b.room).sum()
    }

    /// The backend that should answer first: the one with the fewest requests of this gateway, near if equal.
    pub(super) fn pick(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let tied = request.may_have_run.as_ref().filter(|_| class.retry_safety == RetrySafety::Keyed);
        let bound = request.bound.as_deref();
        let bytes = bound.map_or(0, |b| b.bytes);
        let out: f64 = self.backends.values().map(|b| f64::from(b.out)).sum();
        if out >= self.room().max(1.0) {
            return None;
        }
        let ready = self.backends.values().filter(|b| b.usable()).count().max(1) as f64;
        let (salt, own) = (self.random, mix(u64::from(self.settings.gateway_index) + 1));
        let far = 1.0 + self.settings.cross_zone_cost * ZONE_BIAS;
        let (many, cold_share) = (self.many(), COLD_MULTIPLE * self.take());
        let mut best: Option<(f64, &Name)> = None;
        for (name, backend) in &self.backends {
            let (group, zone, cell) = (class.dedup_scope, &backend.zone, backend.cell);
            let same = |home: &(_, Name, u64)| {
                if group == DedupScope::Zone { home.1 == *zone } else { home.2 == cell }
            };
            let in_group = group == DedupScope::All || tied.is_none_or(same);
            let full = f64::from(backend.out) >= backend.room.ceil();
            let luck = unit(salt ^ hash(name));
            let warmth = backend.warmth(self.now, &self.settings);
            // Guards cold backends with no agreement: by chance their share of an even part, from the start.
            let cold = warmth < 1.0 && luck * ready >= warmth * cold_share;
            let barred = bound.is_some_and(|b| !b.cells.is_empty() && !b.cells.contains(&cell));
            if !backend.usable() || !in_group || full || cold || barred || self.now < backend.eject_until {
                continue;
            }
            let expected = self.mesh.score(name, backend.out, self.now, luck, bytes);
            if expected == Some(None) {
                continue;
            }
            // Among many, a draw by weight: no two gateways follow the same order.
            let draw = if many { -luck.max(1e-12).ln() } else { 1.0 + 0.1 * luck };
            let far = if *zone == self.settings.zone { 1.0 } else { far };
            let own = unit(hash(name) ^ own) * ready < OWN_BACKENDS;
            let far = if own || !many { far } else { far * STRANGE };
            let alike = if warmth < 1.0 { 0.0 } else { (1.0 + f64::from(backend.out)) * far * draw };
            let score = expected.flatten().unwrap_or(alike);
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, name));
            }
        }
        let chosen = best.map(|(_, name)| name.clone());
        self.chance();
        chosen
    }

    /// Guards requests against the list, which names a backend for seconds after its address has gone to
    /// another: each would be sent there in vain, by every gateway. Each life of a backend has a name of
    /// its own, so nothing is lost by it.
    fn depart(&mut self, name: &Name, out: &mut Vec<Action>) {
        let Some(backend) = self.backends.get_mut(name) else { return };
        if !std::mem::replace(&mut backend.departed, true) {
            out.push(Action::Log(format!("backend {name} gone: another has its address")));
        }
    }

    pub(super) fn on_backend(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.out = backend.out.saturating_sub(1);
        // It speaks of the backend, also to a client that has left.
        if end.outcome == Outcome::Misdirected {
            return self.depart(name, out);
        }
        // Of a request that is forgotten neither class nor aim is known; who left proves nothing.
        let request = self.requests.get(&end.id).filter(|r| r.stage != Stage::Left);
        let Some(class) = request.map(|r| r.class) else { return };
        let usual = &mut self.class_latency[class];
        let late = match end.outcome {
            Outcome::Served => {
                if std::mem::take(&mut backend.told) {
                    out.push(Action::Log(format!("backend {name} back: it answers again")));
                }
                backend.failures = 0;
                self.mesh.served(name, latency);
                *usual = if *usual == 0.0 { latency } else { *usual + USUAL_WEIGHT * (latency - *usual) };
                latency > self.settings.classes[class].target_latency * ROOM_SHARE
            }
            Outcome::Error | Outcome::NeverSent | Outcome::Cancelled | Outcome::Misdirected => return,
            Outcome::Rejected => true,
            // A client with little time left proves nothing of the fleet.
            _ => latency > *usual * LATE_LATENCIES,
        };
        backend.note_latency(late, self.mesh.least_room(name));
        self.late += NEWEST * (f64::from(u8::from(late)) - self.late);
        let lost = end.outcome != Outcome::Served;
        if lost && backend.failed(now, end, &self.settings) {
            out.push(Action::Log(format!("backend {name} ejected: {EJECT_TOLD} failures in a row")));
        }
    }
}
