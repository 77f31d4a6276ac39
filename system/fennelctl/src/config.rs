//! Files that hold the body of a call: checked here by the rules that the store has, compared with what stands.

use crate::gateway::{Asked, Gateways};
use fennelscale_config::{InvalidConfig, check_consistency, content_hash, parse_call, parse_item};
use fennelscale_messages::store::Change;
use std::collections::BTreeMap;
use std::process::ExitCode;

/// Reads a file.
pub fn read(file: &str) -> Result<String, ExitCode> {
    std::fs::read_to_string(file).map_err(|error| {
        eprintln!("fennelctl: {file}: {error}");
        ExitCode::from(2)
    })
}

/// Whether a file's call can be: each item by itself, and all that it holds together. What it needs and does not hold
/// itself (services that stand already) is the store's to check.
pub fn check(file: &str) -> ExitCode {
    let text = match read(file) {
        Ok(text) => text,
        Err(status) => return status,
    };
    match changes(&text) {
        Ok(changes) => {
            let dropped = changes.iter().filter(|change| change.body.is_none()).count();
            say!("{file}: can be: {} items set, {dropped} dropped", changes.len() - dropped);
            ExitCode::SUCCESS
        }
        Err(invalid) => {
            eprintln!("fennelctl: {file}: {invalid}");
            ExitCode::FAILURE
        }
    }
}

fn changes(text: &str) -> Result<Vec<Change>, InvalidConfig> {
    let changes = parse_call(text.as_bytes())?;
    let facts: Vec<_> = changes
        .iter()
        .filter_map(|change| {
            Some((change.name.clone(), parse_item(&change.name, &change.host, change.body.as_deref()?)))
        })
        .map(|(name, fact)| Ok((name, fact?)))
        .collect::<Result<_, InvalidConfig>>()?;
    // Without services in the file its routes may name any that stands.
    if facts.iter().any(|(name, _)| name.starts_with("s:")) {
        check_consistency(facts.iter().map(|(name, fact)| (name.as_str(), fact)))?;
    }
    Ok(changes)
}

/// What a file's call would change.
pub async fn diff(gateways: &Gateways, file: &str) -> ExitCode {
    let wanted = match read(file).map(|text| changes(&text)) {
        Ok(Ok(wanted)) => wanted,
        Ok(Err(invalid)) => {
            eprintln!("fennelctl: {file}: {invalid}");
            return ExitCode::FAILURE;
        }
        Err(status) => return status,
    };
    let standing = match gateways.clear("GET", "/fennelscale/config", "").await {
        Asked::Answered(200, body) => body,
        other => return crate::print(other),
    };
    let standing = match parse_call(format!("{{\"upsert\":{standing}}}").as_bytes()) {
        Ok(standing) => standing,
        Err(invalid) => {
            eprintln!("fennelctl: what stands cannot be read: {invalid}");
            return ExitCode::from(3);
        }
    };
    let standing: BTreeMap<&str, &Change> = standing.iter().map(|c| (c.name.as_str(), c)).collect();
    let mut differences = 0;
    for change in &wanted {
        let known = standing.get(change.name.as_str());
        let same = |known: &&&Change| {
            content_hash(&known.host, known.body.as_deref())
                == content_hash(&change.host, change.body.as_deref())
        };
        let what = match (known, &change.body) {
            (Some(known), _) if known.revision > change.revision => "overtaken, no effect",
            (Some(known), Some(_)) if known.revision == change.revision && same(&known) => continue,
            (Some(known), _) if known.revision == change.revision => {
                "conflict: this version has another content"
            }
            (Some(_), Some(_)) => "changed",
            (Some(_), None) => "dropped",
            (None, Some(_)) => "new, or dropped before",
            (None, None) => "not there",
        };
        differences += 1;
        let from = known.map_or("none".into(), |known| format!("{:08x}", known.revision));
        say!("{:30} {from} -> {:08x} {what}", change.name, change.revision);
    }
    if differences == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
