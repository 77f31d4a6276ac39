//! Failure orders: start, dry run, stop and report.

use crate::NoArguments;
use crate::order::{items, set_state, text};
use crate::registry_client::RegistryClient;
use fennelscale_log_writer::{print_line, print_message};
use gumdrop::Options;
use sonic_rs::{JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::process::ExitCode;

/// The configuration list that holds failure orders.
const LIST: &str = "failureOrders";

#[derive(Debug, Options)]
pub struct Failure {
    #[options(help = "show this and end")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "count whom an order would meet, and fail nobody")]
    Dry(OrderArgument),
    #[options(help = "fail whom it names, in its time")]
    Start(OrderArgument),
    #[options(help = "fail nobody more")]
    Stop(OrderArgument),
    #[options(
        help = "how many were named and failed, and how all others fared; name every registry with --at"
    )]
    Report(NoArguments),
    #[options(help = "how an order names a key")]
    Fingerprint(Key),
}

#[derive(Debug, Options)]
struct OrderArgument {
    #[options(help = "show this and end")]
    help: bool,
    #[options(free, required, help = "the order")]
    order: String,
}

#[derive(Debug, Options)]
struct Key {
    #[options(help = "show this and end")]
    help: bool,
    #[options(free, required, help = "the key")]
    key: String,
}

pub async fn run(registries: &RegistryClient, failure: Failure) -> ExitCode {
    match failure.command {
        None => {
            print_message!("fennelctl: failure: one of dry, start, stop, report, fingerprint");
            ExitCode::from(2)
        }
        Some(Command::Dry(named)) => set_state(registries, LIST, &named.order, "dry", None).await,
        Some(Command::Start(named)) => set_state(registries, LIST, &named.order, "running", None).await,
        Some(Command::Stop(named)) => set_state(registries, LIST, &named.order, "stopped", None).await,
        Some(Command::Report(_)) => report(registries).await,
        Some(Command::Fingerprint(key)) => {
            print_line!("{}", fennelscale_fault_injection::fingerprint(&key.key));
            ExitCode::SUCCESS
        }
    }
}

/// Requests that an order selected, failed and left unaffected; then other requests served, refused and
/// failed, before the order's period and within it.
type Counts = [u64; 9];

/// Parses the counts of one line of a response.
fn counts(line: &Value) -> Counts {
    let number = |value: &Value, name: &str| value.get(name).and_then(|v| v.as_u64()).unwrap_or_default();
    let mut all = [0; 9];
    for (at, name) in ["named", "failed", "untouched"].into_iter().enumerate() {
        all[at] = number(line, name);
    }
    for (block, name) in ["othersBefore", "others"].into_iter().enumerate() {
        let Some(value) = line.get(name) else { continue };
        for (at, name) in ["served", "refused", "failed"].into_iter().enumerate() {
            all[3 + 3 * block + at] = number(value, name);
        }
    }
    all
}

/// Adds up the proxies' counts by order. Two registries may report a proxy whose session has moved. Its
/// counts only grow, so that the higher ones are newer.
fn total_counts(answers: &[String]) -> BTreeMap<String, Counts> {
    let mut incarnations: BTreeMap<(String, String, String), Counts> = BTreeMap::new();
    for answer in answers {
        let response: Value = sonic_rs::from_str(answer).unwrap_or_default();
        for line in items(&response, "met") {
            let incarnation = (text(&line, "order"), text(&line, "proxy"), text(&line, "life"));
            let known = incarnations.entry(incarnation).or_default();
            let line = counts(&line);
            (0..9).for_each(|at| known[at] = known[at].max(line[at]));
        }
    }
    let mut orders: BTreeMap<String, Counts> = BTreeMap::new();
    for ((order, ..), counts) in incarnations {
        let all = orders.entry(order).or_default();
        (0..9).for_each(|at| all[at] += counts[at]);
    }
    orders
}

async fn report(registries: &RegistryClient) -> ExitCode {
    let (mut answers, mut missing) = (Vec::new(), 0);
    for (at, answer) in registries.call_each("/fennelscale/failures").await {
        match answer {
            Some(answer) => answers.push(answer),
            None => {
                print_message!("{at}: no answer; its proxies' counts may be missing");
                missing += 1;
            }
        }
    }
    for (order, counts) in total_counts(&answers) {
        let [named, failed, untouched, before @ .., served, refused, lost] = counts;
        if registries.json {
            let before =
                format!(r#"{{"served":{},"refused":{},"failed":{}}}"#, before[0], before[1], before[2]);
            let within = format!(r#"{{"served":{served},"refused":{refused},"failed":{lost}}}"#);
            let order = sonic_rs::to_string(&order).unwrap_or_default();
            print_line!(
                r#"{{"order":{order},"named":{named},"failed":{failed},"untouched":{untouched},"othersBefore":{before},"others":{within}}}"#
            );
            continue;
        }
        let share = |[served, refused, failed]: [u64; 3]| {
            let all = served + refused + failed;
            let part = if all == 0 { 0.0 } else { served as f64 * 100.0 / all as f64 };
            format!("{served} of {all} served ({part:.2}%), {refused} refused, {failed} failed")
        };
        print_line!("{order}: {named} named, {failed} failed, {untouched} of them left untouched");
        print_line!("  all others before its time: {}", share(before));
        print_line!("  all others in its time:     {}", share([served, refused, lost]));
    }
    if answers.is_empty() || missing > 0 { ExitCode::from(3) } else { ExitCode::SUCCESS }
}

#[cfg(test)]
mod tests {
    use super::total_counts;

    #[test]
    fn counts_of_two_registries_are_added_without_duplicates() {
        let line = |order: &str, proxy: &str, life: &str, failed: u64| {
            format!(
                r#"{{"order":"{order}","proxy":"{proxy}","life":"{life}","named":9,"failed":{failed},"untouched":1,"othersBefore":{{"served":5,"refused":0,"failed":0}},"others":{{"served":7,"refused":1,"failed":0}}}}"#
            )
        };
        let one = format!(r#"{{"met":[{},{}]}}"#, line("o", "p", "1", 3), line("o", "q", "1", 2));
        let other = format!(r#"{{"met":[{},{}]}}"#, line("o", "p", "1", 4), line("o", "p", "2", 1));
        let counts = total_counts(&[one, other, "{".into()]);
        assert_eq!(counts["o"], [27, 7, 3, 15, 0, 0, 21, 3, 0]);
        assert_eq!(counts.len(), 1);
    }
}
