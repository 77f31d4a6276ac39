//! Logs: one line of `key=value` pairs for each event, on standard error.

use std::fmt::{self, Write as _};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

struct Line {
    node: String,
    start: std::time::Instant,
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
        write!(writer, "up={:.3} level={level} node={}", self.start.elapsed().as_secs_f64(), self.node)?;
        let mut pairs = Pairs(&mut writer, Ok(()));
        event.record(&mut pairs);
        pairs.1?;
        writeln!(writer)
    }
}

/// Has all events of this process written, each with the machine's name; `debug` those too that tell of single steps.
pub fn begin(node: &str, debug: bool) {
    let line = Line { node: node.to_owned(), start: std::time::Instant::now() };
    let level = if debug { tracing::Level::DEBUG } else { tracing::Level::INFO };
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .event_format(line)
        .finish();
    // A second start in one process keeps the first.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;
    use std::sync::{Arc, Mutex};

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
        let (kept, line) = (Kept::default(), Line { node: "n1".into(), start: std::time::Instant::now() });
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
}
