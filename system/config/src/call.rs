//! Operators' calls: parsed into changes, and the current items rendered in the same form.

use crate::{InvalidConfig, LIMITS_KEY, json_bounds, parse_item};
use fennelscale_messages::store::{self, Change};
use sonic_rs::{JsonValueTrait, LazyValue};
use std::collections::BTreeMap;
use std::collections::hash_map::{Entry, HashMap};
use std::fmt::Write as _;

/// The most items of one call. Protects the store from a call that would keep every member busy for long.
const MAX_ITEMS: usize = 20_000;

/// The lists of operators' orders, besides those of the configuration, and the kinds of their items.
const ORDER_LISTS: [(&str, &str); 3] =
    [("maintenanceContracts", "c:"), ("workOrders", "w:"), ("failureOrders", "f:")];

fn invalid(what: &str) -> InvalidConfig {
    InvalidConfig(what.to_owned())
}

/// The items of a list, as they were sent.
fn items_of<'a>(parent: &'a LazyValue<'_>, name: &str) -> Result<Vec<LazyValue<'a>>, InvalidConfig> {
    let Some(value) = parent.get(name).filter(|v| !v.is_null()) else { return Ok(Vec::new()) };
    if !value.is_array() {
        return Err(InvalidConfig(format!("{name}: a list is wanted")));
    }
    let items = value.into_array_iter().ok_or_else(|| InvalidConfig(format!("{name}: a list is wanted")))?;
    items.map(|item| item.map_err(|error| InvalidConfig(format!("{name}: {error}")))).collect()
}

fn revision(item: &LazyValue<'_>, what: &str) -> Result<u64, InvalidConfig> {
    let value = item.get("revision");
    let text = value.as_ref().and_then(|r| r.as_str());
    let hex = text.filter(|t| t.len() == 8 && t.bytes().all(|b| b.is_ascii_hexdigit()));
    hex.and_then(|t| u64::from_str_radix(t, 16).ok())
        .ok_or_else(|| InvalidConfig(format!("{what}: revision: eight hexadecimal digits are wanted")))
}

fn item_name(item: &LazyValue<'_>, kind: &str) -> Result<String, InvalidConfig> {
    let value = item.get("name");
    let name = value.as_ref().and_then(|n| n.as_str()).filter(|n| !n.is_empty());
    name.map(|n| format!("{kind}{n}")).ok_or_else(|| invalid("an item without a name"))
}

/// Parses a call into changes and checks each item by itself.
///
/// # Errors
/// When the call is malformed or an item is invalid.
pub fn parse_call(body: &[u8]) -> Result<Vec<Change>, InvalidConfig> {
    let text = std::str::from_utf8(body).map_err(|_| invalid("the body is not UTF-8"))?;
    json_bounds::check(text)?;
    // Parsed completely once: a truncated call must not pass because no pointer reaches its end.
    let call: Result<LazyValue<'_>, _> = sonic_rs::from_str(text);
    let call = call.map_err(|error| InvalidConfig(format!("the body is not JSON: {error}")))?;
    if sonic_rs::from_str::<sonic_rs::Value>(text).is_err() || !call.is_object() {
        return Err(invalid("the body is not one JSON object"));
    }
    let mut changes = Vec::new();
    if let Some(upsert) = call.get("upsert").filter(|u| !u.is_null()) {
        let mut item = |kind: &str, host: &str, item: &LazyValue<'_>| {
            let name = if kind == LIMITS_KEY { kind.to_owned() } else { item_name(item, kind)? };
            let revision = revision(item, &name)?;
            let body = item.as_raw_str();
            parse_item(&name, host, body)?;
            changes.push(Change { name, revision, host: host.to_owned(), body: Some(body.to_owned()) });
            Ok::<_, InvalidConfig>(())
        };
        for service in items_of(&upsert, "backendPools")? {
            item("s:", "", &service)?;
        }
        for tenant in items_of(&upsert, "tenants")? {
            item("t:", "", &tenant)?;
        }
        for listener in items_of(&upsert, "listeners")? {
            let host = listener.get("hostname");
            let host = host
                .as_ref()
                .and_then(|h| h.as_str())
                .ok_or_else(|| invalid("a listener without hostname"))?;
            for rule in items_of(&listener, "policy")? {
                item("r:", host, &rule)?;
            }
        }
        for (name, kind) in ORDER_LISTS {
            for order in items_of(&upsert, name)? {
                item(kind, "", &order)?;
            }
        }
        if let Some(limits) = upsert.get("limits").filter(|l| !l.is_null()) {
            item(LIMITS_KEY, "", &limits)?;
        }
    }
    if let Some(remove) = call.get("remove").filter(|r| !r.is_null()) {
        let kinds = [("routes", "r:"), ("tenants", "t:"), ("backendPools", "s:"), ("services", "s:")];
        for (name, kind) in kinds.into_iter().chain(ORDER_LISTS) {
            for item in items_of(&remove, name)? {
                let name = item_name(&item, kind)?;
                let revision = revision(&item, &name)?;
                changes.push(Change { name, revision, host: String::new(), body: None });
            }
        }
    }
    if changes.len() > MAX_ITEMS {
        return Err(InvalidConfig(format!(
            "{} items in one call, at most {MAX_ITEMS}: send them in parts",
            changes.len()
        )));
    }
    newest_revisions(changes)
}

