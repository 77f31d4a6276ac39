//! What reading and matching cost by the number of operations: `cargo bench -p fennelscale-routes`.
//!
//! Each figure is the median of several rounds; matching is measured beside a linear scan in turns, in one run.

use fennelscale_routes::openapi;
use fennelscale_routes::table::{Match, Table};
use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// A description of so many operations: collections with an item below each, two methods at every path.
fn description(operations: usize) -> String {
    let mut text = String::from("openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n");
    for n in 0..operations.div_ceil(4) {
        for path in [format!("/area{}/things{n}", n % 17), format!("/area{}/things{n}/{{id}}/parts", n % 17)]
        {
            let _ = write!(
                text,
                "  {path}:\n    get:\n      tags: [preview]\n      summary: Reads one of many things\n    post:\n      \
                 x-fennelscale-class: licence-order\n      x-fennelscale-units: 5\n      x-fennelscale-deadline: 10s\n"
            );
        }
    }
    text
}

fn median(mut rounds: Vec<Duration>) -> Duration {
    rounds.sort();
    rounds[rounds.len() / 2]
}

fn timed(deed: impl FnOnce()) -> Duration {
    let begun = Instant::now();
    deed();
    begun.elapsed()
}

/// Resident memory in bytes, where the system tells it.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * 1024
}

/// Tries all templates, segment by segment.
fn scan(templates: &[String], path: &str) -> Option<usize> {
    let fits = |template: &String| {
        let mut theirs = template.split('/');
        let mut ours = path.split('/');
        loop {
            match (theirs.next(), ours.next()) {
                (None, None) => return true,
                (Some(t), Some(p)) if t == p || t.starts_with('{') => {}
                _ => return false,
            }
        }
    };
    templates.iter().position(fits)
}

fn main() {
    println!(
        "| operations | text, kB | reading, ms | table, ms | peak bytes an operation | match, ns | linear scan, ns |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for operations in [100, 1000, 10_000] {
        let text = description(operations);
        let read = || openapi::read("d", text.as_bytes()).expect("a description");
        // What reading and building take at their peak; the table alone is less.
        let before = resident();
        let (table, _) = Table::of(read()).expect("usable");
        let bytes = resident().saturating_sub(before) / operations;
        let reading = median((0..7).map(|_| timed(|| drop(black_box(read())))).collect());
        let all = read();
        let templates: Vec<String> = all.iter().step_by(2).map(|o| o.template.clone()).collect();
        let ways: Vec<_> = (0..7).map(|_| all.clone()).collect();
        let building =
            median(ways.into_iter().map(|all| timed(|| drop(black_box(Table::of(all))))).collect());
        let paths: Vec<String> =
            (0..1000).map(|n| templates[n * 7919 % templates.len()].replace("{id}", "12")).collect();
        let (mut matching, mut scanning) = (Vec::new(), Vec::new());
        for _ in 0..7 {
            matching.push(timed(|| {
                for path in &paths {
                    assert!(matches!(black_box(table.find("GET", path)), Ok(Match::Operation(..))));
                }
            }));
            scanning.push(timed(|| {
                for path in &paths {
                    assert!(black_box(scan(&templates, path)).is_some());
                }
            }));
        }
        let each = |d: Vec<Duration>| median(d).as_nanos() / paths.len() as u128;
        println!(
            "| {operations} | {} | {:.2} | {:.2} | {bytes} | {} | {} |",
            text.len() / 1000,
            reading.as_secs_f64() * 1000.0,
            building.as_secs_f64() * 1000.0,
            each(matching),
            each(scanning)
        );
    }
}
