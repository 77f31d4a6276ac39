//! Clients of a soak: each keeps a connection to one proxy for as long as that process is there, and asks on it for places and keys.

use super::judge::{CONTACT, Observation, State};
use super::operator::{KEYS, PLACES, prefix};
use super::{BAD_PLACES, Soak};
use crate::client::send;
use crate::steps::HOST;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Body;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::seq::IndexedRandom;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Between two requests of a client that does not press.
pub const PACE: Duration = Duration::from_millis(25);
/// A proxy that is not there is tried again after this.
const PAUSE: Duration = Duration::from_millis(50);
/// An answer that takes longer than this is not waited for.
const PATIENCE: Duration = Duration::from_secs(6);
/// The configuration is read back this often.
const READ: Duration = Duration::from_millis(400);

/// What a client asks for.
struct ClientRequest {
    subject: usize,
    path: String,
    key: Option<String>,
}

impl Soak {
    /// A connection to a proxy, made again whenever it has ended; requests follow each other on it.
    pub async fn keep_asking(self: Rc<Self>, proxy: usize, pace: Duration) {
        let at = self.proxies[proxy].frontend;
        while !self.closed.get() {
            let Some(mut line) = connect::<Empty<Bytes>>(at).await else {
                sleep(PAUSE).await;
                continue;
            };
            while !self.closed.get() && line.ready().await.is_ok() {
                let wanted = self.wanted();
                if !self.ask(proxy, &mut line, &wanted).await {
                    break;
                }
                sleep(pace).await;
            }
        }
    }

    fn wanted(&self) -> ClientRequest {
        let mut chance = self.chance.borrow_mut();
        let added = self.added.borrow();
        match chance.random_range(0..20) {
            0..9 => {
                let place = chance.random_range(0..PLACES);
                ClientRequest { subject: place, path: format!("{}x", prefix(place)), key: None }
            }
            9..17 => {
                let key = chance.random_range(0..KEYS);
                ClientRequest {
                    subject: PLACES + key,
                    path: "/keyed/x".into(),
                    key: Some(format!("key{key}")),
                }
            }
            17 => {
                let place = chance.random_range(0..BAD_PLACES);
                ClientRequest { subject: self.bad[place], path: format!("/bad{place}/x"), key: None }
            }
            _ => {
                let subject = added.choose(&mut *chance).copied().unwrap_or(0);
                ClientRequest {
                    subject,
                    path: format!("{}x", self.subjects.borrow()[subject].name),
                    key: None,
                }
            }
        }
    }

    /// One request and what it shows. Whether the connection goes on.
    async fn ask(&self, proxy: usize, line: &mut SendRequest<Empty<Bytes>>, wanted: &ClientRequest) -> bool {
        let number = self.requests.replace(self.requests.get() + 1);
        let mut request = Request::get(&wanted.path)
            .header("Host", HOST)
            .header("Fennelscale-Request-Id", format!("soak{number:08}"))
            .header("Fennelscale-Deadline-Ms", "5000");
        if let Some(key) = &wanted.key {
            request = request.header("X-Api-Key", key);
        }
        let Ok(request) = request.body(Empty::new()) else { return false };
        let life = self.proxies[proxy].life.get();
        let (sent, in_touch, stretch) = (self.now(), self.in_touch(proxy), self.stretch());
        let answer = timeout(PATIENCE, async {
            let (head, body) = line.send_request(request).await.ok()?.into_parts();
            body.collect().await.ok()?;
            Some(Response::from_parts(head, ()))
        });
        let Ok(Some(response)) = answer.await else {
            self.count("no answer");
            return false;
        };
        self.count(&response.status().as_u16().to_string());
        if let Some(state) = shown(&response, wanted)
            && life == self.proxies[proxy].life.get()
        {
            let by = self.proxies[proxy].name();
            let (subject, answered) = (wanted.subject, self.now());
            let observation =
                Observation { subject, by, life: Some(life), sent, answered, state, in_touch, stretch };
            self.observations.borrow_mut().push(observation);
        }
        true
    }

    /// Reads the configuration back at any control address, as long as the soak lasts.
    pub async fn keep_reading(self: Rc<Self>) {
        while !self.over.get() {
            sleep(READ).await;
            let to = {
                let mut chance = self.chance.borrow_mut();
                self.controls.choose(&mut *chance).copied()
            };
            if let Some(to) = to {
                let soak = self.clone();
                // While the soak lasts a machine may be unsure of the newest configuration.
                spawn_local(async move { drop(soak.read(to).await) });
            }
        }
    }

    /// Reads the configuration at the end, again and again as operators do: a machine that is not sure of the newest configuration
    /// answers 503, and may do so for as long as whoever was faulty is out of touch.
    pub async fn read_at_end(self: Rc<Self>, to: SocketAddr) -> Result<(), String> {
        let until = self.now() + CONTACT;
        loop {
            match self.clone().read(to).await {
                Err(_) if self.now() < until => sleep(READ).await,
                result => return result,
            }
        }
    }

    /// One reading; each item that it shows, or does not, is an observation. The error says why there was none.
    pub async fn read(self: Rc<Self>, to: SocketAddr) -> Result<(), String> {
        let sent = self.now();
        let reply = send(to, Method::GET, "/fennelscale/config", &[], "").await;
        let Some(reply) = reply else { return Err("no answer".into()) };
        if reply.status != 200 {
            return Err(format!("{}: {}", reply.status, reply.text()));
        }
        let (answered, shown) = (self.now(), revisions(&reply.text()));
        for (name, subject) in self.read_back() {
            let state = shown.get(&name).map_or(State::Absent, |revision| State::Is(revision.clone()));
            let by = format!("control {to}");
            let stretch = Duration::ZERO;
            let observation =
                Observation { subject, by, life: None, sent, answered, state, in_touch: true, stretch };
            self.observations.borrow_mut().push(observation);
        }
        Ok(())
    }
}

pub(super) async fn connect<B>(at: SocketAddr) -> Option<SendRequest<B>>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stream = timeout(PATIENCE, TcpStream::connect(at)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move { drop(connection.await) });
    Some(sender)
}

/// What an answer shows of what was asked for; nothing where it is neither served nor refused by the configuration.
fn shown(response: &Response<()>, wanted: &ClientRequest) -> Option<State> {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    match (response.status().as_u16(), &wanted.key) {
        (200, Some(_)) => Some(State::Is(header("fennelscale-tenant-name")?.to_owned())),
        (200, None) => {
            let backend = header("fennelscale-instance-id")?.strip_prefix("i-")?;
            Some(State::Is(backend.split('-').next()?.to_owned()))
        }
        (401, Some(_)) | (404, None) => Some(State::Absent),
        _ => None,
    }
}

/// The revision of each item of a configuration that was read.
fn revisions(text: &str) -> BTreeMap<String, String> {
    let read: Value = sonic_rs::from_str(text).unwrap_or_default();
    let list = |of: &Value, name: &str| -> Vec<Value> {
        of.get(name).and_then(|list| list.as_array()).map(|list| list.to_vec()).unwrap_or_default()
    };
    let rules =
        list(&read, "listeners").iter().flat_map(|listener| list(listener, "policy")).collect::<Vec<_>>();
    let text = |item: &Value, name: &str| {
        item.get(name).and_then(|value| value.as_str()).unwrap_or_default().to_owned()
    };
    rules
        .iter()
        .chain(&list(&read, "tenants"))
        .map(|item| (text(item, "name"), text(item, "revision")))
        .collect()
}
