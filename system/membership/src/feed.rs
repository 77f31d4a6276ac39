//! The event feed: what the mesh did, for other tools. Each registry keeps the events that it saw, newest last, so many at most,
//! and has its machine's store keep them for longer than its life; a reader's answer is made of what all registries have
//! ([`crate::streams`]).
//!
//! - An event's `id` is made of what happened, not of who saw it: two registries that saw one change tell one event, and a
//!   reader knows repeats by it. Delivery is at least once.
//! - A place that is older than what is kept, or of nobody's life, begins at the oldest that is there and says that events may be
//!   missed; so does the step from one life to the next, since the last second before an end may not have been kept.
//! - Readers ask; nobody waits for them. A slow one costs nothing and is told what it missed.

use crate::Millis;
pub use fennelscale_messages::feed::{Event, EventKind, EventPage, EventQuery, FeedPosition, VERSION};
use std::collections::VecDeque;

/// Events that are kept.
pub const CAPACITY: usize = 4096;
/// Events in one answer at most.
pub const MAX_EVENTS_PER_READ: usize = 500;
/// Events go to the disk together, this far apart: so much a loss of power may take.
pub const STORE_INTERVAL: Millis = 1000.0;
/// So many go at once.
const STORE_BATCH: usize = 256;
/// Of calls that are refused so many are told in a second; the rest is counted.
const MAX_REFUSED_PER_SECOND: u32 = 10;

/// The feed of one registry's life.
#[derive(Clone, Debug)]
pub struct Feed {
    life: u64,
    next: u64,
    events: VecDeque<Event>,
    /// Up to this one the store has been given them, and when some were last offered to it.
    kept: (u64, Millis),
    /// Refused calls: the second at hand, how many were told in it, how many were not told since the last that was.
    refused: (u64, u32, u32),
}

impl Feed {
    /// An empty feed of a life.
    pub fn new(life: u64) -> Self {
        Self { life, next: 1, events: VecDeque::new(), kept: (0, 0.0), refused: (0, 0, 0) }
    }

    /// The life that it is of.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Something happened. `mark` tells it from the same thing at another time, wherever it was seen.
    pub fn record(&mut self, at: Millis, kind: EventKind, what: &str, mark: u64, cause: String) {
        let id = format!("{}/{what}/{mark:x}", kind.name());
        let place = FeedPosition { incarnation: self.life, number: self.next };
        self.events.push_back(Event { position: place, id, kind, subject: what.to_owned(), cause, at });
        self.next += 1;
        if self.events.len() > CAPACITY {
            self.events.pop_front();
        }
    }

    /// Something happened that only this registry saw.
    pub fn record_local(&mut self, at: Millis, kind: EventKind, what: &str, cause: String) {
        self.record(at, kind, what, fennelscale_messages::mix(self.life ^ self.next), cause);
    }

    /// A call was refused. A caller that sends nothing else must not push all other events out.
    pub fn record_refused_call(&mut self, now: Millis, what: &str, cause: &str) {
        let second = (now / 1000.0) as u64;
        if self.refused.0 != second {
            (self.refused.0, self.refused.1) = (second, 0);
        }
        if self.refused.1 >= MAX_REFUSED_PER_SECOND {
            self.refused.2 += 1;
            return;
        }
        self.refused.1 += 1;
        let others = match std::mem::take(&mut self.refused.2) {
            0 => String::new(),
            n => format!(" (and {n} that were not told)"),
        };
        self.record_local(now, EventKind::CallRefused, what, format!("{cause}{others}"));
    }

    /// What the store is to keep now. What it could not be given is offered again.
    pub fn events_to_store(&mut self, now: Millis) -> Vec<Event> {
        if now - self.kept.1 < STORE_INTERVAL || self.kept.0 + 1 >= self.next {
            return Vec::new();
        }
        self.kept.1 = now;
        let oldest = self.events.front().map_or(self.next, |event| event.position.number);
        let from = (self.kept.0 + 1).saturating_sub(oldest) as usize;
        self.events.iter().skip(from).take(STORE_BATCH).cloned().collect()
    }

    /// The store was given events up to this one.
    pub fn mark_stored(&mut self, number: u64) {
        self.kept.0 = self.kept.0.max(number);
    }

