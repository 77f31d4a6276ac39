//! Requests of a soak that can't be repeated, and what their clients were promised: none may run twice, none may run whose
//! client got a status that says that it did not and never will, and nobody gets the answer to another request.

use super::Soak;
use super::behavior::body_of;
use super::clients::connect;
use crate::steps::HOST;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The service of these requests, whose backends do what paths say.
pub const ONCE_SERVICE: &str = "ledger";
/// The route of most of these requests.
pub const ONCE_PREFIX: &str = "/once/";
/// A route that one region may serve, where the service has one backend: each further attempt goes there again.
pub const LONE_PREFIX: &str = "/lone/";
/// A route with a single attempt, and one of uploads.
pub const SINGLE_PREFIX: &str = "/single/";
pub const UPLOAD_PREFIX: &str = "/load/";
/// `/lone/` is drawn as often as all others: what happens between two attempts at one backend is rare elsewhere.
const PREFIXES: [&str; 6] =
    [ONCE_PREFIX, SINGLE_PREFIX, UPLOAD_PREFIX, LONE_PREFIX, LONE_PREFIX, LONE_PREFIX];
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Clients of each proxy.
pub const CLIENTS: usize = 3;
/// Between two requests of one client.
const PACE: Duration = Duration::from_millis(40);
/// A proxy that is not there is tried again after this.
const PAUSE: Duration = Duration::from_millis(50);
/// An answer that takes longer than this is not waited for.
const PATIENCE: Duration = Duration::from_secs(6);
/// How long clients say that they wait, in ms.
const DEADLINES: [&str; 4] = ["300", "1500", "5000", "5000"];
/// Some bodies don't fit into the buffers of a connection.
const BODY_SIZES: [usize; 6] = [0, 100, 100, 4 << 10, 64 << 10, 1 << 20];
/// A body that holds what looks like a request and a refusal.
const BODY: &[u8] =
    b"POST /once/serve/x HTTP/1.1\r\nHost: x\r\n\r\nHTTP/1.1 503 Full\r\nFennelscale-Not-Executed: 1\r\n\r\n";

/// What became of one request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// Its id.
    pub id: String,
    /// What its path asked of the backends.
    pub behavior: &'static str,
    /// The status of its answer; none without one.
    pub status: Option<u16>,
    /// Whether its answer is a success that is not its own.
    pub is_foreign: bool,
}

/// How a try breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BrokenPromise {
    /// It ran more than once.
    Twice,
    /// It ran although its client was told that it did not.
    Refused,
    /// Its client was given a success that is not its own.
    Mixed,
}

/// The tries that break a rule, by how often backends ran each id.
pub fn broken_promises<'a>(
    tries: &'a [Try], runs: &HashMap<&str, usize>,
) -> Vec<(BrokenPromise, &'a Try, usize)> {
    let mut found = Vec::new();
    for one in tries {
        let ran = runs.get(one.id.as_str()).copied().unwrap_or_default();
        if ran > 1 {
            found.push((BrokenPromise::Twice, one, ran));
        }
        if ran > 0 && one.status.is_some_and(|status| PROMISES.contains(&status)) {
            found.push((BrokenPromise::Refused, one, ran));
        }
        if one.is_foreign {
            found.push((BrokenPromise::Mixed, one, ran));
        }
    }
    found
}

/// How often each rule was broken with each behavior of the backends.
pub fn by_behavior(found: &[(BrokenPromise, &Try, usize)]) -> BTreeMap<(BrokenPromise, &'static str), usize> {
    let mut counts = BTreeMap::new();
    for (how, one, _) in found {
        *counts.entry((*how, one.behavior)).or_default() += 1;
    }
    counts
}

/// A request as it was drawn.
struct DrawnRequest {
    id: String,
    prefix: &'static str,
    behavior: &'static str,
    deadline: &'static str,
    body_size: usize,
    is_chunked: bool,
}

