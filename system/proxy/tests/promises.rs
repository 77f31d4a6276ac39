//! Tests a whole proxy on loopback: backends that run a request, read all of it and answer with any status. Only a
//! backend that says so has not run a request, and only then may a client be told so.

mod helper;

use helper::two_backends::TwoBackends;
use helper::upload_backend::{EarlyAction, answer, signed_answer};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Statuses that promise a client that its request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// The size of the requests' bodies: they are written at once.
const BODY: usize = 300;
/// So many requests reach a backend until one of them goes out on a kept connection.
const MOST_REQUESTS: usize = 10_000;
/// Passes while a backend holds a request.
const SHORT_DEADLINE: Duration = Duration::from_millis(700);

/// Two backends with a proxy; requests have small bodies.
struct Deployment(TwoBackends);

/// Reads the whole request, then answers with `text` and keeps the connection.
fn runs_and_answers(text: &str) -> EarlyAction {
    EarlyAction::read_then(usize::MAX, EarlyAction::answer(text))
}

fn turned_away(status: &str) -> String {
    answer(status, "Fennelscale-Request-Id: {id}\r\nFennelscale-Not-Executed: 1\r\n", "full\n")
}

impl Deployment {
    async fn start(number: u8) -> Self {
        Self(TwoBackends::start(number).await)
    }

    /// Has both backends do the same with each request from now on.
    fn both_act(&self, action: &EarlyAction) {
        self.0.preferred.act(action.clone());
        self.0.spare.act(action.clone());
    }

    async fn request(&self, path: &str) -> (u16, String) {
        self.0.request(path, BODY).await
    }

    /// Number of requests that reached a backend.
    fn arrivals(&self) -> usize {
        self.0.preferred.arrivals() + self.0.spare.arrivals()
    }
}

/// Guards against REFUSED: a client was given the 503, 429 or 408 of a backend that had run its request.
#[test]
fn a_status_that_promises_is_not_given_for_a_request_that_its_backend_ran() {
    helper::run(async {
        let deployment = Deployment::start(1).await;
        for path in ["/take", "/upload/take"] {
            for line in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
                deployment.both_act(&runs_and_answers(&signed_answer(line, "ran\n")));
                let before = deployment.arrivals();
                let (status, _) = deployment.request(path).await;
                assert_eq!(deployment.arrivals() - before, 1, "{path}, {line}: sent again");
                assert!(!PROMISES.contains(&status), "{path}, {line}: the client got {status}");
            }
        }
    });
}

/// A status that promises nothing is the answer of its request, unchanged.
#[test]
fn other_statuses_of_a_backend_reach_the_client_unchanged() {
    helper::run(async {
        let deployment = Deployment::start(2).await;
        for status in (200..600).filter(|status| !PROMISES.contains(status)) {
            // Answers of 204 and 304 have no body.
            let body = if [204, 205, 304].contains(&status) { "" } else { "ran\n" };
            deployment.both_act(&runs_and_answers(&signed_answer(&format!("{status} Any"), body)));
            let before = deployment.arrivals();
            assert_eq!(deployment.request("/take").await, (status, body.to_owned()));
            assert_eq!(deployment.arrivals() - before, 1, "{status}: sent again");
        }
    });
}

/// Guards against refusals that are too careful: a backend that says that it did not run a request is believed, whatever
/// the status of its answer.
#[test]
fn a_request_that_all_backends_turn_away_is_refused_with_a_promise() {
    helper::run(async {
        let deployment = Deployment::start(3).await;
        for line in ["503 Full", "429 Too Many Requests", "408 Request Timeout", "400 Bad Request"] {
            deployment.both_act(&runs_and_answers(&turned_away(line)));
            let (status, _) = deployment.request("/take").await;
            assert_eq!(status, 503, "{line}");
        }
        deployment.both_act(&EarlyAction::None);
        assert_eq!(deployment.request("/take").await, (200, "kept\n".to_owned()));
    });
}

