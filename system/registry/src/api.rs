//! The calls from outside: of operators, and of clients that ask where to go.

use crate::events::Events;
use crate::registry::Registry;
use crate::requests::Request;
use bytes::Bytes;
use fennelscale_config::ParsedItem;
use fennelscale_host::call::{Asked, Call, Done, Json, Serves, handle};
use fennelscale_host::error::{Failure, Kind};
use fennelscale_maintenance::order::Node;
use fennelscale_maintenance::plan::Reason;
use fennelscale_membership::maintenance::{NodeStatus, OrderStatus};
use fennelscale_messages::store::{Change, Entry, StoreRequest, StoreResponse};
use http_body_util::Full;
use hyper::{Method, Response};
use std::rc::Rc;
use std::time::Duration;

const CONFIG: &str = "/fennelscale/config";
const MAINTENANCE: &str = "/fennelscale/maintenance";
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
/// How this registry is.
pub struct Status;
/// How far work orders are.
pub struct Maintenance;
/// Whether a call's orders can be carried out, without sending it.
pub struct Rehearse(Vec<Change>);
/// What proxies have counted of failure orders.
pub struct Failures;
/// Where to go.
pub struct Resolve {
    region: String,
    zone: String,
}

pub(crate) fn method(asked: &Asked, allowed: &[Method]) -> Result<(), Failure> {
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
            fennelscale_config::parse_call(&asked.body).map(Self).map_err(|invalid| {
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

impl Call for Maintenance {
    type Answer = Json;
    const FORM: &'static str = "GET /fennelscale/maintenance";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        (asked.path == MAINTENANCE && asked.method != Method::POST)
            .then(|| method(asked, &[Method::GET, Method::POST]).map(|()| Self))
    }
}

impl Call for Rehearse {
    type Answer = Json;
    const FORM: &'static str = "POST /fennelscale/maintenance";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        (asked.path == MAINTENANCE && asked.method == Method::POST).then(|| {
            let changes = fennelscale_config::parse_call(&asked.body).map(Self);
            changes.map_err(|invalid| Failure::new(Kind::Invalid, invalid.0))
        })
    }
}

