//! Maintenance contracts and work orders, parsed and checked by themselves.

use crate::InvalidConfig;
use crate::item::ItemJson;
use fennelscale_maintenance::contract::{self, Contract, Rule, TimeRange};
use fennelscale_maintenance::order::{MAX_NODES, OrderState, OutLimits, WorkOrder};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;

/// The most rules and exceptions of one contract: all of them are evaluated whenever its hours are.
const MAX_RULES: usize = 64;
/// The longest time that a node may be out, and that it may be given to return.
const MAX_DURATION_MS: f64 = 24.0 * 3_600_000.0;
/// The shortest time to return: heartbeats, a maintenance step and the update of all proxies.
const MIN_RETURN_TIME_MS: f64 = 6000.0;

fn rule_list<'a>(item: &'a ItemJson<'_>, path: &str) -> Result<&'a [Value], InvalidConfig> {
    match item.get(&[path]) {
        None => Ok(&[]),
        Some(value) => match value.as_array() {
            Some(list) if list.len() <= MAX_RULES => Ok(list.as_slice()),
            _ => Err(item.invalid(path, &format!("a list of {MAX_RULES} at most is wanted"))),
        },
    }
}

fn string_field<'a>(value: &'a Value, name: &str) -> Result<&'a str, String> {
    value.get(name).and_then(|v| v.as_str()).ok_or_else(|| format!("{name}: a text is wanted"))
}

fn between(value: &Value) -> Result<TimeRange, String> {
    let (from, to) = (
        contract::parse_time(string_field(value, "from")?)?,
        contract::parse_time(string_field(value, "to")?)?,
    );
    if from == to {
        Err("from and to: two different times are wanted".into())
    } else {
        Ok(TimeRange { from, to })
    }
}

fn rule(value: &Value) -> Result<Rule, String> {
    let days =
        value.get("days").and_then(|v| v.as_array()).ok_or("days: a list of days like mon is wanted")?;
    let day = |v: &Value| contract::parse_day(v.as_str().unwrap_or_default());
    let days: Vec<_> = days.iter().map(day).collect::<Result<_, _>>()?;
    if days.is_empty() {
        return Err("days: one day at least is wanted".into());
    }
    Ok(Rule { days, between: between(value)? })
}

fn exception(value: &Value) -> Result<(jiff::civil::Date, Vec<TimeRange>), String> {
    let date = contract::parse_date(string_field(value, "date")?)?;
    let spans =
        value.get("hours").and_then(|v| v.as_array()).ok_or("hours: a list is wanted, empty for none")?;
    Ok((date, spans.iter().map(between).collect::<Result<_, _>>()?))
}

fn approver(item: &ItemJson<'_>) -> Result<Option<String>, InvalidConfig> {
    match item.get(&["approvedBy"]) {
        None => Ok(None),
        Some(value) => {
            let text = value.as_str().ok_or_else(|| item.invalid("approvedBy", "a text is wanted"))?;
            Ok((!text.trim().is_empty()).then(|| text.to_owned()))
        }
    }
}

/// Parses a maintenance contract.
pub(crate) fn contract(name: &str, item: &ItemJson<'_>) -> Result<Contract, InvalidConfig> {
    let zone =
        contract::parse_zone(&item.string(&["timeZone"])?).map_err(|text| item.invalid("timeZone", &text))?;
    let rules = rule_list(item, "hours")?.iter().map(rule).collect::<Result<_, _>>();
    let exceptions = rule_list(item, "exceptions")?.iter().map(exception).collect::<Result<Vec<_>, _>>();
    let exceptions = exceptions.map_err(|text| item.invalid("exceptions", &text))?;
    let dates = exceptions.len();
    let exceptions: BTreeMap<_, _> = exceptions.into_iter().collect();
    if exceptions.len() < dates {
        return Err(item.invalid("exceptions", "each date may stand once"));
    }
    let places = item.strings(&["places"])?;
    if places.is_empty() {
        return Err(item.invalid("places", "one zone or region at least is wanted"));
    }
    Ok(Contract {
        name: name.to_owned(),
        time_zone: zone,
        rules: rules.map_err(|text| item.invalid("hours", &text))?,
        exceptions,
        places: places.into_iter().collect(),
        approved_by: approver(item)?,
    })
}

/// Parses a work order.
pub(crate) fn order(name: &str, item: &ItemJson<'_>) -> Result<WorkOrder, InvalidConfig> {
    let nodes = item.strings(&["nodes"])?;
    if nodes.is_empty() || nodes.len() > MAX_NODES {
        return Err(item.invalid("nodes", &format!("one node at least and {MAX_NODES} at most are wanted")));
    }
    let nodes: Vec<_> = nodes
        .iter()
        .map(|node| node.parse().map_err(|text: String| item.invalid("nodes", &text)))
        .collect::<Result<_, _>>()?;
    if nodes.iter().enumerate().any(|(at, node)| nodes[..at].contains(node)) {
        return Err(item.invalid("nodes", "each node may stand once"));
    }
    let state = item.string(&["state"])?;
    let wanted = OrderState::ALL.iter().find(|(name, _)| *name == state).map(|(_, wanted)| *wanted);
    let wanted = wanted.ok_or_else(|| {
        item.invalid(
            "state",
            &format!("one of {} is wanted", OrderState::ALL.map(|(name, _)| name).join(", ")),
        )
    })?;
    let approved_by = approver(item)?;
    if approved_by.is_none()
        && matches!(wanted, OrderState::Approved | OrderState::Running | OrderState::Paused)
    {
        return Err(
            item.invalid("approvedBy", &format!("an order that is {state} names who has approved it"))
        );
    }
    let duration = |field: &str, min: f64, default: Option<f64>| {
        let duration = item.duration(&[field], default)?;
        if (min..=MAX_DURATION_MS).contains(&duration) {
            return Ok(duration);
        }
        Err(item.invalid(field, &format!("{:.0} s at least and a day at most are wanted", min / 1000.0)))
    };
    let defaults = OutLimits::default();
    let most = |field: &str, default: usize| {
        let most = item.number(&["mostOut", field], Some(default as f64))?;
        if most >= 1.0 && most.fract() == 0.0 && most <= MAX_NODES as f64 {
            return Ok(most as usize);
        }
        Err(item
            .invalid(&format!("mostOut.{field}"), &format!("a whole number from 1 to {MAX_NODES} is wanted")))
    };
    Ok(WorkOrder {
        name: name.to_owned(),
        contract: item.string(&["contract"])?,
        nodes,
        out_duration: duration("length", 1000.0, None)?,
        return_time: duration("backBefore", MIN_RETURN_TIME_MS, Some(30_000.0))?,
        limits: OutLimits {
            order: most("order", defaults.order)?,
            zone: most("zone", defaults.zone)?,
            region: most("region", defaults.region)?,
            service: most("service", defaults.service)?,
        },
        state: wanted,
        approved_by,
    })
}
