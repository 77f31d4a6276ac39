//! The HTTP API: calls of operators, and the directory for clients.

use crate::events::Events;
use crate::registry::Registry;
use crate::requests::Request;
use bytes::Bytes;
use fennelscale_config::ParsedItem;
use fennelscale_host::call::{ApiRequest, Call, Done, Handler, Json, handle};
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
/// Time to live of a directory answer, unless the settings allow less: clients with an outdated answer
/// connect to proxies that are gone.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Maximum of addresses in one directory answer.
const MAX_ADDRESSES: usize = 64;

/// Changes configuration items.
pub struct PatchConfig(Vec<Change>);
/// Reads all configuration items.
pub struct GetConfig;
/// Evacuates a zone (`true`) or ends its evacuation.
pub struct Evacuate(String, bool);
/// Reads the status of this registry.
pub struct Status;
/// Reads the progress of maintenance orders.
pub struct Maintenance;
/// Checks whether the maintenance orders of a call can be carried out, without applying the call.
pub struct CheckOrders(Vec<Change>);
/// Reads the failure order counts of proxies.
pub struct Failures;
/// Resolves the proxies that a client should use.
pub struct Resolve {
    region: String,
    zone: String,
}

pub(crate) fn method(asked: &ApiRequest, allowed: &[Method]) -> Result<(), Failure> {
    if allowed.contains(&asked.method) {
        return Ok(());
    }
    let names: Vec<&str> = allowed.iter().map(Method::as_str).collect();
    Err(Failure::new(Kind::MethodNotAllowed, names.join(", ")))
}

impl Call for PatchConfig {
    type Answer = Done;
    const PATTERN: &'static str = "PATCH /fennelscale/config";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
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
    const PATTERN: &'static str = "GET /fennelscale/config";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        (asked.path == CONFIG && asked.method == Method::GET).then_some(Ok(Self))
    }
}

impl Call for Evacuate {
    type Answer = Done;
    const PATTERN: &'static str = "POST, DELETE /fennelscale/evacuations/ZONE";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        let zone = asked.path.strip_prefix(EVACUATIONS)?;
        Some(
            method(asked, &[Method::POST, Method::DELETE])
                .map(|()| Self(zone.to_owned(), asked.method == Method::POST)),
        )
    }
}

impl Call for Maintenance {
    type Answer = Json;
    const PATTERN: &'static str = "GET /fennelscale/maintenance";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        (asked.path == MAINTENANCE && asked.method != Method::POST)
            .then(|| method(asked, &[Method::GET, Method::POST]).map(|()| Self))
    }
}

impl Call for CheckOrders {
    type Answer = Json;
    const PATTERN: &'static str = "POST /fennelscale/maintenance";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        (asked.path == MAINTENANCE && asked.method == Method::POST).then(|| {
            let changes = fennelscale_config::parse_call(&asked.body).map(Self);
            changes.map_err(|invalid| Failure::new(Kind::Invalid, invalid.0))
        })
    }
}

impl Call for Failures {
    type Answer = Json;
    const PATTERN: &'static str = "GET /fennelscale/failures";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        (asked.path == "/fennelscale/failures").then(|| method(asked, &[Method::GET]).map(|()| Self))
    }
}

impl Call for Status {
    type Answer = Json;
    const PATTERN: &'static str = "GET /fennelscale/status";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        (asked.path == "/fennelscale/status").then(|| method(asked, &[Method::GET]).map(|()| Self))
    }
}

impl Call for Resolve {
    type Answer = Json;
    const PATTERN: &'static str = "GET /fennelscale/resolve";
    fn read(asked: &ApiRequest) -> Option<Result<Self, Failure>> {
        if asked.path != "/fennelscale/resolve" {
            return None;
        }
        let parameter = |name| asked.query(name).unwrap_or_default();
        Some(
            method(asked, &[Method::GET])
                .map(|()| Self { region: parameter("region"), zone: parameter("zone") }),
        )
    }
}