impl Call for Failures {
    type Answer = Json;
    const FORM: &'static str = "GET /fennelscale/failures";
    fn read(asked: &Asked) -> Option<Result<Self, Failure>> {
        (asked.path == "/fennelscale/failures").then(|| method(asked, &[Method::GET]).map(|()| Self))
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

fn told(told: StoreResponse) -> Result<Option<Vec<fennelscale_messages::store::NamedEntry>>, Failure> {
    match told {
        StoreResponse::Done => Ok(None),
        StoreResponse::Items(items) => Ok(Some(items)),
        StoreResponse::Invalid(text) => Err(Failure::new(Kind::Invalid, text)),
        StoreResponse::Conflict(text) => Err(Failure::new(Kind::Conflict, text)),
        StoreResponse::Forgotten => {
            let text = "older than the versions that are remembered: without effect, and not known whether it was ever taken";
            Err(Failure::new(Kind::Unclear, text))
        }
        StoreResponse::Fresh(_) | StoreResponse::Unclear => {
            Err(Failure::new(Kind::Unclear, "no quorum of stores has answered"))
        }
    }
}

impl Serves<PatchConfig> for Rc<Registry> {
    async fn serve(&self, call: PatchConfig) -> Result<Done, Failure> {
        let items = call.0.len();
        if let Some((order, node, why)) = rehearse(self, &call.0).into_iter().next() {
            return Err(Failure::new(Kind::Invalid, format!("order {order}: {node}: {why}")));
        }
        let mut changes = call.0;
        share_failures(self, &mut changes)?;
        told(self.ask(StoreRequest::Change(changes)).await)?;
        tracing::info!(event = "config-acknowledged", items);
        Ok(Done)
    }
}

/// What stands in the way of a call's work orders for good. A call without any costs nothing.
fn rehearse(registry: &Rc<Registry>, changes: &[Change]) -> Vec<(String, Node, Reason)> {
    let maintenance = |name: &str| {
        name.starts_with(fennelscale_maintenance::CONTRACT_PREFIX)
            || name.starts_with(fennelscale_maintenance::ORDER_PREFIX)
    };
    let named = changes.iter().filter(|change| maintenance(&change.name)).map(|change| {
        let Change { name, revision, host, body } = change.clone();
        (name, Entry { revision, host, body, ..Entry::default() })
    });
    let named: Vec<_> = named.collect();
    if named.is_empty() {
        return Vec::new();
    }
    registry.round.borrow_mut().check_orders(registry.now(), &named)
}

/// Sees that the failure orders of a call are within what the settings allow, and writes beside each which proxies share it. The
/// store keeps to those that stand there already.
fn share_failures(registry: &Rc<Registry>, changes: &mut [Change]) -> Result<(), Failure> {
    for change in
        changes.iter_mut().filter(|change| change.name.starts_with(fennelscale_fault_injection::FAILURE))
    {
        let fact = change
            .body
            .as_deref()
            .map(|body| fennelscale_config::parse_item(&change.name, &change.host, body));
        let Some(Ok(ParsedItem::FailureOrder(order))) = fact else { continue };
        let invalid =
            |text: String| Failure::new(Kind::Invalid, format!("failure order {}: {text}", order.name));
        let settings = registry.settings.borrow().clone();
        let Some(limits) = &settings.failures else {
            return Err(invalid("the settings have no table failureOrders, so there are none".into()));
        };
        limits.allow(&order).map_err(invalid)?;
        let members = registry.round.borrow().members(registry.now());
        if order.most < members.len() as u64 {
            let text = format!("most.inAll: one for each of {} proxies at least is wanted", members.len());
            return Err(invalid(text));
        }
        let lives: Vec<String> =
            members.iter().map(|m| fennelscale_fault_injection::proxy(m.host, m.incarnation)).collect();
        change.host = lives.join(" ");
    }
    Ok(())
}

impl Serves<Failures> for Rc<Registry> {
    async fn serve(&self, _: Failures) -> Result<Json, Failure> {
        let counts = self.round.borrow().failure_counts();
        let sums = |[served, refused, failed]: &[u64; 3]| {
            format!("{{\"served\":{served},\"refused\":{refused},\"failed\":{failed}}}")
        };
        let lines = counts.iter().flat_map(|(proxy, life, counts)| {
            counts.iter().map(move |(order, [named, failed, over], [before, within])| {
                format!(
                    "{{\"order\":{},\"proxy\":\"{proxy}\",\"life\":\"{life:x}\",\"named\":{named},\"failed\":{failed},\"untouched\":{over},\"othersBefore\":{},\"others\":{}}}",
                    quoted(order),
                    sums(before),
                    sums(within)
                )
            })
        });
        let lines: Vec<String> = lines.collect();
        Ok(Json(format!("{{\"met\":[{}]}}", lines.join(","))))
    }
}

impl Serves<Rehearse> for Rc<Registry> {
    async fn serve(&self, call: Rehearse) -> Result<Json, Failure> {
        let missing = rehearse(self, &call.0);
        let missing: Vec<String> = missing
            .iter()
            .map(|(order, node, why)| {
                let (node, why) = (quoted(&node.to_string()), quoted(&why.text));
                format!("{{\"order\":{},\"node\":{node},\"missing\":{why}}}", quoted(order))
            })
            .collect();
        Ok(Json(format!("{{\"can\":{},\"missing\":[{}]}}", missing.is_empty(), missing.join(","))))
    }
}

impl Serves<Maintenance> for Rc<Registry> {
    async fn serve(&self, _: Maintenance) -> Result<Json, Failure> {
        let (time, orders) = self.round.borrow_mut().maintenance_status(self.now());
        let list = |texts: &[String]| texts.iter().map(|t| quoted(t)).collect::<Vec<_>>().join(",");
        let node = |node: &NodeStatus| {
            format!(
                "{{\"node\":{},\"phase\":\"{}\",\"since\":{},\"why\":{},\"waitsFor\":[{}]}}",
                quoted(&node.node),
                node.phase,
                quoted(&node.since),
                quoted(&node.reason),
                list(&node.waiting_for)
            )
        };
        let order = |order: &OrderStatus| {
            format!(
                "{{\"name\":{},\"state\":\"{}\",\"contract\":{},\"holder\":{},\"hours\":{},\"nodes\":[{}]}}",
                quoted(&order.name),
                order.state,
                quoted(&order.contract),
                quoted(&order.holder),
                quoted(&order.hours),
                order.nodes.iter().map(node).collect::<Vec<_>>().join(",")
            )
        };
        let time = time.map_or("null".into(), |t| {
            format!("{{\"earliest\":{:.0},\"latest\":{:.0}}}", t.earliest, t.latest)
        });
        let orders: Vec<String> = orders.iter().map(order).collect();
        Ok(Json(format!("{{\"time\":{time},\"orders\":[{}]}}", orders.join(","))))
    }
}

impl Serves<GetConfig> for Rc<Registry> {
    async fn serve(&self, _: GetConfig) -> Result<Json, Failure> {
        let items = told(self.ask(StoreRequest::Read).await)?.unwrap_or_default();
        Ok(Json(fennelscale_config::render_items(items.iter().map(|(name, entry)| (name.as_str(), entry)))))
    }
}

impl Serves<Evacuate> for Rc<Registry> {
    async fn serve(&self, Evacuate(zone, on): Evacuate) -> Result<Done, Failure> {
        if !self.settings.borrow().zones.contains_key(&zone) {
            return Err(Failure::new(Kind::NotFound, format!("there is no zone {zone}")));
        }
        told(self.ask(StoreRequest::Evacuate(zone.clone(), on, None)).await)?;
        tracing::info!(event = "evacuation-acknowledged", zone, on);
        Ok(Done)
    }
}

pub(crate) fn quoted(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into())
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
        let address = |m: &fennelscale_messages::session::ProxyInfo| format!("\"{}:{}\"", m.host, m.port);
        let addresses: Vec<String> = members.iter().take(MOST).map(address).collect();
        let ttl = TTL.min(self.settings.borrow().bounds.ttl_most).as_millis();
        Ok(Json(format!("{{\"addresses\":[{}],\"ttl\":\"{ttl}ms\"}}", addresses.join(","))))
    }
}

