//! The records of one request, collected from the proxies here and through the other registries.

use crate::api::method;
use crate::registry::{Registry, RequestRecords};
use fennelscale_host::call::{ApiRequest, Call, Handler, Json};
use fennelscale_host::error::{Failure, Kind};
use fennelscale_messages::Host;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::RegistryToProxy;
use fennelscale_time::Later;
use hyper::Method;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

const REQUESTS_PATH: &str = "/fennelscale/requests/";
/// Timeout for proxies: a round trip at the longest network delay, plus a busy moment.
const PROXY_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout for other registries and their proxies.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum length of a request id.
const MAX_ID_LENGTH: usize = 256;

/// Reads the records of the request with this id.
pub struct Request(String);

impl Call for Request {
    type Answer = Json;
    const PATTERN: &'static str = "GET /fennelscale/requests/ID";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        let id = asked.path.strip_prefix(REQUESTS_PATH)?;
        Some(method(asked, &[Method::GET]).and_then(|()| {
            if id.is_empty() || id.len() > MAX_ID_LENGTH {
                return Err(Failure::new(Kind::Malformed, "the id of a request is wanted"));
            }
            Ok(Self(id.to_owned()))
        }))
    }
}

impl Handler<Request> for Rc<Registry> {
    async fn serve(&self, Request(id): Request) -> Result<Json, Failure> {
        let records = self.request_records(fennelscale_messages::hash(id.as_bytes())).await;
        let lines: Vec<String> = records
            .iter()
            .map(|(host, known)| format!("{{\"proxy\":\"{host}\",\"course\":{known}}}"))
            .collect();
        Ok(Json(format!("{{\"requests\":[{}]}}", lines.join(","))))
    }
}

/// A query that waits for answers; it is removed when dropped.
struct RecordQuery<'a> {
    registry: &'a Registry,
    id: u64,
    answers: mpsc::Receiver<(Host, RequestRecords)>,
}

impl Drop for RecordQuery<'_> {
    fn drop(&mut self) {
        self.registry.record_queries.borrow_mut().remove(&self.id);
    }
}

impl<'a> RecordQuery<'a> {
    fn new(registry: &'a Registry, capacity: usize) -> Self {
        let (sender, answers) = mpsc::channel(capacity.max(1));
        let id = registry.next_id();
        registry.record_queries.borrow_mut().insert(id, sender);
        Self { registry, id, answers }
    }

    /// Collects `count` answers, or those that arrive before the timeout.
    async fn all(mut self, mut count: usize, timeout: Duration) -> RequestRecords {
        let (deadline, mut records) = (Instant::now().later_by(timeout), Vec::new());
        while count > 0
            && let Ok(Some((_, more))) = timeout_at(deadline, self.answers.recv()).await
        {
            count -= 1;
            records.extend(more.into_iter().filter(|(_, text)| !text.is_empty()));
        }
        records
    }
}

impl Registry {
    /// The records of a request at the proxies with a session here.
    pub(crate) async fn local_request_records(&self, id: u64) -> RequestRecords {
        let proxies = self.state.borrow().sessions();
        let query = RecordQuery::new(self, proxies.len());
        let asked = {
            let sessions = self.sessions.borrow();
            let message = RegistryToProxy::LookUpRequest(query.id, id);
            let connections = proxies.iter().filter_map(|proxy| sessions.get(proxy));
            connections.filter(|(_, connection)| connection.send(&message)).count()
        };
        query.all(asked, PROXY_TIMEOUT).await
    }

    async fn request_records(&self, id: u64) -> RequestRecords {
        let peers = self.state.borrow().reachable_registries(self.now());
        let query = RecordQuery::new(self, peers.len());
        for peer in &peers {
            self.peers.send(*peer, &RegistryMessage::LookUpRequest(query.id, id));
        }
        let mut records = self.local_request_records(id).await;
        records.extend(query.all(peers.len(), REGISTRY_TIMEOUT).await);
        records
    }
}
