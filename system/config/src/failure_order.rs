//! Failure orders, parsed and checked by themselves.

use crate::InvalidConfig;
use crate::item::ItemJson;
use fennelscale_fault_injection::{FailureKind, Order, RequestSelector, State};
use jiff::Timestamp;
use std::collections::BTreeSet;

/// The longest time that an order may delay a request.
const MAX_HOLD_MS: f64 = 30_000.0;
/// The most names that an order may list of each kind.
const MAX_NAMES: usize = 256;

fn moment(item: &ItemJson<'_>, field: &str) -> Result<f64, InvalidConfig> {
    let stamp: Option<Timestamp> = item.string(&[field])?.parse().ok();
    let stamp = stamp.ok_or_else(|| item.invalid(field, "a moment like 2026-12-02T22:00:00Z is wanted"))?;
    Ok(stamp.as_millisecond() as f64)
}

fn whom(item: &ItemJson<'_>) -> Result<RequestSelector, InvalidConfig> {
    let names = |field: &str| -> Result<BTreeSet<String>, InvalidConfig> {
        let names = item.strings(&["whom", field])?;
        if names.len() > MAX_NAMES {
            return Err(item.invalid(&format!("whom.{field}"), &format!("{MAX_NAMES} names at most")));
        }
        Ok(names.into_iter().collect())
    };
    let kinds = names("kinds")?;
    if let Some(kind) =
        kinds.iter().find(|k| !["idempotent", "non_idempotent", "upload"].contains(&k.as_str()))
    {
        return Err(
            item.invalid("whom.kinds", &format!("{kind}: idempotent, non_idempotent or upload is wanted"))
        );
    }
    let share = item.number(&["whom", "share"], Some(1.0))?;
    if !(share > 0.0 && share <= 1.0) {
        return Err(item.invalid("whom.share", "a share over 0, up to 1 is wanted"));
    }
    let whom = RequestSelector {
        tenants: names("tenants")?,
        keys: names("keys")?,
        routes: names("routes")?,
        hosts: names("hosts")?.iter().map(|host| host.to_ascii_lowercase()).collect(),
        route_kinds: kinds,
        regions: names("regions")?,
        share,
    };
    if whom.is_broad() && !item.flag(&["whom", "everybody"])? {
        return Err(item.invalid(
            "whom",
            "no tenant, key or route is named: that meets everybody; say so with everybody = true",
        ));
    }
    Ok(whom)
}

fn what(item: &ItemJson<'_>) -> Result<FailureKind, InvalidConfig> {
    let time = || {
        let time = item.duration(&["what", "time"], None)?;
        if time > 0.0 && time <= MAX_HOLD_MS {
            return Ok(time);
        }
        Err(item
            .invalid("what.time", &format!("over 0 and {:.0} s at most are wanted", MAX_HOLD_MS / 1000.0)))
    };
    let share = |default: f64| {
        let share = item.number(&["what", "share"], Some(default))?;
        if share <= 1.0 {
            Ok(share)
        } else {
            Err(item.invalid("what.share", "a share from 0 to 1 is wanted"))
        }
    };
    Ok(match item.string(&["what", "kind"])?.as_str() {
        "refuse" => FailureKind::Refuse,
        "delay" => FailureKind::Delay(time()?),
        "cut-request" => FailureKind::CutRequest(share(0.0)?),
        "lose-answer" => FailureKind::LoseAnswer,
        "cut-answer" => FailureKind::CutAnswer(share(0.5)?),
        "slow-answer" => FailureKind::SlowAnswer(time()?),
        _ => {
            return Err(
                item.invalid("what.kind", &format!("one of {} is wanted", FailureKind::NAMES.join(", ")))
            );
        }
    })
}

/// Parses a failure order. `proxies` are the proxy incarnations that share it, each preceded by a space.
pub(crate) fn order(name: &str, proxies: &str, item: &ItemJson<'_>) -> Result<Order, InvalidConfig> {
    let (from, until) = (moment(item, "from")?, moment(item, "until")?);
    if until <= from {
        return Err(item.invalid("until", "a moment after `from` is wanted"));
    }
    let state = item.string(&["state"])?;
    let state = State::ALL.iter().find(|(name, _)| *name == state).map(|(_, state)| *state);
    let most = item.number(&["most", "inAll"], None)?;
    if most < 1.0 || most.fract() != 0.0 {
        return Err(item.invalid("most.inAll", "a whole number of 1 or more is wanted"));
    }
    let per_s = item.number(&["most", "perS"], None)?;
    if per_s <= 0.0 {
        return Err(item.invalid("most.perS", "a number over 0 is wanted"));
    }
    Ok(Order {
        name: name.to_owned(),
        selector: whom(item)?,
        kind: what(item)?,
        from,
        until,
        max_requests: most as u64,
        max_per_s: per_s,
        state: state.ok_or_else(|| item.invalid("state", "one of dry, running, stopped is wanted"))?,
        sharing_proxies: proxies.split_whitespace().map(str::to_owned).collect(),
    })
}
