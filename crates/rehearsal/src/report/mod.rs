//! What a rehearsal found, for people and for programs: a table, JSON, and one page with plots over time.

mod html;
mod series;

pub use html::page;

use crate::judge::{Ending, RULES, Verdict};
use crate::log::Header;
use crate::scenario::Scenario;
use serde_json::{Value, json};
use std::fmt::Write as _;

/// Breaks that a table shows; the page and the JSON have all.
const SHOWN: usize = 8;

/// One sentence on how it ended.
pub fn sentence(verdict: &Verdict) -> String {
    match verdict.ending() {
        Ending::Kept => "kept: all five rules".into(),
        Ending::Broken => {
            let broken: Vec<String> = RULES
                .iter()
                .filter(|rule| verdict.broken(**rule) > 0)
                .map(|rule| format!("{rule} ({} times)", verdict.broken(*rule)))
                .collect();
            format!("BROKEN: {}", broken.join(", "))
        }
        Ending::Unusable => "no verdict: the log is not that of a whole run".into(),
        Ending::Crashed => {
            let who: Vec<String> =
                verdict.crashes.iter().map(|(g, t)| format!("gateway {g} at {:.1} s", t / 1000.0)).collect();
            format!("CRASHED: ended by itself: {}", who.join(", "))
        }
        Ending::TooSlow => {
            let why = verdict.void.as_deref().unwrap_or("the kit ran late");
            format!("NO VERDICT, the machine was too slow: {why}")
        }
    }
}

/// The summary table.
pub fn summary(scenario: &Scenario, seed: u64, verdict: &Verdict) -> String {
    let (score, figures) = (&verdict.score, &verdict.figures);
    let mut out = String::new();
    let mut row = |key: &str, value: String| {
        let _ = writeln!(out, "  {key:<24} {value}");
    };
    row("scenario", format!("{}, seed {seed}", scenario.name));
    row("verdict", sentence(verdict));
    for rule in RULES {
        let broken = verdict.broken(rule);
        row(&format!("  {rule}"), if broken == 0 { "kept".into() } else { format!("BROKEN {broken} times") });
    }
    row(
        "service",
        format!(
            "{:.3} (whole {:.3}, worst 10 s {:.3}, worst plan {:.3}, taken off {:.3})",
            score.total, score.whole, score.worst_window, score.worst_plan, score.penalties
        ),
    );
    let [in_time, late, refused, failed] = figures.outcomes;
    row(
        "requests",
        format!("{} ({} inside their quotas), {} tries", figures.requests, figures.inside, figures.tries),
    );
    row(
        "  became",
        format!("{in_time} served in time, {late} served late or beyond, {refused} refused, {failed} failed"),
    );
    row(
        "answers",
        format!("half within {:.0} ms, 99 in 100 within {:.0} ms", figures.latency[0], figures.latency[1]),
    );
    row(
        "attempts",
        format!(
            "{}: {} declined, {} further ones, {} ran unheard, {} tries beyond quota",
            figures.attempts, figures.declined, figures.resent, figures.ran_unheard, figures.beyond
        ),
    );
    row(
        "cut off by the kit",
        format!("{} tries with half an answer, {} with none", figures.cut[0], figures.cut[1]),
    );
    let per = |count: u32| f64::from(count) / f64::from(figures.requests.max(1));
    row(
        "counter",
        format!(
            "{} calls ({:.2} a request), {} turned away",
            figures.calls,
            per(figures.calls),
            figures.busy
        ),
    );
    let length = figures.length.max(1.0);
    row(
        "the kit itself",
        format!(
            "{:.2}% of {} deeds late, {:.0} ms at most; {:.0}% of a core, gateways {:.0}%",
            verdict.lateness.share() * 100.0,
            verdict.lateness.deeds,
            verdict.lateness.latest,
            figures.cpu[0] / length * 100.0,
            figures.cpu[1] / length * 100.0
        ),
    );
    for found in verdict.breaks.iter().take(SHOWN) {
        let _ = writeln!(out, "    {found}");
    }
    if verdict.breaks.len() > SHOWN {
        let _ = writeln!(out, "    and {} more", verdict.breaks.len() - SHOWN);
    }
    out
}

/// All that was found, for programs.
pub fn json(scenario: &Scenario, header: &Header, verdict: &Verdict) -> Value {
    let (score, figures) = (&verdict.score, &verdict.figures);
    let breaks: Vec<Value> = verdict
        .breaks
        .iter()
        .map(|b| {
            json!({
                "rule": b.rule.to_string(),
                "at_ms": b.t,
                "what": b.what,
                "try": b.id.map(|id| id.to_string()),
                "node": b.node,
                "log_lines": b.lines,
            })
        })
        .collect();
    json!({
        "scenario": scenario.name,
        "seed": header.seed,
        "ending": format!("{:?}", verdict.ending()).to_lowercase(),
        "exit_status": verdict.ending() as u8,
        "breaks": breaks,
        "void": verdict.void,
        "crashes": verdict.crashes.iter().map(|(g, t)| json!({"gateway": g, "at_ms": t})).collect::<Vec<_>>(),
        "service": {
            "score": score.total,
            "whole": score.whole,
            "worst_window": score.worst_window,
            "worst_plan": score.worst_plan,
            "penalties": score.penalties,
        },
        "figures": {
            "requests": figures.requests,
            "inside_quota": figures.inside,
            "tries": figures.tries,
            "served_in_time": figures.outcomes[0],
            "served_late_or_beyond": figures.outcomes[1],
            "refused": figures.outcomes[2],
            "failed": figures.outcomes[3],
            "attempts": figures.attempts,
            "declined": figures.declined,
            "resent": figures.resent,
            "ran_unheard": figures.ran_unheard,
            "cut_with_half_an_answer": figures.cut[0],
            "cut_with_none": figures.cut[1],
            "counter_calls": figures.calls,
            "counter_busy": figures.busy,
            "probes": figures.probes,
            "beyond_quota": figures.beyond,
            "latency_ms_p50": figures.latency[0],
            "latency_ms_p99": figures.latency[1],
            "kit_cpu_ms": figures.cpu[0],
            "gateways_cpu_ms": figures.cpu[1],
            "length_ms": figures.length,
        },
        "lateness": {
            "deeds": verdict.lateness.deeds,
            "late": verdict.lateness.late,
            "latest_ms": verdict.lateness.latest,
        },
    })
}
