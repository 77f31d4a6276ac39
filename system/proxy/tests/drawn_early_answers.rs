//! Tests a whole proxy on loopback with drawn uploads: their sizes, and what each backend does with each of them before
//! or after it has read the body, with statuses that promise among them. Judged by what backends ran and clients got.
//!
//! `EARLY_ANSWERS_SEEDS=FIRST..LAST` plays other seeds than the usual ones, at most 50.

mod helper;

use helper::upload_backend::{EarlyAction, UploadBackend, answer};
use helper::{Proxy, SERVICE, TestBed, listed_at};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

const USUAL_SEEDS: Range<u64> = 1..4;
/// Each seed of a run has addresses of its own.
const MAX_SEEDS: usize = 50;
const BACKENDS: u8 = 4;
const ROUNDS: usize = 20;
/// Uploads of one round, which are sent at once.
const UPLOADS: usize = 4;
/// Some fit into the buffers of a connection, some do not.
const BODY_SIZES: [usize; 5] = [0, 1 << 10, 1 << 16, 1 << 20, 12 << 20];
/// Long enough for a busy machine.
const DEADLINE: Duration = Duration::from_secs(100);
/// Statuses that promise that a request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What a backend does with an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    Serves,
    ServesEarly,
    ServesEarlyAndCloses,
    ServesEarlyWithoutLength,
    FailsEarly,
    AnswersAnotherEarly,
    AnswersCutEarly,
    TurnsAwayEarly,
    TurnsAway,
    RunsAndSays503,
    RunsAndSays429,
    RunsAndSays408,
    Resets,
    Closes,
    HalfCloses,
}

const DEEDS: [Deed; 15] = [
    Deed::Serves,
    Deed::ServesEarly,
    Deed::ServesEarlyAndCloses,
    Deed::ServesEarlyWithoutLength,
    Deed::FailsEarly,
    Deed::AnswersAnotherEarly,
    Deed::AnswersCutEarly,
    Deed::TurnsAwayEarly,
    Deed::TurnsAway,
    Deed::RunsAndSays503,
    Deed::RunsAndSays429,
    Deed::RunsAndSays408,
    Deed::Resets,
    Deed::Closes,
    Deed::HalfCloses,
];

impl Deed {
    /// Whether the backend ran the upload.
    fn runs(self) -> bool {
        !matches!(self, Self::TurnsAwayEarly | Self::TurnsAway)
    }

    /// Whether the backend gave a whole success.
    fn serves(self) -> bool {
        matches!(
            self,
            Self::Serves | Self::ServesEarly | Self::ServesEarlyAndCloses | Self::ServesEarlyWithoutLength
        )
    }

    fn action(self, id: &str, body_part: usize) -> EarlyAction {
        let own = format!("Fennelscale-Request-Id: {id}\r\nFennelscale-Response-Signature: signed\r\n");
        let success = answer("200 OK", &own, &body_of(id));
        let when_read = |text: &str| EarlyAction::Read(usize::MAX, Box::new(EarlyAction::answer(text)));
        let turned_away = answer(
            "503 Full",
            &format!("Fennelscale-Request-Id: {id}\r\nFennelscale-Not-Executed: 1\r\n"),
            "full",
        );
        let action = match self {
            Self::Serves => when_read(&success),
            Self::TurnsAway => when_read(&turned_away),
            Self::RunsAndSays503 => when_read(&answer("503 Service Unavailable", &own, "ran")),
            Self::RunsAndSays429 => when_read(&answer("429 Too Many Requests", &own, "ran")),
            Self::RunsAndSays408 => when_read(&answer("408 Request Timeout", &own, "ran")),
            Self::ServesEarly => EarlyAction::answer(&success),
            Self::ServesEarlyAndCloses => EarlyAction::answer_then(&success, EarlyAction::Close),
            Self::ServesEarlyWithoutLength => {
                let text = format!("HTTP/1.1 200 OK\r\n{own}\r\n{}", body_of(id));
                EarlyAction::answer_then(&text, EarlyAction::HalfClose)
            }
            Self::FailsEarly => EarlyAction::answer(&answer("500 Failed", &own, &body_of(id))),
            Self::AnswersAnotherEarly => {
                let other = own.replace(id, "00000000000000ff");
                EarlyAction::answer(&answer("200 OK", &other, &body_of("another")))
            }
            Self::AnswersCutEarly => {
                let cut = &success[..success.len() - 2];
                EarlyAction::answer_then(cut, EarlyAction::Close)
            }
            Self::TurnsAwayEarly => EarlyAction::answer(&turned_away),
            Self::Resets => EarlyAction::Reset,
            Self::Closes => EarlyAction::Close,
            Self::HalfCloses => EarlyAction::HalfClose,
        };
        EarlyAction::read_then(body_part, action)
    }
}

