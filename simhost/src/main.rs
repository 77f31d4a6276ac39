//! `doorcourse-simhost`: speaks the simulator's line protocol on standard input and output.

#![forbid(unsafe_code)]

use fennelscale_log_writer::print_message;
use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    match doorcourse_simhost::Host::default().run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_message!("doorcourse-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