/// Guards against lost retries: a 429 or 408 that its backend did not vouch for ended a repeatable request.
#[test]
fn a_repeatable_request_goes_on_after_a_status_that_its_backend_did_not_vouch_for() {
    helper::run(async {
        let deployment = Deployment::start(4).await;
        for line in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
            deployment.0.spare.act(EarlyAction::None);
            deployment.0.preferred.act_once(runs_and_answers(&signed_answer(line, "ran\n")));
            assert_eq!(deployment.request("/repeatable/take").await, (200, "kept\n".to_owned()), "{line}");
        }
    });
}

/// Guards against TWICE and REFUSED: a rejection that names no request or another one, or that comes with a success, says
/// nothing of the request that waits.
#[test]
fn a_rejection_that_is_not_clearly_of_its_request_is_not_believed() {
    helper::run(async {
        let deployment = Deployment::start(5).await;
        let not_executed = "Fennelscale-Not-Executed: 1\r\n";
        let foreign = format!("Fennelscale-Request-Id: 00000000000000ff\r\n{not_executed}");
        let own = format!(
            "Fennelscale-Request-Id: {{id}}\r\nFennelscale-Response-Signature: signed\r\n{not_executed}"
        );
        let answers = [
            ("of another request", answer("503 Full", &foreign, "x")),
            ("of no request", answer("503 Full", not_executed, "x")),
            ("421 of another", answer("421 Misdirected Request", &foreign, "x")),
            ("421 of none", answer("421 Misdirected Request", "", "x")),
            ("with a success", answer("200 OK", &own, "x")),
            (
                "with an interim answer",
                format!("HTTP/1.1 101 Switching Protocols\r\n{own}Upgrade: x\r\n\r\n"),
            ),
        ];
        for (what, text) in answers {
            deployment.both_act(&runs_and_answers(&text));
            let before = deployment.arrivals();
            let (status, _) = deployment.request("/take").await;
            assert_eq!(deployment.arrivals() - before, 1, "{what}: sent again");
            assert_eq!(status, 502, "{what}");
        }
    });
}

/// Guards against REFUSED: a late copy of the refusal of an earlier attempt was taken for the answer of the next attempt of
/// the same request, which the backend ran.
#[test]
fn a_refusal_of_an_earlier_attempt_does_not_answer_a_later_one() {
    helper::run(async {
        let deployment = Deployment::start(9).await;
        deployment.0.list_only_preferred(2).await;
        let backend = &deployment.0.preferred;
        let mut is_full = true;
        let refusal = EarlyAction::AnswerWithLateCopy(turned_away("503 Full"));
        backend.choose(
            move |_| {
                if std::mem::take(&mut is_full) { refusal.clone() } else { EarlyAction::None }
            },
        );
        assert_eq!(deployment.request("/take").await, (200, "kept\n".to_owned()));
        assert_eq!((backend.arrivals(), backend.complete_bodies()), (2, 2));
    });
}

/// Guards against REFUSED and TWICE: a 421 of a backend that had run its request was believed. Only a backend that is not the
/// one that the request was meant for may say by the status alone that it did not run it.
#[test]
fn a_421_that_does_not_name_another_backend_is_not_believed() {
    helper::run(async {
        let deployment = Deployment::start(10).await;
        let forms = [
            ("of nobody", ""),
            ("of the backend itself", "Fennelscale-Instance-Id: {instance}\r\n"),
            (
                "of the backend itself, signed",
                "Fennelscale-Instance-Id: {instance}\r\nFennelscale-Response-Signature: signed\r\n",
            ),
            ("of two backends", "Fennelscale-Instance-Id: other\r\nFennelscale-Instance-Id: {instance}\r\n"),
        ];
        for (what, names) in forms {
            let headers = format!("Fennelscale-Request-Id: {{id}}\r\n{names}");
            deployment.both_act(&runs_and_answers(&answer("421 Misdirected Request", &headers, "x")));
            let before = deployment.arrivals();
            let (status, _) = deployment.request("/take").await;
            assert_eq!((status, deployment.arrivals() - before), (502, 1), "421 {what}");
        }
        // Both are still there.
        deployment.both_act(&EarlyAction::None);
        assert_eq!(deployment.request("/take").await.0, 200);
        assert_eq!(deployment.0.proxy.metric("attempt_ends_total", "misdirected").await, 0.0);
    });
}

