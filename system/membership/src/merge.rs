//! Merges the event feeds of several registries into the feed that a reader of any of them gets.
//!
//! # Invariants
//!
//! - Each event of each feed is delivered: once in one answer, by its id ([`merge`]); at least once over
//!   several answers.
//! - Events of one subject come in the order in which the registries recorded them. Registries agree on that
//!   order, since each applies the versions of an item in order. Events of a registry that did not answer in
//!   time are delivered later through the same cursor; and if a registry has more events than fit in one page
//!   ([`crate::feed::MAX_EVENTS_PER_READ`]), those that follow are unknown. In both cases an older version
//!   may come after a newer one, which the mark at the end of the id shows.
//! - A cursor is a position in each registry's feed ([`Cursor`]), so it is valid at every registry, also
//!   after a restart of all.

use fennelscale_messages::Host;
use fennelscale_messages::feed::{Event, EventKind, EventPage, FeedPosition};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::str::FromStr;

/// Maximum of registries in one cursor, since cursors come from untrusted callers.
const MAX_REGISTRIES: usize = 256;

/// The position of a reader in each registry's feed.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Cursor(pub BTreeMap<Host, FeedPosition>);

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (host, at)) in self.0.iter().enumerate() {
            let separator = if n > 0 { "." } else { "" };
            write!(f, "{separator}{:x}_{:x}-{}", host.0, at.incarnation, at.number)?;
        }
        Ok(())
    }
}

impl FromStr for Cursor {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut positions = BTreeMap::new();
        for part in text.split('.').filter(|part| !part.is_empty()) {
            let position = || {
                let (host, at) = part.split_once('_')?;
                let (incarnation, number) = at.split_once('-')?;
                let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
                Some((
                    Host(u32::from_str_radix(host, 16).ok()?),
                    FeedPosition { incarnation, number: number.parse().ok()? },
                ))
            };
            let (host, at) = position().ok_or(())?;
            positions.insert(host, at);
            if positions.len() > MAX_REGISTRIES {
                return Err(());
            }
        }
        Ok(Self(positions))
    }
}

/// The answer to a reader.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MergedEvents {
    /// Events, each with the registry whose feed it comes from.
    pub events: Vec<(Host, Event)>,
    /// The cursor for the next query.
    pub cursor: Cursor,
    /// Whether events may have been missed.
    pub missed: bool,
}

/// The version in an event's mark, for kinds whose subjects have versions.
fn version(event: &Event) -> Option<u64> {
    let versioned = matches!(
        event.kind,
        EventKind::ItemChosen
            | EventKind::ItemDropped
            | EventKind::ZoneEvacuated
            | EventKind::ZoneBack
            | EventKind::SeatsChanged
    );
    let mark = event.id.rsplit_once('/').filter(|_| versioned)?.1;
    u64::from_str_radix(mark, 16).ok()
}

/// The page of one registry, as far as it has not been merged.
struct Stream {
    host: Host,
    page: EventPage,
    /// Remaining events.
    remaining: VecDeque<Event>,
    /// Number of events removed from the front.
    removed: usize,
    /// The index of each id in the page.
    ids: HashMap<String, usize>,
    /// The indexes of the remaining events of each subject.
    subjects: HashMap<String, VecDeque<usize>>,
    position: FeedPosition,
}

impl Stream {
    fn new(host: Host, mut page: EventPage, before: Option<FeedPosition>) -> Self {
        let remaining: VecDeque<Event> = std::mem::take(&mut page.events).into();
        let (mut ids, mut subjects) =
            (HashMap::<String, usize>::new(), HashMap::<String, VecDeque<usize>>::new());
        for (index, event) in remaining.iter().enumerate() {
            // A second event with the same id in one stream is a duplicate and is skipped with the first.
            if let Entry::Vacant(slot) = ids.entry(event.id.clone()) {
                slot.insert(index);
                subjects.entry(event.subject.clone()).or_default().push_back(index);
            }
        }
        let first = remaining
            .front()
            .map(|event| FeedPosition { number: event.position.number - 1, ..event.position });
        let position = before.or(first).unwrap_or(page.position);
        Self { host, page, remaining, removed: 0, ids, subjects, position }
    }

