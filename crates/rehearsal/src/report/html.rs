//! One self-contained page: the summary, the breaks, and plots over time as SVG. No script, nothing from elsewhere.

use super::series::{STEP, Series, Span};
use crate::judge::Verdict;
use crate::log::{Event, Header};
use crate::scenario::Scenario;
use std::fmt::Write as _;

const WIDTH: f64 = 900.0;
const LEFT: f64 = 70.0;
const HEIGHT: f64 = 150.0;
const LANE: f64 = 12.0;
const TOP: f64 = 18.0;
/// Breaks that the page lists.
const MOST_BREAKS: usize = 500;

const STYLE: &str = "body{font:14px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1000px;color:#1c2330}\
h1{font-size:1.4em}h2{font-size:1.05em;margin:1.6em 0 .3em}pre{background:#f4f5f7;padding:1em;overflow-x:auto}\
table{border-collapse:collapse}td,th{padding:.2em .8em .2em 0;text-align:left;vertical-align:top}\
svg{display:block;max-width:100%}text{font:11px system-ui,sans-serif;fill:#4a5363}.key span{margin-right:1.2em}\
.key i{display:inline-block;width:.8em;height:.8em;margin-right:.35em}.bad{color:#a3241b;font-weight:600}";

const SERVED: &str = "#2f8f5b";
const LATE: &str = "#b9a12c";
const REFUSED: &str = "#3c6fb5";
const FAILED: &str = "#b5352b";
const PLANS: [&str; 6] = ["#2f8f5b", "#3c6fb5", "#b5352b", "#b9a12c", "#7a4fa3", "#4a8f95"];

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

struct Plot<'a> {
    series: &'a Series,
    svg: String,
    most: f64,
    height: f64,
}

impl<'a> Plot<'a> {
    fn new(series: &'a Series, most: f64, unit: &str) -> Self {
        let mut plot = Self { series, svg: String::new(), most: most.max(1e-9), height: HEIGHT };
        plot.bands();
        for part in [0.0, 0.5, 1.0] {
            let (y, value) = (plot.y(most * part), most * part);
            let label = if most < 3.0 { format!("{value:.2}") } else { format!("{value:.0}") };
            let _ = write!(
                plot.svg,
                "<line x1=\"{LEFT}\" x2=\"{WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#dde1e8\"/><text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">{label}{unit}</text>",
                LEFT - 6.0,
                y + 4.0
            );
        }
        plot
    }

    fn x(&self, t: f64) -> f64 {
        LEFT + (WIDTH - LEFT) * (t / self.series.end).clamp(0.0, 1.0)
    }

    fn y(&self, value: f64) -> f64 {
        TOP + (self.height - TOP) * (1.0 - (value / self.most).clamp(0.0, 1.0))
    }

    /// Troubles, behind all else.
    fn bands(&mut self) {
        for (n, span) in self.series.troubles.iter().enumerate() {
            let (a, b) = (self.x(span.from), self.x(span.to).max(self.x(span.from) + 1.5));
            let _ = write!(
                self.svg,
                "<rect x=\"{a:.1}\" y=\"0\" width=\"{:.1}\" height=\"{}\" fill=\"#e8b04a\" fill-opacity=\"0.16\"><title>{}</title></rect>",
                b - a,
                self.height,
                span.what
            );
            // Names in turns at two heights, so that neighbours can be read.
            let _ = write!(
                self.svg,
                "<text x=\"{:.1}\" y=\"{}\">{}</text>",
                a + 2.0,
                if n % 2 == 0 { 9 } else { 18 },
                span.what
            );
        }
    }

    fn line(&mut self, values: &[f64], color: &str) {
        let mut points = String::new();
        for (n, value) in values.iter().enumerate() {
            let _ = write!(points, "{:.1},{:.1} ", self.x((n as f64 + 0.5) * STEP), self.y(*value));
        }
        let _ = write!(
            self.svg,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{color}\" stroke-width=\"1.6\"/>"
        );
    }

    fn stack(&mut self, parts: &[(&[f64], &str)]) {
        for n in 0..self.series.steps {
            let (a, b) = (self.x(n as f64 * STEP), self.x((n as f64 + 1.0) * STEP));
            let mut sum = 0.0;
            for (values, color) in parts {
                let (low, high) = (self.y(sum), self.y(sum + values[n]));
                sum += values[n];
                let _ = write!(
                    self.svg,
                    "<rect x=\"{a:.1}\" y=\"{high:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{color}\"/>",
                    (b - a - 0.6).max(0.4),
                    (low - high).max(0.0)
                );
            }
        }
    }

    fn end(mut self) -> String {
        let seconds = (self.series.end / 1000.0).ceil() as usize;
        for second in (0..=seconds).step_by((seconds / 10).max(1)) {
            let x = self.x(second as f64 * 1000.0);
            let _ = write!(
                self.svg,
                "<text x=\"{x:.1}\" y=\"{:.0}\" text-anchor=\"middle\">{second} s</text>",
                self.height + 13.0
            );
        }
        format!("<svg viewBox=\"0 0 {WIDTH} {:.0}\" role=\"img\">{}</svg>", self.height + 18.0, self.svg)
    }
}