/// The body of a success for the request with this id.
fn body_of(id: &str) -> String {
    format!("kept {id}\n")
}

/// What backends did with each upload, by its id.
type Arrivals = Rc<RefCell<HashMap<String, Vec<Deed>>>>;

/// Has a backend draw a deed for each upload.
fn draw_deeds(backend: &UploadBackend, seed: u64, arrivals: &Arrivals) {
    let (mut random, arrivals) = (ChaCha8Rng::seed_from_u64(seed), arrivals.clone());
    backend.choose(move |id| {
        // Half of the uploads are served in order, so that the backends stay in use.
        let deed =
            if random.random_bool(0.5) { Deed::Serves } else { DEEDS[random.random_range(0..DEEDS.len())] };
        let body_part = if random.random_bool(0.5) { 0 } else { random.random_range(0..2 << 20) };
        arrivals.borrow_mut().entry(id.to_owned()).or_default().push(deed);
        deed.action(id, body_part)
    });
}

/// Checks what one client got against what the backends did.
fn judge(seed: u64, id: &str, answer: Option<&(u16, String)>, deeds: &[Deed]) {
    let what = format!("seed {seed}, upload {id}: {answer:?}, {deeds:?}");
    let executions = deeds.iter().filter(|deed| deed.runs()).count();
    assert!(executions <= 1, "TWICE: {what}");
    let Some((status, body)) = answer else { panic!("no answer: {what}") };
    assert!(!PROMISES.contains(status) || executions == 0, "REFUSED: {what}");
    if (200..300).contains(status) {
        assert!(deeds.iter().any(|deed| deed.serves()) && *body == body_of(id), "MIXED: {what}");
    }
    // The one backend that ran it served it: the success is not lost.
    let is_served = executions == 1 && deeds.iter().any(|deed| deed.serves());
    assert!(!is_served || *status == 200, "a success was discarded: {what}");
}

/// Plays one seed; returns how many uploads were answered with 200.
async fn play(seed: u64, test_bed: TestBed) -> usize {
    let proxy = Proxy::start(&test_bed, &[]).await;
    let arrivals = Arrivals::default();
    let mut list = Vec::new();
    for number in 0..BACKENDS {
        let backend = test_bed.upload_backend(number, &format!("b{number}")).await;
        draw_deeds(&backend, seed * u64::from(BACKENDS) + u64::from(number), &arrivals);
        list.push(listed_at(SERVICE, backend.id(), backend.address(), "a", 0));
    }
    proxy.send_list(1, list).await;
    let mut random = ChaCha8Rng::seed_from_u64(u64::MAX - seed);
    let mut served = 0;
    for _ in 0..ROUNDS {
        let mut uploads = Vec::new();
        for _ in 0..UPLOADS {
            let id = test_bed.next_id();
            let size = BODY_SIZES[random.random_range(0..BODY_SIZES.len())];
            uploads.push((test_bed.upload_as(&id, "/upload/take", size, DEADLINE), id));
        }
        for (upload, id) in uploads {
            let answer = upload.await.expect("a task");
            let deeds = arrivals.borrow().get(&id).cloned().unwrap_or_default();
            judge(seed, &id, answer.as_ref(), &deeds);
            served += usize::from(answer.is_some_and(|(status, _)| status == 200));
        }
    }
    served
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("EARLY_ANSWERS_SEEDS") else { return USUAL_SEEDS };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    first.parse().expect("a seed")..last.parse().expect("a seed")
}

/// Guards against TWICE, REFUSED and MIXED for uploads whose backends act before they have read the body.
#[test]
fn drawn_early_actions_never_run_an_upload_twice_nor_break_a_promise() {
    assert!(seeds().count() <= MAX_SEEDS);
    for (number, seed) in seeds().enumerate() {
        helper::run(async move {
            let served = play(seed, TestBed::new(number as u8)).await;
            println!("seed {seed}: {served} of {} uploads served", ROUNDS * UPLOADS);
            // A proxy that serves next to nothing would hold every rule.
            assert!(served > ROUNDS * UPLOADS / 10, "seed {seed}: {served} served");
        });
    }
}
