//! Command-line arguments. The library's own way to parse them panics where its message cannot be written.

use fennelscale_log_writer::log_line;
use gumdrop::{Options, ParsingStyle};
use std::process::ExitCode;

/// Exit status if the arguments are invalid.
const INVALID_ARGUMENTS: u8 = 2;

/// Parses the arguments of this process.
///
/// # Errors
/// The exit status, if the arguments are invalid or ask for help; the message has been written then.
pub fn parse<T: Options>() -> Result<T, ExitCode> {
    let mut arguments = std::env::args_os().map(|argument| argument.to_string_lossy().into_owned());
    let program = arguments.next().unwrap_or_default();
    let arguments: Vec<String> = arguments.collect();
    let outcome = match T::parse_args(&arguments, ParsingStyle::default()) {
        Ok(parsed) if parsed.help_requested() => {
            log_line!("{}", help(&program, &parsed));
            Err(ExitCode::SUCCESS)
        }
        Ok(parsed) => Ok(parsed),
        Err(error) => {
            log_line!("{program}: {error}");
            Err(ExitCode::from(INVALID_ARGUMENTS))
        }
    };
    if outcome.is_err() {
        fennelscale_log_writer::flush();
    }
    outcome
}

/// The help text of the innermost command that was named.
fn help(program: &str, arguments: &dyn Options) -> String {
    let (mut command, mut name) = (arguments, program.to_owned());
    while let Some(inner) = command.command() {
        command = inner;
        if let Some(inner) = inner.command_name() {
            name.push(' ');
            name.push_str(inner);
        }
    }
    let usage = format!("Usage: {name} [OPTIONS]\n\n{}", command.self_usage());
    match command.self_command_list() {
        Some(list) => format!("{usage}\n\nAvailable commands:\n{list}"),
        None => usage,
    }
}
