//! Applies failure orders to requests: before any decision is made on a request, and to its answer after all
//! are. Shared state stays unaffected: a request that is refused or cut has taken no quota unit and no
//! backend; one whose answer is lost, cut or slow was processed normally, and the decision module has seen it
//! served.

use crate::proxy::Proxy;
use bytes::Bytes;
use fennelscale_fault_injection::{FailureKind, InjectedFault};
use fennelscale_time::from_millis;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// Number of pieces in which a slow answer is sent.
const SLOW_ANSWER_PIECES: usize = 10;

/// A failure order cuts the connection here.
#[derive(Debug)]
pub struct ConnectionCut;

impl std::fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut by a failure order")
    }
}

impl std::error::Error for ConnectionCut {}

impl From<Infallible> for ConnectionCut {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The slot that a request occupies while a failure order holds it.
pub struct HeldSlot {
    proxy: Rc<Proxy>,
    what: FailureKind,
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.proxy.failure_orders.borrow_mut().release(self.what);
    }
}

/// The failure that an order injects into one request.
pub struct InjectedFailure {
    /// The kind of failure.
    pub what: FailureKind,
    slot: Option<HeldSlot>,
}

impl InjectedFailure {
    /// The failure of a request that an order has selected.
    pub fn new(proxy: &Rc<Proxy>, met: &InjectedFault) -> Self {
        let what = met.kind;
        let slot = what.holds().then(|| HeldSlot { proxy: proxy.clone(), what });
        Self { what, slot }
    }
}

/// Reads the given share of a request's body, then stops.
pub async fn read_part(mut body: Incoming, share: f64) {
    let size = body.size_hint().exact().unwrap_or(0) as f64;
    let mut read = 0.0;
    while read < size * share
        && let Some(Ok(frame)) = body.frame().await
    {
        read += frame.data_ref().map_or(0.0, |data| data.len() as f64);
    }
}

/// The body of an answer to a client.
pub enum ResponseBody {
    /// Unchanged.
    Complete(Full<Bytes>),
    /// Changed by a failure order.
    Altered(Box<PacedBody>),
}

/// A body that is sent in pieces, with pauses between them.
pub struct PacedBody {
    remaining: VecDeque<Bytes>,
    size: u64,
    gap: Duration,
    pause: Option<Pin<Box<Sleep>>>,
    /// Whether the connection ends after the last piece.
    cut: bool,
    _slot: Option<HeldSlot>,
}

fn split_body(body: &Bytes, count: usize) -> VecDeque<Bytes> {
    let size = body.len().div_ceil(count).max(1);
    (0..body.len()).step_by(size).map(|at| body.slice(at..body.len().min(at + size))).collect()
}

/// Applies a failure to an answer; an error if the connection ends without an answer.
pub async fn apply(
    failure: InjectedFailure, response: Response<Full<Bytes>>,
) -> Result<Response<ResponseBody>, ConnectionCut> {
    let InjectedFailure { what, slot } = failure;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_or_else(|never| match never {}, |body| body.to_bytes());
    let size = body.len() as u64;
    let altered = match what {
        FailureKind::LoseAnswer => return Err(ConnectionCut),
        FailureKind::CutAnswer(share) => {
            let part = (size as f64 * share) as usize;
            if body.is_empty() {
                // A cut empty body would still look complete.
                return Err(ConnectionCut);
            }
            let remaining = VecDeque::from([body.slice(..part.min(body.len() - 1))]);
            PacedBody { remaining, size, gap: Duration::ZERO, pause: None, cut: true, _slot: slot }
        }
        FailureKind::SlowAnswer(ms) => {
            let remaining = split_body(&body, SLOW_ANSWER_PIECES);
            let gap = from_millis(ms / remaining.len().max(1) as f64);
            PacedBody { remaining, size, gap, pause: Some(Box::pin(sleep(gap))), cut: false, _slot: slot }
        }
        FailureKind::Refuse | FailureKind::Delay(_) | FailureKind::CutRequest(_) => {
            return Ok(Response::from_parts(head, ResponseBody::Complete(Full::new(body))));
        }
    };
    Ok(Response::from_parts(head, ResponseBody::Altered(Box::new(altered))))
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ConnectionCut;

    fn poll_frame(
        self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionCut>>> {
        let paced = match self.get_mut() {
            Self::Complete(body) => return Pin::new(body).poll_frame(context).map_err(ConnectionCut::from),
            Self::Altered(paced) => paced,
        };
        if let Some(pause) = &mut paced.pause {
            if pause.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            paced.pause = None;
        }
        match paced.remaining.pop_front() {
            Some(piece) => {
                if !paced.remaining.is_empty() && !paced.gap.is_zero() {
                    paced.pause = Some(Box::pin(sleep(paced.gap)));
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            None => Poll::Ready(paced.cut.then_some(Err(ConnectionCut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(body) => body.is_end_stream(),
            Self::Altered(paced) => paced.remaining.is_empty() && !paced.cut,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            // The size of the uncut answer, so that the client notices what is missing.
            Self::Altered(paced) => SizeHint::with_exact(paced.size),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn received(what: FailureKind, body: &'static str) -> (Option<u64>, Vec<u8>, bool) {
        let failure = InjectedFailure { what, slot: None };
        let Ok(response) =
            apply(failure, Response::new(Full::new(Bytes::from_static(body.as_bytes())))).await
        else {
            return (None, Vec::new(), true);
        };
        let mut body = response.into_body();
        let (size, mut bytes) = (body.size_hint().exact(), Vec::new());
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap()),
                Err(ConnectionCut) => return (size, bytes, true),
            }
        }
        (size, bytes, false)
    }

    #[test]
    fn a_cut_answer_never_looks_complete_and_a_slow_one_is() {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        runtime.block_on(async {
            assert_eq!(received(FailureKind::LoseAnswer, "abcdefgh").await, (None, Vec::new(), true));
            assert_eq!(
                received(FailureKind::CutAnswer(0.5), "abcdefgh").await,
                (Some(8), b"abcd".to_vec(), true)
            );
            // Also if the order leaves the whole body.
            assert_eq!(
                received(FailureKind::CutAnswer(1.0), "abcdefgh").await,
                (Some(8), b"abcdefg".to_vec(), true)
            );
            assert_eq!(received(FailureKind::CutAnswer(0.5), "").await, (None, Vec::new(), true));
            assert_eq!(
                received(FailureKind::SlowAnswer(1.0), "abcdefgh").await,
                (Some(8), b"abcdefgh".to_vec(), false)
            );
            assert_eq!(received(FailureKind::SlowAnswer(1.0), "").await, (Some(0), Vec::new(), false));
            assert_eq!(received(FailureKind::Delay(1.0), "abc").await, (Some(3), b"abc".to_vec(), false));
        });
    }
}