/// What operators call.
pub async fn control(registry: &Rc<Registry>, asked: Asked) -> Option<Response<Full<Bytes>>> {
    let answer = answer(registry, &asked).await?;
    // What was wrong with a question of a reader is the reader's matter.
    if let Some(failure) = answer.extensions().get::<Failure>()
        && answer.status().is_client_error()
        && asked.method != Method::GET
    {
        let what = asked.path.strip_prefix("/fennelscale/").unwrap_or(&asked.path);
        let cause = format!("{}: {}", failure.kind.row().1, failure.text);
        registry.with(|round, now| round.on_call_refused(now, what, &cause));
    }
    Some(answer)
}

/// The answer of the first kind of call that takes what was asked.
macro_rules! first_of {
    ($server:expr, $asked:expr, $($call:ty),+) => {{
        $(if let Some(answer) = handle::<$call, _>($server, $asked).await {
            return Some(answer);
        })+
        None
    }};
}

async fn answer(registry: &Rc<Registry>, asked: &Asked) -> Option<Response<Full<Bytes>>> {
    first_of!(
        registry,
        asked,
        PatchConfig,
        GetConfig,
        Request,
        Events,
        Status,
        Maintenance,
        Failures,
        Rehearse,
        Evacuate
    )
}

/// What clients call.
pub async fn directory(registry: &Rc<Registry>, asked: Asked) -> Option<Response<Full<Bytes>>> {
    handle::<Resolve, _>(registry, &asked).await
}