fn items_or_failure(
    response: StoreResponse,
) -> Result<Option<Vec<fennelscale_messages::store::NamedEntry>>, Failure> {
    match response {
        StoreResponse::Done => Ok(None),
        StoreResponse::Items(items) => Ok(Some(items)),
        StoreResponse::Invalid(text) => Err(Failure::new(Kind::Invalid, text)),
        StoreResponse::Conflict(text) => Err(Failure::new(Kind::Conflict, text)),
        StoreResponse::Forgotten => {
            let text = "older than the versions that are remembered: without effect, and not known whether it was ever taken";
            Err(Failure::new(Kind::OutcomeUnknown, text))
        }
        StoreResponse::Fresh(_) | StoreResponse::Unclear => {
            Err(Failure::new(Kind::OutcomeUnknown, "no quorum of stores has answered"))
        }
    }
}

impl Handler<PatchConfig> for Rc<Registry> {
    async fn serve(&self, call: PatchConfig) -> Result<Done, Failure> {
        let items = call.0.len();
        if let Some((order, node, why)) = check_orders(self, &call.0).into_iter().next() {
            return Err(Failure::new(Kind::Invalid, format!("order {order}: {node}: {why}")));
        }
        let mut changes = call.0;
        assign_failure_orders(self, &mut changes)?;
        items_or_failure(self.call_store(StoreRequest::Change(changes)).await)?;
        tracing::info!(event = "config-acknowledged", items);
        Ok(Done)
    }
}

/// Why maintenance orders of a call can never be carried out. Does nothing for calls without any.
fn check_orders(registry: &Rc<Registry>, changes: &[Change]) -> Vec<(String, Node, Reason)> {
    let is_maintenance = |name: &str| {
        name.starts_with(fennelscale_maintenance::CONTRACT_PREFIX)
            || name.starts_with(fennelscale_maintenance::ORDER_PREFIX)
    };
    let named = changes.iter().filter(|change| is_maintenance(&change.name)).map(|change| {
        let Change { name, revision, host, body } = change.clone();
        (name, Entry { revision, host, body, ..Entry::default() })
    });
    let named: Vec<_> = named.collect();
    if named.is_empty() {
        return Vec::new();
    }
    registry.state.borrow_mut().check_orders(registry.now(), &named)
}

/// Checks the failure orders of a call against the limits of the settings, and adds to each order the proxies
/// that share it. The store keeps the proxies of an order that exists already.
fn assign_failure_orders(registry: &Rc<Registry>, changes: &mut [Change]) -> Result<(), Failure> {
    for change in
        changes.iter_mut().filter(|change| change.name.starts_with(fennelscale_fault_injection::ORDER_PREFIX))
    {
        let fact = change
            .body
            .as_deref()
            .map(|body| fennelscale_config::parse_item(&change.name, &change.host, body));
        let Some(Ok(ParsedItem::FailureOrder(order))) = fact else { continue };
        let invalid =
            |text: String| Failure::new(Kind::Invalid, format!("failure order {}: {text}", order.name));
        let settings = registry.settings.borrow().clone();
        let Some(limits) = &settings.failure_limits else {
            return Err(invalid("the settings have no table failureOrders, so there are none".into()));
        };
        limits.check(&order).map_err(invalid)?;
        let proxies = registry.state.borrow().proxies(registry.now());
        if order.max_requests < proxies.len() as u64 {
            let text = format!("most.inAll: one for each of {} proxies at least is wanted", proxies.len());
            return Err(invalid(text));
        }
        let incarnations: Vec<String> = proxies
            .iter()
            .map(|proxy| fennelscale_fault_injection::proxy_id(proxy.host, proxy.incarnation))
            .collect();
        change.host = incarnations.join(" ");
    }
    Ok(())
}

impl Handler<Failures> for Rc<Registry> {
    async fn serve(&self, _: Failures) -> Result<Json, Failure> {
        let counts = self.state.borrow().failure_counts();
        let totals = |[served, refused, failed]: &[u64; 3]| {
            format!("{{\"served\":{served},\"refused\":{refused},\"failed\":{failed}}}")
        };
        let lines = counts.iter().flat_map(|(proxy, incarnation, counts)| {
            counts.iter().map(move |(order, [named, failed, untouched], [before, within])| {
                format!(
                    "{{\"order\":{},\"proxy\":\"{proxy}\",\"life\":\"{incarnation:x}\",\"named\":{named},\"failed\":{failed},\"untouched\":{untouched},\"othersBefore\":{},\"others\":{}}}",
                    quoted(order),
                    totals(before),
                    totals(within)
                )
            })
        });
        let lines: Vec<String> = lines.collect();
        Ok(Json(format!("{{\"met\":[{}]}}", lines.join(","))))
    }
}

