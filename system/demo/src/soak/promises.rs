//! Requests of a soak that can't be repeated, and what their clients were promised: none may run twice, and none may run
//! whose client got a status that says that it did not and never will.

use super::Soak;
use super::clients::connect;
use crate::steps::HOST;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The route of these requests.
pub const ONCE_PREFIX: &str = "/once/";
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Between two requests of one client.
const PACE: Duration = Duration::from_millis(40);
/// A proxy that is not there is tried again after this.
const PAUSE: Duration = Duration::from_millis(50);
/// An answer that takes longer than this is not waited for.
const PATIENCE: Duration = Duration::from_secs(6);
/// What backends do with a request, as its path says it.
const DEEDS: [&str; 14] = [
    "serve",
    "serve",
    "sleep-20",
    "sleep-200",
    "sleep-1500",
    "full",
    "full-in-0",
    "full-in-1",
    "full-in-2",
    "status-503",
    "status-429",
    "status-408",
    "status-500",
    "status-404",
];

/// What became of one request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// Its id.
    pub id: String,
    /// What its path asked of the backends.
    pub deed: &'static str,
    /// The status of its answer; none without one.
    pub status: Option<u16>,
}

/// How a try breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenPromise {
    /// It ran more than once.
    Twice,
    /// It ran although its client was told that it did not.
    Refused,
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
    }
    found
}

impl Soak {
    /// Sends requests to a proxy on one connection, made again whenever it has ended.
    pub async fn keep_sending_once(self: Rc<Self>, proxy: usize) {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(1000).wrapping_add(proxy as u64));
        let at = self.proxies[proxy].frontend;
        let mut number = 0_u64;
        while !self.closed.get() {
            let Some(mut line) = connect::<Full<Bytes>>(at).await else {
                sleep(PAUSE).await;
                continue;
            };
            while !self.closed.get() && line.ready().await.is_ok() {
                number += 1;
                let id = format!("once{proxy:04x}{number:08x}");
                let deed = DEEDS[chance.random_range(0..DEEDS.len())];
                let status = send_once(&mut line, &id, deed).await;
                self.count(&format!(
                    "once {}",
                    status.map_or("no answer".into(), |status| status.to_string())
                ));
                self.tries.borrow_mut().push(Try { id, deed, status });
                if status.is_none() {
                    break;
                }
                sleep(PACE).await;
            }
        }
    }
}

async fn send_once(line: &mut SendRequest<Full<Bytes>>, id: &str, deed: &str) -> Option<u16> {
    let request = Request::post(format!("{ONCE_PREFIX}{deed}/{id}"))
        .header("Host", HOST)
        .header("Fennelscale-Request-Id", id)
        .header("Fennelscale-Deadline-Ms", "5000")
        .body(Full::from("a small body\n"))
        .ok()?;
    let answer = async {
        let (head, body) = line.send_request(request).await.ok()?.into_parts();
        body.collect().await.ok()?;
        Some(head.status.as_u16())
    };
    timeout(PATIENCE, answer).await.ok()?
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_promise_is_broken_by_any_run_and_a_run_by_another_one() {
        let one = |id: &str, status| Try { id: id.into(), deed: "serve", status };
        let tries = [
            one("a", Some(503)),
            one("b", Some(503)),
            one("c", Some(502)),
            one("d", None),
            one("e", Some(200)),
        ];
        let runs = HashMap::from([("b", 1), ("c", 1), ("d", 1), ("e", 2)]);
        let found: Vec<_> =
            broken_promises(&tries, &runs).into_iter().map(|(how, one, _)| (how, one.id.as_str())).collect();
        assert_eq!(found, [(BrokenPromise::Refused, "b"), (BrokenPromise::Twice, "e")]);
    }
}
