//! The event feed as readers get it: what this registry has, what the others have, what their stores have kept.

use crate::api::{method, quoted};
use crate::registry::Registry;
use fennelscale_host::call::{Asked, Call, Json, Serves};
use fennelscale_host::error::{Failure, Kind};
use fennelscale_membership::feed::{self, Event};
use fennelscale_membership::merge::{self, Cursor, MergedEvents};
use fennelscale_messages::Host;
use fennelscale_messages::feed::{EventPage, EventQuery, FeedPosition};
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::store::RegistryToStore;
use hyper::Method;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

/// Other registries have so long to answer: the longest way there and back twice, and their stores' reading. What comes later
/// comes with the next answer.
const GATHER: Duration = Duration::from_millis(500);
/// The store has so long to read a page.
const PAGE: Duration = Duration::from_millis(300);
/// Instead of a cursor: from the oldest event that any disk has.
const OLDEST: &str = "oldest";

/// What happened, after a cursor; that of nobody is from the beginning of the present lives.
pub struct Events {
    after: Option<Cursor>,
    oldest: bool,
    wanted: EventQuery,
}

impl Call for Events {
    type Answer = Json;
    const FORM: &'static str = "GET /fennelscale/events";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        if asked.path != "/fennelscale/events" {
            return None;
        }
        Some(method(asked, &[Method::GET]).and_then(|()| {
            let wrong = |what: &str, help: &str| Failure::new(Kind::Malformed, format!("{what}: {help}"));
            let after = asked.query("after").filter(|after| !after.is_empty());
            let oldest = after.as_deref() == Some(OLDEST);
            let cursor = |text: String| {
                text.parse().map_err(|()| wrong("after", "the cursor of an answer is wanted, or oldest"))
            };
            let kind = asked.query("kind").map(|name| {
                let known = feed::EventKind::ALL.into_iter().find(|kind| kind.name() == name);
                known
                    .ok_or_else(|| wrong("kind", &feed::EventKind::ALL.map(feed::EventKind::name).join(", ")))
            });
            let most =
                asked.query("most").map(|most| most.parse().map_err(|_| wrong("most", "a number is wanted")));
            let what = asked.query("what").unwrap_or_default();
            Ok(Self {
                after: after.filter(|_| !oldest).map(cursor).transpose()?,
                oldest,
                wanted: EventQuery {
                    after: None,
                    kind: kind.transpose()?,
                    subject_prefix: what,
                    limit: most.transpose()?.unwrap_or_default(),
                },
            })
        }))
    }
}

impl Serves<Events> for Rc<Registry> {
    async fn serve(&self, call: Events) -> Result<Json, Failure> {
        let joined = self.events(call).await;
        let event = |(host, event): &(Host, Event)| {
            format!(
                "{{\"id\":{},\"kind\":\"{}\",\"what\":{},\"cause\":{},\"at\":\"{:.0}ms\",\"by\":\"{host}\",\"life\":\"{:x}\"}}",
                quoted(&event.id),
                event.kind.name(),
                quoted(&event.subject),
                quoted(&event.cause),
                event.at,
                event.position.incarnation
            )
        };
        let events: Vec<String> = joined.events.iter().map(event).collect();
        Ok(Json(format!(
            "{{\"version\":{},\"events\":[{}],\"cursor\":\"{}\",\"missed\":{}}}",
            feed::VERSION,
            events.join(","),
            joined.cursor,
            joined.missed
        )))
    }
}

/// A reader that waits for others; dropped, it waits no more.
struct Question<'a>(&'a Registry, u64);

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.0.readers.borrow_mut().remove(&self.1);
        self.0.past.borrow_mut().remove(&self.1);
    }
}

impl Registry {
    /// What all registries that are heard have after a cursor.
    async fn events(&self, call: Events) -> MergedEvents {
        let Events { after, oldest, wanted } = call;
        let most = if wanted.limit == 0 {
            feed::MAX_EVENTS_PER_READ
        } else {
            wanted.limit.min(feed::MAX_EVENTS_PER_READ)
        };
        let before = after.unwrap_or_default();
        let place = |host: Host| {
            let after = if oldest { Some(FeedPosition::default()) } else { before.0.get(&host).copied() };
            // All that fits, however few are wanted: what comes behind decides what may be told first.
            EventQuery { after, limit: feed::MAX_EVENTS_PER_READ, ..wanted.clone() }
        };
        let (me, peers) = {
            let round = self.round.borrow();
            (round.local_host(), round.reachable_registries(self.now()))
        };
        let (sender, mut receiver) = mpsc::channel(peers.len().max(1));
        let question = Question(self, self.number());
        self.readers.borrow_mut().insert(question.1, sender);
        for peer in &peers {
            self.peers.send(*peer, &RegistryMessage::RequestEvents(question.1, place(*peer)));
        }
        let until = Instant::now() + GATHER;
        let mut told = BTreeMap::from([(me, self.own_events(place(me)).await)]);
        while told.len() <= peers.len() {
            match timeout_at(until, receiver.recv()).await {
                Ok(Some((host, events))) if peers.contains(&host) => drop(told.insert(host, events)),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => break,
            }
        }
        let mut joined = merge::merge(told, &before, most);
        // A machine that is no seat any more has nothing to tell.
        let (round, known) = (self.round.borrow(), joined.cursor.0.len());
        joined.cursor.0.retain(|host, _| round.is_registry(*host));
        joined.missed |= joined.cursor.0.len() < known;
        joined
    }

    /// What this registry has, and what its store has of earlier lives.
    pub(crate) async fn own_events(&self, wanted: EventQuery) -> EventPage {
        let (now, life) = (self.now(), self.round.borrow().feed().life());
        let Some(at) = wanted.after.filter(|at| at.incarnation != life) else {
            return self.round.borrow().feed().read(now, &wanted);
        };
        if let Some(told) = self.past(wanted.clone()).await
            && told.position != at
        {
            return told;
        }
        // Nothing more of earlier lives, or nothing is known of that one: on with the life at hand.
        let after = Some(FeedPosition { incarnation: life, number: 0 });
        let mut told = self.round.borrow().feed().read(now, &EventQuery { after, ..wanted });
        told.missed |= at.incarnation != 0;
        told
    }

    /// A page of what the store has kept.
    async fn past(&self, wanted: EventQuery) -> Option<EventPage> {
        let question = Question(self, self.number());
        let (sender, receiver) = oneshot::channel();
        self.past.borrow_mut().insert(question.1, sender);
        if !self.tell_depot(&RegistryToStore::ReadEvents(question.1, wanted)) {
            return None;
        }
        timeout(PAGE, receiver).await.ok()?.ok()?
    }
}
