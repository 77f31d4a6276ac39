//! One feed out of what several registries have: what a reader of any of them gets.
//!
//! # What holds
//!
//! - Each event of each stream is told, once in one answer by its id ([`merge`]); over answers at least once.
//! - Events of one thing (`what`) come in the order in which any registry has them. Registries agree on that order, since each
//!   takes versions of a thing in theirs. Of one that could not be asked in time events come later, by the same cursor, and of one
//!   that has more than fit in one telling ([`crate::feed::MAX_EVENTS_PER_READ`]) nobody knows what comes behind; then an older version can
//!   come after a newer one, and the mark at the end of the id tells.
//! - A cursor is a place in each registry's feed ([`Cursor`]): it is as good at any other gateway, and after a start of all.

use fennelscale_messages::Host;
use fennelscale_messages::feed::{Event, EventKind, EventPage, FeedPosition};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::str::FromStr;

/// Registries in one cursor at most: what comes from outside is bounded.
const MOST: usize = 256;

/// How far a reader is in each registry's feed.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Cursor(pub BTreeMap<Host, FeedPosition>);

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (host, at)) in self.0.iter().enumerate() {
            let dot = if n > 0 { "." } else { "" };
            write!(f, "{dot}{:x}_{:x}-{}", host.0, at.incarnation, at.number)?;
        }
        Ok(())
    }
}

impl FromStr for Cursor {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut all = BTreeMap::new();
        for part in text.split('.').filter(|part| !part.is_empty()) {
            let place = || {
                let (host, at) = part.split_once('_')?;
                let (life, number) = at.split_once('-')?;
                let life = u64::from_str_radix(life, 16).ok()?;
                Some((
                    Host(u32::from_str_radix(host, 16).ok()?),
                    FeedPosition { incarnation: life, number: number.parse().ok()? },
                ))
            };
            let (host, at) = place().ok_or(())?;
            all.insert(host, at);
            if all.len() > MOST {
                return Err(());
            }
        }
        Ok(Self(all))
    }
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MergedEvents {
    /// Events and whose feed each is from.
    pub events: Vec<(Host, Event)>,
    /// For the next question.
    pub cursor: Cursor,
    /// Events may have been missed.
    pub missed: bool,
}

/// The version in an event's mark, of kinds whose things have versions.
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

struct Stream {
    host: Host,
    told: EventPage,
    /// Events that are left, and how many are not.
    left: VecDeque<Event>,
    gone: usize,
    /// The place of each id, and where each thing's events are that are left.
    ids: HashMap<String, usize>,
    things: HashMap<String, VecDeque<usize>>,
    place: FeedPosition,
}

impl Stream {
    fn new(host: Host, mut told: EventPage, before: Option<FeedPosition>) -> Self {
        let left: VecDeque<Event> = std::mem::take(&mut told.events).into();
        let (mut ids, mut things) =
            (HashMap::<String, usize>::new(), HashMap::<String, VecDeque<usize>>::new());
        for (n, event) in left.iter().enumerate() {
            // The second of an id in one stream is a repeat: it goes with the first.
            if let Entry::Vacant(place) = ids.entry(event.id.clone()) {
                place.insert(n);
                things.entry(event.subject.clone()).or_default().push_back(n);
            }
        }
        let first =
            left.front().map(|event| FeedPosition { number: event.position.number - 1, ..event.position });
        let place = before.or(first).unwrap_or(told.position);
        Self { host, told, left, gone: 0, ids, things, place }
    }

    /// How long ago its first event was; one of an earlier life longer than any of this one.
    fn age(&self) -> f64 {
        match (self.left.front(), self.told.now) {
            (Some(event), Some(now)) if event.position.incarnation == self.told.position.incarnation => {
                now - event.at
            }
            (Some(_), _) => f64::INFINITY,
            (None, _) => f64::NEG_INFINITY,
        }
    }

    fn first_of(&self, what: &str) -> Option<(usize, &Event)> {
        let place = *self.things.get(what)?.front()?;
        Some((place, self.left.get(place - self.gone)?))
    }

