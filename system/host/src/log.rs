//! Logs: one line of `key=value` pairs for each event, on standard error. In a second no more than [`MOST`] of them are
//! written; the next line after that says how many were left out.

use std::fmt::{self, Write as _};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// Lines in a second: a storm of changes or lost sessions must cost requests nothing. Single steps are not counted, who wants
/// them wants all.
const MOST: u32 = 200;

struct Line {
    node: String,
    start: std::time::Instant,
    measure: Arc<Mutex<Measure>>,
}

/// What was written in the second at hand, and what was not since the last line.
#[derive(Default)]
struct Measure {
    second: u64,
    lines: u32,
    left_out: u64,
}

impl Measure {
    /// Whether a line may be written now.
    fn take(&mut self, second: u64) -> bool {
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        let may = self.lines < MOST;
        if may {
            self.lines += 1
        } else {
            self.left_out += 1
        }
        may
    }
}

/// Passes events on to be written, as many as may be.
struct Limited {
    start: std::time::Instant,
    measure: Arc<Mutex<Measure>>,
}

fn of(measure: &Mutex<Measure>) -> MutexGuard<'_, Measure> {
    measure.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<S: Subscriber> Layer<S> for Limited {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        *event.metadata().level() == Level::DEBUG || of(&self.measure).take(self.start.elapsed().as_secs())
    }
}

struct Pairs<'a, 'w>(&'a mut Writer<'w>, fmt::Result);

impl Pairs<'_, '_> {
    fn pair(&mut self, name: &str, value: &str) {
        let plain =
            !value.is_empty() && !value.contains(|c: char| c.is_whitespace() || c == '"' || c.is_control());
        self.1 = self.1.and_then(|()| match name {
            // Pairs that a machine made already.
            "about" => write!(self.0, " {value}"),
            _ if plain => write!(self.0, " {name}={value}"),
            _ => write!(self.0, " {name}={value:?}"),
        });
    }
}

impl Visit for Pairs<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let mut text = String::new();
        let _ = write!(text, "{value:?}");
        self.pair(if field.name() == "message" { "event" } else { field.name() }, &text);
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.pair(field.name(), value);
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for Line
{
    fn format_event(
        &self, _: &FmtContext<'_, S, N>, mut writer: Writer<'_>, event: &Event<'_>,
    ) -> fmt::Result {
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        let up = self.start.elapsed().as_secs_f64();
        let left_out = std::mem::take(&mut of(&self.measure).left_out);
        if left_out > 0 {
            writeln!(
                writer,
                "up={up:.3} level=warn node={} event=lines-left-out count={left_out}",
                self.node
            )?;
        }
        write!(writer, "up={up:.3} level={level} node={}", self.node)?;
        let mut pairs = Pairs(&mut writer, Ok(()));
        event.record(&mut pairs);
        pairs.1?;
        writeln!(writer)
    }
}

/// Has all events of this process written, each with the machine's name; `debug` those too that tell of single steps.
pub fn begin(node: &str, debug: bool) {
    let start = std::time::Instant::now();
    let measure = Arc::<Mutex<Measure>>::default();
    let line = Line { node: node.to_owned(), start, measure: measure.clone() };
    let level = if debug { Level::DEBUG } else { Level::INFO };
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .event_format(line)
        .finish()
        .with(Limited { start, measure });
    // A second start in one process keeps the first.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;

    #[derive(Clone, Default)]
    struct Kept(Arc<Mutex<Vec<u8>>>);

    impl io::Write for Kept {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn an_event_is_one_line_of_pairs() {
        let (start, measure) = (std::time::Instant::now(), Arc::default());
        let (kept, line) = (Kept::default(), Line { node: "n1".into(), start, measure });
        let to = kept.clone();
        let subscriber =
            tracing_subscriber::fmt().with_writer(move || to.clone()).event_format(line).finish();
        tracing::subscriber::with_default(subscriber, || {
            tracing::info!(event = "call", kind = "a b\nc", about = "x=1 y=2", seats = 6);
        });
        let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
        assert!(
            text.ends_with(" level=info node=n1 event=call kind=\"a b\\nc\" x=1 y=2 seats=6\n"),
            "{text}"
        );
        assert_eq!(text.lines().count(), 1);
    }

    #[test]
    fn a_storm_of_events_is_cut_short_and_what_is_left_out_is_counted() {
        let (kept, start) = (Kept::default(), std::time::Instant::now());
        let (to, measure) = (kept.clone(), Arc::<Mutex<Measure>>::default());
        let line = Line { node: "n1".into(), start, measure: measure.clone() };
        // A second that does not end: it is the measure's, not the clock's.
        let limited =
            Limited { start: start + std::time::Duration::from_secs(3600), measure: measure.clone() };
        let subscriber =
            tracing_subscriber::fmt().with_writer(move || to.clone()).event_format(line).finish();
        tracing::subscriber::with_default(subscriber.with(limited), || {
            (0..1000).for_each(|n| tracing::info!(event = "session", n));
            // The next second.
            measure.lock().unwrap().lines = 0;
            tracing::info!(event = "session", n = 1000);
        });
        let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines.len(), MOST as usize + 2);
        assert!(lines[MOST as usize].ends_with("event=lines-left-out count=800"), "{}", lines[MOST as usize]);
        assert!(lines[MOST as usize + 1].ends_with("event=session n=1000"));
    }

    #[test]
    fn each_second_has_its_lines() {
        let mut measure = Measure::default();
        let taken = |measure: &mut Measure, second| (0..1000).filter(|_| measure.take(second)).count();
        assert_eq!([taken(&mut measure, 7), taken(&mut measure, 8)], [MOST as usize; 2]);
    }
}