    /// The age of the first remaining event. Events of an earlier incarnation are older than all of the
    /// current one.
    fn age(&self) -> f64 {
        match (self.remaining.front(), self.page.now) {
            (Some(event), Some(now)) if event.position.incarnation == self.page.position.incarnation => {
                now - event.at
            }
            (Some(_), _) => f64::INFINITY,
            (None, _) => f64::NEG_INFINITY,
        }
    }

    fn first_of(&self, subject: &str) -> Option<(usize, &Event)> {
        let index = *self.subjects.get(subject)?.front()?;
        Some((index, self.remaining.get(index - self.removed)?))
    }

    /// Marks an event that was merged from this or another stream as done.
    fn mark_done(&mut self, event: &Event) {
        let Some(index) = self.ids.get(&event.id) else { return };
        if let Some(indexes) = self.subjects.get_mut(&event.subject) {
            indexes.retain(|other| other != index);
        }
    }

    /// Removes merged events from the front.
    fn skip_merged(&mut self, merged_ids: &HashSet<String>) {
        while let Some(event) = self.remaining.front().filter(|event| merged_ids.contains(&event.id)) {
            self.position = event.position;
            self.remaining.pop_front();
            self.removed += 1;
        }
        if self.remaining.is_empty() {
            self.position = self.page.position;
        }
    }

    /// Whether the stream has an event of the same subject that precedes this one: by version, otherwise by
    /// position in the stream.
    fn has_earlier(&self, event: &Event) -> bool {
        let Some((first, other)) = self.first_of(&event.subject) else { return false };
        match (version(other), version(event)) {
            (Some(other), Some(event)) => other < event,
            _ => self.ids.get(&event.id).is_some_and(|index| first < *index),
        }
    }
}

