//! Failure orders: started, run dry, stopped, counted.

use crate::Plain;
use crate::gateway::Gateways;
use crate::order::{change, items, text};
use gumdrop::Options;
use sonic_rs::{JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::process::ExitCode;

/// The list of the configuration that they are in.
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
    Dry(Named),
    #[options(help = "fail whom it names, in its time")]
    Start(Named),
    #[options(help = "fail nobody more")]
    Stop(Named),
    #[options(
        help = "how many were named and failed, and how all others fared; name every registry with --at"
    )]
    Report(Plain),
    #[options(help = "how an order names a key")]
    Fingerprint(Key),
}

#[derive(Debug, Options)]
struct Named {
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

pub async fn run(gateways: &Gateways, failure: Failure) -> ExitCode {
    match failure.command {
        None => {
            eprintln!("fennelctl: failure: one of dry, start, stop, report, fingerprint");
            ExitCode::from(2)
        }
        Some(Command::Dry(named)) => change(gateways, LIST, &named.order, "dry", None).await,
        Some(Command::Start(named)) => change(gateways, LIST, &named.order, "running", None).await,
        Some(Command::Stop(named)) => change(gateways, LIST, &named.order, "stopped", None).await,
        Some(Command::Report(_)) => report(gateways).await,
        Some(Command::Fingerprint(key)) => {
            say!("{}", fennelscale_fault_injection::fingerprint(&key.key));
            ExitCode::SUCCESS
        }
    }
}

/// Named, failed, untouched; others served, refused, failed, before and in the order's time.
type Sums = [u64; 9];

/// What one line of an answer says.
fn sums(line: &Value) -> Sums {
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

/// All that proxies have counted, by order. A proxy whose session has moved is told of by two registries: its counts only grow, so the
/// higher ones are the newer.
fn added(answers: &[String]) -> BTreeMap<String, Sums> {
    let mut lives: BTreeMap<(String, String, String), Sums> = BTreeMap::new();
    for answer in answers {
        let told: Value = sonic_rs::from_str(answer).unwrap_or_default();
        for line in items(&told, "met") {
            let life = (text(&line, "order"), text(&line, "proxy"), text(&line, "life"));
            let known = lives.entry(life).or_default();
            let line = sums(&line);
            (0..9).for_each(|at| known[at] = known[at].max(line[at]));
        }
    }
    let mut orders: BTreeMap<String, Sums> = BTreeMap::new();
    for ((order, ..), sums) in lives {
        let all = orders.entry(order).or_default();
        (0..9).for_each(|at| all[at] += sums[at]);
    }
    orders
}

async fn report(gateways: &Gateways) -> ExitCode {
    let (mut answers, mut silent) = (Vec::new(), 0);
    for (at, answer) in gateways.each("/fennelscale/failures").await {
        match answer {
            Some(answer) => answers.push(answer),
            None => {
                eprintln!("{at}: no answer; its proxies' counts may be missing");
                silent += 1;
            }
        }
    }
    for (order, sums) in added(&answers) {
        let [named, failed, untouched, before @ .., served, refused, lost] = sums;
        if gateways.json {
            let before =
                format!(r#"{{"served":{},"refused":{},"failed":{}}}"#, before[0], before[1], before[2]);
            let within = format!(r#"{{"served":{served},"refused":{refused},"failed":{lost}}}"#);
            let order = sonic_rs::to_string(&order).unwrap_or_default();
            say!(
                r#"{{"order":{order},"named":{named},"failed":{failed},"untouched":{untouched},"othersBefore":{before},"others":{within}}}"#
            );
            continue;
        }
        let share = |[served, refused, failed]: [u64; 3]| {
            let all = served + refused + failed;
            let part = if all == 0 { 0.0 } else { served as f64 * 100.0 / all as f64 };
            format!("{served} of {all} served ({part:.2}%), {refused} refused, {failed} failed")
        };
        say!("{order}: {named} named, {failed} failed, {untouched} of them left untouched");
        say!("  all others before its time: {}", share(before));
        say!("  all others in its time:     {}", share([served, refused, lost]));
    }
    if answers.is_empty() || silent > 0 { ExitCode::from(3) } else { ExitCode::SUCCESS }
}

#[cfg(test)]
mod tests {
    use super::added;

    #[test]
    fn counts_of_two_registries_are_added_and_none_counts_twice() {
        let line = |order: &str, proxy: &str, life: &str, failed: u64| {
            format!(
                r#"{{"order":"{order}","proxy":"{proxy}","life":"{life}","named":9,"failed":{failed},"untouched":1,"othersBefore":{{"served":5,"refused":0,"failed":0}},"others":{{"served":7,"refused":1,"failed":0}}}}"#
            )
        };
        let one = format!(r#"{{"met":[{},{}]}}"#, line("o", "p", "1", 3), line("o", "q", "1", 2));
        let other = format!(r#"{{"met":[{},{}]}}"#, line("o", "p", "1", 4), line("o", "p", "2", 1));
        let sums = added(&[one, other, "{".into()]);
        assert_eq!(sums["o"], [27, 7, 3, 15, 0, 0, 21, 3, 0]);
        assert_eq!(sums.len(), 1);
    }
}
