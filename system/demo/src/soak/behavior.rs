//! What a backend of a soak does with a request, as the path of the request says it. Performs no I/O.
//!
//! The protocol allows all of it, or the rules bind whatever backends do.

/// A refusal that breaks off within a header.
const CUT_REFUSAL: &str = "HTTP/1.1 503 Full\r\nFennelscale-Not-Executed: 1\r\nX-Load: 0.";
/// Bytes that are not HTTP.
const GARBAGE: &str = "\u{1}\u{2}garbage\r\n\r\n";
/// The id of a request that no client sent.
const FOREIGN_ID: &str = "00000000000000ff";

/// All that clients ask for, by name; a name that stands twice is drawn twice as often.
pub const BEHAVIORS: [&str; 43] = [
    "serve",
    "serve",
    "serve",
    "serve",
    "sleep-20",
    "sleep-200",
    "sleep-1500",
    "full",
    "full-in-0",
    "full-in-1",
    "full-in-2",
    "full-then-late-copy",
    "full-then-late-copy",
    "full-then-late-copy",
    "full-then-copy",
    "full-then-close",
    "serve-then-late-copy",
    "serve-then-copy",
    "serve-then-close",
    "status-503",
    "status-429",
    "status-408",
    "status-500",
    "status-404",
    "misdirected-unnamed",
    "misdirected-itself",
    "misdirected-late",
    "run-together",
    "foreign-refusal",
    "unnamed-refusal",
    "refusal-with-success",
    "interim-refusal",
    "reset-at-head",
    "reset-after-run",
    "close-after-run",
    "cut",
    "cut-refusal",
    "garbage",
    "trickle",
    "early-fail",
    "early-serve",
    "early-full",
    "early-refusal-unvouched",
];

/// When a backend acts on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// Once it has read the body.
    Read,
    /// Once it has read the head; it reads the body on.
    Early,
}

/// How an answer is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteMode {
    /// At once.
    Whole,
    /// At once, and once more right behind it.
    Twice,
    /// At once, and once more as soon as the next request has come on the connection.
    LateCopy,
    /// In small pieces.
    Trickle,
    /// Without its last bytes, and the connection closes.
    Cut,
    /// The connection closes behind it.
    ThenClose,
    /// Not at all: the connection is closed.
    Close,
    /// Not at all: the connection is reset.
    Reset,
}

/// What a backend does with one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behavior {
    pub when: When,
    /// Whether it begins to work on the request.
    pub runs: bool,
    /// How long it works, in ms.
    pub work_ms: u64,
    pub write_mode: WriteMode,
    pub answer: String,
}

/// The request that a behavior is for, as its backend sees it.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    pub id: &'a str,
    pub instance: &'a str,
    pub zone: usize,
    /// How often requests with this id have reached this backend, with this time.
    pub arrivals: usize,
    /// Whether the backend has answered on the connection before.
    pub kept: bool,
}

impl IncomingRequest<'_> {
    fn signed(&self) -> String {
        format!("{}Fennelscale-Response-Signature: sig\r\n", self.named(self.id))
    }

    fn named(&self, id: &str) -> String {
        format!("Fennelscale-Request-Id: {id}\r\nFennelscale-Instance-Id: {}\r\n", self.instance)
    }

    fn success(&self) -> String {
        answer("200 OK", &self.signed(), &body_of(self.id))
    }

    fn refusal(&self, named: &str) -> String {
        answer("503 Full", &format!("{named}Fennelscale-Not-Executed: 1\r\n"), "full\n")
    }
}

/// The body of the success of a request.
pub fn body_of(id: &str) -> String {
    format!("done {id}\n")
}

/// A whole answer with these headers and a length.
fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

impl Behavior {
    /// Runs the request and gives this answer.
    fn run(answer: String) -> Self {
        Self { when: When::Read, runs: true, work_ms: 0, write_mode: WriteMode::Whole, answer }
    }

    /// Turns the request away.
    fn turn_away(incoming: &IncomingRequest<'_>) -> Self {
        Self { runs: false, ..Self::run(incoming.refusal(&incoming.named(incoming.id))) }
    }

    fn early(self) -> Self {
        Self { when: When::Early, ..self }
    }

    fn written(self, write_mode: WriteMode) -> Self {
        Self { write_mode, ..self }
    }

    /// Turns the first arrival of a request away, and runs it when it comes again.
    fn full_once(incoming: &IncomingRequest<'_>, write_mode: WriteMode) -> Self {
        if incoming.arrivals > 1 {
            Self::run(incoming.success())
        } else {
            Self::turn_away(incoming).written(write_mode)
        }
    }

    /// Runs the request, and says that another backend did not.
    fn misdirected(incoming: &IncomingRequest<'_>, name: &str) -> Self {
        let headers = format!("Fennelscale-Request-Id: {}\r\n{name}", incoming.id);
        Self::run(answer("421 Misdirected Request", &headers, "x\n"))
    }