/// Merges the pages that registries returned for a cursor into one answer. It has at most `limit` events,
/// unless more are needed to advance the cursor.
pub fn merge(pages: BTreeMap<Host, EventPage>, before: &Cursor, limit: usize) -> MergedEvents {
    let mut merged =
        MergedEvents { missed: pages.values().any(|page| page.missed), ..MergedEvents::default() };
    let mut streams: Vec<Stream> =
        pages.into_iter().map(|(host, page)| Stream::new(host, page, before.0.get(&host).copied())).collect();
    let mut merged_ids: HashSet<String> = HashSet::new();
    loop {
        streams.iter_mut().for_each(|stream| stream.skip_merged(&merged_ids));
        // An event taken from behind the front does not advance the cursor; the limit is exceeded rather than
        // that the cursor stays.
        if merged.events.len() >= limit && streams.iter().any(|stream| stream.removed > 0) {
            break;
        }
        // Oldest first, by the clock of each registry, as far as the order within each subject allows.
        let is_next = |event: &Event| !streams.iter().any(|stream| stream.has_earlier(event));
        let older = |a: &&Stream, b: &&Stream| a.age().total_cmp(&b.age());
        let candidates = streams.iter().filter(|stream| stream.remaining.front().is_some_and(&is_next));
        let oldest =
            candidates.max_by(older).and_then(|stream| Some((stream.host, stream.remaining.front()?)));
        // If the first events of all streams wait for each other, take one from behind the front. It is
        // delivered again if the answer ends before its position.
        let behind = || {
            let firsts = streams.iter().flat_map(|stream| {
                stream.subjects.keys().filter_map(|subject| Some((stream.host, stream.first_of(subject)?.1)))
            });
            firsts.into_iter().find(|(_, event)| is_next(event))
        };
        // Registries that disagree on an order (since one has lost its state) must not block a reader.
        let fallback = || streams.iter().find_map(|stream| Some((stream.host, stream.remaining.front()?)));
        let Some((host, event)) = oldest.or_else(behind).or_else(fallback) else { break };
        let event = event.clone();
        streams.iter_mut().for_each(|stream| stream.mark_done(&event));
        merged_ids.insert(event.id.clone());
        merged.events.push((host, event));
    }
    merged.cursor = before.clone();
    merged.cursor.0.extend(streams.iter().map(|stream| (stream.host, stream.position)));
    merged
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_messages::feed::EventQuery;
    use proptest::prelude::*;

    /// The feed of one registry: versions of each subject in order, some of them skipped, and events of its
    /// own.
    fn record_feed(host: u32, steps: &[(usize, u64, bool)]) -> crate::feed::Feed {
        let mut feed = crate::feed::Feed::new(100 + u64::from(host));
        let mut versions = [0; 4];
        for (n, (subject, increment, own)) in steps.iter().enumerate() {
            let at = n as f64 * 10.0;
            if *own {
                feed.record_local(at, EventKind::DutyTaken, &format!("tenants-{subject}"), String::new());
            } else {
                versions[*subject] += increment;
                let name = format!("r:{subject}");
                feed.record(at, EventKind::ItemChosen, &name, versions[*subject], String::new());
            }
        }
        feed
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn a_reader_gets_every_event_and_each_subject_in_order(
            recorded in prop::collection::vec(
                prop::collection::vec((0..4_usize, 1..3_u64, prop::bool::weighted(0.2)), 0..40), 1..6),
            limit in 1..20_usize,
            silent in prop::collection::vec((0..6_usize, 0..6_usize), 0..6),
        ) {
            let feeds: Vec<_> =
                recorded.iter().enumerate().map(|(n, steps)| record_feed(n as u32, steps)).collect();
            let (mut cursor, mut got) = (Cursor::default(), Vec::new());
            let mut last: HashMap<String, u64> = HashMap::new();
            for query in 0.. {
                // Sometimes a registry does not answer in time.
                let answers = |n: usize| !silent.contains(&(query, n));
                let pages = feeds.iter().enumerate().filter(|(n, _)| answers(*n)).map(|(n, feed)| {
                    let host = Host(n as u32);
                    let after = cursor.0.get(&host).copied();
                    (host, feed.read(1000.0, &EventQuery { after, ..EventQuery::default() }))
                });
                let merged = merge(pages.collect(), &cursor, limit);
                prop_assert!(!merged.missed && (merged.events.is_empty() || merged.cursor != cursor), "no progress");
                let ids: HashSet<&str> = merged.events.iter().map(|(_, e)| e.id.as_str()).collect();
                prop_assert_eq!(ids.len(), merged.events.len(), "an event occurs twice in an answer");
                // An older version may only come later if a registry was silent.
                if silent.is_empty() {
                    for (_, event) in &merged.events {
                        if let Some(version) = version(event) {
                            // An event taken from behind the front may be repeated.
                            let before = last.get(&event.subject).copied().unwrap_or(0);
                            let again = got.contains(&event.id);
                            prop_assert!(again || before < version, "{} after {}: {}", version, before, event.id);
                            last.insert(event.subject.clone(), version.max(before));
                        }
                    }
                }
                prop_assert_eq!(merged.cursor.to_string().parse::<Cursor>(), Ok(merged.cursor.clone()));
                let done = merged.events.is_empty() && merged.cursor == cursor && query > 6;
                got.extend(merged.events.into_iter().map(|(_, event)| event.id));
                cursor = merged.cursor;
                if done {
                    break;
                }
            }
            let got: HashSet<String> = got.into_iter().collect();
            for feed in &feeds {
                let all = feed.read(1000.0, &EventQuery::default());
                prop_assert!(all.events.iter().all(|event| got.contains(&event.id)), "an event is missing");
            }
        }
    }

    #[test]
    fn invalid_cursors_are_rejected() {
        for text in ["5d2f-12", "x_1-2", "1_x-2", "1_2-x", "1_2"] {
            assert!(text.parse::<Cursor>().is_err(), "{text}");
        }
        let many: Vec<String> = (0..300).map(|n| format!("{n:x}_1-1")).collect();
        assert!(many.join(".").parse::<Cursor>().is_err(), "the size of a cursor is bounded");
        assert_eq!("".parse::<Cursor>(), Ok(Cursor::default()));
    }

    #[test]
    fn registries_that_disagree_do_not_block_a_reader() {
        let (mut one, mut other) = (crate::feed::Feed::new(1), crate::feed::Feed::new(2));
        one.record(1.0, EventKind::ItemChosen, "r:a", 1, String::new());
        one.record(2.0, EventKind::ItemChosen, "r:a", 2, String::new());
        other.record(1.0, EventKind::ItemChosen, "r:a", 2, String::new());
        other.record(2.0, EventKind::ItemChosen, "r:a", 1, String::new());
        let pages = [(Host(1), &one), (Host(2), &other)];
        let pages = pages.map(|(host, feed)| (host, feed.read(9.0, &EventQuery::default()))).into();
        assert_eq!(merge(pages, &Cursor::default(), 10).events.len(), 2);
    }
}
