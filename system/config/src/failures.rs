//! Failure orders, read and checked by themselves.

use crate::InvalidConfig;
use crate::item::Item;
use fennelscale_fault_injection::{Order, State, What, Whom};
use jiff::Timestamp;
use std::collections::BTreeSet;

/// The longest time that an order holds a request, in ms.
const LONGEST_HOLD: f64 = 30_000.0;
/// The most names of one kind that an order may list.
const MOST_NAMES: usize = 256;

fn moment(item: &Item<'_>, field: &str) -> Result<f64, InvalidConfig> {
    let stamp: Option<Timestamp> = item.text(&[field])?.parse().ok();
    let stamp = stamp.ok_or_else(|| item.wrong(field, "a moment like 2026-12-02T22:00:00Z is wanted"))?;
    Ok(stamp.as_millisecond() as f64)
}

fn whom(item: &Item<'_>) -> Result<Whom, InvalidConfig> {
    let names = |field: &str| -> Result<BTreeSet<String>, InvalidConfig> {
        let names = item.texts(&["whom", field])?;
        if names.len() > MOST_NAMES {
            return Err(item.wrong(&format!("whom.{field}"), &format!("{MOST_NAMES} names at most")));
        }
        Ok(names.into_iter().collect())
    };
    let kinds = names("kinds")?;
    if let Some(kind) =
        kinds.iter().find(|k| !["idempotent", "non_idempotent", "upload"].contains(&k.as_str()))
    {
        return Err(
            item.wrong("whom.kinds", &format!("{kind}: idempotent, non_idempotent or upload is wanted"))
        );
    }
    let share = item.number(&["whom", "share"], Some(1.0))?;
    if !(share > 0.0 && share <= 1.0) {
        return Err(item.wrong("whom.share", "a share over 0, up to 1 is wanted"));
    }
    let whom = Whom {
        tenants: names("tenants")?,
        keys: names("keys")?,
        routes: names("routes")?,
        hosts: names("hosts")?.iter().map(|host| host.to_ascii_lowercase()).collect(),
        kinds,
        regions: names("regions")?,
        share,
    };
    if whom.is_broad() && !item.flag(&["whom", "everybody"])? {
        return Err(item.wrong(
            "whom",
            "no tenant, key or route is named: that meets everybody; say so with everybody = true",
        ));
    }
    Ok(whom)
}

fn what(item: &Item<'_>) -> Result<What, InvalidConfig> {
    let time = || {
        let time = item.span(&["what", "time"], None)?;
        if time > 0.0 && time <= LONGEST_HOLD {
            return Ok(time);
        }
        Err(item.wrong("what.time", &format!("over 0 and {:.0} s at most are wanted", LONGEST_HOLD / 1000.0)))
    };
    let share = |usual: f64| {
        let share = item.number(&["what", "share"], Some(usual))?;
        if share <= 1.0 { Ok(share) } else { Err(item.wrong("what.share", "a share from 0 to 1 is wanted")) }
    };
    Ok(match item.text(&["what", "kind"])?.as_str() {
        "refuse" => What::Refuse,
        "delay" => What::Delay(time()?),
        "cut-request" => What::CutRequest(share(0.0)?),
        "lose-answer" => What::LoseAnswer,
        "cut-answer" => What::CutAnswer(share(0.5)?),
        "slow-answer" => What::SlowAnswer(time()?),
        _ => return Err(item.wrong("what.kind", &format!("one of {} is wanted", What::NAMES.join(", ")))),
    })
}

/// A failure order. `among`: the lives of proxies that share it, each behind a blank.
pub(crate) fn order(name: &str, among: &str, item: &Item<'_>) -> Result<Order, InvalidConfig> {
    let (from, until) = (moment(item, "from")?, moment(item, "until")?);
    if until <= from {
        return Err(item.wrong("until", "a moment after `from` is wanted"));
    }
    let state = item.text(&["state"])?;
    let state = State::ALL.iter().find(|(name, _)| *name == state).map(|(_, state)| *state);
    let most = item.number(&["most", "inAll"], None)?;
    if most < 1.0 || most.fract() != 0.0 {
        return Err(item.wrong("most.inAll", "a whole number of 1 or more is wanted"));
    }
    let per_s = item.number(&["most", "perS"], None)?;
    if per_s <= 0.0 {
        return Err(item.wrong("most.perS", "a number over 0 is wanted"));
    }
    Ok(Order {
        name: name.to_owned(),
        whom: whom(item)?,
        what: what(item)?,
        from,
        until,
        most: most as u64,
        per_s,
        state: state.ok_or_else(|| item.wrong("state", "one of dry, running, stopped is wanted"))?,
        among: among.split_whitespace().map(str::to_owned).collect(),
    })
}
