//! Logging: one line of `key=value` pairs for each event, on standard error, which neither blocks nor ends the process. At most [`MAX_LINES_PER_SECOND`]
//! are written per second; the next line after that reports how many were dropped.

use fennelscale_log_writer::StandardError;
use std::fmt::{self, Write as _};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// Keeps a burst of changes or lost sessions from slowing down requests. Debug events are exempt: whoever
/// turns them on wants all of them.
const MAX_LINES_PER_SECOND: u32 = 200;

struct LineFormat {
    node: String,
    start: std::time::Instant,
    limit: Arc<Mutex<RateLimit>>,
}

/// Lines written in the current second, and lines dropped since the last one written.
#[derive(Default)]
struct RateLimit {
    second: u64,
    lines: u32,
    dropped: u64,
}

impl RateLimit {
    /// Whether another line may be written now; counts it either way.
    fn try_take(&mut self, second: u64) -> bool {
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        let allowed = self.lines < MAX_LINES_PER_SECOND;
        if allowed {
            self.lines += 1
        } else {
            self.dropped += 1
        }
        allowed
    }
}

/// Filters events by the rate limit.
struct RateLimited {
    start: std::time::Instant,
    limit: Arc<Mutex<RateLimit>>,
}

fn lock(limit: &Mutex<RateLimit>) -> MutexGuard<'_, RateLimit> {
    limit.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<S: Subscriber> Layer<S> for RateLimited {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        *event.metadata().level() == Level::DEBUG
            || lock(&self.limit).try_take(self.start.elapsed().as_secs())
    }
}

struct Pairs<'a, 'w>(&'a mut Writer<'w>, fmt::Result);

impl Pairs<'_, '_> {
    fn pair(&mut self, name: &str, value: &str) {
        let unquoted =
            !value.is_empty() && !value.contains(|c: char| c.is_whitespace() || c == '"' || c.is_control());
        self.1 = self.1.and_then(|()| match name {
            // Already formatted as pairs by a state machine.
            "about" => write!(self.0, " {value}"),
            _ if unquoted => write!(self.0, " {name}={value}"),
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
    for LineFormat
{
    fn format_event(
        &self, _: &FmtContext<'_, S, N>, mut writer: Writer<'_>, event: &Event<'_>,
    ) -> fmt::Result {
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        let up = self.start.elapsed().as_secs_f64();
        let dropped = std::mem::take(&mut lock(&self.limit).dropped);
        if dropped > 0 {
            writeln!(
                writer,
                "up={up:.3} level=warn node={} event=lines-left-out count={dropped}",
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

/// Installs the log subscriber, which adds the node's name to each event; `debug` enables debug events.
pub fn init(node: &str, debug: bool) {
    let start = std::time::Instant::now();
    let limit = Arc::<Mutex<RateLimit>>::default();
    let line = LineFormat { node: node.to_owned(), start, limit: limit.clone() };
    let level = if debug { Level::DEBUG } else { Level::INFO };
    let subscriber = tracing_subscriber::fmt()
        .with_writer(|| StandardError)
        .log_internal_errors(false)
        .with_max_level(level)
        .event_format(line)
        .finish()
        .with(RateLimited { start, limit });
    // If one process starts several programs, the first subscriber stays.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;

    #[derive(Clone, Default)]
    struct Capture(Arc<Mutex<Vec<u8>>>);

    impl io::Write for Capture {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn an_event_is_written_as_one_line_of_pairs() {
        let (start, limit) = (std::time::Instant::now(), Arc::default());
        let (captured, line) = (Capture::default(), LineFormat { node: "n1".into(), start, limit });
        let to = captured.clone();
        let subscriber =
            tracing_subscriber::fmt().with_writer(move || to.clone()).event_format(line).finish();
        tracing::subscriber::with_default(subscriber, || {
            tracing::info!(event = "call", kind = "a b\nc", about = "x=1 y=2", seats = 6);
        });
        let text = String::from_utf8(captured.0.lock().unwrap().clone()).unwrap();
        assert!(
            text.ends_with(" level=info node=n1 event=call kind=\"a b\\nc\" x=1 y=2 seats=6\n"),
            "{text}"
        );
        assert_eq!(text.lines().count(), 1);
    }

    #[test]
    fn a_burst_of_events_is_limited_and_dropped_lines_are_counted() {
        let (captured, start) = (Capture::default(), std::time::Instant::now());
        let (to, limit) = (captured.clone(), Arc::<Mutex<RateLimit>>::default());
        let line = LineFormat { node: "n1".into(), start, limit: limit.clone() };
        // A start in the future keeps the elapsed time at 0, so that the second never ends by the clock.
        let limited =
            RateLimited { start: start + std::time::Duration::from_secs(3600), limit: limit.clone() };
        let subscriber =
            tracing_subscriber::fmt().with_writer(move || to.clone()).event_format(line).finish();
        tracing::subscriber::with_default(subscriber.with(limited), || {
            (0..1000).for_each(|n| tracing::info!(event = "session", n));
            // The next second.
            limit.lock().unwrap().lines = 0;
            tracing::info!(event = "session", n = 1000);
        });
        let text = String::from_utf8(captured.0.lock().unwrap().clone()).unwrap();
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines.len(), MAX_LINES_PER_SECOND as usize + 2);
        assert!(
            lines[MAX_LINES_PER_SECOND as usize].ends_with("event=lines-left-out count=800"),
            "{}",
            lines[MAX_LINES_PER_SECOND as usize]
        );
        assert!(lines[MAX_LINES_PER_SECOND as usize + 1].ends_with("event=session n=1000"));
    }

    #[test]
    fn the_line_limit_applies_to_each_second() {
        let mut limit = RateLimit::default();
        let taken = |limit: &mut RateLimit, second| (0..1000).filter(|_| limit.try_take(second)).count();
        assert_eq!([taken(&mut limit, 7), taken(&mut limit, 8)], [MAX_LINES_PER_SECOND as usize; 2]);
    }
}