/// A 421 that names another backend.
fn of_another_backend() -> String {
    let headers = "Fennelscale-Request-Id: {id}\r\nFennelscale-Instance-Id: other\r\n";
    answer("421 Misdirected Request", headers, "x")
}

/// Guards against REFUSED: a backend that has answered on a connection can't be another one later on.
#[test]
fn a_421_of_another_backend_is_not_believed_on_a_connection_where_the_right_one_has_answered() {
    helper::run(async {
        let deployment = Deployment::start(11).await;
        let misdirected = runs_and_answers(&of_another_backend());
        deployment.both_act(&EarlyAction::OnKeptConnection(Box::new(misdirected)));
        // A connection is kept once it has rested for a moment.
        let (status, arrivals) = loop {
            let before = deployment.arrivals();
            let (status, _) = deployment.request("/take").await;
            if status != 200 {
                break (status, deployment.arrivals() - before);
            }
            assert!(deployment.arrivals() < MOST_REQUESTS, "no connection was kept");
        };
        assert_eq!((status, arrivals), (502, 1));
        let claims = deployment.0.proxy.metric("rejection_claims_total", "connection=\"kept\"").await;
        assert_eq!(claims, 1.0);
    });
}

/// Guards against refusals that are too careful: at the first 421 of another backend its address is left, and the request goes on.
#[test]
fn a_421_of_another_backend_on_a_new_connection_is_believed() {
    helper::run(async {
        let deployment = Deployment::start(12).await;
        deployment.0.preferred.act(runs_and_answers(&of_another_backend()));
        for _ in 0..3 {
            assert_eq!(deployment.request("/take").await, (200, "kept\n".to_owned()));
        }
        assert_eq!((deployment.0.preferred.arrivals(), deployment.0.spare.arrivals()), (1, 3));
    });
}

/// Guards against REFUSED, TWICE and MIXED: an answer that breaks off within its head, in front of the one that is due, was
/// read together with it as one answer: the status and claims of the first, the id and signature of the second.
#[test]
fn two_answers_that_ran_together_answer_nothing() {
    helper::run(async {
        let deployment = Deployment::start(13).await;
        let cases = [
            ("HTTP/1.1 503 Full\r\nFennelscale-Not-Executed: 1\r\nX-Load: 0.", "200 OK"),
            ("HTTP/1.1 503 Full\r\nFennelscale-Not-Executed:", "500 Failed"),
            ("HTTP/1.1 200 O", "500 Failed"),
            ("HTTP/1.1 200 OK\r\nX-Load: 0.", "500 Failed"),
            ("HTTP/1.1 421 Misdirected Request\r\nFennelscale-Instance-Id: oth", "200 OK"),
        ];
        for (cut, status_due) in cases {
            let due = signed_answer(status_due, "ran\n");
            deployment.both_act(&runs_and_answers(&format!("{cut}{due}")));
            let before = deployment.arrivals();
            let (status, _) = deployment.request("/take").await;
            assert_eq!((status, deployment.arrivals() - before), (502, 1), "{cut:?} before {status_due}");
        }
    });
}

/// Guards against REFUSED: a request that its backend holds may run at any time, so its end is no promise.
#[test]
fn a_request_that_a_backend_holds_ends_without_a_promise() {
    helper::run(async {
        let deployment = Deployment::start(7).await;
        // Before its body is read, and after that.
        for action in [EarlyAction::Stall, EarlyAction::read_then(usize::MAX, EarlyAction::Stall)] {
            deployment.both_act(&action);
            let id = deployment.0.test_bed.next_id();
            let answer = deployment.0.test_bed.upload_as(&id, "/take", BODY, SHORT_DEADLINE);
            let (status, _) = answer.await.expect("a task").expect("an answer");
            assert_eq!(status, 504, "{action:?}");
        }
        assert_eq!(deployment.arrivals(), 2);
    });
}

