//! What the decisions heed where the deployment tells of it: how far each backend is and how much it bears, which regions a
//! request may go to, what repeats may cost. A gateway that is told nothing of this decides as without it.
//!
//! - *Choice*: the answer expected first wins. What is expected of a backend is its smoothed latency, its way included,
//!   grown by what is out there, and the price of the way in ms. Backends are shared out: each is some gateway's own, which
//!   mostly it alone sends to, so what it has out there is all that is there. Of others' it expects that they are in use.
//! - *Terms first*: once terms were told, a backend without terms is sent nothing. It may be cold, and another gateway's to
//!   send to.
//! - *Cold backends* take what this gateway was given of their rate, one by one, and nothing else.
//! - *Repeats*: a part of the requests, and a part of the slack that all gateways share. Each gateway keeps its own:
//!   the parts add up to no more than the whole.

use crate::interface::{Millis, Name};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// The weight of the newest latency in a backend's.
const NEWEST: f64 = 0.1;
/// A gateway has out at a backend of its own at most so many times its slots, of others so many times its part of them; what
/// comes beyond that waits in line. Late answers take this down to the other share of it.
const ROOM_OWN: f64 = 1.5;
const ROOM_OTHERS: f64 = 2.0;
const ROOM_LEAST: f64 = 0.5;
/// What others' backends are expected to take longer, by themselves and by chance: who finds none of its own free spreads what
/// it has over all of them.
const OTHERS: f64 = 1.25;
const OTHERS_LUCK: f64 = 0.5;
/// The bytes of a usual request and its answer.
const USUAL_BYTES: f64 = 6000.0;
/// Of two free ones of its own the one with less to do goes first by this much.
const BUSY: f64 = 0.2;
/// Of the ratio that rules allow for repeats so much is used: what one gateway counts comes late at another's window.
const RATIO_SHARE: f64 = 0.75;
/// Of the slack that all gateways share so much is handed out, and so much more for requests that met an address that has changed
/// hands: these never ran, but their arrival may count as any other.
const SLACK_SHARE: f64 = 0.6;
const MISDIRECTED_SHARE: f64 = 0.3;

/// What is known of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendParameters {
    /// Requests that it works on at once.
    pub slots: f64,
    /// How many gateways are likely to send there; of an own one, how many have it as theirs.
    pub sharers: f64,
    /// It is this gateway's own, or one of few that share it.
    pub is_owned: bool,
    /// The way there and back.
    pub round_trip: Millis,
    /// What the way costs a usual request, as a time that an answer may come later.
    pub distance_cost: Millis,
    /// It is cold until then ...
    pub cold_until: Millis,
    /// ... and takes this many requests a second from this gateway meanwhile.
    pub cold_rate_per_s: f64,
}

/// What is known of all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetParameters {
    /// How many gateways there are.
    pub gateways: f64,
    /// Further tries for each request, over all gateways.
    pub retry_ratio: f64,
    /// Further tries beyond the ratio, over all gateways.
    pub retry_slack: f64,
    /// The usual time of work, for backends that have not answered yet.
    pub typical_latency: Millis,
}

/// What one request is bound to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestConstraints {
    /// The cells whose backends may have it; empty for all.
    pub cells: Vec<u64>,
    /// The most backends that it may be sent to; 0 for as many as the settings say.
    pub max_attempts: u32,
    /// Its bytes; 0 for a usual request. What a way costs goes by them.
    pub bytes: u32,
}

/// How many requests were sent to backends, by what was known of the backend at the moment of the choice. For metrics only:
/// nothing is decided by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// To backends whose terms say that they are warm.
    pub warm: u64,
    /// To backends whose terms say that they are cold.
    pub cold: u64,
    /// To backends of which no terms were told, though terms of others were.
    pub without_parameters: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    terms: BackendParameters,
    latency: Millis,
    /// What may still be sent while it is cold, and as of when.
    tokens: f64,
    at: Millis,
}

/// The part of a gateway that heeds all this.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mesh {
    /// Terms were told: what has none is sent nothing.
    told: bool,
    terms: FleetParameters,
    backends: BTreeMap<Name, Known>,
    repeats: f64,
    sends: SendCounts,
}

impl Mesh {
    /// How many requests were sent so far.
    pub(crate) fn sends(&self) -> SendCounts {
        self.sends
    }

    pub(crate) fn told(
        &mut self, now: Millis, terms: FleetParameters, backends: Vec<(Name, BackendParameters)>,
    ) {
        if self.terms.retry_ratio == 0.0 {
            self.repeats = terms.retry_slack * SLACK_SHARE / terms.gateways.max(1.0);
        }
        (self.told, self.terms) = (true, terms);
        let mut before = std::mem::take(&mut self.backends);
        for (name, terms) in backends {
            let fresh =
                Known { terms, latency: terms.round_trip + self.terms.typical_latency, tokens: 1.0, at: now };
            let mut known = before.remove(&name).unwrap_or(fresh);
            if terms.cold_until > known.terms.cold_until && known.terms.cold_until <= now {
                // A cold spell begins: no more at once than one.
                (known.tokens, known.at) = (1.0, now);
            }
            known.terms = terms;
            self.backends.insert(name, known);
        }
    }