    /// What is done by its name; a name that is not known is served.
    pub fn of(name: &str, incoming: &IncomingRequest<'_>) -> Self {
        let success = || Self::run(incoming.success());
        let number = |prefix: &str| name.strip_prefix(prefix).and_then(|rest| rest.parse::<u64>().ok());
        if let Some(work_ms) = number("sleep-") {
            return Self { work_ms, ..success() };
        }
        if let Some(zone) = number("full-in-") {
            return if zone == incoming.zone as u64 { Self::turn_away(incoming) } else { success() };
        }
        if let Some(status) = number("status-") {
            return Self::run(answer(&format!("{status} Any"), &incoming.signed(), "ran\n"));
        }
        let not_executed = "Fennelscale-Not-Executed: 1\r\n";
        match name {
            "full" => Self::turn_away(incoming),
            "full-then-late-copy" => Self::full_once(incoming, WriteMode::LateCopy),
            "full-then-copy" => Self::full_once(incoming, WriteMode::Twice),
            "full-then-close" => Self::full_once(incoming, WriteMode::ThenClose),
            "serve-then-late-copy" => success().written(WriteMode::LateCopy),
            "serve-then-copy" => success().written(WriteMode::Twice),
            "serve-then-close" => success().written(WriteMode::ThenClose),
            "misdirected-unnamed" => Self::misdirected(incoming, ""),
            "misdirected-itself" => {
                Self::misdirected(incoming, &format!("Fennelscale-Instance-Id: {}\r\n", incoming.instance))
            }
            "misdirected-late" if incoming.kept => {
                Self::misdirected(incoming, "Fennelscale-Instance-Id: i-another\r\n")
            }
            "run-together" => Self::run(format!("{CUT_REFUSAL}{}", incoming.success())),
            "foreign-refusal" => Self::run(incoming.refusal(&incoming.named(FOREIGN_ID))),
            "unnamed-refusal" => Self::run(incoming.refusal("")),
            "refusal-with-success" => {
                let headers = format!("{}{not_executed}", incoming.signed());
                Self::run(answer("200 OK", &headers, &body_of(incoming.id)))
            }
            "interim-refusal" => {
                let interim = format!("HTTP/1.1 103 Early Hints\r\n{not_executed}\r\n");
                Self::run(format!("{interim}{}", incoming.success()))
            }
            "reset-at-head" => success().early().written(WriteMode::Reset),
            "reset-after-run" => success().written(WriteMode::Reset),
            "close-after-run" => success().written(WriteMode::Close),
            "cut" => success().written(WriteMode::Cut),
            "cut-refusal" => Self::turn_away(incoming).written(WriteMode::Cut),
            "garbage" => Self::run(GARBAGE.to_owned()).written(WriteMode::ThenClose),
            "trickle" => success().written(WriteMode::Trickle),
            "early-fail" => Self::run(answer("500 Failed", &incoming.signed(), "ran\n")).early(),
            "early-serve" => success().early(),
            "early-full" => Self::turn_away(incoming).early(),
            "early-refusal-unvouched" => {
                Self::run(answer("503 Service Unavailable", &incoming.signed(), "ran\n")).early()
            }
            _ => success(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn incoming(arrivals: usize) -> IncomingRequest<'static> {
        IncomingRequest { id: "a1", instance: "i-x", zone: 1, arrivals, kept: true }
    }

    #[test]
    fn each_behavior_but_serving_differs_from_it() {
        let served = Behavior::of("serve", &incoming(1));
        for name in BEHAVIORS.iter().filter(|name| **name != "serve" && !name.starts_with("full-in-")) {
            assert_ne!(Behavior::of(name, &incoming(1)), served, "{name}");
        }
        assert!(
            Behavior::of("full-in-0", &incoming(1)).runs && !Behavior::of("full-in-1", &incoming(1)).runs
        );
    }

    #[test]
    fn only_a_backend_that_did_not_run_a_request_vouches_for_it() {
        for name in BEHAVIORS {
            for arrivals in [1, 2] {
                let behavior = Behavior::of(name, &incoming(arrivals));
                let own = "Fennelscale-Request-Id: a1\r\nFennelscale-Instance-Id: i-x\r\n\
                           Fennelscale-Not-Executed: 1\r\n";
                assert!(
                    !(behavior.runs && behavior.answer.contains(&format!("503 Full\r\n{own}"))),
                    "{name}"
                );
            }
        }
    }

    #[test]
    fn a_backend_that_was_full_once_runs_the_request_when_it_comes_again() {
        let (first, second) = (
            Behavior::of("full-then-late-copy", &incoming(1)),
            Behavior::of("full-then-late-copy", &incoming(2)),
        );
        assert_eq!((first.runs, first.write_mode, second.runs), (false, WriteMode::LateCopy, true));
    }
}
