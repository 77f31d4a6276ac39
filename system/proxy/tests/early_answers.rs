//! Tests a whole proxy on loopback: backends that begin to run an upload and answer, or end the connection, before they
//! have read its body. Such an upload may have run, unless its backend says that it has not.

mod helper;

use helper::two_backends::TwoBackends;
use helper::upload_backend::{EarlyAction, answer, signed_answer};

/// Larger than the buffers of a connection, so that the last byte is not written when the backend acts.
const LONG_BODY: usize = 32 << 20;
/// How much of a body a backend reads before it ends a connection.
const PART_OF_BODY: usize = 1 << 20;
const FAILED: &str = "500 Internal Server Error";

/// Two backends with a proxy; requests have long bodies.
struct Deployment(TwoBackends);

impl Deployment {
    async fn start(number: u8) -> Self {
        Self(TwoBackends::start(number).await)
    }

    async fn upload(&self, path: &str) -> (u16, String) {
        self.0.request(path, LONG_BODY).await
    }

    /// Number of backends that an upload reached since the counts `before` of both.
    fn arrivals(&self) -> (usize, usize) {
        (self.0.preferred.arrivals(), self.0.spare.arrivals())
    }

    async fn breaks(&self, progress: &str) -> f64 {
        self.0.proxy.metric("exchange_breaks_total", progress).await
    }
}

/// Guards against TWICE: an upload whose backend answered early was sent to a second backend, which ran it too.
#[test]
fn an_early_answer_that_is_complete_is_the_answer_of_its_upload() {
    helper::run(async {
        let deployment = Deployment::start(1).await;
        let cases = [(FAILED, 500), ("404 Not Found", 404), ("200 OK", 200)];
        for (number, (line, status)) in cases.into_iter().enumerate() {
            deployment.0.preferred.act(EarlyAction::answer(&signed_answer(line, "early\n")));
            let (got, body) = deployment.upload("/upload/take").await;
            assert_eq!((got, body.as_str()), (status, "early\n"), "{line}");
            assert_eq!(deployment.arrivals(), (number + 1, 0), "{line}: sent to a second backend");
            // The preferred backend may still be reading the request before.
            assert_eq!(
                deployment.0.preferred.connections(),
                number + 1,
                "{line}: the connection was used again"
            );
        }
        assert_eq!(
            deployment.0.preferred.complete_bodies(),
            1,
            "the body is sent whole behind a success only"
        );
        assert_eq!(deployment.0.proxy.metric("early_answers_total", "service").await, cases.len() as f64);
    });
}

/// Guards against TWICE: an upload was sent to a second backend after its connection ended in the middle of its body.
#[test]
fn an_upload_whose_connection_ends_in_its_body_is_not_sent_again() {
    helper::run(async {
        let deployment = Deployment::start(2).await;
        let ends = [EarlyAction::Reset, EarlyAction::Close, EarlyAction::HalfClose];
        let actions = ends.into_iter().flat_map(|end| {
            [EarlyAction::read_then(PART_OF_BODY, end.clone()), EarlyAction::read_then(0, end)]
        });
        let mut uploads = 0;
        for action in actions {
            deployment.0.preferred.act(action.clone());
            let before = deployment.arrivals();
            let (status, _) = deployment.upload("/upload/take").await;
            let after = deployment.arrivals();
            assert_eq!(status, 502, "{action:?}");
            assert_eq!(after.0 + after.1 - before.0 - before.1, 1, "{action:?}: sent again");
            uploads += 1;
        }
        assert!(deployment.breaks("part_written").await > 0.0 && uploads == 6);
    });
}

/// Guards against TWICE and MIXED: an early answer that cannot be the whole answer of its upload says nothing of whether
/// it ran.
#[test]
fn an_early_answer_that_cannot_be_used_leaves_its_upload_in_doubt() {
    helper::run(async {
        let signature = "Fennelscale-Response-Signature: signed\r\n";
        let own = format!("Fennelscale-Request-Id: {{id}}\r\n{signature}");
        let foreign = format!("Fennelscale-Request-Id: 00000000000000ff\r\n{signature}");
        let not_executed = "Fennelscale-Not-Executed: 1\r\n";
        let without_length = format!("HTTP/1.1 200 OK\r\n{own}\r\nin part");
        let cut = format!("HTTP/1.1 200 OK\r\n{own}Content-Length: 100\r\n\r\nin part");
        let actions = [
            ("of another request", EarlyAction::answer(&answer("200 OK", &foreign, "x"))),
            (
                "turned away, of another",
                EarlyAction::answer(&answer("503 Full", &(foreign + not_executed), "x")),
            ),
            ("turned away, of no request", EarlyAction::answer(&answer("503 Full", not_executed, "x"))),
            ("of no request", EarlyAction::answer(&answer("200 OK", signature, "x"))),
            ("no signature", EarlyAction::answer(&answer("200 OK", "Fennelscale-Request-Id: {id}\r\n", "x"))),
            ("cut short", EarlyAction::answer_then(&cut, EarlyAction::Close)),
            ("cut by a reset", EarlyAction::answer_then(&cut, EarlyAction::Reset)),
            ("no length, reset", EarlyAction::answer_then(&without_length, EarlyAction::Reset)),
            ("not HTTP", EarlyAction::answer("these bytes are no answer\r\n\r\n")),
            ("head in part", EarlyAction::answer_then("HTTP/1.1 200 OK\r\nContent-Le", EarlyAction::Close)),
        ];
        let deployment = Deployment::start(3).await;
        for (what, action) in actions {
            deployment.0.preferred.act(action);
            let before = deployment.arrivals();
            let (status, body) = deployment.upload("/upload/take").await;
            let after = deployment.arrivals();
            assert_eq!(status, 502, "{what}: {body}");
            assert_eq!(after.0 + after.1 - before.0 - before.1, 1, "{what}: sent again");
        }
    });
}