fn lanes(series: &Series, name: &str, all: &[Vec<Span>]) -> String {
    let mut plot = Plot { series, svg: String::new(), most: 1.0, height: LANE * all.len() as f64 + TOP };
    plot.bands();
    for (n, spans) in all.iter().enumerate() {
        let y = TOP + LANE * n as f64;
        let _ = write!(
            plot.svg,
            "<text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">{name} {n}</text><rect x=\"{LEFT}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"#d3e6da\"/>",
            LEFT - 6.0,
            y + 9.0,
            WIDTH - LEFT,
            LANE - 3.0
        );
        for span in spans {
            let color = match span.what {
                "away" => FAILED,
                "cold" => "#7fb2e0",
                "drains" => LATE,
                _ => "#6b6f78",
            };
            let (a, b) = (plot.x(span.from), plot.x(span.to));
            let _ = write!(
                plot.svg,
                "<rect x=\"{a:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{color}\"><title>{} from {:.2} s to {:.2} s</title></rect>",
                (b - a).max(0.8),
                LANE - 3.0,
                span.what,
                span.from / 1000.0,
                span.to / 1000.0
            );
        }
    }
    plot.end()
}

fn key(entries: &[(&str, &str)]) -> String {
    let spans = entries
        .iter()
        .map(|(name, color)| format!("<span><i style=\"background:{color}\"></i>{}</span>", escape(name)));
    format!("<p class=\"key\">{}</p>", spans.collect::<String>())
}

/// The page.
pub fn page(scenario: &Scenario, header: &Header, events: &[Event], verdict: &Verdict) -> String {
    let series = Series::of(scenario, events);
    let most = |lines: &[&Vec<f64>]| lines.iter().flat_map(|l| l.iter().copied()).fold(1.0, f64::max);
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Rehearsal of {name}, seed {seed}</title><style>{STYLE}</style>\
         <h1>Rehearsal of {name}, seed {seed}</h1><p>{about}</p><p class=\"{class}\">{sentence}</p><pre>{summary}</pre>",
        name = escape(&scenario.name),
        seed = header.seed,
        about = escape(&scenario.about),
        class = if verdict.ending() == crate::judge::Ending::Kept { "" } else { "bad" },
        sentence = escape(&super::sentence(verdict)),
        summary = escape(&super::summary(scenario, header.seed, verdict)),
    );
    if !verdict.breaks.is_empty() {
        out += "<h2>Broken rules</h2><table><tr><th>at</th><th>rule</th><th>what</th><th>log lines</th></tr>";
        for found in verdict.breaks.iter().take(MOST_BREAKS) {
            let _ = write!(
                out,
                "<tr><td>{:.3} s</td><td>{}</td><td>{}</td><td>{:?}</td></tr>",
                found.t / 1000.0,
                found.rule,
                escape(&found.what),
                found.lines
            );
        }
        out += "</table>";
    }
    let [in_time, refused, failed, late] = &series.answers;
    let sums: Vec<f64> = (0..series.steps).map(|n| in_time[n] + refused[n] + failed[n] + late[n]).collect();
    out += "<h2>Final answers a second</h2>";
    out += &key(&[
        ("served in time", SERVED),
        ("served late", LATE),
        ("refused", REFUSED),
        ("failed or unanswered", FAILED),
    ]);
    let mut plot = Plot::new(&series, most(&[&sums]), "");
    plot.stack(&[(in_time, SERVED), (late, LATE), (refused, REFUSED), (failed, FAILED)]);
    out += &plot.end();
    out += "<h2>Time to the answer, served requests</h2>";
    out += &key(&[("median", SERVED), ("99 in 100", FAILED)]);
    let mut plot = Plot::new(&series, most(&[&series.latency[0], &series.latency[1]]), " ms");
    plot.line(&series.latency[0], SERVED);
    plot.line(&series.latency[1], FAILED);
    out += &plot.end();
    out += "<h2>Share served in time, by plan</h2>";
    let names: Vec<(&str, &str)> =
        scenario.plan.iter().zip(PLANS.iter().cycle()).map(|(p, c)| (p.name.as_str(), *c)).collect();
    out += &key(&names);
    let mut plot = Plot::new(&series, 1.0, "");
    for (values, (_, color)) in series.plans.iter().zip(&names) {
        plot.line(values, color);
    }
    out += &plot.end();
    out += "<h2>Counter calls a second</h2>";
    out += &key(&[("answered", SERVED), ("turned away", FAILED)]);
    let mut plot = Plot::new(&series, most(&[&series.calls[0], &series.calls[1]]), "");
    plot.line(&series.calls[0], SERVED);
    plot.line(&series.calls[1], FAILED);
    out += &plot.end();
    out += "<h2>Gateways</h2>";
    out += &key(&[("up", "#d3e6da"), ("away", FAILED)]);
    out += &lanes(&series, "gateway", &series.gateways);
    out += "<h2>Nodes</h2>";
    out += &key(&[
        ("up", "#d3e6da"),
        ("away", FAILED),
        ("cold", "#7fb2e0"),
        ("drains", LATE),
        ("stalled", "#6b6f78"),
    ]);
    out += &lanes(&series, "node", &series.nodes);
    let _ = writeln!(out, "<h2>Scenario</h2><pre>{}</pre></html>", escape(&header.scenario));
    out
}
