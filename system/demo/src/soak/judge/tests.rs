//! What the judge finds, and what it lets pass.

use super::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is(what: &str) -> State {
    State::Is(what.to_owned())
}

/// A place that has nothing at first, "a" from 1 s on, "b" from 10 s on; both acknowledged after 100 ms.
fn place() -> Subject {
    let version = |sent: u64, acknowledged: u64, state: State| Version {
        sent: at(sent),
        acknowledged: Some(at(acknowledged)),
        state,
    };
    let versions =
        vec![version(0, 0, State::Absent), version(1000, 1100, is("a")), version(10_000, 10_100, is("b"))];
    Subject { name: "/place/".into(), versions }
}

fn observation(sent: u64, state: State) -> Observation {
    let (sent, answered) = (at(sent), at(sent + 5));
    Observation {
        subject: 0,
        by: "proxy".into(),
        life: Some(1),
        sent,
        answered,
        state,
        in_touch: true,
        stretch: Duration::ZERO,
    }
}

fn found(observations: &[Observation]) -> Vec<Violation> {
    violations(&[place()], observations).into_iter().map(|(violation, _)| violation).collect()
}

#[test]
fn an_older_version_is_late_only_after_the_bound() {
    let bound = 10_100 + APPLY.as_millis() as u64;
    assert_eq!(found(&[observation(bound, is("a"))]), []);
    assert_eq!(found(&[observation(bound + 1, is("a"))]), [Violation::Late]);
    assert_eq!(found(&[Observation { in_touch: false, ..observation(bound + 1, is("a")) }]), []);
    assert_eq!(found(&[observation(bound + 1, is("b"))]), []);
    let unsettled = |sent: u64| Observation { stretch: STRETCH, ..observation(sent, is("a")) };
    let bound = bound + STRETCH.as_millis() as u64;
    assert_eq!(found(&[unsettled(bound)]), []);
    assert_eq!(found(&[unsettled(bound + 1)]), [Violation::Late]);
}

#[test]
fn what_was_never_sent_or_not_yet_is_wrong_at_any_time() {
    assert_eq!(found(&[observation(5000, is("c"))]), [Violation::Late]);
    assert_eq!(found(&[observation(5000, is("b"))]), [Violation::Late]);
    assert_eq!(found(&[observation(9998, is("b"))]), [], "sent before its answer came");
}

#[test]
fn a_process_goes_back_only_against_what_it_has_shown_before_the_request() {
    let after = 10_500 + 5 + ROLLBACK.as_millis() as u64;
    assert_eq!(found(&[observation(10_500, is("b")), observation(after + 1, is("a"))]), [Violation::Back]);
    assert_eq!(found(&[observation(10_500, is("b")), observation(after, is("a"))]), [], "within the slack");
    let other = Observation { life: Some(2), ..observation(after + 1, is("a")) };
    assert_eq!(found(&[observation(10_500, is("b")), other]), [], "another life");
}

#[test]
fn the_longest_lag_is_that_of_the_last_request_that_showed_the_older_version() {
    let observations =
        [observation(10_050, is("a")), observation(10_900, is("a")), observation(11_500, is("b"))];
    assert_eq!(longest_lag(&[place()], &observations), at(800));
}
