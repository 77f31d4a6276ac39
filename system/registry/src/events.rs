//! The event feed for readers, merged from the events of all registries and those saved by their stores.

use crate::api::{method, quoted};
use crate::registry::Registry;
use fennelscale_host::call::{ApiRequest, Call, Handler, Json};
use fennelscale_host::error::{Failure, Kind};
use fennelscale_membership::feed::{self, Event};
use fennelscale_membership::merge::{self, Cursor, MergedEvents};
use fennelscale_messages::Host;
use fennelscale_messages::feed::{EventPage, EventQuery, FeedPosition};
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::store::RegistryToStore;
use fennelscale_time::Later;
use hyper::Method;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

/// Timeout for the answers of other registries: two round trips at the longest network delay, plus a read by
/// their stores. Later answers are covered by the next query.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the store to read a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Used instead of a cursor to start at the oldest event saved anywhere.
const OLDEST: &str = "oldest";

/// Reads the events after a cursor; without a cursor, from the start of the current incarnations.
pub struct Events {
    after: Option<Cursor>,
    oldest: bool,
    query: EventQuery,
}

impl Call for Events {
    type Answer = Json;
    const PATTERN: &'static str = "GET /fennelscale/events";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
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
                query: EventQuery {
                    after: None,
                    kind: kind.transpose()?,
                    subject_prefix: what,
                    limit: most.transpose()?.unwrap_or_default(),
                },
            })
        }))
    }
}

impl Handler<Events> for Rc<Registry> {
    async fn serve(&self, call: Events) -> Result<Json, Failure> {
        let merged = self.events(call).await;
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
        let events: Vec<String> = merged.events.iter().map(event).collect();
        Ok(Json(format!(
            "{{\"version\":{},\"events\":[{}],\"cursor\":\"{}\",\"missed\":{}}}",
            feed::VERSION,
            events.join(","),
            merged.cursor,
            merged.missed
        )))
    }
}

/// A query that waits for answers; it is removed when dropped.
struct PendingQuery<'a>(&'a Registry, u64);

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.0.event_queries.borrow_mut().remove(&self.1);
        self.0.saved_event_queries.borrow_mut().remove(&self.1);
    }
}

impl Registry {
    /// The events of all reachable registries after a cursor.
    async fn events(&self, call: Events) -> MergedEvents {
        let Events { after, oldest, query } = call;
        let limit = if query.limit == 0 {
            feed::MAX_EVENTS_PER_READ
        } else {
            query.limit.min(feed::MAX_EVENTS_PER_READ)
        };
        let before = after.unwrap_or_default();
        let query_for = |host: Host| {
            let after = if oldest { Some(FeedPosition::default()) } else { before.0.get(&host).copied() };
            // A full page whatever the limit: later events determine which one may come first.
            EventQuery { after, limit: feed::MAX_EVENTS_PER_READ, ..query.clone() }
        };
        let (local_host, peers) = {
            let state = self.state.borrow();
            (state.local_host(), state.reachable_registries(self.now()))
        };
        let (sender, mut receiver) = mpsc::channel(peers.len().max(1));
        let pending = PendingQuery(self, self.next_id());
        self.event_queries.borrow_mut().insert(pending.1, sender);
        for peer in &peers {
            self.peers.send(*peer, &RegistryMessage::RequestEvents(pending.1, query_for(*peer)));
        }
        let deadline = Instant::now().later_by(REGISTRY_TIMEOUT);
        let mut pages = BTreeMap::from([(local_host, self.local_events(query_for(local_host)).await)]);
        while pages.len() <= peers.len() {
            match timeout_at(deadline, receiver.recv()).await {
                Ok(Some((host, page))) if peers.contains(&host) => drop(pages.insert(host, page)),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => break,
            }
        }
        let mut merged = merge::merge(pages, &before, limit);
        // A host that is no longer a core member has no events.
        let (state, known) = (self.state.borrow(), merged.cursor.0.len());
        merged.cursor.0.retain(|host, _| state.is_registry(*host));
        merged.missed |= merged.cursor.0.len() < known;
        merged
    }

    /// The events of this registry, including those of earlier incarnations saved by its store.
    pub(crate) async fn local_events(&self, query: EventQuery) -> EventPage {
        let (now, incarnation) = (self.now(), self.state.borrow().feed().incarnation());
        let Some(at) = query.after.filter(|at| at.incarnation != incarnation) else {
            return self.state.borrow().feed().read(now, &query);
        };
        if let Some(page) = self.saved_events(query.clone()).await
            && page.position != at
        {
            return page;
        }
        // No more events of earlier incarnations, or the incarnation is unknown: continue with the current
        // one.
        let after = Some(FeedPosition { incarnation, number: 0 });
        let mut page = self.state.borrow().feed().read(now, &EventQuery { after, ..query });
        page.missed |= at.incarnation != 0;
        page
    }

    /// Reads a page of events saved by the store.
    async fn saved_events(&self, query: EventQuery) -> Option<EventPage> {
        let pending = PendingQuery(self, self.next_id());
        let (sender, receiver) = oneshot::channel();
        self.saved_event_queries.borrow_mut().insert(pending.1, sender);
        if !self.send_to_store(&RegistryToStore::ReadEvents(pending.1, query)) {
            return None;
        }
        timeout(PAGE_TIMEOUT, receiver).await.ok()?.ok()?
    }
}
