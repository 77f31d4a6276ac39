//! Maintenance orders: list, explain, rehearse, approve, start, pause, end and withdraw.
//!
//! An order is a configuration item, and its desired state is a field: the commands read the item, change
//! that field and send it with the next version. A concurrent change leads to a 409, and nothing is changed.

use crate::order::{items, set_state, text};
use crate::registry_client::{CallResult, RegistryClient};
use crate::{FileArgument, NoArguments, config, print_result};
use fennelscale_log_writer::{print_line, print_message};
use gumdrop::Options;
use sonic_rs::{JsonValueTrait, Value};
use std::process::ExitCode;

/// The configuration list that holds maintenance orders.
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
    List(NoArguments),
    #[options(help = "why the nodes of an order are or are not drained now")]
    Explain(OrderArgument),
    #[options(help = "what would stand in the way of a file's orders; nothing is sent on")]
    Rehearse(FileArgument),
    #[options(help = "approve an order (--by NAME)")]
    Approve(OrderArgument),
    #[options(help = "service its nodes in the contract's hours")]
    Start(OrderArgument),
    #[options(help = "drain no further node")]
    Pause(OrderArgument),
    #[options(help = "take all its nodes back; it does not go on")]
    End(OrderArgument),
    #[options(help = "take the approval back, and all its nodes")]
    Withdraw(OrderArgument),
}

#[derive(Debug, Options)]
struct OrderArgument {
    #[options(help = "show this and end")]
    help: bool,
    #[options(help = "who approves it", meta = "NAME")]
    by: Option<String>,
    #[options(free, required, help = "the order")]
    order: String,
}

pub async fn run(registries: &RegistryClient, maintenance: Maintenance) -> ExitCode {
    match maintenance.command {
        None => {
            print_message!(
                "fennelctl: maintenance: one of list, explain, rehearse, approve, start, pause, end, withdraw"
            );
            ExitCode::from(2)
        }
        Some(Command::List(_)) => list(registries, None).await,
        Some(Command::Explain(named)) => list(registries, Some(&named.order)).await,
        Some(Command::Rehearse(file)) => rehearse(registries, &file.file).await,
        Some(Command::Approve(named)) => {
            let Some(by) = &named.by else {
                print_message!("fennelctl: approve: say who approves it with --by NAME");
                return ExitCode::from(2);
            };
            set_state(registries, LIST, &named.order, "approved", Some(by)).await
        }
        Some(Command::Start(named)) => {
            set_state(registries, LIST, &named.order, "running", named.by.as_deref()).await
        }
        Some(Command::Pause(named)) => set_state(registries, LIST, &named.order, "paused", None).await,
        Some(Command::End(named)) => set_state(registries, LIST, &named.order, "ended", None).await,
        Some(Command::Withdraw(named)) => {
            set_state(registries, LIST, &named.order, "withdrawn", Some("")).await
        }
    }
}

async fn list(registries: &RegistryClient, only: Option<&str>) -> ExitCode {
    let body = match registries.call("GET", PATH, "").await {
        CallResult::Response(200, body) => body,
        other => return print_result(other),
    };
    let response: Value = sonic_rs::from_str(&body).unwrap_or_default();
    let mut orders = items(&response, "orders");
    orders.retain(|order| only.is_none_or(|name| text(order, "name") == name));
    if let Some(name) = only.filter(|_| orders.is_empty()) {
        print_message!("fennelctl: there is no order {name}");
        return ExitCode::FAILURE;
    }
    if registries.json {
        match only {
            None => print_line!("{body}"),
            Some(_) => orders
                .iter()
                .for_each(|order| print_line!("{}", sonic_rs::to_string(order).unwrap_or_default())),
        }
        return ExitCode::SUCCESS;
    }
    match response.get("time").filter(|time| !time.is_null()) {
        None => print_line!("no time of day can be trusted now; nothing is drained"),
        Some(time) => {
            let ms = |name| time.get(name).and_then(|v| v.as_f64()).unwrap_or_default();
            print_line!("the time is trusted within {:.0} ms", ms("latest") - ms("earliest"));
        }
    }
    for order in &orders {
        let (contract, hours) = (text(order, "contract"), text(order, "hours"));
        print_line!(
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
            print_line!("  {name:30} {phase:10} {:30} {}{waits}", text(&node, "since"), text(&node, "why"));
        }
    }
    ExitCode::SUCCESS
}

async fn rehearse(registries: &RegistryClient, file: &str) -> ExitCode {
    let body = match config::read(file) {
        Ok(body) => body,
        Err(status) => return status,
    };
    let answer = match registries.call("POST", PATH, &body).await {
        CallResult::Response(200, answer) => answer,
        other => return print_result(other),
    };
    let response: Value = sonic_rs::from_str(&answer).unwrap_or_default();
    if registries.json {
        print_line!("{answer}");
    } else {
        for missing in items(&response, "missing") {
            print_line!(
                "order {}: {}: {}",
                text(&missing, "order"),
                text(&missing, "node"),
                text(&missing, "missing")
            );
        }
    }
    if response.get("can").and_then(|can| can.as_bool()) == Some(true) {
        if !registries.json {
            print_line!("{file}: nothing stands in its way for good");
        }
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
