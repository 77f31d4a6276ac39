//! The event feed: what the system did, for other tools. Each registry keeps a bounded number of the events
//! that it observed, oldest first, and has the store of its host save them beyond its own incarnation. A
//! reader's answer is merged from the feeds of all registries ([`crate::merge`]).
//!
//! - An event's `id` is derived from what happened, not from the registry that observed it: two registries
//!   that observe one change report the same event, and readers recognise duplicates by the id. Delivery is
//!   at least once.
//! - A position older than the oldest event kept, or of an unknown incarnation, continues at the oldest event
//!   available and reports that events may have been missed. So does the transition from one incarnation to
//!   the next, since the last second before the end may not have been saved.
//! - Readers poll and nothing waits for them, so a slow reader costs nothing; it is told that it missed
//!   events.

use crate::Millis;
pub use fennelscale_messages::feed::{Event, EventKind, EventPage, EventQuery, FeedPosition, VERSION};
use std::collections::VecDeque;

/// Maximum of events kept in memory.
pub const CAPACITY: usize = 4096;
/// Maximum of events in one answer.
pub const MAX_EVENTS_PER_READ: usize = 500;
/// Interval at which events are sent to the store in batches; a loss of power may lose this much.
pub const STORE_INTERVAL: Millis = 1000.0;
/// Maximum of events in one batch.
const STORE_BATCH: usize = 256;
/// Maximum of refused calls recorded as events per second; further ones are only counted.
const MAX_REFUSED_PER_SECOND: u32 = 10;

/// The feed of one incarnation of a registry.
#[derive(Clone, Debug)]
pub struct Feed {
    incarnation: u64,
    next: u64,
    events: VecDeque<Event>,
    /// The last event sent to the store, and when events were last offered to it.
    stored: (u64, Millis),
    /// Refused calls: the current second, those recorded in it, and those not recorded since the last
    /// recorded one.
    refused: (u64, u32, u32),
}

