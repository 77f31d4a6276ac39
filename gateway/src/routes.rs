//! `fennelscale routes`: reads descriptions and tells what routes they make.

use crate::cli::RoutesDeed;
use fennelscale_routes::classes;
use fennelscale_routes::openapi;
use fennelscale_routes::rule::Rule;
use fennelscale_routes::table::{Conflict, Match, Operation, Table};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Does one deed of `routes`.
pub fn run(deed: &RoutesDeed) -> ExitCode {
    let done = match deed {
        RoutesDeed::Check { files, classes } => check(files, classes.as_deref()),
        RoutesDeed::Show { files, classes } => show(files, classes.as_deref()),
        RoutesDeed::Explain { method, path, files, classes } => {
            explain(method, path, files, classes.as_deref())
        }
        RoutesDeed::Diff { old, new } => diff(old, new),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(what) => {
            eprintln!("fennelscale: {what}");
            ExitCode::from(2)
        }
    }
}

fn read(file: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(file).map_err(|error| format!("{}: {error}", file.display()))
}

/// All operations of some descriptions, held to their classes, and who gave way to a class.
fn operations(files: &[PathBuf], table: Option<&Path>) -> Result<(Vec<Operation>, Vec<Conflict>), String> {
    let known = match table {
        Some(file) => classes::read(&file.display().to_string(), &read(file)?).map_err(|e| e.to_string())?,
        None => classes::Classes::new(),
    };
    let mut all = Vec::new();
    for file in files {
        all.extend(openapi::read(&file.display().to_string(), &read(file)?).map_err(|e| e.to_string())?);
    }
    let conflicts = all.iter_mut().filter_map(|operation| classes::hold(operation, &known)).collect();
    Ok((all, conflicts))
}

fn check(files: &[PathBuf], table: Option<&Path>) -> Result<bool, String> {
    let (all, mut conflicts) = operations(files, table)?;
    let count = all.len();
    let (_, more) = Table::of(all).map_err(|error| error.to_string())?;
    conflicts.extend(more);
    for Conflict { operation, first, second, outcome } in &conflicts {
        println!("conflict: {operation}");
        println!("  {}: {}", first.1, first.0);
        println!("  {}: {}", second.1, second.0);
        println!("  holds: {outcome}");
    }
    println!("{count} operations, {} conflicts", conflicts.len());
    Ok(conflicts.is_empty())
}

fn show(files: &[PathBuf], table: Option<&Path>) -> Result<bool, String> {
    let (table, _) = Table::of(operations(files, table)?.0).map_err(|error| error.to_string())?;
    for (method, entry) in table.entries() {
        println!("{method} {}: {}", entry.template, entry.rule);
    }
    Ok(true)
}

fn explain(method: &str, path: &str, files: &[PathBuf], table: Option<&Path>) -> Result<bool, String> {
    let (all, conflicts) = operations(files, table)?;
    let said: Vec<_> = all.iter().map(|o| (o.source.clone(), o.rule.clone())).collect();
    let (table, _) = Table::of(all).map_err(|error| error.to_string())?;
    match table.find(&method.to_ascii_uppercase(), path).map_err(|unclear| format!("{path}: {unclear}"))? {
        Match::Path => println!("404: no path matches {path}"),
        Match::Method(methods) => println!("405: {path} is known for {}", methods.join(", ")),
        Match::Operation(entry, parameters) => {
            println!("{} {}: {}", method.to_ascii_uppercase(), entry.template, entry.rule);
            for (name, value) in parameters {
                println!("  {name} = {value}");
            }
            for (source, rule) in said.iter().filter(|(source, _)| entry.sources.contains(source)) {
                println!("  {source}: {rule}");
            }
            for conflict in conflicts.iter().filter(|c| entry.sources.contains(&c.first.1)) {
                println!("  by its class, {}: {}", conflict.second.1, conflict.second.0);
            }
            return Ok(true);
        }
    }
    Ok(false)
}

fn diff(old: &Path, new: &Path) -> Result<bool, String> {
    let table = |file: &Path| -> Result<Table, String> {
        Ok(Table::of(operations(&[file.into()], None)?.0).map_err(|error| error.to_string())?.0)
    };
    let (old, new) = (table(old)?, table(new)?);
    let rule = |table: &Table, method: &str, template: &str| -> Option<Rule> {
        table.entries().find(|(m, e)| *m == method && e.template == template).map(|(_, e)| e.rule.clone())
    };
    let mut tight = true;
    for (method, entry) in old.entries() {
        match rule(&new, method, &entry.template) {
            None => println!("gone: {method} {}", entry.template),
            Some(now) if now != entry.rule => {
                let loosens = !now.is_as_strict_as(&entry.rule);
                tight &= !loosens;
                let word = if loosens { "LOOSENS" } else { "changes" };
                println!("{word}: {method} {}\n  from {}\n  to   {now}", entry.template, entry.rule);
            }
            Some(_) => {}
        }
    }
    for (method, entry) in new.entries() {
        if rule(&old, method, &entry.template).is_none() {
            println!("new: {method} {}: {}", entry.template, entry.rule);
        }
    }
    Ok(tight)
}
