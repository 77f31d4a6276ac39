//! Reading bodies from the HTTP library: short ones do not wait behind long ones, waits are bounded in all, and what is
//! given up is given back. The connection is in memory and the clock stands still unless all wait.

use bytes::Bytes;
use fennelscale_memory::ledger::{FREE_SIZE, MemoryLedger, NoMemory, PoolSizes, Reservation, SMALL_SIZE};
use fennelscale_memory::read::{ReadError, read_or_refuse, read_when_free};
use http_body_util::Empty;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const LIMITS: PoolSizes = PoolSizes { small: 200_000, large: 16 * SMALL_SIZE };
const WHOLE: usize = LIMITS.large + SMALL_SIZE;
const MAX_LENGTH: usize = 16 << 20;
const MAX_WAIT: Duration = Duration::from_secs(1);
const PIECE: usize = 10_000;
/// What the connection in memory holds.
const CONNECTION_BUFFER: usize = 64 * 1024;

/// A body of this length in pieces; its length is stated or not.
struct Pieces {
    rest: usize,
    is_stated: bool,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let length = self.rest.min(PIECE);
        self.rest -= length;
        let frame = (length > 0).then(|| Ok(Frame::data(Bytes::from(vec![b'x'; length]))));
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_stated { SizeHint::with_exact(self.rest as u64) } else { SizeHint::default() }
    }
}

/// Has a body of this length sent over a connection, and passes it to `read`.
async fn receive<T>(length: usize, is_stated: bool, read: impl AsyncFnOnce(Incoming) -> T) -> T {
    let (near, far) = tokio::io::duplex(CONNECTION_BUFFER);
    let serve = service_fn(|_: Request<Incoming>| async move {
        Ok::<_, Infallible>(Response::new(Pieces { rest: length, is_stated }))
    });
    let serving = server::Builder::new().serve_connection(TokioIo::new(far), serve);
    let (mut sender, connection) = client::handshake(TokioIo::new(near)).await.expect("a connection");
    let receiving = async {
        let request = Request::get("/").body(Empty::<Bytes>::new()).expect("a request");
        let body = sender.send_request(request).await.expect("an answer").into_body();
        read(body).await
    };
    let driving = async {
        let _ = tokio::join!(serving, connection);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        output = receiving => output,
        () = driving => unreachable!("the connection is driven for ever"),
    }
}

/// Two reservations that take all of both pools.
fn fill(ledger: &Arc<MemoryLedger>) -> Vec<Reservation> {
    let mut held = vec![ledger.reservation()];
    held[0].resize(WHOLE).expect("the large pool");
    while ledger.used().small < LIMITS.small {
        let mut reservation = ledger.reservation();
        let rest = LIMITS.small - ledger.used().small;
        reservation.resize((rest + FREE_SIZE).min(SMALL_SIZE)).expect("the small pool");
        held.push(reservation);
    }
    assert_eq!(ledger.used(), LIMITS);
    held
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_short_body_does_not_wait_while_both_pools_are_taken() {
    let ledger = MemoryLedger::new(LIMITS);
    let held = fill(&ledger);
    for is_stated in [true, false] {
        let waited = Cell::new(false);
        let read = async |body| read_when_free(body, MAX_LENGTH, &ledger, MAX_WAIT, &waited).await;
        assert_eq!(receive(4, is_stated, read).await.expect("a body").len(), 4);
        assert!(!waited.get());
        let read = async |body| read_or_refuse(body, MAX_LENGTH, &ledger).await;
        assert_eq!(receive(4, is_stated, read).await.expect("a body").len(), 4);
    }
    drop(held);
    assert_eq!(ledger.used(), PoolSizes::default());
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_long_body_is_read_once_there_is_memory_and_given_up_when_there_is_none_in_time() {
    for is_stated in [true, false] {
        let ledger = MemoryLedger::new(LIMITS);
        let mut held = Some(fill(&ledger));
        let waited = Cell::new(false);
        let read = async |body| read_when_free(body, MAX_LENGTH, &ledger, MAX_WAIT, &waited).await;
        let give_back = async {
            sleep(MAX_WAIT / 2).await;
            held.take();
        };
        let (body, ()) = tokio::join!(receive(WHOLE - SMALL_SIZE, is_stated, read), give_back);
        let body = body.expect("a body");
        assert_eq!(body.len(), WHOLE - SMALL_SIZE);
        assert!(waited.get());
        drop(body);
        let _held = fill(&ledger);
        let started_at = Instant::now();
        let end = receive(WHOLE - SMALL_SIZE, is_stated, read).await;
        assert!(matches!(end, Err(ReadError::NoMemory(NoMemory::InUse))));
        assert!(started_at.elapsed() <= MAX_WAIT + Duration::from_millis(10));
        assert_eq!(ledger.used(), LIMITS);
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn both_waits_of_a_body_without_a_length_together_are_bounded() {
    let ledger = MemoryLedger::new(LIMITS);
    let mut held = fill(&ledger);
    let long = held.swap_remove(0);
    let waited = Cell::new(false);
    let read = async |body| read_when_free(body, MAX_LENGTH, &ledger, MAX_WAIT, &waited).await;
    let started_at = Instant::now();
    let give_back = async {
        // The small pool comes late, the large one never.
        sleep(MAX_WAIT * 3 / 4).await;
        held.clear();
    };
    let (end, ()) = tokio::join!(receive(WHOLE - SMALL_SIZE, false, read), give_back);
    assert!(matches!(end, Err(ReadError::NoMemory(NoMemory::InUse))));
    assert!(started_at.elapsed() <= MAX_WAIT + Duration::from_millis(10));
    drop(long);
    assert_eq!(ledger.used(), PoolSizes::default());
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_body_longer_than_all_memory_is_not_one_longer_than_allowed() {
    // No multiple of the step.
    let ledger = MemoryLedger::new(PoolSizes { large: 1_000_000, ..LIMITS });
    let longest = ledger.largest_reservation();
    for is_stated in [true, false] {
        let waited = Cell::new(false);
        let read = async |body| read_when_free(body, MAX_LENGTH, &ledger, MAX_WAIT, &waited).await;
        assert_eq!(receive(longest, is_stated, read).await.expect("a body").len(), longest);
        let end = receive(longest + 1, is_stated, read).await;
        assert!(matches!(end, Err(ReadError::NoMemory(NoMemory::TooLarge))), "{end:?}");
        let read = async |body| read_when_free(body, longest, &ledger, MAX_WAIT, &waited).await;
        assert!(matches!(receive(longest + 1, is_stated, read).await, Err(ReadError::TooLong)));
        assert_eq!(ledger.used(), PoolSizes::default());
    }
}
