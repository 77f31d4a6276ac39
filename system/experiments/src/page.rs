//! A page of its own, with plots as SVG: no other file is needed to read it.

use crate::Fault;
use crate::figures::{Mean, Pair, by_seed, compare};
use crate::growth::{Size, TOLD, exponent};
use crate::play::{FIGURES, PART, Run, Set};
use plotters::prelude::*;
use std::fmt::Write as _;

const WIDE: (u32, u32) = (860, 300);
const COLOURS: [RGBColor; 2] = [RGBColor(31, 90, 160), RGBColor(200, 90, 20)];
const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}\
td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}\
.better{background:#dfd}.worse{background:#fdd}";

fn drawn<E: std::error::Error + Send + Sync>(error: DrawingAreaErrorKind<E>) -> Fault {
    Fault(format!("a plot: {error}"))
}

/// Text that can't be taken for markup.
fn plain(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Of runs in each part of their time: what nine of ten are above, the middle, what nine of ten are below.
pub fn band(runs: &[Run]) -> Vec<(f64, [f64; 3])> {
    let parts = runs.iter().map(|run| run.served.len()).max().unwrap_or(0);
    let at = |part: usize| {
        let mut values: Vec<f64> = runs.iter().filter_map(|run| run.served.get(part).copied()).collect();
        values.sort_by(f64::total_cmp);
        let of = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
        (part as f64 * PART / 1000.0, [of(0.1), of(0.5), of(0.9)])
    };
    (0..parts).map(at).collect()
}

/// Service over time, a line and a band for each set.
///
/// # Errors
/// When it can't be drawn.
pub fn service(sets: &[(&str, &[Run])]) -> Result<String, Fault> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, WIDE).into_drawing_area();
        area.fill(&WHITE).map_err(drawn)?;
        let bands: Vec<_> = sets.iter().map(|(label, runs)| (*label, band(runs))).collect();
        let last = bands.iter().filter_map(|(_, band)| band.last()).map(|(at, _)| *at).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last, 0.0..1.02)
            .map_err(drawn)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("s").y_desc("share served").draw().map_err(drawn)?;
        for ((label, band), colour) in bands.iter().zip(COLOURS) {
            let low = band.iter().map(|(at, [low, ..])| (*at, *low));
            let high = band.iter().rev().map(|(at, [.., high])| (*at, *high));
            let around: Vec<(f64, f64)> = low.chain(high).collect();
            chart.draw_series([Polygon::new(around, colour.mix(0.15))]).map_err(drawn)?;
            let middle = band.iter().map(|(at, [_, middle, _])| (*at, *middle));
            let line = chart.draw_series(LineSeries::new(middle, colour.stroke_width(2))).map_err(drawn)?;
            line.label(*label).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        let mut labels = chart.configure_series_labels();
        labels
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(drawn)?;
        area.present().map_err(drawn)?;
    }
    Ok(svg)
}

/// One figure by the number of proxies, both as logarithms.
fn grown(sizes: &[Size], of: fn(&Size) -> f64) -> Result<String, Fault> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (420, 240)).into_drawing_area();
        area.fill(&WHITE).map_err(drawn)?;
        let points: Vec<(f64, f64)> = sizes.iter().map(|s| (s.proxies as f64, of(s).max(1.0))).collect();
        let (first, last) = (points.first().map_or(1.0, |p| p.0), points.last().map_or(2.0, |p| p.0));
        let (low, high) = points.iter().fold((f64::MAX, 1.0_f64), |(l, h), p| (l.min(p.1), h.max(p.1)));
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d((first * 0.8..last * 1.25).log_scale(), (low * 0.7..high * 1.4).log_scale())
            .map_err(drawn)?;
        chart.configure_mesh().x_desc("proxies").draw().map_err(drawn)?;
        let line = LineSeries::new(points.clone(), COLOURS[0].stroke_width(2));
        chart.draw_series(line).map_err(drawn)?;
        let dots = points.iter().map(|point| Circle::new(*point, 3, COLOURS[0].filled()));
        chart.draw_series(dots).map_err(drawn)?;
        area.present().map_err(drawn)?;
    }
    Ok(svg)
}

fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn told(mean: &Mean) -> String {
    format!("{} <small>{} to {}</small>", number(mean.of), number(mean.from), number(mean.to))
}

fn row(page: &mut String, pair: &Pair, what: &str) {
    let class = match pair.better {
        Some(true) => "better",
        Some(false) => "worse",
        None => "",
    };
    let (one, other, difference) = (told(&pair.one), told(&pair.other), told(&pair.difference));
    let _ = writeln!(
        page,
        "<tr class=\"{class}\"><td>{}: {what}</td><td>{one}</td><td>{other}</td><td>{difference}</td></tr>",
        pair.figure
    );
}

/// A page of one set of runs, or of two beside each other, and of what grows.
///
/// # Errors
/// When two sets share nothing, or a plot can't be drawn.
pub fn page(one: &Set, other: Option<&Set>, sizes: &[Size]) -> Result<String, Fault> {
    let mut page =
        format!("<!doctype html><meta charset=\"utf-8\"><title>experiments</title><style>{STYLE}</style>\n");
    let _ = write!(page, "<h1>{}", plain(&one.label));
    if let Some(other) = other {
        let _ = write!(page, " and {}", plain(&other.label));
    }
    page.push_str("</h1>\n<p>Means; 95 of 100 means of runs drawn again lie in the range behind each. Lines are the middle of all runs, bands nine of ten on each side.</p>\n");
    let pairs = other.map(|other| compare(one, other)).transpose()?.unwrap_or_default();
    for (name, runs) in &one.scenarios {
        let seeds = runs.len();
        let _ = writeln!(page, "<h2>{}</h2><p>{seeds} seeds</p>", plain(name));
        let mut sets: Vec<(&str, &[Run])> = vec![(&one.label, runs)];
        if let Some((other, runs)) = other.and_then(|other| Some((other, other.scenarios.get(name)?))) {
            sets.push((&other.label, runs));
        }
        page.push_str(&service(&sets)?);
        let of = |figure: &str| pairs.iter().find(|pair| pair.scenario == *name && pair.figure == figure);
        page.push_str("<table><tr><th>figure</th>");
        let heads = sets.iter().map(|(label, _)| plain(label));
        heads.chain((sets.len() > 1).then(|| "difference".to_owned())).for_each(|head| {
            let _ = write!(page, "<th>{head}</th>");
        });
        page.push_str("</tr>\n");
        for (figure, what, _) in FIGURES {
            if let Some(pair) = of(figure) {
                row(&mut page, pair, what);
                continue;
            }
            let values: Vec<f64> = by_seed(one, name, figure).into_values().collect();
            let mean = told(&Mean::new(&values));
            let _ = writeln!(page, "<tr><td>{figure}: {what}</td><td>{mean}</td></tr>");
        }
        page.push_str("</table>\n");
    }
    if !sizes.is_empty() {
        page.push_str("<h2>What grows</h2>\n");
        for (what, of) in TOLD {
            let power = exponent(sizes, of);
            let _ = writeln!(page, "<h3>{what}: exponent {power:.2}</h3>{}", grown(sizes, of)?);
        }
    }
    Ok(page)
}