impl Handler<CheckOrders> for Rc<Registry> {
    async fn serve(&self, call: CheckOrders) -> Result<Json, Failure> {
        let missing = check_orders(self, &call.0);
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

impl Handler<Maintenance> for Rc<Registry> {
    async fn serve(&self, _: Maintenance) -> Result<Json, Failure> {
        let (time, orders) = self.state.borrow_mut().maintenance_status(self.now());
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

impl Handler<GetConfig> for Rc<Registry> {
    async fn serve(&self, _: GetConfig) -> Result<Json, Failure> {
        let items = items_or_failure(self.call_store(StoreRequest::Read).await)?.unwrap_or_default();
        Ok(Json(fennelscale_config::render_items(items.iter().map(|(name, entry)| (name.as_str(), entry)))))
    }
}

impl Handler<Evacuate> for Rc<Registry> {
    async fn serve(&self, Evacuate(zone, on): Evacuate) -> Result<Done, Failure> {
        if !self.settings.borrow().zones.contains_key(&zone) {
            return Err(Failure::new(Kind::NotFound, format!("there is no zone {zone}")));
        }
        items_or_failure(self.call_store(StoreRequest::Evacuate(zone.clone(), on, None)).await)?;
        tracing::info!(event = "evacuation-acknowledged", zone, on);
        Ok(Done)
    }
}

pub(crate) fn quoted(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into())
}

impl Handler<Status> for Rc<Registry> {
    async fn serve(&self, _: Status) -> Result<Json, Failure> {
        let mut pairs = self.state.borrow().status(self.now());
        pairs.push(("log_lines_dropped", fennelscale_log_writer::dropped_lines().to_string()));
        let pairs: Vec<String> =
            pairs.iter().map(|(name, value)| format!("\"{name}\":{}", quoted(value))).collect();
        Ok(Json(format!("{{{}}}", pairs.join(","))))
    }
}

impl Handler<Resolve> for Rc<Registry> {
    async fn serve(&self, call: Resolve) -> Result<Json, Failure> {
        let settings = self.settings.borrow().clone();
        let region = match settings.zones.get(&call.zone) {
            Some(region) if call.region.is_empty() => region,
            _ => &call.region,
        };
        let proxies = self.state.borrow().resolve(self.now(), region);
        if proxies.is_empty() {
            return Err(Failure::new(Kind::Overloaded, "no proxy takes clients now"));
        }
        let address =
            |proxy: &fennelscale_messages::session::ProxyInfo| format!("\"{}:{}\"", proxy.host, proxy.port);
        let addresses: Vec<String> = proxies.iter().take(MAX_ADDRESSES).map(address).collect();
        let ttl = DIRECTORY_TTL.min(self.settings.borrow().bounds.max_ttl).as_millis();
        Ok(Json(format!("{{\"addresses\":[{}],\"ttl\":\"{ttl}ms\"}}", addresses.join(","))))
    }
}

/// Serves the API for operators.
pub async fn control(registry: &Rc<Registry>, asked: ApiRequest) -> Option<Response<Full<Bytes>>> {
    let answer = answer(registry, &asked).await?;
    // Rejected reads are not recorded as events; they only concern the caller.
    if let Some(failure) = answer.extensions().get::<Failure>()
        && answer.status().is_client_error()
        && asked.method != Method::GET
    {
        let name = asked.path.strip_prefix("/fennelscale/").unwrap_or(&asked.path);
        let cause = format!("{}: {}", failure.kind.description().1, failure.text);
        registry.with(|state, now| state.on_call_refused(now, name, &cause));
    }
    Some(answer)
}

/// Returns the answer of the first call type that accepts the request.
macro_rules! first_of {
    ($server:expr, $asked:expr, $($call:ty),+) => {{
        $(if let Some(answer) = handle::<$call, _>($server, $asked).await {
            return Some(answer);
        })+
        None
    }};
}

async fn answer(registry: &Rc<Registry>, asked: &ApiRequest) -> Option<Response<Full<Bytes>>> {
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
        CheckOrders,
        Evacuate
    )
}

/// Serves the directory for clients.
pub async fn directory(registry: &Rc<Registry>, asked: ApiRequest) -> Option<Response<Full<Bytes>>> {
    handle::<Resolve, _>(registry, &asked).await
}
