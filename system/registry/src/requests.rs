//! What became of one request: asked of the proxies here and, by the other registries, of all.

use crate::api::method;
use crate::registry::{Known, Registry};
use fennelscale_host::call::{Asked, Call, Json, Serves};
use fennelscale_host::error::{Failure, Kind};
use fennelscale_messages::Host;
use fennelscale_messages::registry::RegistryMessage;
use fennelscale_messages::session::RegistryToProxy;
use hyper::Method;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

const REQUESTS: &str = "/fennelscale/requests/";
/// Proxies have so long to answer: the longest way there and back, and a busy moment.
const PROXIES: Duration = Duration::from_millis(350);
/// Other registries and their proxies have so long.
const REGISTRIES: Duration = Duration::from_millis(700);
/// The longest id of a request.
const LONGEST: usize = 256;

/// What became of the request with this id.
pub struct Request(String);

impl Call for Request {
    type Answer = Json;
    const FORM: &'static str = "GET /fennelscale/requests/ID";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        let id = asked.path.strip_prefix(REQUESTS)?;
        Some(method(asked, &[Method::GET]).and_then(|()| {
            if id.is_empty() || id.len() > LONGEST {
                return Err(Failure::new(Kind::Malformed, "the id of a request is wanted"));
            }
            Ok(Self(id.to_owned()))
        }))
    }
}

impl Serves<Request> for Rc<Registry> {
    async fn serve(&self, Request(id): Request) -> Result<Json, Failure> {
        let known = self.request(fennelscale_messages::hash(id.as_bytes())).await;
        let lines: Vec<String> = known
            .iter()
            .map(|(host, known)| format!("{{\"proxy\":\"{host}\",\"course\":{known}}}"))
            .collect();
        Ok(Json(format!("{{\"requests\":[{}]}}", lines.join(","))))
    }
}

/// Somebody who waits for answers; dropped, they are not waited for any more.
struct Seeker<'a> {
    registry: &'a Registry,
    number: u64,
    answers: mpsc::Receiver<(Host, Known)>,
}

impl Drop for Seeker<'_> {
    fn drop(&mut self) {
        self.registry.seekers.borrow_mut().remove(&self.number);
    }
}

impl<'a> Seeker<'a> {
    fn new(registry: &'a Registry, most: usize) -> Self {
        let (sender, answers) = mpsc::channel(most.max(1));
        let number = registry.number();
        registry.seekers.borrow_mut().insert(number, sender);
        Self { registry, number, answers }
    }

    /// The answers of so many, as far as they come in time.
    async fn all(mut self, mut count: usize, patience: Duration) -> Known {
        let (until, mut known) = (Instant::now() + patience, Vec::new());
        while count > 0
            && let Ok(Some((_, more))) = timeout_at(until, self.answers.recv()).await
        {
            count -= 1;
            known.extend(more.into_iter().filter(|(_, text)| !text.is_empty()));
        }
        known
    }
}

impl Registry {
    /// What the proxies with a session here know of a request.
    pub(crate) async fn own_request(&self, id: u64) -> Known {
        let proxies = self.round.borrow().sessions();
        let seeker = Seeker::new(self, proxies.len());
        let asked = {
            let sessions = self.sessions.borrow();
            let ask = RegistryToProxy::LookUpRequest(seeker.number, id);
            let lines = proxies.iter().filter_map(|proxy| sessions.get(proxy));
            lines.filter(|(_, line)| line.send(&ask)).count()
        };
        seeker.all(asked, PROXIES).await
    }

    async fn request(&self, id: u64) -> Known {
        let peers = self.round.borrow().reachable_registries(self.now());
        let seeker = Seeker::new(self, peers.len());
        for peer in &peers {
            self.peers.send(*peer, &RegistryMessage::LookUpRequest(seeker.number, id));
        }
        let mut known = self.own_request(id).await;
        known.extend(seeker.all(peers.len(), REGISTRIES).await);
        known
    }
}