    /// Events of this life after a place of it. One of another life begins at the oldest.
    pub fn read(&self, now: Millis, wanted: &EventQuery) -> EventPage {
        let oldest = self.events.front().map_or(self.next, |event| event.position.number);
        let (from, missed) = match wanted.after {
            None => (oldest, oldest > 1),
            // The future of this life has not been told by it: somebody else's place.
            Some(FeedPosition { incarnation: life, number }) if life == self.life && number < self.next => {
                (number + 1, number + 1 < oldest)
            }
            Some(_) => (oldest, true),
        };
        let most =
            if wanted.limit == 0 { MAX_EVENTS_PER_READ } else { wanted.limit.min(MAX_EVENTS_PER_READ) };
        let (mut events, mut last) = (Vec::new(), from.saturating_sub(1));
        for event in self.events.iter().skip(from.saturating_sub(oldest) as usize) {
            if wanted.matches(event) {
                if events.len() == most {
                    break;
                }
                events.push(event.clone());
            }
            last = event.position.number;
        }
        EventPage {
            events,
            position: FeedPosition { incarnation: self.life, number: last },
            missed,
            now: Some(now),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn feed(events: u64) -> Feed {
        let mut feed = Feed::new(7);
        for n in 0..events {
            let kind = if n % 2 == 0 { EventKind::ItemChosen } else { EventKind::MemberJoined };
            feed.record(n as f64, kind, &format!("r:{n}"), n, String::new());
        }
        feed
    }

    #[test]
    fn a_reader_gets_each_event_once_in_order_whatever_its_pace() {
        for most in [1, 3, 100] {
            let (feed, mut after, mut seen) = (feed(50), None, Vec::new());
            loop {
                let told = feed.read(0.0, &EventQuery { after, limit: most, ..EventQuery::default() });
                assert!(!told.missed);
                if told.events.is_empty() {
                    break;
                }
                seen.extend(told.events.iter().map(|event| event.position.number));
                after = Some(told.position);
            }
            assert_eq!(seen, (1..=50).collect::<Vec<_>>());
        }
    }

    #[test]
    fn who_was_too_slow_or_comes_from_elsewhere_is_told_so() {
        let feed = feed(CAPACITY as u64 + 10);
        let read = |after: Option<(u64, u64)>| {
            let after = after.map(|(life, number)| FeedPosition { incarnation: life, number });
            feed.read(0.0, &EventQuery { after, ..EventQuery::default() })
        };
        assert!(read(Some((7, 2))).missed && read(None).missed);
        assert!(!read(Some((7, 100))).missed);
        assert!(read(Some((8, 100))).missed, "another life");
        let future = read(Some((7, 1 << 40)));
        assert!(
            future.missed && future.events.len() == MAX_EVENTS_PER_READ,
            "a cursor from the future begins anew"
        );
    }

    #[test]
    fn filters_pass_over_the_rest_and_the_cursor_goes_on() {
        let feed = feed(20);
        let told =
            feed.read(0.0, &EventQuery { kind: Some(EventKind::MemberJoined), ..EventQuery::default() });
        assert_eq!((told.events.len(), told.position), (10, FeedPosition { incarnation: 7, number: 20 }));
        let told = feed.read(0.0, &EventQuery { subject_prefix: "r:1".into(), ..EventQuery::default() });
        assert_eq!(told.events.len(), 11);
        let ids: std::collections::BTreeSet<_> = told.events.iter().map(|event| event.id.clone()).collect();
        assert_eq!(ids.len(), 11);
    }

    #[test]
    fn the_store_is_given_each_event_once_and_not_too_often() {
        let (mut feed, mut given) = (feed(600), Vec::new());
        assert!(feed.events_to_store(STORE_INTERVAL - 1.0).is_empty());
        for n in 1..=8 {
            let now = STORE_INTERVAL * f64::from(n);
            let events = feed.events_to_store(now);
            assert!(feed.events_to_store(now + STORE_INTERVAL / 2.0).is_empty());
            // Every other time the store is not there: what it was not given is offered again.
            if n % 2 == 0
                && let Some(last) = events.last()
            {
                feed.mark_stored(last.position.number);
                given.extend(events.iter().map(|event| event.position.number));
            }
        }
        assert_eq!(given, (1..=600).collect::<Vec<_>>());
    }

    #[test]
    fn a_caller_that_is_always_refused_pushes_nothing_out() {
        let mut feed = feed(1);
        for n in 0..100_000 {
            feed.record_refused_call(f64::from(n) / 100.0, "config", "invalid: cut short");
        }
        let told = feed.read(0.0, &EventQuery::default());
        assert_eq!((told.events.len(), told.missed), (11, false));
        feed.record_refused_call(5000.0, "config", "invalid: cut short");
        let told =
            feed.read(0.0, &EventQuery { kind: Some(EventKind::CallRefused), ..EventQuery::default() });
        assert!(told.events[10].cause.ends_with("(and 99990 that were not told)"), "{:?}", told.events[10]);
    }
}