    /// Told, or told by another: no more of it here.
    fn over(&mut self, event: &Event) {
        let Some(place) = self.ids.get(&event.id) else { return };
        if let Some(places) = self.things.get_mut(&event.subject) {
            places.retain(|other| other != place);
        }
    }

    /// Leaves out what has been told from the front on.
    fn skip(&mut self, seen: &HashSet<String>) {
        while let Some(event) = self.left.front().filter(|event| seen.contains(&event.id)) {
            self.place = event.position;
            self.left.pop_front();
            self.gone += 1;
        }
        if self.left.is_empty() {
            self.place = self.told.position;
        }
    }

    /// Whether it has an event of the same thing that comes before this one: by its version, else by its place here.
    fn goes_before(&self, event: &Event) -> bool {
        let Some((first, other)) = self.first_of(&event.subject) else { return false };
        match (version(other), version(event)) {
            (Some(other), Some(event)) => other < event,
            _ => self.ids.get(&event.id).is_some_and(|place| first < *place),
        }
    }
}

/// Joins what registries have told, after a cursor, to one answer of so many events at most.
pub fn merge(told: BTreeMap<Host, EventPage>, before: &Cursor, most: usize) -> MergedEvents {
    let mut joined =
        MergedEvents { missed: told.values().any(|told| told.missed), ..MergedEvents::default() };
    let mut streams: Vec<Stream> =
        told.into_iter().map(|(host, told)| Stream::new(host, told, before.0.get(&host).copied())).collect();
    let mut seen: HashSet<String> = HashSet::new();
    loop {
        streams.iter_mut().for_each(|stream| stream.skip(&seen));
        // What is told from behind takes no reader further: an answer has more rather than leave it where it was.
        if joined.events.len() >= most && streams.iter().any(|stream| stream.gone > 0) {
            break;
        }
        // The oldest first, by what each clock says, as far as things' orders leave it.
        let free = |event: &Event| !streams.iter().any(|stream| stream.goes_before(event));
        let older = |a: &&Stream, b: &&Stream| a.age().total_cmp(&b.age());
        let heads = streams.iter().filter(|stream| stream.left.front().is_some_and(&free));
        let head = heads.max_by(older).and_then(|stream| Some((stream.host, stream.left.front()?)));
        // Streams whose heads wait for each other: one from behind, which is told again if the answer ends before its place.
        let behind = || {
            let firsts = streams.iter().flat_map(|stream| {
                stream.things.keys().filter_map(|what| Some((stream.host, stream.first_of(what)?.1)))
            });
            firsts.into_iter().find(|(_, event)| free(event))
        };
        // Registries that do not agree on an order (one has forgotten) must not hold a reader up.
        let any = || streams.iter().find_map(|stream| Some((stream.host, stream.left.front()?)));
        let Some((host, event)) = head.or_else(behind).or_else(any) else { break };
        let event = event.clone();
        streams.iter_mut().for_each(|stream| stream.over(&event));
        seen.insert(event.id.clone());
        joined.events.push((host, event));
    }
    joined.cursor = before.clone();
    joined.cursor.0.extend(streams.iter().map(|stream| (stream.host, stream.place)));
    joined
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelscale_messages::feed::EventQuery;
    use proptest::prelude::*;

    /// What one registry saw: of each thing versions in their order, some of them skipped, and things of its own.
    fn saw(host: u32, steps: &[(usize, u64, bool)]) -> crate::feed::Feed {
        let mut feed = crate::feed::Feed::new(100 + u64::from(host));
        let mut versions = [0; 4];
        for (n, (thing, ahead, own)) in steps.iter().enumerate() {
            let at = n as f64 * 10.0;
            if *own {
                feed.record_local(at, EventKind::DutyTaken, &format!("tenants-{thing}"), String::new());
            } else {
                versions[*thing] += ahead;
                let what = format!("r:{thing}");
                feed.record(at, EventKind::ItemChosen, &what, versions[*thing], String::new());
            }
        }
        feed
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn a_reader_gets_every_event_and_each_thing_in_its_order(
            saw_what in prop::collection::vec(
                prop::collection::vec((0..4_usize, 1..3_u64, prop::bool::weighted(0.2)), 0..40), 1..6),
            most in 1..20_usize,
            silent in prop::collection::vec((0..6_usize, 0..6_usize), 0..6),
        ) {
            let feeds: Vec<_> =
                saw_what.iter().enumerate().map(|(n, steps)| saw(n as u32, steps)).collect();
            let (mut cursor, mut got) = (Cursor::default(), Vec::new());
            let mut last: HashMap<String, u64> = HashMap::new();
            for round in 0.. {
                // Now and then one does not answer in time.
                let answers = |n: usize| !silent.contains(&(round, n));
                let told = feeds.iter().enumerate().filter(|(n, _)| answers(*n)).map(|(n, feed)| {
                    let host = Host(n as u32);
                    let after = cursor.0.get(&host).copied();
                    (host, feed.read(1000.0, &EventQuery { after, ..EventQuery::default() }))
                });
                let joined = merge(told.collect(), &cursor, most);
                prop_assert!(!joined.missed && (joined.events.is_empty() || joined.cursor != cursor), "no progress");
                let ids: HashSet<&str> = joined.events.iter().map(|(_, e)| e.id.as_str()).collect();
                prop_assert_eq!(ids.len(), joined.events.len(), "one event, not two, in an answer");
                // Only who was silent may bring an older version later.
                if silent.is_empty() {
                    for (_, event) in &joined.events {
                        if let Some(version) = version(event) {
                            // What was told from behind may come again.
                            let before = last.get(&event.subject).copied().unwrap_or(0);
                            let again = got.contains(&event.id);
                            prop_assert!(again || before < version, "{} after {}: {}", version, before, event.id);
                            last.insert(event.subject.clone(), version.max(before));
                        }
                    }
                }
                prop_assert_eq!(joined.cursor.to_string().parse::<Cursor>(), Ok(joined.cursor.clone()));
                let done = joined.events.is_empty() && joined.cursor == cursor && round > 6;
                got.extend(joined.events.into_iter().map(|(_, event)| event.id));
                cursor = joined.cursor;
                if done {
                    break;
                }
            }
            let got: HashSet<String> = got.into_iter().collect();
            for feed in &feeds {
                let all = feed.read(1000.0, &EventQuery::default());
                prop_assert!(all.events.iter().all(|event| got.contains(&event.id)), "one is missing");
            }
        }
    }

    #[test]
    fn a_cursor_that_cannot_be_is_none() {
        for text in ["5d2f-12", "x_1-2", "1_x-2", "1_2-x", "1_2"] {
            assert!(text.parse::<Cursor>().is_err(), "{text}");
        }
        let many: Vec<String> = (0..300).map(|n| format!("{n:x}_1-1")).collect();
        assert!(many.join(".").parse::<Cursor>().is_err(), "a cursor is bounded");
        assert_eq!("".parse::<Cursor>(), Ok(Cursor::default()));
    }

    #[test]
    fn registries_that_disagree_hold_no_reader_up() {
        let (mut one, mut other) = (crate::feed::Feed::new(1), crate::feed::Feed::new(2));
        one.record(1.0, EventKind::ItemChosen, "r:a", 1, String::new());
        one.record(2.0, EventKind::ItemChosen, "r:a", 2, String::new());
        other.record(1.0, EventKind::ItemChosen, "r:a", 2, String::new());
        other.record(2.0, EventKind::ItemChosen, "r:a", 1, String::new());
        let told = [(Host(1), &one), (Host(2), &other)];
        let told = told.map(|(host, feed)| (host, feed.read(9.0, &EventQuery::default()))).into();
        assert_eq!(merge(told, &Cursor::default(), 10).events.len(), 2);
    }
}
