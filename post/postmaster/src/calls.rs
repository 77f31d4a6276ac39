//! The calls from outside: of operators, and of clients that ask where to go.

use crate::registry::Registry;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response};
use post_host::call::{Asked, Call, Done, Json, Serves, handle};
use post_host::error::{Failure, Kind};
use post_rounds::feed::{self, Wanted};
use post_words::depot::{Ask, Change, Told};
use std::rc::Rc;
use std::time::Duration;

const CONFIG: &str = "/fennelscale/config";
const EVACUATIONS: &str = "/fennelscale/evacuations/";
/// A directory answer counts for so long, or for what the settings allow if that is less: clients that hold an old one come to
/// proxies that have gone.
const TTL: Duration = Duration::from_secs(2);
/// The most addresses in one answer.
const MOST: usize = 64;

/// Items change.
pub struct PatchConfig(Vec<Change>);
/// All items are wanted.
pub struct GetConfig;
/// A zone is emptied or taken back.
pub struct Evacuate(String, bool);
/// What happened.
pub struct Events(Wanted);
/// How this registry is.
pub struct Status;
/// Where to go.
pub struct Resolve {
    region: String,
    zone: String,
}

fn method(asked: &Asked, allowed: &[Method]) -> Result<(), Failure> {
    if allowed.contains(&asked.method) {
        return Ok(());
    }
    let names: Vec<&str> = allowed.iter().map(Method::as_str).collect();
    Err(Failure::new(Kind::Method, names.join(", ")))
}

impl Call for PatchConfig {
    type Answer = Done;
    const FORM: &'static str = "PATCH /fennelscale/config";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        if asked.path != CONFIG || asked.method == Method::GET {
            return None;
        }
        Some(method(asked, &[Method::PATCH, Method::GET]).and_then(|()| {
            post_items::read_call(&asked.body).map(Self).map_err(|invalid| {
                tracing::debug!(event = "invalid-call", body = %String::from_utf8_lossy(&asked.body));
                Failure::new(Kind::Invalid, invalid.0)
            })
        }))
    }
}

impl Call for GetConfig {
    type Answer = Json;
    const FORM: &'static str = "GET /fennelscale/config";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        (asked.path == CONFIG && asked.method == Method::GET).then_some(Ok(Self))
    }
}

impl Call for Evacuate {
    type Answer = Done;
    const FORM: &'static str = "POST, DELETE /fennelscale/evacuations/ZONE";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        let zone = asked.path.strip_prefix(EVACUATIONS)?;
        Some(
            method(asked, &[Method::POST, Method::DELETE])
                .map(|()| Self(zone.to_owned(), asked.method == Method::POST)),
        )
    }
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
            let cursor = |text: String| {
                let (life, number) = text.split_once('-')?;
                Some((u64::from_str_radix(life, 16).ok()?, number.parse().ok()?))
            };
            let after = after
                .map(|text| cursor(text).ok_or_else(|| wrong("after", "the cursor of an answer is wanted")));
            let kind = asked.query("kind").map(|name| {
                let known = feed::Kind::ALL.into_iter().find(|kind| kind.name() == name);
                known.ok_or_else(|| wrong("kind", &feed::Kind::ALL.map(feed::Kind::name).join(", ")))
            });
            let most =
                asked.query("most").map(|most| most.parse().map_err(|_| wrong("most", "a number is wanted")));
            let what = asked.query("what").unwrap_or_default();
            Ok(Self(Wanted {
                after: after.transpose()?,
                kind: kind.transpose()?,
                what,
                most: most.transpose()?.unwrap_or_default(),
            }))
        }))
    }
}

impl Call for Status {
    type Answer = Json;
    const FORM: &'static str = "GET /fennelscale/status";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        (asked.path == "/fennelscale/status").then(|| method(asked, &[Method::GET]).map(|()| Self))
    }
}

impl Call for Resolve {
    type Answer = Json;
    const FORM: &'static str = "GET /fennelscale/resolve";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        if asked.path != "/fennelscale/resolve" {
            return None;
        }
        let place = |name| asked.query(name).unwrap_or_default();
        Some(method(asked, &[Method::GET]).map(|()| Self { region: place("region"), zone: place("zone") }))
    }
}

fn told(told: Told) -> Result<Option<Vec<post_words::depot::Named>>, Failure> {
    match told {
        Told::Done => Ok(None),
        Told::Items(items) => Ok(Some(items)),
        Told::Invalid(text) => Err(Failure::new(Kind::Invalid, text)),
        Told::Conflict(text) => Err(Failure::new(Kind::Conflict, text)),
        Told::Fresh(_) | Told::Unclear => {
            Err(Failure::new(Kind::Unclear, "no quorum of stores has answered"))
        }
    }
}