/// Guards against MIXED and REFUSED: an interim answer in the place of the final one says nothing of its request.
#[test]
fn an_interim_answer_is_never_the_final_one() {
    helper::run(async {
        let deployment = Deployment::start(8).await;
        let own = "Fennelscale-Request-Id: {id}\r\nFennelscale-Response-Signature: signed\r\n";
        let switching = format!("HTTP/1.1 101 Switching Protocols\r\n{own}Upgrade: x\r\n\r\n");
        deployment.both_act(&runs_and_answers(&switching));
        let (status, _) = deployment.request("/take").await;
        assert_eq!((status, deployment.arrivals()), (502, 1));
    });
}

/// The bytes of a request with a small body, whose stated size may be another, and with these further headers.
fn request_bytes(id: &str, stated_size: usize, headers: &str) -> String {
    format!(
        "POST /take HTTP/1.1\r\nHost: music.example\r\nFennelscale-Request-Id: {id}\r\n\
         Fennelscale-Deadline-Ms: 60000\r\n{headers}Content-Length: {stated_size}\r\n\r\nbody"
    )
}

/// The statuses of the answers to these bytes on a connection of their own, which is read to its end.
async fn statuses_of(deployment: &Deployment, requests: &str) -> Vec<u16> {
    let mut client = deployment.0.test_bed.connect().await;
    client.write_all(requests.as_bytes()).await.expect("written");
    let mut bytes = Vec::new();
    // Bytes that nobody reads any more may end the connection with a reset.
    while client.read_buf(&mut bytes).await.is_ok_and(|read| read > 0) {}
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let lines = text.split("HTTP/1.1 ").skip(1);
    lines.filter_map(|line| line.get(..3)?.parse().ok()).collect()
}

/// Guards against REFUSED: an answer that the proxy gives before it has read all must not stand for the request behind it.
#[test]
fn of_two_requests_written_at_once_a_refusal_of_the_first_says_nothing_of_the_second() {
    helper::run(async {
        let deployment = Deployment::start(14).await;
        let (first, second) = (request_bytes("a1", 4, ""), request_bytes("a2", 4, "Connection: close\r\n"));
        for backend in [&deployment.0.preferred, &deployment.0.spare] {
            let refusal = runs_and_answers(&turned_away("503 Full"));
            backend.choose(move |id| if id == "a1" { refusal.clone() } else { EarlyAction::None });
        }
        assert_eq!(statuses_of(&deployment, &format!("{first}{second}")).await, [503, 200]);
        let before = deployment.arrivals();
        // The rest of the first body is missing; what follows must not be taken for another request.
        let too_large = request_bytes("a3", 1 << 30, "");
        assert_eq!(statuses_of(&deployment, &format!("{too_large}{second}")).await, [413]);
        assert_eq!(deployment.arrivals(), before, "what followed was run");
    });
}

/// What an operator sees of it: whose promise it was, and how it was taken.
#[test]
fn metrics_tell_whose_promise_a_client_was_given() {
    helper::run(async {
        let deployment = Deployment::start(6).await;
        deployment.both_act(&runs_and_answers(&turned_away("503 Full")));
        assert_eq!(deployment.request("/take").await.0, 503);
        let count = async |name: &str, labels: &str| deployment.0.proxy.metric(name, labels).await;
        assert_eq!(count("backend_answers_total", "status=\"503\",taken=\"full\"").await, 2.0);
        assert_eq!(count("client_answers_total", "status=\"503\",author=\"proxy\"").await, 1.0);
        assert_eq!(count("client_answers_total", "author=\"backend\"").await, 0.0);
    });
}
