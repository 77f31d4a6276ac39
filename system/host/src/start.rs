//! Startup and shutdown of a program.

use fennelscale_log_writer::log_line;
use fennelscale_node_settings::{Settings, SettingsError};
use std::future::Future;
use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// Signals that a program handles.
pub struct Signals {
    /// SIGTERM: shut down.
    pub terminate: Signal,
    /// SIGHUP: reload the settings.
    pub hangup: Signal,
}

/// Runs a program on the current thread. The exit status is 2 if it cannot start.
pub fn run<F: Future<Output = miette::Result<()>>>(
    program: &str, debug: bool, main: impl FnOnce(Settings, Signals) -> F,
) -> ExitCode {
    let settings = match Settings::from_environment() {
        Ok(settings) => settings,
        Err(error) => return report_failure(program, error.into()),
    };
    fennelscale_log_writer::report_panics();
    crate::log::init(&settings.node, debug);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(program, miette::miette!("{error}")),
    };
    let result = LocalSet::new().block_on(&runtime, async {
        let terminate = signal(SignalKind::terminate()).map_err(|e| miette::miette!("{e}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|e| miette::miette!("{e}"))?;
        tracing::info!(event = "started", program, version = env!("CARGO_PKG_VERSION"), zone = settings.zone);
        main(settings, Signals { terminate, hangup }).await
    });
    match result {
        Ok(()) => {
            tracing::info!(event = "ended", program);
            fennelscale_log_writer::flush();
            ExitCode::SUCCESS
        }
        Err(report) => report_failure(program, report),
    }
}

/// Runs a program, or only checks its settings file if `only_check` is set.
pub fn run_or_check<F: Future<Output = miette::Result<()>>>(
    program: &str, only_check: bool, debug: bool, main: impl FnOnce(Settings, Signals) -> F,
) -> ExitCode {
    if only_check { check(program) } else { run(program, debug, main) }
}

/// Checks the settings file and prints which fields are used and ignored, or the error.
pub fn check(program: &str) -> ExitCode {
    match Settings::from_environment_with_report() {
        Ok((settings, report)) => {
            let list = |fields: &[String]| {
                if fields.is_empty() { "nothing".to_owned() } else { fields.join(", ") }
            };
            // A reader that closes the pipe early is not an error.
            let _ = writeln!(
                std::io::stdout(),
                "{program}: settings of {} can be used\n  taken: {}\n  ignored: {}",
                settings.node,
                list(&report.used),
                list(&report.ignored)
            );
            ExitCode::SUCCESS
        }
        Err(error) => report_failure(program, error.into()),
    }
}

fn report_failure(program: &str, report: miette::Report) -> ExitCode {
    let help = report.help().map(|help| format!("; {help}")).unwrap_or_default();
    log_line!("{program}: {report}{help}");
    fennelscale_log_writer::flush();
    ExitCode::from(2)
}

/// Binds a listener; an error names the address.
///
/// # Errors
/// If the address cannot be bound.
pub async fn listen(at: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(at).await.map_err(|error| {
        miette::miette!(
            help = "check that the address is this machine's and free",
            "cannot listen at {at}: {error}"
        )
    })
}

/// Reads the settings again after a SIGHUP; `None` if they are invalid.
pub fn reload_settings() -> Option<Settings> {
    match Settings::from_environment() {
        Ok(settings) => Some(settings),
        Err(error) => {
            let error: SettingsError = error;
            tracing::warn!(event = "settings-unusable", error = %error);
            None
        }
    }
}

/// A random number that identifies this run of the process.
pub fn random_incarnation() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// Defines a program's command line from its name, a description and the function to run.
#[macro_export]
macro_rules! program {
    ($name:literal, $what:literal, $run:path) => {
        #[doc = $what]
        #[derive(Debug, gumdrop::Options)]
        struct Arguments {
            #[options(help = "show this and end")]
            help: bool,
            #[options(no_short, help = "only check the settings file")]
            check: bool,
            #[options(no_short, help = "log single steps too")]
            verbose: bool,
        }

        /// Runs the program with its command-line arguments.
        pub fn main() -> std::process::ExitCode {
            match $crate::arguments::parse::<Arguments>() {
                Ok(arguments) => $crate::start::run_or_check($name, arguments.check, arguments.verbose, $run),
                Err(status) => status,
            }
        }

        /// Runs the program with default arguments, for binaries that contain several programs.
        pub fn run_plain() -> std::process::ExitCode {
            $crate::start::run($name, false, $run)
        }
    };
}
