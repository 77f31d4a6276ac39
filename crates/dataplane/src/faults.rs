//! Deliberate faults, one for each way in which a build could break a rule. They are there to show that the rehearsal
//! finds them. Without the feature `broken-builds` none exists: [`is_active`] is false at compile time.

#[cfg(all(feature = "broken-builds", not(debug_assertions)))]
compile_error!("the feature broken-builds breaks the rules on purpose and cannot be built for release");

use doorcourse::{BackendState, Name, Outcome, Settings};
use fennelscale_settings::list::List;
use hyper::Method;
use std::cell::RefCell;
use std::cmp::Ordering;

/// One way to break a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Writes some answers twice.
    AnswerTwice,
    /// Leaves some requests without an answer.
    NeverAnswer,
    /// Takes an attempt that may have run for one that never did.
    ResendInDoubt,
    /// Says that trying again is harmless when it is not known to be.
    RefuseInDoubt,
    /// Sends attempts twice at once.
    SecondCopy,
    /// Goes on sending to backends that drain.
    IgnoreDrains,
    /// Sends all that is safe to repeat to the backend that started last, warm or not. To merely forget that a backend is
    /// cold does not fell it: what the decisions keep out at one backend is bounded by its answers.
    IgnoreColdShare,
    /// Grants customers under a ceiling many times their quota.
    IgnoreCeiling,
}

/// Whether this build has a fault: the one that `FENNELSCALE_FAULT` names.
#[cfg(feature = "broken-builds")]
pub fn is_active(fault: Fault) -> bool {
    static CHOSEN: std::sync::OnceLock<Option<Fault>> = std::sync::OnceLock::new();
    let chosen = CHOSEN.get_or_init(|| {
        Some(match std::env::var("FENNELSCALE_FAULT").ok()?.as_str() {
            "answer-twice" => Fault::AnswerTwice,
            "never-answer" => Fault::NeverAnswer,
            "resend-in-doubt" => Fault::ResendInDoubt,
            "refuse-in-doubt" => Fault::RefuseInDoubt,
            "second-copy" => Fault::SecondCopy,
            "ignore-drains" => Fault::IgnoreDrains,
            "ignore-cold-share" => Fault::IgnoreColdShare,
            "ignore-ceiling" => Fault::IgnoreCeiling,
            other => panic!("FENNELSCALE_FAULT names no fault: {other}"),
        })
    });
    *chosen == Some(fault)
}

/// Whether this build has a fault: it has none.
#[cfg(not(feature = "broken-builds"))]
#[inline(always)]
pub const fn is_active(_: Fault) -> bool {
    false
}

/// Whether a fault strikes the request of a number: some only, so that the service goes on.
pub fn affects(fault: Fault, number: u64) -> bool {
    is_active(fault) && number.is_multiple_of(7)
}

/// What the decisions are told of an attempt's end.
pub fn alter_outcome(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectionLost if is_active(Fault::ResendInDoubt) => {
            Outcome::ConnectFailed
        }
        outcome => outcome,
    }
}

/// What is believed of the list of backends.
pub fn alter_list(mut list: List) -> List {
    for host in &mut list.hosts {
        if is_active(Fault::IgnoreDrains) && host.entry.state == BackendState::Draining {
            host.entry.state = BackendState::Ready;
        }
    }
    if is_active(Fault::IgnoreColdShare) {
        let ready =
            list.hosts.iter().filter(|h| h.entry.state == BackendState::Ready && h.entry.started.is_some());
        let newest =
            ready.max_by(|a, b| a.entry.started.partial_cmp(&b.entry.started).unwrap_or(Ordering::Equal));
        if let Some(newest) = newest {
            NEWEST.set(Some(newest.entry.name.clone()));
        }
    }
    list
}

thread_local! {
    static NEWEST: RefCell<Option<Name>> = const { RefCell::new(None) };
}

/// Where an attempt really goes.
pub fn alter_backend(chosen: &Name, method: &Method) -> Name {
    if is_active(Fault::IgnoreColdShare) && method.is_safe() {
        return NEWEST.with_borrow(|newest| newest.clone()).unwrap_or_else(|| chosen.clone());
    }
    chosen.clone()
}

/// What is believed of the settings.
pub fn alter_settings(mut settings: Settings) -> Settings {
    const TIMES: f64 = 20.0;
    for plan in settings.plans.iter_mut().filter(|p| is_active(Fault::IgnoreCeiling) && p.ceiling_rate > 0.0)
    {
        (plan.rate, plan.burst, plan.ceiling_rate) = (plan.rate * TIMES, plan.burst * TIMES, 0.0);
    }
    settings
}
