//! The load reports of backends: named figures, in a header or a body of theirs or on the simulator's wire.

use doorcourse::LoadReport;

/// Load figures above this say nothing.
const LARGEST_LOAD: f64 = 1e6;

/// Puts one named value into a load report; values that the library has no use for are skipped.
pub fn set_load(report: &mut LoadReport, key: &str, value: f64) {
    match key {
        "outstanding" => report.inflight = Some(value),
        "backlog" => report.queue = Some(value),
        "recent_ms" => report.service_time = Some(value),
        _ => {}
    }
}

/// Reads a report like `TEXT inflight=7, queue=2`; what it cannot read it leaves out.
pub fn read(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().strip_prefix("TEXT")?.split(',') {
        if let Some((key, value)) = pair.split_once('=')
            && let Ok(value) = value.trim().parse::<f64>()
            && (0.0..=LARGEST_LOAD).contains(&value)
        {
            set_load(&mut report, key.trim(), value);
        }
    }
    Some(report)
}
