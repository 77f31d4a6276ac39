//! What the tool prints. A reader that is gone is not an error and ends nothing but a command that follows events.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};

/// A line could not be written to standard output.
static IS_CLOSED: AtomicBool = AtomicBool::new(false);

/// Whether the reader of standard output is gone.
pub fn is_closed() -> bool {
    IS_CLOSED.load(Ordering::Relaxed)
}

/// Writes a line to standard output.
pub fn write_result(line: fmt::Arguments<'_>) {
    if writeln!(io::stdout(), "{line}").is_err() {
        IS_CLOSED.store(true, Ordering::Relaxed);
    }
}

/// Writes a line to standard error.
pub fn write_message(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stderr(), "{line}");
}
