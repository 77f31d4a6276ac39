//! Deliberate faults, one for each way in which a build could violate a rule. They show that the rehearsal
//! detects them. Without the feature `broken-builds` none is compiled in: [`is_active`] is false at compile
//! time.

#[cfg(all(feature = "broken-builds", not(debug_assertions)))]
compile_error!("the feature broken-builds breaks the rules on purpose and cannot be built for release");

use doorcourse::{BackendState, Name, Outcome, Settings};
use fennelscale_settings::list::List;
use hyper::Method;
use std::cell::RefCell;
use std::cmp::Ordering;

/// A way to violate a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Sends some answers twice.
    AnswerTwice,
    /// Never answers some requests.
    NeverAnswer,
    /// Treats an attempt that may have been executed as one that was not.
    ResendInDoubt,
    /// Reports that a retry is harmless when that is not known.
    RefuseInDoubt,
    /// Sends some attempts twice at the same time.
    SecondCopy,
    /// Keeps sending to draining backends.
    IgnoreDrains,
    /// Sends all requests with safe methods to the backend that started last, warm or cold. Merely ignoring
    /// that a backend is cold would not overload it: the concurrency at a backend is bounded by its answers.
    IgnoreColdShare,
    /// Grants customers with a ceiling many times their quota.
    IgnoreCeiling,
}

/// Whether this fault is active: `FENNELSCALE_FAULT` selects one.
#[cfg(feature = "broken-builds")]
pub fn is_active(fault: Fault) -> bool {
    static SELECTED: std::sync::OnceLock<Option<Fault>> = std::sync::OnceLock::new();
    let selected = SELECTED.get_or_init(|| {
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
    *selected == Some(fault)
}

/// Whether this fault is active: never in this build.
#[cfg(not(feature = "broken-builds"))]
#[inline(always)]
pub const fn is_active(_: Fault) -> bool {
    false
}

/// Whether a fault affects the request with this number. Only some are affected, so that the service stays
/// usable.
pub fn affects(fault: Fault, number: u64) -> bool {
    is_active(fault) && number.is_multiple_of(7)
}

/// The outcome of an attempt as reported to the decision module.
pub fn alter_outcome(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectionLost if is_active(Fault::ResendInDoubt) => {
            Outcome::ConnectFailed
        }
        outcome => outcome,
    }
}

/// The backend list as the gateway uses it.
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
            NEWEST_BACKEND.set(Some(newest.entry.name.clone()));
        }
    }
    list
}

thread_local! {
    static NEWEST_BACKEND: RefCell<Option<Name>> = const { RefCell::new(None) };
}

/// The backend that an attempt is actually sent to.
pub fn alter_backend(chosen: &Name, method: &Method) -> Name {
    if is_active(Fault::IgnoreColdShare) && method.is_safe() {
        return NEWEST_BACKEND.with_borrow(|newest| newest.clone()).unwrap_or_else(|| chosen.clone());
    }
    chosen.clone()
}

/// The settings as the gateway uses them.
pub fn alter_settings(mut settings: Settings) -> Settings {
    const FACTOR: f64 = 20.0;
    for plan in settings.plans.iter_mut().filter(|p| is_active(Fault::IgnoreCeiling) && p.ceiling_rate > 0.0)
    {
        (plan.rate, plan.burst, plan.ceiling_rate) = (plan.rate * FACTOR, plan.burst * FACTOR, 0.0);
    }
    settings
}
