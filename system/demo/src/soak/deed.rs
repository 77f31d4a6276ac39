//! What a backend of a soak does with a request, as the path of the request says it. Performs no I/O.
//!
//! The protocol allows all of it, or the rules bind whatever backends do.

/// The parts of answers that never fit together.
const CUT_REFUSAL: &str = "HTTP/1.1 503 Full\r\nFennelscale-Not-Executed: 1\r\nX-Load: 0.";
/// No bytes of HTTP.
const GARBAGE: &str = "\u{1}\u{2}garbage\r\n\r\n";
/// The id of a request that no client sent.
const FOREIGN_ID: &str = "00000000000000ff";

/// All that clients ask for, by name; a name that stands twice is drawn twice as often.
pub const DEEDS: [&str; 43] = [
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
pub enum Manner {
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
pub struct Deed {
    pub when: When,
    /// Whether it begins to work on the request.
    pub runs: bool,
    /// How long it works, in ms.
    pub work_ms: u64,
    pub manner: Manner,
    pub answer: String,
}

/// The request that a deed is for, as its backend sees it.
#[derive(Clone, Copy, Debug)]
pub struct Visit<'a> {
    pub id: &'a str,
    pub instance: &'a str,
    pub zone: usize,
    /// How often requests with this id have reached this backend, with this time.
    pub arrivals: usize,
    /// Whether the backend has answered on the connection before.
    pub kept: bool,
}

impl Visit<'_> {
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

impl Deed {
    /// Runs the request and gives this answer.
    fn run(answer: String) -> Self {
        Self { when: When::Read, runs: true, work_ms: 0, manner: Manner::Whole, answer }
    }

    /// Turns the request away.
    fn turn_away(visit: &Visit<'_>) -> Self {
        Self { runs: false, ..Self::run(visit.refusal(&visit.named(visit.id))) }
    }

    fn early(self) -> Self {
        Self { when: When::Early, ..self }
    }

    fn written(self, manner: Manner) -> Self {
        Self { manner, ..self }
    }

    /// Turns the first arrival of a request away, and runs it when it comes again.
    fn full_once(visit: &Visit<'_>, manner: Manner) -> Self {
        if visit.arrivals > 1 { Self::run(visit.success()) } else { Self::turn_away(visit).written(manner) }
    }

    /// Runs the request, and says that another backend did not.
    fn misdirect(visit: &Visit<'_>, name: &str) -> Self {
        let headers = format!("Fennelscale-Request-Id: {}\r\n{name}", visit.id);
        Self::run(answer("421 Misdirected Request", &headers, "x\n"))
    }

    /// What is done by its name; a name that is not known is served.
    pub fn of(name: &str, visit: &Visit<'_>) -> Self {
        let success = || Self::run(visit.success());
        let number = |prefix: &str| name.strip_prefix(prefix).and_then(|rest| rest.parse::<u64>().ok());
        if let Some(work_ms) = number("sleep-") {
            return Self { work_ms, ..success() };
        }
        if let Some(zone) = number("full-in-") {
            return if zone == visit.zone as u64 { Self::turn_away(visit) } else { success() };
        }
        if let Some(status) = number("status-") {
            return Self::run(answer(&format!("{status} Any"), &visit.signed(), "ran\n"));
        }
        let not_executed = "Fennelscale-Not-Executed: 1\r\n";
        match name {
            "full" => Self::turn_away(visit),
            "full-then-late-copy" => Self::full_once(visit, Manner::LateCopy),
            "full-then-copy" => Self::full_once(visit, Manner::Twice),
            "full-then-close" => Self::full_once(visit, Manner::ThenClose),
            "serve-then-late-copy" => success().written(Manner::LateCopy),
            "serve-then-copy" => success().written(Manner::Twice),
            "serve-then-close" => success().written(Manner::ThenClose),
            "misdirected-unnamed" => Self::misdirect(visit, ""),
            "misdirected-itself" => {
                Self::misdirect(visit, &format!("Fennelscale-Instance-Id: {}\r\n", visit.instance))
            }
            "misdirected-late" if visit.kept => {
                Self::misdirect(visit, "Fennelscale-Instance-Id: i-another\r\n")
            }
            "run-together" => Self::run(format!("{CUT_REFUSAL}{}", visit.success())),
            "foreign-refusal" => Self::run(visit.refusal(&visit.named(FOREIGN_ID))),
            "unnamed-refusal" => Self::run(visit.refusal("")),
            "refusal-with-success" => {
                let headers = format!("{}{not_executed}", visit.signed());
                Self::run(answer("200 OK", &headers, &body_of(visit.id)))
            }
            "interim-refusal" => {
                let interim = format!("HTTP/1.1 103 Early Hints\r\n{not_executed}\r\n");
                Self::run(format!("{interim}{}", visit.success()))
            }
            "reset-at-head" => success().early().written(Manner::Reset),
            "reset-after-run" => success().written(Manner::Reset),
            "close-after-run" => success().written(Manner::Close),
            "cut" => success().written(Manner::Cut),
            "cut-refusal" => Self::turn_away(visit).written(Manner::Cut),
            "garbage" => Self::run(GARBAGE.to_owned()).written(Manner::ThenClose),
            "trickle" => success().written(Manner::Trickle),
            "early-fail" => Self::run(answer("500 Failed", &visit.signed(), "ran\n")).early(),
            "early-serve" => success().early(),
            "early-full" => Self::turn_away(visit).early(),
            "early-refusal-unvouched" => {
                Self::run(answer("503 Service Unavailable", &visit.signed(), "ran\n")).early()
            }
            _ => success(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn visit(arrivals: usize) -> Visit<'static> {
        Visit { id: "a1", instance: "i-x", zone: 1, arrivals, kept: true }
    }

    #[test]
    fn each_deed_but_serving_does_something_else() {
        let served = Deed::of("serve", &visit(1));
        for name in DEEDS.iter().filter(|name| **name != "serve" && !name.starts_with("full-in-")) {
            assert_ne!(Deed::of(name, &visit(1)), served, "{name}");
        }
        assert!(Deed::of("full-in-0", &visit(1)).runs && !Deed::of("full-in-1", &visit(1)).runs);
    }

    #[test]
    fn only_a_backend_that_did_not_run_a_request_vouches_for_it() {
        for name in DEEDS {
            for arrivals in [1, 2] {
                let deed = Deed::of(name, &visit(arrivals));
                let own = "Fennelscale-Request-Id: a1\r\nFennelscale-Instance-Id: i-x\r\n\
                           Fennelscale-Not-Executed: 1\r\n";
                assert!(!(deed.runs && deed.answer.contains(&format!("503 Full\r\n{own}"))), "{name}");
            }
        }
    }

    #[test]
    fn a_backend_that_was_full_once_runs_the_request_when_it_comes_again() {
        let (first, second) =
            (Deed::of("full-then-late-copy", &visit(1)), Deed::of("full-then-late-copy", &visit(2)));
        assert_eq!((first.runs, first.manner, second.runs), (false, Manner::LateCopy, true));
    }
}
