//! Writes lines to standard error without ever blocking or ending the process.
//!
//! The reader of standard error may be gone, its disk may be full, or it may have stopped reading. `eprintln!` panics in
//! the first two cases and blocks in the third.
//!
//! Guarantee: [`write_line`] neither blocks nor panics. A thread of its own writes the lines in their order; it holds at most
//! [`MAX_QUEUED_BYTES`]. A line that has no room or cannot be written is dropped and counted ([`dropped_lines`]); the count
//! is logged with the next line that can be written.

#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

pub mod console;
mod queue;
mod sink;

pub use queue::{LineQueue, MAX_QUEUED_BYTES};
pub use sink::LineSink;

use std::fmt;
use std::io::{self, Write};
use std::sync::LazyLock;
use std::time::Duration;

/// How long a process that ends waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static STANDARD_ERROR: LazyLock<LineQueue> = LazyLock::new(|| LineQueue::start(io::stderr()));

/// Writes a line to standard error, or drops it.
pub fn write_line(line: fmt::Arguments<'_>) {
    STANDARD_ERROR.push(format!("{line}\n").into_bytes());
}

/// Number of lines that were dropped so far.
pub fn dropped_lines() -> u64 {
    STANDARD_ERROR.dropped_lines()
}

/// Waits until the lines so far are written, but not for long. Call before the process ends.
pub fn flush() {
    STANDARD_ERROR.flush(FLUSH_TIMEOUT);
}

/// Has the message of a panic written as any other line, so that a reader that has stopped reading cannot keep a process
/// that has panicked from ending.
pub fn report_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let backtrace = std::backtrace::Backtrace::capture();
        match backtrace.status() {
            std::backtrace::BacktraceStatus::Captured => write_line(format_args!("{panic}\n{backtrace}")),
            _ => write_line(format_args!("{panic}")),
        }
        flush();
    }));
}

/// Formats a line and writes it to standard error as [`write_line`] does.
#[macro_export]
macro_rules! log_line {
    ($($text:tt)*) => { $crate::write_line(::std::format_args!($($text)*)) };
}

/// Standard error as a writer whose every write is whole lines, for log libraries.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandardError;

impl Write for StandardError {
    fn write(&mut self, lines: &[u8]) -> io::Result<usize> {
        STANDARD_ERROR.push(lines.to_vec());
        Ok(lines.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