/// Keeps the highest revision of each name that occurs several times in a call, whether set or removed.
fn newest_revisions(changes: Vec<Change>) -> Result<Vec<Change>, InvalidConfig> {
    let mut newest: Vec<Change> = Vec::with_capacity(changes.len());
    let mut positions: HashMap<String, usize> = HashMap::new();
    for change in changes {
        match positions.entry(change.name.clone()) {
            Entry::Vacant(position) => {
                position.insert(newest.len());
                newest.push(change);
            }
            Entry::Occupied(position) => {
                let known = &mut newest[*position.get()];
                if known.revision == change.revision && *known != change {
                    return Err(InvalidConfig(format!(
                        "{} stands twice in the call with one version",
                        change.name
                    )));
                }
                if known.revision < change.revision {
                    *known = change;
                }
            }
        }
    }
    Ok(newest)
}

/// Renders all current items in the form of a call, each as it was sent.
pub fn render_items<'a>(entries: impl Iterator<Item = (&'a str, &'a store::Entry)>) -> String {
    let (mut tenants, mut services, mut limits) = (Vec::new(), Vec::new(), None);
    let mut orders = ORDER_LISTS.map(|_| Vec::new());
    let mut hosts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (name, entry) in entries {
        let Some(body) = entry.body.as_deref() else { continue };
        match name.split_at_checked(2) {
            Some(("r:", _)) => hosts.entry(&entry.host).or_default().push(body),
            Some(("t:", _)) => tenants.push(body),
            Some(("s:", _)) => services.push(body),
            Some(("l:", _)) => limits = Some(body),
            Some((kind, _)) => {
                if let Some(list) = ORDER_LISTS.iter().position(|(_, known)| *known == kind) {
                    orders[list].push(body);
                }
            }
            None => {}
        }
    }
    let mut text = String::from("{");
    let _ = write!(text, "\"tenants\":[{}],", tenants.join(","));
    if let Some(limits) = limits {
        let _ = write!(text, "\"limits\":{limits},");
    }
    text.push_str("\"listeners\":[");
    for (index, (host, rules)) in hosts.iter().enumerate() {
        let comma = if index > 0 { "," } else { "" };
        let host = sonic_rs::to_string(host).unwrap_or_default();
        let _ = write!(text, "{comma}{{\"hostname\":{host},\"policy\":[{}]}}", rules.join(","));
    }
    let _ = write!(text, "],\"backendPools\":[{}]", services.join(","));
    // Operators without such orders do not get lists that they never sent.
    for ((name, _), items) in ORDER_LISTS.iter().zip(orders).filter(|(_, items)| !items.is_empty()) {
        let _ = write!(text, ",\"{name}\":[{}]", items.join(","));
    }
    text.push('}');
    text
}
