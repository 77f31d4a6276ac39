//! Where failure orders act: on the way in before anything is decided, and on the way out after everything is. Nothing of it
//! reaches what requests share: a request that is refused or cut has asked for no unit and no backend; one whose answer is lost,
//! cut or slow has run its true course, and the decisions have seen it served.

use crate::proxy::Proxy;
use bytes::Bytes;
use fennelscale_fault_injection::{Met, What};
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

/// A slow answer comes in so many pieces.
const PIECES: usize = 10;

/// The connection ends here: an order says so.
#[derive(Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut by a failure order")
    }
}

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Room that a request takes while an order holds it.
pub struct Room {
    proxy: Rc<Proxy>,
    what: What,
}

impl Drop for Room {
    fn drop(&mut self) {
        self.proxy.desk.borrow_mut().over(self.what);
    }
}

/// What an order does to one request.
pub struct Fate {
    /// How it is failed.
    pub what: What,
    room: Option<Room>,
}

impl Fate {
    /// Takes what the desk has decided.
    pub fn new(proxy: &Rc<Proxy>, met: &Met) -> Self {
        let what = met.what;
        let room = what.holds().then(|| Room { proxy: proxy.clone(), what });
        Self { what, room }
    }
}

/// Reads a part of a request's body, then gives up.
pub async fn read_part(mut body: Incoming, share: f64) {
    let whole = body.size_hint().exact().unwrap_or(0) as f64;
    let mut read = 0.0;
    while read < whole * share
        && let Some(Ok(frame)) = body.frame().await
    {
        read += frame.data_ref().map_or(0.0, |data| data.len() as f64);
    }
}

/// The body of an answer.
pub enum Told {
    /// As it came.
    Whole(Full<Bytes>),
    /// As an order says.
    Failed(Box<Pieces>),
}

/// A body in pieces.
pub struct Pieces {
    left: VecDeque<Bytes>,
    size: u64,
    gap: Duration,
    pause: Option<Pin<Box<Sleep>>>,
    /// The connection ends behind the last piece.
    cut: bool,
    _room: Option<Room>,
}

fn pieces(body: &Bytes, count: usize) -> VecDeque<Bytes> {
    let size = body.len().div_ceil(count).max(1);
    (0..body.len()).step_by(size).map(|at| body.slice(at..body.len().min(at + size))).collect()
}

/// What is answered instead of an answer; none where the connection ends without one.
pub async fn fail(fate: Fate, response: Response<Full<Bytes>>) -> Result<Response<Told>, Cut> {
    let Fate { what, room } = fate;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_or_else(|never| match never {}, |body| body.to_bytes());
    let size = body.len() as u64;
    let told = match what {
        What::LoseAnswer => return Err(Cut),
        What::CutAnswer(share) => {
            let part = (size as f64 * share) as usize;
            if body.is_empty() {
                // There is nothing to cut that would not look whole.
                return Err(Cut);
            }
            let left = VecDeque::from([body.slice(..part.min(body.len() - 1))]);
            Pieces { left, size, gap: Duration::ZERO, pause: None, cut: true, _room: room }
        }
        What::SlowAnswer(ms) => {
            let left = pieces(&body, PIECES);
            let gap = Duration::from_secs_f64(ms / 1000.0 / left.len().max(1) as f64);
            Pieces { left, size, gap, pause: Some(Box::pin(sleep(gap))), cut: false, _room: room }
        }
        What::Refuse | What::Delay(_) | What::CutRequest(_) => {
            return Ok(Response::from_parts(head, Told::Whole(Full::new(body))));
        }
    };
    Ok(Response::from_parts(head, Told::Failed(Box::new(told))))
}

impl Body for Told {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let pieces = match self.get_mut() {
            Self::Whole(body) => return Pin::new(body).poll_frame(context).map_err(Cut::from),
            Self::Failed(pieces) => pieces,
        };
        if let Some(pause) = &mut pieces.pause {
            if pause.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            pieces.pause = None;
        }
        match pieces.left.pop_front() {
            Some(piece) => {
                if !pieces.left.is_empty() && !pieces.gap.is_zero() {
                    pieces.pause = Some(Box::pin(sleep(pieces.gap)));
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            None => Poll::Ready(pieces.cut.then_some(Err(Cut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Failed(pieces) => pieces.left.is_empty() && !pieces.cut,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            // What a cut answer was to be: what is missing shows.
            Self::Failed(pieces) => SizeHint::with_exact(pieces.size),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn told(what: What, body: &'static str) -> (Option<u64>, Vec<u8>, bool) {
        let fate = Fate { what, room: None };
        let Ok(response) = fail(fate, Response::new(Full::new(Bytes::from_static(body.as_bytes())))).await
        else {
            return (None, Vec::new(), true);
        };
        let mut body = response.into_body();
        let (size, mut came) = (body.size_hint().exact(), Vec::new());
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => came.extend_from_slice(frame.data_ref().unwrap()),
                Err(Cut) => return (size, came, true),
            }
        }
        (size, came, false)
    }

    #[test]
    fn a_cut_answer_never_looks_whole_and_a_slow_one_is() {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        runtime.block_on(async {
            assert_eq!(told(What::LoseAnswer, "abcdefgh").await, (None, Vec::new(), true));
            assert_eq!(told(What::CutAnswer(0.5), "abcdefgh").await, (Some(8), b"abcd".to_vec(), true));
            // Also where the order says that nothing is missing.
            assert_eq!(told(What::CutAnswer(1.0), "abcdefgh").await, (Some(8), b"abcdefg".to_vec(), true));
            assert_eq!(told(What::CutAnswer(0.5), "").await, (None, Vec::new(), true));
            assert_eq!(told(What::SlowAnswer(1.0), "abcdefgh").await, (Some(8), b"abcdefgh".to_vec(), false));
            assert_eq!(told(What::SlowAnswer(1.0), "").await, (Some(0), Vec::new(), false));
            assert_eq!(told(What::Delay(1.0), "abc").await, (Some(3), b"abc".to_vec(), false));
        });
    }
}
