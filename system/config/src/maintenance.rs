//! Contracts of maintenance hours and work orders, read and checked by themselves.

use crate::InvalidConfig;
use crate::item::Item;
use fennelscale_maintenance::contract::{self, Contract, Rule, TimeRange};
use fennelscale_maintenance::order::{MAX_NODES, OrderState, OutLimits, WorkOrder};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;

/// The most rules and exceptions of one contract: each is looked at whenever hours are.
const MOST_RULES: usize = 64;
/// The longest time that a node is out, and that it is given to go back in, in ms.
const LONGEST: f64 = 24.0 * 3_600_000.0;
/// The shortest time to go back in: beats, a step, and news to all, in ms.
const LEAST_BACK: f64 = 6000.0;

fn list<'a>(item: &'a Item<'_>, path: &str) -> Result<&'a [Value], InvalidConfig> {
    match item.at(&[path]) {
        None => Ok(&[]),
        Some(value) => match value.as_array() {
            Some(list) if list.len() <= MOST_RULES => Ok(list.as_slice()),
            _ => Err(item.wrong(path, &format!("a list of {MOST_RULES} at most is wanted"))),
        },
    }
}

fn text<'a>(value: &'a Value, name: &str) -> Result<&'a str, String> {
    value.get(name).and_then(|v| v.as_str()).ok_or_else(|| format!("{name}: a text is wanted"))
}

fn between(value: &Value) -> Result<TimeRange, String> {
    let (from, to) = (contract::parse_time(text(value, "from")?)?, contract::parse_time(text(value, "to")?)?);
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
    let date = contract::parse_date(text(value, "date")?)?;
    let spans =
        value.get("hours").and_then(|v| v.as_array()).ok_or("hours: a list is wanted, empty for none")?;
    Ok((date, spans.iter().map(between).collect::<Result<_, _>>()?))
}

fn approver(item: &Item<'_>) -> Result<Option<String>, InvalidConfig> {
    match item.at(&["approvedBy"]) {
        None => Ok(None),
        Some(value) => {
            let text = value.as_str().ok_or_else(|| item.wrong("approvedBy", "a text is wanted"))?;
            Ok((!text.trim().is_empty()).then(|| text.to_owned()))
        }
    }
}

/// A contract.
pub(crate) fn contract(name: &str, item: &Item<'_>) -> Result<Contract, InvalidConfig> {
    let zone =
        contract::parse_zone(&item.text(&["timeZone"])?).map_err(|text| item.wrong("timeZone", &text))?;
    let rules = list(item, "hours")?.iter().map(rule).collect::<Result<_, _>>();
    let exceptions = list(item, "exceptions")?.iter().map(exception).collect::<Result<Vec<_>, _>>();
    let exceptions = exceptions.map_err(|text| item.wrong("exceptions", &text))?;
    let dates = exceptions.len();
    let exceptions: BTreeMap<_, _> = exceptions.into_iter().collect();
    if exceptions.len() < dates {
        return Err(item.wrong("exceptions", "each date may stand once"));
    }
    let places = item.texts(&["places"])?;
    if places.is_empty() {
        return Err(item.wrong("places", "one zone or region at least is wanted"));
    }
    Ok(Contract {
        name: name.to_owned(),
        time_zone: zone,
        rules: rules.map_err(|text| item.wrong("hours", &text))?,
        exceptions,
        places: places.into_iter().collect(),
        approved_by: approver(item)?,
    })
}

/// A work order.
pub(crate) fn order(name: &str, item: &Item<'_>) -> Result<WorkOrder, InvalidConfig> {
    let nodes = item.texts(&["nodes"])?;
    if nodes.is_empty() || nodes.len() > MAX_NODES {
        return Err(item.wrong("nodes", &format!("one node at least and {MAX_NODES} at most are wanted")));
    }
    let nodes: Vec<_> = nodes
        .iter()
        .map(|node| node.parse().map_err(|text: String| item.wrong("nodes", &text)))
        .collect::<Result<_, _>>()?;
    if nodes.iter().enumerate().any(|(at, node)| nodes[..at].contains(node)) {
        return Err(item.wrong("nodes", "each node may stand once"));
    }
    let state = item.text(&["state"])?;
    let wanted = OrderState::ALL.iter().find(|(name, _)| *name == state).map(|(_, wanted)| *wanted);
    let wanted = wanted.ok_or_else(|| {
        item.wrong("state", &format!("one of {} is wanted", OrderState::ALL.map(|(name, _)| name).join(", ")))
    })?;
    let approved_by = approver(item)?;
    if approved_by.is_none()
        && matches!(wanted, OrderState::Approved | OrderState::Running | OrderState::Paused)
    {
        return Err(item.wrong("approvedBy", &format!("an order that is {state} names who has approved it")));
    }
    let span = |field: &str, least: f64, usual: Option<f64>| {
        let span = item.span(&[field], usual)?;
        if (least..=LONGEST).contains(&span) {
            return Ok(span);
        }
        Err(item.wrong(field, &format!("{:.0} s at least and a day at most are wanted", least / 1000.0)))
    };
    let usual = OutLimits::default();
    let most = |field: &str, usual: usize| {
        let most = item.number(&["mostOut", field], Some(usual as f64))?;
        if most >= 1.0 && most.fract() == 0.0 && most <= MAX_NODES as f64 {
            return Ok(most as usize);
        }
        Err(item
            .wrong(&format!("mostOut.{field}"), &format!("a whole number from 1 to {MAX_NODES} is wanted")))
    };
    Ok(WorkOrder {
        name: name.to_owned(),
        contract: item.text(&["contract"])?,
        nodes,
        out_duration: span("length", 1000.0, None)?,
        return_time: span("backBefore", LEAST_BACK, Some(30_000.0))?,
        limits: OutLimits {
            order: most("order", usual.order)?,
            zone: most("zone", usual.zone)?,
            region: most("region", usual.region)?,
            service: most("service", usual.service)?,
        },
        state: wanted,
        approved_by,
    })
}
