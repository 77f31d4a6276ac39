//! `fennelscale routes`: reads OpenAPI descriptions and shows, checks or compares their routes.

use crate::commands::cli::{Descriptions, RoutesCommand};
use crate::commands::rehearse::with_context;
use crate::unusable;
use fennelscale_log_writer::print_line;
use fennelscale_routes::classes;
use fennelscale_routes::openapi;
use fennelscale_routes::rule::Rule;
use fennelscale_routes::table::{Conflict, Match, Operation, Table, Unusable};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

/// Runs a subcommand of `routes`.
pub fn run(command: &RoutesCommand) -> ExitCode {
    let result = match command {
        RoutesCommand::Check(descriptions) => check(descriptions),
        RoutesCommand::Show(descriptions) => show(descriptions),
        RoutesCommand::Explain { method, path, descriptions } => explain(method, path, descriptions),
        RoutesCommand::Diff { old, new } => diff(old, new),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(what) => unusable(&what),
    }
}

/// Reads a file with the given parser.
fn read<T>(file: &Path, parse: fn(&str, &[u8]) -> Result<T, Unusable>) -> Result<T, String> {
    let text = std::fs::read(file).map_err(with_context(file.display()))?;
    parse(&file.display().to_string(), &text).map_err(|error| error.to_string())
}

/// All operations of the descriptions with the rules of their classes applied, and the resulting conflicts.
fn operations(descriptions: &Descriptions) -> Result<(Vec<Operation>, Vec<Conflict>), String> {
    let known = match &descriptions.classes {
        Some(file) => read(file, classes::read)?,
        None => classes::Classes::new(),
    };
    let mut all = Vec::new();
    for file in &descriptions.files {
        all.extend(read(file, openapi::read)?);
    }
    let conflicts = all.iter_mut().filter_map(|operation| classes::hold(operation, &known)).collect();
    Ok((all, conflicts))
}

fn build_table(operations: Vec<Operation>) -> Result<(Table, Vec<Conflict>), String> {
    Table::of(operations).map_err(|error| error.to_string())
}

fn check(descriptions: &Descriptions) -> Result<bool, String> {
    let (all, mut conflicts) = operations(descriptions)?;
    let count = all.len();
    let (_, more) = build_table(all)?;
    conflicts.extend(more);
    for Conflict { operation, first, second, outcome } in &conflicts {
        print_line!("conflict: {operation}");
        print_line!("  {}: {}", first.1, first.0);
        print_line!("  {}: {}", second.1, second.0);
        print_line!("  holds: {outcome}");
    }
    print_line!("{count} operations, {} conflicts", conflicts.len());
    Ok(conflicts.is_empty())
}

fn show(descriptions: &Descriptions) -> Result<bool, String> {
    let (table, _) = build_table(operations(descriptions)?.0)?;
    for (method, entry) in table.entries() {
        print_line!("{method} {}: {}", entry.template, entry.rule);
    }
    Ok(true)
}

fn explain(method: &str, path: &str, descriptions: &Descriptions) -> Result<bool, String> {
    let method = method.to_ascii_uppercase();
    let (all, conflicts) = operations(descriptions)?;
    let said: Vec<_> = all.iter().map(|o| (o.source.clone(), o.rule.clone())).collect();
    let (table, _) = build_table(all)?;
    match table.find(&method, path).map_err(|unclear| format!("{path}: {unclear}"))? {
        Match::Path => print_line!("404: no path matches {path}"),
        Match::Method(methods) => print_line!("405: {path} is known for {}", methods.join(", ")),
        Match::Operation(entry, parameters) => {
            print_line!("{method} {}: {}", entry.template, entry.rule);
            for (name, value) in parameters {
                print_line!("  {name} = {value}");
            }
            for (source, rule) in said.iter().filter(|(source, _)| entry.sources.contains(source)) {
                print_line!("  {source}: {rule}");
            }
            for conflict in conflicts.iter().filter(|c| entry.sources.contains(&c.first.1)) {
                print_line!("  by its class, {}: {}", conflict.second.1, conflict.second.0);
            }
            return Ok(true);
        }
    }
    Ok(false)
}

/// The rules of a table by method and path template.
fn rules(table: &Table) -> BTreeMap<(&str, &str), &Rule> {
    table.entries().map(|(method, entry)| ((method, entry.template.as_str()), &entry.rule)).collect()
}

fn diff(old: &Path, new: &Path) -> Result<bool, String> {
    let (old, _) = build_table(read(old, openapi::read)?)?;
    let (new, _) = build_table(read(new, openapi::read)?)?;
    let (before, after) = (rules(&old), rules(&new));
    let mut is_as_strict = true;
    for (method, entry) in old.entries() {
        match after.get(&(method, entry.template.as_str())) {
            None => print_line!("gone: {method} {}", entry.template),
            Some(now) if **now != entry.rule => {
                let loosens = !now.is_as_strict_as(&entry.rule);
                is_as_strict &= !loosens;
                let word = if loosens { "LOOSENS" } else { "changes" };
                print_line!("{word}: {method} {}\n  from {}\n  to   {now}", entry.template, entry.rule);
            }
            Some(_) => {}
        }
    }
    for (method, entry) in new.entries() {
        if !before.contains_key(&(method, entry.template.as_str())) {
            print_line!("new: {method} {}: {}", entry.template, entry.rule);
        }
    }
    Ok(is_as_strict)
}
