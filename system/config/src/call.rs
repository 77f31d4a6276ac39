//! Calls of the operator: read into changes, and all items laid out again.

use crate::{InvalidConfig, LIMITS_KEY, parse_item};
use fennelscale_messages::store::{self, Change};
use sonic_rs::{JsonValueTrait, LazyValue};
use std::collections::BTreeMap;
use std::collections::hash_map::{Entry, HashMap};
use std::fmt::Write as _;

/// The most items of one call. Guards the store against a call that would keep every seat busy for long.
const MOST: usize = 20_000;

/// Lists of the operators' orders, beside those of the configuration.
const ORDERS: [(&str, &str); 3] =
    [("maintenanceContracts", "c:"), ("workOrders", "w:"), ("failureOrders", "f:")];

fn wrong(what: &str) -> InvalidConfig {
    InvalidConfig(what.to_owned())
}

/// Items of one list: their texts, as they were sent.
fn list<'a>(of: &'a LazyValue<'_>, name: &str) -> Result<Vec<LazyValue<'a>>, InvalidConfig> {
    let Some(value) = of.get(name).filter(|v| !v.is_null()) else { return Ok(Vec::new()) };
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

fn named(item: &LazyValue<'_>, kind: &str) -> Result<String, InvalidConfig> {
    let value = item.get("name");
    let name = value.as_ref().and_then(|n| n.as_str()).filter(|n| !n.is_empty());
    name.map(|n| format!("{kind}{n}")).ok_or_else(|| wrong("an item without a name"))
}

/// Reads a call into changes, each item checked by itself.
///
/// # Errors
/// When it can't be read whole or an item can't be.
pub fn parse_call(body: &[u8]) -> Result<Vec<Change>, InvalidConfig> {
    let text = std::str::from_utf8(body).map_err(|_| wrong("the body is not UTF-8"))?;
    // Read whole once: what is cut short must not pass because no pointer goes there.
    let whole: Result<LazyValue<'_>, _> = sonic_rs::from_str(text);
    let whole = whole.map_err(|error| InvalidConfig(format!("the body is not JSON: {error}")))?;
    if sonic_rs::from_str::<sonic_rs::Value>(text).is_err() || !whole.is_object() {
        return Err(wrong("the body is not one JSON object"));
    }
    let mut changes = Vec::new();
    if let Some(upsert) = whole.get("upsert").filter(|u| !u.is_null()) {
        let mut item = |kind: &str, host: &str, item: &LazyValue<'_>| {
            let name = if kind == LIMITS_KEY { kind.to_owned() } else { named(item, kind)? };
            let revision = revision(item, &name)?;
            let body = item.as_raw_str();
            parse_item(&name, host, body)?;
            changes.push(Change { name, revision, host: host.to_owned(), body: Some(body.to_owned()) });
            Ok::<_, InvalidConfig>(())
        };
        for service in list(&upsert, "backendPools")? {
            item("s:", "", &service)?;
        }
        for tenant in list(&upsert, "tenants")? {
            item("t:", "", &tenant)?;
        }
        for listener in list(&upsert, "listeners")? {
            let host = listener.get("hostname");
            let host =
                host.as_ref().and_then(|h| h.as_str()).ok_or_else(|| wrong("a listener without hostname"))?;
            for rule in list(&listener, "policy")? {
                item("r:", host, &rule)?;
            }
        }
        for (name, kind) in ORDERS {
            for one in list(&upsert, name)? {
                item(kind, "", &one)?;
            }
        }
        if let Some(limits) = upsert.get("limits").filter(|l| !l.is_null()) {
            item(LIMITS_KEY, "", &limits)?;
        }
    }
    if let Some(remove) = whole.get("remove").filter(|r| !r.is_null()) {
        let kinds = [("routes", "r:"), ("tenants", "t:"), ("backendPools", "s:"), ("services", "s:")];
        for (name, kind) in kinds.into_iter().chain(ORDERS) {
            for item in list(&remove, name)? {
                let name = named(&item, kind)?;
                let revision = revision(&item, &name)?;
                changes.push(Change { name, revision, host: String::new(), body: None });
            }
        }
    }
    if changes.len() > MOST {
        return Err(InvalidConfig(format!(
            "{} items in one call, at most {MOST}: send them in parts",
            changes.len()
        )));
    }
    newest(changes)
}

/// Of a name that stands several times in a call, set and dropped, the highest version holds.
fn newest(changes: Vec<Change>) -> Result<Vec<Change>, InvalidConfig> {
    let mut newest: Vec<Change> = Vec::with_capacity(changes.len());
    let mut places: HashMap<String, usize> = HashMap::new();
    for change in changes {
        match places.entry(change.name.clone()) {
            Entry::Vacant(place) => {
                place.insert(newest.len());
                newest.push(change);
            }
            Entry::Occupied(place) => {
                let known = &mut newest[*place.get()];
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

/// All items that stand, laid out as calls are, each as it was sent.
pub fn render_items<'a>(entries: impl Iterator<Item = (&'a str, &'a store::Entry)>) -> String {
    let (mut tenants, mut services, mut limits) = (Vec::new(), Vec::new(), None);
    let mut orders = ORDERS.map(|_| Vec::new());
    let mut hosts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (name, entry) in entries {
        let Some(body) = entry.body.as_deref() else { continue };
        match name.split_at_checked(2) {
            Some(("r:", _)) => hosts.entry(&entry.host).or_default().push(body),
            Some(("t:", _)) => tenants.push(body),
            Some(("s:", _)) => services.push(body),
            Some(("l:", _)) => limits = Some(body),
            Some((kind, _)) => {
                if let Some(at) = ORDERS.iter().position(|(_, known)| *known == kind) {
                    orders[at].push(body);
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
    for (at, (host, rules)) in hosts.iter().enumerate() {
        let comma = if at > 0 { "," } else { "" };
        let host = sonic_rs::to_string(host).unwrap_or_default();
        let _ = write!(text, "{comma}{{\"hostname\":{host},\"policy\":[{}]}}", rules.join(","));
    }
    let _ = write!(text, "],\"backendPools\":[{}]", services.join(","));
    // Lists that operators without such orders never sent are not laid out for them.
    for ((name, _), items) in ORDERS.iter().zip(orders).filter(|(_, items)| !items.is_empty()) {
        let _ = write!(text, ",\"{name}\":[{}]", items.join(","));
    }
    text.push('}');
    text
}
