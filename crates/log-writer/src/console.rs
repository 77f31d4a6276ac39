//! Output of command-line tools: written at once, and a reader that is gone is not an error, as with `| head`.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};

/// A part of the result could not be written.
static IS_CLOSED: AtomicBool = AtomicBool::new(false);

/// Whether the reader of standard output is gone.
pub fn is_closed() -> bool {
    IS_CLOSED.load(Ordering::Relaxed)
}

/// Writes a part of a result to standard output.
pub fn write_result(text: fmt::Arguments<'_>) {
    if io::stdout().write_fmt(text).is_err() {
        IS_CLOSED.store(true, Ordering::Relaxed);
    }
}

/// Writes a line to standard error.
pub fn write_message(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Formats a line of a result and writes it to standard output.
#[macro_export]
macro_rules! print_line {
    () => { $crate::console::write_result(::std::format_args!("\n")) };
    ($($text:tt)*) => {{
        $crate::console::write_result(::std::format_args!($($text)*));
        $crate::console::write_result(::std::format_args!("\n"));
    }};
}

/// Formats a part of a result and writes it to standard output.
#[macro_export]
macro_rules! print_text {
    ($($text:tt)*) => { $crate::console::write_result(::std::format_args!($($text)*)) };
}

/// Formats a message and writes it to standard error.
#[macro_export]
macro_rules! print_message {
    ($($text:tt)*) => { $crate::console::write_message(::std::format_args!($($text)*)) };
}