    /// What this gateway has out at a backend at most, at first; none where nothing was told of it.
    pub(crate) fn room(&self, name: &Name) -> Option<f64> {
        let terms = self.backends.get(name)?.terms;
        let others = terms.slots / terms.sharers.max(1.0) * ROOM_OTHERS;
        let own = terms.slots / terms.sharers.max(1.0) * ROOM_OWN;
        Some(if terms.is_owned { own.max(1.0) } else { others.max(1.0) })
    }

    /// Late answers take it down to this.
    pub(crate) fn least_room(&self, name: &Name) -> f64 {
        self.room(name).map_or(0.0, |room| room * ROOM_LEAST)
    }

    fn tokens(known: &Known, now: Millis) -> f64 {
        (known.tokens + (now - known.at).max(0.0) / 1000.0 * known.terms.cold_rate_per_s).min(1.0)
    }

    /// How soon a backend's answer is expected; none where it may not be sent anything. Nothing where no terms were ever told.
    pub(crate) fn score(
        &self, name: &Name, out: u32, now: Millis, luck: f64, bytes: u32,
    ) -> Option<Option<f64>> {
        let Some(known) = self.backends.get(name) else { return self.told.then_some(None) };
        let terms = &known.terms;
        if now < terms.cold_until && (terms.cold_rate_per_s <= 0.0 || Self::tokens(known, now) < 1.0) {
            return Some(None);
        }
        let (out, slots) = (f64::from(out), terms.slots.max(1.0));
        let line = if terms.is_owned {
            let slots = (slots / terms.sharers.max(1.0)).max(1.0);
            let over = (out + 1.0 - slots).max(0.0) / slots;
            1.0 + BUSY * (out / slots).min(1.0) + over + 0.1 * luck
        } else {
            let part = (slots / terms.sharers.max(1.0)).max(0.5);
            OTHERS + OTHERS_LUCK * luck + out / part
        };
        Some(Some(known.latency * line + terms.distance_cost * (1.0 + f64::from(bytes) / USUAL_BYTES)))
    }

    /// A request goes to a backend; `again` if it has been sent before.
    pub(crate) fn sent(&mut self, name: &Name, now: Millis, again: bool) {
        if again {
            self.repeats -= 1.0;
        }
        match self.backends.get_mut(name) {
            Some(known) if now < known.terms.cold_until => {
                (known.tokens, known.at) = (Self::tokens(known, now) - 1.0, now);
                self.sends.cold += 1;
            }
            Some(_) => self.sends.warm += 1,
            None if self.told => self.sends.without_parameters += 1,
            None => {}
        }
    }

    pub(crate) fn served(&mut self, name: &Name, latency: Millis) {
        if let Some(known) = self.backends.get_mut(name) {
            known.latency += NEWEST * (latency - known.latency);
        }
    }

    /// A request came: it earns its part of a repeat.
    pub(crate) fn came(&mut self) {
        let most = self.terms.retry_slack * SLACK_SHARE / self.terms.gateways.max(1.0);
        self.repeats = (self.repeats + self.terms.retry_ratio * RATIO_SHARE).min(most.max(1.0));
    }

    /// Whether a request may be sent once more. One that was `misdirected` draws on a part that others leave.
    pub(crate) fn may_repeat(&self, misdirected: bool) -> bool {
        let kept = self.terms.retry_slack * MISDIRECTED_SHARE / self.terms.gateways.max(1.0);
        let reserve = if misdirected { kept } else { 0.0 };
        self.terms.retry_ratio <= 0.0 || self.repeats + reserve >= 1.0
    }
}

impl Hash for Mesh {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Counts for metrics are no part of the state that decides.
        let Self { told, terms, backends, repeats, sends: _ } = self;
        told.hash(state);
        let FleetParameters { gateways, retry_ratio, retry_slack, typical_latency: usual } = terms;
        [*gateways, *retry_ratio, *retry_slack, *usual, *repeats].map(f64::to_bits).hash(state);
        for (name, Known { terms, latency, tokens, at }) in backends {
            let BackendParameters {
                slots,
                sharers,
                is_owned: own,
                round_trip: way,
                distance_cost: price,
                cold_until,
                cold_rate_per_s: cold_per_s,
            } = terms;
            (name, own).hash(state);
            [*slots, *sharers, *way, *price, *cold_until, *cold_per_s, *latency, *tokens, *at]
                .map(f64::to_bits)
                .hash(state);
        }
    }
}