impl Feed {
    /// Creates an empty feed of an incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, next: 1, events: VecDeque::new(), stored: (0, 0.0), refused: (0, 0, 0) }
    }

    /// The incarnation of the registry.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records an event. `mark` distinguishes it from the same event at another time, independent of the
    /// registry that observed it.
    pub fn record(&mut self, at: Millis, kind: EventKind, subject: &str, mark: u64, cause: String) {
        let id = format!("{}/{subject}/{mark:x}", kind.name());
        let position = FeedPosition { incarnation: self.incarnation, number: self.next };
        self.events.push_back(Event { position, id, kind, subject: subject.to_owned(), cause, at });
        self.next += 1;
        if self.events.len() > CAPACITY {
            self.events.pop_front();
        }
    }

    /// Records an event that only this registry observed.
    pub fn record_local(&mut self, at: Millis, kind: EventKind, subject: &str, cause: String) {
        self.record(at, kind, subject, fennelscale_messages::mix(self.incarnation ^ self.next), cause);
    }

    /// Records a refused call. The rate is limited so that a caller whose calls are all refused cannot evict
    /// all other events.
    pub fn record_refused_call(&mut self, now: Millis, call: &str, cause: &str) {
        let second = (now / 1000.0) as u64;
        if self.refused.0 != second {
            (self.refused.0, self.refused.1) = (second, 0);
        }
        if self.refused.1 >= MAX_REFUSED_PER_SECOND {
            self.refused.2 += 1;
            return;
        }
        self.refused.1 += 1;
        let unrecorded = match std::mem::take(&mut self.refused.2) {
            0 => String::new(),
            n => format!(" (and {n} that were not told)"),
        };
        self.record_local(now, EventKind::CallRefused, call, format!("{cause}{unrecorded}"));
    }

    /// The events to send to the store now. Events that could not be sent are offered again.
    pub fn events_to_store(&mut self, now: Millis) -> Vec<Event> {
        if now - self.stored.1 < STORE_INTERVAL || self.stored.0 + 1 >= self.next {
            return Vec::new();
        }
        self.stored.1 = now;
        let oldest = self.events.front().map_or(self.next, |event| event.position.number);
        let skipped = (self.stored.0 + 1).saturating_sub(oldest) as usize;
        self.events.iter().skip(skipped).take(STORE_BATCH).cloned().collect()
    }

    /// Events up to this number were sent to the store.
    pub fn mark_stored(&mut self, number: u64) {
        self.stored.0 = self.stored.0.max(number);
    }

    /// Reads the events of this incarnation after a position. A position of another incarnation starts at the
    /// oldest event.
    pub fn read(&self, now: Millis, query: &EventQuery) -> EventPage {
        let oldest = self.events.front().map_or(self.next, |event| event.position.number);
        let (first, missed) = match query.after {
            None => (oldest, oldest > 1),
            // A position beyond the newest event was not issued by this incarnation.
            Some(FeedPosition { incarnation, number })
                if incarnation == self.incarnation && number < self.next =>
            {
                (number + 1, number + 1 < oldest)
            }
            Some(_) => (oldest, true),
        };
        let limit = if query.limit == 0 { MAX_EVENTS_PER_READ } else { query.limit.min(MAX_EVENTS_PER_READ) };
        let (mut events, mut last) = (Vec::new(), first.saturating_sub(1));
        for event in self.events.iter().skip(first.saturating_sub(oldest) as usize) {
            if query.matches(event) {
                if events.len() == limit {
                    break;
                }
                events.push(event.clone());
            }
            last = event.position.number;
        }
        EventPage {
            events,
            position: FeedPosition { incarnation: self.incarnation, number: last },
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
    fn a_reader_gets_each_event_once_in_order_whatever_its_page_size() {
        for most in [1, 3, 100] {
            let (feed, mut after, mut seen) = (feed(50), None, Vec::new());
            loop {
                let page = feed.read(0.0, &EventQuery { after, limit: most, ..EventQuery::default() });
                assert!(!page.missed);
                if page.events.is_empty() {
                    break;
                }
                seen.extend(page.events.iter().map(|event| event.position.number));
                after = Some(page.position);
            }
            assert_eq!(seen, (1..=50).collect::<Vec<_>>());
        }
    }

    #[test]
    fn a_reader_is_told_of_missed_events_if_it_is_slow_or_its_position_is_unknown() {
        let feed = feed(CAPACITY as u64 + 10);
        let read = |after: Option<(u64, u64)>| {
            let after = after.map(|(incarnation, number)| FeedPosition { incarnation, number });
            feed.read(0.0, &EventQuery { after, ..EventQuery::default() })
        };
        assert!(read(Some((7, 2))).missed && read(None).missed);
        assert!(!read(Some((7, 100))).missed);
        assert!(read(Some((8, 100))).missed, "another incarnation");
        let future = read(Some((7, 1 << 40)));
        assert!(
            future.missed && future.events.len() == MAX_EVENTS_PER_READ,
            "a position from the future starts over"
        );
    }

    #[test]
    fn filters_skip_other_events_and_the_position_advances() {
        let feed = feed(20);
        let page =
            feed.read(0.0, &EventQuery { kind: Some(EventKind::MemberJoined), ..EventQuery::default() });
        assert_eq!((page.events.len(), page.position), (10, FeedPosition { incarnation: 7, number: 20 }));
        let page = feed.read(0.0, &EventQuery { subject_prefix: "r:1".into(), ..EventQuery::default() });
        assert_eq!(page.events.len(), 11);
        let ids: std::collections::BTreeSet<_> = page.events.iter().map(|event| event.id.clone()).collect();
        assert_eq!(ids.len(), 11);
    }

    #[test]
    fn each_event_is_sent_to_the_store_once_at_a_limited_rate() {
        let (mut feed, mut stored) = (feed(600), Vec::new());
        assert!(feed.events_to_store(STORE_INTERVAL - 1.0).is_empty());
        for n in 1..=8 {
            let now = STORE_INTERVAL * f64::from(n);
            let events = feed.events_to_store(now);
            assert!(feed.events_to_store(now + STORE_INTERVAL / 2.0).is_empty());
            // Every other time the store is unavailable; events that it was not sent are offered again.
            if n % 2 == 0
                && let Some(last) = events.last()
            {
                feed.mark_stored(last.position.number);
                stored.extend(events.iter().map(|event| event.position.number));
            }
        }
        assert_eq!(stored, (1..=600).collect::<Vec<_>>());
    }

    #[test]
    fn refused_calls_do_not_evict_other_events() {
        let mut feed = feed(1);
        for n in 0..100_000 {
            feed.record_refused_call(f64::from(n) / 100.0, "config", "invalid: cut short");
        }
        let page = feed.read(0.0, &EventQuery::default());
        assert_eq!((page.events.len(), page.missed), (11, false));
        feed.record_refused_call(5000.0, "config", "invalid: cut short");
        let page =
            feed.read(0.0, &EventQuery { kind: Some(EventKind::CallRefused), ..EventQuery::default() });
        assert!(page.events[10].cause.ends_with("(and 99990 that were not told)"), "{:?}", page.events[10]);
    }
}