impl Serves<PatchConfig> for Rc<Registry> {
    async fn serve(&self, call: PatchConfig) -> Result<Done, Failure> {
        let items = call.0.len();
        told(self.ask(Ask::Change(call.0)).await)?;
        tracing::info!(event = "config-acknowledged", items);
        Ok(Done)
    }
}

impl Serves<GetConfig> for Rc<Registry> {
    async fn serve(&self, _: GetConfig) -> Result<Json, Failure> {
        let items = told(self.ask(Ask::Read).await)?.unwrap_or_default();
        Ok(Json(post_items::lay_out(items.iter().map(|(name, entry)| (name.as_str(), entry)))))
    }
}

impl Serves<Evacuate> for Rc<Registry> {
    async fn serve(&self, Evacuate(zone, on): Evacuate) -> Result<Done, Failure> {
        if !self.settings.borrow().zones.contains_key(&zone) {
            return Err(Failure::new(Kind::NotFound, format!("there is no zone {zone}")));
        }
        told(self.ask(Ask::Evacuate(zone.clone(), on, None)).await)?;
        tracing::info!(event = "evacuation-acknowledged", zone, on);
        Ok(Done)
    }
}

fn quoted(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into())
}

impl Serves<Events> for Rc<Registry> {
    async fn serve(&self, Events(wanted): Events) -> Result<Json, Failure> {
        let told = self.round.borrow().feed().read(&wanted);
        let event = |event: &feed::Event| {
            format!(
                "{{\"id\":{},\"kind\":\"{}\",\"what\":{},\"cause\":{},\"at\":\"{:.0}ms\"}}",
                quoted(&event.id),
                event.kind.name(),
                quoted(&event.what),
                quoted(&event.cause),
                event.at
            )
        };
        let events: Vec<String> = told.events.iter().map(event).collect();
        let (life, number) = told.cursor;
        Ok(Json(format!(
            "{{\"version\":{},\"events\":[{}],\"cursor\":\"{life:x}-{number}\",\"missed\":{}}}",
            feed::VERSION,
            events.join(","),
            told.missed
        )))
    }
}

impl Serves<Status> for Rc<Registry> {
    async fn serve(&self, _: Status) -> Result<Json, Failure> {
        let pairs = self.round.borrow().status(self.now());
        let pairs: Vec<String> =
            pairs.iter().map(|(name, value)| format!("\"{name}\":{}", quoted(value))).collect();
        Ok(Json(format!("{{{}}}", pairs.join(","))))
    }
}

impl Serves<Resolve> for Rc<Registry> {
    async fn serve(&self, call: Resolve) -> Result<Json, Failure> {
        let settings = self.settings.borrow().clone();
        let region = match settings.zones.get(&call.zone) {
            Some(region) if call.region.is_empty() => region,
            _ => &call.region,
        };
        let members = self.round.borrow().resolve(self.now(), region);
        if members.is_empty() {
            return Err(Failure::new(Kind::NoRoom, "no proxy takes clients now"));
        }
        let address = |m: &post_words::news::Member| format!("\"{}:{}\"", m.host, m.port);
        let addresses: Vec<String> = members.iter().take(MOST).map(address).collect();
        let ttl = TTL.min(self.settings.borrow().bounds.ttl_most).as_millis();
        Ok(Json(format!("{{\"addresses\":[{}],\"ttl\":\"{ttl}ms\"}}", addresses.join(","))))
    }
}

/// What operators call.
pub async fn control(registry: &Rc<Registry>, asked: Asked) -> Option<Response<Full<Bytes>>> {
    if let Some(answer) = handle::<PatchConfig, _>(registry, &asked).await {
        return Some(answer);
    }
    if let Some(answer) = handle::<GetConfig, _>(registry, &asked).await {
        return Some(answer);
    }
    if let Some(answer) = handle::<Events, _>(registry, &asked).await {
        return Some(answer);
    }
    if let Some(answer) = handle::<Status, _>(registry, &asked).await {
        return Some(answer);
    }
    handle::<Evacuate, _>(registry, &asked).await
}

/// What clients call.
pub async fn directory(registry: &Rc<Registry>, asked: Asked) -> Option<Response<Full<Bytes>>> {
    handle::<Resolve, _>(registry, &asked).await
}