/// Guards against refusals that are too careful: a backend that says that it did not run an upload is believed.
#[test]
fn an_upload_that_is_turned_away_early_is_sent_to_another_backend() {
    helper::run(async {
        let deployment = Deployment::start(4).await;
        let own = "Fennelscale-Request-Id: {id}\r\n";
        let turned_away = answer("503 Full", &format!("{own}Fennelscale-Not-Executed: 1\r\n"), "full\n");
        deployment.0.preferred.act(EarlyAction::answer(&turned_away));
        assert_eq!(deployment.upload("/upload/take").await, (200, "kept\n".to_owned()));
        assert_eq!(deployment.arrivals(), (1, 1));
        let of_another = format!("{own}Fennelscale-Instance-Id: another\r\n");
        deployment.0.preferred.act(EarlyAction::answer(&answer("421 Misdirected Request", &of_another, "")));
        assert_eq!(deployment.upload("/upload/take").await, (200, "kept\n".to_owned()));
        assert_eq!(deployment.arrivals(), (2, 2));
    });
}

/// Guards against REFUSED: a client was told 503 for an upload that two backends had run.
#[test]
fn no_refusal_follows_when_all_backends_act_early() {
    helper::run(async {
        let deployment = Deployment::start(5).await;
        let actions = [
            (EarlyAction::answer(&signed_answer(FAILED, "early\n")), 500),
            (EarlyAction::read_then(PART_OF_BODY, EarlyAction::Reset), 502),
        ];
        for (number, (action, expected)) in actions.into_iter().enumerate() {
            deployment.0.preferred.act(action.clone());
            deployment.0.spare.act(action.clone());
            let (status, _) = deployment.upload("/upload/take").await;
            let (preferred, spare) = deployment.arrivals();
            assert_eq!((status, preferred + spare), (expected, number + 1), "{action:?}");
        }
    });
}

/// Guards against lost answers: a backend that answers and does not take the rest of the body has answered all the same.
#[test]
fn an_early_answer_reaches_its_client_when_the_backend_takes_no_more_of_the_body() {
    helper::run(async {
        let deployment = Deployment::start(6).await;
        let success = signed_answer("200 OK", "early\n");
        let own = "Fennelscale-Request-Id: {id}\r\nFennelscale-Response-Signature: signed\r\n";
        let without_length = format!("HTTP/1.1 200 OK\r\n{own}\r\nearly\n");
        let interim = format!("HTTP/1.1 103 Early Hints\r\n\r\n{success}");
        let actions = [
            ("stalls", EarlyAction::answer_then(&success, EarlyAction::Stall)),
            ("closes", EarlyAction::answer_then(&success, EarlyAction::Close)),
            ("half-closes", EarlyAction::answer_then(&success, EarlyAction::HalfClose)),
            ("resets", EarlyAction::answer_then(&success, EarlyAction::Reset)),
            ("interim answer before it", EarlyAction::answer(&interim)),
            ("no length, half-closes", EarlyAction::answer_then(&without_length, EarlyAction::HalfClose)),
        ];
        for (number, (what, action)) in actions.into_iter().enumerate() {
            deployment.0.preferred.act(action);
            assert_eq!(deployment.upload("/upload/take").await, (200, "early\n".to_owned()), "{what}");
            assert_eq!(deployment.arrivals(), (number + 1, 0), "{what}");
        }
    });
}

/// An interim answer is no answer: the backend reads on and answers when it has the body.
#[test]
fn an_interim_answer_in_the_middle_of_a_body_is_passed_over() {
    helper::run(async {
        let deployment = Deployment::start(7).await;
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        let in_parts = EarlyAction::answer_then(
            "HTTP/1.1 100 Con",
            EarlyAction::read_then(
                PART_OF_BODY,
                EarlyAction::answer_then("tinue\r\n\r\n", EarlyAction::None),
            ),
        );
        for action in [EarlyAction::answer_then(interim, EarlyAction::None), in_parts] {
            deployment.0.preferred.act(action.clone());
            assert_eq!(deployment.upload("/upload/take").await, (200, "kept\n".to_owned()), "{action:?}");
        }
        assert_eq!(deployment.arrivals(), (2, 0));
        assert_eq!(deployment.0.preferred.complete_bodies(), 2);
    });
}

/// What may be repeated is tried once more after an early failure and after an end in the middle of its body.
#[test]
fn a_repeatable_request_is_sent_again_after_an_early_failure() {
    helper::run(async {
        let deployment = Deployment::start(8).await;
        let actions = [
            EarlyAction::answer(&signed_answer(FAILED, "early\n")),
            EarlyAction::read_then(PART_OF_BODY, EarlyAction::Reset),
        ];
        for (number, action) in actions.into_iter().enumerate() {
            deployment.0.preferred.act_once(action.clone());
            let answer = deployment.upload("/repeatable/take").await;
            assert_eq!(answer, (200, "kept\n".to_owned()), "{action:?}");
            let (preferred, spare) = deployment.arrivals();
            assert_eq!(preferred + spare, 2 * (number + 1), "{action:?}");
        }
    });
}