impl DrawnRequest {
    fn draw(id: String, behaviors: &[&'static str], chance: &mut ChaCha8Rng) -> Self {
        Self {
            id,
            prefix: PREFIXES[chance.random_range(0..PREFIXES.len())],
            behavior: behaviors[chance.random_range(0..behaviors.len())],
            deadline: DEADLINES[chance.random_range(0..DEADLINES.len())],
            body_size: BODY_SIZES[chance.random_range(0..BODY_SIZES.len())],
            is_chunked: chance.random_bool(0.3),
        }
    }

    fn body(&self) -> OnceBody {
        let bytes: Bytes = BODY.iter().copied().cycle().take(self.body_size).collect();
        let body = Full::new(bytes);
        // What is mapped has no known length, so it goes out in chunks.
        if self.is_chunked { body.map_frame(|frame| frame).boxed_unsync() } else { body.boxed_unsync() }
    }
}

type OnceBody = UnsyncBoxBody<Bytes, Infallible>;

impl Soak {
    /// Sends requests to a proxy on one connection, made again whenever it has ended.
    pub async fn keep_sending_once(self: Rc<Self>, proxy: usize, client: usize) {
        let seed = self.seed.wrapping_mul(1000).wrapping_add((proxy * CLIENTS + client) as u64);
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let at = self.proxies[proxy].frontend;
        let mut number = 0_u64;
        while !self.closed.get() {
            let Some(mut line) = connect::<OnceBody>(at).await else {
                sleep(PAUSE).await;
                continue;
            };
            while !self.closed.get() && line.ready().await.is_ok() {
                number += 1;
                let id = format!("once{proxy:03x}{client:x}{number:08x}");
                let request = DrawnRequest::draw(id, &self.behaviors, &mut chance);
                let answer = send_once(&mut line, &request).await;
                let status = answer.as_ref().map(|(status, _)| *status);
                let is_foreign = answer.is_some_and(|(status, body)| {
                    (200..300).contains(&status) && body != body_of(&request.id).as_bytes()
                });
                self.count(&format!(
                    "once {}",
                    status.map_or("no answer".into(), |status| status.to_string())
                ));
                self.tries.borrow_mut().push(Try {
                    id: request.id,
                    behavior: request.behavior,
                    status,
                    is_foreign,
                });
                if status.is_none() {
                    break;
                }
                sleep(PACE).await;
            }
        }
    }
}

async fn send_once(line: &mut SendRequest<OnceBody>, drawn: &DrawnRequest) -> Option<(u16, Bytes)> {
    let request = Request::post(format!("{}{}/{}", drawn.prefix, drawn.behavior, drawn.id))
        .header("Host", HOST)
        .header("Fennelscale-Request-Id", &drawn.id)
        .header("Fennelscale-Deadline-Ms", drawn.deadline)
        .body(drawn.body())
        .ok()?;
    let answer = async {
        let (head, body) = line.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((head.status.as_u16(), body))
    };
    timeout(PATIENCE, answer).await.ok()?
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_promise_is_broken_by_any_run_and_a_run_by_another_one() {
        let one = |id: &str, status| Try { id: id.into(), behavior: "serve", status, is_foreign: false };
        let tries = [
            one("a", Some(503)),
            one("b", Some(503)),
            one("c", Some(502)),
            one("d", None),
            one("e", Some(200)),
            Try { is_foreign: true, ..one("f", Some(200)) },
        ];
        let runs = HashMap::from([("b", 1), ("c", 1), ("d", 1), ("e", 2), ("f", 1)]);
        let found = broken_promises(&tries, &runs);
        let ids: Vec<_> = found.iter().map(|(how, one, _)| (*how, one.id.as_str())).collect();
        let expected =
            [(BrokenPromise::Refused, "b"), (BrokenPromise::Twice, "e"), (BrokenPromise::Mixed, "f")];
        assert_eq!(ids, expected);
        assert_eq!(by_behavior(&found)[&(BrokenPromise::Twice, "serve")], 1);
    }
}
