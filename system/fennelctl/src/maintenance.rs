//! Maintenance orders: rehearsed, approved, started, paused, ended, withdrawn, shown and explained.
//!
//! What is wanted of an order is a field of the order, which is an item like others: each of these commands reads it, changes
//! that field and sends it under the next version. Whoever changed it in between is heard: 409, nothing has changed.

use crate::gateway::{Asked, Gateways};
use crate::order::{change, items, text};
use crate::{File, Plain, config, print};
use gumdrop::Options;
use sonic_rs::{JsonValueTrait, Value};
use std::process::ExitCode;

/// The list of the configuration that they are in.
const LIST: &str = "workOrders";
const PATH: &str = "/fennelscale/maintenance";

#[derive(Debug, Options)]
pub struct Maintenance {
    #[options(help = "show this and end")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "all orders, and how far their nodes are")]
    List(Plain),
    #[options(help = "why the nodes of an order are or are not drained now")]
    Explain(Named),
    #[options(help = "what would stand in the way of a file's orders; nothing is sent on")]
    Rehearse(File),
    #[options(help = "approve an order (--by NAME)")]
    Approve(Named),
    #[options(help = "service its nodes in the contract's hours")]
    Start(Named),
    #[options(help = "drain no further node")]
    Pause(Named),
    #[options(help = "take all its nodes back; it does not go on")]
    End(Named),
    #[options(help = "take the approval back, and all its nodes")]
    Withdraw(Named),
}

#[derive(Debug, Options)]
struct Named {
    #[options(help = "show this and end")]
    help: bool,
    #[options(help = "who approves it", meta = "NAME")]
    by: Option<String>,
    #[options(free, required, help = "the order")]
    order: String,
}

pub async fn run(gateways: &Gateways, maintenance: Maintenance) -> ExitCode {
    match maintenance.command {
        None => {
            eprintln!(
                "fennelctl: maintenance: one of list, explain, rehearse, approve, start, pause, end, withdraw"
            );
            ExitCode::from(2)
        }
        Some(Command::List(_)) => list(gateways, None).await,
        Some(Command::Explain(named)) => list(gateways, Some(&named.order)).await,
        Some(Command::Rehearse(file)) => rehearse(gateways, &file.file).await,
        Some(Command::Approve(named)) => {
            let Some(by) = &named.by else {
                eprintln!("fennelctl: approve: say who approves it with --by NAME");
                return ExitCode::from(2);
            };
            change(gateways, LIST, &named.order, "approved", Some(by)).await
        }
        Some(Command::Start(named)) => {
            change(gateways, LIST, &named.order, "running", named.by.as_deref()).await
        }
        Some(Command::Pause(named)) => change(gateways, LIST, &named.order, "paused", None).await,
        Some(Command::End(named)) => change(gateways, LIST, &named.order, "ended", None).await,
        Some(Command::Withdraw(named)) => change(gateways, LIST, &named.order, "withdrawn", Some("")).await,
    }
}

async fn list(gateways: &Gateways, only: Option<&str>) -> ExitCode {
    let body = match gateways.clear("GET", PATH, "").await {
        Asked::Answered(200, body) => body,
        other => return print(other),
    };
    let told: Value = sonic_rs::from_str(&body).unwrap_or_default();
    let mut orders = items(&told, "orders");
    orders.retain(|order| only.is_none_or(|name| text(order, "name") == name));
    if let Some(name) = only.filter(|_| orders.is_empty()) {
        eprintln!("fennelctl: there is no order {name}");
        return ExitCode::FAILURE;
    }
    if gateways.json {
        match only {
            None => say!("{body}"),
            Some(_) => {
                orders.iter().for_each(|order| say!("{}", sonic_rs::to_string(order).unwrap_or_default()))
            }
        }
        return ExitCode::SUCCESS;
    }
    match told.get("time").filter(|time| !time.is_null()) {
        None => say!("no time of day can be trusted now; nothing is drained"),
        Some(time) => {
            let ms = |name| time.get(name).and_then(|v| v.as_f64()).unwrap_or_default();
            say!("the time is trusted within {:.0} ms", ms("latest") - ms("earliest"));
        }
    }
    for order in &orders {
        let (contract, hours) = (text(order, "contract"), text(order, "hours"));
        say!(
            "{} {} by {contract}, {hours}; held by {}",
            text(order, "name"),
            text(order, "state"),
            text(order, "holder")
        );
        for node in items(order, "nodes") {
            let waits: Vec<String> =
                items(&node, "waitsFor").iter().filter_map(|v| v.as_str().map(str::to_owned)).collect();
            let waits =
                if waits.is_empty() { String::new() } else { format!("; waits for {}", waits.join(" ")) };
            let (name, phase) = (text(&node, "node"), text(&node, "phase"));
            say!("  {name:30} {phase:10} {:30} {}{waits}", text(&node, "since"), text(&node, "why"));
        }
    }
    ExitCode::SUCCESS
}

async fn rehearse(gateways: &Gateways, file: &str) -> ExitCode {
    let body = match config::read(file) {
        Ok(body) => body,
        Err(status) => return status,
    };
    let answer = match gateways.clear("POST", PATH, &body).await {
        Asked::Answered(200, answer) => answer,
        other => return print(other),
    };
    let told: Value = sonic_rs::from_str(&answer).unwrap_or_default();
    if gateways.json {
        say!("{answer}");
    } else {
        for missing in items(&told, "missing") {
            say!(
                "order {}: {}: {}",
                text(&missing, "order"),
                text(&missing, "node"),
                text(&missing, "missing")
            );
        }
    }
    if told.get("can").and_then(|can| can.as_bool()) == Some(true) {
        if !gateways.json {
            say!("{file}: nothing stands in its way for good");
        }
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
