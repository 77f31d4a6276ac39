//! Files that hold the body of a configuration call: validates them by the store's rules and compares them
//! with the current configuration.

use crate::registry_client::{CallResult, RegistryClient};
use fennelscale_config::{InvalidConfig, check_consistency, content_hash, parse_call, parse_item};
use fennelscale_log_writer::{print_line, print_message};
use fennelscale_messages::store::Change;
use std::collections::BTreeMap;
use std::process::ExitCode;

pub fn read(file: &str) -> Result<String, ExitCode> {
    std::fs::read_to_string(file).map_err(|error| {
        print_message!("fennelctl: {file}: {error}");
        ExitCode::from(2)
    })
}

/// Validates a file: each item by itself, and all of them together. References to services that the file does
/// not contain are left for the store to check.
pub fn check(file: &str) -> ExitCode {
    let text = match read(file) {
        Ok(text) => text,
        Err(status) => return status,
    };
    match parse_changes(&text) {
        Ok(changes) => {
            let dropped = changes.iter().filter(|change| change.body.is_none()).count();
            print_line!("{file}: can be: {} items set, {dropped} dropped", changes.len() - dropped);
            ExitCode::SUCCESS
        }
        Err(invalid) => {
            print_message!("fennelctl: {file}: {invalid}");
            ExitCode::FAILURE
        }
    }
}

fn parse_changes(text: &str) -> Result<Vec<Change>, InvalidConfig> {
    let changes = parse_call(text.as_bytes())?;
    let entries: Vec<_> = changes
        .iter()
        .filter_map(|change| {
            Some((change.name.clone(), parse_item(&change.name, &change.host, change.body.as_deref()?)))
        })
        .map(|(name, entry)| Ok((name, entry?)))
        .collect::<Result<_, InvalidConfig>>()?;
    // If the file contains no services, its routes may refer to any that exist.
    if entries.iter().any(|(name, _)| name.starts_with("s:")) {
        check_consistency(entries.iter().map(|(name, entry)| (name.as_str(), entry)))?;
    }
    Ok(changes)
}

/// Prints what a file would change.
pub async fn diff(registries: &RegistryClient, file: &str) -> ExitCode {
    let requested = match read(file).map(|text| parse_changes(&text)) {
        Ok(Ok(requested)) => requested,
        Ok(Err(invalid)) => {
            print_message!("fennelctl: {file}: {invalid}");
            return ExitCode::FAILURE;
        }
        Err(status) => return status,
    };
    let current = match registries.call("GET", "/fennelscale/config", "").await {
        CallResult::Response(200, body) => body,
        other => return crate::print_result(other),
    };
    let current = match parse_call(format!("{{\"upsert\":{current}}}").as_bytes()) {
        Ok(current) => current,
        Err(invalid) => {
            print_message!("fennelctl: what stands cannot be read: {invalid}");
            return ExitCode::from(3);
        }
    };
    let current: BTreeMap<&str, &Change> = current.iter().map(|c| (c.name.as_str(), c)).collect();
    let mut differences = 0;
    for change in &requested {
        let known = current.get(change.name.as_str());
        let same = |known: &&&Change| {
            content_hash(&known.host, known.body.as_deref())
                == content_hash(&change.host, change.body.as_deref())
        };
        let effect = match (known, &change.body) {
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
        print_line!("{:30} {from} -> {:08x} {effect}", change.name, change.revision);
    }
    if differences == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
